//! Names of the headers shared with callers, endpoints and other daemons.

use actix_web::http::header::{HeaderMap, HeaderName, HeaderValue};

/// Id of a request; made here where the caller gives none.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("waxwing-request-id");
/// Time the caller still waits, in milliseconds.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("waxwing-deadline-ms");
/// Team on whose behalf the caller asks.
pub const TEAM: HeaderName = HeaderName::from_static("waxwing-team");
/// What became of the request: `ran`, `not-run` or `unknown`.
pub const OUTCOME: HeaderName = HeaderName::from_static("waxwing-outcome");
/// Why, as a word that programs can read.
pub const REASON: HeaderName = HeaderName::from_static("waxwing-reason");
/// An endpoint's word that it did not run a request and won't.
pub const NOT_RUN: HeaderName = HeaderName::from_static("waxwing-not-run");
/// An endpoint's word on the request that a probe names.
pub const REQUEST_STATE: HeaderName = HeaderName::from_static("waxwing-request-state");
/// Daemon that forwarded the request; a request is forwarded once at most.
pub const FORWARDED_BY: HeaderName = HeaderName::from_static("waxwing-forwarded-by");

/// Headers that concern one connection only, or that are written anew.
const PER_CONNECTION: [&str; 12] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Whether a header is passed on as it came.
pub fn is_passed_on(name: &HeaderName) -> bool {
    !name.as_str().starts_with("waxwing-") && !PER_CONNECTION.contains(&name.as_str())
}

/// Those headers that are passed on.
pub(super) fn passed_on(headers: &HeaderMap) -> Vec<(HeaderName, HeaderValue)> {
    headers
        .iter()
        .filter(|(name, _)| is_passed_on(name))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
