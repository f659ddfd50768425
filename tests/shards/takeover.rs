//! Recovery of a shard's state by its next owner.

use crate::faults::NoFaults;
use crate::invariants::check;
use crate::jobs::{job_with_steps, work};
use crate::world::{LostPort, Simulation};
use indexmap::IndexMap;
use std::time::Duration;
use waxwingstall::job::{Job, JobId, JobState, Resume};
use waxwingstall::shard::Answer;
use waxwingstall::units::Resources;
use waxwingstall_standin::runs::{Seen, Work};

const SIZE: Resources = Resources::new(8000, 8000, 0);

fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn sim(vms: usize) -> Simulation<NoFaults> {
    Simulation::new(NoFaults, &["kacyiru"], vms, SIZE)
}

fn known(jobs: &[Job]) -> IndexMap<JobId, Job> {
    jobs.iter().map(|job| (job.id, job.clone())).collect()
}

// Baseline without faults: a job of two steps with four tasks each completes.
#[test]
fn a_job_of_two_steps_is_done() {
    let mut sim = sim(2);
    let job = job_with_steps(1, 2, 4, work(500, 2));
    let ticket = sim.submit("kacyiru", job.clone());
    sim.run_for(seconds(3));
    assert_eq!(sim.answers.get(&ticket), Some(&Answer::Accepted));
    assert_eq!(sim.show("kacyiru", job.id), Some(Answer::Shown(JobState::Done)));
    check(&mut sim, &known(&[job]), SIZE);
}

// Guards against an overcommitted VM: a running job is cancelled after its shard got a new owner.
// That owner had sent no start itself and assumed that the runs were never started: it released
// their resources while they still ran.
#[test]
fn a_cancelled_job_keeps_its_room_until_it_has_ended_also_after_a_takeover() {
    let mut sim = sim(1);
    let first = job_with_steps(1, 1, 4, work(20_000, 2));
    let second = job_with_steps(2, 1, 4, work(1000, 2));
    sim.submit("kacyiru", first.clone());
    sim.run_for(seconds(1));
    sim.replace_owner("kacyiru");
    sim.run_for(seconds(1));
    sim.cancel("kacyiru", first.id);
    sim.submit("kacyiru", second.clone());
    sim.run_for(seconds(5));
    assert_eq!(sim.show("kacyiru", first.id), Some(Answer::Shown(JobState::Cancelled)));
    assert_eq!(sim.show("kacyiru", second.id), Some(Answer::Shown(JobState::Done)));
    check(&mut sim, &known(&[first, second]), SIZE);
}

// A paused owner is replaced, resumes after 4 s and still believes that it owns the shard. VMs must
// refuse its commands and the store its commits, so that no task runs twice.
#[test]
fn a_replaced_owner_that_resumes_starts_nothing() {
    let mut sim = sim(3);
    let jobs: Vec<Job> = (1..6).map(|id| job_with_steps(id, 2, 3, work(900, 2))).collect();
    for job in &jobs {
        sim.submit("kacyiru", job.clone());
    }
    sim.run_for(Duration::from_millis(300));
    sim.pause_owner("kacyiru", seconds(4));
    sim.run_for(seconds(20));
    for job in &jobs {
        assert_eq!(sim.show("kacyiru", job.id), Some(Answer::Shown(JobState::Done)));
    }
    check(&mut sim, &known(&jobs), SIZE);
}

// A task on an unreachable VM may still be running, so it must be started elsewhere only once the
// VM's deadline has certainly passed.
#[test]
fn a_task_on_a_vm_out_of_reach_is_started_again_after_its_time_has_passed() {
    let mut sim = sim(2);
    let job = job_with_steps(1, 1, 1, work(30_000, 2));
    sim.submit("kacyiru", job.clone());
    sim.run_for(seconds(1));
    let index = (0..2).find(|i| !sim.vms[*i].table.seen.is_empty()).expect("it started");
    sim.disconnect_vm(index, seconds(60));
    sim.run_for(seconds(4));
    assert!(sim.vms[1 - index].table.seen.is_empty(), "started elsewhere too soon");
    sim.run_for(seconds(8));
    assert!(!sim.vms[1 - index].table.seen.is_empty(), "not started elsewhere");
    check(&mut sim, &known(&[job]), SIZE);
}

