use super::{LeavingVms, Proof, Removal};
use crate::ids::{DomainId, RackId, ServiceName, VmId};
use crate::kv::Rev;
use crate::revisions::RevisionTimes;
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
    let (rev, announce_interval) = (Rev(100), ms(1500));
    Removal { now, rev, removed_by: rev, reachable_since: Some(ms(0)), announce_interval }
}

/// Announcements that are each read within a moment of being written.
#[derive(Debug, Default)]
struct Vms {
    vms: LeavingVms,
    times: RevisionTimes,
}

impl Vms {
    /// A VM that announces at 10 s that it leaves in 5 s, and again each second until `last`.
    fn leaving(last: Duration) -> Self {
        let mut vms = Self::default();
        for (number, at) in (1..).zip((10_000..=15_000).step_by(1000).map(ms)) {
            if at <= last {
                let left = Some(ms(15_000) - at);
                vms.announce(Rev(2 * number), &entry(VmState::Leaving { left }), at);
            }
        }
        vms
    }

    /// Records an announcement that is known to be written after this time.
    fn announce(&mut self, rev: Rev, entry: &VmEntry, written_after: Duration) {
        self.times.record(written_after, written_after + ms(4), Rev(rev.0 - 1));
        self.record(rev, entry);
    }

    fn record(&mut self, rev: Rev, entry: &VmEntry) {
        self.vms.record(KEY, rev, entry, &self.times);
    }

    fn remove(&mut self, removal: Removal) -> Option<Proof> {
        Some(self.vms.remove(KEY, removal, &self.times)?.proof)
    }
}

#[test]
fn a_vm_whose_announcement_ends_with_its_notice_has_left() {
    let now = ms(15_400);
    let Vms { mut vms, times } = Vms::leaving(ms(15_000));
    let finding = vms.remove(KEY, removal(now), &times).expect("the VM is known");
    assert_eq!(finding.departure(), Some(Departure { vm: VmId::new("a"), at: now }));
}

// Guards against tasks started a second time while the VM that runs them is cut off: the store
// removes the announcement of a VM that is silent for three intervals.
#[test]
fn a_vm_that_may_have_been_removed_for_its_silence_counts_as_alive() {
    for now in [16_500, 15_000] {
        let proof = Vms::leaving(ms(12_000)).remove(removal(ms(now)));
        assert_eq!(proof, Some(Proof::Silent), "found at {now} ms");
    }
}

// Guards against the same for announcements that expire while the store is away.
#[test]
fn a_vm_removed_around_an_outage_of_the_store_counts_as_alive() {
    let now = ms(15_400);
    for reachable_since in [None, Some(ms(15_100))] {
        let removal = Removal { reachable_since, ..removal(now) };
        let proof = Vms::leaving(ms(15_000)).remove(removal);
        assert_eq!(proof, Some(Proof::StoreUnreachable), "{reachable_since:?}");
    }
}

// Guards against the same for a VM that stays although its announcement vanishes early.
#[test]
fn a_vm_whose_notice_is_not_over_counts_as_alive() {
    let proof = Vms::leaving(ms(13_000)).remove(removal(ms(14_000)));
    assert_eq!(proof, Some(Proof::NoticeNotOver));
}

// Guards against the same if it is found after the end of the notice.
#[test]
fn a_removal_is_judged_by_its_own_time() {
    let mut vms = Vms::leaving(ms(14_000));
    vms.times.record(ms(14_500), ms(14_600), Rev(100));
    assert_eq!(vms.remove(removal(ms(15_400))), Some(Proof::NoticeNotOver));
}

// Guards against the same for an announcement that was only read late: a read of the whole list
// doesn't tell when it was written, nor does a repeated one.
#[test]
fn a_vm_whose_last_announcement_is_of_unknown_age_counts_as_alive() {
    let mut vms = Vms::default();
    let entry = entry(VmState::Leaving { left: Some(ms(1000)) });
    vms.record(Rev(1), &entry);
    vms.times.record(ms(14_000), ms(14_004), Rev(1));
    vms.record(Rev(1), &entry);
    vms.times.record(ms(14_400), ms(14_800), Rev(1));
    vms.record(Rev(1), &entry);
    assert_eq!(vms.remove(removal(ms(15_200))), Some(Proof::UnknownAge));
}

#[test]
fn a_vm_that_did_not_announce_its_leaving_counts_as_alive() {
    let mut vms = Vms::leaving(ms(15_000));
    vms.announce(Rev(20), &entry(VmState::Ready), ms(15_100));
    assert_eq!(vms.remove(removal(ms(15_400))), None);
}

