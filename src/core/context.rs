//! State that the components of the core share during a step.

use crate::core::event::{Action, Answer};
use crate::core::lease::LeaseTerms;
use crate::core::members::Members;
use crate::core::policy::{DecisionRecord, Policy, Subject};
use crate::core::settings::CoreSettings;
use crate::ids::{DaemonId, Ticket};
use crate::model::Config;
use crate::peer::PeerMsg;
use indexmap::IndexMap;
use std::sync::Arc;
use std::time::Duration;

/// Shared state and the actions collected during the current step.
#[derive(Debug)]
pub struct Context {
    pub now: Duration,
    pub cfg: CoreSettings,
    pub config: Arc<Config>,
    pub policy: Policy,
    pub members: Members,
    pub draining: Draining,
    pub counters: Counters,
    actions: Vec<Action>,
    tickets: u64,
}

/// Whether the daemon is shutting down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Draining {
    No,
    Yes,
}

/// Event counters since the core was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Events for which the state chart has no transition from the current state.
    pub undeclared_transitions: u64,
    /// Messages and responses that were late, duplicated or for an earlier attempt.
    pub stale: u64,
    pub starts: u64,
    pub closes: u64,
    pub evictions: u64,
    pub commits: u64,
    pub records: u64,
    pub leases_lost: u64,
    pub handovers: u64,
}

impl Context {
    /// Creates a context at time zero.
    pub fn new(cfg: CoreSettings) -> Self {
        let config = Arc::new(Config::default());
        Self {
            now: Duration::ZERO,
            policy: Policy::new(config.clone()),
            config,
            members: Members::default(),
            draining: Draining::No,
            counters: Counters::default(),
            actions: Vec::new(),
            tickets: 0,
            cfg,
        }
    }

    /// Appends an action to the step's result.
    pub fn act(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Sends a message to the core of a daemon, which may be this one.
    pub fn send(&mut self, to: &DaemonId, msg: PeerMsg) {
        self.act(Action::Send { to: to.clone(), msg });
    }

    /// Replies to a caller.
    pub fn reply(&mut self, ticket: Ticket, answer: Answer) {
        self.act(Action::Reply { ticket, answer });
    }

    /// Records a decision that was made without the policy.
    pub fn explain(&mut self, subject: Subject, verdict: impl Into<String>) {
        let record = DecisionRecord {
            at: self.now,
            subject,
            revision: self.config.revision,
            weights: self.config.weights,
            verdict: verdict.into(),
            considered: 0,
            passed_over: IndexMap::new(),
            inputs: IndexMap::new(),
        };
        self.act(Action::Explain(record));
    }

    /// Allocates a ticket for a request of the core itself.
    pub fn ticket(&mut self) -> Ticket {
        self.tickets += 1;
        Ticket(self.tickets)
    }

    /// Durations that determine the validity of control leases.
    pub fn lease_terms(&self) -> LeaseTerms {
        LeaseTerms { ttl: self.cfg.lease_ttl, drift_margin: self.cfg.drift_margin }
    }

    /// Returns the actions collected since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }
}
