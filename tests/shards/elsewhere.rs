//! Jobs that are sent to several shards.
//!
//! Pattern: a call that is left unanswered is repeated at another shard, while the first one may
//! still accept the job. Many do so at once when a failure domain is cut off under load.

use crate::faults::{NoFaults, RandomFaults};
use crate::invariants::check;
use crate::jobs::{job_with_steps, random, work};
use crate::random::seeds;
use crate::world::Simulation;
use indexmap::IndexMap;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use waxwingstall::ids::Ticket;
use waxwingstall::job::{Job, JobId, JobState};
use waxwingstall::shard::Answer;
use waxwingstall::units::Resources;

const SIZE: Resources = Resources::new(12_000, 12_000, 0);
const SHARDS: [&str; 2] = ["kacyiru", "remera"];
const VMS: usize = 3;

/// Time with faults.
const FAULT_PERIOD: Duration = Duration::from_secs(20);

/// Time for the system to settle after the faults.
const SETTLE_TIME: Duration = Duration::from_secs(45);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

// Guards against a job that two shards run: its caller had no answer from the first one, whose
// commits were held up, and sent it to the second.
#[test]
fn a_job_accepted_by_another_shard_is_dropped() {
    let mut sim = Simulation::new(NoFaults, &SHARDS, VMS, SIZE);
    let jobs: Vec<Job> = (1..=20).map(|id| job_with_steps(id, 2, 6, work(800, 2))).collect();
    for job in &jobs {
        sim.submit("kacyiru", job.clone());
        sim.submit("remera", job.clone());
        sim.run_for(ms(100));
    }
    sim.run_for(SETTLE_TIME);
    for job in &jobs {
        let shown = SHARDS.map(|shard| sim.show(shard, job.id));
        let done = shown.iter().filter(|shown| **shown == Some(Answer::Shown(JobState::Done)));
        assert_eq!(done.count(), 1, "{}: {shown:?}", job.id);
    }
    check(&mut sim, &jobs.into_iter().map(|job| (job.id, job)).collect(), SIZE);
}

/// Random jobs, each sent to one shard, often to the other one within two seconds, and sometimes to
/// the first again, while owners, VMs and the store fail.
fn verify(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let permille = rng.random_range(0..120);
    let until = Duration::from_secs(5) + FAULT_PERIOD;
    let mut sim = Simulation::new(RandomFaults::new(seed, permille, until), &SHARDS, VMS, SIZE);
    let mut jobs: IndexMap<JobId, Job> = IndexMap::new();
    let mut repeats: Vec<(Duration, usize, JobId)> = Vec::new();
    let mut tickets: IndexMap<Ticket, JobId> = IndexMap::new();
    while sim.now < until {
        sim.run_for(ms(rng.random_range(20..300)));
        let now = sim.now;
        for (_, shard, id) in repeats.extract_if(.., |(at, ..)| *at <= now) {
            tickets.insert(sim.submit(SHARDS[shard], jobs[&id].clone()), id);
        }
        match rng.random_range(0..100) {
            0..60 if jobs.len() < 30 => {
                let job = random(jobs.len() as u64 + 1, &mut rng);
                let home = rng.random_range(0..2);
                tickets.insert(sim.submit(SHARDS[home], job.clone()), job.id);
                for shard in [1 - home, home, 1 - home] {
                    if rng.random_bool(0.5) {
                        repeats.push((now + ms(rng.random_range(0..2000)), shard, job.id));
                    }
                }
                jobs.insert(job.id, job);
            }
            60..66 => sim.replace_owner(SHARDS[rng.random_range(0..2)]),
            66..72 => {
                sim.pause_owner(SHARDS[rng.random_range(0..2)], ms(rng.random_range(500..5000)))
            }
            72..76 => sim.crash_vm(rng.random_range(0..2 * VMS), ms(rng.random_range(300..5000))),
            76..82 => {
                sim.disconnect_vm(rng.random_range(0..2 * VMS), ms(rng.random_range(300..9000)));
            }
            82..88 => sim.stop_store(ms(rng.random_range(300..4000))),
            _ => {}
        }
    }
    sim.run_for(SETTLE_TIME);
    check(&mut sim, &jobs, SIZE);
    let accepted: Vec<JobId> = tickets
        .iter()
        .filter(|(ticket, _)| sim.answers.get(*ticket) == Some(&Answer::Accepted))
        .map(|(_, id)| *id)
        .collect();
    for id in accepted {
        let shown = SHARDS.map(|shard| sim.show(shard, id));
        let known = shown.iter().filter(|shown| matches!(shown, Some(Answer::Shown(_))));
        assert_eq!(known.count(), 1, "seed {seed}: job {id} was accepted: {shown:?}");
    }
}

// Guards against tasks that run twice, or jobs that are lost, because their caller sent them to
// several shards while owners, VMs and the store failed.
#[test]
fn promises_hold_for_jobs_sent_to_several_shards() {
    for seed in seeds(0..40) {
        println!("seed {seed}");
        verify(seed);
    }
}
