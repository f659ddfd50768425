//! The partition log in memory: one writer by compare-and-swap, records applied in order.

use std::collections::BTreeMap;
use waxwingstall::ids::DaemonId;
use waxwingstall::task::{Change, Record, TaskState};

/// A partition's log.
#[derive(Debug, Default)]
pub struct Log {
    writer: Option<DaemonId>,
    tasks: BTreeMap<u64, TaskState>,
    next_number: u64,
    /// Set where a record contradicts those before it.
    pub violations: Vec<String>,
}

impl Log {
    /// The daemon becomes the writer.
    pub fn recover(&mut self, daemon: &DaemonId) -> (Vec<TaskState>, u64) {
        self.writer = Some(daemon.clone());
        (self.tasks.values().cloned().collect(), self.next_number)
    }

    /// Whether the daemon may append.
    pub fn is_writer(&self, daemon: &DaemonId) -> bool {
        self.writer.as_ref() == Some(daemon)
    }

    /// Appends records of the present writer.
    pub fn append(&mut self, records: &[Record]) {
        for record in records {
            self.apply(record);
        }
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
