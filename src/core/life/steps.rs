//! Task placement, and the handling of holders' responses.
//!
//! A message about an attempt takes effect only if it concerns the task's current attempt on its
//! current VM; anything older has been superseded by a durable record.

use super::fleet::Fleet;
use super::log::{Ack, Pending};
use super::partition::Partition;
use super::task::{Step, Task, TaskEvent};
use super::waiting::Shape;
use crate::core::context::{Context, Draining};
use crate::core::event::Action;
use crate::core::policy::{Candidate, PlacementDecision, Subject};
use crate::ids::{Attempt, BootId, CheckpointId, DaemonId, TaskId, VmId};
use crate::model::{Idempotency, Urgency};
use crate::peer::{CloseReason, Decline, PeerMsg};
use crate::task::{Change, Outcome, Phase, Record};
use crate::worker::TaskAttempt;
use std::time::Duration;

/// Maximum time for which tasks aren't reconsidered after the policy decided to wait.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// The attempt that a holder's message concerns, and the sender.
#[derive(Clone, Debug)]
pub struct AttemptReport {
    pub from: DaemonId,
    pub vm: VmId,
    pub task: TaskId,
    pub attempt: Attempt,
}

/// Proof that an attempt doesn't run and won't run.
#[derive(Clone, Debug)]
pub struct Proof {
    pub ended: Option<Outcome>,
    pub checkpoint: Option<CheckpointId>,
    /// Whether it may have started.
    pub started: bool,
    pub why: CloseReason,
}

/// Relation of a holder's message to the task's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReportStatus {
    /// The task's current attempt, durably bound.
    Current,
    /// An attempt settled by a durable record.
    Settled,
    /// An attempt whose next record isn't durable yet.
    Settling,
    /// An attempt or task later than any in this daemon's state: another daemon has written it.
    Ahead,
}

impl AttemptReport {
    /// The attempt that the message concerns.
    pub fn id(&self) -> TaskAttempt {
        TaskAttempt { task: self.task, attempt: self.attempt }
    }
}

impl Partition {
    /// Places waiting tasks within the budget; returns urgent ones that couldn't be placed.
    pub fn place(
        &mut self,
        cx: &mut Context,
        fleet: &mut Fleet,
        budget: &mut usize,
    ) -> Vec<Candidate> {
        let mut unplaced = Vec::new();
        if cx.draining == Draining::Yes || self.log.unavailable_reason(cx).is_some() {
            return unplaced;
        }
        for shape in self.shapes_by_rank(cx) {
            while let Some(number) = self.waiting.first(&shape) {
                if *budget == 0 {
                    return unplaced;
                }
                *budget -= 1;
                if let Placed::No(candidate) = self.place_one(cx, fleet, number, &shape) {
                    unplaced.extend(Some(candidate).filter(|c| c.spec.urgency == Urgency::Urgent));
                    break;
                }
            }
        }
        unplaced
    }

    /// Unblocked shapes, ordered by the priority of their first tasks.
    fn shapes_by_rank(&self, cx: &Context) -> Vec<Shape> {
        let mut shapes = self.waiting.unblocked(cx.now);
        shapes.sort_by_cached_key(|shape| {
            let first = self.waiting.first(shape).and_then(|number| self.tasks.get(&number));
            first.map(|task| cx.policy.priority(&candidate(task, cx.now)))
        });
        shapes
    }

    fn place_one(
        &mut self,
        cx: &mut Context,
        fleet: &mut Fleet,
        number: u64,
        shape: &Shape,
    ) -> Placed {
        let Some(task) = self.tasks.get(&number) else { return Placed::Dequeued };
        let wanted = candidate(task, cx.now);
        let decision = cx.policy.place(&wanted, cx.now);
        match decision.choice {
            PlacementDecision::Place { vm } => {
                cx.act(Action::Explain(decision.record));
                self.request_reservation(cx, fleet, number, vm);
                Placed::Dequeued
            }
            // Another task of the shape may be placed on a VM that this one avoids.
            PlacementDecision::Wait { .. } if !wanted.avoid.is_empty() => {
                self.defer(number, cx.now + RETRY_DELAY);
                Placed::Dequeued
            }
            PlacementDecision::Wait { reason } | PlacementDecision::Never { reason, .. } => {
                if self.waiting.block(shape, cx.now + RETRY_DELAY, &reason) {
                    cx.act(Action::Explain(decision.record));
                }
                Placed::No(wanted)
            }
        }
    }

