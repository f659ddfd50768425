//! Recovery of a shard's state by its next owner.

use crate::faults::Sound;
use crate::invariants::check;
use crate::jobs::{chain, work};
use crate::world::World;
use indexmap::IndexMap;
use std::time::Duration;
use waxwingstall::job::{Job, JobId, ShownState};
use waxwingstall::shard::Answer;
use waxwingstall::units::Resources;
use waxwingstall_standin::runs::{Seen, Work};

const SIZE: Resources = Resources::new(8000, 8000, 0);

fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn world(vms: usize) -> World<Sound> {
    World::new(Sound, &["kacyiru"], vms, SIZE)
}

fn known(jobs: &[Job]) -> IndexMap<JobId, Job> {
    jobs.iter().map(|job| (job.id, job.clone())).collect()
}

// Baseline without faults: a job of two steps with four tasks each completes.
#[test]
fn a_job_of_two_steps_is_done() {
    let mut world = world(2);
    let job = chain(1, 2, 4, work(500, 2));
    let ticket = world.submit("kacyiru", job.clone());
    world.run_for(seconds(3));
    assert_eq!(world.answers.get(&ticket), Some(&Answer::Accepted));
    assert_eq!(world.show("kacyiru", job.id), Some(Answer::Shown(ShownState::Done)));
    check(&mut world, &known(&[job]), SIZE);
}

// Guards against an overcommitted VM: a running job is cancelled after its shard got a new owner.
// That owner had sent no start itself and assumed that the runs were never started: it released
// their resources while they still ran.
#[test]
fn a_cancelled_job_keeps_its_room_until_it_has_ended_also_after_a_takeover() {
    let mut world = world(1);
    let first = chain(1, 1, 4, work(20_000, 2));
    let second = chain(2, 1, 4, work(1000, 2));
    world.submit("kacyiru", first.clone());
    world.run_for(seconds(1));
    world.replace_owner("kacyiru");
    world.run_for(seconds(1));
    world.cancel("kacyiru", first.id);
    world.submit("kacyiru", second.clone());
    world.run_for(seconds(5));
    assert_eq!(world.show("kacyiru", first.id), Some(Answer::Shown(ShownState::Cancelled)));
    assert_eq!(world.show("kacyiru", second.id), Some(Answer::Shown(ShownState::Done)));
    check(&mut world, &known(&[first, second]), SIZE);
}

// A paused owner is replaced, resumes after 4 s and still believes that it owns the shard. VMs must
// refuse its commands and the store its commits, so that no task runs twice.
#[test]
fn a_replaced_owner_that_resumes_starts_nothing() {
    let mut world = world(3);
    let jobs: Vec<Job> = (1..6).map(|id| chain(id, 2, 3, work(900, 2))).collect();
    for job in &jobs {
        world.submit("kacyiru", job.clone());
    }
    world.run_for(Duration::from_millis(300));
    world.pause_owner("kacyiru", seconds(4));
    world.run_for(seconds(20));
    for job in &jobs {
        assert_eq!(world.show("kacyiru", job.id), Some(Answer::Shown(ShownState::Done)));
    }
    check(&mut world, &known(&jobs), SIZE);
}

// A task on an unreachable VM may still be running, so it must be started elsewhere only once the
// VM's deadline has certainly passed.
#[test]
fn a_task_on_a_vm_out_of_reach_is_started_again_after_its_time_has_passed() {
    let mut world = world(2);
    let job = chain(1, 1, 1, work(30_000, 2));
    world.submit("kacyiru", job.clone());
    world.run_for(seconds(1));
    let index = (0..2).find(|i| !world.vms[*i].table.seen.is_empty()).expect("it started");
    world.disconnect_vm(index, seconds(60));
    world.run_for(seconds(4));
    assert!(world.vms[1 - index].table.seen.is_empty(), "started elsewhere too soon");
    world.run_for(seconds(8));
    assert!(!world.vms[1 - index].table.seen.is_empty(), "not started elsewhere");
    check(&mut world, &known(&[job]), SIZE);
}

// A new VM instance at the same address proves that the earlier instance has ended, so its tasks
// must start again at once instead of waiting for the deadline.
#[test]
fn tasks_of_a_restarted_vm_start_again_when_it_is_back() {
    let mut world = world(1);
    let job = chain(1, 1, 2, work(1500, 2));
    world.submit("kacyiru", job.clone());
    world.run_for(seconds(1));
    world.crash_vm(0, seconds(1));
    world.run_for(seconds(5));
    assert_eq!(world.show("kacyiru", job.id), Some(Answer::Shown(ShownState::Done)));
    check(&mut world, &known(&[job]), SIZE);
}

