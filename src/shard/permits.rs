//! Steps that run only on VMs that an outside service permits.
//!
//! The service's verdict on a VM doesn't change, while its permit is valid for some seconds. It
//! takes one question at a time from each daemon, longer the more VMs a question names, so that
//! every question delays those behind it: the most urgent steps are asked about first, about as
//! many VMs as their waiting tasks need by the share that was permitted so far, and never again
//! about a VM that was denied. A start without a valid permit would be refused by the VM.

use super::Shard;
use super::event::Action;
use super::job_run::JobRun;
use super::order::Candidate;
use super::room::Room;
use crate::ids::VmId;
use crate::job::{QueueName, Step, StepRef, TaskRef};
use crate::note::{Ms, Note};
use crate::permit::{Error, MAX_ASKED, Permit, PermitReq, PermitResp, Result};
use crate::queues::PermitTimes;
use indexmap::IndexMap;
use std::time::Duration;

/// Least VMs that a question names where there are more.
const MIN_ASKED: usize = 6;

/// Part of a question's own time that may go to naming more VMs than are needed by what is known: a
/// second question, since too few were permitted, costs the whole time again.
const SPARE_TIME: u32 = 5;

/// Time before its end from which on a permit isn't counted on: a binding is durable within 30 ms,
/// and a start that isn't answered is sent again for 0.5 s.
const PERMIT_MARGIN: Duration = Duration::from_millis(500);

/// Pause before a question without an answer is asked again.
const ASK_RETRY: Duration = Duration::from_millis(250);

/// Times the service's own time after which a question counts as unanswered: others' questions may
/// come before it.
const PATIENCE: u32 = 4;

/// Added to that: the way there and back, and a slowed service.
const PATIENCE_MARGIN: Duration = Duration::from_millis(400);

/// Verdicts counted beforehand, half of them permits, until a queue's own share is known.
const ASSUMED: f64 = 4.0;

/// On which VMs a step may run, as far as that was asked.
#[derive(Debug, Default)]
pub struct StepPermits {
    verdicts: IndexMap<VmId, Verdict>,
    question: Question,
}

#[derive(Clone, Debug)]
enum Verdict {
    /// For good.
    Denied,
    Permitted {
        permit: Permit,
        until: Duration,
    },
}

/// Whether a step may be asked about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Question {
    UnderWay,
    /// From then on.
    Open(Duration),
}

impl Default for Question {
    fn default() -> Self {
        Self::Open(Duration::ZERO)
    }
}

/// What a question is to bring.
struct Wanted {
    tasks: usize,
    /// Share of VMs that is expected to be permitted.
    share: f64,
    /// VMs to name at least.
    least: usize,
}

/// What a shard remembers of its questions.
#[derive(Debug, Default)]
pub struct Questions {
    under_way: u32,
    /// Most under way at a time; zero counts as one.
    most: u32,
    shares: IndexMap<QueueName, Share>,
}

/// Verdicts on a queue's steps so far.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    asked: f64,
    permitted: f64,
}

impl StepPermits {
    /// The permit for a VM, if it will still be valid when a start arrives there.
    pub fn valid(&self, vm: &VmId, now: Duration) -> Option<&Permit> {
        match self.verdicts.get(vm)? {
            Verdict::Permitted { permit, until } if now + PERMIT_MARGIN < *until => Some(permit),
            _ => None,
        }
    }

    /// A VM didn't take the permit.
    pub fn lapse(&mut self, vm: &VmId) {
        if let Some(Verdict::Permitted { until, .. }) = self.verdicts.get_mut(vm) {
            *until = Duration::ZERO;
        }
    }

    fn is_denied(&self, vm: &VmId) -> bool {
        matches!(self.verdicts.get(vm), Some(Verdict::Denied))
    }

    fn is_known(&self, vm: &VmId) -> bool {
        self.verdicts.contains_key(vm)
    }

    fn may_be_asked(&self, now: Duration) -> bool {
        matches!(self.question, Question::Open(from) if now >= from)
    }
}

impl Shard {
    /// The permits of a task's step; `None` if it needs none.
    pub(super) fn permits_of(&self, task: TaskRef) -> Option<&StepPermits> {
        let job = self.jobs.get(&task.job)?;
        self.queue(job)?.permits?;
        Some(&job.step_run(task)?.permits)
    }

