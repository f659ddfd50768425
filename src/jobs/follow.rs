//! Following what others write in the store: the configuration, the VMs, the daemons and the plan.

#[cfg(test)]
mod tests;

use super::control::Stored;
use super::records::{Watched, note_unreadable, retry_pause};
use super::{Platform, Unreadable, Written};
use crate::cluster::plan::PLAN_KEY;
use crate::cluster::{Member, Plan, StoreReach};
use crate::job::progress::{decode, encode};
use crate::kv::{
    Change, Condition, Error, Freshness, Item, Kv, LeaseId, More, Put, Result, Rev, Txn, Watch,
};
use crate::note::{Ms, Note};
use crate::shard::Announcements;
use crate::vm::VmEntry;
use actix::Recipient;
use bytes::Bytes;
use indexmap::{IndexMap, IndexSet};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// Prefix of the daemons' registrations.
const MEMBERS: &str = "daemon/";

/// How long a watch of what operators write waits. Operators' changes must be in force within 2 s;
/// a watch that has gone silent is noticed within this time.
const OPERATOR_WAIT: Duration = Duration::from_millis(1000);

/// Between two readings of the changes of VMs. VMs announce themselves every 1.5 s each, so that
/// a watch which returns with each change would be called some thirty times a second.
const FLEET_EVERY: Duration = Duration::from_millis(400);

/// The same on a daemon that owns no shard.
const IDLE_FLEET_EVERY: Duration = Duration::from_secs(3);

/// Between two readings of the daemons' registrations.
const MEMBERS_EVERY: Duration = Duration::from_millis(1000);

/// How long after its return the store may lack VMs that live.
const ANNOUNCED_AGAIN: Duration = Duration::from_millis(2500);

/// What the followers work with.
pub struct Sources<P: Platform> {
    pub platform: P,
    pub store: Watched<P::Store>,
    pub control: Recipient<Stored>,
    /// Whether this daemon owns or claims a shard.
    pub owning: Rc<Owning>,
}

/// Whether a daemon owns or claims a shard, and the news that it has claimed one.
#[derive(Debug, Default)]
pub struct Owning {
    pub now: Cell<bool>,
    /// Ends the wait until VMs are looked at again.
    pub claimed: Notify,
}

/// Follows what operators write.
pub async fn operators<P: Platform>(from: Sources<P>) {
    loop {
        if let Err(e) = follow_operators(&from).await {
            tokio::time::sleep(retry_pause(&e)).await;
        }
    }
}

async fn follow_operators<P: Platform>(from: &Sources<P>) -> Result<()> {
    let prefix = from.platform.operator_prefix();
    let (items, mut after) = read_all(&from.store, prefix, Freshness::Latest).await?;
    items.iter().for_each(|item| take_operators(from, item));
    loop {
        let watch = Watch { prefix: prefix.to_owned(), after, wait: OPERATOR_WAIT };
        let changes = from.store.call(|store| store.watch(&watch)).await?;
        after = changes.at.max(after);
        for change in &changes.changes {
            if let Change::Put(item) = change {
                take_operators(from, item);
            }
        }
        let at = from.store.clock().now();
        from.control.do_send(Stored::ConfigConfirmed { at });
    }
}

fn take_operators<P: Platform>(from: &Sources<P>, item: &Item) {
    match from.platform.read_operators(item) {
        Ok(Written::Queues(queues)) => from.control.do_send(Stored::Queues(Box::new(queues))),
        Ok(Written::Wave(wave)) => from.control.do_send(Stored::Wave(wave)),
        Ok(Written::Other) => {}
        Err(e) => from.control.do_send(Stored::Note(note_unreadable(item.rev.0, &e))),
    }
}

/// Entries that are remembered as unreadable, so that each is logged once, however often it is written.
const MAX_UNREADABLE: usize = 256;

/// The VMs as announced.
#[derive(Debug, Default)]
struct Fleet {
    vms: IndexMap<String, VmEntry>,
    /// Keys of entries that can't be read.
    unreadable: IndexSet<String>,
}

/// Whether an announcement is of a VM that wasn't known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Novelty {
    New,
    Known,
}

