//! The duty that decides: it holds the shards that this daemon owns, and who owns which.
//!
//! It never waits. After a pause of its own, the machine's suspension included, it asks the store
//! whether it still owns its shards before it gives any order.

#[cfg(test)]
mod tests;

use super::calls::{Call, Reply};
use super::links::{AskThrough, Links, Offer, Probe, SayHello, Tell};
use super::machines::Upkeep;
use super::orders::{AskHere, Order};
use super::records::{Claim, Commit, Confirm, Confirmation, Forget, ReadHeads};
use super::view::{Directory, Owner, Readiness, ShardView, View};
use crate::clock::Clock;
use crate::cluster::ownership::OWN_PAUSE;
use crate::cluster::{
    self, HandOver, Head, Hello, Member, MemberStage, Ownership, Plan, ShardNews, StoreReach,
};
use crate::ids::{DaemonId, Ticket};
use crate::job::JobId;
use crate::job::check::Shapes;
use crate::journal::Journal;
use crate::note::{Ms, Note};
use crate::permit::{self, PermitReq};
use crate::queues::Queues;
use crate::ring::{RING_CAPACITY, Ring, WhenFull};
use crate::shard::interference::Learned;
use crate::shard::loan::LoanMsg;
use crate::shard::{
    self, Action, Announcements, Answer, CommitResult, Event, Lapse, Neighbour, Now, Recovered,
    Shard, Summary,
};
use crate::upkeep::duty::{Duty, OwnShard};
use crate::upkeep::{self, Wave};
use crate::vm::{Fence, VmEntry};
use actix::prelude::*;
use indexmap::IndexMap;
use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime};
use tokio::sync::{oneshot, watch};
use xxhash_rust::xxh3::xxh3_64;

/// Between two looks at the time. Orders that wait for their turn are late by half of it.
const TICK: Duration = Duration::from_millis(20);

/// Between two publications of who owns what.
const PUBLISH: Duration = Duration::from_millis(100);

/// Between two looks at the waves of upkeep.
const UPKEEP_EVERY: Duration = Duration::from_millis(200);

/// How long an accepted job is told of: with three hellos, so that one may be lost.
const TOLD_FOR: Duration = Duration::from_millis(1200);

/// Between two tellings of the shards here what is known of the others, and two summaries of the
/// shards here; both cost as much as some dozen events.
const NEIGHBOURS_EVERY: Duration = Duration::from_millis(200);

/// Age up to which another shard's news are gone by for lending.
const FRESH_NEIGHBOUR: Duration = Duration::from_millis(1500);

/// Between two tellings of what was learned of how images disturb each other: 2 KB with 45 pairs.
const LEARNED_EVERY: Duration = Duration::from_millis(1500);

