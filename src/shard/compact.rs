//! Making room on one VM for a large lasting task, where what is free lies in pieces on many.
//!
//! Lasting tasks leave no room by themselves for as long as they run. A task that fits into none of the pieces
//! would wait for all that time, so up to three smaller ones beside a piece move to other pieces. They stand still
//! for about a second, and never reserve as much as the one that they move for. The VMs that take part are
//! kept for the tasks that are to come there until they have come, or for [`KEPT_FOR`].

#[cfg(test)]
mod tests;

use super::Shard;
use super::job_run::{Place, Task};
use super::place::Pass;
use super::room::{Room, Trial};
use super::vm_run::RunKey;
use crate::ids::{ServiceName, VmId};
use crate::job::{Life, Share, Step, TaskRef};
use crate::note::{Ms, Note};
use crate::units::{MilliCores, Resources};
use std::time::Duration;

/// Time that a task waits before others move for it: lending it to another shard stops nothing.
const PATIENCE: Duration = Duration::from_millis(1000);

/// Longest time that VMs are kept for a move; a stop, two commits and a start take about one second.
const KEPT_FOR: Duration = Duration::from_secs(4);

/// Moves that go on in a shard at a time.
const MAX_MOVES: usize = 4;

/// Between two looks for moves, and the tasks that one is looked for at a time.
const LOOK_EVERY: Duration = Duration::from_millis(200);
const MAX_TRIED: usize = 8;

/// VMs that are kept for single tasks.
#[derive(Debug, Default)]
pub struct Kept {
    vms: Vec<KeptVm>,
    next_look: Duration,
}

/// A VM that is kept for a task.
#[derive(Clone, Debug)]
struct KeptVm {
    vm: VmId,
    task: TaskRef,
    /// Where the task runs until it moves; `None` if it waits.
    from: Option<VmId>,
    until: Duration,
}

impl Kept {
    /// Whether a VM is kept for a task.
    pub fn has(&self, vm: &VmId) -> bool {
        self.vms.iter().any(|kept| kept.vm == *vm)
    }

    fn has_task(&self, task: TaskRef) -> bool {
        self.vms.iter().any(|kept| kept.task == task)
    }

    fn moves(&self) -> usize {
        self.vms.iter().filter(|kept| kept.from.is_none()).count()
    }
}

/// A lasting task that may move.
#[derive(Clone, Debug)]
struct Movable {
    key: RunKey,
    size: Resources,
}

/// What moves where so that a task fits on a VM.
#[derive(Clone, Debug)]
struct Plan {
    vm: VmId,
    moved: Vec<(Movable, VmId)>,
}

impl Plan {
    /// Processors of what moves, in thousandths of a core.
    fn milli_cores(&self) -> u32 {
        self.moved.iter().map(|(movable, _)| movable.size.milli_cores.0).sum()
    }
}

impl Shard {
    /// Lets go of VMs whose task has come or will not come.
    pub(super) fn release_kept(&mut self) {
        let now = self.now.steady;
        let mut kept = std::mem::take(&mut self.kept);
        kept.vms.retain(|kept| {
            let task = self.jobs.get(&kept.task.job).filter(|job| !job.is_final());
            let task = task.and_then(|job| job.task(kept.task));
            let is_to_come = task.is_some_and(|task| {
                let leaves = |place: &Place| kept.from.as_ref() == Some(&place.vm);
                task.is_waiting() || (!task.runs.is_empty() && task.runs.iter().all(leaves))
            });
            is_to_come && now < kept.until
        });
        self.kept = kept;
    }

    /// Binds tasks to the VMs that are kept for them, as soon as they fit.
    pub(super) fn place_kept(&mut self, pass: &mut Pass) {
        for kept in self.kept.vms.clone() {
            let job = self.jobs.get(&kept.task.job);
            let waits = job.and_then(|job| job.task(kept.task)).is_some_and(Task::is_waiting);
            let Some(step) = job.and_then(|job| job.step(kept.task)).filter(|_| waits).cloned()
            else {
                continue;
            };
            let fits =
                |room: &&mut Room| room.vm == kept.vm && room.takes(&step, kept.task.of_step());
            if let Some(room) = pass.rooms.iter_mut().find(fits) {
                self.bind(kept.task, &step, room);
            }
        }
    }

    /// Moves small lasting tasks for large ones that have waited for long.
    pub(super) fn make_room(&mut self, waiting: &[TaskRef], pass: &Pass) {
        let now = self.now.steady;
        if now < self.kept.next_look {
            return;
        }
        self.kept.next_look = now + LOOK_EVERY;
        let movers: Vec<(TaskRef, Step)> =
            waiting.iter().filter_map(|task| Some((*task, self.needs_move(*task)?))).collect();
        for (task, step) in movers.into_iter().take(MAX_TRIED) {
            if self.kept.moves() < MAX_MOVES {
                self.make_room_for(task, &step, pass);
            }
        }
    }

    /// The step of a task that has waited long enough for others to move.
    fn needs_move(&self, task: TaskRef) -> Option<Step> {
        let job = self.jobs.get(&task.job)?;
        let step = job.step(task).filter(|step| is_free(step))?;
        let known = job.task(task).filter(|task| task.is_waiting())?;
        let waited = self.now.steady.saturating_sub(known.away_since?);
        let needs = waited >= PATIENCE && !self.kept.has_task(task);
        (needs && self.permits_of(task).is_none()).then(|| step.clone())
    }

