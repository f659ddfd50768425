//! Control leases of VMs, and the attempts on the VMs that this daemon holds.
//!
//! Rendezvous hashing within the VM's failure domain selects the daemon that requests the lease;
//! the VM's lease table is authoritative. Every operation that has an effect on a VM goes through
//! [`Vm::active_lease`], which checks the lease's expiry against the clock. Thus a daemon that was
//! paused beyond the expiry can't act on a VM that another daemon holds.

mod attempts;
mod outbox;
mod relief;
mod table;

pub use attempts::StartRequest;

use crate::chart::{Chart, Label, Machine};
use crate::core::context::{Context, Draining};
use crate::core::event::{Action, ListedState, ListedVm};
use crate::core::lease::ControlLease;
use crate::core::policy::Subject;
use crate::ids::{DaemonId, DomainId, RackId, Token, VmId};
use crate::peer::{ClassCount, PeerMsg, VmHealth, VmView};
use crate::units::Resources;
use crate::worker::{self, Granted, SyncResp, TaskAttempt};
use indexmap::IndexMap;
use outbox::Outbox;
use std::time::Duration;
use table::{LeaseTable, Stage, TableChanges};

/// State of a VM's control lease on this daemon; the transitions are in `charts/vm.toml`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmStep {
    Known,
    Asking,
    Held,
    Releasing,
    Gone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum VmEvent {
    Proposed,
    Granted,
    Refused,
    Lost,
    HandOver,
    Released,
    Delisted,
}

impl Label for VmStep {
    const ALL: &'static [(Self, &'static str)] = &[
        (Self::Known, "known"),
        (Self::Asking, "asking"),
        (Self::Held, "held"),
        (Self::Releasing, "releasing"),
        (Self::Gone, "gone"),
    ];
}

impl Label for VmEvent {
    const ALL: &'static [(Self, &'static str)] = &[
        (Self::Proposed, "proposed"),
        (Self::Granted, "granted"),
        (Self::Refused, "refused"),
        (Self::Lost, "lost"),
        (Self::HandOver, "hand-over"),
        (Self::Released, "released"),
        (Self::Delisted, "delisted"),
    ];
}

/// The VMs that this daemon holds or requests.
#[derive(Debug)]
pub struct Holder {
    chart: Machine<VmStep, VmEvent>,
    listed: IndexMap<VmId, ListedVm>,
    vms: IndexMap<VmId, Vm>,
    outbox: Outbox,
    views_changed: bool,
    next_publish: Duration,
}

/// A VM that this daemon holds or requests.
#[derive(Debug)]
struct Vm {
    domain: DomainId,
    step: VmStep,
    lease: Option<ControlLease>,
    /// Kept after the lease is lost, so that attempts missing at the next grant are detected.
    table: Option<LeaseTable>,
    /// Health as assessed by the policy.
    health: VmHealth,
    /// Whether the platform's list or the VM reports that it is leaving.
    leaving: bool,
    /// Time at which the pending call was issued.
    call_sent: Option<Duration>,
    next_call_at: Duration,
    /// Time since when another daemon is preferred as the holder.
    other_preferred_since: Option<Duration>,
}

/// A VM held by this daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct VmSummary {
    pub vm: VmId,
    pub domain: DomainId,
    pub rack: RackId,
    pub token: Token,
    /// Remaining time for which the control lease is guaranteed to be held.
    pub valid_for: Duration,
    pub size: Resources,
    pub committed: Resources,
    pub health: VmHealth,
    /// Number of committed tasks of each class.
    pub classes: Vec<ClassCount>,
    /// Attempts that occupy resources, including service instances.
    pub attempts: Vec<TaskAttempt>,
}

/// A control lease whose expiry was checked against the clock.
#[derive(Clone, Copy, Debug)]
struct ActiveLease {
    token: Token,
    valid_until: Duration,
}

impl Vm {
    fn new(domain: DomainId) -> Self {
        Self {
            domain,
            step: VmStep::Known,
            lease: None,
            table: None,
            health: VmHealth::Open,
            leaving: false,
            call_sent: None,
            next_call_at: Duration::ZERO,
            other_preferred_since: None,
        }
    }

    /// The control lease, if it is guaranteed to be held now.
    fn active_lease(&self, now: Duration) -> Option<ActiveLease> {
        let lease = self.lease.filter(|lease| lease.is_valid_at(now))?;
        Some(ActiveLease { token: lease.token(), valid_until: lease.valid_until() })
    }

    /// The lease table, if the VM may accept new work.
    fn open_table(&mut self, now: Duration) -> Option<&mut LeaseTable> {
        self.active_lease(now)?;
        self.table.as_mut().filter(|_| self.step == VmStep::Held)
    }

