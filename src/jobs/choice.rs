//! Choice of the shard that a new job is sent to.
//!
//! Pattern: load balancing by reported load, with ejection of unresponsive hosts. While a failure
//! domain is lost or the store is away, most owners are still well: an owner whose hellos stop, that
//! can't reach the store, or that left a call unanswered is passed over at once, long before it is
//! replaced, and its share of the jobs goes to the others.

#[cfg(test)]
mod tests;

use super::view::{ShardView, View};
use crate::job::{Image, Job, Life, Share, Step};
use crate::shard::{AdmissionMode, Answer, Summary};
use indexmap::IndexMap;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Age from which a shard's summary is too old to choose a shard by.
const MAX_SUMMARY_AGE: Duration = Duration::from_millis(2500);

/// Age up to which a shard's summary shows that its owner is heard: owners send one every 400 ms.
/// Others are chosen only if there is none.
const HEARD_SUMMARY_AGE: Duration = Duration::from_millis(700);

/// Weight of a job's own work relative to the work queued before it. A shard with few VMs that suit
/// the job is worse than one with a longer queue of work that runs on other VMs.
const OWN_WORK_WEIGHT: f64 = 3.0;

/// Number of shards that may pass a finite job on before one is made to accept it. They pass it on by
/// the same summaries that it was sent by, and each attempt uses up some of the call's time.
const MAX_PASSES: usize = 2;

/// Load sent to a shard that its last summary doesn't include yet.
#[derive(Clone, Copy, Debug, Default)]
struct UnreportedLoad {
    /// Time of the summary that this load is added to.
    summary_at: Duration,
    reserved: f64,
    leftover_work: f64,
}

/// Unreported loads by shard.
#[derive(Debug, Default)]
pub struct UnreportedLoads(IndexMap<String, UnreportedLoad>);

impl UnreportedLoads {
    /// Chooses the shard with the lowest estimated cost for a job, and adds the job to its load.
    pub fn choose(
        &mut self,
        view: &View,
        now: Duration,
        job: &Job,
        refusals: &Refusals,
    ) -> Option<(String, AdmissionMode)> {
        let demand = Demand::of(job, refusals);
        let candidates: Vec<(&String, &ShardView, UnreportedLoad)> =
            candidates(view, now, refusals)
                .into_iter()
                .map(|(name, shard)| {
                    let load = self.0.get(name).filter(|l| l.summary_at == shard.summary_at);
                    (name, shard, load.copied().unwrap_or_default())
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
        let entry = self.0.entry(name.clone()).or_default();
        if entry.summary_at != shard.summary_at {
            *entry = UnreportedLoad { summary_at: shard.summary_at, ..UnreportedLoad::default() };
        }
        entry.reserved += demand.reserved;
        entry.leftover_work += demand.leftover_work;
        Some((name.clone(), mode))
    }
}

/// Shards that a job may be sent to: those whose owners are heard, or all if none is.
fn candidates<'a>(
    view: &'a View,
    now: Duration,
    refusals: &Refusals,
) -> Vec<(&'a String, &'a ShardView)> {
    let age = |shard: &ShardView| now.saturating_sub(shard.summary_at);
    let can_take = |(name, shard): &(&String, &ShardView)| {
        shard.accepts_jobs()
            && age(shard) < MAX_SUMMARY_AGE
            && shard.summary.vms > 0
            && !refusals.contains(name, AdmissionMode::Always)
    };
    let is_heard = |(_, shard): &(&String, &ShardView)| age(shard) < HEARD_SUMMARY_AGE;
    let mut shards: Vec<(&String, &ShardView)> = view.shards.iter().filter(can_take).collect();
    if shards.iter().any(is_heard) {
        shards.retain(is_heard);
    }
    shards
}

/// Resources that a job requires of a shard.
struct Demand<'a> {
    /// Largest concurrent reservation, in thousandths of a core.
    reserved: f64,
    /// Work that runs on unreserved capacity, in milliseconds times thousandths of a core.
    leftover_work: f64,
    /// Image of the first step with such work that names one.
    leftover_image: Option<&'a Image>,
    /// Job whose reserved tasks need VMs with enough room.
    job: &'a Job,
    /// Longest estimate of a step with reserved tasks, in milliseconds.
    reserved_time: f64,
    /// Image of the job's lasting tasks, or its queue if they name no image; `None` without such
    /// tasks.
    lasting: Option<&'a str>,
    refusals: &'a Refusals,
}

