//! Every fault at every call of a partition's life, and two writers that race at random.
//!
//! Both compare with what was answered: records said to be durable are there, records said not to
//! be written are not and never appear, and the outcome of the others becomes known.

#[allow(dead_code, reason = "each file of tests uses a part of it")]
#[path = "common/fault_store.rs"]
mod fault_store;
#[allow(dead_code, reason = "each file of tests uses a part of it")]
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

/// A writer that keeps what it was told of its records.
struct Writer {
    name: &'static str,
    partition: Option<Partition>,
    /// Records whose outcome is open.
    open: Vec<Record>,
}

/// Records said to be durable, in order.
type Durable = Vec<Record>;

impl Writer {
    fn new(name: &'static str) -> Self {
        Self { name, partition: None, open: Vec::new() }
    }

    /// Loads the partition unless it is loaded.
    fn ready(&mut self, store: &FaultStore) -> Option<&mut Partition> {
        if self.partition.is_none() {
            let id = DaemonId::new(self.name);
            let loaded = block_on(Partition::load(store, PartitionId(3), &id)).ok()?;
            self.partition = Some(loaded.partition.with_limits(LIMITS));
        }
        self.partition.as_mut()
    }

    fn commit(&mut self, store: &FaultStore, records: &[Record], durable: &mut Durable) {
        let Some(partition) = self.ready(store) else { return };
        if partition.unsettled() {
            return self.settle(store, durable);
        }
        let result = block_on(partition.commit(store, records));
        self.open = records.to_vec();
        self.conclude(&result, durable);
    }

    fn compact(&mut self, store: &FaultStore, durable: &mut Durable) {
        let Some(partition) = self.ready(store) else { return };
        if partition.unsettled() {
            return self.settle(store, durable);
        }
        let result = block_on(partition.compact(store));
        block_on(partition.sweep(store));
        self.conclude(&result, durable);
    }

    fn settle(&mut self, store: &FaultStore, durable: &mut Durable) {
        let Some(partition) = self.partition.as_mut() else { return };
        let result = block_on(partition.settle(store));
        self.conclude(&result, durable);
    }

    fn conclude(&mut self, result: &Result<()>, durable: &mut Durable) {
        match result {
            Ok(()) => durable.append(&mut self.open),
            Err(Error::NotWritten { .. }) => self.open.clear(),
            Err(Error::Superseded { .. }) => {
                self.open.clear();
                self.partition = None;
            }
            Err(Error::Unsettled { .. }) => {}
            Err(error) => panic!("{error}"),
        }
    }
}

/// Two writers, one after the other, with every kind of commit.
fn life(store: &FaultStore) -> Durable {
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

fn check(store: &FaultStore, durable: &Durable, what: &str) {
    store.heal();
    let mut last = load(store, "z").partition;
    let tasks: Vec<_> = last.tasks().cloned().collect();
    assert_eq!(tasks, state(durable.iter()), "{what}");
    while block_on(last.sweep(store)) > 0 {}
    block_on(last.compact(store)).expect("the service is back");
    while block_on(last.sweep(store)) > 0 {}
    assert!(store.keys().len() <= 2, "{what}: {:?}", store.keys());
}

#[test]
fn no_single_or_double_fault_at_any_call_breaks_a_promise() {
    let healthy = FaultStore::new();
    let durable = life(&healthy);
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
                    let durable = life(&store);
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
fn no_outage_of_any_length_at_any_call_breaks_a_promise() {
    let mut cases = 0;
    for fault in [Fault::Refused, Fault::CallLost, Fault::AnswerLost, Fault::Stale] {
        for call in 0..24 {
            for length in [3, 4, 5, 8, 16, 64] {
                let store = FaultStore::new();
                (call..call + length).for_each(|call| store.fail(call, fault));
                let durable = life(&store);
                check(&store, &durable, &format!("{length} times {fault:?} from {call}"));
                cases += 1;
            }
        }
    }
    println!("{cases} cases");
}

/// Two writers that take the partition from each other while calls fail.
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
        } else if rng.random_bool(0.1) && writer.open.is_empty() {
            // A process that dies loses what it knows.
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

/// Settling late may tell of records out of order; tasks here have one record each.
fn sorted(mut durable: Durable) -> Durable {
    durable.sort_by_key(|record| record.task);
    durable
}

#[test]
fn two_racing_writers_never_disagree_with_the_log() {
    let calls: usize = (0..400).map(race).sum();
    println!("400 seeds, {calls} calls");
}
