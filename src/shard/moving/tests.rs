use super::{SLOWED_FOR, may_move};
use crate::job::{Resume, Share, Step};
use crate::shard::vm_run::{Run, Stage};
use crate::units::Resources;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);

fn leftover() -> Step {
    Step {
        resume: Resume::FromCheckpoint,
        share: Share::Leftover,
        ..Step::new(8, Resources::new(3500, 6400, 0), Duration::from_millis(2700))
    }
}

fn run(slowed_for: Duration, percent: u8) -> Run {
    let mut run = Run::binding(Resources::ZERO, 3500, Share::Leftover, NOW);
    run.stage = Stage::Running;
    run.slowed = Some(NOW - slowed_for);
    run.percent = percent;
    run
}

// A run has stood for a second with most of its work before it, and can be resumed: it may move. One
// that is nearly done, that stands only since a moment ago, or that would begin again, stays.
#[test]
fn only_long_and_resumable_work_moves() {
    let step = leftover();
    assert!(may_move(&step, &run(SLOWED_FOR, 20), NOW));
    assert!(!may_move(&step, &run(SLOWED_FOR, 70), NOW), "little is left");
    assert!(!may_move(&step, &run(SLOWED_FOR / 2, 20), NOW), "it may be over in a moment");
    let from_start = Step { resume: Resume::FromStart, ..leftover() };
    assert!(!may_move(&from_start, &run(SLOWED_FOR, 20), NOW), "its work would be lost");
}
