//! Where tasks are placed beside VMs that refuse connections or leave polls unanswered.

use crate::faults::{Faults, Outcome};
use crate::invariants::check;
use crate::jobs::{job_with_steps, work};
use crate::world::{LostPort, Simulation};
use indexmap::IndexMap;
use std::sync::Arc;
use std::time::Duration;
use waxwingstall::job::{Grouping, Job, JobId, JobState};
use waxwingstall::shard::settings::POLL_RETRY_DELAY;
use waxwingstall::shard::{Action, Answer};
use waxwingstall::units::Resources;

const SHARD: &str = "kacyiru";
const SIZE: Resources = Resources::new(8000, 8000, 0);

/// Time to commit a binding, to send its start, and to notice what is due.
const PLACING_TIME: Duration = Duration::from_millis(200);

fn millis(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn known(jobs: &[Job]) -> IndexMap<JobId, Job> {
    jobs.iter().map(|job| (job.id, job.clone())).collect()
}

/// Refuses the starts of a VM for a while, and records all starts.
#[derive(Default)]
struct Starts {
    refused_until: Duration,
    sent: Vec<Arc<str>>,
}

impl Faults for Starts {
    fn command_outcome(&mut self, now: Duration, action: &Action) -> Outcome {
        let Action::Start { vm, .. } = action else { return Outcome::Delivered };
        self.sent.push(vm.addr.clone());
        if now < self.refused_until { Outcome::Refused } else { Outcome::Delivered }
    }

    fn message_outcome(&mut self, _: Duration) -> Outcome {
        Outcome::Delivered
    }
}

fn simulation(vms: usize) -> Simulation<Starts> {
    let mut sim = Simulation::new(Starts::default(), &[SHARD], vms, SIZE);
    sim.run_for(millis(1000));
    sim
}

/// Starts sent to a VM.
fn starts_to(sim: &Simulation<Starts>, index: usize) -> usize {
    let addr = &sim.vms[index].entry.addr;
    sim.faults.sent.iter().filter(|to| *to == addr).count()
}

// Guards against a task that is bound again to the VM that has just refused its start, until that VM
// counts as silent.
#[test]
fn a_task_is_placed_elsewhere_once_its_start_is_refused() {
    for offset in [0, 110, 230, 350] {
        let mut sim = simulation(2);
        sim.run_for(millis(offset));
        sim.lose_vm(0, LostPort::Refusing);
        let job = job_with_steps(1, 1, 4, work(0, 2));
        sim.submit(SHARD, job.clone());
        sim.run_for(PLACING_TIME);
        assert_eq!(sim.runs_on(1), 4, "{offset} ms: tasks wait for the VM that refuses them");
        assert!(starts_to(&sim, 0) <= 4, "{offset} ms: starts are repeated there");
        check(&mut sim, &known(&[job]), SIZE);
    }
}

// Guards against bindings and commits in a loop while no VM accepts a connection, and against a task
// that waits on once one does.
#[test]
fn a_task_waits_while_all_vms_refuse_connections() {
    let mut sim = simulation(2);
    sim.run_for(millis(100));
    for index in 0..2 {
        sim.refuse_calls(index, millis(1100));
    }
    let before = sim.kv.revision();
    let job = job_with_steps(1, 1, 1, work(0, 2));
    sim.submit(SHARD, job.clone());
    sim.run_for(millis(1100));
    let (sent, commits) = (sim.faults.sent.len(), sim.kv.revision().0 - before.0);
    assert!(sent <= 2, "{sent} starts are sent");
    assert!(commits <= 5, "{commits} commits");
    sim.run_for(POLL_RETRY_DELAY + PLACING_TIME);
    assert_eq!(sim.running_tasks(job.id), 1);
    check(&mut sim, &known(&[job]), SIZE);
}

// Guards against bindings and commits in a loop while a VM answers polls and refuses starts.
#[test]
fn starts_that_a_polled_vm_refuses_are_repeated_with_pauses() {
    let mut sim = simulation(1);
    let refused = millis(3000);
    sim.faults.refused_until = sim.now + refused;
    let job = job_with_steps(1, 1, 1, work(0, 2));
    sim.submit(SHARD, job.clone());
    sim.run_for(refused);
    let most = refused.as_millis() / POLL_RETRY_DELAY.as_millis() + 2;
    assert!(sim.faults.sent.len() as u128 <= most, "{} starts", sim.faults.sent.len());
    sim.run_for(POLL_RETRY_DELAY + PLACING_TIME);
    assert_eq!(sim.running_tasks(job.id), 1);
    check(&mut sim, &known(&[job]), SIZE);
}

// Guards against new tasks that wait on a VM which left its last poll without an answer, although
// another one has room.
#[test]
fn a_vm_that_answers_is_preferred_to_one_that_left_a_poll_unanswered() {
    let mut sim = simulation(2);
    sim.lose_vm(0, LostPort::Silent);
    sim.run_for(millis(900));
    let job = job_with_steps(1, 1, 2, work(500, 2));
    sim.submit(SHARD, job.clone());
    sim.run_for(millis(500) + PLACING_TIME);
    assert_eq!(sim.show(SHARD, job.id), Some(Answer::Shown(JobState::Done)));
    check(&mut sim, &known(&[job]), SIZE);
}

// Guards against a short cut after which work stays away: all VMs leave a poll unanswered as tasks
// are submitted.
#[test]
fn tasks_submitted_within_a_short_cut_start_after_it() {
    for port in [LostPort::Silent, LostPort::Refusing] {
        let mut sim = simulation(2);
        (0..2).for_each(|index| sim.cut_vm(index, millis(1000), port));
        sim.run_for(millis(800));
        let job = job_with_steps(1, 1, 4, work(0, 2));
        sim.submit(SHARD, job.clone());
        sim.run_for(millis(200) + millis(500) + PLACING_TIME);
        assert_eq!(sim.running_tasks(job.id), 4, "{port:?}");
        check(&mut sim, &known(&[job]), SIZE);
    }
}

// Guards against a gang that waits for its group timeout, since a single refused connection has taken
// one of its members away.
#[test]
fn a_gang_starts_although_a_connection_is_refused() {
    let mut sim = simulation(2);
    let mut job = job_with_steps(1, 1, 4, work(500, 2));
    job.steps[0].grouping = Grouping::Together;
    sim.groups.push(job.id);
    sim.faults.refused_until = sim.now + millis(40);
    sim.submit(SHARD, job.clone());
    sim.run_for(millis(1500));
    assert_eq!(sim.show(SHARD, job.id), Some(Answer::Shown(JobState::Done)));
    check(&mut sim, &known(&[job]), SIZE);
}
