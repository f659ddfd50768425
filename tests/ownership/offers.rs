//! Offers of dropped shards: who gets the next one, and what is answered.

use super::{Harness, STRONG, TICK, WEAK, claimed, member, ms, remote, report};
use waxwingstall::cluster::{
    DeclineReason, Event, HandOver, Head, Member, MemberStage, OfferAnswer, OfferOutcome,
    StoreReachability,
};
use waxwingstall::ids::DaemonId;
use waxwingstall::note::Note;
use waxwingstall::shard::PreviousOwner;

const SHARD: &str = "kacyiru.0";
const ACCEPTED: OfferOutcome = OfferOutcome::Answered(OfferAnswer::Accepted);

fn declined(reason: DeclineReason) -> OfferOutcome {
    OfferOutcome::Answered(OfferAnswer::Declined(reason))
}

/// Daemons in the order in which they are offered a shard.
fn candidates(count: u32) -> Vec<Member> {
    (0..count).map(|n| member(&format!("candidate{n}"), 2 * STRONG - 10 * n)).collect()
}

/// A daemon that is told to stop and owns a shard, beside daemons that serve.
fn stopping_owner(candidates: &[Member]) -> Harness {
    let mut harness = Harness::new(member("owner", STRONG), 1);
    candidates.iter().for_each(|candidate| harness.set_peer(candidate.clone(), Vec::new()));
    harness.own_shard(SHARD, 9);
    harness.run_for(ms(1000));
    harness.step(Event::Drain);
    harness
}

impl Harness {
    /// Names of the daemons that the shard was offered to.
    fn offered_to(&self) -> Vec<&str> {
        let name =
            |candidate: &DaemonId| self.others.values().find(|hello| hello.from.id == *candidate);
        let offered = self.offered.iter().filter_map(|(_, candidate)| name(candidate));
        offered.map(|hello| hello.from.name.as_str()).collect()
    }

    fn answer(&self, fence: u64) -> OfferAnswer {
        self.ownership.answer_offer(SHARD, fence)
    }
}

// Guards against a shard that no daemon makes calls for while its old owner still does: a successor
// that claims it by then would take that owner for inactive.
#[test]
fn a_shard_is_offered_only_after_it_was_dropped() {
    let mut owner = stopping_owner(&candidates(1));
    assert_eq!(owner.handed_over, [(SHARD.to_owned(), "candidate0".to_owned())]);
    owner.run_for(ms(500));
    assert_eq!(owner.offered, []);
    owner.release(SHARD, 9);
    assert_eq!(owner.offered_to(), ["candidate0"]);
}

// Guards against a shard without an owner while daemons are stopped in turn: the one that it is
// offered to stops as well.
#[test]
fn a_declined_offer_goes_to_the_next_best_daemon_at_once() {
    let candidates = candidates(3);
    let mut owner = stopping_owner(&candidates);
    owner.release(SHARD, 9);
    owner.end_offer(SHARD, 9, &candidates[0], declined(DeclineReason::Draining));
    owner.end_offer(SHARD, 9, &candidates[1], declined(DeclineReason::StoreAway));
    assert_eq!(owner.offered_to(), ["candidate0", "candidate1", "candidate2"]);
    owner.end_offer(SHARD, 9, &candidates[2], ACCEPTED);
    owner.run_for(ms(500));
    assert_eq!(owner.offered.len(), 3, "it was accepted");
    assert!(owner.ownership.is_empty(), "nothing is left to wait for");
    assert_eq!(owner.claims, []);
}

// The same, where no answer comes: the daemon's process has ended, or it is frozen.
#[test]
fn an_offer_without_an_answer_goes_to_the_next_best_daemon() {
    let candidates = candidates(3);
    let mut owner = stopping_owner(&candidates);
    owner.release(SHARD, 9);
    owner.end_offer(SHARD, 9, &candidates[0], OfferOutcome::Refused);
    owner.end_offer(SHARD, 9, &candidates[1], OfferOutcome::NoAnswer);
    assert_eq!(owner.offered_to(), ["candidate0", "candidate1", "candidate2"]);
}

// Guards against an offer to a daemon that has said since it was chosen that it stops: the last
// decisions on the shard took a while to become durable.
#[test]
fn a_daemon_that_stopped_since_it_was_chosen_gets_no_offer() {
    let candidates = candidates(2);
    let mut owner = stopping_owner(&candidates);
    assert_eq!(owner.handed_over, [(SHARD.to_owned(), "candidate0".to_owned())]);
    owner.set_peer(Member { stage: MemberStage::Draining, ..candidates[0].clone() }, Vec::new());
    owner.run_for(TICK);
    owner.release(SHARD, 9);
    assert_eq!(owner.offered_to(), ["candidate1"]);
}

