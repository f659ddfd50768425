//! Follower of the VM announcements.
//!
//! A shard owner reads the changes several times a second. The store limits the number of changes
//! in an answer, so the owner reads until no change is left; otherwise its list would fall further
//! behind with each read although it was just refreshed. A daemon without shards periodically reads
//! the whole list, which is smaller than all changes since the last read. It reads the list again
//! when it claims a shard, since work must not be started on VMs that are leaving.

#[cfg(test)]
mod tests;

use super::{FailureStreak, FollowContext, ReadProgress, extend_plan, history, read_all};
use crate::cluster::StoreReachability;
use crate::departures::{Finding, LeavingVms, Proof, Removal};
use crate::ids::VmId;
use crate::jobs::control::StoreEvent;
use crate::jobs::records::unreadable_note;
use crate::jobs::{Platform, UnreadableEntry};
use crate::kv::{Change, Freshness, Item, Result, Rev, Watch};
use crate::note::{Millis, Note, StaticText};
use crate::shard::FleetListStatus;
use crate::vm::{AnnouncedAfter, Departure, VmEntry};
use indexmap::{IndexMap, IndexSet};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Interval between reads of VM changes. Each VM announces itself every 1.5 s, so a watch that
/// returns on every change would be called some thirty times a second.
const POLL_INTERVAL: Duration = Duration::from_millis(400);

/// Interval between reads of a short list on a daemon that owns no shard, and of the longest lists.
const IDLE_POLL_INTERVAL: Duration = Duration::from_secs(3);
const MAX_IDLE_POLL_INTERVAL: Duration = Duration::from_secs(12);

/// Length up to which a list counts as short.
const SHORT_LIST: usize = 400;

/// Timeout of a watch. Changes from the preceding interval are returned immediately.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1);

/// Time after an outage of the store during which it may lack VMs that are alive.
const REANNOUNCE_WINDOW: Duration = Duration::from_millis(2500);

/// Maximum number of keys remembered as unreadable. Each is logged once, however often it is
/// written.
const MAX_UNREADABLE: usize = 256;

/// Runs the follower.
pub async fn follow<P: Platform>(ctx: FollowContext<P>) {
    let mut fleet = Fleet::default();
    let mut failures = FailureStreak::new("VMs", ctx.store.clock().now());
    loop {
        if let Err(e) = follow_list(&ctx, &mut fleet, &mut failures).await {
            ctx.report_failure(&mut failures, &e);
            ctx.publish_unread();
            tokio::time::sleep(ctx.retry_delay(&failures, &e).max(POLL_INTERVAL / 2)).await;
        }
    }
}

async fn follow_list<P: Platform>(
    ctx: &FollowContext<P>,
    fleet: &mut Fleet,
    failures: &mut FailureStreak,
) -> Result<()> {
    fleet.read(ctx, Freshness::Latest).await?;
    loop {
        failures.record_success(ctx.store.clock().now());
        ctx.publish_fleet(fleet);
        fleet.look_up_missing(ctx);
        ctx.publish_departures(fleet);
        fleet.update_plan(ctx);
        match wait_for_next_read(ctx, idle_poll_interval(fleet.vms.len())).await {
            NextRead::Changes => {
                if fleet.catch_up(ctx).await? == ReadProgress::Behind {
                    fleet.read(ctx, Freshness::Latest).await?;
                }
            }
            NextRead::FullList(freshness) => fleet.read(ctx, freshness).await?,
        }
    }
}

/// The next read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NextRead {
    /// The changes since the last read.
    Changes,
    FullList(Freshness),
}

/// Waits until the next read is due; returns immediately when a shard has been claimed.
async fn wait_for_next_read<P: Platform>(
    ctx: &FollowContext<P>,
    idle_interval: Duration,
) -> NextRead {
    let mut waited = Duration::ZERO;
    loop {
        let claimed = tokio::time::timeout(POLL_INTERVAL, ctx.ownership.claimed.notified()).await;
        waited += POLL_INTERVAL;
        match (claimed.is_ok(), ctx.ownership.owning.get()) {
            (true, _) => return NextRead::FullList(Freshness::Latest),
            (false, true) if waited == POLL_INTERVAL => return NextRead::Changes,
            // After a longer pause the changes are larger than the list.
            (false, true) => return NextRead::FullList(Freshness::Latest),
            (false, false) if waited >= idle_interval => {
                return NextRead::FullList(Freshness::Stale);
            }
            (false, false) => {}
        }
    }
}

