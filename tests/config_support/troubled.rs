//! A store that gets into trouble at a chosen call.

use crate::changes::now;
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::time::Duration;
use waxwingstall::clock::ManualClock;
use waxwingstall::config::apply::{self, Applied, ChangeRequest, apply};
use waxwingstall::store::memory::{Fault, MemoryStore, Outage};
use waxwingstall::store::{Entry, Error, Expect, Result, Store};

/// What happens at one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    ErrorBefore,
    ErrorAfterEffect,
    StaleRead,
    /// The service is down from this call on.
    Down,
    /// The call takes effect, and the service is down from then on.
    DownAfterEffect,
    /// The caller dies before the call is sent.
    Killed,
    /// The caller dies after the call took effect.
    KilledAfterEffect,
    /// The write is under way when its caller gives up, and arrives later.
    Late,
    /// The caller is paused before the call, and another operator's change comes between.
    Rival,
}

/// All of them.
pub const TROUBLES: [Trouble; 9] = [
    Trouble::ErrorBefore,
    Trouble::ErrorAfterEffect,
    Trouble::StaleRead,
    Trouble::Down,
    Trouble::DownAfterEffect,
    Trouble::Killed,
    Trouble::KilledAfterEffect,
    Trouble::Late,
    Trouble::Rival,
];

/// A trouble and the call that it strikes, counted from one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Strike {
    pub call: usize,
    pub trouble: Trouble,
}

/// A store whose caller meets trouble.
pub struct Troubled<'a> {
    pub inner: MemoryStore,
    pub strikes: Vec<Strike>,
    pub rival: &'a ChangeRequest,
    pub calls: Cell<usize>,
    pub rival_won: RefCell<Option<apply::Result<Applied>>>,
    late: RefCell<Vec<LatePut>>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Call {
    Read,
    Write,
    Watch,
}

struct LatePut {
    key: String,
    value: Bytes,
    expect: Expect,
}

impl<'a> Troubled<'a> {
    pub fn new(inner: &MemoryStore, rival: &'a ChangeRequest, strikes: &[Strike]) -> Self {
        Self {
            inner: inner.clone(),
            strikes: strikes.to_vec(),
            rival,
            calls: Cell::new(0),
            rival_won: RefCell::new(None),
            late: RefCell::default(),
        }
    }

    /// Whether every strike's call was made.
    pub fn reached(&self) -> bool {
        self.strikes.iter().all(|strike| strike.call <= self.calls.get())
    }

    /// Lets the writes that were under way arrive.
    pub fn deliver(&self) {
        for put in self.late.take() {
            now(self.inner.put(&put.key, put.value, put.expect)).ok();
        }
    }

    async fn before(&self, call: Call) -> Option<Trouble> {
        self.calls.set(self.calls.get() + 1);
        let strike = self.strikes.iter().find(|strike| strike.call == self.calls.get())?;
        match strike.trouble {
            Trouble::ErrorBefore => self.inner.inject(Fault::ErrorBefore),
            Trouble::ErrorAfterEffect => self.inner.inject(Fault::ErrorAfterEffect),
            Trouble::StaleRead if call == Call::Read => self.inner.inject(Fault::StaleRead),
            Trouble::Down => self.inner.set_outage(Outage::Down),
            Trouble::Killed => std::future::pending().await,
            Trouble::Rival => {
                let clock = ManualClock::new();
                let won = now(apply(&self.inner, &clock, self.rival));
                self.rival_won.replace(Some(won));
            }
            Trouble::StaleRead
            | Trouble::Late
            | Trouble::DownAfterEffect
            | Trouble::KilledAfterEffect => {}
        }
        Some(strike.trouble)
    }

    async fn after(&self, trouble: Option<Trouble>) {
        match trouble {
            Some(Trouble::KilledAfterEffect) => std::future::pending().await,
            Some(Trouble::DownAfterEffect) => self.inner.set_outage(Outage::Down),
            _ => {}
        }
    }
}

impl Store for Troubled<'_> {
    async fn get(&self, key: &str) -> Result<Option<Entry>> {
        let trouble = self.before(Call::Read).await;
        let got = self.inner.get(key).await;
        self.after(trouble).await;
        got
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Entry>> {
        let trouble = self.before(Call::Read).await;
        let got = self.inner.list(prefix).await;
        self.after(trouble).await;
        got
    }

    async fn put(&self, key: &str, value: Bytes, expect: Expect) -> Result<u64> {
        let trouble = self.before(Call::Write).await;
        if trouble == Some(Trouble::Late) {
            self.late.borrow_mut().push(LatePut { key: key.to_owned(), value, expect });
            return Err(Error::Unknown { key: key.to_owned(), reason: "late".to_owned() });
        }
        let put = self.inner.put(key, value, expect).await;
        self.after(trouble).await;
        put
    }

    async fn delete(&self, key: &str, expect: Expect) -> Result<()> {
        let trouble = self.before(Call::Write).await;
        let deleted = self.inner.delete(key, expect).await;
        self.after(trouble).await;
        deleted
    }

    async fn watch(&self, key: &str, after: u64, wait: Duration) -> Result<Option<Entry>> {
        let trouble = self.before(Call::Watch).await;
        let got = self.inner.watch(key, after, wait).await;
        self.after(trouble).await;
        got
    }
}
