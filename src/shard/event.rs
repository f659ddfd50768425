//! Input events and output actions of a shard.

use crate::evacuation::Evacuations;
use crate::ids::{RackId, ServiceName, Ticket, VmId};
use crate::job::{Image, Job, JobId, JobState, Label, QueueName, RunNumber, StepRef, TaskRef};
use crate::kv::Txn;
use crate::note::{Note, StaticText};
use crate::permit::{self, PermitReq, PermitResp};
use crate::queues::Queues;
use crate::shard::PreviousOwnerEnd;
use crate::shard::learned::ShardLearned;
use crate::shard::loan::LoanMsg;
use crate::units::Resources;
use crate::vm::{
    self, Departure, Fence, PaceReq, PollReq, PollResp, RunReq, StartReq, VmAddr, VmEntry, VmTime,
};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// The current time on the monotonic and the wall clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Now {
    /// Monotonic time, including time the machine was suspended.
    pub steady: Duration,
    /// Wall-clock time since the Unix epoch; may jump.
    pub wall: Duration,
}

/// An input to a shard.
#[derive(Clone, Debug)]
pub enum Event {
    /// Periodic timer.
    Tick,
    /// The current queue configuration.
    Queues(Arc<Queues>),
    /// All VMs of the shard that the platform lists, whether a VM's absence from the list is
    /// meaningful, and when the list was requested; `None` if its age is unknown.
    Fleet { vms: Vec<VmEntry>, list_status: FleetListStatus, at: Option<Duration> },
    /// VMs that have left after announcing it, of this shard or of others.
    Departed(Vec<Departure>),
    /// Response to [`Action::Poll`].
    Polled { vm: VmId, sent: Duration, result: vm::Result<PollResp> },
    /// Response to [`Action::Start`].
    Started { vm: VmId, task: TaskRef, run: RunNumber, result: vm::Result<VmTime> },
    /// Response to [`Action::Stop`].
    Stopped { vm: VmId, task: TaskRef, run: RunNumber, result: vm::Result<VmTime> },
    /// Response to [`Action::Pace`].
    Paced { vm: VmId, task: TaskRef, run: RunNumber, percent: u8, result: vm::Result<VmTime> },
    /// Response to [`Action::RequestPermits`].
    Permitted { step: StepRef, vms: Vec<VmId>, sent: Duration, result: permit::Result<PermitResp> },
    /// Result of [`Action::Commit`].
    Committed { seq: u64, result: CommitResult },
    /// A caller submits a job.
    Submit { ticket: Ticket, job: Arc<Job>, mode: AdmissionMode },
    /// A caller cancels a job.
    Cancel { ticket: Ticket, job: JobId },
    /// A caller queries a job's state.
    Show { ticket: Ticket, job: JobId },
    /// What other shards have learned themselves.
    Learned(Arc<Vec<ShardLearned>>),
    /// Last known state of the other shards.
    OtherShards(Vec<OtherShard>),
    /// VMs to drain now, and VMs to drain later.
    Drain(DrainOrder),
    /// Failure domains whose evacuation is ordered, as of some time after `at`.
    Evacuations { evacuations: Arc<Evacuations>, at: Duration },
    /// Maximum number of concurrent permit requests.
    PermitConcurrency(u32),
    /// A message about a loan from another shard's owner.
    Message { from: Arc<str>, to: Fence, msg: LoanMsg },
    /// The previous owner, which might have been active at the takeover, has ended.
    PreviousOwnerEnded(PreviousOwnerEnd),
    /// Planned shutdown of the owner: start nothing new, and wait for the pending commit.
    HandOver,
}

impl Event {
    /// Whether this is a VM's answer to a call.
    pub fn is_answer(&self) -> bool {
        matches!(
            self,
            Self::Polled { .. } | Self::Started { .. } | Self::Stopped { .. } | Self::Paced { .. }
        )
    }

    /// Identifies the caller that waits for a reply to this event.
    pub fn ticket(&self) -> Option<Ticket> {
        match self {
            Self::Submit { ticket, .. }
            | Self::Cancel { ticket, .. }
            | Self::Show { ticket, .. } => Some(*ticket),
            _ => None,
        }
    }
}

/// VMs to drain because their machines go down for upkeep, by their registered ids.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DrainOrder {
    /// VMs to drain immediately.
    pub vms: Vec<VmId>,
    /// VMs to drain in a later wave.
    pub upcoming: Vec<VmId>,
    /// How long tasks that can't be resumed may run on before they are stopped.
    pub finish_timeout: Duration,
}

