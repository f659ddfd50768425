//! Putting a file in force, as a whole or not at all.
//!
//! One compare-and-swap of the head decides. Its answer may be lost, so a change is settled by
//! reading the head back: if the change is in the audit trail, it took effect; if the head has
//! moved on without it, the write came too late and never will take effect; if the head has not
//! moved, the very same compare-and-swap is sent again, of which at most one can succeed. Where
//! none of this can be learnt, the result is [`Error::Unknown`], and [`confirm`] settles it later.

use crate::audit::{self, Entry, Outcome};
use crate::clock::Clock;
use crate::config::diff::Diff;
use crate::config::head::{self, FileRef, HEAD_KEY, Head, Manifest, Versioned, text_digest};
use crate::config::snapshot::Snapshot;
use crate::config::{ConfigFile, Fault, check, is_file_name};
use crate::ids::{ChangeId, OperatorName, Revision};
use crate::store::{self, Expect, Store};
use bytes::Bytes;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Result of a change.
pub type Result<T> = std::result::Result<T, Error>;

/// Times that a change is made anew on top of others, or a lost answer asked for.
const MAX_ROUNDS: usize = 8;

/// Largest text of a file, in bytes.
pub const MAX_TEXT_BYTES: usize = 256 << 10;

/// Most files.
pub const MAX_FILES: usize = 1024;

/// A change that one operator asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRequest {
    pub operator: OperatorName,
    /// Never used for another change; names this one to [`confirm`].
    pub change: ChangeId,
    pub file: String,
    pub action: Action,
    /// Revision that the operator looked at; the one in force now where it is not given.
    pub base: Option<Revision>,
}

/// What becomes of a file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Adds or replaces the file.
    Replace {
        text: String,
    },
    Remove,
}

/// A change that is in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Applied {
    pub change: ChangeId,
    /// First revision with the change.
    pub revision: Revision,
    pub effect: Effect,
}

/// Whether a change made a revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    Changed,
    /// The file was like that already; nothing was written.
    Unchanged,
}

/// How a change ended, asked for afterwards.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Confirmation {
    Applied(Applied),
    /// The change has had no effect since audit entry `since`, and never will have one. Zero
    /// means that the trail was read to its beginning.
    NotApplied {
        since: u64,
    },
}

/// A change that is not known to be in force.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The change had no effect.
    #[error("the files have {} faults; mend them and apply again", .0.len())]
    Invalid(Vec<Fault>),
    /// The change had no effect, since another changed the same file first.
    #[error(
        "{} changed `{}` in revision {}; compare, then apply again with --base {}",
        .0.winner, .0.file, .0.revision, .0.revision
    )]
    Conflict(Box<Conflict>),
    /// The change had no effect.
    #[error("nothing was changed ({reason}); try again when the key-value service answers")]
    Unavailable { reason: String },
    /// The change may have taken effect.
    #[error("change {change} may be in force ({reason}); settle it with apply --confirm {change}")]
    Unknown { change: ChangeId, reason: String },
}

/// An error before the head was written.
impl From<head::Error> for Error {
    fn from(error: head::Error) -> Self {
        Self::Unavailable { reason: error.to_string() }
    }
}

/// Who won, and what differs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    pub file: String,
    pub winner: OperatorName,
    pub change: ChangeId,
    pub revision: Revision,
    /// From the winner's text to the refused one.
    pub differences: Diff,
}

/// Puts a change in force.
pub async fn apply(store: &impl Store, clock: &impl Clock, req: &ChangeRequest) -> Result<Applied> {
    apply_with(store, clock, req, None).await
}

/// Puts a change in force, taking the texts of unchanged files from `known`.
pub async fn apply_with(
    store: &impl Store,
    clock: &impl Clock,
    req: &ChangeRequest,
    known: Option<&Snapshot>,
) -> Result<Applied> {
    check_request(req)?;
    let mut change =
        Change { store, clock, req, known, base: req.base, first: None, written: Vec::new() };
    let mut reason = "other changes came first each time".to_owned();
    for _ in 0..MAX_ROUNDS {
        match change.round().await? {
            Round::Done(applied) => return Ok(applied),
            Round::Again { because } => reason = because,
        }
    }
    Err(Error::Unavailable { reason })
}

