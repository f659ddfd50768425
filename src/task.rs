//! Batch tasks and service instances, and the durable records of their life.

use crate::ids::{
    Attempt, BootId, CheckpointId, ClassName, IdempotencyKey, PoolName, TaskId, TeamName, VmId,
};
use crate::model::{Idempotency, Resumption, Urgency};
use crate::units::Resources;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What is to run, fixed when the task is accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskSpec {
    pub class: ClassName,
    pub team: TeamName,
    pub pool: PoolName,
    pub resources: Resources,
    /// Declared run time.
    pub expected: Duration,
    pub idempotency: Idempotency,
    pub resumption: Resumption,
    pub urgency: Urgency,
    pub max_failures: u32,
    /// The caller's argument, passed to the worker unread.
    pub payload: String,
}

/// How a task ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    Succeeded,
    Failed {
        reason: String,
    },
    Cancelled,
    /// A non-idempotent task that may or may not have run; it is not run again.
    Unknown {
        reason: String,
    },
}

/// One durable step in a task's life.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    pub task: TaskId,
    pub change: Change,
}

/// What a record changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    Accepted {
        key: IdempotencyKey,
        spec: TaskSpec,
    },
    /// Intent to run this attempt on this incarnation of this VM and nowhere else; written before
    /// any start.
    Bound {
        vm: VmId,
        boot: BootId,
        attempt: Attempt,
    },
    /// Proof that the attempt runs nowhere, with the checkpoint to resume from.
    Released {
        attempt: Attempt,
        checkpoint: Option<CheckpointId>,
        /// Whether the attempt failed by itself and counts against `max_failures`.
        failed: bool,
    },
    Ended {
        attempt: Attempt,
        outcome: Outcome,
    },
    /// The caller asked for the end; no further attempt is bound.
    CancelAsked,
}

/// A task as its records leave it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskState {
    pub id: TaskId,
    pub key: IdempotencyKey,
    pub spec: TaskSpec,
    pub phase: Phase,
    /// Last attempt that was bound; zero before the first.
    pub attempt: Attempt,
    /// Incarnation of the VM that the last attempt is bound to.
    pub boot: BootId,
    pub checkpoint: Option<CheckpointId>,
    pub failures: u32,
    pub cancel_asked: bool,
}

/// Durable phase of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    Waiting,
    Bound { vm: VmId },
    Ended { outcome: Outcome },
}

impl TaskState {
    /// A task just accepted.
    pub fn new(id: TaskId, key: IdempotencyKey, spec: TaskSpec) -> Self {
        Self {
            id,
            key,
            spec,
            phase: Phase::Waiting,
            attempt: Attempt(0),
            boot: BootId(0),
            checkpoint: None,
            failures: 0,
            cancel_asked: false,
        }
    }

    /// Applies a later record. Records of older attempts have no effect.
    pub fn apply(&mut self, change: &Change) {
        match change {
            Change::Accepted { .. } => {}
            Change::Bound { vm, boot, attempt } if *attempt > self.attempt && !self.ended() => {
                self.attempt = *attempt;
                self.boot = *boot;
                self.phase = Phase::Bound { vm: vm.clone() };
            }
            Change::Released { attempt, checkpoint, failed }
                if *attempt == self.attempt && !self.ended() =>
            {
                self.phase = Phase::Waiting;
                self.failures += u32::from(*failed);
                if checkpoint.is_some() {
                    self.checkpoint = checkpoint.clone();
                }
            }
            Change::Ended { attempt, outcome } if *attempt == self.attempt && !self.ended() => {
                self.phase = Phase::Ended { outcome: outcome.clone() };
            }
            Change::CancelAsked => self.cancel_asked = true,
            Change::Bound { .. } | Change::Released { .. } | Change::Ended { .. } => {}
        }
    }

    /// Whether the task has its outcome.
    pub fn ended(&self) -> bool {
        matches!(self.phase, Phase::Ended { .. })
    }
}
