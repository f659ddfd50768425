use super::{MOVE_AFTER, can_move};
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

// A resumable run that has been slowed down for long, with most of its work remaining, may move.
// One that is nearly done, that was slowed down only a moment ago or that would restart from the
// beginning must stay.
#[test]
fn only_long_slowed_resumable_runs_move() {
    let step = leftover();
    assert!(can_move(&step, &run(MOVE_AFTER, 20), NOW));
    assert!(!can_move(&step, &run(MOVE_AFTER, 70), NOW), "little is left");
    assert!(!can_move(&step, &run(MOVE_AFTER / 2, 20), NOW), "it may be over in a moment");
    let from_start = Step { resume: Resume::FromStart, ..leftover() };
    assert!(!can_move(&from_start, &run(MOVE_AFTER, 20), NOW), "its work would be lost");
}
