//! Tasks that another shard runs in place of the one that accepted their job.
//!
//! A shard's VMs may have no room for a task while others have: it is too wide, the rack with its
//! data or the VM with its label is another shard's, or VMs were lost. Such a task is lent: the
//! lending shard makes durable that it doesn't run the task itself, then tells the other; that one
//! makes durable that it has it, runs it like its own, makes its end durable, and gives it back.
//! So at each moment at most one shard may start a task, whatever message is lost, late or
//! doubled, and whichever owner is replaced: each side repeats what it has durably said until the
//! other answers. A loan that was given back is not taken again, by its number; since the owner that
//! remembers it may have been replaced, a message is meant for one owner, by its token.

use super::Shard;
use super::event::{Action, FreeRoom, Neighbour, Summary};
use super::job_run::{JobRun, Lent, LoanKnown, Occurrence, RecordState, Started, StepRun, Task};
use super::vm_run::RunKey;
use crate::job::progress::{Crashes, TaskPhase};
use crate::job::{Checkpoint, Image, Job, JobId, Life, RunNumber, Share, Step, TaskRef};
use crate::note::Note;
use crate::units::Resources;
use crate::vm::Fence;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// Pause before something about a loan is said again; an answer takes 10 to 40 ms.
const TELL_EVERY: Duration = Duration::from_millis(250);

/// Pause before a shard that has a loan is asked again whether it has begun.
const ASK_EVERY: Duration = Duration::from_millis(800);

/// Time that a task waits for room here before another shard is asked. Lending costs two commits
/// and a message, 30 to 60 ms in all.
const PATIENCE: Duration = Duration::from_millis(60);

/// The same for lasting tasks: their room often comes back within a second, as a short task ends.
const LASTING_PATIENCE: Duration = Duration::from_millis(700);

/// The same for leftover work, which has time.
const LEFTOVER_PATIENCE: Duration = Duration::from_millis(900);

/// Share of another shard's free room that is counted on: what is known of it is up to half a
/// second old, and others lend there too.
const COUNTED_ON: f64 = 0.6;

/// Time that a lent task may wait there for room before it is given back.
const GIVE_BACK_AFTER: Duration = Duration::from_millis(1500);

/// How long a loan that was given back is remembered; a message is late by 1.4 s at the most.
const REMEMBERED: Duration = Duration::from_secs(30);

/// What shards' owners say of loans.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LoanMsg {
    /// Run these.
    Lend { job: Arc<Job>, loan: u64, tasks: Vec<LentTask> },
    /// They are durable here, and whether a task of the job has started.
    Taken { job: JobId, loan: u64, tasks: Vec<TaskRef>, begun: Begun },
    /// This has become of them.
    Return { job: JobId, tasks: Vec<ReturnedTask> },
    /// What became of them is durable where they come from.
    Settled { job: JobId, tasks: Vec<LoanedTask> },
    /// They are not wanted any more.
    Recall { job: JobId, tasks: Vec<LoanedTask> },
}

/// Whether a task of a job has started where it was lent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Begun {
    No,
    Yes,
}

/// A task with the number of its loan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LoanedTask {
    pub task: TaskRef,
    pub loan: u64,
}

/// A task as it is lent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LentTask {
    pub task: TaskRef,
    pub last_run: RunNumber,
    pub failed: u32,
    pub checkpoint: Option<Checkpoint>,
    pub crashes: Crashes,
}

/// A task as it is given back.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReturnedTask {
    pub task: TaskRef,
    pub loan: u64,
    pub result: LoanResult,
    pub last_run: RunNumber,
    pub failed: u32,
    pub checkpoint: Option<Checkpoint>,
    pub crashes: Crashes,
}

/// What has become of a lent task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoanResult {
    Succeeded,
    /// It used up its attempts.
    Failed,
    /// It hasn't succeeded, and doesn't run there.
    GivenBack,
}

