//! Lasting work that needs room elsewhere when its VMs leave.

use crate::faults::{Chance, Faults, Sound};
use crate::jobs::{chain, work};
use crate::witness::check;
use crate::world::{VmNode, World};
use indexmap::{IndexMap, IndexSet};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::ops::Range;
use std::time::Duration;
use waxwingstall::job::{Image, Job, JobId, TaskRef};
use waxwingstall::shard::Answer;
use waxwingstall::units::Resources;
use waxwingstall_standin::runs::Work;

const SIZE: Resources = Resources::new(32_000, 128_000, 0);
const SHARD: &str = "kacyiru";

/// One VM of so many leaves.
const LEAVING_OF: usize = 8;
const NOTICE: Duration = Duration::from_secs(4);

/// Time that a lasting task may stand still while its size is free twice over.
const STANDSTILL: Duration = Duration::from_secs(6);

/// Time in which a shard is filled, and in which there are faults after that.
const FILLED: Duration = Duration::from_secs(4);
const TROUBLED: Duration = Duration::from_secs(16);

/// Time after which everything has settled.
const CALM: Duration = Duration::from_secs(30);

/// A shard with all the lasting work that it accepts.
struct Full<F> {
    world: World<F>,
    jobs: IndexMap<JobId, Job>,
    /// Since when each task that doesn't run could.
    still: IndexMap<TaskRef, Duration>,
    next: u64,
}

impl<F: Faults> Full<F> {
    fn new(faults: F, vms: usize, sizes: Range<u32>, rng: &mut SmallRng) -> Self {
        let world = World::new(faults, &[SHARD], vms, SIZE);
        let (jobs, still) = (IndexMap::new(), IndexMap::new());
        let mut full = Self { world, jobs, still, next: 1 };
        while full.submit(lasting(full.next, rng.random_range(sizes.clone()))) {}
        full
    }

    /// Whether the shard takes a job.
    fn submit(&mut self, job: Job) -> bool {
        self.next += 1;
        let ticket = self.world.submit(SHARD, job.clone());
        self.world.run_for(Duration::from_millis(200));
        let accepted = self.world.answers.get(&ticket) == Some(&Answer::Accepted);
        if accepted {
            self.jobs.insert(job.id, job);
        }
        accepted
    }

    fn leave(&mut self) {
        for index in (0..self.world.vms.len()).step_by(LEAVING_OF) {
            self.world.leave_vm(index, NOTICE);
        }
    }

    /// Free processors on VMs that stay, in thousandths of a core.
    fn free(&mut self) -> u32 {
        let now = self.world.now;
        let stay = self.world.vms.iter_mut().enumerate();
        let stay = stay.filter(|(index, _)| index % LEAVING_OF != 0);
        let used = |vm: &mut VmNode| -> u32 {
            vm.table.runs(now).iter().map(|(_, _, size)| size.milli_cores.0).sum()
        };
        stay.map(|(_, vm)| SIZE.milli_cores.0.saturating_sub(used(vm))).sum()
    }

    /// Lasting tasks that run nowhere, and their processors.
    fn away(&mut self) -> Vec<(TaskRef, u32)> {
        let now = self.world.now;
        let mut runs = IndexSet::new();
        for vm in &mut self.world.vms {
            runs.extend(vm.table.runs(now).into_iter().map(|(task, ..)| task));
        }
        let lasting = self.jobs.values().filter(|job| job.steps[0].estimate.is_zero());
        let tasks = lasting.flat_map(|job| {
            let task = |index| TaskRef { job: job.id, occurrence: 0, step: 0, index };
            let size = job.steps[0].size.milli_cores.0;
            (0..job.steps[0].tasks).map(move |index| (task(index), size))
        });
        tasks.filter(|(task, _)| !runs.contains(task)).collect()
    }

    /// The longest time that a task has stood still so far beside twice its size, and its size.
    fn note_still(&mut self) -> Option<(Duration, u32)> {
        let (now, free) = (self.world.now, self.free());
        let away = self.away();
        let before = std::mem::take(&mut self.still);
        let could = away.iter().filter(|(_, size)| 2 * size <= free);
        let since = |task: &TaskRef| before.get(task).copied().unwrap_or(now);
        self.still = could.clone().map(|(task, _)| (*task, since(task))).collect();
        could.map(|(task, size)| (now - self.still[task], *size)).max()
    }
}

/// Six lasting tasks of one image, each of so many tenths of a core.
fn lasting(id: u64, tenths: u32) -> Job {
    let size = Resources::new(tenths * 100, 6_000, 0);
    let mut job = chain(id, 1, 6, Work { size, ..work(0, 1) });
    job.steps[0].image = Some(Image::new(&format!("voice-{}", id % 10)));
    job.steps[0].tail_target = Some(Duration::from_millis(18));
    job
}

// Large lasting tasks stood still for 17 s after their VMs had left, beside several times their size in pieces.
#[test]
fn no_lasting_task_stands_still_for_long_beside_room_for_two() {
    for seed in 0..6 {
        let mut full = Full::new(Sound, 32, 20..100, &mut SmallRng::seed_from_u64(seed));
        full.leave();
        let mut longest = (Duration::ZERO, 0);
        for _ in 0..100 {
            let short = chain(full.next, 1, 2, work(800, 4));
            full.submit(short);
            longest = longest.max(full.note_still().unwrap_or_default());
        }
        let (time, milli_cores) = longest;
        assert!(time <= STANDSTILL, "seed {seed}: a task of {milli_cores} stood for {time:?}");
        check(&mut full.world, &full.jobs, SIZE);
    }
}

// A task that moves for another one, or the one that it moves for, runs twice or takes room that isn't there,
// as owners and VMs fail meanwhile.
#[test]
fn promises_hold_while_lasting_tasks_move() {
    for seed in 0..12 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let until = Duration::from_secs(5) + FILLED + TROUBLED;
        let mut full = Full::new(Chance::new(seed, 20, until), 16, 20..160, &mut rng);
        full.leave();
        while full.world.now < until {
            full.world.run_for(Duration::from_millis(rng.random_range(500..2500)));
            let (vm, time) =
                (rng.random_range(0..16), Duration::from_millis(rng.random_range(300..4000)));
            match rng.random_range(0..10) {
                0..2 => full.world.replace_owner(SHARD),
                2..4 => full.world.pause_owner(SHARD, time),
                4 => full.world.cut_vm(vm, time),
                5 => full.world.crash_vm(vm, time),
                _ => {}
            }
        }
        full.world.run_for(CALM);
        check(&mut full.world, &full.jobs, SIZE);
    }
}
