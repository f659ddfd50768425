//! Emptying VMs that leave.
//!
//! What still runs on a VM when it leaves is lost, and nobody hears of its end: its tasks could
//! start again only once the time that the VM was given has passed, up to ten seconds later. So
//! everything is stopped before: what lasts or can be resumed at once, the rest when it would not
//! end in time, and all of it while there is still time to hear of the stop.

use super::Shard;
use super::vm_run::{Leaving, Run, RunKey};
use crate::ids::VmId;
use crate::job::{Life, Resume, Step};
use std::time::Duration;

/// Time that a leaving VM is taken to have if it doesn't say; the shortest notice of the users'.
const USUAL_NOTICE: Duration = Duration::from_millis(2000);

/// Time for a stop to be carried out and heard of.
const STOP_TIME: Duration = Duration::from_millis(1300);

/// Progress from which on the end of a run is foreseen, of 100; less tells too little.
const FORESEEABLE: u8 = 10;

impl Shard {
    /// Stops what won't end by itself on VMs that leave.
    pub(super) fn empty_leaving(&mut self) {
        let now = self.now.steady;
        let leaving: Vec<VmId> = self
            .vms
            .values()
            .filter(|vm| vm.leaving.is_some() && !vm.runs.is_empty() && vm.is_heard(now))
            .map(|vm| vm.id.clone())
            .collect();
        for id in leaving {
            for key in self.to_be_stopped(&id) {
                self.stop_run(&id, key, "its VM leaves");
            }
        }
    }

    fn to_be_stopped(&self, id: &VmId) -> Vec<RunKey> {
        let now = self.now.steady;
        let Some(vm) = self.vms.get(id) else { return Vec::new() };
        let Some(leaving) = vm.leaving else { return Vec::new() };
        let left = time_left(leaving, now).saturating_sub(STOP_TIME);
        let stops = |(key, run): &(&RunKey, &Run)| {
            let step = self.jobs.get(&key.task.job).and_then(|job| job.step(key.task));
            run.is_running() && step.is_some_and(|step| is_stopped(step, run, left, now))
        };
        vm.runs.iter().filter(stops).map(|(key, _)| *key).collect()
    }
}

fn time_left(leaving: Leaving, now: Duration) -> Duration {
    let given = leaving.left.unwrap_or(USUAL_NOTICE);
    (leaving.since + given).saturating_sub(now)
}

fn is_stopped(step: &Step, run: &Run, left: Duration, now: Duration) -> bool {
    if step.life == Life::Lasting || left.is_zero() {
        return true;
    }
    let Some(since) = run.running_since else { return false };
    let ran = now.saturating_sub(since);
    let rest = if run.percent >= FORESEEABLE {
        ran.mul_f64(f64::from(100 - run.percent.min(100)) / f64::from(run.percent))
    } else {
        step.estimate.saturating_sub(ran)
    };
    step.resume == Resume::FromCheckpoint && rest > left
}
