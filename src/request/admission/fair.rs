//! Start-time fair queueing: flows are served in proportion to their weights, and a flow that was
//! idle continues at the current virtual time, without credit for its idle time.

use indexmap::IndexMap;
use std::hash::Hash;

/// Virtual time and the start tags of flows.
#[derive(Clone, Debug)]
pub(super) struct FairQueue<K> {
    virtual_time: f64,
    tags: IndexMap<K, f64>,
}

impl<K> Default for FairQueue<K> {
    fn default() -> Self {
        Self { virtual_time: 0.0, tags: IndexMap::new() }
    }
}

impl<K: Clone + Eq + Hash> FairQueue<K> {
    /// Virtual start time of the next request of a flow; the flow with the lowest one goes first.
    pub fn start(&self, flow: &K) -> f64 {
        self.tags.get(flow).copied().unwrap_or(0.0).max(self.virtual_time)
    }

    /// Records that a request of a flow is served.
    pub fn serve(&mut self, flow: &K, cost: f64, weight: u32) {
        let start = self.start(flow);
        self.virtual_time = start;
        self.tags.insert(flow.clone(), start + cost / f64::from(weight.max(1)));
        let virtual_time = self.virtual_time;
        self.tags.retain(|_, tag| *tag > virtual_time);
    }
}
