//! Tasks on unresponsive VMs while the shard's owner is replaced.

use crate::faults::{NoFaults, RandomFaults};
use crate::invariants::check;
use crate::jobs::{job_with_steps, work};
use crate::random::seeds;
use crate::world::{LostPort, Simulation};
use indexmap::IndexMap;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use waxwingstall::ids::VmId;
use waxwingstall::job::{Job, JobId, JobState};
use waxwingstall::shard::settings::{CLOCK_DRIFT, EXPIRY_MARGIN, MAX_LEASE_AFTER_PROOF};
use waxwingstall::shard::{Answer, Keys, SilentVm};
use waxwingstall::units::Resources;
use waxwingstall_standin::runs::Work;

const SIZE: Resources = Resources::new(8000, 8000, 0);

fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn known(job: &Job) -> IndexMap<JobId, Job> {
    IndexMap::from([(job.id, job.clone())])
}

/// Two VMs, a long-running task, and the index of the VM it runs on.
fn simulation_with_task() -> (Simulation<NoFaults>, Job, usize) {
    let mut sim = Simulation::new(NoFaults, &["kacyiru"], 2, SIZE);
    let job = job_with_steps(1, 1, 1, work(0, 2));
    sim.submit("kacyiru", job.clone());
    sim.run_for(seconds(1));
    let there = (0..2).find(|i| sim.runs_on(*i) == 1).expect("it started");
    (sim, job, there)
}

// Guards against a long-running task that stays down for 35 s. Its VM died, and 11 s later, shortly
// before the VM's deadline, the owner froze. The next owner knew only that the VM might be alive,
// and waited for the whole deadline and 12 s more. In the log the VM was silent from 12.8 s on, the
// owner froze at 23.8 s, and `task-gone` came at 48.2 s. Owners therefore publish the deadlines of
// silent VMs.
#[test]
fn a_task_of_a_dead_vm_restarts_in_time_after_its_owner_freezes() {
    let (mut sim, job, there) = simulation_with_task();
    sim.disconnect_vm(there, seconds(120));
    sim.run_for(seconds(5));
    sim.pause_owner("kacyiru", seconds(60));
    sim.run_for(seconds(4));
    assert_eq!(sim.runs_on(1 - there), 1, "the new owner waits for the whole deadline again");
    check(&mut sim, &known(&job), SIZE);
}

// The same with two freezes: the second owner never had contact with the VM, and must pass on the
// published deadline.
#[test]
fn a_published_lapse_survives_a_second_owner_change() {
    let (mut sim, job, there) = simulation_with_task();
    sim.disconnect_vm(there, seconds(120));
    sim.run_for(seconds(4));
    sim.pause_owner("kacyiru", seconds(60));
    sim.run_for(seconds(1));
    sim.pause_owner("kacyiru", seconds(60));
    sim.run_for(seconds(4));
    assert_eq!(sim.runs_on(1 - there), 1, "the new owner waits for the whole deadline again");
    check(&mut sim, &known(&job), SIZE);
}

// A VM responds again after 5 s and its tasks are extended. The owner's report of that is lost, the
// owner freezes, and the VM becomes unreachable again: the deadline published for the first silence
// is no longer valid, and a task started by it would run twice. The store no longer records the
// first silence.
#[test]
fn what_was_told_before_a_vm_answered_again_counts_no_more() {
    let (mut sim, job, there) = simulation_with_task();
    sim.disconnect_vm(there, seconds(5));
    sim.run_for(Duration::from_millis(4900));
    sim.lose_published_lapses();
    sim.run_for(seconds(2));
    sim.disconnect_vm(there, seconds(60));
    sim.pause_owner("kacyiru", seconds(60));
    sim.run_for(seconds(3));
    assert_eq!(sim.runs_on(there), 1);
    assert_eq!(sim.runs_on(1 - there), 0, "the task runs in two places");
    check(&mut sim, &known(&job), SIZE);
}

// Guards against a long-running task that stays down for the lease and 12 s more: its VM had answered
// the new owner, and so took no more commands of the earlier one, before it stopped answering.
#[test]
fn a_task_of_a_vm_that_answered_its_new_owner_waits_for_one_lease_at_most() {
    let (mut sim, job, there) = simulation_with_task();
    sim.pause_owner("kacyiru", seconds(60));
    sim.run_for(seconds(1));
    sim.disconnect_vm(there, seconds(120));
    sim.run_for(seconds(9));
    assert_eq!(sim.runs_on(1 - there), 1, "the new owner waits for the earlier one");
    check(&mut sim, &known(&job), SIZE);
}

