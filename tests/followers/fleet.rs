//! Fleet updates sent to control, with a store that limits the number of changes in an answer.

use crate::harness::{ANNOUNCE_INTERVAL, Harness, LATENCY, NOTICE, unowned_claim};
use std::sync::atomic::Ordering;
use std::time::Duration;
use waxwingstall::jobs::records::RemoveShard;
use waxwingstall_standin::txns::ANSWER_CHANGES;

/// Maximum time from a VM's announcement until owners know of it. Nothing may be started on a VM
/// later than 2 s after it announced that it is leaving; half of that is reserved for the start
/// itself.
const MAX_NOTICE_TIME: Duration = Duration::from_secs(1);

// Guards against an owner that learns too late of leaving VMs, so that tasks are started on VMs
// which announced seconds before that they are leaving, and lasting tasks stand still for ten
// seconds after their VM left. At startup the daemon claims two shards, hands over the first and
// owns the second shortly after. A message that it owned no shard, sent before the second claim was
// known, left it reading the VMs every 3 s like a daemon without shards. The fault was found from
// the logged intervals between reads.
#[actix_rt::test]
async fn an_owner_that_gave_another_shard_away_hears_of_vms_in_time() {
    let mut harness = Harness::start(30);
    harness.advance(30, Duration::from_secs(1)).await;
    harness.claim("kacyiru.0").await;
    harness.advance(30, Duration::from_millis(100)).await;
    harness.claim("kacyiru.1").await;
    let remove = RemoveShard { shard: "kacyiru.0".to_owned() };
    harness.records.send(remove).await.expect("the actor is running");
    harness.advance(30, Duration::from_secs(10)).await;
    for number in 0..5 {
        harness.announce(number, "leaving");
        tokio::time::sleep(MAX_NOTICE_TIME).await;
        assert!(
            harness.reports_leaving(number),
            "VM {number} is leaving, and its owner has not been told"
        );
    }
}

// Guards against the same failure on deployments with hundreds of VMs. More changes arrive between
// two reads than one answer of the store holds. The remainder was left for the next read, by which
// time even more remained, so the list used for placement fell further and further behind although
// it was just refreshed. Truncated answers were recognized by their size, 500 changes each, and by
// the revision at which they ended.
#[actix_rt::test]
async fn an_owner_reads_on_until_nothing_is_left_unread() {
    let mut harness = Harness::start(2 * ANSWER_CHANGES);
    harness.claim("kacyiru.0").await;
    harness.advance(30, Duration::from_secs(2)).await;
    for _ in 0..5 {
        (0..2 * ANSWER_CHANGES).for_each(|number| harness.announce(number, "ready"));
    }
    harness.announce(7, "leaving");
    tokio::time::sleep(MAX_NOTICE_TIME).await;
    assert!(harness.reports_leaving(7), "not read in time after five answers' worth of changes");
}

// Guards against a new owner that starts with an outdated list. A daemon without shards reads the
// VMs only periodically and never catches up with all changes, so its next answer could be stale as
// well, by up to the 20 s that the store keeps. Its first update as an owner must be current.
#[actix_rt::test]
async fn a_new_owner_is_told_of_the_vms_as_they_are() {
    let mut harness = Harness::start(400);
    harness.advance(400, Duration::from_secs(15)).await;
    harness.announce(3, "leaving");
    tokio::time::sleep(LATENCY).await;
    let before = harness.last_update_at();
    harness.claim("kacyiru.0").await;
    while harness.last_update_at() == before {
        tokio::time::sleep(LATENCY).await;
    }
    assert!(
        harness.reports_leaving(3),
        "the VM announced that it is leaving before the shard was claimed"
    );
}

/// Maximum age of the list by which a shard's owner places and starts work.
const MAX_LIST_AGE: Duration = Duration::from_millis(1300);

/// Latency of a call while the store is slow: 90 times the normal value.
const SLOW_LATENCY: Duration = Duration::from_millis(360);

// Guards against placement stopping half of the time while the store is slow and VMs are replaced.
// Whenever a list contained a new VM, the plan was read before the list was passed on, so the list
// that owners had was older than the allowed age.
#[actix_rt::test]
async fn an_owners_list_stays_recent_while_the_store_is_slow_and_vms_come() {
    let mut harness = Harness::start_with_latency(30, SLOW_LATENCY);
    harness.claim("kacyiru.0").await;
    harness.advance(30, Duration::from_secs(4)).await;
    harness.updates.borrow_mut().clear();
    for number in 30..40 {
        harness.announce(number, "ready");
        harness.advance(30, Duration::from_millis(1000)).await;
    }
    let oldest = harness.max_list_age();
    assert!(oldest <= MAX_LIST_AGE, "{oldest:?}");
}

