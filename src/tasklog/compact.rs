//! Compaction: replaces records with the current state of the tasks.
//!
//! New pages are written under new keys, then the head is swapped to reference them, and only then
//! are the old values deleted. A writer that crashes in between leaves unreferenced values, which
//! the next writer deletes.
//!
//! The most recently ended tasks are kept in full. For older ones, only a digest of the
//! idempotency key is kept, in archives that are written once and deleted whole, oldest first.

use super::codec::{Dictionary, Page, Segment, encode};
use super::head::{Archive, Head, ValueRange};
use super::settle::{Compaction, Pending, PendingChange};
use super::{Partition, Result};
use crate::store::{Expect, Store};
use crate::task::{Outcome, Phase, TaskState};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

/// Maximum number of values deleted by one sweep, so that a sweep does not delay commits.
const MAX_DELETES_PER_SWEEP: usize = 8;

/// Upper bound of a task's encoded size without its variable-length texts.
const MAX_FIXED_TASK_BYTES: usize = 96;

/// The idempotency key of a task that was dropped.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct DroppedKey {
    pub(super) digest: [u8; 16],
    pub(super) number: u64,
}

impl DroppedKey {
    fn new(task: &TaskState) -> Self {
        Self { digest: digest(task.key.as_str()), number: task.id.number }
    }
}

/// Digest that replaces an idempotency key once its task is dropped.
pub(super) fn digest(key: &str) -> [u8; 16] {
    xxh3_128(key.as_bytes()).to_le_bytes()
}

impl Partition {
    /// Whether the records since the last compaction have reached `Limits::log_bytes`.
    pub fn compact_due(&self) -> bool {
        self.pending.is_none()
            && self.superseded.is_none()
            && self.log_bytes >= self.limits.log_bytes
    }

    /// Rewrites the partition's tasks as pages and drops the records.
    pub async fn compact<S: Store>(&mut self, store: &S) -> Result<()> {
        self.check_writable()?;
        let dropped = self.excess_ended();
        let mut dictionary = Dictionary::default();
        let mut next = self.head.clone();
        next.last_claim_mut().commit += 1;
        next.pages.clear();
        next.segments.clear();
        next.tail = Segment::default();
        if let Err(error) = self.put_pages(store, &mut next, &mut dictionary, &dropped).await {
            self.discard(&next);
            return Err(error);
        }
        self.evict_archives(&mut next);
        let garbage = self.head.values().filter(|id| !next.references(*id)).collect();
        let compaction = Compaction { dictionary, dropped, garbage };
        let change = PendingChange::Compaction(Box::new(compaction));
        self.write_head(store, Pending::new(next, change)).await
    }

    async fn put_pages<S: Store>(
        &mut self,
        store: &S,
        next: &mut Head,
        dictionary: &mut Dictionary,
        dropped: &[u64],
    ) -> Result<()> {
        for page in self.pages(dictionary, dropped.len()) {
            let id = self.put_value(store, encode(&page)).await?;
            ValueRange::push(&mut next.pages, id);
        }
        let keys: Vec<_> = self.dropped_keys(dropped).collect();
        if !keys.is_empty() {
            let id = self.put_value(store, encode(&keys)).await?;
            next.archives.push(Archive { id, count: keys.len() });
        }
        Ok(())
    }

    /// Deletes some unreferenced values and returns the number of those that remain.
    pub async fn sweep<S: Store>(&mut self, store: &S) -> usize {
        for _ in 0..MAX_DELETES_PER_SWEEP {
            let Some(id) = self.garbage.pop() else { break };
            self.stats.calls += 1;
            if store.delete(&id.key(self.id), Expect::Any).await.is_err() {
                self.garbage.push(id);
                break;
            }
        }
        self.garbage.len()
    }

    pub(super) fn finish_compaction(&mut self, compaction: Compaction) {
        self.stats.compactions += 1;
        self.log_bytes = 0;
        self.dictionary = compaction.dictionary;
        self.garbage.extend(compaction.garbage);
        for number in compaction.dropped {
            self.ended.pop_front();
            if let Some(task) = self.tasks.remove(&number) {
                self.keys.shift_remove(&task.key);
                self.insert_dropped_key(&DroppedKey::new(&task));
            }
        }
        let kept: usize = self.head.archives.iter().map(|archive| archive.count).sum();
        let surplus = self.dropped.len().saturating_sub(kept);
        self.dropped.drain(..surplus);
    }

    pub(super) fn insert_dropped_key(&mut self, key: &DroppedKey) {
        // A repeated digest moves to the end, because the last archive that contains it decides how
        // long it is kept.
        self.dropped.shift_remove(&key.digest);
        self.dropped.insert(key.digest, key.number);
    }

    /// The ended tasks beyond `Limits::ended_tasks`, earliest ended first.
    fn excess_ended(&self) -> Vec<u64> {
        let surplus = self.ended.len().saturating_sub(self.limits.ended_tasks);
        self.ended.iter().take(surplus).copied().collect()
    }

    fn dropped_keys<'a>(&'a self, dropped: &'a [u64]) -> impl Iterator<Item = DroppedKey> + 'a {
        dropped.iter().filter_map(|number| self.tasks.get(number)).map(DroppedKey::new)
    }

    fn evict_archives(&self, next: &mut Head) {
        let mut count: usize = next.archives.iter().map(|archive| archive.count).sum();
        while let Some(oldest) = next.archives.first() {
            if count - oldest.count < self.limits.dropped_keys {
                break;
            }
            count -= oldest.count;
            next.archives.remove(0);
        }
    }

    /// Builds pages of the open tasks by number, then of the ended ones in the order they ended.
    fn pages(&self, dictionary: &mut Dictionary, dropped: usize) -> Vec<Page> {
        let open = self.tasks.values().filter(|task| !task.ended());
        let ended = self.ended.iter().skip(dropped).filter_map(|number| self.tasks.get(number));
        let mut pages = Vec::new();
        let mut chunk = Vec::new();
        let mut size = 0;
        for task in open.chain(ended) {
            let task_size = max_encoded_size(task);
            if size + task_size > self.limits.page_bytes && !chunk.is_empty() {
                pages.push(dictionary.page(&chunk));
                chunk.clear();
                size = 0;
            }
            chunk.push(task);
            size += task_size;
        }
        if !chunk.is_empty() {
            pages.push(dictionary.page(&chunk));
        }
        pages
    }
}

/// Upper bound of a task's encoded size in a page, without its additions to the dictionary.
fn max_encoded_size(task: &TaskState) -> usize {
    let reason = match &task.phase {
        Phase::Ended { outcome: Outcome::Failed { reason } | Outcome::Unknown { reason } } => {
            reason.len()
        }
        _ => 0,
    };
    let checkpoint = task.checkpoint.as_ref().map_or(0, |id| id.as_str().len());
    MAX_FIXED_TASK_BYTES + task.key.as_str().len() + task.spec.payload.len() + checkpoint + reason
}
