//! Status of the request path, as shown to operators.

use crate::ids::{ClassName, DomainId, ServiceName, VmId};
use crate::request::endpoint::EndpointState;
use crate::request::health::HealthState;
use crate::request::outcome::Reason;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Status of the request path.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RequestStatus {
    pub draining: bool,
    /// Requests between arrival and the end of their answer.
    pub in_flight: usize,
    pub held_bytes: usize,
    /// Number of requests that wait for a slot.
    pub queued: IndexMap<ClassName, usize>,
    /// Number of refusals since the start, by reason.
    pub refusals: IndexMap<Reason, u64>,
    pub endpoints: Vec<EndpointStatus>,
}

/// Status of an endpoint as seen by this daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct EndpointStatus {
    pub vm: VmId,
    pub service: ServiceName,
    pub domain: DomainId,
    pub listed: EndpointState,
    pub standing: HealthState,
    /// Fraction of recent answers that were failures.
    pub failed_share: f64,
    /// Recent service time relative to the estimate of the requests' classes.
    pub slowness: f64,
    /// Number of slots that this daemon may use.
    pub share: u32,
    pub in_flight: u32,
}
