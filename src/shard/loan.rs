//! Lending of tasks to another shard than the one that accepted their job.
//!
//! A shard's VMs may have no room for a task that fits on VMs of another shard: the task is too
//! large, the rack with its data or the VM with its label belongs to another shard, or VMs were
//! lost. Such a task is lent. The lender first commits that it does not run the task itself and
//! then sends the loan. The borrower commits that it has the task, runs it like its own, commits
//! the outcome, and returns the task.
//!
//! At any time at most one shard may start a task, even if messages are lost, delayed or duplicated
//! or an owner is replaced, because each side repeats what it has committed until the other
//! answers. What is sent into a partition may arrive minutes later, so no message is trusted for
//! having arrived. Messages that lend tasks are numbered, and each message that ends a loan tells up
//! to which number they are void: a loan that is still open is sent again under a higher one. Only
//! the owner that it was told to knows the number, so each message is addressed to one owner by its
//! fencing token.

mod borrower;
mod declines;
mod message;
mod offers;

pub use declines::Declines;
pub use message::{
    JobStart, LendOrder, LentTask, LoanId, LoanMsg, LoanOutcome, ReturnedTask, TakenTask,
};

use super::Shard;
use super::event::{Action, OtherShard};
use super::job_run::{
    CheckpointRank, JobRun, LoanStatus, Occurrence, RecordState, Started, StepRun, Task,
};
use super::vm_run::RunKey;
use crate::job::progress::{Crashes, TaskPhase};
use crate::job::{Job, JobId, RunNumber, Step, TaskRef};
use crate::note::{Note, StaticText};
use crate::vm::Fence;
use indexmap::{IndexMap, IndexSet};
use std::sync::Arc;
use std::time::Duration;

/// Interval between messages about a loan; an answer takes 10 to 40 ms.
const MESSAGE_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which an accepted loan is sent again, to learn whether a task of the job has
/// started.
const TAKEN_LOAN_INTERVAL: Duration = Duration::from_millis(800);

/// Time that a borrowed task may wait for room before it is returned.
const RETURN_TIMEOUT: Duration = Duration::from_millis(1500);

/// Loan state of a shard that is not part of its jobs.
#[derive(Debug, Default)]
pub struct Loans {
    /// Latest summaries of other shards, reduced by what was lent to them since.
    other_shards: IndexMap<Arc<str>, OtherShard>,
    /// Jobs accepted by this shard that have lent tasks.
    lending: IndexSet<JobId>,
    /// Jobs of other shards with tasks borrowed by this shard.
    borrowed: IndexSet<JobId>,
    /// Number of `Lend` messages that this owner has composed.
    lends: u64,
    /// Newest `Lend` message of each lender that is void.
    void: IndexMap<Arc<str>, LendOrder>,
    /// Number of messages that were dropped as void.
    void_messages: u64,
    next_send: Duration,
}

impl Loans {
    /// Replaces the summaries of other shards.
    pub fn set_other_shards(&mut self, other_shards: Vec<OtherShard>) {
        self.other_shards = other_shards.into_iter().map(|n| (n.name.clone(), n)).collect();
    }

    /// Returns the last known state of the other shards.
    pub fn other_shards(&self) -> impl Iterator<Item = &OtherShard> {
        self.other_shards.values()
    }

    /// Adds work to the summary of another shard until its next one arrives.
    pub fn add_expected_work(&mut self, shard: &str, reserved: u64, leftover: u64) {
        if let Some(other) = self.other_shards.get_mut(shard) {
            let summary = Arc::make_mut(&mut other.summary);
            summary.waiting_work = summary.waiting_work.saturating_add(reserved);
            summary.leftover_work = summary.leftover_work.saturating_add(leftover);
        }
    }

    /// Sends loan messages at the next opportunity, after a change has become durable.
    pub fn send_soon(&mut self, now: Duration) {
        self.next_send = self.next_send.min(now);
    }

    /// Number of `Lend` messages that this owner has composed.
    pub fn lends(&self) -> u64 {
        self.lends
    }

