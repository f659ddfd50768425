//! Tests of a task log partition without faults and across changes of its writer.

#[allow(dead_code, reason = "each test file uses only a part of it")]
#[path = "common/fault_store.rs"]
mod fault_store;
#[allow(dead_code, reason = "each test file uses only a part of it")]
#[path = "common/tasks.rs"]
mod tasks;

use fault_store::{Call, Fault, FaultStore};
use futures::executor::block_on;
use tasks::{accepted, bound, ended, load, record, state};
use waxwingstall::ids::{Attempt, CheckpointId, DaemonId, IdempotencyKey, PartitionId, TaskId};
use waxwingstall::store::Store;
use waxwingstall::task::{Change, Phase, Record};
use waxwingstall::tasklog::{Error, Limits, Partition};

const SMALL: Limits =
    Limits { tail_bytes: 64, log_bytes: 256, page_bytes: 300, ended_tasks: 2, dropped_keys: 4 };

fn commit(partition: &mut Partition, store: &FaultStore, records: &[Record]) {
    block_on(partition.commit(store, records)).expect("the store works");
}

#[test]
fn a_new_partition_is_empty_and_numbers_from_one() {
    let store = FaultStore::new();
    let loaded = load(&store, "a");
    assert!(loaded.tasks.is_empty());
    assert_eq!(loaded.next_number, 1);
}

#[test]
fn the_next_writer_reads_what_the_last_one_committed() {
    let store = FaultStore::new();
    let mut partition = load(&store, "a").partition.with_limits(SMALL);
    let records: Vec<_> = (1..=20).flat_map(|n| [accepted(n), bound(n, 1)]).collect();
    records.chunks(3).for_each(|chunk| commit(&mut partition, &store, chunk));
    let released = Change::Released {
        attempt: Attempt(1),
        checkpoint: Some(CheckpointId::new("c")),
        failed: true,
    };
    let tail = [record(7, released), bound(7, 2), ended(8, 1), record(9, Change::CancelAsked)];
    commit(&mut partition, &store, &tail);

    let loaded = load(&store, "b");
    assert_eq!(loaded.tasks, state(records.iter().chain(&tail)));
    assert_eq!(loaded.next_number, 21);
}

#[test]
fn a_compacted_partition_reads_the_same() {
    let store = FaultStore::new();
    let limits = Limits { ended_tasks: 100, ..SMALL };
    let mut partition = load(&store, "a").partition.with_limits(limits);
    let records: Vec<_> = (1..=30).flat_map(|n| [accepted(n), bound(n, 1)]).collect();
    commit(&mut partition, &store, &records);
    assert!(partition.compact_due());
    block_on(partition.compact(&store)).expect("the store works");
    let tail = [ended(4, 1), accepted(31), record(6, Change::CancelAsked)];
    commit(&mut partition, &store, &tail);

    let loaded = load(&store, "b");
    assert_eq!(loaded.tasks, state(records.iter().chain(&tail)));
    assert!(partition.tasks().eq(&loaded.tasks));
    assert_eq!(loaded.next_number, 32);
}

#[test]
fn compaction_leaves_only_what_the_head_names() {
    let store = FaultStore::new();
    let mut partition = load(&store, "a").partition.with_limits(SMALL);
    for n in 1..=10 {
        commit(&mut partition, &store, &[accepted(n), bound(n, 1)]);
    }
    assert!(store.keys().len() > 5, "each commit over the tail's size is a segment");
    block_on(partition.compact(&store)).expect("the store works");
    while block_on(partition.sweep(&store)) > 0 {}
    let pages = store.keys().len() - 1;
    assert!((1..=5).contains(&pages), "{:?}", store.keys());
}

#[test]
fn ended_tasks_beyond_the_limit_keep_only_their_key() {
    let store = FaultStore::new();
    let mut partition = load(&store, "a").partition.with_limits(SMALL);
    for n in 1..=5 {
        commit(&mut partition, &store, &[accepted(n), bound(n, 1)]);
    }
    // Task 5 ends first, so that the order of ending differs from that of the numbers.
    for n in [5, 1, 2, 3] {
        commit(&mut partition, &store, &[ended(n, 1)]);
    }
    block_on(partition.compact(&store)).expect("the store works");

    let loaded = load(&store, "b");
    let kept: Vec<_> = loaded.tasks.iter().map(|task| task.id.number).collect();
    assert_eq!(kept, [2, 3, 4]);
    for n in 1..=5 {
        let found = loaded.partition.find_key(&tasks::key(n));
        assert_eq!(found, Some(TaskId::new(PartitionId(3), n)), "key {n}");
    }
    assert_eq!(loaded.partition.find_key(&IdempotencyKey::new("never")), None);
    assert_eq!(loaded.next_number, 6, "numbers of dropped tasks are not reused");
}

