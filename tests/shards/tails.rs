//! Tail latencies of serving tasks beside leftover work, and what VMs measure of them.
//!
//! A task's load is its own, which oscillates, plus an amount for each leftover task on its VM that
//! depends on both images and changes within seconds. Its tail grows with the load as in a queue.
//! What VMs report covers the last half second and is rough.

use indexmap::IndexMap;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::VecDeque;
use std::f64::consts::TAU;
use std::time::Duration;
use waxwingstall::job::{JobId, RunNumber, TaskRef};
use waxwingstall::vm::{RunningTask, VmEntry};
use waxwingstall_standin::runs::RunTable;

/// Number of images of leftover and of serving tasks.
pub const LEFTOVER_IMAGES: usize = 6;
pub const SERVING_IMAGES: usize = 3;

/// Time that a measurement covers.
const WINDOW: Duration = Duration::from_millis(500);

/// Time from the start of a run until its usage is measured.
const MEASURED_AFTER: Duration = Duration::from_millis(200);

/// Time from a pace command to its effect.
const PACE_DELAY: Duration = Duration::from_millis(100);

/// Mean and standard deviation of the logarithm of a measurement's error, by which it differs from
/// the true tail by a factor of 0.80 to 1.17 in nine of ten cases.
const ERROR_MEAN: f64 = -0.03;
const ERROR_DEVIATION: f64 = 0.115;

/// Highest load: callers give up beyond it.
const MAX_LOAD: f64 = 0.995;

/// Usual chance per second that an amount changes.
const CHANGE_CHANCE: f64 = 0.08;

/// Ranges of the amounts of light and heavy pairs of images, and how many of ten are heavy.
const LIGHT: std::ops::Range<f64> = 0.1..0.4;
const HEAVY: std::ops::Range<f64> = 0.8..2.0;
const HEAVY_IN_TEN: u32 = 4;

/// What a job's tasks do to the tails on their VM.
#[derive(Clone, Copy, Debug)]
pub enum Workload {
    Serving(Serving),
    Leftover { image: usize },
}

/// A job with a tail target.
#[derive(Clone, Copy, Debug)]
pub struct Serving {
    pub image: usize,
    pub target: Duration,
    /// Mean of its own load, and by how much of that it oscillates.
    pub load: f64,
    pub swing: f64,
    pub period: Duration,
    /// Share of a period by which it is ahead.
    pub phase: f64,
}

impl Serving {
    fn own_load(&self, now: Duration) -> f64 {
        let turns = now.as_secs_f64() / self.period.as_secs_f64() + self.phase;
        self.load * (1.0 + self.swing * (TAU * turns).sin())
    }

    /// Load at which the tail is at the target.
    fn bound(&self) -> f64 {
        1.0 - BASE_SHARE
    }

    fn tail(&self, load: f64) -> Duration {
        self.target.mul_f64(BASE_SHARE / (1.0 - load.min(MAX_LOAD)))
    }
}

/// Tail without any load as a share of the target.
const BASE_SHARE: f64 = 1.0 / 4.5;

/// A task that was over its target for too long because of the work beside it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Harm {
    pub task: TaskRef,
    pub since: Duration,
    pub until: Duration,
}

#[derive(Debug, Default)]
struct RunState {
    /// Load, or processors in use in thousandths of a core, in the last window.
    window: VecDeque<(Duration, f64)>,
    /// Paces, with the times from which they apply.
    paces: Vec<(Duration, u8)>,
    /// Since when the task has been over its target because of its neighbours.
    over_since: Option<Duration>,
    seen: Duration,
}

impl RunState {
    fn pace(&mut self, now: Duration, commanded: u8) -> f64 {
        if self.paces.last().is_none_or(|(_, pace)| *pace != commanded) {
            let from = if self.paces.is_empty() { now } else { now + PACE_DELAY };
            self.paces.push((from, commanded));
        }
        let current = self.paces.iter().rev().find(|(from, _)| *from <= now);
        f64::from(current.map_or(100, |(_, pace)| *pace)) / 100.0
    }

    fn record(&mut self, now: Duration, value: f64) {
        self.window.push_back((now, value));
        while self.window.front().is_some_and(|(at, _)| *at + WINDOW <= now) {
            self.window.pop_front();
        }
        self.seen = now;
    }

    /// How much of the window has been recorded.
    fn age(&self) -> Duration {
        let first = self.window.front().map_or(self.seen, |(at, _)| *at);
        self.seen.saturating_sub(first)
    }

    fn mean(&self) -> f64 {
        let sum: f64 = self.window.iter().map(|(_, value)| value).sum();
        sum / self.window.len().max(1) as f64
    }
}

/// The tails of all serving tasks.
pub struct TailModel {
    rng: SmallRng,
    workloads: IndexMap<JobId, Workload>,
    amounts: [[f64; SERVING_IMAGES]; LEFTOVER_IMAGES],
    /// Chance per second that an amount changes.
    change_chance: f64,
    runs: IndexMap<(TaskRef, RunNumber), RunState>,
    now: Duration,
    /// Time over the target that counts as harm.
    max_over: Duration,
    pub harms: Vec<Harm>,
    /// Longest time over the target by work beside a task.
    pub longest: Duration,
    /// Sum over all serving tasks of the time over their targets by work beside them.
    pub total_over: Duration,
}

