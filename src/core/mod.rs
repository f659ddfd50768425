//! The decisions, without I/O: `(state, event, now) → actions`.
//!
//! Nothing here reads a clock, a socket or a random source of its own, and nothing depends on the
//! order of a hash. The same events at the same times give the same actions, so that a recorded
//! decision can be repeated and explained.
//!
//! A daemon plays two parts at once. As the writer of some partitions it steps their tasks through
//! their lives ([`life`]); as the holder of some VMs' control leases it alone starts and closes
//! attempts there ([`holder`]). The two talk by [`PeerMsg`] also where they are one daemon.

mod context;
pub mod event;
mod holder;
pub mod lease;
mod life;
mod members;
pub mod policy;
mod query;
mod settings;

pub use context::Counters;
pub use event::{Action, Event};
pub use holder::VmSummary;
pub use query::PartitionSummary;
pub use settings::{CoreSettings, Limits, PartitionHome};

use crate::ids::{DaemonId, VmId};
use crate::model::Urgency;
use crate::peer::{Decline, PeerMsg};
use crate::worker::TaskAttempt;
use context::{Context, Draining};
use holder::{Holder, StartAsked};
use indexmap::IndexMap;
use life::Writer;
use policy::{Candidate, Resident};
use std::time::Duration;

/// Most tasks evicted for an urgent one in a step.
const EVICTIONS_MAX: u32 = 8;

/// Whether room is being made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Evicting {
    Yes,
    No,
}

/// The core of one daemon.
#[derive(Debug)]
pub struct Core {
    cx: Context,
    writer: Writer,
    holder: Holder,
}

impl Core {
    /// A core that knows nothing yet; fails only if its state charts don't load.
    pub fn new(cfg: CoreSettings) -> crate::chart::Result<Self> {
        Ok(Self { cx: Context::new(cfg), writer: Writer::new()?, holder: Holder::new()? })
    }

    /// Takes note of an event, and returns what is to be done about it, in order.
    pub fn step(&mut self, now: Duration, event: Event) -> Vec<Action> {
        self.cx.now = self.cx.now.max(now);
        self.handle(event);
        for candidate in self.writer.advance(&mut self.cx) {
            if self.make_room(&candidate) == Evicting::No {
                self.writer.ask_others(&mut self.cx, &candidate);
            }
        }
        self.cx.take_actions()
    }

    fn handle(&mut self, event: Event) {
        let cx = &mut self.cx;
        match event {
            Event::Tick => {
                self.holder.tick(cx);
                self.writer.tick(cx);
            }
            Event::Configured(config) => {
                cx.config = config.clone();
                cx.policy.configure(config);
                self.writer.room_may_have_changed();
            }
            Event::Listed(listed) => {
                self.writer.listed(&listed);
                self.holder.list(cx, listed);
            }
            Event::Members(members) => {
                let partitions = std::mem::take(&mut cx.cfg.partitions);
                cx.members.update(&members, &partitions);
                cx.cfg.partitions = partitions;
                self.writer.members_changed(cx);
                self.holder.propose(cx);
            }
            Event::Acquired { vm, sent, result } => self.holder.acquired(cx, &vm, sent, result),
            Event::Synced { vm, sent, result } => self.holder.synced(cx, &vm, sent, result),
            Event::StartAnswered { vm, task, attempt, result } => {
                self.holder.start_answered(cx, &vm, TaskAttempt { task, attempt }, result);
            }
            Event::CloseAnswered { vm, task, attempt, result } => {
                self.holder.close_answered(cx, &vm, TaskAttempt { task, attempt }, result);
            }
            Event::CheckpointAnswered { vm, task, attempt, result } => {
                self.holder.checkpoint_answered(cx, &vm, TaskAttempt { task, attempt }, result);
            }
            Event::Recovered { partition, tasks, next_number } => {
                self.writer.recovered(cx, partition, tasks, next_number);
            }
            Event::Superseded { partition } => self.writer.superseded(cx, partition),
            Event::Committed { ticket, result } => self.writer.committed(cx, ticket, &result),
            Event::Peer { from, msg } => self.peer(&from, msg),
            Event::Submit { ticket, partition, key, spec } => {
                self.writer.submit(cx, ticket, partition, key, spec);
            }
            Event::Cancel { ticket, task } => self.writer.cancel(cx, ticket, task),
            Event::Drain => {
                cx.draining = Draining::Yes;
                self.holder.tick(cx);
            }
        }
    }

    fn peer(&mut self, from: &DaemonId, msg: PeerMsg) {
        let cx = &mut self.cx;
        match msg {
            PeerMsg::Views { views } => self.writer.views(cx, from, views),
            PeerMsg::Reserve { vm, task, attempt, spec } => {
                let wanted = TaskAttempt { task, attempt };
                let kept = self.holder.reserve(cx, from, &vm, wanted, &spec);
                if kept == Err(Decline::NoRoom) && spec.urgency == Urgency::Urgent {
                    let (waited, avoid) = (Duration::ZERO, Vec::new());
                    self.make_room(&Candidate { task, attempt, spec, waited, avoid });
                }
            }
            PeerMsg::Start { vm, boot, task, attempt, spec, resume } => {
                let asked = StartAsked { vm, boot, task, attempt, spec, resume };
                self.holder.start(cx, from, asked);
            }
            PeerMsg::Close { vm, boot, task, attempt, why } => {
                let attempt = TaskAttempt { task, attempt };
                self.holder.close_asked(cx, from, &vm, boot, attempt, why);
            }
            PeerMsg::EndedAck { vm, task, attempt } => {
                self.holder.end_recorded(cx, &vm, TaskAttempt { task, attempt });
            }
            answer => self.writer.answered(cx, from, answer),
        }
    }

    /// Looks for tasks to evict for an urgent one, on the VMs held here.
    fn make_room(&mut self, candidate: &Candidate) -> Evicting {
        let cx = &mut self.cx;
        let held: Vec<VmId> = self.holder.held().cloned().collect();
        let residents: IndexMap<VmId, Vec<Resident>> =
            held.into_iter().map(|vm| (vm.clone(), self.holder.residents(cx, &vm))).collect();
        let mut evicting = Evicting::No;
        for _ in 0..EVICTIONS_MAX {
            let Some(decided) = cx.policy.make_room(candidate, &residents, cx.now) else { break };
            self.holder.relieve(cx, decided);
            evicting = Evicting::Yes;
        }
        evicting
    }
}
