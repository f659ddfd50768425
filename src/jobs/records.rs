//! The actor that reads and writes the store.
//!
//! The commits of one shard run in sequence; commits of different shards, claims, and followers run
//! concurrently. A commit whose answer was lost is sent again unchanged: it is conditional on the
//! head that it replaces, so it takes effect at most once, however often and late it arrives.

use super::claim::{self, CommitRequest, ShardWriter};
use super::control::StoreEvent;
use super::follow::{self, FollowContext, OwnershipSignal};
use super::{Platform, UnreadableEntry};
use crate::clock::Clock;
use crate::cluster::{ExpectedOwner, Member, StoreReachability};
use crate::ids::DaemonId;
use crate::job::JobId;
use crate::kv::{Changes, Error, Freshness, HasRevision, KvStore, Page, Result, Rev, Txn, Watch};
use crate::revisions::RevisionTimes;
use crate::ring::RING_CAPACITY;
use crate::shard::{Keys, PreviousOwner};
use actix::prelude::*;
use indexmap::IndexMap;
use std::cell::{Cell, Ref, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Capacity of a shard's commit queue; control sends one commit at a time.
const SHARD_QUEUE_CAPACITY: usize = 16;

/// Time without an answer after which the store counts as unreachable, if at least two calls have
/// failed since.
const FAILING_TIMEOUT: Duration = Duration::from_millis(500);

/// Time without an answer after which the store counts as unreachable even if no call has failed;
/// calls are made at least every 400 ms.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Tracks whether the store answers this daemon.
#[derive(Debug, Default)]
pub struct Reachability {
    answered: Cell<Option<Duration>>,
    failures: Cell<u32>,
    reason: RefCell<String>,
    regained: Cell<Duration>,
    newest: Cell<Rev>,
}

impl Reachability {
    /// Records the result of a call.
    pub fn record<T: HasRevision>(&self, now: Duration, result: &Result<T>) {
        if let Ok(answer) = result {
            self.newest.set(self.newest.get().max(answer.revision()));
        }
        match result {
            Err(e) if e.is_outage() => {
                self.failures.set(self.failures.get() + 1);
                *self.reason.borrow_mut() = e.to_string();
            }
            _ => {
                if self.state(now) == StoreReachability::Away {
                    self.regained.set(now);
                }
                self.failures.set(0);
                self.answered.set(Some(now));
            }
        }
    }

    /// Whether the store is reachable.
    pub fn state(&self, now: Duration) -> StoreReachability {
        let Some(answered) = self.answered.get() else { return StoreReachability::Away };
        let silent = now.saturating_sub(answered);
        let away =
            (self.failures.get() >= 2 && silent >= FAILING_TIMEOUT) || silent >= SILENCE_TIMEOUT;
        if away { StoreReachability::Away } else { StoreReachability::Reached }
    }

    /// Time since the last answer.
    pub fn silent(&self, now: Duration) -> Duration {
        self.answered.get().map_or(now, |at| now.saturating_sub(at))
    }

    /// Newest store revision reported by any answer.
    pub fn newest(&self) -> Rev {
        self.newest.get()
    }

    /// When the store last became reachable; zero before the first answer.
    pub fn regained(&self) -> Duration {
        self.regained.get()
    }

    /// Error of the last call that failed because of an outage.
    pub fn reason(&self) -> String {
        self.reason.borrow().clone()
    }
}

/// A store client that records whether the store answers, and when it reached which revision.
#[derive(Clone)]
pub struct MonitoredStore<S> {
    store: S,
    reach: Rc<Reachability>,
    times: Rc<RefCell<RevisionTimes>>,
    clock: Arc<dyn Clock>,
}

impl<S: KvStore> MonitoredStore<S> {
    /// Wraps a client that has made no calls yet.
    pub fn new(store: S, clock: Arc<dyn Clock>) -> Self {
        Self { store, reach: Rc::default(), times: Rc::default(), clock }
    }

    /// The time on the daemon's monotonic clock.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Makes a call and records its result.
    pub async fn call<'a, T, F>(&'a self, call: impl FnOnce(&'a S) -> F) -> Result<T>
    where
        T: HasRevision,
        F: Future<Output = Result<T>> + 'a,
    {
        let result = call(&self.store).await;
        self.reach.record(self.clock.now(), &result);
        result
    }

    /// Reads a page of the keys with the prefix, after the key `after`.
    pub async fn range(
        &self,
        prefix: &str,
        after: Option<&str>,
        freshness: Freshness,
    ) -> Result<Page> {
        let asked = self.clock.now();
        let page = self.call(|store| store.range(prefix, after, freshness)).await?;
        if freshness == Freshness::Latest {
            self.times.borrow_mut().record(asked, self.clock.now(), page.at);
        }
        Ok(page)
    }

    /// Commits a transaction and returns its revision.
    pub async fn commit(&self, txn: &Txn) -> Result<Rev> {
        let asked = self.clock.now();
        let rev = self.call(|store| store.commit(txn)).await?;
        self.times.borrow_mut().record(asked, self.clock.now(), rev);
        Ok(rev)
    }

    /// Waits for changes to a range; returns no changes on timeout.
    pub async fn watch(&self, watch: &Watch) -> Result<Changes> {
        let asked = self.clock.now();
        let answer = self.call(|store| store.watch(watch)).await?;
        let answered = self.clock.now();
        // Other calls may show that the store had reached a later revision, so that the answer is
        // incomplete or delayed.
        let is_newest = answer.at > watch.after && answer.at >= self.reach.newest();
        if is_newest && !answer.may_be_truncated() {
            // Without changes, the revision is that at the end of the wait.
            let waited = asked + watch.wait;
            let is_timeout = answer.changes.is_empty() && waited <= answered;
            let asked = if is_timeout { waited } else { asked };
            self.times.borrow_mut().record(asked, answered, answer.at);
        }
        Ok(answer)
    }

    pub fn clock(&self) -> &dyn Clock {
        &*self.clock
    }

    /// What is known of the times of the store's revisions.
    pub fn times(&self) -> Ref<'_, RevisionTimes> {
        self.times.borrow()
    }

    /// What is known of the store's reachability.
    pub fn reach(&self) -> &Reachability {
        &self.reach
    }
}

/// Actor for access to the store.
pub struct Records<P: Platform> {
    me: Member,
    platform: P,
    store: MonitoredStore<P::Store>,
    control: Recipient<StoreEvent>,
    shards: IndexMap<String, mpsc::Sender<CommitRequest>>,
    /// Claims in progress.
    claims: u32,
    reported_reach: StoreReachability,
    ownership: Rc<OwnershipSignal>,
    lease_ttl: Duration,
    announce_interval: Duration,
    stale_extension: Duration,
}

impl<P: Platform> Records<P> {
    /// Creates the actor. VMs announce themselves every `announce_interval`, and owners extend leases
    /// in full for `stale_extension` after their last proof of ownership. Must be called on the
    /// actor's thread.
    pub fn new(
        me: Member,
        platform: P,
        lease_ttl: Duration,
        announce_interval: Duration,
        stale_extension: Duration,
        control: Recipient<StoreEvent>,
        clock: Arc<dyn Clock>,
    ) -> Self {
        let store = MonitoredStore::new(platform.store(), clock);
        Self {
            me,
            platform,
            store,
            control,
            shards: IndexMap::new(),
            claims: 0,
            reported_reach: StoreReachability::Away,
            ownership: Rc::default(),
            lease_ttl,
            announce_interval,
            stale_extension,
        }
    }

    fn report_reach(&mut self) {
        let now = self.store.clock.now();
        let reach = self.store.reach.state(now);
        if reach != self.reported_reach {
            self.reported_reach = reach;
            let (silent, reason) = (self.store.reach.silent(now), self.store.reach.reason());
            self.control.do_send(StoreEvent::Reach { reach, silent, reason });
        }
    }

    /// Derives the ownership flag from the claims and shards held here. When it was set by messages
    /// from outside, a message that no shard was left could overtake a claim; the owner then read
    /// the VMs as rarely as a daemon without shards, and started tasks on VMs that had left.
    fn update_ownership(&self) {
        self.ownership.owning.set(self.claims > 0 || !self.shards.is_empty());
    }

    fn follow_context(&self) -> FollowContext<P> {
        FollowContext {
            platform: self.platform.clone(),
            store: self.store.clone(),
            control: self.control.clone(),
            ownership: self.ownership.clone(),
            announce_interval: self.announce_interval,
        }
    }
}

/// Interval between checks of whether the store is reachable.
const REACH_CHECK_INTERVAL: Duration = Duration::from_millis(100);

impl<P: Platform> Actor for Records<P> {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Self::Context) {
        cx.set_mailbox_capacity(RING_CAPACITY);
        cx.run_interval(REACH_CHECK_INTERVAL, |this, _| this.report_reach());
        actix::spawn(follow::operators::follow(self.follow_context()));
        actix::spawn(follow::fleet::follow(self.follow_context()));
        actix::spawn(follow::follow_members(
            self.follow_context(),
            self.me.clone(),
            self.lease_ttl,
        ));
    }
}