// Guards against a long-running task that stays down for the lease and 12 s more: the previous owner
// was found to have ended only after the takeover.
#[test]
fn a_task_on_a_silent_vm_waits_for_one_lease_once_the_previous_owner_has_ended() {
    let (mut sim, job, there) = simulation_with_task();
    sim.disconnect_vm(there, seconds(120));
    sim.pause_owner("kacyiru", seconds(60));
    sim.run_for(seconds(1));
    sim.tell_previous_owner_ended("kacyiru");
    sim.run_for(seconds(8));
    assert_eq!(sim.runs_on(1 - there), 1, "the new owner waits for the previous one");
    check(&mut sim, &known(&job), SIZE);
}

// A VM responds again while the store is unavailable: the record of its silence can't be removed,
// so its tasks are not extended yet. They must be extended once the store is back, so that the task
// keeps running.
#[test]
fn a_vm_that_answers_again_while_the_store_is_away_keeps_its_work() {
    let (mut sim, job, there) = simulation_with_task();
    sim.disconnect_vm(there, seconds(5));
    sim.run_for(Duration::from_millis(4500));
    sim.stop_store(seconds(3));
    sim.run_for(seconds(20));
    assert_eq!(sim.runs_on(there), 1);
    check(&mut sim, &known(&job), SIZE);
}

/// Lets an owner that is partitioned with the task's VM be replaced, its successor be replaced
/// after `held`, and the partitioned owner extend the task for as long as it may.
fn replace_beside_a_partitioned_owner(
    held: Duration,
    replace: impl FnOnce(&mut Simulation<NoFaults>),
) {
    let (mut sim, job, there) = simulation_with_task();
    let (proof, later) = renew_proof(&mut sim);
    sim.partition_owner("kacyiru", there);
    sim.run_for(held);
    replace(&mut sim);
    sim.run_for(proof + MAX_LEASE_AFTER_PROOF - seconds(1) - sim.now);
    assert_eq!(sim.runs_on(there), 1, "the partitioned owner has extended it");
    sim.run_for(seconds(1));
    assert_eq!(sim.runs_on(there), 0, "its lease has ended");
    sim.run_for(held + LEASE_MARGIN + RESTART_TIME);
    assert_eq!(sim.runs_on(1 - there), 1, "it starts elsewhere after that");
    check(&mut sim, &[job, later].into_iter().map(|job| (job.id, job)).collect(), SIZE);
}

/// Lets the owner commit another job, and returns when it did so at the earliest, and the job.
fn renew_proof(sim: &mut Simulation<NoFaults>) -> (Duration, Job) {
    let (at, job) = (sim.now, job_with_steps(2, 1, 1, work(500, 1)));
    sim.submit("kacyiru", job.clone());
    sim.run_for(Duration::from_millis(100));
    (at, job)
}

/// Time that a successor allows for the rates of clocks and the delivery of the last extension.
const LEASE_MARGIN: Duration = Duration::from_millis(900);

/// Time to commit a binding, to send its start, and to notice what is due.
const RESTART_TIME: Duration = Duration::from_millis(200);

// An owner is replaced that may be alive, and its successor hands the shard over. Guards against
// the next owner counting the VM's time from its own takeover only, and starting the task twice.
#[test]
fn an_owner_before_the_last_may_still_extend_a_vm_that_was_handed_over() {
    replace_beside_a_partitioned_owner(seconds(2), |sim| sim.hand_over("kacyiru"));
}

// The same with a successor that hasn't yet found the VM silent as it hands the shard over.
#[test]
fn a_vm_that_the_last_owner_never_reached_is_handed_over_with_its_time() {
    replace_beside_a_partitioned_owner(Duration::from_millis(300), |sim| sim.hand_over("kacyiru"));
}

// The same with a successor that is killed: what it knew of the partitioned owner is in the head.
#[test]
fn an_owner_before_the_last_may_still_extend_a_vm_whose_next_owner_is_killed() {
    replace_beside_a_partitioned_owner(seconds(6), |sim| sim.replace_owner("kacyiru"));
}

