//! Stand-ins for the platform, over real HTTP, with switches for faults.

pub mod endpoint;