/// Age of the configuration's last confirmation up to which callers are taken: operators' changes
/// must be in force within 2 s.
const CONFIG_FRESH: Duration = Duration::from_millis(1900);

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
    config_confirmed: Duration,
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
    /// A duty that owns nothing.
    pub fn new(
        me: Member,
        settings: shard::Settings,
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
            config_confirmed: Duration::ZERO,
            fleet: Vec::new(),
            shapes: Arc::default(),
            plan: Plan::default(),
            store: StoreReach::Away,
            store_lost: None,
            upkeep,
            next_upkeep: now,
            asking: IndexMap::new(),
            offered: IndexMap::new(),
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

    fn confirm_all(&mut self, cx: &mut Context<Self>) {
        let names: Vec<String> = self.hosted.keys().cloned().collect();
        for name in names {
            let Some(hosted) = self.hosted.get_mut(&name) else { continue };
            hosted.held.get_or_insert_default();
            self.confirm(name, cx);
        }
    }

    fn confirm(&mut self, shard: String, cx: &mut Context<Self>) {
        let Some(rings) = &self.rings else { return };
        let owner = self.ownership.me().id.clone();
        let asked = rings.confirm.send(Confirm { shard: shard.clone(), owner });
        cx.spawn(asked.into_actor(self).map(move |answer, this, cx| match answer {
            Ok(Confirmation::Owned) => this.go_on(&shard, cx),
            Ok(Confirmation::Lost) => this.drop_shard(&shard, "another daemon owns it", cx),
            Ok(Confirmation::Unknown) | Err(_) => {
                cx.run_later(CONFIRM_RETRY, move |this, cx| {
                    if this.hosted.get(&shard).is_some_and(|hosted| hosted.held.is_some()) {
                        this.confirm(shard, cx);
                    }
                });
            }
        }));
    }

    fn go_on(&mut self, shard: &str, cx: &mut Context<Self>) {
        let held = self.hosted.get_mut(shard).and_then(|hosted| hosted.held.take());
        for event in held.into_iter().flatten() {
            self.step(shard, event, cx);
        }
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
            Some(to) => Box::pin(rings.links.send(AskThrough { to, req })),
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
            cx.notify(TakeMessage { shard: to, from, fence, msg });
            return;
        }
        // Without an owner it is lost, and said again.
        let (Some(owner), Some(rings)) = (self.ownership.owner(to), &self.rings) else { return };
        let (shard, from) = (to.to_string(), from.to_string());
        rings.links.do_send(Tell { to: owner, shard, from, fence, msg });
    }

    /// Tells the shards here what is known of the others.
    fn tell_neighbours(&mut self, cx: &mut Context<Self>) {
        let now = self.clock.now();
        let mut known: Vec<Neighbour> = Vec::new();
        for (name, view) in &self.others {
            let fresh = now.saturating_sub(view.at) < FRESH_NEIGHBOUR;
            if fresh && self.ownership.owner(name).is_some() && !self.hosted.contains_key(name) {
                let (name, summary) = (Arc::from(name.as_str()), view.summary.clone());
                let fence = self.ownership.fence(&name);
                known.push(Neighbour { name, fence, summary });
            }
        }
        for hosted in self.hosted.values() {
            let (name, summary) = (hosted.name.clone(), hosted.summary.clone());
            known.push(Neighbour { name, fence: hosted.shard.fence(), summary });
        }
        let daemons = self.ownership.members().len() + 1;
        let shards = self.ownership.shards().len().max(1);
        let askers = u32::try_from(daemons.div_ceil(shards)).unwrap_or(1);
        let names: Vec<String> = self.hosted.keys().cloned().collect();
        for name in names {
            self.step(&name, Event::Askers(askers), cx);
            let others = known.iter().filter(|other| *other.name != *name).cloned().collect();
            self.step(&name, Event::Neighbours(others), cx);
        }
    }

    fn hear_of_job(&mut self, shard: &Arc<str>, note: &Note) {
        if let Note::JobAccepted { job, .. } = note {
            self.add_to_directory(*job, shard);
            if let Some(hosted) = self.hosted.get_mut(&**shard) {
                hosted.accepted.push_back((self.last, *job));
            }
        }
    }

    fn add_to_directory(&self, job: JobId, shard: &Arc<str>) {
        self.directory.lock().unwrap_or_else(PoisonError::into_inner).add(job, shard);
    }

    fn reply(&mut self, ticket: Ticket, reply: Reply) {
        if let Some(tx) = self.tickets.swap_remove(&ticket) {
            // A caller that has gone doesn't wait for its answer.
            let _ = tx.send(reply);
        }
    }

    fn handed_over(&mut self, shard: &str, cx: &mut Context<Self>) {
        let to = self.hosted.get(shard).and_then(|hosted| hosted.to.clone());
        let from = self.ownership.me().id.clone();
        if let (Some(to), Some(rings)) = (to, &self.rings)
            && to.id != from
        {
            let lapses = self.hosted.get(shard).map(|hosted| hosted.shard.lapses());
            let (shard, lapses) = (shard.to_owned(), lapses.unwrap_or_default());
            rings.links.do_send(Offer { shard, to, from, lapses });
        }
        self.drop_shard(shard, "given away", cx);
    }

    fn drop_shard(&mut self, shard: &str, reason: &'static str, cx: &mut Context<Self>) {
        let Some(mut hosted) = self.hosted.shift_remove(shard) else { return };
        for event in hosted.held.take().into_iter().flatten() {
            // Not decided on, so it had no effect: the caller was left waiting, and can ask the owner.
            if let Some(ticket) = event.ticket() {
                self.reply(ticket, Reply::NotOwner);
            }
        }
        for action in hosted.shard.abandon() {
            if let Action::Reply { ticket, answer } = action {
                self.reply(ticket, Reply::Answer(answer));
            }
        }
        if let Some(rings) = &self.rings {
            rings.forget.do_send(Forget { shard: shard.to_owned() });
        }
        let gone = cluster::Event::Gone { shard: shard.to_owned(), reason };
        self.own(gone, cx);
    }

    /// Lets ownership decide, and carries out what it asks for.
    fn own(&mut self, event: cluster::Event, cx: &mut Context<Self>) {
        let now = self.now().steady;
        let actions = self.ownership.step(now, event);
        for action in actions {
            match action {
                cluster::Action::Note(note) => self.journal.write(note),
                cluster::Action::HandOver { shard, to, how } => {
                    if let Some(hosted) = self.hosted.get_mut(&shard) {
                        hosted.to = Some(to);
                    }
                    match how {
                        HandOver::Settled => self.step(&shard, Event::HandOver, cx),
                        HandOver::AtOnce => self.handed_over(&shard, cx),
                    }
                }
                other => self.ask(other),
            }
        }
    }

    fn ask(&mut self, action: cluster::Action) {
        let Some(rings) = &self.rings else { return };
        match action {
            cluster::Action::Claim { shard, previous, replaces } => {
                rings.claims.do_send(Claim { shard, previous, replaces });
            }
            cluster::Action::ReadHeads => rings.heads.do_send(ReadHeads),
            cluster::Action::Probe(member) => rings.links.do_send(Probe(member)),
            cluster::Action::HandOver { .. } | cluster::Action::Note(_) => {}
        }
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

    fn summarize(&mut self) {
        let now = self.clock.now();
        for hosted in self.hosted.values_mut() {
            hosted.summary = Arc::new(hosted.shard.summary());
            hosted.summarized = now;
        }
    }

    fn publish(&mut self, now: Duration) {
        let mut shards = IndexMap::new();
        for name in self.ownership.shards() {
            let view = match self.hosted.get_mut(&name) {
                Some(hosted) => {
                    let (summary, at) = (hosted.summary.clone(), hosted.summarized);
                    ShardView { owner: Some(Owner::Here), summary, at }
                }
                None => self.other(&name),
            };
            shards.insert(name, view);
        }
        let readiness = self.readiness(now, &shards);
        let before = self.view.borrow().readiness;
        if before != readiness {
            let (ready, reason) = match readiness {
                Readiness::Ready => (true, "callers can be served"),
                Readiness::Not { reason } => (false, reason),
            };
            self.journal.write(Note::Readiness { ready, reason });
        }
        let queues = self.queues.clone();
        self.view.send_replace(Arc::new(View {
            queues,
            shards,
            readiness,
            shapes: self.shapes.clone(),
        }));
        self.say_hello();
    }

    fn other(&self, name: &str) -> ShardView {
        let known = self.others.get(name);
        ShardView {
            owner: self.ownership.owner(name).map(Owner::Other),
            summary: known.map(|view| view.summary.clone()).unwrap_or_default(),
            at: known.map_or(Duration::ZERO, |view| view.at),
        }
    }

    fn readiness(&self, now: Duration, shards: &IndexMap<String, ShardView>) -> Readiness {
        let not = |reason| Readiness::Not { reason };
        if self.ownership.me().stage == MemberStage::Draining {
            return not("the daemon stops");
        }
        if self.queues.is_none() {
            return not("no configuration was read yet");
        }
        if now.saturating_sub(self.config_confirmed) > CONFIG_FRESH
            && !self.ownership.store_in_reach()
        {
            return not("the store can't be reached");
        }
        if !shards.values().any(|shard| shard.owner.is_some()) {
            return not("no shard has an owner");
        }
        Readiness::Ready
    }

    /// Greets whoever is to be greeted now.
    fn say_hello(&mut self) {
        let now = self.clock.now();
        let to = self.ownership.to_greet(now);
        if to.is_empty() {
            return;
        }
        let hello = Hello {
            from: self.ownership.me().clone(),
            store: self.store,
            config: self.queues.as_ref().map_or(0, |queues| queues.version),
            shards: self.news(),
        };
        let (owners, others) = to.into_iter().partition(|to| self.ownership.is_owner(&to.name));
        if let Some(rings) = &self.rings {
            rings.links.do_send(SayHello { hello, owners, others });
        }
    }

    fn news(&mut self) -> Vec<ShardNews> {
        let now = self.clock.now();
        let news = |(name, hosted): (&String, &mut Hosted)| {
            while hosted.accepted.front().is_some_and(|(at, _)| now.saturating_sub(*at) > TOLD_FOR)
            {
                hosted.accepted.pop_front();
            }
            let tells = now >= hosted.next_learned;
            if tells {
                hosted.next_learned = now + LEARNED_EVERY;
            }
            ShardNews {
                name: name.clone(),
                fence: hosted.shard.fence().0,
                summary: (*hosted.summary).clone(),
                accepted: hosted.accepted.iter().map(|(_, job)| *job).collect(),
                learned: if tells { hosted.shard.learned() } else { Vec::new() },
            }
        };
        self.hosted.iter_mut().map(news).collect()
    }

    /// Passes on what another shard has learned, and keeps it for shards taken over later.
    fn hear_learned(&mut self, from: &str, learned: Vec<Learned>, cx: &mut Context<Self>) {
        if learned.is_empty() {
            return;
        }
        let names: Vec<String> = self.hosted.keys().cloned().collect();
        for name in names {
            let (from, learned) = (from.to_owned(), learned.clone());
            self.step(&name, Event::Learned { from, learned }, cx);
        }
        self.learned.insert(from.to_owned(), learned);
    }

    /// VMs of a shard.
    fn vms_of(&self, shard: &str) -> Vec<VmEntry> {
        let ours = |vm: &&VmEntry| self.plan.shard_of(vm).as_deref() == Some(shard);
        self.fleet.iter().filter(ours).cloned().collect()
    }

    fn take_recovered(&mut self, mut recovered: Recovered, cx: &mut Context<Self>) {
        let now = self.now();
        let offered = self.offered.shift_remove(&recovered.shard);
        // Another owner in between may have extended work since.
        if let Some(offered) = offered.filter(|o| recovered.predecessor.as_ref() == Some(&o.from)) {
            let passed = now.steady.saturating_sub(offered.at);
            let left = |lapse: Lapse| Lapse { left: lapse.left.saturating_sub(passed), ..lapse };
            recovered.lapses = offered.lapses.into_iter().map(left).collect();
        }
        let (name, fence) = (recovered.shard.clone(), recovered.fence);
        let (closed, jobs) = (recovered.progress.len(), recovered.jobs.len());
        let accepted = recovered.progress.iter().filter(|(_, p)| p.home.is_none());
        let known: Vec<JobId> = accepted.map(|(id, _)| *id).collect();
        let shard = Shard::new(
            recovered,
            self.settings,
            self.queues.clone().unwrap_or_default(),
            self.vms_of(&name),
            now,
        );
        let shared: Arc<str> = Arc::from(name.as_str());
        known.iter().for_each(|id| self.add_to_directory(*id, &shared));
        let (_, runs) = shard.open_work();
        log_claim(&self.journal, &name, fence, jobs, runs, closed);
        let summary = Arc::new(shard.summary());
        let hosted = Hosted {
            shard,
            name: shared,
            held: None,
            accepted: known.into_iter().map(|job| (now.steady, job)).collect(),
            next_learned: now.steady + LEARNED_EVERY,
            to: None,
            summary,
            summarized: now.steady,
        };
        self.hosted.insert(name.clone(), hosted);
        for (from, learned) in self.learned.clone() {
            self.step(&name, Event::Learned { from, learned }, cx);
        }
        self.own(cluster::Event::Claimed { shard: name.clone(), fence: fence.0 }, cx);
        self.step(&name, Event::Tick, cx);
        self.ownership.greet_all();
        self.publish(now.steady);
    }

    fn take_queues(&mut self, queues: Queues, cx: &mut Context<Self>) {
        let before = self.queues.as_ref().map_or(0, |queues| queues.version);
        self.config_confirmed = self.now().steady;
        if queues.version <= before {
            return;
        }
        self.journal.write(Note::ConfigInForce {
            version: queues.version,
            before,
            queues: queues.queues.len(),
            age_ms: Ms(Duration::ZERO),
        });
        let queues = Arc::new(queues);
        self.queues = Some(queues.clone());
        self.tell_all(cx, &|| Event::Queues(queues.clone()));
        let now = self.now().steady;
        self.publish(now);
    }

    fn tell_all(&mut self, cx: &mut Context<Self>, event: &dyn Fn() -> Event) {
        let names: Vec<String> = self.hosted.keys().cloned().collect();
        for name in names {
            self.step(&name, event(), cx);
        }
    }

    fn take_fleet(
        &mut self,
        vms: Vec<VmEntry>,
        announcements: Announcements,
        at: Option<Duration>,
        cx: &mut Context<Self>,
    ) {
        if announcements == Announcements::Complete {
            Arc::make_mut(&mut self.shapes).add(&vms);
        }
        if announcements == Announcements::Complete || !vms.is_empty() {
            self.fleet = vms;
        }
        let names: Vec<String> = self.hosted.keys().cloned().collect();
        for name in names {
            let vms = self.vms_of(&name);
            self.step(&name, Event::Fleet { vms, announcements, at }, cx);
        }
    }

    fn take_reach(&mut self, reach: StoreReach, silent: Duration, reason: String) {
        let now = self.now().steady;
        match (reach, self.store) {
            (StoreReach::Away, StoreReach::Reached) => {
                self.store_lost = Some(now);
                self.journal.write(Note::StoreLost { reason, silent_ms: Ms(silent) });
            }
            (StoreReach::Reached, StoreReach::Away) => {
                let away = self.store_lost.take().map_or(Duration::ZERO, |at| now - at);
                self.journal.write(Note::StoreRegained { away_ms: Ms(away) });
            }
            _ => {}
        }
        self.store = reach;
    }
}

