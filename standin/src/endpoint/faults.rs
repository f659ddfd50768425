//! Switches for faults, and what the endpoint counts.

use super::EndpointSettings;
use indexmap::IndexMap;
use serde::Deserialize;
use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// What goes wrong with one request, or with one connection where that is said.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// Service takes this much longer, in milliseconds.
    Slow(u64),
    /// Answers this status at once, without running the request.
    ErrorFast(u16),
    /// Says `waxwing-not-run` with this word.
    NotRun(NotRun),
    /// Connection: nothing is read or written after it was accepted.
    SilentAfterAccept,
    /// Runs the request; nothing of the answer is sent, and the connection stays open.
    SilentBeforeHead,
    /// The connection goes silent after half of the body.
    SilentMidBody,
    /// The connection goes silent after this answer; nothing shows it.
    SilentAfterAnswer,
    /// Runs the request and closes the connection instead of answering.
    CloseBeforeHead,
    /// Closes the connection without running or answering the request.
    CloseUnrun,
    /// Closes the connection after half of the body.
    CutBody,
    /// Sends the answer twice.
    Duplicate,
    /// Sends the answer to another request, made up, before its own.
    LateAnswer,
    /// Sends another id and its body.
    WrongId,
    /// Sends no id.
    NoId,
    /// Sends neither a length nor chunks, and closes at the end.
    UntilClose,
    /// Answers with something that is not HTTP.
    Garbage,
}

/// Why the endpoint says that it did not run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NotRun {
    Leaving,
    Full,
}

/// The switches of one endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Faults<'a> {
    shared: &'a Shared,
}

/// State shared between the endpoint's thread and its owner.
#[derive(Debug)]
pub(super) struct Shared {
    pub settings: EndpointSettings,
    pub changed: Notify,
    state: Mutex<State>,
}

/// What goes wrong, and what was counted.
#[derive(Debug, Default)]
pub(super) struct State {
    pub next: VecDeque<Fault>,
    pub always: Option<Fault>,
    pub next_connections: VecDeque<Fault>,
    pub every_connection: Option<Fault>,
    pub leaving: bool,
    pub refuse_connections: bool,
    pub health_silent: bool,
    pub states_hidden: bool,
    pub runs: IndexMap<String, usize>,
    pub request_states: IndexMap<String, RequestState>,
    pub requests: usize,
    pub body_bytes_sent: usize,
    pub running: usize,
    pub completed: usize,
    pub max_concurrent: usize,
    pub violations: usize,
    pub accepted: usize,
    pub open: usize,
}

/// What the endpoint says of a request when a probe asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestState {
    Running,
    Answered,
}

impl Shared {
    pub fn new(settings: EndpointSettings) -> Self {
        Self { settings, changed: Notify::new(), state: Mutex::default() }
    }

    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// The fault of the next request, if any.
    pub fn take_fault(&mut self) -> Option<Fault> {
        self.next.pop_front().or(self.always)
    }

    /// The fault of the next connection, if any.
    pub fn take_connection_fault(&mut self) -> Option<Fault> {
        self.next_connections.pop_front().or(self.every_connection)
    }
}

impl<'a> Faults<'a> {
    pub(super) fn new(shared: &'a Shared) -> Self {
        Self { shared }
    }

    /// The next request that has no fault yet gets this one.
    pub fn next(&self, fault: Fault) {
        self.shared.state().next.push_back(fault);
    }

    /// Every request gets this fault, unless one was set by [`Faults::next`].
    pub fn always(&self, fault: Fault) {
        self.shared.state().always = Some(fault);
    }

    /// The next connection that has no fault yet gets this one.
    pub fn next_connection(&self, fault: Fault) {
        self.shared.state().next_connections.push_back(fault);
    }

    /// Every connection gets this fault.
    pub fn every_connection(&self, fault: Fault) {
        self.shared.state().every_connection = Some(fault);
    }

    /// Requests and connections have no faults from now on.
    pub fn clear(&self) {
        let mut state = self.shared.state();
        state.next.clear();
        state.always = None;
        state.next_connections.clear();
        state.every_connection = None;
    }

    /// Whether the endpoint refuses requests, and says in its health that it leaves.
    pub fn leaving(&self, leaving: bool) {
        self.shared.state().leaving = leaving;
    }

    /// Whether connections are refused.
    pub fn refuse_connections(&self, refuse: bool) {
        self.shared.state().refuse_connections = refuse;
        self.shared.changed.notify_one();
    }

    /// Whether health probes get no answer.
    pub fn health_silent(&self, silent: bool) {
        self.shared.state().health_silent = silent;
    }

    /// Whether probes are not told what became of a request.
    pub fn states_hidden(&self, hidden: bool) {
        self.shared.state().states_hidden = hidden;
    }
}
