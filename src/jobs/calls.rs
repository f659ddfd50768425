//! Callers' calls, made at the owner of the shard that they concern, wherever that is.
//!
//! Each call is answered within its time, whatever it waits for: a caller without an answer knows
//! less than one who is told that nothing is known yet.

#[cfg(test)]
mod tests;

use super::control::{Control, TakeCall};
use super::links::{self, Links, PassOn};
use super::records::{FindJob, Found};
use super::view::{Directory, Owner, ShardView, View};
use crate::clock::Clock;
use crate::job::check::{self, Fault};
use crate::job::{Image, Job, JobId, Life, QueueName, Share, ShownState};
use crate::shard::{Answer, Summary, Urge};
use actix::prelude::*;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64;

/// A call that a shard's owner answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Call {
    Submit(Box<Job>, Urge),
    Cancel(JobId),
    Show(JobId),
}

/// The answer to a [`Call`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    Answer(Answer),
    /// The daemon asked doesn't own the shard; the call had no effect.
    NotOwner,
}

/// Age from which on a shard's news are too old to go by.
const STALE_NEWS: Duration = Duration::from_millis(2500);

/// Age up to which counts of waiting jobs are given.
const STALE_COUNT: Duration = Duration::from_millis(1900);

/// Pause before a call is made again at what may be the shard's new owner.
const OWNER_RETRY: Duration = Duration::from_millis(80);

/// Longest time for one attempt at the owner: a commit takes 5 to 30 ms, and up to 400 ms while
/// the store is slow.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1400);

/// When to come back if no shard has an owner; it takes up to 2 s to find one.
const RETRY_NO_OWNER: Duration = Duration::from_millis(1000);

/// When to come back with a job that requires a label that no VM has; a VM takes seconds to come.
const RETRY_NO_LABEL: Duration = Duration::from_secs(10);

/// How much a job's own work counts against what waits before it: a shard where it has few VMs to
/// itself is worse than one with a longer queue of work that runs elsewhere.
const OWN_WORK: f64 = 3.0;

/// Makes callers' calls.
#[derive(Clone)]
pub struct Calls {
    view: watch::Receiver<Arc<View>>,
    directory: Arc<Mutex<Directory>>,
    control: Addr<Control>,
    links: Addr<Links>,
    finder: Recipient<FindJob>,
    clock: Arc<dyn Clock>,
    sent: Arc<Mutex<IndexMap<String, Sent>>>,
    /// When the daemon ends, once it stops as planned.
    ends: Arc<OnceLock<Duration>>,
}

/// What was sent to a shard since its last news.
#[derive(Clone, Copy, Debug, Default)]
struct Sent {
    /// News that it comes on top of.
    at: Duration,
    reserved: f64,
    leftover_work: f64,
}

/// What became of one attempt.
enum Attempt {
    Answered(Answer),
    /// It surely had no effect.
    Nothing,
    /// It may have had an effect.
    Unsure(String),
}

impl Calls {
    /// Calls by way of these duties.
    pub fn new(
        view: watch::Receiver<Arc<View>>,
        directory: Arc<Mutex<Directory>>,
        control: Addr<Control>,
        links: Addr<Links>,
        finder: Recipient<FindJob>,
        clock: Arc<dyn Clock>,
    ) -> Self {
        let (sent, ends) = Default::default();
        Self { view, directory, control, links, finder, clock, sent, ends }
    }

    /// Answers every call before `at`: the daemon ends then, and calls that it still had would be
    /// cut off. Holds for all clones; said once.
    pub fn end_by(&self, at: Duration) {
        self.ends.get_or_init(|| at);
    }

    /// What is left of a call's time.
    fn left(&self, until: Duration) -> Duration {
        let until = self.ends.get().map_or(until, |ends| until.min(*ends));
        until.saturating_sub(self.clock.now())
    }

