use super::{LearnedFor, LearnedSchedule};
use std::time::Duration;

const HELLO_INTERVAL: Duration = Duration::from_millis(400);
const ROUNDS: u32 = 1500;

/// Number of hellos with estimates that an owner sends to daemons without shards in ten minutes.
fn sent_to_others(others: usize) -> usize {
    let mut schedule = LearnedSchedule::default();
    let due = (1..=ROUNDS).map(|round| schedule.take_due(HELLO_INTERVAL * round, others));
    due.filter(|due| *due == LearnedFor::Everyone).count() * others
}

// Guards against estimates that take an owner's link and processor in a large cluster, where every
// daemon received them as often as the few that use them.
#[test]
fn estimates_cost_an_owner_no_more_in_a_large_cluster() {
    let (small, large) = (sent_to_others(16), sent_to_others(320));
    assert!(large <= small + 320, "{large} hellos with estimates, {small} in a small cluster");
    assert!(2 * large >= small, "{large}: daemons that take a shard over know nothing");
}

// Guards against owners that place work by old estimates because the cluster is large.
#[test]
fn owners_receive_estimates_as_often_in_a_large_cluster() {
    let mut schedule = LearnedSchedule::default();
    let due = (1..=ROUNDS).map(|round| schedule.take_due(HELLO_INTERVAL * round, 320));
    assert_eq!(due.filter(|due| *due != LearnedFor::Nobody).count(), ROUNDS as usize / 4);
}
