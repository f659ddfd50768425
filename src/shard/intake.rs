//! Callers' calls: handing a job in, giving it up, asking for its state.

use super::event::{Action, Answer, CommitResult, Landed, Urge};
use super::job_run::{Effect, JobRun, RecordState, Started};
use super::settings::STALLED_COMMIT;
use super::vm_run::RunKey;
use super::{Closed, Shard, Stage};
use crate::ids::Ticket;
use crate::job::{Job, JobId, Life, Share, ShownState};
use crate::note::{Ms, Note, state_word};
use indexmap::IndexSet;
use std::sync::Arc;
use std::time::Duration;

/// When to come back to a shard that changes hands; a hand-over takes a tenth of a second.
const RETRY_HAND_OVER: Duration = Duration::from_millis(300);

/// When to come back while the store is away; outages last for seconds.
const RETRY_OUTAGE: Duration = Duration::from_millis(1500);

/// Answer of a shard that takes no more lasting tasks from anybody. Room comes back as other jobs are
/// cancelled, which takes seconds.
const NO_MORE: (&str, Duration) =
    ("lasting tasks have all the room that they may take", Duration::from_secs(2));

/// Answer of a shard that has little room for a job's lasting tasks.
const FULL: (&str, Duration) = ("other shards have more room", Duration::ZERO);

impl Shard {
    pub(super) fn submit(&mut self, ticket: Ticket, job: Arc<Job>, urge: Urge) {
        let id = job.id;
        if self.closed.contains_key(&id) {
            return self.reply(ticket, Answer::Accepted);
        }
        if let Some(known) = self.jobs.get_mut(&id) {
            if known.is_guest() {
                return self.reply(ticket, Answer::AcceptedElsewhere);
            }
            if known.durable.is_some() {
                return self.reply(ticket, Answer::Accepted);
            }
            known.effects.push(Effect::Reply { ticket, answer: Answer::Accepted });
            // The effect may have missed the commit that the job is in.
            self.log.touch(id);
            return;
        }
        if let Some((reason, retry_after)) = self.refusal().or_else(|| self.is_full(&job, urge)) {
            let note = Note::JobRefused {
                job: id,
                queue: job.queue.clone(),
                reason: reason.to_owned(),
                retry_ms: Ms(retry_after),
            };
            self.note(note);
            let reason = reason.to_owned();
            return self.reply(ticket, Answer::NotRun { reason, retry_after });
        }
        let images = self.images_of(&job);
        let mut run = JobRun::new(job, images, self.now.steady);
        run.effects.push(Effect::Reply { ticket, answer: Answer::Accepted });
        self.jobs.insert(id, run);
        self.log.touch(id);
    }

    /// Why nothing is accepted just now.
    fn refusal(&self) -> Option<(&'static str, Duration)> {
        if self.stage != Stage::Serving {
            return Some(("the shard changes hands", RETRY_HAND_OVER));
        }
        if self.log.age(self.now.steady) > STALLED_COMMIT {
            return Some(("the store does not answer", RETRY_OUTAGE));
        }
        None
    }

    /// The refusal of a job whose lasting tasks would take what is kept for work that must start at once.
    fn is_full(&self, job: &Job, urge: Urge) -> Option<(&'static str, Duration)> {
        let lasting = lasting_cores(job);
        if lasting == 0 {
            return None;
        }
        let summary = self.summary();
        let full = summary.is_full_with((summary.lasting + lasting) as f64, urge);
        full.then_some(match urge {
            Urge::IfRoom => FULL,
            Urge::Always => NO_MORE,
        })
    }

    pub(super) fn cancel(&mut self, ticket: Ticket, id: JobId) {
        if self.closed.contains_key(&id) {
            return self.reply(ticket, Answer::Cancelling);
        }
        let Some(job) = self.jobs.get_mut(&id).filter(|job| !job.is_guest()) else {
            return self.reply(ticket, Answer::NotHere);
        };
        if job.is_final() && job.durable == Some(job.state) {
            return self.reply(ticket, Answer::Cancelling);
        }
        job.effects.push(Effect::Reply { ticket, answer: Answer::Cancelling });
        if !job.is_final() {
            job.state = ShownState::Cancelled;
            let (queue, runs) = (job.job.queue.clone(), job.places().len());
            self.note(Note::JobCancelled { job: id, queue, runs });
            self.stop_job(id, "cancelled");
        }
        self.log.touch(id);
    }

    pub(super) fn show(&mut self, ticket: Ticket, id: JobId) {
        let state = match (self.closed.get(&id), self.jobs.get(&id)) {
            (Some(closed), _) => Some(closed.state),
            (None, Some(job)) if !job.is_guest() => job.durable.map(|durable| shown(job, durable)),
            (None, _) => return self.reply(ticket, Answer::NotHere),
        };
        let answer = state.map_or_else(
            || Answer::Unknown { reason: "the job isn't durable yet; ask again".to_owned() },
            Answer::Shown,
        );
        self.reply(ticket, answer);
    }

    /// Ends everything of a job.
    pub(super) fn stop_job(&mut self, id: JobId, reason: &'static str) {
        let Some(job) = self.jobs.get(&id) else { return };
        for (task, place) in job.places() {
            self.stop_run(&place.vm, RunKey { task, run: place.run }, reason);
        }
    }

