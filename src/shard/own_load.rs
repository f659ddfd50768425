//! Estimates and forecasts the own load of serving tasks.
//!
//! The tasks of a step serve the same users, so their loads change together: fitted individually,
//! the tasks of a step agree in phase within 0.2 radians and differ from those of other steps.
//! Their tails are therefore treated as readings of a single load.
//!
//! Pattern: a bank of Kalman filters (a multiple-model estimator). One member tracks a level and a
//! slope; each of the others tracks a mean and an oscillation, and learns its period from a
//! different initial one. Each reading updates all members, and the members are weighted by how
//! well they have predicted the readings. The estimate is the weighted mixture, whose variance
//! includes the differences between members. A load that doesn't oscillate is left to the first
//! member.

mod calibration;
mod oscillation;
#[cfg(test)]
mod tests;
mod trend;

use calibration::{CHECKED_POSITION, Calibration};
use oscillation::Oscillation;
use std::time::Duration;
use trend::Trend;

/// Initial load.
const INITIAL_LOAD: f64 = 0.44;

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

/// Initial periods of the oscillations in seconds.
const INITIAL_PERIODS: [f64; 3] = [7.0, 10.0, 14.0];
const PERIODS: usize = INITIAL_PERIODS.len();

/// Weight of the trend above which all oscillations are started anew at its level, since the load
/// has changed in a way that none of them follows.
const RESTART_TREND_WEIGHT: f64 = 0.98;

/// Weight of all oscillations together when they are started anew.
const RESTART_WEIGHT: f64 = 0.05;

/// Initial weight of the trend; the oscillations share the rest evenly.
const INITIAL_TREND_WEIGHT: f64 = 0.3;

/// Share of a reading's log-likelihood that counts towards the weights. The errors of readings taken
/// within seconds of each other are correlated through their neighbours.
const EVIDENCE: f64 = 0.5;

/// Time in seconds after which evidence has lost two thirds of its weight.
const EVIDENCE_MEMORY: f64 = 8.0;

/// Weight below which a member doesn't count in a forecast.
const MIN_FORECAST_WEIGHT: f64 = 0.005;

/// Seconds between two loads of the outlook, and the number of loads.
const OUTLOOK_STEP: f64 = 0.25;
const OUTLOOK_LOADS: usize = 29;

/// Number of loads of the outlook for each of its deviations.
const DEVIATION_STRIDE: usize = 2;
const OUTLOOK_DEVIATIONS: usize = OUTLOOK_LOADS / DEVIATION_STRIDE + 1;

/// Maximum standard error of a forecast, for a load of which nothing is known within its limits.
/// Beyond it, the harm of placed work would appear to vanish, as any load would be equally likely.
const MAX_DEVIATION: f64 = 0.25;

/// Minimum variance of a forecast.
const MIN_VARIANCE: f64 = 1e-5;

/// Estimated load of the serving tasks of one step.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnLoad {
    trend: Trend,
    oscillations: [Oscillation; PERIODS],
    /// Logarithms of the unscaled weights of the trend and of each oscillation.
    evidence: [f64; PERIODS + 1],
    /// Weights of the trend and of each oscillation.
    weights: [f64; PERIODS + 1],
    reading: Reading,
    calibration: Calibration,
    at: Duration,
    outlook: Outlook,
    /// Tail latency without any load, in seconds.
    base: f64,
    target: f64,
}

/// A forecast load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Forecast {
    pub load: f64,
    /// Standard error of `load`.
    pub deviation: f64,
}

/// An expected reading and its variance.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Reading {
    mean: f64,
    variance: f64,
}

/// Expected loads after a reading.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Outlook {
    at: Duration,
    loads: [f32; OUTLOOK_LOADS],
    deviations: [f32; OUTLOOK_DEVIATIONS],
}

impl OwnLoad {
    /// Returns the initial estimate for tasks that have reported nothing yet.
    pub fn new(target: Duration, now: Duration) -> Self {
        let target = target.as_secs_f64();
        let mut load = Self {
            trend: Trend::new(),
            oscillations: INITIAL_PERIODS.map(|period| Oscillation::new(INITIAL_LOAD, period)),
            evidence: initial_evidence(),
            weights: [0.0; PERIODS + 1],
            reading: Reading::default(),
            calibration: Calibration::new(now),
            at: now,
            outlook: Outlook {
                at: now,
                loads: [INITIAL_LOAD as f32; OUTLOOK_LOADS],
                deviations: [0.0; OUTLOOK_DEVIATIONS],
            },
            base: target * BASE_SHARE,
            target,
        };
        load.update_weights();
        load.update_reading();
        load.update_outlook();
        load
    }

