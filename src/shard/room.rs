//! Available capacity of the shard's VMs during a scheduling pass.

#[cfg(test)]
mod tests;

use super::Shard;
use super::health::State;
use super::interference::{ImageIx, InterferenceModel, TARGET_SHARE, chance_over};
use super::own_load::OwnLoad;
use super::relief::StopTimes;
use super::vm_run::{RunKey, Vm};
use crate::ids::{RackId, ServiceName, VmId};
use crate::job::{Label, Life, Share, Step, StepRef};
use crate::units::Resources;
use std::sync::Arc;
use std::time::Duration;

/// Expected utilization of a long-running task's reserved processors; the rest is available to
/// leftover work. An initial estimate, corrected by what leftover work is measured to get.
const LONG_RUNNING_UTILIZATION: f64 = 0.5;

/// Available capacity of one VM.
#[derive(Clone, Debug)]
pub struct VmCapacity {
    pub vm: VmId,
    /// Address of the VM as `ip:port`.
    pub addr: Arc<str>,
    pub rack: RackId,
    pub service: ServiceName,
    pub labels: Vec<Label>,
    pub free: Resources,
    /// Processors available to leftover work, in millicores.
    pub leftover: f64,
    /// Processors that the leftover work on the VM demands, in millicores.
    pub leftover_demand: f64,
    pub probation: Probation,
    pub hold: Hold,
    /// Whether the shard's long-running tasks are crowded.
    pub is_crowded: bool,
    /// Whether the VM is reserved for a single task that is to be placed on it.
    pub is_reserved: bool,
    /// Whether a serving task on the VM is far over its target, or has been over it for long.
    pub is_overloaded: bool,
    /// Number of tasks on the VM that are suspected of crashing their VM.
    pub crash_suspects: usize,
    /// Whether the VM must be drained soon.
    pub drains_soon: bool,
    /// Whether the VM left the last poll without an answer.
    pub is_unanswered: bool,
    /// Whether the VM has refused a call since its last answer.
    pub is_refusing: bool,
    /// Estimated share of the VM's usual speed, from 0 to 1.
    pub speed: f64,
    /// Serving tasks on the VM.
    pub served: Vec<ServingTask>,
    /// Processors reserved for long-running tasks, as a share of the VM's processors.
    pub long_running_share: f64,
    /// Number of long-running tasks on the VM.
    pub long_running_tasks: usize,
    size: f64,
    /// Capacity that long-running tasks leave to finite ones.
    finite_capacity: Resources,
    /// Step of each task on the VM, to count tasks by step.
    steps: Vec<StepRef>,
}

/// The properties of a serving task that matter for placing work next to it.
#[derive(Clone, Debug)]
pub struct ServingTask {
    pub image: ImageIx,
    pub slack: Slack,
}

/// Load that can be added before a serving task's tail latency exceeds its target, by how long the
/// load stays.
#[derive(Clone, Debug)]
pub struct Slack {
    /// Slack at the highest own load expected until each of [`SPANS`], without the added load.
    spans: [SpanSlack; SPANS.len()],
    /// Load that leftover work adds.
    added: f64,
}

#[derive(Clone, Copy, Debug)]
struct SpanSlack {
    load: f64,
    /// Standard error of the highest own load.
    deviation: f64,
}

/// Times for which slacks are known; longer runs count as the last one. An oscillating load passes
/// its peak within the last one.
const SPANS: [Duration; 6] = [
    Duration::from_millis(500),
    Duration::from_millis(1000),
    Duration::from_millis(1750),
    Duration::from_millis(2500),
    Duration::from_millis(4000),
    Duration::from_millis(7000),
];

impl Slack {
    /// Returns a slack that is the same for all times, with the standard error `deviation`.
    pub fn constant(load: f64, deviation: f64) -> Self {
        Self { spans: [SpanSlack { load, deviation }; SPANS.len()], added: 0.0 }
    }

    /// Returns the slack of a task with this load.
    fn of(load: &OwnLoad, now: Duration) -> Self {
        let bound = load.load_at_target_share(TARGET_SHARE);
        let mut from = Duration::ZERO;
        let mut highest = load.highest(now, from, from);
        let spans = SPANS.map(|span| {
            let within = load.highest(now, from, span);
            if within.load > highest.load {
                highest = within;
            }
            from = span;
            SpanSlack { load: bound - highest.load, deviation: highest.deviation }
        });
        Self { spans, added: 0.0 }
    }

