//! Moves leftover work off VMs where it has been slowed down for long.
//!
//! When the load of a VM's serving tasks rises, some of the leftover work next to them can't run at
//! any speed without harm. It would stand still for seconds although other VMs have room for it.
//! Work that can be resumed is stopped and placed again, if such a VM exists and enough work
//! remains.

#[cfg(test)]
mod tests;

use super::Shard;
use super::place::{MIN_LEFTOVER_SPEED, SchedulePass};
use super::room::VmCapacity;
use super::vm_run::{Run, RunKey};
use crate::ids::VmId;
use crate::job::{Life, Resume, Share, Step};
use std::time::Duration;

/// Pace in percent at or below which a run counts as slowed down.
pub const SLOW_PACE: u8 = 40;

/// Time after which a slowed run is moved; a shorter slowdown ends before the run has restarted
/// elsewhere.
const MOVE_AFTER: Duration = Duration::from_millis(900);

/// Minimum remaining work of a moved run, since stopping, binding and restoring take about 1 s.
const MIN_REMAINING_WORK: Duration = Duration::from_millis(1200);

/// Maximum number of runs moved in one pass; moving more would overload the same target VMs.
const MAX_MOVED: usize = 3;

impl Shard {
    /// Stops slowed runs for which a better VM is available.
    pub(super) fn move_slowed(&mut self, slowed: Vec<(VmId, RunKey)>, pass: &mut SchedulePass) {
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
            let is_better = |room: &&mut VmCapacity| {
                room.vm != vm
                    && room.service == service
                    && room.takes(&step, key.task.step_ref())
                    && self.has_label(&room.vm, &step)
                    && self.speed(room, &step, image) >= MIN_LEFTOVER_SPEED
            };
            let Some(room) = pass.rooms.iter_mut().find(is_better) else { continue };
            room.take(&step, image, key.task.step_ref(), &self.interference);
            moved += 1;
            self.stop_run(&vm, key, "run is slowed down; another VM can run it faster");
        }
    }

    /// Returns the runs that have been stopped or slow for long and can be resumed elsewhere.
    pub(super) fn slowed(&self) -> Vec<(VmId, RunKey)> {
        let now = self.now.steady;
        let mut slowed = Vec::new();
        for vm in self.vms.values().filter(|vm| vm.is_responsive(now)) {
            for (key, run) in &vm.runs {
                let step = self.jobs.get(&key.task.job).and_then(|job| job.step(key.task));
                if step.is_some_and(|step| can_move(step, run, now)) {
                    slowed.push((vm.id.clone(), *key));
                }
            }
        }
        slowed
    }
}

fn can_move(step: &Step, run: &Run, now: Duration) -> bool {
    let long = run.slowed.is_some_and(|since| now.saturating_sub(since) >= MOVE_AFTER);
    let left = step.estimate.mul_f64(f64::from(100 - run.percent.min(100)) / 100.0);
    long && run.is_running()
        && step.share == Share::Leftover
        && step.life == Life::Finite
        && step.resume == Resume::FromCheckpoint
        && !step.grouping.is_gang()
        && left >= MIN_REMAINING_WORK
}
