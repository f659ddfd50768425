//! Jobs: steps of tasks that run on VMs until all have ended or the job is cancelled.
//!
//! A job is immutable once accepted. The state that changes while it runs (attempts, bindings,
//! checkpoints) is stored separately, see [`progress`], so that a commit rewrites only that small
//! record.

pub mod check;
pub mod progress;
#[cfg(test)]
mod tests;

use crate::duration;
use crate::ids::{CheckpointId, RackId, ServiceName};
use crate::queues::Terms;
use crate::units::Resources;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

/// Result of parsing a job id.
pub type Result<T> = std::result::Result<T, Error>;

/// Error for an id that can't be parsed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    #[error("`{0}` is not a job id; use 16 lower-case hexadecimal digits")]
    JobId(String),
}

/// Id of a job, chosen by its caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct JobId(pub u64);

/// Number of hexadecimal digits in a job id.
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
            /// Creates a name from its text.
            pub fn new(name: &str) -> Self {
                Self(Arc::from(name))
            }

            /// The name as a string slice.
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

text_name!(/// Name of a queue that callers submit jobs to.
    QueueName);
text_name!(/// A property of a VM that a step can require.
    Label);
text_name!(/// Name of the program that a step's tasks run; tasks of one image behave alike.
    Image);

/// A job as its caller submitted it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    pub id: JobId,
    pub queue: QueueName,
    /// Service whose VMs run the job, taken from the queue's configuration on acceptance.
    pub service: ServiceName,
    /// The caller's argument, passed to the VM unchanged.
    pub payload: Arc<str>,
    pub steps: Vec<Step>,
    pub repeat: Repeat,
    /// Wall-clock time of acceptance, since the Unix epoch.
    pub accepted: Duration,
    /// Terms of the queue on acceptance; `None` if an earlier release accepted the job.
    pub terms: Option<Terms>,
}

impl Job {
    /// The job with its times shortened to [`duration::MAX_OUTSIDE`]. A caller may name any time, and
    /// earlier releases have stored it as it was.
    pub fn bounded(mut self: Arc<Self>) -> Arc<Self> {
        let is_bounded = |time: &Duration| *time == duration::bounded(*time);
        let mut times = self.steps.iter().flat_map(|step| [Some(step.estimate), step.tail_target]);
        if times.all(|time| time.as_ref().is_none_or(is_bounded)) && self.repeat.is_bounded() {
            return self;
        }
        let job = Arc::make_mut(&mut self);
        for step in &mut job.steps {
            step.estimate = duration::bounded(step.estimate);
            step.tail_target = step.tail_target.map(duration::bounded);
        }
        job.repeat = job.repeat.bounded();
        self
    }

    /// Encodes the job as stored.
    pub fn encode(&self) -> Vec<u8> {
        progress::encode(self)
    }

    /// Decodes a stored job, including one of an earlier release, which ends before the terms.
    pub fn decode(bytes: &[u8]) -> progress::Result<Self> {
        const NO_TERMS: &[u8] = &[0];
        let with_terms = progress::decode(bytes);
        with_terms.or_else(|e| match progress::decode(&[bytes, NO_TERMS].concat()) {
            Ok(job @ Self { terms: None, .. }) => Ok(job),
            _ => Err(e),
        })
    }
}

/// How often a job's steps run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeat {
    /// Runs once, as soon as there is room.
    Once,
    /// Runs at fixed times; occurrences may overlap.
    Timed {
        /// Wall-clock time of the first occurrence, since the Unix epoch.
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

    fn is_bounded(&self) -> bool {
        *self == self.bounded()
    }

    fn bounded(self) -> Self {
        match self {
            Self::Once => self,
            Self::Timed { first, interval, times } => {
                let (first, interval) = (duration::bounded(first), duration::bounded(interval));
                Self::Timed { first, interval, times }
            }
        }
    }

    /// Wall-clock time at which an occurrence is due, or `None` if it is due at once.
    pub fn due(&self, occurrence: u32) -> Option<Duration> {
        match self {
            Self::Once => None,
            Self::Timed { first, interval, .. } => {
                Some(first.saturating_add(interval.saturating_mul(occurrence)))
            }
        }
    }
}

