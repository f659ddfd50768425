//! Speculative copies and restarts of slow runs, and the steps that they make faster.

use crate::faults::{Faults, NoFaults, Outcome};
use crate::invariants::check;
use crate::jobs::{job_with_steps, work};
use crate::world::Simulation;
use indexmap::IndexMap;
use std::time::Duration;
use waxwingstall::job::{Copies, Job, JobId, JobState, Resume, TaskRef};
use waxwingstall::note::Note;
use waxwingstall::shard::{Action, Answer};
use waxwingstall::units::Resources;
use waxwingstall::vm::EndKind;
use waxwingstall_standin::runs::{Seen, SlowRuns, Work};

const SIZE: Resources = Resources::new(16_000, 16_000, 0);
const SHARD: &str = "kacyiru";

/// Speed in percent of a VM that takes seven times as long.
const SEVENTH: u8 = 14;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A job of one step of independent tasks that can't be resumed.
fn step_of(id: u64, tasks: u32, millis: u64, copies: Copies) -> Job {
    let mut job = job_with_steps(id, 1, tasks, work(millis, 2));
    job.steps[0].copies = copies;
    job.steps[0].resume = Resume::FromStart;
    job
}

fn simulation<F: Faults>(faults: F, vms: usize) -> Simulation<F> {
    let mut sim = Simulation::new(faults, &[SHARD], vms, SIZE);
    sim.run_for(ms(1000));
    sim
}

fn check_all<F: Faults>(sim: &mut Simulation<F>, jobs: &[&Job]) {
    let jobs: IndexMap<JobId, Job> = jobs.iter().map(|job| (job.id, (*job).clone())).collect();
    check(sim, &jobs, SIZE);
}

/// Runs a job until it ends, and returns how long it took.
fn time_of<F: Faults>(sim: &mut Simulation<F>, job: &Job) -> Duration {
    let begun = sim.now;
    sim.submit(SHARD, job.clone());
    wait_for(sim, job, JobState::Done);
    sim.now - begun
}

fn wait_for<F: Faults>(sim: &mut Simulation<F>, job: &Job, state: JobState) {
    let until = sim.now + Duration::from_secs(60);
    while sim.show(SHARD, job.id) != Some(Answer::Shown(state)) {
        assert!(sim.now < until, "job {} is not {state:?} within a minute", job.id);
    }
}

/// Starts of a job's tasks on all VMs.
fn starts<F: Faults>(sim: &Simulation<F>, job: &Job) -> usize {
    let tables = sim.vms.iter().map(|vm| &vm.table).chain(&sim.ended_tables);
    let seen = tables.flat_map(|table| &table.seen);
    seen.filter(|seen| matches!(seen, Seen::Started { task, .. } if task.job == job.id)).count()
}

/// How the runs of a job's tasks ended.
fn ends<F: Faults>(sim: &Simulation<F>, job: &Job, kind: EndKind) -> usize {
    let tables = sim.vms.iter().map(|vm| &vm.table).chain(&sim.ended_tables);
    let seen = tables.flat_map(|table| &table.seen);
    let ended = |seen: &&Seen| matches!(seen, Seen::Ended { task, outcome, .. } if task.job == job.id && *outcome == kind);
    seen.filter(ended).count()
}

/// Copies started and won by the shard, by its last report.
fn copies<F: Faults>(sim: &mut Simulation<F>) -> (u64, u64) {
    sim.run_for(ms(2100));
    match sim.states.get(SHARD) {
        Some(Note::ShardState { copies, copies_won, .. }) => (*copies, *copies_won),
        other => panic!("no report of the shard: {other:?}"),
    }
}

fn slow_down<F: Faults>(sim: &mut Simulation<F>, vm: usize, percent: u8) {
    let now = sim.now;
    sim.vms[vm].table.set_speed(now, percent);
}

