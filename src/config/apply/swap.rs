//! The compare-and-swap of the head, settled where its answer is lost.

use crate::audit::{self, Entry};
use crate::config::apply::MAX_ROUNDS;
use crate::config::head::{self, HEAD_KEY, Head, Manifest, Versioned};
use crate::ids::ChangeId;
use crate::store::{self, Expect, Store};

/// A head that was not swapped, or not known to be.
#[derive(Debug, thiserror::Error)]
pub(super) enum SwapError {
    #[error("another change came first")]
    Lost,
    #[error("{reason}")]
    Refused { reason: String },
    #[error("{reason}")]
    Unknown { reason: String },
}

/// Puts a manifest in force together with its audit entry; returns once the outcome is known, or
/// can't be.
pub(super) async fn swap(
    store: &impl Store,
    at: &Versioned,
    manifest: Manifest,
    entry: Entry,
) -> std::result::Result<(), SwapError> {
    let refuse = |reason: String| SwapError::Refused { reason };
    let change = entry.change.clone();
    let number = at.head.trail.next;
    let mut head = Head { manifest, trail: at.head.trail.clone() };
    if let Some(overflow) = head.trail.append(entry) {
        let page = overflow.encode().map_err(|e| refuse(e.to_string()))?;
        let written = store.put(&overflow.key(), page, Expect::Any).await;
        written.map_err(|e| refuse(e.to_string()))?;
    }
    let value = head.encode().map_err(|e| refuse(e.to_string()))?;
    let expect = match at.version {
        0 => Expect::Absent,
        version => Expect::Version(version),
    };
    let mut doubt = None;
    for _ in 0..MAX_ROUNDS {
        match store.put(HEAD_KEY, value.clone(), expect).await {
            Ok(_) => {
                forget_pages(store, &at.head, &head).await;
                return Ok(());
            }
            Err(store::Error::Conflict { .. }) if doubt.is_none() => return Err(SwapError::Lost),
            // The head moved, maybe by the write whose answer was lost.
            Err(store::Error::Conflict { current, .. }) => {
                match read_back(store, &change, number, current).await {
                    Some(true) => return Ok(()),
                    Some(false) => return Err(SwapError::Lost),
                    None => {}
                }
            }
            Err(store::Error::Unknown { reason, .. }) => doubt = Some(reason),
            Err(e) if doubt.is_none() => return Err(refuse(e.to_string())),
            Err(_) => {}
        }
    }
    Err(SwapError::Unknown { reason: doubt.unwrap_or_default() })
}

/// Deletes pages that the trail no longer keeps. A page that stays takes up room and no more.
async fn forget_pages(store: &impl Store, old: &Head, new: &Head) {
    for page in old.trail.first_page..new.trail.first_page {
        store.delete(&audit::page_key(page), Expect::Any).await.ok();
    }
}

/// Whether a head of at least the version has the change; `None` if that can't be learnt now.
async fn read_back(
    store: &impl Store,
    change: &ChangeId,
    first: u64,
    version: u64,
) -> Option<bool> {
    let at = head::read(store).await.ok()?;
    let found = audit::find(store, &at.head, change, first).await.ok()?;
    match found {
        Some(_) => Some(true),
        // A store that answers from the past shows a head without the change.
        None if at.version < version => None,
        None => Some(false),
    }
}
