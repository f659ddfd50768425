//! Which endpoint a request goes to.
//!
//! The choice is the least predicted finish: the class's usual service time, times how slow the
//! endpoint was lately, times how many requests it already has. Slowness is forgotten towards the
//! usual with age, so that a stale view neither attracts nor repels for long, and requests that are
//! overdue count before they end, so that a wave of noise is seen while it rises.

use rand::Rng;
use std::time::Duration;

/// Age at which half of what was learned of an endpoint is forgotten.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Weight of one more answer in what is known of an endpoint.
const LEARN: f64 = 0.2;

/// Weight of one more answer in what is known of a class.
const LEARN_CLASS: f64 = 0.05;

/// Slowness beyond which endpoints are all the same.
const SLOWEST: f64 = 20.0;

/// Extra time that a full endpoint takes, as a share. Slots share processors.
const CROWDING: f64 = 0.5;

/// Predictions this close are taken as equal, and one of them is drawn.
const CLOSE: f64 = 1.05;

/// How endpoints are chosen; all but the last are for comparison.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Choosing {
    Random,
    TwoChoices,
    LeastInFlight,
    #[default]
    LeastPredictedFinish,
}

/// How slow an endpoint was lately, against the usual for its requests' classes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    slowness: f64,
    at: Duration,
}

/// The usual service time of a class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usual {
    mean: f64,
    /// Mean distance from the mean.
    spread: f64,
}

/// An endpoint with room, as the choice sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    pub in_flight: u32,
    pub usable: u32,
    /// From [`Pace::slowness`].
    pub slowness: f64,
    /// Share of its recent answers that were failures.
    pub failed_share: f64,
}

impl Default for Pace {
    fn default() -> Self {
        Self { slowness: 1.0, at: Duration::ZERO }
    }
}

impl Pace {
    /// Learns from an answer that took `ratio` times the usual.
    pub fn learn(&mut self, ratio: f64, now: Duration) {
        let aged = self.aged(now);
        self.slowness = aged + (ratio.clamp(1.0 / SLOWEST, SLOWEST) - aged) * LEARN;
        self.at = now;
    }

    /// Times the usual that a request takes; `overdue` is the same for its longest request that
    /// is still under way.
    pub fn slowness(&self, now: Duration, overdue: f64) -> f64 {
        self.aged(now).max(overdue.min(SLOWEST))
    }

    fn aged(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        let kept = 0.5_f64.powf(age / HALF_LIFE.as_secs_f64());
        1.0 + (self.slowness - 1.0) * kept
    }
}

impl Usual {
    /// What the configuration expects, until measured.
    pub fn new(expected: Duration) -> Self {
        let mean = expected.as_secs_f64().max(1e-6);
        Self { mean, spread: mean / 2.0 }
    }

    /// Learns from an answer.
    pub fn learn(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        self.spread += ((took - self.mean).abs() - self.spread) * LEARN_CLASS;
        self.mean += (took - self.mean) * LEARN_CLASS;
        self.mean = self.mean.max(1e-6);
    }

    /// Mean service time.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean)
    }

    /// A time that few answers take longer than.
    pub fn tail(&self) -> Duration {
        Duration::from_secs_f64(self.mean + 4.0 * self.spread)
    }

    /// `took` as a multiple of the mean.
    pub fn ratio(&self, took: Duration) -> f64 {
        took.as_secs_f64() / self.mean
    }
}

impl Candidate {
    /// Predicted time to finish, in usual service times; failures count as time lost.
    fn predicted(&self) -> f64 {
        let crowded = 1.0 + CROWDING * f64::from(self.in_flight) / f64::from(self.usable.max(1));
        self.slowness * crowded / (1.0 - self.failed_share.min(0.95))
    }
}

/// Chooses one of `candidates`, all of which have room; their index.
pub fn choose(choosing: Choosing, candidates: &[Candidate], rng: &mut impl Rng) -> Option<usize> {
    if candidates.is_empty() {
        return None;
    }
    let draw = |rng: &mut dyn rand::RngCore| rng.random_range(0..candidates.len());
    match choosing {
        Choosing::Random => Some(draw(rng)),
        Choosing::TwoChoices => {
            let (one, other) = (draw(rng), draw(rng));
            let fewer = candidates[other].in_flight < candidates[one].in_flight;
            Some(if fewer { other } else { one })
        }
        Choosing::LeastInFlight => draw_least(candidates, |c| f64::from(c.in_flight), 1.0, rng),
        Choosing::LeastPredictedFinish => draw_least(candidates, Candidate::predicted, CLOSE, rng),
    }
}

fn draw_least(
    candidates: &[Candidate],
    score: impl Fn(&Candidate) -> f64,
    close: f64,
    rng: &mut impl Rng,
) -> Option<usize> {
    let least = candidates.iter().map(&score).fold(f64::INFINITY, f64::min);
    let near = |c: &Candidate| score(c) <= least * close;
    let count = candidates.iter().filter(|c| near(c)).count();
    let drawn = rng.random_range(0..count.max(1));
    candidates.iter().enumerate().filter(|(_, c)| near(c)).nth(drawn).map(|(at, _)| at)
}
