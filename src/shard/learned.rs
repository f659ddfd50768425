//! What a shard has learned itself, as reported to other shards and as kept in the store.
//!
//! A shard learns run times by queue and interference by pair of images. Its owner reports them to
//! the other daemons, and writes them to the store with commits that are due anyway. The next owner
//! starts from the newer of the record and the last report that its daemon has heard, never from
//! both. Other shards keep a report by the name of the shard that it is of, so the next owner's
//! report replaces that of its predecessor and nothing is counted twice.
//!
//! The weight of what is learned falls with its age, so that queues and images that are gone are
//! forgotten. A record starts with a version. One of another version, or one that can't be decoded,
//! is dropped: learning starts again, and nothing else depends on it.

#[cfg(test)]
mod tests;

use super::Shard;
use super::interference::{Estimate, Pair, PairEstimate};
use super::run_times::{QueueRunTimes, Regression};
use crate::job::progress::{decode, encode};
use crate::job::{Image, QueueName};
use crate::note::{Millis, Note, StaticText};
use bytes::Bytes;
use indexmap::IndexSet;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Result of decoding a record.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a record can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    #[error("the record has version {0}, not {VERSION}")]
    Version(u8),
    #[error("the record has {0} bytes, more than {MAX_RECORD_BYTES}")]
    TooLarge(usize),
    #[error("the record can't be decoded: {0}")]
    Malformed(String),
    #[error("the record holds impossible values")]
    Invalid,
}

/// Version of the record's format.
const VERSION: u8 = 1;

/// Maximum size of a record. A commit of some jobs has about the same size.
const MAX_RECORD_BYTES: usize = 4096;

/// Part of the record that run times may take; the rest is for pairs of images.
const MAX_RUN_TIME_BYTES: usize = MAX_RECORD_BYTES / 2;

/// Minimum time between two writes of the record.
const RECORD_INTERVAL: Duration = Duration::from_secs(10);

/// Time after which what was learned counts half.
const HALF_LIFE: Duration = Duration::from_secs(3600);

/// Encoded size of the version, the time and the lengths of the lists.
const HEADER_BYTES: usize = 24;

/// Encoded size of a regression, of a pair's indices and estimate, and of the length of a name.
const REGRESSION_BYTES: usize = 48;
const PAIR_BYTES: usize = 22;
const NAME_LEN_BYTES: usize = 3;

/// A shard and what it has learned itself.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardLearned {
    pub shard: String,
    pub learned: Learned,
}

/// What one shard has learned itself.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Learned {
    pub run_times: Vec<QueueRunTimes>,
    pub pairs: Vec<PairEstimate>,
}

impl Learned {
    /// Returns whether nothing is learned.
    pub fn is_empty(&self) -> bool {
        self.run_times.is_empty() && self.pairs.is_empty()
    }

    /// Returns what is left of it after some time.
    pub fn aged(mut self, age: Duration) -> Self {
        let factor = weight_after(age);
        for known in &mut self.run_times {
            known.times = known.times.scaled(factor);
        }
        for known in &mut self.pairs {
            known.amount = known.amount.scaled(factor);
        }
        self.run_times.retain(|known| known.times.is_significant());
        self.pairs.retain(|known| known.amount.is_significant());
        self
    }

    fn is_valid(&self) -> bool {
        self.run_times.iter().all(|known| known.times.is_valid())
            && self.pairs.iter().all(|known| known.amount.is_valid())
    }
}

/// What is known of a shard's learned state as the shard is claimed.
#[derive(Clone, Debug, Default)]
pub struct Inherited {
    pub record: StoredRecord,
    /// Last report of the shard that this daemon has heard.
    pub report: Option<HeardReport>,
}

/// The record as read from the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum StoredRecord {
    #[default]
    Absent,
    Found(Bytes),
    /// The store didn't return the record.
    Unread {
        reason: String,
    },
}

/// A report on what a shard has learned.
#[derive(Clone, Debug)]
pub struct HeardReport {
    pub learned: Learned,
    /// Time since it was received.
    pub age: Duration,
}

