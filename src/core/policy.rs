//! Where a task goes, what it disturbs, and what is done about it.
//!
//! A placement is gathered into whole numbers and then decided by a pure function of them, so that
//! its record is enough to decide it again ([`explain::replay`]). What is learned (slowdown of
//! pairs, blame for failures) comes only from reports and ends that are passed in.

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
use relieve::Asked;
use reports::VmReports;
use room::Plans;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

/// Time after the first call in which no task is refused for its size: the views of other daemons'
/// VMs are still arriving, and the one large VM may be among them.
const SETTLE: Duration = Duration::from_secs(5);

/// Ladders remembered of VMs that left.
const MAX_LADDERS: usize = 1024;

/// Steps that the used part of a quota is ranked by.
const RANK_STEPS: f64 = 8.0;

/// Chooses VMs for tasks, and learns from what happens there.
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
    asked: IndexMap<VmId, Asked>,
    /// Processors in use for each committed one, smoothed over all reports.
    use_ratio: f64,
    settle: Duration,
    first_call: Option<Duration>,
    now: Duration,
}

impl Default for Policy {
    fn default() -> Self {
        Self::new(Arc::default())
    }
}

/// A task looking for a VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Candidate {
    pub task: TaskId,
    pub attempt: Attempt,
    pub spec: TaskSpec,
    /// Time since the task was accepted.
    pub waited: Duration,
    /// VM that the last attempt failed or declined on.
    pub avoid: Vec<VmId>,
}

/// Where a task goes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Choice {
    Place {
        vm: VmId,
    },
    /// No VM now; asked again after a change.
    Wait {
        reason: String,
    },
    /// No VM ever, as configured; with the nearest size that would fit.
    Never {
        reason: String,
        nearest: Option<Resources>,
    },
}

/// A step against a service's suffering, or for an urgent task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Relief {
    /// Slows a task to a share of its processors; 1 restores it.
    Throttle { vm: VmId, task: TaskId, share: f64 },
    /// Changes whether new work is placed on the VM.
    Health { vm: VmId, health: VmHealth },
    /// Checkpoints the task and moves it off.
    Evict { vm: VmId, task: TaskId, attempt: Attempt },
}

/// What was decided, from what, and why.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DecisionRecord {
    /// Time on the deciding daemon's clock.
    pub at: Duration,
    pub subject: Subject,
    /// Configuration that was in force.
    pub revision: Revision,
    pub weights: Weights,
    /// What was decided, in words.
    pub verdict: String,
    /// VMs considered, and those passed over counted by reason.
    pub considered: u32,
    pub passed_over: IndexMap<String, u32>,
    /// The figures that the choice rests on, by name.
    pub inputs: IndexMap<String, String>,
}

/// What a decision was about.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Subject {
    Task(TaskId),
    Vm(VmId),
}

/// A choice with its record.
#[derive(Clone, Debug, PartialEq)]
pub struct Decided<T> {
    pub choice: T,
    pub record: DecisionRecord,
}

/// A batch task on a VM, as the policy needs to know it.
#[derive(Clone, Debug, PartialEq)]
pub struct Resident {
    pub task: TaskId,
    pub attempt: Attempt,
    pub spec: TaskSpec,
    /// When it started, on this daemon's clock.
    pub since: Duration,
    /// When its last checkpoint was taken, on this daemon's clock, if it has one.
    pub checkpoint_at: Option<Duration>,
    pub progress: f64,
}

/// Place of a waiting task in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    urgency: Reverse<Urgency>,
    /// Part of its quota that the team uses, in steps.
    used: u32,
    waited: Reverse<Duration>,
    task: TaskId,
}

