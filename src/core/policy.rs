//! The scheduling policy: placement of tasks, their interference, and relief of slowed services.
//!
//! The inputs of each decision are collected as integers and passed to a pure function, so a record
//! is enough to repeat the decision ([`explain::replay`]). All learned state (slowdown of pairs,
//! attribution of failures) comes only from the reports and outcomes that are passed in.

mod decide;
mod eviction;
pub mod explain;
mod fit;
mod health;
mod hold;
mod index;
pub mod interference;
mod ladder;
mod place;
mod quarantine;
pub mod quota;
mod relieve;
mod reports;
mod room;
mod score;
#[cfg(test)]
mod tests;

use crate::ids::{Attempt, ClassName, DomainId, RackId, Revision, TaskId, TeamName, VmId};
use crate::model::{Config, Urgency, Weights};
use crate::peer::{VmHealth, VmView};
use crate::task::{Outcome, TaskSpec};
use crate::units::Resources;
use crate::worker::UsageReport;
use eviction::Budget;
use fit::VmSizes;
use hold::Reservations;
use index::Fleet;
use indexmap::{IndexMap, IndexSet};
use interference::Interference;
use ladder::Ladder;
use quarantine::FailureRecords;
use quota::{Allowances, Quotas};
use relieve::HealthRequest;
use reports::VmReports;
use room::Plans;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

/// Time after the first call during which no task is refused for its size, because the views of
/// other daemons' VMs are still arriving and may include the only VM that is large enough.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Number of ladders above which those of removed VMs are dropped.
const MAX_LADDERS: usize = 1024;

/// Number of steps into which the used fraction of a quota is quantized for ranking.
const RANK_STEPS: f64 = 8.0;

/// Chooses VMs for tasks, and learns from usage reports and task outcomes.
#[derive(Debug)]
pub struct Policy {
    config: Arc<Config>,
    /// Classes whose tasks are instances of a service.
    services: IndexSet<ClassName>,
    fleet: Fleet,
    sizes: VmSizes,
    quotas: Quotas,
    model: Interference,
    reports: IndexMap<VmId, VmReports>,
    ladders: IndexMap<VmId, Ladder>,
    blame: FailureRecords,
    budget: Budget,
    reservations: Reservations,
    plans: Plans,
    health_requests: IndexMap<VmId, HealthRequest>,
    /// Ratio of used to committed processors, smoothed over all reports.
    use_ratio: f64,
    settle_time: Duration,
    first_call: Option<Duration>,
    now: Duration,
}

impl Default for Policy {
    fn default() -> Self {
        Self::new(Arc::default())
    }
}

/// A task to be placed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Candidate {
    pub task: TaskId,
    pub attempt: Attempt,
    pub spec: TaskSpec,
    /// Time since the task was accepted.
    pub waited: Duration,
    /// VMs to avoid because the last attempt failed or was declined there.
    pub avoid: Vec<VmId>,
}

/// A placement decision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlacementDecision {
    Place {
        vm: VmId,
    },
    /// No VM can take the task now; it is tried again after a change.
    Wait {
        reason: String,
    },
    /// No VM can ever take the task as configured; `nearest` is the nearest size that would fit.
    Never {
        reason: String,
        nearest: Option<Resources>,
    },
}

/// A step that relieves a slowed service or makes room for an urgent task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReliefStep {
    /// Throttles a task to a share of its processors; 1 lifts the throttle.
    Throttle { vm: VmId, task: TaskId, share: f64 },
    /// Changes the VM's health, which determines whether it accepts new work.
    Health { vm: VmId, health: VmHealth },
    /// Checkpoints the task and moves it to another VM.
    Evict { vm: VmId, task: TaskId, attempt: Attempt },
}

/// A decision with its inputs and reasons.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DecisionRecord {
    /// Time on the deciding daemon's clock.
    pub at: Duration,
    pub subject: Subject,
    /// Revision of the configuration in effect.
    pub revision: Revision,
    pub weights: Weights,
    /// The decision as text.
    pub verdict: String,
    /// Number of VMs considered, and counts of those passed over by reason.
    pub considered: u32,
    pub passed_over: IndexMap<String, u32>,
    /// The values that the decision is based on, by name.
    pub inputs: IndexMap<String, String>,
}

/// The subject of a decision.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Subject {
    Task(TaskId),
    Vm(VmId),
}

/// A decision with its record.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision<T> {
    pub choice: T,
    pub record: DecisionRecord,
}

