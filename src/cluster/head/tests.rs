use super::{ExpectedOwner, Head};
use crate::ids::DaemonId;
use crate::job::progress::{decode, decode_prefix, encode};
use crate::shard::settings::MAX_STALE_OWNER_EXTENSION;
use std::time::Duration;

const LEFT: Duration = Duration::from_nanos(11_870_000_001);
const LESS: Duration = Duration::from_secs(3);
const STALE: Duration = Duration::from_secs(4);

/// A head as an earlier release writes it.
fn untold() -> Head {
    let first = Head::claim(DaemonId::new("one@1"), None);
    Head { fence: 300, ..Head::claim(DaemonId::new("two@1"), Some(&first)) }
}

/// A head as this release writes it.
fn told(left: Duration) -> Head {
    untold().with_earlier_active(left).with_stale_extension(STALE)
}

// During a rolling upgrade, daemons of different releases must be able to decode each other's heads.
#[test]
fn heads_are_compatible_with_earlier_releases() {
    let bytes = told(LEFT).encode();
    let before: Head = decode(&bytes).expect("the fields known to the first release");
    assert_eq!(before, untold());
    let (before, rest): (Head, &[u8]) = decode_prefix(&bytes).expect("the same fields");
    assert_eq!(before, untold());
    assert_eq!(decode::<Duration>(rest).expect("the field known to the second release"), LEFT);
    let second = untold().with_earlier_active(LEFT);
    for (bytes, head) in [(encode(&untold()), untold()), (second.encode(), second)] {
        assert_eq!(Head::decode(&bytes).expect("a head of an earlier release"), head);
    }
}

// Guards against a commit or a claim that took effect and is taken for that of another owner: it is
// found by comparing the head with the one that was written.
#[test]
fn a_head_is_read_as_it_was_written() {
    for left in [Duration::ZERO, LEFT, MAX_STALE_OWNER_EXTENSION] {
        let head = told(LESS).commit(300, 7, left);
        assert_eq!(head.stale_extension, Some(STALE));
        assert_eq!(Head::decode(&head.encode()).expect("a head"), head);
    }
}

// Guards against a head with bytes that no release has written being taken for one that tells that
// earlier owners have ended.
#[test]
fn a_cut_off_time_is_not_read() {
    for head in [untold().with_earlier_active(LEFT), told(LEFT).with_stale_extension(LEFT)] {
        let bytes = head.encode();
        assert!(Head::decode(&bytes[..bytes.len() - 1]).is_err());
    }
}

// Guards against tasks that run twice, as an earlier owner isn't allowed for, and against tasks that
// wait for one that has ended.
#[test]
fn earlier_owners_are_allowed_for_as_long_as_any_proof_requires() {
    let expected = |earlier_active| ExpectedOwner { fence: 300, earlier_active };
    let (active, full) = (expected(None), expected(Some(MAX_STALE_OWNER_EXTENSION)));
    let second = untold().with_earlier_active(Duration::ZERO);
    let (longer, told, ended) = (told(LEFT), told(LESS), told(Duration::ZERO));
    let cases = [
        (active, None, Duration::ZERO),
        (active, Some(&untold()), MAX_STALE_OWNER_EXTENSION),
        (active, Some(&second), MAX_STALE_OWNER_EXTENSION),
        (active, Some(&ended), STALE),
        (active, Some(&told), STALE),
        (active, Some(&longer), LEFT),
        (full, Some(&second), Duration::ZERO),
        (full, Some(&untold()), MAX_STALE_OWNER_EXTENSION),
        (full, Some(&told), LESS),
        (full, Some(&ended), Duration::ZERO),
        (expected(Some(LESS / 2)), Some(&told), LESS / 2),
        (expected(Some(Duration::ZERO)), Some(&untold()), Duration::ZERO),
    ];
    for (number, (expected, head, left)) in cases.into_iter().enumerate() {
        assert_eq!(expected.earlier_active(head, Duration::ZERO), left, "case {number}");
    }
}

// Guards against tasks that wait for the time between an owner's last commit and the claim again, and
// against an owner of an earlier release that is counted out by its head: refused commits prove its
// ownership too.
#[test]
fn times_count_from_when_the_head_was_written() {
    let expected = |earlier_active| ExpectedOwner { fence: 300, earlier_active };
    let second = untold().with_earlier_active(LESS);
    let ages =
        [(Duration::from_secs(1), LESS), (STALE, Duration::ZERO), (2 * STALE, Duration::ZERO)];
    for (age, left) in ages {
        assert_eq!(expected(None).earlier_active(Some(&told(Duration::ZERO)), age), left);
        assert_eq!(expected(None).earlier_active(Some(&second), age), MAX_STALE_OWNER_EXTENSION);
        let told =
            expected(Some(MAX_STALE_OWNER_EXTENSION)).earlier_active(Some(&told(STALE)), age);
        assert_eq!(told, left);
    }
}
