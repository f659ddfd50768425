//! Decides which shards this daemon claims, keeps and hands over.
//!
//! Safety is guaranteed by the store and the VMs (see [`crate::cluster`]); this module only aims at
//! fast failover without needless moves. An owner whose process is known to have ended is replaced
//! at once, an unresponsive one after [`OWNER_TIMEOUT`](orphans::OWNER_TIMEOUT).
//!
//! What a claim says of the previous owner must be proved, though. A message may arrive at any time
//! after it was sent, so a hello shows who was running at some time in the past. Only the answer to
//! a hello shows who was running after that one was sent.
//!
//! Daemons in the shard's failure domain claim it first, because they still reach its VMs when the
//! domain is partitioned. Others wait [`REMOTE_DOMAIN_DELAY`](orphans::REMOTE_DOMAIN_DELAY), which
//! is longer than most partitions. Within a domain, the daemon with the most CPU per shard claims
//! first and also takes shards over from daemons with far less: a shard is unavailable to callers
//! while its owner has no CPU left.

mod members;
mod offers;
mod orphans;
mod predecessors;
mod released;
mod sharing;

use super::head::{ExpectedOwner, Head};
use super::member::{Hello, Member, MemberStage, OfferAnswer, ReleasedShard, StoreReachability};
use super::plan::Plan;
use crate::ids::{DaemonId, DomainId};
use crate::note::{Note, StaticText};
use crate::shard::PreviousOwner;
use crate::vm::Fence;
use indexmap::IndexMap;
use members::MemberState;
use offers::Offer;
use orphans::Orphan;
use predecessors::Predecessor;
use sharing::STABLE_AFTER;
use std::time::Duration;

/// Length of a pause of this daemon beyond which the silence of other daemons is not counted.
pub const OWN_PAUSE_THRESHOLD: Duration = Duration::from_millis(500);

/// Silence of all owners in other failure domains after which this one counts as cut off, if the
/// store can't be reached either: two missed hellos.
const DOMAIN_CUT_OFF_TIMEOUT: Duration = Duration::from_millis(1000);

/// Input of [`Ownership::step`].
#[derive(Clone, Debug)]
pub enum Event {
    Tick,
    /// Daemons registered in the store.
    Registered(Vec<Member>),
    Hello {
        hello: Hello,
        /// When this daemon sent the hello that this one answers; `None` for a hello that was sent
        /// unasked and may be of any age.
        asked: Option<Duration>,
    },
    /// A daemon's port refuses connections: its process has ended, or a network cut refuses them in
    /// its place.
    Refused {
        id: DaemonId,
        /// When the call was made.
        asked: Duration,
    },
    /// Shard heads read from the store.
    Heads(Vec<(String, Head)>),
    Plan(Plan),
    /// A claim succeeded.
    Claimed {
        shard: String,
        fence: u64,
        /// How long an owner before this daemon may still extend leases.
        earlier_active: Duration,
        /// How long owners before the previous one may still extend leases, if the head that the
        /// claim replaced tells it.
        before_previous: Option<Duration>,
    },
    /// A claim failed; contains the current head if it could be read.
    ClaimFailed {
        shard: String,
        head: Option<Head>,
        reason: String,
    },
    /// A shard was lost.
    NoLongerOwned {
        shard: String,
        reason: StaticText,
    },
    /// No owner before this daemon extends leases of a shard owned here after `active_until`.
    EarlierOwnersEnded {
        shard: String,
        active_until: Duration,
    },
    /// A shard was dropped to be handed over; its VMs get no more calls from this daemon.
    Released {
        shard: String,
        /// Fencing token of the ownership that has ended.
        fence: u64,
    },
    /// What became of an offer.
    OfferEnded {
        shard: String,
        fence: u64,
        /// Daemon that the shard was offered to.
        candidate: DaemonId,
        outcome: OfferOutcome,
    },
    /// Another daemon hands a shard over to this one.
    Offered {
        from: DaemonId,
        released: ReleasedShard,
    },
    /// Whether this daemon can reach the store.
    Store(StoreReachability),
    /// This daemon begins a planned stop.
    Drain,
    /// This daemon exits now and releases its remaining shards, also those that it is claiming.
    ReleaseAll,
}