impl Fleet {
    /// Takes an announcement over. One that can't be read names no VM to use: work that runs there goes
    /// on as long as the VM answers, and nothing new is placed.
    fn take(
        &mut self,
        item: &Item,
        read: std::result::Result<VmEntry, Unreadable>,
    ) -> (Novelty, Option<Note>) {
        match read {
            Ok(vm) => {
                self.unreadable.shift_remove(&item.key);
                let known = self.vms.insert(item.key.clone(), vm).is_some();
                (if known { Novelty::Known } else { Novelty::New }, None)
            }
            Err(e) => {
                self.vms.shift_remove(&item.key);
                let news = self.unreadable.insert(item.key.clone());
                if self.unreadable.len() > MAX_UNREADABLE {
                    self.unreadable.shift_remove_index(0);
                }
                (Novelty::Known, news.then(|| note_unreadable(item.rev.0, &e)))
            }
        }
    }

    fn remove(&mut self, key: &str) {
        self.vms.shift_remove(key);
        self.unreadable.shift_remove(key);
    }
}

/// Follows the VMs.
pub async fn fleet<P: Platform>(from: Sources<P>) {
    loop {
        if let Err(e) = follow_fleet(&from).await {
            from.tell_unread();
            tokio::time::sleep(retry_pause(&e).max(FLEET_EVERY / 2)).await;
        }
    }
}

async fn follow_fleet<P: Platform>(from: &Sources<P>) -> Result<()> {
    let prefix = from.platform.fleet_prefix();
    let mut asked = from.store.clock().now();
    let (items, mut after) = read_all(&from.store, prefix, Freshness::Latest).await?;
    let mut fleet = Fleet::default();
    for item in &items {
        from.take_vm(item, &mut fleet);
    }
    extend_plan(from, &fleet.vms).await?;
    loop {
        from.tell_fleet(&fleet.vms, asked);
        wait_for_turn(from).await;
        let (newest, before) = (from.store.reach().newest(), asked);
        asked = from.store.clock().now();
        let wait = Duration::from_millis(1);
        let watch = Watch { prefix: prefix.to_owned(), after, wait };
        let changes = from.store.call(|store| store.watch(&watch)).await?;
        after = changes.at.max(after);
        if after < newest {
            let pause_ms = Ms(asked.saturating_sub(before));
            let (read_rev, newest_rev) = (after.0, newest.0);
            let changes = changes.changes.len();
            let note = Note::FleetBehind { changes, read_rev, newest_rev, pause_ms };
            from.control.do_send(Stored::Note(note));
        }
        let mut added = false;
        for change in changes.changes {
            match change {
                Change::Put(item) => added |= from.take_vm(&item, &mut fleet) == Novelty::New,
                Change::Deleted { key } => fleet.remove(&key),
            }
        }
        if added {
            extend_plan(from, &fleet.vms).await?;
        }
    }
}

/// Waits until the VMs are to be looked at again; at once when a shard was claimed.
async fn wait_for_turn<P: Platform>(from: &Sources<P>) {
    let mut waited = Duration::ZERO;
    loop {
        let claimed = tokio::time::timeout(FLEET_EVERY, from.owning.claimed.notified()).await;
        waited += FLEET_EVERY;
        if claimed.is_ok() || from.owning.now.get() || waited >= IDLE_FLEET_EVERY {
            return;
        }
    }
}

impl<P: Platform> Sources<P> {
    fn take_vm(&self, item: &Item, fleet: &mut Fleet) -> Novelty {
        let (novelty, note) = fleet.take(item, self.platform.read_vm(item));
        if let Some(note) = note {
            self.control.do_send(Stored::Note(note));
        }
        novelty
    }

    fn announcements(&self) -> Announcements {
        let (now, reach) = (self.store.clock().now(), self.store.reach());
        let back = now.saturating_sub(reach.regained());
        let fresh = reach.regained() > Duration::ZERO && back < ANNOUNCED_AGAIN;
        match reach.state(now) {
            StoreReach::Reached if !fresh => Announcements::Complete,
            _ => Announcements::Recovering,
        }
    }

    fn tell_fleet(&self, vms: &IndexMap<String, VmEntry>, at: Duration) {
        let announcements = self.announcements();
        let vms = vms.values().cloned().collect();
        self.control.do_send(Stored::Fleet { vms, announcements, at });
    }

    fn tell_unread(&self) {
        let announcements = Announcements::Unread;
        let at = self.store.clock().now();
        self.control.do_send(Stored::Fleet { vms: Vec::new(), announcements, at });
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
    loop {
        if let Err(e) = follow_members(&from, &me, ttl, &mut lease).await {
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

async fn read_all<S: Kv>(
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