// Guards against a step that waits seven times as long for its runs on one slow VM.
#[test]
fn a_run_on_a_slow_vm_gets_a_copy_and_the_first_success_counts() {
    let mut sim = simulation(NoFaults, 4);
    slow_down(&mut sim, 0, SEVENTH);
    let job = step_of(1, 8, 640, Copies::Parallel);
    let took = time_of(&mut sim, &job);
    assert!(took < ms(2500), "{took:?}");
    let (started, won) = copies(&mut sim);
    assert!(started > 0 && won > 0, "{started} copies, {won} won");
    assert!(starts(&sim, &job) > 8);
    check_all(&mut sim, &[&job]);
}

// Guards against copies of the tasks of a step that takes long on every VM.
#[test]
fn a_step_that_takes_seven_times_as_long_is_not_copied() {
    let mut sim = simulation(NoFaults, 4);
    let mut job = step_of(1, 8, 4500, Copies::Parallel);
    job.steps[0].estimate = ms(640);
    time_of(&mut sim, &job);
    assert_eq!(copies(&mut sim), (0, 0));
    assert_eq!(starts(&sim, &job), 8);
}

// Guards against two runs at once where the step doesn't allow them: the slow run is stopped first.
#[test]
fn without_copies_a_run_on_a_slow_vm_is_stopped_and_started_elsewhere() {
    let mut sim = simulation(NoFaults, 4);
    slow_down(&mut sim, 0, SEVENTH);
    let job = step_of(1, 8, 1500, Copies::One);
    let took = time_of(&mut sim, &job);
    assert!(took < ms(6000), "{took:?}");
    assert!(ends(&sim, &job, EndKind::Stopped) > 0);
    assert_eq!(copies(&mut sim), (0, 0));
    check_all(&mut sim, &[&job]);
}

/// Faults of the commands to one VM.
struct VmFaults {
    addr: &'static str,
    starts: Outcome,
    stops: Outcome,
    until: Duration,
}

impl VmFaults {
    fn starts(outcome: Outcome) -> Self {
        Self { addr: "kacyiru:0", starts: outcome, stops: Outcome::Delivered, until: ms(60_000) }
    }

    fn stops(outcome: Outcome, until: Duration) -> Self {
        Self { addr: "kacyiru:0", starts: Outcome::Delivered, stops: outcome, until }
    }
}

impl Faults for VmFaults {
    fn command_outcome(&mut self, now: Duration, action: &Action) -> Outcome {
        match action {
            _ if now >= self.until => Outcome::Delivered,
            Action::Start { vm, .. } if *vm.addr == *self.addr => self.starts,
            Action::Stop { vm, .. } if *vm.addr == *self.addr => self.stops,
            _ => Outcome::Delivered,
        }
    }

    fn message_outcome(&mut self, _: Duration) -> Outcome {
        Outcome::Delivered
    }
}

/// Runs of a job on all VMs now.
fn runs<F: Faults>(sim: &mut Simulation<F>, job: &Job) -> Vec<(usize, TaskRef)> {
    let now = sim.now;
    let vms = sim.vms.iter_mut().enumerate();
    let runs = vms.flat_map(|(index, vm)| {
        vm.table.runs(now).into_iter().map(move |(task, ..)| (index, task))
    });
    runs.filter(|(_, task)| task.job == job.id).collect()
}

/// A simulation with a job of one task that has two runs: the VM of its first run is slow. Returns
/// the VMs of both runs.
fn copied<F: Faults>(faults: F, vms: usize) -> (Simulation<F>, Job, [usize; 2]) {
    let mut sim = simulation(faults, vms);
    let job = step_of(1, 2, 2000, Copies::Parallel);
    sim.submit(SHARD, job.clone());
    sim.run_for(ms(400));
    let slow = runs(&mut sim, &job)[0];
    slow_down(&mut sim, slow.0, 0);
    let until = sim.now + ms(1500);
    loop {
        sim.run_for(ms(20));
        let there: Vec<usize> =
            runs(&mut sim, &job).iter().filter(|run| run.1 == slow.1).map(|run| run.0).collect();
        if let [a, b] = there[..] {
            let copy = if a == slow.0 { b } else { a };
            return (sim, job, [slow.0, copy]);
        }
        assert!(sim.now < until, "no copy: {there:?}");
    }
}

