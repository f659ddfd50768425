//! What was done with recent requests, for `explain`; bounded.

use crate::ids::{ClassName, RequestId, VmId};
use crate::request::outcome::{Outcome, Reason};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::Duration;

/// Tries kept of one request.
const TRIES_KEPT: usize = 8;

/// The way of one request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RequestExplanation {
    pub id: RequestId,
    pub class: ClassName,
    /// On this daemon's clock.
    pub arrived: Duration,
    /// Time spent waiting for a slot.
    pub queued: Duration,
    pub route: String,
    pub tries: Vec<Try>,
    /// Tries beyond those kept.
    pub tries_dropped: u32,
    /// Absent while the request is under way.
    pub end: Option<End>,
}

/// One try at an endpoint or a peer.
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

/// What is known of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Explained {
    Known(Box<RequestExplanation>),
    /// Nothing is known here. Requests that arrived up to `until` are forgotten; if it is absent
    /// none are, and the request never came here.
    Forgotten {
        until: Option<Duration>,
    },
}

/// Recent requests, oldest forgotten first.
#[derive(Debug)]
pub(super) struct Journal {
    kept: usize,
    order: VecDeque<RequestId>,
    entries: IndexMap<RequestId, RequestExplanation>,
    forgotten_until: Option<Duration>,
}

impl Journal {
    /// A journal of `kept` requests.
    pub fn new(kept: usize) -> Self {
        Self {
            kept: kept.max(1),
            order: VecDeque::new(),
            entries: IndexMap::new(),
            forgotten_until: None,
        }
    }

    /// Opens a request's entry. A repeated id starts anew.
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
        while self.order.len() > self.kept {
            self.forget_oldest();
        }
    }

    /// Notes the time spent waiting and where the request goes.
    pub fn route(&mut self, id: &RequestId, queued: Duration, route: String) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.queued += queued;
            entry.route = route;
        }
    }

    /// Notes a try.
    pub fn tried(&mut self, id: &RequestId, tried: Try) {
        let Some(entry) = self.entries.get_mut(id) else { return };
        if entry.tries.len() < TRIES_KEPT {
            entry.tries.push(tried);
        } else {
            entry.tries_dropped += 1;
        }
    }

    /// Notes the end.
    pub fn close(&mut self, id: &RequestId, outcome: Outcome, reason: Reason, now: Duration) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.end = Some(End { at: now, outcome, reason });
        }
    }

    /// What is known of a request.
    pub fn explain(&self, id: &RequestId) -> Explained {
        match self.entries.get(id) {
            Some(entry) => Explained::Known(Box::new(entry.clone())),
            None => Explained::Forgotten { until: self.forgotten_until },
        }
    }

    fn forget_oldest(&mut self) {
        let Some(id) = self.order.pop_front() else { return };
        if let Some(entry) = self.entries.swap_remove(&id) {
            self.forgotten_until = self.forgotten_until.max(Some(entry.arrived));
        }
    }
}
