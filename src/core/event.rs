//! What the core is told, and what it asks for.

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

/// What the core is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passes; sent several times a second.
    Tick,
    /// A configuration is in force here.
    Configured(Arc<Config>),
    /// The platform's list of workers, which lags.
    Listed(Vec<ListedVm>),
    /// The daemons that answer, this one included.
    Members(Vec<Member>),
    /// Answer to [`Action::Acquire`]; `sent` is the time before the call was sent.
    Acquired { vm: VmId, sent: Duration, result: worker::Result<worker::Granted> },
    /// Answer to [`Action::Sync`].
    Synced { vm: VmId, sent: Duration, result: worker::Result<worker::SyncResp> },
    /// Answer to [`Action::Start`].
    StartAnswered { vm: VmId, task: TaskId, attempt: Attempt, result: worker::Result<()> },
    /// Answer to [`Action::Close`].
    CloseAnswered {
        vm: VmId,
        task: TaskId,
        attempt: Attempt,
        result: worker::Result<worker::Closed>,
    },
    /// Answer to [`Action::Checkpoint`].
    CheckpointAnswered {
        vm: VmId,
        task: TaskId,
        attempt: Attempt,
        result: worker::Result<CheckpointId>,
    },
    /// A partition that this daemon now writes, as its log leaves it.
    Recovered { partition: PartitionId, tasks: Vec<TaskState>, next_number: u64 },
    /// Another daemon writes the partition; its tasks are forgotten here.
    Superseded { partition: PartitionId },
    /// Answer to [`Action::Commit`].
    Committed { ticket: Ticket, result: CommitResult },
    /// A message from another daemon's core, or from this one's own to itself.
    Peer { from: DaemonId, msg: PeerMsg },
    /// A caller submits a task to a partition that this daemon writes.
    Submit { ticket: Ticket, partition: PartitionId, key: IdempotencyKey, spec: TaskSpec },
    /// A caller asks for a task's end.
    Cancel { ticket: Ticket, task: TaskId },
    /// The daemon stops: take nothing new, give the VMs back.
    Drain,
}

/// A worker on the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedVm {
    pub vm: VmId,
    pub domain: crate::ids::DomainId,
    pub state: ListedState,
}

/// What the platform's list says of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    Live,
    Leaving,
}

/// How a commit ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitResult {
    /// Every record is durable.
    Durable,
    /// No record took effect, and none will.
    NotWritten { reason: String },
}

/// What the core asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Asks a VM for its control lease.
    Acquire { vm: VmId, ttl: Duration },
    /// Renews a VM's leases and fetches its news.
    Sync { vm: VmId, token: Token, ttl: Duration, forget: Vec<worker::TaskAttempt> },
    /// Gives a VM's control lease back.
    Release { vm: VmId, token: Token },
    /// Starts an attempt. Not to be sent after `valid_until`.
    Start { vm: VmId, req: worker::StartReq, valid_until: Duration },
    /// Throttles a task. Not to be sent after `valid_until`.
    Throttle { vm: VmId, req: worker::ThrottleReq, valid_until: Duration },
    /// Takes a checkpoint.
    Checkpoint { vm: VmId, req: worker::AttemptReq, valid_until: Duration },
    /// Closes an attempt. Not to be sent after `valid_until`.
    Close { vm: VmId, req: worker::AttemptReq, valid_until: Duration },
    /// Makes records of one partition durable, in order.
    Commit { ticket: Ticket, partition: PartitionId, records: Vec<Record> },
    /// Becomes the writer of a partition.
    Recover { partition: PartitionId },
    /// Sends a message to a daemon; to itself where `to` is this daemon.
    Send { to: DaemonId, msg: PeerMsg },
    /// Answers a caller.
    Reply { ticket: Ticket, answer: Answer },
    /// Keeps the record of a decision.
    Explain(DecisionRecord),
}

/// The answer to a submission or a cancellation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// The task is durable; `repeated` if the key was known already.
    Accepted { task: TaskId, repeated: bool },
    /// Nothing was recorded and nothing will run.
    NotRun { reason: String },
    /// The task will be ended, or had ended already.
    Cancelling { task: TaskState },
    /// There is no such task in the partition.
    NotFound,
}
