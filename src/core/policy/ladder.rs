//! Steps against a service's suffering: throttle, avoid, evict, and back.
//!
//! Reports lag, so a step is judged only by measurements taken after it; without that one late
//! measurement would be punished twice. A step back is taken after a longer calm, and each relapse
//! doubles the calm that the next step back needs.

use super::Relief;
use super::decide::{NormalizedWeights, PPM};
use crate::ids::{Attempt, ClassName, TaskId, VmId};
use crate::peer::VmHealth;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Reports measured after a step before the next.
const REPORTS_FOR_STEP: u32 = 2;

/// Least time between two steps; also several times the reports' lag.
const LEAST_DWELL: Duration = Duration::from_secs(5);
const LAGS_FOR_DWELL: u32 = 2;

/// A measurement older than this calls for no step.
const OLD: Duration = Duration::from_secs(60);

/// A VM that sent no report for this long is led back step by step: nothing would ever end a
/// throttle there otherwise.
const SILENT: Duration = Duration::from_secs(600);

/// Calm before the first step back, and the longest.
const FIRST_CALM: Duration = Duration::from_secs(30);
const LONGEST_CALM: Duration = Duration::from_secs(600);

/// Calm is slowdown below this part of the trigger.
const CALM_PART: f64 = 0.6;

/// A step back must not be expected to bring slowdown above this part of the trigger.
const RESTORE_PART: f64 = 0.85;

/// Least share of a new report in the smoothed slowdown, and in its smoothed variance.
const GAIN: f64 = 0.3;
const VARIANCE_GAIN: f64 = 0.1;

/// Variance of one report before any was taken.
const FIRST_VARIANCE: f64 = 0.01;

/// A service suffers when its smoothed slowdown is over the trigger by so many standard errors:
/// else the noise of reports alone calls for steps on one VM or another all the time.
const ERRORS: f64 = 1.0;

/// Each throttling leaves this part of a task's processors.
const THROTTLE_STEP: f64 = 0.5;

/// The least share that a task is throttled to.
const LEAST_SHARE: f64 = 0.25;

/// A task that causes less than this part of the slowdown is no culprit.
const CULPRIT_DIVISOR: i64 = 10;

/// If all batch tasks together cause less than this part of the slowdown, no step helps: the
/// services slow each other, and a VM would be avoided for ever.
const BATCH_DIVISOR: i64 = 5;

/// How much the relief of a service counts against the loss of an eviction.
const RELIEF_FACTOR: i64 = 4;

/// How far a VM is on the ladder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rung {
    #[default]
    Calm,
    Throttled,
    Avoided,
}

/// A batch task beside suffering services, with what it is thought to cause.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Culprit {
    pub task: TaskId,
    pub attempt: Attempt,
    /// Slowdown of the services there that it causes as it is throttled now, in parts.
    pub harm: i64,
    /// Share of its processors that it has, in parts.
    pub share: i64,
    /// What evicting it would lose, in parts; nothing if it is not to be evicted.
    pub loss: Option<i64>,
}

/// What a step is decided from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inputs {
    pub at: Duration,
    pub vm: VmId,
    pub rung: Rung,
    pub shares: NormalizedWeights,
    /// Excess slowdown at which a service is helped, in parts.
    pub trigger: i64,
    /// Smoothed excess slowdown of the service that suffers most, in parts.
    pub excess: i64,
    /// The same less a margin for the noise of reports.
    pub surely: i64,
    /// Measurements since the last step, and the age of the newest.
    pub reports: u32,
    pub age: Duration,
    pub since_step: Duration,
    pub dwell: Duration,
    /// Time below the trigger by a margin, and how much of it a step back needs.
    pub calm: Duration,
    pub calm_needed: Duration,
    /// Evictions allowed, in parts.
    pub budget: i64,
    /// Batch tasks there, in the order of their ids.
    pub culprits: Vec<Culprit>,
}

impl Inputs {
    /// The step that follows from the inputs, if one is due.
    pub fn decide(&self) -> Option<Relief> {
        if self.age > SILENT && self.since_step > SILENT {
            return self.step_back();
        }
        if self.since_step < self.dwell || self.reports < REPORTS_FOR_STEP || self.age > OLD {
            return None;
        }
        if self.surely > self.trigger {
            return self.step_up();
        }
        if self.calm >= self.calm_needed {
            return self.step_back();
        }
        None
    }

