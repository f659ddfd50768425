//! Ownerships of shards that have ended, as their owners tell.
//!
//! An owner that has lost a shard tells in its hellos how long the leases last that it has extended.
//! The end of an ownership stays true, so that a hello of any age shows it, and what it says of the
//! leases only becomes longer on the way. It is valid for the owner that has replaced this ownership:
//! any later one may have extended leases again.

use super::Control;
use crate::cluster::{self, EndedOwnership};
use crate::ids::DaemonId;
use crate::note::{Millis, Note};
use crate::shard::settings::MAX_STALE_OWNER_EXTENSION;
use crate::shard::{Event, PreviousOwnerEnd, Shard, ToldLeases};
use crate::vm::Fence;
use actix::prelude::*;
use indexmap::IndexMap;
use std::time::Duration;

/// How much sooner the leases end by what replaces an earlier report of the same ownership.
const MIN_IMPROVEMENT: Duration = Duration::from_millis(100);

/// An ownership that has ended, and when that was told.
#[derive(Clone, Debug)]
struct KnownEnd {
    owner: DaemonId,
    at: Duration,
    ended: EndedOwnership,
}

impl KnownEnd {
    fn leases_end(&self) -> Duration {
        self.at + self.ended.leases.left
    }

    /// Whether this replaces what is known of the same shard. Each hello repeats it, and the rates of
    /// the clocks differ.
    fn replaces(&self, known: &Self) -> bool {
        let newer = self.ended.fence > known.ended.fence;
        let sooner = self.leases_end() + MIN_IMPROVEMENT <= known.leases_end();
        newer || self.ended.fence == known.ended.fence && sooner
    }
}

/// The newest ownership of each shard that is known to have ended.
#[derive(Debug, Default)]
pub(super) struct EndedOwnerships {
    known: IndexMap<String, KnownEnd>,
}

impl EndedOwnerships {
    /// Records an ownership that has ended, told at `at`. Returns whether this tells anything new.
    pub(super) fn record(&mut self, owner: DaemonId, at: Duration, ended: EndedOwnership) -> bool {
        let end = KnownEnd { owner, at, ended };
        let is_new = self.known.get(&end.ended.name).is_none_or(|known| end.replaces(known));
        if is_new {
            self.known.insert(end.ended.name.clone(), end);
        }
        is_new
    }

    /// Ownerships of the daemon `me` that have ended within `period`, as of `now`.
    pub(super) fn to_tell(
        &self,
        me: &DaemonId,
        now: Duration,
        period: Duration,
    ) -> Vec<EndedOwnership> {
        let passed = |end: &KnownEnd| now.saturating_sub(end.at);
        let own = self.known.values().filter(|end| end.owner == *me && passed(end) < period);
        own.map(|end| end.ended.aged(passed(end))).collect()
    }

    fn get(&self, shard: &str, fence: Fence) -> Option<&KnownEnd> {
        self.known.get(shard).filter(|end| Fence(end.ended.fence) == fence)
    }
}

/// The ownership of a shard that this daemon drops.
pub(super) fn ended_ownership(shard: &Shard, now: Duration) -> EndedOwnership {
    EndedOwnership {
        name: shard.name().to_owned(),
        fence: shard.fence().0,
        earlier_active: shard.earlier_active(now),
        leases: shard.remaining_leases(now),
    }
}

impl Control {
    /// How long a successor may wait for an owner that has lost the shard by now.
    pub(super) fn told_period(&self) -> Duration {
        self.settings.inherited_lease(MAX_STALE_OWNER_EXTENSION)
    }

    /// Records that an ownership of another daemon has ended.
    pub(super) fn record_ended_ownership(
        &mut self,
        owner: &DaemonId,
        ended: EndedOwnership,
        cx: &mut Context<Self>,
    ) {
        let shard = ended.name.clone();
        if self.ended.record(owner.clone(), self.last_wake, ended) {
            self.apply_previous_owner_end(&shard, cx);
        }
    }

    /// Tells a shard owned here when its previous owner has ended, if that owner has told it.
    pub(super) fn apply_previous_owner_end(&mut self, shard: &str, cx: &mut Context<Self>) {
        let Some(hosted) = self.hosted.get(shard) else { return };
        let end = hosted.predecessor.and_then(|fence| self.ended.get(shard, fence));
        let Some(KnownEnd { owner, at, ended }) = end.cloned() else { return };
        self.journal.write(Note::PreviousOwnerEnded {
            shard: shard.to_owned(),
            fence: hosted.shard.fence().0,
            owner,
            proof: "it has told so",
            ended_ms: Millis(self.last_wake.saturating_sub(at)),
        });
        let active_until = at.saturating_add(ended.earlier_active);
        let told = ToldLeases { at, leases: ended.leases };
        let end = PreviousOwnerEnd::new(active_until).with_leases(told);
        self.step_shard(shard, Event::PreviousOwnerEnded(end), cx);
        let shard = shard.to_owned();
        self.step_ownership(cluster::Event::EarlierOwnersEnded { shard, active_until }, cx);
    }
}