// A new VM instance at the same address proves that the earlier instance has ended, so its tasks
// must start again at once instead of waiting for the deadline.
#[test]
fn tasks_of_a_restarted_vm_start_again_when_it_is_back() {
    let mut sim = sim(1);
    let job = job_with_steps(1, 1, 2, work(1500, 2));
    sim.submit("kacyiru", job.clone());
    sim.run_for(seconds(1));
    sim.crash_vm(0, seconds(1));
    sim.run_for(seconds(5));
    assert_eq!(sim.show("kacyiru", job.id), Some(Answer::Shown(JobState::Done)));
    check(&mut sim, &known(&[job]), SIZE);
}

// Jobs submitted during a store outage, after the last commit was sent, must be refused at once as
// not run. Running tasks continue, and their ends are made durable after the outage.
#[test]
fn jobs_are_refused_as_not_run_while_the_store_is_away() {
    let mut sim = sim(2);
    let first = job_with_steps(1, 1, 4, work(3000, 2));
    sim.submit("kacyiru", first.clone());
    sim.run_for(seconds(1));
    sim.stop_store(seconds(6));
    let second = sim.submit("kacyiru", job_with_steps(2, 1, 1, work(100, 1)));
    sim.run_for(seconds(2));
    let third = sim.submit("kacyiru", job_with_steps(3, 1, 1, work(100, 1)));
    sim.run_for(Duration::from_millis(100));
    assert!(!sim.answers.contains_key(&second), "a job in a pending commit has no reply yet");
    assert!(matches!(sim.answers.get(&third), Some(Answer::NotRun { .. })));
    sim.run_for(seconds(8));
    assert_eq!(sim.answers.get(&second), Some(&Answer::Accepted));
    assert_eq!(sim.show("kacyiru", first.id), Some(Answer::Shown(JobState::Done)));
}

// A job with a task lent to another shard is cancelled while the borrower's VM is unreachable, and
// the borrower's owner is replaced before the stop is delivered. The next owner finds a recalled
// task that still runs, and must stop it although the job is not final as far as it knows.
#[test]
fn a_recalled_task_is_stopped_by_the_borrowers_next_owner() {
    let mut sim = Simulation::new(NoFaults, &["kacyiru", "remera"], 1, SIZE);
    let full = job_with_steps(1, 1, 4, work(60_000, 2));
    let lent = job_with_steps(2, 1, 1, work(0, 2));
    sim.submit("kacyiru", full.clone());
    sim.run_for(seconds(1));
    sim.submit("kacyiru", lent.clone());
    sim.run_for(seconds(4));
    assert!(!sim.vms[1].table.seen.is_empty(), "the task was lent");
    sim.disconnect_vm(1, Duration::from_millis(700));
    sim.cancel("kacyiru", lent.id);
    sim.run_for(Duration::from_millis(400));
    sim.replace_owner("remera");
    sim.run_for(seconds(4));
    let now = sim.now;
    assert_eq!(sim.vms[1].table.runs(now), [], "the task was not stopped");
    assert_eq!(sim.show("kacyiru", lent.id), Some(Answer::Shown(JobState::Cancelled)));
    check(&mut sim, &known(&[full, lent]), SIZE);
}

// A VM crashes, and its shard gets a new owner before the VM is back. That owner knows the VM only
// from the binding. The new instance at the same address proves that the run has ended, so the task
// must not wait for the VM's deadline of 10 s and more.
#[test]
fn a_vm_that_restarts_over_a_takeover_is_recognised_by_its_address() {
    let mut sim = sim(1);
    let job = job_with_steps(1, 1, 1, work(800, 2));
    sim.submit("kacyiru", job.clone());
    sim.run_for(Duration::from_millis(500));
    sim.crash_vm(0, seconds(2));
    sim.run_for(seconds(1));
    sim.replace_owner("kacyiru");
    sim.run_for(seconds(4));
    assert_eq!(sim.show("kacyiru", job.id), Some(Answer::Shown(JobState::Done)));
    check(&mut sim, &known(&[job]), SIZE);
}

