//! Taking up the configuration in force, and never going back.
//!
//! A daemon learns of revisions from the store's head and from its peers. Either may lag: the
//! store can answer from the past, and a peer may be cut off. So a [`Follower`] takes up only what
//! is at least as new as everything it has heard of. It does no I/O; [`fetch`] asks the store and
//! the peers on its behalf.

pub mod fetch;

use crate::config::head::{FileRef, Manifest};
use crate::config::snapshot::Snapshot;
use crate::config::{Fault, check};
use crate::ids::Revision;
use crate::model::Config;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

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

/// What a daemon tells its peers about the configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Known {
    /// Newest revision that it heard of.
    pub known: Revision,
    /// Revision in force there; zero if there is none.
    pub in_force: Revision,
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

impl Follower {
    /// A follower that has nothing in force.
    pub fn new() -> Self {
        Self::default()
    }

    /// Learns that a revision is in force somewhere.
    pub fn heard(&mut self, revision: Revision) {
        self.known = self.known.max(revision);
    }

    /// What this daemon knows of, for its peers.
    pub fn known(&self) -> Known {
        Known { known: self.known, in_force: self.revision() }
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
        if digest != snapshot.digest {
            return Outcome::Incomplete { missing: Vec::new() };
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
        match check(&snapshot.files()) {
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
