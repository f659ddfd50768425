//! State of the VMs as reported by their holders.

use crate::core::context::Context;
use crate::ids::{DaemonId, VmId};
use crate::peer::{VmHealth, VmView};
use crate::units::Resources;
use crate::worker::TaskAttempt;
use indexmap::IndexMap;
use std::time::Duration;

/// The holder and the free resources of each VM.
#[derive(Debug, Default)]
pub struct Fleet {
    vms: IndexMap<VmId, KnownVm>,
}

/// A VM that a holder has reported.
#[derive(Debug)]
struct KnownVm {
    holder: Option<DaemonId>,
    view: VmView,
    /// Time of the holder's last report.
    last_report: Duration,
    /// Reservations that this daemon requested and the holder hasn't answered.
    requested: IndexMap<TaskAttempt, RequestedReservation>,
}

#[derive(Debug)]
struct RequestedReservation {
    room: Resources,
    until: Duration,
}

impl Fleet {
    /// Daemon that last reported holding the VM.
    pub fn holder(&self, vm: &VmId) -> Option<&DaemonId> {
        self.vms.get(vm)?.holder.as_ref()
    }

    /// A large enough VM held by another daemon; `turn` selects a different one each time.
    pub fn find_large_enough(&self, room: &Resources, me: &DaemonId, turn: usize) -> Option<&VmId> {
        let fits = |vm: &KnownVm| {
            let other = vm.holder.as_ref().is_some_and(|holder| holder != me);
            other && vm.view.health == VmHealth::Open && room.fits_in(&vm.view.size)
        };
        let count = self.vms.values().filter(|vm| fits(vm)).count();
        let mut found = self.vms.iter().filter(|(_, vm)| fits(vm));
        found.nth(turn.checked_rem(count)?).map(|(id, _)| id)
    }

    /// Replaces all views of a holder; returns the VMs that changed holder.
    pub fn update_views(
        &mut self,
        cx: &mut Context,
        from: &DaemonId,
        views: Vec<VmView>,
    ) -> Vec<VmId> {
        for (id, vm) in &mut self.vms {
            let held = vm.holder.as_ref() == Some(from);
            if held && !views.iter().any(|view| view.vm == *id) {
                vm.holder = None;
                cx.policy.remove_vm(id);
            }
        }
        let mut moved = Vec::new();
        for view in views {
            let id = view.vm.clone();
            if self.holder(&id) != Some(from) {
                moved.push(id.clone());
            }
            let requested = self.vms.swap_remove(&id).map(|vm| vm.requested).unwrap_or_default();
            let mut known =
                KnownVm { holder: Some(from.clone()), view, last_report: cx.now, requested };
            known.requested.retain(|_, requested| requested.until > cx.now);
            cx.policy.upsert_vm(known.effective_view());
            self.vms.insert(id, known);
        }
        moved
    }

    /// Notes that a reservation was requested.
    pub fn reservation_requested(
        &mut self,
        cx: &mut Context,
        id: &VmId,
        attempt: TaskAttempt,
        room: Resources,
    ) {
        let until = cx.now + 2 * cx.cfg.limits.retry_period;
        let Some(vm) = self.vms.get_mut(id) else { return };
        vm.requested.insert(attempt, RequestedReservation { room, until });
        cx.policy.upsert_vm(vm.effective_view());
    }

    /// Notes that the holder answered; a granted reservation shows in its next view.
    pub fn reservation_answered(&mut self, id: &VmId, attempt: &TaskAttempt) {
        if let Some(vm) = self.vms.get_mut(id) {
            vm.requested.swap_remove(attempt);
        }
    }

    /// Notes that the daemon no longer holds the VM.
    pub fn not_held(&mut self, cx: &mut Context, id: &VmId, by: &DaemonId) {
        let Some(vm) = self.vms.get_mut(id) else { return };
        if vm.holder.as_ref() == Some(by) {
            vm.holder = None;
            cx.policy.remove_vm(id);
        }
    }

    /// Discards reports of daemons that left, or that were silent for the duration of a lease.
    ///
    /// Otherwise a view in transit when its sender failed would permanently name a holder that
    /// doesn't answer.
    pub fn expire(&mut self, cx: &mut Context) {
        for (id, vm) in &mut self.vms {
            let silent = cx.now >= vm.last_report + cx.cfg.lease_ttl;
            if vm.holder.as_ref().is_some_and(|holder| silent || !cx.members.contains(holder)) {
                vm.holder = None;
                cx.policy.remove_vm(id);
            }
        }
    }
}

impl KnownVm {
    /// The view with requested reservations subtracted from the free resources.
    fn effective_view(&self) -> VmView {
        let requested = self.requested.values();
        let free =
            requested.fold(self.view.free, |free, requested| free.saturating_sub(&requested.room));
        VmView { free, ..self.view.clone() }
    }
}
