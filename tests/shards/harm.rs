//! Serving tasks beside leftover work, with the true tails as an oracle.
//!
//! Set `SHARD_SEEDS=0..1000` to run other seeds than the default ones.

use crate::faults::{Faults, Outcome};
use crate::jobs::{job_with_steps, work};
use crate::random::seeds;
use crate::tails::{LEFTOVER_IMAGES, SERVING_IMAGES, Serving, TailModel, Workload};
use crate::world::Simulation;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::ops::Range;
use std::time::Duration;
use waxwingstall::job::{Image, Job, Share};
use waxwingstall::shard::{Action, Settings};
use waxwingstall::units::Resources;
use waxwingstall::vm::EndKind;
use waxwingstall_standin::runs::{Seen, Work};

const SHARDS: [&str; 2] = ["kacyiru", "remera"];
const VMS: usize = 3;
const SIZE: Resources = Resources::new(16_000, 64_000, 0);

/// Time for which leftover jobs arrive.
const PERIOD: Duration = Duration::from_secs(30);

/// Polls that take long, in thousandths of all.
const SLOW_POLLS: u32 = 30;

/// Polls that are slow, and commands that all take effect.
struct SlowPolls(SmallRng);

impl Faults for SlowPolls {
    fn command_outcome(&mut self, _: Duration, action: &Action) -> Outcome {
        let is_slow =
            matches!(action, Action::Poll { .. }) && self.0.random_ratio(SLOW_POLLS, 1000);
        if is_slow {
            return Outcome::Slow(Duration::from_millis(self.0.random_range(50..300)));
        }
        Outcome::Delivered
    }

    fn message_outcome(&mut self, _: Duration) -> Outcome {
        Outcome::Delivered
    }
}

/// Whether shards change owners.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Owners {
    Stay,
    HandOver,
}

struct HarmRun {
    rng: SmallRng,
    sim: Simulation<SlowPolls>,
    jobs: u64,
}

impl HarmRun {
    fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let faults = SlowPolls(SmallRng::seed_from_u64(rng.random()));
        let mut sim = Simulation::new(faults, &SHARDS, VMS, SIZE);
        sim.tails = Some(TailModel::new(rng.random(), Settings::default().harm));
        Self { rng, sim, jobs: 0 }
    }

    fn shard(&mut self) -> &'static str {
        SHARDS[self.rng.random_range(0..2)]
    }

    /// Submits a job of serving tasks that take about half of a VM together.
    fn serve(&mut self, shard: &str) {
        let serving = Serving {
            image: self.rng.random_range(0..SERVING_IMAGES),
            target: Duration::from_millis([18, 34, 50][self.rng.random_range(0..3)]),
            load: self.rng.random_range(0.3..0.5),
            swing: self.rng.random_range(0.2..0.6),
            period: Duration::from_millis(self.rng.random_range(7000..14_000)),
            phase: self.rng.random(),
        };
        self.jobs += 1;
        let tasks = self.rng.random_range(2..4);
        let job = serving_job(self.jobs, tasks, 3, &serving);
        self.submit(shard, job, Workload::Serving(serving));
    }

    /// Submits a job of leftover tasks.
    fn fill(&mut self) {
        let (shard, image) = (self.shard(), self.rng.random_range(0..LEFTOVER_IMAGES));
        self.jobs += 1;
        let (tasks, millis) = (self.rng.random_range(4..16), self.rng.random_range(500..4000));
        let job = leftover_job(self.jobs, tasks, work(millis, 2), image);
        self.submit(shard, job, Workload::Leftover { image });
    }

    fn submit(&mut self, shard: &str, job: Job, workload: Workload) {
        let tails = self.sim.tails.as_mut().expect("tails are measured");
        tails.add(job.id, workload);
        self.sim.submit(shard, job);
    }

    /// Runs tasks whose tails are a little over their target for as long as work is done beside them.
    fn slightly_over(seed: u64) -> Self {
        let mut run = Self::new(seed);
        let tail: f64 = run.rng.random_range(1.02..1.25);
        let (load, amount) = (0.6, 0.3);
        let used = (1.0 - 1.0 / (4.5 * tail) - load) / amount;
        let tails = TailModel::new(seed, Settings::default().harm).with_amounts(amount);
        run.sim.tails = Some(tails);
        let target = Duration::from_millis(run.rng.random_range(15..60));
        let period = Duration::from_secs(10);
        let serving = Serving { image: 0, target, load, swing: 0.0, period, phase: 0.0 };
        let cores = 1 + u32::from(used * 16.0 > 8.0);
        let tasks = (used * 16.0 / f64::from(cores)).round() as u32;
        for shard in SHARDS {
            let mut job = serving_job(1000 + run.jobs, VMS as u32, 2, &serving);
            job.steps[0].per_vm = 1;
            run.submit(shard, job, Workload::Serving(serving));
            run.jobs += 1;
            run.sim.run_for(Duration::from_secs(1));
            let mut job = leftover_job(2000 + run.jobs, tasks * VMS as u32, work(60_000, cores), 0);
            job.steps[0].per_vm = tasks;
            run.submit(shard, job, Workload::Leftover { image: 0 });
        }
        run.sim.run_for(PERIOD);
        run
    }

    /// Number of runs that succeeded.
    fn succeeded(&self) -> usize {
        let is_success =
            |seen: &&Seen| matches!(seen, Seen::Ended { outcome: EndKind::Succeeded, .. });
        self.sim.vms.iter().map(|vm| vm.table.seen.iter().filter(is_success).count()).sum()
    }

    fn run(mut self, owners: Owners) -> Self {
        for shard in SHARDS {
            (0..4).for_each(|_| self.serve(shard));
        }
        self.sim.run_for(Duration::from_secs(3));
        let end = self.sim.now + PERIOD;
        let pause = self.rng.random_range(200..700);
        while self.sim.now < end {
            self.fill();
            if owners == Owners::HandOver && self.rng.random_ratio(1, 12) {
                let shard = self.shard();
                self.sim.hand_over(shard);
            }
            self.sim.run_for(Duration::from_millis(self.rng.random_range(pause / 2..pause * 2)));
        }
        self.sim.run_for(Duration::from_secs(8));
        self
    }
}

