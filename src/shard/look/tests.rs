use super::{MEASUREMENT_WINDOW, alone_since};
use crate::ids::{DomainId, RackId, ServiceName, VmId};
use crate::job::{JobId, RunNumber, Share, TaskRef};
use crate::kv::Rev;
use crate::shard::vm_run::{Run, RunKey, Stage, Vm};
use crate::units::Resources;
use crate::vm::{PollResp, RunningTask, VmEntry, VmState, VmTime};
use std::sync::Arc;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(20);

fn task() -> TaskRef {
    TaskRef { job: JobId(1), ..TaskRef::default() }
}

/// A VM with a leftover run at this pace.
fn vm(pace: u8) -> Vm {
    let entry = VmEntry {
        id: VmId::new("i-1"),
        service: ServiceName::new("shop"),
        domain: DomainId::new("kacyiru"),
        rack: RackId::new("r1"),
        labels: Vec::new(),
        size: Resources::new(16_000, 64_000, 0),
        state: VmState::Ready,
        addr: Arc::from("10.0.0.1:80"),
        announced: Rev(1),
        announced_after: None,
    };
    let mut vm = Vm::new(entry, Duration::ZERO, Duration::ZERO);
    let mut run = Run::binding(Resources::ZERO, 2000, Share::Leftover, Duration::ZERO);
    (run.stage, run.pace) = (Stage::Running, pace);
    vm.runs.insert(RunKey { task: task(), run: RunNumber(1) }, run);
    vm
}

/// A response that lists the run with this usage.
fn listing(milli_cores: u32) -> PollResp {
    let (task, run, checkpoint) = (task(), RunNumber(1), None);
    let row = RunningTask { task, run, checkpoint, percent: 10, measurement: milli_cores };
    PollResp { clock: VmTime(NOW), running: vec![row], ended: Vec::new() }
}

// A run that has just started is listed before its usage is measured. Guards against a tail that is
// taken for one without any neighbour.
#[test]
fn a_run_without_measured_usage_counts_as_work() {
    assert_eq!(alone_since(&vm(100), &listing(0), NOW), None);
}

// A run that was stopped has used nothing for as long as the tails cover; one that still shows usage
// has.
#[test]
fn a_stopped_run_counts_as_work_until_its_usage_is_zero() {
    assert_eq!(alone_since(&vm(0), &listing(300), NOW), None);
    assert_eq!(alone_since(&vm(0), &listing(0), NOW), Some(NOW - MEASUREMENT_WINDOW));
}

// The last leftover run has ended and isn't listed any more. Guards against a tail that still covers it
// and is taken for one without any neighbour.
#[test]
fn a_run_that_has_just_ended_counts_as_work_for_as_long_as_tails_cover_it() {
    let mut vm = vm(100);
    vm.runs.clear();
    let empty = PollResp { running: Vec::new(), ..listing(0) };
    vm.alone_since = alone_since(&vm, &empty, NOW);
    assert_eq!(vm.alone_since, Some(NOW));
    assert_eq!(alone_since(&vm, &empty, NOW + MEASUREMENT_WINDOW), Some(NOW));
}