    pub(super) fn committed(&mut self, seq: u64, result: CommitResult) {
        let Some(commit) = self.log.answered(seq) else { return };
        match result {
            CommitResult::Durable => {
                self.out.extend(commit.actions);
                self.log.silence.written();
                self.loans.hurry(self.now.steady);
                for part in commit.parts {
                    self.recorded(part.id, part.state, part.record, seq);
                    part.effects.into_iter().for_each(|effect| self.take_effect(effect));
                }
            }
            CommitResult::JobExists(known) => {
                self.log.redo(commit, &mut self.jobs);
                known.into_iter().for_each(|id| self.drop_known(id));
            }
            CommitResult::Superseded(landed) => {
                // What was in the commit isn't durable, and nothing may be said as if it were.
                self.stage = Stage::HandedOver;
                for effect in commit.parts.into_iter().flat_map(|part| part.effects) {
                    if let Effect::Reply { ticket, answer } = effect {
                        self.answer_superseded(ticket, answer, landed);
                    }
                }
            }
        }
    }

    /// Answers whoever waits: the shard is not decided on here any more.
    pub fn abandon(&mut self) -> Vec<Action> {
        let parts = self.log.abandon().map(|commit| commit.parts).unwrap_or_default();
        let sent: IndexSet<JobId> = parts.iter().map(|part| part.id).collect();
        let mut effects = Vec::new();
        for part in parts {
            effects.extend(part.effects.into_iter().map(|effect| (Landed::Unknown, effect)));
        }
        for job in self.jobs.values_mut() {
            // What isn't in any commit was never written.
            let unwritten = job.record == RecordState::New && !sent.contains(&job.id());
            let landed = if unwritten { Landed::No } else { Landed::Unknown };
            effects.extend(job.effects.drain(..).map(|effect| (landed, effect)));
        }
        for (landed, effect) in effects {
            if let Effect::Reply { ticket, answer } = effect {
                self.answer_superseded(ticket, answer, landed);
            }
        }
        std::mem::take(&mut self.out)
    }

    fn answer_superseded(&mut self, ticket: Ticket, answer: Answer, landed: Landed) {
        let retry_after = RETRY_HAND_OVER;
        let reason = "the shard has another owner".to_owned();
        let answer = match (landed, answer) {
            (Landed::Yes, answer) => answer,
            (Landed::No, Answer::Accepted) => Answer::NotRun { reason, retry_after },
            (Landed::No | Landed::Unknown, _) => Answer::Unknown { reason },
        };
        self.reply(ticket, answer);
    }

    /// A job that was handed in here is known elsewhere: it remains one job.
    fn drop_known(&mut self, id: JobId) {
        self.log.forget(id);
        let Some(job) = self.jobs.shift_remove(&id) else { return };
        for effect in job.effects {
            if let Effect::Reply { ticket, .. } = effect {
                self.reply(ticket, Answer::AcceptedElsewhere);
            }
        }
        for vm in self.vms.values_mut() {
            vm.runs.retain(|key, _| key.task.job != id);
        }
    }

    fn recorded(&mut self, id: JobId, state: ShownState, record: RecordState, seq: u64) {
        let now = self.now.steady;
        let Some(aim) = self.jobs.get(&id).map(|job| self.aim(job)) else { return };
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let before = job.durable.replace(state);
        let was = std::mem::replace(&mut job.record, record);
        let queue = job.job.queue.clone();
        let (waited, tasks) = (now.saturating_sub(job.since), tasks_of(&job.job));
        if job.is_guest() {
            if record == RecordState::Dropped && !self.log.waits(id) {
                self.jobs.shift_remove(&id);
            }
            return;
        }
        if was == RecordState::New {
            let waited_ms = Ms(waited);
            self.note(Note::JobAccepted { job: id, queue: queue.clone(), tasks, waited_ms, seq });
        }
        if state.is_final() && before != Some(state) {
            let aim_ms = Ms(aim);
            let (state, took_ms) = (state_word(state), Ms(waited));
            self.note(Note::JobEnded { job: id, queue, state, took_ms, aim_ms, seq });
        }
        if record == RecordState::Closed && !self.log.waits(id) {
            self.jobs.shift_remove(&id);
            self.closed.insert(id, Closed { state, since: now });
        }
    }

    pub(super) fn take_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Reply { ticket, answer } => self.reply(ticket, answer),
            Effect::Start { task, run, vm } => self.start_bound(task, run, &vm),
            Effect::Forget { vm, number } => {
                if let Some(vm) = self.vms.get_mut(&vm) {
                    vm.ends.settle(number);
                    if !vm.ends.has_listed() {
                        vm.contact.next_look = vm.contact.next_look.min(self.now.steady);
                    }
                }
            }
        }
    }

    /// Forgets jobs whose final state has been shown for long enough.
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
        self.out.push(Action::Reply { ticket, answer });
    }
}

/// Added to the time that a finished job is shown for, counted from here and not from the caller.
const SHOW_MARGIN: Duration = Duration::from_secs(5);

/// What callers are shown: a job whose start isn't durable is shown as queued.
fn shown(job: &JobRun, durable: ShownState) -> ShownState {
    match durable {
        ShownState::Queued if job.started == Started::Yes => ShownState::Running,
        state => state,
    }
}

/// Processors that a job's lasting tasks reserve, in thousandths of a core.
pub(super) fn lasting_cores(job: &Job) -> u64 {
    let lasting =
        job.steps.iter().filter(|s| s.life == Life::Lasting && s.share == Share::Reserved);
    lasting.map(|step| u64::from(step.tasks) * u64::from(step.size.milli_cores.0)).sum()
}

fn tasks_of(job: &Job) -> u32 {
    job.steps.iter().map(|step| step.tasks).sum()
}
