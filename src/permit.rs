//! Interface to an external service that decides on which VMs a step may run.
//!
//! The decision for a step and a VM never changes, but the permit that it comes with is valid for
//! only a few seconds and only for the same instance of the VM. The service handles one request
//! at a time from each daemon, and takes longer the more VMs the request names.

use crate::ids::VmId;
use crate::job::StepRef;
use serde::{Deserialize, Serialize};
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

/// Result of a permit request.
pub type Result<T> = std::result::Result<T, Error>;

/// Maximum number of VMs in one request.
pub const MAX_VMS_PER_REQUEST: usize = 100;

/// Authorizes tasks of a step to start on a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Permit(Arc<str>);

impl Permit {
    /// Wraps the permit text issued by the service.
    pub fn new(text: &str) -> Self {
        Self(Arc::from(text))
    }

    /// The permit text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Why a permit request got no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum Error {
    #[error("the permit service has too many pending requests; retry later")]
    Busy,
    #[error("the permit service can't be reached ({reason}); check its address in the settings")]
    NotSent { reason: String },
    #[error("the permit service did not answer ({reason}); retry the request")]
    NoAnswer { reason: String },
}

/// Requests permits for a step on a list of VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitReq {
    pub step: StepRef,
    /// At most [`MAX_VMS_PER_REQUEST`].
    pub vms: Vec<VmId>,
    /// Time limit for the answer.
    pub timeout: Duration,
}

/// The permitted VMs; every other VM in the request is refused for good.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitResp {
    pub permits: Vec<(VmId, Permit)>,
    /// How long the permits are valid.
    pub validity: Duration,
}

/// Client of the permit service.
pub trait PermitApi {
    /// Requests permits for one step.
    fn request_permits(&self, req: &PermitReq) -> impl Future<Output = Result<PermitResp>>;
}
