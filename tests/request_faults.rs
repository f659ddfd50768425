//! The answer to a caller when an endpoint fails, from the tables in `tests/tables/request`.

mod request_support;

use request_support::{Front, call, config, listed};
use serde::Deserialize;
use std::path::Path;
use waxwingstall_standin::endpoint::{Endpoint, EndpointSettings, Fault, answer_body};

/// A table: a scenario and its cases.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Table {
    /// What the caller sees, the order of events, and why.
    story: String,
    case: Vec<Case>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    name: String,
    class: String,
    #[serde(default)]
    query: String,
    /// Number of requests before the faults are switched on, which leave idle connections.
    #[serde(default)]
    warm_up: usize,
    /// Faults of those requests.
    #[serde(default)]
    warm_up_faults: Vec<Fault>,
    /// Whether the endpoint reports the state of the request to probes.
    #[serde(default)]
    states: States,
    /// Faults of the next requests, in order.
    #[serde(default)]
    faults: Vec<Fault>,
    /// Faults of the next connections, in order.
    #[serde(default)]
    connection_faults: Vec<Fault>,
    outcome: String,
    reason: String,
    /// How often the request may have run at the endpoint.
    runs: Vec<usize>,
}

/// Whether the endpoint reports the state of a request to probes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum States {
    #[default]
    Told,
    Hidden,
}

fn run_table(path: &Path) -> datatest_stable::Result<()> {
    let table: Table = toml::from_str(&std::fs::read_to_string(path)?)?;
    assert!(!table.story.trim().is_empty());
    // Cases spend most of their time waiting on silent connections, so they run in parallel.
    std::thread::scope(|scope| {
        for case in &table.case {
            scope.spawn(|| run_case(case));
        }
    });
    Ok(())
}

fn run_case(case: &Case) {
    let endpoint = Endpoint::start(EndpointSettings::default());
    let front = Front::start(config(8), &[listed("vm-1", &endpoint)]);
    endpoint.faults().states_hidden(case.states == States::Hidden);
    case.warm_up_faults.iter().for_each(|fault| endpoint.faults().next(*fault));
    for at in 0..case.warm_up {
        let got = call(front.addr, "preview", "page", &format!("warm-{at}"));
        assert_eq!(got.outcome(), "ran", "{case:?}: {got:?}");
    }
    case.faults.iter().for_each(|fault| endpoint.faults().next(*fault));
    case.connection_faults.iter().for_each(|fault| endpoint.faults().next_connection(*fault));

    let got = call(front.addr, &case.class, &format!("page?{}", case.query), "request-1");
    let name = &case.name;
    if case.reason == "cut-in-transit" {
        assert!(!got.whole, "{name}: a truncated answer looked complete: {got:?}");
    } else {
        assert_eq!(got.outcome(), case.outcome, "{name}: {got:?}");
        assert_eq!(got.reason(), case.reason, "{name}: {got:?}");
        assert_eq!(got.header("waxwing-request-id"), "request-1", "{name}");
        assert!(got.whole, "{name}: the answer was truncated: {got:?}");
    }
    if got.outcome() == "ran" && got.whole && got.status == 200 {
        assert_eq!(
            got.body,
            answer_body("request-1", got.body.len()),
            "{name}: the answer of another request"
        );
    }
    let runs = endpoint.runs_of("request-1");
    assert!(case.runs.contains(&runs), "{name}: ran {runs} times, not {:?}", case.runs);

    let next = call(front.addr, "preview", "page", "request-2");
    assert_eq!(next.outcome(), "ran", "{name}: the next request: {next:?}");
    assert_eq!(next.body, answer_body("request-2", 64), "{name}: the next request's answer");
}

datatest_stable::harness! {
    { test = run_table, root = "tests/tables/request", pattern = r"^.*\.toml$" },
}
