//! A daemon's settings: its addresses, its failure domain and the platform's addresses.
//!
//! Everything is checked before anything listens. A daemon that started with half of its settings
//! wrong would be found out by its callers.

use crate::ids::{DomainId, PartitionId};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Result of reading settings: all faults at once.
pub type Result<T> = std::result::Result<T, Vec<Fault>>;

/// Settings of one daemon.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the daemon, the same after a restart.
    pub name: String,
    pub domain: DomainId,
    pub listen: Listen,
    pub platform: Platform,
    /// Peer addresses of daemons to ask for the others.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Every partition of the task log, the same on each daemon.
    pub partitions: Vec<PartitionSettings>,
    #[serde(default)]
    pub logs: LogSettings,
    #[serde(default)]
    pub metrics: MetricSettings,
    #[serde(default)]
    pub leases: LeaseSettings,
    #[serde(default)]
    pub timing: TimingSettings,
    #[serde(default)]
    pub limits: LimitSettings,
}

/// Addresses to listen on; also the ones that others are told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Callers and operators.
    pub front: SocketAddr,
    /// Other daemons.
    pub peer: SocketAddr,
}

/// The platform's addresses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// URLs of the key-value service, tried in turn.
    pub store: Vec<String>,
    /// URL of the list of live and leaving VMs.
    pub list: String,
}

/// A partition of the task log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PartitionSettings {
    pub id: PartitionId,
    /// Failure domain whose daemons write it.
    pub domain: DomainId,
}

/// What is logged and where to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
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
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MetricSettings {
    /// Address that takes metrics over UDP; none are sent without it.
    pub addr: Option<SocketAddr>,
    pub prefix: String,
}

/// Times of leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeaseSettings {
    /// Life of a VM's control lease and of its task leases.
    #[serde(with = "duration")]
    pub ttl: Duration,
    /// Time between two renewals.
    #[serde(with = "duration")]
    pub renew: Duration,
    /// How far the clocks of a daemon and a VM may drift apart within one life.
    #[serde(with = "duration")]
    pub drift_margin: Duration,
}

/// Intervals and time limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TimingSettings {
    /// Between two ticks of the core.
    #[serde(with = "duration")]
    pub tick: Duration,
    /// Between two reads of the platform's list.
    #[serde(with = "duration")]
    pub list_interval: Duration,
    /// For one call to the key-value service.
    #[serde(with = "duration")]
    pub store_timeout: Duration,
    /// For one call to a worker.
    #[serde(with = "duration")]
    pub worker_timeout: Duration,
    /// For requests in flight at a planned stop.
    #[serde(with = "duration")]
    pub drain: Duration,
}

/// Bounds on what one daemon takes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// Requests waiting for a slot, over all classes.
    pub queued_requests: u32,
    /// Bytes of one request.
    pub request_bytes: u32,
    /// Open tasks of one partition.
    pub open_tasks: u32,
    /// Decision records kept in memory.
    pub decisions: u32,
}

/// A fault in the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    pub file: String,
    /// Counted from one.
    pub line: usize,
    /// The key, with those of its tables; empty if the text is not TOML.
    pub key: String,
    pub message: String,
    pub remedy: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.file, self.line)?;
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        write!(f, "{}; {}", self.message, self.remedy)
    }
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
            tick: Duration::from_millis(100),
            list_interval: Duration::from_secs(1),
            store_timeout: Duration::from_secs(2),
            worker_timeout: Duration::from_secs(2),
            drain: Duration::from_secs(30),
        }
    }
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self { queued_requests: 1024, request_bytes: 1 << 20, open_tasks: 8192, decisions: 4096 }
    }
}

impl Settings {
    /// Reads the text of a settings file.
    pub fn parse(file_name: &str, text: &str) -> Result<Self> {
        toml::from_str(text).map_err(|error| {
            let offset = error.span().map_or(0, |span| span.start);
            let line = 1 + text[..offset].matches('\n').count();
            vec![Fault {
                file: file_name.to_owned(),
                line,
                key: String::new(),
                message: error.message().to_owned(),
                remedy: "correct this line".to_owned(),
            }]
        })
    }
}

mod duration {
    use serde::{Deserialize, Deserializer, Serializer, de::Error};
    use std::time::Duration;

    pub(super) fn serialize<S: Serializer>(d: &Duration, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(&format_args!("{}ms", d.as_millis()))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<Duration, D::Error> {
        let text = String::deserialize(d)?;
        let millis = text.strip_suffix("ms").map(str::parse::<u64>);
        let seconds = text.strip_suffix('s').map(str::parse::<u64>);
        match (millis, seconds) {
            (Some(Ok(millis)), _) => Ok(Duration::from_millis(millis)),
            (None, Some(Ok(seconds))) => Ok(Duration::from_secs(seconds)),
            _ => Err(D::Error::custom("not a duration such as \"250ms\" or \"30s\"")),
        }
    }
}

#[cfg(test)]
mod tests;
