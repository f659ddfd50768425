//! Shards that their owners say to have given up.

use super::{Harness, STRONG, TICK, WEAK, claimed, hello, member, ms, process, released, report};
use std::time::Duration;
use waxwingstall::cluster::{
    Event, HandOver, Hello, Member, OfferOutcome, ReleasedShard, ShardReport, StoreReachability,
};
use waxwingstall::note::Note;
use waxwingstall::shard::PreviousOwner;

const SHARD: &str = "kacyiru.0";

/// Time after which a shard is claimed whose owner is known to have released it, and in which a
/// shard that its owner hasn't listed yet isn't claimed.
const KNOWN_RELEASE: Duration = ms(1000);

/// Time for which the owner before one that was claimed without a proof counts as active.
const EARLIER_ACTIVE: Duration = Duration::from_secs(12);

fn releasing(from: Member, shards: Vec<ReleasedShard>) -> Hello {
    Hello { released: shards, ..hello(from, Vec::new()) }
}

/// A daemon that has read from the store that another one claimed the shard, and has heard no hello
/// that lists it.
fn daemon_beside_claimant() -> (Harness, Member) {
    let claimant = member("claimant", WEAK);
    let mut harness = Harness::new(member("strong", STRONG), 1);
    harness.set_peer(member("before", STRONG), vec![report(SHARD, 5)]);
    harness.set_peer(claimant.clone(), Vec::new());
    harness.run_for(ms(3000));
    harness.others.shift_remove("before");
    harness.read_claim(SHARD, &claimant, 9);
    harness.run_for(ms(100));
    (harness, claimant)
}

impl Harness {
    fn released(&self) -> Vec<ReleasedShard> {
        self.ownership.released_shards(self.now)
    }

    fn fail_claim(&mut self) {
        let (shard, reason) = (SHARD.to_owned(), "the store did not answer".to_owned());
        self.step(Event::ClaimFailed { shard, head: None, reason });
    }

    fn lost(&self) -> usize {
        self.notes.iter().filter(|note| matches!(note, Note::ShardLost { .. })).count()
    }
}

// Guards against a shard without an owner for seconds: its owner's claim succeeded after it had been
// told to stop, and it gave the shard up before any hello listed it.
#[test]
fn a_shard_that_was_never_listed_is_claimed_once_its_owner_says_that_it_released_it() {
    let (mut harness, claimant) = daemon_beside_claimant();
    let told = releasing(claimant, vec![released(SHARD, 9, Duration::ZERO)]);
    harness.others.insert("claimant".to_owned(), told);
    harness.run_for(KNOWN_RELEASE);
    assert_eq!(harness.previous, [PreviousOwner::Ended]);
}

// The same, where the claim itself wasn't known here: the claim of the next owner must cover it.
#[test]
fn a_released_ownership_that_was_not_known_is_covered_by_the_next_claim() {
    let (mut harness, claimant) = daemon_beside_claimant();
    let told = releasing(claimant, vec![released(SHARD, 12, Duration::ZERO)]);
    harness.others.insert("claimant".to_owned(), told);
    harness.run_for(KNOWN_RELEASE);
    assert_eq!(harness.previous, [PreviousOwner::Ended]);
    assert_eq!(harness.replaces[0].fence, 12);
}

// The same, where its owner exits right after it has said so.
#[test]
fn a_shard_released_by_a_daemon_that_exits_is_claimed_from_an_ended_owner() {
    let (mut harness, claimant) = daemon_beside_claimant();
    harness.others.clear();
    harness.hear(releasing(claimant.clone(), vec![released(SHARD, 9, Duration::ZERO)]));
    harness.refuse(&claimant, harness.now);
    harness.run_for(KNOWN_RELEASE);
    assert_eq!(harness.previous, [PreviousOwner::Ended]);
}

// Guards against a shard that is taken from its owner by a hello that was held up on the way and
// tells of the end of an earlier ownership.
#[test]
fn the_end_of_an_earlier_ownership_shows_nothing_of_the_next_one() {
    let (mut harness, claimant) = daemon_beside_claimant();
    harness.others.clear();
    harness.hear(releasing(member("before", STRONG), vec![released(SHARD, 5, Duration::ZERO)]));
    harness.hear(releasing(claimant, vec![released(SHARD, 8, Duration::ZERO)]));
    harness.run_for(KNOWN_RELEASE);
    assert_eq!(harness.claims, []);
}

