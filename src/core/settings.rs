//! Settings of a core, fixed when it is created.

use crate::ids::{DaemonId, DomainId, PartitionId};
use std::time::Duration;

/// Settings of a core.
#[derive(Clone, Debug)]
pub struct CoreSettings {
    pub daemon_id: DaemonId,
    /// Failure domain of this daemon.
    pub domain: DomainId,
    /// Requested duration of control leases and task leases.
    pub lease_ttl: Duration,
    /// Interval between renewals of a VM's leases.
    pub sync_period: Duration,
    /// Maximum drift between two clocks within `lease_ttl`.
    pub drift_margin: Duration,
    /// All partitions of the task log, in all failure domains.
    pub partitions: Vec<PartitionHome>,
    pub limits: Limits,
}

/// A partition and the failure domain whose daemons are preferred as its writer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartitionHome {
    pub id: PartitionId,
    pub domain: DomainId,
}

/// Limits and delays that rarely need to be changed.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Time after which a reservation without a start request expires.
    pub reservation_ttl: Duration,
    /// Delay before an unanswered message or call is retried.
    pub retry_period: Duration,
    /// Time that this daemon must be the preferred writer of a partition before it claims it.
    pub recover_after: Duration,
    /// Minimum time between two commits of a partition.
    pub commit_interval: Duration,
    /// Sustained rate, in bytes per second, at which a partition's head may be rewritten.
    pub commit_rate: usize,
    /// Bytes of head rewrites that may exceed `commit_rate` in a burst.
    pub commit_burst: usize,
    /// Maximum number of records in one commit.
    pub commit_records: usize,
    /// Maximum estimated size of one commit, in bytes.
    pub commit_bytes: usize,
    /// Age of an unanswered commit after which submissions queued behind it are rejected.
    pub slow_commit_after: Duration,
    /// Initial delay after a commit that the store did not write.
    pub store_backoff: Duration,
    /// Maximum delay after repeated commits that the store did not write.
    pub store_backoff_max: Duration,
    /// Maximum number of waiting tasks and queued records of a partition.
    pub waiting_max: usize,
    /// Ended tasks that a partition retains for repeated submissions and queries.
    pub ended_kept: usize,
    /// Time that another daemon must be preferred for a VM or a partition before it is handed over.
    pub handover_after: Duration,
    /// Time off the platform's list after which a VM is guaranteed to run nothing.
    pub gone_after: Duration,
    /// Maximum number of placement decisions in one step.
    pub places_per_step: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            reservation_ttl: Duration::from_secs(5),
            retry_period: Duration::from_secs(2),
            recover_after: Duration::from_millis(500),
            commit_interval: Duration::from_millis(100),
            commit_rate: 3_000,
            commit_burst: 48 << 10,
            commit_records: 2_000,
            commit_bytes: 512 << 10,
            slow_commit_after: Duration::from_secs(3),
            store_backoff: Duration::from_millis(500),
            store_backoff_max: Duration::from_secs(5),
            waiting_max: 50_000,
            ended_kept: 4_096,
            handover_after: Duration::from_secs(10),
            gone_after: Duration::from_secs(60),
            places_per_step: 128,
        }
    }
}

impl CoreSettings {
    /// Creates settings with leases of 10 s that are renewed every 2 s.
    pub fn new(daemon_id: DaemonId, domain: DomainId) -> Self {
        Self {
            daemon_id,
            domain,
            lease_ttl: Duration::from_secs(10),
            sync_period: Duration::from_secs(2),
            drift_margin: Duration::from_millis(500),
            partitions: Vec::new(),
            limits: Limits::default(),
        }
    }

    /// Sets the partitions of the task log.
    pub fn with_partitions(mut self, partitions: Vec<PartitionHome>) -> Self {
        self.partitions = partitions;
        self
    }
}