// The same with a successor that has handed the shard over to one that is killed before its first
// commit.
#[test]
fn an_owner_before_a_hand_over_may_still_extend_a_vm_whose_next_owner_is_killed() {
    replace_beside_a_partitioned_owner(seconds(6), |sim| {
        sim.hand_over("kacyiru");
        sim.replace_owner("kacyiru");
    });
}

// Guards against tasks that run twice behind a long partition: nothing tells the partitioned owner,
// which goes on reaching its VM, that it was replaced.
#[test]
fn a_partitioned_owner_stops_before_its_successor_counts_on_it() {
    let mut sim = Simulation::new(NoFaults, &["kacyiru"], 2, SIZE);
    let job = job_with_steps(1, 1, 1, work(0, 2));
    sim.submit("kacyiru", job.clone());
    sim.run_for(seconds(20));
    let there = usize::from(sim.runs_on(0) == 0);
    sim.partition_owner("kacyiru", there);
    sim.run_for(seconds(60));
    assert_eq!((sim.runs_on(there), sim.runs_on(1 - there)), (0, 1));
    check(&mut sim, &known(&job), SIZE);
}

/// Partitions an owner with the VM of its task, and returns how long the task ran on there and when
/// it started elsewhere.
fn times_behind_a_partition(max_keep: Duration) -> (Duration, Duration) {
    let mut sim = Simulation::with_max_keep(NoFaults, &["kacyiru"], 2, SIZE, max_keep);
    let job = job_with_steps(1, 1, 1, work(0, 2));
    sim.submit("kacyiru", job.clone());
    sim.run_for(seconds(20));
    let there = usize::from(sim.runs_on(0) == 0);
    let start = sim.now;
    sim.partition_owner("kacyiru", there);
    let mut after = |place| {
        while sim.runs_on(place) == usize::from(place == there) {
            sim.run_for(Duration::from_millis(20));
            assert!(sim.now < start + seconds(60), "{max_keep:?}");
        }
        sim.now - start
    };
    let times = (after(there), after(1 - there));
    check(&mut sim, &known(&job), SIZE);
    times
}

// Guards against tasks that wait for an owner's time without a proof and for a whole lease after
// that, where the owner's leases could end sooner.
#[test]
fn the_last_lease_of_a_partitioned_owner_ends_a_fixed_time_after_its_proof() {
    for max_keep in [1, 6, 10, 12].map(seconds) {
        let (ended, started) = times_behind_a_partition(max_keep);
        assert!(ended <= MAX_LEASE_AFTER_PROOF, "{max_keep:?}: ended after {ended:?}");
        assert!(ended >= seconds(8), "{max_keep:?}: ended after {ended:?}");
        let margin = max_keep.mul_f64(CLOCK_DRIFT) + EXPIRY_MARGIN;
        let ready = MAX_LEASE_AFTER_PROOF + margin;
        assert!(ended + margin <= started, "{max_keep:?}: started after {started:?}");
        assert!(started <= ready + RESTART_TIME, "{max_keep:?}: started after {started:?}");
    }
}

// Guards against leases that are always cut short where a whole one is longer than the fixed time.
#[test]
fn long_leases_end_a_whole_lease_after_the_proof() {
    let max_keep = seconds(20);
    let (ended, started) = times_behind_a_partition(max_keep);
    assert!(ended <= max_keep && ended >= seconds(16), "ended after {ended:?}");
    let margin = max_keep.mul_f64(CLOCK_DRIFT) + EXPIRY_MARGIN;
    assert!(ended + margin <= started, "started after {started:?}");
    assert!(started <= max_keep + margin + RESTART_TIME, "started after {started:?}");
}

const PORTS: [LostPort; 2] = [LostPort::Refusing, LostPort::Silent];

/// Longest time by which the record of a silence in the store may exceed what its owner knows.
const RECORD_AGE: Duration = Duration::from_millis(1300);

/// Time from the loss of a task's VM until the task runs on the other one, while nothing that owners
/// publish arrives.
fn time_to_restart(port: LostPort, disturb: impl FnOnce(&mut Simulation<NoFaults>)) -> Duration {
    let (mut sim, job, there) = simulation_with_task();
    sim.lose_published_lapses();
    let took = time_to_restart_of(&mut sim, there, port, disturb);
    check(&mut sim, &known(&job), SIZE);
    took
}

