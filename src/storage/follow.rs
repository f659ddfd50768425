//! Following the configuration.
//!
//! A few daemons of each failure domain watch the head; the others hear of a new revision from
//! them and fetch it from a peer. Were all to watch, each waiting watch would count as a call, and
//! the service's rate would bound the number of daemons.

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

/// Daemons of a failure domain that watch the head.
pub const WATCHERS: usize = 2;

const WATCH_WAIT: Duration = Duration::from_secs(5);
/// A daemon that does not watch still reads the head now and then, in case that it is cut off from
/// all that do.
const READ_PERIOD: Duration = Duration::from_secs(30);
/// Daemons that are told of a revision before it is taken up.
const MAX_TOLD: usize = 8;
/// Daemons that a starting one asks.
const MAX_ASKED: usize = 16;
const RETRY: Duration = Duration::from_secs(1);

/// What the loop shares with the duty.
#[derive(Clone, Debug, Default)]
pub struct Shown {
    pub known: Known,
    pub snapshot: Option<Snapshot>,
    /// The head as last read, for the audit trail while the service can't be reached.
    pub head: Option<Head>,
}

/// What the loop is told.
pub enum News {
    /// The daemons that answer; none is told before they are known.
    Members(Vec<Member>),
    /// A revision that is in force at a peer, or about to be.
    Heard { revision: Revision, from: Option<String> },
}

/// The loop that follows the configuration.
pub struct Following {
    pub me: Member,
    pub store: SharedStore,
    pub peers: Addr<Peers>,
    pub control: Rc<RefCell<Ring<Told>>>,
    pub front: watch::Sender<FrontView>,
    pub shown: Rc<RefCell<Shown>>,
    pub news: mpsc::UnboundedReceiver<News>,
    members: Vec<Member>,
}

/// A peer as the follower asks it.
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

/// What ended a wait.
enum Woken {
    Head(head::Result<Option<Versioned>>),
    News(Option<News>),
}

impl Following {
    /// A loop that has nothing in force yet.
    pub fn new(
        me: Member,
        store: SharedStore,
        peers: Addr<Peers>,
        duty: &Storage,
        news: mpsc::UnboundedReceiver<News>,
    ) -> Self {
        Self {
            me,
            store,
            peers,
            control: duty.control.clone(),
            front: duty.front.clone(),
            shown: duty.shown.clone(),
            news,
            members: Vec::new(),
        }
    }

    /// Follows until the duty ends.
    pub async fn run(mut self) {
        while self.members.is_empty() {
            match self.news.recv().await {
                Some(news) => self.note(&news),
                None => return,
            }
        }
        let (mut follower, mut version) = self.begin().await;
        self.in_force(&follower, Tell::Domain);
        loop {
            match self.wait(version).await {
                Woken::Head(Ok(None)) => {}
                Woken::Head(Ok(Some(at))) => {
                    version = at.version;
                    self.take_up(&mut follower, &at).await;
                }
                Woken::Head(Err(e)) => {
                    log::warn!(reason:% = e; "head-unread");
                    tokio::time::sleep(jittered(RETRY)).await;
                }
                Woken::News(Some(news)) => self.hear(&mut follower, &news).await,
                Woken::News(None) => return,
            }
        }
    }

    async fn begin(&mut self) -> (Follower, u64) {
        let mut newcomer = Newcomer::new();
        loop {
            newcomer.heard(self.shown.borrow().known.known);
            match start(newcomer, &self.store, &self.links(MAX_ASKED)).await {
                Started::Following { follower, version } => return (follower, version),
                Started::Waiting { newcomer: same, reason } => {
                    log::warn!(reason = reason.as_str(); "config-waiting");
                    newcomer = same;
                }
            }
            self.note_known(newcomer.known());
            tokio::time::sleep(jittered(RETRY)).await;
            while let Ok(news) = self.news.try_recv() {
                self.note(&news);
            }
        }
    }

    /// Waits for the head or for news, whichever comes first.
    async fn wait(&mut self, version: u64) -> Woken {
        let ids: Vec<DaemonId> = self.near().map(|member| member.id.clone()).collect();
        let watching = watches(&self.me.id, &ids, WATCHERS);
        let store = self.store.clone();
        let head = async move {
            if watching {
                return next_head(&store, version, WATCH_WAIT).await;
            }
            tokio::time::sleep(jittered(READ_PERIOD)).await;
            head::read_newer(&store, version).await
        };
        tokio::select! {
            at = head => Woken::Head(at),
            news = self.news.recv() => Woken::News(news),
        }
    }

    async fn take_up(&self, follower: &mut Follower, at: &Versioned) {
        follower.heard(self.shown.borrow().known.known);
        self.shown.borrow_mut().head = Some(at.head.clone());
        match take_up(follower, &self.store, at, &self.links(MAX_TOLD)).await {
            Ok(outcome) => self.taken(follower, &outcome, Tell::Domain),
            Err(e) => log::warn!(reason:% = e; "config-unread"),
        }
    }

    async fn hear(&mut self, follower: &mut Follower, news: &News) {
        self.note(news);
        let News::Heard { revision, from } = news else { return };
        follower.heard(*revision);
        if follower.revision() >= *revision {
            return;
        }
        let Some(addr) = from.clone() else { return };
        let link = PeerLink { addr, peers: self.peers.clone() };
        if let Some(outcome) = pull(follower, &link).await {
            self.taken(follower, &outcome, Tell::Nobody);
        }
    }

    fn taken(&self, follower: &Follower, outcome: &Outcome, tell: Tell) {
        match outcome {
            Outcome::InForce(_) => self.in_force(follower, tell),
            Outcome::Same => {}
            Outcome::Refused(refusal) => log::warn!(reason:% = refusal; "config-refused"),
        }
        self.note_known(follower.known());
    }

    fn in_force(&self, follower: &Follower, tell: Tell) {
        let config = follower.config().clone();
        log::info!(revision = config.revision.0; "config-in-force");
        {
            let mut shown = self.shown.borrow_mut();
            shown.snapshot = Some(follower.snapshot().clone());
        }
        self.note_known(follower.known());
        self.peers.do_send(Announce::Revision { revision: config.revision, tell });
        self.control.borrow_mut().tell(Event::Configured(config.clone()));
        self.front.send_modify(|view| view.configured(config));
    }

    fn note(&mut self, news: &News) {
        match news {
            News::Members(members) => self.members.clone_from(members),
            News::Heard { revision, .. } => {
                self.note_known(Known { known: *revision, in_force: None });
            }
        }
    }

    fn note_known(&self, known: Known) {
        let shown = &mut self.shown.borrow_mut().known;
        shown.known = shown.known.max(known.known);
        shown.in_force = shown.in_force.max(known.in_force);
    }

    fn near(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|member| member.domain == self.me.domain)
    }

    /// Some of the other daemons, those of this failure domain first. The same are chosen after a
    /// restart, so that those who are asked then are those who were told before.
    fn links(&self, count: usize) -> Vec<PeerLink> {
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
