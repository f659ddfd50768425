//! Tasks that run a second time although their first run has ended.

use crate::faults::{Faults, NoFaults, Outcome};
use crate::jobs::{job_with_steps, work};
use crate::world::{SHOW_FOR, Simulation, VmNode};
use std::time::Duration;
use waxwingstall::job::Job;
use waxwingstall::shard::{Action, Keys};
use waxwingstall::units::Resources;
use waxwingstall_standin::runs::Seen;

const SIZE: Resources = Resources::new(8000, 8000, 0);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// The VM at `addr` takes `delay` to answer from a given time on.
struct SlowVm {
    addr: &'static str,
    from: Duration,
    delay: Duration,
}

impl Faults for SlowVm {
    fn command_outcome(&mut self, now: Duration, action: &Action) -> Outcome {
        let (Action::Poll { vm, .. }
        | Action::Start { vm, .. }
        | Action::Stop { vm, .. }
        | Action::Pace { vm, .. }) = action
        else {
            return Outcome::Delivered;
        };
        let slow = now >= self.from && *vm.addr == *self.addr;
        if slow { Outcome::Slow(self.delay) } else { Outcome::Delivered }
    }

    fn message_outcome(&mut self, _: Duration) -> Outcome {
        Outcome::Delivered
    }
}

/// Number of runs that a VM has started.
fn starts(vm: &VmNode) -> usize {
    vm.table.seen.iter().filter(|seen| matches!(seen, Seen::Started { .. })).count()
}

// Guards against a task that is done and runs again because its owner gives up on every answer of
// a VM: a crowded link delayed them, each time a little beyond the timeout, until the lease ended.
#[test]
#[ignore = "known to fail, see KNOWN-RED.txt"]
fn a_task_that_is_done_on_a_vm_that_answers_late_runs_once() {
    let faults = SlowVm { addr: "kacyiru:0", from: ms(7000), delay: ms(600) };
    let mut sim = Simulation::new(faults, &["kacyiru"], 2, SIZE);
    let job = job_with_steps(1, 1, 1, work(3000, 8));
    sim.submit("kacyiru", job);
    sim.run_for(ms(1200));
    assert_eq!(sim.runs_on(0), 1, "the task runs on the VM that is slow later");
    sim.run_for(Duration::from_secs(15));
    assert_eq!([starts(&sim.vms[0]), starts(&sim.vms[1])], [1, 0], "starts on each VM");
}

// Guards against a finished job whose entries stay in the store: they were deleted in the same commit
// as a job that another shard already had, which the store refused, and not in a later one.
#[test]
fn an_expired_job_is_deleted_although_its_commit_had_a_duplicate_job() {
    let shards = ["kacyiru", "remera"];
    let mut sim = Simulation::new(NoFaults, &shards, 1, SIZE);
    let (expiring, elsewhere) = (job_with_steps(1, 1, 1, work(300, 1)), lasting(2));
    sim.submit(shards[0], expiring.clone());
    sim.submit(shards[1], elsewhere.clone());
    sim.run_for(SHOW_FOR);
    assert!(sim.kv.get(&Keys::id(expiring.id)).is_some(), "its state is still shown");
    let until = sim.now + Duration::from_secs(10);
    while sim.now < until {
        sim.submit(shards[0], elsewhere.clone());
        sim.run_for(ms(10));
    }
    sim.run_for(ms(500));
    assert_eq!(sim.kv.get(&Keys::id(expiring.id)), None);
}

fn lasting(id: u64) -> Job {
    job_with_steps(id, 1, 1, work(0, 1))
}