    fn fence_of(&self, shard: &str) -> Option<Fence> {
        self.other_shards.get(shard).map(|other| other.fence)
    }

    /// Number of messages that were dropped as void.
    pub fn void_messages(&self) -> u64 {
        self.void_messages
    }

    fn is_void(&self, lender: &str, order: LendOrder) -> bool {
        self.void.get(lender).is_some_and(|newest| order <= *newest)
    }

    fn void_up_to(&mut self, lender: &Arc<str>, order: LendOrder) {
        let newest = self.void.entry(lender.clone()).or_default();
        *newest = order.max(*newest);
    }
}

impl Shard {
    /// Registers the loans of a job that was read from the store.
    pub(super) fn recover_loans(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        if job.is_borrowed() {
            self.loans.borrowed.insert(id);
            self.drop_settled_job(id);
        } else if job.has_lent_tasks() {
            self.loans.lending.insert(id);
        }
    }

    /// Sends the pending messages about loans whose state is durable.
    pub(super) fn send_pending_loan_messages(&mut self) {
        let now = self.now.steady;
        if now < self.loans.next_send {
            return;
        }
        self.loans.next_send = now + MESSAGE_INTERVAL;
        let lending: Vec<JobId> = self.loans.lending.iter().copied().collect();
        lending.into_iter().for_each(|id| self.send_loan_messages(id));
        let borrowed: Vec<JobId> = self.loans.borrowed.iter().copied().collect();
        borrowed.into_iter().for_each(|id| self.send_returns(id));
    }

    fn send_loan_messages(&mut self, id: JobId) {
        let now = self.now.steady;
        let Some(job) = self.jobs.get(&id) else {
            self.loans.lending.shift_remove(&id);
            return;
        };
        if !self.log.is_durable(id) || self.log.age(now) >= MESSAGE_INTERVAL {
            return;
        }
        if !job.has_lent_tasks() {
            self.loans.lending.shift_remove(&id);
            return;
        }
        let mut msgs: IndexMap<(Arc<str>, u64), Vec<LentTask>> = IndexMap::new();
        let mut recalls: IndexMap<Arc<str>, (Vec<LoanId>, u64)> = IndexMap::new();
        for (task, known) in job.tasks_with_refs() {
            let Some(lent) = &known.lent else { continue };
            if job.is_final() {
                let (loans, last_lend) = recalls.entry(lent.to.clone()).or_default();
                loans.push(LoanId { task, loan: lent.loan });
                *last_lend = lent.last_lend.max(*last_lend);
            } else if lent.status.needs_sending(now) {
                let key = (lent.to.clone(), lent.loan);
                msgs.entry(key).or_default().push(LentTask {
                    task,
                    last_run: known.last_run,
                    failed: known.failed,
                    checkpoint: known.checkpoint.clone(),
                    crashes: known.crashes,
                });
            }
        }
        let spec = job.job.clone();
        for ((to, loan), tasks) in msgs {
            self.loans.lends += 1;
            let order = self.last_lend_order();
            self.mark_sent(id, &tasks, order.number);
            // Sent only after a commit: an owner that was paused and replaced could otherwise lend
            // a task that was returned long ago to a borrower that has forgotten the loan, and the
            // task would run a second time.
            self.send_after_commit(&to, LoanMsg::Lend { job: spec.clone(), loan, order, tasks });
        }
        for (to, (tasks, number)) in recalls {
            // A later message may lend tasks of other jobs and still wait for its commit.
            let void = LendOrder { fence: self.fence, number };
            self.send_message(&to, LoanMsg::Recall { job: id, tasks, void });
        }
    }

    /// Order of the last `Lend` message that this owner has composed.
    fn last_lend_order(&self) -> LendOrder {
        LendOrder { fence: self.fence, number: self.loans.lends }
    }

