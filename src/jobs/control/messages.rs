//! Messages handled by the control actor.

use super::{
    ActorHandles, Control, PendingCall, RemoteShard, ReportOrder, ShardOffer, TimedLapses,
};
use crate::cluster::{
    self, Head, Hello, Member, OfferAnswer, Plan, ReleasedShard, StoreReachability,
};
use crate::evacuation::Evacuations;
use crate::ids::{DaemonId, Ticket};
use crate::jobs::calls::{Call, Reply};
use crate::jobs::follow::operators::LoadedConfig;
use crate::jobs::view::{RemoteClock, ShardView};
use crate::note::{Millis, Note};
use crate::shard::learned::ShardLearned;
use crate::shard::loan::LoanMsg;
use crate::shard::{Answer, CommitResult, Event, FleetListStatus, Recovered, VmLapse};
use crate::upkeep::{self, Wave};
use crate::vm::{Departure, Fence, VmEntry};
use actix::prelude::*;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Why a submission that was held up on the way was dropped.
const EXPIRED: &str = "the caller no longer waits for an answer";

/// Connects the control actor to the others.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Connect(pub ActorHandles);

impl Handler<Connect> for Control {
    type Result = ();

    fn handle(&mut self, msg: Connect, _: &mut Self::Context) {
        self.actors = Some(msg.0);
    }
}

/// Result of a call to a VM or the permit service.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ExternalCallResult {
    pub shard: Arc<str>,
    pub fence: Fence,
    pub event: Event,
}

impl Handler<ExternalCallResult> for Control {
    type Result = ();

    fn handle(&mut self, msg: ExternalCallResult, cx: &mut Self::Context) {
        self.begin_handler(cx);
        // Results of calls made under an earlier ownership of the shard are stale.
        if self.hosted.get(&*msg.shard).is_some_and(|hosted| hosted.shard.fence() == msg.fence) {
            self.step_shard(&msg.shard, msg.event, cx);
        }
    }
}

/// Data read from the store, or the result of a store operation.
#[derive(Message)]
#[rtype(result = "()")]
pub enum StoreEvent {
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
    /// VMs as of some time after `at`; `None` if the time is unknown.
    Fleet {
        vms: Vec<VmEntry>,
        list_status: FleetListStatus,
        at: Option<Duration>,
    },
    /// VMs that have left after announcing it.
    Departed(Vec<Departure>),
    Config(Box<LoadedConfig>),
    Wave(Wave),
    /// Evacuations of failure domains as of some time after `at`.
    Evacuations {
        evacuations: Evacuations,
        at: Duration,
    },
    /// At that time the configuration in force was the newest one.
    ConfigConfirmed {
        at: Duration,
    },
    /// The configuration couldn't be read.
    ConfigReadFailed {
        reason: String,
    },
    Reach {
        reach: StoreReachability,
        silent: Duration,
        reason: String,
    },
    Note(Note),
}

impl Handler<StoreEvent> for Control {
    type Result = ();

    fn handle(&mut self, msg: StoreEvent, cx: &mut Self::Context) {
        self.begin_handler(cx);
        match msg {
            StoreEvent::Members(members) => {
                self.step_ownership(cluster::Event::Registered(members), cx)
            }
            StoreEvent::Heads(heads) => self.step_ownership(cluster::Event::Heads(heads), cx),
            StoreEvent::Plan(plan) => {
                // Reads of the plan may overlap, and the older one may be answered last.
                if plan != self.plan && plan.has_racks_of(&self.plan) {
                    self.plan = plan.clone();
                    self.step_upkeep(upkeep::duty::Event::Plan(plan.clone()), cx);
                    self.step_ownership(cluster::Event::Plan(plan), cx);
                }
            }
            StoreEvent::Claimed(recovered) => self.start_shard(*recovered, cx),
            StoreEvent::ClaimFailed { shard, head, reason } => {
                self.step_ownership(cluster::Event::ClaimFailed { shard, head, reason }, cx);
            }
            StoreEvent::Committed { shard, fence, seq, result } => {
                if self.hosted.get(&shard).is_some_and(|hosted| hosted.shard.fence() == fence) {
                    let lost = matches!(result, CommitResult::Superseded(_));
                    self.step_shard(&shard, Event::Committed { seq, result }, cx);
                    if lost {
                        self.drop_shard(&shard, "another daemon owns it", cx);
                    }
                }
            }
            StoreEvent::Fleet { vms, list_status, at } => {
                self.update_fleet(vms, list_status, at, cx);
            }
            StoreEvent::Departed(departures) => self.remember_departures(&departures, cx),
            StoreEvent::Config(loaded) => self.apply_config(*loaded, cx),
            StoreEvent::Wave(wave) => self.step_upkeep(upkeep::duty::Event::Wave(wave), cx),
            StoreEvent::Evacuations { evacuations, at } => {
                self.apply_evacuations(evacuations, at, cx);
            }
            StoreEvent::ConfigConfirmed { at } => self.confirm_config(at),
            StoreEvent::ConfigReadFailed { reason } => self.config_error = Some(reason),
            StoreEvent::Reach { reach, silent, reason } => {
                self.update_store_reach(reach, silent, reason);
                self.step_ownership(cluster::Event::Store(reach), cx);
            }
            StoreEvent::Note(note) => self.journal.write(note),
        }
    }
}

