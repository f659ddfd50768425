//! Giving shards to daemons that are better placed.

use super::members::Known;
use super::{Action, HandOver, Holding, Ownership};
use crate::cluster::member::{Member, MemberStage, StoreReach};
use crate::ids::DomainId;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// How long a daemon must have been there before a shard is brought home to it.
pub(super) const HOME_DELAY: Duration = Duration::from_secs(3);

/// How long the store may be away from an owner before it gives its shards to a daemon that
/// reaches the store.
const STORE_LOST: Duration = Duration::from_millis(700);

/// How long the store must have answered another daemon before a shard is given to it for that: as a
/// cut heals, the store comes back to all within a moment, and nothing has to change hands.
const STORE_KEPT: Duration = Duration::from_millis(600);

/// How little of this daemon's load another one must have, with the shard, to be given it: three
/// fifths. A hand-over stops the shard for 0.1 to 0.2 s, which evening out small gaps isn't worth.
const LOAD_GAP: (u64, u64) = (3, 5);

/// Between two shards that are given away to share out the load: the first must have been heard of
/// before the second is decided on.
const SHARE_OUT_EVERY: Duration = Duration::from_secs(2);

impl Ownership {
    /// Gives shards to daemons that are better placed.
    pub(super) fn bring_home(&mut self) {
        let owned = self.owned();
        let lost = self.store == StoreReach::Away
            && self.now.saturating_sub(self.store_since) >= STORE_LOST;
        for shard in &owned {
            let Some(domain) = self.shards.get(shard).map(|view| view.domain.clone()) else {
                continue;
            };
            let away = domain != self.me.domain;
            if lost || away {
                let how = if lost { HandOver::AtOnce } else { HandOver::Settled };
                self.give_away(shard, &domain, how);
            }
        }
        if !lost {
            self.share_out(&owned);
        }
    }

    /// Shards that are owned, and neither claimed yet nor being given away.
    fn owned(&self) -> Vec<String> {
        let owned = self.held.iter().filter(|(_, holding)| **holding == Holding::Owned);
        owned.map(|(name, _)| name.clone()).collect()
    }

    /// Gives a shard to a daemon of its failure domain that has far more processor to spare.
    fn share_out(&mut self, owned: &[String]) {
        let now = self.now;
        if now < self.next_share_out {
            return;
        }
        let mine = load(&self.me, self.held.len());
        let home = self.me.domain.clone();
        let fit = |known: &&Known| {
            self.may_take(known)
                && known.member.domain == home
                && now.saturating_sub(known.since) >= HOME_DELAY
                && load(&known.member, known.shards.len() + 1) * LOAD_GAP.1 <= mine * LOAD_GAP.0
        };
        let is_home = |shard: &&String| {
            self.shards.get(*shard).is_some_and(|view| view.domain == home)
                && self.held.get(*shard) == Some(&Holding::Owned)
        };
        let Some(shard) = owned.iter().find(is_home).cloned() else { return };
        if let Some(to) = self.best(&shard, &home, fit) {
            self.next_share_out = now + SHARE_OUT_EVERY;
            self.hand_over(shard, to, HandOver::Settled);
        }
    }

    pub(super) fn give_all_away(&mut self) {
        for shard in self.owned() {
            let domain = self.shards.get(&shard).map(|view| view.domain.clone());
            let Some(domain) = domain else { continue };
            let fit = |known: &&Known| self.may_take(known);
            // Without one the shard stays: given to nobody, it had no owner for as long as several
            // daemons were on their way down and up again.
            let Some(to) = self.best(&shard, &domain, fit) else { continue };
            self.hand_over(shard, to, HandOver::Settled);
        }
    }

    /// Gives up what nobody took: whoever comes finds it without an owner.
    pub(super) fn give_up(&mut self) {
        for shard in self.owned() {
            self.hand_over(shard, self.me.clone(), HandOver::Settled);
        }
    }

    fn give_away(&mut self, shard: &str, domain: &DomainId, how: HandOver) {
        let now = self.now;
        let there_for = match how {
            HandOver::AtOnce => Duration::ZERO,
            HandOver::Settled => HOME_DELAY,
        };
        let fit = |known: &&Known| {
            self.may_take(known)
                && known.member.domain == *domain
                && now.saturating_sub(known.since) >= there_for
                && (how == HandOver::Settled || now.saturating_sub(known.store_since) >= STORE_KEPT)
        };
        if let Some(to) = self.best(shard, domain, fit) {
            self.hand_over(shard.to_owned(), to, how);
        }
    }

    fn hand_over(&mut self, shard: String, to: Member, how: HandOver) {
        self.held.insert(shard.clone(), Holding::GivingAway);
        self.out.push(Action::HandOver { shard, to, how });
    }

    fn may_take(&self, known: &Known) -> bool {
        self.is_there(known)
            && known.member.stage == MemberStage::Serving
            && known.store == StoreReach::Reached
    }

    fn best(
        &self,
        shard: &str,
        domain: &DomainId,
        fit: impl Fn(&&Known) -> bool,
    ) -> Option<Member> {
        self.members
            .values()
            .filter(|known| fit(known))
            .min_by_key(|known| self.rank(shard, domain, &known.member, known.shards.len()))
            .map(|known| known.member.clone())
    }

    /// The lower, the better placed: of the failure domain, with much processor to a shard.
    pub(super) fn rank(
        &self,
        shard: &str,
        domain: &DomainId,
        member: &Member,
        shards: usize,
    ) -> Rank {
        let foreign = member.domain != *domain;
        let hash = xxh3_64(format!("{shard}/{}", member.name).as_bytes());
        Rank { foreign, load: load(member, shards + 1), hash }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    foreign: bool,
    load: u64,
    hash: u64,
}

/// Shards to a daemon's processor, in millionths of a shard to a thousandth of a core.
pub(super) fn load(member: &Member, shards: usize) -> u64 {
    shards as u64 * 1_000_000 / u64::from(member.power.max(1))
}
