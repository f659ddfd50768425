use super::{Chart, Error, Label, Machine};

const SOUND: &str = r#"
name = "door"
initial = "open"
final = ["gone"]
states = ["open", "shut", "gone"]
events = ["push", "saw"]

[[transition]]
from = "open"
on = "push"
to = "shut"

[[transition]]
from = "shut"
on = "saw"
to = "gone"
"#;

#[test]
fn a_sound_chart_steps_as_its_file_says() {
    let chart = Chart::parse(SOUND).unwrap();
    assert_eq!(chart.initial(), "open");
    assert_eq!(chart.next("open", "push"), Ok("shut"));
    assert!(chart.is_final("gone"));
}

#[test]
fn an_event_that_a_state_does_not_have_is_an_error() {
    let chart = Chart::parse(SOUND).unwrap();
    let refused = chart.next("open", "saw").unwrap_err();
    assert!(matches!(refused, Error::NoTransition { .. }), "{refused}");
}

#[test]
fn the_charts_of_this_package_load() {
    for text in [
        include_str!("../../charts/task.toml"),
        include_str!("../../charts/vm.toml"),
        include_str!("../../charts/endpoint.toml"),
    ] {
        Chart::parse(text).unwrap();
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Door {
    Open,
    Shut,
    Gone,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Act {
    Push,
    Saw,
}

/// As [`Act`], with a value that the file doesn't have.
#[derive(Clone, Copy, Debug, PartialEq)]
enum MoreActs {
    Push,
    Saw,
    Kick,
}

impl Label for Door {
    const ALL: &'static [(Self, &'static str)] =
        &[(Self::Open, "open"), (Self::Shut, "shut"), (Self::Gone, "gone")];
}

impl Label for Act {
    const ALL: &'static [(Self, &'static str)] = &[(Self::Push, "push"), (Self::Saw, "saw")];
}

impl Label for MoreActs {
    const ALL: &'static [(Self, &'static str)] =
        &[(Self::Push, "push"), (Self::Saw, "saw"), (Self::Kick, "kick")];
}

#[test]
fn a_compiled_chart_steps_by_its_labels() {
    let machine = Machine::<Door, Act>::new(&Chart::parse(SOUND).unwrap()).unwrap();
    assert_eq!(machine.initial(), Door::Open);
    assert_eq!(machine.next(Door::Shut, Act::Saw), Ok(Door::Gone));
    assert!(machine.next(Door::Gone, Act::Push).is_err());
}

#[test]
fn a_label_that_the_file_lacks_is_refused() {
    let refused = Machine::<Door, MoreActs>::new(&Chart::parse(SOUND).unwrap()).unwrap_err();
    assert_eq!(refused, Error::Labels { chart: "door".to_owned(), name: "kick".to_owned() });
}
