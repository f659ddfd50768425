//! Placement of waiting tasks on VMs.

#[cfg(test)]
mod tests;

use super::Shard;
use super::eligibility::Requirements;
use super::interference::ImageIx;
use super::job_run::{Effect, PlacedRun};
use super::order::{Candidate, waiting};
use super::permits::PermitRequirement;
use super::room::{Hold, Probation, VmCapacity};
use super::vm_run::{Run, RunKey};
use crate::ids::{ServiceName, VmId};
use crate::job::{Job, JobId, Life, Share, Step, StepRef, TaskRef};
use crate::note::{Millis, Note};
use crate::units::Resources;
use std::time::Duration;

/// Minimum time between two scheduling passes, so that a burst of responses triggers a single pass.
const SCHEDULE_GAP: Duration = Duration::from_millis(10);

/// Minimum time between two scheduling passes while work waits for which no VM has room. A pass costs
/// the more the more work waits, and an owner without CPU to spare reacts late to its VMs.
const BACKLOG_SCHEDULE_GAP: Duration = Duration::from_millis(30);

/// Maximum time between two scheduling passes: loads change and VM quarantines end without an
/// event.
const SCHEDULE_EVERY: Duration = Duration::from_millis(100);

/// Minimum effective speed (speed reduced by the harm to serving tasks) at which a leftover task is
/// placed. Below it, waiting for running tasks to end is better: tasks placed sooner only slow each
/// other down.
pub(super) const MIN_LEFTOVER_SPEED: f64 = 0.8;

/// Weight of a leftover task's speed relative to one spare core.
const SPEED_WEIGHT: f64 = 100.0;

/// Share of a shard's processors up to which it is preferred for long-running tasks. The rest is
/// for tasks that must start immediately, which take a tenth of all processors on average.
pub(super) const PREFERRED_LONG_RUNNING_SHARE: f64 = 0.8;

/// Share of a shard's processors that long-running tasks may fill once every shard has its part. An
/// eighth of the VMs can then leave and all long-running tasks still have a place. The remaining
/// room is fragmented and hardly fits short tasks: above this limit, callers of short tasks waited
/// for room on a single VM for as long as the long-running tasks ran.
pub(super) const MAX_LONG_RUNNING_SHARE: f64 = 0.8;

/// Share of a shard's processors above which its long-running tasks count as crowded: the room on
/// each VM must then be kept for the largest task that fits there.
const CROWDED_SHARE: f64 = 0.9;

/// Costs of placing a long-running task: next to other images only, and on a VM without serving
/// tasks.
const MIXED_IMAGES_COST: f64 = 3.0;
const FIRST_SERVING_TASK_COST: f64 = 0.8;

/// Cost of placing a long-running task on a VM that must be drained soon; exceeds any cost of
/// mixing images.
const DRAINS_SOON_COST: f64 = 10.0;

/// Cost of placing leftover work on a VM without serving tasks, which is kept for work that is slow
/// everywhere else. It exceeds the spare cores of any VM but is less than half of the weight of a
/// task's speed.
const NO_SERVING_TASKS_COST: f64 = 40.0;

/// Cost of each other task of the same step on a VM; only breaks ties between similar VMs.
const SAME_STEP_COST: f64 = 0.01;

/// Costs that outweigh all others. VMs with the higher ones are used as a last resort.
const LONG_RUNNING_NEIGHBOUR_COST: f64 = 1e3;
const SUSPECT_NEIGHBOUR_COST: f64 = 5e3;
const REMOTE_DATA_COST: f64 = 1e4;
const SUSPECT_PAIR_COST: f64 = 5e4;
const PROBATION_COST: f64 = 1e5;

/// Cost of a VM that left the last poll without an answer: starts there wait for the next one.
const UNANSWERED_COST: f64 = 2e4;

/// Cost of a VM that is held for a long-running task, once the hold is overdue.
const OVERDUE_HOLD_COST: f64 = 3e4;

