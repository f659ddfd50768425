//! Long-running tasks that need more resources on one VM than competing short tasks do.

use crate::faults::NoFaults;
use crate::invariants::check;
use crate::jobs::{job_with_steps, work};
use crate::world::Simulation;
use indexmap::IndexMap;
use std::time::Duration;
use waxwingstall::job::{Job, JobId, JobState, Label, StepRef};
use waxwingstall::shard::Answer;
use waxwingstall::units::Resources;
use waxwingstall_standin::permits::PermitTable;
use waxwingstall_standin::runs::Work;

const SIZE: Resources = Resources::new(8000, 8000, 0);
const SHARD: &str = "kacyiru";

/// Two VMs under a constant load of short tasks, and long-running jobs.
struct BusyShard {
    sim: Simulation<NoFaults>,
    all: IndexMap<JobId, Job>,
    next: u64,
}

impl BusyShard {
    fn new() -> Self {
        Self { sim: Simulation::new(NoFaults, &[SHARD], 2, SIZE), all: IndexMap::new(), next: 100 }
    }

    fn submit(&mut self, job: Job) {
        self.sim.submit(SHARD, job.clone());
        self.all.insert(job.id, job);
    }

    /// Keeps submitting more short tasks than there is room for.
    fn add_load_for(&mut self, time: Duration) {
        let until = self.sim.now + time;
        while self.sim.now < until {
            self.next += 1;
            self.submit(job_with_steps(self.next, 1, 3, work(600, 1)));
            self.sim.run_for(Duration::from_millis(100));
        }
    }

    fn is_running(&mut self, job: JobId) -> bool {
        self.sim.show(SHARD, job) == Some(Answer::Shown(JobState::Running))
    }
}

fn long_running(id: u64, cores: u32, memory_mib: u32) -> Job {
    let size = Resources::new(cores * 1000, memory_mib, 0);
    job_with_steps(id, 1, 1, Work { size, ..work(0, cores) })
}

// Guards against a long-running task that starves beside short tasks. The VM with the most free CPU
// was reserved for it, but that VM's memory was held by another long-running task and never freed;
// on the other VM, every free core was given to short tasks. In the log 25 tasks waited 22 to 39 s,
// the smallest needing 5,450 millicores, with `largest_free_milli_cores=8000` in each line, always
// for the same VM.
#[test]
fn a_lasting_task_does_not_wait_for_a_vm_whose_memory_is_taken_for_good() {
    let mut busy = BusyShard::new();
    busy.submit(long_running(1, 1, 7900));
    busy.sim.run_for(Duration::from_millis(300));
    busy.add_load_for(Duration::from_secs(2));
    let waiting = long_running(2, 4, 4000);
    busy.submit(waiting.clone());
    busy.add_load_for(Duration::from_secs(2));
    assert!(busy.is_running(waiting.id), "the task still waits");
    check(&mut busy.sim, &busy.all, SIZE);
}

// The VM chosen for a long-running task must stay reserved until the task fits, even if another VM
// temporarily has more free resources.
#[test]
fn a_lasting_task_gets_a_whole_vm_beside_short_work() {
    let mut busy = BusyShard::new();
    busy.add_load_for(Duration::from_secs(2));
    let waiting = long_running(2, 8, 4000);
    busy.submit(waiting.clone());
    busy.add_load_for(Duration::from_secs(2));
    assert!(busy.is_running(waiting.id), "the task still waits");
    check(&mut busy.sim, &busy.all, SIZE);
}

/// Time in which short work is done on idle VMs.
const SHORT_WORK_TIME: Duration = Duration::from_secs(2);

/// Longest time that a job may have nothing running beside room for it.
const MAX_IDLE_TIME: Duration = Duration::from_secs(3);

fn known(jobs: &[Job]) -> IndexMap<JobId, Job> {
    jobs.iter().map(|job| (job.id, job.clone())).collect()
}

/// Asserts that a short job is done on idle VMs while these lasting jobs wait.
fn assert_short_work_ends_beside(mut sim: Simulation<NoFaults>, mut jobs: Vec<Job>) {
    sim.run_for(Duration::from_secs(1));
    for job in &jobs {
        sim.submit(SHARD, job.clone());
    }
    sim.run_for(Duration::from_secs(2));
    let short = job_with_steps(100, 1, 2, work(500, 2));
    sim.submit(SHARD, short.clone());
    sim.run_for(SHORT_WORK_TIME);
    for job in &jobs {
        assert_eq!(sim.show(SHARD, job.id), Some(Answer::Shown(JobState::Queued)));
    }
    assert_eq!(sim.show(SHARD, short.id), Some(Answer::Shown(JobState::Done)));
    jobs.push(short);
    check(&mut sim, &known(&jobs), SIZE);
}

