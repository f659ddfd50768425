//! Reports of ended or closed attempts that are kept after the VM's control lease is lost.
//!
//! A report that an attempt ended or no longer runs remains true when another daemon takes the VM.
//! If it were dropped with the lease and the VM restarted before it reported to the next holder, an
//! attempt that had ended would be considered lost and run again.

use crate::core::context::Context;
use crate::ids::VmId;
use crate::peer::PeerMsg;
use crate::worker::TaskAttempt;
use indexmap::IndexMap;
use std::time::Duration;

/// Maximum number of reports; the oldest are dropped, as VMs repeat them to their next holder.
const MAX_REPORTS: usize = 4_096;

/// Reports that their writers have not acknowledged.
#[derive(Debug, Default)]
pub struct Outbox {
    reports: IndexMap<Key, PeerMsg>,
    retry_at: Duration,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Key {
    vm: VmId,
    attempt: TaskAttempt,
}

impl Outbox {
    /// Keeps a report until it is acknowledged.
    pub fn insert(&mut self, vm: &VmId, attempt: TaskAttempt, msg: PeerMsg) {
        if self.reports.len() >= MAX_REPORTS {
            self.reports.shift_remove_index(0);
        }
        self.reports.insert(Key { vm: vm.clone(), attempt }, msg);
    }

    /// Removes a report that the writer has made durable.
    pub fn acknowledge(&mut self, vm: &VmId, attempt: TaskAttempt) {
        self.reports.swap_remove(&Key { vm: vm.clone(), attempt });
    }

    /// Resends all reports if the retry period has passed.
    pub fn resend_due(&mut self, cx: &mut Context) {
        if cx.now < self.retry_at {
            return;
        }
        self.retry_at = cx.now + cx.cfg.limits.retry_period;
        for (key, msg) in &self.reports {
            if let Some(to) = cx.members.preferred_writer(key.attempt.task.partition).cloned() {
                cx.send(&to, msg.clone());
            }
        }
    }
}
