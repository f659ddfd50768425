//! The escalation ladder that relieves slowed services: throttle, avoid, evict, and back.
//!
//! Reports lag, so a step is evaluated only by measurements taken after it; otherwise one late
//! measurement would cause two steps. De-escalation requires a longer calm period, and each relapse
//! doubles the calm period that the next de-escalation requires.

use super::ReliefStep;
use super::decide::{NormalizedWeights, PPM};
use crate::ids::{Attempt, ClassName, TaskId, VmId};
use crate::peer::VmHealth;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Reports measured after a step that are required before the next step.
const MIN_REPORTS_PER_STEP: u32 = 2;

/// Minimum time between two steps, which is also at least a multiple of the report lag.
const MIN_DWELL: Duration = Duration::from_secs(5);
const DWELL_LAG_FACTOR: u32 = 2;

/// Age above which a measurement triggers no step.
const MAX_MEASUREMENT_AGE: Duration = Duration::from_secs(60);

/// A VM that sent no report for this long is de-escalated step by step; otherwise nothing would
/// ever lift a throttle there.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(600);

/// Bounds of the calm period required before a de-escalation.
const MIN_CALM: Duration = Duration::from_secs(30);
const MAX_CALM: Duration = Duration::from_secs(600);

/// Fraction of the trigger below which slowdown counts as calm.
const CALM_RATIO: f64 = 0.6;

/// Fraction of the trigger that the slowdown predicted after a de-escalation must stay below.
const RESTORE_RATIO: f64 = 0.85;

/// Minimum weight of a new report in the smoothed slowdown, and its weight in the variance.
const MIN_MEAN_GAIN: f64 = 0.3;
const VARIANCE_GAIN: f64 = 0.1;

/// Assumed variance of a report before any was received.
const INITIAL_VARIANCE: f64 = 0.01;

/// Number of standard errors by which the smoothed slowdown must exceed the trigger. Without this
/// margin, noise in the reports alone would cause steps on one VM or another all the time.
const CONFIDENCE_ERRORS: f64 = 1.0;

/// Factor applied to a task's CPU share by each throttling step.
const THROTTLE_FACTOR: f64 = 0.5;

/// Lowest CPU share that a task is throttled to.
const MIN_SHARE: f64 = 0.25;

/// A task is throttled only if it causes at least `1 / MIN_HARM_DIVISOR` of the slowdown.
const MIN_HARM_DIVISOR: i64 = 10;

/// If all batch tasks together cause less than `1 / MIN_BATCH_DIVISOR` of the slowdown, no step
/// helps: the services slow each other, and the VM would be avoided for good.
const MIN_BATCH_DIVISOR: i64 = 5;

/// Weight of a service's relief relative to the work lost by an eviction.
const RELIEF_WEIGHT: i64 = 4;

/// Escalation level of a VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EscalationLevel {
    #[default]
    Calm,
    Throttled,
    Avoided,
}

/// A batch task on a VM with slowed services, and its estimated effect on them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Aggressor {
    pub task: TaskId,
    pub attempt: Attempt,
    /// Slowdown that it causes to the services there at its current CPU share, in ppm.
    pub harm: i64,
    /// Current CPU share, in ppm.
    pub share: i64,
    /// Work lost by evicting it, in ppm; `None` if it must not be evicted.
    pub loss: Option<i64>,
}

/// Inputs of an escalation decision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inputs {
    pub at: Duration,
    pub vm: VmId,
    pub rung: EscalationLevel,
    pub shares: NormalizedWeights,
    /// Excess slowdown above which a service is relieved, in ppm.
    pub trigger: i64,
    /// Smoothed excess slowdown of the most affected service, in ppm.
    pub excess: i64,
    /// Lower confidence bound of the highest excess slowdown, in ppm.
    pub surely: i64,
    /// Measurements since the last step, and the age of the newest.
    pub reports: u32,
    pub age: Duration,
    pub since_step: Duration,
    pub dwell: Duration,
    /// Time spent calm, and the time required for a de-escalation.
    pub calm: Duration,
    pub calm_needed: Duration,
    /// Evictions allowed, in ppm.
    pub budget: i64,
    /// Batch tasks on the VM, ordered by id.
    pub culprits: Vec<Aggressor>,
}

impl Inputs {
    /// Returns the step that the inputs call for, if any.
    pub fn decide(&self) -> Option<ReliefStep> {
        if self.age > SILENCE_TIMEOUT && self.since_step > SILENCE_TIMEOUT {
            return self.de_escalate();
        }
        if self.since_step < self.dwell
            || self.reports < MIN_REPORTS_PER_STEP
            || self.age > MAX_MEASUREMENT_AGE
        {
            return None;
        }
        if self.surely > self.trigger {
            return self.escalate();
        }
        if self.calm >= self.calm_needed {
            return self.de_escalate();
        }
        None
    }

