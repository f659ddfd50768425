//! Simulation tests of shards with failing VMs, network and store.

mod admission;
mod announcements;
mod copies;
mod crashes;
mod duplicates;
mod elsewhere;
mod evacuation;
mod faults;
mod hold;
mod instances;
mod invariants;
mod jobs;
mod learned;
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
mod world;
