//! The duty that reads and writes the store.
//!
//! Commits of one shard follow each other; those of different shards, claims, and what is followed
//! run side by side. A commit whose answer was lost is sent again as it was: it rests on the head
//! that it replaces, so that it takes effect once at the most, however often and late it arrives.

use super::claim::{self, Held};
use super::control::Stored;
use super::follow::{self, Owning, Sources};
use super::{Platform, Unreadable};
use crate::clock::Clock;
use crate::cluster::{Member, Replaced, StoreReach};
use crate::ids::DaemonId;
use crate::job::JobId;
use crate::kv::{Error, Kv, Result, Rev, Revised, Txn};
use crate::ring::RING_CAPACITY;
use crate::shard::{Keys, Previous};
use actix::prelude::*;
use indexmap::IndexMap;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Commits that wait for one shard; control sends one at a time.
const SHARD_RING: usize = 16;

/// Silence of the store, with calls failing, after which it counts as away.
const AWAY_AFTER: Duration = Duration::from_millis(500);

/// Silence after which it counts as away in any case; calls are made every 400 ms at least.
const SILENT_AFTER: Duration = Duration::from_millis(1500);

/// When the store last answered this daemon.
#[derive(Debug, Default)]
pub struct Reach {
    answered: Cell<Option<Duration>>,
    failures: Cell<u32>,
    reason: RefCell<String>,
    regained: Cell<Duration>,
    newest: Cell<Rev>,
}

impl Reach {
    /// Notes how a call ended.
    pub fn note<T: Revised>(&self, now: Duration, result: &Result<T>) {
        if let Ok(answer) = result {
            self.newest.set(self.newest.get().max(answer.revision()));
        }
        match result {
            Err(e) if e.is_outage() => {
                self.failures.set(self.failures.get() + 1);
                *self.reason.borrow_mut() = e.to_string();
            }
            _ => {
                if self.state(now) == StoreReach::Away {
                    self.regained.set(now);
                }
                self.failures.set(0);
                self.answered.set(Some(now));
            }
        }
    }

    /// Whether the store answers.
    pub fn state(&self, now: Duration) -> StoreReach {
        let Some(answered) = self.answered.get() else { return StoreReach::Away };
        let silent = now.saturating_sub(answered);
        let away = (self.failures.get() >= 2 && silent >= AWAY_AFTER) || silent >= SILENT_AFTER;
        if away { StoreReach::Away } else { StoreReach::Reached }
    }

    /// Time since the last answer.
    pub fn silent(&self, now: Duration) -> Duration {
        self.answered.get().map_or(now, |at| now.saturating_sub(at))
    }

    /// Newest revision of the store that any answer told of.
    pub fn newest(&self) -> Rev {
        self.newest.get()
    }

    /// When the store came back, if it was away.
    pub fn regained(&self) -> Duration {
        self.regained.get()
    }

    /// Why the last call failed.
    pub fn reason(&self) -> String {
        self.reason.borrow().clone()
    }
}

/// A client of the store that notes whether it answers.
#[derive(Clone)]
pub struct Watched<S> {
    store: S,
    reach: Rc<Reach>,
    clock: Arc<dyn Clock>,
}

impl<S: Kv> Watched<S> {
    /// A client that hasn't called yet.
    pub fn new(store: S, clock: Arc<dyn Clock>) -> Self {
        Self { store, reach: Rc::default(), clock }
    }

    /// Makes a call and notes how it ended.
    pub async fn call<'a, T, F>(&'a self, call: impl FnOnce(&'a S) -> F) -> Result<T>
    where
        T: Revised,
        F: Future<Output = Result<T>> + 'a,
    {
        let result = call(&self.store).await;
        self.reach.note(self.clock.now(), &result);
        result
    }

    /// The clock.
    pub fn clock(&self) -> &dyn Clock {
        &*self.clock
    }

    /// Whether the store answers.
    pub fn reach(&self) -> &Reach {
        &self.reach
    }
}

/// The duty.
pub struct Records<P: Platform> {
    me: Member,
    platform: P,
    store: Watched<P::Store>,
    control: Recipient<Stored>,
    shards: IndexMap<String, mpsc::Sender<Job>>,
    /// Claims under way.
    claims: u32,
    told: StoreReach,
    owning: Rc<Owning>,
    lease_ttl: Duration,
}

/// A commit to make.
struct Job {
    seq: u64,
    txn: Txn,
}

impl<P: Platform> Records<P> {
    /// A duty that has read nothing yet; made on its own thread.
    pub fn new(
        me: Member,
        platform: P,
        lease_ttl: Duration,
        control: Recipient<Stored>,
        clock: Arc<dyn Clock>,
    ) -> Self {
        let store = Watched::new(platform.store(), clock);
        Self {
            me,
            platform,
            store,
            control,
            shards: IndexMap::new(),
            claims: 0,
            told: StoreReach::Away,
            owning: Rc::default(),
            lease_ttl,
        }
    }

