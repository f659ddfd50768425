use super::{PreviousOwnerEnd, RemainingLeases, ToldLeases};
use crate::shard::learned::Inherited;
use crate::shard::settings::MAX_STALE_OWNER_EXTENSION;
use crate::shard::{Event, Now, PreviousOwner, Recovered, Settings, Shard};
use crate::vm::Fence;
use std::sync::Arc;
use std::time::Duration;

fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn at(now: Duration) -> Now {
    Now { steady: now, wall: now }
}

/// A shard that was claimed at that time from an owner that may be active.
fn claimed(now: Duration) -> Shard {
    let recovered = Recovered {
        shard: "kacyiru.0".to_owned(),
        fence: Fence(2),
        claimed_at: now,
        written_by: now,
        seq: 0,
        previous: PreviousOwner::MaybeActive,
        earlier_active: MAX_STALE_OWNER_EXTENSION,
        before_previous: None,
        extended_until: None,
        jobs: Vec::new(),
        progress: Vec::new(),
        predecessor: Some(Fence(1)),
        unresponsive_vms: Vec::new(),
        silent: Vec::new(),
        reported_lapses: Vec::new(),
        learned: Inherited::default(),
    };
    Shard::new(recovered, Settings::default(), Arc::default(), Vec::new(), at(now))
}

fn lease() -> Duration {
    Settings::default().inherited_lease(Duration::ZERO)
}

// Guards against tasks that run twice: an owner that has lost its shard tells nothing of one before
// it, which is still active on its side of a partition.
#[test]
fn what_an_owner_tells_covers_those_before_it() {
    let (claim, lost) = (seconds(100), seconds(103));
    let shard = claimed(claim);
    assert_eq!(shard.earlier_active(lost), MAX_STALE_OWNER_EXTENSION - seconds(3));
    let told = shard.remaining_leases(lost);
    assert_eq!(told.left, MAX_STALE_OWNER_EXTENSION + lease() - seconds(3));
}

// Guards against a wait that counts from the arrival of a proof, or from the claim, where an earlier
// time is proved, and against one that ends too soon since a later proof tells less.
#[test]
fn leases_count_from_the_earliest_end_that_is_proved() {
    let now = seconds(100);
    let mut shard = claimed(now);
    let told = |left| ToldLeases { at: now, leases: RemainingLeases { left, vms: Vec::new() } };
    let proofs = [
        (PreviousOwnerEnd::new(now + seconds(2)), lease() + seconds(2)),
        (PreviousOwnerEnd::new(now - seconds(3)), lease() - seconds(3)),
        (PreviousOwnerEnd::new(now).with_leases(told(seconds(5))), seconds(5)),
        (PreviousOwnerEnd::new(now), seconds(5)),
        (PreviousOwnerEnd::new(now).with_leases(told(seconds(9))), seconds(5)),
    ];
    for (proof, left) in proofs {
        shard.step(at(now), Event::PreviousOwnerEnded(proof.clone()));
        assert_eq!(shard.inherited_leases_left(now), left, "{proof:?}");
    }
    assert_eq!(shard.earlier_active(now), Duration::ZERO);
}
