//! Order in which jobs are scheduled.
//!
//! Jobs are ordered by priority. Within a priority, jobs with long-running tasks come first, then
//! the others by their [`Outlook`]. Queues of a priority get fair shares among the finite jobs of
//! the same timeliness, so that late jobs of one queue don't delay those of another that are in time.

mod fair;
mod outlook;

use super::Shard;
use super::job_run::{JobRun, Occurrence, StepRun};
use crate::duration;
use crate::job::progress::TaskPhase;
use crate::job::{Job, JobId, Life, QueueName, TaskRef};
use crate::queues::Terms;
use fair::Turn;
use indexmap::IndexMap;
use std::time::Duration;

pub(super) use outlook::{Outlook, Timeliness, USEFUL_DURATION_FACTOR};

/// A job with tasks that can start.
pub(super) struct Candidate {
    pub id: JobId,
    /// The tasks that can start.
    pub tasks: Vec<TaskRef>,
    priority: u32,
    urgency: Urgency,
    outlook: Outlook,
    queue: QueueName,
    /// Processors that the waiting tasks take, in thousandths of a core.
    cores: f64,
}

impl Candidate {
    /// Whether another job competes with this one for its queue's share of the room.
    fn shares_room(&self, other: &Self) -> bool {
        self.urgency == Urgency::Finite
            && other.urgency == Urgency::Finite
            && self.priority == other.priority
            && self.outlook.timeliness() == other.outlook.timeliness()
    }
}

/// Order of jobs within a priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    /// Long-running tasks come first: they are few, and any time without one running is lost.
    LongRunning,
    Finite,
}

impl Shard {
    /// Returns the jobs with tasks that can start, most urgent first.
    pub(super) fn candidates(&self) -> Vec<Candidate> {
        let open = self.jobs.values().filter(|job| !job.is_final());
        let open = open.filter(|job| !self.log.rejected.contains(job.id()));
        let mut candidates: Vec<Candidate> =
            open.filter_map(|job| self.candidate(job, waiting(job, self.now.steady))).collect();
        candidates.sort_by(|a, b| {
            a.priority
                .cmp(&b.priority)
                .then(a.urgency.cmp(&b.urgency))
                .then_with(|| a.outlook.compare(&b.outlook))
                .then(a.id.cmp(&b.id))
        });
        self.share_fairly(candidates)
    }

    /// Lets queues of a priority take turns.
    fn share_fairly(&self, candidates: Vec<Candidate>) -> Vec<Candidate> {
        let is_shared =
            |pair: &[Candidate]| pair[0].shares_room(&pair[1]) && pair[0].queue != pair[1].queue;
        if !candidates.windows(2).any(is_shared) {
            return candidates;
        }
        let mut held = self.held_cores();
        let mut order = Vec::with_capacity(candidates.len());
        for group in candidates.chunk_by(Candidate::shares_room) {
            let turns: Vec<Turn> =
                group.iter().map(|job| Turn { queue: &job.queue, cores: job.cores }).collect();
            let first = order.len();
            order.extend(fair::order(&turns, &mut held).into_iter().map(|index| first + index));
        }
        let mut candidates: Vec<Option<Candidate>> = candidates.into_iter().map(Some).collect();
        order.into_iter().filter_map(|index| candidates.get_mut(index)?.take()).collect()
    }

    /// Processors that the finite tasks of each queue hold.
    fn held_cores(&self) -> IndexMap<QueueName, f64> {
        let mut held: IndexMap<QueueName, f64> = IndexMap::new();
        for (key, run) in self.vms.values().flat_map(|vm| &vm.runs) {
            let Some(job) = self.jobs.get(&key.task.job) else { continue };
            if job.step(key.task).is_some_and(|step| step.life == Life::Finite) {
                *held.entry(job.job.queue.clone()).or_default() += f64::from(run.milli_cores);
            }
        }
        held
    }

    fn candidate(&self, job: &JobRun, mut tasks: Vec<TaskRef>) -> Option<Candidate> {
        let may_start =
            |task: &TaskRef| job.task(*task).is_some_and(|task| task.restart_at <= self.now.steady);
        tasks.retain(may_start);
        if tasks.is_empty() {
            return None;
        }
        let steps = tasks.iter().filter_map(|task| job.step(*task));
        let cores = steps.map(|step| f64::from(step.size.milli_cores.0)).sum();
        Some(Candidate {
            id: job.id(),
            tasks,
            priority: self.terms(&job.job).priority,
            urgency: urgency(job),
            outlook: self.outlook(job),
            queue: job.job.queue.clone(),
            cores,
        })
    }