// Jobs submitted during a store outage, after the last commit was sent, must be refused at once as
// not run. Running tasks continue, and their ends are made durable after the outage.
#[test]
fn jobs_are_refused_as_not_run_while_the_store_is_away() {
    let mut world = world(2);
    let first = chain(1, 1, 4, work(3000, 2));
    world.submit("kacyiru", first.clone());
    world.run_for(seconds(1));
    world.stop_store(seconds(6));
    let second = world.submit("kacyiru", chain(2, 1, 1, work(100, 1)));
    world.run_for(seconds(2));
    let third = world.submit("kacyiru", chain(3, 1, 1, work(100, 1)));
    world.run_for(Duration::from_millis(100));
    assert!(!world.answers.contains_key(&second), "a job in a pending commit has no reply yet");
    assert!(matches!(world.answers.get(&third), Some(Answer::NotRun { .. })));
    world.run_for(seconds(8));
    assert_eq!(world.answers.get(&second), Some(&Answer::Accepted));
    assert_eq!(world.show("kacyiru", first.id), Some(Answer::Shown(ShownState::Done)));
}

// A job with a task lent to another shard is cancelled while the borrower's VM is unreachable, and
// the borrower's owner is replaced before the stop is delivered. The next owner finds a recalled
// task that still runs, and must stop it although the job is not final as far as it knows.
#[test]
fn a_recalled_task_is_stopped_by_the_borrowers_next_owner() {
    let mut world = World::new(Sound, &["kacyiru", "remera"], 1, SIZE);
    let full = chain(1, 1, 4, work(60_000, 2));
    let lent = chain(2, 1, 1, work(0, 2));
    world.submit("kacyiru", full.clone());
    world.run_for(seconds(1));
    world.submit("kacyiru", lent.clone());
    world.run_for(seconds(4));
    assert!(!world.vms[1].table.seen.is_empty(), "the task was lent");
    world.disconnect_vm(1, Duration::from_millis(700));
    world.cancel("kacyiru", lent.id);
    world.run_for(Duration::from_millis(400));
    world.replace_owner("remera");
    world.run_for(seconds(4));
    let now = world.now;
    assert_eq!(world.vms[1].table.runs(now), [], "the task was not stopped");
    assert_eq!(world.show("kacyiru", lent.id), Some(Answer::Shown(ShownState::Cancelled)));
    check(&mut world, &known(&[full, lent]), SIZE);
}

// A VM crashes, and its shard gets a new owner before the VM is back. That owner knows the VM only
// from the binding. The new instance at the same address proves that the run has ended, so the task
// must not wait for the VM's deadline of 10 s and more.
#[test]
fn a_vm_that_restarts_over_a_takeover_is_recognised_by_its_address() {
    let mut world = world(1);
    let job = chain(1, 1, 1, work(800, 2));
    world.submit("kacyiru", job.clone());
    world.run_for(Duration::from_millis(500));
    world.crash_vm(0, seconds(2));
    world.run_for(seconds(1));
    world.replace_owner("kacyiru");
    world.run_for(seconds(4));
    assert_eq!(world.show("kacyiru", job.id), Some(Answer::Shown(ShownState::Done)));
    check(&mut world, &known(&[job]), SIZE);
}

// After a VM restart, the platform lists the earlier instance beside the new one for a while. Tasks
// on the new instance must keep running: the stale entry must not be taken for a VM that took over
// the address.
#[test]
fn a_stale_vm_entry_ends_no_task() {
    let mut world = world(1);
    let job = chain(1, 1, 1, work(4000, 2));
    world.run_for(seconds(1));
    let before = world.vms[0].entry.clone();
    world.crash_vm(0, Duration::from_millis(500));
    world.extra_entries.push(before);
    world.run_for(seconds(2));
    world.submit("kacyiru", job.clone());
    world.run_for(seconds(6));
    assert_eq!(world.show("kacyiru", job.id), Some(Answer::Shown(ShownState::Done)));
    assert_eq!(world.vms[0].table.seen.len(), 3, "started, ended and forgotten once");
    check(&mut world, &known(&[job]), SIZE);
}

