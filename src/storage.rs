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
use follow::{Following, News, Shown};
use indexmap::IndexMap;
use partition::{Job, Writer};
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};

/// Jobs that wait for one partition.
const PARTITION_RING: usize = 1024;

const FIND_KEY_WAIT: Duration = Duration::from_millis(500);

/// Answers that wait for control.
const WAITING_ANSWERS: usize = 100_000;

/// The storage duty.
pub struct Storage {
    me: DaemonId,
    store: SharedStore,
    clock: Arc<dyn Clock>,
    control: Rc<RefCell<Ring<Told>>>,
    front: watch::Sender<FrontView>,
    partitions: IndexMap<PartitionId, mpsc::Sender<Job>>,
    shown: Rc<RefCell<Shown>>,
    news: Option<mpsc::UnboundedSender<News>>,
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
            me,
            store: SharedStore::new(store_url, clock.clone()),
            clock,
            control: Rc::new(RefCell::new(control)),
            front,
            partitions: IndexMap::new(),
            shown: Rc::default(),
            news: None,
        }
    }

    /// The ring of answers to control.
    pub fn answers(control: Addr<Control>) -> Ring<Told> {
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
            let result = CommitResult::NotWritten { reason };
            self.tell(Event::Committed { ticket: *ticket, result });
        }
    }

    fn tell(&self, event: Event) {
        self.control.borrow_mut().tell(event);
    }

    fn tell_follower(&self, news: News) {
        if let Some(tx) = &self.news {
            // The loop ends only with the duty.
            let _ = tx.send(news);
        }
    }
}

impl Actor for Storage {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Self::Context) {
        cx.set_mailbox_capacity(RING_CAPACITY);
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

/// Asks for the task of an idempotency key.
///
/// The core forgets tasks that ended long ago; the log remembers their keys for longer. Without
/// asking it, a key that is repeated after that would be refused with the commit it travels in.
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
        if let Some(loop_tx) = self.partitions.get(&msg.partition) {
            // A full ring drops the question, and with it the sender that the answer waits for.
            let _ = loop_tx.try_send(Job::FindKey { key: msg.key, tx });
        }
        Box::pin(async move {
            // A loop that waits for the service would hold the caller up; the core then answers
            // that the service does not.
            tokio::time::timeout(FIND_KEY_WAIT, rx).await.ok()?.ok()?
        })
    }
}

/// The peers are there; the configuration can be followed.
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
        self.news = Some(tx);
        let following = Following::new(msg.me, self.store.clone(), msg.peers, self, rx);
        actix::spawn(following.run());
    }
}

/// The daemons that answer.
#[derive(Message)]
#[rtype(result = "()")]
pub struct KnowMembers(pub Vec<Member>);

impl Handler<KnowMembers> for Storage {
    type Result = ();

    fn handle(&mut self, msg: KnowMembers, _: &mut Self::Context) {
        self.tell_follower(News::Members(msg.0));
    }
}

/// A revision that a peer knows of; answered with what is known here.
#[derive(Message)]
#[rtype(result = "TellKnown")]
pub struct HearRevision {
    pub revision: Revision,
    /// Peer that has it in force, `ip:port`.
    pub from: Option<String>,
}

/// What is known here.
#[derive(Clone, Copy, Debug, MessageResponse)]
pub struct TellKnown(pub Known);

impl Handler<HearRevision> for Storage {
    type Result = TellKnown;

    fn handle(&mut self, msg: HearRevision, _: &mut Self::Context) -> Self::Result {
        let known = {
            let known = &mut self.shown.borrow_mut().known;
            known.known = known.known.max(msg.revision);
            *known
        };
        self.tell_follower(News::Heard { revision: msg.revision, from: msg.from });
        TellKnown(known)
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
        let shown = self.shown.borrow();
        let snapshot = shown.snapshot.as_ref()?;
        if snapshot.revision() <= msg.than {
            return None;
        }
        serde_json::to_vec(&snapshot.since(msg.than)).ok()
    }
}

/// Puts an operator's change in force.
#[derive(Message)]
#[rtype(result = "apply::Result<Applied>")]
pub struct Apply(pub ChangeRequest);

impl Handler<Apply> for Storage {
    type Result = ResponseFuture<apply::Result<Applied>>;

    fn handle(&mut self, msg: Apply, _: &mut Self::Context) -> Self::Result {
        let known = self.shown.borrow().snapshot.clone();
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
        let (store, head) = (self.store.clone(), self.shown.borrow().head.clone());
        Box::pin(async move {
            audit::page_or_cached(&store, head.as_ref(), msg.before, msg.limit).await
        })
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
        Standing { snapshot: self.shown.borrow().snapshot.clone(), reach: self.store.reach() }
    }
}
