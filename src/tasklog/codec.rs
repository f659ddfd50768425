//! Encoding of records and tasks in postcard, with a dictionary for names and specs.
//!
//! Tasks of one class share everything but their payload, and the same VMs recur in each batch, so
//! records refer to a dictionary that grows along the log. A segment contains only its additions
//! to the dictionary, so the log has to be read in order from its first page.

use crate::ids::{
    Attempt, BootId, CheckpointId, ClassName, IdempotencyKey, PartitionId, PoolName, TaskId,
    TeamName, VmId,
};
use crate::model::{Idempotency, Resumption, Urgency};
use crate::task::{Change, Outcome, Phase, Record, TaskSpec, TaskState};
use crate::units::Resources;
use indexmap::IndexSet;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// The result of decoding a value of the log.
pub type Result<T> = std::result::Result<T, Error>;

/// An error in the encoding of a value.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    #[error("the value is not a {kind} of the task log; restore it or start an empty partition")]
    Format { kind: &'static str },
    #[error("name {0} is not in the dictionary; a segment before this one is missing")]
    Name(u32),
    #[error("spec {0} is not in the dictionary; a segment before this one is missing")]
    Spec(u32),
}

/// The names and specs that the log has used so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct Dictionary {
    names: IndexSet<Arc<str>>,
    specs: IndexSet<SpecEntry>,
}

/// The dictionary's size at one point, for rolling it back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Savepoint {
    names: usize,
    specs: usize,
}

/// A task spec without its payload; names are dictionary indexes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct SpecEntry {
    class: u32,
    team: u32,
    pool: u32,
    resources: Resources,
    expected: Duration,
    idempotency: Idempotency,
    resumption: Resumption,
    urgency: Urgency,
    max_failures: u32,
}

/// Consecutive records and their additions to the dictionary.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Segment {
    names: Vec<Arc<str>>,
    specs: Vec<SpecEntry>,
    entries: Vec<Entry>,
}

