//! Ownerships of shards that are known to have ended.
//!
//! A daemon that gives a shard up says so in its hellos until it knows of a newer owner. This also
//! covers a claim that took effect though it was taken for failed, and an ownership so short that no
//! hello listed the shard. The end of an ownership stays true, so that a hello of any age shows it.
//!
//! It shows nothing about the owner before, which may still extend leases if it was replaced without
//! a proof that it had ended. The time for which it may is passed on, by owners as well, since they
//! may end without releasing the shard. The shard's head tells it too (see [`crate::cluster::head`]),
//! which a claim reads. If neither tells it, the owner before counts as active for as long as it can
//! be.

use super::orphans::{Cause, unowned};
use super::{ClaimBasis, Ownership, ReplacedOwner, ShardView};
use crate::cluster::member::{Hello, ReleasedShard};
use crate::ids::DaemonId;
use crate::note::{Note, StaticText};
use crate::shard::PreviousOwner;
use crate::shard::settings::MAX_STALE_OWNER_EXTENSION;
use crate::vm::Fence;
use std::time::Duration;

impl ClaimBasis {
    /// Until when an owner before the one that claimed on this basis may still extend leases, if
    /// the claim has taken effect by `now`.
    pub(super) fn earlier_active_until(self, now: Duration) -> Duration {
        match self {
            Self::MaybeActive => now + MAX_STALE_OWNER_EXTENSION,
            Self::EndedBy(until) => until,
        }
    }

    /// The same basis once it is known that no earlier owner extends leases after `until`.
    pub(super) fn ended_by(self, until: Duration) -> Self {
        match self {
            Self::MaybeActive => Self::EndedBy(until),
            Self::EndedBy(known) => Self::EndedBy(known.min(until)),
        }
    }
}

impl ShardView {
    /// Records that the ownership with this fencing token has ended, if it is the newest one.
    fn set_released(&mut self, fence: u64, earlier_active_until: Duration) {
        if self.fence == fence {
            let known = self.released.unwrap_or(Duration::MAX);
            self.released = Some(known.min(earlier_active_until));
        }
    }

    /// Why the shard has no owner, if its last one is known to have released it.
    pub(super) fn released_cause(&self, reason: StaticText, now: Duration) -> Option<Cause> {
        let released = self.released?;
        Some(Cause::ended(reason, released, released, now))
    }

    /// Why the shard has no owner, if its last one is shown to have ended by `ended_by`.
    pub(super) fn ended_cause(
        &self,
        reason: StaticText,
        ended_by: Duration,
        now: Duration,
    ) -> Cause {
        Cause::ended(reason, ended_by, self.earlier_active_until(), now)
    }

    /// Why the shard has no owner, if another process of its daemon runs that has started by
    /// `started_by`. No other owner can become known meanwhile that the claim has to wait for.
    pub(super) fn restarted_cause(&self, started_by: Duration, now: Duration) -> Cause {
        let ended = self.ended_cause("its owner was restarted", started_by, now);
        Cause { grace: Duration::ZERO, ..ended }
    }

    /// Until when an owner before the last one may still extend leases.
    pub(super) fn earlier_active_until(&self) -> Duration {
        self.earlier_active_until.unwrap_or(self.since + MAX_STALE_OWNER_EXTENSION)
    }
}

impl Cause {
    /// Cause for a shard whose owner has ended, though an owner before it may be active.
    fn ended(
        reason: StaticText,
        ended_by: Duration,
        earlier_active_until: Duration,
        now: Duration,
    ) -> Self {
        let previous = if now < earlier_active_until {
            PreviousOwner::MaybeActive
        } else {
            PreviousOwner::Ended
        };
        let basis = ClaimBasis::EndedBy(earlier_active_until.max(ended_by));
        Self { previous, basis, ended_by: Some(ended_by), ..unowned(reason) }
    }
}

impl Ownership {
    /// Shards that this daemon was the last known owner of, and owns no longer.
    pub fn released_shards(&self, now: Duration) -> Vec<ReleasedShard> {
        let released = self.shards.iter().filter(|(name, view)| {
            view.owner.as_ref() == Some(&self.me.id) && !self.held.contains_key(*name)
        });
        let to_report = |(name, view): (&String, &ShardView)| {
            let earlier_active = view.released?.saturating_sub(now);
            Some(ReleasedShard { name: name.clone(), fence: view.fence, earlier_active })
        };
        released.filter_map(to_report).collect()
    }