/// Whether a daemon may ask for others.
fn may_ask(member: &Member) -> bool {
    member.stage == MemberStage::Serving
}

/// Pause before the store is asked again whether shards are still owned.
const CONFIRM_RETRY: Duration = Duration::from_millis(150);

fn log_claim(journal: &Journal, name: &str, fence: Fence, jobs: usize, runs: usize, _: usize) {
    let shard = name.to_owned();
    let took_ms = Ms(Duration::ZERO);
    journal.write(Note::ShardOwned { shard, fence: fence.0, jobs, runs, took_ms });
}

impl Actor for Control {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Self::Context) {
        cx.set_mailbox_capacity(RING_CAPACITY);
        cx.run_interval(TICK, Self::tick);
    }
}

/// Joins control to the other duties.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Connect(pub Rings);

impl Handler<Connect> for Control {
    type Result = ();

    fn handle(&mut self, msg: Connect, _: &mut Self::Context) {
        self.rings = Some(msg.0);
    }
}

/// The answer to an order.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Told {
    pub shard: Arc<str>,
    pub fence: Fence,
    pub event: Event,
}

impl Handler<Told> for Control {
    type Result = ();

    fn handle(&mut self, msg: Told, cx: &mut Self::Context) {
        self.wake(cx);
        // An answer to an earlier ownership of the shard says nothing about this one.
        if self.hosted.get(&*msg.shard).is_some_and(|hosted| hosted.shard.fence() == msg.fence) {
            self.step(&msg.shard, msg.event, cx);
        }
    }
}

