use super::*;

const LEAST: Duration = Duration::from_secs(1);

fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

// The caller's submissions are refused for as long as two daemons that are cut off from each other,
// but not from the store, take a partition from each other. Order: each loses it to the other, and
// claims it again at once. Why: each believes that it alone is proposed.
#[test]
fn a_partition_that_is_fought_over_is_claimed_ever_less_often() {
    let mut losses = Losses::default();
    let mut now = Duration::ZERO;
    let mut claims = 0;
    while now < secs(3600) {
        now += losses.note(now, LEAST) + LEAST;
        claims += 1;
    }
    assert!(claims < 45, "{claims} claims in an hour");
}

#[test]
fn a_single_loss_costs_no_wait() {
    let mut losses = Losses::default();
    assert_eq!(losses.note(secs(10), LEAST), Duration::ZERO);
    assert_eq!(losses.note(secs(1_000), LEAST), Duration::ZERO);
    assert_eq!(losses.note(secs(1_010), LEAST), LEAST);
}
