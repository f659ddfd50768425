//! Scheduled jobs whose occurrences are due.

use crate::faults::NoFaults;
use crate::invariants::check;
use crate::jobs::{job_with_steps, work};
use crate::world::Simulation;
use indexmap::IndexMap;
use std::time::Duration;
use waxwingstall::job::{Job, JobId, JobState, Label, Repeat};
use waxwingstall::shard::Answer;
use waxwingstall::units::Resources;
use waxwingstall_standin::runs::Work;

const SHARD: &str = "kacyiru";
const SIZE: Resources = Resources::new(8000, 8000, 0);

/// Largest value that the platform's store takes.
const VALUE_BYTES: usize = 1 << 20;

fn millis(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

/// A job with small tasks and occurrences that are all due at once.
fn overdue(id: u64, tasks: u32, times: u32, time: u64) -> Job {
    let work = Work { size: Resources::new(100, 16, 0), ..work(time, 1) };
    let mut job = job_with_steps(id, 1, tasks, work);
    job.repeat = Repeat::Timed { first: Duration::ZERO, interval: Duration::ZERO, times };
    job
}

// Guards against a schedule with so many occurrences due that its record exceeds what the store takes,
// and that its shard's other jobs wait for good.
#[test]
fn a_schedule_that_is_overdue_keeps_no_other_job_waiting() {
    for (tasks, times) in [(8, 20_000), (4000, 60)] {
        let mut sim = Simulation::new(NoFaults, &[SHARD], 4, SIZE);
        sim.kv.max_value_bytes = VALUE_BYTES;
        sim.submit(SHARD, overdue(1, tasks, times, 500));
        sim.run_for(millis(200));
        let others: Vec<Job> = (2..6).map(|id| job_with_steps(id, 2, 2, work(800, 1))).collect();
        others.iter().for_each(|job| {
            sim.submit(SHARD, job.clone());
        });
        sim.run_for(seconds(8));
        for job in &others {
            let state = sim.show(SHARD, job.id);
            assert_eq!(state, Some(Answer::Shown(JobState::Done)), "{tasks} tasks {times} times");
        }
        assert_eq!(sim.kv.rejected, 0, "{tasks} tasks {times} times");
    }
}

// Guards against occurrences that wait beside room since earlier ones are open.
#[test]
fn overdue_occurrences_run_one_after_the_other_until_all_are_done() {
    let mut sim = Simulation::new(NoFaults, &[SHARD], 2, SIZE);
    let job = overdue(1, 3, 400, 200);
    sim.submit(SHARD, job.clone());
    // 160 tasks fit at once: 8 batches of 200 ms, and the time to notice their ends.
    sim.run_for(seconds(8));
    assert_eq!(sim.show(SHARD, job.id), Some(Answer::Shown(JobState::Done)));
    check(&mut sim, &IndexMap::from([(job.id, job)]), SIZE);
}

// Guards against later occurrences that are not begun, beside room, as a later step of earlier ones
// finds no VM.
#[test]
fn a_step_without_a_vm_keeps_no_occurrence_from_beginning() {
    let mut sim = Simulation::new(NoFaults, &[SHARD], 2, SIZE);
    let mut job = job_with_steps(1, 2, 2, work(100, 1));
    job.repeat = Repeat::Timed { first: Duration::ZERO, interval: Duration::ZERO, times: 300 };
    job.steps[1].label = Some(Label::new("ssd"));
    sim.submit(SHARD, job.clone());
    sim.run_for(seconds(12));
    let started = sim.starts.iter().filter(|start| start.req.task.step == 0).count();
    assert_eq!(started, 600, "first steps");
}

// Guards against a commit that the store won't take and that is sent again for ever, while all other jobs
// of the shard wait for theirs.
#[test]
fn a_job_too_large_to_be_stored_is_refused_and_holds_up_no_other() {
    let mut sim = Simulation::new(NoFaults, &[SHARD], 4, SIZE);
    sim.kv.max_value_bytes = 2000;
    let others: Vec<Job> = (2..8).map(|id| job_with_steps(id, 2, 2, work(800, 1))).collect();
    sim.submit(SHARD, others[0].clone());
    let ticket = sim.submit(SHARD, overdue(1, 1000, 1, 500));
    others[1..].iter().for_each(|job| {
        sim.submit(SHARD, job.clone());
    });
    sim.run_for(seconds(6));
    let answer = sim.answers.get(&ticket);
    assert!(matches!(answer, Some(Answer::Impossible { .. })), "{answer:?}");
    assert_eq!(sim.show(SHARD, JobId(1)), Some(Answer::NotHere));
    for job in &others {
        assert_eq!(sim.show(SHARD, job.id), Some(Answer::Shown(JobState::Done)), "{}", job.id);
    }
    assert!(sim.kv.rejected < 10, "{} commits were rejected", sim.kv.rejected);
}

// Guards against an accepted job whose record outgrows what the store takes, and that holds up the others
// of its shard and the room that its tasks were to have.
#[test]
fn a_record_that_outgrows_the_store_holds_up_no_other_job() {
    let mut sim = Simulation::new(NoFaults, &[SHARD], 4, SIZE);
    sim.kv.max_value_bytes = 2000;
    let large = overdue(1, 200, 1, 500);
    sim.submit(SHARD, large.clone());
    sim.run_for(millis(10));
    sim.kv.max_value_bytes = 1000;
    let others: Vec<Job> = (2..8).map(|id| job_with_steps(id, 2, 2, work(800, 2))).collect();
    others.iter().for_each(|job| {
        sim.submit(SHARD, job.clone());
    });
    sim.run_for(seconds(6));
    for job in &others {
        assert_eq!(sim.show(SHARD, job.id), Some(Answer::Shown(JobState::Done)), "{}", job.id);
    }
    let rejected = sim.kv.rejected;
    sim.run_for(seconds(10));
    assert_eq!(sim.kv.rejected, rejected, "commits are rejected again and again");
    sim.kv.max_value_bytes = VALUE_BYTES;
    sim.replace_owner(SHARD);
    sim.run_for(seconds(20));
    assert_eq!(sim.show(SHARD, large.id), Some(Answer::Shown(JobState::Done)));
}

// Guards against an accepted job that never goes on although the store would take its record by now.
#[test]
fn a_rejected_record_is_sent_again_after_a_while_although_it_is_no_smaller() {
    let mut sim = Simulation::new(NoFaults, &[SHARD], 4, SIZE);
    sim.kv.max_value_bytes = 2000;
    let large = overdue(1, 200, 1, 500);
    sim.submit(SHARD, large.clone());
    sim.run_for(millis(10));
    sim.kv.max_value_bytes = 100;
    sim.run_for(seconds(5));
    let rejected = sim.kv.rejected;
    assert!(rejected > 0, "the record is too large");
    sim.kv.max_value_bytes = VALUE_BYTES;
    sim.run_for(seconds(75));
    assert_eq!(sim.show(SHARD, large.id), Some(Answer::Shown(JobState::Done)));
}
