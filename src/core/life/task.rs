//! A task as its writer handles it: the durable state, and the step it is at.

use crate::chart::{Chart, Label, Machine};
use crate::core::context::Context;
use crate::ids::{Attempt, BootId, DaemonId, Ticket, VmId};
use crate::peer::CloseReason;
use crate::task::{Phase, TaskState};
use std::time::Duration;

/// VMs that a task keeps off at a time, and for how long.
const AVOID_MAX: usize = 3;
const AVOID_TIME: Duration = Duration::from_secs(5);

/// Step of a task's life; the transitions are in `charts/task.toml`.
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

/// What moves a task on.
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

/// The chart of a task's life.
pub type TaskChart = Machine<Step, TaskEvent>;

/// Loads the chart of a task's life.
pub fn load_chart() -> crate::chart::Result<TaskChart> {
    Machine::new(&Chart::parse(include_str!("../../../charts/task.toml"))?)
}

/// A VM that an attempt failed on, or that declined.
#[derive(Clone, Debug)]
struct Avoided {
    vm: VmId,
    until: Duration,
}

/// A task of a partition written here.
#[derive(Debug)]
pub struct Task {
    /// What is durable.
    pub state: TaskState,
    pub step: Step,
    /// Time of the last change of step.
    pub since: Duration,
    /// Time at which it was first heard of here.
    pub known: Duration,
    /// VM of the attempt under way.
    pub vm: Option<VmId>,
    /// Daemon that was last asked about the attempt.
    pub holder: Option<DaemonId>,
    /// Time at which to repeat what is unanswered.
    pub deadline: Option<Duration>,
    avoid: Vec<Avoided>,
    pub why: CloseReason,
    /// Whether a caller asked for the end, durable or not yet.
    pub cancel_asked: bool,
    /// Callers that submitted the same key while the first submission was under way.
    pub repeats: Vec<Ticket>,
}

impl Task {
    /// A task that is being submitted.
    pub fn new(state: TaskState, step: Step, now: Duration) -> Self {
        Self {
            cancel_asked: state.cancel_asked,
            state,
            step,
            since: now,
            known: now,
            vm: None,
            holder: None,
            deadline: None,
            avoid: Vec::new(),
            why: CloseReason::NotStarted,
            repeats: Vec::new(),
        }
    }

    /// A task as the log leaves it. One that is bound may run, so its holder is asked.
    pub fn recovered(state: TaskState, now: Duration) -> Self {
        let (step, vm) = match &state.phase {
            Phase::Waiting => (Step::Queued, None),
            Phase::Bound { vm } => (Step::Starting, Some(vm.clone())),
            Phase::Ended { .. } => (Step::Ended, None),
        };
        Self { vm, ..Self::new(state, step, now) }
    }

    /// Moves on; an event that the chart doesn't have here is counted and changes nothing.
    pub fn fire(&mut self, chart: &TaskChart, event: TaskEvent, cx: &mut Context) -> Fired {
        match chart.next(self.step, event) {
            Ok(step) => {
                self.step = step;
                self.since = cx.now;
                Fired::Moved
            }
            Err(e) => {
                cx.counters.undeclared += 1;
                eprintln!("DBG {} {} {e}", self.state.id, self.state.attempt);
                log::warn!(task:% = self.state.id, error:% = e; "undeclared transition");
                Fired::Undeclared
            }
        }
    }

    /// Attempt that is being placed, or the last one.
    pub fn attempt(&self) -> Attempt {
        match self.step {
            Step::Queued | Step::Reserving | Step::Binding => self.state.attempt.next(),
            _ => self.state.attempt,
        }
    }

    /// Incarnation of the VM that the attempt is bound to.
    pub fn boot(&self) -> BootId {
        self.state.boot
    }

    /// Keeps off a VM for a while.
    ///
    /// Not for good: the VM that declined may be the only one that the task can run on.
    pub fn avoid(&mut self, vm: VmId, now: Duration) {
        self.avoid.retain(|avoided| avoided.vm != vm);
        self.avoid.push(Avoided { vm, until: now + AVOID_TIME });
        if self.avoid.len() > AVOID_MAX {
            self.avoid.remove(0);
        }
    }

    /// VMs to keep off now.
    pub fn avoided(&self, now: Duration) -> Vec<VmId> {
        let still = self.avoid.iter().filter(|avoided| avoided.until > now);
        still.map(|avoided| avoided.vm.clone()).collect()
    }
}

/// Whether an event moved a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fired {
    Moved,
    Undeclared,
}
