//! From a caller's request to its answer.

use crate::clock::Clock;
use crate::ids::RequestId;
use crate::model::{Config, Idempotency};
use crate::request::admission::Rejection;
use crate::request::answer::{Answer, AnswerBody, Truncated};
use crate::request::arrival::{self, Arrival};
use crate::request::body::{self, HeldBytes};
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

/// Time after which a caller should come back to a daemon that takes nothing now.
const COME_BACK: Duration = Duration::from_secs(1);

/// Time between looks at who waited too long and which probes are due.
const TICK: Duration = Duration::from_millis(20);

/// Takes callers' requests and brings back their answers; lives on one thread.
///
/// The server that it is mounted in must not allow half-closed connections
/// (`HttpServer::h1_allow_half_closed(false)`): only then does a caller that goes away end its
/// request, rather than have it run for nobody.
#[derive(Clone)]
pub struct Dispatcher(Rc<Inner>);

/// The dispatcher's state.
pub(super) struct Inner {
    pub settings: DispatcherSettings,
    pub fleet: Rc<Fleet>,
    pub peers: RefCell<Vec<Peer>>,
    pub journal: RefCell<Journal>,
    pub retry_budget: RefCell<RetryBudget>,
    pub draining: Cell<bool>,
    held: Rc<HeldBytes>,
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
    /// Notes that an answer that was passed on in part was cut.
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
    /// A dispatcher that has neither configuration nor endpoints yet, and no other daemon to
    /// share with.
    pub fn new(settings: DispatcherSettings, clock: Arc<dyn Clock>) -> Self {
        let journal = Journal::new(settings.limits.explained);
        let fleet = Rc::new(Fleet::new(settings.clone(), clock));
        Self(Rc::new(Inner {
            settings,
            fleet,
            peers: RefCell::default(),
            journal: RefCell::new(journal),
            retry_budget: RefCell::default(),
            draining: Cell::new(false),
            held: Rc::default(),
            in_flight: Cell::new(0),
            refusals: RefCell::default(),
        }))
    }

    /// This dispatcher, with its slots found in another way.
    pub fn with_shares(self, shares: Shares) -> Self {
        self.set_shares(shares);
        self
    }

    /// Changes how this daemon's slots are found.
    pub fn set_shares(&self, shares: Shares) {
        self.0.fleet.set_shares(shares);
    }

    /// The asks to send to the holders of the endpoints' control leases, about twice a second.
    /// Has a meaning with [`Shares::Granted`] only.
    pub fn share_requests(&self) -> Vec<ShareRequest> {
        self.0.fleet.share_requests()
    }

    /// Takes the answer to an ask that was sent at `sent`, on this dispatcher's clock.
    pub fn share_granted(&self, grant: &ShareGrant, sent: Duration) {
        self.0.fleet.share_granted(grant, sent);
    }

    /// Puts a configuration in force.
    pub fn configure(&self, cfg: Arc<Config>) {
        self.0.fleet.configure(cfg);
    }

    /// Takes the platform's list of endpoints. Those that are no longer on it, or are leaving,
    /// finish what they have and get nothing new.
    pub fn endpoints(&self, listed: &[EndpointInfo]) {
        self.0.fleet.set_endpoints(listed);
    }

    /// Takes the other daemons: those of this domain share its endpoints' slots, and those of
    /// others may be forwarded to.
    pub fn peers(&self, fronts: &[PeerFront]) {
        let home = fronts.iter().filter(|front| front.domain == self.0.settings.domain);
        self.0.fleet.set_domain_daemons(home.map(|front| front.id.clone()).collect());
        let mut peers = self.0.peers.borrow_mut();
        let known = std::mem::take(&mut *peers);
        let skip_until = |front: &PeerFront| {
            let same = known.iter().find(|peer| peer.front == *front);
            same.map_or(Duration::ZERO, |peer| peer.skip_until)
        };
        peers.extend(
            fronts.iter().map(|front| Peer { front: front.clone(), skip_until: skip_until(front) }),
        );
    }

