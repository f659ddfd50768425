//! Routes callers' requests to the owner of the shard concerned, local or remote.
//!
//! Each call is answered before its deadline, whatever it waits for: an explicit "unknown" tells
//! a caller more than no answer.

#[cfg(test)]
mod tests;

use super::control::{Control, HandleCall};
use super::links::{self, ForwardCall, PeerLinks};
use super::records::{FindJob, JobLocation};
use super::view::{JobDirectory, Owner, ShardView, View};
use crate::clock::Clock;
use crate::job::check::{self, JobError};
use crate::job::{Image, Job, JobId, JobState, Life, QueueName, Share};
use crate::shard::{AdmissionMode, Answer, Summary};
use actix::prelude::*;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64;

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

/// Age from which a shard's summary is too old to choose a shard by.
const MAX_SUMMARY_AGE: Duration = Duration::from_millis(2500);

/// Maximum age of a shard summary whose counts of queued jobs are reported.
const MAX_COUNT_AGE: Duration = Duration::from_millis(1900);

/// Delay before a call is retried, possibly at the shard's new owner.
const OWNER_RETRY_DELAY: Duration = Duration::from_millis(80);

/// Timeout of one attempt at the owner. A commit takes 5 to 30 ms, and up to 400 ms while the store
/// is slow.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1400);

/// Retry hint when no shard has an owner; it takes up to 2 s until one has.
const RETRY_AFTER_NO_OWNER: Duration = Duration::from_millis(1000);

/// Retry hint for a job that requires a label no VM has; a new VM takes seconds to appear.
const RETRY_AFTER_NO_LABEL: Duration = Duration::from_secs(10);

/// Weight of a job's own work relative to the work queued before it. A shard with few VMs that suit
/// the job is worse than one with a longer queue of work that runs on other VMs.
const OWN_WORK_WEIGHT: f64 = 3.0;

/// Client for jobs in any shard.
#[derive(Clone)]
pub struct JobClient {
    view: watch::Receiver<Arc<View>>,
    directory: Arc<Mutex<JobDirectory>>,
    control: Addr<Control>,
    links: Addr<PeerLinks>,
    finder: Recipient<FindJob>,
    clock: Arc<dyn Clock>,
    unreported: Arc<Mutex<IndexMap<String, UnreportedLoad>>>,
    /// Time by which every call is answered, set when a planned shutdown begins.
    shutdown_deadline: Arc<OnceLock<Duration>>,
}

