//! The path of a task through two daemons without faults, and the stops that are planned.

#[allow(dead_code)] // each test program uses a part of it
mod common;

use common::world::{Sound, World};
use common::{Kind, ms, spec};
use waxwingstall::core::event::Answer;
use waxwingstall::task::{Outcome, Phase};
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
