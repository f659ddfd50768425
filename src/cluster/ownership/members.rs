//! The daemons that are heard of, and when each is to be greeted.

use super::orphans::SILENT_OWNER;
use super::{Action, Ownership};
use crate::cluster::member::{Hello, Member, StoreReach};
use crate::ids::DaemonId;
use crate::note::{Ms, Note, Word};
use std::time::Duration;

/// Between two hellos of a daemon that owns a shard.
const OWNER_HELLO: Duration = Duration::from_millis(400);

/// Between two hellos of a daemon that owns none.
const HELLO: Duration = Duration::from_millis(1000);

/// Daemons up to which those without shards greet each other every second.
const FEW_MEMBERS: usize = 16;

/// A daemon as it was last heard of.
#[derive(Clone, Debug)]
pub(super) struct Known {
    pub(super) member: Member,
    pub(super) heard: Duration,
    pub(super) since: Duration,
    pub(super) store: StoreReach,
    /// Since when the store answers it, or doesn't.
    pub(super) store_since: Duration,
    pub(super) shards: Vec<String>,
    /// Version of the configuration in force there.
    pub(super) config: u64,
    /// When it was last seen to have ended.
    pub(super) refused: Option<Duration>,
    pub(super) probed: Duration,
    pub(super) next_hello: Duration,
}

impl Ownership {
    /// The daemons heard of lately, this one not included.
    pub fn members(&self) -> Vec<Member> {
        self.members
            .values()
            .filter(|known| self.is_there(known))
            .map(|k| k.member.clone())
            .collect()
    }

    /// The daemons that are to be greeted now: owners greet everyone often, since their news are
    /// gone by; others greet owners, and each other the more seldom the more there are.
    pub fn to_greet(&mut self, now: Duration) -> Vec<Member> {
        let owns = !self.held.is_empty();
        let quiet = quiet_hello(self.members.len());
        let mut greeted = Vec::new();
        for known in self.members.values_mut().filter(|known| now >= known.next_hello) {
            let pause = match (owns, known.shards.is_empty()) {
                (true, _) => OWNER_HELLO,
                (false, false) => HELLO,
                (false, true) => quiet,
            };
            known.next_hello = now + pause;
            greeted.push(known.member.clone());
        }
        greeted
    }

    /// Something has changed that everyone should hear of at once.
    pub fn greet_all(&mut self) {
        self.members.values_mut().for_each(|known| known.next_hello = self.now);
    }

    /// Whether a daemon needs to know of room here: it owns shards too.
    pub fn is_owner(&self, name: &str) -> bool {
        self.members.get(name).is_some_and(|known| !known.shards.is_empty())
    }

    pub(super) fn registered(&mut self, members: Vec<Member>) {
        let now = self.now;
        for member in members {
            if member.name == self.me.name {
                continue;
            }
            let there = self.members.get(&member.name).is_some_and(|known| self.is_there(known));
            match self.members.get_mut(&member.name) {
                None => self.meet(member),
                // What a daemon itself says counts for more than what it once wrote down.
                Some(known) if known.member.id != member.id && !there => {
                    known.member = member;
                    known.heard = now;
                    known.refused = None;
                }
                Some(_) => {}
            }
        }
    }

    pub(super) fn meet(&mut self, member: Member) {
        let (id, name) = (member.id.clone(), member.name.clone());
        let known = Known {
            member,
            heard: self.now,
            since: self.now,
            store: StoreReach::Away,
            store_since: self.now,
            shards: Vec::new(),
            config: 0,
            refused: None,
            probed: self.now,
            next_hello: self.now,
        };
        self.members.insert(name, known);
        self.note_member(id, "known", Duration::ZERO);
    }

    pub(super) fn heard(&mut self, hello: Hello) {
        let name = hello.from.name.clone();
        if name == self.me.name {
            return;
        }
        self.newest_config = self.newest_config.max(hello.config);
        if !self.members.contains_key(&name) {
            self.meet(hello.from.clone());
        }
        let Some(known) = self.members.get_mut(&name) else { return };
        if known.member.id != hello.from.id {
            known.since = self.now;
        }
        known.member = hello.from.clone();
        known.heard = self.now;
        known.refused = None;
        if known.store != hello.store {
            known.store = hello.store;
            known.store_since = self.now;
        }
        known.config = hello.config;
        known.shards = hello.shards.iter().map(|news| news.name.clone()).collect();
        for news in hello.shards {
            self.learn(&news.name, hello.from.id.clone(), news.fence);
            let view = self.shards.get_mut(&news.name);
            if let Some(view) = view.filter(|view| view.owner.as_ref() == Some(&hello.from.id)) {
                view.named = true;
            }
        }
    }

    pub(super) fn refused(&mut self, id: &DaemonId) {
        let now = self.now;
        let Some(known) = self.members.values_mut().find(|k| k.member.id == *id) else { return };
        if known.refused.is_none() {
            known.refused = Some(now);
            let silent = now.saturating_sub(known.heard);
            self.note_member(id.clone(), "refused", silent);
        }
    }

    pub(super) fn is_there(&self, known: &Known) -> bool {
        self.there(known, self.now)
    }

    pub(super) fn there(&self, known: &Known, now: Duration) -> bool {
        let usual = if known.shards.is_empty() && self.held.is_empty() {
            SILENT_OWNER.max(2 * quiet_hello(self.members.len()))
        } else {
            SILENT_OWNER
        };
        known.refused.is_none() && now.saturating_sub(known.heard) < usual
    }

    pub(super) fn note_member(&mut self, member: DaemonId, state: Word, silent: Duration) {
        let silent_ms = Ms(silent);
        self.out.push(Action::Note(Note::MemberChanged { member, state, silent_ms }));
    }
}

/// Between two hellos of daemons that own nothing, among so many others: each takes 0.2 ms at both
/// ends, which 45 of them at a second's pace spent a fifth of a small daemon's processor on.
pub(super) fn quiet_hello(others: usize) -> Duration {
    HELLO * u32::try_from(others.div_ceil(FEW_MEMBERS)).unwrap_or(u32::MAX).max(1)
}