/// What the store has, or did.
#[derive(Message)]
#[rtype(result = "()")]
pub enum Stored {
    Members(Vec<Member>),
    Heads(Vec<(String, Head)>),
    Plan(Plan),
    Claimed(Box<Recovered>),
    ClaimFailed {
        shard: String,
        head: Option<Head>,
        reason: String,
    },
    Committed {
        shard: String,
        fence: Fence,
        seq: u64,
        result: CommitResult,
    },
    /// VMs as they were at some time after `at`; `None` if that isn't known.
    Fleet {
        vms: Vec<VmEntry>,
        announcements: Announcements,
        at: Option<Duration>,
    },
    Queues(Box<Queues>),
    Wave(Wave),
    /// The configuration in force was the newest then.
    ConfigConfirmed {
        at: Duration,
    },
    Reach {
        reach: StoreReach,
        silent: Duration,
        reason: String,
    },
    Note(Note),
}

impl Handler<Stored> for Control {
    type Result = ();

    fn handle(&mut self, msg: Stored, cx: &mut Self::Context) {
        self.wake(cx);
        match msg {
            Stored::Members(members) => self.own(cluster::Event::Registered(members), cx),
            Stored::Heads(heads) => self.own(cluster::Event::Heads(heads), cx),
            Stored::Plan(plan) => {
                if plan != self.plan {
                    self.plan = plan.clone();
                    self.keep_up(upkeep::duty::Event::Plan(plan.clone()), cx);
                    self.own(cluster::Event::Plan(plan), cx);
                }
            }
            Stored::Claimed(recovered) => self.take_recovered(*recovered, cx),
            Stored::ClaimFailed { shard, head, reason } => {
                self.own(cluster::Event::ClaimFailed { shard, head, reason }, cx);
            }
            Stored::Committed { shard, fence, seq, result } => {
                if self.hosted.get(&shard).is_some_and(|hosted| hosted.shard.fence() == fence) {
                    let lost = matches!(result, CommitResult::Superseded(_));
                    self.step(&shard, Event::Committed { seq, result }, cx);
                    if lost {
                        self.drop_shard(&shard, "another daemon owns it", cx);
                    }
                }
            }
            Stored::Fleet { vms, announcements, at } => {
                self.take_fleet(vms, announcements, at, cx);
            }
            Stored::Queues(queues) => self.take_queues(*queues, cx),
            Stored::Wave(wave) => self.keep_up(upkeep::duty::Event::Wave(wave), cx),
            Stored::ConfigConfirmed { at } => self.config_confirmed = at,
            Stored::Reach { reach, silent, reason } => {
                self.take_reach(reach, silent, reason);
                self.own(cluster::Event::Store(reach), cx);
            }
            Stored::Note(note) => self.journal.write(note),
        }
    }
}