// Guards against tasks that run twice: an owner that was cut off is replaced by a daemon that gives
// the shard up at once, and may extend leases for longer than that one was the owner.
#[test]
fn an_owner_before_the_one_that_released_the_shard_may_be_active() {
    let claim_after = |earlier_active| {
        let (mut harness, claimant) = daemon_beside_claimant();
        harness.others.clear();
        let told = releasing(claimant.clone(), vec![released(SHARD, 9, earlier_active)]);
        harness.hear(told.clone());
        harness.others.insert("claimant".to_owned(), told);
        harness.run_for(KNOWN_RELEASE);
        (harness, claimant)
    };
    let (mut harness, claimant) = claim_after(ms(5000));
    assert_eq!(harness.previous, [PreviousOwner::MaybeActive]);
    let asked = harness.now;
    harness.step(claimed(SHARD, 10));
    harness.hear_answer(hello(process(&claimant, 2), Vec::new()), asked);
    assert!(harness.predecessors_ended.is_empty(), "another one may be active");
    let (harness, _) = claim_after(ms(300));
    assert_eq!(harness.previous, [PreviousOwner::Ended], "it is inactive by now");
}

// Guards against a shard without an owner for seconds: a claim took effect, its answer was lost, and
// the daemon that is its owner now holds nothing.
#[test]
fn a_claim_that_took_effect_though_it_failed_is_released() {
    let mut harness = Harness::new(member("strong", STRONG), 1);
    harness.run_for(ms(2000));
    assert_eq!(harness.claims.len(), 1, "the shard has no owner");
    let me = member("strong", STRONG);
    harness.read_claim(SHARD, &me, 9);
    assert_eq!(harness.released(), [], "the claim is on the way");
    harness.fail_claim();
    assert_eq!(harness.released(), [released(SHARD, 9, EARLIER_ACTIVE)]);
    assert_eq!(harness.lost(), 1);
    harness.run_for(ms(600));
    assert_eq!(harness.released(), [released(SHARD, 9, EARLIER_ACTIVE - ms(600))]);
    harness.read_claim(SHARD, &member("next", STRONG), 12);
    assert_eq!(harness.released(), [], "it has a newer owner");
}

// The same, where the heads are read after the claim failed, which is done at once.
#[test]
fn the_heads_are_read_after_a_claim_without_an_answer() {
    let mut harness = Harness::new(member("strong", STRONG), 1);
    harness.run_for(ms(2000));
    harness.step(Event::Drain);
    let before = harness.heads_read;
    harness.fail_claim();
    assert_eq!(harness.heads_read, before + 1);
    harness.step(Event::Store(StoreReachability::Away));
    harness.step(Event::Store(StoreReachability::Reached));
    assert_eq!(harness.heads_read, before + 2, "the store may have been away");
    harness.read_claim(SHARD, &member("strong", STRONG), 9);
    assert_eq!(harness.released().len(), 1);
    assert_eq!(harness.ownership.owner(SHARD), None, "callers would be sent to this daemon");
}

// Guards against a shard that its owner exits with: its claim was on the way as the shards were
// released.
#[test]
fn a_claim_that_succeeds_as_the_daemon_exits_is_released() {
    let mut harness = Harness::new(member("strong", STRONG), 1);
    harness.run_for(ms(2000));
    harness.step(Event::Drain);
    harness.step(Event::ReleaseAll);
    assert_eq!(harness.handed_over, []);
    harness.step(claimed(SHARD, 9));
    assert_eq!(harness.handed_over, [(SHARD.to_owned(), "strong".to_owned())]);
}

