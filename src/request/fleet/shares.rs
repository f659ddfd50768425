//! This daemon's parts of the endpoints' slots.

use super::Fleet;
use crate::ids::{DaemonId, ServiceName};
use crate::request::endpoint::Endpoint;
use crate::request::share::{ShareAsk, ShareGrant, Taker, even_split};
use std::rc::Rc;
use std::time::Duration;

/// How this daemon's part of an endpoint's slots is found.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Shares {
    /// An even split among the daemons of the domain that this one knows of. While two daemons
    /// know of different ones their parts may sum to more than there is.
    #[default]
    Even,
    /// As granted by the holder of each VM's control lease.
    Granted,
}

impl Fleet {
    /// Changes how this daemon's slots are found.
    pub fn set_shares(self: &Rc<Self>, shares: Shares) {
        self.shares.set(shares);
        self.pump_all();
    }

    /// Takes the other daemons of this domain.
    pub fn set_home_daemons(self: &Rc<Self>, others: Vec<DaemonId>) {
        let mut daemons = others;
        daemons.push(self.settings.me.clone());
        daemons.sort();
        daemons.dedup();
        *self.home_daemons.borrow_mut() = daemons;
        self.pump_all();
    }

    /// The asks to send to the givers of this domain's endpoints.
    pub fn share_asks(&self) -> Vec<ShareAsk> {
        let now = self.now();
        let endpoints = self.endpoints.borrow();
        let mut takers = self.takers.borrow_mut();
        let home = endpoints.values().filter(|endpoint| self.is_home(endpoint));
        let asks = home.map(|endpoint| {
            let waiting = self.waiting_at(&endpoint.service);
            let taker = takers
                .entry(endpoint.vm.clone())
                .or_insert_with(|| Taker::new(self.settings.me.clone(), endpoint.vm.clone()));
            let in_flight = endpoint.in_flight();
            taker.demand(in_flight + waiting);
            taker.ask(in_flight, now)
        });
        asks.collect()
    }

    /// Takes a giver's grant, whose ask was sent at `sent`.
    pub fn share_granted(self: &Rc<Self>, grant: &ShareGrant, sent: Duration) {
        if let Some(taker) = self.takers.borrow_mut().get_mut(&grant.vm) {
            taker.granted(grant, sent);
        }
        self.pump_all();
    }

    fn waiting_at(&self, service: &ServiceName) -> u32 {
        let queues = self.queues.borrow();
        let waiting = queues.get(service).map_or(0, |queue| queue.waiting().map(|(_, n)| n).sum());
        u32::try_from(waiting).unwrap_or(u32::MAX)
    }

    /// Slots of an endpoint that are this daemon's.
    pub(super) fn share_of(&self, endpoint: &Endpoint, now: Duration) -> u32 {
        match self.shares.get() {
            Shares::Granted => {
                self.takers.borrow().get(&endpoint.vm).map_or(0, |taker| taker.usable(now))
            }
            Shares::Even => {
                let cfg = self.cfg.borrow();
                let service = cfg.as_ref().and_then(|cfg| cfg.services.get(&endpoint.service));
                let slots = service.map_or(0, |service| service.slots);
                even_split(&endpoint.vm, slots, &self.settings.me, &self.home_daemons.borrow())
            }
        }
    }
}