    /// Returns what is expected of a job.
    pub(super) fn outlook(&self, job: &JobRun) -> Outlook {
        Outlook {
            spent: self.now.steady.saturating_sub(job.since),
            target: self.target_duration(job),
            left: self.remaining_critical_path(job),
            work: self.remaining_job_work(job),
        }
    }

    /// Returns the time after a job's acceptance by which it should be finished.
    pub(super) fn target_duration(&self, job: &JobRun) -> Duration {
        let Terms { target_stretch, target_latency, .. } = self.terms(&job.job);
        let measured = job.open_occurrences.last();
        let steps = 0..job.job.steps.len();
        let times = steps.map(|n| self.step_time(job, n, measured.and_then(|o| o.steps.get(n))));
        duration::scaled(critical_path(&job.job, times), target_stretch) + target_latency
    }

    /// Returns the length of the critical path of the steps that haven't succeeded yet.
    fn remaining_critical_path(&self, job: &JobRun) -> Duration {
        let left = |occurrence: &Occurrence| {
            let times = occurrence.steps.iter().enumerate().map(|(number, run)| {
                if run.succeeded() {
                    Duration::ZERO
                } else {
                    self.step_time(job, number, Some(run))
                }
            });
            critical_path(&job.job, times)
        };
        job.open_occurrences.iter().map(left).max().unwrap_or_default()
    }

    /// Returns the work of a job's tasks that haven't succeeded yet, in core-seconds.
    fn remaining_job_work(&self, job: &JobRun) -> f64 {
        let steps = job.open_occurrences.iter().flat_map(|o| o.steps.iter().enumerate());
        let work = steps.map(|(number, run)| {
            let open = run.tasks.iter().filter(|task| task.phase == TaskPhase::Open).count();
            let cores = job.job.steps.get(number).map_or(0, |step| step.size.milli_cores.0);
            let time = self.step_time(job, number, Some(run)).as_secs_f64();
            open as f64 * time * f64::from(cores) / 1000.0
        });
        work.sum()
    }

    /// Returns the time that a task of a step takes: that of the step's tasks which have succeeded
    /// in this shard, or the expected one.
    pub(super) fn step_time(&self, job: &JobRun, number: usize, run: Option<&StepRun>) -> Duration {
        let measured = run.and_then(|run| run.run_times.mean());
        let estimate = job.job.steps.get(number).map_or(Duration::ZERO, |step| step.estimate);
        measured.unwrap_or_else(|| self.run_times.expect(&job.job.queue, estimate))
    }
}

fn urgency(job: &JobRun) -> Urgency {
    let long_running = job.job.steps.iter().any(|step| step.life == Life::Lasting);
    if long_running { Urgency::LongRunning } else { Urgency::Finite }
}

/// Returns the tasks that can start.
pub(super) fn waiting(job: &JobRun, now: Duration) -> Vec<TaskRef> {
    let mut waiting = Vec::new();
    for occurrence in &job.open_occurrences {
        for (number, step) in occurrence.steps.iter().enumerate() {
            if step.ready.is_none() {
                continue;
            }
            let is_gang = job.job.steps.get(number).is_some_and(|step| step.grouping.is_gang());
            let free = |index: &usize| is_gang || !step.is_held_back(*index, now);
            let tasks = step.tasks.iter().enumerate().filter(|(_, task)| task.is_waiting());
            let free = tasks.map(|(index, _)| index).filter(free);
            waiting.extend(free.map(|index| job.task_ref(occurrence.number, number, index)));
        }
    }
    waiting
}

/// Returns the length of the critical path through steps that take these times.
pub(super) fn critical_path(job: &Job, times: impl Iterator<Item = Duration>) -> Duration {
    let mut until: Vec<Duration> = Vec::with_capacity(job.steps.len());
    for (step, time) in job.steps.iter().zip(times) {
        let before = step.after.iter().filter_map(|after| until.get(usize::from(*after)).copied());
        let start = before.max().unwrap_or_default();
        until.push(start + time);
    }
    until.into_iter().max().unwrap_or_default()
}
