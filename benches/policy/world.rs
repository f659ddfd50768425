//! Simulates workers with hidden effects, and a core that executes the policy's decisions.

mod reports;
mod work;

use crate::rows::TestedPolicy;
use crate::site::{NOISY, Site, VMS_PER_RACK};
use crate::trace::{Job, LENGTH, Scenario, WARM_UP};
use crate::truth::{HiddenEffects, standard_normal};
use hdrhistogram::Histogram;
use indexmap::{IndexMap, IndexSet};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::time::Duration;
use waxwingstall::core::policy::{Candidate, PlacementDecision, ReliefStep, RunningTask};
use waxwingstall::ids::{Attempt, BootId, ClassName, DaemonId, PartitionId, TaskId, VmId};
use waxwingstall::model::{Resumption, Urgency};
use waxwingstall::peer::{ClassCount, VmHealth, VmView};
use waxwingstall::task::Outcome;
use waxwingstall::units::Resources;
use waxwingstall::worker::{TenantUsage, UsageReport};

/// Time from binding to running, and time to checkpoint and stop, in seconds.
const START_TIME: u64 = 1;
const STOP_TIME: u64 = 3;

/// Work lost by resuming from a checkpoint, and the time between checkpoints, in seconds.
const RESUME_COST: f64 = 8.0;
const CHECKPOINT_EVERY: u64 = 60;

/// Time between reports of a VM, and between its relief steps, in seconds.
const REPORT_EVERY: u64 = 5;
const RELIEVE_EVERY: u64 = 2;

/// Added slowdown per unit of load above a VM's capacity.
const OVERLOAD: f64 = 3.0;

/// Time between checks of the policy's predictions, in seconds.
const PREDICT_EVERY: u64 = 30;

/// Time after which a failing task fails, in seconds.
const FAILS_AFTER: f64 = 1.0;

/// Duration of a rack failure, in seconds.
const RACK_AWAY: u64 = 600;

/// Results of a run.
#[derive(Debug)]
pub struct Outcomes {
    /// Slowdown of services in thousandths, weighted by requests.
    pub services: Histogram<u64>,
    /// Waits of tasks that started, in seconds.
    pub waits: Histogram<u64>,
    pub urgent_waits: Histogram<u64>,
    pub large_waits: Histogram<u64>,
    /// Useful work done, in core-hours per hour.
    pub throughput: f64,
    pub evictions: u64,
    pub throttles: u64,
    pub refused: u64,
    /// Number of failed starts, and of tasks that ended as failed.
    pub failed_starts: u64,
    pub failed_tasks: u64,
    pub violations: u64,
    pub still_waiting: u64,
    pub decisions: u64,
    pub decision_time: Duration,
    /// Number of predictions of a class's excess slowdown on a VM, and sums over them.
    pub predictions: f64,
    pub prediction_error: f64,
    pub real_excess: f64,
}

impl Outcomes {
    fn new() -> Self {
        let histogram = |high| Histogram::new_with_bounds(1, high, 3).expect("sound bounds");
        Self {
            services: histogram(1_000_000),
            waits: histogram(100_000),
            urgent_waits: histogram(100_000),
            large_waits: histogram(100_000),
            throughput: 0.0,
            evictions: 0,
            throttles: 0,
            refused: 0,
            failed_starts: 0,
            failed_tasks: 0,
            violations: 0,
            still_waiting: 0,
            decisions: 0,
            decision_time: Duration::ZERO,
            predictions: 0.0,
            prediction_error: 0.0,
            real_excess: 0.0,
        }
    }
}

#[derive(Clone, Debug)]
struct Running {
    job: usize,
    class: usize,
    attempt: Attempt,
    runs_from: u64,
    /// Work done, in seconds.
    done: f64,
    saved: f64,
    saved_at: u64,
    share: f64,
    slowdown: f64,
    closing: Option<Closing>,
}

