//! Follows the configuration.
//!
//! A few daemons of each failure domain watch the configuration's head. They notify the others of
//! new revisions, which those fetch from a peer. Each waiting watch counts as a call, so if all
//! daemons watched, the service's rate limit would bound the number of daemons.

use super::{SharedStore, Storage};
use crate::config::follow::fetch::{Peer, Started, next_head, pull, start, take_up, watches};
use crate::config::follow::{Follower, Known, Newcomer, Outcome};
use crate::config::head::{self, Head, Versioned};
use crate::config::snapshot::Snapshot;
use crate::control::Told;
use crate::core::Event;
use crate::front::view::FrontView;
use crate::ids::{DaemonId, Revision};
use crate::peer::Member;
use crate::peers::{Announce, AskKnown, AskSnapshot, Peers, Tell};
use crate::ring::Ring;
use actix::prelude::*;
use rand::Rng;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// Number of daemons per failure domain that watch the head.
pub const WATCHERS_PER_DOMAIN: usize = 2;

const WATCH_WAIT: Duration = Duration::from_secs(5);
/// Interval at which daemons that do not watch read the head, in case they are disconnected from
/// all daemons that do.
const READ_INTERVAL: Duration = Duration::from_secs(30);
/// Maximum number of peers notified of a revision before it is put in force.
const MAX_PEERS_NOTIFIED: usize = 8;
/// Maximum number of peers that a starting daemon queries.
const MAX_PEERS_QUERIED: usize = 16;
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// The state that the loop shares with the storage actor.
#[derive(Clone, Debug, Default)]
pub struct FollowerState {
    pub known: Known,
    pub snapshot: Option<Snapshot>,
    /// The last head that was read, for serving the audit trail while the service is unreachable.
    pub head: Option<Head>,
}

/// A message to the loop.
pub enum FollowerMessage {
    /// The daemons that respond. The loop starts following once the list is not empty.
    Members(Vec<Member>),
    /// A revision that is, or is about to be, in force at a peer.
    Heard { revision: Revision, from: Option<String> },
}

/// The loop that follows the configuration.
pub struct ConfigFollower {
    pub me: Member,
    pub store: SharedStore,
    pub peers: Addr<Peers>,
    pub control: Rc<RefCell<Ring<Told>>>,
    pub front: watch::Sender<FrontView>,
    pub state: Rc<RefCell<FollowerState>>,
    pub messages: mpsc::UnboundedReceiver<FollowerMessage>,
    members: Vec<Member>,
}

/// Sends the follower's requests to one peer.
struct PeerLink {
    addr: String,
    peers: Addr<Peers>,
}

impl Peer for PeerLink {
    async fn exchange(&self, known: Revision) -> Option<Known> {
        self.peers.send(AskKnown { addr: self.addr.clone(), known }).await.ok().flatten()
    }

    async fn snapshot(&self, since: Revision) -> Option<Snapshot> {
        let ask = AskSnapshot { addr: self.addr.clone(), since };
        let json = self.peers.send(ask).await.ok().flatten()?;
        serde_json::from_slice(&json).ok()
    }
}

/// The event that ended a wait.
enum WaitResult {
    Head(head::Result<Option<Versioned>>),
    Message(Option<FollowerMessage>),
}

impl ConfigFollower {
    /// Creates the loop, without a configuration in force.
    pub fn new(
        me: Member,
        store: SharedStore,
        peers: Addr<Peers>,
        storage: &Storage,
        messages: mpsc::UnboundedReceiver<FollowerMessage>,
    ) -> Self {
        Self {
            me,
            store,
            peers,
            control: storage.control.clone(),
            front: storage.front.clone(),
            state: storage.state.clone(),
            messages,
            members: Vec::new(),
        }
    }

    /// Follows the configuration until the storage actor stops.
    pub async fn run(mut self) {
        while self.members.is_empty() {
            match self.messages.recv().await {
                Some(message) => self.record_message(&message),
                None => return,
            }
        }
        let (mut follower, mut version) = self.begin().await;
        self.publish_config(&follower, Tell::Domain);
        loop {
            match self.wait(version).await {
                WaitResult::Head(Ok(None)) => {}
                WaitResult::Head(Ok(Some(at))) => {
                    version = at.version;
                    self.adopt_head(&mut follower, &at).await;
                }
                WaitResult::Head(Err(e)) => {
                    log::warn!(reason:% = e; "head-unread");
                    tokio::time::sleep(jittered(RETRY_DELAY)).await;
                }
                WaitResult::Message(Some(message)) => {
                    self.handle_message(&mut follower, &message).await
                }
                WaitResult::Message(None) => return,
            }
        }
    }

