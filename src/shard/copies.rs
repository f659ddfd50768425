//! What to do about a run that is slow: a speculative copy, or a stop and a new start elsewhere.
//!
//! Load: steps of some ten tasks of 0.5 s to a few seconds. Three runs in a hundred take seven times
//! as long because of their VM, and the step waits for them. Where the step allows copies, such a
//! run gets one copy on another VM, and the first success counts. Elsewhere it is stopped and
//! started again if that ends sooner. Whole steps that take long gain nothing by either, so a run
//! is compared with the other runs of its step. In an overload, copies would only add to it: their
//! number is limited to a share of the running tasks, less one for each waiting task, and some of
//! the shard's room must be free.
//!
//! Gangs, long-running tasks and, for copies, leftover work are left alone.

#[cfg(test)]
mod tests;

use super::Shard;
use super::interference::ImageIx;
use super::job_run::JobRun;
use super::place::{Need, SchedulePass};
use super::room::{Probation, VmCapacity};
use super::vm_run::{Run, RunKey, Stage, Vm};
use super::vm_speed::tells_speed;
use crate::ids::VmId;
use crate::job::progress::TaskPhase;
use crate::job::{Copies, Life, Resume, Share, Step, TaskRef};
use crate::note::{Millis, Note, StaticText};
use std::time::Duration;

/// Largest share of a shard's running tasks that may be slow runs with a copy or being restarted.
const MAX_SHARE: f64 = 0.1;

/// Number of them that a small shard may have if nothing waits: a step may have several tasks on one
/// slow VM.
const MIN_SLOW_RUNS: usize = 2;

/// Share of the shard's processors that must be free for a copy.
const MIN_FREE_SHARE: f64 = 0.05;

/// Gain that a copy or restart must be expected to bring, as a share of the new run's time and in
/// addition. Without a margin, runs near their end were copied for nothing.
const MIN_GAIN_SHARE: f64 = 0.25;
const MIN_GAIN: Duration = Duration::from_millis(100);

/// Time from the decision until a new run starts: a commit and a start command.
const START_TIME: Duration = Duration::from_millis(60);

/// Time without a response after which a VM's runs may get copies. A poll waits 400 ms at most.
const UNANSWERED_TIMEOUT: Duration = Duration::from_millis(800);

/// Number of runs of one task at a time.
const MAX_RUNS: usize = 2;

/// Number of runs from which a task is not restarted any more, apart from failed runs: its VMs
/// aren't the reason.
const MAX_RESTARTED_RUNS: u32 = 3;

/// Cost of placing a copy in the same rack as the slow run.
const SAME_RACK_COST: f64 = 100.0;

/// Role of a run whose task has had several runs at a time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// The task's only run.
    #[default]
    Only,
    /// The run that got a copy.
    Original,
    Copy,
}

impl Role {
    /// Name of the role in log lines.
    fn name(self) -> StaticText {
        match self {
            Self::Only => "only",
            Self::Original => "original",
            Self::Copy => "copy",
        }
    }
}

/// Number and cost of the shard's copies so far.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CopyCounts {
    pub started: u64,
    /// Copies that succeeded before the original.
    pub won: u64,
    /// Work of the runs that didn't count, in core-milliseconds.
    pub wasted_core_ms: u64,
}

/// Why a run counts as slow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// It progresses too slowly.
    Progress,
    /// Its start has not taken effect in time.
    LateStart,
    /// Its VM doesn't answer.
    Unanswered,
}

impl Cause {
    /// Name of the cause in log lines.
    fn name(self) -> StaticText {
        match self {
            Self::Progress => "the run is slow",
            Self::LateStart => "its start has not taken effect",
            Self::Unanswered => "its VM does not answer",
        }
    }
}

/// What is expected of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outlook {
    /// It ends after this time, at its present rate.
    Left(Duration),
    /// Its start was sent this long ago and has not taken effect, although the VM answers.
    NotStarted(Duration),
    /// It was working when its VM last answered, this long ago.
    Unanswered(Duration),
    /// Nothing is known yet, or its VM fell silent right after its start, perhaps because of it.
    Unknown,
}

