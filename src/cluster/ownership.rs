//! Which shards this daemon takes, keeps and gives away.
//!
//! Safety rests on the store and the VMs (see [`crate::cluster`]); this is about being quick and
//! calm. An owner that has surely ended is replaced at once, one that merely says nothing after
//! [`SILENT_OWNER`](orphans::SILENT_OWNER). Daemons of the shard's failure domain go first, since they reach its VMs
//! when the domain is cut off; the others wait [`FOREIGN_DELAY`](orphans::FOREIGN_DELAY), which outlasts most cuts. Among
//! them the one with the most processor to spare goes first, and takes shards over from those with
//! far less: a shard is lost to its callers for as long as its owner's processor is used up.

mod members;
mod orphans;
mod sharing;

use super::head::{Head, Replaced};
use super::member::{Hello, Member, MemberStage, StoreReach};
use super::plan::Plan;
use crate::ids::{DaemonId, DomainId};
use crate::note::{Note, Word};
use crate::shard::PreviousOwner;
use crate::vm::Fence;
use indexmap::IndexMap;
use members::Known;
use orphans::{Cause, Orphan};
use sharing::HOME_DELAY;
use std::time::Duration;

/// A pause of this daemon's own after which the others' silence says nothing.
pub const OWN_PAUSE: Duration = Duration::from_millis(500);

/// What ownership is told.
#[derive(Clone, Debug)]
pub enum Event {
    Tick,
    /// Daemons registered in the store.
    Registered(Vec<Member>),
    Hello(Hello),
    /// A daemon's port refuses connections: its process has ended.
    Refused(DaemonId),
    /// Heads as the store has them.
    Heads(Vec<(String, Head)>),
    Plan(Plan),
    /// A claim succeeded.
    Claimed {
        shard: String,
        fence: u64,
    },
    /// A claim failed; the present head, if it could be read.
    ClaimFailed {
        shard: String,
        head: Option<Head>,
        reason: String,
    },
    /// A shard was lost or has been given away.
    Gone {
        shard: String,
        reason: Word,
    },
    /// Another daemon gives a shard to this one.
    Offered {
        shard: String,
        from: DaemonId,
    },
    /// Whether the store answers this daemon.
    Store(StoreReach),
    /// The daemon stops as planned.
    Drain,
    /// It ends now.
    GiveUp,
}

/// What ownership asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Claim {
        shard: String,
        previous: PreviousOwner,
        replaces: Replaced,
    },
    ReadHeads,
    /// Says hello to a daemon at once, and learns whether it answers.
    Probe(Member),
    /// Gives a shard away as planned.
    HandOver {
        shard: String,
        to: Member,
        how: HandOver,
    },
    Note(Note),
}

/// How a shard is given away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandOver {
    /// Once what was decided is durable.
    Settled,
    /// At once: the store doesn't answer this daemon.
    AtOnce,
}

/// A shard as it was last heard of.
#[derive(Clone, Debug)]
struct View {
    domain: DomainId,
    owner: Option<DaemonId>,
    fence: u64,
    /// When the owner was learned of.
    since: Duration,
    /// Whether the owner has named the shard as its own since.
    named: bool,
    /// When it was found to have no owner, and why.
    orphan: Option<Orphan>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Holding {
    Claiming,
    Owned,
    GivingAway,
}

/// Decides which shards this daemon takes, keeps and gives away.
pub struct Ownership {
    me: Member,
    started: Duration,
    now: Duration,
    last_tick: Duration,
    members: IndexMap<String, Known>,
    shards: IndexMap<String, View>,
    held: IndexMap<String, Holding>,
    store: StoreReach,
    store_since: Duration,
    /// Newest version of the configuration that another daemon had in force.
    newest_config: u64,
    next_heads: Duration,
    next_share_out: Duration,
    out: Vec<Action>,
}

impl Ownership {
    /// Ownership of nothing yet.
    pub fn new(me: Member, now: Duration) -> Self {
        Self {
            me,
            started: now,
            now,
            last_tick: now,
            members: IndexMap::new(),
            shards: IndexMap::new(),
            held: IndexMap::new(),
            store: StoreReach::Away,
            store_since: now,
            newest_config: 0,
            next_heads: now,
            next_share_out: now + HOME_DELAY,
            out: Vec::new(),
        }
    }

    /// Takes an event, and gives what is to be done.
    pub fn step(&mut self, now: Duration, event: Event) -> Vec<Action> {
        self.now = now;
        self.skip_own_pause();
        self.handle(event);
        self.find_orphans();
        self.take_orphans();
        self.bring_home();
        std::mem::take(&mut self.out)
    }

    /// The owner of a shard, if it is heard.
    pub fn owner(&self, shard: &str) -> Option<Member> {
        let owner = self.shards.get(shard)?.owner.as_ref()?;
        if *owner == self.me.id {
            return Some(self.me.clone());
        }
        let known = self.members.values().find(|known| known.member.id == *owner)?;
        self.is_there(known).then(|| known.member.clone())
    }

