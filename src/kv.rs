//! Interface to the platform's key-value store, which holds all durable state.
//!
//! The store offers conditional multi-key transactions, leases, and range watches. It may be slow,
//! down, or unreachable from some daemons only. It may also lose an answer after the write took
//! effect, or apply a write late; [`Error`] distinguishes these cases.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::future::Future;
use std::time::Duration;

/// Result of a call.
pub type Result<T> = std::result::Result<T, Error>;

/// Maximum number of conditions, writes and deletions in one transaction.
pub const MAX_TXN_ENTRIES: usize = 32;

/// Number of changes from which an answer may be truncated. The platform's pages hold about 500
/// items, and 500 changes were the most observed in an answer.
const TRUNCATION_CHANGES: usize = 400;

/// Size of the values from which an answer may be truncated, in bytes. The platform's pages hold
/// about 1 MB.
const TRUNCATION_BYTES: usize = 256 << 10;

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum Error {
    /// A condition didn't hold; contains the current items of the conditions' keys.
    #[error("the store has newer values; read them and decide again")]
    Conflict { items: Vec<Item> },
    #[error("the lease has ended; ask for another one")]
    LeaseEnded,
    /// The changes to be watched have been compacted away.
    #[error("the store's history doesn't reach back that far; read the range again")]
    HistoryGone,
    /// The answer exceeds the requested size or the client's limit.
    #[error("{reason}; ask for less, split the value, or raise the limit on answers")]
    TooLarge { reason: String },
    /// The call had no effect and never will; the store may take it later.
    #[error("the store refused the call ({reason}); try again in a moment")]
    Refused { reason: String },
    /// The call had no effect and never will, and the store won't take it as it is.
    #[error("the store does not take the call as it is ({reason}); change its contents")]
    Rejected { reason: String },
    /// The call may have taken effect, or may still do so.
    #[error("the store did not answer ({reason}); read back what became of the call")]
    NoAnswer { reason: String },
}

impl Error {
    /// Whether the store was unreachable or unable to serve the call.
    pub fn is_outage(&self) -> bool {
        matches!(self, Self::Refused { .. } | Self::NoAnswer { .. })
    }
}

/// A revision of the store, increased by each change to any key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Rev(pub u64);

impl Rev {
    /// Revision of a key that doesn't exist.
    pub const ABSENT: Self = Self(0);
}

/// A lease; the keys attached to it are deleted when it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeaseId(pub u64);

/// A stored key and value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    pub key: String,
    pub value: Bytes,
    /// Revision of the key's last change.
    pub rev: Rev,
}

/// An atomic set of changes, applied only if all conditions hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Txn {
    pub conditions: Vec<Condition>,
    pub puts: Vec<Put>,
    pub deletes: Vec<String>,
}

impl Txn {
    /// Total number of conditions, writes and deletions.
    pub fn entries(&self) -> usize {
        self.conditions.len() + self.puts.len() + self.deletes.len()
    }
}

/// Requires a key to be at a given revision.
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

/// One page of a range read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    pub items: Vec<Item>,
    /// Whether more keys follow the last item.
    pub more: HasMore,
    /// Store revision at which the page was read.
    pub at: Rev,
}

/// Whether a range continues after a page.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HasMore {
    #[default]
    No,
    Yes,
}

/// Consistency of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    Latest,
    /// May be seconds out of date, but is much cheaper.
    Stale,
}

/// A change to a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    Put(Item),
    Deleted {
        key: String,
        /// Revision of the deletion.
        rev: Rev,
    },
}

/// Changes to a range.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    pub changes: Vec<Change>,
    /// Revision to continue the watch from.
    pub at: Rev,
}

impl Changes {
    /// Whether the answer is so large that the store may have left out later changes.
    pub fn may_be_truncated(&self) -> bool {
        let bytes: usize = self.changes.iter().map(Change::value_bytes).sum();
        self.changes.len() >= TRUNCATION_CHANGES || bytes >= TRUNCATION_BYTES
    }
}

impl Change {
    fn value_bytes(&self) -> usize {
        match self {
            Self::Put(item) => item.value.len(),
            Self::Deleted { .. } => 0,
        }
    }
}

/// A range watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Watch {
    pub prefix: String,
    pub after: Rev,
    pub wait: Duration,
    /// Maximum size of an answer in bytes; a larger one fails with [`Error::TooLarge`].
    pub max_bytes: usize,
}

impl Watch {
    /// Creates a watch without a limit on the size of answers.
    pub fn new(prefix: &str, after: Rev, wait: Duration) -> Self {
        Self { prefix: prefix.to_owned(), after, wait, max_bytes: usize::MAX }
    }

    /// Limits the encoded size of answers, in bytes.
    pub fn with_max_bytes(self, max_bytes: usize) -> Self {
        Self { max_bytes, ..self }
    }
}

/// An answer that may report the store's revision.
pub trait HasRevision {
    /// Store revision at the time of the answer, or [`Rev::ABSENT`] if the answer has none.
    fn revision(&self) -> Rev;
}

impl HasRevision for Rev {
    fn revision(&self) -> Rev {
        *self
    }
}

impl HasRevision for Page {
    fn revision(&self) -> Rev {
        self.at
    }
}

impl HasRevision for Changes {
    fn revision(&self) -> Rev {
        self.at
    }
}

impl HasRevision for Option<Item> {
    fn revision(&self) -> Rev {
        self.as_ref().map_or(Rev::ABSENT, |item| item.rev)
    }
}

impl HasRevision for LeaseId {
    fn revision(&self) -> Rev {
        Rev::ABSENT
    }
}

impl HasRevision for () {
    fn revision(&self) -> Rev {
        Rev::ABSENT
    }
}

/// Client of the platform's store.
pub trait KvStore {
    /// Reads a key.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Item>>>;

    /// Reads a page of the keys with the prefix, after the key `after`.
    fn range(
        &self,
        prefix: &str,
        after: Option<&str>,
        freshness: Freshness,
    ) -> impl Future<Output = Result<Page>>;

    /// Waits for changes to a range; returns no changes on timeout.
    fn watch(&self, watch: &Watch) -> impl Future<Output = Result<Changes>>;

    /// Commits a transaction and returns its revision.
    fn commit(&self, txn: &Txn) -> impl Future<Output = Result<Rev>>;

    /// Grants a lease.
    fn grant_lease(&self, ttl: Duration) -> impl Future<Output = Result<LeaseId>>;

    /// Renews a lease.
    fn renew_lease(&self, lease: LeaseId) -> impl Future<Output = Result<()>>;

    /// Ends a lease and deletes the keys attached to it.
    fn end_lease(&self, lease: LeaseId) -> impl Future<Output = Result<()>>;
}
