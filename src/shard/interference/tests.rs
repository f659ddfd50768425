use super::{
    Company, Estimate, INITIAL_AMOUNT, InterferenceModel, LeftoverNeighbour, OwnLoad, Pair,
    PairEstimate, READING_INTERVAL, TailState,
};
use crate::job::Image;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::f64::consts::TAU;
use std::time::Duration;

const TARGET: Duration = Duration::from_millis(50);

/// Returns since when the task counts as over its target, given tails in ms from consecutive
/// measurement windows after its start.
fn over_since(tails: &[u64]) -> Option<Duration> {
    let at = |number: usize| READING_INTERVAL * (number as u32 + 1);
    let tails: Vec<(Duration, u64)> =
        tails.iter().enumerate().map(|(number, tail)| (at(number), *tail)).collect();
    over_since_of(TailState::started(Duration::ZERO), &tails, Company::BesideLeftover)
}

/// Returns since when the task counts as over its target, given pairs of a time in ms after the
/// first reading and a tail in ms.
fn over_since_at(tails: &[(u64, u64)]) -> Option<Duration> {
    let at = |millis: u64| READING_INTERVAL + Duration::from_millis(millis);
    let tails: Vec<(Duration, u64)> = tails.iter().map(|(ms, tail)| (at(*ms), *tail)).collect();
    over_since_of(TailState::started(Duration::ZERO), &tails, Company::BesideLeftover)
}

fn over_since_of(
    mut serving: TailState,
    tails: &[(Duration, u64)],
    company: Company,
) -> Option<Duration> {
    for (now, tail) in tails {
        serving.note_tail(Duration::from_millis(*tail), TARGET, company, *now);
    }
    let now = tails.last()?.0;
    let over = serving.time_over(now);
    (!over.is_zero()).then(|| now.saturating_sub(over))
}

// A serving task is a tenth over its target for seconds, but tails are coarse and some are below it,
// also two in a row. The time over the target must keep counting from the task's start.
#[test]
fn tails_just_under_the_target_do_not_end_the_time_over_it() {
    assert_eq!(over_since(&[60, 49, 56, 50, 47, 58]), Some(Duration::ZERO));
    assert_eq!(over_since(&[60, 49, 48, 47, 49, 58]), Some(Duration::ZERO));
    assert_eq!(over_since(&[60, 40, 56, 39, 47, 40]), Some(Duration::ZERO));
}

// Three tails in a row well below the target, or one far below it, end the time over the target.
#[test]
fn a_clear_recovery_ends_the_time_over_the_target() {
    assert_eq!(over_since(&[60, 58, 40, 39, 38]), None);
    assert_eq!(over_since(&[60, 58, 30]), None);
    assert_eq!(over_since(&[60, 30, 46, 46, 61]), Some(READING_INTERVAL * 2));
}

// A rough tail far below the target seems to end the time over it, and the next ones are over it again.
// The time must go on.
#[test]
fn a_tail_over_the_target_soon_after_its_end_continues_the_time() {
    assert_eq!(over_since(&[60, 58, 30, 46, 58]), Some(Duration::ZERO));
    assert_eq!(over_since(&[60, 58, 40, 39, 38, 58]), Some(Duration::ZERO));
}

// The tails before the first one over the target don't show that the task was below it. The time
// over the target must include them.
#[test]
fn the_time_over_the_target_begins_with_the_last_tail_well_below_it() {
    assert_eq!(over_since(&[30, 46, 48, 51]), Some(READING_INTERVAL));
}

// A new owner takes over a VM and reads a tail over the target. It must not count from that tail.
#[test]
fn a_task_that_is_over_its_target_at_a_takeover_has_been_so_for_long() {
    let mut serving = TailState::default();
    let now = Duration::from_secs(9);
    serving.note_tail(TARGET, TARGET, Company::BesideLeftover, now);
    assert!(serving.is_over_for(Duration::from_secs(3600), now));
}

// A task is over its target although nothing has run beside it for half a second: its own load is the
// cause, and its neighbours need not stand still for it.
#[test]
fn the_time_over_the_target_ends_while_no_neighbour_runs() {
    let started = TailState::started(Duration::ZERO);
    let tails = [(READING_INTERVAL, 60), (READING_INTERVAL * 2, 60)];
    assert_eq!(over_since_of(started, &tails, Company::Alone), None);
}

// A VM responds several times within one measurement window. These responses count as one reading,
// whether the task was over its target before or well below it.
#[test]
fn repeated_tails_of_one_window_count_once() {
    assert_eq!(over_since_at(&[(0, 60), (10, 39), (20, 39), (30, 39)]), Some(Duration::ZERO));
}

