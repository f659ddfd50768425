//! The daemon that runs jobs: its duties, each on a thread of its own, joined by bounded rings.
//!
//! | duty | does | when its ring is full |
//! |---|---|---|
//! | `control` | decides: shards and who owns them | callers are refused as not run; answers of other duties wait |
//! | `machines` | lists machines and orders their upkeep, keeps waves' records | a wave waits |
//! | `records` | reads and writes the store | commits wait at control |
//! | `orders` | calls VMs, and the service that permits steps | orders wait at control |
//! | `links` | talks to other daemons | messages are dropped; their senders repeat them |
//!
//! What the platform's interfaces look like is behind [`Platform`].

pub mod calls;
pub mod claim;
pub mod confirmed;
pub mod control;
pub mod daemon;
pub mod follow;
pub mod links;
pub mod machines;
pub mod orders;
pub mod records;
pub mod settings;
pub mod status;
pub mod stop;
pub mod view;

use crate::kv::{Item, Kv, Put};
use crate::permit::PermitPort;
use crate::queues::Queues;
use crate::upkeep::{MachinePort, Wave, WaveState};
use crate::vm::{VmEntry, VmPort};

/// An item of the store that can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{key}` can't be read ({reason}); the platform writes something newer than this release")]
pub struct Unreadable {
    pub key: String,
    pub reason: String,
}

/// What operators write.
#[derive(Clone, Debug, PartialEq)]
pub enum Written {
    /// The configuration, whole.
    Queues(Queues),
    Wave(Wave),
    /// Nothing that this release knows.
    Other,
}

/// What the platform offers, and how its own entries in the store read.
pub trait Platform: Clone + Send + Unpin + 'static {
    /// Client of the store.
    type Store: Kv + Clone + Unpin + 'static;
    /// Client of the VMs.
    type Vms: VmPort + Clone + Unpin + 'static;
    /// Client of the service that permits steps on VMs.
    type Permits: PermitPort + Clone + Unpin + 'static;
    /// Client of the service that looks after the machines.
    type Machines: MachinePort + Clone + Unpin + 'static;

    /// A client of the store, made on the thread that uses it.
    fn store(&self) -> Self::Store;

    /// A client of the VMs, made on the thread that uses it.
    fn vms(&self) -> Self::Vms;

    /// A client of the service that permits steps, made on the thread that uses it.
    fn permits(&self) -> Self::Permits;

    /// A client for the machines, made on the thread that uses it.
    fn machines(&self) -> Self::Machines;

    /// Prefix of the VMs' announcements.
    fn fleet_prefix(&self) -> &str;

    /// Reads a VM's announcement.
    fn read_vm(&self, item: &Item) -> Result<VmEntry, Unreadable>;

    /// Prefix of what operators write.
    fn operator_prefix(&self) -> &str;

    /// Key of the configuration, among what operators write.
    fn config_key(&self) -> &str;

    /// Reads what an operator wrote.
    fn read_operators(&self, item: &Item) -> Result<Written, Unreadable>;

    /// What tells operators how far a wave has come.
    fn wave_state(&self, wave: u64, state: WaveState) -> Put;
}
