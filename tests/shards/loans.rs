//! Tasks lent to another shard.

use crate::faults::Sound;
use crate::invariants::check;
use crate::jobs::{chain, work};
use crate::world::World;
use indexmap::IndexMap;
use std::time::Duration;
use waxwingstall::units::Resources;

const SIZE: Resources = Resources::new(8000, 8000, 0);

fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

// Guards against a long-running task that never runs again although its home shard has room. It was
// lent to another shard whose VM leaves, and that shard's owner is replaced while the task waits
// there. A borrower returns a task after it has waited for 1.5 s, but the next owner did not know
// since when it waited: in the log, `lasting-waits` reported five tasks with `oldest_ms=0` and
// `fit_elsewhere=5` for the last 12 s of a run. The wait must count from the takeover.
#[test]
fn a_borrowed_task_without_room_is_given_back_by_the_next_owner() {
    let mut world = World::new(Sound, &["kacyiru", "remera"], 1, SIZE);
    let full = chain(1, 1, 4, work(60_000, 2));
    let lent = chain(2, 1, 1, work(0, 2));
    world.submit("kacyiru", full.clone());
    world.run_for(seconds(1));
    world.submit("kacyiru", lent.clone());
    world.run_for(seconds(3));
    assert_eq!(world.runs_on(1), 1, "the task was lent");
    world.leave_vm(1, seconds(60));
    while world.runs_on(1) > 0 {
        world.run_for(Duration::from_millis(100));
    }
    world.run_for(Duration::from_millis(300));
    world.replace_owner("remera");
    world.cancel("kacyiru", full.id);
    world.run_for(seconds(5));
    assert_eq!(world.runs_on(0), 1, "the task was not returned");
    check(&mut world, &IndexMap::from([(full.id, full), (lent.id, lent)]), SIZE);
}

// Guards against a task that runs twice because a paused owner that was replaced lends it again.
#[test]
fn an_owner_that_was_replaced_lends_nothing_again() {
    let mut world = World::new(Sound, &["kacyiru", "remera"], 1, SIZE);
    let full = chain(1, 1, 4, work(60_000, 2));
    let lent = chain(2, 1, 1, work(1000, 2));
    world.submit("kacyiru", full.clone());
    world.run_for(seconds(1));
    world.submit("kacyiru", lent.clone());
    while world.runs_on(1) == 0 {
        world.run_for(Duration::from_millis(20));
    }
    world.pause_owner("kacyiru", seconds(6));
    world.run_for(seconds(4));
    assert_eq!(world.runs_on(1), 0, "the task is done and returned");
    world.replace_owner("remera");
    world.run_for(seconds(1));
    // The old owner can't learn from the VM, which knows the new owner, that it was replaced.
    world.disconnect_vm(0, seconds(4));
    world.run_for(seconds(10));
    check(&mut world, &IndexMap::from([(full.id, full), (lent.id, lent)]), SIZE);
}
