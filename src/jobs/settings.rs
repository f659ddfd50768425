//! Settings of the job daemon.

#[cfg(test)]
mod tests;

use crate::duration;
use crate::ids::DomainId;
use crate::inbound::MachineLimits;
use crate::shard;
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

pub type Result<T> = std::result::Result<T, Error>;

/// Smallest memory in MiB, and smallest number of file descriptors, that a daemon can run with.
const MIN_MEMORY_MB: u64 = 64;
const MIN_FDS: u64 = 128;

/// Invalid settings.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    #[error("{0}; correct the settings file")]
    Syntax(String),
    #[error("`{key}` is {value}; give a value {expected}")]
    Range { key: &'static str, value: String, expected: &'static str },
    #[error("the range {first} to {last} has no port for `{what}`; widen `ports`")]
    NoPort { first: u16, last: u16, what: &'static str },
}

/// Settings of one daemon.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the daemon; stays the same across restarts.
    pub name: String,
    /// Failure domain of the daemon.
    pub domain: DomainId,
    /// Address of its VM.
    pub ip: std::net::IpAddr,
    /// First and last port for traffic between daemons.
    pub ports: [u16; 2],
    pub machine: Machine,
    pub listen: Listen,
    pub store: Store,
    pub bounds: Bounds,
    /// Address of the service that permits steps on VMs; empty if there is none.
    #[serde(default)]
    pub permits: String,
    /// Address of the service that lists and moves VMs; empty if there is none.
    #[serde(default)]
    pub machines: String,
    #[serde(default)]
    pub log: Log,
}

/// What the daemon may use of its VM.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    pub cores: f64,
    /// Fraction of the cores that the daemon may use.
    pub core_share: f64,
    /// Memory in MiB.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u64,
    /// Number of file descriptors.
    #[serde(default = "default_max_fds")]
    pub max_fds: usize,
}

fn default_memory_mb() -> u64 {
    256
}

fn default_max_fds() -> usize {
    4096
}

impl Machine {
    /// Memory and file descriptors, which clients get a share of.
    pub fn limits(&self) -> MachineLimits {
        MachineLimits { memory_mb: self.memory_mb, max_fds: self.max_fds }
    }

    /// CPU capacity, in thousandths of a core.
    pub fn milli_cores(&self) -> u32 {
        (self.cores * self.core_share * 1000.0).round() as u32
    }
}

/// Addresses to listen on.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Address for callers.
    pub front: SocketAddr,
    /// Address for the load balancer's readiness check.
    pub ready: SocketAddr,
}

/// Settings of the platform's store.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// `ip:port`.
    pub address: String,
    /// Shortest lease that the store grants, in milliseconds.
    pub min_lease_ms: u64,
    /// Interval between two announcements of a VM, in milliseconds. If it is 0, not known, the
    /// tasks of VMs that have left wait for their leases.
    #[serde(default)]
    pub announce_ms: u64,
}

/// Times that the platform guarantees or requires, in milliseconds unless the name says otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    pub max_keep_ms: u64,
    pub stop_timeout_ms: u64,
    pub group_timeout_ms: u64,
    pub remote_factor: f64,
    pub checkpoint_s: f64,
    pub restore_ms: u64,
    pub show_for_s: f64,
    pub notice_ms: u64,
    pub harm_ms: u64,
    pub pace_ms: u64,
    /// Time from the acknowledgement of a configuration until it is in force everywhere.
    pub config_in_force_ms: u64,
    /// Time from the acknowledgement of an evacuation order until nothing more is started in its
    /// failure domain; that of a configuration unless given.
    #[serde(default)]
    pub evacuation_in_force_ms: Option<u64>,
    /// Time from the request to stop until the process must have ended.
    pub grace_s: f64,
}

/// Settings of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    pub level: LogLevel,
}

/// Lowest level that is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    Routine,
    Telling,
    Urgent,
}

impl Default for Log {
    fn default() -> Self {
        Self { level: LogLevel::Routine }
    }
}

impl Settings {
    /// Parses and validates settings.
    pub fn parse(text: &str) -> Result<Self> {
        let settings: Self = toml::from_str(text).map_err(|e| Error::Syntax(e.to_string()))?;
        settings.validate()?;
        Ok(settings)
    }

    /// Address for other daemons.
    pub fn peer_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.ports[0])
    }

    /// Address for metrics.
    pub fn metrics_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.ports[0] + 1)
    }

    /// Settings for the shards.
    pub fn shard_settings(&self) -> shard::Settings {
        let ms = Duration::from_millis;
        let bounds = &self.bounds;
        shard::Settings {
            max_keep: ms(bounds.max_keep_ms),
            stop_timeout: ms(bounds.stop_timeout_ms),
            group_timeout: ms(bounds.group_timeout_ms),
            remote_factor: bounds.remote_factor,
            checkpoint_every: duration::from_secs(bounds.checkpoint_s),
            restore: ms(bounds.restore_ms),
            show_for: duration::from_secs(bounds.show_for_s),
            notice: ms(bounds.notice_ms),
            harm: ms(bounds.harm_ms),
            pace_delay: ms(bounds.pace_ms),
            evacuation_in_force: ms(bounds
                .evacuation_in_force_ms
                .unwrap_or(bounds.config_in_force_ms)),
            max_commands: self.machine.limits().shard_commands(),
        }
    }

    fn validate(&self) -> Result<()> {
        let [first, last] = self.ports;
        if last <= first {
            return Err(Error::NoPort { first, last, what: "metrics" });
        }
        if self.name.is_empty() || self.name.contains('@') {
            let (key, value) = ("name", self.name.clone());
            return Err(Error::Range { key, value, expected: "that is not empty and has no `@`" });
        }
        let amounts = [
            ("bounds.checkpoint_s", self.bounds.checkpoint_s),
            ("bounds.show_for_s", self.bounds.show_for_s),
            ("bounds.grace_s", self.bounds.grace_s),
            ("machine.cores", self.machine.cores),
            ("machine.core_share", self.machine.core_share),
        ];
        for (key, value) in amounts {
            if !(0.0..1e6).contains(&value) {
                let value = value.to_string();
                return Err(Error::Range { key, value, expected: "from 0 to 1000000" });
            }
        }
        let machine = [
            ("machine.memory_mb", self.machine.memory_mb, MIN_MEMORY_MB, "of 64 or more"),
            ("machine.max_fds", self.machine.max_fds as u64, MIN_FDS, "of 128 or more"),
        ];
        for (key, value, min, expected) in machine {
            if value < min {
                return Err(Error::Range { key, value: value.to_string(), expected });
            }
        }
        if self.bounds.max_keep_ms < 1000 {
            let value = self.bounds.max_keep_ms.to_string();
            return Err(Error::Range {
                key: "bounds.max_keep_ms",
                value,
                expected: "of 1000 or more",
            });
        }
        Ok(())
    }
}