/// Interval between reads of a list of this length on a daemon that owns no shard. All daemons
/// together decode no more entries a second than with a short list.
fn idle_poll_interval(vms: usize) -> Duration {
    let factor = u32::try_from(vms.div_ceil(SHORT_LIST)).unwrap_or(u32::MAX).max(1);
    IDLE_POLL_INTERVAL.saturating_mul(factor).min(MAX_IDLE_POLL_INTERVAL)
}

/// The announced VMs.
#[derive(Debug, Default)]
struct Fleet {
    vms: IndexMap<String, VmEntry>,
    /// Changes up to this revision have been read.
    after: Rev,
    /// When the list was requested; `None` if the read may have returned stale data.
    requested_at: Option<Duration>,
    plan_update: Rc<Cell<PlanUpdate>>,
    /// Keys of the entries that failed to decode.
    unreadable: IndexSet<String>,
    leaving: LeavingVms,
    /// VMs that have left and are not published yet.
    departures: Vec<Departure>,
    /// VMs that a list lacked and that are not known to have left. The last of their announcements
    /// may not have been read.
    unproved: Vec<VmId>,
}

/// Whether the plan includes the racks of all VMs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum PlanUpdate {
    #[default]
    UpToDate,
    /// New VMs have been announced.
    Needed,
    InProgress,
}

/// Whether an announcement is from a new VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Novelty {
    New,
    Known,
}

impl Fleet {
    /// Reads the whole list.
    async fn read<P: Platform>(
        &mut self,
        ctx: &FollowContext<P>,
        freshness: Freshness,
    ) -> Result<()> {
        let asked = ctx.store.clock().now();
        let prefix = ctx.platform.vm_prefix();
        let (items, after) = read_all(&ctx.store, prefix, freshness).await?;
        let removed_by = ctx.store.reach().newest();
        self.requested_at = (freshness == Freshness::Latest).then_some(asked);
        if freshness == Freshness::Stale && after < self.after {
            // The list is older than what was read before.
            return Ok(());
        }
        self.after = after;
        items.iter().for_each(|item| self.apply_item(ctx, item, asked));
        let present: IndexSet<&str> = items.iter().map(|item| item.key.as_str()).collect();
        for key in self.leaving.missing(&present) {
            let finding =
                self.note_removal(ctx, &key, Removal { removed_by, ..ctx.removal(after) }, "list");
            let unproved = finding.filter(|finding| finding.proof != Proof::Departed);
            self.unproved.extend(unproved.map(|finding| finding.vm));
        }
        self.vms.retain(|key, _| present.contains(key.as_str()));
        self.unreadable.retain(|key| present.contains(key.as_str()));
        Ok(())
    }

    /// Reads changes until none is left. An answer with many changes may have been truncated. An
    /// answer that ends before a revision that the store had reached when it was asked is
    /// incomplete whatever its length, unless the store delays notifications.
    async fn catch_up<P: Platform>(&mut self, ctx: &FollowContext<P>) -> Result<ReadProgress> {
        let mut read = 0;
        loop {
            let (newest, asked) = (ctx.store.reach().newest(), ctx.store.clock().now());
            let watch = Watch::new(ctx.platform.vm_prefix(), self.after, WATCH_TIMEOUT);
            let answer = ctx.store.watch(&watch).await?;
            self.after = self.after.max(answer.at);
            let (changes, may_be_truncated) = (answer.changes.len(), answer.may_be_truncated());
            answer.changes.into_iter().for_each(|change| self.apply_change(ctx, change, asked));
            if self.after >= newest && !may_be_truncated {
                self.requested_at = Some(asked);
                return Ok(ReadProgress::CaughtUp);
            }
            ctx.report_lag(self, changes, newest);
            read += changes;
            if changes == 0 || read > self.vms.len() {
                return Ok(ReadProgress::Behind);
            }
        }
    }