    /// Marks loans as sent, so that they are not sent again before an answer can arrive.
    fn mark_sent(&mut self, id: JobId, tasks: &[LentTask], lend: u64) {
        let resend_at = self.now.steady + MESSAGE_INTERVAL;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        for sent in tasks {
            if let Some(lent) = job.task_mut(sent.task).and_then(|task| task.lent.as_mut()) {
                lent.status = LoanStatus::Sent { resend_at };
                lent.last_lend = lend;
            }
        }
    }

    fn send_returns(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            self.loans.borrowed.shift_remove(&id);
            return;
        };
        let Some(lender) = job.lender.clone() else { return };
        self.return_stuck_tasks(id);
        if !self.log.is_durable(id) {
            return;
        }
        let Some(job) = self.jobs.get(&id) else { return };
        let tasks: Vec<ReturnedTask> =
            job.tasks_with_refs().filter_map(|(task, known)| returned_task(task, known)).collect();
        if !tasks.is_empty() {
            let msg = LoanMsg::Return { job: id, tasks };
            self.send_message(&lender, msg);
        }
    }

    /// Returns tasks that found no room in this shard for a while, and at once those that may run on
    /// none of its VMs: another shard may have room.
    fn return_stuck_tasks(&mut self, id: JobId) {
        let now = self.now.steady;
        let timeout = if self.is_evacuated() { Duration::ZERO } else { RETURN_TIMEOUT };
        let Some(job) = self.jobs.get(&id) else { return };
        let has_waited = |known: &Task| {
            let away = known.waiting_since().map_or(Duration::ZERO, |at| now.saturating_sub(at));
            known.is_waiting() && away >= timeout
        };
        let is_stuck = |(task, known): &(TaskRef, &Task)| {
            let denied = known.is_waiting() && self.is_denied_on_all_vms(*task);
            let is_ready = |known: &Task| has_waited(known) || (denied && known.is_waiting());
            if !self.is_gang(*task) {
                return is_ready(known);
            }
            // A gang is returned whole: neither shard could start a part of it.
            job.step_run(*task).is_some_and(|step| step.tasks.iter().all(is_ready))
        };
        let stuck: Vec<TaskRef> =
            job.tasks_with_refs().filter(is_stuck).map(|(task, _)| task).collect();
        if stuck.is_empty() {
            return;
        }
        for task in &stuck {
            self.align_checkpoints(*task);
        }
        let Some(job) = self.jobs.get_mut(&id) else { return };
        for task in stuck {
            if let Some(known) = job.task_mut(task) {
                known.phase = TaskPhase::GivenBack;
            }
        }
        self.log.mark_changed(id);
    }

    /// Gives all members of a task's gang one checkpoint before they go to another shard, which
    /// doesn't know how much progress each has.
    fn align_checkpoints(&mut self, task: TaskRef) {
        if self.is_gang(task)
            && let Some(step) = self.jobs.get_mut(&task.job).and_then(|job| job.step_run_mut(task))
        {
            step.align_gang_checkpoints();
        }
    }

    pub(super) fn handle_loan_message(&mut self, from: &Arc<str>, msg: LoanMsg) {
        match msg {
            LoanMsg::Lend { order, .. } if self.loans.is_void(from, order) => {
                self.drop_loan_message(from, &msg, "its loan has ended");
            }
            LoanMsg::Lend { job, loan, order, tasks } => {
                self.handle_lend(from, &job, loan, order, tasks);
            }
            LoanMsg::Taken { job, loan, tasks, begun } => {
                self.handle_taken(job, loan, &tasks, begun);
            }
            LoanMsg::Return { job, tasks } => self.handle_return(from, job, tasks),
            LoanMsg::Settled { job, tasks, void } => {
                self.loans.void_up_to(from, void);
                self.handle_settled(job, &tasks);
            }
            LoanMsg::Recall { job, tasks, void } => {
                self.loans.void_up_to(from, void);
                self.handle_recall(from, job, &tasks);
            }
        }
    }

    /// Logs and counts a message that is not acted on.
    pub(super) fn drop_loan_message(&mut self, from: &str, msg: &LoanMsg, reason: StaticText) {
        self.loans.void_messages += 1;
        let order = match msg {
            LoanMsg::Lend { order, .. } => *order,
            _ => LendOrder::default(),
        };
        self.note(Note::LoanMessageDropped {
            kind: msg.kind(),
            job: msg.job(),
            from: from.to_owned(),
            reason,
            fence: order.fence.0,
            lend: order.number,
        });
    }

    fn handle_lend(
        &mut self,
        from: &Arc<str>,
        spec: &Arc<Job>,
        loan: u64,
        order: LendOrder,
        tasks: Vec<LentTask>,
    ) {
        let (id, now) = (spec.id, self.now.steady);
        if self.stage != super::Stage::Serving {
            return;
        }
        let images = self.images_of(spec);
        let job = self.jobs.entry(id).or_insert_with(|| {
            let age = self.now.wall.saturating_sub(spec.accepted);
            let mut job = JobRun::new(spec.clone(), images, now.saturating_sub(age));
            job.lender = Some(from.clone());
            job
        });
        if job.lender.as_ref() != Some(from) || job.record == RecordState::Dropped {
            // The remains of an earlier loan are still being removed; the lender sends this loan
            // again.
            return;
        }
        self.loans.borrowed.insert(id);
        let mut added = 0;
        let names: Vec<TaskRef> = tasks.iter().map(|lent| lent.task).collect();
        for lent in tasks {
            added += usize::from(add_borrowed_task(job, lent, loan, now));
        }
        let taken = names.into_iter().filter_map(|task| {
            let known = job.task(task).filter(|known| known.loan == loan)?;
            Some(TakenTask { task, crashes: known.crashes })
        });
        let taken: Vec<TakenTask> = taken.collect();
        if added > 0 {
            job.advance(now);
            self.note(Note::TasksBorrowed {
                job: id,
                from: from.to_string(),
                tasks: added,
                loan,
                fence: order.fence.0,
                lend: order.number,
            });
            self.request_schedule();
            self.log.mark_changed(id);
        } else if self.log.is_durable(id) && !taken.is_empty() {
            let begun = if job.started == Started::Yes { JobStart::Yes } else { JobStart::No };
            let msg = LoanMsg::Taken { job: id, loan, tasks: taken, begun };
            self.send_message(from, msg);
        }
    }

    fn handle_taken(&mut self, id: JobId, loan: u64, tasks: &[TakenTask], begun: JobStart) {
        let now = self.now.steady;
        for taken in tasks {
            let known = self.jobs.get_mut(&id).and_then(|job| job.task_mut(taken.task));
            let lent = known.and_then(|task| task.lent.as_mut());
            let Some(lent) = lent.filter(|lent| lent.loan == loan) else { continue };
            lent.status = match begun {
                // Others of the step may be waiting for its trial run.
                _ if taken.crashes.sudden > 0 => {
                    LoanStatus::Taken { resend_at: now + MESSAGE_INTERVAL }
                }
                JobStart::No => LoanStatus::Taken { resend_at: now + TAKEN_LOAN_INTERVAL },
                JobStart::Yes => LoanStatus::JobStarted,
            };
            self.adopt_crashes(taken.task, taken.crashes);
        }
        if begun == JobStart::Yes {
            self.mark_started(id);
        }
    }

    /// Takes over the crash counts of a lent task from its borrower, which alone sees its runs.
    fn adopt_crashes(&mut self, task: TaskRef, crashes: Crashes) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let Some(known) = job.task_mut(task).filter(|known| known.crashes != crashes) else {
            return;
        };
        let before = std::mem::replace(&mut known.crashes, crashes);
        if let Some(step) = job.step_run_mut(task).filter(|_| crashes.sudden != before.sudden) {
            step.proven = crashes.sudden < before.sudden;
        }
        self.log.mark_changed(task.job);
        self.request_schedule();
    }

    fn handle_return(&mut self, from: &Arc<str>, id: JobId, tasks: Vec<ReturnedTask>) {
        let mut settled = Vec::new();
        let mut failed = false;
        let (mut declined, mut succeeded) = (Vec::new(), Vec::new());
        let durable = self.log.is_durable(id);
        let known = self.jobs.contains_key(&id);
        for back in tasks {
            let loaned = LoanId { task: back.task, loan: back.loan };
            let task = self.jobs.get_mut(&id).and_then(|job| job.task_mut(back.task));
            let ours = task.filter(|task| {
                task.lent.as_ref().is_some_and(|l| l.loan == back.loan && l.to == *from)
            });
            let Some(task) = ours else {
                if durable || !known {
                    settled.push(loaned);
                }
                continue;
            };
            task.lent = None;
            let began = back.last_run > task.last_run;
            // A borrower that doesn't know the loan tells no counts.
            let knows_loan = back.last_run >= task.last_run;
            task.last_run = task.last_run.max(back.last_run);
            if knows_loan {
                task.failed = back.failed;
            }
            task.not_running_since.get_or_insert(self.now.steady);
            let rank = CheckpointRank { run: back.last_run, ..CheckpointRank::default() };
            task.save_checkpoint(back.checkpoint, rank);
            match back.result {
                LoanOutcome::Succeeded => {
                    task.phase = TaskPhase::Succeeded;
                    succeeded.push(back.task);
                }
                LoanOutcome::Failed => failed = true,
                LoanOutcome::GivenBack if began => {}
                LoanOutcome::GivenBack => declined.push(back.task),
            }
            if knows_loan {
                self.adopt_crashes(back.task, back.crashes);
            }
            if began {
                self.mark_started(id);
            }
            self.log.mark_changed(id);
        }
        self.record_declines(from, &declined);
        succeeded.into_iter().for_each(|task| self.record_gang_success(task));
        if failed && self.jobs.get(&id).is_some_and(|job| !job.is_final()) {
            self.fail_job(id);
        }
        self.advance(id);
        if !settled.is_empty() {
            let msg = LoanMsg::Settled { job: id, tasks: settled, void: self.last_lend_order() };
            self.send_after_commit(from, msg);
        }
    }

    /// Records that a shard has returned tasks that it did not start.
    fn record_declines(&mut self, from: &Arc<str>, tasks: &[TaskRef]) {
        let now = self.now.steady;
        for task in tasks {
            let job = self.jobs.get_mut(&task.job);
            if let Some(step) = job.and_then(|job| job.step_run_mut(*task)) {
                step.declines.record(from, now);
            }
        }
    }

    fn handle_settled(&mut self, id: JobId, tasks: &[LoanId]) {
        let Some(job) = self.jobs.get_mut(&id).filter(|job| job.is_borrowed()) else { return };
        for loaned in tasks {
            let Some(task) = job.task_mut(loaned.task) else { continue };
            if task.loan == loaned.loan && task.runs.is_empty() && task.phase != TaskPhase::Open {
                task.phase = TaskPhase::Elsewhere;
            }
        }
        self.log.mark_changed(id);
        self.drop_settled_job(id);
    }

    /// Drops a borrowed job once all its loans are settled.
    fn drop_settled_job(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.tasks().all(|task| task.phase == TaskPhase::Elsewhere) {
            job.record = RecordState::Dropped;
            self.loans.borrowed.shift_remove(&id);
            self.log.mark_changed(id);
        }
    }

    fn handle_recall(&mut self, from: &Arc<str>, id: JobId, tasks: &[LoanId]) {
        let mut unknown = Vec::new();
        for loaned in tasks {
            let job = self.jobs.get_mut(&id).filter(|job| job.is_borrowed());
            let task = job.and_then(|job| job.task_mut(loaned.task));
            let ours = task.filter(|t| t.loan == loaned.loan && t.phase != TaskPhase::Elsewhere);
            let Some(task) = ours else {
                unknown.push(unknown_loan_return(*loaned));
                continue;
            };
            if task.phase == TaskPhase::Open {
                task.phase = TaskPhase::GivenBack;
                let placed_runs = task.runs.clone();
                self.log.mark_changed(id);
                for placed in placed_runs {
                    let key = RunKey { task: loaned.task, run: placed.run };
                    self.stop_run(
                        &placed.vm,
                        key,
                        "its job has ended in the shard that accepted it",
                    );
                }
            }
        }
        if !unknown.is_empty() {
            let msg = LoanMsg::Return { job: id, tasks: unknown };
            self.send_after_commit(from, msg);
        }
    }

    /// Sends a message that only the current owner may send, after the next commit has proved the
    /// ownership. Without this, an owner that has lost the shard unnoticed could, for example,
    /// report loans of its successor as unknown.
    fn send_after_commit(&mut self, to: &Arc<str>, msg: LoanMsg) {
        if let Some(fence) = self.loans.fence_of(to) {
            self.log.after_next_commit(Action::SendLoanMessage { to: to.clone(), fence, msg });
        }
    }

    /// Sends a message to a shard's current owner, if it is known.
    fn send_message(&mut self, to: &Arc<str>, msg: LoanMsg) {
        if let Some(fence) = self.loans.fence_of(to) {
            self.actions.push(Action::SendLoanMessage { to: to.clone(), fence, msg });
        }
    }
}

