//! Expectations about a job that decide when its tasks get freed capacity.
//!
//! Pattern: shortest remaining work first among the jobs that can meet their targets. While more
//! work arrives than fits, jobs that can't be in time any more come behind those that can, and a job
//! that takes little work before one that takes much. Most jobs are then in time at the expense of
//! a few; the order of arrival, of targets, or of the shortest remaining time makes nearly all of
//! them late. A job is not passed over for good: freed capacity goes to late jobs too once those in
//! time have none waiting, and work that has been done brings a job forward.

#[cfg(test)]
mod tests;

use std::cmp::Ordering;
use std::time::Duration;

/// Multiple of its target duration after which a finished job is no longer useful to its caller.
pub(in crate::shard) const USEFUL_DURATION_FACTOR: f64 = 3.0;

/// What is expected of a job.
#[derive(Clone, Copy, Debug)]
pub(in crate::shard) struct Outlook {
    /// Time since the job was accepted.
    pub spent: Duration,
    /// Time after its acceptance by which it should be finished.
    pub target: Duration,
    /// Time that it takes to finish from now on, if none of its tasks has to wait.
    pub left: Duration,
    /// Work of its tasks that haven't succeeded, in core-seconds.
    pub work: f64,
}

/// Whether a job can still be finished in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::shard) enum Timeliness {
    /// The job can finish within its target duration.
    InTime,
    /// The job will be late but still useful.
    Late,
    /// The result will come too late to be useful; the job is run nevertheless.
    Overdue,
}

impl Outlook {
    /// Returns whether the job can still be finished in time.
    pub fn timeliness(&self) -> Timeliness {
        let end = self.spent + self.left;
        if end <= self.target {
            Timeliness::InTime
        } else if end <= self.target.mul_f64(USEFUL_DURATION_FACTOR) {
            Timeliness::Late
        } else {
            Timeliness::Overdue
        }
    }

    /// Returns how long the job can wait and still be finished in time.
    pub fn slack(&self) -> Duration {
        self.target.saturating_sub(self.spent + self.left)
    }

    /// Orders jobs by when they get capacity, the first one being `Less`.
    pub fn compare(&self, other: &Self) -> Ordering {
        self.timeliness()
            .cmp(&other.timeliness())
            .then_with(|| self.rank().total_cmp(&other.rank()))
    }

    /// Order among jobs of the same timeliness, lowest first.
    fn rank(&self) -> f64 {
        match self.timeliness() {
            Timeliness::InTime | Timeliness::Late => self.work,
            Timeliness::Overdue => self.spent.as_secs_f64(),
        }
    }
}
