//! The head of a shard: its owner and last commit.

use crate::ids::DaemonId;
use serde::{Deserialize, Serialize};

/// Value of a shard's head key, rewritten by every commit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    pub owner: DaemonId,
    /// Fencing token of the owner: the store revision of its claim. Zero in the claim itself, whose
    /// revision isn't known yet.
    pub fence: u64,
    /// Number of the last commit; increases across owners.
    pub seq: u64,
    /// Previous owner and its last commit, so that the previous owner can find out whether that
    /// commit took effect.
    pub before: Option<PreviousCommit>,
}

/// Last commit of a previous owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PreviousCommit {
    pub owner: DaemonId,
    pub seq: u64,
}

impl Head {
    /// The head that claims a shard whose current head is `current`.
    pub fn claim(owner: DaemonId, current: Option<&Self>) -> Self {
        Self {
            owner,
            fence: 0,
            seq: current.map_or(0, |head| head.seq) + 1,
            before: current.map(|head| PreviousCommit { owner: head.owner.clone(), seq: head.seq }),
        }
    }

    /// The head after the owner's commit `seq`.
    pub fn commit(&self, fence: u64, seq: u64) -> Self {
        Self { fence, seq, ..self.clone() }
    }
}

/// The owner that a claim is meant to replace, as far as the claimant knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExpectedOwner {
    /// Highest known fencing token of the shard. An owner that claims the shard again gets another
    /// one, and what was known of its earlier ownership holds no more.
    pub fence: u64,
}

impl ExpectedOwner {
    /// Whether the ownership in a head was known when the claim was decided.
    pub fn covers(self, head: &Head) -> bool {
        head.fence <= self.fence
    }
}
