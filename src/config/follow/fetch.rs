//! Asking the store and the peers for what is in force.
//!
//! A daemon that just started has forgotten what its former run had in force. Two things keep it
//! from going back. It asks the store in a way that a lagging replica can't answer
//! ([`read_present`]). And a revision that was read from the store is told to the peers before it
//! is taken up ([`take_up`]), so that, while the store is out of reach, those who are asked by a
//! restarted daemon know of it, even if they have not got it themselves.

use crate::config::follow::{Follower, Known, Outcome};
use crate::config::head::{self, FileRef, HEAD_KEY, Manifest, Versioned};
use crate::config::snapshot::Snapshot;
use crate::ids::{DaemonId, Revision};
use crate::store::{self, Expect, Store};
use bytes::Bytes;
use futures::future::join_all;
use indexmap::IndexMap;
use std::future::Future;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Reads of the head before the store is given up.
const MAX_READS: usize = 4;

/// Expected by a write that must not take effect.
const NO_VERSION: Expect = Expect::Version(u64::MAX);

/// Another daemon; its calls end within a bounded time.
pub trait Peer {
    /// Tells the peer of a revision, and learns what it knows; `None` if it doesn't answer.
    fn exchange(&self, known: Revision) -> impl Future<Output = Option<Known>>;

    /// The peer's configuration, with the texts newer than `since`.
    fn snapshot(&self, since: Revision) -> impl Future<Output = Option<Snapshot>>;
}

/// How a start went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Started {
    /// Version of the head, to watch from; zero if the store didn't answer.
    pub version: u64,
    /// Peers that answered.
    pub peers: usize,
}

/// Fetches the texts that a follower wants of a manifest.
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
    let revision = at.head.manifest.revision;
    let manifest = at.head.manifest.clone();
    let snapshot = fetch(store, follower.wants(&manifest), manifest).await?;
    if revision > follower.revision() {
        let told = join_all(peers.iter().map(|peer| peer.exchange(revision))).await;
        for known in told.into_iter().flatten() {
            follower.heard(known.known);
        }
    }
    Ok(follower.offer(&snapshot))
}

/// Takes up what a peer has, if it is newer. The peer has it too, so that it need not be told.
pub async fn pull(follower: &mut Follower, peer: &impl Peer) -> Option<Outcome> {
    let snapshot = peer.snapshot(follower.revision()).await?;
    Some(follower.offer(&snapshot))
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
/// one that asks for a version that no value has is refused, without effect, with the version at
/// present, which shows whether the head that was read is the present one.
pub async fn read_present(store: &impl Store) -> head::Result<Versioned> {
    for _ in 0..MAX_READS {
        let at = head::read(store).await?;
        match store.put(HEAD_KEY, Bytes::new(), NO_VERSION).await {
            Err(store::Error::Conflict { current, .. }) if current <= at.version => return Ok(at),
            Err(store::Error::Conflict { .. }) => {}
            Err(e) => return Err(e.into()),
            Ok(_) => break,
        }
    }
    let reason = "the service answers from the past".to_owned();
    Err(store::Error::Unavailable { reason }.into())
}

/// Asks all peers and the store, and takes up the newest that is known of.
pub async fn start<P: Peer>(follower: &mut Follower, store: &impl Store, peers: &[P]) -> Started {
    let asked = join_all(peers.iter().map(|peer| peer.exchange(Revision(0)))).await;
    for known in asked.iter().flatten() {
        follower.heard(known.known);
    }
    let version = start_from_store(follower, store, peers).await.unwrap_or(0);
    for (peer, known) in peers.iter().zip(&asked) {
        let in_force = known.map_or(Revision(0), |known| known.in_force);
        if in_force >= follower.known().known && in_force > follower.revision() {
            pull(follower, peer).await;
        }
    }
    Started { version, peers: asked.iter().flatten().count() }
}

async fn start_from_store<P: Peer>(
    follower: &mut Follower,
    store: &impl Store,
    peers: &[P],
) -> head::Result<u64> {
    for _ in 0..MAX_READS {
        let at = read_present(store).await?;
        follower.heard(at.head.manifest.revision);
        match take_up(follower, store, &at, peers).await {
            Ok(_) => return Ok(at.version),
            // A change came between reading the head and its texts.
            Err(head::Error::Gone { .. }) => {}
            Err(e) => return Err(e),
        }
    }
    Ok(0)
}

/// Whether this daemon is one of the `count` of its failure domain that watch the store; the
/// others hear from them.
pub fn watches(me: &DaemonId, members: &[DaemonId], count: usize) -> bool {
    let score = |id: &DaemonId| (xxh3_64(id.as_str().as_bytes()), id.clone());
    let mine = score(me);
    members.iter().filter(|id| *id != me && score(id) < mine).count() < count
}
