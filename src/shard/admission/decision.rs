//! The decision about a submitted finite job, from the shard's state.

use super::MIN_EXPECTED_LOAD;
use super::{
    Backlog, Capacity, Demand, Estimate, Range, Room, Target, VmRoom, WaitingStep, is_decided,
    is_in_time, is_of_no_use, retry_delay,
};
use crate::job::progress::TaskPhase;
use crate::job::{Job, Life, Share, Step};
use crate::queues::Terms;
use crate::shard::event::OtherShard;
use crate::shard::job_run::{JobRun, StepRun, Task};
use crate::shard::order::{Outlook, USEFUL_DURATION_FACTOR};
use crate::shard::vm_run::{Listing, Vm};
use crate::shard::{AdmissionMode, Shard, Summary};
use indexmap::IndexMap;
use std::sync::Arc;
use std::time::Duration;

/// Maximum age of the state that estimates are made from. Collecting it takes as long as a
/// scheduling pass; jobs accepted meanwhile are added to it.
const MAX_SNAPSHOT_AGE: Duration = Duration::from_millis(200);

/// How long a shard that is no longer heard of counts as one that might do a job. Its jobs have been
/// taken over by then.
const UNHEARD_SHARD_PERIOD: Duration = Duration::from_secs(60);

/// State that estimates are made from.
#[derive(Debug, Default)]
pub(in crate::shard) struct Admission {
    snapshot: Option<Snapshot>,
    /// When each other shard was last heard of.
    heard: IndexMap<Arc<str>, Duration>,
    /// Whether the other shards have been reported since this shard was claimed.
    knows_others: bool,
}

#[derive(Debug)]
struct Snapshot {
    at: Duration,
    room: Room,
    backlog: Backlog,
}

/// What happens to a submitted job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(in crate::shard) enum Decision {
    Accept,
    /// Another shard can likely do the job in time, and this one can't.
    PassOn {
        early: Duration,
        useful: Duration,
    },
    /// The job can't be done while its result is of use.
    Refuse {
        early: Duration,
        useful: Duration,
        retry_after: Duration,
    },
}

impl Admission {
    /// Records that the states of these other shards are known.
    pub fn note_heard(&mut self, others: &[OtherShard], now: Duration) {
        self.knows_others = true;
        for other in others {
            self.heard.insert(other.name.clone(), now);
        }
        self.heard.retain(|_, at| now.saturating_sub(*at) < UNHEARD_SHARD_PERIOD);
    }

    /// Adds an accepted job to the work that goes before the next one.
    pub fn add(&mut self, steps: Vec<WaitingStep>) {
        if let Some(snapshot) = &mut self.snapshot {
            snapshot.backlog.steps.extend(steps);
        }
    }
}

impl Shard {
    /// Decides whether to accept a finite job.
    pub(in crate::shard) fn decide(&mut self, job: &Job, mode: AdmissionMode) -> Decision {
        if !is_decided(job) || !self.run_times.is_learned(&job.queue) {
            return Decision::Accept;
        }
        let Terms { priority, target_stretch: stretch, target_latency: latency, .. } =
            self.terms(job);
        let target = Target { stretch, latency };
        self.refresh_snapshot();
        let demand = Demand::new(job, &self.run_times);
        let target = demand.target(target);
        let Some(snapshot) = &self.admission.snapshot else { return Decision::Accept };
        let others: Vec<&Summary> =
            self.loans.other_shards().map(|other| &*other.summary).collect();
        let Some(Estimate { done, soonest }) =
            demand.estimate(&snapshot.room, &snapshot.backlog, priority, &others)
        else {
            return Decision::Accept;
        };
        if is_in_time(done, target) {
            return Decision::Accept;
        }
        let useful = seconds(USEFUL_DURATION_FACTOR * target.likely);
        let early = seconds(soonest.likely);
        let elsewhere: Vec<(&OtherShard, Range)> = self
            .loans
            .other_shards()
            .filter_map(|other| Some((other, demand.estimate_elsewhere(&other.summary)?)))
            .collect();
        if mode == AdmissionMode::IfRoom {
            let better = elsewhere.iter().filter(|(other, done)| {
                is_in_time(*done, target) && demand.fits_elsewhere(&other.summary)
            });
            let best = better.min_by(|(_, a), (_, b)| a.likely.total_cmp(&b.likely));
            if let Some(name) = best.map(|(other, _)| other.name.clone()) {
                let (reserved, leftover) = demand.work_by_share();
                self.loans.add_expected_work(&name, reserved, leftover);
                return Decision::PassOn { early, useful };
            }
        }
        let heard = self.admission.knows_others
            && self.loans.other_shards().count() >= self.admission.heard.len();
        let useful_elsewhere = elsewhere.iter().any(|(_, done)| !is_of_no_use(*done, target));
        if heard && !useful_elsewhere && is_of_no_use(soonest, target) {
            let retry_after = retry_delay(job.id, done, target);
            return Decision::Refuse { early, useful, retry_after };
        }
        Decision::Accept
    }

    /// Adds an accepted job to the work that goes before the next one.
    pub(in crate::shard) fn note_accepted(&mut self, job: &JobRun) {
        let outlook = self.outlook_of_new(job);
        let steps = job.job.steps.iter().map(|step| {
            let ready = if step.after.is_empty() { step.tasks } else { 0 };
            self.waiting_step(job, step, outlook, ready, f64::from(step.tasks))
        });
        let steps = steps.collect();
        self.admission.add(steps);
    }

