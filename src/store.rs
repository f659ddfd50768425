//! The interface to the platform's key-value service.
//!
//! The service offers single-key compare-and-swap and watches. It has long outages and may lose
//! the response to a write that took effect. [`Error`] therefore distinguishes three outcomes of a
//! failed write: rejected, known to have had no effect, and unknown.

pub mod http;
pub mod memory;

use bytes::Bytes;
use std::future::Future;
use std::time::Duration;

/// The result of a call.
pub type Result<T> = std::result::Result<T, Error>;

/// Maximum size of a value in the service, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// A failed call.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The key is not in the expected state. `current` is its version, or zero if it has no value.
    #[error("`{key}` is at version {current}; read it again and repeat the change on top of it")]
    Conflict { key: String, current: u64 },
    /// The call is known to have had no effect.
    #[error("the key-value service refused the call ({reason}); try again when it is back")]
    Unavailable { reason: String },
    /// The write may have taken effect.
    #[error("no answer to a write of `{key}` ({reason}); read it back to learn whether it took")]
    Unknown { key: String, reason: String },
    #[error("{size} bytes for `{key}` are over {MAX_VALUE_BYTES}; split the value")]
    TooLarge { key: String, size: usize },
}

/// A key's value with its version, for use in a compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub key: String,
    pub value: Bytes,
    /// Increases with each write of the key; never zero.
    pub version: u64,
}

/// The precondition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expect {
    Absent,
    Version(u64),
    Any,
}

/// The key-value service.
pub trait Store {
    /// Reads a key.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Entry>>>;

    /// Reads all entries whose key has the prefix, ordered by key.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Vec<Entry>>>;

    /// Writes a key if the precondition holds and returns the new version.
    fn put(&self, key: &str, value: Bytes, expect: Expect) -> impl Future<Output = Result<u64>>;

    /// Deletes a key if the precondition holds. Deleting an absent key is not an error by itself.
    fn delete(&self, key: &str, expect: Expect) -> impl Future<Output = Result<()>>;

    /// Waits up to `wait` for a version of the key above `after`; `None` on timeout.
    fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<Entry>>>;
}
