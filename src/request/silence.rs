//! Distinguishes a silent connection from a slow endpoint.
//!
//! Both look the same on the connection itself, where no data arrives, so the endpoint is probed
//! over another connection. If the probe fails too, the endpoint is at fault. If the endpoint
//! reports that the request is running, the request is slow. If it reports that the request is not
//! running and still no data arrives, the connection has lost the answer. An endpoint that doesn't
//! report request states is given a timeout based on the usual duration of such requests. The
//! caller's deadline plays no part in this.

use crate::ids::RequestId;
use crate::request::conn::RequestState;
use crate::request::endpoint::Endpoint;
use crate::request::fleet::Fleet;
use std::future::Future;
use std::pin::pin;
use std::time::Duration;

/// Time without data before the endpoint is probed.
const FIRST_PROBE_DELAY: Duration = Duration::from_millis(500);

/// Time between probes while the request is running.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Delay before the next probe otherwise, in which an answer already sent can arrive.
const RECHECK_DELAY: Duration = Duration::from_millis(200);

/// Consecutive probes that must report the request as not running: the first one may cross the
/// answer on its way.
const MIN_NOT_RUNNING: u32 = 2;

/// Consecutive failed probes after which the endpoint is at fault.
const MAX_UNANSWERED: u32 = 3;

/// Shortest timeout for the head of an answer if the endpoint doesn't report request states.
const MIN_UNREPORTED_LIMIT: Duration = Duration::from_secs(2);

/// The same timeout as a multiple of the tail service time of the class.
const UNREPORTED_TAIL_FACTOR: u32 = 4;

/// Longest gap within a body, even while the request is reported as running: the endpoint may be
/// blocked writing to a connection that accepts no data.
const MAX_BODY_GAP: Duration = Duration::from_secs(30);

/// Why no data arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Silence {
    /// The connection is silent; the endpoint is healthy.
    Connection,
    /// The endpoint doesn't answer on other connections either.
    Endpoint,
}

/// The part of the answer being waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AnswerPart {
    Head,
    Body,
}

/// Watches one request for silence.
pub(super) struct SilenceDetector<'a> {
    pub fleet: &'a Fleet,
    pub endpoint: &'a Endpoint,
    pub id: &'a RequestId,
    pub part: AnswerPart,
    /// Tail service time of the class.
    pub tail: Duration,
}

/// Results of the probes so far.
#[derive(Debug, Default)]
struct ProbeHistory {
    silent_for: Duration,
    not_running: u32,
    unanswered: u32,
}

impl SilenceDetector<'_> {
    /// Waits for `fut`, or returns why it is not expected to complete.
    pub async fn wait<F: Future>(&self, fut: F) -> Result<F::Output, Silence> {
        let mut fut = pin!(fut);
        let start = self.fleet.now();
        let mut history = ProbeHistory::default();
        let mut delay = FIRST_PROBE_DELAY;
        loop {
            if let Ok(out) = actix_web::rt::time::timeout(delay, &mut fut).await {
                return Ok(out);
            }
            let now = self.fleet.now();
            history.silent_for = now.saturating_sub(start);
            let state = tokio::select! {
                out = &mut fut => return Ok(out),
                probed = self.endpoint.probe(Some(self.id), now) => probed.map(|reply| reply.state),
            };
            delay = self.evaluate(state, &mut history)?;
        }
    }

    /// Returns the delay until the next probe, or why no data arrives.
    fn evaluate(
        &self,
        state: Option<RequestState>,
        history: &mut ProbeHistory,
    ) -> Result<Duration, Silence> {
        match state {
            None => {
                history.unanswered += 1;
                if history.unanswered >= MAX_UNANSWERED {
                    Err(Silence::Endpoint)
                } else {
                    Ok(RECHECK_DELAY)
                }
            }
            Some(RequestState::NotRunning) => {
                history.unanswered = 0;
                history.not_running += 1;
                if history.not_running >= MIN_NOT_RUNNING {
                    Err(Silence::Connection)
                } else {
                    Ok(RECHECK_DELAY)
                }
            }
            Some(RequestState::Running) => {
                (history.unanswered, history.not_running) = (0, 0);
                let stuck = self.part == AnswerPart::Body && history.silent_for > MAX_BODY_GAP;
                if stuck { Err(Silence::Connection) } else { Ok(PROBE_INTERVAL) }
            }
            Some(RequestState::Unreported) => {
                history.unanswered = 0;
                if history.silent_for > self.unreported_limit() {
                    Err(Silence::Connection)
                } else {
                    Ok(RECHECK_DELAY)
                }
            }
        }
    }

    fn unreported_limit(&self) -> Duration {
        match self.part {
            AnswerPart::Head => (self.tail * UNREPORTED_TAIL_FACTOR).max(MIN_UNREPORTED_LIMIT),
            AnswerPart::Body => MAX_BODY_GAP,
        }
    }
}
