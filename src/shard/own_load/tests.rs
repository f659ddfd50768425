use super::{OwnLoad, trend::Trend};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::f64::consts::TAU;
use std::ops::Range;
use std::time::Duration;

const TARGET: Duration = Duration::from_millis(18);
const BASE_MS: f64 = 4.0;
const TASKS: usize = 14;
const STEPS: u64 = 16;

/// Seconds between the simulated times.
const TICK: f64 = 0.05;
/// Ticks that a tail covers.
const WINDOW: usize = 10;

/// Seconds ahead that forecasts are compared at.
const AHEAD: [f64; 3] = [0.35, 1.0, 2.5];

/// Root mean square errors of the forecasts of the level and slope alone and of the whole bank, at
/// each time of [`AHEAD`], and of the bank's errors as multiples of their deviations.
#[derive(Debug, Default)]
struct Errors {
    count: f64,
    trend: [f64; 3],
    bank: [f64; 3],
    ratio: [f64; 3],
}

/// A task's load by neighbours: the true one, and the one that the model expects.
#[derive(Clone, Copy, Default)]
struct Added {
    real: f64,
    expected: f64,
    until: f64,
}

impl Added {
    fn draw(rng: &mut SmallRng, now: f64) -> Self {
        let real = f64::max(0.0, rng.random_range(-0.15..0.15));
        let expected = real * rng.random_range(0.8..1.2);
        Self { real, expected, until: now + rng.random_range(0.5..4.0) }
    }
}

/// Forecasts the load of a step's tasks, which `load` draws, and compares forecasts made during
/// `span` with it.
fn compare(span: Range<f64>, load: impl Fn(&mut SmallRng) -> Box<dyn Fn(f64) -> f64>) -> Errors {
    let mut errors = Errors::default();
    for seed in 0..STEPS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let load = load(&mut rng);
        compare_step(&mut errors, &span, &load, &mut rng);
    }
    let mean = |sum: f64| (sum / errors.count).sqrt();
    let (trend, bank, ratio) =
        (errors.trend.map(mean), errors.bank.map(mean), errors.ratio.map(mean));
    let errors = Errors { trend, bank, ratio, ..errors };
    println!("{errors:.3?}");
    errors
}

fn compare_step(
    errors: &mut Errors,
    span: &Range<f64>,
    load: &dyn Fn(f64) -> f64,
    rng: &mut SmallRng,
) {
    let (mut bank, mut trend) = (OwnLoad::new(TARGET, Duration::ZERO), Trend::new());
    let mut added = [[Added::default(); WINDOW]; TASKS];
    let mut next = [(); TASKS].map(|()| rng.random_range(0.5..1.0));
    for tick in 0.. {
        let now = TICK * f64::from(tick);
        if now >= span.end {
            return;
        }
        let at = Duration::from_secs_f64(now);
        trend.advance(TICK);
        for (added, next) in added.iter_mut().zip(&mut next) {
            added.rotate_right(1);
            added[0] = if now < added[1].until { added[1] } else { Added::draw(rng, now) };
            if now < *next {
                continue;
            }
            *next = now + rng.random_range(0.2..0.5);
            let mean =
                |value: &dyn Fn(usize) -> f64| (0..WINDOW).map(value).sum::<f64>() / WINDOW as f64;
            let total = mean(&|n| load(now - TICK * n as f64) + added[n].real);
            let expected = mean(&|n| added[n].expected);
            let tail = Duration::from_millis((BASE_MS / (1.0 - total.min(0.97))).round() as u64);
            bank.advance(at);
            let noise = 0.06_f64.powi(2) + (0.1 * expected).powi(2);
            let reading = bank.load_from_tail(tail) - expected;
            bank.correct(reading - bank.expected_reading(), noise + bank.variance());
            let trend_reading = trend.reading();
            trend.correct(reading - trend_reading.mean, noise + trend_reading.variance);
        }
        if now >= span.start && tick % 4 == 0 {
            errors.count += 1.0;
            for (index, ahead) in AHEAD.into_iter().enumerate() {
                let real = load(now + ahead);
                errors.trend[index] += (trend.forecast(ahead).0 - real).powi(2);
                let ahead = Duration::from_secs_f64(ahead);
                let error = bank.forecast(at, ahead) - real;
                errors.bank[index] += error.powi(2);
                errors.ratio[index] += (error / bank.deviation(at, ahead)).powi(2);
            }
        }
    }
}

fn oscillation(rng: &mut SmallRng) -> Box<dyn Fn(f64) -> f64> {
    let (period, phase) = (rng.random_range(7.0..14.0), rng.random_range(0.0..TAU));
    Box::new(move |time| 0.42 + 0.21 * (TAU * time / period + phase).sin())
}

// Paces are set 0.35 s ahead, and work placed now runs for 2.5 s. A level and a slope miss the
// turning points of an oscillating load by more than the load that light neighbours add.
#[test]
fn oscillating_loads_are_forecast_after_two_periods() {
    let errors = compare(28.0..50.0, oscillation);
    assert!(errors.bank[0] <= 0.03, "{errors:?}");
    assert!(errors.bank[1] <= 0.5 * errors.trend[1], "{errors:?}");
    assert!(errors.bank[2] <= 0.5 * errors.trend[2], "{errors:?}");
}

