//! The duty that talks to the other daemons, over `tarpc`.
//!
//! It probes the listed daemons, carries the messages between the cores, and hands the accepted
//! configuration to a daemon that cannot reach the key-value service. Messages to a daemon are
//! batched and sent one batch at a time; a batch that is lost is repeated by the cores.

pub mod link;
pub mod server;

use crate::api::VmDetail;
use crate::clock::Clock;
use crate::config::follow::Known;
use crate::control::Told;
use crate::core::Event;
use crate::core::event::Answer;
use crate::core::policy::{DecisionRecord, Subject};
use crate::front::view::FrontView;
use crate::ids::{DaemonId, IdempotencyKey, PartitionId, Revision, TaskId};
use crate::listing::DaemonEntry;
use crate::membership::{BarrierId, Membership, MembershipSettings};
use crate::peer::{Member, MemberState, PeerMsg};
use crate::request::share::{ShareGrant, ShareRequest};
use crate::ring::{RING_CAPACITY, Ring};
use crate::storage::{HearRevision, KnowMembers, Storage};
use crate::task::{TaskSpec, TaskState};
use crate::usage::Usage;
use actix::prelude::*;
use indexmap::IndexMap;
use link::Link;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// Largest message between daemons, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// Time after which a daemon that has no list goes on without.
const SETTLE_LIMIT: Duration = Duration::from_secs(3);
const ROUND_CHECK: Duration = Duration::from_millis(200);

/// What daemons ask of each other.
#[tarpc::service]
pub trait PeerRpc {
    /// Exchanges signs of life.
    async fn exchange(from: Member) -> Member;

    /// Hands messages to the core.
    async fn deliver(from: Member, msgs: Vec<PeerMsg>) -> Member;

    /// Tells of a revision, and learns what is known there.
    async fn known(revision: Revision) -> Known;

    /// The configuration in force, if newer than `than`; a snapshot as JSON.
    async fn snapshot(than: Revision) -> Option<Vec<u8>>;

    /// Passes a call on to the daemon that can answer it.
    async fn forward(call: Call) -> Reply;
}

/// A call about a task or a decision, made to the daemon that knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Call {
    Submit {
        partition: PartitionId,
        key: IdempotencyKey,
        spec: TaskSpec,
    },
    Cancel {
        task: TaskId,
    },
    Show {
        task: TaskId,
    },
    List,
    Explain {
        subject: Subject,
    },
    /// The VMs held by the daemon asked.
    Vms,
    /// Slots of endpoints on VMs held by the daemon asked.
    Slots {
        asks: Vec<ShareRequest>,
    },
}

/// The answer to a [`Call`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    Answer(Answer),
    Task(Box<Shown>),
    Tasks(Vec<Shown>),
    Vms(Vec<VmDetail>),
    Slots(Vec<ShareGrant>),
    Records {
        records: Vec<DecisionRecord>,
        forgotten: bool,
    },
    /// The daemon asked does not write the partition.
    NotWriter,
    /// The call reached nobody; it surely had no effect.
    NotSent {
        reason: String,
    },
    /// The call may have had an effect.
    NoAnswer {
        reason: String,
    },
}

/// A task with what it waits for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Shown {
    pub task: TaskState,
    pub waiting_for: Option<String>,
}

/// Whether the daemons that were there before this one have been asked.
///
/// A daemon that tells its core of itself alone, because it has not heard of the others yet, would
/// claim every partition and ask for every VM, and give them up again a moment later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Settling {
    Unlisted,
    Asking { open: usize },
    Settled,
}

/// The peers' duty.
pub struct Peers {
    membership: Membership,
    links: IndexMap<String, Link>,
    control: Ring<Told>,
    storage: Addr<Storage>,
    front: watch::Sender<FrontView>,
    clock: Arc<dyn Clock>,
    usage: Arc<Usage>,
    told: Vec<Member>,
    settling: Settling,
}

impl Peers {
    /// A duty that knows no other daemon yet.
    pub fn new(
        me: Member,
        settings: MembershipSettings,
        control: Ring<Told>,
        storage: Addr<Storage>,
        front: watch::Sender<FrontView>,
        clock: Arc<dyn Clock>,
        usage: Arc<Usage>,
    ) -> Self {
        Self {
            membership: Membership::new(me, settings),
            links: IndexMap::new(),
            control,
            storage,
            front,
            clock,
            usage,
            told: Vec::new(),
            settling: Settling::Unlisted,
        }
    }

