//! Connections from clients, and what they may take of the machine.
//!
//! Each port has a [`Table`] of its open connections, and a share of the machine's memory and file
//! descriptors that its clients can't exceed, whatever they send ([`limits`]). A [`Stream`] lets one
//! request at a time through, so that nothing is decoded or buffered ahead of it, and counts how
//! long it takes. If a share is used up, the connections that have stalled are closed first, then
//! idle ones. Requests that are being answered are never cut off.

pub mod body;
mod framing;
pub mod http;
pub mod limits;
mod stream;
mod table;

#[cfg(test)]
mod tests;

pub use framing::{Frames, Framing, Requests};
pub use limits::{MachineLimits, PortLimits};
pub use stream::Stream;
pub use table::{Closed, Conn, Port, Table};
