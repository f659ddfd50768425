//! When runs on leaving VMs are stopped, by an owner that has just taken over too.

use crate::faults::{Faults, NoFaults, Outcome};
use crate::invariants::check;
use crate::jobs::{job_with_steps, work};
use crate::world::Simulation;
use indexmap::IndexMap;
use std::time::Duration;
use waxwingstall::job::{Job, Resume};
use waxwingstall::note::Note;
use waxwingstall::shard::Action;
use waxwingstall::units::Resources;
use waxwingstall::vm::EndKind;
use waxwingstall_standin::runs::{Seen, Work};

const SIZE: Resources = Resources::new(8000, 8000, 0);
const SHARD: &str = "kacyiru";
const NOTICE: Duration = Duration::from_secs(4);

/// Notice of a VM that stays for longer than a lease.
const LONG_NOTICE: Duration = Duration::from_secs(12);

/// Longest time for which VMs keep their tasks running without another poll.
const KEEP: Duration = Duration::from_secs(10);

/// Longest time that a long-running task may be down beside room.
const MAX_DOWNTIME: Duration = Duration::from_secs(6);

/// Longer than a stop takes.
const STOPPED: Duration = Duration::from_secs(2);

fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn millis(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Two VMs and a task, and the index of the VM that the task runs on.
fn simulation_with<F: Faults>(faults: F, work: Work) -> (Simulation<F>, Job, usize) {
    let mut sim = Simulation::with_max_keep(faults, &[SHARD], 2, SIZE, KEEP);
    let mut job = job_with_steps(1, 1, 1, work);
    job.steps[0].resume = Resume::FromStart;
    sim.submit(SHARD, job.clone());
    sim.run_for(seconds(1));
    let there = (0..2).find(|i| sim.runs_on(*i) == 1).expect("it started");
    (sim, job, there)
}

fn check_all<F: Faults>(sim: &mut Simulation<F>, job: Job) {
    check(sim, &IndexMap::from([(job.id, job)]), SIZE);
}

/// How the runs on a VM have ended.
fn ends<F: Faults>(sim: &Simulation<F>, index: usize) -> Vec<EndKind> {
    let seen = sim.vms[index].table.seen.iter();
    let ends = seen.filter_map(|seen| match seen {
        Seen::Ended { outcome, .. } => Some(*outcome),
        _ => None,
    });
    ends.collect()
}

// Guards against a run that is lost with its VM, since a new owner counted the notice from when it
// read the announcement.
#[test]
fn a_new_owner_counts_a_notice_from_its_announcement() {
    let (mut sim, job, there) = simulation_with(NoFaults, work(40_000, 2));
    sim.depart_vm_timed(there, NOTICE);
    sim.run_for(NOTICE / 2);
    sim.replace_owner(SHARD);
    sim.run_for(NOTICE);
    assert_eq!(ends(&sim, there), [EndKind::Stopped]);
    check_all(&mut sim, job);
}

// Guards against the same if the first announcement was read late and its age is unknown: a later one
// whose age is known did not count.
#[test]
fn a_later_announcement_corrects_an_assumed_notice() {
    let (mut sim, job, there) = simulation_with(NoFaults, work(40_000, 2));
    sim.block_vm_list(NOTICE / 2);
    sim.depart_vm(there, NOTICE);
    sim.run_for(NOTICE / 2 + millis(500));
    sim.repeat_notice(there);
    sim.run_for(NOTICE);
    assert_eq!(ends(&sim, there), [EndKind::Stopped]);
    check_all(&mut sim, job);
}

// Guards against the same if the age of the first announcement was estimated: a later one that leaves
// less time did not count.
#[test]
fn a_later_announcement_corrects_an_estimated_notice() {
    let (mut sim, job, there) = simulation_with(NoFaults, work(40_000, 2));
    sim.block_vm_list(NOTICE / 2);
    sim.depart_vm_estimated(there, NOTICE, NOTICE / 2);
    sim.run_for(NOTICE / 2 + millis(500));
    sim.repeat_notice(there);
    sim.run_for(NOTICE);
    assert_eq!(ends(&sim, there), [EndKind::Stopped]);
    check_all(&mut sim, job);
}

// Guards against a run that is stopped too late: of two announcements of unknown age, the one that
// was read first counted, also if the other one leaves less time.
#[test]
fn the_least_assumed_notice_counts() {
    let (mut sim, job, there) = simulation_with(NoFaults, work(40_000, 2));
    sim.block_vm_list(NOTICE / 2);
    sim.depart_vm(there, NOTICE);
    sim.run_for(NOTICE / 2 + millis(500));
    sim.repeat_notice(there);
    sim.vms[there].entry.announced_after = None;
    sim.run_for(NOTICE);
    assert_eq!(ends(&sim, there), [EndKind::Stopped]);
    check_all(&mut sim, job);
}

/// VMs answer stop commands and don't carry them out.
struct IgnoredStops;

impl Faults for IgnoredStops {
    fn command_outcome(&mut self, _: Duration, action: &Action) -> Outcome {
        let is_stop = matches!(action, Action::Stop { .. });
        if is_stop { Outcome::Ignored } else { Outcome::Delivered }
    }

    fn message_outcome(&mut self, _: Duration) -> Outcome {
        Outcome::Delivered
    }
}

// Guards against a task that is down for long after its VM has left, since the lease of a VM whose
// announcement was read late was extended for the whole notice once more.
#[test]
fn the_lease_of_a_leaving_vm_follows_the_time_of_its_announcement() {
    let (mut sim, job, there) = simulation_with(IgnoredStops, work(0, 2));
    sim.hide_departures();
    sim.block_vm_list(seconds(3));
    sim.depart_vm_timed(there, LONG_NOTICE);
    sim.run_for(LONG_NOTICE + MAX_DOWNTIME);
    assert_eq!(sim.runs_on(1 - there), 1, "the lease was extended until the VM left");
    check_all(&mut sim, job);
}

/// Stages and reasons of the runs that are logged as staying on a leaving VM.
fn staying<F: Faults>(sim: &Simulation<F>) -> Vec<(&'static str, &'static str)> {
    let staying = sim.left_runs.iter().filter_map(|note| match note {
        Note::RunStays { stage, reason, .. } => Some((*stage, *reason)),
        _ => None,
    });
    staying.collect()
}

// Guards against a run that leaves with its VM and of which no line tells why it wasn't stopped.
#[test]
fn a_run_that_stays_on_a_leaving_vm_is_logged_with_the_reason() {
    let (mut sim, job, there) = simulation_with(NoFaults, work(0, 2));
    sim.disconnect_vm(there, seconds(60));
    sim.run_for(seconds(3));
    sim.depart_vm_timed(there, NOTICE);
    sim.run_for(NOTICE - millis(100));
    let lines = staying(&sim);
    assert!(lines.iter().all(|line| *line == ("running", "its VM does not answer")), "{lines:?}");
    assert_eq!(lines.len(), 3, "one line a second");
    check_all(&mut sim, job);
}

// The same for a stop that isn't carried out.
#[test]
fn a_stop_that_is_not_carried_out_is_logged() {
    let (mut sim, job, there) = simulation_with(IgnoredStops, work(0, 2));
    sim.depart_vm_timed(there, NOTICE);
    sim.run_for(NOTICE - millis(100));
    assert!(staying(&sim).contains(&("stop-answered", "its end is not reported")));
    check_all(&mut sim, job);
}

// Guards against a run of which no line tells that it left with its VM, since the VM left before its
// shard's owner was replaced.
#[test]
fn a_run_on_a_vm_that_a_new_owner_does_not_find_is_logged() {
    let (mut sim, job, there) = simulation_with(NoFaults, work(0, 2));
    sim.hide_departures();
    sim.disconnect_vm(there, seconds(60));
    sim.depart_vm_timed(there, millis(200));
    sim.run_for(millis(220));
    sim.replace_owner(SHARD);
    sim.run_for(seconds(1));
    let is_left = |note: &Note| matches!(note, Note::RunLeftBehind { stage: "recovered", .. });
    assert_eq!(sim.left_runs.iter().filter(|note| is_left(note)).count(), 1);
    check_all(&mut sim, job);
}

/// The first stop command gets lost inside the daemon: no result of it is ever reported.
struct UnreportedStop {
    left: u32,
}

impl Faults for UnreportedStop {
    fn command_outcome(&mut self, _: Duration, action: &Action) -> Outcome {
        if !matches!(action, Action::Stop { .. }) || self.left == 0 {
            return Outcome::Delivered;
        }
        self.left -= 1;
        Outcome::Unreported
    }

    fn message_outcome(&mut self, _: Duration) -> Outcome {
        Outcome::Delivered
    }
}

// Guards against a run that nothing stops any more: no result of its stop is reported, and the stop
// was not repeated.
#[test]
fn a_stop_without_any_result_is_repeated() {
    let (mut sim, job, there) = simulation_with(UnreportedStop { left: 1 }, work(0, 2));
    sim.depart_vm_timed(there, NOTICE);
    sim.run_for(STOPPED);
    assert_eq!(sim.runs_on(1 - there), 1, "the task stays on its VM until that leaves");
    check_all(&mut sim, job);
}
