//! The job daemon. Its components are actors that communicate through bounded mailboxes; `records`
//! and `machines` share a thread, each of the others has its own.
//!
//! | component | responsibility | when its mailbox is full |
//! |---|---|---|
//! | `control` | makes all decisions: shards and their ownership | new calls are refused as not run; responses from other components wait |
//! | `machines` | lists machines, orders their upkeep, stores the records of upkeep waves | the wave waits |
//! | `records` | reads and writes the store | commits wait in control |
//! | `orders` | calls the VMs and the permit service | VM calls wait in control |
//! | `links` | exchanges messages with other daemons | messages are dropped; the senders repeat them |
//!
//! The platform's own interfaces are behind [`Platform`].

pub mod backoff;
pub mod calls;
pub mod choice;
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

use crate::ids::{DomainId, VmId};
use crate::kv::{Item, KvStore, Put};
use crate::permit::PermitApi;
use crate::queues::Queues;
use crate::upkeep::{MachineApi, Wave, WaveState};
use crate::vm::{VmApi, VmEntry};

/// A store entry that can't be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{key}` can't be read ({reason}); the platform writes something newer than this release")]
pub struct UnreadableEntry {
    pub key: String,
    pub reason: String,
}

/// A decoded operator entry.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorEntry {
    /// The complete configuration.
    Config(Queues),
    Wave(Wave),
    /// An order to evacuate a failure domain; stands until the entry is deleted.
    Evacuation(DomainId),
    /// A kind of entry that this release does not know.
    Other,
}

/// Clients for the platform's services, and decoders for its entries in the store.
pub trait Platform: Clone + Send + Unpin + 'static {
    /// Client for the store.
    type Store: KvStore + Clone + Unpin + 'static;
    /// Client for the VMs.
    type Vms: VmApi + Clone + Unpin + 'static;
    /// Client for the service that permits steps on VMs.
    type Permits: PermitApi + Clone + Unpin + 'static;
    /// Client for the machine upkeep service.
    type Machines: MachineApi + Clone + Unpin + 'static;

    /// Creates a store client. Called on the thread that uses it.
    fn store(&self) -> Self::Store;

    /// Creates a VM client. Called on the thread that uses it.
    fn vms(&self) -> Self::Vms;

    /// Creates a permit service client. Called on the thread that uses it.
    fn permits(&self) -> Self::Permits;

    /// Creates a machine upkeep client. Called on the thread that uses it.
    fn machines(&self) -> Self::Machines;

    /// Key prefix of the VM announcements.
    fn vm_prefix(&self) -> &str;

    /// Key of the announcement of a VM.
    fn vm_key(&self, vm: &VmId) -> String {
        format!("{}{}", self.vm_prefix(), vm.registered())
    }

    /// Decodes a VM announcement.
    fn parse_vm_entry(&self, item: &Item) -> Result<VmEntry, UnreadableEntry>;

    /// Key prefix of the operator entries.
    fn operator_prefix(&self) -> &str;

    /// Key of the configuration, under the operator prefix.
    fn config_key(&self) -> &str;

    /// Decodes an operator entry.
    fn parse_operator_entry(&self, item: &Item) -> Result<OperatorEntry, UnreadableEntry>;

    /// The failure domain whose evacuation an entry with this key orders, whatever its value;
    /// `None` for other entries.
    fn evacuated_domain(&self, key: &str) -> Option<DomainId>;

    /// Builds the store write that reports a wave's progress to operators.
    fn wave_status(&self, wave: u64, state: WaveState) -> Put;
}
