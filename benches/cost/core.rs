//! The core in virtual time, against lease tables without I/O.

use crate::fit::{self, Point};
use indexmap::IndexMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use waxwingstall::core::event::{CommitResult, ListedState, ListedVm};
use waxwingstall::core::{Action, Core, CoreSettings, Event, PartitionHome};
use waxwingstall::ids::{
    BootId, ClassName, DaemonId, DomainId, IdempotencyKey, PartitionId, PoolName, RackId, Revision,
    TeamName, Ticket, VmId,
};
use waxwingstall::model::{BatchClass, Config, Idempotency, Pool, Resumption, Team, Urgency};
use waxwingstall::peer::{Member, MemberState};
use waxwingstall::task::TaskSpec;
use waxwingstall::units::Resources;
use waxwingstall::usage::thread_time;
use waxwingstall::worker::{AcquireReq, SyncReq, VmStatus};
use waxwingstall_standin::ledger::Ledger;
use waxwingstall_standin::worker::{LeaseTable, TableSettings};

const TICK: Duration = Duration::from_millis(100);
const VM_SIZE: Resources = Resources::new(32_000, 125_000, 2);
const TASK_SIZE: Resources = Resources::new(500, 1_000, 0);
const DOMAIN: &str = "kacyiru";
const PARTITION: PartitionId = PartitionId(0);
const HOUR: Duration = Duration::from_secs(3600);
const SETTLE: Duration = Duration::from_secs(20);
const MEASURE: Duration = Duration::from_secs(60);

pub fn per_vm() {
    let cost = |vms: u32| {
        let mut bench = Bench::new(vms);
        bench.fill(vms * 10, HOUR);
        bench.measure(0.0, HOUR).as_secs_f64() * 1e3 / MEASURE.as_secs_f64()
    };
    let points = [7, 28, 112].map(|vms| Point { size: f64::from(vms), cost: cost(vms) });
    fit::print("processor, VMs with 10 tasks each", "ms/s", "VM", &points);
}

pub fn per_task() {
    const VMS: u32 = 28;
    let cost = |each: u32| {
        let mut bench = Bench::new(VMS);
        bench.fill(VMS * each, HOUR);
        bench.measure(0.0, HOUR).as_secs_f64() * 1e3 / MEASURE.as_secs_f64()
    };
    let points = [0, 10, 40].map(|each| Point { size: f64::from(VMS * each), cost: cost(each) });
    fit::print("processor, running tasks", "ms/s", "task", &points);
}

pub fn per_start() {
    const VMS: u32 = 56;
    let cost = |rate: f64| {
        let mut bench = Bench::new(VMS);
        bench.measure(rate, Duration::from_secs(10)).as_secs_f64() * 1e3 / MEASURE.as_secs_f64()
    };
    let points = [5.0, 20.0, 80.0].map(|rate| Point { size: rate, cost: cost(rate) });
    fit::print("processor, starts a second", "ms/s", "start/s", &points);
}

pub fn memory() {
    // One bench that grows: memory that an earlier one gave back would be used again unseen.
    let mut bench = Bench::new(7);
    let before = resident_kib();
    let points = [10_000, 20_000, 40_000].map(|size| {
        let open = u32::try_from(bench.submitted).unwrap_or(u32::MAX);
        bench.fill(size - open, HOUR);
        let held = resident_kib().saturating_sub(before);
        Point { size: f64::from(size), cost: held as f64 }
    });
    fit::print("resident, open tasks of a partition", "KiB", "task", &points);
}

/// Resident memory of this process.
pub fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|rest| rest.trim().trim_end_matches(" kB").trim().parse().ok()).unwrap_or(0)
}

struct Bench {
    core: Core,
    me: DaemonId,
    tables: IndexMap<VmId, LeaseTable>,
    now: Duration,
    spent: Duration,
    submitted: u64,
}

impl Bench {
    fn new(vms: u32) -> Self {
        let (me, domain) = (DaemonId::new("d@1"), DomainId::new(DOMAIN));
        let homes = vec![PartitionHome { id: PARTITION, domain: domain.clone() }];
        let cfg = CoreSettings {
            sync_period: Duration::from_secs(3),
            ..CoreSettings::new(me.clone(), domain.clone()).with_partitions(homes)
        };
        let tables = (0..vms).map(|i| (vm(i), table(i))).collect();
        let core = Core::new(cfg).expect("sound charts");
        let mut bench =
            Self { core, me: me.clone(), tables, now: HOUR, spent: Duration::ZERO, submitted: 0 };
        bench.step(Event::Configured(Arc::new(config())));
        bench.step(Event::Members(vec![Member {
            id: me,
            domain: domain.clone(),
            peer_addr: String::new(),
            state: MemberState::Serving,
            revision: Revision(1),
        }]));
        let listed = (0..vms)
            .map(|i| ListedVm { vm: vm(i), domain: domain.clone(), state: ListedState::Live })
            .collect();
        bench.step(Event::Listed(listed));
        bench.run(SETTLE, 0.0, HOUR);
        bench
    }

