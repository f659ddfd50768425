//! Estimates when a new finite job could be done.
//!
//! Pattern: admission control by predicted completion time. A job that can't be done while its result
//! is of use only delays others, and its caller waits for nothing. The prediction is a range. The
//! early time counts only what is sure: the most room that the job's steps could use, and waiting
//! work that is certain to get room first. Jobs are refused by the early time alone, since a false
//! refusal costs a caller the whole job and a late job costs little. The likely time counts all work
//! ahead and the room as it is; it decides whether another shard is better and when to retry.
//!
//! The arithmetic treats work as a fluid: it takes at least its amount divided by the room.

mod decision;
#[cfg(test)]
mod tests;

pub(super) use decision::{Admission, Decision};

use crate::ids::ServiceName;
use crate::job::{Image, Job, JobId, Label, Life, QueueName, Share, Step};
use crate::shard::Summary;
use crate::shard::order::{Outlook, Timeliness, USEFUL_DURATION_FACTOR};
use crate::shard::run_times::RunTimes;
use crate::units::Resources;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Number of standard deviations of a run time between the early, the likely and the late time; one
/// run in twenty is beyond on either side.
const SPREAD_DEVIATIONS: f64 = 1.64;

/// Lowest load of lasting tasks, as a share of their processors, that early times count on.
pub(super) const MIN_EXPECTED_LOAD: f64 = 0.35;

/// Bounds of a refused job's retry delay, before it is spread. Callers retry up to four times, so
/// that the upper bound covers longer than any burst of submissions.
const MIN_RETRY_DELAY: Duration = Duration::from_secs(1);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Part of the retry delay that is added at most to spread the retries of different jobs.
const RETRY_SPREAD: f64 = 0.5;

/// An early, a likely and a late value.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Range {
    pub early: f64,
    pub likely: f64,
    pub late: f64,
}

impl Range {
    /// The range of a run time, in seconds, whose logarithm has this standard deviation.
    fn around(time: Duration, deviation: f64) -> Self {
        let (likely, factor) = (time.as_secs_f64(), (SPREAD_DEVIATIONS * deviation).exp());
        Self { early: likely / factor, likely, late: likely * factor }
    }

    fn map(self, f: impl Fn(f64) -> f64) -> Self {
        Self { early: f(self.early), likely: f(self.likely), late: f(self.late) }
    }

    fn zip(self, other: Self, f: impl Fn(f64, f64) -> f64) -> Self {
        Self {
            early: f(self.early, other.early),
            likely: f(self.likely, other.likely),
            late: f(self.late, other.late),
        }
    }
}

/// When a new job could be done, in seconds from now.
#[derive(Clone, Copy, Debug)]
pub(super) struct Estimate {
    /// The early time is that with the most room, the least work ahead and short run times.
    pub done: Range,
    /// The time with the most room and the least work ahead, for short, likely and long run times of
    /// the job's own tasks.
    pub soonest: Range,
}

/// What a new job requires.
#[derive(Clone, Debug)]
pub(super) struct Demand<'a> {
    job: &'a Job,
    /// Run time of a task of each step, in seconds.
    times: Vec<Range>,
}

/// Target of a queue.
#[derive(Clone, Copy, Debug)]
pub(super) struct Target {
    pub stretch: f64,
    pub latency: Duration,
}

impl<'a> Demand<'a> {
    /// The requirements of a job by the learned run times.
    pub fn new(job: &'a Job, run_times: &RunTimes) -> Self {
        let deviation = run_times.deviation(&job.queue);
        let time = |step: &Step| run_times.expect(&job.queue, step.estimate);
        let times = job.steps.iter().map(|step| Range::around(time(step), deviation)).collect();
        Self { job, times }
    }

    /// Returns the time that the job may take, in seconds, for run times within their range.
    pub fn target(&self, target: Target) -> Range {
        let path = self.path(|_, time| time);
        path.map(|path| path * target.stretch.max(0.0) + target.latency.as_secs_f64())
    }

    /// Work of the job's tasks in core-seconds, by which jobs of a priority are ordered.
    fn work(&self) -> f64 {
        let steps = self.job.steps.iter().zip(&self.times);
        steps.map(|(step, time)| Work::of(step, step.tasks, time.likely).milli_cores / 1000.0).sum()
    }

