//! What control is told of the VMs, on a store that holds only so many changes in an answer.

use crate::world::{CALL, Seen, claim_of};
use std::sync::atomic::Ordering;
use std::time::Duration;
use waxwingstall::jobs::records::Forget;
use waxwingstall_standin::txns::ANSWER_CHANGES;

/// Time from a VM's announcement until owners know of it. Nothing may be started on a VM 2 s after it
/// said that it leaves, and half of that is left to the start itself.
const HEARD_WITHIN: Duration = Duration::from_secs(1);

// Tasks are started on VMs that said seconds before that they leave, and lasting tasks stand still for
// ten seconds after their VM went: their owner heard of neither. As daemons start, this one claims two
// shards, gives the first away and owns the second a moment later. Word that it owned no more, said
// before the second claim was known, left it reading the VMs every 3 s like a daemon that owns nothing.
// That it did so was told by the pauses that it logged between two readings.
#[actix_rt::test]
async fn an_owner_that_gave_another_shard_away_hears_of_vms_in_time() {
    let mut seen = Seen::start(30);
    seen.run(30, Duration::from_secs(1)).await;
    seen.claim("kacyiru.0").await;
    seen.run(30, Duration::from_millis(100)).await;
    seen.claim("kacyiru.1").await;
    let forget = Forget { shard: "kacyiru.0".to_owned() };
    seen.records.send(forget).await.expect("the duty runs");
    seen.run(30, Duration::from_secs(10)).await;
    for number in 0..5 {
        seen.announce(number, "leaving");
        tokio::time::sleep(HEARD_WITHIN).await;
        assert!(seen.knows_leaving(number), "VM {number} left, and its owner knows nothing");
    }
}

// The same symptom on deployments of hundreds of VMs. More changes come between two readings than an
// answer of the store holds: what was left over was read the next time, by then more was left over, and
// the list that decides what is started where grew older and older, though it was read a moment ago.
// That answers are cut was told by their changes, 500 each, and by the revision that they end at.
#[actix_rt::test]
async fn an_owner_reads_on_until_nothing_is_left_unread() {
    let mut seen = Seen::start(2 * ANSWER_CHANGES);
    seen.claim("kacyiru.0").await;
    seen.run(30, Duration::from_secs(2)).await;
    for _ in 0..5 {
        (0..2 * ANSWER_CHANGES).for_each(|number| seen.announce(number, "ready"));
    }
    seen.announce(7, "leaving");
    tokio::time::sleep(HEARD_WITHIN).await;
    assert!(seen.knows_leaving(7), "five answers' worth of changes came before it");
}

// A daemon that owned nothing is given a shard. It has read the VMs now and then, and never all that was
// new, so that its next answer was old as well, up to the 20 s that the store keeps; what it is told
// first as an owner must be as things are.
#[actix_rt::test]
async fn a_new_owner_is_told_of_the_vms_as_they_are() {
    let mut seen = Seen::start(400);
    seen.run(400, Duration::from_secs(15)).await;
    seen.announce(3, "leaving");
    tokio::time::sleep(CALL).await;
    let before = seen.last_told();
    seen.claim("kacyiru.0").await;
    while seen.last_told() == before {
        tokio::time::sleep(CALL).await;
    }
    assert!(seen.knows_leaving(3), "it said that it leaves before the shard was claimed");
}

/// Age of the list up to which a shard's owner places and starts work by it.
const MAX_LIST_AGE: Duration = Duration::from_millis(1300);

/// Time that the store takes for a call while it is slow: 90 times the usual.
const SLOW_CALL: Duration = Duration::from_millis(360);

// Nothing is placed for half of the time while the store is slow and VMs are replaced: as soon as a list
// names a new VM, the plan is read before anybody is told of the list, and so the one that owners have is
// older than they may go by.
#[actix_rt::test]
async fn an_owners_list_stays_recent_while_the_store_is_slow_and_vms_come() {
    let mut seen = Seen::start_with(30, SLOW_CALL);
    seen.claim("kacyiru.0").await;
    seen.run(30, Duration::from_secs(4)).await;
    seen.told.borrow_mut().clear();
    for number in 30..40 {
        seen.announce(number, "ready");
        seen.run(30, Duration::from_millis(1000)).await;
    }
    let oldest = seen.oldest_list();
    assert!(oldest <= MAX_LIST_AGE, "{oldest:?}");
}

// Nothing at all is placed, though the list of VMs is read several times a second: a VM has come, and the
// store turns away what concerns the plan. The list that was read is thrown away with the failed call.
#[actix_rt::test]
async fn a_list_that_was_read_is_told_of_though_the_plan_is_not_read() {
    let mut seen = Seen::start(30);
    seen.claim("kacyiru.0").await;
    seen.run(30, Duration::from_secs(2)).await;
    seen.no_plan.store(true, Ordering::Relaxed);
    seen.announce(30, "ready");
    seen.run(30, Duration::from_secs(1)).await;
    seen.announce(7, "leaving");
    tokio::time::sleep(HEARD_WITHIN).await;
    assert!(seen.knows_leaving(7), "its announcement was read and not passed on");
}

// Jobs are refused since a shard changes hands twice within a moment. Two daemons find it without an owner and
// decide to claim it; the second one's claim starts as the first one's has just taken effect, before there is
// any word of it. It read the new owner from the store and replaced it, though it had decided to replace
// nobody, rather than fail.
#[actix_rt::test]
async fn a_claim_replaces_nobody_but_the_owner_that_it_was_decided_against() {
    let seen = Seen::start(1);
    let other = seen.join("two");
    tokio::time::sleep(Duration::from_secs(1)).await;
    let claim = || claim_of("kacyiru.0");
    seen.records.send(claim()).await.expect("the duty runs");
    tokio::time::sleep(3 * CALL).await;
    other.send(claim()).await.expect("the duty runs");
    tokio::time::sleep(Duration::from_secs(1)).await;
    let mut claims = seen.claims.borrow().clone();
    claims.sort_unstable();
    assert_eq!(claims, [("one", true), ("two", false)]);
}
