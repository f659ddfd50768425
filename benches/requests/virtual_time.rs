//! A discrete event queue in virtual time, and random distributions used by the benchmarks.

use hdrhistogram::Histogram;
use rand::Rng;
use rand::rngs::SmallRng;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// A queue of events ordered by time; events with the same time are in insertion order.
pub struct EventQueue<E> {
    heap: BinaryHeap<Reverse<(Duration, u64)>>,
    events: indexmap::IndexMap<u64, E>,
    last: u64,
}

impl<E> EventQueue<E> {
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

/// Draws from an exponential distribution.
pub fn exponential(rng: &mut SmallRng, mean: Duration) -> Duration {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    mean.mul_f64(-uniform.ln())
}

/// Draws from a log-normal distribution with this mean.
pub fn log_normal(rng: &mut SmallRng, mean: Duration, sigma: f64) -> Duration {
    let (one, other): (f64, f64) = (rng.random_range(f64::EPSILON..1.0), rng.random());
    let normal = (-2.0 * one.ln()).sqrt() * (std::f64::consts::TAU * other).cos();
    mean.mul_f64((sigma * normal - sigma * sigma / 2.0).exp())
}

/// A histogram of times in microseconds, up to a day.
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
