//! Look-up of departed VMs in the store's history.
//!
//! A VM that left before this daemon read the list is known from the records of a shard only. For
//! some time the store's history still tells that the VM announced its leaving, and when the
//! announcement was removed.

use super::FollowContext;
use crate::departures::{Finding, LeavingVms};
use crate::ids::VmId;
use crate::jobs::Platform;
use crate::jobs::control::StoreEvent;
use crate::kv::{Change, Changes, Error, Result, Rev, Watch};
use crate::note::{Millis, Note, StaticText};
use crate::vm::Departure;
use futures::future::join_all;
use std::time::Duration;

/// How far to look back, longest first. The store may keep less of its history. Runs on a VM that
/// left longer ago have reached the end of their lease.
const LOOK_BACK: [Duration; 3] =
    [Duration::from_secs(15), Duration::from_millis(7500), Duration::from_millis(3750)];

/// Maximum number of VMs of one look-up; these are about all VMs of a shard.
const MAX_VMS: usize = 32;

/// Maximum number of concurrent calls.
const MAX_CALLS: usize = 4;

/// Maximum number of VMs that are all looked up at first.
const MAX_UNSAMPLED_VMS: usize = 8;

/// Number of VMs that are looked up first if there are more.
const SAMPLE_VMS: usize = 4;

/// Time after which no further call is made.
const MAX_TIME: Duration = Duration::from_secs(3);

/// Delay before VMs are looked up again whose history wasn't read completely.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// Timeout of a watch; changes of the past are returned at once.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1);

/// What the history tells of a VM.
enum Outcome {
    Removed(Finding),
    /// No removal after a notice, up to the revision of the list that lacks the VM.
    NotRemoved,
    /// Not known yet.
    Unread,
    HistoryGone,
    /// The store refused the call, for lack of quota perhaps.
    Refused,
}

