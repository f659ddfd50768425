//! CPU time that shards cost their owners, at the load of the grown sites, and while many tasks wait
//! that no VM can run.
//!
//! One shard of 30 VMs with long-running tasks on most of their processors, short jobs that must
//! start at once, and wide jobs that take what is left over, in twice the amount that fits. The
//! cost is that of [`Shard::step`](waxwingstall::shard::Shard::step) with the stand-ins' tables
//! around it; `valgrind --tool=callgrind` tells them apart.

#[allow(dead_code)] // the tests use the rest
#[path = "../../tests/shards/announcements.rs"]
mod announcements;
#[allow(dead_code)] // the tests use the rest
#[path = "../../tests/shards/faults.rs"]
mod faults;
#[allow(dead_code)] // the tests use the rest
#[path = "../../tests/shards/jobs.rs"]
mod jobs;
#[allow(dead_code)] // the tests use the rest
#[path = "../../tests/shards/tails.rs"]
mod tails;
#[path = "../../tests/shards/watchers.rs"]
mod watchers;
#[allow(dead_code)] // the tests use the rest
#[path = "../../tests/shards/world.rs"]
mod world;

use faults::NoFaults;
use jobs::{job_with_steps, work};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use waxwingstall::clock::{Clock, SystemClock};
use waxwingstall::job::{Image, Job, Label, Life, Share};
use waxwingstall::units::Resources;
use world::Simulation;

const SHARD: &str = "kacyiru";
const VMS: usize = 30;
const SIZE: Resources = Resources::new(32_000, 128_000, 0);

/// Jobs that must start at once, and wide ones, a second on one shard of twelve.
const QUICK_PER_S: f64 = 1.2;
const WIDE_PER_S: f64 = 1.14;

/// Number of long-running jobs, all submitted at the start.
const LONG_RUNNING_JOBS: u64 = 10;

const SIMULATED_TIME: Duration = Duration::from_secs(30);
const TICK: Duration = Duration::from_millis(100);

fn long_running(id: u64) -> Job {
    let mut job = job_with_steps(id, 1, 14, work(0, 6));
    let step = &mut job.steps[0];
    step.image = Some(Image::new(&format!("serving-{}", id % 10)));
    step.tail_target = Some(Duration::from_secs(18));
    job
}

fn quick(id: u64) -> Job {
    job_with_steps(id, 2, 8, work(800, 4))
}

fn wide(id: u64) -> Job {
    let mut job = job_with_steps(id, 2, 20, work(2700, 3));
    for step in &mut job.steps {
        step.share = Share::Leftover;
        step.life = Life::Finite;
        step.image = Some(Image::new(&format!("wide-{}", id % 18)));
    }
    job
}

/// Number of shards of [`VMS`] VMs each; tasks wait in the first one for a VM of a missing kind.
const CROWDED_SHARDS: usize = 34;
const WAITING_JOBS: u64 = 500;
const TASKS_PER_WAITING_JOB: u32 = 20;
const CROWDED_TIME: Duration = Duration::from_secs(3);

/// Returns the CPU time of a second of simulated time, with so many waiting jobs.
fn crowded(waiting_jobs: u64) -> Duration {
    let names: Vec<String> = (0..CROWDED_SHARDS).map(|number| format!("shard-{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut sim = Simulation::new(NoFaults, &names, VMS, SIZE);
    sim.run_for(Duration::from_secs(2));
    for id in 0..waiting_jobs {
        let mut job = job_with_steps(id + 1, 1, TASKS_PER_WAITING_JOB, work(800, 4));
        job.steps[0].label = Some(Label::new("missing"));
        job.steps[0].size.milli_cores.0 += u32::try_from(id).unwrap_or_default();
        sim.submit(names[0], job);
    }
    sim.run_for(Duration::from_secs(1));
    let began = SystemClock.now();
    sim.run_for(CROWDED_TIME);
    (SystemClock.now() - began).div_f64(CROWDED_TIME.as_secs_f64())
}

fn main() {
    at_usual_load();
    let (idle, waiting) = (crowded(0), crowded(WAITING_JOBS));
    println!(
        "{} VMs, {} waiting tasks: {:.2} ms of processor a second, {:.2} ms without them",
        CROWDED_SHARDS * VMS,
        WAITING_JOBS * u64::from(TASKS_PER_WAITING_JOB),
        waiting.as_secs_f64() * 1000.0,
        idle.as_secs_f64() * 1000.0,
    );
}

fn at_usual_load() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut sim = Simulation::new(NoFaults, &[SHARD], VMS, SIZE);
    let mut next = 1;
    for _ in 0..LONG_RUNNING_JOBS {
        sim.submit(SHARD, long_running(next));
        next += 1;
    }
    sim.run_for(Duration::from_secs(2));
    let began = SystemClock.now();
    let until = sim.now + SIMULATED_TIME;
    let chance = |per_s: f64| (per_s * TICK.as_secs_f64()).min(1.0);
    while sim.now < until {
        for (per_s, kind) in [(QUICK_PER_S, quick as fn(u64) -> Job), (WIDE_PER_S, wide)] {
            if rng.random_bool(chance(per_s)) {
                sim.submit(SHARD, kind(next));
                next += 1;
            }
        }
        sim.run_for(TICK);
    }
    let took = SystemClock.now() - began;
    let share = took.as_secs_f64() / SIMULATED_TIME.as_secs_f64() * 1000.0;
    println!(
        "{} jobs in {} s: {share:.2} ms of processor a second",
        next - 1,
        SIMULATED_TIME.as_secs()
    );
}
