//! An answer as the caller takes it.
//!
//! Pieces are read from the endpoint only as fast as the caller reads them, so that a large answer
//! takes little memory here. A caller that stops reading is never asked for again, though, and
//! would keep the endpoint's slot for good; so when the answer is due, the slot is taken back.

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

/// What is given up together when the answer ends.
struct Rest {
    stream: Box<AnswerStream>,
    in_flight: InFlight,
}

/// The rest of an answer between two pieces.
enum Shelved {
    Rest(Rest),
    /// A piece is being read.
    Reading,
    /// The answer ended, whole or cut.
    Ended,
    /// The caller did not read in time.
    TakenBack,
}

type Shelf = Rc<RefCell<Shelved>>;

struct Pieces {
    shelf: Shelf,
    id: RequestId,
    guard: actix_web::rt::task::JoinHandle<()>,
}

impl Drop for Pieces {
    fn drop(&mut self) {
        self.guard.abort();
    }
}

/// The pieces of an answer; the caller's connection is cut where the answer is.
pub(super) fn new(
    stream: Box<AnswerStream>,
    id: RequestId,
    in_flight: InFlight,
) -> impl Stream<Item = Result<Bytes, actix_web::Error>> + 'static {
    let left = stream.time_left();
    let shelf = Rc::new(RefCell::new(Shelved::Rest(Rest { stream, in_flight })));
    let guard = actix_web::rt::spawn(take_back(Rc::downgrade(&shelf), id.clone(), left));
    stream::unfold(Pieces { shelf, id, guard }, |pieces| async move {
        let piece = pieces.next().await?;
        Some((piece.map_err(actix_web::error::ErrorBadGateway), pieces))
    })
}

impl Pieces {
    async fn next(&self) -> Option<Result<Bytes, Truncated>> {
        let shelved = self.shelf.replace(Shelved::Reading);
        let Rest { mut stream, in_flight } = match shelved {
            Shelved::Rest(rest) => rest,
            Shelved::TakenBack => {
                self.shelf.replace(Shelved::Ended);
                return Some(Err(Truncated(Reason::DeadlinePassed)));
            }
            Shelved::Reading | Shelved::Ended => return None,
        };
        let truncated = match stream.next().await {
            Some(Ok(chunk)) => {
                self.shelf.replace(Shelved::Rest(Rest { stream, in_flight }));
                return Some(Ok(chunk));
            }
            Some(Err(truncated)) => truncated,
            None => stream.finish().await.err()?,
        };
        in_flight.record_truncation(&self.id, truncated);
        self.shelf.replace(Shelved::Ended);
        Some(Err(truncated))
    }
}

/// Takes the slot back from a caller that does not read.
async fn take_back(shelf: Weak<RefCell<Shelved>>, id: RequestId, left: Duration) {
    sleep(left).await;
    let Some(shelf) = shelf.upgrade() else { return };
    if !matches!(*shelf.borrow(), Shelved::Rest(_)) {
        // A piece is being read, which ends by the same time of its own accord.
        return;
    }
    if let Shelved::Rest(rest) = shelf.replace(Shelved::TakenBack) {
        rest.in_flight.record_truncation(&id, Truncated(Reason::DeadlinePassed));
    }
}
