use super::{Movable, Plan, plan_on};
use crate::ids::VmId;
use crate::job::{JobId, RunNumber, TaskRef};
use crate::shard::vm_run::RunKey;
use crate::units::Resources;

fn size(milli_cores: u32) -> Resources {
    Resources::new(milli_cores, milli_cores, 0)
}

fn movable(index: u32, milli_cores: u32) -> Movable {
    let task = TaskRef { job: JobId(1), occurrence: 0, step: 0, index };
    Movable { key: RunKey { task, run: RunNumber(1) }, size: size(milli_cores) }
}

/// The plan for a task on the first of these VMs, by what lasting tasks leave on each.
fn plan(wanted: u32, left: &[u32], there: &[u32]) -> Option<Plan> {
    let vms: Vec<VmId> = (0..left.len()).map(|index| VmId::new(&format!("i-{index}"))).collect();
    let pieces: Vec<(&VmId, Resources)> =
        vms.iter().zip(left).map(|(vm, left)| (vm, size(*left))).collect();
    let movable: Vec<Movable> =
        (0..).zip(there).map(|(index, cores)| movable(index, *cores)).collect();
    plan_on(&vms[0], size(wanted), pieces[0].1, &movable, &pieces)
}

fn targets(plan: &Plan) -> Vec<(u32, &str)> {
    plan.moved.iter().map(|(movable, vm)| (movable.size.milli_cores.0, vm.as_str())).collect()
}

// A task waited for as long as all others ran, beside pieces that together were several times its size.
#[test]
fn the_least_that_makes_room_moves_to_the_fullest_vm() {
    let plan = plan(9000, &[4000, 7000, 6000], &[8000, 6000, 5000]).unwrap();
    assert_eq!(targets(&plan), [(5000, "i-2")]);
}

// Two tasks that move to one VM would not both fit there.
#[test]
fn each_task_moves_to_a_vm_of_its_own() {
    let two = plan(9000, &[4000, 3000, 2000], &[2000, 3000]).unwrap();
    assert_eq!(targets(&two), [(2000, "i-2"), (3000, "i-1")]);
    assert!(plan(9000, &[4000, 5000, 1000], &[2000, 3000]).is_none());
}

// As much would stand still as before.
#[test]
fn nothing_moves_for_a_task_that_is_not_larger() {
    assert!(plan(5000, &[0, 3000, 3000], &[2000, 3000]).is_none());
}
