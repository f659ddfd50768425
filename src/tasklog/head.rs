//! A partition's head: the one key whose compare-and-swap puts a commit in force.

use super::codec::Segment;
use crate::ids::{DaemonId, PartitionId};
use serde::{Deserialize, Serialize};

/// Version of the values' layout.
pub(crate) const FORMAT: u8 = 1;

/// Writers remembered in the head, with the last commit of each.
pub(crate) const REMEMBERED_CLAIMS: usize = 8;

/// What the head says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Head {
    pub(crate) format: u8,
    /// The latest writers, oldest first; the last one may commit.
    pub(crate) claims: Vec<Claim>,
    /// Number of the next task; also above those that were forgotten.
    pub(crate) next_number: u64,
    /// Compacted tasks.
    pub(crate) pages: Vec<Run>,
    /// Records since then, oldest first.
    pub(crate) segments: Vec<Run>,
    /// Idempotency keys of dropped tasks, oldest first.
    pub(crate) archives: Vec<Archive>,
    /// Records since the last segment.
    pub(crate) tail: Segment,
}

/// A writer's right to commit, until the next claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Claim {
    /// Rises with each claim.
    pub(crate) epoch: u64,
    pub(crate) writer: DaemonId,
    /// Tells two claims by one writer apart.
    pub(crate) nonce: u64,
    /// Last commit under this claim.
    pub(crate) commit: u64,
}

/// Consecutively numbered values written under one claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Run {
    pub(crate) epoch: u64,
    pub(crate) first: u64,
    pub(crate) count: u64,
}

/// A value with idempotency keys of dropped tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Archive {
    pub(crate) id: ValueId,
    /// Keys in it.
    pub(crate) count: usize,
}

/// One value that a head names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub(crate) struct ValueId {
    pub(crate) epoch: u64,
    pub(crate) number: u64,
}

impl Head {
    /// The head of a partition that was never written.
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

    /// The claim under which commits are made now.
    pub(crate) fn claim(&self) -> Option<&Claim> {
        self.claims.last()
    }

    /// The same head claimed by another writer.
    pub(crate) fn claimed(&self, writer: &DaemonId, nonce: u64) -> Self {
        let epoch = self.claim().map_or(0, |claim| claim.epoch) + 1;
        let mut next = self.clone();
        next.claims.push(Claim { epoch, writer: writer.clone(), nonce, commit: 0 });
        let surplus = next.claims.len().saturating_sub(REMEMBERED_CLAIMS);
        next.claims.drain(..surplus);
        next
    }

    /// The claim of a head that was claimed, as each head of a loaded partition was.
    pub(crate) fn last_claim(&self) -> &Claim {
        self.claim().expect("a partition is loaded by claiming it")
    }

    /// The same, to count a commit.
    pub(crate) fn last_claim_mut(&mut self) -> &mut Claim {
        self.claims.last_mut().expect("a partition is loaded by claiming it")
    }

    /// Every value it names.
    pub(crate) fn values(&self) -> impl Iterator<Item = ValueId> {
        let archives = self.archives.iter().map(|archive| archive.id);
        self.pages.iter().chain(&self.segments).flat_map(Run::values).chain(archives)
    }

    /// Whether it names the value.
    pub(crate) fn names(&self, id: ValueId) -> bool {
        self.values().any(|named| named == id)
    }
}

impl Run {
    /// Each value of the run.
    pub(crate) fn values(&self) -> impl Iterator<Item = ValueId> + use<> {
        let Self { epoch, first, count } = *self;
        (first..first + count).map(move |number| ValueId { epoch, number })
    }

    /// Adds a value to the runs, extending the last one where it follows.
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
    /// Key of the value.
    pub(crate) fn key(self, partition: PartitionId) -> String {
        format!("{}{:x}.{:x}", values_prefix(partition), self.epoch, self.number)
    }

    /// The value that a key names, if it does.
    pub(crate) fn from_key(partition: PartitionId, key: &str) -> Option<Self> {
        let rest = key.strip_prefix(&values_prefix(partition))?;
        let (epoch, number) = rest.split_once('.')?;
        Some(Self {
            epoch: u64::from_str_radix(epoch, 16).ok()?,
            number: u64::from_str_radix(number, 16).ok()?,
        })
    }
}

/// Key of a partition's head.
pub(crate) fn head_key(partition: PartitionId) -> String {
    format!("tasks/{partition}/head")
}

/// Prefix of the keys of a partition's pages and segments.
pub(crate) fn values_prefix(partition: PartitionId) -> String {
    format!("tasks/{partition}/v/")
}
