//! One try of a request at one endpoint, up to an answer that is known to be its own.

use crate::model::Idempotency;
use crate::request::arrival::Arrival;
use crate::request::conn::{Conn, Outgoing, SendError};
use crate::request::endpoint::Slot;
use crate::request::headers;
use crate::request::outcome::Reason;
use actix_web::http::header::{self, HeaderMap, HeaderName, HeaderValue};
use actix_web::http::{Method, StatusCode};
use awc::ClientResponse;
use awc::error::PayloadError;
use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use std::time::Duration;

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
    NotSent,
    Leaving,
    Full,
}

/// An answer that is this request's own.
pub(super) struct Answer {
    pub status: StatusCode,
    pub headers: Vec<(HeaderName, HeaderValue)>,
    pub body: AnswerBody,
}

/// The body of an answer.
pub(super) enum AnswerBody {
    Whole(Bytes),
    Stream(Box<AnswerStream>),
}

/// A body still to be read, with the slot and the connection that it comes over.
pub(super) struct AnswerStream {
    resp: ClientResponse,
    conn: Conn,
    slot: Slot,
    /// Bytes still to come, where the head said how many.
    left: Option<u64>,
}

/// A body that ended early; the caller's connection is cut, so that it can't pass for whole.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the endpoint's answer was cut ({0}); send the request again if that is harmless")]
pub(super) struct Cut(pub Reason);

/// Sends a request on a slot and reads the answer's head, and its body if it is short.
pub(super) async fn attempt(
    arrival: &Arrival,
    body: &Bytes,
    slot: Slot,
    mut conn: Conn,
    whole_bytes: usize,
    now: Duration,
) -> Tried {
    // A connection may have gone silent while idle. Here that costs a probe; found out after the
    // request was sent, nobody could say whether it ran.
    if arrival.idempotency == Idempotency::NonIdempotent && conn.probe().await.is_err() {
        return Tried::NotRun(NotRun::NotSent);
    }
    let out = outgoing(arrival, body, now);
    let resp = match conn.send(out).await {
        Ok(resp) => resp,
        Err(SendError::NotSent) => return Tried::NotRun(NotRun::NotSent),
        Err(SendError::Lost) => return Tried::Unknown(Reason::ConnectionLost),
    };
    if resp.headers().get(headers::REQUEST_ID).map(HeaderValue::as_bytes)
        != Some(arrival.id.as_str().as_bytes())
    {
        return Tried::Unknown(Reason::AnswerMismatch);
    }
    if let Some(why) = said_not_run(&resp) {
        return Tried::NotRun(why);
    }
    read_answer(arrival, resp, slot, conn, whole_bytes, now).await
}

async fn read_answer(
    arrival: &Arrival,
    resp: ClientResponse,
    slot: Slot,
    conn: Conn,
    whole_bytes: usize,
    now: Duration,
) -> Tried {
    let status = resp.status();
    let headers = answer_headers(resp.headers());
    let left = match framing(&arrival.method, &resp) {
        Framing::Length(length) => Some(length),
        Framing::Chunked => None,
        Framing::UntilClose => return Tried::Unknown(Reason::AnswerUnbounded),
    };
    let stream = AnswerStream { resp, conn, slot, left };
    let body = match left {
        Some(length) if length <= whole_bytes as u64 => match stream.read_whole(now).await {
            Ok(bytes) => AnswerBody::Whole(bytes),
            Err(Cut(reason)) => return Tried::Unknown(reason),
        },
        _ => AnswerBody::Stream(Box::new(stream)),
    };
    Tried::Answered(Answer { status, headers, body })
}

impl AnswerStream {
    /// Bytes to come, where the head said how many.
    pub fn length(&self) -> Option<u64> {
        self.left
    }

    async fn read_whole(mut self, now: Duration) -> Result<Bytes, Cut> {
        let mut buf = BytesMut::new();
        while let Some(chunk) = self.next().await {
            buf.extend_from_slice(&chunk?);
        }
        self.finish(now).await?;
        Ok(buf.freeze())
    }

    /// The next piece, or none at the end, which [`AnswerStream::finish`] then checks.
    pub async fn next(&mut self) -> Option<Result<Bytes, Cut>> {
        let chunk = self.resp.next().await?;
        Some(chunk.map_err(|_: PayloadError| Cut(Reason::AnswerCut)).and_then(|chunk| {
            if let Some(left) = &mut self.left {
                *left = left.checked_sub(chunk.len() as u64).ok_or(Cut(Reason::AnswerMismatch))?;
            }
            Ok(chunk)
        }))
    }

    /// Checks that the body was whole, and keeps the connection.
    ///
    /// The client library ends a chunked body in the same way when its last chunk came and when
    /// the connection was closed before that, so that a cut answer would pass for whole. Only in
    /// the first case is the connection still there, and a probe over it succeeds.
    pub async fn finish(self, now: Duration) -> Result<(), Cut> {
        let Self { resp, mut conn, slot, left } = self;
        drop(resp);
        match left {
            Some(0) => {}
            Some(_) => return Err(Cut(Reason::AnswerCut)),
            None => {
                conn.probe().await.map_err(|_| Cut(Reason::AnswerCut))?;
            }
        }
        slot.endpoint.keep_conn(conn, now);
        Ok(())
    }
}

fn outgoing(arrival: &Arrival, body: &Bytes, now: Duration) -> Outgoing {
    let mut headers = arrival.headers.clone();
    let millis = arrival.left(now).as_millis().to_string();
    push(&mut headers, headers::REQUEST_ID, arrival.id.as_str());
    push(&mut headers, headers::DEADLINE_MS, &millis);
    if let Some(team) = &arrival.team {
        push(&mut headers, headers::TEAM, team.as_str());
    }
    Outgoing {
        method: arrival.method.clone(),
        path: arrival.path.clone(),
        headers,
        body: body.clone(),
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

enum Framing {
    Length(u64),
    Chunked,
    UntilClose,
}

fn framing(method: &Method, resp: &ClientResponse) -> Framing {
    let bodiless = method == Method::HEAD
        || resp.status() == StatusCode::NO_CONTENT
        || resp.status() == StatusCode::NOT_MODIFIED;
    if bodiless {
        return Framing::Length(0);
    }
    let text = |name| resp.headers().get(name).and_then(|value: &HeaderValue| value.to_str().ok());
    if text(header::TRANSFER_ENCODING).is_some_and(|coding| coding.contains("chunked")) {
        return Framing::Chunked;
    }
    match text(header::CONTENT_LENGTH).and_then(|length| length.trim().parse().ok()) {
        Some(length) => Framing::Length(length),
        None => Framing::UntilClose,
    }
}

fn answer_headers(headers: &HeaderMap) -> Vec<(HeaderName, HeaderValue)> {
    headers
        .iter()
        .filter(|(name, _)| headers::is_passed_on(name))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
