//! The room on the shard's VMs, as one pass of placing sees it.

#[cfg(test)]
mod tests;

use super::Shard;
use super::health::State;
use super::interference::{Effects, ImageIx, chance_over};
use super::relief::STOP_ALL_AFTER;
use super::vm_run::{RunKey, Vm};
use crate::ids::{RackId, ServiceName, VmId};
use crate::job::{Life, Share, Step, StepRef};
use crate::units::Resources;
use std::sync::Arc;
use std::time::Duration;

/// Part of a lasting task's reserved processors that it uses on average; the rest is left over.
/// A first guess, corrected by what leftover work is seen to get.
const LASTING_LOAD: f64 = 0.5;

/// Room on one VM.
#[derive(Clone, Debug)]
pub struct Room {
    pub vm: VmId,
    /// `ip:port` of the VM.
    pub addr: Arc<str>,
    pub rack: RackId,
    pub service: ServiceName,
    pub free: Resources,
    /// Processors that leftover work shares, in thousandths of a core.
    pub leftover: f64,
    /// Processors that the leftover work there would use, in thousandths of a core.
    pub leftover_demand: f64,
    pub trial: Trial,
    /// Whether it is kept free for a lasting task.
    pub held: bool,
    /// Whether the shard's lasting tasks are crowded.
    pub is_crowded: bool,
    /// Whether it is kept for a single task that is to come.
    pub is_kept: bool,
    /// Whether a serving task there has been over its target for long.
    pub pressed: bool,
    /// Tasks there that may crash their VM.
    pub suspects: usize,
    /// Whether it will have to be emptied soon.
    pub closes: bool,
    /// Serving tasks there.
    pub served: Vec<Served>,
    /// Processors reserved for lasting tasks, as a share of all.
    pub lasting: f64,
    /// Lasting tasks there.
    pub lasting_tasks: usize,
    size: f64,
    /// What is there for tasks that don't last.
    passing: Resources,
    /// Steps of the tasks there, to count those of one step.
    steps: Vec<StepRef>,
}

/// A serving task, as far as placing beside it is concerned.
#[derive(Clone, Debug)]
pub struct Served {
    pub image: ImageIx,
    /// Load that may be added before its tail is over the bound.
    pub slack: f64,
}

/// Whether a VM gets one task at a time, to see whether it is well again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trial {
    No,
    Yes,
}

/// Own load of a serving task that has told nothing yet: near the top of its swing.
const EXPECTED_LOAD: f64 = 0.6;

/// Least own load that is expected while work placed beside it runs: a low one rises again. Mean worth
/// of 18 days on each of three sites at 0.45: 0.611, 0.576, 0.499; at 0.35: 0.619, 0.580, 0.500.
const LEAST_EXPECTED: f64 = 0.35;

/// Worth of a leftover task's work that is lost with one serving task over its target. More than where
/// work that runs is slowed for it: work that waits a moment finds another VM. Mean worth of 18 days on
/// each of three sites at 0.5: 0.585, 0.570, 0.533; at 1.25: 0.620, 0.582, 0.540; at 2.6: 0.609,
/// 0.576, 0.497.
const HARM_COST: f64 = 1.25;

/// Time from now to the middle of what is placed now.
const FORESIGHT: Duration = Duration::from_millis(1000);

