//! Preemption for urgent tasks: which tasks to evict, and from which VM.
//!
//! A plan lists all tasks to evict from one VM. It is executed one task at a time and kept until it
//! is complete or expires. Evicted tasks still occupy their resources while they are checkpointed,
//! and a second plan made in the meantime would evict twice as many tasks.

use super::{ReliefStep, RunningTask, eviction};
use crate::ids::{Attempt, TaskId, VmId};
use crate::model::Urgency;
use crate::units::Resources;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Number of the cheapest plans that a record keeps.
const RECORDED_PLANS: usize = 4;

/// Time after which an incomplete plan is replaced by a new one.
const PLAN_TIMEOUT: Duration = Duration::from_secs(15);

/// Maximum number of plans in progress.
const MAX_PLANS: usize = 1024;

/// A task to evict.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Victim {
    pub task: TaskId,
    pub attempt: Attempt,
    /// Work lost by its eviction, in ppm.
    pub loss: i64,
    pub frees: Resources,
}

/// The tasks to evict from one VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    pub vm: VmId,
    pub free: Resources,
    /// Tasks to evict, cheapest first.
    pub victims: Vec<Victim>,
}

impl Plan {
    /// Total work lost by the plan, in ppm.
    pub fn loss(&self) -> i64 {
        self.victims.iter().map(|victim| victim.loss).sum()
    }
}

/// Inputs of a preemption decision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inputs {
    pub at: Duration,
    pub task: TaskId,
    pub need: Resources,
    /// The cheapest plans.
    pub plans: Vec<Plan>,
}

impl Inputs {
    /// Returns the first eviction of the cheapest plan. Ties go to the first VM by id.
    pub fn decide(&self) -> Option<ReliefStep> {
        let plan = self.best()?;
        let victim = plan.victims.first()?;
        let (task, attempt) = (victim.task, victim.attempt);
        Some(ReliefStep::Evict { vm: plan.vm.clone(), task, attempt })
    }

    pub fn best(&self) -> Option<&Plan> {
        self.plans.iter().min_by_key(|plan| (plan.loss(), &plan.vm))
    }

    /// Keeps the cheapest plans.
    pub fn truncate(&mut self) {
        self.plans.sort_by(|l, r| (l.loss(), &l.vm).cmp(&(r.loss(), &r.vm)));
        self.plans.truncate(RECORDED_PLANS);
    }
}

/// Plans the cheapest evictions that make room on one VM, or returns `None` if none suffice.
pub fn plan(
    vm: &VmId,
    free: &Resources,
    need: &Resources,
    running_tasks: &[RunningTask],
    now: Duration,
) -> Option<Plan> {
    let mut victims: Vec<_> =
        running_tasks.iter().filter_map(|r| victim(r, need, free, now)).collect();
    victims.sort_by_key(|victim| (victim.loss, victim.task));
    let mut chosen: Vec<Victim> = Vec::new();
    for victim in victims {
        if need.fits_in(&free_after(free, &chosen)) {
            break;
        }
        chosen.push(victim);
    }
    if !need.fits_in(&free_after(free, &chosen)) {
        return None;
    }
    drop_redundant(&mut chosen, free, need);
    Some(Plan { vm: vm.clone(), free: *free, victims: chosen })
}

fn victim(
    running_task: &RunningTask,
    need: &Resources,
    free: &Resources,
    now: Duration,
) -> Option<Victim> {
    let spec = &running_task.spec;
    if spec.urgency == Urgency::Urgent || !frees_shortage(&spec.resources, need, free) {
        return None;
    }
    let loss = eviction::cost(running_task, now)?;
    let (task, attempt) = (running_task.task, running_task.attempt);
    Some(Victim { task, attempt, loss, frees: spec.resources })
}

/// Whether the amount contributes to any resource that is short.
fn frees_shortage(amount: &Resources, need: &Resources, free: &Resources) -> bool {
    let missing = need.saturating_sub(free);
    (missing.milli_cores.0 > 0 && amount.milli_cores.0 > 0)
        || (missing.memory_mib.0 > 0 && amount.memory_mib.0 > 0)
        || (missing.accelerators.0 > 0 && amount.accelerators.0 > 0)
}

fn free_after(free: &Resources, victims: &[Victim]) -> Resources {
    victims.iter().fold(*free, |sum, victim| sum.saturating_add(&victim.frees))
}

/// Drops victims made redundant by a later, larger one, starting with the costliest.
fn drop_redundant(chosen: &mut Vec<Victim>, free: &Resources, need: &Resources) {
    for index in (0..chosen.len()).rev() {
        let victim = chosen.remove(index);
        if !need.fits_in(&free_after(free, chosen)) {
            chosen.insert(index, victim);
        }
    }
}

#[derive(Clone, Debug)]
struct Pending {
    plan: Plan,
    requested: usize,
    at: Duration,
}

/// Plans in progress.
#[derive(Clone, Debug, Default)]
pub struct Plans {
    pending: IndexMap<TaskId, Pending>,
}

/// Progress of the plan for a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// There is no plan; one may be made.
    None,
    /// All evictions were requested, but their resources are not free yet.
    Waiting,
    /// The rest of the plan, starting with the next victim.
    Next(Plan),
}

impl Plans {
    /// Returns the progress of the task's plan.
    pub fn progress(&mut self, task: TaskId, now: Duration) -> Progress {
        self.pending.retain(|_, pending| now < pending.at + PLAN_TIMEOUT);
        let Some(pending) = self.pending.get(&task) else { return Progress::None };
        let mut rest = pending.plan.clone();
        rest.victims.drain(..pending.requested.min(rest.victims.len()));
        if rest.victims.is_empty() { Progress::Waiting } else { Progress::Next(rest) }
    }

    /// Whether a plan already evicts tasks from the VM.
    pub fn targets(&self, vm: &VmId) -> bool {
        self.pending.values().any(|pending| pending.plan.vm == *vm)
    }

    /// Records that the next eviction of a plan was requested.
    pub fn record_eviction(&mut self, task: TaskId, plan: &Plan, now: Duration) {
        if self.pending.len() >= MAX_PLANS {
            self.pending.shift_remove_index(0);
        }
        let pending = self.pending.entry(task);
        let pending =
            pending.or_insert_with(|| Pending { plan: plan.clone(), requested: 0, at: now });
        pending.requested += 1;
    }

    /// Drops the task's plan.
    pub fn remove(&mut self, task: TaskId) {
        self.pending.shift_remove(&task);
    }
}
