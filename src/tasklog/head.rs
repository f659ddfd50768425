//! A partition's head: the key whose compare-and-swap makes a commit take effect.

use super::codec::Segment;
use crate::ids::{DaemonId, PartitionId};
use serde::{Deserialize, Serialize};

/// Version of the storage format.
pub(crate) const FORMAT: u8 = 1;

/// Maximum number of claims kept in the head, each with its last commit.
pub(crate) const MAX_CLAIMS: usize = 8;

/// The content of the head.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Head {
    pub(crate) format: u8,
    /// The most recent claims, oldest first. Only the holder of the last one may commit.
    pub(crate) claims: Vec<Claim>,
    /// Number of the next task; higher than any used before, including those of dropped tasks.
    pub(crate) next_number: u64,
    /// Pages with compacted tasks.
    pub(crate) pages: Vec<ValueRange>,
    /// Segments with the records since the last compaction, oldest first.
    pub(crate) segments: Vec<ValueRange>,
    /// Archives with the idempotency keys of dropped tasks, oldest first.
    pub(crate) archives: Vec<Archive>,
    /// Records since the last segment.
    pub(crate) tail: Segment,
}

/// A writer's right to commit, until the next claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Claim {
    /// Increases with each claim.
    pub(crate) epoch: u64,
    pub(crate) writer: DaemonId,
    /// Distinguishes claims of the same writer.
    pub(crate) nonce: u64,
    /// Number of the last commit under this claim.
    pub(crate) commit: u64,
}

/// A range of consecutively numbered values written under one claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ValueRange {
    pub(crate) epoch: u64,
    pub(crate) first: u64,
    pub(crate) count: u64,
}

/// A reference to a value with the idempotency keys of dropped tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Archive {
    pub(crate) id: ValueId,
    /// Number of keys in the value.
    pub(crate) count: usize,
}

/// Identifies one value of a partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub(crate) struct ValueId {
    pub(crate) epoch: u64,
    pub(crate) number: u64,
}

impl Head {
    /// The head of a partition that has never been written.
    pub(crate) fn new() -> Self {
        Self {
            format: FORMAT,
            claims: Vec::new(),
            next_number: 1,
            pages: Vec::new(),
            segments: Vec::new(),
            archives: Vec::new(),
            tail: Segment::default(),
        }
    }

    /// The current claim.
    pub(crate) fn claim(&self) -> Option<&Claim> {
        self.claims.last()
    }

    /// Returns a copy with a new claim for `writer`.
    pub(crate) fn with_claim(&self, writer: &DaemonId, nonce: u64) -> Self {
        let epoch = self.claim().map_or(0, |claim| claim.epoch) + 1;
        let mut next = self.clone();
        next.claims.push(Claim { epoch, writer: writer.clone(), nonce, commit: 0 });
        let surplus = next.claims.len().saturating_sub(MAX_CLAIMS);
        next.claims.drain(..surplus);
        next
    }

    /// The current claim of a loaded partition's head, which always has one.
    pub(crate) fn last_claim(&self) -> &Claim {
        self.claim().expect("a partition is loaded by claiming it")
    }

    /// Mutable `last_claim`, for incrementing the commit number.
    pub(crate) fn last_claim_mut(&mut self) -> &mut Claim {
        self.claims.last_mut().expect("a partition is loaded by claiming it")
    }

    /// All values that the head references.
    pub(crate) fn values(&self) -> impl Iterator<Item = ValueId> {
        let archives = self.archives.iter().map(|archive| archive.id);
        self.pages.iter().chain(&self.segments).flat_map(ValueRange::values).chain(archives)
    }

    /// Whether the head references the value.
    pub(crate) fn references(&self, id: ValueId) -> bool {
        self.values().any(|named| named == id)
    }
}

impl ValueRange {
    /// The values of the range.
    pub(crate) fn values(&self) -> impl Iterator<Item = ValueId> + use<> {
        let Self { epoch, first, count } = *self;
        (first..first + count).map(move |number| ValueId { epoch, number })
    }

    /// Adds a value to the ranges, extending the last one if the value is consecutive.
    pub(crate) fn push(runs: &mut Vec<Self>, id: ValueId) {
        match runs.last_mut() {
            Some(run) if run.epoch == id.epoch && run.first + run.count == id.number => {
                run.count += 1;
            }
            _ => runs.push(Self { epoch: id.epoch, first: id.number, count: 1 }),
        }
    }
}

impl ValueId {
    /// The store key of the value.
    pub(crate) fn key(self, partition: PartitionId) -> String {
        format!("{}{:x}.{:x}", values_prefix(partition), self.epoch, self.number)
    }

    /// Parses a store key; `None` if it is not that of a value of the partition.
    pub(crate) fn from_key(partition: PartitionId, key: &str) -> Option<Self> {
        let rest = key.strip_prefix(&values_prefix(partition))?;
        let (epoch, number) = rest.split_once('.')?;
        Some(Self {
            epoch: u64::from_str_radix(epoch, 16).ok()?,
            number: u64::from_str_radix(number, 16).ok()?,
        })
    }
}

/// The store key of a partition's head.
pub(crate) fn head_key(partition: PartitionId) -> String {
    format!("tasks/{partition}/head")
}

/// The prefix of the store keys of a partition's pages, segments and archives.
pub(crate) fn values_prefix(partition: PartitionId) -> String {
    format!("tasks/{partition}/v/")
}
