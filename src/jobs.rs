//! The daemon that runs jobs: its duties, each on a thread of its own, joined by bounded rings.
//!
//! | duty | does | when its ring is full |
//! |---|---|---|
//! | `control` | decides: shards and who owns them | callers are refused as not run; answers of other duties wait |
//! | `records` | reads and writes the store | commits wait at control |
//! | `orders` | calls VMs, and the service that permits steps | orders wait at control |
//! | `links` | talks to other daemons | messages are dropped; their senders repeat them |
//!
//! What the platform's interfaces look like is behind [`Platform`].

pub mod calls;
pub mod claim;
pub mod control;
pub mod daemon;
pub mod follow;
pub mod links;
pub mod orders;
pub mod records;
pub mod settings;
pub mod view;

use crate::kv::{Item, Kv};
use crate::permit::PermitPort;
use crate::queues::Queues;
use crate::vm::{VmEntry, VmPort};

/// An item of the store that can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{key}` can't be read ({reason}); the platform writes something newer than this release")]
pub struct Unreadable {
    pub key: String,
    pub reason: String,
}

/// What the platform offers, and how its own entries in the store read.
pub trait Platform: Clone + Send + Unpin + 'static {
    /// Client of the store.
    type Store: Kv + Clone + Unpin + 'static;
    /// Client of the VMs.
    type Vms: VmPort + Clone + Unpin + 'static;
    /// Client of the service that permits steps on VMs.
    type Permits: PermitPort + Clone + Unpin + 'static;

    /// A client of the store, made on the thread that uses it.
    fn store(&self) -> Self::Store;

    /// A client of the VMs, made on the thread that uses it.
    fn vms(&self) -> Self::Vms;

    /// A client of the service that permits steps, made on the thread that uses it.
    fn permits(&self) -> Self::Permits;

    /// Prefix of the VMs' announcements.
    fn fleet_prefix(&self) -> &str;

    /// Reads a VM's announcement.
    fn read_vm(&self, item: &Item) -> Result<VmEntry, Unreadable>;

    /// Prefix of what operators write.
    fn operator_prefix(&self) -> &str;

    /// Reads the queues, if the item holds them.
    fn read_queues(&self, item: &Item) -> Result<Option<Queues>, Unreadable>;
}
