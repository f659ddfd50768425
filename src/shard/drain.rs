//! Draining of VMs that are about to leave.
//!
//! Runs that are still on a VM when it leaves are lost without a report of their end. Their tasks
//! start again once the VM is known to have left or, if that can't be told, once its lease has
//! expired, up to ten seconds later. All runs are therefore stopped before: long-running tasks at
//! once, tasks with checkpoints if they would not end in time, and the rest while there is still
//! time to confirm the stop.

use super::Shard;
use super::vm_run::{Run, RunKey};
use crate::ids::VmId;
use crate::job::{Life, Resume, Step};
use std::time::Duration;

/// Time for a stop to be carried out and confirmed.
const STOP_MARGIN: Duration = Duration::from_millis(1300);

/// Minimum progress in percent from which the remaining time of a run is extrapolated; below it the
/// extrapolation is too inaccurate.
const MIN_EXTRAPOLATED_PERCENT: u8 = 10;

impl Shard {
    /// Stops runs on leaving VMs that would not end in time.
    pub(super) fn stop_runs_on_leaving_vms(&mut self) {
        let now = self.now.steady;
        let leaving: Vec<VmId> = self
            .vms
            .values()
            .filter(|vm| vm.leaving.is_some() && !vm.runs.is_empty() && vm.is_responsive(now))
            .map(|vm| vm.id.clone())
            .collect();
        for id in leaving {
            for key in self.runs_to_stop(&id) {
                self.stop_run(&id, key, "its VM is leaving");
            }
        }
    }

    fn runs_to_stop(&self, id: &VmId) -> Vec<RunKey> {
        let now = self.now.steady;
        let Some(vm) = self.vms.get(id) else { return Vec::new() };
        let Some(leaving) = vm.leaving else { return Vec::new() };
        let left = leaving.time_left(now).saturating_sub(STOP_MARGIN);
        let stops = |(key, run): &(&RunKey, &Run)| {
            let step = self.jobs.get(&key.task.job).and_then(|job| job.step(key.task));
            run.is_running() && step.is_some_and(|step| must_stop(step, run, left, now))
        };
        vm.runs.iter().filter(stops).map(|(key, _)| *key).collect()
    }
}

fn must_stop(step: &Step, run: &Run, left: Duration, now: Duration) -> bool {
    if step.life == Life::Lasting || left.is_zero() {
        return true;
    }
    let Some(since) = run.running_since else { return false };
    let ran = now.saturating_sub(since);
    let remaining = if run.percent >= MIN_EXTRAPOLATED_PERCENT {
        ran.mul_f64(f64::from(100 - run.percent.min(100)) / f64::from(run.percent))
    } else {
        step.estimate.saturating_sub(ran)
    };
    step.resume == Resume::FromCheckpoint && remaining > left
}
