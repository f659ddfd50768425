use super::VmId;

// A restart under the same registered id is another instance; everything else goes by the
// registered id.
#[test]
fn an_instance_has_a_registered_id_and_a_start() {
    let (first, second) = (VmId::with_start("i-1", 7), VmId::with_start("i-1", 8));
    assert_eq!((first.as_str(), first.registered(), first.started()), ("i-1@7", "i-1", Some(7)));
    assert_ne!(first, second);
    assert!(first.is_same_vm(&second));
    assert!(!first.is_same_vm(&VmId::with_start("i-2", 7)));
}

// Guards against a registered id that is cut short since it looks like one with a start time.
#[test]
fn an_id_without_start_keeps_its_registered_id() {
    for registered in ["i-1", "i@1", "i@", "@", "i@b", "i@1@2", "i@99999999999999999999999"] {
        for id in [VmId::without_start(registered), VmId::with_start(registered, 3)] {
            assert_eq!(id.registered(), registered, "{id}");
        }
        assert_eq!(VmId::without_start(registered).started(), None);
    }
    assert_eq!(VmId::without_start("i-1").as_str(), "i-1");
}

// Records of an earlier version name VMs by their registered ids alone.
#[test]
fn an_instance_is_read_back_as_it_was_written() {
    for id in [VmId::with_start("i-1", 7), VmId::without_start("i-1")] {
        let text = serde_json::to_string(&id).expect("a string");
        assert_eq!(serde_json::from_str::<VmId>(&text).expect("an id"), id);
    }
    assert_eq!(serde_json::from_str::<VmId>("\"i-1\"").expect("an id"), VmId::without_start("i-1"));
}
