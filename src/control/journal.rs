//! Recent decisions, kept in bounded memory.

#[cfg(test)]
mod tests;

use crate::core::policy::{DecisionRecord, Subject};
use indexmap::IndexMap;
use std::collections::VecDeque;

const MAX_SUBJECTS: usize = 5_000;
const MAX_PER_SUBJECT: usize = 16;

/// Recent decisions by subject.
#[derive(Debug, Default)]
pub struct Journal {
    subjects: IndexMap<Subject, Kept>,
    forgotten: u64,
}

#[derive(Debug, Default)]
struct Kept {
    records: VecDeque<DecisionRecord>,
    dropped: bool,
}

/// What is still known of a subject.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Recalled {
    /// Oldest first.
    pub records: Vec<DecisionRecord>,
    /// Whether there may have been others.
    pub forgotten: bool,
}

impl Journal {
    /// Knows no decisions.
    pub fn new() -> Self {
        Self::default()
    }

    /// Keeps a decision; the subject that was decided about longest ago makes room.
    pub fn keep(&mut self, record: DecisionRecord) {
        let subject = record.subject.clone();
        let mut kept = self.subjects.shift_remove(&subject).unwrap_or_default();
        let repeated = kept.records.back().is_some_and(|last| last.verdict == record.verdict);
        if repeated {
            // A task that waits is decided about many times a second; the last word is enough.
            kept.records.pop_back();
        }
        kept.records.push_back(record);
        if kept.records.len() > MAX_PER_SUBJECT {
            kept.records.pop_front();
            kept.dropped = true;
        }
        self.subjects.insert(subject, kept);
        if self.subjects.len() > MAX_SUBJECTS {
            self.subjects.shift_remove_index(0);
            self.forgotten += 1;
        }
    }

    /// What is known of a subject, and whether something was forgotten.
    pub fn of(&self, subject: &Subject) -> Recalled {
        match self.subjects.get(subject) {
            Some(kept) => Recalled {
                records: kept.records.iter().cloned().collect(),
                forgotten: kept.dropped,
            },
            None => Recalled { records: Vec::new(), forgotten: self.forgotten > 0 },
        }
    }
}
