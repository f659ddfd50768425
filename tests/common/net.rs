//! Deliveries in order of time, and the faults that can meet them.

use std::collections::BTreeMap;
use std::time::Duration;
use waxwingstall::core::{Action, Event};
use waxwingstall::ids::DaemonId;

/// Something that arrives later.
#[derive(Clone, Debug)]
pub enum Delivery {
    /// An event for a daemon.
    ToDaemon { to: DaemonId, event: Event },
    /// A call of a daemon to a VM or to the log.
    Call(Call),
    /// A daemon's clock ticks.
    Tick { to: DaemonId },
    /// A paused daemon has been silent for long.
    Suspect { daemon: DaemonId },
    /// A daemon that was paused goes on, with the actions it had in hand.
    Resume { daemon: DaemonId, in_hand: Vec<Action> },
}

/// A call on its way.
#[derive(Clone, Debug)]
pub struct Call {
    pub from: DaemonId,
    /// Time read before it was sent.
    pub sent: Duration,
    /// Recovery of the log that a commit builds on.
    pub recovery: u64,
    pub action: Action,
    pub answer: AnswerFate,
}

/// What becomes of the answer to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerFate {
    Arrives,
    /// The call takes effect; its answer doesn't come back.
    Lost,
}

/// Deliveries in order of time.
#[derive(Debug, Default)]
pub struct Net {
    queue: BTreeMap<Slot, Delivery>,
    seq: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Slot {
    at: Duration,
    seq: u64,
}

impl Net {
    /// Delivers at a time.
    pub fn deliver(&mut self, at: Duration, delivery: Delivery) {
        self.seq += 1;
        self.queue.insert(Slot { at, seq: self.seq }, delivery);
    }

    /// The next delivery, with its time, if it is due by then.
    pub fn next(&mut self, by: Duration) -> Option<(Duration, Delivery)> {
        let first = self.queue.first_entry().filter(|entry| entry.key().at <= by)?;
        let at = first.key().at;
        Some((at, first.remove()))
    }
}
