//! Shards on VMs and a store that fail.

mod crashes;
mod faults;
mod hold;
mod jobs;
mod leaving;
mod limits;
mod lists;
mod loans;
mod order;
mod permits;
mod random;
mod resize;
mod silence;
mod state;
mod takeover;
mod vacate;
mod witness;
mod world;
