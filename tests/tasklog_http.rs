//! Tests of the task log over HTTP, against the stand-in of the key-value service.

#[allow(dead_code, reason = "each test file uses only a part of it")]
#[path = "common/tasks.rs"]
mod tasks;

use std::time::Duration;
use tasks::{accepted, bound, ended, state};
use waxwingstall::ids::{DaemonId, PartitionId};
use waxwingstall::store::http::HttpStore;
use waxwingstall::store::memory::{Fault, Outage};
use waxwingstall::task::{Change, Record, TaskState};
use waxwingstall::tasklog::{Error, Limits, Partition};
use waxwingstall_standin::kv::{Kv, Pace};

async fn loaded(store: &HttpStore, writer: &str) -> Partition {
    let loaded = Partition::load(store, PartitionId(3), &DaemonId::new(writer)).await;
    loaded.expect("the service answers").partition
}

async fn tasks_now(store: &HttpStore) -> Vec<TaskState> {
    loaded(store, "reader").await.tasks().cloned().collect()
}

#[actix_rt::test]
async fn what_was_committed_and_compacted_is_read_back() {
    let kv = Kv::start();
    let store = HttpStore::new(&kv.url());
    let mut partition = loaded(&store, "a").await;
    let many: Vec<Record> = (1..=200).flat_map(|n| [accepted(n), bound(n, 1)]).collect();
    partition.commit(&store, &many).await.expect("written");
    partition.compact(&store).await.expect("written");
    let tail = [ended(7, 1), accepted(201)];
    partition.commit(&store, &tail).await.expect("written");
    while partition.sweep(&store).await > 0 {}
    assert_eq!(tasks_now(&store).await, state(many.iter().chain(&tail)));
}

// Guards against accepting a task twice or not at all. The service applies the compare-and-swap of
// the head, and the connection closes before the response. The writer retries, gets a conflict, and
// must recognize its own commit in the head.
#[actix_rt::test]
async fn an_answer_lost_on_the_way_is_settled_as_durable() {
    let kv = Kv::start();
    let store = HttpStore::new(&kv.url());
    let mut partition = loaded(&store, "a").await;
    kv.faults().lose_answers(1);
    let calls = kv.calls();
    assert_eq!(partition.commit(&store, &[accepted(1)]).await, Ok(()));
    assert_eq!(
        kv.calls() - calls,
        3,
        "the call with the lost response, its retry and the read of the head"
    );
    assert_eq!(tasks_now(&store).await, state([accepted(1)].iter()));
}

// Guards against reporting an outcome that is not known. The service responds to no call, so the
// partition must not accept another commit until the service is available again. The first commit
// is then settled as durable.
#[actix_rt::test]
async fn a_silent_service_leaves_a_commit_open_until_it_is_back() {
    let kv = Kv::start();
    let store = HttpStore::new(&kv.url()).with_timeout(Duration::from_millis(40));
    let mut partition = loaded(&store, "a").await;
    kv.faults().set_pace(Pace::Silent);
    let open = partition.commit(&store, &[accepted(1)]).await;
    assert!(matches!(open, Err(Error::Unsettled { .. })), "{open:?}");
    assert!(partition.commit(&store, &[accepted(2)]).await.is_err());
    kv.faults().set_pace(Pace::Prompt);
    let store = HttpStore::new(&kv.url());
    assert_eq!(partition.settle(&store).await, Ok(()));
    partition.commit(&store, &[accepted(2)]).await.expect("written");
    assert_eq!(tasks_now(&store).await, state([accepted(1), accepted(2)].iter()));
}

#[actix_rt::test]
async fn an_outage_is_reported_as_not_written_and_a_single_failure_is_retried() {
    let kv = Kv::start();
    let store = HttpStore::new(&kv.url());
    let mut partition = loaded(&store, "a").await;
    kv.faults().set_outage(Outage::Down);
    let refused = partition.commit(&store, &[accepted(1)]).await;
    assert!(matches!(refused, Err(Error::NotWritten { .. })), "{refused:?}");
    kv.faults().set_outage(Outage::Up);
    kv.faults().inject(Fault::ErrorBefore);
    partition.commit(&store, &[accepted(2)]).await.expect("the second attempt succeeds");
    assert_eq!(tasks_now(&store).await, state([accepted(2)].iter()));
}

// The next writer reads the whole partition with one list call. Guards against a response limit
// that is too low: the payloads make the list several megabytes, more than HTTP clients read by
// default.
#[actix_rt::test]
async fn a_partition_of_many_megabytes_is_read() {
    let kv = Kv::start();
    let store = HttpStore::new(&kv.url());
    let limits = Limits { log_bytes: usize::MAX, ..Limits::default() };
    let mut partition = loaded(&store, "a").await.with_limits(limits);
    let large = |n| {
        let mut record = accepted(n);
        let Change::Accepted { spec, .. } = &mut record.change else { unreachable!() };
        spec.payload = format!("{n:01000}");
        record
    };
    for first in (1..=6_000).step_by(500) {
        let records: Vec<_> = (first..first + 500).map(large).collect();
        partition.commit(&store, &records).await.expect("written");
    }
    assert_eq!(loaded(&store, "b").await.tasks().count(), 6_000, "from segments");
    let mut partition = loaded(&store, "c").await;
    partition.compact(&store).await.expect("written");
    assert_eq!(loaded(&store, "d").await.tasks().count(), 6_000, "from pages");
}
