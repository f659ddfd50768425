//! Configuration updates sent to control, over links that are slow for the size of the
//! configuration.

use crate::harness::{Harness, LATENCY};
use std::time::Duration;

/// 10 Mbit/s.
const BYTES_PER_SECOND: u32 = 1_250_000;

/// Size of a configuration with 4,200 queues; its transfer takes about a second.
const CONFIG_BYTES: usize = 920_000;

/// Time to transfer one version.
const TRANSFER_TIME: Duration = Duration::from_millis(982);

/// Interval between two versions.
const WRITE_INTERVAL: Duration = Duration::from_millis(330);

/// Two reads: a version may be written when a read has just begun.
const MAX_LAG: Duration = Duration::from_millis(2 * 982 + 150);

// Guards against a daemon that reads each of many versions in turn and falls further and further
// behind the newest.
#[actix_rt::test]
async fn versions_in_rapid_succession_are_in_force_in_time() {
    let harness = Harness::start_with_link(0, LATENCY, Some(BYTES_PER_SECOND));
    harness.configure(1, CONFIG_BYTES);
    tokio::time::sleep(2 * TRANSFER_TIME).await;
    for version in 2..60 {
        harness.configure(version, CONFIG_BYTES);
        tokio::time::sleep(WRITE_INTERVAL).await;
        let lag =
            WRITE_INTERVAL * u32::try_from(version - harness.config.get().version).expect("a few");
        assert!(lag <= MAX_LAG + WRITE_INTERVAL, "version {version}, {lag:?} behind");
    }
    tokio::time::sleep(MAX_LAG).await;
    assert_eq!(harness.config.get().version, 59);
}

// Guards against a version that counts as confirmed for the time of its transfer, although newer
// ones were written.
#[actix_rt::test]
async fn a_version_is_confirmed_only_up_to_the_request() {
    let harness = Harness::start_with_link(0, LATENCY, Some(BYTES_PER_SECOND));
    harness.configure(1, CONFIG_BYTES);
    let mut newest_written = Duration::ZERO;
    for version in 2..12 {
        tokio::time::sleep(WRITE_INTERVAL).await;
        newest_written = harness.clock.now();
        harness.configure(version, CONFIG_BYTES);
        let update = harness.config.get();
        assert!(update.version + 1 == version || update.confirmed <= newest_written, "{update:?}");
    }
    tokio::time::sleep(MAX_LAG).await;
    assert!(
        harness.config.get().confirmed > newest_written,
        "the newest version is not confirmed after the last write"
    );
}

// Guards against an unreadable configuration that leaves the previous one confirmed.
#[actix_rt::test]
async fn an_unreadable_configuration_is_not_confirmed() {
    let harness = Harness::start(0);
    harness.configure(1, 1);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let before = harness.config.get();
    assert_eq!(before.version, 1);
    harness.configure_unreadable();
    tokio::time::sleep(Duration::from_secs(3)).await;
    let after = harness.config.get();
    assert!(after.version == 1 && after.confirmed <= before.confirmed + Duration::from_secs(1));
    harness.configure(3, 1);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(harness.config.get().version, 3);
}

/// Time from a write until control knows of it.
const READ_TIME: Duration = Duration::from_millis(300);

// Guards against orders to evacuate a domain that reach control late or not at all, one after the
// other.
#[actix_rt::test]
async fn evacuations_are_followed_as_they_change() {
    let harness = Harness::start(0);
    harness.configure(1, 1);
    harness.evacuate("remera");
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(harness.is_evacuated("remera"));
    for _ in 0..5 {
        harness.withdraw_evacuation("remera");
        harness.evacuate("kacyiru");
        tokio::time::sleep(READ_TIME).await;
        assert!(!harness.is_evacuated("remera") && harness.is_evacuated("kacyiru"));
        harness.evacuate("remera");
        harness.withdraw_evacuation("kacyiru");
        tokio::time::sleep(READ_TIME).await;
        assert!(harness.is_evacuated("remera") && !harness.is_evacuated("kacyiru"));
    }
}

// Guards against an order that was withdrawn while the store forgot its history, and stays in force
// for good.
#[actix_rt::test]
async fn an_evacuation_withdrawn_beyond_the_history_ends() {
    let harness = Harness::start(0);
    harness.configure(1, 1);
    harness.evacuate("remera");
    tokio::time::sleep(Duration::from_secs(1)).await;
    harness.withdraw_evacuation("remera");
    harness.evacuate("kacyiru");
    harness.table.table().compact();
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert!(!harness.is_evacuated("remera") && harness.is_evacuated("kacyiru"));
}

// Guards against evacuations that count as unread while nothing changes.
#[actix_rt::test]
async fn evacuations_are_confirmed_while_they_do_not_change() {
    let harness = Harness::start(0);
    harness.configure(1, 1);
    for _ in 0..10 {
        tokio::time::sleep(Duration::from_millis(1300)).await;
        let age = harness.clock.now().saturating_sub(harness.evacuations.borrow().1);
        assert!(age <= Duration::from_millis(1100), "{age:?}");
    }
}

// Guards against a configuration that counts as confirmed for times still to come, and so for longer
// than the store can vouch for it: a watch may be cut before the end of its wait.
#[actix_rt::test]
async fn a_watch_that_is_cut_confirms_nothing_ahead_of_time() {
    let harness = Harness::start(0);
    harness.configure(1, 1000);
    harness.cut_watches();
    tokio::time::sleep(Duration::from_secs(1)).await;
    let (confirmed, now) = (harness.config.get().confirmed, harness.clock.now());
    assert!(confirmed <= now, "confirmed up to {confirmed:?} at {now:?}");
    let evacuations_at = harness.evacuations.borrow().1;
    assert!(evacuations_at <= now, "evacuations of {evacuations_at:?} at {now:?}");
}