// Guards against running a repeated submission twice. The first task ended and was dropped, the
// writer that had its key in memory is gone, and the next one numbers the repeated submission as a
// new task. The commit must fail with an error that contains the first task.
#[test]
fn a_repeated_key_makes_no_second_task_after_the_first_was_dropped() {
    let store = FaultStore::new();
    let mut partition = load(&store, "a").partition.with_limits(SMALL);
    for n in 1..=4 {
        commit(&mut partition, &store, &[accepted(n), bound(n, 1), ended(n, 1)]);
    }
    block_on(partition.compact(&store)).expect("the store works");

    let mut next = load(&store, "b").partition;
    assert!(next.tasks().all(|task| task.key != tasks::key(1)), "the first task is dropped");
    let mut again = accepted(5);
    let Change::Accepted { key, .. } = &mut again.change else { unreachable!() };
    *key = tasks::key(1);
    let task = TaskId::new(PartitionId(3), 1);
    let repeated = Error::DuplicateKey { key: tasks::key(1), task };
    assert_eq!(block_on(next.commit(&store, &[accepted(6), again])), Err(repeated));
    assert_eq!(load(&store, "c").next_number, 5, "nothing of the batch was written");
}

#[test]
fn keys_of_dropped_tasks_are_evicted_oldest_first() {
    let store = FaultStore::new();
    let mut partition = load(&store, "a").partition.with_limits(SMALL);
    for n in 1..=20 {
        commit(&mut partition, &store, &[accepted(n), bound(n, 1), ended(n, 1)]);
        block_on(partition.compact(&store)).expect("the store works");
    }
    let loaded = load(&store, "b");
    let known = |n| loaded.partition.find_key(&tasks::key(n)).is_some();
    assert!((15..=20).all(known), "two whole tasks and four keys are kept");
    assert!(!(1..=14).any(known), "the others are evicted");
    assert!((1..=20).all(|n| partition.find_key(&tasks::key(n)).is_some() == known(n)));
}

#[test]
fn a_small_commit_is_one_call_and_a_large_one_two() {
    let store = FaultStore::new();
    let mut partition = load(&store, "a").partition;
    let before = store.calls();
    commit(&mut partition, &store, &[accepted(1), bound(1, 1)]);
    assert_eq!(store.calls() - before, 1);
    let many: Vec<_> = (2..=100).map(accepted).collect();
    commit(&mut partition, &store, &many);
    let kinds: Vec<_> = store.made_since(before + 1).iter().map(|made| made.call).collect();
    assert_eq!(kinds, [Call::Put, Call::Put]);
}

// Guards against commits of a paused writer. While it is paused, another daemon claims the
// partition, commits and compacts. The old writer then resumes and commits, and must fail as
// superseded, since its compare-and-swap expects a version that can't recur.
#[test]
fn a_writer_that_slept_through_a_takeover_commits_nothing() {
    let store = FaultStore::new();
    let mut old = load(&store, "a").partition.with_limits(SMALL);
    commit(&mut old, &store, &[accepted(1)]);
    let mut new = load(&store, "b").partition.with_limits(SMALL);
    commit(&mut new, &store, &[accepted(2), bound(1, 1)]);
    block_on(new.compact(&store)).expect("the store works");
    while block_on(new.sweep(&store)) > 0 {}

    let superseded = Error::Superseded { partition: PartitionId(3), by: DaemonId::new("b") };
    assert_eq!(block_on(old.commit(&store, &[bound(1, 2)])), Err(superseded.clone()));
    assert_eq!(block_on(old.compact(&store)), Err(superseded));
    let loaded = load(&store, "c");
    assert_eq!(loaded.tasks, state([accepted(1), accepted(2), bound(1, 1)].iter()));
}

// Guards against reporting a durable commit as lost. The commit takes effect and its response is
// lost. A second daemon then claims the partition and commits before the first one reads the head
// back. The head keeps the last commit of each recent claim, so the first writer can still
// determine that its records are durable.
#[test]
fn a_lost_answer_is_settled_even_after_a_takeover() {
    let store = FaultStore::new();
    let mut old = load(&store, "a").partition;
    store.fail_next(40, Fault::Refused);
    store.fail_next(1, Fault::AnswerLost);
    let first = block_on(old.commit(&store, &[accepted(1)]));
    assert!(matches!(first, Err(Error::Unsettled { .. })), "{first:?}");
    let blocked = block_on(old.commit(&store, &[accepted(2)]));
    assert!(matches!(blocked, Err(Error::Unsettled { .. })), "nothing commits meanwhile");

    store.heal();
    let mut new = load(&store, "b").partition;
    commit(&mut new, &store, &[bound(1, 1)]);
    assert_eq!(block_on(old.settle(&store)), Ok(()));
    let next = block_on(old.commit(&store, &[accepted(2)]));
    assert!(matches!(next, Err(Error::Superseded { .. })), "{next:?}");
    assert_eq!(load(&store, "c").tasks, state([accepted(1), bound(1, 1)].iter()));
}

