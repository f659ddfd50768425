//! Durable progress of a job.
//!
//! Each job has one record, which is rewritten whenever a change has to be durable before it takes
//! effect: a binding before the run starts, an end before the VM may discard it, a cancellation
//! before it is acknowledged. Bindings refer to VMs by their index in a table at the head of the
//! record, so that a binding takes two or three bytes.

#[cfg(test)]
mod tests;

use super::{Checkpoint, JobId, JobState, RunNumber, TaskRef};
use crate::ids::VmId;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Result of decoding a record.
pub type Result<T> = std::result::Result<T, Error>;

/// Error for a record that can't be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "a record in the store can't be decoded ({0}); it may have been written by a later release"
)]
pub struct Error(String);

/// Durable progress of one job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    pub state: JobState,
    /// Shard that lent tasks of the job to this one; `None` in the shard that accepted it.
    pub lender: Option<String>,
    /// VMs that bindings refer to by index.
    pub vms: Vec<BoundVm>,
    /// Shards that loans refer to by index.
    pub shards: Vec<String>,
    /// Number of occurrences started so far.
    pub started_occurrences: u32,
    /// Occurrences that have started and not ended.
    pub open_occurrences: Vec<OccurrenceProgress>,
    /// Tasks that VMs crashed under. Encoded after the rest of the record, and only if not empty,
    /// so that releases without this field can still decode the record.
    #[serde(skip)]
    pub crashes: Vec<CrashRow>,
}

/// VM crashes under one task, as stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRow {
    occurrence: u32,
    step: u16,
    index: u32,
    pub crashes: Crashes,
}

/// Numbers of VM crashes under a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crashes {
    /// Crashes while the VM had a run of the task.
    pub all: u8,
    /// Those of them that happened right after the run started.
    pub sudden: u8,
}

impl CrashRow {
    /// Creates the row of a task.
    pub fn new(task: TaskRef, crashes: Crashes) -> Self {
        let TaskRef { occurrence, step, index, .. } = task;
        Self { occurrence, step, index, crashes }
    }

    /// The task that the row belongs to.
    pub fn task(&self, job: JobId) -> TaskRef {
        TaskRef { job, occurrence: self.occurrence, step: self.step, index: self.index }
    }
}

impl Progress {
    /// Encodes a record.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = encode(self);
        if !self.crashes.is_empty() {
            bytes.extend(encode(&self.crashes));
        }
        bytes
    }

    /// Decodes a record, including one written by an earlier release.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let (mut progress, rest): (Self, &[u8]) = decode_prefix(bytes)?;
        if !rest.is_empty() {
            progress.crashes = decode(rest)?;
        }
        Ok(progress)
    }
}

/// Progress of one occurrence.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OccurrenceProgress {
    pub number: u32,
    /// Progress of the tasks in each step.
    pub steps: Vec<Vec<TaskProgress>>,
}

/// Progress of one task.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TaskProgress {
    pub state: TaskPhase,
    /// Number of the last run.
    pub last_run: RunNumber,
    /// Number of failed runs.
    pub failed: u32,
    pub checkpoint: Option<Checkpoint>,
    /// Runs that may have started and are not known to have ended.
    pub bound: Vec<Binding>,
    /// Loan to the shard that runs the task in place of this one.
    pub lent: Option<LentTo>,
    /// Number of the loan that brought the task to this shard; zero in the shard that accepted the
    /// job.
    pub loan: u64,
}

/// State of a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskPhase {
    #[default]
    Open,
    Succeeded,
    /// The task was lent to this shard and has exhausted its attempts.
    Failed,
    /// The task was lent to this shard and is returned without having succeeded.
    GivenBack,
    /// The task is not in this shard; only other tasks of its job are lent to it.
    Elsewhere,
}

/// A loan, as recorded by the lending shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LentTo {
    /// Index in [`Progress::shards`].
    pub shard: u16,
    /// Number of the loan, increased by each loan of a shard.
    pub loan: u64,
}

/// A VM that tasks are bound to. The address is stored because the VM may no longer be listed when
/// the next owner takes over: if another instance answers there, this one has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoundVm {
    pub id: VmId,
    pub addr: Arc<str>,
}

/// Assignment of a run to a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Binding {
    /// Index in [`Progress::vms`].
    pub vm: u16,
    pub run: RunNumber,
}

/// Encodes a record.
pub fn encode<T: Serialize>(record: &T) -> Vec<u8> {
    postcard::to_allocvec(record).expect("records contain only encodable types")
}

/// Decodes the record that `bytes` begin with, and returns the rest as well.
pub fn decode_prefix<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<(T, &'a [u8])> {
    postcard::take_from_bytes(bytes).map_err(|e| Error(e.to_string()))
}

/// Decodes a record.
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T> {
    postcard::from_bytes(bytes).map_err(|e| Error(e.to_string()))
}