/// What became of something that was done for a wave.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Upkept(pub upkeep::duty::Event);

impl Handler<Upkept> for Control {
    type Result = ();

    fn handle(&mut self, msg: Upkept, cx: &mut Self::Context) {
        self.wake(cx);
        self.keep_up(msg.0, cx);
    }
}

/// Another daemon's news.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Hear(pub Hello);

impl Handler<Hear> for Control {
    type Result = ();

    fn handle(&mut self, msg: Hear, cx: &mut Self::Context) {
        let now = self.wake(cx).steady;
        for news in &msg.0.shards {
            let shared: Arc<str> = Arc::from(news.name.as_str());
            news.accepted.iter().for_each(|job| self.add_to_directory(*job, &shared));
            let summary = Arc::new(news.summary.clone());
            self.others.insert(news.name.clone(), ShardView { owner: None, summary, at: now });
        }
        let learned: Vec<(String, Vec<Learned>)> =
            msg.0.shards.iter().map(|news| (news.name.clone(), news.learned.clone())).collect();
        for (from, learned) in learned {
            self.hear_learned(&from, learned, cx);
        }
        self.own(cluster::Event::Hello(msg.0), cx);
    }
}

/// Another daemon's port refuses connections.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Refused(pub DaemonId);

impl Handler<Refused> for Control {
    type Result = ();

