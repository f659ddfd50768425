//! The key-value service in memory, with a schedule of faults.
//!
//! Tests and the HTTP stand-in share it, so that both mean the same by each fault. Clones share
//! the data. Versions are drawn from one counter, so that a key deleted and written again never
//! shows a version it had before.

use crate::store::{Entry, Error, Expect, MAX_VALUE_BYTES, Result, Store};
use bytes::Bytes;
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;

/// Older values kept of each key, for stale reads.
const HISTORY: usize = 8;

/// A call that goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The call fails and has no effect.
    ErrorBefore,
    /// The call takes effect and its answer is lost.
    ErrorAfterEffect,
    /// A read answers with the value before the present one.
    StaleRead,
    /// A watch misses every change until it ends.
    LostWatch,
    /// A watch answers at once with what its caller has already.
    DuplicateEvent,
}

/// Whether the service answers at all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Outage {
    #[default]
    Up,
    Down,
}

/// What callers have asked of the service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Calls, a waiting watch counted as one.
    pub calls: u64,
    /// Calls that may write.
    pub writes: u64,
    /// Keys and values, both ways.
    pub bytes: u64,
}

/// The service's data and faults.
#[derive(Clone, Debug)]
pub struct MemoryStore {
    state: Arc<Mutex<State>>,
    changed: watch::Sender<u64>,
}

#[derive(Clone, Debug, Default)]
struct State {
    entries: BTreeMap<String, Vec<Entry>>,
    version: u64,
    next: VecDeque<Fault>,
    scheduled: BTreeMap<u64, Fault>,
    outage: Outage,
    usage: Usage,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Kind {
    Read,
    Write,
    Watch,
}

impl Fault {
    fn strikes(self, kind: Kind) -> bool {
        match self {
            Self::ErrorBefore | Self::ErrorAfterEffect => true,
            Self::StaleRead => kind == Kind::Read,
            Self::LostWatch | Self::DuplicateEvent => kind == Kind::Watch,
        }
    }
}

impl Default for MemoryStore {
    fn default() -> Self {
        Self::new()
    }
}

impl MemoryStore {
    /// An empty store without faults.
    pub fn new() -> Self {
        Self { state: Arc::default(), changed: watch::Sender::new(0) }
    }

    /// A store of its own with the same data, history and faults.
    pub fn fork(&self) -> Self {
        let state = self.state().clone();
        Self { changed: watch::Sender::new(state.version), state: Arc::new(Mutex::new(state)) }
    }

    /// Adds a fault that strikes call number `call`, counted from one.
    pub fn with_fault(self, call: u64, fault: Fault) -> Self {
        self.state().scheduled.insert(call, fault);
        self
    }

    /// Queues a fault for the next call that it can strike.
    pub fn inject(&self, fault: Fault) {
        self.state().next.push_back(fault);
    }

    /// Takes the service down, or brings it back with its data.
    pub fn set_outage(&self, outage: Outage) {
        self.state().outage = outage;
        self.changed.send_modify(|_| {});
    }

    /// What was asked so far.
    pub fn usage(&self) -> Usage {
        self.state().usage
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn next_event(&self, key: &str, after: u64) -> Result<Option<Entry>> {
        let mut changes = self.changed.subscribe();
        loop {
            changes.borrow_and_update();
            {
                let mut state = self.state();
                if state.outage == Outage::Down {
                    return Err(unavailable("down"));
                }
                if let Some(entry) = state.latest(key).filter(|entry| entry.version > after) {
                    state.count_value(entry.value.len());
                    return Ok(Some(entry));
                }
            }
            if changes.changed().await.is_err() {
                return Ok(None);
            }
        }
    }

    async fn lost_watch(&self, wait: Duration) -> Result<Option<Entry>> {
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
        Ok(None)
    }
}

impl State {
    fn begin(&mut self, kind: Kind, key: &str) -> Result<Option<Fault>> {
        self.usage.calls += 1;
        self.usage.writes += u64::from(kind == Kind::Write);
        self.count_value(key.len());
        let fault = match self.scheduled.remove(&self.usage.calls) {
            Some(fault) => Some(fault),
            None => self.next_fault(kind),
        };
        if self.outage == Outage::Down {
            return Err(unavailable("down"));
        }
        match fault {
            Some(Fault::ErrorBefore) => Err(unavailable("injected")),
            Some(Fault::ErrorAfterEffect) if kind != Kind::Write => Err(unavailable("lost answer")),
            other => Ok(other),
        }
    }

    fn next_fault(&mut self, kind: Kind) -> Option<Fault> {
        if self.next.front()?.strikes(kind) { self.next.pop_front() } else { None }
    }

