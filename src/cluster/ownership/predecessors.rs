//! Late proof that the previous owner of a claimed shard has ended.
//!
//! A shard is claimed as soon as its owner seems lost, often before anything shows whether that
//! process has ended. If a later process of the same daemon answers afterwards, the new owner need
//! no longer allow for leases that the previous one may still extend. It does allow for those that
//! an owner before that one may extend.

use super::{Action, HoldState, Ownership};
use crate::cluster::member::Hello;
use crate::ids::DaemonId;
use crate::note::{Millis, Note};
use std::time::Duration;

/// The owner that a claim of this daemon replaces, which may still be active.
#[derive(Clone, Debug)]
pub(super) struct Predecessor {
    owner: DaemonId,
    /// When it became known as the owner.
    known_since: Duration,
    /// Until when an owner before it may still extend leases.
    earlier_active_until: Duration,
    /// Latest time at which it has ended: the start of a process that has replaced it.
    ended_by: Option<Duration>,
}

impl Predecessor {
    /// Whether a hello is from a process that has replaced this one: a daemon runs one process at a
    /// time, and this one was asked after the predecessor had claimed the shard.
    fn is_replaced_by(&self, hello: &Hello, asked: Duration) -> bool {
        self.owner.name() == Some(hello.from.name.as_str())
            && hello.from.id != self.owner
            && asked >= self.known_since
    }

    /// Records that no owner before it extends leases after `until`.
    pub(super) fn shorten_earlier_active(&mut self, until: Duration) {
        self.earlier_active_until = self.earlier_active_until.min(until);
    }
}

impl Ownership {
    /// Remembers the owner that a claim replaces, unless it is known to have ended.
    pub(super) fn remember_predecessor(&mut self, shard: &str) {
        let Some(view) = self.shards.get(shard) else { return };
        if view.released.is_some() {
            // The one that may be active is an earlier, unknown owner.
            return;
        }
        let Some(owner) = view.owner.clone().filter(|owner| *owner != self.me.id) else { return };
        let (known_since, earlier_active_until) = (view.since, view.earlier_active_until());
        let predecessor = Predecessor { owner, known_since, earlier_active_until, ended_by: None };
        self.predecessors.insert(shard.to_owned(), predecessor);
    }

    /// Notes which predecessors are shown to have ended by a hello that answers one sent at
    /// `asked`.
    pub(super) fn check_predecessors(&mut self, hello: &Hello, asked: Duration) {
        let started_by = hello.sender_started_by(self.now);
        for predecessor in self.predecessors.values_mut() {
            if predecessor.is_replaced_by(hello, asked) {
                let known = predecessor.ended_by.unwrap_or(Duration::MAX);
                predecessor.ended_by = Some(known.min(started_by));
            }
        }
    }

    /// Records that no owner before this daemon extends leases of a shard owned here after `until`.
    pub(super) fn end_earlier_owners(&mut self, shard: &str, until: Duration) {
        if self.held.get(shard).is_none_or(|holding| *holding == HoldState::Claiming) {
            return;
        }
        if let Some(view) = self.shards.get_mut(shard) {
            view.basis = view.basis.ended_by(until);
        }
        self.predecessors.shift_remove(shard);
    }

    /// Tells the shards that are owned by now about predecessors that have ended, once no owner
    /// before them is active either.
    pub(super) fn report_ended_predecessors(&mut self) {
        let now = self.now;
        let (held, actions, shards) = (&self.held, &mut self.actions, &mut self.shards);
        self.predecessors.retain(|shard, predecessor| {
            let Some(ended_by) = predecessor.ended_by else { return true };
            let Some(view) = shards.get_mut(shard) else { return true };
            if held.get(shard) != Some(&HoldState::Owned) {
                return true;
            }
            let until = predecessor.earlier_active_until.max(ended_by);
            view.basis = view.basis.ended_by(until);
            let all_ended = now >= until;
            if all_ended {
                actions.push(Action::Note(Note::PreviousOwnerEnded {
                    shard: shard.clone(),
                    fence: view.fence,
                    owner: predecessor.owner.clone(),
                    proof: "another process of its daemon answers",
                    ended_ms: Millis(now.saturating_sub(ended_by)),
                }));
                let (shard, extended_until) = (shard.clone(), until);
                actions.push(Action::PredecessorEnded { shard, extended_until });
            }
            !all_ended
        });
    }
}
