//! The room on the shard's VMs, as one pass of placing sees it.

use super::health::State;
use super::vm_run::{RunKey, Vm};
use crate::ids::{RackId, VmId};
use crate::job::{Share, Step, TaskRef};
use crate::units::Resources;
use std::time::Duration;

/// Part of a lasting task's reserved processors that it uses on average; the rest is left over.
/// A first guess, corrected by what leftover work is seen to get.
const LASTING_LOAD: f64 = 0.5;

/// Room on one VM.
#[derive(Clone, Debug)]
pub struct Room {
    pub vm: VmId,
    pub rack: RackId,
    pub free: Resources,
    /// Processors that leftover work shares, in thousandths of a core.
    pub leftover: f64,
    /// Processors that the leftover work there would use, in thousandths of a core.
    pub leftover_demand: f64,
    pub trial: Trial,
    /// Steps of the tasks there, to count those of one step.
    steps: Vec<StepKey>,
}

/// Whether a VM gets one task at a time, to see whether it is well again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trial {
    No,
    Yes,
}

/// One step of one occurrence of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StepKey {
    task: TaskRef,
}

impl StepKey {
    /// The step of a task.
    pub fn of(task: TaskRef) -> Self {
        Self { task: TaskRef { index: 0, ..task } }
    }
}

impl Room {
    /// The room on a VM; `None` if it takes no work now.
    pub fn of(vm: &Vm, now: Duration) -> Option<Self> {
        if !vm.takes_work(now) {
            return None;
        }
        let trial = match vm.health.state(now) {
            State::Well => Trial::No,
            State::Trial if vm.runs.values().all(super::vm_run::Run::is_running) => Trial::Yes,
            State::Trial | State::Resting { .. } => return None,
        };
        let mut used = 0.0;
        let mut leftover_demand = 0.0;
        for run in vm.runs.values() {
            match run.share {
                Share::Reserved => used += f64::from(run.milli_cores) * LASTING_LOAD,
                Share::Leftover => leftover_demand += f64::from(run.milli_cores),
            }
        }
        Some(Self {
            vm: vm.id.clone(),
            rack: vm.entry.rack.clone(),
            free: vm.free(),
            leftover: (f64::from(vm.entry.size.milli_cores.0) - used).max(0.0),
            leftover_demand,
            trial,
            steps: vm.runs.keys().map(|key: &RunKey| StepKey::of(key.task)).collect(),
        })
    }

    /// Whether a task of the step fits.
    pub fn takes(&self, step: &Step, key: StepKey) -> bool {
        step.reserved().fits_in(&self.free)
            && (step.per_vm == 0 || self.count(key) < step.per_vm as usize)
    }

    /// Tasks of a step there.
    pub fn count(&self, key: StepKey) -> usize {
        self.steps.iter().filter(|step| **step == key).count()
    }

    /// Tasks there.
    pub fn tasks(&self) -> usize {
        self.steps.len()
    }

    /// Takes room for a task.
    pub fn take(&mut self, step: &Step, key: StepKey) {
        self.free = self.free.saturating_sub(&step.reserved());
        if step.share == Share::Leftover {
            self.leftover_demand += f64::from(step.size.milli_cores.0);
        }
        self.steps.push(key);
    }

    /// Speed that one more leftover task would have, 0 to 1.
    pub fn leftover_speed(&self, step: &Step) -> f64 {
        let demand = self.leftover_demand + f64::from(step.size.milli_cores.0);
        (self.leftover / demand.max(1.0)).min(1.0)
    }
}
