//! Decides whether a VM accepts new work, from its failures and its escalation level.

use super::ReliefStep;
use super::ladder::{self, EscalationLevel};
use crate::ids::VmId;
use crate::peer::VmHealth;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Inputs of a VM health decision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inputs {
    pub at: Duration,
    pub vm: VmId,
    pub present: VmHealth,
    /// Decaying count of failures attributed to the VM, in ppm.
    pub blame: i64,
    /// Time since the quarantine began.
    pub quarantined_for: Option<Duration>,
    pub rung: EscalationLevel,
    /// Inputs of the last step that changed the VM's health.
    pub ladder: Option<ladder::Inputs>,
}

impl Inputs {
    /// Returns the change of health that the inputs call for, if any.
    pub fn decide(&self) -> Option<ReliefStep> {
        let health = self.health();
        let due = self.present != VmHealth::Leaving && self.present != health;
        due.then(|| ReliefStep::Health { vm: self.vm.clone(), health })
    }

    fn health(&self) -> VmHealth {
        if self.quarantined_for.is_some() {
            return VmHealth::Quarantined;
        }
        match self.rung {
            EscalationLevel::Avoided => VmHealth::Avoided,
            EscalationLevel::Calm | EscalationLevel::Throttled => VmHealth::Open,
        }
    }
}
