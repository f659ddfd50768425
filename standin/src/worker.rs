//! A worker VM's lease table and the tasks it runs, without I/O; time is passed in.
//!
//! Tasks make progress at a rate that depends on their throttle and on who else is there. How
//! much one class disturbs another is hidden from the system, which sees only usage reports that
//! arrive late.

use crate::ledger::Ledger;
use indexmap::IndexMap;
use serde::Deserialize;
use std::collections::VecDeque;
use std::time::Duration;
use waxwingstall::ids::{Attempt, BootId, CheckpointId, ClassName, DaemonId, TaskId, Token};
use waxwingstall::task::Outcome;
use waxwingstall::units::Resources;
use waxwingstall::worker::{
    AcquireReq, AttemptReq, Closed, Earlier, EndedAttempt, Error, Granted, Result, StartReq,
    SyncReq, SyncResp, TaskAttempt, Tenant, TenantKind, TenantUsage, ThrottleReq, UsageReport,
    VmStatus,
};

const DEFAULT_WORK: Duration = Duration::from_secs(2);
const BOOT_SHIFT: u32 = 32;

/// How a worker behaves.
#[derive(Clone, Debug)]
pub struct TableSettings {
    /// Time after the last renewal until a task is stopped.
    pub task_ttl: Duration,
    /// Time between two measurements.
    pub report_period: Duration,
    /// Age a measurement has when it is first told.
    pub report_lag: Duration,
    pub tokens: TokenCheck,
    pub temper: Temper,
    /// Hidden slowdown of a class by each neighbour of another class.
    pub disturbance: Vec<Disturbance>,
}

/// Whether calls with an old token are refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenCheck {
    Checked,
    Ignored,
}

/// Whether tasks run to their end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Temper {
    Sound,
    /// Every task fails as soon as it starts.
    FailsEverything,
}

/// One neighbour's effect.
#[derive(Clone, Debug)]
pub struct Disturbance {
    pub victim: ClassName,
    pub aggressor: ClassName,
    pub slowdown: f64,
}

impl Default for TableSettings {
    fn default() -> Self {
        Self {
            task_ttl: Duration::from_secs(60),
            report_period: Duration::from_secs(5),
            report_lag: Duration::from_secs(10),
            tokens: TokenCheck::Checked,
            temper: Temper::Sound,
            disturbance: Vec::new(),
        }
    }
}

/// What a payload may ask of the stand-in, as JSON.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
struct Payload {
    /// Undisturbed run time.
    work_ms: Option<u64>,
    fail: bool,
}

#[derive(Clone, Debug)]
struct Control {
    holder: DaemonId,
    token: Token,
    until: Duration,
}

#[derive(Clone, Debug)]
struct Running {
    tenant: Tenant,
    work: Duration,
    fail: bool,
    progress: f64,
    share: f64,
    checkpoint: Option<CheckpointId>,
    until: Duration,
}

/// A worker's lease table.
#[derive(Clone, Debug)]
pub struct LeaseTable {
    status: VmStatus,
    settings: TableSettings,
    ledger: Ledger,
    control: Option<Control>,
    grants: u64,
    running: IndexMap<TaskId, Running>,
    ended: Vec<EndedAttempt>,
    history: IndexMap<TaskAttempt, Option<CheckpointId>>,
    closed: IndexMap<TaskId, Attempt>,
    reports: VecDeque<(Duration, UsageReport)>,
    report_seq: u64,
    leaving: bool,
    at: Duration,
}

impl LeaseTable {
    /// A worker just booted; the tasks in `status` are service instances.
    pub fn new(status: VmStatus, settings: TableSettings, ledger: Ledger) -> Self {
        Self {
            status,
            settings,
            ledger,
            control: None,
            grants: 0,
            running: IndexMap::new(),
            ended: Vec::new(),
            history: IndexMap::new(),
            closed: IndexMap::new(),
            reports: VecDeque::new(),
            report_seq: 0,
            leaving: false,
            at: Duration::ZERO,
        }
    }

