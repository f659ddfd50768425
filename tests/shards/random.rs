//! Random jobs, faults and takeovers.
//!
//! Set `SHARD_SEEDS=0..2000` to run other seeds than the default ones.

use crate::faults::RandomFaults;
use crate::invariants::check;
use crate::jobs::random;
use crate::world::World;
use indexmap::IndexMap;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use waxwingstall::job::{Job, JobId, ShownState};
use waxwingstall::shard::Answer;
use waxwingstall::units::Resources;
use waxwingstall_standin::permits::PermitTable;

const SIZE: Resources = Resources::new(12_000, 12_000, 0);
const SHARDS: [&str; 2] = ["kacyiru", "remera"];
const VMS: usize = 3;

/// Time with faults.
const FAULT_PERIOD: Duration = Duration::from_secs(20);

/// Time for the system to settle after the faults.
const SETTLE_TIME: Duration = Duration::from_secs(45);

/// Percentage of VMs that a step with permits may run on. With six VMs, this leaves some VM for
/// every step of the default seeds.
const PERMITTED: u64 = 85;
const PERMIT_VALID: Duration = Duration::from_secs(3);

struct Simulation {
    world: World<RandomFaults>,
    jobs: IndexMap<JobId, Job>,
    home: IndexMap<JobId, &'static str>,
    cancelled: Vec<JobId>,
    accepted: Vec<JobId>,
}

fn simulate(seed: u64) -> Simulation {
    let mut rng = SmallRng::seed_from_u64(seed);
    let permille = rng.random_range(0..120);
    let until = Duration::from_secs(5) + FAULT_PERIOD;
    let mut world = World::new(RandomFaults::new(seed, permille, until), &SHARDS, VMS, SIZE);
    if seed.is_multiple_of(3) {
        world = world.with_permits(PermitTable::new(PERMITTED, PERMIT_VALID));
    }
    let mut sim = Simulation {
        world,
        jobs: IndexMap::new(),
        home: IndexMap::new(),
        cancelled: Vec::new(),
        accepted: Vec::new(),
    };
    let mut tickets = IndexMap::new();
    while sim.world.now < until {
        sim.world.run_for(Duration::from_millis(rng.random_range(20..600)));
        match rng.random_range(0..100) {
            0..60 if sim.jobs.len() < 30 => {
                let job = random(sim.jobs.len() as u64 + 1, &mut rng);
                let home = SHARDS[rng.random_range(0..2)];
                tickets.insert(sim.world.submit(home, job.clone()), job.id);
                sim.home.insert(job.id, home);
                sim.jobs.insert(job.id, job);
            }
            60..66 if !sim.jobs.is_empty() => {
                let id = *sim.jobs.get_index(rng.random_range(0..sim.jobs.len())).unwrap().0;
                sim.world.cancel(sim.home[&id], id);
                sim.cancelled.push(id);
            }
            66..70 => sim.world.replace_owner(SHARDS[rng.random_range(0..2)]),
            70..74 => {
                let time = Duration::from_millis(rng.random_range(500..5000));
                sim.world.pause_owner(SHARDS[rng.random_range(0..2)], time);
            }
            74..78 => {
                let time = Duration::from_millis(rng.random_range(300..5000));
                sim.world.crash_vm(rng.random_range(0..2 * VMS), time);
            }
            78..82 => {
                let time = Duration::from_millis(rng.random_range(300..9000));
                sim.world.disconnect_vm(rng.random_range(0..2 * VMS), time);
            }
            82..84 => {
                let time = Duration::from_millis(rng.random_range(300..4000));
                sim.world.stop_store(time);
            }
            _ => {}
        }
    }
    sim.world.run_for(SETTLE_TIME);
    for (ticket, id) in &tickets {
        if sim.world.answers.get(ticket) == Some(&Answer::Accepted) {
            sim.accepted.push(*id);
        }
    }
    sim
}

fn verify(seed: u64) {
    let mut sim = simulate(seed);
    check(&mut sim.world, &sim.jobs, SIZE);
    for id in sim.accepted.clone() {
        let shown = sim.world.show(sim.home[&id], id);
        let Some(Answer::Shown(state)) = shown else {
            panic!("seed {seed}: job {id} was accepted and is answered with {shown:?}");
        };
        let long_running = sim.jobs[&id].steps[0].life == waxwingstall::job::Life::Lasting;
        let expected = match (sim.cancelled.contains(&id), long_running) {
            // A cancellation may arrive too late, or be lost with the shard's owner.
            (true, _) => continue,
            (false, true) => ShownState::Running,
            (false, false) => ShownState::Done,
        };
        assert_eq!(state, expected, "seed {seed}: job {id}");
    }
}

fn seeds() -> std::ops::Range<u64> {
    let given = std::env::var("SHARD_SEEDS").ok();
    let range = given.as_deref().and_then(|text| text.split_once(".."));
    let range = range.and_then(|(a, b)| Some(a.parse().ok()?..b.parse().ok()?));
    range.unwrap_or(0..60)
}

// Jobs are submitted and cancelled while commands and messages are lost, delayed or unanswered, VMs
// restart or become unreachable, owners are killed or paused, and the store fails. No task may run
// twice or before its predecessors, no VM may be overcommitted, and every finite job must complete.
#[test]
fn promises_hold_whatever_fails() {
    for seed in seeds() {
        println!("seed {seed}");
        verify(seed);
    }
}
