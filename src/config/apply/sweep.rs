//! Deleting texts that are not in force and never will be.
//!
//! An operator's process that dies between writing a text and naming it in the head leaves the
//! text behind. The revision in a text's key says whether it can still be named.

use crate::config::head::{Manifest, Result, TEXT_PREFIX};
use crate::ids::Revision;
use crate::store::{Expect, Store};
use std::collections::BTreeSet;

/// Revisions between two sweeps.
const SWEEP_PERIOD: u64 = 64;

/// Whether a sweep is due at a revision.
pub(super) fn is_due(revision: Revision) -> bool {
    revision.0.is_multiple_of(SWEEP_PERIOD)
}

/// Deletes the texts that a head of this manifest leaves behind; returns how many.
pub async fn sweep(store: &impl Store, manifest: &Manifest) -> Result<usize> {
    let named: BTreeSet<String> = manifest.files.values().map(|file| file.text_key()).collect();
    let mut deleted = 0;
    for entry in store.list(TEXT_PREFIX).await? {
        let possible = revision_of(&entry.key).is_none_or(|revision| revision > manifest.revision);
        if !possible && !named.contains(&entry.key) {
            store.delete(&entry.key, Expect::Version(entry.version)).await?;
            deleted += 1;
        }
    }
    Ok(deleted)
}

fn revision_of(key: &str) -> Option<Revision> {
    let digits = key.strip_prefix(TEXT_PREFIX)?.get(..16)?;
    u64::from_str_radix(digits, 16).ok().map(Revision)
}
