//! What the parts of the core share during a step.

use crate::core::event::{Action, Answer};
use crate::core::lease::Terms;
use crate::core::members::Members;
use crate::core::policy::{DecisionRecord, Policy, Subject};
use crate::core::settings::CoreSettings;
use crate::ids::{DaemonId, Ticket};
use crate::model::Config;
use crate::peer::PeerMsg;
use indexmap::IndexMap;
use std::sync::Arc;
use std::time::Duration;

/// Shared state, and the actions gathered so far.
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

/// Whether the daemon stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Draining {
    No,
    Yes,
}

/// What happened so far, counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Events that a chart doesn't declare for the state they met.
    pub undeclared: u64,
    /// Messages and answers that came too late, twice or for an older attempt.
    pub stale: u64,
    pub starts: u64,
    pub closes: u64,
    pub evictions: u64,
    pub commits: u64,
    pub records: u64,
    pub leases_lost: u64,
    pub hand_overs: u64,
}

impl Context {
    /// A context at time zero.
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

    /// Asks for an action.
    pub fn act(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Sends a message to another daemon's core, or to this one's own.
    pub fn send(&mut self, to: &DaemonId, msg: PeerMsg) {
        self.act(Action::Send { to: to.clone(), msg });
    }

    /// Answers a caller.
    pub fn reply(&mut self, ticket: Ticket, answer: Answer) {
        self.act(Action::Reply { ticket, answer });
    }

    /// Keeps the record of a decision that the policy had no part in.
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

    /// A ticket of this core's own.
    pub fn ticket(&mut self) -> Ticket {
        self.tickets += 1;
        Ticket(self.tickets)
    }

    /// Times that control leases rest on.
    pub fn terms(&self) -> Terms {
        Terms { ttl: self.cfg.lease_ttl, drift_margin: self.cfg.drift_margin }
    }

    /// The actions gathered since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }
}
