//! Routes callers' requests to the owner of the shard concerned, local or remote.
//!
//! Each call is answered before its deadline, whatever it waits for: an explicit "unknown" tells
//! a caller more than no answer.

#[cfg(test)]
mod tests;

use super::choice::{Refusals, UnreportedLoads};
use super::control::{Control, HandleCall};
use super::links::{self, ForwardCall, PeerLinks};
use super::records::{FindJob, JobLocation};
use super::view::{JobDirectory, Owner, View};
use crate::clock::Clock;
use crate::job::check::{self, JobError};
use crate::job::{Job, JobId, JobState, QueueName};
use crate::shard::{AdmissionMode, Answer, RETRY_AFTER_EVACUATION, RETRY_AFTER_OUTAGE};
use actix::prelude::*;
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;
use tokio::sync::watch;

/// A request that the owner of a shard answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Call {
    Submit(Box<Job>, AdmissionMode),
    Cancel(JobId),
    Show(JobId),
}

/// The answer to a [`Call`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    Answer(Answer),
    /// The daemon called doesn't own the shard; the call had no effect.
    NotOwner,
}

/// Silence of a shard's owner after which a call to it is given up: two hellos are missing.
const OWNER_SILENCE_TIMEOUT: Duration = Duration::from_millis(900);

/// Maximum age of a shard summary whose counts of queued jobs are reported.
const MAX_COUNT_AGE: Duration = Duration::from_millis(1900);

/// How far another daemon's clock may be ahead of what is known of it: hellos tell the time at which
/// they were composed, which can be this long before they are sent.
const MAX_CLOCK_LAG: Duration = Duration::from_secs(1);

/// Delay before a call is retried, possibly at the shard's new owner.
const OWNER_RETRY_DELAY: Duration = Duration::from_millis(80);

/// Longest delay before a call is retried whose job the store has and the owner denies.
const MAX_DENIAL_DELAY: Duration = Duration::from_millis(500);

/// Timeout of one attempt at the owner. A commit takes 5 to 30 ms, and up to 400 ms while the store
/// is slow.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1400);

/// Retry hint when no shard has an owner; it takes up to 2 s until one has.
const RETRY_AFTER_NO_OWNER: Duration = Duration::from_millis(1000);

/// Longest time that a submission waits for a VM that accepts work. A new owner has heard from its VMs
/// by then; VMs that are out of service stay so for seconds.
const MAX_VM_WAIT: Duration = Duration::from_millis(500);

/// Retry hint when owners have no VM that accepts work.
const RETRY_AFTER_NO_VM: Duration = Duration::from_millis(1500);

/// Retry hint for a job that requires a label no VM has; a new VM takes seconds to appear.
const RETRY_AFTER_NO_LABEL: Duration = Duration::from_secs(10);

/// Client for jobs in any shard.
#[derive(Clone)]
pub struct JobClient {
    view: watch::Receiver<Arc<View>>,
    directory: Arc<Mutex<JobDirectory>>,
    control: Addr<Control>,
    links: Addr<PeerLinks>,
    finder: Recipient<FindJob>,
    clock: Arc<dyn Clock>,
    unreported: Arc<Mutex<UnreportedLoads>>,
    /// Time by which every call is answered, set when a planned shutdown begins.
    shutdown_deadline: Arc<OnceLock<Duration>>,
}

/// Outcome of one attempt.
enum Attempt {
    Answered(Answer),
    /// The call had no effect.
    NotRun,
    /// The call may have had an effect.
    Uncertain(String),
}

impl JobClient {
    /// Creates a client that sends its calls through these actors.
    pub fn new(
        view: watch::Receiver<Arc<View>>,
        directory: Arc<Mutex<JobDirectory>>,
        control: Addr<Control>,
        links: Addr<PeerLinks>,
        finder: Recipient<FindJob>,
        clock: Arc<dyn Clock>,
    ) -> Self {
        let (unreported, shutdown_deadline) = Default::default();
        Self { view, directory, control, links, finder, clock, unreported, shutdown_deadline }
    }

    /// Makes every call return before `at`, so that no open call is cut off when the daemon exits.
    /// Applies to all clones; only the first value counts.
    pub fn set_shutdown_deadline(&self, at: Duration) {
        self.shutdown_deadline.get_or_init(|| at);
    }

