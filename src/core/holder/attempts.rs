//! Attempts on held VMs: reservation, start, close and end, and the reports to their writers.

use super::Holder;
use super::table::{Slot, Stage, TableChanges, task_attempt};
use crate::core::context::Context;
use crate::core::event::Action;
use crate::core::policy::Subject;
use crate::ids::{Attempt, BootId, CheckpointId, DaemonId, TaskId, VmId};
use crate::peer::{CloseReason, Decline, PeerMsg, VmHealth};
use crate::task::{Outcome, TaskSpec};
use crate::units::Resources;
use crate::worker::{self, AttemptReq, Closed, StartReq, TaskAttempt};

/// A writer's request to start an attempt.
#[derive(Debug)]
pub struct StartRequest {
    pub vm: VmId,
    pub boot: BootId,
    pub task: TaskId,
    pub attempt: Attempt,
    pub spec: TaskSpec,
    pub resume: Option<CheckpointId>,
}

impl Holder {
    /// Reserves resources for an attempt, or declines.
    pub fn reserve(
        &mut self,
        cx: &mut Context,
        from: &DaemonId,
        vm_id: &VmId,
        wanted: TaskAttempt,
        spec: &TaskSpec,
    ) -> Result<BootId, Decline> {
        let (task, attempt) = (wanted.task, wanted.attempt);
        let reserved = self.reserve_resources(cx, vm_id, wanted, spec);
        let response = match reserved {
            Ok(boot) => PeerMsg::Reserved { vm: vm_id.clone(), boot, task, attempt },
            Err(reason) => PeerMsg::Declined { vm: vm_id.clone(), task, attempt, reason },
        };
        cx.send(from, response);
        reserved
    }

    fn reserve_resources(
        &mut self,
        cx: &mut Context,
        vm_id: &VmId,
        wanted: TaskAttempt,
        spec: &TaskSpec,
    ) -> Result<BootId, Decline> {
        let vm = self.vms.get_mut(vm_id).ok_or(Decline::NotHeld)?;
        let health = vm.health();
        let table = vm.open_table(cx.now).ok_or(Decline::NotHeld)?;
        match health {
            VmHealth::Open => {}
            VmHealth::Quarantined if cx.policy.accepts_probe(vm_id, cx.now) => {}
            VmHealth::Quarantined => return Err(Decline::Quarantined),
            VmHealth::Avoided => return Err(Decline::Avoided),
            VmHealth::Leaving => return Err(Decline::Leaving),
        }
        let until = cx.now + cx.cfg.limits.reservation_ttl;
        if let Some(slot) = table.get_mut(&wanted) {
            return match &mut slot.stage {
                Stage::Reserved { until: expiry } => {
                    *expiry = until;
                    Ok(slot.boot)
                }
                _ => Err(Decline::NoRoom),
            };
        }
        table.retain(|other, slot| {
            other.task != wanted.task || !matches!(slot.stage, Stage::Reserved { .. })
        });
        if table.live(wanted.task).is_some() || !table.can_fit(&spec.resources) {
            return Err(Decline::NoRoom);
        }
        let boot = table.boot;
        table.insert(wanted, Slot::reserved(spec, boot, until, cx.now));
        self.views_changed = true;
        Ok(boot)
    }

    /// Starts an attempt whose binding is durable.
    ///
    /// All preconditions are checked again, because since the reservation the lease may have been
    /// lost and reacquired, the resources given to other attempts or the VM restarted.
    pub fn start(&mut self, cx: &mut Context, from: &DaemonId, request: StartRequest) {
        let wanted = task_attempt(request.task, request.attempt);
        let Some(vm) = self.vms.get_mut(&request.vm) else {
            return decline_start(cx, from, &request);
        };
        let leaving = vm.health() == VmHealth::Leaving;
        let Some(table) = vm.open_table(cx.now) else { return decline_start(cx, from, &request) };
        let known = table.get_mut(&wanted).map(|slot| {
            slot.writer = Some(from.clone());
            slot.spec.get_or_insert_with(|| request.spec.clone());
            slot.stage.clone()
        });
        let reservation = match known {
            Some(Stage::Reserved { .. }) => Reservation::Held,
            None => Reservation::Missing,
            Some(_) => return self.report_stage(cx, &request.vm, wanted),
        };
        let fits = match reservation {
            Reservation::Held => table.can_fit(&Resources::ZERO),
            Reservation::Missing => table.can_fit(&request.spec.resources),
        };
        let boot = table.boot;
        let mut slot = Slot::reserved(&request.spec, request.boot, cx.now, cx.now);
        slot.writer = Some(from.clone());
        slot.stage = Stage::Starting;
        table.insert(wanted, slot);
        self.views_changed = true;
        // The attempt is bound to an earlier incarnation of the VM and may have run there, so a
        // start now could be its second one. The close proves that it isn't running.
        if boot != request.boot {
            self.close(cx, &request.vm, wanted, CloseReason::Lost);
        } else if !fits || leaving {
            self.close(cx, &request.vm, wanted, CloseReason::NotStarted);
        } else {
            self.send_start(cx, request);
        }
    }

