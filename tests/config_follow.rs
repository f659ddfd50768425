//! What a follower does with snapshots that it can't take up.

#[path = "config_support/changes.rs"]
mod changes;

use changes::{now, request, weights};
use std::convert::Infallible;
use std::sync::Arc;
use waxwingstall::clock::ManualClock;
use waxwingstall::config::apply::{Action, apply};
use waxwingstall::config::diff::{Diff, Side};
use waxwingstall::config::follow::fetch::{Started, fetch, start, take_up, watches};
use waxwingstall::config::follow::{Follower, Newcomer, Outcome, Refusal, Standing};
use waxwingstall::config::head;
use waxwingstall::config::snapshot::Snapshot;
use waxwingstall::ids::{DaemonId, Revision};
use waxwingstall::store::memory::MemoryStore;

const NO_PEERS: &[Infallible] = &[];

fn change(store: &MemoryStore, file: &str, text: &str) {
    let name = format!("change-{}", store.usage().calls);
    let req = request("uwase", &name, file, Action::Replace { text: text.to_owned() });
    now(apply(store, &ManualClock::new(), &req)).expect("applied");
}

/// A store with two files, and a follower at revision 2.
fn setting() -> (MemoryStore, Follower) {
    let store = MemoryStore::new();
    change(&store, "pools.toml", "[[pool]]\nname = \"press\"\n");
    change(&store, "weights.toml", &weights(1));
    let started = now(start(Newcomer::new(), &store, NO_PEERS));
    let Started::Following { follower, .. } = started else { panic!("{started:?}") };
    (store, follower)
}

fn present(store: &MemoryStore) -> Snapshot {
    let at = now(head::read(store)).expect("a head");
    now(fetch(store, &at.head.manifest, &Snapshot::default())).expect("all texts")
}

#[test]
fn a_snapshot_since_a_revision_carries_the_changed_texts_only() {
    let (store, mut follower) = setting();
    change(&store, "weights.toml", &weights(2));
    let part = present(&store).since(Revision(2));
    assert_eq!(part.texts.keys().collect::<Vec<_>>(), ["weights.toml"]);
    assert!(matches!(follower.offer(&part), Outcome::InForce(_)));
    assert_eq!(follower.snapshot(), &present(&store));
}

#[test]
fn taking_up_a_change_fetches_the_changed_text_only() {
    let (store, mut follower) = setting();
    change(&store, "weights.toml", &weights(2));
    let at = now(head::read(&store)).expect("a head");
    let before = store.usage().calls;
    now(take_up(&mut follower, &store, &at, NO_PEERS)).expect("taken up");
    assert_eq!((store.usage().calls - before, follower.revision()), (1, Revision(3)));
}

/// A peer that is two revisions ahead sends only what changed since the wrong one. The follower
/// must not put a mixture in force.
#[test]
fn a_snapshot_that_lacks_a_text_is_refused_whole() {
    let (store, mut follower) = setting();
    change(&store, "weights.toml", &weights(2));
    change(&store, "pools.toml", "[[pool]]\nname = \"cellars\"\n");
    let part = present(&store).since(Revision(3));
    let outcome = follower.offer(&part);
    let missing = vec!["weights.toml".to_owned()];
    assert_eq!(outcome, Outcome::Refused(Refusal::Incomplete { missing }));
    let standing = Standing::Behind { revision: Revision(2), known: Revision(4) };
    assert_eq!(follower.standing(), standing);
}

#[test]
fn a_damaged_text_is_refused() {
    let (store, mut follower) = setting();
    change(&store, "weights.toml", &weights(2));
    let mut snapshot = present(&store);
    snapshot.texts.insert("weights.toml".to_owned(), Arc::from(weights(3)));
    assert!(matches!(follower.offer(&snapshot), Outcome::Refused(Refusal::Incomplete { .. })));
}

/// The store was restored from a backup and went another way from there: two histories share a
/// revision number. The follower keeps what it has and says so.
#[test]
fn other_files_under_the_revision_in_force_are_refused() {
    let (_, mut follower) = setting();
    let other = MemoryStore::new();
    change(&other, "weights.toml", &weights(8));
    change(&other, "weights.toml", &weights(9));
    let revision = Revision(2);
    let outcome = follower.offer(&present(&other));
    assert_eq!(outcome, Outcome::Refused(Refusal::Forked { revision }));
    assert_eq!(follower.config().weights.tail, 1.0);
}

/// A newer program put in force what this one can't read. It stays with what it has and is behind.
#[test]
fn files_that_this_program_finds_faulty_are_refused() {
    let (_, mut follower) = setting();
    let mut snapshot = follower.snapshot().clone();
    let text = "[weights]\ntail = 1\nevictions = 1\nthroughput = 1\nfairness = 1\n";
    let file = snapshot.manifest.files["weights.toml"].clone();
    let file = head::FileRef { digest: head::text_digest(text), ..file };
    let manifest = snapshot.manifest.with_file("weights.toml", Some(file));
    snapshot.texts.insert("weights.toml".to_owned(), Arc::from(text));
    let outcome = follower.offer(&Snapshot::new(manifest, snapshot.texts));
    let Outcome::Refused(Refusal::Invalid { faults, .. }) = outcome else { panic!("{outcome:?}") };
    assert_eq!((faults[0].line, faults.len()), (5, 1));
    assert_eq!(follower.revision(), Revision(2));
}

#[test]
fn a_few_daemons_of_a_domain_watch_and_all_agree_who() {
    let members: Vec<DaemonId> = (0..143).map(|i| DaemonId::new(&format!("daemon-{i}"))).collect();
    let watchers = members.iter().filter(|me| watches(me, &members, 3)).count();
    assert_eq!(watchers, 3);
    let few = &members[..2];
    assert!(few.iter().all(|me| watches(me, few, 3)));
}

#[test]
fn a_difference_names_the_lines_of_each_text() {
    let diff = Diff::new("a\nb\nc\nd\n", "a\nx\nc\nd\ne\n");
    let shown: Vec<String> = diff.lines.iter().map(ToString::to_string).collect();
    assert_eq!(shown, ["-2: b", "+2: x", "+5: e"]);
    assert_eq!(diff.lines[0].side, Side::Old);
    assert!(Diff::new("a\nb\n", "a\nb\n").is_empty());
}

#[test]
fn a_difference_of_long_texts_has_every_line_of_both() {
    let long = |offset: usize| (0..2000).map(|i| format!("{}\n", i + offset)).collect::<String>();
    let diff = Diff::new(&long(0), &long(5000));
    assert_eq!(diff.lines.len(), 4000);
    assert!(diff.summary().starts_with("-2000 +2000 lines"));
}