// Guards against lasting tasks standing still because the daemons that could take their shard stop
// too: the last one keeps the shard until it exits. The others are not asked again at once.
#[test]
fn a_daemon_that_stops_takes_its_shard_back_if_nobody_takes_it() {
    let candidates = candidates(2);
    let mut owner = stopping_owner(&candidates);
    owner.handed_over.clear();
    owner.release(SHARD, 9);
    owner.end_offer(SHARD, 9, &candidates[0], declined(DeclineReason::UnknownShard));
    assert_eq!(owner.claims, []);
    owner.end_offer(SHARD, 9, &candidates[1], declined(DeclineReason::Draining));
    assert_eq!(owner.previous, [PreviousOwner::Ended]);
    let not_taken = owner.notes.iter().filter(|note| matches!(note, Note::ShardNotTaken { .. }));
    assert_eq!(not_taken.count(), 1);
    owner.step(claimed(SHARD, 12));
    owner.set_peer(Member { stage: MemberStage::Draining, ..candidates[1].clone() }, Vec::new());
    owner.run_for(ms(1900));
    assert_eq!(owner.handed_over, []);
    owner.run_for(ms(500));
    assert_eq!(owner.handed_over, [(SHARD.to_owned(), "candidate0".to_owned())]);
}

// Guards against a daemon that claims a shard as it exits: the shard would have no owner until that
// daemon is found to have ended.
#[test]
fn a_daemon_that_exits_takes_no_shard_back() {
    let candidates = candidates(1);
    let mut owner = stopping_owner(&candidates);
    owner.release(SHARD, 9);
    owner.step(Event::ReleaseAll);
    owner.end_offer(SHARD, 9, &candidates[0], declined(DeclineReason::Draining));
    owner.run_for(ms(500));
    assert_eq!(owner.claims, []);
}

// Guards against a shard that lies idle after a move for balance: the daemon that it was moved to
// can't take it.
#[test]
fn a_shard_moved_for_balance_is_taken_back_if_nobody_takes_it() {
    let (strong, equal) = (member("strong", STRONG), member("equal", WEAK));
    let mut weak = Harness::new(member("weak", WEAK), 1);
    weak.own_shard(SHARD, 9);
    weak.set_peer(strong.clone(), Vec::new());
    weak.set_peer(equal, vec![report("kacyiru.7", 3)]);
    weak.run_for(ms(4000));
    assert_eq!(weak.handed_over, [(SHARD.to_owned(), "strong".to_owned())]);
    weak.release(SHARD, 9);
    weak.end_offer(SHARD, 9, &strong, OfferOutcome::NoAnswer);
    assert_eq!(weak.offered_to(), ["strong"], "this daemon is better placed than the other one");
    assert_eq!(weak.claims, [(weak.now, SHARD.to_owned())]);
    assert_eq!(weak.previous, [PreviousOwner::Ended]);
}

// Guards against a shard that is moved to another failure domain, from where its VMs can't be
// reached during a partition, because the store is away from its owner.
#[test]
fn an_owner_without_the_store_offers_its_shard_within_the_failure_domain() {
    let candidates = candidates(2);
    let mut owner = Harness::new(member("owner", STRONG), 1);
    candidates
        .iter()
        .for_each(|candidate| owner.set_peer(candidate.clone(), vec![report("kacyiru.7", 3)]));
    owner.set_peer(remote("far"), Vec::new());
    owner.own_shard(SHARD, 9);
    owner.run_for(ms(1000));
    owner.how = HandOver::Immediate;
    owner.step(Event::Store(StoreReachability::Away));
    owner.run_for(ms(800));
    assert_eq!(owner.handed_over, [(SHARD.to_owned(), "candidate0".to_owned())]);
    owner.release(SHARD, 9);
    owner.end_offer(SHARD, 9, &candidates[0], declined(DeclineReason::StoreAway));
    owner.end_offer(SHARD, 9, &candidates[1], OfferOutcome::NoAnswer);
    owner.run_for(ms(500));
    assert_eq!(owner.offered_to(), ["candidate0", "candidate1"]);
    assert_eq!(owner.claims, [], "its claim wouldn't reach the store");
}

