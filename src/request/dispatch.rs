//! Handles the requests of callers from arrival to answer.

use crate::clock::Clock;
use crate::ids::RequestId;
use crate::inbound::body;
use crate::memory::MemoryBudget;
use crate::model::{Config, Idempotency};
use crate::request::admission::Rejection;
use crate::request::answer::{Answer, AnswerBody, Truncated};
use crate::request::arrival::{self, Arrival};
use crate::request::endpoint::EndpointInfo;
use crate::request::fleet::{Fleet, Shares};
use crate::request::hop::{Peer, PeerFront};
use crate::request::journal::{Explained, Journal};
use crate::request::outcome::{self, Outcome, Reason, Refusal};
use crate::request::pieces;
use crate::request::retry::RetryBudget;
use crate::request::settings::DispatcherSettings;
use crate::request::share::{ShareGrant, ShareRequest};
use crate::request::status::RequestStatus;
use actix_web::body::SizedStream;
use actix_web::web::Payload;
use actix_web::{HttpRequest, HttpResponse, HttpResponseBuilder, web};
use indexmap::IndexMap;
use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;

/// `retry-after` sent to the caller while the daemon accepts no requests.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Interval at which queued requests are checked for expiry and due probes are started.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Handles the requests of callers. A dispatcher is bound to one thread.
///
/// The server must not allow half-closed connections (`HttpServer::h1_allow_half_closed(false)`).
/// Otherwise the request of a caller that disconnects is not cancelled.
#[derive(Clone)]
pub struct Dispatcher(Rc<Inner>);

/// Shared state of a dispatcher.
pub(super) struct Inner {
    pub settings: DispatcherSettings,
    pub fleet: Rc<Fleet>,
    pub peers: RefCell<Vec<Peer>>,
    pub journal: RefCell<Journal>,
    pub retry_budget: RefCell<RetryBudget>,
    pub draining: Cell<bool>,
    bodies: MemoryBudget,
    in_flight: Cell<usize>,
    refusals: RefCell<IndexMap<Reason, u64>>,
}

/// Counts a request as in flight until its answer has ended.
pub(super) struct InFlight(Rc<Inner>);

impl InFlight {
    fn new(inner: &Rc<Inner>) -> Self {
        inner.in_flight.set(inner.in_flight.get() + 1);
        Self(Rc::clone(inner))
    }
}