/// Cost of a VM that stands still; a slow one costs the share of its speed that is lost. It exceeds
/// the free cores of any VM.
const SLOW_VM_COST: f64 = 500.0;
const PREVIOUS_FAILURE_COST: f64 = 1e6;

/// Time after which a job with no running task gets one task placed regardless of its speed: to its
/// caller, a job that makes no progress at all looks lost.
const STALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// Whether a task should wait rather than run slowly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Need {
    Normal,
    /// None of the job's tasks are running, and haven't been for [`STALL_TIMEOUT`].
    Stalled,
}

/// Time after which a hold is overdue: jobs that have stalled may then start on the held VM. Within
/// it, short tasks end and make room for the long-running task that the VM is held for.
const MAX_HOLD: Duration = Duration::from_secs(2);

/// State of one scheduling pass.
pub(super) struct SchedulePass {
    pub rooms: Vec<VmCapacity>,
    /// Task shapes that could not be placed in this pass. Room only shrinks during a pass, so they
    /// aren't tried again.
    unplaceable: Vec<Shape>,
}

/// The properties that decide where a task fits, apart from the task's own history.
#[derive(Clone, Debug)]
struct Shape {
    service: ServiceName,
    image: ImageIx,
    share: Share,
    life: Life,
    size: Resources,
    /// Whether the task may run on any VM of the service.
    any_vm: AnyVm,
}

/// Whether a task is free of per-VM restrictions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnyVm {
    Yes,
    No,
}

impl Shape {
    fn of(job: &Job, step: &Step, image: ImageIx) -> Self {
        let bound = step.label.is_some() || step.per_vm > 0;
        Self {
            service: job.service.clone(),
            image,
            share: step.share,
            life: step.life,
            size: step.size,
            any_vm: if bound { AnyVm::No } else { AnyVm::Yes },
        }
    }

    /// Returns whether a task of this shape can't be placed if one of the `other` shape can't.
    fn requires_at_least(&self, other: &Self) -> bool {
        let alike = self.share == Share::Reserved || self.image == other.image;
        other.any_vm == AnyVm::Yes
            && alike
            && self.service == other.service
            && (self.share, self.life) == (other.share, other.life)
            && other.size.fits_in(&self.size)
    }
}

impl SchedulePass {
    fn is_unplaceable(&self, shape: &Shape) -> bool {
        self.unplaceable.iter().any(|unplaceable| shape.requires_at_least(unplaceable))
    }
}

impl Shard {
    /// Schedules an early pass because a waiting task may now be able to start.
    pub(super) fn request_schedule(&mut self) {
        let gap = if self.has_backlog { BACKLOG_SCHEDULE_GAP } else { SCHEDULE_GAP };
        self.next_schedule = self.next_schedule.min(self.last_schedule + gap);
    }

    /// Runs a scheduling pass if one is due, binding tasks that can start to VMs with room.
    pub(super) fn schedule(&mut self) {
        let now = self.now.steady;
        if now < self.next_schedule {
            return;
        }
        self.last_schedule = now;
        self.next_schedule = now + SCHEDULE_EVERY;
        self.release_reservations();
        self.has_backlog = false;
        let (slowed, slow) = (self.slowed(), self.slow_runs());
        let has_waiting =
            self.jobs.values().any(|job| !job.is_final() && !waiting(job, now).is_empty());
        if !has_waiting && slowed.is_empty() && slow.is_empty() {
            self.holds.clear();
            return;
        }
        let rooms = self.vms.values().filter_map(|vm| self.room(vm));
        let mut rooms: Vec<VmCapacity> = rooms.filter(|room| !room.is_refusing).collect();
        let is_crowded = self.long_running_fraction(&rooms) > CROWDED_SHARE;
        rooms.iter_mut().for_each(|room| room.is_crowded = is_crowded);
        let mut pass = SchedulePass { rooms, unplaceable: Vec::new() };
        self.place_reserved(&mut pass);
        let candidates = self.candidates();
        for candidate in &candidates {
            self.place_job(candidate, &mut pass);
        }
        self.has_backlog = !pass.unplaceable.is_empty();
        self.record_holds(&pass.rooms);
        self.move_slowed(slowed, &mut pass);
        self.relieve_slow_runs(slow, &mut pass);
        self.request_missing_permits(&candidates, &pass.rooms);
        let waits = |task: &&TaskRef| {
            let task = self.jobs.get(&task.job).and_then(|job| job.task(**task));
            task.is_some_and(super::job_run::Task::is_waiting)
        };
        let tasks = candidates.iter().flat_map(|candidate| &candidate.tasks);
        let left: Vec<TaskRef> = tasks.filter(waits).copied().collect();
        self.lend_waiting_tasks(&left, &pass.rooms);
        self.plan_moves(&left, &pass);
    }

