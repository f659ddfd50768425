//! Daemons, and what they tell each other.

use crate::ids::{DaemonId, DomainId};
use crate::job::JobId;
use crate::shard::interference::PairEstimate;
use crate::shard::{ReportedLapse, Summary};
use serde::{Deserialize, Serialize};

/// A daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// One run of the daemon: its name and its start.
    pub id: DaemonId,
    /// The same after a restart.
    pub name: String,
    pub domain: DomainId,
    /// Where other daemons connect, `ip:port`.
    pub addr: String,
    pub stage: MemberStage,
    /// Processors that it may use, in thousandths of a core.
    pub power: u32,
}

/// Whether a daemon takes anything on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberStage {
    Serving,
    /// It stops as planned.
    Draining,
}

/// Whether the store answers a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreReach {
    Reached,
    Away,
}

/// What a daemon tells the others several times a second.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    pub from: Member,
    pub store: StoreReach,
    /// Version of the configuration in force there.
    pub config: u64,
    /// Shards owned there.
    pub shards: Vec<ShardNews>,
}

impl Hello {
    /// The same for a daemon that owns no shard: which VMs have room matters to lenders only, and
    /// is most of a hello.
    pub fn brief(&self) -> Self {
        let mut brief = self.clone();
        for news in &mut brief.shards {
            news.summary.rooms.clear();
            news.summary.harmless_free.clear();
        }
        brief
    }
}

/// An owner's news of a shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardNews {
    pub name: String,
    pub fence: u64,
    pub summary: Summary,
    /// Jobs accepted lately.
    pub accepted: Vec<JobId>,
    /// What it has learned of how images disturb each other; empty if it tells that another time.
    pub learned: Vec<PairEstimate>,
    /// How long VMs that the store has as silent may keep their work running.
    pub lapses: Vec<ReportedLapse>,
}
