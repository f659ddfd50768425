//! The holder's side: which VMs this daemon controls, and for how long.
//!
//! Rendezvous over the VM's own failure domain proposes who asks; the VM's lease table decides.
//! Everything with an effect goes through [`Vm::grip`], which compares the clock with the end of
//! the lease, so that a daemon that was paused past it can't act on a VM that another one holds.

mod attempts;
mod outbox;
mod relief;
mod table;

pub use attempts::StartAsked;

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
use table::{Changes, Stage, Table};

/// Where this daemon stands with a VM.
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

/// The VMs that this daemon controls or asks for.
#[derive(Debug)]
pub struct Holder {
    chart: Machine<VmStep, VmEvent>,
    listed: IndexMap<VmId, ListedVm>,
    vms: IndexMap<VmId, Vm>,
    outbox: Outbox,
    views_changed: bool,
    views_due: Duration,
}

/// A VM that this daemon controls or asks for.
#[derive(Debug)]
struct Vm {
    domain: DomainId,
    step: VmStep,
    lease: Option<ControlLease>,
    /// Kept after the lease is lost, so that what is missing at the next grant is noticed.
    table: Option<Table>,
    /// What the policy thinks of it.
    health: VmHealth,
    /// Whether the list or the VM itself says that it is leaving.
    leaving: bool,
    /// Time at which the call under way was asked for.
    call: Option<Duration>,
    next_call: Duration,
    /// Time since which another daemon is proposed.
    other_since: Option<Duration>,
}

/// A VM held by this daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct VmSummary {
    pub vm: VmId,
    pub domain: DomainId,
    pub rack: RackId,
    pub token: Token,
    /// Time for which the control lease is surely held.
    pub valid_for: Duration,
    pub size: Resources,
    pub committed: Resources,
    pub health: VmHealth,
    /// Committed tasks of each class.
    pub classes: Vec<ClassCount>,
    /// Attempts that take room, service instances included.
    pub attempts: Vec<TaskAttempt>,
}

