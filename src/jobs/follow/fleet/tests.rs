use super::{Fleet, MAX_UNREADABLE, Novelty};
use crate::ids::{DomainId, RackId, ServiceName, VmId};
use crate::jobs::Unreadable;
use crate::kv::{Item, Rev};
use crate::units::Resources;
use crate::vm::{VmEntry, VmState};
use bytes::Bytes;
use std::sync::Arc;

fn item(key: &str) -> Item {
    Item { key: key.to_owned(), value: Bytes::new(), rev: Rev(7) }
}

fn vm(name: &str) -> VmEntry {
    VmEntry {
        id: VmId::new(name),
        service: ServiceName::new("shop"),
        domain: DomainId::new("kacyiru"),
        rack: RackId::new("r0"),
        labels: Vec::new(),
        size: Resources::new(32_000, 128_000, 0),
        state: VmState::Ready,
        addr: Arc::from("10.1.0.1:80"),
    }
}

fn unreadable(key: &str) -> Unreadable {
    Unreadable { key: key.to_owned(), reason: "no text".to_owned() }
}

// Another writer puts an entry where a VM was announced, again and again. The VM is not to be used, the
// others stay, and operators find one line in the log, not one a second. When the VM announces itself
// again it is used like a new one.
#[test]
fn an_entry_that_cannot_be_read_names_no_vm_and_the_others_hold() {
    let mut fleet = Fleet::default();
    assert_eq!(fleet.take(&item("vm/a"), Ok(vm("a"))).0, Novelty::New);
    assert_eq!(fleet.take(&item("vm/b"), Ok(vm("b"))).0, Novelty::New);
    let lines: Vec<bool> =
        (0..5).map(|_| fleet.take(&item("vm/a"), Err(unreadable("vm/a"))).1.is_some()).collect();
    assert_eq!(lines, [true, false, false, false, false]);
    assert_eq!(fleet.vms.keys().collect::<Vec<_>>(), ["vm/b"]);
    assert_eq!(fleet.take(&item("vm/a"), Ok(vm("a"))).0, Novelty::New);
}

// What is remembered of unreadable entries is bounded, however many are written.
#[test]
fn what_is_remembered_of_unreadable_entries_is_bounded() {
    let mut fleet = Fleet::default();
    for number in 0..2 * MAX_UNREADABLE {
        let key = format!("vm/{number}");
        fleet.take(&item(&key), Err(unreadable(&key)));
    }
    assert_eq!(fleet.unreadable.len(), MAX_UNREADABLE);
}
