//! Caller requests: submitting a job, cancelling it and querying its state.

use super::admission::Decision;
use super::event::{Action, AdmissionMode, Answer, CommitResult, WriteOutcome};
use super::job_run::{Effect, JobRun, RecordState, Started};
use super::settings::COMMIT_STALL_TIMEOUT;
use super::vm_run::RunKey;
use super::{ClosedJob, Shard, Stage};
use crate::ids::Ticket;
use crate::job::{Job, JobId, JobState, Life, Share};
use crate::note::{Millis, Note, job_state_name};
use indexmap::IndexSet;
use std::sync::Arc;
use std::time::Duration;

/// Retry delay while ownership of the shard is transferred, which takes about 100 ms.
const RETRY_AFTER_HANDOVER: Duration = Duration::from_millis(300);

/// Retry delay while the store is unavailable: a caller's time limit is a few seconds, so it can
/// afford several attempts a second apart, but not one that comes back to the same outage late.
pub const RETRY_AFTER_OUTAGE: Duration = Duration::from_secs(1);

/// Retry delay while every failure domain that could run a job is evacuated, which lasts from
/// seconds to hours; a caller's time limit allows one more attempt.
pub const RETRY_AFTER_EVACUATION: Duration = Duration::from_secs(2);

/// Refusal when the shard accepts no more long-running tasks. Capacity is freed as other jobs are
/// cancelled, which takes seconds.
const LONG_RUNNING_LIMIT_REACHED: (&str, Duration) =
    ("lasting tasks have all the room that they may take", Duration::from_secs(2));

/// Refusal when the shard has little room for a job's long-running tasks.
const LITTLE_ROOM: (&str, Duration) = ("other shards have more room", Duration::ZERO);

/// Refusal when another shard can likely do a finite job in time.
const DONE_ELSEWHERE: (&str, Duration) = ("another shard can do it in time", Duration::ZERO);

/// Reason for the refusal of a finite job that can't be done while its result is of use.
const OF_NO_USE: &str = "it can't be done while its result is of use";

/// Why a job is refused.
struct Refusal {
    scope: Scope,
    reason: &'static str,
    retry_after: Duration,
    /// Time in which the job could be done at the earliest, and time for which it is of use; zero if
    /// they don't matter.
    early: Duration,
    useful: Duration,
}

/// Shards that a refusal speaks for.
enum Scope {
    Shard,
    AllShards,
}

impl Refusal {
    /// A refusal by this shard alone.
    fn new((reason, retry_after): (&'static str, Duration)) -> Self {
        let (early, useful) = (Duration::ZERO, Duration::ZERO);
        Self { scope: Scope::Shard, reason, retry_after, early, useful }
    }
}

impl Shard {
    pub(super) fn submit(&mut self, ticket: Ticket, job: Arc<Job>, mode: AdmissionMode) {
        let (id, job) = (job.id, job.bounded());
        if self.closed.contains_key(&id) {
            return self.reply(ticket, Answer::Accepted);
        }
        if let Some(known) = self.jobs.get_mut(&id) {
            if known.is_borrowed() {
                return self.reply(ticket, Answer::AcceptedElsewhere);
            }
            if known.durable.is_some() {
                return self.reply(ticket, Answer::Accepted);
            }
            known.effects.push(Effect::Reply { ticket, answer: Answer::Accepted });
            // The commit that contains the job may already be in flight without this effect.
            self.log.mark_changed(id);
            return;
        }
        if let Some(refusal) =
            self.unavailable().or_else(|| self.capacity_refusal(&job, mode)).map(Refusal::new)
        {
            return self.refuse(ticket, &job, refusal);
        }
        match self.decide(&job, mode) {
            Decision::Accept => {}
            Decision::PassOn { early, useful } => {
                let refusal = Refusal { early, useful, ..Refusal::new(DONE_ELSEWHERE) };
                return self.refuse(ticket, &job, refusal);
            }
            Decision::Refuse { early, useful, retry_after } => {
                let refusal = Refusal::new((OF_NO_USE, retry_after));
                let scope = Scope::AllShards;
                return self.refuse(ticket, &job, Refusal { scope, early, useful, ..refusal });
            }
        }
        let images = self.images_of(&job);
        let mut run = JobRun::new(job, images, self.now.steady);
        self.note_accepted(&run);
        run.effects.push(Effect::Reply { ticket, answer: Answer::Accepted });
        self.jobs.insert(id, run);
        self.log.mark_changed(id);
    }

    fn refuse(&mut self, ticket: Ticket, job: &Job, refusal: Refusal) {
        let Refusal { scope, reason, retry_after, early, useful } = refusal;
        self.note(Note::JobRefused {
            job: job.id,
            queue: job.queue.clone(),
            reason: reason.to_owned(),
            retry_ms: Millis(retry_after),
            early_ms: Millis(early),
            useful_ms: Millis(useful),
        });
        let reason = reason.to_owned();
        self.reply(
            ticket,
            match scope {
                Scope::Shard => Answer::NotRun { reason, retry_after },
                Scope::AllShards => Answer::OfNoUse { reason, retry_after },
            },
        );
    }