    fn step_up(&self) -> Option<Relief> {
        let harm: i64 = self.culprits.iter().map(|culprit| culprit.harm).sum();
        if harm < self.excess / BATCH_DIVISOR {
            return None;
        }
        match self.rung {
            Rung::Calm => self.throttle().or_else(|| self.avoid()),
            Rung::Throttled => self.avoid(),
            Rung::Avoided => self.throttle().or_else(|| self.evict()),
        }
    }

    fn throttle(&self) -> Option<Relief> {
        let least = to_ppm(LEAST_SHARE);
        let open = |culprit: &&Culprit| {
            culprit.share > least && culprit.harm >= self.excess / CULPRIT_DIVISOR
        };
        let worst = self.culprits.iter().filter(open).max_by_key(|culprit| culprit.harm)?;
        let share = (worst.share as f64 / PPM * THROTTLE_STEP).max(LEAST_SHARE);
        Some(Relief::Throttle { vm: self.vm.clone(), task: worst.task, share })
    }

    fn avoid(&self) -> Option<Relief> {
        Some(Relief::Health { vm: self.vm.clone(), health: VmHealth::Avoided })
    }

    /// Evicts the task that gives most relief for its loss, if that is worth it by the weights.
    fn evict(&self) -> Option<Relief> {
        if self.budget < to_ppm(1.0) {
            return None;
        }
        let worth = |culprit: &&Culprit| self.gain(culprit) > 0;
        let best = self.culprits.iter().filter(worth).max_by_key(|culprit| self.gain(culprit))?;
        Some(Relief::Evict { vm: self.vm.clone(), task: best.task, attempt: best.attempt })
    }

    fn gain(&self, culprit: &Culprit) -> i64 {
        let Some(loss) = culprit.loss else { return 0 };
        self.shares.tail * culprit.harm * RELIEF_FACTOR - self.shares.evictions * loss
    }

    fn step_back(&self) -> Option<Relief> {
        let whole = to_ppm(1.0);
        let limit = (self.trigger as f64 * RESTORE_PART) as i64;
        let throttled = self.culprits.iter().filter(|culprit| culprit.share < whole);
        let rise = |culprit: &Culprit| {
            let full = culprit.harm * whole / culprit.share.max(1);
            let next = (culprit.share * 2).min(whole);
            full * next / whole - culprit.harm
        };
        let least = throttled.min_by_key(|culprit| (rise(culprit), culprit.task));
        if let Some(least) = least {
            let silent = self.age > SILENT;
            let long_calm = self.calm >= self.calm_needed * 4;
            let safe = silent || long_calm || self.excess + rise(least) < limit;
            let share = (least.share as f64 / PPM / THROTTLE_STEP).min(1.0);
            let task = least.task;
            return safe.then(|| Relief::Throttle { vm: self.vm.clone(), task, share });
        }
        let opens = self.rung != Rung::Calm;
        opens.then(|| Relief::Health { vm: self.vm.clone(), health: VmHealth::Open })
    }
}

/// An amount in parts.
pub fn to_ppm(amount: f64) -> i64 {
    (amount.clamp(-1e6, 1e6) * PPM).round() as i64
}

/// Smoothed slowdown of one service.
#[derive(Clone, Copy, Debug)]
struct Smoothed {
    mean: f64,
    variance: f64,
    /// Reports since the last step.
    count: u32,
}

impl Default for Smoothed {
    fn default() -> Self {
        Self { mean: 0.0, variance: FIRST_VARIANCE, count: 0 }
    }
}

impl Smoothed {
    fn take(&mut self, excess: f64) {
        self.count += 1;
        let gain = (1.0 / f64::from(self.count)).max(GAIN);
        let deviation = excess - self.mean;
        if self.count > 1 {
            self.variance += (deviation * deviation - self.variance) * VARIANCE_GAIN;
        }
        self.mean += deviation * gain;
    }

    /// Standard error of the mean.
    fn error(&self) -> f64 {
        let steady = GAIN / (2.0 - GAIN);
        let share = (1.0 / f64::from(self.count.max(1))).max(steady);
        (self.variance * share).sqrt()
    }

    /// Excess slowdown that is surely there.
    fn surely(&self) -> f64 {
        (self.mean - ERRORS * self.error()).max(0.0)
    }
}

