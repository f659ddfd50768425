//! Schedule by which hellos carry the interference between images that the shards have measured.
//!
//! Pattern: gossip whose cost per daemon is independent of the cluster's size. Owners of shards
//! place work by these estimates and receive them often. The other daemons need them only when
//! they take a shard over, so the interval grows with the number of daemons that receive them.

#[cfg(test)]
mod tests;

use std::time::Duration;

/// Interval at which owners receive the estimates: 2 KB with 45 pairs.
const OWNER_INTERVAL: Duration = Duration::from_millis(1500);

/// Number of other daemons up to which all receive the estimates as often as owners.
const SMALL_CLUSTER: usize = 16;

/// Receivers of the estimates in the current round of hellos.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LearnedFor {
    Nobody,
    Owners,
    Everyone,
}

/// Times at which the estimates are due.
#[derive(Debug, Default)]
pub struct LearnedSchedule {
    next_to_owners: Duration,
    next_to_everyone: Duration,
}

impl LearnedSchedule {
    /// Returns who receives the estimates with the hellos sent now, and schedules the next time.
    pub fn take_due(&mut self, now: Duration, others: usize) -> LearnedFor {
        if now < self.next_to_owners {
            return LearnedFor::Nobody;
        }
        self.next_to_owners = now + OWNER_INTERVAL;
        if now < self.next_to_everyone {
            return LearnedFor::Owners;
        }
        let small_clusters = u32::try_from(others.div_ceil(SMALL_CLUSTER)).unwrap_or(u32::MAX);
        self.next_to_everyone = now + OWNER_INTERVAL * small_clusters.max(1);
        LearnedFor::Everyone
    }
}
