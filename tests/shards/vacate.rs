//! VMs drained because their machines go down for maintenance.

use crate::faults::Sound;
use crate::invariants::check;
use crate::jobs::{chain, work};
use crate::world::World;
use indexmap::IndexMap;
use std::time::Duration;
use waxwingstall::job::{Job, JobId, Resume, ShownState};
use waxwingstall::shard::Answer;
use waxwingstall::units::Resources;
use waxwingstall_standin::runs::Seen;

const SIZE: Resources = Resources::new(8000, 8000, 0);
const SHARD: &str = "kacyiru";

fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn world(vms: usize) -> World<Sound> {
    World::new(Sound, &[SHARD], vms, SIZE)
}

fn known(jobs: &[Job]) -> IndexMap<JobId, Job> {
    jobs.iter().map(|job| (job.id, job.clone())).collect()
}

// A job of four long-running tasks allows one to be unavailable. When a VM with several of them is
// drained, the next one must not stop before the previous one runs elsewhere.
#[test]
fn lasting_tasks_are_drained_within_their_budget() {
    let mut world = world(2);
    let mut job = chain(1, 1, 4, work(0, 2));
    job.steps[0].max_away = Some(1);
    world.submit(SHARD, job.clone());
    world.run_for(seconds(2));
    let there = world.runs_on(0);
    assert!((1..4).contains(&there), "{there} tasks are on the first VM");
    world.drain_vm(SHARD, 0, Duration::ZERO);
    world.run_for(seconds(6));
    assert_eq!(world.runs_on(0), 0);
    assert_eq!(world.runs_on(1), 4);
    assert_eq!(world.drained_vms(SHARD), [world.vms[0].entry.id.clone()]);
    check(&mut world, &known(&[job]), SIZE);
    assert_apart(&world, there);
}

/// Checks that each stop on the first VM follows the restart elsewhere of the task stopped before.
fn assert_apart(world: &World<Sound>, stops: usize) {
    let ended: Vec<Duration> = world.vms[0].table.seen.iter().filter_map(end_of).collect();
    let started: Vec<Duration> = world.vms[1].table.seen.iter().filter_map(start_of).collect();
    let moved = &started[started.len() - stops..];
    assert_eq!(ended.len(), stops);
    for (next_end, start) in ended.iter().skip(1).zip(moved) {
        assert!(start < next_end, "{ended:?}, {moved:?}");
    }
}

fn end_of(seen: &Seen) -> Option<Duration> {
    if let Seen::Ended { at, .. } = seen { Some(*at) } else { None }
}

fn start_of(seen: &Seen) -> Option<Duration> {
    if let Seen::Started { at, .. } = seen { Some(*at) } else { None }
}

// Two jobs run on a VM that is drained. The resumable one must stop at once; the other must be
// allowed to finish within the timeout of the order. Neither may run twice, and no new task may
// start on the VM.
#[test]
fn a_drained_vm_lets_unresumable_tasks_finish() {
    let mut world = world(1);
    let resumable = chain(1, 1, 1, work(6000, 2));
    let mut fixed = chain(2, 1, 1, work(1500, 2));
    fixed.steps[0].resume = Resume::FromStart;
    world.submit(SHARD, resumable.clone());
    world.submit(SHARD, fixed.clone());
    world.run_for(Duration::from_millis(500));
    world.drain_vm(SHARD, 0, seconds(3));
    world.submit(SHARD, chain(3, 1, 1, work(200, 1)));
    world.run_for(seconds(2));
    assert_eq!(world.runs_on(0), 0);
    assert_eq!(world.show(SHARD, fixed.id), Some(Answer::Shown(ShownState::Done)));
    assert_eq!(world.show(SHARD, resumable.id), Some(Answer::Shown(ShownState::Running)));
    assert_eq!(world.show(SHARD, JobId(3)), Some(Answer::Shown(ShownState::Queued)));
}
