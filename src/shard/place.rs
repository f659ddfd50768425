//! Which task goes where, and which goes first.

use super::Shard;
use super::job_run::{Effect, JobRun, Place};
use super::room::{Room, StepKey, Trial};
use super::vm_run::{Run, RunKey};
use crate::ids::VmId;
use crate::job::{Image, JobId, Life, Share, Step, TaskRef};
use crate::note::{Ms, Note};
use std::time::Duration;

/// Least time between two passes, so that a burst of answers costs one pass.
const SCHEDULE_GAP: Duration = Duration::from_millis(5);

/// Least speed that a leftover task is placed at: below it, those that run are better left to end
/// first. Tasks placed sooner only slow each other down.
const MIN_LEFTOVER_SPEED: f64 = 0.8;

/// How much a leftover task's speed counts against spare cores.
const SPEED_WEIGHT: f64 = 100.0;

/// Share of a VM's processors up to which lasting tasks are put there first. The rest is for
/// tasks that must start at once, which take a tenth of all processors on average.
pub const LASTING_SHARE: f64 = 0.82;

/// Costs of placing a lasting task: beside other images only, where nothing serves yet, and where
/// lasting tasks take nearly everything.
const MIXED_IMAGES: f64 = 3.0;
const OPENED_VM: f64 = 0.8;
const FULL_OF_LASTING: f64 = 2.0;

/// Cost of another task of the same step on a VM: tells like VMs apart, and no more.
const SAME_STEP: f64 = 0.01;

/// Costs that outweigh everything else, the heavier ones last resorts.
const FAR_FROM_DATA: f64 = 1e4;
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

/// A job with tasks that can start.
struct Candidate {
    id: JobId,
    priority: u32,
    life: Urgency,
    prospect: Prospect,
    /// Orders those of one prospect, the lowest first.
    rank: f64,
}

/// Which tasks go first within a priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    /// Lasting tasks: each moment of one that isn't at work is lost, and they are few.
    Lasting,
    Finite,
}

/// What can still become of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Prospect {
    /// It can be done within its aim.
    InTime,
    /// It will be late, and is still of use.
    Late,
    /// It is past the time in which it was of use; it is done all the same.
    Overdue,
}

/// Times its aim after which a finished job is of no use to its caller any more.
const OF_USE: f64 = 3.0;

impl Shard {
    /// Binds tasks that can start to VMs with room.
    pub(super) fn schedule(&mut self) {
        let now = self.now.steady;
        if now < self.next_schedule {
            return;
        }
        self.next_schedule = now + SCHEDULE_GAP;
        let candidates = self.candidates();
        if candidates.is_empty() {
            return;
        }
        let mut rooms: Vec<Room> = self.vms.values().filter_map(|vm| self.room(vm)).collect();
        for candidate in &candidates {
            self.place_job(candidate.id, &mut rooms);
        }
        let left = candidates.iter().filter_map(|candidate| self.jobs.get(&candidate.id));
        let left: Vec<TaskRef> = left.flat_map(waiting).take(MAX_LENT).collect();
        self.lend(&left);
    }

    /// Jobs with tasks that can start, the most urgent first.
    fn candidates(&self) -> Vec<Candidate> {
        let mut candidates: Vec<Candidate> = self
            .jobs
            .values()
            .filter(|job| !job.is_final() && !waiting(job).is_empty())
            .map(|job| Candidate {
                id: job.id(),
                priority: self.queue(job).map_or(u32::MAX, |queue| queue.priority),
                life: urgency(job),
                prospect: self.prospect(job).0,
                rank: self.prospect(job).1,
            })
            .collect();
        candidates.sort_by(|a, b| {
            a.priority
                .cmp(&b.priority)
                .then(a.life.cmp(&b.life))
                .then(a.prospect.cmp(&b.prospect))
                .then(a.rank.total_cmp(&b.rank))
                .then(a.id.cmp(&b.id))
        });
        candidates
    }

    fn prospect(&self, job: &JobRun) -> (Prospect, f64) {
        let spent = self.now.steady.saturating_sub(job.since).as_secs_f64();
        let aim = self.aim(job.id()).as_secs_f64();
        let left = chain_left(job).as_secs_f64();
        let slack = aim - spent - left;
        if slack >= 0.0 {
            (Prospect::InTime, left)
        } else if OF_USE * aim - spent - left >= 0.0 {
            (Prospect::Late, left)
        } else {
            (Prospect::Overdue, spent)
        }
    }

