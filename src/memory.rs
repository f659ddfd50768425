//! Accounting of memory that clients make the process hold.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A limit on the bytes held at once. Clones share it.
#[derive(Clone, Debug)]
pub struct MemoryBudget(Arc<Counter>);

#[derive(Debug)]
struct Counter {
    limit: usize,
    held: AtomicUsize,
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self(Arc::new(Counter { limit, held: AtomicUsize::new(0) }))
    }

    /// The limit in bytes.
    pub fn limit(&self) -> usize {
        self.0.limit
    }

    /// Number of bytes that are reserved.
    pub fn held(&self) -> usize {
        self.0.held.load(Ordering::Relaxed)
    }

    /// Creates a reservation of no bytes.
    pub fn reservation(&self) -> Reservation {
        Reservation { budget: self.clone(), bytes: 0 }
    }

    fn try_add(&self, bytes: usize) -> bool {
        let add = |held: usize| held.checked_add(bytes).filter(|held| *held <= self.0.limit);
        self.0.held.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add).is_ok()
    }
}

/// Bytes reserved of a budget, until dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: MemoryBudget,
    bytes: usize,
}

impl Reservation {
    /// Number of bytes reserved.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Changes the size; returns false, and changes nothing, if the budget doesn't allow it.
    #[must_use]
    pub fn try_resize(&mut self, bytes: usize) -> bool {
        if bytes <= self.bytes {
            self.budget.0.held.fetch_sub(self.bytes - bytes, Ordering::Relaxed);
        } else if !self.budget.try_add(bytes - self.bytes) {
            return false;
        }
        self.bytes = bytes;
        true
    }

    /// Gives all bytes back.
    pub fn release(&mut self) {
        let bytes = std::mem::take(&mut self.bytes);
        self.budget.0.held.fetch_sub(bytes, Ordering::Relaxed);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.release();
    }
}
