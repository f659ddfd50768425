//! Conditions that a VM must meet to run a task, whatever the scheduler prefers.
//!
//! Placing, lending, moving and draining all go by these conditions: a VM that has free resources
//! but may not run a task is no room for it. Permits are checked separately, since a missing one can
//! be requested.

#[cfg(test)]
mod tests;

use super::event::FreeRoom;
use super::job_run::JobRun;
use super::room::{Hold, VmCapacity};
use super::vm_run::Vm;
use crate::ids::ServiceName;
use crate::job::{Label, Life, Step, StepRef, TaskRef};

/// What a task requires of its VM.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    pub service: &'a ServiceName,
    pub step: &'a Step,
    /// Identifies the step, whose tasks a VM may limit.
    pub key: StepRef,
}

/// Returns whether a VM is of a kind that may run the tasks of a step of a service's job.
fn is_suitable(
    step: &Step,
    service: &ServiceName,
    vm_service: &ServiceName,
    vm_labels: &[Label],
) -> bool {
    service == vm_service && step.label.as_ref().is_none_or(|label| vm_labels.contains(label))
}

impl JobRun {
    /// Returns what a task requires of its VM.
    pub fn requirements(&self, task: TaskRef) -> Option<Requirements<'_>> {
        let step = self.step(task)?;
        Some(Requirements { service: &self.job.service, step, key: task.step_ref() })
    }
}

impl Vm {
    /// Returns whether the VM is of a kind that may run a task, however full it is.
    pub fn suits(&self, task: &Requirements<'_>) -> bool {
        is_suitable(task.step, task.service, &self.entry.service, &self.entry.labels)
    }
}

impl VmCapacity {
    /// Returns whether the VM is of a kind that may run a task, however full it is.
    pub fn suits(&self, task: &Requirements<'_>) -> bool {
        is_suitable(task.step, task.service, &self.service, &self.labels)
    }

    /// Returns whether the VM may run one more task once all finite tasks on it have ended, if it gets
    /// a permit there.
    pub fn may_run_without_finite(&self, task: &Requirements<'_>) -> bool {
        self.suits(task) && !self.is_reserved && self.fits_without_finite(task.step, task.key)
    }

    /// Returns whether the VM may run one more task now, if it gets a permit there.
    pub fn may_run(&self, task: &Requirements<'_>) -> bool {
        self.suits(task) && self.is_open_to(task) && self.takes(task.step, task.key)
    }

    /// Returns how many more tasks of a step the VM may run now, if it gets permits there.
    pub fn fitting(&self, task: &Requirements<'_>) -> usize {
        if !self.suits(task) || !self.is_open_to(task) {
            return 0;
        }
        let fitting = self.free.times(&task.step.reserved_resources());
        match task.step.per_vm {
            0 => fitting,
            limit => fitting.min((limit as usize).saturating_sub(self.count(task.key))),
        }
    }

    /// Returns whether the VM's free room isn't kept for other tasks.
    fn is_open_to(&self, task: &Requirements<'_>) -> bool {
        let is_held = self.hold != Hold::None && task.step.life == Life::Finite;
        !is_held && !self.is_reserved
    }

    /// Returns whether the VM may run one more task now of a job that has stalled: an overdue hold
    /// doesn't keep it from starting.
    pub fn may_run_stalled(&self, task: &Requirements<'_>) -> bool {
        let is_held = self.hold == Hold::Held && task.step.life == Life::Finite;
        self.suits(task) && !is_held && !self.is_reserved && self.takes(task.step, task.key)
    }
}

impl FreeRoom {
    /// Returns whether the VM is of a kind that may run a step's tasks, however full it is.
    pub fn suits(&self, step: &Step, service: &ServiceName) -> bool {
        is_suitable(step, service, &self.service, &self.labels)
    }

    /// Returns whether the VM has room for a task of a step.
    pub fn takes(&self, step: &Step, service: &ServiceName) -> bool {
        step.reserved_resources().fits_in(&self.free) && self.suits(step, service)
    }

    /// Returns how many tasks of a step the VM has room for, if none of the step's run there.
    pub fn fitting(&self, step: &Step, service: &ServiceName) -> usize {
        if !self.suits(step, service) {
            return 0;
        }
        let fitting = self.free.times(&step.reserved_resources());
        if step.per_vm == 0 { fitting } else { fitting.min(step.per_vm as usize) }
    }
}
