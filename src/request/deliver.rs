//! Attempts of one request, repeated until one is answered or no further retry is allowed.

use crate::ids::VmId;
use crate::model::Idempotency;
use crate::request::admission::Rejection;
use crate::request::answer::Answer;
use crate::request::arrival::Arrival;
use crate::request::attempt::{Attempt, AttemptResult, NotRun};
use crate::request::dispatch::Inner;
use crate::request::endpoint::Endpoint;
use crate::request::fleet::SlotRequest;
use crate::request::journal::Try;
use crate::request::outcome::{Reason, Refusal};
use crate::request::slot::Slot;
use bytes::Bytes;
use rand::Rng;
use std::rc::Rc;
use std::time::Duration;

/// Attempts per request, the first one included.
const MAX_ATTEMPTS: u32 = 3;

/// Upper bound of the random delay before the first retry; doubled for each further one.
const MAX_FIRST_DELAY: Duration = Duration::from_millis(10);

/// `retry-after` sent to the caller when endpoints refuse or fail.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// State of a request across its attempts.
#[derive(Default)]
struct RequestProgress {
    tries: u32,
    avoid: Vec<VmId>,
    /// Set once an attempt may have run the request: the reason of the latest such attempt.
    may_have_run: Option<Reason>,
    /// Reason of the latest attempt that is known not to have run the request.
    not_run: Option<Reason>,
    /// Whether the one retry outside the budget has been used.
    free_retry_used: bool,
    /// Latest server error from an endpoint, returned if no retry succeeds.
    error: Option<Answer>,
}

/// Whether a retry is charged to the retry budget.
enum Cost {
    /// Deducted from the retry budget.
    Budget,
    /// Not charged, because the cause can't repeat and multiply the load: the endpoint reported
    /// that it is leaving and gets no more requests, or a single connection went silent while the
    /// endpoint is healthy. At most one per request.
    Free,
}

impl Inner {
    /// Runs a request on an endpoint, retrying as needed, and returns its answer.
    pub(super) async fn deliver(
        self: &Rc<Self>,
        arrival: &Arrival,
        body: &Bytes,
    ) -> Result<Answer, Refusal> {
        self.retry_budget.borrow_mut().deposit();
        let mut progress = RequestProgress::default();
        loop {
            let slot = match self.wait_for_slot(arrival, &progress).await {
                Ok(slot) => slot,
                Err(rejection) => {
                    return self.finish_without_slot(arrival, body, progress, rejection).await;
                }
            };
            let Some(endpoint) = slot.endpoint().map(Rc::clone) else {
                return Err(progress.refusal());
            };
            progress.tries += 1;
            let tried = self.run_attempt(arrival, body, slot, &endpoint).await;
            let cost = match self.decide(arrival, &endpoint, tried, &mut progress) {
                Decision::Final(result) => return result,
                Decision::Retry(cost) => cost,
            };
            if !self.may_retry(arrival, &mut progress, &cost) {
                return progress.give_up();
            }
            progress.avoid.push(endpoint.vm.clone());
            self.wait_before_retry(progress.tries).await;
        }
    }

    async fn wait_for_slot(
        self: &Rc<Self>,
        arrival: &Arrival,
        progress: &RequestProgress,
    ) -> Result<Slot, Rejection> {
        let asked = self.fleet.now();
        let slot_request = SlotRequest {
            service: &arrival.service,
            class: &arrival.class,
            team: arrival.team.as_ref(),
            due: arrival.due,
            avoid: &progress.avoid,
        };
        let got = self.fleet.acquire(&slot_request).await;
        let queued = self.fleet.now().saturating_sub(asked);
        let route = match &got {
            Ok(slot) => match slot.endpoint() {
                Some(endpoint) => format!("{}: least predicted finish", endpoint.vm),
                None => String::new(),
            },
            Err(rejection) => format!("no slot: {}", rejection.reason),
        };
        self.journal.borrow_mut().route(&arrival.id, queued, route);
        got
    }

