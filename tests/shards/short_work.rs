//! Short work beside lasting tasks that would take every processor.

use crate::faults::Sound;
use crate::jobs::{chain, work};
use crate::witness::check;
use crate::world::World;
use indexmap::IndexMap;
use std::time::Duration;
use waxwingstall::job::{Job, JobId, ShownState};
use waxwingstall::shard::Answer;
use waxwingstall::units::Resources;

const SIZE: Resources = Resources::new(8000, 8000, 0);
const SHARD: &str = "kacyiru";
const OTHER: &str = "remera";

/// Between two short jobs.
const EVERY: Duration = Duration::from_millis(1000);

/// Time in which a short job is to be done: twice its length, and a second.
const AIM: Duration = Duration::from_millis(1800);

/// Time from which on a lasting task that waits though there is room for it counts as lost.
const LOST_AFTER: Duration = Duration::from_secs(3);

fn known(jobs: &[Job]) -> IndexMap<JobId, Job> {
    jobs.iter().map(|job| (job.id, job.clone())).collect()
}

fn short(id: u64) -> Job {
    chain(id, 1, 3, work(400, 2))
}

fn lasting(id: u64, tasks: u32) -> Job {
    chain(id, 1, tasks, work(0, 2))
}

/// Hands in a short job every second, and returns those not done within their aim.
fn late_of(world: &mut World<Sound>, jobs: &mut Vec<Job>, count: u64) -> Vec<JobId> {
    let mut late = Vec::new();
    for _ in 0..count {
        let job = short(100 + jobs.len() as u64);
        let begun = world.now;
        world.submit(SHARD, job.clone());
        world.run_for(EVERY);
        while world.show(SHARD, job.id) != Some(Answer::Shown(ShownState::Done)) {
            if world.now.saturating_sub(begun) >= AIM {
                late.push(job.id);
                break;
            }
        }
        jobs.push(job);
    }
    late
}

// Lasting tasks have three quarters of all processors, and a caller's short job comes every second:
// three tasks, of which two find room at once and one waits for them. Then more lasting tasks are handed
// in, as many as would fill the rest. The short jobs go on being done in time, and the lasting
// tasks begin once no more of them come.
#[test]
fn new_lasting_tasks_leave_short_work_the_room_that_it_uses() {
    let mut world = World::new(Sound, &[SHARD], 2, SIZE);
    let mut jobs = vec![lasting(1, 6), lasting(2, 2)];
    world.submit(SHARD, jobs[0].clone());
    let mut late = late_of(&mut world, &mut jobs, 4);
    world.submit(SHARD, jobs[1].clone());
    late.extend(late_of(&mut world, &mut jobs, 6));
    assert_eq!(late, []);
    world.run_for(LOST_AFTER);
    assert_eq!(world.runs_on(0) + world.runs_on(1), 8);
    check(&mut world, &known(&jobs), SIZE);
}

// The same without any short job: nobody needs the room, and the lasting tasks begin before they
// count as lost.
#[test]
fn new_lasting_tasks_take_room_that_nobody_uses() {
    let mut world = World::new(Sound, &[SHARD], 2, SIZE);
    let jobs = [lasting(1, 6), lasting(2, 2)];
    world.submit(SHARD, jobs[0].clone());
    world.run_for(Duration::from_secs(5));
    world.submit(SHARD, jobs[1].clone());
    world.run_for(LOST_AFTER);
    assert_eq!(world.runs_on(0) + world.runs_on(1), 8);
    check(&mut world, &known(&jobs), SIZE);
}

// One shard is full, the other has its share of lasting tasks and room that nobody uses. A lasting
// task that is handed in at the full one begins at the other before it counts as lost.
#[test]
fn idle_room_of_another_shard_is_found_in_time() {
    let mut world = World::new(Sound, &[SHARD, OTHER], 2, SIZE);
    let jobs = [lasting(1, 8), lasting(2, 6), lasting(3, 1)];
    world.submit(SHARD, jobs[0].clone());
    world.submit(OTHER, jobs[1].clone());
    world.run_for(Duration::from_secs(5));
    world.submit(SHARD, jobs[2].clone());
    world.run_for(LOST_AFTER);
    assert_eq!(world.runs_on(2) + world.runs_on(3), 7);
    check(&mut world, &known(&jobs), SIZE);
}
