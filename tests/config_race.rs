//! Operators who race each other, in orders drawn from seeds.

#[path = "config_support/changes.rs"]
mod changes;
#[path = "config_support/effects.rs"]
mod effects;
#[path = "config_support/interleaved.rs"]
mod interleaved;

use bytes::Bytes;
use changes::{now, request, weights};
use effects::effects;
use futures::FutureExt;
use interleaved::Yielding;
use waxwingstall::clock::ManualClock;
use waxwingstall::config::apply::{
    Action, Applied, ChangeRequest, Confirmation, Error, Result, apply, confirm, sweep,
};
use waxwingstall::config::head::{self, FileRef, TEXT_PREFIX};
use waxwingstall::ids::{ChangeId, OperatorName, Revision};
use waxwingstall::store::memory::{Fault, MemoryStore};
use waxwingstall::store::{Expect, Store};

const SEEDS: u64 = 300;

fn start() -> MemoryStore {
    let store = MemoryStore::new();
    let req = request("first", "first", "weights.toml", replace(weights(1)));
    now(apply(&store, &ManualClock::new(), &req)).expect("the first change");
    store
}

fn replace(text: String) -> Action {
    Action::Replace { text }
}

fn race(seed: u64, store: &MemoryStore, requests: &[ChangeRequest]) -> Vec<Result<Applied>> {
    let clock = ManualClock::new();
    let shared = Yielding(store.clone());
    let futures = requests.iter().map(|req| apply(&shared, &clock, req).boxed_local()).collect();
    interleaved::run(seed, futures)
}

/// Five operators edited the same revision of a file and apply at once. One of them wins; each of
/// the others is told who, in which revision, and what differs from their own text.
#[test]
fn exactly_one_of_the_operators_who_edited_the_same_revision_wins() {
    for seed in 0..SEEDS {
        let store = start();
        let requests: Vec<ChangeRequest> = (0..5)
            .map(|i| {
                let name = format!("op-{i}");
                let req = request(&name, &name, "weights.toml", replace(weights(100 + i)));
                ChangeRequest { base: Some(Revision(1)), ..req }
            })
            .collect();
        let results = race(seed, &store, &requests);
        let won: Vec<usize> = (0..5).filter(|i| results[*i].is_ok()).collect();
        let [winner] = won[..] else { panic!("seed {seed}: {results:?}") };
        for (i, result) in results.iter().enumerate().filter(|(i, _)| *i != winner) {
            let Err(Error::Conflict(conflict)) = result else { panic!("seed {seed}: {result:?}") };
            assert_eq!(conflict.winner, requests[winner].operator, "seed {seed}");
            assert_eq!(conflict.revision, Revision(2), "seed {seed}");
            assert_eq!(conflict.differences.lines.len(), 2, "seed {seed}");
            assert_eq!(effects(&store, &requests[i].change), 0, "seed {seed}");
        }
        assert_eq!(effects(&store, &requests[winner].change), 1, "seed {seed}");
    }
}

/// Operators of different files don't get in each other's way: all of them win, one revision each.
#[test]
fn changes_of_different_files_all_take_effect() {
    for seed in 0..SEEDS {
        let store = start();
        let requests: Vec<ChangeRequest> = (0..5)
            .map(|i| {
                let name = format!("op-{i}");
                let text = format!("[[pool]]\nname = \"pool-{i}\"\n");
                request(&name, &name, &format!("pools-{i}.toml"), replace(text))
            })
            .collect();
        let results = race(seed, &store, &requests);
        assert!(results.iter().all(Result::is_ok), "seed {seed}: {results:?}");
        let head = now(head::read(&store)).expect("a head").head;
        assert_eq!((head.manifest.revision, head.manifest.files.len()), (Revision(6), 6));
        assert!(requests.iter().all(|req| effects(&store, &req.change) == 1), "seed {seed}");
    }
}

/// Two files that are faultless alone and not together: whoever comes second is refused.
#[test]
fn files_that_contradict_each_other_are_never_in_force_together() {
    for seed in 0..SEEDS {
        let store = start();
        let requests: Vec<ChangeRequest> = (0..3)
            .map(|i| {
                let name = format!("op-{i}");
                let text = "[[pool]]\nname = \"press\"\n".to_owned();
                request(&name, &name, &format!("pools-{i}.toml"), replace(text))
            })
            .collect();
        let results = race(seed, &store, &requests);
        assert_eq!(results.iter().filter(|result| result.is_ok()).count(), 1, "seed {seed}");
        let invalid = results.iter().filter(|result| matches!(result, Err(Error::Invalid(_))));
        assert_eq!(invalid.count(), 2, "seed {seed}: {results:?}");
        assert!(requests.iter().map(|req| effects(&store, &req.change)).sum::<usize>() == 1);
    }
}

