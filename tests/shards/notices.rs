//! Long-running tasks on VMs that leave as announced while their shards change owners.
//!
//! Each owner knows only what its daemon has read of the announcements itself, up to 3 s after they
//! were written, or looked up in the store's history after its claim.

use crate::faults::NoFaults;
use crate::invariants::check;
use crate::jobs::{job_with_steps, work};
use crate::random::seeds;
use crate::world::Simulation;
use indexmap::IndexMap;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::ops::Range;
use std::time::Duration;
use waxwingstall::job::{Job, JobId, TaskRef};
use waxwingstall::units::Resources;
use waxwingstall::vm::EndKind;
use waxwingstall_standin::runs::{RunTable, Seen};

const SIZE: Resources = Resources::new(12_000, 12_000, 0);
const SHARDS: [&str; 2] = ["kacyiru", "remera"];
const VMS: usize = 4;

/// Longest time for which VMs keep their tasks running without another poll.
const KEEP: Duration = Duration::from_secs(10);

const NOTICE: Duration = Duration::from_secs(5);

/// Longest time that a long-running task may be without a run beside room.
const MAX_DOWNTIME: Duration = Duration::from_secs(6);

/// Time for the system to settle after the last change.
const SETTLE_TIME: Duration = Duration::from_secs(30);

/// Times in milliseconds: VMs announce that they leave, and stay for longer than announced.
const ANNOUNCED: Range<u64> = 0..2000;
const STAYS: Range<u64> = 0..600;

/// Time in milliseconds from the announcement until an owner is replaced, until the next one is
/// replaced in its turn, and for which a shard has no owner, the second time for a shorter one.
const REPLACED: Range<u64> = 0..6500;
const REPLACED_AGAIN: Range<u64> = 50..2500;
const OWNERLESS: Range<u64> = 0..2000;
const OWNERLESS_AGAIN: Range<u64> = 0..500;

/// Time in milliseconds for which a shard has no owner if that ends just as its VMs announce that
/// they leave, before anything could be stopped.
const OWNERLESS_IN_NOTICE: Range<u64> = 3500..6000;

/// Something that happens to the system.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// A VM announces that it leaves, and stays a little longer than announced.
    Notice {
        vm: usize,
        stays: Duration,
    },
    /// The owner of a shard is killed, and another one takes over after a while.
    Kill {
        shard: &'static str,
        ownerless: Duration,
    },
    HandOver {
        shard: &'static str,
    },
    /// The owner stands still for a while, and another one takes over meanwhile.
    Pause {
        shard: &'static str,
        time: Duration,
    },
}

impl Fault {
    /// How long a shard has no owner.
    fn ownerless(self) -> Duration {
        match self {
            Self::Kill { ownerless, .. } => ownerless,
            Self::Notice { .. } | Self::HandOver { .. } | Self::Pause { .. } => Duration::ZERO,
        }
    }
}

/// Two shards with long-running tasks, some of them lent, and with room for twice as many.
struct Scenario {
    sim: Simulation<NoFaults>,
    jobs: IndexMap<JobId, Job>,
    rng: SmallRng,
}

impl Scenario {
    fn new(seed: u64) -> Self {
        let mut sim =
            Simulation::with_max_keep(NoFaults, &SHARDS, VMS, SIZE, KEEP).with_watchers(seed);
        sim.run_for(Duration::from_secs(4));
        let filler = job_with_steps(1, 1, 8, work(60_000, 6));
        let lent = job_with_steps(2, 1, 6, work(0, 2));
        let own = job_with_steps(3, 1, 6, work(0, 2));
        let other = job_with_steps(4, 1, 4, work(0, 2));
        sim.submit(SHARDS[0], filler.clone());
        sim.run_for(Duration::from_secs(3));
        sim.submit(SHARDS[0], lent.clone());
        let lent_runs = |sim: &mut Simulation<NoFaults>| -> usize {
            (VMS..2 * VMS).map(|vm| sim.runs_on(vm)).sum()
        };
        while lent_runs(&mut sim) < 6 {
            assert!(sim.now < Duration::from_secs(60), "seed {seed}: no task was lent");
            sim.run_for(Duration::from_millis(200));
        }
        sim.cancel(SHARDS[0], filler.id);
        sim.run_for(Duration::from_secs(2));
        sim.submit(SHARDS[0], own.clone());
        sim.submit(SHARDS[1], other.clone());
        sim.run_for(Duration::from_secs(3));
        let jobs = [filler, lent, own, other].map(|job| (job.id, job)).into_iter().collect();
        Self { sim, jobs, rng: SmallRng::seed_from_u64(seed) }
    }

    fn millis(&mut self, range: Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }

    /// Draws what happens and when, from now on.
    fn faults(&mut self) -> Vec<(Duration, Fault)> {
        let mut faults = Vec::new();
        for (number, shard) in SHARDS.into_iter().enumerate() {
            let mut vms: Vec<usize> = (number * VMS..(number + 1) * VMS).collect();
            vms.sort_by_key(|vm| std::cmp::Reverse(self.sim.runs_on(*vm)));
            let in_notice: bool = self.rng.random();
            let mut announced = self.millis(ANNOUNCED);
            for vm in vms.into_iter().take(self.rng.random_range(1..3)) {
                let stays = self.millis(STAYS);
                faults.push((announced, Fault::Notice { vm, stays }));
                if !in_notice {
                    announced = self.millis(ANNOUNCED);
                }
            }
            let (at, first) = if in_notice {
                let ownerless = self.millis(OWNERLESS_IN_NOTICE);
                (announced, Fault::Kill { shard, ownerless })
            } else {
                (announced + self.millis(REPLACED), self.replacement(shard, OWNERLESS))
            };
            faults.push((at, first));
            if self.rng.random() {
                let again = at + first.ownerless() + self.millis(REPLACED_AGAIN);
                faults.push((again, self.replacement(shard, OWNERLESS_AGAIN)));
            }
        }
        faults.sort_by_key(|(at, _)| *at);
        faults
    }

