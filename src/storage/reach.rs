//! A client of the key-value service that tracks whether the service is reachable.

use crate::clock::Clock;
use crate::store::http::HttpStore;
use crate::store::{Entry, Error, Expect, Result, Store};
use bytes::Bytes;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Whether the service is reachable, and since when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reachability {
    pub answers: Answers,
    /// When `answers` last changed, on the daemon's clock.
    pub since: Duration,
}

/// Whether the last call reached the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answers {
    Reached,
    NotReached,
}

/// The client shared by all loops of a daemon.
#[derive(Clone)]
pub struct SharedStore {
    store: HttpStore,
    clock: Arc<dyn Clock>,
    reach: Rc<Cell<Reachability>>,
}

impl SharedStore {
    /// Creates a client of the service at the base URL, initially `NotReached`.
    pub fn new(url: &str, clock: Arc<dyn Clock>) -> Self {
        let reach = Reachability { answers: Answers::NotReached, since: clock.now() };
        Self { store: HttpStore::new(url), clock, reach: Rc::new(Cell::new(reach)) }
    }

    /// The service's reachability as of the last call.
    pub fn reach(&self) -> Reachability {
        self.reach.get()
    }

    fn record_result<T>(&self, result: Result<T>) -> Result<T> {
        let answers = match &result {
            Ok(_) | Err(Error::Conflict { .. } | Error::TooLarge { .. }) => Answers::Reached,
            Err(Error::Unavailable { .. } | Error::Unknown { .. }) => Answers::NotReached,
        };
        if self.reach.get().answers != answers {
            self.reach.set(Reachability { answers, since: self.clock.now() });
            log::warn!(answers:? = answers; "store-reach");
        }
        result
    }
}

impl Store for SharedStore {
    async fn get(&self, key: &str) -> Result<Option<Entry>> {
        self.record_result(self.store.get(key).await)
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Entry>> {
        self.record_result(self.store.list(prefix).await)
    }

    async fn put(&self, key: &str, value: Bytes, expect: Expect) -> Result<u64> {
        self.record_result(self.store.put(key, value, expect).await)
    }

    async fn delete(&self, key: &str, expect: Expect) -> Result<()> {
        self.record_result(self.store.delete(key, expect).await)
    }

    async fn watch(&self, key: &str, after: u64, wait: Duration) -> Result<Option<Entry>> {
        self.record_result(self.store.watch(key, after, wait).await)
    }
}