    /// Whether a job's steps need permits.
    pub(super) fn needs_permits(&self, job: &JobRun) -> bool {
        self.queue(job).is_some_and(|queue| queue.permits.is_some())
    }

    /// Whether every VM with room for a step is known to be denied to it.
    pub(super) fn is_denied_here(&self, task: TaskRef, step: &Step) -> bool {
        let Some(permits) = self.permits_of(task) else { return true };
        let now = self.now.steady;
        let mut fitting = self
            .vms
            .values()
            .filter(|vm| vm.takes_work(now) && step.reserved().fits_in(&vm.free()));
        fitting.all(|vm| permits.is_denied(&vm.id))
    }

    /// Asks about the most urgent steps with tasks that found no permitted room.
    pub(super) fn ask_permits(&mut self, candidates: &[Candidate], rooms: &[Room]) {
        for candidate in candidates {
            let Some(times) = self.jobs.get(&candidate.id).and_then(|job| self.queue(job)?.permits)
            else {
                continue;
            };
            for group in candidate.tasks.chunk_by(|a, b| a.of_step() == b.of_step()) {
                if !self.questions.may_ask() {
                    return;
                }
                self.ask_for(group, times, rooms);
            }
        }
        self.ask_ahead(rooms);
    }

    /// Asks about steps whose turn comes next, with what is left of the service's time.
    fn ask_ahead(&mut self, rooms: &[Room]) {
        let next: Vec<(Vec<TaskRef>, PermitTimes)> = self
            .jobs
            .values()
            .filter(|job| !job.is_final())
            .filter_map(|job| Some((job, self.queue(job)?.permits?)))
            .flat_map(|(job, times)| next_steps(job, times).into_iter().map(move |s| (s, times)))
            .collect();
        for (group, times) in next {
            if !self.questions.may_ask() {
                return;
            }
            self.ask_for(&group, times, rooms);
        }
    }

    /// How many questions may be under way at a time.
    pub(super) fn set_askers(&mut self, askers: u32) {
        self.questions.most = askers.max(1);
    }

    fn ask_for(&mut self, group: &[TaskRef], times: PermitTimes, rooms: &[Room]) {
        let now = self.now.steady;
        let Some(job) = self.jobs.get(&group[0].job) else { return };
        let (Some(step), Some(run)) = (job.step(group[0]), job.step_run(group[0])) else { return };
        let is_waiting = |task: &&TaskRef| job.task(**task).is_some_and(|task| task.is_waiting());
        let waiting = group.iter().filter(is_waiting).count();
        if waiting == 0 || !run.permits.may_be_asked(now) {
            return;
        }
        let share = self.questions.share(&job.job.queue);
        let spare = times.question.as_micros() / times.each_vm.as_micros().max(1);
        let least = usize::try_from(spare).unwrap_or(MAX_ASKED) / SPARE_TIME as usize;
        let wanted = Wanted { tasks: waiting, share, least: least.clamp(MIN_ASKED, MAX_ASKED) };
        let vms = self.to_ask(step, &run.permits, &wanted, rooms, &job.job.service);
        if vms.is_empty() {
            return;
        }
        let step = group[0].of_step();
        let time = times.question + times.each_vm * u32::try_from(vms.len()).unwrap_or(u32::MAX);
        let timeout = time * PATIENCE + PATIENCE_MARGIN;
        if let Some(run) = self.step_run_mut(step) {
            run.permits.question = Question::UnderWay;
        }
        self.questions.under_way += 1;
        self.out.push(Action::Ask(PermitReq { step, vms, timeout }));
    }

