//! Limits and names of one daemon's request path.

use crate::ids::{DaemonId, DomainId};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Settings of a [`Dispatcher`](super::Dispatcher).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct DispatcherSettings {
    pub me: DaemonId,
    pub domain: DomainId,
    pub limits: Limits,
}

/// What callers may take up, and how long things may take.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Limits {
    /// Bytes of one request's body.
    pub body_bytes: usize,
    /// Bytes of all bodies held at once.
    pub held_bytes: usize,
    /// Time for a whole body to arrive.
    pub body_time: Duration,
    /// Longest answer held back until it is known to be whole, in bytes.
    pub whole_answer_bytes: usize,
    /// Time to connect to an endpoint.
    pub connect_time: Duration,
    /// Explanations kept.
    pub explained: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 8 << 20,
            held_bytes: 64 << 20,
            body_time: Duration::from_secs(10),
            whole_answer_bytes: 64 << 10,
            connect_time: Duration::from_millis(500),
            explained: 4096,
        }
    }
}

impl DispatcherSettings {
    /// The usual limits, for daemon `me` in `domain`.
    pub fn new(me: DaemonId, domain: DomainId) -> Self {
        Self { me, domain, limits: Limits::default() }
    }

    /// These settings with other limits.
    pub fn with_limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }
}
