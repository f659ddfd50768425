//! The request path as operators see it.

use crate::ids::{ClassName, DomainId, ServiceName, VmId};
use crate::request::endpoint::EndpointState;
use crate::request::health::Standing;
use crate::request::outcome::Reason;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// What the request path is doing.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RequestStatus {
    pub draining: bool,
    /// Requests between arrival and the end of their answer.
    pub in_flight: usize,
    pub held_bytes: usize,
    /// Requests that wait for a slot.
    pub queued: IndexMap<ClassName, usize>,
    /// Answers given since the start that no endpoint gave.
    pub refusals: IndexMap<Reason, u64>,
    pub endpoints: Vec<EndpointStatus>,
}

/// An endpoint as this daemon sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct EndpointStatus {
    pub vm: VmId,
    pub service: ServiceName,
    pub domain: DomainId,
    pub listed: EndpointState,
    pub standing: Standing,
    /// Share of recent answers that were failures.
    pub failed_share: f64,
    /// Times the usual that requests took there lately.
    pub slowness: f64,
    /// Slots that this daemon may use.
    pub share: u32,
    pub in_flight: u32,
}
