//! The operators' client of a daemon's HTTP interface.
//!
//! Any daemon will do, so the given ones are tried in turn. A call that changes something moves on
//! to the next daemon only while it surely had no effect; after a lost answer the outcome is
//! reported as unknown, with what to do to learn it.

use crate::api::{
    ApiError, ApplyReply, ApplyReq, AuditPage, AuditQuery, CallOutcome, CancelReply, ConfigView,
    ConfirmReq, ErrorKind, Explanation, PREFIX, Result, Status, SubmitReply, SubmitReq, TaskList,
    TaskQuery, TaskView, VmDetail, VmSummary,
};
use crate::ids::{RequestId, TaskId, VmId};
use awc::error::{ConnectError, SendRequestError};
use awc::http::{Method, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::Write as _;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// Time for one call to one daemon.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// What to explain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExplainSubject {
    Task(TaskId),
    Request(RequestId),
    Vm(VmId),
}

/// Whether a call changes anything.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Effect {
    /// It may be asked of another daemon after any failure.
    None,
    /// It may be asked of another daemon only while it surely had no effect.
    Change,
}

/// A client of one or more daemons.
pub struct Client {
    daemons: Vec<String>,
    http: awc::Client,
}

/// A request to any of the daemons.
struct Call {
    method: Method,
    path: String,
    body: Vec<u8>,
    effect: Effect,
}

impl Client {
    /// A client of the daemons at these addresses, each `ip:port`, tried in this order.
    pub fn new(daemons: Vec<String>) -> Self {
        Self { daemons, http: http(CALL_TIMEOUT) }
    }

    /// The same with another time limit for one call.
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.http = http(timeout);
        self
    }

    /// How a daemon and what it sees are doing.
    pub async fn status(&self) -> Result<Status> {
        self.get("/status").await
    }

    /// The VMs that a daemon holds or hears of.
    pub async fn vms(&self) -> Result<Vec<VmSummary>> {
        self.get("/vms").await
    }

    /// One VM.
    pub async fn vm(&self, vm: &VmId) -> Result<VmDetail> {
        self.get(&format!("/vms/{}", segment(vm.as_str()))).await
    }

    /// Tasks, selected by the query.
    pub async fn tasks(&self, query: &TaskQuery) -> Result<TaskList> {
        let state = query.state.map(|state| name_of(&state));
        let class = query.class.as_ref().map(ToString::to_string);
        let limit = query.limit.map(|limit| limit.to_string());
        let pairs = [("state", state), ("class", class), ("limit", limit)];
        self.get(&format!("/tasks{}", query_string(&pairs))).await
    }

    /// One task.
    pub async fn task(&self, task: TaskId) -> Result<TaskView> {
        self.get(&format!("/tasks/{task}")).await
    }

    /// Submits a task; the same key gives the same task.
    pub async fn submit(&self, req: &SubmitReq) -> Result<SubmitReply> {
        self.post("/tasks", req).await
    }

    /// Asks for a task's end.
    pub async fn cancel(&self, task: TaskId) -> Result<CancelReply> {
        self.post(&format!("/tasks/{task}/cancel"), &()).await
    }

    /// Why something was decided as it was.
    pub async fn explain(&self, subject: &ExplainSubject) -> Result<Explanation> {
        let path = match subject {
            ExplainSubject::Task(task) => format!("/explain/task/{task}"),
            ExplainSubject::Request(req) => format!("/explain/request/{}", segment(req.as_str())),
            ExplainSubject::Vm(vm) => format!("/explain/vm/{}", segment(vm.as_str())),
        };
        self.get(&path).await
    }

    /// Puts one file in force.
    pub async fn apply(&self, req: &ApplyReq) -> Result<ApplyReply> {
        self.post("/config/apply", req).await
    }

    /// How a change ended.
    pub async fn confirm(&self, req: &ConfirmReq) -> Result<ApplyReply> {
        self.ask(Call::new(Method::POST, "/config/confirm", Effect::None).with_json(req)).await
    }

    /// The configuration in force.
    pub async fn config(&self) -> Result<ConfigView> {
        self.get("/config").await
    }

    /// Changes of the configuration, newest first.
    pub async fn audit(&self, query: &AuditQuery) -> Result<AuditPage> {
        let before = query.before.map(|before| before.to_string());
        let limit = query.limit.map(|limit| limit.to_string());
        let pairs = [("before", before), ("limit", limit)];
        self.get(&format!("/audit{}", query_string(&pairs))).await
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        self.ask(Call::new(Method::GET, path, Effect::None)).await
    }

    async fn post<T: DeserializeOwned>(&self, path: &str, body: &impl Serialize) -> Result<T> {
        self.ask(Call::new(Method::POST, path, Effect::Change).with_json(body)).await
    }

    async fn ask<T: DeserializeOwned>(&self, call: Call) -> Result<T> {
        let mut failures = Vec::new();
        let mut answered = None;
        for daemon in &self.daemons {
            match self.ask_one(daemon, &call).await {
                Ok(answer) => return Ok(answer),
                Err(Failed { error, by }) if call.may_move_on(&error) => {
                    failures.push(format!("{daemon}: {error}"));
                    if by == FailedBy::Daemon {
                        answered.get_or_insert(error);
                    }
                }
                Err(Failed { error, .. }) => return Err(error),
            }
        }
        // What a daemon said tells more than that others could not be reached.
        let error = answered.unwrap_or_else(|| {
            let remedy = "check the addresses given with --daemon, or wait until one is back";
            ApiError::new(ErrorKind::Unreachable, "no daemon answered", remedy)
        });
        Err(error.with_details(failures))
    }

    async fn ask_one<T: DeserializeOwned>(
        &self,
        daemon: &str,
        call: &Call,
    ) -> std::result::Result<T, Failed> {
        let url = format!("http://{daemon}{PREFIX}{}", call.path);
        let req = self.http.request(call.method.clone(), url);
        let req = req.insert_header(("content-type", "application/json"));
        let mut resp = match req.send_body(call.body.clone()).await {
            Ok(resp) => resp,
            Err(error) => return Err(Failed::on_the_way(call.failed(&error))),
        };
        let status = resp.status();
        let body = resp.body().limit(MAX_ANSWER_BYTES).await;
        let cut = |reason: String| Failed::on_the_way(call.cut(&reason));
        let body = body.map_err(|error| cut(error.to_string()))?;
        if status.is_success() {
            return serde_json::from_slice(&body).map_err(|error| cut(error.to_string()));
        }
        match serde_json::from_slice(&body) {
            Ok(error) => Err(Failed { error, by: FailedBy::Daemon }),
            Err(_) => Err(Failed::on_the_way(call.foreign(status))),
        }
    }
}

