//! One try of a request at one endpoint, up to an answer that is known to be its own.

use crate::model::Idempotency;
use crate::request::answer::{Answer, AnswerBody, AnswerStream, Cut, Framing};
use crate::request::arrival::Arrival;
use crate::request::conn::{Conn, Outgoing, SendError, Stage};
use crate::request::endpoint::Endpoint;
use crate::request::fleet::Fleet;
use crate::request::headers;
use crate::request::outcome::Reason;
use crate::request::silence::{Part, Quiet, Watch};
use crate::request::slot::{Slot, Verdict};
use actix_web::http::StatusCode;
use actix_web::http::header::{HeaderName, HeaderValue};
use awc::ClientResponse;
use bytes::Bytes;
use std::rc::Rc;
use std::time::Duration;

/// An idle connection that showed no life for this long is probed before it is used.
const PROVE_AFTER: Duration = Duration::from_secs(1);

/// New connections tried before a non-idempotent request is given up as not sent.
const NEW_CONNS: u32 = 2;

/// How a try went.
pub(super) enum Tried {
    Answered(Answer),
    /// The endpoint did not run it and won't.
    NotRun(NotRun),
    /// It may have run.
    Unknown(Reason),
}

/// Why an endpoint surely did not run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NotRun {
    /// No connection could be opened.
    Unreachable,
    /// No connection was proved alive.
    Unproved,
    Leaving,
    Full,
}

impl NotRun {
    /// The reason that the caller is told.
    pub fn reason(self) -> Reason {
        match self {
            Self::Unreachable | Self::Unproved => Reason::ConnectFailed,
            Self::Leaving | Self::Full => Reason::EndpointsRefused,
        }
    }
}

/// What a try needs.
pub(super) struct Attempt<'a> {
    pub fleet: &'a Rc<Fleet>,
    pub arrival: &'a Arrival,
    pub body: &'a Bytes,
    /// Longest answer that is held back until it is whole.
    pub whole_bytes: usize,
}

impl Attempt<'_> {
    /// Sends the request on a slot and reads the answer's head, and its body if it is short.
    pub async fn run(&self, slot: Slot, endpoint: &Rc<Endpoint>) -> Tried {
        let at = self.fleet.now();
        let (resp, conn) = match self.head(&slot, endpoint).await {
            Ok(got) => got,
            Err(tried) => return tried,
        };
        if resp.headers().get(headers::REQUEST_ID).map(HeaderValue::as_bytes)
            != Some(self.arrival.id.as_str().as_bytes())
        {
            slot.judge(Verdict::Bad);
            return Tried::Unknown(Reason::AnswerMismatch);
        }
        if let Some(why) = said_not_run(&resp) {
            slot.settled();
            return Tried::NotRun(why);
        }
        self.answer(resp, slot, conn, at).await
    }

    async fn head(
        &self,
        slot: &Slot,
        endpoint: &Rc<Endpoint>,
    ) -> Result<(ClientResponse, Conn), Tried> {
        let mut conn = match self.ready_conn(endpoint).await {
            Ok(conn) => conn,
            Err(why) => {
                // One silent connection is not the endpoint's fault; several new ones are.
                slot.judge(Verdict::Bad);
                return Err(Tried::NotRun(why));
            }
        };
        loop {
            let reused = conn.stage() == Stage::Opened;
            slot.sending(&self.arrival.id);
            let watch = self.watch(endpoint, Part::Head);
            match watch.wait(conn.send(self.outgoing())).await {
                Ok(Ok(resp)) => return Ok((resp, conn)),
                Ok(Err(SendError::NotSent)) => {
                    slot.settled();
                    if !reused {
                        return Err(Tried::NotRun(NotRun::Unreachable));
                    }
                    // The idle connection was closed meanwhile, which says nothing about the
                    // endpoint.
                    conn = endpoint.new_conn(self.fleet.now());
                }
                Ok(Err(SendError::Lost)) => {
                    slot.judge(Verdict::Bad);
                    return Err(Tried::Unknown(Reason::ConnectionLost));
                }
                Err(quiet) => return Err(Tried::Unknown(judge_quiet(quiet, slot, endpoint))),
            }
        }
    }

    /// A connection to send over. One that has been idle, or that a non-idempotent request is to
    /// go over, is proved alive first: found silent now, it costs a probe; found silent after the
    /// request was sent, nobody could say whether the request ran.
    async fn ready_conn(&self, endpoint: &Rc<Endpoint>) -> Result<Conn, NotRun> {
        let careful = self.arrival.idempotency == Idempotency::NonIdempotent;
        let now = self.fleet.now();
        if let Some(mut conn) = endpoint.idle_conn(now) {
            let fresh = now.saturating_sub(conn.proved) < PROVE_AFTER;
            if (fresh && !careful) || conn.probe(None).await.is_ok() {
                return Ok(conn);
            }
            endpoint.close_idle();
        }
        if !careful {
            return Ok(endpoint.new_conn(now));
        }
        let mut failed = NotRun::Unproved;
        for _ in 0..NEW_CONNS {
            let mut conn = endpoint.new_conn(self.fleet.now());
            match conn.probe(None).await {
                Ok(_) => return Ok(conn),
                Err(SendError::NotSent) => failed = NotRun::Unreachable,
                Err(SendError::Lost) => failed = NotRun::Unproved,
            }
        }
        Err(failed)
    }

    async fn answer(&self, resp: ClientResponse, slot: Slot, conn: Conn, at: Duration) -> Tried {
        let status = resp.status();
        let headers = headers::passed_on(resp.headers());
        let left = match Framing::of(&self.arrival.method, &resp) {
            Framing::Length(length) => Some(length),
            Framing::Chunked => None,
            Framing::UntilClose => {
                slot.judge(Verdict::Bad);
                return Tried::Unknown(Reason::AnswerUnbounded);
            }
        };
        let short = left.is_some_and(|length| length <= self.whole_bytes as u64);
        let took = self.fleet.now().saturating_sub(at);
        let stream =
            AnswerStream::new(self.fleet, self.arrival, resp, Some(slot), conn, left, took);
        let body = if short {
            match stream.read_whole().await {
                Ok(bytes) => AnswerBody::Whole(bytes),
                Err(Cut(reason)) => return Tried::Unknown(reason),
            }
        } else {
            AnswerBody::Stream(Box::new(stream))
        };
        Tried::Answered(Answer { status, headers, body })
    }

    fn watch<'w>(&'w self, endpoint: &'w Endpoint, part: Part) -> Watch<'w> {
        let tail = self.fleet.tail(&self.arrival.service, &self.arrival.class);
        Watch { fleet: self.fleet, endpoint, id: &self.arrival.id, part, tail }
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

/// What a quiet connection means for the request, the endpoint and its other connections.
pub(super) fn judge_quiet(quiet: Quiet, slot: &Slot, endpoint: &Endpoint) -> Reason {
    match quiet {
        Quiet::Connection => {
            endpoint.close_idle();
            Reason::ConnectionSilent
        }
        Quiet::Endpoint => {
            slot.judge(Verdict::Bad);
            Reason::ConnectionLost
        }
    }
}

fn push(headers: &mut Vec<(HeaderName, HeaderValue)>, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.push((name, value));
    }
}

fn said_not_run(resp: &ClientResponse) -> Option<NotRun> {
    if resp.status() != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    match resp.headers().get(headers::NOT_RUN)?.as_bytes() {
        b"leaving" => Some(NotRun::Leaving),
        b"full" => Some(NotRun::Full),
        _ => None,
    }
}
