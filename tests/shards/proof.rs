//! An owner's proof that it still owns its shard.

use crate::jobs::{job_with_steps, work};
use crate::loans::{commit, owner_of_borrowed_job};
use std::time::Duration;
use waxwingstall::job::progress::TaskPhase;
use waxwingstall::note::{Millis, Note};
use waxwingstall::shard::settings::MAX_LEASE_AFTER_PROOF;
use waxwingstall::shard::{Action, CommitResult, Event, Now};

fn at(secs: u64) -> Now {
    Now { steady: Duration::from_secs(secs), ..Now::default() }
}

/// The lines about the proof among the actions.
fn notes(actions: &[Action]) -> Vec<&Note> {
    let notes = actions.iter().filter_map(|action| match action {
        Action::Note(note) => Some(note),
        _ => None,
    });
    let is_about_proof = |note: &&Note| {
        matches!(note, Note::OwnershipUnproved { .. } | Note::OwnershipProved { .. })
    };
    notes.filter(is_about_proof).collect()
}

// Guards against an owner that keeps no runs and starts none without a line that tells why.
#[test]
fn an_owner_logs_that_it_lacks_a_proof_of_ownership_and_has_one_again() {
    let job = job_with_steps(2, 1, 2, work(100, 2));
    let mut shard = owner_of_borrowed_job(&job, TaskPhase::Succeeded);
    let (seq, _) = commit(shard.step(at(5), Event::Tick)).expect("a commit that renews the proof");
    assert_eq!(notes(&shard.step(at(11), Event::Tick)), Vec::<&Note>::new());
    let lost = shard.step(at(30), Event::Tick);
    let [Note::OwnershipUnproved { age_ms, .. }] = notes(&lost)[..] else { panic!("{lost:?}") };
    assert_eq!(*age_ms, Millis(Duration::from_secs(30)));
    assert_eq!(notes(&shard.step(at(31), Event::Tick)), Vec::<&Note>::new());
    // The answer proves the ownership at the time of the commit, which is long ago.
    let answered = shard.step(at(40), Event::Committed { seq, result: CommitResult::Durable });
    assert_eq!(notes(&answered), Vec::<&Note>::new());
    let renewed = commit(answered).or_else(|| commit(shard.step(at(41), Event::Tick)));
    let (seq, _) = renewed.expect("another commit");
    let proved = shard.step(at(42), Event::Committed { seq, result: CommitResult::Durable });
    let [Note::OwnershipProved { unproved_ms, .. }] = notes(&proved)[..] else {
        panic!("{proved:?}")
    };
    assert_eq!(*unproved_ms, Millis(Duration::from_secs(12)));
}

// Guards against tasks that run twice: the next owner takes the time at which the head was written for
// the last proof, and a refused commit doesn't write it.
#[test]
fn a_refused_commit_is_no_proof_of_ownership() {
    let job = job_with_steps(2, 1, 2, work(100, 2));
    let mut shard = owner_of_borrowed_job(&job, TaskPhase::Succeeded);
    let (seq, _) = commit(shard.step(at(5), Event::Tick)).expect("a commit that renews the proof");
    let refused = CommitResult::JobExists(Vec::new());
    shard.step(at(10), Event::Committed { seq, result: refused });
    let lost = shard.step(at(MAX_LEASE_AFTER_PROOF.as_secs()), Event::Tick);
    assert!(matches!(notes(&lost)[..], [Note::OwnershipUnproved { .. }]), "{lost:?}");
}
