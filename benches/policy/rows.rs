//! The policies under test.

use crate::truth::{BAND_LOADS, HiddenEffects};
use indexmap::IndexMap;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use std::sync::Arc;
use std::time::Duration;
use waxwingstall::core::policy::interference::{Band, Interference, Learning};
use waxwingstall::core::policy::{
    Candidate, PlacementDecision, Policy, Priority, ReliefStep, RunningTask,
};
use waxwingstall::ids::{ClassName, VmId};
use waxwingstall::model::Config;
use waxwingstall::peer::{VmHealth, VmView};
use waxwingstall::task::Outcome;
use waxwingstall::worker::UsageReport;

/// Interface between a policy under test and the simulated core.
pub trait TestedPolicy {
    fn upsert(&mut self, view: VmView);
    fn remove(&mut self, vm: &VmId);
    fn place(&mut self, candidate: &Candidate, now: Duration) -> PlacementDecision;

    fn priority(&self, _candidate: &Candidate) -> Option<Priority> {
        None
    }

    fn handle_report(&mut self, _vm: &VmId, _report: &UsageReport, _now: Duration) {}

    fn record_outcome(
        &mut self,
        _vm: &VmId,
        _class: &ClassName,
        _outcome: &Outcome,
        _now: Duration,
    ) {
    }

    fn decide_relief(
        &mut self,
        _vm: &VmId,
        _running_tasks: &[RunningTask],
        _now: Duration,
    ) -> Vec<ReliefStep> {
        Vec::new()
    }

    fn plan_preemption(
        &mut self,
        _candidate: &Candidate,
        _running_tasks: &IndexMap<VmId, Vec<RunningTask>>,
        _now: Duration,
    ) -> Option<ReliefStep> {
        None
    }

    /// Notifies of a change of the hidden effects; only the oracle uses it.
    fn effects_changed(&mut self, _truth: &HiddenEffects) {}

    /// Excess slowdown that the policy predicts, if it has a model.
    fn predict(&self, _victim: &ClassName, _aggressor: &ClassName, _load: f64) -> Option<f64> {
        None
    }
}

/// Placement rule of a baseline policy.
#[derive(Clone, Debug)]
pub enum BaselineRule {
    FirstFit,
    Random(SmallRng),
    /// The first VM without a service.
    NeverBesideServices(Vec<ClassName>),
}

/// A baseline policy that considers only free resources.
#[derive(Debug)]
pub struct BaselinePolicy {
    rule: BaselineRule,
    views: IndexMap<VmId, VmView>,
}

impl BaselinePolicy {
    pub fn first_fit() -> Self {
        Self { rule: BaselineRule::FirstFit, views: IndexMap::new() }
    }

    pub fn random(seed: u64) -> Self {
        Self { rule: BaselineRule::Random(SmallRng::seed_from_u64(seed)), views: IndexMap::new() }
    }

    pub fn never_beside_services(config: &Config) -> Self {
        let services = config.services.keys().map(|name| ClassName::new(name.as_str())).collect();
        Self { rule: BaselineRule::NeverBesideServices(services), views: IndexMap::new() }
    }
}

impl TestedPolicy for BaselinePolicy {
    fn upsert(&mut self, view: VmView) {
        self.views.insert(view.vm.clone(), view);
    }

    fn remove(&mut self, vm: &VmId) {
        self.views.shift_remove(vm);
    }

    fn place(&mut self, candidate: &Candidate, _now: Duration) -> PlacementDecision {
        let fits = |view: &&VmView| {
            view.health == VmHealth::Open && candidate.spec.resources.fits_in(&view.free)
        };
        let mut fitting = self.views.values().filter(fits);
        let chosen = match &mut self.rule {
            BaselineRule::FirstFit => fitting.next(),
            BaselineRule::Random(rng) => fitting.collect::<Vec<_>>().choose(rng).copied(),
            BaselineRule::NeverBesideServices(services) => fitting.find(|view| {
                view.classes
                    .iter()
                    .all(|entry| entry.count == 0 || !services.contains(&entry.class))
            }),
        };
        match chosen {
            Some(view) => PlacementDecision::Place { vm: view.vm.clone() },
            None => PlacementDecision::Wait { reason: "no room".to_owned() },
        }
    }
}

