//! Ratio of the measured errors of forecasts to those that the filters compute.
//!
//! The filters assume more noise and faster changes than most loads have, so that they follow those
//! that do change; and the errors of readings taken within seconds of each other are correlated.
//! The computed errors are therefore scaled: near the present by the errors of readings, and
//! further ahead by the errors of past forecasts, once the load at their time is known.

use super::{OUTLOOK_STEP, Reading};
use std::time::Duration;

/// Weight of one reading in the average of their squared errors.
const READING_GAIN: f64 = 0.02;

/// Position in the outlook of the forecasts that are checked, and the time between two of them.
pub(super) const CHECKED_POSITION: usize = 10;
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of forecasts whose time hasn't come.
const MAX_PENDING: usize = 6;

/// Weight of one checked forecast in the average of their squared errors, and the largest ratio
/// that counts.
const CHECK_GAIN: f64 = 0.06;
const MAX_CHECKED_RATIO: f64 = 9.0;

/// Limits of the factor near the present, and of the one further ahead.
const MIN_NEAR_FACTOR: f64 = 0.7;
const MIN_FAR_FACTOR: f64 = 0.35;
const MAX_FACTOR: f64 = 2.0;

/// Factors between measured and computed standard errors.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Calibration {
    /// Moving averages of the squared errors of readings and forecasts as shares of their computed
    /// variances.
    readings: f64,
    forecasts: f64,
    /// Forecasts to be checked, the oldest first.
    pending: [Option<Check>; MAX_PENDING],
    next: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Check {
    due: Duration,
    forecast: Reading,
}

impl Calibration {
    pub fn new(now: Duration) -> Self {
        Self { readings: 1.0, forecasts: 1.0, pending: [None; MAX_PENDING], next: now }
    }

    pub fn note_reading(&mut self, error: f64, variance: f64) {
        self.readings += READING_GAIN * (error * error / variance - self.readings);
    }

    /// Compares the forecasts made for now with the load, and keeps one made now for
    /// [`CHECKED_POSITION`].
    pub fn note_forecast(&mut self, now: Duration, load: f64, forecast: Reading) {
        if now < self.next {
            return;
        }
        self.next = now + CHECK_INTERVAL;
        while let Some(check) = self.pending[0].filter(|check| check.due <= now) {
            self.pending.rotate_left(1);
            self.pending[MAX_PENDING - 1] = None;
            let error = check.forecast.mean - load;
            let ratio = (error * error / check.forecast.variance).min(MAX_CHECKED_RATIO);
            self.forecasts += CHECK_GAIN * (ratio - self.forecasts);
        }
        let ahead = Duration::from_secs_f64(CHECKED_POSITION as f64 * OUTLOOK_STEP);
        if let Some(free) = self.pending.iter_mut().find(|check| check.is_none()) {
            *free = Some(Check { due: now + ahead, forecast });
        }
    }

    /// Returns the factors for the present and for [`CHECKED_POSITION`] and later.
    pub fn factors(&self) -> (f64, f64) {
        (
            self.readings.sqrt().clamp(MIN_NEAR_FACTOR, MAX_FACTOR),
            self.forecasts.sqrt().clamp(MIN_FAR_FACTOR, MAX_FACTOR),
        )
    }
}
