//! The queues that callers submit jobs to, as operators configured them.

use crate::ids::ServiceName;
use crate::job::QueueName;
use indexmap::IndexMap;
use std::time::Duration;

/// Every queue and service of one version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Queues {
    /// Version of the configuration; only ever rises.
    pub version: u64,
    pub queues: IndexMap<QueueName, Queue>,
    pub services: IndexMap<ServiceName, Service>,
    pub limits: Limits,
}

/// A queue of jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    pub name: QueueName,
    /// Host that callers name.
    pub host: String,
    /// Start of the path; the longest that fits decides.
    pub prefix: String,
    /// Service whose VMs run the jobs.
    pub service: ServiceName,
    /// 0 comes first and may take others' room.
    pub priority: u32,
    /// Runs of a task that may fail before the job fails.
    pub attempts: u32,
    /// Aim for a job's time, in multiples of its longest chain of work.
    pub stretch: f64,
    /// Added to the aim.
    pub latency: Duration,
    /// Longest time that a call may take.
    pub timeout: Duration,
    /// Set where its steps run only on VMs that an outside service permits.
    pub permits: Option<PermitTimes>,
}

/// Times of the service that permits steps on VMs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PermitTimes {
    /// For a request, and for each VM that it names.
    pub base_time: Duration,
    pub each_vm: Duration,
    /// How long a permit is valid.
    pub valid: Duration,
}

/// A service: a pool of VMs.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    pub name: ServiceName,
    pub guard: Guard,
    pub power: Power,
}

/// Whether a service's VMs refuse what doesn't fit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guard {
    Refuses,
    /// They start whatever they are told to.
    Trusts,
}

/// Whether a service's VMs are switched on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Power {
    On,
    /// Spare VMs: off, and not paid for.
    Off,
}

/// Bounds on callers' requests.
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
    /// The queue that a call goes to: that with the longest prefix on the host.
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        self.queues
            .values()
            .filter(|q| q.host == host && path.starts_with(&q.prefix))
            .max_by_key(|q| q.prefix.len())
    }
}
