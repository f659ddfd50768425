//! Keeping a shard's tasks running while its hand-over waits for the store.
//!
//! A hand-over takes as long as the last commit, and nothing is sent to VMs in the meantime. If the
//! store doesn't answer, the leases of all tasks would end, and nobody would stop the runs on
//! leaving VMs. The owner then polls its VMs again until the commit is answered. It leaves the runs
//! that have ended to the next owner, since each of them would need another commit. A VM repeats
//! them until their consequences are durable.

use super::lease::Delivery;
use super::settings::{COMMIT_STALL_TIMEOUT, UNCOMMITTED_POLL_DELAY};
use super::vm_run::{Responsiveness, Vm};
use super::{Shard, Stage};
use crate::ids::VmId;
use crate::vm::PollResp;
use std::time::Duration;

impl Shard {
    /// Returns whether VMs are polled and the runs on them may be stopped.
    pub(super) fn maintains_runs(&self) -> bool {
        self.stage == Stage::Serving || self.is_hand_over_stalled()
    }

    /// Returns whether the shard can't be handed over yet because the store doesn't answer.
    pub(super) fn is_hand_over_stalled(&self) -> bool {
        self.stage == Stage::HandingOver && self.log.age(self.now.steady) > COMMIT_STALL_TIMEOUT
    }

    /// Records that a VM answered a poll sent at `sent`, without applying its lists of runs. Returns
    /// false if the VM was out of contact, and nothing was recorded.
    pub(super) fn note_poll_response(
        &mut self,
        id: &VmId,
        sent: Duration,
        resp: &PollResp,
    ) -> bool {
        let now = self.now.steady;
        let Some(vm) = self.vms.get_mut(id).filter(|vm| is_in_contact(vm)) else { return false };
        vm.end_poll(Delivery::Answered);
        vm.record_answer(sent, now);
        vm.read_clock(resp.clock, now);
        vm.contact.next_poll = now + UNCOMMITTED_POLL_DELAY;
        true
    }
}

/// Whether the VM has answered this owner and isn't silent.
fn is_in_contact(vm: &Vm) -> bool {
    vm.contact.last_successful_poll.is_some()
        && vm.contact.responsiveness == Responsiveness::Responsive
}
