//! Jobs: steps of tasks that run on VMs until each has ended, or until the job is cancelled.
//!
//! A job is accepted whole and is fixed from then on. What changes while it runs (attempts,
//! bindings, checkpoints) is kept apart from it in [`progress`], so that a commit rewrites only
//! the small part.

pub mod check;
pub mod progress;

use crate::ids::{CheckpointId, RackId, ServiceName};
use crate::units::Resources;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

/// Result of reading a job's id.
pub type Result<T> = std::result::Result<T, Error>;

/// A name that can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    #[error("`{0}` is not a job id; use 16 lower-case hexadecimal digits")]
    JobId(String),
}

/// A job, named by its caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct JobId(pub u64);

/// Digits of a job id.
const JOB_ID_DIGITS: usize = 16;

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for JobId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let digit = |b: u8| matches!(b, b'0'..=b'9' | b'a'..=b'f');
        if text.len() != JOB_ID_DIGITS || !text.bytes().all(digit) {
            return Err(Error::JobId(text.to_owned()));
        }
        u64::from_str_radix(text, 16).map(Self).map_err(|_| Error::JobId(text.to_owned()))
    }
}

macro_rules! text_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as given.
            pub fn new(name: &str) -> Self {
                Self(Arc::from(name))
            }

            /// The name's text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

text_name!(/// A queue that callers submit jobs to.
    QueueName);
text_name!(/// A property of a VM that a step can require.
    Label);
text_name!(/// What the tasks of a step run; tasks of one image behave alike.
    Image);

/// A job as its caller submitted it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    pub id: JobId,
    pub queue: QueueName,
    /// Service whose VMs run it, as the queue said when the job was accepted.
    pub service: ServiceName,
    /// The caller's argument, passed to the VM unread.
    pub payload: Arc<str>,
    pub steps: Vec<Step>,
    pub repeat: Repeat,
    /// Time of day at acceptance, since 1970.
    pub accepted: Duration,
}

/// How often a job's steps run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeat {
    /// Once, as soon as there is room.
    Once,
    /// At fixed times of day; occurrences may overlap.
    Timed {
        /// Time of day of the first, since 1970.
        first: Duration,
        interval: Duration,
        times: u32,
    },
}

impl Repeat {
    /// Number of occurrences.
    pub fn occurrences(&self) -> u32 {
        match self {
            Self::Once => 1,
            Self::Timed { times, .. } => *times,
        }
    }

    /// Time of day at which an occurrence is due; `None` where it is due at once.
    pub fn due(&self, occurrence: u32) -> Option<Duration> {
        match self {
            Self::Once => None,
            Self::Timed { first, interval, .. } => {
                Some(first.saturating_add(interval.saturating_mul(occurrence)))
            }
        }
    }
}

/// A group of like tasks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    pub tasks: u32,
    /// What each task takes.
    pub size: Resources,
    /// Rough run time of a task.
    pub estimate: Duration,
    /// Earlier steps whose tasks must all have succeeded first.
    pub after: Vec<u16>,
    pub resume: Resume,
    pub members: Members,
    pub copies: Copies,
    pub life: Life,
    pub share: Share,
    /// Label that the VM must have.
    pub label: Option<Label>,
    /// Rack that holds the data.
    pub rack: Option<RackId>,
    /// Most tasks of the step (of one occurrence) on one VM; zero for any number.
    pub per_vm: u32,
    pub image: Option<Image>,
    /// Bound on the tail of the response times that a serving task gives its users.
    pub tail_target: Option<Duration>,
    /// Tasks that may be away at a time by this system's own doing; `None` for no such bound.
    pub max_away: Option<u32>,
}

impl Step {
    /// So many tasks that each take their room until they end, bound to nothing.
    pub fn new(tasks: u32, size: Resources, estimate: Duration) -> Self {
        Self {
            tasks,
            size,
            estimate,
            after: Vec::new(),
            resume: Resume::default(),
            members: Members::default(),
            copies: Copies::default(),
            life: Life::default(),
            share: Share::default(),
            label: None,
            rack: None,
            per_vm: 0,
            image: None,
            tail_target: None,
            max_away: None,
        }
    }
}

/// Whether a task can go on where an earlier run was stopped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Resume {
    #[default]
    FromStart,
    FromCheckpoint,
}

/// How the tasks of a step depend on each other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Members {
    #[default]
    Alone,
    /// They work only while all of one run are there, and end together.
    Together,
    /// As [`Members::Together`], and slower when spread over racks.
    TogetherOnRack,
    /// Each by itself, and slower when spread over racks.
    AloneOnRack,
}

impl Members {
    /// Whether the tasks start, work and end as one.
    pub fn as_one(self) -> bool {
        matches!(self, Self::Together | Self::TogetherOnRack)
    }

    /// Whether the tasks are slower when spread over racks.
    pub fn one_rack(self) -> bool {
        matches!(self, Self::TogetherOnRack | Self::AloneOnRack)
    }
}

/// Whether a task may run in several places at a time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Copies {
    #[default]
    One,
    /// The first copy that succeeds counts.
    Parallel,
}

/// When a step's tasks end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Life {
    /// Each by itself, when its work is done.
    #[default]
    Finite,
    /// Only with the job's cancellation; started again however they end.
    Lasting,
}

/// How a step's processors are counted on a VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Share {
    /// Against the VM's capacity.
    #[default]
    Reserved,
    /// Not counted: the tasks get what the others leave unused.
    Leftover,
}

impl Step {
    /// What a task of this step takes from a VM's room.
    pub fn reserved(&self) -> Resources {
        match self.share {
            Share::Reserved => self.size,
            Share::Leftover => Resources::new(0, self.size.memory_mib.0, self.size.accelerators.0),
        }
    }
}

/// One task: its job, occurrence, step, and place in the step, all counted from zero.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskRef {
    pub job: JobId,
    pub occurrence: u32,
    pub step: u16,
    pub index: u32,
}

impl TaskRef {
    /// The step that it belongs to.
    pub fn of_step(self) -> StepRef {
        StepRef { job: self.job, occurrence: self.occurrence, step: self.step }
    }
}

/// One step of one occurrence of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StepRef {
    pub job: JobId,
    pub occurrence: u32,
    pub step: u16,
}

impl fmt::Display for StepRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

impl fmt::Display for TaskRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}

/// Number of a task's start; rises with each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RunNumber(pub u32);

impl fmt::Display for RunNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// What a run left to resume from.
pub type Checkpoint = CheckpointId;

/// What callers are shown of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ShownState {
    /// No task has started.
    Queued,
    Running,
    /// Every task has succeeded.
    Done,
    /// A task has used up its attempts.
    Failed,
    Cancelled,
}

impl ShownState {
    /// Whether the state stays for good.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Done | Self::Failed | Self::Cancelled)
    }
}
