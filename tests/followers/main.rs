//! Tests of the store followers: what the records actor reports to control.

mod claims;
mod departures;
mod fleet;
mod harness;
mod operators;
mod samples;
