//! Draining of VMs whose machines go down for upkeep.
//!
//! Carrying out the upkeep order ends everything on the machine, so the VM has to be empty by
//! then. No new tasks are placed on it. Long-running tasks move to other VMs, with no more tasks of
//! a step unavailable at a time than the step allows. Tasks that can resume from a checkpoint are
//! stopped. All others get some time to finish, since stopping them discards their work.

use super::Shard;
use super::event::DrainOrder;
use super::job_run::{JobRun, StepRun, Task};
use super::room::VmCapacity;
use super::vm_run::{Run, RunKey, Vm};
use crate::ids::VmId;
use crate::job::{Life, Resume, Step, TaskRef};
use crate::note::{Note, StaticText};
use indexmap::{IndexMap, IndexSet};
use std::time::Duration;

/// Interval between log lines on why a VM is not empty yet.
const LOG_INTERVAL: Duration = Duration::from_secs(2);

/// Interval between checks for runs that can be stopped.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// VMs that are being drained for upkeep.
#[derive(Debug, Default)]
pub struct UpkeepDrain {
    /// Registered ids of the VMs that are being drained, with the start time.
    vms: IndexMap<VmId, Duration>,
    /// VMs that are drained later: long-running tasks are not started there.
    upcoming: IndexSet<VmId>,
    /// Time that tasks without checkpoints get to finish.
    finish_timeout: Duration,
    next_check: Duration,
    next_log: Duration,
}

impl UpkeepDrain {
    /// Returns whether a VM is being drained, so that nothing may be placed on it.
    pub fn is_draining(&self, vm: &VmId) -> bool {
        self.vms.contains_key(vm.registered())
    }

    /// Returns whether a VM is going to be drained soon, so that long-running tasks should avoid
    /// it.
    pub fn is_drain_scheduled(&self, vm: &VmId) -> bool {
        self.upcoming.contains(vm.registered())
    }
}

impl Shard {
    /// Applies an order that names the VMs to drain now and those to drain later.
    pub(super) fn set_draining_vms(&mut self, order: DrainOrder) {
        let DrainOrder { vms, upcoming, finish_timeout } = order;
        let now = self.now.steady;
        let before = std::mem::take(&mut self.upkeep_drain);
        for vm in vms {
            let since = before.vms.get(&vm).copied();
            if since.is_none() {
                let runs = self.instances_of(&vm).map(|vm| vm.runs.len()).sum();
                self.note(Note::VmVacating { vm: vm.clone(), runs, outcome: "begun" });
            }
            self.upkeep_drain.vms.insert(vm, since.unwrap_or(now));
        }
        self.upkeep_drain.next_check = before.next_check;
        self.upkeep_drain.next_log = before.next_log;
        self.upkeep_drain.upcoming = upcoming.into_iter().collect();
        self.upkeep_drain.finish_timeout = finish_timeout;
        self.request_schedule();
    }

    /// The known instances of a VM, most often one.
    fn instances_of(&self, registered: &VmId) -> impl Iterator<Item = &Vm> {
        self.vms.values().filter(move |vm| vm.id.registered() == registered.as_str())
    }

    /// Returns the registered ids of the VMs that have been drained: they respond and no instance
    /// has runs.
    pub fn drained_vms(&self) -> Vec<VmId> {
        let now = self.now.steady;
        let is_drained = |registered: &&VmId| {
            let is_responsive = self.instances_of(registered).any(|vm| vm.is_responsive(now));
            is_responsive && self.instances_of(registered).all(|vm| vm.runs.is_empty())
        };
        self.upkeep_drain.vms.keys().filter(is_drained).cloned().collect()
    }

    /// Stops the runs on draining VMs that may be stopped now.
    pub(super) fn stop_runs_on_draining_vms(&mut self) {
        let now = self.now.steady;
        if self.upkeep_drain.vms.is_empty() || now < self.upkeep_drain.next_check {
            return;
        }
        self.upkeep_drain.next_check = now + CHECK_INTERVAL;
        let drain = self.upkeep_drain.vms.iter();
        let draining: Vec<(VmId, Duration)> = drain
            .flat_map(|(vm, since)| self.instances_of(vm).map(|vm| (vm.id.clone(), *since)))
            .collect();
        for (vm, since) in draining {
            for key in self.runs_on(&vm) {
                // Each stop reduces the number of further tasks of the step that may be stopped.
                match self.stop_blocker(&vm, key, since) {
                    None => self.stop_run(&vm, key, "its VM is drained for upkeep"),
                    Some(reason) => self.log_blocked_stop(&vm, key, reason),
                }
            }
        }
    }

