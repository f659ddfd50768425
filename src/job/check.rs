//! What makes a job impossible, told before it is accepted.

use super::{Job, Members, Repeat};
use crate::units::Resources;

/// Result of a check.
pub type Result<T> = std::result::Result<T, Fault>;

/// Most steps of a job; a progress record of the longest job stays under the store's value size.
pub const MAX_STEPS: usize = 64;

/// Most tasks of one occurrence, for the same reason: a task's progress takes up to 40 bytes.
pub const MAX_TASKS: u64 = 10_000;

/// Most occurrences of a job.
pub const MAX_OCCURRENCES: u32 = 100_000;

/// Why a job can't be accepted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
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
    #[error("step {step} requires `{label}`, which no VM has; name another label")]
    NoSuchLabel { step: usize, label: String },
    #[error("step {0} lasts and other steps wait for it; only a job's last steps may last")]
    WaitsForLasting(usize),
}

/// Checks the form of a job.
pub fn form(job: &Job) -> Result<()> {
    if job.steps.is_empty() {
        return Err(Fault::NoSteps);
    }
    if job.steps.len() > MAX_STEPS {
        return Err(Fault::TooManySteps(job.steps.len()));
    }
    let tasks = job.steps.iter().map(|step| u64::from(step.tasks)).sum();
    if tasks > MAX_TASKS {
        return Err(Fault::TooManyTasks(tasks));
    }
    let occurrences = job.repeat.occurrences();
    if occurrences > MAX_OCCURRENCES {
        return Err(Fault::TooManyOccurrences(occurrences));
    }
    steps(job)
}

fn steps(job: &Job) -> Result<()> {
    for (number, step) in job.steps.iter().enumerate() {
        if step.tasks == 0 {
            return Err(Fault::NoTasks(number));
        }
        for after in &step.after {
            if usize::from(*after) >= number {
                return Err(Fault::NotEarlier { step: number, after: *after });
            }
            if job.steps[usize::from(*after)].life == super::Life::Lasting {
                return Err(Fault::WaitsForLasting(usize::from(*after)));
            }
        }
    }
    Ok(())
}

/// Whether a job is due at fixed times.
pub fn is_timed(job: &Job) -> bool {
    matches!(job.repeat, Repeat::Timed { .. })
}

/// Whether a job has tasks that work only together.
pub fn has_group(job: &Job) -> bool {
    job.steps.iter().any(|step| step.members != Members::Alone)
}
