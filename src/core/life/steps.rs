//! Placing tasks, and what holders answer.
//!
//! A message about an attempt counts only if it is the task's present attempt on its present VM;
//! anything older has been overtaken by a durable record and has no effect.

use super::fleet::Fleet;
use super::log::{Ack, Pending};
use super::partition::Partition;
use super::task::{Step, Task, TaskEvent};
use super::waiting::Shape;
use crate::core::context::{Context, Draining};
use crate::core::event::Action;
use crate::core::policy::{Candidate, Choice, Subject};
use crate::ids::{Attempt, BootId, CheckpointId, DaemonId, TaskId, VmId};
use crate::model::{Idempotency, Urgency};
use crate::peer::{CloseReason, Decline, PeerMsg};
use crate::task::{Change, Outcome, Phase, Record};
use crate::worker::TaskAttempt;
use std::time::Duration;

/// Longest time that tasks of a shape aren't looked at after the policy said to wait.
const ASK_AGAIN: Duration = Duration::from_secs(1);

/// An attempt that a message is about, and who sent it.
#[derive(Clone, Debug)]
pub struct About {
    pub from: DaemonId,
    pub vm: VmId,
    pub task: TaskId,
    pub attempt: Attempt,
}

/// Proof that an attempt doesn't run and won't.
#[derive(Clone, Debug)]
pub struct Proof {
    pub ended: Option<Outcome>,
    pub checkpoint: Option<CheckpointId>,
    /// Whether it may have started.
    pub started: bool,
    pub why: CloseReason,
}

/// What a message about an attempt means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    /// The task's present attempt, bound durably.
    Present,
    /// Settled by a durable record.
    Settled,
    /// Being settled here.
    Open,
    /// Further on than anything that is durable here: another daemon has written it.
    Ahead,
}

impl About {
    /// The attempt.
    pub fn id(&self) -> TaskAttempt {
        TaskAttempt { task: self.task, attempt: self.attempt }
    }
}

impl Partition {
    /// Places waiting tasks while the budget lasts; returns urgent ones that found no room.
    pub fn place(
        &mut self,
        cx: &mut Context,
        fleet: &mut Fleet,
        budget: &mut usize,
    ) -> Vec<Candidate> {
        let mut stuck = Vec::new();
        if cx.draining == Draining::Yes || self.log.trouble(cx).is_some() {
            return stuck;
        }
        for shape in self.in_turn(cx) {
            while let Some(number) = self.waiting.first(&shape) {
                if *budget == 0 {
                    return stuck;
                }
                *budget -= 1;
                if let Placed::No(candidate) = self.place_one(cx, fleet, number, &shape) {
                    stuck.extend(Some(candidate).filter(|c| c.spec.urgency == Urgency::Urgent));
                    break;
                }
            }
        }
        stuck
    }