// Guards against placement stopping completely although the list of VMs is read several times a
// second: a new VM has appeared, and the store refuses calls for the plan. The list was discarded
// together with the failed call.
#[actix_rt::test]
async fn a_list_that_was_read_is_told_of_though_the_plan_is_not_read() {
    let mut harness = Harness::start(30);
    harness.claim("kacyiru.0").await;
    harness.advance(30, Duration::from_secs(2)).await;
    harness.refuse_plan.store(true, Ordering::Relaxed);
    harness.announce(30, "ready");
    harness.advance(30, Duration::from_secs(1)).await;
    harness.announce(7, "leaving");
    tokio::time::sleep(MAX_NOTICE_TIME).await;
    assert!(harness.reports_leaving(7), "its announcement was read but not passed on");
}

// Guards against jobs being refused because a shard changes hands twice in quick succession. Two
// daemons find it without an owner and decide to claim it; the claim of the second starts when that
// of the first has just taken effect, before this is known. It read the new owner from the store
// and replaced it, although it was decided when there was no owner, instead of failing.
#[actix_rt::test]
async fn a_claim_fails_if_another_owner_took_the_shard_after_the_decision() {
    let harness = Harness::start(1);
    let other = harness.start_other("two");
    tokio::time::sleep(Duration::from_secs(1)).await;
    let claim = || unowned_claim("kacyiru.0");
    harness.records.send(claim()).await.expect("the actor is running");
    tokio::time::sleep(3 * LATENCY).await;
    other.send(claim()).await.expect("the actor is running");
    tokio::time::sleep(Duration::from_secs(1)).await;
    let mut claims = harness.claims.borrow().clone();
    claims.sort_unstable();
    assert_eq!(claims, [("one", true), ("two", false)]);
}

/// Time in which the store removes the announcement of a VM that is silent.
const ANNOUNCEMENT_EXPIRY: Duration = Duration::from_millis(4500);

/// Lets a VM announce for its whole notice that it leaves, and removes its announcement after this
/// silence.
async fn leave(harness: &mut Harness, number: usize, silence: Duration) {
    let until = harness.clock.now() + NOTICE;
    while harness.clock.now() < until {
        let left = until - harness.clock.now();
        harness.announce(number, &format!("leaving left={}", left.as_millis()));
        tokio::time::sleep(ANNOUNCE_INTERVAL / 2).await;
    }
    harness.announce(number, "leaving left=0");
    tokio::time::sleep(silence).await;
    harness.remove_announcement(number);
    tokio::time::sleep(MAX_NOTICE_TIME).await;
}

// Guards against owners that wait for the lease of a VM that has left, since nobody tells them.
#[actix_rt::test]
async fn an_owner_is_told_that_a_vm_has_left_after_its_notice() {
    let mut harness = Harness::start(3);
    harness.claim("kacyiru.0").await;
    harness.advance(3, Duration::from_secs(2)).await;
    leave(&mut harness, 1, Duration::from_millis(500)).await;
    assert_eq!(harness.departures.borrow().len(), 1, "the VM has left after its notice");
}

// Guards against tasks that run twice: a VM that is silent after its notice may be alive.
#[actix_rt::test]
async fn a_silent_vm_is_not_told_to_have_left() {
    let mut harness = Harness::start(3);
    harness.claim("kacyiru.0").await;
    harness.advance(3, Duration::from_secs(2)).await;
    leave(&mut harness, 1, ANNOUNCEMENT_EXPIRY).await;
    assert_eq!(*harness.departures.borrow(), []);
}

/// Claims a shard, and returns which claims have finished after five latencies of the store: the head
/// is read and written, and then jobs, progress and silent VMs are read.
async fn claims_after_five_calls(prepare: impl FnOnce(&Harness)) -> Vec<(&'static str, bool)> {
    let latency = Duration::from_millis(100);
    let harness = Harness::start_with_latency(1, latency);
    tokio::time::sleep(10 * latency).await;
    prepare(&harness);
    harness.claim("kacyiru.0").await;
    tokio::time::sleep(latency * 5 + latency / 2).await;
    harness.claims.borrow().clone()
}

// Guards against a claim that takes longer because it reads what the shard has learned.
#[actix::test]
async fn reading_what_a_shard_has_learned_delays_no_claim() {
    assert_eq!(claims_after_five_calls(|_| {}).await, [("one", true)]);
}

// Guards against a shard without an owner because what it has learned can't be read.
#[actix::test]
async fn a_claim_does_without_what_the_shard_has_learned() {
    assert_eq!(claims_after_five_calls(Harness::refuse_learned).await, [("one", true)]);
}