    /// Time until a call's deadline or the daemon's shutdown, whichever is first.
    fn time_left(&self, deadline: Duration) -> Duration {
        let deadline = self
            .shutdown_deadline
            .get()
            .map_or(deadline, |shutdown_deadline| deadline.min(*shutdown_deadline));
        deadline.saturating_sub(self.clock.now())
    }

    /// The view published last by the control actor.
    pub fn view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    /// Submits a job.
    pub async fn submit(&self, job: Job, budget: Duration) -> Answer {
        if let Err(error) = check::check_fits(&job, &self.view().vm_shapes) {
            return impossible_answer(&error);
        }
        let deadline = self.clock.now() + budget;
        let mut denial_delay = OWNER_RETRY_DELAY;
        let mut refusals = Refusals::default();
        let vm_deadline = deadline.min(self.clock.now() + MAX_VM_WAIT);
        let mut last = None;
        loop {
            let cached = self.cached_shard(job.id).map(|shard| (shard, AdmissionMode::Always));
            let is_cached = cached.is_some();
            if !is_cached && self.view().lacks_store() {
                let refusal = not_run("no shard's owner reaches the store", RETRY_AFTER_OUTAGE);
                return refusals.or_unknown(refusal);
            }
            if !is_cached && let Err(error) = self.check_evacuations(&job) {
                return refusals.or_unknown(impossible_answer(&error));
            }
            let Some((shard, mode)) = cached.or_else(|| self.choose(&job, &refusals)) else {
                let (refusal, until) = if self.view().lacks_vms() {
                    (not_run("no VM accepts work just now", RETRY_AFTER_NO_VM), vm_deadline)
                } else {
                    (not_run("no shard has an owner just now", RETRY_AFTER_NO_OWNER), deadline)
                };
                if refusals.is_conditional() && self.wait_to_retry(until).await {
                    continue;
                }
                return refusals.or_unknown(last.unwrap_or(refusal));
            };
            match self.attempt(&shard, Call::Submit(Box::new(job.clone()), mode), deadline).await {
                Attempt::Answered(Answer::Accepted) => {
                    self.remember_shard(job.id, &shard);
                    return Answer::Accepted;
                }
                Attempt::Answered(Answer::AcceptedElsewhere) => return Answer::Accepted,
                Attempt::Answered(answer @ Answer::NotRun { .. }) => {
                    last = Some(answer.clone());
                    // The shard that already has the job is retried; no other shard is tried.
                    if is_cached && !self.wait_to_retry(deadline).await {
                        return refusals.or_unknown(answer);
                    }
                    refusals.add(shard, mode);
                }
                Attempt::Answered(Answer::OfNoUse { reason, retry_after }) => {
                    // An earlier call for the same job may have been accepted without an answer.
                    // The cached shard may be the one that has just said it doesn't have the job.
                    match self.find_in_store(job.id, deadline).await {
                        JobLocation::NotFound => {
                            return refusals.or_unknown(Answer::NotRun { reason, retry_after });
                        }
                        JobLocation::Shard(_) => {
                            if !self.wait_after_denial(&mut denial_delay, deadline).await {
                                let reason = "the job may have been accepted before".to_owned();
                                return Answer::Unknown { reason };
                            }
                        }
                        JobLocation::Unknown(reason) => return Answer::Unknown { reason },
                    }
                }
                Attempt::Answered(answer) => return answer,
                // The store keeps ids unique over all shards, so that another shard can be tried:
                // whichever commits the job first runs it.
                Attempt::Uncertain(reason) if !is_cached && !self.time_left(deadline).is_zero() => {
                    refusals.add_unanswered(shard, reason);
                }
                Attempt::Uncertain(reason) => return Answer::Unknown { reason },
                Attempt::NotRun => {
                    if !self.wait_to_retry(deadline).await {
                        let refusal =
                            not_run("the job's shard has no owner just now", RETRY_AFTER_NO_OWNER);
                        return refusals.or_unknown(last.unwrap_or(refusal));
                    }
                }
            }
        }
    }

    /// Cancels a job.
    pub async fn cancel(&self, id: JobId, budget: Duration) -> Answer {
        self.call_existing(id, Call::Cancel(id), budget).await
    }

    /// Returns a job's state.
    pub async fn show(&self, id: JobId, budget: Duration) -> Answer {
        self.call_existing(id, Call::Show(id), budget).await
    }

