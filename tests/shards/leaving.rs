//! Long-running tasks that must be moved when their VMs leave.

use crate::faults::{Faults, NoFaults, Outcome, RandomFaults};
use crate::invariants::check;
use crate::jobs::{job_with_steps, work};
use crate::random::seeds;
use crate::world::{Simulation, VmNode};
use indexmap::{IndexMap, IndexSet};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::ops::Range;
use std::time::Duration;
use waxwingstall::job::{Image, Job, JobId, RunNumber, TaskRef};
use waxwingstall::shard::{Action, Answer};
use waxwingstall::units::Resources;
use waxwingstall::vm::Error;
use waxwingstall_standin::runs::Work;

const SIZE: Resources = Resources::new(32_000, 128_000, 0);
const SHARD: &str = "kacyiru";

/// One of every `LEAVING_EVERY` VMs leaves.
const LEAVING_EVERY: usize = 8;
const NOTICE: Duration = Duration::from_secs(4);

/// Longest time a long-running task may be down while twice its size is free.
const MAX_DOWNTIME: Duration = Duration::from_secs(6);

/// Time in which a shard is filled, and the following time with faults.
const FILL_TIME: Duration = Duration::from_secs(4);
const FAULT_PERIOD: Duration = Duration::from_secs(16);

/// Time for the system to settle after the faults.
const SETTLE_TIME: Duration = Duration::from_secs(30);

/// A shard filled with as many long-running jobs as it accepts.
struct FilledShard<F> {
    sim: Simulation<F>,
    jobs: IndexMap<JobId, Job>,
    /// Since when each task has been down although there was room for it.
    down_since: IndexMap<TaskRef, Duration>,
    next: u64,
}

impl<F: Faults> FilledShard<F> {
    fn new(faults: F, vms: usize, sizes: Range<u32>, rng: &mut SmallRng) -> Self {
        let sim = Simulation::new(faults, &[SHARD], vms, SIZE);
        let (jobs, down_since) = (IndexMap::new(), IndexMap::new());
        let mut filled = Self { sim, jobs, down_since, next: 1 };
        while filled.submit(long_running(filled.next, rng.random_range(sizes.clone()))) {}
        filled
    }

    /// Submits a job; returns whether the shard accepted it.
    fn submit(&mut self, job: Job) -> bool {
        self.next += 1;
        let ticket = self.sim.submit(SHARD, job.clone());
        self.sim.run_for(Duration::from_millis(200));
        let accepted = self.sim.answers.get(&ticket) == Some(&Answer::Accepted);
        if accepted {
            self.jobs.insert(job.id, job);
        }
        accepted
    }

    fn leave(&mut self) {
        for index in (0..self.sim.vms.len()).step_by(LEAVING_EVERY) {
            self.sim.leave_vm(index, NOTICE);
        }
    }

    /// Free CPU on the VMs that stay, in millicores.
    fn free(&mut self) -> u32 {
        let now = self.sim.now;
        let stay = self.sim.vms.iter_mut().enumerate();
        let stay = stay.filter(|(index, _)| index % LEAVING_EVERY != 0);
        let used = |vm: &mut VmNode| -> u32 {
            vm.table.runs(now).iter().map(|(_, _, size)| size.milli_cores.0).sum()
        };
        stay.map(|(_, vm)| SIZE.milli_cores.0.saturating_sub(used(vm))).sum()
    }

    /// Long-running tasks that run nowhere, with their CPU in millicores.
    fn tasks_down(&mut self) -> Vec<(TaskRef, u32)> {
        let now = self.sim.now;
        let mut runs = IndexSet::new();
        for vm in &mut self.sim.vms {
            runs.extend(vm.table.runs(now).into_iter().map(|(task, ..)| task));
        }
        let long_running = self.jobs.values().filter(|job| job.steps[0].estimate.is_zero());
        let tasks = long_running.flat_map(|job| {
            let task = |index| TaskRef { job: job.id, occurrence: 0, step: 0, index };
            let size = job.steps[0].size.milli_cores.0;
            (0..job.steps[0].tasks).map(move |index| (task(index), size))
        });
        tasks.filter(|(task, _)| !runs.contains(task)).collect()
    }

