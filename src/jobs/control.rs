//! Actor that runs the shards owned by this daemon and tracks the owners of the others.
//!
//! Its handlers never block. After a pause of the process, such as a suspension of the machine, it
//! confirms in the store that it still owns its shards before it makes any further call to a VM.

mod ended;
mod failure;
mod messages;
mod publish;
mod shards;
mod status;
#[cfg(test)]
mod tests;

pub use status::GetStatus;

pub use messages::{
    Connect, ConnectionRefused, Drain, ExternalCallResult, HandleCall, HandleLoanMessage,
    HandleOffer, HasShards, HelloReceived, ReleaseShards, StoreEvent, UpkeepResult,
};

use super::calls::Reply;
use super::claim::CommitRequest;
use super::confirmed::ConfigConfirmation;
use super::links::{ForwardPermitRequest, PeerLinks, SendLoanMessage};
use super::machines::UpkeepAction;
use super::orders::{RequestPermits, VmCall};
use super::records::{ClaimShard, CommitShard, ConfirmOwnership, ReadHeads, RemoveShard};
use super::view::{JobDirectory, ShardView, View};
use crate::clock::Clock;
use crate::cluster::ownership::OWN_PAUSE_THRESHOLD;
use crate::cluster::{self, Member, MemberStage, Ownership, Plan, StoreReachability};
use crate::evacuation::Evacuations;
use crate::ids::Ticket;
use crate::job::JobId;
use crate::job::check::VmShapes;
use crate::journal::Journal;
use crate::permit::{self, PermitReq};
use crate::queues::Queues;
use crate::ring::{RING_CAPACITY, Ring, WhenFull};
use crate::shard::learned::Learned;
use crate::shard::loan::LoanMsg;
use crate::shard::{self, Action, Event, Now, ReportedLapse, Shard, Summary, VmLapse};
use crate::upkeep::duty::{OwnedShard, WaveScheduler};
use crate::upkeep::{self};
use crate::vm::{Departure, Fence, VmEntry};
use actix::prelude::*;
use ended::EndedOwnerships;
use indexmap::IndexMap;
use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};
use tokio::sync::{oneshot, watch};
use xxhash_rust::xxh3::xxh3_64;

/// Interval of timer events while this daemon owns shards. VM calls that wait for one are late by
/// half of it on average.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Interval at which the view of the shards and their owners is published, and of timer events while
/// this daemon owns no shard.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which upkeep waves are advanced.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(200);

/// Interval at which the local shards are summarized and informed about the other shards. Each of
/// the two costs as much as a few dozen events.
const NEIGHBOUR_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum number of actions that wait for another actor's ring.
const MAX_PENDING_ACTIONS: usize = 100_000;

/// Connections to the other actors.
pub struct ActorHandles {
    pub vm_calls: Ring<VmCall>,
    pub permits: Recipient<RequestPermits>,
    pub upkeep: Recipient<UpkeepAction>,
    pub links: Addr<PeerLinks>,
    pub claims: Recipient<ClaimShard>,
    pub commits: Recipient<CommitShard>,
    pub removals: Recipient<RemoveShard>,
    pub heads: Recipient<ReadHeads>,
    pub confirmations: Recipient<ConfirmOwnership>,
}

/// A shard owned by this daemon.
struct HostedShard {
    shard: Shard,
    name: Arc<str>,
    /// Fencing token of the previous owner.
    predecessor: Option<Fence>,
    /// Events deferred until ownership is confirmed; `None` while no confirmation is pending.
    deferred: Option<Vec<Event>>,
    /// Recently accepted jobs, with the time of acceptance.
    accepted: VecDeque<(Duration, JobId)>,
    /// When what the shard has learned is next sent to other daemons.
    next_learned_at: Duration,
    summary: Arc<Summary>,
    summary_at: Duration,
}

/// A caller's request to a shard, which its owner hasn't answered yet.
struct PendingCall {
    shard: String,
    tx: oneshot::Sender<Reply>,
}

/// Another daemon's offer to hand a shard over to this one, or this daemon's own one.
struct ShardOffer {
    /// Fencing token of the ownership that ended with the offer.
    fence: Fence,
    at: Duration,
    lapses: Vec<VmLapse>,
}

