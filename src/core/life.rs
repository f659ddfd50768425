//! The writer's side: the life of the tasks whose partitions this daemon writes.
//!
//! Rendezvous proposes a writer for each partition; the compare-and-swap on the partition's log
//! is what keeps two writers apart. For a moment two daemons may believe that they write one: the
//! commits of the one that lost come back as not written, and it drops the partition.

pub mod fleet;
pub mod log;
mod losses;
pub mod partition;
pub mod steps;
pub mod task;
pub mod waiting;

use crate::core::context::{Context, Draining};
use crate::core::event::{Action, Answer, CommitResult, ListedVm};
use crate::core::policy::{Candidate, Subject};
use crate::ids::{DaemonId, IdempotencyKey, PartitionId, TaskId, Ticket, VmId};
use crate::peer::{CloseReason, PeerMsg, VmView};
use crate::task::{Change, TaskSpec, TaskState};
use crate::worker::TaskAttempt;
use fleet::Fleet;
use indexmap::{IndexMap, IndexSet};
use log::Pending;
use losses::Losses;
use partition::{Known, Partition};
use std::sync::Arc;
use std::time::Duration;
use steps::{About, Proof};
use task::TaskChart;

/// Least time between two rounds in which every waiting task is looked at again.
const UNBLOCK_PERIOD: Duration = Duration::from_millis(200);

/// Time between two looks for holders that fell silent and VMs that are off the list.
const LOOK_PERIOD: Duration = Duration::from_secs(1);

/// The partitions that this daemon writes or may come to write.
#[derive(Debug)]
pub struct Writer {
    chart: Arc<TaskChart>,
    roles: IndexMap<PartitionId, Role>,
    losses: IndexMap<PartitionId, Losses>,
    fleet: Fleet,
    /// Commits in flight of partitions that were dropped.
    orphans: IndexMap<Ticket, Vec<Orphan>>,
    room_changed: bool,
    next_unblock: Duration,
    listed: IndexSet<VmId>,
    /// VMs with bound attempts that are off the list, and since when.
    unlisted: IndexMap<VmId, Duration>,
    next_look: Duration,
    /// Counts requests for room that isn't there.
    turn: usize,
}

/// What this daemon is to a partition.
#[derive(Debug)]
enum Role {
    /// Another daemon writes it; `since` is when this one was proposed, if it is.
    Other {
        since: Option<Duration>,
    },
    /// Its log is being loaded.
    ///
    /// Another load isn't asked for until this one is answered, even if another daemon is proposed
    /// meanwhile: a second answer could overtake a commit, and a state without that commit's
    /// records would be taken for what the log holds.
    Recovering,
    Writing {
        partition: Box<Partition>,
        other_since: Option<Duration>,
    },
}

/// A record in flight of a partition that was dropped.
#[derive(Debug)]
struct Orphan {
    pending: Pending,
    state: Option<TaskState>,
}

impl Writer {
    /// A writer of no partition.
    pub fn new() -> crate::chart::Result<Self> {
        Ok(Self {
            chart: Arc::new(task::load_chart()?),
            roles: IndexMap::new(),
            losses: IndexMap::new(),
            fleet: Fleet::default(),
            orphans: IndexMap::new(),
            room_changed: false,
            next_unblock: Duration::ZERO,
            listed: IndexSet::new(),
            unlisted: IndexMap::new(),
            next_look: Duration::ZERO,
            turn: 0,
        })
    }

    /// The members changed.
    pub fn members_changed(&mut self, cx: &mut Context) {
        self.fleet.expire(cx);
        for home in &cx.cfg.partitions {
            let mine = cx.members.writer_of(home.id) == Some(&cx.cfg.me);
            let role = self.roles.entry(home.id).or_insert(Role::Other { since: None });
            match role {
                Role::Other { since } if mine => *since = since.or(Some(cx.now)),
                Role::Other { since } => *since = None,
                Role::Recovering => {}
                Role::Writing { partition, other_since } if mine => {
                    if other_since.take().is_some() {
                        partition.doubt();
                    }
                }
                Role::Writing { other_since, .. } => *other_since = other_since.or(Some(cx.now)),
            }
        }
    }

