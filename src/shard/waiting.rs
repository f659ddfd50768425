//! Log reports of tasks that wait: for room, and whether there is room in this shard, elsewhere or
//! nowhere, or for the trial run of another task.

use super::Shard;
use super::job_run::{JobRun, Task};
use super::order::waiting;
use super::room::VmCapacity;
use super::vm_run::Vm;
use crate::job::{Life, Share, Step, TaskRef};
use crate::note::{Millis, Note, StaticText};
use crate::units::Resources;
use std::time::Duration;

/// Waiting tasks of one kind, with the number that fit somewhere.
#[derive(Default)]
struct Tally {
    tasks: usize,
    oldest: Duration,
    fit_here: usize,
    fit_elsewhere: usize,
    fit_later: usize,
    min_milli_cores: Option<u32>,
    least_mib: Option<u32>,
    max_milli_cores: u32,
}

impl Shard {
    /// Logs the long-running tasks that wait for room.
    pub(super) fn report_waiting(&mut self) {
        let rooms: Vec<VmCapacity> = self.vms.values().filter_map(|vm| self.room(vm)).collect();
        let tally = self.tally_long_running(&rooms);
        if tally.tasks == 0 {
            return;
        }
        let closed = self.vms.values().filter(|vm| vm.leaving.is_none() && self.room(vm).is_none());
        let closed: Vec<u32> = closed.map(|vm| vm.free().milli_cores.0).collect();
        let largest = rooms.iter().max_by_key(|room| room.free.milli_cores);
        let free = largest.map_or(Resources::ZERO, |room| room.free);
        let on_largest = largest.and_then(|room| self.vms.get(&room.vm));
        let leftover = on_largest.map_or(Resources::ZERO, leftover_on);
        self.note(Note::LastingWaits {
            shard: self.name.clone(),
            tasks: tally.tasks,
            oldest_ms: Millis(tally.oldest),
            fit_here: tally.fit_here,
            fit_elsewhere: tally.fit_elsewhere,
            fit_later: tally.fit_later,
            least_milli_cores: tally.min_milli_cores.unwrap_or(0),
            most_milli_cores: tally.max_milli_cores,
            least_mib: tally.least_mib.unwrap_or(0),
            largest_free_milli_cores: free.milli_cores.0,
            largest_free_mib: free.memory_mib.0,
            largest_leftover_mib: leftover.memory_mib.0,
            closed_vms: closed.len(),
            closed_free_milli_cores: closed.into_iter().max().unwrap_or(0),
        });
    }

    /// Logs the tasks that a trial run holds back.
    pub(super) fn report_held_back(&mut self) {
        let open = self.jobs.values().filter(|job| !job.is_final());
        let held: Vec<HeldBack> = open.flat_map(|job| held_back(job, self.now.steady)).collect();
        let waited = |held: &HeldBack| {
            held.since.map_or(Duration::ZERO, |at| self.now.steady.saturating_sub(at))
        };
        let Some(oldest) = held.iter().max_by_key(|held| waited(held)) else { return };
        self.note(Note::TasksHeldBack {
            shard: self.name.clone(),
            tasks: held.len(),
            oldest_ms: Millis(waited(oldest)),
            task: oldest.task,
            behind: oldest.behind,
            trial: oldest.trial,
        });
    }

    fn tally_long_running(&self, rooms: &[VmCapacity]) -> Tally {
        let mut tally = Tally::default();
        for job in self.jobs.values().filter(|job| !job.is_final()) {
            for task in waiting(job, self.now.steady) {
                let Some(step) = job.step(task) else { continue };
                if step.life == Life::Lasting && step.share == Share::Reserved {
                    let since = job.task(task).and_then(|task| task.not_running_since);
                    self.add_to_tally(task, step, since, rooms, &mut tally);
                }
            }
        }
        tally
    }

    fn add_to_tally(
        &self,
        task: TaskRef,
        step: &Step,
        since: Option<Duration>,
        rooms: &[VmCapacity],
        tally: &mut Tally,
    ) {
        let waited = since.map_or(Duration::ZERO, |at| self.now.steady.saturating_sub(at));
        tally.tasks += 1;
        tally.oldest = tally.oldest.max(waited);
        let least = tally.min_milli_cores.unwrap_or(u32::MAX);
        tally.min_milli_cores = Some(least.min(step.size.milli_cores.0));
        let least = tally.least_mib.unwrap_or(u32::MAX);
        tally.least_mib = Some(least.min(step.size.memory_mib.0));
        tally.max_milli_cores = tally.max_milli_cores.max(step.size.milli_cores.0);
        let requirements = self.jobs.get(&task.job).and_then(|job| job.requirements(task));
        let here = |room: &VmCapacity| requirements.as_ref().is_some_and(|task| room.may_run(task));
        let later = |room: &VmCapacity| {
            requirements.as_ref().is_some_and(|task| room.may_run_without_finite(task))
        };
        if rooms.iter().any(here) {
            tally.fit_here += 1;
        } else if self.fits_elsewhere(task.job, step) {
            tally.fit_elsewhere += 1;
        } else if rooms.iter().any(later) {
            tally.fit_later += 1;
        }
    }
}

/// A waiting task that a trial run of another one holds back.
struct HeldBack {
    task: TaskRef,
    since: Option<Duration>,
    behind: TaskRef,
    /// Where the trial run is.
    trial: StaticText,
}

/// Returns the waiting tasks of a job that a trial run holds back.
fn held_back(job: &JobRun, now: Duration) -> Vec<HeldBack> {
    let mut held = Vec::new();
    for occurrence in &job.open_occurrences {
        for (number, step) in occurrence.steps.iter().enumerate() {
            let waiting = step.tasks.iter().enumerate().filter(|(_, task)| task.is_waiting());
            held.extend(waiting.filter_map(|(index, task)| {
                let trial = step.trial_before(index, now)?;
                Some(HeldBack {
                    task: job.task_ref(occurrence.number, number, index),
                    since: task.waiting_since(),
                    behind: job.task_ref(occurrence.number, number, trial),
                    trial: trial_stage(step.tasks.get(trial)?),
                })
            }));
        }
    }
    held
}

fn trial_stage(task: &Task) -> StaticText {
    match (&task.lent, task.is_waiting()) {
        (Some(_), _) => "lent",
        (None, true) => "waiting",
        (None, false) => "placed",
    }
}

/// Returns the resources reserved by leftover work on a VM.
fn leftover_on(vm: &Vm) -> Resources {
    let runs = vm.runs.values().filter(|run| run.share == Share::Leftover);
    runs.fold(Resources::ZERO, |sum, run| sum.saturating_add(&run.reserved))
}
