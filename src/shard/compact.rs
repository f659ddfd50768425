//! Defragmentation: makes room on one VM for a large long-running task when the free resources are
//! spread over many VMs.
//!
//! Long-running tasks do not free their resources for as long as they run, and a task that fits on
//! no VM would wait all that time. To make room for it, up to three smaller tasks move from one VM
//! to others. They are interrupted for about a second, and together they always reserve less CPU
//! than the task that they move for. The VMs involved are reserved for the tasks that are to be
//! placed there until these are placed, or for [`RESERVATION_TIMEOUT`].

#[cfg(test)]
mod tests;

use super::Shard;
use super::job_run::{PlacedRun, Task};
use super::place::SchedulePass;
use super::room::{Probation, VmCapacity};
use super::vm_run::RunKey;
use crate::ids::{ServiceName, VmId};
use crate::job::{Life, Share, Step, TaskRef};
use crate::note::{Millis, Note};
use crate::units::{MilliCores, Resources};
use std::time::Duration;

/// Time that a task waits before others move for it. Lending it to another shard is tried first,
/// since that interrupts no other task.
const MOVE_DELAY: Duration = Duration::from_millis(1000);

/// Longest time that VMs are reserved for a move; a stop, two commits and a start take about one
/// second.
const RESERVATION_TIMEOUT: Duration = Duration::from_secs(4);

/// Maximum number of concurrent moves in a shard.
const MAX_CONCURRENT_MOVES: usize = 4;

/// Interval between checks for moves.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum number of tasks for which a move is sought in one check.
const MAX_TASKS_PER_CHECK: usize = 8;

/// VMs that are reserved for specific tasks.
#[derive(Debug, Default)]
pub struct Reservations {
    vms: Vec<ReservedVm>,
    next_check: Duration,
    /// Task for which a move was sought last.
    last_checked: Option<TaskRef>,
}

/// A VM that is reserved for a task.
#[derive(Clone, Debug)]
struct ReservedVm {
    vm: VmId,
    task: TaskRef,
    /// VM that the task runs on until it moves; `None` if the task is waiting.
    from: Option<VmId>,
    until: Duration,
}

impl Reservations {
    /// Returns whether a VM is reserved for a task.
    pub fn is_reserved(&self, vm: &VmId) -> bool {
        self.vms.iter().any(|reserved| reserved.vm == *vm)
    }

    fn has_task(&self, task: TaskRef) -> bool {
        self.vms.iter().any(|reserved| reserved.task == task)
    }

    /// Leaves the tasks of the next check: those after the last one checked, so that tasks for which
    /// nothing can move don't keep others from being checked.
    fn skip_checked(&self, tasks: &mut Vec<TaskRef>) {
        let last = tasks.iter().position(|task| Some(*task) == self.last_checked);
        tasks.rotate_left(last.map_or(0, |last| last + 1));
        tasks.truncate(MAX_TASKS_PER_CHECK);
    }

    fn moves(&self) -> usize {
        self.vms.iter().filter(|reserved| reserved.from.is_none()).count()
    }
}

/// A long-running task that may move.
#[derive(Clone, Debug)]
struct MovableTask {
    key: RunKey,
    size: Resources,
}

/// The moves to other VMs that make a task fit on a VM.
#[derive(Clone, Debug)]
struct MovePlan {
    vm: VmId,
    moved: Vec<(MovableTask, VmId)>,
}

impl MovePlan {
    /// Total milli-cores of the tasks that move.
    fn milli_cores(&self) -> u32 {
        self.moved.iter().map(|(movable, _)| movable.size.milli_cores.0).sum()
    }
}

impl Shard {
    /// Releases VMs whose task has been placed or will not be placed there any more.
    pub(super) fn release_reservations(&mut self) {
        let now = self.now.steady;
        let mut reservations = std::mem::take(&mut self.reservations);
        reservations.vms.retain(|reserved| {
            let task = self.jobs.get(&reserved.task.job).filter(|job| !job.is_final());
            let task = task.and_then(|job| job.task(reserved.task));
            let is_pending = task.is_some_and(|task| {
                let leaves = |placed: &PlacedRun| reserved.from.as_ref() == Some(&placed.vm);
                task.is_waiting() || (!task.runs.is_empty() && task.runs.iter().all(leaves))
            });
            is_pending && now < reserved.until
        });
        self.reservations = reservations;
    }