/// Load sent to a shard that its last summary doesn't include yet.
#[derive(Clone, Copy, Debug, Default)]
struct UnreportedLoad {
    /// Time of the summary that this load is added to.
    summary_at: Duration,
    reserved: f64,
    leftover_work: f64,
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
        let mut refusals = Refusals::default();
        let mut last = not_run("no shard has an owner just now", RETRY_AFTER_NO_OWNER);
        loop {
            let cached = self.cached_shard(job.id).map(|shard| (shard, AdmissionMode::Always));
            let is_cached = cached.is_some();
            let Some((shard, mode)) = cached.or_else(|| self.choose(&job, &refusals)) else {
                if refusals.unconditional.is_empty() && self.wait_to_retry(deadline).await {
                    continue;
                }
                return last;
            };
            match self.attempt(&shard, Call::Submit(Box::new(job.clone()), mode), deadline).await {
                Attempt::Answered(Answer::Accepted) => {
                    self.remember_shard(job.id, &shard);
                    return Answer::Accepted;
                }
                Attempt::Answered(Answer::AcceptedElsewhere) => return Answer::Accepted,
                Attempt::Answered(answer @ Answer::NotRun { .. }) => {
                    last = answer;
                    // The shard that already has the job is retried; no other shard is tried.
                    if is_cached && !self.wait_to_retry(deadline).await {
                        return last;
                    }
                    refusals.add(shard, mode);
                }
                Attempt::Answered(answer) => return answer,
                Attempt::Uncertain(reason) => return Answer::Unknown { reason },
                Attempt::NotRun => {
                    if !self.wait_to_retry(deadline).await {
                        return last;
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
                        // A finished job that its owner has deleted is deleted from the store, too.
                        JobLocation::Shard(_) | JobLocation::NotFound => return Answer::NotHere,
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
        let owner = self.view.borrow().shards.get(shard).and_then(|s| s.owner.clone());
        let left = self.time_left(deadline);
        if left.is_zero() {
            // Nothing was sent, so the caller can be told that the call did not run.
            return Attempt::NotRun;
        }
        let timeout = left.min(ATTEMPT_TIMEOUT);
        match owner {
            None => Attempt::NotRun,
            Some(Owner::Local) => self.attempt_locally(shard, call, timeout).await,
            Some(Owner::Remote(to)) => {
                let msg = ForwardCall { to, shard: shard.to_owned(), call, timeout };
                match self.links.send(msg).await {
                    Ok(Ok(Reply::Answer(answer))) => Attempt::Answered(answer),
                    Ok(Ok(Reply::NotOwner)) => Attempt::NotRun,
                    Ok(Err(links::Error::NoAnswer { reason, .. })) => Attempt::Uncertain(reason),
                    Ok(Err(_)) => Attempt::NotRun,
                    Err(e) => Attempt::Uncertain(e.to_string()),
                }
            }
        }
    }

    async fn attempt_locally(&self, shard: &str, call: Call, timeout: Duration) -> Attempt {
        let msg = HandleCall { shard: shard.to_owned(), call };
        match tokio::time::timeout(timeout, self.control.send(msg)).await {
            Ok(Ok(Reply::Answer(answer))) => Attempt::Answered(answer),
            Ok(Ok(Reply::NotOwner)) => Attempt::NotRun,
            Ok(Err(e)) => Attempt::Uncertain(e.to_string()),
            Err(_) => Attempt::Uncertain("timeout".to_owned()),
        }
    }

    /// Chooses the shard with the lowest estimated cost for a job.
    fn choose(&self, job: &Job, refusals: &Refusals) -> Option<(String, AdmissionMode)> {
        let (view, now) = (self.view(), self.clock.now());
        let demand = Demand::of(job, refusals);
        let is_candidate = |(_, shard): &(&String, &ShardView)| {
            shard.owner.is_some()
                && now.saturating_sub(shard.summary_at) < MAX_SUMMARY_AGE
                && shard.summary.vms > 0
        };
        let mut unreported = self.unreported.lock().unwrap_or_else(PoisonError::into_inner);
        let candidates: Vec<(&String, &ShardView, UnreportedLoad)> = view
            .shards
            .iter()
            .filter(is_candidate)
            .map(|(name, shard)| {
                let load =
                    unreported.get(name).filter(|l| l.summary_at == shard.summary_at).copied();
                (name, shard, load.unwrap_or_default())
            })
            .collect();
        let best = |mode| {
            let costs = candidates.iter().filter_map(|(name, shard, load)| {
                let cost = demand.cost(name, &shard.summary, load, mode)?;
                Some((*name, *shard, cost))
            });
            costs.min_by(|(_, _, a), (_, _, b)| a.total_cmp(b)).map(|best| (best, mode))
        };
        let ((name, shard, _), mode) =
            best(AdmissionMode::IfRoom).or_else(|| best(AdmissionMode::Always))?;
        let entry = unreported.entry(name.clone()).or_default();
        if entry.summary_at != shard.summary_at {
            *entry = UnreportedLoad { summary_at: shard.summary_at, ..UnreportedLoad::default() };
        }
        entry.reserved += demand.reserved;
        entry.leftover_work += demand.leftover_work;
        Some((name.clone(), mode))
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
        if self.time_left(deadline) <= 2 * OWNER_RETRY_DELAY {
            return false;
        }
        tokio::time::sleep(OWNER_RETRY_DELAY).await;
        true
    }
}

/// The answer for a job that no VM can run. A missing label may appear with a new VM, so that
/// error can be retried.
fn impossible_answer(error: &JobError) -> Answer {
    let reason = error.to_string();
    match error {
        JobError::NoSuchLabel { .. } => {
            Answer::NotRun { reason, retry_after: RETRY_AFTER_NO_LABEL }
        }
        _ => Answer::Impossible { reason },
    }
}

/// Resources that a job requires of a shard.
struct Demand<'a> {
    /// Largest concurrent reservation, in thousandths of a core.
    reserved: f64,
    /// Work that runs on unreserved capacity, in milliseconds times thousandths of a core.
    leftover_work: f64,
    /// Image of the first step with such work that names one.
    leftover_image: Option<&'a Image>,
    /// Image of the job's lasting tasks, or its queue if they name no image; `None` without such
    /// tasks.
    lasting: Option<&'a str>,
    refusals: &'a Refusals,
}

/// Shards that refused a job.
#[derive(Debug, Default)]
struct Refusals {
    /// Refused because they had little room; they may take the job under [`AdmissionMode::Always`].
    lacking_room: Vec<String>,
    /// Refused regardless of room.
    unconditional: Vec<String>,
}

impl Refusals {
    fn add(&mut self, shard: String, mode: AdmissionMode) {
        match mode {
            AdmissionMode::IfRoom => self.lacking_room.push(shard),
            AdmissionMode::Always => self.unconditional.push(shard),
        }
    }

    fn contains(&self, shard: &str, mode: AdmissionMode) -> bool {
        let lists = |shards: &[String]| shards.iter().any(|name| name == shard);
        lists(&self.unconditional) || (mode == AdmissionMode::IfRoom && lists(&self.lacking_room))
    }
}

impl<'a> Demand<'a> {
    fn of(job: &'a Job, refusals: &'a Refusals) -> Self {
        let mut demand = Self {
            reserved: 0.0,
            leftover_work: 0.0,
            leftover_image: None,
            lasting: None,
            refusals,
        };
        for step in &job.steps {
            let cores = f64::from(step.tasks) * f64::from(step.size.milli_cores.0);
            match step.share {
                Share::Reserved => demand.reserved = demand.reserved.max(cores),
                Share::Leftover => {
                    demand.leftover_work += cores * step.estimate.as_millis() as f64;
                    demand.leftover_image = demand.leftover_image.or(step.image.as_ref());
                }
            }
            if step.life == Life::Lasting {
                demand.lasting =
                    Some(step.image.as_ref().map_or(job.queue.as_str(), Image::as_str));
            }
        }
        demand
    }

    /// Estimated cost of running the job in a shard, lower being better; `None` excludes the shard.
    fn cost(
        &self,
        name: &str,
        summary: &Summary,
        load: &UnreportedLoad,
        mode: AdmissionMode,
    ) -> Option<f64> {
        if self.refusals.contains(name, mode) {
            return None;
        }
        let capacity = (summary.capacity as f64).max(1.0);
        let free = summary.free as f64 - load.reserved - self.reserved;
        if self.leftover_work > 0.0 {
            let queued = summary.leftover_work as f64 + load.leftover_work;
            let wait = queued / (summary.leftover as f64).max(1.0);
            return Some(
                wait + OWN_WORK_WEIGHT * self.leftover_work / self.leftover(summary).max(1.0),
            );
        }
        let Some(image) = self.lasting else {
            return Some(summary.waiting_work as f64 / capacity - free / capacity);
        };
        let lasting = summary.lasting as f64 + load.reserved + self.reserved;
        match mode {
            AdmissionMode::IfRoom if summary.exceeds_long_running_limit(lasting, mode) => None,
            // The shard with the most room for lasting tasks was tried first and refused. Trying
            // hundreds of shards with less room one by one would use up the call's time.
            AdmissionMode::Always
                if !self.refusals.unconditional.is_empty()
                    && summary.exceeds_long_running_limit(lasting, mode) =>
            {
                None
            }
            // The hash sends all lasting tasks of an image to the same shard, whichever daemon
            // chooses. Less leftover work is then left without a VM where it disturbs no image.
            AdmissionMode::IfRoom => Some(xxh3_64(format!("{image}/{name}").as_bytes()) as f64),
            AdmissionMode::Always => Some(lasting / capacity),
        }
    }

    /// Capacity available to the job's leftover work, in thousandths of a core.
    fn leftover(&self, summary: &Summary) -> f64 {
        let harmless =
            summary.harmless.iter().find(|(image, _)| Some(image) == self.leftover_image);
        harmless.map_or(summary.leftover, |(_, harmless)| *harmless) as f64
    }
}

fn not_run(reason: &str, retry_after: Duration) -> Answer {
    Answer::NotRun { reason: reason.to_owned(), retry_after }
}

/// Whether an answer reports a final job state.
pub fn is_final(answer: &Answer) -> bool {
    matches!(answer, Answer::Shown(state) if JobState::is_final(*state))
}
