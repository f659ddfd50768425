//! What an owner that has lost its shard tells the next one.

use super::offers::{FENCE, Node, SHARD as PLANNED_SHARD, listener, member};
use super::{
    HelloReceived, LogBuffer, SHARD, StoreEvent, VM, claimed, claimed_with_silent_vm, hello,
    logging_control,
};
use crate::clock::{Clock, ManualClock};
use crate::cluster::ownership::OWN_PAUSE_THRESHOLD;
use crate::cluster::{EndedOwnership, Hello, Member};
use crate::ids::{DaemonId, VmId};
use crate::jobs::records::OwnershipStatus;
use crate::shard::settings::MAX_STALE_OWNER_EXTENSION;
use crate::shard::{PreviousOwner, RemainingLeases, Settings, VmLapse};
use crate::vm::Fence;
use std::sync::Arc;
use std::time::Duration;

/// Fencing token of the previous owner.
const PREVIOUS: u64 = 5;

fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

/// A hello of a daemon that has lost the shard.
fn lost(fence: u64, leases: RemainingLeases) -> HelloReceived {
    let (name, earlier_active) = (SHARD.to_owned(), Duration::ZERO);
    let ended = vec![EndedOwnership { name, fence, earlier_active, leases }];
    let hello = Hello { shards: Arc::new([]), ended, ..hello() };
    HelloReceived { hello, asked: None }
}

/// A claim that replaces an owner that may be active, of a shard with a run on a VM that is not
/// reached.
fn claimed_from_active_owner() -> StoreEvent {
    let StoreEvent::Claimed(mut recovered) = claimed_with_silent_vm() else { unreachable!() };
    recovered.predecessor = Some(Fence(PREVIOUS));
    recovered.previous = PreviousOwner::MaybeActive;
    recovered.earlier_active = MAX_STALE_OWNER_EXTENSION;
    StoreEvent::Claimed(recovered)
}

#[derive(Clone, Copy, PartialEq)]
enum Told {
    BeforeTheClaim,
    AfterTheClaim,
}

/// The log of a new owner that is told of the end of an ownership, `time` later.
async fn log_of_new_owner(
    told: Told,
    fence: u64,
    leases: RemainingLeases,
    time: Duration,
) -> LogBuffer {
    let clock = Arc::new(ManualClock::new());
    let lines = LogBuffer::default();
    let control = logging_control(clock.clone(), lines.clone());
    let hello = lost(fence, leases);
    if told == Told::BeforeTheClaim {
        control.send(hello).await.expect("a control");
        control.send(claimed_from_active_owner()).await.expect("a control");
    } else {
        control.send(claimed_from_active_owner()).await.expect("a control");
        control.send(hello).await.expect("a control");
    }
    let step = OWN_PAUSE_THRESHOLD / 2;
    while clock.now() < time {
        clock.advance(step);
        actix::clock::sleep(Duration::from_millis(50)).await;
    }
    lines
}

fn leases(left: Duration, vms: &[(&str, Duration)]) -> RemainingLeases {
    let lapse = |(vm, left): &(&str, Duration)| VmLapse { vm: VmId::new(vm), left: *left };
    RemainingLeases { left, vms: vms.iter().map(lapse).collect() }
}

// Guards against a lasting task of a dead VM that waits for 12 s and a lease from the claim, although
// the previous owner knows when its leases end.
#[actix::test]
async fn a_new_owner_waits_for_no_longer_than_the_previous_one_tells() {
    for told in [Told::BeforeTheClaim, Told::AfterTheClaim] {
        let lines = log_of_new_owner(told, PREVIOUS, leases(seconds(2), &[]), seconds(3)).await;
        assert!(lines.wait_for("task-gone", 1).await, "{}", lines.text());
        assert!(lines.text().contains("previous-owner-ended"), "{}", lines.text());
    }
    let of_vm = leases(seconds(9), &[(VM, seconds(2))]);
    let lines = log_of_new_owner(Told::AfterTheClaim, PREVIOUS, of_vm, seconds(3)).await;
    assert!(lines.wait_for("task-gone", 1).await, "{}", lines.text());
}