    /// Returns the probability that the task exceeds its target within `time` if `added` is added
    /// to its load.
    fn chance_over(&self, time: Duration, added: f64) -> f64 {
        let span = self.within(time);
        chance_over(self.added + added - span.load, span.deviation)
    }

    /// Returns the slack that remains for `time`.
    fn remaining(&self, time: Duration) -> f64 {
        self.within(time).load - self.added
    }

    fn within(&self, time: Duration) -> SpanSlack {
        let index = SPANS.iter().position(|span| time <= *span).unwrap_or(SPANS.len() - 1);
        self.spans[index]
    }
}

/// Whether a VM is on probation and gets one task at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Probation {
    No,
    Yes,
}

/// Whether finite tasks are kept off a VM to make room for a waiting long-running task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hold {
    None,
    Held,
    /// The finite tasks on the VM have not made room in time. Jobs that have stalled may start there.
    Overdue,
}

/// Assumed own load of a serving task that has reported nothing yet: near the top of its usual
/// range.
const DEFAULT_EXPECTED_LOAD: f64 = 0.6;

/// Standard error of that assumption, which is already on the high side.
const DEFAULT_DEVIATION: f64 = 0.04;

/// Share of a leftover task's value that is lost for each serving task over its target. Higher than
/// for slowing down running work, since work that waits a moment finds another VM.
const HARM_COST: f64 = 1.25;

/// Time for which the free room reported to other shards is to last.
const REPORTED_SPAN: Duration = Duration::from_millis(1000);

impl Shard {
    /// Returns the room on a VM, or `None` if it accepts no work at the moment.
    pub(super) fn room(&self, vm: &Vm) -> Option<VmCapacity> {
        if self.upkeep_drain.is_draining(&vm.id) || self.evacuation.includes(vm) {
            return None;
        }
        let mut room = VmCapacity::of(vm, self.now.steady)?;
        let now = self.now.steady;
        room.is_reserved = self.reservations.is_reserved(&vm.id);
        room.speed = vm.speed.share(now);
        room.drains_soon = self.upkeep_drain.is_drain_scheduled(&vm.id);
        let max_over = StopTimes::new(self.settings.harm, vm.contact.poll_gap).heavy;
        room.is_overloaded = vm
            .runs
            .values()
            .any(|run| run.serving.is_over_for(max_over, now) || run.serving.is_far_over());
        let mut long_running_share = 0.0;
        let mut beside = Vec::new();
        for (key, run) in &vm.runs {
            let Some(step) = self.jobs.get(&key.task.job).and_then(|job| job.step(key.task)) else {
                continue;
            };
            room.crash_suspects += usize::from(self.is_suspect(key.task));
            let image = self.image(key.task);
            if step.life == Life::Lasting {
                room.finite_capacity = room.finite_capacity.saturating_sub(&run.reserved);
                room.long_running_tasks += 1;
            }
            if step.life == Life::Lasting && step.share == Share::Reserved {
                long_running_share += f64::from(run.milli_cores) / room.size;
            }
            if step.tail_target.is_some() {
                let job = self.jobs.get(&key.task.job);
                let load = job.and_then(|job| job.step_run(key.task)?.load.as_ref());
                let slack = load.map_or_else(default_slack, |load| Slack::of(load, now));
                room.served.push(ServingTask { image, slack });
            } else if run.share == Share::Leftover {
                beside.push((image, f64::from(run.milli_cores) / room.size));
            }
        }
        room.long_running_share = long_running_share;
        for (image, share) in beside {
            room.add_beside(image, share, &self.interference);
        }
        Some(room)
    }
}

/// Load bound of a serving task that has reported nothing yet.
const DEFAULT_LOAD_BOUND: f64 = 0.72;

/// Returns the slack of a serving task that has reported nothing yet.
fn default_slack() -> Slack {
    Slack::constant(DEFAULT_LOAD_BOUND - DEFAULT_EXPECTED_LOAD, DEFAULT_DEVIATION)
}