    fn escalate(&self) -> Option<ReliefStep> {
        let harm: i64 = self.culprits.iter().map(|aggressor| aggressor.harm).sum();
        if harm < self.excess / MIN_BATCH_DIVISOR {
            return None;
        }
        match self.rung {
            EscalationLevel::Calm => self.throttle().or_else(|| self.avoid()),
            EscalationLevel::Throttled => self.avoid(),
            EscalationLevel::Avoided => self.throttle().or_else(|| self.evict()),
        }
    }

    fn throttle(&self) -> Option<ReliefStep> {
        let least = to_ppm(MIN_SHARE);
        let throttleable = |aggressor: &&Aggressor| {
            aggressor.share > least && aggressor.harm >= self.excess / MIN_HARM_DIVISOR
        };
        let worst =
            self.culprits.iter().filter(throttleable).max_by_key(|aggressor| aggressor.harm)?;
        let share = (worst.share as f64 / PPM * THROTTLE_FACTOR).max(MIN_SHARE);
        Some(ReliefStep::Throttle { vm: self.vm.clone(), task: worst.task, share })
    }

    fn avoid(&self) -> Option<ReliefStep> {
        Some(ReliefStep::Health { vm: self.vm.clone(), health: VmHealth::Avoided })
    }

    /// Evicts the task with the highest net gain, if the weights make any eviction worthwhile.
    fn evict(&self) -> Option<ReliefStep> {
        if self.budget < to_ppm(1.0) {
            return None;
        }
        let worthwhile = |aggressor: &&Aggressor| self.gain(aggressor) > 0;
        let best =
            self.culprits.iter().filter(worthwhile).max_by_key(|aggressor| self.gain(aggressor))?;
        Some(ReliefStep::Evict { vm: self.vm.clone(), task: best.task, attempt: best.attempt })
    }

    fn gain(&self, aggressor: &Aggressor) -> i64 {
        let Some(loss) = aggressor.loss else { return 0 };
        self.shares.tail * aggressor.harm * RELIEF_WEIGHT - self.shares.evictions * loss
    }

    fn de_escalate(&self) -> Option<ReliefStep> {
        let whole = to_ppm(1.0);
        let limit = (self.trigger as f64 * RESTORE_RATIO) as i64;
        let throttled = self.culprits.iter().filter(|aggressor| aggressor.share < whole);
        let rise = |aggressor: &Aggressor| {
            let full = aggressor.harm * whole / aggressor.share.max(1);
            let next = (aggressor.share * 2).min(whole);
            full * next / whole - aggressor.harm
        };
        let least = throttled.min_by_key(|aggressor| (rise(aggressor), aggressor.task));
        if let Some(least) = least {
            let silent = self.age > SILENCE_TIMEOUT;
            let long_calm = self.calm >= self.calm_needed * 4;
            let safe = silent || long_calm || self.excess + rise(least) < limit;
            let share = (least.share as f64 / PPM / THROTTLE_FACTOR).min(1.0);
            let task = least.task;
            return safe.then(|| ReliefStep::Throttle { vm: self.vm.clone(), task, share });
        }
        let opens = self.rung != EscalationLevel::Calm;
        opens.then(|| ReliefStep::Health { vm: self.vm.clone(), health: VmHealth::Open })
    }
}

/// Converts a fraction to ppm.
pub fn to_ppm(amount: f64) -> i64 {
    (amount.clamp(-1e6, 1e6) * PPM).round() as i64
}

/// Exponentially smoothed slowdown of one service.
#[derive(Clone, Copy, Debug)]
struct SmoothedSlowdown {
    mean: f64,
    variance: f64,
    /// Reports since the last step.
    count: u32,
}

impl Default for SmoothedSlowdown {
    fn default() -> Self {
        Self { mean: 0.0, variance: INITIAL_VARIANCE, count: 0 }
    }
}

impl SmoothedSlowdown {
    fn update(&mut self, excess: f64) {
        self.count += 1;
        let gain = (1.0 / f64::from(self.count)).max(MIN_MEAN_GAIN);
        let deviation = excess - self.mean;
        if self.count > 1 {
            self.variance += (deviation * deviation - self.variance) * VARIANCE_GAIN;
        }
        self.mean += deviation * gain;
    }

    /// Standard error of the mean.
    fn standard_error(&self) -> f64 {
        let steady = MIN_MEAN_GAIN / (2.0 - MIN_MEAN_GAIN);
        let share = (1.0 / f64::from(self.count.max(1))).max(steady);
        (self.variance * share).sqrt()
    }

    /// Lower confidence bound of the excess slowdown.
    fn lower_bound(&self) -> f64 {
        (self.mean - CONFIDENCE_ERRORS * self.standard_error()).max(0.0)
    }
}

/// Escalation state of one VM.
#[derive(Clone, Debug, Default)]
pub struct Ladder {
    pub rung: EscalationLevel,
    /// CPU shares of throttled tasks.
    pub throttled: IndexMap<TaskId, f64>,
    stepped_at: Option<Duration>,
    reports: u32,
    services: IndexMap<ClassName, SmoothedSlowdown>,
    measured_at: Duration,
    calm_since: Option<Duration>,
    calm_needed: Duration,
    de_escalated_at: Option<Duration>,
    last_health_step: Option<Box<Inputs>>,
}