// Guards against tasks that run twice: the times of another VM, or of an earlier ownership, say
// nothing of what the last owner has extended.
#[actix::test]
async fn a_new_owner_counts_what_the_previous_one_tells_for_its_vms_only() {
    let told = Told::AfterTheClaim;
    let other_vm = leases(seconds(9), &[("vm-other", Duration::ZERO)]);
    let this_vm = leases(Duration::ZERO, &[(VM, seconds(9))]);
    for (fence, leases) in
        [(PREVIOUS, other_vm), (PREVIOUS, this_vm), (PREVIOUS - 1, leases(Duration::ZERO, &[]))]
    {
        let lines = log_of_new_owner(told, fence, leases.clone(), seconds(5)).await;
        assert!(!lines.text().contains("task-gone"), "{fence} {leases:?}");
    }
}

// Guards against results of runs that are lost: the leases have ended long before the claim, and the
// new owner gives the runs up before it has asked their VMs.
#[actix::test]
async fn a_new_owner_asks_vms_before_it_gives_their_runs_up() {
    let ended = leases(Duration::ZERO, &[]);
    let half = Duration::from_millis(500);
    let lines = log_of_new_owner(Told::BeforeTheClaim, PREVIOUS, ended, half).await;
    assert!(!lines.text().contains("task-gone"), "{}", lines.text());
}

// Guards against a successor that is told nothing: its predecessor stood still, goes on, and finds
// that it has lost the shard.
#[actix::test]
async fn an_owner_that_goes_on_after_a_pause_tells_its_successor_that_it_has_ended() {
    let clock = Arc::new(ManualClock::new());
    let (at_owner, at_next) = (listener(), listener());
    let (owner, next) = (member("owner", 100, &at_owner), member("next", 105, &at_next));
    let status = OwnershipStatus::Lost;
    let paused = Node::start_with(owner.clone(), at_owner, clock.clone(), status).await;
    let status = OwnershipStatus::Owned;
    let successor = Node::start_with(next.clone(), at_next, clock.clone(), status).await;
    for (node, fence, predecessor) in [(&paused, FENCE, 5), (&successor, FENCE + 2, FENCE)] {
        node.read_store(&owner).await;
        let StoreEvent::Claimed(mut recovered) = claimed() else { unreachable!("a claim") };
        recovered.shard = PLANNED_SHARD.to_owned();
        recovered.fence = Fence(fence);
        recovered.predecessor = Some(Fence(predecessor));
        node.store(StoreEvent::Claimed(recovered)).await;
    }
    paused.hear(&next, Vec::new()).await;
    clock.advance(2 * OWN_PAUSE_THRESHOLD);
    let ended = "previous-owner-ended shard=kacyiru.0 fence=9 owner=owner@1";
    assert!(successor.lines.wait_for(ended, 1).await, "{}", successor.lines.text());
}

// Guards against a wait that counts from the claim: the previous owner had ended before its next
// process started, and the head that it left tells of no owner before it.
#[actix::test]
async fn a_claim_counts_leases_from_the_end_of_the_previous_owner() {
    let clock = Arc::new(ManualClock::new());
    clock.advance(seconds(20));
    let (at_owner, at_next) = (listener(), listener());
    let (owner, next) = (member("owner", 100, &at_owner), member("next", 105, &at_next));
    let node = Node::start_with(next, at_next, clock.clone(), OwnershipStatus::Owned).await;
    node.read_store(&owner).await;
    let from = Member { id: DaemonId::new("owner@2"), ..owner };
    let restarted = Hello { from, uptime: seconds(1), shards: Arc::new([]), ..hello() };
    let started_by = clock.now() - Duration::from_millis(960);
    let answer = HelloReceived { hello: restarted, asked: Some(clock.now()) };
    node.control.send(answer).await.expect("a control");
    for _ in 0..8 {
        actix::clock::sleep(Duration::from_millis(40)).await;
        clock.advance(Duration::from_millis(150));
    }
    assert_eq!(node.wait_for_claim().await.len(), 1, "{}", node.lines.text());
    let StoreEvent::Claimed(mut recovered) = claimed() else { unreachable!("a claim") };
    recovered.shard = PLANNED_SHARD.to_owned();
    recovered.fence = Fence(FENCE + 2);
    recovered.predecessor = Some(Fence(FENCE));
    recovered.before_previous = Some(Duration::ZERO);
    node.store(StoreEvent::Claimed(recovered)).await;
    let lease = Settings::default().inherited_lease(Duration::ZERO);
    let left = (started_by + lease - clock.now()).as_millis();
    let owned = format!("leases_ms={left}");
    assert!(node.lines.wait_for(&owned, 1).await, "{owned}: {}", node.lines.text());
}
