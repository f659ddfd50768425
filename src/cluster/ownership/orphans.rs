//! Shards without an owner: how that is found out, and which daemon takes them.

use super::members::Known;
use super::{Action, Holding, Ownership, View};
use crate::cluster::head::Replaced;
use crate::cluster::member::{Member, MemberStage, StoreReach};
use crate::ids::{DaemonId, DomainId};
use crate::note::{Ms, Note, Word};
use crate::shard::PreviousOwner;
use indexmap::IndexMap;
use std::time::Duration;

/// Silence of an owner after which it is probed. Hellos come every 400 ms.
pub const PROBE_OWNER: Duration = Duration::from_millis(700);

/// Silence of an owner after which its shards are taken, though it may live: three probes of
/// 300 ms have failed by then.
pub const SILENT_OWNER: Duration = Duration::from_millis(1600);

/// Added before a daemon of another failure domain takes a shard: a cut lasts 4 to 7 s, and the
/// shard's VMs can't be reached from outside while it lasts.
pub const FOREIGN_DELAY: Duration = Duration::from_secs(6);

/// Between the first and the next candidate's try.
const RANK_DELAY: Duration = Duration::from_millis(250);

/// Time for news of a shard that has just changed hands: for a claim, a reading of the heads, and
/// the new owner's hello. Without it daemons took shards from each other ten times a second.
const NEWS_DELAY: Duration = Duration::from_millis(700);

/// Time that a new owner may take to read its shard before it names it as its own. While the store is
/// slow a call takes 0.4 s, and there are five: without this the shard went round among the daemons for
/// as long.
const READING: Duration = Duration::from_millis(2500);

/// Time at the start in which owners and other daemons are heard of.
const SETTLE: Duration = Duration::from_millis(700);

/// Pause between two reads of the heads while a shard has no owner.
const HEADS_EVERY: Duration = Duration::from_millis(400);

/// Between two probes of a silent owner.
const PROBE_EVERY: Duration = Duration::from_millis(200);

#[derive(Clone, Copy, Debug)]
pub(super) struct Orphan {
    pub(super) since: Duration,
    pub(super) cause: Cause,
}

/// Why a shard has no owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Cause {
    pub(super) previous: PreviousOwner,
    pub(super) reason: Word,
    /// Time since the owner was last heard.
    pub(super) silent: Duration,
    /// Time for news that there is an owner after all.
    pub(super) settle: Duration,
}

impl Ownership {
    /// Finds shards whose owner has ended, is silent, or doesn't own them any more.
    pub(super) fn find_orphans(&mut self) {
        let now = self.now;
        let mut probes = Vec::new();
        for (name, view) in &mut self.shards {
            if self.held.contains_key(name) {
                view.orphan = None;
                continue;
            }
            let lost = match &view.owner {
                None => Some(no_owner("it has no owner")),
                Some(owner) if *owner == self.me.id => Some(no_owner("this daemon gave it up")),
                Some(owner) => lost_owner(owner, name, view, &self.members, now, &mut probes),
            };
            // Silence may turn into proof meanwhile.
            let since = view.orphan.map_or(now, |orphan| orphan.since);
            view.orphan = lost.map(|cause| Orphan { since, cause });
        }
        for name in probes {
            let Some(known) = self.members.get_mut(&name) else { continue };
            if now.saturating_sub(known.probed) >= PROBE_EVERY {
                known.probed = now;
                self.out.push(Action::Probe(known.member.clone()));
            }
        }
    }

    pub(super) fn take_orphans(&mut self) {
        let settled = self.now.saturating_sub(self.started) >= SETTLE;
        let fit = self.me.stage == MemberStage::Serving && self.store == StoreReach::Reached;
        if !settled || !fit {
            return;
        }
        let orphans: Vec<(String, Orphan, DomainId, Option<DaemonId>)> = self
            .shards
            .iter()
            .filter_map(|(name, view)| {
                Some((name.clone(), view.orphan?, view.domain.clone(), view.owner.clone()))
            })
            .collect();
        if !orphans.is_empty() && self.now >= self.next_heads {
            self.next_heads = self.now + HEADS_EVERY;
            self.out.push(Action::ReadHeads);
        }
        for (shard, orphan, domain, owner) in orphans {
            let delay = orphan.cause.settle + self.delay(&shard, &domain);
            if self.now.saturating_sub(orphan.since) >= delay {
                self.claim(&shard, owner.as_ref(), orphan.cause);
            }
        }
    }