    /// Binds tasks to the VMs that are reserved for them as soon as they fit.
    pub(super) fn place_reserved(&mut self, pass: &mut SchedulePass) {
        for reserved in self.reservations.vms.clone() {
            let job = self.jobs.get(&reserved.task.job);
            let waits = job.and_then(|job| job.task(reserved.task)).is_some_and(Task::is_waiting);
            let Some(step) = job.and_then(|job| job.step(reserved.task)).filter(|_| waits).cloned()
            else {
                continue;
            };
            let fits = |room: &&mut VmCapacity| {
                room.vm == reserved.vm && room.takes(&step, reserved.task.step_ref())
            };
            if let Some(room) = pass.rooms.iter_mut().find(fits) {
                self.bind(reserved.task, &step, room);
            }
        }
    }

    /// Moves smaller long-running tasks for larger ones that have waited long enough.
    pub(super) fn plan_moves(&mut self, waiting: &[TaskRef], pass: &SchedulePass) {
        let now = self.now.steady;
        if now < self.reservations.next_check {
            return;
        }
        self.reservations.next_check = now + CHECK_INTERVAL;
        let mut candidates: Vec<TaskRef> = waiting.to_vec();
        candidates.retain(|task| self.step_needing_room(*task).is_some());
        if candidates.len() > MAX_TASKS_PER_CHECK {
            self.reservations.skip_checked(&mut candidates);
        }
        for task in candidates {
            let Some(step) = self.step_needing_room(task).cloned() else { continue };
            if self.reservations.moves() < MAX_CONCURRENT_MOVES {
                self.plan_moves_for(task, &step, pass);
                self.reservations.last_checked = Some(task);
            }
        }
    }

    /// Returns the step of a task that has waited long enough for others to move.
    fn step_needing_room(&self, task: TaskRef) -> Option<&Step> {
        let job = self.jobs.get(&task.job)?;
        let step = job.step(task).filter(|step| can_run_anywhere(step))?;
        let known = job.task(task).filter(|task| task.is_waiting())?;
        let waited = self.now.steady.saturating_sub(known.not_running_since?);
        let needs = waited >= MOVE_DELAY && !self.reservations.has_task(task);
        (needs && self.permits_of(task).is_none()).then_some(step)
    }

    fn plan_moves_for(&mut self, task: TaskRef, step: &Step, pass: &SchedulePass) {
        let Some(job) = self.jobs.get(&task.job) else { return };
        let since = job.task(task).and_then(|task| task.not_running_since);
        let waited = since.map_or(Duration::ZERO, |at| self.now.steady.saturating_sub(at));
        let rooms = self.eligible_rooms(&pass.rooms, &job.job.service);
        let Some(plan) = self.plan(task, step, &rooms) else { return };
        self.note(Note::RoomPlanned {
            task,
            vm: plan.vm.clone(),
            milli_cores: step.size.milli_cores.0,
            waited_ms: Millis(waited),
            moved: plan.moved.len(),
            moved_milli_cores: plan.milli_cores(),
        });
        self.execute_plan(task, plan);
    }

    fn execute_plan(&mut self, task: TaskRef, plan: MovePlan) {
        let until = self.now.steady + RESERVATION_TIMEOUT;
        for (movable, target) in plan.moved {
            let task = movable.key.task;
            let from = Some(plan.vm.clone());
            self.reservations.vms.push(ReservedVm { vm: target, task, from, until });
            self.stop_run(&plan.vm, movable.key, "it makes room for a larger task");
        }
        self.reservations.vms.push(ReservedVm { vm: plan.vm, task, from: None, until });
    }

