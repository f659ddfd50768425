//! Steps whose tasks run only together.

use crate::faults::NoFaults;
use crate::invariants::check;
use crate::jobs::{job_with_steps, work};
use crate::world::Simulation;
use indexmap::IndexMap;
use std::time::Duration;
use waxwingstall::job::{Grouping, Job, JobId, JobState, StepRef};
use waxwingstall::shard::Answer;
use waxwingstall::units::Resources;
use waxwingstall_standin::runs::Work;

const SIZE: Resources = Resources::new(8000, 8000, 0);

/// Time after the loss of a VM by which its owner knows that the VM's tasks have ended.
const LEASE_EXPIRY: Duration = Duration::from_millis(8500);

/// Longest time that a gang may wait although VMs that may run it are free.
const WAIT_LIMIT: Duration = Duration::from_secs(3);

fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn gang(tasks: u32, work: Work) -> Job {
    let mut job = job_with_steps(1, 1, tasks, work);
    job.steps[0].grouping = Grouping::Together;
    job
}

/// Two shards with four VMs each that have room for 16 tasks of two cores; those of `kacyiru` come
/// first.
fn two_shards(job: &Job) -> Simulation<NoFaults> {
    let mut sim = Simulation::new(NoFaults, &["kacyiru", "remera"], 4, SIZE);
    sim.groups.push(job.id);
    sim.submit("kacyiru", job.clone());
    sim
}

/// Loses a VM with members of the gang for good.
fn lose_first_vm(sim: &mut Simulation<NoFaults>, job: &Job) {
    assert!(sim.runs_on(0) > 0, "members of the gang run on the VM to be lost");
    sim.crash_vm(0, seconds(3600));
    sim.end_group(StepRef { job: job.id, occurrence: 0, step: 0 });
}

fn by_id(job: &Job) -> IndexMap<JobId, Job> {
    IndexMap::from([(job.id, job.clone())])
}

// Guards against a gang that is never started again, since it no longer fits what is left of its
// shard.
#[test]
fn a_gang_that_no_longer_fits_its_shard_is_lent() {
    let job = gang(14, work(4000, 2));
    let mut sim = two_shards(&job);
    sim.run_for(seconds(1));
    lose_first_vm(&mut sim, &job);
    sim.run_for(LEASE_EXPIRY + WAIT_LIMIT);
    let there: usize = (4..8).map(|vm| sim.runs_on(vm)).sum();
    assert_eq!(there, 14);
    sim.run_for(seconds(6));
    assert_eq!(sim.show("kacyiru", job.id), Some(Answer::Shown(JobState::Done)));
    check(&mut sim, &by_id(&job), SIZE);
}

// Guards against a large gang that is never lent: only some of the waiting tasks are offered to other
// shards in one pass.
#[test]
fn a_gang_is_offered_to_other_shards_as_a_whole() {
    let mut sim = Simulation::new(NoFaults, &["kacyiru", "remera"], 10, SIZE);
    let job = gang(80, work(4000, 1));
    let full = Job { id: JobId(2), ..gang(10, work(60_000, 4)) };
    sim.submit("kacyiru", full);
    sim.run_for(seconds(1));
    sim.submit("kacyiru", job.clone());
    sim.run_for(WAIT_LIMIT);
    let there: usize = (10..20).map(|vm| sim.runs_on(vm)).sum();
    assert_eq!(there, 80);
}

// Guards against a gang that is shown as failed after its first failed run: each failed end of a
// member counted as an attempt of the gang.
#[test]
fn failed_ends_of_one_run_count_once() {
    let job = gang(8, Work { fails: 2, ..work(1000, 2) });
    let mut sim = two_shards(&job);
    sim.run_for(seconds(15));
    assert_eq!(sim.show("kacyiru", job.id), Some(Answer::Shown(JobState::Done)));
    check(&mut sim, &by_id(&job), SIZE);
}

// Guards against a gang that is started again after its last attempt.
#[test]
fn a_gang_fails_after_its_last_attempt() {
    let job = gang(8, Work { fails: 3, ..work(1000, 2) });
    let mut sim = two_shards(&job);
    sim.run_for(seconds(15));
    assert_eq!(sim.show("kacyiru", job.id), Some(Answer::Shown(JobState::Failed)));
    check(&mut sim, &by_id(&job), SIZE);
}

// Guards against failed ends that count twice since another owner reads the rest of them.
#[test]
fn failed_ends_of_one_run_count_once_over_a_takeover() {
    for replace_ms in (1000..1100).step_by(10) {
        let job = gang(8, Work { fails: 2, ..work(1000, 2) });
        let mut sim = two_shards(&job);
        sim.run_for(Duration::from_millis(replace_ms));
        sim.replace_owner("kacyiru");
        sim.run_for(seconds(30));
        let shown = sim.show("kacyiru", job.id);
        assert_eq!(shown, Some(Answer::Shown(JobState::Done)), "replaced at {replace_ms} ms");
        check(&mut sim, &by_id(&job), SIZE);
    }
}
