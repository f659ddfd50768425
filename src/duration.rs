//! Times that come from outside this process: from callers, operators, VMs and the store.
//!
//! Arithmetic on [`Duration`] panics on overflow. Times from outside are shortened to
//! [`MAX_OUTSIDE`] as they come in, so that sums and multiples of them can't overflow.

#[cfg(test)]
mod tests;

use std::time::Duration;

/// Longest time from outside, a thousand years.
pub const MAX_OUTSIDE: Duration = Duration::from_secs(1000 * 365 * 24 * 3600);

/// Shortens a time from outside to [`MAX_OUTSIDE`].
pub fn bounded(time: Duration) -> Duration {
    time.min(MAX_OUTSIDE)
}

/// Converts a number of milliseconds from outside, which may be any number. Negative ones and NaN
/// count as zero; the result is at most [`MAX_OUTSIDE`].
pub fn from_millis(ms: f64) -> Duration {
    from_secs(ms / 1000.0)
}

/// Converts a number of seconds from outside, like [`from_millis`].
pub fn from_secs(secs: f64) -> Duration {
    if secs > 0.0 {
        bounded(Duration::try_from_secs_f64(secs).unwrap_or(MAX_OUTSIDE))
    } else {
        Duration::ZERO
    }
}

/// Multiplies a time by any number. Negative factors and NaN count as zero; the result is at most
/// [`MAX_OUTSIDE`].
pub fn scaled(time: Duration, factor: f64) -> Duration {
    from_secs(time.as_secs_f64() * factor)
}
