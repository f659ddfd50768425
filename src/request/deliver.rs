//! A request's tries, until one is answered or no more may be made.

use crate::ids::VmId;
use crate::model::Idempotency;
use crate::request::admission::Refused;
use crate::request::answer::Answer;
use crate::request::arrival::Arrival;
use crate::request::attempt::{Attempt, NotRun, Tried};
use crate::request::dispatch::Inner;
use crate::request::endpoint::Endpoint;
use crate::request::fleet::Wanted;
use crate::request::journal::Try;
use crate::request::outcome::{Reason, Refusal};
use crate::request::slot::Slot;
use bytes::Bytes;
use rand::Rng;
use std::rc::Rc;
use std::time::Duration;

/// Tries of one request.
const MOST_TRIES: u32 = 3;

/// Longest pause before the first retry; doubled for the next.
const PAUSE: Duration = Duration::from_millis(10);

/// Time after which to come back when endpoints refuse or fail.
const COME_BACK: Duration = Duration::from_secs(1);

/// What is known of a request so far.
#[derive(Default)]
struct Sofar {
    tries: u32,
    avoid: Vec<VmId>,
    /// Why an earlier try may have run it.
    doubt: Option<Reason>,
    /// Why the last try did not run it.
    not_run: Option<Reason>,
    /// Whether a retry was made that the budget does not count.
    spared: bool,
    /// An endpoint's own error, passed on if no retry does better.
    error: Option<Answer>,
}

/// What a retry costs.
enum Cost {
    /// It is taken from the budget.
    Budget,
    /// The cause is over with this one request, so that it can't multiply the load: the endpoint
    /// said that it leaves and gets no more, or one connection went silent while the endpoint is
    /// well. One such retry a request.
    Spared,
}

impl Inner {
    /// Brings a request to an endpoint and its answer back.
    pub(super) async fn deliver(
        self: &Rc<Self>,
        arrival: &Arrival,
        body: &Bytes,
    ) -> Result<Answer, Refusal> {
        self.retry_budget.borrow_mut().deposit();
        let mut sofar = Sofar::default();
        loop {
            let slot = match self.wait_for_slot(arrival, &sofar).await {
                Ok(slot) => slot,
                Err(refused) => return self.without_slot(arrival, body, sofar, refused).await,
            };
            let Some(endpoint) = slot.endpoint().map(Rc::clone) else {
                return Err(sofar.refusal());
            };
            sofar.tries += 1;
            let tried = self.attempt(arrival, body, slot, &endpoint).await;
            let cost = match self.weigh(arrival, &endpoint, tried, &mut sofar) {
                Weighed::Final(result) => return result,
                Weighed::Again(cost) => cost,
            };
            if !self.may_retry(arrival, &mut sofar, &cost) {
                return sofar.give_up();
            }
            sofar.avoid.push(endpoint.vm.clone());
            self.pause(sofar.tries).await;
        }
    }

    async fn wait_for_slot(
        self: &Rc<Self>,
        arrival: &Arrival,
        sofar: &Sofar,
    ) -> Result<Slot, Refused> {
        let asked = self.fleet.now();
        let wanted = Wanted {
            service: &arrival.service,
            class: &arrival.class,
            team: arrival.team.as_ref(),
            due: arrival.due,
            avoid: &sofar.avoid,
        };
        let got = self.fleet.acquire(&wanted).await;
        let queued = self.fleet.now().saturating_sub(asked);
        let route = match &got {
            Ok(slot) => match slot.endpoint() {
                Some(endpoint) => format!("{}: least predicted finish", endpoint.vm),
                None => String::new(),
            },
            Err(refused) => format!("no slot: {}", refused.reason),
        };
        self.journal.borrow_mut().route(&arrival.id, queued, route);
        got
    }