    fn log_blocked_stop(&mut self, vm: &VmId, key: RunKey, reason: StaticText) {
        let now = self.now.steady;
        if now >= self.upkeep_drain.next_log {
            self.upkeep_drain.next_log = now + LOG_INTERVAL;
            self.note(Note::VacateWaits { vm: vm.clone(), task: key.task, reason });
        }
    }

    fn runs_on(&self, vm: &VmId) -> Vec<RunKey> {
        let Some(vm) = self.vms.get(vm) else { return Vec::new() };
        let running = vm.runs.iter().filter(|(_, run)| run.is_running());
        running.map(|(key, _)| *key).collect()
    }

    /// Returns the reason why a run is not stopped yet, or `None` if it may be stopped.
    fn stop_blocker(&self, vm: &VmId, key: RunKey, since: Duration) -> Option<StaticText> {
        let now = self.now.steady;
        let job = self.jobs.get(&key.task.job)?;
        let step = job.step(key.task)?;
        let run = self.vms.get(vm).and_then(|vm| vm.runs.get(&key))?;
        match (step.life, step.resume) {
            (Life::Lasting, _) if !self.may_stop_another(job, step, key.task) => {
                Some("too many tasks of its step are unavailable")
            }
            (Life::Lasting, _)
                if now.saturating_sub(since) < MAX_ROOM_WAIT
                    && !self.fits_elsewhere_now(key.task) =>
            {
                Some("no other VM has room for it")
            }
            (Life::Finite, Resume::FromStart)
                if now.saturating_sub(since) < self.upkeep_drain.finish_timeout
                    || ends_soon(run, now) =>
            {
                Some("it may finish on its own")
            }
            _ => None,
        }
    }

    /// Returns whether one more task of a step may be unavailable.
    fn may_stop_another(&self, job: &JobRun, step: &Step, task: TaskRef) -> bool {
        let Some(most) = step.max_away else { return true };
        // Availability of the step's tasks in other shards is not known.
        let Some(run) = job.step_run(task).filter(|run| !job.is_borrowed() && !has_lent_tasks(run))
        else {
            return false;
        };
        let others =
            run.tasks.iter().enumerate().filter(|(index, _)| *index != task.index as usize);
        let away = others.filter(|(index, other)| {
            let number = u32::try_from(*index).unwrap_or(u32::MAX);
            !self.is_available(TaskRef { index: number, ..task }, other)
        });
        away.count() < most as usize
    }

    /// Returns whether a task is at work, as far as its VM answers: that of one that doesn't may have
    /// been lost.
    fn is_available(&self, task: TaskRef, known: &Task) -> bool {
        let now = self.now.steady;
        known.runs.iter().any(|placed| {
            let key = RunKey { task, run: placed.run };
            let vm = self.vms.get(&placed.vm).filter(|vm| vm.is_answering(now));
            let run = vm.and_then(|vm| vm.runs.get(&key));
            run.is_some_and(|run| run.is_running() && run.percent == 100)
        })
    }

    /// Returns whether a VM of this shard may run a task right now.
    fn fits_elsewhere_now(&self, task: TaskRef) -> bool {
        let rooms = self.vms.values().filter_map(|vm| self.room(vm));
        let rooms: Vec<VmCapacity> = rooms.filter(|room| !room.is_refusing).collect();
        self.may_be_placed(task, &rooms)
    }
}

fn has_lent_tasks(run: &StepRun) -> bool {
    run.tasks.iter().any(|task| task.lent.is_some())
}

/// Returns whether a run is expected to end in less time than stopping it takes.
fn ends_soon(run: &Run, now: Duration) -> bool {
    let Some(since) = run.running_since else { return false };
    let ran = now.saturating_sub(since);
    run.percent > 0
        && ran.mul_f64(f64::from(100 - run.percent.min(100)) / f64::from(run.percent))
            < STOP_DURATION
}

/// Longest time that a long-running task stays until other VMs have room for it. A full shard frees
/// no room on its own: room is reserved, in this shard or another, only for waiting tasks.
const MAX_ROOM_WAIT: Duration = Duration::from_millis(1200);

/// Time that stopping a run takes.
const STOP_DURATION: Duration = Duration::from_millis(1000);
