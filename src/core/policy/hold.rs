//! Reservations: VMs that accept no other work until a particular task fits.
//!
//! A large task starves when small tasks take every core as it becomes free. Once it has waited
//! long enough, one VM is reserved and drains until the task fits. The number and duration of
//! reservations are limited to bound the capacity that they leave idle.

use super::Candidate;
use super::index::{Fleet, Vm, pool_includes};
use crate::ids::{DomainId, TaskId, VmId};
use crate::model::Pool;
use crate::peer::VmHealth;
use crate::units::Resources;
use std::time::Duration;

/// Time a large task waits before a VM is reserved for it.
pub const RESERVE_AFTER: Duration = Duration::from_secs(30);

/// Longest reservation for a large task.
const MAX_RESERVATION: Duration = Duration::from_secs(900);

/// Longest reservation for an urgent task while other tasks are evicted for it.
pub const MAX_URGENT_RESERVATION: Duration = Duration::from_secs(20);

/// A reservation ends if no placement of its task is attempted for this long, because the task was
/// cancelled or placed elsewhere.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Number of VMs for each concurrent reservation; at least one reservation is always allowed.
const VMS_PER_RESERVATION: usize = 32;

/// A task is large if it needs more than `1 / LARGE_DIVISOR` of a VM.
const LARGE_DIVISOR: u32 = 4;

#[derive(Clone, Debug)]
struct Reservation {
    task: TaskId,
    vm: VmId,
    until: Duration,
    last_attempt: Duration,
}

/// Active reservations.
#[derive(Clone, Debug, Default)]
pub struct Reservations {
    reservations: Vec<Reservation>,
    /// Reservations that expired before the task fit; the next one uses another VM.
    expired_on: Vec<(TaskId, VmId)>,
}

impl Reservations {
    /// Drops expired reservations and those of closed VMs, and marks the task as still waiting.
    pub fn refresh(&mut self, task: TaskId, fleet: &Fleet, now: Duration) {
        let expired_on = &mut self.expired_on;
        self.reservations.retain(|reservation| {
            let expired = now >= reservation.until;
            if expired {
                expired_on.push((reservation.task, reservation.vm.clone()));
            }
            let open =
                fleet.get(&reservation.vm).is_some_and(|vm| vm.view.health == VmHealth::Open);
            !expired
                && open
                && (reservation.task == task || now < reservation.last_attempt + IDLE_TIMEOUT)
        });
        if expired_on.len() > VMS_PER_RESERVATION {
            expired_on.remove(0);
        }
        if let Some(reservation) =
            self.reservations.iter_mut().find(|reservation| reservation.task == task)
        {
            reservation.last_attempt = now;
        }
    }

    /// The VM reserved for the task.
    pub fn vm_for(&self, task: TaskId) -> Option<&VmId> {
        self.reservations
            .iter()
            .find(|reservation| reservation.task == task)
            .map(|reservation| &reservation.vm)
    }

    /// VMs reserved for other tasks.
    pub fn reserved_for_others(&self, task: TaskId) -> Vec<VmId> {
        let others = self.reservations.iter().filter(|reservation| reservation.task != task);
        others.map(|reservation| reservation.vm.clone()).collect()
    }

    /// Drops the task's reservation and its record of expired ones.
    pub fn release(&mut self, task: TaskId) {
        self.reservations.retain(|reservation| reservation.task != task);
        self.expired_on.retain(|(other, _)| *other != task);
    }

    /// Reserves a VM for an urgent task while other tasks are evicted for it.
    pub fn reserve(&mut self, task: TaskId, vm: &VmId, now: Duration) {
        self.release(task);
        let until = now + MAX_URGENT_RESERVATION;
        self.reservations.push(Reservation { task, vm: vm.clone(), until, last_attempt: now });
    }

    /// Reserves the VM with the smallest shortfall if the task is large and has waited too long.
    pub fn reserve_if_starved(
        &mut self,
        candidate: &Candidate,
        fleet: &Fleet,
        pool: Option<&Pool>,
        over_quota: &[DomainId],
        now: Duration,
    ) {
        let limit = (fleet.len() / VMS_PER_RESERVATION).max(1);
        let eligible = candidate.waited >= RESERVE_AFTER && self.vm_for(candidate.task).is_none();
        if !eligible || self.reservations.len() >= limit {
            return;
        }
        let usable = |vm: &&Vm| {
            let view = &vm.view;
            view.health == VmHealth::Open
                && pool_includes(pool, &view.domain)
                && !over_quota.contains(&view.domain)
                && pool.is_none_or(|pool| pool.min_size.fits_in(&view.size))
                && candidate.spec.resources.fits_in(&view.size)
                && is_large(&candidate.spec.resources, &view.size)
                && !self.reservations.iter().any(|reservation| reservation.vm == view.vm)
                && !self.expired_on.contains(&(candidate.task, view.vm.clone()))
        };
        let missing = |vm: &&Vm| {
            let missing = candidate.spec.resources.saturating_sub(&vm.view.free);
            (missing.accelerators, missing.milli_cores, missing.memory_mib, vm.view.vm.clone())
        };
        if let Some(best) = fleet.iter().filter(usable).min_by_key(missing) {
            let vm = best.view.vm.clone();
            self.reservations.push(Reservation {
                task: candidate.task,
                vm,
                until: now + MAX_RESERVATION,
                last_attempt: now,
            });
        }
    }
}

/// Whether the need exceeds a quarter of the VM's size in any resource.
fn is_large(need: &Resources, size: &Resources) -> bool {
    need.milli_cores.0 > size.milli_cores.0 / LARGE_DIVISOR
        || need.memory_mib.0 > size.memory_mib.0 / LARGE_DIVISOR
        || need.accelerators.0 > size.accelerators.0 / LARGE_DIVISOR
}
