//! Detection of faulty VMs from the results of their runs.
//!
//! A VM on which every task fails still announces itself as healthy, and since its runs end quickly
//! it attracts more work than any other. The results reveal it: a VM on which several tasks fail
//! within seconds and few succeed gets no work for a while, and then one task at a time until one
//! succeeds. A task that is itself at fault also fails on other VMs, so its failure on one VM is
//! disregarded once it has failed on another.

use crate::job::TaskRef;
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

/// Recent results and quarantine state of a VM.
#[derive(Clone, Debug, Default)]
pub struct Health {
    results: VecDeque<TaskResult>,
    state: State,
    quarantines: u32,
}

#[derive(Clone, Copy, Debug)]
struct TaskResult {
    at: Duration,
    task: TaskRef,
    succeeded: bool,
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

    /// Records a successful run.
    pub fn succeeded(&mut self, task: TaskRef, now: Duration) {
        self.push(TaskResult { at: now, task, succeeded: true });
        if self.state(now) == State::Probation {
            self.state = State::Healthy;
            self.quarantines = 0;
            self.results.clear();
        }
    }

    /// Records a failed run or start, and returns whether it puts the VM into quarantine.
    pub fn failed(&mut self, task: TaskRef, now: Duration) -> bool {
        self.push(TaskResult { at: now, task, succeeded: false });
        match self.state(now) {
            State::Quarantined { .. } => false,
            State::Probation => self.quarantine(now),
            State::Healthy => self.is_unreliable(now) && self.quarantine(now),
        }
    }

    /// Disregards the failure of a task that failed on another VM as well, since the task is at
    /// fault and not this VM.
    pub fn disregard_failure(&mut self, task: TaskRef) {
        self.results.retain(|r| r.succeeded || r.task != task);
    }

    /// Returns the number of failed results and of all results within the window.
    pub fn recent(&self, now: Duration) -> (usize, usize) {
        let in_window = |r: &&TaskResult| now.saturating_sub(r.at) < WINDOW;
        let all = self.results.iter().filter(in_window).count();
        let failed = self.results.iter().filter(in_window).filter(|r| !r.succeeded).count();
        (failed, all)
    }

    fn push(&mut self, result: TaskResult) {
        self.results.push_back(result);
        while self.results.front().is_some_and(|r| result.at.saturating_sub(r.at) >= WINDOW) {
            self.results.pop_front();
        }
    }

    fn is_unreliable(&self, now: Duration) -> bool {
        let (failed, all) = self.recent(now);
        failed >= MIN_FAILURES && 2 * failed >= all
    }

    fn quarantine(&mut self, now: Duration) -> bool {
        let quarantine = (INITIAL_QUARANTINE * (1 << self.quarantines.min(4))).min(MAX_QUARANTINE);
        self.quarantines += 1;
        self.state = State::Quarantined { until: now + quarantine };
        true
    }
}
