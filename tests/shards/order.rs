//! Order in which waiting jobs get freed capacity.

use crate::faults::NoFaults;
use crate::invariants::check;
use crate::jobs::{job_with_steps, work};
use crate::world::Simulation;
use indexmap::IndexMap;
use std::time::Duration;
use waxwingstall::job::{Job, JobId, JobState};
use waxwingstall::shard::Answer;
use waxwingstall::units::Resources;

const SIZE: Resources = Resources::new(8000, 8000, 0);
const SHARD: &str = "kacyiru";

/// A full VM, and a long-running and a short job that each wait for all of it. The short job is due
/// 2 s after it was accepted, and useless after 6 s.
struct Contention {
    sim: Simulation<NoFaults>,
    long_running: Job,
    short: Job,
    all: IndexMap<JobId, Job>,
}

impl Contention {
    /// Creates a VM that is full for `full_ms` milliseconds.
    fn new(full_ms: u64) -> Self {
        let mut sim = Simulation::new(NoFaults, &[SHARD], 1, SIZE);
        let first = job_with_steps(1, 1, 4, work(full_ms, 2));
        let long_running = job_with_steps(2, 1, 4, work(0, 2));
        let short = job_with_steps(3, 1, 4, work(500, 2));
        sim.submit(SHARD, first.clone());
        sim.run_for(Duration::from_millis(200));
        sim.submit(SHARD, long_running.clone());
        sim.submit(SHARD, short.clone());
        let jobs = [first, long_running.clone(), short.clone()];
        let all = jobs.into_iter().map(|job| (job.id, job)).collect();
        Self { sim, long_running, short, all }
    }

    fn states(&mut self) -> [Option<Answer>; 2] {
        [self.sim.show(SHARD, self.long_running.id), self.sim.show(SHARD, self.short.id)]
    }
}

// A VM stays full until the short job that waits for it is useless to its caller. The long-running
// job must then go first: a job that is too late anyway must not delay others.
#[test]
fn a_lasting_job_precedes_a_short_job_that_is_too_late() {
    let mut contention = Contention::new(7000);
    contention.sim.run_for(Duration::from_secs(9));
    let shown = [JobState::Running, JobState::Queued].map(|state| Some(Answer::Shown(state)));
    assert_eq!(contention.states(), shown);
    assert_eq!(contention.sim.runs_on(0), 4);
    check(&mut contention.sim, &contention.all, SIZE);
}

// Guards against starvation: freed capacity always went to the next of a stream of short jobs, each
// of which was in time, so a long-running job never started. It counts as lost after 3 s and
// therefore goes first once it has waited for 2 s.
#[test]
fn short_jobs_do_not_starve_a_lasting_job() {
    let mut contention = Contention::new(500);
    for id in 10..30 {
        let short = job_with_steps(id, 1, 4, work(500, 2));
        contention.sim.submit(SHARD, short.clone());
        contention.all.insert(short.id, short);
        contention.sim.run_for(Duration::from_millis(200));
    }
    let long_running = contention.sim.show(SHARD, contention.long_running.id);
    assert_eq!(long_running, Some(Answer::Shown(JobState::Running)));
    check(&mut contention.sim, &contention.all, SIZE);
}