// The same sequence, but the first write never reaches the store, so its records are not written.
#[test]
fn a_lost_write_is_settled_as_not_written_after_a_takeover() {
    let store = FaultStore::new();
    let mut old = load(&store, "a").partition;
    store.fail_next(40, Fault::Refused);
    store.fail_next(1, Fault::CallLost);
    assert!(block_on(old.commit(&store, &[accepted(1)])).is_err());
    store.heal();
    let mut new = load(&store, "b").partition;
    commit(&mut new, &store, &[accepted(7)]);
    let settled = block_on(old.settle(&store));
    assert!(matches!(settled, Err(Error::Superseded { .. })), "{settled:?}");
    assert_eq!(load(&store, "c").tasks, state([accepted(7)].iter()));
}

// Guards against two writers after concurrent claims. Both daemons read the same head, and the
// second claim's compare-and-swap must fail because of the first one's claim.
#[test]
fn of_two_claims_on_one_head_the_second_is_refused() {
    let store = FaultStore::new();
    drop(load(&store, "a"));
    store.remember_past();
    drop(load(&store, "b"));
    store.fail_next(1, Fault::Stale);
    let late = block_on(Partition::load(&store, PartitionId(3), &DaemonId::new("c")));
    let superseded = Error::Superseded { partition: PartitionId(3), by: DaemonId::new("b") };
    assert_eq!(late.map(|loaded| loaded.next_number), Err(superseded));
}

// A writer crashes after it wrote a segment and before a head references it. The records must have
// no effect, and the next writer deletes the orphan but keeps a value of a later writer.
#[test]
fn orphans_of_earlier_writers_are_deleted_and_those_of_later_ones_kept() {
    let store = FaultStore::new();
    let mut dead = load(&store, "a").partition.with_limits(SMALL);
    (1..40).for_each(|call| store.fail(store.calls() + call, Fault::Refused));
    let many: Vec<_> = (1..=9).map(accepted).collect();
    assert!(block_on(dead.commit(&store, &many)).is_err());
    store.heal();
    let orphans = store.keys().len();
    let later = "tasks/3/v/63.1";
    block_on(store.put(later, "put by epoch 99".into(), waxwingstall::store::Expect::Any))
        .expect("up");

    let mut next = load(&store, "b").partition;
    assert!(next.tasks().next().is_none());
    while block_on(next.sweep(&store)) > 0 {}
    assert_eq!(orphans, 2, "the head and the orphan");
    assert_eq!(store.keys(), ["tasks/3/head", later]);
}

#[test]
fn a_record_of_another_partition_is_refused() {
    let store = FaultStore::new();
    let mut partition = load(&store, "a").partition;
    let mut foreign = accepted(1);
    foreign.task.partition = PartitionId(4);
    let result = block_on(partition.commit(&store, &[foreign.clone()]));
    assert_eq!(
        result,
        Err(Error::WrongPartition { partition: PartitionId(3), task: foreign.task })
    );
}

#[test]
fn a_missing_or_corrupt_value_is_reported_with_its_key() {
    let store = FaultStore::new();
    let mut partition = load(&store, "a").partition.with_limits(SMALL);
    (1..=9).for_each(|n| commit(&mut partition, &store, &[accepted(n), bound(n, 1)]));
    let key = store.keys().into_iter().find(|key| key.contains("/v/")).expect("a segment");
    let read = || block_on(Partition::load(&store, PartitionId(3), &DaemonId::new("b")));
    store.damage(&key, b"\xff\xff\xff");
    let damaged = read().map(|loaded| loaded.next_number);
    assert!(matches!(damaged, Err(Error::Corrupt { key: k, .. }) if k == key));
    store.lose(&key);
    assert_eq!(read().map(|loaded| loaded.next_number), Err(Error::Missing { key }));
}

#[test]
fn a_record_too_large_for_the_store_is_refused_and_the_next_one_is_not() {
    let store = FaultStore::new();
    let mut partition = load(&store, "a").partition;
    let mut large = accepted(1);
    let Change::Accepted { spec, .. } = &mut large.change else { unreachable!() };
    spec.payload = "x".repeat(2 << 20);
    let refused = block_on(partition.commit(&store, &[large]));
    assert!(matches!(refused, Err(Error::NotWritten { .. })), "{refused:?}");
    commit(&mut partition, &store, &[accepted(1)]);
    let tasks = load(&store, "b").tasks;
    assert_eq!(tasks.len(), 1);
    assert_eq!(tasks[0].phase, Phase::Waiting);
}
