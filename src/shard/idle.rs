//! Room on a VM that stays free.
//!
//! Work that must start at once comes in bursts: room that is free at one moment is needed at the
//! next. Room that was free all through the last moments isn't, and may be given away for good.

#[cfg(test)]
mod tests;

use crate::units::Resources;
use std::time::Duration;

/// Parts of the time for which room must have been free.
const PARTS: usize = 4;

/// Length of a part, so that room counts 1.5 to 2 s after it became free: a lasting task that waits
/// for 3 s though there is room for it counts as lost, and starting it takes up to 0.8 s by way of
/// another shard.
const PART: Duration = Duration::from_millis(500);

/// The least room that was free in the last moments.
#[derive(Clone, Debug)]
pub struct Idle {
    /// In each part, the present one first.
    least: [Resources; PARTS],
    /// When the present part ends.
    turn: Duration,
}

impl Idle {
    /// Of a VM of which nothing is known yet.
    pub fn new(now: Duration) -> Self {
        Self { least: [Resources::ZERO; PARTS], turn: now + PART }
    }

    /// Notes the room that is free now.
    pub fn note(&mut self, free: Resources, now: Duration) {
        if now >= self.turn {
            self.turn = now + PART;
            self.least.rotate_right(1);
            self.least[0] = free;
        }
        self.least[0] = self.least[0].least(&free);
    }

    /// Notes that room is taken for good.
    pub fn take(&mut self, taken: Resources) {
        for least in &mut self.least {
            *least = least.saturating_sub(&taken);
        }
    }

    /// Room that was free all the while.
    pub fn room(&self) -> Resources {
        self.least.iter().skip(1).fold(self.least[0], |least, part| least.least(part))
    }
}
