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

// A VM answers several times within the half second that a tail covers: these are one reading.
#[test]
fn the_same_half_second_counts_once() {
    let mut serving = Serving::default();
    let tails = [60, 48, 48, 48];
    for (number, tail) in tails.iter().enumerate() {
        let now = READ_EVERY + Duration::from_millis(10) * number as u32;
        serving.note_tail(Duration::from_millis(*tail), TARGET, now);
    }
    assert_eq!(serving.over_since, Some(READ_EVERY));
}
