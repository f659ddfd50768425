//! The daemons that share the work: who is there, which shards there are, and who owns them.
//!
//! A shard's owner is named by its head, a key in the store on which each of the owner's commits
//! rests: a daemon that lost a shard can't commit any more, and so can't start anything. Who takes
//! a shard next is only a proposal; when two try, one write of the head succeeds.

pub mod head;
pub mod member;
pub mod ownership;
pub mod plan;

pub use head::{Head, Replaced};
pub use member::{Hello, Member, MemberStage, ShardNews, StoreReach};
pub use ownership::{Action, Event, HandOver, Ownership};
pub use plan::Plan;