    /// Returns the load expected `ahead` of now.
    pub fn forecast(&self, now: Duration, ahead: Duration) -> f64 {
        let position = self.outlook.position(now + ahead);
        interpolate(&self.outlook.loads, position)
    }

    /// Returns the standard error of [`OwnLoad::forecast`].
    pub fn deviation(&self, now: Duration, ahead: Duration) -> f64 {
        self.outlook.deviation(self.outlook.position(now + ahead))
    }

    /// Returns the highest load expected between two times from now, with its standard error.
    pub fn highest(&self, now: Duration, from: Duration, to: Duration) -> Forecast {
        let last = (OUTLOOK_LOADS - 1) as f64;
        let first = self.outlook.position(now + from).min(last);
        let end = self.outlook.position(now + to).min(last);
        let at = |position: f64| (interpolate(&self.outlook.loads, position), position);
        let mut highest = at(first);
        for index in (first as usize + 1)..=(end as usize) {
            let load = f64::from(self.outlook.loads[index]);
            if load > highest.0 {
                highest = (load, index as f64);
            }
        }
        let end = at(end);
        let (load, position) = if end.0 > highest.0 { end } else { highest };
        Forecast { load, deviation: self.outlook.deviation(position) }
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
        if age > EXPIRY_SECONDS {
            let known = Self::new(Duration::from_secs_f64(self.target), now);
            *self = Self { base: self.base, ..known };
            return;
        }
        self.at = now;
        if age <= 0.0 {
            return;
        }
        self.trend.advance(age);
        self.oscillations.iter_mut().for_each(|oscillation| oscillation.advance(age));
        let kept = (-age / EVIDENCE_MEMORY).exp();
        for (evidence, initial) in self.evidence.iter_mut().zip(initial_evidence()) {
            *evidence = initial + (*evidence - initial) * kept;
        }
        self.update_weights();
        self.update_reading();
    }

    /// Returns the own load expected in a reading that arrives now, without the load added by
    /// neighbours.
    pub fn expected_reading(&self) -> f64 {
        self.reading.mean
    }

    /// Returns the variance of [`OwnLoad::expected_reading`].
    pub fn variance(&self) -> f64 {
        self.reading.variance
    }

    /// Corrects the estimate by its part of a reading's error, whose variance is `variance`.
    pub fn correct(&mut self, error: f64, variance: f64) {
        self.calibration.note_reading(error, variance);
        let noise = (variance - self.reading.variance).max(0.0);
        let value = self.reading.mean + error;
        let mut evidence = self.evidence;
        let note = |evidence: &mut f64, expected: Reading| {
            let (error, variance) = (value - expected.mean, expected.variance + noise);
            *evidence -= EVIDENCE * 0.5 * (error * error / variance + variance.ln());
            (error, variance)
        };
        let (error, variance) = note(&mut evidence[0], self.trend.reading());
        self.trend.correct(error, variance);
        for (oscillation, evidence) in self.oscillations.iter_mut().zip(&mut evidence[1..]) {
            let (error, variance) = note(evidence, oscillation.reading());
            oscillation.correct(error, variance);
        }
        self.evidence = evidence;
        self.update_weights();
        self.restart_oscillations();
        self.update_reading();
        self.update_outlook();
    }

    /// Lowers the estimated tail without load if this tail is lower than all before.
    pub fn note_tail(&mut self, tail: Duration) {
        let seconds = tail.as_secs_f64();
        if seconds > 0.0 {
            let base = seconds * MIN_TAIL_FACTOR;
            self.base = self.base.min(base).max(self.target / 50.0);
        }
    }

    fn update_weights(&mut self) {
        let most = self.evidence.iter().copied().fold(f64::MIN, f64::max);
        let mut sum = 0.0;
        for (weight, evidence) in self.weights.iter_mut().zip(&mut self.evidence) {
            *evidence -= most;
            *weight = evidence.exp();
            sum += *weight;
        }
        self.weights.iter_mut().for_each(|weight| *weight /= sum);
    }

