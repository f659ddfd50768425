//! The audit trail of configuration changes.
//!
//! The latest entries are part of the head of the configuration, so that a change and its entry
//! are one write. Once there are enough of them, the older ones are written to a page of their own
//! before the head drops them. A page's content follows from its number alone, so that two
//! operators who write the same page write the same bytes.

use crate::config::head::{self, Head};
use crate::ids::{ChangeId, OperatorName, Revision};
use crate::store::Store;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::time::SystemTime;

/// Result of reading a page of the trail.
pub type Result<T> = std::result::Result<T, head::Error>;

/// Entries on a page.
pub const PAGE_ENTRIES: u64 = 8;

/// Entries that a search looks at together.
const SEARCHED_ENTRIES: usize = 16;

/// Pages that are kept.
pub const MAX_PAGES: u64 = 8192;

/// Longest summary of a change, in bytes.
pub const MAX_SUMMARY: usize = 240;

/// One change of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Counts the entries from zero.
    pub number: u64,
    pub at: SystemTime,
    pub operator: OperatorName,
    pub change: ChangeId,
    pub file: String,
    /// Revision that the change was made on.
    pub from: Revision,
    /// Revision in force after it.
    pub revision: Revision,
    pub outcome: Outcome,
    /// What changed, shortened.
    pub summary: String,
}

/// How a change ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The file's new text is in force.
    Applied,
    /// The file was removed.
    Removed,
    /// The change had not taken effect when it was asked about, and never will.
    Abandoned,
}

/// The latest entries, and where the others are.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trail {
    /// First page that is kept.
    pub first_page: u64,
    /// Oldest first; begins where the last page ends.
    pub recent: Vec<Entry>,
    /// Number of the next entry.
    pub next: u64,
}

/// Entries that leave the head for a page of their own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Overflow {
    pub page: u64,
    pub entries: Vec<Entry>,
}

/// Part of the trail, newest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    pub entries: Vec<Entry>,
    /// Pass this as `before` to go on; `None` at the end.
    pub next: Option<u64>,
    pub missing: Option<Missing>,
}

/// What the trail can't show.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Missing {
    /// All entries; the head can't be read.
    All { reason: String },
    /// Entries before this number can't be read now.
    Before { number: u64, reason: String },
    /// Entries before this number are no longer kept.
    Forgotten { number: u64 },
    /// Only entries from `first` to before `next` are known here; the head can't be read.
    Outside { first: u64, next: u64, reason: String },
}

impl Trail {
    /// Adds an entry; entries that overflow must be written before the head is.
    pub fn append(&mut self, mut entry: Entry) -> Option<Overflow> {
        entry.number = self.next;
        self.next += 1;
        self.recent.push(entry);
        let len = u64::try_from(self.recent.len()).unwrap_or(u64::MAX);
        if len < 2 * PAGE_ENTRIES {
            return None;
        }
        let kept = self.recent.split_off(usize::try_from(PAGE_ENTRIES).unwrap_or(usize::MAX));
        let entries = std::mem::replace(&mut self.recent, kept);
        let page = entries.first()?.number / PAGE_ENTRIES;
        self.first_page = self.first_page.max((page + 1).saturating_sub(MAX_PAGES));
        Some(Overflow { page, entries })
    }

    /// Number of the oldest entry in the head.
    pub fn first_recent(&self) -> u64 {
        self.recent.first().map_or(self.next, |entry| entry.number)
    }
}

impl Overflow {
    /// Key of the page.
    pub fn key(&self) -> String {
        page_key(self.page)
    }

    /// The page as stored.
    pub fn encode(&self) -> Result<Bytes> {
        postcard::to_allocvec(&self.entries)
            .map(Bytes::from)
            .map_err(|e| head::Error::Unreadable { key: self.key(), reason: e.to_string() })
    }
}

/// Key of a page.
pub fn page_key(page: u64) -> String {
    format!("audit/page/{page:016x}")
}

/// Shortens a summary to what an entry holds.
pub fn shorten(summary: &str) -> String {
    const MARK: &str = "…";
    if summary.len() <= MAX_SUMMARY {
        return summary.to_owned();
    }
    let mut end = MAX_SUMMARY - MARK.len();
    while !summary.is_char_boundary(end) {
        end -= 1;
    }
    format!("{}{MARK}", &summary[..end])
}

/// Reads at most `limit` entries older than number `before`, or the newest ones.
pub async fn page(store: &impl Store, before: Option<u64>, limit: usize) -> Page {
    match head::read(store).await {
        Ok(at) => page_from(store, &at.head, before, limit).await,
        Err(e) => Page { missing: Some(Missing::All { reason: e.to_string() }), ..Page::default() },
    }
}

