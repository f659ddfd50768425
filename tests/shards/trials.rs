//! Trial runs of tasks whose VM crashed right after they had started.
//!
//! Set `SHARD_SEEDS=0..1000` to run other seeds than the default ones.

use crate::faults::{Faults, NoFaults, Outcome};
use crate::invariants::check;
use crate::jobs::{job_with_steps, work};
use crate::random::seeds;
use crate::world::{OwnerEnd, Simulation};
use indexmap::IndexMap;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use waxwingstall::job::progress::Crashes;
use waxwingstall::job::{Job, Label};
use waxwingstall::shard::Action;
use waxwingstall::units::Resources;

const HOME: &str = "kacyiru";
const SIZE: Resources = Resources::new(8000, 8000, 0);

/// Size of a VM that takes no task of these tests.
const TOO_SMALL: Resources = Resources::new(500, 500, 0);

/// Time that a crashed VM is down.
const DOWN: Duration = Duration::from_secs(3);

/// Time after which a crash is known: the VM is back, and has been listed again.
const NOTICE: Duration = Duration::from_millis(3800);

/// Longest time for which a lasting task may have no run while there is room for it.
const IDLE_LIMIT: Duration = Duration::from_secs(9);

/// Time after the last disruption by which every lasting task has a run again.
const SETTLE_TIME: Duration = Duration::from_secs(14);

