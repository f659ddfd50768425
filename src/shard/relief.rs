//! Slows down leftover work where it would push a serving task's tail latency over its target.
//!
//! For each VM, [`paces`] computes how fast each leftover task may run so that the loss to the
//! serving tasks stays below the value of the work. When a task has been over its target for a
//! while, all its neighbours are stopped until it recovers, regardless of the estimates: estimates
//! may be wrong, measured tails aren't.

mod paces;
#[cfg(test)]
mod tests;

use super::Shard;
use super::event::Action;
use super::interference::{ImageIx, TARGET_SHARE};
use super::moving::SLOW_PACE;
use super::vm_run::{RunKey, Vm};
use crate::job::{Image, Job, Share, TaskRef};
use crate::note::Note;
use crate::vm::PaceReq;
use std::time::Duration;

/// Part of the time that counts as harm in which neighbours that are to be stopped keep running, beside
/// the time of two polls, of which one may fail: until their VM has measured the tail, until an owner
/// without CPU to spare has handled the answer, and until the command takes effect.
const REACTION_TIME: Duration = Duration::from_millis(1100);

/// Shortest time over its target after which a serving task's neighbours are stopped.
const MIN_STOP_TIME: Duration = Duration::from_millis(500);

/// Times over its target after which a serving task's neighbours are stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct StopTimes {
    /// Heavy neighbours are stopped.
    pub heavy: Duration,
    /// All neighbours are stopped.
    pub all: Duration,
}

impl StopTimes {
    /// The times by which no task is over its target for `harm` on account of its neighbours if its VM
    /// answers polls every `poll_gap`.
    pub fn new(harm: Duration, poll_gap: Duration) -> Self {
        let all = harm.saturating_sub(REACTION_TIME + 2 * poll_gap).max(MIN_STOP_TIME);
        Self { heavy: all * 2 / 3, all }
    }
}

/// Amount from which a pair counts as heavy; lies between the two groups of measured amounts.
const HEAVY: f64 = 0.6;

/// Smallest pace change in percent for which a command is sent.
const MIN_PACE_CHANGE: u8 = 8;

/// Largest pace increase in percent per command, so that an own load that was estimated too low is
/// noticed at the next poll before the neighbours run at full speed again.
const MAX_PACE_INCREASE: u8 = 34;

/// Time that a measurement covers.
pub(super) const MEASUREMENT_WINDOW: Duration = Duration::from_millis(500);

/// Time from a poll to the middle of the half second for which its commands apply.
const FORECAST_HORIZON: Duration = Duration::from_millis(350);

/// Load reserved for changes that the forecast misses.
const LOAD_MARGIN: f64 = 0.02;

/// A leftover task that may be slowed down.
struct Neighbour {
    key: RunKey,
    image: ImageIx,
    /// Share of the VM's processors that the task uses at full speed.
    full: f64,
    pace: u8,
    target_pace: f64,
}

/// A serving task that may be harmed.
#[derive(Clone)]
struct ServingTask {
    task: TaskRef,
    image: ImageIx,
    own: f64,
    /// Standard error of `own`.
    deviation: f64,
    bound: f64,
    over: Duration,
    tail_ms: u32,
    target_ms: u32,
}

impl Shard {
    /// Adjusts the paces of the leftover work on a VM.
    pub(super) fn adjust_paces(&mut self, id: &crate::ids::VmId) {
        let Some(vm) = self.vms.get(id) else { return };
        let mut neighbours = self.neighbours(vm);
        if neighbours.is_empty() {
            return;
        }
        let served = self.serving_tasks(vm);
        for neighbour in &mut neighbours {
            neighbour.target_pace = 1.0;
        }
        let stop_times = StopTimes::new(self.settings.harm, vm.contact.poll_gap);
        let worst = paces::choose_paces(&mut neighbours, &served, &self.interference, stop_times);
        for neighbour in &neighbours {
            self.send_pace(id, neighbour, worst.map(|index| &served[index]));
        }
    }

