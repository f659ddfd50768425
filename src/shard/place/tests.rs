use super::long_running_cost;
use crate::ids::{RackId, ServiceName, VmId};
use crate::job::{Image, JobId, Life, Step, TaskRef};
use crate::shard::interference::{ImageIx, InterferenceModel};
use crate::shard::room::VmCapacity;
use crate::units::Resources;
use std::sync::Arc;
use std::time::Duration;

const SIZE: Resources = Resources::new(32_000, 128_000, 0);

fn long_running() -> Step {
    Step {
        life: Life::Lasting,
        tail_target: Some(Duration::from_millis(18)),
        ..Step::new(6, Resources::new(6400, 13_000, 0), Duration::ZERO)
    }
}

fn room(name: &str) -> VmCapacity {
    VmCapacity::empty(
        VmId::new(name),
        Arc::from(name),
        RackId::new("r0"),
        ServiceName::new("shop"),
        SIZE,
    )
}

fn images(interference: &mut InterferenceModel) -> [ImageIx; 2] {
    ["a", "b"].map(|name| interference.number(&Image::new(name)))
}

// Long-running tasks of two images arrive alternately on four VMs. Each image must fill one VM,
// leaving two VMs free for work that disturbs both images and for work that must start immediately.
#[test]
fn lasting_tasks_of_each_image_fill_one_vm_at_a_time() {
    let mut interference = InterferenceModel::default();
    let [a, b] = images(&mut interference);
    let mut rooms = ["vm-0", "vm-1", "vm-2", "vm-3"].map(room);
    let step = long_running();
    for number in 0..10 {
        let image = if number % 2 == 0 { a } else { b };
        let task = TaskRef { job: JobId(number), ..TaskRef::default() }.step_ref();
        let fitting = rooms.iter_mut().filter(|room| room.takes(&step, task));
        let cost = |room: &VmCapacity| long_running_cost(room, &step, image);
        let best = fitting.min_by(|x, y| cost(x).total_cmp(&cost(y))).expect("there is room");
        best.take(&step, image, task, &interference);
    }
    let there: Vec<(usize, usize)> = rooms.iter().map(|room| room.serving_by_image(a)).collect();
    assert_eq!(there, [(5, 0), (0, 5), (0, 0), (0, 0)]);
}