    fn outlook_of_new(&self, job: &JobRun) -> Outlook {
        let steps = || job.job.steps.iter().enumerate();
        let time = |number| self.step_time(job, number, None);
        let work = steps().map(|(number, step)| {
            f64::from(step.tasks) * f64::from(step.size.milli_cores.0) / 1000.0
                * time(number).as_secs_f64()
        });
        let left = super::super::order::critical_path(&job.job, steps().map(|(n, _)| time(n)));
        let target = self.target_duration(job);
        Outlook { spent: Duration::ZERO, target, left, work: work.sum() }
    }

    fn refresh_snapshot(&mut self) {
        let now = self.now.steady;
        let is_fresh = |known: &Snapshot| now.saturating_sub(known.at) < MAX_SNAPSHOT_AGE;
        if self.admission.snapshot.as_ref().is_some_and(is_fresh) {
            return;
        }
        let room = Room { vms: self.vms.values().filter_map(|vm| self.vm_room(vm)).collect() };
        let mut backlog = Backlog::default();
        for job in self.jobs.values().filter(|job| !job.is_final()) {
            let outlook = self.outlook(job);
            for occurrence in &job.open_occurrences {
                for (step, run) in job.job.steps.iter().zip(&occurrence.steps) {
                    let (ready, open) = (ready_tasks(run, self.now.steady), open_tasks(run));
                    if step.life == Life::Finite && open > 0.0 {
                        backlog.steps.push(self.waiting_step(job, step, outlook, ready, open));
                    }
                }
            }
        }
        self.admission.snapshot = Some(Snapshot { at: now, room, backlog });
    }

    fn waiting_step(
        &self,
        job: &JobRun,
        step: &Step,
        outlook: Outlook,
        ready: u32,
        open: f64,
    ) -> WaitingStep {
        let terms = self.terms(&job.job);
        // Tasks that may not run on every VM leave room to others while they wait, and run times
        // that aren't learned may be far off.
        let is_bound = step.label.is_some()
            || step.per_vm > 0
            || step.grouping.is_gang()
            || terms.permits.is_some()
            || !self.run_times.is_learned(&job.job.queue);
        let time = self.run_times.expect(&job.job.queue, step.estimate);
        WaitingStep {
            queue: job.job.queue.clone(),
            service: job.job.service.clone(),
            priority: terms.priority,
            share: step.share,
            size: step.size,
            outlook,
            time: Range::around(time, self.run_times.deviation(&job.job.queue)),
            ready: if is_bound { 0 } else { ready },
            open,
        }
    }

    /// Room of a VM; `None` if it is about to leave or takes no work by order. A VM that is missing
    /// from the list may be listed again, as after a takeover.
    fn vm_room(&self, vm: &Vm) -> Option<VmRoom> {
        let is_closed = self.upkeep_drain.is_draining(&vm.id) || self.evacuation.includes(vm);
        if is_closed || vm.listing == Listing::Departed || vm.leaving.is_some() {
            return None;
        }
        let (mut beside_lasting, mut lasting) = (vm.entry.size, 0.0);
        for (key, run) in &vm.runs {
            let step = self.jobs.get(&key.task.job).and_then(|job| job.step(key.task));
            if step.is_some_and(|step| step.life == Life::Lasting) {
                beside_lasting = beside_lasting.saturating_sub(&run.reserved);
                lasting += f64::from(run.milli_cores);
            }
        }
        let (milli_cores, mib) =
            (f64::from(beside_lasting.milli_cores.0), f64::from(beside_lasting.memory_mib.0));
        let all = f64::from(vm.entry.size.milli_cores.0);
        let leftover = (all - MIN_EXPECTED_LOAD * lasting).max(0.0);
        let (mut usual, mut harmless) = (Capacity::default(), Vec::new());
        if let Some(room) = self.room(vm) {
            usual = Capacity { milli_cores, leftover: room.leftover, mib };
            let images = self.interference.leftover_images();
            let of = |(number, image): (_, &crate::job::Image)| {
                (image.clone(), room.harmless_milli_cores(number, &self.interference) as f64)
            };
            harmless = images.map(of).collect();
        }
        Some(VmRoom {
            service: vm.entry.service.clone(),
            labels: vm.entry.labels.clone(),
            most: Capacity { milli_cores, leftover, mib },
            largest: beside_lasting,
            usual,
            harmless,
        })
    }
}

impl Demand<'_> {
    /// Work on reserved and on leftover processors, in milliseconds times millicores.
    fn work_by_share(&self) -> (u64, u64) {
        let (mut reserved, mut leftover) = (0, 0);
        for (step, time) in self.job.steps.iter().zip(&self.times) {
            let cores = u64::from(step.tasks) * u64::from(step.size.milli_cores.0);
            let work = (cores as f64 * time.likely * 1000.0) as u64;
            match step.share {
                Share::Reserved => reserved = work.saturating_add(reserved),
                Share::Leftover => leftover = work.saturating_add(leftover),
            }
        }
        (reserved, leftover)
    }
}

fn ready_tasks(run: &StepRun, now: Duration) -> u32 {
    if run.ready.is_none() {
        return 0;
    }
    let free = |(index, task): &(usize, &Task)| task.is_waiting() && !run.is_held_back(*index, now);
    u32::try_from(run.tasks.iter().enumerate().filter(free).count()).unwrap_or(u32::MAX)
}

/// Number of tasks that have not ended here. A running task counts as half done.
fn open_tasks(run: &StepRun) -> f64 {
    let here = run.tasks.iter().filter(|t| t.phase == TaskPhase::Open && t.lent.is_none());
    here.map(|task| if task.runs.is_empty() { 1.0 } else { 0.5 }).sum()
}

fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}