// Guards against others that have to guess whether a shard was given up: an owner that hands it over
// or exits says so until it knows of the next owner, as often as it would as an owner.
#[test]
fn an_owner_says_that_it_released_a_shard_until_another_one_owns_it() {
    let mut owner = Harness::new(member("owner", STRONG), 1);
    for number in 0..39 {
        owner.set_peer(member(&format!("d{number}"), WEAK), Vec::new());
    }
    owner.own_shard(SHARD, 9);
    owner.run_for(ms(500));
    assert_eq!(owner.released(), []);
    owner.step(Event::ReleaseAll);
    assert_eq!(owner.released(), [], "it still makes calls to its VMs");
    owner.release(SHARD, 9);
    assert_eq!(owner.released(), [released(SHARD, 9, Duration::ZERO)]);
    assert_eq!(owner.ownership.take_due_hellos(owner.now).len(), 39, "everyone is told at once");
    owner.run_for(ms(400));
    assert_eq!(owner.ownership.take_due_hellos(owner.now).len(), 39, "and again");
    owner.set_peer(member("d3", WEAK), vec![report(SHARD, 12)]);
    owner.run_for(ms(100));
    assert_eq!(owner.released(), []);
}

// Guards against tasks that run twice: what is known of an owner that was replaced without a proof
// of its end is lost as the shard is handed over twice in turn.
#[test]
fn an_offer_passes_on_how_long_an_earlier_owner_may_be_active() {
    let mut candidate = Harness::new(member("candidate", STRONG), 1);
    let (from, offered) = (member("owner", STRONG).id, released(SHARD, 9, ms(5000)));
    candidate.step(Event::Offered { from, released: offered });
    assert_eq!(candidate.previous, [PreviousOwner::Ended], "the offer tells of each VM");
    candidate.step(claimed(SHARD, 10));
    candidate.run_for(ms(1000));
    candidate.step(Event::ReleaseAll);
    candidate.release(SHARD, 10);
    assert_eq!(candidate.released(), [released(SHARD, 10, ms(4000))]);
}

// Guards against waiting for an owner that is known to have ended by now.
#[test]
fn an_earlier_owner_that_has_ended_since_is_not_active() {
    let (mut harness, owner) = super::daemon_beside_owner();
    let asked = harness.now;
    harness.refuse(&owner, asked);
    harness.step(claimed(SHARD, 10));
    harness.hear_answer(hello(process(&owner, 2), Vec::new()), asked);
    harness.release(SHARD, 10);
    assert_eq!(harness.released(), [released(SHARD, 10, Duration::ZERO)]);
}

// Guards against a shard that is claimed from its owner as released: this daemon, an earlier owner,
// noticed late that it had lost the shard, when it knew the next owner already.
#[test]
fn a_daemon_that_lost_its_shard_does_not_take_the_next_owner_for_gone() {
    let next = member("next", STRONG);
    let mut harness = Harness::new(member("strong", STRONG), 1);
    harness.own_shard(SHARD, 5);
    harness.set_peer(next.clone(), vec![report(SHARD, 9)]);
    harness.run_for(ms(500));
    harness.step(Event::NoLongerOwned { shard: SHARD.to_owned(), reason: "it was lost" });
    assert_eq!(harness.ownership.owner(SHARD), Some(next.clone()));
    harness.read_claim(SHARD, &next, 9);
    harness.run_for(ms(2000));
    assert_eq!(harness.released(), []);
    assert_eq!(harness.claims, []);
}

// Guards against a shard that is reported lost twice, by heads that were read before it was lost.
#[test]
fn heads_from_before_a_shard_was_lost_do_not_show_a_claim() {
    let mut harness = Harness::new(member("strong", STRONG), 1);
    harness.own_shard(SHARD, 5);
    harness.step(Event::NoLongerOwned { shard: SHARD.to_owned(), reason: "it was lost" });
    harness.read_claim(SHARD, &member("strong", STRONG), 5);
    assert_eq!(harness.lost(), 1);
}

