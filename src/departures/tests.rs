use super::{LeavingVms, Removal};
use crate::ids::{DomainId, RackId, ServiceName, VmId};
use crate::kv::Rev;
use crate::units::Resources;
use crate::vm::{Departure, VmEntry, VmState};
use std::sync::Arc;
use std::time::Duration;

const KEY: &str = "vm/a";
const NOTICE: Duration = Duration::from_secs(5);

fn entry(state: VmState) -> VmEntry {
    VmEntry {
        id: VmId::new("a"),
        service: ServiceName::new("shop"),
        domain: DomainId::new("kacyiru"),
        rack: RackId::new("r0"),
        labels: Vec::new(),
        size: Resources::new(32_000, 128_000, 0),
        state,
        addr: Arc::from("10.1.0.1:80"),
        announced: Rev::ABSENT,
        announced_after: None,
    }
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn removal(now: Duration) -> Removal {
    let (read_up_to, announce_interval) = (Rev(100), ms(1500));
    Removal { now, read_up_to, reachable_since: Some(ms(0)), announce_interval }
}

/// A VM that announces at 10 s that it leaves in 5 s, and again until `last`.
fn leaving(last: Duration) -> LeavingVms {
    let mut vms = LeavingVms::default();
    let entry = entry(VmState::Leaving { left: Some(NOTICE) });
    for (rev, at) in (1..).zip((10_000..=15_000).step_by(1000).map(ms)) {
        if at <= last {
            vms.record(KEY, Rev(rev), &entry, Some(at), at + ms(400));
        }
    }
    vms
}

#[test]
fn a_vm_whose_announcement_ends_with_its_notice_has_left() {
    let now = ms(15_400);
    let departure = leaving(ms(15_000)).remove(KEY, removal(now));
    assert_eq!(departure, Some(Departure { vm: VmId::new("a"), at: now }));
}

// Guards against tasks started a second time while the VM that runs them is cut off: the store
// removes the announcement of a VM that is silent for three intervals.
#[test]
fn a_vm_that_may_have_been_removed_for_its_silence_counts_as_alive() {
    assert_eq!(leaving(ms(12_000)).remove(KEY, removal(ms(16_500))), None);
    assert_eq!(leaving(ms(12_000)).remove(KEY, removal(ms(15_000))), None);
}

// Guards against the same for announcements that expire while the store is away.
#[test]
fn a_vm_removed_around_an_outage_of_the_store_counts_as_alive() {
    let now = ms(15_400);
    let away = Removal { reachable_since: None, ..removal(now) };
    assert_eq!(leaving(ms(15_000)).remove(KEY, away), None);
    let regained = Removal { reachable_since: Some(ms(15_100)), ..removal(now) };
    assert_eq!(leaving(ms(15_000)).remove(KEY, regained), None);
}

// Guards against the same for a VM that stays although its announcement vanishes early.
#[test]
fn a_vm_whose_notice_is_not_over_counts_as_alive() {
    assert_eq!(leaving(ms(13_000)).remove(KEY, removal(ms(14_000))), None);
}

// Guards against the same for an announcement that was only read late: a read of the whole list
// doesn't tell when it was written, nor does a repeated one.
#[test]
fn a_vm_whose_last_announcement_is_of_unknown_age_counts_as_alive() {
    let mut vms = LeavingVms::default();
    let entry = entry(VmState::Leaving { left: Some(ms(1000)) });
    vms.record(KEY, Rev(1), &entry, None, ms(14_000));
    vms.record(KEY, Rev(1), &entry, Some(ms(14_400)), ms(14_800));
    assert_eq!(vms.remove(KEY, removal(ms(15_200))), None);
}

#[test]
fn a_vm_that_did_not_announce_its_leaving_counts_as_alive() {
    let mut vms = leaving(ms(15_000));
    vms.record(KEY, Rev(20), &entry(VmState::Ready), Some(ms(15_100)), ms(15_300));
    assert_eq!(vms.remove(KEY, removal(ms(15_400))), None);
}

// Guards against the same for a VM that was silent, and announced itself again between two pages of
// the list: the removal before that is told later.
#[test]
fn a_vm_that_announced_itself_after_its_removal_counts_as_alive() {
    let before_last = Removal { read_up_to: Rev(5), ..removal(ms(15_400)) };
    assert_eq!(leaving(ms(15_000)).remove(KEY, before_last), None);
}

#[test]
fn no_vm_is_known_to_have_left_if_the_announce_interval_is_unknown() {
    let unknown = Removal { announce_interval: ms(0), ..removal(ms(15_400)) };
    assert_eq!(leaving(ms(15_000)).remove(KEY, unknown), None);
}

// Guards against the same on a platform with frequent announcements: the store may tell of a change
// a second late, so that an announcement is older than it seems by more than an interval.
#[test]
fn a_delayed_watch_does_not_make_a_silent_vm_depart() {
    let (interval, delay) = (ms(400), ms(1000));
    let mut vms = LeavingVms::default();
    let entry = entry(VmState::Leaving { left: Some(ms(0)) });
    let written = ms(10_000);
    vms.record(KEY, Rev(1), &entry, Some(written + delay), written + delay);
    let expired = written + 3 * interval;
    let found = Removal { announce_interval: interval, ..removal(expired + delay / 2) };
    assert_eq!(vms.remove(KEY, found), None);
}

// Guards against tasks started a second time: the notice of an ended instance was taken for that of
// the next one under the same key, which still runs.
#[test]
fn the_notice_of_an_earlier_instance_does_not_count_for_the_next_one() {
    let leaving = |started| VmEntry {
        id: VmId::with_start("a", started),
        ..entry(VmState::Leaving { left: Some(NOTICE) })
    };
    let mut vms = LeavingVms::default();
    vms.record(KEY, Rev(1), &leaving(1), Some(ms(10_000)), ms(10_400));
    vms.record(KEY, Rev(2), &leaving(2), Some(ms(14_800)), ms(15_200));
    assert_eq!(vms.remove(KEY, removal(ms(15_400))), None);
    vms.record(KEY, Rev(2), &leaving(2), Some(ms(14_800)), ms(15_200));
    vms.record(KEY, Rev(3), &leaving(2), Some(ms(19_700)), ms(20_000));
    let departure = vms.remove(KEY, removal(ms(20_100)));
    let vm = VmId::with_start("a", 2);
    assert_eq!(departure, Some(Departure { vm, at: ms(20_100) }));
}
