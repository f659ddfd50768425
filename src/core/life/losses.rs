//! How soon a daemon claims a partition again that another one took from it.
//!
//! Two daemons that both reach the key-value service and don't hear of each other each think that
//! they are proposed. Each claims the partition as soon as it has lost it, and each claim reads the
//! whole log: without a growing wait the partition changes hands twice a second, and nothing but
//! claims gets through. With it one of them writes for minutes at a time.

#[cfg(test)]
mod tests;

use std::time::Duration;

const LONGEST_WAIT: Duration = Duration::from_secs(120);
/// A partition kept for this long was not fought over.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(300);

/// Losses of one partition, one soon after another.
#[derive(Debug, Default)]
pub struct Losses {
    wait: Duration,
    last: Option<Duration>,
}

impl Losses {
    /// Notes a loss, and returns the wait before the partition is claimed again. The first loss is
    /// taken for a change of members that is over by then.
    pub fn note(&mut self, now: Duration, least: Duration) -> Duration {
        let fought = self.last.is_some_and(|last| now < last + FORGOTTEN_AFTER);
        self.wait =
            if fought { (self.wait * 2).max(least).min(LONGEST_WAIT) } else { Duration::ZERO };
        self.last = Some(now);
        self.wait
    }
}
