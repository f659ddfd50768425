//! Taking up the configuration in force, and never going back.
//!
//! A daemon learns of revisions from the store's head and from its peers. Either may lag: the
//! store can answer from the past, and a peer may be cut off. So a [`Follower`] takes up only what
//! is at least as new as everything it has heard of. A daemon that just started has forgotten
//! what its former run had in force; [`start`] therefore asks its peers before it believes the
//! store, and asks the store in a way that an old replica can't answer.

use crate::config::check;
use crate::config::head::{self, FileRef, HEAD_KEY, Manifest, Versioned};
use crate::config::snapshot::Snapshot;
use crate::config::{ConfigFile, Fault};
use crate::ids::{DaemonId, Revision};
use crate::model::Config;
use crate::store::{self, Expect, Store};
use bytes::Bytes;
use indexmap::IndexMap;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Reads of the head before a starting daemon gives the store up.
const MAX_READS: usize = 4;

/// What a daemon has in force.
#[derive(Debug, Default)]
pub struct Follower {
    held: Option<Held>,
    known: Revision,
}

#[derive(Debug)]
struct Held {
    snapshot: Snapshot,
    config: Arc<Config>,
}

/// What became of an offered snapshot.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The revision is in force from now on.
    InForce(Arc<Config>),
    /// It is in force already.
    Same,
    /// It is older than what is in force, or than what was heard of.
    Older { known: Revision },
    /// Texts are missing or damaged.
    Incomplete { missing: Vec<String> },
    /// It has the revision in force and other files. Only a damaged store can cause this.
    Forked,
    /// This program can't read the files.
    Invalid(Vec<Fault>),
}

/// Where a daemon stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Nothing is in force yet.
    Empty { known: Revision },
    /// The newest revision that was heard of is in force.
    Current { revision: Revision },
    /// A newer one was heard of and could not be had yet.
    Behind { revision: Revision, known: Revision },
}

/// A peer that can be asked for its configuration.
pub trait Peer {
    /// The peer's snapshot, with the texts newer than `since`; `None` if it doesn't answer.
    fn snapshot(&self, since: Revision) -> impl Future<Output = Option<Snapshot>>;
}

impl Follower {
    /// A follower that has nothing in force.
    pub fn new() -> Self {
        Self::default()
    }

    /// Learns that a revision is in force somewhere.
    pub fn heard(&mut self, revision: Revision) {
        self.known = self.known.max(revision);
    }

    /// Where this daemon stands.
    pub fn standing(&self) -> Standing {
        let known = self.known;
        match &self.held {
            None => Standing::Empty { known },
            Some(held) if held.snapshot.revision() < known => {
                Standing::Behind { revision: held.snapshot.revision(), known }
            }
            Some(held) => Standing::Current { revision: held.snapshot.revision() },
        }
    }

    /// The configuration in force.
    pub fn in_force(&self) -> Option<&Arc<Config>> {
        self.held.as_ref().map(|held| &held.config)
    }

    /// Revision in force; zero if there is none.
    pub fn revision(&self) -> Revision {
        self.held.as_ref().map_or(Revision(0), |held| held.snapshot.revision())
    }

    /// What this daemon tells a peer at `since`; the texts that the peer lacks are in it.
    pub fn snapshot(&self, since: Revision) -> Option<Snapshot> {
        self.held.as_ref().map(|held| held.snapshot.since(since))
    }

    /// The texts of a manifest that are not here, unless it is too old to be of use.
    pub fn wants(&self, manifest: &Manifest) -> Vec<(String, FileRef)> {
        if manifest.revision < self.known || manifest.revision <= self.revision() {
            return Vec::new();
        }
        let lacks = |name: &str, file: &FileRef| self.held_text(name, file.digest).is_none();
        let files = manifest.files.iter();
        files
            .filter(|(name, file)| lacks(name, file))
            .map(|(name, file)| (name.clone(), file.clone()))
            .collect()
    }

    /// Takes a snapshot up if it is newer than all that is known.
    pub fn offer(&mut self, snapshot: &Snapshot) -> Outcome {
        let revision = snapshot.revision();
        let digest = snapshot.manifest.digest();
        if revision < self.known {
            return Outcome::Older { known: self.known };
        }
        self.heard(revision);
        if let Some(held) = self.held.as_ref().filter(|held| held.snapshot.revision() == revision) {
            return if held.snapshot.digest == digest { Outcome::Same } else { Outcome::Forked };
        }
        match self.complete(snapshot) {
            Ok(whole) => self.take_up(whole),
            Err(missing) => Outcome::Incomplete { missing },
        }
    }