/// Loses the VM of the only task, and returns the time until the task runs on the other one.
fn time_to_restart_of(
    sim: &mut Simulation<NoFaults>,
    there: usize,
    port: LostPort,
    disturb: impl FnOnce(&mut Simulation<NoFaults>),
) -> Duration {
    let from = sim.now;
    sim.lose_vm(there, port);
    disturb(sim);
    while sim.runs_on(1 - there) == 0 {
        assert!(sim.now < from + seconds(60), "the task starts nowhere");
        sim.run_for(Duration::from_millis(20));
    }
    sim.now - from
}

fn time_to_restart_undisturbed(port: LostPort) -> Duration {
    time_to_restart(port, |_| ())
}

fn check_restart_time(port: LostPort, took: Duration, changes: u32) {
    let most = time_to_restart_undisturbed(port) + changes * RECORD_AGE;
    assert!(took <= most, "{port:?}: the task restarts after {took:?}, not {most:?}");
}

// Guards against a long-running task that stays down for a lease and 12 s: its owner froze within a
// second of noticing that its VM refused connections, and what the owner published was lost.
#[test]
fn a_task_of_a_refusing_vm_restarts_in_time_if_its_owner_soon_freezes() {
    let took = time_to_restart(LostPort::Refusing, |sim| {
        sim.run_for(Duration::from_millis(2300));
        sim.pause_owner("kacyiru", seconds(60));
    });
    check_restart_time(LostPort::Refusing, took, 1);
}

// Guards against a record that waits for the next change or renewal of the ownership.
#[test]
fn a_refusing_vm_is_recorded_by_a_commit_of_its_own() {
    let (mut sim, job, there) = simulation_with_task();
    sim.lose_vm(there, LostPort::Refusing);
    sim.run_for(Duration::from_millis(1500));
    let record = sim.kv.get(&Keys::new("kacyiru").silence()).expect("a record");
    let silent = SilentVm::decode_all(&record.value).expect("silent VMs");
    let vms: Vec<_> = silent.iter().map(|silent| silent.vm.clone()).collect();
    assert_eq!(vms, [sim.vms[there].entry.id.clone()]);
    check(&mut sim, &known(&job), SIZE);
}

// Guards against a next owner that counts a whole lease from its claim, although the silence was
// recorded before and the owner has ended.
#[test]
fn a_task_of_a_recorded_vm_restarts_in_time_after_its_owner_is_killed() {
    for port in PORTS {
        let took = time_to_restart(port, |sim| {
            sim.run_for(seconds(5));
            sim.replace_owner("kacyiru");
        });
        check_restart_time(port, took, 1);
    }
}

// The same with an owner that freezes, and may be active for all that the next one knows.
#[test]
fn a_task_of_a_recorded_vm_restarts_in_time_after_its_owner_freezes() {
    for port in PORTS {
        let took = time_to_restart(port, |sim| {
            sim.run_for(seconds(5));
            sim.pause_owner("kacyiru", seconds(60));
        });
        check_restart_time(port, took, 1);
    }
}

// Guards against a silence that began during an outage of the store and isn't recorded once the store
// is back: the owner freezes before the silence has lasted for 3 s.
#[test]
fn a_silence_from_an_outage_of_the_store_is_recorded_once_the_store_is_back() {
    for port in PORTS {
        let (mut sim, job, there) = simulation_with_task();
        sim.lose_published_lapses();
        sim.stop_store(Duration::from_millis(3500));
        sim.run_for(Duration::from_millis(1200));
        let took = time_to_restart_of(&mut sim, there, port, |sim| {
            sim.run_for(Duration::from_millis(2700));
            sim.pause_owner("kacyiru", seconds(60));
        });
        check_restart_time(port, took, 1);
        check(&mut sim, &known(&job), SIZE);
    }
}

// Guards against a record that keeps the time at which it was first sent to a store that was away.
#[test]
fn a_record_that_waited_for_the_store_is_written_again() {
    for port in PORTS {
        let took = time_to_restart(port, |sim| {
            sim.run_for(seconds(1));
            sim.stop_store(seconds(4));
            sim.run_for(Duration::from_millis(4400));
            sim.replace_owner("kacyiru");
        });
        check_restart_time(port, took, 1);
    }
}

// Guards against a chain of owners that each wait anew: the second one has never reached the VM, and
// freezes as well.
#[test]
fn the_time_left_survives_a_second_owner_that_never_reached_the_vm() {
    for port in PORTS {
        let took = time_to_restart(port, |sim| {
            sim.run_for(Duration::from_millis(3500));
            for _ in 0..2 {
                sim.pause_owner("kacyiru", seconds(60));
                sim.run_for(Duration::from_millis(1500));
            }
        });
        check_restart_time(port, took, 2);
    }
}

