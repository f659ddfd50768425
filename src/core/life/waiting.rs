//! Tasks that wait for a VM, by shape.
//!
//! Tasks of one shape meet the same answer from the policy, so that one `wait` answers for all of
//! them, and a wave of ten thousand like tasks costs one decision a round, not ten thousand.

use crate::ids::{ClassName, PoolName, TeamName};
use crate::model::Urgency;
use crate::task::TaskSpec;
use crate::units::Resources;
use indexmap::IndexMap;
use std::collections::BTreeSet;
use std::time::Duration;

/// What the policy's answer depends on.
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
    shapes: IndexMap<Shape, Line>,
    len: usize,
}

/// Waiting tasks of one shape, first come first served.
#[derive(Debug, Default)]
struct Line {
    tasks: BTreeSet<u64>,
    /// Time before which the policy isn't asked again, unless something changes.
    blocked_until: Duration,
    reason: String,
}

impl Shape {
    /// Shape of a task.
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

    /// Takes a task out.
    pub fn remove(&mut self, spec: &TaskSpec, number: u64) {
        let shape = Shape::of(spec);
        let Some(line) = self.shapes.get_mut(&shape) else { return };
        if line.tasks.remove(&number) {
            self.len -= 1;
        }
        if line.tasks.is_empty() {
            self.shapes.shift_remove(&shape);
        }
    }

    /// Tasks that wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Waiting tasks of each class.
    pub fn by_class(&self) -> impl Iterator<Item = (&ClassName, usize)> {
        self.shapes.iter().map(|(shape, line)| (&shape.class, line.tasks.len()))
    }

    /// Shapes to ask the policy about.
    pub fn askable(&self, now: Duration) -> Vec<Shape> {
        let open = self.shapes.iter().filter(|(_, line)| line.blocked_until <= now);
        open.map(|(shape, _)| shape.clone()).collect()
    }

    /// First task of a shape.
    pub fn first(&self, shape: &Shape) -> Option<u64> {
        self.shapes.get(shape)?.tasks.first().copied()
    }

    /// Doesn't ask about the shape again until then; tells whether the reason is news.
    pub fn block(&mut self, shape: &Shape, until: Duration, reason: &str) -> bool {
        let Some(line) = self.shapes.get_mut(shape) else { return false };
        line.blocked_until = until;
        let news = line.reason != reason;
        if news {
            line.reason = reason.to_owned();
        }
        news
    }

    /// Something changed: every shape may be asked about again.
    pub fn unblock(&mut self) {
        for line in self.shapes.values_mut() {
            line.blocked_until = Duration::ZERO;
        }
    }

    /// What tasks like this one wait for.
    pub fn reason(&self, spec: &TaskSpec) -> Option<&str> {
        let line = self.shapes.get(&Shape::of(spec))?;
        Some(line.reason.as_str()).filter(|reason| !reason.is_empty())
    }
}