/// Part of a compacted log: the current state of some tasks and their additions to the dictionary.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Page {
    names: Vec<Arc<str>>,
    specs: Vec<SpecEntry>,
    tasks: Vec<TaskEntry>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Entry {
    number: u64,
    change: ChangeEntry,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum ChangeEntry {
    Accepted { key: IdempotencyKey, spec: u32, payload: String },
    Bound { vm: u32, boot: BootId, attempt: Attempt },
    Released { attempt: Attempt, checkpoint: Option<CheckpointId>, failed: bool },
    Ended { attempt: Attempt, outcome: Outcome },
    CancelAsked,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct TaskEntry {
    number: u64,
    key: IdempotencyKey,
    spec: u32,
    payload: String,
    phase: PhaseEntry,
    attempt: Attempt,
    boot: BootId,
    checkpoint: Option<CheckpointId>,
    failures: u32,
    cancel_asked: bool,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum PhaseEntry {
    Waiting,
    Bound { vm: u32 },
    Ended { outcome: Outcome },
}

impl Dictionary {
    /// The current size, to pass to `rollback`.
    pub(crate) fn savepoint(&self) -> Savepoint {
        Savepoint { names: self.names.len(), specs: self.specs.len() }
    }

    /// Removes everything added since the savepoint, such as by a segment that was not written.
    pub(crate) fn rollback(&mut self, savepoint: Savepoint) {
        self.names.truncate(savepoint.names);
        self.specs.truncate(savepoint.specs);
    }

    /// Encodes records as the segment that follows all earlier ones.
    pub(crate) fn segment(&mut self, records: &[Record]) -> Segment {
        let savepoint = self.savepoint();
        let entries = records.iter().map(|record| self.entry(record)).collect();
        Segment { names: self.names_since(savepoint), specs: self.specs_since(savepoint), entries }
    }

    /// Encodes tasks as the page that follows all earlier ones.
    pub(crate) fn page(&mut self, tasks: &[&TaskState]) -> Page {
        let savepoint = self.savepoint();
        let tasks = tasks.iter().map(|task| self.task_entry(task)).collect();
        Page { names: self.names_since(savepoint), specs: self.specs_since(savepoint), tasks }
    }

    /// Decodes a segment's records.
    pub(crate) fn records(
        &mut self,
        partition: PartitionId,
        segment: &Segment,
    ) -> Result<Vec<Record>> {
        self.extend(&segment.names, &segment.specs);
        segment
            .entries
            .iter()
            .map(|entry| {
                let task = TaskId::new(partition, entry.number);
                Ok(Record { task, change: self.change(&entry.change)? })
            })
            .collect()
    }

    /// Decodes a page's tasks.
    pub(crate) fn tasks(&mut self, partition: PartitionId, page: &Page) -> Result<Vec<TaskState>> {
        self.extend(&page.names, &page.specs);
        page.tasks.iter().map(|entry| self.task(partition, entry)).collect()
    }

    fn names_since(&self, savepoint: Savepoint) -> Vec<Arc<str>> {
        self.names.iter().skip(savepoint.names).cloned().collect()
    }

    fn specs_since(&self, savepoint: Savepoint) -> Vec<SpecEntry> {
        self.specs.iter().skip(savepoint.specs).cloned().collect()
    }

    fn extend(&mut self, names: &[Arc<str>], specs: &[SpecEntry]) {
        self.names.extend(names.iter().cloned());
        self.specs.extend(specs.iter().cloned());
    }

    fn intern(&mut self, name: &str) -> u32 {
        let index = match self.names.get_index_of(name) {
            Some(index) => index,
            None => self.names.insert_full(Arc::from(name)).0,
        };
        u32::try_from(index).unwrap_or(u32::MAX)
    }

    fn intern_spec(&mut self, spec: &TaskSpec) -> u32 {
        let entry = SpecEntry {
            class: self.intern(spec.class.as_str()),
            team: self.intern(spec.team.as_str()),
            pool: self.intern(spec.pool.as_str()),
            resources: spec.resources,
            expected: spec.expected,
            idempotency: spec.idempotency,
            resumption: spec.resumption,
            urgency: spec.urgency,
            max_failures: spec.max_failures,
        };
        u32::try_from(self.specs.insert_full(entry).0).unwrap_or(u32::MAX)
    }

    /// Returns a name that shares the dictionary's allocation, since tasks use few distinct names.
    fn name(&self, index: u32) -> Result<Arc<str>> {
        self.names.get_index(index as usize).cloned().ok_or(Error::Name(index))
    }

    fn spec(&self, index: u32, payload: &str) -> Result<TaskSpec> {
        let entry = self.specs.get_index(index as usize).ok_or(Error::Spec(index))?;
        Ok(TaskSpec {
            class: ClassName::from(self.name(entry.class)?),
            team: TeamName::from(self.name(entry.team)?),
            pool: PoolName::from(self.name(entry.pool)?),
            resources: entry.resources,
            expected: entry.expected,
            idempotency: entry.idempotency,
            resumption: entry.resumption,
            urgency: entry.urgency,
            max_failures: entry.max_failures,
            payload: payload.to_owned(),
        })
    }

    fn entry(&mut self, record: &Record) -> Entry {
        let change = match &record.change {
            Change::Accepted { key, spec } => ChangeEntry::Accepted {
                key: key.clone(),
                spec: self.intern_spec(spec),
                payload: spec.payload.clone(),
            },
            Change::Bound { vm, boot, attempt } => {
                ChangeEntry::Bound { vm: self.intern(vm.as_str()), boot: *boot, attempt: *attempt }
            }
            Change::Released { attempt, checkpoint, failed } => ChangeEntry::Released {
                attempt: *attempt,
                checkpoint: checkpoint.clone(),
                failed: *failed,
            },
            Change::Ended { attempt, outcome } => {
                ChangeEntry::Ended { attempt: *attempt, outcome: outcome.clone() }
            }
            Change::CancelAsked => ChangeEntry::CancelAsked,
        };
        Entry { number: record.task.number, change }
    }

    fn change(&self, change: &ChangeEntry) -> Result<Change> {
        Ok(match change {
            ChangeEntry::Accepted { key, spec, payload } => {
                Change::Accepted { key: key.clone(), spec: self.spec(*spec, payload)? }
            }
            ChangeEntry::Bound { vm, boot, attempt } => {
                Change::Bound { vm: VmId::from(self.name(*vm)?), boot: *boot, attempt: *attempt }
            }
            ChangeEntry::Released { attempt, checkpoint, failed } => Change::Released {
                attempt: *attempt,
                checkpoint: checkpoint.clone(),
                failed: *failed,
            },
            ChangeEntry::Ended { attempt, outcome } => {
                Change::Ended { attempt: *attempt, outcome: outcome.clone() }
            }
            ChangeEntry::CancelAsked => Change::CancelAsked,
        })
    }

    fn task_entry(&mut self, task: &TaskState) -> TaskEntry {
        let phase = match &task.phase {
            Phase::Waiting => PhaseEntry::Waiting,
            Phase::Bound { vm } => PhaseEntry::Bound { vm: self.intern(vm.as_str()) },
            Phase::Ended { outcome } => PhaseEntry::Ended { outcome: outcome.clone() },
        };
        TaskEntry {
            number: task.id.number,
            key: task.key.clone(),
            spec: self.intern_spec(&task.spec),
            payload: task.spec.payload.clone(),
            phase,
            attempt: task.attempt,
            boot: task.boot,
            checkpoint: task.checkpoint.clone(),
            failures: task.failures,
            cancel_asked: task.cancel_asked,
        }
    }

    fn task(&self, partition: PartitionId, entry: &TaskEntry) -> Result<TaskState> {
        let phase = match &entry.phase {
            PhaseEntry::Waiting => Phase::Waiting,
            PhaseEntry::Bound { vm } => Phase::Bound { vm: VmId::from(self.name(*vm)?) },
            PhaseEntry::Ended { outcome } => Phase::Ended { outcome: outcome.clone() },
        };
        Ok(TaskState {
            id: TaskId::new(partition, entry.number),
            key: entry.key.clone(),
            spec: self.spec(entry.spec, &entry.payload)?,
            phase,
            attempt: entry.attempt,
            boot: entry.boot,
            checkpoint: entry.checkpoint.clone(),
            failures: entry.failures,
            cancel_asked: entry.cancel_asked,
        })
    }
}

impl Segment {
    /// Appends the segment that follows this one.
    pub(crate) fn append(&mut self, next: Self) {
        self.names.extend(next.names);
        self.specs.extend(next.specs);
        self.entries.extend(next.entries);
    }
}

/// Encodes a value.
pub(crate) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_allocvec(value).expect("serializing to memory does not fail")
}

/// Decodes a value; `kind` names it in the error.
pub(crate) fn decode<T: for<'de> Deserialize<'de>>(kind: &'static str, buf: &[u8]) -> Result<T> {
    postcard::from_bytes(buf).map_err(|_| Error::Format { kind })
}
