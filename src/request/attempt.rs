//! One attempt of a request on one endpoint, up to an answer verified to belong to the request.

use crate::model::Idempotency;
use crate::request::answer::{Answer, AnswerBody, AnswerStream, Framing, Truncated};
use crate::request::arrival::Arrival;
use crate::request::conn::{Conn, Outgoing, SendError, Stage};
use crate::request::endpoint::Endpoint;
use crate::request::fleet::Fleet;
use crate::request::headers;
use crate::request::outcome::Reason;
use crate::request::silence::{AnswerPart, Silence, SilenceDetector};
use crate::request::slot::{Evidence, Slot};
use actix_web::http::StatusCode;
use actix_web::http::header::{HeaderName, HeaderValue};
use awc::ClientResponse;
use bytes::Bytes;
use std::rc::Rc;
use std::time::Duration;

/// An idle connection without traffic for this long is probed before it is reused.
const PROBE_IDLE_AFTER: Duration = Duration::from_secs(1);

/// New connections to open before a non-idempotent request is reported as not sent.
const MAX_NEW_CONNS: u32 = 2;

/// Result of an attempt.
pub(super) enum AttemptResult {
    Answered(Answer),
    /// The endpoint did not run the request and won't.
    NotRun(NotRun),
    /// The endpoint may have run the request.
    Unknown(Reason),
}

/// Why an endpoint is known not to have run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NotRun {
    /// No connection could be opened.
    Unreachable,
    /// Connections were opened, but none answered a probe.
    Unproved,
    Leaving,
    Full,
}

impl NotRun {
    /// The reason reported to the caller.
    pub fn reason(self) -> Reason {
        match self {
            Self::Unreachable | Self::Unproved => Reason::ConnectFailed,
            Self::Leaving | Self::Full => Reason::EndpointsRefused,
        }
    }
}

/// Inputs of an attempt.
pub(super) struct Attempt<'a> {
    pub fleet: &'a Rc<Fleet>,
    pub arrival: &'a Arrival,
    pub body: &'a Bytes,
    /// Longest answer that is buffered until it is complete.
    pub max_buffered_bytes: usize,
}

