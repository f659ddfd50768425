//! Asking the store and the peers for what is in force.
//!
//! A daemon that just started has forgotten what its former run had in force. Two things keep it
//! from going back. It asks the store in a way that a lagging replica can't answer
//! ([`head::read_present`]). And a revision that was read from the store is told to the peers before it
//! is taken up ([`take_up`]), so that, while the store is out of reach, those who are asked by a
//! restarted daemon know of it, even if they have not got it themselves.

use crate::config::follow::{Follower, Known, Newcomer, Outcome, Refusal};
use crate::config::head::{self, HEAD_KEY, Manifest, Versioned};
use crate::config::snapshot::Snapshot;
use crate::ids::{DaemonId, Revision};
use crate::store::Store;
use futures::future::join_all;
use indexmap::IndexMap;
use std::convert::Infallible;
use std::future::Future;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Heads whose texts are asked for before the store is given up.
const MAX_READS: usize = 4;

/// Starts at which the store must fail to answer before the peers are believed instead.
pub const STORE_TRIES: u32 = 3;

/// Another daemon; its calls end within a bounded time.
pub trait Peer {
    /// Tells the peer of a revision, and learns what it knows; `None` if it doesn't answer.
    fn exchange(&self, known: Revision) -> impl Future<Output = Option<Known>>;

    /// The peer's configuration, with the texts newer than `since`.
    fn snapshot(&self, since: Revision) -> impl Future<Output = Option<Snapshot>>;
}

/// For a daemon or a tool without peers.
impl Peer for Infallible {
    async fn exchange(&self, _: Revision) -> Option<Known> {
        match *self {}
    }

    async fn snapshot(&self, _: Revision) -> Option<Snapshot> {
        match *self {}
    }
}

/// How a start went.
#[derive(Debug)]
pub enum Started {
    /// The daemon has a configuration in force.
    Following {
        follower: Follower,
        /// Version of the head, to watch from; zero if the store didn't answer.
        version: u64,
    },
    /// Nothing that could be had is sure to be new enough; start again in a moment.
    Waiting { newcomer: Newcomer, reason: String },
}

/// Fetches the texts of a manifest that `held` lacks.
pub async fn fetch(
    store: &impl Store,
    manifest: &Manifest,
    held: &Snapshot,
) -> head::Result<Snapshot> {
    let mut texts = IndexMap::new();
    for (name, file) in &manifest.files {
        if held.text(name, file.digest).is_none() {
            texts.insert(name.clone(), head::read_text(store, file).await?);
        }
    }
    Ok(Snapshot::new(manifest.clone(), texts))
}

/// Takes up a head that was read from the store, after telling the peers of it.
///
/// Without telling them first, this daemon could put a revision in force, restart while the store
/// is down, and be given an older one by peers that know no better.
pub async fn take_up<P: Peer>(
    follower: &mut Follower,
    store: &impl Store,
    at: &Versioned,
    peers: &[P],
) -> head::Result<Outcome> {
    let manifest = &at.head.manifest;
    if !follower.wants(manifest) {
        return Ok(Outcome::Same);
    }
    let snapshot = fetch(store, manifest, follower.snapshot()).await?;
    for known in tell(manifest.revision, peers).await.into_iter().flatten() {
        follower.heard(known.known);
    }
    Ok(follower.offer(&snapshot))
}

/// Takes up what a peer has, if it is newer. The peer has it too, so that it need not be told.
pub async fn pull(follower: &mut Follower, peer: &impl Peer) -> Option<Outcome> {
    let snapshot = peer.snapshot(follower.revision()).await?;
    Some(follower.offer(&snapshot))
}

/// Tells all peers of a revision, and returns what each of them knows.
async fn tell<P: Peer>(revision: Revision, peers: &[P]) -> Vec<Option<Known>> {
    join_all(peers.iter().map(|peer| peer.exchange(revision))).await
}

/// Waits for a change of the head after `version`, then asks for one all the same: a watch may
/// have missed the change.
pub async fn next_head(
    store: &impl Store,
    version: u64,
    wait: Duration,
) -> head::Result<Option<Versioned>> {
    if let Some(entry) = store.watch(HEAD_KEY, version, wait).await?
        && entry.version > version
    {
        return Versioned::decode(&entry).map(Some);
    }
    head::read_newer(store, version).await
}

/// Asks all peers and the store, and takes up the newest revision that is known of.
///
/// The store's word is taken where it answers, and that of the peers once it has failed to at
/// [`STORE_TRIES`] starts: after a single failed call, a peer that lags could be believed although
/// the store, a moment later, would have told better. If neither answers, the daemon has nothing in
/// force: whatever it took up could be older than what its former run had.
pub async fn start<P: Peer>(mut newcomer: Newcomer, store: &impl Store, peers: &[P]) -> Started {
    let asked = tell(newcomer.known, peers).await;
    for known in asked.iter().flatten() {
        newcomer.heard(known.known);
    }
    let mut reason = match start_from_store(&mut newcomer, store, peers).await {
        Ok(started) => return started,
        Err(e) => e.to_string(),
    };
    newcomer.store_failures += 1;
    if newcomer.store_failures < STORE_TRIES {
        return Started::Waiting { newcomer, reason };
    }
    for (peer, known) in peers.iter().zip(asked) {
        if known.and_then(|known| known.in_force) < Some(newcomer.known) {
            continue;
        }
        let Some(snapshot) = peer.snapshot(Revision(0)).await else { continue };
        match newcomer.begin(&snapshot) {
            Ok(follower) => return Started::Following { follower, version: 0 },
            Err(refusal) => reason = refusal.to_string(),
        }
    }
    Started::Waiting { newcomer, reason }
}

async fn start_from_store<P: Peer>(
    newcomer: &mut Newcomer,
    store: &impl Store,
    peers: &[P],
) -> std::result::Result<Started, StartError> {
    for _ in 0..MAX_READS {
        let Versioned { head, version } = head::read_present(store).await?;
        newcomer.heard(head.manifest.revision);
        let snapshot = match fetch(store, &head.manifest, &Snapshot::default()).await {
            Ok(snapshot) => snapshot,
            // A change came between reading the head and its texts.
            Err(head::Error::Gone { .. }) => continue,
            Err(e) => return Err(e.into()),
        };
        tell(head.manifest.revision, peers).await;
        let follower = newcomer.begin(&snapshot)?;
        return Ok(Started::Following { follower, version });
    }
    Err(StartError::Restless)
}

/// Why the store's configuration was not taken up.
#[derive(Debug, thiserror::Error)]
enum StartError {
    #[error(transparent)]
    Store(#[from] head::Error),
    #[error(transparent)]
    Refused(#[from] Refusal),
    #[error("the configuration changed at each read; start again")]
    Restless,
}

/// Whether this daemon is one of the `count` of its failure domain that watch the store; the
/// others hear from them.
pub fn watches(me: &DaemonId, members: &[DaemonId], count: usize) -> bool {
    let score = |id: &DaemonId| (xxh3_64(id.as_str().as_bytes()), id.clone());
    let mine = score(me);
    members.iter().filter(|id| *id != me && score(id) < mine).count() < count
}
