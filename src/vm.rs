//! Interface to the VMs that run jobs' tasks.
//!
//! A VM runs the tasks it is told to start until their lease (`keep_until`) expires. Each poll of
//! the VM ([`VmApi::poll`]) extends that lease and returns the tasks that run and the runs that
//! have ended. The VM remembers the highest fencing token it has seen and rejects lower ones.
//!
//! A [`VmId`] identifies one instance of a VM: after a restart the VM has a new id and no state. The
//! registered id that is part of it may stay the same. An order names the registered id alone, so an
//! order for an earlier instance may be carried out by a later one, also seconds later.

use crate::ids::{DomainId, RackId, ServiceName, VmId};
use crate::job::{Checkpoint, Label, RunNumber, TaskRef};
use crate::kv::Rev;
use crate::permit::Permit;
use crate::units::Resources;
use serde::{Deserialize, Serialize};
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

/// Result of a call.
pub type Result<T> = std::result::Result<T, Error>;

/// Fencing token of a shard's owner. VMs compare tokens; a later owner has a higher one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fence(pub u64);

/// A time on a VM's own monotonic clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct VmTime(pub Duration);

/// A VM as listed by the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    pub id: VmId,
    pub service: ServiceName,
    pub domain: DomainId,
    pub rack: RackId,
    pub labels: Vec<Label>,
    pub size: Resources,
    pub state: VmState,
    /// Address of the VM's API, as `ip:port`.
    pub addr: Arc<str>,
    /// Store revision at which the VM last announced itself; absent if it isn't announced.
    pub announced: Rev,
    /// Time after which it did so; `None` if unknown.
    pub announced_after: Option<AnnouncedAfter>,
}

/// Time after which a VM announced itself, on the daemon's monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AnnouncedAfter {
    /// The announcement is certain to be later.
    Bound(Duration),
    /// The announcement may be older.
    Estimate(Duration),
}

/// Whether a VM takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum VmState {
    Ready,
    /// The VM is about to be removed, and its runs end with it.
    Leaving {
        /// Minimum time left when this was announced.
        left: Option<Duration>,
    },
}

/// A VM that has left after announcing it; everything on it has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Departure {
    pub vm: VmId,
    /// When it was known to have left, on the daemon's monotonic clock.
    pub at: Duration,
}

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The VM has seen a higher fencing token.
    #[error("another owner acts on this VM; drop the shard")]
    Fenced,
    /// This run or a later run of the task has already ended or been stopped on the VM.
    #[error(
        "the run is older than one that already ended on the VM; start it with a higher number"
    )]
    StaleRun,
    /// `keep_until` is in the past on the VM's clock.
    #[error(
        "the order arrived after its lease time had expired; poll the VM's clock and send it again"
    )]
    LeaseExpired,
    #[error("the VM has no room for the task; poll the VM to update its list of runs")]
    NoRoom,
    #[error("the step's permit for this VM has expired; request another")]
    NoPermit,
    /// The instance has ended. `successor` is the instance that answered, if it has the same
    /// registered id; orders for the ended instance may still take effect there.
    #[error("the VM has restarted; place its work again")]
    InstanceChanged { successor: Option<VmId> },
    /// The VM refused the call without any effect and is unhealthy.
    #[error("the VM refused ({status}); place the work elsewhere")]
    Unavailable { status: u16 },
    /// The call can never succeed as it is.
    #[error("the VM rejected the call as malformed ({status}); this is a bug in the scheduler")]
    Malformed { status: u16 },
    /// The call was not sent.
    #[error("the VM can't be reached ({reason})")]
    NotSent { reason: String },
    /// The call may have taken effect, or may still do so.
    #[error("the VM did not answer ({reason})")]
    NoAnswer { reason: String },
}

/// Extends the lease of a VM's runs and requests its status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PollReq {
    pub fence: Fence,
    /// Ended runs up to this number are durable; the VM may discard them. The number counts for one
    /// instance, but a later one under the same registered id obeys it too.
    pub ack_up_to: u64,
    /// New lease time of all runs on the VM; `None` leaves it unchanged.
    pub keep_until: Option<VmTime>,
    /// How long the VM may delay its answer until a run ends.
    pub wait: Duration,
}

/// Status of a VM.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PollResp {
    pub clock: VmTime,
    pub running: Vec<RunningTask>,
    /// Ended runs in order of their numbers, repeated until acknowledged by [`PollReq::ack_up_to`].
    pub ended: Vec<EndedRun>,
}

/// A running task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningTask {
    pub task: TaskRef,
    pub run: RunNumber,
    pub checkpoint: Option<Checkpoint>,
    /// Percentage of the work done; a lasting task reports 100 while it is working.
    pub percent: u8,
    /// Approximate measurement over the last half second; its unit depends on the task, see
    /// [`RunningTask::tail`] and [`RunningTask::milli_cores`].
    pub measurement: u32,
}

impl RunningTask {
    /// Tail response time, for a task with a tail target.
    pub fn tail(&self) -> Duration {
        Duration::from_millis(u64::from(self.measurement))
    }

    /// CPU in use, in thousandths of a core, for a task without a tail target.
    pub fn milli_cores(&self) -> u32 {
        self.measurement
    }
}

/// An ended run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRun {
    /// Sequence number of the end, increasing within one instance of the VM.
    pub number: u64,
    pub task: TaskRef,
    pub run: RunNumber,
    pub outcome: EndKind,
    pub checkpoint: Option<Checkpoint>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndKind {
    Succeeded,
    /// Failed through a fault of the task or of the VM.
    Failed,
    /// Stopped on request.
    Stopped,
    /// Its lease time expired.
    Lapsed,
    /// Another member of its group ended.
    Broken,
    /// Timed out waiting for the other members of its group.
    LeftAlone,
}

/// Starts a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartReq {
    pub fence: Fence,
    pub task: TaskRef,
    pub run: RunNumber,
    pub payload: Arc<str>,
    pub keep_until: VmTime,
    pub resume: Option<Checkpoint>,
    /// The step's permit for this VM, where its queue needs one.
    pub permit: Option<Permit>,
}

/// Identifies a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunReq {
    pub fence: Fence,
    pub task: TaskRef,
    pub run: RunNumber,
}

/// Limits a task to a percentage of its full speed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PaceReq {
    pub fence: Fence,
    pub task: TaskRef,
    pub run: RunNumber,
    /// Speed limit, 0 to 100.
    pub percent: u8,
}

/// Id and address of a VM.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct VmAddr {
    pub id: VmId,
    /// `ip:port`.
    pub addr: Arc<str>,
}

/// Calls to VMs.
pub trait VmApi {
    /// Extends the lease of the VM's runs and returns its status.
    fn poll(&self, vm: &VmAddr, req: PollReq) -> impl Future<Output = Result<PollResp>>;

    /// Starts a run; succeeds if the run has already started.
    fn start(&self, vm: &VmAddr, req: StartReq) -> impl Future<Output = Result<VmTime>>;

    /// Stops a run; if it has not started yet, later attempts to start it are refused.
    fn stop(&self, vm: &VmAddr, req: RunReq) -> impl Future<Output = Result<VmTime>>;

    /// Changes the speed limit of a run.
    fn set_pace(&self, vm: &VmAddr, req: PaceReq) -> impl Future<Output = Result<VmTime>>;
}
