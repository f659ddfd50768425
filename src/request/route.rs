//! Selects the endpoint for a request.
//!
//! The endpoint with the lowest predicted completion time is chosen: the estimated service time of
//! the class, times the recent slowdown of the endpoint, times a factor for the requests it already
//! has. The slowdown decays to 1 with age, so that stale data neither attracts nor repels requests
//! for long. Overdue requests count before they end, so that a slowdown is noticed as it begins.

use rand::Rng;
use std::time::Duration;

/// Half-life of the measured slowdown of an endpoint.
const SLOWDOWN_HALF_LIFE: Duration = Duration::from_secs(2);

/// Weight of a new sample in the slowdown of an endpoint.
const SLOWDOWN_WEIGHT: f64 = 0.2;

/// Weight of a new sample in the service time estimate of a class.
const ESTIMATE_WEIGHT: f64 = 0.05;

/// Upper limit of the slowdown; slower endpoints are treated alike.
const MAX_SLOWDOWN: f64 = 20.0;

/// Relative increase in service time of an endpoint with all slots in use, as slots share CPUs.
const FULL_LOAD_PENALTY: f64 = 0.5;

/// Scores within this factor of the lowest are treated as equal, and one is drawn at random.
const SCORE_TOLERANCE: f64 = 1.05;

/// How an endpoint is selected; all but the last are used only for comparison in benchmarks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    Random,
    TwoChoices,
    LeastInFlight,
    #[default]
    LeastPredictedFinish,
}

/// Recent service time of an endpoint relative to the estimates of its requests' classes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Slowdown {
    slowness: f64,
    at: Duration,
}

/// Moving estimate of the service time of a class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceTimeEstimate {
    mean: f64,
    /// Mean absolute deviation.
    deviation: f64,
}

/// An endpoint with a free slot, as input to the selection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    pub in_flight: u32,
    pub usable: u32,
    /// See [`Slowdown::factor`].
    pub slowness: f64,
    /// Fraction of recent answers that were failures.
    pub failed_share: f64,
}

impl Default for Slowdown {
    fn default() -> Self {
        Self { slowness: 1.0, at: Duration::ZERO }
    }
}

impl Slowdown {
    /// Adds an answer that took `ratio` times the estimate of its class.
    pub fn update(&mut self, ratio: f64, now: Duration) {
        let decayed = self.decayed(now);
        self.slowness =
            decayed + (ratio.clamp(1.0 / MAX_SLOWDOWN, MAX_SLOWDOWN) - decayed) * SLOWDOWN_WEIGHT;
        self.at = now;
    }

    /// Returns the slowdown as a multiple of the estimate; `overdue` is the elapsed time of the
    /// oldest running request as such a multiple.
    pub fn factor(&self, now: Duration, overdue: f64) -> f64 {
        self.decayed(now).max(overdue.min(MAX_SLOWDOWN))
    }

    fn decayed(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        let kept = 0.5_f64.powf(age / SLOWDOWN_HALF_LIFE.as_secs_f64());
        1.0 + (self.slowness - 1.0) * kept
    }
}

impl ServiceTimeEstimate {
    /// Starts from the service time given in the configuration.
    pub fn new(expected: Duration) -> Self {
        let mean = expected.as_secs_f64().max(1e-6);
        Self { mean, deviation: mean / 2.0 }
    }

    /// Adds the service time of an answer.
    pub fn update(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        self.deviation += ((took - self.mean).abs() - self.deviation) * ESTIMATE_WEIGHT;
        self.mean += (took - self.mean) * ESTIMATE_WEIGHT;
        self.mean = self.mean.max(1e-6);
    }

    /// Mean service time.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean)
    }

    /// A time that few answers exceed: the mean plus four mean deviations.
    pub fn tail(&self) -> Duration {
        Duration::from_secs_f64(self.mean + 4.0 * self.deviation)
    }

    /// `took` as a multiple of the mean.
    pub fn ratio(&self, took: Duration) -> f64 {
        took.as_secs_f64() / self.mean
    }
}

impl Candidate {
    /// Predicted completion time, in multiples of the service time estimate. A failure rate counts
    /// as additional time.
    fn predicted(&self) -> f64 {
        let load_factor =
            1.0 + FULL_LOAD_PENALTY * f64::from(self.in_flight) / f64::from(self.usable.max(1));
        self.slowness * load_factor / (1.0 - self.failed_share.min(0.95))
    }
}

/// Selects one of `candidates`, all of which have a free slot, and returns its index.
pub fn choose(policy: Policy, candidates: &[Candidate], rng: &mut impl Rng) -> Option<usize> {
    if candidates.is_empty() {
        return None;
    }
    let draw = |rng: &mut dyn rand::RngCore| rng.random_range(0..candidates.len());
    match policy {
        Policy::Random => Some(draw(rng)),
        Policy::TwoChoices => {
            let (one, other) = (draw(rng), draw(rng));
            let fewer = candidates[other].in_flight < candidates[one].in_flight;
            Some(if fewer { other } else { one })
        }
        Policy::LeastInFlight => draw_lowest(candidates, |c| f64::from(c.in_flight), 1.0, rng),
        Policy::LeastPredictedFinish => {
            draw_lowest(candidates, Candidate::predicted, SCORE_TOLERANCE, rng)
        }
    }
}

fn draw_lowest(
    candidates: &[Candidate],
    score: impl Fn(&Candidate) -> f64,
    tolerance: f64,
    rng: &mut impl Rng,
) -> Option<usize> {
    let least = candidates.iter().map(&score).fold(f64::INFINITY, f64::min);
    let near = |c: &Candidate| score(c) <= least * tolerance;
    let count = candidates.iter().filter(|c| near(c)).count();
    let drawn = rng.random_range(0..count.max(1));
    candidates.iter().enumerate().filter(|(_, c)| near(c)).nth(drawn).map(|(at, _)| at)
}
