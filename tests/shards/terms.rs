//! Jobs whose queue is removed or changed while they are open.

use crate::faults::NoFaults;
use crate::invariants::check;
use crate::jobs::{job_with_steps, work};
use crate::world::{QUEUE, Simulation};
use indexmap::IndexMap;
use std::time::Duration;
use waxwingstall::job::{Copies, Job, JobId, JobState, Label, QueueName};
use waxwingstall::queues::Queues;
use waxwingstall::shard::Answer;
use waxwingstall::units::Resources;
use waxwingstall_standin::permits::PermitTable;
use waxwingstall_standin::runs::{Seen, Work};

const SIZE: Resources = Resources::new(8000, 8000, 0);
const SHARDS: [&str; 2] = ["kacyiru", "remera"];
const HOME: &str = SHARDS[0];
const VALID: Duration = Duration::from_secs(3);

/// Failed runs that a task may have by the queue's terms.
const ATTEMPTS: usize = 3;

/// Starts without a permit that a VM may refuse in ten seconds.
const MAX_REFUSED: u32 = 12;

fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn sim() -> Simulation<NoFaults> {
    Simulation::new(NoFaults, &SHARDS, 2, SIZE)
}

fn remove_queue(queues: &mut Queues) {
    queues.queues.shift_remove(&QueueName::new(QUEUE)).expect("the queue is configured");
}

/// A job with one task that always fails.
fn failing() -> Job {
    job_with_steps(1, 1, 1, Work { fails: u32::MAX, ..work(700, 2) })
}

fn known(jobs: &[&Job]) -> IndexMap<JobId, Job> {
    jobs.iter().map(|job| (job.id, (*job).clone())).collect()
}

fn starts(sim: &Simulation<NoFaults>) -> usize {
    let seen = sim.vms.iter().flat_map(|vm| &vm.table.seen);
    seen.filter(|seen| matches!(seen, Seen::Started { .. })).count()
}

/// Asserts that the failing job has ended with its attempts used up.
fn assert_failed(mut sim: Simulation<NoFaults>, job: &Job) {
    sim.run_for(seconds(12));
    assert_eq!(sim.show(HOME, job.id), Some(Answer::Shown(JobState::Failed)));
    assert_eq!(starts(&sim), ATTEMPTS);
    check(&mut sim, &known(&[job]), SIZE);
}

/// Submits a job, and lets its first runs work.
fn start(sim: &mut Simulation<NoFaults>, job: &Job) {
    sim.run_for(seconds(1));
    sim.submit(HOME, job.clone());
    sim.run_for(Duration::from_millis(400));
}

// Guards against a task that always fails and is started without end, as the attempts were those of
// its queue, which was removed.
#[test]
fn a_job_keeps_its_attempts_once_its_queue_is_removed() {
    let (mut sim, job) = (sim(), failing());
    start(&mut sim, &job);
    sim.change_queues(remove_queue);
    assert_failed(sim, &job);
}

// Guards against the same after a change of owner, and after the loss of all daemons.
#[test]
fn a_job_keeps_its_attempts_over_a_change_of_owner() {
    let ends: [fn(&mut Simulation<NoFaults>); 3] =
        [|sim| sim.replace_owner(HOME), |sim| sim.hand_over(HOME), |sim| sim.restart_daemons(HOME)];
    for end in ends {
        let (mut sim, job) = (sim(), failing());
        start(&mut sim, &job);
        sim.change_queues(remove_queue);
        end(&mut sim);
        assert_failed(sim, &job);
    }
}

// Guards against the same in the shard that the task is lent to.
#[test]
fn a_lent_task_keeps_its_attempts() {
    let (mut sim, mut job) = (sim(), failing());
    sim.vms[2].entry.labels.push(Label::new("ssd"));
    job.steps[0].label = Some(Label::new("ssd"));
    start(&mut sim, &job);
    assert_eq!(sim.runs_on(2), 1, "the task was lent");
    sim.change_queues(remove_queue);
    assert_failed(sim, &job);
}

// Guards against attempts that change for jobs which were accepted before.
#[test]
fn a_queue_that_returns_with_other_terms_changes_nothing_for_earlier_jobs() {
    let (mut sim, job) = (sim(), failing());
    start(&mut sim, &job);
    let mut changed = None;
    sim.change_queues(|queues| changed = queues.queues.shift_remove(&QueueName::new(QUEUE)));
    sim.run_for(seconds(1));
    let mut changed = changed.expect("the queue is configured");
    changed.terms.attempts = 9;
    sim.change_queues(|queues| {
        queues.queues.insert(changed.name.clone(), changed);
    });
    assert_failed(sim, &job);
}

// Guards against a task with copies that is started without end once its queue is removed.
#[test]
fn a_task_with_copies_keeps_its_attempts() {
    let (mut sim, mut job) = (sim(), failing());
    job.steps[0].copies = Copies::Parallel;
    start(&mut sim, &job);
    sim.change_queues(remove_queue);
    assert_failed(sim, &job);
}

// Guards against jobs that never end once their queue is removed, as their starts lack the permits
// that the VMs go on to require.
#[test]
fn a_job_keeps_its_permits_once_its_queue_is_removed() {
    let mut sim = sim().with_permits(PermitTable::new(100, VALID));
    sim.run_for(seconds(1));
    let jobs: Vec<Job> = (1..=4).map(|id| job_with_steps(id, 3, 6, work(400, 1))).collect();
    for job in &jobs {
        sim.submit(HOME, job.clone());
    }
    sim.run_for(Duration::from_millis(500));
    sim.change_queues(remove_queue);
    sim.run_for(seconds(12));
    for job in &jobs {
        assert_eq!(sim.show(HOME, job.id), Some(Answer::Shown(JobState::Done)));
    }
    assert_eq!(sim.permits.as_ref().expect("it has permits").refused, 0);
    check(&mut sim, &jobs.iter().map(|job| (job.id, job.clone())).collect(), SIZE);
}

// Guards against a start that is refused each time and sent again at once.
#[test]
fn starts_that_are_refused_again_and_again_have_a_backoff() {
    let mut sim = sim();
    sim.run_for(seconds(1));
    sim.permits = Some(PermitTable::new(100, VALID));
    let job = job_with_steps(1, 1, 1, work(400, 1));
    sim.submit(HOME, job.clone());
    sim.run_for(seconds(10));
    let refused = sim.permits.as_ref().expect("it has permits").refused;
    assert!((2..=MAX_REFUSED).contains(&refused), "{refused} starts were refused");
    sim.permits = None;
    sim.run_for(seconds(5));
    assert_eq!(sim.show(HOME, job.id), Some(Answer::Shown(JobState::Done)));
    check(&mut sim, &known(&[&job]), SIZE);
}