    fn neighbours(&self, vm: &Vm) -> Vec<Neighbour> {
        let size = f64::from(vm.entry.size.milli_cores.0).max(1.0);
        let running = vm.runs.iter().filter(|(_, run)| {
            run.share == Share::Leftover && run.running_since.is_some() && !run.is_stopping()
        });
        running
            .map(|(key, run)| {
                let demand = f64::from(run.milli_cores);
                // The usage of a slowed task doesn't tell what it would use at full speed.
                let used = f64::from(run.measurement);
                let full = if run.pace == 100 && used > 0.0 { used.min(demand) } else { demand };
                Neighbour {
                    key: *key,
                    image: self.image(key.task),
                    full: full / size,
                    pace: run.pace,
                    target_pace: 1.0,
                }
            })
            .collect()
    }

    fn serving_tasks(&self, vm: &Vm) -> Vec<ServingTask> {
        let now = self.now.steady;
        let served = |(key, run): (&RunKey, &super::vm_run::Run)| {
            let job = self.jobs.get(&key.task.job)?;
            let target = job.step(key.task)?.tail_target?;
            let load = job.step_run(key.task)?.load.as_ref()?;
            let serving = &run.serving;
            Some(ServingTask {
                task: key.task,
                image: self.image(key.task),
                own: load.forecast(now, FORECAST_HORIZON) + LOAD_MARGIN,
                deviation: load.deviation(now, FORECAST_HORIZON),
                bound: load.load_at_target_share(TARGET_SHARE),
                over: serving.time_over(now),
                tail_ms: run.measurement,
                target_ms: u32::try_from(target.as_millis()).unwrap_or(u32::MAX),
            })
        };
        vm.runs.iter().filter_map(served).collect()
    }

    /// Returns the index of a task's image.
    pub(super) fn image(&self, task: TaskRef) -> ImageIx {
        self.jobs.get(&task.job).map_or_else(ImageIx::default, |job| job.image(task))
    }

    /// Returns the image indexes of a job's steps. Steps without an image use the queue's name as
    /// one, since they behave like other work of their queue.
    pub(super) fn images_of(&mut self, job: &Job) -> Vec<ImageIx> {
        let queue = Image::new(job.queue.as_str());
        let images = job.steps.iter().map(|step| step.image.as_ref().unwrap_or(&queue));
        images.map(|image| self.interference.number(image)).collect()
    }

    /// Whether no tail has been measured yet with a run's present pace.
    fn is_pace_settling(&self, id: &crate::ids::VmId, key: &RunKey) -> bool {
        let run = self.vms.get(id).and_then(|vm| vm.runs.get(key));
        let paced_at = run.and_then(|run| run.paced_at);
        let settled = self.settings.pace_delay + MEASUREMENT_WINDOW;
        paced_at.is_some_and(|at| self.now.steady.saturating_sub(at) < settled)
    }

    fn send_pace(
        &mut self,
        id: &crate::ids::VmId,
        neighbour: &Neighbour,
        victim: Option<&ServingTask>,
    ) {
        let target_pace = (neighbour.target_pace * 100.0).round().clamp(0.0, 100.0) as u8;
        let before = neighbour.pace;
        let known = before <= 100;
        let percent = if known {
            target_pace.min(before.saturating_add(MAX_PACE_INCREASE))
        } else {
            target_pace
        };
        if known && percent > before && self.is_pace_settling(id, &neighbour.key) {
            return;
        }
        let small = known && percent.abs_diff(before) < MIN_PACE_CHANGE;
        let reaches_end = percent != before && (percent == 100 || percent == 0);
        if small && !reaches_end {
            return;
        }
        let now = self.now.steady;
        let Some(vm) = self.vms.get_mut(id) else { return };
        let addr = vm.addr();
        let Some(run) = vm.runs.get_mut(&neighbour.key) else { return };
        run.pace = percent;
        run.paced_at = Some(now);
        run.slowed = (percent <= SLOW_PACE).then(|| run.slowed.unwrap_or(now));
        let RunKey { task, run } = neighbour.key;
        let req = PaceReq { fence: self.fence, task, run, percent };
        self.actions.push(Action::Pace { vm: addr, req });
        self.note(Note::TaskPaced {
            task,
            run,
            vm: id.clone(),
            percent,
            victim: victim.map_or(task, |served| served.task),
            tail_ms: victim.map_or(0, |served| served.tail_ms),
            target_ms: victim.map_or(0, |served| served.target_ms),
        });
    }
}
