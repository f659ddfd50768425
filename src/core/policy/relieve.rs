//! Collects the inputs of relief steps on VMs and records the steps that were decided.

use super::decide::{PPM, batch_trigger};
use super::explain::{self, RecordedInputs};
use super::index::pool_includes;
use super::interference::{Band, Neighbours};
use super::ladder::{self, Aggressor, EscalationLevel, Ladder, dwell, to_ppm};
use super::room::{self, Plan, Progress};
use super::score::without_self;
use super::{Candidate, Decision, Policy, ReliefStep, RunningTask, eviction, health};
use crate::ids::{ClassName, VmId};
use crate::model::Urgency;
use crate::peer::VmHealth;
use indexmap::IndexMap;
use std::time::Duration;

/// Time after which a requested change of health that was not applied is requested again.
const HEALTH_RETRY_INTERVAL: Duration = Duration::from_secs(5);

/// Calm period after which a VM without batch tasks is opened again: no batch task there can be the
/// cause of a slowdown.
const CALM_WHEN_EMPTY: Duration = Duration::from_secs(10);

/// A requested change of health.
#[derive(Clone, Copy, Debug)]
pub(super) struct HealthRequest {
    health: VmHealth,
    at: Duration,
}

impl Policy {
    pub(super) fn relief_steps(
        &mut self,
        vm: &VmId,
        running_tasks: &[RunningTask],
        now: Duration,
    ) -> Vec<Decision<ReliefStep>> {
        self.blame.end_if_overdue(vm, now);
        let mut steps = Vec::new();
        if let Some(inputs) = self.ladder_inputs(vm, running_tasks, now)
            && let Some(relief) = inputs.decide()
        {
            self.record_step(vm, &relief, &inputs, now);
            if !matches!(relief, ReliefStep::Health { .. }) {
                steps.push(self.decision(relief, &RecordedInputs::Ladder(inputs), now));
            }
        }
        steps.extend(self.health_step(vm, now));
        steps
    }

    fn decision(
        &self,
        relief: ReliefStep,
        recorded: &RecordedInputs,
        now: Duration,
    ) -> Decision<ReliefStep> {
        let record = explain::relief_record(&relief, recorded, &self.config, now);
        Decision { choice: relief, record }
    }

    fn record_step(
        &mut self,
        vm: &VmId,
        relief: &ReliefStep,
        inputs: &ladder::Inputs,
        now: Duration,
    ) {
        if let Some(ladder) = self.ladders.get_mut(vm) {
            ladder.record_step(relief, inputs, now);
        }
        if let ReliefStep::Evict { .. } = relief {
            self.budget.spend();
        }
    }

    fn ladder_inputs(
        &mut self,
        vm: &VmId,
        running_tasks: &[RunningTask],
        now: Duration,
    ) -> Option<ladder::Inputs> {
        let shares = self.shares();
        let trigger = self.trigger_on(vm);
        let lag = self.reports.get(vm)?.lag;
        let budget = self.budget.available(&shares, now);
        let ladder = self.ladders.get_mut(vm)?;
        ladder.retain(|task| running_tasks.iter().any(|running_task| running_task.task == *task));
        let mut inputs = ladder.inputs(vm, shares, trigger, now);
        inputs.dwell = dwell(lag);
        if running_tasks.is_empty() {
            inputs.calm_needed = inputs.calm_needed.min(CALM_WHEN_EMPTY);
        }
        inputs.budget = budget;
        inputs.culprits = self.aggressors(vm, running_tasks, now);
        Some(inputs)
    }

    /// Excess slowdown above which the services on a VM are relieved. It includes the slowdown that
    /// the services cause each other, which batch tasks are not responsible for.
    pub(super) fn trigger_on(&self, vm: &VmId) -> f64 {
        let trigger = self.trigger();
        let Some(reports) = self.reports.get(vm) else { return trigger };
        let band = Band::of(reports.load);
        let services: Vec<_> = reports
            .classes
            .iter()
            .filter(|(class, _)| self.services.contains(*class))
            .map(|(class, used)| Neighbours { class, weight: used.weight })
            .collect();
        let excess = |(index, service): (usize, &Neighbours<'_>)| {
            self.model.excess(service.class, &without_self(&services, index), band)
        };
        let by_services = to_ppm(services.iter().enumerate().map(excess).fold(0.0, f64::max));
        let for_batch = batch_trigger(to_ppm(trigger), by_services);
        (for_batch + by_services) as f64 / PPM
    }

