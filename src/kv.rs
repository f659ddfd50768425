//! The port to the platform's store, where everything that must last is kept.
//!
//! The store offers transactions under conditions on several keys, leases, and watches of a range.
//! It may be slow, down, or away from some daemons only, and may lose an answer after the write
//! took effect, or carry a write out late; [`Error`] keeps these apart.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::future::Future;
use std::time::Duration;

/// Result of a call.
pub type Result<T> = std::result::Result<T, Error>;

/// Most conditions, writes and deletions of one transaction together.
pub const MAX_TXN_ENTRIES: usize = 32;

/// A failed call.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum Error {
    /// A condition didn't hold; the present items of the conditions' keys.
    #[error("the store has newer values; read them and decide again")]
    Conflict { items: Vec<Item> },
    #[error("the lease has ended; ask for another one")]
    LeaseEnded,
    /// What was to be watched is no longer kept.
    #[error("the store's history doesn't reach back that far; read the range again")]
    HistoryGone,
    /// There is an answer, larger than was asked for or than a client takes.
    #[error("{reason}; ask for less, split the value, or raise the limit on answers")]
    TooLarge { reason: String },
    /// The call surely had no effect, now or later.
    #[error("the store refused the call ({reason}); try again in a moment")]
    Refused { reason: String },
    /// The call may have taken effect, or may still.
    #[error("the store did not answer ({reason}); read back what became of the call")]
    NoAnswer { reason: String },
}

impl Error {
    /// Whether the store could not be reached, or was not able to serve.
    pub fn is_outage(&self) -> bool {
        matches!(self, Self::Refused { .. } | Self::NoAnswer { .. })
    }
}

/// A revision of the store; rises with each change of any key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Rev(pub u64);

impl Rev {
    /// That of a key that doesn't exist.
    pub const ABSENT: Self = Self(0);
}

/// A lease; keys attached to it go when it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeaseId(pub u64);

/// A value as stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    pub key: String,
    pub value: Bytes,
    /// Revision of its last change.
    pub rev: Rev,
}

/// Changes that take effect together or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Txn {
    pub conditions: Vec<Condition>,
    pub puts: Vec<Put>,
    pub deletes: Vec<String>,
}

impl Txn {
    /// Conditions, writes and deletions together.
    pub fn entries(&self) -> usize {
        self.conditions.len() + self.puts.len() + self.deletes.len()
    }
}

/// A key's revision that a transaction rests on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    pub key: String,
    pub rev: Rev,
}

/// A value to write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Put {
    pub key: String,
    pub value: Bytes,
    pub lease: Option<LeaseId>,
}

/// Part of a range.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    pub items: Vec<Item>,
    /// Whether keys after the last item are left.
    pub more: More,
    /// Revision of the store when the page was read.
    pub at: Rev,
}

/// Whether a range goes on after a page.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum More {
    #[default]
    No,
    Yes,
}

/// How fresh a read has to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    Latest,
    /// May be seconds old; far cheaper.
    Stale,
}

/// A change of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    Put(Item),
    Deleted { key: String },
}

/// Changes of a range.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    pub changes: Vec<Change>,
    /// Revision to go on from.
    pub at: Rev,
}

/// A range to wait on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Watch {
    pub prefix: String,
    pub after: Rev,
    pub wait: Duration,
    /// Answers with more bytes aren't read: [`Error::TooLarge`].
    pub most_bytes: usize,
}

impl Watch {
    /// A watch that reads answers of any size.
    pub fn new(prefix: &str, after: Rev, wait: Duration) -> Self {
        Self { prefix: prefix.to_owned(), after, wait, most_bytes: usize::MAX }
    }

    /// The same for answers of at most so many bytes, as they are sent.
    pub fn with_most_bytes(self, most_bytes: usize) -> Self {
        Self { most_bytes, ..self }
    }
}

/// What an answer tells of the store's revision.
pub trait Revised {
    /// A revision that the store had reached when it gave the answer; absent if it names none.
    fn revision(&self) -> Rev;
}

impl Revised for Rev {
    fn revision(&self) -> Rev {
        *self
    }
}

impl Revised for Page {
    fn revision(&self) -> Rev {
        self.at
    }
}

impl Revised for Changes {
    fn revision(&self) -> Rev {
        self.at
    }
}

impl Revised for Option<Item> {
    fn revision(&self) -> Rev {
        self.as_ref().map_or(Rev::ABSENT, |item| item.rev)
    }
}

impl Revised for LeaseId {
    fn revision(&self) -> Rev {
        Rev::ABSENT
    }
}

impl Revised for () {
    fn revision(&self) -> Rev {
        Rev::ABSENT
    }
}

/// The platform's store.
pub trait Kv {
    /// Reads a key.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Item>>>;

    /// Reads a page of the keys with the prefix, after the key `after`.
    fn range(
        &self,
        prefix: &str,
        after: Option<&str>,
        freshness: Freshness,
    ) -> impl Future<Output = Result<Page>>;

    /// Waits for changes of a range; empty if none came in time.
    fn watch(&self, watch: &Watch) -> impl Future<Output = Result<Changes>>;

    /// Carries out a transaction; returns its revision.
    fn commit(&self, txn: &Txn) -> impl Future<Output = Result<Rev>>;

    /// Grants a lease.
    fn grant(&self, ttl: Duration) -> impl Future<Output = Result<LeaseId>>;

    /// Renews a lease.
    fn keep(&self, lease: LeaseId) -> impl Future<Output = Result<()>>;

    /// Ends a lease, and with it the keys attached to it.
    fn end(&self, lease: LeaseId) -> impl Future<Output = Result<()>>;
}