    /// Reason and retry delay if the shard can't accept any job at the moment.
    fn unavailable(&self) -> Option<(&'static str, Duration)> {
        if self.stage != Stage::Serving {
            return Some(("the shard changes hands", RETRY_AFTER_HANDOVER));
        }
        if self.log.age(self.now.steady) > COMMIT_STALL_TIMEOUT {
            return Some(("the store does not answer", RETRY_AFTER_OUTAGE));
        }
        if self.is_evacuated() {
            return Some(("the failure domain is evacuated", RETRY_AFTER_EVACUATION));
        }
        None
    }

    /// Refuses a job whose long-running tasks would take the capacity reserved for jobs that must
    /// start immediately.
    fn capacity_refusal(&self, job: &Job, mode: AdmissionMode) -> Option<(&'static str, Duration)> {
        let long_running = long_running_milli_cores(job);
        if long_running == 0 {
            return None;
        }
        let summary = self.summary();
        let full =
            summary.exceeds_long_running_limit((summary.lasting + long_running) as f64, mode);
        full.then_some(match mode {
            AdmissionMode::IfRoom => LITTLE_ROOM,
            AdmissionMode::Always => LONG_RUNNING_LIMIT_REACHED,
        })
    }

    pub(super) fn cancel(&mut self, ticket: Ticket, id: JobId) {
        if self.closed.contains_key(&id) {
            return self.reply(ticket, Answer::Cancelling);
        }
        let Some(job) = self.jobs.get_mut(&id).filter(|job| !job.is_borrowed()) else {
            return self.reply(ticket, Answer::NotHere);
        };
        if job.is_final() && job.durable == Some(job.state) {
            return self.reply(ticket, Answer::Cancelling);
        }
        job.effects.push(Effect::Reply { ticket, answer: Answer::Cancelling });
        if !job.is_final() {
            job.state = JobState::Cancelled;
            let (queue, runs) = (job.job.queue.clone(), job.placed_runs().len());
            self.note(Note::JobCancelled { job: id, queue, runs });
            self.stop_job(id, "cancelled");
        }
        self.log.mark_changed(id);
    }

    pub(super) fn show(&mut self, ticket: Ticket, id: JobId) {
        let state = match (self.closed.get(&id), self.jobs.get(&id)) {
            (Some(closed), _) => Some(closed.state),
            (None, Some(job)) if !job.is_borrowed() => {
                job.durable.map(|durable| visible_state(job, durable))
            }
            (None, _) => return self.reply(ticket, Answer::NotHere),
        };
        let answer = state.map_or_else(
            || Answer::Unknown { reason: "the job isn't durable yet; ask again".to_owned() },
            Answer::Shown,
        );
        self.reply(ticket, answer);
    }

    /// Stops all runs of a job.
    pub(super) fn stop_job(&mut self, id: JobId, reason: &'static str) {
        let Some(job) = self.jobs.get(&id) else { return };
        for (task, placed) in job.placed_runs() {
            self.stop_run(&placed.vm, RunKey { task, run: placed.run }, reason);
        }
    }

    pub(super) fn handle_commit_result(&mut self, seq: u64, result: CommitResult) {
        let Some(commit) = self.log.complete(seq) else { return };
        // A proof is no later than the head in the store, by which the next owner dates it.
        if result == CommitResult::Durable {
            self.record_ownership_proof(commit.since);
        }
        match result {
            CommitResult::Durable => {
                self.actions.extend(commit.actions);
                self.log.silence.write_done();
                self.log.rejected.note_taken(&commit.parts);
                self.loans.send_soon(self.now.steady);
                for part in commit.parts {
                    self.handle_job_committed(part.id, part.state, part.record, seq);
                    part.effects.into_iter().for_each(|effect| self.apply_effect(effect));
                }
            }
            CommitResult::JobExists(known) => {
                self.log.requeue(commit, &mut self.jobs);
                known.into_iter().for_each(|id| self.drop_duplicate(id));
            }
            CommitResult::Rejected { reason } => self.handle_rejected_commit(commit, &reason),
            CommitResult::Superseded(outcome) => {
                // The commit may not have been applied, so its effects must not be reported as
                // durable.
                self.stage = Stage::HandedOver;
                for effect in commit.parts.into_iter().flat_map(|part| part.effects) {
                    if let Effect::Reply { ticket, answer } = effect {
                        self.reply_superseded(ticket, answer, outcome);
                    }
                }
            }
        }
    }

    /// Replies to all waiting callers, because this owner no longer decides for the shard.
    pub fn reply_to_all_on_loss(&mut self) -> Vec<Action> {
        let parts = self.log.take_in_flight().map(|commit| commit.parts).unwrap_or_default();
        let sent: IndexSet<JobId> = parts.iter().map(|part| part.id).collect();
        let mut effects = Vec::new();
        for part in parts {
            effects.extend(part.effects.into_iter().map(|effect| (WriteOutcome::Unknown, effect)));
        }
        for job in self.jobs.values_mut() {
            // A new job that is not part of any commit was never written.
            let unwritten = job.record == RecordState::New && !sent.contains(&job.id());
            let outcome = if unwritten { WriteOutcome::No } else { WriteOutcome::Unknown };
            effects.extend(job.effects.drain(..).map(|effect| (outcome, effect)));
        }
        for (outcome, effect) in effects {
            if let Effect::Reply { ticket, answer } = effect {
                self.reply_superseded(ticket, answer, outcome);
            }
        }
        std::mem::take(&mut self.actions)
    }