// After a VM restart, the platform lists the earlier instance beside the new one for a while. Tasks
// on the new instance must keep running: the stale entry must not be taken for a VM that took over
// the address.
#[test]
fn a_stale_vm_entry_ends_no_task() {
    let mut sim = sim(1);
    let job = job_with_steps(1, 1, 1, work(4000, 2));
    sim.run_for(seconds(1));
    let before = sim.vms[0].entry.clone();
    sim.crash_vm(0, Duration::from_millis(500));
    sim.announcements.extra.push(before);
    sim.run_for(seconds(2));
    sim.submit("kacyiru", job.clone());
    sim.run_for(seconds(6));
    assert_eq!(sim.show("kacyiru", job.id), Some(Answer::Shown(JobState::Done)));
    assert_eq!(sim.vms[0].table.seen.len(), 3, "started, ended and forgotten once");
    check(&mut sim, &known(&[job]), SIZE);
}

// A VM announces that it leaves in 4 s while a long-running and a finite task run there. Both must
// be stopped early enough for the stop to be confirmed, and continue elsewhere at once: the
// long-running one well before the VM is gone, the finite one from its checkpoint.
#[test]
fn a_leaving_vm_is_drained_before_it_is_gone() {
    let mut sim = sim(2);
    let long_running = job_with_steps(1, 1, 1, work(0, 2));
    let long = job_with_steps(2, 1, 1, work(9000, 2));
    sim.submit("kacyiru", long_running.clone());
    sim.submit("kacyiru", long.clone());
    sim.run_for(seconds(3));
    let now = sim.now;
    let index = (0..2).find(|i| !sim.vms[*i].table.runs(now).is_empty()).expect("both tasks run");
    let other = 1 - index;
    sim.leave_vm(index, seconds(4));
    sim.run_for(Duration::from_millis(1500));
    let now = sim.now;
    assert!(sim.vms[index].table.runs(now).is_empty(), "nothing is left on the leaving VM");
    assert_eq!(sim.vms[other].table.runs(now).len(), 2, "both go on elsewhere");
    sim.run_for(seconds(8));
    assert_eq!(sim.show("kacyiru", long.id), Some(Answer::Shown(JobState::Done)));
    check(&mut sim, &known(&[long_running, long]), SIZE);
}

// Guards against a task that stays down during a rolling restart of the daemons. Its VM crashed and
// was no longer listed, and each new owner of the shard waited for the VM's whole deadline again.
#[test]
fn planned_stops_do_not_prolong_the_wait_for_a_dead_vm() {
    let mut sim = sim(2);
    let job = job_with_steps(1, 1, 1, work(0, 2));
    sim.submit("kacyiru", job.clone());
    sim.run_for(seconds(1));
    let there = (0..2).find(|vm| sim.runs_on(*vm) == 1).expect("the task runs");
    sim.crash_vm(there, seconds(600));
    for _ in 0..3 {
        sim.run_for(seconds(2));
        sim.hand_over("kacyiru");
    }
    sim.run_for(seconds(3));
    assert_eq!(sim.runs_on(1 - there), 1);
    check(&mut sim, &known(&[job]), SIZE);
}

// Guards against a task that waits for an owner before the last one, of which there is none, after
// all daemons were killed.
#[test]
fn a_task_of_a_lost_vm_waits_for_one_lease_after_all_daemons_were_killed() {
    for port in [LostPort::Refusing, LostPort::Silent] {
        let mut sim = sim(2);
        let job = job_with_steps(1, 1, 1, work(0, 2));
        sim.submit("kacyiru", job.clone());
        sim.run_for(seconds(1));
        sim.pause_owner("kacyiru", seconds(4));
        sim.run_for(seconds(40));
        let there = (0..2).find(|vm| sim.runs_on(*vm) == 1).expect("the task runs");
        sim.lose_vm(there, port);
        sim.run_for(seconds(2));
        sim.restart_daemons("kacyiru");
        sim.run_for(seconds(8));
        assert_eq!(sim.runs_on(1 - there), 1, "the new owner waits for one before the last");
        check(&mut sim, &known(&[job]), SIZE);
    }
}

