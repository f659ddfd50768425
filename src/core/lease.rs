//! How long a control lease is surely held.
//!
//! The holder counts from the time *before* it sent the renewal that succeeded, the VM from the
//! time it received it; so the holder stops first, by its own clock alone and without a message.
//! This is the sender's side of Ma et al., "SafeTimer" (USENIX ATC 2018): the check is passive,
//! made as the last step before each message that has an effect. A holder that was paused reads
//! the clock when it wakes, finds the lease over and sends nothing. What slips between that check
//! and the send carries the lease's [`Token`], which a VM refuses once it has granted a newer one.

use crate::ids::Token;
use std::time::Duration;

/// The times that a lease rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    pub ttl: Duration,
    /// Most that the holder's and the VM's clock drift apart within `ttl`.
    pub drift_margin: Duration,
}

impl Terms {
    /// End of the validity of a renewal that was sent after `sent`.
    pub fn valid_until(&self, sent: Duration) -> Duration {
        sent + self.ttl.saturating_sub(self.drift_margin)
    }
}

/// A control lease as its holder sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControlLease {
    token: Token,
    granted: Duration,
    valid_until: Duration,
}

impl ControlLease {
    /// A lease granted to a request sent after `sent`.
    pub fn new(token: Token, sent: Duration, terms: Terms) -> Self {
        Self { token, granted: sent, valid_until: terms.valid_until(sent) }
    }

    /// Extends the lease by a renewal sent after `sent`; an older renewal changes nothing.
    pub fn renew(&mut self, sent: Duration, terms: Terms) {
        self.valid_until = self.valid_until.max(terms.valid_until(sent));
    }

    /// Fencing token.
    pub fn token(&self) -> Token {
        self.token
    }

    /// Time before the request that it was granted to.
    pub fn granted(&self) -> Duration {
        self.granted
    }

    /// End of validity; nothing with an effect is sent at or after it.
    pub fn valid_until(&self) -> Duration {
        self.valid_until
    }

    /// Whether it is surely held.
    pub fn holds_at(&self, now: Duration) -> bool {
        now < self.valid_until
    }
}
