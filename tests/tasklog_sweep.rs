//! Tests of every fault at every call of a fixed sequence, and of two randomly racing writers.
//!
//! The log is compared with the reported results: records reported as durable are present, records
//! reported as not written never appear, and the outcome of the others becomes known.

#[allow(dead_code, reason = "each test file uses only a part of it")]
#[path = "common/fault_store.rs"]
mod fault_store;
#[allow(dead_code, reason = "each test file uses only a part of it")]
#[path = "common/tasks.rs"]
mod tasks;

use fault_store::{Fault, FaultStore};
use futures::executor::block_on;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tasks::{accepted, bound, ended, load, state};
use waxwingstall::ids::{DaemonId, PartitionId};
use waxwingstall::task::Record;
use waxwingstall::tasklog::{Error, Limits, Partition, Result};

const LIMITS: Limits =
    Limits { tail_bytes: 150, log_bytes: 600, page_bytes: 400, ended_tasks: 100, dropped_keys: 8 };

const FAULTS: [Fault; 7] = [
    Fault::Refused,
    Fault::AnswerLost,
    Fault::CallLost,
    Fault::Late(0),
    Fault::Late(2),
    Fault::Late(50),
    Fault::Stale,
];

/// A writer that tracks the reported outcome of its records.
struct Writer {
    name: &'static str,
    partition: Option<Partition>,
    /// Records whose outcome is not known yet.
    unresolved: Vec<Record>,
}

/// Records reported as durable, in order.
type Durable = Vec<Record>;

impl Writer {
    fn new(name: &'static str) -> Self {
        Self { name, partition: None, unresolved: Vec::new() }
    }

    /// Returns the partition, loading it if necessary; `None` if loading fails.
    fn loaded_partition(&mut self, store: &FaultStore) -> Option<&mut Partition> {
        if self.partition.is_none() {
            let id = DaemonId::new(self.name);
            let loaded = block_on(Partition::load(store, PartitionId(3), &id)).ok()?;
            self.partition = Some(loaded.partition.with_limits(LIMITS));
        }
        self.partition.as_mut()
    }

    fn commit(&mut self, store: &FaultStore, records: &[Record], durable: &mut Durable) {
        let Some(partition) = self.loaded_partition(store) else { return };
        if partition.unsettled() {
            return self.settle(store, durable);
        }
        let result = block_on(partition.commit(store, records));
        self.unresolved = records.to_vec();
        self.record_result(&result, durable);
    }

    fn compact(&mut self, store: &FaultStore, durable: &mut Durable) {
        let Some(partition) = self.loaded_partition(store) else { return };
        if partition.unsettled() {
            return self.settle(store, durable);
        }
        let result = block_on(partition.compact(store));
        block_on(partition.sweep(store));
        self.record_result(&result, durable);
    }

    fn settle(&mut self, store: &FaultStore, durable: &mut Durable) {
        let Some(partition) = self.partition.as_mut() else { return };
        let result = block_on(partition.settle(store));
        self.record_result(&result, durable);
    }

    fn record_result(&mut self, result: &Result<()>, durable: &mut Durable) {
        match result {
            Ok(()) => durable.append(&mut self.unresolved),
            Err(Error::NotWritten { .. }) => self.unresolved.clear(),
            Err(Error::Superseded { .. }) => {
                self.unresolved.clear();
                self.partition = None;
            }
            Err(Error::Unsettled { .. }) => {}
            Err(error) => panic!("{error}"),
        }
    }
}

/// Runs two writers, one after the other, with every kind of commit.
fn run_two_writers(store: &FaultStore) -> Durable {
    let mut durable = Durable::new();
    let mut first = Writer::new("a");
    first.commit(store, &[accepted(1)], &mut durable);
    let many: Vec<_> = (2..12).map(accepted).collect();
    first.commit(store, &many, &mut durable);
    first.compact(store, &mut durable);
    first.commit(store, &[bound(1, 1), bound(2, 1), ended(2, 1)], &mut durable);
    let mut second = Writer::new("b");
    second.commit(store, &[accepted(20), bound(3, 1)], &mut durable);
    second.compact(store, &mut durable);
    first.commit(store, &[bound(4, 1)], &mut durable);
    store.heal();
    first.settle(store, &mut durable);
    second.settle(store, &mut durable);
    durable
}