    /// The longest time that a task has been down while twice its size was free, and its size.
    fn track_downtime(&mut self) -> Option<(Duration, u32)> {
        let (now, free) = (self.sim.now, self.free());
        let down = self.tasks_down();
        let before = std::mem::take(&mut self.down_since);
        let placeable = down.iter().filter(|(_, size)| 2 * size <= free);
        let since = |task: &TaskRef| before.get(task).copied().unwrap_or(now);
        self.down_since = placeable.clone().map(|(task, _)| (*task, since(task))).collect();
        placeable.map(|(task, size)| (now - self.down_since[task], *size)).max()
    }
}

/// A job of six long-running tasks of one image, each of `tenths` tenths of a core.
fn long_running(id: u64, tenths: u32) -> Job {
    let size = Resources::new(tenths * 100, 6_000, 0);
    let mut job = job_with_steps(id, 1, 6, Work { size, ..work(0, 1) });
    job.steps[0].image = Some(Image::new(&format!("voice-{}", id % 10)));
    job.steps[0].tail_target = Some(Duration::from_millis(18));
    job
}

// Guards against large long-running tasks that were down for 17 s after their VMs had left,
// although several times their size was free in fragments.
#[test]
fn no_lasting_task_stands_still_for_long_beside_room_for_two() {
    for seed in 0..6 {
        let mut filled =
            FilledShard::new(NoFaults, 32, 20..100, &mut SmallRng::seed_from_u64(seed));
        filled.leave();
        let mut longest = (Duration::ZERO, 0);
        for _ in 0..100 {
            let short = job_with_steps(filled.next, 1, 2, work(800, 4));
            filled.submit(short);
            longest = longest.max(filled.track_downtime().unwrap_or_default());
        }
        let (time, milli_cores) = longest;
        assert!(
            time <= MAX_DOWNTIME,
            "seed {seed}: a task of {milli_cores} millicores was down for {time:?}"
        );
        check(&mut filled.sim, &filled.jobs, SIZE);
    }
}

// Guards against a task that is moved to make room for another one, or that other task, running
// twice or overcommitting a VM when owners and VMs fail, and VMs leave for good, during the move.
#[test]
fn promises_hold_while_lasting_tasks_move() {
    for seed in seeds(0..12) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let until = Duration::from_secs(5) + FILL_TIME + FAULT_PERIOD;
        let mut filled =
            FilledShard::new(RandomFaults::new(seed, 20, until), 16, 20..160, &mut rng);
        filled.leave();
        while filled.sim.now < until {
            filled.sim.run_for(Duration::from_millis(rng.random_range(500..2500)));
            let (vm, time) =
                (rng.random_range(0..16), Duration::from_millis(rng.random_range(300..4000)));
            match rng.random_range(0..10) {
                0..2 => filled.sim.replace_owner(SHARD),
                2..4 => filled.sim.pause_owner(SHARD, time),
                4 => filled.sim.disconnect_vm(vm, time),
                5 => filled.sim.crash_vm(vm, time),
                6 => filled.sim.depart_vm(vm, time),
                _ => {}
            }
        }
        filled.sim.run_for(SETTLE_TIME);
        check(&mut filled.sim, &filled.jobs, SIZE);
    }
}

const SMALL: Resources = Resources::new(8000, 8000, 0);

/// Longest time for which VMs keep their tasks running without another poll, on most deployments.
const LONG_KEEP: Duration = Duration::from_secs(10);

/// Notice of a VM that is taken away soon.
const SHORT_NOTICE: Duration = Duration::from_secs(2);

/// VMs answer the next stop commands and don't carry them out.
struct IgnoredStops(u32);

impl Faults for IgnoredStops {
    fn command_outcome(&mut self, _: Duration, action: &Action) -> Outcome {
        if !matches!(action, Action::Stop { .. }) || self.0 == 0 {
            return Outcome::Delivered;
        }
        self.0 -= 1;
        Outcome::Ignored
    }