    fn health(&self) -> VmHealth {
        if self.leaving { VmHealth::Leaving } else { self.health }
    }

    fn summary(&self, vm: &VmId, now: Duration) -> Option<VmSummary> {
        let lease = self.active_lease(now)?;
        let table = self.table.as_ref()?;
        let live = table.iter().filter(|(_, slot)| slot.stage.occupies_resources());
        Some(VmSummary {
            vm: vm.clone(),
            domain: self.domain.clone(),
            rack: table.rack.clone(),
            token: lease.token,
            valid_for: lease.valid_until.saturating_sub(now),
            size: table.size,
            committed: table.committed().unwrap_or(table.size),
            health: self.health(),
            classes: table.classes(),
            attempts: live.map(|(id, _)| *id).collect(),
        })
    }

    fn view(&self, vm: &VmId, me: &DaemonId) -> Option<VmView> {
        let table = self.table.as_ref()?;
        Some(VmView {
            vm: vm.clone(),
            holder: me.clone(),
            domain: self.domain.clone(),
            rack: table.rack.clone(),
            size: table.size,
            free: table.free(),
            classes: table.classes(),
            health: self.health(),
        })
    }
}

impl Holder {
    /// Creates a holder without VMs; fails if the state chart is invalid.
    pub fn new() -> crate::chart::Result<Self> {
        let chart = Chart::parse(include_str!("../../charts/vm.toml"))?;
        Ok(Self {
            chart: Machine::new(&chart)?,
            listed: IndexMap::new(),
            vms: IndexMap::new(),
            outbox: Outbox::default(),
            views_changed: false,
            next_publish: Duration::ZERO,
        })
    }

    /// Replaces the platform's list of VMs.
    pub fn update_list(&mut self, cx: &mut Context, listed: Vec<ListedVm>) {
        self.listed = listed.into_iter().map(|vm| (vm.vm.clone(), vm)).collect();
        self.update_preferences(cx);
    }

    /// Recomputes which VMs this daemon is the preferred holder of.
    pub fn update_preferences(&mut self, cx: &mut Context) {
        for (id, listed) in &self.listed {
            let preferred =
                cx.members.preferred_holder(id, &listed.domain) == Some(&cx.cfg.daemon_id);
            if preferred {
                self.vms.entry(id.clone()).or_insert_with(|| Vm::new(listed.domain.clone()));
            }
            if let Some(vm) = self.vms.get_mut(id) {
                vm.leaving |= listed.state == ListedState::Leaving;
                vm.other_preferred_since =
                    if preferred { None } else { vm.other_preferred_since.or(Some(cx.now)) };
            }
        }
        let chart = &self.chart;
        let listed = &self.listed;
        self.vms.retain(|id, vm| {
            if vm.step == VmStep::Known && !listed.contains_key(id) {
                fire(chart, vm, VmEvent::Delisted, cx);
            }
            vm.step != VmStep::Gone
                && (vm.step != VmStep::Known || vm.other_preferred_since.is_none())
        });
    }

    /// Requests, renews and releases leases, and retries unanswered messages, as they become due.
    pub fn tick(&mut self, cx: &mut Context) {
        let ids: Vec<VmId> = self.vms.keys().cloned().collect();
        for id in &ids {
            self.tick_vm(cx, id);
        }
        self.outbox.resend_due(cx);
        self.publish(cx);
    }

    fn tick_vm(&mut self, cx: &mut Context, id: &VmId) {
        let Some(vm) = self.vms.get_mut(id) else { return };
        match vm.step {
            VmStep::Known => self.request_lease(cx, id),
            VmStep::Asking => {
                if vm.call_sent.is_none_or(|sent| cx.now >= sent + cx.cfg.lease_ttl) {
                    fire(&self.chart, vm, VmEvent::Refused, cx);
                    vm.call_sent = None;
                }
            }
            VmStep::Held if vm.active_lease(cx.now).is_none() => {
                self.lose_lease(cx, id, "its lease ran out")
            }
            VmStep::Held => {
                self.renew_lease(cx, id);
                self.retry_unanswered(cx, id);
                self.hand_over_if_due(cx, id);
            }
            VmStep::Releasing => self.release_when_idle(cx, id),
            VmStep::Gone => {}
        }
    }

    fn request_lease(&mut self, cx: &mut Context, id: &VmId) {
        let Some(vm) = self.vms.get_mut(id) else { return };
        let wanted = cx.draining == Draining::No && vm.other_preferred_since.is_none();
        if !wanted || cx.now < vm.next_call_at {
            return;
        }
        fire(&self.chart, vm, VmEvent::Proposed, cx);
        vm.call_sent = Some(cx.now);
        cx.act(Action::Acquire { vm: id.clone(), ttl: cx.cfg.lease_ttl });
    }

