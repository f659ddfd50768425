//! Attempts on held VMs: room, start, close, end, and what the writers are told of them.

use super::Holder;
use super::table::{Changes, Slot, Stage, id};
use crate::core::context::Context;
use crate::core::event::Action;
use crate::core::policy::Subject;
use crate::ids::{Attempt, BootId, CheckpointId, DaemonId, TaskId, VmId};
use crate::peer::{CloseReason, Decline, PeerMsg, VmHealth};
use crate::task::{Outcome, TaskSpec};
use crate::worker::{self, AttemptReq, Closed, StartReq, TaskAttempt};

/// A start as the writer asks for it.
#[derive(Debug)]
pub struct StartAsked {
    pub vm: VmId,
    pub boot: BootId,
    pub task: TaskId,
    pub attempt: Attempt,
    pub spec: TaskSpec,
    pub resume: Option<CheckpointId>,
}

impl Holder {
    /// Keeps room for an attempt, or declines.
    pub fn reserve(
        &mut self,
        cx: &mut Context,
        from: &DaemonId,
        vm_id: &VmId,
        wanted: TaskAttempt,
        spec: &TaskSpec,
    ) -> Result<BootId, Decline> {
        let (task, attempt) = (wanted.task, wanted.attempt);
        let kept = self.keep_room(cx, vm_id, wanted, spec);
        let answer = match kept {
            Ok(boot) => PeerMsg::Reserved { vm: vm_id.clone(), boot, task, attempt },
            Err(reason) => PeerMsg::Declined { vm: vm_id.clone(), task, attempt, reason },
        };
        cx.send(from, answer);
        kept
    }

