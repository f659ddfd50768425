//! Writes that are repeated until their outcome is known.

use super::codec::{Dictionary, decode, encode};
use super::head::{Claim, Head, ValueId};
use super::{Error, Partition, Result};
use crate::store::{self, Expect, Store};
use crate::task::Record;
use bytes::Bytes;

/// Tries of one write before it is given up or left unsettled.
pub(super) const WRITE_TRIES: u32 = 4;

/// Tries of one read.
pub(super) const READ_TRIES: u32 = 4;

/// A head on its way to the store.
#[derive(Debug)]
pub(super) struct Pending {
    next: Head,
    change: PendingChange,
    sent: Sent,
}

/// What becomes true here once the head is durable.
#[derive(Debug)]
pub(super) enum PendingChange {
    Records { records: Vec<Record>, bytes: usize },
    Compaction(Box<Compaction>),
}

/// A compaction on its way.
#[derive(Debug)]
pub(super) struct Compaction {
    pub(super) dictionary: Dictionary,
    /// Ended tasks that only leave their key.
    pub(super) dropped: Vec<u64>,
    /// Values that the head named before.
    pub(super) garbage: Vec<ValueId>,
}

/// Whether a try may take effect unseen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sent {
    /// Each try so far surely had no effect.
    Never,
    /// One try's answer was lost; it may even land later.
    Perhaps,
}

/// How one write of the head ended.
enum Written {
    Durable {
        version: u64,
    },
    /// Durable, and another writer went on from there.
    DurableThenSuperseded {
        by: Claim,
    },
    Superseded {
        by: Claim,
    },
}

impl Pending {
    pub(super) fn new(next: Head, change: PendingChange) -> Self {
        Self { next, change, sent: Sent::Never }
    }
}

impl Partition {
    /// Puts a value under a key that no one else writes and no head names yet.
    pub(super) async fn put_value<S: Store>(&mut self, store: &S, buf: Vec<u8>) -> Result<ValueId> {
        let id = ValueId { epoch: self.claim().epoch, number: self.next_value };
        self.next_value += 1;
        let key = id.key(self.id);
        let value = Bytes::from(buf);
        let mut reason = String::new();
        for _ in 0..WRITE_TRIES {
            self.count_write(value.len());
            match store.put(&key, value.clone(), Expect::Absent).await {
                // The key has no other writer, so what is there is an earlier try of this put.
                Ok(_) | Err(store::Error::Conflict { .. }) => return Ok(id),
                Err(error @ store::Error::TooLarge { .. }) => return Err(self.not_written(&error)),
                Err(error) => reason = error.to_string(),
            }
        }
        // It may exist, but no head names it.
        self.garbage.push(id);
        Err(self.not_written(&reason))
    }

    /// Writes the head, or learns that an earlier try did.
    pub(super) async fn write_head<S: Store>(
        &mut self,
        store: &S,
        mut pending: Pending,
    ) -> Result<()> {
        match self.try_head(store, &mut pending).await {
            Ok(Written::Durable { version }) => {
                self.version = version;
                self.put_in_force(pending);
                Ok(())
            }
            Ok(Written::DurableThenSuperseded { by }) => {
                self.put_in_force(pending);
                self.superseded = Some(by.writer);
                Ok(())
            }
            Ok(Written::Superseded { by }) => {
                self.superseded = Some(by.writer.clone());
                Err(Error::Superseded { partition: self.id, by: by.writer })
            }
            Err(error) if pending.sent == Sent::Never => {
                self.discard(&pending.next);
                Err(self.not_written(&error))
            }
            Err(error) => {
                self.pending = Some(pending);
                Err(self.unsettled_error(&error))
            }
        }
    }

