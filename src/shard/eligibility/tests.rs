use super::Requirements;
use crate::ids::{RackId, ServiceName, VmId};
use crate::job::{JobId, Label, Life, Step, StepRef};
use crate::shard::event::FreeRoom;
use crate::shard::interference::{ImageIx, InterferenceModel};
use crate::shard::room::{Hold, VmCapacity};
use crate::units::Resources;
use std::sync::Arc;
use std::time::Duration;

const SIZE: Resources = Resources::new(16_000, 64_000, 0);
const KEY: StepRef = StepRef { job: JobId(1), occurrence: 0, step: 0 };
const OTHER_KEY: StepRef = StepRef { job: JobId(2), ..KEY };

fn step() -> Step {
    Step {
        label: Some(Label::new("ssd")),
        per_vm: 1,
        ..Step::new(3, Resources::new(4000, 8000, 0), Duration::from_secs(1))
    }
}

/// A VM that may run a task of [`step`].
fn vm() -> VmCapacity {
    let (rack, service) = (RackId::new("r0"), ServiceName::new("shop"));
    let mut vm = VmCapacity::empty(VmId::new("vm"), Arc::from("vm"), rack, service, SIZE);
    vm.labels = vec![Label::new("hdd"), Label::new("ssd")];
    vm
}

/// Whether the VM is of a kind that may run a task of `step`, and whether it may run one now.
fn verdicts(vm: &VmCapacity, step: &Step) -> (bool, bool) {
    let service = ServiceName::new("shop");
    let task = Requirements { service: &service, step, key: KEY };
    assert_eq!(vm.may_run(&task), vm.fitting(&task) > 0);
    (vm.suits(&task), vm.may_run(&task))
}

fn run(vm: &mut VmCapacity, key: StepRef, size: Resources) {
    let step = Step::new(1, size, Duration::from_secs(1));
    vm.take(&step, ImageIx::default(), key, &InterferenceModel::default());
}

// Guards against VMs that count as room for a task that they may not run.
#[test]
fn each_condition_rules_a_vm_out() {
    const SMALL: Resources = Resources::new(1000, 1000, 0);
    const LARGE: Resources = Resources::new(13_000, 1000, 0);
    type Change = fn(&mut VmCapacity);
    let cases: [(&str, Change, (bool, bool)); 9] = [
        ("empty", |_| {}, (true, true)),
        ("another service", |vm| vm.service = ServiceName::new("desk"), (false, false)),
        ("no label", |vm| vm.labels.truncate(1), (false, false)),
        ("at the limit", |vm| run(vm, KEY, SMALL), (true, false)),
        ("task of another step", |vm| run(vm, OTHER_KEY, SMALL), (true, true)),
        ("full", |vm| run(vm, OTHER_KEY, LARGE), (true, false)),
        ("reserved", |vm| vm.is_reserved = true, (true, false)),
        ("held for a long-running task", |vm| vm.hold = Hold::Held, (true, false)),
        ("held for too long", |vm| vm.hold = Hold::Overdue, (true, false)),
    ];
    for (name, change, expected) in cases {
        let mut vm = vm();
        change(&mut vm);
        assert_eq!(verdicts(&vm, &step()), expected, "{name}");
    }
}

// Guards against a long-running task that doesn't get the VM which is held for such tasks.
#[test]
fn a_held_vm_takes_long_running_tasks() {
    let mut vm = vm();
    vm.hold = Hold::Held;
    let step = Step { life: Life::Lasting, ..step() };
    assert_eq!(verdicts(&vm, &step), (true, true));
}

// Guards against stalled jobs that wait for as long as a hold doesn't come true, and against holds
// that never do as every stalled job starts there.
#[test]
fn stalled_jobs_start_on_a_vm_whose_hold_is_overdue() {
    let (service, step) = (ServiceName::new("shop"), step());
    let task = Requirements { service: &service, step: &step, key: KEY };
    for (hold, expected) in [(Hold::None, true), (Hold::Held, false), (Hold::Overdue, true)] {
        let mut room = vm();
        room.hold = hold;
        assert_eq!(room.may_run_stalled(&task), expected, "{hold:?}");
    }
    let mut reserved = vm();
    reserved.is_reserved = true;
    assert!(!reserved.may_run_stalled(&task));
}

// Guards against VMs that are held for a long-running task that may never run there.
#[test]
fn room_after_finite_tasks_must_suit_the_step() {
    const SMALL: Resources = Resources::new(1000, 1000, 0);
    const LARGE: Resources = Resources::new(13_000, 1000, 0);
    type Change = fn(&mut VmCapacity);
    let cases: [(&str, Change, bool); 6] = [
        ("empty", |_| {}, true),
        ("full of finite tasks", |vm| run(vm, OTHER_KEY, LARGE), true),
        ("another service", |vm| vm.service = ServiceName::new("desk"), false),
        ("no label", |vm| vm.labels.truncate(1), false),
        ("at the limit", |vm| run(vm, KEY, SMALL), false),
        ("reserved", |vm| vm.is_reserved = true, false),
    ];
    for (name, change, expected) in cases {
        let (mut vm, service, step) = (vm(), ServiceName::new("shop"), step());
        change(&mut vm);
        let task = Requirements { service: &service, step: &step, key: KEY };
        assert_eq!(vm.may_run_without_finite(&task), expected, "{name}");
    }
}

// Guards against tasks that are lent to a shard for VMs that may not run them.
#[test]
fn room_in_another_shard_must_suit_the_step() {
    let (shop, desk) = (ServiceName::new("shop"), ServiceName::new("desk"));
    let room = |free: Resources, label: &str| FreeRoom {
        free,
        rack: RackId::new("r0"),
        labels: vec![Label::new(label)],
        service: shop.clone(),
    };
    let verdicts =
        |room: FreeRoom, service| (room.suits(&step(), service), room.takes(&step(), service));
    assert_eq!(verdicts(room(SIZE, "ssd"), &shop), (true, true));
    assert_eq!(verdicts(room(Resources::ZERO, "ssd"), &shop), (true, false));
    assert_eq!(verdicts(room(SIZE, "hdd"), &shop), (false, false));
    assert_eq!(verdicts(room(SIZE, "ssd"), &desk), (false, false));
}

// Guards against requests for permits on VMs that are counted for more tasks than they may run.
#[test]
fn the_limit_counts_tasks_that_run_already() {
    const SMALL: Resources = Resources::new(1000, 1000, 0);
    let fitting = |limit, running| {
        let mut vm = vm();
        (0..running).for_each(|_| run(&mut vm, KEY, SMALL));
        let (service, step) = (ServiceName::new("shop"), Step { per_vm: limit, ..step() });
        vm.fitting(&Requirements { service: &service, step: &step, key: KEY })
    };
    assert_eq!(fitting(0, 1), 3, "no limit");
    assert_eq!(fitting(3, 1), 2);
    assert_eq!(fitting(2, 3), 0);
}
