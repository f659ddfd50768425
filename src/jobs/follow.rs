//! Followers of store entries that others write: the configuration, VMs, daemons, and the plan.

pub mod fleet;
mod history;
pub mod operators;

use super::Platform;
use super::backoff::{Urgency, read_delay};
use super::control::StoreEvent;
use super::records::MonitoredStore;
use crate::cluster::plan::PLAN_KEY;
use crate::cluster::{Member, Plan};
use crate::ids::VmId;
use crate::job::progress::{decode, encode};
use crate::kv::{
    Condition, Error, Freshness, HasMore, Item, KvStore, LeaseId, Put, Result, Rev, Txn,
};
use crate::note::{Millis, Note, StaticText};
use crate::vm::VmEntry;
use actix::Recipient;
use bytes::Bytes;
use indexmap::{IndexMap, IndexSet};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// Key prefix of the daemons' registrations.
const MEMBER_PREFIX: &str = "daemon/";

/// Interval between reads of the daemons' registrations.
const MEMBER_POLL_INTERVAL: Duration = Duration::from_millis(1000);

/// State shared by the followers.
#[derive(Clone)]
pub struct FollowContext<P: Platform> {
    pub platform: P,
    pub store: MonitoredStore<P::Store>,
    pub control: Recipient<StoreEvent>,
    /// Whether this daemon owns or is claiming a shard.
    pub ownership: Rc<OwnershipSignal>,
    /// Interval between two announcements of a VM; zero if unknown.
    pub announce_interval: Duration,
}

/// Result of a read of changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadProgress {
    CaughtUp,
    /// The remaining changes are larger than the range itself, which is read again instead.
    Behind,
}

/// Whether a daemon owns or is claiming a shard, and a signal for each completed claim.
#[derive(Debug, Default)]
pub struct OwnershipSignal {
    pub owning: Cell<bool>,
    /// Wakes the VM follower as soon as a shard has been claimed.
    pub claimed: Notify,
    /// VMs with runs of the shards claimed since the last fresh list.
    pub recovered_vms: RefCell<IndexSet<VmId>>,
}

/// Tracks consecutive failed reads.
struct FailureStreak {
    what: StaticText,
    in_row: u32,
    /// Time of the last successful read.
    last_success: Duration,
}

impl FailureStreak {
    fn new(what: StaticText, now: Duration) -> Self {
        Self { what, in_row: 0, last_success: now }
    }

    fn record_success(&mut self, now: Duration) {
        (self.in_row, self.last_success) = (0, now);
    }

    /// Counts a failure. Returns a log entry for the first, second, fourth failure in a row and so
    /// on, which limits the log rate.
    fn record_failure(&mut self, now: Duration, e: &Error) -> Option<Note> {
        self.in_row += 1;
        let (what, in_row) = (self.what, self.in_row);
        let unread_ms = Millis(now.saturating_sub(self.last_success));
        let reason = e.to_string();
        in_row.is_power_of_two().then_some(Note::FollowUnread { what, in_row, unread_ms, reason })
    }
}

impl<P: Platform> FollowContext<P> {
    /// Delay before a read is repeated that has just failed.
    fn retry_delay(&self, failures: &FailureStreak, e: &Error) -> Duration {
        let urgency = if self.ownership.owning.get() { Urgency::Owner } else { Urgency::Idle };
        read_delay(e, failures.in_row, urgency)
    }

    fn report_failure(&self, failures: &mut FailureStreak, e: &Error) {
        if let Some(note) = failures.record_failure(self.store.clock().now(), e) {
            self.control.do_send(StoreEvent::Note(note));
        }
    }
}