/// The record in the store, with names of images given once.
#[derive(Debug, Serialize, Deserialize)]
struct Record {
    /// Wall-clock time of the write, in milliseconds.
    written_ms: u64,
    queues: Vec<(QueueName, Regression)>,
    images: Vec<Image>,
    pairs: Vec<(u16, u16, Estimate)>,
}

/// Encodes a record, leaving out what has least weight if it would be too large.
fn encode_record(learned: &Learned, wall: Duration) -> Vec<u8> {
    let written_ms = u64::try_from(wall.as_millis()).unwrap_or(u64::MAX);
    let mut record =
        Record { written_ms, queues: Vec::new(), images: Vec::new(), pairs: Vec::new() };
    let mut bytes = HEADER_BYTES;
    let mut run_times: Vec<&QueueRunTimes> = learned.run_times.iter().collect();
    run_times.sort_by(|a, b| b.times.weight().total_cmp(&a.times.weight()));
    for known in run_times {
        let size = known.queue.as_str().len() + NAME_LEN_BYTES + REGRESSION_BYTES;
        if bytes + size <= MAX_RUN_TIME_BYTES {
            bytes += size;
            record.queues.push((known.queue.clone(), known.times));
        }
    }
    let mut pairs: Vec<&PairEstimate> = learned.pairs.iter().collect();
    pairs.sort_by(|a, b| b.amount.weight().total_cmp(&a.amount.weight()));
    let mut images: IndexSet<&Image> = IndexSet::new();
    for known in pairs {
        let Pair { leftover, serving } = &known.pair;
        let new: IndexSet<&Image> =
            [leftover, serving].into_iter().filter(|image| !images.contains(*image)).collect();
        let names: usize = new.iter().map(|image| image.as_str().len() + NAME_LEN_BYTES).sum();
        if bytes + names + PAIR_BYTES > MAX_RECORD_BYTES {
            continue;
        }
        bytes += names + PAIR_BYTES;
        images.extend(new);
        let mut index = |image| u16::try_from(images.insert_full(image).0).unwrap_or(u16::MAX);
        record.pairs.push((index(leftover), index(serving), known.amount));
    }
    record.images = images.into_iter().cloned().collect();
    let mut encoded = vec![VERSION];
    encoded.extend(encode(&record));
    encoded
}

/// Decodes a record, with the wall-clock time at which it was written.
fn decode_record(bytes: &[u8]) -> Result<(Learned, Duration)> {
    if bytes.len() > MAX_RECORD_BYTES {
        return Err(Error::TooLarge(bytes.len()));
    }
    let malformed = |reason: &str| Error::Malformed(reason.to_owned());
    let (version, rest) = bytes.split_first().ok_or_else(|| malformed("it is empty"))?;
    if *version != VERSION {
        return Err(Error::Version(*version));
    }
    let record: Record = decode(rest).map_err(|e| malformed(&e.to_string()))?;
    let image = |index: u16| record.images.get(usize::from(index)).cloned();
    let pair = |(leftover, serving, amount): &(u16, u16, Estimate)| {
        let pair = Pair { leftover: image(*leftover)?, serving: image(*serving)? };
        Some(PairEstimate { pair, amount: *amount })
    };
    let pairs: Option<Vec<PairEstimate>> = record.pairs.iter().map(pair).collect();
    let pairs = pairs.ok_or_else(|| malformed("a pair names an image that isn't in it"))?;
    let run_times = record.queues.into_iter().map(|(queue, times)| QueueRunTimes { queue, times });
    let learned = Learned { run_times: run_times.collect(), pairs };
    if !learned.is_valid() {
        return Err(Error::Invalid);
    }
    Ok((learned, Duration::from_millis(record.written_ms)))
}