    async fn begin(&mut self) -> (Follower, u64) {
        let mut newcomer = Newcomer::new();
        loop {
            newcomer.heard(self.state.borrow().known.known);
            match start(newcomer, &self.store, &self.peer_links(MAX_PEERS_QUERIED)).await {
                Started::Following { follower, version } => return (follower, version),
                Started::Waiting { newcomer: same, reason } => {
                    log::warn!(reason = reason.as_str(); "config-waiting");
                    newcomer = same;
                }
            }
            self.record_known(newcomer.known());
            tokio::time::sleep(jittered(RETRY_DELAY)).await;
            while let Ok(message) = self.messages.try_recv() {
                self.record_message(&message);
            }
        }
    }

    /// Waits for a newer head or a message, whichever comes first.
    async fn wait(&mut self, version: u64) -> WaitResult {
        let ids: Vec<DaemonId> = self.domain_members().map(|member| member.id.clone()).collect();
        let watching = watches(&self.me.id, &ids, WATCHERS_PER_DOMAIN);
        let store = self.store.clone();
        let head = async move {
            if watching {
                return next_head(&store, version, WATCH_WAIT).await;
            }
            tokio::time::sleep(jittered(READ_INTERVAL)).await;
            head::read_newer(&store, version).await
        };
        tokio::select! {
            at = head => WaitResult::Head(at),
            message = self.messages.recv() => WaitResult::Message(message),
        }
    }

    async fn adopt_head(&self, follower: &mut Follower, at: &Versioned) {
        follower.heard(self.state.borrow().known.known);
        self.state.borrow_mut().head = Some(at.head.clone());
        match take_up(follower, &self.store, at, &self.peer_links(MAX_PEERS_NOTIFIED)).await {
            Ok(outcome) => self.handle_outcome(follower, &outcome, Tell::Domain),
            Err(e) => log::warn!(reason:% = e; "config-unread"),
        }
    }

    async fn handle_message(&mut self, follower: &mut Follower, message: &FollowerMessage) {
        self.record_message(message);
        let FollowerMessage::Heard { revision, from } = message else { return };
        follower.heard(*revision);
        if follower.revision() >= *revision {
            return;
        }
        let Some(addr) = from.clone() else { return };
        let link = PeerLink { addr, peers: self.peers.clone() };
        if let Some(outcome) = pull(follower, &link).await {
            self.handle_outcome(follower, &outcome, Tell::Nobody);
        }
    }

    fn handle_outcome(&self, follower: &Follower, outcome: &Outcome, tell: Tell) {
        match outcome {
            Outcome::InForce(_) => self.publish_config(follower, tell),
            Outcome::Same => {}
            Outcome::Refused(refusal) => log::warn!(reason:% = refusal; "config-refused"),
        }
        self.record_known(follower.known());
    }

    fn publish_config(&self, follower: &Follower, tell: Tell) {
        let config = follower.config().clone();
        log::info!(revision = config.revision.0; "config-in-force");
        {
            let mut state = self.state.borrow_mut();
            state.snapshot = Some(follower.snapshot().clone());
        }
        self.record_known(follower.known());
        self.peers.do_send(Announce::Revision { revision: config.revision, tell });
        self.control.borrow_mut().tell(Event::Configured(config.clone()));
        self.front.send_modify(|view| view.configured(config));
    }

    fn record_message(&mut self, message: &FollowerMessage) {
        match message {
            FollowerMessage::Members(members) => self.members.clone_from(members),
            FollowerMessage::Heard { revision, .. } => {
                self.record_known(Known { known: *revision, in_force: None });
            }
        }
    }

    fn record_known(&self, known: Known) {
        let recorded = &mut self.state.borrow_mut().known;
        recorded.known = recorded.known.max(known.known);
        recorded.in_force = recorded.in_force.max(known.in_force);
    }

    fn domain_members(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|member| member.domain == self.me.domain)
    }

    /// Selects up to `count` other daemons, those of this failure domain first. The selection is
    /// the same after a restart, so that a starting daemon queries the peers it notified before.
    fn peer_links(&self, count: usize) -> Vec<PeerLink> {
        let mut others: Vec<&Member> =
            self.members.iter().filter(|member| member.id != self.me.id).collect();
        others.sort_by_key(|member| (member.domain != self.me.domain, member.id.clone()));
        let links = others.into_iter().take(count);
        links
            .map(|member| PeerLink { addr: member.peer_addr.clone(), peers: self.peers.clone() })
            .collect()
    }
}

fn jittered(wait: Duration) -> Duration {
    wait.mul_f64(rand::rng().random_range(0.8..1.0))
}
