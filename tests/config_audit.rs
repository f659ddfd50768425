//! The audit trail, read in pages, with the store there and away.

#[path = "config_support/changes.rs"]
mod changes;

use changes::{now, request, weights};
use std::time::Duration;
use waxwingstall::audit::{
    self, Missing, Outcome, PAGE_ENTRIES, Page, Trail, page, page_from, page_or_cached,
};
use waxwingstall::clock::{Clock, ManualClock};
use waxwingstall::config::apply::{Action, ChangeRequest, Error, apply, confirm};
use waxwingstall::config::head::{self, Head};
use waxwingstall::ids::{ChangeId, OperatorName, Revision};
use waxwingstall::store::memory::{Fault, MemoryStore, Outage};
use waxwingstall::store::{Expect, Store};

const CHANGES: u64 = 100;

fn store_with_changes() -> MemoryStore {
    let store = MemoryStore::new();
    let clock = ManualClock::new();
    for number in 0..CHANGES {
        clock.advance(Duration::from_secs(1));
        let name = format!("change-{number}");
        let action = Action::Replace { text: weights(number + 1) };
        let req = request("uwase", &name, "weights.toml", action);
        now(apply(&store, &clock, &req)).expect("applied");
    }
    store
}

fn numbers(page: &Page) -> Vec<u64> {
    page.entries.iter().map(|entry| entry.number).collect()
}

#[test]
fn an_entry_says_who_when_from_which_revision_what_and_how_it_ended() {
    let store = store_with_changes();
    let newest = now(page(&store, None, 1)).entries.remove(0);
    assert_eq!(newest.operator, OperatorName::new("uwase"));
    assert_eq!(newest.change, ChangeId::new("change-99"));
    assert_eq!((newest.from, newest.revision), (Revision(99), Revision(100)));
    assert_eq!(newest.outcome, Outcome::Applied);
    assert_eq!(newest.summary, "-1 +1 lines: -2: tail = 99 | +2: tail = 100");
    let clock = ManualClock::new();
    clock.advance(Duration::from_secs(100));
    assert_eq!(newest.at, clock.wall());
}

#[test]
fn pages_of_any_size_join_into_the_whole_trail() {
    let store = store_with_changes();
    for limit in [1, 7, 16, 33, 1000] {
        let mut found = Vec::new();
        let mut before = None;
        loop {
            let part = now(page(&store, before, limit));
            assert!(part.entries.len() <= limit && part.missing.is_none());
            found.extend(numbers(&part));
            before = part.next;
            if before.is_none() {
                break;
            }
        }
        assert_eq!(found, (0..CHANGES).rev().collect::<Vec<_>>(), "limit {limit}");
    }
}

/// A thousand changes must not make the head grow: each daemon reads it at every change.
#[test]
fn the_head_keeps_a_bounded_number_of_entries() {
    let mut trail = Trail::default();
    let entry = now(page(&store_with_changes(), None, 1)).entries.remove(0);
    for _ in 0..1000 {
        trail.append(entry.clone());
        assert!(trail.recent.len() < usize::try_from(2 * PAGE_ENTRIES).expect("a small number"));
    }
    assert_eq!(trail.next, 1000);
}

/// The store is down. A daemon still has the head that it read last, and shows its entries; the
/// reader must be told that there are older ones, and may be newer ones, that can't be had.
#[test]
fn with_the_store_down_the_cached_entries_are_shown_and_the_others_said_to_be_missing() {
    let store = store_with_changes();
    let cached = now(head::read(&store)).expect("a head").head;
    store.set_outage(Outage::Down);
    let shown = now(page_or_cached(&store, Some(&cached), None, 1000));
    let oldest = cached.trail.first_recent();
    assert_eq!(numbers(&shown), (oldest..CHANGES).rev().collect::<Vec<_>>());
    let Some(Missing::Outside { first, next, .. }) = shown.missing else { panic!("{shown:?}") };
    assert_eq!((first, next, shown.next), (oldest, CHANGES, None));
}

