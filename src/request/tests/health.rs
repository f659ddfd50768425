use crate::request::health::{Health, HealthState, life, may_eject};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

fn eject(health: &mut Health, now: Duration) {
    (0..5).for_each(|_| health.failed(now, true));
    assert!(health.is_out());
}

#[test]
fn a_few_failures_among_answers_do_not_eject() {
    let mut health = Health::new();
    for _ in 0..100 {
        health.failed(SECOND, true);
        (0..4).for_each(|_| health.succeeded(SECOND));
    }
    assert_eq!(health.standing(), HealthState::Open);
}

#[test]
fn a_high_failure_rate_ejects_without_five_consecutive_failures() {
    let mut health = Health::new();
    for _ in 0..20 {
        (0..3).for_each(|_| health.failed(SECOND, true));
        health.succeeded(SECOND);
    }
    assert!(health.is_out());
}

#[test]
fn no_endpoint_is_ejected_beyond_the_limit() {
    let mut health = Health::new();
    (0..100).for_each(|_| health.failed(SECOND, false));
    assert_eq!(health.standing(), HealthState::Open);
    let allowed: Vec<bool> = (0..4).map(|ejected| may_eject(ejected, 4)).collect();
    assert_eq!(allowed, [true, true, false, false]);
    assert!(!may_eject(0, 1), "the only endpoint is never ejected");
}

#[test]
fn an_ejected_endpoint_returns_gradually_after_a_probe() {
    let mut health = Health::new();
    eject(&mut health, SECOND);
    assert!(!health.wants_probe(SECOND));
    assert!(health.wants_probe(SECOND * 2));
    health.probed(true, SECOND * 2);
    let usable: Vec<u32> =
        [2, 3, 7, 12].iter().map(|second| health.usable(8, SECOND * *second)).collect();
    assert_eq!(usable, [1, 1, 4, 8]);
}

#[test]
fn each_ejection_lasts_longer_and_one_failure_while_returning_is_enough() {
    let mut health = Health::new();
    eject(&mut health, SECOND);
    health.probed(true, SECOND * 2);
    health.failed(SECOND * 3, true);
    assert_eq!(health.standing(), HealthState::Ejected { until: SECOND * 5 });
    health.probed(false, SECOND * 5);
    assert_eq!(health.standing(), HealthState::Ejected { until: SECOND * 9 });
}

#[test]
fn a_single_report_of_leaving_stops_requests_until_a_probe_succeeds() {
    let mut health = Health::new();
    health.mark_leaving(SECOND);
    assert_eq!(health.usable(8, SECOND), 0);
    health.succeeded(SECOND);
    assert_eq!(health.usable(8, SECOND * 100), 0);
    health.probed(false, SECOND * 100);
    assert_eq!(health.usable(8, SECOND * 200), 0);
    health.probed(true, SECOND * 200);
    assert_eq!(health.usable(8, SECOND * 200), 1);
}

#[test]
fn the_chart_and_the_code_name_the_same_states_and_events() {
    life::load().unwrap();
}

#[test]
fn a_delisted_endpoint_gets_no_requests_even_after_a_probe() {
    let mut health = Health::new();
    health.delisted();
    health.probed(true, SECOND);
    assert_eq!(health.standing(), HealthState::Gone);
    assert_eq!((health.usable(8, SECOND * 100), health.wants_probe(SECOND * 100)), (0, false));
}