    fn renew_lease(&mut self, cx: &mut Context, id: &VmId) {
        let Some(vm) = self.vms.get_mut(id) else { return };
        let pending = vm.call_sent.is_some_and(|sent| cx.now < sent + 2 * cx.cfg.sync_period);
        let (Some(lease), Some(table)) = (vm.active_lease(cx.now), vm.table.as_ref()) else {
            return;
        };
        if pending || cx.now < vm.next_call_at {
            return;
        }
        let forget = table
            .iter()
            .filter(|(_, slot)| slot.stage == Stage::Acknowledged)
            .map(|(attempt, _)| *attempt)
            .collect();
        vm.call_sent = Some(cx.now);
        vm.next_call_at = cx.now + cx.cfg.sync_period;
        let ttl = cx.cfg.lease_ttl;
        cx.act(Action::Sync { vm: id.clone(), token: lease.token, ttl, forget });
    }

    fn hand_over_if_due(&mut self, cx: &mut Context, id: &VmId) {
        let Some(vm) = self.vms.get_mut(id) else { return };
        let settled =
            vm.other_preferred_since.is_some_and(|at| cx.now >= at + cx.cfg.limits.handover_after);
        if settled || cx.draining == Draining::Yes {
            fire(&self.chart, vm, VmEvent::HandOver, cx);
            self.release_when_idle(cx, id);
        }
    }

    /// Releases a VM's control lease once no start or close is in progress on it.
    ///
    /// An early release would discard the responses, and the next holder would have to close a
    /// start without a response to obtain proof. The wait is bounded by the lease's expiry.
    fn release_when_idle(&mut self, cx: &mut Context, id: &VmId) {
        let Some(vm) = self.vms.get_mut(id) else { return };
        let Some(lease) = vm.active_lease(cx.now) else {
            return self.lose_lease(cx, id, "its lease ran out");
        };
        let in_progress = vm.table.as_ref().is_some_and(|table| {
            table
                .iter()
                .any(|(_, slot)| matches!(slot.stage, Stage::Starting | Stage::Closing { .. }))
        });
        if in_progress {
            return;
        }
        cx.act(Action::Release { vm: id.clone(), token: lease.token });
        cx.counters.handovers += 1;
        cx.explain(Subject::Vm(id.clone()), "control given back for another daemon to take");
        fire(&self.chart, vm, VmEvent::Released, cx);
        self.clear_lease(cx, id);
    }

    /// Handles the response to a control lease request.
    pub fn acquired(
        &mut self,
        cx: &mut Context,
        id: &VmId,
        sent: Duration,
        result: worker::Result<Granted>,
    ) {
        let Some(vm) = self.vms.get_mut(id) else { return self.release_unwanted(cx, id, result) };
        vm.call_sent = None;
        match result {
            Ok(granted) => self.granted(cx, id, sent, &granted),
            Err(e) => {
                let wait = match e {
                    worker::Error::Held { remaining_ms, .. } => Duration::from_millis(remaining_ms),
                    _ => cx.cfg.limits.retry_period,
                };
                vm.next_call_at = cx.now + wait.min(cx.cfg.limits.retry_period);
                if vm.step == VmStep::Asking {
                    fire(&self.chart, vm, VmEvent::Refused, cx);
                }
            }
        }
    }

    /// Releases a lease that was granted after this daemon stopped wanting the VM.
    fn release_unwanted(&mut self, cx: &mut Context, id: &VmId, result: worker::Result<Granted>) {
        cx.counters.stale += 1;
        if let Ok(granted) = result {
            cx.act(Action::Release { vm: id.clone(), token: granted.token });
        }
    }

    fn granted(&mut self, cx: &mut Context, id: &VmId, sent: Duration, granted: &Granted) {
        let Some(vm) = self.vms.get_mut(id) else { return };
        let lease = ControlLease::new(granted.token, sent, cx.lease_terms());
        let older = vm.lease.is_some_and(|held| held.token() > granted.token);
        if older || !lease.is_valid_at(cx.now) || vm.step == VmStep::Releasing {
            cx.counters.stale += 1;
            if vm.step == VmStep::Asking {
                fire(&self.chart, vm, VmEvent::Lost, cx);
            }
            return;
        }
        if vm.step == VmStep::Known {
            fire(&self.chart, vm, VmEvent::Proposed, cx);
        }
        fire(&self.chart, vm, VmEvent::Granted, cx);
        vm.lease = Some(lease);
        vm.next_call_at = cx.now;
        let status = &granted.status;
        let table = vm.table.get_or_insert_with(|| LeaseTable::new(status));
        table.size = status.size;
        let changes = table.reconcile(status.boot, &status.tasks, &[], sent, cx.now);
        cx.explain(Subject::Vm(id.clone()), format!("control taken with token {}", granted.token));
        self.apply_changes(cx, id, &changes);
    }

