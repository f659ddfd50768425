//! A bounded record of recent requests, used by `explain`.

use crate::ids::{ClassName, RequestId, VmId};
use crate::request::outcome::{Outcome, Reason};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::Duration;

/// Maximum number of attempts recorded per request.
const MAX_ATTEMPTS_KEPT: usize = 8;

/// How a request was handled.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RequestExplanation {
    pub id: RequestId,
    pub class: ClassName,
    /// Time on this daemon's clock.
    pub arrived: Duration,
    /// Total time spent waiting for a slot.
    pub queued: Duration,
    pub route: String,
    pub tries: Vec<Try>,
    /// Number of attempts beyond those recorded.
    pub tries_dropped: u32,
    /// Absent while the request is in progress.
    pub end: Option<End>,
}

/// An attempt on an endpoint or a peer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Try {
    pub vm: VmId,
    pub at: Duration,
    pub took: Duration,
    pub result: String,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct End {
    pub at: Duration,
    pub outcome: Outcome,
    pub reason: Reason,
}

/// Answer to a query for a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Explained {
    Known(Box<RequestExplanation>),
    /// There is no record of the request. Records of requests that arrived up to `until` may have
    /// been dropped; if it is absent, none were, and the request never arrived at this daemon.
    Forgotten {
        until: Option<Duration>,
    },
}

/// Records of recent requests; the oldest are dropped first.
#[derive(Debug)]
pub(super) struct Journal {
    capacity: usize,
    order: VecDeque<RequestId>,
    entries: IndexMap<RequestId, RequestExplanation>,
    forgotten_until: Option<Duration>,
}

impl Journal {
    /// Creates a journal that keeps the records of `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity: capacity.max(1),
            order: VecDeque::new(),
            entries: IndexMap::new(),
            forgotten_until: None,
        }
    }

    /// Adds a record for a request. A repeated id replaces the earlier record.
    pub fn open(&mut self, id: &RequestId, class: &ClassName, now: Duration) {
        let entry = RequestExplanation {
            id: id.clone(),
            class: class.clone(),
            arrived: now,
            queued: Duration::ZERO,
            route: String::new(),
            tries: Vec::new(),
            tries_dropped: 0,
            end: None,
        };
        if self.entries.insert(id.clone(), entry).is_none() {
            self.order.push_back(id.clone());
        }
        while self.order.len() > self.capacity {
            self.drop_oldest();
        }
    }

    /// Records time spent waiting for a slot and the endpoint chosen.
    pub fn route(&mut self, id: &RequestId, queued: Duration, route: String) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.queued += queued;
            entry.route = route;
        }
    }

    /// Records an attempt.
    pub fn tried(&mut self, id: &RequestId, tried: Try) {
        let Some(entry) = self.entries.get_mut(id) else { return };
        if entry.tries.len() < MAX_ATTEMPTS_KEPT {
            entry.tries.push(tried);
        } else {
            entry.tries_dropped += 1;
        }
    }

    /// Records the result of a request.
    pub fn close(&mut self, id: &RequestId, outcome: Outcome, reason: Reason, now: Duration) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.end = Some(End { at: now, outcome, reason });
        }
    }

    /// Returns the record of a request.
    pub fn explain(&self, id: &RequestId) -> Explained {
        match self.entries.get(id) {
            Some(entry) => Explained::Known(Box::new(entry.clone())),
            None => Explained::Forgotten { until: self.forgotten_until },
        }
    }

    fn drop_oldest(&mut self) {
        let Some(id) = self.order.pop_front() else { return };
        if let Some(entry) = self.entries.swap_remove(&id) {
            self.forgotten_until = self.forgotten_until.max(Some(entry.arrived));
        }
    }
}