#[derive(Clone, Copy, Debug)]
struct Closing {
    at: u64,
    reason: StopReason,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StopReason {
    Evicted,
    Cancelled,
}

#[derive(Clone, Debug)]
struct Vm {
    id: VmId,
    up: bool,
    health: VmHealth,
    broken: bool,
    boot: u64,
    seq: u64,
    services: Vec<ClassName>,
    service_classes: Vec<usize>,
    service_slowdown: Vec<f64>,
    tasks: Vec<Running>,
    load: f64,
}

#[derive(Clone, Debug)]
struct Waiting {
    job: usize,
    candidate: Candidate,
    done: f64,
    since: u64,
}

/// One run of a scenario under one policy.
pub struct Simulation<'a> {
    site: &'a Site,
    scenario: &'a Scenario,
    policy: &'a mut dyn TestedPolicy,
    truth: HiddenEffects,
    jobs: Vec<Job>,
    next_job: usize,
    vms: Vec<Vm>,
    index: IndexMap<VmId, usize>,
    queue: Vec<Waiting>,
    failures: BTreeMap<usize, (u32, Vec<VmId>)>,
    resumed: IndexSet<(TaskId, Attempt)>,
    reports: BTreeMap<(u64, u64), (usize, u64, UsageReport)>,
    report_number: u64,
    rng: SmallRng,
    out: Outcomes,
    useful_work: f64,
}

/// Runs a scenario under a policy.
pub fn run(site: &Site, scenario: &Scenario, policy: &mut dyn TestedPolicy, seed: u64) -> Outcomes {
    let mut classes: Vec<ClassName> =
        site.batch.iter().map(|class| ClassName::new(class.name)).collect();
    classes.extend(site.services.iter().map(|name| ClassName::new(name)));
    classes.push(ClassName::new(NOISY));
    let truth = HiddenEffects::new(classes, NOISY, seed);
    let vms: Vec<Vm> = (0..site.vms).map(|index| new_vm(site, scenario, &truth, index)).collect();
    let instances: usize = vms.iter().map(|vm| vm.services.len()).sum();
    let total = f64::from(site.size.milli_cores.0) / 1000.0 * site.vms as f64;
    let batch_cores = total - (instances * site.service_cores as usize) as f64;
    let index = vms.iter().enumerate().map(|(index, vm)| (vm.id.clone(), index)).collect();
    let mut simulation = Simulation {
        site,
        scenario,
        policy,
        truth,
        jobs: scenario.jobs(site, batch_cores, seed),
        next_job: 0,
        vms,
        index,
        queue: Vec::new(),
        failures: BTreeMap::new(),
        resumed: IndexSet::new(),
        reports: BTreeMap::new(),
        report_number: 0,
        rng: SmallRng::seed_from_u64(seed ^ 0x5eed),
        out: Outcomes::new(),
        useful_work: 0.0,
    };
    simulation.simulate();
    simulation.out
}

fn new_vm(site: &Site, scenario: &Scenario, truth: &HiddenEffects, index: usize) -> Vm {
    let services: Vec<_> = match index % 4 {
        3 => Vec::new(),
        _ => site.services.iter().map(|name| ClassName::new(name)).collect(),
    };
    Vm {
        id: site.vm(index),
        up: true,
        health: VmHealth::Open,
        broken: index % 11 == 5 && index / 11 < scenario.broken,
        boot: 1,
        seq: 0,
        service_slowdown: vec![1.0; services.len()],
        service_classes: services.iter().map(|class| truth.class_index(class)).collect(),
        services,
        tasks: Vec::new(),
        load: 0.0,
    }
}