/// Reads the plan, and adds the racks that it lacks.
async fn extend_plan<P: Platform>(
    ctx: &FollowContext<P>,
    vms: &IndexMap<String, VmEntry>,
) -> Result<()> {
    let vms: Vec<VmEntry> = vms.values().cloned().collect();
    loop {
        let item = ctx.store.call(|store| store.get(PLAN_KEY)).await?;
        let rev = item.as_ref().map_or(Rev::ABSENT, |item| item.rev);
        let plan: Plan = match item.map(|item| decode(&item.value)) {
            Some(Ok(plan)) => plan,
            None => Plan::default(),
            Some(Err(e)) => {
                let (entry, reason) = (PLAN_KEY.to_owned(), e.to_string());
                let note = Note::EntryUnreadable { entry, rev: rev.0, reason };
                ctx.control.do_send(StoreEvent::Note(note));
                return Ok(());
            }
        };
        let Some(extended) = plan.extended(&vms) else {
            ctx.control.do_send(StoreEvent::Plan(plan));
            return Ok(());
        };
        let txn = Txn {
            conditions: vec![Condition { key: PLAN_KEY.to_owned(), rev }],
            puts: vec![Put {
                key: PLAN_KEY.to_owned(),
                value: Bytes::from(encode(&extended)),
                lease: None,
            }],
            deletes: Vec::new(),
        };
        match ctx.store.commit(&txn).await {
            // Read the plan again to learn whether this commit or another daemon's took effect.
            Ok(_) | Err(Error::Conflict { .. } | Error::NoAnswer { .. }) => {}
            Err(e) => return Err(e),
        }
    }
}

/// Registers this daemon, and follows the registrations of the others.
pub async fn follow_members<P: Platform>(ctx: FollowContext<P>, me: Member, lease_ttl: Duration) {
    let mut lease = None;
    let mut failures = FailureStreak::new("daemons", ctx.store.clock().now());
    loop {
        if let Err(e) = run_registration(&ctx, &me, lease_ttl, &mut lease, &mut failures).await {
            ctx.report_failure(&mut failures, &e);
            if e == Error::LeaseEnded {
                lease = None;
            }
            tokio::time::sleep(ctx.retry_delay(&failures, &e)).await;
        }
    }
}

async fn run_registration<P: Platform>(
    ctx: &FollowContext<P>,
    me: &Member,
    lease_ttl: Duration,
    lease: &mut Option<LeaseId>,
    failures: &mut FailureStreak,
) -> Result<()> {
    let store = &ctx.store;
    let key = format!("{MEMBER_PREFIX}{}", me.name);
    let lease_id = match *lease {
        Some(lease_id) => lease_id,
        None => *lease.insert(store.call(|store| store.grant_lease(lease_ttl)).await?),
    };
    register(store, &key, me, lease_id).await?;
    loop {
        let (items, _) = read_all(store, MEMBER_PREFIX, Freshness::Stale).await?;
        let members = items.iter().filter_map(|item| decode::<Member>(&item.value).ok()).collect();
        ctx.control.do_send(StoreEvent::Members(members));
        failures.record_success(store.clock().now());
        tokio::time::sleep(MEMBER_POLL_INTERVAL).await;
        store.call(|store| store.renew_lease(lease_id)).await?;
        // Keys can vanish while their lease is still valid.
        if !items.iter().any(|item| item.key == key) {
            register(store, &key, me, lease_id).await?;
        }
    }
}

async fn register<S: KvStore>(
    store: &MonitoredStore<S>,
    key: &str,
    me: &Member,
    lease: LeaseId,
) -> Result<()> {
    let value = Bytes::from(encode(me));
    let put = Put { key: key.to_owned(), value, lease: Some(lease) };
    let txn = Txn { puts: vec![put], ..Txn::default() };
    store.commit(&txn).await.map(|_| ())
}

/// Reads every page of a range. Returns the revision of the oldest page; a watch from there reports
/// all later changes.
pub(super) async fn read_all<S: KvStore>(
    store: &MonitoredStore<S>,
    prefix: &str,
    freshness: Freshness,
) -> Result<(Vec<Item>, Rev)> {
    let mut items: Vec<Item> = Vec::new();
    let mut at = None;
    loop {
        let after = items.last().map(|item| item.key.clone());
        let after = after.as_deref();
        let page = store.range(prefix, after, freshness).await?;
        // Pages are not a snapshot: the watch must start at the oldest one, which is the first
        // unless they are stale, to include what changed between pages.
        let at = *at.insert(at.unwrap_or(page.at).min(page.at));
        items.extend(page.items);
        if page.more == HasMore::No {
            return Ok((items, at));
        }
    }
}