impl VmCapacity {
    /// Returns the room on a VM as far as its own state tells, or `None` if it accepts no work at
    /// the moment.
    fn of(vm: &Vm, now: Duration) -> Option<Self> {
        if !vm.takes_work(now) || vm.is_overcommitted() {
            return None;
        }
        let probation = match vm.health.state(now) {
            State::Healthy => Probation::No,
            State::Probation if vm.runs.values().all(super::vm_run::Run::is_running) => {
                Probation::Yes
            }
            State::Probation | State::Quarantined { .. } => return None,
        };
        let mut used = 0.0;
        let mut leftover_demand = 0.0;
        for run in vm.runs.values() {
            match run.share {
                Share::Reserved => used += f64::from(run.milli_cores) * LONG_RUNNING_UTILIZATION,
                Share::Leftover => leftover_demand += f64::from(run.milli_cores),
            }
        }
        let (id, addr) = (vm.id.clone(), vm.entry.addr.clone());
        let (rack, service) = (vm.entry.rack.clone(), vm.entry.service.clone());
        let room = Self::empty(id, addr, rack, service, vm.entry.size);
        Some(Self {
            labels: vm.entry.labels.clone(),
            free: vm.free(),
            leftover: (room.leftover - used).max(0.0),
            leftover_demand,
            probation,
            is_unanswered: vm.contact.failures > 0,
            is_refusing: vm.contact.refused.is_some(),
            steps: vm.runs.keys().map(|key: &RunKey| key.task.step_ref()).collect(),
            ..room
        })
    }

    /// Returns the room on a VM that runs nothing.
    pub fn empty(
        vm: VmId,
        addr: Arc<str>,
        rack: RackId,
        service: ServiceName,
        size: Resources,
    ) -> Self {
        let cores = f64::from(size.milli_cores.0);
        Self {
            vm,
            addr,
            rack,
            service,
            labels: Vec::new(),
            free: size,
            leftover: cores,
            leftover_demand: 0.0,
            probation: Probation::No,
            hold: Hold::None,
            is_crowded: false,
            is_reserved: false,
            is_overloaded: false,
            crash_suspects: 0,
            drains_soon: false,
            is_unanswered: false,
            is_refusing: false,
            speed: 1.0,
            served: Vec::new(),
            long_running_share: 0.0,
            long_running_tasks: 0,
            size: cores.max(1.0),
            finite_capacity: size,
            steps: Vec::new(),
        }
    }

    /// Returns whether a task of the step fits now.
    pub fn takes(&self, step: &Step, key: StepRef) -> bool {
        step.reserved_resources().fits_in(&self.free) && self.is_below_vm_limit(step, key)
    }

    /// Returns whether a task of the step will fit once all finite tasks have ended.
    pub fn fits_without_finite(&self, step: &Step, key: StepRef) -> bool {
        step.reserved_resources().fits_in(&self.finite_capacity)
            && self.is_below_vm_limit(step, key)
    }

    /// Returns whether the step's per-VM limit allows one more task.
    fn is_below_vm_limit(&self, step: &Step, key: StepRef) -> bool {
        step.per_vm == 0 || self.count(key) < step.per_vm as usize
    }

    /// Returns the VM's processors in millicores.
    pub fn milli_cores(&self) -> f64 {
        self.size
    }

    /// Returns the capacity that long-running tasks leave free.
    pub fn capacity_beside_long_running(&self) -> Resources {
        self.finite_capacity
    }

    /// Counts the tasks of a step on the VM.
    pub fn count(&self, key: StepRef) -> usize {
        self.steps.iter().filter(|step| **step == key).count()
    }

    /// Counts all tasks on the VM.
    pub fn tasks(&self) -> usize {
        self.steps.len()
    }

