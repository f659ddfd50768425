//! Order in which waiting jobs get freed capacity.

use crate::faults::Sound;
use crate::invariants::check;
use crate::jobs::{chain, work};
use crate::world::World;
use indexmap::IndexMap;
use std::time::Duration;
use waxwingstall::job::{Job, JobId, ShownState};
use waxwingstall::shard::Answer;
use waxwingstall::units::Resources;

const SIZE: Resources = Resources::new(8000, 8000, 0);
const SHARD: &str = "kacyiru";

/// A full VM, and a long-running and a short job that each wait for all of it. The short job is due
/// 2 s after it was accepted, and useless after 6 s.
struct Contention {
    world: World<Sound>,
    long_running: Job,
    short: Job,
    all: IndexMap<JobId, Job>,
}

impl Contention {
    /// Creates a VM that is full for `full_ms` milliseconds.
    fn new(full_ms: u64) -> Self {
        let mut world = World::new(Sound, &[SHARD], 1, SIZE);
        let first = chain(1, 1, 4, work(full_ms, 2));
        let long_running = chain(2, 1, 4, work(0, 2));
        let short = chain(3, 1, 4, work(500, 2));
        world.submit(SHARD, first.clone());
        world.run_for(Duration::from_millis(200));
        world.submit(SHARD, long_running.clone());
        world.submit(SHARD, short.clone());
        let jobs = [first, long_running.clone(), short.clone()];
        let all = jobs.into_iter().map(|job| (job.id, job)).collect();
        Self { world, long_running, short, all }
    }

    fn states(&mut self) -> [Option<Answer>; 2] {
        [self.world.show(SHARD, self.long_running.id), self.world.show(SHARD, self.short.id)]
    }
}

// A VM stays full until the short job that waits for it is useless to its caller. The long-running
// job must then go first: a job that is too late anyway must not delay others.
#[test]
fn a_lasting_job_precedes_a_short_job_that_is_too_late() {
    let mut contention = Contention::new(7000);
    contention.world.run_for(Duration::from_secs(9));
    let shown = [ShownState::Running, ShownState::Queued].map(|state| Some(Answer::Shown(state)));
    assert_eq!(contention.states(), shown);
    assert_eq!(contention.world.runs_on(0), 4);
    check(&mut contention.world, &contention.all, SIZE);
}

// Guards against starvation: freed capacity always went to the next of a stream of short jobs, each
// of which was in time, so a long-running job never started. It counts as lost after 3 s and
// therefore goes first once it has waited for 2 s.
#[test]
fn short_jobs_do_not_starve_a_lasting_job() {
    let mut contention = Contention::new(500);
    for id in 10..30 {
        let short = chain(id, 1, 4, work(500, 2));
        contention.world.submit(SHARD, short.clone());
        contention.all.insert(short.id, short);
        contention.world.run_for(Duration::from_millis(200));
    }
    let long_running = contention.world.show(SHARD, contention.long_running.id);
    assert_eq!(long_running, Some(Answer::Shown(ShownState::Running)));
    check(&mut contention.world, &contention.all, SIZE);
}
