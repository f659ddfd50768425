//! Slowing leftover work down where a serving task's tail would go over its target.
//!
//! For each VM it is worked out how fast each leftover task may work so that the serving tasks beside
//! it lose less than the work is worth ([`paces`]). A task that is over its target for a while,
//! whatever the estimates say, has everything beside it stopped from working until it recovers:
//! estimates may be wrong, a tail isn't.

mod paces;
#[cfg(test)]
mod tests;

use super::Shard;
use super::event::Action;
use super::interference::{ImageIx, TARGET_SHARE};
use super::moving::SLOW_PACE;
use super::vm_run::{RunKey, Vm};
use crate::job::{Image, Job, Share, TaskRef};
use crate::note::Note;
use crate::vm::PaceReq;
use std::time::Duration;

/// Time over the target after which the heaviest neighbours stop working.
const OVER_LONG: Duration = Duration::from_millis(1600);

/// Time over the target after which every neighbour does, and nothing else begins beside the task.
/// Until that is noticed and has taken effect another second goes by, of the four that count as harm.
pub(super) const OVER_TOO_LONG: Duration = Duration::from_millis(2200);

/// Amount from which on a pair counts as heavy; between the two groups that amounts fall into.
const HEAVY: f64 = 0.6;

/// Least change of a pace that is worth an order.
const PACE_STEP: u8 = 8;

/// Most that a pace rises at a time: an own load that was read too low is noticed by the next look
/// before its neighbours work at full speed again.
const PACE_RISE: u8 = 34;

/// Time from a look to the middle of the half second that its orders rule.
const FORESIGHT: Duration = Duration::from_millis(350);

/// Load that is kept back for what isn't foreseen.
const SWING_MARGIN: f64 = 0.02;

/// A leftover task that may be slowed.
struct Neighbour {
    key: RunKey,
    image: ImageIx,
    /// Share of the VM's processors that it uses at full speed.
    full: f64,
    pace: u8,
    wanted: f64,
}

/// A serving task that may be harmed.
#[derive(Clone)]
struct Served {
    task: TaskRef,
    image: ImageIx,
    own: f64,
    bound: f64,
    over: Duration,
    tail_ms: u32,
    target_ms: u32,
}

impl Shard {
    /// Sets the pace of the leftover work on a VM.
    pub(super) fn relieve(&mut self, id: &crate::ids::VmId) {
        let Some(vm) = self.vms.get(id) else { return };
        let mut neighbours = self.neighbours(vm);
        if neighbours.is_empty() {
            return;
        }
        let served = self.served(vm);
        for neighbour in &mut neighbours {
            neighbour.wanted = 1.0;
        }
        let worst = paces::choose(&mut neighbours, &served, &self.effects);
        for neighbour in &neighbours {
            self.order_pace(id, neighbour, worst.map(|index| &served[index]));
        }
    }

    fn neighbours(&self, vm: &Vm) -> Vec<Neighbour> {
        let size = f64::from(vm.entry.size.milli_cores.0).max(1.0);
        let running = vm.runs.iter().filter(|(_, run)| {
            run.share == Share::Leftover && run.running_since.is_some() && !run.is_stopping()
        });
        running
            .map(|(key, run)| {
                let demand = f64::from(run.milli_cores);
                // A slowed task's use says nothing of what it would use at full speed.
                let used = f64::from(run.gauge);
                let full = if run.pace == 100 && used > 0.0 { used.min(demand) } else { demand };
                Neighbour {
                    key: *key,
                    image: self.image(key.task),
                    full: full / size,
                    pace: run.pace,
                    wanted: 1.0,
                }
            })
            .collect()
    }

    fn served(&self, vm: &Vm) -> Vec<Served> {
        let now = self.now.steady;
        let served = |(key, run): (&RunKey, &super::vm_run::Run)| {
            let job = self.jobs.get(&key.task.job)?;
            let target = job.step(key.task)?.tail_target?;
            let load = job.step_run(key.task)?.load?;
            let serving = &run.serving;
            Some(Served {
                task: key.task,
                image: self.image(key.task),
                own: load.forecast(now, FORESIGHT) + SWING_MARGIN,
                bound: load.load_at_target_share(TARGET_SHARE),
                over: serving.over_since.map_or(Duration::ZERO, |at| now.saturating_sub(at)),
                tail_ms: run.gauge,
                target_ms: u32::try_from(target.as_millis()).unwrap_or(u32::MAX),
            })
        };
        vm.runs.iter().filter_map(served).collect()
    }

    /// The image of a task.
    pub(super) fn image(&self, task: TaskRef) -> ImageIx {
        self.jobs.get(&task.job).map_or_else(ImageIx::default, |job| job.image(task))
    }

    /// The images of a job's steps; tasks without one behave like their queue's.
    pub(super) fn images_of(&mut self, job: &Job) -> Vec<ImageIx> {
        let queue = Image::new(job.queue.as_str());
        let images = job.steps.iter().map(|step| step.image.as_ref().unwrap_or(&queue));
        images.map(|image| self.effects.number(image)).collect()
    }

    fn order_pace(
        &mut self,
        id: &crate::ids::VmId,
        neighbour: &Neighbour,
        victim: Option<&Served>,
    ) {
        let wanted = (neighbour.wanted * 100.0).round().clamp(0.0, 100.0) as u8;
        let before = neighbour.pace;
        let known = before <= 100;
        let percent = if known { wanted.min(before.saturating_add(PACE_RISE)) } else { wanted };
        let small = known && percent.abs_diff(before) < PACE_STEP;
        let reaches_end = percent != before && (percent == 100 || percent == 0);
        if small && !reaches_end {
            return;
        }
        let now = self.now.steady;
        let Some(vm) = self.vms.get_mut(id) else { return };
        let addr = vm.addr();
        let Some(run) = vm.runs.get_mut(&neighbour.key) else { return };
        run.pace = percent;
        run.slowed = (percent <= SLOW_PACE).then(|| run.slowed.unwrap_or(now));
        let RunKey { task, run } = neighbour.key;
        let req = PaceReq { fence: self.fence, task, run, percent };
        self.out.push(Action::Pace { vm: addr, req });
        self.note(Note::TaskPaced {
            task,
            run,
            vm: id.clone(),
            percent,
            victim: victim.map_or(task, |served| served.task),
            tail_ms: victim.map_or(0, |served| served.tail_ms),
            target_ms: victim.map_or(0, |served| served.target_ms),
        });
    }
}
