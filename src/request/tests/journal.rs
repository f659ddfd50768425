use crate::ids::{ClassName, RequestId};
use crate::request::journal::{Explained, Journal};
use crate::request::outcome::{Outcome, Reason};
use std::time::Duration;

#[test]
fn the_oldest_request_is_dropped_and_reported_as_dropped() {
    let mut journal = Journal::new(2);
    for second in 1..=3 {
        let id = RequestId::new(&second.to_string());
        journal.open(&id, &ClassName::new("preview"), Duration::from_secs(second));
        journal.close(&id, Outcome::Ran, Reason::Answered, Duration::from_secs(second));
    }
    let forgotten = Explained::Forgotten { until: Some(Duration::from_secs(1)) };
    assert_eq!(journal.explain(&RequestId::new("1")), forgotten);
    assert!(matches!(journal.explain(&RequestId::new("2")), Explained::Known(_)));
    assert!(matches!(journal.explain(&RequestId::new("3")), Explained::Known(_)));
}

#[test]
fn a_repeated_id_replaces_the_earlier_entry() {
    let mut journal = Journal::new(2);
    let id = RequestId::new("same");
    for second in 1..=5 {
        journal.open(&id, &ClassName::new("preview"), Duration::from_secs(second));
    }
    let Explained::Known(entry) = journal.explain(&id) else { panic!("forgotten") };
    assert_eq!(entry.arrived, Duration::from_secs(5));
    let never = Explained::Forgotten { until: None };
    assert_eq!(journal.explain(&RequestId::new("another")), never);
}