// Guards against a next owner that doesn't know of one of two runs, or starts a third.
#[test]
fn the_next_owner_knows_both_copies() {
    let (mut sim, job, _) = copied(NoFaults, 4);
    sim.replace_owner(SHARD);
    wait_for(&mut sim, &job, JobState::Done);
    sim.run_for(ms(2000));
    assert_eq!(starts(&sim, &job), 3);
    assert_eq!(runs(&mut sim, &job), [], "the other copy was stopped");
    check_all(&mut sim, &[&job]);
}

// Guards against an owner's end between the bindings of the two copies that leaves a run unknown or
// the task without a run. The moment differs by a tick each time.
#[test]
fn an_owner_may_end_at_any_moment_of_a_copy() {
    for tick in 0..20 {
        let mut sim = simulation(NoFaults, 4);
        slow_down(&mut sim, 0, 0);
        let job = step_of(1, 8, 640, Copies::Parallel);
        sim.submit(SHARD, job.clone());
        sim.run_for(ms(500 + 20 * tick));
        sim.replace_owner(SHARD);
        wait_for(&mut sim, &job, JobState::Done);
        check_all(&mut sim, &[&job]);
    }
}

// Guards against a job that waits for the VM of a copy that crashed, left or doesn't answer.
#[test]
fn a_lost_vm_of_one_copy_does_not_delay_the_other() {
    type Loss = fn(&mut Simulation<NoFaults>, usize);
    let crash: Loss = |sim, vm| sim.crash_vm(vm, ms(3000));
    let leave: Loss = |sim, vm| sim.depart_vm(vm, ms(300));
    let disconnect: Loss = |sim, vm| sim.disconnect_vm(vm, ms(9000));
    for lose in [crash, leave, disconnect] {
        let (mut sim, job, [original, _]) = copied(NoFaults, 4);
        let begun = sim.now;
        lose(&mut sim, original);
        wait_for(&mut sim, &job, JobState::Done);
        assert!(sim.now - begun < ms(2600), "{:?}", sim.now - begun);
        sim.run_for(ms(12_000));
        assert_eq!(starts(&sim, &job), 3);
        check_all(&mut sim, &[&job]);
    }
}

// Guards against a copy that is gone with its VM and leaves its task without a run.
#[test]
fn a_task_goes_on_if_its_copy_is_lost() {
    let (mut sim, job, [original, copy]) = copied(NoFaults, 4);
    sim.crash_vm(copy, ms(3000));
    slow_down(&mut sim, original, 100);
    wait_for(&mut sim, &job, JobState::Done);
    check_all(&mut sim, &[&job]);
}

// Guards against a run that goes on for good, or a success that is lost, because the stop of the
// other copy is lost, late or without effect.
#[test]
fn stops_of_the_other_copy_may_be_lost_or_late() {
    let outcomes = [Outcome::Lost, Outcome::AnswerLost, Outcome::Ignored, Outcome::Late(ms(2000))];
    for outcome in outcomes {
        let (mut sim, job, [original, _]) = copied(VmFaults::stops(outcome, ms(14_000)), 4);
        assert_eq!(original, 0, "the faults are those of the slow VM");
        wait_for(&mut sim, &job, JobState::Done);
        assert!(sim.now < ms(11_000), "the job waits for no stop: {:?}", sim.now);
        sim.run_for(ms(9000));
        assert_eq!(runs(&mut sim, &job), [], "{outcome:?}");
        assert_eq!(starts(&sim, &job), 3);
        check_all(&mut sim, &[&job]);
    }
}

