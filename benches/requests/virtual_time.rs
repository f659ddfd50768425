//! Events in order of virtual time, and the random draws that the measurements share.

use hdrhistogram::Histogram;
use rand::Rng;
use rand::rngs::SmallRng;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Events due, earliest first; those due at once in the order they were added.
pub struct Agenda<E> {
    heap: BinaryHeap<Reverse<(Duration, u64)>>,
    events: indexmap::IndexMap<u64, E>,
    last: u64,
}

impl<E> Agenda<E> {
    pub fn new() -> Self {
        Self { heap: BinaryHeap::new(), events: indexmap::IndexMap::new(), last: 0 }
    }

    pub fn add(&mut self, at: Duration, event: E) {
        self.last += 1;
        self.heap.push(Reverse((at, self.last)));
        self.events.insert(self.last, event);
    }

    pub fn next(&mut self) -> Option<(Duration, E)> {
        let Reverse((at, number)) = self.heap.pop()?;
        Some((at, self.events.swap_remove(&number)?))
    }
}

/// A draw from an exponential distribution.
pub fn exponential(rng: &mut SmallRng, mean: Duration) -> Duration {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    mean.mul_f64(-uniform.ln())
}

/// A draw from a log-normal distribution with this mean.
pub fn log_normal(rng: &mut SmallRng, mean: Duration, sigma: f64) -> Duration {
    let (one, other): (f64, f64) = (rng.random_range(f64::EPSILON..1.0), rng.random());
    let normal = (-2.0 * one.ln()).sqrt() * (std::f64::consts::TAU * other).cos();
    mean.mul_f64((sigma * normal - sigma * sigma / 2.0).exp())
}

/// Times in microseconds, up to a day.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 86_400_000_000, 3).expect("the bounds are in order")
}

pub fn record(histogram: &mut Histogram<u64>, time: Duration) {
    histogram.saturating_record(u64::try_from(time.as_micros()).unwrap_or(u64::MAX));
}

/// A quantile in milliseconds.
pub fn millis(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1000.0
}
