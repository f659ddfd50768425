//! Loading a partition: claims it, then reads the values that its head references.
//!
//! The claim comes first. After it, no earlier writer can commit or change the references, so the
//! values read next are final, however long reading takes.

use super::codec::{self, Dictionary, Page, Segment, decode, encode};
use super::compact::DroppedKey;
use super::head::{FORMAT, Head, ValueId, head_key, values_prefix};
use super::settle::{MAX_READ_ATTEMPTS, MAX_WRITE_ATTEMPTS};
use super::{Error, Limits, Partition, Result, Stats};
use crate::ids::{DaemonId, PartitionId};
use crate::store::{self, Expect, Store};
use crate::task::TaskState;
use bytes::Bytes;
use indexmap::IndexMap;
use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicU64, Ordering};

/// Values listed under a partition's prefix.
type ListedValues = IndexMap<ValueId, Bytes>;

/// Distinguishes claims of the same daemon.
static NEXT_NONCE: AtomicU64 = AtomicU64::new(1);

/// A loaded partition with the tasks in its log.
#[derive(Debug)]
pub struct Loaded {
    pub partition: Partition,
    /// Tasks by number, including the ended ones that are still kept.
    pub tasks: Vec<TaskState>,
    pub next_number: u64,
}

/// A head with its version in the store, which is zero if no head exists yet.
struct VersionedHead {
    head: Head,
    version: u64,
}

impl Partition {
    /// Claims the partition for `writer` and loads its tasks.
    pub async fn load<S: Store>(store: &S, id: PartitionId, writer: &DaemonId) -> Result<Loaded> {
        let mut attempt = ClaimAttempt::new(store, id, writer);
        let VersionedHead { head, version } = attempt.claim().await?;
        let stats = Stats { calls: attempt.calls, ..Stats::default() };
        let mut partition = Self::new(id, head, version, stats);
        partition.read_values(store).await?;
        let tasks = partition.tasks.values().cloned().collect();
        let next_number = partition.next_number();
        Ok(Loaded { partition, tasks, next_number })
    }

    fn new(id: PartitionId, head: Head, version: u64, stats: Stats) -> Self {
        Self {
            id,
            limits: Limits::default(),
            head,
            version,
            dictionary: Dictionary::default(),
            tasks: BTreeMap::new(),
            ended: VecDeque::new(),
            dropped: IndexMap::new(),
            keys: IndexMap::new(),
            next_value: 1,
            log_bytes: 0,
            pending: None,
            superseded: None,
            garbage: Vec::new(),
            stats,
        }
    }

    /// Reads the pages, segments and tail in the order in which they were written, which decoding
    /// requires, and the archives.
    async fn read_values<S: Store>(&mut self, store: &S) -> Result<()> {
        let mut found = self.list_values(store).await?;
        let pages: Vec<_> = self.head.pages.iter().flat_map(super::ValueRange::values).collect();
        let segments: Vec<_> =
            self.head.segments.iter().flat_map(super::ValueRange::values).collect();
        for id in pages {
            let buf = self.take_value(store, &mut found, id).await?;
            self.read_page(&buf).map_err(|source| self.corrupt(id, source))?;
        }
        for id in segments {
            let buf = self.take_value(store, &mut found, id).await?;
            self.log_bytes += buf.len();
            let segment = decode("segment", &buf).map_err(|source| self.corrupt(id, source))?;
            self.read_segment(&segment).map_err(|source| self.corrupt(id, source))?;
        }
        for archive in self.head.archives.clone() {
            let buf = self.take_value(store, &mut found, archive.id).await?;
            let keys: Vec<DroppedKey> =
                decode("archive", &buf).map_err(|source| self.corrupt(archive.id, source))?;
            keys.iter().for_each(|key| self.insert_dropped_key(key));
        }
        let tail = self.head.tail.clone();
        self.log_bytes += encode(&tail).len();
        let key = self.head_key();
        self.read_segment(&tail).map_err(|source| Error::Corrupt { key, source })?;
        self.collect_orphans(&found);
        Ok(())
    }

    /// Reads all values with one call, since each call counts against the store's rate limit.
    async fn list_values<S: Store>(&mut self, store: &S) -> Result<ListedValues> {
        if self.head.values().next().is_none() && self.claim().epoch == 1 {
            return Ok(ListedValues::new());
        }
        let prefix = values_prefix(self.id);
        let mut reason = String::new();
        for _ in 0..MAX_READ_ATTEMPTS {
            self.stats.calls += 1;
            match store.list(&prefix).await {
                Ok(entries) => {
                    return Ok(entries
                        .into_iter()
                        .filter_map(|e| Some((ValueId::from_key(self.id, &e.key)?, e.value)))
                        .collect());
                }
                Err(error) => reason = error.to_string(),
            }
        }
        Err(self.unreadable(reason))
    }

