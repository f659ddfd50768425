//! Reads whole request bodies as far as a memory budget allows.
//!
//! A request holds no slot while its body is received, so that slow senders don't take capacity from
//! other callers.

use super::table::Conn;
use crate::memory::{MemoryBudget, Reservation};
use actix_web::web::Payload;
use actix_web::{HttpRequest, rt};
use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use std::rc::Rc;
use std::time::Duration;

/// Result of reading a body.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a body was not read. Nothing has been done with the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    #[error("the body ended early")]
    Broken,
    #[error("the body has more than {0} bytes; send less")]
    TooLarge(usize),
    #[error("the body was not complete within {} s; send it again", .0.as_secs())]
    TooSlow(Duration),
    #[error("too many bytes are being received just now; send it again")]
    NoMemory,
}

/// Limits on one body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyLimits {
    /// Maximum size in bytes.
    pub bytes: usize,
    /// Part of the size that doesn't count against the budget.
    pub free_bytes: usize,
    /// Timeout for the whole body.
    pub time: Duration,
}

/// A request body; its bytes count against the budget until it is dropped.
#[derive(Debug)]
pub struct Body {
    pub bytes: Bytes,
    _held: Reservation,
}

/// Reads a whole body. If the budget is used up, stalled connections give way first.
pub async fn read(
    req: &HttpRequest,
    payload: Payload,
    budget: &MemoryBudget,
    limits: BodyLimits,
) -> Result<Body> {
    let conn = req.conn_data::<Rc<Conn>>().map(Rc::as_ref);
    let set_reading = |is_reading| conn.iter().for_each(|conn| conn.set_reading(is_reading));
    set_reading(true);
    let body = rt::time::timeout(limits.time, read_limited(payload, conn, budget, limits)).await;
    set_reading(false);
    body.unwrap_or(Err(Error::TooSlow(limits.time)))
}

async fn read_limited(
    mut payload: Payload,
    conn: Option<&Conn>,
    budget: &MemoryBudget,
    limits: BodyLimits,
) -> Result<Body> {
    let mut held = budget.reservation();
    let mut buf = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_| Error::Broken)?;
        let len = buf.len() + chunk.len();
        if len > limits.bytes {
            return Err(Error::TooLarge(limits.bytes));
        }
        if len > buf.capacity() {
            let max = if len <= limits.free_bytes { limits.free_bytes } else { limits.bytes };
            let capacity = len.next_power_of_two().min(max);
            reserve(&mut held, capacity.saturating_sub(limits.free_bytes), conn).await?;
            buf.reserve(capacity - buf.len());
        }
        buf.extend_from_slice(&chunk);
    }
    Ok(Body { bytes: buf.freeze(), _held: held })
}

async fn reserve(held: &mut Reservation, bytes: usize, conn: Option<&Conn>) -> Result<()> {
    while !held.try_resize(bytes) {
        if !conn.is_some_and(Conn::make_room) {
            return Err(Error::NoMemory);
        }
        // The closed connection releases its body when its task runs.
        tokio::task::yield_now().await;
    }
    Ok(())
}
