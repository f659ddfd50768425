//! Invariants checked against the events that the VMs recorded.

use crate::faults::Faults;
use crate::world::Simulation;
use indexmap::IndexMap;
use std::time::Duration;
use waxwingstall::job::{Copies, Job, JobId, Life, RunNumber, TaskRef};
use waxwingstall::units::Resources;
use waxwingstall::vm::EndKind;
use waxwingstall_standin::runs::{RunTable, Seen, Work};

/// One run, as recorded by its VM.
#[derive(Clone, Debug)]
struct Run {
    vm: String,
    task: TaskRef,
    run: RunNumber,
    started: Duration,
    ended: Option<(Duration, EndKind)>,
    /// When the VM was told to forget the run. Not set if the VM's deadline expired between the
    /// end and that time: the run then counts as lost, and starting the task again is correct.
    forgotten: Option<Duration>,
    size: Resources,
}

/// Panics at the first violated invariant.
pub fn check<F: Faults>(sim: &mut Simulation<F>, jobs: &IndexMap<JobId, Job>, size: Resources) {
    let now = sim.now;
    let mut runs = Vec::new();
    for table in &sim.ended_tables {
        runs.extend(runs_of(table));
    }
    for vm in &mut sim.vms {
        let _ = vm.table.runs(now);
        runs.extend(runs_of(&vm.table));
    }
    runs.sort_by_key(|run| run.started);
    assert!(sim.unread_ends.is_empty(), "forgot ends unread: {:?}", sim.unread_ends);
    check_overlap(&runs, jobs);
    check_copies(&runs, jobs);
    check_attempts(&runs, jobs);
    check_no_restart(sim, &runs, jobs);
    check_order(&runs, jobs);
    check_capacity(&runs, size);
    check_evacuations(sim, &runs);
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
            Seen::Ended { at, task, run, outcome } => {
                let known = runs.iter_mut().rev().find(|r| r.task == *task && r.run == *run);
                known.expect("a run starts before it ends").ended = Some((*at, *outcome));
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

fn is_single_copy(task: &TaskRef, jobs: &IndexMap<JobId, Job>) -> bool {
    jobs[&task.job].steps[usize::from(task.step)].copies == Copies::One
}

/// No task has two runs at the same time.
fn check_overlap(runs: &[Run], jobs: &IndexMap<JobId, Job>) {
    let mut by_task: IndexMap<TaskRef, Vec<&Run>> = IndexMap::new();
    for run in runs.iter().filter(|run| is_single_copy(&run.task, jobs)) {
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

/// Most runs at a time of a task that may have copies.
const MAX_COPIES: usize = 2;

/// No task with copies has more than [`MAX_COPIES`] runs at the same time, or two on one VM.
fn check_copies(runs: &[Run], jobs: &IndexMap<JobId, Job>) {
    for start in runs.iter().filter(|run| !is_single_copy(&run.task, jobs)) {
        let at = start.started;
        let present = |run: &&Run| {
            run.task == start.task
                && run.run != start.run
                && run.started <= at
                && run.ended.is_none_or(|(end, _)| end > at)
        };
        let others: Vec<&Run> = runs.iter().filter(present).collect();
        assert!(others.len() < MAX_COPIES, "{start:?} starts beside {others:?}");
        assert!(others.iter().all(|run| run.vm != start.vm), "{start:?} beside {others:?}");
    }
}

/// Attempts of a task, as configured for the queue.
const ATTEMPTS: usize = 3;

/// No finite task fails more often than its queue allows.
fn check_attempts(runs: &[Run], jobs: &IndexMap<JobId, Job>) {
    let mut failures: IndexMap<TaskRef, usize> = IndexMap::new();
    for run in runs.iter().filter(|run| matches!(run.ended, Some((_, EndKind::Failed)))) {
        let step = &jobs[&run.task.job].steps[usize::from(run.task.step)];
        if step.life == Life::Finite {
            *failures.entry(run.task).or_default() += 1;
        }
    }
    let most = failures.iter().max_by_key(|(_, count)| **count);
    assert!(most.is_none_or(|(_, count)| *count <= ATTEMPTS), "too many failures: {most:?}");
}

/// No task starts again after its success was acknowledged, except a copy by a command that a VM
/// carries out late.
fn check_no_restart<F: Faults>(sim: &Simulation<F>, runs: &[Run], jobs: &IndexMap<JobId, Job>) {
    for done in runs.iter().filter(|run| matches!(run.ended, Some((_, EndKind::Succeeded)))) {
        let Some(acknowledged) = done.forgotten else { continue };
        let again = runs.iter().find(|run| {
            let late = sim.late_starts.contains(&(run.task, run.run));
            run.task == done.task
                && run.started > acknowledged
                && (is_single_copy(&run.task, jobs) || !late)
        });
        assert!(again.is_none(), "{} starts again: {done:?}, then {again:?}", done.task);
    }
}

/// No task starts before all preceding steps have succeeded.
fn check_order(runs: &[Run], jobs: &IndexMap<JobId, Job>) {
    for run in runs {
        let job = &jobs[&run.task.job];
        for after in &job.steps[usize::from(run.task.step)].after {
            for index in 0..job.steps[usize::from(*after)].tasks {
                let before = TaskRef { step: *after, index, ..run.task };
                let ended = runs.iter().any(|earlier| {
                    earlier.task == before
                        && earlier.ended.is_some_and(|(at, outcome)| {
                            at <= run.started && outcome == EndKind::Succeeded
                        })
                });
                assert!(ended, "{} starts at {:?} before {before}", run.task, run.started);
            }
        }
    }
}

/// Time after a change of a VM's size from which starts must respect the new size.
const SIZE_PROPAGATION: Duration = Duration::from_millis(3000 + 1500);

/// No start exceeds the VM's current size, or a size it had until recently.
pub fn check_sizes<F: Faults>(sim: &mut Simulation<F>) {
    let now = sim.now;
    let mut starts = 0;
    for vm in &mut sim.vms {
        let _ = vm.table.runs(now);
        let runs = runs_of(&vm.table);
        starts += runs.len();
        for start in &runs {
            let at = start.started;
            let used = usage_at(&runs, start);
            let in_force = |(index, _): &(usize, &(Duration, Resources))| {
                let until = vm.sizes.get(index + 1).map_or(Duration::MAX, |(next, _)| *next);
                until.saturating_add(SIZE_PROPAGATION) > at && vm.sizes[*index].0 <= at
            };
            let mut sizes = vm.sizes.iter().enumerate().filter(in_force).map(|(_, (_, size))| size);
            assert!(
                sizes.any(|size| used.fits_in(size)),
                "{} carries {used} at {at:?}, of {:?}",
                start.vm,
                vm.sizes
            );
        }
    }
    assert!(starts > 0, "nothing was started");
}

/// Resources used on a VM when a run starts there, including that run.
fn usage_at(runs: &[Run], start: &Run) -> Resources {
    let at = start.started;
    let there = runs.iter().filter(|run| {
        run.vm == start.vm && run.started <= at && run.ended.is_none_or(|(end, _)| end > at)
    });
    there.fold(Resources::ZERO, |sum, run| sum.saturating_add(&run.size))
}

/// No VM is overcommitted.
fn check_capacity(runs: &[Run], size: Resources) {
    for start in runs {
        let used = usage_at(runs, start);
        assert!(used.fits_in(&size), "{} carries {used} at {:?}", start.vm, start.started);
    }
}

/// Time from an order to evacuate a failure domain from which nothing may start there.
const EVACUATION_BOUND: Duration = Duration::from_secs(5);

/// No run starts in an evacuated failure domain, except by a command that a VM carries out late.
fn check_evacuations<F: Faults>(sim: &Simulation<F>, runs: &[Run]) {
    for order in &sim.evacuation_history {
        let during = |at: Duration| {
            at > order.since + EVACUATION_BOUND && order.until.is_none_or(|until| at < until)
        };
        let in_domain = |run: &&Run| run.vm.starts_with(&format!("{}:", order.domain));
        let late = |run: &&Run| sim.late_starts.contains(&(run.task, run.run));
        let mut starts = runs.iter().filter(|run| during(run.started) && in_domain(run));
        if let Some(run) = starts.find(|run| !late(run)) {
            panic!("{run:?} starts in an evacuated domain: {order:?}");
        }
    }
}
