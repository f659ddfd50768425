use super::{ANSWER_MARGIN, ConfigConfirmation, ConfirmationStatus};
use crate::cluster::StoreReachability;
use std::time::Duration;

const IN_FORCE: Duration = Duration::from_secs(2);
const START: Duration = Duration::from_secs(100);

/// Status of a daemon whose confirmation of version 7 has expired.
fn unconfirmed(store: StoreReachability, newest_heard: u64) -> ConfirmationStatus {
    let mut confirmed = ConfigConfirmation::new(START, IN_FORCE);
    confirmed.update_reach(store, 7, newest_heard);
    confirmed.status(START + IN_FORCE)
}

// Guards against handling calls with an outdated version although the store, or another daemon, may
// have a newer one.
#[test]
fn an_expired_confirmation_is_accepted_only_when_cut_off_from_newer_versions() {
    assert_eq!(unconfirmed(StoreReachability::Reached, 0), ConfirmationStatus::Unconfirmed);
    assert_eq!(unconfirmed(StoreReachability::Away, 8), ConfirmationStatus::Unconfirmed);
    assert_eq!(unconfirmed(StoreReachability::Away, 7), ConfirmationStatus::CutOff);
}

// Guards against refusing calls while confirmations arrive on time.
#[test]
fn a_recent_confirmation_holds_when_a_newer_version_is_reported() {
    let mut confirmed = ConfigConfirmation::new(START, IN_FORCE);
    confirmed.update_reach(StoreReachability::Away, 7, 8);
    assert_eq!(confirmed.status(START + IN_FORCE - ANSWER_MARGIN), ConfirmationStatus::Confirmed);
}

// Guards against a late response that moves the time of the last confirmation back.
#[test]
fn an_earlier_confirmation_does_not_replace_a_later_one() {
    let mut confirmed = ConfigConfirmation::new(START, IN_FORCE);
    confirmed.confirm(START + IN_FORCE);
    confirmed.confirm(START);
    assert_eq!(confirmed.age(START + IN_FORCE), Duration::ZERO);
}