    /// Holds the VM where a long-running task can fit soonest, so that finite tasks aren't placed
    /// there. The task needs more room at once than a short one and would otherwise wait for as long as
    /// short tasks arrive.
    ///
    /// A VM where the task may never run, that its step avoids, or whose memory is permanently taken, is
    /// not held: the hold would not come true.
    fn hold_vm_for(&self, task: TaskRef, rooms: &mut [VmCapacity]) {
        let Some(job) = self.jobs.get(&task.job) else { return };
        let Some(requirements) = job.requirements(task) else { return };
        let step = requirements.step;
        if step.life != Life::Lasting || step.share != Share::Reserved {
            return;
        }
        let (permits, now) = (self.permits_of(task), self.now.steady);
        let step_run = job.step_run(task);
        let may_fit = |room: &&mut VmCapacity| {
            room.hold == Hold::None
                && step_run.is_none_or(|step| !step.avoids(&room.vm, now))
                && room.may_run_without_finite(&requirements)
                && permits.is_none_or(|p| p.meets(PermitRequirement::NotDenied, &room.vm, now))
        };
        let best = rooms.iter_mut().filter(may_fit).max_by_key(|room| room.free.milli_cores);
        if let Some(room) = best {
            let since = self.holds.get(&room.vm).copied().unwrap_or(now);
            let is_overdue = now.saturating_sub(since) >= MAX_HOLD;
            room.hold = if is_overdue { Hold::Overdue } else { Hold::Held };
        }
    }

    /// Records since when each VM has been held without a break.
    fn record_holds(&mut self, rooms: &[VmCapacity]) {
        let now = self.now.steady;
        let held = rooms.iter().filter(|room| room.hold != Hold::None);
        let since = |vm: &VmId| self.holds.get(vm).copied().unwrap_or(now);
        self.holds = held.map(|room| (room.vm.clone(), since(&room.vm))).collect();
    }

    fn place_job(&mut self, candidate: &Candidate, pass: &mut SchedulePass) {
        let Some(job) = self.jobs.get(&candidate.id) else { return };
        let spec = job.job.clone();
        for group in candidate.tasks.chunk_by(|a, b| a.step_ref() == b.step_ref()) {
            let Some(step) = spec.steps.get(usize::from(group[0].step)) else { continue };
            let mut shape = Shape::of(&spec, step, self.image(group[0]));
            if self.permits_of(group[0]).is_some() {
                shape.any_vm = AnyVm::No;
            }
            if step.grouping.is_gang() {
                self.place_together(group, step, &shape, pass);
                continue;
            }
            for task in group {
                let need = self.need(candidate.id, *task);
                if need == Need::Normal && pass.is_unplaceable(&shape) {
                    break;
                }
                let permit = PermitRequirement::Valid;
                let choice = self.choose(*task, step, need, &shape, &pass.rooms, permit);
                let Some(choice) = choice else {
                    self.hold_vm_for(*task, &mut pass.rooms);
                    pass.unplaceable.push(shape.clone());
                    break;
                };
                self.bind(*task, step, &mut pass.rooms[choice]);
            }
        }
    }