    /// Number of a queue's jobs without any started task; `None` if a shard's count is out of date.
    pub fn queued_jobs(&self, queue: &QueueName) -> Option<u32> {
        let view = self.view();
        let now = self.clock.now();
        let mut sum = 0;
        for shard in view.shards.values() {
            if now.saturating_sub(shard.summary_at) > MAX_COUNT_AGE {
                return None;
            }
            let queued = shard.summary.queued.iter().find(|(name, _)| name == queue);
            sum += queued.map_or(0, |(_, count)| *count);
        }
        Some(sum)
    }

    /// Makes a call that concerns a job submitted before.
    async fn call_existing(&self, id: JobId, call: Call, budget: Duration) -> Answer {
        let deadline = self.clock.now() + budget;
        let mut denial_delay = OWNER_RETRY_DELAY;
        loop {
            let shard = match self.locate(id, deadline).await {
                JobLocation::Shard(shard) => shard,
                JobLocation::NotFound => return Answer::NotHere,
                JobLocation::Unknown(reason) => {
                    if self.wait_to_retry(deadline).await {
                        continue;
                    }
                    return Answer::Unknown { reason };
                }
            };
            match self.attempt(&shard, call.clone(), deadline).await {
                Attempt::Answered(Answer::NotHere) => {
                    match self.find_in_store(id, deadline).await {
                        JobLocation::Shard(other) if other != shard => {}
                        // Either a finished job is being deleted, or the daemon asked has lost the
                        // shard without knowing it, and the next owner has accepted the job.
                        JobLocation::Shard(_) => {
                            if !self.wait_after_denial(&mut denial_delay, deadline).await {
                                let reason = "the shard's owner doesn't know the job".to_owned();
                                return Answer::Unknown { reason };
                            }
                        }
                        JobLocation::NotFound => return Answer::NotHere,
                        JobLocation::Unknown(reason) => return Answer::Unknown { reason },
                    }
                }
                Attempt::Answered(answer) => return answer,
                // These calls are idempotent, and the retry replaces an unresponsive connection.
                Attempt::Uncertain(reason) => {
                    if !self.wait_to_retry(deadline).await {
                        return Answer::Unknown { reason };
                    }
                }
                Attempt::NotRun => {
                    if !self.wait_to_retry(deadline).await {
                        let reason = "the job's shard has no owner just now".to_owned();
                        return Answer::Unknown { reason };
                    }
                }
            }
        }
    }

    async fn locate(&self, id: JobId, deadline: Duration) -> JobLocation {
        match self.cached_shard(id) {
            Some(shard) => JobLocation::Shard(shard),
            None => self.find_in_store(id, deadline).await,
        }
    }

    /// Looks up a job's shard in the store.
    async fn find_in_store(&self, id: JobId, deadline: Duration) -> JobLocation {
        // The store's own timeout may be longer than the time that the call has left.
        let found =
            tokio::time::timeout(self.time_left(deadline), self.finder.send(FindJob(id))).await;
        match found {
            Ok(Ok(location)) => {
                if let JobLocation::Shard(shard) = &location {
                    self.remember_shard(id, shard);
                }
                location
            }
            Ok(Err(e)) => JobLocation::Unknown(e.to_string()),
            Err(_) => JobLocation::Unknown("the store has not said where the job is".to_owned()),
        }
    }

    async fn attempt(&self, shard: &str, call: Call, deadline: Duration) -> Attempt {
        let known = self.view.borrow().shards.get(shard).cloned();
        let (owner, clock) = known.map_or((None, None), |shard| (shard.owner, shard.clock));
        let left = self.time_left(deadline);
        if left.is_zero() {
            // Nothing was sent, so the caller can be told that the call did not run.
            return Attempt::NotRun;
        }
        let timeout = left.min(ATTEMPT_TIMEOUT);
        let now = self.clock.now();
        match owner {
            None => Attempt::NotRun,
            Some(Owner::Local) => {
                let (shard, valid_until) = (shard.to_owned(), Some(now + left));
                self.attempt_locally(HandleCall { shard, call, valid_until }, timeout).await
            }
            Some(Owner::Remote(to)) => {
                let valid_until = clock.map(|clock| clock.at(now) + left + MAX_CLOCK_LAG);
                let shard_name = shard.to_owned();
                let msg = ForwardCall { to, shard: shard_name, call, valid_until, timeout };
                tokio::select! {
                    sent = self.links.send(msg) => match sent {
                        Ok(Ok(Reply::Answer(answer))) => Attempt::Answered(answer),
                        Ok(Ok(Reply::NotOwner)) => Attempt::NotRun,
                        Ok(Err(links::Error::NoAnswer { reason, .. })) => {
                            Attempt::Uncertain(reason)
                        }
                        Ok(Err(_)) => Attempt::NotRun,
                        Err(e) => Attempt::Uncertain(e.to_string()),
                    },
                    () = self.owner_falls_silent(shard) => {
                        Attempt::Uncertain("the shard's owner has fallen silent".to_owned())
                    }
                }
            }
        }
    }

