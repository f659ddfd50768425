//! A load that oscillates around a mean with an unknown period.

use super::{MEAN_TAIL_AGE, Reading};
use std::f64::consts::TAU;

/// Standard deviations of the initial mean and of each phase of the initial oscillation.
const INITIAL_MEAN_DEVIATION: f64 = 0.12;
const INITIAL_PHASE_DEVIATION: f64 = 0.13;

/// Standard deviation of the initial frequency, as a share of it.
const INITIAL_FREQUENCY_SHARE: f64 = 0.2;

/// Limits of the period in seconds.
const MIN_PERIOD: f64 = 5.0;
const MAX_PERIOD: f64 = 20.0;

/// Standard deviations of the changes of the mean, of each phase and of the frequency (in radians
/// per second) over one second.
const MEAN_DRIFT: f64 = 0.007;
const PHASE_DRIFT: f64 = 0.007;
const FREQUENCY_DRIFT: f64 = 0.02;

/// Standard deviation of the frequency from which it drifts no further. A load without oscillation
/// tells nothing of its frequency, whose variance would otherwise grow without limit.
const MAX_FREQUENCY_DEVIATION: f64 = 0.2;

/// Extended Kalman filter of a mean and an oscillation around it.
///
/// The load `t` from now is `mean + now * cos(frequency * t) + quarter * sin(frequency * t)`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Oscillation {
    mean: f64,
    /// Present deviation from the mean, and the one a quarter of a period from now.
    now: f64,
    quarter: f64,
    /// Radians per second.
    frequency: f64,
    covariance: Covariance,
}

/// Error covariance: each field is the row of the upper triangle that begins with the variance.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Covariance {
    /// Of the mean with itself, `now`, `quarter` and the frequency.
    mean: [f64; 4],
    now: [f64; 3],
    quarter: [f64; 2],
    frequency: f64,
}

impl Oscillation {
    /// Returns an oscillation of unknown amplitude around a mean.
    pub fn new(mean: f64, period: f64) -> Self {
        let frequency = TAU / period;
        let phase = INITIAL_PHASE_DEVIATION.powi(2);
        Self {
            mean,
            now: 0.0,
            quarter: 0.0,
            frequency,
            covariance: Covariance {
                mean: [INITIAL_MEAN_DEVIATION.powi(2), 0.0, 0.0, 0.0],
                now: [phase, 0.0, 0.0],
                quarter: [phase, 0.0],
                frequency: (INITIAL_FREQUENCY_SHARE * frequency).powi(2),
            },
        }
    }

    pub fn advance(&mut self, age: f64) {
        let (sin, cos) = (self.frequency * age).sin_cos();
        (self.now, self.quarter) =
            (self.now * cos + self.quarter * sin, self.quarter * cos - self.now * sin);
        // Derivatives of both phases with respect to the frequency.
        let (on_now, on_quarter) = (age * self.quarter, -age * self.now);
        let Covariance {
            mean: [mm, mn, mq, mf],
            now: [nn, nq, nf],
            quarter: [qq, qf],
            frequency: ff,
        } = self.covariance;
        let now = |n: f64, q: f64, f: f64| cos * n + sin * q + on_now * f;
        let quarter = |n: f64, q: f64, f: f64| cos * q - sin * n + on_quarter * f;
        let (now_n, now_q, now_f) = (now(nn, nq, nf), now(nq, qq, qf), now(nf, qf, ff));
        let (quarter_n, quarter_q, quarter_f) =
            (quarter(nn, nq, nf), quarter(nq, qq, qf), quarter(nf, qf, ff));
        let phase_drift = PHASE_DRIFT.powi(2) * age;
        let is_unknown = ff >= MAX_FREQUENCY_DEVIATION.powi(2);
        let frequency_drift = if is_unknown { 0.0 } else { FREQUENCY_DRIFT.powi(2) * age };
        self.covariance = Covariance {
            mean: [mm + MEAN_DRIFT.powi(2) * age, now(mn, mq, mf), quarter(mn, mq, mf), mf],
            now: [now(now_n, now_q, now_f) + phase_drift, quarter(now_n, now_q, now_f), now_f],
            quarter: [quarter(quarter_n, quarter_q, quarter_f) + phase_drift, quarter_f],
            frequency: ff + frequency_drift,
        };
    }

