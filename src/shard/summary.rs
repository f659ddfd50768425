//! Summary of a shard for other shards and daemons.

use super::Shard;
use super::event::FreeRoom;
use super::event::{AdmissionMode, Summary};
use super::job_run::{Started, Task};
use super::place::{MAX_LONG_RUNNING_SHARE, PREFERRED_LONG_RUNNING_SHARE};
use super::room::VmCapacity;
use crate::job::QueueName;
use crate::job::progress::TaskPhase;
use crate::job::{Life, Share};
use indexmap::IndexMap;

impl Shard {
    /// Returns the summary that others need to choose a shard for a job and to count waiting work.
    pub fn summary(&self) -> Summary {
        let mut summary = Summary::default();
        let mut rooms = Vec::new();
        for vm in self.vms.values() {
            let Some(room) = self.room(vm) else { continue };
            summary.vms += 1;
            summary.capacity += u64::from(vm.entry.size.milli_cores.0);
            summary.leftover += room.leftover.max(0.0) as u64;
            if room.is_refusing {
                rooms.push(room);
                continue;
            }
            summary.free += u64::from(room.free.milli_cores.0);
            // This includes VMs on probation: a success ends it, and this shard may have no task that
            // may run there.
            summary.rooms.push(FreeRoom {
                free: room.free,
                rack: room.rack.clone(),
                labels: vm.entry.labels.clone(),
                service: vm.entry.service.clone(),
            });
            rooms.push(room);
        }
        for (number, image) in self.interference.leftover_images() {
            let all = rooms
                .iter()
                .map(|room| room.harmless_milli_cores(number, &self.interference))
                .sum();
            let free = rooms
                .iter()
                .filter(|room| !room.is_refusing)
                .map(|room| room.free_harmless_milli_cores(number, &self.interference))
                .sum();
            summary.harmless.push((image.clone(), all));
            summary.harmless_free.push((image.clone(), free));
        }
        let mut queued: IndexMap<QueueName, u32> = IndexMap::new();
        for job in self.jobs.values().filter(|job| !job.is_final()) {
            summary.lasting += long_running_milli_cores(job);
            if job.durable.is_none() {
                continue;
            }
            if job.started == Started::No && !job.is_borrowed() {
                *queued.entry(job.job.queue.clone()).or_default() += 1;
            }
            let work = self.remaining_work(job);
            summary.leftover_work += work.leftover;
            summary.waiting_work += work.waiting;
        }
        summary.queued = queued.into_iter().collect();
        summary
    }
}

impl Shard {
    /// Fraction of the VMs' CPU that long-running tasks reserve, including those that are waiting.
    pub(super) fn long_running_fraction(&self, rooms: &[VmCapacity]) -> f64 {
        let open = self.jobs.values().filter(|job| !job.is_final());
        let long_running: u64 = open.map(long_running_milli_cores).sum();
        let cores: f64 = rooms.iter().map(VmCapacity::milli_cores).sum();
        long_running as f64 / cores.max(1.0)
    }
}

impl Summary {
    /// Returns whether the shard refuses a job that would raise the CPU reserved by its
    /// long-running tasks to `long_running` milli-cores.
    ///
    /// With [`AdmissionMode::Always`], the first such job of a shard is accepted whatever its size,
    /// since it may be larger than the limit of every shard.
    pub fn exceeds_long_running_limit(&self, long_running: f64, mode: AdmissionMode) -> bool {
        let capacity = self.capacity as f64;
        match mode {
            AdmissionMode::IfRoom => long_running > capacity * PREFERRED_LONG_RUNNING_SHARE,
            AdmissionMode::Always => {
                self.lasting > 0 && long_running > capacity * MAX_LONG_RUNNING_SHARE
            }
        }
    }
}

/// Milli-cores that the long-running tasks of a job reserve in this shard.
fn long_running_milli_cores(job: &super::JobRun) -> u64 {
    let mut cores = 0;
    for occurrence in &job.open_occurrences {
        for (step, run) in job.job.steps.iter().zip(&occurrence.steps) {
            if step.life == Life::Lasting && step.share == Share::Reserved {
                let here = |task: &&Task| task.phase == TaskPhase::Open && task.lent.is_none();
                let tasks = run.tasks.iter().filter(here).count() as u64;
                cores += tasks * u64::from(step.size.milli_cores.0);
            }
        }
    }
    cores
}

/// Remaining work of a job in this shard, in milli-core milliseconds.
struct RemainingWork {
    leftover: u64,
    waiting: u64,
}

impl Shard {
    fn remaining_work(&self, job: &super::JobRun) -> RemainingWork {
        let mut left = RemainingWork { leftover: 0, waiting: 0 };
        for occurrence in &job.open_occurrences {
            for (number, (step, run)) in job.job.steps.iter().zip(&occurrence.steps).enumerate() {
                if step.life == Life::Lasting {
                    continue;
                }
                let time = self.step_time(job, number, Some(run));
                let millis = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
                let work = millis.saturating_mul(u64::from(step.size.milli_cores.0));
                let here = |task: &&Task| task.phase == TaskPhase::Open && task.lent.is_none();
                let open = run.tasks.iter().filter(here);
                for task in open {
                    match step.share {
                        Share::Leftover => left.leftover += work,
                        Share::Reserved if task.runs.is_empty() => left.waiting += work,
                        Share::Reserved => {}
                    }
                }
            }
        }
        left
    }
}
