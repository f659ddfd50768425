//! Passive health checks: decides from the results of requests whether an endpoint gets more.
//!
//! A failing endpoint is ejected for a time that doubles with each ejection, and its share of
//! requests is raised gradually once a probe succeeds. At most half of a service's endpoints in a
//! domain are ejected: if more of them fail, the cause is likely elsewhere, and the rest could not
//! carry the load.

pub mod life;

use life::{Event, State};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Consecutive failures that eject an endpoint.
const MAX_CONSECUTIVE_FAILURES: u32 = 5;

/// Failure rate that ejects an endpoint, over about the last [`WINDOW`] answers.
const MAX_FAILED_SHARE: f64 = 0.5;

/// Number of answers that the failure rate is averaged over.
const WINDOW: f64 = 20.0;

/// Number of answers before the failure rate is used.
const MIN_ANSWERS: u32 = 10;

/// Duration of the first ejection.
const FIRST_EJECTION: Duration = Duration::from_secs(1);

/// Maximum duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(30);

/// Time after an ejection in which the usable slots rise to the full number.
const RAMP_UP_TIME: Duration = Duration::from_secs(10);

/// Time without an ejection after which earlier ones no longer lengthen the next.
const EJECTION_MEMORY: Duration = Duration::from_secs(120);

/// Maximum fraction of the endpoints of a service in a domain that may be ejected at once.
pub const MAX_EJECTED_SHARE: f64 = 0.5;

/// Health state of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HealthState {
    Open,
    /// Gets no requests; probed from `until` on.
    Ejected {
        until: Duration,
    },
    /// Gets a growing number of requests since `since`.
    Returning {
        since: Duration,
    },
    /// Refuses connections or reports that it is leaving; gets no requests; probed from `until` on.
    Leaving {
        until: Duration,
    },
    /// No longer listed by the platform.
    Gone,
}

/// The health of one endpoint.
#[derive(Clone, Debug)]
pub struct Health {
    state: State,
    /// Start of the state, or the time of the next probe if the endpoint gets no requests.
    at: Duration,
    consecutive_failures: u32,
    answers: u32,
    failed_share: f64,
    ejections: u32,
    last_ejected: Duration,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            state: State::Open,
            at: Duration::ZERO,
            consecutive_failures: 0,
            answers: 0,
            failed_share: 0.0,
            ejections: 0,
            last_ejected: Duration::ZERO,
        }
    }
}

impl Health {
    /// Creates the health of an endpoint without failures.
    pub fn new() -> Self {
        Self::default()
    }

    /// The current state.
    pub fn standing(&self) -> HealthState {
        match self.state {
            State::Open => HealthState::Open,
            State::Ejected => HealthState::Ejected { until: self.at },
            State::Returning => HealthState::Returning { since: self.at },
            State::Leaving => HealthState::Leaving { until: self.at },
            State::Gone => HealthState::Gone,
        }
    }

    /// Fraction of recent answers that were failures.
    pub fn failed_share(&self) -> f64 {
        self.failed_share
    }

    /// Whether the endpoint gets no requests.
    pub fn is_out(&self) -> bool {
        matches!(self.state, State::Ejected | State::Leaving | State::Gone)
    }

    /// Whether a probe is due.
    pub fn wants_probe(&self, now: Duration) -> bool {
        matches!(self.state, State::Ejected | State::Leaving) && now >= self.at
    }

    /// Of `slots` slots, the number that may be used.
    pub fn usable(&self, slots: u32, now: Duration) -> u32 {
        match self.state {
            State::Open => slots,
            State::Ejected | State::Leaving | State::Gone => 0,
            State::Returning => {
                let share = now.saturating_sub(self.at).as_secs_f64() / RAMP_UP_TIME.as_secs_f64();
                let ramped = (f64::from(slots) * share.clamp(0.0, 1.0)).floor();
                (ramped as u32).clamp(slots.min(1), slots)
            }
        }
    }

    /// Records a successful answer.
    pub fn succeeded(&mut self, now: Duration) {
        self.consecutive_failures = 0;
        self.record_answer(0.0);
        if now.saturating_sub(self.at) >= RAMP_UP_TIME {
            self.state = life::step(self.state, Event::Returned);
        }
        if self.ejections > 0 && now.saturating_sub(self.last_ejected) >= EJECTION_MEMORY {
            self.ejections = 0;
        }
    }

    /// Records an error answer or a lost connection. `may_eject` is false if too many other
    /// endpoints are ejected.
    pub fn failed(&mut self, now: Duration, may_eject: bool) {
        self.consecutive_failures += 1;
        self.record_answer(1.0);
        let unhealthy = self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
            || (self.answers >= MIN_ANSWERS && self.failed_share >= MAX_FAILED_SHARE)
            || self.state == State::Returning;
        if unhealthy && may_eject && !self.is_out() {
            self.state = life::step(self.state, Event::Failing);
            self.count_ejection(now);
        }
    }

    /// Records that the endpoint refused a connection or reported that it is leaving. A single
    /// report suffices, since any further request would be returned as not run.
    pub fn mark_leaving(&mut self, now: Duration) {
        self.state = life::step(self.state, Event::Leaves);
        self.at = now + FIRST_EJECTION;
    }

    /// Records that the platform no longer lists the endpoint.
    pub fn delisted(&mut self) {
        self.state = life::step(self.state, Event::Delisted);
    }

    /// Records the result of a probe.
    pub fn probed(&mut self, ok: bool, now: Duration) {
        if !self.is_out() {
            return;
        }
        self.state = life::step(self.state, if ok { Event::ProbeGood } else { Event::ProbeBad });
        match self.state {
            State::Ejected => self.count_ejection(now),
            State::Leaving => self.at = now + FIRST_EJECTION,
            State::Open | State::Returning | State::Gone => self.reset(now),
        }
    }

    /// Starts a state with the failure counters reset.
    fn reset(&mut self, now: Duration) {
        self.at = now;
        self.consecutive_failures = 0;
        self.answers = 0;
        self.failed_share = 0.0;
    }

    fn count_ejection(&mut self, now: Duration) {
        let doubled = FIRST_EJECTION.saturating_mul(1 << self.ejections.min(10));
        self.ejections += 1;
        self.last_ejected = now;
        self.at = now + doubled.min(MAX_EJECTION);
    }

    fn record_answer(&mut self, failure: f64) {
        self.answers = self.answers.saturating_add(1);
        let weight = f64::max(1.0 / WINDOW, 1.0 / f64::from(self.answers));
        self.failed_share += (failure - self.failed_share) * weight;
    }
}

/// Whether one more of `total` endpoints may be ejected if `ejected` are ejected already.
pub fn may_eject(ejected: usize, total: usize) -> bool {
    (ejected + 1) as f64 <= total as f64 * MAX_EJECTED_SHARE
}
