use crate::request::retry::Budget;

#[test]
fn when_everything_fails_tries_are_at_most_a_tenth_more_than_requests() {
    let mut budget = Budget::new();
    let requests = 1000;
    let mut tries = 0;
    for _ in 0..requests {
        budget.earn();
        tries += 1;
        while budget.take() {
            tries += 1;
        }
    }
    assert!(tries * 10 <= requests * 11, "{tries} tries of {requests} requests");
}

#[test]
fn a_quiet_time_saves_up_no_more_than_a_bounded_burst() {
    let mut budget = Budget::new();
    (0..1_000_000).for_each(|_| budget.earn());
    let burst = (0..1_000_000).take_while(|_| budget.take()).count();
    assert!((1..=50).contains(&burst), "a burst of {burst}");
}
