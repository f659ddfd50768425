//! The planned stop: shards are given away, the balancer hears of it, callers get their answers.

use super::Platform;
use super::calls::Calls;
use super::daemon::Daemon;
use crate::clock::Clock;
use actix_web::dev::ServerHandle;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Time for giving the shards away at a planned stop.
const HAND_OVER: Duration = Duration::from_millis(1500);

/// From the request to stop until no new connections come: the balancer asks once a second and
/// stops after two misses.
const BALANCER: Duration = Duration::from_millis(3200);

/// After that, for the calls that wait: longer would keep the daemon's successor from starting.
const LAST_CALLS: Duration = Duration::from_secs(1);

/// Kept back from the end for the answers' way to their callers.
const ANSWER_TIME: Duration = Duration::from_millis(150);

/// For what was decided on shards that nobody has taken to become durable; a commit takes 30 ms.
const GIVE_UP: Duration = Duration::from_millis(200);

/// What a daemon answers with.
pub struct Servers {
    pub callers: ServerHandle,
    pub ready: ServerHandle,
    pub calls: Calls,
    /// Calls without an answer yet.
    pub open: Arc<AtomicUsize>,
}

impl Servers {
    /// Ends a daemon, within this time at the latest.
    pub async fn stop<P: Platform>(self, daemon: Daemon<P>, clock: &dyn Clock, grace: Duration) {
        let ends = clock.now() + grace.min(BALANCER + LAST_CALLS);
        // A call may wait for longer than is left: it was cut off, and its caller knew nothing.
        self.calls.end_by(ends.saturating_sub(ANSWER_TIME));
        let drained = daemon.drain(HAND_OVER.min(grace / 2));
        tokio::join!(drained, tokio::time::sleep(BALANCER.min(grace * 2 / 3)));
        // Returns as soon as the last call is answered; idle connections are closed at once.
        let answered = self.callers.stop(true);
        let left = ends.saturating_sub(clock.now());
        // What is left then is a request that wasn't read whole.
        let _ = tokio::time::timeout(left, answered).await;
        self.ready.stop(false).await;
        daemon.give_up(GIVE_UP).await;
        daemon.end(self.open.load(Ordering::Relaxed));
    }
}
