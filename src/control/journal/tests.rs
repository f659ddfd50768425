use super::*;
use crate::ids::{PartitionId, Revision, TaskId};
use crate::model::Weights;
use std::time::Duration;

fn record(number: u64, verdict: &str) -> DecisionRecord {
    DecisionRecord {
        at: Duration::from_secs(number),
        subject: Subject::Task(TaskId::new(PartitionId(0), number)),
        revision: Revision(1),
        weights: Weights::default(),
        verdict: verdict.to_owned(),
        considered: 1,
        passed_over: IndexMap::new(),
        inputs: IndexMap::new(),
    }
}

#[test]
fn a_repeated_wait_is_kept_once() {
    let mut journal = Journal::new();
    let first = record(1, "wait: no room");
    for _ in 0..100 {
        journal.keep(first.clone());
    }
    journal.keep(record(1, "placed on w1"));
    let recalled = journal.of(&first.subject);
    assert_eq!(recalled.records.len(), 2);
    assert!(!recalled.forgotten);
}

#[test]
fn what_was_forgotten_is_said_to_be_forgotten() {
    let mut journal = Journal::new();
    for number in 0..=MAX_SUBJECTS as u64 {
        journal.keep(record(number, "placed"));
    }
    let recalled = journal.of(&record(0, "").subject);
    assert_eq!(recalled, Recalled { records: Vec::new(), forgotten: true });
    assert_eq!(journal.of(&record(1, "").subject).records.len(), 1);
}

#[test]
fn the_oldest_of_many_decisions_about_one_subject_make_room() {
    let mut journal = Journal::new();
    for step in 0..=MAX_PER_SUBJECT {
        journal.keep(record(1, &format!("step {step}")));
    }
    let recalled = journal.of(&record(1, "").subject);
    assert_eq!(recalled.records.len(), MAX_PER_SUBJECT);
    assert_eq!(recalled.records[0].verdict, "step 1");
    assert!(recalled.forgotten);
}
