//! Forwarding to another domain's daemon when there is no room at home.
//!
//! A forwarded request is never forwarded again, so that there are no loops. Another domain is
//! asked only if no endpoint at home got the request and there is time left for it there.

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

/// Time that a daemon that could not be reached is not asked again.
const SHUNNED: Duration = Duration::from_secs(5);

/// Another daemon that takes callers' requests.
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
    pub shunned_until: Duration,
}

impl Inner {
    /// Forwards a request that found no slot here, if that may help.
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
        let sent = actix_web::rt::time::timeout(left, self.over_hop(arrival, body, &peer)).await;
        let result = sent.unwrap_or(Err(Refusal::unknown(Reason::DeadlinePassed)));
        self.note_hop(arrival, &peer, now, &result);
        match result {
            // Nothing left this daemon; the refusal at home says more.
            Err(refusal) if refusal == NOT_REACHED => {
                self.shun(&peer, now);
                None
            }
            result => Some(result),
        }
    }

    fn next_peer(&self, now: Duration) -> Option<PeerFront> {
        let mut peers = self.peers.borrow_mut();
        let open =
            |peer: &Peer| peer.front.domain != self.settings.domain && peer.shunned_until <= now;
        let at = peers.iter().position(open)?;
        // The next request starts with the next daemon.
        let peer = peers.remove(at);
        let front = peer.front.clone();
        peers.push(peer);
        Some(front)
    }

    fn shun(&self, front: &PeerFront, now: Duration) {
        let mut peers = self.peers.borrow_mut();
        for peer in peers.iter_mut().filter(|peer| peer.front == *front) {
            peer.shunned_until = now + SHUNNED;
        }
    }

    async fn over_hop(
        &self,
        arrival: &Arrival,
        body: &Bytes,
        peer: &PeerFront,
    ) -> Result<Answer, Refusal> {
        let addr = peer.addr.parse().map_err(|_| NOT_REACHED)?;
        let mut conn = Conn::new(addr, self.settings.limits.connect_time, self.fleet.now());
        let resp = match conn.send(self.hop_request(arrival, body)).await {
            Ok(resp) => resp,
            Err(SendError::NotSent) => return Err(NOT_REACHED),
            Err(SendError::Lost) => return Err(Refusal::unknown(Reason::PeerFailed)),
        };
        self.hop_answer(arrival, resp, conn)
    }

    fn hop_request(&self, arrival: &Arrival, body: &Bytes) -> Outgoing {
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

    fn hop_answer(
        &self,
        arrival: &Arrival,
        resp: ClientResponse,
        conn: Conn,
    ) -> Result<Answer, Refusal> {
        let word = |name| resp.headers().get(name).and_then(|v: &HeaderValue| v.to_str().ok());
        let own = word(headers::REQUEST_ID) == Some(arrival.id.as_str());
        let outcome = word(headers::OUTCOME).and_then(Outcome::read);
        let reason = word(headers::REASON).and_then(Reason::read).unwrap_or(Reason::PeerFailed);
        let retry_after = word(header::RETRY_AFTER).and_then(|v| v.parse().ok());
        let failed = Refusal::unknown(Reason::PeerFailed);
        let (true, Some(outcome)) = (own, outcome) else { return Err(failed) };
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
        let headers = headers::passed_on(resp.headers());
        let stream =
            AnswerStream::new(&self.fleet, arrival, resp, None, conn, left, Duration::ZERO);
        Ok(Answer { status, headers, body: AnswerBody::Stream(Box::new(stream)) })
    }

    fn note_hop(
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

/// The other daemon was not reached.
const NOT_REACHED: Refusal =
    Refusal { outcome: Outcome::NotRun, reason: Reason::PeerFailed, retry_after: None };
