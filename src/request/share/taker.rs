//! The client of an allocator, for one endpoint.

use super::{GrantId, ShareGrant, ShareRequest};
use crate::ids::{DaemonId, VmId};
use std::time::Duration;

/// Slots requested beyond those in use, to absorb bursts.
const HEADROOM: u32 = 1;

/// Fraction of a grant's validity that is not used, to allow for clock drift.
const DRIFT_MARGIN: f64 = 0.1;

/// The slots of an endpoint that this daemon holds.
#[derive(Clone, Debug)]
pub struct SlotClient {
    me: DaemonId,
    vm: VmId,
    grant: Option<Held>,
    /// Highest number of requests running or queued since the last request for slots.
    peak: u32,
    requests: u64,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    id: GrantId,
    slots: u32,
    valid_until: Duration,
}

impl SlotClient {
    /// Creates a client that holds no slots.
    pub fn new(me: DaemonId, vm: VmId) -> Self {
        Self { me, vm, grant: None, peak: 0, requests: 0 }
    }

    /// The number of slots that may be used for new requests.
    pub fn usable(&self, now: Duration) -> u32 {
        self.grant.filter(|held| now < held.valid_until).map_or(0, |held| held.slots)
    }

    /// Records the number of requests running or queued for this endpoint.
    pub fn demand(&mut self, slots: u32) {
        self.peak = self.peak.max(slots);
    }

    /// Returns the request to send now; `in_use` counts requests that may still be at the endpoint.
    pub fn request(&mut self, in_use: u32, now: Duration) -> ShareRequest {
        let held = self.grant.filter(|held| now < held.valid_until);
        let wants = self.peak.max(in_use) + HEADROOM;
        self.peak = in_use;
        self.requests += 1;
        ShareRequest {
            from: self.me.clone(),
            vm: self.vm.clone(),
            number: self.requests,
            seen: held.map(|held| held.id),
            holds: held.map_or(0, |held| held.slots),
            in_use,
            wants,
        }
    }

    /// Applies a grant whose request was sent at `sent`. A grant older than the current one is
    /// ignored: its allocator may have lost the lease, or already counts with a later grant.
    pub fn granted(&mut self, grant: &ShareGrant, sent: Duration) {
        if self.grant.is_some_and(|held| grant.id <= held.id) {
            return;
        }
        let valid_until = sent + grant.ttl.mul_f64(1.0 - DRIFT_MARGIN);
        self.grant = Some(Held { id: grant.id, slots: grant.slots, valid_until });
    }
}