    fn make_room_for(&mut self, task: TaskRef, step: &Step, pass: &Pass) {
        let Some(job) = self.jobs.get(&task.job) else { return };
        let since = job.task(task).and_then(|task| task.away_since);
        let waited = since.map_or(Duration::ZERO, |at| self.now.steady.saturating_sub(at));
        let rooms = self.rooms_for_moves(&pass.rooms, &job.job.service);
        let Some(plan) = self.plan(task, step, &rooms) else { return };
        self.note(Note::RoomPlanned {
            task,
            vm: plan.vm.clone(),
            milli_cores: step.size.milli_cores.0,
            waited_ms: Ms(waited),
            moved: plan.moved.len(),
            moved_milli_cores: plan.milli_cores(),
        });
        self.carry_out(task, plan);
    }

    fn carry_out(&mut self, task: TaskRef, plan: Plan) {
        let until = self.now.steady + KEPT_FOR;
        for (movable, target) in plan.moved {
            let task = movable.key.task;
            let from = Some(plan.vm.clone());
            self.kept.vms.push(KeptVm { vm: target, task, from, until });
            self.stop_run(&plan.vm, movable.key, "it makes room for a larger one");
        }
        self.kept.vms.push(KeptVm { vm: plan.vm, task, from: None, until });
    }

    /// VMs that may take part in a move.
    fn rooms_for_moves<'a>(&self, rooms: &'a [Room], service: &ServiceName) -> Vec<&'a Room> {
        let free = |room: &&Room| {
            room.service == *service
                && room.trial == Trial::No
                && !room.closes
                && room.suspects == 0
                && !self.kept.has(&room.vm)
        };
        rooms.iter().filter(free).collect()
    }

    /// The plan that moves least.
    fn plan(&self, task: TaskRef, step: &Step, rooms: &[&Room]) -> Option<Plan> {
        if rooms.iter().any(|room| room.could_take(step, task.of_step())) {
            // Short work is in the way, and ends.
            return None;
        }
        let pieces: Vec<(&VmId, Resources)> =
            rooms.iter().map(|room| (&room.vm, room.beside_lasting())).collect();
        let most = pieces.iter().map(|(_, room)| room.milli_cores).max()?;
        let plans = rooms.iter().filter_map(|room| {
            let movable = self.movable(room, step, most);
            plan_on(&room.vm, step.reserved(), room.beside_lasting(), &movable, &pieces)
        });
        plans.min_by_key(Plan::milli_cores)
    }

    /// Lasting tasks on a VM that may move for a larger one, where no piece has more than the most.
    fn movable(&self, room: &Room, larger: &Step, most: MilliCores) -> Vec<Movable> {
        let Some(vm) = self.vms.get(&room.vm) else { return Vec::new() };
        let may_move = |(key, run): (&RunKey, &super::vm_run::Run)| {
            let job = self.jobs.get(&key.task.job).filter(|job| !job.is_final())?;
            let step = job.step(key.task).filter(|step| is_free(step))?;
            let cores = step.size.milli_cores;
            let smaller = cores < larger.size.milli_cores && cores <= most;
            let moves = run.is_running()
                && smaller
                && step.max_away.is_none()
                && self.permits_of(key.task).is_none();
            moves.then(|| Movable { key: *key, size: step.reserved() })
        };
        vm.runs.iter().filter_map(may_move).collect()
    }
}

/// Whether a lasting task may go to any VM by itself.
fn is_free(step: &Step) -> bool {
    step.life == Life::Lasting
        && step.share == Share::Reserved
        && step.label.is_none()
        && step.rack.is_none()
        && step.per_vm == 0
        && !step.members.as_one()
        && !step.members.one_rack()
}

/// The least of a VM's tasks that have to move to others for a task of the size to fit there.
fn plan_on(
    vm: &VmId,
    size: Resources,
    room: Resources,
    movable: &[Movable],
    pieces: &[(&VmId, Resources)],
) -> Option<Plan> {
    let plan = |moved: Vec<&Movable>| {
        let freed = moved.iter().fold(room, |sum, movable| sum.saturating_add(&movable.size));
        if !size.fits_in(&freed) {
            return None;
        }
        let plan = Plan { vm: vm.clone(), moved: targets(vm, &moved, pieces)? };
        (plan.milli_cores() < size.milli_cores.0).then_some(plan)
    };
    groups(movable).into_iter().filter_map(plan).min_by_key(Plan::milli_cores)
}

/// Each one, two and three of the tasks.
fn groups(movable: &[Movable]) -> Vec<Vec<&Movable>> {
    let mut groups = Vec::new();
    for (index, first) in movable.iter().enumerate() {
        groups.push(vec![first]);
        let after = &movable[index + 1..];
        for (index, second) in after.iter().enumerate() {
            groups.push(vec![first, second]);
            groups.extend(after[index + 1..].iter().map(|third| vec![first, second, third]));
        }
    }
    groups
}

/// A VM of its own for each task, the fullest in which it fits.
fn targets(
    from: &VmId,
    moved: &[&Movable],
    pieces: &[(&VmId, Resources)],
) -> Option<Vec<(Movable, VmId)>> {
    let mut found: Vec<(Movable, VmId)> = Vec::new();
    for movable in moved {
        let fits = |(vm, room): &&(&VmId, Resources)| {
            let is_free = *vm != from && found.iter().all(|(_, taken)| taken != *vm);
            is_free && movable.size.fits_in(room)
        };
        let (vm, _) = pieces.iter().filter(fits).min_by_key(|(_, room)| room.milli_cores)?;
        found.push(((*movable).clone(), (*vm).clone()));
    }
    Some(found)
}