/// A batch task that runs on a VM.
#[derive(Clone, Debug, PartialEq)]
pub struct RunningTask {
    pub task: TaskId,
    pub attempt: Attempt,
    pub spec: TaskSpec,
    /// Start time, on this daemon's clock.
    pub since: Duration,
    /// Time of the last checkpoint, if any, on this daemon's clock.
    pub checkpoint_at: Option<Duration>,
    pub progress: f64,
}

/// Priority of a waiting task in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Priority {
    urgency: Reverse<Urgency>,
    /// Used fraction of the team's quota, quantized.
    used: u32,
    waited: Reverse<Duration>,
    task: TaskId,
}

impl Policy {
    /// Creates a policy without VMs.
    pub fn new(config: Arc<Config>) -> Self {
        let mut quotas = Quotas::default();
        quotas.configure(&config);
        Self {
            services: score::services(&config),
            config,
            fleet: Fleet::default(),
            sizes: VmSizes::default(),
            quotas,
            model: Interference::new(),
            reports: IndexMap::new(),
            ladders: IndexMap::new(),
            blame: FailureRecords::default(),
            budget: Budget::default(),
            reservations: Reservations::default(),
            plans: Plans::default(),
            health_requests: IndexMap::new(),
            use_ratio: 1.0,
            settle_time: SETTLE_TIME,
            first_call: None,
            now: Duration::ZERO,
        }
    }

    /// Sets the time after the first call during which no task is refused for its size.
    pub fn with_settle(mut self, settle_time: Duration) -> Self {
        self.settle_time = settle_time;
        self
    }

    /// Sets the initial interference model.
    pub fn with_interference(mut self, model: Interference) -> Self {
        self.model = model;
        self
    }

    /// Applies a configuration.
    pub fn configure(&mut self, config: Arc<Config>) {
        self.config = config;
        self.services = score::services(&self.config);
        self.quotas.configure(&self.config);
        self.quotas.reset_usage();
        for vm in self.fleet.iter() {
            count_usage(&mut self.quotas, &self.config, &vm.view, Quotas::commit);
        }
    }

    /// Replaces a team's allowances after a transfer between failure domains.
    pub fn set_allowances(&mut self, team: &TeamName, allowances: Allowances) {
        self.quotas.replace(team, allowances);
    }

    /// Returns a team's allowances, if it has a quota.
    pub fn allowances(&self, team: &TeamName) -> Option<&Allowances> {
        self.quotas.of(team)
    }

    /// Adds or updates a VM. The classes of the view include service instances.
    pub fn upsert_vm(&mut self, view: VmView) {
        self.quotas.add_domain(&view.domain, &self.config);
        count_usage(&mut self.quotas, &self.config, &view, Quotas::commit);
        self.sizes.add(&view, self.now);
        if let Some(old) = self.fleet.upsert(view) {
            self.sizes.remove(&old, self.now);
            count_usage(&mut self.quotas, &self.config, &old, Quotas::release);
        }
    }

    /// Removes a VM.
    pub fn remove_vm(&mut self, vm: &VmId) {
        if let Some(old) = self.fleet.remove(vm) {
            self.sizes.remove(&old, self.now);
            count_usage(&mut self.quotas, &self.config, &old, Quotas::release);
        }
        self.reports.swap_remove(vm);
        self.drop_ladder(vm);
        self.health_requests.swap_remove(vm);
    }

    /// Checks whether a task could ever run and whether its team's quota allows it.
    pub fn check_admission(
        &mut self,
        candidate: &Candidate,
        now: Duration,
    ) -> Decision<PlacementDecision> {
        self.place(candidate, now)
    }

    /// Chooses a VM for a task. The caller reports the result with [`Policy::upsert_vm`].
    pub fn place(&mut self, candidate: &Candidate, now: Duration) -> Decision<PlacementDecision> {
        self.advance_clock(now);
        let inputs = self.placement_inputs(candidate, now);
        let choice = inputs.decide();
        self.record_choice(candidate, &inputs, &choice, now);
        let record = explain::placement_record(candidate, inputs, &choice, &self.config);
        Decision { choice, record }
    }

    /// Processes a usage report of a VM held by this daemon.
    pub fn handle_report(&mut self, vm: &VmId, report: &UsageReport, now: Duration) {
        self.advance_clock(now);
        let ladder = self.ladders.entry(vm.clone()).or_default();
        let reports = self.reports.entry(vm.clone()).or_default();
        if reports.accept(report, |task| ladder.share(task), now).is_err() {
            return;
        }
        let measured_at = reports.measured_at;
        if ladder.unchanged_since(measured_at) {
            self.train(vm);
        }
        let trigger = self.trigger_on(vm);
        if let (Some(reports), Some(ladder)) = (self.reports.get(vm), self.ladders.get_mut(vm)) {
            let services = reports.services(|class| self.services.contains(class));
            ladder.observe(services, trigger, measured_at);
        }
    }

