//! Recognition of VMs that have left after announcing it.
//!
//! The store removes a VM's announcement when the VM has left. It also removes it after several
//! missed announcements, and then the VM may be alive and keep its tasks running. A VM has certainly
//! left if it announced that it leaves, its notice is over, and its last announcement was removed
//! sooner than its silence alone would explain.
//!
//! Times come from [`RevisionTimes`], by the revision of an announcement. They hold whenever and by
//! whatever call the announcement was read. Each announcement gives an earliest end of the notice;
//! the latest of these counts. Nothing is proved if the age of the last announcement is unknown.

#[cfg(test)]
mod tests;

use crate::ids::VmId;
use crate::kv::Rev;
use crate::note::{Millis, Note, StaticText};
use crate::revisions::RevisionTimes;
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
    /// The earliest end of its notice; `None` if unknown.
    notice_ends: Option<Duration>,
}

/// Conditions under which an announcement was found to be removed.
#[derive(Clone, Copy, Debug)]
pub struct Removal {
    pub now: Duration,
    /// Revision of the deletion, or the oldest one of a read without the announcement.
    pub rev: Rev,
    /// Revision by which it was removed.
    pub removed_by: Rev,
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

/// What the removal of a leaving VM's announcement tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    pub vm: VmId,
    pub proof: Proof,
    /// When the removal was found.
    pub at: Duration,
    /// Longest time for which the VM may have been silent; `None` if unknown.
    pub silence: Option<Duration>,
    /// Silence below which the VM must have left.
    pub max_silence: Duration,
    /// Time that was left of the notice.
    pub notice_left: Duration,
    /// Time for which the store has been reachable.
    pub reachable: Duration,
}

/// Whether a VM has certainly left, or why that isn't proved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    Departed,
    /// It isn't known when the VM last announced itself.
    UnknownAge,
    /// The store was unreachable after the last announcement.
    StoreUnreachable,
    /// The VM's silence may be the reason for the removal.
    Silent,
    /// The VM is to stay for longer.
    NoticeNotOver,
}

impl Proof {
    /// Description in log lines.
    pub fn name(self) -> StaticText {
        match self {
            Self::Departed => "proved",
            Self::UnknownAge => "the age of its last announcement is unknown",
            Self::StoreUnreachable => "the store was unreachable after its last announcement",
            Self::Silent => "it may have been silent for too long",
            Self::NoticeNotOver => "its notice was not over",
        }
    }
}

impl Finding {
    /// Log entry; `found_in` is what told of the removal.
    pub fn note(&self, found_in: StaticText) -> Note {
        Note::DepartureJudged {
            vm: self.vm.clone(),
            found_in,
            outcome: self.proof.name(),
            silent_ms: Millis(self.silence.unwrap_or_default()),
            max_silent_ms: Millis(self.max_silence),
            notice_left_ms: Millis(self.notice_left),
            reachable_ms: Millis(self.reachable),
        }
    }

    /// The departure, if it is proved.
    pub fn departure(&self) -> Option<Departure> {
        let departure = || Departure { vm: self.vm.clone(), at: self.at };
        (self.proof == Proof::Departed).then(departure)
    }
}

impl LeavingVm {
    /// Judges the removal of the last announcement.
    fn judge(self, removal: Removal, times: &RevisionTimes) -> Finding {
        let now = removal.now;
        let removed_before = times.written_before(removal.removed_by).map_or(now, |at| at.min(now));
        let written_after = self.written_after.max(times.written_after(self.rev));
        let silence = written_after.map(|at| removed_before.saturating_sub(at));
        let max_silence = removal.max_silence();
        let notice_left = self.notice_ends.unwrap_or_default().saturating_sub(removed_before);
        let proof = match written_after.zip(silence) {
            None => Proof::UnknownAge,
            Some((at, _)) if removal.reachable_since.is_none_or(|since| since > at) => {
                Proof::StoreUnreachable
            }
            Some((_, silence)) if silence >= max_silence => Proof::Silent,
            Some(_) if !notice_left.is_zero() => Proof::NoticeNotOver,
            Some(_) => Proof::Departed,
        };
        let reachable = removal.reachable_since.map_or(Duration::ZERO, |at| now.saturating_sub(at));
        Finding { vm: self.vm, proof, at: now, silence, max_silence, notice_left, reachable }
    }
}

impl LeavingVms {
    /// Records an announcement. One that is older than the last one has no effect.
    pub fn record(&mut self, key: &str, rev: Rev, entry: &VmEntry, times: &RevisionTimes) {
        if self.vms.get(key).is_some_and(|known| known.rev > rev) {
            return;
        }
        let VmState::Leaving { left: Some(left) } = entry.state else {
            self.vms.shift_remove(key);
            return;
        };
        // The notice of another instance under the same key is not that of this one.
        let known = self.vms.shift_remove(key).filter(|known| known.vm == entry.id);
        let mut written_after = times.written_after(rev);
        let mut notice_ends = written_after.map(|at| at.saturating_add(left));
        if let Some(known) = known {
            notice_ends = notice_ends.max(known.notice_ends);
            if known.rev == rev {
                written_after = written_after.max(known.written_after);
            }
        }
        let vm = LeavingVm { vm: entry.id.clone(), rev, written_after, notice_ends };
        self.vms.insert(key.to_owned(), vm);
    }

    /// Forgets a VM whose announcement was removed, and judges whether it has left.
    pub fn remove(
        &mut self,
        key: &str,
        removal: Removal,
        times: &RevisionTimes,
    ) -> Option<Finding> {
        // A removal that is older than the last announcement was followed by it.
        self.vms.get(key).filter(|last| last.rev < removal.rev)?;
        let last = self.vms.shift_remove(key)?;
        Some(last.judge(removal, times))
    }

    /// Keys of the VMs that are not among the present ones.
    pub fn missing(&self, present: &IndexSet<&str>) -> Vec<String> {
        self.vms.keys().filter(|key| !present.contains(key.as_str())).cloned().collect()
    }
}
