use super::{SilenceMark, SilenceRecord, SilentUntil, SilentVm};
use crate::ids::VmId;
use crate::job::progress::{decode, encode};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// An entry as stored by earlier releases.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct EarlierEntry {
    vm: VmId,
    mark: SilenceMark,
}

fn vm() -> VmId {
    VmId::new("i-1")
}

fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn stored(mark: SilenceMark, left: Option<Duration>) -> SilentVm {
    SilentVm { vm: vm(), mark, left }
}

/// The VM is to be recorded, and its runs have ended by `end`.
fn silent_until(end: Duration) -> Vec<SilentUntil> {
    vec![SilentUntil { vm: vm(), runs_end: end }]
}

// A VM answers, is extended once its record has been removed, and falls silent while the removal is
// in flight. Guards against a report on its first silence that counts for the second.
#[test]
fn a_vm_that_falls_silent_while_its_record_is_removed_gets_a_new_mark() {
    let (first, second) = (SilenceMark(3), SilenceMark(5));
    let (now, end) = (seconds(1), seconds(9));
    let mut record = SilenceRecord::new(vec![stored(first, Some(seconds(5)))], now);
    record.update_wanted(Vec::new(), SilenceMark(4), now);
    assert_eq!(record.start_write(now), []);
    record.update_wanted(silent_until(end), second, now);
    record.write_done();
    assert!(record.may_extend_lease(&vm()));
    assert_eq!(record.start_write(now), [stored(second, Some(end - now))]);
    record.write_done();
    assert_eq!(record.mark(&vm()), Some(second));
}

// Guards against a mark that changes while the lease can't be extended: reports of the silence
// would count no more, and the work of a dead VM would wait for its whole lease again.
#[test]
fn a_vm_keeps_its_mark_while_it_is_in_the_record_being_written() {
    let first = SilenceMark(3);
    let (now, end) = (seconds(1), seconds(9));
    let mut record = SilenceRecord::default();
    record.update_wanted(silent_until(end), first, now);
    record.start_write(now);
    record.update_wanted(Vec::new(), SilenceMark(4), now);
    record.update_wanted(silent_until(end), SilenceMark(5), now);
    record.write_done();
    assert_eq!(record.mark(&vm()), Some(first));
    assert!(!record.needs_write());
}

// Guards against a new owner that goes on for its predecessor's whole time in the record: each
// change of owners would add to the wait.
#[test]
fn a_record_is_written_again_while_work_is_left() {
    let mark = SilenceMark(3);
    let mut record = SilenceRecord::new(vec![stored(mark, Some(seconds(6)))], seconds(1));
    record.update_wanted(silent_until(seconds(7)), SilenceMark(9), seconds(1));
    assert!(!record.needs_write(), "it is as recent as the claim");
    record.update_wanted(silent_until(seconds(7)), SilenceMark(9), seconds(3));
    assert!(record.needs_write());
    assert_eq!(record.start_write(seconds(3)), [stored(mark, Some(seconds(4)))]);
    record.write_done();
    record.update_wanted(silent_until(seconds(7)), SilenceMark(9), seconds(8));
    assert!(!record.needs_write(), "no work is left");
}

// Guards against work that runs twice: orders for an earlier instance keep runs on a recorded VM for
// longer than the record tells.
#[test]
fn a_time_that_grows_is_written_at_once() {
    let mark = SilenceMark(3);
    let now = seconds(1);
    let mut record = SilenceRecord::new(vec![stored(mark, Some(seconds(6)))], now);
    record.update_wanted(silent_until(seconds(9)), SilenceMark(9), now);
    assert!(record.needs_write());
    assert_eq!(record.start_write(now), [stored(mark, Some(seconds(8)))]);
}

// Guards against a time that stays unknown after an upgrade.
#[test]
fn an_entry_without_a_time_is_written_at_once() {
    let mark = SilenceMark(3);
    let now = seconds(1);
    let mut record = SilenceRecord::new(vec![stored(mark, None)], now);
    record.update_wanted(silent_until(seconds(9)), SilenceMark(9), now);
    assert!(record.needs_write());
}

// Guards against a shard that can't be claimed during an upgrade or a rollback.
#[test]
fn records_are_read_across_releases() {
    let mark = SilenceMark(3);
    let earlier = encode(&vec![EarlierEntry { vm: vm(), mark }]);
    assert_eq!(SilentVm::decode_all(&earlier).expect("a record"), [stored(mark, None)]);
    let record = SilentVm::encode_all(&[stored(mark, Some(seconds(4))), stored(mark, None)]);
    let read = SilentVm::decode_all(&record).expect("a record");
    assert_eq!(read, [stored(mark, Some(seconds(4))), stored(mark, None)]);
    let by_earlier: Vec<EarlierEntry> = decode(&record).expect("a record");
    let entry = || EarlierEntry { vm: vm(), mark };
    assert_eq!(by_earlier, [entry(), entry()]);
}
