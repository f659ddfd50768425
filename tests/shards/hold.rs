//! Lasting work that needs more room at once than the short work beside it.

use crate::faults::Sound;
use crate::jobs::{chain, work};
use crate::witness::check;
use crate::world::World;
use indexmap::IndexMap;
use std::time::Duration;
use waxwingstall::job::{Job, JobId, ShownState};
use waxwingstall::shard::Answer;
use waxwingstall::units::Resources;
use waxwingstall_standin::runs::Work;

const SIZE: Resources = Resources::new(8000, 8000, 0);
const SHARD: &str = "kacyiru";

/// Two VMs on which short work of others never ends, and lasting jobs.
struct Crowd {
    world: World<Sound>,
    all: IndexMap<JobId, Job>,
    next: u64,
}

impl Crowd {
    fn new() -> Self {
        Self { world: World::new(Sound, &[SHARD], 2, SIZE), all: IndexMap::new(), next: 100 }
    }

    fn submit(&mut self, job: Job) {
        self.world.submit(SHARD, job.clone());
        self.all.insert(job.id, job);
    }

    /// More short work than there is room for, handed in all the time.
    fn press_for(&mut self, time: Duration) {
        let until = self.world.now + time;
        while self.world.now < until {
            self.next += 1;
            self.submit(chain(self.next, 1, 3, work(600, 1)));
            self.world.run_for(Duration::from_millis(100));
        }
    }

    fn is_running(&mut self, job: JobId) -> bool {
        self.world.show(SHARD, job) == Some(Answer::Shown(ShownState::Running))
    }
}

fn lasting(id: u64, cores: u32, memory_mib: u32) -> Job {
    let size = Resources::new(cores * 1000, memory_mib, 0);
    chain(id, 1, 1, Work { size, ..work(0, cores) })
}

// A caller's lasting task waits for good beside short work that comes and goes. The VM with the most free
// processors was kept for it, but its memory is taken by another lasting task and never comes free; the
// other VM was given to short work as soon as a core was free. In the log of such a day 25 tasks waited from
// 22 to 39 s, the least of them for 5,450 thousandths of a core, with `largest_free_milli_cores=8000` in each
// line: the same VM each time.
#[test]
fn a_lasting_task_does_not_wait_for_a_vm_whose_memory_is_taken_for_good() {
    let mut crowd = Crowd::new();
    crowd.submit(lasting(1, 1, 7900));
    crowd.world.run_for(Duration::from_millis(300));
    crowd.press_for(Duration::from_secs(2));
    let waiting = lasting(2, 4, 4000);
    crowd.submit(waiting.clone());
    crowd.press_for(Duration::from_secs(2));
    assert!(crowd.is_running(waiting.id), "it still waits");
    check(&mut crowd.world, &crowd.all, SIZE);
}

// The room that a lasting task needs comes together on one VM though another frees more at a moment:
// the VM that it was given is kept until the task fits there.
#[test]
fn a_lasting_task_gets_a_whole_vm_beside_short_work() {
    let mut crowd = Crowd::new();
    crowd.press_for(Duration::from_secs(2));
    let waiting = lasting(2, 8, 4000);
    crowd.submit(waiting.clone());
    crowd.press_for(Duration::from_secs(2));
    assert!(crowd.is_running(waiting.id), "it still waits");
    check(&mut crowd.world, &crowd.all, SIZE);
}
