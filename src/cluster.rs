//! Cluster membership, the division of VMs into shards, and the ownership of shards.
//!
//! A shard's owner is recorded in its head, a key in the store. Every commit of the owner is
//! conditional on that key, so a daemon that lost a shard can neither commit nor start anything.
//! Choosing the next owner needs no agreement: if two daemons claim a shard, only one write of the
//! head succeeds.

pub mod head;
pub mod member;
pub mod ownership;
pub mod plan;

pub use head::{ExpectedOwner, Head};
pub use member::{
    DeclineReason, EndedOwnership, Hello, Member, MemberStage, OfferAnswer, ReleasedShard,
    ShardReport, StoreReachability,
};
pub use ownership::{Action, Event, HandOver, OfferOutcome, Ownership};
pub use plan::Plan;
