//! How the slots of one endpoint are shared among the daemons that route to it.
//!
//! One daemon gives: the holder of the VM's control lease. Grants are whole slots, expire, and are
//! answers to asks, so that a lost answer leaves the asker with what it had. The giver counts, for
//! each asker, the most that the asker may believe it has; the sum of that never exceeds the
//! endpoint's slots, whatever is lost, late or repeated.
//!
//! A new giver does not know what the last one gave. Until every such grant has surely run out it
//! gives an asker only what that asker holds already.

mod givers;
mod keeper;
mod taker;

pub use givers::{Before, Givers};
pub use keeper::{Keeper, KeeperSettings};
pub use taker::Taker;

use crate::ids::{DaemonId, Token, VmId};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Asks the giver for slots, or renews them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ShareAsk {
    pub from: DaemonId,
    pub vm: VmId,
    /// Rises with each ask; a late or repeated one must not undo what a later one said.
    pub number: u64,
    /// The latest grant that the asker has, if it has not expired.
    pub seen: Option<GrantId>,
    /// Slots that the asker holds by it.
    pub holds: u32,
    /// Requests that it has at the endpoint now.
    pub in_use: u32,
    /// Slots that it could use.
    pub wants: u32,
}

/// Slots granted, in place of any grant before.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ShareGrant {
    pub vm: VmId,
    pub id: GrantId,
    pub slots: u32,
    /// Counted from when the ask was sent.
    pub ttl: Duration,
}

/// Orders grants: by the giver's lease, then by number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct GrantId {
    pub token: Token,
    pub number: u64,
}

/// The slots of `vm` that are `me`'s when they are split evenly among `daemons`, without a giver.
/// The odd ones go by rank in a hash of both names, so that no daemon gets the odd ones everywhere.
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
