//! Header names used with callers, endpoints and other daemons.

use actix_web::http::header::{HeaderMap, HeaderName, HeaderValue};

/// Id of a request; generated if the caller gives none.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("waxwing-request-id");
/// Remaining time until the deadline, in milliseconds.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("waxwing-deadline-ms");
/// Team on whose behalf the request is made.
pub const TEAM: HeaderName = HeaderName::from_static("waxwing-team");
/// Outcome of the request: `ran`, `not-run` or `unknown`.
pub const OUTCOME: HeaderName = HeaderName::from_static("waxwing-outcome");
/// Machine-readable reason for the outcome.
pub const REASON: HeaderName = HeaderName::from_static("waxwing-reason");
/// Set by an endpoint that did not run a request and won't.
pub const NOT_RUN: HeaderName = HeaderName::from_static("waxwing-not-run");
/// Set by an endpoint in its answer to a probe: state of the request named in the probe.
pub const REQUEST_STATE: HeaderName = HeaderName::from_static("waxwing-request-state");
/// Daemon that forwarded the request; a request is forwarded at most once.
pub const FORWARDED_BY: HeaderName = HeaderName::from_static("waxwing-forwarded-by");

/// Hop-by-hop headers, and headers that are set again for each hop.
const NOT_FORWARDED: [&str; 12] = [
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

/// Whether a header is forwarded unchanged.
pub fn is_forwarded(name: &HeaderName) -> bool {
    !name.as_str().starts_with("waxwing-") && !NOT_FORWARDED.contains(&name.as_str())
}

/// Returns the headers that are forwarded unchanged.
pub(super) fn forwarded_headers(headers: &HeaderMap) -> Vec<(HeaderName, HeaderValue)> {
    headers
        .iter()
        .filter(|(name, _)| is_forwarded(name))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
