//! The state that a shard reports in its log.

use crate::faults::NoFaults;
use crate::jobs::{job_with_steps, work};
use crate::world::Simulation;
use std::time::Duration;
use waxwingstall::note::Note;
use waxwingstall::units::Resources;

const SIZE: Resources = Resources::new(8000, 8000, 0);
const SHARD: &str = "kacyiru";

// Short jobs and a further long-running task wait because long-running tasks hold nearly all CPU.
// `shard-state` must report both counts and the CPU that long-running tasks reserve: free CPU alone
// would suggest that there is room.
#[test]
fn shard_state_reports_jobs_that_wait_beside_lasting_tasks() {
    let mut sim = Simulation::new(NoFaults, &[SHARD], 1, SIZE);
    sim.submit(SHARD, job_with_steps(1, 1, 5, work(0, 2)));
    sim.run_for(Duration::from_secs(1));
    sim.submit(SHARD, job_with_steps(3, 1, 3, work(400, 1)));
    sim.run_for(Duration::from_secs(3));
    let Some(Note::ShardState { lasting_cores, lasting_waiting, short_waiting, .. }) =
        sim.states.get(SHARD)
    else {
        panic!("the shard did not report its state");
    };
    assert_eq!((*lasting_cores, *lasting_waiting, *short_waiting), (10, 1, 3));
}