// Guards against a next owner that counts anew on the one before the last, since the last one hadn't
// reached the VM and recorded nothing of it.
#[test]
fn a_vm_that_its_owner_never_reached_is_recorded() {
    let freeze = |sim: &mut Simulation<NoFaults>| {
        sim.run_for(Duration::from_millis(500));
        sim.pause_owner("kacyiru", seconds(60));
    };
    for port in PORTS {
        let took = time_to_restart(port, |sim| {
            freeze(sim);
            sim.run_for(seconds(4));
            sim.pause_owner("kacyiru", seconds(60));
        });
        let most = time_to_restart(port, freeze) + RECORD_AGE;
        assert!(took <= most, "{port:?}: the task restarts after {took:?}, not {most:?}");
    }
}

// Guards against work that lapses on a sound VM: its port refused connections for a moment, which is
// recorded, and the record must be withdrawn before the VM's lease is extended again.
#[test]
fn a_vm_whose_port_refuses_for_a_moment_keeps_its_work() {
    let (mut sim, job, there) = simulation_with_task();
    sim.refuse_calls(there, Duration::from_millis(2500));
    sim.run_for(seconds(20));
    assert_eq!((sim.runs_on(there), sim.runs_on(1 - there)), (1, 0));
    assert_eq!(sim.starts.len(), 1, "the task was started again");
    check(&mut sim, &known(&job), SIZE);
}

// A VM whose port refused for a moment is extended again, and then both it and its owner are cut off.
// Guards against a next owner that goes by the withdrawn record, and starts the task twice.
#[test]
fn a_withdrawn_time_counts_no_more() {
    let (mut sim, job, there) = simulation_with_task();
    sim.refuse_calls(there, seconds(4));
    sim.run_for(seconds(7));
    sim.disconnect_vm(there, seconds(60));
    sim.pause_owner("kacyiru", seconds(60));
    sim.run_for(seconds(5));
    assert_eq!((sim.runs_on(there), sim.runs_on(1 - there)), (1, 0));
    sim.run_for(seconds(20));
    assert_eq!((sim.runs_on(there), sim.runs_on(1 - there)), (0, 1));
    check(&mut sim, &known(&job), SIZE);
}

// The same with an owner that is replaced while the VM answers it and the record's withdrawal waits
// for the store. Guards against an owner that extends a VM by a withdrawal that isn't durable.
#[test]
fn a_vm_is_not_extended_while_its_record_is_being_withdrawn() {
    for held in [2600, 2800, 3000, 4000] {
        let (mut sim, job, there) = simulation_with_task();
        sim.refuse_calls(there, Duration::from_millis(2200));
        sim.run_for(Duration::from_millis(2150));
        sim.partition_owner("kacyiru", there);
        sim.run_for(Duration::from_millis(held));
        sim.replace_owner("kacyiru");
        sim.run_for(seconds(30));
        assert_eq!(sim.runs_on(there) + sim.runs_on(1 - there), 1);
        check(&mut sim, &known(&job), SIZE);
    }
}

// Guards against an owner that starts nothing any more: its proof of ownership has expired while no
// VM was there, and with no run and no change it made no commit to renew it.
#[test]
fn an_owner_without_runs_keeps_its_proof_of_ownership() {
    let mut sim = Simulation::new(NoFaults, &["kacyiru"], 1, SIZE);
    let job = job_with_steps(1, 1, 1, work(500, 2));
    sim.disconnect_vm(0, seconds(20));
    sim.run_for(seconds(2));
    sim.submit("kacyiru", job.clone());
    sim.run_for(seconds(24));
    assert_eq!(sim.show("kacyiru", job.id), Some(Answer::Shown(JobState::Done)));
    check(&mut sim, &known(&job), SIZE);
}

// Guards against a record that is written only once a VM counts as silent: the owner freezes before
// that, and the next one waits for it and for a lease.
#[test]
fn a_task_of_a_refusing_vm_restarts_in_time_if_its_owner_freezes_within_a_second() {
    for frozen_after in [850, 1000, 1150] {
        let took = time_to_restart(LostPort::Refusing, |sim| {
            sim.run_for(Duration::from_millis(frozen_after));
            sim.pause_owner("kacyiru", seconds(60));
        });
        check_restart_time(LostPort::Refusing, took, 1);
    }
}