    fn send_start(&mut self, cx: &mut Context, request: StartRequest) {
        let Some(lease) = self.vms.get(&request.vm).and_then(|vm| vm.active_lease(cx.now)) else {
            return;
        };
        let req = StartReq {
            token: lease.token,
            task: request.task,
            attempt: request.attempt,
            class: request.spec.class,
            resources: request.spec.resources,
            payload: request.spec.payload,
            resume: request.resume,
        };
        cx.counters.starts += 1;
        cx.act(Action::Start { vm: request.vm, req, valid_until: lease.valid_until });
    }

    /// Handles the response to a start.
    pub fn start_answered(
        &mut self,
        cx: &mut Context,
        vm_id: &VmId,
        attempt: TaskAttempt,
        result: worker::Result<()>,
    ) {
        let now = cx.now;
        let slot = self.slot_mut(vm_id, &attempt).filter(|slot| slot.stage == Stage::Starting);
        let Some(slot) = slot else {
            cx.counters.stale += 1;
            return;
        };
        match result {
            Ok(()) => {
                slot.set_stage(Stage::Running, now);
                slot.started = now;
                self.report_stage(cx, vm_id, attempt);
            }
            Err(worker::Error::NoAnswer { .. }) => slot.set_stage(Stage::Unconfirmed, now),
            Err(worker::Error::Refused { reason }) => {
                let class = slot.class.clone();
                let outcome = Outcome::Failed { reason };
                cx.policy.record_outcome(vm_id, &class, &outcome, now);
                self.close(cx, vm_id, attempt, CloseReason::NotStarted);
            }
            Err(worker::Error::Fenced { .. } | worker::Error::Held { .. }) => {
                slot.set_stage(Stage::Unconfirmed, now);
                self.lose_lease(cx, vm_id, "another daemon took it");
            }
        }
    }

    /// Closes an attempt at its writer's request.
    pub fn close_requested(
        &mut self,
        cx: &mut Context,
        from: &DaemonId,
        vm_id: &VmId,
        boot: BootId,
        wanted: TaskAttempt,
        why: CloseReason,
    ) {
        let now = cx.now;
        let table = self.vms.get_mut(vm_id).and_then(|vm| vm.open_table(now));
        let Some(table) = table else {
            let (task, attempt) = (wanted.task, wanted.attempt);
            let reason = Decline::NotHeld;
            return cx.send(from, PeerMsg::Declined { vm: vm_id.clone(), task, attempt, reason });
        };
        if table.get(&wanted).is_none() {
            table.insert(wanted, Slot::unknown(boot, now));
        }
        let Some(slot) = table.get_mut(&wanted) else { return };
        slot.writer = Some(from.clone());
        match slot.stage {
            Stage::Closed { .. } | Stage::Ended { .. } => self.report_stage(cx, vm_id, wanted),
            Stage::Closing { .. } => {}
            Stage::Acknowledged
            | Stage::Reserved { .. }
            | Stage::Starting
            | Stage::Unconfirmed
            | Stage::Running
            | Stage::Checkpointing { .. } => self.close(cx, vm_id, wanted, why),
        }
    }

    /// Asks the VM to end the attempt and to prove that it doesn't run.
    pub(super) fn close(
        &mut self,
        cx: &mut Context,
        vm_id: &VmId,
        attempt: TaskAttempt,
        why: CloseReason,
    ) {
        let now = cx.now;
        let retry = cx.cfg.limits.retry_period;
        let Some(lease) = self.vms.get(vm_id).and_then(|vm| vm.active_lease(now)) else { return };
        let Some(slot) = self.slot_mut(vm_id, &attempt) else { return };
        slot.set_stage(Stage::Closing { why }, now);
        slot.retry_at = now + retry;
        let req = AttemptReq { token: lease.token, task: attempt.task, attempt: attempt.attempt };
        cx.counters.closes += 1;
        cx.act(Action::Close { vm: vm_id.clone(), req, valid_until: lease.valid_until });
    }