    fn request_reservation(&mut self, cx: &mut Context, fleet: &mut Fleet, number: u64, vm: VmId) {
        let Some(task) = self.fire(cx, number, TaskEvent::Chosen) else { return };
        task.vm = Some(vm.clone());
        let (id, attempt, spec) = (task.state.id, task.attempt(), task.state.spec.clone());
        self.waiting.remove(&spec, number);
        self.set_deadline(number, Some(cx.now + cx.cfg.limits.retry_period));
        fleet.reservation_requested(cx, &vm, TaskAttempt { task: id, attempt }, spec.resources);
        if let Some(to) = fleet.holder(&vm).cloned() {
            cx.send(&to, PeerMsg::Reserve { vm, task: id, attempt, spec });
        }
    }

    /// Handles a granted reservation: the binding is made durable before a start is sent.
    pub fn reserved(&mut self, cx: &mut Context, report: &AttemptReport, boot: BootId) {
        let number = report.task.number;
        if !self.is_reserving(report) {
            cx.counters.stale += 1;
            return;
        }
        if self.fire(cx, number, TaskEvent::Reserved).is_none() {
            return;
        }
        self.set_deadline(number, None);
        let change = Change::Bound { vm: report.vm.clone(), boot, attempt: report.attempt };
        self.log.push(Pending::new(Record { task: report.task, change }));
    }

    /// Handles a declined reservation.
    pub fn declined(&mut self, cx: &mut Context, report: &AttemptReport, reason: Decline) {
        if self.is_reserving(report) {
            cx.explain(Subject::Task(report.task), format!("{} declined: {reason:?}", report.vm));
            return self.abandon_reservation(cx, report.task.number);
        }
        cx.counters.stale += 1;
    }

    fn is_reserving(&self, report: &AttemptReport) -> bool {
        self.tasks.get(&report.task.number).is_some_and(|task| {
            task.step == Step::Reserving
                && task.vm.as_ref() == Some(&report.vm)
                && task.attempt() == report.attempt
        })
    }

    /// Handles the report that an attempt is running.
    pub fn started(&mut self, cx: &mut Context, report: &AttemptReport) {
        let step = self.tasks.get(&report.task.number).map(|task| task.step);
        if self.report_status(report) != ReportStatus::Current || step != Some(Step::Starting) {
            cx.counters.stale += 1;
            return;
        }
        self.set_deadline(report.task.number, None);
        self.fire(cx, report.task.number, TaskEvent::Started);
    }

    /// Handles the report that an attempt ended by itself.
    pub fn ended(&mut self, cx: &mut Context, report: &AttemptReport, outcome: Outcome) {
        match self.report_status(report) {
            ReportStatus::Current => self.settle_end(cx, report, outcome, None),
            ReportStatus::Settled => acknowledge(cx, report),
            ReportStatus::Settling => cx.counters.stale += 1,
            ReportStatus::Ahead => self.mark_suspect(),
        }
    }

    /// Handles the proof that an attempt doesn't run and won't run.
    pub fn closed(&mut self, cx: &mut Context, report: &AttemptReport, proof: Proof) {
        match self.report_status(report) {
            ReportStatus::Current => self.settle_close(cx, report, proof),
            ReportStatus::Settled => acknowledge(cx, report),
            ReportStatus::Settling => cx.counters.stale += 1,
            ReportStatus::Ahead => self.mark_suspect(),
        }
    }

    fn settle_close(&mut self, cx: &mut Context, report: &AttemptReport, proof: Proof) {
        if let Some(outcome) = proof.ended {
            return self.settle_end(cx, report, outcome, proof.checkpoint);
        }
        let Some(task) = self.tasks.get(&report.task.number) else { return };
        let non_idempotent = task.state.spec.idempotency == Idempotency::NonIdempotent;
        if task.cancel_asked {
            return self.end(cx, report, Outcome::Cancelled);
        }
        if non_idempotent && proof.started {
            let reason =
                format!("it may have run on {} ({:?}); not run again", report.vm, proof.why);
            return self.end(cx, report, Outcome::Unknown { reason });
        }
        self.release(cx, report, proof.checkpoint, Failure::No, proof.why);
    }

