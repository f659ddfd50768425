//! A load that oscillates around a mean with a fixed period.

use super::{INITIAL_LOAD, MEAN_TAIL_AGE, Reading};
use std::f64::consts::TAU;

/// Standard deviations of the initial mean and of each phase of the initial oscillation.
const INITIAL_MEAN_DEVIATION: f64 = 0.12;
const INITIAL_PHASE_DEVIATION: f64 = 0.13;

/// Standard deviations of the changes of the mean and of each phase over one second. The latter
/// covers the difference between the load's period and the nearest one of the bank.
const MEAN_DRIFT: f64 = 0.01;
const PHASE_DRIFT: f64 = 0.015;

/// Constants of an oscillation with a fixed period.
#[derive(Clone, Copy, Debug)]
pub(super) struct Period {
    /// Angular frequency in radians per second.
    pub frequency: f64,
    /// Sine and cosine of the phase that passes within the mean age of a tail.
    tail_sin: f64,
    tail_cos: f64,
}

impl Period {
    pub fn new(seconds: f64) -> Self {
        let frequency = TAU / seconds;
        let (tail_sin, tail_cos) = (frequency * MEAN_TAIL_AGE).sin_cos();
        Self { frequency, tail_sin, tail_cos }
    }
}

/// Kalman filter of a mean and an oscillation around it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Oscillation {
    mean: f64,
    /// Present deviation from the mean, and the one a quarter of a period from now.
    now: f64,
    quarter: f64,
    /// Error covariance of `mean`, `now` and `quarter`: the upper triangle, by rows.
    covariance: [f64; 6],
}

impl Oscillation {
    pub fn new() -> Self {
        let (mean, phase) = (INITIAL_MEAN_DEVIATION.powi(2), INITIAL_PHASE_DEVIATION.powi(2));
        Self {
            mean: INITIAL_LOAD,
            now: 0.0,
            quarter: 0.0,
            covariance: [mean, 0.0, 0.0, phase, 0.0, phase],
        }
    }

    pub fn advance(&mut self, period: &Period, age: f64) {
        let (sin, cos) = (period.frequency * age).sin_cos();
        (self.now, self.quarter) =
            (self.now * cos + self.quarter * sin, self.quarter * cos - self.now * sin);
        let [mm, mn, mq, nn, nq, qq] = self.covariance;
        let phase_drift = PHASE_DRIFT.powi(2) * age;
        let (cc, cs, ss) = (cos * cos, cos * sin, sin * sin);
        self.covariance = [
            mm + MEAN_DRIFT.powi(2) * age,
            mn * cos + mq * sin,
            mq * cos - mn * sin,
            nn * cc + 2.0 * nq * cs + qq * ss + phase_drift,
            nq * (cc - ss) + (qq - nn) * cs,
            nn * ss - 2.0 * nq * cs + qq * cc + phase_drift,
        ];
    }

    /// Returns the load expected once the oscillation has passed a phase with this sine and cosine,
    /// and its variance after a time in seconds.
    pub fn forecast(&self, sin: f64, cos: f64, ahead: f64) -> (f64, f64) {
        let drift = (MEAN_DRIFT.powi(2) + PHASE_DRIFT.powi(2)) * ahead;
        (self.load(sin, cos), self.variance(sin, cos) + drift)
    }

    pub fn load(&self, sin: f64, cos: f64) -> f64 {
        self.mean + self.now * cos + self.quarter * sin
    }

    pub fn reading(&self, period: &Period) -> Reading {
        let (sin, cos) = (-period.tail_sin, period.tail_cos);
        Reading { mean: self.load(sin, cos), variance: self.variance(sin, cos) }
    }

    /// Corrects the estimate by the error of a reading with this variance.
    pub fn correct(&mut self, period: &Period, error: f64, variance: f64) {
        let (sin, cos) = (-period.tail_sin, period.tail_cos);
        let [mm, mn, mq, nn, nq, qq] = self.covariance;
        let on_mean = mm + mn * cos + mq * sin;
        let on_now = mn + nn * cos + nq * sin;
        let on_quarter = mq + nq * cos + qq * sin;
        let scaled = error / variance;
        self.mean += on_mean * scaled;
        self.now += on_now * scaled;
        self.quarter += on_quarter * scaled;
        let inverse = 1.0 / variance;
        self.covariance = [
            mm - on_mean * on_mean * inverse,
            mn - on_mean * on_now * inverse,
            mq - on_mean * on_quarter * inverse,
            nn - on_now * on_now * inverse,
            nq - on_now * on_quarter * inverse,
            qq - on_quarter * on_quarter * inverse,
        ];
    }

    fn variance(&self, sin: f64, cos: f64) -> f64 {
        let [mm, mn, mq, nn, nq, qq] = self.covariance;
        mm + cos * cos * nn + sin * sin * qq + 2.0 * (cos * mn + sin * mq + sin * cos * nq)
    }
}
