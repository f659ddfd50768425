//! The operators' page names what the programs really say.

use std::path::{Path, PathBuf};
use waxwingstall::metrics::{Counter, Gauge, Timer};
use waxwingstall::request::Reason;

const PAGE: &str = include_str!("../docs/OPERATIONS.md");

fn is_named(word: &str) -> bool {
    PAGE.contains(&format!("`{word}`"))
}

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).expect("a folder of sources") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

/// Events of the log macros in a source: the last text of each call.
fn events(source: &str) -> Vec<&str> {
    let calls =
        ["log::info!(", "log::warn!(", "log::error!("].map(|call| source.split(call).skip(1));
    let calls = calls.into_iter().flatten();
    let calls = calls.filter_map(|rest| rest.split_once("\")").map(|(call, _)| call));
    calls.filter_map(|call| call.rsplit_once('"').map(|(_, event)| event)).collect()
}

#[test]
fn each_metric_is_named() {
    let counters = Counter::ALL.iter().map(|counter| counter.name());
    let gauges = Gauge::ALL.iter().map(|gauge| gauge.name());
    let timers = Timer::ALL.iter().map(|timer| timer.name());
    let missing: Vec<_> =
        counters.chain(gauges).chain(timers).filter(|name| !is_named(name)).collect();
    assert!(missing.is_empty(), "{missing:?}");
}

#[test]
fn each_reason_of_a_request_is_named() {
    let missing: Vec<_> = Reason::ALL.iter().filter(|reason| !is_named(reason.as_str())).collect();
    assert!(missing.is_empty(), "{missing:?}");
}

#[test]
fn each_event_of_the_log_is_named() {
    let mut files = Vec::new();
    sources(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src"), &mut files);
    let mut seen = 0;
    for file in files {
        let source = std::fs::read_to_string(&file).expect("a source");
        for event in events(&source) {
            seen += 1;
            assert!(is_named(event), "`{event}` of {} is not named", file.display());
        }
    }
    assert!(seen > 15, "only {seen} events were found");
}