    async fn attempt(
        self: &Rc<Self>,
        arrival: &Arrival,
        body: &Bytes,
        slot: Slot,
        endpoint: &Rc<Endpoint>,
    ) -> Tried {
        let at = self.fleet.now();
        let whole_bytes = self.settings.limits.whole_answer_bytes;
        let attempt = Attempt { fleet: &self.fleet, arrival, body, whole_bytes };
        let tried = actix_web::rt::time::timeout(arrival.left(at), attempt.run(slot, endpoint))
            .await
            .unwrap_or(Tried::Unknown(Reason::DeadlinePassed));
        let result = match &tried {
            Tried::Answered(answer) => format!("answered {}", answer.status.as_u16()),
            Tried::NotRun(why) => format!("not run: {why:?}"),
            Tried::Unknown(reason) => format!("unknown: {reason}"),
        };
        let took = self.fleet.now().saturating_sub(at);
        let tried_at = Try { vm: endpoint.vm.clone(), at, took, result };
        self.journal.borrow_mut().tried(&arrival.id, tried_at);
        tried
    }

    /// Whether a try settles the request, or what another would cost.
    fn weigh(
        &self,
        arrival: &Arrival,
        endpoint: &Endpoint,
        tried: Tried,
        sofar: &mut Sofar,
    ) -> Weighed {
        let idempotent = arrival.idempotency == Idempotency::Idempotent;
        match tried {
            Tried::Answered(answer) if idempotent && answer.status.is_server_error() => {
                sofar.error = Some(answer);
                Weighed::Again(Cost::Budget)
            }
            Tried::Answered(answer) => Weighed::Final(Ok(answer)),
            Tried::NotRun(why) => {
                sofar.not_run = Some(why.reason());
                Weighed::Again(self.weigh_not_run(why, endpoint))
            }
            Tried::Unknown(reason) if !idempotent => Weighed::Final(Err(Refusal::unknown(reason))),
            Tried::Unknown(reason) => {
                sofar.doubt = Some(reason);
                Weighed::Again(match reason {
                    Reason::ConnectionSilent => Cost::Spared,
                    _ => Cost::Budget,
                })
            }
        }
    }

    fn weigh_not_run(&self, why: NotRun, endpoint: &Endpoint) -> Cost {
        match why {
            NotRun::Leaving | NotRun::Unreachable => {
                endpoint.health.borrow_mut().leaves(self.fleet.now());
                Cost::Spared
            }
            NotRun::Unproved | NotRun::Full => Cost::Budget,
        }
    }

    fn may_retry(&self, arrival: &Arrival, sofar: &mut Sofar, cost: &Cost) -> bool {
        if sofar.tries >= MOST_TRIES || arrival.left(self.fleet.now()).is_zero() {
            return false;
        }
        let spared = matches!(cost, Cost::Spared) && !sofar.spared;
        sofar.spared |= spared;
        spared || self.retry_budget.borrow_mut().withdraw()
    }

    async fn pause(&self, tries: u32) {
        let longest = PAUSE * 2_u32.saturating_pow(tries.saturating_sub(1));
        let pause = longest.mul_f64(rand::rng().random());
        actix_web::rt::time::sleep(pause).await;
    }

    async fn without_slot(
        self: &Rc<Self>,
        arrival: &Arrival,
        body: &Bytes,
        sofar: Sofar,
        refused: Refused,
    ) -> Result<Answer, Refusal> {
        if sofar.tries > 0 {
            return sofar.give_up();
        }
        if let Some(result) = self.forward(arrival, body, refused).await {
            return result;
        }
        Err(Refusal::not_run(refused.reason).with_retry_after(refused.retry_after))
    }
}

/// What a try means for the request.
enum Weighed {
    Final(Result<Answer, Refusal>),
    Again(Cost),
}

impl Sofar {
    /// The final answer when no more tries may be made.
    fn give_up(mut self) -> Result<Answer, Refusal> {
        match self.error.take() {
            Some(answer) => Ok(answer),
            None => Err(self.refusal()),
        }
    }

    /// Not run, unless a try may have run it.
    fn refusal(&self) -> Refusal {
        match self.doubt {
            Some(reason) => Refusal::unknown(reason),
            None => Refusal::not_run(self.not_run.unwrap_or(Reason::NoEndpoint)),
        }
        .with_retry_after(COME_BACK)
    }
}