    /// Returns the length of the critical path of steps that take the times that `time` returns.
    fn path(&self, time: impl Fn(&Step, Range) -> Range) -> Range {
        let mut until: Vec<Range> = Vec::with_capacity(self.times.len());
        for (step, own) in self.job.steps.iter().zip(&self.times) {
            let before = step.after.iter().filter_map(|after| until.get(usize::from(*after)));
            let start = before.fold(Range::default(), |a, b| a.zip(*b, f64::max));
            until.push(start.zip(time(step, *own), |a, b| a + b));
        }
        until.into_iter().fold(Range::default(), |a, b| a.zip(b, f64::max))
    }

    /// Returns the time in seconds from now to the job's end; `None` if there is no room at all.
    ///
    /// Tasks that don't fit are lent to other shards, so the early time counts their room, too.
    pub fn estimate(
        &self,
        room: &Room,
        backlog: &Backlog,
        priority: u32,
        others: &[&Summary],
    ) -> Option<Estimate> {
        let mut capacities = Vec::with_capacity(self.times.len());
        let mut waits = Vec::with_capacity(self.times.len());
        let ahead = Ahead { demand: self, backlog, priority, rank: self.work() };
        for (step, time) in self.job.steps.iter().zip(&self.times) {
            let mut capacity = room.capacities(&self.job.service, step)?;
            let lending = self.lending(step, *time, others);
            if step.after.is_empty() {
                let all = room.most(&self.job.service);
                waits.push(ahead.wait(step, &capacity, all, &lending));
            }
            let lent = lending.iter().fold(Capacity::default(), |sum, l| sum.plus(l.capacity));
            capacity.early = capacity.early.plus(lent);
            capacities.push(capacity);
        }
        let wait = waits.into_iter().fold(Range::default(), |a, b| a.zip(b, f64::max));
        let path_through = |room: fn(&Capacities) -> [Capacity; 3]| {
            let steps = self.job.steps.iter().zip(&self.times).zip(&capacities);
            let times = steps.map(|((step, time), capacities)| {
                let through = |capacity: Capacity, time: f64| {
                    Work::of(step, step.tasks, time).time_through(capacity, step.share).max(time)
                };
                let [early, likely, late] = room(capacities);
                Range {
                    early: through(early, time.early),
                    likely: through(likely, time.likely),
                    late: through(late, time.late),
                }
            });
            Self { job: self.job, times: times.collect() }.path(|_, time| time)
        };
        let soonest = path_through(|room| [room.early; 3]).map(|path| wait.early + path);
        let path = path_through(|room| [room.early, room.likely, room.late]);
        Some(Estimate { done: wait.zip(path, |a, b| a + b), soonest })
    }

    /// Returns what other shards add to the room of a step.
    ///
    /// Tasks are lent only to shards with room to spare. A shard with waiting tasks and no room for
    /// one of the step's has room to spare once its waiting tasks have started.
    fn lending(&self, step: &Step, time: Range, others: &[&Summary]) -> Vec<Lending> {
        let factor = time.early / time.likely.max(f64::MIN_POSITIVE);
        let mut all = Vec::new();
        for other in others.iter().filter(|other| other.vms > 0) {
            let (capacity, lasting) = (other.capacity as f64, other.lasting as f64);
            let capacity = Capacity {
                milli_cores: (capacity - lasting).max(0.0),
                leftover: (capacity - MIN_EXPECTED_LOAD * lasting).max(0.0),
                // Summaries tell only the memory that is free now.
                mib: f64::INFINITY,
            };
            let mut lending = Lending { capacity, work: Work::default() };
            if step.share == Share::Reserved && !self.fits_in(step, other) {
                lending.work.milli_cores = other.waiting_work as f64 / 1000.0 * factor;
            }
            all.push(lending);
        }
        all
    }

    /// Whether a task of a step fits on a VM of another shard now.
    fn fits_in(&self, step: &Step, other: &Summary) -> bool {
        other.rooms.iter().any(|room| room.takes(step, &self.job.service))
    }

    /// Whether a task of each step fits on a VM of another shard now.
    pub fn fits_elsewhere(&self, summary: &Summary) -> bool {
        self.job.steps.iter().all(|step| self.fits_in(step, summary))
    }