/// What a shard remembers of loans beside its jobs.
#[derive(Debug, Default)]
pub struct Loans {
    /// Other shards, as they were last heard of; less what was lent there since.
    neighbours: IndexMap<Arc<str>, Neighbour>,
    /// Jobs accepted here of which tasks are lent.
    lending: IndexSet<JobId>,
    /// Jobs of other shards of which tasks are here.
    guests: IndexSet<JobId>,
    /// Loans that were given back, and when.
    ended: IndexMap<LoanedTask, Duration>,
    next_tell: Duration,
}

impl Loans {
    /// Takes over what other shards told of themselves.
    pub fn know(&mut self, neighbours: Vec<Neighbour>) {
        self.neighbours = neighbours.into_iter().map(|n| (n.name.clone(), n)).collect();
    }

    /// Looks at loans at once, since something about them has become durable.
    pub fn hurry(&mut self, now: Duration) {
        self.next_tell = self.next_tell.min(now);
    }

    fn fence_of(&self, shard: &str) -> Option<Fence> {
        self.neighbours.get(shard).map(|neighbour| neighbour.fence)
    }

    fn end(&mut self, loan: LoanedTask, now: Duration) {
        self.ended.insert(loan, now);
        while let Some((_, at)) = self.ended.first() {
            if now.saturating_sub(*at) < REMEMBERED {
                return;
            }
            self.ended.shift_remove_index(0);
        }
    }
}

impl Shard {
    /// Finds the loans of a job that was read from the store.
    pub(super) fn recover_loans(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        if job.is_guest() {
            self.loans.guests.insert(id);
        } else if job.has_lent() {
            self.loans.lending.insert(id);
        }
    }

    /// Says what is to be said about loans, as far as it is durable.
    pub(super) fn tell_loans(&mut self) {
        let now = self.now.steady;
        if now < self.loans.next_tell {
            return;
        }
        self.loans.next_tell = now + TELL_EVERY;
        let lending: Vec<JobId> = self.loans.lending.iter().copied().collect();
        lending.into_iter().for_each(|id| self.tell_lent(id));
        let guests: Vec<JobId> = self.loans.guests.iter().copied().collect();
        guests.into_iter().for_each(|id| self.tell_guest(id));
    }

    fn tell_lent(&mut self, id: JobId) {
        let now = self.now.steady;
        let Some(job) = self.jobs.get(&id) else {
            self.loans.lending.shift_remove(&id);
            return;
        };
        if !self.log.is_durable(id) || self.log.age(now) >= TELL_EVERY {
            return;
        }
        if !job.has_lent() {
            self.loans.lending.shift_remove(&id);
            return;
        }
        let mut msgs: IndexMap<(Arc<str>, u64), Vec<LentTask>> = IndexMap::new();
        let mut recalls: IndexMap<Arc<str>, Vec<LoanedTask>> = IndexMap::new();
        for (task, known) in job.named_tasks() {
            let Some(lent) = &known.lent else { continue };
            if job.is_final() {
                let loaned = LoanedTask { task, loan: lent.loan };
                recalls.entry(lent.to.clone()).or_default().push(loaned);
            } else if lent.known.is_asked(now) {
                let key = (lent.to.clone(), lent.loan);
                msgs.entry(key).or_default().push(LentTask {
                    task,
                    last_run: known.last_run,
                    failed: known.failed,
                    checkpoint: known.checkpoint.clone(),
                    crashes: known.crashes,
                });
            }
        }
        let spec = job.job.clone();
        for ((to, loan), tasks) in msgs {
            self.note_told(id, &tasks, now);
            // An owner that stood still and was replaced would lend what has been given back long ago to a
            // borrower that has forgotten it, and the task would run a second time.
            self.tell_as_owner(&to, LoanMsg::Lend { job: spec.clone(), loan, tasks });
        }
        for (to, tasks) in recalls {
            self.tell(&to, LoanMsg::Recall { job: id, tasks });
        }
    }