/// Output of [`Ownership::step`].
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Claim {
        shard: String,
        previous: PreviousOwner,
        replaces: ExpectedOwner,
    },
    ReadHeads,
    /// The previous owner of a shard owned here has ended.
    PredecessorEnded {
        shard: String,
        /// Latest time at which it or an owner before it may have extended a lease.
        extended_until: Duration,
    },
    /// Sends a hello to a daemon at once to check whether it answers.
    Probe(Member),
    /// Drops a shard to hand it over to another daemon, or to release it if `to` is this daemon.
    HandOver {
        shard: String,
        to: Member,
        how: HandOver,
    },
    /// Offers a dropped shard to a daemon.
    Offer {
        released: ReleasedShard,
        to: Member,
    },
    Note(Note),
}

/// How a shard is handed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandOver {
    /// After all decisions made so far are durable.
    AfterCommit,
    /// Immediately, because this daemon can't reach the store.
    Immediate,
}

/// What became of an offer of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    Answered(OfferAnswer),
    /// The connection was refused.
    Refused,
    /// No answer came in time; the offer may have been accepted.
    NoAnswer,
}

/// Last known state of a shard.
#[derive(Clone, Debug)]
struct ShardView {
    domain: DomainId,
    owner: Option<DaemonId>,
    fence: u64,
    /// When the owner became known.
    since: Duration,
    /// Number of the newest hello in which the owner has listed the shard.
    listed: Option<u64>,
    /// Until when an owner before this one may still extend leases, if the owner has told it.
    earlier_active_until: Option<Duration>,
    /// Set once this ownership is known to have ended: until when an owner before it may still
    /// extend leases.
    released: Option<Duration>,
    /// What this daemon's last claim of the shard relies on.
    basis: ClaimBasis,
    /// End of the owner that this claim replaces, if it was shown before the claim.
    replaced: Option<ReplacedOwner>,
    /// Set while the shard has no live owner.
    orphan: Option<Orphan>,
}

/// What a claim of this daemon relies on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClaimBasis {
    /// The owner that it replaces may still extend leases after it has taken effect.
    MaybeActive,
    /// No earlier owner extends leases after that time.
    EndedBy(Duration),
}

/// An owner that had ended when this daemon claimed its shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ReplacedOwner {
    fence: u64,
    /// Latest time at which it has ended.
    ended_by: Duration,
    /// Latest time at which it or an owner before it may extend leases.
    extended_until: Duration,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum HoldState {
    Claiming,
    Owned,
    HandingOver { to: DaemonId },
}

/// State machine that decides which shards this daemon claims, keeps and hands over.
pub struct Ownership {
    me: Member,
    started: Duration,
    now: Duration,
    last_tick: Duration,
    members: IndexMap<String, MemberState>,
    shards: IndexMap<String, ShardView>,
    held: IndexMap<String, HoldState>,
    /// Previous owners of shards held here that may still be active.
    predecessors: IndexMap<String, Predecessor>,
    /// Shards given up that no daemon has accepted yet.
    offers: IndexMap<String, Offer>,
    /// Fencing tokens of ownerships that were offered while this daemon was claiming the shard.
    offers_while_claiming: IndexMap<String, u64>,
    /// Whether this daemon exits and takes no shard back.
    is_exiting: bool,
    store: StoreReachability,
    store_since: Duration,
    /// Newest configuration version in force at any other daemon.
    newest_config: u64,
    next_heads_read: Duration,
    next_rebalance: Duration,
    actions: Vec<Action>,
}

impl Ownership {
    /// Creates the state machine of a daemon that owns no shard.
    pub fn new(me: Member, now: Duration) -> Self {
        Self {
            me,
            started: now,
            now,
            last_tick: now,
            members: IndexMap::new(),
            shards: IndexMap::new(),
            held: IndexMap::new(),
            predecessors: IndexMap::new(),
            offers: IndexMap::new(),
            offers_while_claiming: IndexMap::new(),
            is_exiting: false,
            store: StoreReachability::Away,
            store_since: now,
            newest_config: 0,
            next_heads_read: now,
            next_rebalance: now + STABLE_AFTER,
            actions: Vec::new(),
        }
    }

    /// Handles an event and returns the actions to perform.
    pub fn step(&mut self, now: Duration, event: Event) -> Vec<Action> {
        self.now = now;
        self.ignore_own_pause();
        let is_routine = self.is_routine(&event);
        self.handle(event);
        if !is_routine {
            self.find_orphans();
            self.claim_orphans();
            self.rebalance();
        }
        std::mem::take(&mut self.actions)
    }

