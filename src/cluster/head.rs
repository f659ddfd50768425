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
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ExpectedOwner {
    pub owner: Option<DaemonId>,
    /// Highest known fencing token of the shard.
    pub fence: u64,
}

impl ExpectedOwner {
    /// Whether the owner in a head was known when the claim was decided.
    pub fn covers(&self, head: &Head) -> bool {
        head.fence <= self.fence || self.owner.as_ref() == Some(&head.owner)
    }
}