/// A call that failed, and who says so.
struct Failed {
    error: ApiError,
    by: FailedBy,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum FailedBy {
    Daemon,
    /// No whole answer of a daemon came.
    Network,
}

impl Failed {
    fn on_the_way(error: ApiError) -> Self {
        Self { error, by: FailedBy::Network }
    }
}

impl Call {
    fn new(method: Method, path: &str, effect: Effect) -> Self {
        Self { method, path: path.to_owned(), body: Vec::new(), effect }
    }

    fn with_json(mut self, body: &impl Serialize) -> Self {
        self.body = serde_json::to_vec(body).expect("requests can be written as JSON");
        self
    }

    fn may_move_on(&self, error: &ApiError) -> bool {
        error.kind == ErrorKind::Unreachable
            && (self.effect == Effect::None || error.outcome == CallOutcome::NotRun)
    }

    /// No answer. Only a connection that was never made proves that nothing was sent: the library
    /// also reports one that closed before the answer as a failure to connect.
    fn failed(&self, error: &SendRequestError) -> ApiError {
        match error {
            SendRequestError::Connect(ConnectError::Disconnected) => self.cut("connection closed"),
            SendRequestError::Connect(error) => self.not_sent(&error.to_string()),
            SendRequestError::Url(error) => self.not_sent(&error.to_string()),
            error => self.cut(&error.to_string()),
        }
    }

    fn not_sent(&self, reason: &str) -> ApiError {
        let message = format!("can't connect ({reason})");
        ApiError::new(ErrorKind::Unreachable, message, "check the daemon's address")
    }

    fn cut(&self, reason: &str) -> ApiError {
        let message = format!("the answer was lost ({reason})");
        match self.effect {
            Effect::None => ApiError::new(ErrorKind::Unreachable, message, "ask again"),
            Effect::Change => {
                let remedy = "repeat it with the same key, or confirm it by its id";
                ApiError::new(ErrorKind::Unknown, message, remedy)
            }
        }
    }

    fn foreign(&self, status: StatusCode) -> ApiError {
        let message = format!("answered {status} without an error of the daemon's interface");
        let remedy = "check that the address is the front address of a daemon of this version";
        let outcome = match self.effect {
            Effect::None => CallOutcome::NotRun,
            Effect::Change => CallOutcome::Unknown,
        };
        ApiError::new(ErrorKind::Unknown, message, remedy).with_outcome(outcome)
    }
}

fn http(timeout: Duration) -> awc::Client {
    awc::Client::builder().timeout(timeout).disable_redirects().finish()
}

fn name_of(value: &impl Serialize) -> String {
    let value = serde_json::to_value(value).unwrap_or_default();
    value.as_str().unwrap_or_default().to_owned()
}

fn query_string(pairs: &[(&str, Option<String>)]) -> String {
    let mut buf = String::new();
    for (name, value) in pairs {
        if let Some(value) = value {
            let separator = if buf.is_empty() { '?' } else { '&' };
            let _ = write!(buf, "{separator}{name}={}", segment(value));
        }
    }
    buf
}

/// A text as one segment of a path or one value of a query.
fn segment(text: &str) -> String {
    let mut buf = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b'~') {
            buf.push(char::from(byte));
        } else {
            let _ = write!(buf, "%{byte:02X}");
        }
    }
    buf
}
