//! From a caller's request to its answer.

use crate::clock::Clock;
use crate::ids::{RequestId, VmId};
use crate::model::Config;
use crate::request::arrival::{self, Arrival};
use crate::request::attempt::{self, Answer, AnswerBody, AnswerStream, NotRun, Tried};
use crate::request::body::{self, HeldBytes};
use crate::request::endpoint::{Endpoint, EndpointInfo, EndpointState, Slot};
use crate::request::journal::{Explained, Journal, Try};
use crate::request::outcome::{self, Outcome, Reason, Refusal};
use crate::request::settings::{DispatcherSettings, PeerFront};
use crate::request::status::{EndpointStatus, RequestStatus};
use actix_web::body::SizedStream;
use actix_web::web::Payload;
use actix_web::{HttpRequest, HttpResponse, HttpResponseBuilder, web};
use bytes::Bytes;
use futures::stream;
use indexmap::IndexMap;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Time after which a caller should come back when there is nothing better to say.
const COME_BACK: Duration = Duration::from_secs(1);

/// Takes callers' requests and brings back their answers; lives on one thread.
#[derive(Clone)]
pub struct Dispatcher(Rc<Inner>);

struct Inner {
    settings: DispatcherSettings,
    clock: Arc<dyn Clock>,
    cfg: RefCell<Option<Arc<Config>>>,
    endpoints: RefCell<IndexMap<VmId, Rc<Endpoint>>>,
    peers: RefCell<Vec<PeerFront>>,
    journal: RefCell<Journal>,
    held: Rc<HeldBytes>,
    draining: Cell<bool>,
    in_flight: Cell<usize>,
    refusals: RefCell<IndexMap<Reason, u64>>,
}

/// Counts a request as in flight until its answer has ended.
struct InFlight(Rc<Inner>);

