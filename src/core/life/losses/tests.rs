use super::*;

const MIN_DELAY: Duration = Duration::from_secs(1);

fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

// Guards against two daemons that reach the store but not each other repeatedly taking a partition
// from each other, while callers' submissions are rejected. Each considers itself the only
// preferred writer and reclaims the partition as soon as it loses it.
#[test]
fn a_contested_partition_is_claimed_with_increasing_delays() {
    let mut losses = Losses::default();
    let mut now = Duration::ZERO;
    let mut claims = 0;
    while now < secs(3600) {
        now += losses.record(now, MIN_DELAY) + MIN_DELAY;
        claims += 1;
    }
    assert!(claims < 45, "{claims} claims in an hour");
}

#[test]
fn a_single_loss_causes_no_delay() {
    let mut losses = Losses::default();
    assert_eq!(losses.record(secs(10), MIN_DELAY), Duration::ZERO);
    assert_eq!(losses.record(secs(1_000), MIN_DELAY), Duration::ZERO);
    assert_eq!(losses.record(secs(1_010), MIN_DELAY), MIN_DELAY);
}
