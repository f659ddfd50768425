//! Fair shares between queues.
//!
//! Pattern: max-min fairness of the processors held. The next turn goes to the queue that holds the
//! least, counting the jobs that had a turn before. A queue that asks for less than its share gets
//! all of it at once, and a queue that asks for more gets what the others leave. Nothing is kept free
//! for a queue without waiting jobs.

#[cfg(test)]
mod tests;

use crate::job::QueueName;
use indexmap::IndexMap;
use std::collections::VecDeque;

/// A waiting job that takes its turn in its queue.
#[derive(Clone, Copy, Debug)]
pub(super) struct Turn<'a> {
    pub queue: &'a QueueName,
    /// Processors that its waiting tasks take.
    pub cores: f64,
}

/// Returns the order in which jobs get room, as indexes into `turns`. Jobs of one queue keep their
/// order. `held` tells the processors that each queue holds, and is raised by those of the jobs.
pub(super) fn order(turns: &[Turn], held: &mut IndexMap<QueueName, f64>) -> Vec<usize> {
    let mut queues: IndexMap<&QueueName, VecDeque<usize>> = IndexMap::new();
    for (index, turn) in turns.iter().enumerate() {
        queues.entry(turn.queue).or_default().push_back(index);
    }
    let mut order = Vec::with_capacity(turns.len());
    while order.len() < turns.len() {
        let holds = |queue: &QueueName| held.get(queue).copied().unwrap_or(0.0);
        let waiting = queues.iter().filter(|(_, jobs)| !jobs.is_empty());
        let next = waiting.min_by(|(a, _), (b, _)| holds(a).total_cmp(&holds(b)));
        let Some(queue) = next.map(|(queue, _)| *queue) else { break };
        let Some(index) = queues.get_mut(queue).and_then(VecDeque::pop_front) else { break };
        *held.entry(queue.clone()).or_default() += turns[index].cores;
        order.push(index);
    }
    order
}