    /// What control published last.
    pub fn view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    /// Hands a job in.
    pub async fn submit(&self, job: Job, budget: Duration) -> Answer {
        if let Err(fault) = check::possible(&job, &self.view().shapes) {
            return impossible(&fault);
        }
        let until = self.clock.now() + budget;
        let mut refused = Refused::default();
        let mut last = not_run("no shard has an owner just now", RETRY_NO_OWNER);
        loop {
            let known = self.known_shard(job.id).map(|shard| (shard, Urge::Always));
            let is_known = known.is_some();
            let Some((shard, urge)) = known.or_else(|| self.choose(&job, &refused)) else {
                if refused.by_all.is_empty() && self.pause(until).await {
                    continue;
                }
                return last;
            };
            match self.attempt(&shard, Call::Submit(Box::new(job.clone()), urge), until).await {
                Attempt::Answered(Answer::Accepted) => {
                    self.note_shard(job.id, &shard);
                    return Answer::Accepted;
                }
                Attempt::Answered(Answer::AcceptedElsewhere) => return Answer::Accepted,
                Attempt::Answered(answer @ Answer::NotRun { .. }) => {
                    last = answer;
                    // The shard that has the job is asked again, not another one.
                    if is_known && !self.pause(until).await {
                        return last;
                    }
                    refused.add(shard, urge);
                }
                Attempt::Answered(answer) => return answer,
                Attempt::Unsure(reason) => return Answer::Unknown { reason },
                Attempt::Nothing => {
                    if !self.pause(until).await {
                        return last;
                    }
                }
            }
        }
    }

    /// Gives a job up.
    pub async fn cancel(&self, id: JobId, budget: Duration) -> Answer {
        self.about(id, Call::Cancel(id), budget).await
    }

    /// A job's state.
    pub async fn show(&self, id: JobId, budget: Duration) -> Answer {
        self.about(id, Call::Show(id), budget).await
    }

    /// Jobs of a queue that no task of has started; `None` if that isn't known now.
    pub fn queued(&self, queue: &QueueName) -> Option<u32> {
        let view = self.view();
        let now = self.clock.now();
        let mut sum = 0;
        for shard in view.shards.values() {
            if now.saturating_sub(shard.at) > STALE_COUNT {
                return None;
            }
            let queued = shard.summary.queued.iter().find(|(name, _)| name == queue);
            sum += queued.map_or(0, |(_, count)| *count);
        }
        Some(sum)
    }

    /// Makes a call about a job that was handed in before.
    async fn about(&self, id: JobId, call: Call, budget: Duration) -> Answer {
        let until = self.clock.now() + budget;
        loop {
            let shard = match self.locate(id, until).await {
                Located::Shard(shard) => shard,
                Located::Nowhere => return Answer::NotHere,
                Located::Unknown(reason) => {
                    if self.pause(until).await {
                        continue;
                    }
                    return Answer::Unknown { reason };
                }
            };
            match self.attempt(&shard, call.clone(), until).await {
                Attempt::Answered(Answer::NotHere) => match self.find(id, until).await {
                    Located::Shard(other) if other != shard => {}
                    // A finished job that its owner has forgotten is forgotten in the store, too.
                    Located::Shard(_) | Located::Nowhere => return Answer::NotHere,
                    Located::Unknown(reason) => return Answer::Unknown { reason },
                },
                Attempt::Answered(answer) => return answer,
                // Asked twice, it is the same question; a connection that went silent is replaced.
                Attempt::Unsure(reason) => {
                    if !self.pause(until).await {
                        return Answer::Unknown { reason };
                    }
                }
                Attempt::Nothing => {
                    if !self.pause(until).await {
                        let reason = "the job's shard has no owner just now".to_owned();
                        return Answer::Unknown { reason };
                    }
                }
            }
        }
    }

    async fn locate(&self, id: JobId, until: Duration) -> Located {
        match self.known_shard(id) {
            Some(shard) => Located::Shard(shard),
            None => self.find(id, until).await,
        }
    }

    /// Asks the store which shard a job is in.
    async fn find(&self, id: JobId, until: Duration) -> Located {
        // A store that doesn't answer takes longer to be given up than a call may have left.
        let found = tokio::time::timeout(self.left(until), self.finder.send(FindJob(id))).await;
        match found {
            Ok(Ok(Found::Shard(shard))) => {
                self.note_shard(id, &shard);
                Located::Shard(shard)
            }
            Ok(Ok(Found::Nowhere)) => Located::Nowhere,
            Ok(Ok(Found::Unknown(reason))) => Located::Unknown(reason),
            Ok(Err(e)) => Located::Unknown(e.to_string()),
            Err(_) => Located::Unknown("the store has not said where the job is".to_owned()),
        }
    }