impl LoanStatus {
    /// Returns whether the loan message is to be sent now.
    fn needs_sending(self, now: Duration) -> bool {
        match self {
            Self::Unsent => true,
            Self::Sent { resend_at } | Self::Taken { resend_at } => now >= resend_at,
            Self::JobStarted => false,
        }
    }
}

/// Adds a borrowed task to a job; returns false if the task is already present.
fn add_borrowed_task(job: &mut JobRun, lent: LentTask, loan: u64, now: Duration) -> bool {
    let number = lent.task.occurrence;
    if !job.open_occurrences.iter().any(|occurrence| occurrence.number == number) {
        job.open_occurrences.push(placeholder_occurrence(&job.job, number, now));
    }
    let Some(task) = job.task_mut(lent.task) else { return false };
    if task.loan == loan {
        return false;
    }
    if task.phase != TaskPhase::Elsewhere {
        // An earlier loan of the task is not settled yet.
        return false;
    }
    *task = Task {
        phase: TaskPhase::Open,
        last_run: lent.last_run,
        failed: lent.failed,
        checkpoint: lent.checkpoint,
        crashes: lent.crashes,
        not_running_since: Some(now),
        loan,
        ..Task::default()
    };
    true
}

/// Creates an occurrence whose tasks are all in the lending shard.
fn placeholder_occurrence(job: &Job, number: u32, now: Duration) -> Occurrence {
    let elsewhere = || Task { phase: TaskPhase::Elsewhere, ..Task::default() };
    let tasks = |step: &Step| (0..step.tasks).map(|_| elsewhere()).collect();
    let steps = job.steps.iter().map(|step| StepRun::new(tasks(step), Some(now)));
    Occurrence { number, steps: steps.collect() }
}

/// Returns the state to send back for a borrowed task, or `None` if the task is still open.
fn returned_task(task: TaskRef, known: &Task) -> Option<ReturnedTask> {
    // A success counts at once; the other copies of the task may take long to stop. The lender's
    // confirmation is ignored until they have ended.
    if !known.runs.is_empty() && known.phase != TaskPhase::Succeeded {
        return None;
    }
    let result = match known.phase {
        TaskPhase::Succeeded => LoanOutcome::Succeeded,
        TaskPhase::Failed => LoanOutcome::Failed,
        TaskPhase::GivenBack => LoanOutcome::GivenBack,
        TaskPhase::Open | TaskPhase::Elsewhere => return None,
    };
    Some(ReturnedTask {
        task,
        loan: known.loan,
        result,
        last_run: known.last_run,
        failed: known.failed,
        checkpoint: known.checkpoint.clone(),
        crashes: known.crashes,
    })
}

fn unknown_loan_return(loaned: LoanId) -> ReturnedTask {
    ReturnedTask {
        task: loaned.task,
        loan: loaned.loan,
        result: LoanOutcome::GivenBack,
        last_run: RunNumber(0),
        failed: 0,
        checkpoint: None,
        crashes: Crashes::default(),
    }
}