impl InFlight {
    /// Records that an answer was truncated after part of it had been sent.
    pub fn record_truncation(&self, id: &RequestId, truncated: Truncated) {
        let now = self.0.fleet.now();
        self.0.journal.borrow_mut().close(id, Outcome::Ran, truncated.0, now);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

impl Dispatcher {
    /// Creates a dispatcher without configuration, endpoints or other daemons.
    pub fn new(settings: DispatcherSettings, clock: Arc<dyn Clock>) -> Self {
        let journal = Journal::new(settings.limits.explained);
        let bodies = MemoryBudget::new(settings.limits.held_bytes);
        let fleet = Rc::new(Fleet::new(settings.clone(), clock));
        Self(Rc::new(Inner {
            settings,
            fleet,
            peers: RefCell::default(),
            journal: RefCell::new(journal),
            retry_budget: RefCell::default(),
            draining: Cell::new(false),
            bodies,
            in_flight: Cell::new(0),
            refusals: RefCell::default(),
        }))
    }

    /// Returns this dispatcher with another way to determine its slots.
    pub fn with_shares(self, shares: Shares) -> Self {
        self.set_shares(shares);
        self
    }

    /// Changes how this daemon's slots are determined.
    pub fn set_shares(&self, shares: Shares) {
        self.0.fleet.set_shares(shares);
    }

    /// The requests for slots to send to the holders of the endpoints' control leases, about twice
    /// a second. Used only with [`Shares::Granted`].
    pub fn share_requests(&self) -> Vec<ShareRequest> {
        self.0.fleet.share_requests()
    }

    /// Applies the reply to a request for slots sent at `sent`, on this dispatcher's clock.
    pub fn share_granted(&self, grant: &ShareGrant, sent: Duration) {
        self.0.fleet.share_granted(grant, sent);
    }

    /// Applies a configuration.
    pub fn configure(&self, cfg: Arc<Config>) {
        self.0.fleet.configure(cfg);
    }

    /// Replaces the list of endpoints. Those that are leaving or no longer listed finish their
    /// requests and get no new ones.
    pub fn set_endpoints(&self, listed: &[EndpointInfo]) {
        self.0.fleet.set_endpoints(listed);
    }

    /// Replaces the list of other daemons. Those of this domain share its endpoints' slots;
    /// requests may be forwarded to those of other domains.
    pub fn set_peers(&self, fronts: &[PeerFront]) {
        let home = fronts.iter().filter(|front| front.domain == self.0.settings.domain);
        self.0.fleet.set_domain_daemons(home.map(|front| front.id.clone()).collect());
        let mut peers = self.0.peers.borrow_mut();
        let previous = std::mem::take(&mut *peers);
        let skip_until = |front: &PeerFront| {
            let unchanged = previous.iter().find(|peer| peer.front == *front);
            unchanged.map_or(Duration::ZERO, |peer| peer.skip_until)
        };
        peers.extend(
            fronts.iter().map(|front| Peer { front: front.clone(), skip_until: skip_until(front) }),
        );
    }

    /// Registers the routes for callers, and starts the periodic task on the same thread.
    pub fn configure_app(&self, app: &mut web::ServiceConfig) {
        actix_web::rt::spawn(tick(Rc::downgrade(&self.0)));
        let dispatcher = self.clone();
        let serve = move |req: HttpRequest, payload: Payload| {
            let dispatcher = dispatcher.clone();
            async move { dispatcher.serve(req, payload).await }
        };
        app.route("/v1/requests/{class}/{tail:.*}", web::route().to(serve.clone()));
        app.route("/v1/requests/{class}", web::route().to(serve));
    }

    /// Refuses new and queued requests as not run; requests already sent are completed.
    pub fn drain(&self) {
        self.0.draining.set(true);
        let rejection = Rejection { reason: Reason::Draining, retry_after: RETRY_AFTER };
        self.0.fleet.reject_queued(rejection);
    }

    /// Requests between arrival and the end of their answer. When this is zero while draining, the
    /// daemon can stop without interrupting a request.
    pub fn in_flight(&self) -> usize {
        self.0.in_flight.get()
    }

    /// Explains how a recent request was handled.
    pub fn explain(&self, id: &RequestId) -> Explained {
        self.0.journal.borrow().explain(id)
    }

    /// Status of the request path.
    pub fn status(&self) -> RequestStatus {
        let inner = &self.0;
        RequestStatus {
            draining: inner.draining.get(),
            in_flight: inner.in_flight.get(),
            held_bytes: inner.bodies.held(),
            queued: inner.fleet.waiting(),
            refusals: inner.refusals.borrow().clone(),
            endpoints: inner.fleet.endpoint_status(),
        }
    }

    /// Handles one request.
    pub async fn serve(&self, req: HttpRequest, payload: Payload) -> HttpResponse {
        let inner = &self.0;
        let in_flight = InFlight::new(inner);
        let id = match arrival::request_id(&req) {
            Ok(id) => id,
            Err(refusal) => return inner.refuse(&arrival::new_id(), refusal),
        };
        let result = inner.run(&req, payload, &id).await;
        inner.record_end(&id, &result);
        match result {
            Ok(answer) => inner.respond(answer, &id, in_flight),
            Err(refusal) => inner.refuse(&id, refusal),
        }
    }
}

/// Runs the periodic work of the fleet until the dispatcher is dropped.
async fn tick(inner: Weak<Inner>) {
    loop {
        actix_web::rt::time::sleep(TICK_INTERVAL).await;
        match inner.upgrade() {
            Some(inner) => inner.fleet.tick(),
            None => return,
        }
    }
}

impl Inner {
    async fn run(
        self: &Rc<Self>,
        req: &HttpRequest,
        payload: Payload,
        id: &RequestId,
    ) -> Result<Answer, Refusal> {
        if self.draining.get() {
            return Err(Refusal::not_run(Reason::Draining).with_retry_after(RETRY_AFTER));
        }
        let cfg = self.fleet.cfg();
        let cfg = cfg.ok_or(Refusal::not_run(Reason::NoConfig).with_retry_after(RETRY_AFTER))?;
        let now = self.fleet.now();
        let arrival = Arrival::read(req, id.clone(), &cfg, now)?;
        self.journal.borrow_mut().open(id, &arrival.class, now);
        let limits = self.settings.limits.body_limits();
        let body = body::read(req, payload, &self.bodies, limits).await?;
        if self.draining.get() {
            return Err(Refusal::not_run(Reason::Draining).with_retry_after(RETRY_AFTER));
        }
        match arrival.idempotency {
            Idempotency::Idempotent => self.deliver(&arrival, &body.bytes).await,
            // A run that can't be repeated must not be cancelled when the caller disconnects.
            Idempotency::NonIdempotent => {
                let in_flight = InFlight::new(self);
                let run = actix_web::rt::spawn(async move {
                    let inner = &in_flight.0;
                    let result = inner.deliver(&arrival, &body.bytes).await;
                    inner.record_end(&arrival.id, &result);
                    result
                });
                run.await.unwrap_or(Err(Refusal::unknown(Reason::ConnectionLost)))
            }
        }
    }

    fn refuse(&self, id: &RequestId, refusal: Refusal) -> HttpResponse {
        *self.refusals.borrow_mut().entry(refusal.reason).or_insert(0) += 1;
        refusal.answer(id)
    }

    fn record_end(&self, id: &RequestId, result: &Result<Answer, Refusal>) {
        let (outcome, reason) = match result {
            Ok(_) => (Outcome::Ran, Reason::Answered),
            Err(refusal) => (refusal.outcome, refusal.reason),
        };
        self.journal.borrow_mut().close(id, outcome, reason, self.fleet.now());
    }

    fn respond(&self, answer: Answer, id: &RequestId, in_flight: InFlight) -> HttpResponse {
        let mut resp = HttpResponseBuilder::new(answer.status);
        for header in answer.headers {
            resp.append_header(header);
        }
        outcome::add_outcome_headers(&mut resp, id, Outcome::Ran, Reason::Answered);
        match answer.body {
            AnswerBody::Whole(bytes) => resp.body(bytes),
            AnswerBody::Stream(stream) => {
                let length = stream.length();
                let chunks = pieces::new(stream, id.clone(), in_flight);
                match length {
                    Some(length) => resp.body(SizedStream::new(length, chunks)),
                    None => resp.streaming(chunks),
                }
            }
        }
    }
}
