//! The duty that reads and writes the platform's key-value service.
//!
//! It writes the partitions of the task log, each by a loop of its own so that one that waits for
//! the service does not hold up another, and it follows the configuration.

mod follow;
mod partition;
mod reach;

pub use reach::{Answers, Reachability, SharedStore};

use crate::audit;
use crate::clock::Clock;
use crate::config::apply::{self, Applied, ChangeRequest, Confirmation};
use crate::config::follow::{Follower, Outcome};
use crate::config::snapshot::Snapshot;
use crate::control::Told;
use crate::core::{Action, Event};
use crate::front::view::FrontView;
use crate::ids::{ChangeId, DaemonId, OperatorName, PartitionId, Revision};
use crate::peers::{Announce, Peers};
use crate::ring::{RING_CAPACITY, Ring, WhenFull};
use actix::prelude::*;
use indexmap::IndexMap;
use partition::{Job, Writer};
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{mpsc, watch};

/// Jobs that wait for one partition.
const PARTITION_RING: usize = 1024;

/// Answers that wait for control.
const WAITING_ANSWERS: usize = 100_000;

/// The storage duty.
pub struct Storage {
    me: DaemonId,
    store: SharedStore,
    clock: Arc<dyn Clock>,
    control: Rc<RefCell<Ring<Told>>>,
    front: watch::Sender<FrontView>,
    peers: Option<Addr<Peers>>,
    partitions: IndexMap<PartitionId, mpsc::Sender<Job>>,
    follower: Follower,
    /// Daemons of the failure domain that could watch the head, this one included.
    watchers: Vec<DaemonId>,
}

impl Storage {
    /// A duty that has nothing in force yet; made on its own thread.
    pub fn new(
        me: DaemonId,
        store_url: &str,
        control: Ring<Told>,
        front: watch::Sender<FrontView>,
        clock: Arc<dyn Clock>,
    ) -> Self {
        Self {
            watchers: vec![me.clone()],
            me,
            store: SharedStore::new(store_url, clock.clone()),
            clock,
            control: Rc::new(RefCell::new(control)),
            front,
            peers: None,
            partitions: IndexMap::new(),
            follower: Follower::new(),
        }
    }

    /// The ring of answers to control.
    pub fn answers(control: Addr<crate::control::Control>) -> Ring<Told> {
        Ring::new(control, WhenFull::Wait { limit: WAITING_ANSWERS })
    }

    fn job(&mut self, partition: PartitionId, job: Job) {
        let (me, store, control) = (self.me.clone(), self.store.clone(), self.control.clone());
        let sender = self.partitions.entry(partition).or_insert_with(|| {
            let (tx, rx) = mpsc::channel(PARTITION_RING);
            actix::spawn(Writer { id: partition, me, store, control }.run(rx));
            tx
        });
        if let Err(e) = sender.try_send(job) {
            self.refuse(&e.into_inner());
        }
    }

    fn refuse(&self, job: &Job) {
        if let Job::Commit { ticket, .. } = job {
            let reason = "too many commits wait for the key-value service".to_owned();
            let result = crate::core::event::CommitResult::NotWritten { reason };
            self.tell(Event::Committed { ticket: *ticket, result });
        }
    }

    fn tell(&self, event: Event) {
        if self.control.borrow_mut().push(Told(event)).is_err() {
            log::error!("answer-lost");
        }
    }

    /// Offers a snapshot to the follower, and puts in force what it takes up.
    fn offer(&mut self, snapshot: &Snapshot) {
        match self.follower.offer(snapshot) {
            Outcome::InForce(config) => {
                log::info!(revision = config.revision.0; "config-in-force");
                self.tell(Event::Configured(config.clone()));
                self.front.send_modify(|view| view.configured(config.clone()));
                if let Some(peers) = &self.peers {
                    peers.do_send(Announce::Revision(config.revision));
                }
            }
            Outcome::Same | Outcome::Older { .. } => {}
            Outcome::Incomplete { missing } => {
                log::warn!(missing:% = missing.join(","); "config-incomplete");
            }
            Outcome::Forked => log::error!("config-forked"),
            Outcome::Invalid(faults) => {
                log::error!(faults = faults.len(); "config-invalid");
            }
        }
    }
}

impl Actor for Storage {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Self::Context) {
        cx.set_mailbox_capacity(RING_CAPACITY);
        self.follow(cx);
    }
}

/// A commit or a recovery that the core asks for.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Write(pub Action);

