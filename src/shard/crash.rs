//! Detection of tasks that crash the VMs that they run on.
//!
//! A VM that comes back as a new instance without having announced that it leaves has crashed,
//! along with all its runs. Any of them may be the cause, or none. There are two indications. A
//! task that crashes its VM does so every time, so it is also present at the next crash. And it
//! mostly does so right after its start, while other runs on the VM have been working for a while.
//! Suspects are placed on separate VMs, so that the next crash involves only one of them. Cases
//! that cannot be distinguished in this way are bounded by the number of VMs that may crash under a
//! task.

use super::Shard;
use super::job_run::{StepRun, Task, is_long_running};
use super::vm_run::{PendingStart, Run, RunKey, Stage, Vm};
use crate::ids::VmId;
use crate::job::progress::{Crashes, TaskPhase};
use crate::job::{JobId, TaskRef};
use crate::note::{Note, StaticText};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Number of sudden crashes after which a task is failed, if no other suspect was on the VM.
const SUDDEN_CRASH_LIMIT: u8 = 3;

/// The same if the last crash was immediate, no other job had a run that had just started there,
/// and no VM has crashed recently for an unrelated reason.
const UNAMBIGUOUS_CRASH_LIMIT: u8 = 2;

/// Time from the confirmation of a start within which a poll of the VM fails if the start crashed
/// it immediately.
const IMMEDIATE_CRASH_WINDOW: Duration = Duration::from_millis(100);

/// Number of crashes of any kind after which a task is failed.
const TOTAL_CRASH_LIMIT: u8 = 5;

/// Working time after which a task's sudden crashes are forgiven, since it does not crash its VM at
/// the start.
const SUDDEN_RESET_AFTER: Duration = Duration::from_millis(1500);

/// Working time after which all earlier crashes of a long-running task are attributed to other
/// causes.
const TOTAL_RESET_AFTER: Duration = Duration::from_secs(10);

/// Longest time for which a trial run holds back the others of its step. A crash of its VM is known
/// by then, and so is that it works.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(4);

/// How long a crash is remembered to judge later ones.
const CRASH_RETENTION: Duration = Duration::from_secs(30);

/// Recent VM crashes.
#[derive(Debug, Default)]
pub(super) struct CrashLog {
    crashes: VecDeque<PastCrash>,
}

#[derive(Debug)]
struct PastCrash {
    at: Duration,
    /// `ip:port` of the VM.
    addr: Arc<str>,
    /// Jobs with runs on the VM.
    jobs: Vec<JobId>,
    /// Jobs with runs that had just started.
    suspects: Vec<JobId>,
}

impl CrashLog {
    fn add(&mut self, crash: PastCrash) {
        while self.crashes.front().is_some_and(|past| crash.at >= past.at + CRASH_RETENTION) {
            self.crashes.pop_front();
        }
        self.crashes.push_back(crash);
    }

    /// Returns whether no VM has crashed recently for a reason unrelated to a job: without a
    /// suspect, or at this address while the job was not there.
    fn has_no_unrelated_crash(&self, job: JobId, addr: &str) -> bool {
        let others = |past: &PastCrash| past.suspects.is_empty() || *past.addr == *addr;
        !self.crashes.iter().any(|past| !past.jobs.contains(&job) && others(past))
    }
}

/// A run on a VM that has crashed.
struct AffectedRun {
    key: RunKey,
    timing: CrashTiming,
    /// Crashes of its task, including this one.
    crashes: Crashes,
}

/// When a VM crashed relative to the start of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CrashTiming {
    /// A poll failed right after the start was confirmed: the VM's connections broke.
    Immediate,
    /// The start was confirmed, but no later poll was answered.
    Sudden,
    /// The run had been working for a while, or its working time is unknown.
    Late,
}

impl AffectedRun {
    fn of(vm: &Vm, key: RunKey, run: &Run, before: Crashes) -> Option<Self> {
        let timing = match run.stage {
            Stage::Binding => return None,
            Stage::Stopping { .. } if vm.has_not_run(run) => return None,
            Stage::Running if vm.was_started_by_successor(run) => return None,
            Stage::Starting { .. } if run.pending_start == PendingStart::No => return None,
            Stage::Running if vm.running_time(key).is_zero() => {
                let failing = vm.contact.failing_since;
                let immediate = failing.is_some_and(|at| at < run.since + IMMEDIATE_CRASH_WINDOW);
                if immediate { CrashTiming::Immediate } else { CrashTiming::Sudden }
            }
            _ => CrashTiming::Late,
        };
        let sudden = u8::from(timing != CrashTiming::Late);
        let crashes = Crashes {
            all: before.all.saturating_add(1),
            sudden: before.sudden.saturating_add(sudden),
        };
        Some(Self { key, timing, crashes })
    }

    fn is_sudden(&self) -> bool {
        self.timing != CrashTiming::Late
    }

    fn job(&self) -> JobId {
        self.key.task.job
    }

    /// Returns why the task is blamed for the crash, or `None` if it is not.
    ///
    /// `no_unrelated_crash` tells that VMs have not crashed for other reasons recently.
    fn blame_reason(
        &self,
        affected_runs: &[AffectedRun],
        no_unrelated_crash: bool,
    ) -> Option<StaticText> {
        let others = || affected_runs.iter().filter(|other| other.job() != self.job());
        let any_sudden = others().any(AffectedRun::is_sudden);
        let any_suspect = others().any(|other| other.crashes.sudden > 1);
        let is_unambiguous =
            no_unrelated_crash && !any_sudden && self.timing == CrashTiming::Immediate;
        let limit = if is_unambiguous { UNAMBIGUOUS_CRASH_LIMIT } else { SUDDEN_CRASH_LIMIT };
        if self.is_sudden() && !any_suspect && self.crashes.sudden >= limit {
            return Some("VMs crash right after it starts");
        }
        (self.crashes.all >= TOTAL_CRASH_LIMIT)
            .then_some("too many VMs have crashed while running it")
    }
}

