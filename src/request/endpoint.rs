//! An endpoint: its address, its slots in use, its health and its idle connections.

use crate::ids::{DomainId, RequestId, ServiceName, VmId};
use crate::request::conn::{Conn, ProbeReply};
use crate::request::health::Health;
use crate::request::route::{Candidate, Slowdown};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;

/// An idle connection is closed rather than used when it has been idle for longer.
const IDLE_LIMIT: Duration = Duration::from_secs(10);

/// A connection is closed rather than used when it is older.
const AGE_LIMIT: Duration = Duration::from_secs(300);

/// An endpoint on the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointInfo {
    pub vm: VmId,
    pub service: ServiceName,
    pub domain: DomainId,
    /// `ip:port`.
    pub addr: String,
    pub state: EndpointState,
}

/// Whether the platform's list has an endpoint as live.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointState {
    Live,
    Leaving,
}

/// An endpoint as this daemon uses it.
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
    /// Slots of an even split, until the daemons or the configuration change.
    pub even_share: Cell<Option<u32>>,
    started: RefCell<Vec<Started>>,
    idle: RefCell<Vec<Conn>>,
}

/// Whether a probe of an endpoint that is out is under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Probing {
    No,
    Yes,
}

/// A request under way.
#[derive(Clone, Copy, Debug)]
struct Started {
    number: u64,
    at: Duration,
    estimate: Duration,
}

impl Endpoint {
    /// An endpoint as listed, or none if its address can't be read.
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

    /// Whether `info` tells of this endpoint, rather than of another in its place.
    pub fn is_still(&self, info: &EndpointInfo) -> bool {
        info.addr.parse() == Ok(self.addr)
            && info.service == self.service
            && info.domain == self.domain
    }

    /// Requests that are, or may still be, at the endpoint.
    pub fn in_flight(&self) -> u32 {
        u32::try_from(self.started.borrow().len()).unwrap_or(u32::MAX)
    }

    /// Of `share` slots, those that requests may be started on.
    pub fn usable(&self, share: u32, now: Duration) -> u32 {
        match self.listed.get() {
            EndpointState::Live => self.health.borrow().usable(share, now),
            EndpointState::Leaving => 0,
        }
    }

    /// The endpoint as the choice sees it.
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

    /// Notes that a request starts.
    pub fn start(&self, number: u64, at: Duration, estimate: Duration) {
        self.started.borrow_mut().push(Started { number, at, estimate });
    }

    /// Notes that a request is surely no longer there.
    pub fn end(&self, number: u64) {
        self.started.borrow_mut().retain(|started| started.number != number);
    }

    /// An idle connection that is young enough.
    pub fn idle_conn(&self, now: Duration) -> Option<Conn> {
        let mut idle = self.idle.borrow_mut();
        while let Some(conn) = idle.pop() {
            let young = now.saturating_sub(conn.opened) < AGE_LIMIT;
            if young && now.saturating_sub(conn.last_active) < IDLE_LIMIT {
                return Some(conn);
            }
        }
        None
    }

    /// A connection to be opened.
    pub fn new_conn(&self, now: Duration) -> Conn {
        Conn::new(self.addr, self.connect_time, now)
    }

    /// Keeps a connection whose answer was read to its end, one for each slot at most.
    pub fn keep_conn(&self, mut conn: Conn, most: u32, now: Duration) {
        conn.last_active = now;
        let mut idle = self.idle.borrow_mut();
        idle.push(conn);
        if idle.len() > most.max(1) as usize {
            idle.remove(0);
        }
    }

    /// Closes the idle connections: one was found silent, so the others are in doubt.
    pub fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Asks for health, and after a request, over a connection of its own.
    pub async fn probe(&self, id: Option<&RequestId>, now: Duration) -> Option<ProbeReply> {
        let mut conn = self.new_conn(now);
        conn.probe(id).await.ok()
    }
}
