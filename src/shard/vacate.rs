//! Emptying VMs whose machines go down for upkeep.
//!
//! Everything on the machine ends with the order, so that nothing may be there then that isn't to
//! end. Nothing is placed on such a VM any more. What lasts moves elsewhere, no more tasks of a step
//! at a time than may be away; what can be resumed is stopped; the rest may end by itself for a
//! while, since stopping it throws its work away.

use super::Shard;
use super::event::VacateOrder;
use super::job_run::{JobRun, StepRun, Task};
use super::vm_run::{Run, RunKey, Vm};
use crate::ids::VmId;
use crate::job::{Life, Resume, Step, TaskRef};
use crate::note::{Note, Word};
use indexmap::{IndexMap, IndexSet};
use std::time::Duration;

/// Between two lines on why a VM isn't empty yet.
const NOTE_EVERY: Duration = Duration::from_secs(2);

/// Between two looks at what can be stopped.
const LOOK_EVERY: Duration = Duration::from_millis(150);

/// VMs that are to be empty.
#[derive(Debug, Default)]
pub struct Vacating {
    /// And since when.
    vms: IndexMap<VmId, Duration>,
    /// Their turn comes: nothing that lasts is to begin there.
    later: IndexSet<VmId>,
    /// Time that work which can't be resumed is left to end by itself.
    patience: Duration,
    next_look: Duration,
    next_note: Duration,
}

impl Vacating {
    /// Whether nothing may be placed on a VM.
    pub fn has(&self, vm: &VmId) -> bool {
        self.vms.contains_key(vm)
    }

    /// Whether what lasts would soon have to leave a VM.
    pub fn comes(&self, vm: &VmId) -> bool {
        self.later.contains(vm)
    }
}

impl Shard {
    /// These VMs are to be empty, and those later.
    pub(super) fn vacate(&mut self, order: VacateOrder) {
        let VacateOrder { vms, later, patience } = order;
        let now = self.now.steady;
        let before = std::mem::take(&mut self.vacating);
        for vm in vms {
            let since = before.vms.get(&vm).copied();
            if since.is_none() {
                let runs = self.vms.get(&vm).map_or(0, |vm| vm.runs.len());
                self.note(Note::VmVacating { vm: vm.clone(), runs, outcome: "begun" });
            }
            self.vacating.vms.insert(vm, since.unwrap_or(now));
        }
        self.vacating.next_look = before.next_look;
        self.vacating.next_note = before.next_note;
        self.vacating.later = later.into_iter().collect();
        self.vacating.patience = patience;
        self.replan();
    }

    /// VMs that were to be emptied and run nothing.
    pub fn vacated(&self) -> Vec<VmId> {
        let now = self.now.steady;
        let is_empty = |vm: &&Vm| vm.runs.is_empty() && vm.is_heard(now);
        let vms = self.vacating.vms.keys().filter_map(|id| self.vms.get(id));
        vms.filter(is_empty).map(|vm| vm.id.clone()).collect()
    }

    /// Stops what is to leave and may.
    pub(super) fn empty_vacating(&mut self) {
        let now = self.now.steady;
        if self.vacating.vms.is_empty() || now < self.vacating.next_look {
            return;
        }
        self.vacating.next_look = now + LOOK_EVERY;
        let vacating: Vec<(VmId, Duration)> =
            self.vacating.vms.iter().map(|(vm, since)| (vm.clone(), *since)).collect();
        for (vm, since) in vacating {
            for key in self.running_on(&vm) {
                // Each stop counts against what else of its step may be away.
                match self.stays(&vm, key, since) {
                    None => self.stop_run(&vm, key, "its VM is to be empty"),
                    Some(reason) => self.note_stays(&vm, key, reason),
                }
            }
        }
    }

    fn note_stays(&mut self, vm: &VmId, key: RunKey, reason: Word) {
        let now = self.now.steady;
        if now >= self.vacating.next_note {
            self.vacating.next_note = now + NOTE_EVERY;
            self.note(Note::VacateWaits { vm: vm.clone(), task: key.task, reason });
        }
    }

    fn running_on(&self, vm: &VmId) -> Vec<RunKey> {
        let Some(vm) = self.vms.get(vm) else { return Vec::new() };
        let running = vm.runs.iter().filter(|(_, run)| run.is_running());
        running.map(|(key, _)| *key).collect()
    }

    /// Why a run isn't stopped yet; `None` if it may be.
    fn stays(&self, vm: &VmId, key: RunKey, since: Duration) -> Option<Word> {
        let now = self.now.steady;
        let job = self.jobs.get(&key.task.job)?;
        let step = job.step(key.task)?;
        let run = self.vms.get(vm).and_then(|vm| vm.runs.get(&key))?;
        match (step.life, step.resume) {
            (Life::Lasting, _) if !self.may_be_away(job, step, key.task) => {
                Some("others of its step are away")
            }
            (Life::Lasting, _)
                if now.saturating_sub(since) < ROOM_PATIENCE && !self.has_room(job, step) =>
            {
                Some("there is no room elsewhere")
            }
            (Life::Finite, Resume::FromStart)
                if now.saturating_sub(since) < self.vacating.patience || ends_soon(run, now) =>
            {
                Some("it may end by itself")
            }
            _ => None,
        }
    }

    /// Whether one more task of a step may be away.
    fn may_be_away(&self, job: &JobRun, step: &Step, task: TaskRef) -> bool {
        let Some(most) = step.max_away else { return true };
        // What other shards do to the step's tasks isn't known here.
        let Some(run) = job.step_run(task).filter(|run| !job.is_guest() && !has_lent(run)) else {
            return false;
        };
        let others =
            run.tasks.iter().enumerate().filter(|(index, _)| *index != task.index as usize);
        let away = others.filter(|(index, other)| {
            let number = u32::try_from(*index).unwrap_or(u32::MAX);
            !self.is_at_work(TaskRef { index: number, ..task }, other)
        });
        away.count() < most as usize
    }

    fn is_at_work(&self, task: TaskRef, known: &Task) -> bool {
        known.runs.iter().any(|place| {
            let key = RunKey { task, run: place.run };
            let run = self.vms.get(&place.vm).and_then(|vm| vm.runs.get(&key));
            run.is_some_and(|run| run.is_running() && run.percent == 100)
        })
    }

    /// Whether a task of a step would find room at once.
    fn has_room(&self, job: &JobRun, step: &Step) -> bool {
        let now = self.now.steady;
        self.vms.values().any(|vm| {
            vm.entry.service == job.job.service
                && vm.takes_work(now)
                && !self.vacating.has(&vm.id)
                && step.reserved().fits_in(&vm.free())
                && self.has_label(&vm.id, step)
        })
    }
}

fn has_lent(run: &StepRun) -> bool {
    run.tasks.iter().any(|task| task.lent.is_some())
}

/// Whether a run will have ended in about a second.
fn ends_soon(run: &Run, now: Duration) -> bool {
    let Some(since) = run.running_since else { return false };
    let ran = now.saturating_sub(since);
    run.percent > 0
        && ran.mul_f64(f64::from(100 - run.percent.min(100)) / f64::from(run.percent)) < SOON
}

/// Time for room elsewhere to come free for a task that lasts. On a full shard none does by itself: room
/// is kept free, here or in another shard, only for what waits.
const ROOM_PATIENCE: Duration = Duration::from_millis(1200);

/// As long as stopping takes.
const SOON: Duration = Duration::from_millis(1000);
