use super::{Confirmed, MARGIN, Standing};
use crate::cluster::StoreReach;
use std::time::Duration;

const IN_FORCE: Duration = Duration::from_secs(2);
const START: Duration = Duration::from_secs(100);

/// A daemon with version 7 that was confirmed long ago.
fn old(store: StoreReach, newest_heard: u64) -> Standing {
    let mut confirmed = Confirmed::new(START, IN_FORCE);
    confirmed.hear(store, 7, newest_heard);
    confirmed.standing(START + IN_FORCE)
}

// Guards against calls that are handled by an old version although the store, or another daemon, knows of a newer one.
#[test]
fn an_old_confirmation_counts_only_where_nobody_could_know_better() {
    assert_eq!(old(StoreReach::Reached, 0), Standing::Unconfirmed);
    assert_eq!(old(StoreReach::Away, 8), Standing::Unconfirmed);
    assert_eq!(old(StoreReach::Away, 7), Standing::CutOff);
}

// Guards against calls that are turned away while confirmations come as they should.
#[test]
fn a_recent_confirmation_holds_whatever_else_is_heard() {
    let mut confirmed = Confirmed::new(START, IN_FORCE);
    confirmed.hear(StoreReach::Away, 7, 8);
    assert_eq!(confirmed.standing(START + IN_FORCE - MARGIN), Standing::Confirmed);
}

// Guards against an answer that comes late and takes a newer confirmation back.
#[test]
fn an_older_confirmation_changes_nothing() {
    let mut confirmed = Confirmed::new(START, IN_FORCE);
    confirmed.confirm(START + IN_FORCE);
    confirmed.confirm(START);
    assert_eq!(confirmed.age(START + IN_FORCE), Duration::ZERO);
}
