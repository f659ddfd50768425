//! Occurrences of scheduled jobs.
//!
//! Any number of occurrences may be due at once: a schedule may have begun in the past, or have no
//! room for a while. All open ones are in one record and in memory, so that an occurrence is begun
//! only if its first tasks may find room: none is begun while earlier ones have as many first tasks
//! waiting as a scheduling pass can place.

use super::Shard;
use super::job_run::{JobRun, Task};
use crate::job::check::MAX_TASKS;
use std::time::Duration;

/// Maximum number of tasks in the open occurrences of a job. Keeps its progress record under the
/// store's limit on the size of a value.
const MAX_OPEN_TASKS: u64 = 2 * MAX_TASKS;

/// Number of tasks of a step that wait for their first run from which on no further occurrence is
/// begun for that step.
const MAX_WAITING_TASKS: usize = 256;

impl Shard {
    /// Begins the occurrences of repeated jobs that are due.
    pub(super) fn start_due_occurrences(&mut self) {
        let now = self.now;
        let mut begun = Vec::new();
        for job in self.jobs.values_mut().filter(|job| !job.is_final()) {
            let before = job.started_occurrences;
            while is_due(job, now.wall) && may_begin(job) {
                job.begin_occurrence();
                job.advance(now.steady);
            }
            if job.started_occurrences > before {
                begun.push(job.id());
            }
        }
        if !begun.is_empty() {
            self.request_schedule();
        }
        begun.into_iter().for_each(|id| self.log.mark_changed(id));
    }
}

/// Returns whether the next occurrence of a job is due.
fn is_due(job: &JobRun, wall: Duration) -> bool {
    !job.is_borrowed()
        && job.started_occurrences < job.job.repeat.occurrences()
        && job.job.repeat.due(job.started_occurrences).is_none_or(|due| wall >= due)
}

/// Returns whether another occurrence may be begun beside the open ones.
fn may_begin(job: &JobRun) -> bool {
    if job.open_occurrences.is_empty() {
        return true;
    }
    let of_one: u64 = job.job.steps.iter().map(|step| u64::from(step.tasks)).sum();
    let open = job.open_occurrences.len() as u64 * of_one;
    let first_steps = job.job.steps.iter().enumerate().filter(|(_, step)| step.after.is_empty());
    let mut waiting = first_steps.map(|(number, _)| count_unstarted(job, number));
    open + of_one <= MAX_OPEN_TASKS && waiting.any(|tasks| tasks < MAX_WAITING_TASKS)
}

/// Counts the tasks of a step in all open occurrences that wait for their first run.
fn count_unstarted(job: &JobRun, number: usize) -> usize {
    let steps = job.open_occurrences.iter().filter_map(|occurrence| occurrence.steps.get(number));
    let is_unstarted = |task: &&Task| task.is_waiting() && task.last_run.0 == 0;
    steps.flat_map(|step| &step.tasks).filter(is_unstarted).count()
}