impl Ladder {
    /// Updates the excess slowdowns of the services on the VM with a measurement taken at `at`.
    pub fn observe<'a>(
        &mut self,
        services: impl Iterator<Item = (&'a ClassName, f64)>,
        trigger: f64,
        at: Duration,
    ) {
        if !self.unchanged_since(at) {
            return;
        }
        for (class, excess) in services {
            self.services.entry(class.clone()).or_default().update(excess);
        }
        self.reports += 1;
        self.measured_at = at;
        if self.worst_excess() >= trigger * CALM_RATIO {
            self.calm_since = None;
        } else {
            self.calm_since.get_or_insert(at);
        }
    }

    /// Smoothed excess slowdown of the most affected service.
    pub fn worst_excess(&self) -> f64 {
        self.services.values().map(|service| service.mean).fold(0.0, f64::max)
    }

    fn lower_bound(&self) -> f64 {
        self.services.values().map(SmoothedSlowdown::lower_bound).fold(0.0, f64::max)
    }

    /// Drops the throttles of tasks that left the VM.
    pub fn retain(&mut self, present: impl Fn(&TaskId) -> bool) {
        self.throttled.retain(|task, _| present(task));
    }

    /// CPU share of the task.
    pub fn share(&self, task: &TaskId) -> f64 {
        self.throttled.get(task).copied().unwrap_or(1.0)
    }

    pub fn inputs(
        &self,
        vm: &VmId,
        shares: NormalizedWeights,
        trigger: f64,
        now: Duration,
    ) -> Inputs {
        let measured = self.measured_at;
        let calm = self.calm_since.map_or(Duration::ZERO, |since| measured.saturating_sub(since));
        Inputs {
            at: now,
            vm: vm.clone(),
            rung: self.rung,
            shares,
            trigger: to_ppm(trigger),
            excess: to_ppm(self.worst_excess()),
            surely: to_ppm(self.lower_bound()),
            reports: self.reports,
            age: now.saturating_sub(self.measured_at),
            since_step: self.stepped_at.map_or(Duration::MAX, |at| now.saturating_sub(at)),
            dwell: MIN_DWELL,
            calm,
            calm_needed: self.calm_needed.max(MIN_CALM),
            budget: 0,
            culprits: Vec::new(),
        }
    }

    /// Inputs of the last step that changed the VM's health.
    pub fn last_health_step(&self) -> Option<&Inputs> {
        self.last_health_step.as_deref()
    }

    /// Whether the throttles have not changed since a measurement was taken.
    pub fn unchanged_since(&self, at: Duration) -> bool {
        self.stepped_at.is_none_or(|stepped| at > stepped)
    }

    /// Records a step that was decided.
    pub fn record_step(&mut self, relief: &ReliefStep, inputs: &Inputs, now: Duration) {
        if matches!(relief, ReliefStep::Health { .. }) {
            self.last_health_step = Some(Box::new(inputs.clone()));
        }
        let de_escalated = self.is_de_escalation(relief);
        match relief {
            ReliefStep::Throttle { task, share, .. } if *share >= 1.0 => {
                self.throttled.shift_remove(task);
            }
            ReliefStep::Throttle { task, share, .. } => {
                self.throttled.insert(*task, *share);
                self.rung = self.rung.max(EscalationLevel::Throttled);
            }
            ReliefStep::Health { health: VmHealth::Avoided, .. } => {
                self.rung = EscalationLevel::Avoided
            }
            ReliefStep::Health { .. } => self.rung = EscalationLevel::Calm,
            ReliefStep::Evict { task, .. } => {
                self.throttled.shift_remove(task);
            }
        }
        self.adjust_calm(de_escalated, now);
        self.stepped_at = Some(now);
        self.reports = 0;
        for service in self.services.values_mut() {
            service.count = 0;
        }
        self.calm_since = None;
    }

    fn is_de_escalation(&self, relief: &ReliefStep) -> bool {
        match relief {
            ReliefStep::Throttle { task, share, .. } => *share > self.share(task),
            ReliefStep::Health { health, .. } => *health == VmHealth::Open,
            ReliefStep::Evict { .. } => false,
        }
    }

    /// Doubles the required calm period if the last de-escalation was too early; else resets it.
    fn adjust_calm(&mut self, de_escalated: bool, now: Duration) {
        if de_escalated {
            self.de_escalated_at = Some(now);
            return;
        }
        let needed = self.calm_needed.max(MIN_CALM);
        let relapse = self.de_escalated_at.is_some_and(|at| now < at + needed * 2);
        self.calm_needed = if relapse { (needed * 2).min(MAX_CALM) } else { MIN_CALM };
    }
}

/// Minimum time between two steps on a VM whose reports have this lag.
pub fn dwell(lag: Duration) -> Duration {
    (lag * DWELL_LAG_FACTOR).max(MIN_DWELL)
}