    /// What is due: becoming a writer, repeating, dropping what another daemon writes.
    pub fn tick(&mut self, cx: &mut Context) {
        self.own(cx);
        for role in self.roles.values_mut() {
            if let Role::Writing { partition, .. } = role {
                partition.tick(cx, &self.fleet);
            }
        }
        if cx.now >= self.next_look {
            self.next_look = cx.now + LOOK_PERIOD;
            self.fleet.expire(cx);
            self.close_gone(cx);
        }
    }

    fn own(&mut self, cx: &mut Context) {
        let limits = cx.cfg.limits.clone();
        for (id, role) in &mut self.roles {
            match role {
                Role::Other { since: Some(since) }
                    if cx.now >= *since + limits.recover_after && cx.draining == Draining::No =>
                {
                    *role = Role::Recovering;
                    cx.act(Action::Recover { partition: *id });
                }
                // Another daemon seems to have written meanwhile. With nothing to commit this one
                // would never learn of it, and would leave that daemon's tasks without a writer.
                Role::Writing { partition, .. }
                    if partition.is_doubted(cx.now, limits.store_backoff_max) =>
                {
                    *role = Role::Recovering;
                    cx.act(Action::Recover { partition: *id });
                }
                Role::Writing { partition, other_since: Some(since) }
                    if cx.now >= *since + limits.handover_after && partition.log.is_idle() =>
                {
                    *role = Role::Other { since: None };
                }
                _ => {}
            }
        }
    }

    /// This daemon writes a partition from now on.
    pub fn recovered(
        &mut self,
        cx: &mut Context,
        id: PartitionId,
        tasks: Vec<TaskState>,
        next_number: u64,
    ) {
        if !matches!(self.roles.get(&id), Some(Role::Recovering)) {
            cx.counters.stale += 1;
            return;
        }
        let partition = Partition::recovered(cx, id, self.chart.clone(), tasks, next_number);
        let mine = cx.members.writer_of(id) == Some(&cx.cfg.me);
        let other_since = if mine { None } else { Some(cx.now) };
        self.roles.insert(id, Role::Writing { partition: Box::new(partition), other_since });
        self.room_changed = true;
    }

    /// Another daemon writes the partition.
    pub fn superseded(&mut self, cx: &mut Context, id: PartitionId) {
        if !matches!(self.roles.get(&id), Some(Role::Writing { .. })) {
            return;
        }
        let mine = cx.members.writer_of(id) == Some(&cx.cfg.me);
        let least = cx.cfg.limits.recover_after;
        let wait = self.losses.entry(id).or_default().note(cx.now, least);
        let role = Role::Other { since: mine.then_some(cx.now + wait) };
        let Some(Role::Writing { partition, .. }) = self.roles.insert(id, role) else { return };
        let tasks = partition.tasks;
        let (queued, in_flight) = partition.log.into_parts();
        let reason = "another daemon writes the partition; submit again";
        for pending in queued {
            partition::not_run(cx, &pending.tickets, reason);
        }
        if let Some((ticket, records)) = in_flight {
            let state = |pending: &Pending| {
                tasks.get(&pending.record.task.number).map(|task| task.state.clone())
            };
            let orphan = |pending: Pending| Orphan { state: state(&pending), pending };
            self.orphans.insert(ticket, records.into_iter().map(orphan).collect());
        }
    }

    /// A commit is settled.
    pub fn committed(&mut self, cx: &mut Context, ticket: Ticket, result: &CommitResult) {
        for role in self.roles.values_mut() {
            if let Role::Writing { partition, .. } = role
                && partition.committed(cx, &self.fleet, ticket, result) == Known::Yes
            {
                return;
            }
        }
        for orphan in self.orphans.swap_remove(&ticket).into_iter().flatten() {
            orphan.settle(cx, result);
        }
    }

    /// A caller submits a task.
    pub fn submit(
        &mut self,
        cx: &mut Context,
        ticket: Ticket,
        id: PartitionId,
        key: IdempotencyKey,
        spec: TaskSpec,
    ) {
        match self.roles.get_mut(&id) {
            Some(Role::Writing { partition, .. }) => partition.submit(cx, ticket, key, spec),
            _ => not_written_here(cx, ticket, id),
        }
    }