    /// Completes if no hello of a shard's owner arrives in [`OWNER_SILENCE_TIMEOUT`] from now.
    async fn owner_falls_silent(&self, shard: &str) {
        let sent = self.clock.now();
        tokio::time::sleep(OWNER_SILENCE_TIMEOUT).await;
        if self.view().shards.get(shard).is_some_and(|shard| shard.summary_at > sent) {
            std::future::pending::<()>().await;
        }
    }

    async fn attempt_locally(&self, msg: HandleCall, timeout: Duration) -> Attempt {
        match tokio::time::timeout(timeout, self.control.send(msg)).await {
            Ok(Ok(Reply::Answer(answer))) => Attempt::Answered(answer),
            Ok(Ok(Reply::NotOwner)) => Attempt::NotRun,
            Ok(Err(e)) => Attempt::Uncertain(e.to_string()),
            Err(_) => Attempt::Uncertain("timeout".to_owned()),
        }
    }

    fn check_evacuations(&self, job: &Job) -> check::Result<()> {
        let view = self.view();
        if view.evacuations.is_empty() {
            return Ok(());
        }
        check::check_evacuations(job, &view.vm_shapes, &view.evacuations)
    }

    /// Chooses a shard for a job, and counts the job towards that shard's load.
    fn choose(&self, job: &Job, refusals: &Refusals) -> Option<(String, AdmissionMode)> {
        let mut unreported = self.unreported.lock().unwrap_or_else(PoisonError::into_inner);
        unreported.choose(&self.view(), self.clock.now(), job, refusals)
    }

    fn cached_shard(&self, id: JobId) -> Option<String> {
        let directory = self.directory.lock().unwrap_or_else(PoisonError::into_inner);
        directory.find(id).map(|shard| shard.to_string())
    }

    fn remember_shard(&self, id: JobId, shard: &str) {
        let mut directory = self.directory.lock().unwrap_or_else(PoisonError::into_inner);
        directory.add(id, &Arc::from(shard));
    }

    /// Waits before a retry; returns `false` if no time is left for one.
    async fn wait_to_retry(&self, deadline: Duration) -> bool {
        self.wait(OWNER_RETRY_DELAY, deadline).await
    }

    /// Same, after an owner denied a job that the store has, and doubles the delay for the next time:
    /// each such retry costs a read of the store.
    async fn wait_after_denial(&self, delay: &mut Duration, deadline: Duration) -> bool {
        let denial_delay = *delay;
        *delay = MAX_DENIAL_DELAY.min(2 * denial_delay);
        self.wait(denial_delay, deadline).await
    }

    /// Waits before a retry, for less than `delay` if the retry would be late.
    async fn wait(&self, delay: Duration, deadline: Duration) -> bool {
        let left = self.time_left(deadline);
        if left <= 2 * OWNER_RETRY_DELAY {
            return false;
        }
        tokio::time::sleep(delay.min(left.saturating_sub(OWNER_RETRY_DELAY))).await;
        true
    }
}

/// The answer for a job that no VM can run. A missing label may appear with a new VM and an
/// evacuation may be withdrawn, so that these errors can be retried.
fn impossible_answer(error: &JobError) -> Answer {
    let reason = error.to_string();
    match error {
        JobError::NoSuchLabel { .. } => {
            Answer::NotRun { reason, retry_after: RETRY_AFTER_NO_LABEL }
        }
        JobError::Evacuated(_) => Answer::NotRun { reason, retry_after: RETRY_AFTER_EVACUATION },
        _ => Answer::Impossible { reason },
    }
}

fn not_run(reason: &str, retry_after: Duration) -> Answer {
    Answer::NotRun { reason: reason.to_owned(), retry_after }
}

/// Whether an answer reports a final job state.
pub fn is_final(answer: &Answer) -> bool {
    matches!(answer, Answer::Shown(state) if JobState::is_final(*state))
}
