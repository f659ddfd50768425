//! Interference mitigation: throttling tasks, changing a VM's health and evicting tasks.
//!
//! A task that resumes from a checkpoint is checkpointed before it is closed. Only tasks that may
//! run again are evicted: a non-idempotent task that has started could only end with an unknown
//! outcome.

use super::table::{Slot, Stage};
use super::{Holder, VmStep};
use crate::core::context::Context;
use crate::core::event::Action;
use crate::core::policy::{Decision, ReliefStep, RunningTask, Subject};
use crate::ids::{CheckpointId, TaskId, VmId};
use crate::model::{Idempotency, Resumption, Urgency};
use crate::peer::CloseReason;
use crate::task::TaskSpec;
use crate::worker::{self, AttemptReq, TaskAttempt, TenantKind, ThrottleReq, UsageReport};
use std::time::Duration;

impl Holder {
    /// Passes a usage report to the policy and applies the mitigations it decides on.
    pub(super) fn handle_report(
        &mut self,
        cx: &mut Context,
        vm_id: &VmId,
        report: Option<&UsageReport>,
    ) {
        if let Some(report) = report {
            self.note_progress(vm_id, report);
            cx.policy.handle_report(vm_id, report, cx.now);
        }
        if self.vms.get(vm_id).is_some_and(|vm| vm.leaving) {
            return self.evacuate(cx, vm_id);
        }
        let running_tasks = self.running_tasks(cx, vm_id);
        for decision in cx.policy.decide_relief(vm_id, &running_tasks, cx.now) {
            self.apply_relief(cx, decision);
        }
    }

    /// Applies a mitigation that the policy decided on.
    pub fn apply_relief(&mut self, cx: &mut Context, decision: Decision<ReliefStep>) {
        cx.act(Action::Explain(decision.record));
        match decision.choice {
            ReliefStep::Throttle { vm, task, share } => self.throttle(cx, &vm, task, share),
            ReliefStep::Health { vm, health } => {
                if let Some(held) = self.vms.get_mut(&vm) {
                    held.health = health;
                    self.views_changed = true;
                }
            }
            ReliefStep::Evict { vm, task, attempt } => {
                self.evict(cx, &vm, TaskAttempt { task, attempt }, CloseReason::Evicted);
            }
        }
    }

    /// Evicts tasks that can resume from a checkpoint from a leaving VM; others keep running there.
    fn evacuate(&mut self, cx: &mut Context, vm_id: &VmId) {
        for running_task in self.running_tasks(cx, vm_id) {
            if running_task.spec.resumption == Resumption::Checkpoint
                && is_movable(&running_task.spec)
            {
                let id = TaskAttempt { task: running_task.task, attempt: running_task.attempt };
                self.evict(cx, vm_id, id, CloseReason::Leaving);
            }
        }
    }

    fn throttle(&mut self, cx: &mut Context, vm_id: &VmId, task: TaskId, share: f64) {
        let Some(lease) = self.vms.get(vm_id).and_then(|vm| vm.active_lease(cx.now)) else {
            return;
        };
        let req = ThrottleReq { token: lease.token, task, share };
        cx.act(Action::Throttle { vm: vm_id.clone(), req, valid_until: lease.valid_until });
    }

    /// Closes an attempt, after a checkpoint if it can resume from one.
    pub(super) fn evict(
        &mut self,
        cx: &mut Context,
        vm_id: &VmId,
        attempt: TaskAttempt,
        why: CloseReason,
    ) {
        let now = cx.now;
        let Some(lease) = self.vms.get(vm_id).and_then(|vm| vm.active_lease(now)) else { return };
        let Some(slot) = self.slot_mut(vm_id, &attempt).filter(|slot| slot.stage == Stage::Running)
        else {
            cx.counters.stale += 1;
            return;
        };
        let movable = slot.spec.as_ref().is_some_and(is_movable);
        if !movable {
            return cx.explain(Subject::Task(attempt.task), "not moved: it can't run again");
        }
        cx.counters.evictions += 1;
        if slot.spec.as_ref().is_some_and(|spec| spec.resumption != Resumption::Checkpoint) {
            return self.close(cx, vm_id, attempt, why);
        }
        slot.set_stage(Stage::Checkpointing { why }, now);
        let req = AttemptReq { token: lease.token, task: attempt.task, attempt: attempt.attempt };
        cx.act(Action::Checkpoint { vm: vm_id.clone(), req, valid_until: lease.valid_until });
    }

