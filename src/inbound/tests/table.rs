//! Which connections are closed, and which never.

use crate::clock::ManualClock;
use crate::inbound::limits::PortLimits;
use crate::inbound::table::{Closed, Conn, Port, Stage, Table};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

const LIMITS: PortLimits = PortLimits { connections: 16, held_bytes: 1 << 20 };

struct Clients {
    table: Table,
    clock: Arc<ManualClock>,
}

impl Clients {
    fn new() -> Self {
        let clock = Arc::new(ManualClock::default());
        Self { table: Table::new(Port::new(LIMITS, clock.clone())), clock }
    }

    /// Adds connections, each a millisecond after the one before.
    fn add(&self, count: usize, stage: Stage) -> Vec<Rc<Conn>> {
        let add = |_| {
            self.clock.advance(Duration::from_millis(1));
            let conn = self.table.add().expect("room");
            conn.set_stage(stage);
            conn
        };
        (0..count).map(add).collect()
    }
}

fn evicted(conns: &[Rc<Conn>]) -> Vec<bool> {
    conns.iter().map(|conn| conn.is_evicted()).collect()
}

// Guards against a crowd of idle connections that keeps others out.
#[test]
fn a_new_connection_takes_the_place_of_the_oldest_unused_one() {
    let clients = Clients::new();
    let served = clients.add(2, Stage::Receiving);
    served.iter().for_each(|conn| conn.set_stage(Stage::Idle));
    let unused = clients.add(LIMITS.crowded_connections() - 2, Stage::Idle);
    assert!(evicted(&unused).iter().all(|evicted| !evicted));
    clients.table.add().expect("room");
    assert!(unused[0].is_evicted());
    assert_eq!(evicted(&unused).iter().filter(|evicted| **evicted).count(), 1);
    // The first one is still there, as its task hasn't run.
    clients.table.add().expect("room");
    assert_eq!(evicted(&unused).iter().filter(|evicted| **evicted).count(), 2);
    assert_eq!(evicted(&served), [false, false]);
}

// Guards against a crowd that makes the daemon cut requests off which it is answering.
#[test]
fn requests_that_are_being_answered_are_never_closed() {
    let clients = Clients::new();
    let conns = clients.add(LIMITS.connections, Stage::Serving);
    assert!(clients.table.add().is_none());
    clients.clock.advance(Duration::from_secs(3600));
    clients.table.check();
    assert!(evicted(&conns).iter().all(|evicted| !evicted));
}

// Guards against ordinary requests that give way to stalled ones.
#[test]
fn stalled_messages_are_closed_before_slow_and_idle_ones() {
    let clients = Clients::new();
    let idle = clients.add(4, Stage::Idle);
    let stalled = clients.add(2, Stage::Receiving);
    let slow = clients.add(2, Stage::Receiving);
    for _ in 0..4 {
        clients.clock.advance(Duration::from_millis(900));
        slow.iter().for_each(|conn| conn.touch());
    }
    let new = clients.add(1, Stage::Receiving).remove(0);
    let mut order = Vec::new();
    while new.make_room() {
        order.push((evicted(&stalled), evicted(&slow)));
    }
    let [none, first, both] = [vec![false, false], vec![true, false], vec![true, true]];
    let expected = [
        (first.clone(), none.clone()),
        (both.clone(), none),
        (both.clone(), first),
        (both.clone(), both),
    ];
    assert_eq!(order, expected);
    assert!(!new.is_evicted());
    assert!(evicted(&idle).iter().all(|evicted| !evicted));
}

// Guards against refused requests that keep others out while their rest is read.
#[test]
fn a_request_that_was_answered_early_gives_way_at_once() {
    let clients = Clients::new();
    let conns = clients.add(2, Stage::Receiving);
    conns[1].answer();
    assert!(clients.add(1, Stage::Receiving)[0].make_room());
    assert_eq!(evicted(&conns), [false, true]);
}

// Guards against a request that seems to be complete while its server waits for the rest for good.
#[test]
fn a_request_whose_body_is_awaited_gives_way() {
    let clients = Clients::new();
    let conn = clients.add(1, Stage::Serving).remove(0);
    conn.set_reading(true);
    clients.clock.advance(Duration::from_secs(2));
    assert!(clients.add(1, Stage::Receiving)[0].make_room());
    assert!(conn.is_evicted());
}

// Guards against a slow link that is cut off although nobody needs its place.
#[test]
fn in_calm_only_connections_without_any_progress_are_closed() {
    let clients = Clients::new();
    let slow = clients.add(1, Stage::Receiving).remove(0);
    let stalled = clients.add(1, Stage::Receiving).remove(0);
    let unread = clients.add(1, Stage::Idle).remove(0);
    unread.set_blocked(true);
    for _ in 0..10 {
        clients.clock.advance(Duration::from_secs(5));
        slow.touch();
        clients.table.check();
    }
    assert!(stalled.is_evicted() && unread.is_evicted());
    assert!(!slow.is_evicted());
}

// Guards against a slow message that is cut off by its own need for memory.
#[test]
fn a_connection_makes_no_room_by_its_own_end() {
    let clients = Clients::new();
    let slow = clients.add(1, Stage::Receiving).remove(0);
    clients.clock.advance(Duration::from_secs(10));
    assert!(!slow.make_room());
    assert!(!slow.is_evicted());
}

// Guards against connections that are closed and nobody can tell why.
#[test]
fn closed_connections_are_reported_once() {
    let reports = Arc::new(Mutex::new(Vec::new()));
    let (clock, kept) = (Arc::new(ManualClock::default()), reports.clone());
    let port = Port::new(LIMITS, clock.clone());
    let port = port.with_report(move |closed| kept.lock().expect("no panic").push(*closed));
    let table = Table::new(port);
    let conns: Vec<_> = (0..3).map(|_| table.add().expect("room")).collect();
    conns.iter().for_each(|conn| conn.set_stage(Stage::Receiving));
    conns[2].answer();
    assert!(conns[0].make_room());
    clock.advance(Duration::from_secs(20));
    table.check();
    table.check();
    let expected = Closed { refused: 1, stalled: 2, open: 3, ..Closed::default() };
    assert_eq!(*reports.lock().expect("no panic"), [expected]);
}

// Guards against connections that stay in the table after their end.
#[test]
fn a_closed_connection_leaves_the_table() {
    let clients = Clients::new();
    let conns = clients.add(3, Stage::Idle);
    conns[1].remove();
    assert_eq!(clients.table.len(), 2);
}