    fn message_outcome(&mut self, _: Duration) -> Outcome {
        Outcome::Delivered
    }
}

/// Notice of a VM that is replaced as planned.
const LONG_NOTICE: Duration = Duration::from_secs(6);

/// Two VMs, a long-running task, and the index of the VM it runs on.
fn simulation_with_task<F: Faults>(faults: F) -> (Simulation<F>, Job, usize) {
    let mut sim = Simulation::with_max_keep(faults, &[SHARD], 2, SMALL, LONG_KEEP);
    let job = job_with_steps(1, 1, 1, work(0, 2));
    sim.submit(SHARD, job.clone());
    sim.run_for(Duration::from_secs(1));
    let there = (0..2).find(|i| sim.runs_on(*i) == 1).expect("it started");
    (sim, job, there)
}

// Guards against a task that is down for the whole lease of a VM that left with it as announced,
// since its owner could not reach the VM in time to stop the task.
#[test]
fn a_task_left_on_a_vm_that_departs_restarts_without_waiting_for_the_lease() {
    let (mut sim, job, there) = simulation_with_task(NoFaults);
    sim.disconnect_vm(there, Duration::from_secs(120));
    sim.depart_vm(there, SHORT_NOTICE);
    sim.run_for(SHORT_NOTICE + MAX_DOWNTIME);
    assert_eq!(sim.runs_on(1 - there), 1, "the task waits for the lease of a VM that has left");
    check(&mut sim, &IndexMap::from([(job.id, job)]), SMALL);
}

// The same if the shard's owner is replaced once the VM has left: the next one finds the task bound
// to a VM that is not listed.
#[test]
fn a_new_owner_does_not_wait_for_the_lease_of_a_departed_vm() {
    let (mut sim, job, there) = simulation_with_task(NoFaults);
    sim.disconnect_vm(there, Duration::from_secs(120));
    sim.depart_vm(there, SHORT_NOTICE);
    sim.run_for(SHORT_NOTICE + Duration::from_millis(100));
    sim.pause_owner(SHARD, Duration::from_secs(60));
    sim.run_for(MAX_DOWNTIME);
    assert_eq!(sim.runs_on(1 - there), 1, "the new owner waits for the lease of a departed VM");
    check(&mut sim, &IndexMap::from([(job.id, job)]), SMALL);
}

// Guards against a long-running task that leaves with its VM, since a stop that was answered counted
// as done although the VM went on listing the run.
#[test]
fn a_run_that_goes_on_after_its_stop_was_answered_is_stopped_again() {
    let (mut sim, job, there) = simulation_with_task(IgnoredStops(1));
    sim.depart_vm(there, NOTICE);
    sim.run_for(NOTICE - Duration::from_millis(200));
    assert_eq!(sim.runs_on(1 - there), 1, "the task stays on its VM until that leaves");
    check(&mut sim, &IndexMap::from([(job.id, job)]), SMALL);
}

// Guards against a running task that is started a second time, or leaves with its VM, since the late
// response to a repeated start command was taken for one to the only start.
#[test]
fn a_late_response_to_a_start_does_not_end_a_running_task() {
    let (mut sim, job, there) = simulation_with_task(NoFaults);
    let task = TaskRef { job: job.id, occurrence: 0, step: 0, index: 0 };
    for error in [Error::StaleRun, Error::Unavailable { status: 503 }, Error::NoRoom] {
        sim.answer_start(SHARD, there, (task, RunNumber(1)), error);
        sim.run_for(Duration::from_secs(2));
        assert_eq!(sim.runs_on(there), 1);
        assert_eq!(sim.runs_on(1 - there), 0);
    }
    sim.depart_vm(there, NOTICE);
    sim.run_for(NOTICE - Duration::from_millis(200));
    assert_eq!(sim.runs_on(1 - there), 1, "the task stays on its VM until that leaves");
    check(&mut sim, &IndexMap::from([(job.id, job)]), SMALL);
}