    /// The worker as it describes itself.
    pub fn status(&self) -> VmStatus {
        VmStatus { tasks: self.tenants(), ..self.status.clone() }
    }

    /// Says from now on that it takes no new work.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Changes whether tasks run to their end.
    pub fn set_temper(&mut self, temper: Temper) {
        self.settings.temper = temper;
    }

    /// Restarts the VM: its tasks and its memory of them are gone.
    pub fn restart(&mut self) {
        for task in self.running.keys() {
            self.ledger.stopped(&self.status.vm, *task);
        }
        self.running.clear();
        self.ended.clear();
        self.history.clear();
        self.closed.clear();
        self.reports.clear();
        self.control = None;
        self.grants = 0;
        self.leaving = false;
        self.status.boot = self.status.boot.next();
    }

    /// The holder of the control lease, if it has not lapsed.
    pub fn holder(&self, now: Duration) -> Option<&DaemonId> {
        self.control.as_ref().filter(|control| now < control.until).map(|control| &control.holder)
    }

    /// Lets tasks run, end and lapse up to `now`.
    pub fn advance(&mut self, now: Duration) {
        let step = now.saturating_sub(self.at);
        self.at = self.at.max(now);
        let rates: Vec<f64> = self.running.values().map(|task| self.rate(task)).collect();
        for (task, rate) in self.running.values_mut().zip(rates) {
            task.progress += rate * step.as_secs_f64() / task.work.as_secs_f64().max(1e-9);
        }
        self.end_finished();
        self.stop_lapsed(now);
        self.measure(now);
    }

    /// Grants the control lease if nobody else holds it.
    pub fn acquire(&mut self, now: Duration, req: &AcquireReq) -> Result<Granted> {
        self.advance(now);
        if let Some(control) = &self.control
            && now < control.until
            && control.holder != req.holder
        {
            let remaining_ms = millis(control.until.saturating_sub(now));
            return Err(Error::Held { holder: control.holder.clone(), remaining_ms });
        }
        self.grants += 1;
        let token = Token((self.status.boot.0 << BOOT_SHIFT) + self.grants);
        self.control =
            Some(Control { holder: req.holder.clone(), token, until: now.saturating_add(req.ttl) });
        self.renew_tasks(now);
        let earlier = if self.grants == 1 { Earlier::None } else { Earlier::Some };
        Ok(Granted { token, earlier, status: self.status() })
    }

    /// Renews all leases and tells the news.
    pub fn sync(&mut self, now: Duration, req: &SyncReq) -> Result<SyncResp> {
        self.advance(now);
        self.check_lease(now, req.token)?;
        if let Some(control) = &mut self.control {
            control.until = now.saturating_add(req.ttl);
        }
        self.renew_tasks(now);
        self.ended.retain(|end| {
            !req.forget.contains(&TaskAttempt { task: end.task, attempt: end.attempt })
        });
        Ok(SyncResp {
            boot: self.status.boot,
            tasks: self.tenants(),
            ended: self.ended.clone(),
            report: self.report(now),
            leaving: self.leaving,
        })
    }

    /// Takes the control lease back.
    pub fn release(&mut self, now: Duration, token: Token) -> Result<()> {
        self.advance(now);
        self.check_lease(now, token)?;
        self.control = None;
        Ok(())
    }

    /// Starts an attempt. The table does not refuse an overfull VM: the ledger counts it.
    pub fn start(&mut self, now: Duration, req: &StartReq) -> Result<()> {
        self.advance(now);
        self.check_lease(now, req.token)?;
        let attempt = TaskAttempt { task: req.task, attempt: req.attempt };
        if self.closed.get(&req.task).is_some_and(|closed| *closed >= req.attempt) {
            return Err(Error::Refused { reason: format!("attempt {} is closed", req.attempt) });
        }
        if self.history.contains_key(&attempt) {
            return Ok(());
        }
        if self.leaving {
            return Err(Error::Refused { reason: "the VM is leaving".to_owned() });
        }
        self.run(now, req);
        self.history.insert(attempt, req.resume.clone());
        self.ledger.committed(&self.status.vm, &self.committed(), &self.status.size);
        self.advance(now);
        Ok(())
    }