    /// A caller asks for a task's end.
    pub fn cancel(&mut self, cx: &mut Context, ticket: Ticket, task: TaskId) {
        match self.roles.get_mut(&task.partition) {
            Some(Role::Writing { partition, .. }) => partition.cancel(cx, ticket, task.number),
            _ => not_written_here(cx, ticket, task.partition),
        }
    }

    /// A holder tells which VMs it holds.
    pub fn views(&mut self, cx: &mut Context, from: &DaemonId, views: Vec<VmView>) {
        let moved = self.fleet.told(cx, from, views);
        self.room_changed = true;
        for partition in self.partitions_mut() {
            for vm in &moved {
                partition.ask_again(cx, vm);
            }
        }
    }

    /// A configuration came into force: every waiting task is looked at again.
    pub fn room_may_have_changed(&mut self) {
        self.room_changed = true;
    }

    /// A holder answers about an attempt.
    pub fn answered(&mut self, cx: &mut Context, from: &DaemonId, msg: PeerMsg) {
        let from = from.clone();
        match msg {
            PeerMsg::Reserved { vm, boot, task, attempt } => {
                let about = About { from, vm, task, attempt };
                self.fleet.answered(&about.vm, &about.id());
                self.with(cx, task, |partition, cx| partition.reserved(cx, &about, boot));
            }
            PeerMsg::Declined { vm, task, attempt, reason } => {
                let about = About { from, vm, task, attempt };
                self.fleet.answered(&about.vm, &about.id());
                if reason == crate::peer::Decline::NotHeld {
                    self.fleet.not_held(cx, &about.vm, &about.from);
                }
                self.with(cx, task, |partition, cx| partition.declined(cx, &about, reason));
            }
            PeerMsg::Started { vm, task, attempt } => {
                let about = About { from, vm, task, attempt };
                self.with(cx, task, |partition, cx| partition.started(cx, &about));
            }
            PeerMsg::Ended { vm, task, attempt, outcome } => {
                let about = About { from, vm, task, attempt };
                self.with(cx, task, |partition, cx| partition.ended(cx, &about, outcome));
            }
            PeerMsg::Closed { vm, task, attempt, ended, checkpoint, started, why } => {
                let about = About { from, vm, task, attempt };
                let proof = Proof { ended, checkpoint, started, why };
                self.with(cx, task, |partition, cx| partition.closed(cx, &about, proof));
            }
            _ => cx.counters.stale += 1,
        }
    }

    fn with(
        &mut self,
        cx: &mut Context,
        task: TaskId,
        act: impl FnOnce(&mut Partition, &mut Context),
    ) {
        match self.roles.get_mut(&task.partition) {
            Some(Role::Writing { partition, .. }) => act(partition, cx),
            _ => cx.counters.stale += 1,
        }
    }

    /// Places what waits, then begins the commits that are due.
    pub fn advance(&mut self, cx: &mut Context) -> Vec<Candidate> {
        if self.room_changed && cx.now >= self.next_unblock {
            self.room_changed = false;
            self.next_unblock = cx.now + UNBLOCK_PERIOD;
            self.partitions_mut().for_each(|partition| partition.waiting.unblock());
        }
        let mut budget = cx.cfg.limits.places_per_step;
        let mut stuck = Vec::new();
        for role in self.roles.values_mut() {
            if let Role::Writing { partition, .. } = role {
                stuck.extend(partition.place(cx, &mut self.fleet, &mut budget));
                let id = partition.id;
                partition.log.flush(cx, id);
            }
        }
        stuck
    }

    /// Asks a holder for room that it doesn't have, so that it makes some for an urgent task.
    ///
    /// The task goes on waiting meanwhile: whatever VM first has room takes it.
    pub fn ask_others(&mut self, cx: &mut Context, candidate: &Candidate) {
        self.turn = self.turn.wrapping_add(1);
        let room = &candidate.spec.resources;
        let Some(vm) = self.fleet.large_enough(room, &cx.cfg.me, self.turn).cloned() else {
            return;
        };
        let Some(to) = self.fleet.holder(&vm).cloned() else { return };
        let (task, attempt) = (candidate.task, candidate.attempt);
        cx.send(&to, PeerMsg::Reserve { vm, task, attempt, spec: candidate.spec.clone() });
    }