impl Shard {
    /// The room on a VM; `None` if it takes no work now.
    pub(super) fn room(&self, vm: &Vm) -> Option<Room> {
        if self.vacating.has(&vm.id) {
            return None;
        }
        let mut room = Room::of(vm, self.now.steady)?;
        let now = self.now.steady;
        room.is_kept = self.kept.has(&vm.id);
        room.closes = self.vacating.comes(&vm.id);
        room.pressed = vm.runs.values().any(|run| run.serving.is_over_for(STOP_ALL_AFTER, now));
        let mut lasting = 0.0;
        let mut beside = Vec::new();
        for (key, run) in &vm.runs {
            let Some(step) = self.jobs.get(&key.task.job).and_then(|job| job.step(key.task)) else {
                continue;
            };
            room.suspects += usize::from(self.is_suspect(key.task));
            let image = self.image(key.task);
            if step.life == Life::Lasting {
                room.passing = room.passing.saturating_sub(&run.reserved);
                room.lasting_tasks += 1;
            }
            if step.life == Life::Lasting && step.share == Share::Reserved {
                lasting += f64::from(run.milli_cores) / room.size;
            }
            if step.tail_target.is_some() {
                let load =
                    self.jobs.get(&key.task.job).and_then(|job| job.step_run(key.task)?.load);
                let slack = load.map_or(USUAL_BOUND - EXPECTED_LOAD, |load| {
                    let foreseen = load.forecast(self.now.steady, FORESIGHT).max(LEAST_EXPECTED);
                    load.load_at_target_share(super::interference::TARGET_SHARE) - foreseen
                });
                room.served.push(Served { image, slack });
            } else if run.share == Share::Leftover {
                beside.push((image, f64::from(run.milli_cores) / room.size));
            }
        }
        room.lasting = lasting;
        for (image, share) in beside {
            room.add_beside(image, share, &self.effects);
        }
        Some(room)
    }
}

/// Bound on the load of a serving task that has told nothing yet.
const USUAL_BOUND: f64 = 0.72;

impl Room {
    /// The room on a VM; `None` if it takes no work now.
    fn of(vm: &Vm, now: Duration) -> Option<Self> {
        if !vm.takes_work(now) || vm.is_over() {
            return None;
        }
        let trial = match vm.health.state(now) {
            State::Healthy => Trial::No,
            State::Probation if vm.runs.values().all(super::vm_run::Run::is_running) => Trial::Yes,
            State::Probation | State::Quarantined { .. } => return None,
        };
        let mut used = 0.0;
        let mut leftover_demand = 0.0;
        for run in vm.runs.values() {
            match run.share {
                Share::Reserved => used += f64::from(run.milli_cores) * LASTING_LOAD,
                Share::Leftover => leftover_demand += f64::from(run.milli_cores),
            }
        }
        let (id, addr) = (vm.id.clone(), vm.entry.addr.clone());
        let (rack, service) = (vm.entry.rack.clone(), vm.entry.service.clone());
        let room = Self::empty(id, addr, rack, service, vm.entry.size);
        Some(Self {
            free: vm.free(),
            leftover: (room.leftover - used).max(0.0),
            leftover_demand,
            trial,
            steps: vm.runs.keys().map(|key: &RunKey| key.task.of_step()).collect(),
            ..room
        })
    }

