//! How long the runs of VMs that stop answering are waited for.

use crate::faults::{Faults, NoFaults, Outcome, RandomFaults};
use crate::invariants::check;
use crate::jobs::{job_with_steps, work};
use crate::world::{LostPort, Simulation};
use indexmap::IndexMap;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;
use waxwingstall::ids::Ticket;
use waxwingstall::job::{Job, JobId, JobState};
use waxwingstall::shard::settings::{BUSY_POLL_WAIT, CLOCK_DRIFT, EXPIRY_MARGIN, SILENCE_TIMEOUT};
use waxwingstall::shard::{Action, Answer};
use waxwingstall::units::Resources;

const SHARD: &str = "kacyiru";
const SIZE: Resources = Resources::new(8000, 8000, 0);

/// Longest time for which a VM keeps its tasks running without another poll.
const MAX_KEEP: Duration = Duration::from_secs(6);

/// Time to commit a binding, to send its start, and to notice what is due.
const RESTART_TIME: Duration = Duration::from_millis(200);

fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn millis(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn known(job: &Job) -> IndexMap<JobId, Job> {
    IndexMap::from([(job.id, job.clone())])
}

/// Time after the last call that may have reached a VM by which its runs have ended.
fn lease() -> Duration {
    MAX_KEEP + MAX_KEEP.mul_f64(CLOCK_DRIFT) + EXPIRY_MARGIN
}

/// Two VMs, a long-running task, and the index of the VM it runs on.
fn simulation_with_task<F: Faults>(faults: F) -> (Simulation<F>, Job, usize) {
    with_task(Simulation::with_max_keep(faults, &[SHARD], 2, SIZE, MAX_KEEP))
}

fn with_task<F: Faults>(mut sim: Simulation<F>) -> (Simulation<F>, Job, usize) {
    let job = job_with_steps(1, 1, 1, work(0, 2));
    sim.submit(SHARD, job.clone());
    sim.run_for(seconds(2));
    let there = (0..2).find(|i| sim.runs_on(*i) == 1).expect("the task runs");
    (sim, job, there)
}

/// Outcome of the polls of a VM in a period: of all if they are refused, else of those that extend the
/// lease.
struct Disruption {
    addr: Arc<str>,
    during: Range<Duration>,
    outcome: Outcome,
}

/// Disruptions in turn; all other commands are delivered.
#[derive(Default)]
struct Disruptions(Vec<Disruption>);

/// Disrupts the polls of a VM for a while, and lets it refuse all later ones.
fn disrupt_polls(
    sim: &mut Simulation<Disruptions>,
    index: usize,
    outcome: Outcome,
    time: Duration,
) {
    let (addr, now) = (sim.vms[index].entry.addr.clone(), sim.now);
    let disrupted = Disruption { addr: addr.clone(), during: now..now + time, outcome };
    let refused = Disruption { addr, during: now + time..Duration::MAX, outcome: Outcome::Refused };
    sim.faults.0.extend([disrupted, refused]);
}

impl Faults for Disruptions {
    fn command_outcome(&mut self, now: Duration, action: &Action) -> Outcome {
        let Action::Poll { vm, req } = action else { return Outcome::Delivered };
        let applies = |d: &&Disruption| {
            let is_meant = d.outcome == Outcome::Refused || req.keep_until.is_some();
            is_meant && d.addr == vm.addr && d.during.contains(&now)
        };
        self.0.iter().find(applies).map_or(Outcome::Delivered, |d| d.outcome)
    }

    fn message_outcome(&mut self, _: Duration) -> Outcome {
        Outcome::Delivered
    }
}

// Guards against a long-running task that stays down for longer than the lease that its VM was last
// given: each refused poll after the VM was lost counted as an extension.
#[test]
fn a_refused_poll_extends_no_lease() {
    for offset in [0, 90, 190, 310, 430] {
        let (mut sim, job, there) = simulation_with_task(NoFaults);
        sim.run_for(millis(offset));
        sim.lose_vm(there, LostPort::Refusing);
        sim.run_for(lease() + RESTART_TIME);
        assert_eq!(sim.runs_on(1 - there), 1, "{offset} ms: the wait counts from a refused poll");
        check(&mut sim, &known(&job), SIZE);
    }
}

// Guards against a VM whose calls time out that is given more time by each of them, or none.
#[test]
fn the_lease_of_a_vm_without_answers_counts_from_the_last_call_that_may_extend_it() {
    let (mut sim, job, there) = simulation_with_task(NoFaults);
    sim.lose_vm(there, LostPort::Silent);
    sim.run_for(lease());
    assert_eq!(sim.runs_on(1 - there), 0, "calls without an answer may have extended it");
    sim.run_for(SILENCE_TIMEOUT + BUSY_POLL_WAIT + RESTART_TIME);
    assert_eq!(sim.runs_on(1 - there), 1, "calls to a silent VM extend its lease");
    check(&mut sim, &known(&job), SIZE);
}

// Guards against a refused poll that counts after a planned hand-over, which passes on how long each
// VM may keep its runs.
#[test]
fn a_refused_poll_extends_no_lease_that_is_handed_over() {
    let (mut sim, job, there) = simulation_with_task(NoFaults);
    sim.lose_vm(there, LostPort::Refusing);
    sim.run_for(seconds(2));
    sim.hand_over(SHARD);
    sim.run_for(lease() + RESTART_TIME - seconds(2));
    assert_eq!(sim.runs_on(1 - there), 1, "the wait counts from a refused poll");
    check(&mut sim, &known(&job), SIZE);
}

// The same after the owner froze, which had published how long each silent VM may keep its runs.
#[test]
fn a_refused_poll_extends_no_lease_that_is_published() {
    let (mut sim, job, there) = simulation_with_task(NoFaults);
    sim.lose_vm(there, LostPort::Refusing);
    sim.run_for(seconds(5));
    sim.pause_owner(SHARD, seconds(60));
    sim.run_for(lease() + RESTART_TIME - seconds(5));
    assert_eq!(sim.runs_on(1 - there), 1, "the wait counts from a refused poll");
    check(&mut sim, &known(&job), SIZE);
}

// Guards against a task that runs twice: a poll that got no answer has extended its run, and the
// polls after it were refused.
#[test]
fn a_poll_without_an_answer_extends_the_lease_before_refused_ones() {
    let (mut sim, job, there) = simulation_with_task(Disruptions::default());
    disrupt_polls(&mut sim, there, Outcome::AnswerLost, millis(1500));
    sim.run_for(MAX_KEEP + millis(500));
    assert_eq!(sim.runs_on(there), 1, "the poll without an answer has extended it");
    sim.run_for(seconds(4));
    assert_eq!(sim.runs_on(1 - there), 1, "it starts elsewhere after that");
    check(&mut sim, &known(&job), SIZE);
}

// The same with a poll that arrives late, after refused ones.
#[test]
fn a_poll_that_arrives_after_refused_ones_extends_the_lease() {
    let (mut sim, job, there) = simulation_with_task(Disruptions::default());
    disrupt_polls(&mut sim, there, Outcome::Late(seconds(5)), millis(1500));
    sim.run_for(MAX_KEEP + millis(500));
    assert_eq!(sim.runs_on(there), 1, "the poll that came late has extended it");
    sim.run_for(seconds(4));
    assert_eq!(sim.runs_on(1 - there), 1, "it starts elsewhere after that");
    check(&mut sim, &known(&job), SIZE);
}

/// No faults; records when starts were sent to a VM.
#[derive(Default)]
struct StartRecorder {
    starts: Vec<(Duration, Arc<str>)>,
}

impl Faults for StartRecorder {
    fn command_outcome(&mut self, now: Duration, action: &Action) -> Outcome {
        if let Action::Start { vm, .. } = action {
            self.starts.push((now, vm.addr.clone()));
        }
        Outcome::Delivered
    }

    fn message_outcome(&mut self, _: Duration) -> Outcome {
        Outcome::Delivered
    }
}

/// Loses the VM of a long-running task while the binding of another task to it waits for the store,
/// which is back after `outage`.
fn lose_vm_before_start(
    port: LostPort,
    outage: Duration,
) -> (Simulation<StartRecorder>, [Job; 2], usize) {
    for wait in 0..10 {
        let (mut sim, job, there) = simulation_with_task(StartRecorder::default());
        let later = job_with_steps(2, 1, 2, work(1000, 5));
        sim.submit(SHARD, later.clone());
        sim.run_for(millis(20 * wait));
        sim.stop_store(outage);
        sim.run_for(millis(20));
        if sim.bound_vms(later.id).contains(&there) && sim.runs_on(there) == 1 {
            sim.lose_vm(there, port);
            return (sim, [job, later], there);
        }
    }
    panic!("no binding waits for the store");
}

// Guards against starts that are sent to a VM which no longer answers polls: each of them may extend
// the lease of the runs on it, and the started task could run elsewhere at once.
#[test]
fn no_start_is_sent_to_a_silent_vm() {
    let outages = [millis(1500), millis(2500), millis(4000)];
    let cases = outages.map(|outage| [(LostPort::Refusing, outage), (LostPort::Silent, outage)]);
    for case @ (port, outage) in cases.into_iter().flatten() {
        let (mut sim, jobs, there) = lose_vm_before_start(port, outage);
        let (addr, lost) = (sim.vms[there].entry.addr.clone(), sim.now);
        sim.run_for(SILENCE_TIMEOUT + BUSY_POLL_WAIT + lease() + RESTART_TIME);
        assert_eq!(sim.running_tasks(jobs[0].id), 1, "{case:?}: a start has extended the lease");
        let is_late = |(at, to): &&(Duration, Arc<str>)| *to == addr && *at > lost;
        let late = sim.faults.starts.iter().filter(is_late).count();
        assert_eq!(late, 0, "{case:?}: starts are sent to a silent VM");
        check(&mut sim, &jobs.into_iter().map(|job| (job.id, job)).collect(), SIZE);
    }
}

// Guards against a task that waits for the lease of a silent VM to which no start was sent.
#[test]
fn a_task_bound_to_a_silent_vm_is_placed_elsewhere_at_once() {
    for outage in [millis(1500), millis(2500), millis(4000)] {
        let (mut sim, jobs, _) = lose_vm_before_start(LostPort::Silent, outage);
        sim.run_for(outage + 2 * seconds(1) + seconds(1));
        let shown = sim.show(SHARD, jobs[1].id);
        assert_eq!(shown, Some(Answer::Shown(JobState::Done)), "{outage:?}");
    }
}

// Guards against a task of a dead VM that waits for polls sent after one without an answer, each of
// which would extend its lease.
#[test]
fn a_poll_after_one_without_an_answer_extends_no_lease() {
    for offset in [0, 90, 190, 310, 430] {
        let (mut sim, job, there) = simulation_with_task(NoFaults);
        sim.run_for(millis(offset));
        sim.lose_vm(there, LostPort::Silent);
        sim.run_for(BUSY_POLL_WAIT + lease() + RESTART_TIME);
        assert_eq!(sim.runs_on(1 - there), 1, "{offset} ms: a later poll has extended the lease");
        check(&mut sim, &known(&job), SIZE);
    }
}

// Guards against starts that extend the lease of a VM which left the last poll without an answer, and
// doesn't count as silent yet.
#[test]
fn no_start_is_sent_after_a_poll_without_an_answer() {
    for outage in [millis(900), millis(1000), millis(1100)] {
        let (mut sim, jobs, there) = lose_vm_before_start(LostPort::Silent, outage);
        let (addr, lost) = (sim.vms[there].entry.addr.clone(), sim.now);
        sim.run_for(BUSY_POLL_WAIT + lease() + RESTART_TIME);
        assert_eq!(sim.running_tasks(jobs[0].id), 1, "{outage:?}: a start has extended the lease");
        let is_late = |(at, to): &&(Duration, Arc<str>)| *to == addr && *at > lost;
        assert_eq!(sim.faults.starts.iter().filter(is_late).count(), 0, "{outage:?}");
        check(&mut sim, &jobs.into_iter().map(|job| (job.id, job)).collect(), SIZE);
    }
}

/// Loses calls to a VM.
enum Loss {
    /// Every second poll.
    Alternating { lost: bool },
    /// This share of all calls, in percent.
    Random { rng: SmallRng, percent: u32 },
}

impl Faults for Loss {
    fn command_outcome(&mut self, _: Duration, action: &Action) -> Outcome {
        let is_lost = match self {
            Self::Alternating { lost } => {
                if matches!(action, Action::Poll { .. }) {
                    *lost = !*lost;
                }
                *lost
            }
            Self::Random { rng, percent } => rng.random_range(0..100) < *percent,
        };
        if is_lost { Outcome::Lost } else { Outcome::Delivered }
    }

    fn message_outcome(&mut self, _: Duration) -> Outcome {
        Outcome::Delivered
    }
}

/// A single VM with a long-running task, some of whose calls are lost. It keeps the task for `keep`
/// without another poll.
fn task_beside_loss(loss: Loss, keep: Duration) -> (Simulation<Loss>, Job) {
    let mut sim = Simulation::with_max_keep(loss, &[SHARD], 1, SIZE, keep);
    let job = job_with_steps(1, 1, 1, work(0, 2));
    sim.submit(SHARD, job.clone());
    sim.run_for(seconds(180));
    (sim, job)
}

// Guards against work that ends on a sound VM: the polls that extend its lease are those that are
// lost.
#[test]
fn a_vm_that_answers_every_second_poll_keeps_its_work() {
    for lost in [false, true] {
        let (mut sim, job) = task_beside_loss(Loss::Alternating { lost }, MAX_KEEP);
        assert_eq!((sim.starts.len(), sim.runs_on(0)), (1, 1));
        check(&mut sim, &known(&job), SIZE);
    }
}

// The same with calls that are lost at random.
#[test]
fn a_vm_keeps_its_work_while_calls_are_lost_at_random() {
    for percent in [4, 10, 20, 30, 40, 50] {
        for seed in crate::random::seeds(0..10) {
            let rng = SmallRng::seed_from_u64(seed);
            let (mut sim, job) = task_beside_loss(Loss::Random { rng, percent }, seconds(10));
            assert_eq!((sim.starts.len(), sim.runs_on(0)), (1, 1), "{percent} %, seed {seed}");
            check(&mut sim, &known(&job), SIZE);
        }
    }
}

/// Random faults; some commands are refused besides.
struct RefusingFaults {
    rng: SmallRng,
    until: Duration,
    permille: u32,
    others: RandomFaults,
    /// VMs by address refuse connections until then.
    refusing: IndexMap<String, Duration>,
}

impl RefusingFaults {
    fn new(seed: u64, until: Duration) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed ^ 0x5eed);
        let permille = rng.random_range(0..150);
        let others = RandomFaults::new(seed, rng.random_range(0..400), until);
        Self { rng, until, permille, others, refusing: IndexMap::new() }
    }
}

