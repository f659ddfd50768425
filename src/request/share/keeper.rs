//! The allocator of the slots of an endpoint.

use super::{GrantId, ShareGrant, ShareRequest};
use crate::ids::{DaemonId, Token, VmId};
use indexmap::IndexMap;
use std::time::Duration;

/// Unconfirmed grants per client that are tracked individually.
const MAX_TRACKED_GRANTS: usize = 4;

/// Settings of a [`SlotAllocator`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AllocatorSettings {
    /// Number of slots of the endpoint.
    pub slots: u32,
    /// Validity of a grant. It must be longer than it takes another daemon to acquire the control
    /// lease, so that clients still hold slots for a new allocator to confirm.
    pub ttl: Duration,
    /// How long a request may still run at the endpoint after the grant of its daemon expired. The
    /// longest deadline of the service's classes is safe; a shorter time frees slots sooner after a
    /// daemon fails, and relies on the endpoint to refuse the excess requests.
    pub max_run_time: Duration,
}

/// Allocates the slots of an endpoint while the control lease of its VM is held.
#[derive(Clone, Debug)]
pub struct SlotAllocator {
    vm: VmId,
    token: Token,
    settings: AllocatorSettings,
    /// Until then, grants of the previous allocator may still be valid.
    prior_grants_until: Duration,
    last_number: u64,
    clients: IndexMap<DaemonId, Client>,
}

/// The grants that a client may believe it has.
#[derive(Clone, Debug, Default)]
struct Client {
    /// Grants that the client may act on: the latest, and earlier ones until it confirms that.
    grants: Vec<IssuedGrant>,
    last_request: u64,
    /// Requests that the client had at the endpoint when it last requested slots.
    in_use: u32,
    wants: u32,
    /// When its last grant must have expired and every request sent under it must have ended.
    ends_at: Duration,
}

#[derive(Clone, Copy, Debug)]
struct IssuedGrant {
    number: u64,
    slots: u32,
}

impl SlotAllocator {
    /// Creates the allocator for control lease `token`, acquired at `now`.
    pub fn new(vm: VmId, token: Token, settings: AllocatorSettings, now: Duration) -> Self {
        let prior_grants_until = now + settings.ttl + settings.max_run_time;
        Self { vm, token, settings, prior_grants_until, last_number: 0, clients: IndexMap::new() }
    }

    /// Marks this as the first allocator of the endpoint, so that no earlier grants exist.
    pub fn without_prior_grants(mut self) -> Self {
        self.prior_grants_until = Duration::ZERO;
        self
    }

    /// Replies to a request. The caller must hold the control lease at `now`.
    pub fn allocate(&mut self, request: &ShareRequest, now: Duration) -> ShareGrant {
        self.remove_ended(now);
        self.update_client(request);
        let slots = self.slots_for(request, now);
        self.last_number += 1;
        let issued = IssuedGrant { number: self.last_number, slots };
        let ends_at = now + self.settings.ttl + self.settings.max_run_time;
        if let Some(client) = self.clients.get_mut(&request.from) {
            client.add_grant(issued);
            client.ends_at = ends_at;
        }
        ShareGrant {
            vm: self.vm.clone(),
            id: GrantId { token: self.token, number: issued.number },
            slots,
            ttl: self.settings.ttl,
        }
    }

    /// The highest number of slots that all clients together may believe they have.
    pub fn committed(&self) -> u32 {
        self.clients.values().map(Client::committed).sum()
    }

    fn update_client(&mut self, request: &ShareRequest) {
        let client = self.clients.entry(request.from.clone()).or_default();
        if request.number <= client.last_request {
            return;
        }
        client.last_request = request.number;
        client.wants = request.wants;
        client.in_use = request.in_use;
        match request.seen {
            // The client has this grant, so it no longer acts on earlier ones.
            Some(seen) if seen.token == self.token => {
                client.grants.retain(|issued| issued.number >= seen.number);
            }
            // The client still acts on a grant of a previous allocator.
            Some(seen) if seen.token < self.token => {
                if client.grants.iter().all(|issued| issued.slots < request.holds) {
                    client.grants.insert(0, IssuedGrant { number: 0, slots: request.holds });
                }
            }
            Some(_) | None => {}
        }
    }

    /// The slots to grant: the fair share of the client, limited to slots that no other may hold.
    fn slots_for(&self, request: &ShareRequest, now: Duration) -> u32 {
        let own = self.clients.get(&request.from).map_or(0, Client::committed);
        let others = self.committed() - own;
        let free = self.settings.slots.saturating_sub(others);
        let most = if now < self.prior_grants_until { request.holds.min(free) } else { free };
        self.fair_share(&request.from).min(most)
    }

    /// Distributes the slots one by one to the client that wants more and has fewest; ties are
    /// resolved by name.
    fn fair_share(&self, of: &DaemonId) -> u32 {
        let mut shares: Vec<(&DaemonId, u32, u32)> =
            self.clients.iter().map(|(id, client)| (id, client.wants, 0)).collect();
        shares.sort_by_key(|(id, ..)| *id);
        for _ in 0..self.settings.slots {
            let next = shares.iter_mut().filter(|(_, wants, share)| share < wants);
            let Some((_, _, share)) = next.min_by_key(|(_, _, share)| *share) else { break };
            *share += 1;
        }
        shares.iter().find(|(id, ..)| *id == of).map_or(0, |(_, _, share)| *share)
    }

    fn remove_ended(&mut self, now: Duration) {
        self.clients.retain(|_, client| now < client.ends_at);
    }
}

impl Client {
    /// Adds a grant. While replies are lost, the client confirms no newer grant; the oldest grants
    /// are then merged, with the highest number of slots among them.
    fn add_grant(&mut self, issued: IssuedGrant) {
        if self.grants.len() == MAX_TRACKED_GRANTS {
            let oldest = self.grants.remove(0);
            let next = &mut self.grants[0];
            next.slots = next.slots.max(oldest.slots);
        }
        self.grants.push(issued);
    }

    /// The highest number of slots that the client may believe it has, or uses already.
    fn committed(&self) -> u32 {
        let issued = self.grants.iter().map(|issued| issued.slots).max().unwrap_or(0);
        issued.max(self.in_use)
    }
}
