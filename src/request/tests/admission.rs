use crate::ids::{ClassName, ServiceName, TeamName};
use crate::model::{Idempotency, RequestClass};
use crate::request::admission::Admission;
use crate::request::outcome::Reason;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);

fn class(weight: u32, expected: Duration, target_p99: Duration) -> RequestClass {
    RequestClass {
        service: ServiceName::new("shop"),
        deadline: Duration::from_secs(60),
        target_p99,
        expected,
        idempotency: Idempotency::Idempotent,
        weight,
    }
}

fn preview() -> ClassName {
    ClassName::new("preview")
}

fn build() -> ClassName {
    ClassName::new("build")
}

/// Previews of 10 ms with weight 4, builds of 1 s with weight 1.
fn admission() -> Admission<u32> {
    let mut admission = Admission::new();
    admission.configure(&preview(), &class(4, MS * 10, MS * 100));
    admission.configure(&build(), &class(1, MS * 1000, MS * 100_000));
    admission
}

fn enqueue(admission: &mut Admission<u32>, class: &ClassName, team: &str, item: u32) -> bool {
    let due = Duration::from_secs(60);
    let team = Some(TeamName::new(team));
    admission.enqueue(class, team, due, item, 8, Duration::ZERO).is_ok()
}

#[test]
fn builds_never_take_every_slot() {
    let mut admission = admission();
    (0..100).for_each(|item| assert!(enqueue(&mut admission, &build(), "a", item)));
    let mut started = 0;
    while admission.next(8, Duration::ZERO).is_some() {
        started += 1;
    }
    assert!((1..8).contains(&started), "{started} builds on 8 slots");
    assert!(enqueue(&mut admission, &preview(), "b", 0));
    let next = admission.next(8, Duration::ZERO).map(|(class, _)| class);
    assert_eq!(next, Some(preview()));
}

#[test]
fn a_build_runs_even_if_previews_could_use_every_slot() {
    let mut admission = admission();
    for item in 0..40 {
        enqueue(&mut admission, &preview(), "a", item);
    }
    assert!(enqueue(&mut admission, &build(), "a", 0));
    let started: Vec<_> = std::iter::from_fn(|| admission.next(8, Duration::ZERO)).collect();
    assert!(started.iter().any(|(class, _)| *class == build()));
}

#[test]
fn teams_take_turns_however_much_one_asks_for() {
    let mut admission = admission();
    for item in 0..30 {
        enqueue(&mut admission, &preview(), "flood", item);
    }
    assert!(
        enqueue(&mut admission, &preview(), "small", 1000),
        "a flood must not keep other teams out"
    );
    let first: Vec<u32> =
        std::iter::from_fn(|| admission.next(64, Duration::ZERO).map(|(_, next)| next.item))
            .take(2)
            .collect();
    assert!(first.contains(&1000), "{first:?}");
}

#[test]
fn a_request_beyond_the_wait_limit_is_rejected_with_a_retry_time() {
    let mut admission = admission();
    let mut rejection = None;
    for item in 0..1000 {
        let due = Duration::from_secs(60);
        if let Err(why) = admission.enqueue(&preview(), None, due, item, 8, Duration::ZERO) {
            rejection = Some(why);
            break;
        }
    }
    let rejection = rejection.expect("the queue is bounded");
    assert_eq!(rejection.reason, Reason::QueueFull);
    assert!(rejection.retry_after > Duration::ZERO);
}

#[test]
fn a_request_that_cannot_meet_its_deadline_is_rejected() {
    let mut admission = admission();
    let rejection = admission.enqueue(&build(), None, MS * 500, 0, 8, Duration::ZERO).unwrap_err();
    assert_eq!(rejection.reason, Reason::DeadlineTooShort);
}

#[test]
fn only_requests_that_waited_too_long_expire() {
    let mut admission = admission();
    enqueue(&mut admission, &preview(), "a", 1);
    let due = Duration::from_secs(60);
    admission.enqueue(&preview(), None, due, 2, 8, MS * 30).unwrap();
    let expired: Vec<u32> =
        admission.expire(MS * 60).into_iter().map(|(waiting, _)| waiting.item).collect();
    assert_eq!(expired, [1]);
    assert_eq!(admission.next(8, MS * 60).map(|(_, next)| next.item), Some(2));
}

#[test]
fn a_cancelled_request_is_not_started() {
    let mut admission = admission();
    let due = Duration::from_secs(60);
    let ticket = admission.enqueue(&preview(), None, due, 1, 8, Duration::ZERO).unwrap();
    admission.cancel(&preview(), ticket);
    assert!(admission.next(8, Duration::ZERO).is_none());
}
