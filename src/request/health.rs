//! Whether an endpoint gets requests, judged from what became of earlier ones.
//!
//! An endpoint that fails is ejected for a time that doubles with each ejection, and returns
//! slowly once a probe succeeds. At most half of a service's endpoints in a domain are ejected:
//! when more fail, the fault is likely not theirs, and the rest could not carry the load.

pub mod life;

use life::{Event, State};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Failures in a row that eject.
const IN_A_ROW: u32 = 5;

/// Share of failures that ejects, over about the last [`WINDOW`] answers.
const FAILED_SHARE: f64 = 0.5;

/// Answers that the share of failures looks back on.
const WINDOW: f64 = 20.0;

/// Answers needed before the share of failures says anything.
const ENOUGH: u32 = 10;

/// First time out.
const FIRST_OUT: Duration = Duration::from_secs(1);

/// Longest time out.
const LONGEST_OUT: Duration = Duration::from_secs(30);

/// Time from the first request after an ejection to a full share.
const RETURN_TIME: Duration = Duration::from_secs(10);

/// Time without a failure after which earlier ejections are forgotten.
const FORGIVEN: Duration = Duration::from_secs(120);

/// Most endpoints out at once, of those of one service in a domain.
pub const MOST_EJECTED: f64 = 0.5;

/// Where an endpoint is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Standing {
    Open,
    /// Gets nothing until `until`, and then a probe.
    Ejected {
        until: Duration,
    },
    /// Gets a growing share since `since`.
    Returning {
        since: Duration,
    },
    /// Refuses connections or says that it leaves; gets nothing until `until`, and then a probe.
    Leaving {
        until: Duration,
    },
    /// Is no longer listed.
    Gone,
}

/// The health of one endpoint.
#[derive(Clone, Debug)]
pub struct Health {
    state: State,
    /// When the state began, or when a probe is due in one that gets nothing.
    at: Duration,
    in_a_row: u32,
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
            in_a_row: 0,
            answers: 0,
            failed_share: 0.0,
            ejections: 0,
            last_ejected: Duration::ZERO,
        }
    }
}

impl Health {
    /// An endpoint that nothing is known against.
    pub fn new() -> Self {
        Self::default()
    }

    /// Where it is now.
    pub fn standing(&self) -> Standing {
        match self.state {
            State::Open => Standing::Open,
            State::Ejected => Standing::Ejected { until: self.at },
            State::Returning => Standing::Returning { since: self.at },
            State::Leaving => Standing::Leaving { until: self.at },
            State::Gone => Standing::Gone,
        }
    }

    /// Share of recent answers that were failures.
    pub fn failed_share(&self) -> f64 {
        self.failed_share
    }

    /// Whether it counts as out of service.
    pub fn is_out(&self) -> bool {
        matches!(self.state, State::Ejected | State::Leaving | State::Gone)
    }

    /// Whether a probe is due.
    pub fn wants_probe(&self, now: Duration) -> bool {
        matches!(self.state, State::Ejected | State::Leaving) && now >= self.at
    }

    /// The slots that may be used, of those that are its own.
    pub fn usable(&self, slots: u32, now: Duration) -> u32 {
        match self.state {
            State::Open => slots,
            State::Ejected | State::Leaving | State::Gone => 0,
            State::Returning => {
                let share = now.saturating_sub(self.at).as_secs_f64() / RETURN_TIME.as_secs_f64();
                let ramped = (f64::from(slots) * share.clamp(0.0, 1.0)).floor();
                (ramped as u32).clamp(slots.min(1), slots)
            }
        }
    }

    /// It answered as it should.
    pub fn succeeded(&mut self, now: Duration) {
        self.in_a_row = 0;
        self.note(0.0);
        if now.saturating_sub(self.at) >= RETURN_TIME {
            self.state = life::step(self.state, Event::Returned);
        }
        if self.ejections > 0 && now.saturating_sub(self.last_ejected) >= FORGIVEN {
            self.ejections = 0;
        }
    }

    /// It answered with an error or lost a connection. `may_eject` tells whether few enough
    /// others are out.
    pub fn failed(&mut self, now: Duration, may_eject: bool) {
        self.in_a_row += 1;
        self.note(1.0);
        let bad = self.in_a_row >= IN_A_ROW
            || (self.answers >= ENOUGH && self.failed_share >= FAILED_SHARE)
            || self.state == State::Returning;
        if bad && may_eject && !self.is_out() {
            self.state = life::step(self.state, Event::Failing);
            self.count_ejection(now);
        }
    }

    /// It refused a connection or said that it leaves. This needs no other evidence: whatever was
    /// sent there would come back as not run.
    pub fn leaves(&mut self, now: Duration) {
        self.state = life::step(self.state, Event::Leaves);
        self.at = now + FIRST_OUT;
    }

    /// It is no longer on the platform's list.
    pub fn delisted(&mut self) {
        self.state = life::step(self.state, Event::Delisted);
    }

    /// A probe came back.
    pub fn probed(&mut self, ok: bool, now: Duration) {
        if !self.is_out() {
            return;
        }
        self.state = life::step(self.state, if ok { Event::ProbeGood } else { Event::ProbeBad });
        match self.state {
            State::Ejected => self.count_ejection(now),
            State::Leaving => self.at = now + FIRST_OUT,
            State::Open | State::Returning | State::Gone => self.begin(now),
        }
    }

    /// Forgets the evidence against it.
    fn begin(&mut self, now: Duration) {
        self.at = now;
        self.in_a_row = 0;
        self.answers = 0;
        self.failed_share = 0.0;
    }

    fn count_ejection(&mut self, now: Duration) {
        let doubled = FIRST_OUT.saturating_mul(1 << self.ejections.min(10));
        self.ejections += 1;
        self.last_ejected = now;
        self.at = now + doubled.min(LONGEST_OUT);
    }

    fn note(&mut self, failure: f64) {
        self.answers = self.answers.saturating_add(1);
        let weight = f64::max(1.0 / WINDOW, 1.0 / f64::from(self.answers));
        self.failed_share += (failure - self.failed_share) * weight;
    }
}

/// Whether one more of `total` endpoints may be ejected when `out` are out already.
pub fn may_eject(out: usize, total: usize) -> bool {
    (out + 1) as f64 <= total as f64 * MOST_EJECTED
}