    /// Returns an iterator over the loads expected at multiples of a step in seconds, and their
    /// variances.
    pub fn forecasts(&self, step: f64) -> impl Iterator<Item = (f64, f64)> {
        let (step_sin, step_cos) = (self.frequency * step).sin_cos();
        let (mut sin, mut cos, mut ahead) = (0.0, 1.0, 0.0);
        let amplitude_squared = self.now * self.now + self.quarter * self.quarter;
        std::iter::from_fn(move || {
            let load = self.mean + self.now * cos + self.quarter * sin;
            let drift = (MEAN_DRIFT.powi(2) + PHASE_DRIFT.powi(2)) * ahead
                + amplitude_squared * FREQUENCY_DRIFT.powi(2) * ahead.powi(3) / 3.0;
            let variance = self.covariance.along(self.weights(sin, cos, ahead)) + drift;
            (sin, cos) = (sin * step_cos + cos * step_sin, cos * step_cos - sin * step_sin);
            ahead += step;
            Some((load, variance))
        })
    }

    pub fn reading(&self) -> Reading {
        let (sin, cos) = self.tail_phase();
        Reading {
            mean: self.mean + self.now * cos + self.quarter * sin,
            variance: self.covariance.along(self.weights(sin, cos, -MEAN_TAIL_AGE)),
        }
    }

    /// Corrects the estimate by the error of a reading with this variance.
    pub fn correct(&mut self, error: f64, variance: f64) {
        let (sin, cos) = self.tail_phase();
        let [m, n, q, f] = self.covariance.times(self.weights(sin, cos, -MEAN_TAIL_AGE));
        let inverse = 1.0 / variance;
        let scaled = error * inverse;
        self.mean += m * scaled;
        self.now += n * scaled;
        self.quarter += q * scaled;
        self.frequency = (self.frequency + f * scaled).clamp(TAU / MAX_PERIOD, TAU / MIN_PERIOD);
        let Covariance { mean, now, quarter, frequency } = &mut self.covariance;
        for (row, by) in [(&mut mean[..], m), (&mut now[..], n), (&mut quarter[..], q)] {
            let first = 4 - row.len();
            for (value, other) in row.iter_mut().zip(&[m, n, q, f][first..]) {
                *value -= by * other * inverse;
            }
        }
        *frequency -= f * f * inverse;
    }

    /// Returns sine and cosine of the phase at the mean age of a tail.
    fn tail_phase(&self) -> (f64, f64) {
        (-self.frequency * MEAN_TAIL_AGE).sin_cos()
    }

    /// Returns the derivatives of the load at a phase with respect to the states.
    fn weights(&self, sin: f64, cos: f64, ahead: f64) -> [f64; 4] {
        [1.0, cos, sin, ahead * (self.quarter * cos - self.now * sin)]
    }
}

impl Covariance {
    fn times(&self, [m, n, q, f]: [f64; 4]) -> [f64; 4] {
        let Self { mean: [mm, mn, mq, mf], now: [nn, nq, nf], quarter: [qq, qf], frequency: ff } =
            *self;
        [
            mm * m + mn * n + mq * q + mf * f,
            mn * m + nn * n + nq * q + nf * f,
            mq * m + nq * n + qq * q + qf * f,
            mf * m + nf * n + qf * q + ff * f,
        ]
    }

    /// Returns the variance of the sum of the states with these weights.
    fn along(&self, weights: [f64; 4]) -> f64 {
        let sums = self.times(weights);
        sums.iter().zip(weights).map(|(sum, weight)| sum * weight).sum()
    }
}
