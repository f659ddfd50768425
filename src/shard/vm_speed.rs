//! Speed of a VM, learned from the progress of its runs.
//!
//! Load: tasks of 0.5 s to a few seconds, polled about every 400 ms. At any time a few VMs run at a
//! fraction of their speed, stand still, or carry out orders seconds late, each for some seconds. A
//! job waits for its slowest run, so one such VM delays every step that has a task there.
//!
//! A poll tells each run's percentage of work done. The progress since the previous poll is
//! compared with that of the step's other runs on other VMs, since in some steps all tasks take
//! several times as long as usual. Without such runs it is compared with the learned run time,
//! which is weaker evidence. The evidence decays within seconds, so that a VM that was slow is
//! tried again.

#[cfg(test)]
mod tests;

use super::Shard;
use super::job_run::JobRun;
use super::vm_run::{Run, RunKey};
use crate::duration;
use crate::ids::VmId;
use crate::job::{Life, Share, Step, TaskRef};
use crate::note::Note;
use crate::vm::VmTime;
use std::time::Duration;

/// Shortest time over which progress is measured; percentages are whole numbers, and polls return
/// early when a run ends.
const MIN_WINDOW: Duration = Duration::from_millis(200);

/// Share of a run's expected time over which progress is measured at least. Without it, the first
/// percent of a task of a minute took longer than a poll, and its VM seemed to stand still.
const MIN_WINDOW_SHARE: f64 = 0.1;

/// Share of the expected progress below which a run counts against its VM. Run times of one step
/// differ by a third at most.
const SLOW_SHARE: f64 = 0.5;

/// Number of standard deviations by which a run must also be behind the learned run time, if no
/// other run of its step can be compared.
const LEARNED_DEVIATIONS: f64 = 2.0;

/// Time constant with which evidence decays.
const DECAY: Duration = Duration::from_secs(2);

/// Weight of a comparison with other runs of the step, of one with the learned run time, and of a
/// start that has not taken effect in time. The second is too weak to decide alone: the whole step
/// may take long.
const COMPARED_WEIGHT: f64 = 1.0;
const LEARNED_WEIGHT: f64 = 0.3;
const LATE_START_WEIGHT: f64 = 0.6;

/// Evidence from which a VM counts as slow.
const SLOW_EVIDENCE: f64 = 0.5;

/// Time from the first start command of a run after which the start is late. It allows for one lost
/// command, which is sent again after 410 ms.
pub(super) const START_TIMEOUT: Duration = Duration::from_millis(600);

/// Lowest speed that is assumed of a VM.
const MIN_SPEED: f64 = 0.05;

/// Measured progress of one run. Its readings are dated by the VM's clock: the responses of polls may
/// be handled much later, and all at once, if the owner was paused.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    /// Reading from which the next rate is measured.
    last: Option<PercentAt>,
    /// When that reading was handled here.
    handled: Duration,
    /// Percent per second between the last two readings that gave a rate.
    rate: Option<f64>,
    /// Rate of one percent between these readings, by which `rate` may be too low.
    resolution: f64,
    weighed: Weighed,
}

/// Percentage of the work done, and the VM's clock then.
#[derive(Clone, Copy, Debug)]
struct PercentAt {
    clock: VmTime,
    percent: u8,
}

/// Whether a run was already compared with the learned run time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Weighed {
    #[default]
    No,
    Yes,
}

/// Whether a reading gave a new rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reading {
    TooSoon,
    Rate,
}

impl Progress {
    /// Progress of a run that has done `percent` of its work when the VM's clock shows `clock`.
    pub fn starting(clock: VmTime, percent: u8) -> Self {
        Self { last: Some(PercentAt { clock, percent }), ..Self::default() }
    }

    /// Whether there is no reading yet.
    pub fn is_empty(&self) -> bool {
        self.last.is_none()
    }

