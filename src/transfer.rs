//! Reading the body of an answer, and telling how far it had come where it didn't end.

use bytes::{Bytes, BytesMut};
use futures::{Stream, StreamExt};
use std::fmt::Display;
use tokio::time::{Instant, timeout_at};

/// Result of reading a body.
pub type Result<T> = std::result::Result<T, Error>;

/// A body that was not read to its end.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    #[error("the answer was given up with {got} of {} bytes read", size(*of))]
    Late { got: usize, of: Option<u64> },
    #[error("the answer broke off with {got} of {} bytes read ({reason})", size(*of))]
    Broken { got: usize, of: Option<u64>, reason: String },
    #[error("the answer is larger than {most} bytes; ask for less, or raise the limit")]
    TooLarge { most: usize },
}

fn size(of: Option<u64>) -> String {
    of.map_or_else(|| "an unknown number of".to_owned(), |of| of.to_string())
}

/// Reads a body of at most `most` bytes, until `until`; `of` is its size, if the head tells it.
pub async fn read<S, E>(body: &mut S, of: Option<u64>, most: usize, until: Instant) -> Result<Bytes>
where
    S: Stream<Item = std::result::Result<Bytes, E>> + Unpin,
    E: Display,
{
    let mut buf = BytesMut::new();
    loop {
        let got = buf.len();
        let chunk = match timeout_at(until, body.next()).await {
            Err(_) => return Err(Error::Late { got, of }),
            Ok(None) => return Ok(buf.freeze()),
            Ok(Some(Err(e))) => return Err(Error::Broken { got, of, reason: e.to_string() }),
            Ok(Some(Ok(chunk))) => chunk,
        };
        if got + chunk.len() > most {
            return Err(Error::TooLarge { most });
        }
        buf.extend_from_slice(&chunk);
    }
}