    /// Throttles a task.
    pub fn throttle(&mut self, now: Duration, req: &ThrottleReq) -> Result<()> {
        self.advance(now);
        self.check_lease(now, req.token)?;
        if let Some(task) = self.running.get_mut(&req.task) {
            task.share = req.share.clamp(0.01, 1.0);
        }
        Ok(())
    }

    /// Takes a checkpoint of a running attempt.
    pub fn checkpoint(&mut self, now: Duration, req: &AttemptReq) -> Result<CheckpointId> {
        self.advance(now);
        self.check_lease(now, req.token)?;
        let running =
            self.running.get_mut(&req.task).filter(|task| task.tenant.attempt == req.attempt);
        let Some(task) = running else {
            return Err(Error::Refused { reason: "the attempt does not run here".to_owned() });
        };
        let id = CheckpointId::new(&format!("progress-{:.6}", task.progress));
        task.checkpoint = Some(id.clone());
        let attempt = TaskAttempt { task: req.task, attempt: req.attempt };
        self.history.insert(attempt, Some(id.clone()));
        Ok(id)
    }

    /// Stops an attempt for good.
    pub fn close(&mut self, now: Duration, req: &AttemptReq) -> Result<Closed> {
        self.advance(now);
        self.check_lease(now, req.token)?;
        let closed = self.closed.entry(req.task).or_insert(req.attempt);
        *closed = (*closed).max(req.attempt);
        if self.running.get(&req.task).is_some_and(|task| task.tenant.attempt <= req.attempt) {
            self.running.shift_remove(&req.task);
            self.ledger.stopped(&self.status.vm, req.task);
        }
        let attempt = TaskAttempt { task: req.task, attempt: req.attempt };
        let ended = self
            .ended
            .iter()
            .find(|end| end.task == req.task && end.attempt == req.attempt)
            .map(|end| end.outcome.clone());
        Ok(Closed {
            ended,
            checkpoint: self.history.get(&attempt).cloned().flatten(),
            started: self.history.contains_key(&attempt),
        })
    }

    fn check_lease(&self, now: Duration, given: Token) -> Result<()> {
        if self.settings.tokens == TokenCheck::Ignored {
            return Ok(());
        }
        match &self.control {
            Some(control) if control.token == given && now < control.until => Ok(()),
            Some(control) => Err(Error::Fenced { given, current: control.token }),
            None => Err(Error::Fenced { given, current: Token(0) }),
        }
    }

    fn run(&mut self, now: Duration, req: &StartReq) {
        let payload: Payload = serde_json::from_str(&req.payload).unwrap_or_default();
        let progress = req.resume.as_ref().map_or(0.0, progress_of);
        let fails = payload.fail || self.settings.temper == Temper::FailsEverything;
        let tenant = Tenant {
            task: req.task,
            attempt: req.attempt,
            class: req.class.clone(),
            resources: req.resources,
            kind: TenantKind::Batch,
        };
        let running = Running {
            tenant,
            work: payload.work_ms.map_or(DEFAULT_WORK, Duration::from_millis),
            fail: fails,
            progress: if fails { 1.0 } else { progress },
            share: 1.0,
            checkpoint: req.resume.clone(),
            until: now.saturating_add(self.settings.task_ttl),
        };
        let resumed = req.resume.is_some();
        self.ledger.started(&self.status.vm, req.task, req.attempt, &req.class, resumed);
        if self.running.insert(req.task, running).is_some() {
            self.ledger.stopped(&self.status.vm, req.task);
        }
    }

    fn rate(&self, task: &Running) -> f64 {
        task.share / self.slowdown(&task.tenant)
    }

