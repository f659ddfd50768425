//! The duty that decides: it holds the shards that this daemon owns, and who owns which.
//!
//! It never waits. After a pause of its own, the machine's suspension included, it asks the store
//! whether it still owns its shards before it gives any order.

mod messages;
mod publish;
mod shards;
mod status;
#[cfg(test)]
mod tests;

pub use status::GetStatus;

pub use messages::{
    Connect, ConnectionRefused, Drain, GiveUp, HandleCall, HandleLoanMessage, HandleOffer,
    HelloReceived, OwnsAny, Stored, Told, Upkept,
};

use super::calls::Reply;
use super::confirmed::Confirmed;
use super::links::{ForwardPermitRequest, Links, SendLoanMessage};
use super::machines::Upkeep;
use super::orders::{AskHere, Order};
use super::records::{Claim, Commit, Confirm, Forget, ReadHeads};
use super::view::{Directory, ShardView, View};
use crate::clock::Clock;
use crate::cluster::ownership::OWN_PAUSE;
use crate::cluster::{self, Member, MemberStage, Ownership, Plan, StoreReach};
use crate::ids::{DaemonId, Ticket};
use crate::job::JobId;
use crate::job::check::Shapes;
use crate::journal::Journal;
use crate::permit::{self, PermitReq};
use crate::queues::Queues;
use crate::ring::{RING_CAPACITY, Ring, WhenFull};
use crate::shard::interference::Learned;
use crate::shard::loan::LoanMsg;
use crate::shard::{self, Action, Event, Lapse, Now, Shard, Summary, ToldLapse};
use crate::upkeep::duty::{Duty, OwnShard};
use crate::upkeep::{self};
use crate::vm::{Fence, VmEntry};
use actix::prelude::*;
use indexmap::IndexMap;
use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};
use tokio::sync::{oneshot, watch};
use xxhash_rust::xxh3::xxh3_64;

/// Between two looks at the time. Orders that wait for their turn are late by half of it.
const TICK: Duration = Duration::from_millis(20);

/// Between two publications of who owns what.
const PUBLISH: Duration = Duration::from_millis(100);

/// Between two looks at the waves of upkeep.
const UPKEEP_EVERY: Duration = Duration::from_millis(200);

/// Between two tellings of the shards here what is known of the others, and two summaries of the
/// shards here; both cost as much as some dozen events.
const NEIGHBOURS_EVERY: Duration = Duration::from_millis(200);

/// Orders and commits that wait at control.
const WAITING_ACTIONS: usize = 100_000;

/// The rings to the other duties.
pub struct Rings {
    pub orders: Ring<Order>,
    pub asker: Recipient<AskHere>,
    pub upkeep: Recipient<Upkeep>,
    pub links: Addr<Links>,
    pub claims: Recipient<Claim>,
    pub commits: Recipient<Commit>,
    pub forget: Recipient<Forget>,
    pub heads: Recipient<ReadHeads>,
    pub confirm: Recipient<Confirm>,
}

/// A shard that this daemon owns.
struct Hosted {
    shard: Shard,
    name: Arc<str>,
    /// Events that wait until it is known that the shard is still owned.
    held: Option<Vec<Event>>,
    accepted: VecDeque<(Duration, JobId)>,
    next_learned: Duration,
    /// Daemon that the shard is given to.
    to: Option<Member>,
    summary: Arc<Summary>,
    summarized: Duration,
}

/// A shard that another daemon gave to this one.
struct Offered {
    from: DaemonId,
    at: Duration,
    lapses: Vec<Lapse>,
}

/// What a shard's owner told last of silent VMs, and when.
struct TimedLapses {
    at: Duration,
    lapses: Vec<ToldLapse>,
}

impl TimedLapses {
    /// The same as of now.
    fn aged(self, now: Duration) -> Vec<ToldLapse> {
        let passed = now.saturating_sub(self.at);
        self.lapses.into_iter().map(|told| told.aged(passed)).collect()
    }
}