impl ShardOffer {
    /// The remaining times, adjusted to the time passed since.
    fn aged(&self, now: Duration) -> Vec<VmLapse> {
        let passed = now.saturating_sub(self.at);
        self.lapses.iter().map(|lapse| lapse.clone().aged(passed)).collect()
    }
}

/// Order of the reports on a shard: by its owner's fencing token, then by the owner's hellos.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ReportOrder {
    fence: u64,
    hello: u64,
}

/// Another daemon's newest report on its shard.
struct RemoteShard {
    order: ReportOrder,
    view: ShardView,
}

/// A shard owner's last report on silent VMs, with its time.
struct TimedLapses {
    at: Duration,
    lapses: Vec<ReportedLapse>,
}

impl TimedLapses {
    /// Adjusts the report to the time passed since.
    fn aged(self, now: Duration) -> Vec<ReportedLapse> {
        let passed = now.saturating_sub(self.at);
        self.lapses.into_iter().map(|lapse| lapse.aged(passed)).collect()
    }
}

/// A shard's last report on what it has learned itself, with its time.
struct TimedLearned {
    at: Duration,
    learned: Learned,
}

/// Actor that runs the daemon's shards.
pub struct Control {
    settings: shard::Settings,
    clock: Arc<dyn Clock>,
    journal: Journal,
    ownership: Ownership,
    actors: Option<ActorHandles>,
    hosted: IndexMap<String, HostedShard>,
    remote_shards: IndexMap<String, RemoteShard>,
    queues: Option<Arc<Queues>>,
    config_confirmation: ConfigConfirmation,
    /// Whether the loss of the configuration's confirmation was logged.
    config_unconfirmed: bool,
    /// Last error in reading the configuration since its last confirmation.
    config_error: Option<String>,
    /// Evacuations of failure domains, and when they were last read; `None` until then.
    evacuations: Option<(Arc<Evacuations>, Duration)>,
    fleet: Vec<VmEntry>,
    /// VMs that have left recently, for shards that are claimed later.
    departures: VecDeque<Departure>,
    vm_shapes: Arc<VmShapes>,
    plan: Plan,
    store_reach: StoreReachability,
    store_lost_at: Option<Duration>,
    upkeep: WaveScheduler,
    next_upkeep: Duration,
    /// Number of open permit requests by the daemon that sends them to the service.
    permit_requests: IndexMap<String, u32>,
    offers: IndexMap<String, ShardOffer>,
    reported_lapses: IndexMap<String, TimedLapses>,
    /// Last ownership of each shard that is known to have ended.
    ended: EndedOwnerships,
    tickets: IndexMap<Ticket, PendingCall>,
    next_ticket: u64,
    view: watch::Sender<Arc<View>>,
    directory: Arc<Mutex<JobDirectory>>,
    /// What each shard has learned itself, as last reported.
    learned: IndexMap<String, TimedLearned>,
    next_local_learned: Duration,
    /// When a handler last started.
    last_wake: Duration,
    /// Number of the last hello that was composed.
    last_hello: u64,
    next_publish: Duration,
    next_neighbours: Duration,
    next_tick: Option<SpawnHandle>,
}

impl Control {
    /// Creates an actor without shards. A configuration change takes effect on all daemons within
    /// `config_in_force`.
    pub fn new(
        me: Member,
        settings: shard::Settings,
        config_in_force: Duration,
        clock: Arc<dyn Clock>,
        journal: Journal,
        view: watch::Sender<Arc<View>>,
        directory: Arc<Mutex<JobDirectory>>,
    ) -> Self {
        let now = clock.now();
        let upkeep = WaveScheduler::new(&me.name);
        Self {
            settings,
            journal,
            ownership: Ownership::new(me, now),
            actors: None,
            hosted: IndexMap::new(),
            remote_shards: IndexMap::new(),
            queues: None,
            config_confirmation: ConfigConfirmation::new(now, config_in_force),
            config_unconfirmed: false,
            config_error: None,
            evacuations: None,
            fleet: Vec::new(),
            departures: VecDeque::new(),
            vm_shapes: Arc::default(),
            plan: Plan::default(),
            store_reach: StoreReachability::Away,
            store_lost_at: None,
            upkeep,
            next_upkeep: now,
            permit_requests: IndexMap::new(),
            offers: IndexMap::new(),
            reported_lapses: IndexMap::new(),
            ended: EndedOwnerships::default(),
            tickets: IndexMap::new(),
            next_ticket: 0,
            view,
            directory,
            learned: IndexMap::new(),
            next_local_learned: now,
            last_wake: now,
            last_hello: 0,
            next_publish: now,
            next_neighbours: now,
            next_tick: None,
            clock,
        }
    }