// Guards against runs of a cancelled job that go on because there are two of one task.
#[test]
fn cancelling_a_job_ends_all_copies() {
    let (mut sim, job, _) = copied(NoFaults, 4);
    sim.cancel(SHARD, job.id);
    sim.run_for(ms(1200));
    assert_eq!(runs(&mut sim, &job), []);
    sim.run_for(ms(5000));
    assert_eq!(starts(&sim, &job), 3);
    check_all(&mut sim, &[&job]);
}

// Guards against a copy that starts after the success of the first run, when its binding was being
// committed for seconds.
#[test]
fn a_copy_whose_commit_is_in_flight_does_not_start_after_a_success() {
    let mut sim = simulation(NoFaults, 4);
    let job = step_of(1, 2, 2000, Copies::Parallel);
    sim.submit(SHARD, job.clone());
    sim.run_for(ms(400));
    let slow = runs(&mut sim, &job)[0].0;
    slow_down(&mut sim, slow, 14);
    sim.run_for(ms(300));
    sim.stop_store(ms(4000));
    sim.run_for(ms(400));
    slow_down(&mut sim, slow, 100);
    sim.run_for(ms(2800));
    assert_eq!(runs(&mut sim, &job), [], "both tasks are done");
    wait_for(&mut sim, &job, JobState::Done);
    assert_eq!(starts(&sim, &job), 2);
    let (started, won) = copies(&mut sim);
    assert_eq!((started > 0, won), (true, 0), "a copy was bound");
    check_all(&mut sim, &[&job]);
}

// Guards against a step that waits for seconds for a start that its VM carries out late.
#[test]
fn a_start_that_takes_no_effect_gets_a_copy() {
    let faults = VmFaults::starts(Outcome::Late(ms(4000)));
    let mut sim = simulation(faults, 4);
    let job = step_of(1, 8, 640, Copies::Parallel);
    let took = time_of(&mut sim, &job);
    assert!(took < ms(2300), "{took:?}");
    sim.run_for(ms(8000));
    assert_eq!(runs(&mut sim, &job), []);
    check_all(&mut sim, &[&job]);
}

// Guards against a copy on a VM of an evacuated failure domain.
#[test]
fn nothing_is_copied_while_the_domain_is_evacuated() {
    let mut sim = simulation(NoFaults, 4);
    let job = step_of(1, 2, 2000, Copies::Parallel);
    sim.submit(SHARD, job.clone());
    sim.run_for(ms(400));
    sim.evacuate(SHARD);
    sim.run_for(ms(500));
    slow_down(&mut sim, 0, 0);
    sim.run_for(ms(4000));
    assert_eq!(starts(&sim, &job), 2);
    check_all(&mut sim, &[&job]);
}

// Guards against a drained VM that is never empty because one of two copies runs there, and against
// a copy on a VM that is being drained.
#[test]
fn a_vm_with_a_copy_is_drained() {
    let (mut sim, job, [original, _]) = copied(NoFaults, 4);
    sim.drain_vm(SHARD, original, ms(500));
    wait_for(&mut sim, &job, JobState::Done);
    sim.run_for(ms(1500));
    assert_eq!(sim.drained_vms(SHARD).len(), 1);
    check_all(&mut sim, &[&job]);
}

// Guards against a run that crashed its VM right after its start and is copied to the next one while
// the first doesn't answer.
#[test]
fn a_run_that_was_never_seen_at_work_is_not_copied() {
    let mut sim = simulation(NoFaults, 4);
    let job = step_of(1, 1, 2000, Copies::Parallel);
    sim.submit(SHARD, job.clone());
    while runs(&mut sim, &job).is_empty() {
        sim.run_for(ms(20));
    }
    let vm = runs(&mut sim, &job)[0].0;
    sim.disconnect_vm(vm, ms(4000));
    sim.run_for(ms(3900));
    assert_eq!(starts(&sim, &job), 1);
    wait_for(&mut sim, &job, JobState::Done);
    check_all(&mut sim, &[&job]);
}