    /// Returns the VMs that may take part in a move.
    fn eligible_rooms<'a>(
        &self,
        rooms: &'a [VmCapacity],
        service: &ServiceName,
    ) -> Vec<&'a VmCapacity> {
        let free = |room: &&VmCapacity| {
            room.service == *service
                && room.probation == Probation::No
                && !room.drains_soon
                && !room.is_unanswered
                && room.crash_suspects == 0
                && !self.reservations.is_reserved(&room.vm)
        };
        rooms.iter().filter(free).collect()
    }

    /// Returns the plan that moves the fewest milli-cores.
    fn plan(&self, task: TaskRef, step: &Step, rooms: &[&VmCapacity]) -> Option<MovePlan> {
        if rooms.iter().any(|room| room.fits_without_finite(step, task.step_ref())) {
            // Only short tasks are in the way, and they end soon.
            return None;
        }
        let free_by_vm: Vec<(&VmId, Resources)> =
            rooms.iter().map(|room| (&room.vm, room.capacity_beside_long_running())).collect();
        let most = free_by_vm.iter().map(|(_, room)| room.milli_cores).max()?;
        let plans = rooms.iter().filter_map(|room| {
            let movable = self.movable(room, step, most);
            plan_for_vm(
                &room.vm,
                step.reserved_resources(),
                room.capacity_beside_long_running(),
                &movable,
                &free_by_vm,
            )
        });
        plans.min_by_key(MovePlan::milli_cores)
    }

    /// Returns the long-running tasks on a VM that may move for a larger one. `most` is the largest
    /// free room on any VM, which a task must fit in.
    fn movable(&self, room: &VmCapacity, larger: &Step, most: MilliCores) -> Vec<MovableTask> {
        let Some(vm) = self.vms.get(&room.vm) else { return Vec::new() };
        let may_move = |(key, run): (&RunKey, &super::vm_run::Run)| {
            let job = self.jobs.get(&key.task.job).filter(|job| !job.is_final())?;
            let step = job.step(key.task).filter(|step| can_run_anywhere(step))?;
            let cores = step.size.milli_cores;
            let smaller = cores < larger.size.milli_cores && cores <= most;
            let moves = run.is_running()
                && smaller
                && step.max_away.is_none()
                && self.permits_of(key.task).is_none();
            moves.then(|| MovableTask { key: *key, size: step.reserved_resources() })
        };
        vm.runs.iter().filter_map(may_move).collect()
    }
}

/// Returns whether a step has long-running tasks that may be placed on any VM independently.
fn can_run_anywhere(step: &Step) -> bool {
    step.life == Life::Lasting
        && step.share == Share::Reserved
        && step.label.is_none()
        && step.rack.is_none()
        && step.per_vm == 0
        && !step.grouping.is_gang()
        && !step.grouping.prefers_one_rack()
}

/// Returns the plan that moves the fewest milli-cores off a VM so that a task of `size` fits there.
fn plan_for_vm(
    vm: &VmId,
    size: Resources,
    room: Resources,
    movable: &[MovableTask],
    free_by_vm: &[(&VmId, Resources)],
) -> Option<MovePlan> {
    let plan = |moved: Vec<&MovableTask>| {
        let freed = moved.iter().fold(room, |sum, movable| sum.saturating_add(&movable.size));
        if !size.fits_in(&freed) {
            return None;
        }
        let plan = MovePlan { vm: vm.clone(), moved: choose_targets(vm, &moved, free_by_vm)? };
        (plan.milli_cores() < size.milli_cores.0).then_some(plan)
    };
    combinations(movable).into_iter().filter_map(plan).min_by_key(MovePlan::milli_cores)
}

/// Returns all combinations of one, two or three tasks.
fn combinations(movable: &[MovableTask]) -> Vec<Vec<&MovableTask>> {
    let mut combinations = Vec::new();
    for (index, first) in movable.iter().enumerate() {
        combinations.push(vec![first]);
        let after = &movable[index + 1..];
        for (index, second) in after.iter().enumerate() {
            combinations.push(vec![first, second]);
            combinations.extend(after[index + 1..].iter().map(|third| vec![first, second, third]));
        }
    }
    combinations
}

/// Chooses a separate VM for each task: the one with the least free CPU on which it fits.
fn choose_targets(
    from: &VmId,
    moved: &[&MovableTask],
    free_by_vm: &[(&VmId, Resources)],
) -> Option<Vec<(MovableTask, VmId)>> {
    let mut found: Vec<(MovableTask, VmId)> = Vec::new();
    for movable in moved {
        let fits = |(vm, room): &&(&VmId, Resources)| {
            let is_unused = *vm != from && found.iter().all(|(_, taken)| taken != *vm);
            is_unused && movable.size.fits_in(room)
        };
        let (vm, _) = free_by_vm.iter().filter(fits).min_by_key(|(_, room)| room.milli_cores)?;
        found.push(((*movable).clone(), (*vm).clone()));
    }
    Some(found)
}
