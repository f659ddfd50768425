//! A task as managed by its writer: its durable state and its lifecycle step.

use crate::chart::{Chart, Label, Machine};
use crate::core::context::Context;
use crate::ids::{Attempt, BootId, DaemonId, Ticket, VmId};
use crate::peer::CloseReason;
use crate::task::{Phase, TaskState};
use std::time::Duration;

/// Maximum number of VMs that a task avoids at a time.
const MAX_AVOIDED_VMS: usize = 3;

/// Time for which a task avoids a VM.
const AVOID_PERIOD: Duration = Duration::from_secs(5);

/// Lifecycle step of a task; the transitions are in `charts/task.toml`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    Submitting,
    Refused,
    Queued,
    Reserving,
    Binding,
    Starting,
    Running,
    Closing,
    Releasing,
    Ending,
    Ended,
}

/// Event that causes a lifecycle transition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskEvent {
    Durable,
    NotWritten,
    Chosen,
    Declined,
    Reserved,
    Started,
    Close,
    Closed,
    EndReported,
    Cancelled,
}

impl Label for Step {
    const ALL: &'static [(Self, &'static str)] = &[
        (Self::Submitting, "submitting"),
        (Self::Refused, "refused"),
        (Self::Queued, "queued"),
        (Self::Reserving, "reserving"),
        (Self::Binding, "binding"),
        (Self::Starting, "starting"),
        (Self::Running, "running"),
        (Self::Closing, "closing"),
        (Self::Releasing, "releasing"),
        (Self::Ending, "ending"),
        (Self::Ended, "ended"),
    ];
}

impl Label for TaskEvent {
    const ALL: &'static [(Self, &'static str)] = &[
        (Self::Durable, "durable"),
        (Self::NotWritten, "not-written"),
        (Self::Chosen, "chosen"),
        (Self::Declined, "declined"),
        (Self::Reserved, "reserved"),
        (Self::Started, "started"),
        (Self::Close, "close"),
        (Self::Closed, "closed"),
        (Self::EndReported, "end-reported"),
        (Self::Cancelled, "cancelled"),
    ];
}

/// State chart of the task lifecycle.
pub type TaskChart = Machine<Step, TaskEvent>;

/// Loads the state chart of the task lifecycle.
pub fn load_chart() -> crate::chart::Result<TaskChart> {
    Machine::new(&Chart::parse(include_str!("../../../charts/task.toml"))?)
}

/// A VM on which an attempt failed, or whose holder declined the task.
#[derive(Clone, Debug)]
struct Avoided {
    vm: VmId,
    until: Duration,
}

/// A task of a partition that this daemon writes.
#[derive(Debug)]
pub struct Task {
    /// Durable state.
    pub state: TaskState,
    pub step: Step,
    /// Time of the last change of step.
    pub since: Duration,
    /// Time at which this daemon first learned of the task.
    pub first_seen: Duration,
    /// VM of the current attempt.
    pub vm: Option<VmId>,
    /// Daemon that was last sent a request about the attempt.
    pub holder: Option<DaemonId>,
    /// Time at which to retry an unanswered request, or to requeue the task.
    pub deadline: Option<Duration>,
    avoid: Vec<Avoided>,
    /// Why the attempt is being closed.
    pub close_reason: CloseReason,
    /// Whether a caller requested cancellation, even if that isn't durable yet.
    pub cancel_asked: bool,
    /// Callers that submitted the same key before the first submission was durable.
    pub repeats: Vec<Ticket>,
}

impl Task {
    /// Creates a task at a lifecycle step.
    pub fn new(state: TaskState, step: Step, now: Duration) -> Self {
        Self {
            cancel_asked: state.cancel_asked,
            state,
            step,
            since: now,
            first_seen: now,
            vm: None,
            holder: None,
            deadline: None,
            avoid: Vec::new(),
            close_reason: CloseReason::NotStarted,
            repeats: Vec::new(),
        }
    }

    /// Creates a task from its state in the log. A bound task may be running, so its holder is
    /// queried.
    pub fn recovered(state: TaskState, now: Duration) -> Self {
        let (step, vm) = match &state.phase {
            Phase::Waiting => (Step::Queued, None),
            Phase::Bound { vm } => (Step::Starting, Some(vm.clone())),
            Phase::Ended { .. } => (Step::Ended, None),
        };
        Self { vm, ..Self::new(state, step, now) }
    }

    /// Applies an event to the state chart; an undeclared event is only counted.
    pub fn fire(&mut self, chart: &TaskChart, event: TaskEvent, cx: &mut Context) -> Fired {
        match chart.next(self.step, event) {
            Ok(step) => {
                self.step = step;
                self.since = cx.now;
                Fired::Moved
            }
            Err(e) => {
                cx.counters.undeclared_transitions += 1;
                eprintln!("DBG {} {} {e}", self.state.id, self.state.attempt);
                log::warn!(task:% = self.state.id, error:% = e; "undeclared transition");
                Fired::Undeclared
            }
        }
    }

    /// The attempt being placed, or otherwise the last one.
    pub fn attempt(&self) -> Attempt {
        match self.step {
            Step::Queued | Step::Reserving | Step::Binding => self.state.attempt.next(),
            _ => self.state.attempt,
        }
    }

    /// VM incarnation that the attempt is bound to.
    pub fn boot(&self) -> BootId {
        self.state.boot
    }

    /// Avoids a VM for a limited time.
    ///
    /// The time is limited because the VM may be the only one that the task can run on.
    pub fn avoid(&mut self, vm: VmId, now: Duration) {
        self.avoid.retain(|avoided| avoided.vm != vm);
        self.avoid.push(Avoided { vm, until: now + AVOID_PERIOD });
        if self.avoid.len() > MAX_AVOIDED_VMS {
            self.avoid.remove(0);
        }
    }

    /// VMs to avoid at `now`.
    pub fn avoided(&self, now: Duration) -> Vec<VmId> {
        let active = self.avoid.iter().filter(|avoided| avoided.until > now);
        active.map(|avoided| avoided.vm.clone()).collect()
    }
}

/// Whether an event caused a transition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fired {
    Moved,
    Undeclared,
}