// Guards against the same for a VM that was silent, and announced itself again between two pages of
// the list: the removal before that is told later.
#[test]
fn a_vm_that_announced_itself_after_its_removal_counts_as_alive() {
    let before_last = Removal { rev: Rev(11), ..removal(ms(15_400)) };
    assert_eq!(Vms::leaving(ms(15_000)).remove(before_last), None);
}

// Guards against owners that wait for the lease because an earlier removal, or an old list, made them
// forget the notice.
#[test]
fn a_removal_before_the_last_announcement_does_not_end_the_notice() {
    let mut vms = Vms::leaving(ms(15_000));
    assert_eq!(vms.remove(Removal { rev: Rev(11), ..removal(ms(15_100)) }), None);
    vms.record(Rev(8), &entry(VmState::Ready));
    assert_eq!(vms.remove(removal(ms(15_400))), Some(Proof::Departed));
}

// Guards against a notice that seems longer than it is because it was read late: the removal at its
// end was taken for one before it.
#[test]
fn a_notice_is_counted_from_its_announcement() {
    let mut vms = Vms::default();
    let leaving = |left| entry(VmState::Leaving { left: Some(ms(left)) });
    for (rev, asked) in [(1, 10_000), (3, 11_500), (5, 13_000), (7, 14_600)] {
        vms.times.record(ms(asked), ms(asked + 4), Rev(rev));
    }
    vms.record(Rev(2), &leaving(4500));
    vms.record(Rev(6), &leaving(1900));
    assert_eq!(vms.remove(removal(ms(15_100))), Some(Proof::Departed));
}

// Guards against a departure that isn't proved because its removal was read late.
#[test]
fn a_removal_that_is_found_late_is_judged_by_when_it_happened() {
    let mut vms = Vms::leaving(ms(15_000));
    vms.times.record(ms(15_400), ms(15_500), Rev(100));
    assert_eq!(vms.remove(removal(ms(20_000))), Some(Proof::Departed));
    let proof = Vms::leaving(ms(15_000)).remove(removal(ms(20_000)));
    assert_eq!(proof, Some(Proof::Silent));
}

#[test]
fn no_vm_is_known_to_have_left_if_the_announce_interval_is_unknown() {
    let unknown = Removal { announce_interval: ms(0), ..removal(ms(15_400)) };
    assert_eq!(Vms::leaving(ms(15_000)).remove(unknown), Some(Proof::Silent));
}

// Guards against the same on a platform with frequent announcements: the store may tell of a change
// a second late, so that an announcement is older than it seems by more than an interval.
#[test]
fn a_delayed_watch_does_not_make_a_silent_vm_depart() {
    let (interval, delay) = (ms(400), ms(1000));
    let mut vms = Vms::default();
    let written = ms(10_000);
    vms.announce(Rev(2), &entry(VmState::Leaving { left: Some(ms(0)) }), written + delay);
    let expired = written + 3 * interval;
    let found = Removal { announce_interval: interval, ..removal(expired + delay / 2) };
    assert_eq!(vms.remove(found), Some(Proof::Silent));
}

// Guards against tasks started a second time: the notice of an ended instance was taken for that of
// the next one under the same key, which still runs.
#[test]
fn the_notice_of_an_earlier_instance_does_not_count_for_the_next_one() {
    let leaving = |started, left| VmEntry {
        id: VmId::with_start("a", started),
        ..entry(VmState::Leaving { left: Some(left) })
    };
    let mut vms = Vms::default();
    vms.announce(Rev(2), &leaving(1, NOTICE), ms(10_000));
    vms.announce(Rev(4), &leaving(2, NOTICE), ms(14_800));
    assert_eq!(vms.remove(removal(ms(15_400))), Some(Proof::NoticeNotOver));
    vms.record(Rev(4), &leaving(2, NOTICE));
    vms.announce(Rev(6), &leaving(2, ms(100)), ms(19_700));
    let now = ms(20_100);
    let finding = vms.vms.remove(KEY, removal(now), &vms.times).expect("the VM is known");
    let vm = VmId::with_start("a", 2);
    assert_eq!(finding.departure(), Some(Departure { vm, at: now }));
}

// Guards against daemons that end since a VM announces a notice longer than any clock can hold.
#[test]
fn a_vm_whose_notice_has_no_end_counts_as_alive() {
    let mut vms = Vms::default();
    let left = Some(Duration::MAX);
    vms.announce(Rev(10), &entry(VmState::Leaving { left }), ms(10_000));
    assert_eq!(vms.remove(removal(ms(10_400))), Some(Proof::NoticeNotOver));
}