    fn handle(&mut self, msg: Refused, cx: &mut Self::Context) {
        self.wake(cx);
        self.own(cluster::Event::Refused(msg.0), cx);
    }
}

/// A caller's call about a shard.
#[derive(Message)]
#[rtype(result = "Reply")]
pub struct TakeCall {
    pub shard: String,
    pub call: Call,
}

impl Handler<TakeCall> for Control {
    type Result = ResponseFuture<Reply>;

    fn handle(&mut self, msg: TakeCall, cx: &mut Self::Context) -> Self::Result {
        self.wake(cx);
        if !self.hosted.contains_key(&msg.shard) {
            return Box::pin(std::future::ready(Reply::NotOwner));
        }
        let (tx, rx) = oneshot::channel();
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        self.tickets.insert(ticket, tx);
        let event = match msg.call {
            Call::Submit(job, urge) => Event::Submit { ticket, job: Arc::from(job), urge },
            Call::Cancel(job) => Event::Cancel { ticket, job },
            Call::Show(job) => Event::Show { ticket, job },
        };
        self.step(&msg.shard, event, cx);
        Box::pin(async move {
            let lost = || Answer::Unknown { reason: "the shard has changed hands".to_owned() };
            rx.await.unwrap_or_else(|_| Reply::Answer(lost()))
        })
    }
}