    fn reply_superseded(&mut self, ticket: Ticket, answer: Answer, outcome: WriteOutcome) {
        let retry_after = RETRY_AFTER_HANDOVER;
        let reason = "the shard has another owner".to_owned();
        let answer = match (outcome, answer) {
            (WriteOutcome::Yes, answer) => answer,
            (WriteOutcome::No, Answer::Accepted) => Answer::NotRun { reason, retry_after },
            (WriteOutcome::No | WriteOutcome::Unknown, _) => Answer::Unknown { reason },
        };
        self.reply(ticket, answer);
    }

    /// Drops a submitted job that already exists in another shard, so that it is not run twice.
    fn drop_duplicate(&mut self, id: JobId) {
        self.drop_unstored(id, &Answer::AcceptedElsewhere);
    }

    /// Drops a job that this shard has not stored, and answers its callers.
    pub(super) fn drop_unstored(&mut self, id: JobId, answer: &Answer) {
        self.log.remove(id);
        let Some(job) = self.jobs.shift_remove(&id) else { return };
        for effect in job.effects {
            if let Effect::Reply { ticket, .. } = effect {
                self.reply(ticket, answer.clone());
            }
        }
        for vm in self.vms.values_mut() {
            vm.runs.retain(|key, _| key.task.job != id);
        }
    }

    fn handle_job_committed(&mut self, id: JobId, state: JobState, record: RecordState, seq: u64) {
        let now = self.now.steady;
        let Some(target_duration) = self.jobs.get(&id).map(|job| self.target_duration(job)) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let before = job.durable.replace(state);
        let was = job.record;
        if was != RecordState::Dropped {
            job.record = record;
        }
        let queue = job.job.queue.clone();
        let (waited, tasks) = (now.saturating_sub(job.since), task_count(&job.job));
        if job.is_borrowed() {
            if record == RecordState::Dropped && !self.log.is_pending(id) {
                self.jobs.shift_remove(&id);
            }
            return;
        }
        if was == RecordState::New {
            let waited_ms = Millis(waited);
            self.note(Note::JobAccepted { job: id, queue: queue.clone(), tasks, waited_ms, seq });
        }
        if state.is_final() && before != Some(state) {
            let aim_ms = Millis(target_duration);
            let (state, took_ms) = (job_state_name(state), Millis(waited));
            self.note(Note::JobEnded { job: id, queue, state, took_ms, aim_ms, seq });
        }
        if record == RecordState::Closed && !self.log.is_pending(id) {
            self.jobs.shift_remove(&id);
            self.closed.insert(id, ClosedJob { state, since: now });
        }
    }

    pub(super) fn apply_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Reply { ticket, answer } => self.reply(ticket, answer),
            Effect::Start { task, run, vm } => self.mark_start_due(task, run, &vm),
            Effect::Forget { vm, number } => {
                if let Some(vm) = self.vms.get_mut(&vm) {
                    vm.ended_runs.mark_durable(number);
                    if !vm.ended_runs.has_unforgotten() {
                        vm.contact.next_poll = vm.contact.next_poll.min(self.now.steady);
                    }
                }
            }
        }
    }

    /// Removes finished jobs whose final state has been kept for the retention time.
    pub(super) fn expire_closed(&mut self) {
        let (now, keep) = (self.now.steady, self.settings.show_for);
        while let Some((id, closed)) = self.closed.first() {
            if now.saturating_sub(closed.since) < keep + SHOW_MARGIN {
                return;
            }
            let id = *id;
            self.closed.shift_remove_index(0);
            self.log.expire(id);
        }
    }

    pub(super) fn reply(&mut self, ticket: Ticket, answer: Answer) {
        self.actions.push(Action::Reply { ticket, answer });
    }
}

/// Added to the retention time of a finished job, because that time is counted from the commit
/// here and not from when the caller hears of it.
const SHOW_MARGIN: Duration = Duration::from_secs(5);

/// The state shown to callers. A job counts as running once one of its tasks has started, even if
/// its durable state is still queued.
fn visible_state(job: &JobRun, durable: JobState) -> JobState {
    match durable {
        JobState::Queued if job.started == Started::Yes => JobState::Running,
        state => state,
    }
}

/// CPU reserved by a job's long-running tasks, in millicores.
pub(super) fn long_running_milli_cores(job: &Job) -> u64 {
    let long_running =
        job.steps.iter().filter(|s| s.life == Life::Lasting && s.share == Share::Reserved);
    long_running.map(|step| u64::from(step.tasks) * u64::from(step.size.milli_cores.0)).sum()
}

fn task_count(job: &Job) -> u32 {
    job.steps.iter().map(|step| step.tasks).sum()
}