    /// Mounts the callers' routes, and starts this dispatcher's timer on the same thread.
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

    /// Refuses new requests and those that still wait as not run; those sent are finished.
    pub fn drain(&self) {
        self.0.draining.set(true);
        let rejection = Rejection { reason: Reason::Draining, retry_after: COME_BACK };
        self.0.fleet.reject_queued(rejection);
    }

    /// Requests between arrival and the end of their answer. When draining, zero means that the
    /// daemon may stop without cutting anything.
    pub fn in_flight(&self) -> usize {
        self.0.in_flight.get()
    }

    /// What became of a recent request.
    pub fn explain(&self, id: &RequestId) -> Explained {
        self.0.journal.borrow().explain(id)
    }

    /// What the request path is doing.
    pub fn status(&self) -> RequestStatus {
        let inner = &self.0;
        RequestStatus {
            draining: inner.draining.get(),
            in_flight: inner.in_flight.get(),
            held_bytes: inner.held.get(),
            queued: inner.fleet.waiting(),
            refusals: inner.refusals.borrow().clone(),
            endpoints: inner.fleet.endpoint_status(),
        }
    }

    /// Answers one request.
    pub async fn serve(&self, req: HttpRequest, payload: Payload) -> HttpResponse {
        let inner = &self.0;
        let in_flight = InFlight::new(inner);
        let id = match arrival::request_id(&req) {
            Ok(id) => id,
            Err(refusal) => return inner.refuse(&arrival::new_id(), refusal),
        };
        let result = inner.run(&req, payload, &id).await;
        inner.note_end(&id, &result);
        match result {
            Ok(answer) => inner.pass_on(answer, &id, in_flight),
            Err(refusal) => inner.refuse(&id, refusal),
        }
    }
}

/// Looks after the fleet until the dispatcher is gone.
async fn tick(inner: Weak<Inner>) {
    loop {
        actix_web::rt::time::sleep(TICK).await;
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
            return Err(Refusal::not_run(Reason::Draining).with_retry_after(COME_BACK));
        }
        let cfg = self.fleet.cfg();
        let cfg = cfg.ok_or(Refusal::not_run(Reason::NoConfig).with_retry_after(COME_BACK))?;
        let now = self.fleet.now();
        let arrival = Arrival::read(req, id.clone(), &cfg, now)?;
        self.journal.borrow_mut().open(id, &arrival.class, now);
        let body = body::read_whole(payload, &self.held, &self.settings.limits).await?;
        if self.draining.get() {
            return Err(Refusal::not_run(Reason::Draining).with_retry_after(COME_BACK));
        }
        match arrival.idempotency {
            Idempotency::Idempotent => self.deliver(&arrival, &body.bytes).await,
            // A caller that goes away must not cut a run that can't be repeated.
            Idempotency::NonIdempotent => {
                let in_flight = InFlight::new(self);
                let run = actix_web::rt::spawn(async move {
                    let inner = &in_flight.0;
                    let result = inner.deliver(&arrival, &body.bytes).await;
                    inner.note_end(&arrival.id, &result);
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

    fn note_end(&self, id: &RequestId, result: &Result<Answer, Refusal>) {
        let (outcome, reason) = match result {
            Ok(_) => (Outcome::Ran, Reason::Answered),
            Err(refusal) => (refusal.outcome, refusal.reason),
        };
        self.journal.borrow_mut().close(id, outcome, reason, self.fleet.now());
    }

    fn pass_on(&self, answer: Answer, id: &RequestId, in_flight: InFlight) -> HttpResponse {
        let mut resp = HttpResponseBuilder::new(answer.status);
        for header in answer.headers {
            resp.append_header(header);
        }
        outcome::mark(&mut resp, id, Outcome::Ran, Reason::Answered);
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