fn millis(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

/// Starts a job's lasting tasks on the home shard's only VM, and crashes it before any poll has
/// reported them. The VM's next instance has no room for them.
fn crash_at_the_start<F: Faults>(sim: &mut Simulation<F>, job: &Job) {
    sim.submit(HOME, job.clone());
    while sim.runs_on(0) < job.steps[0].tasks as usize {
        sim.run_for(millis(20));
    }
    sim.crash_vm(0, DOWN);
    sim.resize_vm(0, TOO_SMALL);
}

// Guards against a lasting task that waits for good for a trial run that works in another shard.
#[test]
fn a_lasting_task_runs_again_although_the_trial_of_another_is_lent() {
    let mut sim = Simulation::new(NoFaults, &[HOME, "remera"], 1, SIZE);
    let job = job_with_steps(1, 1, 3, work(0, 2));
    crash_at_the_start(&mut sim, &job);
    sim.run_for(NOTICE + millis(1500));
    assert_eq!(sim.running_tasks(job.id), 1, "one suspect is tried first");
    sim.run_for(IDLE_LIMIT - NOTICE - millis(1500));
    assert_eq!(sim.running_tasks(job.id), 3);
    check(&mut sim, &IndexMap::from([(job.id, job)]), SIZE);
}

// Guards against lasting tasks that wait for a trial run of which nothing is heard.
#[test]
fn a_trial_that_is_not_heard_of_holds_other_tasks_back_for_a_while_only() {
    let mut sim = Simulation::new(NoFaults, &[HOME, "remera", "gasabo"], 1, SIZE);
    let job = job_with_steps(1, 1, 2, work(0, 2));
    crash_at_the_start(&mut sim, &job);
    while sim.loans == 0 {
        sim.run_for(millis(20));
    }
    let borrower = if sim.lent_to(job.id) == ["remera"] { "remera" } else { "gasabo" };
    sim.end_ownership(borrower, OwnerEnd::Killed, seconds(60));
    sim.run_for(seconds(6));
    assert_eq!(sim.running_tasks(job.id), 1, "the other task is started");
    check(&mut sim, &IndexMap::from([(job.id, job)]), SIZE);
}

/// Answers restarts of the first task of each step that there is no room.
struct FirstTaskRefused;

impl Faults for FirstTaskRefused {
    fn command_outcome(&mut self, _: Duration, action: &Action) -> Outcome {
        match action {
            Action::Start { req, .. } if req.task.index == 0 && req.run.0 > 1 => Outcome::NoRoom,
            _ => Outcome::Delivered,
        }
    }

    fn message_outcome(&mut self, _: Duration) -> Outcome {
        Outcome::Delivered
    }
}

// Guards against tasks that wait for a trial run whose start is refused again and again.
#[test]
fn a_trial_that_is_refused_holds_no_other_task_back() {
    let mut sim = Simulation::new(FirstTaskRefused, &[HOME], 2, SIZE);
    let mut job = job_with_steps(1, 1, 3, work(0, 2));
    let label = Label::new("ssd");
    sim.vms[0].entry.labels.push(label.clone());
    sim.run_for(seconds(1));
    job.steps[0].label = Some(label);
    sim.submit(HOME, job.clone());
    while sim.runs_on(0) < 3 {
        sim.run_for(millis(20));
    }
    sim.crash_vm(0, DOWN);
    sim.run_for(IDLE_LIMIT);
    assert_eq!(sim.running_tasks(job.id), 2);
    check(&mut sim, &IndexMap::from([(job.id, job)]), SIZE);
}

// Guards against crashes that count again at the lender after the borrower has forgiven them.
#[test]
fn a_returned_task_has_the_crash_counts_of_its_borrower() {
    let mut sim = Simulation::new(NoFaults, &[HOME, "remera"], 1, SIZE);
    let job = job_with_steps(1, 1, 1, work(0, 2));
    crash_at_the_start(&mut sim, &job);
    sim.run_for(NOTICE);
    assert_eq!(sim.crash_counts(HOME, job.id), [Crashes { all: 1, sudden: 1 }]);
    sim.run_for(seconds(12));
    assert_eq!(sim.running_tasks(job.id), 1, "the task is lent");
    sim.resize_vm(0, SIZE);
    sim.leave_vm(1, seconds(60));
    sim.run_for(seconds(8));
    assert_eq!(sim.runs_on(0), 1, "the task has been returned");
    assert_eq!(sim.crash_counts(HOME, job.id), []);
    check(&mut sim, &IndexMap::from([(job.id, job)]), SIZE);
}

// Guards against failures that count again at the lender after the task has worked at the borrower.
#[test]
fn a_returned_task_has_failed_as_often_as_its_borrower_counts() {
    let mut sim = Simulation::new(NoFaults, &[HOME, "remera"], 1, SIZE);
    let job = job_with_steps(1, 1, 1, work(0, 2));
    sim.vms[0].table.set_faulty(true);
    sim.submit(HOME, job.clone());
    sim.run_for(seconds(1));
    assert!(sim.failed_runs(HOME, job.id) > 1, "the task has failed");
    sim.resize_vm(0, TOO_SMALL);
    sim.run_for(seconds(15));
    assert_eq!(sim.runs_on(1), 1, "the task is lent");
    sim.vms[0].table.set_faulty(false);
    sim.resize_vm(0, SIZE);
    sim.leave_vm(1, seconds(60));
    sim.run_for(seconds(8));
    assert_eq!(sim.runs_on(0), 1, "the task has been returned");
    assert_eq!(sim.failed_runs(HOME, job.id), 0);
    check(&mut sim, &IndexMap::from([(job.id, job)]), SIZE);
}

// Guards against lasting tasks that wait for a trial that is lent, whose owner or whose VM is lost.
#[test]
fn lasting_tasks_run_again_after_a_crash_at_their_start() {
    for seed in seeds(0..60) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let shards = [HOME, "remera", "gasabo"];
        let mut sim = Simulation::new(NoFaults, &shards, 2, SIZE);
        let job = job_with_steps(1, 1, rng.random_range(2..=4), work(0, 2));
        let others = job_with_steps(2, 1, rng.random_range(2..=4), work(60_000, 2));
        sim.submit(HOME, job.clone());
        sim.submit(HOME, others.clone());
        while sim.running_tasks(job.id) < job.steps[0].tasks as usize {
            sim.run_for(millis(20));
        }
        sim.run_for(millis(rng.random_range(0..200)));
        let there = sim.bound_vms(job.id)[0];
        sim.crash_vm(there, millis(rng.random_range(300..4500)));
        if rng.random_bool(0.7) {
            sim.resize_vm(there, TOO_SMALL);
        }
        sim.run_for(millis(rng.random_range(0..7000)));
        let shard = shards[rng.random_range(0..3)];
        match rng.random_range(0..4) {
            0 => sim.replace_owner(shard),
            1 => sim.end_ownership(shard, OwnerEnd::Killed, millis(rng.random_range(100..3000))),
            2 => sim.crash_vm(rng.random_range(0..6), millis(rng.random_range(300..4500))),
            _ => {}
        }
        sim.run_for(SETTLE_TIME);
        let running = sim.running_tasks(job.id);
        assert_eq!(running, job.steps[0].tasks as usize, "seed {seed}");
        check(&mut sim, &IndexMap::from([(job.id, job), (others.id, others)]), SIZE);
    }
}
