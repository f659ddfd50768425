//! The port to a service that says on which VMs a step may run.
//!
//! Its verdict on a step and a VM doesn't change, but the permit that goes with it is valid for a
//! few seconds only, and only while the VM lives. The service takes one question at a time from
//! each daemon, and the longer the more VMs it names.

use crate::ids::VmId;
use crate::job::StepRef;
use serde::{Deserialize, Serialize};
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

/// Result of a question.
pub type Result<T> = std::result::Result<T, Error>;

/// Most VMs that one request may name.
pub const MAX_VMS_PER_REQUEST: usize = 100;

/// Lets tasks of a step start on a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Permit(Arc<str>);

impl Permit {
    /// A permit as the service gave it.
    pub fn new(text: &str) -> Self {
        Self(Arc::from(text))
    }

    /// Its text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// A question without an answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum Error {
    #[error("the service that permits steps has too many questions waiting; ask again later")]
    Busy,
    #[error(
        "the service that permits steps can't be reached ({reason}); check its address in the settings"
    )]
    NotSent { reason: String },
    #[error("the service that permits steps did not answer ({reason}); ask again")]
    NoAnswer { reason: String },
}

/// Asks on which of these VMs a step may run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitReq {
    pub step: StepRef,
    /// At most [`MAX_VMS_PER_REQUEST`].
    pub vms: Vec<VmId>,
    /// Time for the answer.
    pub timeout: Duration,
}

/// The VMs that were permitted; all others that were asked about never will be.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitResp {
    pub permits: Vec<(VmId, Permit)>,
    /// How long they are valid.
    pub valid: Duration,
}

/// The service.
pub trait PermitPort {
    /// Asks about one step.
    fn ask(&self, req: &PermitReq) -> impl Future<Output = Result<PermitResp>>;
}
