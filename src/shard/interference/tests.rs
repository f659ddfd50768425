use super::{READ_EVERY, Serving};
use std::time::Duration;

const TARGET: Duration = Duration::from_millis(50);

/// Since when the task counts as over its target, after tails that come one by one.
fn over_since(tails: &[u64]) -> Option<Duration> {
    let mut serving = Serving::default();
    for (number, tail) in tails.iter().enumerate() {
        let now = READ_EVERY * (number as u32 + 1);
        serving.note_tail(Duration::from_millis(*tail), TARGET, now);
    }
    serving.over_since
}

/// Since when the task counts as over its target, after tails that come so many milliseconds after
/// the first.
fn over_since_at(tails: &[(u64, u64)]) -> Option<Duration> {
    let mut serving = Serving::default();
    for (at, tail) in tails {
        let now = READ_EVERY + Duration::from_millis(*at);
        serving.note_tail(Duration::from_millis(*tail), TARGET, now);
    }
    serving.over_since
}

// A serving task is a tenth over its target for seconds. Its tails are rough: now and then one reads
// at the target or just under it. The time over the target counts on from the first.
#[test]
fn one_tail_just_under_the_target_does_not_end_the_time_over_it() {
    assert_eq!(over_since(&[60, 49, 56, 50, 47, 58]), Some(READ_EVERY));
}

// Two tails in a row are under the target, or one clearly is: the task isn't over it any more.
#[test]
fn clear_news_ends_the_time_over_the_target() {
    assert_eq!(over_since(&[60, 58, 49, 48]), None);
    assert_eq!(over_since(&[60, 58, 40]), None);
    assert_eq!(over_since(&[60, 40, 61]), Some(READ_EVERY * 3));
}

// A VM answers several times within the half second that a tail covers: these are one reading, whether
// the task was over its target before it or just under it.
#[test]
fn the_same_half_second_counts_once() {
    assert_eq!(over_since_at(&[(0, 60), (10, 48), (20, 48), (30, 48)]), Some(READ_EVERY));
}

// A serving task is over its target for seconds, and one reading is just under it. Its VM answers again
// within the same half second and tells that reading a second time: it ended the count of the time
// over the target, and the neighbours went on for as long again before they stopped.
#[test]
fn a_tail_just_under_the_target_that_is_told_twice_counts_once() {
    assert_eq!(over_since_at(&[(0, 60), (350, 48), (360, 48), (690, 48)]), Some(READ_EVERY));
    assert_eq!(over_since_at(&[(0, 60), (350, 48), (360, 48), (700, 55)]), Some(READ_EVERY));
}

// The next half second reads just under the target again: the task isn't over it any more, however often
// the first of the two was told.
#[test]
fn a_second_half_second_just_under_the_target_ends_the_time_over_it() {
    assert_eq!(over_since_at(&[(0, 60), (350, 48), (360, 48), (700, 48)]), None);
}

// A VM measures anew a fifth of a second later and tells another figure, just under the target as well:
// these are two readings.
#[test]
fn another_tail_just_under_the_target_ends_the_time_over_it() {
    assert_eq!(over_since_at(&[(0, 60), (350, 48), (360, 48), (560, 47)]), None);
}