// A serving task is over its target for seconds, with one reading well below it. Its VM responds
// again within the same window and repeats that reading. The repetition used to end the time over
// the target, so the neighbours kept running for as long again before they were stopped.
#[test]
fn a_tail_under_the_target_that_is_told_twice_counts_once() {
    assert_eq!(over_since_at(&[(0, 60), (350, 39), (360, 39), (690, 39)]), Some(Duration::ZERO));
    assert_eq!(over_since_at(&[(0, 60), (350, 39), (360, 39), (700, 55)]), Some(Duration::ZERO));
}

// The next two windows are well below the target as well: the time over the target ends, however often
// the first of the readings was repeated.
#[test]
fn a_third_half_second_under_the_target_ends_the_time_over_it() {
    assert_eq!(over_since_at(&[(0, 60), (350, 39), (360, 39), (700, 39), (1050, 39)]), None);
}

// A VM measures again 200 ms later and reports a different value well below the target: these are two
// readings, and a third one follows.
#[test]
fn another_tail_under_the_target_ends_the_time_over_it() {
    assert_eq!(over_since_at(&[(0, 60), (350, 39), (360, 39), (560, 38), (760, 39)]), None);
}

// The own load takes part of each reading's error. If its variance were wrong while it oscillates,
// pairs would absorb the oscillation, and heavy ones couldn't be told from light ones.
#[test]
fn pairs_are_learned_beside_oscillating_loads() {
    const AMOUNTS: [f64; 2] = [2.0, 0.2];
    for seed in 0..8 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut model = InterferenceModel::default();
        let [heavy, light, serving] =
            ["heavy", "light", "serving"].map(|name| model.number(&Image::new(name)));
        let mut load = OwnLoad::new(Duration::from_millis(18), Duration::ZERO);
        let (period, phase) = (rng.random_range(7.0..14.0), rng.random_range(0.0..TAU));
        for reading in 0..600 {
            let now = 0.035 * f64::from(reading);
            let neighbour = rng.random_range(0..4);
            let share = rng.random_range(0.03..0.1);
            let image = [heavy, light].get(neighbour).copied();
            let beside: Vec<_> =
                image.into_iter().map(|image| LeftoverNeighbour { image, share }).collect();
            let own = 0.42 + 0.21 * (TAU * (now - 0.25) / period + phase).sin();
            let added = AMOUNTS.get(neighbour).map_or(0.0, |amount| amount * share);
            let noise = rng.random_range(-0.08..0.08);
            let tail = (4.0 / (1.0 - (own + added + noise).min(0.97))).round();
            let tail = Duration::from_millis(tail as u64);
            model.learn(&mut load, serving, tail, &beside, Duration::from_secs_f64(now));
        }
        let [heavy, light] = [heavy, light].map(|image| model.amount(image, serving));
        println!("{heavy:.2} {light:.2}");
        assert!((heavy - AMOUNTS[0]).abs() < 0.4, "seed {seed}: {heavy}");
        assert!((light - AMOUNTS[1]).abs() < 0.25, "seed {seed}: {light}");
    }
}

fn learned(mean: f64, variance: f64) -> PairEstimate {
    let pair = Pair { leftover: Image::new("fares"), serving: Image::new("map") };
    PairEstimate { pair, amount: Estimate { mean, variance } }
}

fn amount(model: &mut InterferenceModel) -> f64 {
    let [leftover, serving] = ["fares", "map"].map(|name| model.number(&Image::new(name)));
    model.amount(leftover, serving)
}

// Guards against a shard that is counted twice through a takeover: the others hold the report of its
// former owner, and its next owner starts from what that one had learned and reports it again.
#[test]
fn the_next_owners_report_on_a_pair_replaces_the_former_ones() {
    let mut other = InterferenceModel::default();
    other.merge("kacyiru.1", &[learned(0.2, 0.02)]);
    other.merge("kacyiru.0", &[learned(2.0, 0.02)]);
    let before = amount(&mut other);
    let mut next = InterferenceModel::default();
    next.restore(&[learned(2.0, 0.02)], Duration::ZERO);
    next.merge("kacyiru.1", &[learned(0.2, 0.02)]);
    other.merge("kacyiru.0", &next.learned());
    assert_eq!(amount(&mut other), before);
    assert!((amount(&mut next) - before).abs() < 1e-6);
}

// Guards against an old amount that is certain no more and still pulls the estimate its way.
#[test]
fn an_aged_amount_approaches_the_initial_one() {
    let fresh = learned(2.0, 0.02).amount;
    assert!((fresh.scaled(1.0).mean - 2.0).abs() < 1e-9);
    assert!((fresh.scaled(0.5).weight() - fresh.weight() / 2.0).abs() < 1e-9);
    assert!((fresh.scaled(1e-6).mean - INITIAL_AMOUNT).abs() < 1e-3);
}
