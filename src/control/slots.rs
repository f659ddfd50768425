//! Giving the slots of endpoints on the VMs that this daemon holds.
//!
//! The holder of a VM's control lease gives the slots of the endpoint there. So whoever is the one
//! to place tasks on a VM is also the one to share its endpoint out, and no further agreement is
//! needed.

use crate::core::VmSummary;
use crate::ids::{ServiceName, Token, VmId};
use crate::model::Config;
use crate::request::share::{
    AllocatorSettings, PriorGrants, ShareGrant, ShareRequest, SlotAllocators,
};
use crate::worker::Earlier;
use indexmap::IndexMap;
use std::sync::Arc;
use std::time::Duration;

/// The slots that this daemon gives.
#[derive(Debug, Default)]
pub struct Slots {
    givers: SlotAllocators,
    config: Arc<Config>,
    /// Validity of a grant.
    ttl: Duration,
    services: IndexMap<VmId, ServiceName>,
    /// Grants of control leases that were the first since the VM's boot.
    first: IndexMap<VmId, Token>,
}

impl Slots {
    /// Gives nothing yet; the control leases are granted for `lease_ttl`.
    ///
    /// A grant outlives the takeover of a control lease. Were it shorter, the endpoints of a VM
    /// whose holder died would have no slots until the next holder has the lease.
    pub fn new(lease_ttl: Duration) -> Self {
        Self { ttl: lease_ttl * 2, ..Self::default() }
    }

    /// Puts a configuration in force.
    pub fn configure(&mut self, config: Arc<Config>) {
        self.config = config;
    }

    /// Takes over which service each VM has an endpoint of.
    pub fn listed(&mut self, services: IndexMap<VmId, ServiceName>) {
        self.services = services;
    }

    /// Notes a grant of a control lease.
    pub fn granted(&mut self, vm: &VmId, token: Token, earlier: Earlier) {
        if earlier == Earlier::None {
            self.first.insert(vm.clone(), token);
        }
    }

    /// Answers the asks for endpoints on held VMs.
    pub fn ask(
        &mut self,
        held: &[VmSummary],
        asks: &[ShareRequest],
        now: Duration,
    ) -> Vec<ShareGrant> {
        asks.iter().filter_map(|ask| self.ask_one(held, ask, now)).collect()
    }

    fn ask_one(
        &mut self,
        held: &[VmSummary],
        ask: &ShareRequest,
        now: Duration,
    ) -> Option<ShareGrant> {
        let Some(vm) = held.iter().find(|vm| vm.vm == ask.vm) else {
            self.givers.lose(&ask.vm);
            return None;
        };
        let settings = self.settings(&ask.vm)?;
        let first = self.first.get(&ask.vm) == Some(&vm.token);
        let before = if first { PriorGrants::None } else { PriorGrants::Unknown };
        self.givers.hold(&ask.vm, vm.token, now + vm.valid_for, settings, before, now);
        self.givers.allocate(ask, now)
    }

    fn settings(&self, vm: &VmId) -> Option<AllocatorSettings> {
        let service = self.services.get(vm)?;
        let slots = self.config.services.get(service)?.slots;
        let classes = self.config.requests.values().filter(|class| class.service == *service);
        let max_run_time = classes.map(|class| class.deadline).max().unwrap_or_default();
        Some(AllocatorSettings { slots, ttl: self.ttl, max_run_time })
    }
}
