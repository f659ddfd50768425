//! Steps that may run only on VMs permitted by an external service.

use crate::faults::{Faults, RandomFaults, Sound};
use crate::invariants::check;
use crate::jobs::{chain, work};
use crate::world::World;
use indexmap::IndexMap;
use std::time::Duration;
use waxwingstall::job::{Job, JobId, ShownState};
use waxwingstall::shard::Answer;
use waxwingstall::units::Resources;
use waxwingstall_standin::permits::PermitTable;

const SIZE: Resources = Resources::new(8000, 8000, 0);
const VALID: Duration = Duration::from_secs(3);

fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn world<F: Faults>(faults: F, percent: u64, vms: usize) -> World<F> {
    World::new(faults, &["kacyiru"], vms, SIZE).with_permits(PermitTable::new(percent, VALID))
}

fn known(jobs: &[Job]) -> IndexMap<JobId, Job> {
    jobs.iter().map(|job| (job.id, job.clone())).collect()
}

fn submit_all<F: Faults>(world: &mut World<F>, jobs: &[Job]) {
    for job in jobs {
        world.submit("kacyiru", job.clone());
    }
}

fn table<F: Faults>(world: &World<F>) -> &PermitTable {
    world.permits.as_ref().expect("the world has permits")
}

// Each of two steps may run on about half of ten VMs, which only the service knows. Every start
// must carry a valid permit, no VM may be asked about twice for the same step, and both steps must
// complete.
#[test]
fn tasks_start_only_where_they_are_permitted() {
    let mut world = world(Sound, 50, 10);
    let job = chain(1, 2, 6, work(500, 2));
    world.submit("kacyiru", job.clone());
    world.run_for(seconds(4));
    assert_eq!(world.show("kacyiru", job.id), Some(Answer::Shown(ShownState::Done)));
    check(&mut world, &known(&[job]), SIZE);
    assert_eq!(table(&world).refused, 0);
    for (step, vms) in &table(&world).asked {
        let again = |vm: &&_| {
            table(&world).asked.iter().filter(|(s, v)| s == step && v.contains(vm)).count() > 1
        };
        assert_eq!(vms.iter().find(again), None, "step {step} is asked about twice");
    }
}

// Only four of a step's eight tasks fit at a time, and the other four start after the first permits
// have expired. Permits must be renewed in time, so that no start is refused.
#[test]
fn permits_are_renewed_for_tasks_that_waited_long() {
    let mut world = world(Sound, 100, 1);
    let job = chain(1, 1, 8, work(3500, 2));
    world.submit("kacyiru", job.clone());
    world.run_for(seconds(9));
    assert_eq!(world.show("kacyiru", job.id), Some(Answer::Shown(ShownState::Done)));
    check(&mut world, &known(&[job]), SIZE);
    assert_eq!(table(&world).refused, 0);
    assert!(table(&world).asked.len() >= 2, "{:?}", table(&world).asked);
}

// The service handles one request at a time. With thirty waiting jobs, at most one request may be
// in flight, so that the request for an urgent job never queues behind thirty others.
#[test]
fn permit_requests_are_sent_one_at_a_time() {
    let mut world = world(Sound, 50, 10);
    let jobs: Vec<Job> = (1..=30).map(|id| chain(id, 1, 1, work(200, 1))).collect();
    submit_all(&mut world, &jobs);
    world.run_for(Duration::from_millis(30));
    assert!(table(&world).asked.len() <= 1, "{:?}", table(&world).asked);
    world.run_for(seconds(5));
    for job in &jobs {
        assert_eq!(world.show("kacyiru", job.id), Some(Answer::Shown(ShownState::Done)));
    }
    check(&mut world, &known(&jobs), SIZE);
}

// 30 % of commands, messages and permit requests are lost, unanswered or delayed for ten seconds,
// and the owner is replaced meanwhile. Requests must be retried, and each job must complete exactly
// once.
#[test]
fn a_lost_permit_request_is_retried() {
    let faults = RandomFaults::new(7, 300, seconds(15));
    let mut world = world(faults, 60, 6);
    let jobs: Vec<Job> = (1..=6).map(|id| chain(id, 2, 3, work(300, 2))).collect();
    submit_all(&mut world, &jobs);
    world.run_for(seconds(3));
    world.replace_owner("kacyiru");
    world.run_for(seconds(40));
    for job in &jobs {
        assert_eq!(world.show("kacyiru", job.id), Some(Answer::Shown(ShownState::Done)));
    }
    check(&mut world, &known(&jobs), SIZE);
}
