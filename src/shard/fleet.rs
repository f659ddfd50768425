//! The shard's VMs as announced by the platform.

use super::Shard;
use super::event::FleetListStatus;
use super::vm_run::{Listing, Responsiveness, Run, RunKey, Succession, Vm};
use crate::ids::VmId;
use crate::note::{Millis, Note, StaticText};
use crate::vm::{Departure, VmEntry};
use indexmap::{IndexMap, IndexSet};
use std::time::Duration;

/// Maximum number of ended VM instances remembered. An announcement outlives its VM by seconds, and
/// a shard of some thirty VMs loses far fewer in that time.
const MAX_ENDED_VMS: usize = 256;

/// Maximum age of the VM list by which tasks are bound and started. Nothing may be started on a VM
/// 2 s after it announced that it is leaving. A binding takes 30 ms to become durable, or 0.4 s
/// while the store is slow. An owner's list is at most 0.4 s old, or 1.2 s while the store is slow.
const MAX_LIST_AGE: Duration = Duration::from_millis(1300);

/// Source and age of the VM list that a shard's owner uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum VmListSource {
    /// Passed on by the daemon when it claimed the shard; its actual age is unknown.
    Inherited { since: Duration },
    /// Requested at this time.
    Read { at: Duration },
}

impl Shard {
    /// Returns whether the VM list is recent enough to place and start tasks. Tasks started from an
    /// old list are lost with VMs that have left since, so the owner waits, whatever kept it from
    /// reading a newer one.
    pub(super) fn has_recent_vm_list(&self) -> bool {
        match self.vm_list {
            VmListSource::Inherited { .. } => false,
            VmListSource::Read { .. } => self.list_age() <= MAX_LIST_AGE,
        }
    }

    /// Returns the time since the VM list was requested, or since the claim if the list is
    /// inherited.
    pub(super) fn list_age(&self) -> Duration {
        let (VmListSource::Inherited { since: at } | VmListSource::Read { at }) = self.vm_list;
        self.now.steady.saturating_sub(at)
    }

    /// Applies the announced VMs, as they were at some time after `at`.
    pub(super) fn update_vm_list(
        &mut self,
        entries: Vec<VmEntry>,
        list_status: FleetListStatus,
        at: Option<Duration>,
    ) {
        let now = self.now.steady;
        let mut present = IndexSet::new();
        let before = self.vms.len();
        for entry in entries {
            present.insert(entry.id.clone());
            if self.ended_vms.contains_key(&entry.id) {
                // An old announcement has replaced the one of the next instance for a while.
                present.extend(self.listed_successor(&entry.id));
                continue;
            }
            if !self.vms.contains_key(&entry.id) {
                self.report_shared_address(&entry, list_status, at);
                self.challenge_address(&entry.addr);
            }
            self.update_vm(entry);
        }
        if self.vms.len() > before {
            self.update_successions();
        }
        // A list of unknown age may be from before a VM was announced.
        let Some(at) = at.filter(|_| list_status != FleetListStatus::Unread) else { return };
        self.vm_list = VmListSource::Read { at };
        if list_status != FleetListStatus::Complete {
            return;
        }
        let (mut unlisted, mut departed) = (Vec::new(), Vec::new());
        for vm in self.vms.values_mut().filter(|vm| !present.contains(&vm.id)) {
            match vm.listing {
                Listing::Listed | Listing::Unknown => unlisted.push(vm.id.clone()),
                Listing::Departed => departed.push(vm.id.clone()),
                Listing::Missing { .. } => continue,
            }
            vm.listing = Listing::Missing { since: now };
        }
        unlisted.iter().chain(&departed).for_each(|vm| self.report_runs_left(vm));
        departed.iter().for_each(|vm| self.remove_departed_vm(vm));
        self.remove_absent_vms();
    }

    fn update_vm(&mut self, entry: VmEntry) {
        self.request_schedule();
        let (now, inherited) = (self.now.steady, self.inherited_runs_until);
        let Some(vm) = self.vms.get_mut(&entry.id) else {
            let vm = Vm::new(entry, now, inherited);
            self.vms.insert(vm.id.clone(), vm);
            return;
        };
        let stayed = vm.leaving.is_none();
        vm.update_entry(entry, now);
        if let Some(leaving) = vm.leaving.filter(|_| stayed) {
            let left_ms = Millis(leaving.time_left(now));
            let (vm, runs) = (vm.id.clone(), vm.runs.len());
            self.note(Note::VmLeaving { vm, runs, left_ms });
        }
    }

    /// Polls the VMs known at the address of a newly announced one at once. An address belongs to
    /// one instance at a time, but an announcement may be read long after its VM has crashed and
    /// its successor has started, so only the address itself can tell which instance has ended.
    fn challenge_address(&mut self, addr: &str) {
        let now = self.now.steady;
        let at_address = self.vms.values_mut().filter(|vm| *vm.entry.addr == *addr);
        at_address.for_each(|vm| vm.challenge(now));
    }