    /// Adds a reading of a run that is expected to take `time` as a whole.
    pub fn read(&mut self, clock: VmTime, percent: u8, time: Duration, now: Duration) -> Reading {
        let window = time.mul_f64(MIN_WINDOW_SHARE).max(MIN_WINDOW);
        // The first reading is dated in the future while a checkpoint is being restored.
        let before = *self.last.get_or_insert(PercentAt { clock, percent });
        let passed = clock.0.saturating_sub(before.clock.0);
        if passed < window {
            return Reading::TooSoon;
        }
        let done = f64::from(percent.saturating_sub(before.percent));
        self.rate = Some(done / passed.as_secs_f64());
        self.resolution = 1.0 / passed.as_secs_f64();
        self.last = Some(PercentAt { clock, percent });
        self.handled = now;
        Reading::Rate
    }

    /// Percent per second between the last two readings.
    pub fn rate(&self) -> Option<f64> {
        self.rate
    }

    /// Highest rate that agrees with the last two readings, since percentages are rounded down.
    fn highest_rate(&self) -> Option<f64> {
        Some(self.rate? + self.resolution)
    }

    /// Expected time until the run ends at its present rate; `None` if the rate is unknown. A run
    /// that stands still has `Duration::MAX` left.
    pub fn time_left(&self, now: Duration) -> Option<Duration> {
        let percent_left = 100 - self.last?.percent.min(100);
        if percent_left == 0 {
            return Some(Duration::ZERO);
        }
        let left = f64::from(percent_left) / self.rate?;
        let left = Duration::try_from_secs_f64(left).unwrap_or(Duration::MAX);
        Some(left.saturating_sub(now.saturating_sub(self.handled)))
    }
}

/// Time that a run is expected to take on a sound VM.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ExpectedTime {
    /// By the other runs of its step.
    Compared(Duration),
    /// Other runs of its step will tell; none has been measured yet.
    Pending,
    /// Learned from earlier steps, with the standard deviation of the logarithm.
    Learned { time: Duration, deviation: f64 },
}

/// What a run's progress says about its VM.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Evidence {
    /// The run progresses as expected.
    Sound { weight: f64 },
    /// The run progresses at this share of the expected rate.
    Slow { share: f64, weight: f64 },
    /// A start has not taken effect in time.
    LateStart,
    /// A start has taken effect in time.
    TimelyStart,
}

/// Returns what a rate in percent per second says; `None` if there is nothing to compare it with.
pub fn weigh(rate: f64, expected: ExpectedTime) -> Option<Evidence> {
    let (time, limit, weight) = match expected {
        ExpectedTime::Compared(time) => (time, SLOW_SHARE, COMPARED_WEIGHT),
        ExpectedTime::Learned { time, deviation } => {
            (time, SLOW_SHARE * (-LEARNED_DEVIATIONS * deviation).exp(), LEARNED_WEIGHT)
        }
        ExpectedTime::Pending => return None,
    };
    let share = rate / 100.0 * time.as_secs_f64();
    Some(if share < limit { Evidence::Slow { share, weight } } else { Evidence::Sound { weight } })
}

/// Returns the expected time by other runs of the same step, from their rates in percent per
/// second: the one of the median run.
pub fn compared_time(mut rates: Vec<f64>) -> Option<Duration> {
    rates.sort_by(f64::total_cmp);
    let median = rates.get(rates.len() / 2).filter(|rate| **rate > 0.0)?;
    Some(duration::from_secs(100.0 / median))
}

/// Recent evidence on the speed of a VM.
#[derive(Clone, Copy, Debug, Default)]
pub struct VmSpeed {
    slow: f64,
    sound: f64,
    late_starts: f64,
    /// Mean share of the expected rate at which slow runs progress.
    share: f64,
    at: Duration,
}

