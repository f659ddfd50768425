//! The duty that decides: it feeds the core and hands its actions to the other duties.
//!
//! It never waits. An action that finds its ring full waits here, in order, and is counted.

pub mod journal;
mod slots;

use crate::api::{VmDetail, VmSummary};
use crate::clock::Clock;
use crate::core::event::Answer;
use crate::core::{Action, Core, Event, VmSummary as HeldVm};
use crate::ids::{DaemonId, ServiceName, TaskId, Ticket, VmId};
use crate::peers::{Call, Outgoing, Reply, Shown};
use crate::ring::{RING_CAPACITY, Ring};
use crate::storage::Write;
use crate::workers::WorkerCall;
use actix::prelude::*;
use futures::FutureExt;
use indexmap::IndexMap;
use journal::Journal;
use slots::Slots;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

const TICK: Duration = Duration::from_millis(50);

/// The rings to the duties that carry actions out.
pub struct Rings {
    pub storage: Ring<Write>,
    pub workers: Ring<WorkerCall>,
    pub peers: Ring<Outgoing>,
}

/// The duty of deciding.
pub struct Control {
    me: DaemonId,
    core: Core,
    clock: Arc<dyn Clock>,
    rings: Option<Rings>,
    /// Events that came before the rings were connected.
    early: VecDeque<Event>,
    callers: IndexMap<Ticket, oneshot::Sender<Answer>>,
    last_ticket: Ticket,
    journal: Journal,
    refusals: IndexMap<String, u64>,
    slots: Slots,
}

impl Control {
    /// A duty whose rings are not connected yet.
    pub fn new(me: DaemonId, core: Core, lease_ttl: Duration, clock: Arc<dyn Clock>) -> Self {
        Self {
            me,
            core,
            clock,
            rings: None,
            early: VecDeque::new(),
            callers: IndexMap::new(),
            last_ticket: Ticket(0),
            journal: Journal::new(),
            refusals: IndexMap::new(),
            slots: Slots::new(lease_ttl),
        }
    }

    /// The core's state, to be read.
    pub fn core(&self) -> &Core {
        &self.core
    }

    /// Decisions kept in memory.
    pub fn journal(&self) -> &Journal {
        &self.journal
    }

    /// Submissions refused so far, by reason.
    pub fn refusals(&self) -> &IndexMap<String, u64> {
        &self.refusals
    }

    /// The daemon's clock.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    fn step(&mut self, event: Event) {
        if self.rings.is_none() {
            // Its actions would have nowhere to go, and the core would wait for their answers.
            self.early.push_back(event);
            return;
        }
        self.note_slots(&event);
        let now = self.clock.now();
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            for action in self.core.step(now, event) {
                if let Some(own) = self.perform(action) {
                    events.push_back(own);
                }
            }
        }
    }

    /// What the events say of the endpoints that this daemon shares out.
    fn note_slots(&mut self, event: &Event) {
        match event {
            Event::Configured(config) => self.slots.configure(config.clone()),
            Event::Acquired { vm, result: Ok(granted), .. } => {
                self.slots.granted(vm, granted.token, granted.earlier);
            }
            _ => {}
        }
    }

    /// Carries an action out; one that is a message to this daemon itself comes back as an event.
    fn perform(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Send { to, msg } if to == self.me => {
                return Some(Event::Peer { from: to, msg });
            }
            Action::Reply { ticket, answer } => self.reply(ticket, answer),
            Action::Explain(record) => self.journal.keep(record),
            action => self.pass_on(action),
        }
        None
    }

    fn pass_on(&mut self, action: Action) {
        let Some(rings) = &mut self.rings else { return };
        let lost = match action {
            Action::Send { to, msg } => rings.peers.push(Outgoing { to, msg }).is_err(),
            Action::Commit { .. } | Action::Recover { .. } => {
                rings.storage.push(Write(action)).is_err()
            }
            action => rings.workers.push(WorkerCall(action)).is_err(),
        };
        if lost {
            log::error!("action-lost");
        }
    }

    fn reply(&mut self, ticket: Ticket, answer: Answer) {
        if let Answer::NotRun { reason } = &answer {
            *self.refusals.entry(reason.clone()).or_insert(0) += 1;
        }
        if let Some(caller) = self.callers.shift_remove(&ticket) {
            // A caller that went away is not told; the task's state stays as recorded.
            let _ = caller.send(answer);
        }
    }

    fn ticket(&mut self) -> (Ticket, oneshot::Receiver<Answer>) {
        self.last_ticket = self.last_ticket.next();
        let (tx, rx) = oneshot::channel();
        self.callers.insert(self.last_ticket, tx);
        (self.last_ticket, rx)
    }

    fn detail(&self, vm: &HeldVm) -> VmDetail {
        let summary = VmSummary {
            vm: vm.vm.clone(),
            domain: vm.domain.clone(),
            rack: vm.rack.clone(),
            holder: Some(self.me.clone()),
            size: vm.size,
            free: vm.size.saturating_sub(&vm.committed),
            health: vm.health,
            tasks: u32::try_from(vm.attempts.len()).unwrap_or(u32::MAX),
        };
        VmDetail {
            summary,
            classes: vm.classes.clone(),
            token: Some(vm.token),
            lease_left_ms: u64::try_from(vm.valid_for.as_millis()).ok(),
            tasks: vm.attempts.clone(),
        }
    }

    fn show(&self, task: TaskId) -> Option<Shown> {
        let state = self.core.task(task)?.clone();
        Some(Shown { task: state, waiting_for: self.core.waiting_reason(task) })
    }
}

