//! Runs that fail through the fault of their task or of their VM.

use crate::faults::NoFaults;
use crate::invariants::check;
use crate::jobs::{job_with_steps, work};
use crate::world::Simulation;
use indexmap::IndexMap;
use std::time::Duration;
use waxwingstall::job::{Job, JobId, JobState, Life};
use waxwingstall::shard::Answer;
use waxwingstall::units::Resources;
use waxwingstall_standin::runs::{Seen, Work};

const SIZE: Resources = Resources::new(32_000, 64_000, 0);
const SHARD: &str = "kacyiru";

/// Longest time that a job may have nothing running beside room for it.
const MAX_IDLE_TIME: Duration = Duration::from_secs(3);

/// Longest time that a lasting task may have no run beside room for it.
const MAX_AWAY_TIME: Duration = Duration::from_secs(6);

/// Longest time from the submission of a short job to its end on a VM with room for it: its work, and
/// two commits, polls and scheduling passes.
const MAX_DELAY_OF_SHORT_JOB: Duration = Duration::from_millis(600);

/// Starts of one task that VMs may refuse in ten seconds.
const MAX_REFUSED_STARTS: usize = 12;

/// Runs that start on a faulty VM in these tests if two failures take it out of service.
const RUNS_ON_FAULTY_VM: usize = 17;
const RUNS_OF_ONE_JOB_ON_FAULTY_VM: usize = 32;

/// Time between two short jobs.
const JOB_INTERVAL: Duration = Duration::from_millis(200);

/// Lasting tasks that fail shortly after each start.
fn failing(id: u64, tasks: u32) -> Job {
    let work = Work { fails: u32::MAX, ..work(200, 1) };
    let mut job = job_with_steps(id, 1, tasks, work);
    job.steps[0].life = Life::Lasting;
    job
}

fn lasting(id: u64, tasks: u32) -> Job {
    job_with_steps(id, 1, tasks, work(0, 1))
}

/// A shard under a constant load of short jobs.
struct LoadedShard {
    sim: Simulation<NoFaults>,
    jobs: IndexMap<JobId, Job>,
    /// Short jobs that may not have ended, and when they were submitted.
    open: Vec<(JobId, Duration)>,
    /// Longest time from the submission of a short job to its end.
    longest: Duration,
}

impl LoadedShard {
    fn new(vms: usize) -> Self {
        let mut sim = Simulation::new(NoFaults, &[SHARD], vms, SIZE);
        sim.run_for(Duration::from_secs(1));
        Self { sim, jobs: IndexMap::new(), open: Vec::new(), longest: Duration::ZERO }
    }

    fn submit(&mut self, job: Job) {
        self.sim.submit(SHARD, job.clone());
        self.jobs.insert(job.id, job);
    }

    /// Submits short jobs for a while.
    fn add_load_for(&mut self, time: Duration) {
        let until = self.sim.now + time;
        while self.sim.now < until {
            let id = 1000 + self.jobs.len() as u64;
            self.submit(job_with_steps(id, 1, 2, work(100, 1)));
            self.open.push((JobId(id), self.sim.now));
            self.sim.run_for(JOB_INTERVAL);
            self.check_open();
        }
    }

    fn check_open(&mut self) {
        for (id, submitted) in std::mem::take(&mut self.open) {
            if self.sim.show(SHARD, id) == Some(Answer::Shown(JobState::Done)) {
                continue;
            }
            self.longest = self.longest.max(self.sim.now.saturating_sub(submitted));
            self.open.push((id, submitted));
        }
    }

    /// Times at which the runs of a job started, on all VMs.
    fn starts(&self, job: JobId) -> Vec<Duration> {
        let seen = self.sim.vms.iter().flat_map(|vm| &vm.table.seen);
        let started = seen.filter_map(|seen| match seen {
            Seen::Started { at, task, .. } if task.job == job => Some(*at),
            _ => None,
        });
        let mut starts: Vec<Duration> = started.collect();
        starts.sort();
        starts
    }

    /// Number of runs that started on a VM.
    fn starts_on(&self, vm: usize) -> usize {
        let seen = self.sim.vms[vm].table.seen.iter();
        seen.filter(|seen| matches!(seen, Seen::Started { .. })).count()
    }

    fn check(mut self) {
        check(&mut self.sim, &self.jobs, SIZE);
    }
}

/// Runs short jobs on so many VMs beside sound and failing lasting jobs.
fn assert_short_jobs_run_beside_failing_ones(vms: usize, failing_jobs: u64) {
    let mut shard = LoadedShard::new(vms);
    for id in 1..=6 {
        shard.submit(lasting(id, 2));
    }
    for id in 0..failing_jobs {
        shard.submit(failing(100 + id, 2));
    }
    shard.sim.run_for(Duration::from_secs(2));
    shard.add_load_for(Duration::from_secs(12));
    let longest = shard.longest;
    assert!(longest < MAX_IDLE_TIME, "{vms} VMs, {failing_jobs} jobs: {longest:?}");
    shard.check();
}