    async fn attempt(&self, shard: &str, call: Call, until: Duration) -> Attempt {
        let owner = self.view.borrow().shards.get(shard).and_then(|s| s.owner.clone());
        let left = self.left(until);
        if left.is_zero() {
            // What was not sent has surely not run, and the caller may be told so.
            return Attempt::Nothing;
        }
        let timeout = left.min(ATTEMPT_TIMEOUT);
        match owner {
            None => Attempt::Nothing,
            Some(Owner::Here) => self.attempt_here(shard, call, timeout).await,
            Some(Owner::Other(to)) => {
                let msg = PassOn { to, shard: shard.to_owned(), call, timeout };
                match self.links.send(msg).await {
                    Ok(Ok(Reply::Answer(answer))) => Attempt::Answered(answer),
                    Ok(Ok(Reply::NotOwner)) => Attempt::Nothing,
                    Ok(Err(links::Error::NoAnswer { reason, .. })) => Attempt::Unsure(reason),
                    Ok(Err(_)) => Attempt::Nothing,
                    Err(e) => Attempt::Unsure(e.to_string()),
                }
            }
        }
    }

    async fn attempt_here(&self, shard: &str, call: Call, timeout: Duration) -> Attempt {
        let msg = TakeCall { shard: shard.to_owned(), call };
        match tokio::time::timeout(timeout, self.control.send(msg)).await {
            Ok(Ok(Reply::Answer(answer))) => Attempt::Answered(answer),
            Ok(Ok(Reply::NotOwner)) => Attempt::Nothing,
            Ok(Err(e)) => Attempt::Unsure(e.to_string()),
            Err(_) => Attempt::Unsure("timeout".to_owned()),
        }
    }

    /// The shard that serves a job best, by what is known of each.
    fn choose(&self, job: &Job, refused: &Refused) -> Option<(String, Urge)> {
        let (view, now) = (self.view(), self.clock.now());
        let need = Need::of(job, refused);
        let fit = |(_, shard): &(&String, &ShardView)| {
            shard.owner.is_some()
                && now.saturating_sub(shard.at) < STALE_NEWS
                && shard.summary.vms > 0
        };
        let mut sent = self.sent.lock().unwrap_or_else(PoisonError::into_inner);
        let fitting: Vec<(&String, &ShardView, Sent)> = view
            .shards
            .iter()
            .filter(fit)
            .map(|(name, shard)| {
                let on_top = sent.get(name).filter(|s| s.at == shard.at).copied();
                (name, shard, on_top.unwrap_or_default())
            })
            .collect();
        let best = |urge| {
            let costs = fitting.iter().filter_map(|(name, shard, sent)| {
                let cost = need.cost(name, &shard.summary, sent, urge)?;
                Some((*name, *shard, cost))
            });
            costs.min_by(|(_, _, a), (_, _, b)| a.total_cmp(b)).map(|best| (best, urge))
        };
        let ((name, shard, _), urge) = best(Urge::IfRoom).or_else(|| best(Urge::Always))?;
        let entry = sent.entry(name.clone()).or_default();
        if entry.at != shard.at {
            *entry = Sent { at: shard.at, ..Sent::default() };
        }
        entry.reserved += need.reserved;
        entry.leftover_work += need.leftover_work;
        Some((name.clone(), urge))
    }

    fn known_shard(&self, id: JobId) -> Option<String> {
        let directory = self.directory.lock().unwrap_or_else(PoisonError::into_inner);
        directory.find(id).map(|shard| shard.to_string())
    }

    fn note_shard(&self, id: JobId, shard: &str) {
        let mut directory = self.directory.lock().unwrap_or_else(PoisonError::into_inner);
        directory.add(id, &Arc::from(shard));
    }

    /// Waits a moment; false if there is no time for another attempt.
    async fn pause(&self, until: Duration) -> bool {
        if self.left(until) <= 2 * OWNER_RETRY {
            return false;
        }
        tokio::time::sleep(OWNER_RETRY).await;
        true
    }
}

/// The answer to a job that no VM can run. A label may come with VMs that aren't there yet.
fn impossible(fault: &Fault) -> Answer {
    let reason = fault.to_string();
    match fault {
        Fault::NoSuchLabel { .. } => Answer::NotRun { reason, retry_after: RETRY_NO_LABEL },
        _ => Answer::Impossible { reason },
    }
}

