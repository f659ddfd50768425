//! Settings of the request path of a daemon.

use crate::ids::{DaemonId, DomainId};
use crate::inbound::body::BodyLimits;
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

/// Resource limits and timeouts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Limits {
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum total size of the request bodies held at once, in bytes.
    pub held_bytes: usize,
    /// Timeout for receiving a whole request body.
    pub body_time: Duration,
    /// Longest answer that is buffered until it is complete, in bytes; longer ones are streamed.
    pub whole_answer_bytes: usize,
    /// Timeout for connecting to an endpoint.
    pub connect_time: Duration,
    /// Number of requests whose explanations are kept.
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

impl Limits {
    /// Limits on one request body.
    pub fn body_limits(&self) -> BodyLimits {
        BodyLimits { bytes: self.body_bytes, free_bytes: 0, time: self.body_time }
    }
}

impl DispatcherSettings {
    /// Creates settings with the default limits for daemon `me` in `domain`.
    pub fn new(me: DaemonId, domain: DomainId) -> Self {
        Self { me, domain, limits: Limits::default() }
    }

    /// Sets the limits.
    pub fn with_limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }
}
