//! A daemon's settings: its addresses, its failure domain and the platform's addresses.
//!
//! Everything is checked before anything listens. A daemon that started with half of its settings
//! wrong would be found out by its callers.

mod read;
#[cfg(test)]
mod tests;

pub use crate::config::Fault;

use crate::ids::{DomainId, PartitionId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Result of reading settings: all faults at once.
pub type Result<T> = std::result::Result<T, Vec<Fault>>;

/// Settings of one daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the daemon, the same after a restart.
    pub name: String,
    pub domain: DomainId,
    pub listen: Listen,
    pub platform: Platform,
    /// Every partition of the task log, the same on each daemon.
    pub partitions: Vec<PartitionSettings>,
    pub logs: LogSettings,
    pub metrics: MetricSettings,
    pub leases: LeaseSettings,
    pub timing: TimingSettings,
}

/// Addresses to listen on; also the ones that others are told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// Callers and operators.
    pub front: SocketAddr,
    /// Other daemons.
    pub peer: SocketAddr,
}

/// The platform's addresses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Platform {
    /// URL of the key-value service; one for now.
    pub store: Vec<String>,
    /// URL of the list of live and leaving VMs.
    pub list: String,
}

/// A partition of the task log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartitionSettings {
    pub id: PartitionId,
    /// Failure domain whose daemons write it.
    pub domain: DomainId,
}

/// What is logged and where to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogSettings {
    pub level: LogLevel,
    pub target: LogTarget,
}

/// Least severity that is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    Off,
    Error,
    Warn,
    #[default]
    Info,
    Debug,
    Trace,
}

/// Where log lines go; the VMs have no disks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogTarget {
    Stdout,
    #[default]
    Stderr,
}

/// Where metrics go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MetricSettings {
    /// Address that takes metrics over UDP; none are sent without it.
    pub addr: Option<SocketAddr>,
    pub prefix: String,
}

/// Times of leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseSettings {
    /// Life of a VM's control lease and of its task leases.
    pub ttl: Duration,
    /// Time between two renewals.
    pub renew: Duration,
    /// How far the clocks of a daemon and a VM may drift apart within one life.
    pub drift_margin: Duration,
}

/// Intervals and time limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimingSettings {
    /// Between two reads of the platform's list.
    pub list_interval: Duration,
    /// For one call to a worker.
    pub worker_timeout: Duration,
    /// For requests in flight at a planned stop.
    pub drain: Duration,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: LogLevel::Info, target: LogTarget::Stderr }
    }
}

impl Default for MetricSettings {
    fn default() -> Self {
        Self { addr: None, prefix: "waxwing".to_owned() }
    }
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            ttl: Duration::from_secs(10),
            renew: Duration::from_secs(3),
            drift_margin: Duration::from_millis(500),
        }
    }
}

impl Default for TimingSettings {
    fn default() -> Self {
        Self {
            list_interval: Duration::from_secs(1),
            worker_timeout: Duration::from_secs(2),
            drain: Duration::from_secs(30),
        }
    }
}

impl Settings {
    /// Reads the text of a settings file.
    pub fn parse(file_name: &str, text: &str) -> Result<Self> {
        read::settings(file_name, text)
    }
}
