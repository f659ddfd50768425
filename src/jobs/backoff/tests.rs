use super::{Urgency, read_delay};
use crate::kv::Error;
use std::time::Duration;

const OUTAGE: Duration = Duration::from_secs(4);

fn reset() -> Error {
    Error::NoAnswer { reason: "connection reset".to_owned() }
}

/// Number of reads that fail during an outage in which each fails at once.
fn failed_reads(urgency: Urgency) -> u32 {
    let (mut passed, mut reads) = (Duration::ZERO, 0);
    while passed < OUTAGE {
        reads += 1;
        passed += read_delay(&reset(), reads, urgency);
    }
    reads
}

// Guards against an outage that all daemons of a large cluster prolong by asking the store dozens
// of times a second.
#[test]
fn daemons_without_shards_rarely_ask_during_an_outage() {
    assert!(failed_reads(Urgency::Idle) <= 12, "{}", failed_reads(Urgency::Idle));
}

// Guards against tasks that wait for their owner's next attempt after the store is back.
#[test]
fn owners_notice_the_end_of_an_outage_at_once() {
    let delay = |in_row| read_delay(&reset(), in_row, Urgency::Owner);
    assert_eq!(delay(1), delay(1000));
}

// Guards against a delay that is longer than a single lost answer asks for.
#[test]
fn a_single_failure_is_retried_at_once() {
    assert_eq!(read_delay(&reset(), 1, Urgency::Idle), read_delay(&reset(), 1, Urgency::Owner));
}