    /// How long an owner before this daemon may still extend the leases of a shard owned here.
    pub fn earlier_active(&self, shard: &str, now: Duration) -> Duration {
        let basis = self.shards.get(shard).map_or(ClaimBasis::MaybeActive, |view| view.basis);
        basis.earlier_active_until(now).saturating_sub(now)
    }

    /// Latest time at which an owner may extend leases whose shard this daemon has claimed; `None` if
    /// the claim didn't rely on a proof that the previous one had ended. The claim has replaced a head
    /// with the token `predecessor`, by which owners before that one may extend leases for `head_told`
    /// from when it was written: before its owner ended.
    pub fn extended_until(
        &self,
        shard: &str,
        predecessor: Option<Fence>,
        head_told: Option<Duration>,
    ) -> Option<Duration> {
        let ReplacedOwner { fence, ended_by, extended_until } = self.shards.get(shard)?.replaced?;
        let told = head_told.filter(|_| predecessor == Some(Fence(fence)));
        let by_head = told.map(|left| ended_by.saturating_add(left));
        Some(by_head.map_or(extended_until, |until| until.min(extended_until)))
    }

    /// Latest time at which the owner with the token `predecessor` has ended, whose shard this daemon
    /// has claimed; `None` if the claim didn't rely on a proof of that.
    pub fn replaced_owner_ended_by(
        &self,
        shard: &str,
        predecessor: Option<Fence>,
    ) -> Option<Duration> {
        let replaced = self.shards.get(shard)?.replaced?;
        (predecessor == Some(Fence(replaced.fence))).then_some(replaced.ended_by)
    }

    /// Records what a claim has found of the owners before this daemon.
    pub(super) fn record_earlier_owners(
        &mut self,
        shard: &str,
        earlier_active: Duration,
        before_previous: Option<Duration>,
    ) {
        let now = self.now;
        if let Some(view) = self.shards.get_mut(shard) {
            view.basis = view.basis.ended_by(now.saturating_add(earlier_active));
        }
        if let (Some(predecessor), Some(left)) = (self.predecessors.get_mut(shard), before_previous)
        {
            predecessor.shorten_earlier_active(now.saturating_add(left));
        }
    }

    /// Records that an ownership of another daemon has ended.
    pub(super) fn record_released(&mut self, owner: &DaemonId, released: &ReleasedShard) {
        let until = self.now.saturating_add(released.earlier_active);
        self.record_owner(&released.name, owner.clone(), released.fence);
        if let Some(view) = self.shards.get_mut(&released.name) {
            view.set_released(released.fence, until);
        }
    }

    pub(super) fn record_released_reports(&mut self, hello: &Hello) {
        hello.released.iter().for_each(|released| self.record_released(&hello.from.id, released));
    }

    /// Records that this daemon's own ownership has ended, and tells the others soon.
    pub(super) fn release_own(&mut self, shard: &str, fence: u64) {
        let Some(view) = self.shards.get_mut(shard) else { return };
        let until = view.basis.earlier_active_until(self.now).max(self.now);
        view.set_released(fence, until);
        self.schedule_hello_to_all();
    }

    /// Releases shards that the store says are owned by this daemon although it holds nothing: a
    /// claim took effect and was taken for failed.
    pub(super) fn release_unheld(&mut self) {
        let is_unheld = |(name, view): &(&String, &ShardView)| {
            view.owner.as_ref() == Some(&self.me.id)
                && view.released.is_none()
                && !self.held.contains_key(*name)
        };
        let unheld = self.shards.iter().filter(is_unheld);
        let unheld: Vec<(String, u64)> = unheld.map(|(n, view)| (n.clone(), view.fence)).collect();
        for (shard, fence) in unheld {
            self.release_own(&shard, fence);
            let reason = "its claim had been taken for failed";
            self.actions.push(super::Action::Note(Note::ShardLost { shard, fence, reason }));
        }
    }
}
