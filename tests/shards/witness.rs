//! Checks of what the VMs saw.

use crate::faults::Faults;
use crate::world::World;
use indexmap::IndexMap;
use std::time::Duration;
use waxwingstall::job::{Copies, Job, JobId, RunNumber, TaskRef};
use waxwingstall::units::Resources;
use waxwingstall::vm::EndKind;
use waxwingstall_standin::runs::{RunTable, Seen, Work};

/// One run, as the VM that ran it saw it.
#[derive(Clone, Debug)]
struct Run {
    vm: String,
    task: TaskRef,
    run: RunNumber,
    started: Duration,
    ended: Option<(Duration, EndKind)>,
    /// When it was taken note of; not if the VM's time had passed in between: its work was given up
    /// for gone then, and rightly started again.
    forgotten: Option<Duration>,
    size: Resources,
}

/// Fails with the first promise that was broken.
pub fn check<F: Faults>(world: &mut World<F>, jobs: &IndexMap<JobId, Job>, size: Resources) {
    let now = world.now;
    let mut runs = Vec::new();
    for table in &world.past {
        runs.extend(runs_of(table));
    }
    for vm in &mut world.vms {
        let _ = vm.table.runs(now);
        runs.extend(runs_of(&vm.table));
    }
    runs.sort_by_key(|run| run.started);
    check_overlap(&runs, jobs);
    check_once(&runs, jobs);
    check_order(&runs, jobs);
    check_room(&runs, size);
}

fn runs_of(table: &RunTable) -> Vec<Run> {
    let mut runs: Vec<Run> = Vec::new();
    let mut lapses: Vec<Duration> = Vec::new();
    for seen in &table.seen {
        match seen {
            Seen::Started { at, task, run, payload } => runs.push(Run {
                vm: table.id.to_string(),
                task: *task,
                run: *run,
                started: *at,
                ended: None,
                forgotten: None,
                size: Work::read(payload).size,
            }),
            Seen::Ended { at, task, run, how } => {
                let known = runs.iter_mut().rev().find(|r| r.task == *task && r.run == *run);
                known.expect("a run starts before it ends").ended = Some((*at, *how));
            }
            Seen::Forgotten { at, task, run, .. } => {
                let known = runs.iter_mut().rev().find(|r| r.task == *task && r.run == *run);
                let known = known.expect("a run starts before it is forgotten");
                let ended = known.ended.map_or(*at, |(at, _)| at);
                if !lapses.iter().any(|lapse| *lapse >= ended && lapse <= at) {
                    known.forgotten = Some(*at);
                }
            }
            Seen::Lapsed { at } => lapses.push(*at),
        }
    }
    runs
}

fn single(task: &TaskRef, jobs: &IndexMap<JobId, Job>) -> bool {
    jobs[&task.job].steps[usize::from(task.step)].copies == Copies::One
}

/// No task runs in two places at once.
fn check_overlap(runs: &[Run], jobs: &IndexMap<JobId, Job>) {
    let mut by_task: IndexMap<TaskRef, Vec<&Run>> = IndexMap::new();
    for run in runs.iter().filter(|run| single(&run.task, jobs)) {
        by_task.entry(run.task).or_default().push(run);
    }
    for (task, runs) in by_task {
        for pair in runs.windows(2) {
            let end = pair[0].ended.map(|(at, _)| at);
            assert!(
                end.is_some_and(|end| end <= pair[1].started),
                "{task} runs twice at a time: {:?} and {:?}",
                pair[0],
                pair[1]
            );
        }
    }
}

/// No task starts again once its success was taken note of.
fn check_once(runs: &[Run], jobs: &IndexMap<JobId, Job>) {
    for done in runs.iter().filter(|run| matches!(run.ended, Some((_, EndKind::Succeeded)))) {
        let Some(noted) = done.forgotten else { continue };
        let again = runs
            .iter()
            .find(|run| run.task == done.task && run.started > noted && single(&run.task, jobs));
        assert!(again.is_none(), "{} starts again: {done:?}, then {again:?}", done.task);
    }
}

/// No task starts before the steps that it waits for have succeeded.
fn check_order(runs: &[Run], jobs: &IndexMap<JobId, Job>) {
    for run in runs {
        let job = &jobs[&run.task.job];
        for after in &job.steps[usize::from(run.task.step)].after {
            for index in 0..job.steps[usize::from(*after)].tasks {
                let before = TaskRef { step: *after, index, ..run.task };
                let ended = runs.iter().any(|earlier| {
                    earlier.task == before
                        && earlier
                            .ended
                            .is_some_and(|(at, how)| at <= run.started && how == EndKind::Succeeded)
                });
                assert!(ended, "{} starts at {:?} before {before}", run.task, run.started);
            }
        }
    }
}

/// Time from a change of a VM's size to when work may not be started by the old one any more.
const SIZE_KNOWN: Duration = Duration::from_millis(3000 + 1500);

/// No start brings a VM over the size that it has, or had until a moment ago.
pub fn check_sizes<F: Faults>(world: &mut World<F>) {
    let now = world.now;
    let mut starts = 0;
    for vm in &mut world.vms {
        let _ = vm.table.runs(now);
        let runs = runs_of(&vm.table);
        starts += runs.len();
        for start in &runs {
            let at = start.started;
            let taken = taken_at(&runs, start);
            let told = |(index, _): &(usize, &(Duration, Resources))| {
                let until = vm.sizes.get(index + 1).map_or(Duration::MAX, |(next, _)| *next);
                until.saturating_add(SIZE_KNOWN) > at && vm.sizes[*index].0 <= at
            };
            let mut sizes = vm.sizes.iter().enumerate().filter(told).map(|(_, (_, size))| size);
            assert!(
                sizes.any(|size| taken.fits_in(size)),
                "{} carries {taken} at {at:?}, of {:?}",
                start.vm,
                vm.sizes
            );
        }
    }
    assert!(starts > 0, "nothing was started");
}

/// Room that is taken on a VM as a run starts there, with it.
fn taken_at(runs: &[Run], start: &Run) -> Resources {
    let at = start.started;
    let there = runs.iter().filter(|run| {
        run.vm == start.vm && run.started <= at && run.ended.is_none_or(|(end, _)| end > at)
    });
    there.fold(Resources::ZERO, |sum, run| sum.saturating_add(&run.size))
}

/// No VM is overfilled.
fn check_room(runs: &[Run], size: Resources) {
    for start in runs {
        let taken = taken_at(runs, start);
        assert!(taken.fits_in(&size), "{} carries {taken} at {:?}", start.vm, start.started);
    }
}
