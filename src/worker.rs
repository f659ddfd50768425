//! The port to a worker VM, and the messages of its interface.
//!
//! A worker keeps a lease table. The control lease is a named lease without size: whoever holds
//! it is the only one that may start tasks there. Every call that has an effect carries the
//! lease's token, and the worker refuses an older one.

pub mod http;

use crate::ids::{
    Attempt, BootId, CheckpointId, ClassName, DaemonId, DomainId, RackId, TaskId, Token, VmId,
};
use crate::task::Outcome;
use crate::units::Resources;
use serde::{Deserialize, Serialize};
use std::future::Future;
use std::time::Duration;

/// Result of a call.
pub type Result<T> = std::result::Result<T, Error>;

/// A failed call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "kebab-case")]
pub enum Error {
    #[error("the control lease is held by {holder} for {remaining_ms} ms more; wait for its end")]
    Held { holder: DaemonId, remaining_ms: u64 },
    #[error("token {given} is older than {current}; give up the VM and acquire it again")]
    Fenced { given: Token, current: Token },
    #[error("the VM refused ({reason}); place the task elsewhere")]
    Refused { reason: String },
    /// The call may or may not have taken effect.
    #[error("no answer from the VM ({reason}); ask it again before acting on a guess")]
    NoAnswer { reason: String },
}

/// A worker as it describes itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VmStatus {
    pub vm: VmId,
    pub domain: DomainId,
    pub rack: RackId,
    pub size: Resources,
    pub boot: BootId,
    /// Every task in the lease table, service instances included.
    pub tasks: Vec<Tenant>,
}

/// A task in a worker's lease table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    pub task: TaskId,
    pub attempt: Attempt,
    pub class: ClassName,
    pub resources: Resources,
    pub kind: TenantKind,
}

/// Who put a task on the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TenantKind {
    Batch,
    /// An endpoint's instance, run by the platform; it only takes up room.
    Service,
}

/// Asks for the control lease, or renews it with the same holder.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AcquireReq {
    pub holder: DaemonId,
    pub ttl: Duration,
}

/// The control lease as granted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Granted {
    pub token: Token,
    pub earlier: Earlier,
    pub status: VmStatus,
}

/// Whether the control lease was granted before, since the VM's boot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Earlier {
    None,
    Some,
}

/// Renews the control lease and all task leases, and fetches news, in one call for each VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SyncReq {
    pub token: Token,
    pub ttl: Duration,
    /// Ends already recorded, which the worker may forget.
    pub forget: Vec<TaskAttempt>,
}

/// One attempt of one task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TaskAttempt {
    pub task: TaskId,
    pub attempt: Attempt,
}

/// News of a VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SyncResp {
    pub boot: BootId,
    pub tasks: Vec<Tenant>,
    /// Ended attempts, repeated until forgotten.
    pub ended: Vec<EndedAttempt>,
    pub report: Option<UsageReport>,
    /// The VM takes no new work.
    pub leaving: bool,
}

/// An attempt that ended by itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndedAttempt {
    pub task: TaskId,
    pub attempt: Attempt,
    pub outcome: Outcome,
}

/// Usage as measured some time ago.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UsageReport {
    pub boot: BootId,
    /// Rises with each report of one boot.
    pub seq: u64,
    /// Time since the measurement was taken.
    pub age: Duration,
    /// Share of the VM's processors in use, 0 to 1.
    pub load: f64,
    /// Who was there when it was measured.
    pub tenants: Vec<TenantUsage>,
}

/// One task's share of a usage report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantUsage {
    pub task: TaskId,
    pub class: ClassName,
    pub milli_cores: u32,
    pub memory_mib: u32,
    /// Measured time per unit of work over that of the task alone; 1 is undisturbed.
    pub slowdown: f64,
    /// Share of the work done, 0 to 1; zero for services.
    pub progress: f64,
}

/// Starts an attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StartReq {
    pub token: Token,
    pub task: TaskId,
    pub attempt: Attempt,
    pub class: ClassName,
    pub resources: Resources,
    pub payload: String,
    /// Checkpoint to resume from.
    pub resume: Option<CheckpointId>,
}

/// Slows a task down to a share of its processors, 0 to 1.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ThrottleReq {
    pub token: Token,
    pub task: TaskId,
    pub share: f64,
}

/// Asks for a checkpoint, or for the end of an attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AttemptReq {
    pub token: Token,
    pub task: TaskId,
    pub attempt: Attempt,
}

/// What is left of a closed attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Closed {
    /// The attempt had ended by itself before it was closed.
    pub ended: Option<Outcome>,
    /// The last checkpoint taken.
    pub checkpoint: Option<CheckpointId>,
    /// Whether the attempt ever started here.
    pub started: bool,
}

/// A worker VM.
pub trait Worker {
    /// Acquires the control lease; refused while another holds it.
    fn acquire(&self, req: AcquireReq) -> impl Future<Output = Result<Granted>>;

    /// Renews the leases and fetches news.
    fn sync(&self, req: SyncReq) -> impl Future<Output = Result<SyncResp>>;

    /// Gives the control lease back; running tasks go on until their leases lapse.
    fn release(&self, token: Token) -> impl Future<Output = Result<()>>;

    /// Starts an attempt; starting the same attempt again is not an error.
    fn start(&self, req: StartReq) -> impl Future<Output = Result<()>>;

    /// Throttles a task.
    fn throttle(&self, req: ThrottleReq) -> impl Future<Output = Result<()>>;

    /// Takes a checkpoint while the task runs on.
    fn checkpoint(&self, req: AttemptReq) -> impl Future<Output = Result<CheckpointId>>;

    /// Stops the attempt if it runs, and refuses it and all earlier ones from now on. The answer
    /// proves that the attempt does not run and will not.
    fn close(&self, req: AttemptReq) -> impl Future<Output = Result<Closed>>;
}
