//! The asker's side, for one endpoint.

use super::{GrantId, ShareAsk, ShareGrant};
use crate::ids::{DaemonId, VmId};
use std::time::Duration;

/// Slots wanted beyond those in use, so that a burst finds some.
const HEADROOM: u32 = 1;

/// Part of a grant's validity that is left unused, against clocks that run apart.
const DRIFT: f64 = 0.1;

/// What one daemon holds of one endpoint's slots.
#[derive(Clone, Debug)]
pub struct Taker {
    me: DaemonId,
    vm: VmId,
    grant: Option<Held>,
    /// Most in use or waited for since the last ask.
    peak: u32,
    asks: u64,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    id: GrantId,
    slots: u32,
    valid_until: Duration,
}

impl Taker {
    /// A daemon that holds nothing yet.
    pub fn new(me: DaemonId, vm: VmId) -> Self {
        Self { me, vm, grant: None, peak: 0, asks: 0 }
    }

    /// Slots that requests may be started on.
    pub fn usable(&self, now: Duration) -> u32 {
        self.grant.filter(|held| now < held.valid_until).map_or(0, |held| held.slots)
    }

    /// Notes requests in use, and waiting for this endpoint.
    pub fn demand(&mut self, slots: u32) {
        self.peak = self.peak.max(slots);
    }

    /// The ask to send now. `in_use` counts requests that may still be at the endpoint.
    pub fn ask(&mut self, in_use: u32, now: Duration) -> ShareAsk {
        let held = self.grant.filter(|held| now < held.valid_until);
        let wants = self.peak.max(in_use) + HEADROOM;
        self.peak = in_use;
        self.asks += 1;
        ShareAsk {
            from: self.me.clone(),
            vm: self.vm.clone(),
            number: self.asks,
            seen: held.map(|held| held.id),
            holds: held.map_or(0, |held| held.slots),
            in_use,
            wants,
        }
    }

    /// Takes a grant whose ask was sent at `sent`. An older one than is held has no effect: its
    /// giver may have lost the lease, or counts on a later grant.
    pub fn granted(&mut self, grant: &ShareGrant, sent: Duration) {
        if self.grant.is_some_and(|held| grant.id <= held.id) {
            return;
        }
        let valid_until = sent + grant.ttl.mul_f64(1.0 - DRIFT);
        self.grant = Some(Held { id: grant.id, slots: grant.slots, valid_until });
    }
}