// Guards against tasks lost on a leaving VM: the shard's new owner had read the list of VMs before
// the VM announced that it was leaving, and started tasks there. A new owner must place nothing
// until it has read the list itself.
#[test]
fn a_new_owner_places_nothing_by_an_old_list_of_vms() {
    let mut sim = sim(2);
    sim.run_for(seconds(1));
    sim.keep_outdated_list("kacyiru");
    sim.leave_vm(0, seconds(4));
    sim.run_for(seconds(1));
    let job = job_with_steps(1, 1, 8, work(700, 2));
    sim.submit("kacyiru", job.clone());
    sim.run_for(Duration::from_millis(500));
    sim.replace_owner("kacyiru");
    for _ in 0..30 {
        sim.run_for(Duration::from_millis(50));
        assert_eq!(sim.runs_on(0), 0);
    }
    sim.run_for(seconds(1));
    assert_eq!(sim.show("kacyiru", job.id), Some(Answer::Shown(JobState::Done)));
    check(&mut sim, &known(&[job]), SIZE);
}

// Guards against a fourth attempt of a task with three. The task fails for the last time as its
// shard's owner is replaced, and the next owner has not read the queues yet, as after a store
// outage: it heard of the end (`task-failed ... attempts=4294967295` in its log) and took the
// attempts for unlimited. It must read the queues before it handles an end.
#[test]
fn an_owner_that_has_not_read_the_queues_starts_nothing_again() {
    let mut sim = sim(2);
    let failing = Work { fails: 9, ..work(800, 2) };
    let job = job_with_steps(1, 1, 1, failing);
    sim.submit("kacyiru", job.clone());
    while started(&sim) < 3 {
        sim.run_for(Duration::from_millis(20));
    }
    sim.replace_owner_unconfigured("kacyiru");
    sim.run_for(seconds(3));
    assert_eq!(started(&sim), 3, "started again");
    sim.configure("kacyiru");
    sim.run_for(seconds(1));
    assert_eq!(started(&sim), 3, "started again");
    assert_eq!(sim.show("kacyiru", job.id), Some(Answer::Shown(JobState::Failed)));
}

/// Number of runs started on all VMs.
fn started(sim: &Simulation<NoFaults>) -> usize {
    let seen = sim.vms.iter().flat_map(|vm| &vm.table.seen);
    seen.filter(|seen| matches!(seen, Seen::Started { .. })).count()
}

// Guards against tasks that are killed because the store fails while their shard is handed over: its
// owner sent no more polls until the last commit was answered, and the leases ended.
#[test]
fn tasks_survive_an_outage_of_the_store_during_a_hand_over() {
    for max_keep in [seconds(6), seconds(10)] {
        let mut sim = Simulation::with_max_keep(NoFaults, &["kacyiru"], 1, SIZE, max_keep);
        sim.submit("kacyiru", job_with_steps(1, 1, 3, work(0, 1)));
        sim.run_for(seconds(1));
        sim.stop_store(seconds(10));
        sim.submit("kacyiru", job_with_steps(2, 1, 1, work(500, 1)));
        sim.run_for(Duration::from_millis(100));
        sim.begin_hand_over("kacyiru");
        sim.run_for(seconds(9));
        assert_eq!(sim.runs_on(0), 3, "the store is still down");
        sim.run_for(Duration::from_millis(1200));
        sim.hand_over("kacyiru");
        sim.run_for(seconds(3));
        assert_eq!(sim.show("kacyiru", JobId(2)), Some(Answer::Shown(JobState::Done)));
        assert_eq!(started(&sim), 4, "each task has started once");
    }
}

// Guards against a task that is lost with its VM because the store fails while the shard is handed
// over: no stop was sent although the notice was known.
#[test]
fn a_leaving_vm_is_vacated_during_a_hand_over_that_waits_for_the_store() {
    let mut sim = sim(1);
    let mut job = job_with_steps(1, 1, 1, work(30_000, 1));
    job.steps[0].resume = Resume::FromStart;
    sim.submit("kacyiru", job);
    sim.run_for(seconds(1));
    sim.depart_vm(0, seconds(5));
    sim.run_for(Duration::from_millis(900));
    sim.stop_store(seconds(10));
    sim.submit("kacyiru", job_with_steps(2, 1, 1, work(500, 1)));
    sim.run_for(Duration::from_millis(100));
    sim.begin_hand_over("kacyiru");
    assert_eq!(sim.runs_on(0), 1, "the notice leaves time");
    sim.run_for(Duration::from_millis(3900));
    assert_eq!(sim.runs_on(0), 0, "the VM leaves in 100 ms");
}
