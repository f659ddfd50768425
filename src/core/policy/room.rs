//! Room for an urgent task: whom to evict, and from which VM.
//!
//! A plan names all tasks that must leave one VM. It is carried out one task at a time and
//! remembered until it is done or too old: the evicted tasks still take up room while they are
//! checkpointed, and a second plan made meanwhile would evict twice as many.

use super::{Relief, Resident, eviction};
use crate::ids::{Attempt, TaskId, VmId};
use crate::model::Urgency;
use crate::units::Resources;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Plans kept in a record, the cheapest of those made.
const RECORDED_PLANS: usize = 4;

/// A plan that was not enough by then is made anew.
const PLAN_FOR: Duration = Duration::from_secs(15);

/// Plans remembered.
const MAX_PLANS: usize = 1024;

/// A task to be evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Victim {
    pub task: TaskId,
    pub attempt: Attempt,
    /// What its eviction loses, in parts.
    pub loss: i64,
    pub frees: Resources,
}

/// The tasks that must leave a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    pub vm: VmId,
    pub free: Resources,
    /// Cheapest first.
    pub victims: Vec<Victim>,
}

impl Plan {
    /// What the plan loses, in parts.
    pub fn loss(&self) -> i64 {
        self.victims.iter().map(|victim| victim.loss).sum()
    }
}

/// What an eviction for an urgent task is decided from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inputs {
    pub at: Duration,
    pub task: TaskId,
    pub need: Resources,
    /// The cheapest plans.
    pub plans: Vec<Plan>,
}

impl Inputs {
    /// The first eviction of the cheapest plan; of equal ones that of the VM whose name sorts first.
    pub fn decide(&self) -> Option<Relief> {
        let plan = self.best()?;
        let victim = plan.victims.first()?;
        let (task, attempt) = (victim.task, victim.attempt);
        Some(Relief::Evict { vm: plan.vm.clone(), task, attempt })
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

/// The cheapest evictions that make room on one VM, if there are any.
pub fn plan(
    vm: &VmId,
    free: &Resources,
    need: &Resources,
    residents: &[Resident],
    now: Duration,
) -> Option<Plan> {
    let mut victims: Vec<_> = residents.iter().filter_map(|r| victim(r, need, free, now)).collect();
    victims.sort_by_key(|victim| (victim.loss, victim.task));
    let mut chosen: Vec<Victim> = Vec::new();
    for victim in victims {
        if need.fits_in(&room(free, &chosen)) {
            break;
        }
        chosen.push(victim);
    }
    if !need.fits_in(&room(free, &chosen)) {
        return None;
    }
    spare(&mut chosen, free, need);
    Some(Plan { vm: vm.clone(), free: *free, victims: chosen })
}

fn victim(
    resident: &Resident,
    need: &Resources,
    free: &Resources,
    now: Duration,
) -> Option<Victim> {
    let spec = &resident.spec;
    if spec.urgency == Urgency::Urgent || !helps(&spec.resources, need, free) {
        return None;
    }
    let loss = eviction::cost(resident, now)?;
    let (task, attempt) = (resident.task, resident.attempt);
    Some(Victim { task, attempt, loss, frees: spec.resources })
}

/// Whether the amount has something of what is missing.
fn helps(amount: &Resources, need: &Resources, free: &Resources) -> bool {
    let missing = need.saturating_sub(free);
    (missing.milli_cores.0 > 0 && amount.milli_cores.0 > 0)
        || (missing.memory_mib.0 > 0 && amount.memory_mib.0 > 0)
        || (missing.accelerators.0 > 0 && amount.accelerators.0 > 0)
}

fn room(free: &Resources, victims: &[Victim]) -> Resources {
    victims.iter().fold(*free, |sum, victim| sum.saturating_add(&victim.frees))
}

/// Spares victims that a later, larger one made needless, the costliest first.
fn spare(chosen: &mut Vec<Victim>, free: &Resources, need: &Resources) {
    for index in (0..chosen.len()).rev() {
        let victim = chosen.remove(index);
        if !need.fits_in(&room(free, chosen)) {
            chosen.insert(index, victim);
        }
    }
}

#[derive(Clone, Debug)]
struct Pending {
    plan: Plan,
    done: usize,
    at: Duration,
}

/// Plans that are being carried out.
#[derive(Clone, Debug, Default)]
pub struct Plans {
    pending: IndexMap<TaskId, Pending>,
}

/// What is under way for a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Nothing; a plan may be made.
    None,
    /// Evictions were asked for; their room is awaited.
    Waiting,
    /// The rest of the plan, from the next victim.
    Next(Plan),
}

impl Plans {
    /// What is under way for the task.
    pub fn progress(&mut self, task: TaskId, now: Duration) -> Progress {
        self.pending.retain(|_, pending| now < pending.at + PLAN_FOR);
        let Some(pending) = self.pending.get(&task) else { return Progress::None };
        let mut rest = pending.plan.clone();
        rest.victims.drain(..pending.done.min(rest.victims.len()));
        if rest.victims.is_empty() { Progress::Waiting } else { Progress::Next(rest) }
    }

    /// Whether some plan is emptying the VM already.
    pub fn concerns(&self, vm: &VmId) -> bool {
        self.pending.values().any(|pending| pending.plan.vm == *vm)
    }

    /// Notes that the next eviction of a plan was asked for.
    pub fn carried_out(&mut self, task: TaskId, plan: &Plan, now: Duration) {
        if self.pending.len() >= MAX_PLANS {
            self.pending.shift_remove_index(0);
        }
        let pending = self.pending.entry(task);
        let pending = pending.or_insert_with(|| Pending { plan: plan.clone(), done: 0, at: now });
        pending.done += 1;
    }

    /// The task needs no plan any more.
    pub fn forget(&mut self, task: TaskId) {
        self.pending.shift_remove(&task);
    }
}
