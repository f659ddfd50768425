//! Which shards this daemon takes, keeps and gives away.
//!
//! Safety rests on the store and the VMs (see [`crate::cluster`]); this is about being quick and
//! calm. An owner that has surely ended is replaced at once, one that merely says nothing after
//! [`SILENT_OWNER`]. Daemons of the shard's failure domain go first, since they reach its VMs
//! when the domain is cut off; the others wait [`FOREIGN_DELAY`], which outlasts most cuts. Among
//! them the one with the most processor to spare goes first, and takes shards over from those with
//! far less: a shard is lost to its callers for as long as its owner's processor is used up.

use super::head::Head;
use super::member::{Hello, Member, MemberStage, StoreReach};
use super::plan::Plan;
use crate::ids::{DaemonId, DomainId};
use crate::note::{Ms, Note, Word};
use crate::shard::Previous;
use crate::vm::Fence;
use indexmap::IndexMap;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

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

/// Between two hellos of a daemon that owns a shard, and of one that owns none.
const OWNER_HELLO: Duration = Duration::from_millis(400);
const HELLO: Duration = Duration::from_millis(1000);

/// Daemons up to which those without shards greet each other every second.
const FEW_MEMBERS: usize = 16;

/// Time at the start in which owners and other daemons are heard of.
const SETTLE: Duration = Duration::from_millis(700);

/// A pause of this daemon's own after which the others' silence says nothing.
pub const OWN_PAUSE: Duration = Duration::from_millis(500);

/// How long a daemon must have been there before a shard is brought home to it.
const HOME_DELAY: Duration = Duration::from_secs(3);

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
}

/// What ownership asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Claim {
        shard: String,
        previous: Previous,
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

/// A daemon as it was last heard of.
#[derive(Clone, Debug)]
struct Known {
    member: Member,
    heard: Duration,
    since: Duration,
    store: StoreReach,
    /// Since when the store answers it, or doesn't.
    store_since: Duration,
    shards: Vec<String>,
    /// When it was last seen to have ended.
    refused: Option<Duration>,
    probed: Duration,
    next_hello: Duration,
}

/// A shard as it was last heard of.
#[derive(Clone, Debug)]
struct View {
    domain: DomainId,
    owner: Option<DaemonId>,
    fence: u64,
    /// When the owner was learned of.
    since: Duration,
    /// When it was found to have no owner, and why.
    orphan: Option<Orphan>,
}

#[derive(Clone, Copy, Debug)]
struct Orphan {
    since: Duration,
    cause: Cause,
}

/// Why a shard has no owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Cause {
    previous: Previous,
    reason: Word,
    /// Time since the owner was last heard.
    silent: Duration,
    /// Time for news that there is an owner after all.
    settle: Duration,
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
    next_heads: Duration,
    next_share_out: Duration,
    out: Vec<Action>,
}

