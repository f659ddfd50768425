//! Forwards requests to a daemon of another domain when no local endpoint has a free slot.
//!
//! A forwarded request is never forwarded again, which prevents loops. Forwarding is tried only if
//! no local endpoint received the request and enough time is left to run it elsewhere.

use crate::ids::{DaemonId, DomainId};
use crate::request::admission::Rejection;
use crate::request::answer::{Answer, AnswerBody, AnswerStream, Framing};
use crate::request::arrival::Arrival;
use crate::request::conn::{Conn, Outgoing, SendError};
use crate::request::dispatch::Inner;
use crate::request::headers;
use crate::request::journal::Try;
use crate::request::outcome::{Outcome, Reason, Refusal};
use actix_web::http::header::{self, HeaderValue};
use awc::ClientResponse;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::rc::Rc;
use std::time::Duration;

/// Time for which a daemon that could not be reached is not used for forwarding.
const UNREACHABLE_BACKOFF: Duration = Duration::from_secs(5);

/// The HTTP front end of another daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerFront {
    pub id: DaemonId,
    pub domain: DomainId,
    /// Address that callers use, `ip:port`.
    pub addr: String,
}

/// A daemon to forward to.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub front: PeerFront,
    pub skip_until: Duration,
}

impl Inner {
    /// Forwards a request that got no local slot; returns none if that is not possible or useless.
    pub(super) async fn forward(
        self: &Rc<Self>,
        arrival: &Arrival,
        body: &Bytes,
        rejection: Rejection,
    ) -> Option<Result<Answer, Refusal>> {
        let may_help = matches!(
            rejection.reason,
            Reason::NoEndpoint | Reason::QueueFull | Reason::NoSlot | Reason::DeadlineTooShort
        );
        if arrival.forwarded || !may_help || self.draining.get() {
            return None;
        }
        let now = self.fleet.now();
        let estimate = self.fleet.estimate(&arrival.service, &arrival.class)?;
        if arrival.left(now) < estimate.mean() {
            return None;
        }
        let peer = self.next_peer(now)?;
        let left = arrival.left(now);
        let sent =
            actix_web::rt::time::timeout(left, self.send_to_peer(arrival, body, &peer)).await;
        let result = sent.unwrap_or(Err(Refusal::unknown(Reason::DeadlinePassed)));
        self.record_forward(arrival, &peer, now, &result);
        match result {
            // Nothing was sent; the local refusal is more informative.
            Err(refusal) if refusal == NOT_SENT => {
                self.skip_peer(&peer, now);
                None
            }
            result => Some(result),
        }
    }

    fn next_peer(&self, now: Duration) -> Option<PeerFront> {
        let mut peers = self.peers.borrow_mut();
        let available =
            |peer: &Peer| peer.front.domain != self.settings.domain && peer.skip_until <= now;
        let at = peers.iter().position(available)?;
        // Round robin: the chosen daemon moves to the end of the list.
        let peer = peers.remove(at);
        let front = peer.front.clone();
        peers.push(peer);
        Some(front)
    }

    fn skip_peer(&self, front: &PeerFront, now: Duration) {
        let mut peers = self.peers.borrow_mut();
        for peer in peers.iter_mut().filter(|peer| peer.front == *front) {
            peer.skip_until = now + UNREACHABLE_BACKOFF;
        }
    }

    async fn send_to_peer(
        &self,
        arrival: &Arrival,
        body: &Bytes,
        peer: &PeerFront,
    ) -> Result<Answer, Refusal> {
        let addr = peer.addr.parse().map_err(|_| NOT_SENT)?;
        let mut conn = Conn::new(addr, self.settings.limits.connect_time, self.fleet.now());
        let resp = match conn.send(self.forwarded_request(arrival, body)).await {
            Ok(resp) => resp,
            Err(SendError::NotSent) => return Err(NOT_SENT),
            Err(SendError::Lost) => return Err(Refusal::unknown(Reason::PeerFailed)),
        };
        self.read_forwarded_answer(arrival, resp, conn)
    }

    fn forwarded_request(&self, arrival: &Arrival, body: &Bytes) -> Outgoing {
        let millis = arrival.left(self.fleet.now()).as_millis().to_string();
        let team = arrival.team.as_ref().map(|team| (headers::TEAM, team.as_str()));
        let added = [
            Some((headers::REQUEST_ID, arrival.id.as_str())),
            Some((headers::DEADLINE_MS, millis.as_str())),
            Some((headers::FORWARDED_BY, self.settings.me.as_str())),
            team,
        ];
        let mut out = arrival.headers.clone();
        out.extend(
            added
                .into_iter()
                .flatten()
                .filter_map(|(name, value)| Some((name, HeaderValue::from_str(value).ok()?))),
        );
        Outgoing {
            method: arrival.method.clone(),
            path: format!("/v1/requests/{}{}", arrival.class, arrival.path),
            headers: out,
            body: body.clone(),
        }
    }

    fn read_forwarded_answer(
        &self,
        arrival: &Arrival,
        resp: ClientResponse,
        conn: Conn,
    ) -> Result<Answer, Refusal> {
        let word = |name| resp.headers().get(name).and_then(|v: &HeaderValue| v.to_str().ok());
        let id_matches = word(headers::REQUEST_ID) == Some(arrival.id.as_str());
        let outcome = word(headers::OUTCOME).and_then(Outcome::read);
        let reason = word(headers::REASON).and_then(Reason::read).unwrap_or(Reason::PeerFailed);
        let retry_after = word(header::RETRY_AFTER).and_then(|v| v.parse().ok());
        let failed = Refusal::unknown(Reason::PeerFailed);
        let (true, Some(outcome)) = (id_matches, outcome) else { return Err(failed) };
        if outcome != Outcome::Ran {
            let retry_after = retry_after.map(Duration::from_secs);
            return Err(Refusal { outcome, reason, retry_after });
        }
        let left = match Framing::of(&arrival.method, &resp) {
            Framing::Length(length) => Some(length),
            Framing::Chunked => None,
            Framing::UntilClose => return Err(failed),
        };
        let status = resp.status();
        let headers = headers::forwarded_headers(resp.headers());
        let stream =
            AnswerStream::new(&self.fleet, arrival, resp, None, conn, left, Duration::ZERO);
        Ok(Answer { status, headers, body: AnswerBody::Stream(Box::new(stream)) })
    }

    fn record_forward(
        &self,
        arrival: &Arrival,
        peer: &PeerFront,
        at: Duration,
        result: &Result<Answer, Refusal>,
    ) {
        let result = match result {
            Ok(answer) => format!("forwarded: answered {}", answer.status.as_u16()),
            Err(refusal) => format!("forwarded: {} ({})", refusal.outcome.as_str(), refusal.reason),
        };
        let took = self.fleet.now().saturating_sub(at);
        let tried = Try { vm: peer.id.as_str().into(), at, took, result };
        self.journal.borrow_mut().tried(&arrival.id, tried);
    }
}

/// Result if no byte of the request was sent to the other daemon.
const NOT_SENT: Refusal =
    Refusal { outcome: Outcome::NotRun, reason: Reason::PeerFailed, retry_after: None };
