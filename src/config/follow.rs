//! Taking up the configuration in force, and never going back.
//!
//! A daemon learns of revisions from the store's head and from its peers. Either may lag: the
//! store can answer from the past, and a peer may be cut off. So a [`Follower`] takes up only what
//! is at least as new as everything it has heard of. A [`Newcomer`] has forgotten what its former
//! run had in force, so that it has nothing to compare with; it becomes a follower only by
//! [`fetch::start`], which asks all who may know. Neither does I/O.

pub mod fetch;

use crate::config::head::Manifest;
use crate::config::snapshot::Snapshot;
use crate::config::{Fault, check};
use crate::ids::Revision;
use crate::model::Config;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Result of loading a snapshot.
type Result<T> = std::result::Result<T, Refusal>;

/// A daemon that has nothing in force yet.
#[derive(Clone, Copy, Debug, Default)]
pub struct Newcomer {
    known: Revision,
    /// Starts in a row at which the store didn't answer.
    store_failures: u32,
}

/// A daemon that has a configuration in force.
#[derive(Clone, Debug)]
pub struct Follower {
    snapshot: Snapshot,
    config: Arc<Config>,
    known: Revision,
}

/// What became of an offered snapshot.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The revision is in force from now on.
    InForce(Arc<Config>),
    /// It is in force already.
    Same,
    /// What was in force stays so.
    Refused(Refusal),
}

/// Why a snapshot is not taken up.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    #[error("revision {offered} is older than {known}, which is known of; fetch that one")]
    Older { offered: Revision, known: Revision },
    #[error("texts of {} files are missing or damaged; fetch the whole snapshot", missing.len())]
    Incomplete { missing: Vec<String> },
    #[error("revision {revision} has other files than in force here; compare the store's backups")]
    Forked { revision: Revision },
    #[error("this program finds {} faults in revision {revision}; upgrade it", faults.len())]
    Invalid { revision: Revision, faults: Vec<Fault> },
}

/// What a daemon tells its peers about the configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Known {
    /// Newest revision that it heard of.
    pub known: Revision,
    /// Revision in force there, if it has one.
    pub in_force: Option<Revision>,
}

/// Where a daemon stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// The newest revision that was heard of is in force.
    Current { revision: Revision },
    /// A newer one was heard of and could not be had yet.
    Behind { revision: Revision, known: Revision },
}

impl Newcomer {
    /// A daemon that just started.
    pub fn new() -> Self {
        Self::default()
    }

    /// Learns that a revision is in force somewhere.
    pub fn heard(&mut self, revision: Revision) {
        self.known = self.known.max(revision);
    }

    /// What this daemon knows of, for its peers.
    pub fn known(&self) -> Known {
        Known { known: self.known, in_force: None }
    }

    /// Puts a first snapshot in force, if it is as new as all that is known of.
    fn begin(&self, snapshot: &Snapshot) -> Result<Follower> {
        load(snapshot, self.known, &Snapshot::default())
    }
}

impl Follower {
    /// Learns that a revision is in force somewhere.
    pub fn heard(&mut self, revision: Revision) {
        self.known = self.known.max(revision);
    }

    /// What this daemon knows of, for its peers.
    pub fn known(&self) -> Known {
        Known { known: self.known, in_force: Some(self.revision()) }
    }

    /// Where this daemon stands.
    pub fn standing(&self) -> Standing {
        let (revision, known) = (self.revision(), self.known);
        if revision < known {
            Standing::Behind { revision, known }
        } else {
            Standing::Current { revision }
        }
    }

    /// The configuration in force.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Revision in force.
    pub fn revision(&self) -> Revision {
        self.snapshot.revision()
    }

    /// The files in force; [`Snapshot::since`] tells what a peer lacks of them.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Whether a head or a peer has something newer than what is in force and known of.
    pub fn wants(&self, manifest: &Manifest) -> bool {
        manifest.revision > self.revision() && manifest.revision >= self.known
    }

    /// Takes a snapshot up if it is newer than what is in force and known of.
    pub fn offer(&mut self, snapshot: &Snapshot) -> Outcome {
        let revision = snapshot.revision();
        if revision == self.revision() {
            return if snapshot.digest == self.snapshot.digest {
                Outcome::Same
            } else {
                Outcome::Refused(Refusal::Forked { revision })
            };
        }
        match load(snapshot, self.known, &self.snapshot) {
            Ok(next) => {
                *self = next;
                Outcome::InForce(Arc::clone(&self.config))
            }
            Err(refusal) => {
                self.heard(revision);
                Outcome::Refused(refusal)
            }
        }
    }
}

/// Checks a snapshot, with the texts that it lacks taken from `held`.
fn load(snapshot: &Snapshot, known: Revision, held: &Snapshot) -> Result<Follower> {
    let revision = snapshot.revision();
    if revision < known {
        return Err(Refusal::Older { offered: revision, known });
    }
    let whole = snapshot.complete(held).map_err(|missing| Refusal::Incomplete { missing })?;
    let mut config =
        check(&whole.files()).map_err(|faults| Refusal::Invalid { revision, faults })?;
    config.revision = revision;
    Ok(Follower { snapshot: whole, config: Arc::new(config), known: revision })
}
