//! Settings of the daemon that runs jobs.

use crate::ids::DomainId;
use crate::shard;
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Result of reading settings.
pub type Result<T> = std::result::Result<T, Error>;

/// Settings that can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    #[error("{0}; correct the settings file")]
    Syntax(String),
    #[error("`{key}` is {value}; give a value {expected}")]
    Range { key: &'static str, value: String, expected: &'static str },
    #[error("no port from {first} to {last} is left for `{what}`; widen `ports`")]
    NoPort { first: u16, last: u16, what: &'static str },
}

/// Settings of one daemon.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the daemon, the same after a restart.
    pub name: String,
    /// Failure domain that it is in.
    pub domain: DomainId,
    /// Address of its VM.
    pub ip: std::net::IpAddr,
    /// First and last port that daemons may use among themselves.
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
    /// Share of the cores.
    pub core_share: f64,
}

impl Machine {
    /// Processors, in thousandths of a core.
    pub fn power(&self) -> u32 {
        (self.cores * self.core_share * 1000.0).round() as u32
    }
}

/// Addresses to listen on.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Callers.
    pub front: SocketAddr,
    /// The balancer's question whether the daemon takes callers.
    pub ready: SocketAddr,
}

/// The platform's store.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// `ip:port`.
    pub address: String,
    /// Shortest lease that it grants, in milliseconds.
    pub min_lease_ms: u64,
}

/// Times that the platform guarantees or requires, in milliseconds unless named otherwise.
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
    /// From the acknowledgement of a configuration until it is in force everywhere.
    pub config_in_force_ms: u64,
    /// From the request to stop to the end of the process.
    pub grace_s: f64,
}

/// What is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    pub level: LogLevel,
}

/// Least important lines that are written.
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
    /// Reads and checks settings.
    pub fn parse(text: &str) -> Result<Self> {
        let settings: Self = toml::from_str(text).map_err(|e| Error::Syntax(e.to_string()))?;
        settings.check()?;
        Ok(settings)
    }

    /// Port for other daemons.
    pub fn peer_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.ports[0])
    }

    /// Port for metrics.
    pub fn metrics_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.ports[0] + 1)
    }

    /// Figures for the shards' decisions.
    pub fn shard(&self) -> shard::Settings {
        let ms = Duration::from_millis;
        let bounds = &self.bounds;
        shard::Settings {
            max_keep: ms(bounds.max_keep_ms),
            stop_timeout: ms(bounds.stop_timeout_ms),
            group_timeout: ms(bounds.group_timeout_ms),
            remote_factor: bounds.remote_factor,
            checkpoint_every: Duration::from_secs_f64(bounds.checkpoint_s),
            restore: ms(bounds.restore_ms),
            show_for: Duration::from_secs_f64(bounds.show_for_s),
            notice: ms(bounds.notice_ms),
            harm: ms(bounds.harm_ms),
            pace_delay: ms(bounds.pace_ms),
        }
    }

    fn check(&self) -> Result<()> {
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
