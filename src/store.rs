//! The port to the platform's key-value service.
//!
//! The service offers compare-and-swap on one key and watches. It is down for long stretches, and
//! may lose an answer after the write took effect; so a failed write is one of three things, and
//! [`Error`] keeps them apart: refused, surely without effect, or unknown.

pub mod http;
pub mod memory;

use bytes::Bytes;
use std::future::Future;
use std::time::Duration;

/// Result of a call.
pub type Result<T> = std::result::Result<T, Error>;

/// Largest value that the service holds, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// A failed call.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Another write came first; the version is the present one, or zero where there is no value.
    #[error("`{key}` is at version {current}; read it again and repeat the change on top of it")]
    Conflict { key: String, current: u64 },
    /// The call surely had no effect.
    #[error("the key-value service refused the call ({reason}); try again when it is back")]
    Unavailable { reason: String },
    /// The write may have taken effect.
    #[error("no answer to a write of `{key}` ({reason}); read it back to learn whether it took")]
    Unknown { key: String, reason: String },
    #[error("{size} bytes for `{key}` are over {MAX_VALUE_BYTES}; split the value")]
    TooLarge { key: String, size: usize },
}

/// A value with the version that a compare-and-swap names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub key: String,
    pub value: Bytes,
    /// Rises with each write of the key; never zero.
    pub version: u64,
}

/// What a write requires of the present value.
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

    /// Reads all keys with the prefix, ordered by key.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Vec<Entry>>>;

    /// Writes a key if it is as expected; returns the new version.
    fn put(&self, key: &str, value: Bytes, expect: Expect) -> impl Future<Output = Result<u64>>;

    /// Deletes a key if it is as expected; deleting an absent key is not an error.
    fn delete(&self, key: &str, expect: Expect) -> impl Future<Output = Result<()>>;

    /// Waits until the key's version is above `after`, at most for `wait`; `None` if nothing came.
    fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<Entry>>>;
}