/// Learns how a change ended, and makes sure that it stays so.
///
/// A change that isn't in the trail may be on its way still. An entry that says "abandoned" moves
/// the head's version on, which the late write then doesn't match.
pub async fn confirm(
    store: &impl Store,
    clock: &impl Clock,
    change: &ChangeId,
    operator: &OperatorName,
) -> Result<Confirmation> {
    let unknown = |reason: String| Error::Unknown { change: change.clone(), reason };
    let mut reason = "the head changed each time".to_owned();
    for _ in 0..MAX_ROUNDS {
        let at = head::read(store).await.map_err(|e| unknown(e.to_string()))?;
        let found = find(store, &at.head, change, 0).await.map_err(|e| unknown(e.to_string()))?;
        if let Some(entry) = found {
            return Ok(confirmation(&entry));
        }
        let entry = Entry {
            number: 0,
            at: clock.wall(),
            operator: operator.clone(),
            change: change.clone(),
            file: String::new(),
            from: at.head.manifest.revision,
            revision: at.head.manifest.revision,
            outcome: Outcome::Abandoned,
            summary: String::new(),
        };
        let manifest = at.head.manifest.clone();
        match swap(store, &at, manifest, entry).await {
            Ok(()) => {
                let since = at.head.trail.first_page * audit::PAGE_ENTRIES;
                return Ok(Confirmation::NotApplied { since });
            }
            Err(e) => reason = e.to_string(),
        }
    }
    Err(unknown(reason))
}

/// One change on its way.
struct Change<'a, S, C> {
    store: &'a S,
    clock: &'a C,
    req: &'a ChangeRequest,
    known: Option<&'a Snapshot>,
    base: Option<Revision>,
    /// Number of the first audit entry that could be this change's own.
    first: Option<u64>,
    /// Texts written in earlier rounds.
    written: Vec<FileRef>,
}

/// How one round ended.
enum Round {
    Done(Applied),
    Again { because: String },
}

