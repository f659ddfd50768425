use super::RunTimes;
use crate::job::QueueName;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

const TASKS_PER_STEP: usize = 20;

fn queue() -> QueueName {
    QueueName::new("print-build")
}

/// Learns from steps whose run times vary by up to a factor of 3, and whose estimates are off by up
/// to this factor, either way.
fn learned(off: f64, steps: usize, seed: u64) -> RunTimes {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut times = RunTimes::default();
    for _ in 0..steps {
        let secs = 1.7 * 3.0_f64.powf(rng.random_range(-1.0..1.0));
        let estimate = secs * off.powf(rng.random_range(-1.0..1.0));
        for _ in 0..TASKS_PER_STEP {
            let secs = secs * rng.random_range(0.85..1.15);
            let time = Duration::from_secs_f64;
            times.learn(&queue(), time(estimate), time(secs));
        }
    }
    times
}

fn expect(times: &RunTimes, estimate_ms: u64) -> f64 {
    times.expect(&queue(), Duration::from_millis(estimate_ms)).as_secs_f64()
}

// Guards against jobs being ordered by estimates that tell nothing: those of 0.2 s and of 10 s take
// the same time.
#[test]
fn useless_estimates_give_way_to_the_queues_mean() {
    let times = learned(30.0, 300, 1);
    assert!((1.0..2.6).contains(&expect(&times, 200)), "{}", expect(&times, 200));
    assert!((1.0..3.4).contains(&expect(&times, 10_000)), "{}", expect(&times, 10_000));
}

// Guards against good estimates being levelled.
#[test]
fn right_estimates_are_followed() {
    let times = learned(1.0, 300, 2);
    for estimate_ms in [600, 1700, 5000] {
        let ratio = expect(&times, estimate_ms) * 1000.0 / estimate_ms as f64;
        assert!((0.9..1.1).contains(&ratio), "{estimate_ms} ms: {ratio}");
    }
}

// Guards against jobs that are thought to be late, or in time, because all estimates of their queue
// are off by the same factor.
#[test]
fn a_common_bias_is_corrected() {
    let mut times = RunTimes::default();
    for number in 0..1000 {
        let secs = 1.0 + f64::from(number % 7) / 3.0;
        let time = Duration::from_secs_f64;
        times.learn(&queue(), time(secs / 4.0), time(secs));
    }
    assert!((3.4..4.4).contains(&expect(&times, 1000)), "{}", expect(&times, 1000));
}

// Guards against a first task that decides alone, and against work of the past that is never
// forgotten.
#[test]
fn learning_is_gradual_and_forgets() {
    assert_eq!(expect(&RunTimes::default(), 1700), 1.7);
    let mut times = RunTimes::default();
    times.learn(&queue(), Duration::from_secs(1), Duration::from_secs(9));
    assert!(expect(&times, 1000) < 1.2);
    let mut learn = |count: usize, secs: f64| {
        let (estimate, time) = (Duration::from_secs(1), Duration::from_secs_f64(secs));
        (0..count).for_each(|_| times.learn(&queue(), estimate, time));
        expect(&times, 1000)
    };
    assert!(learn(20_000, 4.0) > 3.8);
    assert!(learn(10_000, 1.0) < 1.1);
}

// Guards against an estimate of zero, or a run time of zero, that spoils all others.
#[test]
fn times_of_zero_are_bounded() {
    let mut times = learned(2.0, 50, 3);
    times.learn(&queue(), Duration::ZERO, Duration::ZERO);
    assert_eq!(expect(&times, 0), 0.0);
    assert!((0.8..3.0).contains(&expect(&times, 1700)));
}

// Guards against times that are foreseen well being taken for uncertain, or the other way round.
#[test]
fn the_deviation_follows_the_errors() {
    assert_eq!(RunTimes::default().deviation(&queue()), 0.5);
    let (known, unknown) = (learned(1.0, 300, 4), learned(30.0, 300, 4));
    assert!(known.deviation(&queue()) < 0.2, "{}", known.deviation(&queue()));
    assert!((0.5..0.9).contains(&unknown.deviation(&queue())), "{}", unknown.deviation(&queue()));
}
