//! How sure a daemon is that its configuration is the newest.
//!
//! The store confirms the version in force with each answer to the watch that follows it. A daemon that has gone
//! without that for longer than a change may take to be in force would handle calls by an old version, and turns
//! them away instead. Where the whole domain is cut off from the store nobody can know better, and calls are
//! handled by the version at hand.

#[cfg(test)]
mod tests;

use crate::cluster::StoreReach;
use std::time::Duration;

/// Kept back from the time that a change may take, for the answer to a call.
const MARGIN: Duration = Duration::from_millis(100);

/// Whether calls may be handled by the version in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    Confirmed,
    /// It may be old; the store doesn't answer, and nobody is heard to have a newer one.
    CutOff,
    /// It may be old, and the store or another daemon could tell.
    Unconfirmed,
}

/// When the version in force was last confirmed.
#[derive(Clone, Copy, Debug)]
pub struct Confirmed {
    at: Duration,
    limit: Duration,
    cut_off: bool,
}

impl Confirmed {
    /// Confirmed now; a change may take `in_force` to be in force everywhere.
    pub fn new(now: Duration, in_force: Duration) -> Self {
        Self { at: now, limit: in_force.saturating_sub(MARGIN), cut_off: false }
    }

    /// The version in force was the newest at that time.
    pub fn confirm(&mut self, at: Duration) {
        self.at = self.at.max(at);
    }

    /// Learns whether anybody could tell of a newer version.
    pub fn hear(&mut self, store: StoreReach, in_force: u64, newest_heard: u64) {
        self.cut_off = store == StoreReach::Away && newest_heard <= in_force;
    }

    /// Time since the last confirmation.
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.at)
    }

    /// Whether calls may be handled by the version in force.
    pub fn standing(&self, now: Duration) -> Standing {
        if self.age(now) <= self.limit {
            Standing::Confirmed
        } else if self.cut_off {
            Standing::CutOff
        } else {
            Standing::Unconfirmed
        }
    }
}

impl Default for Confirmed {
    /// Of a daemon that has no configuration yet.
    fn default() -> Self {
        Self::new(Duration::ZERO, Duration::MAX)
    }
}
