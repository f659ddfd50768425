//! Input events and output actions of the core.

use crate::core::policy::DecisionRecord;
use crate::ids::{
    Attempt, CheckpointId, DaemonId, IdempotencyKey, PartitionId, TaskId, Ticket, Token, VmId,
};
use crate::model::Config;
use crate::peer::{Member, PeerMsg};
use crate::task::{Record, TaskSpec, TaskState};
use crate::worker;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// An input of the core.
#[derive(Clone, Debug)]
pub enum Event {
    /// Advances time; sent several times a second.
    Tick,
    /// A configuration took effect on this daemon.
    Configured(Arc<Config>),
    /// The platform's list of workers, which may be out of date.
    Listed(Vec<ListedVm>),
    /// The daemons that are reachable, including this one.
    Members(Vec<Member>),
    /// Response to [`Action::Acquire`]; `sent` is a time before the call was sent.
    Acquired { vm: VmId, sent: Duration, result: worker::Result<worker::Granted> },
    /// Response to [`Action::Sync`].
    Synced { vm: VmId, sent: Duration, result: worker::Result<worker::SyncResp> },
    /// Response to [`Action::Start`].
    StartAnswered { vm: VmId, task: TaskId, attempt: Attempt, result: worker::Result<()> },
    /// Response to [`Action::Close`].
    CloseAnswered {
        vm: VmId,
        task: TaskId,
        attempt: Attempt,
        result: worker::Result<worker::Closed>,
    },
    /// Response to [`Action::Checkpoint`].
    CheckpointAnswered {
        vm: VmId,
        task: TaskId,
        attempt: Attempt,
        result: worker::Result<CheckpointId>,
    },
    /// State of a partition that this daemon now writes, rebuilt from its log.
    Recovered { partition: PartitionId, tasks: Vec<TaskState>, next_number: u64 },
    /// Another daemon became the partition's writer; its tasks are dropped here.
    Superseded { partition: PartitionId },
    /// Response to [`Action::Commit`].
    Committed { ticket: Ticket, result: CommitResult },
    /// A message from the core of a daemon, which may be this one.
    Peer { from: DaemonId, msg: PeerMsg },
    /// A caller submits a task to a partition that this daemon writes.
    Submit { ticket: Ticket, partition: PartitionId, key: IdempotencyKey, spec: TaskSpec },
    /// A caller cancels a task.
    Cancel { ticket: Ticket, task: TaskId },
    /// The daemon is shutting down: accept no new work and release the VMs.
    Drain,
}

/// A worker on the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedVm {
    pub vm: VmId,
    pub domain: crate::ids::DomainId,
    pub state: ListedState,
}

/// State of a VM on the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    Live,
    Leaving,
}

/// Outcome of a commit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitResult {
    /// Every record is durable.
    Durable,
    /// No record was written, and none will be.
    NotWritten { reason: String },
}

/// An output of the core.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Requests a VM's control lease.
    Acquire { vm: VmId, ttl: Duration },
    /// Renews a VM's leases and fetches its changes.
    Sync { vm: VmId, token: Token, ttl: Duration, forget: Vec<worker::TaskAttempt> },
    /// Releases a VM's control lease.
    Release { vm: VmId, token: Token },
    /// Starts an attempt. Must not be sent at or after `valid_until`.
    Start { vm: VmId, req: worker::StartReq, valid_until: Duration },
    /// Throttles a task. Must not be sent at or after `valid_until`.
    Throttle { vm: VmId, req: worker::ThrottleReq, valid_until: Duration },
    /// Takes a checkpoint. Must not be sent at or after `valid_until`.
    Checkpoint { vm: VmId, req: worker::AttemptReq, valid_until: Duration },
    /// Closes an attempt. Must not be sent at or after `valid_until`.
    Close { vm: VmId, req: worker::AttemptReq, valid_until: Duration },
    /// Writes records to one partition's log, in order.
    Commit { ticket: Ticket, partition: PartitionId, records: Vec<Record> },
    /// Becomes the writer of a partition.
    Recover { partition: PartitionId },
    /// Sends a message to a daemon, which may be this one.
    Send { to: DaemonId, msg: PeerMsg },
    /// Replies to a caller.
    Reply { ticket: Ticket, answer: Answer },
    /// Records a decision.
    Explain(DecisionRecord),
}

/// The reply to a submission or a cancellation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// The task is durable; `repeated` if its idempotency key was already known.
    Accepted { task: TaskId, repeated: bool },
    /// Nothing was recorded, and nothing will run.
    NotRun { reason: String },
    /// The task will be ended, or has already ended.
    Cancelling { task: TaskState },
    /// The partition has no such task.
    NotFound,
}
