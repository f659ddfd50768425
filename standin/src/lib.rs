//! Stand-ins for the platform, over real HTTP, with switches for faults.
//!
//! Each stand-in keeps its own count of what happened, so that a claim about the system is
//! checked against what the platform saw and not against what the system says of itself.

pub mod balancer;
pub mod endpoint;
pub mod fakes;
pub mod kv;
pub mod ledger;
pub mod list;
pub mod machines;
pub mod meter;
pub mod permits;
pub mod platform;
pub mod rack;
pub mod runs;
pub mod server;
pub mod silent;
pub mod troubled;
pub mod txns;
pub mod worker;