    fn round(&mut self, cx: &mut Context<Self>) {
        let now = self.clock.now();
        let round = self.membership.round(now);
        for addr in &round.probes {
            self.probe(addr, cx);
        }
        if let Some(barrier) = round.barrier {
            self.send_barrier(barrier, cx);
        }
        self.tell_members();
    }

    fn probe(&mut self, addr: &str, cx: &mut Context<Self>) {
        let me = self.membership.me().clone();
        let link = self.link(addr).clone();
        cx.spawn(async move { link.exchange(me).await }.into_actor(self).map(|answer, this, _| {
            if let Ok(member) = answer {
                this.heard(&member);
            }
            this.asked();
        }));
    }

    /// Counts an answered or failed probe of the first list.
    fn asked(&mut self) {
        if let Settling::Asking { open } = &mut self.settling {
            *open = open.saturating_sub(1);
            if *open == 0 {
                self.settle();
            }
        }
    }

    fn settle(&mut self) {
        self.settling = Settling::Settled;
        self.tell_members();
    }

    // The barrier goes through this daemon's own peer port. Sockets that were readable before it
    // was sent are read by the same reactor on the way, so that its return means that every
    // answer which had arrived by then has been counted.
    fn send_barrier(&mut self, barrier: BarrierId, cx: &mut Context<Self>) {
        let me = self.membership.me().clone();
        let link = self.link(&me.peer_addr).clone();
        cx.spawn(async move { link.exchange(me).await }.into_actor(self).map(
            move |answer, this, _| {
                if answer.is_ok() {
                    for dead in this.membership.passed(barrier) {
                        log::warn!(daemon = dead.as_str(); "member-dead");
                    }
                    this.tell_members();
                }
            },
        ));
    }

    fn heard(&mut self, member: &Member) {
        self.membership.heard(self.clock.now(), member);
        self.tell_members();
        if member.revision > self.membership.me().revision {
            let from = Some(member.peer_addr.clone());
            self.storage.do_send(HearRevision { revision: member.revision, from });
        }
    }

    fn tell_members(&mut self) {
        if self.settling != Settling::Settled {
            return;
        }
        let members = self.membership.members();
        if members == self.told {
            return;
        }
        self.told.clone_from(&members);
        self.front.send_modify(|view| view.set_members(&members));
        self.storage.do_send(KnowMembers(members.clone()));
        // A full ring gets the members again with the next change or round.
        if self.control.push(Told(Event::Members(members))).is_err() {
            self.told.clear();
        }
    }

    fn link(&mut self, addr: &str) -> &Link {
        let usage = &self.usage;
        self.links.entry(addr.to_owned()).or_insert_with(|| Link::new(addr, usage.clone()))
    }

    fn told_at_once(&self, tell: Tell) -> Vec<String> {
        match tell {
            Tell::Nobody => Vec::new(),
            Tell::Everyone => self.membership.addrs(),
            Tell::Domain => {
                let me = self.membership.me();
                let mut near = self.membership.members();
                near.retain(|member| member.domain == me.domain && member.id != me.id);
                near.into_iter().map(|member| member.peer_addr).collect()
            }
        }
    }

    fn addr_of(&self, id: &DaemonId) -> Option<String> {
        self.membership.members().into_iter().find(|m| m.id == *id).map(|m| m.peer_addr)
    }
}

impl Actor for Peers {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Self::Context) {
        cx.set_mailbox_capacity(RING_CAPACITY);
        cx.run_interval(ROUND_CHECK, Self::round);
        cx.run_later(SETTLE_LIMIT, |this, _| this.settle());
    }
}

/// The list's daemons.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ListedDaemons(pub Vec<DaemonEntry>);

impl Handler<ListedDaemons> for Peers {
    type Result = ();

    fn handle(&mut self, msg: ListedDaemons, cx: &mut Self::Context) {
        self.membership.listed(&msg.0);
        let membership = &self.membership;
        let known = |addr: &str| addr == membership.me().peer_addr || membership.knows(addr);
        self.links.retain(|addr, _| known(addr));
        if self.settling == Settling::Unlisted && !msg.0.is_empty() {
            let addrs = self.membership.addrs();
            self.settling = Settling::Asking { open: addrs.len() };
            addrs.iter().for_each(|addr| self.probe(addr, cx));
            if addrs.is_empty() {
                self.settle();
            }
        }
    }
}

/// A change in what this daemon says of itself.
#[derive(Message)]
#[rtype(result = "()")]
pub enum Announce {
    /// A revision is in force here.
    Revision {
        revision: Revision,
        tell: Tell,
    },
    State(MemberState),
}