    /// The room on a VM on which nothing runs.
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
            free: size,
            leftover: cores,
            leftover_demand: 0.0,
            trial: Trial::No,
            held: false,
            is_crowded: false,
            is_kept: false,
            pressed: false,
            suspects: 0,
            closes: false,
            served: Vec::new(),
            lasting: 0.0,
            lasting_tasks: 0,
            size: cores.max(1.0),
            passing: size,
            steps: Vec::new(),
        }
    }

    /// Whether a task of the step fits.
    pub fn takes(&self, step: &Step, key: StepRef) -> bool {
        step.reserved().fits_in(&self.free) && self.is_below_most(step, key)
    }

    /// Whether a task of the step will fit once everything that doesn't last has ended.
    pub fn could_take(&self, step: &Step, key: StepRef) -> bool {
        step.reserved().fits_in(&self.passing) && self.is_below_most(step, key)
    }

    /// Whether one more task of the step may be here.
    fn is_below_most(&self, step: &Step, key: StepRef) -> bool {
        step.per_vm == 0 || self.count(key) < step.per_vm as usize
    }

    /// The VM's processors, in thousandths of a core.
    pub fn milli_cores(&self) -> f64 {
        self.size
    }

    /// What lasting tasks leave here.
    pub fn beside_lasting(&self) -> Resources {
        self.passing
    }

    /// Tasks of a step that fit.
    pub fn fitting(&self, step: &Step) -> usize {
        let need = step.reserved();
        let fits = self.free.times(&need);
        if step.per_vm == 0 { fits } else { fits.min(step.per_vm as usize) }
    }

    /// Tasks of a step there.
    pub fn count(&self, key: StepRef) -> usize {
        self.steps.iter().filter(|step| **step == key).count()
    }

    /// Tasks there.
    pub fn tasks(&self) -> usize {
        self.steps.len()
    }

    /// Takes room for a task.
    pub fn take(&mut self, step: &Step, image: ImageIx, key: StepRef, effects: &Effects) {
        self.free = self.free.saturating_sub(&step.reserved());
        if step.life == Life::Lasting {
            self.passing = self.passing.saturating_sub(&step.reserved());
            self.lasting_tasks += 1;
        }
        let share = f64::from(step.size.milli_cores.0) / self.size;
        if step.share == Share::Leftover {
            self.leftover_demand += f64::from(step.size.milli_cores.0);
            self.add_beside(image, share, effects);
        }
        if step.life == Life::Lasting && step.share == Share::Reserved {
            self.lasting += share;
        }
        if step.tail_target.is_some() {
            let slack = USUAL_BOUND - EXPECTED_LOAD;
            self.served.push(Served { image, slack });
        }
        self.steps.push(key);
    }

    /// What is left of a leftover task's worth after the harm that it would do here, 0 to 1.
    ///
    /// The harm is by how much it raises the chance of each serving task to be over its target. A task
    /// that adds little does little harm also beside one whose load is at its bound, or over it already;
    /// one that adds much does some to each of several that are still under theirs.
    pub fn harmless_worth(&self, step: &Step, image: ImageIx, effects: &Effects) -> f64 {
        let share = f64::from(step.size.milli_cores.0) / self.size;
        let harm = |served: &Served| {
            let added = effects.amount(image, served.image) * share;
            chance_over(added - served.slack) - chance_over(-served.slack)
        };
        (1.0 - HARM_COST * self.served.iter().map(harm).sum::<f64>()).max(0.0)
    }

    /// Processors that leftover work of an image gets here without harm to those served, beside
    /// nothing else, in thousandths of a core.
    pub fn harmless(&self, image: ImageIx, effects: &Effects) -> u64 {
        let bound = USUAL_BOUND - EXPECTED_LOAD;
        let most = |served: &Served| {
            let amount = effects.amount(image, served.image);
            if amount <= 0.0 { self.size } else { bound / amount * self.size }
        };
        let most = self.served.iter().map(most).fold(self.size, f64::min);
        // A VM where the image may use a tenth of what is left is worth far less than a tenth: what
        // runs there is slowed with every swing of those served.
        let share = (most / self.leftover.max(1.0)).min(1.0);
        (self.leftover * share * share) as u64
    }

    /// Processors that leftover work of an image would still get here without harm, in thousandths
    /// of a core.
    pub fn harmless_free(&self, image: ImageIx, effects: &Effects) -> u64 {
        let most = |served: &Served| {
            let amount = effects.amount(image, served.image);
            if amount <= 0.0 { self.size } else { served.slack.max(0.0) / amount * self.size }
        };
        let most = self.served.iter().map(most).fold(self.size, f64::min);
        most.min(self.leftover - self.leftover_demand).max(0.0) as u64
    }

    /// Share of the VM's processors that lasting tasks leave once the task is there.
    pub fn left_beside_lasting(&self, step: &Step) -> f64 {
        let left = self.passing.saturating_sub(&step.reserved());
        f64::from(left.milli_cores.0) / self.size
    }

    /// Share of the VM's processors that lasting tasks reserve once the task is there.
    pub fn lasting_with(&self, step: &Step) -> f64 {
        self.lasting + f64::from(step.size.milli_cores.0) / self.size
    }

    /// Serving tasks there with this image, and with others.
    pub fn alike(&self, image: ImageIx) -> (usize, usize) {
        let same = self.served.iter().filter(|served| served.image == image).count();
        (same, self.served.len() - same)
    }

    fn add_beside(&mut self, image: ImageIx, share: f64, effects: &Effects) {
        for served in &mut self.served {
            served.slack -= effects.amount(image, served.image) * share;
        }
    }

    /// Speed that one more leftover task would have, 0 to 1.
    pub fn leftover_speed(&self, step: &Step) -> f64 {
        let demand = self.leftover_demand + f64::from(step.size.milli_cores.0);
        (self.leftover / demand.max(1.0)).min(1.0)
    }
}
