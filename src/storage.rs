//! The actor that reads and writes the platform's key-value service.
//!
//! It writes the partitions of the task log and follows the configuration. Each partition has its
//! own loop, so that one that waits for the service does not block another.

mod follow;
mod partition;
mod reach;

pub use reach::{Answers, Reachability, SharedStore};

use crate::audit;
use crate::clock::Clock;
use crate::config::apply::{self, Applied, ChangeRequest, Confirmation};
use crate::config::follow::Known;
use crate::config::snapshot::Snapshot;
use crate::control::{Control, Told};
use crate::core::event::CommitResult;
use crate::core::{Action, Event};
use crate::front::view::FrontView;
use crate::ids::{ChangeId, DaemonId, IdempotencyKey, OperatorName, PartitionId, Revision, TaskId};
use crate::peer::Member;
use crate::peers::Peers;
use crate::ring::{RING_CAPACITY, Ring, WhenFull};
use actix::prelude::*;
use follow::{ConfigFollower, FollowerMessage, FollowerState};
use indexmap::IndexMap;
use partition::{Job, Writer};
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};

/// Capacity of each partition's job queue.
const PARTITION_QUEUE_CAPACITY: usize = 1024;

const FIND_KEY_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of events queued for the control actor.
const MAX_QUEUED_EVENTS: usize = 100_000;

/// The storage actor.
pub struct Storage {
    me: DaemonId,
    store: SharedStore,
    clock: Arc<dyn Clock>,
    control: Rc<RefCell<Ring<Told>>>,
    front: watch::Sender<FrontView>,
    partitions: IndexMap<PartitionId, mpsc::Sender<Job>>,
    state: Rc<RefCell<FollowerState>>,
    follower_tx: Option<mpsc::UnboundedSender<FollowerMessage>>,
}

impl Storage {
    /// Creates the actor, without a configuration in force. Must be called on the actor's thread.
    pub fn new(
        me: DaemonId,
        store_url: &str,
        control: Ring<Told>,
        front: watch::Sender<FrontView>,
        clock: Arc<dyn Clock>,
    ) -> Self {
        Self {
            me,
            store: SharedStore::new(store_url, clock.clone()),
            clock,
            control: Rc::new(RefCell::new(control)),
            front,
            partitions: IndexMap::new(),
            state: Rc::default(),
            follower_tx: None,
        }
    }

    /// Creates the queue of events for the control actor.
    pub fn answers(control: Addr<Control>) -> Ring<Told> {
        Ring::new(control, WhenFull::Wait { limit: MAX_QUEUED_EVENTS })
    }

    fn send_job(&mut self, partition: PartitionId, job: Job) {
        let (me, store, control) = (self.me.clone(), self.store.clone(), self.control.clone());
        let sender = self.partitions.entry(partition).or_insert_with(|| {
            let (tx, rx) = mpsc::channel(PARTITION_QUEUE_CAPACITY);
            actix::spawn(Writer { id: partition, me, store, control }.run(rx));
            tx
        });
        if let Err(e) = sender.try_send(job) {
            self.reject_commit(&e.into_inner());
        }
    }

    fn reject_commit(&self, job: &Job) {
        if let Job::Commit { ticket, .. } = job {
            let reason = "too many commits wait for the key-value service".to_owned();
            let result = CommitResult::NotWritten { reason };
            self.send_event(Event::Committed { ticket: *ticket, result });
        }
    }

    fn send_event(&self, event: Event) {
        self.control.borrow_mut().tell(event);
    }

    fn notify_follower(&self, message: FollowerMessage) {
        if let Some(tx) = &self.follower_tx {
            // Sending fails only while the actor shuts down, when the loop is no longer needed.
            let _ = tx.send(message);
        }
    }
}

impl Actor for Storage {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Self::Context) {
        cx.set_mailbox_capacity(RING_CAPACITY);
    }
}

/// Performs a commit or recovery requested by the core. Other actions are ignored.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Write(pub Action);

impl Handler<Write> for Storage {
    type Result = ();

    fn handle(&mut self, msg: Write, _: &mut Self::Context) {
        match msg.0 {
            Action::Recover { partition } => self.send_job(partition, Job::Recover),
            Action::Commit { ticket, partition, records } => {
                self.send_job(partition, Job::Commit { ticket, records });
            }
            _ => {}
        }
    }
}

/// Looks up the task of an idempotency key in the log.
///
/// The core drops tasks that ended long ago, while the log keeps their keys for longer. Without
/// this lookup, a key that is repeated after that would fail the whole commit that contains it.
#[derive(Message)]
#[rtype(result = "Option<TaskId>")]
pub struct FindKey {
    pub partition: PartitionId,
    pub key: IdempotencyKey,
}

impl Handler<FindKey> for Storage {
    type Result = ResponseFuture<Option<TaskId>>;