    fn now(&self) -> Now {
        let wall = self.clock.wall().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Now { steady: self.clock.now(), wall }
    }

    /// Called first in each handler: after a pause of the process, starts to confirm ownership.
    fn begin_handler(&mut self, cx: &mut Context<Self>) -> Now {
        let now = self.now();
        let pause = now.steady.saturating_sub(self.last_wake);
        self.last_wake = now.steady;
        if pause >= OWN_PAUSE_THRESHOLD {
            self.confirm_all_ownership(cx);
        }
        now
    }

    /// Passes an event to a shard and executes the resulting actions.
    fn step_shard(&mut self, name: &str, event: Event, cx: &mut Context<Self>) {
        let now = self.now();
        let Some(hosted) = self.hosted.get_mut(name) else { return };
        if let Some(deferred) = &mut hosted.deferred {
            if !matches!(event, Event::Tick) {
                deferred.push(event);
            }
            return;
        }
        let actions = match hosted.step(now, event) {
            Ok(actions) => actions,
            Err(failure) => return self.end_failed_shard(name, &failure, cx),
        };
        let (shard, fence) = (hosted.name.clone(), hosted.shard.fence());
        for action in actions {
            self.execute(&shard, fence, action, cx);
        }
    }

    fn execute(&mut self, shard: &Arc<str>, fence: Fence, action: Action, cx: &mut Context<Self>) {
        match action {
            Action::Poll { .. }
            | Action::Start { .. }
            | Action::Stop { .. }
            | Action::Pace { .. } => {
                let Some(actors) = &mut self.actors else { return };
                // The push fails only if the receiving actor has ended; no call is answered then.
                let _ = actors.vm_calls.push(VmCall { shard: shard.clone(), fence, action });
            }
            Action::RequestPermits(req) => self.request_permits(shard, fence, req, cx),
            Action::Commit { seq, earlier_active, txn } => {
                if let Some(actors) = &self.actors {
                    let request = CommitRequest { seq, earlier_active, txn };
                    actors.commits.do_send(CommitShard { shard: shard.to_string(), request });
                }
            }
            Action::Reply { ticket, answer } => self.reply(ticket, Reply::Answer(answer)),
            Action::Note(note) => {
                self.record_accepted_job(shard, &note);
                self.journal.write(note);
            }
            Action::SendLoanMessage { to, fence, msg } => {
                self.send_loan_message(shard, &to, fence, msg, cx)
            }
            Action::Fenced => self.drop_shard(shard, "a VM reported a newer owner", cx),
            Action::HandedOver => self.complete_hand_over(shard, cx),
        }
    }

    /// Asks the permit service, through the daemon with the fewest open requests of this one.
    fn request_permits(
        &mut self,
        shard: &Arc<str>,
        fence: Fence,
        req: PermitReq,
        cx: &mut Context<Self>,
    ) {
        let through =
            self.ownership.members().into_iter().filter(can_forward_permits).min_by_key(|member| {
                let open = self.permit_requests.get(&member.name).copied().unwrap_or(0);
                (open, xxh3_64(format!("{}/{}", req.step, member.name).as_bytes()))
            });
        let open_here = self.permit_requests.get(&self.ownership.me().name).copied().unwrap_or(0);
        let through = through.filter(|member| {
            open_here > self.permit_requests.get(&member.name).copied().unwrap_or(0)
        });
        let Some(actors) = &mut self.actors else { return };
        let name = through.as_ref().unwrap_or(self.ownership.me()).name.clone();
        *self.permit_requests.entry(name.clone()).or_default() += 1;
        let (sent, step, vms) = (self.last_wake, req.step, req.vms.clone());
        let answer: Pin<Box<dyn Future<Output = _>>> = match through {
            Some(to) => Box::pin(actors.links.send(ForwardPermitRequest { to, req })),
            None => Box::pin(actors.permits.send(RequestPermits(req))),
        };
        let shard = shard.clone();
        cx.spawn(answer.into_actor(self).map(move |answer, this, cx| {
            if let Some(open) = this.permit_requests.get_mut(&name) {
                *open = open.saturating_sub(1);
            }
            let ended = |e: MailboxError| permit::Error::NotSent { reason: e.to_string() };
            let result = answer.map_err(ended).flatten();
            let event = Event::Permitted { step, vms, sent, result };
            cx.notify(ExternalCallResult { shard, fence, event });
        }));
    }

