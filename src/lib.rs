//! A scheduler for latency-critical services and batch work colocated on the same VMs.
//!
//! Two facts decide everything: what was accepted, kept by the platform's key-value service
//! ([`store`]), and what runs on a VM, kept by that VM's own lease table ([`worker`]). A daemon
//! caches these two and keeps nothing else that matters, so that any daemon can be replaced at
//! any time. The decisions are made in [`core`], which does no I/O.

pub mod api;
pub mod audit;
pub mod chart;
pub mod client;
pub mod clock;
pub mod cluster;
pub mod config;
pub mod connections;
pub mod control;
pub mod core;
pub mod daemon;
pub mod departures;
pub mod duration;
pub mod evacuation;
pub mod front;
pub mod ids;
pub mod inbound;
pub mod job;
pub mod jobs;
pub mod journal;
pub mod kv;
pub mod listing;
pub mod logs;
pub mod membership;
pub mod memory;
pub mod metrics;
pub mod model;
pub mod note;
pub mod panics;
pub mod peer;
pub mod peers;
pub mod permit;
pub mod queues;
pub mod report;
pub mod request;
pub mod revisions;
pub mod ring;
pub mod settings;
pub mod shard;
pub mod storage;
pub mod store;
pub mod task;
pub mod tasklog;
pub mod trace;
pub mod transfer;
pub mod units;
pub mod upkeep;
pub mod usage;
pub mod vm;
pub mod worker;
pub mod workers;
