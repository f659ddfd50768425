//! Deterministic scheduling logic without I/O: `(state, event, now) → actions`.
//!
//! The core reads no clock, socket or random source, and does not depend on hash iteration order.
//! The same events at the same times produce the same actions, so a recorded decision can be
//! replayed and explained.
//!
//! A daemon has two roles. As the writer of partitions it drives their tasks through the task
//! lifecycle ([`life`]). As the holder of VMs' control leases it is the only daemon that starts and
//! closes attempts on them ([`holder`]). The two roles communicate through [`PeerMsg`] even within
//! one daemon.

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
use holder::{Holder, StartRequest};
use indexmap::IndexMap;
use life::Writer;
use policy::{Candidate, RunningTask};
use std::time::Duration;

/// Maximum number of evictions per step on behalf of one urgent task.
const MAX_EVICTIONS_PER_STEP: u32 = 8;

/// Whether at least one eviction was started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EvictionStarted {
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
    /// Creates an empty core; fails only if its state charts are invalid.
    pub fn new(cfg: CoreSettings) -> crate::chart::Result<Self> {
        Ok(Self { cx: Context::new(cfg), writer: Writer::new()?, holder: Holder::new()? })
    }

    /// Processes an event and returns the resulting actions in the order to perform them.
    pub fn step(&mut self, now: Duration, event: Event) -> Vec<Action> {
        self.cx.now = self.cx.now.max(now);
        self.handle(event);
        for candidate in self.writer.advance(&mut self.cx) {
            if self.evict_for(&candidate) == EvictionStarted::No {
                self.writer.request_eviction(&mut self.cx, &candidate);
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
                self.writer.schedule_placement_round();
            }
            Event::Listed(listed) => {
                self.writer.listed(&listed);
                self.holder.update_list(cx, listed);
            }
            Event::Members(members) => {
                let partitions = std::mem::take(&mut cx.cfg.partitions);
                cx.members.update(&members, &partitions);
                cx.cfg.partitions = partitions;
                self.writer.members_changed(cx);
                self.holder.update_preferences(cx);
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
            Event::Peer { from, msg } => self.handle_peer(&from, msg),
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

    fn handle_peer(&mut self, from: &DaemonId, msg: PeerMsg) {
        let cx = &mut self.cx;
        match msg {
            PeerMsg::Views { views } => self.writer.views(cx, from, views),
            PeerMsg::Reserve { vm, task, attempt, spec } => {
                let wanted = TaskAttempt { task, attempt };
                let reserved = self.holder.reserve(cx, from, &vm, wanted, &spec);
                if reserved == Err(Decline::NoRoom) && spec.urgency == Urgency::Urgent {
                    let (waited, avoid) = (Duration::ZERO, Vec::new());
                    self.evict_for(&Candidate { task, attempt, spec, waited, avoid });
                }
            }
            PeerMsg::Start { vm, boot, task, attempt, spec, resume } => {
                let request = StartRequest { vm, boot, task, attempt, spec, resume };
                self.holder.start(cx, from, request);
            }
            PeerMsg::Close { vm, boot, task, attempt, why } => {
                let attempt = TaskAttempt { task, attempt };
                self.holder.close_requested(cx, from, &vm, boot, attempt, why);
            }
            PeerMsg::EndedAck { vm, task, attempt } => {
                self.holder.end_recorded(cx, &vm, TaskAttempt { task, attempt });
            }
            answer => self.writer.answered(cx, from, answer),
        }
    }

    /// Evicts tasks on the VMs held by this daemon to make room for an urgent one.
    fn evict_for(&mut self, candidate: &Candidate) -> EvictionStarted {
        let cx = &mut self.cx;
        let held: Vec<VmId> = self.holder.held().cloned().collect();
        let running_tasks: IndexMap<VmId, Vec<RunningTask>> =
            held.into_iter().map(|vm| (vm.clone(), self.holder.running_tasks(cx, &vm))).collect();
        let mut started = EvictionStarted::No;
        for _ in 0..MAX_EVICTIONS_PER_STEP {
            let Some(decision) = cx.policy.plan_preemption(candidate, &running_tasks, cx.now)
            else {
                break;
            };
            self.holder.apply_relief(cx, decision);
            started = EvictionStarted::Yes;
        }
        started
    }
}