// A VM announces that it leaves in 4 s while a long-running and a finite task run there. Both must
// be stopped early enough for the stop to be confirmed, and continue elsewhere at once: the
// long-running one well before the VM is gone, the finite one from its checkpoint.
#[test]
fn a_leaving_vm_is_drained_before_it_is_gone() {
    let mut world = world(2);
    let long_running = chain(1, 1, 1, work(0, 2));
    let long = chain(2, 1, 1, work(9000, 2));
    world.submit("kacyiru", long_running.clone());
    world.submit("kacyiru", long.clone());
    world.run_for(seconds(3));
    let now = world.now;
    let index = (0..2).find(|i| !world.vms[*i].table.runs(now).is_empty()).expect("both tasks run");
    let other = 1 - index;
    world.leave_vm(index, seconds(4));
    world.run_for(Duration::from_millis(1500));
    let now = world.now;
    assert!(world.vms[index].table.runs(now).is_empty(), "nothing is left on the leaving VM");
    assert_eq!(world.vms[other].table.runs(now).len(), 2, "both go on elsewhere");
    world.run_for(seconds(8));
    assert_eq!(world.show("kacyiru", long.id), Some(Answer::Shown(ShownState::Done)));
    check(&mut world, &known(&[long_running, long]), SIZE);
}

// Guards against a task that stays down during a rolling restart of the daemons. Its VM crashed and
// was no longer listed, and each new owner of the shard waited for the VM's whole deadline again.
#[test]
fn planned_stops_do_not_prolong_the_wait_for_a_dead_vm() {
    let mut world = world(2);
    let job = chain(1, 1, 1, work(0, 2));
    world.submit("kacyiru", job.clone());
    world.run_for(seconds(1));
    let there = (0..2).find(|vm| world.runs_on(*vm) == 1).expect("the task runs");
    world.crash_vm(there, seconds(600));
    for _ in 0..3 {
        world.run_for(seconds(2));
        world.hand_over("kacyiru");
    }
    world.run_for(seconds(3));
    assert_eq!(world.runs_on(1 - there), 1);
    check(&mut world, &known(&[job]), SIZE);
}

// Guards against tasks lost on a leaving VM: the shard's new owner had read the list of VMs before
// the VM announced that it was leaving, and started tasks there. A new owner must place nothing
// until it has read the list itself.
#[test]
fn a_new_owner_places_nothing_by_an_old_list_of_vms() {
    let mut world = world(2);
    world.run_for(seconds(1));
    world.keep_outdated_list("kacyiru");
    world.leave_vm(0, seconds(4));
    world.run_for(seconds(1));
    let job = chain(1, 1, 8, work(700, 2));
    world.submit("kacyiru", job.clone());
    world.run_for(Duration::from_millis(500));
    world.replace_owner("kacyiru");
    for _ in 0..30 {
        world.run_for(Duration::from_millis(50));
        assert_eq!(world.runs_on(0), 0);
    }
    world.run_for(seconds(1));
    assert_eq!(world.show("kacyiru", job.id), Some(Answer::Shown(ShownState::Done)));
    check(&mut world, &known(&[job]), SIZE);
}

// Guards against a fourth attempt of a task with three. The task fails for the last time as its
// shard's owner is replaced, and the next owner has not read the queues yet, as after a store
// outage: it heard of the end (`task-failed ... attempts=4294967295` in its log) and took the
// attempts for unlimited. It must read the queues before it handles an end.
#[test]
fn an_owner_that_has_not_read_the_queues_starts_nothing_again() {
    let mut world = world(2);
    let failing = Work { fails: 9, ..work(800, 2) };
    let job = chain(1, 1, 1, failing);
    world.submit("kacyiru", job.clone());
    while started(&world) < 3 {
        world.run_for(Duration::from_millis(20));
    }
    world.replace_owner_unconfigured("kacyiru");
    world.run_for(seconds(3));
    assert_eq!(started(&world), 3, "started again");
    world.configure("kacyiru");
    world.run_for(seconds(1));
    assert_eq!(started(&world), 3, "started again");
    assert_eq!(world.show("kacyiru", job.id), Some(Answer::Shown(ShownState::Failed)));
}

/// Number of runs started on all VMs.
fn started(world: &World<Sound>) -> usize {
    let seen = world.vms.iter().flat_map(|vm| &vm.table.seen);
    seen.filter(|seen| matches!(seen, Seen::Started { .. })).count()
}
