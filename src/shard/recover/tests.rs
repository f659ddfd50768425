use super::{PreviousOwner, Recovered, VmLapse};
use crate::ids::VmId;
use crate::shard::learned::Inherited;
use crate::vm::Fence;
use std::time::Duration;

/// A shard that its owner has handed over.
fn handed_over(earlier_active: Duration) -> Recovered {
    Recovered {
        shard: "kacyiru.0".to_owned(),
        fence: Fence(2),
        claimed_at: Duration::ZERO,
        written_by: Duration::ZERO,
        seq: 0,
        previous: PreviousOwner::Ended,
        earlier_active,
        before_previous: None,
        extended_until: None,
        jobs: Vec::new(),
        progress: Vec::new(),
        predecessor: Some(Fence(1)),
        unresponsive_vms: Vec::new(),
        silent: Vec::new(),
        reported_lapses: Vec::new(),
        learned: Inherited::default(),
    }
}

// Guards against tasks that run twice: a claim decided by an offer finds a later ownership in the
// store, so what the offer told of VMs that an earlier owner still reaches isn't valid.
#[test]
fn an_earlier_owner_counts_without_what_the_offer_told() {
    let lapse = VmLapse { vm: VmId::new("vm-1"), left: Duration::from_secs(15) };
    let cases = [
        (Duration::from_secs(5), None, PreviousOwner::MaybeActive),
        (Duration::from_secs(5), Some(vec![lapse]), PreviousOwner::Ended),
        (Duration::ZERO, None, PreviousOwner::Ended),
    ];
    for (earlier_active, lapses, previous) in cases {
        let mut recovered = handed_over(earlier_active);
        recovered.set_offer(lapses.clone());
        assert_eq!(recovered.previous, previous, "{lapses:?}");
        assert_eq!(recovered.unresponsive_vms, lapses.unwrap_or_default());
    }
}