    /// Whether an event is a hello that only confirms what is known. Such hellos arrive hundreds of
    /// times a second in a large cluster; what is due because time has passed waits for the next tick.
    fn is_routine(&self, event: &Event) -> bool {
        let Event::Hello { hello, .. } = event else { return false };
        let owner_of = |shard: &str| self.shards.get(shard).and_then(|view| view.owner.as_ref());
        let is_known = |known: &MemberState| {
            known.member == hello.from
                && known.store == hello.store
                && known.refused_at.is_none()
                && known.shards.len() == hello.shards.len()
        };
        hello.released.is_empty()
            && self.predecessors.is_empty()
            && self.members.get(&hello.from.name).is_some_and(is_known)
            && hello.shards.iter().all(|report| owner_of(&report.name) == Some(&hello.from.id))
    }

    /// The owner of a shard, if it is known and alive.
    pub fn owner(&self, shard: &str) -> Option<Member> {
        let view = self.shards.get(shard)?;
        let owner = view.owner.as_ref()?;
        if *owner == self.me.id {
            return view.released.is_none().then(|| self.me.clone());
        }
        let known = self.members.get(owner.name()?)?;
        (known.member.id == *owner && self.is_alive(known)).then(|| known.member.clone())
    }

    /// Last known fencing token of a shard's owner.
    pub fn fence(&self, shard: &str) -> Fence {
        Fence(self.shards.get(shard).map_or(0, |view| view.fence))
    }

    /// All shards in the plan.
    pub fn shards(&self) -> Vec<String> {
        self.shards.keys().cloned().collect()
    }

    /// How long this process has run.
    pub fn uptime(&self, now: Duration) -> Duration {
        now.saturating_sub(self.started)
    }

    /// This daemon.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Whether this daemon or any other live daemon can reach the store.
    pub fn is_store_reachable(&self) -> bool {
        let reached =
            |known: &MemberState| known.store == StoreReachability::Reached && self.is_alive(known);
        self.store == StoreReachability::Reached || self.members.values().any(reached)
    }

    /// Whether this daemon's failure domain seems to be partitioned from the others and the store:
    /// the store is away, and no owner of another domain is heard any more.
    ///
    /// Owners send everyone a hello several times per second, so silence from all of them at once
    /// shows a partition sooner than the silence of one shows that it has ended.
    pub fn is_domain_cut_off(&self, now: Duration) -> bool {
        let mut remote_owners = self
            .members
            .values()
            .filter(|known| known.member.domain != self.me.domain && !known.shards.is_empty())
            .peekable();
        self.store == StoreReachability::Away
            && remote_owners.peek().is_some()
            && remote_owners
                .all(|known| now.saturating_sub(known.last_heard) >= DOMAIN_CUT_OFF_TIMEOUT)
    }

    /// Newest configuration version in force at any other daemon.
    pub fn newest_config(&self) -> u64 {
        self.newest_config
    }

    /// Live daemons with the configuration version in force at each.
    pub fn member_configs(&self) -> impl Iterator<Item = (&Member, u64)> {
        let alive = self.members.values().filter(|known| self.is_alive(known));
        alive.map(|known| (&known.member, known.config))
    }