/// Returns why a run should get a copy that takes `new_run`, and how much time that saves.
pub fn copy_gain(outlook: Outlook, new_run: Duration) -> Option<(Cause, Duration)> {
    match outlook {
        Outlook::Left(left) => Some((Cause::Progress, gain(left, START_TIME + new_run)?)),
        // When these runs end isn't known. As long as the delay has lasted, it may well last again.
        Outlook::NotStarted(ago) => {
            (ago >= super::vm_speed::START_TIMEOUT).then_some((Cause::LateStart, ago))
        }
        Outlook::Unanswered(ago) => (ago >= UNANSWERED_TIMEOUT).then_some((Cause::Unanswered, ago)),
        Outlook::Unknown => None,
    }
}

/// Times of a restart.
#[derive(Clone, Copy, Debug)]
pub struct RestartTimes {
    /// Longest time that a stop takes.
    pub stop: Duration,
    /// Time that a restore takes.
    pub restore: Duration,
    /// Work between two checkpoints.
    pub checkpoint_every: Duration,
}

/// Returns the time saved by stopping a run and starting it elsewhere, where the whole run takes
/// `new_run`; `None` if that is too little.
pub fn restart_gain(
    left: Duration,
    percent: u8,
    resume: Resume,
    new_run: Duration,
    times: &RestartTimes,
) -> Option<Duration> {
    let again = match resume {
        Resume::FromStart => new_run,
        Resume::FromCheckpoint => {
            let done = new_run.mul_f64(f64::from(percent.min(100)) / 100.0);
            let every = times.checkpoint_every.as_millis().max(1);
            let lost = Duration::from_millis((done.as_millis() % every) as u64);
            let saved = done.saturating_sub(lost);
            if saved < Duration::from_millis(1) {
                new_run
            } else {
                new_run.saturating_sub(saved) + times.restore
            }
        }
    };
    gain(left, times.stop + START_TIME + again)
}

fn gain(left: Duration, otherwise: Duration) -> Option<Duration> {
    let gain = left.saturating_sub(otherwise);
    (gain >= otherwise.mul_f64(MIN_GAIN_SHARE) + MIN_GAIN).then_some(gain)
}

/// Use of a shard, which bounds the number of copies.
#[derive(Clone, Copy, Debug, Default)]
pub struct ShardUse {
    /// Running finite tasks with reserved processors.
    pub running: usize,
    /// Waiting ones that could not be placed.
    pub waiting: usize,
    /// Free millicores, and all of them.
    pub free: f64,
    pub all: f64,
}

/// Returns how many slow runs may have a copy or be restarted at a time.
pub fn max_slow_runs(shard: ShardUse) -> usize {
    if shard.free < shard.all * MIN_FREE_SHARE {
        return 0;
    }
    let most = ((shard.running as f64 * MAX_SHARE) as usize).max(MIN_SLOW_RUNS);
    most.saturating_sub(shard.waiting)
}

/// Returns whether a task may have one more run, if each of its runs may fail.
pub fn may_add_run(failed: u32, runs: usize, attempts: u32) -> bool {
    let runs = u32::try_from(runs).unwrap_or(u32::MAX);
    runs < MAX_RUNS as u32 && failed.saturating_add(runs) < attempts
}

/// A slow run and what to do about it.
#[derive(Clone, Debug)]
pub(super) struct SlowRun {
    vm: VmId,
    key: RunKey,
    cause: Cause,
    remedy: Remedy,
    gain: Duration,
    /// Expected time of a new run.
    new_run: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Remedy {
    Copy,
    Restart,
}

impl Shard {
    /// Returns the slow runs for which a copy or a restart is worth it, the greatest gain first.
    pub(super) fn slow_runs(&self) -> Vec<SlowRun> {
        let mut slow: Vec<SlowRun> = Vec::new();
        for vm in self.vms.values() {
            let runs = vm.runs.iter().filter(|(_, run)| !run.is_stopping());
            slow.extend(runs.filter_map(|(key, run)| self.slow_run(vm, *key, run)));
        }
        slow.sort_by_key(|run| std::cmp::Reverse(run.gain));
        slow
    }

