//! Writes that are retried until their outcome is known.

use super::codec::{Dictionary, decode, encode};
use super::head::{Claim, Head, ValueId};
use super::{Error, Partition, Result};
use crate::store::{self, Expect, Store};
use crate::task::Record;
use bytes::Bytes;

/// Maximum attempts of one write before it fails or is left unsettled.
pub(super) const MAX_WRITE_ATTEMPTS: u32 = 4;

/// Maximum attempts of one read.
pub(super) const MAX_READ_ATTEMPTS: u32 = 4;

/// A write of the head that has not been confirmed.
#[derive(Debug)]
pub(super) struct Pending {
    next: Head,
    change: PendingChange,
    effect: Effect,
}

/// The change to the partition's in-memory state once the head is durable.
#[derive(Debug)]
pub(super) enum PendingChange {
    Records { records: Vec<Record>, bytes: usize },
    Compaction(Box<Compaction>),
}

/// The state to install after a compaction.
#[derive(Debug)]
pub(super) struct Compaction {
    pub(super) dictionary: Dictionary,
    /// Ended tasks of which only the key is kept.
    pub(super) dropped: Vec<u64>,
    /// Values that the previous head referenced and the new one does not.
    pub(super) garbage: Vec<ValueId>,
}

/// Whether earlier attempts of a write can have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Effect {
    /// No attempt had or will have an effect.
    None,
    /// The response to an attempt was lost; the request may still arrive later.
    Possible,
}

/// The known outcome of a write of the head.
enum WriteOutcome {
    Durable {
        version: u64,
    },
    /// The write is durable, and another writer has claimed the partition since.
    DurableThenSuperseded {
        by: Claim,
    },
    Superseded {
        by: Claim,
    },
}

impl Pending {
    pub(super) fn new(next: Head, change: PendingChange) -> Self {
        Self { next, change, effect: Effect::None }
    }
}

impl Partition {
    /// Writes a value under a key that has no other writer and that no head references yet.
    pub(super) async fn put_value<S: Store>(&mut self, store: &S, buf: Vec<u8>) -> Result<ValueId> {
        let id = ValueId { epoch: self.claim().epoch, number: self.next_value };
        self.next_value += 1;
        let key = id.key(self.id);
        let value = Bytes::from(buf);
        let mut reason = String::new();
        for _ in 0..MAX_WRITE_ATTEMPTS {
            self.count_write(value.len());
            match store.put(&key, value.clone(), Expect::Absent).await {
                // The key has no other writer, so on a conflict an earlier attempt has succeeded.
                Ok(_) | Err(store::Error::Conflict { .. }) => return Ok(id),
                Err(error @ store::Error::TooLarge { .. }) => return Err(self.not_written(&error)),
                Err(error) => reason = error.to_string(),
            }
        }
        // The value may exist, but no head references it.
        self.garbage.push(id);
        Err(self.not_written(&reason))
    }

    /// Writes the head, or finds that an earlier attempt already has.
    pub(super) async fn write_head<S: Store>(
        &mut self,
        store: &S,
        mut pending: Pending,
    ) -> Result<()> {
        match self.put_head(store, &mut pending).await {
            Ok(WriteOutcome::Durable { version }) => {
                self.version = version;
                self.apply_pending(pending);
                Ok(())
            }
            Ok(WriteOutcome::DurableThenSuperseded { by }) => {
                self.apply_pending(pending);
                self.superseded = Some(by.writer);
                Ok(())
            }
            Ok(WriteOutcome::Superseded { by }) => {
                self.superseded = Some(by.writer.clone());
                Err(Error::Superseded { partition: self.id, by: by.writer })
            }
            Err(error) if pending.effect == Effect::None => {
                self.discard(&pending.next);
                Err(self.not_written(&error))
            }
            Err(error) => {
                self.pending = Some(pending);
                Err(self.unsettled_error(&error))
            }
        }
    }

