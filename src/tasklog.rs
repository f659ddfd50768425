//! The durable task log. Each partition has a single writer.
//!
//! A partition consists of a head and the values that the head references: pages, which hold the
//! tasks as of the last compaction, and segments, which hold the records written since. A commit
//! is one compare-and-swap of the head. Small commits are stored in the head itself. Larger ones
//! are first written as a segment, which has no effect until a head references it.
//!
//! Writing needs no lease. A daemon claims the partition with a compare-and-swap that adds its
//! claim to the head, after which every commit of the previous writer fails. This also holds for
//! a writer that was paused or partitioned for any length of time, because the head's version has
//! changed.
//!
//! A write whose response was lost is retried with the same expected version and commit number,
//! so it takes effect at most once, whether the first request arrives early, late or never.
//! Reading the head back once is not enough, because it does not show a write still in flight.

mod codec;
mod compact;
mod head;
mod load;
mod settle;

pub use self::load::Loaded;

use self::codec::{Dictionary, Segment, encode};
use self::compact::digest;
use self::head::{Claim, Head, ValueId, ValueRange, head_key};
use self::settle::{Pending, PendingChange};
use crate::ids::{DaemonId, IdempotencyKey, PartitionId, TaskId};
use crate::store::{self, Store};
use crate::task::{Change, Record, TaskState};
use indexmap::IndexMap;
use std::collections::{BTreeMap, VecDeque};

/// The result of an operation on a partition.
pub type Result<T> = std::result::Result<T, Error>;

/// An error from an operation on a partition.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// None of the records took effect, and none will later.
    #[error("the records of partition {partition} were not written ({reason}); submit them again")]
    NotWritten { partition: PartitionId, reason: String },
    /// Another daemon claimed the partition. None of the records took effect, and none will later.
    #[error("partition {partition} is written by {by} now; send its tasks there")]
    Superseded { partition: PartitionId, by: DaemonId },
    /// The records may have taken effect. Nothing can be committed until the outcome is known.
    #[error(
        "partition {partition} can't tell whether its last commit took effect ({reason}); call \
         settle until it can, or load the partition again"
    )]
    Unsettled { partition: PartitionId, reason: String },
    #[error("a record of {task} was given to partition {partition}; give it to its own")]
    WrongPartition { partition: PartitionId, task: TaskId },
    /// The idempotency key belongs to another task. None of the records took effect, and none will
    /// later.
    #[error("the key `{key}` names {task} already; show that task, or submit with another key")]
    DuplicateKey { key: IdempotencyKey, task: TaskId },
    #[error("the store can't be read ({reason}); load partition {partition} again later")]
    Unreadable { partition: PartitionId, reason: String },
    #[error("`{key}` can't be read: {source}")]
    Corrupt { key: String, source: codec::Error },
    #[error(
        "`{key}` is named by the head of its partition and missing; restore it from a copy of the \
         store before its tasks can go on"
    )]
    Missing { key: String },
}

/// Size limits of a partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of the records stored in the head, in bytes.
    pub tail_bytes: usize,
    /// Size of the records, in bytes, at which a compaction is due.
    pub log_bytes: usize,
    /// Maximum page size, in bytes.
    pub page_bytes: usize,
    /// Number of most recently ended tasks that are kept in full.
    pub ended_tasks: usize,
    /// Minimum number of idempotency keys kept for the most recently dropped ended tasks.
    pub dropped_keys: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            tail_bytes: 2 << 10,
            log_bytes: 512 << 10,
            page_bytes: 256 << 10,
            ended_tasks: 1024,
            dropped_keys: 32 << 10,
        }
    }
}

/// Store usage of a partition's writer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Calls to the store.
    pub calls: u64,
    /// Bytes written, excluding keys.
    pub bytes_written: u64,
    /// The part of `bytes_written` that is new records, each counted once.
    pub record_bytes: u64,
    pub commits: u64,
    pub compactions: u64,
}

/// A partition claimed by this daemon for writing.
#[derive(Debug)]
pub struct Partition {
    id: PartitionId,
    limits: Limits,
    head: Head,
    version: u64,
    dictionary: Dictionary,
    tasks: BTreeMap<u64, TaskState>,
    /// Ended tasks, in the order in which they ended.
    ended: VecDeque<u64>,
    /// Task number by digest of the idempotency key, for dropped tasks; oldest first.
    dropped: IndexMap<[u8; 16], u64>,
    /// Task number by idempotency key, for the entries of `tasks`.
    keys: IndexMap<IdempotencyKey, u64>,
    next_value: u64,
    /// Bytes of records since the last compaction.
    log_bytes: usize,
    pending: Option<Pending>,
    superseded: Option<DaemonId>,
    garbage: Vec<ValueId>,
    stats: Stats,
}

impl Partition {
    pub fn id(&self) -> PartitionId {
        self.id
    }