    pub(super) fn claim(&mut self, shard: &str, owner: Option<&DaemonId>, cause: Cause) {
        self.held.insert(shard.to_owned(), Holding::Claiming);
        self.out.push(Action::Note(Note::ShardClaiming {
            shard: shard.to_owned(),
            owner: owner.map_or_else(String::new, ToString::to_string),
            reason: cause.reason,
            silent_ms: Ms(cause.silent),
        }));
        let previous = cause.previous;
        let fence = self.fence(shard).0;
        let replaces = Replaced { owner: owner.cloned(), fence };
        self.out.push(Action::Claim { shard: shard.to_owned(), previous, replaces });
    }

    /// How long this daemon leaves an orphan to better placed ones.
    fn delay(&self, shard: &str, domain: &DomainId) -> Duration {
        let mine = self.rank(shard, domain, &self.me, self.held.len());
        let better = self
            .members
            .values()
            .filter(|known| self.is_there(known) && known.member.stage == MemberStage::Serving)
            .filter(|known| known.store == StoreReach::Reached)
            .filter(|known| self.rank(shard, domain, &known.member, known.shards.len()) < mine)
            .count();
        let foreign = if self.me.domain == *domain { Duration::ZERO } else { FOREIGN_DELAY };
        foreign + RANK_DELAY * u32::try_from(better).unwrap_or(u32::MAX)
    }
}

/// Why a shard's owner isn't there, if it isn't.
fn lost_owner(
    owner: &DaemonId,
    shard: &str,
    view: &View,
    members: &IndexMap<String, Known>,
    now: Duration,
    probes: &mut Vec<String>,
) -> Option<Cause> {
    let same_name = members.values().find(|known| same_daemon(&known.member, owner));
    let Some(known) = same_name else {
        let silent = now.saturating_sub(view.since);
        let cause = Cause { silent, settle: Duration::ZERO, ..no_owner("its owner is gone") };
        return (silent >= SILENT_OWNER).then_some(cause);
    };
    // As an owner it has been silent only since it is one: daemons without shards greet seldom, and a
    // claim that was read in the store before its owner's first greeting was claimed anew at once.
    let silent = now.saturating_sub(known.heard.max(view.since));
    let settle = Duration::ZERO;
    let cause = |previous, reason| Some(Cause { previous, reason, silent, settle });
    if known.member.id != *owner {
        // Of a process that was read of in the store before it was heard, only the earlier one is known.
        let later = start_of(&known.member.id) > start_of(owner) || known.heard > view.since;
        let silent_too = silent >= SILENT_OWNER;
        return match (later, silent_too) {
            (true, _) => cause(PreviousOwner::Ended, "its owner was restarted"),
            (false, true) => cause(PreviousOwner::MaybeActive, "its owner is silent"),
            (false, false) => None,
        };
    }
    if known.refused.is_some() {
        return cause(PreviousOwner::Ended, "its owner's process has ended");
    }
    if silent >= PROBE_OWNER {
        probes.push(known.member.name.clone());
    }
    if silent >= SILENT_OWNER {
        return cause(PreviousOwner::MaybeActive, "its owner is silent");
    }
    // What it said before it became the owner says nothing about this, and it doesn't name the shard
    // before it has read what the store has of it.
    let reads = !view.named && now.saturating_sub(view.since) < READING;
    let told = known.heard < view.since || known.shards.iter().any(|name| name == shard);
    let told = told || reads;
    let gave_up = Cause { previous: PreviousOwner::Ended, ..no_owner("its owner gave it up") };
    (!told).then_some(gave_up)
}

/// A shard that seems to have no owner, which news may still tell of.
fn no_owner(reason: Word) -> Cause {
    let (previous, silent) = (PreviousOwner::MaybeActive, Duration::ZERO);
    Cause { previous, reason, silent, settle: NEWS_DELAY }
}

fn same_daemon(member: &Member, owner: &DaemonId) -> bool {
    owner.as_str().rsplit_once('@').is_some_and(|(name, _)| name == member.name)
}

/// When a daemon's process began, by its own time of day; its id names it.
fn start_of(id: &DaemonId) -> u64 {
    id.as_str().rsplit_once('@').and_then(|(_, start)| start.parse().ok()).unwrap_or_default()
}
