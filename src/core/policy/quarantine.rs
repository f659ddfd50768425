//! Attributes failures to the task's class or to the VM, and quarantines failing VMs.
//!
//! How much a failure counts against a VM depends on how the class does on other VMs; a class that
//! fails on several VMs and succeeds on none is backed off instead. A VM that fails every task
//! always looks free and would drain the queue; in quarantine it gets one probe at a time, at
//! increasing intervals.

use super::decide::ClassState;
use crate::ids::{ClassName, VmId};
use crate::task::Outcome;
use indexmap::IndexMap;
use std::time::Duration;

/// Half-life of blame and credit.
const HALF_LIFE: Duration = Duration::from_secs(600);

/// Blame at which a VM is quarantined, if it also exceeds its credit.
const QUARANTINE_BLAME: f64 = 2.0;

/// Upper bound of a VM's credit, so that a fault after years is detected as fast as on a new VM.
const MAX_CREDIT: f64 = 3.0;

/// Fraction of the credit that remains after a failure.
const CREDIT_RETAINED: f64 = 0.7;

/// Blame of a VM opened without a successful probe; one more failure quarantines it again.
const PROBATION_BLAME: f64 = 1.9;

/// Number of successful probes that end a quarantine.
const REQUIRED_PROBES: u32 = 2;

/// Bounds of the interval between probes.
const MIN_PROBE_INTERVAL: Duration = Duration::from_secs(30);
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(1800);

/// Number of probe intervals without a probe after which a VM is opened on probation.
const PROBATION_INTERVALS: u32 = 8;

/// Number of VMs on which a class must fail, while succeeding on none, to be backed off.
const MIN_FAILED_VMS: usize = 3;

/// Bounds of the interval between starts of a class that is backed off.
const MIN_RETRY_INTERVAL: Duration = Duration::from_secs(2);
const MAX_RETRY_INTERVAL: Duration = Duration::from_secs(30);

/// Maximum number of VMs remembered for each class, and of classes and VMs remembered overall.
const MAX_VMS_PER_CLASS: usize = 64;
const MAX_ENTRIES: usize = 4096;

/// The last outcome of a class on a VM, and its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LastOutcome {
    Succeeded(Duration),
    Failed(Duration),
}

#[derive(Clone, Debug, Default)]
struct ClassRecord {
    last: IndexMap<VmId, LastOutcome>,
    /// Time of the next start and the interval between starts, used while the class is backed off.
    retry_at: Duration,
    interval: Duration,
}

/// State of a VM's quarantine and its probes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quarantine {
    pub since: Duration,
    pub next_probe: Duration,
    interval: Duration,
    successes: u32,
}

#[derive(Clone, Debug, Default)]
struct VmRecord {
    blame: f64,
    credit: f64,
    at: Duration,
    interval: Duration,
    quarantine: Option<Quarantine>,
}

impl VmRecord {
    fn decay(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        let retained = 0.5_f64.powf(passed / HALF_LIFE.as_secs_f64());
        self.blame *= retained;
        self.credit *= retained;
        self.at = self.at.max(now);
    }

    fn quarantine(&mut self, now: Duration) {
        let interval = (self.interval * 2).clamp(MIN_PROBE_INTERVAL, MAX_PROBE_INTERVAL);
        self.interval = interval;
        let next_probe = now + interval;
        self.quarantine = Some(Quarantine { since: now, next_probe, interval, successes: 0 });
    }
}

/// Failure records by VM and by class.
#[derive(Clone, Debug, Default)]
pub struct FailureRecords {
    vms: IndexMap<VmId, VmRecord>,
    classes: IndexMap<ClassName, ClassRecord>,
}

impl FailureRecords {
    /// Records the outcome of an attempt.
    pub fn record_outcome(
        &mut self,
        vm: &VmId,
        class: &ClassName,
        outcome: &Outcome,
        now: Duration,
    ) {
        match outcome {
            Outcome::Succeeded => self.succeeded(vm, class, now),
            Outcome::Failed { .. } => self.failed(vm, class, now),
            Outcome::Cancelled | Outcome::Unknown { .. } => {}
        }
    }

    fn succeeded(&mut self, vm: &VmId, class: &ClassName, now: Duration) {
        let class = self.class(class);
        class.interval = Duration::ZERO;
        remember(&mut class.last, vm, LastOutcome::Succeeded(now));
        let record = self.vm(vm);
        record.decay(now);
        record.blame *= 0.5;
        record.credit = (record.credit + 1.0).min(MAX_CREDIT);
        if let Some(quarantine) = &mut record.quarantine {
            quarantine.successes += 1;
            quarantine.next_probe = now;
            if quarantine.successes >= REQUIRED_PROBES {
                record.quarantine = None;
                record.blame = 0.0;
                record.interval = Duration::ZERO;
            }
        }
    }

