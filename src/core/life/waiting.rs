//! Tasks waiting for a VM, grouped by shape.
//!
//! The policy gives all tasks of a shape the same answer, so a single `wait` applies to all of
//! them. A burst of ten thousand similar tasks costs one decision per round instead of ten
//! thousand.

use crate::ids::{ClassName, PoolName, TeamName};
use crate::model::Urgency;
use crate::task::TaskSpec;
use crate::units::Resources;
use indexmap::IndexMap;
use std::collections::BTreeSet;
use std::time::Duration;

/// The task properties that determine the policy's decision.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Shape {
    urgency: Urgency,
    class: ClassName,
    team: TeamName,
    pool: PoolName,
    resources: Resources,
}

/// The waiting tasks of a partition.
#[derive(Debug, Default)]
pub struct Waiting {
    shapes: IndexMap<Shape, Queue>,
    len: usize,
}

/// Waiting tasks of one shape, in submission order.
#[derive(Debug, Default)]
struct Queue {
    tasks: BTreeSet<u64>,
    /// Time until which the policy isn't consulted again, unless something changes.
    blocked_until: Duration,
    reason: String,
}

impl Shape {
    /// Returns the shape of a task.
    pub fn of(spec: &TaskSpec) -> Self {
        Self {
            urgency: spec.urgency,
            class: spec.class.clone(),
            team: spec.team.clone(),
            pool: spec.pool.clone(),
            resources: spec.resources,
        }
    }
}

impl Waiting {
    /// Adds a task.
    pub fn push(&mut self, spec: &TaskSpec, number: u64) {
        if self.shapes.entry(Shape::of(spec)).or_default().tasks.insert(number) {
            self.len += 1;
        }
    }

    /// Removes a task.
    pub fn remove(&mut self, spec: &TaskSpec, number: u64) {
        let shape = Shape::of(spec);
        let Some(queue) = self.shapes.get_mut(&shape) else { return };
        if queue.tasks.remove(&number) {
            self.len -= 1;
        }
        if queue.tasks.is_empty() {
            self.shapes.shift_remove(&shape);
        }
    }

    /// Number of waiting tasks.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Number of waiting tasks by class and shape.
    pub fn by_class(&self) -> impl Iterator<Item = (&ClassName, usize)> {
        self.shapes.iter().map(|(shape, queue)| (&shape.class, queue.tasks.len()))
    }

    /// Shapes that are not blocked.
    pub fn unblocked(&self, now: Duration) -> Vec<Shape> {
        let unblocked = self.shapes.iter().filter(|(_, queue)| queue.blocked_until <= now);
        unblocked.map(|(shape, _)| shape.clone()).collect()
    }

    /// First task of a shape.
    pub fn first(&self, shape: &Shape) -> Option<u64> {
        self.shapes.get(shape)?.tasks.first().copied()
    }

    /// Blocks a shape until the given time; returns whether the reason changed.
    pub fn block(&mut self, shape: &Shape, until: Duration, reason: &str) -> bool {
        let Some(queue) = self.shapes.get_mut(shape) else { return false };
        queue.blocked_until = until;
        let changed = queue.reason != reason;
        if changed {
            queue.reason = reason.to_owned();
        }
        changed
    }

    /// Unblocks all shapes after a change that may allow placements.
    pub fn unblock(&mut self) {
        for queue in self.shapes.values_mut() {
            queue.blocked_until = Duration::ZERO;
        }
    }

    /// Reason why tasks of this shape are waiting.
    pub fn reason(&self, spec: &TaskSpec) -> Option<&str> {
        let queue = self.shapes.get(&Shape::of(spec))?;
        Some(queue.reason.as_str()).filter(|reason| !reason.is_empty())
    }
}
