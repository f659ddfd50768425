//! In-memory key-value service with fault injection.
//!
//! Tests and the HTTP stand-in share it, so that each fault has the same meaning in both. Clones
//! share the data. All keys draw their versions from one counter, so that a key that is deleted
//! and written again never reuses a version.

use crate::store::{Entry, Error, Expect, MAX_VALUE_BYTES, Result, Store};
use bytes::Bytes;
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;

/// Maximum number of values kept per key, including the current one, for stale reads.
const MAX_VERSIONS_PER_KEY: usize = 8;

/// A fault injected into a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The call fails and has no effect.
    ErrorBefore,
    /// The call takes effect and its response is lost.
    ErrorAfterEffect,
    /// A read returns the value before the current one.
    StaleRead,
    /// A watch misses every change until it times out.
    LostWatch,
    /// A watch returns at once with the value that its caller already has.
    DuplicateEvent,
}

/// Whether the service is available.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Outage {
    #[default]
    Up,
    Down,
}

/// Counters of the service's use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Number of calls; a waiting watch counts as one.
    pub calls: u64,
    /// Number of calls that may write.
    pub writes: u64,
    /// Bytes of keys and values, in both directions.
    pub bytes: u64,
}

/// An in-memory store; clones share its data and faults.
#[derive(Clone, Debug)]
pub struct MemoryStore {
    state: Arc<Mutex<State>>,
    changed: watch::Sender<u64>,
}

#[derive(Clone, Debug, Default)]
struct State {
    entries: BTreeMap<String, Vec<Entry>>,
    version: u64,
    queued_faults: VecDeque<Fault>,
    scheduled_faults: BTreeMap<u64, Fault>,
    outage: Outage,
    usage: Usage,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum CallKind {
    Read,
    Write,
    Watch,
}

impl Fault {
    fn applies_to(self, kind: CallKind) -> bool {
        match self {
            Self::ErrorBefore | Self::ErrorAfterEffect => true,
            Self::StaleRead => kind == CallKind::Read,
            Self::LostWatch | Self::DuplicateEvent => kind == CallKind::Watch,
        }
    }
}

impl Default for MemoryStore {
    fn default() -> Self {
        Self::new()
    }
}

impl MemoryStore {
    /// Creates an empty store without faults.
    pub fn new() -> Self {
        Self { state: Arc::default(), changed: watch::Sender::new(0) }
    }

    /// Creates an independent copy with the same data, history and faults.
    pub fn fork(&self) -> Self {
        let state = self.state().clone();
        Self { changed: watch::Sender::new(state.version), state: Arc::new(Mutex::new(state)) }
    }

    /// Schedules a fault for call number `call`, counted from one.
    pub fn with_fault(self, call: u64, fault: Fault) -> Self {
        self.state().scheduled_faults.insert(call, fault);
        self
    }

    /// Queues a fault for the next call that it applies to.
    pub fn inject(&self, fault: Fault) {
        self.state().queued_faults.push_back(fault);
    }

    /// Starts or ends an outage; the data is kept.
    pub fn set_outage(&self, outage: Outage) {
        self.state().outage = outage;
        self.changed.send_modify(|_| {});
    }

    /// The counters since the store was created.
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
    fn start_call(&mut self, kind: CallKind, key: &str) -> Result<Option<Fault>> {
        self.usage.calls += 1;
        self.usage.writes += u64::from(kind == CallKind::Write);
        self.count_value(key.len());
        let fault = match self.scheduled_faults.remove(&self.usage.calls) {
            Some(fault) => Some(fault),
            None => self.next_fault(kind),
        };
        if self.outage == Outage::Down {
            return Err(unavailable("down"));
        }
        match fault {
            Some(Fault::ErrorBefore) => Err(unavailable("injected")),
            Some(Fault::ErrorAfterEffect) if kind != CallKind::Write => {
                Err(unavailable("lost answer"))
            }
            other => Ok(other),
        }
    }

    fn next_fault(&mut self, kind: CallKind) -> Option<Fault> {
        if self.queued_faults.front()?.applies_to(kind) {
            self.queued_faults.pop_front()
        } else {
            None
        }
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
        let holds = match expect {
            Expect::Any => true,
            Expect::Absent => current == 0,
            Expect::Version(version) => current == version && version != 0,
        };
        if holds { Ok(()) } else { Err(Error::Conflict { key: key.to_owned(), current }) }
    }

    /// Appends to the key's history; version zero marks a deletion.
    fn push_version(&mut self, entry: Entry) {
        let history = self.entries.entry(entry.key.clone()).or_default();
        history.push(entry);
        if history.len() > MAX_VERSIONS_PER_KEY {
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
        let fault = state.start_call(CallKind::Read, key)?;
        let entry = state.read(key, fault);
        state.count_value(entry.as_ref().map_or(0, |entry| entry.value.len()));
        Ok(entry)
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Entry>> {
        let mut state = self.state();
        let fault = state.start_call(CallKind::Read, prefix)?;
        let keys: Vec<String> = state
            .entries
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, _)| key.clone())
            .collect();
        let entries: Vec<Entry> = keys.iter().filter_map(|key| state.read(key, fault)).collect();
        for entry in &entries {
            state.count_value(entry.key.len() + entry.value.len());
        }
        Ok(entries)
    }

    async fn put(&self, key: &str, value: Bytes, expect: Expect) -> Result<u64> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(Error::TooLarge { key: key.to_owned(), size: value.len() });
        }
        let (version, fault) = {
            let mut state = self.state();
            let fault = state.start_call(CallKind::Write, key)?;
            state.count_value(value.len());
            state.check(key, expect).map_err(|e| lose_conflict(key, fault, e))?;
            let version = state.next_version();
            state.push_version(Entry { key: key.to_owned(), value, version });
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
            let fault = state.start_call(CallKind::Write, key)?;
            state.check(key, expect).map_err(|e| lose_conflict(key, fault, e))?;
            if state.latest(key).is_some() {
                let deleted = Entry { key: key.to_owned(), value: Bytes::new(), version: 0 };
                state.push_version(deleted);
            }
            fault
        };
        match fault {
            Some(Fault::ErrorAfterEffect) => Err(unknown(key)),
            _ => Ok(()),
        }
    }

    async fn watch(&self, key: &str, after: u64, wait: Duration) -> Result<Option<Entry>> {
        let fault = self.state().start_call(CallKind::Watch, key)?;
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

/// Applies `ErrorAfterEffect` to a conflict, whose response can be lost as well.
fn lose_conflict(key: &str, fault: Option<Fault>, error: Error) -> Error {
    if fault == Some(Fault::ErrorAfterEffect) { unknown(key) } else { error }
}

fn unavailable(reason: &str) -> Error {
    Error::Unavailable { reason: reason.to_owned() }
}

fn unknown(key: &str) -> Error {
    Error::Unknown { key: key.to_owned(), reason: "lost answer".to_owned() }
}
