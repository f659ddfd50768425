//! Tasks lent to another shard.

use crate::faults::{Faults, NoFaults, Outcome};
use crate::invariants::check;
use crate::jobs::{job_with_steps, work};
use crate::world::{LOW_QUEUE, Simulation};
use indexmap::IndexMap;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;
use waxwingstall::job::progress::{OccurrenceProgress, Progress, TaskPhase, TaskProgress};
use waxwingstall::job::{Job, JobId, JobState, Label, QueueName, Share, TaskRef};
use waxwingstall::kv::Txn;
use waxwingstall::shard::learned::{Inherited, StoredRecord};
use waxwingstall::shard::loan::{LendOrder, LoanId, LoanMsg};
use waxwingstall::shard::{
    Action, Answer, CommitResult, Event, Now, PreviousOwner, Recovered, Settings, Shard,
};
use waxwingstall::units::Resources;
use waxwingstall::vm::Fence;

const SIZE: Resources = Resources::new(8000, 8000, 0);

fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

// Guards against a long-running task that never runs again although its home shard has room. It was
// lent to another shard whose VM leaves, and that shard's owner is replaced while the task waits
// there. A borrower returns a task after it has waited for 1.5 s, but the next owner did not know
// since when it waited: in the log, `lasting-waits` reported five tasks with `oldest_ms=0` and
// `fit_elsewhere=5` for the last 12 s of a run. The wait must count from the takeover.
#[test]
fn a_borrowed_task_without_room_is_given_back_by_the_next_owner() {
    let mut sim = Simulation::new(NoFaults, &["kacyiru", "remera"], 1, SIZE);
    let full = job_with_steps(1, 1, 4, work(60_000, 2));
    let lent = job_with_steps(2, 1, 1, work(0, 2));
    sim.submit("kacyiru", full.clone());
    sim.run_for(seconds(1));
    sim.submit("kacyiru", lent.clone());
    sim.run_for(seconds(3));
    assert_eq!(sim.runs_on(1), 1, "the task was lent");
    sim.leave_vm(1, seconds(60));
    while sim.runs_on(1) > 0 {
        sim.run_for(Duration::from_millis(100));
    }
    sim.run_for(Duration::from_millis(300));
    sim.replace_owner("remera");
    sim.cancel("kacyiru", full.id);
    sim.run_for(seconds(5));
    assert_eq!(sim.runs_on(0), 1, "the task was not returned");
    check(&mut sim, &IndexMap::from([(full.id, full), (lent.id, lent)]), SIZE);
}

// Guards against a task that runs twice because a paused owner that was replaced lends it again.
#[test]
fn an_owner_that_was_replaced_lends_nothing_again() {
    let mut sim = Simulation::new(NoFaults, &["kacyiru", "remera"], 1, SIZE);
    let full = job_with_steps(1, 1, 4, work(60_000, 2));
    let lent = job_with_steps(2, 1, 1, work(1000, 2));
    sim.submit("kacyiru", full.clone());
    sim.run_for(seconds(1));
    sim.submit("kacyiru", lent.clone());
    while sim.runs_on(1) == 0 {
        sim.run_for(Duration::from_millis(20));
    }
    sim.pause_owner("kacyiru", seconds(6));
    sim.run_for(seconds(4));
    assert_eq!(sim.runs_on(1), 0, "the task is done and returned");
    sim.replace_owner("remera");
    sim.run_for(seconds(1));
    // The old owner can't learn from the VM, which knows the new owner, that it was replaced.
    sim.disconnect_vm(0, seconds(4));
    sim.run_for(seconds(10));
    check(&mut sim, &IndexMap::from([(full.id, full), (lent.id, lent)]), SIZE);
}

/// Time after the loss of a VM by which its owner knows that the VM's tasks have ended.
const LEASE_EXPIRY: Duration = Duration::from_millis(8500);

/// Longest time that a task may wait although VMs that may run it are free.
const WAIT_LIMIT: Duration = Duration::from_secs(3);

/// A task that requires a label which only the second VM of the first shard has.
fn labelled_task(sim: &mut Simulation<NoFaults>, id: u64, share: Share) -> Job {
    let label = Label::new("ssd");
    if sim.vms[1].entry.labels.is_empty() {
        sim.vms[1].entry.labels.push(label.clone());
        sim.run_for(seconds(1));
    }
    let mut job = job_with_steps(id, 1, 1, work(60_000, 2));
    job.steps[0].label = Some(label);
    job.steps[0].share = share;
    job
}

// Guards against leftover work that is never lent, or to shards whose VMs lack its label only.
#[test]
fn leftover_work_is_lent_to_a_shard_with_its_label() {
    let mut sim = Simulation::new(NoFaults, &["gasabo", "kacyiru", "remera"], 2, SIZE);
    let job = labelled_task(&mut sim, 1, Share::Leftover);
    sim.submit("kacyiru", job.clone());
    sim.run_for(WAIT_LIMIT);
    assert_eq!(sim.runs_on(1), 1);
    check(&mut sim, &IndexMap::from([(job.id, job)]), SIZE);
}

