//! The endpoints that this daemon gives the slots of.

use super::{Keeper, KeeperSettings, ShareAsk, ShareGrant};
use crate::ids::{Token, VmId};
use indexmap::IndexMap;
use std::time::Duration;

/// What is known of the grants of a giver before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Before {
    /// There was none since the endpoint's VM booted.
    Nothing,
    /// Grants may still be in force.
    Unknown,
}

/// A giver for each VM whose control lease this daemon holds.
#[derive(Clone, Debug, Default)]
pub struct Givers {
    held: IndexMap<VmId, Held>,
}

#[derive(Clone, Debug)]
struct Held {
    token: Token,
    /// End of the control lease, as this daemon may rely on it.
    valid_until: Duration,
    keeper: Keeper,
}

impl Givers {
    /// No endpoint yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// The control lease of an endpoint's VM was acquired or renewed, up to `valid_until`.
    pub fn hold(
        &mut self,
        vm: &VmId,
        token: Token,
        valid_until: Duration,
        settings: KeeperSettings,
        before: Before,
        now: Duration,
    ) {
        if let Some(held) = self.held.get_mut(vm)
            && held.token == token
        {
            held.valid_until = valid_until;
            return;
        }
        let mut keeper = Keeper::new(vm.clone(), token, settings, now);
        if before == Before::Nothing {
            keeper = keeper.with_nothing_before();
        }
        self.held.insert(vm.clone(), Held { token, valid_until, keeper });
    }

    /// The control lease was given back or lost.
    pub fn lose(&mut self, vm: &VmId) {
        self.held.swap_remove(vm);
    }

    /// Answers an ask, unless this daemon isn't the giver. The lease is checked here, as the last
    /// step: a giver that was paused past its lease would otherwise give what another gives too.
    pub fn ask(&mut self, ask: &ShareAsk, now: Duration) -> Option<ShareGrant> {
        let held = self.held.get_mut(&ask.vm)?;
        (now < held.valid_until).then(|| held.keeper.ask(ask, now))
    }
}
