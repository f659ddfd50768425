//! Which task goes where, and which goes first.

#[cfg(test)]
mod tests;

use super::Shard;
use super::interference::ImageIx;
use super::job_run::{Effect, Place};
use super::order::Candidate;
use super::room::{Room, Trial};
use super::vm_run::{Run, RunKey};
use crate::ids::{ServiceName, VmId};
use crate::job::{Job, JobId, Life, Share, Step, StepRef, TaskRef};
use crate::note::{Ms, Note};
use crate::units::Resources;
use std::time::Duration;

/// Least time between two passes, so that a burst of answers costs one pass.
const SCHEDULE_GAP: Duration = Duration::from_millis(10);

/// Longest time between two passes: loads swing and rests end without an event.
const SCHEDULE_EVERY: Duration = Duration::from_millis(100);

/// Least speed, less the harm that it does, at which a leftover task is placed: below it, those that run
/// are better left to end first. Tasks placed sooner only slow each other down.
pub(super) const MIN_LEFTOVER_SPEED: f64 = 0.8;

/// How much a leftover task's speed counts against spare cores.
const SPEED_WEIGHT: f64 = 100.0;

/// Share of a shard's processors up to which it is given lasting tasks first. The rest is for
/// tasks that must start at once, which take a tenth of all processors on average.
pub(super) const LASTING_SHARE: f64 = 0.8;

/// Share of a shard's processors that jobs may bring lasting tasks up to when every shard has its part. An
/// eighth of its VMs may leave, and all of it still has a place. What is left lies in pieces that short tasks
/// hardly fit in: with more, their callers waited for a place on one VM for as long as the lasting tasks ran.
pub(super) const LASTING_LIMIT: f64 = 0.8;

/// Share of a shard's processors from which on its lasting tasks are crowded: each piece of room is needed for
/// the largest task that fits in it.
const CROWDED: f64 = 0.9;

/// Costs of placing a lasting task: beside other images only, and where nothing serves yet.
const MIXED_IMAGES: f64 = 3.0;
const OPENED_VM: f64 = 0.8;

/// Cost of placing a lasting task where it will have to leave again: more than any mixture.
const CLOSES_SOON: f64 = 10.0;

/// Cost of leftover work on a VM where nothing serves, which is kept for work that is slowed down
/// everywhere else: more than the spare cores of any VM, and less than half of a task's speed.
const FREE_OF_SERVING: f64 = 40.0;

/// Cost of another task of the same step on a VM: tells like VMs apart, and no more.
const SAME_STEP: f64 = 0.01;

/// Costs that outweigh everything else, the heavier ones last resorts.
const BESIDE_LASTING: f64 = 1e3;
const BESIDE_SUSPECT: f64 = 5e3;
const FAR_FROM_DATA: f64 = 1e4;
const SUSPECTS_TOGETHER: f64 = 5e4;
const ON_TRIAL: f64 = 1e5;
const FAILED_THERE: f64 = 1e6;

/// Time after which a job of which nothing runs gets a place for one task, however slow it is
/// there: work that stands still altogether looks lost to its caller.
const STALLED: Duration = Duration::from_millis(1500);

/// Whether a task is better left to wait than run slowly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Need {
    Usual,
    /// Nothing of its job runs, and hasn't for a while.
    Stalled,
}

/// Waiting tasks that are offered to other shards in one pass.
const MAX_LENT: usize = 64;

/// One pass over what waits.
pub(super) struct Pass {
    pub rooms: Vec<Room>,
    /// What found no room in this pass; room only gets less.
    hopeless: Vec<Shape>,
}

/// What decides where a task fits, apart from its own past.
#[derive(Clone, Debug)]
struct Shape {
    service: ServiceName,
    image: ImageIx,
    share: Share,
    life: Life,
    size: Resources,
    /// Whether it may go to any VM of the service.
    free: Anywhere,
}

