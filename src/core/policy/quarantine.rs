//! Who is to blame for a failure: the task's class or the VM.
//!
//! A failure counts against a VM by how well the class fares on other VMs; a class that fails on
//! several VMs and works on none is backed off instead. A VM that fails everything looks free and
//! would drain the queue; quarantined, it gets one probe at a time, at growing intervals.

use super::decide::ClassState;
use crate::ids::{ClassName, VmId};
use crate::task::Outcome;
use indexmap::IndexMap;
use std::time::Duration;

/// Blame and credit halve in this time.
const HALF_LIFE: Duration = Duration::from_secs(600);

/// Blame at which a VM is quarantined, if it is also more than its credit.
const TOO_MUCH_BLAME: f64 = 2.0;

/// Most credit a VM can have, so that one that breaks after years is found as soon as a new one.
const MAX_CREDIT: f64 = 3.0;

/// Credit left after each failure.
const CREDIT_KEPT: f64 = 0.7;

/// Blame of a VM that is opened without a good probe: one more failure quarantines it again.
const PROBATION_BLAME: f64 = 1.9;

/// Good probes that end a quarantine.
const GOOD_PROBES: u32 = 2;

/// First and longest time between probes.
const FIRST_PROBE: Duration = Duration::from_secs(30);
const LONGEST_PROBE: Duration = Duration::from_secs(1800);

/// Probe intervals after which a VM that got no probe is opened on probation.
const PROBATION_AFTER: u32 = 8;

/// VMs that a class must have failed on, without working anywhere, to be backed off.
const FAILED_VMS: usize = 3;

/// First and longest time between starts of a class that is backed off.
const FIRST_RETRY: Duration = Duration::from_secs(2);
const LONGEST_RETRY: Duration = Duration::from_secs(30);

/// VMs remembered for each class, and classes and VMs remembered.
const MAX_LAST: usize = 64;
const MAX_ENTRIES: usize = 4096;

/// How a class last fared on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Last {
    Good(Duration),
    Bad(Duration),
}

#[derive(Clone, Debug, Default)]
struct ClassRecord {
    last: IndexMap<VmId, Last>,
    /// Time of the next start, and the interval, while it is backed off.
    retry_at: Duration,
    interval: Duration,
}

/// Why a VM is quarantined, and what has been tried since.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quarantine {
    pub since: Duration,
    pub next_probe: Duration,
    interval: Duration,
    good: u32,
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
        let kept = 0.5_f64.powf(passed / HALF_LIFE.as_secs_f64());
        self.blame *= kept;
        self.credit *= kept;
        self.at = self.at.max(now);
    }

    fn quarantine(&mut self, now: Duration) {
        let doubled = (self.interval * 2).clamp(FIRST_PROBE, LONGEST_PROBE);
        self.interval = doubled;
        let next_probe = now + doubled;
        self.quarantine = Some(Quarantine { since: now, next_probe, interval: doubled, good: 0 });
    }
}

/// Failures by VM and by class.
#[derive(Clone, Debug, Default)]
pub struct Blame {
    vms: IndexMap<VmId, VmRecord>,
    classes: IndexMap<ClassName, ClassRecord>,
}

impl Blame {
    /// Learns how an attempt ended.
    pub fn ended(&mut self, vm: &VmId, class: &ClassName, outcome: &Outcome, now: Duration) {
        match outcome {
            Outcome::Succeeded => self.succeeded(vm, class, now),
            Outcome::Failed { .. } => self.failed(vm, class, now),
            Outcome::Cancelled | Outcome::Unknown { .. } => {}
        }
    }

    fn succeeded(&mut self, vm: &VmId, class: &ClassName, now: Duration) {
        let class = self.class(class);
        class.interval = Duration::ZERO;
        remember(&mut class.last, vm, Last::Good(now));
        let record = self.vm(vm);
        record.decay(now);
        record.blame *= 0.5;
        record.credit = (record.credit + 1.0).min(MAX_CREDIT);
        if let Some(quarantine) = &mut record.quarantine {
            quarantine.good += 1;
            quarantine.next_probe = now;
            if quarantine.good >= GOOD_PROBES {
                record.quarantine = None;
                record.blame = 0.0;
                record.interval = Duration::ZERO;
            }
        }
    }