    /// Returns the time in seconds from now to the job's end in another shard; `None` if that has no
    /// VMs. All of its waiting work counts as work ahead, since summaries tell no priorities.
    pub fn estimate_elsewhere(&self, summary: &Summary) -> Option<Range> {
        if summary.vms == 0 {
            return None;
        }
        let reserved = summary.capacity.saturating_sub(summary.lasting) as f64;
        let factor = |time: &Range, value: f64| value / time.likely.max(f64::MIN_POSITIVE);
        let mut wait = Range::default();
        let mut times = Vec::with_capacity(self.times.len());
        for (step, time) in self.job.steps.iter().zip(&self.times) {
            let (work, capacity, own) = match step.share {
                Share::Reserved => (summary.waiting_work, reserved, reserved),
                Share::Leftover => {
                    let own = harmless(summary, step.image.as_ref());
                    (summary.leftover_work, summary.leftover as f64, own)
                }
            };
            let likely = work as f64 / 1000.0 / capacity.max(1.0);
            let scaled = Range {
                early: likely * factor(time, time.early),
                likely,
                late: likely * factor(time, time.late),
            };
            wait = wait.zip(scaled, f64::max);
            let cores = f64::from(step.tasks) * f64::from(step.size.milli_cores.0);
            let through = |time: f64| (cores * time / own.max(1.0)).max(time);
            times.push(Range {
                early: (cores * time.early / capacity.max(1.0)).max(time.early),
                likely: through(time.likely),
                late: through(time.late),
            });
        }
        let path = Self { job: self.job, times }.path(|_, time| time);
        Some(wait.zip(path, |a, b| a + b))
    }
}

/// Room that leftover work of an image can use in a shard without harming serving tasks.
fn harmless(summary: &Summary, image: Option<&Image>) -> f64 {
    let known = summary.harmless.iter().find(|(name, _)| Some(name) == image);
    known.map_or(summary.leftover, |(_, harmless)| *harmless) as f64
}

/// Work of tasks: resources times seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Work {
    pub milli_cores: f64,
    pub mib: f64,
}

impl Work {
    /// The work of `tasks` tasks of a step that take `seconds` each.
    fn of(step: &Step, tasks: u32, seconds: f64) -> Self {
        let task_seconds = f64::from(tasks) * seconds;
        Self {
            milli_cores: task_seconds * f64::from(step.size.milli_cores.0),
            mib: task_seconds * f64::from(step.size.memory_mib.0),
        }
    }

    fn scaled(self, factor: f64) -> Self {
        Self { milli_cores: self.milli_cores * factor, mib: self.mib * factor }
    }

    fn plus(self, other: Self) -> Self {
        Self { milli_cores: self.milli_cores + other.milli_cores, mib: self.mib + other.mib }
    }

    /// Least time in seconds that the work takes.
    fn time_through(self, capacity: Capacity, share: Share) -> f64 {
        let milli_cores = match share {
            Share::Reserved => capacity.milli_cores,
            Share::Leftover => capacity.leftover,
        };
        (self.milli_cores / milli_cores.max(1.0)).max(self.mib / capacity.mib.max(1.0))
    }
}

/// Resources that finite work can use at a time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Capacity {
    /// Processors that can be reserved.
    pub milli_cores: f64,
    /// Processors that leftover work can use.
    pub leftover: f64,
    pub mib: f64,
}

impl Capacity {
    fn plus(self, other: Self) -> Self {
        Self {
            milli_cores: self.milli_cores + other.milli_cores,
            leftover: self.leftover + other.leftover,
            mib: self.mib + other.mib,
        }
    }
}

/// Capacities for the early, the likely and the late time.
#[derive(Clone, Copy, Debug, Default)]
struct Capacities {
    early: Capacity,
    likely: Capacity,
    late: Capacity,
}

/// Room of another shard that tasks can be lent to, and the work that fills it first.
#[derive(Clone, Copy, Debug, Default)]
struct Lending {
    capacity: Capacity,
    work: Work,
}

/// Least time in seconds that work takes here and in other shards. A shard takes part once its own
/// work has started, so that one with much waiting work makes the time no longer than without it.
fn time_with_lending(work: Work, room: Capacity, lending: &[Lending], share: Share) -> f64 {
    let start = |lending: &Lending| lending.work.time_through(lending.capacity, share);
    let mut lending: Vec<&Lending> = lending.iter().collect();
    lending.sort_by(|a, b| start(a).total_cmp(&start(b)));
    let (mut work, mut room) = (work, room);
    let mut time = work.time_through(room, share);
    for lending in lending {
        if start(lending) >= time {
            break;
        }
        (work, room) = (work.plus(lending.work), room.plus(lending.capacity));
        time = work.time_through(room, share);
    }
    time
}

