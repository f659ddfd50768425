//! The operators' HTTP interface of a daemon, as JSON under [`PREFIX`].
//!
//! A call that fails answers with [`ApiError`], which says whether the change took effect. Without
//! that an operator whose answer was lost could only guess whether to repeat it.

use crate::config::apply::Effect;
use crate::core::policy::DecisionRecord;
use crate::ids::{
    ClassName, DaemonId, DomainId, IdempotencyKey, PartitionId, RackId, Revision, TaskId, TeamName,
    Token, VmId,
};
use crate::peer::{ClassCount, MemberState, VmHealth};
use crate::task::TaskState;
use crate::units::Resources;
use crate::worker::TaskAttempt;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Result of a call.
pub type Result<T> = std::result::Result<T, ApiError>;

/// Head of every path.
pub const PREFIX: &str = "/v1";

/// Header that carries the operator's or caller's idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";

/// Most entries of one answer.
pub const MAX_PAGE: u32 = 1000;

/// Entries of one answer when no limit is given.
pub const DEFAULT_PAGE: u32 = 100;

/// `GET /status`: how a daemon and what it sees are doing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    pub daemon: DaemonId,
    pub domain: DomainId,
    pub state: DaemonState,
    /// Configuration in force here.
    pub revision: Revision,
    pub store: StoreStatus,
    pub vms_held: u32,
    /// Held VMs whose control lease lapses within a third of its time.
    pub leases_near_lapse: u32,
    /// Waiting tasks and requests of each class.
    pub queued: IndexMap<ClassName, u32>,
    /// Requests and tasks refused since the start, by reason.
    pub refusals: IndexMap<String, u64>,
    pub partitions: Vec<PartitionStatus>,
    /// Shards of VMs and jobs, on daemons that own such.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub shards: Vec<ShardStatus>,
    /// How sure the daemon is of its configuration, if it tells.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub configuration: Option<ConfigStatus>,
    pub members: Vec<MemberStatus>,
}

/// How sure a daemon is that the configuration in force there is the newest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigStatus {
    /// Time since the store confirmed it, in milliseconds.
    pub unconfirmed_ms: u64,
    /// Whether calls are turned away for that.
    pub calls_refused: bool,
    /// Newest that another daemon was heard to have.
    pub newest_heard: Revision,
    /// Why it couldn't be read since.
    pub fault: Option<String>,
}

/// A shard as a daemon sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardStatus {
    pub shard: String,
    pub owner: Option<DaemonId>,
}

/// A time in whole milliseconds, as statuses tell it.
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Where a daemon is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DaemonState {
    Starting,
    Serving,
    Draining,
}

/// Whether the key-value service answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreStatus {
    pub reachable: bool,
    /// How long it has been so, in milliseconds.
    pub since_ms: u64,
}

/// A partition of the task log as a daemon sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartitionStatus {
    pub partition: PartitionId,
    pub writer: Option<DaemonId>,
    /// Tasks kept, ended ones included; known to the writer alone.
    pub tasks: Option<u32>,
    /// Tasks that wait for a VM; known to the writer alone.
    pub waiting_tasks: Option<u32>,
}

/// Another daemon as this one sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    pub daemon: DaemonId,
    pub domain: DomainId,
    pub state: MemberState,
    pub revision: Revision,
}

/// `GET /vms`: the VMs that a daemon holds or hears of.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VmSummary {
    pub vm: VmId,
    pub domain: DomainId,
    pub rack: RackId,
    pub holder: Option<DaemonId>,
    pub size: Resources,
    pub free: Resources,
    pub health: VmHealth,
    /// Tasks in its lease table, service instances included.
    pub tasks: u32,
}

/// `GET /vms/{id}`: one VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VmDetail {
    pub summary: VmSummary,
    pub classes: Vec<ClassCount>,
    /// Known to the holder alone, like the fields below.
    pub token: Option<Token>,
    /// Time until the control lease lapses, in milliseconds.
    pub lease_left_ms: Option<u64>,
    pub tasks: Vec<TaskAttempt>,
}

/// Query of `GET /tasks`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskQuery {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub state: Option<TaskPhase>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub class: Option<ClassName>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limit: Option<u32>,
}

/// A task's phase, to select by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskPhase {
    Waiting,
    Bound,
    Ended,
}

/// Answer to `GET /tasks`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskList {
    pub tasks: Vec<TaskView>,
    pub complete: bool,
    /// Why tasks are missing, such as a partition whose writer can't be reached.
    pub missing: Option<String>,
}

/// `GET /tasks/{id}`: one task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskView {
    pub task: TaskState,
    /// What has to happen before it goes on.
    pub waiting_for: Option<String>,
}

