//! Proof that the previous owner of a shard has ended, and when.

use super::{Harness, STRONG, claimed, daemon_beside_owner, hello, member, ms, process, report};
use std::time::Duration;
use waxwingstall::cluster::{Hello, Member};
use waxwingstall::note::{Millis, Note};
use waxwingstall::vm::Fence;

const SHARD: &str = "kacyiru.0";

// Guards against a log that doesn't tell what ended a new owner's wait for the previous one.
#[test]
fn the_end_of_a_previous_owner_is_logged() {
    let (mut harness, owner) = daemon_beside_owner();
    let asked = harness.now;
    harness.refuse(&owner, asked);
    harness.step(claimed(SHARD, 10));
    harness.notes.clear();
    harness.hear_answer(hello(process(&owner, 2), Vec::new()), asked);
    let expected = Note::PreviousOwnerEnded {
        shard: SHARD.to_owned(),
        fence: 10,
        owner: owner.id,
        proof: "another process of its daemon answers",
        ended_ms: Millis(Duration::ZERO),
    };
    assert!(harness.notes.contains(&expected), "{:?}", harness.notes);
    harness.run_for(ms(200));
    let is_end = |note: &&Note| matches!(note, Note::PreviousOwnerEnded { .. });
    assert_eq!(harness.notes.iter().filter(is_end).count(), 1);
}

/// A hello of a process that has run for `uptime`.
fn hello_after(uptime: Duration, from: Member) -> Hello {
    Hello { uptime, ..hello(from, Vec::new()) }
}

impl Harness {
    /// Latest time at which an earlier owner may have extended a lease, as a claim finds that
    /// replaces the head with that token, which tells of no owner before its own.
    fn claim_finds(&self, predecessor: u64) -> Option<Duration> {
        self.ownership.extended_until(SHARD, Some(Fence(predecessor)), Some(Duration::ZERO))
    }
}

// Guards against a wait that counts from the arrival of a proof: the process that answers has run for
// a while, and the previous owner had ended before it started.
#[test]
fn a_previous_owner_has_ended_by_the_start_of_its_next_process() {
    let (mut harness, owner) = daemon_beside_owner();
    let asked = harness.now;
    harness.refuse(&owner, asked);
    harness.step(claimed(SHARD, 10));
    harness.now += ms(2000);
    harness.hear_answer(hello_after(ms(1500), process(&owner, 2)), asked);
    // The clocks may run at rates that differ by 4 %.
    assert_eq!(harness.extended_until, [harness.now - ms(1440)]);
}

// The same, where the proof comes before the claim.
#[test]
fn a_claim_counts_from_the_start_of_the_previous_owners_next_process() {
    let (mut harness, owner) = daemon_beside_owner();
    harness.now += ms(400);
    let started_by = harness.now - ms(288);
    harness.hear_answer(hello_after(ms(300), process(&owner, 2)), harness.now);
    harness.run_for(ms(700));
    assert_eq!(harness.claims.len(), 1);
    assert_eq!(harness.claim_finds(9), Some(started_by));
    let untold = harness.ownership.extended_until(SHARD, Some(Fence(9)), None);
    assert!(untold >= Some(started_by), "{untold:?}");
}

// Guards against tasks that run twice: the claim finds the head of another owner than the one that
// was shown to have ended, and what it tells counts from when that one wrote it.
#[test]
fn the_head_of_another_owner_tells_nothing_of_the_one_that_ended() {
    let (mut harness, claimant) = (Harness::new(member("strong", STRONG), 1), member("c", STRONG));
    harness.set_peer(member("before", STRONG), vec![report(SHARD, 5)]);
    harness.run_for(ms(3000));
    harness.others.clear();
    harness.read_claim(SHARD, &claimant, 9);
    assert_eq!(harness.claims, []);
    harness.hear_answer(hello_after(ms(10), process(&claimant, 2)), harness.now);
    harness.run_for(ms(1300));
    assert_eq!(harness.claims.len(), 1);
    assert!(harness.claim_finds(9).is_some());
    assert!(harness.claim_finds(9) < Some(harness.now));
    assert!(harness.claim_finds(10) > Some(harness.now + ms(10_000)), "it may be active");
}

// Guards against tasks that run twice: an owner that is only silent has extended leases until now.
#[test]
fn a_claim_without_a_proof_knows_no_end_of_the_previous_owner() {
    let (mut harness, _) = daemon_beside_owner();
    harness.run_for(ms(2000));
    assert_eq!(harness.claims.len(), 1);
    assert_eq!(harness.claim_finds(9), None);
}

// The previous owner has released the shard, and its hello came at that time.
#[test]
fn a_claim_counts_from_the_release_of_the_shard() {
    let (mut harness, owner) = daemon_beside_owner();
    let told = harness.now;
    harness.hear(hello(owner, Vec::new()));
    harness.run_for(ms(1300));
    assert_eq!(harness.claims.len(), 1);
    assert_eq!(harness.claim_finds(9), Some(told));
}

// Guards against uptimes that count from an earlier process of the daemon.
#[test]
fn the_start_of_an_earlier_process_shows_nothing_of_the_next_one() {
    let (mut harness, owner) = daemon_beside_owner();
    let (second, third) = (process(&owner, 2), process(&owner, 3));
    harness.hear_answer(hello_after(ms(2000), second.clone()), harness.now);
    harness.read_claim(SHARD, &second, 12);
    harness.now += ms(300);
    harness.hear_answer(hello_after(ms(100), third), harness.now);
    let started_by = harness.now - ms(96);
    harness.run_for(ms(700));
    assert_eq!(harness.claim_finds(12), Some(started_by));
}

// Guards against a shard that waits for a daemon that is this one: its owner is an earlier process of
// the same daemon, which had ended before this process started.
#[test]
fn an_owner_that_is_an_earlier_process_of_this_daemon_has_ended() {
    let me = member("strong", STRONG);
    let mut harness = Harness::new(process(&me, 2), 1);
    let started = harness.now;
    harness.read_claim(SHARD, &me, 9);
    harness.run_for(ms(900));
    assert_eq!(harness.claims.len(), 1, "as soon as the daemon has learned of the others");
    assert!(harness.replaces[0].earlier_active.is_some(), "it has ended");
    assert_eq!(harness.claim_finds(9), Some(started));
}
