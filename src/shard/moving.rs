//! Moving leftover work away from where it is slowed down for long.
//!
//! A VM whose serving tasks' load rises has no harmless speed left for some of the work beside them,
//! which then stands there for seconds, while it would do no harm on other VMs. Work that can be
//! resumed is stopped and placed again, if there is such a VM and enough is left to be done.

#[cfg(test)]
mod tests;

use super::Shard;
use super::place::{MIN_LEFTOVER_SPEED, Pass};
use super::room::Room;
use super::vm_run::{Run, RunKey};
use crate::ids::VmId;
use crate::job::{Life, Resume, Share, Step};
use std::time::Duration;

/// Pace up to which a run counts as slowed down, of 100.
pub const SLOW_PACE: u8 = 40;

/// Time after which a slowed run is moved; a shorter dip is over before the run is elsewhere.
const SLOWED_FOR: Duration = Duration::from_millis(900);

/// Least work that must be left: stopping, binding and restoring take about 1 s.
const WORTH_MOVING: Duration = Duration::from_millis(1200);

/// Runs that are moved in one pass; more would crowd the same VMs.
const MAX_MOVED: usize = 3;

impl Shard {
    /// Stops slowed runs that have a better place.
    pub(super) fn move_slowed(&mut self, slowed: Vec<(VmId, RunKey)>, pass: &mut Pass) {
        let mut moved = 0;
        for (vm, key) in slowed {
            if moved >= MAX_MOVED {
                return;
            }
            let Some(job) = self.jobs.get(&key.task.job).filter(|job| !job.is_final()) else {
                continue;
            };
            let Some(step) = job.step(key.task).cloned() else { continue };
            let image = self.image(key.task);
            let service = job.job.service.clone();
            let is_better = |room: &&mut Room| {
                room.vm != vm
                    && room.service == service
                    && room.takes(&step, key.task.of_step())
                    && self.has_label(&room.vm, &step)
                    && self.speed(room, &step, image) >= MIN_LEFTOVER_SPEED
            };
            let Some(room) = pass.rooms.iter_mut().find(is_better) else { continue };
            room.take(&step, image, key.task.of_step(), &self.effects);
            moved += 1;
            self.stop_run(&vm, key, "it is slowed down, and wouldn't be elsewhere");
        }
    }

    /// Runs that stand or are slow for long, and can be resumed elsewhere.
    pub(super) fn slowed(&self) -> Vec<(VmId, RunKey)> {
        let now = self.now.steady;
        let mut slowed = Vec::new();
        for vm in self.vms.values().filter(|vm| vm.is_heard(now)) {
            for (key, run) in &vm.runs {
                let step = self.jobs.get(&key.task.job).and_then(|job| job.step(key.task));
                if step.is_some_and(|step| may_move(step, run, now)) {
                    slowed.push((vm.id.clone(), *key));
                }
            }
        }
        slowed
    }
}

fn may_move(step: &Step, run: &Run, now: Duration) -> bool {
    let long = run.slowed.is_some_and(|since| now.saturating_sub(since) >= SLOWED_FOR);
    let left = step.estimate.mul_f64(f64::from(100 - run.percent.min(100)) / 100.0);
    long && run.is_running()
        && step.share == Share::Leftover
        && step.life == Life::Finite
        && step.resume == Resume::FromCheckpoint
        && !step.members.as_one()
        && left >= WORTH_MOVING
}