    async fn run_attempt(
        self: &Rc<Self>,
        arrival: &Arrival,
        body: &Bytes,
        slot: Slot,
        endpoint: &Rc<Endpoint>,
    ) -> AttemptResult {
        let at = self.fleet.now();
        let max_buffered_bytes = self.settings.limits.whole_answer_bytes;
        let attempt = Attempt { fleet: &self.fleet, arrival, body, max_buffered_bytes };
        let tried = actix_web::rt::time::timeout(arrival.left(at), attempt.run(slot, endpoint))
            .await
            .unwrap_or(AttemptResult::Unknown(Reason::DeadlinePassed));
        let result = match &tried {
            AttemptResult::Answered(answer) => format!("answered {}", answer.status.as_u16()),
            AttemptResult::NotRun(why) => format!("not run: {why:?}"),
            AttemptResult::Unknown(reason) => format!("unknown: {reason}"),
        };
        let took = self.fleet.now().saturating_sub(at);
        let tried_at = Try { vm: endpoint.vm.clone(), at, took, result };
        self.journal.borrow_mut().tried(&arrival.id, tried_at);
        tried
    }

    /// Decides whether an attempt is final or a retry is possible, and how that is charged.
    fn decide(
        &self,
        arrival: &Arrival,
        endpoint: &Endpoint,
        tried: AttemptResult,
        progress: &mut RequestProgress,
    ) -> Decision {
        let idempotent = arrival.idempotency == Idempotency::Idempotent;
        match tried {
            AttemptResult::Answered(answer) if idempotent && answer.status.is_server_error() => {
                progress.error = Some(answer);
                Decision::Retry(Cost::Budget)
            }
            AttemptResult::Answered(answer) => Decision::Final(Ok(answer)),
            AttemptResult::NotRun(why) => {
                progress.not_run = Some(why.reason());
                Decision::Retry(self.retry_cost(why, endpoint))
            }
            AttemptResult::Unknown(reason) if !idempotent => {
                Decision::Final(Err(Refusal::unknown(reason)))
            }
            AttemptResult::Unknown(reason) => {
                progress.may_have_run = Some(reason);
                Decision::Retry(match reason {
                    Reason::ConnectionSilent => Cost::Free,
                    _ => Cost::Budget,
                })
            }
        }
    }

    fn retry_cost(&self, why: NotRun, endpoint: &Endpoint) -> Cost {
        match why {
            NotRun::Leaving | NotRun::Unreachable => {
                endpoint.health.borrow_mut().mark_leaving(self.fleet.now());
                Cost::Free
            }
            NotRun::Unproved | NotRun::Full => Cost::Budget,
        }
    }

    fn may_retry(&self, arrival: &Arrival, progress: &mut RequestProgress, cost: &Cost) -> bool {
        if progress.tries >= MAX_ATTEMPTS || arrival.left(self.fleet.now()).is_zero() {
            return false;
        }
        let free = matches!(cost, Cost::Free) && !progress.free_retry_used;
        progress.free_retry_used |= free;
        free || self.retry_budget.borrow_mut().withdraw()
    }

    async fn wait_before_retry(&self, tries: u32) {
        let max_delay = MAX_FIRST_DELAY * 2_u32.saturating_pow(tries.saturating_sub(1));
        let delay = max_delay.mul_f64(rand::rng().random());
        actix_web::rt::time::sleep(delay).await;
    }

    async fn finish_without_slot(
        self: &Rc<Self>,
        arrival: &Arrival,
        body: &Bytes,
        progress: RequestProgress,
        rejection: Rejection,
    ) -> Result<Answer, Refusal> {
        if progress.tries > 0 {
            return progress.give_up();
        }
        if let Some(result) = self.forward(arrival, body, rejection).await {
            return result;
        }
        Err(Refusal::not_run(rejection.reason).with_retry_after(rejection.retry_after))
    }
}

/// What to do after an attempt.
enum Decision {
    Final(Result<Answer, Refusal>),
    Retry(Cost),
}

impl RequestProgress {
    /// The result when no retry is allowed: the last server error, or a refusal.
    fn give_up(mut self) -> Result<Answer, Refusal> {
        match self.error.take() {
            Some(answer) => Ok(answer),
            None => Err(self.refusal()),
        }
    }

    /// A refusal as `not-run`, or as `unknown` if an attempt may have run the request.
    fn refusal(&self) -> Refusal {
        match self.may_have_run {
            Some(reason) => Refusal::unknown(reason),
            None => Refusal::not_run(self.not_run.unwrap_or(Reason::NoEndpoint)),
        }
        .with_retry_after(RETRY_AFTER)
    }
}
