//! Effects of the end of a run on its task and its job.

use super::Shard;
use super::copies::{CopyEnd, allows_copies, is_exhausted};
use super::health::{Consequence, Evidence};
use super::job_run::{CheckpointRank, Effect, JobRun, Task, is_long_running};
use super::vm_run::{PendingStart, Run, RunKey, Stage, Vm};
use crate::ids::VmId;
use crate::job::progress::TaskPhase;
use crate::job::{Checkpoint, JobId, JobState, RunNumber, Step, TaskRef};
use crate::note::{Millis, Note, StaticText};
use crate::vm::EndKind;
use std::time::Duration;

/// Time after its start from which a long-running task counts as working. On a faulty VM it fails
/// sooner.
const PROVING_TIME: Duration = Duration::from_millis(1500);

/// Working time after which the failures of a long-running task are forgotten.
const FAILURES_RESET_AFTER: Duration = Duration::from_secs(10);

/// Failures in a row of a task that may be the fault of the only VM that it can run on.
const MAX_FAILURES_OF_VM: u32 = 2;

/// Delay before a long-running task is restarted after its second failure in a row; each further one
/// doubles it.
const MIN_RESTART_DELAY: Duration = Duration::from_millis(500);

/// Longest such delay, as a multiple of the first one.
const MAX_DELAY_FACTOR: u32 = 8;

/// The end of a run as reported by a VM.
pub(super) struct RunEnd {
    pub vm: VmId,
    pub key: RunKey,
    pub outcome: EndKind,
    pub checkpoint: Option<Checkpoint>,
    /// Number of the entry in the VM's list of ended runs.
    pub number: u64,
}

