//! Parses the head of a request: id, class, deadline and team.

use crate::ids::{ClassName, RequestId, ServiceName, TeamName};
use crate::model::{Config, Idempotency, RequestClass};
use crate::request::headers;
use crate::request::outcome::{Reason, Refusal};
use actix_web::HttpRequest;
use actix_web::http::Method;
use actix_web::http::header::{HeaderMap, HeaderName, HeaderValue};
use rand::Rng;
use std::time::Duration;

/// Maximum length of a request id or team name from a caller.
const MAX_NAME_LENGTH: usize = 128;

/// A request without its body.
#[derive(Clone, Debug)]
pub(super) struct Arrival {
    pub id: RequestId,
    pub class: ClassName,
    pub service: ServiceName,
    pub idempotency: Idempotency,
    pub team: Option<TeamName>,
    /// Whether another daemon forwarded the request.
    pub forwarded: bool,
    /// Deadline for the whole answer.
    pub due: Duration,
    pub method: Method,
    /// Path and query to send to the endpoint.
    pub path: String,
    pub headers: Vec<(HeaderName, HeaderValue)>,
}

/// Returns the id given by the caller, or a new one.
pub(super) fn request_id(req: &HttpRequest) -> Result<RequestId, Refusal> {
    match req.headers().get(headers::REQUEST_ID) {
        None => Ok(new_id()),
        Some(value) => match parse_name(value) {
            Some(text) => Ok(RequestId::new(text)),
            None => Err(Refusal::not_run(Reason::BadRequestId)),
        },
    }
}

/// Generates a random id.
pub(super) fn new_id() -> RequestId {
    let number: u128 = rand::rng().random();
    RequestId::new(&format!("{number:032x}"))
}

impl Arrival {
    /// Parses the head of a request.
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
                Some(TeamName::new(parse_name(value).ok_or(Refusal::not_run(Reason::BadTeam))?))
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
            headers: headers::forwarded_headers(req.headers()),
        })
    }

    /// Time from `now` to the deadline.
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

fn parse_name(value: &HeaderValue) -> Option<&str> {
    let text = value.to_str().ok()?;
    let valid_length = (1..=MAX_NAME_LENGTH).contains(&text.len());
    (valid_length && text.bytes().all(|byte| byte.is_ascii_graphic())).then_some(text)
}