    fn aggressors(
        &self,
        vm: &VmId,
        running_tasks: &[RunningTask],
        now: Duration,
    ) -> Vec<Aggressor> {
        let Some(reports) = self.reports.get(vm) else { return Vec::new() };
        let Some(ladder) = self.ladders.get(vm) else { return Vec::new() };
        let band = Band::of(reports.load);
        let aggressor =
            |running_task: &RunningTask| self.aggressor(vm, running_task, ladder, band, now);
        let mut aggressors: Vec<_> = running_tasks.iter().map(aggressor).collect();
        aggressors.sort_by_key(|aggressor| aggressor.task);
        aggressors
    }

    fn aggressor(
        &self,
        vm: &VmId,
        running_task: &RunningTask,
        ladder: &Ladder,
        band: Band,
        now: Duration,
    ) -> Aggressor {
        let share = ladder.share(&running_task.task);
        let harm = self.harm(vm, &running_task.spec.class, band) * share;
        let evictable = !eviction::nearly_done(running_task, now);
        Aggressor {
            task: running_task.task,
            attempt: running_task.attempt,
            harm: to_ppm(harm),
            share: to_ppm(share),
            loss: eviction::cost(running_task, now).filter(|_| evictable),
        }
    }

    /// Excess slowdown that one task of the class causes to the service there that it affects most.
    fn harm(&self, vm: &VmId, class: &ClassName, band: Band) -> f64 {
        let Some(reports) = self.reports.get(vm) else { return 0.0 };
        let services = reports.classes.keys().filter(|name| self.services.contains(*name));
        services.map(|service| self.model.effect(service, class, band)).fold(0.0, f64::max)
    }

    fn health_step(&mut self, vm: &VmId, now: Duration) -> Option<Decision<ReliefStep>> {
        let inputs = self.health_inputs(vm, now)?;
        let Some(relief) = inputs.decide() else {
            self.health_requests.swap_remove(vm);
            return None;
        };
        let ReliefStep::Health { health, .. } = relief else { return None };
        let last = self.health_requests.get(vm);
        if last.is_some_and(|last| last.health == health && now < last.at + HEALTH_RETRY_INTERVAL) {
            return None;
        }
        self.health_requests.insert(vm.clone(), HealthRequest { health, at: now });
        Some(self.decision(relief, &RecordedInputs::Health(inputs), now))
    }

    fn health_inputs(&self, vm: &VmId, now: Duration) -> Option<health::Inputs> {
        let ladder = self.ladders.get(vm);
        let quarantine = self.blame.quarantine(vm);
        Some(health::Inputs {
            at: now,
            vm: vm.clone(),
            present: self.fleet.get(vm)?.view.health,
            blame: to_ppm(self.blame.of_vm(vm)),
            quarantined_for: quarantine.map(|quarantine| now.saturating_sub(quarantine.since)),
            rung: ladder.map_or(EscalationLevel::Calm, |ladder| ladder.rung),
            ladder: ladder.and_then(Ladder::last_health_step).cloned(),
        })
    }

    pub(super) fn eviction_for(
        &mut self,
        candidate: &Candidate,
        running_tasks: &IndexMap<VmId, Vec<RunningTask>>,
        now: Duration,
    ) -> Option<Decision<ReliefStep>> {
        if candidate.spec.urgency != Urgency::Urgent {
            return None;
        }
        let plans = match self.plans.progress(candidate.task, now) {
            Progress::Waiting => return None,
            Progress::Next(rest) => vec![rest],
            Progress::None => self.room_plans(candidate, running_tasks, now),
        };
        let need = candidate.spec.resources;
        let mut inputs = room::Inputs { at: now, task: candidate.task, need, plans };
        inputs.truncate();
        let relief = inputs.decide()?;
        let best = inputs.best()?.clone();
        self.plans.record_eviction(candidate.task, &best, now);
        self.reservations.reserve(candidate.task, &best.vm, now);
        Some(self.decision(relief, &RecordedInputs::Room(inputs), now))
    }

    fn room_plans(
        &self,
        candidate: &Candidate,
        running_tasks: &IndexMap<VmId, Vec<RunningTask>>,
        now: Duration,
    ) -> Vec<Plan> {
        let need = &candidate.spec.resources;
        let over_quota = self.domains_over_quota(candidate);
        let pool = self.config.pools.get(&candidate.spec.pool);
        let mut plans = Vec::new();
        for (id, running_tasks) in running_tasks {
            let Some(vm) = self.fleet.get(id) else { continue };
            let view = &vm.view;
            let usable = view.health == VmHealth::Open
                && pool_includes(pool, &view.domain)
                && pool.is_none_or(|pool| pool.min_size.fits_in(&view.size))
                && need.fits_in(&view.size)
                && !over_quota.contains(&view.domain)
                && !candidate.avoid.contains(id)
                && !self.plans.targets(id);
            if usable {
                plans.extend(room::plan(id, &view.free, need, running_tasks, now));
            }
        }
        plans.retain(|plan| !plan.victims.is_empty());
        plans
    }
}
