//! A request as it arrives: its id, class, deadline and team.

use crate::ids::{ClassName, RequestId, ServiceName, TeamName};
use crate::model::{Config, Idempotency, RequestClass};
use crate::request::headers;
use crate::request::outcome::{Reason, Refusal};
use actix_web::HttpRequest;
use actix_web::http::Method;
use actix_web::http::header::{HeaderMap, HeaderName, HeaderValue};
use rand::Rng;
use std::time::Duration;

/// Longest id or team name taken from a caller.
const LONGEST_NAME: usize = 128;

/// A request, except for its body.
#[derive(Clone, Debug)]
pub(super) struct Arrival {
    pub id: RequestId,
    pub class: ClassName,
    pub service: ServiceName,
    pub idempotency: Idempotency,
    pub team: Option<TeamName>,
    /// Whether another daemon forwarded it here.
    pub forwarded: bool,
    /// When the whole answer is due.
    pub due: Duration,
    pub method: Method,
    /// Path and query towards the endpoint.
    pub path: String,
    pub headers: Vec<(HeaderName, HeaderValue)>,
}

/// The caller's id, or a new one.
pub(super) fn request_id(req: &HttpRequest) -> Result<RequestId, Refusal> {
    match req.headers().get(headers::REQUEST_ID) {
        None => Ok(new_id()),
        Some(value) => match name(value) {
            Some(text) => Ok(RequestId::new(text)),
            None => Err(Refusal::not_run(Reason::BadRequestId)),
        },
    }
}

/// An id that no other request has.
pub(super) fn new_id() -> RequestId {
    let number: u128 = rand::rng().random();
    RequestId::new(&format!("{number:032x}"))
}

impl Arrival {
    /// Reads a request's head.
    pub fn read(
        req: &HttpRequest,
        id: RequestId,
        cfg: &Config,
        now: Duration,
    ) -> Result<Self, Refusal> {
        let class_name = ClassName::new(req.match_info().get("class").unwrap_or_default());
        let class = cfg.requests.get(&class_name).ok_or(Refusal::not_run(Reason::UnknownClass))?;
        let team = match req.headers().get(headers::TEAM) {
            None => None,
            Some(value) => {
                Some(TeamName::new(name(value).ok_or(Refusal::not_run(Reason::BadTeam))?))
            }
        };
        Ok(Self {
            id,
            class: class_name,
            service: class.service.clone(),
            idempotency: class.idempotency,
            team,
            forwarded: req.headers().contains_key(headers::FORWARDED_BY),
            due: now + time_allowed(req.headers(), class)?,
            method: req.method().clone(),
            path: endpoint_path(req),
            headers: headers::passed_on(req.headers()),
        })
    }

    /// Time left at `now`.
    pub fn left(&self, now: Duration) -> Duration {
        self.due.saturating_sub(now)
    }
}

fn time_allowed(headers: &HeaderMap, class: &RequestClass) -> Result<Duration, Refusal> {
    let Some(value) = headers.get(headers::DEADLINE_MS) else {
        return Ok(class.deadline);
    };
    let millis = value.to_str().ok().and_then(|text| text.parse::<u64>().ok());
    match millis {
        Some(millis) if millis > 0 => Ok(Duration::from_millis(millis).min(class.deadline)),
        _ => Err(Refusal::not_run(Reason::BadDeadline)),
    }
}

fn endpoint_path(req: &HttpRequest) -> String {
    let tail = req.match_info().get("tail").unwrap_or_default();
    match req.uri().query() {
        Some(query) => format!("/{tail}?{query}"),
        None => format!("/{tail}"),
    }
}

fn name(value: &HeaderValue) -> Option<&str> {
    let text = value.to_str().ok()?;
    let fits = (1..=LONGEST_NAME).contains(&text.len());
    (fits && text.bytes().all(|byte| byte.is_ascii_graphic())).then_some(text)
}