    fn slowdown(&self, victim: &Tenant) -> f64 {
        let neighbours = self.tenants();
        let disturbed: f64 = neighbours
            .iter()
            .filter(|other| other.task != victim.task)
            .flat_map(|other| {
                self.settings
                    .disturbance
                    .iter()
                    .filter(|d| d.victim == victim.class && d.aggressor == other.class)
            })
            .map(|d| d.slowdown)
            .sum();
        1.0 + disturbed
    }

    fn end_finished(&mut self) {
        let done: Vec<TaskId> = self
            .running
            .iter()
            .filter(|(_, task)| task.progress >= 1.0)
            .map(|(id, _)| *id)
            .collect();
        for id in done {
            let Some(task) = self.running.shift_remove(&id) else { continue };
            let outcome = if task.fail {
                Outcome::Failed { reason: "exit status 1".to_owned() }
            } else {
                Outcome::Succeeded
            };
            self.ledger.finished(&self.status.vm, id, !task.fail);
            self.ended.push(EndedAttempt { task: id, attempt: task.tenant.attempt, outcome });
        }
    }

    fn stop_lapsed(&mut self, now: Duration) {
        let lapsed: Vec<TaskId> =
            self.running.iter().filter(|(_, task)| task.until <= now).map(|(id, _)| *id).collect();
        for id in lapsed {
            let Some(task) = self.running.shift_remove(&id) else { continue };
            self.closed.insert(id, task.tenant.attempt);
            self.ledger.stopped(&self.status.vm, id);
        }
    }

    fn renew_tasks(&mut self, now: Duration) {
        let until = now.saturating_add(self.settings.task_ttl);
        for task in self.running.values_mut() {
            task.until = until;
        }
    }

    fn measure(&mut self, now: Duration) {
        let due =
            self.reports.back().is_none_or(|(at, _)| *at + self.settings.report_period <= now);
        if !due {
            return;
        }
        self.report_seq += 1;
        let report = UsageReport {
            boot: self.status.boot,
            seq: self.report_seq,
            age: Duration::ZERO,
            load: self.load(),
            tenants: self.usage(),
        };
        self.reports.push_back((now, report));
        while self.reports.len() > 1 && self.reports[1].0 + self.settings.report_lag <= now {
            self.reports.pop_front();
        }
    }

    fn report(&self, now: Duration) -> Option<UsageReport> {
        let (at, report) =
            self.reports.iter().rev().find(|(at, _)| *at + self.settings.report_lag <= now)?;
        Some(UsageReport { age: now.saturating_sub(*at), ..report.clone() })
    }

    fn load(&self) -> f64 {
        let size = f64::from(self.status.size.milli_cores.0.max(1));
        f64::from(self.committed().milli_cores.0) / size
    }

    fn usage(&self) -> Vec<TenantUsage> {
        let progress =
            |tenant: &Tenant| self.running.get(&tenant.task).map_or(0.0, |task| task.progress);
        self.tenants()
            .iter()
            .map(|tenant| TenantUsage {
                task: tenant.task,
                class: tenant.class.clone(),
                milli_cores: tenant.resources.milli_cores.0,
                memory_mib: tenant.resources.memory_mib.0,
                slowdown: self.slowdown(tenant),
                progress: progress(tenant),
            })
            .collect()
    }

    fn tenants(&self) -> Vec<Tenant> {
        let batch = self.running.values().map(|task| task.tenant.clone());
        self.status.tasks.iter().cloned().chain(batch).collect()
    }

    fn committed(&self) -> Resources {
        self.tenants()
            .iter()
            .fold(Resources::ZERO, |sum, tenant| sum.checked_add(&tenant.resources).unwrap_or(sum))
    }

    /// The worker's boot.
    pub fn boot(&self) -> BootId {
        self.status.boot
    }
}

fn progress_of(checkpoint: &CheckpointId) -> f64 {
    checkpoint.as_str().strip_prefix("progress-").and_then(|p| p.parse().ok()).unwrap_or(0.0)
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