// Guards against a task that waits for the lease since its VM left shortly after an outage of the
// store, when a VM's absence from the list tells nothing yet.
#[test]
fn a_departure_after_an_outage_of_the_store_is_not_forgotten() {
    let (mut sim, job, there) = simulation_with_task(NoFaults);
    sim.stop_store(Duration::from_secs(1));
    sim.run_for(Duration::from_millis(1500));
    sim.disconnect_vm(there, Duration::from_secs(120));
    sim.depart_vm(there, Duration::from_millis(300));
    sim.tell_departures_once();
    sim.run_for(MAX_DOWNTIME);
    assert_eq!(sim.runs_on(1 - there), 1, "the task waits for the lease of a VM that has left");
    check(&mut sim, &IndexMap::from([(job.id, job)]), SMALL);
}

// Guards against a task that runs twice: a VM that is listed has announced itself since it was taken
// for departed.
#[test]
fn a_listed_vm_is_not_removed_as_departed() {
    let (mut sim, job, there) = simulation_with_task(NoFaults);
    sim.report_departure(there);
    sim.run_for(Duration::from_secs(3));
    assert_eq!(sim.runs_on(there), 1);
    assert_eq!(sim.runs_on(1 - there), 0, "the task runs in two places");
    sim.pause_owner(SHARD, Duration::from_secs(60));
    sim.run_for(Duration::from_secs(3));
    assert_eq!(sim.runs_on(there), 1);
    check(&mut sim, &IndexMap::from([(job.id, job)]), SMALL);
}

// Guards against a task that runs in two places: a list from before its VM was announced confirmed
// that the VM had departed.
#[test]
fn a_stale_list_confirms_no_departure() {
    let (mut sim, job, there) = simulation_with_task(NoFaults);
    sim.report_departure(there);
    for _ in 0..20 {
        sim.run_for(Duration::from_millis(100));
        sim.send_stale_list_without(SHARD, there);
    }
    assert_eq!(sim.runs_on(there), 1);
    assert_eq!(sim.runs_on(1 - there), 0, "the task runs in two places");
    check(&mut sim, &IndexMap::from([(job.id, job)]), SMALL);
}

// Guards against a task that is down for a whole lease after its VM has left, if the end of its run
// can't be known sooner: the lease was extended until the VM left.
#[test]
fn the_lease_of_a_leaving_vm_is_not_extended_far_beyond_its_notice() {
    let (mut sim, job, there) = simulation_with_task(IgnoredStops(u32::MAX));
    sim.hide_departures();
    sim.depart_vm(there, LONG_NOTICE);
    sim.run_for(LONG_NOTICE + MAX_DOWNTIME);
    assert_eq!(sim.runs_on(1 - there), 1, "the lease was extended until the VM left");
    check(&mut sim, &IndexMap::from([(job.id, job)]), SMALL);
}

// Guards against work that is lost on a VM which stays for long after announcing that it leaves,
// while its shard's owner stands still for less than a lease.
#[test]
fn a_vm_with_a_long_notice_keeps_its_work_while_the_owner_stands_still() {
    let mut sim = Simulation::with_max_keep(NoFaults, &[SHARD], 1, SMALL, LONG_KEEP);
    let job = job_with_steps(1, 1, 1, work(40_000, 2));
    sim.submit(SHARD, job.clone());
    sim.run_for(Duration::from_secs(1));
    sim.depart_vm(0, Duration::from_secs(60));
    sim.run_for(LONG_KEEP);
    sim.stall_owner(SHARD, Duration::from_secs(6));
    sim.run_for(Duration::from_secs(7));
    assert_eq!(sim.runs_on(0), 1, "the lease has expired long before the VM leaves");
    check(&mut sim, &IndexMap::from([(job.id, job)]), SMALL);
}

// Guards against daemons that end since a VM announces a notice longer than any clock can hold.
#[test]
fn a_notice_without_end_is_accepted() {
    let (mut sim, job, there) = simulation_with_task(NoFaults);
    sim.leave_vm(there, Duration::MAX);
    sim.run_for(Duration::from_secs(2));
    assert_eq!(sim.runs_on(1 - there), 1, "the task has moved");
    check(&mut sim, &IndexMap::from([(job.id, job)]), SMALL);
}