    fn failed(&mut self, vm: &VmId, class: &ClassName, now: Duration) {
        let share = self.vms_share(vm, class, now);
        let class = self.class(class);
        remember(&mut class.last, vm, Last::Bad(now));
        class.interval = (class.interval * 2).clamp(FIRST_RETRY, LONGEST_RETRY);
        class.retry_at = now + class.interval;
        let record = self.vm(vm);
        record.decay(now);
        record.blame += share;
        record.credit *= CREDIT_KEPT;
        if let Some(quarantine) = &mut record.quarantine {
            quarantine.good = 0;
            quarantine.interval = (quarantine.interval * 2).min(LONGEST_PROBE);
            quarantine.next_probe = now + quarantine.interval;
            record.interval = quarantine.interval;
        } else if record.blame >= TOO_MUCH_BLAME && record.blame > record.credit {
            record.quarantine(now);
        }
    }

    /// How much of a failure is the VM's: little if the class fails elsewhere too, one half if
    /// nothing is known.
    fn vms_share(&self, vm: &VmId, class: &ClassName, now: Duration) -> f64 {
        let Some(class) = self.classes.get(class) else { return 0.5 };
        let (mut good, mut bad) = (0.0, 0.0);
        for (_, last) in class.last.iter().filter(|(other, _)| *other != vm) {
            match last {
                Last::Good(at) if recent(*at, now) => good += 1.0,
                Last::Bad(at) if recent(*at, now) => bad += 1.0,
                Last::Good(_) | Last::Bad(_) => {}
            }
        }
        1.0 - (bad + 0.5) / (bad + good + 1.0)
    }

    /// Whether a class fails wherever it runs.
    pub fn class_state(&self, class: &ClassName, now: Duration) -> ClassState {
        let Some(record) = self.classes.get(class) else { return ClassState::Sound };
        let mut bad = 0;
        for last in record.last.values() {
            match last {
                Last::Good(at) if recent(*at, now) => return ClassState::Sound,
                Last::Bad(at) if recent(*at, now) => bad += 1,
                Last::Good(_) | Last::Bad(_) => {}
            }
        }
        if bad < FAILED_VMS {
            return ClassState::Sound;
        }
        ClassState::FailsEverywhere { retry_at: record.retry_at }
    }

    /// A task of the class is being started; the next waits for its interval.
    pub fn retried(&mut self, class: &ClassName, now: Duration) {
        if let Some(record) = self.classes.get_mut(class) {
            record.retry_at = now + record.interval;
        }
    }

    /// Failures blamed on the VM.
    pub fn of(&self, vm: &VmId) -> f64 {
        self.vms.get(vm).map_or(0.0, |record| record.blame)
    }

    pub fn quarantine(&self, vm: &VmId) -> Option<&Quarantine> {
        self.vms.get(vm)?.quarantine.as_ref()
    }

    /// Whether a quarantined VM may be sent one task. Where its failures were not seen here, its
    /// probes are spaced by the first interval.
    pub fn probe_due(&self, vm: &VmId, now: Duration) -> bool {
        match self.vms.get(vm) {
            Some(VmRecord { quarantine: Some(quarantine), .. }) => now >= quarantine.next_probe,
            Some(record) => now >= record.at + FIRST_PROBE,
            None => true,
        }
    }

    /// A probe is being sent.
    pub fn probed(&mut self, vm: &VmId, now: Duration) {
        let record = self.vm(vm);
        record.decay(now);
        if let Some(quarantine) = &mut record.quarantine {
            quarantine.next_probe = now + quarantine.interval;
        }
    }

    /// Opens a VM on probation that got no probe for long: no writer has a task that fits, and a
    /// VM must not be lost to the fleet for that.
    pub fn end_if_overdue(&mut self, vm: &VmId, now: Duration) {
        let Some(record) = self.vms.get_mut(vm) else { return };
        let overdue = record.quarantine.is_some_and(|quarantine| {
            now >= quarantine.next_probe + quarantine.interval * PROBATION_AFTER
        });
        if overdue {
            record.quarantine = None;
            record.blame = PROBATION_BLAME;
            record.credit = 0.0;
            record.at = now;
        }
    }

    fn class(&mut self, class: &ClassName) -> &mut ClassRecord {
        bound(&mut self.classes);
        self.classes.entry(class.clone()).or_default()
    }

    fn vm(&mut self, vm: &VmId) -> &mut VmRecord {
        bound(&mut self.vms);
        self.vms.entry(vm.clone()).or_default()
    }
}

fn recent(at: Duration, now: Duration) -> bool {
    at + HALF_LIFE * 3 > now
}

fn remember(last: &mut IndexMap<VmId, Last>, vm: &VmId, how: Last) {
    last.shift_remove(vm);
    if last.len() >= MAX_LAST {
        last.shift_remove_index(0);
    }
    last.insert(vm.clone(), how);
}

fn bound<K: std::hash::Hash + Eq, V>(entries: &mut IndexMap<K, V>) {
    if entries.len() >= MAX_ENTRIES {
        entries.shift_remove_index(0);
    }
}