impl VmSpeed {
    /// Adds evidence.
    pub fn add(&mut self, evidence: Evidence, now: Duration) {
        let decay = self.decay(now);
        self.slow *= decay;
        self.sound *= decay;
        self.late_starts *= decay;
        self.at = now;
        match evidence {
            Evidence::Sound { weight } => self.sound += weight,
            Evidence::Slow { share, weight } => {
                self.share = (self.share * self.slow + share * weight) / (self.slow + weight);
                self.slow += weight;
            }
            Evidence::LateStart => self.late_starts += LATE_START_WEIGHT,
            Evidence::TimelyStart => self.late_starts /= 2.0,
        }
    }

    /// Whether the VM is slow at present.
    pub fn is_slow(&self, now: Duration) -> bool {
        let decay = self.decay(now);
        let by_progress = self.slow * decay >= SLOW_EVIDENCE && self.slow > self.sound;
        by_progress || self.late_starts * decay >= SLOW_EVIDENCE
    }

    /// Estimated share of its usual speed, from 0 to 1.
    pub fn share(&self, now: Duration) -> f64 {
        if !self.is_slow(now) {
            return 1.0;
        }
        let by_progress = if self.slow > self.sound { self.share } else { SLOW_SHARE };
        by_progress.clamp(MIN_SPEED, SLOW_SHARE)
    }

    fn decay(&self, now: Duration) -> f64 {
        (-now.saturating_sub(self.at).as_secs_f64() / DECAY.as_secs_f64()).exp()
    }
}

/// Whether the runs of a step tell the speed of their VMs: gangs wait for each other, long-running
/// tasks have no end, and leftover work is slowed on purpose.
pub(super) fn tells_speed(step: &Step) -> bool {
    step.life == Life::Finite && step.share == Share::Reserved && !step.grouping.is_gang()
}

impl Shard {
    /// Adds a reading of a run that a poll lists.
    pub(super) fn read_progress(&mut self, vm: &VmId, key: RunKey) {
        let now = self.now.steady;
        let Some(job) = self.jobs.get(&key.task.job) else { return };
        if !job.step(key.task).is_some_and(|step| step.life == Life::Finite) {
            return;
        }
        let tells = job.step(key.task).is_some_and(tells_speed);
        let restores = job.task(key.task).is_some_and(|task| task.checkpoint.is_some());
        let restore = if restores { self.settings.restore } else { Duration::ZERO };
        let time = self.step_time(job, usize::from(key.task.step), job.step_run(key.task));
        let Some(known) = self.vms.get_mut(vm) else { return };
        let Some(clock) = known.clock.map(|reading| reading.clock) else { return };
        let Some(run) = known.runs.get_mut(&key) else { return };
        // A run that is being stopped makes no progress on a sound VM either.
        if run.is_stopping() {
            return;
        }
        if run.progress.is_empty() {
            // A run stands still until its checkpoint is restored.
            run.progress = Progress::starting(VmTime(clock.0 + restore), run.percent);
        }
        if run.progress.read(clock, run.percent, time, now) == Reading::TooSoon || !tells {
            return;
        }
        if run.percent >= 100 {
            // It has ended its work at an unknown moment between the two readings.
            return;
        }
        let rate = run.progress.highest_rate();
        let Some(job) = self.jobs.get(&key.task.job) else { return };
        let expected = self.expected_time(job, key.task, vm);
        let evidence = rate.and_then(|rate| weigh(rate, expected));
        let Some(evidence) = evidence else { return };
        if let ExpectedTime::Learned { .. } = expected {
            // Repeated readings of a run whose whole step takes long prove nothing new.
            // Nor do several of its runs on one VM.
            let is_slow = matches!(evidence, Evidence::Slow { .. });
            let step = key.task.step_ref();
            let of_step = |(other, run): (&RunKey, &Run)| {
                other.task.step_ref() == step && run.progress.weighed == Weighed::Yes
            };
            let counted = self.vms.get(vm).is_some_and(|vm| vm.runs.iter().any(of_step));
            if is_slow && counted {
                return;
            }
            let run = self.vms.get_mut(vm).and_then(|vm| vm.runs.get_mut(&key));
            if let Some(run) = run.filter(|_| is_slow) {
                run.progress.weighed = Weighed::Yes;
            }
        }
        self.note_speed(vm, evidence);
    }

