//! An endpoint: its address, its slots in use and its idle connections.

use crate::ids::{DomainId, ServiceName, VmId};
use crate::request::conn::Conn;
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
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

/// Whether an endpoint takes new requests.
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
    pub listed: Cell<EndpointState>,
    pub in_flight: Cell<u32>,
    idle: RefCell<Vec<Conn>>,
}

/// The right to have one request at an endpoint; given back when dropped.
pub(super) struct Slot {
    pub endpoint: Rc<Endpoint>,
}

impl Endpoint {
    /// An endpoint as listed, or none if its address can't be read.
    pub fn new(info: &EndpointInfo) -> Option<Self> {
        Some(Self {
            vm: info.vm.clone(),
            service: info.service.clone(),
            domain: info.domain.clone(),
            addr: info.addr.parse().ok()?,
            listed: Cell::new(info.state),
            in_flight: Cell::new(0),
            idle: RefCell::new(Vec::new()),
        })
    }

    /// Whether `info` tells of this endpoint, rather than of another in its place.
    pub fn is_still(&self, info: &EndpointInfo) -> bool {
        info.addr.parse() == Ok(self.addr)
            && info.service == self.service
            && info.domain == self.domain
    }

    /// An idle connection that is young enough, or a new one.
    pub fn take_conn(&self, connect_time: Duration, now: Duration) -> Conn {
        let mut idle = self.idle.borrow_mut();
        while let Some(conn) = idle.pop() {
            let proved = conn.proved.unwrap_or(conn.opened);
            if now.saturating_sub(proved) < IDLE_LIMIT
                && now.saturating_sub(conn.opened) < AGE_LIMIT
            {
                return conn;
            }
        }
        Conn::new(self.addr, connect_time, now)
    }

    /// Keeps a connection whose answer was read to its end.
    pub fn keep_conn(&self, mut conn: Conn, now: Duration) {
        conn.proved = Some(now);
        self.idle.borrow_mut().push(conn);
    }
}

impl Slot {
    /// Takes a slot. The caller has checked that there is one.
    pub fn take(endpoint: &Rc<Endpoint>) -> Self {
        endpoint.in_flight.set(endpoint.in_flight.get() + 1);
        Self { endpoint: Rc::clone(endpoint) }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let in_flight = &self.endpoint.in_flight;
        in_flight.set(in_flight.get().saturating_sub(1));
    }
}
