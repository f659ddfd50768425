//! Detection of shards without a live owner, and the order in which daemons claim them.

use super::members::MemberState;
use super::{Action, ClaimBasis, HoldState, Ownership, ReplacedOwner, ShardView};
use crate::cluster::head::ExpectedOwner;
use crate::cluster::member::{MemberStage, StoreReachability};
use crate::ids::{DaemonId, DomainId};
use crate::note::{Millis, Note, StaticText};
use crate::shard::PreviousOwner;
use indexmap::IndexMap;
use std::time::Duration;

/// Silence of an owner after which it is probed; owners send a hello every 400 ms.
pub const PROBE_AFTER: Duration = Duration::from_millis(700);

/// Silence of an owner after which its shards are claimed, though it may still be alive. Three
/// probes of 300 ms have failed by then.
pub const OWNER_TIMEOUT: Duration = Duration::from_millis(1600);

/// Additional delay before a daemon of another failure domain claims a shard. A partition lasts 4
/// to 7 s, and the shard's VMs can't be reached from other domains meanwhile.
pub const REMOTE_DOMAIN_DELAY: Duration = Duration::from_secs(6);

/// Delay between the claims of one candidate and the next.
const RANK_DELAY: Duration = Duration::from_millis(250);

/// Time for a change of ownership to become known: a claim, a read of the heads, and the new
/// owner's hello. Without this delay, daemons took shards from each other ten times a second.
const PROPAGATION_DELAY: Duration = Duration::from_millis(700);

/// Time that a new owner may take to load its shard before it lists the shard in its hellos.
/// Loading takes five store calls, each 0.4 s while the store is slow; without this grace period
/// the daemons kept taking the shard from each other for as long as the store was slow.
const RECOVERY_GRACE: Duration = Duration::from_millis(2500);

/// Time after the start in which a daemon learns of owners and other daemons before it claims
/// shards.
const STARTUP_GRACE: Duration = Duration::from_millis(700);

/// Interval between reads of the heads while a shard has no owner.
const READ_HEADS_INTERVAL: Duration = Duration::from_millis(400);

/// Interval between probes of an unresponsive owner.
pub(super) const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// A shard without a live owner.
#[derive(Clone, Copy, Debug)]
pub(super) struct Orphan {
    pub(super) since: Duration,
    pub(super) cause: Cause,
}

/// Why a shard has no owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Cause {
    pub(super) previous: PreviousOwner,
    pub(super) basis: ClaimBasis,
    /// Latest time at which the last owner has ended, if it is shown that it has.
    pub(super) ended_by: Option<Duration>,
    pub(super) reason: StaticText,
    /// Time since the owner was last heard from.
    pub(super) silent: Duration,
    /// Additional delay of the claim, in which a live owner may still become known.
    pub(super) grace: Duration,
}

impl Ownership {
    /// Finds shards whose owner has ended, is unresponsive, or has released them.
    pub(super) fn find_orphans(&mut self) {
        let now = self.now;
        let mut probes = Vec::new();
        for (name, view) in &mut self.shards {
            if self.held.contains_key(name) || self.offers.contains_key(name) {
                view.orphan = None;
                continue;
            }
            let lost = match &view.owner {
                None => Some(unowned("it has no owner")),
                Some(owner) if *owner == self.me.id => {
                    view.released_cause("this daemon released it", now)
                }
                Some(_) if view.released.is_some() => {
                    view.released_cause("its owner released it", now)
                }
                // A daemon runs one process at a time, so that this one has replaced the earlier one.
                Some(owner) if owner.is_earlier_process_of(&self.me.id) => {
                    Some(view.restarted_cause(self.started, now))
                }
                Some(owner) => orphan_cause(owner, name, view, &self.members, now, &mut probes),
            };
            // The cause is updated each time: an unresponsive owner may be found to have ended.
            let since = view.orphan.map_or(now, |orphan| orphan.since);
            view.orphan = lost.map(|cause| Orphan { since, cause });
        }
        for name in probes {
            let Some(known) = self.members.get_mut(&name) else { continue };
            if known.take_probe(now) {
                self.actions.push(Action::Probe(known.member.clone()));
            }
        }
    }

    pub(super) fn claim_orphans(&mut self) {
        let startup_done = self.now.saturating_sub(self.started) >= STARTUP_GRACE;
        let eligible =
            self.me.stage == MemberStage::Serving && self.store == StoreReachability::Reached;
        if !startup_done || !eligible {
            return;
        }
        let orphans: Vec<(String, Orphan, DomainId, Option<DaemonId>)> = self
            .shards
            .iter()
            .filter_map(|(name, view)| {
                Some((name.clone(), view.orphan?, view.domain.clone(), view.owner.clone()))
            })
            .collect();
        if !orphans.is_empty() && self.now >= self.next_heads_read {
            self.next_heads_read = self.now + READ_HEADS_INTERVAL;
            self.actions.push(Action::ReadHeads);
        }
        for (shard, orphan, domain, owner) in orphans {
            let delay = orphan.cause.grace + self.delay(&shard, &domain);
            if self.now.saturating_sub(orphan.since) >= delay {
                self.claim(&shard, owner.as_ref(), orphan.cause);
            }
        }
    }