// Guards against a task that waits for the lease of a VM that no longer answers, and that had
// worked on it.
#[test]
fn a_run_on_a_vm_that_does_not_answer_gets_a_copy() {
    let mut sim = simulation(NoFaults, 4);
    let job = step_of(1, 2, 2000, Copies::Parallel);
    let begun = sim.now;
    sim.submit(SHARD, job.clone());
    sim.run_for(ms(900));
    let vm = runs(&mut sim, &job)[0].0;
    sim.disconnect_vm(vm, ms(20_000));
    wait_for(&mut sim, &job, JobState::Done);
    assert!(sim.now - begun < ms(5000), "{:?}", sim.now - begun);
    check_all(&mut sim, &[&job]);
}

/// Makes the first `fails` runs of each of a job's tasks fail.
fn failing(job: Job, fails: u32) -> Job {
    let work = Work { fails, ..Work::read(&job.payload) };
    Job { payload: work.payload().as_str().into(), ..job }
}

/// Starts of one task on all VMs.
fn starts_of<F: Faults>(sim: &Simulation<F>, task: TaskRef) -> usize {
    let seen = sim.vms.iter().flat_map(|vm| &vm.table.seen);
    seen.filter(|seen| matches!(seen, Seen::Started { task: t, .. } if *t == task)).count()
}

// Guards against a task that is started again, or failed, because one of its copies failed while
// the other one runs.
#[test]
fn a_failed_copy_leaves_the_other_one_running() {
    let mut sim = simulation(NoFaults, 4);
    let job = failing(step_of(1, 2, 2000, Copies::Parallel), 1);
    sim.submit(SHARD, job.clone());
    sim.run_for(ms(400));
    let (slow, task) = runs(&mut sim, &job)[0];
    slow_down(&mut sim, slow, SEVENTH);
    while starts_of(&sim, task) < 2 {
        sim.run_for(ms(20));
    }
    slow_down(&mut sim, slow, 100);
    wait_for(&mut sim, &job, JobState::Done);
    assert!(ends(&sim, &job, EndKind::Failed) == 2, "the first run of each task failed");
    assert_eq!(starts_of(&sim, task), 2);
    check_all(&mut sim, &[&job]);
}

// Guards against more failed runs than the queue allows, because each of two copies fails.
#[test]
fn failed_copies_count_as_attempts() {
    let mut sim = simulation(NoFaults, 4);
    let job = failing(step_of(1, 2, 2000, Copies::Parallel), 9);
    sim.submit(SHARD, job.clone());
    sim.run_for(ms(400));
    let (slow, task) = runs(&mut sim, &job)[0];
    slow_down(&mut sim, slow, SEVENTH);
    while starts_of(&sim, task) < 2 {
        sim.run_for(ms(20));
    }
    slow_down(&mut sim, slow, 100);
    wait_for(&mut sim, &job, JobState::Failed);
    sim.run_for(ms(3000));
    assert!(starts_of(&sim, task) <= 3, "{}", starts_of(&sim, task));
    check_all(&mut sim, &[&job]);
}

const BORROWER: &str = "remera";

/// A simulation in which a task is lent and has two runs at the borrower, with the full job that
/// takes the lender's room. Returns the VM of the slow run as well.
fn lent_and_copied() -> (Simulation<NoFaults>, Job, Job, usize) {
    let mut sim = Simulation::new(NoFaults, &[SHARD, BORROWER], 3, SIZE);
    sim.run_for(ms(1000));
    let full = step_of(1, 24, 60_000, Copies::One);
    sim.submit(SHARD, full.clone());
    sim.run_for(ms(1000));
    let job = step_of(2, 2, 2000, Copies::Parallel);
    sim.submit(SHARD, job.clone());
    let until = sim.now + ms(5000);
    while runs(&mut sim, &job).len() < 2 {
        assert!(sim.now < until, "the job was not lent");
        sim.run_for(ms(20));
    }
    let (slow, task) = runs(&mut sim, &job)[0];
    sim.run_for(ms(300));
    slow_down(&mut sim, slow, 0);
    while starts_of(&sim, task) < 2 {
        assert!(sim.now < until + ms(5000), "no copy");
        sim.run_for(ms(20));
    }
    (sim, full, job, slow)
}