    fn slow_run(&self, vm: &Vm, key: RunKey, run: &Run) -> Option<SlowRun> {
        let now = self.now.steady;
        let outlook = outlook(vm, key, run, now);
        if outlook == Outlook::Unknown {
            return None;
        }
        let task = key.task;
        let job = self.jobs.get(&task.job).filter(|job| !job.is_final())?;
        let step = job.step(task)?;
        let known = job.task(task).filter(|task| task.phase == TaskPhase::Open)?;
        if step.life != Life::Finite || step.grouping.is_gang() || self.is_suspect(task) {
            return None;
        }
        let attempts = self.terms(&job.job).attempts;
        let may_copy = allows_copies(step) && may_add_run(known.failed, known.runs.len(), attempts);
        // The expected time takes a look-up for each run of the step, so it is computed last.
        let may_restart = matches!(outlook, Outlook::Left(_)) && vm.speed.is_slow(now);
        if !may_copy && !may_restart {
            return None;
        }
        if matches!(outlook, Outlook::Left(left) if left < START_TIME + MIN_GAIN) {
            return None;
        }
        let new_run = self.new_run_time(job, task, vm)?;
        let slow =
            |cause, remedy, gain| SlowRun { vm: vm.id.clone(), key, cause, remedy, gain, new_run };
        if may_copy {
            let (cause, gain) = copy_gain(outlook, new_run)?;
            return Some(slow(cause, Remedy::Copy, gain));
        }
        let Outlook::Left(left) = outlook else { return None };
        let restarted = known.last_run.0.saturating_sub(known.failed) >= MAX_RESTARTED_RUNS;
        let paced = step.share == Share::Leftover && run.pace != 100;
        if restarted || paced || known.runs.len() > 1 {
            return None;
        }
        let gain = restart_gain(left, run.percent, step.resume, new_run, &self.restart_times())?;
        Some(slow(Cause::Progress, Remedy::Restart, gain))
    }

    fn restart_times(&self) -> RestartTimes {
        RestartTimes {
            stop: self.settings.stop_timeout,
            restore: self.settings.restore,
            checkpoint_every: self.settings.checkpoint_every,
        }
    }

    /// Returns the time that a new run of a task would take on another VM. Without other runs of the
    /// step, it is known only if the VM is slow: the step itself may take long.
    fn new_run_time(&self, job: &JobRun, task: TaskRef, vm: &Vm) -> Option<Duration> {
        use super::vm_speed::ExpectedTime;
        match self.expected_time(job, task, &vm.id) {
            ExpectedTime::Compared(time) => Some(time),
            ExpectedTime::Pending => Some(self.step_time(job, usize::from(task.step), None))
                .filter(|_| vm.speed.is_slow(self.now.steady)),
            ExpectedTime::Learned { time, .. } => {
                let now = self.now.steady;
                (vm.speed.is_slow(now) || !vm.is_responsive(now)).then_some(time)
            }
        }
    }

    /// Starts copies of slow runs, and stops those that are to start again elsewhere.
    pub(super) fn relieve_slow_runs(&mut self, slow: Vec<SlowRun>, pass: &mut SchedulePass) {
        if slow.is_empty() {
            return;
        }
        let most = max_slow_runs(self.shard_use(pass));
        let mut present = self.relieved_runs();
        for run in slow {
            if present >= most {
                return;
            }
            let known = self.vms.get(&run.vm).and_then(|vm| vm.runs.get(&run.key));
            if known.is_none_or(Run::is_stopping) {
                // The same pass has moved or dropped it.
                continue;
            }
            let Some(choice) = self.choose_other_room(&run, &pass.rooms) else { continue };
            let room = &mut pass.rooms[choice];
            match run.remedy {
                Remedy::Copy => self.start_copy(&run, room),
                Remedy::Restart => self.restart(&run, room),
            }
            present += 1;
        }
    }

