//! The state that callers' calls use, as last published by control.

use super::confirmed::ConfigConfirmation;
use crate::cluster::{Member, StoreReachability};
use crate::evacuation::Evacuations;
use crate::job::JobId;
use crate::job::check::VmShapes;
use crate::queues::Queues;
use crate::shard::Summary;
use indexmap::IndexMap;
use std::sync::Arc;
use std::time::Duration;

/// A snapshot of the shards and their owners.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The configuration in force; `None` until one was read from the store.
    pub queues: Option<Arc<Queues>>,
    /// When the configuration was last confirmed.
    pub config_confirmation: ConfigConfirmation,
    pub shards: IndexMap<String, ShardView>,
    pub readiness: Readiness,
    /// Failure domains whose evacuation is ordered.
    pub evacuations: Arc<Evacuations>,
    /// Task sizes that the VMs can hold.
    pub vm_shapes: Arc<VmShapes>,
}

impl View {
    /// Whether shards have owners, none of which can reach the store.
    pub fn lacks_store(&self) -> bool {
        let mut owned = self.shards.values().filter(|shard| shard.owner.is_some()).peekable();
        owned.peek().is_some() && owned.all(|shard| shard.store == StoreReachability::Away)
    }

    /// Whether shards have owners that accept jobs, none of which has a VM that accepts work.
    pub fn lacks_vms(&self) -> bool {
        let mut accepting = self.shards.values().filter(|shard| shard.accepts_jobs()).peekable();
        accepting.peek().is_some() && accepting.all(|shard| shard.summary.vms == 0)
    }
}

impl ShardView {
    /// Whether the shard has an owner that can make a job durable and may start its tasks.
    pub fn accepts_jobs(&self) -> bool {
        self.owner.is_some() && self.store == StoreReachability::Reached && !self.is_evacuated
    }
}

/// Last known state of a shard.
#[derive(Clone, Debug)]
pub struct ShardView {
    /// The owner, if it is responding.
    pub owner: Option<Owner>,
    /// Whether the owner can reach the store, which it needs to accept a job.
    pub store: StoreReachability,
    pub summary: Arc<Summary>,
    /// When the summary was created.
    pub summary_at: Duration,
    /// Clock of an owner in another daemon, if it has told it.
    pub clock: Option<RemoteClock>,
    /// Whether the shard's failure domain is evacuated.
    pub is_evacuated: bool,
}

/// What is known of another daemon's monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RemoteClock {
    /// When the reading arrived, on this daemon's clock.
    heard_at: Duration,
    reading: Duration,
}

impl RemoteClock {
    /// Creates it from a reading that has just arrived.
    pub fn new(heard_at: Duration, reading: Duration) -> Self {
        Self { heard_at, reading }
    }

    /// Returns the earliest time that the other clock may show at `now` of this daemon's clock.
    pub fn at(&self, now: Duration) -> Duration {
        self.reading + now.saturating_sub(self.heard_at)
    }

    /// Returns whichever of two readings was less delayed.
    pub fn closer(self, other: Self) -> Self {
        let now = self.heard_at.max(other.heard_at);
        if other.at(now) >= self.at(now) { other } else { self }
    }
}

/// The owner of a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Owner {
    Local,
    Remote(Member),
}

/// Whether the load balancer should send callers to this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    Ready,
    NotReady { reason: &'static str },
}

impl Default for Readiness {
    fn default() -> Self {
        Self::NotReady { reason: "starting" }
    }
}

/// The shards of recently seen jobs.
///
/// The size is bounded; the shard of an evicted job is looked up in the store.
#[derive(Debug, Default)]
pub struct JobDirectory {
    shards: IndexMap<JobId, Arc<str>>,
}

/// Maximum number of jobs held: two minutes' worth at 35 jobs a second.
const MAX_DIRECTORY_JOBS: usize = 4096;

impl JobDirectory {
    /// Records a job's shard.
    pub fn add(&mut self, job: JobId, shard: &Arc<str>) {
        self.shards.insert(job, shard.clone());
        if self.shards.len() > MAX_DIRECTORY_JOBS {
            self.shards.shift_remove_index(0);
        }
    }

    /// The shard of a job, if known.
    pub fn find(&self, job: JobId) -> Option<Arc<str>> {
        self.shards.get(&job).cloned()
    }
}
