//! Task execution on two daemons without faults, and with planned shutdowns.

#[allow(dead_code)] // each test binary uses only part of the module
mod common;

use common::world::{Sound, World};
use common::{Kind, ms, spec};
use waxwingstall::core::event::Answer;
use waxwingstall::model::Resumption;
use waxwingstall::task::{Outcome, Phase, TaskSpec};
use waxwingstall_standin::worker::TableSettings;

fn world() -> World<Sound> {
    let mut world = World::new(Sound, &TableSettings::default());
    world.run_for(ms(5_000));
    world
}

#[test]
fn a_submitted_task_runs_once_and_its_end_is_recorded() {
    let mut world = world();
    let ticket = world.submit("k1", spec(Kind::Narration, ms(2_000)));
    world.run_for(ms(15_000));
    assert!(matches!(world.answers[&ticket], Answer::Accepted { repeated: false, .. }));
    let tasks = world.tasks();
    assert_eq!(tasks[0].phase, Phase::Ended { outcome: Outcome::Succeeded });
    assert_eq!(world.book().finished_once(), 1);
    assert_eq!(world.violations(), Vec::<String>::new());
}

#[test]
fn the_same_key_gives_the_same_task() {
    let mut world = world();
    let first = world.submit("k1", spec(Kind::PrintBuild, ms(2_000)));
    let during = world.submit("k1", spec(Kind::PrintBuild, ms(2_000)));
    world.run_for(ms(1_000));
    let after = world.submit("k1", spec(Kind::PrintBuild, ms(2_000)));
    world.run_for(ms(15_000));
    let Answer::Accepted { task, .. } = world.answers[&first] else { panic!("not accepted") };
    for ticket in [during, after] {
        assert_eq!(world.answers[&ticket], Answer::Accepted { task, repeated: true });
    }
    assert_eq!(world.book().tasks()[&task].starts, 1);
}

#[test]
fn a_drained_daemon_hands_its_vms_over_and_their_tasks_run_on() {
    let mut world = world();
    for key in 0..6 {
        world.submit(&key.to_string(), spec(Kind::PrintBuild, ms(20_000)));
    }
    world.run_for(ms(5_000));
    let leaving = world.daemons()[0].clone();
    let staying = world.daemons()[1].clone();
    world.drain(&leaving);
    world.run_for(ms(5_000));
    assert_eq!(world.core(&leaving).vms().len(), 0);
    assert_eq!(world.core(&staying).vms().len(), 3);
    world.run_for(ms(30_000));
    assert_eq!(world.book().finished_once(), 6);
    assert_eq!(world.book().stopped, 0);
    assert_eq!(world.violations(), Vec::<String>::new());
}

/// Guards against a leaving VM disrupting its tasks. Narrations are checkpointed, closed and
/// resumed exactly once on another VM; a print build may run only once, so it stays.
#[test]
fn what_can_resume_leaves_a_leaving_vm_once_and_the_rest_stays() {
    let mut world = world();
    for key in 0..6 {
        let kind = if key % 3 == 2 { Kind::PrintBuild } else { Kind::Narration };
        world.submit(&key.to_string(), spec(kind, ms(12_000)));
    }
    world.run_for(ms(4_000));
    let vm = world.tasks().iter().find_map(|task| match &task.phase {
        Phase::Bound { vm } if task.spec.resumption == Resumption::Checkpoint => Some(vm.clone()),
        _ => None,
    });
    let vm = vm.expect("a narration runs");
    world.vms[&vm].leave();
    world.run_for(ms(40_000));
    let book = world.book();
    let moved: Vec<_> = book.tasks().values().filter(|count| count.resumes > 0).collect();
    assert!(!moved.is_empty());
    for count in moved {
        assert_eq!((count.starts, count.resumes, count.finishes), (2, 1, 1));
        assert_eq!(count.vms[0], vm);
    }
    let builds = world.tasks().into_iter().filter(|task| task.spec.resumption == Resumption::Never);
    for build in builds {
        assert_eq!(book.tasks()[&build.id].starts, 1);
        assert_eq!(build.phase, Phase::Ended { outcome: Outcome::Succeeded });
    }
    assert_eq!(world.violations(), Vec::<String>::new());
}

/// Guards against retries of a non-idempotent task: a second run of the print build could print a
/// book twice. Both tasks fail on every run; the narration is attempted three times in total.
#[test]
fn a_failed_print_build_is_not_run_again() {
    let mut world = world();
    for (key, kind) in [("narration", Kind::Narration), ("build", Kind::PrintBuild)] {
        let payload = r#"{"work_ms": 500, "fail": true}"#.to_owned();
        world.submit(key, TaskSpec { payload, ..spec(kind, ms(500)) });
        world.run_for(ms(200));
    }
    world.run_for(ms(60_000));
    let book = world.book();
    let starts: Vec<u32> = world.tasks().iter().map(|task| book.tasks()[&task.id].starts).collect();
    assert_eq!(starts, [3, 1]);
    for task in world.tasks() {
        assert!(matches!(task.phase, Phase::Ended { outcome: Outcome::Failed { .. } }));
    }
}
