//! The duty that talks to the other daemons, over `tarpc`.
//!
//! It probes the listed daemons, carries the messages between the cores, and hands the accepted
//! configuration to a daemon that cannot reach the key-value service.

use crate::core::event::Answer;
use crate::ids::{DaemonId, IdempotencyKey, PartitionId, Revision, TaskId};
use crate::peer::{Member, PeerMsg};
use crate::task::{TaskSpec, TaskState};
use serde::{Deserialize, Serialize};

/// Largest message between daemons, in bytes.
const MAX_FRAME_BYTES: usize = 4 << 20;

/// What daemons ask of each other.
#[tarpc::service]
pub trait PeerRpc {
    /// Exchanges signs of life.
    async fn exchange(from: Member) -> Member;

    /// Hands messages to the core.
    async fn deliver(from: Member, msgs: Vec<PeerMsg>) -> Member;

    /// The configuration in force, if newer than `than`; a snapshot as JSON.
    async fn snapshot(than: Revision) -> Option<Vec<u8>>;

    /// Passes an operator's or caller's call to the daemon that writes the task's partition.
    async fn forward(call: Call) -> Reply;
}

/// A call about a task, made to the writer of its partition.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Call {
    Submit { partition: PartitionId, key: IdempotencyKey, spec: TaskSpec },
    Cancel { task: TaskId },
    Show { task: TaskId },
}

/// The answer to a [`Call`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    Answer(Answer),
    Task(Box<Shown>),
    /// The daemon asked does not write the partition.
    NotWriter { writer: Option<DaemonId> },
}

/// A task with what it waits for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Shown {
    pub task: TaskState,
    pub waiting_for: Option<String>,
}