    fn keep_room(
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
                Stage::Reserved { until: kept } => {
                    *kept = until;
                    Ok(slot.boot)
                }
                _ => Err(Decline::NoRoom),
            };
        }
        table.retain(|other, slot| {
            other.task != wanted.task || !matches!(slot.stage, Stage::Reserved { .. })
        });
        if table.live(wanted.task).is_some() || !table.has_room_for(&spec.resources) {
            return Err(Decline::NoRoom);
        }
        let boot = table.boot;
        table.insert(wanted, Slot::reserved(spec, boot, until, cx.now));
        self.views_changed = true;
        Ok(boot)
    }

    /// Starts an attempt whose binding is durable.
    ///
    /// Everything is checked again: the lease may have been lost and taken again, the room given
    /// to others and the VM restarted since the room was kept.
    pub fn start(&mut self, cx: &mut Context, from: &DaemonId, asked: StartAsked) {
        let wanted = id(asked.task, asked.attempt);
        let Some(vm) = self.vms.get_mut(&asked.vm) else { return declined(cx, from, &asked) };
        let leaving = vm.health() == VmHealth::Leaving;
        let Some(table) = vm.open_table(cx.now) else { return declined(cx, from, &asked) };
        let known = table.get_mut(&wanted).map(|slot| {
            slot.writer = Some(from.clone());
            slot.spec.get_or_insert_with(|| asked.spec.clone());
            slot.stage.clone()
        });
        let kept = match known {
            Some(Stage::Reserved { .. }) => Resources::Kept,
            None => Resources::Wanted,
            Some(_) => return self.tell(cx, &asked.vm, wanted),
        };
        let room = match kept {
            Resources::Kept => table.has_room_for(&crate::units::Resources::ZERO),
            Resources::Wanted => table.has_room_for(&asked.spec.resources),
        };
        let boot = table.boot;
        let mut slot = Slot::reserved(&asked.spec, asked.boot, cx.now, cx.now);
        slot.writer = Some(from.clone());
        slot.stage = Stage::Starting;
        table.insert(wanted, slot);
        self.views_changed = true;
        // Bound to an incarnation that is gone: it may have run there, so a start here could be
        // the second one. The close proves that it doesn't run now.
        if boot != asked.boot {
            self.close(cx, &asked.vm, wanted, CloseReason::Lost);
        } else if !room || leaving {
            self.close(cx, &asked.vm, wanted, CloseReason::NotStarted);
        } else {
            self.send_start(cx, asked);
        }
    }

    fn send_start(&mut self, cx: &mut Context, asked: StartAsked) {
        let Some(grip) = self.vms.get(&asked.vm).and_then(|vm| vm.grip(cx.now)) else { return };
        let req = StartReq {
            token: grip.token,
            task: asked.task,
            attempt: asked.attempt,
            class: asked.spec.class,
            resources: asked.spec.resources,
            payload: asked.spec.payload,
            resume: asked.resume,
        };
        cx.counters.starts += 1;
        cx.act(Action::Start { vm: asked.vm, req, valid_until: grip.valid_until });
    }

    /// Takes note of an answer to a start.
    pub fn start_answered(
        &mut self,
        cx: &mut Context,
        vm_id: &VmId,
        attempt: TaskAttempt,
        result: worker::Result<()>,
    ) {
        let now = cx.now;
        let slot = self.slot(vm_id, &attempt).filter(|slot| slot.stage == Stage::Starting);
        let Some(slot) = slot else {
            cx.counters.stale += 1;
            return;
        };
        match result {
            Ok(()) => {
                slot.enter(Stage::Running, now);
                slot.started = now;
                self.tell(cx, vm_id, attempt);
            }
            Err(worker::Error::NoAnswer { .. }) => slot.enter(Stage::Doubtful, now),
            Err(worker::Error::Refused { reason }) => {
                let class = slot.class.clone();
                let outcome = Outcome::Failed { reason };
                cx.policy.ended(vm_id, &class, &outcome, now);
                self.close(cx, vm_id, attempt, CloseReason::NotStarted);
            }
            Err(worker::Error::Fenced { .. } | worker::Error::Held { .. }) => {
                slot.enter(Stage::Doubtful, now);
                self.lose(cx, vm_id, "another daemon took it");
            }
        }
    }

    /// Closes an attempt for its writer.
    pub fn close_asked(
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
            Stage::Closed { .. } | Stage::Ended { .. } => self.tell(cx, vm_id, wanted),
            Stage::Closing { .. } => {}
            Stage::Recorded
            | Stage::Reserved { .. }
            | Stage::Starting
            | Stage::Doubtful
            | Stage::Running
            | Stage::Checkpointing { .. } => self.close(cx, vm_id, wanted, why),
        }
    }

    /// Asks the VM for the attempt's end and for proof of it.
    pub(super) fn close(
        &mut self,
        cx: &mut Context,
        vm_id: &VmId,
        attempt: TaskAttempt,
        why: CloseReason,
    ) {
        let now = cx.now;
        let retry = cx.cfg.limits.retry_period;
        let Some(grip) = self.vms.get(vm_id).and_then(|vm| vm.grip(now)) else { return };
        let Some(slot) = self.slot(vm_id, &attempt) else { return };
        slot.enter(Stage::Closing { why }, now);
        slot.repeat_at = now + retry;
        let req = AttemptReq { token: grip.token, task: attempt.task, attempt: attempt.attempt };
        cx.counters.closes += 1;
        cx.act(Action::Close { vm: vm_id.clone(), req, valid_until: grip.valid_until });
    }

    /// Takes note of an answer to a close.
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
                // An incarnation answers for itself only; the one before may have run the attempt.
                proof.started |= slot.boot != boot;
                let Stage::Closing { why } = slot.stage else { return };
                if let Some(outcome) = &proof.ended {
                    cx.policy.ended(vm_id, &slot.class, outcome, now);
                }
                slot.enter(Stage::Closed { proof, why }, now);
                self.views_changed = true;
                self.tell(cx, vm_id, attempt);
            }
            Err(worker::Error::Fenced { .. } | worker::Error::Held { .. }) => {
                self.lose(cx, vm_id, "another daemon took it");
            }
            Err(_) => {}
        }
    }

    /// The writer has the end on record.
    pub fn end_recorded(&mut self, cx: &mut Context, vm_id: &VmId, attempt: TaskAttempt) {
        let now = cx.now;
        self.outbox.acknowledge(vm_id, attempt);
        let Some(slot) = self.slot(vm_id, &attempt) else { return };
        match slot.stage {
            // The VM may also list the end of an attempt that was closed; it can forget both.
            Stage::Ended { .. } | Stage::Closed { .. } => slot.enter(Stage::Recorded, now),
            _ => cx.counters.stale += 1,
        }
    }

    pub(super) fn report_changes(&mut self, cx: &mut Context, vm_id: &VmId, changes: &Changes) {
        for attempt in &changes.started {
            self.tell(cx, vm_id, *attempt);
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
            if let Some(slot) = self.slot(vm_id, attempt)
                && let Stage::Ended { outcome } = &slot.stage
            {
                cx.policy.ended(vm_id, &slot.class, outcome, now);
            }
            self.tell(cx, vm_id, *attempt);
        }
    }

    /// Tells the writer how far an attempt is; repeated for what it has to acknowledge.
    pub(super) fn tell(&mut self, cx: &mut Context, vm_id: &VmId, attempt: TaskAttempt) {
        let repeat_at = cx.now + cx.cfg.limits.retry_period;
        let Some(slot) = self.slot(vm_id, &attempt) else { return };
        let Some(msg) = slot.report(vm_id, &attempt) else { return };
        slot.repeat_at = repeat_at;
        let to =
            slot.writer.take().or_else(|| cx.members.writer_of(attempt.task.partition).cloned());
        if let Some(to) = to {
            cx.send(&to, msg);
        }
    }

    /// Repeats what went unanswered, and drops reservations that nobody came for.
    pub(super) fn repeat(&mut self, cx: &mut Context, vm_id: &VmId) {
        let now = cx.now;
        let patience = cx.cfg.lease_ttl;
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
            if slot.stage == Stage::Starting && slot.since + patience <= now {
                slot.enter(Stage::Doubtful, now);
            }
            if slot.repeat_at <= now {
                due.push((*attempt, slot.stage.clone()));
            }
        }
        self.views_changed |= dropped;
        for (attempt, stage) in due {
            match stage {
                Stage::Closing { why } => self.close(cx, vm_id, attempt, why),
                Stage::Closed { .. } | Stage::Ended { .. } => self.tell(cx, vm_id, attempt),
                _ => {}
            }
        }
    }

    pub(super) fn slot(&mut self, vm_id: &VmId, attempt: &TaskAttempt) -> Option<&mut Slot> {
        self.vms.get_mut(vm_id)?.table.as_mut()?.get_mut(attempt)
    }
}

#[derive(Clone, Copy)]
enum Resources {
    Kept,
    Wanted,
}

fn declined(cx: &mut Context, from: &DaemonId, asked: &StartAsked) {
    let (vm, reason) = (asked.vm.clone(), Decline::NotHeld);
    let (task, attempt) = (asked.task, asked.attempt);
    cx.send(from, PeerMsg::Declined { vm, task, attempt, reason });
}
