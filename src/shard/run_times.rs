//! Run times of finite tasks, learned from the tasks that have succeeded.
//!
//! Pattern: shrinkage regression. Callers' estimates may be off by a factor of several, and by how
//! much differs by queue and changes with its work. For each queue, the logarithm of the run time is
//! regressed on that of the estimate, with weights that decay from task to task. Where a queue's
//! estimates tell little, the expected run time is near the queue's mean; where they are right, it
//! follows them. Before anything is learned it is the estimate.

#[cfg(test)]
mod tests;

use crate::job::QueueName;
use indexmap::IndexMap;
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

/// Largest factor between a run time and its estimate that is believed.
const MAX_FACTOR: f64 = 20.0;

/// Learned run times, by queue.
#[derive(Clone, Debug, Default)]
pub(super) struct RunTimes {
    queues: IndexMap<QueueName, Regression>,
}

/// Weighted regression of run times on estimates, both as logarithms of seconds.
#[derive(Clone, Copy, Debug, Default)]
struct Regression {
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
        let regression = match self.queues.get_mut(queue) {
            Some(regression) => regression,
            None => self.queues.entry(queue.clone()).or_default(),
        };
        regression.add(log_secs(estimate), log_secs(run_time));
    }

    /// Returns the expected run time of a task with this estimate.
    pub fn expect(&self, queue: &QueueName, estimate: Duration) -> Duration {
        let Some(regression) = self.queues.get(queue) else { return estimate };
        if estimate.is_zero() {
            return estimate;
        }
        let log_estimate = log_secs(estimate);
        let factor = (regression.predict(log_estimate) - log_estimate).exp();
        estimate.mul_f64(factor.clamp(1.0 / MAX_FACTOR, MAX_FACTOR))
    }

    /// Returns whether more is known of a queue's run times than its estimates.
    pub fn is_learned(&self, queue: &QueueName) -> bool {
        self.queues.get(queue).is_some_and(|regression| regression.tasks >= LEARNED_TASKS)
    }

    /// Returns the standard deviation of the logarithm of a run time around that of the expected
    /// one.
    pub fn deviation(&self, queue: &QueueName) -> f64 {
        self.queues.get(queue).copied().unwrap_or_default().deviation()
    }
}

impl Regression {
    fn add(&mut self, estimate: f64, run_time: f64) {
        let decay = 1.0 - 1.0 / MEMORY_TASKS;
        let error = run_time - self.predict(estimate);
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

fn log_secs(time: Duration) -> f64 {
    time.max(MIN_TIME).as_secs_f64().ln()
}
