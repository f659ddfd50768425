//! Reading the body of an answer, and telling how far it had come where it didn't end.
//!
//! A time for the whole of a body would have to know its size and the link: a body that takes longer is given up
//! each time it is asked for, and never arrives. So a body of any size is read as long as more of it comes.

use awc::http::header::{CONTENT_LENGTH, HeaderMap};
use bytes::{Bytes, BytesMut};
use futures::{Stream, StreamExt};
use std::fmt::Display;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Result of reading a body.
pub type Result<T> = std::result::Result<T, Error>;

/// Time for a body that comes in parts, however large: 16 MB at 10 Mbit/s, and half as much again.
const LONGEST: Duration = Duration::from_secs(20);

/// A body that was not read to its end.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    #[error("the answer was given up with {got} of {} bytes read", size(*of))]
    Late { got: usize, of: Option<u64> },
    #[error("the answer broke off with {got} of {} bytes read ({reason})", size(*of))]
    Broken { got: usize, of: Option<u64>, reason: String },
    #[error("the answer has {} bytes, of {most} that it may have", size(*of))]
    TooLarge { of: Option<u64>, most: usize },
}

fn size(of: Option<u64>) -> String {
    of.map_or_else(|| "an unknown number of".to_owned(), |of| of.to_string())
}

/// Until when a body is read.
#[derive(Clone, Copy, Debug)]
pub enum Limit {
    Until(Instant),
    /// As long as each part comes within this time of the one before.
    Parts(Duration),
}

impl Limit {
    /// Until when the next part has to come.
    fn next(self, began: Instant) -> Instant {
        match self {
            Self::Until(until) => until,
            Self::Parts(part) => (Instant::now() + part).min(began + LONGEST),
        }
    }
}

/// Size of a body, if its head tells it.
pub fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// Reads a body of at most `most` bytes; `of` is its size, if the head tells it.
pub async fn read<S, E>(body: &mut S, of: Option<u64>, most: usize, limit: Limit) -> Result<Bytes>
where
    S: Stream<Item = std::result::Result<Bytes, E>> + Unpin,
    E: Display,
{
    if of.is_some_and(|of| of > most as u64) {
        return Err(Error::TooLarge { of, most });
    }
    let began = Instant::now();
    let mut buf = BytesMut::new();
    loop {
        let got = buf.len();
        let chunk = match timeout_at(limit.next(began), body.next()).await {
            Err(_) => return Err(Error::Late { got, of }),
            Ok(None) => return Ok(buf.freeze()),
            Ok(Some(Err(e))) => return Err(Error::Broken { got, of, reason: e.to_string() }),
            Ok(Some(Ok(chunk))) => chunk,
        };
        if got + chunk.len() > most {
            return Err(Error::TooLarge { of, most });
        }
        buf.extend_from_slice(&chunk);
    }
}