    fn watch_reach(&mut self) {
        let now = self.store.clock.now();
        let reach = self.store.reach.state(now);
        if reach != self.told {
            self.told = reach;
            let (silent, reason) = (self.store.reach.silent(now), self.store.reach.reason());
            self.control.do_send(Stored::Reach { reach, silent, reason });
        }
    }

    /// Derived from the claims and shards that are here. Told from outside, word that no shard was left
    /// overtook a claim, and the owner went on reading the VMs as rarely as a daemon without shards:
    /// it started tasks on VMs that had left.
    fn note_owning(&self) {
        self.owning.now.set(self.claims > 0 || !self.shards.is_empty());
    }

    fn sources(&self) -> Sources<P> {
        Sources {
            platform: self.platform.clone(),
            store: self.store.clone(),
            control: self.control.clone(),
            owning: self.owning.clone(),
        }
    }
}

/// Between two checks of whether the store answers.
const REACH_CHECK: Duration = Duration::from_millis(100);

impl<P: Platform> Actor for Records<P> {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Self::Context) {
        cx.set_mailbox_capacity(RING_CAPACITY);
        cx.run_interval(REACH_CHECK, |this, _| this.watch_reach());
        actix::spawn(follow::operators::follow(self.sources()));
        actix::spawn(follow::fleet::follow(self.sources()));
        actix::spawn(follow::members(self.sources(), self.me.clone(), self.lease_ttl));
    }
}

/// Claims a shard and reads what the store has of it.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Claim {
    pub shard: String,
    pub previous: Previous,
    pub replaces: Replaced,
}

impl<P: Platform> Handler<Claim> for Records<P> {
    type Result = ();

    fn handle(&mut self, msg: Claim, cx: &mut Self::Context) {
        let (store, me, control) = (self.store.clone(), self.me.id.clone(), self.control.clone());
        self.claims += 1;
        self.note_owning();
        let (shard, previous, replaces) = (msg.shard.clone(), msg.previous, msg.replaces);
        let claimed = async move { claim::claim(&store, &me, &shard, previous, &replaces).await };
        cx.spawn(claimed.into_actor(self).map(move |claimed, this, _| {
            this.claims -= 1;
            match claimed {
                Ok((held, recovered)) => {
                    this.write_shard(&msg.shard, held);
                    control.do_send(Stored::Claimed(Box::new(recovered)));
                    this.owning.claimed.notify_one();
                }
                Err(failed) => {
                    let (shard, head) = (msg.shard, failed.head);
                    control.do_send(Stored::ClaimFailed { shard, head, reason: failed.reason });
                }
            }
            this.note_owning();
        }));
    }
}

impl<P: Platform> Records<P> {
    fn write_shard(&mut self, shard: &str, held: Held) {
        let (tx, rx) = mpsc::channel(SHARD_RING);
        self.shards.insert(shard.to_owned(), tx);
        let (store, control, name) = (self.store.clone(), self.control.clone(), shard.to_owned());
        actix::spawn(write(store, control, name, held, rx));
    }
}

/// Makes a shard's commits, one after the other, until the shard is lost.
async fn write<S: Kv>(
    store: Watched<S>,
    control: Recipient<Stored>,
    shard: String,
    mut held: Held,
    mut rx: mpsc::Receiver<Job>,
) {
    let fence = held.fence();
    while let Some(job) = rx.recv().await {
        let result = held.commit(&store, job.seq, job.txn).await;
        let lost = matches!(result, crate::shard::CommitResult::Superseded(_));
        let (shard, seq) = (shard.clone(), job.seq);
        control.do_send(Stored::Committed { shard, fence, seq, result });
        if lost {
            return;
        }
    }
}