impl Crashes {
    /// Returns whether the task is to be placed apart from others that may crash their VMs.
    pub(super) fn is_suspect(self) -> bool {
        self.sudden > 0 || self.all > 1
    }
}

impl StepRun {
    /// Returns whether a waiting task is held back by a trial run: of several tasks that may crash
    /// their VMs, one is started first, and the others once it has worked for a while.
    pub(super) fn is_held_back(&self, index: usize, now: Duration) -> bool {
        self.trial_before(index, now).is_some()
    }

    /// Returns the index of the task whose trial run a waiting task is held back by.
    ///
    /// The one whose last trial began first is tried next, so that one which can't start doesn't
    /// keep the others waiting.
    pub(super) fn trial_before(&self, index: usize, now: Duration) -> Option<usize> {
        let is_suspect = |task: &Task| task.phase == TaskPhase::Open && task.crashes.sudden > 0;
        let waiting = self.tasks.get(index).filter(|task| !self.proven && is_suspect(task))?;
        let holds_back = |(other, task): &(usize, &Task)| {
            if !task.is_waiting() {
                return now.saturating_sub(task.tried_at) < TRIAL_TIMEOUT;
            }
            task.restart_at <= now && (task.tried_at, *other) < (waiting.tried_at, index)
        };
        let others = self.tasks.iter().enumerate().filter(|(other, _)| *other != index);
        let mut suspects = others.filter(|(_, task)| is_suspect(task));
        suspects.find(holds_back).map(|(other, _)| other)
    }
}

impl Shard {
    /// Returns whether a task may crash its VM.
    pub(super) fn is_suspect(&self, task: TaskRef) -> bool {
        let task = self.jobs.get(&task.job).and_then(|job| job.task(task));
        task.is_some_and(|task| task.crashes.is_suspect())
    }

    /// Handles a VM crash: counts it for the tasks on the VM and fails those that are to blame.
    pub(super) fn handle_vm_crash(&mut self, id: &VmId) {
        let now = self.now.steady;
        let Some(vm) = self.vms.get(id) else { return };
        if vm.leaving.is_some() || self.upkeep_drain.is_draining(id) {
            return;
        }
        let runs = vm.runs.iter();
        let affected_runs: Vec<AffectedRun> = runs
            .filter_map(|(key, run)| {
                let task = self.jobs.get(&key.task.job)?.task(key.task)?;
                AffectedRun::of(vm, *key, run, task.crashes)
            })
            .collect();
        if affected_runs.is_empty() {
            return;
        }
        let jobs = affected_runs.iter().map(AffectedRun::job).collect();
        let suspects = affected_runs.iter().filter(|affected| affected.is_sudden());
        let suspects: Vec<JobId> = suspects.map(AffectedRun::job).collect();
        let (addr, sudden) = (vm.entry.addr.clone(), suspects.len());
        self.note(Note::VmCrashed { vm: id.clone(), runs: affected_runs.len(), sudden });
        affected_runs.iter().for_each(|affected| self.record_crash(affected));
        affected_runs.iter().for_each(|affected| self.drop_unsent_copies(affected.key.task));
        for affected in &affected_runs {
            let no_unrelated_crash = self.crash_log.has_no_unrelated_crash(affected.job(), &addr);
            if let Some(reason) = affected.blame_reason(&affected_runs, no_unrelated_crash) {
                self.fail_for_crashes(id, affected, reason);
            }
        }
        self.crash_log.add(PastCrash { at: now, addr, jobs, suspects });
    }

    fn record_crash(&mut self, affected: &AffectedRun) {
        let RunKey { task, .. } = affected.key;
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        if let Some(task) = job.task_mut(task) {
            task.crashes = affected.crashes;
        }
        if let Some(step) = job.step_run_mut(task).filter(|_| affected.is_sudden()) {
            step.proven = false;
        }
        self.log.mark_changed(task.job);
    }

    fn fail_for_crashes(&mut self, vm: &VmId, affected: &AffectedRun, reason: StaticText) {
        let RunKey { task, run } = affected.key;
        if self.jobs.get(&task.job).is_none_or(|job| job.is_final()) {
            return;
        }
        let Crashes { all, sudden } = affected.crashes;
        let vm = vm.clone();
        self.note(Note::TaskGivenUp { task, run, vm, crashes: all, sudden, reason });
        self.fail_task(task);
    }

    /// Resets the crash counts of a task whose run has worked for long enough.
    pub(super) fn reset_crash_counts(&mut self, key: RunKey, worked: Duration) {
        let Some(job) = self.jobs.get_mut(&key.task.job) else { return };
        let long_running = job.step(key.task).is_some_and(is_long_running);
        let Some(task) = job.task_mut(key.task) else { return };
        let before = task.crashes;
        if worked >= SUDDEN_RESET_AFTER {
            task.crashes.sudden = 0;
        }
        if worked >= TOTAL_RESET_AFTER && long_running {
            task.crashes.all = 0;
        }
        if task.crashes == before {
            return;
        }
        if let Some(step) = job.step_run_mut(key.task) {
            step.proven = true;
        }
        self.log.mark_changed(key.task.job);
    }
}
