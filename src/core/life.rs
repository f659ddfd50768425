//! Lifecycle of the tasks whose partitions this daemon writes.
//!
//! Rendezvous hashing selects the preferred writer of each partition; the compare-and-swap on the
//! partition's log ensures that only one daemon's commits succeed. Two daemons may briefly both
//! consider themselves the writer. The commits of the superseded one are reported as not written,
//! and it drops the partition.

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
use partition::{Partition, Settled};
use std::sync::Arc;
use std::time::Duration;
use steps::{AttemptReport, Proof};
use task::TaskChart;

/// Minimum time between two rounds that reconsider all waiting tasks.
const PLACEMENT_ROUND_PERIOD: Duration = Duration::from_millis(200);

/// Interval between scans for silent holders and for VMs that are off the platform's list.
const SCAN_PERIOD: Duration = Duration::from_secs(1);

/// All partitions, and this daemon's role in each.
#[derive(Debug)]
pub struct Writer {
    chart: Arc<TaskChart>,
    roles: IndexMap<PartitionId, Role>,
    losses: IndexMap<PartitionId, Losses>,
    fleet: Fleet,
    /// In-flight commits of partitions that were dropped.
    orphaned: IndexMap<Ticket, Vec<OrphanedRecord>>,
    placement_round_due: bool,
    next_placement_round: Duration,
    listed: IndexSet<VmId>,
    /// VMs with bound attempts that are off the list, with the time since when.
    unlisted: IndexMap<VmId, Duration>,
    next_scan: Duration,
    /// Number of eviction requests so far; rotates them among VMs.
    eviction_requests: usize,
}

/// Role of this daemon for a partition.
#[derive(Debug)]
enum Role {
    /// Another daemon writes it; `since` is when this daemon became the preferred writer, if it is.
    Other {
        since: Option<Duration>,
    },
    /// Its log is being loaded.
    ///
    /// No other load is requested until this one completes, even if another daemon becomes the
    /// preferred writer meanwhile. The response to a second load could overtake a commit, and a
    /// state without that commit's records would be taken for the content of the log.
    Recovering,
    Writing {
        partition: Box<Partition>,
        other_preferred_since: Option<Duration>,
    },
}

/// An in-flight record of a partition that was dropped.
#[derive(Debug)]
struct OrphanedRecord {
    pending: Pending,
    state: Option<TaskState>,
}

impl Writer {
    /// Creates a writer without partitions; fails if the state chart is invalid.
    pub fn new() -> crate::chart::Result<Self> {
        Ok(Self {
            chart: Arc::new(task::load_chart()?),
            roles: IndexMap::new(),
            losses: IndexMap::new(),
            fleet: Fleet::default(),
            orphaned: IndexMap::new(),
            placement_round_due: false,
            next_placement_round: Duration::ZERO,
            listed: IndexSet::new(),
            unlisted: IndexMap::new(),
            next_scan: Duration::ZERO,
            eviction_requests: 0,
        })
    }

    /// Updates the roles after a change of members.
    pub fn members_changed(&mut self, cx: &mut Context) {
        self.fleet.expire(cx);
        for home in &cx.cfg.partitions {
            let preferred = cx.members.preferred_writer(home.id) == Some(&cx.cfg.daemon_id);
            let role = self.roles.entry(home.id).or_insert(Role::Other { since: None });
            match role {
                Role::Other { since } if preferred => *since = since.or(Some(cx.now)),
                Role::Other { since } => *since = None,
                Role::Recovering => {}
                Role::Writing { partition, other_preferred_since } if preferred => {
                    if other_preferred_since.take().is_some() {
                        partition.mark_suspect();
                    }
                }
                Role::Writing { other_preferred_since, .. } => {
                    *other_preferred_since = other_preferred_since.or(Some(cx.now))
                }
            }
        }
    }

    /// Claims and hands over partitions, and retries unanswered messages, as they become due.
    pub fn tick(&mut self, cx: &mut Context) {
        self.update_roles(cx);
        for role in self.roles.values_mut() {
            if let Role::Writing { partition, .. } = role {
                partition.tick(cx, &self.fleet);
            }
        }
        if cx.now >= self.next_scan {
            self.next_scan = cx.now + SCAN_PERIOD;
            self.fleet.expire(cx);
            self.close_removed_vms(cx);
        }
    }