    fn shard_use(&self, pass: &SchedulePass) -> ShardUse {
        let tells = |key: &RunKey| {
            let step = self.jobs.get(&key.task.job).and_then(|job| job.step(key.task));
            step.is_some_and(tells_speed)
        };
        let running = self.vms.values().flat_map(|vm| vm.runs.keys()).filter(|key| tells(key));
        ShardUse {
            running: running.count(),
            waiting: self.count_reserved_waiting(Life::Finite),
            free: pass.rooms.iter().map(|room| f64::from(room.free.milli_cores.0)).sum(),
            all: pass.rooms.iter().map(VmCapacity::milli_cores).sum(),
        }
    }

    /// Counts the slow runs that have a copy or are being stopped to be restarted.
    fn relieved_runs(&self) -> usize {
        let runs = self.vms.values().flat_map(|vm| vm.runs.values());
        runs.filter(|run| run.role == Role::Copy || run.restarts == Restarts::Yes).count()
    }

    /// Selects a VM that isn't slow, other than those of the task's runs and in another rack if
    /// there is one.
    fn choose_other_room(&self, slow: &SlowRun, rooms: &[VmCapacity]) -> Option<usize> {
        let (task, now) = (slow.key.task, self.now.steady);
        let job = self.jobs.get(&task.job)?;
        let step = job.step(task)?;
        let known = job.task(task)?;
        let image = job.image(task);
        let rack = self.vms.get(&slow.vm).map(|vm| vm.entry.rack.clone());
        let permits = self.permits_of(task);
        let requirements = job.requirements(task)?;
        let fits = |room: &VmCapacity| {
            room.may_run(&requirements)
                && known.runs.iter().all(|placed| placed.vm != room.vm)
                && known.failed_on.as_ref() != Some(&room.vm)
                && room.speed >= 1.0
                && room.probation == Probation::No
                && !room.is_unanswered
                && room.crash_suspects == 0
                && permits.is_none_or(|p| p.valid_permit(&room.vm, now).is_some())
        };
        let cost = |room: &VmCapacity| {
            let cost = self.cost(room, step, image, slow.new_run, Need::Normal)?;
            let same_rack = if Some(&room.rack) == rack.as_ref() { SAME_RACK_COST } else { 0.0 };
            Some(cost + same_rack + super::place::penalty(room, task.step_ref(), step, None))
        };
        let rooms = rooms.iter().enumerate().filter(|(_, room)| fits(room));
        let costs = rooms.filter_map(|(index, room)| Some((index, cost(room)?)));
        costs.min_by(|(_, a), (_, b)| a.total_cmp(b)).map(|(index, _)| index)
    }

    fn start_copy(&mut self, slow: &SlowRun, room: &mut VmCapacity) {
        let task = slow.key.task;
        let Some(job) = self.jobs.get(&task.job) else { return };
        let Some(step) = job.step(task).cloned() else { return };
        let run = Self::next_run(job, task);
        let vm = room.vm.clone();
        self.bind(task, &step, room);
        self.set_role(&slow.vm, slow.key, Role::Original);
        self.set_role(&vm, RunKey { task, run }, Role::Copy);
        self.copy_counts.started += 1;
        self.note(Note::TaskCopied {
            task,
            run,
            vm,
            slow_run: slow.key.run,
            slow_vm: slow.vm.clone(),
            reason: slow.cause.name(),
            gain_ms: Millis(slow.gain.min(MAX_LOGGED)),
            new_run_ms: Millis(slow.new_run),
        });
    }

    fn set_role(&mut self, vm: &VmId, key: RunKey, role: Role) {
        if let Some(run) = self.vms.get_mut(vm).and_then(|vm| vm.runs.get_mut(&key)) {
            run.role = role;
        }
    }

    fn restart(&mut self, slow: &SlowRun, room: &mut VmCapacity) {
        let task = slow.key.task;
        let Some(step) = self.jobs.get(&task.job).and_then(|job| job.step(task)).cloned() else {
            return;
        };
        let image: ImageIx = self.image(task);
        room.take(&step, image, task.step_ref(), &self.interference);
        let run = self.vms.get_mut(&slow.vm).and_then(|vm| vm.runs.get_mut(&slow.key));
        if let Some(run) = run {
            run.restarts = Restarts::Yes;
        }
        self.stop_run(&slow.vm, slow.key, "its VM is slow; it ends sooner on another one");
    }

