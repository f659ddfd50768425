//! What must hold after any fault, checked against what the VMs counted and the log kept.

use super::Kind;
use super::world::{Faults, World};
use waxwingstall::core::event::Answer;
use waxwingstall::ids::Ticket;
use waxwingstall::model::Idempotency;
use waxwingstall::task::{Outcome, Phase, TaskState};

/// A submission that a caller made.
#[derive(Clone, Debug)]
pub struct Submission {
    pub key: String,
    pub kind: Kind,
    pub ticket: Ticket,
}

/// Counts that a run ended with.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    pub tasks: usize,
    pub finished: usize,
    /// Non-idempotent tasks whose outcome can't be known.
    pub unknown: usize,
    pub resumed: u32,
}

/// Returns the violations of the invariants that hold at all times.
pub fn invariant_violations<F: Faults>(world: &World<F>) -> Vec<String> {
    let mut broken = world.violations();
    let book = world.book();
    for task in world.tasks() {
        let Some(count) = book.tasks().get(&task.id) else { continue };
        let once = task.spec.idempotency == Idempotency::NonIdempotent;
        if once && count.starts > 1 {
            broken.push(format!("{} is non-idempotent and started {}x", task.id, count.starts));
        }
        if count.starts > task.attempt.0 {
            broken.push(format!("{} started {}x in {}", task.id, count.starts, task.attempt));
        }
    }
    broken
}

/// Returns the violations of the invariants that hold after the faults have ended and the cluster
/// has settled.
pub fn final_state_violations<F: Faults>(
    world: &World<F>,
    submissions: &[Submission],
) -> Vec<String> {
    let mut broken = invariant_violations(world);
    broken.extend(world.tasks().iter().filter_map(|task| unsettled(world, task)));
    for submission in submissions {
        broken.extend(answered_wrongly(world, submission));
    }
    for id in world.daemons() {
        let undeclared = world.core(&id).counters().undeclared_transitions;
        if undeclared > 0 {
            broken.push(format!("{undeclared} undeclared transitions on {id}"));
        }
    }
    broken
}

fn unsettled<F: Faults>(world: &World<F>, task: &TaskState) -> Option<String> {
    let finishes = world.book().tasks().get(&task.id).map_or(0, |count| count.finishes);
    let once = task.spec.idempotency == Idempotency::NonIdempotent;
    match &task.phase {
        Phase::Ended { outcome: Outcome::Succeeded } if finishes == 1 => None,
        Phase::Ended { outcome: Outcome::Succeeded } if world.is_excused(task.id) => None,
        Phase::Ended { outcome: Outcome::Unknown { .. } } if once => None,
        Phase::Ended { outcome: Outcome::Cancelled } if world.cancelled.contains(&task.id) => None,
        phase => {
            let waits =
                world.writer().and_then(|writer| world.core(&writer).waiting_reason(task.id));
            Some(format!("{} is {phase:?} with {finishes} finishes; waits {waits:?}", task.id))
        }
    }
}

fn answered_wrongly<F: Faults>(world: &World<F>, submission: &Submission) -> Option<String> {
    let tasks = world.tasks();
    let mut kept = tasks.iter().filter(|task| task.key.as_str() == submission.key);
    let task = kept.next();
    if kept.next().is_some() {
        return Some(format!("key {} has two tasks", submission.key));
    }
    match (world.answers.get(&submission.ticket), task) {
        (Some(Answer::Accepted { task: told, .. }), Some(task)) if *told == task.id => None,
        (Some(Answer::NotRun { .. }) | None, _) => None,
        (answer, task) => Some(format!("key {}: {answer:?}, but {task:?}", submission.key)),
    }
}

/// What a run came to.
pub fn summary<F: Faults>(world: &World<F>) -> Summary {
    let tasks = world.tasks();
    let unknown = |task: &&TaskState| {
        matches!(&task.phase, Phase::Ended { outcome: Outcome::Unknown { .. } })
    };
    let book = world.book();
    Summary {
        tasks: tasks.len(),
        finished: book.finished_once(),
        unknown: tasks.iter().filter(unknown).count(),
        resumed: book.tasks().values().map(|count| count.resumes).sum(),
    }
}
