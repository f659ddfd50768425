//! The answer of an endpoint, and the check that it is complete.

use crate::ids::RequestId;
use crate::request::arrival::Arrival;
use crate::request::attempt::record_silence;
use crate::request::conn::Conn;
use crate::request::fleet::Fleet;
use crate::request::outcome::Reason;
use crate::request::silence::{AnswerPart, SilenceDetector};
use crate::request::slot::{Evidence, Slot};
use actix_web::http::header::{self, HeaderName, HeaderValue};
use actix_web::http::{Method, StatusCode};
use actix_web::rt::time::timeout;
use awc::ClientResponse;
use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use std::rc::Rc;
use std::time::Duration;

/// An answer verified to belong to the request.
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

/// A body that is still being read, with its slot and connection.
pub(super) struct AnswerStream {
    fleet: Rc<Fleet>,
    id: RequestId,
    status: StatusCode,
    due: Duration,
    tail: Duration,
    resp: ClientResponse,
    conn: Conn,
    /// None if the answer comes from another daemon.
    slot: Option<Slot>,
    /// Bytes not yet received, if the length is known.
    left: Option<u64>,
    /// Time spent waiting for the endpoint, which excludes waiting for a caller that reads slowly.
    took: Duration,
}

/// A body that ended early. The caller's connection is closed, so that the answer isn't taken as
/// complete.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the endpoint's answer was cut ({0}); send the request again if that is harmless")]
pub(super) struct Truncated(pub Reason);

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Framing {
    Length(u64),
    Chunked,
    UntilClose,
}

impl AnswerStream {
    /// Creates the body that follows a response head, of `left` bytes if its length is known.
    pub fn new(
        fleet: &Rc<Fleet>,
        arrival: &Arrival,
        resp: ClientResponse,
        slot: Option<Slot>,
        conn: Conn,
        left: Option<u64>,
        took: Duration,
    ) -> Self {
        Self {
            fleet: Rc::clone(fleet),
            id: arrival.id.clone(),
            status: resp.status(),
            due: arrival.due,
            tail: fleet.tail(&arrival.service, &arrival.class),
            resp,
            conn,
            slot,
            left,
            took,
        }
    }

    /// Bytes not yet received, if the length is known.
    pub fn length(&self) -> Option<u64> {
        self.left
    }

    /// Time until the deadline of the answer.
    pub fn time_left(&self) -> Duration {
        self.due.saturating_sub(self.fleet.now())
    }

    /// Reads the body to its end.
    pub async fn read_whole(mut self) -> Result<Bytes, Truncated> {
        let mut buf = BytesMut::new();
        while let Some(chunk) = self.next().await {
            buf.extend_from_slice(&chunk?);
        }
        self.finish().await?;
        Ok(buf.freeze())
    }

    /// Returns the next chunk, or none at the end, which [`AnswerStream::finish`] must then check.
    pub async fn next(&mut self) -> Option<Result<Bytes, Truncated>> {
        let asked = self.fleet.now();
        let got = timeout(self.time_left(), self.next_or_silence())
            .await
            .unwrap_or(Some(Err(Truncated(Reason::DeadlinePassed))));
        self.took += self.fleet.now().saturating_sub(asked);
        let chunk = match got? {
            Ok(chunk) => chunk,
            Err(truncated) => return Some(Err(truncated)),
        };
        if let Some(left) = &mut self.left {
            match left.checked_sub(chunk.len() as u64) {
                Some(rest) => *left = rest,
                None => return Some(Err(Truncated(Reason::AnswerMismatch))),
            }
        }
        Some(Ok(chunk))
    }

    async fn next_or_silence(&mut self) -> Option<Result<Bytes, Truncated>> {
        let Self { fleet, id, tail, resp, slot, .. } = self;
        let Some((slot, endpoint)) = slot.as_ref().and_then(Slot::at) else {
            let truncated = |_| Truncated(Reason::AnswerCut);
            return resp.next().await.map(|chunk| chunk.map_err(truncated));
        };
        let detector = SilenceDetector { fleet, endpoint, id, part: AnswerPart::Body, tail: *tail };
        match detector.wait(resp.next()).await {
            Ok(None) => None,
            Ok(Some(Ok(chunk))) => Some(Ok(chunk)),
            Ok(Some(Err(_))) => {
                slot.record(Evidence::Bad);
                Some(Err(Truncated(Reason::AnswerCut)))
            }
            Err(silence) => Some(Err(Truncated(record_silence(silence, slot, endpoint)))),
        }
    }

    /// Checks that the body is complete, and returns the connection to the idle pool.
    ///
    /// The client library reports the same end of a chunked body whether the last chunk arrived or
    /// the connection was closed before it, so that a truncated answer would look complete. Only in
    /// the first case is the connection still open, so that a probe over it succeeds.
    pub async fn finish(self) -> Result<(), Truncated> {
        let Self { fleet, status, resp, mut conn, slot, left, took, .. } = self;
        drop(resp);
        let whole = match left {
            Some(left) => left == 0,
            None => conn.probe(None).await.is_ok(),
        };
        let at = slot.as_ref().and_then(Slot::at);
        match at {
            Some((slot, endpoint)) if whole => {
                slot.mark_ended();
                let good = !status.is_server_error();
                slot.record(if good { Evidence::Good { took } } else { Evidence::Bad });
                endpoint.keep_conn(conn, endpoint.in_flight(), fleet.now());
            }
            Some((slot, _)) => slot.record(Evidence::Bad),
            None => {}
        }
        if whole { Ok(()) } else { Err(Truncated(Reason::AnswerCut)) }
    }
}

impl Framing {
    /// Determines how the answer to a request with `method` ends.
    pub fn of(method: &Method, resp: &ClientResponse) -> Self {
        let bodiless = method == Method::HEAD
            || resp.status() == StatusCode::NO_CONTENT
            || resp.status() == StatusCode::NOT_MODIFIED;
        if bodiless {
            return Self::Length(0);
        }
        let text =
            |name| resp.headers().get(name).and_then(|value: &HeaderValue| value.to_str().ok());
        if text(header::TRANSFER_ENCODING).is_some_and(|coding| coding.contains("chunked")) {
            return Self::Chunked;
        }
        match text(header::CONTENT_LENGTH).and_then(|length| length.trim().parse().ok()) {
            Some(length) => Self::Length(length),
            None => Self::UntilClose,
        }
    }
}