    /// Drops the runs of a task that may crash its VM if their start was not sent yet, so that the
    /// task is placed as a suspect.
    pub(super) fn drop_unsent_copies(&mut self, task: TaskRef) {
        let Some(known) = self.jobs.get(&task.job).and_then(|job| job.task(task)) else { return };
        if !known.crashes.is_suspect() {
            return;
        }
        for placed in known.runs.clone() {
            let key = RunKey { task, run: placed.run };
            let run = self.vms.get(&placed.vm).and_then(|vm| vm.runs.get(&key));
            if run.is_some_and(|run| !run.may_have_been_sent()) {
                self.drop_run(&placed.vm, key);
            }
        }
    }

    /// Accounts for the end of a run whose task has had several runs at a time.
    pub(super) fn account_for_copy(&mut self, vm: &VmId, key: RunKey, run: &Run, end: CopyEnd) {
        if run.role == Role::Only {
            return;
        }
        let now = self.now.steady;
        let ran = run.running_since.map_or(Duration::ZERO, |at| now.saturating_sub(at));
        let ran_ms = u64::try_from(ran.as_millis()).unwrap_or(u64::MAX);
        let core_ms = ran_ms.saturating_mul(u64::from(run.milli_cores)) / 1000;
        if end == CopyEnd::Won {
            self.copy_counts.won += u64::from(run.role == Role::Copy);
        } else {
            self.copy_counts.wasted_core_ms += core_ms;
        }
        let (role, outcome) = (run.role.name(), end.name());
        let RunKey { task, run } = key;
        self.note(Note::CopyEnded { task, run, vm: vm.clone(), role, outcome, core_ms });
    }
}

/// Longest gain that log lines show; a run that stands still never ends.
const MAX_LOGGED: Duration = Duration::from_secs(3600);

/// Whether a run is being stopped to be started elsewhere because its VM is slow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Restarts {
    #[default]
    No,
    Yes,
}

/// How a run of a copied task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CopyEnd {
    /// It was the first to succeed.
    Won,
    Failed,
    /// It was stopped, or succeeded after another one.
    Lost,
    /// It is gone with its VM, or was never started.
    Gone,
}

impl CopyEnd {
    fn name(self) -> StaticText {
        match self {
            Self::Won => "won",
            Self::Failed => "failed",
            Self::Lost => "lost",
            Self::Gone => "gone",
        }
    }
}

fn outlook(vm: &Vm, key: RunKey, run: &Run, now: Duration) -> Outlook {
    let silent = now.saturating_sub(vm.last_heard());
    if vm.contact.failures > 0 && silent >= UNANSWERED_TIMEOUT {
        // A run that was never seen at work may have crashed its VM, and would crash another.
        let worked = !vm.running_time(key).is_zero();
        return if worked { Outlook::Unanswered(silent) } else { Outlook::Unknown };
    }
    match run.stage {
        Stage::Running => run.progress.time_left(now).map_or(Outlook::Unknown, Outlook::Left),
        // Only a poll sent later proves that the start is late: an owner that was paused handles the
        // answers to its starts long after they were sent.
        Stage::Starting { .. } if run.is_start_late(vm.last_heard()) => {
            let ago = run.sent_at.map_or(Duration::ZERO, |at| vm.last_heard().saturating_sub(at));
            Outlook::NotStarted(ago)
        }
        _ => Outlook::Unknown,
    }
}

/// Returns whether a task has used up its attempts and has no other run that may still succeed.
pub fn is_exhausted(failed: u32, attempts: u32, other_runs: usize) -> bool {
    failed >= attempts && other_runs == 0
}

/// Whether a step's tasks may have several runs at a time.
pub(super) fn allows_copies(step: &Step) -> bool {
    step.copies == Copies::Parallel && tells_speed(step)
}
