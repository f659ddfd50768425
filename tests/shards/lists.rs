//! What a shard does by a list of VMs that is old.

use crate::faults::Sound;
use crate::jobs::{chain, work};
use crate::witness::check;
use crate::world::World;
use indexmap::IndexMap;
use std::time::Duration;
use waxwingstall::job::ShownState;
use waxwingstall::shard::Answer;
use waxwingstall::units::Resources;

const SIZE: Resources = Resources::new(8000, 8000, 0);

/// Time after which nothing may start on a VM that said that it leaves.
const LAST_START: Duration = Duration::from_secs(2);

fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

// Callers' tasks are lost with a VM that had said long before that it leaves. Its owner can't read the
// list of VMs, whatever the reason, while the store takes its commits: it went on by the list that it
// had. It starts nothing more by it, and goes on as soon as it has read the list.
#[test]
fn nothing_is_started_by_a_list_of_vms_that_has_become_old() {
    let mut world = World::new(Sound, &["kacyiru"], 2, SIZE);
    world.run_for(seconds(1));
    world.stop_list(seconds(6));
    world.run_for(Duration::from_millis(200));
    world.leave_vm(0, seconds(8));
    world.run_for(LAST_START);
    let job = chain(1, 1, 6, work(700, 2));
    world.submit("kacyiru", job.clone());
    for _ in 0..30 {
        world.run_for(Duration::from_millis(100));
        assert_eq!(world.runs_on(0), 0, "a task runs where a VM leaves");
    }
    world.run_for(seconds(4));
    assert_eq!(world.show("kacyiru", job.id), Some(Answer::Shown(ShownState::Done)));
    check(&mut world, &IndexMap::from([(job.id, job)]), SIZE);
}

// The same, by a start that was decided in time and sent too late. The store goes away at some moment
// while a caller's tasks are being bound, and one of the VMs says that it leaves meanwhile. As the store
// returns the bindings are durable a moment before the list is read again, and were started at once.
#[test]
fn a_start_decided_before_an_outage_waits_for_the_list_of_vms() {
    for moment in (0..100).step_by(5) {
        let mut world = World::new(Sound, &["kacyiru"], 2, SIZE);
        world.run_for(seconds(1));
        let job = chain(1, 1, 6, work(700, 2));
        world.submit("kacyiru", job.clone());
        world.run_for(Duration::from_millis(moment));
        world.stop_store(seconds(4));
        world.run_for(seconds(2));
        world.leave_vm(0, seconds(8));
        for _ in 0..50 {
            world.run_for(Duration::from_millis(100));
            assert_eq!(world.runs_on(0), 0, "a task runs where a VM leaves, {moment} ms");
        }
        world.run_for(seconds(3));
        assert_eq!(world.show("kacyiru", job.id), Some(Answer::Shown(ShownState::Done)));
        check(&mut world, &IndexMap::from([(job.id, job)]), SIZE);
    }
}

// A caller's task runs twice at once. Its VM died and came back at its address, and was given the task in
// its new life; then the shard changes hands, to a daemon that read the list of VMs before that. It knows
// the earlier life from the list and the later one only from the binding, and took the later one for the
// one that is over: it started the task elsewhere, and never used the VM again.
#[test]
fn a_life_that_an_old_list_lacks_is_not_taken_for_over() {
    let mut world = World::new(Sound, &["kacyiru"], 2, SIZE);
    world.run_for(seconds(1));
    world.read_list_early("kacyiru");
    world.crash_vm(0, Duration::from_millis(300));
    world.run_for(seconds(1));
    let job = chain(1, 1, 4, work(4000, 2));
    world.submit("kacyiru", job.clone());
    world.run_for(Duration::from_millis(500));
    assert!(world.runs_on(0) > 0, "it runs in the later life");
    world.replace_owner("kacyiru");
    world.run_for(seconds(12));
    check(&mut world, &IndexMap::from([(job.id, job.clone())]), SIZE);
    assert_eq!(world.show("kacyiru", job.id), Some(Answer::Shown(ShownState::Done)));
}

// Callers' jobs wait 0.4 s longer than need be at most takeovers. The list of VMs is asked for at the moment
// that a claim has succeeded; control, on a thread of its own, hears of the claim a little later, and took
// the list for one of before the claim. Its age is known, and is a few milliseconds.
#[test]
fn a_list_asked_for_as_the_claim_succeeded_counts() {
    let mut world = World::new(Sound, &["kacyiru"], 2, SIZE);
    let job = chain(1, 1, 6, work(700, 2));
    world.submit("kacyiru", job);
    world.run_for(Duration::from_millis(840));
    let asked = world.now;
    world.run_for(Duration::from_millis(20));
    world.stop_list(seconds(2));
    world.replace_owner("kacyiru");
    world.hear_list("kacyiru", asked);
    let next = chain(2, 1, 2, work(700, 2));
    world.submit("kacyiru", next);
    world.run_for(Duration::from_millis(300));
    assert!(world.runs_on(0) + world.runs_on(1) > 0, "a list 20 ms old is recent enough");
}
