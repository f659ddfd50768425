//! Owners that stand still, are replaced, and tell their successors when their leases end.

use crate::faults::NoFaults;
use crate::invariants::check;
use crate::jobs::{job_with_steps, work};
use crate::world::{LostPort, Simulation};
use indexmap::IndexMap;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use waxwingstall::job::{Job, JobId};
use waxwingstall::shard::settings::{CLOCK_DRIFT, EXPIRY_MARGIN};
use waxwingstall::units::Resources;

const SHARD: &str = "kacyiru";
const SIZE: Resources = Resources::new(8000, 8000, 0);

/// Longest time for which a VM keeps its tasks running without another poll.
const MAX_KEEP: Duration = Duration::from_secs(6);

/// Time to commit a binding, to send its start, and to notice what is due.
const RESTART_TIME: Duration = Duration::from_millis(300);

/// Time after which a VM never answers again in these tests.
const FOREVER: Duration = Duration::from_secs(600);

fn millis(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Time after the last call that may have reached a VM by which its runs have ended.
fn lease() -> Duration {
    MAX_KEEP + MAX_KEEP.mul_f64(CLOCK_DRIFT) + EXPIRY_MARGIN
}

/// Two VMs, a long-running task, and the index of the VM it runs on.
fn simulation_with_task() -> (Simulation<NoFaults>, IndexMap<JobId, Job>, usize) {
    let mut sim = Simulation::with_max_keep(NoFaults, &[SHARD], 2, SIZE, MAX_KEEP);
    let job = job_with_steps(1, 1, 1, work(0, 2));
    sim.submit(SHARD, job.clone());
    sim.run_for(millis(2000));
    let there = (0..2).find(|i| sim.runs_on(*i) == 1).expect("the task runs");
    (sim, IndexMap::from([(job.id, job)]), there)
}

fn run_until(sim: &mut Simulation<NoFaults>, time: Duration) {
    sim.run_for(time.saturating_sub(sim.now));
}

// Guards against a lasting task of a dead VM that waits for 12 s and a lease from its new owner's
// claim, although the owner before goes on and knows when it last called the VM.
#[test]
fn a_task_waits_for_the_leases_that_the_replaced_owner_has_extended() {
    let (mut sim, jobs, there) = simulation_with_task();
    let paused = sim.now;
    sim.cut_vm(there, FOREVER, LostPort::Refusing);
    sim.pause_owner(SHARD, millis(4000));
    sim.run_for(millis(3990));
    assert!(sim.drop_replaced_owner(SHARD, millis(10)));
    run_until(&mut sim, paused + MAX_KEEP);
    assert_eq!(sim.runs_on(1 - there), 0, "its lease may not have ended");
    run_until(&mut sim, paused + lease() + RESTART_TIME);
    assert_eq!(sim.runs_on(1 - there), 1);
    check(&mut sim, &jobs, SIZE);
}

// Guards against tasks that run twice: VMs are cut off before, while or after their owner stands still,
// which is replaced once or twice, and what it tells is held up on the way.
#[test]
fn no_task_runs_twice_after_a_replaced_owner_has_told_its_leases() {
    let mut told = 0;
    for seed in 0..60 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (mut sim, jobs, there) = simulation_with_task();
        let port = if rng.random_bool(0.5) { LostPort::Refusing } else { LostPort::Silent };
        let cut = millis(rng.random_range(500..25_000));
        if rng.random_bool(0.5) {
            sim.cut_vm(there, cut, port);
            sim.run_for(millis(rng.random_range(0..3000)));
        }
        let pauses = if rng.random_bool(0.3) { 2 } else { 1 };
        for _ in 0..pauses {
            let pause = rng.random_range(200..9000);
            sim.pause_owner(SHARD, millis(pause));
            sim.run_for(millis(rng.random_range(0..pause)));
        }
        sim.cut_vm(there, cut, port);
        let delay = millis(rng.random_range(1..4000));
        told += u32::from(sim.drop_replaced_owner(SHARD, delay));
        sim.run_for(millis(40_000));
        check(&mut sim, &jobs, SIZE);
    }
    assert!(told >= 40, "{told}");
}
