//! Daemons' cores joined to in-memory VMs and a log, on one clock, with switches for faults.
//!
//! What happened is counted by the VMs' ledger; the cores are never asked to vouch for themselves.

pub mod log;
pub mod net;
pub mod promises;
pub mod solo;
pub mod world;

use std::time::Duration;
use waxwingstall::ids::{
    ClassName, DaemonId, DomainId, PartitionId, PoolName, RackId, TeamName, VmId,
};
use waxwingstall::model::{Idempotency, Resumption, Urgency};
use waxwingstall::task::TaskSpec;
use waxwingstall::units::Resources;
use waxwingstall::worker::VmStatus;

/// The one failure domain of these tests.
pub const DOMAIN: &str = "kacyiru";

/// Milliseconds, for short.
pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Partition zero.
pub const PARTITION: PartitionId = PartitionId(0);

/// A daemon's id.
pub fn daemon(name: &str) -> DaemonId {
    DaemonId::new(name)
}

/// A worker of four cores.
pub fn worker(name: &str) -> VmStatus {
    VmStatus {
        vm: VmId::new(name),
        domain: DomainId::new(DOMAIN),
        rack: RackId::new("r1"),
        size: Resources::new(4_000, 8_192, 0),
        boot: waxwingstall::ids::BootId(1),
        tasks: Vec::new(),
    }
}

/// A task of one core that runs for `work` undisturbed.
pub fn spec(kind: Kind, work: Duration) -> TaskSpec {
    let (class, idempotency, resumption) = match kind {
        Kind::Narration => ("narration", Idempotency::Idempotent, Resumption::Checkpoint),
        Kind::PrintBuild => ("print-build", Idempotency::NonIdempotent, Resumption::Never),
    };
    TaskSpec {
        class: ClassName::new(class),
        team: TeamName::new("authors"),
        pool: PoolName::new("workers"),
        resources: Resources::new(1_000, 1_024, 0),
        expected: work,
        idempotency,
        resumption,
        urgency: Urgency::Normal,
        max_failures: 3,
        payload: format!("{{\"work_ms\": {}}}", work.as_millis()),
    }
}

/// The two sorts of tasks that promises differ for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Idempotent, resumes from a checkpoint.
    Narration,
    /// Runs at most once.
    PrintBuild,
}