    /// Handles the response to a close.
    pub fn close_answered(
        &mut self,
        cx: &mut Context,
        vm_id: &VmId,
        attempt: TaskAttempt,
        result: worker::Result<Closed>,
    ) {
        let now = cx.now;
        let Some(vm) = self.vms.get_mut(vm_id) else { return };
        let Some(table) = vm.table.as_mut() else { return };
        let boot = table.boot;
        let slot = table.get_mut(&attempt);
        let Some(slot) = slot.filter(|slot| matches!(slot.stage, Stage::Closing { .. })) else {
            cx.counters.stale += 1;
            return;
        };
        match result {
            Ok(mut proof) => {
                // An incarnation answers only for itself; an earlier one may have run the attempt.
                proof.started |= slot.boot != boot;
                let Stage::Closing { why } = slot.stage else { return };
                if let Some(outcome) = &proof.ended {
                    cx.policy.record_outcome(vm_id, &slot.class, outcome, now);
                }
                slot.set_stage(Stage::Closed { proof, why }, now);
                self.views_changed = true;
                self.report_stage(cx, vm_id, attempt);
            }
            Err(worker::Error::Fenced { .. } | worker::Error::Held { .. }) => {
                self.lose_lease(cx, vm_id, "another daemon took it");
            }
            Err(_) => {}
        }
    }

    /// Handles the writer's acknowledgement that the end is durable.
    pub fn end_recorded(&mut self, cx: &mut Context, vm_id: &VmId, attempt: TaskAttempt) {
        let now = cx.now;
        self.outbox.acknowledge(vm_id, attempt);
        let Some(slot) = self.slot_mut(vm_id, &attempt) else { return };
        match slot.stage {
            // The VM may also list the end of an attempt that was closed; it can discard both.
            Stage::Ended { .. } | Stage::Closed { .. } => slot.set_stage(Stage::Acknowledged, now),
            _ => cx.counters.stale += 1,
        }
    }

    pub(super) fn report_changes(
        &mut self,
        cx: &mut Context,
        vm_id: &VmId,
        changes: &TableChanges,
    ) {
        for attempt in &changes.started {
            self.report_stage(cx, vm_id, *attempt);
        }
        for attempt in &changes.lost {
            cx.explain(Subject::Task(attempt.task), format!("the VM {vm_id} no longer has it"));
            self.close(cx, vm_id, *attempt, CloseReason::Lost);
        }
        for attempt in &changes.unstarted {
            self.close(cx, vm_id, *attempt, CloseReason::NotStarted);
        }
        for attempt in &changes.ended {
            let now = cx.now;
            if let Some(slot) = self.slot_mut(vm_id, attempt)
                && let Stage::Ended { outcome } = &slot.stage
            {
                cx.policy.record_outcome(vm_id, &slot.class, outcome, now);
            }
            self.report_stage(cx, vm_id, *attempt);
        }
    }

    /// Reports an attempt's stage to its writer; reports that need an acknowledgement are retried.
    pub(super) fn report_stage(&mut self, cx: &mut Context, vm_id: &VmId, attempt: TaskAttempt) {
        let retry_at = cx.now + cx.cfg.limits.retry_period;
        let Some(slot) = self.slot_mut(vm_id, &attempt) else { return };
        let Some(msg) = slot.report(vm_id, &attempt) else { return };
        slot.retry_at = retry_at;
        let to = slot
            .writer
            .take()
            .or_else(|| cx.members.preferred_writer(attempt.task.partition).cloned());
        if let Some(to) = to {
            cx.send(&to, msg);
        }
    }

    /// Retries unanswered requests and drops expired reservations.
    pub(super) fn retry_unanswered(&mut self, cx: &mut Context, vm_id: &VmId) {
        let now = cx.now;
        let start_timeout = cx.cfg.lease_ttl;
        let Some(table) = self.vms.get_mut(vm_id).and_then(|vm| vm.table.as_mut()) else { return };
        let mut dropped = false;
        table.retain(|_, slot| match slot.stage {
            Stage::Reserved { until } if until <= now => {
                dropped = true;
                false
            }
            _ => true,
        });
        let mut due = Vec::new();
        for (attempt, slot) in table.iter_mut() {
            if slot.stage == Stage::Starting && slot.since + start_timeout <= now {
                slot.set_stage(Stage::Unconfirmed, now);
            }
            if slot.retry_at <= now {
                due.push((*attempt, slot.stage.clone()));
            }
        }
        self.views_changed |= dropped;
        for (attempt, stage) in due {
            match stage {
                Stage::Closing { why } => self.close(cx, vm_id, attempt, why),
                Stage::Closed { .. } | Stage::Ended { .. } => self.report_stage(cx, vm_id, attempt),
                _ => {}
            }
        }
    }

    pub(super) fn slot_mut(&mut self, vm_id: &VmId, attempt: &TaskAttempt) -> Option<&mut Slot> {
        self.vms.get_mut(vm_id)?.table.as_mut()?.get_mut(attempt)
    }
}

/// Whether the resources of an attempt to start are already reserved.
#[derive(Clone, Copy)]
enum Reservation {
    Held,
    Missing,
}

fn decline_start(cx: &mut Context, from: &DaemonId, request: &StartRequest) {
    let (vm, reason) = (request.vm.clone(), Decline::NotHeld);
    let (task, attempt) = (request.task, request.attempt);
    cx.send(from, PeerMsg::Declined { vm, task, attempt, reason });
}