/// Result of an action for an upkeep wave.
#[derive(Message)]
#[rtype(result = "()")]
pub struct UpkeepResult(pub upkeep::duty::Event);

impl Handler<UpkeepResult> for Control {
    type Result = ();

    fn handle(&mut self, msg: UpkeepResult, cx: &mut Self::Context) {
        self.begin_handler(cx);
        self.step_upkeep(msg.0, cx);
    }
}

/// Another daemon's hello was received.
#[derive(Message)]
#[rtype(result = "()")]
pub struct HelloReceived {
    pub hello: Hello,
    /// When the hello that it answers was sent; `None` if it was sent unasked.
    pub asked: Option<Duration>,
}

impl Handler<HelloReceived> for Control {
    type Result = ();

    fn handle(&mut self, msg: HelloReceived, cx: &mut Self::Context) {
        let now = self.begin_handler(cx).steady;
        let HelloReceived { mut hello, asked } = msg;
        for ended in std::mem::take(&mut hello.ended) {
            self.record_ended_ownership(&hello.from.id, ended, cx);
        }
        let mut learned = Vec::new();
        for report in hello.shards.iter() {
            let shared: Arc<str> = Arc::from(report.name.as_str());
            report.accepted.iter().for_each(|job| self.add_to_directory(*job, &shared));
            let order = ReportOrder { fence: report.fence, hello: hello.number };
            if !self.is_newest_report(&report.name, order) {
                continue;
            }
            let (summary, store) = (report.summary.clone(), hello.store);
            let (owner, is_evacuated) = (None, false);
            let clock = Some(self.clock_of_owner(&report.name, order, hello.clock));
            let view = ShardView { owner, store, summary, summary_at: now, clock, is_evacuated };
            self.remote_shards.insert(report.name.clone(), RemoteShard { order, view });
            let lapses = TimedLapses { at: now, lapses: report.lapses.clone() };
            self.reported_lapses.insert(report.name.clone(), lapses);
            let (shard, known) = (report.name.clone(), report.learned.clone());
            learned.push(ShardLearned { shard, learned: known });
        }
        self.share_learned(learned, cx);
        self.step_ownership(cluster::Event::Hello { hello, asked }, cx);
    }
}

impl Control {
    /// Clock of a shard's owner, by the reading in its hello and earlier ones of the same owner.
    fn clock_of_owner(&self, shard: &str, order: ReportOrder, reading: Duration) -> RemoteClock {
        let heard = RemoteClock::new(self.last_wake, reading);
        let known = self.remote_shards.get(shard).filter(|known| known.order.fence == order.fence);
        known.and_then(|known| known.view.clock).map_or(heard, |known| known.closer(heard))
    }

    /// Whether no newer report on a shard is known; a hello may be held up on the way.
    fn is_newest_report(&self, shard: &str, order: ReportOrder) -> bool {
        order.fence >= self.ownership.fence(shard).0
            && self.remote_shards.get(shard).is_none_or(|known| known.order <= order)
    }
}

/// Another daemon refused a connection.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ConnectionRefused {
    pub id: DaemonId,
    /// When the call was made.
    pub asked: Duration,
}

impl Handler<ConnectionRefused> for Control {
    type Result = ();

    fn handle(&mut self, msg: ConnectionRefused, cx: &mut Self::Context) {
        self.begin_handler(cx);
        self.step_ownership(cluster::Event::Refused { id: msg.id, asked: msg.asked }, cx);
    }
}

/// A caller's request to a shard.
#[derive(Message)]
#[rtype(result = "Reply")]
pub struct HandleCall {
    pub shard: String,
    pub call: Call,
    /// When the caller stops waiting, on this daemon's monotonic clock; `None` if it isn't known.
    pub valid_until: Option<Duration>,
}

