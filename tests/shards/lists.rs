//! Behaviour of a shard whose list of VMs is out of date.

use crate::faults::NoFaults;
use crate::invariants::check;
use crate::jobs::{job_with_steps, work};
use crate::world::Simulation;
use indexmap::IndexMap;
use std::time::Duration;
use waxwingstall::job::JobState;
use waxwingstall::shard::Answer;
use waxwingstall::units::Resources;

const SIZE: Resources = Resources::new(8000, 8000, 0);

/// Time after a VM's leaving notice from which nothing may start there.
const LAST_START: Duration = Duration::from_secs(2);

fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

// Guards against tasks lost with a VM that had announced long before that it was leaving: the owner
// could not read the list of VMs while the store still accepted its commits, and kept using the old
// list. It must start nothing until it has read the list again.
#[test]
fn nothing_is_started_by_a_list_of_vms_that_has_become_old() {
    let mut sim = Simulation::new(NoFaults, &["kacyiru"], 2, SIZE);
    sim.run_for(seconds(1));
    sim.block_vm_list(seconds(6));
    sim.run_for(Duration::from_millis(200));
    sim.leave_vm(0, seconds(8));
    sim.run_for(LAST_START);
    let job = job_with_steps(1, 1, 6, work(700, 2));
    sim.submit("kacyiru", job.clone());
    for _ in 0..30 {
        sim.run_for(Duration::from_millis(100));
        assert_eq!(sim.runs_on(0), 0, "a task runs on a leaving VM");
    }
    sim.run_for(seconds(4));
    assert_eq!(sim.show("kacyiru", job.id), Some(Answer::Shown(JobState::Done)));
    check(&mut sim, &IndexMap::from([(job.id, job)]), SIZE);
}

// The same failure, with a start that was decided in time but sent too late. The store fails while
// tasks are being bound, and a VM announces during the outage that it is leaving. When the store
// recovers, the bindings are durable shortly before the list is read again, and the tasks were
// started immediately.
#[test]
fn a_start_decided_before_an_outage_waits_for_the_list_of_vms() {
    for moment in (0..100).step_by(5) {
        let mut sim = Simulation::new(NoFaults, &["kacyiru"], 2, SIZE);
        sim.run_for(seconds(1));
        let job = job_with_steps(1, 1, 6, work(700, 2));
        sim.submit("kacyiru", job.clone());
        sim.run_for(Duration::from_millis(moment));
        sim.stop_store(seconds(4));
        sim.run_for(seconds(2));
        sim.leave_vm(0, seconds(8));
        for _ in 0..50 {
            sim.run_for(Duration::from_millis(100));
            assert_eq!(sim.runs_on(0), 0, "a task runs on a leaving VM, {moment} ms");
        }
        sim.run_for(seconds(3));
        assert_eq!(sim.show("kacyiru", job.id), Some(Answer::Shown(JobState::Done)));
        check(&mut sim, &IndexMap::from([(job.id, job)]), SIZE);
    }
}

// Guards against a task that runs twice at once. Its VM restarted at the same address and got the
// task as a new instance; then a daemon that had read the list of VMs before the restart became the
// owner. It knew the old instance from the list and the new one only from the binding, and took the
// new one for the dead one: it started the task elsewhere and never used the VM again.
#[test]
fn a_life_that_an_old_list_lacks_is_not_taken_for_over() {
    let mut sim = Simulation::new(NoFaults, &["kacyiru"], 2, SIZE);
    sim.run_for(seconds(1));
    sim.keep_outdated_list("kacyiru");
    sim.crash_vm(0, Duration::from_millis(300));
    sim.run_for(seconds(1));
    let job = job_with_steps(1, 1, 4, work(4000, 2));
    sim.submit("kacyiru", job.clone());
    sim.run_for(Duration::from_millis(500));
    assert!(sim.runs_on(0) > 0, "the task runs on the new instance");
    sim.replace_owner("kacyiru");
    sim.run_for(seconds(12));
    check(&mut sim, &IndexMap::from([(job.id, job.clone())]), SIZE);
    assert_eq!(sim.show("kacyiru", job.id), Some(Answer::Shown(JobState::Done)));
}

// Guards against a delay of 0.4 s at most takeovers. The list of VMs is requested as soon as a
// claim succeeds; the control thread hears of the claim slightly later and treated the list as
// older than the claim. The age of the list is known, and is a few milliseconds.
#[test]
fn a_list_asked_for_as_the_claim_succeeded_counts() {
    let mut sim = Simulation::new(NoFaults, &["kacyiru"], 2, SIZE);
    let job = job_with_steps(1, 1, 6, work(700, 2));
    sim.submit("kacyiru", job);
    sim.run_for(Duration::from_millis(840));
    let asked = sim.now;
    sim.run_for(Duration::from_millis(20));
    sim.block_vm_list(seconds(2));
    sim.replace_owner("kacyiru");
    sim.send_vm_list("kacyiru", asked);
    let next = job_with_steps(2, 1, 2, work(700, 2));
    sim.submit("kacyiru", next);
    sim.run_for(Duration::from_millis(300));
    assert!(sim.runs_on(0) + sim.runs_on(1) > 0, "a list 20 ms old is recent enough");
}
