use super::LateStarts;
use crate::job::{JobId, RunNumber, TaskRef};
use crate::shard::lease::Delivery;
use crate::shard::vm_run::RunKey;
use std::time::Duration;

const KEY: RunKey =
    RunKey { task: TaskRef { job: JobId(1), occurrence: 0, step: 0, index: 0 }, run: RunNumber(1) };

fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

// Guards against a run that is waited for although none of its starts was sent.
#[test]
fn starts_that_were_not_sent_leave_nothing() {
    let mut starts = LateStarts::default();
    for n in 1..4 {
        starts.send(KEY, seconds(n));
        assert_eq!(starts.end(KEY), Some(seconds(n)), "it counts while it is in flight");
        starts.settle(KEY, Delivery::NotSent, seconds(n + 1));
    }
    assert_eq!(starts.end(KEY), None);
}

// Guards against a start without an answer that a later one hides, or makes count for longer.
#[test]
fn a_start_without_an_answer_counts_on() {
    for later in [Delivery::NotSent, Delivery::Answered] {
        let mut starts = LateStarts::default();
        starts.send(KEY, seconds(1));
        starts.settle(KEY, Delivery::Unanswered, seconds(2));
        starts.send(KEY, seconds(9));
        starts.settle(KEY, later, seconds(10));
        assert_eq!(starts.end(KEY), Some(seconds(2)), "{later:?}");
    }
}