// Guards against short work that waits for VMs which are held for lasting tasks of another label.
#[test]
fn lasting_tasks_hold_no_vms_without_their_label() {
    let sim = Simulation::new(NoFaults, &[SHARD], 3, SIZE);
    let label = Some(Label::new("ssd"));
    let mut jobs: Vec<Job> = (1..=4).map(|id| long_running(id, 1, 500)).collect();
    jobs.iter_mut().for_each(|job| job.steps[0].label = label.clone());
    assert_short_work_ends_beside(sim, jobs);
}

// Guards against short work that waits for VMs which are held for lasting tasks that may not run
// there by the permit service.
#[test]
fn lasting_tasks_hold_no_vms_that_they_are_denied() {
    let table = PermitTable::new(100, Duration::from_secs(3));
    let mut sim = Simulation::new(NoFaults, &[SHARD], 3, SIZE).with_permits(table);
    let jobs: Vec<Job> = (1..=4).map(|id| long_running(id, 1, 500)).collect();
    let steps = jobs.iter().map(|job| StepRef { job: job.id, occurrence: 0, step: 0 });
    sim.permits.as_mut().expect("it has permits").denied_steps = steps.collect();
    assert_short_work_ends_beside(sim, jobs);
}

// Guards against jobs that never start beside a lasting task for which their VM is held, as the task
// waits for another one that runs for long.
#[test]
fn a_hold_that_does_not_come_true_keeps_no_job_from_starting() {
    let mut sim = Simulation::new(NoFaults, &[SHARD], 1, SIZE);
    let jobs = [
        job_with_steps(1, 1, 1, work(60_000, 1)),
        long_running(2, 8, 4000),
        job_with_steps(3, 1, 1, work(500, 1)),
    ];
    for job in &jobs {
        sim.submit(SHARD, job.clone());
        sim.run_for(Duration::from_millis(100));
    }
    sim.run_for(MAX_IDLE_TIME);
    assert_eq!(sim.show(SHARD, jobs[2].id), Some(Answer::Shown(JobState::Done)));
    check(&mut sim, &known(&jobs), SIZE);
}

/// A lasting job whose task may only run on the VM with this label.
fn pinned(id: u64, cores: u32, memory_mib: u32, label: &str) -> Job {
    let mut job = long_running(id, cores, memory_mib);
    job.steps[0].label = Some(Label::new(label));
    job
}

// Guards against a lasting task for which no smaller one moves, as room is sought in vain for others
// before it in each check.
#[test]
fn room_is_made_for_a_task_behind_others_for_which_nothing_can_move() {
    const SIZE: Resources = Resources::new(8000, 50_000, 0);
    let mut sim = Simulation::new(NoFaults, &[SHARD], 4, SIZE);
    for (vm, label) in ["a", "b", "c", "d"].into_iter().enumerate() {
        sim.vms[vm].entry.labels.push(Label::new(label));
    }
    sim.run_for(Duration::from_secs(1));
    let mut jobs = vec![
        pinned(1, 4, 46_000, "a"),
        pinned(2, 5, 47_000, "b"),
        pinned(3, 1, 49_000, "c"),
        pinned(4, 1, 50_000, "d"),
        pinned(5, 3, 3000, "b"),
        long_running(6, 2, 2000),
    ];
    for job in &jobs {
        sim.submit(SHARD, job.clone());
        sim.run_for(Duration::from_millis(500));
    }
    assert_eq!(sim.runs_on(0), 2, "the task that may move runs on the first VM");
    for job in &jobs[3..5] {
        sim.cancel(SHARD, job.id);
    }
    sim.run_for(Duration::from_secs(1));
    let mut last: Vec<Job> = (10..22).map(|id| long_running(id, 0, 3100)).collect();
    last.push(long_running(30, 4, 4000));
    for job in &last {
        sim.submit(SHARD, job.clone());
    }
    sim.run_for(Duration::from_secs(1));
    assert_eq!(sim.runs_on(3), last.len());
    sim.leave_vm(3, Duration::from_secs(2));
    sim.run_for(Duration::from_secs(6));
    assert_eq!(sim.running_tasks(JobId(30)), 1, "the task still waits");
    jobs.extend(last);
    check(&mut sim, &known(&jobs), SIZE);
}
