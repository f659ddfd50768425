use super::{SilenceMark, SilenceRecord, SilentVm};
use crate::ids::VmId;

// A VM answers, is extended once its record has been removed, and falls silent while the removal is
// in flight. Guards against a report on its first silence that counts for the second.
#[test]
fn a_vm_that_falls_silent_while_its_record_is_removed_gets_a_new_mark() {
    let vm = VmId::new("i-1");
    let (first, second) = (SilenceMark(3), SilenceMark(5));
    let mut record = SilenceRecord::new(vec![SilentVm { vm: vm.clone(), mark: first }]);
    record.update_wanted(&[], SilenceMark(4));
    assert_eq!(record.start_write(), []);
    record.update_wanted(std::slice::from_ref(&vm), second);
    record.write_done();
    assert!(record.may_extend_lease(&vm));
    assert_eq!(record.start_write(), [SilentVm { vm: vm.clone(), mark: second }]);
    record.write_done();
    assert_eq!(record.mark(&vm), Some(second));
}

// Guards against a mark that changes while the lease can't be extended: reports of the silence
// would count no more, and the work of a dead VM would wait for its whole lease again.
#[test]
fn a_vm_keeps_its_mark_while_it_is_in_the_record_being_written() {
    let vm = VmId::new("i-1");
    let first = SilenceMark(3);
    let mut record = SilenceRecord::default();
    record.update_wanted(std::slice::from_ref(&vm), first);
    record.start_write();
    record.update_wanted(&[], SilenceMark(4));
    record.update_wanted(std::slice::from_ref(&vm), SilenceMark(5));
    record.write_done();
    assert_eq!(record.mark(&vm), Some(first));
    assert!(!record.needs_write());
}