    /// Time from a job's acceptance by which it should be done.
    pub(super) fn aim(&self, id: JobId) -> Duration {
        let Some(job) = self.jobs.get(&id) else { return Duration::ZERO };
        let (stretch, latency) =
            self.queue(job).map_or((2.0, Duration::ZERO), |q| (q.stretch, q.latency));
        chain(job).mul_f64(stretch.max(0.0)) + latency
    }

    fn place_job(&mut self, id: JobId, rooms: &mut [Room]) {
        let Some(job) = self.jobs.get(&id) else { return };
        let (service, spec) = (job.job.service.clone(), job.job.clone());
        let waiting = waiting(job);
        let ours: Vec<bool> = rooms
            .iter()
            .map(|room| self.vms.get(&room.vm).is_some_and(|vm| vm.entry.service == service))
            .collect();
        for group in by_step(&waiting) {
            let Some(step) = spec.steps.get(usize::from(group[0].step)) else { continue };
            if step.members.as_one() {
                self.place_together(&group, step, rooms, &ours);
                continue;
            }
            for task in group {
                let need = if self.is_stalled(id, task) { Need::Stalled } else { Need::Usual };
                let Some(choice) = self.choose(task, step, need, rooms, &ours) else {
                    hold_for(step, rooms, &ours);
                    break;
                };
                self.bind(task, step, &mut rooms[choice]);
            }
        }
    }

    /// Places all tasks of a group, or none.
    fn place_together(
        &mut self,
        group: &[TaskRef],
        step: &Step,
        rooms: &mut [Room],
        ours: &[bool],
    ) {
        if group.len() != step.tasks as usize {
            return;
        }
        let mut trial = rooms.to_vec();
        let mut choices = Vec::new();
        for task in group {
            let Some(choice) = self.choose(*task, step, Need::Usual, &trial, ours) else { return };
            trial[choice].take(step, &self.image(*task), StepKey::of(*task), &self.effects);
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
            self.bind(*task, step, &mut rooms[choice]);
        }
    }

    /// The best VM for a task.
    fn choose(
        &self,
        task: TaskRef,
        step: &Step,
        need: Need,
        rooms: &[Room],
        ours: &[bool],
    ) -> Option<usize> {
        let key = StepKey::of(task);
        let image = self.image(task);
        let failed_on = self.jobs.get(&task.job).and_then(|job| job.task(task)?.failed_on.clone());
        let fits = |(index, room): &(usize, &Room)| {
            let held = room.held && step.life == Life::Finite;
            ours[*index] && !held && room.takes(step, key) && self.has_label(&room.vm, step)
        };
        rooms
            .iter()
            .enumerate()
            .filter(fits)
            .filter_map(|(index, room)| {
                let cost =
                    self.cost(room, step, &image, need)? + penalty(room, key, step, &failed_on);
                Some((index, cost))
            })
            .min_by(|(_, a), (_, b)| a.total_cmp(b))
            .map(|(index, _)| index)
    }

    /// What a task costs on a VM; less is better, `None` if it is better left to wait.
    fn cost(&self, room: &Room, step: &Step, image: &Image, need: Need) -> Option<f64> {
        let cost = match (step.share, step.life) {
            (Share::Leftover, _) => self.leftover_cost(room, step, image, need)?,
            (Share::Reserved, Life::Lasting) => lasting_cost(room, step, image),
            (Share::Reserved, Life::Finite) => -f64::from(room.free.milli_cores.0) / 1000.0,
        };
        Some(cost)
    }

    /// Whether nothing of a job runs though its turn came a while ago.
    fn is_stalled(&self, id: JobId, task: TaskRef) -> bool {
        let Some(job) = self.jobs.get(&id) else { return false };
        let since = job.step_run(task).and_then(|step| step.ready);
        let waited = since.map_or(Duration::ZERO, |at| self.now.steady.saturating_sub(at));
        waited >= STALLED && !job.has_runs()
    }

    /// Leftover work goes where it works fastest without slowing down those served there.
    fn leftover_cost(&self, room: &Room, step: &Step, image: &Image, need: Need) -> Option<f64> {
        let harmless = room.harmless_speed(step, image, &self.effects);
        let speed = room.leftover_speed(step) * harmless;
        if speed < MIN_LEFTOVER_SPEED && need == Need::Usual {
            return None;
        }
        let spare = (room.leftover - room.leftover_demand) / 1000.0;
        Some(-SPEED_WEIGHT * speed - spare)
    }