/// The store goes down between two pages.
#[test]
fn a_page_that_can_not_be_read_is_said_to_be_missing() {
    let store = store_with_changes();
    let head = now(head::read(&store)).expect("a head").head;
    store.set_outage(Outage::Down);
    let shown = now(page_from(&store, &head, None, 1000));
    let first = head.trail.first_recent();
    let missing = matches!(shown.missing, Some(Missing::Before { number, .. }) if number == first);
    assert!(missing, "{:?}", shown.missing);
}

#[test]
fn without_a_head_the_whole_trail_is_said_to_be_missing() {
    let store = store_with_changes();
    store.inject(Fault::ErrorBefore);
    let shown = now(page(&store, None, 10));
    assert!(shown.entries.is_empty());
    assert!(matches!(shown.missing, Some(Missing::All { .. })));
}

/// Pages beyond those that are kept are deleted; the reader must not take the end of what is kept
/// for the beginning of the trail.
#[test]
fn forgotten_entries_are_said_to_be_forgotten() {
    let store = store_with_changes();
    let at = now(head::read(&store)).expect("a head");
    let head = Head { trail: Trail { first_page: 2, ..at.head.trail }, ..at.head };
    let shown = now(page_from(&store, &head, None, 1000));
    let kept = 2 * PAGE_ENTRIES;
    assert_eq!(numbers(&shown), (kept..CHANGES).rev().collect::<Vec<_>>());
    assert_eq!(shown.missing, Some(Missing::Forgotten { number: kept }));
}

/// The trail reaches its bound: the change that goes over it deletes the oldest page.
#[test]
fn the_number_of_pages_is_bounded() {
    let store = store_with_changes();
    let at = now(head::read(&store)).expect("a head");
    let next = audit::MAX_PAGES * PAGE_ENTRIES + PAGE_ENTRIES;
    let first = next - PAGE_ENTRIES;
    let mut trail = Trail { first_page: 0, next, ..at.head.trail };
    let latest = trail.recent.last().expect("an entry").clone();
    trail.recent = (first..next).map(|number| audit::Entry { number, ..latest.clone() }).collect();
    let value = Head { trail, ..at.head }.encode().expect("a head");
    now(store.put(head::HEAD_KEY, value, Expect::Version(at.version))).expect("written");
    let clock = ManualClock::new();
    for number in 0..PAGE_ENTRIES {
        let name = format!("later-{number}");
        let action = Action::Replace { text: weights(1000 + number) };
        let req = request("uwase", &name, "weights.toml", action);
        now(apply(&store, &clock, &req)).expect("applied");
    }
    let head = now(head::read(&store)).expect("a head").head;
    assert_eq!(head.trail.first_page, 1);
    assert_eq!(now(store.get(&audit::page_key(0))), Ok(None));
}

/// A change that was asked about before it took effect leaves an entry, so that whoever sent it
/// learns that it was given up, and by whom.
#[test]
fn an_abandoned_change_is_in_the_trail() {
    let store = store_with_changes();
    let (change, operator) = (ChangeId::new("lost"), OperatorName::new("mugisha"));
    now(confirm(&store, &ManualClock::new(), &change, &operator)).expect("settled");
    let newest = now(page(&store, None, 1)).entries.remove(0);
    assert_eq!((newest.change, newest.operator), (change, operator));
    assert_eq!((newest.outcome, newest.revision), (Outcome::Abandoned, Revision(CHANGES)));
}

/// An operator looked at the files long ago, when there was a file that is gone now, and the trail
/// no longer reaches back to then. Who removed it can't be told; the change is refused, and not
/// taken for that of a new file.
#[test]
fn a_base_older_than_the_trail_is_refused() {
    let store = store_with_changes();
    let at = now(head::read(&store)).expect("a head");
    let head = Head { trail: Trail { first_page: 10, ..at.head.trail }, ..at.head };
    let value = head.encode().expect("a head");
    now(store.put(head::HEAD_KEY, value, Expect::Version(at.version))).expect("written");
    let text = "[[pool]]\nname = \"press\"\n".to_owned();
    let req = request("uwase", "ancient", "pools.toml", Action::Replace { text });
    let req = ChangeRequest { base: Some(Revision(3)), ..req };
    let refused = now(apply(&store, &ManualClock::new(), &req));
    let Err(Error::Unavailable { reason }) = refused else { panic!("{refused:?}") };
    assert!(reason.contains("entries before 80 are not kept"), "{reason}");
}