    fn update_roles(&mut self, cx: &mut Context) {
        let limits = cx.cfg.limits.clone();
        for (id, role) in &mut self.roles {
            match role {
                Role::Other { since: Some(since) }
                    if cx.now >= *since + limits.recover_after && cx.draining == Draining::No =>
                {
                    *role = Role::Recovering;
                    cx.act(Action::Recover { partition: *id });
                }
                // Another daemon seems to have written the partition. Without a commit this daemon
                // would never notice, and that daemon's tasks would be left without a writer.
                Role::Writing { partition, .. }
                    if partition.needs_reload(cx.now, limits.store_backoff_max) =>
                {
                    *role = Role::Recovering;
                    cx.act(Action::Recover { partition: *id });
                }
                Role::Writing { partition, other_preferred_since: Some(since) }
                    if cx.now >= *since + limits.handover_after && partition.log.is_idle() =>
                {
                    *role = Role::Other { since: None };
                }
                _ => {}
            }
        }
    }

    /// Becomes the writer of a partition whose log was loaded.
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
        let preferred = cx.members.preferred_writer(id) == Some(&cx.cfg.daemon_id);
        let other_preferred_since = if preferred { None } else { Some(cx.now) };
        self.roles
            .insert(id, Role::Writing { partition: Box::new(partition), other_preferred_since });
        self.placement_round_due = true;
    }

    /// Drops a partition that another daemon writes.
    pub fn superseded(&mut self, cx: &mut Context, id: PartitionId) {
        if !matches!(self.roles.get(&id), Some(Role::Writing { .. })) {
            return;
        }
        let preferred = cx.members.preferred_writer(id) == Some(&cx.cfg.daemon_id);
        let least = cx.cfg.limits.recover_after;
        let wait = self.losses.entry(id).or_default().record(cx.now, least);
        let role = Role::Other { since: preferred.then_some(cx.now + wait) };
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
            let orphan = |pending: Pending| OrphanedRecord { state: state(&pending), pending };
            self.orphaned.insert(ticket, records.into_iter().map(orphan).collect());
        }
    }

    /// Handles the outcome of a commit.
    pub fn committed(&mut self, cx: &mut Context, ticket: Ticket, result: &CommitResult) {
        for role in self.roles.values_mut() {
            if let Role::Writing { partition, .. } = role
                && partition.committed(cx, &self.fleet, ticket, result) == Settled::Yes
            {
                return;
            }
        }
        for orphan in self.orphaned.swap_remove(&ticket).into_iter().flatten() {
            orphan.settle(cx, result);
        }
    }

    /// Handles a caller's submission.
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
            _ => reply_not_writer(cx, ticket, id),
        }
    }

    /// Handles a caller's cancellation.
    pub fn cancel(&mut self, cx: &mut Context, ticket: Ticket, task: TaskId) {
        match self.roles.get_mut(&task.partition) {
            Some(Role::Writing { partition, .. }) => partition.cancel(cx, ticket, task.number),
            _ => reply_not_writer(cx, ticket, task.partition),
        }
    }

    /// Handles a holder's list of the VMs that it holds.
    pub fn views(&mut self, cx: &mut Context, from: &DaemonId, views: Vec<VmView>) {
        let changed = self.fleet.update_views(cx, from, views);
        self.placement_round_due = true;
        for partition in self.partitions_mut() {
            for vm in &changed {
                partition.requery_bound(cx, vm);
            }
        }
    }

    /// Schedules a round that reconsiders all waiting tasks, after a configuration change.
    pub fn schedule_placement_round(&mut self) {
        self.placement_round_due = true;
    }

    /// Handles a holder's message about an attempt.
    pub fn answered(&mut self, cx: &mut Context, from: &DaemonId, msg: PeerMsg) {
        let from = from.clone();
        match msg {
            PeerMsg::Reserved { vm, boot, task, attempt } => {
                let report = AttemptReport { from, vm, task, attempt };
                self.fleet.reservation_answered(&report.vm, &report.id());
                self.with_partition(cx, task, |partition, cx| {
                    partition.reserved(cx, &report, boot)
                });
            }
            PeerMsg::Declined { vm, task, attempt, reason } => {
                let report = AttemptReport { from, vm, task, attempt };
                self.fleet.reservation_answered(&report.vm, &report.id());
                if reason == crate::peer::Decline::NotHeld {
                    self.fleet.not_held(cx, &report.vm, &report.from);
                }
                self.with_partition(cx, task, |partition, cx| {
                    partition.declined(cx, &report, reason)
                });
            }
            PeerMsg::Started { vm, task, attempt } => {
                let report = AttemptReport { from, vm, task, attempt };
                self.with_partition(cx, task, |partition, cx| partition.started(cx, &report));
            }
            PeerMsg::Ended { vm, task, attempt, outcome } => {
                let report = AttemptReport { from, vm, task, attempt };
                self.with_partition(cx, task, |partition, cx| {
                    partition.ended(cx, &report, outcome)
                });
            }
            PeerMsg::Closed { vm, task, attempt, ended, checkpoint, started, why } => {
                let report = AttemptReport { from, vm, task, attempt };
                let proof = Proof { ended, checkpoint, started, why };
                self.with_partition(cx, task, |partition, cx| partition.closed(cx, &report, proof));
            }
            _ => cx.counters.stale += 1,
        }
    }

    fn with_partition(
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

    /// Places waiting tasks, then starts the commits that are due; returns unplaced urgent tasks.
    pub fn advance(&mut self, cx: &mut Context) -> Vec<Candidate> {
        if self.placement_round_due && cx.now >= self.next_placement_round {
            self.placement_round_due = false;
            self.next_placement_round = cx.now + PLACEMENT_ROUND_PERIOD;
            self.partitions_mut().for_each(|partition| partition.waiting.unblock());
        }
        let mut budget = cx.cfg.limits.places_per_step;
        let mut unplaced = Vec::new();
        for role in self.roles.values_mut() {
            if let Role::Writing { partition, .. } = role {
                unplaced.extend(partition.place(cx, &mut self.fleet, &mut budget));
                let id = partition.id;
                partition.log.flush(cx, id);
            }
        }
        unplaced
    }

    /// Sends a reservation to a holder without enough free resources, so that it evicts tasks for
    /// an urgent one.
    ///
    /// The task remains queued and is placed on the first VM that has room.
    pub fn request_eviction(&mut self, cx: &mut Context, candidate: &Candidate) {
        self.eviction_requests = self.eviction_requests.wrapping_add(1);
        let room = &candidate.spec.resources;
        let Some(vm) =
            self.fleet.find_large_enough(room, &cx.cfg.daemon_id, self.eviction_requests).cloned()
        else {
            return;
        };
        let Some(to) = self.fleet.holder(&vm).cloned() else { return };
        let (task, attempt) = (candidate.task, candidate.attempt);
        cx.send(&to, PeerMsg::Reserve { vm, task, attempt, spec: candidate.spec.clone() });
    }

    /// Replaces the platform's list, which shows which VMs have been removed.
    ///
    /// An empty list is ignored, as it more likely means a faulty list than that all VMs are gone.
    pub fn listed(&mut self, listed: &[ListedVm]) {
        if !listed.is_empty() {
            self.listed = listed.iter().map(|listed| listed.vm.clone()).collect();
        }
    }

    fn update_unlisted(&mut self, cx: &Context) {
        let mut unlisted = IndexMap::new();
        for vm in self.partitions().flat_map(Partition::bound_vms) {
            if !self.listed.contains(vm) {
                let since = self.unlisted.get(vm).copied().unwrap_or(cx.now);
                unlisted.insert(vm.clone(), since);
            }
        }
        self.unlisted = unlisted;
    }

    /// Closes, as lost, the attempts on VMs that have been removed from the platform.
    ///
    /// A VM runs nothing any more if no daemon holds it and it has been off the platform's list for
    /// `gone_after`, which covers the list's delay and the TTL of the task leases.
    fn close_removed_vms(&mut self, cx: &mut Context) {
        if self.listed.is_empty() {
            return;
        }
        self.update_unlisted(cx);
        let gone_after = cx.cfg.limits.gone_after;
        let removed: Vec<VmId> = self
            .unlisted
            .iter()
            .filter(|(_, since)| cx.now >= **since + gone_after)
            .filter(|(vm, _)| self.fleet.holder(vm).is_none())
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in removed {
            cx.explain(Subject::Vm(vm.clone()), "gone: off the platform's list, held by nobody");
            self.close_all(cx, &vm);
        }
    }

    fn close_all(&mut self, cx: &mut Context, vm: &VmId) {
        let from = cx.cfg.daemon_id.clone();
        for partition in self.partitions_mut() {
            for TaskAttempt { task, attempt } in partition.bound_to(vm) {
                let report = AttemptReport { from: from.clone(), vm: vm.clone(), task, attempt };
                let why = CloseReason::Lost;
                let proof = Proof { ended: None, checkpoint: None, started: true, why };
                partition.closed(cx, &report, proof);
            }
        }
    }

    /// Partitions written by this daemon.
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

    /// Returns the partition if this daemon writes it.
    pub fn partition(&self, id: PartitionId) -> Option<&Partition> {
        self.partitions().find(|partition| partition.id == id)
    }

    /// The VMs reported by their holders.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }
}

impl OrphanedRecord {
    /// Replies to the callers with the outcome of the record.
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

fn reply_not_writer(cx: &mut Context, ticket: Ticket, id: PartitionId) {
    let reason = format!("partition {id} isn't written by this daemon now; ask again in a second");
    cx.reply(ticket, Answer::NotRun { reason });
}