/// Room of one VM.
#[derive(Clone, Debug)]
pub(super) struct VmRoom {
    pub service: ServiceName,
    pub labels: Vec<Label>,
    /// Room beside lasting tasks at their lowest load, even if the VM accepts no work at present.
    pub most: Capacity,
    /// Room for a single task beside lasting tasks.
    pub largest: Resources,
    /// Room at usual loads; zero if the VM accepts no work at present.
    pub usual: Capacity,
    /// Processors that leftover work of each image can use without harm.
    pub harmless: Vec<(Image, f64)>,
}

/// Room of a shard.
#[derive(Clone, Debug, Default)]
pub(super) struct Room {
    pub vms: Vec<VmRoom>,
}

impl Room {
    /// Returns the most room of all VMs of a service, which work ahead of a step can use even where
    /// the step's own tasks don't fit.
    fn most(&self, service: &ServiceName) -> Capacity {
        let vms = self.vms.iter().filter(|vm| vm.service == *service);
        vms.fold(Capacity::default(), |sum, vm| sum.plus(vm.most))
    }

    /// Returns the capacities that a step of a service can use; `None` if it fits on no VM.
    fn capacities(&self, service: &ServiceName, step: &Step) -> Option<Capacities> {
        let fits = |vm: &&VmRoom| {
            vm.service == *service
                && step.reserved_resources().fits_in(&vm.largest)
                && step.label.as_ref().is_none_or(|label| vm.labels.contains(label))
        };
        let mut sum: Option<Capacities> = None;
        for vm in self.vms.iter().filter(fits) {
            let harmless = vm.harmless.iter().find(|(image, _)| Some(image) == step.image.as_ref());
            let leftover = harmless.map_or(vm.usual.leftover, |(_, harmless)| *harmless);
            let before = sum.unwrap_or_default();
            sum = Some(Capacities {
                early: before.early.plus(vm.most),
                likely: before.likely.plus(vm.usual),
                late: before.late.plus(Capacity { leftover, ..vm.usual }),
            });
        }
        sum
    }
}

/// Waiting work of one step of a known job.
#[derive(Clone, Debug)]
pub(super) struct WaitingStep {
    pub queue: QueueName,
    pub service: ServiceName,
    pub priority: u32,
    pub share: Share,
    /// Resources of a task.
    pub size: Resources,
    pub outlook: Outlook,
    /// Run time of a task.
    pub time: Range,
    /// Number of waiting tasks that can start now on any VM with room.
    pub ready: u32,
    /// Number of all tasks that have not ended; running ones count half.
    pub open: f64,
}

/// Finite work of a shard that has not ended.
#[derive(Clone, Debug, Default)]
pub(super) struct Backlog {
    pub steps: Vec<WaitingStep>,
}

/// The part of a backlog that goes before a new job.
struct Ahead<'a> {
    demand: &'a Demand<'a>,
    backlog: &'a Backlog,
    priority: u32,
    /// Work of the new job.
    rank: f64,
}

