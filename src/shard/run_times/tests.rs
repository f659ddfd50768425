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

/// Shards that exchange what they have learned.
struct Shards(Vec<RunTimes>);

impl Shards {
    fn exchange(&mut self) {
        let reports: Vec<_> = self.0.iter().map(RunTimes::learned).collect();
        for (number, times) in self.0.iter_mut().enumerate() {
            for (from, report) in reports.iter().enumerate().filter(|(from, _)| *from != number) {
                times.merge(&from.to_string(), report.clone());
            }
        }
    }
}

// Guards against shards that expect other times than one shard with all of their tasks would: within
// 3 % for the expected times, and 0.02 for the deviation. The two differ in what they forget, and
// in errors of predictions that were made before a report arrived.
#[test]
fn merged_shards_expect_what_one_shard_with_all_tasks_does() {
    for (off, seed) in [(1.0_f64, 5), (3.0, 6), (30.0, 7)] {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (mut one, mut four) = (RunTimes::default(), Shards(vec![RunTimes::default(); 4]));
        for step in 0..100 {
            let secs = 1.7 * 3.0_f64.powf(rng.random_range(-1.0..1.0));
            let estimate = Duration::from_secs_f64(secs * off.powf(rng.random_range(-1.0..1.0)));
            for _ in 0..TASKS_PER_STEP {
                let time = Duration::from_secs_f64(secs * rng.random_range(0.85..1.15));
                one.learn(&queue(), estimate, time);
                four.0[step % 4].learn(&queue(), estimate, time);
            }
            four.exchange();
        }
        for times in &four.0 {
            for estimate_ms in [600, 1700, 5000] {
                let ratio = expect(times, estimate_ms) / expect(&one, estimate_ms);
                assert!((0.97..1.03).contains(&ratio), "off by {off}: {estimate_ms} ms: {ratio}");
            }
            let (merged, alone) = (times.deviation(&queue()), one.deviation(&queue()));
            assert!((merged - alone).abs() < 0.02, "off by {off}: {merged}, {alone}");
        }
    }
}

// Guards against a shard that is counted twice through a takeover: the others hold the report of its
// former owner, and its next owner starts from what that one had learned and reports it again.
#[test]
fn the_next_owners_report_replaces_the_former_ones() {
    let (former, mut other) = (learned(3.0, 20, 8), learned(3.0, 20, 9));
    other.merge("kacyiru.0", former.learned());
    let before = other.clone();
    let mut next = RunTimes::default();
    next.restore(former.learned());
    next.merge("kacyiru.1", other.learned());
    other.merge("kacyiru.0", next.learned());
    assert_eq!(other.combined, before.combined);
    let difference = next.regression(&queue()).tasks - before.regression(&queue()).tasks;
    assert!(difference.abs() < 1e-6, "{difference}");
    next.learn(&queue(), Duration::from_secs(1), Duration::from_secs(2));
    other.merge("kacyiru.0", next.learned());
    assert!(other.regression(&queue()).tasks < before.regression(&queue()).tasks + 1.0);
}

// Guards against queues that don't exist any more and are kept, here or as reported by others.
#[test]
fn queues_without_tasks_are_forgotten() {
    let (mut times, other) = (learned(2.0, 300, 10), learned(2.0, 300, 11));
    times.merge("kacyiru.1", other.learned());
    times.decay(0.5);
    assert!(!times.learned().is_empty());
    times.decay(1e-4);
    assert!(times.learned().is_empty());
    assert_eq!(expect(&times, 1700), 1.7);
    times.merge("kacyiru.1", other.learned());
    times.merge("kacyiru.1", Vec::new());
    assert_eq!(expect(&times, 1700), 1.7);
}