    /// Places all tasks of a group, or none of them.
    fn place_together(
        &mut self,
        group: &[TaskRef],
        step: &Step,
        shape: &Shape,
        pass: &mut SchedulePass,
    ) {
        if group.len() != step.tasks as usize {
            return;
        }
        let mut trial_rooms = pass.rooms.clone();
        let mut choices = Vec::new();
        for task in group {
            let (need, permit) = (Need::Normal, PermitRequirement::Valid);
            let choice = self.choose(*task, step, need, shape, &trial_rooms, permit);
            let Some(choice) = choice else { return };
            trial_rooms[choice].take(step, self.image(*task), task.step_ref(), &self.interference);
            trial_rooms[choice].crash_suspects += usize::from(self.is_suspect(*task));
            choices.push(choice);
        }
        let run = group.iter().filter_map(|task| {
            let job = self.jobs.get(&task.job)?;
            Some(Self::next_run(job, *task))
        });
        let Some(run) = run.max() else { return };
        let job = self.jobs.get_mut(&group[0].job);
        if let Some(step_run) = job.and_then(|job| job.step_run_mut(group[0])) {
            step_run.align_gang_failures();
            step_run.align_gang_checkpoints();
        }
        for (task, choice) in group.iter().zip(choices) {
            if let Some(job) = self.jobs.get_mut(&task.job)
                && let Some(task) = job.task_mut(*task)
            {
                // All members of a group share one run number.
                task.last_run = crate::job::RunNumber(run.0 - 1);
            }
            self.bind(*task, step, &mut pass.rooms[choice]);
        }
    }

    /// Returns whether a task could be placed on a VM in `rooms`, with a permit if it needs one and
    /// hasn't been denied it.
    pub(super) fn may_be_placed(&self, task: TaskRef, rooms: &[VmCapacity]) -> bool {
        let Some(job) = self.jobs.get(&task.job) else { return false };
        let Some(step) = job.step(task) else { return false };
        let shape = Shape::of(&job.job, step, job.image(task));
        let need = self.need(task.job, task);
        self.choose(task, step, need, &shape, rooms, PermitRequirement::NotDenied).is_some()
    }

    /// Selects the cheapest VM for a task, by index into `rooms`.
    fn choose(
        &self,
        task: TaskRef,
        step: &Step,
        need: Need,
        shape: &Shape,
        rooms: &[VmCapacity],
        permit: PermitRequirement,
    ) -> Option<usize> {
        let (key, now) = (task.step_ref(), self.now.steady);
        let permits = self.permits_of(task);
        let suspect = self.is_suspect(task);
        let job = self.jobs.get(&task.job);
        let failed_on = job.and_then(|job| job.task(task)?.failed_on.clone());
        let step_run = job.and_then(|job| job.step_run(task));
        let time = self.expected_run_time(task);
        let requirements = Requirements { service: &shape.service, step, key };
        rooms
            .iter()
            .enumerate()
            .filter(|(_, room)| match need {
                Need::Normal => room.may_run(&requirements),
                Need::Stalled => room.may_run_stalled(&requirements),
            })
            .filter(|(_, room)| step_run.is_none_or(|step| !step.avoids(&room.vm, now)))
            .filter(|(_, room)| permits.is_none_or(|p| p.meets(permit, &room.vm, now)))
            .filter_map(|(index, room)| {
                let cost = self.cost(room, step, shape.image, time, need)?;
                let cost = cost + penalty(room, key, step, failed_on.as_ref());
                Some((index, cost + suspect_cost(room, suspect)))
            })
            .min_by(|(_, a), (_, b)| a.total_cmp(b))
            .map(|(index, _)| index)
    }