impl Handler<HandleCall> for Control {
    type Result = ResponseFuture<Reply>;

    fn handle(&mut self, msg: HandleCall, cx: &mut Self::Context) -> Self::Result {
        let now = self.begin_handler(cx).steady;
        let late = msg.valid_until.map_or(Duration::ZERO, |until| now.saturating_sub(until));
        if let Call::Submit(job, _) = &msg.call
            && !late.is_zero()
        {
            self.journal.write(Note::JobExpired { job: job.id, late_ms: Millis(late) });
            // An earlier call may have been accepted, so that "not run" could be wrong.
            let answer = Answer::Unknown { reason: EXPIRED.to_owned() };
            return Box::pin(std::future::ready(Reply::Answer(answer)));
        }
        if !self.hosted.contains_key(&msg.shard) {
            return Box::pin(std::future::ready(Reply::NotOwner));
        }
        let (tx, rx) = oneshot::channel();
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        self.tickets.insert(ticket, PendingCall { shard: msg.shard.clone(), tx });
        let event = match msg.call {
            Call::Submit(job, mode) => Event::Submit { ticket, job: Arc::from(job), mode },
            Call::Cancel(job) => Event::Cancel { ticket, job },
            Call::Show(job) => Event::Show { ticket, job },
        };
        self.step_shard(&msg.shard, event, cx);
        Box::pin(async move {
            let lost = || Answer::Unknown { reason: "the shard has changed hands".to_owned() };
            rx.await.unwrap_or_else(|_| Reply::Answer(lost()))
        })
    }
}

/// Another daemon offers a shard to this one.
#[derive(Message)]
#[rtype(result = "OfferAnswer")]
pub struct HandleOffer {
    pub from: DaemonId,
    pub released: ReleasedShard,
    pub lapses: Vec<VmLapse>,
}

impl Handler<HandleOffer> for Control {
    type Result = MessageResult<HandleOffer>;

    fn handle(&mut self, msg: HandleOffer, cx: &mut Self::Context) -> Self::Result {
        self.begin_handler(cx);
        let HandleOffer { from, released, lapses } = msg;
        let (shard, fence) = (&released.name, Fence(released.fence));
        let is_newest = self.offers.get(shard).is_none_or(|offer| offer.fence <= fence);
        if is_newest {
            let offer = ShardOffer { fence, at: self.last_wake, lapses };
            self.offers.insert(shard.clone(), offer);
        }
        let answer = self.ownership.answer_offer(shard, fence.0);
        self.step_ownership(cluster::Event::Offered { from, released }, cx);
        MessageResult(answer)
    }
}

/// Another shard's owner sent a message about lent tasks.
#[derive(Message)]
#[rtype(result = "()")]
pub struct HandleLoanMessage {
    pub shard: Arc<str>,
    pub from: Arc<str>,
    /// Fencing token of the owner that the message is addressed to.
    pub fence: Fence,
    pub msg: LoanMsg,
}

impl Handler<HandleLoanMessage> for Control {
    type Result = ();

    fn handle(&mut self, msg: HandleLoanMessage, cx: &mut Self::Context) {
        self.begin_handler(cx);
        self.step_shard(
            &msg.shard,
            Event::Message { from: msg.from, to: msg.fence, msg: msg.msg },
            cx,
        );
    }
}

/// Begins a planned shutdown: hands the shards over.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Drain;

impl Handler<Drain> for Control {
    type Result = ();

    fn handle(&mut self, _: Drain, cx: &mut Self::Context) {
        let now = self.begin_handler(cx).steady;
        self.step_ownership(cluster::Event::Drain, cx);
        self.ownership.schedule_hello_to_all();
        self.publish(now);
    }
}

/// Releases all shards at once because the daemon is about to exit.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ReleaseShards;

impl Handler<ReleaseShards> for Control {
    type Result = ();

    fn handle(&mut self, _: ReleaseShards, cx: &mut Self::Context) {
        let now = self.begin_handler(cx).steady;
        self.step_ownership(cluster::Event::ReleaseAll, cx);
        self.ownership.schedule_hello_to_all();
        self.publish(now);
    }
}

/// Returns whether this daemon still owns or claims any shard, or offers one that nobody has accepted.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct HasShards;

impl Handler<HasShards> for Control {
    type Result = bool;

    fn handle(&mut self, _: HasShards, _: &mut Self::Context) -> Self::Result {
        !self.hosted.is_empty() || !self.ownership.is_empty()
    }
}