    /// Takes over the platform's list, to learn which VMs are gone for good.
    ///
    /// A list that names no VM at all says more about the list than about the VMs.
    pub fn listed(&mut self, listed: &[ListedVm]) {
        if !listed.is_empty() {
            self.listed = listed.iter().map(|listed| listed.vm.clone()).collect();
        }
    }

    fn note_unlisted(&mut self, cx: &Context) {
        let mut unlisted = IndexMap::new();
        for vm in self.partitions().flat_map(Partition::bound_vms) {
            if !self.listed.contains(vm) {
                let since = self.unlisted.get(vm).copied().unwrap_or(cx.now);
                unlisted.insert(vm.clone(), since);
            }
        }
        self.unlisted = unlisted;
    }

    /// Takes the attempts on VMs that are gone for good as lost.
    ///
    /// A VM that is off the platform's list for `gone_after`, which covers the list's lag and the
    /// task leases' time to live, and that no daemon holds, runs nothing any more.
    fn close_gone(&mut self, cx: &mut Context) {
        if self.listed.is_empty() {
            return;
        }
        self.note_unlisted(cx);
        let gone_after = cx.cfg.limits.gone_after;
        let gone: Vec<VmId> = self
            .unlisted
            .iter()
            .filter(|(_, since)| cx.now >= **since + gone_after)
            .filter(|(vm, _)| self.fleet.holder(vm).is_none())
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in gone {
            cx.explain(Subject::Vm(vm.clone()), "gone: off the platform's list, held by nobody");
            self.close_all(cx, &vm);
        }
    }

    fn close_all(&mut self, cx: &mut Context, vm: &VmId) {
        let from = cx.cfg.me.clone();
        for partition in self.partitions_mut() {
            for TaskAttempt { task, attempt } in partition.bound_to(vm) {
                let about = About { from: from.clone(), vm: vm.clone(), task, attempt };
                let why = CloseReason::Lost;
                let proof = Proof { ended: None, checkpoint: None, started: true, why };
                partition.closed(cx, &about, proof);
            }
        }
    }

    /// Partitions written here.
    pub fn partitions(&self) -> impl Iterator<Item = &Partition> {
        self.roles.values().filter_map(|role| match role {
            Role::Writing { partition, .. } => Some(&**partition),
            _ => None,
        })
    }

    fn partitions_mut(&mut self) -> impl Iterator<Item = &mut Partition> {
        self.roles.values_mut().filter_map(|role| match role {
            Role::Writing { partition, .. } => Some(&mut **partition),
            _ => None,
        })
    }

    /// The partition, if it is written here.
    pub fn partition(&self, id: PartitionId) -> Option<&Partition> {
        self.partitions().find(|partition| partition.id == id)
    }

    /// Who holds which VM.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }
}

impl Orphan {
    /// Answers the callers with what became of the record.
    fn settle(self, cx: &mut Context, result: &CommitResult) {
        let tickets = self.pending.tickets;
        let record = self.pending.record;
        match (result, &record.change, self.state) {
            (CommitResult::NotWritten { reason }, _, _) => partition::not_run(cx, &tickets, reason),
            (CommitResult::Durable, Change::Accepted { .. }, _) => {
                let answer = Answer::Accepted { task: record.task, repeated: false };
                partition::answer_all(cx, &tickets, &answer);
            }
            (CommitResult::Durable, change, Some(mut state)) => {
                state.apply(change);
                partition::answer_all(cx, &tickets, &Answer::Cancelling { task: state });
            }
            (CommitResult::Durable, _, None) => {
                partition::answer_all(cx, &tickets, &Answer::NotFound);
            }
        }
    }
}

fn not_written_here(cx: &mut Context, ticket: Ticket, id: PartitionId) {
    let reason = format!("partition {id} isn't written by this daemon now; ask again in a second");
    cx.reply(ticket, Answer::NotRun { reason });
}
