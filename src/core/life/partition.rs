//! A partition of the task log, as managed by its writer.

use super::fleet::Fleet;
use super::log::{Ack, Log, Pending};
use super::steps::candidate;
use super::task::{Fired, Step, Task, TaskChart, TaskEvent};
use super::waiting::Waiting;
use crate::core::context::{Context, Draining};
use crate::core::event::{Action, Answer, CommitResult};
use crate::core::policy::{PlacementDecision, Subject};
use crate::core::query::PartitionSummary;
use crate::ids::{ClassName, IdempotencyKey, PartitionId, TaskId, Ticket, VmId};
use crate::peer::{CloseReason, PeerMsg};
use crate::task::{Change, Outcome, Phase, Record, TaskSpec, TaskState};
use crate::worker::TaskAttempt;
use indexmap::IndexMap;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Number of bound tasks queried at once after a recovery or a change of holder.
const QUERY_BATCH_SIZE: usize = 64;

/// A partition that this daemon writes.
#[derive(Debug)]
pub struct Partition {
    pub(super) id: PartitionId,
    pub(super) chart: Arc<TaskChart>,
    pub(super) tasks: BTreeMap<u64, Task>,
    pub(super) log: Log,
    pub(super) waiting: Waiting,
    keys: IndexMap<IdempotencyKey, u64>,
    next_number: u64,
    /// Each lower number belongs to a durably accepted task, or will never belong to any task.
    pub(super) durable_below: u64,
    deadlines: BTreeSet<Deadline>,
    bound_on: IndexMap<VmId, BTreeSet<u64>>,
    ended: VecDeque<u64>,
    recovered_at: Duration,
    freshness: Freshness,
}

/// Whether another daemon may have written the partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Freshness {
    Current,
    Suspect,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Deadline {
    at: Duration,
    number: u64,
}

impl Partition {
    /// Creates a partition from the state in its log.
    pub fn recovered(
        cx: &mut Context,
        id: PartitionId,
        chart: Arc<TaskChart>,
        tasks: Vec<TaskState>,
        next_number: u64,
    ) -> Self {
        let mut partition = Self {
            id,
            chart,
            tasks: BTreeMap::new(),
            log: Log::default(),
            waiting: Waiting::default(),
            keys: IndexMap::new(),
            next_number,
            durable_below: next_number,
            deadlines: BTreeSet::new(),
            bound_on: IndexMap::new(),
            ended: VecDeque::new(),
            recovered_at: cx.now,
            freshness: Freshness::Current,
        };
        for state in tasks {
            partition.insert_recovered(cx, state);
        }
        partition
    }

    fn insert_recovered(&mut self, cx: &mut Context, state: TaskState) {
        let number = state.id.number;
        self.keys.insert(state.key.clone(), number);
        self.next_number = self.next_number.max(number + 1);
        self.durable_below = self.durable_below.max(number + 1);
        let task = Task::recovered(state, cx.now);
        let (step, vm) = (task.step, task.vm.clone());
        self.tasks.insert(number, task);
        match step {
            Step::Queued => self.enqueue(cx, number),
            Step::Ended => self.ended.push_back(number),
            _ => {
                if let Some(vm) = vm {
                    self.bound_on.entry(vm).or_default().insert(number);
                }
                let batch = self.deadlines.len() / QUERY_BATCH_SIZE;
                self.set_deadline(number, Some(cx.now + self.batch_delay(cx, batch)));
            }
        }
    }

    fn batch_delay(&self, cx: &Context, batch: usize) -> Duration {
        cx.cfg.limits.commit_interval * u32::try_from(batch).unwrap_or(u32::MAX)
    }

    /// Notes that another daemon may have written the partition since it was loaded.
    pub fn mark_suspect(&mut self) {
        self.freshness = Freshness::Suspect;
    }

    /// Whether the log must be reloaded, which happens only when no record is queued or in flight,
    /// and at most once every `period`.
    pub fn needs_reload(&self, now: Duration, period: Duration) -> bool {
        let due = now >= self.recovered_at + period;
        due && self.freshness == Freshness::Suspect && self.log.is_idle()
    }

