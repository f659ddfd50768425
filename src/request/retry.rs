//! How many retries may be made: a share of the traffic, not a count for each request.
//!
//! When everything fails, a count for each request multiplies the load on whatever is left. A
//! share bounds the tries at (1 + share) of the requests, however many fail.

/// Retries earned by one request.
const EARNED: f64 = 0.09;

/// Retries that a quiet time may save up.
const MOST_SAVED: f64 = 50.0;

/// Retries at the start, so that the first failures after a start can be retried.
const AT_START: f64 = 5.0;

/// Retries left to make.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    saved: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { saved: AT_START }
    }
}

impl Budget {
    /// A budget as after a start.
    pub fn new() -> Self {
        Self::default()
    }

    /// A first try was made.
    pub fn earn(&mut self) {
        self.saved = (self.saved + EARNED).min(MOST_SAVED);
    }

    /// Takes one retry out, if there is one.
    #[must_use]
    pub fn take(&mut self) -> bool {
        let enough = self.saved >= 1.0;
        if enough {
            self.saved -= 1.0;
        }
        enough
    }
}
