//! Following the VMs' announcements.
//!
//! An owner reads what has changed several times a second. An answer of the store holds only so many
//! changes, so that it reads on until nothing is left unread: otherwise its list grows older with each
//! reading, though it was read a moment ago. A daemon that owns nothing reads the whole list now and
//! then, which is shorter than all that has changed meanwhile. When it claims a shard it reads the list
//! anew, since work must not be started on VMs that leave.

#[cfg(test)]
mod tests;

use super::{Caught, Failures, Sources, extend_plan, read_all};
use crate::cluster::StoreReach;
use crate::jobs::control::Stored;
use crate::jobs::records::{note_unreadable, retry_pause};
use crate::jobs::{Platform, Unreadable};
use crate::kv::{Change, Freshness, Item, Kv, Result, Rev, Watch};
use crate::note::{Ms, Note};
use crate::shard::Announcements;
use crate::vm::VmEntry;
use indexmap::{IndexMap, IndexSet};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Between two readings of the changes of VMs. VMs announce themselves every 1.5 s each, so that
/// a watch which returns with each change would be called some thirty times a second.
const FLEET_EVERY: Duration = Duration::from_millis(400);

/// Between two readings of the list on a daemon that owns no shard.
const IDLE_FLEET_EVERY: Duration = Duration::from_secs(3);

/// Time that a watch waits; the changes of the pause before it are there already.
const WATCH_WAIT: Duration = Duration::from_millis(1);

/// Changes from which on an answer may have been cut: the platform's pages hold about 500 items, and
/// 500 changes were the most counted.
const MAY_BE_CUT: usize = 400;

/// How long after its return the store may lack VMs that live.
const ANNOUNCED_AGAIN: Duration = Duration::from_millis(2500);

/// Entries that are remembered as unreadable, so that each is logged once, however often it is written.
const MAX_UNREADABLE: usize = 256;

/// Follows the VMs.
pub async fn follow<P: Platform>(from: Sources<P>) {
    let mut fleet = Fleet::default();
    let mut failures = Failures::new("VMs", from.store.clock().now());
    loop {
        if let Err(e) = follow_list(&from, &mut fleet, &mut failures).await {
            from.note_failure(&mut failures, &e);
            from.tell_unread();
            tokio::time::sleep(retry_pause(&e).max(FLEET_EVERY / 2)).await;
        }
    }
}

async fn follow_list<P: Platform>(
    from: &Sources<P>,
    fleet: &mut Fleet,
    failures: &mut Failures,
) -> Result<()> {
    fleet.read(from, Freshness::Latest).await?;
    loop {
        failures.read_at(from.store.clock().now());
        from.tell_fleet(fleet);
        fleet.plan(from);
        match wait_for_turn(from).await {
            Turn::Changes => {
                if fleet.catch_up(from).await? == Caught::Behind {
                    fleet.read(from, Freshness::Latest).await?;
                }
            }
            Turn::List(freshness) => fleet.read(from, freshness).await?,
        }
    }
}

/// What is to be read next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Turn {
    /// What has changed since the last reading.
    Changes,
    List(Freshness),
}

/// Waits until the VMs are to be looked at again; at once when a shard was claimed.
async fn wait_for_turn<P: Platform>(from: &Sources<P>) -> Turn {
    let mut waited = Duration::ZERO;
    loop {
        let claimed = tokio::time::timeout(FLEET_EVERY, from.owning.claimed.notified()).await;
        waited += FLEET_EVERY;
        match (claimed.is_ok(), from.owning.now.get()) {
            (true, _) => return Turn::List(Freshness::Latest),
            (false, true) if waited == FLEET_EVERY => return Turn::Changes,
            // The changes of a longer pause are more than the list.
            (false, true) => return Turn::List(Freshness::Latest),
            (false, false) if waited >= IDLE_FLEET_EVERY => return Turn::List(Freshness::Stale),
            (false, false) => {}
        }
    }
}

/// The VMs as announced.
#[derive(Debug, Default)]
struct Fleet {
    vms: IndexMap<String, VmEntry>,
    /// Revision up to which changes were read.
    after: Rev,
    /// When the list was asked for as it is; `None` if the read may have been old.
    at: Option<Duration>,
    planning: Rc<Cell<Planning>>,
    /// Keys of entries that can't be read.
    unreadable: IndexSet<String>,
}

/// Whether the plan has the racks of all VMs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Planning {
    #[default]
    Done,
    /// There are VMs that weren't known.
    Wanted,
    UnderWay,
}

/// Whether an announcement is of a VM that wasn't known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Novelty {
    New,
    Known,
}

