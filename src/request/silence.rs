//! Telling a connection that went silent from an endpoint that takes its time.
//!
//! Both look the same on the connection itself: nothing comes. So another connection to the same
//! endpoint is asked. If the endpoint doesn't answer there either, it is the endpoint. If it says
//! that the request runs, the request is slow. If it says that nothing of the request runs, and
//! nothing comes, the connection has lost the answer. An endpoint that doesn't say gets a time
//! that goes by how long such requests usually take. None of this looks at the caller's deadline.

use crate::ids::RequestId;
use crate::request::conn::RequestState;
use crate::request::endpoint::Endpoint;
use crate::request::fleet::Fleet;
use std::future::Future;
use std::pin::pin;
use std::time::Duration;

/// Quiet time before the endpoint is asked.
const FIRST_LOOK: Duration = Duration::from_millis(500);

/// Time between looks while the request runs.
const NEXT_LOOK: Duration = Duration::from_secs(1);

/// Time for an answer that was sent already to arrive.
const GRACE: Duration = Duration::from_millis(200);

/// Words in a row that the request does not run: the first may cross the answer.
const SURE: u32 = 2;

/// Looks in a row without an answer, after which it is the endpoint.
const GONE: u32 = 3;

/// Shortest quiet time for which an endpoint that doesn't say is given up on.
const LEAST_UNSAID: Duration = Duration::from_secs(2);

/// The same as a multiple of the time that few requests exceed.
const UNSAID_TAILS: u32 = 4;

/// Quiet time in the middle of a body beyond which even a running request won't go on: the
/// endpoint may be stuck in sending to a connection that takes nothing.
const LONGEST_GAP: Duration = Duration::from_secs(30);

/// Why nothing comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Quiet {
    /// The connection is silent; the endpoint is well.
    Connection,
    /// The endpoint doesn't answer on other connections either.
    Endpoint,
}

/// Which part of the answer is awaited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Part {
    Head,
    Body,
}

/// What is watched.
pub(super) struct Watch<'a> {
    pub fleet: &'a Fleet,
    pub endpoint: &'a Endpoint,
    pub id: &'a RequestId,
    pub part: Part,
    /// Time that few requests of the class exceed.
    pub tail: Duration,
}

/// Findings so far.
#[derive(Debug, Default)]
struct Findings {
    quiet: Duration,
    not_running: u32,
    unanswered: u32,
}

impl Watch<'_> {
    /// Waits for `fut` unless it won't come.
    pub async fn wait<F: Future>(&self, fut: F) -> Result<F::Output, Quiet> {
        let mut fut = pin!(fut);
        let start = self.fleet.now();
        let mut findings = Findings::default();
        let mut pause = FIRST_LOOK;
        loop {
            if let Ok(out) = actix_web::rt::time::timeout(pause, &mut fut).await {
                return Ok(out);
            }
            let now = self.fleet.now();
            findings.quiet = now.saturating_sub(start);
            let state = tokio::select! {
                out = &mut fut => return Ok(out),
                probed = self.endpoint.probe(Some(self.id), now) => probed.map(|reply| reply.state),
            };
            pause = self.judge(state, &mut findings)?;
        }
    }

    /// The pause until the next look, or why nothing comes.
    fn judge(
        &self,
        state: Option<RequestState>,
        findings: &mut Findings,
    ) -> Result<Duration, Quiet> {
        match state {
            None => {
                findings.unanswered += 1;
                if findings.unanswered >= GONE { Err(Quiet::Endpoint) } else { Ok(GRACE) }
            }
            Some(RequestState::NotRunning) => {
                findings.unanswered = 0;
                findings.not_running += 1;
                if findings.not_running >= SURE { Err(Quiet::Connection) } else { Ok(GRACE) }
            }
            Some(RequestState::Running) => {
                (findings.unanswered, findings.not_running) = (0, 0);
                let stuck = self.part == Part::Body && findings.quiet > LONGEST_GAP;
                if stuck { Err(Quiet::Connection) } else { Ok(NEXT_LOOK) }
            }
            Some(RequestState::Unreported) => {
                findings.unanswered = 0;
                if findings.quiet > self.unsaid_limit() {
                    Err(Quiet::Connection)
                } else {
                    Ok(GRACE)
                }
            }
        }
    }

    fn unsaid_limit(&self) -> Duration {
        match self.part {
            Part::Head => (self.tail * UNSAID_TAILS).max(LEAST_UNSAID),
            Part::Body => LONGEST_GAP,
        }
    }
}
