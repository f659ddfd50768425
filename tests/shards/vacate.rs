//! VMs drained because their machines go down for upkeep.

use crate::faults::NoFaults;
use crate::invariants::check;
use crate::jobs::{job_with_steps, work};
use crate::world::{LostPort, Simulation};
use indexmap::IndexMap;
use std::time::Duration;
use waxwingstall::job::{Job, JobId, JobState, Resume};
use waxwingstall::shard::Answer;
use waxwingstall::units::Resources;
use waxwingstall_standin::runs::Seen;

const SIZE: Resources = Resources::new(8000, 8000, 0);
const SHARD: &str = "kacyiru";

fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn sim(vms: usize) -> Simulation<NoFaults> {
    Simulation::new(NoFaults, &[SHARD], vms, SIZE)
}

fn known(jobs: &[Job]) -> IndexMap<JobId, Job> {
    jobs.iter().map(|job| (job.id, job.clone())).collect()
}

// A job of four long-running tasks allows one to be unavailable. When a VM with several of them is
// drained, the next one must not stop before the previous one runs elsewhere.
#[test]
fn lasting_tasks_are_drained_within_their_budget() {
    let mut sim = sim(2);
    let mut job = job_with_steps(1, 1, 4, work(0, 2));
    job.steps[0].max_away = Some(1);
    sim.submit(SHARD, job.clone());
    sim.run_for(seconds(2));
    let there = sim.runs_on(0);
    assert!((1..4).contains(&there), "{there} tasks are on the first VM");
    sim.drain_vm(SHARD, 0, Duration::ZERO);
    sim.run_for(seconds(6));
    assert_eq!(sim.runs_on(0), 0);
    assert_eq!(sim.runs_on(1), 4);
    assert_eq!(sim.drained_vms(SHARD), [sim.vms[0].entry.id.clone()]);
    check(&mut sim, &known(&[job]), SIZE);
    assert_apart(&sim, there);
}

/// Checks that each stop on the first VM follows the restart elsewhere of the task stopped before.
fn assert_apart(sim: &Simulation<NoFaults>, stops: usize) {
    let ended: Vec<Duration> = sim.vms[0].table.seen.iter().filter_map(end_of).collect();
    let started: Vec<Duration> = sim.vms[1].table.seen.iter().filter_map(start_of).collect();
    let moved = &started[started.len() - stops..];
    assert_eq!(ended.len(), stops);
    for (next_end, start) in ended.iter().skip(1).zip(moved) {
        assert!(start < next_end, "{ended:?}, {moved:?}");
    }
}

fn end_of(seen: &Seen) -> Option<Duration> {
    if let Seen::Ended { at, .. } = seen { Some(*at) } else { None }
}

fn start_of(seen: &Seen) -> Option<Duration> {
    if let Seen::Started { at, .. } = seen { Some(*at) } else { None }
}

// Two jobs run on a VM that is drained. The resumable one must stop at once; the other must be
// allowed to finish within the timeout of the order. Neither may run twice, and no new task may
// start on the VM.
#[test]
fn a_drained_vm_lets_unresumable_tasks_finish() {
    let mut sim = sim(1);
    let resumable = job_with_steps(1, 1, 1, work(6000, 2));
    let mut fixed = job_with_steps(2, 1, 1, work(1500, 2));
    fixed.steps[0].resume = Resume::FromStart;
    sim.submit(SHARD, resumable.clone());
    sim.submit(SHARD, fixed.clone());
    sim.run_for(Duration::from_millis(500));
    sim.drain_vm(SHARD, 0, seconds(3));
    sim.submit(SHARD, job_with_steps(3, 1, 1, work(200, 1)));
    sim.run_for(seconds(2));
    assert_eq!(sim.runs_on(0), 0);
    assert_eq!(sim.show(SHARD, fixed.id), Some(Answer::Shown(JobState::Done)));
    assert_eq!(sim.show(SHARD, resumable.id), Some(Answer::Shown(JobState::Running)));
    assert_eq!(sim.show(SHARD, JobId(3)), Some(Answer::Shown(JobState::Queued)));
}

// Guards against a lasting task that is stopped for the sake of room which it may not take: the other
// VM is at the step's limit.
#[test]
fn a_lasting_task_stays_while_other_vms_are_at_its_limit() {
    let mut sim = sim(2);
    let mut job = job_with_steps(1, 1, 2, work(0, 2));
    job.steps[0].per_vm = 1;
    sim.submit(SHARD, job.clone());
    sim.run_for(seconds(2));
    sim.drain_vm(SHARD, 0, Duration::ZERO);
    sim.run_for(seconds(1));
    assert_eq!((sim.runs_on(0), sim.runs_on(1)), (1, 1));
    sim.run_for(seconds(3));
    assert_eq!(sim.runs_on(0), 0, "the VM is drained in the end");
    check(&mut sim, &known(&[job]), SIZE);
}

// Guards against a second task of a step that is stopped while the first one is on a VM that is lost:
// until its lease has ended it counted as available.
#[test]
fn a_task_stays_while_another_of_its_step_is_on_a_lost_vm() {
    let mut sim = sim(4);
    let mut job = job_with_steps(1, 1, 3, work(0, 2));
    (job.steps[0].per_vm, job.steps[0].max_away) = (1, Some(1));
    sim.submit(SHARD, job.clone());
    sim.run_for(seconds(2));
    let running: Vec<usize> = (0..4).filter(|vm| sim.runs_on(*vm) > 0).collect();
    let [lost, drained, _] = running[..] else { panic!("three VMs run a task: {running:?}") };
    sim.lose_vm(lost, LostPort::Silent);
    sim.run_for(seconds(2));
    sim.drain_vm(SHARD, drained, Duration::ZERO);
    sim.run_for(seconds(3));
    assert_eq!(sim.runs_on(drained), 1, "only one task may be away");
    sim.run_for(seconds(8));
    assert_eq!(sim.runs_on(drained), 0, "the VM is drained in the end");
    check(&mut sim, &known(&[job]), SIZE);
}
