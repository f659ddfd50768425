//! Planned stop: hands over the shards, waits until the load balancer has noticed, and answers the
//! remaining calls.

use super::Platform;
use super::calls::JobClient;
use super::daemon::Daemon;
use crate::clock::Clock;
use actix_web::dev::ServerHandle;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Time to hand over the shards.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Time from the request to stop until no new connections arrive: the load balancer checks
/// readiness once a second and stops sending after two failed checks.
const BALANCER_DELAY: Duration = Duration::from_millis(3200);

/// Time after that for the remaining calls; a longer wait would delay the start of the daemon's
/// successor.
const LAST_CALLS_TIMEOUT: Duration = Duration::from_secs(1);

/// Part of the remaining time reserved for sending answers to the callers.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);

/// Time for the last decisions on shards that no daemon has taken to become durable; a commit takes
/// 30 ms.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(200);

/// The HTTP servers of a daemon, and its open calls.
pub struct Servers {
    pub callers: ServerHandle,
    pub ready: ServerHandle,
    pub job_client: JobClient,
    /// Number of calls that have not been answered yet.
    pub open_calls: Arc<AtomicUsize>,
}

impl Servers {
    /// Stops a daemon within `grace`.
    pub async fn stop<P: Platform>(self, daemon: Daemon<P>, clock: &dyn Clock, grace: Duration) {
        let deadline = clock.now() + grace.min(BALANCER_DELAY + LAST_CALLS_TIMEOUT);
        // A call may have a deadline after the end of the daemon. Without this limit it would be
        // cut off, and its caller would not learn its outcome.
        self.job_client.set_shutdown_deadline(deadline.saturating_sub(ANSWER_MARGIN));
        let drain = daemon.drain(HANDOVER_TIMEOUT.min(grace / 2));
        tokio::join!(drain, tokio::time::sleep(BALANCER_DELAY.min(grace * 2 / 3)));
        // Completes when the last call is answered; idle connections are closed immediately.
        let callers_stopped = self.callers.stop(true);
        let left = deadline.saturating_sub(clock.now());
        // Only requests that have not been fully received can remain after the timeout.
        let _ = tokio::time::timeout(left, callers_stopped).await;
        self.ready.stop(false).await;
        daemon.release_shards(RELEASE_TIMEOUT).await;
        daemon.shut_down(self.open_calls.load(Ordering::Relaxed));
    }
}