/// Reads at most `limit` entries, from a head that was read earlier where it can't be read now.
pub async fn page_or_cached(
    store: &impl Store,
    cached: Option<&Head>,
    before: Option<u64>,
    limit: usize,
) -> Page {
    let page = page(store, before, limit).await;
    let (Some(Missing::All { reason }), Some(Head { trail, .. })) = (&page.missing, cached) else {
        return page;
    };
    let older = |entry: &&Entry| before.is_none_or(|before| entry.number < before);
    let entries = trail.recent.iter().rev().filter(older).take(limit).cloned().collect();
    let (first, next) = (trail.first_recent(), trail.next);
    let missing = Missing::Outside { first, next, reason: reason.clone() };
    Page { entries, next: None, missing: Some(missing) }
}

/// Reads at most `limit` entries, starting from a head that was read just now.
pub async fn page_from(store: &impl Store, head: &Head, before: Option<u64>, limit: usize) -> Page {
    let trail = &head.trail;
    let mut page = Page::default();
    let mut end = before.unwrap_or(trail.next).min(trail.next);
    while page.entries.len() < limit && end > 0 {
        let chunk = match read_before(store, trail, end).await {
            Ok(chunk) => chunk,
            Err(missing) => {
                page.missing = Some(missing);
                return page;
            }
        };
        let room = limit - page.entries.len();
        page.entries.extend(chunk.into_iter().rev().filter(|e| e.number < end).take(room));
        end = page.entries.last().map_or(0, |entry| entry.number);
    }
    page.next = Some(end).filter(|end| *end > 0);
    page
}

/// The entries of the head, or of the page that ends before number `end`.
async fn read_before(
    store: &impl Store,
    trail: &Trail,
    end: u64,
) -> std::result::Result<Vec<Entry>, Missing> {
    if end > trail.first_recent() {
        return Ok(trail.recent.clone());
    }
    let page = (end - 1) / PAGE_ENTRIES;
    if page < trail.first_page {
        return Err(Missing::Forgotten { number: end });
    }
    read_page(store, page).await.map_err(|e| Missing::Before { number: end, reason: e.to_string() })
}

async fn read_page(store: &impl Store, page: u64) -> Result<Vec<Entry>> {
    let key = page_key(page);
    let Some(entry) = store.get(&key).await? else {
        return Err(head::Error::Gone { key });
    };
    postcard::from_bytes(&entry.value)
        .map_err(|e| head::Error::Unreadable { key, reason: e.to_string() })
}

/// Finds the entry of a change among those from number `first` on.
pub async fn find(
    store: &impl Store,
    head: &Head,
    change: &ChangeId,
    first: u64,
) -> Result<Option<Entry>> {
    search(store, head, first, |entry| entry.change == *change, |_| false).await
}

/// The last change of a file after revision `base`.
pub async fn last_change(
    store: &impl Store,
    head: &Head,
    file: &str,
    base: Revision,
) -> Result<Option<Entry>> {
    let wanted = |entry: &Entry| {
        entry.outcome != Outcome::Abandoned && entry.file == file && entry.revision > base
    };
    search(store, head, 0, wanted, |entry| entry.revision <= base).await
}

/// Looks at entries from the newest on to number `first`, until one is wanted or too old.
async fn search(
    store: &impl Store,
    head: &Head,
    first: u64,
    wanted: impl Fn(&Entry) -> bool,
    too_old: impl Fn(&Entry) -> bool,
) -> Result<Option<Entry>> {
    let mut before = None;
    loop {
        let left = before.unwrap_or(head.trail.next).saturating_sub(first);
        let limit = SEARCHED_ENTRIES.min(usize::try_from(left).unwrap_or(usize::MAX));
        if limit == 0 {
            return Ok(None);
        }
        let page = page_from(store, head, before, limit).await;
        for entry in page.entries {
            if too_old(&entry) {
                return Ok(None);
            }
            if wanted(&entry) {
                return Ok(Some(entry));
            }
        }
        match page.missing {
            Some(Missing::Forgotten { number }) => return Err(head::Error::Forgotten { number }),
            Some(
                Missing::All { reason }
                | Missing::Before { reason, .. }
                | Missing::Outside { reason, .. },
            ) => {
                let key = "audit trail".to_owned();
                return Err(head::Error::Unreadable { key, reason });
            }
            None => {}
        }
        match page.next {
            Some(next) => before = Some(next),
            None => return Ok(None),
        }
    }
}