impl Simulation<'_> {
    fn simulate(&mut self) {
        self.policy.effects_changed(&self.truth);
        for index in 0..self.vms.len() {
            self.update_view(index);
        }
        for now in 0..LENGTH {
            self.inject_faults(now);
            self.arrive(now);
            self.place_all(now);
            self.run_tasks(now);
            self.send_reports(now);
            self.deliver_reports(now);
            self.relieve(now);
            self.check_capacity();
            self.check_prediction(now);
        }
        self.finish();
    }

    fn finish(&mut self) {
        self.out.throughput = self.useful_work / 3600.0 / ((LENGTH - WARM_UP) as f64 / 3600.0);
        self.out.still_waiting = self.queue.len() as u64;
    }

    fn inject_faults(&mut self, now: u64) {
        if self.scenario.shift_at == Some(now) {
            self.truth.shift();
            self.policy.effects_changed(&self.truth);
        }
        if self.scenario.rack_fails_at == Some(now) {
            for index in 0..VMS_PER_RACK.min(self.vms.len()) {
                self.fail_vm(index, now);
            }
        }
        if self.scenario.rack_fails_at.is_some_and(|at| at + RACK_AWAY == now) {
            for index in 0..VMS_PER_RACK.min(self.vms.len()) {
                let vm = &mut self.vms[index];
                vm.up = true;
                vm.boot += 1;
                vm.seq = 0;
                self.update_view(index);
            }
        }
        self.cancel(now);
    }

    fn fail_vm(&mut self, index: usize, now: u64) {
        self.vms[index].up = false;
        let id = self.vms[index].id.clone();
        self.policy.remove(&id);
        for task in std::mem::take(&mut self.vms[index].tasks) {
            self.useful_work -= self.lost_work(&task, now);
            self.requeue(&task, task.saved, now);
        }
    }

    fn lost_work(&self, task: &Running, now: u64) -> f64 {
        if now < WARM_UP {
            return 0.0;
        }
        (task.done - task.saved).max(0.0) * self.cores(task.job)
    }

    fn cores(&self, job: usize) -> f64 {
        f64::from(self.jobs[job].spec.resources.milli_cores.0) / 1000.0
    }

    fn cancel(&mut self, now: u64) {
        if self.scenario.cancellations == 0 {
            return;
        }
        let jobs = &self.jobs;
        self.queue.retain(|waiting| jobs[waiting.job].cancel_at != Some(now));
        for vm in &mut self.vms {
            for task in &mut vm.tasks {
                if jobs[task.job].cancel_at == Some(now) {
                    task.closing =
                        Some(Closing { at: now + STOP_TIME, reason: StopReason::Cancelled });
                }
            }
        }
    }

    fn arrive(&mut self, now: u64) {
        while self.jobs.get(self.next_job).is_some_and(|job| job.arrives <= now) {
            self.enqueue(self.next_job, Attempt(1), 0.0, Vec::new(), now);
            self.next_job += 1;
        }
    }

    fn enqueue(&mut self, job: usize, attempt: Attempt, done: f64, avoid: Vec<VmId>, now: u64) {
        let (task, spec) = (self.jobs[job].id, self.jobs[job].spec.clone());
        let candidate = Candidate { task, attempt, spec, waited: Duration::ZERO, avoid };
        self.queue.push(Waiting { job, candidate, done, since: now });
    }

    /// Tries to place each waiting task, except those of the same class, size and urgency as a task
    /// that was just told to wait.
    fn place_all(&mut self, now: u64) {
        let mut ranked = std::mem::take(&mut self.queue);
        for waiting in &mut ranked {
            let arrived = self.jobs[waiting.job].arrives;
            waiting.candidate.waited = Duration::from_secs(now - arrived);
        }
        ranked.sort_by_cached_key(|waiting| self.policy.priority(&waiting.candidate));
        let mut full: IndexSet<(ClassName, Resources, Urgency)> = IndexSet::new();
        for waiting in ranked {
            let candidate = &waiting.candidate;
            let spec = &candidate.spec;
            let like = (spec.class.clone(), spec.resources, spec.urgency);
            let last_try_is_due = candidate.waited.as_secs() == 30;
            if full.contains(&like) && !last_try_is_due {
                self.queue.push(waiting);
                continue;
            }
            match self.choose(candidate, now) {
                PlacementDecision::Place { vm } => self.start(&waiting, &vm, now),
                PlacementDecision::Never { .. } => self.out.refused += 1,
                PlacementDecision::Wait { .. } => {
                    full.insert(like);
                    self.make_room(candidate, now);
                    self.queue.push(waiting);
                }
            }
        }
    }

    fn choose(&mut self, candidate: &Candidate, now: u64) -> PlacementDecision {
        let before = cpu_time();
        let choice = self.policy.place(candidate, Duration::from_secs(now));
        self.out.decision_time += cpu_time() - before;
        self.out.decisions += 1;
        choice
    }

    fn make_room(&mut self, candidate: &Candidate, now: u64) {
        if candidate.spec.urgency != Urgency::Urgent {
            return;
        }
        let running_tasks = (0..self.vms.len())
            .map(|index| (self.vms[index].id.clone(), self.running_tasks(index)))
            .collect();
        let relief =
            self.policy.plan_preemption(candidate, &running_tasks, Duration::from_secs(now));
        if let Some(relief) = relief {
            self.apply(&relief, now);
        }
    }

    fn start(&mut self, waiting: &Waiting, vm: &VmId, now: u64) {
        let candidate = &waiting.candidate;
        let index = self.index[vm];
        self.out.violations += u64::from(self.runs_somewhere(waiting.job));
        if !self.resumed.insert((candidate.task, candidate.attempt)) {
            self.out.violations += 1;
        }
        let wait = (now - waiting.since).max(1);
        if now >= WARM_UP {
            self.out.waits.saturating_record(wait);
            if candidate.spec.urgency == Urgency::Urgent {
                self.out.urgent_waits.saturating_record(wait);
            }
            if candidate.spec.resources.milli_cores.0 * 2 > self.site.size.milli_cores.0 {
                self.out.large_waits.saturating_record(wait);
            }
        }
        let class = self.truth.class_index(&candidate.spec.class);
        self.vms[index].tasks.push(Running {
            job: waiting.job,
            class,
            attempt: candidate.attempt,
            runs_from: now + START_TIME,
            done: waiting.done,
            saved: waiting.done,
            saved_at: now,
            share: 1.0,
            slowdown: 1.0,
            closing: None,
        });
        self.update_view(index);
    }

    fn runs_somewhere(&self, job: usize) -> bool {
        self.vms.iter().any(|vm| vm.tasks.iter().any(|task| task.job == job))
    }

    fn requeue(&mut self, task: &Running, done: f64, now: u64) {
        let (_, avoid) = self.failures.get(&task.job).cloned().unwrap_or_default();
        self.enqueue(task.job, task.attempt.next(), done, avoid, now);
    }

    fn free(&self, index: usize) -> Option<Resources> {
        let vm = &self.vms[index];
        let mut free = self.site.size;
        for _ in &vm.services {
            free = free.checked_sub(&self.site.service_size()).ok()?;
        }
        for task in &vm.tasks {
            free = free.checked_sub(&self.jobs[task.job].spec.resources).ok()?;
        }
        Some(free)
    }

    fn update_view(&mut self, index: usize) {
        let vm = &self.vms[index];
        if !vm.up {
            return;
        }
        let mut classes: IndexMap<ClassName, u32> = IndexMap::new();
        for service in &vm.services {
            *classes.entry(service.clone()).or_default() += 1;
        }
        for task in &vm.tasks {
            *classes.entry(self.jobs[task.job].spec.class.clone()).or_default() += 1;
        }
        self.policy.upsert(VmView {
            vm: vm.id.clone(),
            holder: DaemonId::from("daemon-1"),
            domain: self.site.domain(index),
            rack: self.site.rack(index),
            size: self.site.size,
            free: self.free(index).unwrap_or(Resources::ZERO),
            classes: classes
                .into_iter()
                .map(|(class, count)| ClassCount { class, count })
                .collect(),
            health: vm.health,
        });
    }

    fn task_mut(&mut self, vm: &VmId, task: &TaskId) -> Option<&mut Running> {
        let index = self.index[vm];
        let jobs = &self.jobs;
        self.vms[index].tasks.iter_mut().find(|running| jobs[running.job].id == *task)
    }

    /// Counts VMs whose committed resources exceed their size.
    fn check_capacity(&mut self) {
        for index in 0..self.vms.len() {
            self.out.violations += u64::from(self.free(index).is_none());
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum End {
    Done,
    Evicted,
    Cancelled,
    Failed,
}

fn usage(task: TaskId, class: &ClassName, slowdown: f64, progress: f64) -> TenantUsage {
    let class = class.clone();
    TenantUsage { task, class, milli_cores: 0, memory_mib: 0, slowdown, progress }
}

/// Processor time of this thread, which unlike wall time excludes other load on the machine.
pub fn cpu_time() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec.unsigned_abs(), u32::try_from(time.tv_nsec).unwrap_or(0))
}
