//! The configuration in force: services, batch classes, pools, teams and weights.
//!
//! These are the types that decisions read. How files are parsed, checked against each other and
//! put in force is the business of the configuration modules.

use crate::ids::{ClassName, DomainId, PoolName, Revision, ServiceName, TeamName};
use crate::units::Resources;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Everything operators declared, as of one revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    pub revision: Revision,
    pub services: IndexMap<ServiceName, Service>,
    pub requests: IndexMap<ClassName, RequestClass>,
    pub batch: IndexMap<ClassName, BatchClass>,
    pub pools: IndexMap<PoolName, Pool>,
    pub teams: IndexMap<TeamName, Team>,
    pub weights: Weights,
}

/// A latency-critical service, answered by endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Requests one endpoint serves at a time.
    pub slots: u32,
    /// Connections one endpoint accepts.
    pub connections: u32,
    /// What one instance is committed on its VM.
    pub resources: Resources,
}

/// A class of requests to a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestClass {
    pub service: ServiceName,
    /// Time from arrival to the whole answer.
    pub deadline: Duration,
    /// 99th percentile that operators aim at.
    pub target_p99: Duration,
    /// Expected service time, until measured.
    pub expected: Duration,
    pub idempotency: Idempotency,
    /// Share of capacity under overload, against the other classes'.
    pub weight: u32,
}

/// Whether running twice differs from running once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Idempotency {
    #[default]
    Idempotent,
    NonIdempotent,
}

/// Whether a task can be stopped and resumed from a checkpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Resumption {
    Checkpoint,
    #[default]
    FromStart,
    /// Never evicted.
    Never,
}

/// How soon a task should start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Urgency {
    Low,
    #[default]
    Normal,
    High,
    /// May evict; starts within seconds.
    Urgent,
}

/// A class of batch tasks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BatchClass {
    pub pool: PoolName,
    pub team: TeamName,
    pub resources: Resources,
    /// Declared run time.
    pub expected: Duration,
    pub idempotency: Idempotency,
    pub resumption: Resumption,
    pub urgency: Urgency,
    /// Attempts that may fail before the task fails.
    pub max_failures: u32,
}

/// VMs that a class may use.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// Failure domains; empty means all.
    pub domains: Vec<DomainId>,
    /// Least size of a VM in the pool.
    pub min_size: Resources,
}

/// A team's quota of committed resources, over all failure domains.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Team {
    pub quota: Resources,
}

/// What operators weigh most; any scale, only ratios matter.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    pub tail: f64,
    pub evictions: f64,
    pub throughput: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self { tail: 1.0, evictions: 1.0, throughput: 1.0 }
    }
}
