//! The open connections of a port, and which of them are closed first.

use super::limits::PortLimits;
use crate::clock::Clock;
use crate::journal::Journal;
use crate::note::{Note, StaticText};
use indexmap::IndexMap;
use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::task::Waker;
use std::time::Duration;
use tokio::time::interval;

/// Time without a byte after which a message, or an answer that isn't read, counts as stalled.
const STALL_TIME: Duration = Duration::from_secs(1);

/// Age at which a message that still arrives may give way to others.
const SLOW_TIME: Duration = Duration::from_secs(3);

/// Time without a byte after which a stalled connection is closed in any case.
const STALL_LIMIT: Duration = Duration::from_secs(15);

/// Interval between two checks for stalled connections.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// A port, and what its clients may take.
#[derive(Clone)]
pub struct Port {
    limits: PortLimits,
    clock: Arc<dyn Clock>,
    report: Arc<dyn Fn(&Closed) + Send + Sync>,
}

/// Connections that were closed in favour of others, or because they stalled, since the last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Closed {
    /// Answered before their message was complete.
    pub refused: u64,
    /// Without a byte in the middle of a message or an answer.
    pub stalled: u64,
    /// With a message that took long.
    pub slow: u64,
    /// Without a message so far, or between two of them.
    pub idle: u64,
    /// Number of connections that are open.
    pub open: u64,
}

/// The open connections of a port. Belongs to one thread; clones share the connections.
#[derive(Clone)]
pub struct Table(Rc<Inner>);

struct Inner {
    port: Port,
    closed: Cell<Closed>,
    conns: RefCell<IndexMap<u64, Rc<Conn>>>,
    next_id: Cell<u64>,
}

/// A connection, as the table and its stream see it.
pub struct Conn {
    id: u64,
    table: Weak<Inner>,
    stage: Cell<Stage>,
    /// When the stage began.
    since: Cell<Duration>,
    /// When a byte was last received or sent.
    active: Cell<Duration>,
    has_served: Cell<bool>,
    is_evicted: Cell<bool>,
    /// Whether the answer to the current request has been produced.
    is_answered: Cell<bool>,
    /// Whether the client doesn't read what is sent.
    is_blocked: Cell<bool>,
    /// Whether the server waits for more of a body, whatever the stage says.
    is_reading: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// No message has begun.
    Idle,
    /// Part of a message has been received.
    Receiving,
    /// A whole message has been received and isn't answered yet.
    Serving,
}

/// The order in which connections are closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    /// Answered before its message was complete; the rest is of no use.
    Refused,
    /// No byte for a while in the middle of a message or an answer.
    Stalled,
    /// A message that takes long although bytes arrive.
    Slow,
    /// No message so far.
    Unused,
    /// Idle between two messages.
    Idle,
}

impl Port {
    /// Creates a port that reports nothing.
    pub fn new(limits: PortLimits, clock: Arc<dyn Clock>) -> Self {
        Self { limits, clock, report: Arc::new(|_| {}) }
    }

    /// What the clients may take.
    pub fn limits(&self) -> PortLimits {
        self.limits
    }

    /// Sets what is told once a second of the connections that were closed, if any were.
    pub fn with_report(self, report: impl Fn(&Closed) + Send + Sync + 'static) -> Self {
        Self { report: Arc::new(report), ..self }
    }

    /// Logs the connections that were closed under the name of this port.
    pub fn with_journal(self, name: StaticText, journal: Journal) -> Self {
        self.with_report(move |closed| {
            let Closed { refused, stalled, slow, idle, open } = *closed;
            let port = name;
            journal.write(Note::ConnectionsClosed { port, refused, stalled, slow, idle, open });
        })
    }
}

impl Table {
    /// Creates a table without connections.
    pub fn new(port: Port) -> Self {
        Self(Rc::new(Inner {
            port,
            closed: Cell::default(),
            conns: RefCell::default(),
            next_id: Cell::new(0),
        }))
    }

