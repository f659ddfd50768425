//! The end of a shard's previous owner, as its successor learns of it.
//!
//! A new owner that can't show that the one before it has ended allows for every lease that this one
//! may still extend. Once its end is shown, no lease lasts longer than one from the latest time at
//! which it, or an owner before it, may have extended any.
//!
//! An owner that finds that it has lost the shard knows more: when the leases end that it has
//! extended. It has made its last call by then. Calls that are still queued or on their way carry the
//! end of the lease on the VM's clock, which was computed as they were decided and counts here. Its
//! times cover the owners before it as well: a VM that has answered it carries out no order of an
//! earlier owner, and for the others it has allowed for them itself. The times are told as remaining
//! ones, so that a message that is held up only makes them longer.

use super::Shard;
use super::recover::VmLapse;
use super::settings::SILENCE_TIMEOUT;
use super::vm_run::Vm;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Time after which a start in flight has ended, whose result the owner doesn't wait for.
const START_RESULT_TIMEOUT: Duration = Duration::from_secs(1);

/// How much sooner than the others a VM's lease ends that is told separately. VMs with runs are polled
/// at shorter intervals.
const MIN_TOLD_DIFFERENCE: Duration = Duration::from_millis(600);

/// Proof that a shard's previous owner has ended. Its times are those of the monotonic clock of the
/// daemon that owns the shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PreviousOwnerEnd {
    /// Latest time at which that owner or one before it may extend a lease.
    pub extended_until: Duration,
    /// When the leases end, if that owner has told it.
    pub told: Option<ToldLeases>,
}

impl PreviousOwnerEnd {
    /// Creates the proof that no earlier owner extends leases after `extended_until`.
    pub fn new(extended_until: Duration) -> Self {
        Self { extended_until, told: None }
    }

    /// The same proof, with what that owner told of its leases.
    pub fn with_leases(self, told: ToldLeases) -> Self {
        Self { told: Some(told), ..self }
    }
}

/// Remaining leases of an ownership that has ended, and when they were told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ToldLeases {
    pub at: Duration,
    pub leases: RemainingLeases,
}

/// How much longer the leases may last that an owner and those before it have extended.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RemainingLeases {
    /// On any VM that isn't listed.
    pub left: Duration,
    /// On VMs with runs where it differs.
    pub vms: Vec<VmLapse>,
}

impl RemainingLeases {
    /// Returns the remaining times as seen after `passed`.
    pub fn aged(&self, passed: Duration) -> Self {
        let vms = self.vms.iter().map(|lapse| lapse.clone().aged(passed)).collect();
        Self { left: self.left.saturating_sub(passed), vms }
    }
}

impl Shard {
    /// Returns for how long an owner before this one may still extend leases.
    pub fn earlier_active(&self, now: Duration) -> Duration {
        self.earlier_active_until.saturating_sub(now)
    }

    /// Returns how much longer leases may last, for the next owner, once this one has ended.
    pub fn remaining_leases(&self, now: Duration) -> RemainingLeases {
        let end = self.vms.values().map(Vm::runs_ended_by);
        let end = end.fold(self.inherited_runs_until, Duration::max);
        let differs = |vm_end: Duration| vm_end > end || vm_end + MIN_TOLD_DIFFERENCE <= end;
        let with_runs = self.vms.values().filter(|vm| !vm.runs.is_empty());
        let ends = with_runs.map(|vm| (vm, self.unreported_runs_end(vm, now)));
        let told = ends.filter(|(_, vm_end)| differs(*vm_end));
        let lapse = |(vm, vm_end): (&Vm, Duration)| VmLapse {
            vm: vm.id.clone(),
            left: vm_end.saturating_sub(now),
        };
        RemainingLeases { left: end.saturating_sub(now), vms: told.map(lapse).collect() }
    }

    /// Time by which all runs on a VM have ended, whatever becomes of the calls in flight.
    fn unreported_runs_end(&self, vm: &Vm, now: Duration) -> Duration {
        let lease = self.settings.inherited_lease(Duration::ZERO);
        let end = vm.all_runs_ended_by(lease);
        if vm.late_starts.has_open() {
            end.max(now + START_RESULT_TIMEOUT + self.settings.max_keep + lease)
        } else {
            end
        }
    }

    /// Shortens the time for which VMs that have not answered may keep runs of earlier owners, the
    /// last of which has ended.
    pub(super) fn end_previous_owner(&mut self, end: &PreviousOwnerEnd) {
        self.earlier_active_until = self.earlier_active_until.min(end.extended_until);
        let lease = self.settings.inherited_lease(Duration::ZERO);
        let told = end.told.as_ref();
        let until = told.map_or(end.extended_until + lease, |told| told.at + told.leases.left);
        self.inherited_runs_until = self.inherited_runs_until.min(until);
        let unanswered = |vm: &&mut Vm| vm.contact.last_successful_poll.is_none();
        for vm in self.vms.values_mut().filter(unanswered) {
            let at_least = earliest_end(vm.known_since);
            let of_vm = |lapse: &&VmLapse| lapse.vm == vm.id;
            let vm_end = told.and_then(|told| {
                let lapse = told.leases.vms.iter().find(of_vm)?;
                Some(told.at + lapse.left)
            });
            match vm_end {
                Some(vm_end) => vm.lease.limit(vm_end.max(at_least)),
                None => vm.lease.shorten(until.max(at_least)),
            }
        }
    }
}

/// Earliest time at which the runs are given up that a new owner finds on a VM, if it knows the VM
/// since `known_since`: a VM that is reached tells how they have ended.
pub(super) fn earliest_end(known_since: Duration) -> Duration {
    known_since + SILENCE_TIMEOUT
}

#[cfg(test)]
mod tests;
