//! The VMs as their holders tell of them.

use crate::core::context::Context;
use crate::ids::{DaemonId, VmId};
use crate::peer::{VmHealth, VmView};
use crate::units::Resources;
use crate::worker::TaskAttempt;
use indexmap::IndexMap;
use std::time::Duration;

/// Who holds which VM, and the room there.
#[derive(Debug, Default)]
pub struct Fleet {
    vms: IndexMap<VmId, KnownVm>,
}

/// A VM that a holder has told of.
#[derive(Debug)]
struct KnownVm {
    holder: Option<DaemonId>,
    view: VmView,
    /// Time of the last word of its holder.
    seen: Duration,
    /// Room asked for by this daemon and not answered yet.
    asked: IndexMap<TaskAttempt, Asked>,
}

#[derive(Debug)]
struct Asked {
    room: Resources,
    until: Duration,
}

impl Fleet {
    /// Daemon that last said that it holds the VM.
    pub fn holder(&self, vm: &VmId) -> Option<&DaemonId> {
        self.vms.get(vm)?.holder.as_ref()
    }

    /// A VM held by another daemon that is large enough; a different one each `turn`.
    pub fn large_enough(&self, room: &Resources, me: &DaemonId, turn: usize) -> Option<&VmId> {
        let fits = |vm: &KnownVm| {
            let other = vm.holder.as_ref().is_some_and(|holder| holder != me);
            other && vm.view.health == VmHealth::Open && room.fits_in(&vm.view.size)
        };
        let count = self.vms.values().filter(|vm| fits(vm)).count();
        let mut found = self.vms.iter().filter(|(_, vm)| fits(vm));
        found.nth(turn.checked_rem(count)?).map(|(id, _)| id)
    }

    /// Takes over all that a holder tells; returns the VMs that changed hands.
    pub fn told(&mut self, cx: &mut Context, from: &DaemonId, views: Vec<VmView>) -> Vec<VmId> {
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
            let asked = self.vms.swap_remove(&id).map(|vm| vm.asked).unwrap_or_default();
            let mut known = KnownVm { holder: Some(from.clone()), view, seen: cx.now, asked };
            known.asked.retain(|_, asked| asked.until > cx.now);
            cx.policy.upsert_vm(known.reduced());
            self.vms.insert(id, known);
        }
        moved
    }

    /// Room is asked for.
    pub fn ask(&mut self, cx: &mut Context, id: &VmId, attempt: TaskAttempt, room: Resources) {
        let until = cx.now + 2 * cx.cfg.limits.retry_period;
        let Some(vm) = self.vms.get_mut(id) else { return };
        vm.asked.insert(attempt, Asked { room, until });
        cx.policy.upsert_vm(vm.reduced());
    }

    /// The holder kept the room, or declined. What it keeps shows in its next view.
    pub fn answered(&mut self, id: &VmId, attempt: &TaskAttempt) {
        if let Some(vm) = self.vms.get_mut(id) {
            vm.asked.swap_remove(attempt);
        }
    }

    /// The daemon doesn't hold the VM any more.
    pub fn not_held(&mut self, cx: &mut Context, id: &VmId, by: &DaemonId) {
        let Some(vm) = self.vms.get_mut(id) else { return };
        if vm.holder.as_ref() == Some(by) {
            vm.holder = None;
            cx.policy.remove_vm(id);
        }
    }

    /// Forgets what daemons told that departed, or that fell silent for a lease's time.
    ///
    /// A view that was on its way when its sender died would otherwise name a holder for ever
    /// that answers nothing.
    pub fn expire(&mut self, cx: &mut Context) {
        for (id, vm) in &mut self.vms {
            let silent = cx.now >= vm.seen + cx.cfg.lease_ttl;
            if vm.holder.as_ref().is_some_and(|holder| silent || !cx.members.contains(holder)) {
                vm.holder = None;
                cx.policy.remove_vm(id);
            }
        }
    }
}

impl KnownVm {
    /// The view, less what is asked for and not in it yet.
    fn reduced(&self) -> VmView {
        let asked = self.asked.values();
        let free = asked.fold(self.view.free, |free, asked| free.saturating_sub(&asked.room));
        VmView { free, ..self.view.clone() }
    }
}