/// Claims a shard and reads its state from the store.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ClaimShard {
    pub shard: String,
    pub previous: PreviousOwner,
    pub replaces: ExpectedOwner,
}

impl<P: Platform> Handler<ClaimShard> for Records<P> {
    type Result = ();

    fn handle(&mut self, msg: ClaimShard, cx: &mut Self::Context) {
        let (store, me, control) = (self.store.clone(), self.me.id.clone(), self.control.clone());
        self.claims += 1;
        self.update_ownership();
        let (shard, previous, replaces) = (msg.shard.clone(), msg.previous, msg.replaces);
        let stale = self.stale_extension;
        let claimed =
            async move { claim::claim(&store, &me, &shard, previous, replaces, stale).await };
        cx.spawn(claimed.into_actor(self).map(move |claimed, this, _| {
            this.claims -= 1;
            match claimed {
                Ok((writer, recovered)) => {
                    this.start_writer(&msg.shard, writer);
                    let bound = recovered.progress.iter().flat_map(|(_, progress)| &progress.vms);
                    let vms = bound.map(|vm| vm.id.clone());
                    this.ownership.recovered_vms.borrow_mut().extend(vms);
                    control.do_send(StoreEvent::Claimed(Box::new(recovered)));
                    this.ownership.claimed.notify_one();
                }
                Err(failed) => {
                    let (shard, head) = (msg.shard, failed.head);
                    control.do_send(StoreEvent::ClaimFailed { shard, head, reason: failed.reason });
                }
            }
            this.update_ownership();
        }));
    }
}