// Guards against a shard without an owner for as long as the store is away from the daemon that gave
// it up: nobody took it, and the others hear of it.
#[test]
fn an_owner_without_the_store_says_that_nobody_took_its_shard() {
    let candidate = member("candidate", STRONG);
    let mut owner = Harness::new(member("owner", WEAK), 1);
    owner.set_peer(candidate.clone(), vec![report("kacyiru.7", 3)]);
    owner.own_shard(SHARD, 9);
    owner.run_for(ms(1000));
    owner.how = HandOver::Immediate;
    owner.step(Event::Store(StoreReachability::Away));
    owner.run_for(ms(800));
    owner.release(SHARD, 9);
    owner.end_offer(SHARD, 9, &candidate, OfferOutcome::NoAnswer);
    assert_eq!(owner.claims, []);
    assert_eq!(owner.released(), [released(SHARD, 9, Duration::ZERO)]);
    owner.step(Event::Store(StoreReachability::Reached));
    owner.run_for(2 * KNOWN_RELEASE);
    assert_eq!(owner.previous, [PreviousOwner::Ended], "it reaches the store again");
}

/// A report of an owner that tells how long one before it may be active.
fn report_telling(earlier_active: Duration) -> ShardReport {
    ShardReport { earlier_active, ..report(SHARD, 9) }
}

/// Times that owners tell of the owner before, and what the next claim says if that is all that is
/// known.
const TOLD: [(Option<Duration>, PreviousOwner); 4] = [
    (None, PreviousOwner::MaybeActive),
    (Some(EARLIER_ACTIVE), PreviousOwner::MaybeActive),
    (Some(ms(300)), PreviousOwner::Ended),
    (Some(Duration::ZERO), PreviousOwner::Ended),
];

// Guards against tasks that run twice: an owner that was cut off is replaced by a daemon that is
// restarted soon afterwards, and may extend leases for longer than that one was the owner.
#[test]
fn an_owner_before_the_one_that_was_restarted_may_be_active() {
    for (told, previous) in TOLD {
        let (mut harness, claimant) = daemon_beside_claimant();
        let reports = told.map(report_telling).into_iter().collect();
        harness.set_peer(claimant.clone(), reports);
        harness.run_for(ms(1000));
        harness.others.clear();
        harness.hear_answer(hello(process(&claimant, 2), Vec::new()), harness.now);
        harness.run_for(KNOWN_RELEASE);
        assert_eq!(harness.previous, [previous], "{told:?}");
    }
}

// The same with a daemon that lists the shard no longer.
#[test]
fn an_owner_before_the_one_that_lists_the_shard_no_longer_may_be_active() {
    for (told, previous) in TOLD.into_iter().skip(1) {
        let (mut harness, claimant) = daemon_beside_claimant();
        let reports = told.map(report_telling).into_iter().collect();
        harness.set_peer(claimant.clone(), reports);
        harness.run_for(ms(400));
        harness.set_peer(claimant, Vec::new());
        harness.run_for(ms(1300));
        assert_eq!(harness.previous, [previous], "{told:?}");
    }
}

// The same with a daemon that is found to have ended after its shard was claimed.
#[test]
fn leases_are_not_shortened_while_an_owner_before_the_last_may_be_active() {
    let (mut harness, claimant) = daemon_beside_claimant();
    harness.hear(hello(claimant.clone(), vec![report_telling(ms(5000))]));
    let asked = harness.now;
    harness.refuse(&claimant, asked);
    assert_eq!(harness.previous, [PreviousOwner::MaybeActive]);
    harness.step(claimed(SHARD, 10));
    harness.hear_answer(hello(process(&claimant, 2), Vec::new()), asked);
    assert_eq!(harness.ownership.earlier_active(SHARD, harness.now), ms(5000));
    harness.run_for(ms(5000));
    assert!(harness.predecessors_ended.is_empty(), "the earlier owner may be active");
    harness.run_for(2 * TICK);
    assert_eq!(harness.predecessors_ended, [SHARD], "once");
}

// The same with a daemon that has told nothing.
#[test]
fn an_owner_before_one_that_was_never_heard_may_be_active() {
    let (mut harness, claimant) = daemon_beside_claimant();
    let (since, asked) = (harness.now - ms(100), harness.now);
    harness.refuse(&claimant, asked);
    harness.step(claimed(SHARD, 10));
    harness.hear_answer(hello(process(&claimant, 2), Vec::new()), asked);
    let left = since + EARLIER_ACTIVE - harness.now;
    assert_eq!(harness.ownership.earlier_active(SHARD, harness.now), left);
    harness.run_for(left);
    assert!(harness.predecessors_ended.is_empty(), "the earlier owner may be active");
    harness.run_for(2 * TICK);
    assert_eq!(harness.predecessors_ended, [SHARD]);
}

