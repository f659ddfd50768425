use super::{ExpectedOwner, Head};
use crate::ids::DaemonId;
use crate::job::progress::{decode, encode};
use crate::shard::settings::MAX_STALE_OWNER_EXTENSION;
use std::time::Duration;

const LEFT: Duration = Duration::from_nanos(11_870_000_001);
const LESS: Duration = Duration::from_secs(3);

/// A head as an earlier release writes it.
fn untold() -> Head {
    let first = Head::claim(DaemonId::new("one@1"), None);
    Head { fence: 300, ..Head::claim(DaemonId::new("two@1"), Some(&first)) }
}

// During a rolling upgrade, daemons of different releases must be able to decode each other's heads.
#[test]
fn heads_are_compatible_with_the_earlier_release() {
    let told = untold().with_earlier_active(LEFT);
    let before: Head = decode(&told.encode()).expect("the fields known to the earlier release");
    assert_eq!(before, untold());
    let read = Head::decode(&encode(&untold())).expect("a head of the earlier release");
    assert_eq!(read, untold());
}

// Guards against a commit or a claim that took effect and is taken for that of another owner: it is
// found by comparing the head with the one that was written.
#[test]
fn a_head_is_read_as_it_was_written() {
    for left in [Duration::ZERO, LEFT, MAX_STALE_OWNER_EXTENSION] {
        let head = untold().commit(300, 7, left);
        assert_eq!(Head::decode(&head.encode()).expect("a head"), head);
    }
}

// Guards against a head with bytes that no release has written being taken for one that tells that
// earlier owners have ended.
#[test]
fn a_cut_off_time_is_not_read() {
    let bytes = untold().with_earlier_active(LEFT).encode();
    assert!(Head::decode(&bytes[..bytes.len() - 1]).is_err());
}

// Guards against tasks that run twice, as an earlier owner isn't allowed for, and against tasks that
// wait for one that has ended.
#[test]
fn earlier_owners_are_allowed_for_as_long_as_any_proof_requires() {
    let expected = |earlier_active| ExpectedOwner { fence: 300, earlier_active };
    let (active, full) = (expected(None), expected(Some(MAX_STALE_OWNER_EXTENSION)));
    let told = untold().with_earlier_active(LESS);
    let ended = untold().with_earlier_active(Duration::ZERO);
    let cases = [
        (active, None, Duration::ZERO),
        (active, Some(&untold()), MAX_STALE_OWNER_EXTENSION),
        (active, Some(&ended), MAX_STALE_OWNER_EXTENSION),
        (full, Some(&untold()), MAX_STALE_OWNER_EXTENSION),
        (full, Some(&told), LESS),
        (full, Some(&ended), Duration::ZERO),
        (expected(Some(LESS / 2)), Some(&told), LESS / 2),
        (expected(Some(Duration::ZERO)), Some(&untold()), Duration::ZERO),
    ];
    for (number, (expected, head, left)) in cases.into_iter().enumerate() {
        assert_eq!(expected.earlier_active(head), left, "case {number}");
    }
}