impl<P: Platform> Records<P> {
    fn start_writer(&mut self, shard: &str, writer: ShardWriter) {
        let (tx, rx) = mpsc::channel(SHARD_QUEUE_CAPACITY);
        self.shards.insert(shard.to_owned(), tx);
        let (store, control, name) = (self.store.clone(), self.control.clone(), shard.to_owned());
        actix::spawn(write_commits(store, control, name, writer, rx));
    }
}

/// Writes a shard's commits in sequence, until the shard is lost.
async fn write_commits<S: KvStore>(
    store: MonitoredStore<S>,
    control: Recipient<StoreEvent>,
    shard: String,
    mut writer: ShardWriter,
    mut rx: mpsc::Receiver<CommitRequest>,
) {
    let fence = writer.fence();
    while let Some(request) = rx.recv().await {
        let seq = request.seq;
        let result = writer.commit(&store, request).await;
        let lost = matches!(result, crate::shard::CommitResult::Superseded(_));
        let shard = shard.clone();
        control.do_send(StoreEvent::Committed { shard, fence, seq, result });
        if lost {
            return;
        }
    }
}

/// Commits changes to a shard.
#[derive(Message)]
#[rtype(result = "()")]
pub struct CommitShard {
    pub shard: String,
    pub request: CommitRequest,
}

