//! Table-driven fault tests of the policy. Each file in `tests/tables/policy` holds cases; each
//! case defines a small fleet, a sequence of events, and the answers expected from the policy.

use indexmap::IndexMap;
use serde::Deserialize;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use waxwingstall::core::policy::{
    Candidate, Decision, PlacementDecision, Policy, ReliefStep, RunningTask, explain,
};
use waxwingstall::ids::{Attempt, BootId, ClassName, DaemonId, PartitionId, TaskId, VmId};
use waxwingstall::model::{
    BatchClass, Config, Idempotency, Pool, Resumption, Service, Team, Urgency, Weights,
};
use waxwingstall::peer::{ClassCount, VmHealth, VmView};
use waxwingstall::task::{Outcome, TaskSpec};
use waxwingstall::units::Resources;
use waxwingstall::worker::{TenantUsage, UsageReport};

/// Processors of each VM, and memory per processor.
const CORES: u32 = 32;
const MIB_PER_CORE: u32 = 2048;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Table {
    case: Vec<Case>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    name: String,
    weights: Option<Weights>,
    /// Quota of the only team, in processors.
    quota: Option<u32>,
    /// Number of tasks of each class on each VM.
    vms: Vec<IndexMap<String, u32>>,
    step: Vec<Step>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Step {
    at: u64,
    #[serde(default = "one")]
    times: u64,
    #[serde(default = "one")]
    every: u64,
    #[serde(flatten)]
    action: Action,
    expect: Option<String>,
}

fn one() -> u64 {
    1
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Action {
    Report(Report),
    Ended(EndedEvent),
    /// Asks for the relief steps of a VM with these batch tasks.
    Relieve(RelieveRequest),
    Choose(ChooseRequest),
    Remove(usize),
    /// Replaces the tasks on a VM.
    Fill(Fill),
    /// Sets the pool's minimum VM size to this many processors.
    PoolOf(u32),
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Report {
    vm: usize,
    seq: u64,
    #[serde(default = "one")]
    boot: u64,
    age: u64,
    slowdown: IndexMap<String, f64>,
    /// Whether each repetition sends the same `seq`; otherwise `seq` increases.
    #[serde(default)]
    repeated: bool,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct EndedEvent {
    vm: usize,
    class: String,
    fails: bool,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RelieveRequest {
    vm: usize,
    tasks: IndexMap<String, u64>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ChooseRequest {
    class: String,
    #[serde(default)]
    waited: u64,
    cores: Option<u32>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Fill {
    vm: usize,
    tasks: IndexMap<String, u32>,
}

fn cores_of(class: &str) -> u32 {
    match class {
        "build" => 8,
        _ => 4,
    }
}

fn size_of(cores: u32) -> Resources {
    Resources::new(cores * 1000, cores * MIB_PER_CORE, 0)
}

fn config(case: &Case) -> Config {
    let mut config = Config { weights: case.weights.unwrap_or_default(), ..Config::default() };
    config.pools.insert("all".into(), Pool::default());
    for name in ["narration", "build"] {
        let class = BatchClass {
            pool: "all".into(),
            team: "audio".into(),
            resources: size_of(cores_of(name)),
            expected: Duration::from_secs(600),
            idempotency: Idempotency::Idempotent,
            resumption: Resumption::Checkpoint,
            urgency: Urgency::Normal,
            max_failures: 3,
        };
        config.batch.insert(name.into(), class);
    }
    let service = Service { slots: 8, connections: 64, resources: size_of(4) };
    config.services.insert("shop".into(), service);
    if let Some(cores) = case.quota {
        config.teams.insert("audio".into(), Team { quota: size_of(cores) });
    }
    config
}

fn vm(index: usize) -> VmId {
    VmId::new(&format!("vm-{index}"))
}

fn view(index: usize, tasks: &IndexMap<String, u32>, health: VmHealth) -> VmView {
    let used = tasks.iter().map(|(class, count)| cores_of(class) * count).sum::<u32>();
    let count = |(class, count): (&String, &u32)| ClassCount {
        class: ClassName::new(class),
        count: *count,
    };
    VmView {
        vm: vm(index),
        holder: DaemonId::from("daemon-1"),
        domain: "kacyiru".into(),
        rack: "rack-0".into(),
        size: size_of(CORES),
        free: size_of(CORES - used),
        classes: tasks.iter().map(count).collect(),
        health,
    }
}

/// The policy under test, and the state that the core would keep for it.
struct Run {
    policy: Policy,
    config: Config,
    fills: Vec<IndexMap<String, u32>>,
    health: Vec<VmHealth>,
    next_task: u64,
}

impl Run {
    fn new(case: &Case) -> Self {
        let config = config(case);
        let mut policy = Policy::new(Arc::new(config.clone())).with_settle(Duration::ZERO);
        for (index, tasks) in case.vms.iter().enumerate() {
            policy.upsert_vm(view(index, tasks, VmHealth::Open));
        }
        let health = vec![VmHealth::Open; case.vms.len()];
        Self { policy, config, fills: case.vms.clone(), health, next_task: 0 }
    }

    /// Executes an action and returns the policy's answer as text, if there is one.
    fn execute(&mut self, action: &Action, repetition: u64, now: Duration) -> Option<String> {
        match action {
            Action::Report(report) => self.report(report, repetition, now),
            Action::Ended(ended) => self.ended(ended, now),
            Action::Relieve(request) => return Some(self.relieve(request, now)),
            Action::Choose(request) => return Some(self.choose(request, now)),
            Action::Remove(index) => self.policy.remove_vm(&vm(*index)),
            Action::Fill(fill) => {
                self.fills[fill.vm] = fill.tasks.clone();
                self.update_view(fill.vm);
            }
            Action::PoolOf(cores) => {
                let pool = Pool { domains: Vec::new(), min_size: size_of(*cores) };
                self.config.pools.insert("all".into(), pool);
                self.policy.configure(Arc::new(self.config.clone()));
            }
        }
        None
    }

    fn update_view(&mut self, index: usize) {
        self.policy.upsert_vm(view(index, &self.fills[index], self.health[index]));
    }

    fn report(&mut self, report: &Report, repetition: u64, now: Duration) {
        let tenant = |(number, (class, slowdown)): (usize, (&String, &f64))| TenantUsage {
            task: TaskId::new(PartitionId(1), number as u64),
            class: ClassName::new(class),
            milli_cores: 0,
            memory_mib: 0,
            slowdown: *slowdown,
            progress: 0.1,
        };
        let usage = UsageReport {
            boot: BootId(report.boot),
            seq: report.seq + if report.repeated { 0 } else { repetition },
            age: Duration::from_secs(report.age),
            load: 0.7,
            tenants: report.slowdown.iter().enumerate().map(tenant).collect(),
        };
        self.policy.handle_report(&vm(report.vm), &usage, now);
    }

    fn ended(&mut self, ended: &EndedEvent, now: Duration) {
        let outcome = match ended.fails {
            true => Outcome::Failed { reason: "exit 1".to_owned() },
            false => Outcome::Succeeded,
        };
        self.policy.record_outcome(&vm(ended.vm), &ClassName::new(&ended.class), &outcome, now);
    }

    fn relieve(&mut self, request: &RelieveRequest, now: Duration) -> String {
        let running_tasks: Vec<_> = request
            .tasks
            .iter()
            .map(|(class, number)| RunningTask {
                task: TaskId::new(PartitionId(1), *number),
                attempt: Attempt(1),
                spec: self.spec(class),
                since: Duration::ZERO,
                checkpoint_at: None,
                progress: 0.1,
            })
            .collect();
        let steps = self.policy.decide_relief(&vm(request.vm), &running_tasks, now);
        let words: Vec<_> = steps.iter().map(|step| self.apply_relief(step)).collect();
        if words.is_empty() { "nothing".to_owned() } else { words.join(", ") }
    }

    fn apply_relief(&mut self, step: &Decision<ReliefStep>) -> String {
        let replayed = explain::replay(&step.record).expect("the record can be replayed");
        assert_eq!(replayed, explain::Replayed::Relief(Some(step.choice.clone())));
        match &step.choice {
            ReliefStep::Throttle { share, .. } => format!("throttle {share}"),
            ReliefStep::Evict { task, .. } => format!("evict {task}"),
            ReliefStep::Health { vm: id, health } => {
                let index = (0..self.health.len()).find(|index| vm(*index) == *id);
                let index = index.expect("a known VM");
                self.health[index] = *health;
                self.update_view(index);
                format!("{health:?}").to_lowercase()
            }
        }
    }

    fn spec(&self, class: &str) -> TaskSpec {
        let class = ClassName::new(class);
        let batch = &self.config.batch[&class];
        TaskSpec {
            class,
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

    fn choose(&mut self, request: &ChooseRequest, now: Duration) -> String {
        self.next_task += 1;
        let mut spec = self.spec(&request.class);
        if let Some(cores) = request.cores {
            spec.resources = size_of(cores);
        }
        let candidate = Candidate {
            task: TaskId::new(PartitionId(2), self.next_task),
            attempt: Attempt(1),
            spec,
            waited: Duration::from_secs(request.waited),
            avoid: Vec::new(),
        };
        let decision = self.policy.place(&candidate, now);
        let replayed = explain::replay(&decision.record).expect("the record can be replayed");
        assert_eq!(replayed, explain::Replayed::Choice(decision.choice.clone()));
        match decision.choice {
            PlacementDecision::Place { vm } => format!("place {vm}"),
            PlacementDecision::Wait { reason } => format!("wait: {reason}"),
            PlacementDecision::Never { .. } => {
                decision.record.verdict.replacen("refused", "never", 1)
            }
        }
    }
}

/// Whether the answer equals the expected one; for waits and refusals, whether it has the expected
/// kind and contains the expected text.
fn matches(expected: &str, answer: &str) -> bool {
    match expected.split_once(": ") {
        Some((kind, words)) => answer.starts_with(kind) && answer.contains(words),
        None => answer == expected,
    }
}

fn run_table(path: &Path) -> datatest_stable::Result<()> {
    let table: Table = toml::from_str(&std::fs::read_to_string(path)?)?;
    for case in &table.case {
        let mut run = Run::new(case);
        for (number, step) in case.step.iter().enumerate() {
            for repetition in 0..step.times {
                let now = Duration::from_secs(step.at + repetition * step.every);
                let answer = run.execute(&step.action, repetition, now);
                let Some(expected) = &step.expect else { continue };
                let answer = answer.unwrap_or_default();
                let (name, number) = (&case.name, number + 1);
                if !matches(expected, &answer) {
                    let message = format!("{name}: step {number}: not `{expected}` but `{answer}`");
                    return Err(message.into());
                }
            }
        }
    }
    Ok(())
}

datatest_stable::harness! {
    { test = run_table, root = "tests/tables/policy", pattern = r"^.*\.toml$" },
}