impl Faults for RefusingFaults {
    fn command_outcome(&mut self, now: Duration, action: &Action) -> Outcome {
        let (Action::Poll { vm, .. }
        | Action::Start { vm, .. }
        | Action::Stop { vm, .. }
        | Action::Pace { vm, .. }) = action
        else {
            return Outcome::Delivered;
        };
        if self.refusing.get(&*vm.addr).is_some_and(|until| now < *until) {
            return Outcome::Refused;
        }
        if now < self.until && self.rng.random_range(0..1000) < self.permille {
            let time = millis(self.rng.random_range(0..9000)).min(self.until - now);
            self.refusing.insert(vm.addr.to_string(), now + time);
            return Outcome::Refused;
        }
        self.others.command_outcome(now, action)
    }

    fn message_outcome(&mut self, now: Duration) -> Outcome {
        self.others.message_outcome(now)
    }
}

/// Most VM crashes of a simulation; a task is given up once five VMs have crashed under it.
const MAX_CRASHES: usize = 4;

/// Id of the job of lasting tasks.
const LASTING: u64 = 1;

/// Lets VMs refuse connections at random while they run on, and while owners change.
fn refuse_at_random(seed: u64, with_starts: bool) {
    let until = seconds(40);
    let faults = RefusingFaults::new(seed, until);
    let mut sim = if with_starts {
        Simulation::with_starts(faults, &[SHARD], 3, SIZE)
    } else {
        Simulation::new(faults, &[SHARD], 3, SIZE)
    };
    let mut rng = SmallRng::seed_from_u64(seed);
    let jobs: IndexMap<JobId, Job> = (1..=4)
        .map(|id| job_with_steps(id, 1, 2, work(if id == LASTING { 0 } else { 2500 }, 1)))
        .map(|job| (job.id, job))
        .collect();
    let tickets: Vec<Ticket> = jobs.values().map(|job| sim.submit(SHARD, job.clone())).collect();
    sim.run_for(seconds(1));
    for ticket in tickets {
        assert_eq!(sim.answers.get(&ticket), Some(&Answer::Accepted), "seed {seed}");
    }
    while sim.now < until {
        sim.run_for(millis(rng.random_range(50..2500)));
        match rng.random_range(0..8) {
            0 => sim.hand_over(SHARD),
            1 => sim.replace_owner(SHARD),
            2 | 3 if sim.crashes == MAX_CRASHES => {}
            // Only a VM that tells when it started restarts under the same id.
            2 if with_starts => {
                sim.restart_vm(rng.random_range(0..3), millis(rng.random_range(50..4000)));
            }
            2 | 3 => sim.crash_vm(rng.random_range(0..3), millis(rng.random_range(300..5000))),
            4 => sim.disconnect_vm(rng.random_range(0..3), millis(rng.random_range(300..9000))),
            5 => sim.stop_store(millis(rng.random_range(300..4000))),
            _ => {}
        }
    }
    sim.run_for(seconds(40));
    assert_eq!(sim.running_tasks(JobId(LASTING)), 2, "seed {seed}: a lasting task is down");
    check(&mut sim, &jobs, SIZE);
}

// Guards against tasks that run twice, or not at all, after calls that are refused among calls that
// arrive unanswered or late.
#[test]
fn no_task_runs_twice_after_refused_calls() {
    for seed in crate::random::seeds(0..60) {
        refuse_at_random(seed, seed.is_multiple_of(2));
    }
}

// Guards against a task that runs twice: its start arrives late at the next instance of its VM, and
// the owner that knows of the start is killed after it has published the lapse of the VM's lease.
#[test]
fn a_published_lapse_covers_starts_that_the_next_instance_may_carry_out() {
    refuse_at_random(1276, true);
}