/// A group of identical tasks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    pub tasks: u32,
    /// Resources of each task.
    pub size: Resources,
    /// Estimated run time of a task.
    pub estimate: Duration,
    /// Indexes of earlier steps that must have succeeded before this one starts.
    pub after: Vec<u16>,
    pub resume: Resume,
    pub grouping: Grouping,
    pub copies: Copies,
    pub life: Life,
    pub share: Share,
    /// Label required of the VM.
    pub label: Option<Label>,
    /// Rack that stores the step's input data.
    pub rack: Option<RackId>,
    /// Maximum number of the step's tasks (of one occurrence) on one VM; zero for no limit.
    pub per_vm: u32,
    pub image: Option<Image>,
    /// Target for the tail latency that a serving task gives its users.
    pub tail_target: Option<Duration>,
    /// Maximum number of tasks that the scheduler itself may keep down at once; `None` for no
    /// limit.
    pub max_away: Option<u32>,
}

impl Step {
    /// A step with default options: independent tasks with reserved resources and no placement
    /// constraints.
    pub fn new(tasks: u32, size: Resources, estimate: Duration) -> Self {
        Self {
            tasks,
            size,
            estimate,
            after: Vec::new(),
            resume: Resume::default(),
            grouping: Grouping::default(),
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

/// Whether a task can resume from a checkpoint of an earlier run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Resume {
    #[default]
    FromStart,
    FromCheckpoint,
}

/// How the tasks of a step depend on each other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Grouping {
    #[default]
    Alone,
    /// A gang: the tasks make progress only while all of them run, and they end together.
    Together,
    /// Like [`Grouping::Together`], but slower when spread over several racks.
    TogetherOnRack,
    /// Independent tasks that are slower when spread over several racks.
    AloneOnRack,
}

impl Grouping {
    /// Whether the tasks are scheduled as a gang.
    pub fn is_gang(self) -> bool {
        matches!(self, Self::Together | Self::TogetherOnRack)
    }

    /// Whether the tasks are slower when spread over several racks.
    pub fn prefers_one_rack(self) -> bool {
        matches!(self, Self::TogetherOnRack | Self::AloneOnRack)
    }
}

/// Whether a task may have several concurrent copies.
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
    /// Each task ends when its work is done.
    #[default]
    Finite,
    /// Tasks run until the job is cancelled and are restarted whenever they end.
    Lasting,
}

/// How a step's CPU is counted on a VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Share {
    /// Against the VM's capacity.
    #[default]
    Reserved,
    /// Not counted: the tasks use CPU that the others leave idle.
    Leftover,
}

impl Step {
    /// Resources that a task of this step reserves on a VM.
    pub fn reserved_resources(&self) -> Resources {
        match self.share {
            Share::Reserved => self.size,
            Share::Leftover => Resources::new(0, self.size.memory_mib.0, self.size.accelerators.0),
        }
    }
}

/// Identifies a task by its job, occurrence, step, and index in the step, counted from zero.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskRef {
    pub job: JobId,
    pub occurrence: u32,
    pub step: u16,
    pub index: u32,
}

impl TaskRef {
    /// The step that the task belongs to.
    pub fn step_ref(self) -> StepRef {
        StepRef { job: self.job, occurrence: self.occurrence, step: self.step }
    }
}

/// Identifies a step of one occurrence of a job.
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

/// Sequence number of a task's runs, increased by each start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RunNumber(pub u32);

impl fmt::Display for RunNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// State saved by a run, from which a later run can resume.
pub type Checkpoint = CheckpointId;

/// State of a job as shown to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// No task has started.
    Queued,
    Running,
    /// Every task has succeeded.
    Done,
    /// A task has exhausted its attempts.
    Failed,
    Cancelled,
}

impl JobState {
    /// Whether the state is final.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Done | Self::Failed | Self::Cancelled)
    }
}
