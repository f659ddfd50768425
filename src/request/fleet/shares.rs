//! The share of each endpoint's slots that this daemon may use.

use super::Fleet;
use crate::ids::{DaemonId, ServiceName};
use crate::request::endpoint::Endpoint;
use crate::request::share::{ShareGrant, ShareRequest, SlotClient, even_split};
use std::rc::Rc;
use std::time::Duration;

/// How the daemon's share of an endpoint's slots is determined.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Shares {
    /// An even split among the known daemons of the domain. While daemons disagree on who is in the
    /// domain, their shares may sum to more than the slots of the endpoint.
    #[default]
    Even,
    /// Granted by the holder of the VM's control lease.
    Granted,
}

impl Fleet {
    /// Changes how the daemon's share is determined.
    pub fn set_shares(self: &Rc<Self>, shares: Shares) {
        self.shares.set(shares);
        self.assign_all_slots();
    }

    /// Replaces the list of other daemons in this domain.
    pub fn set_domain_daemons(self: &Rc<Self>, others: Vec<DaemonId>) {
        let mut daemons = others;
        daemons.push(self.settings.me.clone());
        daemons.sort();
        daemons.dedup();
        *self.domain_daemons.borrow_mut() = daemons;
        self.clear_even_shares();
        self.assign_all_slots();
    }

    /// The slot requests to send for the endpoints of this domain.
    pub fn share_requests(&self) -> Vec<ShareRequest> {
        let now = self.now();
        let endpoints = self.endpoints.borrow();
        let mut slot_clients = self.slot_clients.borrow_mut();
        let home = endpoints.values().filter(|endpoint| self.is_home(endpoint));
        let requests = home.map(|endpoint| {
            let waiting = self.queued_for(&endpoint.service);
            let client = slot_clients
                .entry(endpoint.vm.clone())
                .or_insert_with(|| SlotClient::new(self.settings.me.clone(), endpoint.vm.clone()));
            let in_flight = endpoint.in_flight();
            client.demand(in_flight + waiting);
            client.request(in_flight, now)
        });
        requests.collect()
    }

    /// Applies a grant whose request was sent at `sent`.
    pub fn share_granted(self: &Rc<Self>, grant: &ShareGrant, sent: Duration) {
        if let Some(client) = self.slot_clients.borrow_mut().get_mut(&grant.vm) {
            client.granted(grant, sent);
        }
        self.assign_all_slots();
    }

    fn queued_for(&self, service: &ServiceName) -> u32 {
        let queues = self.queues.borrow();
        let waiting = queues.get(service).map_or(0, |queue| queue.waiting().map(|(_, n)| n).sum());
        u32::try_from(waiting).unwrap_or(u32::MAX)
    }

    /// The number of an endpoint's slots that this daemon may use.
    pub(super) fn share_of(&self, endpoint: &Endpoint, now: Duration) -> u32 {
        match self.shares.get() {
            Shares::Granted => {
                self.slot_clients.borrow().get(&endpoint.vm).map_or(0, |client| client.usable(now))
            }
            Shares::Even => match endpoint.even_share.get() {
                Some(share) => share,
                None => self.compute_even_share(endpoint),
            },
        }
    }

    /// Computes and caches an even share: hashing the name of every daemon for each endpoint on
    /// each request would cost more than the rest of the endpoint selection.
    fn compute_even_share(&self, endpoint: &Endpoint) -> u32 {
        let cfg = self.cfg.borrow();
        let service = cfg.as_ref().and_then(|cfg| cfg.services.get(&endpoint.service));
        let slots = service.map_or(0, |service| service.slots);
        let daemons = self.domain_daemons.borrow();
        let share = even_split(&endpoint.vm, slots, &self.settings.me, &daemons);
        endpoint.even_share.set(Some(share));
        share
    }

    /// Clears the cached even shares.
    pub(super) fn clear_even_shares(&self) {
        self.endpoints.borrow().values().for_each(|endpoint| endpoint.even_share.set(None));
    }
}