/// Whether a task is bound to some VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Anywhere {
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
            free: if bound { Anywhere::No } else { Anywhere::Yes },
        }
    }

    /// Whether a task of this shape fits nowhere where one of the other doesn't.
    fn is_as_large(&self, other: &Self) -> bool {
        let alike = self.share == Share::Reserved || self.image == other.image;
        other.free == Anywhere::Yes
            && alike
            && self.service == other.service
            && (self.share, self.life) == (other.share, other.life)
            && other.size.fits_in(&self.size)
    }
}

impl Pass {
    fn is_hopeless(&self, shape: &Shape) -> bool {
        self.hopeless.iter().any(|hopeless| shape.is_as_large(hopeless))
    }
}

impl Shard {
    /// Something has changed that may let a task start.
    pub(super) fn replan(&mut self) {
        self.next_schedule = self.next_schedule.min(self.last_schedule + SCHEDULE_GAP);
    }

    /// Binds tasks that can start to VMs with room.
    pub(super) fn schedule(&mut self) {
        let now = self.now.steady;
        if now < self.next_schedule {
            return;
        }
        self.last_schedule = now;
        self.next_schedule = now + SCHEDULE_EVERY;
        self.release_kept();
        let slowed = self.slowed();
        if self.candidates().is_empty() && slowed.is_empty() {
            return;
        }
        let mut rooms: Vec<Room> = self.vms.values().filter_map(|vm| self.room(vm)).collect();
        let is_crowded = self.lasting_share(&rooms) > CROWDED;
        rooms.iter_mut().for_each(|room| room.is_crowded = is_crowded);
        let mut pass = Pass { rooms, hopeless: Vec::new() };
        self.place_kept(&mut pass);
        let candidates = self.candidates();
        for candidate in &candidates {
            self.place_job(candidate, &mut pass);
        }
        self.move_slowed(slowed, &mut pass);
        self.ask_permits(&candidates, &pass.rooms);
        let waits = |task: &&TaskRef| {
            let task = self.jobs.get(&task.job).and_then(|job| job.task(**task));
            task.is_some_and(super::job_run::Task::is_waiting)
        };
        let tasks = candidates.iter().flat_map(|candidate| &candidate.tasks);
        let left: Vec<TaskRef> = tasks.filter(waits).take(MAX_LENT).copied().collect();
        self.lend(&left);
        self.make_room(&left, &pass);
    }

    fn place_job(&mut self, candidate: &Candidate, pass: &mut Pass) {
        let Some(job) = self.jobs.get(&candidate.id) else { return };
        let spec = job.job.clone();
        for group in candidate.tasks.chunk_by(|a, b| a.of_step() == b.of_step()) {
            let Some(step) = spec.steps.get(usize::from(group[0].step)) else { continue };
            let mut shape = Shape::of(&spec, step, self.image(group[0]));
            if self.permits_of(group[0]).is_some() {
                shape.free = Anywhere::No;
            }
            if step.members.as_one() {
                self.place_together(group, step, &shape, pass);
                continue;
            }
            for task in group {
                let need = self.need(candidate.id, *task);
                if need == Need::Usual && pass.is_hopeless(&shape) {
                    break;
                }
                let Some(choice) = self.choose(*task, step, need, &shape, &pass.rooms) else {
                    hold_for(*task, step, &shape, &mut pass.rooms);
                    pass.hopeless.push(shape.clone());
                    break;
                };
                self.bind(*task, step, &mut pass.rooms[choice]);
            }
        }
    }

    /// Places all tasks of a group, or none.
    fn place_together(&mut self, group: &[TaskRef], step: &Step, shape: &Shape, pass: &mut Pass) {
        if group.len() != step.tasks as usize {
            return;
        }
        let mut trial = pass.rooms.clone();
        let mut choices = Vec::new();
        for task in group {
            let Some(choice) = self.choose(*task, step, Need::Usual, shape, &trial) else {
                return;
            };
            trial[choice].take(step, self.image(*task), task.of_step(), &self.effects);
            trial[choice].suspects += usize::from(self.is_suspect(*task));
            choices.push(choice);
        }
        let run = group.iter().filter_map(|task| {
            let job = self.jobs.get(&task.job)?;
            Some(Self::next_run(job, *task))
        });
        let Some(run) = run.max() else { return };
        for (task, choice) in group.iter().zip(choices) {
            if let Some(job) = self.jobs.get_mut(&task.job)
                && let Some(task) = job.task_mut(*task)
            {
                // Members share the number of their run.
                task.last_run = crate::job::RunNumber(run.0 - 1);
            }
            self.bind(*task, step, &mut pass.rooms[choice]);
        }
    }