    /// Records the outcome of an attempt on a VM.
    pub fn record_outcome(
        &mut self,
        vm: &VmId,
        class: &ClassName,
        outcome: &Outcome,
        now: Duration,
    ) {
        self.advance_clock(now);
        self.blame.record_outcome(vm, class, outcome, now);
    }

    /// Decides the relief steps due on a VM held by this daemon, given the batch tasks there.
    pub fn decide_relief(
        &mut self,
        vm: &VmId,
        running_tasks: &[RunningTask],
        now: Duration,
    ) -> Vec<Decision<ReliefStep>> {
        self.advance_clock(now);
        self.relief_steps(vm, running_tasks, now)
    }

    /// Chooses a task to evict from this daemon's VMs for a waiting urgent task, if any.
    pub fn plan_preemption(
        &mut self,
        candidate: &Candidate,
        running_tasks: &IndexMap<VmId, Vec<RunningTask>>,
        now: Duration,
    ) -> Option<Decision<ReliefStep>> {
        self.advance_clock(now);
        self.eviction_for(candidate, running_tasks, now)
    }

    /// Whether the holder of a quarantined VM should accept one task as a probe.
    pub fn accepts_probe(&self, vm: &VmId, now: Duration) -> bool {
        self.blame.probe_due(vm, now)
    }

    /// Returns the priority of a waiting task; the lowest goes first.
    ///
    /// Tasks of equal urgency are ordered by the used fraction of their team's quota, in steps, and
    /// then by waiting time, so a burst of a thousand tasks queues behind its own team's tasks.
    pub fn priority(&self, candidate: &Candidate) -> Priority {
        let used = self.quotas.dominant_share(&candidate.spec.team);
        Priority {
            urgency: Reverse(candidate.spec.urgency),
            used: (used.clamp(0.0, 1.0) * RANK_STEPS) as u32,
            waited: Reverse(candidate.waited),
            task: candidate.task,
        }
    }

    /// The failure domain and rack of each known VM.
    pub fn locations(&self) -> impl Iterator<Item = (&VmId, &DomainId, &RackId)> {
        self.fleet.iter().map(|vm| (&vm.view.vm, &vm.view.domain, &vm.view.rack))
    }

    /// The interference model.
    pub fn interference(&self) -> &Interference {
        &self.model
    }

    /// The interference model, for changes from outside the policy.
    pub fn interference_mut(&mut self) -> &mut Interference {
        &mut self.model
    }

    fn record_choice(
        &mut self,
        candidate: &Candidate,
        inputs: &decide::Inputs,
        choice: &PlacementDecision,
        now: Duration,
    ) {
        match choice {
            PlacementDecision::Place { vm } => {
                self.reservations.release(candidate.task);
                self.plans.remove(candidate.task);
                if inputs.offers.iter().any(|offer| offer.vm == *vm && offer.probe) {
                    self.blame.record_probe(vm, now);
                }
                if inputs.class != decide::ClassState::Sound {
                    self.blame.record_retry(&candidate.spec.class, now);
                }
            }
            PlacementDecision::Never { .. } => self.reservations.release(candidate.task),
            PlacementDecision::Wait { .. } => {}
        }
    }

    /// Drops a VM's ladder unless tasks are throttled there. A lease that lapses briefly removes
    /// the VM and adds it again, and without the ladder nothing would ever lift their throttles.
    fn drop_ladder(&mut self, vm: &VmId) {
        let throttled = self.ladders.get(vm).is_some_and(|ladder| !ladder.throttled.is_empty());
        if !throttled || self.ladders.len() > MAX_LADDERS {
            self.ladders.swap_remove(vm);
        }
    }

    fn advance_clock(&mut self, now: Duration) {
        self.now = self.now.max(now);
        self.first_call.get_or_insert(now);
    }

    fn settled(&self, now: Duration) -> bool {
        self.first_call.is_some_and(|first| now >= first + self.settle_time)
    }
}

type CountUsage = fn(&mut Quotas, &TeamName, &DomainId, &Resources);

fn count_usage(quotas: &mut Quotas, config: &Config, view: &VmView, count: CountUsage) {
    for entry in &view.classes {
        let Some(class) = config.batch.get(&entry.class) else { continue };
        let amount = class.resources.saturating_mul(entry.count);
        count(quotas, &class.team, &view.domain, &amount);
    }
}
