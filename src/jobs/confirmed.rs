//! Tracks whether a daemon's configuration is confirmed to be the newest.
//!
//! The store confirms the version in force with each response to the configuration watch. Without a
//! confirmation for longer than a change may take to be in force, the version may be outdated and
//! the daemon refuses calls. If the whole domain is cut off from the store, no daemon can know of a
//! newer version, and calls are handled with the current one.

#[cfg(test)]
mod tests;

use crate::cluster::StoreReachability;
use std::time::Duration;

/// Part of the time allowed for a change that is reserved for answering a call.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);

/// Whether calls may be handled with the version in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfirmationStatus {
    Confirmed,
    /// The version may be outdated, but the store is unreachable and no other daemon is known to
    /// have a newer one. Calls are handled.
    CutOff,
    /// The version may be outdated, and the store or another daemon may have a newer one. Calls are
    /// refused.
    Unconfirmed,
}

/// Last confirmation of the version in force.
#[derive(Clone, Copy, Debug)]
pub struct ConfigConfirmation {
    confirmed_at: Duration,
    max_age: Duration,
    cut_off: bool,
}

impl ConfigConfirmation {
    /// Starts as confirmed at `now`. A change may take up to `in_force` to be in force everywhere.
    pub fn new(now: Duration, in_force: Duration) -> Self {
        Self { confirmed_at: now, max_age: in_force.saturating_sub(ANSWER_MARGIN), cut_off: false }
    }

    /// Records that the version in force was the newest one at time `at`.
    pub fn confirm(&mut self, at: Duration) {
        self.confirmed_at = self.confirmed_at.max(at);
    }

    /// Updates whether the store or another daemon could provide a newer version.
    pub fn update_reach(&mut self, store: StoreReachability, in_force: u64, newest_heard: u64) {
        self.cut_off = store == StoreReachability::Away && newest_heard <= in_force;
    }

    /// Time since the last confirmation.
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.confirmed_at)
    }

    /// Whether calls may be handled with the version in force.
    pub fn status(&self, now: Duration) -> ConfirmationStatus {
        if self.age(now) <= self.max_age {
            ConfirmationStatus::Confirmed
        } else if self.cut_off {
            ConfirmationStatus::CutOff
        } else {
            ConfirmationStatus::Unconfirmed
        }
    }
}

impl Default for ConfigConfirmation {
    /// For a daemon that has no configuration yet.
    fn default() -> Self {
        Self::new(Duration::ZERO, Duration::MAX)
    }
}