    fn restart_oscillations(&mut self) {
        if self.weights[0] < RESTART_TREND_WEIGHT {
            return;
        }
        let level = self.trend.level();
        self.oscillations = INITIAL_PERIODS.map(|period| Oscillation::new(level, period));
        let each = RESTART_WEIGHT / PERIODS as f64;
        self.evidence = [(each / (1.0 - RESTART_WEIGHT)).ln(); PERIODS + 1];
        self.evidence[0] = 0.0;
        self.update_weights();
    }

    fn update_reading(&mut self) {
        let oscillations = self.oscillations.iter().map(Oscillation::reading);
        let members = std::iter::once(self.trend.reading()).chain(oscillations);
        let (mut mean, mut squares) = (0.0, 0.0);
        for (weight, reading) in self.weights.iter().zip(members) {
            mean += weight * reading.mean;
            squares += weight * (reading.variance + reading.mean * reading.mean);
        }
        self.reading = Reading { mean, variance: (squares - mean * mean).max(MIN_VARIANCE) };
    }

    fn update_outlook(&mut self) {
        let mut loads = [0.0; OUTLOOK_LOADS];
        let mut squares = [0.0; OUTLOOK_DEVIATIONS];
        let mut total = 0.0;
        let mut add = |weight: f64, forecasts: &mut dyn Iterator<Item = (f64, f64)>| {
            if weight < MIN_FORECAST_WEIGHT {
                return;
            }
            total += weight;
            for (index, (sum, (load, variance))) in loads.iter_mut().zip(forecasts).enumerate() {
                *sum += weight * load;
                if index % DEVIATION_STRIDE == 0 {
                    squares[index / DEVIATION_STRIDE] += weight * (variance + load * load);
                }
            }
        };
        let ahead = (0..OUTLOOK_LOADS).map(|index| index as f64 * OUTLOOK_STEP);
        add(self.weights[0], &mut ahead.map(|ahead| self.trend.forecast(ahead)));
        for (oscillation, weight) in self.oscillations.iter().zip(&self.weights[1..]) {
            add(*weight, &mut oscillation.forecasts(OUTLOOK_STEP));
        }
        let expected = |index: usize| {
            let mean = loads[index] / total;
            let square = squares[index / DEVIATION_STRIDE] / total;
            Reading { mean, variance: (square - mean * mean).max(MIN_VARIANCE) }
        };
        self.calibration.note_forecast(self.at, expected(0).mean, expected(CHECKED_POSITION));
        let (near, far) = self.calibration.factors();
        self.outlook.at = self.at;
        for (value, load) in self.outlook.loads.iter_mut().zip(loads) {
            *value = (load / total).clamp(MIN_LOAD, MAX_LOAD) as f32;
        }
        for (number, deviation) in self.outlook.deviations.iter_mut().enumerate() {
            let index = number * DEVIATION_STRIDE;
            let part = (index as f64 / CHECKED_POSITION as f64).min(1.0);
            let factor = near + (far - near) * part;
            let value = factor * expected(index).variance.sqrt();
            *deviation = value.min(MAX_DEVIATION) as f32;
        }
    }
}

impl Outlook {
    /// Returns the position of a time in `loads`.
    fn position(&self, at: Duration) -> f64 {
        at.saturating_sub(self.at).as_secs_f64() / OUTLOOK_STEP
    }

    /// Returns the standard error at a position in `loads`.
    fn deviation(&self, position: f64) -> f64 {
        interpolate(&self.deviations, position / DEVIATION_STRIDE as f64)
    }
}

/// Returns the value at a position between two values; beyond the last one, the last one.
fn interpolate(values: &[f32], position: f64) -> f64 {
    let index = position as usize;
    let last = values.last().copied().map_or(0.0, f64::from);
    let value = |index: usize| values.get(index).copied().map_or(last, f64::from);
    let part = position - position.floor();
    value(index) * (1.0 - part) + value(index + 1) * part
}

fn initial_evidence() -> [f64; PERIODS + 1] {
    let each = (1.0 - INITIAL_TREND_WEIGHT) / PERIODS as f64;
    let mut evidence = [(each / INITIAL_TREND_WEIGHT).ln(); PERIODS + 1];
    evidence[0] = 0.0;
    evidence
}