    /// VMs to ask about: those with room first, until they have enough for all that waits.
    fn to_ask(
        &self,
        step: &Step,
        permits: &StepPermits,
        wanted: &Wanted,
        rooms: &[Room],
        service: &crate::ids::ServiceName,
    ) -> Vec<VmId> {
        let now = self.now.steady;
        let fits = |room: &&Room| {
            room.service == *service
                && self.has_label(&room.vm, step)
                && !permits.is_denied(&room.vm)
                && permits.valid(&room.vm, now).is_none()
        };
        let mut open: Vec<(usize, &Room)> =
            rooms.iter().filter(fits).map(|room| (room.fitting(step), room)).collect();
        // Where it is permitted already and has room, one question renews the permit.
        open.sort_by_key(|(fitting, room)| {
            (*fitting == 0, !permits.is_known(&room.vm), std::cmp::Reverse(room.free.milli_cores))
        });
        let mut expected = 0.0;
        let mut vms = Vec::new();
        for (fitting, room) in open {
            let enough = expected >= wanted.tasks as f64 && vms.len() >= wanted.least;
            if enough || vms.len() >= MAX_ASKED {
                break;
            }
            let sure = if permits.is_known(&room.vm) { 1.0 } else { wanted.share };
            expected += sure * fitting as f64;
            vms.push(room.vm.clone());
        }
        // What is full everywhere is asked about once there is room.
        if expected > 0.0 { vms } else { Vec::new() }
    }

    pub(super) fn permitted(
        &mut self,
        step: StepRef,
        vms: &[VmId],
        sent: Duration,
        result: Result<PermitResp>,
    ) {
        let now = self.now.steady;
        self.questions.under_way = self.questions.under_way.saturating_sub(1);
        self.replan();
        let queue = self.jobs.get(&step.job).map(|job| job.job.queue.clone());
        let Some(run) = self.step_run_mut(step) else { return };
        let resp = match result {
            Ok(resp) => resp,
            Err(e) => {
                run.permits.question = Question::Open(now + ASK_RETRY);
                return self.note_unanswered(step, vms.len(), &e);
            }
        };
        run.permits.question = Question::Open(now);
        for vm in vms {
            run.permits.verdicts.insert(vm.clone(), Verdict::Denied);
        }
        let until = sent + resp.valid;
        let permitted = resp.permits.len();
        for (vm, permit) in resp.permits {
            run.permits.verdicts.insert(vm, Verdict::Permitted { permit, until });
        }
        if let Some(queue) = queue {
            self.questions.learn(queue, vms.len(), permitted);
        }
        let took_ms = Ms(now.saturating_sub(sent));
        let (job, step, asked) = (step.job, step.step, vms.len());
        self.note(Note::StepPermitted { job, step, asked, permitted, took_ms });
    }

    fn note_unanswered(&mut self, step: StepRef, asked: usize, error: &Error) {
        let (job, step, reason) = (step.job, step.step, error.to_string());
        self.note(Note::PermitsUnanswered { job, step, asked, reason });
    }

    fn step_run_mut(&mut self, step: StepRef) -> Option<&mut super::job_run::StepRun> {
        let first =
            TaskRef { job: step.job, occurrence: step.occurrence, step: step.step, index: 0 };
        self.jobs.get_mut(&step.job)?.step_run_mut(first)
    }
}

/// Tasks of the steps that wait only for tasks which run, and soon will have ended.
fn next_steps(job: &JobRun, times: PermitTimes) -> Vec<Vec<TaskRef>> {
    let mut next = Vec::new();
    for occurrence in &job.open {
        for (number, (step, run)) in job.job.steps.iter().zip(&occurrence.steps).enumerate() {
            let comes_soon = |after: &u16| {
                let before = usize::from(*after);
                let estimate = job.job.steps[before].estimate;
                let runs = &occurrence.steps[before].tasks;
                estimate < times.valid / 2 && runs.iter().all(|task| !task.is_waiting())
            };
            if run.ready.is_none() && step.after.iter().all(comes_soon) {
                let tasks = 0..run.tasks.len();
                next.push(tasks.map(|i| job.task_ref(occurrence.number, number, i)).collect());
            }
        }
    }
    next
}

impl Questions {
    fn may_ask(&self) -> bool {
        self.under_way < self.most.max(1)
    }

    /// Share of a queue's verdicts that are permits.
    fn share(&self, queue: &QueueName) -> f64 {
        let known = self.shares.get(queue).copied().unwrap_or_default();
        (known.permitted + ASSUMED / 2.0) / (known.asked + ASSUMED)
    }

    fn learn(&mut self, queue: QueueName, asked: usize, permitted: usize) {
        let share = self.shares.entry(queue).or_default();
        share.asked += asked as f64;
        share.permitted += permitted as f64;
    }
}
