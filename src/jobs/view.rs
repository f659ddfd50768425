//! What callers' calls need to know, as control last published it.

use super::confirmed::Confirmed;
use crate::cluster::Member;
use crate::job::JobId;
use crate::job::check::Shapes;
use crate::queues::Queues;
use crate::shard::Summary;
use indexmap::IndexMap;
use std::sync::Arc;
use std::time::Duration;

/// A snapshot of who owns what.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The configuration in force; `None` until one was read from the store.
    pub queues: Option<Arc<Queues>>,
    /// When it was last confirmed.
    pub confirmed: Confirmed,
    pub shards: IndexMap<String, ShardView>,
    pub readiness: Readiness,
    /// What VMs can carry.
    pub shapes: Arc<Shapes>,
}

/// A shard as last heard of.
#[derive(Clone, Debug)]
pub struct ShardView {
    /// The owner, if it is heard.
    pub owner: Option<Owner>,
    pub summary: Arc<Summary>,
    /// When the summary was made.
    pub at: Duration,
}

/// Who owns a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Owner {
    Here,
    Other(Member),
}

/// Whether callers are to be sent here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    Ready,
    Not { reason: &'static str },
}

impl Default for Readiness {
    fn default() -> Self {
        Self::Not { reason: "starting" }
    }
}

/// Which shard a job is in, as far as this daemon knows.
///
/// Bounded: a job that was forgotten is looked up in the store.
#[derive(Debug, Default)]
pub struct Directory {
    shards: IndexMap<JobId, Arc<str>>,
}

/// Jobs remembered: two minutes' worth at 35 jobs a second.
const MAX_JOBS: usize = 4096;

impl Directory {
    /// Notes a job's shard.
    pub fn add(&mut self, job: JobId, shard: &Arc<str>) {
        self.shards.insert(job, shard.clone());
        if self.shards.len() > MAX_JOBS {
            self.shards.shift_remove_index(0);
        }
    }

    /// The shard of a job.
    pub fn find(&self, job: JobId) -> Option<Arc<str>> {
        self.shards.get(&job).cloned()
    }
}
