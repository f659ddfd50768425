//! The decisions, without I/O: `(state, event, now) → actions`.
//!
//! Nothing here reads a clock, a socket or a random source of its own, and nothing depends on the
//! order of a hash. The same events at the same times give the same actions, so that a recorded
//! decision can be repeated and explained.

pub mod event;
pub mod policy;

pub use event::{Action, Event};