// Guards against a shard that is offered for long to daemons that don't answer: it could be claimed
// meanwhile by one that hears that it has no owner.
#[test]
fn a_shard_is_not_offered_for_longer_than_others_take_to_find_it() {
    let candidates = candidates(12);
    let mut owner = stopping_owner(&candidates);
    owner.release(SHARD, 9);
    let begun = owner.now;
    for candidate in &candidates {
        owner.run_for(ms(400));
        owner.end_offer(SHARD, 9, candidate, OfferOutcome::NoAnswer);
    }
    assert_eq!(owner.offered.len(), 5);
    assert_eq!(owner.claims, [(begun + ms(2000), SHARD.to_owned())]);
}

// Guards against a shard that is offered further though it has a new owner by now.
#[test]
fn an_offer_ends_with_a_later_owner() {
    let candidates = candidates(2);
    let mut told = stopping_owner(&candidates);
    told.release(SHARD, 9);
    told.end_offer(SHARD, 9, &candidates[0], declined(DeclineReason::LaterOwner));
    assert_eq!(told.offered_to(), ["candidate0"], "the first daemon knows the later owner");
    let mut heard = stopping_owner(&candidates);
    heard.release(SHARD, 9);
    heard.set_peer(candidates[0].clone(), vec![report(SHARD, 10)]);
    heard.run_for(TICK);
    heard.end_offer(SHARD, 9, &candidates[0], OfferOutcome::NoAnswer);
    assert_eq!(heard.offered_to(), ["candidate0"], "it claimed the shard, and its answer was lost");
    assert_eq!(heard.claims, []);
}

// Guards against a shard that is offered to two daemons at a time: the answer to an offer of an
// earlier ownership was held up on the way.
#[test]
fn a_late_answer_to_an_earlier_offer_changes_nothing() {
    let candidates = candidates(3);
    let mut owner = stopping_owner(&candidates);
    owner.release(SHARD, 9);
    owner.end_offer(SHARD, 8, &candidates[0], OfferOutcome::NoAnswer);
    assert_eq!(owner.offered_to(), ["candidate0"]);
    owner.end_offer(SHARD, 9, &candidates[0], OfferOutcome::NoAnswer);
    owner.end_offer(SHARD, 9, &candidates[0], OfferOutcome::NoAnswer);
    assert_eq!(owner.offered_to(), ["candidate0", "candidate1"]);
}

// Guards against a shard that its former owner claims from the daemon that it has offered it to, as
// long as no answer has come.
#[test]
fn a_shard_on_offer_is_not_claimed_here() {
    let candidates = candidates(1);
    let mut weak = Harness::new(member("weak", WEAK), 1);
    weak.own_shard(SHARD, 9);
    weak.set_peer(candidates[0].clone(), Vec::new());
    weak.run_for(ms(4000));
    weak.release(SHARD, 9);
    weak.run_for(ms(2000));
    assert_eq!(weak.claims, []);
    weak.end_offer(SHARD, 9, &candidates[0], ACCEPTED);
    weak.run_for(ms(600));
    assert_eq!(weak.claims, [], "the claim becomes known");
}

// Guards against an offer that is lost without a word: to a daemon that stops, that can't reach the
// store, that has just started, or that knows of a later owner.
#[test]
fn an_offer_that_cannot_be_taken_is_declined_with_the_reason() {
    let declined = |reason| OfferAnswer::Declined(reason);
    let mut candidate = Harness::new(member("candidate", STRONG), 1);
    assert_eq!(candidate.answer(9), OfferAnswer::Accepted);
    candidate.step(Event::Store(StoreReachability::Away));
    assert_eq!(candidate.answer(9), declined(DeclineReason::StoreAway));
    candidate.step(Event::Drain);
    assert_eq!(candidate.answer(9), declined(DeclineReason::Draining));
    candidate.read_claim(SHARD, &member("later", STRONG), 12);
    assert_eq!(candidate.answer(9), declined(DeclineReason::LaterOwner));
    candidate.offer(SHARD, &member("owner", STRONG), 13);
    assert_eq!(candidate.claims, []);
    let fresh = Harness::new(member("candidate", STRONG), 1);
    let unplanned = fresh.ownership.answer_offer("kacyiru.1", 9);
    assert_eq!(unplanned, declined(DeclineReason::UnknownShard));
}

