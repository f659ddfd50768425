//! One change, tried again on top of others until it is in force or refused.

use crate::audit::{self, Entry, Outcome};
use crate::clock::Clock;
use crate::config::apply::swap::{SwapError, swap};
use crate::config::apply::sweep::{is_due, sweep};
use crate::config::apply::{
    Action, Applied, ChangeRequest, Conflict, Effect, Error, MAX_FILES, MAX_ROUNDS, Result,
    request_fault,
};
use crate::config::diff::Diff;
use crate::config::head::{self, FileRef, Manifest, Versioned, text_digest};
use crate::config::snapshot::Snapshot;
use crate::config::{ConfigFile, check};
use crate::ids::Revision;
use crate::store::{self, Expect, Store};
use bytes::Bytes;
use indexmap::IndexMap;
use std::sync::Arc;

/// One change on its way.
pub(super) struct Change<'a, S, C> {
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
pub(super) enum Round {
    Done(Applied),
    Again { because: String },
}

impl<'a, S: Store, C: Clock> Change<'a, S, C> {
    /// A change that was not tried yet.
    pub(super) fn new(
        store: &'a S,
        clock: &'a C,
        req: &'a ChangeRequest,
        known: Option<&'a Snapshot>,
    ) -> Self {
        Self { store, clock, req, known, base: req.base, first: None, written: Vec::new() }
    }

    /// Tries once, on top of what is in force now.
    pub(super) async fn round(&mut self) -> Result<Round> {
        let at = match self.base {
            Some(_) => head::read(self.store).await?,
            // An old answer would make the change seem to be based on an old revision.
            None => head::read_present(self.store).await?,
        };
        self.discard_garbage(&at.head.manifest).await;
        let first = *self.first.get_or_insert(at.head.trail.first_recent());
        if let Some(entry) = audit::find(self.store, &at.head, &self.req.change, first).await? {
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
        if at.head.manifest.files.get(file).is_some_and(|named| named.revision <= base) {
            return Ok(());
        }
        let entry = audit::last_change(self.store, &at.head, file, base).await?;
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
                if is_due(revision) {
                    sweep(self.store, &manifest).await.ok();
                }
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
    /// until the next [`sweep`], and have no other effect.
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

/// What an entry says of its change.
pub(super) fn done(entry: &Entry) -> Result<Applied> {
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