    /// The best VM for a task.
    fn choose(
        &self,
        task: TaskRef,
        step: &Step,
        need: Need,
        shape: &Shape,
        rooms: &[Room],
    ) -> Option<usize> {
        let (key, now) = (task.of_step(), self.now.steady);
        let permits = self.permits_of(task);
        let suspect = self.is_suspect(task);
        let failed_on = self.jobs.get(&task.job).and_then(|job| job.task(task)?.failed_on.clone());
        let fits = |(_, room): &(usize, &Room)| {
            let held = room.held && step.life == Life::Finite;
            !held && !room.is_kept && room.service == shape.service && room.takes(step, key)
        };
        rooms
            .iter()
            .enumerate()
            .filter(fits)
            .filter(|(_, room)| self.has_label(&room.vm, step))
            .filter(|(_, room)| permits.is_none_or(|p| p.valid(&room.vm, now).is_some()))
            .filter_map(|(index, room)| {
                let cost = self.cost(room, step, shape.image, need)?;
                let cost = cost + penalty(room, key, step, failed_on.as_ref());
                Some((index, cost + apart(room, suspect)))
            })
            .min_by(|(_, a), (_, b)| a.total_cmp(b))
            .map(|(index, _)| index)
    }

    /// What a task costs on a VM; less is better, `None` if it is better left to wait.
    fn cost(&self, room: &Room, step: &Step, image: ImageIx, need: Need) -> Option<f64> {
        let cost = match (step.share, step.life) {
            (Share::Leftover, _) => self.leftover_cost(room, step, image, need)?,
            (Share::Reserved, Life::Lasting) if room.is_crowded => crowded_cost(room, step, image),
            (Share::Reserved, Life::Lasting) => lasting_cost(room, step, image),
            (Share::Reserved, Life::Finite) => -f64::from(room.free.milli_cores.0) / 1000.0,
        };
        Some(cost)
    }

    /// Whether nothing of a job runs though its turn came a while ago.
    fn need(&self, id: JobId, task: TaskRef) -> Need {
        let Some(job) = self.jobs.get(&id) else { return Need::Usual };
        let since = job.step_run(task).and_then(|step| step.ready);
        let waited = since.map_or(Duration::ZERO, |at| self.now.steady.saturating_sub(at));
        if waited >= STALLED && !job.has_runs() { Need::Stalled } else { Need::Usual }
    }

    /// Leftover work goes where it works fastest without slowing down those served there. None begins
    /// beside a task that has been over its target for long: it works at full speed until the
    /// VM was looked at again, and so one start after the other kept such a task over its target
    /// while all that had begun before stood still for it.
    fn leftover_cost(&self, room: &Room, step: &Step, image: ImageIx, need: Need) -> Option<f64> {
        if room.pressed {
            return None;
        }
        let speed = self.speed(room, step, image);
        if speed < MIN_LEFTOVER_SPEED && need == Need::Usual {
            return None;
        }
        let spare = (room.leftover - room.leftover_demand) / 1000.0;
        let free = if room.served.is_empty() { FREE_OF_SERVING } else { 0.0 };
        Some(free - SPEED_WEIGHT * speed - spare)
    }

    /// Speed that leftover work would have on a VM, less the harm to those served there, 0 to 1.
    pub(super) fn speed(&self, room: &Room, step: &Step, image: ImageIx) -> f64 {
        room.leftover_speed(step) * room.harmless_worth(step, image, &self.effects)
    }

    pub(super) fn has_label(&self, vm: &VmId, step: &Step) -> bool {
        let Some(label) = &step.label else { return true };
        self.vms.get(vm).is_some_and(|vm| vm.entry.labels.contains(label))
    }