// A new owner or a new step has seen less than a period: the guess of a period must not make the
// forecast worse than the level and slope.
#[test]
fn oscillating_loads_are_forecast_no_worse_in_their_first_period() {
    let errors = compare(1.0..9.0, oscillation);
    assert!((0..3).all(|n| errors.bank[n] <= errors.trend[n]), "{errors:?}");
}

// The period of a load changes: the learned one must give way to the new one.
#[test]
fn a_changed_period_is_learned() {
    let errors = compare(40.0..50.0, |rng| {
        let [before, after] = [(); 2].map(|()| rng.random_range(7.0..14.0));
        let phase = rng.random_range(0.0..TAU);
        Box::new(move |time| {
            let turns = f64::min(time, 30.0) / before + f64::max(time - 30.0, 0.0) / after;
            0.42 + 0.21 * (TAU * turns + phase).sin()
        })
    });
    assert!(errors.bank[0] <= 0.03, "{errors:?}");
    assert!(errors.bank[2] <= 0.5 * errors.trend[2], "{errors:?}");
}

// Loads that don't oscillate must be forecast as well as by a level and a slope: constant ones, and
// ones that jump to another level, before and after they are followed.
#[test]
fn other_loads_are_forecast_as_well_as_by_level_and_slope() {
    let constant = |rng: &mut SmallRng| -> Box<dyn Fn(f64) -> f64> {
        let level = rng.random_range(0.2..0.6);
        Box::new(move |_| level)
    };
    let jump = |rng: &mut SmallRng| -> Box<dyn Fn(f64) -> f64> {
        let (before, after) = (rng.random_range(0.2..0.6), rng.random_range(0.2..0.6));
        Box::new(move |time| if time < 20.0 { before } else { after })
    };
    for errors in
        [compare(5.0..30.0, constant), compare(20.0..25.0, jump), compare(25.0..35.0, jump)]
    {
        let bound = |n: usize| 1.05 * errors.trend[n] + 0.002;
        assert!((0..3).all(|n| errors.bank[n] <= bound(n)), "{errors:?}");
    }
}

// Paces and placement weigh harm by the deviation. One that is far too small or too large would
// stop work for nothing, or let it push tasks over their targets.
#[test]
fn deviations_match_the_errors() {
    for span in [1.0..9.0, 11.0..22.0, 28.0..50.0] {
        let errors = compare(span, oscillation);
        assert!(errors.ratio.iter().all(|ratio| (0.5..1.5).contains(ratio)), "{errors:?}");
    }
}

// Placement asks for the peak that a run will meet, also when it is over before the run ends.
#[test]
fn the_highest_load_is_that_of_the_peak_within_the_span() {
    let (period, mut load) = (10.0, OwnLoad::new(TARGET, Duration::ZERO));
    let real = |time: f64| 0.42 + 0.21 * (TAU * time / period).sin();
    for number in 0..1200 {
        let now = 0.025 * f64::from(number);
        load.advance(Duration::from_secs_f64(now));
        let error = real(now - 0.25) - load.expected_reading();
        load.correct(error, 0.0036 + load.variance());
    }
    // The load passes its mean upwards at 30 s and peaks at 32.5 s.
    let highest = |from: f64, to: f64| {
        let [from, to] = [from, to].map(Duration::from_secs_f64);
        load.highest(Duration::from_secs(30), from, to).load
    };
    assert!((highest(0.0, 1.0) - real(1.0)).abs() < 0.03, "{}", highest(0.0, 1.0));
    assert!((highest(0.0, 4.0) - real(2.5)).abs() < 0.03, "{}", highest(0.0, 4.0));
    assert!((highest(4.0, 6.0) - real(4.0)).abs() < 0.03, "{}", highest(4.0, 6.0));
    assert!(highest(0.0, 60.0) >= highest(0.0, 4.0));
}

// Readings pause for just less than the time after which an estimate is discarded, or stay at the
// highest load that a tail can show. A filter that diverges then makes all forecasts NaN.
#[test]
fn estimates_stay_finite_after_gaps_and_at_saturation() {
    for (gap, level, amplitude) in [(3.9, 0.42, 0.21), (0.1, 0.97, 0.0), (0.1, 0.5, 0.4)] {
        let mut rng = SmallRng::seed_from_u64(1);
        let (mut load, mut now) = (OwnLoad::new(TARGET, Duration::ZERO), 0.0);
        for number in 0..10_000 {
            now += if number % 100 == 0 { gap } else { 0.1 };
            let at = Duration::from_secs_f64(now);
            load.advance(at);
            let sign = if now % 12.0 < 6.0 { 1.0 } else { -1.0 };
            let real: f64 = level + sign * amplitude + rng.random_range(-0.08..0.08);
            let error = real.clamp(0.0, 0.97) - load.expected_reading();
            load.correct(error, 0.0036 + load.variance());
            let values =
                [load.expected_reading(), load.variance(), load.deviation(at, Duration::ZERO)];
            assert!(values.iter().all(|value| value.is_finite()), "{number}: {values:?}");
            assert!(load.variance() > 0.0 && load.expected_reading().abs() < 1.5, "{values:?}");
        }
    }
}
