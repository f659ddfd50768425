//! VMs whose size changes while tasks run on them.

use crate::faults::NoFaults;
use crate::invariants::check_sizes;
use crate::jobs::{job_with_steps, work};
use crate::world::Simulation;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use waxwingstall::units::Resources;

const SHARD: &str = "kacyiru";
const SIZE: Resources = Resources::new(8000, 8000, 0);
const HALF: Resources = Resources::new(4000, 4000, 0);

fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

// Guards against starting a task that was bound during a store outage, before its VM shrank.
#[test]
fn a_task_bound_by_the_old_size_is_not_started() {
    let mut sim = Simulation::new(NoFaults, &[SHARD], 2, SIZE);
    sim.run_for(seconds(1));
    sim.stop_store(seconds(9));
    sim.submit(SHARD, job_with_steps(1, 1, 8, work(6000, 2)));
    sim.run_for(Duration::from_millis(200));
    sim.resize_vm(0, HALF);
    sim.run_for(seconds(30));
    check_sizes(&mut sim);
}

// Guards against starting more than a VM that has shrunk can carry: an older list brought its former
// size back.
#[test]
fn a_stale_list_does_not_bring_back_a_former_size() {
    let mut sim = Simulation::new(NoFaults, &[SHARD], 1, SIZE);
    sim.run_for(seconds(1));
    sim.resize_vm(0, HALF);
    sim.run_for(seconds(6));
    sim.submit(SHARD, job_with_steps(1, 1, 4, work(60_000, 2)));
    for _ in 0..20 {
        sim.send_stale_size(SHARD, 0);
        sim.run_for(Duration::from_millis(100));
    }
    assert_eq!(sim.runs_on(0), 2, "there is room for two");
    check_sizes(&mut sim);
}

// Guards against stopping tasks when their VM shrinks, and against leaving added capacity unused
// when it grows.
#[test]
fn running_tasks_continue_when_their_vm_shrinks() {
    let mut sim = Simulation::new(NoFaults, &[SHARD], 1, SIZE);
    sim.submit(SHARD, job_with_steps(1, 1, 4, work(0, 2)));
    sim.run_for(seconds(1));
    sim.resize_vm(0, HALF);
    sim.run_for(seconds(10));
    assert_eq!(sim.runs_on(0), 4);
    sim.submit(SHARD, job_with_steps(2, 1, 1, work(60_000, 1)));
    sim.run_for(seconds(5));
    assert_eq!(sim.runs_on(0), 4, "there is no room");
    sim.resize_vm(0, Resources::new(12_000, 12_000, 0));
    sim.run_for(seconds(5));
    assert_eq!(sim.runs_on(0), 5);
    check_sizes(&mut sim);
}

// Guards against placing best-effort tasks, which reserve only memory, on a VM whose CPU is
// overcommitted by half.
#[test]
fn an_overcommitted_vm_accepts_no_tasks() {
    let mut sim = Simulation::new(NoFaults, &[SHARD], 1, SIZE);
    let memory = Resources::new(8000, 2000, 0);
    let mut job = job_with_steps(1, 1, 1, work(0, 2));
    job.steps[0].size = memory;
    sim.submit(SHARD, job);
    sim.run_for(seconds(1));
    sim.resize_vm(0, HALF);
    sim.run_for(seconds(5));
    let mut leftover = job_with_steps(2, 1, 1, work(60_000, 1));
    leftover.steps[0].share = waxwingstall::job::Share::Leftover;
    sim.submit(SHARD, leftover);
    sim.run_for(seconds(5));
    assert_eq!(sim.runs_on(0), 1);
}

// Guards against any other start based on an outdated size: random resizes, owner changes and store
// outages.
#[test]
fn no_start_uses_an_outdated_size() {
    for seed in 0..40 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut sim = Simulation::new(NoFaults, &[SHARD, "remera"], 3, SIZE);
        for id in 1..60 {
            let shard = if rng.random() { SHARD } else { "remera" };
            let (tasks, cores) = (rng.random_range(1..6), rng.random_range(1..4));
            let work = work(rng.random_range(200..3000), cores);
            sim.submit(shard, job_with_steps(id, 1, tasks, work));
            match rng.random_range(0..10) {
                0..4 => {
                    let size = rng.random_range(2..12) * 1000;
                    sim.resize_vm(rng.random_range(0..6), Resources::new(size, size, 0));
                }
                4 => sim.stop_store(Duration::from_millis(rng.random_range(300..4000))),
                5 => sim.replace_owner(shard),
                _ => {}
            }
            sim.run_for(Duration::from_millis(rng.random_range(50..900)));
        }
        sim.run_for(seconds(20));
        check_sizes(&mut sim);
    }
}
