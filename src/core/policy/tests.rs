//! Unit tests of the policy's decisions, on constructed views and reports.

mod failures;
mod learning;
mod placement;
mod quotas;
mod relief;
mod waiting;

use super::*;
use crate::ids::{BootId, DaemonId, PartitionId, PoolName};
use crate::model::{BatchClass, Idempotency, Pool, Resumption, Service, Team, Urgency};
use crate::peer::ClassCount;
use crate::worker::TenantUsage;

pub const HOUR: Duration = Duration::from_secs(3600);

pub fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

pub fn vm(index: usize) -> VmId {
    VmId::new(&format!("vm-{index:05}"))
}

pub fn class(name: &str, cores: u32) -> BatchClass {
    BatchClass {
        pool: PoolName::from("all"),
        team: TeamName::from(if name == "wash" { "cellar" } else { "audio" }),
        resources: Resources::new(cores * 1000, cores * 2048, 0),
        expected: secs(600),
        idempotency: Idempotency::Idempotent,
        resumption: Resumption::Checkpoint,
        urgency: Urgency::Normal,
        max_failures: 3,
    }
}

pub fn config() -> Config {
    let mut config = Config::default();
    config.pools.insert("all".into(), Pool::default());
    config.batch.insert("narration".into(), class("narration", 4));
    config.batch.insert("build".into(), class("build", 8));
    config.batch.insert("wash".into(), class("wash", 2));
    let shop = Service { slots: 8, connections: 64, resources: Resources::new(4000, 8192, 0) };
    config.services.insert("shop".into(), shop);
    config
}

pub fn with_quota(mut config: Config, team: &str, cores: u32) -> Config {
    let quota = Resources::new(cores * 1000, cores * 4096, 0);
    config.teams.insert(team.into(), Team { quota });
    config
}

pub fn view(index: usize) -> VmView {
    let size = Resources::new(32_000, 125_000, 0);
    VmView {
        vm: vm(index),
        holder: DaemonId::from("daemon-1"),
        domain: DomainId::from("kacyiru"),
        rack: RackId::new(&format!("rack-{}", index / 8)),
        size,
        free: size,
        classes: Vec::new(),
        health: VmHealth::Open,
    }
}

pub fn with_tasks(mut view: VmView, class: &str, count: u32) -> VmView {
    let cores = if class == "build" { 8 } else { 4 };
    let taken = Resources::new(cores * 1000, cores * 2048, 0).saturating_mul(count);
    view.free = view.free.saturating_sub(&taken);
    view.classes.push(ClassCount { class: class.into(), count });
    view
}

pub fn spec(config: &Config, class: &str) -> TaskSpec {
    let batch = &config.batch[&ClassName::from(class)];
    TaskSpec {
        class: class.into(),
        team: batch.team.clone(),
        pool: batch.pool.clone(),
        resources: batch.resources,
        expected: batch.expected,
        idempotency: batch.idempotency,
        resumption: batch.resumption,
        urgency: batch.urgency,
        max_failures: batch.max_failures,
        payload: String::new(),
    }
}

pub fn candidate(config: &Config, class: &str, number: u64) -> Candidate {
    Candidate {
        task: TaskId::new(PartitionId(1), number),
        attempt: Attempt(1),
        spec: spec(config, class),
        waited: Duration::ZERO,
        avoid: Vec::new(),
    }
}

/// A policy that knows `views` and has no settle time, so that it refuses what can't fit at once.
pub fn policy(config: Config, views: impl IntoIterator<Item = VmView>) -> Policy {
    let mut policy = Policy::new(Arc::new(config)).with_settle(Duration::ZERO);
    for view in views {
        policy.upsert_vm(view);
    }
    policy
}

/// A report of a measurement taken `age` ago.
pub fn report(seq: u64, age: Duration, load: f64, tenants: Vec<TenantUsage>) -> UsageReport {
    UsageReport { boot: BootId(1), seq, age, load, tenants }
}

pub fn tenant(class: &str, number: u64, slowdown: f64) -> TenantUsage {
    TenantUsage {
        task: TaskId::new(PartitionId(1), number),
        class: class.into(),
        milli_cores: 4000,
        memory_mib: 8192,
        slowdown,
        progress: 0.0,
    }
}

/// A batch task that started at `since` and has no checkpoint.
pub fn running_task(config: &Config, class: &str, number: u64, since: Duration) -> RunningTask {
    RunningTask {
        task: TaskId::new(PartitionId(1), number),
        attempt: Attempt(1),
        spec: spec(config, class),
        since,
        checkpoint_at: None,
        progress: 0.2,
    }
}

/// Applies changes of health to the views, as the core does.
pub fn apply_health(policy: &mut Policy, steps: &[Decision<ReliefStep>]) {
    for step in steps {
        if let ReliefStep::Health { vm, health } = &step.choice {
            let mut view = policy.fleet.get(vm).expect("the VM is known").view.clone();
            view.health = *health;
            policy.upsert_vm(view);
        }
    }
}

pub fn assert_replays(decision: &Decision<ReliefStep>) {
    let text = serde_json::to_string(&decision.record).expect("a record can be written");
    let record = serde_json::from_str(&text).expect("a record can be read");
    let replayed = explain::replay(&record).expect("it can be replayed");
    assert_eq!(replayed, explain::Replayed::Relief(Some(decision.choice.clone())));
}