/// Who is told at once, and doesn't have to wait for the next probe.
///
/// A daemon that has a revision from the store tells its domain. Were those who have it from a peer
/// to tell others too, each change would cost the square of the number of daemons in messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tell {
    Domain,
    Everyone,
    Nobody,
}

impl Handler<Announce> for Peers {
    type Result = ();

    fn handle(&mut self, msg: Announce, cx: &mut Self::Context) {
        let tell = match msg {
            Announce::Revision { tell, .. } => tell,
            Announce::State(_) => Tell::Everyone,
        };
        self.membership.update_me(|me| match msg {
            Announce::Revision { revision, .. } => me.revision = revision,
            Announce::State(state) => me.state = state,
        });
        self.tell_members();
        for addr in self.told_at_once(tell) {
            self.probe(&addr, cx);
        }
    }
}

/// Messages from this daemon's core to another's.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Outgoing {
    pub to: DaemonId,
    pub msg: PeerMsg,
}

impl Handler<Outgoing> for Peers {
    type Result = ();

    fn handle(&mut self, out: Outgoing, cx: &mut Self::Context) {
        let Some(addr) = self.addr_of(&out.to) else {
            return;
        };
        let link = self.link(&addr).clone();
        if link.queue(out.msg) {
            self.flush(link, cx);
        }
    }
}

impl Peers {
    fn flush(&mut self, link: Link, cx: &mut Context<Self>) {
        let me = self.membership.me().clone();
        let again = link.clone();
        cx.spawn(async move { link.deliver(me).await }.into_actor(self).map(
            move |answer, this, cx| {
                if let Ok(member) = answer {
                    this.heard(&member);
                }
                if again.finish_batch() {
                    this.flush(again, cx);
                }
            },
        ));
    }
}

/// A message that came from another daemon.
#[derive(Message)]
#[rtype(result = "Member")]
pub struct Incoming {
    pub from: Member,
    pub msgs: Vec<PeerMsg>,
}

impl Handler<Incoming> for Peers {
    type Result = MessageResult<Incoming>;

    fn handle(&mut self, msg: Incoming, _: &mut Self::Context) -> Self::Result {
        self.heard(&msg.from);
        for peer_msg in msg.msgs {
            let event = Event::Peer { from: msg.from.id.clone(), msg: peer_msg };
            // A full ring loses the message; its sender's core repeats it.
            if self.control.push(Told(event)).is_err() {
                log::warn!(daemon = msg.from.id.as_str(); "peer-message-lost");
            }
        }
        MessageResult(self.membership.me().clone())
    }
}

/// A call to pass on to a daemon.
#[derive(Message)]
#[rtype(result = "Reply")]
pub struct Forward {
    pub to: DaemonId,
    pub call: Call,
}

impl Handler<Forward> for Peers {
    type Result = ResponseFuture<Reply>;

    fn handle(&mut self, msg: Forward, _: &mut Self::Context) -> Self::Result {
        let Some(addr) = self.addr_of(&msg.to) else {
            let reason = format!("{} does not answer", msg.to);
            return Box::pin(std::future::ready(Reply::NotSent { reason }));
        };
        let link = self.link(&addr).clone();
        Box::pin(async move { link.forward(msg.call).await })
    }
}

/// Tells a daemon of a revision and asks what it knows.
#[derive(Message)]
#[rtype(result = "Option<Known>")]
pub struct AskKnown {
    pub addr: String,
    pub known: Revision,
}

impl Handler<AskKnown> for Peers {
    type Result = ResponseFuture<Option<Known>>;

    fn handle(&mut self, msg: AskKnown, _: &mut Self::Context) -> Self::Result {
        let link = self.link(&msg.addr).clone();
        Box::pin(async move { link.known(msg.known).await.ok() })
    }
}

/// Asks a daemon for its configuration if newer than `since`; as JSON.
#[derive(Message)]
#[rtype(result = "Option<Vec<u8>>")]
pub struct AskSnapshot {
    pub addr: String,
    pub since: Revision,
}

impl Handler<AskSnapshot> for Peers {
    type Result = ResponseFuture<Option<Vec<u8>>>;

    fn handle(&mut self, msg: AskSnapshot, _: &mut Self::Context) -> Self::Result {
        let link = self.link(&msg.addr).clone();
        Box::pin(async move { link.snapshot(msg.since).await.ok().flatten() })
    }
}
