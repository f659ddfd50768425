//! The cost of evicting a task, and the rate limit on evictions.

use super::RunningTask;
use super::decide::{NormalizedWeights, PPM};
use crate::model::{Idempotency, Resumption};
use std::time::Duration;

/// Run time lost by checkpointing, moving and restarting a task.
const RESTART_COST: Duration = Duration::from_secs(10);

/// A task expected to finish within this time is not evicted.
const NEARLY_DONE: Duration = Duration::from_secs(30);

/// Size of the token bucket: evictions that an idle daemon may start at once.
const MAX_BURST: f64 = 3.0;

/// Time to earn one token with equal weights.
const REFILL_INTERVAL: Duration = Duration::from_secs(60);

/// Work lost by evicting the task, in ppm of its declared run time, plus a tenth for the move.
///
/// Returns `None` if the task must not be evicted: once started, a non-idempotent task could only
/// end with an unknown outcome.
pub fn cost(running_task: &RunningTask, now: Duration) -> Option<i64> {
    if running_task.spec.idempotency == Idempotency::NonIdempotent {
        return None;
    }
    let run_time = now.saturating_sub(running_task.since);
    let lost = match running_task.spec.resumption {
        Resumption::Never => return None,
        Resumption::FromStart => run_time,
        Resumption::Checkpoint => {
            running_task.checkpoint_at.map_or(run_time, |at| now.saturating_sub(at).min(run_time))
        }
    };
    let expected = running_task.spec.expected.max(RESTART_COST).as_secs_f64();
    let lost = (lost + RESTART_COST).as_secs_f64() / expected;
    Some(((lost.min(10.0) + 0.1) * PPM).round() as i64)
}

/// Whether the task will finish so soon that evicting it gains nothing.
pub fn nearly_done(running_task: &RunningTask, now: Duration) -> bool {
    remaining(running_task, now) < NEARLY_DONE
}

/// Estimates the remaining run time from measured progress, or else from the declared time.
fn remaining(running_task: &RunningTask, now: Duration) -> Duration {
    let run_time = now.saturating_sub(running_task.since);
    let progress = running_task.progress.clamp(0.0, 1.0);
    if progress > 0.05 && run_time > RESTART_COST {
        return run_time.mul_f64((1.0 - progress) / progress);
    }
    // Declared times are often wrong, and a task past its declared time may still run for long.
    running_task.spec.expected.saturating_sub(run_time).max(NEARLY_DONE)
}

/// Token bucket that limits the rate of evictions.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    tokens: f64,
    refilled_at: Duration,
}

impl Default for Budget {
    fn default() -> Self {
        Self { tokens: MAX_BURST, refilled_at: Duration::ZERO }
    }
}

impl Budget {
    /// Refills the bucket and returns the evictions allowed now, in ppm. The refill slows as the
    /// weight of evictions grows relative to the weight of tail latency.
    pub fn available(&mut self, shares: &NormalizedWeights, now: Duration) -> i64 {
        let ratio = shares.tail.max(1) as f64 / shares.evictions.max(1) as f64;
        let rate = ratio.clamp(0.1, 4.0) / REFILL_INTERVAL.as_secs_f64();
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * rate).min(MAX_BURST);
        self.refilled_at = self.refilled_at.max(now);
        (self.tokens * PPM) as i64
    }

    pub fn spend(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
    }
}
