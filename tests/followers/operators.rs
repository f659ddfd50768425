//! What control is told of the configuration, over links that are slow for its size.

use crate::world::{CALL, Seen};
use std::time::Duration;

/// 10 Mbit/s, in bytes a second.
const LINK: u32 = 1_250_000;

/// 4,200 queues; a second for each version.
const LARGE: usize = 920_000;

/// Time for a version to come in over the link.
const ONE_VERSION: Duration = Duration::from_millis(982);

/// Between two versions.
const GAP: Duration = Duration::from_millis(330);

/// Two readings: a version may be written as one has just begun.
const MOST_BEHIND: Duration = Duration::from_millis(2 * 982 + 150);

// Guards against a daemon that reads each of many versions in turn and falls ever further behind the newest.
#[actix_rt::test]
async fn versions_that_follow_each_other_closely_are_in_force_in_time() {
    let seen = Seen::start_over(0, CALL, Some(LINK));
    seen.configure(1, LARGE);
    tokio::time::sleep(2 * ONE_VERSION).await;
    for version in 2..60 {
        seen.configure(version, LARGE);
        tokio::time::sleep(GAP).await;
        let behind = GAP * u32::try_from(version - seen.config.get().version).expect("a few");
        assert!(behind <= MOST_BEHIND + GAP, "version {version}, {behind:?} behind");
    }
    tokio::time::sleep(MOST_BEHIND).await;
    assert_eq!(seen.config.get().version, 59);
}

// Guards against a version that counts as confirmed for the time in which it came in, though newer ones were written.
#[actix_rt::test]
async fn a_version_is_confirmed_for_the_time_of_asking_only() {
    let seen = Seen::start_over(0, CALL, Some(LINK));
    seen.configure(1, LARGE);
    let mut newest_written = Duration::ZERO;
    for version in 2..12 {
        tokio::time::sleep(GAP).await;
        newest_written = seen.clock.now();
        seen.configure(version, LARGE);
        let told = seen.config.get();
        assert!(told.version + 1 == version || told.confirmed <= newest_written, "{told:?}");
    }
    tokio::time::sleep(MOST_BEHIND).await;
    assert!(seen.config.get().confirmed > newest_written, "nothing is written any more");
}

// Guards against an unreadable configuration that leaves the one before it confirmed.
#[actix_rt::test]
async fn a_configuration_that_cannot_be_read_confirms_nothing() {
    let seen = Seen::start(0);
    seen.configure(1, 1);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let before = seen.config.get();
    assert_eq!(before.version, 1);
    seen.configure_unreadable();
    tokio::time::sleep(Duration::from_secs(3)).await;
    let after = seen.config.get();
    assert!(after.version == 1 && after.confirmed <= before.confirmed + Duration::from_secs(1));
    seen.configure(3, 1);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(seen.config.get().version, 3);
}