/// Where one VM is on the ladder.
#[derive(Clone, Debug, Default)]
pub struct Ladder {
    pub rung: Rung,
    /// Shares that tasks were throttled to.
    pub throttled: IndexMap<TaskId, f64>,
    stepped_at: Option<Duration>,
    reports: u32,
    services: IndexMap<ClassName, Smoothed>,
    measured_at: Duration,
    calm_since: Option<Duration>,
    calm_needed: Duration,
    stepped_back_at: Option<Duration>,
    reason: Option<Box<Inputs>>,
}

impl Ladder {
    /// Takes the excess slowdowns of the services there, as measured at `at`.
    pub fn measured<'a>(
        &mut self,
        services: impl Iterator<Item = (&'a ClassName, f64)>,
        trigger: f64,
        at: Duration,
    ) {
        if !self.unchanged_since(at) {
            return;
        }
        for (class, excess) in services {
            self.services.entry(class.clone()).or_default().take(excess);
        }
        self.reports += 1;
        self.measured_at = at;
        if self.suffering() >= trigger * CALM_PART {
            self.calm_since = None;
        } else {
            self.calm_since.get_or_insert(at);
        }
    }

    /// Smoothed excess slowdown of the service that suffers most.
    pub fn suffering(&self) -> f64 {
        self.services.values().map(|service| service.mean).fold(0.0, f64::max)
    }

    fn surely(&self) -> f64 {
        self.services.values().map(Smoothed::surely).fold(0.0, f64::max)
    }

    /// Forgets throttles of tasks that left.
    pub fn retain(&mut self, present: impl Fn(&TaskId) -> bool) {
        self.throttled.retain(|task, _| present(task));
    }

    /// Share of its processors that the task has.
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
            excess: to_ppm(self.suffering()),
            surely: to_ppm(self.surely()),
            reports: self.reports,
            age: now.saturating_sub(self.measured_at),
            since_step: self.stepped_at.map_or(Duration::MAX, |at| now.saturating_sub(at)),
            dwell: LEAST_DWELL,
            calm,
            calm_needed: self.calm_needed.max(FIRST_CALM),
            budget: 0,
            culprits: Vec::new(),
        }
    }

    /// What the step to this rung was decided from.
    pub fn reason(&self) -> Option<&Inputs> {
        self.reason.as_deref()
    }

    /// Whether the throttles in force are those at the time of a measurement.
    pub fn unchanged_since(&self, at: Duration) -> bool {
        self.stepped_at.is_none_or(|stepped| at > stepped)
    }

    /// Notes a step that was decided.
    pub fn stepped(&mut self, relief: &Relief, inputs: &Inputs, now: Duration) {
        if matches!(relief, Relief::Health { .. }) {
            self.reason = Some(Box::new(inputs.clone()));
        }
        let back = self.is_back(relief);
        match relief {
            Relief::Throttle { task, share, .. } if *share >= 1.0 => {
                self.throttled.shift_remove(task);
            }
            Relief::Throttle { task, share, .. } => {
                self.throttled.insert(*task, *share);
                self.rung = self.rung.max(Rung::Throttled);
            }
            Relief::Health { health: VmHealth::Avoided, .. } => self.rung = Rung::Avoided,
            Relief::Health { .. } => self.rung = Rung::Calm,
            Relief::Evict { task, .. } => {
                self.throttled.shift_remove(task);
            }
        }
        self.pace(back, now);
        self.stepped_at = Some(now);
        self.reports = 0;
        for service in self.services.values_mut() {
            service.count = 0;
        }
        self.calm_since = None;
    }

    fn is_back(&self, relief: &Relief) -> bool {
        match relief {
            Relief::Throttle { task, share, .. } => *share > self.share(task),
            Relief::Health { health, .. } => *health == VmHealth::Open,
            Relief::Evict { .. } => false,
        }
    }

    /// Doubles the calm that is needed when a step back turns out to have been too early.
    fn pace(&mut self, back: bool, now: Duration) {
        if back {
            self.stepped_back_at = Some(now);
            return;
        }
        let needed = self.calm_needed.max(FIRST_CALM);
        let relapse = self.stepped_back_at.is_some_and(|at| now < at + needed * 2);
        self.calm_needed = if relapse { (needed * 2).min(LONGEST_CALM) } else { FIRST_CALM };
    }
}

/// Time between two steps on a VM whose reports lag by so much.
pub fn dwell(lag: Duration) -> Duration {
    (lag * LAGS_FOR_DWELL).max(LEAST_DWELL)
}
