//! Steps against a service's suffering: throttle, avoid, evict, and back.
//!
//! Reports lag, so a step is judged only by measurements taken after it; without that one late
//! measurement would be punished twice. A step back is taken after a longer calm, and each relapse
//! doubles the calm that the next step back needs.

use super::Relief;
use super::decide::{PARTS, Shares};
use crate::ids::{Attempt, TaskId, VmId};
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

/// Share of a new report in the smoothed slowdown.
const GAIN: f64 = 0.5;

/// Each throttling leaves this part of a task's processors.
const THROTTLE_STEP: f64 = 0.5;

/// The least share that a task is throttled to.
const LEAST_SHARE: f64 = 0.25;

/// A task that causes less than this part of the slowdown is no culprit.
const CULPRIT_DIVISOR: i64 = 10;

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
    pub shares: Shares,
    /// Excess slowdown at which a service is helped, in parts.
    pub trigger: i64,
    /// Smoothed excess slowdown of the service that suffers most, in parts.
    pub excess: i64,
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
        if self.excess > self.trigger {
            return self.step_up();
        }
        if self.calm >= self.calm_needed {
            return self.step_back();
        }
        None
    }

    fn step_up(&self) -> Option<Relief> {
        match self.rung {
            Rung::Calm => self.throttle().or_else(|| self.avoid()),
            Rung::Throttled => self.avoid(),
            Rung::Avoided => self.throttle().or_else(|| self.evict()),
        }
    }

    fn throttle(&self) -> Option<Relief> {
        let least = to_parts(LEAST_SHARE);
        let open = |culprit: &&Culprit| {
            culprit.share > least && culprit.harm >= self.excess / CULPRIT_DIVISOR
        };
        let worst = self.culprits.iter().filter(open).max_by_key(|culprit| culprit.harm)?;
        let share = (worst.share as f64 / PARTS * THROTTLE_STEP).max(LEAST_SHARE);
        Some(Relief::Throttle { vm: self.vm.clone(), task: worst.task, share })
    }

    fn avoid(&self) -> Option<Relief> {
        if self.culprits.is_empty() {
            return None;
        }
        Some(Relief::Health { vm: self.vm.clone(), health: VmHealth::Avoided })
    }

    /// Evicts the task that gives most relief for its loss, if that is worth it by the weights.
    fn evict(&self) -> Option<Relief> {
        if self.budget < to_parts(1.0) {
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
        let whole = to_parts(1.0);
        let limit = (self.trigger as f64 * RESTORE_PART) as i64;
        let throttled = self.culprits.iter().filter(|culprit| culprit.share < whole);
        let rise = |culprit: &Culprit| {
            let full = culprit.harm * whole / culprit.share.max(1);
            let next = (culprit.share * 2).min(whole);
            full * next / whole - culprit.harm
        };
        let least = throttled.min_by_key(|culprit| (rise(culprit), culprit.task));
        if let Some(least) = least {
            let safe = self.excess + rise(least) < limit || self.calm >= self.calm_needed * 4;
            let share = (least.share as f64 / PARTS / THROTTLE_STEP).min(1.0);
            let task = least.task;
            return safe.then(|| Relief::Throttle { vm: self.vm.clone(), task, share });
        }
        let opens = self.rung != Rung::Calm;
        opens.then(|| Relief::Health { vm: self.vm.clone(), health: VmHealth::Open })
    }
}

/// An amount in parts.
pub fn to_parts(amount: f64) -> i64 {
    (amount.clamp(-1e6, 1e6) * PARTS).round() as i64
}

/// Where one VM is on the ladder.
#[derive(Clone, Debug, Default)]
pub struct Ladder {
    pub rung: Rung,
    /// Shares that tasks were throttled to.
    pub throttled: IndexMap<TaskId, f64>,
    stepped_at: Option<Duration>,
    reports: u32,
    excess: f64,
    measured_at: Duration,
    calm_since: Option<Duration>,
    calm_needed: Duration,
    stepped_back_at: Option<Duration>,
    reason: Option<Box<Inputs>>,
}

impl Ladder {
    /// Takes the slowdown of the service that suffers most, as measured at `at`.
    pub fn measured(&mut self, excess: f64, trigger: f64, at: Duration) {
        if !self.unchanged_since(at) {
            return;
        }
        let gain = if self.reports == 0 { 1.0 } else { GAIN };
        self.excess += (excess - self.excess) * gain;
        self.reports += 1;
        self.measured_at = at;
        if self.excess >= trigger * CALM_PART {
            self.calm_since = None;
        } else {
            self.calm_since.get_or_insert(at);
        }
    }

    /// Forgets throttles of tasks that left.
    pub fn retain(&mut self, present: impl Fn(&TaskId) -> bool) {
        self.throttled.retain(|task, _| present(task));
    }

    /// Share of its processors that the task has.
    pub fn share(&self, task: &TaskId) -> f64 {
        self.throttled.get(task).copied().unwrap_or(1.0)
    }

    pub fn inputs(&self, vm: &VmId, shares: Shares, trigger: f64, now: Duration) -> Inputs {
        let measured = self.measured_at;
        let calm = self.calm_since.map_or(Duration::ZERO, |since| measured.saturating_sub(since));
        Inputs {
            at: now,
            vm: vm.clone(),
            rung: self.rung,
            shares,
            trigger: to_parts(trigger),
            excess: to_parts(self.excess),
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