    /// Logs the other VMs at the address of a newly announced one.
    fn report_shared_address(
        &mut self,
        entry: &VmEntry,
        list_status: FleetListStatus,
        at: Option<Duration>,
    ) {
        let now = self.now.steady;
        let others = self.vms.values().filter(|vm| vm.entry.addr == entry.addr);
        let note = |other: &Vm| Note::VmAddressShared {
            vm: entry.id.clone(),
            other: other.id.clone(),
            rev: entry.announced.0,
            other_rev: other.entry.announced.0,
            other_listed: other.listing == Listing::Listed,
            other_heard_ms: Millis(now.saturating_sub(other.last_heard())),
            other_runs: other.runs.len(),
            list_ms: Millis(at.map_or(Duration::ZERO, |at| now.saturating_sub(at))),
            list: if at.is_some() { list_status.name() } else { "stale" },
        };
        let notes: Vec<Note> = others.map(note).collect();
        notes.into_iter().for_each(|note| self.note(note));
    }

    /// Removes a VM instance that has ended, with everything that ran on it.
    pub(super) fn remove_vm_instance(&mut self, id: &VmId, proof: StaticText) {
        let addr = self.vms.get(id).map(|vm| vm.entry.addr.clone());
        self.report_vm_gone(id, proof, 0);
        self.handle_vm_crash(id);
        self.forget_vm(id, proof);
        addr.iter().for_each(|addr| self.settle_address(addr));
    }

    /// Removes a VM instance whose successor under the same registered id has answered a poll sent
    /// at `sent`. The successor may still carry out orders for the ended instance, so it gets the
    /// runs of that instance, to be stopped.
    pub(super) fn succeed_vm_instance(&mut self, id: &VmId, successor: &VmId, sent: Duration) {
        let now = self.now.steady;
        if self.ended_vms.get(successor).is_some_and(|ended| sent < *ended) {
            // The answer was late, and the successor has ended since. The next answer names the
            // current instance.
            if let Some(vm) = self.vms.get_mut(id) {
                vm.contact.next_poll = now;
            }
            return;
        }
        let proof = "another start time in its answer";
        let lease = self.settings.inherited_lease(Duration::ZERO);
        let Some(vm) = self.vms.get(id) else { return };
        let (addr, entry, ended_by) =
            (vm.entry.addr.clone(), vm.entry.clone(), vm.late_orders_arrived_by());
        let passed: Vec<RunKey> = vm
            .runs
            .iter()
            .filter(|(_, run)| run.may_have_been_sent())
            .map(|(key, _)| *key)
            .collect();
        self.report_vm_gone(id, proof, passed.len());
        self.handle_vm_crash(id);
        self.ended_vms.shift_remove(successor);
        let next = self
            .vms
            .entry(successor.clone())
            .or_insert_with(|| Vm::unannounced_successor(successor.clone(), &entry, now));
        // Orders for the ended instance arrive by the end of its last lease, and the successor then
        // keeps its runs for as long as it does by any order: their deadlines were set by another
        // clock.
        next.lease.expect_late_orders(ended_by.min(now + lease) + lease);
        next.contact.next_poll = next.contact.next_poll.min(now);
        let late_starts: Option<Vec<(RunKey, Duration)>> =
            self.vms.get(id).map(|vm| vm.late_starts.ends().collect());
        passed.iter().for_each(|key| self.pass_run(id, successor, *key));
        self.bar_late_starts(successor, late_starts.unwrap_or_default());
        self.forget_vm(id, proof);
        self.settle_address(&addr);
    }

    /// Passes a run of an ended VM instance to its successor, to be stopped there.
    fn pass_run(&mut self, from: &VmId, to: &VmId, key: RunKey) {
        let now = self.now.steady;
        let run = self.vms.get_mut(from).and_then(|vm| vm.runs.shift_remove(&key));
        let Some((run, next)) = run.zip(self.vms.get_mut(to)) else { return };
        next.runs.entry(key).or_insert_with(|| run.passed_on(now));
        let addr = next.entry.addr.clone();
        let Some(job) = self.jobs.get_mut(&key.task.job) else { return };
        let Some(task) = job.task_mut(key.task) else { return };
        task.pass_run(from, key.run, (to, &addr));
        self.log.mark_changed(key.task.job);
        let RunKey { task, run } = key;
        let reason = "the next instance of its VM may still start it";
        self.note(Note::TaskStopping { task, run, vm: to.clone(), reason });
    }

    /// Stops the runs that a VM may start by an order for an earlier instance, although they have
    /// ended or been stopped there.
    fn bar_late_starts(&mut self, id: &VmId, late_starts: Vec<(RunKey, Duration)>) {
        let now = self.now.steady;
        for (key, end) in late_starts.into_iter().filter(|(_, end)| now < *end) {
            let Some(vm) = self.vms.get_mut(id) else { return };
            vm.late_starts.expect(key, end);
            if !vm.runs.contains_key(&key) {
                self.stop_unbound_run(id, key, "its VM may still carry out an earlier start");
            }
        }
    }

