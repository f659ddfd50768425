//! Run times of finite tasks, learned from the tasks that have succeeded.
//!
//! Pattern: shrinkage regression. Callers' estimates may be off by a factor of several, and by how
//! much differs by queue and changes with its work. For each queue, the logarithm of the run time is
//! regressed on that of the estimate, with weights that decay from task to task. Where a queue's
//! estimates tell little, the expected run time is near the queue's mean; where they are right, it
//! follows them. Before anything is learned it is the estimate.
//!
//! Each shard reports what it has learned itself. A shard keeps the reports of the others by source,
//! so that a later report replaces the earlier one, and expects run times by all of them together.

#[cfg(test)]
mod tests;

use crate::job::QueueName;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Number of tasks after which an observation's weight has fallen to about a third.
const MEMORY_TASKS: f64 = 2000.0;

/// Weight, in tasks, of the assumption that estimates are right. A step's tasks take similar times,
/// so a few steps are needed to outweigh it.
const PRIOR_TASKS: f64 = 60.0;

/// Number of tasks after which the mean run time of a queue is known: those of a dozen steps or more.
const LEARNED_TASKS: f64 = 300.0;

/// Variance of the estimates' logarithms under that assumption.
const PRIOR_VARIANCE: f64 = 0.25;

/// Shortest time that is learned from or estimated; logarithms of zero don't exist.
const MIN_TIME: Duration = Duration::from_millis(10);

/// Largest absolute value of the logarithm of a time in seconds; that of the longest `Duration` is 44.
const MAX_LOG_SECS: f64 = 50.0;

/// Largest factor between a run time and its estimate that is believed.
const MAX_FACTOR: f64 = 20.0;

/// Weight, in tasks, below which what was learned of a queue is forgotten. An unused queue's weight
/// falls with time only.
const MIN_TASKS: f64 = 0.5;

/// Learned run times, by queue.
#[derive(Clone, Debug, Default)]
pub(super) struct RunTimes {
    /// Learned by this shard.
    local: IndexMap<QueueName, Regression>,
    /// Last reports of other shards.
    from_shards: IndexMap<String, IndexMap<QueueName, Regression>>,
    /// Local and reported run times combined.
    combined: IndexMap<QueueName, Regression>,
}

/// What one shard has learned of the run times of a queue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueueRunTimes {
    pub queue: QueueName,
    pub times: Regression,
}

/// Weighted regression of run times on estimates, both as logarithms of seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Regression {
    /// Sum of the weights.
    tasks: f64,
    mean_estimate: f64,
    mean_run_time: f64,
    /// Weighted sums of squares and products of the deviations from the means.
    estimate_squares: f64,
    products: f64,
    /// Weighted sum of the squared errors of the predictions made before each observation.
    error_squares: f64,
}

impl RunTimes {
    /// Learns from a task that has succeeded in one undisturbed run.
    pub fn learn(&mut self, queue: &QueueName, estimate: Duration, run_time: Duration) {
        let (estimate, run_time) = (log_secs(estimate), log_secs(run_time));
        let error = run_time - self.regression(queue).predict(estimate);
        let local = match self.local.get_mut(queue) {
            Some(local) => local,
            None => self.local.entry(queue.clone()).or_default(),
        };
        local.add(estimate, run_time, error);
        self.combine(queue);
    }

    /// Returns what this shard has learned itself, to be sent to other shards.
    pub fn learned(&self) -> Vec<QueueRunTimes> {
        let learned = |(queue, times): (&QueueName, &Regression)| QueueRunTimes {
            queue: queue.clone(),
            times: *times,
        };
        self.local.iter().map(learned).collect()
    }

    /// Replaces what this shard has learned itself by what an earlier owner of it had learned.
    pub fn restore(&mut self, learned: Vec<QueueRunTimes>) {
        self.local = by_queue(learned);
        self.combine_all();
    }

    /// Replaces the report of another shard.
    pub fn merge(&mut self, from: &str, learned: Vec<QueueRunTimes>) {
        let before = self.from_shards.insert(from.to_owned(), by_queue(learned));
        let now = self.from_shards.get(from).into_iter().flat_map(IndexMap::keys);
        let changed: IndexSet<QueueName> =
            before.iter().flat_map(IndexMap::keys).chain(now).cloned().collect();
        changed.iter().for_each(|queue| self.combine(queue));
    }

    /// Multiplies the weight of everything learned, and forgets queues of which nearly nothing is
    /// left.
    pub fn decay(&mut self, factor: f64) {
        for queues in self.from_shards.values_mut().chain([&mut self.local]) {
            queues.values_mut().for_each(|times| *times = times.scaled(factor));
            queues.retain(|_, times| times.is_significant());
        }
        self.from_shards.retain(|_, queues| !queues.is_empty());
        self.combine_all();
    }

    fn combine_all(&mut self) {
        self.combined.clear();
        let queues: IndexSet<QueueName> = self
            .from_shards
            .values()
            .chain([&self.local])
            .flat_map(IndexMap::keys)
            .cloned()
            .collect();
        queues.iter().for_each(|queue| self.combine(queue));
    }