    fn count_value(&mut self, len: usize) {
        self.usage.bytes += u64::try_from(len).unwrap_or(u64::MAX);
    }

    fn latest(&self, key: &str) -> Option<Entry> {
        self.entries.get(key)?.last().filter(|entry| entry.version != 0).cloned()
    }

    fn read(&self, key: &str, fault: Option<Fault>) -> Option<Entry> {
        if fault != Some(Fault::StaleRead) {
            return self.latest(key);
        }
        let history = self.entries.get(key)?;
        let earlier = history.len().checked_sub(2)?;
        history.get(earlier).filter(|entry| entry.version != 0).cloned()
    }

    fn check(&self, key: &str, expect: Expect) -> Result<()> {
        let current = self.latest(key).map_or(0, |entry| entry.version);
        let met = match expect {
            Expect::Any => true,
            Expect::Absent => current == 0,
            Expect::Version(version) => current == version && version != 0,
        };
        if met { Ok(()) } else { Err(Error::Conflict { key: key.to_owned(), current }) }
    }

    /// Appends to the key's history; a version of zero stands for "deleted".
    fn record(&mut self, entry: Entry) {
        let history = self.entries.entry(entry.key.clone()).or_default();
        history.push(entry);
        if history.len() > HISTORY {
            history.remove(0);
        }
    }

    fn next_version(&mut self) -> u64 {
        self.version += 1;
        self.version
    }
}

impl Store for MemoryStore {
    async fn get(&self, key: &str) -> Result<Option<Entry>> {
        let mut state = self.state();
        let fault = state.begin(Kind::Read, key)?;
        let entry = state.read(key, fault);
        state.count_value(entry.as_ref().map_or(0, |entry| entry.value.len()));
        Ok(entry)
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Entry>> {
        let mut state = self.state();
        let fault = state.begin(Kind::Read, prefix)?;
        let keys: Vec<String> = state
            .entries
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, _)| key.clone())
            .collect();
        let found: Vec<Entry> = keys.iter().filter_map(|key| state.read(key, fault)).collect();
        for entry in &found {
            state.count_value(entry.key.len() + entry.value.len());
        }
        Ok(found)
    }

    async fn put(&self, key: &str, value: Bytes, expect: Expect) -> Result<u64> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(Error::TooLarge { key: key.to_owned(), size: value.len() });
        }
        let (version, fault) = {
            let mut state = self.state();
            let fault = state.begin(Kind::Write, key)?;
            state.count_value(value.len());
            state.check(key, expect).map_err(|e| lose(key, fault, e))?;
            let version = state.next_version();
            state.record(Entry { key: key.to_owned(), value, version });
            (version, fault)
        };
        self.changed.send_modify(|latest| *latest = version);
        match fault {
            Some(Fault::ErrorAfterEffect) => Err(unknown(key)),
            _ => Ok(version),
        }
    }

    async fn delete(&self, key: &str, expect: Expect) -> Result<()> {
        let fault = {
            let mut state = self.state();
            let fault = state.begin(Kind::Write, key)?;
            state.check(key, expect).map_err(|e| lose(key, fault, e))?;
            if state.latest(key).is_some() {
                let gone = Entry { key: key.to_owned(), value: Bytes::new(), version: 0 };
                state.record(gone);
            }
            fault
        };
        match fault {
            Some(Fault::ErrorAfterEffect) => Err(unknown(key)),
            _ => Ok(()),
        }
    }

    async fn watch(&self, key: &str, after: u64, wait: Duration) -> Result<Option<Entry>> {
        let fault = self.state().begin(Kind::Watch, key)?;
        match fault {
            Some(Fault::LostWatch) => return self.lost_watch(wait).await,
            Some(Fault::DuplicateEvent) => return Ok(self.state().latest(key)),
            _ => {}
        }
        if wait.is_zero() {
            return Ok(self.state().latest(key).filter(|entry| entry.version > after));
        }
        tokio::time::timeout(wait, self.next_event(key, after)).await.unwrap_or(Ok(None))
    }
}

/// The answer "conflict" can be lost as well.
fn lose(key: &str, fault: Option<Fault>, answer: Error) -> Error {
    if fault == Some(Fault::ErrorAfterEffect) { unknown(key) } else { answer }
}

fn unavailable(reason: &str) -> Error {
    Error::Unavailable { reason: reason.to_owned() }
}

fn unknown(key: &str) -> Error {
    Error::Unknown { key: key.to_owned(), reason: "lost answer".to_owned() }
}