impl Shard {
    /// Handles the end of a run that a VM reported.
    pub(super) fn handle_run_end(&mut self, end: RunEnd) {
        let run = self.vms.get_mut(&end.vm).and_then(|vm| vm.runs.shift_remove(&end.key));
        if let Some(run) = &run {
            let copy_end = self.copy_end(&end);
            self.account_for_copy(&end.vm, end.key, run, copy_end);
        }
        let percent = run.as_ref().map_or(0, |run| run.percent);
        let run_time = run.as_ref().and_then(|run| self.whole_run_time(end.key, run));
        let ran = run.and_then(|run| run.running_since);
        let ran_ms =
            Millis(ran.map_or_else(Default::default, |at| self.now.steady.saturating_sub(at)));
        let RunKey { task, run } = end.key;
        self.note(Note::TaskEnded {
            task,
            run,
            vm: end.vm.clone(),
            how: end_kind_name(end.outcome),
            ran_ms,
        });
        let now = self.now.steady;
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return self.apply_effect(Effect::Forget { vm: end.vm, number: end.number });
        };
        let state = job.state;
        if let Some(known) = job.task_mut(task) {
            known.remove(&end.vm, run);
            if known.runs.is_empty() {
                known.not_running_since.get_or_insert(now);
            }
            let at_stop = end.outcome == EndKind::Stopped;
            known.save_checkpoint(end.checkpoint, CheckpointRank { run, at_stop, percent });
        }
        job.effects.push(Effect::Forget { vm: end.vm.clone(), number: end.number });
        self.log.mark_changed(task.job);
        match end.outcome {
            EndKind::Succeeded => {
                if let Some(run_time) = run_time {
                    self.learn_run_time(task, run_time);
                }
                self.task_succeeded(&end.vm, task);
            }
            EndKind::Failed if !state.is_final() => self.task_failed(&end.vm, end.key, ran_ms),
            _ => self.fail_exhausted_task(task),
        }
        self.advance(task.job);
    }

    fn copy_end(&self, end: &RunEnd) -> CopyEnd {
        let task = self.jobs.get(&end.key.task.job).and_then(|job| job.task(end.key.task));
        let open = task.is_some_and(|task| task.phase == TaskPhase::Open);
        match end.outcome {
            EndKind::Succeeded if open => CopyEnd::Won,
            EndKind::Failed => CopyEnd::Failed,
            _ => CopyEnd::Lost,
        }
    }

    /// Returns the time that a run has taken since its start; `None` if this owner doesn't know the
    /// start or the run has resumed from a checkpoint.
    fn whole_run_time(&self, key: RunKey, run: &Run) -> Option<Duration> {
        let is_first = key.run == RunNumber(1) && run.is_running() && run.sends > 0;
        is_first.then(|| self.now.steady.saturating_sub(run.since))
    }

    fn learn_run_time(&mut self, task: TaskRef, run_time: Duration) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let Some(step) = job.step(task).filter(|step| !is_long_running(step)) else { return };
        let (queue, estimate) = (job.job.queue.clone(), step.estimate);
        if let Some(step) = job.step_run_mut(task) {
            step.run_times.add(run_time);
        }
        self.run_times.learn(&queue, estimate, run_time);
    }

    fn task_succeeded(&mut self, vm_id: &VmId, task: TaskRef) {
        let now = self.now.steady;
        if let Some(vm) = self.vms.get_mut(vm_id) {
            vm.health.succeeded(task, now);
        }
        self.confirm_failures(vm_id, task);
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let Some(step) = job.step(task).cloned() else { return };
        if is_long_running(&step) {
            return;
        }
        if step.grouping.is_gang() {
            return self.record_gang_success(task);
        }
        if let Some(run) = job.step_run_mut(task) {
            run.proven = true;
        }
        let Some(known) = job.task_mut(task) else { return };
        known.phase = TaskPhase::Succeeded;
        let copies = known.runs.clone();
        for placed in copies {
            let key = RunKey { task, run: placed.run };
            self.stop_run(&placed.vm, key, "another copy of it has succeeded");
        }
    }

    /// Records the success of a gang's member, which is that of the whole gang.
    pub(super) fn record_gang_success(&mut self, task: TaskRef) {
        if self.is_gang(task)
            && let Some(run) = self.jobs.get_mut(&task.job).and_then(|job| job.step_run_mut(task))
        {
            run.tasks.iter_mut().for_each(|task| task.phase = TaskPhase::Succeeded);
        }
    }

    fn task_failed(&mut self, vm: &VmId, key: RunKey, ran_ms: Millis) {
        let task = key.task;
        let Some(job) = self.jobs.get(&task.job) else { return };
        let Some(step) = job.step(task).cloned() else { return };
        let attempts = self.terms(&job.job).attempts;
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let Some(known) = job.task_mut(task) else { return };
        if known.phase != TaskPhase::Open {
            // Another run of the task has ended it.
            return;
        }
        let earlier = known.failed_on.replace(vm.clone()).filter(|earlier| earlier != vm);
        let failed = if step.grouping.is_gang() {
            job.step_run_mut(task).map_or(0, |run| run.count_gang_failure(task.index))
        } else {
            known.failed += 1;
            known.failed
        };
        let (run, vm_id) = (key.run, vm.clone());
        let wait_ms = Millis(self.delay_restart(task, &step, failed));
        self.note(Note::TaskFailed { task, run, vm: vm_id, failed, attempts, ran_ms, wait_ms });
        let evidence = self.evidence_of_failure(vm, earlier.as_ref(), task);
        if let Some(earlier) = earlier {
            self.disregard_failure(&earlier, task);
        }
        self.record_failure(vm, task, evidence);
        let others = if step.grouping.is_gang() { 0 } else { self.runs_of(task) };
        if is_exhausted(failed, attempts, others) && !is_long_running(&step) {
            self.fail_task(task);
        }
    }

    /// Number of a task's runs that are not known to have ended.
    fn runs_of(&self, task: TaskRef) -> usize {
        let known = self.jobs.get(&task.job).and_then(|job| job.task(task));
        known.map_or(0, |known| known.runs.len())
    }

    /// Fails a task that used up its attempts while another copy of it was running, once that copy
    /// has ended as well.
    fn fail_exhausted_task(&mut self, task: TaskRef) {
        let Some(job) = self.jobs.get(&task.job).filter(|job| !job.is_final()) else { return };
        let attempts = self.terms(&job.job).attempts;
        let Some(known) = job.task(task).filter(|known| known.phase == TaskPhase::Open) else {
            return;
        };
        let exhausted = is_exhausted(known.failed, attempts, known.runs.len());
        if exhausted && job.step(task).is_some_and(allows_copies) {
            self.fail_task(task);
        }
    }

    /// Delays the restart of a long-running task that has failed several times without having worked
    /// for long in between. Returns the delay.
    fn delay_restart(&mut self, task: TaskRef, step: &Step, failed: u32) -> Duration {
        if !is_long_running(step) || failed < 2 {
            return Duration::ZERO;
        }
        let delay = MIN_RESTART_DELAY * 2_u32.saturating_pow(failed - 2).min(MAX_DELAY_FACTOR);
        let until = self.now.steady + delay;
        if let Some(known) = self.jobs.get_mut(&task.job).and_then(|job| job.task_mut(task)) {
            known.restart_at = until;
        }
        delay
    }

    /// Returns what the failure of a task on a VM tells about the VM. `earlier` is another VM where
    /// the run before has failed.
    fn evidence_of_failure(&self, vm: &VmId, earlier: Option<&VmId>, task: TaskRef) -> Evidence {
        let Some(job) = self.jobs.get(&task.job) else { return Evidence::Weak };
        let (Some(step), Some(known)) = (job.step_run(task), job.task(task)) else {
            return Evidence::Weak;
        };
        let is_long_running = job.step(task).is_some_and(is_long_running);
        let works_elsewhere = |index: usize, other: &Task| {
            let other_task = TaskRef { index: u32::try_from(index).unwrap_or(u32::MAX), ..task };
            let mut elsewhere = other.runs.iter().filter(|placed| placed.vm != *vm);
            is_long_running
                && elsewhere.any(|placed| {
                    let key = RunKey { task: other_task, run: placed.run };
                    self.vms.get(&placed.vm).is_some_and(|vm| vm.running_time(key) >= PROVING_TIME)
                })
        };
        let has_worked = |(index, other): (usize, &Task)| {
            other.phase == TaskPhase::Succeeded || works_elsewhere(index, other)
        };
        if step.tasks.iter().enumerate().any(has_worked) {
            Evidence::Strong
        } else if earlier.is_some() || known.failed > MAX_FAILURES_OF_VM {
            Evidence::None
        } else {
            Evidence::Weak
        }
    }

    /// Counts a failure against the health of a VM.
    pub(super) fn record_failure(&mut self, vm: &VmId, task: TaskRef, evidence: Evidence) {
        let now = self.now.steady;
        let Some(known) = self.vms.get_mut(vm) else { return };
        match known.health.failed(task, evidence, now) {
            Consequence::None => {}
            Consequence::Avoid { until } => {
                let job = self.jobs.get_mut(&task.job);
                if let Some(step) = job.and_then(|job| job.step_run_mut(task)) {
                    step.avoid(vm, until, now);
                }
            }
            Consequence::Quarantine => self.note_health(vm, "sick"),
        }
    }

    /// Disregards the failure of a task on a VM, as it has failed on another one since.
    fn disregard_failure(&mut self, vm: &VmId, task: TaskRef) {
        let known = self.vms.get_mut(vm);
        if known.is_some_and(|known| known.health.disregard_failure(task)) {
            self.note_health(vm, "cleared");
        }
    }

    fn note_health(&mut self, vm: &VmId, health: StaticText) {
        let Some(known) = self.vms.get(vm) else { return };
        let (failed, of) = known.health.recent(self.now.steady);
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        let (failed, of) = (count(failed), count(of));
        self.note(Note::VmHealth { vm: vm.clone(), health, failed, of, rate_percent: 0 });
    }

    /// Takes note of a long-running task that has worked since its start: it proves that its VM is
    /// sound, and that its failures before had passing causes.
    pub(super) fn note_long_running_work(&mut self, vm: &VmId, key: RunKey, worked: Duration) {
        let now = self.now.steady;
        let Some(job) = self.jobs.get_mut(&key.task.job) else { return };
        if worked < PROVING_TIME || !job.step(key.task).is_some_and(is_long_running) {
            return;
        }
        if worked >= FAILURES_RESET_AFTER
            && let Some(known) = job.task_mut(key.task).filter(|known| known.failed > 0)
        {
            known.failed = 0;
            self.log.mark_changed(key.task.job);
        }
        let Some(known) = self.vms.get_mut(vm) else { return };
        let Some(run) = known.runs.get_mut(&key).filter(|run| !run.has_proved_vm) else { return };
        run.has_proved_vm = true;
        // A run of an earlier owner may have been at work long before the VM became faulty.
        if run.sends > 0 {
            known.health.succeeded(key.task, now);
            self.confirm_failures(vm, key.task);
        }
    }

    /// Counts the failures of a step on the VMs that it avoids, since it works on another one.
    fn confirm_failures(&mut self, working_on: &VmId, task: TaskRef) {
        let job = self.jobs.get_mut(&task.job);
        let Some(step) = job.and_then(|job| job.step_run_mut(task)) else { return };
        for vm in step.take_avoided(working_on) {
            let now = self.now.steady;
            let known = self.vms.get_mut(&vm);
            let consequence = known.map(|known| known.health.confirm_failures(task.job, now));
            if consequence == Some(Consequence::Quarantine) {
                self.note_health(&vm, "sick");
            }
        }
    }

    /// Fails a task for good, and with it the job, in the shard that accepted it.
    pub(super) fn fail_task(&mut self, task: TaskRef) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        if !job.is_borrowed() {
            return self.fail_job(task.job);
        }
        let Some(known) = job.task_mut(task) else { return };
        known.phase = TaskPhase::Failed;
        let copies = known.runs.clone();
        for placed in copies {
            let key = RunKey { task, run: placed.run };
            self.stop_run(&placed.vm, key, "its task has failed");
        }
    }

    pub(super) fn fail_job(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.state = JobState::Failed;
        }
        self.stop_job(id, "the job has failed");
    }

    /// Updates a job after one of its runs has ended.
    pub(super) fn advance(&mut self, id: JobId) {
        self.request_schedule();
        let now = self.now.steady;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if !job.is_final() && !job.is_borrowed() && job.all_succeeded() {
            job.state = JobState::Done;
        }
        job.advance(now);
    }

    /// Stops a run by a decision of the scheduler.
    pub(super) fn stop_run(&mut self, vm: &VmId, key: RunKey, reason: StaticText) {
        let now = self.now.steady;
        let Some(run) = self.vms.get_mut(vm).and_then(|vm| vm.runs.get_mut(&key)) else {
            return;
        };
        if run.is_stopping() {
            return;
        }
        if !run.may_have_been_sent() {
            return self.drop_run(vm, key);
        }
        run.stage = Stage::Stopping { next_send: Some(now), answered: None };
        run.since = now;
        let RunKey { task, run } = key;
        self.note(Note::TaskStopping { task, run, vm: vm.clone(), reason });
    }

    /// Removes a run that is certain not to be running and never to start.
    pub(super) fn drop_run(&mut self, vm: &VmId, key: RunKey) {
        if let Some(run) = self.vms.get_mut(vm).and_then(|vm| vm.runs.shift_remove(&key)) {
            self.account_for_copy(vm, key, &run, CopyEnd::Gone);
        }
        let now = self.now.steady;
        let Some(job) = self.jobs.get_mut(&key.task.job) else { return };
        if let Some(task) = job.task_mut(key.task) {
            task.remove(vm, key.run);
            if task.runs.is_empty() {
                task.not_running_since.get_or_insert(now);
            }
        }
        self.log.mark_changed(key.task.job);
        self.fail_exhausted_task(key.task);
        self.advance(key.task.job);
    }

    /// Removes a run that is certain to have ended on its VM, although the end was never reported.
    pub(super) fn remove_vanished_run(&mut self, vm: &VmId, key: RunKey, proof: StaticText) {
        let RunKey { task, run } = key;
        let now = self.now.steady;
        let known = self.vms.get(vm);
        let worked_ms = Millis(known.map_or(Duration::ZERO, |vm| vm.running_time(key)));
        let heard = known.map_or(now, Vm::last_heard);
        let silent_ms = Millis(now.saturating_sub(heard));
        self.note(Note::TaskGone { task, run, vm: vm.clone(), worked_ms, silent_ms, proof });
        self.drop_run(vm, key);
    }

    /// Abandons the start of a run: drops the run if no start command can still be carried out by
    /// the VM, and otherwise stops it, which also prevents a delayed start.
    pub(super) fn abandon_start(&mut self, vm: &VmId, key: RunKey, reason: StaticText) {
        let Some(run) = self.vms.get(vm).and_then(|vm| vm.runs.get(&key)) else { return };
        if run.running_since.is_some() {
            // An earlier start command was carried out.
            return;
        }
        if run.pending_start == PendingStart::No {
            return self.drop_run(vm, key);
        }
        self.stop_run(vm, key, reason);
    }

    /// Marks a job as started.
    pub(super) fn mark_started(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.started = super::job_run::Started::Yes;
        if job.state == JobState::Queued {
            job.state = JobState::Running;
        }
    }

    /// Returns the number for a task's next run.
    pub(super) fn next_run(job: &JobRun, task: TaskRef) -> RunNumber {
        let last = job.task(task).map_or(RunNumber(0), |task| task.last_run);
        RunNumber(last.0 + 1)
    }
}

/// Name of an end kind in log lines.
fn end_kind_name(outcome: EndKind) -> StaticText {
    match outcome {
        EndKind::Succeeded => "succeeded",
        EndKind::Failed => "failed",
        EndKind::Stopped => "stopped",
        EndKind::Lapsed => "lapsed",
        EndKind::Broken => "broken",
        EndKind::LeftAlone => "left-alone",
    }
}
