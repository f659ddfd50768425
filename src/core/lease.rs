//! Validity of control leases, as computed by their holder.
//!
//! The holder counts from a time *before* it sent the successful renewal, and the VM from the time
//! it received it. The holder's lease therefore expires first, by its local clock alone and without
//! a message. This is the sender's side of Ma et al., "SafeTimer" (USENIX ATC 2018): the check is
//! passive and is the last step before each message that has an effect. A holder that resumes after
//! a pause reads the clock, finds that the lease has expired and sends nothing. A message delayed
//! between that check and the send carries the lease's fencing [`Token`], which a VM rejects once
//! it has granted a newer one.

use crate::ids::Token;
use std::time::Duration;

/// Durations that determine a lease's validity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTerms {
    pub ttl: Duration,
    /// Maximum drift between the holder's and the VM's clock within `ttl`.
    pub drift_margin: Duration,
}

impl LeaseTerms {
    /// Expiry of a lease granted or renewed by a request sent after `sent`.
    pub fn valid_until(&self, sent: Duration) -> Duration {
        sent + self.ttl.saturating_sub(self.drift_margin)
    }
}

/// A control lease as seen by its holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControlLease {
    token: Token,
    requested_at: Duration,
    valid_until: Duration,
}

impl ControlLease {
    /// Creates a lease that was granted to a request sent after `sent`.
    pub fn new(token: Token, sent: Duration, terms: LeaseTerms) -> Self {
        Self { token, requested_at: sent, valid_until: terms.valid_until(sent) }
    }

    /// Extends the lease after a renewal sent after `sent`; an older renewal has no effect.
    pub fn renew(&mut self, sent: Duration, terms: LeaseTerms) {
        self.valid_until = self.valid_until.max(terms.valid_until(sent));
    }

    /// Fencing token.
    pub fn token(&self) -> Token {
        self.token
    }

    /// Time before the request that obtained the grant was sent.
    pub fn requested_at(&self) -> Duration {
        self.requested_at
    }

    /// Expiry; no message that has an effect is sent at or after it.
    pub fn valid_until(&self) -> Duration {
        self.valid_until
    }

    /// Whether the lease is guaranteed to be held.
    pub fn is_valid_at(&self, now: Duration) -> bool {
        now < self.valid_until
    }
}