    /// How long the store has been in its current state (reachable or not) for this daemon.
    pub fn store_state_age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.store_since)
    }

    /// Whether no shard is owned, claimed, being handed over, or on offer.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty() && self.offers.is_empty()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick => {}
            Event::Registered(members) => self.handle_registered(members),
            Event::Hello { hello, asked } => self.handle_hello(hello, asked),
            Event::Refused { id, asked } => self.handle_refused(&id, asked),
            Event::Heads(heads) => heads.into_iter().for_each(|(name, head)| {
                self.record_owner(&name, head.owner, head.fence);
            }),
            Event::Plan(plan) => self.handle_plan(&plan),
            Event::Claimed { shard, fence, earlier_active, before_previous } => {
                self.handle_claimed(&shard, fence);
                self.record_earlier_owners(&shard, earlier_active, before_previous);
            }
            Event::ClaimFailed { shard, head, reason } => {
                self.handle_claim_failed(&shard, head, reason);
            }
            Event::NoLongerOwned { shard, reason } => {
                self.held.shift_remove(&shard);
                self.forget_owned(&shard, reason);
            }
            Event::EarlierOwnersEnded { shard, active_until } => {
                self.end_earlier_owners(&shard, active_until);
            }
            Event::Released { shard, fence } => self.handle_released(&shard, fence),
            Event::OfferEnded { shard, fence, candidate, outcome } => {
                self.handle_offer_outcome(&shard, fence, &candidate, outcome);
            }
            Event::Offered { from, released } => self.handle_offer(&from, &released),
            Event::Store(reach) => self.handle_store_reach(reach),
            Event::Drain => self.me.stage = MemberStage::Draining,
            Event::ReleaseAll => self.is_exiting = true,
        }
        self.report_ended_predecessors();
        self.release_unheld();
        if self.is_exiting {
            self.release_all();
        }
        if self.me.stage == MemberStage::Draining {
            self.hand_over_all();
        }
    }

    /// Excludes a pause of this daemon itself from the silence of the others: it couldn't have
    /// received their hellos meanwhile.
    fn ignore_own_pause(&mut self) {
        let pause = self.now.saturating_sub(self.last_tick);
        self.last_tick = self.now;
        if pause < OWN_PAUSE_THRESHOLD {
            return;
        }
        for known in self.members.values_mut() {
            known.last_heard += pause;
            known.earlier_heard += pause;
        }
        for view in self.shards.values_mut() {
            view.orphan = None;
        }
    }

    fn record_owner(&mut self, shard: &str, owner: DaemonId, fence: u64) {
        let now = self.now;
        let Some(view) = self.shards.get_mut(shard) else { return };
        let newer = fence > view.fence || (view.owner.is_none() && fence >= view.fence);
        if newer {
            if owner == self.me.id {
                view.basis = ClaimBasis::EndedBy(view.basis.earlier_active_until(now));
            }
            if fence > view.fence || owner != self.me.id {
                view.released = None;
            }
            view.owner = Some(owner);
            view.fence = fence;
            view.since = now;
            view.listed = None;
            view.earlier_active_until = None;
            view.orphan = None;
        }
    }

    fn handle_plan(&mut self, plan: &Plan) {
        for (name, domain) in plan.shards() {
            let since = self.now;
            let view = ShardView {
                domain,
                owner: None,
                fence: 0,
                since,
                listed: None,
                earlier_active_until: None,
                released: None,
                basis: ClaimBasis::EndedBy(Duration::ZERO),
                replaced: None,
                orphan: None,
            };
            self.shards.entry(name).or_insert(view);
        }
        self.actions.push(Action::ReadHeads);
    }

    fn handle_claimed(&mut self, shard: &str, fence: u64) {
        self.held.insert(shard.to_owned(), HoldState::Owned);
        self.offers_while_claiming.shift_remove(shard);
        let me = self.me.id.clone();
        self.record_owner(shard, me, fence);
    }

    fn handle_claim_failed(&mut self, shard: &str, head: Option<Head>, reason: String) {
        self.held.shift_remove(shard);
        self.predecessors.shift_remove(shard);
        if let Some(view) = self.shards.get_mut(shard) {
            view.orphan = None;
        }
        match head {
            Some(head) => self.record_owner(shard, head.owner, head.fence),
            // Its answer may have been lost.
            None => self.actions.push(Action::ReadHeads),
        }
        let note = Note::ShardClaimFailed { shard: shard.to_owned(), reason };
        self.actions.push(Action::Note(note));
        self.take_up_offer(shard);
    }

    fn forget_owned(&mut self, shard: &str, reason: StaticText) {
        self.predecessors.shift_remove(shard);
        let now = self.now;
        if let Some(view) = self.shards.get_mut(shard) {
            // A newer owner may be known already.
            if view.owner.as_ref() == Some(&self.me.id) {
                view.owner = None;
                view.released = Some(view.basis.earlier_active_until(now).max(now));
                view.since = now;
            }
            view.orphan = None;
            let fence = view.fence;
            self.actions.push(Action::Note(Note::ShardLost {
                shard: shard.to_owned(),
                fence,
                reason,
            }));
        }
        self.actions.push(Action::ReadHeads);
    }

    fn handle_store_reach(&mut self, reach: StoreReachability) {
        if self.store != reach {
            self.store = reach;
            self.store_since = self.now;
            if reach == StoreReachability::Reached {
                self.actions.push(Action::ReadHeads);
            }
        }
    }
}