impl TailModel {
    /// Creates a model in which a task may be over its target for `max_over`.
    pub fn new(seed: u64, max_over: Duration) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let amounts = std::array::from_fn(|_| std::array::from_fn(|_| draw_amount(&mut rng)));
        Self {
            rng,
            workloads: IndexMap::new(),
            amounts,
            change_chance: CHANGE_CHANCE,
            runs: IndexMap::new(),
            now: Duration::ZERO,
            max_over,
            harms: Vec::new(),
            longest: Duration::ZERO,
            total_over: Duration::ZERO,
        }
    }

    /// Sets all amounts for good.
    pub fn with_amounts(mut self, amount: f64) -> Self {
        self.amounts = [[amount; SERVING_IMAGES]; LEFTOVER_IMAGES];
        self.change_chance = 0.0;
        self
    }

    pub fn add(&mut self, job: JobId, workload: Workload) {
        self.workloads.insert(job, workload);
    }

    /// Lets amounts change until `now`.
    pub fn advance(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.now).as_secs_f64();
        self.now = now;
        let chance = (self.change_chance * passed).min(1.0);
        for amount in self.amounts.iter_mut().flatten() {
            if self.rng.random_bool(chance) {
                *amount = draw_amount(&mut self.rng);
            }
        }
        self.runs.retain(|_, run| run.seen + WINDOW >= now);
    }

    /// Computes the loads on a VM.
    pub fn observe(&mut self, now: Duration, vm: &VmEntry, table: &mut RunTable) {
        let size = f64::from(vm.size.milli_cores.0);
        let present = table.runs(now);
        let mut reserved = 0.0;
        let mut beside: Vec<(usize, f64)> = Vec::new();
        for (task, run, resources) in &present {
            let milli_cores = f64::from(resources.milli_cores.0);
            match self.workloads.get(&task.job) {
                Some(Workload::Serving(serving)) => reserved += milli_cores * serving.own_load(now),
                Some(Workload::Leftover { image }) => {
                    let pace = table.pace(*task).unwrap_or(100);
                    let state = self.runs.entry((*task, *run)).or_default();
                    beside.push((*image, milli_cores * state.pace(now, pace)));
                }
                None => {}
            }
        }
        let demand: f64 = beside.iter().map(|(_, used)| used).sum();
        let share = ((size - reserved).max(0.0) / demand.max(1.0)).min(1.0);
        let mut used = beside.iter().map(|(_, used)| used * share);
        for (task, run, _) in &present {
            match self.workloads.get(&task.job) {
                Some(Workload::Leftover { .. }) => {
                    let used = used.next().expect("one value for each leftover task");
                    self.runs.entry((*task, *run)).or_default().record(now, used);
                }
                Some(Workload::Serving(serving)) => {
                    let serving = *serving;
                    let amount = |(image, used): &(usize, f64)| {
                        self.amounts[*image][serving.image] * used * share / size
                    };
                    let added: f64 = beside.iter().map(amount).sum();
                    self.record_load(now, (*task, *run), serving, added);
                }
                None => {}
            }
        }
    }

    fn record_load(
        &mut self,
        now: Duration,
        key: (TaskRef, RunNumber),
        serving: Serving,
        added: f64,
    ) {
        let own = serving.own_load(now);
        let state = self.runs.entry(key).or_default();
        let passed = now.saturating_sub(state.seen);
        let known = !state.window.is_empty();
        state.record(now, own + added);
        let is_harmed = own < serving.bound() && own + added >= serving.bound();
        if !is_harmed {
            state.over_since = None;
            return;
        }
        if known {
            self.total_over += passed;
        }
        let since = *state.over_since.get_or_insert(now);
        self.longest = self.longest.max(now - since);
        if now - since >= self.max_over {
            self.harms.push(Harm { task: key.0, since, until: now });
            state.over_since = None;
        }
    }

    /// Fills in what the VM measures of its runs.
    pub fn measure(&mut self, now: Duration, running: &mut [RunningTask]) {
        for row in running {
            let Some(workload) = self.workloads.get(&row.task.job) else { continue };
            let Some(state) = self.runs.get(&(row.task, row.run)) else {
                row.measurement = 0;
                continue;
            };
            debug_assert!(state.seen <= now);
            let mean = state.mean();
            let value = match workload {
                Workload::Leftover { .. } if state.age() < MEASURED_AFTER => 0.0,
                Workload::Leftover { .. } => mean,
                Workload::Serving(serving) => {
                    let error = (ERROR_MEAN + ERROR_DEVIATION * normal(&mut self.rng)).exp();
                    serving.tail(mean).as_secs_f64() * 1000.0 * error
                }
            };
            row.measurement = value.round() as u32;
        }
    }
}

fn draw_amount(rng: &mut SmallRng) -> f64 {
    let range = if rng.random_ratio(HEAVY_IN_TEN, 10) { HEAVY } else { LIGHT };
    rng.random_range(range)
}

/// A draw from the standard normal distribution.
fn normal(rng: &mut SmallRng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (TAU * rng.random::<f64>()).cos()
}
