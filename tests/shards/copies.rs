//! Speculative copies and restarts of slow runs, and the steps that they make faster.

use crate::faults::{Faults, NoFaults};
use crate::invariants::check;
use crate::jobs::{job_with_steps, work};
use crate::world::Simulation;
use indexmap::IndexMap;
use std::time::Duration;
use waxwingstall::job::{Copies, Job, JobId, JobState, Resume};
use waxwingstall::note::Note;
use waxwingstall::shard::Answer;
use waxwingstall::units::Resources;
use waxwingstall::vm::EndKind;
use waxwingstall_standin::runs::Seen;

const SIZE: Resources = Resources::new(16_000, 16_000, 0);
const SHARD: &str = "kacyiru";

/// Speed in percent of a VM that takes seven times as long.
const SEVENTH: u8 = 14;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A job of one step of independent tasks that can't be resumed.
fn step_of(id: u64, tasks: u32, millis: u64, copies: Copies) -> Job {
    let mut job = job_with_steps(id, 1, tasks, work(millis, 2));
    job.steps[0].copies = copies;
    job.steps[0].resume = Resume::FromStart;
    job
}

fn simulation<F: Faults>(faults: F, vms: usize) -> Simulation<F> {
    let mut sim = Simulation::new(faults, &[SHARD], vms, SIZE);
    sim.run_for(ms(1000));
    sim
}

fn check_all<F: Faults>(sim: &mut Simulation<F>, jobs: &[&Job]) {
    let jobs: IndexMap<JobId, Job> = jobs.iter().map(|job| (job.id, (*job).clone())).collect();
    check(sim, &jobs, SIZE);
}

/// Runs a job until it ends, and returns how long it took.
fn time_of<F: Faults>(sim: &mut Simulation<F>, job: &Job) -> Duration {
    let begun = sim.now;
    sim.submit(SHARD, job.clone());
    wait_for(sim, job, JobState::Done);
    sim.now - begun
}

fn wait_for<F: Faults>(sim: &mut Simulation<F>, job: &Job, state: JobState) {
    let until = sim.now + Duration::from_secs(60);
    while sim.show(SHARD, job.id) != Some(Answer::Shown(state)) {
        assert!(sim.now < until, "job {} is not {state:?} within a minute", job.id);
    }
}

/// Starts of a job's tasks on all VMs.
fn starts<F: Faults>(sim: &Simulation<F>, job: &Job) -> usize {
    let tables = sim.vms.iter().map(|vm| &vm.table).chain(&sim.ended_tables);
    let seen = tables.flat_map(|table| &table.seen);
    seen.filter(|seen| matches!(seen, Seen::Started { task, .. } if task.job == job.id)).count()
}

/// How the runs of a job's tasks ended.
fn ends<F: Faults>(sim: &Simulation<F>, job: &Job, kind: EndKind) -> usize {
    let tables = sim.vms.iter().map(|vm| &vm.table).chain(&sim.ended_tables);
    let seen = tables.flat_map(|table| &table.seen);
    let ended = |seen: &&Seen| matches!(seen, Seen::Ended { task, outcome, .. } if task.job == job.id && *outcome == kind);
    seen.filter(ended).count()
}

/// Copies started and won by the shard, by its last report.
fn copies<F: Faults>(sim: &mut Simulation<F>) -> (u64, u64) {
    sim.run_for(ms(2100));
    match sim.states.get(SHARD) {
        Some(Note::ShardState { copies, copies_won, .. }) => (*copies, *copies_won),
        other => panic!("no report of the shard: {other:?}"),
    }
}

fn slow_down<F: Faults>(sim: &mut Simulation<F>, vm: usize, percent: u8) {
    let now = sim.now;
    sim.vms[vm].table.set_speed(now, percent);
}

// Guards against a step that waits seven times as long for its runs on one slow VM.
#[test]
fn a_run_on_a_slow_vm_gets_a_copy_and_the_first_success_counts() {
    let mut sim = simulation(NoFaults, 4);
    slow_down(&mut sim, 0, SEVENTH);
    let job = step_of(1, 8, 640, Copies::Parallel);
    let took = time_of(&mut sim, &job);
    assert!(took < ms(2500), "{took:?}");
    let (started, won) = copies(&mut sim);
    assert!(started > 0 && won > 0, "{started} copies, {won} won");
    assert!(starts(&sim, &job) > 8);
    check_all(&mut sim, &[&job]);
}

// Guards against copies of the tasks of a step that takes long on every VM.
#[test]
fn a_step_that_takes_seven_times_as_long_is_not_copied() {
    let mut sim = simulation(NoFaults, 4);
    let mut job = step_of(1, 8, 4500, Copies::Parallel);
    job.steps[0].estimate = ms(640);
    time_of(&mut sim, &job);
    assert_eq!(copies(&mut sim), (0, 0));
    assert_eq!(starts(&sim, &job), 8);
}

// Guards against two runs at once where the step doesn't allow them: the slow run is stopped first.
#[test]
fn without_copies_a_run_on_a_slow_vm_is_stopped_and_started_elsewhere() {
    let mut sim = simulation(NoFaults, 4);
    slow_down(&mut sim, 0, SEVENTH);
    let job = step_of(1, 8, 1500, Copies::One);
    let took = time_of(&mut sim, &job);
    assert!(took < ms(6000), "{took:?}");
    assert!(ends(&sim, &job, EndKind::Stopped) > 0);
    assert_eq!(copies(&mut sim), (0, 0));
    check_all(&mut sim, &[&job]);
}
