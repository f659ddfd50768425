//! The allocators of the endpoints whose control leases this daemon holds.

use super::{AllocatorSettings, ShareGrant, ShareRequest, SlotAllocator};
use crate::ids::{Token, VmId};
use indexmap::IndexMap;
use std::time::Duration;

/// Whether grants of an earlier allocator may still be valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PriorGrants {
    /// There has been no allocator since the endpoint's VM booted.
    None,
    /// Grants may still be valid.
    Unknown,
}

/// An allocator for each VM whose control lease this daemon holds.
#[derive(Clone, Debug, Default)]
pub struct SlotAllocators {
    held: IndexMap<VmId, Held>,
}

#[derive(Clone, Debug)]
struct Held {
    token: Token,
    /// Time up to which this daemon may rely on the control lease.
    valid_until: Duration,
    allocator: SlotAllocator,
}

impl SlotAllocators {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that the control lease of a VM was acquired or renewed, valid until `valid_until`.
    pub fn hold(
        &mut self,
        vm: &VmId,
        token: Token,
        valid_until: Duration,
        settings: AllocatorSettings,
        prior: PriorGrants,
        now: Duration,
    ) {
        if let Some(held) = self.held.get_mut(vm)
            && held.token == token
        {
            held.valid_until = valid_until;
            return;
        }
        let mut allocator = SlotAllocator::new(vm.clone(), token, settings, now);
        if prior == PriorGrants::None {
            allocator = allocator.without_prior_grants();
        }
        self.held.insert(vm.clone(), Held { token, valid_until, allocator });
    }

    /// Records that the control lease was released or lost.
    pub fn lose(&mut self, vm: &VmId) {
        self.held.swap_remove(vm);
    }

    /// Replies to a request, or returns none if this daemon is not the allocator. The lease is
    /// checked here as the last step: a process that was paused until after its lease expired would
    /// otherwise grant slots that the next allocator grants too.
    pub fn allocate(&mut self, request: &ShareRequest, now: Duration) -> Option<ShareGrant> {
        let held = self.held.get_mut(&request.vm)?;
        (now < held.valid_until).then(|| held.allocator.allocate(request, now))
    }
}
