//! Retry budget: retries are limited to a fraction of the traffic, not to a count per request.
//!
//! When every endpoint fails, a per-request limit multiplies the load on those that still work. A
//! budget bounds the attempts at (1 + fraction) times the requests, however many fail.

/// Retries added to the budget by each request.
const RETRIES_PER_REQUEST: f64 = 0.09;

/// Upper limit of the budget, which bounds the burst of retries after a period without failures.
const MAX_BALANCE: f64 = 50.0;

/// Budget at startup, so that the first failures can be retried.
const INITIAL_BALANCE: f64 = 5.0;

/// The number of retries currently allowed, which may be fractional.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudget {
    balance: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { balance: INITIAL_BALANCE }
    }
}

impl RetryBudget {
    /// Creates a budget with the initial balance.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the share of one request; called once per request, not per attempt.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + RETRIES_PER_REQUEST).min(MAX_BALANCE);
    }

    /// Deducts one retry and returns true, or returns false if less than one is left.
    #[must_use]
    pub fn withdraw(&mut self) -> bool {
        let enough = self.balance >= 1.0;
        if enough {
            self.balance -= 1.0;
        }
        enough
    }
}
