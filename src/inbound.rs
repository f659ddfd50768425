//! What clients may take of the machine.
//!
//! Each port has a share of the machine's memory and file descriptors that its clients can't exceed,
//! whatever they send ([`limits`]).

pub mod body;
pub mod limits;

#[cfg(test)]
mod tests;

pub use limits::{MachineLimits, PortLimits};