    /// Handles the response to a checkpoint.
    pub fn checkpoint_answered(
        &mut self,
        cx: &mut Context,
        vm_id: &VmId,
        attempt: TaskAttempt,
        result: worker::Result<CheckpointId>,
    ) {
        let now = cx.now;
        let Some(slot) = self.slot_mut(vm_id, &attempt) else { return };
        let Stage::Checkpointing { why } = slot.stage else {
            cx.counters.stale += 1;
            return;
        };
        match result {
            Ok(_) => {
                slot.checkpoint_at = Some(now);
                self.close(cx, vm_id, attempt, why);
            }
            // A leaving VM ends the task anyway; otherwise an eviction would discard the work done.
            Err(_) if why == CloseReason::Leaving => self.close(cx, vm_id, attempt, why),
            Err(e) => {
                slot.set_stage(Stage::Running, now);
                cx.explain(Subject::Task(attempt.task), format!("not moved: no checkpoint ({e})"));
            }
        }
    }

    fn note_progress(&mut self, vm_id: &VmId, report: &UsageReport) {
        let Some(table) = self.vms.get_mut(vm_id).and_then(|vm| vm.table.as_mut()) else { return };
        for usage in &report.tenants {
            for (_, slot) in table.iter_mut().filter(|(id, _)| id.task == usage.task) {
                slot.progress = usage.progress;
            }
        }
    }

    /// Batch tasks running on a held VM.
    pub fn running_tasks(&self, cx: &Context, vm_id: &VmId) -> Vec<RunningTask> {
        let table = self.vms.get(vm_id).filter(|vm| vm.step == VmStep::Held);
        let Some(table) = table.and_then(|vm| vm.table.as_ref()) else { return Vec::new() };
        table
            .iter()
            .filter(|(_, slot)| slot.kind == TenantKind::Batch && slot.stage == Stage::Running)
            .map(|(id, slot)| running_task(cx, id, slot))
            .collect()
    }

    /// VMs whose control lease is held.
    pub fn held(&self) -> impl Iterator<Item = &VmId> {
        self.vms.iter().filter(|(_, vm)| vm.step == VmStep::Held).map(|(id, _)| id)
    }
}

fn is_movable(spec: &TaskSpec) -> bool {
    spec.idempotency == Idempotency::Idempotent && spec.resumption != Resumption::Never
}

fn running_task(cx: &Context, id: &TaskAttempt, slot: &Slot) -> RunningTask {
    let mut spec = slot.spec.clone().unwrap_or_else(|| fallback_spec(cx, slot));
    if !is_movable(&spec) {
        spec.resumption = Resumption::Never;
    }
    RunningTask {
        task: id.task,
        attempt: id.attempt,
        spec,
        since: slot.started,
        checkpoint_at: slot.checkpoint_at,
        progress: slot.progress,
    }
}

/// Spec of an attempt found on a VM whose writer hasn't sent its spec yet; it is not movable.
fn fallback_spec(cx: &Context, slot: &Slot) -> TaskSpec {
    let class = cx.config.batch.get(&slot.class);
    TaskSpec {
        class: slot.class.clone(),
        team: class.map_or_else(|| "".into(), |class| class.team.clone()),
        pool: class.map_or_else(|| "".into(), |class| class.pool.clone()),
        resources: slot.resources,
        expected: class.map_or(Duration::ZERO, |class| class.expected),
        idempotency: Idempotency::NonIdempotent,
        resumption: Resumption::Never,
        urgency: class.map_or(Urgency::Normal, |class| class.urgency),
        max_failures: 0,
        payload: String::new(),
    }
}
