//! What a claim finds of earlier owners in the head that it replaces.

use super::harness::{Harness, STALE_EXTENSION};
use bytes::Bytes;
use std::time::Duration;
use waxwingstall::cluster::{ExpectedOwner, Head};
use waxwingstall::ids::DaemonId;
use waxwingstall::job::progress::encode;
use waxwingstall::jobs::claim::{self, CommitRequest, ShardWriter};
use waxwingstall::jobs::records::MonitoredStore;
use waxwingstall::kv::{Freshness, KvStore, Put, Txn};
use waxwingstall::shard::settings::MAX_STALE_OWNER_EXTENSION;
use waxwingstall::shard::{CommitResult, Keys, PreviousOwner, Recovered};

const SHARD: &str = "kacyiru.0";

/// The state of the owner that a claim replaces, as far as the claimant knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Replaced {
    /// It may be active.
    MaybeActive,
    /// It has ended, and has told nothing of owners before it.
    Ended,
}

/// Claims the shard for another daemon each time.
struct Claims {
    harness: Harness,
    count: u64,
}

impl Claims {
    fn new() -> Self {
        Self { harness: Harness::start(0), count: 0 }
    }

    async fn claim(&mut self, replaced: Replaced) -> (ShardWriter, Recovered) {
        let store = self.store();
        self.claim_from(&store, replaced).await
    }

    /// Claims the shard for a daemon that has made these calls to the store.
    async fn claim_from(
        &mut self,
        store: &MonitoredStore<impl KvStore>,
        replaced: Replaced,
    ) -> (ShardWriter, Recovered) {
        self.count += 1;
        let me = DaemonId::new(&format!("daemon{}@1", self.count));
        let earlier_active = (replaced == Replaced::Ended).then_some(MAX_STALE_OWNER_EXTENSION);
        let expected = ExpectedOwner { fence: u64::MAX, earlier_active };
        let previous = PreviousOwner::MaybeActive;
        let claimed = claim::claim(store, &me, SHARD, previous, expected, STALE_EXTENSION).await;
        claimed.expect("nobody else claims the shard")
    }

    async fn commit(&self, writer: &mut ShardWriter, earlier_active: Duration) -> CommitResult {
        let request = CommitRequest { seq: self.count * 10, earlier_active, txn: Txn::default() };
        writer.commit(&self.store(), request).await
    }

    /// Writes a head as the first release does.
    async fn write_untold_head(&self) {
        self.write_head(encode(&old_head())).await;
    }

    /// Writes a head as the second release does, which tells of earlier owners only.
    async fn write_head_without_own_time(&self) {
        self.write_head(old_head().with_earlier_active(Duration::ZERO).encode()).await;
    }

    async fn write_head(&self, head: Vec<u8>) {
        let value = Bytes::from(head);
        let put = Put { key: Keys::new(SHARD).head(), value, lease: None };
        let txn = Txn { puts: vec![put], ..Txn::default() };
        self.harness.store.commit(&txn).await.expect("the store is up");
    }

    fn store(&self) -> MonitoredStore<impl KvStore + use<>> {
        MonitoredStore::new(self.harness.store.clone(), self.harness.clock.clone())
    }
}

fn old_head() -> Head {
    Head { fence: 1, ..Head::claim(DaemonId::new("old@1"), None) }
}

fn found(recovered: &Recovered) -> (PreviousOwner, Duration, Option<Duration>) {
    (recovered.previous, recovered.earlier_active, recovered.before_previous)
}

const ENDED: (PreviousOwner, Duration, Option<Duration>) =
    (PreviousOwner::Ended, Duration::ZERO, Some(Duration::ZERO));

// Guards against tasks that wait 12 s for owners before the last one, which had all ended, since
// the daemons that knew it were killed.
#[actix::test]
async fn a_claim_finds_that_owners_before_the_last_have_ended() {
    let mut claims = Claims::new();
    let (_, first) = claims.claim(Replaced::MaybeActive).await;
    assert_eq!(found(&first), (PreviousOwner::Ended, Duration::ZERO, None), "there was none");
    let (_, second) = claims.claim(Replaced::Ended).await;
    assert_eq!(found(&second), ENDED);
    let (mut writer, third) = claims.claim(Replaced::Ended).await;
    assert_eq!(found(&third), ENDED);
    assert_eq!(claims.commit(&mut writer, Duration::ZERO).await, CommitResult::Durable);
    let (_, fourth) = claims.claim(Replaced::Ended).await;
    assert_eq!(found(&fourth), ENDED);
}

