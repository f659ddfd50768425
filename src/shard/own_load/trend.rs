//! A load that follows a level and a slope.

use super::{INITIAL_LOAD, MAX_LOAD, MEAN_TAIL_AGE, MIN_LOAD, Reading};

/// Standard deviation of the initial level.
const INITIAL_LOAD_DEVIATION: f64 = 0.16;

/// Standard deviation of the slope: a load changes by 0.2 in either direction within 10 to 14 s.
const SLOPE_DEVIATION: f64 = 0.12;

/// Standard deviation of the change in slope over one second.
const SLOPE_DRIFT: f64 = 0.07;

/// Limit of the slope. While the level is at its limit, errors of one sign would otherwise change
/// the slope without end.
const MAX_SLOPE: f64 = 3.0 * SLOPE_DEVIATION;

/// Kalman filter of a level and a slope.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Trend {
    level: f64,
    /// Change per second.
    slope: f64,
    /// Error covariance: variance of the level, covariance of level and slope, variance of the
    /// slope.
    covariance: [f64; 3],
}

impl Trend {
    pub fn new() -> Self {
        let covariance = [INITIAL_LOAD_DEVIATION.powi(2), 0.0, SLOPE_DEVIATION.powi(2)];
        Self { level: INITIAL_LOAD, slope: 0.0, covariance }
    }

    pub fn level(&self) -> f64 {
        self.level
    }

    pub fn advance(&mut self, age: f64) {
        self.level = (self.level + self.slope * age).clamp(MIN_LOAD, MAX_LOAD);
        self.covariance = self.covariance_after(age);
    }

    /// Returns the load expected after a time in seconds, and its variance.
    pub fn forecast(&self, ahead: f64) -> (f64, f64) {
        let load = (self.level + self.slope * ahead).clamp(MIN_LOAD, MAX_LOAD);
        (load, self.covariance_after(ahead)[0])
    }

    pub fn reading(&self) -> Reading {
        let [level, cross, slope] = self.covariance;
        Reading {
            mean: self.level - MEAN_TAIL_AGE * self.slope,
            variance: level - 2.0 * MEAN_TAIL_AGE * cross + MEAN_TAIL_AGE * MEAN_TAIL_AGE * slope,
        }
    }

    /// Corrects the estimate by the error of a reading with this variance.
    pub fn correct(&mut self, error: f64, variance: f64) {
        let [level, cross, slope] = self.covariance;
        let on_level = level - MEAN_TAIL_AGE * cross;
        let on_slope = cross - MEAN_TAIL_AGE * slope;
        let (gain_level, gain_slope) = (on_level / variance, on_slope / variance);
        self.level = (self.level + gain_level * error).clamp(MIN_LOAD, MAX_LOAD);
        self.slope = (self.slope + gain_slope * error).clamp(-MAX_SLOPE, MAX_SLOPE);
        self.covariance = [
            level - gain_level * on_level,
            cross - gain_level * on_slope,
            slope - gain_slope * on_slope,
        ];
    }

    fn covariance_after(&self, age: f64) -> [f64; 3] {
        let [level, cross, slope] = self.covariance;
        let drift = SLOPE_DRIFT.powi(2);
        let later = [
            level + 2.0 * age * cross + age * age * slope + drift * age.powi(3) / 3.0,
            cross + age * slope + drift * age * age / 2.0,
            slope + drift * age,
        ];
        // The covariance is scaled with the variance: a cap on the variance alone makes the matrix
        // indefinite after a gap of seconds, and the filter diverges.
        let scale = (SLOPE_DEVIATION / later[2].sqrt()).min(1.0);
        [later[0], scale * later[1], scale * scale * later[2]]
    }
}
