//! Bounded rings between the daemon's duties.
//!
//! A duty is an actor on a thread of its own; its mailbox is the ring. What happens when the ring
//! is full is stated where the ring is made. Without a bound, a duty that stalls would let the
//! others queue messages until the process runs out of memory.

#[cfg(test)]
mod tests;

use actix::dev::ToEnvelope;
use actix::prelude::{Actor, Addr, Handler, Message, Recipient, SendError};
use std::collections::VecDeque;

/// Messages that a duty's ring holds.
pub const RING_CAPACITY: usize = 4096;

/// Result of a push; an error gives the message back.
pub type Result<M> = std::result::Result<(), M>;

/// What happens to a message that finds the ring full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WhenFull {
    /// The sender gets it back.
    Refuse,
    /// It is dropped and counted; its sender repeats it by itself.
    Drop,
    /// It waits at the sender, in order, up to this many; then it is dropped and counted.
    Wait { limit: usize },
}

/// The sending end of a ring.
pub struct Ring<M>
where
    M: Message + Send + 'static,
    M::Result: Send,
{
    to: Recipient<M>,
    when_full: WhenFull,
    waiting: VecDeque<M>,
    dropped: u64,
}

impl<M> Ring<M>
where
    M: Message + Send + 'static,
    M::Result: Send,
{
    /// A ring to a duty.
    pub fn new<A>(to: Addr<A>, when_full: WhenFull) -> Self
    where
        A: Actor + Handler<M>,
        A::Context: ToEnvelope<A, M>,
    {
        Self { to: to.recipient(), when_full, waiting: VecDeque::new(), dropped: 0 }
    }

    /// Sends a message, behind those that wait.
    pub fn push(&mut self, msg: M) -> Result<M> {
        self.flush();
        if !self.waiting.is_empty() {
            return self.handle_full(msg);
        }
        match self.to.try_send(msg) {
            Ok(()) => Ok(()),
            Err(SendError::Full(msg)) => self.handle_full(msg),
            Err(SendError::Closed(msg)) => Err(msg),
        }
    }

    /// Sends what waits, as far as there is room.
    pub fn flush(&mut self) {
        while let Some(msg) = self.waiting.pop_front() {
            match self.to.try_send(msg) {
                Ok(()) => {}
                Err(SendError::Full(msg)) => {
                    self.waiting.push_front(msg);
                    return;
                }
                Err(SendError::Closed(_)) => return,
            }
        }
    }

    /// Messages that wait here for room.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Messages dropped so far.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    fn handle_full(&mut self, msg: M) -> Result<M> {
        match self.when_full {
            WhenFull::Refuse => return Err(msg),
            WhenFull::Wait { limit } if self.waiting.len() < limit => self.waiting.push_back(msg),
            WhenFull::Wait { .. } | WhenFull::Drop => self.dropped += 1,
        }
        Ok(())
    }
}