/// The duty.
pub struct Control {
    settings: shard::Settings,
    clock: Arc<dyn Clock>,
    journal: Journal,
    ownership: Ownership,
    rings: Option<Rings>,
    hosted: IndexMap<String, Hosted>,
    others: IndexMap<String, ShardView>,
    queues: Option<Arc<Queues>>,
    confirmed: Confirmed,
    /// Whether it was logged that the configuration isn't confirmed.
    config_unconfirmed: bool,
    /// Why it couldn't be read, since the last confirmation.
    config_fault: Option<String>,
    fleet: Vec<VmEntry>,
    shapes: Arc<Shapes>,
    plan: Plan,
    store: StoreReach,
    store_lost: Option<Duration>,
    upkeep: Duty,
    next_upkeep: Duration,
    /// Questions about permits that are under way, by the daemon that asks.
    asking: IndexMap<String, u32>,
    offered: IndexMap<String, Offered>,
    told_lapses: IndexMap<String, TimedLapses>,
    tickets: IndexMap<Ticket, oneshot::Sender<Reply>>,
    next_ticket: u64,
    view: watch::Sender<Arc<View>>,
    directory: Arc<Mutex<Directory>>,
    /// What shards that others own have learned.
    learned: IndexMap<String, Vec<Learned>>,
    last: Duration,
    next_publish: Duration,
    next_neighbours: Duration,
}

impl Control {
    /// A duty that owns nothing; a configuration may take `config_in_force` to be in force everywhere.
    pub fn new(
        me: Member,
        settings: shard::Settings,
        config_in_force: Duration,
        clock: Arc<dyn Clock>,
        journal: Journal,
        view: watch::Sender<Arc<View>>,
        directory: Arc<Mutex<Directory>>,
    ) -> Self {
        let now = clock.now();
        let upkeep = Duty::new(&me.name);
        Self {
            settings,
            journal,
            ownership: Ownership::new(me, now),
            rings: None,
            hosted: IndexMap::new(),
            others: IndexMap::new(),
            queues: None,
            confirmed: Confirmed::new(now, config_in_force),
            config_unconfirmed: false,
            config_fault: None,
            fleet: Vec::new(),
            shapes: Arc::default(),
            plan: Plan::default(),
            store: StoreReach::Away,
            store_lost: None,
            upkeep,
            next_upkeep: now,
            asking: IndexMap::new(),
            offered: IndexMap::new(),
            told_lapses: IndexMap::new(),
            tickets: IndexMap::new(),
            next_ticket: 0,
            view,
            directory,
            learned: IndexMap::new(),
            last: now,
            next_publish: now,
            next_neighbours: now,
            clock,
        }
    }

    fn now(&self) -> Now {
        let wall = self.clock.wall().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Now { steady: self.clock.now(), wall }
    }

    /// Called first in each handler: finds out whether this daemon stood still.
    fn wake(&mut self, cx: &mut Context<Self>) -> Now {
        let now = self.now();
        let pause = now.steady.saturating_sub(self.last);
        self.last = now.steady;
        if pause >= OWN_PAUSE {
            self.confirm_all(cx);
        }
        now
    }

    /// Lets a shard decide, and carries out what it asks for.
    fn step(&mut self, name: &str, event: Event, cx: &mut Context<Self>) {
        let now = self.now();
        let Some(hosted) = self.hosted.get_mut(name) else { return };
        if let Some(held) = &mut hosted.held {
            if !matches!(event, Event::Tick) {
                held.push(event);
            }
            return;
        }
        let actions = hosted.shard.step(now, event);
        let (shard, fence) = (hosted.name.clone(), hosted.shard.fence());
        for action in actions {
            self.carry_out(&shard, fence, action, cx);
        }
    }

    fn carry_out(
        &mut self,
        shard: &Arc<str>,
        fence: Fence,
        action: Action,
        cx: &mut Context<Self>,
    ) {
        match action {
            Action::Look { .. }
            | Action::Start { .. }
            | Action::Stop { .. }
            | Action::Pace { .. } => {
                let Some(rings) = &mut self.rings else { return };
                // The order's answer never comes if its duty has ended, and nothing else does then.
                let _ = rings.orders.push(Order { shard: shard.clone(), fence, action });
            }
            Action::Ask(req) => self.ask_permits(shard, fence, req, cx),
            Action::Commit { seq, txn } => {
                if let Some(rings) = &self.rings {
                    rings.commits.do_send(Commit { shard: shard.to_string(), seq, txn });
                }
            }
            Action::Reply { ticket, answer } => self.reply(ticket, Reply::Answer(answer)),
            Action::Note(note) => {
                self.hear_of_job(shard, &note);
                self.journal.write(note);
            }
            Action::Tell { to, fence, msg } => self.tell(shard, &to, fence, msg, cx),
            Action::Fenced => self.drop_shard(shard, "a VM has seen a later owner", cx),
            Action::HandedOver => self.handed_over(shard, cx),
        }
    }