    /// All tasks kept in the log, including ended ones.
    pub fn tasks(&self) -> impl Iterator<Item = &TaskState> {
        self.tasks.values()
    }

    /// Looks up the task that was submitted with the key, while the key is kept.
    pub fn find_key(&self, key: &IdempotencyKey) -> Option<TaskId> {
        let number = self.keys.get(key).or_else(|| self.dropped.get(&digest(key.as_str())))?;
        Some(TaskId::new(self.id, *number))
    }

    /// The number to assign to the next task.
    pub fn next_number(&self) -> u64 {
        self.head.next_number
    }

    /// Store usage since the partition was loaded.
    pub fn stats(&self) -> Stats {
        self.stats
    }

    /// Whether the outcome of the last write is unknown.
    pub fn unsettled(&self) -> bool {
        self.pending.is_some()
    }

    /// Replaces the size limits.
    pub fn with_limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }

    /// Writes the records durably and atomically, in order.
    pub async fn commit<S: Store>(&mut self, store: &S, records: &[Record]) -> Result<()> {
        self.check_writable()?;
        self.check_own(records)?;
        self.check_keys(records)?;
        if records.is_empty() {
            return Ok(());
        }
        let savepoint = self.dictionary.savepoint();
        let segment = self.dictionary.segment(records);
        let bytes = encode(&segment).len();
        let next = match self.next_head(store, segment, records).await {
            Ok(next) => next,
            Err(error) => {
                self.dictionary.rollback(savepoint);
                return Err(error);
            }
        };
        let change = PendingChange::Records { records: records.to_vec(), bytes };
        let result = self.write_head(store, Pending::new(next, change)).await;
        if matches!(result, Err(Error::NotWritten { .. })) {
            self.dictionary.rollback(savepoint);
        }
        result
    }

    /// Determines whether the last write took effect. Returns `Ok` if it did, or if no write was
    /// pending.
    pub async fn settle<S: Store>(&mut self, store: &S) -> Result<()> {
        match self.pending.take() {
            Some(pending) => self.write_head(store, pending).await,
            None => Ok(()),
        }
    }

    fn check_writable(&self) -> Result<()> {
        if let Some(by) = &self.superseded {
            return Err(Error::Superseded { partition: self.id, by: by.clone() });
        }
        if self.pending.is_some() {
            let reason = "an earlier write is open".to_owned();
            return Err(Error::Unsettled { partition: self.id, reason });
        }
        Ok(())
    }

    fn check_own(&self, records: &[Record]) -> Result<()> {
        match records.iter().find(|record| record.task.partition != self.id) {
            Some(record) => Err(Error::WrongPartition { partition: self.id, task: record.task }),
            None => Ok(()),
        }
    }

    /// Rejects a key that already belongs to another task. The writer's in-memory key index is lost
    /// when it ends, and the next writer is given only the most recently ended tasks. Without this
    /// check, a caller that repeats an older submission would have its task run twice.
    fn check_keys(&self, records: &[Record]) -> Result<()> {
        for record in records {
            let Change::Accepted { key, .. } = &record.change else { continue };
            if let Some(task) = self.find_key(key).filter(|task| *task != record.task) {
                return Err(Error::DuplicateKey { key: key.clone(), task });
            }
        }
        Ok(())
    }

    async fn next_head<S: Store>(
        &mut self,
        store: &S,
        segment: Segment,
        records: &[Record],
    ) -> Result<Head> {
        let mut next = self.head.clone();
        next.last_claim_mut().commit += 1;
        let last = records.iter().map(|record| record.task.number).max().unwrap_or(0);
        next.next_number = next.next_number.max(last + 1);
        next.tail.append(segment);
        let tail = encode(&next.tail);
        if tail.len() > self.limits.tail_bytes {
            let id = self.put_value(store, tail).await?;
            ValueRange::push(&mut next.segments, id);
            next.tail = Segment::default();
        }
        Ok(next)
    }

    fn apply(&mut self, record: &Record) {
        let number = record.task.number;
        if let Change::Accepted { key, spec } = &record.change {
            self.keys.insert(key.clone(), number);
            self.tasks
                .entry(number)
                .or_insert_with(|| TaskState::new(record.task, key.clone(), spec.clone()));
            return;
        }
        let Some(task) = self.tasks.get_mut(&number) else { return };
        let was_ended = task.ended();
        task.apply(&record.change);
        if task.ended() && !was_ended {
            self.ended.push_back(number);
        }
    }

    fn claim(&self) -> &Claim {
        self.head.last_claim()
    }

    fn head_key(&self) -> String {
        head_key(self.id)
    }

    fn not_written(&self, reason: &dyn std::fmt::Display) -> Error {
        Error::NotWritten { partition: self.id, reason: reason.to_string() }
    }

    fn unsettled_error(&self, error: &store::Error) -> Error {
        Error::Unsettled { partition: self.id, reason: error.to_string() }
    }
}
