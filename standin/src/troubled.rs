//! A table whose callers meet troubles, one call at a time.
//!
//! Whether it is asked in memory or over HTTP, the same call meets the same trouble, so that one
//! table of contract cases serves both.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// What happens to one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// It takes effect, and its answer is lost.
    AnswerLost,
    /// It gets no answer, and takes effect after the next call.
    Late,
    /// It is turned away and has no effect.
    Refused,
    /// It gets lost, with its answer.
    Lost,
}

/// What the caller sees.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Met<T> {
    Answered(T),
    Refused,
    NoAnswer,
}

type LateCall<T> = Box<dyn FnOnce(&mut T) + Send>;

/// A table with the troubles of its next calls.
pub struct Troubled<T> {
    table: Mutex<T>,
    next: Mutex<VecDeque<Trouble>>,
    late: Mutex<Vec<LateCall<T>>>,
}

impl<T> Troubled<T> {
    /// A table without trouble.
    pub fn new(table: T) -> Self {
        Self { table: Mutex::new(table), next: Mutex::default(), late: Mutex::default() }
    }

    /// The next call without a trouble of its own meets this one.
    pub fn meet(&self, trouble: Trouble) {
        lock(&self.next).push_back(trouble);
    }

    /// The table itself, for tests.
    pub fn table(&self) -> MutexGuard<'_, T> {
        lock(&self.table)
    }

    /// Makes a call.
    pub fn call<R>(&self, call: impl FnOnce(&mut T) -> R + Send + 'static) -> Met<R> {
        let trouble = lock(&self.next).pop_front();
        let mut table = lock(&self.table);
        let met = match trouble {
            None => Met::Answered(call(&mut table)),
            Some(Trouble::AnswerLost) => {
                call(&mut table);
                Met::NoAnswer
            }
            Some(Trouble::Late) => {
                let late: LateCall<T> = Box::new(|table| drop(call(table)));
                lock(&self.late).push(late);
                return Met::NoAnswer;
            }
            Some(Trouble::Refused) => Met::Refused,
            Some(Trouble::Lost) => Met::NoAnswer,
        };
        let late = std::mem::take(&mut *lock(&self.late));
        late.into_iter().for_each(|call| call(&mut table));
        met
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