/// Looks up VMs that a list at revision `up_to` lacks, and reports those that have left.
///
/// The calls count towards a quota that all daemons share. When a failure domain is lost, many VMs
/// are missing that never announced a departure. Of many VMs, a sample is therefore looked up first,
/// and the others only if a leaving VM was removed.
pub(super) async fn look_up<P: Platform>(
    ctx: FollowContext<P>,
    mut missing: Vec<VmId>,
    up_to: Rev,
) {
    let began = ctx.store.clock().now();
    let vms = missing.len();
    missing.truncate(MAX_VMS);
    let mut skipped = take_unsampled(&mut missing);
    let mut look_back = LOOK_BACK.iter();
    let mut from = start(&ctx, look_back.next(), began);
    let (mut removed, mut proved) = (0, 0);
    let mut is_refused = false;
    while let (Some(after), false) = (from, missing.is_empty()) {
        let mut unread = Vec::new();
        let mut is_gone = false;
        for batch in missing.chunks(MAX_CALLS) {
            if ctx.store.clock().now().saturating_sub(began) >= MAX_TIME {
                unread.extend_from_slice(batch);
                continue;
            }
            let calls = batch.iter().map(|vm| look_up_vm(&ctx, vm, after, up_to));
            let outcomes = join_all(calls).await;
            is_gone |= outcomes.iter().any(|outcome| matches!(outcome, Outcome::HistoryGone));
            is_refused |= outcomes.iter().any(|outcome| matches!(outcome, Outcome::Refused));
            let (findings, left) = sort_outcomes(batch, outcomes);
            unread.extend(left);
            removed += findings.len();
            proved += report(&ctx, &findings);
            if is_refused {
                break;
            }
        }
        if is_refused {
            break;
        }
        missing = unread;
        if removed > 0 && !skipped.is_empty() {
            missing.append(&mut skipped);
            continue;
        }
        let is_late = ctx.store.clock().now().saturating_sub(began) + RETRY_DELAY >= MAX_TIME;
        if is_gone {
            from = start(&ctx, look_back.next(), began);
        } else if is_late {
            break;
        } else if !missing.is_empty() {
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
    let outcome: StaticText = match from {
        _ if is_refused => "the store refused a call",
        None => "the store's history or the daemon's calls don't reach back",
        Some(_) if !missing.is_empty() => "the history was not read in time",
        Some(_) if vms > MAX_VMS || !skipped.is_empty() => "too many VMs",
        Some(_) => "complete",
    };
    let took_ms = Millis(ctx.store.clock().now().saturating_sub(began));
    let note = Note::DeparturesLookedUp { vms, removed, proved, outcome, took_ms };
    ctx.control.do_send(StoreEvent::Note(note));
}

/// Removes all VMs but a sample, if there are many; returns the others.
fn take_unsampled(missing: &mut Vec<VmId>) -> Vec<VmId> {
    if missing.len() <= MAX_UNSAMPLED_VMS {
        return Vec::new();
    }
    let step = missing.len().div_ceil(SAMPLE_VMS);
    let numbered = std::mem::take(missing).into_iter().enumerate();
    let (sample, others): (Vec<_>, Vec<_>) = numbered.partition(|(i, _)| i % step == 0);
    *missing = sample.into_iter().map(|(_, vm)| vm).collect();
    others.into_iter().map(|(_, vm)| vm).collect()
}

/// Revision from which on to read the history; `None` if the times of its changes are unknown.
fn start<P: Platform>(
    ctx: &FollowContext<P>,
    look_back: Option<&Duration>,
    now: Duration,
) -> Option<Rev> {
    ctx.store.times().reached_by(now.saturating_sub(*look_back?))
}

/// Separates what was found from the VMs whose history is not read yet.
fn sort_outcomes(batch: &[VmId], outcomes: Vec<Outcome>) -> (Vec<Finding>, Vec<VmId>) {
    let (mut findings, mut unread) = (Vec::new(), Vec::new());
    for (vm, outcome) in batch.iter().zip(outcomes) {
        match outcome {
            Outcome::Removed(finding) => findings.push(finding),
            Outcome::NotRemoved => {}
            Outcome::Unread | Outcome::HistoryGone | Outcome::Refused => unread.push(vm.clone()),
        }
    }
    (findings, unread)
}

/// Reports what was found; returns the number of VMs that have certainly left.
fn report<P: Platform>(ctx: &FollowContext<P>, findings: &[Finding]) -> usize {
    for finding in findings {
        ctx.control.do_send(StoreEvent::Note(finding.note("history")));
    }
    let departures: Vec<Departure> = findings.iter().filter_map(Finding::departure).collect();
    let proved = departures.len();
    if proved > 0 {
        ctx.control.do_send(StoreEvent::Departed(departures));
    }
    proved
}

async fn look_up_vm<P: Platform>(
    ctx: &FollowContext<P>,
    vm: &VmId,
    after: Rev,
    up_to: Rev,
) -> Outcome {
    match read_history(ctx, vm, after, up_to).await {
        Ok(Some(history)) => judge(ctx, vm, &history).map_or(Outcome::NotRemoved, Outcome::Removed),
        Err(Error::HistoryGone) => Outcome::HistoryGone,
        Err(Error::Refused { .. }) => Outcome::Refused,
        Ok(None) | Err(_) => Outcome::Unread,
    }
}

/// Reads the changes of a VM's announcement; `None` if the answer isn't complete up to a revision.
async fn read_history<P: Platform>(
    ctx: &FollowContext<P>,
    vm: &VmId,
    after: Rev,
    up_to: Rev,
) -> Result<Option<Changes>> {
    let watch = Watch::new(&ctx.platform.vm_key(vm), after, WATCH_TIMEOUT);
    let history = ctx.store.watch(&watch).await?;
    let is_complete = history.at >= up_to && !history.may_be_truncated();
    Ok(is_complete.then_some(history))
}

/// Judges the last removal of a VM's announcement. The key may have belonged to other instances of
/// the VM before and after.
fn judge<P: Platform>(ctx: &FollowContext<P>, vm: &VmId, history: &Changes) -> Option<Finding> {
    let (vm_key, times) = (ctx.platform.vm_key(vm), ctx.store.times());
    let mut leaving = LeavingVms::default();
    let mut last = None;
    for change in &history.changes {
        match change {
            // Other keys may begin with this one.
            Change::Put(item) if item.key == vm_key => {
                let Ok(entry) = ctx.platform.parse_vm_entry(item) else { continue };
                if entry.id == *vm {
                    last = None;
                }
                leaving.record(&vm_key, item.rev, &entry, &times);
            }
            Change::Deleted { key, rev } if *key == vm_key => {
                let finding = leaving.remove(key, ctx.removal(*rev), &times);
                last = finding.filter(|finding| finding.vm == *vm).or(last);
            }
            Change::Put(_) | Change::Deleted { .. } => {}
        }
    }
    last
}