impl Attempt<'_> {
    /// Sends the request and reads the head of the answer, and the body too if it is short.
    pub async fn run(&self, slot: Slot, endpoint: &Rc<Endpoint>) -> AttemptResult {
        let at = self.fleet.now();
        let (resp, conn) = match self.head(&slot, endpoint).await {
            Ok(got) => got,
            Err(tried) => return tried,
        };
        if resp.headers().get(headers::REQUEST_ID).map(HeaderValue::as_bytes)
            != Some(self.arrival.id.as_str().as_bytes())
        {
            slot.record(Evidence::Bad);
            return AttemptResult::Unknown(Reason::AnswerMismatch);
        }
        if let Some(why) = reported_not_run(&resp) {
            slot.mark_ended();
            return AttemptResult::NotRun(why);
        }
        self.answer(resp, slot, conn, at).await
    }

    async fn head(
        &self,
        slot: &Slot,
        endpoint: &Rc<Endpoint>,
    ) -> Result<(ClientResponse, Conn), AttemptResult> {
        let mut conn = match self.usable_conn(endpoint).await {
            Ok(conn) => conn,
            Err(why) => {
                // A silent idle connection is not evidence against the endpoint; new ones that fail
                // are.
                slot.record(Evidence::Bad);
                return Err(AttemptResult::NotRun(why));
            }
        };
        loop {
            let reused = conn.stage() == Stage::Opened;
            slot.mark_sent(&self.arrival.id);
            let detector = self.silence_detector(endpoint, AnswerPart::Head);
            match detector.wait(conn.send(self.outgoing())).await {
                Ok(Ok(resp)) => return Ok((resp, conn)),
                Ok(Err(SendError::NotSent)) => {
                    slot.mark_ended();
                    if !reused {
                        return Err(AttemptResult::NotRun(NotRun::Unreachable));
                    }
                    // The endpoint closed the idle connection, which is not evidence against it.
                    conn = endpoint.new_conn(self.fleet.now());
                }
                Ok(Err(SendError::Lost)) => {
                    slot.record(Evidence::Bad);
                    return Err(AttemptResult::Unknown(Reason::ConnectionLost));
                }
                Err(silence) => {
                    return Err(AttemptResult::Unknown(record_silence(silence, slot, endpoint)));
                }
            }
        }
    }

    /// Returns a connection to send on. It is probed first if it has been idle or if the request is
    /// not idempotent: a silent connection found by a probe costs only that probe, while one found
    /// after the request was sent leaves the outcome unknown.
    async fn usable_conn(&self, endpoint: &Rc<Endpoint>) -> Result<Conn, NotRun> {
        let must_probe = self.arrival.idempotency == Idempotency::NonIdempotent;
        let now = self.fleet.now();
        if let Some(mut conn) = endpoint.idle_conn(now) {
            let recently_active = now.saturating_sub(conn.last_active) < PROBE_IDLE_AFTER;
            if (recently_active && !must_probe) || conn.probe(None).await.is_ok() {
                return Ok(conn);
            }
            endpoint.close_idle();
        }
        if !must_probe {
            return Ok(endpoint.new_conn(now));
        }
        let mut last_failure = NotRun::Unproved;
        for _ in 0..MAX_NEW_CONNS {
            let mut conn = endpoint.new_conn(self.fleet.now());
            match conn.probe(None).await {
                Ok(_) => return Ok(conn),
                Err(SendError::NotSent) => last_failure = NotRun::Unreachable,
                Err(SendError::Lost) => last_failure = NotRun::Unproved,
            }
        }
        Err(last_failure)
    }

    async fn answer(
        &self,
        resp: ClientResponse,
        slot: Slot,
        conn: Conn,
        at: Duration,
    ) -> AttemptResult {
        let status = resp.status();
        let headers = headers::forwarded_headers(resp.headers());
        let left = match Framing::of(&self.arrival.method, &resp) {
            Framing::Length(length) => Some(length),
            Framing::Chunked => None,
            Framing::UntilClose => {
                slot.record(Evidence::Bad);
                return AttemptResult::Unknown(Reason::AnswerUnbounded);
            }
        };
        let short = left.is_some_and(|length| length <= self.max_buffered_bytes as u64);
        let took = self.fleet.now().saturating_sub(at);
        let stream =
            AnswerStream::new(self.fleet, self.arrival, resp, Some(slot), conn, left, took);
        let body = if short {
            match stream.read_whole().await {
                Ok(bytes) => AnswerBody::Whole(bytes),
                Err(Truncated(reason)) => return AttemptResult::Unknown(reason),
            }
        } else {
            AnswerBody::Stream(Box::new(stream))
        };
        AttemptResult::Answered(Answer { status, headers, body })
    }

    fn silence_detector<'w>(
        &'w self,
        endpoint: &'w Endpoint,
        part: AnswerPart,
    ) -> SilenceDetector<'w> {
        let tail = self.fleet.tail(&self.arrival.service, &self.arrival.class);
        SilenceDetector { fleet: self.fleet, endpoint, id: &self.arrival.id, part, tail }
    }

    fn outgoing(&self) -> Outgoing {
        let arrival = self.arrival;
        let mut headers = arrival.headers.clone();
        let millis = arrival.left(self.fleet.now()).as_millis().to_string();
        push(&mut headers, headers::REQUEST_ID, arrival.id.as_str());
        push(&mut headers, headers::DEADLINE_MS, &millis);
        if let Some(team) = &arrival.team {
            push(&mut headers, headers::TEAM, team.as_str());
        }
        Outgoing {
            method: arrival.method.clone(),
            path: arrival.path.clone(),
            headers,
            body: self.body.clone(),
        }
    }
}

/// Records why a connection went silent, closing suspect idle connections, and returns the reason
/// for the request.
pub(super) fn record_silence(silence: Silence, slot: &Slot, endpoint: &Endpoint) -> Reason {
    match silence {
        Silence::Connection => {
            endpoint.close_idle();
            Reason::ConnectionSilent
        }
        Silence::Endpoint => {
            slot.record(Evidence::Bad);
            Reason::ConnectionLost
        }
    }
}

fn push(headers: &mut Vec<(HeaderName, HeaderValue)>, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.push((name, value));
    }
}

fn reported_not_run(resp: &ClientResponse) -> Option<NotRun> {
    if resp.status() != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    match resp.headers().get(headers::NOT_RUN)?.as_bytes() {
        b"leaving" => Some(NotRun::Leaving),
        b"full" => Some(NotRun::Full),
        _ => None,
    }
}