    async fn put_head<S: Store>(
        &mut self,
        store: &S,
        pending: &mut Pending,
    ) -> store::Result<WriteOutcome> {
        let key = self.head_key();
        let value = Bytes::from(encode(&pending.next));
        let expect = Expect::Version(self.version);
        let mut last = None;
        for _ in 0..MAX_WRITE_ATTEMPTS {
            self.count_write(value.len());
            let error = match store.put(&key, value.clone(), expect).await {
                Ok(version) => return Ok(WriteOutcome::Durable { version }),
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
                    pending.effect = Effect::Possible;
                    last = Some(error);
                }
                store::Error::TooLarge { .. } => return Err(error),
                store::Error::Unavailable { .. } => last = Some(error),
            }
        }
        Err(last.expect("at least one attempt was made"))
    }

    /// Reads the head after a conflict to determine the outcome of the write. A read older than
    /// `min_version` is stale and proves nothing.
    async fn read_outcome<S: Store>(
        &mut self,
        store: &S,
        pending: &Pending,
        min_version: u64,
    ) -> store::Result<WriteOutcome> {
        let key = self.head_key();
        let min_version = min_version.max(self.version + 1);
        let mut last = stale_read_error(&key);
        for _ in 0..MAX_READ_ATTEMPTS {
            self.stats.calls += 1;
            match store.get(&key).await {
                Ok(Some(entry)) if entry.version >= min_version => {
                    let head: Head = match decode("head", &entry.value) {
                        Ok(head) => head,
                        Err(error) => return Err(unreadable(&key, &error)),
                    };
                    if let Some(written) = write_outcome(pending, &head, entry.version) {
                        return Ok(written);
                    }
                    last = claim_evicted_error(&key);
                }
                Ok(_) => last = stale_read_error(&key),
                Err(error) => last = error,
            }
        }
        Err(last)
    }

    /// Schedules the deletion of the values that only the unwritten head `next` references.
    pub(super) fn discard(&mut self, next: &Head) {
        let unnamed: Vec<_> = next.values().filter(|id| !self.head.references(*id)).collect();
        self.garbage.extend(unnamed);
    }

    fn apply_pending(&mut self, pending: Pending) {
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
            PendingChange::Compaction(compaction) => self.finish_compaction(*compaction),
        }
    }

    pub(super) fn count_write(&mut self, bytes: usize) {
        self.stats.calls += 1;
        self.stats.bytes_written += bytes as u64;
    }
}

/// Determines a write's outcome from a newer head. Returns `None` if the head no longer lists the
/// writer's claim and an attempt may have taken effect.
fn write_outcome(pending: &Pending, head: &Head, version: u64) -> Option<WriteOutcome> {
    let mine = pending.next.last_claim();
    let latest = head.claim()?;
    let same = |claim: &&Claim| claim.epoch == mine.epoch && claim.nonce == mine.nonce;
    let seen = head.claims.iter().find(same);
    let durable = seen.is_some_and(|claim| claim.commit >= mine.commit);
    match (seen, durable) {
        (Some(seen), true) if seen == latest => Some(WriteOutcome::Durable { version }),
        (_, true) => Some(WriteOutcome::DurableThenSuperseded { by: latest.clone() }),
        (Some(_), false) => Some(WriteOutcome::Superseded { by: latest.clone() }),
        // No attempt can have taken effect, so the claim's absence from the head does not matter.
        (None, false) if pending.effect == Effect::None => {
            Some(WriteOutcome::Superseded { by: latest.clone() })
        }
        (None, false) => None,
    }
}

fn stale_read_error(key: &str) -> store::Error {
    let reason = "it answered from the past".to_owned();
    store::Error::Unknown { key: key.to_owned(), reason }
}

fn claim_evicted_error(key: &str) -> store::Error {
    let reason = "the head no longer lists this writer's claim".to_owned();
    store::Error::Unknown { key: key.to_owned(), reason }
}

fn unreadable(key: &str, error: &super::codec::Error) -> store::Error {
    store::Error::Unknown { key: key.to_owned(), reason: error.to_string() }
}