    async fn try_head<S: Store>(
        &mut self,
        store: &S,
        pending: &mut Pending,
    ) -> store::Result<Written> {
        let key = self.head_key();
        let value = Bytes::from(encode(&pending.next));
        let expect = Expect::Version(self.version);
        let mut last = None;
        for _ in 0..WRITE_TRIES {
            self.count_write(value.len());
            let error = match store.put(&key, value.clone(), expect).await {
                Ok(version) => return Ok(Written::Durable { version }),
                Err(error) => error,
            };
            match &error {
                store::Error::Conflict { current, .. } => {
                    match self.read_outcome(store, pending, *current).await {
                        Ok(written) => return Ok(written),
                        Err(error) => last = Some(error),
                    }
                }
                store::Error::Unknown { .. } => {
                    pending.sent = Sent::Perhaps;
                    last = Some(error);
                }
                store::Error::TooLarge { .. } => return Err(error),
                store::Error::Unavailable { .. } => last = Some(error),
            }
        }
        Err(last.expect("at least one try was made"))
    }

    /// Reads who moved the head. A read older than `least` is from the past and says nothing.
    async fn read_outcome<S: Store>(
        &mut self,
        store: &S,
        pending: &Pending,
        least: u64,
    ) -> store::Result<Written> {
        let key = self.head_key();
        let least = least.max(self.version + 1);
        let mut last = stale(&key);
        for _ in 0..READ_TRIES {
            self.stats.calls += 1;
            match store.get(&key).await {
                Ok(Some(entry)) if entry.version >= least => {
                    let head: Head = match decode("head", &entry.value) {
                        Ok(head) => head,
                        Err(error) => return Err(unreadable(&key, &error)),
                    };
                    if let Some(written) = judge(pending, &head, entry.version) {
                        return Ok(written);
                    }
                    last = forgotten(&key);
                }
                Ok(_) => last = stale(&key),
                Err(error) => last = error,
            }
        }
        Err(last)
    }

    /// Leaves the values of a head that was not written to be deleted.
    pub(super) fn discard(&mut self, next: &Head) {
        let unnamed: Vec<_> = next.values().filter(|id| !self.head.names(*id)).collect();
        self.garbage.extend(unnamed);
    }

    fn put_in_force(&mut self, pending: Pending) {
        self.head = pending.next;
        match pending.change {
            PendingChange::Records { records, bytes } => {
                self.stats.commits += 1;
                self.stats.record_bytes += bytes as u64;
                self.log_bytes += bytes;
                for record in &records {
                    self.apply(record);
                }
            }
            PendingChange::Compaction(compaction) => self.compacted(*compaction),
        }
    }

    pub(super) fn count_write(&mut self, bytes: usize) {
        self.stats.calls += 1;
        self.stats.bytes_written += bytes as u64;
    }
}

/// What a newer head says of a write, or nothing if it has forgotten the writer's claim.
fn judge(pending: &Pending, head: &Head, version: u64) -> Option<Written> {
    let mine = pending.next.last_claim();
    let latest = head.claim()?;
    let same = |claim: &&Claim| claim.epoch == mine.epoch && claim.nonce == mine.nonce;
    let seen = head.claims.iter().find(same);
    let durable = seen.is_some_and(|claim| claim.commit >= mine.commit);
    match (seen, durable) {
        (Some(seen), true) if seen == latest => Some(Written::Durable { version }),
        (_, true) => Some(Written::DurableThenSuperseded { by: latest.clone() }),
        (Some(_), false) => Some(Written::Superseded { by: latest.clone() }),
        // With no try in doubt it surely was not written, whatever the head remembers.
        (None, false) if pending.sent == Sent::Never => {
            Some(Written::Superseded { by: latest.clone() })
        }
        (None, false) => None,
    }
}

fn stale(key: &str) -> store::Error {
    let reason = "it answered from the past".to_owned();
    store::Error::Unknown { key: key.to_owned(), reason }
}

fn forgotten(key: &str) -> store::Error {
    let reason = "too many writers came since for the head to remember".to_owned();
    store::Error::Unknown { key: key.to_owned(), reason }
}

fn unreadable(key: &str, error: &super::codec::Error) -> store::Error {
    store::Error::Unknown { key: key.to_owned(), reason: error.to_string() }
}