    fn settle_end(
        &mut self,
        cx: &mut Context,
        report: &AttemptReport,
        outcome: Outcome,
        checkpoint: Option<CheckpointId>,
    ) {
        let Some(task) = self.tasks.get(&report.task.number) else { return };
        let retryable = is_retryable(task);
        match outcome {
            Outcome::Failed { .. } | Outcome::Unknown { .. } if retryable => {
                self.release(cx, report, checkpoint, Failure::Yes, CloseReason::Lost);
            }
            Outcome::Cancelled if !task.cancel_asked => {
                let reason = "stopped on the VM without a cancellation".to_owned();
                self.settle_end(cx, report, Outcome::Failed { reason }, checkpoint);
            }
            outcome => self.end(cx, report, outcome),
        }
    }

    fn end(&mut self, cx: &mut Context, report: &AttemptReport, outcome: Outcome) {
        if self.fire(cx, report.task.number, TaskEvent::EndReported).is_none() {
            return;
        }
        cx.explain(Subject::Task(report.task), format!("ended on {}: {outcome:?}", report.vm));
        let change = Change::Ended { attempt: report.attempt, outcome };
        self.settle(report, change);
    }

    fn release(
        &mut self,
        cx: &mut Context,
        report: &AttemptReport,
        checkpoint: Option<CheckpointId>,
        failure: Failure,
        why: CloseReason,
    ) {
        let Some(task) = self.fire(cx, report.task.number, TaskEvent::Closed) else { return };
        task.avoid(report.vm.clone(), cx.now);
        cx.explain(
            Subject::Task(report.task),
            format!("released from {} ({why:?}), to run again elsewhere", report.vm),
        );
        let failed = failure == Failure::Yes;
        let change = Change::Released { attempt: report.attempt, checkpoint, failed };
        self.settle(report, change);
    }

    fn settle(&mut self, report: &AttemptReport, change: Change) {
        self.set_deadline(report.task.number, None);
        let ack = Ack { to: report.from.clone(), vm: report.vm.clone(), attempt: report.attempt };
        let record = Record { task: report.task, change };
        self.log.push(Pending::new(record).with_ack(ack));
    }

    fn report_status(&self, report: &AttemptReport) -> ReportStatus {
        let Some(task) = self.tasks.get(&report.task.number) else {
            // An unknown task below `durable_below` ended long ago. A higher number may have been
            // assigned here to a rejected submission while another daemon's task has it.
            // Acknowledging that task's end would make its VM discard an end that isn't recorded,
            // and the task would run again.
            let ended = report.task.number < self.durable_below;
            return if ended { ReportStatus::Settled } else { ReportStatus::Ahead };
        };
        let state = &task.state;
        if report.attempt < state.attempt || state.ended() {
            return ReportStatus::Settled;
        }
        if report.attempt > state.attempt {
            return ReportStatus::Ahead;
        }
        match (&state.phase, task.step) {
            (Phase::Waiting, _) => ReportStatus::Settled,
            (Phase::Bound { vm }, Step::Starting | Step::Running | Step::Closing)
                if *vm == report.vm =>
            {
                ReportStatus::Current
            }
            _ => ReportStatus::Settling,
        }
    }
}

/// Outcome of a placement.
enum Placed {
    /// The task is no longer first in its queue.
    Dequeued,
    No(Candidate),
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Failure {
    Yes,
    No,
}

/// Whether the task may be attempted again after a failure.
fn is_retryable(task: &Task) -> bool {
    let state = &task.state;
    state.spec.idempotency == Idempotency::Idempotent
        && !task.cancel_asked
        && state.failures + 1 < state.spec.max_failures
}

fn acknowledge(cx: &mut Context, report: &AttemptReport) {
    let AttemptReport { from, vm, task, attempt } = report;
    cx.counters.stale += 1;
    cx.send(from, PeerMsg::EndedAck { vm: vm.clone(), task: *task, attempt: *attempt });
}

/// The task as the policy's input.
pub(super) fn candidate(task: &Task, now: Duration) -> Candidate {
    Candidate {
        task: task.state.id,
        attempt: task.state.attempt.next(),
        spec: task.state.spec.clone(),
        waited: now.saturating_sub(task.first_seen),
        avoid: task.avoided(now),
    }
}