    /// Begins to measure the progress of a run whose start a VM has answered at `clock`.
    pub(super) fn note_timely_start(&mut self, vm: &VmId, key: RunKey, clock: VmTime) {
        let now = self.now.steady;
        let Some(job) = self.jobs.get(&key.task.job) else { return };
        let restores = job.task(key.task).is_some_and(|task| task.checkpoint.is_some());
        let Some(run) = self.vms.get_mut(vm).and_then(|vm| vm.runs.get_mut(&key)) else { return };
        if run.progress.is_empty() && !restores {
            run.progress = Progress::starting(clock, 0);
        }
        if run.sent_at.is_some_and(|at| now.saturating_sub(at) < START_TIMEOUT) {
            self.note_speed(vm, Evidence::TimelyStart);
        }
    }

    /// Counts the starts against a VM that had not taken effect in time when a poll was sent at
    /// `sent`, although the VM has answered it.
    pub(super) fn note_late_starts(&mut self, vm: &VmId, sent: Duration) {
        let Some(known) = self.vms.get(vm) else { return };
        if known.runs.values().any(|run| run.is_start_late(sent)) {
            self.note_speed(vm, Evidence::LateStart);
        }
    }

    /// Counts a start against its VM that was answered and had no effect.
    pub(super) fn note_ineffective_start(&mut self, vm: &VmId, key: RunKey) {
        let run = self.vms.get(vm).and_then(|vm| vm.runs.get(&key));
        if run.is_some_and(|run| run.running_since.is_none()) {
            self.note_speed(vm, Evidence::LateStart);
        }
    }

    fn note_speed(&mut self, id: &VmId, evidence: Evidence) {
        let now = self.now.steady;
        let Some(vm) = self.vms.get_mut(id) else { return };
        let before = vm.speed.is_slow(now);
        vm.speed.add(evidence, now);
        if vm.speed.is_slow(now) == before {
            return;
        }
        let (speed_percent, runs) = ((vm.speed.share(now) * 100.0) as u32, vm.runs.len());
        let late_starts = u32::from(matches!(evidence, Evidence::LateStart));
        self.note(Note::VmSlow { vm: id.clone(), speed_percent, late_starts, runs });
    }

    /// Returns the time that a task is expected to take on a sound VM, judged without the runs on
    /// `vm`.
    pub(super) fn expected_time(&self, job: &JobRun, task: TaskRef, vm: &VmId) -> ExpectedTime {
        let number = usize::from(task.step);
        let Some(step) = job.step_run(task) else { return ExpectedTime::Pending };
        if let Some(time) = step.run_times.mean() {
            return ExpectedTime::Compared(time);
        }
        let mut rates = Vec::new();
        let mut pending = false;
        for (index, known) in step.tasks.iter().enumerate() {
            let peer = job.task_ref(task.occurrence, number, index);
            for placed in known.runs.iter().filter(|placed| placed.vm != *vm) {
                let key = RunKey { task: peer, run: placed.run };
                let run = self.vms.get(&placed.vm).and_then(|vm| vm.runs.get(&key));
                match run.and_then(|run| run.progress.rate()) {
                    Some(rate) => rates.push(rate),
                    None => pending |= run.is_some_and(|run| !run.is_stopping()),
                }
            }
        }
        match compared_time(rates) {
            Some(time) => ExpectedTime::Compared(time),
            None if pending => ExpectedTime::Pending,
            None => ExpectedTime::Learned {
                time: self.step_time(job, number, None),
                deviation: self.run_times.deviation(&job.job.queue),
            },
        }
    }
}