/// Shards that refused a job.
#[derive(Debug, Default)]
pub struct Refusals {
    /// Refused because they had little room; they may take the job under [`AdmissionMode::Always`].
    lacking_room: Vec<String>,
    /// Refused regardless of room, or did not answer.
    unconditional: Vec<String>,
    /// Why a shard did not answer: it may have accepted the job nevertheless.
    unanswered: Option<String>,
}

impl Refusals {
    /// The answer to a job that no shard accepted: `refusal`, unless one of them left it open.
    pub fn or_unknown(self, refusal: Answer) -> Answer {
        self.unanswered.map_or(refusal, |reason| Answer::Unknown { reason })
    }

    /// Records a shard's refusal under an admission mode.
    pub fn add(&mut self, shard: String, mode: AdmissionMode) {
        match mode {
            AdmissionMode::IfRoom => self.lacking_room.push(shard),
            AdmissionMode::Always => self.unconditional.push(shard),
        }
    }

    /// Records that a shard left a call unanswered.
    pub fn add_unanswered(&mut self, shard: String, reason: String) {
        self.unconditional.push(shard);
        self.unanswered = Some(reason);
    }

    /// Whether no shard has refused the job regardless of room.
    pub fn is_conditional(&self) -> bool {
        self.unconditional.is_empty()
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
            job,
            reserved_time: 0.0,
            lasting: None,
            refusals,
        };
        for step in &job.steps {
            let cores = f64::from(step.tasks) * f64::from(step.size.milli_cores.0);
            match step.share {
                Share::Reserved => {
                    let time = step.estimate.as_millis() as f64;
                    demand.reserved = demand.reserved.max(cores);
                    demand.reserved_time = demand.reserved_time.max(time);
                }
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
        let passes = self.refusals.lacking_room.len();
        if mode == AdmissionMode::IfRoom && self.lasting.is_none() && passes >= MAX_PASSES {
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
            return Some(self.likely_wait(summary, free) - free / capacity);
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

    /// Likely wait of the job's reserved tasks in milliseconds, if `free` thousandths of a core are
    /// left once they run. Waiting work gets only the room that lasting tasks leave. A task that fits
    /// on no VM waits for another one to end, however much room there is in small pieces.
    fn likely_wait(&self, summary: &Summary, free: f64) -> f64 {
        let room = (summary.capacity.saturating_sub(summary.lasting) as f64).max(1.0);
        let excess = (-free).max(0.0) * self.reserved_time;
        let wait = (summary.waiting_work as f64 + excess) / room;
        if self.fits(summary) { wait } else { wait + self.reserved_time }
    }

    /// Whether VMs have room for a task of each step with reserved tasks, and for all tasks of a gang.
    fn fits(&self, summary: &Summary) -> bool {
        let service = &self.job.service;
        let fits = |step: &Step| {
            if !step.grouping.is_gang() {
                return summary.rooms.iter().any(|room| room.takes(step, service));
            }
            let fitting = summary.rooms.iter().map(|room| room.fitting(step, service));
            fitting.sum::<usize>() >= step.tasks as usize
        };
        let reserved = |step: &&Step| step.share == Share::Reserved;
        self.job.steps.iter().filter(reserved).all(fits)
    }

    /// Capacity available to the job's leftover work, in thousandths of a core.
    fn leftover(&self, summary: &Summary) -> f64 {
        let harmless =
            summary.harmless.iter().find(|(image, _)| Some(image) == self.leftover_image);
        harmless.map_or(summary.leftover, |(_, harmless)| *harmless) as f64
    }
}
