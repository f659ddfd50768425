//! Distributes the slots of an endpoint among the daemons that route requests to it.
//!
//! The holder of the VM's control lease allocates the slots. Grants cover whole slots, expire, and
//! are sent only in reply to a request, so that a lost reply leaves the client with what it had.
//! For each client, the allocator counts the highest number of slots that the client may believe
//! it has; the sum never exceeds the slots of the endpoint, whichever messages are lost, delayed or
//! duplicated.
//!
//! A new allocator doesn't know the grants of its predecessor. Until all of them must have expired,
//! it grants a client at most the slots that the client already holds.

mod givers;
mod keeper;
mod taker;

pub use givers::{PriorGrants, SlotAllocators};
pub use keeper::{AllocatorSettings, SlotAllocator};
pub use taker::SlotClient;

use crate::ids::{DaemonId, Token, VmId};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Requests slots from the allocator, or renews them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ShareRequest {
    pub from: DaemonId,
    pub vm: VmId,
    /// Increases with each request, so that a late or duplicate one is ignored after a later one.
    pub number: u64,
    /// The latest grant that the client has, if it has not expired.
    pub seen: Option<GrantId>,
    /// Number of slots that the client holds under that grant.
    pub holds: u32,
    /// Requests that the client currently has at the endpoint.
    pub in_use: u32,
    /// Number of slots that the client could use.
    pub wants: u32,
}

/// A grant of slots, which replaces any earlier grant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ShareGrant {
    pub vm: VmId,
    pub id: GrantId,
    pub slots: u32,
    /// Validity, counted from when the request was sent.
    pub ttl: Duration,
}

/// Identifies a grant; ordered by the control lease of the allocator, then by number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct GrantId {
    pub token: Token,
    pub number: u64,
}

/// The number of slots of `vm` for `me` if they are split evenly among `daemons`, without an
/// allocator. The remainder is assigned by a hash of both names, so that no daemon gets the extra
/// slot on every endpoint.
pub fn even_split(vm: &VmId, slots: u32, me: &DaemonId, daemons: &[DaemonId]) -> u32 {
    let count = u32::try_from(daemons.len()).unwrap_or(u32::MAX).max(1);
    let mine = rank_key(vm, me);
    let rank = daemons.iter().filter(|other| rank_key(vm, other) < mine).count();
    let odd = (slots % count) as usize;
    slots / count + u32::from(rank < odd)
}

fn rank_key<'a>(vm: &VmId, daemon: &'a DaemonId) -> (u64, &'a DaemonId) {
    (xxh3_64(format!("{vm}\n{daemon}").as_bytes()), daemon)
}