    /// Computes the cost of placing a task on a VM (lower is better), or `None` if the task should
    /// rather wait.
    pub(super) fn cost(
        &self,
        room: &VmCapacity,
        step: &Step,
        image: ImageIx,
        time: Duration,
        need: Need,
    ) -> Option<f64> {
        let cost = match (step.share, step.life) {
            (Share::Leftover, _) => self.leftover_cost(room, step, image, time, need)?,
            (Share::Reserved, Life::Lasting) if room.is_crowded => crowded_cost(room, step, image),
            (Share::Reserved, Life::Lasting) => long_running_cost(room, step, image),
            (Share::Reserved, Life::Finite) => -f64::from(room.free.milli_cores.0) / 1000.0,
        };
        Some(cost)
    }

    /// Returns [`Need::Stalled`] if the task's job has had no running task since it became ready a
    /// while ago.
    fn need(&self, id: JobId, task: TaskRef) -> Need {
        let Some(job) = self.jobs.get(&id) else { return Need::Normal };
        let since = job.step_run(task).and_then(|step| step.ready);
        let waited = since.map_or(Duration::ZERO, |at| self.now.steady.saturating_sub(at));
        if waited >= STALL_TIMEOUT && !job.has_runs() { Need::Stalled } else { Need::Normal }
    }

    /// Computes the cost of leftover work, which prefers the VM where it runs fastest without
    /// slowing down serving tasks.
    ///
    /// Nothing is started next to a task that is far over its target, or over it for long. New work runs at
    /// full speed until the VM is polled again, so successive starts kept such a task over its
    /// target while all its earlier neighbours were stopped for it.
    fn leftover_cost(
        &self,
        room: &VmCapacity,
        step: &Step,
        image: ImageIx,
        time: Duration,
        need: Need,
    ) -> Option<f64> {
        if room.is_overloaded {
            return None;
        }
        let speed = self.speed(room, step, image, time);
        if speed < MIN_LEFTOVER_SPEED && need == Need::Normal {
            return None;
        }
        let spare = (room.leftover - room.leftover_demand) / 1000.0;
        let free = if room.served.is_empty() { NO_SERVING_TASKS_COST } else { 0.0 };
        Some(free - SPEED_WEIGHT * speed - spare)
    }

    /// Returns the effective speed of leftover work that runs for `time` on a VM, reduced by the
    /// harm to serving tasks, from 0 to 1.
    pub(super) fn speed(
        &self,
        room: &VmCapacity,
        step: &Step,
        image: ImageIx,
        time: Duration,
    ) -> f64 {
        room.leftover_speed(step) * room.value_after_harm(step, image, time, &self.interference)
    }

    /// Returns the time that a run of a task is expected to take. It is unlimited for a
    /// long-running task and for one whose step has no estimate.
    pub(super) fn expected_run_time(&self, task: TaskRef) -> Duration {
        let Some(job) = self.jobs.get(&task.job) else { return Duration::MAX };
        if job.step(task).is_none_or(|step| step.life == Life::Lasting) {
            return Duration::MAX;
        }
        let time = self.step_time(job, usize::from(task.step), job.step_run(task));
        if time.is_zero() { Duration::MAX } else { time }
    }