    fn fill(&mut self, tasks: u32, work: Duration) {
        for _ in 0..tasks {
            self.submit(work);
        }
        self.run(SETTLE, 0.0, work);
    }

    /// Processor time of the core over the measured time, at so many submissions a second.
    fn measure(&mut self, rate: f64, work: Duration) -> Duration {
        self.run(SETTLE, rate, work);
        self.spent = Duration::ZERO;
        self.run(MEASURE, rate, work);
        self.spent
    }

    fn run(&mut self, time: Duration, rate: f64, work: Duration) {
        let end = self.now + time;
        let mut due = 0.0;
        while self.now < end {
            self.now += TICK;
            due += rate * TICK.as_secs_f64();
            while due >= 1.0 {
                due -= 1.0;
                self.submit(work);
            }
            self.step(Event::Tick);
        }
    }

    fn submit(&mut self, work: Duration) {
        self.submitted += 1;
        let spec = TaskSpec {
            class: ClassName::new("narration"),
            team: TeamName::new("read-aloud"),
            pool: PoolName::new("everywhere"),
            resources: TASK_SIZE,
            expected: work,
            idempotency: Idempotency::Idempotent,
            resumption: Resumption::Checkpoint,
            urgency: Urgency::Normal,
            max_failures: 3,
            payload: format!("{{\"work_ms\": {}}}", work.as_millis()),
        };
        let key = IdempotencyKey::new(&format!("book-{:08}", self.submitted));
        let ticket = Ticket(self.submitted);
        self.step(Event::Submit { ticket, partition: PARTITION, key, spec });
    }

    fn step(&mut self, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let begun = thread_time();
            let actions = self.core.step(self.now, event);
            self.spent += thread_time().saturating_sub(begun);
            events.extend(actions.into_iter().filter_map(|action| self.perform(action)));
        }
    }

    fn perform(&mut self, action: Action) -> Option<Event> {
        let (now, sent) = (self.now, self.now);
        Some(match action {
            Action::Acquire { vm, ttl } => {
                let req = AcquireReq { holder: self.me.clone(), ttl };
                let result = self.tables.get_mut(&vm)?.acquire(now, &req);
                Event::Acquired { vm, sent, result }
            }
            Action::Sync { vm, token, ttl, forget } => {
                let result = self.tables.get_mut(&vm)?.sync(now, &SyncReq { token, ttl, forget });
                Event::Synced { vm, sent, result }
            }
            Action::Start { vm, req, .. } => {
                let (task, attempt) = (req.task, req.attempt);
                let result = self.tables.get_mut(&vm)?.start(now, &req);
                Event::StartAnswered { vm, task, attempt, result }
            }
            Action::Commit { ticket, .. } => {
                Event::Committed { ticket, result: CommitResult::Durable }
            }
            Action::Recover { partition } => {
                Event::Recovered { partition, tasks: Vec::new(), next_number: 1 }
            }
            Action::Send { to, msg } if to == self.me => Event::Peer { from: to, msg },
            _ => return None,
        })
    }
}

fn vm(i: u32) -> VmId {
    VmId::new(&format!("w{i:05}"))
}

fn table(i: u32) -> LeaseTable {
    let status = VmStatus {
        vm: vm(i),
        domain: DomainId::new(DOMAIN),
        rack: RackId::new(&format!("r{:04}", i / 8)),
        size: VM_SIZE,
        boot: BootId(1),
        tasks: Vec::new(),
    };
    LeaseTable::new(status, TableSettings::default(), Ledger::new())
}

fn config() -> Config {
    let batch = BatchClass {
        pool: PoolName::new("everywhere"),
        team: TeamName::new("read-aloud"),
        resources: TASK_SIZE,
        expected: HOUR,
        idempotency: Idempotency::Idempotent,
        resumption: Resumption::Checkpoint,
        urgency: Urgency::Normal,
        max_failures: 3,
    };
    let quota = Resources::new(u32::MAX / 4, u32::MAX / 4, 1_000);
    Config {
        revision: Revision(1),
        batch: IndexMap::from([(ClassName::new("narration"), batch)]),
        pools: IndexMap::from([(PoolName::new("everywhere"), Pool::default())]),
        teams: IndexMap::from([(TeamName::new("read-aloud"), Team { quota })]),
        ..Config::default()
    }
}
