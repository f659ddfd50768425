//! Estimates and forecasts the own load of serving tasks.
//!
//! The tasks of a step serve the same users, so their loads change together: fitted individually,
//! the tasks of a step agree in phase within 0.2 radians and differ from those of other steps.
//! Their tails are therefore treated as readings of a single load by a filter that tracks its level
//! and slope. A dozen tails a second reduce the error to 0.03. Forecasting half a second ahead, the
//! time that commands need to take effect, adds about as much.

use std::time::Duration;

/// Initial load and its standard deviation.
const INITIAL_LOAD: f64 = 0.44;
const INITIAL_LOAD_DEVIATION: f64 = 0.16;

/// Standard deviation of the slope: a load changes by 0.2 in either direction within 10 to 14 s.
const SLOPE_DEVIATION: f64 = 0.12;

/// Standard deviation of the change in slope over one second.
const SLOPE_DRIFT: f64 = 0.07;

/// Mean age of a tail in seconds: it covers the last half second.
const MEAN_TAIL_AGE: f64 = 0.25;

/// Time in seconds without a tail after which the estimate is discarded.
const EXPIRY_SECONDS: f64 = 4.0;

/// Limits of the estimated load.
const MAX_LOAD: f64 = 0.95;
const MIN_LOAD: f64 = 0.02;

/// Tail without any load as a share of the target, until a lower tail has been measured. Both users
/// set targets 4.5 times as high as that tail.
const BASE_SHARE: f64 = 1.0 / 4.5;

/// Factor applied to the lowest tail measured when it lowers the estimate of the tail without load.
/// Tails are coarse: one that is measured too low must not make every load appear higher than it
/// is.
const MIN_TAIL_FACTOR: f64 = 0.9;

/// Highest load that a tail can distinguish; above it the tail is cut off by its callers' timeouts.
pub const MAX_MEASURED_LOAD: f64 = 0.97;

/// Estimated load of the serving tasks of one step.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OwnLoad {
    level: f64,
    /// Change per second.
    slope: f64,
    /// Error covariance: variance of the level, covariance of level and slope, variance of the
    /// slope.
    covariance: [f64; 3],
    at: Duration,
    /// Tail latency without any load, in seconds.
    base: f64,
    target: f64,
}

impl OwnLoad {
    /// Returns the initial estimate for tasks that have reported nothing yet.
    pub fn new(target: Duration, now: Duration) -> Self {
        let target = target.as_secs_f64();
        Self {
            level: INITIAL_LOAD,
            slope: 0.0,
            covariance: [INITIAL_LOAD_DEVIATION.powi(2), 0.0, SLOPE_DEVIATION.powi(2)],
            at: now,
            base: target * BASE_SHARE,
            target,
        }
    }

    /// Returns the load expected `ahead` of now.
    pub fn forecast(&self, now: Duration, ahead: Duration) -> f64 {
        let age = now.saturating_sub(self.at) + ahead;
        (self.level + self.slope * age.as_secs_f64()).clamp(MIN_LOAD, MAX_LOAD)
    }

    /// Returns the total load at which the tail is `share` of the target.
    pub fn load_at_target_share(&self, share: f64) -> f64 {
        1.0 - self.base / (share * self.target)
    }

    /// Returns the total load that corresponds to a tail.
    pub fn load_from_tail(&self, tail: Duration) -> f64 {
        let tail = tail.as_secs_f64().max(self.base);
        (1.0 - self.base / tail).min(MAX_MEASURED_LOAD)
    }

    /// Advances the estimate to the present.
    pub fn advance(&mut self, now: Duration) {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.at = now;
        if age > EXPIRY_SECONDS {
            let known = Self::new(Duration::from_secs_f64(self.target), now);
            *self = Self { base: self.base, ..known };
            return;
        }
        self.level = (self.level + self.slope * age).clamp(MIN_LOAD, MAX_LOAD);
        let [level, cross, slope] = self.covariance;
        let drift = SLOPE_DRIFT.powi(2);
        self.covariance = [
            level + 2.0 * age * cross + age * age * slope + drift * age.powi(3) / 3.0,
            cross + age * slope + drift * age * age / 2.0,
            (slope + drift * age).min(SLOPE_DEVIATION.powi(2)),
        ];
    }

    /// Returns the own load expected in a reading that arrives now, without the load added by
    /// neighbours.
    pub fn expected_reading(&self) -> f64 {
        self.level - MEAN_TAIL_AGE * self.slope
    }

    /// Returns the variance of [`OwnLoad::expected_reading`].
    pub fn variance(&self) -> f64 {
        let [level, cross, slope] = self.covariance;
        level - 2.0 * MEAN_TAIL_AGE * cross + MEAN_TAIL_AGE * MEAN_TAIL_AGE * slope
    }

    /// Corrects the estimate by its part of a reading's error, whose variance is `variance`.
    pub fn correct(&mut self, error: f64, variance: f64) {
        let [level, cross, slope] = self.covariance;
        let on_level = level - MEAN_TAIL_AGE * cross;
        let on_slope = cross - MEAN_TAIL_AGE * slope;
        let (gain_level, gain_slope) = (on_level / variance, on_slope / variance);
        self.level = (self.level + gain_level * error).clamp(MIN_LOAD, MAX_LOAD);
        self.slope += gain_slope * error;
        self.covariance = [
            level - gain_level * on_level,
            cross - gain_level * on_slope,
            slope - gain_slope * on_slope,
        ];
    }

    /// Lowers the estimated tail without load if this tail is lower than all before.
    pub fn note_tail(&mut self, tail: Duration) {
        let seconds = tail.as_secs_f64();
        if seconds > 0.0 {
            let base = seconds * MIN_TAIL_FACTOR;
            self.base = self.base.min(base).max(self.target / 50.0);
        }
    }
}
