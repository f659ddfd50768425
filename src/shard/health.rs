//! Which VMs are sick, by what became of the work there.
//!
//! A VM that fails whatever it starts still announces itself as well, and takes work faster than
//! any other since nothing stays on it. Results tell: when a VM fails several tasks within
//! seconds and ends few well, it gets no work for a while, and then one task at a time until one
//! ends well. A task that fails by its own fault fails elsewhere too, so that blame is taken back
//! from a VM when the task fails on another one.

use crate::job::TaskRef;
use std::collections::VecDeque;
use std::time::Duration;

/// Results that are weighed; older ones say nothing of the present.
const WINDOW: Duration = Duration::from_secs(5);

/// Failures in the window that make a VM suspect. With the highest share of faulty runs seen in
/// the users' sheets (0.03), two among a VM's dozen runs in five seconds happen to one VM in
/// twenty; the rule below asks for a share as well.
const MIN_FAILED: usize = 2;

/// First pause of a sick VM. Troubles last for 4 to 7 s.
const FIRST_REST: Duration = Duration::from_millis(1500);

/// Longest pause.
const MAX_REST: Duration = Duration::from_secs(6);

/// What is known of a VM's health.
#[derive(Clone, Debug, Default)]
pub struct Health {
    results: VecDeque<Outcome>,
    state: State,
    rests: u32,
}

#[derive(Clone, Copy, Debug)]
struct Outcome {
    at: Duration,
    task: TaskRef,
    well: bool,
}

/// Whether a VM gets work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    #[default]
    Well,
    /// No work until then.
    Resting { until: Duration },
    /// One task at a time, until one ends well.
    Trial,
}

impl Health {
    /// The state now.
    pub fn state(&self, now: Duration) -> State {
        match self.state {
            State::Resting { until } if now >= until => State::Trial,
            state => state,
        }
    }

    /// A run there ended well.
    pub fn succeeded(&mut self, task: TaskRef, now: Duration) {
        self.push(Outcome { at: now, task, well: true });
        if self.state(now) == State::Trial {
            self.state = State::Well;
            self.rests = 0;
            self.results.clear();
        }
    }

    /// A run or a start failed there; true if the VM is held for sick from now on.
    pub fn failed(&mut self, task: TaskRef, now: Duration) -> bool {
        self.push(Outcome { at: now, task, well: false });
        match self.state(now) {
            State::Resting { .. } => false,
            State::Trial => self.rest(now),
            State::Well => self.is_suspect(now) && self.rest(now),
        }
    }

    /// The same task failed on another VM as well: it is to blame, and not this one.
    pub fn excuse(&mut self, task: TaskRef) {
        self.results.retain(|r| r.well || r.task != task);
    }

    /// Failed results in the window, and all results.
    pub fn recent(&self, now: Duration) -> (usize, usize) {
        let in_window = |r: &&Outcome| now.saturating_sub(r.at) < WINDOW;
        let all = self.results.iter().filter(in_window).count();
        let failed = self.results.iter().filter(in_window).filter(|r| !r.well).count();
        (failed, all)
    }

    fn push(&mut self, outcome: Outcome) {
        self.results.push_back(outcome);
        while self.results.front().is_some_and(|r| outcome.at.saturating_sub(r.at) >= WINDOW) {
            self.results.pop_front();
        }
    }

    fn is_suspect(&self, now: Duration) -> bool {
        let (failed, all) = self.recent(now);
        failed >= MIN_FAILED && 2 * failed >= all
    }

    fn rest(&mut self, now: Duration) -> bool {
        let rest = (FIRST_REST * (1 << self.rests.min(4))).min(MAX_REST);
        self.rests += 1;
        self.state = State::Resting { until: now + rest };
        true
    }
}