    pub(super) fn claim(&mut self, shard: &str, owner: Option<&DaemonId>, cause: Cause) {
        self.held.insert(shard.to_owned(), HoldState::Claiming);
        self.actions.push(Action::Note(Note::ShardClaiming {
            shard: shard.to_owned(),
            owner: owner.map_or_else(String::new, ToString::to_string),
            reason: cause.reason,
            silent_ms: Millis(cause.silent),
        }));
        let Cause { previous, basis, ended_by, .. } = cause;
        if previous == PreviousOwner::MaybeActive {
            self.remember_predecessor(shard);
        }
        if let Some(view) = self.shards.get_mut(shard) {
            let extended_until = basis.earlier_active_until(self.now);
            let replaced = |ended_by| ReplacedOwner { fence: view.fence, ended_by, extended_until };
            view.replaced = ended_by.map(replaced);
            view.basis = basis;
        }
        let earlier_active = match basis {
            ClaimBasis::MaybeActive => None,
            ClaimBasis::EndedBy(until) => Some(until.saturating_sub(self.now)),
        };
        let replaces = ExpectedOwner { fence: self.fence(shard).0, earlier_active };
        self.actions.push(Action::Claim { shard: shard.to_owned(), previous, replaces });
    }

    /// How long this daemon waits for better placed daemons to claim a shard first.
    fn delay(&self, shard: &str, domain: &DomainId) -> Duration {
        let mine = self.rank(shard, domain, &self.me, self.held.len());
        let better = self
            .members
            .values()
            .filter(|known| self.is_alive(known) && known.member.stage == MemberStage::Serving)
            .filter(|known| known.store == StoreReachability::Reached)
            .filter(|known| self.rank(shard, domain, &known.member, known.shards.len()) < mine)
            .count();
        let remote_delay =
            if self.me.domain == *domain { Duration::ZERO } else { REMOTE_DOMAIN_DELAY };
        remote_delay + RANK_DELAY * u32::try_from(better).unwrap_or(u32::MAX)
    }
}

/// Why a shard's recorded owner is considered lost, or `None` if it is alive.
fn orphan_cause(
    owner: &DaemonId,
    shard: &str,
    view: &ShardView,
    members: &IndexMap<String, MemberState>,
    now: Duration,
    probes: &mut Vec<String>,
) -> Option<Cause> {
    let Some(known) = owner.name().and_then(|name| members.get(name)) else {
        let silent = now.saturating_sub(view.since);
        let cause = Cause { silent, grace: Duration::ZERO, ..unowned("its owner is gone") };
        return (silent >= OWNER_TIMEOUT).then_some(cause);
    };
    let is_same_process = known.member.id == *owner;
    // Silence is counted from when the daemon became the owner. Daemons without shards rarely send
    // hellos, so a new owner whose claim was read from the store before its first hello as an owner
    // would appear unresponsive, and the shard would be claimed again at once.
    let last_heard = if is_same_process { known.last_heard } else { known.earlier_heard };
    let silent = now.saturating_sub(last_heard.max(view.since));
    let unresponsive = |reason| Some(Cause { silent, grace: Duration::ZERO, ..unowned(reason) });
    if !is_same_process {
        // A daemon runs one process at a time. One that was running after the owner had claimed the
        // shard has replaced it; otherwise it may be an earlier one, and the owner's first hello is
        // still on its way.
        if known.answered.is_some_and(|asked| asked >= view.since) {
            return Some(Cause { silent, ..view.restarted_cause(known.started_by, now) });
        }
        probes.push(known.member.name.clone());
        if silent < OWNER_TIMEOUT {
            return None;
        }
        return unresponsive("its owner is silent");
    }
    if known.refused_at.is_some() {
        // Its process may live behind a network cut that refuses connections.
        return unresponsive("its owner refuses connections");
    }
    if silent >= PROBE_AFTER {
        probes.push(known.member.name.clone());
    }
    if silent >= OWNER_TIMEOUT {
        return unresponsive("its owner is silent");
    }
    let (newest, told_at) = known.told?;
    if known.shards.iter().any(|name| name == shard) {
        return None;
    }
    match view.listed {
        Some(listed) if newest > listed => {
            Some(view.ended_cause("its owner released it", told_at, now))
        }
        Some(_) => None,
        // Hellos from before the daemon became the owner don't count, and it lists the shard only
        // after loading it from the store, which may take longer while the store is slow.
        None if told_at < view.since || now.saturating_sub(view.since) < RECOVERY_GRACE => None,
        None => Some(unowned("its owner doesn't list it")),
    }
}

/// Cause for a shard that appears to have no owner, though one may become known during the grace
/// period.
pub(super) fn unowned(reason: StaticText) -> Cause {
    let (previous, silent) = (PreviousOwner::MaybeActive, Duration::ZERO);
    let basis = ClaimBasis::MaybeActive;
    Cause { previous, basis, ended_by: None, reason, silent, grace: PROPAGATION_DELAY }
}
