//! Fair queueing by start tags: flows get service in proportion to their weights, and a flow that
//! was idle starts where the others are, without credit for the time it asked for nothing.

use indexmap::IndexMap;
use std::hash::Hash;

/// The tags of flows.
#[derive(Clone, Debug)]
pub(super) struct Fair<K> {
    now: f64,
    tags: IndexMap<K, f64>,
}

impl<K> Default for Fair<K> {
    fn default() -> Self {
        Self { now: 0.0, tags: IndexMap::new() }
    }
}

impl<K: Clone + Eq + Hash> Fair<K> {
    /// When the flow's next piece starts, in shared virtual time; least goes first.
    pub fn start(&self, flow: &K) -> f64 {
        self.tags.get(flow).copied().unwrap_or(0.0).max(self.now)
    }

    /// Serves one piece of a flow.
    pub fn serve(&mut self, flow: &K, cost: f64, weight: u32) {
        let start = self.start(flow);
        self.now = start;
        self.tags.insert(flow.clone(), start + cost / f64::from(weight.max(1)));
        let now = self.now;
        self.tags.retain(|_, tag| *tag > now);
    }
}
