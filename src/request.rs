//! Callers' requests: from arrival to the whole answer.
//!
//! A request arrives at `/v1/requests/{class}/{path}`, is read whole, waits for a slot of an
//! endpoint of its class's service, and is sent there. Its answer goes back once it is known to be
//! the answer to this request and, where it is short enough to be held, to be complete. Every
//! answer says what became of the request; see [`outcome`].
//!
//! # Protocol towards endpoints
//!
//! * HTTP/1.1 with `waxwing-request-id`, `waxwing-deadline-ms` (time left) and, where the caller
//!   gave one, `waxwing-team`. The endpoint echoes `waxwing-request-id` in its answer; an answer
//!   with another id is never passed on.
//! * An answer has a `content-length`, or is chunked on a connection that stays open. An answer
//!   that ends by closing the connection can't be told from one that was cut.
//! * An endpoint that did not run the request, and won't, answers 503 with
//!   `waxwing-not-run: leaving` or `waxwing-not-run: full`.
//! * `GET /health` takes no slot and answers 200 while the endpoint takes requests, or 503 with
//!   `waxwing-not-run: leaving`. Where the probe names a request in `waxwing-request-id`, the
//!   endpoint may say in `waxwing-request-state` whether it is `running`, `answered` or `unseen`;
//!   that tells a silent connection from a slow request.
//! * One request at a time on a connection, at most as many at once as the service has slots.

pub mod admission;
mod answer;
mod arrival;
mod attempt;
mod body;
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
