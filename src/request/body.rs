//! Reads request bodies: the whole body is received from the caller before anything is sent to an
//! endpoint.

use crate::request::outcome::{Reason, Refusal};
use crate::request::settings::Limits;
use actix_web::web::Payload;
use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use std::cell::Cell;
use std::rc::Rc;

/// Total size of the request bodies held by this daemon.
#[derive(Debug, Default)]
pub(super) struct HeldBytes(Cell<usize>);

impl HeldBytes {
    /// The number of bytes currently held.
    pub fn get(&self) -> usize {
        self.0.get()
    }
}

/// A request body; its bytes count as held until it is dropped.
#[derive(Debug)]
pub(super) struct HeldBody {
    pub bytes: Bytes,
    held: Rc<HeldBytes>,
    counted_bytes: usize,
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        self.held.0.set(self.held.0.get() - self.counted_bytes);
    }
}

/// Reads a whole request body. The request holds no slot during this time, so that slow senders
/// don't take capacity from other callers.
pub(super) async fn read_whole(
    payload: Payload,
    held: &Rc<HeldBytes>,
    limits: &Limits,
) -> Result<HeldBody, Refusal> {
    actix_web::rt::time::timeout(limits.body_time, read_limited(payload, held, limits))
        .await
        .unwrap_or(Err(Refusal::not_run(Reason::BodyTooSlow)))
}

async fn read_limited(
    mut payload: Payload,
    held: &Rc<HeldBytes>,
    limits: &Limits,
) -> Result<HeldBody, Refusal> {
    let mut body = HeldBody { bytes: Bytes::new(), held: Rc::clone(held), counted_bytes: 0 };
    let mut buf = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_| Refusal::not_run(Reason::BodyBroken))?;
        if buf.len() + chunk.len() > limits.body_bytes {
            return Err(Refusal::not_run(Reason::BodyTooLarge));
        }
        if held.0.get() + chunk.len() > limits.held_bytes {
            return Err(Refusal::not_run(Reason::QueueFull));
        }
        held.0.set(held.0.get() + chunk.len());
        body.counted_bytes += chunk.len();
        buf.extend_from_slice(&chunk);
    }
    body.bytes = buf.freeze();
    Ok(body)
}
