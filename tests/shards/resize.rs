//! VMs whose size changes while work runs on them.

use crate::faults::Sound;
use crate::jobs::{chain, work};
use crate::witness::check_sizes;
use crate::world::World;
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

// Guards against a start by a size that the VM had as the task was bound, while the store was away.
#[test]
fn a_task_bound_by_the_old_size_is_not_started() {
    let mut world = World::new(Sound, &[SHARD], 2, SIZE);
    world.run_for(seconds(1));
    world.stop_store(seconds(9));
    world.submit(SHARD, chain(1, 1, 8, work(6000, 2)));
    world.run_for(Duration::from_millis(200));
    world.resize_vm(0, HALF);
    world.run_for(seconds(30));
    check_sizes(&mut world);
}

// Guards against work that is ended since its VM has become smaller, and against a VM that isn't used when it has grown.
#[test]
fn what_runs_goes_on_when_its_vm_shrinks() {
    let mut world = World::new(Sound, &[SHARD], 1, SIZE);
    world.submit(SHARD, chain(1, 1, 4, work(0, 2)));
    world.run_for(seconds(1));
    world.resize_vm(0, HALF);
    world.run_for(seconds(10));
    assert_eq!(world.runs_on(0), 4);
    world.submit(SHARD, chain(2, 1, 1, work(60_000, 1)));
    world.run_for(seconds(5));
    assert_eq!(world.runs_on(0), 4, "there is no room");
    world.resize_vm(0, Resources::new(12_000, 12_000, 0));
    world.run_for(seconds(5));
    assert_eq!(world.runs_on(0), 5);
    check_sizes(&mut world);
}

// Guards against leftover work, which takes memory alone, on a VM whose processors are all taken twice.
#[test]
fn a_vm_that_is_over_its_size_takes_nothing() {
    let mut world = World::new(Sound, &[SHARD], 1, SIZE);
    let memory = Resources::new(8000, 2000, 0);
    let mut job = chain(1, 1, 1, work(0, 2));
    job.steps[0].size = memory;
    world.submit(SHARD, job);
    world.run_for(seconds(1));
    world.resize_vm(0, HALF);
    world.run_for(seconds(5));
    let mut leftover = chain(2, 1, 1, work(60_000, 1));
    leftover.steps[0].share = waxwingstall::job::Share::Leftover;
    world.submit(SHARD, leftover);
    world.run_for(seconds(5));
    assert_eq!(world.runs_on(0), 1);
}

// Guards against any other way to start work by an old size: sizes change by chance, with owners and the store.
#[test]
fn no_start_goes_by_an_old_size() {
    for seed in 0..40 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut world = World::new(Sound, &[SHARD, "remera"], 3, SIZE);
        for id in 1..60 {
            let shard = if rng.random() { SHARD } else { "remera" };
            let (tasks, cores) = (rng.random_range(1..6), rng.random_range(1..4));
            let work = work(rng.random_range(200..3000), cores);
            world.submit(shard, chain(id, 1, tasks, work));
            match rng.random_range(0..10) {
                0..4 => {
                    let size = rng.random_range(2..12) * 1000;
                    world.resize_vm(rng.random_range(0..6), Resources::new(size, size, 0));
                }
                4 => world.stop_store(Duration::from_millis(rng.random_range(300..4000))),
                5 => world.replace_owner(shard),
                _ => {}
            }
            world.run_for(Duration::from_millis(rng.random_range(50..900)));
        }
        world.run_for(seconds(20));
        check_sizes(&mut world);
    }
}
