//! Ends and proofs that outlive the control of their VM.
//!
//! That an attempt ended, or runs no more, stays true when another daemon takes the VM. Were it
//! dropped with the lease, and the VM restarted before it told the next holder, an attempt that
//! had ended would be taken as lost and run again.

use crate::core::context::Context;
use crate::ids::VmId;
use crate::peer::PeerMsg;
use crate::worker::TaskAttempt;
use indexmap::IndexMap;
use std::time::Duration;

/// Most reports that are kept; the oldest give way, for the VMs repeat them to the next holder.
const REPORTS_MAX: usize = 4_096;

/// Reports that writers have not acknowledged.
#[derive(Debug, Default)]
pub struct Outbox {
    reports: IndexMap<Key, PeerMsg>,
    repeat_at: Duration,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Key {
    vm: VmId,
    attempt: TaskAttempt,
}

impl Outbox {
    /// Keeps a report until it is acknowledged.
    pub fn put(&mut self, vm: &VmId, attempt: TaskAttempt, msg: PeerMsg) {
        if self.reports.len() >= REPORTS_MAX {
            self.reports.shift_remove_index(0);
        }
        self.reports.insert(Key { vm: vm.clone(), attempt }, msg);
    }

    /// The writer has it on record.
    pub fn acknowledge(&mut self, vm: &VmId, attempt: TaskAttempt) {
        self.reports.swap_remove(&Key { vm: vm.clone(), attempt });
    }

    /// Sends all of them again, if it is time.
    pub fn repeat(&mut self, cx: &mut Context) {
        if cx.now < self.repeat_at {
            return;
        }
        self.repeat_at = cx.now + cx.cfg.limits.retry_period;
        for (key, msg) in &self.reports {
            if let Some(to) = cx.members.writer_of(key.attempt.task.partition).cloned() {
                cx.send(&to, msg.clone());
            }
        }
    }
}
