//! Silent VMs that the store knows of, so that the next owner needn't wait for them anew.
//!
//! What runs on a VM that doesn't answer has surely ended some time after it was last extended. Only
//! the owner knows that time; the next one would have to assume that work was extended until it took
//! over, and longer. So an owner makes durable that it doesn't extend a VM, and tells the others how
//! much of its time is left. Before the VM is extended again, that record is taken back durably:
//! the times told with a record that the store still has are true, however late they are read.

use super::Shard;
use super::recover::Lapse;
use super::vm_run::{Silent, Vm};
use crate::ids::VmId;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Silence after which a VM is recorded. Shorter than the time that work is kept running by several
/// seconds, which the next owner saves; longer than most pauses, each of which would cost two commits.
const RECORD_AFTER: Duration = Duration::from_secs(3);

/// Number of the commit that first recorded a silence, which tells it from an earlier one of the VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark(pub u64);

/// A VM that isn't extended, as the store has it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SilentVm {
    pub vm: VmId,
    pub mark: Mark,
}

/// How long a VM that the store knows as silent may still keep its work running.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToldLapse {
    pub lapse: Lapse,
    pub mark: Mark,
}

impl ToldLapse {
    /// The same after some time.
    pub fn aged(self, passed: Duration) -> Self {
        Self { lapse: self.lapse.aged(passed), ..self }
    }
}

/// The record of silent VMs: as it should be, and as the store has it.
#[derive(Debug, Default)]
pub struct Record {
    wanted: IndexMap<VmId, Mark>,
    sent: Option<IndexMap<VmId, Mark>>,
    durable: IndexMap<VmId, Mark>,
}

impl Record {
    /// The record as the store has it.
    pub fn new(rows: Vec<SilentVm>) -> Self {
        let durable: IndexMap<VmId, Mark> =
            rows.into_iter().map(|row| (row.vm, row.mark)).collect();
        Self { wanted: durable.clone(), sent: None, durable }
    }

    /// Whether the store needs to be told.
    pub fn is_changed(&self) -> bool {
        self.sent.is_none() && self.wanted != self.durable
    }

    /// The rows to write now.
    pub fn send(&mut self) -> Vec<SilentVm> {
        self.sent = Some(self.wanted.clone());
        self.wanted.iter().map(|(vm, mark)| SilentVm { vm: vm.clone(), mark: *mark }).collect()
    }

    /// The rows sent last are durable.
    pub fn written(&mut self) {
        if let Some(sent) = self.sent.take() {
            self.durable = sent;
        }
    }

    /// The rows sent last were not written.
    pub fn not_written(&mut self) {
        self.sent = None;
    }

    /// Whether a VM may be extended: the store doesn't say otherwise, nor will it.
    pub fn may_extend(&self, vm: &VmId) -> bool {
        let sent = self.sent.as_ref().is_some_and(|sent| sent.contains_key(vm));
        !sent && !self.durable.contains_key(vm)
    }

    /// Mark of a VM that the store knows as silent.
    pub fn mark(&self, vm: &VmId) -> Option<Mark> {
        self.durable.get(vm).copied()
    }

    fn want(&mut self, silent: &[VmId], mark: Mark) {
        self.wanted.retain(|vm, _| silent.contains(vm));
        for vm in silent {
            // One that is on its way keeps its mark.
            let known = self.sent.as_ref().and_then(|sent| sent.get(vm)).or(self.durable.get(vm));
            let mark = known.copied().unwrap_or(mark);
            self.wanted.entry(vm.clone()).or_insert(mark);
        }
    }
}

impl Shard {
    /// Finds which VMs are silent, for the next commit.
    pub(super) fn record_silence(&mut self) {
        let now = self.now.steady;
        let record = &self.log.silence;
        let recorded = |vm: &Vm| record.wanted.contains_key(&vm.id);
        let silent = |vm: &&Vm| {
            !vm.runs.is_empty() && (is_long_silent(vm, now) || recorded(vm) && is_unheard(vm))
        };
        let silent: Vec<VmId> = self.vms.values().filter(silent).map(|vm| vm.id.clone()).collect();
        let mark = Mark(self.log.next_seq());
        self.log.silence.want(&silent, mark);
    }

    /// What the next owner should know of VMs that the store has as silent, as of `now`.
    pub fn told_lapses(&self, now: Duration) -> Vec<ToldLapse> {
        let told = |vm: &Vm| {
            let mark = self.log.silence.mark(&vm.id)?;
            let left = vm.lapsed_by.saturating_sub(now);
            Some(ToldLapse { lapse: Lapse { vm: vm.id.clone(), left }, mark })
        };
        self.vms.values().filter_map(told).collect()
    }
}

fn is_long_silent(vm: &Vm, now: Duration) -> bool {
    match vm.contact.silent {
        Silent::Since(since) => now.saturating_sub(since) >= RECORD_AFTER,
        Silent::No => false,
    }
}

/// Whether a VM has answered neither this owner nor, after its silence began, any other.
fn is_unheard(vm: &Vm) -> bool {
    vm.contact.silent != Silent::No || vm.contact.heard.is_none()
}
