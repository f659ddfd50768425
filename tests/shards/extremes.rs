//! Numbers of any size in what callers, operators and VMs send.
//!
//! Set `SHARD_SEEDS=0..1000` to run other seeds than the default ones.

use crate::faults::NoFaults;
use crate::jobs::{job_with_steps, work};
use crate::random::seeds;
use crate::world::Simulation;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use waxwingstall::job::{Copies, Grouping, Image, Job, JobId, JobState, Life, Repeat, Share};
use waxwingstall::queues::{PermitTimes, Terms};
use waxwingstall::shard::Answer;
use waxwingstall::units::Resources;
use waxwingstall_standin::permits::PermitTable;

const SHARDS: [&str; 2] = ["kacyiru", "remera"];
const SIZE: Resources = Resources::new(8000, 8000, 0);

const PERMIT_VALID: Duration = Duration::from_secs(3);

/// Longest time that an ordinary job may take beside the extreme ones.
const ORDINARY_LIMIT: Duration = Duration::from_secs(15);

fn time(rng: &mut SmallRng) -> Duration {
    let any = Duration::from_millis(rng.random_range(1..5000));
    let long = Duration::from_secs(rng.random());
    let all =
        [Duration::ZERO, Duration::from_nanos(1), any, long, Duration::MAX / 8, Duration::MAX];
    *all.choose(rng).expect("a time")
}

fn count(rng: &mut SmallRng) -> u32 {
    let any = rng.random_range(1..5);
    *[0, 1, any, u32::MAX].choose(rng).expect("a number")
}

fn factor(rng: &mut SmallRng) -> f64 {
    let all = [0.0, -1.0, 1e-300, 2.0, 1e300, f64::MAX, f64::INFINITY, f64::NAN];
    *all.choose(rng).expect("a number")
}

fn terms(rng: &mut SmallRng) -> Terms {
    Terms {
        priority: count(rng),
        attempts: count(rng).max(1),
        target_stretch: factor(rng),
        target_latency: time(rng),
        permits: rng.random_bool(0.2).then(|| PermitTimes {
            base_time: time(rng),
            time_per_vm: time(rng),
            validity: time(rng),
        }),
    }
}

/// A job whose tasks are small, and whose other numbers may have any value.
fn extreme_job(id: u64, rng: &mut SmallRng) -> Job {
    let (steps, tasks) = (rng.random_range(1..6), rng.random_range(1..5));
    let mut job = job_with_steps(id, steps, tasks, work(rng.random_range(100..800), 1));
    for step in &mut job.steps {
        step.estimate = time(rng);
        step.tail_target = rng.random_bool(0.3).then(|| time(rng));
        step.per_vm = count(rng);
        step.max_away = rng.random_bool(0.3).then(|| count(rng));
        step.image = rng.random_bool(0.3).then(|| Image::new("image"));
        if rng.random_bool(0.3) {
            step.share = Share::Leftover;
        }
        if rng.random_bool(0.3) {
            step.copies = Copies::Parallel;
        }
        if rng.random_bool(0.2) {
            step.grouping = Grouping::AloneOnRack;
        }
    }
    if let Some(last) = job.steps.last_mut().filter(|_| rng.random_bool(0.2)) {
        last.life = Life::Lasting;
    }
    if rng.random_bool(0.3) {
        let times = rng.random_range(1..10);
        job.repeat = Repeat::Timed { first: time(rng), interval: time(rng), times };
    }
    job
}

// Guards against owners that end as they compute with a time or a number from outside.
#[test]
fn numbers_of_any_size_stop_no_owner() {
    for seed in seeds(0..100) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut sim = Simulation::new(NoFaults, &SHARDS, 3, SIZE);
        sim.permits = Some(PermitTable::new(100, PERMIT_VALID));
        for id in 1..=8 {
            let terms = terms(&mut rng);
            sim.change_queues(|queues| {
                queues.queues.values_mut().for_each(|queue| queue.terms = terms);
            });
            let shard = SHARDS[rng.random_range(0..2)];
            let job = extreme_job(id, &mut rng);
            sim.submit(shard, job);
            sim.run_for(Duration::from_millis(rng.random_range(20..600)));
            match rng.random_range(0..7) {
                0 => sim.replace_owner(shard),
                1 => sim.leave_vm(rng.random_range(0..2), time(&mut rng)),
                2 => sim.crash_vm(rng.random_range(0..6), Duration::from_secs(2)),
                3 => {
                    let (vm, now) = (rng.random_range(0..2), sim.now);
                    sim.vms[vm].table.set_speed(now, 10);
                }
                _ => {}
            }
        }
        (1..=8).for_each(|id| {
            SHARDS.iter().for_each(|shard| {
                sim.cancel(shard, JobId(id));
            });
        });
        let permits = Some(PermitTimes {
            base_time: Duration::from_millis(20),
            time_per_vm: Duration::from_millis(2),
            validity: PERMIT_VALID,
        });
        let ordinary = Terms { attempts: 3, permits, ..Terms::UNKNOWN };
        sim.change_queues(|queues| {
            queues.queues.values_mut().for_each(|queue| queue.terms = ordinary);
        });
        let job = job_with_steps(100, 2, 2, work(500, 1));
        sim.submit(SHARDS[1], job.clone());
        sim.run_for(ORDINARY_LIMIT);
        let state = sim.show(SHARDS[1], job.id);
        assert_eq!(state, Some(Answer::Shown(JobState::Done)), "seed {seed}");
    }
}
