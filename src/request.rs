//! The request path: routes the requests of callers to endpoints and returns the answers.
//!
//! A request to `/v1/requests/{class}/{path}` is received completely, waits for a slot of an
//! endpoint of its class's service, and is sent there. The answer is returned once it is verified
//! to belong to the request and, if it is short enough to be buffered, to be complete. Every answer
//! states the outcome of the request; see [`outcome`].
//!
//! # Protocol with endpoints
//!
//! * HTTP/1.1 with `waxwing-request-id`, `waxwing-deadline-ms` (time left) and, if the caller gave
//!   one, `waxwing-team`. The endpoint echoes `waxwing-request-id` in its answer; an answer with
//!   another id is never returned to the caller.
//! * An answer has a `content-length`, or is chunked on a connection that stays open. An answer
//!   that ends by closing the connection is rejected, as it may have been truncated.
//! * An endpoint that did not run the request, and won't, answers 503 with
//!   `waxwing-not-run: leaving` or `waxwing-not-run: full`.
//! * `GET /health` takes no slot and returns 200 while the endpoint accepts requests, or 503 with
//!   `waxwing-not-run: leaving`. If the probe names a request in `waxwing-request-id`, the endpoint
//!   may report in `waxwing-request-state` whether it is `running`, `answered` or `unseen`, which
//!   distinguishes a silent connection from a slow request.
//! * One request at a time per connection, and at most as many at once as the service has slots.

pub mod admission;
mod answer;
mod arrival;
mod attempt;
mod conn;
mod deliver;
pub mod dispatch;
mod endpoint;
mod fleet;
pub mod headers;
pub mod health;
mod hop;
pub mod journal;
pub mod outcome;
mod pieces;
pub mod retry;
pub mod route;
mod settings;
pub mod share;
mod silence;
mod slot;
pub mod status;

#[cfg(test)]
mod tests;

pub use dispatch::Dispatcher;
pub use endpoint::{EndpointInfo, EndpointState};
pub use fleet::Shares;
pub use hop::PeerFront;
pub use journal::{Explained, RequestExplanation};
pub use outcome::{Outcome, Reason};
pub use settings::{DispatcherSettings, Limits};
pub use status::RequestStatus;
