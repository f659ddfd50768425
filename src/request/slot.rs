//! The right to have one request at an endpoint.
//!
//! A slot is free again only when nothing of its request runs at the endpoint any more. A caller
//! that goes away, a deadline or a silent connection ends the wait here, not the work there; giving
//! the slot back at once would put more requests on the endpoint than it has slots.

use crate::ids::{ClassName, RequestId};
use crate::request::conn::RequestState;
use crate::request::endpoint::Endpoint;
use crate::request::fleet::Fleet;
use crate::request::route::Usual;
use actix_web::rt::time::sleep;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

/// First pause before asking whether an abandoned request still runs.
const FIRST_ASK: Duration = Duration::from_millis(2);

/// Longest pause before asking again.
const LONGEST_PAUSE: Duration = Duration::from_millis(250);

/// Answers in a row that say nothing runs. One alone may be overtaken by the request itself.
const SURE: u32 = 2;

/// Probes in a row without an answer, after which the endpoint is taken to be gone.
const GONE: u32 = 3;

/// Longest time that a slot is held for an abandoned request.
const LONGEST_HOLD: Duration = Duration::from_secs(300);

/// What a request showed of the endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) enum Verdict {
    /// Nothing, as when a connection went silent or the caller went away.
    #[default]
    Nothing,
    Good {
        took: Duration,
    },
    Bad,
}

/// A slot; given back when dropped, once nothing of its request is left at the endpoint.
pub(super) struct Slot {
    lease: Option<Lease>,
    /// The request that may be at the endpoint.
    sent: RefCell<Option<RequestId>>,
}

/// What is given back.
struct Lease {
    fleet: Rc<Fleet>,
    endpoint: Rc<Endpoint>,
    class: ClassName,
    number: u64,
    at: Duration,
    tail: Duration,
    verdict: Cell<Verdict>,
}

impl Slot {
    /// Takes a slot at `endpoint`, which has one free.
    pub fn take(
        fleet: &Rc<Fleet>,
        endpoint: &Rc<Endpoint>,
        class: &ClassName,
        usual: Usual,
        number: u64,
    ) -> Self {
        let at = fleet.now();
        endpoint.start(number, at, usual.mean());
        let lease = Lease {
            fleet: Rc::clone(fleet),
            endpoint: Rc::clone(endpoint),
            class: class.clone(),
            number,
            at,
            tail: usual.tail(),
            verdict: Cell::default(),
        };
        Self { lease: Some(lease), sent: RefCell::default() }
    }

    /// The endpoint.
    pub fn endpoint(&self) -> Option<&Rc<Endpoint>> {
        self.lease.as_ref().map(|lease| &lease.endpoint)
    }

    /// The slot with its endpoint.
    pub fn at(&self) -> Option<(&Self, &Endpoint)> {
        self.endpoint().map(|endpoint| (self, &**endpoint))
    }

    /// Bytes of a request may leave from now on.
    pub fn sending(&self, id: &RequestId) {
        *self.sent.borrow_mut() = Some(id.clone());
    }

    /// Nothing of the request is at the endpoint.
    pub fn settled(&self) {
        *self.sent.borrow_mut() = None;
    }

    /// Notes what the request showed of the endpoint.
    pub fn judge(&self, verdict: Verdict) {
        if let Some(lease) = &self.lease {
            lease.verdict.set(verdict);
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let Some(lease) = self.lease.take() else { return };
        let Some(id) = self.sent.borrow_mut().take() else { return };
        // While the runtime shuts down nothing can be asked any more, nor started.
        if tokio::runtime::Handle::try_current().is_ok() {
            actix_web::rt::spawn(hold(lease, id));
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.endpoint.end(self.number);
        self.fleet.ended(&self.endpoint, &self.class, self.verdict.get());
    }
}

/// Keeps the slot until the endpoint has surely done with the request.
async fn hold(lease: Lease, id: RequestId) {
    let mut pause = FIRST_ASK;
    let mut not_running = 0;
    let mut unanswered = 0;
    loop {
        sleep(pause).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
        let now = lease.fleet.now();
        let held = now.saturating_sub(lease.at);
        match lease.endpoint.probe(Some(&id), now).await.map(|reply| reply.state) {
            Some(RequestState::Running) => (not_running, unanswered) = (0, 0),
            Some(RequestState::NotRunning) => {
                not_running += 1;
                pause = FIRST_ASK;
            }
            // Without the endpoint's state, the time that few requests exceed must do.
            Some(RequestState::Unreported) if held > lease.tail => return,
            Some(RequestState::Unreported) => {}
            None => unanswered += 1,
        }
        if not_running >= SURE || unanswered >= GONE || held > LONGEST_HOLD {
            return;
        }
    }
}