/// Pause between two reads of the heads while a shard has no owner.
const HEADS_EVERY: Duration = Duration::from_millis(400);

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

    fn registered(&mut self, members: Vec<Member>) {
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

    fn meet(&mut self, member: Member) {
        let (id, name) = (member.id.clone(), member.name.clone());
        let known = Known {
            member,
            heard: self.now,
            since: self.now,
            store: StoreReach::Away,
            store_since: self.now,
            shards: Vec::new(),
            refused: None,
            probed: self.now,
            next_hello: self.now,
        };
        self.members.insert(name, known);
        self.note_member(id, "known", Duration::ZERO);
    }

    fn heard(&mut self, hello: Hello) {
        let name = hello.from.name.clone();
        if name == self.me.name {
            return;
        }
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
        known.shards = hello.shards.iter().map(|news| news.name.clone()).collect();
        for news in hello.shards {
            self.learn(&news.name, hello.from.id.clone(), news.fence);
        }
    }

    fn refused(&mut self, id: &DaemonId) {
        let now = self.now;
        let Some(known) = self.members.values_mut().find(|k| k.member.id == *id) else { return };
        if known.refused.is_none() {
            known.refused = Some(now);
            let silent = now.saturating_sub(known.heard);
            self.note_member(id.clone(), "refused", silent);
        }
    }

    fn learn(&mut self, shard: &str, owner: DaemonId, fence: u64) {
        let now = self.now;
        let Some(view) = self.shards.get_mut(shard) else { return };
        let newer = fence > view.fence || (view.owner.is_none() && fence >= view.fence);
        if newer || fence == 0 && view.owner.as_ref() != Some(&owner) {
            view.owner = Some(owner);
            view.fence = view.fence.max(fence);
            view.since = now;
            view.orphan = None;
        }
    }

    fn planned(&mut self, plan: &Plan) {
        for (name, domain) in plan.shards() {
            let since = self.now;
            let view = View { domain, owner: None, fence: 0, since, orphan: None };
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
            previous: Previous::Ended,
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

    fn is_there(&self, known: &Known) -> bool {
        self.there(known, self.now)
    }

    fn there(&self, known: &Known, now: Duration) -> bool {
        let usual = if known.shards.is_empty() && self.held.is_empty() {
            SILENT_OWNER.max(2 * quiet_hello(self.members.len()))
        } else {
            SILENT_OWNER
        };
        known.refused.is_none() && now.saturating_sub(known.heard) < usual
    }

    /// Finds shards whose owner has ended, is silent, or doesn't own them any more.
    fn find_orphans(&mut self) {
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

    fn take_orphans(&mut self) {
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

    fn claim(&mut self, shard: &str, owner: Option<&DaemonId>, cause: Cause) {
        self.held.insert(shard.to_owned(), Holding::Claiming);
        self.out.push(Action::Note(Note::ShardClaiming {
            shard: shard.to_owned(),
            owner: owner.map_or_else(String::new, ToString::to_string),
            reason: cause.reason,
            silent_ms: Ms(cause.silent),
        }));
        let previous = cause.previous;
        self.out.push(Action::Claim { shard: shard.to_owned(), previous });
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

    /// The lower, the better placed: of the failure domain, with much processor to a shard.
    fn rank(&self, shard: &str, domain: &DomainId, member: &Member, shards: usize) -> Rank {
        let foreign = member.domain != *domain;
        let hash = xxh3_64(format!("{shard}/{}", member.name).as_bytes());
        Rank { foreign, load: load(member, shards + 1), hash }
    }

    /// Gives shards to daemons that are better placed.
    fn bring_home(&mut self) {
        let owned: Vec<String> = self
            .held
            .iter()
            .filter(|(_, holding)| **holding == Holding::Owned)
            .map(|(name, _)| name.clone())
            .collect();
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

    fn give_all_away(&mut self) {
        let owned: Vec<String> = self
            .held
            .iter()
            .filter(|(_, holding)| **holding == Holding::Owned)
            .map(|(name, _)| name.clone())
            .collect();
        for shard in owned {
            let domain = self.shards.get(&shard).map(|view| view.domain.clone());
            let Some(domain) = domain else { continue };
            let fit = |known: &&Known| self.may_take(known);
            let best = self.best(&shard, &domain, fit);
            // Without a daemon to take it, whoever comes finds it without an owner.
            let to = best.unwrap_or_else(|| self.me.clone());
            self.hand_over(shard, to, HandOver::Settled);
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

    fn note_member(&mut self, member: DaemonId, state: Word, silent: Duration) {
        let silent_ms = Ms(silent);
        self.out.push(Action::Note(Note::MemberChanged { member, state, silent_ms }));
    }
}

/// Between two hellos of daemons that own nothing, among so many others: each takes 0.2 ms at both
/// ends, which 45 of them at a second's pace spent a fifth of a small daemon's processor on.
fn quiet_hello(others: usize) -> Duration {
    HELLO * u32::try_from(others.div_ceil(FEW_MEMBERS)).unwrap_or(u32::MAX).max(1)
}

/// Between two probes of a silent owner.
const PROBE_EVERY: Duration = Duration::from_millis(200);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    foreign: bool,
    load: u64,
    hash: u64,
}

/// Shards to a daemon's processor, in millionths of a shard to a thousandth of a core.
fn load(member: &Member, shards: usize) -> u64 {
    shards as u64 * 1_000_000 / u64::from(member.power.max(1))
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
        return cause(Previous::Ended, "its owner was restarted");
    }
    if known.refused.is_some() {
        return cause(Previous::Ended, "its owner's process has ended");
    }
    if silent >= PROBE_OWNER {
        probes.push(known.member.name.clone());
    }
    if silent >= SILENT_OWNER {
        return cause(Previous::Unsure, "its owner is silent");
    }
    // What it said before it became the owner says nothing about this.
    let told = known.heard < view.since || known.shards.iter().any(|name| name == shard);
    let gave_up = Cause { previous: Previous::Ended, ..no_owner("its owner gave it up") };
    (!told).then_some(gave_up)
}

/// A shard that seems to have no owner, which news may still tell of.
fn no_owner(reason: Word) -> Cause {
    let (previous, silent) = (Previous::Unsure, Duration::ZERO);
    Cause { previous, reason, silent, settle: NEWS_DELAY }
}

fn same_daemon(member: &Member, owner: &DaemonId) -> bool {
    owner.as_str().rsplit_once('@').is_some_and(|(name, _)| name == member.name)
}