    /// Notes that a loan is being told, not to be told again before there can be an answer.
    fn note_told(&mut self, id: JobId, tasks: &[LentTask], now: Duration) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        for told in tasks {
            if let Some(lent) = job.task_mut(told.task).and_then(|task| task.lent.as_mut()) {
                lent.known = LoanKnown::Told { ask: now + TELL_EVERY };
            }
        }
    }

    fn tell_guest(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            self.loans.guests.shift_remove(&id);
            return;
        };
        let Some(home) = job.home.clone() else { return };
        self.give_back_stuck(id);
        if !self.log.is_durable(id) {
            return;
        }
        let Some(job) = self.jobs.get(&id) else { return };
        let returned: Vec<ReturnedTask> =
            job.named_tasks().filter_map(|(task, known)| returned(task, known)).collect();
        if !returned.is_empty() {
            let msg = LoanMsg::Return { job: id, tasks: returned };
            self.tell(&home, msg);
        }
    }

    /// Gives back what found no room here for a while: another shard may have some.
    fn give_back_stuck(&mut self, id: JobId) {
        let now = self.now.steady;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let tasks = job.open.iter_mut().flat_map(|o| &mut o.steps).flat_map(|s| &mut s.tasks);
        let stuck = tasks.filter(|task| {
            let away = task.away_since.map_or(Duration::ZERO, |at| now.saturating_sub(at));
            task.is_waiting() && away >= GIVE_BACK_AFTER
        });
        let mut changed = false;
        for task in stuck {
            task.phase = TaskPhase::GivenBack;
            changed = true;
        }
        if changed {
            self.log.touch(id);
        }
    }

    pub(super) fn hear_message(&mut self, from: &Arc<str>, msg: LoanMsg) {
        match msg {
            LoanMsg::Lend { job, loan, tasks } => self.take_loan(from, &job, loan, tasks),
            LoanMsg::Taken { job, loan, tasks, begun } => {
                self.loan_taken(job, loan, &tasks, begun);
            }
            LoanMsg::Return { job, tasks } => self.loan_returned(from, job, tasks),
            LoanMsg::Settled { job, tasks } => self.loan_settled(job, &tasks),
            LoanMsg::Recall { job, tasks } => self.loan_recalled(from, job, &tasks),
        }
    }

    fn take_loan(&mut self, from: &Arc<str>, spec: &Arc<Job>, loan: u64, tasks: Vec<LentTask>) {
        let (id, now) = (spec.id, self.now.steady);
        let wanted =
            |task: &LentTask| !self.loans.ended.contains_key(&LoanedTask { task: task.task, loan });
        let tasks: Vec<LentTask> = tasks.into_iter().filter(wanted).collect();
        if tasks.is_empty() || self.stage != super::Stage::Serving {
            return;
        }
        let images = self.images_of(spec);
        let job = self.jobs.entry(id).or_insert_with(|| {
            let age = self.now.wall.saturating_sub(spec.accepted);
            let mut job = JobRun::new(spec.clone(), images, now.saturating_sub(age));
            job.home = Some(from.clone());
            job
        });
        if job.home.as_ref() != Some(from) || job.record == RecordState::Dropped {
            // What is left of an earlier loan is on its way out; the loan is offered again.
            return;
        }
        self.loans.guests.insert(id);
        let mut changed = false;
        let mut names: Vec<TaskRef> = tasks.iter().map(|lent| lent.task).collect();
        for lent in tasks {
            changed |= add_guest(job, lent, loan, now);
        }
        names.retain(|name| job.task(*name).is_some_and(|task| task.loan == loan));
        if changed {
            job.advance(now);
            self.replan();
            self.log.touch(id);
        } else if self.log.is_durable(id) && !names.is_empty() {
            let begun = if job.started == Started::Yes { Begun::Yes } else { Begun::No };
            let msg = LoanMsg::Taken { job: id, loan, tasks: names, begun };
            self.tell(from, msg);
        }
    }

    fn loan_taken(&mut self, id: JobId, loan: u64, tasks: &[TaskRef], begun: Begun) {
        let known = match begun {
            Begun::No => LoanKnown::Taken { ask: self.now.steady + ASK_EVERY },
            Begun::Yes => LoanKnown::Begun,
        };
        let Some(job) = self.jobs.get_mut(&id) else { return };
        for task in tasks {
            let lent = job.task_mut(*task).and_then(|task| task.lent.as_mut());
            if let Some(lent) = lent.filter(|lent| lent.loan == loan) {
                lent.known = known;
            }
        }
        if begun == Begun::Yes {
            self.note_began(id);
        }
    }

    fn loan_returned(&mut self, from: &Arc<str>, id: JobId, tasks: Vec<ReturnedTask>) {
        let mut settled = Vec::new();
        let mut failed = false;
        let durable = self.log.is_durable(id);
        let known = self.jobs.contains_key(&id);
        for back in tasks {
            let loaned = LoanedTask { task: back.task, loan: back.loan };
            let task = self.jobs.get_mut(&id).and_then(|job| job.task_mut(back.task));
            let ours = task.filter(|task| {
                task.lent.as_ref().is_some_and(|l| l.loan == back.loan && l.to == *from)
            });
            let Some(task) = ours else {
                if durable || !known {
                    settled.push(loaned);
                }
                continue;
            };
            task.lent = None;
            let began = back.last_run > task.last_run;
            task.last_run = task.last_run.max(back.last_run);
            task.failed = task.failed.max(back.failed);
            task.away_since.get_or_insert(self.now.steady);
            if back.checkpoint.is_some() {
                task.checkpoint = back.checkpoint;
            }
            task.crashes = task.crashes.most(back.crashes);
            match back.result {
                LoanResult::Succeeded => task.phase = TaskPhase::Succeeded,
                LoanResult::Failed => failed = true,
                LoanResult::GivenBack => {}
            }
            if began {
                self.note_began(id);
            }
            self.log.touch(id);
        }
        if failed && self.jobs.get(&id).is_some_and(|job| !job.is_final()) {
            self.fail_job(id);
        }
        self.advance(id);
        if !settled.is_empty() {
            let msg = LoanMsg::Settled { job: id, tasks: settled };
            self.tell_as_owner(from, msg);
        }
    }

    fn loan_settled(&mut self, id: JobId, tasks: &[LoanedTask]) {
        let now = self.now.steady;
        let Some(job) = self.jobs.get_mut(&id).filter(|job| job.is_guest()) else { return };
        for loaned in tasks {
            let Some(task) = job.task_mut(loaned.task) else { continue };
            if task.loan == loaned.loan && task.runs.is_empty() && task.phase != TaskPhase::Open {
                task.phase = TaskPhase::Elsewhere;
                self.loans.end(*loaned, now);
            }
        }
        if job.tasks().all(|task| task.phase == TaskPhase::Elsewhere) {
            job.record = RecordState::Dropped;
            self.loans.guests.shift_remove(&id);
        }
        self.log.touch(id);
    }

    fn loan_recalled(&mut self, from: &Arc<str>, id: JobId, tasks: &[LoanedTask]) {
        let now = self.now.steady;
        let mut unknown = Vec::new();
        for loaned in tasks {
            let job = self.jobs.get_mut(&id).filter(|job| job.is_guest());
            let task = job.and_then(|job| job.task_mut(loaned.task));
            let ours = task.filter(|t| t.loan == loaned.loan && t.phase != TaskPhase::Elsewhere);
            let Some(task) = ours else {
                // The loan may still be on its way here: it comes too late.
                self.loans.end(*loaned, now);
                unknown.push(given_back(*loaned));
                continue;
            };
            if task.phase == TaskPhase::Open {
                task.phase = TaskPhase::GivenBack;
                let places = task.runs.clone();
                self.log.touch(id);
                for place in places {
                    let key = RunKey { task: loaned.task, run: place.run };
                    self.stop_run(&place.vm, key, "its job has ended where it was accepted");
                }
            }
        }
        if !unknown.is_empty() {
            let msg = LoanMsg::Return { job: id, tasks: unknown };
            self.tell_as_owner(from, msg);
        }
    }

    /// Says what only the owner may: that a loan isn't known here. One that lost the shard without
    /// knowing it would deny loans of its successor, so that it is said after the next commit.
    fn tell_as_owner(&mut self, to: &Arc<str>, msg: LoanMsg) {
        if let Some(fence) = self.loans.fence_of(to) {
            self.log.after_next(Action::Tell { to: to.clone(), fence, msg });
        }
    }

    /// Says something to a shard's present owner, if that is known.
    fn tell(&mut self, to: &Arc<str>, msg: LoanMsg) {
        if let Some(fence) = self.loans.fence_of(to) {
            self.out.push(Action::Tell { to: to.clone(), fence, msg });
        }
    }

    /// Whether another shard, as it was last heard of, has a VM with room for a task of the step.
    pub(super) fn fits_elsewhere(&self, job: JobId, step: &Step) -> bool {
        let Some(job) = self.jobs.get(&job) else { return false };
        let mut others = self.loans.neighbours.values();
        others.any(|other| reserved_room(&other.summary, step, &job.job.service) > 0.0)
    }

    /// Lends waiting tasks that find no room here to shards that have some.
    pub(super) fn lend(&mut self, waiting: &[TaskRef]) {
        let now = self.now.steady;
        if self.loans.neighbours.is_empty() {
            return;
        }
        let mut lent: IndexMap<(JobId, Arc<str>), usize> = IndexMap::new();
        for task in waiting {
            let Some(to) = self.lender_for(*task) else { continue };
            let loan = self.log.next_seq();
            let Some(job) = self.jobs.get_mut(&task.job) else { continue };
            let Some(known) = job.task_mut(*task) else { continue };
            known.lent = Some(Lent { to: to.clone(), loan, known: LoanKnown::Nothing });
            self.log.touch(task.job);
            self.loans.lending.insert(task.job);
            self.loans.hurry(now);
            *lent.entry((task.job, to)).or_default() += 1;
        }
        for ((job, to), tasks) in lent {
            self.note(Note::TasksLent { job, to: to.to_string(), tasks });
        }
    }

    /// A shard with room for a task that has waited long enough.
    fn lender_for(&mut self, task: TaskRef) -> Option<Arc<str>> {
        let job = self.jobs.get(&task.job)?;
        let step = job.step(task)?.clone();
        // A group runs in one shard, and a task that was lent here isn't lent on.
        if job.is_guest() || step.members.as_one() {
            return None;
        }
        let patience = match (step.share, step.life) {
            (Share::Leftover, _) => LEFTOVER_PATIENCE,
            _ if step.members.one_rack() => LASTING_PATIENCE,
            (Share::Reserved, Life::Lasting) => LASTING_PATIENCE,
            (Share::Reserved, Life::Finite) => PATIENCE,
        };
        let known = job.task(task)?;
        let since = known.away_since.max(job.step_run(task)?.ready)?;
        if self.now.steady.saturating_sub(since) < patience {
            return None;
        }
        if self.needs_permits(job) && !self.is_denied_here(task, &step) {
            return None;
        }
        let service = job.job.service.clone();
        let image = image_name(job, &step);
        let fits = |summary: &Summary| match step.share {
            Share::Reserved => reserved_room(summary, &step, &service),
            Share::Leftover => leftover_room(summary, &step, &image),
        };
        let neighbours = self.loans.neighbours.values();
        let best = neighbours.map(|neighbour| (&neighbour.name, fits(&neighbour.summary)));
        let (name, _) = best.filter(|(_, room)| *room > 0.0).max_by(|a, b| a.1.total_cmp(&b.1))?;
        let name = name.clone();
        let summary = Arc::make_mut(&mut self.loans.neighbours.get_mut(&name)?.summary);
        count_lent(summary, &step, &image);
        Some(name)
    }
}

