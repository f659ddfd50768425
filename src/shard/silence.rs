//! Durable record of unresponsive VMs, which saves the next owner from waiting for them again.
//!
//! Work on a VM that does not answer is certain to have ended some time after its lease was last
//! extended. Only the owner knows that time; its successor would have to assume that the lease was
//! extended until the takeover or even later. An owner therefore records in the store that it does
//! not extend a VM, and tells the other daemons how much time is left. The record is durably
//! removed before the VM's lease is extended again, so the reported times are valid for as long as
//! the record is in the store, however late they are read.

#[cfg(test)]
mod tests;

use super::Shard;
use super::recover::VmLapse;
use super::vm_run::{Responsiveness, Vm};
use crate::ids::VmId;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Time without an answer after which a VM is recorded. It is several seconds shorter than the time
/// that work is kept running, which the next owner saves, and longer than most pauses, since each
/// recorded pause costs two commits.
const RECORD_SILENCE_AFTER: Duration = Duration::from_secs(3);

/// Number of the commit that first recorded a silent period; distinguishes it from earlier periods
/// of the same VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SilenceMark(pub u64);

/// Stored entry of a VM whose lease is not extended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SilentVm {
    pub vm: VmId,
    pub mark: SilenceMark,
}

/// How long a VM that is recorded as silent may keep its work running.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedLapse {
    pub lapse: VmLapse,
    pub mark: SilenceMark,
}

impl ReportedLapse {
    /// Returns the lapse as seen after `passed`.
    pub fn aged(self, passed: Duration) -> Self {
        Self { lapse: self.lapse.aged(passed), ..self }
    }
}

/// The record of silent VMs: wanted, in flight to the store, and durable.
#[derive(Debug, Default)]
pub struct SilenceRecord {
    wanted: IndexMap<VmId, SilenceMark>,
    sent: Option<IndexMap<VmId, SilenceMark>>,
    durable: IndexMap<VmId, SilenceMark>,
}

impl SilenceRecord {
    /// Creates the record from its stored rows.
    pub fn new(rows: Vec<SilentVm>) -> Self {
        let durable: IndexMap<VmId, SilenceMark> =
            rows.into_iter().map(|row| (row.vm, row.mark)).collect();
        Self { wanted: durable.clone(), sent: None, durable }
    }

    /// Returns whether the record needs to be written and no write is in flight.
    pub fn needs_write(&self) -> bool {
        self.sent.is_none() && self.wanted != self.durable
    }

    /// Returns the rows to write and marks them as in flight.
    pub fn start_write(&mut self) -> Vec<SilentVm> {
        self.sent = Some(self.wanted.clone());
        self.wanted.iter().map(|(vm, mark)| SilentVm { vm: vm.clone(), mark: *mark }).collect()
    }

    /// Marks the rows in flight as durable.
    pub fn write_done(&mut self) {
        if let Some(sent) = self.sent.take() {
            self.durable = sent;
        }
    }

    /// Discards the rows in flight, which were not written.
    pub fn write_failed(&mut self) {
        self.sent = None;
    }

    /// Returns whether a VM's lease may be extended: the VM is neither in the durable record nor in
    /// one that is being written.
    pub fn may_extend_lease(&self, vm: &VmId) -> bool {
        let sent = self.sent.as_ref().is_some_and(|sent| sent.contains_key(vm));
        !sent && !self.durable.contains_key(vm)
    }

    /// Returns the mark of a VM that is durably recorded as silent.
    pub fn mark(&self, vm: &VmId) -> Option<SilenceMark> {
        self.durable.get(vm).copied()
    }

    fn update_wanted(&mut self, silent: &[VmId], mark: SilenceMark) {
        self.wanted.retain(|vm, _| silent.contains(vm));
        for vm in silent {
            // A VM that is in the record keeps its mark. While a write is in flight, the record is
            // what is being written: once a VM is durably removed, its lease may be extended.
            let record = self.sent.as_ref().unwrap_or(&self.durable);
            let mark = record.get(vm).copied().unwrap_or(mark);
            self.wanted.entry(vm.clone()).or_insert(mark);
        }
    }
}

impl Shard {
    /// Updates the record of silent VMs for the next commit.
    pub(super) fn update_silence_record(&mut self) {
        let now = self.now.steady;
        let record = &self.log.silence;
        let recorded = |vm: &Vm| record.wanted.contains_key(&vm.id);
        let silent = |vm: &&Vm| {
            !vm.runs.is_empty()
                && (is_silent_for_long(vm, now) || recorded(vm) && has_not_answered(vm))
        };
        let silent: Vec<VmId> = self.vms.values().filter(silent).map(|vm| vm.id.clone()).collect();
        let mark = SilenceMark(self.log.next_seq());
        self.log.silence.update_wanted(&silent, mark);
    }

    /// Returns the remaining time of each VM that is durably recorded as silent, as of `now`.
    pub fn reported_lapses(&self, now: Duration) -> Vec<ReportedLapse> {
        let lease = self.settings.inherited_lease(Duration::ZERO);
        let reported = |vm: &Vm| {
            let mark = self.log.silence.mark(&vm.id)?;
            let left = vm.all_runs_ended_by(lease).saturating_sub(now);
            Some(ReportedLapse { lapse: VmLapse { vm: vm.id.clone(), left }, mark })
        };
        self.vms.values().filter_map(reported).collect()
    }
}

fn is_silent_for_long(vm: &Vm, now: Duration) -> bool {
    match vm.contact.responsiveness {
        Responsiveness::SilentSince(since) => now.saturating_sub(since) >= RECORD_SILENCE_AFTER,
        Responsiveness::Responsive => false,
    }
}

/// Returns whether a VM is silent or has never answered this owner.
fn has_not_answered(vm: &Vm) -> bool {
    vm.contact.responsiveness != Responsiveness::Responsive
        || vm.contact.last_successful_poll.is_none()
}