    /// Token of a shard's owner, as last heard of.
    pub fn fence(&self, shard: &str) -> Fence {
        Fence(self.shards.get(shard).map_or(0, |view| view.fence))
    }

    /// Every shard of the plan.
    pub fn shards(&self) -> Vec<String> {
        self.shards.keys().cloned().collect()
    }

    /// This daemon.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Whether the store answers this daemon or one that it hears of.
    pub fn store_in_reach(&self) -> bool {
        let reached = |known: &Known| known.store == StoreReach::Reached && self.is_there(known);
        self.store == StoreReach::Reached || self.members.values().any(reached)
    }

    /// Newest version of the configuration that another daemon was heard to have in force.
    pub fn newest_config(&self) -> u64 {
        self.newest_config
    }

    /// The daemons heard of lately, with the version of the configuration in force there.
    pub fn member_configs(&self) -> impl Iterator<Item = (&Member, u64)> {
        let there = self.members.values().filter(|known| self.is_there(known));
        there.map(|known| (&known.member, known.config))
    }

    /// How long the store has answered this daemon, or not.
    pub fn store_for(&self, now: Duration) -> Duration {
        now.saturating_sub(self.store_since)
    }

    /// Whether nothing is owned or claimed any more.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick => {}
            Event::Registered(members) => self.registered(members),
            Event::Hello(hello) => self.heard(hello),
            Event::Refused(id) => self.refused(&id),
            Event::Heads(heads) => heads.into_iter().for_each(|(name, head)| {
                self.learn(&name, head.owner, head.fence);
            }),
            Event::Plan(plan) => self.planned(&plan),
            Event::Claimed { shard, fence } => self.claimed(&shard, fence),
            Event::ClaimFailed { shard, head, reason } => self.claim_failed(shard, head, reason),
            Event::Gone { shard, reason } => self.gone(&shard, reason),
            Event::Offered { shard, from } => self.offered(&shard, &from),
            Event::Store(reach) => self.store_reach(reach),
            Event::Drain => self.me.stage = MemberStage::Draining,
            Event::GiveUp => self.give_up(),
        }
        if self.me.stage == MemberStage::Draining {
            self.give_all_away();
        }
    }

    /// While this daemon stood still it heard nobody; that says nothing about the others.
    fn skip_own_pause(&mut self) {
        let pause = self.now.saturating_sub(self.last_tick);
        self.last_tick = self.now;
        if pause < OWN_PAUSE {
            return;
        }
        for known in self.members.values_mut() {
            known.heard += pause;
        }
        for view in self.shards.values_mut() {
            view.orphan = None;
        }
    }

    fn learn(&mut self, shard: &str, owner: DaemonId, fence: u64) {
        let now = self.now;
        let Some(view) = self.shards.get_mut(shard) else { return };
        let newer = fence > view.fence || (view.owner.is_none() && fence >= view.fence);
        if newer {
            view.owner = Some(owner);
            view.fence = fence;
            view.since = now;
            view.named = false;
            view.orphan = None;
        }
    }

    fn planned(&mut self, plan: &Plan) {
        for (name, domain) in plan.shards() {
            let since = self.now;
            let view = View { domain, owner: None, fence: 0, since, named: false, orphan: None };
            self.shards.entry(name).or_insert(view);
        }
        self.out.push(Action::ReadHeads);
    }

    fn claimed(&mut self, shard: &str, fence: u64) {
        self.held.insert(shard.to_owned(), Holding::Owned);
        let me = self.me.id.clone();
        self.learn(shard, me, fence);
    }

    fn claim_failed(&mut self, shard: String, head: Option<Head>, reason: String) {
        self.held.shift_remove(&shard);
        if let Some(view) = self.shards.get_mut(&shard) {
            view.orphan = None;
        }
        if let Some(head) = head {
            self.learn(&shard, head.owner, head.fence);
        }
        self.out.push(Action::Note(Note::ShardClaimFailed { shard, reason }));
    }

    fn gone(&mut self, shard: &str, reason: Word) {
        self.held.shift_remove(shard);
        let now = self.now;
        if let Some(view) = self.shards.get_mut(shard) {
            view.owner = None;
            view.since = now;
            view.orphan = None;
            let fence = view.fence;
            self.out.push(Action::Note(Note::ShardLost { shard: shard.to_owned(), fence, reason }));
        }
        self.out.push(Action::ReadHeads);
    }

    fn offered(&mut self, shard: &str, from: &DaemonId) {
        if self.me.stage == MemberStage::Draining || self.held.contains_key(shard) {
            return;
        }
        let cause = Cause {
            previous: PreviousOwner::Ended,
            reason: "given by its owner",
            silent: Duration::ZERO,
            settle: Duration::ZERO,
        };
        self.claim(shard, Some(from), cause);
    }

    fn store_reach(&mut self, reach: StoreReach) {
        if self.store != reach {
            self.store = reach;
            self.store_since = self.now;
        }
    }
}
