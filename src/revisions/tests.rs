use super::{RETENTION, RevisionTimes};
use crate::kv::Rev;
use std::time::Duration;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Samples of the store's revision: 10 at 1.0 to 1.1 s, 20 at 2.0 to 2.1 s, and so on until 5 s.
fn times() -> RevisionTimes {
    let mut times = RevisionTimes::default();
    for second in 1..=5 {
        times.record(ms(second * 1000), ms(second * 1000 + 100), Rev(second * 10));
    }
    times
}

#[test]
fn a_revision_is_bounded_by_the_calls_around_it() {
    let times = times();
    let bounds = |rev| (times.written_after(Rev(rev)), times.written_before(Rev(rev)));
    assert_eq!(bounds(10), (None, Some(ms(1100))));
    assert_eq!(bounds(11), (Some(ms(1000)), Some(ms(2100))));
    assert_eq!(bounds(20), (Some(ms(1000)), Some(ms(2100))));
    assert_eq!(bounds(21), (Some(ms(2000)), Some(ms(3100))));
    assert_eq!(bounds(50), (Some(ms(4000)), Some(ms(5100))));
    assert_eq!(bounds(51), (Some(ms(5000)), None));
}

#[test]
fn the_latest_call_at_one_revision_bounds_the_next_one() {
    let mut times = times();
    times.record(ms(6000), ms(6100), Rev(50));
    assert_eq!(times.written_after(Rev(51)), Some(ms(6000)));
    assert_eq!(times.written_before(Rev(50)), Some(ms(5100)));
}

// Guards against bounds from answers that overtook each other: the revision of a call that was asked
// first and answered last says nothing about the time after the other call.
#[test]
fn an_overtaken_answer_does_not_move_a_bound() {
    let mut times = times();
    times.record(ms(4500), ms(7000), Rev(60));
    times.record(ms(7000), ms(7100), Rev(45));
    assert_eq!(times.written_after(Rev(61)), Some(ms(5000)));
    assert_eq!(times.written_before(Rev(60)), None);
}

// Guards against unbounded memory use on an owner that commits all the time.
#[test]
fn samples_are_few_and_kept_for_a_limited_time() {
    let mut times = times();
    for number in 0..100_000 {
        let asked = ms(6000 + number);
        times.record(asked, asked + ms(4), Rev(100 + number));
    }
    assert!(times.samples.len() <= 301, "{}", times.samples.len());
    let first = times.samples.front().expect("samples are kept");
    let last = times.samples.back().expect("samples are kept");
    assert!(last.answered - first.answered <= RETENTION);
    assert_eq!(times.written_after(Rev(51)), None);
}

#[test]
fn a_past_revision_is_one_that_the_store_had_reached() {
    let times = times();
    assert_eq!(times.reached_by(ms(3500)), Some(Rev(30)));
    assert_eq!(times.reached_by(ms(3100)), Some(Rev(30)));
    assert_eq!(times.reached_by(ms(3099)), Some(Rev(20)));
    assert_eq!(times.reached_by(ms(500)), Some(Rev(10)));
    assert_eq!(RevisionTimes::default().reached_by(ms(500)), None);
}
