//! An endpoint's answer, and the check that it is whole.

use crate::ids::RequestId;
use crate::request::arrival::Arrival;
use crate::request::attempt::record_silence;
use crate::request::conn::Conn;
use crate::request::fleet::Fleet;
use crate::request::outcome::Reason;
use crate::request::silence::{AnswerPart, SilenceDetector};
use crate::request::slot::{Slot, Verdict};
use actix_web::http::header::{self, HeaderName, HeaderValue};
use actix_web::http::{Method, StatusCode};
use actix_web::rt::time::timeout;
use awc::ClientResponse;
use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use std::rc::Rc;
use std::time::Duration;

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
    fleet: Rc<Fleet>,
    id: RequestId,
    status: StatusCode,
    due: Duration,
    tail: Duration,
    resp: ClientResponse,
    conn: Conn,
    /// None for an answer that another daemon forwards.
    slot: Option<Slot>,
    /// Bytes still to come, where the head said how many.
    left: Option<u64>,
    /// Time that the endpoint took so far; a caller that reads slowly is not its fault.
    took: Duration,
}

/// A body that ended early; the caller's connection is cut, so that it can't pass for whole.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the endpoint's answer was cut ({0}); send the request again if that is harmless")]
pub(super) struct Cut(pub Reason);

/// How the end of a body is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Framing {
    Length(u64),
    Chunked,
    UntilClose,
}

impl AnswerStream {
    /// The body that follows a head, with `left` bytes if that was said.
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

    /// Bytes to come, where the head said how many.
    pub fn length(&self) -> Option<u64> {
        self.left
    }

    /// Time until the whole answer is due.
    pub fn time_left(&self) -> Duration {
        self.due.saturating_sub(self.fleet.now())
    }

    /// Reads the body to its end.
    pub async fn read_whole(mut self) -> Result<Bytes, Cut> {
        let mut buf = BytesMut::new();
        while let Some(chunk) = self.next().await {
            buf.extend_from_slice(&chunk?);
        }
        self.finish().await?;
        Ok(buf.freeze())
    }

    /// The next piece, or none at the end, which [`AnswerStream::finish`] then checks.
    pub async fn next(&mut self) -> Option<Result<Bytes, Cut>> {
        let asked = self.fleet.now();
        let got = timeout(self.time_left(), self.next_or_silence())
            .await
            .unwrap_or(Some(Err(Cut(Reason::DeadlinePassed))));
        self.took += self.fleet.now().saturating_sub(asked);
        let chunk = match got? {
            Ok(chunk) => chunk,
            Err(cut) => return Some(Err(cut)),
        };
        if let Some(left) = &mut self.left {
            match left.checked_sub(chunk.len() as u64) {
                Some(rest) => *left = rest,
                None => return Some(Err(Cut(Reason::AnswerMismatch))),
            }
        }
        Some(Ok(chunk))
    }

    async fn next_or_silence(&mut self) -> Option<Result<Bytes, Cut>> {
        let Self { fleet, id, tail, resp, slot, .. } = self;
        let Some((slot, endpoint)) = slot.as_ref().and_then(Slot::at) else {
            let cut = |_| Cut(Reason::AnswerCut);
            return resp.next().await.map(|chunk| chunk.map_err(cut));
        };
        let detector = SilenceDetector { fleet, endpoint, id, part: AnswerPart::Body, tail: *tail };
        match detector.wait(resp.next()).await {
            Ok(None) => None,
            Ok(Some(Ok(chunk))) => Some(Ok(chunk)),
            Ok(Some(Err(_))) => {
                slot.judge(Verdict::Bad);
                Some(Err(Cut(Reason::AnswerCut)))
            }
            Err(silence) => Some(Err(Cut(record_silence(silence, slot, endpoint)))),
        }
    }

    /// Checks that the body was whole, and keeps the connection.
    ///
    /// The client library ends a chunked body in the same way when its last chunk came and when
    /// the connection was closed before that, so that a cut answer would pass for whole. Only in
    /// the first case is the connection still there, and a probe over it succeeds.
    pub async fn finish(self) -> Result<(), Cut> {
        let Self { fleet, status, resp, mut conn, slot, left, took, .. } = self;
        drop(resp);
        let whole = match left {
            Some(left) => left == 0,
            None => conn.probe(None).await.is_ok(),
        };
        let at = slot.as_ref().and_then(Slot::at);
        match at {
            Some((slot, endpoint)) if whole => {
                slot.settled();
                let good = !status.is_server_error();
                slot.judge(if good { Verdict::Good { took } } else { Verdict::Bad });
                endpoint.keep_conn(conn, endpoint.in_flight(), fleet.now());
            }
            Some((slot, _)) => slot.judge(Verdict::Bad),
            None => {}
        }
        if whole { Ok(()) } else { Err(Cut(Reason::AnswerCut)) }
    }
}

impl Framing {
    /// How an answer to a request by `method` ends.
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
