//! The outcome of a request, which every answer states.
//!
//! `not-run` is a guarantee: it is reported only if no byte of the request was sent to an endpoint,
//! or if the endpoint itself reported that it did not run the request. In case of doubt, the
//! outcome is `unknown`.

use crate::ids::RequestId;
use crate::inbound::body;
use crate::request::headers;
use actix_web::http::StatusCode;
use actix_web::http::header;
use actix_web::{HttpResponse, HttpResponseBuilder};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// Retry hint while too many bytes are being received.
const RETRY_AFTER_NO_MEMORY: Duration = Duration::from_secs(1);

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// An endpoint answered the request, possibly with an error.
    Ran,
    /// No endpoint ran the request, and none will.
    NotRun,
    /// The request may have run, or may still run.
    Unknown,
}

/// Reason for the outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    Answered,
    UnknownClass,
    BadRequestId,
    BadDeadline,
    BadTeam,
    BodyTooLarge,
    BodyTooSlow,
    BodyBroken,
    Draining,
    NoConfig,
    NoEndpoint,
    QueueFull,
    NoSlot,
    DeadlineTooShort,
    DeadlinePassed,
    EndpointsRefused,
    ConnectFailed,
    ConnectionSilent,
    ConnectionLost,
    AnswerCut,
    AnswerMismatch,
    AnswerUnbounded,
    PeerFailed,
}

/// A final answer that doesn't come from an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    pub outcome: Outcome,
    pub reason: Reason,
    /// Time after which the caller should retry, if a retry can help.
    pub retry_after: Option<Duration>,
}

impl Outcome {
    /// The value of the `waxwing-outcome` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl Outcome {
    /// Parses the value of the header.
    pub fn read(value: &str) -> Option<Self> {
        [Self::Ran, Self::NotRun, Self::Unknown].into_iter().find(|known| known.as_str() == value)
    }
}

impl Reason {
    /// Every reason.
    pub const ALL: [Self; 23] = [
        Self::Answered,
        Self::UnknownClass,
        Self::BadRequestId,
        Self::BadDeadline,
        Self::BadTeam,
        Self::BodyTooLarge,
        Self::BodyTooSlow,
        Self::BodyBroken,
        Self::Draining,
        Self::NoConfig,
        Self::NoEndpoint,
        Self::QueueFull,
        Self::NoSlot,
        Self::DeadlineTooShort,
        Self::DeadlinePassed,
        Self::EndpointsRefused,
        Self::ConnectFailed,
        Self::ConnectionSilent,
        Self::ConnectionLost,
        Self::AnswerCut,
        Self::AnswerMismatch,
        Self::AnswerUnbounded,
        Self::PeerFailed,
    ];

