//! Queues and services as configured by operators.

use crate::duration;
use crate::ids::ServiceName;
use crate::job::QueueName;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// All queues and services of one configuration version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Queues {
    /// Configuration version; increases monotonically.
    pub version: u64,
    pub queues: IndexMap<QueueName, Queue>,
    pub services: IndexMap<ServiceName, Service>,
    pub limits: Limits,
}

/// A job queue that callers submit to.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    pub name: QueueName,
    /// Host name of the callers' requests.
    pub host: String,
    /// Path prefix; the longest matching prefix wins.
    pub prefix: String,
    /// Service whose VMs run the jobs.
    pub service: ServiceName,
    /// Time limit of a call.
    pub timeout: Duration,
    pub terms: Terms,
}

/// Terms under which a queue accepts jobs.
///
/// A job keeps those that it was accepted under, whatever becomes of its queue: a new configuration
/// applies to the jobs that are accepted after it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Terms {
    /// Priority; 0 is the highest. A job of higher priority may preempt others' tasks.
    pub priority: u32,
    /// Number of failed runs of a task after which the job fails.
    pub attempts: u32,
    /// Target for a job's total time, as a multiple of its critical path.
    pub target_stretch: f64,
    /// Constant added to the target.
    pub target_latency: Duration,
    /// Present if steps may run only on VMs permitted by an external service.
    pub permits: Option<PermitTimes>,
}

impl Terms {
    /// Terms of a job that was accepted by an earlier release, which stored none, and whose queue is
    /// not configured any more.
    pub const UNKNOWN: Self = Self {
        priority: u32::MAX,
        attempts: 1,
        target_stretch: 2.0,
        target_latency: Duration::ZERO,
        permits: None,
    };

    /// The terms with their times shortened to [`duration::MAX_OUTSIDE`].
    pub fn bounded(self) -> Self {
        let target_latency = duration::bounded(self.target_latency);
        Self { target_latency, permits: self.permits.map(PermitTimes::bounded), ..self }
    }
}

/// Timing of the permit service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitTimes {
    /// Base timeout of a request.
    pub base_time: Duration,
    /// Additional timeout for each VM in a request.
    pub time_per_vm: Duration,
    /// How long a permit is valid.
    pub validity: Duration,
}

impl PermitTimes {
    fn bounded(self) -> Self {
        Self {
            base_time: duration::bounded(self.base_time),
            time_per_vm: duration::bounded(self.time_per_vm),
            validity: duration::bounded(self.validity),
        }
    }
}

/// A service: a pool of VMs.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    pub name: ServiceName,
    pub capacity_check: CapacityCheck,
    pub power: Power,
}

/// Whether a service's VMs enforce their own capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CapacityCheck {
    /// VMs refuse tasks that don't fit.
    Enforced,
    /// VMs start any task they are told to.
    NotEnforced,
}

/// Whether a service's VMs are powered on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Power {
    On,
    /// Spare VMs, powered off and not billed.
    Off,
}

/// Limits on callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    pub header_bytes: usize,
    pub body_bytes: usize,
    pub header_timeout: Duration,
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 256 << 10,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

impl Queues {
    /// Finds the queue of a call: the longest matching path prefix on the host.
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        self.queues
            .values()
            .filter(|q| q.host == host && path.starts_with(&q.prefix))
            .max_by_key(|q| q.prefix.len())
    }
}