/// The part of the scheduler's policy that is disabled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Disabled {
    #[default]
    Nothing,
    Model,
    Relief,
    Blame,
}

/// The scheduler's policy, with the VMs distributed over several daemons.
#[derive(Debug)]
pub struct SchedulerPolicy {
    daemons: Vec<Policy>,
    disabled: Disabled,
    oracle: bool,
}

impl SchedulerPolicy {
    pub fn new(config: &Arc<Config>, daemons: usize) -> Self {
        let policy = || Policy::new(config.clone()).with_settle(Duration::ZERO);
        let daemons = (0..daemons).map(|_| policy()).collect();
        Self { daemons, disabled: Disabled::Nothing, oracle: false }
    }

    pub fn without(config: &Arc<Config>, disabled: Disabled) -> Self {
        let mut policy = Self::new(config, 1);
        policy.disabled = disabled;
        if disabled == Disabled::Model {
            *policy.daemons[0].interference_mut() =
                Interference::new().with_learning(Learning::Off);
        }
        policy
    }

    pub fn oracle(config: &Arc<Config>) -> Self {
        let mut policy = Self::new(config, 1);
        policy.oracle = true;
        policy
    }

    fn holder(&mut self, vm: &VmId) -> &mut Policy {
        let number: usize = vm.as_str().trim_start_matches("vm-").parse().unwrap_or(0);
        let count = self.daemons.len();
        &mut self.daemons[number % count]
    }

    fn writer(&mut self, candidate: &Candidate) -> &mut Policy {
        let count = self.daemons.len();
        &mut self.daemons[candidate.task.number as usize % count]
    }
}

impl TestedPolicy for SchedulerPolicy {
    fn upsert(&mut self, view: VmView) {
        for daemon in &mut self.daemons {
            daemon.upsert_vm(view.clone());
        }
    }

    fn remove(&mut self, vm: &VmId) {
        for daemon in &mut self.daemons {
            daemon.remove_vm(vm);
        }
    }

    fn place(&mut self, candidate: &Candidate, now: Duration) -> PlacementDecision {
        self.writer(candidate).place(candidate, now).choice
    }

    fn priority(&self, candidate: &Candidate) -> Option<Priority> {
        Some(self.daemons[0].priority(candidate))
    }

    fn handle_report(&mut self, vm: &VmId, report: &UsageReport, now: Duration) {
        self.holder(vm).handle_report(vm, report, now);
    }

    fn record_outcome(&mut self, vm: &VmId, class: &ClassName, outcome: &Outcome, now: Duration) {
        if self.disabled != Disabled::Blame {
            self.holder(vm).record_outcome(vm, class, outcome, now);
        }
    }

    fn decide_relief(
        &mut self,
        vm: &VmId,
        running_tasks: &[RunningTask],
        now: Duration,
    ) -> Vec<ReliefStep> {
        if self.disabled == Disabled::Relief {
            return Vec::new();
        }
        let steps = self.holder(vm).decide_relief(vm, running_tasks, now);
        steps.into_iter().map(|step| step.choice).collect()
    }

    fn plan_preemption(
        &mut self,
        candidate: &Candidate,
        running_tasks: &IndexMap<VmId, Vec<RunningTask>>,
        now: Duration,
    ) -> Option<ReliefStep> {
        let decision = self.writer(candidate).plan_preemption(candidate, running_tasks, now);
        decision.map(|decision| decision.choice)
    }

    fn effects_changed(&mut self, truth: &HiddenEffects) {
        if !self.oracle {
            return;
        }
        let mut model = Interference::new().with_learning(Learning::Off);
        for (v, victim) in truth.classes().iter().enumerate() {
            for (a, aggressor) in truth.classes().iter().enumerate() {
                for load in BAND_LOADS {
                    model.set(victim, aggressor, Band::of(load), truth.effect(v, a, load));
                }
            }
        }
        *self.daemons[0].interference_mut() = model;
    }

    fn predict(&self, victim: &ClassName, aggressor: &ClassName, load: f64) -> Option<f64> {
        let model = self.daemons[0].interference();
        Some(model.effect(victim, aggressor, Band::of(load)))
    }
}