    /// Asks the service that permits steps, through the daemon with the fewest questions of ours.
    fn ask_permits(
        &mut self,
        shard: &Arc<str>,
        fence: Fence,
        req: PermitReq,
        cx: &mut Context<Self>,
    ) {
        let through = self.ownership.members().into_iter().filter(may_ask).min_by_key(|member| {
            let asked = self.asking.get(&member.name).copied().unwrap_or(0);
            (asked, xxh3_64(format!("{}/{}", req.step, member.name).as_bytes()))
        });
        let here = self.asking.get(&self.ownership.me().name).copied().unwrap_or(0);
        let through =
            through.filter(|member| here > self.asking.get(&member.name).copied().unwrap_or(0));
        let Some(rings) = &mut self.rings else { return };
        let name = through.as_ref().unwrap_or(self.ownership.me()).name.clone();
        *self.asking.entry(name.clone()).or_default() += 1;
        let (sent, step, vms) = (self.last, req.step, req.vms.clone());
        let answer: Pin<Box<dyn Future<Output = _>>> = match through {
            Some(to) => Box::pin(rings.links.send(ForwardPermitRequest { to, req })),
            None => Box::pin(rings.asker.send(AskHere(req))),
        };
        let shard = shard.clone();
        cx.spawn(answer.into_actor(self).map(move |answer, this, cx| {
            if let Some(asked) = this.asking.get_mut(&name) {
                *asked = asked.saturating_sub(1);
            }
            let ended = |e: MailboxError| permit::Error::NotSent { reason: e.to_string() };
            let result = answer.map_err(ended).flatten();
            let event = Event::Permitted { step, vms, sent, result };
            cx.notify(Told { shard, fence, event });
        }));
    }

    /// Says something to the owner of another shard, wherever that is.
    fn tell(
        &mut self,
        from: &Arc<str>,
        to: &Arc<str>,
        fence: Fence,
        msg: LoanMsg,
        cx: &mut Context<Self>,
    ) {
        if self.hosted.contains_key(&**to) {
            // Not at once: the shard that says it is being stepped.
            let (from, to) = (from.clone(), to.clone());
            cx.notify(HandleLoanMessage { shard: to, from, fence, msg });
            return;
        }
        // Without an owner it is lost, and said again.
        let (Some(owner), Some(rings)) = (self.ownership.owner(to), &self.rings) else { return };
        let (shard, from) = (to.to_string(), from.to_string());
        rings.links.do_send(SendLoanMessage { to: owner, shard, from, fence, msg });
    }

    fn tick(&mut self, cx: &mut Context<Self>) {
        let now = self.wake(cx);
        let names: Vec<String> = self.hosted.keys().cloned().collect();
        for name in names {
            self.step(&name, Event::Tick, cx);
        }
        if now.steady >= self.next_publish {
            self.next_publish = now.steady + PUBLISH;
            self.own(cluster::Event::Tick, cx);
            if now.steady >= self.next_upkeep {
                self.next_upkeep = now.steady + UPKEEP_EVERY;
                self.go_on_with_upkeep(cx);
            }
            if now.steady >= self.next_neighbours {
                self.next_neighbours = now.steady + NEIGHBOURS_EVERY;
                self.summarize();
                self.tell_neighbours(cx);
            }
            self.publish(now.steady);
        }
        if let Some(rings) = &mut self.rings {
            rings.orders.flush();
        }
    }

    fn go_on_with_upkeep(&mut self, cx: &mut Context<Self>) {
        let own = |(name, hosted): (&String, &Hosted)| OwnShard {
            name: name.clone(),
            fence: hosted.shard.fence(),
            vacated: hosted.shard.vacated(),
        };
        let shards = self.hosted.iter().map(own).collect();
        self.keep_up(upkeep::duty::Event::Tick(shards), cx);
    }

    /// Lets the duty of upkeep decide, and carries out what it asks for.
    fn keep_up(&mut self, event: upkeep::duty::Event, cx: &mut Context<Self>) {
        let now = self.clock.now();
        for action in self.upkeep.step(now, event) {
            match action {
                upkeep::duty::Action::Note(note) => self.journal.write(note),
                upkeep::duty::Action::Vacate { shard, order } => {
                    self.step(&shard, Event::Vacate(order), cx);
                }
                other => {
                    if let Some(rings) = &self.rings {
                        rings.upkeep.do_send(Upkeep(other));
                    }
                }
            }
        }
    }
}

/// Whether a daemon may ask for others.
fn may_ask(member: &Member) -> bool {
    member.stage == MemberStage::Serving
}

impl Actor for Control {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Self::Context) {
        cx.set_mailbox_capacity(RING_CAPACITY);
        cx.run_interval(TICK, Self::tick);
    }
}

/// What a ring from control does when it is full.
pub const ACTIONS: WhenFull = WhenFull::Wait { limit: WAITING_ACTIONS };
