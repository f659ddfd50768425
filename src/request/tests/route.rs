use crate::request::route::{Candidate, Policy, Slowdown, choose};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

fn candidate(in_flight: u32, slowness: f64, failed_share: f64) -> Candidate {
    Candidate { in_flight, usable: 8, slowness, failed_share }
}

/// How often each candidate is chosen in 1000 draws.
fn chosen(candidates: &[Candidate]) -> Vec<usize> {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut counts = vec![0; candidates.len()];
    for _ in 0..1000 {
        let at = choose(Policy::LeastPredictedFinish, candidates, &mut rng).unwrap();
        counts[at] += 1;
    }
    counts
}

#[test]
fn a_slow_endpoint_is_passed_over_even_when_it_is_idle() {
    assert_eq!(chosen(&[candidate(0, 3.0, 0.0), candidate(6, 1.0, 0.0)]), [0, 1000]);
}

#[test]
fn equal_endpoints_are_drawn_evenly() {
    let counts = chosen(&[candidate(1, 1.0, 0.0), candidate(1, 1.01, 0.0)]);
    assert!(counts.iter().all(|count| (400..=600).contains(count)), "{counts:?}");
}

#[test]
fn errors_answered_quickly_do_not_attract() {
    // Failed answers don't update the slowdown, so it stays at 1; the failure rate counts instead.
    assert_eq!(chosen(&[candidate(0, 1.0, 0.9), candidate(4, 1.0, 0.0)]), [0, 1000]);
}

#[test]
fn the_slowdown_decays_with_age() {
    let mut slowdown = Slowdown::default();
    (0..50).for_each(|_| slowdown.update(8.0, SECOND));
    assert!(slowdown.factor(SECOND, 0.0) > 7.0);
    assert!(slowdown.factor(SECOND * 21, 0.0) < 1.01);
}

#[test]
fn an_overdue_request_counts_before_it_ends() {
    let slowdown = Slowdown::default();
    assert_eq!(slowdown.factor(SECOND, 5.0), 5.0);
    assert_eq!(slowdown.factor(SECOND, 0.2), 1.0);
}

#[test]
fn no_candidates_give_no_choice() {
    let mut rng = SmallRng::seed_from_u64(7);
    assert_eq!(choose(Policy::Random, &[], &mut rng), None);
}
