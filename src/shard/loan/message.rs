//! Messages about loans between the owners of two shards.

use crate::job::progress::Crashes;
use crate::job::{Checkpoint, Job, JobId, RunNumber, TaskRef};
use crate::note::StaticText;
use crate::vm::Fence;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Messages between shard owners about loans.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LoanMsg {
    /// Asks the borrower to run these tasks.
    Lend { job: Arc<Job>, loan: u64, order: LendOrder, tasks: Vec<LentTask> },
    /// Confirms that the tasks are durable at the borrower, and tells whether a task of the job has
    /// started.
    Taken { job: JobId, loan: u64, tasks: Vec<TakenTask>, begun: JobStart },
    /// Returns tasks to the lender with their outcome.
    Return { job: JobId, tasks: Vec<ReturnedTask> },
    /// Confirms that the outcome is durable at the lender. Messages up to `void` no longer lend.
    Settled { job: JobId, tasks: Vec<LoanId>, void: LendOrder },
    /// Cancels the loans. Messages up to `void` no longer lend.
    Recall { job: JobId, tasks: Vec<LoanId>, void: LendOrder },
}

impl LoanMsg {
    /// Returns the job that the message is about.
    pub fn job(&self) -> JobId {
        match self {
            Self::Lend { job, .. } => job.id,
            Self::Taken { job, .. }
            | Self::Return { job, .. }
            | Self::Settled { job, .. }
            | Self::Recall { job, .. } => *job,
        }
    }

    /// Returns the name of the kind of message, as logged.
    pub fn kind(&self) -> StaticText {
        match self {
            Self::Lend { .. } => "lend",
            Self::Taken { .. } => "taken",
            Self::Return { .. } => "return",
            Self::Settled { .. } => "settled",
            Self::Recall { .. } => "recall",
        }
    }
}

/// Order of the [`LoanMsg::Lend`] messages of a shard: by its owner's fencing token, then as the owner
/// composed them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LendOrder {
    pub fence: Fence,
    pub number: u64,
}

/// Whether a task of a job has started at the borrower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobStart {
    No,
    Yes,
}

/// Identifies one loan of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LoanId {
    pub task: TaskRef,
    pub loan: u64,
}

/// State of a task that is sent to the borrower.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LentTask {
    pub task: TaskRef,
    pub last_run: RunNumber,
    pub failed: u32,
    pub checkpoint: Option<Checkpoint>,
    pub crashes: Crashes,
}

/// State of a task that the borrower runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TakenTask {
    pub task: TaskRef,
    pub crashes: Crashes,
}

/// State of a task that is sent back to the lender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReturnedTask {
    pub task: TaskRef,
    pub loan: u64,
    pub result: LoanOutcome,
    pub last_run: RunNumber,
    pub failed: u32,
    pub checkpoint: Option<Checkpoint>,
    pub crashes: Crashes,
}

/// Outcome of a loan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoanOutcome {
    Succeeded,
    /// The task used up its attempts.
    Failed,
    /// The task has not succeeded and does not run at the borrower.
    GivenBack,
}
