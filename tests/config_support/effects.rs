//! What must hold of the store whatever happens.

use crate::changes::now;
use std::convert::Infallible;
use waxwingstall::audit::{self, Outcome};
use waxwingstall::config::follow::Newcomer;
use waxwingstall::config::follow::fetch::{Started, start};
use waxwingstall::config::head;
use waxwingstall::ids::{ChangeId, Revision};
use waxwingstall::store::memory::MemoryStore;

/// Checks what must hold at any time, and returns how often the change took effect.
///
/// Whatever is in force is whole and faultless. The audit trail has each entry once and in order,
/// and one for each revision.
pub fn effects(store: &MemoryStore, change: &ChangeId) -> usize {
    let at = now(head::read(store)).expect("a head");
    let started = now(start(Newcomer::new(), store, &[] as &[Infallible]));
    let Started::Following { follower, version } = started else { panic!("{started:?}") };
    assert_eq!((follower.revision(), version), (at.head.manifest.revision, at.version));
    let page = now(audit::page(store, None, usize::MAX));
    assert_eq!((page.missing, page.next), (None, None));
    let numbers: Vec<u64> = page.entries.iter().rev().map(|entry| entry.number).collect();
    assert_eq!(numbers, (0..at.head.trail.next).collect::<Vec<_>>());
    let made = page.entries.iter().rev().filter(|entry| entry.outcome != Outcome::Abandoned);
    let revisions: Vec<Revision> = made.clone().map(|entry| entry.revision).collect();
    let expected: Vec<Revision> = (1..=at.head.manifest.revision.0).map(Revision).collect();
    assert_eq!(revisions, expected);
    made.filter(|entry| entry.change == *change).count()
}
