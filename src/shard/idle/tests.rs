use super::{Idle, PART};
use crate::units::Resources;
use std::time::Duration;

const FREE: Resources = Resources::new(6000, 12_000, 0);
const BUSY: Resources = Resources::new(2000, 12_000, 0);

fn watch(idle: &mut Idle, from: Duration, parts: u32, free: Resources) -> Duration {
    let until = from + PART * parts;
    let mut now = from;
    while now < until {
        idle.note(free, now);
        now += PART / 5;
    }
    now
}

// Room is free, a short task takes a part of it for a moment, and gives it back. Right after, as well
// as during the task, only the rest counts as idle: the next short task would find it taken. Once no
// task has come for the whole time, all of it counts.
#[test]
fn room_that_short_work_just_used_is_not_idle() {
    let mut idle = Idle::new(Duration::ZERO);
    let now = watch(&mut idle, Duration::ZERO, 5, FREE);
    assert_eq!(idle.room(), FREE);
    let now = watch(&mut idle, now, 1, BUSY);
    let now = watch(&mut idle, now, 2, FREE);
    assert_eq!(idle.room(), BUSY);
    watch(&mut idle, now, 3, FREE);
    assert_eq!(idle.room(), FREE);
}

// A VM has just become known, and what runs there isn't. None of its room is idle until it was
// watched for the whole time.
#[test]
fn a_new_vm_has_no_idle_room_yet() {
    let mut idle = Idle::new(Duration::ZERO);
    watch(&mut idle, Duration::ZERO, 2, FREE);
    assert_eq!(idle.room(), Resources::ZERO);
}

// Two lasting tasks wait and there is idle room for one. Once the first has it, the time before it
// began doesn't count for the second.
#[test]
fn idle_room_is_given_away_once() {
    let mut idle = Idle::new(Duration::ZERO);
    let now = watch(&mut idle, Duration::ZERO, 5, FREE);
    idle.take(FREE);
    idle.note(Resources::ZERO, now);
    assert_eq!(idle.room(), Resources::ZERO);
}
