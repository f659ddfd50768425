//! Where a task goes, what it disturbs, and what is done about it.

use crate::ids::{Attempt, ClassName, DomainId, RackId, Revision, TaskId, VmId};
use crate::model::{Config, Weights};
use crate::peer::{VmHealth, VmView};
use crate::task::{Outcome, TaskSpec};
use crate::units::Resources;
use crate::worker::UsageReport;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// Chooses VMs for tasks, and learns from what happens there.
#[derive(Debug, Default)]
pub struct Policy {
    config: Arc<Config>,
    views: IndexMap<VmId, VmView>,
}

/// A task looking for a VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Candidate {
    pub task: TaskId,
    pub attempt: Attempt,
    pub spec: TaskSpec,
    /// Time since the task was accepted.
    pub waited: Duration,
    /// VM that the last attempt failed or declined on.
    pub avoid: Vec<VmId>,
}

/// Where a task goes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Choice {
    Place {
        vm: VmId,
    },
    /// No VM now; asked again after a change.
    Wait {
        reason: String,
    },
    /// No VM ever, as configured; with the nearest size that would fit.
    Never {
        reason: String,
        nearest: Option<Resources>,
    },
}

/// A step against a service's suffering, or for an urgent task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Relief {
    /// Slows a task to a share of its processors; 1 restores it.
    Throttle { vm: VmId, task: TaskId, share: f64 },
    /// Changes whether new work is placed on the VM.
    Health { vm: VmId, health: VmHealth },
    /// Checkpoints the task and moves it off.
    Evict { vm: VmId, task: TaskId, attempt: Attempt },
}

/// What was decided, from what, and why.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DecisionRecord {
    /// Time on the deciding daemon's clock.
    pub at: Duration,
    pub subject: Subject,
    /// Configuration that was in force.
    pub revision: Revision,
    pub weights: Weights,
    /// What was decided, in words.
    pub verdict: String,
    /// VMs considered, and those passed over counted by reason.
    pub considered: u32,
    pub passed_over: IndexMap<String, u32>,
    /// The figures that the choice rests on, by name.
    pub inputs: IndexMap<String, String>,
}

/// What a decision was about.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Subject {
    Task(TaskId),
    Vm(VmId),
}

/// A choice with its record.
#[derive(Clone, Debug, PartialEq)]
pub struct Decided<T> {
    pub choice: T,
    pub record: DecisionRecord,
}

/// A batch task on a VM, as the policy needs to know it.
#[derive(Clone, Debug, PartialEq)]
pub struct Resident {
    pub task: TaskId,
    pub attempt: Attempt,
    pub spec: TaskSpec,
    /// When it started, on this daemon's clock.
    pub since: Duration,
    /// Age of its last checkpoint, if it has one.
    pub checkpoint_at: Option<Duration>,
    pub progress: f64,
}

impl Policy {
    /// A policy that knows no VM yet.
    pub fn new(config: Arc<Config>) -> Self {
        Self { config, views: IndexMap::new() }
    }

    /// Puts a configuration in force.
    pub fn configure(&mut self, config: Arc<Config>) {
        self.config = config;
    }

    /// Learns of a VM, or of a change to it.
    pub fn upsert_vm(&mut self, view: VmView) {
        self.views.insert(view.vm.clone(), view);
    }

    /// Forgets a VM.
    pub fn remove_vm(&mut self, vm: &VmId) {
        self.views.shift_remove(vm);
    }

    /// Whether a task could ever run, and whether its team's quota allows it.
    pub fn admit(&mut self, candidate: &Candidate, now: Duration) -> Decided<Choice> {
        self.choose(candidate, now)
    }

    /// Chooses a VM for a task. The caller reports the effect by [`Policy::upsert_vm`].
    pub fn choose(&mut self, candidate: &Candidate, now: Duration) -> Decided<Choice> {
        let mut passed_over = IndexMap::new();
        let mut chosen = None;
        for view in self.views.values() {
            if view.health != VmHealth::Open {
                *passed_over.entry("not open".to_owned()).or_insert(0) += 1;
            } else if !candidate.spec.resources.fits_in(&view.free) {
                *passed_over.entry("no room".to_owned()).or_insert(0) += 1;
            } else {
                chosen = Some(view.vm.clone());
                break;
            }
        }
        let choice = match chosen {
            Some(vm) => Choice::Place { vm },
            None => Choice::Wait { reason: "no VM has room".to_owned() },
        };
        let record = DecisionRecord {
            at: now,
            subject: Subject::Task(candidate.task),
            revision: self.config.revision,
            weights: self.config.weights,
            verdict: format!("{choice:?}"),
            considered: u32::try_from(self.views.len()).unwrap_or(u32::MAX),
            passed_over,
            inputs: IndexMap::new(),
        };
        Decided { choice, record }
    }

    /// Learns from a usage report of a VM held by this daemon.
    pub fn observe(&mut self, _vm: &VmId, _report: &UsageReport, _now: Duration) {}

    /// Learns how an attempt ended on a VM.
    pub fn ended(&mut self, _vm: &VmId, _class: &ClassName, _outcome: &Outcome, _now: Duration) {}

    /// Steps due on a VM held by this daemon, given the batch tasks there.
    pub fn relieve(
        &mut self,
        _vm: &VmId,
        _residents: &[Resident],
        _now: Duration,
    ) -> Vec<Decided<Relief>> {
        Vec::new()
    }

    /// Whom to evict for an urgent task that waits, if anyone; among this daemon's own VMs.
    pub fn make_room(
        &mut self,
        _candidate: &Candidate,
        _residents: &IndexMap<VmId, Vec<Resident>>,
        _now: Duration,
    ) -> Option<Decided<Relief>> {
        None
    }

    /// Where the VMs are that the policy knows.
    pub fn places(&self) -> impl Iterator<Item = (&VmId, &DomainId, &RackId)> {
        self.views.values().map(|view| (&view.vm, &view.domain, &view.rack))
    }
}
