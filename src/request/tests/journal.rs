use crate::ids::{ClassName, RequestId};
use crate::request::journal::Journal;
use crate::request::outcome::{Outcome, Reason};
use std::time::Duration;

#[test]
fn the_oldest_request_is_forgotten_and_said_to_be() {
    let mut journal = Journal::new(2);
    for second in 1..=3 {
        let id = RequestId::new(&second.to_string());
        journal.open(&id, &ClassName::new("preview"), Duration::from_secs(second));
        journal.close(&id, Outcome::Ran, Reason::Answered, Duration::from_secs(second));
    }
    assert!(journal.get(&RequestId::new("1")).is_none());
    assert!(journal.get(&RequestId::new("2")).is_some());
    assert!(journal.get(&RequestId::new("3")).is_some());
    assert_eq!(journal.forgotten_until(), Some(Duration::from_secs(1)));
}

#[test]
fn a_repeated_id_takes_no_second_place() {
    let mut journal = Journal::new(2);
    let id = RequestId::new("same");
    for second in 1..=5 {
        journal.open(&id, &ClassName::new("preview"), Duration::from_secs(second));
    }
    assert_eq!(journal.get(&id).map(|entry| entry.arrived), Some(Duration::from_secs(5)));
    assert_eq!(journal.forgotten_until(), None);
}
