//! An endpoint: its address, slots in use, health and idle connections.

use crate::ids::{DomainId, RequestId, ServiceName, VmId};
use crate::request::conn::{Conn, ProbeReply};
use crate::request::health::Health;
use crate::request::route::{Candidate, Slowdown};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;

/// An idle connection is closed instead of reused after this time.
const MAX_IDLE_TIME: Duration = Duration::from_secs(10);

/// A connection older than this is closed instead of reused.
const MAX_CONNECTION_AGE: Duration = Duration::from_secs(300);

/// An endpoint as listed by the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointInfo {
    pub vm: VmId,
    pub service: ServiceName,
    pub domain: DomainId,
    /// `ip:port`.
    pub addr: String,
    pub state: EndpointState,
}

/// State of an endpoint as listed by the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointState {
    Live,
    Leaving,
}

/// The state that this daemon keeps for an endpoint.
pub(super) struct Endpoint {
    pub vm: VmId,
    pub service: ServiceName,
    pub domain: DomainId,
    pub addr: SocketAddr,
    pub connect_time: Duration,
    pub listed: Cell<EndpointState>,
    pub health: RefCell<Health>,
    pub slowdown: RefCell<Slowdown>,
    pub probing: Cell<Probing>,
    /// Cached share of an even split; cleared when the daemons or the configuration change.
    pub even_share: Cell<Option<u32>>,
    started: RefCell<Vec<Started>>,
    idle: RefCell<Vec<Conn>>,
}

/// Whether a health probe of the endpoint is in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Probing {
    No,
    Yes,
}

/// A running request.
#[derive(Clone, Copy, Debug)]
struct Started {
    number: u64,
    at: Duration,
    estimate: Duration,
}

impl Endpoint {
    /// Creates an endpoint, or returns none if its address can't be parsed.
    pub fn new(info: &EndpointInfo, connect_time: Duration) -> Option<Self> {
        Some(Self {
            vm: info.vm.clone(),
            service: info.service.clone(),
            domain: info.domain.clone(),
            addr: info.addr.parse().ok()?,
            connect_time,
            listed: Cell::new(info.state),
            health: RefCell::default(),
            slowdown: RefCell::default(),
            probing: Cell::new(Probing::No),
            even_share: Cell::default(),
            started: RefCell::default(),
            idle: RefCell::default(),
        })
    }

    /// Whether `info` describes this endpoint rather than a replacement on the same VM.
    pub fn is_same(&self, info: &EndpointInfo) -> bool {
        info.addr.parse() == Ok(self.addr)
            && info.service == self.service
            && info.domain == self.domain
    }

    /// The number of requests that are, or may still be, running at the endpoint.
    pub fn in_flight(&self) -> u32 {
        u32::try_from(self.started.borrow().len()).unwrap_or(u32::MAX)
    }

    /// Of `share` slots, the number that may be used for new requests.
    pub fn usable(&self, share: u32, now: Duration) -> u32 {
        match self.listed.get() {
            EndpointState::Live => self.health.borrow().usable(share, now),
            EndpointState::Leaving => 0,
        }
    }

    /// The endpoint as input to the endpoint selection.
    pub fn candidate(&self, usable: u32, now: Duration) -> Candidate {
        let started = self.started.borrow();
        let overdue = started.iter().map(|started| {
            now.saturating_sub(started.at).as_secs_f64() / started.estimate.as_secs_f64().max(1e-6)
        });
        Candidate {
            in_flight: self.in_flight(),
            usable,
            slowness: self.slowdown.borrow().factor(now, overdue.fold(0.0, f64::max)),
            failed_share: self.health.borrow().failed_share(),
        }
    }

    /// Records the start of a request.
    pub fn start(&self, number: u64, at: Duration, estimate: Duration) {
        self.started.borrow_mut().push(Started { number, at, estimate });
    }

    /// Records that a request is known to have ended.
    pub fn end(&self, number: u64) {
        self.started.borrow_mut().retain(|started| started.number != number);
    }

    /// Takes an idle connection that is within the idle and age limits, closing those that are not.
    pub fn idle_conn(&self, now: Duration) -> Option<Conn> {
        let mut idle = self.idle.borrow_mut();
        while let Some(conn) = idle.pop() {
            let young_enough = now.saturating_sub(conn.opened) < MAX_CONNECTION_AGE;
            if young_enough && now.saturating_sub(conn.last_active) < MAX_IDLE_TIME {
                return Some(conn);
            }
        }
        None
    }

    /// Creates a connection that is opened on first use.
    pub fn new_conn(&self, now: Duration) -> Conn {
        Conn::new(self.addr, self.connect_time, now)
    }

    /// Keeps a connection whose answer was read completely; no more than `max_idle` are kept.
    pub fn keep_conn(&self, mut conn: Conn, max_idle: u32, now: Duration) {
        conn.last_active = now;
        let mut idle = self.idle.borrow_mut();
        idle.push(conn);
        if idle.len() > max_idle.max(1) as usize {
            idle.remove(0);
        }
    }

    /// Closes all idle connections; called after one went silent, which makes the others suspect.
    pub fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Probes the endpoint over a new connection, asking for the state of request `id` if given.
    pub async fn probe(&self, id: Option<&RequestId>, now: Duration) -> Option<ProbeReply> {
        let mut conn = self.new_conn(now);
        conn.probe(id).await.ok()
    }
}