enum Located {
    Shard(String),
    Nowhere,
    Unknown(String),
}

/// What a job needs of a shard.
struct Need<'a> {
    /// Processors at a time, in thousandths of a core.
    reserved: f64,
    /// Work on what is left over, in milliseconds times thousandths of a core.
    leftover_work: f64,
    /// Image of most of that work.
    leftover_image: Option<&'a Image>,
    /// Image of its lasting tasks, if they last.
    lasting: Option<&'a str>,
    refused: &'a Refused,
}

/// Shards that did not take a job.
#[derive(Debug, Default)]
struct Refused {
    /// They had little room.
    for_room: Vec<String>,
    /// They take nothing just now.
    by_all: Vec<String>,
}

impl Refused {
    fn add(&mut self, shard: String, urge: Urge) {
        match urge {
            Urge::IfRoom => self.for_room.push(shard),
            Urge::Always => self.by_all.push(shard),
        }
    }

    fn has(&self, shard: &str, urge: Urge) -> bool {
        let named = |shards: &[String]| shards.iter().any(|refused| refused == shard);
        named(&self.by_all) || (urge == Urge::IfRoom && named(&self.for_room))
    }
}

impl<'a> Need<'a> {
    fn of(job: &'a Job, refused: &'a Refused) -> Self {
        let mut need = Self {
            reserved: 0.0,
            leftover_work: 0.0,
            leftover_image: None,
            lasting: None,
            refused,
        };
        for step in &job.steps {
            let cores = f64::from(step.tasks) * f64::from(step.size.milli_cores.0);
            match step.share {
                Share::Reserved => need.reserved = need.reserved.max(cores),
                Share::Leftover => {
                    need.leftover_work += cores * step.estimate.as_millis() as f64;
                    need.leftover_image = need.leftover_image.or(step.image.as_ref());
                }
            }
            if step.life == Life::Lasting {
                need.lasting = Some(step.image.as_ref().map_or(job.queue.as_str(), Image::as_str));
            }
        }
        need
    }

    /// Less is better; `None` if the shard doesn't come into question.
    fn cost(&self, name: &str, summary: &Summary, sent: &Sent, urge: Urge) -> Option<f64> {
        if self.refused.has(name, urge) {
            return None;
        }
        let capacity = (summary.capacity as f64).max(1.0);
        let free = summary.free as f64 - sent.reserved - self.reserved;
        if self.leftover_work > 0.0 {
            let before = summary.leftover_work as f64 + sent.leftover_work;
            let wait = before / (summary.leftover as f64).max(1.0);
            return Some(wait + OWN_WORK * self.leftover_work / self.leftover(summary).max(1.0));
        }
        let Some(image) = self.lasting else {
            return Some(summary.waiting_work as f64 / capacity - free / capacity);
        };
        let lasting = summary.lasting as f64 + sent.reserved + self.reserved;
        match urge {
            Urge::IfRoom if summary.is_full_with(lasting, urge) => None,
            // The shard with most room for lasting tasks was asked first, and refused: hundreds of others that
            // have less needn't be asked one by one.
            Urge::Always
                if !self.refused.by_all.is_empty() && summary.is_full_with(lasting, urge) =>
            {
                None
            }
            // One image's lasting tasks go to one shard, whoever asks: less leftover work then
            // has nowhere to run without disturbing some image.
            Urge::IfRoom => Some(xxh3_64(format!("{image}/{name}").as_bytes()) as f64),
            Urge::Always => Some(lasting / capacity),
        }
    }

    /// Processors that the job's leftover work would share.
    fn leftover(&self, summary: &Summary) -> f64 {
        let known = summary.harmless.iter().find(|(image, _)| Some(image) == self.leftover_image);
        known.map_or(summary.leftover, |(_, harmless)| *harmless) as f64
    }
}

fn not_run(reason: &str, retry_after: Duration) -> Answer {
    Answer::NotRun { reason: reason.to_owned(), retry_after }
}

/// Whether an answer says how a job stands for good.
pub fn is_final(answer: &Answer) -> bool {
    matches!(answer, Answer::Shown(state) if ShownState::is_final(*state))
}