/// Whether to accept a job even if other shards have more room for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdmissionMode {
    /// Refuse the job if the shard has little room for it.
    IfRoom,
    Always,
}

/// Completeness of the platform's list of VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetListStatus {
    Complete,
    /// The store has just recovered from an outage; VMs whose registrations expired during it are
    /// being listed again.
    Recovering,
    /// The list could not be read; the previous list is repeated.
    Unread,
}

impl FleetListStatus {
    /// Name of the status in log lines.
    pub fn name(self) -> StaticText {
        match self {
            Self::Complete => "complete",
            Self::Recovering => "recovering",
            Self::Unread => "unread",
        }
    }
}

/// Result of a commit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitResult {
    Durable,
    /// Another daemon owns the shard; the value tells whether this commit was applied before that.
    Superseded(WriteOutcome),
    /// These jobs already exist, in this shard or another; nothing was written.
    JobExists(Vec<JobId>),
    /// The store doesn't take the commit as it is; nothing was written.
    Rejected {
        reason: String,
    },
}

/// Whether a write was applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    Yes,
    No,
    Unknown,
}

/// An output of a shard, to be carried out by its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Poll {
        vm: VmAddr,
        req: PollReq,
    },
    Start {
        vm: VmAddr,
        req: StartReq,
    },
    Stop {
        vm: VmAddr,
        req: RunReq,
    },
    Pace {
        vm: VmAddr,
        req: PaceReq,
    },
    /// Requests permits for the VMs a step may run on.
    RequestPermits(PermitReq),
    /// Makes changes durable; at most one commit is in flight.
    Commit {
        seq: u64,
        /// How long an earlier owner may still extend leases.
        earlier_active: Duration,
        txn: Txn,
    },
    /// Sends a message about a loan to another shard's owner; dropped if that owner was replaced.
    SendLoanMessage {
        to: Arc<str>,
        fence: Fence,
        msg: LoanMsg,
    },
    /// Replies to a caller.
    Reply {
        ticket: Ticket,
        answer: Answer,
    },
    /// A log entry.
    Note(Note),
    /// A higher fencing token was seen, so the current owner of the shard must be looked up.
    Fenced,
    /// Nothing is in flight any more; ownership of the shard can be transferred.
    HandedOver,
}

/// A reply to a caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The job is durable.
    Accepted,
    /// The job is durable in another shard, which accepted it earlier.
    AcceptedElsewhere,
    /// Nothing was recorded and nothing will run.
    NotRun { reason: String, retry_after: Duration },
    /// The job can never run and was rejected.
    Impossible { reason: String },
    /// The outcome of the call is unknown; it can be retried with the same id.
    Unknown { reason: String },
    /// The job's state.
    Shown(JobState),
    /// The cancellation is durable.
    Cancelling,
    /// The job isn't in this shard.
    NotHere,
    /// Nothing was recorded and nothing will run: no known shard can do the job while its result is
    /// of use.
    OfNoUse { reason: String, retry_after: Duration },
}

/// Last known state of another shard.
#[derive(Clone, Debug)]
pub struct OtherShard {
    pub name: Arc<str>,
    /// Fencing token of its owner.
    pub fence: Fence,
    pub summary: Arc<Summary>,
}

/// Free resources on one VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FreeRoom {
    pub free: Resources,
    pub rack: RackId,
    pub labels: Vec<Label>,
    pub service: ServiceName,
}

/// Summary of a shard's capacity and load, published to other shards.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// CPU that can be reserved on VMs that accept tasks, in millicores.
    pub capacity: u64,
    /// Unreserved part of `capacity`.
    pub free: u64,
    /// Part of `capacity` that long-running tasks reserve or wait for.
    pub lasting: u64,
    /// CPU available to best-effort tasks, in millicores.
    pub leftover: u64,
    /// Part of `leftover` that best-effort tasks of each image can use without slowing the serving
    /// tasks on the same VM.
    pub harmless: Vec<(Image, u64)>,
    /// The part of `harmless` that is still unused.
    pub harmless_free: Vec<(Image, u64)>,
    /// Remaining best-effort work, in milliseconds times millicores.
    pub leftover_work: u64,
    /// Waiting work on reserved CPU, in milliseconds times millicores.
    pub waiting_work: u64,
    /// Number of jobs without any started task, by queue.
    pub queued: Vec<(QueueName, u32)>,
    /// Free resources on each VM that accepts tasks.
    pub rooms: Vec<FreeRoom>,
    /// Number of VMs that accept tasks.
    pub vms: u32,
}