impl<S: Store, C: Clock> Change<'_, S, C> {
    async fn round(&mut self) -> Result<Round> {
        let at = head::read(self.store).await?;
        self.discard_garbage(&at.head.manifest).await;
        let first = *self.first.get_or_insert(at.head.trail.first_recent());
        if let Some(entry) = find(self.store, &at.head, &self.req.change, first).await? {
            return done(&entry).map(Round::Done);
        }
        let manifest = &at.head.manifest;
        let base = *self.base.get_or_insert(manifest.revision);
        if base > manifest.revision {
            let because = format!("the service answers with {}, before {base}", manifest.revision);
            return Ok(Round::Again { because });
        }
        let texts = match self.texts(manifest).await {
            Ok(texts) => texts,
            Err(head::Error::Gone { key }) => {
                return Ok(Round::Again { because: format!("`{key}` was replaced meanwhile") });
            }
            Err(e) => return Err(e.into()),
        };
        let old = texts.get(&self.req.file).map_or("", |text| text);
        self.refuse_overwrite(&at, base, old).await?;
        if self.is_in_force(manifest, old) {
            return Ok(Round::Done(Applied {
                change: self.req.change.clone(),
                revision: manifest.revision,
                effect: Effect::Unchanged,
            }));
        }
        self.check_union(&texts)?;
        self.write(&at, old).await
    }

    async fn texts(&self, manifest: &Manifest) -> head::Result<IndexMap<String, Arc<str>>> {
        let mut texts = IndexMap::new();
        for (name, file) in &manifest.files {
            let held = self.known.and_then(|known| known.text(name, file.digest));
            let text = match held {
                Some(text) => Arc::clone(text),
                None => head::read_text(self.store, file).await?,
            };
            texts.insert(name.clone(), text);
        }
        Ok(texts)
    }

    /// An operator who edited an older text would undo another's change without knowing of it.
    async fn refuse_overwrite(&self, at: &Versioned, base: Revision, winner: &str) -> Result<()> {
        let file = &self.req.file;
        let entry = last_change(self.store, &at.head, file, base).await?;
        let Some(entry) = entry else { return Ok(()) };
        let differences = Diff::new(winner, self.new_text());
        Err(Error::Conflict(Box::new(Conflict {
            file: file.clone(),
            winner: entry.operator,
            change: entry.change,
            revision: entry.revision,
            differences,
        })))
    }

    fn new_text(&self) -> &str {
        match &self.req.action {
            Action::Replace { text } => text,
            Action::Remove => "",
        }
    }

    fn is_in_force(&self, manifest: &Manifest, old: &str) -> bool {
        let present = manifest.files.contains_key(&self.req.file);
        match &self.req.action {
            Action::Replace { text } => present && text == old,
            Action::Remove => !present,
        }
    }

    fn check_union(&self, texts: &IndexMap<String, Arc<str>>) -> Result<()> {
        let others = texts.iter().filter(|(name, _)| **name != self.req.file);
        let mut files: Vec<ConfigFile> =
            others.map(|(name, text)| ConfigFile::new(name, text)).collect();
        if let Action::Replace { text } = &self.req.action {
            files.push(ConfigFile::new(&self.req.file, text));
        }
        if files.len() > MAX_FILES {
            return Err(Error::Invalid(vec![request_fault(
                &self.req.file,
                format!("there would be {} files", files.len()),
                format!("merge files until there are at most {MAX_FILES}"),
            )]));
        }
        check(&files).map(|_| ()).map_err(Error::Invalid)
    }

    async fn write(&mut self, at: &Versioned, old: &str) -> Result<Round> {
        let req = self.req;
        let revision = at.head.manifest.revision.next();
        let file = match &req.action {
            Action::Replace { text } => {
                Some(FileRef { revision, change: req.change.clone(), digest: text_digest(text) })
            }
            Action::Remove => None,
        };
        if let Some(file) = &file {
            self.write_text(file).await?;
            self.written.push(file.clone());
        }
        let entry = Entry {
            number: 0,
            at: self.clock.wall(),
            operator: req.operator.clone(),
            change: req.change.clone(),
            file: req.file.clone(),
            from: at.head.manifest.revision,
            revision,
            outcome: if file.is_some() { Outcome::Applied } else { Outcome::Removed },
            summary: audit::shorten(&Diff::new(old, self.new_text()).summary()),
        };
        let manifest = at.head.manifest.with_file(&req.file, file);
        match swap(self.store, at, manifest.clone(), entry).await {
            Ok(()) => {
                self.written.extend(at.head.manifest.files.get(&req.file).cloned());
                self.discard_garbage(&manifest).await;
                let change = req.change.clone();
                Ok(Round::Done(Applied { change, revision, effect: Effect::Changed }))
            }
            Err(SwapError::Lost) => {
                Ok(Round::Again { because: "other changes came first each time".to_owned() })
            }
            Err(SwapError::Refused { reason }) => Err(Error::Unavailable { reason }),
            Err(SwapError::Unknown { reason }) => {
                Err(Error::Unknown { change: req.change.clone(), reason })
            }
        }
    }

    /// Writes a text under a key of its own. Nothing names it yet, so that writing it twice, or
    /// not knowing whether it was written, does no harm.
    async fn write_text(&self, file: &FileRef) -> Result<()> {
        let key = file.text_key();
        let value = Bytes::copy_from_slice(self.new_text().as_bytes());
        let mut reason = String::new();
        for _ in 0..MAX_ROUNDS {
            match self.store.put(&key, value.clone(), Expect::Any).await {
                Ok(_) => return Ok(()),
                Err(e @ store::Error::Unknown { .. }) => reason = e.to_string(),
                Err(e) => return Err(Error::Unavailable { reason: e.to_string() }),
            }
        }
        Err(Error::Unavailable { reason })
    }

    /// Deletes texts that are not in force and never will be. Where that fails, they take up room
    /// until [`sweep`], and have no other effect.
    async fn discard_garbage(&mut self, manifest: &Manifest) {
        let written = std::mem::take(&mut self.written);
        let (garbage, kept) = written.into_iter().partition(|file| manifest.is_garbage(file));
        self.written = kept;
        let garbage: Vec<FileRef> = garbage;
        for file in garbage {
            self.store.delete(&file.text_key(), Expect::Any).await.ok();
        }
    }
}