    fn held_text(&self, name: &str, digest: u64) -> Option<&Arc<str>> {
        self.held.as_ref().and_then(|held| held.snapshot.text(name, digest))
    }

    fn complete(&self, snapshot: &Snapshot) -> Result<Snapshot, Vec<String>> {
        let mut texts = IndexMap::new();
        let mut missing = Vec::new();
        for (name, file) in &snapshot.manifest.files {
            let text = snapshot.text(name, file.digest);
            match text.or_else(|| self.held_text(name, file.digest)) {
                Some(text) => {
                    texts.insert(name.clone(), Arc::clone(text));
                }
                None => missing.push(name.clone()),
            }
        }
        if missing.is_empty() {
            Ok(Snapshot::new(snapshot.manifest.clone(), texts))
        } else {
            Err(missing)
        }
    }

    fn take_up(&mut self, snapshot: Snapshot) -> Outcome {
        let files: Vec<ConfigFile> = snapshot.files();
        match check(&files) {
            Ok(mut config) => {
                config.revision = snapshot.revision();
                let config = Arc::new(config);
                self.held = Some(Held { snapshot, config: Arc::clone(&config) });
                Outcome::InForce(config)
            }
            Err(faults) => Outcome::Invalid(faults),
        }
    }
}

/// Reads the texts that a follower wants of a manifest.
pub async fn fetch(
    store: &impl Store,
    wants: Vec<(String, FileRef)>,
    manifest: Manifest,
) -> head::Result<Snapshot> {
    let mut texts = IndexMap::new();
    for (name, file) in wants {
        texts.insert(name, head::read_text(store, &file).await?);
    }
    Ok(Snapshot::new(manifest, texts))
}

/// Waits for a change of the head after `version`, then reads the head all the same: a watch may
/// have missed the change.
pub async fn next_head(
    store: &impl Store,
    version: u64,
    wait: Duration,
) -> head::Result<Versioned> {
    if let Some(entry) = store.watch(HEAD_KEY, version, wait).await?
        && entry.version > version
    {
        return Versioned::decode(&entry);
    }
    head::read(store).await
}

/// Reads the head as of now.
///
/// A replica of the store that lags answers reads from the past. A write can't be answered so:
/// one that asks for the head to be absent is refused, without effect, with the version at
/// present, which shows whether the head that was read is the present one.
pub async fn read_present(store: &impl Store) -> head::Result<Versioned> {
    let mut at = head::read(store).await?;
    for _ in 0..MAX_READS {
        if at.version == 0 {
            return Ok(at);
        }
        match store.put(HEAD_KEY, Bytes::new(), Expect::Absent).await {
            Err(store::Error::Conflict { current, .. }) if current <= at.version => return Ok(at),
            Err(store::Error::Conflict { .. }) => at = head::read(store).await?,
            Err(e) => return Err(e.into()),
            // There was a head, and heads are never deleted.
            Ok(_) => break,
        }
    }
    let reason = "the service answers from the past".to_owned();
    Err(store::Error::Unavailable { reason }.into())
}

/// Asks the peers and the store, and takes up the newest that they have.
///
/// Returns the head's version in the store, or zero if the store didn't answer.
pub async fn start<P: Peer>(follower: &mut Follower, store: &impl Store, peers: &[P]) -> u64 {
    let asked = peers.iter().map(|peer| peer.snapshot(Revision(0)));
    let answers: Vec<Snapshot> =
        futures::future::join_all(asked).await.into_iter().flatten().collect();
    for answer in &answers {
        follower.heard(answer.revision());
    }
    let at = read_present(store).await;
    if let Ok(at) = &at {
        follower.heard(at.head.manifest.revision);
        let manifest = at.head.manifest.clone();
        let wants = follower.wants(&manifest);
        if let Ok(snapshot) = fetch(store, wants, manifest).await {
            follower.offer(&snapshot);
        }
    }
    for answer in &answers {
        follower.offer(answer);
    }
    at.map_or(0, |at| at.version)
}

/// Whether this daemon is one of the `count` of its failure domain that watch the store; the
/// others hear from them.
pub fn watches(me: &DaemonId, members: &[DaemonId], count: usize) -> bool {
    let score = |id: &DaemonId| (xxh3_64(id.as_str().as_bytes()), id.clone());
    let mine = score(me);
    members.iter().filter(|id| *id != me && score(id) < mine).count() < count
}