/// Makes a shard's changes durable.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Commit {
    pub shard: String,
    pub seq: u64,
    pub txn: Txn,
}

impl<P: Platform> Handler<Commit> for Records<P> {
    type Result = ();

    fn handle(&mut self, msg: Commit, _: &mut Self::Context) {
        if let Some(tx) = self.shards.get(&msg.shard) {
            // Control has one commit under way at a time; a loop that has ended has lost the shard
            // and said so.
            let _ = tx.try_send(Job { seq: msg.seq, txn: msg.txn });
        }
    }
}

/// The shard isn't owned here any more.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Forget {
    pub shard: String,
}

impl<P: Platform> Handler<Forget> for Records<P> {
    type Result = ();

    fn handle(&mut self, msg: Forget, _: &mut Self::Context) {
        self.shards.shift_remove(&msg.shard);
        self.note_owning();
    }
}

/// Reads the heads of all shards.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ReadHeads;

impl<P: Platform> Handler<ReadHeads> for Records<P> {
    type Result = ();

    fn handle(&mut self, _: ReadHeads, _: &mut Self::Context) {
        let (store, control) = (self.store.clone(), self.control.clone());
        actix::spawn(async move {
            if let Ok(heads) = claim::read_heads(&store).await {
                control.do_send(Stored::Heads(heads));
            }
        });
    }
}

/// Asks whether a shard is still owned here; told as a commit that was superseded if not.
#[derive(Message)]
#[rtype(result = "Confirmation")]
pub struct Confirm {
    pub shard: String,
    pub owner: DaemonId,
}

/// Whether a shard is still owned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, MessageResponse)]
pub enum Confirmation {
    Owned,
    Lost,
    Unknown,
}

impl<P: Platform> Handler<Confirm> for Records<P> {
    type Result = ResponseFuture<Confirmation>;

    fn handle(&mut self, msg: Confirm, _: &mut Self::Context) -> Self::Result {
        let store = self.store.clone();
        Box::pin(async move {
            match claim::read_head(&store, &msg.shard).await {
                Ok(Some((_, head))) if head.owner == msg.owner => Confirmation::Owned,
                Ok(_) => Confirmation::Lost,
                Err(_) => Confirmation::Unknown,
            }
        })
    }
}

/// Asks the store which shard a job is in.
#[derive(Message)]
#[rtype(result = "Found")]
pub struct FindJob(pub JobId);

/// Where a job is.
#[derive(Clone, Debug, PartialEq, Eq, MessageResponse)]
pub enum Found {
    Shard(String),
    /// No such job was accepted, or it was forgotten.
    Nowhere,
    Unknown(String),
}

impl<P: Platform> Handler<FindJob> for Records<P> {
    type Result = ResponseFuture<Found>;

    fn handle(&mut self, msg: FindJob, _: &mut Self::Context) -> Self::Result {
        let store = self.store.clone();
        Box::pin(async move {
            let key = Keys::id(msg.0);
            match store.call(|store| store.get(&key)).await {
                Ok(Some(item)) => match String::from_utf8(item.value.to_vec()) {
                    Ok(shard) => Found::Shard(shard),
                    Err(e) => Found::Unknown(e.to_string()),
                },
                Ok(None) => Found::Nowhere,
                Err(e) => Found::Unknown(e.to_string()),
            }
        })
    }
}

/// The daemon ends: its registration goes.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Leave;

impl<P: Platform> Handler<Leave> for Records<P> {
    type Result = ();

    fn handle(&mut self, _: Leave, cx: &mut Self::Context) {
        cx.stop();
    }
}

/// Logs an item that can't be read.
pub fn note_unreadable(rev: u64, e: &Unreadable) -> crate::note::Note {
    crate::note::Note::EntryUnreadable { entry: e.key.clone(), rev, reason: e.reason.clone() }
}

/// Whether a failed call may be made again at once.
pub fn retry_pause(error: &Error) -> Duration {
    match error {
        // The answer may be on its way; the call is sent again as it was.
        Error::NoAnswer { .. } => Duration::from_millis(20),
        _ => Duration::from_millis(80),
    }
}
