//! The load that serving tasks have of their own, followed and foreseen.
//!
//! The tasks of a step serve the same users, so that their loads swing together: fitted one by
//! one, the tasks of a step agree in phase within 0.2 of a radian and differ from other steps'.
//! Their tails are therefore read as those of one load, by a filter that follows its level and its
//! slope. A dozen tails a second make it sure to 0.03; foreseeing half a second, which orders
//! need to take effect, adds about as much.

use std::time::Duration;

/// Usual load, and how far it strays.
const LEVEL: f64 = 0.44;
const LEVEL_DEVIATION: f64 = 0.16;

/// How fast a load usually moves: it swings by 0.2 either way within 10 to 14 s.
const SLOPE_DEVIATION: f64 = 0.12;

/// How fast the slope itself changes, for a second's worth of time.
const SLOPE_DRIFT: f64 = 0.07;

/// A tail is of the last half second, on average a quarter old.
const READING_AGE: f64 = 0.25;

/// Without a tail for this long, nothing is known any more.
const FORGOTTEN: f64 = 4.0;

/// Highest and lowest load that is believed.
const HIGHEST: f64 = 0.95;
const LOWEST: f64 = 0.02;

/// Part of its target that a tail has without any load, until a lower one was seen. Both users set
/// targets 4.5 times as high.
const BASE_SHARE: f64 = 1.0 / 4.5;

/// Part of the least tail seen that the tail without load is taken for, if that is less. Tails are
/// rough figures: one that reads too low must not make every load look higher than it is.
const LEAST_TAIL: f64 = 0.9;

/// Highest load that a tail tells apart; beyond it a tail is cut off by its callers' patience.
pub const HIGHEST_READ: f64 = 0.97;

/// Load of the serving tasks of one step.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OwnLoad {
    level: f64,
    /// Change a second.
    slope: f64,
    /// Mean squares of the errors: of the level, of both together, of the slope.
    doubt: [f64; 3],
    at: Duration,
    /// Tail without any load, in seconds.
    base: f64,
    target: f64,
}

impl OwnLoad {
    /// The load of tasks that have told nothing yet.
    pub fn new(target: Duration, now: Duration) -> Self {
        let target = target.as_secs_f64();
        Self {
            level: LEVEL,
            slope: 0.0,
            doubt: [LEVEL_DEVIATION.powi(2), 0.0, SLOPE_DEVIATION.powi(2)],
            at: now,
            base: target * BASE_SHARE,
            target,
        }
    }

    /// The load that is foreseen for `ahead` from now.
    pub fn foreseen(&self, now: Duration, ahead: Duration) -> f64 {
        let age = now.saturating_sub(self.at) + ahead;
        (self.level + self.slope * age.as_secs_f64()).clamp(LOWEST, HIGHEST)
    }

    /// The whole load at which a tail is this share of the target.
    pub fn load_for(&self, share: f64) -> f64 {
        1.0 - self.base / (share * self.target)
    }

    /// The whole load that a tail tells of.
    pub fn read(&self, tail: Duration) -> f64 {
        let tail = tail.as_secs_f64().max(self.base);
        (1.0 - self.base / tail).min(HIGHEST_READ)
    }

    /// Moves on to the present.
    pub fn advance(&mut self, now: Duration) {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.at = now;
        if age > FORGOTTEN {
            let known = Self::new(Duration::from_secs_f64(self.target), now);
            *self = Self { base: self.base, ..known };
            return;
        }
        self.level = (self.level + self.slope * age).clamp(LOWEST, HIGHEST);
        let [level, both, slope] = self.doubt;
        let drift = SLOPE_DRIFT.powi(2);
        self.doubt = [
            level + 2.0 * age * both + age * age * slope + drift * age.powi(3) / 3.0,
            both + age * slope + drift * age * age / 2.0,
            (slope + drift * age).min(SLOPE_DEVIATION.powi(2)),
        ];
    }

    /// The load that a tail that comes now would tell of, without what others add.
    pub fn expected(&self) -> f64 {
        self.level - READING_AGE * self.slope
    }

    /// Mean square of the error of [`OwnLoad::expected`].
    pub fn variance(&self) -> f64 {
        let [level, both, slope] = self.doubt;
        level - 2.0 * READING_AGE * both + READING_AGE * READING_AGE * slope
    }

    /// Corrects the load by its part of a reading's error, whose mean square is `variance`.
    pub fn correct(&mut self, error: f64, variance: f64) {
        let [level, both, slope] = self.doubt;
        let on_level = level - READING_AGE * both;
        let on_slope = both - READING_AGE * slope;
        let (gain_level, gain_slope) = (on_level / variance, on_slope / variance);
        self.level = (self.level + gain_level * error).clamp(LOWEST, HIGHEST);
        self.slope += gain_slope * error;
        self.doubt = [
            level - gain_level * on_level,
            both - gain_level * on_slope,
            slope - gain_slope * on_slope,
        ];
    }

    /// Notes a tail, which may be lower than any before.
    pub fn note_tail(&mut self, tail: Duration) {
        let seconds = tail.as_secs_f64();
        if seconds > 0.0 {
            let base = seconds * LEAST_TAIL;
            self.base = self.base.min(base).max(self.target / 50.0);
        }
    }
}