fn serving_job(id: u64, tasks: u32, cores: u32, serving: &Serving) -> Job {
    let mut job = job_with_steps(id, 1, tasks, work(0, cores));
    job.steps[0].tail_target = Some(serving.target);
    job.steps[0].image = Some(Image::new(&format!("serving-{}", serving.image)));
    job
}

fn leftover_job(id: u64, tasks: u32, work: Work, image: usize) -> Job {
    let mut job = job_with_steps(id, 1, tasks, work);
    job.steps[0].share = Share::Leftover;
    job.steps[0].image = Some(Image::new(&format!("leftover-{image}")));
    job
}

/// Runs seeds, and fails for those in which a task was harmed.
fn check(default: Range<u64>, run: impl Fn(u64) -> HarmRun) {
    let mut failed = Vec::new();
    let (mut longest, mut over, mut done) = (Duration::ZERO, Duration::ZERO, 0);
    for seed in seeds(default) {
        let mut run = run(seed);
        done += run.succeeded();
        let tails = run.sim.tails.take().expect("tails are measured");
        longest = longest.max(tails.longest);
        over += tails.total_over;
        if !tails.harms.is_empty() {
            failed.push((seed, tails.harms));
        }
    }
    println!("longest {longest:?}, in all {over:?}, {done} runs, {} failed", failed.len());
    assert!(failed.is_empty(), "{failed:?}");
}

// Guards against leftover work that keeps a serving task over its target for the time that counts as
// harm.
#[test]
fn no_task_is_kept_over_its_target_by_work_beside_it() {
    check(0..30, |seed| HarmRun::new(seed).run(Owners::Stay));
}

// Guards against an owner that doesn't know how long a task was over its target before it took over.
#[test]
fn no_task_is_kept_over_its_target_while_owners_change() {
    check(0..30, |seed| HarmRun::new(seed).run(Owners::HandOver));
}

// Guards against single rough tails under the target that begin the time over it anew.
#[test]
fn no_task_is_kept_slightly_over_its_target() {
    check(0..30, HarmRun::slightly_over);
}
