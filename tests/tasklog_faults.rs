//! Table tests of task log operations under faults of the key-value service.
//!
//! Each case lists the faults of the operation's calls, counted from the first one, and the
//! expected outcome. Afterwards, the log must contain the records if and only if the operation
//! reported them as durable, also after all delayed writes have taken effect.

#[allow(dead_code, reason = "each test file uses only a part of it")]
#[path = "common/fault_store.rs"]
mod fault_store;
#[allow(dead_code, reason = "each test file uses only a part of it")]
#[path = "common/tasks.rs"]
mod tasks;

use fault_store::{Fault, FaultStore};
use futures::executor::block_on;
use serde::Deserialize;
use std::path::Path;
use tasks::{accepted, bound, ended, load, state};
use waxwingstall::ids::{DaemonId, PartitionId};
use waxwingstall::task::Record;
use waxwingstall::tasklog::{Error, Limits, Partition, Result};

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Table {
    operation: Operation,
    case: Vec<Case>,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Operation {
    /// Records that fit into the head.
    CommitSmall,
    /// Records that are first written as a segment.
    CommitLarge,
    Compact,
    Load,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    name: String,
    /// The fault of each call; `none` if the call succeeds.
    faults: Vec<String>,
    /// The fault of all later calls.
    #[serde(default)]
    then: Option<String>,
    result: Outcome,
    /// The outcome once the service is available again, if `result` is unsettled.
    #[serde(default)]
    settled: Option<Outcome>,
    calls: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Outcome {
    Durable,
    NotWritten,
    Superseded,
    Unsettled,
    Unreadable,
}

/// Number of calls, counted from the operation's first one, that `Case::then` extends to.
const REPEATED_FAULT_CALLS: usize = 64;

fn fault(name: &str) -> Option<Fault> {
    match name {
        "none" => None,
        "refused" => Some(Fault::Refused),
        "answer-lost" => Some(Fault::AnswerLost),
        "call-lost" => Some(Fault::CallLost),
        "stale" => Some(Fault::Stale),
        late => late.strip_prefix("late-").map(|n| Fault::Late(n.parse().expect("calls"))),
    }
}

fn outcome(result: &Result<()>) -> Outcome {
    match result {
        Ok(()) => Outcome::Durable,
        Err(Error::NotWritten { .. }) => Outcome::NotWritten,
        Err(Error::Superseded { .. }) => Outcome::Superseded,
        Err(Error::Unsettled { .. }) => Outcome::Unsettled,
        Err(Error::Unreadable { .. }) => Outcome::Unreadable,
        Err(error) => panic!("{error}"),
    }
}

fn inject(store: &FaultStore, case: &Case) {
    let first = store.calls();
    for (n, name) in case.faults.iter().enumerate() {
        fault(name).into_iter().for_each(|fault| store.fail(first + n, fault));
    }
    if let Some(fault) = case.then.as_deref().and_then(fault) {
        let rest = first + case.faults.len()..first + REPEATED_FAULT_CALLS;
        rest.for_each(|call| store.fail(call, fault));
    }
}

/// A partition with a page, a segment and a tail.
fn prepared(store: &FaultStore) -> (Partition, Vec<Record>) {
    let limits = Limits { tail_bytes: 128, ended_tasks: 0, ..Limits::default() };
    let mut partition = load(store, "a").partition.with_limits(limits);
    let mut records: Vec<Record> = (1..=9).map(accepted).collect();
    block_on(partition.commit(store, &records)).expect("up");
    block_on(partition.compact(store)).expect("up");
    store.remember_past();
    let segment: Vec<Record> = (1..=20).map(|n| bound(n, 1)).collect();
    for batch in [segment, vec![accepted(10)]] {
        block_on(partition.commit(store, &batch)).expect("up");
        records.extend(batch);
    }
    while block_on(partition.sweep(store)) > 0 {}
    (partition, records)
}

fn run_case(operation: Operation, case: &Case) {
    let store = FaultStore::new();
    let (mut partition, mut records) = prepared(&store);
    let batch: Vec<Record> = match operation {
        Operation::CommitSmall => vec![accepted(11)],
        Operation::CommitLarge => (11..40).map(accepted).collect(),
        Operation::Compact | Operation::Load => Vec::new(),
    };
    inject(&store, case);
    let first = store.calls();
    let result = match operation {
        Operation::CommitSmall | Operation::CommitLarge => {
            block_on(partition.commit(&store, &batch))
        }
        Operation::Compact => block_on(partition.compact(&store)),
        Operation::Load => block_on(Partition::load(&store, PartitionId(3), &DaemonId::new("b")))
            .map(|loaded| partition = loaded.partition),
    };
    let name = &case.name;
    assert_eq!(outcome(&result), case.result, "{name}: {result:?}");
    assert_eq!(store.calls() - first, case.calls, "calls, {name}");

    store.heal();
    let mut settled = outcome(&result);
    if settled == Outcome::Unsettled {
        settled = outcome(&block_on(partition.settle(&store)));
    }
    assert_eq!(settled, case.settled.unwrap_or(case.result), "{name}");
    if settled == Outcome::Durable {
        records.extend(batch);
    }
    assert_eq!(load(&store, "c").tasks, state(records.iter()), "{name}");
    check_next_writer(&store, &records);
}

/// Checks that the next writer can commit and compact, and deletes all unreferenced values.
fn check_next_writer(store: &FaultStore, records: &[Record]) {
    let mut next = load(store, "d").partition;
    let more = [accepted(90), bound(90, 1), ended(90, 1)];
    block_on(next.commit(store, &more)).expect("up");
    block_on(next.compact(store)).expect("up");
    while block_on(next.sweep(store)) > 0 {}
    assert_eq!(store.keys().len(), 2, "a head and a page: {:?}", store.keys());
    assert_eq!(load(store, "e").tasks, state(records.iter().chain(&more)));
}

fn run_table(path: &Path) -> datatest_stable::Result<()> {
    let table: Table = toml::from_str(&std::fs::read_to_string(path)?)?;
    for case in &table.case {
        run_case(table.operation, case);
    }
    println!("{} cases of {}", table.case.len(), path.display());
    Ok(())
}

datatest_stable::harness! {
    { test = run_table, root = "tests/tables/tasklog", pattern = r".*\.toml$" },
}
