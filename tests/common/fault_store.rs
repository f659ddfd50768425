//! A key-value service in memory that fails at chosen calls.

use bytes::Bytes;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;
use waxwingstall::store::{Entry, Error, Expect, MAX_VALUE_BYTES, Result, Store};

/// What goes wrong with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// Refused without effect.
    Refused,
    /// The call takes effect and its answer is lost.
    AnswerLost,
    /// The call is lost before it takes effect, and so looks like the one above.
    CallLost,
    /// The call's answer is lost, and a write takes effect only after the next `n` calls.
    Late(usize),
    /// A read is answered as of the service's beginning.
    Stale,
}

/// The kind of a call, to fail chosen ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Call {
    Get,
    List,
    Put,
    Delete,
}

/// A call that was made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Made {
    pub call: Call,
    pub key: String,
    pub bytes: usize,
}

/// The service; calls are numbered from zero.
#[derive(Debug, Default)]
pub struct FaultStore {
    state: RefCell<State>,
}

#[derive(Debug, Default)]
struct State {
    values: BTreeMap<String, (u64, Bytes)>,
    past: BTreeMap<String, (u64, Bytes)>,
    versions: u64,
    made: Vec<Made>,
    faults: BTreeMap<usize, Fault>,
    late: Vec<LateWrite>,
}

#[derive(Debug)]
struct LateWrite {
    at: usize,
    key: String,
    value: Option<Bytes>,
    expect: Expect,
}

impl FaultStore {
    pub fn new() -> Self {
        Self::default()
    }

    /// Fails the call with the number.
    pub fn fail(&self, call: usize, fault: Fault) {
        self.state.borrow_mut().faults.insert(call, fault);
    }

    /// Fails the next calls.
    pub fn fail_next(&self, times: usize, fault: Fault) {
        let next = self.calls();
        (next..next + times).for_each(|call| self.fail(call, fault));
    }

    /// Forgets the faults to come and lets late writes land.
    pub fn heal(&self) {
        let mut state = self.state.borrow_mut();
        state.faults.clear();
        state.land(usize::MAX);
    }

    /// Calls made so far.
    pub fn calls(&self) -> usize {
        self.state.borrow().made.len()
    }

    /// The calls made from the numbered one on.
    pub fn made_since(&self, call: usize) -> Vec<Made> {
        self.state.borrow().made[call..].to_vec()
    }

    /// Stale reads answer with what is there now.
    pub fn remember_past(&self) {
        let mut state = self.state.borrow_mut();
        state.past = state.values.clone();
    }

    /// Keys that hold a value.
    pub fn keys(&self) -> Vec<String> {
        self.state.borrow().values.keys().cloned().collect()
    }

    /// Bytes of all values.
    pub fn value_bytes(&self) -> usize {
        self.state.borrow().values.values().map(|value| value.1.len()).sum()
    }

    /// Removes a value behind its writer's back.
    pub fn lose(&self, key: &str) {
        self.state.borrow_mut().values.remove(key);
    }

    /// Replaces a value behind its writer's back.
    pub fn damage(&self, key: &str, value: &'static [u8]) {
        let mut state = self.state.borrow_mut();
        let version = state.values.get(key).map_or(1, |value| value.0);
        state.values.insert(key.to_owned(), (version, Bytes::from_static(value)));
    }

    fn begin(&self, call: Call, key: &str, bytes: usize) -> Option<Fault> {
        let mut state = self.state.borrow_mut();
        let number = state.made.len();
        state.made.push(Made { call, key: key.to_owned(), bytes });
        state.land(number);
        state.faults.remove(&number)
    }

    fn write(&self, key: &str, value: Option<Bytes>, expect: Expect) -> Result<u64> {
        let bytes = value.as_ref().map_or(0, Bytes::len);
        let call = if value.is_some() { Call::Put } else { Call::Delete };
        let fault = self.begin(call, key, bytes);
        let mut state = self.state.borrow_mut();
        if bytes > MAX_VALUE_BYTES {
            return Err(Error::TooLarge { key: key.to_owned(), size: bytes });
        }
        let unknown = || Error::Unknown { key: key.to_owned(), reason: "no answer".to_owned() };
        match fault {
            None | Some(Fault::Stale) => state.write(key, value, expect),
            Some(Fault::Refused) => Err(refused()),
            Some(Fault::CallLost) => Err(unknown()),
            Some(Fault::AnswerLost) => {
                let _ = state.write(key, value, expect);
                Err(unknown())
            }
            Some(Fault::Late(calls)) => {
                let at = state.made.len() + calls;
                state.late.push(LateWrite { at, key: key.to_owned(), value, expect });
                Err(unknown())
            }
        }
    }

    fn read<T>(
        &self,
        call: Call,
        key: &str,
        f: impl Fn(&BTreeMap<String, (u64, Bytes)>) -> T,
    ) -> Result<T> {
        let fault = self.begin(call, key, 0);
        let state = self.state.borrow();
        match fault {
            None => Ok(f(&state.values)),
            Some(Fault::Stale) => Ok(f(&state.past)),
            Some(_) => Err(refused()),
        }
    }
}

impl State {
    fn land(&mut self, now: usize) {
        let (due, later): (Vec<_>, Vec<_>) = self.late.drain(..).partition(|late| late.at <= now);
        self.late = later;
        for late in due {
            let _ = self.write(&late.key, late.value, late.expect);
        }
    }

    fn write(&mut self, key: &str, value: Option<Bytes>, expect: Expect) -> Result<u64> {
        let current = self.values.get(key).map_or(0, |value| value.0);
        let as_expected = match expect {
            Expect::Any => true,
            Expect::Absent => current == 0,
            Expect::Version(version) => current == version,
        };
        if !as_expected {
            return Err(Error::Conflict { key: key.to_owned(), current });
        }
        self.versions += 1;
        match value {
            Some(value) => self.values.insert(key.to_owned(), (self.versions, value)),
            None => self.values.remove(key),
        };
        Ok(self.versions)
    }
}

fn refused() -> Error {
    Error::Unavailable { reason: "down".to_owned() }
}

fn entry(key: &str, value: &(u64, Bytes)) -> Entry {
    Entry { key: key.to_owned(), value: value.1.clone(), version: value.0 }
}

impl Store for FaultStore {
    async fn get(&self, key: &str) -> Result<Option<Entry>> {
        self.read(Call::Get, key, |values| values.get(key).map(|value| entry(key, value)))
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Entry>> {
        self.read(Call::List, prefix, |values| {
            let from_prefix = values.range(prefix.to_owned()..);
            let matching = from_prefix.take_while(|(key, _)| key.starts_with(prefix));
            matching.map(|(key, value)| entry(key, value)).collect()
        })
    }

    async fn put(&self, key: &str, value: Bytes, expect: Expect) -> Result<u64> {
        self.write(key, Some(value), expect)
    }

    async fn delete(&self, key: &str, expect: Expect) -> Result<()> {
        self.write(key, None, expect).map(drop)
    }

    async fn watch(&self, _: &str, _: u64, _: Duration) -> Result<Option<Entry>> {
        Err(refused())
    }
}
