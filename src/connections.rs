//! HTTP connections to servers, kept open for reuse.
//!
//! A connection can go silent without a reset. Then the others to the same server are likely to be
//! silent as well, and calls that try them in turn take longer the more there are. So a call that
//! gets no answer discards the whole pool of its server, and the next one opens a connection.

use awc::Client;
use indexmap::IndexMap;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// Pools of servers that weren't called for this long are dropped, at most as long again later.
const IDLE_TIME: Duration = Duration::from_secs(120);

/// Connection pools of any number of servers, for use on one thread.
#[derive(Clone)]
pub struct Connections {
    shared: Rc<Shared>,
}

struct Shared {
    new_client: Box<dyn Fn() -> Client>,
    pools: RefCell<Pools>,
}

#[derive(Default)]
struct Pools {
    by_server: IndexMap<Rc<str>, Pool>,
    /// Number of pools created so far.
    created: u64,
    /// When unused pools were last dropped. Looking for them at each new pool would take a time that
    /// grows with the number of servers.
    swept_at: Option<Instant>,
}

/// A client whose connections all lead to one server.
struct Pool {
    client: Client,
    number: u64,
    last_used: Instant,
}

/// Connection pool of one server, as a call found it.
pub struct ServerConnections {
    client: Client,
    server: Rc<str>,
    number: u64,
    shared: Rc<Shared>,
}

impl Connections {
    /// Creates pools whose connections are opened by clients from `new_client`.
    pub fn new(new_client: impl Fn() -> Client + 'static) -> Self {
        let shared = Shared { new_client: Box::new(new_client), pools: RefCell::default() };
        Self { shared: Rc::new(shared) }
    }

    /// Returns the pool of a server, given by its address or URL.
    pub fn server(&self, server: &str) -> ServerConnections {
        self.server_at(server, Instant::now())
    }

    fn server_at(&self, server: &str, now: Instant) -> ServerConnections {
        let mut pools = self.shared.pools.borrow_mut();
        let pools = &mut *pools;
        if !pools.by_server.contains_key(server) {
            pools.drop_unused(now);
            pools.created += 1;
            let client = (self.shared.new_client)();
            let pool = Pool { client, number: pools.created, last_used: now };
            pools.by_server.insert(Rc::from(server), pool);
        }
        let (_, server, pool) =
            pools.by_server.get_full_mut(server).expect("the server's pool was just created");
        pool.last_used = now;
        ServerConnections {
            client: pool.client.clone(),
            server: server.clone(),
            number: pool.number,
            shared: self.shared.clone(),
        }
    }
}

impl Pools {
    /// Drops the pools of servers that weren't called for a while.
    fn drop_unused(&mut self, now: Instant) {
        let swept_at = *self.swept_at.get_or_insert(now);
        if now - swept_at >= IDLE_TIME {
            self.swept_at = Some(now);
            self.by_server.retain(|_, pool| now - pool.last_used < IDLE_TIME);
        }
    }
}

impl ServerConnections {
    /// Client that takes its connections from this pool.
    pub fn client(&self) -> &Client {
        &self.client
    }

    /// Discards the pool after a call without an answer. Calls in progress keep their connections,
    /// which close with the last of them. Has no effect on a newer pool, as its connections were
    /// opened later.
    pub fn discard(&self) {
        let mut pools = self.shared.pools.borrow_mut();
        if pools.by_server.get(&self.server).is_some_and(|pool| pool.number == self.number) {
            pools.by_server.swap_remove(&self.server);
        }
    }
}
