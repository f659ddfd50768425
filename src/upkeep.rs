//! Upkeep waves: operators name machines that must each go down for upkeep, in time, and at most so
//! many at once.
//!
//! A machine is what a VM is one life of; it stays in its rack and so in its shard, whose owner
//! empties the VM and orders the upkeep. Who is down is counted in one record for each wave in
//! the store: an owner adds a machine there, under the condition that nobody changed the record
//! meanwhile, before it orders the upkeep, and takes it off when the machine is back. So the bound
//! holds over owners that don't hear each other, and a new owner finds what the last one began.

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

/// A machine; the same over all lives of its VM.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MachineId(Arc<str>);

impl MachineId {
    /// The name as given.
    pub fn new(name: &str) -> Self {
        Self(Arc::from(name))
    }

    /// The name's text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for MachineId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Machines that operators want to go down for upkeep.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wave {
    pub number: u64,
    pub machines: Vec<MachineId>,
    /// Time for all of them.
    pub within: Duration,
    /// Most that may be down at a time.
    pub max_down: usize,
}

/// How far a wave has come, as operators are told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaveState {
    Running,
    /// Each machine that is still there has had its upkeep.
    Done,
}

/// A wave's record in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Machines that are down or about to be, with the life of the VM that was to end.
    pub down: IndexMap<MachineId, VmId>,
    /// Machines that have had their upkeep, or are gone.
    pub done: IndexSet<MachineId>,
}

impl Record {
    /// Key of a wave's record.
    pub fn key(wave: u64) -> String {
        format!("wave/{wave}")
    }

    /// Whether each machine of the wave is done.
    pub fn is_complete(&self, wave: &Wave) -> bool {
        wave.machines.iter().all(|machine| self.done.contains(machine))
    }
}

/// A machine as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Machine {
    pub id: MachineId,
    /// Its present VM, if it has one.
    pub vm: Option<VmId>,
    pub domain: DomainId,
    pub rack: RackId,
    pub state: MachineState,
}

/// What a machine does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineState {
    Up,
    /// On its way to another pool.
    Moving,
    Upkeep,
    Down,
}

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    #[error("a later owner has given orders for this machine; drop the shard")]
    Fenced,
    #[error("the machine isn't up or leaves; order its upkeep once it is back")]
    Busy,
    #[error("the machine isn't of that wave; read the wave again")]
    NotInWave,
    #[error("the platform refused the call ({status}); make it again later")]
    Refused { status: u16 },
    #[error("the platform can't be reached ({reason}); make the call again later")]
    NotSent { reason: String },
    #[error("the platform did not answer ({reason}); the call may have taken effect")]
    NoAnswer { reason: String },
}

/// Orders a machine's upkeep.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpkeepReq {
    pub machine: MachineId,
    pub wave: u64,
    /// Who orders it.
    pub holder: String,
    pub fence: Fence,
}

/// The platform's machines.
pub trait MachinePort {
    /// Every machine.
    fn list(&self) -> impl Future<Output = Result<Vec<Machine>>>;

    /// Ends everything on a machine and has its upkeep done; an upkeep that was done already is not
    /// an error.
    fn upkeep(&self, req: &UpkeepReq) -> impl Future<Output = Result<()>>;
}
