//! Contract tests of the key-value service from shared tables, run against the in-memory fake and
//! against the stand-in over HTTP.

use bytes::Bytes;
use indexmap::IndexMap;
use serde::Deserialize;
use std::path::Path;
use std::time::Duration;
use waxwingstall::store::http::HttpStore;
use waxwingstall::store::memory::{Fault, MemoryStore, Outage, Usage};
use waxwingstall::store::{Entry, Error, Expect, MAX_VALUE_BYTES, Result, Store};
use waxwingstall_standin::kv::{Kv, KvFaults};

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    /// Description of the case for readers of the table.
    #[serde(rename = "about")]
    _about: String,
    step: Vec<Step>,
    usage: Option<ExpectedUsage>,
}

#[derive(Deserialize)]
#[serde(tag = "call", rename_all = "kebab-case", deny_unknown_fields)]
enum Step {
    Get {
        key: String,
        found: Option<String>,
        result: Option<ErrorKind>,
    },
    List {
        prefix: String,
        found: Vec<String>,
    },
    Put {
        key: String,
        value: String,
        expect: String,
        result: Option<ErrorKind>,
        version: Option<String>,
    },
    PutLarge {
        key: String,
        over: usize,
        result: Option<ErrorKind>,
    },
    Delete {
        key: String,
        expect: String,
        result: Option<ErrorKind>,
    },
    Watch {
        key: String,
        after: String,
        found: Option<String>,
        result: Option<ErrorKind>,
    },
    /// A put while a watch waits for it.
    WatchPut {
        key: String,
        after: String,
        value: String,
    },
    Fault {
        fault: FaultName,
    },
    Outage {
        state: OutageName,
    },
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
enum ErrorKind {
    Conflict,
    Unavailable,
    Unknown,
    TooLarge,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum FaultName {
    ErrorBefore,
    ErrorAfterEffect,
    StaleRead,
    LostWatch,
    DuplicateEvent,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum OutageName {
    Up,
    Down,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ExpectedUsage {
    calls: u64,
    writes: u64,
}

/// Fault injection into the implementation under test.
trait FaultInjection {
    fn inject(&self, fault: Fault);
    fn set_outage(&self, outage: Outage);
    fn usage(&self) -> Usage;
}

impl FaultInjection for MemoryStore {
    fn inject(&self, fault: Fault) {
        self.inject(fault);
    }

    fn set_outage(&self, outage: Outage) {
        self.set_outage(outage);
    }

    fn usage(&self) -> Usage {
        self.usage()
    }
}

impl FaultInjection for KvFaults {
    fn inject(&self, fault: Fault) {
        self.inject(fault);
    }

    fn set_outage(&self, outage: Outage) {
        self.set_outage(outage);
    }

    fn usage(&self) -> Usage {
        self.usage()
    }
}

struct CaseRunner<'a, S, F> {
    store: &'a S,
    faults: &'a F,
    /// Versions by the names given to them in the table.
    versions: IndexMap<String, u64>,
}

impl<S: Store, F: FaultInjection> CaseRunner<'_, S, F> {
    async fn step(&mut self, step: &Step) {
        match step {
            Step::Get { key, found, result } => {
                let got = self.store.get(key).await;
                compare_read(got, found.as_deref(), *result);
            }
            Step::List { prefix, found } => {
                let listed = self.store.list(prefix).await.expect("a list");
                let keys: Vec<String> = listed.into_iter().map(|entry| entry.key).collect();
                assert_eq!(keys, *found);
            }
            Step::Put { key, value, expect, result, version } => {
                let value = Bytes::copy_from_slice(value.as_bytes());
                let put = self.store.put(key, value, self.expect(expect)).await;
                compare_write(&put, *result);
                if let (Some(name), Ok(number)) = (version, put) {
                    let newest = self.versions.values().copied().max().unwrap_or(0);
                    assert!(number > newest, "version {number} after {newest}");
                    self.versions.insert(name.clone(), number);
                }
            }
            Step::PutLarge { key, over, result } => {
                let value = Bytes::from(vec![7; MAX_VALUE_BYTES + over]);
                let put = self.store.put(key, value, Expect::Any).await;
                compare_write(&put, *result);
            }
            Step::Delete { key, expect, result } => {
                let deleted = self.store.delete(key, self.expect(expect)).await;
                compare_write(&deleted, *result);
            }
            Step::Watch { key, after, found, result } => {
                let wait = Duration::from_millis(5);
                let got = self.store.watch(key, self.version(after), wait).await;
                compare_read(got, found.as_deref(), *result);
            }
            Step::WatchPut { key, after, value } => self.watch_put(key, after, value).await,
            Step::Fault { fault } => self.faults.inject(fault.fault()),
            Step::Outage { state } => self.faults.set_outage(state.outage()),
        }
    }

    async fn watch_put(&self, key: &str, after: &str, value: &str) {
        let watch = self.store.watch(key, self.version(after), Duration::from_secs(30));
        let put = self.store.put(key, Bytes::copy_from_slice(value.as_bytes()), Expect::Any);
        let (got, put) = futures::join!(watch, put);
        let entry = got.expect("an answer").expect("an event");
        assert_eq!(entry.value, value.as_bytes());
        assert_eq!(Ok(entry.version), put);
    }

    fn version(&self, name: &str) -> u64 {
        if name == "none" { 0 } else { self.versions[name] }
    }

    fn expect(&self, name: &str) -> Expect {
        match name {
            "any" => Expect::Any,
            "absent" => Expect::Absent,
            "impossible" => Expect::Version(u64::MAX),
            version => Expect::Version(self.versions[version]),
        }
    }
}

impl FaultName {
    fn fault(self) -> Fault {
        match self {
            Self::ErrorBefore => Fault::ErrorBefore,
            Self::ErrorAfterEffect => Fault::ErrorAfterEffect,
            Self::StaleRead => Fault::StaleRead,
            Self::LostWatch => Fault::LostWatch,
            Self::DuplicateEvent => Fault::DuplicateEvent,
        }
    }
}

impl OutageName {
    fn outage(self) -> Outage {
        match self {
            Self::Up => Outage::Up,
            Self::Down => Outage::Down,
        }
    }
}

fn error_kind(error: &Error) -> ErrorKind {
    match error {
        Error::Conflict { .. } => ErrorKind::Conflict,
        Error::Unavailable { .. } => ErrorKind::Unavailable,
        Error::Unknown { .. } => ErrorKind::Unknown,
        Error::TooLarge { .. } => ErrorKind::TooLarge,
    }
}

fn compare_read(got: Result<Option<Entry>>, found: Option<&str>, result: Option<ErrorKind>) {
    assert_eq!(got.as_ref().err().map(error_kind), result, "{got:?}");
    let value = got.ok().flatten().map(|entry| entry.value);
    assert_eq!(value.as_deref(), found.map(str::as_bytes));
}

fn compare_write<T: std::fmt::Debug>(done: &Result<T>, result: Option<ErrorKind>) {
    assert_eq!(done.as_ref().err().map(error_kind), result, "{done:?}");
}

async fn run(case: &Case, store: &impl Store, faults: &impl FaultInjection) {
    let mut run = CaseRunner { store, faults, versions: IndexMap::new() };
    for step in &case.step {
        run.step(step).await;
    }
    if let Some(expected) = &case.usage {
        let usage = faults.usage();
        assert_eq!((usage.calls, usage.writes), (expected.calls, expected.writes));
    }
}

fn read(path: &Path) -> datatest_stable::Result<Case> {
    Ok(toml::from_str(&std::fs::read_to_string(path)?)?)
}

fn in_memory(path: &Path) -> datatest_stable::Result<()> {
    let case = read(path)?;
    let store = MemoryStore::new();
    actix_rt::System::new().block_on(run(&case, &store, &store));
    Ok(())
}

fn over_http(path: &Path) -> datatest_stable::Result<()> {
    let case = read(path)?;
    let kv = Kv::start();
    let store = HttpStore::new(&kv.url());
    actix_rt::System::new().block_on(run(&case, &store, kv.faults()));
    Ok(())
}

datatest_stable::harness! {
    { test = in_memory, root = "tests/tables/store", pattern = r".*\.toml$" },
    { test = over_http, root = "tests/tables/store", pattern = r".*\.toml$" },
}