impl LoanKnown {
    /// Whether the loan is to be told again.
    fn is_asked(self, now: Duration) -> bool {
        match self {
            Self::Nothing => true,
            Self::Told { ask } | Self::Taken { ask } => now >= ask,
            Self::Begun => false,
        }
    }
}

/// The image of a step's tasks, as other shards know it.
fn image_name(job: &JobRun, step: &Step) -> Image {
    step.image.clone().unwrap_or_else(|| Image::new(job.job.queue.as_str()))
}

/// Tasks of a step that a shard has room for.
fn reserved_room(summary: &Summary, step: &Step, service: &crate::ids::ServiceName) -> f64 {
    let need = step.reserved();
    let fits = |room: &&FreeRoom| {
        need.fits_in(&room.free)
            && room.service == *service
            && step.label.as_ref().is_none_or(|label| room.labels.contains(label))
    };
    summary.rooms.iter().filter(fits).count() as f64 * COUNTED_ON
}

/// Processors that leftover work of an image would get in a shard, in thousandths of a core.
fn leftover_room(summary: &Summary, step: &Step, image: &Image) -> f64 {
    let harmless = summary.harmless_free.iter().find(|(known, _)| known == image);
    let free = harmless.map_or(0.0, |(_, free)| *free as f64) * COUNTED_ON;
    let need = f64::from(step.size.milli_cores.0);
    if free >= need { free } else { 0.0 }
}

