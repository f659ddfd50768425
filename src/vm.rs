//! The port to the VMs that run jobs' tasks.
//!
//! A VM runs what it is told to start until the time that it was given to keep running; that time
//! is moved on by each look at the VM ([`VmPort::look`]), which also brings what runs and what has
//! ended. It remembers the highest fencing token it has seen and does nothing for a lower one.
//!
//! A [`VmId`] names one life of a VM: a VM that restarts comes back under another id and has
//! forgotten everything.

use crate::ids::{DomainId, RackId, ServiceName, VmId};
use crate::job::{Checkpoint, Label, RunNumber, TaskRef};
use crate::permit::Permit;
use crate::units::Resources;
use serde::{Deserialize, Serialize};
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

/// Result of a call.
pub type Result<T> = std::result::Result<T, Error>;

/// Right of one owner of a shard, compared by VMs; a later owner's is higher.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fence(pub u64);

/// A time on a VM's own steady clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct VmTime(pub Duration);

/// A VM as the platform announces it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    pub id: VmId,
    pub service: ServiceName,
    pub domain: DomainId,
    pub rack: RackId,
    pub labels: Vec<Label>,
    pub size: Resources,
    pub state: VmState,
    /// `ip:port` of its interface.
    pub addr: Arc<str>,
}

/// Whether a VM takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum VmState {
    Ready,
    /// It leaves; what runs there ends when it does.
    Leaving {
        /// Least time that is left, as of the announcement.
        left: Option<Duration>,
    },
}

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A higher fencing token was seen there.
    #[error("another owner acts on this VM; drop the shard")]
    Fenced,
    /// This run, or a later one of the task, has ended or was stopped there.
    #[error("the run is older than one that ended there; start it with a higher number")]
    OldRun,
    /// The time to keep running is past on the VM's clock.
    #[error("the order came after its time; look at the VM's clock and send it again")]
    TooLate,
    #[error("the VM has no room for the task; look at what runs there")]
    NoRoom,
    #[error("the step's permit for this VM isn't valid any more; ask for another")]
    NoPermit,
    /// The VM was restarted since; nothing of its earlier life runs.
    #[error("the VM has another life now; place its work again")]
    OtherLife,
    /// The VM did nothing and is not well.
    #[error("the VM refused ({status}); place the work elsewhere")]
    Unwell { status: u16 },
    /// The call can never succeed as it is.
    #[error("the VM can't read the call ({status}); this is a fault of this program")]
    Malformed { status: u16 },
    /// Nothing was sent.
    #[error("the VM can't be reached ({reason})")]
    NotSent { reason: String },
    /// The call may have taken effect, or may still.
    #[error("the VM did not answer ({reason})")]
    NoAnswer { reason: String },
}

/// Keeps a VM's work running and asks for its news.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LookReq {
    pub fence: Fence,
    /// Ends up to this number are durable; the VM may forget them.
    pub forget: u64,
    /// Time until which everything there may run on; `None` leaves it as it is.
    pub keep_until: Option<VmTime>,
    /// How long the answer may wait for an end.
    pub wait: Duration,
}

/// News of a VM.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LookResp {
    pub clock: VmTime,
    pub running: Vec<RunningTask>,
    /// Ended runs in order of their numbers, repeated until forgotten.
    pub ended: Vec<EndedRun>,
}

/// A task that runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningTask {
    pub task: TaskRef,
    pub run: RunNumber,
    pub checkpoint: Option<Checkpoint>,
    /// Share of its work that is done, of 100; for one that lasts, 100 while it is at work.
    pub percent: u8,
    /// Rough figure of the last half second.
    pub gauge: u32,
}

impl RunningTask {
    /// For a task with a tail target: the tail of its response times.
    pub fn tail(&self) -> Duration {
        Duration::from_millis(u64::from(self.gauge))
    }

    /// For any other task: processors in use, in thousandths of a core.
    pub fn milli_cores(&self) -> u32 {
        self.gauge
    }
}

/// A run that ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRun {
    /// Rises with each end in one life of the VM.
    pub number: u64,
    pub task: TaskRef,
    pub run: RunNumber,
    pub how: EndKind,
    pub checkpoint: Option<Checkpoint>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndKind {
    Succeeded,
    /// By its own fault or the VM's.
    Failed,
    /// As ordered.
    Stopped,
    /// The time to keep running passed.
    Lapsed,
    /// Another member of its group ended.
    Broken,
    /// It waited in vain for the other members of its group.
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

/// Names a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunReq {
    pub fence: Fence,
    pub task: TaskRef,
    pub run: RunNumber,
}

/// Lets a task work at a share of its speed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PaceReq {
    pub fence: Fence,
    pub task: TaskRef,
    pub run: RunNumber,
    /// 0 to 100.
    pub percent: u8,
}

/// Where to call a VM.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct VmAddr {
    pub id: VmId,
    /// `ip:port`.
    pub addr: Arc<str>,
}

/// Calls to VMs.
pub trait VmPort {
    /// Extends what runs there and brings its news.
    fn look(&self, vm: &VmAddr, req: LookReq) -> impl Future<Output = Result<LookResp>>;

    /// Starts a run; one that is there already is not an error.
    fn start(&self, vm: &VmAddr, req: StartReq) -> impl Future<Output = Result<VmTime>>;

    /// Stops a run; one that isn't there yet will be refused from now on.
    fn stop(&self, vm: &VmAddr, req: RunReq) -> impl Future<Output = Result<VmTime>>;

    /// Slows a run down, or lets it go on.
    fn pace(&self, vm: &VmAddr, req: PaceReq) -> impl Future<Output = Result<VmTime>>;
}