    /// Handles a caller's submission.
    pub fn submit(
        &mut self,
        cx: &mut Context,
        ticket: Ticket,
        key: IdempotencyKey,
        spec: TaskSpec,
    ) {
        if let Some(number) = self.keys.get(&key).copied() {
            return self.submit_again(cx, ticket, number);
        }
        if let Some(reason) = self.rejection_reason(cx) {
            return cx.reply(ticket, Answer::NotRun { reason });
        }
        let id = TaskId::new(self.id, self.next_number);
        let state = TaskState::new(id, key.clone(), spec.clone());
        let task = Task::new(state, Step::Submitting, cx.now);
        let decision = cx.policy.check_admission(&candidate(&task, cx.now), cx.now);
        if let PlacementDecision::Never { reason, nearest } = &decision.choice {
            let nearest = nearest.map(|size| format!("; the nearest size that fits is {size}"));
            let reason = format!("{reason}{}", nearest.unwrap_or_default());
            cx.act(Action::Explain(decision.record));
            return cx.reply(ticket, Answer::NotRun { reason });
        }
        self.next_number += 1;
        self.keys.insert(key.clone(), id.number);
        self.tasks.insert(id.number, task);
        let record = Record { task: id, change: Change::Accepted { key, spec } };
        self.log.push(Pending::new(record).with_ticket(ticket));
    }

    fn submit_again(&mut self, cx: &mut Context, ticket: Ticket, number: u64) {
        let Some(task) = self.tasks.get_mut(&number) else { return };
        if task.step == Step::Submitting {
            task.repeats.push(ticket);
        } else {
            cx.reply(ticket, Answer::Accepted { task: task.state.id, repeated: true });
        }
    }

    fn rejection_reason(&self, cx: &Context) -> Option<String> {
        if cx.draining == Draining::Yes {
            return Some("this daemon stops; submit to another".to_owned());
        }
        if let Some(unavailable) = self.log.unavailable_reason(cx) {
            let wait = cx.cfg.limits.store_backoff_max.as_secs();
            return Some(format!("{unavailable}; submit again in {wait} s"));
        }
        let waiting = self.waiting.len() + self.log.len();
        (waiting >= cx.cfg.limits.waiting_max)
            .then(|| format!("{waiting} tasks wait already; submit again in a minute"))
    }

    /// Handles a caller's cancellation.
    pub fn cancel(&mut self, cx: &mut Context, ticket: Ticket, number: u64) {
        let Some(task) = self.tasks.get_mut(&number) else {
            return cx.reply(ticket, Answer::NotFound);
        };
        if task.state.ended() {
            return cx.reply(ticket, Answer::Cancelling { task: task.state.clone() });
        }
        if let Some(unavailable) = self.log.unavailable_reason(cx) {
            let reason =
                format!("{unavailable}; the cancellation is not recorded, ask again later");
            return cx.reply(ticket, Answer::NotRun { reason });
        }
        match task.step {
            Step::Queued | Step::Reserving => self.end_unbound(cx, number, Some(ticket)),
            _ => {
                task.cancel_asked = true;
                let record = Record { task: task.state.id, change: Change::CancelAsked };
                self.log.push(Pending::new(record).with_ticket(ticket));
            }
        }
    }

    /// Removes a waiting task from its queue until the given time.
    pub(super) fn defer(&mut self, number: u64, until: Duration) {
        let Some(task) = self.tasks.get(&number) else { return };
        let spec = task.state.spec.clone();
        self.waiting.remove(&spec, number);
        self.set_deadline(number, Some(until));
    }

    /// Ends a cancelled task that isn't bound to a VM.
    fn end_unbound(&mut self, cx: &mut Context, number: u64, ticket: Option<Ticket>) {
        let Some(task) = self.fire(cx, number, TaskEvent::Cancelled) else { return };
        let (id, attempt, spec) = (task.state.id, task.state.attempt, task.state.spec.clone());
        self.waiting.remove(&spec, number);
        self.set_deadline(number, None);
        let change = Change::Ended { attempt, outcome: Outcome::Cancelled };
        let mut pending = Pending::new(Record { task: id, change });
        pending.tickets.extend(ticket);
        self.log.push(pending);
    }

    /// Queues a task for a VM, or ends it if it was cancelled.
    fn enqueue(&mut self, cx: &mut Context, number: u64) {
        let Some(task) = self.tasks.get_mut(&number) else { return };
        task.vm = None;
        let spec = task.state.spec.clone();
        if task.state.cancel_asked {
            return self.end_unbound(cx, number, None);
        }
        self.waiting.push(&spec, number);
    }