    /// Adds a connection; `None` if the table is full. Closes others if it is crowded.
    pub fn add(&self) -> Option<Rc<Conn>> {
        self.0.shrink();
        if self.len() >= self.0.port.limits.connections {
            return None;
        }
        let (id, now) = (self.0.next_id.get(), self.0.port.clock.now());
        self.0.next_id.set(id + 1);
        let conn = Rc::new(Conn {
            id,
            table: Rc::downgrade(&self.0),
            stage: Cell::new(Stage::Idle),
            since: Cell::new(now),
            active: Cell::new(now),
            has_served: Cell::new(false),
            is_evicted: Cell::new(false),
            is_answered: Cell::new(false),
            is_blocked: Cell::new(false),
            is_reading: Cell::new(false),
            waker: RefCell::default(),
        });
        self.0.conns.borrow_mut().insert(id, conn.clone());
        Some(conn)
    }

    /// Number of open connections.
    pub fn len(&self) -> usize {
        self.0.conns.borrow().len()
    }

    /// Whether there is no open connection.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Checks for stalled connections until the task's thread ends.
    pub async fn check_regularly(self) {
        let mut ticks = interval(CHECK_INTERVAL);
        loop {
            ticks.tick().await;
            self.check();
        }
    }

    /// Closes connections that have stalled for too long, and others if the table is crowded.
    /// Reports those that were closed since the last check.
    pub fn check(&self) {
        self.0.close_overdue();
        self.0.shrink();
        let closed = self.0.closed.take();
        if closed != Closed::default() {
            (self.0.port.report)(&Closed { open: self.len() as u64, ..closed });
        }
    }
}

impl Inner {
    /// Closes stalled and idle connections once there are too many.
    fn shrink(&self) {
        let crowded = self.port.limits.crowded_connections();
        if self.conns.borrow().len() < crowded {
            return;
        }
        // Connections that were closed before stay until their tasks have run.
        let open = self.conns.borrow().values().filter(|conn| !conn.is_evicted()).count();
        if open >= crowded {
            // Some more than necessary, so that not every new connection is a search.
            self.evict(open - crowded + 1 + crowded / 16, Rank::Idle, None);
        }
    }

    fn close_overdue(&self) {
        let now = self.port.clock.now();
        let conns = self.conns.borrow();
        let overdue = conns.values().filter(|conn| conn.is_overdue(now));
        overdue.for_each(|conn| self.close(conn, Rank::Stalled));
    }

    /// Closes up to `count` connections, none of a rank after `last` and not `kept`. Returns how many.
    fn evict(&self, count: usize, last: Rank, kept: Option<u64>) -> usize {
        let now = self.port.clock.now();
        let conns = self.conns.borrow();
        let ranked = conns.values().filter_map(|conn| Some((conn.rank(now)?, conn)));
        let may_close = |(rank, conn): &(Rank, &Rc<Conn>)| *rank <= last && Some(conn.id) != kept;
        let mut ranked: Vec<_> = ranked.filter(may_close).collect();
        ranked.sort_by_key(|(rank, conn)| (*rank, conn.age_key(*rank)));
        ranked.truncate(count);
        ranked.iter().for_each(|(rank, conn)| self.close(conn, *rank));
        ranked.len()
    }

    fn close(&self, conn: &Conn, rank: Rank) {
        conn.evict();
        let mut closed = self.closed.get();
        *match rank {
            Rank::Refused => &mut closed.refused,
            Rank::Stalled => &mut closed.stalled,
            Rank::Slow => &mut closed.slow,
            Rank::Unused | Rank::Idle => &mut closed.idle,
        } += 1;
        self.closed.set(closed);
    }
}

impl Conn {
    /// Closes another connection whose message has stalled or is slow. Returns whether there was
    /// one; what it holds is released once its task has run.
    pub fn make_room(&self) -> bool {
        self.table.upgrade().is_some_and(|table| table.evict(1, Rank::Slow, Some(self.id)) > 0)
    }

