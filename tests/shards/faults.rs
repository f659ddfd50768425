//! Fault injection for commands and messages.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::ops::Range;
use std::time::Duration;
use waxwingstall::shard::Action;

/// Outcome of one command or message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Delivered,
    Lost,
    /// The connection is refused. Only commands are.
    Refused,
    /// It takes effect, but the response is lost.
    AnswerLost,
    /// It is answered and has no effect.
    Ignored,
    /// The VM answers that it has no room. Only starts are.
    NoRoom,
    /// It has no effect, and the sender is told nothing, not even that it failed.
    Unreported,
    /// The sender gets no response, and it takes effect after this delay.
    Late(Duration),
    /// It takes effect, and the response takes this long. Only commands are slow.
    Slow(Duration),
}

/// Decides the outcome of commands and messages.
pub trait Faults {
    /// Outcome of a command to a VM.
    fn command_outcome(&mut self, now: Duration, action: &Action) -> Outcome;

    /// Outcome of a message between shards, or of a permit request.
    fn message_outcome(&mut self, now: Duration) -> Outcome;

    /// Time after which a message between shards is delivered once more.
    fn repeat_after(&mut self, _: Duration) -> Option<Duration> {
        None
    }
}

/// No faults.
pub struct NoFaults;

impl Faults for NoFaults {
    fn command_outcome(&mut self, _: Duration, _: &Action) -> Outcome {
        Outcome::Delivered
    }

    fn message_outcome(&mut self, _: Duration) -> Outcome {
        Outcome::Delivered
    }
}

/// Random faults from a seed, up to a given time.
pub struct RandomFaults {
    rng: SmallRng,
    until: Duration,
    /// Fraction of commands and messages with a fault, in thousandths.
    permille: u32,
    /// Periods in which messages between shards are dropped until their connection repeats them.
    cuts: Vec<Range<Duration>>,
}

/// First interval after which a connection repeats what was dropped; it doubles each time.
const FIRST_REPEAT: Duration = Duration::from_millis(200);

impl RandomFaults {
    /// Injects faults at a rate of `permille` until `until`.
    pub fn new(seed: u64, permille: u32, until: Duration) -> Self {
        Self { rng: SmallRng::seed_from_u64(seed), until, permille, cuts: Vec::new() }
    }

    /// Injects faults until another time.
    pub fn until(self, until: Duration) -> Self {
        Self { until, ..self }
    }

    /// Adds partitions of up to 7 s with gaps of 0.1 to 2 s until no more faults are injected.
    pub fn with_cuts(mut self) -> Self {
        let mut start = Duration::ZERO;
        while start < self.until {
            let end = start + Duration::from_millis(self.rng.random_range(500..7000));
            self.cuts.push(start..end.min(self.until));
            start = end + Duration::from_millis(self.rng.random_range(100..2000));
        }
        self
    }

    /// Returns how long a message that is sent now is held up by partitions.
    fn hold_up(&self, now: Duration) -> Option<Duration> {
        let is_cut = |at: Duration| self.cuts.iter().any(|cut| cut.contains(&at));
        let (mut arrival, mut interval) = (now, FIRST_REPEAT);
        while is_cut(arrival) {
            arrival += interval;
            interval *= 2;
        }
        (arrival > now).then_some(arrival - now)
    }

    fn draw_outcome(&mut self, now: Duration) -> Outcome {
        if now >= self.until || self.rng.random_range(0..1000) >= self.permille {
            return Outcome::Delivered;
        }
        match self.rng.random_range(0..3) {
            0 => Outcome::Lost,
            1 => Outcome::AnswerLost,
            _ => Outcome::Late(Duration::from_millis(self.rng.random_range(50..6000))),
        }
    }
}

impl Faults for RandomFaults {
    fn command_outcome(&mut self, now: Duration, _: &Action) -> Outcome {
        self.draw_outcome(now)
    }

    fn message_outcome(&mut self, now: Duration) -> Outcome {
        match self.hold_up(now) {
            Some(delay) => Outcome::Late(delay),
            None => self.draw_outcome(now),
        }
    }
    fn repeat_after(&mut self, now: Duration) -> Option<Duration> {
        let repeats = !self.cuts.is_empty() && now < self.until && self.rng.random_bool(0.1);
        repeats.then(|| Duration::from_millis(self.rng.random_range(50..60_000)))
    }
}
