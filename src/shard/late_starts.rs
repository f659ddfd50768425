//! Starts for an instance of a VM that its next instance may still carry out.

#[cfg(test)]
mod tests;

use super::lease::{Delivery, OpenCalls};
use super::vm_run::RunKey;
use indexmap::IndexMap;
use std::time::Duration;

/// Runs whose start was not answered, and until when the next instance under the same registered
/// id may still carry it out. The run may have ended or been stopped since.
#[derive(Debug, Default)]
pub struct LateStarts {
    starts: IndexMap<RunKey, LateStart>,
}

/// Starts of one run.
#[derive(Debug, Default)]
struct LateStart {
    /// Latest time that starts without an answer set.
    unanswered: Duration,
    open: OpenCalls,
}

impl LateStart {
    fn end(&self) -> Duration {
        if self.open.is_empty() { self.unanswered } else { self.unanswered.max(self.open.end()) }
    }
}

impl LateStarts {
    /// Records that a start is being sent, which may be carried out until `end`.
    pub fn send(&mut self, key: RunKey, end: Duration) {
        self.starts.entry(key).or_default().open.add(end);
    }

    /// Records that a start has ended. If it got no answer, it may be carried out until `end`.
    pub fn settle(&mut self, key: RunKey, delivery: Delivery, end: Duration) {
        if delivery == Delivery::Unanswered {
            self.expect(key, end);
        }
        let Some(start) = self.starts.get_mut(&key) else { return };
        start.open.remove();
        if start.open.is_empty() && start.unanswered.is_zero() {
            self.starts.shift_remove(&key);
        }
    }

    /// Records that a start may be carried out until `end`.
    pub fn expect(&mut self, key: RunKey, end: Duration) {
        let start = self.starts.entry(key).or_default();
        start.unanswered = start.unanswered.max(end);
    }

    /// Forgets the runs that can't be started any more, unless `is_kept`.
    pub fn forget_past(&mut self, now: Duration, is_kept: impl Fn(&RunKey) -> bool) {
        self.starts.retain(|key, start| start.end() > now || is_kept(key));
    }

    /// Time until which the start of a run may be carried out.
    pub fn end(&self, key: RunKey) -> Option<Duration> {
        self.starts.get(&key).map(LateStart::end)
    }

    /// Whether the result of a start is outstanding.
    pub fn has_open(&self) -> bool {
        self.starts.values().any(|start| !start.open.is_empty())
    }

    /// Runs with the time until which their start may be carried out.
    pub fn ends(&self) -> impl Iterator<Item = (RunKey, Duration)> + '_ {
        self.starts.iter().map(|(key, start)| (*key, start.end()))
    }
}