/// Takes what was just lent off what is known of a shard.
fn count_lent(summary: &mut Summary, step: &Step, image: &Image) {
    let need = step.reserved();
    match step.share {
        Share::Reserved => {
            let room = summary.rooms.iter_mut().find(|room| need.fits_in(&room.free));
            if let Some(room) = room {
                room.free = Resources::ZERO;
            }
        }
        Share::Leftover => {
            let known = summary.harmless_free.iter_mut().find(|(known, _)| known == image);
            if let Some((_, free)) = known {
                *free = free.saturating_sub(u64::from(step.size.milli_cores.0) * 2);
            }
        }
    }
}

/// Adds a lent task to a job; false if it is there already.
fn add_guest(job: &mut JobRun, lent: LentTask, loan: u64, now: Duration) -> bool {
    let number = lent.task.occurrence;
    if !job.open.iter().any(|occurrence| occurrence.number == number) {
        job.open.push(empty_occurrence(&job.job, number, now));
    }
    let Some(task) = job.task_mut(lent.task) else { return false };
    if task.loan == loan {
        return false;
    }
    if task.phase != TaskPhase::Elsewhere {
        // An earlier loan of it isn't settled yet.
        return false;
    }
    *task = Task {
        phase: TaskPhase::Open,
        last_run: lent.last_run,
        failed: lent.failed,
        checkpoint: lent.checkpoint,
        crashes: lent.crashes,
        away_since: Some(now),
        loan,
        ..Task::default()
    };
    true
}

