//! Cluster members and the messages that they exchange.

use crate::ids::{DaemonId, DomainId};
use crate::job::JobId;
use crate::note::StaticText;
use crate::shard::learned::Learned;
use crate::shard::{RemainingLeases, ReportedLapse, Summary};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// A daemon in the cluster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Identifies one process of the daemon: its name and start time.
    pub id: DaemonId,
    /// Name of the daemon, unchanged by restarts.
    pub name: String,
    pub domain: DomainId,
    /// Address for connections from other daemons, as `ip:port`.
    pub addr: String,
    pub stage: MemberStage,
    /// CPU available to the daemon, in thousandths of a core.
    #[serde(rename = "power")]
    pub milli_cores: u32,
}

/// Whether a daemon accepts shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberStage {
    Serving,
    /// The daemon is in a planned stop.
    Draining,
}

/// Whether a daemon can reach the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreReachability {
    Reached,
    Away,
}

/// Answer of a daemon that is offered a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OfferAnswer {
    /// The daemon claims the shard, or owns it already.
    Accepted,
    Declined(DeclineReason),
}

/// Why a daemon declines an offered shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DeclineReason {
    /// The daemon is in a planned stop.
    Draining,
    /// The daemon can't reach the store.
    StoreAway,
    /// The daemon has not read the plan with this shard yet.
    UnknownShard,
    /// The shard was claimed after the offered ownership.
    LaterOwner,
    /// The daemon has yet to notice that it lost an earlier ownership of the shard.
    OutdatedOwner,
}

impl DeclineReason {
    /// The reason, as logged.
    pub fn name(self) -> StaticText {
        match self {
            Self::Draining => "the daemon stops",
            Self::StoreAway => "the store can't be reached",
            Self::UnknownShard => "the shard isn't known",
            Self::LaterOwner => "a later owner is known",
            Self::OutdatedOwner => "an earlier ownership of it goes on there",
        }
    }
}

/// Heartbeat that a daemon sends to other daemons.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    pub from: Member,
    /// Increases with each hello that the process composes. One may be sent several times, and
    /// later ones may overtake it.
    pub number: u64,
    /// The sender's monotonic clock as it composed the hello.
    pub clock: Duration,
    /// How long the sending process has run as it sent the hello.
    pub uptime: Duration,
    pub store: StoreReachability,
    /// Version of the configuration in force at the sender.
    pub config: u64,
    /// Shards owned by the sender.
    pub shards: Arc<[ShardReport]>,
    /// Shards that the sender was the last known owner of, and owns no longer.
    pub released: Vec<ReleasedShard>,
    /// Ownerships of the sender that have ended lately, also of shards with a newer owner.
    pub ended: Vec<EndedOwnership>,
}

/// Lowest rate of a daemon's clock by that of another one.
const MIN_CLOCK_RATE: f64 = 0.96;

impl Hello {
    /// Latest time at which the sending process has started, if the hello was received at `now`.
    pub fn sender_started_by(&self, now: Duration) -> Duration {
        now.saturating_sub(self.uptime.mul_f64(MIN_CLOCK_RATE))
    }

    /// The same hello as it is sent when the sender's clock shows `now`.
    pub fn sent_at(&self, now: Duration) -> Self {
        let uptime = self.uptime + now.saturating_sub(self.clock);
        Self { uptime, ..self.clone() }
    }

    /// A shorter hello for receivers that own no shard. It omits the free room of VMs, which is the
    /// largest part of a hello and is needed only to lend tasks.
    pub fn without_free_room(&self) -> Self {
        let shorten = |report: &ShardReport| {
            let (rooms, harmless_free) = (Vec::new(), Vec::new());
            let summary = Summary { rooms, harmless_free, ..(*report.summary).clone() };
            ShardReport { summary: Arc::new(summary), ..report.clone() }
        };
        Self { shards: self.shards.iter().map(shorten).collect(), ..self.clone() }
    }
}

/// An ownership of a shard that has ended: its owner makes no calls to the shard's VMs any more.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleasedShard {
    pub name: String,
    /// Fencing token of the ownership.
    pub fence: u64,
    /// How long an owner before that one may still extend leases; zero if none does.
    pub earlier_active: Duration,
}

/// An ownership of a shard that has ended, with what its successor needn't wait for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedOwnership {
    pub name: String,
    /// Fencing token of the ownership.
    pub fence: u64,
    /// How long an owner before that one may still extend leases; zero if none does.
    pub earlier_active: Duration,
    /// Leases that it and the owners before it have extended.
    pub leases: RemainingLeases,
}

impl EndedOwnership {
    /// Returns the ownership as seen after `passed`.
    pub fn aged(&self, passed: Duration) -> Self {
        let earlier_active = self.earlier_active.saturating_sub(passed);
        Self { earlier_active, leases: self.leases.aged(passed), ..self.clone() }
    }
}

/// State of a shard as reported by its owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardReport {
    pub name: String,
    pub fence: u64,
    /// How long an owner before this one may still extend leases; zero if none does.
    pub earlier_active: Duration,
    pub summary: Arc<Summary>,
    /// Recently accepted jobs.
    pub accepted: Vec<JobId>,
    /// What the shard has learned itself; empty if this hello doesn't include it.
    pub learned: Learned,
    /// How long VMs that the store lists as unresponsive may keep their runs.
    pub lapses: Vec<ReportedLapse>,
}