    /// Handles the outcome of a commit.
    pub fn committed(
        &mut self,
        cx: &mut Context,
        fleet: &Fleet,
        ticket: Ticket,
        result: &CommitResult,
    ) -> Settled {
        let Some(records) = self.log.settle(ticket) else { return Settled::No };
        match result {
            CommitResult::Durable => {
                self.log.store_is_up();
                for pending in records {
                    self.durable(cx, fleet, pending);
                }
            }
            CommitResult::NotWritten { reason } => {
                self.log.store_is_down(cx);
                self.not_written(cx, records, reason);
            }
        }
        Settled::Yes
    }

    fn durable(&mut self, cx: &mut Context, fleet: &Fleet, pending: Pending) {
        let Pending { record, tickets, ack, .. } = pending;
        let number = record.task.number;
        if let Some(ack) = ack {
            let Ack { to, vm, attempt } = ack;
            cx.send(&to, PeerMsg::EndedAck { vm, task: record.task, attempt });
        }
        let Some(task) = self.tasks.get_mut(&number) else { return };
        task.state.apply(&record.change);
        let state = task.state.clone();
        match record.change {
            Change::Accepted { .. } => self.accepted(cx, number, &tickets),
            Change::Bound { vm, .. } => self.bound(cx, fleet, number, vm),
            Change::Released { .. } => {
                self.unbind(number);
                if self.fire(cx, number, TaskEvent::Durable).is_some() {
                    self.enqueue(cx, number);
                }
            }
            Change::Ended { .. } => {
                self.unbind(number);
                self.fire(cx, number, TaskEvent::Durable);
                self.retain_ended(cx, number);
                answer_all(cx, &tickets, &Answer::Cancelling { task: state });
            }
            Change::CancelAsked => {
                answer_all(cx, &tickets, &Answer::Cancelling { task: state });
                self.apply_cancellation(cx, fleet, number);
            }
        }
    }

    fn accepted(&mut self, cx: &mut Context, number: u64, tickets: &[Ticket]) {
        let Some(task) = self.fire(cx, number, TaskEvent::Durable) else { return };
        let id = task.state.id;
        let repeats = std::mem::take(&mut task.repeats);
        self.durable_below = self.durable_below.max(number + 1);
        answer_all(cx, tickets, &Answer::Accepted { task: id, repeated: false });
        answer_all(cx, &repeats, &Answer::Accepted { task: id, repeated: true });
        self.enqueue(cx, number);
    }

    fn bound(&mut self, cx: &mut Context, fleet: &Fleet, number: u64, vm: VmId) {
        self.bound_on.entry(vm).or_default().insert(number);
        let Some(task) = self.fire(cx, number, TaskEvent::Durable) else { return };
        if task.state.cancel_asked {
            return self.apply_cancellation(cx, fleet, number);
        }
        self.send_start(cx, fleet, number);
    }

    fn apply_cancellation(&mut self, cx: &mut Context, fleet: &Fleet, number: u64) {
        let Some(task) = self.tasks.get(&number) else { return };
        match task.step {
            Step::Queued | Step::Reserving => self.end_unbound(cx, number, None),
            Step::Starting | Step::Running => {
                self.start_close(cx, fleet, number, CloseReason::Cancelled);
            }
            _ => {}
        }
    }

    fn unbind(&mut self, number: u64) {
        let vm = self.tasks.get(&number).and_then(|task| task.vm.clone());
        if let Some(vm) = vm
            && let Some(tasks) = self.bound_on.get_mut(&vm)
        {
            tasks.remove(&number);
            if tasks.is_empty() {
                self.bound_on.swap_remove(&vm);
            }
        }
        self.set_deadline(number, None);
    }

    fn retain_ended(&mut self, cx: &Context, number: u64) {
        self.ended.push_back(number);
        while self.ended.len() > cx.cfg.limits.ended_kept {
            let oldest = self.ended.pop_front().and_then(|number| self.tasks.remove(&number));
            if let Some(task) = oldest {
                self.keys.swap_remove(&task.state.key);
            }
        }
    }