impl Ahead<'_> {
    /// Time in seconds until a step of the new job gets room. The early time counts the room of
    /// `all` VMs of the service and what other shards lend.
    fn wait(&self, step: &Step, room: &Capacities, all: Capacity, lending: &[Lending]) -> Range {
        Range {
            early: self.early_wait(step, all, lending),
            likely: self.full_wait(step, room.likely, |time| time.likely),
            late: self.full_wait(step, room.late, |time| time.late),
        }
    }

    /// Work that is sure to start before the step's tasks: tasks that can start now, are no larger,
    /// and belong to jobs that precede the new one. A job of the same priority precedes it only
    /// while in time, so it counts only if its turn comes before then.
    ///
    /// The last tasks of that work need only have started by then.
    fn early_wait(&self, step: &Step, room: Capacity, lending: &[Lending]) -> f64 {
        if step.label.is_some() {
            // The work ahead may run on VMs that don't have the label.
            return 0.0;
        }
        let precedes = |ahead: &&WaitingStep| {
            ahead.ready > 0
                && ahead.share == step.share
                && ahead.service == self.demand.job.service
                && ahead.size.fits_in(&step.size)
                && (ahead.priority < self.priority || self.is_surely_first(ahead))
        };
        let mut ahead: Vec<&WaitingStep> = self.backlog.steps.iter().filter(precedes).collect();
        let order = |ahead: &&WaitingStep| (ahead.priority, ahead.outlook.work);
        ahead.sort_by(|a, b| {
            let (a, b) = (order(a), order(b));
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
        });
        let (mut work, mut squares) = (Work::default(), 0.0_f64);
        let (mut wait, mut longest) = (0.0_f64, 0.0_f64);
        for ahead in ahead {
            let slack = ahead.outlook.slack().as_secs_f64();
            if ahead.priority == self.priority && wait > slack {
                continue;
            }
            let tasks = f64::from(ahead.ready);
            let task = Work {
                milli_cores: f64::from(ahead.size.milli_cores.0),
                mib: f64::from(ahead.size.memory_mib.0),
            };
            work = work.plus(task.scaled(tasks * ahead.time.likely));
            // The tasks of a step take similar times; the errors of different steps even out.
            squares += (tasks * task.milli_cores * (ahead.time.likely - ahead.time.early)).powi(2);
            let least = 1.0 - squares.sqrt() / work.milli_cores.max(1.0);
            longest = longest.max(ahead.time.late);
            let sure = work.scaled(least);
            wait = (time_with_lending(sure, room, lending, step.share) - longest).max(0.0);
        }
        wait
    }

    fn is_surely_first(&self, ahead: &WaitingStep) -> bool {
        ahead.priority == self.priority
            && ahead.queue == self.demand.job.queue
            && ahead.outlook.timeliness() == Timeliness::InTime
            && ahead.outlook.work < self.rank
    }

    /// Time that all work takes which may go before a step's tasks.
    fn full_wait(&self, step: &Step, room: Capacity, time: impl Fn(Range) -> f64) -> f64 {
        let precedes = |ahead: &&WaitingStep| {
            ahead.share == step.share
                && ahead.service == self.demand.job.service
                && (ahead.priority < self.priority
                    || (ahead.priority == self.priority
                        && ahead.outlook.timeliness() == Timeliness::InTime
                        && ahead.outlook.work <= self.rank))
        };
        let work =
            self.backlog.steps.iter().filter(precedes).fold(Work::default(), |sum, ahead| {
                let task = Work {
                    milli_cores: f64::from(ahead.size.milli_cores.0),
                    mib: f64::from(ahead.size.memory_mib.0),
                };
                sum.plus(task.scaled(ahead.open * time(ahead.time)))
            });
        work.time_through(room, step.share)
    }
}

/// Whether a job that is done at these times at the soonest is surely of no use, by its target.
///
/// Without a target, or an estimate that it is a multiple of, nothing tells how long the result is of
/// use. Long run times come with a long target, so the times are compared for each run time by itself.
pub(super) fn is_of_no_use(soonest: Range, target: Range) -> bool {
    let is_over = |done, target| done > USEFUL_DURATION_FACTOR * target;
    target.likely > 0.0
        && is_over(soonest.early, target.early)
        && is_over(soonest.likely, target.likely)
        && is_over(soonest.late, target.late)
}

/// Whether a job will likely be done in time.
pub(super) fn is_in_time(done: Range, target: Range) -> bool {
    done.likely <= target.likely
}

/// Returns when a refused job should be submitted again: once enough of the work ahead is done for
/// it to be in time, spread by job id so that retries don't arrive at once.
pub(super) fn retry_delay(job: JobId, done: Range, target: Range) -> Duration {
    let needed = (done.likely.max(done.early) - target.likely).max(0.0);
    let bounds = (MIN_RETRY_DELAY.as_secs_f64(), MAX_RETRY_DELAY.as_secs_f64());
    let delay = needed.clamp(bounds.0, bounds.1);
    let position = xxh3_64(&job.0.to_le_bytes()) as f64 / u64::MAX as f64;
    Duration::from_secs_f64(delay * (1.0 + RETRY_SPREAD * position))
}

/// Whether a job is subject to the decision: its tasks all end, and it runs once.
pub(super) fn is_decided(job: &Job) -> bool {
    job.repeat == crate::job::Repeat::Once && job.steps.iter().all(|s| s.life == Life::Finite)
}
