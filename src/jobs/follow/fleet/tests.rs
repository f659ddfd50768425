use super::{Fleet, MAX_UNREADABLE, Novelty};
use crate::ids::{DomainId, RackId, ServiceName, VmId};
use crate::jobs::UnreadableEntry;
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
        announced: Rev::ABSENT,
        announced_after: None,
    }
}

fn unreadable(key: &str) -> UnreadableEntry {
    UnreadableEntry { key: key.to_owned(), reason: "not UTF-8".to_owned() }
}

// Another writer repeatedly overwrites a VM's announcement with an entry that can't be decoded.
// That VM must not be used, the others stay, and the fault is logged once rather than on every
// write. When the VM announces itself again, it is treated as new.
#[test]
fn an_unreadable_entry_removes_only_its_own_vm() {
    let mut fleet = Fleet::default();
    assert_eq!(fleet.apply(&item("vm/a"), Ok(vm("a"))).0, Novelty::New);
    assert_eq!(fleet.apply(&item("vm/b"), Ok(vm("b"))).0, Novelty::New);
    let lines: Vec<bool> =
        (0..5).map(|_| fleet.apply(&item("vm/a"), Err(unreadable("vm/a"))).1.is_some()).collect();
    assert_eq!(lines, [true, false, false, false, false]);
    assert_eq!(fleet.vms.keys().collect::<Vec<_>>(), ["vm/b"]);
    assert_eq!(fleet.apply(&item("vm/a"), Ok(vm("a"))).0, Novelty::New);
}

// Guards against unbounded memory use when many unreadable entries are written.
#[test]
fn remembered_unreadable_keys_are_bounded() {
    let mut fleet = Fleet::default();
    for number in 0..2 * MAX_UNREADABLE {
        let key = format!("vm/{number}");
        fleet.apply(&item(&key), Err(unreadable(&key)));
    }
    assert_eq!(fleet.unreadable.len(), MAX_UNREADABLE);
}

// A key holds one instance of a VM: the entry of the next one takes the place of the earlier one, and
// an unreadable entry of another writer takes away whichever is there and no other VM.
#[test]
fn instances_share_the_key_of_their_registered_id() {
    let instance = |started| VmEntry { id: VmId::with_start("a", started), ..vm("a") };
    let listed =
        |fleet: &Fleet| -> Vec<String> { fleet.vms.values().map(|vm| vm.id.to_string()).collect() };
    let mut fleet = Fleet::default();
    fleet.apply(&item("vm/b"), Ok(vm("b")));
    for started in [1, 2, 1] {
        fleet.apply(&item("vm/a"), Ok(instance(started)));
        assert_eq!(listed(&fleet), ["b".to_owned(), format!("a@{started}")]);
    }
    fleet.apply(&item("vm/a"), Err(unreadable("vm/a")));
    assert_eq!(listed(&fleet), ["b"]);
}