// Guards against tasks that run twice: an owner that may be active is replaced by one that ends
// before the time of the first has passed.
#[actix::test]
async fn a_claim_finds_how_long_an_owner_before_the_last_may_be_active() {
    let mut claims = Claims::new();
    claims.claim(Replaced::Ended).await;
    let (_, second) = claims.claim(Replaced::MaybeActive).await;
    let active = |left, told| (PreviousOwner::MaybeActive, left, told);
    let full = STALE_EXTENSION;
    assert_eq!(found(&second), active(full, Some(Duration::ZERO)));
    let (mut writer, third) = claims.claim(Replaced::Ended).await;
    assert_eq!(found(&third), active(full, Some(full)));
    let left = Duration::from_millis(1234);
    assert_eq!(claims.commit(&mut writer, left).await, CommitResult::Durable);
    let (_, fourth) = claims.claim(Replaced::Ended).await;
    assert_eq!(found(&fourth), active(left, Some(left)));
    let (_, fifth) = claims.claim(Replaced::MaybeActive).await;
    assert_eq!(found(&fifth), active(full, Some(left)));
}

// Guards against tasks that run twice: a replaced owner's last commit, by which no owner before it
// was active, arrives after the claim.
#[actix::test]
async fn a_late_commit_does_not_count_a_replaced_owner_out() {
    let mut claims = Claims::new();
    let (mut replaced, _) = claims.claim(Replaced::Ended).await;
    claims.claim(Replaced::MaybeActive).await;
    let late = claims.commit(&mut replaced, Duration::ZERO).await;
    assert!(matches!(late, CommitResult::Superseded(_)), "{late:?}");
    let (_, third) = claims.claim(Replaced::Ended).await;
    assert_eq!(third.earlier_active, STALE_EXTENSION);
}

// Guards against tasks that run twice during a rolling upgrade: a head of an earlier release tells
// nothing of owners before its own.
#[actix::test]
async fn a_head_of_an_earlier_release_counts_nobody_out() {
    let mut claims = Claims::new();
    claims.claim(Replaced::Ended).await;
    claims.write_untold_head().await;
    let (_, next) = claims.claim(Replaced::Ended).await;
    let full = MAX_STALE_OWNER_EXTENSION;
    assert_eq!(found(&next), (PreviousOwner::MaybeActive, full, None));
}

// The same with an owner of a release that extends leases in full for longer, and with one that has
// replaced it.
#[actix::test]
async fn an_owner_of_an_earlier_release_counts_for_its_own_time() {
    let mut claims = Claims::new();
    claims.write_head_without_own_time().await;
    let (_, next) = claims.claim(Replaced::MaybeActive).await;
    let full = MAX_STALE_OWNER_EXTENSION;
    assert_eq!(found(&next), (PreviousOwner::MaybeActive, full, Some(Duration::ZERO)));
    let (_, after) = claims.claim(Replaced::MaybeActive).await;
    assert_eq!(found(&after), (PreviousOwner::MaybeActive, full, Some(full)));
}

// Guards against tasks that wait for the time between an owner's last commit and the claim again.
#[actix::test]
async fn a_claim_counts_from_the_first_call_that_shows_the_replaced_head() {
    let mut claims = Claims::new();
    claims.claim(Replaced::Ended).await;
    claims.claim(Replaced::MaybeActive).await;
    let (store, waited) = (claims.store(), Duration::from_millis(1500));
    store.range(Keys::HEADS, None, Freshness::Latest).await.expect("the store is up");
    tokio::time::sleep(waited).await;
    let (_, third) = claims.claim_from(&store, Replaced::MaybeActive).await;
    let left = STALE_EXTENSION - waited;
    assert!(third.earlier_active <= left, "{:?}", third.earlier_active);
    assert!(third.earlier_active + Duration::from_millis(100) > left, "{:?}", third.earlier_active);
    // What the head tells stays as told, to be counted from the end of its owner.
    assert_eq!(third.before_previous, Some(STALE_EXTENSION));
    let extended_until = third.extended_until.expect("a replaced head");
    assert!(extended_until <= third.claimed_at + left, "{extended_until:?}");
    // Nothing shows when the third claim was written.
    let (_, fourth) = claims.claim(Replaced::MaybeActive).await;
    assert_eq!(fourth.earlier_active, STALE_EXTENSION);
    tokio::time::sleep(waited).await;
    store.range(Keys::HEADS, None, Freshness::Latest).await.expect("the store is up");
    tokio::time::sleep(2 * waited).await;
    let (_, fifth) = claims.claim_from(&store, Replaced::MaybeActive).await;
    assert_eq!((fifth.previous, fifth.earlier_active), (PreviousOwner::Ended, Duration::ZERO));
    // A lease counts from before the claim.
    let passed = 2 * waited - STALE_EXTENSION;
    let extended_until = fifth.extended_until.expect("a replaced head");
    assert!(extended_until <= fifth.claimed_at - passed, "{extended_until:?}");
}
