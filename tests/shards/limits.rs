//! How much of the room lasting work may take.

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

fn known(jobs: &[&Job]) -> IndexMap<JobId, Job> {
    jobs.iter().map(|job| (job.id, (*job).clone())).collect()
}

// A caller's short job waits for as long as others' lasting jobs run: these were taken until no VM had
// more than a core free, and go first for all room that there is. On such a day lasting tasks had 94 % of
// all processors from its start (`lasting_cores` in `shard-state`), 200 to 370 short tasks waited
// (`short_waiting`) beside 65 free cores, and a third of the short jobs was in time. The job that would
// take the last of the room is turned away at once, as not run, and is told when to come back.
#[test]
fn lasting_jobs_leave_room_for_short_ones() {
    let mut world = World::new(Sound, &[SHARD], 1, SIZE);
    let first = chain(1, 1, 3, work(0, 2));
    let second = chain(2, 1, 1, work(0, 2));
    let short = chain(3, 1, 1, work(500, 2));
    let accepted = world.submit(SHARD, first.clone());
    world.run_for(Duration::from_secs(1));
    let refused = world.submit(SHARD, second);
    world.submit(SHARD, short.clone());
    world.run_for(Duration::from_secs(1));
    assert_eq!(world.answers.get(&accepted), Some(&Answer::Accepted));
    let answer = world.answers.get(&refused).cloned();
    let Some(Answer::NotRun { retry_after, .. }) = answer else { panic!("{answer:?}") };
    assert!(retry_after >= Duration::from_secs(1), "it would come back for nothing");
    assert_eq!(world.show(SHARD, short.id), Some(Answer::Shown(ShownState::Done)));
    check(&mut world, &known(&[&first, &short]), SIZE);
}

// Callers hand lasting jobs in at the same moment: none of them is durable yet as the next one comes, and
// all of them were taken.
#[test]
fn lasting_jobs_that_come_together_leave_room_for_short_ones() {
    let mut world = World::new(Sound, &[SHARD], 1, SIZE);
    world.run_for(Duration::from_secs(1));
    let jobs = [1, 2, 3].map(|id| chain(id, 1, 1, work(0, 3)));
    let tickets = jobs.each_ref().map(|job| world.submit(SHARD, job.clone()));
    world.run_for(Duration::from_secs(1));
    let accepted = tickets.iter().filter(|id| world.answers.get(*id) == Some(&Answer::Accepted));
    assert_eq!(accepted.count(), 2);
    check(&mut world, &known(&jobs.each_ref()), SIZE);
}

// The same job is taken once another one was cancelled.
#[test]
fn a_lasting_job_is_taken_once_room_has_come_back() {
    let mut world = World::new(Sound, &[SHARD], 1, SIZE);
    let first = chain(1, 1, 3, work(0, 2));
    let second = chain(2, 1, 1, work(0, 2));
    world.submit(SHARD, first.clone());
    world.run_for(Duration::from_secs(1));
    world.cancel(SHARD, first.id);
    world.run_for(Duration::from_secs(2));
    world.submit(SHARD, second.clone());
    world.run_for(Duration::from_secs(1));
    assert_eq!(world.show(SHARD, second.id), Some(Answer::Shown(ShownState::Running)));
    check(&mut world, &known(&[&first, &second]), SIZE);
}

// A caller's lasting job needs nearly all of a small deployment, which runs nothing else that lasts. It
// is taken: what it leaves is little, but nobody else would use the rest.
#[test]
fn a_lasting_job_that_is_the_only_one_may_take_all_the_room() {
    let mut world = World::new(Sound, &[SHARD], 1, SIZE);
    let only = chain(1, 1, 4, work(0, 2));
    world.submit(SHARD, only.clone());
    world.run_for(Duration::from_secs(1));
    assert_eq!(world.runs_on(0), 4);
    check(&mut world, &known(&[&only]), SIZE);
}
