use super::{Delivery, Extension, Lease, LeaseSource};
use crate::job::{JobId, RunNumber, TaskRef};
use crate::shard::vm_run::RunKey;
use std::time::Duration;

fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn start(run: u32) -> Extension {
    let task = TaskRef { job: JobId(1), occurrence: 0, step: 0, index: 0 };
    Extension::Start(RunKey { task, run: RunNumber(run) })
}

// Guards against a lease that is taken to have ended while a call is in flight that extends it.
#[test]
fn a_call_counts_while_it_is_in_flight() {
    let mut lease = Lease::inherited(seconds(1));
    lease.send(Extension::Poll, seconds(9));
    assert_eq!((lease.end(), lease.source()), (seconds(9), LeaseSource::UnansweredCall));
    lease.shorten(seconds(2));
    assert_eq!(lease.end(), seconds(9));
}

// Guards against a lease that counts from a call that was never sent.
#[test]
fn a_call_that_was_not_sent_leaves_the_lease_as_it_was() {
    let mut lease = Lease::inherited(seconds(1));
    lease.send(Extension::Poll, seconds(8));
    lease.settle(Extension::Poll, Delivery::Answered);
    lease.send(start(1), seconds(9));
    lease.settle(start(1), Delivery::NotSent);
    assert_eq!((lease.end(), lease.source()), (seconds(8), LeaseSource::AnsweredCall));
}

// Guards against a refused start that takes back what a poll or another start may have extended.
#[test]
fn a_call_that_was_not_sent_takes_back_no_other_call() {
    let mut lease = Lease::inherited(seconds(1));
    lease.send(Extension::Poll, seconds(7));
    lease.send(start(1), seconds(8));
    lease.send(start(2), seconds(9));
    lease.settle(start(2), Delivery::NotSent);
    assert_eq!(lease.end(), seconds(8));
    lease.settle(start(1), Delivery::Unanswered);
    lease.settle(Extension::Poll, Delivery::NotSent);
    assert_eq!((lease.end(), lease.source()), (seconds(8), LeaseSource::UnansweredCall));
}

// Guards against a later call that takes back an earlier one whose result was never reported.
#[test]
fn a_call_without_a_report_counts_on() {
    let mut lease = Lease::inherited(seconds(1));
    lease.send(start(1), seconds(8));
    lease.send(start(1), seconds(9));
    lease.settle(start(1), Delivery::NotSent);
    assert!(lease.end() >= seconds(8));
}

// Guards against a task that runs twice: once the previous owner is shown to have ended early, a call
// of this owner that may have arrived since counts no more.
#[test]
fn a_call_counts_on_once_earlier_owners_are_known_to_have_ended_before_it() {
    let mut lease = Lease::inherited(seconds(30));
    lease.send(Extension::Poll, seconds(14));
    lease.settle(Extension::Poll, Delivery::Unanswered);
    assert_eq!((lease.end(), lease.source()), (seconds(30), LeaseSource::EarlierOwner));
    lease.shorten(seconds(5));
    assert_eq!((lease.end(), lease.source()), (seconds(14), LeaseSource::UnansweredCall));
    lease.set_told(seconds(6));
    assert_eq!(lease.end(), seconds(14));
}

// Guards against an answered call that hides how long orders for an earlier instance may count.
#[test]
fn orders_for_an_earlier_instance_count_on() {
    let mut lease = Lease::inherited(seconds(20));
    lease.expect_late_orders(seconds(12));
    assert_eq!(lease.source(), LeaseSource::EarlierOwner);
    lease.shorten(seconds(5));
    assert_eq!((lease.end(), lease.source()), (seconds(12), LeaseSource::EarlierInstance));
    lease.send(Extension::Poll, seconds(10));
    lease.settle(Extension::Poll, Delivery::Answered);
    assert_eq!((lease.end(), lease.source()), (seconds(12), LeaseSource::EarlierInstance));
}

// Guards against a task that runs twice: what the last owner told allows for starts that are carried
// out late, and its end as a process changes nothing in that.
#[test]
fn an_end_that_the_last_owner_told_is_kept_until_the_vm_answers() {
    let mut lease = Lease::inherited(seconds(11));
    lease.set_told(seconds(20));
    lease.shorten(seconds(11));
    assert_eq!(lease.end(), seconds(20));
    lease.limit_told(seconds(15));
    lease.shorten(seconds(11));
    assert_eq!(lease.end(), seconds(15), "a shorter time that was told holds");
    lease.exclude_earlier_owners(seconds(11));
    assert_eq!(lease.end(), seconds(11));
}