// Guards against VMs that get no work as the tasks of one lasting job fail on them.
#[test]
fn a_lasting_job_that_always_fails_takes_no_vm_out_of_service() {
    for vms in [1, 2, 4] {
        assert_short_jobs_run_beside_failing_ones(vms, 1);
    }
}

// Guards against the same if several lasting jobs fail on the same VMs.
#[test]
fn lasting_jobs_that_always_fail_keep_no_job_waiting() {
    for (vms, failing_jobs) in [(1, 3), (2, 2), (2, 4), (4, 4)] {
        assert_short_jobs_run_beside_failing_ones(vms, failing_jobs);
    }
}

// Guards against lasting tasks that are started again without a pause for as long as they fail, and
// against pauses that keep a task from running that works again.
#[test]
fn a_lasting_task_that_fails_again_and_again_is_restarted_with_a_backoff() {
    let mut shard = LoadedShard::new(2);
    shard.submit(failing(1, 1));
    shard.sim.run_for(Duration::from_secs(40));
    let starts = shard.starts(JobId(1));
    let gaps: Vec<Duration> = starts.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(starts.len() <= 16, "{gaps:?}");
    assert!(gaps[0] < Duration::from_secs(1), "a first failure is no reason to wait: {gaps:?}");
    assert!(gaps.iter().all(|gap| *gap < MAX_AWAY_TIME), "{gaps:?}");
    shard.check();
}

// Guards against starts of one task that the only VM refuses each time, and that are sent again at once.
#[test]
fn a_vm_that_refuses_all_starts_is_asked_again_with_a_backoff() {
    let mut shard = LoadedShard::new(1);
    shard.sim.vms[0].table.set_unavailable(true);
    shard.submit(job_with_steps(1, 1, 1, work(500, 1)));
    shard.sim.run_for(Duration::from_secs(10));
    let refused = shard.sim.vms[0].table.unavailable_starts;
    assert!((2..=MAX_REFUSED_STARTS).contains(&refused), "{refused} starts were refused");
    shard.sim.vms[0].table.set_unavailable(false);
    shard.sim.run_for(Duration::from_secs(5));
    assert_eq!(shard.sim.show(SHARD, JobId(1)), Some(Answer::Shown(JobState::Done)));
    shard.check();
}

// Guards against a VM that is held for a failing lasting task which it keeps off itself: short jobs
// would wait for a hold that can't come true.
#[test]
fn a_vm_that_a_failing_job_avoids_is_not_held_for_it() {
    let mut shard = LoadedShard::new(1);
    shard.submit(failing(100, 4));
    shard.sim.run_for(Duration::from_secs(1));
    shard.add_load_for(Duration::from_secs(8));
    assert!(shard.longest < MAX_DELAY_OF_SHORT_JOB, "{:?}", shard.longest);
    shard.check();
}

// Guards against a VM that fails all that it starts and goes on to get work.
#[test]
fn a_vm_that_fails_all_its_runs_gets_no_more_work() {
    for has_lasting in [false, true] {
        let mut shard = LoadedShard::new(4);
        for id in 1..=6 {
            shard.submit(lasting(id, if has_lasting { 4 } else { 1 }));
        }
        shard.add_load_for(Duration::from_secs(3));
        let before = shard.starts_on(0);
        shard.sim.vms[0].table.set_faulty(true);
        shard.add_load_for(Duration::from_secs(6));
        let failed = shard.starts_on(0) - before;
        assert!(failed <= RUNS_ON_FAULTY_VM, "{failed} runs started on the faulty VM");
        shard.check();
    }
}

// Guards against a VM that fails all that it starts and goes on to get work, as all of it is of one
// job: others of its tasks work elsewhere.
#[test]
fn a_vm_that_fails_the_runs_of_one_wide_job_gets_no_more_of_them() {
    let mut shard = LoadedShard::new(4);
    shard.sim.vms[0].table.set_faulty(true);
    shard.submit(job_with_steps(1, 1, 300, work(500, 2)));
    shard.sim.run_for(Duration::from_secs(8));
    let failed = shard.starts_on(0);
    assert!(failed <= RUNS_OF_ONE_JOB_ON_FAULTY_VM, "{failed} runs started on the faulty VM");
    shard.check();
}

// Guards against the same after a change of owner: what the step's tasks have done before is stored.
#[test]
fn a_new_owner_knows_that_a_job_works_elsewhere() {
    let mut shard = LoadedShard::new(4);
    shard.submit(job_with_steps(1, 1, 400, work(500, 2)));
    shard.sim.run_for(Duration::from_secs(2));
    shard.sim.replace_owner(SHARD);
    shard.sim.run_for(Duration::from_millis(100));
    let before = shard.starts_on(0);
    shard.sim.vms[0].table.set_faulty(true);
    shard.sim.run_for(Duration::from_secs(4));
    let failed = shard.starts_on(0) - before;
    assert!(failed <= RUNS_OF_ONE_JOB_ON_FAULTY_VM, "{failed} runs started on the faulty VM");
    shard.check();
}