    /// Takes a listed value, or reads it if the list is older than the value.
    async fn take_value<S: Store>(
        &mut self,
        store: &S,
        found: &mut ListedValues,
        id: ValueId,
    ) -> Result<Bytes> {
        if let Some(buf) = found.shift_remove(&id) {
            return Ok(buf);
        }
        let key = id.key(self.id);
        let mut reason = None;
        for _ in 0..MAX_READ_ATTEMPTS {
            self.stats.calls += 1;
            match store.get(&key).await {
                Ok(Some(entry)) => return Ok(entry.value),
                Ok(None) => {}
                Err(error) => reason = Some(error.to_string()),
            }
        }
        Err(reason.map_or(Error::Missing { key }, |reason| self.unreadable(reason)))
    }

    fn read_page(&mut self, buf: &[u8]) -> codec::Result<()> {
        let page: Page = decode("page", buf)?;
        for task in self.dictionary.tasks(self.id, &page)? {
            if task.ended() {
                self.ended.push_back(task.id.number);
            }
            self.keys.insert(task.key.clone(), task.id.number);
            self.tasks.insert(task.id.number, task);
        }
        Ok(())
    }

    fn read_segment(&mut self, segment: &Segment) -> codec::Result<()> {
        for record in &self.dictionary.records(self.id, segment)? {
            self.apply(record);
        }
        Ok(())
    }

    /// Schedules the deletion of unreferenced values of earlier claims, whose writers can no longer
    /// commit. Values of later claims are kept, because a head may soon reference them.
    fn collect_orphans(&mut self, found: &ListedValues) {
        let epoch = self.claim().epoch;
        self.garbage.extend(found.keys().filter(|id| id.epoch < epoch));
    }

    fn corrupt(&self, id: ValueId, source: codec::Error) -> Error {
        Error::Corrupt { key: id.key(self.id), source }
    }

    fn unreadable(&self, reason: String) -> Error {
        Error::Unreadable { partition: self.id, reason }
    }
}

/// An attempt to claim a partition.
struct ClaimAttempt<'a, S> {
    store: &'a S,
    id: PartitionId,
    writer: &'a DaemonId,
    nonce: u64,
    calls: u64,
}

impl<'a, S: Store> ClaimAttempt<'a, S> {
    fn new(store: &'a S, id: PartitionId, writer: &'a DaemonId) -> Self {
        let nonce = NEXT_NONCE.fetch_add(1, Ordering::Relaxed);
        Self { store, id, writer, nonce, calls: 0 }
    }

    async fn claim(&mut self) -> Result<VersionedHead> {
        let mut read = self.read(0).await?;
        let mut reason = String::new();
        for _ in 0..MAX_WRITE_ATTEMPTS {
            let next = read.head.with_claim(self.writer, self.nonce);
            self.calls += 1;
            let value = Bytes::from(encode(&next));
            let error = match self.store.put(&head_key(self.id), value, expect(&read)).await {
                Ok(version) => return Ok(VersionedHead { head: next, version }),
                Err(error) => error,
            };
            reason = error.to_string();
            if let store::Error::Conflict { current, .. } = error {
                let seen = self.read(current).await?;
                if self.is_own_claim(&seen.head) {
                    return Ok(seen);
                }
                if seen.head.claim().map(|c| c.epoch) != read.head.claim().map(|c| c.epoch) {
                    return Err(self.superseded(&seen.head));
                }
                read = seen;
            }
        }
        Err(Error::Unreadable { partition: self.id, reason })
    }

    /// Reads the head, rejecting versions older than `min_version`.
    async fn read(&mut self, min_version: u64) -> Result<VersionedHead> {
        let key = head_key(self.id);
        let mut reason = "the store returned a stale version".to_owned();
        for _ in 0..MAX_READ_ATTEMPTS {
            self.calls += 1;
            match self.store.get(&key).await {
                Ok(Some(entry)) if entry.version >= min_version => {
                    let head: Head = decode("head", &entry.value)
                        .and_then(check_format)
                        .map_err(|source| Error::Corrupt { key: key.clone(), source })?;
                    return Ok(VersionedHead { head, version: entry.version });
                }
                Ok(None) if min_version == 0 => {
                    return Ok(VersionedHead { head: Head::new(), version: 0 });
                }
                Ok(_) => {}
                Err(error) => reason = error.to_string(),
            }
        }
        Err(Error::Unreadable { partition: self.id, reason })
    }

    fn is_own_claim(&self, head: &Head) -> bool {
        head.claim().is_some_and(|c| c.nonce == self.nonce && c.writer == *self.writer)
    }

    fn superseded(&self, head: &Head) -> Error {
        let by = head.claim().map_or_else(|| self.writer.clone(), |claim| claim.writer.clone());
        Error::Superseded { partition: self.id, by }
    }
}

fn expect(read: &VersionedHead) -> Expect {
    match read.version {
        0 => Expect::Absent,
        version => Expect::Version(version),
    }
}

fn check_format(head: Head) -> codec::Result<Head> {
    if head.format == FORMAT { Ok(head) } else { Err(codec::Error::Format { kind: "head" }) }
}
