//! Draining of VMs that are about to leave.
//!
//! Runs that are still on a VM when it leaves are lost without a report of their end. Their tasks
//! start again once the VM is known to have left or, if that can't be told, once its lease has
//! expired, up to ten seconds later. All runs are therefore stopped before: long-running tasks at
//! once, tasks with checkpoints if they would not end in time, and the rest while there is still
//! time to confirm the stop.

use super::Shard;
use super::vm_run::{Run, RunKey, Stage, Vm};
use crate::ids::VmId;
use crate::job::{Life, Resume, Step};
use crate::note::{Millis, Note, StaticText};
use std::time::Duration;

/// Time for a stop to be carried out and confirmed.
const STOP_MARGIN: Duration = Duration::from_millis(1300);

/// Minimum progress in percent from which the remaining time of a run is extrapolated; below it the
/// extrapolation is too inaccurate.
const MIN_EXTRAPOLATED_PERCENT: u8 = 10;

/// Interval between log lines about the long-running tasks that stay on leaving VMs.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which a long-running task that is still on a leaving VM is logged.
const EXPECTED_STOP_TIME: Duration = Duration::from_secs(1);

impl Shard {
    /// Stops runs on leaving VMs that would not end in time.
    pub(super) fn stop_runs_on_leaving_vms(&mut self) {
        for id in self.leaving_vms() {
            for key in self.runs_to_stop(&id) {
                self.stop_run(&id, key, "its VM is leaving");
            }
        }
    }

    /// Logs the long-running tasks that are still on leaving VMs, and why.
    pub(super) fn report_runs_on_leaving_vms(&mut self) {
        let now = self.now.steady;
        if now < self.next_drain_report {
            return;
        }
        let notes: Vec<Note> =
            self.leaving_vms().iter().flat_map(|id| self.notes_on_remaining_runs(id)).collect();
        if !notes.is_empty() {
            self.next_drain_report = now + LOG_INTERVAL;
        }
        notes.into_iter().for_each(|note| self.note(note));
    }

    fn leaving_vms(&self) -> Vec<VmId> {
        let leaving = self.vms.values().filter(|vm| vm.leaving.is_some() && !vm.runs.is_empty());
        leaving.map(|vm| vm.id.clone()).collect()
    }

    /// Runs on a VM that doesn't answer are left running: their end could not be learned, and the
    /// task would be down until the VM has left.
    fn runs_to_stop(&self, id: &VmId) -> Vec<RunKey> {
        let now = self.now.steady;
        let Some(vm) = self.vms.get(id).filter(|vm| vm.is_responsive(now)) else {
            return Vec::new();
        };
        let Some(leaving) = vm.leaving else { return Vec::new() };
        let left = leaving.time_left(now).saturating_sub(STOP_MARGIN);
        let stops = |(key, run): &(&RunKey, &Run)| {
            let step = self.step_of(**key);
            run.is_running() && step.is_some_and(|step| must_stop(step, run, left, now))
        };
        vm.runs.iter().filter(stops).map(|(key, _)| *key).collect()
    }

    fn step_of(&self, key: RunKey) -> Option<&Step> {
        self.jobs.get(&key.task.job)?.step(key.task)
    }

    fn is_long_running(&self, key: RunKey) -> bool {
        self.step_of(key).is_none_or(|step| step.life == Life::Lasting)
    }

    fn notes_on_remaining_runs(&self, id: &VmId) -> Vec<Note> {
        let now = self.now.steady;
        let Some(vm) = self.vms.get(id) else { return Vec::new() };
        let Some(leaving) = vm.leaving else { return Vec::new() };
        let remains = |(key, run): &(&RunKey, &Run)| {
            let since = leaving.since.max(run.since);
            self.is_long_running(**key) && now.saturating_sub(since) >= EXPECTED_STOP_TIME
        };
        let note = |(key, run): (&RunKey, &Run)| Note::RunStays {
            task: key.task,
            run: key.run,
            vm: id.clone(),
            stage: run.stage.name(),
            stage_ms: Millis(now.saturating_sub(run.since)),
            left_ms: Millis(leaving.time_left(now)),
            silent_ms: Millis(now.saturating_sub(vm.last_heard())),
            reason: self.reason_to_stay(vm, run),
        };
        vm.runs.iter().filter(remains).map(note).collect()
    }

    fn reason_to_stay(&self, vm: &Vm, run: &Run) -> StaticText {
        match run.stage {
            Stage::Stopping { answered: None, .. } => "its stop is not answered",
            Stage::Stopping { answered: Some(_), .. } => "its end is not reported",
            Stage::Binding => "its binding is not durable",
            _ if self.stage != super::Stage::Serving => "its shard is being handed over",
            _ if vm.contact.last_successful_poll.is_none() => "its VM has not answered yet",
            _ if !vm.is_responsive(self.now.steady) => "its VM does not answer",
            Stage::Starting { .. } => "its start is not answered",
            Stage::Running => "its job is unknown",
            Stage::Recovered => "its VM's list does not count yet",
        }
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
