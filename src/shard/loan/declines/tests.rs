use super::{Declines, MAX_BACKOFF, MIN_BACKOFF, RETENTION};
use std::sync::Arc;
use std::time::Duration;

fn shard() -> Arc<str> {
    Arc::from("remera")
}

// Guards against a task that goes back and forth without pause between two shards that may not run
// it, and against one that is never lent again.
#[test]
fn the_backoff_grows_with_each_return_up_to_a_limit() {
    let (mut declines, mut now) = (Declines::default(), Duration::from_secs(1));
    let mut expected = MIN_BACKOFF;
    for _ in 0..6 {
        declines.record(&shard(), now);
        now += expected - Duration::from_millis(1);
        assert!(declines.is_backing_off("remera", now));
        now += Duration::from_millis(1);
        assert!(!declines.is_backing_off("remera", now));
        expected = (expected * 2).min(MAX_BACKOFF);
    }
}

// Guards against a step of many tasks whose returns count as one after the other.
#[test]
fn tasks_returned_together_count_as_one_return() {
    let (mut declines, now) = (Declines::default(), Duration::from_secs(1));
    (0..20).for_each(|_| declines.record(&shard(), now));
    assert!(!declines.is_backing_off("remera", now + MIN_BACKOFF));
}

// Guards against a shard that is avoided long after it had no room.
#[test]
fn a_return_is_forgotten() {
    let (mut declines, now) = (Declines::default(), Duration::from_secs(1));
    declines.record(&shard(), now);
    assert_eq!(declines.last("remera", now), Some(now));
    assert_eq!(declines.last("gasabo", now), None);
    assert_eq!(declines.last("remera", now + RETENTION), None);
}
