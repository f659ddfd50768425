//! Detection of faulty VMs from the results of their runs.
//!
//! A VM on which every task fails still announces itself as healthy, and since its runs end quickly
//! it attracts more work than any other. The results reveal it: a VM on which several tasks fail
//! within seconds and few succeed gets no work for a while, and then one task at a time until one
//! succeeds.
//!
//! A task that is itself at fault fails as well, and a long-running one again and again. What a
//! failure tells about the VM depends on what is known of the task and of others of its step, see
//! [`Evidence`].

#[cfg(test)]
mod tests;

use crate::job::{JobId, TaskRef};
use indexmap::IndexSet;
use std::collections::VecDeque;
use std::time::Duration;

/// Period in which results are counted; older results say nothing about the VM's current state.
const WINDOW: Duration = Duration::from_secs(5);

/// Failures within the window that make a VM unreliable. At the highest share of faulty runs in the
/// users' sheets (0.03), one VM in twenty has two among its dozen runs in five seconds, so the rule
/// also requires a share of failures.
const MIN_FAILURES: usize = 2;

/// First quarantine of a faulty VM. Faults last 4 to 7 s.
const INITIAL_QUARANTINE: Duration = Duration::from_millis(1500);

/// Longest quarantine.
const MAX_QUARANTINE: Duration = Duration::from_secs(6);

/// What a failed run tells about its VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// Other runs of the step work, so that the VM is the likely cause.
    Strong,
    /// No run of the step is known to have worked. The failures of one job then count once, since the
    /// job may be the cause of all of them.
    Weak,
    /// No run of the step is known to have worked, and the task has failed on another VM or several
    /// times in a row, so that the task is the likely cause.
    None,
}

/// What follows from a failed run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consequence {
    None,
    /// The VM gets no tasks of the step until then. Whether it or the job is at fault isn't known yet.
    Avoid {
        until: Duration,
    },
    /// The VM gets no work.
    Quarantine,
}

/// Recent results and quarantine state of a VM.
#[derive(Clone, Debug, Default)]
pub struct Health {
    results: VecDeque<TaskResult>,
    state: State,
    quarantines: u32,
    /// Failures that have led to the quarantine.
    causes: Vec<Failure>,
}

#[derive(Clone, Copy, Debug)]
struct TaskResult {
    at: Duration,
    task: TaskRef,
    /// Set if the run has failed.
    failure: Option<Failure>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Failure {
    task: TaskRef,
    evidence: Evidence,
}

/// Whether a VM gets work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    #[default]
    Healthy,
    /// Gets no work until then.
    Quarantined { until: Duration },
    /// Gets one task at a time until one succeeds.
    Probation,
}

impl Health {
    /// Returns the current state.
    pub fn state(&self, now: Duration) -> State {
        match self.state {
            State::Quarantined { until } if now >= until => State::Probation,
            state => state,
        }
    }

    /// Records a run that has succeeded, or a long-running one that has worked for a while.
    pub fn succeeded(&mut self, task: TaskRef, now: Duration) {
        self.push(TaskResult { at: now, task, failure: None });
        if self.state(now) == State::Probation {
            self.release();
            self.results.clear();
        }
    }

    /// Records a failed run or start.
    pub fn failed(&mut self, task: TaskRef, evidence: Evidence, now: Duration) -> Consequence {
        if evidence == Evidence::None {
            return Consequence::None;
        }
        let failure = Failure { task, evidence };
        self.results.retain(|result| result.failure.is_none() || result.task != task);
        self.push(TaskResult { at: now, task, failure: Some(failure) });
        match self.state(now) {
            State::Quarantined { .. } => Consequence::None,
            State::Probation => self.quarantine(now),
            State::Healthy if self.is_unreliable(now) => self.quarantine(now),
            State::Healthy if self.fails_job(task.job, now) => {
                Consequence::Avoid { until: now + INITIAL_QUARANTINE }
            }
            State::Healthy => Consequence::None,
        }
    }

    /// Counts the recent failures of a job in full, since others of its runs work on other VMs.
    pub fn confirm_failures(&mut self, job: JobId, now: Duration) -> Consequence {
        for failure in self.results.iter_mut().filter_map(|result| result.failure.as_mut()) {
            if failure.task.job == job {
                failure.evidence = Evidence::Strong;
            }
        }
        if self.state(now) == State::Healthy && self.is_unreliable(now) {
            return self.quarantine(now);
        }
        Consequence::None
    }

    /// Disregards the failure of a task that failed on another VM as well, since the task is at
    /// fault and not this VM. Returns whether this ends a quarantine.
    pub fn disregard_failure(&mut self, task: TaskRef) -> bool {
        self.results.retain(|result| result.failure.is_none() || result.task != task);
        self.causes.retain(|cause| cause.task != task || cause.evidence == Evidence::Strong);
        let ends = self.state != State::Healthy && count_failures(&self.causes) < MIN_FAILURES;
        if ends {
            self.release();
        }
        ends
    }

    /// Returns the number of failed results and of all results within the window.
    pub fn recent(&self, now: Duration) -> (usize, usize) {
        let all = self.results.iter().filter(|result| is_recent(result, now)).count();
        (self.recent_failures(now).len(), all)
    }

    fn recent_failures(&self, now: Duration) -> Vec<Failure> {
        let recent = self.results.iter().filter(|result| is_recent(result, now));
        recent.filter_map(|result| result.failure).collect()
    }

    fn push(&mut self, result: TaskResult) {
        self.results.push_back(result);
        while self.results.front().is_some_and(|first| !is_recent(first, result.at)) {
            self.results.pop_front();
        }
    }

    fn is_unreliable(&self, now: Duration) -> bool {
        let (failed, all) = self.recent(now);
        count_failures(&self.recent_failures(now)) >= MIN_FAILURES && 2 * failed >= all
    }

    /// Returns whether several tasks of a job have failed here recently.
    fn fails_job(&self, job: JobId, now: Duration) -> bool {
        let failures = self.recent_failures(now);
        failures.iter().filter(|failure| failure.task.job == job).count() >= MIN_FAILURES
    }

    fn quarantine(&mut self, now: Duration) -> Consequence {
        for failure in self.recent_failures(now) {
            if !self.causes.contains(&failure) {
                self.causes.push(failure);
            }
        }
        let quarantine = (INITIAL_QUARANTINE * (1 << self.quarantines.min(4))).min(MAX_QUARANTINE);
        self.quarantines += 1;
        self.state = State::Quarantined { until: now + quarantine };
        Consequence::Quarantine
    }

    fn release(&mut self) {
        self.state = State::Healthy;
        self.quarantines = 0;
        self.causes.clear();
    }
}

fn is_recent(result: &TaskResult, now: Duration) -> bool {
    now.saturating_sub(result.at) < WINDOW
}

/// Counts failures, those of a job without other evidence once.
fn count_failures(failures: &[Failure]) -> usize {
    let strong = failures.iter().filter(|failure| failure.evidence == Evidence::Strong).count();
    let weak = failures.iter().filter(|failure| failure.evidence == Evidence::Weak);
    let jobs: IndexSet<JobId> = weak.map(|failure| failure.task.job).collect();
    strong + jobs.len()
}
