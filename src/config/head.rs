//! The head: the one value whose compare-and-swap puts a change in force.
//!
//! It names the revision of the whole, the text of each file, and the latest entries of the audit
//! trail, so that a change and its audit entry are one write. The texts are values of their own,
//! written before the head that names them: a reader that has a head can fetch every text, and a
//! text that no head names has no effect.

use crate::audit::Trail;
use crate::ids::{ChangeId, Revision};
use crate::store::{self, Expect, Store};
use bytes::Bytes;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// Result of reading a head or a text.
pub type Result<T> = std::result::Result<T, Error>;

/// Key of the head.
pub const HEAD_KEY: &str = "config/head";

/// Prefix of the keys of texts.
pub const TEXT_PREFIX: &str = "config/text/";

/// Reads of the head before the store is given up.
const MAX_READS: usize = 4;

/// Expected by a write that must not take effect.
const NO_VERSION: Expect = Expect::Version(u64::MAX);

/// First byte of a head, for a later change of its layout.
const LAYOUT: u8 = 1;

/// A head or text that can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    #[error(transparent)]
    Store(#[from] store::Error),
    #[error("`{key}` can't be read ({reason}); upgrade this program, or restore the value")]
    Unreadable { key: String, reason: String },
    /// The text was replaced since the head was read.
    #[error("`{key}` is gone; read the head again")]
    Gone { key: String },
    #[error("audit entries before {number} are not kept; apply again on top of what is in force")]
    Forgotten { number: u64 },
}

/// The files in force, by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    pub revision: Revision,
    pub files: IndexMap<String, FileRef>,
}

/// The text of one file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FileRef {
    /// Revision that put this text in force.
    pub revision: Revision,
    pub change: ChangeId,
    pub digest: u64,
}

/// What the head key holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    pub manifest: Manifest,
    pub trail: Trail,
}

/// A head with the version that a compare-and-swap names; zero where there is none yet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Versioned {
    pub head: Head,
    pub version: u64,
}

impl FileRef {
    /// Key of the text.
    ///
    /// The revision in the key tells garbage apart: a text written for revision `r` can be put in
    /// force by the head of revision `r` only, so that once there is such a head, a text that it
    /// doesn't name never will be. The digest keeps a change whose id is used again, with another
    /// text, from replacing a text that is in force.
    pub fn text_key(&self) -> String {
        format!("{TEXT_PREFIX}{:016x}-{}-{:016x}", self.revision.0, self.change, self.digest)
    }
}

impl Manifest {
    /// Digest of the names and texts of all files.
    pub fn digest(&self) -> u64 {
        let mut hash = Xxh3::new();
        for (name, file) in &self.files {
            hash.update(&u64::try_from(name.len()).unwrap_or(u64::MAX).to_le_bytes());
            hash.update(name.as_bytes());
            hash.update(&file.digest.to_le_bytes());
        }
        hash.digest()
    }

    /// Whether a text is not in force and never will be.
    pub fn is_garbage(&self, file: &FileRef) -> bool {
        file.revision <= self.revision && !self.files.values().any(|named| named == file)
    }

    /// The manifest with one file added, replaced or removed, in order of names.
    pub fn with_file(&self, name: &str, file: Option<FileRef>) -> Self {
        let mut files = self.files.clone();
        match file {
            Some(file) => {
                files.insert(name.to_owned(), file);
            }
            None => {
                files.shift_remove(name);
            }
        }
        files.sort_keys();
        Self { revision: self.revision.next(), files }
    }
}

impl Head {
    /// The head as stored.
    pub fn encode(&self) -> Result<Bytes> {
        let mut buf = vec![LAYOUT];
        let body = postcard::to_allocvec(self).map_err(|e| unreadable(HEAD_KEY, &e))?;
        buf.extend_from_slice(&body);
        Ok(Bytes::from(buf))
    }

    /// Reads a stored head.
    pub fn decode(value: &[u8]) -> Result<Self> {
        match value.split_first() {
            Some((&LAYOUT, body)) => {
                postcard::from_bytes(body).map_err(|e| unreadable(HEAD_KEY, &e))
            }
            Some((layout, _)) => Err(unreadable(HEAD_KEY, &format!("layout {layout}"))),
            None => Err(unreadable(HEAD_KEY, &"empty")),
        }
    }
}

impl Versioned {
    /// Reads a stored entry.
    pub fn decode(entry: &store::Entry) -> Result<Self> {
        Ok(Self { head: Head::decode(&entry.value)?, version: entry.version })
    }
}

/// Digest of a text.
pub fn text_digest(text: &str) -> u64 {
    xxh3_64(text.as_bytes())
}

/// Reads the head; the empty one where there is none.
pub async fn read(store: &impl Store) -> Result<Versioned> {
    match store.get(HEAD_KEY).await? {
        Some(entry) => Versioned::decode(&entry),
        None => Ok(Versioned::default()),
    }
}

/// Version of the head as of now; zero where there is none.
///
/// A replica of the store that lags answers reads from the past. A write can't be answered so:
/// one that asks for a version that no value has is refused, without effect, with the version at
/// present. It also costs no bytes where nothing changed.
pub async fn present_version(store: &impl Store) -> Result<u64> {
    match store.put(HEAD_KEY, Bytes::new(), NO_VERSION).await {
        Err(store::Error::Conflict { current, .. }) => Ok(current),
        Err(e) => Err(e.into()),
        Ok(_) => Err(unreadable(HEAD_KEY, &"the service wrote what it had to refuse")),
    }
}

/// Reads the head as of now.
pub async fn read_present(store: &impl Store) -> Result<Versioned> {
    for _ in 0..MAX_READS {
        let at = read(store).await?;
        if present_version(store).await? <= at.version {
            return Ok(at);
        }
    }
    let reason = "the service answers from the past".to_owned();
    Err(store::Error::Unavailable { reason }.into())
}

/// Reads the head if its version is above `version`.
pub async fn read_newer(store: &impl Store, version: u64) -> Result<Option<Versioned>> {
    if present_version(store).await? <= version {
        return Ok(None);
    }
    Ok(Some(read(store).await?).filter(|at| at.version > version))
}

/// Reads a text and compares its digest.
pub async fn read_text(store: &impl Store, file: &FileRef) -> Result<Arc<str>> {
    let key = file.text_key();
    let Some(entry) = store.get(&key).await? else {
        return Err(Error::Gone { key });
    };
    let text = std::str::from_utf8(&entry.value).map_err(|e| unreadable(&key, &e))?;
    if text_digest(text) != file.digest {
        return Err(unreadable(&key, &"wrong digest"));
    }
    Ok(Arc::from(text))
}

fn unreadable(key: &str, reason: &impl ToString) -> Error {
    Error::Unreadable { key: key.to_owned(), reason: reason.to_string() }
}