/// Body of `POST /tasks`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SubmitReq {
    pub class: ClassName,
    pub key: IdempotencyKey,
    /// The class's team, if not given.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub team: Option<TeamName>,
    /// Passed to the worker unread.
    #[serde(default)]
    pub payload: String,
    #[serde(default)]
    pub priority: SubmitPriority,
}

/// How soon a submitted task should start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SubmitPriority {
    /// As its class says.
    #[default]
    AsClass,
    Urgent,
}

/// Answer to `POST /tasks`: the task is durable.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmitReply {
    pub task: TaskId,
    /// Whether the key was known already.
    pub repeated: bool,
}

/// Answer to `POST /tasks/{id}/cancel`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CancelReply {
    pub task: TaskState,
}

/// Answer to `GET /explain/{task|request|vm}/{id}`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// Decisions about the task or VM, oldest first.
    pub records: Vec<DecisionRecord>,
    /// The steps of a request, if it was one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<serde_json::Value>,
    /// Whether nothing was forgotten or out of reach.
    pub complete: bool,
    /// What is missing and why.
    pub missing: Option<String>,
}

/// Body of `POST /config/apply`: one file, put in force as a whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyReq {
    pub operator: String,
    /// The operator's own id of this change, by which it is confirmed.
    pub change_id: String,
    pub file: String,
    /// The file's new text; `None` removes it.
    pub text: Option<String>,
    /// Revision the change was made from; refused if another came first.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<Revision>,
}

/// Answer to `POST /config/apply` and `POST /config/confirm`: the change is accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyReply {
    pub change_id: String,
    pub revision: Revision,
    pub effect: Effect,
}

/// Body of `POST /config/confirm`: asks how a change ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfirmReq {
    /// Who asks; recorded where the change is given up.
    pub operator: String,
    pub change_id: String,
}

/// Answer to `GET /config`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigView {
    pub revision: Revision,
    pub files: Vec<FileView>,
}

/// A file of the configuration in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FileView {
    pub name: String,
    /// Revision that last changed it.
    pub revision: Revision,
    pub text: String,
}

/// Query of `GET /audit`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditQuery {
    /// Only entries with a lower number.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub before: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limit: Option<u32>,
}

/// Answer to `GET /audit`, newest first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditPage {
    pub entries: Vec<AuditView>,
    pub complete: bool,
    /// What is missing and why.
    pub missing: Option<String>,
    /// Where the next page begins, if there is one.
    pub next_before: Option<u64>,
}

/// One change of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditView {
    pub revision: Revision,
    pub from: Revision,
    pub operator: String,
    pub change_id: String,
    /// Calendar time in milliseconds since 1970, UTC.
    pub at_unix_ms: u64,
    pub file: String,
    pub changes: Vec<String>,
    /// How it ended.
    pub result: String,
}

/// Body of every failed call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{message}; {remedy}")]
pub struct ApiError {
    pub kind: ErrorKind,
    pub message: String,
    pub remedy: String,
    /// Faults one by one, or what differs in a conflict.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub details: Vec<String>,
    pub outcome: CallOutcome,
}

/// What kind of failure, and so which exit code and HTTP status.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ErrorKind {
    /// The call itself is wrong.
    Usage,
    /// The call is well-formed and refused, such as by a quota.
    Refused,
    /// Another change came first.
    Conflict,
    /// A daemon or the key-value service can't be reached.
    Unreachable,
    NotFound,
    /// The change may or may not have taken effect.
    Unknown,
}

/// Whether a failed call took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallOutcome {
    /// Surely without effect.
    NotRun,
    Unknown,
    /// It took effect, and failed after that.
    Ran,
}

impl ErrorKind {
    /// The HTTP status that carries this kind.
    pub fn http_status(self) -> u16 {
        match self {
            Self::Usage => 400,
            Self::Refused => 422,
            Self::Conflict => 409,
            Self::Unreachable => 503,
            Self::NotFound => 404,
            Self::Unknown => 500,
        }
    }
}

impl ApiError {
    /// A failure of `kind` that surely had no effect, or for `Unknown` may have had one.
    pub fn new(kind: ErrorKind, message: impl Into<String>, remedy: impl Into<String>) -> Self {
        let outcome = match kind {
            ErrorKind::Unknown => CallOutcome::Unknown,
            _ => CallOutcome::NotRun,
        };
        Self { kind, message: message.into(), remedy: remedy.into(), details: Vec::new(), outcome }
    }

    /// The same with faults listed one by one.
    pub fn with_details(mut self, details: Vec<String>) -> Self {
        self.details = details;
        self
    }

    /// The same with another outcome than that of its kind.
    pub fn with_outcome(mut self, outcome: CallOutcome) -> Self {
        self.outcome = outcome;
        self
    }
}
