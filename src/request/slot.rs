//! A slot: permission to have one request in progress at an endpoint.
//!
//! A slot is released only once its request no longer runs at the endpoint. A caller that
//! disconnects, a deadline or a silent connection ends the wait in this daemon but not the work at
//! the endpoint; releasing the slot at once would overload the endpoint beyond its slots.

use crate::ids::{ClassName, RequestId};
use crate::request::conn::RequestState;
use crate::request::endpoint::Endpoint;
use crate::request::fleet::Fleet;
use crate::request::route::ServiceTimeEstimate;
use actix_web::rt::time::sleep;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

/// Delay before the first probe for the state of an abandoned request.
const FIRST_PROBE_DELAY: Duration = Duration::from_millis(2);

/// Upper bound of the delay between such probes, which doubles each time.
const MAX_PROBE_DELAY: Duration = Duration::from_millis(250);

/// Probes that must report the request as not running: a single one may overtake the request.
const MIN_NOT_RUNNING: u32 = 2;

/// Unanswered probes after which the endpoint is assumed to be gone.
const MAX_UNANSWERED: u32 = 3;

/// Longest time a slot is held for an abandoned request.
const MAX_HOLD: Duration = Duration::from_secs(300);

/// What the result of a request says about the health of the endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) enum Evidence {
    /// No evidence, for example because a connection went silent or the caller disconnected.
    #[default]
    Neutral,
    Good {
        took: Duration,
    },
    Bad,
}

/// A slot in use; after it is dropped, it is released once its request has ended at the endpoint.
pub(super) struct Slot {
    held_slot: Option<HeldSlot>,
    /// The request that may be running at the endpoint.
    sent: RefCell<Option<RequestId>>,
}

/// The part of a slot that is released; dropping it frees the slot.
struct HeldSlot {
    fleet: Rc<Fleet>,
    endpoint: Rc<Endpoint>,
    class: ClassName,
    number: u64,
    taken_at: Duration,
    tail: Duration,
    evidence: Cell<Evidence>,
}

impl Slot {
    /// Takes a slot of `endpoint`, which must have a free one.
    pub fn take(
        fleet: &Rc<Fleet>,
        endpoint: &Rc<Endpoint>,
        class: &ClassName,
        estimate: ServiceTimeEstimate,
        number: u64,
    ) -> Self {
        let taken_at = fleet.now();
        endpoint.start(number, taken_at, estimate.mean());
        let held_slot = HeldSlot {
            fleet: Rc::clone(fleet),
            endpoint: Rc::clone(endpoint),
            class: class.clone(),
            number,
            taken_at,
            tail: estimate.tail(),
            evidence: Cell::default(),
        };
        Self { held_slot: Some(held_slot), sent: RefCell::default() }
    }

    /// The endpoint that the slot belongs to.
    pub fn endpoint(&self) -> Option<&Rc<Endpoint>> {
        self.held_slot.as_ref().map(|held_slot| &held_slot.endpoint)
    }

    /// The slot together with its endpoint.
    pub fn at(&self) -> Option<(&Self, &Endpoint)> {
        self.endpoint().map(|endpoint| (self, &**endpoint))
    }

    /// Records that bytes of request `id` may be sent from now on.
    pub fn mark_sent(&self, id: &RequestId) {
        *self.sent.borrow_mut() = Some(id.clone());
    }

    /// Records that the request is not running at the endpoint.
    pub fn mark_ended(&self) {
        *self.sent.borrow_mut() = None;
    }

    /// Records what the request says about the endpoint.
    pub fn record(&self, evidence: Evidence) {
        if let Some(held_slot) = &self.held_slot {
            held_slot.evidence.set(evidence);
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let Some(held_slot) = self.held_slot.take() else { return };
        let Some(id) = self.sent.borrow_mut().take() else { return };
        // No task can be spawned while the runtime shuts down.
        if tokio::runtime::Handle::try_current().is_ok() {
            actix_web::rt::spawn(hold_until_ended(held_slot, id));
        }
    }
}

impl Drop for HeldSlot {
    fn drop(&mut self) {
        self.endpoint.end(self.number);
        self.fleet.ended(&self.endpoint, &self.class, self.evidence.get());
    }
}

/// Holds the slot until the request is known to have ended at the endpoint.
async fn hold_until_ended(held_slot: HeldSlot, id: RequestId) {
    let mut delay = FIRST_PROBE_DELAY;
    let mut not_running = 0;
    let mut unanswered = 0;
    loop {
        sleep(delay).await;
        delay = (delay * 2).min(MAX_PROBE_DELAY);
        let now = held_slot.fleet.now();
        let held_for = now.saturating_sub(held_slot.taken_at);
        match held_slot.endpoint.probe(Some(&id), now).await.map(|reply| reply.state) {
            Some(RequestState::Running) => (not_running, unanswered) = (0, 0),
            Some(RequestState::NotRunning) => {
                not_running += 1;
                delay = FIRST_PROBE_DELAY;
            }
            // Without a reported state, the tail service time of the class is used instead.
            Some(RequestState::Unreported) if held_for > held_slot.tail => return,
            Some(RequestState::Unreported) => {}
            None => unanswered += 1,
        }
        if not_running >= MIN_NOT_RUNNING || unanswered >= MAX_UNANSWERED || held_for > MAX_HOLD {
            return;
        }
    }
}
