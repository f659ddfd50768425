//! What daemons tell each other.
//!
//! The writer of a task's partition chooses a VM and asks that VM's holder for room; the holder
//! alone decides whether there is room. Messages may be lost, late or repeated: each side repeats
//! what was not answered, and handles a repeated message as the first.

use crate::ids::{
    Attempt, BootId, CheckpointId, ClassName, DaemonId, DomainId, RackId, Revision, TaskId, VmId,
};
use crate::task::{Outcome, TaskSpec};
use crate::units::Resources;
use serde::{Deserialize, Serialize};

/// A daemon that answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    pub id: DaemonId,
    pub domain: DomainId,
    /// Address of its peer port, `ip:port`.
    pub peer_addr: String,
    pub state: MemberState,
    /// Configuration in force there.
    pub revision: Revision,
}

/// Whether a daemon takes on anything new.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    Serving,
    Draining,
}

/// A VM as its holder sees it, told to the writers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VmView {
    pub vm: VmId,
    pub holder: DaemonId,
    pub domain: DomainId,
    pub rack: RackId,
    pub size: Resources,
    /// Room left by committed work.
    pub free: Resources,
    /// Committed tasks of each class.
    pub classes: Vec<ClassCount>,
    pub health: VmHealth,
}

/// Tasks of one class on a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassCount {
    pub class: ClassName,
    pub count: u32,
}

/// Whether a VM takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmHealth {
    Open,
    /// Takes probes only, since it failed what it started.
    Quarantined,
    /// Nothing more is placed beside a service that suffers.
    Avoided,
    Leaving,
}

/// A message from one daemon's core to another's.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerMsg {
    /// The VMs that the sender holds, all of them.
    Views {
        views: Vec<VmView>,
    },
    /// Asks for room; held for a few seconds until started or released.
    Reserve {
        vm: VmId,
        task: TaskId,
        attempt: Attempt,
        spec: TaskSpec,
    },
    Reserved {
        vm: VmId,
        /// Incarnation that has the room.
        boot: BootId,
        task: TaskId,
        attempt: Attempt,
    },
    Declined {
        vm: VmId,
        task: TaskId,
        attempt: Attempt,
        reason: Decline,
    },
    /// The binding is durable; the attempt may start on that incarnation of that VM.
    Start {
        vm: VmId,
        boot: BootId,
        task: TaskId,
        attempt: Attempt,
        spec: TaskSpec,
        resume: Option<CheckpointId>,
    },
    /// The attempt runs.
    Started {
        vm: VmId,
        task: TaskId,
        attempt: Attempt,
    },
    /// Asks for the attempt's end and for proof of it.
    Close {
        vm: VmId,
        /// Incarnation that the attempt is bound to.
        boot: BootId,
        task: TaskId,
        attempt: Attempt,
        why: CloseReason,
    },
    /// Proof that the attempt does not run on that VM and will not.
    Closed {
        vm: VmId,
        task: TaskId,
        attempt: Attempt,
        ended: Option<Outcome>,
        checkpoint: Option<CheckpointId>,
        started: bool,
        why: CloseReason,
    },
    /// The attempt ended by itself; repeated until acknowledged.
    Ended {
        vm: VmId,
        task: TaskId,
        attempt: Attempt,
        outcome: Outcome,
    },
    /// The end or the release of the attempt is durable.
    EndedAck {
        vm: VmId,
        task: TaskId,
        attempt: Attempt,
    },
}

/// Why a holder has no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Decline {
    NotHeld,
    NoRoom,
    Quarantined,
    Avoided,
    Leaving,
}

/// Why an attempt is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CloseReason {
    Cancelled,
    Evicted,
    Leaving,
    /// The start was not confirmed in time, or the VM refused it.
    NotStarted,
    /// The worker's boot changed, or its table no longer has the attempt.
    Lost,
}
