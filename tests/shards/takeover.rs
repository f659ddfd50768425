//! What a shard's next owner makes of what it finds.

use crate::faults::Sound;
use crate::jobs::{chain, work};
use crate::witness::check;
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

// A caller hands in two steps of four tasks and sees them done. Nothing fails on the way; this is
// what the other tests disturb.
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

// A caller cancels a job that runs; between its start and the cancellation the shard changed
// hands. The new owner has sent no start itself and took the runs for never sent: it gave their
// room away while they ran on, and the next job overfilled the VM.
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

// A caller's job goes on while its shard's owner stands still for four seconds. Another daemon
// takes the shard; the first wakes and still believes that it owns it. VMs refuse its orders and
// the store its commits, so that no task runs twice.
#[test]
fn an_owner_that_wakes_up_late_starts_nothing() {
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

// A caller waits for a task on a VM that nobody reaches any more. It may still run there, so that
// it is started elsewhere only once the time that the VM was given has surely passed.
#[test]
fn a_task_on_a_vm_out_of_reach_is_started_again_after_its_time_has_passed() {
    let mut world = world(2);
    let job = chain(1, 1, 1, work(30_000, 2));
    world.submit("kacyiru", job.clone());
    world.run_for(seconds(1));
    let index = (0..2).find(|i| !world.vms[*i].table.seen.is_empty()).expect("it started");
    world.cut_vm(index, seconds(60));
    world.run_for(seconds(4));
    assert!(world.vms[1 - index].table.seen.is_empty(), "started elsewhere too soon");
    world.run_for(seconds(8));
    assert!(!world.vms[1 - index].table.seen.is_empty(), "not started elsewhere");
    check(&mut world, &known(&[job]), SIZE);
}

// A caller's job is on a VM that restarts. The VM's new life at the same address proves that the
// earlier one has ended, so that its tasks start again at once and don't wait for their time.
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

// Callers hand jobs in while the store is away. Those that come too late for the last commit are
// told at once that nothing of them runs; what runs goes on, and its ends are made durable later.
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
    assert!(!world.answers.contains_key(&second), "what is being written has no answer yet");
    assert!(matches!(world.answers.get(&third), Some(Answer::NotRun { .. })));
    world.run_for(seconds(8));
    assert_eq!(world.answers.get(&second), Some(&Answer::Accepted));
    assert_eq!(world.show("kacyiru", first.id), Some(Answer::Shown(ShownState::Done)));
}

// A caller cancels a job of which a task is lent to another shard. That shard's VM can't be reached
// just then, and its owner is replaced before the stop gets through. The next owner finds a task
// that was recalled and still runs: it has to stop it, though the job goes on as far as it knows.
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
    world.cut_vm(1, Duration::from_millis(700));
    world.cancel("kacyiru", lent.id);
    world.run_for(Duration::from_millis(400));
    world.replace_owner("remera");
    world.run_for(seconds(4));
    let now = world.now;
    assert_eq!(world.vms[1].table.runs(now), [], "it runs on");
    assert_eq!(world.show("kacyiru", lent.id), Some(Answer::Shown(ShownState::Cancelled)));
    check(&mut world, &known(&[full, lent]), SIZE);
}

// A caller's job runs on a VM that dies; the shard changes hands before the VM is back. The next
// owner knows the VM only from the binding. Its new life at the same address proves that the run
// has ended, so that the task doesn't wait for the VM's time, ten seconds and more.
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

// A VM restarts, and the platform goes on announcing its earlier life for a while, beside the new
// one. What runs on the new life stays there: the earlier announcement is not taken for a VM that
// took over the address.
#[test]
fn an_announcement_that_outlives_its_vm_ends_nothing() {
    let mut world = world(1);
    let job = chain(1, 1, 1, work(4000, 2));
    world.run_for(seconds(1));
    let before = world.vms[0].entry.clone();
    world.crash_vm(0, Duration::from_millis(500));
    world.announced_beside.push(before);
    world.run_for(seconds(2));
    world.submit("kacyiru", job.clone());
    world.run_for(seconds(6));
    assert_eq!(world.show("kacyiru", job.id), Some(Answer::Shown(ShownState::Done)));
    assert_eq!(world.vms[0].table.seen.len(), 3, "started, ended and forgotten once");
    check(&mut world, &known(&[job]), SIZE);
}

// A VM says that it leaves in four seconds while a lasting task and a long one run there. Both are
// stopped while there is time to hear of it, and go on elsewhere at once: the lasting one well
// before the VM is gone, the long one from its checkpoint.
#[test]
fn a_leaving_vm_is_emptied_before_it_is_gone() {
    let mut world = world(2);
    let lasting = chain(1, 1, 1, work(0, 2));
    let long = chain(2, 1, 1, work(9000, 2));
    world.submit("kacyiru", lasting.clone());
    world.submit("kacyiru", long.clone());
    world.run_for(seconds(3));
    let now = world.now;
    let index = (0..2).find(|i| !world.vms[*i].table.runs(now).is_empty()).expect("they run");
    let other = 1 - index;
    world.leave_vm(index, seconds(4));
    world.run_for(Duration::from_millis(1500));
    let now = world.now;
    assert!(world.vms[index].table.runs(now).is_empty(), "nothing is left on the leaving VM");
    assert_eq!(world.vms[other].table.runs(now).len(), 2, "both go on elsewhere");
    world.run_for(seconds(8));
    assert_eq!(world.show("kacyiru", long.id), Some(Answer::Shown(ShownState::Done)));
    check(&mut world, &known(&[lasting, long]), SIZE);
}

// A caller's lasting task stands on a VM that dies and isn't announced any more. Its shard is given
// away twice while the VM's time runs out; each new owner waited all of that time again, so
// that the task stood for as long as daemons were stopped in turn.
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

// One of two VMs says that it leaves, and half of a caller's job waits for the other. The shard's owner
// is then replaced by a daemon that owned nothing and had read the list of VMs before: it started the
// rest on the leaving VM, where it was lost. It places nothing until it has read the list itself.
#[test]
fn a_new_owner_places_nothing_by_an_old_list_of_vms() {
    let mut world = world(2);
    world.run_for(seconds(1));
    world.read_list_early("kacyiru");
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

// A caller's task fails for the third and last time as its shard's owner is replaced. The next owner has the
// shard a moment before it has read the queues, as after an outage of the store; it heard of the end
// (`task-failed ... attempts=4294967295` in its log), took the attempts for unlimited, and started the task
// a fourth time. It waits for the queues before it decides what an end means.
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

/// Runs that were started on any VM.
fn started(world: &World<Sound>) -> usize {
    let seen = world.vms.iter().flat_map(|vm| &vm.table.seen);
    seen.filter(|seen| matches!(seen, Seen::Started { .. })).count()
}
