//! Shards that returned tasks of a step without having started them.
//!
//! Summaries of other shards tell neither permits nor how many tasks of a step a VM runs, so a shard
//! with free VMs may be unable to run a task. Those that returned one are tried after all others, the
//! one that returned it longest ago first.

#[cfg(test)]
mod tests;

use indexmap::IndexMap;
use std::sync::Arc;
use std::time::Duration;

/// Time until a step that needs permits is lent again to a shard that returned it for the first time.
/// A shard without permitted VMs returns it within some 100 ms, so that the task would otherwise go
/// back and forth without pause.
const MIN_BACKOFF: Duration = Duration::from_millis(1500);

/// Longest such time, after several returns.
const MAX_BACKOFF: Duration = Duration::from_secs(12);

/// Time after which a return says nothing about a shard any more.
const RETENTION: Duration = Duration::from_secs(30);

/// Returns of a step's tasks, by shard.
#[derive(Debug, Default)]
pub struct Declines(IndexMap<Arc<str>, Decline>);

#[derive(Clone, Copy, Debug)]
struct Decline {
    /// Time of the last return.
    at: Duration,
    backoff: Duration,
}

impl Declines {
    /// Records that a shard has returned a task that it did not start.
    pub fn record(&mut self, shard: &Arc<str>, now: Duration) {
        self.0.retain(|_, decline| now.saturating_sub(decline.at) < RETENTION);
        let new = Decline { at: now, backoff: MIN_BACKOFF };
        let known = self.0.entry(shard.clone()).or_insert(new);
        // Several tasks of the step may be returned at once.
        if !known.is_backing_off(now) {
            known.backoff = (known.backoff * 2).min(MAX_BACKOFF);
        }
        known.at = now;
    }

    /// Returns when a shard last returned a task; `None` if it hasn't recently.
    pub fn last(&self, shard: &str, now: Duration) -> Option<Duration> {
        let decline = self.0.get(shard)?;
        (now.saturating_sub(decline.at) < RETENTION).then_some(decline.at)
    }

    /// Returns whether a shard has returned a task so recently that it would do so again.
    pub fn is_backing_off(&self, shard: &str, now: Duration) -> bool {
        self.0.get(shard).is_some_and(|decline| decline.is_backing_off(now))
    }
}

impl Decline {
    fn is_backing_off(&self, now: Duration) -> bool {
        now.saturating_sub(self.at) < self.backoff
    }
}
