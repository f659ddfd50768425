//! Hand-over of shards to better placed daemons.

use super::members::MemberState;
use super::{Action, HandOver, HoldState, Ownership};
use crate::cluster::member::{Member, MemberStage, StoreReachability};
use crate::ids::DomainId;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// How long a daemon must have been known before shards are moved to it.
pub(super) const STABLE_AFTER: Duration = Duration::from_secs(3);

/// How long the store must have been unreachable before an owner hands its shards over to a daemon
/// that can reach it.
const STORE_DOWN_DELAY: Duration = Duration::from_millis(700);

/// How long another daemon must have reached the store before shards are handed over to it for that
/// reason. When a partition heals, all daemons reach the store again almost at the same time, and
/// no shard needs to move.
const STORE_UP_DELAY: Duration = Duration::from_millis(600);

/// Largest load of the receiver, including the shard, as a fraction of this daemon's load: three
/// fifths. A hand-over stops the shard for 0.1 to 0.2 s, which isn't worth it for small
/// differences.
const MAX_LOAD_RATIO: (u64, u64) = (3, 5);

/// Interval between hand-overs that balance load, so that the effect of one is known before the
/// next is decided.
const REBALANCE_INTERVAL: Duration = Duration::from_secs(2);

impl Ownership {
    /// Hands shards over to better placed daemons.
    pub(super) fn rebalance(&mut self) {
        let owned = self.owned();
        let store_lost = self.store == StoreReachability::Away
            && self.now.saturating_sub(self.store_since) >= STORE_DOWN_DELAY;
        for shard in &owned {
            let Some(domain) = self.shards.get(shard).map(|view| view.domain.clone()) else {
                continue;
            };
            let is_remote = domain != self.me.domain;
            if store_lost || is_remote {
                let how = if store_lost { HandOver::Immediate } else { HandOver::AfterCommit };
                self.hand_over_to_best(shard, &domain, how);
            }
        }
        if !store_lost {
            self.balance_load(&owned);
        }
    }

    /// Owned shards, excluding those being claimed or handed over.
    fn owned(&self) -> Vec<String> {
        let owned = self.held.iter().filter(|(_, holding)| **holding == HoldState::Owned);
        owned.map(|(name, _)| name.clone()).collect()
    }

    /// Hands a shard over to a daemon in the same failure domain that has far more CPU per shard.
    fn balance_load(&mut self, owned: &[String]) {
        let now = self.now;
        if now < self.next_rebalance {
            return;
        }
        let mine = load(&self.me, self.held.len());
        let home = self.me.domain.clone();
        let eligible = |known: &&MemberState| {
            self.can_take(known)
                && known.member.domain == home
                && now.saturating_sub(known.joined) >= STABLE_AFTER
                && load(&known.member, known.shards.len() + 1) * MAX_LOAD_RATIO.1
                    <= mine * MAX_LOAD_RATIO.0
        };
        let is_home = |shard: &&String| {
            self.shards.get(*shard).is_some_and(|view| view.domain == home)
                && self.held.get(*shard) == Some(&HoldState::Owned)
        };
        let Some(shard) = owned.iter().find(is_home).cloned() else { return };
        if let Some(to) = self.best_candidate(&shard, &home, eligible) {
            self.next_rebalance = now + REBALANCE_INTERVAL;
            self.hand_over(shard, to, HandOver::AfterCommit);
        }
    }

    /// Hands all owned shards over to daemons that can take them.
    pub(super) fn hand_over_all(&mut self) {
        for shard in self.owned() {
            let domain = self.shards.get(&shard).map(|view| view.domain.clone());
            let Some(domain) = domain else { continue };
            let eligible = |known: &&MemberState| self.can_take(known);
            // The shard stays here if no daemon can take it. When it was released instead, it had
            // no owner for as long as several daemons were restarting at once.
            let Some(to) = self.best_candidate(&shard, &domain, eligible) else { continue };
            self.hand_over(shard, to, HandOver::AfterCommit);
        }
    }

    /// Releases the remaining shards, so that the next daemon finds them without an owner.
    pub(super) fn release_all(&mut self) {
        for shard in self.owned() {
            self.hand_over(shard, self.me.clone(), HandOver::AfterCommit);
        }
    }

    /// Hands a shard over to the best daemon in its failure domain, if any is eligible.
    fn hand_over_to_best(&mut self, shard: &str, domain: &DomainId, how: HandOver) {
        let now = self.now;
        let min_age = match how {
            HandOver::Immediate => Duration::ZERO,
            HandOver::AfterCommit => STABLE_AFTER,
        };
        let eligible = |known: &&MemberState| {
            self.can_take(known)
                && known.member.domain == *domain
                && now.saturating_sub(known.joined) >= min_age
                && (how == HandOver::AfterCommit
                    || now.saturating_sub(known.store_since) >= STORE_UP_DELAY)
        };
        if let Some(to) = self.best_candidate(shard, domain, eligible) {
            self.hand_over(shard.to_owned(), to, how);
        }
    }

    fn hand_over(&mut self, shard: String, to: Member, how: HandOver) {
        self.held.insert(shard.clone(), HoldState::HandingOver { to: to.id.clone() });
        self.actions.push(Action::HandOver { shard, to, how });
    }

    pub(super) fn can_take(&self, known: &MemberState) -> bool {
        self.is_alive(known)
            && known.member.stage == MemberStage::Serving
            && known.store == StoreReachability::Reached
            && self.now >= known.skipped_until
    }

    pub(super) fn best_candidate(
        &self,
        shard: &str,
        domain: &DomainId,
        eligible: impl Fn(&&MemberState) -> bool,
    ) -> Option<Member> {
        self.members
            .values()
            .filter(|known| eligible(known))
            .min_by_key(|known| self.rank(shard, domain, &known.member, known.shards.len()))
            .map(|known| known.member.clone())
    }

    /// Rank of a daemon as the owner of a shard; lower is better. Daemons in the shard's failure
    /// domain come first, then those with the most CPU per shard.
    pub(super) fn rank(
        &self,
        shard: &str,
        domain: &DomainId,
        member: &Member,
        shards: usize,
    ) -> Rank {
        let is_remote = member.domain != *domain;
        let hash = xxh3_64(format!("{shard}/{}", member.name).as_bytes());
        Rank { is_remote, load: load(member, shards + 1), hash }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    is_remote: bool,
    load: u64,
    hash: u64,
}

/// Number of shards relative to a daemon's CPU, in millionths of a shard per thousandth of a core.
pub(super) fn load(member: &Member, shards: usize) -> u64 {
    shards as u64 * 1_000_000 / u64::from(member.milli_cores.max(1))
}