    fn handle(&mut self, msg: FindKey, _: &mut Self::Context) -> Self::Result {
        let (tx, rx) = oneshot::channel();
        if let Some(job_tx) = self.partitions.get(&msg.partition) {
            // If the queue is full, the job and its `tx` are dropped, so `rx` fails at once.
            let _ = job_tx.try_send(Job::FindKey { key: msg.key, tx });
        }
        Box::pin(async move {
            // A loop that waits for the service would block the caller. After the timeout, the core
            // reports that the service does not respond.
            tokio::time::timeout(FIND_KEY_TIMEOUT, rx).await.ok()?.ok()?
        })
    }
}

/// Starts following the configuration; sent once the peers actor is running.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Begin {
    pub me: Member,
    pub peers: Addr<Peers>,
}

impl Handler<Begin> for Storage {
    type Result = ();

    fn handle(&mut self, msg: Begin, _: &mut Self::Context) {
        let (tx, rx) = mpsc::unbounded_channel();
        self.follower_tx = Some(tx);
        let follower = ConfigFollower::new(msg.me, self.store.clone(), msg.peers, self, rx);
        actix::spawn(follower.run());
    }
}

/// Updates the list of daemons that respond.
#[derive(Message)]
#[rtype(result = "()")]
pub struct KnowMembers(pub Vec<Member>);

impl Handler<KnowMembers> for Storage {
    type Result = ();

    fn handle(&mut self, msg: KnowMembers, _: &mut Self::Context) {
        self.notify_follower(FollowerMessage::Members(msg.0));
    }
}

/// Reports a revision known to a peer. The reply contains the revisions known to this daemon.
#[derive(Message)]
#[rtype(result = "TellKnown")]
pub struct HearRevision {
    pub revision: Revision,
    /// Address of a peer that has the revision in force, `ip:port`.
    pub from: Option<String>,
}

/// The configuration revisions known to this daemon.
#[derive(Clone, Copy, Debug, MessageResponse)]
pub struct TellKnown(pub Known);

impl Handler<HearRevision> for Storage {
    type Result = TellKnown;

    fn handle(&mut self, msg: HearRevision, _: &mut Self::Context) -> Self::Result {
        let known = {
            let known = &mut self.state.borrow_mut().known;
            known.known = known.known.max(msg.revision);
            *known
        };
        self.notify_follower(FollowerMessage::Heard { revision: msg.revision, from: msg.from });
        TellKnown(known)
    }
}

/// Requests the configuration in force, as JSON, if it is newer than `than`.
#[derive(Message)]
#[rtype(result = "Option<Vec<u8>>")]
pub struct GetSnapshot {
    pub than: Revision,
}

impl Handler<GetSnapshot> for Storage {
    type Result = Option<Vec<u8>>;

    fn handle(&mut self, msg: GetSnapshot, _: &mut Self::Context) -> Self::Result {
        let state = self.state.borrow();
        let snapshot = state.snapshot.as_ref()?;
        if snapshot.revision() <= msg.than {
            return None;
        }
        serde_json::to_vec(&snapshot.since(msg.than)).ok()
    }
}

/// Applies an operator's configuration change.
#[derive(Message)]
#[rtype(result = "apply::Result<Applied>")]
pub struct Apply(pub ChangeRequest);

impl Handler<Apply> for Storage {
    type Result = ResponseFuture<apply::Result<Applied>>;

    fn handle(&mut self, msg: Apply, _: &mut Self::Context) -> Self::Result {
        let known = self.state.borrow().snapshot.clone();
        let (store, clock) = (self.store.clone(), self.clock.clone());
        Box::pin(async move { apply::apply_with(&store, &clock, &msg.0, known.as_ref()).await })
    }
}

/// Requests the outcome of an operator's configuration change.
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
    /// Exclusive upper bound of the entry numbers on the page.
    pub before: Option<u64>,
    pub limit: usize,
}

impl Handler<ReadAudit> for Storage {
    type Result = ResponseFuture<audit::Page>;

    fn handle(&mut self, msg: ReadAudit, _: &mut Self::Context) -> Self::Result {
        let (store, head) = (self.store.clone(), self.state.borrow().head.clone());
        Box::pin(async move {
            audit::page_or_cached(&store, head.as_ref(), msg.before, msg.limit).await
        })
    }
}

/// Requests the configuration in force and whether the key-value service is reachable.
#[derive(Message)]
#[rtype(result = "Standing")]
pub struct GetStanding;

/// The reply to [`GetStanding`].
#[derive(Clone, Debug, MessageResponse)]
pub struct Standing {
    pub snapshot: Option<Snapshot>,
    pub reach: Reachability,
}

impl Handler<GetStanding> for Storage {
    type Result = Standing;

    fn handle(&mut self, _: GetStanding, _: &mut Self::Context) -> Self::Result {
        Standing { snapshot: self.state.borrow().snapshot.clone(), reach: self.store.reach() }
    }
}
