//! What an eviction costs, and how many are allowed.

use super::Resident;
use super::decide::{PARTS, Shares};
use crate::model::{Idempotency, Resumption};
use std::time::Duration;

/// Work lost by checkpointing, moving and starting again, as run time.
const RESTART: Duration = Duration::from_secs(10);

/// A task that will be done by then is left to finish.
const NEARLY_DONE: Duration = Duration::from_secs(30);

/// Evictions that a daemon may do at once, after it did none for long.
const BURST: f64 = 3.0;

/// Time for one eviction to be allowed again, with equal weights.
const REFILL: Duration = Duration::from_secs(60);

/// What evicting the task would lose, in parts of its declared run time, and a tenth more for the
/// move itself; `None` if it is never evicted: once started, a task that is not idempotent could
/// only be ended as unknown.
pub fn cost(resident: &Resident, now: Duration) -> Option<i64> {
    if resident.spec.idempotency == Idempotency::NonIdempotent {
        return None;
    }
    let ran = now.saturating_sub(resident.since);
    let lost = match resident.spec.resumption {
        Resumption::Never => return None,
        Resumption::FromStart => ran,
        Resumption::Checkpoint => {
            resident.checkpoint_at.map_or(ran, |at| now.saturating_sub(at).min(ran))
        }
    };
    let whole = resident.spec.expected.max(RESTART).as_secs_f64();
    let lost = (lost + RESTART).as_secs_f64() / whole;
    Some(((lost.min(10.0) + 0.1) * PARTS).round() as i64)
}

/// Whether the task will be done so soon that evicting it gains nothing.
pub fn nearly_done(resident: &Resident, now: Duration) -> bool {
    remaining(resident, now) < NEARLY_DONE
}

/// Time to the end of the task: by its measured progress, else by its declared time.
fn remaining(resident: &Resident, now: Duration) -> Duration {
    let ran = now.saturating_sub(resident.since);
    let progress = resident.progress.clamp(0.0, 1.0);
    if progress > 0.05 && ran > RESTART {
        return ran.mul_f64((1.0 - progress) / progress);
    }
    // Declared times are often far off: a task past its declared time may still have long to go.
    resident.spec.expected.saturating_sub(ran).max(NEARLY_DONE)
}

/// Evictions that are allowed, refilled over time.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    tokens: f64,
    at: Duration,
}

impl Default for Budget {
    fn default() -> Self {
        Self { tokens: BURST, at: Duration::ZERO }
    }
}

impl Budget {
    /// Evictions allowed now, in parts. The more evictions weigh against the tail, the slower the
    /// refill.
    pub fn available(&mut self, shares: &Shares, now: Duration) -> i64 {
        let ratio = shares.tail.max(1) as f64 / shares.evictions.max(1) as f64;
        let rate = ratio.clamp(0.1, 4.0) / REFILL.as_secs_f64();
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.tokens = (self.tokens + passed * rate).min(BURST);
        self.at = self.at.max(now);
        (self.tokens * PARTS) as i64
    }

    pub fn spend(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
    }
}