fn check(store: &FaultStore, durable: &Durable, case: &str) {
    store.heal();
    let mut last = load(store, "z").partition;
    let tasks: Vec<_> = last.tasks().cloned().collect();
    assert_eq!(tasks, state(durable.iter()), "{case}");
    while block_on(last.sweep(store)) > 0 {}
    block_on(last.compact(store)).expect("the service is back");
    while block_on(last.sweep(store)) > 0 {}
    assert!(store.keys().len() <= 2, "{case}: {:?}", store.keys());
}

#[test]
fn single_and_double_faults_at_any_call_keep_the_log_consistent() {
    let healthy = FaultStore::new();
    let durable = run_two_writers(&healthy);
    check(&healthy, &durable, "healthy");
    let calls = healthy.calls();
    let mut cases = 0;
    for call in 0..calls {
        for fault in FAULTS {
            for gap in [1, 2, 3, 5] {
                for next in FAULTS {
                    let store = FaultStore::new();
                    store.fail(call + gap, next);
                    store.fail(call, fault);
                    let durable = run_two_writers(&store);
                    check(&store, &durable, &format!("{fault:?} at {call}, {next:?} {gap} later"));
                    cases += 1;
                }
            }
        }
    }
    println!("{cases} cases over {calls} calls");
    assert!(cases > 4_000);
}

#[test]
fn outages_of_any_length_at_any_call_keep_the_log_consistent() {
    let mut cases = 0;
    for fault in [Fault::Refused, Fault::CallLost, Fault::AnswerLost, Fault::Stale] {
        for call in 0..24 {
            for length in [3, 4, 5, 8, 16, 64] {
                let store = FaultStore::new();
                (call..call + length).for_each(|call| store.fail(call, fault));
                let durable = run_two_writers(&store);
                check(&store, &durable, &format!("{length} times {fault:?} from {call}"));
                cases += 1;
            }
        }
    }
    println!("{cases} cases");
}

/// Runs two writers that repeatedly claim the partition from each other while calls fail.
fn race(seed: u64) -> usize {
    let mut rng = StdRng::seed_from_u64(seed);
    let store = FaultStore::new();
    let mut durable = Durable::new();
    let mut writers = [Writer::new("a"), Writer::new("b")];
    let mut number = 0;
    for _ in 0..60 {
        if rng.random_bool(0.1) {
            store.remember_past();
        }
        for call in store.calls()..store.calls() + 6 {
            if rng.random_bool(0.2) {
                store.fail(call, FAULTS[rng.random_range(0..FAULTS.len())]);
            }
        }
        let writer = &mut writers[rng.random_range(0..2)];
        if rng.random_bool(0.15) {
            writer.compact(&store, &mut durable);
        } else if rng.random_bool(0.1) && writer.unresolved.is_empty() {
            // A process that crashes loses its state in memory.
            writer.partition = None;
        } else {
            let batch: Vec<_> = (0..rng.random_range(1..8)).map(|n| accepted(number + n)).collect();
            number += 10;
            writer.commit(&store, &batch, &mut durable);
        }
    }
    store.heal();
    for writer in &mut writers {
        writer.settle(&store, &mut durable);
    }
    check(&store, &sorted(durable), &format!("seed {seed}"));
    store.calls()
}

/// Sorts by task, because late settling reports records out of order. Each task here has only one
/// record.
fn sorted(mut durable: Durable) -> Durable {
    durable.sort_by_key(|record| record.task);
    durable
}

#[test]
fn two_racing_writers_agree_with_the_log() {
    let calls: usize = (0..400).map(race).sum();
    println!("400 seeds, {calls} calls");
}
