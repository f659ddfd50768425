//! Work on VMs that don't answer, while their shard's owner is replaced.

use crate::faults::Sound;
use crate::jobs::{chain, work};
use crate::witness::check;
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

/// Two VMs, a lasting task, and the VM that it runs on.
fn world_with_task() -> (World<Sound>, Job, usize) {
    let mut world = World::new(Sound, &["kacyiru"], 2, SIZE);
    let job = chain(1, 1, 1, work(0, 2));
    world.submit("kacyiru", job.clone());
    world.run_for(seconds(1));
    let there = (0..2).find(|i| world.runs_on(*i) == 1).expect("it started");
    (world, job, there)
}

// A caller's lasting task stands still for 35 s. Its VM dies; as its time is nearly over, eleven
// seconds later in that case, the shard's owner freezes, and the next one knew only that it may live: it
// waited for the VM's whole time and 12 s more. In the log of such a day the VM was silent from 12.8 s on,
// the owner froze at 23.8 s, and `task-gone` came at 48.2 s. An owner tells what it knows of the VM.
#[test]
fn a_task_of_a_dead_vm_starts_in_time_though_its_owner_freezes() {
    let (mut world, job, there) = world_with_task();
    world.cut_vm(there, seconds(120));
    world.run_for(seconds(5));
    world.pause_owner("kacyiru", seconds(60));
    world.run_for(seconds(4));
    assert_eq!(world.runs_on(1 - there), 1, "it waits out its time anew");
    check(&mut world, &known(&job), SIZE);
}

// The same with two freezes: the second owner has never heard the VM, and passes on what it was told.
#[test]
fn what_was_told_of_a_dead_vm_outlives_a_second_owner() {
    let (mut world, job, there) = world_with_task();
    world.cut_vm(there, seconds(120));
    world.run_for(seconds(4));
    world.pause_owner("kacyiru", seconds(60));
    world.run_for(seconds(1));
    world.pause_owner("kacyiru", seconds(60));
    world.run_for(seconds(4));
    assert_eq!(world.runs_on(1 - there), 1, "it waits out its time anew");
    check(&mut world, &known(&job), SIZE);
}

// A VM answers again after five seconds, and its work is extended. The owner's news of that are lost, it
// freezes, and the VM is out of reach again: what others remember of the first silence is no longer
// true, and a task started by it would run in two places. The store doesn't have that silence any more.
#[test]
fn what_was_told_before_a_vm_answered_again_counts_no_more() {
    let (mut world, job, there) = world_with_task();
    world.cut_vm(there, seconds(5));
    world.run_for(Duration::from_millis(4900));
    world.lose_news();
    world.run_for(seconds(2));
    world.cut_vm(there, seconds(60));
    world.pause_owner("kacyiru", seconds(60));
    world.run_for(seconds(3));
    assert_eq!(world.runs_on(there), 1);
    assert_eq!(world.runs_on(1 - there), 0, "it runs in two places");
    check(&mut world, &known(&job), SIZE);
}

// A VM answers again while the store is away: it can't be taken back that the VM is silent, so its work
// isn't extended yet. It is once the store is back, and the caller's task runs on.
#[test]
fn a_vm_that_answers_again_while_the_store_is_away_keeps_its_work() {
    let (mut world, job, there) = world_with_task();
    world.cut_vm(there, seconds(5));
    world.run_for(Duration::from_millis(4500));
    world.stop_store(seconds(3));
    world.run_for(seconds(20));
    assert_eq!(world.runs_on(there), 1);
    check(&mut world, &known(&job), SIZE);
}
