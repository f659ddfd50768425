//! Streams an answer to the caller with back pressure.
//!
//! Chunks are read from the endpoint only as fast as the caller reads them, so that a large answer
//! takes little memory in the daemon. The server never polls the stream again once the caller stops
//! reading, which would hold the slot forever; so the slot is released at the deadline.

use crate::ids::RequestId;
use crate::request::answer::{AnswerStream, Truncated};
use crate::request::dispatch::InFlight;
use crate::request::outcome::Reason;
use actix_web::rt::time::sleep;
use bytes::Bytes;
use futures::Stream;
use futures::stream;
use std::cell::RefCell;
use std::rc::{Rc, Weak};
use std::time::Duration;

/// Resources that are released together when the answer ends.
struct ActiveStream {
    stream: Box<AnswerStream>,
    in_flight: InFlight,
}

/// State of an answer between two polls.
enum StreamState {
    Idle(ActiveStream),
    /// A chunk is being read.
    Reading,
    /// The answer ended, complete or truncated.
    Ended,
    /// The deadline passed before the caller had read everything.
    Expired,
}

type SharedState = Rc<RefCell<StreamState>>;

struct CallerStream {
    state: SharedState,
    id: RequestId,
    deadline_task: actix_web::rt::task::JoinHandle<()>,
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        self.deadline_task.abort();
    }
}

/// Returns the chunks of an answer as a stream; a truncated answer ends it with an error, which
/// closes the caller's connection.
pub(super) fn new(
    stream: Box<AnswerStream>,
    id: RequestId,
    in_flight: InFlight,
) -> impl Stream<Item = Result<Bytes, actix_web::Error>> + 'static {
    let left = stream.time_left();
    let state = Rc::new(RefCell::new(StreamState::Idle(ActiveStream { stream, in_flight })));
    let deadline_task =
        actix_web::rt::spawn(release_at_deadline(Rc::downgrade(&state), id.clone(), left));
    stream::unfold(CallerStream { state, id, deadline_task }, |caller_stream| async move {
        let chunk = caller_stream.next().await?;
        Some((chunk.map_err(actix_web::error::ErrorBadGateway), caller_stream))
    })
}

impl CallerStream {
    async fn next(&self) -> Option<Result<Bytes, Truncated>> {
        let previous = self.state.replace(StreamState::Reading);
        let ActiveStream { mut stream, in_flight } = match previous {
            StreamState::Idle(active) => active,
            StreamState::Expired => {
                self.state.replace(StreamState::Ended);
                return Some(Err(Truncated(Reason::DeadlinePassed)));
            }
            StreamState::Reading | StreamState::Ended => return None,
        };
        let truncated = match stream.next().await {
            Some(Ok(chunk)) => {
                self.state.replace(StreamState::Idle(ActiveStream { stream, in_flight }));
                return Some(Ok(chunk));
            }
            Some(Err(truncated)) => truncated,
            None => stream.finish().await.err()?,
        };
        in_flight.record_truncation(&self.id, truncated);
        self.state.replace(StreamState::Ended);
        Some(Err(truncated))
    }
}

/// Releases the slot at the deadline if the caller has not read the whole answer.
async fn release_at_deadline(state: Weak<RefCell<StreamState>>, id: RequestId, left: Duration) {
    sleep(left).await;
    let Some(state) = state.upgrade() else { return };
    if !matches!(*state.borrow(), StreamState::Idle(_)) {
        // A chunk is being read, which has the same deadline.
        return;
    }
    if let StreamState::Idle(active) = state.replace(StreamState::Expired) {
        active.in_flight.record_truncation(&id, Truncated(Reason::DeadlinePassed));
    }
}
