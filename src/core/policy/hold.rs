//! VMs kept for one task until it fits.
//!
//! A large task is starved when each processor that becomes free goes to a small one. After a while
//! one VM takes nothing new until the task fits there. Few VMs are held at a time, and none for
//! long, so that the cost of it is bounded.

use super::Candidate;
use super::index::{Fleet, Vm, allowed};
use crate::ids::{DomainId, TaskId, VmId};
use crate::model::Pool;
use crate::peer::VmHealth;
use crate::units::Resources;
use std::time::Duration;

/// Wait after which a VM is held for a large task.
pub const HOLD_AFTER: Duration = Duration::from_secs(30);

/// Longest hold for a large task.
const HOLD_FOR: Duration = Duration::from_secs(900);

/// Longest hold for an urgent task while others are evicted for it.
pub const HOLD_FOR_URGENT: Duration = Duration::from_secs(20);

/// A hold whose task was not asked for this long ends: the task was cancelled or placed elsewhere.
const ASKED_WITHIN: Duration = Duration::from_secs(60);

/// One VM in so many is held at a time, but at least one.
const VMS_FOR_EACH_HOLD: usize = 32;

/// A task is large if it needs more than this part of a VM.
const LARGE_DIVISOR: u32 = 4;

#[derive(Clone, Debug)]
struct Hold {
    task: TaskId,
    vm: VmId,
    until: Duration,
    asked: Duration,
}

/// The VMs that are held.
#[derive(Clone, Debug, Default)]
pub struct Holds {
    holds: Vec<Hold>,
    /// VMs held for a task in vain; another is tried next.
    tried: Vec<(TaskId, VmId)>,
}

impl Holds {
    /// Ends what is over, and notes that the task still waits.
    pub fn refresh(&mut self, task: TaskId, fleet: &Fleet, now: Duration) {
        let tried = &mut self.tried;
        self.holds.retain(|hold| {
            let expired = now >= hold.until;
            if expired {
                tried.push((hold.task, hold.vm.clone()));
            }
            let open = fleet.get(&hold.vm).is_some_and(|vm| vm.view.health == VmHealth::Open);
            !expired && open && (hold.task == task || now < hold.asked + ASKED_WITHIN)
        });
        if tried.len() > VMS_FOR_EACH_HOLD {
            tried.remove(0);
        }
        if let Some(hold) = self.holds.iter_mut().find(|hold| hold.task == task) {
            hold.asked = now;
        }
    }

    /// The VM held for the task.
    pub fn of(&self, task: TaskId) -> Option<&VmId> {
        self.holds.iter().find(|hold| hold.task == task).map(|hold| &hold.vm)
    }

    /// VMs held for other tasks.
    pub fn for_others(&self, task: TaskId) -> Vec<VmId> {
        let others = self.holds.iter().filter(|hold| hold.task != task);
        others.map(|hold| hold.vm.clone()).collect()
    }

    /// The task needs no hold any more.
    pub fn release(&mut self, task: TaskId) {
        self.holds.retain(|hold| hold.task != task);
        self.tried.retain(|(other, _)| *other != task);
    }

    /// Holds a VM for an urgent task for which others are being evicted.
    pub fn hold(&mut self, task: TaskId, vm: &VmId, now: Duration) {
        self.release(task);
        let until = now + HOLD_FOR_URGENT;
        self.holds.push(Hold { task, vm: vm.clone(), until, asked: now });
    }

    /// Holds the VM that has most of the room for a large task that has waited for long.
    pub fn hold_if_starved(
        &mut self,
        candidate: &Candidate,
        fleet: &Fleet,
        pool: Option<&Pool>,
        over_quota: &[DomainId],
        now: Duration,
    ) {
        let most = (fleet.len() / VMS_FOR_EACH_HOLD).max(1);
        let due = candidate.waited >= HOLD_AFTER && self.of(candidate.task).is_none();
        if !due || self.holds.len() >= most {
            return;
        }
        let free = |vm: &&Vm| {
            let view = &vm.view;
            view.health == VmHealth::Open
                && allowed(pool, &view.domain)
                && !over_quota.contains(&view.domain)
                && pool.is_none_or(|pool| pool.min_size.fits_in(&view.size))
                && candidate.spec.resources.fits_in(&view.size)
                && is_large(&candidate.spec.resources, &view.size)
                && !self.holds.iter().any(|hold| hold.vm == view.vm)
                && !self.tried.contains(&(candidate.task, view.vm.clone()))
        };
        let missing = |vm: &&Vm| {
            let missing = candidate.spec.resources.saturating_sub(&vm.view.free);
            (missing.accelerators, missing.milli_cores, missing.memory_mib, vm.view.vm.clone())
        };
        let best = fleet.iter().filter(free).min_by_key(missing);
        if let Some(best) = best {
            let vm = best.view.vm.clone();
            self.holds.push(Hold { task: candidate.task, vm, until: now + HOLD_FOR, asked: now });
        }
    }
}

/// Whether the amount is more than a quarter of the size, of any kind of resource.
fn is_large(need: &Resources, size: &Resources) -> bool {
    need.milli_cores.0 > size.milli_cores.0 / LARGE_DIVISOR
        || need.memory_mib.0 > size.memory_mib.0 / LARGE_DIVISOR
        || need.accelerators.0 > size.accelerators.0 / LARGE_DIVISOR
}