    fn replacement(&mut self, shard: &'static str, ownerless: Range<u64>) -> Fault {
        match self.rng.random_range(0..3) {
            0 => Fault::Kill { shard, ownerless: self.millis(ownerless) },
            1 => Fault::HandOver { shard },
            _ => Fault::Pause { shard, time: self.millis(500..8000) },
        }
    }

    fn apply(&mut self, fault: Fault) {
        match fault {
            Fault::Notice { vm, stays } => self.sim.depart_vm_later(vm, NOTICE, stays),
            Fault::Kill { shard, ownerless } => self.sim.replace_owner_after(shard, ownerless),
            Fault::HandOver { shard } => self.sim.hand_over(shard),
            Fault::Pause { shard, time } => self.sim.pause_owner(shard, time),
        }
    }

    fn play(&mut self) -> Vec<(Duration, Fault)> {
        let (begin, faults) = (self.sim.now, self.faults());
        for (at, fault) in &faults {
            self.sim.run_for((begin + *at).saturating_sub(self.sim.now));
            self.apply(*fault);
        }
        self.sim.run_for(SETTLE_TIME);
        faults
    }

    /// How long the tasks were without a run that were on a VM as it left.
    fn restart_times(&mut self) -> Vec<Duration> {
        let seen: Vec<&Seen> = self.sim.vms.iter().flat_map(|vm| &vm.table.seen).collect();
        let lasts = |task: &TaskRef| self.jobs[&task.job].steps[0].estimate.is_zero();
        let left = seen.iter().filter_map(|seen| match seen {
            Seen::Ended { at, task, outcome: EndKind::Lapsed, .. } if lasts(task) => {
                Some((*at, *task))
            }
            _ => None,
        });
        let restart = |(end, left): (Duration, TaskRef)| {
            let starts = seen.iter().filter_map(|seen| match seen {
                Seen::Started { at, task, .. } if *task == left && *at >= end => Some(*at),
                _ => None,
            });
            starts.min().unwrap_or(self.sim.now) - end
        };
        left.map(restart).collect()
    }

    /// The longest time that each long-running task was without a run.
    fn downtimes(&mut self) -> Vec<(TaskRef, Duration)> {
        let now = self.sim.now;
        self.sim.vms.iter_mut().for_each(|vm| {
            let _ = vm.table.runs(now);
        });
        let tables: Vec<&RunTable> = self.sim.vms.iter().map(|vm| &vm.table).collect();
        let lasting = self.jobs.values().filter(|job| job.steps[0].estimate.is_zero());
        let tasks = lasting.flat_map(|job| {
            (0..job.steps[0].tasks).map(|index| TaskRef {
                job: job.id,
                occurrence: 0,
                step: 0,
                index,
            })
        });
        tasks.map(|task| (task, downtime(&tables, task, now))).collect()
    }
}

/// The longest time between the end of a run of a task and the start of its next one, or now.
fn downtime(tables: &[&RunTable], task: TaskRef, now: Duration) -> Duration {
    let (mut starts, mut ends) = (Vec::new(), Vec::new());
    for seen in tables.iter().flat_map(|table| &table.seen) {
        match seen {
            Seen::Started { at, task: started, .. } if *started == task => starts.push(*at),
            Seen::Ended { at, task: ended, .. } if *ended == task => ends.push(*at),
            _ => {}
        }
    }
    assert!(!starts.is_empty(), "{task} has never started");
    let next = |end: &Duration| starts.iter().filter(|at| *at >= end).min().copied();
    let gaps = ends.iter().map(|end| next(end).unwrap_or(now) - *end);
    gaps.max().unwrap_or_default()
}

// Guards against long-running tasks that wait for the lease of a VM that has left as announced,
// since its shard's owner was replaced within the notice.
#[test]
fn no_lasting_task_waits_for_the_lease_of_a_vm_that_left_with_notice() {
    let (mut restarts, mut late) = (Vec::new(), Vec::new());
    for seed in seeds(0..24) {
        let mut scenario = Scenario::new(seed);
        let faults = scenario.play();
        check(&mut scenario.sim, &scenario.jobs, SIZE);
        let downtimes = scenario.downtimes();
        let (task, time) = *downtimes.iter().max_by_key(|(_, time)| *time).expect("tasks last");
        if time > MAX_DOWNTIME {
            println!("seed {seed}: {task} was without a run for {time:?}: {faults:?}");
            late.push(seed);
        }
        restarts.extend(scenario.restart_times());
    }
    restarts.sort();
    let at = |percent: usize| restarts[(restarts.len() - 1) * percent / 100];
    println!(
        "{} tasks left with their VMs and were down for {:?} (median), {:?} (99 %), {:?} (most)",
        restarts.len(),
        at(50),
        at(99),
        at(100)
    );
    assert!(late.is_empty(), "tasks waited for longer than {MAX_DOWNTIME:?}: seeds {late:?}");
}