// Guards against tasks that are lent together for one VM: each loan counted as taking the room of
// any VM with as much.
#[test]
fn one_vm_is_not_lent_to_twice_in_a_pass() {
    let mut sim = Simulation::new(NoFaults, &["gasabo", "kacyiru", "remera"], 2, SIZE);
    let mut jobs = Vec::new();
    for id in 1..=6 {
        let mut job = labelled_task(&mut sim, id, Share::Reserved);
        job.steps[0].size = Resources::new(8000, 8000, 0);
        jobs.push(job);
    }
    for job in &jobs {
        sim.submit("kacyiru", job.clone());
    }
    sim.run_for(Duration::from_millis(300));
    assert_eq!(sim.loans, 1);
}

// Guards against leftover work that never runs again after the VMs of its shard were lost: nothing is
// known of how it disturbs serving tasks, as there are none.
#[test]
fn leftover_work_is_lent_although_its_interference_is_unknown() {
    let mut sim = Simulation::new(NoFaults, &["kacyiru", "remera"], 1, SIZE);
    let mut job = job_with_steps(1, 1, 2, work(60_000, 2));
    job.steps[0].share = Share::Leftover;
    sim.submit("kacyiru", job.clone());
    sim.run_for(seconds(2));
    sim.crash_vm(0, seconds(3600));
    sim.run_for(LEASE_EXPIRY + WAIT_LIMIT);
    assert_eq!(sim.runs_on(1), 2);
    check(&mut sim, &IndexMap::from([(job.id, job)]), SIZE);
}

/// Delays the messages that are sent in a period of time; they arrive after newer ones.
struct LateMessages {
    sent: Range<Duration>,
    delay: Duration,
}

impl Faults for LateMessages {
    fn command_outcome(&mut self, _: Duration, _: &Action) -> Outcome {
        Outcome::Delivered
    }

    fn message_outcome(&mut self, now: Duration) -> Outcome {
        if self.sent.contains(&now) { Outcome::Late(self.delay) } else { Outcome::Delivered }
    }
}

// Guards against a task that runs again because a message that lent it arrives after it was returned.
#[test]
fn a_loan_that_has_ended_is_not_taken_again_however_late_its_message_arrives() {
    for delay in [3, 40, 600] {
        let faults = LateMessages { sent: Duration::ZERO..Duration::ZERO, delay: seconds(delay) };
        let mut sim = Simulation::new(faults, &["kacyiru", "remera"], 1, SIZE);
        let full = job_with_steps(1, 1, 4, work(1_000_000, 2));
        let lent = job_with_steps(2, 1, 1, work(100, 2));
        let later = job_with_steps(3, 1, 1, work(100, 2));
        sim.submit("kacyiru", full.clone());
        sim.run_for(seconds(1));
        sim.faults.sent = sim.now..sim.now + Duration::from_millis(300);
        sim.submit("kacyiru", lent.clone());
        sim.run_for(seconds(delay - 1));
        sim.submit("kacyiru", later.clone());
        sim.run_for(seconds(4));
        assert_eq!(sim.loans, 2);
        let jobs = [full, lent, later].map(|job| (job.id, job));
        check(&mut sim, &IndexMap::from(jobs), SIZE);
    }
}

/// An owner that has just taken over a shard with a borrowed job, whose tasks are all in one phase.
pub fn owner_of_borrowed_job(job: &Job, state: TaskPhase) -> Shard {
    let task = TaskProgress { state, loan: LOAN, ..TaskProgress::default() };
    let tasks = vec![task; job.steps[0].tasks as usize];
    let progress = Progress {
        state: JobState::Running,
        lender: Some("kacyiru".to_owned()),
        vms: Vec::new(),
        shards: Vec::new(),
        started_occurrences: 0,
        open_occurrences: vec![OccurrenceProgress { number: 0, steps: vec![tasks] }],
        crashes: Vec::new(),
    };
    let recovered = Recovered {
        shard: "remera".to_owned(),
        fence: BORROWER,
        claimed_at: Duration::ZERO,
        written_by: Duration::ZERO,
        seq: 0,
        previous: PreviousOwner::Ended,
        earlier_active: Duration::ZERO,
        before_previous: None,
        extended_until: None,
        jobs: vec![Arc::new(job.clone())],
        progress: vec![(job.id, progress)],
        predecessor: None,
        unresponsive_vms: Vec::new(),
        silent: Vec::new(),
        reported_lapses: Vec::new(),
        learned: Inherited { record: StoredRecord::Absent, report: None },
    };
    Shard::new(recovered, Settings::default(), Arc::default(), Vec::new(), Now::default())
}

const BORROWER: Fence = Fence(7);
const LOAN: u64 = 5;