    fn combine(&mut self, queue: &QueueName) {
        let heard = self.from_shards.values();
        let all = heard.chain([&self.local]).filter_map(|queues| queues.get(queue));
        let Some(combined) = all.copied().reduce(Regression::combined_with) else {
            self.combined.swap_remove(queue);
            return;
        };
        match self.combined.get_mut(queue) {
            Some(known) => *known = combined,
            None => {
                self.combined.insert(queue.clone(), combined);
            }
        }
    }

    fn regression(&self, queue: &QueueName) -> Regression {
        self.combined.get(queue).copied().unwrap_or_default()
    }

    /// Returns the expected run time of a task with this estimate.
    pub fn expect(&self, queue: &QueueName, estimate: Duration) -> Duration {
        let Some(regression) = self.combined.get(queue) else { return estimate };
        if estimate.is_zero() {
            return estimate;
        }
        let log_estimate = log_secs(estimate);
        let factor = (regression.predict(log_estimate) - log_estimate).exp();
        estimate.mul_f64(factor.clamp(1.0 / MAX_FACTOR, MAX_FACTOR))
    }

    /// Returns whether more is known of a queue's run times than its estimates.
    pub fn is_learned(&self, queue: &QueueName) -> bool {
        self.combined.get(queue).is_some_and(|regression| regression.tasks >= LEARNED_TASKS)
    }

    /// Returns the standard deviation of the logarithm of a run time around that of the expected
    /// one.
    pub fn deviation(&self, queue: &QueueName) -> f64 {
        self.regression(queue).deviation()
    }
}

impl Regression {
    /// Adds a task whose run time was predicted with this error.
    fn add(&mut self, estimate: f64, run_time: f64, error: f64) {
        let decay = 1.0 - 1.0 / MEMORY_TASKS;
        self.error_squares = self.error_squares * decay + error.powi(2);
        let before = self.tasks * decay;
        self.tasks = before + 1.0;
        let (off_estimate, off_run_time) =
            (estimate - self.mean_estimate, run_time - self.mean_run_time);
        self.mean_estimate += off_estimate / self.tasks;
        self.mean_run_time += off_run_time / self.tasks;
        let spread = before / self.tasks;
        self.estimate_squares = self.estimate_squares * decay + spread * off_estimate.powi(2);
        self.products = self.products * decay + spread * off_estimate * off_run_time;
    }

    /// Combines what was learned from two separate sets of tasks.
    fn combined_with(self, other: Self) -> Self {
        let tasks = self.tasks + other.tasks;
        if tasks <= 0.0 {
            return self;
        }
        let share = other.tasks / tasks;
        let (off_estimate, off_run_time) =
            (other.mean_estimate - self.mean_estimate, other.mean_run_time - self.mean_run_time);
        let spread = self.tasks * share;
        Self {
            tasks,
            mean_estimate: self.mean_estimate + share * off_estimate,
            mean_run_time: self.mean_run_time + share * off_run_time,
            estimate_squares: self.estimate_squares
                + other.estimate_squares
                + spread * off_estimate.powi(2),
            products: self.products + other.products + spread * off_estimate * off_run_time,
            error_squares: self.error_squares + other.error_squares,
        }
    }

    /// Returns the regression with its weight multiplied.
    pub fn scaled(self, factor: f64) -> Self {
        Self {
            tasks: self.tasks * factor,
            estimate_squares: self.estimate_squares * factor,
            products: self.products * factor,
            error_squares: self.error_squares * factor,
            ..self
        }
    }

    /// Returns the weight, in tasks.
    pub fn weight(&self) -> f64 {
        self.tasks
    }

    /// Returns whether enough is known to keep it.
    pub fn is_significant(&self) -> bool {
        self.tasks >= MIN_TASKS
    }

    /// Returns whether the values are possible ones. They are bounded so that sums over all shards
    /// stay finite; an expected run time that isn't a number can't be computed with.
    pub fn is_valid(&self) -> bool {
        let max_squares = 2.0 * MEMORY_TASKS * MAX_LOG_SECS.powi(2) * 4.0;
        let is_mean = |mean: f64| mean.abs() <= MAX_LOG_SECS;
        let is_sum = |sum: f64| (0.0..=max_squares).contains(&sum);
        (0.0..=2.0 * MEMORY_TASKS).contains(&self.tasks)
            && is_mean(self.mean_estimate)
            && is_mean(self.mean_run_time)
            && is_sum(self.estimate_squares)
            && is_sum(self.error_squares)
            && self.products.abs() <= max_squares
    }

    fn predict(&self, estimate: f64) -> f64 {
        let prior_squares = PRIOR_TASKS * PRIOR_VARIANCE;
        let slope = (self.products + prior_squares) / (self.estimate_squares + prior_squares);
        let bias =
            (self.mean_run_time - self.mean_estimate) * self.tasks / (self.tasks + PRIOR_TASKS);
        self.mean_estimate + bias + slope.clamp(0.0, 1.0) * (estimate - self.mean_estimate)
    }

    fn deviation(&self) -> f64 {
        let squares = self.error_squares + PRIOR_TASKS * PRIOR_VARIANCE;
        (squares / (self.tasks + PRIOR_TASKS)).sqrt()
    }
}

fn by_queue(learned: Vec<QueueRunTimes>) -> IndexMap<QueueName, Regression> {
    learned.into_iter().map(|learned| (learned.queue, learned.times)).collect()
}

fn log_secs(time: Duration) -> f64 {
    time.max(MIN_TIME).as_secs_f64().ln()
}
