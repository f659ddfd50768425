//! What the core is told once, when it is made.

use crate::ids::{DaemonId, DomainId, PartitionId};
use std::time::Duration;

/// Settings of a core.
#[derive(Clone, Debug)]
pub struct CoreSettings {
    pub me: DaemonId,
    /// Failure domain of this daemon.
    pub domain: DomainId,
    /// Time that a control lease and the task leases are asked for.
    pub lease_ttl: Duration,
    /// Time between renewals of a VM's leases.
    pub sync_period: Duration,
    /// Most that two clocks drift apart within `lease_ttl`.
    pub drift_margin: Duration,
    /// Every partition of the task log, in all failure domains.
    pub partitions: Vec<PartitionHome>,
    pub limits: Limits,
}

/// A partition and the failure domain whose daemons write it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartitionHome {
    pub id: PartitionId,
    pub domain: DomainId,
}

/// Bounds and waits that seldom need changing.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Time that a reservation is held without a start.
    pub reservation_ttl: Duration,
    /// Wait before an unanswered message or call is repeated.
    pub retry_period: Duration,
    /// Time that this daemon must be proposed for a partition before it becomes its writer.
    pub recover_after: Duration,
    /// Least time between two commits of a partition.
    pub commit_interval: Duration,
    /// Bytes a second that a partition's commits may come to for long, and in a burst.
    pub commit_rate: usize,
    pub commit_burst: usize,
    /// Most records in one commit.
    pub commit_records: usize,
    /// Most bytes in one commit, as estimated.
    pub commit_bytes: usize,
    /// Age of an unanswered commit at which submissions behind it are refused.
    pub commit_patience: Duration,
    /// First and longest wait after a commit that the store refused.
    pub store_backoff: Duration,
    pub store_backoff_max: Duration,
    /// Most tasks of a partition that wait for a VM.
    pub waiting_max: usize,
    /// Ended tasks of a partition that are kept for repeated submissions and queries.
    pub ended_kept: usize,
    /// Time that another daemon must be proposed for a VM before it is handed over.
    pub handover_after: Duration,
    /// Time off the platform's list after which a VM surely runs nothing.
    pub gone_after: Duration,
    /// Placements decided in one step.
    pub places_per_step: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            reservation_ttl: Duration::from_secs(5),
            retry_period: Duration::from_secs(2),
            recover_after: Duration::from_millis(500),
            commit_interval: Duration::from_millis(100),
            commit_rate: 4_000,
            commit_burst: 48 << 10,
            commit_records: 2_000,
            commit_bytes: 512 << 10,
            commit_patience: Duration::from_secs(3),
            store_backoff: Duration::from_millis(500),
            store_backoff_max: Duration::from_secs(5),
            waiting_max: 50_000,
            ended_kept: 20_000,
            handover_after: Duration::from_secs(10),
            gone_after: Duration::from_secs(60),
            places_per_step: 128,
        }
    }
}

impl CoreSettings {
    /// Settings with leases of ten seconds, renewed every two.
    pub fn new(me: DaemonId, domain: DomainId) -> Self {
        Self {
            me,
            domain,
            lease_ttl: Duration::from_secs(10),
            sync_period: Duration::from_secs(2),
            drift_margin: Duration::from_millis(500),
            partitions: Vec::new(),
            limits: Limits::default(),
        }
    }

    /// With the partitions of the task log.
    pub fn with_partitions(mut self, partitions: Vec<PartitionHome>) -> Self {
        self.partitions = partitions;
        self
    }
}
