//! Limits on the capacity that long-running tasks may take.

use crate::faults::{Faults, NoFaults, Outcome};
use crate::invariants::check;
use crate::jobs::{job_with_steps, work};
use crate::world::Simulation;
use indexmap::IndexMap;
use std::time::Duration;
use waxwingstall::job::{Job, JobId, JobState};
use waxwingstall::shard::{Action, Answer};
use waxwingstall::units::Resources;
use waxwingstall_standin::runs::Work;

const SIZE: Resources = Resources::new(8000, 8000, 0);
const SHARD: &str = "kacyiru";

fn known(jobs: &[&Job]) -> IndexMap<JobId, Job> {
    jobs.iter().map(|job| (job.id, (*job).clone())).collect()
}

// Guards against short jobs that starve: long-running jobs, which have precedence, were accepted
// until no VM had more than one free core. In such a run they held 94 % of all CPU from the start
// (`lasting_cores` in `shard-state`), 200 to 370 short tasks waited (`short_waiting`) beside 65
// free cores, and a third of the short jobs was in time. The job that would take the last free
// capacity must be refused at once as not run, with a retry delay.
#[test]
fn lasting_jobs_leave_room_for_short_ones() {
    let mut sim = Simulation::new(NoFaults, &[SHARD], 1, SIZE);
    let first = job_with_steps(1, 1, 3, work(0, 2));
    let second = job_with_steps(2, 1, 1, work(0, 2));
    let short = job_with_steps(3, 1, 1, work(500, 2));
    let accepted = sim.submit(SHARD, first.clone());
    sim.run_for(Duration::from_secs(1));
    let refused = sim.submit(SHARD, second);
    sim.submit(SHARD, short.clone());
    sim.run_for(Duration::from_secs(1));
    assert_eq!(sim.answers.get(&accepted), Some(&Answer::Accepted));
    let answer = sim.answers.get(&refused).cloned();
    let Some(Answer::NotRun { retry_after, .. }) = answer else { panic!("{answer:?}") };
    assert!(retry_after >= Duration::from_secs(1), "a retry that early is refused again");
    assert_eq!(sim.show(SHARD, short.id), Some(Answer::Shown(JobState::Done)));
    check(&mut sim, &known(&[&first, &short]), SIZE);
}

// Guards against exceeding the limit with long-running jobs that are submitted at the same time:
// none was durable when the next one arrived, and all were accepted.
#[test]
fn lasting_jobs_that_come_together_leave_room_for_short_ones() {
    let mut sim = Simulation::new(NoFaults, &[SHARD], 1, SIZE);
    sim.run_for(Duration::from_secs(1));
    let jobs = [1, 2, 3].map(|id| job_with_steps(id, 1, 1, work(0, 3)));
    let tickets = jobs.each_ref().map(|job| sim.submit(SHARD, job.clone()));
    sim.run_for(Duration::from_secs(1));
    let accepted = tickets.iter().filter(|id| sim.answers.get(*id) == Some(&Answer::Accepted));
    assert_eq!(accepted.count(), 2);
    check(&mut sim, &known(&jobs.each_ref()), SIZE);
}

// A long-running job must be accepted again once cancelling another one has freed the capacity.
#[test]
fn a_lasting_job_is_taken_once_room_has_come_back() {
    let mut sim = Simulation::new(NoFaults, &[SHARD], 1, SIZE);
    let first = job_with_steps(1, 1, 3, work(0, 2));
    let second = job_with_steps(2, 1, 1, work(0, 2));
    sim.submit(SHARD, first.clone());
    sim.run_for(Duration::from_secs(1));
    sim.cancel(SHARD, first.id);
    sim.run_for(Duration::from_secs(2));
    sim.submit(SHARD, second.clone());
    sim.run_for(Duration::from_secs(1));
    assert_eq!(sim.show(SHARD, second.id), Some(Answer::Shown(JobState::Running)));
    check(&mut sim, &known(&[&first, &second]), SIZE);
}

// A long-running job that needs all of a small deployment must be accepted if no other
// long-running job is there: nothing else would use the capacity.
#[test]
fn a_lasting_job_that_is_the_only_one_may_take_all_the_room() {
    let mut sim = Simulation::new(NoFaults, &[SHARD], 1, SIZE);
    let only = job_with_steps(1, 1, 4, work(0, 2));
    sim.submit(SHARD, only.clone());
    sim.run_for(Duration::from_secs(1));
    assert_eq!(sim.runs_on(0), 4);
    check(&mut sim, &known(&[&only]), SIZE);
}

/// Start commands, and likewise stop commands, that may be unanswered at a time.
const MAX_COMMANDS: usize = 128;

/// A job of many tasks that all fit on one VM.
fn wide(id: u64, time: Duration) -> Job {
    let work = Work { time, size: Resources::new(2, 2, 0), ..Work::default() };
    job_with_steps(id, 1, 2000, work)
}

// Guards against a wide job whose starts take all file descriptors of the daemon.
#[test]
fn the_starts_of_a_wide_job_are_sent_a_few_at_a_time() {
    let mut sim = Simulation::new(NoFaults, &[SHARD], 1, SIZE);
    let job = wide(1, Duration::from_millis(300));
    sim.submit(SHARD, job.clone());
    sim.run_for(Duration::from_secs(4));
    assert_eq!(sim.most_commands, MAX_COMMANDS);
    assert_eq!(sim.show(SHARD, job.id), Some(Answer::Shown(JobState::Done)));
    check(&mut sim, &known(&[&job]), SIZE);
}

// Guards against the same for the stops of a cancelled job, and stops that are left out.
#[test]
fn the_stops_of_a_wide_job_are_sent_a_few_at_a_time() {
    let mut sim = Simulation::new(NoFaults, &[SHARD], 1, SIZE);
    let job = wide(1, Duration::from_secs(60));
    sim.submit(SHARD, job.clone());
    sim.run_for(Duration::from_secs(2));
    assert_eq!(sim.running_tasks(job.id), 2000);
    sim.cancel(SHARD, job.id);
    sim.run_for(Duration::from_secs(2));
    assert!(sim.most_commands <= 2 * MAX_COMMANDS, "{} commands", sim.most_commands);
    assert_eq!(sim.running_tasks(job.id), 0);
    check(&mut sim, &known(&[&job]), SIZE);
}

// Guards against a wide job whose starts delay those of all others.
#[test]
fn a_narrow_job_starts_before_the_rest_of_a_wide_one() {
    let mut sim = Simulation::new(SlowStarts, &[SHARD], 1, SIZE);
    let (wide, narrow) = (wide(1, Duration::from_secs(60)), job_with_steps(2, 1, 1, work(100, 1)));
    sim.submit(SHARD, wide.clone());
    sim.run_for(Duration::from_secs(1));
    sim.submit(SHARD, narrow.clone());
    sim.run_for(Duration::from_secs(1));
    assert!(sim.running_tasks(wide.id) < 2000, "the wide job waits still");
    assert_eq!(sim.show(SHARD, narrow.id), Some(Answer::Shown(JobState::Done)));
}

/// VMs that take their time to answer starts.
struct SlowStarts;

impl Faults for SlowStarts {
    fn command_outcome(&mut self, _: Duration, action: &Action) -> Outcome {
        match action {
            Action::Start { .. } => Outcome::Slow(Duration::from_millis(200)),
            _ => Outcome::Delivered,
        }
    }
    fn message_outcome(&mut self, _: Duration) -> Outcome {
        Outcome::Delivered
    }
}
