//! Scenarios: arrivals, loads and faults, identical for every policy under test.

use crate::site::{NOISY, Site};
use crate::truth::standard_normal;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use waxwingstall::ids::{ClassName, PartitionId, TaskId};
use waxwingstall::model::{Idempotency, Resumption, Urgency};
use waxwingstall::task::TaskSpec;
use waxwingstall::units::Resources;

/// Simulated length of a scenario, and its unmeasured warm-up, in seconds.
pub const LENGTH: u64 = 2400;
pub const WARM_UP: u64 = 500;

/// A task and its hidden properties.
#[derive(Clone, Debug)]
pub struct Job {
    pub id: TaskId,
    pub spec: TaskSpec,
    pub arrives: u64,
    /// Hidden: run time without neighbours, in seconds.
    pub work: f64,
    /// Hidden: ratio of used to declared processors.
    pub use_ratio: f64,
    pub cancel_at: Option<u64>,
}

/// How the services' processor use changes over time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Load {
    Steady,
    /// Doubles and halves without warning.
    Steps,
}

/// Delay, loss and noise of reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Wire {
    pub lag: u64,
    pub jitter: u64,
    pub lost: f64,
    pub repeated: f64,
    pub noise: f64,
}

pub const GOOD_WIRE: Wire = Wire { lag: 4, jitter: 4, lost: 0.02, repeated: 0.01, noise: 0.08 };
pub const BAD_WIRE: Wire = Wire { lag: 15, jitter: 30, lost: 0.3, repeated: 0.2, noise: 0.25 };

/// A scenario with its load and faults.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub name: &'static str,
    pub demand: f64,
    pub load: Load,
    pub wire: Wire,
    /// Whether waves of noisy tasks arrive.
    pub waves: bool,
    /// Whether declared sizes and run times are far off.
    pub misdeclared: bool,
    /// Time at which the hidden effects change.
    pub shift_at: Option<u64>,
    /// Number of VMs that fail every task.
    pub broken: usize,
    /// Index of the class that fails on every VM.
    pub bad_class: Option<usize>,
    /// Time at which a rack fails; it returns ten minutes later.
    pub rack_fails_at: Option<u64>,
    /// Number of tasks that are submitted at once and cancelled within seconds.
    pub cancellations: usize,
    /// Fraction of the tasks that fit no VM.
    pub impossible: f64,
    /// Fractions of the tasks that are urgent, and that need most of a VM.
    pub urgent: f64,
    pub large: f64,
}

impl Scenario {
    pub fn steady(name: &'static str) -> Self {
        Self {
            name,
            demand: 0.55,
            load: Load::Steady,
            wire: GOOD_WIRE,
            waves: false,
            misdeclared: false,
            shift_at: None,
            broken: 0,
            bad_class: None,
            rack_fails_at: None,
            cancellations: 0,
            impossible: 0.0,
            urgent: 0.0,
            large: 0.0,
        }
    }

    /// Processor use of the services relative to their size; may exceed 1.
    pub fn activity(&self, now: u64) -> f64 {
        match self.load {
            Load::Steady => 0.5 + 0.1 * (now as f64 / 300.0).sin(),
            Load::Steps => [0.35, 0.9, 0.5, 1.0, 0.4][(now / 420) as usize % 5],
        }
    }

    /// Generates all tasks, ordered by arrival.
    pub fn jobs(&self, site: &Site, batch_cores: f64, seed: u64) -> Vec<Job> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut jobs = Vec::new();
        for class in &site.batch {
            let per_task = f64::from(class.cores) * class.expected as f64;
            let rate = self.demand * batch_cores * class.load / per_task;
            self.arrivals(site, class.name, rate, &mut rng, &mut jobs);
        }
        if self.waves {
            self.noisy_waves(site, &mut rng, &mut jobs);
        }
        self.cancelled_wave(site, &mut rng, &mut jobs);
        jobs.sort_by_key(|job| job.arrives);
        for (number, job) in jobs.iter_mut().enumerate() {
            job.id = TaskId::new(PartitionId(1), number as u64);
        }
        jobs
    }

    fn arrivals(
        &self,
        site: &Site,
        class: &str,
        rate: f64,
        rng: &mut SmallRng,
        jobs: &mut Vec<Job>,
    ) {
        let mut at = 0.0;
        loop {
            at += -rng.random_range(1e-9..1.0_f64).ln() / rate;
            if at >= LENGTH as f64 {
                return;
            }
            let mut job = self.job(site, class, at as u64, rng);
            self.apply_variations(site, &mut job, rng);
            jobs.push(job);
        }
    }

    fn apply_variations(&self, site: &Site, job: &mut Job, rng: &mut SmallRng) {
        let draw: f64 = rng.random();
        if draw < self.impossible {
            job.spec.resources = site.size.saturating_add(&Resources::new(8000, 0, 0));
        } else if draw < self.impossible + self.urgent {
            job.spec.urgency = Urgency::Urgent;
        } else if draw < self.impossible + self.urgent + self.large {
            job.spec.resources.milli_cores.0 = site.size.milli_cores.0 * 3 / 4;
            job.work = 120.0;
            job.spec.expected = Duration::from_secs(120);
        }
    }

    fn noisy_waves(&self, site: &Site, rng: &mut SmallRng, jobs: &mut Vec<Job>) {
        for start in (900..LENGTH).step_by(600) {
            for _ in 0..site.vms {
                let mut job =
                    self.job(site, site.batch[0].name, start + rng.random_range(0..30), rng);
                job.spec.class = ClassName::new(NOISY);
                job.work = 150.0;
                jobs.push(job);
            }
        }
    }

    fn cancelled_wave(&self, site: &Site, rng: &mut SmallRng, jobs: &mut Vec<Job>) {
        for _ in 0..self.cancellations {
            let at = 1200 + rng.random_range(0..20);
            let mut job = self.job(site, site.batch[0].name, at, rng);
            job.cancel_at = Some(1230);
            jobs.push(job);
        }
    }

    fn job(&self, site: &Site, class: &str, arrives: u64, rng: &mut SmallRng) -> Job {
        let batch = site.batch.iter().find(|batch| batch.name == class).expect("a known class");
        let log_error = if self.misdeclared { rng.random_range(-1.4..1.4) } else { 0.0 };
        let work = batch.expected as f64 * (log_error + 0.2 * standard_normal(rng)).exp();
        let use_ratio = if self.misdeclared { rng.random_range(0.2..1.6) } else { 0.9 };
        Job {
            id: TaskId::new(PartitionId(1), 0),
            spec: TaskSpec {
                class: ClassName::new(class),
                team: batch.team.into(),
                pool: "all".into(),
                resources: Resources::new(batch.cores * 1000, batch.memory_gib * 1024, 0),
                expected: Duration::from_secs(batch.expected),
                idempotency: Idempotency::Idempotent,
                resumption: batch.resumption,
                urgency: Urgency::Normal,
                max_failures: 4,
                payload: String::new(),
            },
            arrives,
            work,
            use_ratio,
            cancel_at: None,
        }
    }

    /// Whether tasks of the class fail on every VM.
    pub fn fails(&self, site: &Site, class: &ClassName) -> bool {
        self.bad_class.is_some_and(|index| site.batch[index].name == class.as_str())
    }

    /// Whether the task resumes from checkpoints.
    pub fn resumable(job: &Job) -> bool {
        job.spec.resumption == Resumption::Checkpoint
    }
}
