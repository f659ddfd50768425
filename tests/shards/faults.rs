//! What becomes of orders and messages.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use waxwingstall::shard::Action;

/// What becomes of one order or message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    Done,
    Lost,
    /// It takes effect, and its answer is lost.
    AnswerLost,
    /// Nobody gets an answer, and it takes effect later.
    Late(Duration),
}

/// Decides what becomes of orders and messages.
pub trait Faults {
    /// An order to a VM.
    fn meet_order(&mut self, now: Duration, action: &Action) -> Fate;

    /// A message between shards.
    fn meet_message(&mut self, now: Duration) -> Fate;
}

/// None.
pub struct Sound;

impl Faults for Sound {
    fn meet_order(&mut self, _: Duration, _: &Action) -> Fate {
        Fate::Done
    }

    fn meet_message(&mut self, _: Duration) -> Fate {
        Fate::Done
    }
}

/// By chance, from a seed, until a time.
pub struct Chance {
    rng: SmallRng,
    until: Duration,
    /// Share of orders and messages that are met, of 1000.
    permille: u32,
}

impl Chance {
    /// Faults of so many in a thousand until `until`.
    pub fn new(seed: u64, permille: u32, until: Duration) -> Self {
        Self { rng: SmallRng::seed_from_u64(seed), until, permille }
    }

    fn meet(&mut self, now: Duration) -> Fate {
        if now >= self.until || self.rng.random_range(0..1000) >= self.permille {
            return Fate::Done;
        }
        match self.rng.random_range(0..3) {
            0 => Fate::Lost,
            1 => Fate::AnswerLost,
            _ => Fate::Late(Duration::from_millis(self.rng.random_range(50..6000))),
        }
    }
}

impl Faults for Chance {
    fn meet_order(&mut self, now: Duration, _: &Action) -> Fate {
        self.meet(now)
    }

    fn meet_message(&mut self, now: Duration) -> Fate {
        self.meet(now)
    }
}
