//! Validation of jobs before they are accepted.

use super::{Job, Label};
use crate::evacuation::Evacuations;
use crate::ids::{DomainId, ServiceName};
use crate::units::Resources;
use crate::vm::VmEntry;
use indexmap::{IndexMap, IndexSet};

/// Result of a check.
pub type Result<T> = std::result::Result<T, JobError>;

/// Maximum number of steps in a job. Keeps the progress record of the largest job under the store's
/// limit on the size of a value.
pub const MAX_STEPS: usize = 64;

/// Maximum number of tasks in one occurrence, for the same reason: the progress of a task takes up
/// to 40 bytes.
pub const MAX_TASKS: u64 = 10_000;

/// Maximum number of occurrences of a job.
pub const MAX_OCCURRENCES: u32 = 100_000;

/// Why a job is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum JobError {
    #[error("the job has no steps; give it at least one")]
    NoSteps,
    #[error("the job has {0} steps; split it into jobs of at most {MAX_STEPS}")]
    TooManySteps(usize),
    #[error("the job has {0} tasks; split it into jobs of at most {MAX_TASKS}")]
    TooManyTasks(u64),
    #[error("the job has {0} occurrences; ask for at most {MAX_OCCURRENCES}")]
    TooManyOccurrences(u32),
    #[error("step {0} has no tasks; give it a count of at least one")]
    NoTasks(usize),
    #[error("step {step} waits for step {after}; it may only wait for earlier steps")]
    NotEarlier { step: usize, after: u16 },
    #[error("step {step} takes {size} a task, and the largest VM has {largest}; ask for less")]
    TooLarge { step: usize, size: Resources, largest: Resources },
    #[error(
        "step {step} requires `{label}`, which no VM has that is large enough; name another label"
    )]
    NoSuchLabel { step: usize, label: String },
    #[error(
        "step {0} fits only on VMs of failure domains that are being evacuated; submit the job \
         again once operators have withdrawn that order"
    )]
    Evacuated(usize),
    #[error("step {0} lasts and other steps wait for it; only a job's last steps may last")]
    WaitsForLasting(usize),
}

/// Distinct VM shapes of each service. Includes all shapes listed so far, since a VM that is
/// missing now may come back.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct VmShapes {
    by_service: IndexMap<ServiceName, IndexSet<VmShape>>,
}

/// Properties of a VM that decide which tasks it can run.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct VmShape {
    domain: DomainId,
    size: Resources,
    labels: Vec<Label>,
}

/// Maximum number of shapes kept for a service; a fleet has only a few sizes, and a label for each
/// rack.
const MAX_SHAPES: usize = 4096;

impl VmShapes {
    /// Adds the shapes of listed VMs; returns whether any of them is new.
    pub fn add(&mut self, vms: &[VmEntry]) -> bool {
        let mut new = false;
        for vm in vms {
            let known = self.by_service.entry(vm.service.clone()).or_default();
            if known.len() < MAX_SHAPES {
                let (domain, size, labels) = (vm.domain.clone(), vm.size, vm.labels.clone());
                new |= known.insert(VmShape { domain, size, labels });
            }
        }
        new
    }
}

/// Checks that each step of a job fits on some VM; passes if no VM of the service is known.
pub fn check_fits(job: &Job, shapes: &VmShapes) -> Result<()> {
    let Some(known) = shapes.by_service.get(&job.service) else { return Ok(()) };
    for (number, step) in job.steps.iter().enumerate() {
        let need = step.reserved_resources();
        let labelled =
            |shape: &&VmShape| step.label.as_ref().is_none_or(|label| shape.labels.contains(label));
        if !known.iter().any(|shape| need.fits_in(&shape.size)) {
            let largest = known.iter().map(|shape| shape.size).max_by_key(|size| size.milli_cores);
            let (size, largest) = (step.size, largest.unwrap_or(Resources::ZERO));
            return Err(JobError::TooLarge { step: number, size, largest });
        }
        if let Some(label) = &step.label
            && !known.iter().filter(labelled).any(|shape| need.fits_in(&shape.size))
        {
            return Err(JobError::NoSuchLabel { step: number, label: label.to_string() });
        }
    }
    Ok(())
}

/// Checks that each step of a job fits on some VM outside the evacuated failure domains; passes if
/// no VM of the service is known.
pub fn check_evacuations(job: &Job, shapes: &VmShapes, evacuations: &Evacuations) -> Result<()> {
    let Some(known) = shapes.by_service.get(&job.service) else { return Ok(()) };
    for (number, step) in job.steps.iter().enumerate() {
        let need = step.reserved_resources();
        let suits = |shape: &VmShape| {
            !evacuations.contains(&shape.domain)
                && need.fits_in(&shape.size)
                && step.label.as_ref().is_none_or(|label| shape.labels.contains(label))
        };
        if !known.iter().any(suits) {
            return Err(JobError::Evacuated(number));
        }
    }
    Ok(())
}

/// Checks the limits and the step order of a job.
pub fn check_limits(job: &Job) -> Result<()> {
    if job.steps.is_empty() {
        return Err(JobError::NoSteps);
    }
    if job.steps.len() > MAX_STEPS {
        return Err(JobError::TooManySteps(job.steps.len()));
    }
    let tasks = job.steps.iter().map(|step| u64::from(step.tasks)).sum();
    if tasks > MAX_TASKS {
        return Err(JobError::TooManyTasks(tasks));
    }
    let occurrences = job.repeat.occurrences();
    if occurrences > MAX_OCCURRENCES {
        return Err(JobError::TooManyOccurrences(occurrences));
    }
    check_steps(job)
}

fn check_steps(job: &Job) -> Result<()> {
    for (number, step) in job.steps.iter().enumerate() {
        if step.tasks == 0 {
            return Err(JobError::NoTasks(number));
        }
        for after in &step.after {
            if usize::from(*after) >= number {
                return Err(JobError::NotEarlier { step: number, after: *after });
            }
            if job.steps[usize::from(*after)].life == super::Life::Lasting {
                return Err(JobError::WaitsForLasting(usize::from(*after)));
            }
        }
    }
    Ok(())
}