// Guards against an owner that hands a shard over, and doesn't tell of a VM that doesn't count as
// silent yet.
#[test]
fn a_vm_that_left_a_poll_unanswered_is_handed_over_with_its_time() {
    for port in PORTS {
        let took = time_to_restart(port, |sim| {
            sim.run_for(Duration::from_millis(1000));
            sim.hand_over("kacyiru");
        });
        check_restart_time(port, took, 0);
    }
}

/// Reads the VMs that are recorded as silent.
fn recorded_vms(sim: &mut Simulation<NoFaults>) -> Vec<VmId> {
    let record = sim.kv.get(&Keys::new("kacyiru").silence());
    let silent = record.map(|item| SilentVm::decode_all(&item.value).expect("silent VMs"));
    silent.unwrap_or_default().into_iter().map(|silent| silent.vm).collect()
}

// Guards against a commit for each of many VMs whose connections a cut refuses, and against work that
// lapses as the cut ends.
#[test]
fn vms_that_refuse_connections_together_are_recorded_by_few_commits() {
    let mut sim = Simulation::new(NoFaults, &["kacyiru"], 20, SIZE);
    let job = job_with_steps(1, 1, 20, Work { size: SIZE, ..work(0, 8) });
    sim.submit("kacyiru", job.clone());
    sim.run_for(seconds(3));
    assert_eq!(sim.running_tasks(job.id), 20);
    let before = sim.kv.revision();
    for index in 0..20 {
        sim.refuse_calls(index, Duration::from_millis(1100));
    }
    sim.run_for(Duration::from_millis(1100));
    let commits = sim.kv.revision().0 - before.0;
    assert_eq!(recorded_vms(&mut sim).len(), 20);
    assert!(commits <= 6, "{commits} commits");
    sim.run_for(seconds(20));
    assert_eq!(recorded_vms(&mut sim), []);
    assert_eq!((sim.starts.len(), sim.running_tasks(job.id)), (20, 20));
    check(&mut sim, &known(&job), SIZE);
}

// Guards against a record that costs two commits for a single refused connection.
#[test]
fn a_vm_that_refuses_one_connection_is_not_recorded() {
    let (mut sim, job, there) = simulation_with_task();
    sim.run_for(seconds(1));
    for _ in 0..10 {
        sim.refuse_calls(there, Duration::from_millis(150));
        for _ in 0..40 {
            sim.run_for(Duration::from_millis(20));
            assert_eq!(recorded_vms(&mut sim), []);
        }
    }
    check(&mut sim, &known(&job), SIZE);
}

/// VMs fall silent, refuse connections for a while or are lost, while owners are replaced, the store
/// is away and commands are late or lost. Nothing that owners publish arrives after a while.
fn simulate_silences(seed: u64) -> (Simulation<RandomFaults>, Job) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let until = seconds(30);
    let faults = RandomFaults::new(seed, rng.random_range(0..80), until);
    let mut sim = Simulation::new(faults, &["kacyiru"], 3, SIZE);
    let job = job_with_steps(1, 1, 4, work(0, 2));
    sim.submit("kacyiru", job.clone());
    let mut millis = |range| Duration::from_millis(rng.random_range(range));
    sim.run_for(millis(500..4000));
    while sim.now < until {
        let vm = usize::from(millis(0..2).as_millis() == 0);
        match millis(0..9).as_millis() {
            0 | 1 => sim.refuse_calls(vm, millis(200..7000)),
            2 => sim.disconnect_vm(vm, millis(200..7000)),
            3 => sim.crash_vm(vm, millis(200..9000)),
            4 => sim.stop_store(millis(200..4000)),
            5 => sim.pause_owner("kacyiru", millis(200..9000)),
            6 => sim.replace_owner("kacyiru"),
            7 => sim.hand_over("kacyiru"),
            _ => sim.lose_published_lapses(),
        }
        sim.run_for(millis(20..2500));
    }
    sim.run_for(seconds(45));
    (sim, job)
}

#[test]
fn promises_hold_while_silent_vms_change_owners() {
    for seed in seeds(0..60) {
        println!("seed {seed}");
        let (mut sim, job) = simulate_silences(seed);
        assert_eq!(sim.running_tasks(job.id), 4);
        check(&mut sim, &known(&job), SIZE);
    }
}