impl InFlight {
    fn new(inner: &Rc<Inner>) -> Self {
        inner.in_flight.set(inner.in_flight.get() + 1);
        Self(Rc::clone(inner))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

impl Dispatcher {
    /// A dispatcher that has neither configuration nor endpoints yet.
    pub fn new(settings: DispatcherSettings, clock: Arc<dyn Clock>) -> Self {
        let journal = Journal::new(settings.limits.explained);
        Self(Rc::new(Inner {
            settings,
            clock,
            cfg: RefCell::default(),
            endpoints: RefCell::default(),
            peers: RefCell::default(),
            journal: RefCell::new(journal),
            held: Rc::default(),
            draining: Cell::new(false),
            in_flight: Cell::new(0),
            refusals: RefCell::default(),
        }))
    }

    /// Puts a configuration in force.
    pub fn configure(&self, cfg: Arc<Config>) {
        *self.0.cfg.borrow_mut() = Some(cfg);
    }

    /// Takes the platform's list of endpoints. Those that are no longer on it finish what they
    /// have and get nothing new.
    pub fn endpoints(&self, listed: &[EndpointInfo]) {
        let mut endpoints = self.0.endpoints.borrow_mut();
        let mut known = std::mem::take(&mut *endpoints);
        for info in listed {
            let kept = known.swap_remove(&info.vm).filter(|old| old.is_still(info));
            let Some(endpoint) = kept.or_else(|| Endpoint::new(info).map(Rc::new)) else {
                log::warn!(vm = info.vm.as_str(), addr = info.addr.as_str(); "endpoint-unreadable");
                continue;
            };
            endpoint.listed.set(info.state);
            endpoints.insert(info.vm.clone(), endpoint);
        }
    }

    /// Takes the other daemons that a request may be forwarded to.
    pub fn peers(&self, peers: &[PeerFront]) {
        *self.0.peers.borrow_mut() = peers.to_vec();
    }

    /// Mounts the callers' routes.
    pub fn configure_app(&self, app: &mut web::ServiceConfig) {
        let dispatcher = self.clone();
        let serve = move |req: HttpRequest, payload: Payload| {
            let dispatcher = dispatcher.clone();
            async move { dispatcher.serve(req, payload).await }
        };
        app.route("/v1/requests/{class}/{tail:.*}", web::route().to(serve.clone()));
        app.route("/v1/requests/{class}", web::route().to(serve));
    }

    /// Refuses new requests as not run; those in flight are finished.
    pub fn drain(&self) {
        self.0.draining.set(true);
    }

    /// Requests between arrival and the end of their answer.
    pub fn in_flight(&self) -> usize {
        self.0.in_flight.get()
    }

    /// What became of a recent request.
    pub fn explain(&self, id: &RequestId) -> Explained {
        let journal = self.0.journal.borrow();
        match journal.get(id) {
            Some(entry) => Explained::Known(Box::new(entry.clone())),
            None => Explained::Forgotten { since: journal.forgotten_until().unwrap_or_default() },
        }
    }

    /// What the request path is doing.
    pub fn status(&self) -> RequestStatus {
        let inner = &self.0;
        RequestStatus {
            draining: inner.draining.get(),
            in_flight: inner.in_flight.get(),
            held_bytes: inner.held.get(),
            queued: IndexMap::new(),
            refusals: inner.refusals.borrow().clone(),
            endpoints: inner
                .endpoints
                .borrow()
                .values()
                .map(|e| inner.endpoint_status(e))
                .collect(),
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
        match inner.run(&req, payload, &id).await {
            Ok(answer) => pass_on(answer, &id, in_flight),
            Err(refusal) => inner.refuse(&id, refusal),
        }
    }
}

impl Inner {
    async fn run(
        &self,
        req: &HttpRequest,
        payload: Payload,
        id: &RequestId,
    ) -> Result<Answer, Refusal> {
        if self.draining.get() {
            return Err(Refusal::not_run(Reason::Draining).with_retry_after(COME_BACK));
        }
        let cfg = self.cfg.borrow().clone();
        let cfg = cfg.ok_or(Refusal::not_run(Reason::NoConfig).with_retry_after(COME_BACK))?;
        let arrival = Arrival::read(req, id.clone(), &cfg, self.clock.now())?;
        self.journal.borrow_mut().open(id, &arrival.class, self.clock.now());
        let body = body::read_whole(payload, &self.held, &self.settings.limits).await?;
        let slots = cfg.services.get(&arrival.service).map_or(0, |service| service.slots);
        self.send(&arrival, &body.bytes, slots).await
    }

    async fn send(&self, arrival: &Arrival, body: &Bytes, slots: u32) -> Result<Answer, Refusal> {
        let slot = self.take_slot(arrival, slots)?;
        let vm = slot.endpoint.vm.clone();
        let at = self.clock.now();
        let limits = &self.settings.limits;
        let conn = slot.endpoint.take_conn(limits.connect_time, at);
        let tried = attempt::attempt(arrival, body, slot, conn, limits.whole_answer_bytes, at);
        let tried = actix_web::rt::time::timeout(arrival.left(at), tried)
            .await
            .unwrap_or(Tried::Unknown(Reason::DeadlinePassed));
        let result = match &tried {
            Tried::Answered(answer) => format!("answered {}", answer.status.as_u16()),
            Tried::NotRun(why) => format!("not run: {why:?}"),
            Tried::Unknown(reason) => format!("unknown: {reason}"),
        };
        let now = self.clock.now();
        let took = now.saturating_sub(at);
        self.journal.borrow_mut().tried(&arrival.id, Try { vm, at, took, result });
        let (result, outcome, reason) = match tried {
            Tried::Answered(answer) => (Ok(answer), Outcome::Ran, Reason::Answered),
            Tried::NotRun(why) => {
                let reason = match why {
                    NotRun::NotSent => Reason::ConnectFailed,
                    NotRun::Leaving | NotRun::Full => Reason::EndpointsRefused,
                };
                let refusal = Refusal::not_run(reason).with_retry_after(COME_BACK);
                (Err(refusal), Outcome::NotRun, reason)
            }
            Tried::Unknown(reason) => (Err(Refusal::unknown(reason)), Outcome::Unknown, reason),
        };
        self.journal.borrow_mut().close(&arrival.id, outcome, reason, now);
        result
    }

    fn take_slot(&self, arrival: &Arrival, slots: u32) -> Result<Slot, Refusal> {
        let endpoints = self.endpoints.borrow();
        let mut serving = endpoints
            .values()
            .filter(|e| e.service == arrival.service && e.domain == self.settings.domain)
            .filter(|e| e.listed.get() == EndpointState::Live)
            .peekable();
        if serving.peek().is_none() {
            return Err(Refusal::not_run(Reason::NoEndpoint).with_retry_after(COME_BACK));
        }
        let chosen = serving
            .filter(|e| e.in_flight.get() < slots)
            .min_by_key(|e| e.in_flight.get())
            .ok_or(Refusal::not_run(Reason::NoSlot).with_retry_after(COME_BACK))?;
        self.journal.borrow_mut().route(
            &arrival.id,
            Duration::ZERO,
            format!("{}: least in flight", chosen.vm),
        );
        Ok(Slot::take(chosen))
    }

    fn refuse(&self, id: &RequestId, refusal: Refusal) -> HttpResponse {
        *self.refusals.borrow_mut().entry(refusal.reason).or_insert(0) += 1;
        let now = self.clock.now();
        self.journal.borrow_mut().close(id, refusal.outcome, refusal.reason, now);
        refusal.answer(id)
    }

    fn endpoint_status(&self, endpoint: &Endpoint) -> EndpointStatus {
        let cfg = self.cfg.borrow();
        let service = cfg.as_ref().and_then(|cfg| cfg.services.get(&endpoint.service));
        EndpointStatus {
            vm: endpoint.vm.clone(),
            service: endpoint.service.clone(),
            domain: endpoint.domain.clone(),
            listed: endpoint.listed.get(),
            share: service.map_or(0, |service| service.slots),
            in_flight: endpoint.in_flight.get(),
        }
    }
}

fn pass_on(answer: Answer, id: &RequestId, in_flight: InFlight) -> HttpResponse {
    let mut resp = HttpResponseBuilder::new(answer.status);
    for header in answer.headers {
        resp.append_header(header);
    }
    outcome::mark(&mut resp, id, Outcome::Ran, Reason::Answered);
    match answer.body {
        AnswerBody::Whole(bytes) => resp.body(bytes),
        AnswerBody::Stream(stream) => match stream.length() {
            Some(length) => resp.body(SizedStream::new(length, pieces(stream, in_flight))),
            None => resp.streaming(pieces(stream, in_flight)),
        },
    }
}

/// The pieces of an answer, read only as fast as the caller takes them.
fn pieces(
    stream: Box<AnswerStream>,
    in_flight: InFlight,
) -> impl stream::Stream<Item = Result<Bytes, actix_web::Error>> + 'static {
    stream::unfold(Some((stream, in_flight)), |state| async move {
        let (mut stream, in_flight) = state?;
        match stream.next().await {
            Some(Ok(chunk)) => Some((Ok(chunk), Some((stream, in_flight)))),
            Some(Err(cut)) => Some((Err(cut_error(cut)), None)),
            None => {
                let now = in_flight.0.clock.now();
                let cut = stream.finish(now).await.err()?;
                Some((Err(cut_error(cut)), None))
            }
        }
    })
}

fn cut_error(cut: attempt::Cut) -> actix_web::Error {
    actix_web::error::ErrorBadGateway(cut)
}