    /// Records that the answer to the current request has been produced. The next request may
    /// follow.
    pub fn answer(&self) {
        self.is_answered.set(true);
        self.wake();
    }

    /// Records whether the server waits for more of a body.
    pub(super) fn set_reading(&self, is_reading: bool) {
        self.is_reading.set(is_reading);
    }

    pub(super) fn is_evicted(&self) -> bool {
        self.is_evicted.get()
    }

    /// Whether a message has begun whose rest is awaited.
    fn is_receiving(&self) -> bool {
        match self.stage() {
            Stage::Idle => false,
            Stage::Receiving => true,
            Stage::Serving => self.is_reading.get(),
        }
    }

    /// Whether the current request has been answered; asked once.
    pub(super) fn take_answered(&self) -> bool {
        self.is_answered.take()
    }

    pub(super) fn stage(&self) -> Stage {
        self.stage.get()
    }

    pub(super) fn set_stage(&self, stage: Stage) {
        let before = self.stage.replace(stage);
        if before != stage {
            self.since.set(self.now());
            // The message that was received is complete.
            self.has_served.set(self.has_served.get() || before == Stage::Receiving);
        }
    }

    /// Records that a byte was received or sent.
    pub(super) fn touch(&self) {
        self.active.set(self.now());
    }

    pub(super) fn is_blocked(&self) -> bool {
        self.is_blocked.get()
    }

    /// Records whether the client reads what is sent.
    pub(super) fn set_blocked(&self, is_blocked: bool) {
        if !is_blocked {
            self.touch();
        }
        if self.is_blocked.replace(is_blocked) && !is_blocked {
            self.wake();
        }
    }

    pub(super) fn set_waker(&self, waker: &Waker) {
        let mut own = self.waker.borrow_mut();
        if !own.as_ref().is_some_and(|own| own.will_wake(waker)) {
            *own = Some(waker.clone());
        }
    }

    pub(super) fn wake(&self) {
        if let Some(waker) = &*self.waker.borrow() {
            waker.wake_by_ref();
        }
    }

    pub(super) fn remove(&self) {
        if let Some(table) = self.table.upgrade() {
            table.conns.borrow_mut().swap_remove(&self.id);
        }
    }

    fn now(&self) -> Duration {
        self.table.upgrade().map_or(Duration::ZERO, |table| table.port.clock.now())
    }

    fn evict(&self) {
        self.is_evicted.set(true);
        self.wake();
    }

    /// When it may be closed in favour of others; `None` if it may not.
    fn rank(&self, now: Duration) -> Option<Rank> {
        if self.is_evicted() {
            return None;
        }
        let is_still = now.saturating_sub(self.active.get()) >= STALL_TIME;
        let is_long = now.saturating_sub(self.since.get()) >= SLOW_TIME;
        match self.stage() {
            _ if self.is_blocked() => is_still.then_some(Rank::Stalled),
            Stage::Receiving if self.is_answered.get() => Some(Rank::Refused),
            _ if self.is_receiving() && is_still => Some(Rank::Stalled),
            _ if self.is_receiving() => is_long.then_some(Rank::Slow),
            Stage::Idle if self.has_served.get() => Some(Rank::Idle),
            Stage::Idle => Some(Rank::Unused),
            Stage::Receiving | Stage::Serving => None,
        }
    }

    /// What connections of the same rank are ordered by, the first one first.
    fn age_key(&self, rank: Rank) -> Duration {
        match rank {
            Rank::Slow => self.since.get(),
            Rank::Refused | Rank::Stalled | Rank::Unused | Rank::Idle => self.active.get(),
        }
    }

    fn is_overdue(&self, now: Duration) -> bool {
        !self.is_evicted()
            && (self.is_receiving() || self.is_blocked())
            && now.saturating_sub(self.active.get()) >= STALL_LIMIT
    }
}