/// Weight that is left of what was learned this long ago.
fn weight_after(age: Duration) -> f64 {
    (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
}

/// When the learned state was last written and aged.
#[derive(Clone, Copy, Debug)]
pub(super) struct RecordClock {
    next_write: Duration,
    last_decay: Duration,
}

impl RecordClock {
    /// Creates the clock of a shard that is claimed now.
    pub fn new(now: Duration) -> Self {
        Self { next_write: now + RECORD_INTERVAL, last_decay: now }
    }

    /// Has the record written with the next commit.
    pub fn write_soon(&mut self) {
        self.next_write = Duration::ZERO;
    }
}

impl Shard {
    /// Returns what this shard has learned itself.
    pub fn learned(&self) -> Learned {
        let pairs = self.interference.learned_weighted(self.now.steady, weight_after);
        // An owner without commits doesn't decay what it holds.
        let passed = self.now.steady.saturating_sub(self.record_clock.last_decay);
        let mut run_times = self.run_times.learned();
        run_times
            .iter_mut()
            .for_each(|known| known.times = known.times.scaled(weight_after(passed)));
        run_times.retain(|known| known.times.is_significant());
        Learned { run_times, pairs }
    }

    /// Starts from what an earlier owner had learned.
    pub(super) fn restore_learned(&mut self, inherited: Inherited) {
        let recorded = match inherited.record {
            StoredRecord::Absent => None,
            StoredRecord::Found(bytes) => match decode_record(&bytes) {
                // The clock may have been set back since.
                Ok((learned, at)) => Some((learned, self.now.wall.saturating_sub(at))),
                Err(e) => {
                    self.note_unreadable(e.to_string());
                    None
                }
            },
            StoredRecord::Unread { reason } => {
                self.note_unreadable(reason);
                None
            }
        };
        let recorded = recorded.map(|(learned, age)| ("record", learned, age));
        let heard = inherited.report.filter(|heard| heard.learned.is_valid());
        let heard = heard.map(|heard| ("report", heard.learned, heard.age));
        let newest = recorded.into_iter().chain(heard).min_by_key(|(_, _, age)| *age);
        let Some((source, learned, age)) = newest else { return };
        self.start_from(source, learned.aged(age), age);
    }

    fn start_from(&mut self, source: StaticText, learned: Learned, age: Duration) {
        let shard = self.name.clone();
        let (queues, pairs) = (learned.run_times.len(), learned.pairs.len());
        self.interference.restore(&learned.pairs, self.now.steady);
        self.run_times.restore(learned.run_times);
        self.note(Note::LearnedRestored { shard, source, queues, pairs, age_ms: Millis(age) });
    }

    fn note_unreadable(&mut self, reason: String) {
        self.note(Note::LearnedUnreadable { shard: self.name.clone(), reason });
    }

    /// Merges what other shards have learned.
    pub(super) fn merge_reports(&mut self, reports: &[ShardLearned]) {
        for report in reports {
            self.merge_learned(&report.shard, report.learned.clone());
        }
    }

    /// Merges what another shard has learned. A report of this shard is of an earlier owner, whose
    /// knowledge this owner has started from.
    pub(super) fn merge_learned(&mut self, from: &str, learned: Learned) {
        if from == self.name {
            return;
        }
        if !learned.is_valid() {
            return self
                .note_unreadable(format!("the report of shard {from} has impossible values"));
        }
        self.interference.merge(from, &learned.pairs);
        self.run_times.merge(from, learned.run_times);
    }

    /// Returns the record of what this shard has learned, if it is to be written with a commit made
    /// now.
    pub(super) fn due_learned_record(&mut self) -> Option<Vec<u8>> {
        let now = self.now.steady;
        if now < self.record_clock.next_write {
            return None;
        }
        self.record_clock.next_write = now + RECORD_INTERVAL;
        let passed = now.saturating_sub(self.record_clock.last_decay);
        self.record_clock.last_decay = now;
        self.run_times.decay(weight_after(passed));
        self.interference.decay(weight_after(passed), now, weight_after);
        let learned = self.learned();
        (!learned.is_empty()).then(|| encode_record(&learned, self.now.wall))
    }
}
