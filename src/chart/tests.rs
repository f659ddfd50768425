use super::{Chart, Error};

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