    /// Applies a change that was read by a call at `asked`.
    fn apply_change<P: Platform>(
        &mut self,
        ctx: &FollowContext<P>,
        change: Change,
        asked: Duration,
    ) {
        match change {
            Change::Put(item) => self.apply_item(ctx, &item, asked),
            Change::Deleted { key, rev } => {
                self.note_removal(ctx, &key, ctx.removal(rev), "changes");
                self.remove(&key);
            }
        }
    }

    /// Applies an item that was read by a call at `asked`.
    fn apply_item<P: Platform>(&mut self, ctx: &FollowContext<P>, item: &Item, asked: Duration) {
        let mut read = ctx.platform.parse_vm_entry(item);
        if let Ok(entry) = &mut read {
            entry.announced_after = self.announced_after(ctx, item, asked);
            self.leaving.record(&item.key, item.rev, entry, &ctx.store.times());
            self.departures.retain(|departure| departure.vm != entry.id);
        }
        let (novelty, note) = self.apply(item, read);
        if novelty == Novelty::New {
            self.plan_update.set(PlanUpdate::Needed);
        }
        if let Some(note) = note {
            ctx.control.do_send(StoreEvent::Note(note));
        }
    }

    /// Time after which an announcement was written. Without calls that bound it, this is an estimate:
    /// a VM that is listed announces itself at each interval.
    fn announced_after<P: Platform>(
        &self,
        ctx: &FollowContext<P>,
        item: &Item,
        asked: Duration,
    ) -> Option<AnnouncedAfter> {
        let known = self.vms.get(&item.key).filter(|known| known.announced == item.rev);
        let known = known.and_then(|known| known.announced_after);
        let interval = ctx.announce_interval;
        let estimate = || (interval > Duration::ZERO).then(|| asked.saturating_sub(interval));
        let bound = || ctx.store.times().written_after(item.rev).map(AnnouncedAfter::Bound);
        known
            .filter(|known| matches!(known, AnnouncedAfter::Bound(_)))
            .or_else(bound)
            .or(known)
            .or_else(|| estimate().map(AnnouncedAfter::Estimate))
    }

    /// Applies an announcement. The VM of an entry that can't be decoded is removed: work already
    /// running on it continues as long as the VM responds, but no new work is placed there.
    fn apply(
        &mut self,
        item: &Item,
        read: std::result::Result<VmEntry, UnreadableEntry>,
    ) -> (Novelty, Option<Note>) {
        match read {
            Ok(vm) => {
                self.unreadable.shift_remove(&item.key);
                let known = self.vms.insert(item.key.clone(), vm).is_some();
                (if known { Novelty::Known } else { Novelty::New }, None)
            }
            Err(e) => {
                self.vms.shift_remove(&item.key);
                let is_new = self.unreadable.insert(item.key.clone());
                if self.unreadable.len() > MAX_UNREADABLE {
                    self.unreadable.shift_remove_index(0);
                }
                (Novelty::Known, is_new.then(|| unreadable_note(item.rev.0, &e)))
            }
        }
    }

    /// Records a VM as departed if the removal of its announcement proves that it has left.
    fn note_removal<P: Platform>(
        &mut self,
        ctx: &FollowContext<P>,
        key: &str,
        removal: Removal,
        found_in: StaticText,
    ) -> Option<Finding> {
        let finding = self.leaving.remove(key, removal, &ctx.store.times())?;
        ctx.control.do_send(StoreEvent::Note(finding.note(found_in)));
        self.departures.extend(finding.departure());
        Some(finding)
    }