// Guards against copies at the lender, and against a success that is returned only when the VM of
// the other copy, which can't be reached, has surely stopped it.
#[test]
fn a_lent_task_has_its_copies_at_the_borrower_and_is_returned_at_once() {
    let (mut sim, full, job, slow) = lent_and_copied();
    let begun = sim.now;
    sim.disconnect_vm(slow, ms(9000));
    wait_for(&mut sim, &job, JobState::Done);
    assert!(sim.now - begun < ms(3000), "{:?}", sim.now - begun);
    sim.run_for(ms(12_000));
    assert_eq!(runs(&mut sim, &job), []);
    let lender = sim.vms[..3].iter().flat_map(|vm| &vm.table.seen);
    let there =
        lender.filter(|seen| matches!(seen, Seen::Started { task, .. } if task.job == job.id));
    assert_eq!(there.count(), 0);
    assert_eq!(starts(&sim, &job), 3);
    check_all(&mut sim, &[&full, &job]);
}

// Guards against copies at the borrower that outlive their cancelled job, or an owner that returns
// the task while one of them runs.
#[test]
fn a_recalled_task_ends_with_all_its_copies() {
    let (mut sim, full, job, _) = lent_and_copied();
    sim.replace_owner(BORROWER);
    sim.cancel(SHARD, job.id);
    sim.run_for(ms(2500));
    assert_eq!(runs(&mut sim, &job), []);
    sim.run_for(ms(5000));
    assert_eq!(starts(&sim, &job), 3);
    check_all(&mut sim, &[&full, &job]);
}

/// Times of the steps of 60 jobs while three runs in a hundred take seven times as long, sorted.
fn step_times(copies: Copies) -> Vec<Duration> {
    let mut sim = simulation(NoFaults, 8);
    for vm in &mut sim.vms {
        vm.table.set_slow_runs(SlowRuns { seed: 7, permille: 30, percent: SEVENTH });
    }
    let jobs: Vec<Job> = (1..=60).map(|id| step_of(id, 10, 640, copies)).collect();
    let mut begun: IndexMap<JobId, Duration> = IndexMap::new();
    for job in &jobs {
        begun.insert(job.id, sim.now);
        sim.submit(SHARD, job.clone());
        sim.run_for(ms(400));
    }
    sim.run_for(ms(8000));
    let mut ends: IndexMap<TaskRef, Duration> = IndexMap::new();
    for seen in sim.vms.iter().flat_map(|vm| &vm.table.seen) {
        if let Seen::Ended { at, task, outcome: EndKind::Succeeded, .. } = seen {
            let end = ends.entry(*task).or_insert(*at);
            *end = (*end).min(*at);
        }
    }
    let mut times: Vec<Duration> = Vec::new();
    for (id, begun) in begun {
        let tasks = ends.iter().filter(|(task, _)| task.job == id);
        assert_eq!(tasks.clone().count(), 10, "all tasks of job {id} are done");
        times.extend(tasks.map(|(_, end)| *end - begun).max());
    }
    check_all(&mut sim, &jobs.iter().collect::<Vec<_>>());
    times.sort();
    times
}

