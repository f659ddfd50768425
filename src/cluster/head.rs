//! The head of a shard: its owner, its last commit, and how long owners before this one may act.
//!
//! An owner that was replaced without knowing it extends leases in full for a fixed time after its
//! last proof of ownership, which is earlier than the claim that replaced it (see
//! `docs/design/ownership-proof.md`). The head tells that time, and how much of it is left for owners
//! before this one, so that an owner that takes over after all daemons have ended needn't allow for
//! the whole of it again. No earlier owner is counted out too soon:
//!
//! - The time runs from the moment at which the writer computed it. A reader counts it from a later
//!   moment, by which the head had been written: the first of its own calls to the store that showed
//!   the head's revision or a later one, or the claim. No clocks are compared, and a write that is repeated or
//!   delayed only makes the time longer. The rates of the clocks that measure one part of the time
//!   after the other differ by less than the margin by which an owner stops early.
//! - A claim replaces the head that it was computed from, or fails. The owner in that head is the
//!   only one that the head doesn't speak of. If that owner has ended, the time in the head holds
//!   for all earlier owners, and so does the time that the owner told itself. If it may be active,
//!   the longer of its own time and the time in the head holds: an owner before it may be of an
//!   earlier release, whose time is longer. An owner's last proof is a write of its head, so that its
//!   own time also runs from before the head was written. Owners of earlier releases take refused
//!   commits for proofs as well; theirs counts from the claim.
//! - An owner writes the time that is left of what its claim found. It shortens it only once the
//!   previous owner is shown to have ended, and no earlier one is active.
//! - A commit of a replaced owner fails, however late it arrives. Those that took effect before the
//!   claim were true when they were computed, and a time that has passed doesn't come back.
//! - An owner that hands the shard over, also to itself, has ended. What it tells of each VM that
//!   doesn't answer covers the owners before it, but the time in the head runs on regardless.
//! - The first owner of a shard has none before it. Heads of earlier releases don't tell the owner's
//!   time, which is [`MAX_STALE_OWNER_EXTENSION`] for those, and the oldest tell nothing; an owner
//!   before the last then counts for that time, unless the last one has told less.

use crate::duration;
use crate::ids::DaemonId;
use crate::job::progress::{self, Result};
use crate::shard::settings::MAX_STALE_OWNER_EXTENSION;
use serde::{Deserialize, Serialize};
use std::time::Duration;

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
    /// How long after this was written an owner before this one may still extend leases; `None` in
    /// heads of earlier releases.
    #[serde(skip)]
    pub earlier_active: Option<Duration>,
    /// How long this owner extends leases in full after its last proof of ownership; `None` in heads
    /// of earlier releases, and not stored without the time of earlier owners.
    #[serde(skip)]
    pub stale_extension: Option<Duration>,
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
            earlier_active: None,
            stale_extension: None,
        }
    }

    /// The same head, telling how long an earlier owner may still extend leases.
    pub fn with_earlier_active(self, left: Duration) -> Self {
        Self { earlier_active: Some(left), ..self }
    }

    /// The same head, telling how long its owner extends leases in full after its last proof.
    pub fn with_stale_extension(self, stale: Duration) -> Self {
        Self { stale_extension: Some(stale), ..self }
    }

    /// The head after the owner's commit `seq`, while an earlier owner may extend leases for
    /// `earlier_active`.
    pub fn commit(&self, fence: u64, seq: u64, earlier_active: Duration) -> Self {
        Self { fence, seq, ..self.clone() }.with_earlier_active(earlier_active)
    }

    /// Encodes the head; earlier releases ignore the times at its end that they don't know.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = progress::encode(self);
        let known = [self.earlier_active, self.stale_extension].into_iter().map_while(|time| time);
        known.for_each(|time| bytes.extend(progress::encode(&time)));
        bytes
    }

    /// Decodes a head, including one written by an earlier release.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let (head, rest): (Self, &[u8]) = progress::decode_prefix(bytes)?;
        let (earlier_active, rest) = decode_time(rest)?;
        let (stale_extension, _) = decode_time(rest)?;
        Ok(Self { earlier_active, stale_extension, ..head })
    }

    /// How long owners before this one may still extend leases, `age` after this was written; `None`
    /// if the head doesn't tell.
    fn earlier_active_after(&self, age: Duration) -> Option<Duration> {
        self.earlier_active.map(|left| left.saturating_sub(age))
    }

    /// How long its owner may still extend leases in full, `age` after this was written.
    fn stale_extension_after(&self, age: Duration) -> Duration {
        // The last proof of an owner of an earlier release may be later than its head.
        self.stale_extension.map_or(MAX_STALE_OWNER_EXTENSION, |stale| stale.saturating_sub(age))
    }

    /// Latest time at which its owner or one before it may extend a lease in full, if it was written
    /// by `written_by` and is replaced at `claimed_at`. It may have passed by then.
    pub fn extended_until(&self, written_by: Duration, claimed_at: Duration) -> Duration {
        let untold = claimed_at + MAX_STALE_OWNER_EXTENSION;
        let earlier = self.earlier_active.map_or(untold, |left| written_by + left);
        self.stale_extension.map_or(untold, |stale| written_by + stale).max(earlier)
    }
}

/// Decodes a time that follows the head, if there is one.
fn decode_time(bytes: &[u8]) -> Result<(Option<Duration>, &[u8])> {
    if bytes.is_empty() {
        return Ok((None, bytes));
    }
    let (time, rest) = progress::decode_prefix(bytes)?;
    Ok((Some(duration::bounded(time)), rest))
}

/// The owner that a claim is meant to replace, as far as the claimant knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExpectedOwner {
    /// Highest known fencing token of the shard. An owner that claims the shard again gets another
    /// one, and what was known of its earlier ownership holds no more.
    pub fence: u64,
    /// How long an owner before it may still extend leases, if it has itself ended; `None` if it may
    /// be active.
    pub earlier_active: Option<Duration>,
}

impl ExpectedOwner {
    /// Whether the ownership in a head was known when the claim was decided.
    pub fn covers(self, head: &Head) -> bool {
        head.fence <= self.fence
    }

    /// How long any owner before a claim that replaces `head` may still extend leases. The head was
    /// written at least `age` ago.
    pub fn earlier_active(self, head: Option<&Head>, age: Duration) -> Duration {
        let Some(head) = head else { return Duration::ZERO };
        match (self.earlier_active, head.earlier_active_after(age)) {
            (None, None) => MAX_STALE_OWNER_EXTENSION,
            (None, Some(told)) => told.max(head.stale_extension_after(age)),
            (Some(left), None) => left,
            (Some(left), Some(told)) => left.min(told),
        }
    }
}

#[cfg(test)]
mod tests;