impl Actor for Control {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Self::Context) {
        cx.set_mailbox_capacity(RING_CAPACITY);
        cx.run_interval(TICK, |this, _| {
            if let Some(rings) = &mut this.rings {
                rings.storage.flush();
                rings.workers.flush();
                rings.peers.flush();
            }
            if this.rings.is_some() {
                this.step(Event::Tick);
            }
        });
    }
}

/// Connects the rings; events before this have no effect outside.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Connect(pub Rings);

impl Handler<Connect> for Control {
    type Result = ();

    fn handle(&mut self, msg: Connect, _: &mut Self::Context) {
        self.rings = Some(msg.0);
        for event in std::mem::take(&mut self.early) {
            self.step(event);
        }
    }
}

/// An event for the core.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Told(pub Event);

impl Ring<Told> {
    /// Hands the core an answer that it waits for. It is lost only with the core itself.
    pub fn tell(&mut self, event: Event) {
        if self.push(Told(event)).is_err() {
            log::error!("answer-lost");
        }
    }
}

impl Handler<Told> for Control {
    type Result = ();

    fn handle(&mut self, msg: Told, _: &mut Self::Context) {
        self.step(msg.0);
    }
}

/// Which service each VM has an endpoint of.
#[derive(Message)]
#[rtype(result = "()")]
pub struct KnowEndpoints(pub IndexMap<VmId, ServiceName>);

impl Handler<KnowEndpoints> for Control {
    type Result = ();

    fn handle(&mut self, msg: KnowEndpoints, _: &mut Self::Context) {
        self.slots.listed(msg.0);
    }
}

/// A call about tasks or decisions, answered here if this daemon can.
#[derive(Message)]
#[rtype(result = "Reply")]
pub struct Ask(pub Call);

impl Handler<Ask> for Control {
    type Result = ResponseFuture<Reply>;

    fn handle(&mut self, msg: Ask, _: &mut Self::Context) -> Self::Result {
        let reply = match msg.0 {
            Call::Submit { partition, .. } | Call::Cancel { task: TaskId { partition, .. } }
                if !self.core.writes(partition) =>
            {
                Reply::NotWriter
            }
            Call::Submit { partition, key, spec } => {
                let (ticket, rx) = self.ticket();
                self.step(Event::Submit { ticket, partition, key, spec });
                return answer(rx);
            }
            Call::Cancel { task } => {
                let (ticket, rx) = self.ticket();
                self.step(Event::Cancel { ticket, task });
                return answer(rx);
            }
            Call::Show { task } if !self.core.writes(task.partition) => Reply::NotWriter,
            Call::Show { task } => match self.show(task) {
                Some(shown) => Reply::Task(Box::new(shown)),
                None => Reply::Answer(Answer::NotFound),
            },
            Call::List => {
                Reply::Tasks(self.core.tasks().filter_map(|task| self.show(task.id)).collect())
            }
            Call::Vms => Reply::Vms(self.core.vms().iter().map(|vm| self.detail(vm)).collect()),
            Call::Slots { asks } => {
                let (held, now) = (self.core.vms(), self.clock.now());
                Reply::Slots(self.slots.ask(&held, &asks, now))
            }
            Call::Explain { subject } => {
                let kept = self.journal.of(&subject);
                Reply::Records { records: kept.records, forgotten: kept.forgotten }
            }
        };
        std::future::ready(reply).boxed_local()
    }
}

fn answer(rx: oneshot::Receiver<Answer>) -> ResponseFuture<Reply> {
    async {
        match rx.await {
            Ok(answer) => Reply::Answer(answer),
            Err(_) => Reply::NoAnswer { reason: "the daemon stops".to_owned() },
        }
    }
    .boxed_local()
}

/// Reads the duty's state on its own thread.
pub struct Inspect<F>(pub F);

impl<F, T> Message for Inspect<F>
where
    F: FnOnce(&Control) -> T,
    T: 'static,
{
    type Result = T;
}

impl<F, T> Handler<Inspect<F>> for Control
where
    F: FnOnce(&Control) -> T,
    T: 'static,
{
    type Result = MessageResult<Inspect<F>>;

    fn handle(&mut self, msg: Inspect<F>, _: &mut Self::Context) -> Self::Result {
        MessageResult((msg.0)(self))
    }
}
