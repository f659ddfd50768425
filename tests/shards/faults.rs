//! Fault injection for commands and messages.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use waxwingstall::shard::Action;

/// Outcome of one command or message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Delivered,
    Lost,
    /// It takes effect, but the response is lost.
    AnswerLost,
    /// It is answered and has no effect.
    Ignored,
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
}

impl RandomFaults {
    /// Injects faults at a rate of `permille` until `until`.
    pub fn new(seed: u64, permille: u32, until: Duration) -> Self {
        Self { rng: SmallRng::seed_from_u64(seed), until, permille }
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
        self.draw_outcome(now)
    }
}