    /// Sends a message about lent tasks to the owner of another shard, local or remote.
    fn send_loan_message(
        &mut self,
        from: &Arc<str>,
        to: &Arc<str>,
        fence: Fence,
        msg: LoanMsg,
        cx: &mut Context<Self>,
    ) {
        if self.hosted.contains_key(&**to) {
            // Queued as a message, since the sending shard is still processing its event.
            let (from, to) = (from.clone(), to.clone());
            cx.notify(HandleLoanMessage { shard: to, from, fence, msg });
            return;
        }
        // Without an owner the message is lost; the sending shard repeats it.
        let (Some(owner), Some(actors)) = (self.ownership.owner(to), &self.actors) else { return };
        let (shard, from) = (to.to_string(), from.to_string());
        actors.links.do_send(SendLoanMessage { to: owner, shard, from, fence, msg });
    }

    /// Schedules the next timer event, in place of the one that is already scheduled.
    fn schedule_tick(&mut self, cx: &mut Context<Self>) {
        let interval = if self.hosted.is_empty() { PUBLISH_INTERVAL } else { TICK_INTERVAL };
        if let Some(handle) = self.next_tick.take() {
            cx.cancel_future(handle);
        }
        self.next_tick = Some(cx.run_later(interval, |this, cx| {
            this.next_tick = None;
            this.tick(cx);
            this.schedule_tick(cx);
        }));
    }

    fn tick(&mut self, cx: &mut Context<Self>) {
        let now = self.begin_handler(cx);
        let names: Vec<String> = self.hosted.keys().cloned().collect();
        for name in names {
            self.step_shard(&name, Event::Tick, cx);
        }
        if now.steady >= self.next_publish {
            self.next_publish = now.steady + PUBLISH_INTERVAL;
            self.step_ownership(cluster::Event::Tick, cx);
            if now.steady >= self.next_upkeep {
                self.next_upkeep = now.steady + UPKEEP_INTERVAL;
                self.tick_upkeep(cx);
            }
            if now.steady >= self.next_neighbours {
                self.next_neighbours = now.steady + NEIGHBOUR_INTERVAL;
                self.update_summaries();
                self.report_neighbours(cx);
                self.share_local_learned(cx);
            }
            self.publish(now.steady);
        }
        if let Some(actors) = &mut self.actors {
            actors.vm_calls.flush();
        }
    }

    fn tick_upkeep(&mut self, cx: &mut Context<Self>) {
        let to_own_shard = |(name, hosted): (&String, &HostedShard)| OwnedShard {
            name: name.clone(),
            fence: hosted.shard.fence(),
            vacated: hosted.shard.drained_vms(),
        };
        let shards = self.hosted.iter().map(to_own_shard).collect();
        self.step_upkeep(upkeep::duty::Event::Tick(shards), cx);
    }

    /// Passes an event to the upkeep state machine and executes the resulting actions.
    fn step_upkeep(&mut self, event: upkeep::duty::Event, cx: &mut Context<Self>) {
        let now = self.clock.now();
        for action in self.upkeep.step(now, event) {
            match action {
                upkeep::duty::Action::Note(note) => self.journal.write(note),
                upkeep::duty::Action::Vacate { shard, order } => {
                    self.step_shard(&shard, Event::Drain(order), cx);
                }
                other => {
                    if let Some(actors) = &self.actors {
                        actors.upkeep.do_send(UpkeepAction(other));
                    }
                }
            }
        }
    }
}

/// Whether a daemon may send permit requests for others.
fn can_forward_permits(member: &Member) -> bool {
    member.stage == MemberStage::Serving
}

impl Actor for Control {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Self::Context) {
        cx.set_mailbox_capacity(RING_CAPACITY);
        self.schedule_tick(cx);
    }
}

/// Behaviour of a full ring from this actor to another.
pub const ACTION_RING_POLICY: WhenFull = WhenFull::Wait { limit: MAX_PENDING_ACTIONS };