/// A claim succeeded, and the head that it replaced tells that owners before the previous one may
/// extend leases for `told`.
fn claimed_with_head(fence: u64, earlier_active: Duration, told: Duration) -> Event {
    let before_previous = Some(told);
    Event::Claimed { shard: SHARD.to_owned(), fence, earlier_active, before_previous }
}

// Guards against tasks that wait for an owner before the last one, which has ended: all daemons were
// killed that knew it, and the shard's head tells it.
#[test]
fn a_claim_leaves_it_to_the_head_whether_an_owner_before_one_that_ended_is_active() {
    let (mut harness, claimant) = daemon_beside_claimant();
    harness.hear_answer(hello(process(&claimant, 2), Vec::new()), harness.now);
    harness.run_for(KNOWN_RELEASE);
    let left = harness.replaces[0].earlier_active.expect("the owner was restarted");
    assert!(left > EARLIER_ACTIVE - ms(1000) && left <= EARLIER_ACTIVE, "{left:?}");
    harness.step(claimed_with_head(10, Duration::ZERO, Duration::ZERO));
    assert_eq!(harness.ownership.earlier_active(SHARD, harness.now), Duration::ZERO);
    harness.release(SHARD, 10);
    let taken_back = harness.replaces[1].earlier_active;
    assert_eq!(taken_back, Some(Duration::ZERO), "nobody else takes it");
}

// Guards against tasks that run twice: the head tells nothing of its own owner, which may be active.
#[test]
fn the_head_of_an_owner_that_may_be_active_does_not_count_it_out() {
    let (mut harness, owner) = super::daemon_beside_owner();
    harness.refuse(&owner, harness.now);
    assert_eq!(harness.replaces[0].earlier_active, None);
    harness.step(claimed_with_head(10, EARLIER_ACTIVE, Duration::ZERO));
    assert_eq!(harness.ownership.earlier_active(SHARD, harness.now), EARLIER_ACTIVE);
    assert!(harness.predecessors_ended.is_empty());
}

// Guards against waiting for an owner before the last one, which has ended by the head, once the last
// one is found to have ended after the claim.
#[test]
fn a_predecessor_that_has_ended_counts_no_owner_before_it_than_its_head_tells() {
    for told in [Duration::ZERO, ms(5000)] {
        let (mut harness, claimant) = daemon_beside_claimant();
        let asked = harness.now;
        harness.refuse(&claimant, asked);
        harness.step(claimed_with_head(10, EARLIER_ACTIVE, told));
        harness.hear_answer(hello(process(&claimant, 2), Vec::new()), asked);
        assert_eq!(harness.ownership.earlier_active(SHARD, harness.now), told);
        assert_eq!(harness.predecessors_ended.len(), usize::from(told.is_zero()));
        harness.run_for(told);
        harness.run_for(2 * TICK);
        assert_eq!(harness.predecessors_ended, [SHARD], "once");
    }
}

// Guards against tasks that wait in vain after an owner's restart, or that run twice: an owner tells
// in its hellos how long an owner before it may be active.
#[test]
fn an_owner_tells_how_long_an_earlier_owner_may_be_active() {
    let (mut harness, owner) = super::daemon_beside_owner();
    let asked = harness.now;
    harness.refuse(&owner, asked);
    harness.step(claimed(SHARD, 10));
    assert_eq!(harness.ownership.earlier_active(SHARD, harness.now), EARLIER_ACTIVE);
    harness.run_for(ms(1000));
    assert_eq!(harness.ownership.earlier_active(SHARD, harness.now), EARLIER_ACTIVE - ms(1000));
    harness.hear_answer(hello(process(&owner, 2), Vec::new()), asked);
    assert_eq!(harness.ownership.earlier_active(SHARD, harness.now), Duration::ZERO);
}