impl<P: Platform> Handler<CommitShard> for Records<P> {
    type Result = ();

    fn handle(&mut self, msg: CommitShard, _: &mut Self::Context) {
        if let Some(tx) = self.shards.get(&msg.shard) {
            // Control sends one commit at a time, so the queue has room. If the writer task has
            // ended, it has already reported that the shard is lost.
            let _ = tx.try_send(msg.request);
        }
    }
}

/// Removes a shard that is no longer owned here.
#[derive(Message)]
#[rtype(result = "()")]
pub struct RemoveShard {
    pub shard: String,
}

impl<P: Platform> Handler<RemoveShard> for Records<P> {
    type Result = ();

    fn handle(&mut self, msg: RemoveShard, _: &mut Self::Context) {
        self.shards.shift_remove(&msg.shard);
        self.update_ownership();
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
                control.do_send(StoreEvent::Heads(heads));
            }
        });
    }
}

/// Asks the store whether `owner` still owns a shard. Control handles a loss like a superseded
/// commit.
#[derive(Message)]
#[rtype(result = "OwnershipStatus")]
pub struct ConfirmOwnership {
    pub shard: String,
    pub owner: DaemonId,
}

/// Answer to [`ConfirmOwnership`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, MessageResponse)]
pub enum OwnershipStatus {
    Owned,
    Lost,
    Unknown,
}

impl<P: Platform> Handler<ConfirmOwnership> for Records<P> {
    type Result = ResponseFuture<OwnershipStatus>;

    fn handle(&mut self, msg: ConfirmOwnership, _: &mut Self::Context) -> Self::Result {
        let store = self.store.clone();
        Box::pin(async move {
            match claim::read_head(&store, &msg.shard).await {
                Ok(Some((_, head))) if head.owner == msg.owner => OwnershipStatus::Owned,
                Ok(_) => OwnershipStatus::Lost,
                Err(_) => OwnershipStatus::Unknown,
            }
        })
    }
}

/// Asks the store which shard a job is in.
#[derive(Message)]
#[rtype(result = "JobLocation")]
pub struct FindJob(pub JobId);

/// Answer to [`FindJob`].
#[derive(Clone, Debug, PartialEq, Eq, MessageResponse)]
pub enum JobLocation {
    Shard(String),
    /// The job was never accepted, or its record was deleted.
    NotFound,
    Unknown(String),
}

impl<P: Platform> Handler<FindJob> for Records<P> {
    type Result = ResponseFuture<JobLocation>;

    fn handle(&mut self, msg: FindJob, _: &mut Self::Context) -> Self::Result {
        let store = self.store.clone();
        Box::pin(async move {
            let key = Keys::id(msg.0);
            match store.call(|store| store.get(&key)).await {
                Ok(Some(item)) => match String::from_utf8(item.value.to_vec()) {
                    Ok(shard) => JobLocation::Shard(shard),
                    Err(e) => JobLocation::Unknown(e.to_string()),
                },
                Ok(None) => JobLocation::NotFound,
                Err(e) => JobLocation::Unknown(e.to_string()),
            }
        })
    }
}

/// Stops the actor because the daemon ends; its registration expires with its lease.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Shutdown;

impl<P: Platform> Handler<Shutdown> for Records<P> {
    type Result = ();

    fn handle(&mut self, _: Shutdown, cx: &mut Self::Context) {
        cx.stop();
    }
}

/// Log entry for a store entry that can't be decoded.
pub fn unreadable_note(rev: u64, e: &UnreadableEntry) -> crate::note::Note {
    crate::note::Note::EntryUnreadable { entry: e.key.clone(), rev, reason: e.reason.clone() }
}

/// Delay before a failed call is repeated.
pub fn retry_delay(error: &Error) -> Duration {
    match error {
        // The call may have taken effect with its answer lost; it is repeated soon, unchanged.
        Error::NoAnswer { .. } => Duration::from_millis(20),
        _ => Duration::from_millis(80),
    }
}