    /// Binds a task to a VM; it is started once that is durable.
    pub(super) fn bind(&mut self, task: TaskRef, step: &Step, room: &mut Room) {
        let now = self.now.steady;
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let run = Self::next_run(job, task);
        let vm_id = room.vm.clone();
        let ready = job.step_run(task).and_then(|step| step.ready).unwrap_or(now);
        let Some(known) = job.task_mut(task) else { return };
        known.last_run = run;
        known.runs.push(Place { vm: vm_id.clone(), addr: room.addr.clone(), run });
        job.effects.push(Effect::Start { task, run, vm: vm_id.clone() });
        self.log.touch(task.job);
        let bound = Run::binding(step.reserved(), step.size.milli_cores.0, step.share, now);
        if let Some(vm) = self.vms.get_mut(&vm_id) {
            vm.runs.insert(RunKey { task, run }, bound);
        }
        let (ready_ms, neighbours) = (Ms(now.saturating_sub(ready)), room.tasks());
        room.take(step, self.image(task), task.of_step(), &self.effects);
        room.suspects += usize::from(self.is_suspect(task));
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

/// What speaks against a VM whatever the task.
fn penalty(room: &Room, key: StepRef, step: &Step, failed_on: Option<&VmId>) -> f64 {
    let mut cost = SAME_STEP * room.count(key) as f64;
    if failed_on == Some(&room.vm) {
        cost += FAILED_THERE;
    }
    if room.trial == Trial::Yes {
        cost += ON_TRIAL;
    }
    if step.rack.as_ref().is_some_and(|rack| *rack != room.rack) {
        cost += FAR_FROM_DATA;
    }
    cost
}

/// Keeps tasks that may crash their VM from each other, and others from them as far as can be.
fn apart(room: &Room, suspect: bool) -> f64 {
    let beside = BESIDE_SUSPECT * room.suspects as f64;
    if !suspect {
        return beside;
    }
    SUSPECTS_TOGETHER * room.suspects as f64 + BESIDE_LASTING * room.lasting_tasks as f64
}

/// Lasting tasks of one image go together: which leftover work may run beside them is then the same
/// for all of them. They fill VM after VM, so that some VMs are left without: work that disturbs every
/// image runs there, and work that must start at once finds room. With a fifth of each VM kept
/// free instead, days of trouble on 66 VMs were worth 0.38 to 0.40, and 0.43 so.
fn lasting_cost(room: &Room, step: &Step, image: ImageIx) -> f64 {
    let (same, others) = room.alike(image);
    let mixed = others as f64 / (same + others + 1) as f64;
    let opened = if same + others == 0 { OPENED_VM } else { 0.0 };
    let share = room.lasting_with(step);
    let closes = if room.closes { CLOSES_SOON } else { 0.0 };
    MIXED_IMAGES * mixed + opened + share + closes
}

/// Crowded lasting tasks go where they leave least, so that a larger one that needs room finds a whole piece.
/// Which images are beside each other only tells like VMs apart.
fn crowded_cost(room: &Room, step: &Step, image: ImageIx) -> f64 {
    let (same, others) = room.alike(image);
    let mixed = others as f64 / (same + others + 1) as f64;
    let closes = if room.closes { CLOSES_SOON } else { 0.0 };
    closes + room.left_beside_lasting(step) + SAME_STEP * mixed
}

/// Keeps short tasks off the VM where a lasting task will fit soonest: it needs more room at once
/// than a short one, and would wait as long as any of those comes. Memory counts as well: a VM without
/// any, which is taken for good, was kept for its free processors, and the task waited in vain.
fn hold_for(task: TaskRef, step: &Step, shape: &Shape, rooms: &mut [Room]) {
    if step.life != Life::Lasting || step.share != Share::Reserved {
        return;
    }
    let fits = |room: &&mut Room| {
        room.could_take(step, task.of_step()) && !room.held && room.service == shape.service
    };
    let best = rooms.iter_mut().filter(fits).max_by_key(|room| room.free.milli_cores);
    if let Some(room) = best {
        room.held = true;
    }
}