// Guards against steps that wait for the slowest of their runs: three in a hundred take seven times
// as long, so a quarter of the steps of ten tasks has one.
#[test]
fn copies_shorten_the_slowest_steps() {
    let (one, parallel) = (step_times(Copies::One), step_times(Copies::Parallel));
    let at = |times: &[Duration], percent: usize| {
        times[(times.len() * percent / 100).min(times.len() - 1)]
    };
    for percent in [50, 90, 99] {
        println!(
            "p{percent}: {:?} without copies, {:?} with",
            at(&one, percent),
            at(&parallel, percent)
        );
    }
    assert!(at(&one, 99) > ms(4000), "some runs are slow");
    assert!(at(&parallel, 99) < ms(2500), "{:?}", at(&parallel, 99));
    assert!(at(&parallel, 50) < at(&one, 50) + ms(50), "the median gets no worse");
}

// Guards against sound VMs that seem slow, and work that is restarted or copied for it: tasks of a
// minute, whose first percent takes longer than a poll, and an owner that stands still and then
// handles old responses all at once.
#[test]
fn sound_vms_are_served_as_before() {
    let mut sim = simulation(NoFaults, 4);
    let mut jobs = vec![step_of(1, 4, 60_000, Copies::Parallel)];
    for id in 2..40 {
        let copies = if id % 2 == 0 { Copies::Parallel } else { Copies::One };
        jobs.push(step_of(id, 4, 300 + 100 * id, copies));
    }
    for job in &jobs {
        sim.submit(SHARD, job.clone());
        sim.run_for(ms(700));
        if job.id == JobId(20) {
            sim.stall_owner(SHARD, ms(3000));
        }
        let Some(Note::ShardState { slow_vms, copies, .. }) = sim.states.get(SHARD) else {
            panic!("no report of the shard");
        };
        assert_eq!((*slow_vms, *copies), (0, 0), "after job {}", job.id);
    }
    sim.run_for(ms(40_000));
    jobs.iter().for_each(|job| assert_eq!(starts(&sim, job), 4, "job {}", job.id));
    check_all(&mut sim, &jobs.iter().collect::<Vec<_>>());
}

// Guards against a copy that is bound before a crash of its task's VM and started after it, next to
// other tasks: the task may crash its VMs, and is to be placed apart.
#[test]
fn a_copy_that_was_not_sent_is_dropped_if_its_task_may_crash_vms() {
    let mut sim = simulation(NoFaults, 5);
    let job = step_of(1, 2, 4000, Copies::Parallel);
    sim.submit(SHARD, job.clone());
    sim.run_for(ms(1000));
    let (first, task) = runs(&mut sim, &job)[0];
    sim.crash_vm(first, ms(300));
    let second = loop {
        sim.run_for(ms(20));
        let there = runs(&mut sim, &job);
        if let Some(run) = there.iter().find(|run| run.1 == task) {
            break run.0;
        }
    };
    sim.run_for(ms(1000));
    slow_down(&mut sim, second, 0);
    sim.run_for(ms(100));
    sim.stop_store(ms(3000));
    sim.run_for(ms(900));
    sim.crash_vm(second, ms(300));
    sim.run_for(ms(6000));
    let (started, _) = copies(&mut sim);
    assert_eq!(started, 1, "a copy was bound");
    let number = |seen: &Seen| match seen {
        Seen::Started { task: t, run, .. } if *t == task => Some(run.0),
        _ => None,
    };
    let tables = sim.vms.iter().map(|vm| &vm.table).chain(&sim.ended_tables);
    let mut numbers: Vec<u32> = tables.flat_map(|table| &table.seen).filter_map(number).collect();
    numbers.sort_unstable();
    assert_eq!(numbers, [1, 2, 4], "the copy was run 3");
    check_all(&mut sim, &[&job]);
}

// Guards against tasks that go to a VM that is known to be slow while others have room.
#[test]
fn new_tasks_avoid_a_slow_vm() {
    let mut sim = simulation(NoFaults, 4);
    slow_down(&mut sim, 0, SEVENTH);
    let first = step_of(1, 8, 640, Copies::Parallel);
    time_of(&mut sim, &first);
    let second = step_of(2, 12, 640, Copies::One);
    sim.submit(SHARD, second.clone());
    sim.run_for(ms(100));
    let there = runs(&mut sim, &second);
    assert_eq!(there.len(), 12);
    assert!(there.iter().all(|(vm, _)| *vm != 0), "{there:?}");
}