    /// Handles a batch that wasn't written.
    ///
    /// Submissions and cancellations are rejected. Ends and releases are based on proof that was
    /// already received, so they are retained until the store writes them.
    fn not_written(&mut self, cx: &mut Context, records: Vec<Pending>, reason: &str) {
        let mut kept = Vec::new();
        for pending in records {
            let number = pending.record.task.number;
            match &pending.record.change {
                Change::Accepted { .. } => self.reject(cx, &pending, reason),
                Change::Bound { .. } => {
                    if self.fire(cx, number, TaskEvent::NotWritten).is_some() {
                        self.enqueue(cx, number);
                    }
                }
                Change::CancelAsked => {
                    if let Some(task) = self.tasks.get_mut(&number) {
                        task.cancel_asked = task.state.cancel_asked;
                    }
                    not_run(cx, &pending.tickets, reason);
                }
                Change::Ended { .. } if self.is_queued_cancellation(number) => {
                    not_run(cx, &pending.tickets, reason);
                    if self.fire(cx, number, TaskEvent::NotWritten).is_some() {
                        self.enqueue(cx, number);
                    }
                }
                Change::Released { .. } | Change::Ended { .. } => kept.push(pending),
            }
        }
        self.log.requeue(kept);
    }

    /// Whether an in-flight end is only the cancellation of a queued task, which can be rejected.
    fn is_queued_cancellation(&self, number: u64) -> bool {
        let state = self.tasks.get(&number).map(|task| &task.state);
        state.is_some_and(|state| state.phase == Phase::Waiting && !state.cancel_asked)
    }

    /// Rejects a submission that is known not to be recorded.
    fn reject(&mut self, cx: &mut Context, pending: &Pending, reason: &str) {
        let number = pending.record.task.number;
        let Some(task) = self.fire(cx, number, TaskEvent::NotWritten) else { return };
        let repeats = std::mem::take(&mut task.repeats);
        let key = task.state.key.clone();
        not_run(cx, &pending.tickets, reason);
        not_run(cx, &repeats, reason);
        self.keys.swap_remove(&key);
        self.tasks.remove(&number);
        for pending in self.log.take_task_records(number) {
            answer_all(cx, &pending.tickets, &Answer::NotFound);
        }
    }

    /// Rejects overdue submissions and handles expired deadlines.
    pub fn tick(&mut self, cx: &mut Context, fleet: &Fleet) {
        for pending in self.log.take_overdue(cx) {
            self.reject(cx, &pending, "the key-value service doesn't answer; submit again later");
        }
        while let Some(due) = self.deadlines.first().copied().filter(|due| due.at <= cx.now) {
            self.set_deadline(due.number, None);
            self.handle_deadline(cx, fleet, due.number);
        }
    }

    fn handle_deadline(&mut self, cx: &mut Context, fleet: &Fleet, number: u64) {
        let Some(task) = self.tasks.get(&number) else { return };
        match task.step {
            Step::Queued => self.enqueue(cx, number),
            Step::Reserving => self.abandon_reservation(cx, number),
            Step::Starting if task.state.cancel_asked => {
                self.start_close(cx, fleet, number, CloseReason::Cancelled);
            }
            Step::Starting => self.send_start(cx, fleet, number),
            Step::Closing => self.send_close(cx, fleet, number),
            _ => {}
        }
    }

    /// Requeues a task whose reservation was declined or not answered.
    pub(super) fn abandon_reservation(&mut self, cx: &mut Context, number: u64) {
        let now = cx.now;
        let Some(task) = self.fire(cx, number, TaskEvent::Declined) else { return };
        if let Some(vm) = task.vm.take() {
            task.avoid(vm, now);
        }
        self.set_deadline(number, None);
        self.enqueue(cx, number);
    }

    /// Asks the holder to start the attempt, or to confirm that it is running.
    pub(super) fn send_start(&mut self, cx: &mut Context, fleet: &Fleet, number: u64) {
        self.set_deadline(number, Some(cx.now + cx.cfg.limits.retry_period));
        let Some(task) = self.tasks.get_mut(&number) else { return };
        let Some(vm) = task.vm.clone() else { return };
        let Some(to) = fleet.holder(&vm).cloned() else { return };
        task.holder = Some(to.clone());
        let msg = PeerMsg::Start {
            vm,
            boot: task.boot(),
            task: task.state.id,
            attempt: task.state.attempt,
            spec: task.state.spec.clone(),
            resume: task.state.checkpoint.clone(),
        };
        cx.send(&to, msg);
    }

    /// Asks the holder to close the attempt and to prove that it doesn't run.
    pub(super) fn start_close(
        &mut self,
        cx: &mut Context,
        fleet: &Fleet,
        number: u64,
        why: CloseReason,
    ) {
        let Some(task) = self.fire(cx, number, TaskEvent::Close) else { return };
        task.close_reason = why;
        let id = task.state.id;
        cx.explain(Subject::Task(id), format!("asked to close attempt ({why:?})"));
        self.send_close(cx, fleet, number);
    }

