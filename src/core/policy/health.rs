//! Whether a VM takes new work, from its failures and its place on the ladder.

use super::Relief;
use super::ladder::{self, Rung};
use crate::ids::VmId;
use crate::peer::VmHealth;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What the health of a VM is decided from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inputs {
    pub at: Duration,
    pub vm: VmId,
    pub present: VmHealth,
    /// Failures blamed on the VM, fading, in parts.
    pub blame: i64,
    /// Time since the quarantine began.
    pub quarantined_for: Option<Duration>,
    pub rung: Rung,
    /// The step that led to this rung.
    pub ladder: Option<ladder::Inputs>,
}

impl Inputs {
    /// The change that follows from the inputs, if one is due.
    pub fn decide(&self) -> Option<Relief> {
        let health = self.health();
        let due = self.present != VmHealth::Leaving && self.present != health;
        due.then(|| Relief::Health { vm: self.vm.clone(), health })
    }

    fn health(&self) -> VmHealth {
        if self.quarantined_for.is_some() {
            return VmHealth::Quarantined;
        }
        match self.rung {
            Rung::Avoided => VmHealth::Avoided,
            Rung::Calm | Rung::Throttled => VmHealth::Open,
        }
    }
}
