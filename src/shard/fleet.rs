//! The shard's VMs as announced by the platform.

use super::Shard;
use super::event::FleetListStatus;
use super::vm_run::{Announced, Silent, Vm};
use crate::ids::VmId;
use crate::note::{Ms, Note, Word};
use crate::vm::VmEntry;
use indexmap::IndexSet;
use std::time::Duration;

/// Maximum number of ended VM instances remembered. An announcement outlives its VM by seconds, and
/// a shard of some thirty VMs loses far fewer in that time.
const MAX_GONE_VMS: usize = 256;

/// Maximum age of the VM list by which tasks are bound and started. Nothing may be started on a VM
/// 2 s after it announced that it is leaving. A binding takes 30 ms to become durable, or 0.4 s
/// while the store is slow. An owner's list is at most 0.4 s old, or 1.2 s while the store is slow.
const MAX_LIST_AGE: Duration = Duration::from_millis(1300);

/// Source and age of the VM list that a shard's owner uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum List {
    /// Passed on by the daemon when it claimed the shard; its actual age is unknown.
    Inherited { since: Duration },
    /// Requested at this time.
    Read { at: Duration },
}

impl Shard {
    /// Returns whether the VM list is recent enough to place and start tasks. Tasks started from an
    /// old list are lost with VMs that have left since, so the owner waits, whatever kept it from
    /// reading a newer one.
    pub(super) fn knows_who_leaves(&self) -> bool {
        match self.list {
            List::Inherited { .. } => false,
            List::Read { .. } => self.list_age() <= MAX_LIST_AGE,
        }
    }

    /// Returns the time since the VM list was requested, or since the claim if the list is
    /// inherited.
    pub(super) fn list_age(&self) -> Duration {
        let (List::Inherited { since: at } | List::Read { at }) = self.list;
        self.now.steady.saturating_sub(at)
    }

    /// Applies the announced VMs, as they were at some time after `at`.
    pub(super) fn announced(
        &mut self,
        entries: Vec<VmEntry>,
        list_status: FleetListStatus,
        at: Option<Duration>,
    ) {
        let now = self.now.steady;
        let mut present = IndexSet::new();
        for entry in entries {
            present.insert(entry.id.clone());
            if self.gone.contains(&entry.id) {
                continue;
            }
            if !self.vms.contains_key(&entry.id) {
                self.remove_earlier_instances(&entry);
            }
            self.announce(entry);
        }
        if let Some(at) = at.filter(|_| list_status != FleetListStatus::Unread) {
            self.list = List::Read { at };
        }
        if list_status != FleetListStatus::Complete {
            return;
        }
        for vm in self.vms.values_mut() {
            if !present.contains(&vm.id) && vm.announced == Announced::Yes {
                vm.announced = Announced::Missing { since: now };
            }
        }
        self.remove_gone_vms();
    }

    fn announce(&mut self, entry: VmEntry) {
        self.replan();
        let (now, inherited) = (self.now.steady, self.inherited_until);
        let Some(vm) = self.vms.get_mut(&entry.id) else {
            let vm = Vm::new(entry, now, inherited);
            self.vms.insert(vm.id.clone(), vm);
            return;
        };
        let stayed = vm.leaving.is_none();
        vm.announce(entry, now);
        if let Some(leaving) = vm.leaving.filter(|_| stayed) {
            let left_ms = Ms(leaving.left.unwrap_or_default());
            let (vm, runs) = (vm.id.clone(), vm.runs.len());
            self.note(Note::VmLeaving { vm, runs, left_ms });
        }
    }

    /// Removes earlier VM instances at the same address, since an address belongs to one instance
    /// at a time. If two are first announced together, the later one isn't known until the address
    /// is polled.
    fn remove_earlier_instances(&mut self, entry: &VmEntry) {
        let now = self.now.steady;
        let earlier = |vm: &&Vm| vm.entry.addr == entry.addr && vm.known_since < now;
        let earlier: Vec<VmId> =
            self.vms.values().filter(earlier).map(|vm| vm.id.clone()).collect();
        for id in earlier {
            self.vm_gone(&id, "another life at its address");
        }
    }

    /// Removes a VM instance that has ended, with everything that ran on it.
    pub(super) fn vm_gone(&mut self, id: &VmId, proof: Word) {
        let Some(vm) = self.vms.get(id) else { return };
        let (runs, id) = (vm.runs.len(), vm.id.clone());
        self.note(Note::VmGone { vm: id.clone(), proof, runs });
        self.vm_crashed(&id);
        self.remove_all_runs(&id, proof);
        self.vms.shift_remove(&id);
        self.gone.insert(id);
        if self.gone.len() > MAX_GONE_VMS {
            self.gone.shift_remove_index(0);
        }
    }

    /// Removes VMs that are no longer announced, don't respond and have no runs left.
    fn remove_gone_vms(&mut self) {
        let gone = |vm: &Vm| {
            vm.announced != Announced::Yes
                && vm.runs.is_empty()
                && (vm.contact.silent != Silent::No || vm.contact.heard.is_none())
        };
        self.vms.retain(|_, vm| !gone(vm));
    }
}
