//! Refusal of finite jobs that can't be done while their result is of use.

use crate::faults::NoFaults;
use crate::jobs::{job_with_steps, work};
use crate::world::Simulation;
use std::time::Duration;
use waxwingstall::job::{Job, Repeat};
use waxwingstall::shard::{AdmissionMode, Answer};
use waxwingstall::units::Resources;

const SIZE: Resources = Resources::new(16_000, 64_000, 0);
const SHARD: &str = "kacyiru";
/// Tasks of two cores that take a hundred times as long as the result is of use, on 64 cores.
const TOO_MANY_TASKS: u32 = 9000;

/// A shard that has learned the run times of the queue, or not.
fn shard(learned_jobs: u64) -> Simulation<NoFaults> {
    let mut sim = Simulation::new(NoFaults, &[SHARD], 4, SIZE);
    sim.run_for(Duration::from_secs(1));
    for id in 1..=learned_jobs {
        sim.submit(SHARD, job_with_steps(id, 1, 20, work(200, 2)));
        sim.run_for(Duration::from_millis(500));
    }
    sim
}

fn too_large() -> Job {
    job_with_steps(1000, 1, TOO_MANY_TASKS, work(200, 2))
}

fn answer(sim: &mut Simulation<NoFaults>, job: Job) -> Option<Answer> {
    let ticket = sim.submit(SHARD, job);
    sim.run_for(Duration::from_millis(500));
    sim.answers.get(&ticket).cloned()
}

// Guards against a caller who waits for nothing: its job takes far longer than it is of use, and was
// accepted. Jobs that fit are accepted beside it.
#[test]
fn a_job_of_no_use_is_refused_at_once() {
    let mut sim = shard(25);
    let refused = answer(&mut sim, too_large());
    let Some(Answer::OfNoUse { retry_after, .. }) = refused else { panic!("{refused:?}") };
    assert!(retry_after >= Duration::from_secs(1) && retry_after <= Duration::from_secs(8));
    let small = job_with_steps(1001, 1, 20, work(200, 2));
    assert_eq!(answer(&mut sim, small), Some(Answer::Accepted));
}

// Guards against false refusals: by estimates that nothing has confirmed yet, and of repeated jobs.
#[test]
fn unknown_and_repeated_jobs_are_accepted() {
    assert_eq!(answer(&mut shard(2), too_large()), Some(Answer::Accepted));
    let interval = Duration::from_secs(60);
    let repeat = Repeat::Timed { first: Duration::ZERO, interval, times: 1 };
    let repeated = Job { repeat, ..too_large() };
    assert_eq!(answer(&mut shard(25), repeated), Some(Answer::Accepted));
}

// Guards against a job that is late in the shard it was sent to while another one has room: it is
// passed on if its sender may try another shard, and accepted otherwise.
#[test]
fn a_job_that_another_shard_can_do_in_time_is_passed_on() {
    let mut sim = Simulation::new(NoFaults, &[SHARD, "remera"], 4, SIZE);
    sim.run_for(Duration::from_secs(1));
    for id in 1..=25 {
        sim.submit(SHARD, job_with_steps(id, 1, 20, work(200, 2)));
        sim.run_for(Duration::from_millis(500));
    }
    let job = |id| job_with_steps(id, 1, 20, work(200, 2));
    for id in 100..160 {
        sim.submit(SHARD, job(id));
    }
    sim.run_for(Duration::from_millis(20));
    let tickets = [AdmissionMode::IfRoom, AdmissionMode::Always]
        .map(|mode| sim.submit_with(SHARD, job(200), mode));
    sim.run_for(Duration::from_millis(500));
    let answers = tickets.map(|ticket| sim.answers.get(&ticket).cloned());
    assert!(matches!(answers[0], Some(Answer::NotRun { .. })), "{answers:?}");
    assert_eq!(answers[1], Some(Answer::Accepted));
}
