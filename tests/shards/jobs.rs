//! Builders of jobs for tests.

use crate::world::{QUEUE, SERVICE};
use rand::Rng;
use rand::rngs::SmallRng;
use std::sync::Arc;
use std::time::Duration;
use waxwingstall::ids::ServiceName;
use waxwingstall::job::{Job, JobId, Life, QueueName, Repeat, Resume, Step};
use waxwingstall::units::Resources;
use waxwingstall_standin::runs::{Crash, Work};

/// A job whose steps run one after the other.
pub fn job_with_steps(id: u64, steps: u16, tasks: u32, work: Work) -> Job {
    let step = |number: u16| Step {
        after: if number == 0 { Vec::new() } else { vec![number - 1] },
        resume: Resume::FromCheckpoint,
        life: if work.time.is_zero() { Life::Lasting } else { Life::Finite },
        ..Step::new(tasks, work.size, work.time)
    };
    Job {
        id: JobId(id),
        queue: QueueName::new(QUEUE),
        service: ServiceName::new(SERVICE),
        payload: Arc::from(work.payload().as_str()),
        steps: (0..steps).map(step).collect(),
        repeat: Repeat::Once,
        accepted: Duration::ZERO,
        terms: None,
    }
}

/// A task that takes `millis` milliseconds on `cores` cores; 0 makes it long-running.
pub fn work(millis: u64, cores: u32) -> Work {
    let size = Resources::new(cores * 1000, cores * 1000, 0);
    Work { time: Duration::from_millis(millis), size, ..Work::default() }
}

/// Makes a task crash each VM it runs on after running for `after`.
pub fn crashing(work: Work, after: Duration) -> Work {
    Work { crash: Some(Crash { after, only: None }), ..work }
}

/// A random job with one to three steps of one to six tasks.
pub fn random(id: u64, rng: &mut SmallRng) -> Job {
    let mut work = work(rng.random_range(100..3000), rng.random_range(1..4));
    if rng.random_range(0..10) == 0 {
        work.fails = rng.random_range(1..3);
    }
    // Long-running tasks are few and small, so that all others eventually find room.
    if id.is_multiple_of(9) {
        work.time = Duration::ZERO;
        work.size = Resources::new(1000, 1000, 0);
        return job_with_steps(id, 1, rng.random_range(1..4), work);
    }
    let steps = rng.random_range(1..4);
    job_with_steps(id, steps, rng.random_range(1..7), work)
}