// Guards against a shard that is offered to another daemon because the answer of the one that took
// it was lost: a repeated offer is accepted again, and claimed once.
#[test]
fn a_repeated_offer_is_accepted_again() {
    let owner = member("owner", STRONG);
    let mut candidate = Harness::new(member("candidate", STRONG), 1);
    candidate.offer(SHARD, &owner, 9);
    assert_eq!(candidate.answer(9), OfferAnswer::Accepted, "its claim is on the way");
    candidate.offer(SHARD, &owner, 9);
    candidate.step(claimed(SHARD, 10));
    assert_eq!(candidate.answer(9), OfferAnswer::Accepted, "it owns the shard");
    candidate.offer(SHARD, &owner, 9);
    assert_eq!(candidate.claims.len(), 1);
}

// Guards against a shard that nobody claims because a daemon accepts it that was its owner long ago,
// as a pause has kept it from noticing that it isn't any more.
#[test]
fn an_outdated_owner_declines_an_offer() {
    let mut candidate = Harness::new(member("candidate", STRONG), 1);
    candidate.own_shard(SHARD, 5);
    assert_eq!(candidate.answer(9), OfferAnswer::Declined(DeclineReason::OutdatedOwner));
}

// Guards against a shard without an owner after an offer was accepted: the claim on the way had been
// decided when an earlier owner was silent, and doesn't cover the one that offers the shard.
#[test]
fn an_offer_during_a_claim_that_fails_is_taken_up() {
    let (mut candidate, owner) = super::daemon_beside_owner();
    candidate.refuse(&owner, candidate.now);
    assert_eq!(candidate.previous, [PreviousOwner::MaybeActive]);
    let next = member("next", STRONG);
    candidate.offer(SHARD, &next, 12);
    assert_eq!(candidate.answer(12), OfferAnswer::Accepted);
    assert_eq!(candidate.claims.len(), 1, "the claim is on the way");
    let head = Head { fence: 12, ..Head::claim(next.id, None) };
    let fail = |head| {
        let (shard, reason) = (SHARD.to_owned(), "another daemon was quicker".to_owned());
        Event::ClaimFailed { shard, head, reason }
    };
    candidate.step(fail(Some(head)));
    assert_eq!(candidate.previous, [PreviousOwner::MaybeActive, PreviousOwner::Ended]);
    assert_eq!(candidate.replaces[1].fence, 12);
    candidate.step(fail(None));
    assert_eq!(candidate.claims.len(), 2, "once");
}

// The same, where the daemon was told to stop meanwhile, or the shard has a later owner.
#[test]
fn an_offer_during_a_claim_is_not_taken_up_if_it_no_longer_can_be() {
    let claiming = || {
        let (mut candidate, owner) = super::daemon_beside_owner();
        candidate.refuse(&owner, candidate.now);
        candidate.offer(SHARD, &member("next", STRONG), 12);
        candidate
    };
    let fail = |head| {
        let (shard, reason) = (SHARD.to_owned(), "another daemon was quicker".to_owned());
        Event::ClaimFailed { shard, head, reason }
    };
    let mut stopping = claiming();
    stopping.step(Event::Drain);
    stopping.step(fail(None));
    assert_eq!(stopping.claims.len(), 1);
    let mut late = claiming();
    let head = Head { fence: 15, ..Head::claim(member("later", STRONG).id, None) };
    late.step(fail(Some(head)));
    assert_eq!(late.claims.len(), 1);
}

// Guards against a shard without an owner for seconds: a daemon accepts it while its own claim is on
// the way, and can't claim it again if that fails, as it stops.
#[test]
fn a_daemon_that_stops_declines_an_offer_during_its_own_claim() {
    let mut candidate = Harness::new(member("candidate", STRONG), 1);
    candidate.run_for(ms(2000));
    assert_eq!(candidate.claims.len(), 1, "the shard has no owner");
    candidate.step(Event::Drain);
    assert_eq!(candidate.answer(9), OfferAnswer::Declined(DeclineReason::Draining));
}

// Guards against a shard that is offered though another daemon has claimed it: its owner hears of
// that while its last decisions become durable.
#[test]
fn a_shard_with_a_later_owner_is_not_offered() {
    let mut owner = stopping_owner(&candidates(2));
    owner.set_peer(member("later", WEAK), vec![report(SHARD, 12)]);
    owner.run_for(TICK);
    owner.release(SHARD, 9);
    assert_eq!(owner.offered, []);
    assert_eq!(owner.claims, []);
    assert_eq!(owner.ownership.owner(SHARD), Some(member("later", WEAK)));
}
