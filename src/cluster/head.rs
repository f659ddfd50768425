//! The head of a shard: who owns it, as of which commit.

use crate::ids::DaemonId;
use serde::{Deserialize, Serialize};

/// Value of a shard's head key; rewritten with each commit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    pub owner: DaemonId,
    /// Fencing token of the owner: the revision of its claim; zero in the claim itself.
    pub fence: u64,
    /// Number of the last commit; rises over all owners.
    pub seq: u64,
    /// Owner before, and its last commit, so that it can learn what became of that one.
    pub before: Option<Before>,
}

/// The end of an earlier owner's commits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Before {
    pub owner: DaemonId,
    pub seq: u64,
}

impl Head {
    /// The head after a claim on top of `present`.
    pub fn claim(owner: DaemonId, present: Option<&Self>) -> Self {
        Self {
            owner,
            fence: 0,
            seq: present.map_or(0, |head| head.seq) + 1,
            before: present.map(|head| Before { owner: head.owner.clone(), seq: head.seq }),
        }
    }

    /// The head after the owner's commit `seq`.
    pub fn commit(&self, fence: u64, seq: u64) -> Self {
        Self { fence, seq, ..self.clone() }
    }
}

/// The owner that a claim was decided against, as far as it was known.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Replaced {
    pub owner: Option<DaemonId>,
    /// Highest fencing token of the shard that was heard of.
    pub fence: u64,
}

impl Replaced {
    /// Whether a head, with its owner's token, is of an owner that was known when the claim was decided.
    pub fn covers(&self, head: &Head) -> bool {
        head.fence <= self.fence || self.owner.as_ref() == Some(&head.owner)
    }
}