    /// Finds out which VMs share their registered id and address with another instance.
    pub(super) fn update_successions(&mut self) {
        let place = |vm: &Vm| (vm.id.registered().to_owned(), vm.entry.addr.clone());
        let mut instances: IndexMap<_, usize> = IndexMap::new();
        for vm in self.vms.values() {
            *instances.entry(place(vm)).or_default() += 1;
        }
        let mut settled = false;
        for vm in self.vms.values_mut() {
            let before = vm.succession;
            let is_only = instances.get(&place(vm)) == Some(&1);
            vm.succession = if is_only { Succession::Settled } else { Succession::Open };
            settled |= before == Succession::Open && is_only;
        }
        if settled {
            self.request_schedule();
        }
    }

    /// The listed VM under the same registered id as an ended instance.
    fn listed_successor(&self, ended: &VmId) -> Option<VmId> {
        let listed = |vm: &&Vm| vm.id.is_same_vm(ended) && vm.listing == Listing::Listed;
        self.vms.values().find(listed).map(|vm| vm.id.clone())
    }

    /// Allows work again on the last VM known at an address.
    fn settle_address(&mut self, addr: &str) {
        let mut at_address = self.vms.values_mut().filter(|vm| *vm.entry.addr == *addr);
        let (Some(vm), None) = (at_address.next(), at_address.next()) else { return };
        if vm.challenged.take().is_some() {
            self.request_schedule();
        }
    }

    /// Removes VMs that have left, with everything that ran on them. A VM that is still listed may
    /// have announced itself again, so it is removed once a complete list confirms that it is gone.
    pub(super) fn remove_departed_vms(&mut self, departures: &[Departure]) {
        for Departure { vm: id, .. } in departures {
            let Some(vm) = self.vms.get_mut(id) else { continue };
            match vm.listing {
                Listing::Listed => vm.listing = Listing::Departed,
                Listing::Departed => {}
                Listing::Missing { .. } | Listing::Unknown => self.remove_departed_vm(id),
            }
        }
    }

    fn remove_departed_vm(&mut self, id: &VmId) {
        if self.vms.get(id).is_some_and(|vm| vm.succession == Succession::Open) {
            // Its runs pass to the next instance once its address has told which one that is.
            return;
        }
        let proof = "it has left as it announced";
        self.report_vm_gone(id, proof, 0);
        let now = self.now.steady;
        if self.vms.get(id).is_some_and(|vm| vm.expects_late_starts(now)) {
            // The next instance under the same id may still carry out a start for this one, so the
            // VM stays known until no such start can arrive.
            return self.remove_all_runs(id, proof);
        }
        self.forget_vm(id, proof);
    }

    fn report_vm_gone(&mut self, id: &VmId, proof: StaticText, passed: usize) {
        if let Some(vm) = self.vms.get(id) {
            let runs = vm.runs.len();
            self.note(Note::VmGone { vm: id.clone(), proof, runs, passed });
        }
    }

    fn forget_vm(&mut self, id: &VmId, proof: StaticText) {
        self.remove_all_runs(id, proof);
        if self.vms.shift_remove(id).is_some() {
            self.ended_vms.insert(id.clone(), self.now.steady);
            self.update_successions();
        }
        if self.ended_vms.len() > MAX_ENDED_VMS {
            self.ended_vms.shift_remove_index(0);
        }
    }

    /// Logs the runs on a VM that is no longer listed.
    fn report_runs_left(&mut self, id: &VmId) {
        let now = self.now.steady;
        let Some(vm) = self.vms.get(id) else { return };
        let notice = vm.leaving.map_or(Duration::ZERO, |leaving| now.saturating_sub(leaving.since));
        let heard = vm.last_heard();
        let note = |(key, run): (&RunKey, &Run)| Note::RunLeftBehind {
            task: key.task,
            run: key.run,
            vm: id.clone(),
            stage: run.stage.name(),
            stage_ms: Millis(now.saturating_sub(run.since)),
            notice_ms: Millis(notice),
            silent_ms: Millis(now.saturating_sub(heard)),
        };
        let notes: Vec<Note> = vm.runs.iter().map(note).collect();
        notes.into_iter().for_each(|note| self.note(note));
    }

    /// Removes VMs that are no longer announced, don't respond and have no runs left.
    fn remove_absent_vms(&mut self) {
        let now = self.now.steady;
        let is_absent = |vm: &Vm| {
            !vm.expects_late_starts(now)
                && vm.listing != Listing::Listed
                && vm.runs.is_empty()
                && (vm.contact.responsiveness != Responsiveness::Responsive
                    || vm.contact.last_successful_poll.is_none())
        };
        let before = self.vms.len();
        self.vms.retain(|_, vm| !is_absent(vm));
        if self.vms.len() < before {
            self.update_successions();
        }
    }
}
