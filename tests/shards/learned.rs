//! What a shard has learned, over a change of its owner.

use crate::faults::NoFaults;
use crate::jobs::{job_with_steps, work};
use crate::world::Simulation;
use bytes::Bytes;
use std::time::Duration;
use waxwingstall::kv::{Put, Txn};
use waxwingstall::shard::Keys;
use waxwingstall::shard::learned::Learned;
use waxwingstall::units::Resources;

const SHARD: &str = "kacyiru";
const SIZE: Resources = Resources::new(8000, 8000, 0);

/// Longer than the interval between two records.
const RECORDED_AFTER: Duration = Duration::from_secs(15);

fn sim() -> Simulation<NoFaults> {
    Simulation::new(NoFaults, &[SHARD], 2, SIZE)
}

/// Runs short jobs for a while.
fn run_jobs(sim: &mut Simulation<NoFaults>, time: Duration, first_id: u64) {
    let until = sim.now + time;
    for id in first_id.. {
        if sim.now >= until {
            return;
        }
        sim.submit(SHARD, job_with_steps(id, 1, 4, work(500, 2)));
        sim.run_for(Duration::from_millis(1200));
    }
}

/// Number of tasks that were learned from.
fn tasks(learned: &Learned) -> f64 {
    learned.run_times.iter().map(|known| known.times.weight()).sum()
}

// Guards against estimates that are off by their old factor again after each change of the owner.
#[test]
fn the_next_owner_starts_from_the_record() {
    let mut sim = sim();
    run_jobs(&mut sim, RECORDED_AFTER, 1);
    let before = tasks(&sim.learned(SHARD));
    sim.replace_owner(SHARD);
    let after = tasks(&sim.learned(SHARD));
    assert!(before > 40.0 && after > 0.6 * before && after <= before, "{before}, {after}");
}

// Guards against a planned stop that loses what was learned since the last record, although there is
// a commit to write it with.
#[test]
fn a_planned_stop_writes_the_record_with_its_last_commit() {
    let mut sim = sim();
    run_jobs(&mut sim, Duration::from_secs(5), 1);
    let before = sim.learned(SHARD);
    assert!(sim.kv.get(&Keys::new(SHARD).learned()).is_none(), "no record was due yet");
    // The first is being committed and the second waits for the next commit.
    for id in [100, 101] {
        sim.submit(SHARD, job_with_steps(id, 1, 4, work(500, 2)));
    }
    sim.begin_hand_over(SHARD);
    sim.run_for(Duration::from_millis(200));
    sim.hand_over(SHARD);
    let after = tasks(&sim.learned(SHARD));
    assert!((tasks(&before) - after).abs() < 0.1, "{before:?}, {after}");
}

// Guards against knowledge that doesn't survive the loss of all daemons, and against knowledge of
// long ago that counts like new.
#[test]
fn a_restart_of_all_daemons_starts_from_records_by_their_age() {
    let mut sim = sim();
    run_jobs(&mut sim, RECORDED_AFTER, 1);
    sim.replace_owner(SHARD);
    let recorded = tasks(&sim.learned(SHARD));
    sim.restart_owner_after(SHARD, Duration::from_secs(1800));
    let ratio = tasks(&sim.learned(SHARD)) / recorded;
    assert!((0.65..0.75).contains(&ratio), "half an hour of a half-life of one hour: {ratio}");
}

// Guards against a shard that can't be claimed, or that loses its jobs, because its record was
// written by another release or is damaged.
#[test]
fn an_unreadable_record_is_dropped_and_replaced() {
    for value in [vec![], vec![9; 40], vec![1; 9], vec![1; 1_000_000]] {
        let mut sim = sim();
        run_jobs(&mut sim, RECORDED_AFTER, 1);
        let put = Put { key: Keys::new(SHARD).learned(), value: Bytes::from(value), lease: None };
        sim.kv.commit(&Txn { puts: vec![put], ..Txn::default() }).expect("no condition");
        sim.replace_owner(SHARD);
        assert!(sim.learned(SHARD).is_empty());
        run_jobs(&mut sim, RECORDED_AFTER, 100);
        sim.replace_owner(SHARD);
        assert!(tasks(&sim.learned(SHARD)) > 20.0, "the record was written anew");
    }
}

// Guards against a commit that the store refuses because the record takes one entry more than it
// may hold beside many jobs.
#[test]
fn a_commit_of_many_jobs_has_room_for_the_record() {
    let mut sim = sim();
    run_jobs(&mut sim, Duration::from_secs(5), 1);
    sim.run_for(Duration::from_secs(6));
    assert!(sim.kv.get(&Keys::new(SHARD).learned()).is_none(), "no commit was due");
    for id in 100..160 {
        sim.submit(SHARD, job_with_steps(id, 1, 1, work(500, 2)));
    }
    sim.run_for(Duration::from_millis(500));
    assert!(sim.kv.get(&Keys::new(SHARD).learned()).is_some(), "the record went along");
}
