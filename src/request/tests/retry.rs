use crate::request::retry::RetryBudget;

#[test]
fn when_every_attempt_fails_retries_add_at_most_a_tenth() {
    let mut budget = RetryBudget::new();
    let requests = 1000;
    let mut tries = 0;
    for _ in 0..requests {
        budget.deposit();
        tries += 1;
        while budget.withdraw() {
            tries += 1;
        }
    }
    assert!(tries * 10 <= requests * 11, "{tries} attempts for {requests} requests");
}

#[test]
fn the_burst_after_a_period_without_failures_is_bounded() {
    let mut budget = RetryBudget::new();
    (0..1_000_000).for_each(|_| budget.deposit());
    let burst = (0..1_000_000).take_while(|_| budget.withdraw()).count();
    assert!((1..=50).contains(&burst), "a burst of {burst}");
}
