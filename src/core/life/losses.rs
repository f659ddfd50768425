//! Backoff before a daemon reclaims a partition that another daemon took over.
//!
//! Two daemons that can both reach the key-value service but not each other both consider
//! themselves the preferred writer. Each reclaims the partition as soon as it loses it, and each
//! claim reads the whole log. Without an increasing delay the partition changes writer twice a
//! second and no other work gets through; with it one daemon writes for minutes at a time.

#[cfg(test)]
mod tests;

use std::time::Duration;

const MAX_DELAY: Duration = Duration::from_secs(120);
/// Time without a loss after which the backoff is reset.
const RESET_AFTER: Duration = Duration::from_secs(300);

/// Recent losses of one partition.
#[derive(Debug, Default)]
pub struct Losses {
    delay: Duration,
    last: Option<Duration>,
}

impl Losses {
    /// Records a loss and returns the delay before the partition is reclaimed. The first loss has
    /// no delay, as it is assumed to come from a change of members that has completed.
    pub fn record(&mut self, now: Duration, min_delay: Duration) -> Duration {
        let contested = self.last.is_some_and(|last| now < last + RESET_AFTER);
        self.delay =
            if contested { (self.delay * 2).max(min_delay).min(MAX_DELAY) } else { Duration::ZERO };
        self.last = Some(now);
        self.delay
    }
}