fn settled(job: &Job, index: u32) -> Event {
    let task = TaskRef { job: job.id, occurrence: 0, step: 0, index };
    let tasks = vec![LoanId { task, loan: LOAN }];
    let msg = LoanMsg::Settled { job: job.id, tasks, void: LendOrder::default() };
    Event::Message { from: Arc::from("kacyiru"), to: BORROWER, msg }
}

/// The commit among the actions.
pub fn commit(actions: Vec<Action>) -> Option<(u64, Txn)> {
    actions.into_iter().find_map(|action| match action {
        Action::Commit { seq, txn, .. } => Some((seq, txn)),
        _ => None,
    })
}

// Guards against records of loans that stay for good: a loan that was settled while an earlier commit of
// its job was in flight counted as open again once that commit was answered.
#[test]
fn a_loan_that_is_settled_during_a_commit_leaves_no_record() {
    let job = job_with_steps(2, 1, 2, work(100, 2));
    let mut shard = owner_of_borrowed_job(&job, TaskPhase::Succeeded);
    let at = |millis| Now { steady: Duration::from_millis(millis), ..Now::default() };
    let (seq, _) = commit(shard.step(at(100), settled(&job, 0))).expect("a commit");
    assert_eq!(commit(shard.step(at(101), settled(&job, 1))), None);
    let durable = Event::Committed { seq, result: CommitResult::Durable };
    let next = commit(shard.step(at(102), durable));
    let (seq, txn) = next.or_else(|| commit(shard.step(at(200), Event::Tick))).expect("a commit");
    assert_eq!(txn.puts, Vec::new());
    assert!(txn.deletes.iter().any(|key| key.ends_with(&job.id.to_string())));
    shard.step(at(201), Event::Committed { seq, result: CommitResult::Durable });
    assert_eq!(shard.open_job_and_run_counts(), (0, 0));
}

// Guards against records of settled loans that an earlier owner has left behind.
#[test]
fn a_settled_loan_is_deleted_at_takeover() {
    let job = job_with_steps(2, 1, 2, work(100, 2));
    let mut shard = owner_of_borrowed_job(&job, TaskPhase::Elsewhere);
    let now = Now { steady: Duration::from_millis(100), ..Now::default() };
    let (_, txn) = commit(shard.step(now, Event::Tick)).expect("a commit");
    assert!(txn.deletes.iter().any(|key| key.ends_with(&job.id.to_string())));
}

/// Time within which a task runs in another shard that has room for it.
const LEND_TIME: Duration = Duration::from_secs(3);

const ELSEWHERE: &str = "ssd";

/// Two shards with two VMs each; one of the second has a label that none of the first has.
fn labelled_elsewhere() -> Simulation<NoFaults> {
    let mut sim = Simulation::new(NoFaults, &["kacyiru", "remera"], 2, SIZE);
    sim.vms[2].entry.labels.push(Label::new(ELSEWHERE));
    sim.run_for(seconds(1));
    sim
}

/// Asserts that a job that only the other shard can run is done beside these jobs, which wait.
fn assert_lent_beside(mut sim: Simulation<NoFaults>, waiting: Vec<Job>) {
    let mut jobs: IndexMap<JobId, Job> = IndexMap::new();
    for job in waiting {
        sim.submit("kacyiru", job.clone());
        jobs.insert(job.id, job);
    }
    sim.run_for(seconds(2));
    let mut last = job_with_steps(1000, 1, 2, work(500, 1));
    last.queue = QueueName::new(LOW_QUEUE);
    last.steps[0].label = Some(Label::new(ELSEWHERE));
    sim.submit("kacyiru", last.clone());
    sim.run_for(LEND_TIME);
    assert_eq!(sim.show("kacyiru", last.id), Some(Answer::Shown(JobState::Done)));
    jobs.insert(last.id, last);
    check(&mut sim, &jobs, SIZE);
}

// Guards against jobs that never run as the tasks before them, which no shard can run, are offered to
// other shards in each pass and use up the offers.
#[test]
fn tasks_without_a_suitable_vm_keep_no_others_from_being_lent() {
    let mut job = job_with_steps(1, 1, 100, work(500, 1));
    job.steps[0].label = Some(Label::new("gone"));
    assert_lent_beside(labelled_elsewhere(), vec![job]);
}

// Guards against the same if the tasks have nothing in common but that no VM has room for them.
#[test]
fn jobs_that_are_offered_in_vain_take_turns() {
    let mut sim = labelled_elsewhere();
    let full: Vec<Job> = (1..=4).map(|id| job_with_steps(id, 1, 1, work(60_000, 5))).collect();
    for job in &full {
        sim.submit("kacyiru", job.clone());
    }
    sim.run_for(seconds(2));
    assert!((0..4).all(|vm| sim.runs_on(vm) == 1), "each VM runs one");
    let large = |id: u64| {
        let mut job = job_with_steps(id, 1, 1, work(500, 8));
        let size = u32::try_from(id).expect("it is small");
        job.steps[0].size = Resources::new(7000 - size, 4000 + size, 0);
        job
    };
    assert_lent_beside(sim, full.into_iter().chain((100..300).map(large)).collect());
}