    /// Handles the response to a renewal.
    pub fn synced(
        &mut self,
        cx: &mut Context,
        id: &VmId,
        sent: Duration,
        result: worker::Result<SyncResp>,
    ) {
        let Some(vm) = self.vms.get_mut(id) else { return };
        // A response to a renewal under an earlier grant does not apply to the current one.
        let Some(lease) = vm.lease.as_mut().filter(|lease| sent >= lease.requested_at()) else {
            cx.counters.stale += 1;
            return;
        };
        vm.call_sent = None;
        match result {
            Ok(resp) => {
                lease.renew(sent, cx.lease_terms());
                vm.leaving |= resp.leaving;
                let Some(table) = vm.table.as_mut() else { return };
                let changes = table.reconcile(resp.boot, &resp.tasks, &resp.ended, sent, cx.now);
                self.apply_changes(cx, id, &changes);
                self.handle_report(cx, id, resp.report.as_ref());
            }
            Err(worker::Error::Fenced { .. } | worker::Error::Held { .. }) => {
                self.lose_lease(cx, id, "another daemon took it");
            }
            Err(_) => vm.next_call_at = vm.next_call_at.min(cx.now + cx.cfg.sync_period / 2),
        }
    }

    /// Marks the control lease as lost and stops acting on the VM.
    fn lose_lease(&mut self, cx: &mut Context, id: &VmId, why: &str) {
        let Some(vm) = self.vms.get_mut(id) else { return };
        if vm.lease.is_none() {
            return;
        }
        fire(&self.chart, vm, VmEvent::Lost, cx);
        cx.counters.leases_lost += 1;
        cx.explain(Subject::Vm(id.clone()), format!("control lost: {why}"));
        self.clear_lease(cx, id);
    }

    /// Clears the lease, and keeps unacknowledged reports for retransmission.
    fn clear_lease(&mut self, cx: &mut Context, id: &VmId) {
        let Some(vm) = self.vms.get_mut(id) else { return };
        vm.lease = None;
        vm.call_sent = None;
        vm.next_call_at = cx.now;
        if let Some(table) = vm.table.as_mut() {
            for (attempt, slot) in table.iter() {
                if let Some(report) =
                    slot.report(id, attempt).filter(|_| !slot.stage.occupies_resources())
                {
                    self.outbox.insert(id, *attempt, report);
                }
            }
            table.mark_lease_lost(cx.now);
        }
        cx.policy.remove_vm(id);
        self.views_changed = true;
        if vm.other_preferred_since.is_some() || cx.draining == Draining::Yes {
            self.vms.shift_remove(id);
        }
    }

    fn apply_changes(&mut self, cx: &mut Context, id: &VmId, changes: &TableChanges) {
        self.views_changed = true;
        self.report_changes(cx, id, changes);
    }

    /// Sends the held VMs' views to the writers, after changes and once per renewal interval.
    fn publish(&mut self, cx: &mut Context) {
        if !self.views_changed && cx.now < self.next_publish {
            return;
        }
        self.views_changed = false;
        self.next_publish = cx.now + cx.cfg.sync_period;
        let views = self.views(cx);
        for view in &views {
            cx.policy.upsert_vm(view.clone());
        }
        let writers: Vec<DaemonId> = cx.members.writers().into_iter().cloned().collect();
        for writer in writers {
            cx.send(&writer, PeerMsg::Views { views: views.clone() });
        }
    }

    /// Summaries of the VMs held at `now`.
    pub fn summaries(&self, now: Duration) -> Vec<VmSummary> {
        self.vms.iter().filter_map(|(id, vm)| vm.summary(id, now)).collect()
    }

    fn views(&self, cx: &Context) -> Vec<VmView> {
        let held = self.vms.iter().filter(|(_, vm)| vm.step == VmStep::Held);
        held.filter_map(|(id, vm)| vm.view(id, &cx.cfg.daemon_id)).collect()
    }
}

/// Applies an event to a VM's state chart; an undeclared event is only counted.
fn fire(chart: &Machine<VmStep, VmEvent>, vm: &mut Vm, event: VmEvent, cx: &mut Context) {
    match chart.next(vm.step, event) {
        Ok(next) => vm.step = next,
        Err(e) => {
            cx.counters.undeclared_transitions += 1;
            eprintln!("DBG vm {e}");
            log::warn!(error:% = e; "undeclared transition");
        }
    }
}
