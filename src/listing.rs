//! The port to the platform's list of live and leaving VMs, which lags.
//!
//! `GET {base}/v1/list` answers with a [`Listing`] as JSON. A VM that is missing has failed or was
//! replaced; nothing else is concluded from it, since the list may be late.

use crate::core::event::{ListedState, ListedVm};
use crate::ids::{DomainId, ServiceName, VmId};
use awc::Client;
use awc::http::StatusCode;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Result of a call.
pub type Result<T> = std::result::Result<T, Error>;

const MAX_LIST_BYTES: usize = 8 << 20;

/// The list can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the platform's list can't be read ({reason}); the last one read stays in use")]
pub struct Error {
    reason: String,
}

/// Every VM that the platform knows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    pub workers: Vec<WorkerEntry>,
    pub endpoints: Vec<EndpointEntry>,
    pub daemons: Vec<DaemonEntry>,
}

/// A worker VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerEntry {
    pub vm: VmId,
    pub domain: DomainId,
    /// Base URL of the worker's interface.
    pub url: String,
    pub state: EntryState,
}

/// An endpoint of a service, on the worker VM that its instance runs on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointEntry {
    pub vm: VmId,
    pub service: ServiceName,
    pub domain: DomainId,
    /// `ip:port`.
    pub addr: String,
    pub state: EntryState,
}

/// An entry VM with a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonEntry {
    pub domain: DomainId,
    /// `ip:port` of the peer port.
    pub peer_addr: String,
    /// `ip:port` of the callers' port.
    pub front_addr: String,
}

/// Whether a VM stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EntryState {
    Live,
    Leaving,
}

impl From<&WorkerEntry> for ListedVm {
    fn from(entry: &WorkerEntry) -> Self {
        let state = match entry.state {
            EntryState::Live => ListedState::Live,
            EntryState::Leaving => ListedState::Leaving,
        };
        Self { vm: entry.vm.clone(), domain: entry.domain.clone(), state }
    }
}

/// Reads the list.
pub async fn fetch(client: &Client, base: &str, timeout: Duration) -> Result<Listing> {
    let mut resp = client
        .get(format!("{base}/v1/list"))
        .timeout(timeout)
        .send()
        .await
        .map_err(|e| Error { reason: e.to_string() })?;
    if resp.status() != StatusCode::OK {
        return Err(Error { reason: format!("status {}", resp.status()) });
    }
    resp.json().limit(MAX_LIST_BYTES).await.map_err(|e| Error { reason: e.to_string() })
}
