//! Which answers of the store bound the times of its revisions.

use crate::harness::{Harness, SlowStore};
use std::time::Duration;
use waxwingstall::jobs::records::MonitoredStore;
use waxwingstall::kv::{Freshness, Rev, Watch};
use waxwingstall_standin::txns::ANSWER_CHANGES;

const WAIT: Duration = Duration::from_secs(1);

fn monitored(harness: &Harness) -> MonitoredStore<SlowStore> {
    MonitoredStore::new(harness.store.clone(), harness.clock.clone())
}

fn vms(after: Rev) -> Watch {
    Watch::new("vm/", after, Duration::from_millis(1))
}

/// The store's revision.
fn revision(harness: &Harness) -> Rev {
    harness.table.table().revision()
}

/// Time after which a change made now was written, as far as is known.
fn bound_of_next(harness: &Harness, store: &MonitoredStore<SlowStore>) -> Option<Duration> {
    store.times().written_after(Rev(revision(harness).0 + 1))
}

#[actix_rt::test]
async fn a_fresh_read_bounds_later_changes_by_its_request() {
    let harness = Harness::start(3);
    let store = monitored(&harness);
    let asked = harness.clock.now();
    store.range("vm/", None, Freshness::Latest).await.expect("the store is up");
    assert_eq!(bound_of_next(&harness, &store), Some(asked));
    let answered = harness.clock.now();
    assert_eq!(store.times().written_before(revision(&harness)), Some(answered));
}

// Guards against announcements that seem to be younger than they are: a stale read is of an earlier
// time than its request.
#[actix_rt::test]
async fn a_stale_read_bounds_nothing() {
    let harness = Harness::start(3);
    let store = monitored(&harness);
    store.range("vm/", None, Freshness::Stale).await.expect("the store is up");
    assert_eq!(bound_of_next(&harness, &store), None);
}

// Guards against the same for answers that leave out changes from before the request.
#[actix_rt::test]
async fn a_truncated_answer_bounds_nothing() {
    let mut harness = Harness::start(3);
    let (store, before) = (monitored(&harness), revision(&harness));
    (0..2 * ANSWER_CHANGES).for_each(|number| harness.announce(number % 3, "ready"));
    let answer = store.watch(&vms(before)).await.expect("the store is up");
    assert!(answer.at < revision(&harness));
    assert_eq!(bound_of_next(&harness, &store), None);
    assert_eq!(store.times().written_after(Rev(answer.at.0 + 1)), None);
}

// Guards against the same for a watch that is seen to be behind.
#[actix_rt::test]
async fn an_answer_behind_a_known_revision_bounds_nothing() {
    let mut harness = Harness::start(3);
    let (store, before) = (monitored(&harness), revision(&harness));
    tokio::time::sleep(WAIT).await;
    harness.announce(0, "ready");
    harness.delay_watches(WAIT / 2);
    tokio::time::sleep(WAIT).await;
    harness.announce(0, "ready");
    store.call(|store| waxwingstall::kv::KvStore::get(store, "vm/0000")).await.expect("it is up");
    let answer = store.watch(&vms(before)).await.expect("the store is up");
    assert!(before < answer.at && answer.at < revision(&harness));
    assert_eq!(store.times().written_after(Rev(answer.at.0 + 1)), None);
}

#[actix_rt::test]
async fn a_watch_without_changes_bounds_later_changes_by_the_end_of_its_wait() {
    let mut harness = Harness::start(3);
    let (store, before, asked) = (monitored(&harness), revision(&harness), harness.clock.now());
    harness.announce(0, "ready");
    store.watch(&Watch::new("op/", before, WAIT)).await.expect("the store is up");
    assert_eq!(bound_of_next(&harness, &store), Some(asked + WAIT));
}

// Guards against bounds that lie in the future: a watch may be cut before the end of its wait.
#[actix_rt::test]
async fn a_watch_that_is_cut_bounds_later_changes_by_its_request() {
    let mut harness = Harness::start(3);
    let (store, before, asked) = (monitored(&harness), revision(&harness), harness.clock.now());
    harness.announce(0, "ready");
    harness.cut_watches();
    store.watch(&Watch::new("op/", before, WAIT)).await.expect("the store is up");
    assert_eq!(bound_of_next(&harness, &store), Some(asked));
}