    /// Reserves room for a task.
    pub fn take(
        &mut self,
        step: &Step,
        image: ImageIx,
        key: StepRef,
        interference: &InterferenceModel,
    ) {
        self.free = self.free.saturating_sub(&step.reserved_resources());
        if step.life == Life::Lasting {
            self.finite_capacity = self.finite_capacity.saturating_sub(&step.reserved_resources());
            self.long_running_tasks += 1;
        }
        let share = f64::from(step.size.milli_cores.0) / self.size;
        if step.share == Share::Leftover {
            self.leftover_demand += f64::from(step.size.milli_cores.0);
            self.add_beside(image, share, interference);
        }
        if step.life == Life::Lasting && step.share == Share::Reserved {
            self.long_running_share += share;
        }
        if step.tail_target.is_some() {
            self.served.push(ServingTask { image, slack: default_slack() });
        }
        self.steps.push(key);
    }

    /// Returns the value of a leftover task that runs here for `time` after subtracting the harm to
    /// serving tasks, from 0 to 1.
    ///
    /// Harm is the increase in each serving task's probability of exceeding its target at the
    /// highest load expected within that time. A task that
    /// adds little load does little harm even next to a serving task that is at its bound or
    /// already over it. One that adds much harms several tasks that are still below theirs.
    pub fn value_after_harm(
        &self,
        step: &Step,
        image: ImageIx,
        time: Duration,
        interference: &InterferenceModel,
    ) -> f64 {
        let share = f64::from(step.size.milli_cores.0) / self.size;
        let harm = |served: &ServingTask| {
            let added = interference.amount(image, served.image) * share;
            served.slack.chance_over(time, added) - served.slack.chance_over(time, 0.0)
        };
        (1.0 - HARM_COST * self.served.iter().map(harm).sum::<f64>()).max(0.0)
    }

    /// Estimates the millicores that leftover work of an image can use here without harming serving
    /// tasks, if no other leftover work runs.
    pub fn harmless_milli_cores(&self, image: ImageIx, interference: &InterferenceModel) -> u64 {
        let bound = DEFAULT_LOAD_BOUND - DEFAULT_EXPECTED_LOAD;
        let most = |served: &ServingTask| {
            let amount = interference.amount(image, served.image);
            if amount <= 0.0 { self.size } else { bound / amount * self.size }
        };
        let most = self.served.iter().map(most).fold(self.size, f64::min);
        // Squared, because a VM where the image may use a tenth of the remaining processors is
        // worth far less than a tenth: work there is slowed with every load change of the serving
        // tasks.
        let share = (most / self.leftover.max(1.0)).min(1.0);
        (self.leftover * share * share) as u64
    }

    /// Estimates the millicores that additional leftover work of an image can use without harm.
    pub fn free_harmless_milli_cores(
        &self,
        image: ImageIx,
        interference: &InterferenceModel,
    ) -> u64 {
        let slack = |served: &ServingTask| served.slack.remaining(REPORTED_SPAN).max(0.0);
        let most = |served: &ServingTask| {
            let amount = interference.amount(image, served.image);
            if amount <= 0.0 { self.size } else { slack(served) / amount * self.size }
        };
        let most = self.served.iter().map(most).fold(self.size, f64::min);
        most.min(self.leftover - self.leftover_demand).max(0.0) as u64
    }

    /// Returns the share of the VM's processors left by long-running tasks once a task of the step
    /// is added.
    pub fn share_left_with(&self, step: &Step) -> f64 {
        let left = self.finite_capacity.saturating_sub(&step.reserved_resources());
        f64::from(left.milli_cores.0) / self.size
    }

    /// Returns the share of the VM's processors reserved by long-running tasks once a task of the
    /// step is added.
    pub fn long_running_share_with(&self, step: &Step) -> f64 {
        self.long_running_share + f64::from(step.size.milli_cores.0) / self.size
    }

    /// Counts the serving tasks with this image and with other images.
    pub fn serving_by_image(&self, image: ImageIx) -> (usize, usize) {
        let same = self.served.iter().filter(|served| served.image == image).count();
        (same, self.served.len() - same)
    }

    fn add_beside(&mut self, image: ImageIx, share: f64, interference: &InterferenceModel) {
        for served in &mut self.served {
            served.slack.added += interference.amount(image, served.image) * share;
        }
    }

    /// Returns the speed that one more leftover task would have, from 0 to 1.
    pub fn leftover_speed(&self, step: &Step) -> f64 {
        let demand = self.leftover_demand + f64::from(step.size.milli_cores.0);
        (self.leftover / demand.max(1.0)).min(1.0) * self.speed
    }
}
