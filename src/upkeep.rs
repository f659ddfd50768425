//! Upkeep waves: operators list machines that must all go down for upkeep within a deadline, with a
//! limit on how many may be down at once.
//!
//! A machine hosts successive incarnations of a VM. It stays in its rack and therefore in its
//! shard, whose owner vacates the VM and orders the upkeep. Each wave has one record in the store
//! that lists the machines that are down. Before ordering an upkeep, an owner adds the machine to
//! the record with a conditional write, and it removes the machine when it is back. The limit
//! therefore holds even if owners can't reach each other, and a new owner finds what its
//! predecessor began.

pub mod duty;

use crate::ids::{DomainId, RackId, VmId};
use crate::vm::Fence;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

/// Result of a call.
pub type Result<T> = std::result::Result<T, Error>;

/// Identifies a machine over all incarnations of its VM.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MachineId(Arc<str>);

impl MachineId {
    /// Creates an id from a machine name.
    pub fn new(name: &str) -> Self {
        Self(Arc::from(name))
    }

    /// The name as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for MachineId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A set of machines that operators want to go down for upkeep.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wave {
    pub number: u64,
    pub machines: Vec<MachineId>,
    /// Time limit for the whole wave.
    pub time_limit: Duration,
    /// Maximum number of machines down at once.
    pub max_down: usize,
}

/// State of a wave, as reported to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaveState {
    Running,
    /// Every machine that still exists has had its upkeep.
    Done,
}

/// Record of a wave in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveRecord {
    /// Machines that are down or about to go down, with the registered id of the VM that this ends.
    pub down: IndexMap<MachineId, VmId>,
    /// Machines that have had their upkeep or no longer exist.
    pub done: IndexSet<MachineId>,
}

impl WaveRecord {
    /// Store key of a wave's record.
    pub fn key(wave: u64) -> String {
        format!("wave/{wave}")
    }

    /// Whether every machine of the wave is done.
    pub fn is_complete(&self, wave: &Wave) -> bool {
        wave.machines.iter().all(|machine| self.done.contains(machine))
    }
}

/// A machine as listed by the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Machine {
    pub id: MachineId,
    /// The registered id of the machine's current VM, if any.
    pub vm: Option<VmId>,
    pub domain: DomainId,
    pub rack: RackId,
    pub state: MachineState,
}

/// State of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineState {
    Up,
    /// Being moved to another pool.
    Moving,
    Upkeep,
    Down,
}

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    #[error("a later owner has sent orders for this machine; release the shard")]
    Fenced,
    #[error("the machine is not up or is leaving; order its upkeep once it is back")]
    Busy,
    #[error("the machine is not part of that wave; read the wave again")]
    NotInWave,
    #[error("the platform refused the call ({status}); retry later")]
    Refused { status: u16 },
    #[error("the platform can't be reached ({reason}); retry later")]
    NotSent { reason: String },
    #[error("the platform did not answer ({reason}); the call may have taken effect")]
    NoAnswer { reason: String },
}

/// Orders a machine's upkeep.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpkeepReq {
    pub machine: MachineId,
    pub wave: u64,
    /// Name of the ordering daemon.
    pub holder: String,
    pub fence: Fence,
}

/// Client of the platform's machine API.
pub trait MachineApi {
    /// Lists all machines.
    fn list(&self) -> impl Future<Output = Result<Vec<Machine>>>;

    /// Ends everything on a machine and starts its upkeep; succeeds if the upkeep has already been
    /// done.
    fn start_upkeep(&self, req: &UpkeepReq) -> impl Future<Output = Result<()>>;
}
