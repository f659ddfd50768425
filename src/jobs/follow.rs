//! Following what others write in the store: the configuration, the VMs, the daemons and the plan.

pub mod fleet;
pub mod operators;

use super::Platform;
use super::control::Stored;
use super::records::{Watched, retry_pause};
use crate::cluster::plan::PLAN_KEY;
use crate::cluster::{Member, Plan};
use crate::job::progress::{decode, encode};
use crate::kv::{Condition, Error, Freshness, Item, Kv, LeaseId, More, Put, Result, Rev, Txn};
use crate::note::{Ms, Note, Word};
use crate::vm::VmEntry;
use actix::Recipient;
use bytes::Bytes;
use indexmap::IndexMap;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// Prefix of the daemons' registrations.
const MEMBERS: &str = "daemon/";

/// Between two readings of the daemons' registrations.
const MEMBERS_EVERY: Duration = Duration::from_millis(1000);

/// What the followers work with.
#[derive(Clone)]
pub struct Sources<P: Platform> {
    pub platform: P,
    pub store: Watched<P::Store>,
    pub control: Recipient<Stored>,
    /// Whether this daemon owns or claims a shard.
    pub owning: Rc<Owning>,
}

/// How following changes ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Caught {
    Up,
    /// More is left than is worth reading: the range is shorter.
    Behind,
}

/// Whether a daemon owns or claims a shard, and the news that it has claimed one.
#[derive(Debug, Default)]
pub struct Owning {
    pub now: Cell<bool>,
    /// Ends the wait until VMs are looked at again.
    pub claimed: Notify,
}

/// Readings that failed one after the other.
struct Failures {
    what: Word,
    in_row: u32,
    /// When the last reading ended well.
    read: Duration,
}

impl Failures {
    fn new(what: Word, now: Duration) -> Self {
        Self { what, in_row: 0, read: now }
    }

    fn read_at(&mut self, now: Duration) {
        (self.in_row, self.read) = (0, now);
    }

    /// Counts a failure; gives a line for the log unless there were many lately.
    fn add(&mut self, now: Duration, e: &Error) -> Option<Note> {
        self.in_row += 1;
        let (what, in_row) = (self.what, self.in_row);
        let unread_ms = Ms(now.saturating_sub(self.read));
        let reason = e.to_string();
        in_row.is_power_of_two().then_some(Note::FollowUnread { what, in_row, unread_ms, reason })
    }
}

impl<P: Platform> Sources<P> {
    fn note_failure(&self, failures: &mut Failures, e: &Error) {
        if let Some(note) = failures.add(self.store.clock().now(), e) {
            self.control.do_send(Stored::Note(note));
        }
    }
}

/// Reads the plan, and adds racks that it lacks.
async fn extend_plan<P: Platform>(
    from: &Sources<P>,
    vms: &IndexMap<String, VmEntry>,
) -> Result<()> {
    let vms: Vec<VmEntry> = vms.values().cloned().collect();
    loop {
        let item = from.store.call(|store| store.get(PLAN_KEY)).await?;
        let rev = item.as_ref().map_or(Rev::ABSENT, |item| item.rev);
        let plan: Plan = match item.map(|item| decode(&item.value)) {
            Some(Ok(plan)) => plan,
            None => Plan::default(),
            Some(Err(e)) => {
                let (entry, reason) = (PLAN_KEY.to_owned(), e.to_string());
                let note = Note::EntryUnreadable { entry, rev: rev.0, reason };
                from.control.do_send(Stored::Note(note));
                return Ok(());
            }
        };
        let Some(extended) = plan.extended(&vms) else {
            from.control.do_send(Stored::Plan(plan));
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
        match from.store.call(|store| store.commit(&txn)).await {
            // Another daemon was quicker, or this one was: the next round tells.
            Ok(_) | Err(Error::Conflict { .. } | Error::NoAnswer { .. }) => {}
            Err(e) => return Err(e),
        }
    }
}

/// Registers this daemon, and follows the others' registrations.
pub async fn members<P: Platform>(from: Sources<P>, me: Member, ttl: Duration) {
    let mut lease = None;
    let mut failures = Failures::new("daemons", from.store.clock().now());
    loop {
        if let Err(e) = follow_members(&from, &me, ttl, &mut lease, &mut failures).await {
            from.note_failure(&mut failures, &e);
            if e == Error::LeaseEnded {
                lease = None;
            }
            tokio::time::sleep(retry_pause(&e)).await;
        }
    }
}

async fn follow_members<P: Platform>(
    from: &Sources<P>,
    me: &Member,
    ttl: Duration,
    lease: &mut Option<LeaseId>,
    failures: &mut Failures,
) -> Result<()> {
    let store = &from.store;
    let key = format!("{MEMBERS}{}", me.name);
    let held = match *lease {
        Some(held) => held,
        None => *lease.insert(store.call(|store| store.grant(ttl)).await?),
    };
    register(store, &key, me, held).await?;
    loop {
        let (items, _) = read_all(store, MEMBERS, Freshness::Stale).await?;
        let members = items.iter().filter_map(|item| decode::<Member>(&item.value).ok()).collect();
        from.control.do_send(Stored::Members(members));
        failures.read_at(store.clock().now());
        tokio::time::sleep(MEMBERS_EVERY).await;
        store.call(|store| store.keep(held)).await?;
        // Keys can vanish though their lease lives on.
        if !items.iter().any(|item| item.key == key) {
            register(store, &key, me, held).await?;
        }
    }
}

async fn register<S: Kv>(store: &Watched<S>, key: &str, me: &Member, lease: LeaseId) -> Result<()> {
    let value = Bytes::from(encode(me));
    let put = Put { key: key.to_owned(), value, lease: Some(lease) };
    let txn = Txn { puts: vec![put], ..Txn::default() };
    store.call(|store| store.commit(&txn)).await.map(|_| ())
}

/// Reads every page of a range; gives the revision of the first, from which on a watch tells the rest.
pub(super) async fn read_all<S: Kv>(
    store: &Watched<S>,
    prefix: &str,
    freshness: Freshness,
) -> Result<(Vec<Item>, Rev)> {
    let mut items: Vec<Item> = Vec::new();
    let mut at = None;
    loop {
        let after = items.last().map(|item| item.key.clone());
        let after = after.as_deref();
        let page = store.call(|store| store.range(prefix, after, freshness)).await?;
        // Pages are not a snapshot: what changed since the first is in the watch from there on.
        let at = *at.get_or_insert(page.at);
        items.extend(page.items);
        if page.more == More::No {
            return Ok((items, at));
        }
    }
}
