//! Tasks on unresponsive VMs while the shard's owner is replaced.

use crate::faults::Sound;
use crate::invariants::check;
use crate::jobs::{chain, work};
use crate::world::World;
use indexmap::IndexMap;
use std::time::Duration;
use waxwingstall::job::{Job, JobId};
use waxwingstall::units::Resources;

const SIZE: Resources = Resources::new(8000, 8000, 0);

fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn known(job: &Job) -> IndexMap<JobId, Job> {
    IndexMap::from([(job.id, job.clone())])
}

/// Two VMs, a long-running task, and the index of the VM it runs on.
fn world_with_task() -> (World<Sound>, Job, usize) {
    let mut world = World::new(Sound, &["kacyiru"], 2, SIZE);
    let job = chain(1, 1, 1, work(0, 2));
    world.submit("kacyiru", job.clone());
    world.run_for(seconds(1));
    let there = (0..2).find(|i| world.runs_on(*i) == 1).expect("it started");
    (world, job, there)
}

// Guards against a long-running task that stays down for 35 s. Its VM died, and 11 s later, shortly
// before the VM's deadline, the owner froze. The next owner knew only that the VM might be alive,
// and waited for the whole deadline and 12 s more. In the log the VM was silent from 12.8 s on, the
// owner froze at 23.8 s, and `task-gone` came at 48.2 s. Owners therefore publish the deadlines of
// silent VMs.
#[test]
fn a_task_of_a_dead_vm_restarts_in_time_after_its_owner_freezes() {
    let (mut world, job, there) = world_with_task();
    world.disconnect_vm(there, seconds(120));
    world.run_for(seconds(5));
    world.pause_owner("kacyiru", seconds(60));
    world.run_for(seconds(4));
    assert_eq!(world.runs_on(1 - there), 1, "the new owner waits for the whole deadline again");
    check(&mut world, &known(&job), SIZE);
}

// The same with two freezes: the second owner never had contact with the VM, and must pass on the
// published deadline.
#[test]
fn a_published_lapse_survives_a_second_owner_change() {
    let (mut world, job, there) = world_with_task();
    world.disconnect_vm(there, seconds(120));
    world.run_for(seconds(4));
    world.pause_owner("kacyiru", seconds(60));
    world.run_for(seconds(1));
    world.pause_owner("kacyiru", seconds(60));
    world.run_for(seconds(4));
    assert_eq!(world.runs_on(1 - there), 1, "the new owner waits for the whole deadline again");
    check(&mut world, &known(&job), SIZE);
}

// A VM responds again after 5 s and its tasks are extended. The owner's report of that is lost, the
// owner freezes, and the VM becomes unreachable again: the deadline published for the first silence
// is no longer valid, and a task started by it would run twice. The store no longer records the
// first silence.
#[test]
fn what_was_told_before_a_vm_answered_again_counts_no_more() {
    let (mut world, job, there) = world_with_task();
    world.disconnect_vm(there, seconds(5));
    world.run_for(Duration::from_millis(4900));
    world.lose_published_lapses();
    world.run_for(seconds(2));
    world.disconnect_vm(there, seconds(60));
    world.pause_owner("kacyiru", seconds(60));
    world.run_for(seconds(3));
    assert_eq!(world.runs_on(there), 1);
    assert_eq!(world.runs_on(1 - there), 0, "the task runs in two places");
    check(&mut world, &known(&job), SIZE);
}

// A VM responds again while the store is unavailable: the record of its silence can't be removed,
// so its tasks are not extended yet. They must be extended once the store is back, so that the task
// keeps running.
#[test]
fn a_vm_that_answers_again_while_the_store_is_away_keeps_its_work() {
    let (mut world, job, there) = world_with_task();
    world.disconnect_vm(there, seconds(5));
    world.run_for(Duration::from_millis(4500));
    world.stop_store(seconds(3));
    world.run_for(seconds(20));
    assert_eq!(world.runs_on(there), 1);
    check(&mut world, &known(&job), SIZE);
}
