//! Steps whose tasks run only together.

use crate::faults::NoFaults;
use crate::invariants::check;
use crate::jobs::{job_with_steps, work};
use crate::world::Simulation;
use indexmap::IndexMap;
use std::time::Duration;
use waxwingstall::job::{Checkpoint, Grouping, Job, JobId, JobState, RunNumber, StepRef};
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
    sim.submit("kacyiru", job);
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

/// Checkpoints that the members' starts carried, by run.
fn resumed_from(sim: &Simulation<NoFaults>, run: u32) -> Vec<Option<Checkpoint>> {
    let of_run = sim.starts.iter().filter(|start| start.req.run == RunNumber(run));
    of_run.map(|start| start.req.resume.clone()).collect()
}

/// A gang of which one VM's members are stopped, since the VM leaves, and the others end with them.
fn gang_stopped_on_leaving_vm(tasks: u32) -> (Simulation<NoFaults>, Job) {
    let job = gang(tasks, work(6000, 2));
    let mut sim = two_shards(&job);
    sim.run_for(Duration::from_millis(2700));
    sim.depart_vm(0, seconds(2));
    let members = sim.runs_on(0);
    assert!((1..tasks as usize).contains(&members), "{members} members run on the VM that leaves");
    while sim.runs_on(0) > 0 {
        sim.run_for(Duration::from_millis(20));
    }
    sim.end_group(StepRef { job: job.id, occurrence: 0, step: 0 });
    (sim, job)
}

/// Checks that all members were started from the checkpoint of those that were stopped: it has more
/// progress than the periodic ones, which come every 2 s.
fn assert_resumed_together(sim: &mut Simulation<NoFaults>, job: &Job) {
    let resumed = resumed_from(sim, 2);
    assert_eq!(resumed.len(), job.steps[0].tasks as usize);
    let millis: u64 = resumed[0].as_ref().expect("a checkpoint").as_str().parse().expect("millis");
    assert!(millis > 2000, "resumed from {millis} ms");
    assert!(resumed.iter().all(|checkpoint| *checkpoint == resumed[0]), "{resumed:?}");
    assert_eq!(sim.show("kacyiru", job.id), Some(Answer::Shown(JobState::Done)));
    check(sim, &by_id(job), SIZE);
}

// Guards against members that are started with checkpoints that differ, so that they never work
// together.
#[test]
fn members_resume_from_the_checkpoint_with_the_most_progress() {
    let (mut sim, job) = gang_stopped_on_leaving_vm(8);
    sim.run_for(seconds(10));
    assert_resumed_together(&mut sim, &job);
}

// Guards against the same once the gang is lent, as its own shard has no room for it any more.
#[test]
fn members_of_a_lent_gang_resume_from_one_checkpoint() {
    let (mut sim, job) = gang_stopped_on_leaving_vm(14);
    sim.run_for(seconds(10));
    assert_eq!(sim.loans, 14);
    assert_resumed_together(&mut sim, &job);
}

// Guards against checkpoints that differ after a takeover, which knows nothing of their progress.
#[test]
fn members_resume_from_one_checkpoint_after_a_takeover() {
    let (mut sim, job) = gang_stopped_on_leaving_vm(8);
    sim.replace_owner("kacyiru");
    sim.run_for(seconds(12));
    let resumed = resumed_from(&sim, 2);
    assert!(resumed.iter().all(|checkpoint| *checkpoint == resumed[0]), "{resumed:?}");
    assert_eq!(sim.show("kacyiru", job.id), Some(Answer::Shown(JobState::Done)));
    check(&mut sim, &by_id(&job), SIZE);
}
