use super::{MovableTask, MovePlan, plan_for_vm};
use crate::ids::VmId;
use crate::job::{JobId, RunNumber, TaskRef};
use crate::shard::vm_run::RunKey;
use crate::units::Resources;

fn size(milli_cores: u32) -> Resources {
    Resources::new(milli_cores, milli_cores, 0)
}

fn movable(index: u32, milli_cores: u32) -> MovableTask {
    let task = TaskRef { job: JobId(1), occurrence: 0, step: 0, index };
    MovableTask { key: RunKey { task, run: RunNumber(1) }, size: size(milli_cores) }
}

/// Plans room on the first VM for a task of `wanted` milli-cores. `left` is what long-running tasks
/// leave free on each VM, and `there` the sizes of those on the first VM.
fn plan(wanted: u32, left: &[u32], there: &[u32]) -> Option<MovePlan> {
    let vms: Vec<VmId> = (0..left.len()).map(|index| VmId::new(&format!("i-{index}"))).collect();
    let free_by_vm: Vec<(&VmId, Resources)> =
        vms.iter().zip(left).map(|(vm, left)| (vm, size(*left))).collect();
    let movable: Vec<MovableTask> =
        (0..).zip(there).map(|(index, cores)| movable(index, *cores)).collect();
    plan_for_vm(&vms[0], size(wanted), free_by_vm[0].1, &movable, &free_by_vm)
}

fn targets(plan: &MovePlan) -> Vec<(u32, &str)> {
    plan.moved.iter().map(|(movable, vm)| (movable.size.milli_cores.0, vm.as_str())).collect()
}

// Guards against fragmentation: a task waited until other tasks ended, although the free resources
// of all VMs together were several times its size.
#[test]
fn the_smallest_sufficient_task_moves_to_the_fullest_vm() {
    let plan = plan(9000, &[4000, 7000, 6000], &[8000, 6000, 5000]).unwrap();
    assert_eq!(targets(&plan), [(5000, "i-2")]);
}

// Two tasks that move to the same VM might not both fit there.
#[test]
fn each_task_moves_to_a_separate_vm() {
    let two = plan(9000, &[4000, 3000, 2000], &[2000, 3000]).unwrap();
    assert_eq!(targets(&two), [(2000, "i-2"), (3000, "i-1")]);
    assert!(plan(9000, &[4000, 5000, 1000], &[2000, 3000]).is_none());
}

// Such a move would interrupt as much work as it lets start.
#[test]
fn nothing_moves_for_a_task_that_is_not_larger() {
    assert!(plan(5000, &[0, 3000, 3000], &[2000, 3000]).is_none());
}