    /// Shapes to ask the policy about, by the rank of their first tasks.
    fn in_turn(&self, cx: &Context) -> Vec<Shape> {
        let mut shapes = self.waiting.askable(cx.now);
        shapes.sort_by_cached_key(|shape| {
            let first = self.waiting.first(shape).and_then(|number| self.tasks.get(&number));
            first.map(|task| cx.policy.rank(&candidate(task, cx.now)))
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
        let Some(task) = self.tasks.get(&number) else { return Placed::Passed };
        let wanted = candidate(task, cx.now);
        let decided = cx.policy.choose(&wanted, cx.now);
        match decided.choice {
            Choice::Place { vm } => {
                cx.act(Action::Explain(decided.record));
                self.ask_for_room(cx, fleet, number, vm);
                Placed::Passed
            }
            // Another task of the shape may go where this one doesn't want to.
            Choice::Wait { .. } if !wanted.avoid.is_empty() => {
                self.hold(number, cx.now + ASK_AGAIN);
                Placed::Passed
            }
            Choice::Wait { reason } | Choice::Never { reason, .. } => {
                if self.waiting.block(shape, cx.now + ASK_AGAIN, &reason) {
                    cx.act(Action::Explain(decided.record));
                }
                Placed::No(wanted)
            }
        }
    }

    fn ask_for_room(&mut self, cx: &mut Context, fleet: &mut Fleet, number: u64, vm: VmId) {
        let Some(task) = self.fire(cx, number, TaskEvent::Chosen) else { return };
        task.vm = Some(vm.clone());
        let (id, attempt, spec) = (task.state.id, task.attempt(), task.state.spec.clone());
        self.waiting.remove(&spec, number);
        self.set_deadline(number, Some(cx.now + cx.cfg.limits.retry_period));
        fleet.ask(cx, &vm, TaskAttempt { task: id, attempt }, spec.resources);
        if let Some(to) = fleet.holder(&vm).cloned() {
            cx.send(&to, PeerMsg::Reserve { vm, task: id, attempt, spec });
        }
    }

    /// The holder keeps the room: the binding is written before any start is sent.
    pub fn reserved(&mut self, cx: &mut Context, about: &About, boot: BootId) {
        let number = about.task.number;
        if !self.is_asking(about) {
            cx.counters.stale += 1;
            return;
        }
        if self.fire(cx, number, TaskEvent::Reserved).is_none() {
            return;
        }
        self.set_deadline(number, None);
        let change = Change::Bound { vm: about.vm.clone(), boot, attempt: about.attempt };
        self.log.push(Pending::new(Record { task: about.task, change }));
    }

    /// The holder has no room, or doesn't hold the VM.
    pub fn declined(&mut self, cx: &mut Context, about: &About, reason: Decline) {
        if self.is_asking(about) {
            cx.explain(Subject::Task(about.task), format!("{} declined: {reason:?}", about.vm));
            return self.give_up_reserving(cx, about.task.number);
        }
        cx.counters.stale += 1;
    }

    fn is_asking(&self, about: &About) -> bool {
        self.tasks.get(&about.task.number).is_some_and(|task| {
            task.step == Step::Reserving
                && task.vm.as_ref() == Some(&about.vm)
                && task.attempt() == about.attempt
        })
    }

    /// The attempt runs.
    pub fn started(&mut self, cx: &mut Context, about: &About) {
        let step = self.tasks.get(&about.task.number).map(|task| task.step);
        if self.standing(about) != Standing::Present || step != Some(Step::Starting) {
            cx.counters.stale += 1;
            return;
        }
        self.set_deadline(about.task.number, None);
        self.fire(cx, about.task.number, TaskEvent::Started);
    }

    /// The attempt ended by itself.
    pub fn ended(&mut self, cx: &mut Context, about: &About, outcome: Outcome) {
        match self.standing(about) {
            Standing::Present => self.settle_end(cx, about, outcome, None),
            Standing::Settled => acknowledge(cx, about),
            Standing::Open => cx.counters.stale += 1,
            Standing::Ahead => self.doubt(),
        }
    }

    /// The attempt doesn't run and won't.
    pub fn closed(&mut self, cx: &mut Context, about: &About, proof: Proof) {
        match self.standing(about) {
            Standing::Present => self.settle_close(cx, about, proof),
            Standing::Settled => acknowledge(cx, about),
            Standing::Open => cx.counters.stale += 1,
            Standing::Ahead => self.doubt(),
        }
    }

    fn settle_close(&mut self, cx: &mut Context, about: &About, proof: Proof) {
        if let Some(outcome) = proof.ended {
            return self.settle_end(cx, about, outcome, proof.checkpoint);
        }
        let Some(task) = self.tasks.get(&about.task.number) else { return };
        let once = task.state.spec.idempotency == Idempotency::NonIdempotent;
        if task.cancel_asked {
            return self.end(cx, about, Outcome::Cancelled);
        }
        if once && proof.started {
            let reason =
                format!("it may have run on {} ({:?}); not run again", about.vm, proof.why);
            return self.end(cx, about, Outcome::Unknown { reason });
        }
        self.release(cx, about, proof.checkpoint, Failure::No, proof.why);
    }

    fn settle_end(
        &mut self,
        cx: &mut Context,
        about: &About,
        outcome: Outcome,
        checkpoint: Option<CheckpointId>,
    ) {
        let Some(task) = self.tasks.get(&about.task.number) else { return };
        let again = may_run_again(task);
        match outcome {
            Outcome::Failed { .. } | Outcome::Unknown { .. } if again => {
                self.release(cx, about, checkpoint, Failure::Yes, CloseReason::Lost);
            }
            Outcome::Cancelled if !task.cancel_asked => {
                let reason = "stopped on the VM without a cancellation".to_owned();
                self.settle_end(cx, about, Outcome::Failed { reason }, checkpoint);
            }
            outcome => self.end(cx, about, outcome),
        }
    }

    fn end(&mut self, cx: &mut Context, about: &About, outcome: Outcome) {
        if self.fire(cx, about.task.number, TaskEvent::EndReported).is_none() {
            return;
        }
        cx.explain(Subject::Task(about.task), format!("ended on {}: {outcome:?}", about.vm));
        let change = Change::Ended { attempt: about.attempt, outcome };
        self.settle(about, change);
    }

    fn release(
        &mut self,
        cx: &mut Context,
        about: &About,
        checkpoint: Option<CheckpointId>,
        failure: Failure,
        why: CloseReason,
    ) {
        let Some(task) = self.fire(cx, about.task.number, TaskEvent::Closed) else { return };
        task.avoid(about.vm.clone(), cx.now);
        cx.explain(
            Subject::Task(about.task),
            format!("released from {} ({why:?}), to run again elsewhere", about.vm),
        );
        let failed = failure == Failure::Yes;
        let change = Change::Released { attempt: about.attempt, checkpoint, failed };
        self.settle(about, change);
    }

    fn settle(&mut self, about: &About, change: Change) {
        self.set_deadline(about.task.number, None);
        let ack = Ack { to: about.from.clone(), vm: about.vm.clone(), attempt: about.attempt };
        let record = Record { task: about.task, change };
        self.log.push(Pending::new(record).with_ack(ack));
    }

    fn standing(&self, about: &About) -> Standing {
        let Some(task) = self.tasks.get(&about.task.number) else {
            // A task below that is unknown ended long ago. Above it, a number may be one that
            // this daemon gave out in vain while another daemon's task has it: acknowledging that
            // one's end would make its VM forget it unrecorded, and the task would run again.
            let ended = about.task.number < self.durable_below;
            return if ended { Standing::Settled } else { Standing::Ahead };
        };
        let state = &task.state;
        if about.attempt < state.attempt || state.ended() {
            return Standing::Settled;
        }
        if about.attempt > state.attempt {
            return Standing::Ahead;
        }
        match (&state.phase, task.step) {
            (Phase::Waiting, _) => Standing::Settled,
            (Phase::Bound { vm }, Step::Starting | Step::Running | Step::Closing)
                if *vm == about.vm =>
            {
                Standing::Present
            }
            _ => Standing::Open,
        }
    }
}

/// How a placement went.
enum Placed {
    /// The task no longer stands first in its line.
    Passed,
    No(Candidate),
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Failure {
    Yes,
    No,
}

/// Whether another attempt may follow one that failed.
fn may_run_again(task: &Task) -> bool {
    let state = &task.state;
    state.spec.idempotency == Idempotency::Idempotent
        && !task.cancel_asked
        && state.failures + 1 < state.spec.max_failures
}

fn acknowledge(cx: &mut Context, about: &About) {
    let About { from, vm, task, attempt } = about;
    cx.counters.stale += 1;
    cx.send(from, PeerMsg::EndedAck { vm: vm.clone(), task: *task, attempt: *attempt });
}

/// The task as the policy sees it.
pub(super) fn candidate(task: &Task, now: Duration) -> Candidate {
    Candidate {
        task: task.state.id,
        attempt: task.state.attempt.next(),
        spec: task.state.spec.clone(),
        waited: now.saturating_sub(task.known),
        avoid: task.avoided(now),
    }
}
