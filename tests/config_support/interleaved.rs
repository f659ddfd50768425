//! Runs futures in an order drawn from a seed.

use bytes::Bytes;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use waxwingstall::store::memory::MemoryStore;
use waxwingstall::store::{Entry, Expect, Result, Store};

/// A store whose every call, and every answer, takes a turn of its own.
pub struct Yielding(pub MemoryStore);

impl Store for Yielding {
    async fn get(&self, key: &str) -> Result<Option<Entry>> {
        turn(self.0.get(key)).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Entry>> {
        turn(self.0.list(prefix)).await
    }

    async fn put(&self, key: &str, value: Bytes, expect: Expect) -> Result<u64> {
        turn(self.0.put(key, value, expect)).await
    }

    async fn delete(&self, key: &str, expect: Expect) -> Result<()> {
        turn(self.0.delete(key, expect)).await
    }

    async fn watch(&self, key: &str, after: u64, wait: Duration) -> Result<Option<Entry>> {
        turn(self.0.watch(key, after, wait)).await
    }
}

async fn turn<T>(call: impl Future<Output = T>) -> T {
    yield_once().await;
    let answer = call.await;
    yield_once().await;
    answer
}

async fn yield_once() {
    let mut yielded = false;
    std::future::poll_fn(|_| {
        if std::mem::replace(&mut yielded, true) { Poll::Ready(()) } else { Poll::Pending }
    })
    .await;
}

/// Polls the futures in an order drawn from the seed, until all are done.
pub fn run<T>(seed: u64, mut futures: Vec<LocalBoxFuture<'_, T>>) -> Vec<T> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut outputs: Vec<Option<T>> = futures.iter().map(|_| None).collect();
    let mut cx = Context::from_waker(Waker::noop());
    loop {
        let waiting: Vec<usize> = (0..futures.len()).filter(|i| outputs[*i].is_none()).collect();
        if waiting.is_empty() {
            return outputs.into_iter().flatten().collect();
        }
        let i = waiting[rng.random_range(0..waiting.len())];
        if let Poll::Ready(output) = futures[i].poll_unpin(&mut cx) {
            outputs[i] = Some(output);
        }
    }
}