    /// Starts looking up the departures of VMs that a fresh list lacks although runs of a shard are
    /// recorded on them, or although they were known to leave. A daemon without shards has no use
    /// for it.
    fn look_up_missing<P: Platform>(&mut self, ctx: &FollowContext<P>) {
        if self.requested_at.is_none() && ctx.ownership.owning.get() {
            return;
        }
        let mut unproved = std::mem::take(&mut self.unproved);
        let recovered = std::mem::take(&mut *ctx.ownership.recovered_vms.borrow_mut());
        if !ctx.ownership.owning.get() {
            return;
        }
        unproved.extend(recovered);
        if unproved.is_empty() {
            return;
        }
        let mut known: IndexSet<&VmId> = self.vms.values().map(|vm| &vm.id).collect();
        known.extend(self.departures.iter().map(|departure| &departure.vm));
        let missing: IndexSet<VmId> =
            unproved.into_iter().filter(|vm| !known.contains(vm)).collect();
        if !missing.is_empty() {
            let missing = missing.into_iter().collect();
            actix::spawn(history::look_up(ctx.clone(), missing, self.after));
        }
    }

    fn remove(&mut self, key: &str) {
        self.vms.shift_remove(key);
        self.unreadable.shift_remove(key);
    }

    /// Starts reading the plan in the background if it may lack a rack. While the follower waited
    /// for this read, owners received no list until it returned, and none at all if it failed.
    /// Owners don't bind or start tasks while their list is out of date.
    fn update_plan<P: Platform>(&self, ctx: &FollowContext<P>) {
        if self.plan_update.get() != PlanUpdate::Needed {
            return;
        }
        self.plan_update.set(PlanUpdate::InProgress);
        let (ctx, vms, plan_update) = (ctx.clone(), self.vms.clone(), self.plan_update.clone());
        actix::spawn(async move {
            match extend_plan(&ctx, &vms).await {
                Ok(()) if plan_update.get() == PlanUpdate::InProgress => {
                    plan_update.set(PlanUpdate::UpToDate);
                }
                Ok(()) => {}
                Err(e) => {
                    plan_update.set(PlanUpdate::Needed);
                    let reason = e.to_string();
                    ctx.control.do_send(StoreEvent::Note(Note::PlanUnread { reason }));
                }
            }
        });
    }
}

impl<P: Platform> FollowContext<P> {
    fn list_status(&self) -> FleetListStatus {
        let (now, reach) = (self.store.clock().now(), self.store.reach());
        let since_regained = now.saturating_sub(reach.regained());
        let recently_regained =
            reach.regained() > Duration::ZERO && since_regained < REANNOUNCE_WINDOW;
        match reach.state(now) {
            StoreReachability::Reached if !recently_regained => FleetListStatus::Complete,
            _ => FleetListStatus::Recovering,
        }
    }

    fn publish_fleet(&self, fleet: &Fleet) {
        let list_status = self.list_status();
        let vms = fleet.vms.values().cloned().collect();
        self.control.do_send(StoreEvent::Fleet { vms, list_status, at: fleet.requested_at });
    }

    fn publish_departures(&self, fleet: &mut Fleet) {
        if !fleet.departures.is_empty() {
            let departures = std::mem::take(&mut fleet.departures);
            self.control.do_send(StoreEvent::Departed(departures));
        }
    }

    pub(super) fn removal(&self, rev: Rev) -> Removal {
        let (now, reach) = (self.store.clock().now(), self.store.reach());
        let is_reachable = reach.state(now) == StoreReachability::Reached;
        let reachable_since = is_reachable.then(|| reach.regained());
        let announce_interval = self.announce_interval;
        Removal { now, rev, removed_by: rev, reachable_since, announce_interval }
    }

    fn publish_unread(&self) {
        let list_status = FleetListStatus::Unread;
        self.control.do_send(StoreEvent::Fleet { vms: Vec::new(), list_status, at: None });
    }

    fn report_lag(&self, fleet: &Fleet, changes: usize, newest: Rev) {
        let age_ms =
            Millis(self.store.clock().now().saturating_sub(fleet.requested_at.unwrap_or_default()));
        let (read_rev, newest_rev) = (fleet.after.0, newest.0);
        let note = Note::FleetBehind { changes, read_rev, newest_rev, age_ms };
        self.control.do_send(StoreEvent::Note(note));
    }
}
