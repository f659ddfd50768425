//! Steps that may run only on VMs permitted by an external service.

use crate::faults::{Faults, NoFaults, RandomFaults};
use crate::invariants::check;
use crate::jobs::{job_with_steps, work};
use crate::world::Simulation;
use indexmap::IndexMap;
use std::time::Duration;
use waxwingstall::ids::VmId;
use waxwingstall::job::{Job, JobId, JobState, Label};
use waxwingstall::shard::Answer;
use waxwingstall::units::Resources;
use waxwingstall_standin::permits::PermitTable;

const SIZE: Resources = Resources::new(8000, 8000, 0);
const VALID: Duration = Duration::from_secs(3);

/// Time after the loss of a VM by which its owner knows that the VM's tasks have ended.
const LEASE_EXPIRY: Duration = Duration::from_millis(8500);

/// Longest time that a task may then wait although VMs that may run it are free.
const WAIT_LIMIT: Duration = Duration::from_secs(3);

/// Time that a VM is down that is lost for good.
const FOR_GOOD: Duration = Duration::from_secs(3600);

fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn sim<F: Faults>(faults: F, percent: u64, vms: usize) -> Simulation<F> {
    Simulation::new(faults, &["kacyiru"], vms, SIZE).with_permits(PermitTable::new(percent, VALID))
}

fn known(jobs: &[Job]) -> IndexMap<JobId, Job> {
    jobs.iter().map(|job| (job.id, job.clone())).collect()
}

fn submit_all<F: Faults>(sim: &mut Simulation<F>, jobs: &[Job]) {
    for job in jobs {
        sim.submit("kacyiru", job.clone());
    }
}

fn table<F: Faults>(sim: &Simulation<F>) -> &PermitTable {
    sim.permits.as_ref().expect("the simulation has permits")
}

// Each of two steps may run on about half of ten VMs, which only the service knows. Every start
// must carry a valid permit, no VM may be asked about twice for the same step, and both steps must
// complete.
#[test]
fn tasks_start_only_where_they_are_permitted() {
    let mut sim = sim(NoFaults, 50, 10);
    let job = job_with_steps(1, 2, 6, work(500, 2));
    sim.submit("kacyiru", job.clone());
    sim.run_for(seconds(4));
    assert_eq!(sim.show("kacyiru", job.id), Some(Answer::Shown(JobState::Done)));
    check(&mut sim, &known(&[job]), SIZE);
    assert_eq!(table(&sim).refused, 0);
    for (step, vms) in &table(&sim).asked {
        let again = |vm: &&_| {
            table(&sim).asked.iter().filter(|(s, v)| s == step && v.contains(vm)).count() > 1
        };
        assert_eq!(vms.iter().find(again), None, "step {step} is asked about twice");
    }
}

// Only four of a step's eight tasks fit at a time, and the other four start after the first permits
// have expired. Permits must be renewed in time, so that no start is refused.
#[test]
fn permits_are_renewed_for_tasks_that_waited_long() {
    let mut sim = sim(NoFaults, 100, 1);
    let job = job_with_steps(1, 1, 8, work(3500, 2));
    sim.submit("kacyiru", job.clone());
    sim.run_for(seconds(9));
    assert_eq!(sim.show("kacyiru", job.id), Some(Answer::Shown(JobState::Done)));
    check(&mut sim, &known(&[job]), SIZE);
    assert_eq!(table(&sim).refused, 0);
    assert!(table(&sim).asked.len() >= 2, "{:?}", table(&sim).asked);
}

// The service handles one request at a time. With thirty waiting jobs, at most one request may be
// in flight, so that the request for an urgent job never queues behind thirty others.
#[test]
fn permit_requests_are_sent_one_at_a_time() {
    let mut sim = sim(NoFaults, 50, 10);
    let jobs: Vec<Job> = (1..=30).map(|id| job_with_steps(id, 1, 1, work(200, 1))).collect();
    submit_all(&mut sim, &jobs);
    sim.run_for(Duration::from_millis(30));
    assert!(table(&sim).asked.len() <= 1, "{:?}", table(&sim).asked);
    sim.run_for(seconds(5));
    for job in &jobs {
        assert_eq!(sim.show("kacyiru", job.id), Some(Answer::Shown(JobState::Done)));
    }
    check(&mut sim, &known(&jobs), SIZE);
}