/// Someone asks how a change ended while it is under way. Once they were told "not applied", the
/// change must not take effect any more, however late its writes arrive.
#[test]
fn a_change_that_was_confirmed_as_not_applied_never_takes_effect() {
    let mut told = [0, 0];
    for seed in 0..SEEDS {
        let store = start();
        let clock = ManualClock::new();
        let shared = Yielding(store.clone());
        let req = request("us", "us", "weights.toml", replace(weights(100)));
        let other = OperatorName::new("other");
        let applying = async {
            match apply(&shared, &clock, &req).await {
                Ok(_) => 1,
                Err(_) => 0,
            }
        };
        let asking = async {
            match confirm(&shared, &clock, &req.change, &other).await {
                Ok(Confirmation::Applied(_)) => 1,
                Ok(Confirmation::NotApplied { .. }) => 0,
                Err(e) => panic!("seed {seed}: {e}"),
            }
        };
        let answers = interleaved::run(seed, vec![applying.boxed_local(), asking.boxed_local()]);
        assert_eq!(answers[0], answers[1], "seed {seed}");
        assert_eq!(effects(&store, &req.change), answers[0], "seed {seed}");
        told[answers[0]] += 1;
    }
    assert!(told.iter().all(|count| *count > 0), "one answer was never tried: {told:?}");
}

/// The same change is sent by two processes, say by an operator who was tired of waiting. A read
/// from the past makes the one that lost believe that nothing was put in force yet; it must not
/// delete the text, which the head names by then.
#[test]
fn a_change_that_is_sent_twice_takes_effect_once() {
    for seed in 0..SEEDS {
        let store = start();
        let req = request("us", "us", "weights.toml", replace(weights(100)));
        let stale = store.usage().calls + 1 + seed % 20;
        let store = store.with_fault(stale, Fault::StaleRead);
        let results = race(seed, &store, &[req.clone(), req.clone()]);
        assert!(results.iter().all(Result::is_ok), "seed {seed}: {results:?}");
        assert_eq!(effects(&store, &req.change), 1, "seed {seed}");
    }
}

/// The head is written and its answer is lost. Written again, it conflicts; read back, the store
/// answers from the past; and then it fails once. The change is in force, and must not be reported
/// as refused.
#[test]
fn a_change_is_settled_through_a_lost_answer_an_old_read_and_an_error() {
    let store = start();
    let before = store.usage().calls;
    let store = store
        .with_fault(before + 5, Fault::ErrorAfterEffect)
        .with_fault(before + 7, Fault::StaleRead)
        .with_fault(before + 8, Fault::ErrorBefore);
    let req = request("us", "us", "weights.toml", replace(weights(100)));
    let applied = now(apply(&store, &ManualClock::new(), &req)).expect("applied");
    assert_eq!(applied.revision, Revision(2));
}

/// Texts are swept while a change is on its way. Its text, which no head names yet, must stay.
#[test]
fn a_sweep_deletes_what_is_left_behind_and_nothing_else() {
    for seed in 0..SEEDS {
        let store = start();
        let left = FileRef { revision: Revision(1), change: ChangeId::new("dead"), digest: 7 };
        now(store.put(&left.text_key(), Bytes::new(), Expect::Absent)).expect("written");
        let clock = ManualClock::new();
        let shared = Yielding(store.clone());
        let req = request("us", "us", "weights.toml", replace(weights(100)));
        let applying = async {
            apply(&shared, &clock, &req).await.expect("applied");
            0
        };
        let sweeping = async {
            let head = head::read(&shared).await.expect("a head").head;
            sweep(&shared, &head.manifest).await.expect("swept")
        };
        let done = interleaved::run(seed, vec![applying.boxed_local(), sweeping.boxed_local()]);
        assert!(done[1] >= 1, "seed {seed}");
        assert_eq!(effects(&store, &req.change), 1, "seed {seed}");
        assert_eq!(now(store.list(TEXT_PREFIX)).expect("a list").len(), 1, "seed {seed}");
    }
}
