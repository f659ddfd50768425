//! Slowing leftover work down where a serving task's tail would go over its target.
//!
//! For each VM it is worked out how fast each leftover task may work so that serving tasks beside it
//! stay under their bounds ([`interference`](super::interference)), unless that costs more work than
//! it saves. Whoever adds most to the load of the worst-off serving task is slowed first. A task that is over its target for a
//! while, whatever the estimates say, has everything beside it stopped from working until it
//! recovers: estimates may be wrong, a tail isn't.

#[cfg(test)]
mod tests;

use super::Shard;
use super::event::Action;
use super::interference::{Effects, ImageIx, TARGET_SHARE};
use super::moving::SLOW_PACE;
use super::vm_run::{RunKey, Vm};
use crate::job::{Image, Job, Share, TaskRef};
use crate::note::Note;
use crate::vm::PaceReq;
use std::time::Duration;

/// Time over the target after which the heaviest neighbours stop working.
const OVER_LONG: Duration = Duration::from_millis(1200);

/// Time over the target after which every neighbour does; half of the time that counts as harm.
const OVER_TOO_LONG: Duration = Duration::from_millis(2000);

/// Neighbours that stand still for as much loss as one serving task over its target. Operators of both
/// sites count a serving task over its target four times, and pay 0.65 as much for a second of its
/// work as for one of a leftover task, which makes 2.6. What is foreseen isn't sure, and less did
/// better: mean worth of 36 days a site 0.565 and 0.538 at 2.6, 0.600 and 0.539 at 1.6.
const OVER_COST: f64 = 1.6;

/// Load over a bound that doesn't count: less than what readings leave unexplained.
const OVER_SLACK: f64 = 1e-6;

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
        let worst = limit(&mut neighbours, &served, &self.effects);
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
                own: load.foreseen(now, FORESIGHT) + SWING_MARGIN,
                bound: load.load_for(TARGET_SHARE),
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

/// Sets the wanted paces so that what is lost is least; gives the worst-off serving task for whom
/// something is slowed.
///
/// Bringing one serving task under its bound may cost the work of a dozen neighbours for as long
/// as its load is at its height. So plans that leave the worst-off over their bounds are
/// compared with those that don't, each task over its bound counting as much as
/// [`OVER_COST`] neighbours that stand still. Who was over the target for a while isn't left so.
fn limit(neighbours: &mut [Neighbour], served: &[Served], effects: &Effects) -> Option<usize> {
    for served in served {
        stop_beside(neighbours, served, effects);
    }
    let asked: Vec<f64> = neighbours.iter().map(|n| n.wanted).collect();
    let mut order: Vec<usize> = (0..served.len()).collect();
    let at_first: Vec<f64> = served.iter().map(|s| excess(s, neighbours, effects)).collect();
    order.retain(|index| at_first[*index] > 0.0);
    order.sort_by(|a, b| at_first[*b].total_cmp(&at_first[*a]));
    let left_over = order.iter().take_while(|index| served[**index].over < OVER_LONG).count();
    let mut best: Option<(f64, Vec<f64>, usize)> = None;
    for left in 0..=left_over {
        for (neighbour, asked) in neighbours.iter_mut().zip(&asked) {
            neighbour.wanted = *asked;
        }
        let kept: Vec<&Served> = order[left..].iter().map(|index| &served[*index]).collect();
        bring_under(neighbours, &kept, effects);
        let lost: f64 = neighbours.iter().zip(&asked).map(|(n, asked)| asked - n.wanted).sum();
        let over = served.iter().filter(|s| excess(s, neighbours, effects) > OVER_SLACK).count();
        let cost = lost + OVER_COST * over as f64;
        if best.as_ref().is_none_or(|(least, _, _)| cost < *least) {
            best = Some((cost, neighbours.iter().map(|n| n.wanted).collect(), left));
        }
    }
    let (_, wanted, left) = best?;
    for (neighbour, wanted) in neighbours.iter_mut().zip(wanted) {
        neighbour.wanted = wanted;
    }
    order.get(left).copied()
}

/// Load over a serving task's bound.
fn excess(served: &Served, neighbours: &[Neighbour], effects: &Effects) -> f64 {
    let added = |n: &Neighbour| effects.amount(n.image, served.image) * n.full * n.wanted;
    served.own + neighbours.iter().map(added).sum::<f64>() - served.bound
}

/// Lowers the wanted paces until none of these is over its bound: whoever adds most to the load of
/// the worst-off is slowed first.
fn bring_under(neighbours: &mut [Neighbour], served: &[&Served], effects: &Effects) {
    // Each round brings the worst-off under its bound, or one neighbour to a stop.
    for _ in 0..neighbours.len() + served.len() {
        let excesses = served.iter().map(|served| (excess(served, neighbours, effects), served));
        let worst = excesses.max_by(|a, b| a.0.total_cmp(&b.0));
        let Some((over, worst)) = worst.filter(|(over, _)| *over > 0.0) else { return };
        let load = |n: &Neighbour| effects.amount(n.image, worst.image) * n.full * n.wanted;
        let heaviest = neighbours.iter_mut().max_by(|a, b| load(a).total_cmp(&load(b)));
        let Some(heaviest) = heaviest else { return };
        let added = load(heaviest);
        if added <= 0.0 {
            return;
        }
        heaviest.wanted *= (1.0 - over / added).max(0.0);
    }
}

/// A task that has been over its target for long isn't argued with.
fn stop_beside(neighbours: &mut [Neighbour], served: &Served, effects: &Effects) {
    for neighbour in neighbours {
        let heavy = effects.amount(neighbour.image, served.image) >= HEAVY;
        if served.over >= OVER_TOO_LONG || (served.over >= OVER_LONG && heavy) {
            neighbour.wanted = 0.0;
        }
    }
}