    /// Binds a task to a VM. It is started once the binding is durable.
    pub(super) fn bind(&mut self, task: TaskRef, step: &Step, room: &mut VmCapacity) {
        let now = self.now.steady;
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let run = Self::next_run(job, task);
        let vm_id = room.vm.clone();
        let ready = job.step_run(task).and_then(|step| step.ready).unwrap_or(now);
        let Some(known) = job.task_mut(task) else { return };
        known.last_run = run;
        known.tried_at = now;
        known.runs.push(PlacedRun { vm: vm_id.clone(), addr: room.addr.clone(), run });
        job.effects.push(Effect::Start { task, run, vm: vm_id.clone() });
        self.log.mark_changed(task.job);
        let bound =
            Run::binding(step.reserved_resources(), step.size.milli_cores.0, step.share, now);
        if let Some(vm) = self.vms.get_mut(&vm_id) {
            vm.runs.insert(RunKey { task, run }, bound);
        }
        let (ready_ms, neighbours) = (Millis(now.saturating_sub(ready)), room.tasks());
        room.take(step, self.image(task), task.step_ref(), &self.interference);
        room.crash_suspects += usize::from(self.is_suspect(task));
        let free_cores = u64::from(room.free.milli_cores.0 / 1000);
        let milli_cores = step.size.milli_cores.0;
        self.note(Note::TaskBound {
            task,
            run,
            vm: vm_id,
            milli_cores,
            ready_ms,
            free_cores,
            neighbours,
        });
    }
}

/// Computes the part of the cost that doesn't depend on the kind of task.
pub(super) fn penalty(
    room: &VmCapacity,
    key: StepRef,
    step: &Step,
    failed_on: Option<&VmId>,
) -> f64 {
    let mut cost = SAME_STEP_COST * room.count(key) as f64;
    // A VM is slow for seconds; a long-running task outlives that.
    let slow_cost = match step.life {
        Life::Finite => SLOW_VM_COST,
        Life::Lasting => DRAINS_SOON_COST / 2.0,
    };
    cost += slow_cost * (1.0 - room.speed);
    if failed_on == Some(&room.vm) {
        cost += PREVIOUS_FAILURE_COST;
    }
    if room.is_unanswered {
        cost += UNANSWERED_COST;
    }
    if room.probation == Probation::Yes {
        cost += PROBATION_COST;
    }
    if room.hold == Hold::Overdue && step.life == Life::Finite {
        cost += OVERDUE_HOLD_COST;
    }
    if step.rack.as_ref().is_some_and(|rack| *rack != room.rack) {
        cost += REMOTE_DATA_COST;
    }
    cost
}

/// Computes the cost that keeps tasks suspected of crashing their VM away from each other and, as
/// far as possible, from other tasks.
fn suspect_cost(room: &VmCapacity, suspect: bool) -> f64 {
    let beside = SUSPECT_NEIGHBOUR_COST * room.crash_suspects as f64;
    if !suspect {
        return beside;
    }
    SUSPECT_PAIR_COST * room.crash_suspects as f64
        + LONG_RUNNING_NEIGHBOUR_COST * room.long_running_tasks as f64
}

/// Computes the cost of a long-running task when the shard isn't crowded.
///
/// Long-running tasks of one image are grouped, so that the same leftover work can run next to all
/// of them. They fill one VM after another, which leaves some VMs without any: work that disturbs
/// every image runs there, and work that must start immediately finds room. On days with
/// faults this does better than keeping a fifth of each VM free.
fn long_running_cost(room: &VmCapacity, step: &Step, image: ImageIx) -> f64 {
    let (same, others) = room.serving_by_image(image);
    let mixed = others as f64 / (same + others + 1) as f64;
    let opened = if same + others == 0 { FIRST_SERVING_TASK_COST } else { 0.0 };
    let share = room.long_running_share_with(step);
    let drains_soon = if room.drains_soon { DRAINS_SOON_COST } else { 0.0 };
    MIXED_IMAGES_COST * mixed + opened + share + drains_soon
}

/// Computes the cost of a long-running task when the shard is crowded. The task goes where the
/// least room is left, so that a larger one can still find enough room on a single VM; mixing
/// images only breaks ties.
fn crowded_cost(room: &VmCapacity, step: &Step, image: ImageIx) -> f64 {
    let (same, others) = room.serving_by_image(image);
    let mixed = others as f64 / (same + others + 1) as f64;
    let drains_soon = if room.drains_soon { DRAINS_SOON_COST } else { 0.0 };
    drains_soon + room.share_left_with(step) + SAME_STEP_COST * mixed
}