impl Policy {
    /// A policy that knows no VM yet.
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
            asked: IndexMap::new(),
            use_ratio: 1.0,
            settle: SETTLE,
            first_call: None,
            now: Duration::ZERO,
        }
    }

    /// Sets the time after the first call in which no task is refused for its size.
    pub fn with_settle(mut self, settle: Duration) -> Self {
        self.settle = settle;
        self
    }

    /// Starts from effects learned elsewhere.
    pub fn with_interference(mut self, model: Interference) -> Self {
        self.model = model;
        self
    }

    /// Puts a configuration in force.
    pub fn configure(&mut self, config: Arc<Config>) {
        self.config = config;
        self.services = score::services(&self.config);
        self.quotas.configure(&self.config);
        self.quotas.reset_usage();
        for vm in self.fleet.iter() {
            count_usage(&mut self.quotas, &self.config, &vm.view, Quotas::commit);
        }
    }

    /// Puts a team's allowances in force that were moved between failure domains.
    pub fn set_allowances(&mut self, team: &TeamName, allowances: Allowances) {
        self.quotas.replace(team, allowances);
    }

    /// A team's allowances, if it has a quota.
    pub fn allowances(&self, team: &TeamName) -> Option<&Allowances> {
        self.quotas.of(team)
    }

    /// Learns of a VM, or of a change to it. The classes of the view include service instances.
    pub fn upsert_vm(&mut self, view: VmView) {
        self.quotas.add_domain(&view.domain, &self.config);
        count_usage(&mut self.quotas, &self.config, &view, Quotas::commit);
        self.sizes.add(&view, self.now);
        if let Some(old) = self.fleet.upsert(view) {
            self.sizes.remove(&old, self.now);
            count_usage(&mut self.quotas, &self.config, &old, Quotas::release);
        }
    }

    /// Forgets a VM.
    pub fn remove_vm(&mut self, vm: &VmId) {
        if let Some(old) = self.fleet.remove(vm) {
            self.sizes.remove(&old, self.now);
            count_usage(&mut self.quotas, &self.config, &old, Quotas::release);
        }
        self.reports.swap_remove(vm);
        self.forget_ladder(vm);
        self.asked.swap_remove(vm);
    }

    /// Whether a task could ever run, and whether its team's quota allows it.
    pub fn admit(&mut self, candidate: &Candidate, now: Duration) -> Decided<Choice> {
        self.choose(candidate, now)
    }

    /// Chooses a VM for a task. The caller reports the effect by [`Policy::upsert_vm`].
    pub fn choose(&mut self, candidate: &Candidate, now: Duration) -> Decided<Choice> {
        self.tick(now);
        let inputs = self.placement_inputs(candidate, now);
        let choice = inputs.decide();
        self.note_choice(candidate, &inputs, &choice, now);
        let record = explain::placement_record(candidate, inputs, &choice, &self.config);
        Decided { choice, record }
    }

    /// Learns from a usage report of a VM held by this daemon.
    pub fn observe(&mut self, vm: &VmId, report: &UsageReport, now: Duration) {
        self.tick(now);
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

    /// Learns how an attempt ended on a VM.
    pub fn ended(&mut self, vm: &VmId, class: &ClassName, outcome: &Outcome, now: Duration) {
        self.tick(now);
        self.blame.record_outcome(vm, class, outcome, now);
    }

    /// Steps due on a VM held by this daemon, given the batch tasks there.
    pub fn relieve(
        &mut self,
        vm: &VmId,
        residents: &[Resident],
        now: Duration,
    ) -> Vec<Decided<Relief>> {
        self.tick(now);
        self.steps(vm, residents, now)
    }

    /// Whom to evict for an urgent task that waits, if anyone; among this daemon's own VMs.
    pub fn make_room(
        &mut self,
        candidate: &Candidate,
        residents: &IndexMap<VmId, Vec<Resident>>,
        now: Duration,
    ) -> Option<Decided<Relief>> {
        self.tick(now);
        self.eviction_for(candidate, residents, now)
    }

    /// Whether the holder of a quarantined VM should accept one task as a probe.
    pub fn accepts_probe(&self, vm: &VmId, now: Duration) -> bool {
        self.blame.probe_due(vm, now)
    }

    /// Place of a waiting task in the queue; the least goes first.
    ///
    /// Tasks of equal urgency go by the part of its quota that their team uses, in steps, and then
    /// by how long they waited: a team that submits a thousand at once waits behind its own.
    pub fn rank(&self, candidate: &Candidate) -> Rank {
        let used = self.quotas.dominant_share(&candidate.spec.team);
        Rank {
            urgency: Reverse(candidate.spec.urgency),
            used: (used.clamp(0.0, 1.0) * RANK_STEPS) as u32,
            waited: Reverse(candidate.waited),
            task: candidate.task,
        }
    }

    /// Where the VMs are that the policy knows.
    pub fn places(&self) -> impl Iterator<Item = (&VmId, &DomainId, &RackId)> {
        self.fleet.iter().map(|vm| (&vm.view.vm, &vm.view.domain, &vm.view.rack))
    }

    /// What is known of the slowdown of pairs.
    pub fn interference(&self) -> &Interference {
        &self.model
    }

    /// What is known of the slowdown of pairs, to be changed from elsewhere.
    pub fn interference_mut(&mut self) -> &mut Interference {
        &mut self.model
    }

    fn note_choice(
        &mut self,
        candidate: &Candidate,
        inputs: &decide::Inputs,
        choice: &Choice,
        now: Duration,
    ) {
        match choice {
            Choice::Place { vm } => {
                self.reservations.release(candidate.task);
                self.plans.remove(candidate.task);
                if inputs.offers.iter().any(|offer| offer.vm == *vm && offer.probe) {
                    self.blame.record_probe(vm, now);
                }
                if inputs.class != decide::ClassState::Sound {
                    self.blame.record_retry(&candidate.spec.class, now);
                }
            }
            Choice::Never { .. } => self.reservations.release(candidate.task),
            Choice::Wait { .. } => {}
        }
    }

    /// Forgets where a VM is on the ladder, unless tasks are throttled there: a lease that lapses
    /// for a moment removes the VM and brings it back, and nothing would ever lift their throttles.
    fn forget_ladder(&mut self, vm: &VmId) {
        let throttled = self.ladders.get(vm).is_some_and(|ladder| !ladder.throttled.is_empty());
        if !throttled || self.ladders.len() > MAX_LADDERS {
            self.ladders.swap_remove(vm);
        }
    }

    fn tick(&mut self, now: Duration) {
        self.now = self.now.max(now);
        self.first_call.get_or_insert(now);
    }

    fn settled(&self, now: Duration) -> bool {
        self.first_call.is_some_and(|first| now >= first + self.settle)
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