// Guards against copies that take the room of work that waits: here of tasks that need a whole VM.
#[test]
fn nothing_is_copied_while_work_waits() {
    let mut sim = simulation(NoFaults, 4);
    slow_down(&mut sim, 0, SEVENTH);
    let job = step_of(1, 8, 3000, Copies::Parallel);
    let large = job_with_steps(2, 1, 4, work(500, 16));
    sim.submit(SHARD, job.clone());
    sim.submit(SHARD, large.clone());
    sim.run_for(ms(2800));
    assert_eq!((starts(&sim, &job), starts(&sim, &large)), (8, 0));
    wait_for(&mut sim, &large, JobState::Done);
    wait_for(&mut sim, &job, JobState::Done);
    assert!(starts(&sim, &job) > 8, "the slow runs are copied later");
    check_all(&mut sim, &[&job, &large]);
}

// Guards against two runs at once where they aren't allowed: the stop of the slow run is lost, late
// or without effect, or the owner is replaced while it is being carried out.
#[test]
fn a_restarted_task_never_runs_twice_whatever_becomes_of_the_stop() {
    let outcomes = [Outcome::Lost, Outcome::AnswerLost, Outcome::Ignored, Outcome::Late(ms(2000))];
    for outcome in outcomes {
        let mut sim = simulation(VmFaults::stops(outcome, ms(10_000)), 4);
        slow_down(&mut sim, 0, SEVENTH);
        let job = step_of(1, 8, 2000, Copies::One);
        sim.submit(SHARD, job.clone());
        sim.run_for(ms(1500));
        sim.replace_owner(SHARD);
        wait_for(&mut sim, &job, JobState::Done);
        sim.run_for(ms(5000));
        check_all(&mut sim, &[&job]);
    }
}

// Guards against a slow run that is left alone because its task has one attempt left, so that it may
// not have a copy: a stopped run is no attempt.
#[test]
fn the_last_attempt_is_restarted_instead_of_copied() {
    let mut sim = simulation(NoFaults, 4);
    let job = failing(step_of(1, 8, 1500, Copies::Parallel), 2);
    sim.submit(SHARD, job.clone());
    while ends(&sim, &job, EndKind::Failed) < 16 {
        sim.run_for(ms(20));
    }
    sim.run_for(ms(200));
    slow_down(&mut sim, 0, SEVENTH);
    wait_for(&mut sim, &job, JobState::Done);
    assert!(ends(&sim, &job, EndKind::Stopped) > 0);
    assert_eq!(copies(&mut sim), (0, 0));
    check_all(&mut sim, &[&job]);
}

// Guards against a VM that seems slow because all runs of one long step are on it, so that there is
// no other VM to compare it with.
#[test]
fn several_runs_of_one_long_step_do_not_make_their_vm_slow() {
    let mut sim = simulation(NoFaults, 1);
    let mut jobs: Vec<Job> = (1..=8).map(|id| step_of(id, 8, 640, Copies::One)).collect();
    for job in &jobs {
        time_of(&mut sim, job);
    }
    // The evidence of these jobs that the VM is sound has decayed.
    sim.run_for(ms(10_000));
    let mut long = step_of(9, 8, 4500, Copies::One);
    long.steps[0].estimate = ms(640);
    sim.submit(SHARD, long.clone());
    jobs.push(long);
    for _ in 0..20 {
        sim.run_for(ms(200));
        let Some(Note::ShardState { slow_vms, .. }) = sim.states.get(SHARD) else { continue };
        assert_eq!(*slow_vms, 0);
    }
    check_all(&mut sim, &jobs.iter().collect::<Vec<_>>());
}
