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

/// Time after which a slowed run is moved, as a share of the time that a move takes; a shorter
/// slowdown ends before the run has restarted elsewhere.
const MIN_SLOWDOWN_SHARE: f64 = 0.6;

/// Minimum remaining run time of a moved run, as a share of the time that a move takes.
const MIN_REMAINING_SHARE: f64 = 0.8;

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
            let percent = self.vms.get(&vm).and_then(|vm| Some(vm.runs.get(&key)?.percent));
            let time = remaining(self.expected_run_time(key.task), percent.unwrap_or(0));
            let Some(requirements) = job.requirements(key.task) else { continue };
            let is_better = |room: &&mut VmCapacity| {
                room.vm != vm
                    && !room.is_unanswered
                    && room.suits(&requirements)
                    && room.takes(&step, key.task.step_ref())
                    && self.speed(room, &step, image, time) >= MIN_LEFTOVER_SPEED
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
                let Some(job) = self.jobs.get(&key.task.job) else { continue };
                let Some(step) = job.step(key.task) else { continue };
                let time = self.step_time(job, usize::from(key.task.step), job.step_run(key.task));
                if can_move(step, time, run, self.move_time(), now) {
                    slowed.push((vm.id.clone(), *key));
                }
            }
        }
        slowed
    }

    /// Time that a run stands still while it moves to another VM.
    fn move_time(&self) -> Duration {
        self.settings.stop_timeout + self.settings.restore
    }
}

/// Returns whether a run of a step whose tasks take `time` may be moved, which takes `move_time`.
fn can_move(step: &Step, time: Duration, run: &Run, move_time: Duration, now: Duration) -> bool {
    let min_slowdown = move_time.mul_f64(MIN_SLOWDOWN_SHARE);
    let long = run.slowed.is_some_and(|since| now.saturating_sub(since) >= min_slowdown);
    let left = remaining(time, run.percent);
    long && run.is_running()
        && step.share == Share::Leftover
        && step.life == Life::Finite
        && step.resume == Resume::FromCheckpoint
        && !step.grouping.is_gang()
        && left >= move_time.mul_f64(MIN_REMAINING_SHARE)
}

/// Returns what is left of a run time when `percent` of the work is done.
fn remaining(time: Duration, percent: u8) -> Duration {
    (time / 100).saturating_mul(u32::from(100 - percent.min(100)))
}
