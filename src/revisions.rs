//! Times at which revisions of the store were written, as far as a daemon's own calls tell.
//!
//! An answer that reports the store's revision shows that all changes up to it were made before the
//! answer, and all later ones after the request.

#[cfg(test)]
mod tests;

use crate::kv::Rev;
use std::collections::VecDeque;
use std::time::Duration;

/// Time for which samples are kept.
const RETENTION: Duration = Duration::from_secs(30);

/// Minimum time between two samples.
const MIN_INTERVAL: Duration = Duration::from_millis(100);

/// Bounds of the times of revisions, on the daemon's monotonic clock.
#[derive(Debug, Default)]
pub struct RevisionTimes {
    /// Ordered by each of their fields.
    samples: VecDeque<Sample>,
}

/// The store was at a revision at some time between the request and the answer.
#[derive(Clone, Copy, Debug)]
struct Sample {
    asked: Duration,
    answered: Duration,
    rev: Rev,
}

impl RevisionTimes {
    /// Records an answer that reports the store's revision as of some time after the request.
    ///
    /// Samples that follow the last one too closely are dropped, and so are answers that were
    /// overtaken by a later one.
    pub fn record(&mut self, asked: Duration, answered: Duration, rev: Rev) {
        if let Some(last) = self.samples.back() {
            let is_later = asked >= last.asked && rev >= last.rev;
            if !is_later || answered < last.answered + MIN_INTERVAL {
                return;
            }
        }
        self.samples.push_back(Sample { asked, answered, rev });
        while self.samples.front().is_some_and(|first| first.answered + RETENTION < answered) {
            self.samples.pop_front();
        }
    }

    /// Time after which a revision was written; `None` if unknown.
    pub fn written_after(&self, rev: Rev) -> Option<Duration> {
        let later = self.samples.partition_point(|sample| sample.rev < rev);
        let last_before = later.checked_sub(1)?;
        self.samples.get(last_before).map(|sample| sample.asked)
    }

    /// Time before which a revision was written; `None` if unknown.
    pub fn written_before(&self, rev: Rev) -> Option<Duration> {
        let later = self.samples.partition_point(|sample| sample.rev < rev);
        self.samples.get(later).map(|sample| sample.answered)
    }

    /// A revision that the store had reached by this time: the last one known, or else the first
    /// one known after it.
    pub fn reached_by(&self, at: Duration) -> Option<Rev> {
        let later = self.samples.partition_point(|sample| sample.answered <= at);
        self.samples.get(later.saturating_sub(1)).map(|sample| sample.rev)
    }
}