    /// Parses the value of the header.
    pub fn read(value: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|known| known.as_str() == value)
    }

    /// The value of the `waxwing-reason` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::UnknownClass => "unknown-class",
            Self::BadRequestId => "bad-request-id",
            Self::BadDeadline => "bad-deadline",
            Self::BadTeam => "bad-team",
            Self::BodyTooLarge => "body-too-large",
            Self::BodyTooSlow => "body-too-slow",
            Self::BodyBroken => "body-broken",
            Self::Draining => "draining",
            Self::NoConfig => "no-config",
            Self::NoEndpoint => "no-endpoint",
            Self::QueueFull => "queue-full",
            Self::NoSlot => "no-slot",
            Self::DeadlineTooShort => "deadline-too-short",
            Self::DeadlinePassed => "deadline-passed",
            Self::EndpointsRefused => "endpoints-refused",
            Self::ConnectFailed => "connect-failed",
            Self::ConnectionSilent => "connection-silent",
            Self::ConnectionLost => "connection-lost",
            Self::AnswerCut => "answer-cut",
            Self::AnswerMismatch => "answer-mismatch",
            Self::AnswerUnbounded => "answer-unbounded",
            Self::PeerFailed => "peer-failed",
        }
    }

    /// What the caller can do, as human-readable text.
    fn remedy(self) -> &'static str {
        match self {
            Self::Answered => "the endpoint's answer follows",
            Self::UnknownClass => "use a class that the configuration declares",
            Self::BadRequestId => "use 1 to 128 visible ASCII characters, or leave the id out",
            Self::BadDeadline => "give the deadline in whole milliseconds above zero",
            Self::BadTeam => "use 1 to 128 visible ASCII characters, or leave the team out",
            Self::BodyTooLarge => "send a smaller body",
            Self::BodyTooSlow => "send the body faster",
            Self::BodyBroken => "send the whole body as declared",
            Self::Draining | Self::NoConfig => "send it again; another daemon will take it",
            Self::NoEndpoint => "send it again later; no endpoint serves this class now",
            Self::QueueFull | Self::NoSlot => "send it again after the time in retry-after",
            Self::DeadlineTooShort => "send it again later, or with a longer deadline",
            Self::DeadlinePassed => "send it again with a longer deadline if the outcome allows",
            Self::EndpointsRefused | Self::ConnectFailed => "send it again after a short while",
            Self::ConnectionSilent
            | Self::ConnectionLost
            | Self::AnswerCut
            | Self::AnswerMismatch
            | Self::AnswerUnbounded
            | Self::PeerFailed => {
                "send it again if running it twice is harmless; else look at its effect first"
            }
        }
    }

    fn status(self) -> StatusCode {
        match self {
            Self::Answered => StatusCode::OK,
            Self::UnknownClass => StatusCode::NOT_FOUND,
            Self::BadRequestId | Self::BadDeadline | Self::BadTeam | Self::BodyBroken => {
                StatusCode::BAD_REQUEST
            }
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::Draining
            | Self::NoConfig
            | Self::NoEndpoint
            | Self::QueueFull
            | Self::NoSlot
            | Self::DeadlineTooShort
            | Self::EndpointsRefused
            | Self::ConnectFailed => StatusCode::SERVICE_UNAVAILABLE,
            Self::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
            Self::ConnectionSilent
            | Self::ConnectionLost
            | Self::AnswerCut
            | Self::AnswerMismatch
            | Self::AnswerUnbounded
            | Self::PeerFailed => StatusCode::BAD_GATEWAY,
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl Refusal {
    /// A refusal of a request that did not run.
    pub fn not_run(reason: Reason) -> Self {
        Self { outcome: Outcome::NotRun, reason, retry_after: None }
    }

    /// A refusal of a request that may have run.
    pub fn unknown(reason: Reason) -> Self {
        Self { outcome: Outcome::Unknown, reason, retry_after: None }
    }

    /// Sets the time after which to retry.
    pub fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Builds the HTTP response.
    pub fn answer(&self, id: &RequestId) -> HttpResponse {
        let mut resp = HttpResponseBuilder::new(self.reason.status());
        add_outcome_headers(&mut resp, id, self.outcome, self.reason);
        if let Some(after) = self.retry_after {
            resp.insert_header((header::RETRY_AFTER, round_up_to_seconds(after).to_string()));
        }
        resp.content_type("text/plain");
        resp.body(format!("{}: {}\n", self.reason, self.reason.remedy()))
    }
}

impl From<body::Error> for Refusal {
    fn from(e: body::Error) -> Self {
        match e {
            body::Error::Broken => Self::not_run(Reason::BodyBroken),
            body::Error::TooLarge(_) => Self::not_run(Reason::BodyTooLarge),
            body::Error::TooSlow(_) => Self::not_run(Reason::BodyTooSlow),
            body::Error::NoMemory => {
                Self::not_run(Reason::QueueFull).with_retry_after(RETRY_AFTER_NO_MEMORY)
            }
        }
    }
}

/// Adds the headers that state the outcome.
pub(super) fn add_outcome_headers(
    resp: &mut HttpResponseBuilder,
    id: &RequestId,
    outcome: Outcome,
    reason: Reason,
) {
    resp.insert_header((headers::REQUEST_ID, id.as_str()));
    resp.insert_header((headers::OUTCOME, outcome.as_str()));
    resp.insert_header((headers::REASON, reason.as_str()));
}

fn round_up_to_seconds(after: Duration) -> u64 {
    after.as_secs() + u64::from(after.subsec_nanos() > 0)
}