    fn failed(&mut self, vm: &VmId, class: &ClassName, now: Duration) {
        let share = self.vm_share(vm, class, now);
        let class = self.class(class);
        remember(&mut class.last, vm, LastOutcome::Failed(now));
        class.interval = (class.interval * 2).clamp(MIN_RETRY_INTERVAL, MAX_RETRY_INTERVAL);
        class.retry_at = now + class.interval;
        let record = self.vm(vm);
        record.decay(now);
        record.blame += share;
        record.credit *= CREDIT_RETAINED;
        if let Some(quarantine) = &mut record.quarantine {
            quarantine.successes = 0;
            quarantine.interval = (quarantine.interval * 2).min(MAX_PROBE_INTERVAL);
            quarantine.next_probe = now + quarantine.interval;
            record.interval = quarantine.interval;
        } else if record.blame >= QUARANTINE_BLAME && record.blame > record.credit {
            record.quarantine(now);
        }
    }

    /// The part of a failure attributed to the VM: small if the class fails elsewhere too, one half
    /// if nothing is known about the class.
    fn vm_share(&self, vm: &VmId, class: &ClassName, now: Duration) -> f64 {
        let Some(class) = self.classes.get(class) else { return 0.5 };
        let (mut successes, mut failures) = (0.0, 0.0);
        for (_, last) in class.last.iter().filter(|(other, _)| *other != vm) {
            match last {
                LastOutcome::Succeeded(at) if recent(*at, now) => successes += 1.0,
                LastOutcome::Failed(at) if recent(*at, now) => failures += 1.0,
                LastOutcome::Succeeded(_) | LastOutcome::Failed(_) => {}
            }
        }
        1.0 - (failures + 0.5) / (failures + successes + 1.0)
    }

    /// Whether a class fails on every VM.
    pub fn class_state(&self, class: &ClassName, now: Duration) -> ClassState {
        let Some(record) = self.classes.get(class) else { return ClassState::Sound };
        let mut failures = 0;
        for last in record.last.values() {
            match last {
                LastOutcome::Succeeded(at) if recent(*at, now) => return ClassState::Sound,
                LastOutcome::Failed(at) if recent(*at, now) => failures += 1,
                LastOutcome::Succeeded(_) | LastOutcome::Failed(_) => {}
            }
        }
        if failures < MIN_FAILED_VMS {
            return ClassState::Sound;
        }
        ClassState::FailsEverywhere { retry_at: record.retry_at }
    }

    /// Records a start of a class that is backed off; the next start waits for the interval.
    pub fn record_retry(&mut self, class: &ClassName, now: Duration) {
        if let Some(record) = self.classes.get_mut(class) {
            record.retry_at = now + record.interval;
        }
    }

    /// Decayed count of the failures attributed to the VM.
    pub fn of_vm(&self, vm: &VmId) -> f64 {
        self.vms.get(vm).map_or(0.0, |record| record.blame)
    }

    pub fn quarantine(&self, vm: &VmId) -> Option<&Quarantine> {
        self.vms.get(vm)?.quarantine.as_ref()
    }

    /// Whether a quarantined VM may be sent one task as a probe. If this daemon did not see the
    /// VM's failures, probes are spaced by the minimum interval.
    pub fn probe_due(&self, vm: &VmId, now: Duration) -> bool {
        match self.vms.get(vm) {
            Some(VmRecord { quarantine: Some(quarantine), .. }) => now >= quarantine.next_probe,
            Some(record) => now >= record.at + MIN_PROBE_INTERVAL,
            None => true,
        }
    }

    /// Records that a probe is being sent.
    pub fn record_probe(&mut self, vm: &VmId, now: Duration) {
        let record = self.vm(vm);
        record.decay(now);
        if let Some(quarantine) = &mut record.quarantine {
            quarantine.next_probe = now + quarantine.interval;
        }
    }

    /// Opens a VM on probation if it got no probe for a long time because no writer has a task that
    /// fits; the fleet must not lose the VM for that.
    pub fn end_if_overdue(&mut self, vm: &VmId, now: Duration) {
        let Some(record) = self.vms.get_mut(vm) else { return };
        let overdue = record.quarantine.is_some_and(|quarantine| {
            now >= quarantine.next_probe + quarantine.interval * PROBATION_INTERVALS
        });
        if overdue {
            record.quarantine = None;
            record.blame = PROBATION_BLAME;
            record.credit = 0.0;
            record.at = now;
        }
    }

    fn class(&mut self, class: &ClassName) -> &mut ClassRecord {
        evict_oldest_if_full(&mut self.classes);
        self.classes.entry(class.clone()).or_default()
    }

    fn vm(&mut self, vm: &VmId) -> &mut VmRecord {
        evict_oldest_if_full(&mut self.vms);
        self.vms.entry(vm.clone()).or_default()
    }
}

fn recent(at: Duration, now: Duration) -> bool {
    at + HALF_LIFE * 3 > now
}

fn remember(last: &mut IndexMap<VmId, LastOutcome>, vm: &VmId, outcome: LastOutcome) {
    last.shift_remove(vm);
    if last.len() >= MAX_VMS_PER_CLASS {
        last.shift_remove_index(0);
    }
    last.insert(vm.clone(), outcome);
}

fn evict_oldest_if_full<K: std::hash::Hash + Eq, V>(entries: &mut IndexMap<K, V>) {
    if entries.len() >= MAX_ENTRIES {
        entries.shift_remove_index(0);
    }
}