impl Handler<Write> for Storage {
    type Result = ();

    fn handle(&mut self, msg: Write, _: &mut Self::Context) {
        match msg.0 {
            Action::Recover { partition } => self.job(partition, Job::Recover),
            Action::Commit { ticket, partition, records } => {
                self.job(partition, Job::Commit { ticket, records });
            }
            _ => {}
        }
    }
}

/// Where revisions are announced, and who else could watch the head.
#[derive(Message)]
#[rtype(result = "()")]
pub enum Know {
    Peers(Addr<Peers>),
    Watchers(Vec<DaemonId>),
}

impl Handler<Know> for Storage {
    type Result = ();

    fn handle(&mut self, msg: Know, _: &mut Self::Context) {
        match msg {
            Know::Peers(peers) => self.peers = Some(peers),
            Know::Watchers(watchers) => self.watchers = watchers,
        }
    }
}

/// A peer's snapshot, as JSON.
#[derive(Message)]
#[rtype(result = "()")]
pub struct OfferSnapshot {
    pub json: Vec<u8>,
}

impl Handler<OfferSnapshot> for Storage {
    type Result = ();

    fn handle(&mut self, msg: OfferSnapshot, _: &mut Self::Context) {
        match serde_json::from_slice(&msg.json) {
            Ok(snapshot) => self.offer(&snapshot),
            Err(e) => log::warn!(reason:% = e; "snapshot-unread"),
        }
    }
}

/// Asks for the configuration in force if newer than `than`.
#[derive(Message)]
#[rtype(result = "Option<Vec<u8>>")]
pub struct GetSnapshot {
    pub than: Revision,
}

impl Handler<GetSnapshot> for Storage {
    type Result = Option<Vec<u8>>;

    fn handle(&mut self, msg: GetSnapshot, _: &mut Self::Context) -> Self::Result {
        let snapshot = self.follower.snapshot(msg.than)?;
        if snapshot.revision() <= msg.than {
            return None;
        }
        serde_json::to_vec(&snapshot).ok()
    }
}

/// Puts an operator's change in force.
#[derive(Message)]
#[rtype(result = "apply::Result<Applied>")]
pub struct Apply(pub ChangeRequest);

impl Handler<Apply> for Storage {
    type Result = ResponseFuture<apply::Result<Applied>>;

    fn handle(&mut self, msg: Apply, _: &mut Self::Context) -> Self::Result {
        let known = self.follower.snapshot(Revision(0));
        let (store, clock) = (self.store.clone(), self.clock.clone());
        Box::pin(async move { apply::apply_with(&store, &clock, &msg.0, known.as_ref()).await })
    }
}

/// Asks how an operator's change ended.
#[derive(Message)]
#[rtype(result = "apply::Result<Confirmation>")]
pub struct Confirm {
    pub change: ChangeId,
    pub operator: OperatorName,
}

impl Handler<Confirm> for Storage {
    type Result = ResponseFuture<apply::Result<Confirmation>>;

    fn handle(&mut self, msg: Confirm, _: &mut Self::Context) -> Self::Result {
        let (store, clock) = (self.store.clone(), self.clock.clone());
        Box::pin(async move { apply::confirm(&store, &clock, &msg.change, &msg.operator).await })
    }
}

/// Reads a page of the audit trail.
#[derive(Message)]
#[rtype(result = "audit::Page")]
pub struct ReadAudit {
    /// Number of the entry that the page ends before.
    pub before: Option<u64>,
    pub limit: usize,
}

impl Handler<ReadAudit> for Storage {
    type Result = ResponseFuture<audit::Page>;

    fn handle(&mut self, msg: ReadAudit, _: &mut Self::Context) -> Self::Result {
        let store = self.store.clone();
        Box::pin(async move { audit::page(&store, msg.before, msg.limit).await })
    }
}

/// The configuration in force, and whether the service answers.
#[derive(Message)]
#[rtype(result = "Standing")]
pub struct GetStanding;

/// What the duty knows.
#[derive(Clone, Debug, MessageResponse)]
pub struct Standing {
    pub snapshot: Option<Snapshot>,
    pub reach: Reachability,
}

impl Handler<GetStanding> for Storage {
    type Result = Standing;

    fn handle(&mut self, _: GetStanding, _: &mut Self::Context) -> Self::Result {
        Standing { snapshot: self.follower.snapshot(Revision(0)), reach: self.store.reach() }
    }
}
