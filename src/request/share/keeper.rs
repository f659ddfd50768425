//! The giver's side.

use super::{GrantId, ShareAsk, ShareGrant};
use crate::ids::{DaemonId, Token, VmId};
use indexmap::IndexMap;
use std::time::Duration;

/// Grants of one asker that are counted one by one.
const GRANTS_KEPT: usize = 4;

/// How long grants last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeeperSettings {
    /// Slots of the endpoint.
    pub slots: u32,
    /// Validity of a grant. Longer than it takes another daemon to get the control lease, so that
    /// askers still hold something for a new giver to confirm.
    pub ttl: Duration,
    /// How long a request may still be at the endpoint after its daemon's grant ran out. The
    /// longest deadline of the service's classes is sure; a shorter time lets slots move sooner
    /// after a daemon vanished, and leaves the rest to the endpoint's own refusals.
    pub longest_run: Duration,
}

/// Gives the slots of one endpoint, for as long as the VM's control lease is held.
#[derive(Clone, Debug)]
pub struct Keeper {
    vm: VmId,
    token: Token,
    settings: KeeperSettings,
    /// Until then, grants of the giver before may be in force.
    inherits_until: Duration,
    last_number: u64,
    askers: IndexMap<DaemonId, Asker>,
}

/// What an asker may believe it has.
#[derive(Clone, Debug, Default)]
struct Asker {
    /// Grants that the asker may act on; all but the last until it is known to have the last.
    grants: Vec<Given>,
    last_ask: u64,
    /// Requests that it had at the endpoint when it last asked.
    in_use: u32,
    wants: u32,
    /// When its last grant, and every request sent under it, has surely ended.
    gone_at: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Given {
    number: u64,
    slots: u32,
}

impl Keeper {
    /// The giver under control lease `token`, granted at `now`.
    pub fn new(vm: VmId, token: Token, settings: KeeperSettings, now: Duration) -> Self {
        let inherits_until = now + settings.ttl + settings.longest_run;
        Self { vm, token, settings, inherits_until, last_number: 0, askers: IndexMap::new() }
    }

    /// The first giver ever, as when the endpoint has just started.
    pub fn with_nothing_before(mut self) -> Self {
        self.inherits_until = Duration::ZERO;
        self
    }

    /// Answers an ask. The caller holds the control lease at `now`.
    pub fn ask(&mut self, ask: &ShareAsk, now: Duration) -> ShareGrant {
        self.forget_gone(now);
        self.note(ask);
        let slots = self.entitled(ask, now);
        self.last_number += 1;
        let given = Given { number: self.last_number, slots };
        let gone_at = now + self.settings.ttl + self.settings.longest_run;
        if let Some(asker) = self.askers.get_mut(&ask.from) {
            asker.give(given);
            asker.gone_at = gone_at;
        }
        ShareGrant {
            vm: self.vm.clone(),
            id: GrantId { token: self.token, number: given.number },
            slots,
            ttl: self.settings.ttl,
        }
    }

    /// The most that all askers together may believe they have.
    pub fn committed(&self) -> u32 {
        self.askers.values().map(Asker::committed).sum()
    }

    fn note(&mut self, ask: &ShareAsk) {
        let asker = self.askers.entry(ask.from.clone()).or_default();
        if ask.number <= asker.last_ask {
            return;
        }
        asker.last_ask = ask.number;
        asker.wants = ask.wants;
        asker.in_use = ask.in_use;
        match ask.seen {
            // It has this grant or a later one, and acts on none before it.
            Some(seen) if seen.token == self.token => {
                asker.grants.retain(|given| given.number >= seen.number);
            }
            // It still acts on a grant of the giver before.
            Some(seen) if seen.token < self.token => {
                if asker.grants.iter().all(|given| given.slots < ask.holds) {
                    asker.grants.insert(0, Given { number: 0, slots: ask.holds });
                }
            }
            Some(_) | None => {}
        }
    }

    /// Slots for the asker: its fair part, as far as nobody else may hold them.
    fn entitled(&self, ask: &ShareAsk, now: Duration) -> u32 {
        let own = self.askers.get(&ask.from).map_or(0, Asker::committed);
        let others = self.committed() - own;
        let free = self.settings.slots.saturating_sub(others);
        let most = if now < self.inherits_until { ask.holds.min(free) } else { free };
        self.fair_part(&ask.from).min(most)
    }

    /// Shares the slots out one by one to whoever wants more and has least; ties go by name.
    fn fair_part(&self, of: &DaemonId) -> u32 {
        let mut asking: Vec<(&DaemonId, u32, u32)> =
            self.askers.iter().map(|(id, asker)| (id, asker.wants, 0)).collect();
        asking.sort_by_key(|(id, ..)| *id);
        for _ in 0..self.settings.slots {
            let next = asking.iter_mut().filter(|(_, wants, has)| has < wants);
            let Some((_, _, has)) = next.min_by_key(|(_, _, has)| *has) else { break };
            *has += 1;
        }
        asking.iter().find(|(id, ..)| *id == of).map_or(0, |(_, _, has)| *has)
    }

    fn forget_gone(&mut self, now: Duration) {
        self.askers.retain(|_, asker| now < asker.gone_at);
    }
}

impl Asker {
    /// Adds a grant. While answers are lost the asker never names a newer one; the oldest are
    /// then counted together, at the most of them.
    fn give(&mut self, given: Given) {
        if self.grants.len() == GRANTS_KEPT {
            let oldest = self.grants.remove(0);
            let next = &mut self.grants[0];
            next.slots = next.slots.max(oldest.slots);
        }
        self.grants.push(given);
    }

    /// The most that it may believe it has, or already uses.
    fn committed(&self) -> u32 {
        let given = self.grants.iter().map(|given| given.slots).max().unwrap_or(0);
        given.max(self.in_use)
    }
}
