//! What a shard is told, and what it asks for.

use crate::ids::{RackId, ServiceName, Ticket, VmId};
use crate::job::{Image, Job, JobId, Label, QueueName, RunNumber, ShownState, StepRef, TaskRef};
use crate::kv::Txn;
use crate::note::Note;
use crate::permit::{self, PermitReq, PermitResp};
use crate::queues::Queues;
use crate::shard::interference::Learned;
use crate::shard::loan::LoanMsg;
use crate::units::Resources;
use crate::vm::{
    self, Fence, LookReq, LookResp, PaceReq, RunReq, StartReq, VmAddr, VmEntry, VmTime,
};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// The present time, on both clocks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Now {
    /// Never goes back; counts suspension.
    pub steady: Duration,
    /// Time of day, since 1970; may jump.
    pub wall: Duration,
}

/// What a shard is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passes.
    Tick,
    /// The queues in force.
    Queues(Arc<Queues>),
    /// All VMs of the shard that the platform announces, and whether a missing one is telling.
    Fleet { vms: Vec<VmEntry>, announcements: Announcements },
    /// Answer to [`Action::Look`].
    Looked { vm: VmId, sent: Duration, result: vm::Result<LookResp> },
    /// Answer to [`Action::Start`].
    Started { vm: VmId, task: TaskRef, run: RunNumber, result: vm::Result<VmTime> },
    /// Answer to [`Action::Stop`].
    Stopped { vm: VmId, task: TaskRef, run: RunNumber, result: vm::Result<VmTime> },
    /// Answer to [`Action::Pace`].
    Paced { vm: VmId, task: TaskRef, run: RunNumber, percent: u8, result: vm::Result<VmTime> },
    /// Answer to [`Action::Ask`].
    Permitted { step: StepRef, vms: Vec<VmId>, sent: Duration, result: permit::Result<PermitResp> },
    /// Answer to [`Action::Commit`].
    Committed { seq: u64, result: CommitResult },
    /// A caller hands in a job.
    Submit { ticket: Ticket, job: Arc<Job>, urge: Urge },
    /// A caller gives a job up.
    Cancel { ticket: Ticket, job: JobId },
    /// A caller asks for a job's state.
    Show { ticket: Ticket, job: JobId },
    /// What another shard has learned of how images disturb each other.
    Learned { from: String, learned: Vec<Learned> },
    /// Other shards, as they were last heard of.
    Neighbours(Vec<Neighbour>),
    /// VMs that are to be empty, and those whose turn comes later.
    Vacate(VacateOrder),
    /// Questions about permits that may be under way at a time.
    Askers(u32),
    /// Another shard's owner says something about a loan.
    Message { from: Arc<str>, to: Fence, msg: LoanMsg },
    /// The owner stops as planned: begin nothing more, and finish what is being committed.
    HandOver,
}

/// VMs whose machines go down for upkeep.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VacateOrder {
    /// To be empty as soon as can be.
    pub vms: Vec<VmId>,
    /// Their turn comes after.
    pub later: Vec<VmId>,
    /// Time that work which can't be resumed is left to end by itself.
    pub patience: Duration,
}

/// Whether a job is taken though it would be better off elsewhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Urge {
    /// Refuse it if the shard has little room for it.
    IfRoom,
    Always,
}

/// Whether the platform's announcements are complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Announcements {
    Complete,
    /// The store was away a moment ago; VMs that lapsed meanwhile are announced again.
    Recovering,
    /// They could not be read; those known before are given again.
    Unread,
}

/// How a commit ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitResult {
    Durable,
    /// Another daemon owns the shard; whether this commit came before that.
    Superseded(Landed),
    /// These jobs are known already, in this shard or another; nothing was written.
    JobExists(Vec<JobId>),
}

/// Whether a write took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Landed {
    Yes,
    No,
    Unknown,
}

/// What a shard asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Look {
        vm: VmAddr,
        req: LookReq,
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
    /// Asks on which VMs a step may run.
    Ask(PermitReq),
    /// Makes changes durable; at most one is under way.
    Commit {
        seq: u64,
        txn: Txn,
    },
    /// Tells another shard's owner something about a loan; lost if it isn't there any more.
    Tell {
        to: Arc<str>,
        fence: Fence,
        msg: LoanMsg,
    },
    /// Answers a caller.
    Reply {
        ticket: Ticket,
        answer: Answer,
    },
    /// A line for the log.
    Note(Note),
    /// A higher fencing token was seen; the shard's owner has to be looked up.
    Fenced,
    /// Nothing is under way any more; the shard can be given away.
    HandedOver,
}

/// The answer to a caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The job is durable.
    Accepted,
    /// The job is durable in another shard, which accepted it before.
    AcceptedElsewhere,
    /// Nothing was recorded and nothing will run.
    NotRun { reason: String, retry_after: Duration },
    /// The job can never run, and wasn't accepted.
    Impossible { reason: String },
    /// What becomes of the call isn't known; it can be made again with the same id.
    Unknown { reason: String },
    /// The job's state.
    Shown(ShownState),
    /// The cancellation is durable.
    Cancelling,
    /// The job isn't in this shard.
    NotHere,
}

/// Another shard, as it was last heard of.
#[derive(Clone, Debug)]
pub struct Neighbour {
    pub name: Arc<str>,
    /// Token of its owner.
    pub fence: Fence,
    pub summary: Arc<Summary>,
}

/// Room on one VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FreeRoom {
    pub free: Resources,
    pub rack: RackId,
    pub labels: Vec<Label>,
    pub service: ServiceName,
}

/// What others are told of a shard.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Processors that can be reserved, in thousandths of a core, on VMs that take work.
    pub capacity: u64,
    /// Of these, not reserved.
    pub free: u64,
    /// Of these, reserved or waited for by lasting tasks.
    pub lasting: u64,
    /// Processors that leftover work gets, in thousandths of a core.
    pub leftover: u64,
    /// Of these, what leftover work of an image gets without harm to those served beside it.
    pub harmless: Vec<(Image, u64)>,
    /// The same of what nothing uses yet.
    pub harmless_free: Vec<(Image, u64)>,
    /// Leftover work that is left, in milliseconds times thousandths of a core.
    pub leftover_work: u64,
    /// Reserved work that waits, in milliseconds times thousandths of a core.
    pub waiting_work: u64,
    /// Jobs that no task of has started, by queue.
    pub queued: Vec<(QueueName, u32)>,
    /// Room that is free on the VMs that take work.
    pub rooms: Vec<FreeRoom>,
    /// VMs that take work.
    pub vms: u32,
}
