//! Proof that this owner still owns the shard.
//!
//! Pattern: lease with a bound known to both sides. An owner that is partitioned from the store isn't
//! told that it was replaced, and its successor can't reach the VMs on the owner's side to fence it
//! off. So each durable commit counts as a proof that the shard was owned when the commit was sent,
//! and no lease lasts for longer than a fixed time after the last proof. The successor has claimed the
//! shard after that proof and counts on [`Settings::stale_owner_extension`] and a whole lease.
//!
//! [`Settings::stale_owner_extension`]: super::settings::Settings::stale_owner_extension

use super::Shard;
use crate::note::{Millis, Note};
use std::time::Duration;

/// Age of the last proof from which an owner with work commits, also without changes.
const RENEWAL_AGE: Duration = Duration::from_secs(1);

/// Time by which leases end before the successor counts on it, for the rates of the owners' clocks.
const CLOCK_MARGIN: Duration = Duration::from_millis(500);

impl Shard {
    /// Records that the shard was owned at `at` or later.
    pub(super) fn record_ownership_proof(&mut self, at: Duration) {
        self.owned_at = self.owned_at.max(at);
    }

    /// Returns whether a successor, if there is one, still allows for this owner's extending leases.
    pub(super) fn has_ownership_proof(&self) -> bool {
        !self.longest_lease().is_zero()
    }

    /// How long a lease that is given now may last; zero without a recent proof.
    pub(super) fn longest_lease(&self) -> Duration {
        let max_keep = self.settings.max_keep;
        let allowed = self.settings.stale_owner_extension() + max_keep - CLOCK_MARGIN;
        max_keep.min(allowed.saturating_sub(self.ownership_proof_age()))
    }

    /// Returns whether a commit is due to renew the proof.
    pub(super) fn needs_ownership_proof(&self) -> bool {
        let has_runs = || self.vms.values().any(|vm| !vm.runs.is_empty());
        let has_open_jobs = || self.jobs.values().any(|job| !job.is_final());
        self.ownership_proof_age() >= RENEWAL_AGE && (has_runs() || has_open_jobs())
    }

    /// Logs when the proof is no longer recent, and when it is again.
    pub(super) fn report_ownership_proof(&mut self) {
        let now = self.now.steady;
        let (shard, fence) = (self.name.clone(), self.fence.0);
        match (self.has_ownership_proof(), self.unproved_since) {
            (false, None) => {
                self.unproved_since = Some(now);
                let age_ms = Millis(self.ownership_proof_age());
                let runs = self.vms.values().map(|vm| vm.runs.len()).sum();
                self.note(Note::OwnershipUnproved { shard, fence, age_ms, runs });
            }
            (true, Some(since)) => {
                self.unproved_since = None;
                let unproved_ms = Millis(now.saturating_sub(since));
                self.note(Note::OwnershipProved { shard, fence, unproved_ms });
            }
            (true, None) | (false, Some(_)) => {}
        }
    }

    fn ownership_proof_age(&self) -> Duration {
        self.now.steady.saturating_sub(self.owned_at)
    }
}
