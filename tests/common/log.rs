//! The partition log in memory: records applied in order, by whoever recovered it last.
//!
//! An append names the recovery that it builds on, as a compare-and-swap names the version that
//! it read; one that builds on an earlier recovery has no effect, however late it comes.

use std::collections::BTreeMap;
use waxwingstall::task::{Change, Record, TaskState};

/// A partition's log.
#[derive(Debug, Default)]
pub struct Log {
    recovery: u64,
    tasks: BTreeMap<u64, TaskState>,
    next_number: u64,
    /// Set where a record contradicts those before it.
    pub violations: Vec<String>,
}

impl Log {
    /// Gives what is kept to a new writer, with the recovery that its appends are to name.
    pub fn recover(&mut self) -> (u64, Vec<TaskState>, u64) {
        self.recovery += 1;
        (self.recovery, self.tasks.values().cloned().collect(), self.next_number)
    }

    /// Appends records, if no other recovery came between.
    pub fn append(&mut self, recovery: u64, records: &[Record]) -> Appended {
        if recovery != self.recovery {
            return Appended::No;
        }
        for record in records {
            self.apply(record);
        }
        Appended::Yes
    }

    fn apply(&mut self, record: &Record) {
        let number = record.task.number;
        if let Change::Accepted { key, spec } = &record.change {
            let state = TaskState::new(record.task, key.clone(), spec.clone());
            if self.tasks.insert(number, state).is_some() {
                self.violations.push(format!("{} accepted twice", record.task));
            }
            self.next_number = self.next_number.max(number + 1);
            return;
        }
        let Some(task) = self.tasks.get_mut(&number) else {
            self.violations.push(format!("record of unknown {}", record.task));
            return;
        };
        let before = task.clone();
        task.apply(&record.change);
        if *task == before && record.change != Change::CancelAsked {
            self.violations.push(format!("{record:?} has no effect on {before:?}"));
        }
    }

    /// All tasks.
    pub fn tasks(&self) -> impl Iterator<Item = &TaskState> {
        self.tasks.values()
    }
}

/// Whether records were taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Appended {
    Yes,
    No,
}