    fn send_close(&mut self, cx: &mut Context, fleet: &Fleet, number: u64) {
        self.set_deadline(number, Some(cx.now + cx.cfg.limits.retry_period));
        let Some(task) = self.tasks.get_mut(&number) else { return };
        let Some(vm) = task.vm.clone() else { return };
        let Some(to) = fleet.holder(&vm).cloned() else { return };
        task.holder = Some(to.clone());
        let (id, attempt) = (task.state.id, task.state.attempt);
        let boot = task.boot();
        cx.send(&to, PeerMsg::Close { vm, boot, task: id, attempt, why: task.close_reason });
    }

    /// Queries the new holder of a VM about all attempts bound to the VM.
    pub fn requery_bound(&mut self, cx: &mut Context, vm: &VmId) {
        let numbers: Vec<u64> = self.bound_on.get(vm).into_iter().flatten().copied().collect();
        for (index, number) in numbers.into_iter().enumerate() {
            let step = self.tasks.get(&number).map(|task| task.step);
            if step == Some(Step::Running) {
                self.fire(cx, number, TaskEvent::Declined);
            }
            if matches!(step, Some(Step::Running | Step::Starting | Step::Closing)) {
                let wait = self.batch_delay(cx, index / QUERY_BATCH_SIZE);
                self.set_deadline(number, Some(cx.now + wait));
            }
        }
    }

    /// Summary of the partition.
    pub fn summary(&self) -> PartitionSummary {
        PartitionSummary {
            id: self.id,
            tasks: self.tasks.len(),
            waiting: self.waiting.len(),
            queued_records: self.log.len(),
        }
    }

    /// Durable states of all accepted tasks.
    pub fn states(&self) -> impl Iterator<Item = &TaskState> {
        self.tasks.values().filter(|task| task.step != Step::Submitting).map(|task| &task.state)
    }

    /// Returns a task.
    pub fn get(&self, number: u64) -> Option<&Task> {
        self.tasks.get(&number)
    }

    /// Number of waiting tasks by class and shape.
    pub fn queues(&self) -> impl Iterator<Item = (&ClassName, usize)> {
        self.waiting.by_class()
    }

    /// Reason why tasks of this shape are waiting.
    pub fn waiting_reason(&self, spec: &TaskSpec) -> Option<&str> {
        self.waiting.reason(spec)
    }

    /// VMs with bound attempts.
    pub fn bound_vms(&self) -> impl Iterator<Item = &VmId> {
        self.bound_on.keys()
    }

    /// Attempts bound to a VM.
    pub fn bound_to(&self, vm: &VmId) -> Vec<TaskAttempt> {
        let numbers = self.bound_on.get(vm).into_iter().flatten();
        let states = numbers.filter_map(|number| self.tasks.get(number)).map(|task| &task.state);
        states.map(|state| TaskAttempt { task: state.id, attempt: state.attempt }).collect()
    }

    /// Applies an event to a task; `None` if it is unknown or the event is undeclared in its step.
    pub(super) fn fire(
        &mut self,
        cx: &mut Context,
        number: u64,
        event: TaskEvent,
    ) -> Option<&mut Task> {
        let task = self.tasks.get_mut(&number)?;
        (task.fire(&self.chart, event, cx) == Fired::Moved).then_some(task)
    }

    pub(super) fn set_deadline(&mut self, number: u64, at: Option<Duration>) {
        let Some(task) = self.tasks.get_mut(&number) else { return };
        if let Some(old) = std::mem::replace(&mut task.deadline, at) {
            self.deadlines.remove(&Deadline { at: old, number });
        }
        if let Some(at) = at {
            self.deadlines.insert(Deadline { at, number });
        }
    }
}

/// Whether a ticket settled a commit of the partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settled {
    Yes,
    No,
}

/// Sends the same reply to several callers.
pub(super) fn answer_all(cx: &mut Context, tickets: &[Ticket], answer: &Answer) {
    for ticket in tickets {
        cx.reply(*ticket, answer.clone());
    }
}

/// Replies to callers that nothing was recorded.
pub(super) fn not_run(cx: &mut Context, tickets: &[Ticket], reason: &str) {
    answer_all(cx, tickets, &Answer::NotRun { reason: reason.to_owned() });
}