    fn has_label(&self, vm: &VmId, step: &Step) -> bool {
        let Some(label) = &step.label else { return true };
        self.vms.get(vm).is_some_and(|vm| vm.entry.labels.contains(label))
    }

    /// Binds a task to a VM; it is started once that is durable.
    fn bind(&mut self, task: TaskRef, step: &Step, room: &mut Room) {
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
        room.take(step, &self.image(task), StepKey::of(task), &self.effects);
        let free_cores = u64::from(room.free.milli_cores.0 / 1000);
        self.note(Note::TaskBound { task, run, vm: vm_id, ready_ms, free_cores, neighbours });
    }
}

/// What speaks against a VM whatever the task.
fn penalty(room: &Room, key: StepKey, step: &Step, failed_on: &Option<VmId>) -> f64 {
    let mut cost = SAME_STEP * room.count(key) as f64;
    if failed_on.as_ref() == Some(&room.vm) {
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

/// Lasting tasks of one image go together: which leftover work may run beside them is then the same
/// for all of them. Some processors are kept free on each VM for work that must start at once.
fn lasting_cost(room: &Room, step: &Step, image: &Image) -> f64 {
    let (same, others) = room.alike(image);
    let mixed = others as f64 / (same + others + 1) as f64;
    let opened = if same + others == 0 { OPENED_VM } else { 0.0 };
    let share = room.lasting_with(step);
    let full = if share > LASTING_SHARE { FULL_OF_LASTING * share } else { 0.0 };
    MIXED_IMAGES * mixed + opened + full + share
}

/// Keeps short tasks off the VM where a lasting task will fit soonest: it needs more room at once
/// than a short one, and would wait as long as any of those comes.
fn hold_for(step: &Step, rooms: &mut [Room], ours: &[bool]) {
    if step.life != Life::Lasting || step.share != Share::Reserved {
        return;
    }
    let fits = |room: &Room| room.lasting_with(step) <= 1.0 && !room.held;
    let candidates = rooms.iter_mut().zip(ours).filter(|(room, ours)| **ours && fits(room));
    let best = candidates.max_by_key(|(room, _)| room.free.milli_cores);
    if let Some((room, _)) = best {
        room.held = true;
    }
}

fn urgency(job: &JobRun) -> Urgency {
    let lasting = job.job.steps.iter().any(|step| step.life == Life::Lasting);
    if lasting { Urgency::Lasting } else { Urgency::Finite }
}

/// Tasks that can start.
fn waiting(job: &JobRun) -> Vec<TaskRef> {
    let mut waiting = Vec::new();
    for occurrence in &job.open {
        for (number, step) in occurrence.steps.iter().enumerate() {
            if step.ready.is_none() {
                continue;
            }
            let tasks = step.tasks.iter().enumerate().filter(|(_, task)| task.is_waiting());
            waiting.extend(tasks.map(|(index, _)| job.task_ref(occurrence.number, number, index)));
        }
    }
    waiting
}

fn by_step(tasks: &[TaskRef]) -> Vec<Vec<TaskRef>> {
    let mut groups: Vec<Vec<TaskRef>> = Vec::new();
    for task in tasks {
        match groups.last_mut() {
            Some(group) if StepKey::of(group[0]) == StepKey::of(*task) => group.push(*task),
            _ => groups.push(vec![*task]),
        }
    }
    groups
}

/// The longest chain of a job's estimates.
pub(super) fn chain(job: &JobRun) -> Duration {
    let mut until: Vec<Duration> = Vec::with_capacity(job.job.steps.len());
    for step in &job.job.steps {
        let before = step.after.iter().filter_map(|after| until.get(usize::from(*after)).copied());
        let start = before.max().unwrap_or_default();
        until.push(start + step.estimate);
    }
    until.into_iter().max().unwrap_or_default()
}

/// The longest chain of what is left of a job's estimates.
fn chain_left(job: &JobRun) -> Duration {
    let left = |occurrence: &super::job_run::Occurrence| {
        let mut until: Vec<Duration> = Vec::with_capacity(job.job.steps.len());
        for (step, run) in job.job.steps.iter().zip(&occurrence.steps) {
            let before = step.after.iter().filter_map(|after| until.get(usize::from(*after)));
            let start = before.max().copied().unwrap_or_default();
            let own = if run.succeeded() { Duration::ZERO } else { step.estimate };
            until.push(start + own);
        }
        until.into_iter().max().unwrap_or_default()
    };
    job.open.iter().map(left).max().unwrap_or_default()
}
