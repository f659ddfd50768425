//! Several instances of a VM that the platform lists at one address.

use crate::faults::{Faults, Outcome};
use crate::invariants::check;
use crate::jobs::{job_with_steps, work};
use crate::world::{CALL_TIMEOUT, Simulation};
use indexmap::IndexMap;
use std::time::Duration;
use waxwingstall::ids::VmId;
use waxwingstall::job::{Job, JobId, JobState};
use waxwingstall::shard::{Action, Answer};
use waxwingstall::units::Resources;
use waxwingstall::vm::VmEntry;
use waxwingstall_standin::runs::{Seen, Work};

const SHARD: &str = "kacyiru";
const SIZE: Resources = Resources::new(8000, 8000, 0);

/// Delay after a failed poll.
const POLL_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Time to commit a binding and to send its start.
const RESTART_TIME: Duration = Duration::from_millis(200);

fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn millis(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Longest time until a VM that is back has answered a poll of its earlier instance: one poll sent
/// while it was down and its retry, with two ticks each.
fn answer_bound() -> Duration {
    CALL_TIMEOUT + POLL_RETRY_DELAY + millis(80)
}

/// A command to a VM.
struct Command {
    at: Duration,
    vm: VmId,
    is_start: bool,
}

/// No faults; records the commands to VMs.
#[derive(Default)]
struct Recorder {
    commands: Vec<Command>,
}

impl Faults for Recorder {
    fn command_outcome(&mut self, at: Duration, action: &Action) -> Outcome {
        let (vm, is_start) = match action {
            Action::Start { vm, .. } => (vm, true),
            Action::Poll { vm, .. } | Action::Stop { vm, .. } | Action::Pace { vm, .. } => {
                (vm, false)
            }
            _ => return Outcome::Delivered,
        };
        self.commands.push(Command { at, vm: vm.id.clone(), is_start });
        Outcome::Delivered
    }

    fn message_outcome(&mut self, _: Duration) -> Outcome {
        Outcome::Delivered
    }
}

/// A task on the second instance of one of two VMs.
struct Successor {
    sim: Simulation<Recorder>,
    job: Job,
    /// Index of the VM.
    vm: usize,
    /// Entry of the first instance, which isn't listed.
    dead: VmEntry,
}

impl Successor {
    /// Restarts both VMs, while they are idle and after the owner has dropped them, and starts the
    /// task.
    fn with_task(work: Work) -> Self {
        let sim = Simulation::new(Recorder::default(), &[SHARD], 2, SIZE);
        Self::with_restart(sim, work, Simulation::crash_vm)
    }

    /// The same with VMs that restart under their ids.
    fn with_same_id(work: Work) -> Self {
        let sim = Simulation::with_starts(Recorder::default(), &[SHARD], 2, SIZE);
        Self::with_restart(sim, work, Simulation::restart_vm)
    }

    fn with_restart(
        mut sim: Simulation<Recorder>,
        work: Work,
        restart: fn(&mut Simulation<Recorder>, usize, Duration),
    ) -> Self {
        sim.run_for(seconds(1));
        let before: Vec<VmEntry> = sim.vms.iter().map(|vm| vm.entry.clone()).collect();
        (0..2).for_each(|vm| restart(&mut sim, vm, seconds(3)));
        sim.run_for(seconds(4));
        let job = job_with_steps(1, 1, 1, work);
        sim.submit(SHARD, job.clone());
        sim.run_for(millis(500));
        let vm = (0..2).find(|vm| sim.runs_on(*vm) == 1).expect("the task runs");
        let dead = before[vm].clone();
        assert_ne!(dead.id, sim.vms[vm].entry.id, "the VM has restarted");
        Self { sim, job, vm, dead }
    }

    /// Lists the ended instance from now on.
    fn list_dead(&mut self) {
        self.sim.announcements.extra.push(self.dead.clone());
    }

    fn unlist_dead(&mut self) {
        self.sim.announcements.extra.clear();
    }

    /// Panics unless the task ran once, on its first VM, and is done.
    fn check_ran_once(mut self) {
        check(&mut self.sim, &IndexMap::from([(self.job.id, self.job.clone())]), SIZE);
        assert_eq!(starts(&self.sim), 1, "the task was started again");
        assert_eq!(self.sim.show(SHARD, self.job.id), Some(Answer::Shown(JobState::Done)));
    }

    /// Commands sent to the ended instance from `since` on.
    fn commands_to_dead(&self, since: Duration) -> Vec<&Command> {
        let commands = self.sim.faults.commands.iter();
        commands.filter(|command| command.vm == self.dead.id && command.at >= since).collect()
    }
}

/// Two VMs, a task, and the index of the VM it runs on.
fn simulation_with_task() -> (Simulation<Recorder>, Job, usize) {
    let mut sim = Simulation::new(Recorder::default(), &[SHARD], 2, SIZE);
    let job = job_with_steps(1, 1, 1, work(8000, 2));
    sim.submit(SHARD, job.clone());
    sim.run_for(seconds(1));
    let vm = (0..2).find(|vm| sim.runs_on(*vm) == 1).expect("the task runs");
    (sim, job, vm)
}

/// Number of runs started on all VMs.
fn starts<F>(sim: &Simulation<F>) -> usize {
    let tables = sim.ended_tables.iter().chain(sim.vms.iter().map(|vm| &vm.table));
    let seen = tables.flat_map(|table| &table.seen);
    seen.filter(|seen| matches!(seen, Seen::Started { .. })).count()
}

// Guards against a task that runs twice at once: the entry of a VM's ended instance came back while
// the task ran on the next instance, which was taken for the earlier one and thus for ended.
#[test]
fn an_entry_that_comes_back_ends_no_run_of_the_next_instance() {
    let mut vm = Successor::with_task(work(6000, 2));
    vm.list_dead();
    vm.sim.run_for(seconds(10));
    vm.check_ran_once();
}

// The same after a change of owner: the new owner hears of the living instance first.
#[test]
fn an_entry_that_a_new_owner_hears_of_last_ends_no_run_of_the_next_instance() {
    let mut vm = Successor::with_task(work(6000, 2));
    vm.sim.replace_owner(SHARD);
    vm.sim.run_for(seconds(1));
    vm.list_dead();
    vm.sim.run_for(seconds(10));
    vm.check_ran_once();
}

// The same by a list older than the living instance, which names the ended one alone.
#[test]
fn an_entry_listed_in_place_of_the_next_instance_ends_none_of_its_runs() {
    let mut vm = Successor::with_task(work(6000, 2));
    let now = vm.sim.now;
    let living = vm.sim.vms[vm.vm].entry.id.clone();
    vm.sim.announcements.hide(&living, now..now + seconds(2));
    vm.list_dead();
    vm.sim.run_for(seconds(2));
    vm.unlist_dead();
    vm.sim.run_for(seconds(8));
    vm.check_ran_once();
}

// The same while the store is just back, when entries that expired are listed again.
#[test]
fn an_entry_listed_as_the_store_is_back_ends_no_run_of_the_next_instance() {
    let mut vm = Successor::with_task(work(8000, 2));
    vm.sim.stop_store(seconds(2));
    vm.sim.run_for(millis(2200));
    vm.list_dead();
    vm.sim.run_for(seconds(2));
    vm.unlist_dead();
    vm.sim.run_for(seconds(9));
    vm.check_ran_once();
}

// The same by a list of unknown age that a daemon repeats because it can't read a newer one.
#[test]
fn an_entry_in_a_stale_list_ends_no_run_of_the_next_instance() {
    let mut vm = Successor::with_task(work(6000, 2));
    vm.sim.block_vm_list(seconds(2));
    vm.list_dead();
    vm.sim.repeat_vm_list(SHARD);
    vm.sim.run_for(seconds(1));
    vm.unlist_dead();
    vm.sim.run_for(seconds(10));
    vm.check_ran_once();
}

// Tasks of an ended instance that stays listed must restart as soon as its address answers as the
// next one, not when their lease has expired. Nothing more may be sent to the ended instance.
#[test]
fn an_ended_instance_is_removed_by_the_answer_of_its_address() {
    for down in [300, 700, 1500, 2500].map(millis) {
        let (mut sim, job, vm) = simulation_with_task();
        let dead = sim.vms[vm].entry.clone();
        sim.announcements.extra.push(dead.clone());
        sim.crash_vm(vm, down);
        let back = sim.now + down;
        sim.run_for(down + answer_bound() + RESTART_TIME);
        assert_eq!(sim.runs_on(0) + sim.runs_on(1), 1, "not restarted, down for {down:?}");
        sim.run_for(seconds(10));
        let last = sim.faults.commands.iter().rfind(|command| command.vm == dead.id);
        let last = last.expect("the VM was polled").at;
        assert!(last <= back + answer_bound(), "called at {last:?}, back at {back:?}");
        assert_eq!(starts(&sim), 2, "started twice in all");
        assert_eq!(sim.show(SHARD, job.id), Some(Answer::Shown(JobState::Done)));
        check(&mut sim, &IndexMap::from([(job.id, job)]), SIZE);
    }
}

// The same for an ended instance that is listed last, with more tasks than both VMs have room for:
// none may be started on it.
#[test]
fn nothing_is_started_on_an_ended_instance_that_is_listed_last() {
    for change_owner in [false, true] {
        let mut vm = Successor::with_task(work(6000, 2));
        let waiting = job_with_steps(2, 1, 9, work(4000, 2));
        if change_owner {
            vm.sim.replace_owner(SHARD);
        }
        vm.sim.submit(SHARD, waiting.clone());
        vm.sim.run_for(seconds(1));
        vm.list_dead();
        let listed = vm.sim.now;
        vm.sim.run_for(seconds(20));
        let jobs = [&vm.job, &waiting].map(|job| (job.id, job.clone()));
        check(&mut vm.sim, &IndexMap::<JobId, Job>::from(jobs), SIZE);
        assert_eq!(starts(&vm.sim), 10, "a task was started again");
        let commands = vm.commands_to_dead(listed);
        assert!(commands.iter().all(|command| !command.is_start), "a task was started on it");
        // The list of VMs is sent every 400 ms.
        let bound = listed + millis(400) + answer_bound();
        let last = commands.last().expect("it was polled").at;
        assert!(last <= bound, "called at {last:?}, listed at {listed:?}");
        for job in [vm.job.id, waiting.id] {
            assert_eq!(vm.sim.show(SHARD, job), Some(Answer::Shown(JobState::Done)));
        }
    }
}

// While the address of two listed instances doesn't answer, nobody knows which of them is the
// current one: neither may be taken for ended, and all tasks must complete once it answers.
#[test]
fn two_instances_at_an_unreachable_address_end_no_run() {
    for change_owner in [false, true] {
        let mut vm = Successor::with_task(work(9000, 2));
        vm.sim.disconnect_vm(vm.vm, seconds(3));
        vm.sim.run_for(millis(500));
        if change_owner {
            vm.sim.replace_owner(SHARD);
            vm.sim.run_for(millis(500));
        }
        vm.list_dead();
        vm.sim.run_for(seconds(12));
        vm.check_ran_once();
    }
}

// Tasks of an ended instance restart when their lease has expired, even if both instances stay
// listed and their address never answers.
#[test]
fn tasks_at_an_unreachable_address_of_two_instances_wait_for_their_lease_at_most() {
    for change_owner in [false, true] {
        let (mut sim, job, vm) = simulation_with_task();
        let dead = sim.vms[vm].entry.clone();
        sim.announcements.extra.push(dead);
        sim.disconnect_vm(vm, seconds(60));
        sim.crash_vm(vm, seconds(1));
        sim.run_for(seconds(2));
        if change_owner {
            sim.hand_over(SHARD);
        }
        // The lease lasts 6.8 s with its margins, and was extended until the VM counted as silent.
        sim.run_for(seconds(7));
        assert_eq!(sim.runs_on(1 - vm), 1, "not restarted");
        check(&mut sim, &IndexMap::from([(job.id, job)]), SIZE);
    }
}

// Guards against tasks that wait for the lease of an ended instance: while its address doesn't
// answer, nothing may be started on it once the next instance is listed beside it.
#[test]
fn nothing_is_started_on_an_ended_instance_that_answered_shortly_before() {
    let mut sim = Simulation::new(Recorder::default(), &[SHARD], 2, SIZE);
    sim.run_for(seconds(1));
    let dead = sim.vms[0].entry.clone();
    sim.announcements.extra.push(dead.clone());
    sim.crash_vm(0, millis(100));
    sim.disconnect_vm(0, seconds(20));
    // The list of VMs is sent every 400 ms.
    sim.run_for(millis(100 + 400 + 20));
    let listed = sim.now;
    let job = job_with_steps(1, 1, 4, work(1000, 2));
    sim.submit(SHARD, job.clone());
    sim.run_for(seconds(5));
    let mut commands = sim.faults.commands.iter().filter(|command| command.at >= listed);
    assert!(!commands.any(|command| command.vm == dead.id && command.is_start));
    assert_eq!(sim.show(SHARD, job.id), Some(Answer::Shown(JobState::Done)));
    check(&mut sim, &IndexMap::from([(job.id, job)]), SIZE);
}

/// Loses the answers of starts until `until`; the VMs carry these starts out after `delay`.
struct LateStarts {
    until: Duration,
    delay: Duration,
    /// Stops are lost until then.
    stops_lost_until: Duration,
    /// Polls of this instance are lost until then.
    polls_lost: Option<(VmId, Duration)>,
}

impl LateStarts {
    fn new(until: Duration, delay: Duration) -> Self {
        Self { until, delay, stops_lost_until: Duration::ZERO, polls_lost: None }
    }
}

impl Faults for LateStarts {
    fn command_outcome(&mut self, at: Duration, action: &Action) -> Outcome {
        match action {
            Action::Start { .. } if at < self.until => Outcome::Late(self.delay),
            Action::Stop { .. } if at < self.stops_lost_until => Outcome::Lost,
            Action::Poll { vm, .. } => match &self.polls_lost {
                Some((id, until)) if vm.id == *id && at < *until => Outcome::Lost,
                _ => Outcome::Delivered,
            },
            _ => Outcome::Delivered,
        }
    }

    fn message_outcome(&mut self, _: Duration) -> Outcome {
        Outcome::Delivered
    }
}

/// A task whose start is sent at about 6 s and carried out late; the index of its VM.
fn simulation_with_late_start(delay: Duration) -> (Simulation<LateStarts>, Job, usize) {
    let faults = LateStarts::new(millis(6500), delay);
    let mut sim = Simulation::with_starts(faults, &[SHARD], 2, SIZE);
    sim.run_for(seconds(1));
    let job = job_with_steps(1, 1, 1, work(3000, 6));
    sim.submit(SHARD, job.clone());
    sim.run_for(millis(100));
    let state = sim.bound_vms(job.id);
    assert_eq!(state.len(), 1, "the task is bound");
    (sim, job, state[0])
}

// Guards against a task that runs twice at once: its VM restarted under the same id, its task was
// started elsewhere, and the next instance then carried out the start for the ended one.
#[test]
fn a_late_start_that_the_next_instance_carries_out_runs_no_task_twice() {
    for change_owner in [false, true] {
        for delay in (400..3000).step_by(100).map(millis) {
            let (mut sim, job, vm) = simulation_with_late_start(delay);
            sim.restart_vm(vm, millis(200));
            sim.run_for(millis(100));
            if change_owner {
                sim.replace_owner(SHARD);
            }
            sim.run_for(seconds(20));
            check(&mut sim, &IndexMap::from([(job.id, job.clone())]), SIZE);
            assert_eq!(sim.show(SHARD, job.id), Some(Answer::Shown(JobState::Done)));
        }
    }
}

// The same with a VM that restarts again before the stop has been confirmed.
#[test]
fn runs_pass_on_again_when_the_next_instance_ends_too() {
    for second in (200..1500).step_by(50).map(millis) {
        let (mut sim, job, vm) = simulation_with_late_start(millis(2500));
        sim.restart_vm(vm, millis(200));
        sim.faults.stops_lost_until = sim.now + second;
        sim.run_for(second);
        sim.restart_vm(vm, millis(100));
        sim.run_for(seconds(20));
        check(&mut sim, &IndexMap::from([(job.id, job.clone())]), SIZE);
        assert_eq!(sim.show(SHARD, job.id), Some(Answer::Shown(JobState::Done)));
    }
}

// Guards against a task that starts again after its recorded success: the start had not been answered
// and was repeated, and its first copy was carried out by the next instance of the VM.
#[test]
fn a_late_start_of_a_task_that_is_done_is_barred() {
    let faults = LateStarts::new(millis(6300), seconds(3));
    let mut sim = Simulation::with_starts(faults, &[SHARD], 2, SIZE);
    sim.run_for(seconds(1));
    let job = job_with_steps(1, 1, 1, work(500, 6));
    sim.submit(SHARD, job.clone());
    sim.run_for(millis(100));
    let vm = sim.bound_vms(job.id)[0];
    sim.run_for(millis(1500));
    assert_eq!(sim.show(SHARD, job.id), Some(Answer::Shown(JobState::Done)));
    sim.restart_vm(vm, millis(200));
    sim.run_for(seconds(5));
    assert_eq!(sim.late_starts.len(), 1, "the start is carried out late");
    assert_eq!(starts(&sim), 1, "the task was started again");
    check(&mut sim, &IndexMap::from([(job.id, job)]), SIZE);
}

// Guards against a VM loaded beyond its size: the room of a run that the next instance may still
// start is reserved until its stop is confirmed.
#[test]
fn the_room_of_a_run_that_may_still_start_is_reserved() {
    for delay in (400..2000).step_by(50).map(millis) {
        let (mut sim, job, vm) = simulation_with_late_start(delay);
        let others = job_with_steps(2, 1, 4, work(4000, 6));
        sim.submit(SHARD, others.clone());
        sim.restart_vm(vm, millis(200));
        sim.run_for(seconds(30));
        let jobs = [&job, &others].map(|job| (job.id, job.clone()));
        check(&mut sim, &IndexMap::<JobId, Job>::from(jobs), SIZE);
    }
}

// Lists of machines name registered ids: a drained VM is reported by that id, and a restart under it
// is drained too.
#[test]
fn a_vm_is_drained_by_its_registered_id() {
    let mut sim = Simulation::with_starts(Recorder::default(), &[SHARD], 2, SIZE);
    let job = job_with_steps(1, 1, 1, work(20_000, 2));
    sim.submit(SHARD, job);
    sim.run_for(seconds(1));
    let vm = (0..2).find(|vm| sim.runs_on(*vm) == 1).expect("the task runs");
    sim.drain_vm(SHARD, vm, Duration::ZERO);
    sim.run_for(seconds(3));
    assert_eq!(sim.runs_on(vm), 0);
    let registered = VmId::new(sim.vms[vm].entry.id.registered());
    assert_eq!(sim.drained_vms(SHARD), std::slice::from_ref(&registered));
    sim.restart_vm(vm, millis(200));
    sim.submit(SHARD, job_with_steps(2, 1, 6, work(1000, 2)));
    sim.run_for(seconds(3));
    assert_eq!(sim.drained_vms(SHARD), [registered]);
    assert!(sim.vms[vm].table.seen.is_empty(), "nothing is started on it");
}

// Guards against a VM loaded beyond its size: the next instance is announced and answers, and got
// work before the runs of the ended one, whose polls were lost, had passed to it.
#[test]
fn nothing_is_started_beside_runs_that_may_still_pass_on() {
    let (mut sim, job, vm) = simulation_with_late_start(millis(1500));
    let ended = sim.vms[vm].entry.id.clone();
    sim.faults.polls_lost = Some((ended, sim.now + seconds(3)));
    sim.restart_vm(vm, millis(200));
    let others = job_with_steps(2, 1, 4, work(4000, 6));
    sim.submit(SHARD, others.clone());
    sim.run_for(seconds(30));
    let jobs = [&job, &others].map(|job| (job.id, job.clone()));
    check(&mut sim, &IndexMap::<JobId, Job>::from(jobs), SIZE);
    for job in [job.id, others.id] {
        assert_eq!(sim.show(SHARD, job), Some(Answer::Shown(JobState::Done)));
    }
}

// Guards against tasks that run twice and tasks that are lost when the old announcement replaces
// the one of the next instance under the same key.
#[test]
fn an_old_entry_under_the_key_of_the_next_instance_ends_none_of_its_runs() {
    for change_owner in [false, true] {
        let mut vm = Successor::with_same_id(work(6000, 2));
        let now = vm.sim.now;
        let living = vm.sim.vms[vm.vm].entry.id.clone();
        assert!(living.is_same_vm(&vm.dead.id), "the registered id stays");
        vm.sim.announcements.hide(&living, now..now + seconds(2));
        vm.list_dead();
        if change_owner {
            vm.sim.replace_owner(SHARD);
        }
        vm.sim.run_for(seconds(2));
        vm.unlist_dead();
        vm.sim.run_for(seconds(8));
        vm.check_ran_once();
    }
}

// Tasks of an instance that has ended restart as soon as the next one under its id has confirmed
// their stop, not when their lease has expired.
#[test]
fn tasks_restart_when_the_next_instance_has_confirmed_their_stop() {
    let mut sim = Simulation::with_starts(Recorder::default(), &[SHARD], 2, SIZE);
    let job = job_with_steps(1, 1, 1, work(8000, 2));
    sim.submit(SHARD, job.clone());
    sim.run_for(seconds(1));
    let vm = (0..2).find(|vm| sim.runs_on(*vm) == 1).expect("the task runs");
    sim.restart_vm(vm, millis(700));
    sim.run_for(millis(700) + answer_bound() + 2 * RESTART_TIME);
    assert_eq!(sim.runs_on(0) + sim.runs_on(1), 1, "not restarted");
    sim.run_for(seconds(10));
    assert_eq!(starts(&sim), 2, "started twice in all");
    assert_eq!(sim.show(SHARD, job.id), Some(Answer::Shown(JobState::Done)));
    check(&mut sim, &IndexMap::from([(job.id, job)]), SIZE);
}

/// Loses the answers of every third poll, and records the acknowledgements of all polls.
#[derive(Default)]
struct LostPolls {
    polls: usize,
    /// Acknowledged number, and whether the poll was answered.
    acks: Vec<(u64, bool)>,
}

impl Faults for LostPolls {
    fn command_outcome(&mut self, _: Duration, action: &Action) -> Outcome {
        let Action::Poll { req, .. } = action else { return Outcome::Delivered };
        self.polls += 1;
        let answered = !self.polls.is_multiple_of(3);
        self.acks.push((req.ack_up_to, answered));
        if answered { Outcome::Delivered } else { Outcome::AnswerLost }
    }

    fn message_outcome(&mut self, _: Duration) -> Outcome {
        Outcome::Delivered
    }
}

// Guards against lost ends: the first poll after a restart made the next instance discard ends that
// nobody had read. A poll after an unanswered one acknowledges nothing.
#[test]
fn a_poll_after_an_unanswered_one_acknowledges_no_end() {
    let mut sim = Simulation::with_starts(LostPolls::default(), &[SHARD], 1, SIZE);
    let job = job_with_steps(1, 1, 30, work(700, 2));
    sim.submit(SHARD, job.clone());
    sim.run_for(seconds(30));
    assert_eq!(sim.show(SHARD, job.id), Some(Answer::Shown(JobState::Done)));
    let acks = &sim.faults.acks;
    assert!(acks.iter().any(|(ack, _)| *ack > 0), "ends are acknowledged");
    let after_unanswered = acks.windows(2).filter(|pair| !pair[0].1).map(|pair| pair[1].0);
    assert_eq!(after_unanswered.max(), Some(0));
}

// Guards against a task that runs twice at once: an instance whose run had been released was removed
// with the record of its unanswered start before the next instance was announced.
#[test]
fn an_unanswered_start_outlives_the_removal_of_its_instance() {
    for down in (200..3000).step_by(200).map(millis) {
        for delay in
            (1700..5500).step_by(250).map(millis).filter(|delay| *delay > down + millis(1700))
        {
            let (mut sim, job, vm) = simulation_with_late_start(delay);
            sim.run_for(millis(400));
            sim.leave_vm(vm, seconds(2));
            sim.run_for(millis(400));
            sim.restart_vm(vm, down);
            sim.run_for(seconds(20));
            check(&mut sim, &IndexMap::from([(job.id, job.clone())]), SIZE);
        }
    }
}

/// Delays all starts sent before `starts_until`, and loses the polls of one address from then on.
struct CutPolls {
    starts_until: Duration,
    delay: Duration,
    polls_until: Duration,
    addr: Option<String>,
}

impl Faults for CutPolls {
    fn command_outcome(&mut self, at: Duration, action: &Action) -> Outcome {
        match action {
            Action::Start { .. } if at < self.starts_until => Outcome::Late(self.delay),
            Action::Poll { vm, .. } | Action::Stop { vm, .. }
                if self.addr.as_deref() == Some(&*vm.addr) && at < self.polls_until =>
            {
                Outcome::Lost
            }
            _ => Outcome::Delivered,
        }
    }

    fn message_outcome(&mut self, _: Duration) -> Outcome {
        Outcome::Delivered
    }
}

// Guards against a task that runs twice at once: its VM restarted under the same id and answers no
// poll, so its task is started elsewhere once the lease of the ended instance has passed, while the
// next instance carries out the start late and keeps it for a lease of its own.
#[test]
fn a_late_start_on_an_instance_that_answers_no_poll_is_waited_for() {
    for delay in (1000..6000).step_by(500).map(millis) {
        let (starts_until, polls_until) = (millis(6500), seconds(20));
        let faults = CutPolls { starts_until, delay, polls_until, addr: None };
        let mut sim = Simulation::with_starts(faults, &[SHARD], 2, SIZE);
        sim.run_for(seconds(1));
        let job = job_with_steps(1, 1, 1, work(9000, 6));
        sim.submit(SHARD, job.clone());
        sim.run_for(millis(100));
        let vm = sim.bound_vms(job.id)[0];
        sim.faults.addr = Some(sim.vms[vm].entry.addr.to_string());
        sim.restart_vm(vm, millis(200));
        sim.run_for(seconds(40));
        check(&mut sim, &IndexMap::from([(job.id, job)]), SIZE);
    }
}