/// Another daemon gives a shard to this one.
#[derive(Message)]
#[rtype(result = "()")]
pub struct TakeOffer {
    pub shard: String,
    pub from: DaemonId,
    pub lapses: Vec<Lapse>,
}

impl Handler<TakeOffer> for Control {
    type Result = ();

    fn handle(&mut self, msg: TakeOffer, cx: &mut Self::Context) {
        self.wake(cx);
        let offer = Offered { from: msg.from.clone(), at: self.last, lapses: msg.lapses };
        self.offered.insert(msg.shard.clone(), offer);
        self.own(cluster::Event::Offered { shard: msg.shard, from: msg.from }, cx);
    }
}

/// Another shard's owner says something about a loan.
#[derive(Message)]
#[rtype(result = "()")]
pub struct TakeMessage {
    pub shard: Arc<str>,
    pub from: Arc<str>,
    /// Token of the owner that it is meant for.
    pub fence: Fence,
    pub msg: LoanMsg,
}

impl Handler<TakeMessage> for Control {
    type Result = ();

    fn handle(&mut self, msg: TakeMessage, cx: &mut Self::Context) {
        self.wake(cx);
        self.step(&msg.shard, Event::Message { from: msg.from, to: msg.fence, msg: msg.msg }, cx);
    }
}

/// The daemon stops as planned.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Drain;

impl Handler<Drain> for Control {
    type Result = ();

    fn handle(&mut self, _: Drain, cx: &mut Self::Context) {
        let now = self.wake(cx).steady;
        self.own(cluster::Event::Drain, cx);
        self.ownership.greet_all();
        self.publish(now);
    }
}

/// Asks whether any shard is still owned here.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct OwnsAny;

impl Handler<OwnsAny> for Control {
    type Result = bool;

    fn handle(&mut self, _: OwnsAny, _: &mut Self::Context) -> Self::Result {
        !self.hosted.is_empty()
    }
}

/// What a ring from control does when it is full.
pub const ACTIONS: WhenFull = WhenFull::Wait { limit: WAITING_ACTIONS };
