//! Delay between failed reads of the store.
//!
//! Pattern: exponential backoff of a whole cluster during an outage. Every daemon follows several
//! ranges of the store, so that a fixed delay makes an outage cost more calls than hours of normal
//! work, and grow with the number of daemons. Daemons that own shards keep a short delay: their
//! work stands still until they are back.

#[cfg(test)]
mod tests;

use super::records::retry_delay;
use crate::kv::Error;
use std::time::Duration;

/// Longest delay on a daemon without shards. Callers' jobs don't wait for it, as it hears from
/// owners when the store is back.
const MAX_IDLE_DELAY: Duration = Duration::from_millis(640);

/// Whether a daemon owns or is claiming a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    Owner,
    Idle,
}

/// Delay after a read failed for the `in_row`th time in a row.
pub fn read_delay(error: &Error, in_row: u32, urgency: Urgency) -> Duration {
    let base = retry_delay(error);
    match urgency {
        Urgency::Owner => base,
        Urgency::Idle => {
            let factor = 2_u32.saturating_pow(in_row.saturating_sub(1));
            base.saturating_mul(factor).min(MAX_IDLE_DELAY)
        }
    }
}