/// An occurrence of which nothing is here.
fn empty_occurrence(job: &Job, number: u32, now: Duration) -> Occurrence {
    let elsewhere = || Task { phase: TaskPhase::Elsewhere, ..Task::default() };
    let steps = job.steps.iter().map(|step| StepRun {
        tasks: (0..step.tasks).map(|_| elsewhere()).collect(),
        ready: Some(now),
        load: None,
        permits: super::permits::StepPermits::default(),
        proven: false,
    });
    Occurrence { number, steps: steps.collect() }
}

fn returned(task: TaskRef, known: &Task) -> Option<ReturnedTask> {
    if !known.runs.is_empty() {
        return None;
    }
    let result = match known.phase {
        TaskPhase::Succeeded => LoanResult::Succeeded,
        TaskPhase::Failed => LoanResult::Failed,
        TaskPhase::GivenBack => LoanResult::GivenBack,
        TaskPhase::Open | TaskPhase::Elsewhere => return None,
    };
    Some(ReturnedTask {
        task,
        loan: known.loan,
        result,
        last_run: known.last_run,
        failed: known.failed,
        checkpoint: known.checkpoint.clone(),
        crashes: known.crashes,
    })
}

fn given_back(loaned: LoanedTask) -> ReturnedTask {
    ReturnedTask {
        task: loaned.task,
        loan: loaned.loan,
        result: LoanResult::GivenBack,
        last_run: RunNumber(0),
        failed: 0,
        checkpoint: None,
        crashes: Crashes::default(),
    }
}