// 30 % of commands, messages and permit requests are lost, unanswered or delayed for ten seconds,
// and the owner is replaced meanwhile. Requests must be retried, and each job must complete exactly
// once.
#[test]
fn a_lost_permit_request_is_retried() {
    let faults = RandomFaults::new(7, 300, seconds(15));
    let mut sim = sim(faults, 60, 6);
    let jobs: Vec<Job> = (1..=6).map(|id| job_with_steps(id, 2, 3, work(300, 2))).collect();
    submit_all(&mut sim, &jobs);
    sim.run_for(seconds(3));
    sim.replace_owner("kacyiru");
    sim.run_for(seconds(40));
    for job in &jobs {
        assert_eq!(sim.show("kacyiru", job.id), Some(Answer::Shown(JobState::Done)));
    }
    check(&mut sim, &known(&jobs), SIZE);
}

/// Two shards with three VMs each, all of them permitted; those of `kacyiru` come first.
fn two_shards() -> Simulation<NoFaults> {
    Simulation::new(NoFaults, &["kacyiru", "remera"], 3, SIZE)
        .with_permits(PermitTable::new(100, VALID))
}

/// Loses the VM of one of `job`'s lasting tasks for good, and returns how many tasks then run.
fn running_after_loss(sim: &mut Simulation<NoFaults>, job: &Job) -> usize {
    sim.submit("kacyiru", job.clone());
    sim.run_for(seconds(2));
    assert_eq!(sim.runs_on(0), 1, "a task runs on the VM to be lost");
    sim.crash_vm(0, FOR_GOOD);
    sim.run_for(LEASE_EXPIRY + WAIT_LIMIT);
    check(sim, &known(std::slice::from_ref(job)), SIZE);
    (1..6).map(|vm| sim.runs_on(vm)).sum()
}

// Guards against a lasting task that never runs again since the VMs left in its shard are at the
// step's limit: they have the processors, and are never denied.
#[test]
fn a_task_is_lent_if_all_permitted_vms_are_at_its_limit() {
    let mut sim = two_shards();
    let mut job = job_with_steps(1, 1, 3, work(0, 2));
    job.steps[0].per_vm = 1;
    assert_eq!(running_after_loss(&mut sim, &job), 3);
}

// Guards against a lasting task that never runs again since the VMs left in its shard lack the label
// that it requires: nobody asks for permits on them, so that they are never denied.
#[test]
fn a_task_is_lent_if_no_other_vm_of_its_shard_has_its_label() {
    let mut sim = two_shards();
    let label = Label::new("gpu");
    for vm in [0, 3] {
        sim.vms[vm].entry.labels.push(label.clone());
    }
    sim.run_for(seconds(1));
    let mut job = job_with_steps(1, 1, 1, work(0, 2));
    job.steps[0].label = Some(label);
    assert_eq!(running_after_loss(&mut sim, &job), 1);
}

/// Five shards with two VMs each. Only the first one's are permitted.
fn one_permitted_shard() -> Simulation<NoFaults> {
    let shards = ["gasabo", "gitega", "kacyiru", "nyamirambo", "remera"];
    let mut sim =
        Simulation::new(NoFaults, &shards, 2, SIZE).with_permits(PermitTable::new(100, VALID));
    let denied = sim.vms[2..].iter().map(|vm| VmId::new(vm.entry.id.registered())).collect();
    sim.permits.as_mut().expect("the simulation has permits").denied = denied;
    sim
}

// Guards against a task that is lent again and again to the shards that have returned it: they have
// as many free VMs as the one that may run it.
#[test]
fn a_task_is_lent_on_until_a_shard_may_run_it() {
    let mut sim = one_permitted_shard();
    let job = job_with_steps(1, 1, 2, work(0, 2));
    sim.submit("remera", job.clone());
    sim.run_for(WAIT_LIMIT);
    assert_eq!(sim.runs_on(0) + sim.runs_on(1), 2);
    check(&mut sim, &known(&[job]), SIZE);
}

// Guards against requests that can't help, each of which delays those of other steps: the fourth
// task waits since all VMs are at the step's limit.
#[test]
fn no_permits_are_requested_on_vms_at_the_steps_limit() {
    let mut sim = sim(NoFaults, 100, 3);
    let mut job = job_with_steps(1, 1, 4, work(0, 2));
    job.steps[0].per_vm = 1;
    sim.submit("kacyiru", job.clone());
    sim.run_for(seconds(2));
    assert_eq!((0..3).map(|vm| sim.runs_on(vm)).sum::<usize>(), 3);
    let asked = table(&sim).asked.len();
    sim.run_for(seconds(20));
    assert_eq!(table(&sim).asked.len(), asked);
    check(&mut sim, &known(&[job]), SIZE);
}