/// The right to act on a VM, checked against the clock.
#[derive(Clone, Copy, Debug)]
struct Grip {
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
            call: None,
            next_call: Duration::ZERO,
            other_since: None,
        }
    }

    /// The right to act now, if the lease is surely held.
    fn grip(&self, now: Duration) -> Option<Grip> {
        let lease = self.lease.filter(|lease| lease.holds_at(now))?;
        Some(Grip { token: lease.token(), valid_until: lease.valid_until() })
    }

    /// The table, where new work may be taken on.
    fn open_table(&mut self, now: Duration) -> Option<&mut Table> {
        self.grip(now)?;
        self.table.as_mut().filter(|_| self.step == VmStep::Held)
    }

    fn health(&self) -> VmHealth {
        if self.leaving { VmHealth::Leaving } else { self.health }
    }

    fn summary(&self, vm: &VmId, now: Duration) -> Option<VmSummary> {
        let grip = self.grip(now)?;
        let table = self.table.as_ref()?;
        let live = table.iter().filter(|(_, slot)| slot.stage.takes_room());
        Some(VmSummary {
            vm: vm.clone(),
            domain: self.domain.clone(),
            rack: table.rack.clone(),
            token: grip.token,
            valid_for: grip.valid_until.saturating_sub(now),
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
    /// A holder of no VM.
    pub fn new() -> crate::chart::Result<Self> {
        let chart = Chart::parse(include_str!("../../charts/vm.toml"))?;
        Ok(Self {
            chart: Machine::new(&chart)?,
            listed: IndexMap::new(),
            vms: IndexMap::new(),
            outbox: Outbox::default(),
            views_changed: false,
            views_due: Duration::ZERO,
        })
    }

    /// Takes over the platform's list.
    pub fn list(&mut self, cx: &mut Context, listed: Vec<ListedVm>) {
        self.listed = listed.into_iter().map(|vm| (vm.vm.clone(), vm)).collect();
        self.propose(cx);
    }

    /// Works out anew which VMs are proposed to this daemon.
    pub fn propose(&mut self, cx: &mut Context) {
        for (id, listed) in &self.listed {
            let mine = cx.members.holder_of(id, &listed.domain) == Some(&cx.cfg.me);
            if mine {
                self.vms.entry(id.clone()).or_insert_with(|| Vm::new(listed.domain.clone()));
            }
            if let Some(vm) = self.vms.get_mut(id) {
                vm.leaving |= listed.state == ListedState::Leaving;
                vm.other_since = if mine { None } else { vm.other_since.or(Some(cx.now)) };
            }
        }
        let chart = &self.chart;
        let listed = &self.listed;
        self.vms.retain(|id, vm| {
            if vm.step == VmStep::Known && !listed.contains_key(id) {
                step(chart, vm, VmEvent::Delisted, cx);
            }
            vm.step != VmStep::Gone && (vm.step != VmStep::Known || vm.other_since.is_none())
        });
    }

    /// What is due: asking, renewing, giving back, repeating.
    pub fn tick(&mut self, cx: &mut Context) {
        let ids: Vec<VmId> = self.vms.keys().cloned().collect();
        for id in &ids {
            self.tick_vm(cx, id);
        }
        self.outbox.repeat(cx);
        self.publish(cx);
    }

    fn tick_vm(&mut self, cx: &mut Context, id: &VmId) {
        let Some(vm) = self.vms.get_mut(id) else { return };
        match vm.step {
            VmStep::Known => self.ask(cx, id),
            VmStep::Asking => {
                if vm.call.is_none_or(|sent| cx.now >= sent + cx.cfg.lease_ttl) {
                    step(&self.chart, vm, VmEvent::Refused, cx);
                    vm.call = None;
                }
            }
            VmStep::Held if vm.grip(cx.now).is_none() => self.lose(cx, id, "its lease ran out"),
            VmStep::Held => {
                self.renew(cx, id);
                self.repeat(cx, id);
                self.hand_over_if_due(cx, id);
            }
            VmStep::Releasing => self.release(cx, id),
            VmStep::Gone => {}
        }
    }

    fn ask(&mut self, cx: &mut Context, id: &VmId) {
        let Some(vm) = self.vms.get_mut(id) else { return };
        let wanted = cx.draining == Draining::No && vm.other_since.is_none();
        if !wanted || cx.now < vm.next_call {
            return;
        }
        step(&self.chart, vm, VmEvent::Proposed, cx);
        vm.call = Some(cx.now);
        cx.act(Action::Acquire { vm: id.clone(), ttl: cx.cfg.lease_ttl });
    }

    fn renew(&mut self, cx: &mut Context, id: &VmId) {
        let Some(vm) = self.vms.get_mut(id) else { return };
        let pending = vm.call.is_some_and(|sent| cx.now < sent + 2 * cx.cfg.sync_period);
        let (Some(grip), Some(table)) = (vm.grip(cx.now), vm.table.as_ref()) else { return };
        if pending || cx.now < vm.next_call {
            return;
        }
        let forget = table
            .iter()
            .filter(|(_, slot)| slot.stage == Stage::Recorded)
            .map(|(attempt, _)| *attempt)
            .collect();
        vm.call = Some(cx.now);
        vm.next_call = cx.now + cx.cfg.sync_period;
        let ttl = cx.cfg.lease_ttl;
        cx.act(Action::Sync { vm: id.clone(), token: grip.token, ttl, forget });
    }

    fn hand_over_if_due(&mut self, cx: &mut Context, id: &VmId) {
        let Some(vm) = self.vms.get_mut(id) else { return };
        let settled = vm.other_since.is_some_and(|at| cx.now >= at + cx.cfg.limits.handover_after);
        if settled || cx.draining == Draining::Yes {
            step(&self.chart, vm, VmEvent::HandOver, cx);
            self.release(cx, id);
        }
    }

    /// Gives a VM back once no start or close is under way there.
    ///
    /// Waiting keeps the answers: a start whose answer went unheard would have to be closed for
    /// proof by the next holder. The wait is bounded by the lease.
    fn release(&mut self, cx: &mut Context, id: &VmId) {
        let Some(vm) = self.vms.get_mut(id) else { return };
        let Some(grip) = vm.grip(cx.now) else { return self.lose(cx, id, "its lease ran out") };
        let under_way = vm.table.as_ref().is_some_and(|table| {
            table
                .iter()
                .any(|(_, slot)| matches!(slot.stage, Stage::Starting | Stage::Closing { .. }))
        });
        if under_way {
            return;
        }
        cx.act(Action::Release { vm: id.clone(), token: grip.token });
        cx.counters.hand_overs += 1;
        cx.explain(Subject::Vm(id.clone()), "control given back for another daemon to take");
        step(&self.chart, vm, VmEvent::Released, cx);
        self.forget(cx, id);
    }

    /// Takes note of an answer to a request for the control lease.
    pub fn acquired(
        &mut self,
        cx: &mut Context,
        id: &VmId,
        sent: Duration,
        result: worker::Result<Granted>,
    ) {
        let Some(vm) = self.vms.get_mut(id) else { return self.give_back(cx, id, result) };
        vm.call = None;
        match result {
            Ok(granted) => self.granted(cx, id, sent, &granted),
            Err(e) => {
                let wait = match e {
                    worker::Error::Held { remaining_ms, .. } => Duration::from_millis(remaining_ms),
                    _ => cx.cfg.limits.retry_period,
                };
                vm.next_call = cx.now + wait.min(cx.cfg.limits.retry_period);
                if vm.step == VmStep::Asking {
                    step(&self.chart, vm, VmEvent::Refused, cx);
                }
            }
        }
    }

    /// Gives back a lease that came after the wish for it was dropped.
    fn give_back(&mut self, cx: &mut Context, id: &VmId, result: worker::Result<Granted>) {
        cx.counters.stale += 1;
        if let Ok(granted) = result {
            cx.act(Action::Release { vm: id.clone(), token: granted.token });
        }
    }

    fn granted(&mut self, cx: &mut Context, id: &VmId, sent: Duration, granted: &Granted) {
        let Some(vm) = self.vms.get_mut(id) else { return };
        let lease = ControlLease::new(granted.token, sent, cx.terms());
        let older = vm.lease.is_some_and(|held| held.token() > granted.token);
        if older || !lease.holds_at(cx.now) || vm.step == VmStep::Releasing {
            cx.counters.stale += 1;
            if vm.step == VmStep::Asking {
                step(&self.chart, vm, VmEvent::Lost, cx);
            }
            return;
        }
        if vm.step == VmStep::Known {
            step(&self.chart, vm, VmEvent::Proposed, cx);
        }
        step(&self.chart, vm, VmEvent::Granted, cx);
        vm.lease = Some(lease);
        vm.next_call = cx.now;
        let status = &granted.status;
        let table = vm.table.get_or_insert_with(|| Table::new(status));
        table.size = status.size;
        let changes = table.absorb(status.boot, &status.tasks, &[], sent, cx.now);
        cx.explain(Subject::Vm(id.clone()), format!("control taken with token {}", granted.token));
        self.apply(cx, id, &changes);
    }

    /// Takes note of an answer to a renewal.
    pub fn synced(
        &mut self,
        cx: &mut Context,
        id: &VmId,
        sent: Duration,
        result: worker::Result<SyncResp>,
    ) {
        let Some(vm) = self.vms.get_mut(id) else { return };
        // An answer to a renewal under an earlier grant says nothing of this one.
        let Some(lease) = vm.lease.as_mut().filter(|lease| sent >= lease.granted()) else {
            cx.counters.stale += 1;
            return;
        };
        vm.call = None;
        match result {
            Ok(resp) => {
                lease.renew(sent, cx.terms());
                vm.leaving |= resp.leaving;
                let Some(table) = vm.table.as_mut() else { return };
                let changes = table.absorb(resp.boot, &resp.tasks, &resp.ended, sent, cx.now);
                self.apply(cx, id, &changes);
                self.learn(cx, id, resp.report.as_ref());
            }
            Err(worker::Error::Fenced { .. } | worker::Error::Held { .. }) => {
                self.lose(cx, id, "another daemon took it");
            }
            Err(_) => vm.next_call = vm.next_call.min(cx.now + cx.cfg.sync_period / 2),
        }
    }

    /// Stops acting on a VM.
    fn lose(&mut self, cx: &mut Context, id: &VmId, why: &str) {
        let Some(vm) = self.vms.get_mut(id) else { return };
        if vm.lease.is_none() {
            return;
        }
        step(&self.chart, vm, VmEvent::Lost, cx);
        cx.counters.leases_lost += 1;
        cx.explain(Subject::Vm(id.clone()), format!("control lost: {why}"));
        self.forget(cx, id);
    }

    fn forget(&mut self, cx: &mut Context, id: &VmId) {
        let Some(vm) = self.vms.get_mut(id) else { return };
        vm.lease = None;
        vm.call = None;
        vm.next_call = cx.now;
        if let Some(table) = vm.table.as_mut() {
            for (attempt, slot) in table.iter() {
                if let Some(report) = slot.report(id, attempt).filter(|_| !slot.stage.takes_room())
                {
                    self.outbox.put(id, *attempt, report);
                }
            }
            table.suspend(cx.now);
        }
        cx.policy.remove_vm(id);
        self.views_changed = true;
        if vm.other_since.is_some() || cx.draining == Draining::Yes {
            self.vms.shift_remove(id);
        }
    }

    fn apply(&mut self, cx: &mut Context, id: &VmId, changes: &Changes) {
        self.views_changed = true;
        self.report_changes(cx, id, changes);
    }

    /// Tells the writers which VMs are held, after changes and at each renewal period.
    fn publish(&mut self, cx: &mut Context) {
        if !self.views_changed && cx.now < self.views_due {
            return;
        }
        self.views_changed = false;
        self.views_due = cx.now + cx.cfg.sync_period;
        let views = self.views(cx);
        for view in &views {
            cx.policy.upsert_vm(view.clone());
        }
        let writers: Vec<DaemonId> = cx.members.writers().into_iter().cloned().collect();
        for writer in writers {
            cx.send(&writer, PeerMsg::Views { views: views.clone() });
        }
    }

    /// The VMs that are held, in figures.
    pub fn summaries(&self, now: Duration) -> Vec<VmSummary> {
        self.vms.iter().filter_map(|(id, vm)| vm.summary(id, now)).collect()
    }

    fn views(&self, cx: &Context) -> Vec<VmView> {
        let held = self.vms.iter().filter(|(_, vm)| vm.step == VmStep::Held);
        held.filter_map(|(id, vm)| vm.view(id, &cx.cfg.me)).collect()
    }
}

/// Steps a VM through its chart; an undeclared event is counted and changes nothing.
fn step(chart: &Machine<VmStep, VmEvent>, vm: &mut Vm, event: VmEvent, cx: &mut Context) {
    match chart.next(vm.step, event) {
        Ok(next) => vm.step = next,
        Err(e) => {
            cx.counters.undeclared += 1;
            eprintln!("DBG vm {e}");
            log::warn!(error:% = e; "undeclared transition");
        }
    }
}