/// A head that was not swapped, or not known to be.
#[derive(Debug, thiserror::Error)]
enum SwapError {
    #[error("another change came first")]
    Lost,
    #[error("{reason}")]
    Refused { reason: String },
    #[error("{reason}")]
    Unknown { reason: String },
}

/// Puts a manifest in force together with its audit entry; returns once the outcome is known, or
/// can't be.
async fn swap(
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
            Ok(_) => return Ok(()),
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

/// Whether a head of at least the version has the change; `None` if that can't be learnt now.
async fn read_back(
    store: &impl Store,
    change: &ChangeId,
    first: u64,
    version: u64,
) -> Option<bool> {
    let at = head::read(store).await.ok()?;
    let found = find(store, &at.head, change, first).await.ok()?;
    match found {
        Some(_) => Some(true),
        // A store that answers from the past shows a head without the change.
        None if at.version < version => None,
        None => Some(false),
    }
}

/// Finds the entry of a change among those from number `first` on.
async fn find(
    store: &impl Store,
    head: &Head,
    change: &ChangeId,
    first: u64,
) -> audit::Result<Option<Entry>> {
    search(store, head, |entry| entry.change == *change, |entry| entry.number < first).await
}

/// The last change of a file after revision `base`.
async fn last_change(
    store: &impl Store,
    head: &Head,
    file: &str,
    base: Revision,
) -> audit::Result<Option<Entry>> {
    let wanted = |entry: &Entry| {
        entry.outcome != Outcome::Abandoned && entry.file == file && entry.revision > base
    };
    search(store, head, wanted, |entry| entry.revision <= base).await
}

/// Looks at entries from the newest on, until one is wanted or too old.
async fn search(
    store: &impl Store,
    head: &Head,
    wanted: impl Fn(&Entry) -> bool,
    too_old: impl Fn(&Entry) -> bool,
) -> audit::Result<Option<Entry>> {
    let mut before = None;
    loop {
        let page = audit::page_from(store, head, before, PAGE).await;
        for entry in page.entries {
            if too_old(&entry) {
                return Ok(None);
            }
            if wanted(&entry) {
                return Ok(Some(entry));
            }
        }
        match page.missing {
            Some(audit::Missing::Forgotten { .. }) => return Ok(None),
            Some(audit::Missing::All { reason } | audit::Missing::Before { reason, .. }) => {
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

/// Entries looked at together; a page's.
const PAGE: usize = 16;

fn confirmation(entry: &Entry) -> Confirmation {
    match done(entry) {
        Ok(applied) => Confirmation::Applied(applied),
        Err(_) => Confirmation::NotApplied { since: 0 },
    }
}

fn done(entry: &Entry) -> Result<Applied> {
    match entry.outcome {
        Outcome::Applied | Outcome::Removed => Ok(Applied {
            change: entry.change.clone(),
            revision: entry.revision,
            effect: Effect::Changed,
        }),
        Outcome::Abandoned => {
            let reason = format!("{} abandoned change {}", entry.operator, entry.change);
            Err(Error::Unavailable { reason })
        }
    }
}

fn check_request(req: &ChangeRequest) -> Result<()> {
    let mut faults = Vec::new();
    let mut fault = |message: String, remedy: String| {
        faults.push(request_fault(&req.file, message, remedy));
    };
    if !is_file_name(&req.file) {
        fault(
            format!("`{}` can't name a file", req.file),
            "use letters, digits, `-`, `_` and `.`".to_owned(),
        );
    }
    if !is_file_name(req.change.as_str()) {
        fault(
            format!("`{}` can't name a change", req.change),
            "use letters, digits, `-`, `_` and `.`".to_owned(),
        );
    }
    if let Action::Replace { text } = &req.action
        && text.len() > MAX_TEXT_BYTES
    {
        fault(
            format!("the file has {} bytes", text.len()),
            format!("split it into files of at most {MAX_TEXT_BYTES}"),
        );
    }
    if faults.is_empty() { Ok(()) } else { Err(Error::Invalid(faults)) }
}

fn request_fault(file: &str, message: String, remedy: String) -> Fault {
    Fault { file: file.to_owned(), line: 1, message, remedy }
}
