//! How far a job has come, as the store keeps it.
//!
//! One record a job, rewritten whenever something about it has to be durable before it takes
//! effect: a binding before the start, an end before the VM may forget it, a cancellation before
//! it is acknowledged. VMs stand in a table at its head, so that a binding takes two or three
//! bytes.

use super::{Checkpoint, RunNumber, ShownState};
use crate::ids::VmId;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Result of reading a record.
pub type Result<T> = std::result::Result<T, Error>;

/// A record that can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a record in the store can't be read ({0}); it was written by a later release")]
pub struct Error(String);

/// Durable progress of one job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    pub state: ShownState,
    /// Shard that lent tasks of the job to this one; `None` in the shard that accepted it.
    pub home: Option<String>,
    /// VMs that bindings name, by their place in this table.
    pub vms: Vec<BoundVm>,
    /// Shards that tasks are lent to, by their place in this table.
    pub shards: Vec<String>,
    /// Occurrences begun so far.
    pub begun: u32,
    /// Occurrences that were begun and haven't ended.
    pub open: Vec<OccurrenceProgress>,
}

/// Progress of one occurrence.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OccurrenceProgress {
    pub number: u32,
    /// Tasks of each step.
    pub steps: Vec<Vec<TaskProgress>>,
}

/// Progress of one task.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TaskProgress {
    pub state: TaskPhase,
    /// Number of the last start.
    pub last_run: RunNumber,
    /// Runs that failed.
    pub failed: u32,
    pub checkpoint: Option<Checkpoint>,
    /// Runs that may have started and aren't known to have ended.
    pub bound: Vec<Binding>,
    /// Shard that runs it in place of this one.
    pub lent: Option<LentTo>,
    /// Number of the loan by which it is here; zero in the shard that accepted the job.
    pub loan: u64,
}

/// What has become of a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskPhase {
    #[default]
    Open,
    Succeeded,
    /// Lent here: it used up its attempts.
    Failed,
    /// Lent here: it is given back without having succeeded.
    GivenBack,
    /// Of a job of which other tasks are lent here.
    Elsewhere,
}

/// A loan as the lending shard keeps it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LentTo {
    /// Place in the record's table of shards.
    pub shard: u16,
    /// Number of the loan; rises with each of a shard.
    pub loan: u64,
}

/// A VM that a task is bound to. Its address is kept since the VM may not be announced any more
/// when the next owner takes over: another life there proves that this one has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoundVm {
    pub id: VmId,
    pub addr: Arc<str>,
}

/// One run's VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Binding {
    /// Place in the record's table of VMs.
    pub vm: u16,
    pub run: RunNumber,
}

/// Encodes a record.
pub fn encode<T: Serialize>(record: &T) -> Vec<u8> {
    postcard::to_allocvec(record).expect("records hold nothing that can't be encoded")
}

/// Decodes a record.
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T> {
    postcard::from_bytes(bytes).map_err(|e| Error(e.to_string()))
}
