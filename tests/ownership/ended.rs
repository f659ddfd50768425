//! Proof that the previous owner of a shard has ended, and when.

use super::{claimed, daemon_beside_owner, hello, ms, process};
use std::time::Duration;
use waxwingstall::note::{Millis, Note};

const SHARD: &str = "kacyiru.0";

// Guards against a log that doesn't tell what ended a new owner's wait for the previous one.
#[test]
fn the_end_of_a_previous_owner_is_logged() {
    let (mut harness, owner) = daemon_beside_owner();
    let asked = harness.now;
    harness.refuse(&owner, asked);
    harness.step(claimed(SHARD, 10));
    harness.notes.clear();
    harness.hear_answer(hello(process(&owner, 2), Vec::new()), asked);
    let expected = Note::PreviousOwnerEnded {
        shard: SHARD.to_owned(),
        fence: 10,
        owner: owner.id,
        proof: "another process of its daemon answers",
        ended_ms: Millis(Duration::ZERO),
    };
    assert!(harness.notes.contains(&expected), "{:?}", harness.notes);
    harness.run_for(ms(200));
    let is_end = |note: &&Note| matches!(note, Note::PreviousOwnerEnded { .. });
    assert_eq!(harness.notes.iter().filter(is_end).count(), 1);
}