impl Fleet {
    /// Reads the whole list.
    async fn read<P: Platform>(&mut self, from: &Sources<P>, freshness: Freshness) -> Result<()> {
        let asked = from.store.clock().now();
        let prefix = from.platform.fleet_prefix();
        let (items, after) = read_all(&from.store, prefix, freshness).await?;
        (self.at, self.after) = ((freshness == Freshness::Latest).then_some(asked), after);
        items.iter().for_each(|item| self.take_item(from, item));
        let present: IndexSet<&str> = items.iter().map(|item| item.key.as_str()).collect();
        self.vms.retain(|key, _| present.contains(key.as_str()));
        self.unreadable.retain(|key| present.contains(key.as_str()));
        Ok(())
    }

    /// Reads changes until none is left unread. An answer that is as long as they get may have been cut;
    /// one that ends before a revision which the store had passed when it was asked was cut whatever its
    /// length, or the store holds news back.
    async fn catch_up<P: Platform>(&mut self, from: &Sources<P>) -> Result<Caught> {
        let mut read = 0;
        loop {
            let (newest, asked) = (from.store.reach().newest(), from.store.clock().now());
            let watch = Watch::new(from.platform.fleet_prefix(), self.after, WATCH_WAIT);
            let answer = from.store.call(|store| store.watch(&watch)).await?;
            self.after = self.after.max(answer.at);
            let changes = answer.changes.len();
            answer.changes.into_iter().for_each(|change| self.take_change(from, change));
            if self.after >= newest && changes < MAY_BE_CUT {
                self.at = Some(asked);
                return Ok(Caught::Up);
            }
            from.note_behind(self, changes, newest);
            read += changes;
            if changes == 0 || read > self.vms.len() {
                return Ok(Caught::Behind);
            }
        }
    }

    fn take_change<P: Platform>(&mut self, from: &Sources<P>, change: Change) {
        match change {
            Change::Put(item) => self.take_item(from, &item),
            Change::Deleted { key } => self.remove(&key),
        }
    }

    fn take_item<P: Platform>(&mut self, from: &Sources<P>, item: &Item) {
        let (novelty, note) = self.take(item, from.platform.read_vm(item));
        if novelty == Novelty::New {
            self.planning.set(Planning::Wanted);
        }
        if let Some(note) = note {
            from.control.do_send(Stored::Note(note));
        }
    }

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

    /// Reads the plan beside the lists, if it may lack a rack. Waited for, it kept the list from owners for
    /// as long as it took, and for good where it failed: they bind and start nothing by an old list.
    fn plan<P: Platform>(&self, from: &Sources<P>) {
        if self.planning.get() != Planning::Wanted {
            return;
        }
        self.planning.set(Planning::UnderWay);
        let (from, vms, planning) = (from.clone(), self.vms.clone(), self.planning.clone());
        actix::spawn(async move {
            match extend_plan(&from, &vms).await {
                Ok(()) if planning.get() == Planning::UnderWay => planning.set(Planning::Done),
                Ok(()) => {}
                Err(e) => {
                    planning.set(Planning::Wanted);
                    let reason = e.to_string();
                    from.control.do_send(Stored::Note(Note::PlanUnread { reason }));
                }
            }
        });
    }
}

impl<P: Platform> Sources<P> {
    fn announcements(&self) -> Announcements {
        let (now, reach) = (self.store.clock().now(), self.store.reach());
        let back = now.saturating_sub(reach.regained());
        let fresh = reach.regained() > Duration::ZERO && back < ANNOUNCED_AGAIN;
        match reach.state(now) {
            StoreReach::Reached if !fresh => Announcements::Complete,
            _ => Announcements::Recovering,
        }
    }

    fn tell_fleet(&self, fleet: &Fleet) {
        let announcements = self.announcements();
        let vms = fleet.vms.values().cloned().collect();
        self.control.do_send(Stored::Fleet { vms, announcements, at: fleet.at });
    }

    fn tell_unread(&self) {
        let announcements = Announcements::Unread;
        self.control.do_send(Stored::Fleet { vms: Vec::new(), announcements, at: None });
    }

    fn note_behind(&self, fleet: &Fleet, changes: usize, newest: Rev) {
        let age_ms = Ms(self.store.clock().now().saturating_sub(fleet.at.unwrap_or_default()));
        let (read_rev, newest_rev) = (fleet.after.0, newest.0);
        let note = Note::FleetBehind { changes, read_rev, newest_rev, age_ms };
        self.control.do_send(Stored::Note(note));
    }
}
