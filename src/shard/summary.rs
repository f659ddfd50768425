//! What others are told of a shard.

use super::Shard;
use super::event::FreeRoom;
use super::event::{Summary, Urge};
use super::job_run::{Started, Task};
use super::place::{LASTING_LIMIT, LASTING_SHARE};
use super::room::{Room, Trial};
use crate::job::QueueName;
use crate::job::progress::TaskPhase;
use crate::job::{Life, Share};
use indexmap::IndexMap;

impl Shard {
    /// The shard as others need to know it: to choose where a job goes, and to count what waits.
    pub fn summary(&self) -> Summary {
        let mut summary = Summary::default();
        let mut rooms = Vec::new();
        for vm in self.vms.values() {
            let Some(room) = self.room(vm) else { continue };
            summary.vms += 1;
            summary.capacity += u64::from(vm.entry.size.milli_cores.0);
            summary.free += u64::from(room.free.milli_cores.0);
            summary.leftover += room.leftover.max(0.0) as u64;
            if room.trial == Trial::No {
                summary.rooms.push(FreeRoom {
                    free: room.free,
                    rack: room.rack.clone(),
                    labels: vm.entry.labels.clone(),
                    service: vm.entry.service.clone(),
                });
            }
            rooms.push(room);
        }
        for (number, image) in self.effects.leftover_images() {
            let all = rooms.iter().map(|room| room.harmless(number, &self.effects)).sum();
            let free = rooms.iter().map(|room| room.harmless_free(number, &self.effects)).sum();
            summary.harmless.push((image.clone(), all));
            summary.harmless_free.push((image.clone(), free));
        }
        let mut queued: IndexMap<QueueName, u32> = IndexMap::new();
        for job in self.jobs.values().filter(|job| !job.is_final()) {
            summary.lasting += lasting_here(job);
            if job.durable.is_none() {
                continue;
            }
            if job.started == Started::No && !job.is_guest() {
                *queued.entry(job.job.queue.clone()).or_default() += 1;
            }
            let work = work_left(job);
            summary.leftover_work += work.leftover;
            summary.waiting_work += work.waiting;
        }
        summary.queued = queued.into_iter().collect();
        summary
    }
}

impl Shard {
    /// Share of the VMs' processors that lasting tasks reserve, once those that wait have some.
    pub(super) fn lasting_share(&self, rooms: &[Room]) -> f64 {
        let open = self.jobs.values().filter(|job| !job.is_final());
        let lasting: u64 = open.map(lasting_here).sum();
        let cores: f64 = rooms.iter().map(Room::milli_cores).sum();
        lasting as f64 / cores.max(1.0)
    }
}

impl Summary {
    /// Whether the shard turns a job away that brings its lasting tasks to so much, in thousandths of a core. The
    /// first such job of a shard is taken whatever its size: it may be larger than the share of each.
    pub fn is_full_with(&self, lasting: f64, urge: Urge) -> bool {
        let capacity = self.capacity as f64;
        match urge {
            Urge::IfRoom => lasting > capacity * LASTING_SHARE,
            Urge::Always => self.lasting > 0 && lasting > capacity * LASTING_LIMIT,
        }
    }
}

/// Processors that the lasting tasks of a job reserve here, in thousandths of a core.
fn lasting_here(job: &super::JobRun) -> u64 {
    let mut cores = 0;
    for occurrence in &job.open {
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

struct WorkLeft {
    leftover: u64,
    waiting: u64,
}

fn work_left(job: &super::JobRun) -> WorkLeft {
    let mut left = WorkLeft { leftover: 0, waiting: 0 };
    for occurrence in &job.open {
        for (step, run) in job.job.steps.iter().zip(&occurrence.steps) {
            if step.life == Life::Lasting {
                continue;
            }
            let millis = u64::try_from(step.estimate.as_millis()).unwrap_or(u64::MAX);
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
