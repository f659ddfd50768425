//! Recognition of VMs that have left after announcing it.
//!
//! The store removes a VM's announcement when the VM has left. It also removes it after several
//! missed announcements, and then the VM may be alive and keep its tasks running. A VM has certainly
//! left if it announced that it leaves, its notice is over, and its last announcement was removed
//! sooner than its silence alone would explain.

#[cfg(test)]
mod tests;

use crate::ids::VmId;
use crate::kv::Rev;
use crate::vm::{Departure, VmEntry, VmState};
use indexmap::{IndexMap, IndexSet};
use std::time::Duration;

/// Missed announcements after which the store removes the last one.
const MISSED_ANNOUNCEMENTS: u32 = 3;

/// Longest time for which the store may hold changes back from a watch, by which an announcement
/// may be older than it seems.
const MAX_WATCH_DELAY: Duration = Duration::from_secs(1);

/// Last announcements of the VMs that are leaving, by key.
#[derive(Debug, Default)]
pub struct LeavingVms {
    vms: IndexMap<String, LeavingVm>,
}

#[derive(Debug)]
struct LeavingVm {
    vm: VmId,
    /// Revision of the last announcement.
    rev: Rev,
    /// Time after which the last announcement was written; `None` if unknown.
    written_after: Option<Duration>,
    /// The earliest end of its notice.
    notice_ends: Duration,
}

/// Conditions under which an announcement was found to be removed.
#[derive(Clone, Copy, Debug)]
pub struct Removal {
    pub now: Duration,
    /// The read that found it tells of changes up to this revision.
    pub read_up_to: Rev,
    /// Since when the store has been reachable without interruption; `None` if it isn't.
    pub reachable_since: Option<Duration>,
    /// Interval between two announcements; zero if unknown.
    pub announce_interval: Duration,
}

impl Removal {
    /// Silence that doesn't make the store remove an announcement, with an allowance of one interval
    /// or the longest delay of a watch.
    fn max_silence(self) -> Duration {
        let interval = self.announce_interval;
        (MISSED_ANNOUNCEMENTS * interval).saturating_sub(interval.max(MAX_WATCH_DELAY))
    }
}

impl LeavingVms {
    /// Records an announcement that was read at `now` and written after `written_after`.
    pub fn record(
        &mut self,
        key: &str,
        rev: Rev,
        entry: &VmEntry,
        written_after: Option<Duration>,
        now: Duration,
    ) {
        let VmState::Leaving { left: Some(left) } = entry.state else {
            self.vms.shift_remove(key);
            return;
        };
        let notice_ends = written_after.unwrap_or(now) + left;
        if self.vms.get(key).is_some_and(|known| known.vm != entry.id) {
            // The notice was that of another instance under the same key.
            self.vms.shift_remove(key);
        }
        let known = self.vms.entry(key.to_owned()).or_insert_with(|| LeavingVm {
            vm: entry.id.clone(),
            rev,
            written_after,
            notice_ends,
        });
        if rev > known.rev {
            known.rev = rev;
            known.written_after = written_after;
        }
    }

    /// Forgets a VM whose announcement was removed; returns it if it has certainly left.
    pub fn remove(&mut self, key: &str, removal: Removal) -> Option<Departure> {
        let last = self.vms.shift_remove(key)?;
        let (now, written_after) = (removal.now, last.written_after?);
        let is_reachable = removal.reachable_since.is_some_and(|since| since <= written_after);
        let max_silence = removal.max_silence();
        // A removal that is older than the last announcement was followed by it.
        let is_latest = last.rev <= removal.read_up_to;
        let is_early = now >= last.notice_ends && now - written_after < max_silence;
        let has_left = is_reachable && is_latest && is_early;
        has_left.then_some(Departure { vm: last.vm, at: now })
    }

    /// Keys of the VMs that are not among the present ones.
    pub fn missing(&self, present: &IndexSet<&str>) -> Vec<String> {
        self.vms.keys().filter(|key| !present.contains(key.as_str())).cloned().collect()
    }

    /// Forgets all VMs.
    pub fn clear(&mut self) {
        self.vms.clear();
    }
}
