//! Tests of upkeep waves over several daemons, with lost, late and unanswered calls.

use indexmap::{IndexMap, IndexSet};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::time::Duration;
use waxwingstall::cluster::Plan;
use waxwingstall::ids::{DomainId, RackId, ServiceName, VmId};
use waxwingstall::job::progress::{decode, encode};
use waxwingstall::kv::{Condition, Put, Rev, Txn};
use waxwingstall::units::Resources;
use waxwingstall::upkeep::duty::{Action, Event, OwnedShard, WaveScheduler};
use waxwingstall::upkeep::{Error, MachineId, UpkeepReq, Wave, WaveRecord, WaveState};
use waxwingstall::vm::{Fence, VmEntry, VmState};
use waxwingstall_standin::machines::MachineTable;
use waxwingstall_standin::txns::TxnTable;

const UPKEEP_TIME: Duration = Duration::from_secs(2);
const VACATE_TIME: Duration = Duration::from_millis(1200);
const TICK: Duration = Duration::from_millis(100);
const WAVE: u64 = 4;
const DOMAINS: [&str; 3] = ["kacyiru", "nyamirambo", "remera"];

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A daemon that owns the shard of its failure domain.
struct Daemon {
    scheduler: WaveScheduler,
    shard: String,
    fence: Fence,
    /// VMs being vacated, and when each is empty.
    vacating: IndexMap<VmId, Duration>,
}

enum Delivery {
    Event(usize, Fence, Event),
    LateCall(UpkeepReq),
}

struct World {
    now: Duration,
    rng: SmallRng,
    /// Number of calls in 1000 that are lost, late or unanswered.
    faults: u32,
    machines: MachineTable,
    kv: TxnTable,
    plan: Plan,
    wave: Wave,
    daemons: Vec<Daemon>,
    deliveries: BTreeMap<(Duration, u64), Delivery>,
    next: u64,
    reported: Vec<WaveState>,
    done_at: Option<Duration>,
}

impl World {
    fn new(seed: u64, faults: u32, machines: usize, max_down: usize) -> Self {
        let mut table = MachineTable::new(UPKEEP_TIME);
        let mut ids = Vec::new();
        let mut vms = Vec::new();
        for number in 0..machines {
            let domain = DOMAINS[number % DOMAINS.len()];
            ids.push(table.add(&format!("m-{number}"), domain, "r0"));
            vms.push(entry(domain));
        }
        let plan = Plan::default().extended(&vms).expect("racks are new");
        let time_limit = Duration::from_secs(20);
        let mut world = Self {
            now: Duration::from_secs(3),
            rng: SmallRng::seed_from_u64(seed),
            faults,
            machines: table,
            kv: TxnTable::new(),
            plan,
            wave: Wave { number: WAVE, machines: ids, time_limit, max_down },
            daemons: Vec::new(),
            deliveries: BTreeMap::new(),
            next: 0,
            reported: Vec::new(),
            done_at: None,
        };
        for domain in DOMAINS {
            world.start(format!("{domain}.0"));
        }
        world
    }

    /// Replaces the owner of a shard by a new daemon, which knows only what is in the store.
    fn replace(&mut self, index: usize) {
        let shard = self.daemons[index].shard.clone();
        self.start(shard);
        let daemon = self.daemons.pop().expect("it was added");
        self.daemons[index] = daemon;
    }

    fn start(&mut self, shard: String) {
        self.next += 1;
        let fence = Fence(self.next);
        let mut scheduler = WaveScheduler::new(&format!("daemon-{}", fence.0));
        scheduler.step(self.now, Event::Plan(self.plan.clone()));
        scheduler.step(self.now, Event::Wave(self.wave.clone()));
        self.daemons.push(Daemon { scheduler, shard, fence, vacating: IndexMap::new() });
    }

    fn run_for(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += TICK;
            while let Some(entry) = self.deliveries.first_entry().filter(|e| e.key().0 <= self.now)
            {
                match entry.remove() {
                    Delivery::Event(index, fence, event) if self.daemons[index].fence == fence => {
                        self.step(index, event);
                    }
                    Delivery::Event(..) => {}
                    Delivery::LateCall(req) => {
                        // The caller has already timed out, so the answer is ignored.
                        let _ = self.machines.upkeep(self.now, &req, &self.wave);
                    }
                }
            }
            for index in 0..self.daemons.len() {
                let daemon = &self.daemons[index];
                let empty = daemon.vacating.iter().filter(|(_, at)| **at <= self.now);
                let shard = OwnedShard {
                    name: daemon.shard.clone(),
                    fence: daemon.fence,
                    vacated: empty.map(|(vm, _)| vm.clone()).collect(),
                };
                self.step(index, Event::Tick(vec![shard]));
            }
        }
    }

    fn step(&mut self, index: usize, event: Event) {
        for action in self.daemons[index].scheduler.step(self.now, event) {
            self.act(index, action);
        }
    }

    fn act(&mut self, index: usize, action: Action) {
        let now = self.now;
        match action {
            Action::Note(_) => {}
            Action::Vacate { order, .. } => {
                let empty_at =
                    |known: Option<&Duration>| known.copied().unwrap_or(now + VACATE_TIME);
                let before = std::mem::take(&mut self.daemons[index].vacating);
                let vms = order.vms.into_iter().map(|vm| (vm.clone(), empty_at(before.get(&vm))));
                self.daemons[index].vacating = vms.collect();
            }
            Action::List => {
                let machines = if self.fails() {
                    Err(Error::NoAnswer { reason: "lost".to_owned() })
                } else {
                    Ok(self.machines.list(now))
                };
                self.answer(index, Event::Listed { sent: now, machines });
            }
            Action::StartUpkeep(req) => self.call(index, req),
            Action::Read { wave } => {
                let event = match self.kv.get(&WaveRecord::key(wave)) {
                    _ if self.fails() => Event::NotRecorded { wave },
                    None => {
                        Event::Recorded { wave, rev: Rev::ABSENT, record: WaveRecord::default() }
                    }
                    Some(item) => {
                        let record = decode(&item.value).expect("a record");
                        Event::Recorded { wave, rev: item.rev, record }
                    }
                };
                self.answer(index, event);
            }
            Action::Write { wave, rev, record, state } => {
                self.write(index, wave, rev, record, state)
            }
        }
    }

    fn call(&mut self, index: usize, req: UpkeepReq) {
        let (wave, machine) = (req.wave, req.machine.clone());
        let lost = || Err(Error::NoAnswer { reason: "lost".to_owned() });
        let result = match self.fails().then(|| self.rng.random_range(0..3)) {
            None => self.machines.upkeep(self.now, &req, &self.wave),
            Some(0) => lost(),
            Some(1) => {
                let _ = self.machines.upkeep(self.now, &req, &self.wave);
                lost()
            }
            Some(_) => {
                let by = ms(self.rng.random_range(500..9000));
                self.deliver(by, Delivery::LateCall(req));
                lost()
            }
        };
        self.answer(index, Event::UpkeepAnswered { wave, machine, result });
    }

    fn write(&mut self, index: usize, wave: u64, rev: Rev, record: WaveRecord, state: WaveState) {
        let key = WaveRecord::key(wave);
        let value = encode(&record).into();
        let txn = Txn {
            conditions: vec![Condition { key: key.clone(), rev }],
            puts: vec![Put { key, value, lease: None }],
            deletes: Vec::new(),
        };
        let lost_before = self.fails();
        let written = if lost_before { None } else { self.kv.commit(&txn).ok() };
        let lost_after = self.fails();
        let event = match written {
            Some(rev) => {
                self.record_state(state);
                if lost_after {
                    Event::NotRecorded { wave }
                } else {
                    Event::Recorded { wave, rev, record }
                }
            }
            None => Event::NotRecorded { wave },
        };
        self.answer(index, event);
    }

    /// Records the wave's state as reported to operators, and checks a reported end.
    fn record_state(&mut self, state: WaveState) {
        if state == WaveState::Done {
            self.done_at.get_or_insert(self.now);
            let listed: IndexSet<MachineId> =
                self.machines.list(self.now).into_iter().map(|machine| machine.id).collect();
            for id in self.wave.machines.iter().filter(|id| listed.contains(*id)) {
                assert!(
                    self.machines.has_had(id, WAVE),
                    "{id} is reported as done but has had no upkeep"
                );
            }
        }
        self.reported.push(state);
    }

    fn fails(&mut self) -> bool {
        self.rng.random_range(0..1000) < self.faults
    }

    fn answer(&mut self, index: usize, event: Event) {
        let fence = self.daemons[index].fence;
        self.deliver(ms(10), Delivery::Event(index, fence, event));
    }

    fn deliver(&mut self, after: Duration, delivery: Delivery) {
        self.next += 1;
        self.deliveries.insert((self.now + after, self.next), delivery);
    }

    /// Checks that no upkeep began while the maximum number of machines was down.
    fn check_bound(&self) {
        for begun in &self.machines.begun {
            assert!(begun.down_beside < self.wave.max_down, "{begun:?}");
        }
    }
}

fn entry(domain: &str) -> VmEntry {
    VmEntry {
        id: VmId::new("any"),
        service: ServiceName::new("shop"),
        domain: DomainId::new(domain),
        rack: RackId::new("r0"),
        labels: Vec::new(),
        size: Resources::new(1000, 1000, 0),
        state: VmState::Ready,
        addr: "any:1".into(),
        announced: Rev::ABSENT,
        announced_after: None,
    }
}

// A wave of ten machines in three failure domains, at most three down at once, within 20 s. Every
// machine is vacated first, and the wave is reported as running and then, in time, as done.
#[test]
fn a_wave_is_done_in_time() {
    let mut world = World::new(1, 0, 10, 3);
    world.run_for(Duration::from_secs(20));
    world.check_bound();
    assert_eq!(world.machines.begun.len(), 10);
    assert_eq!(world.reported.first(), Some(&WaveState::Running));
    assert_eq!(world.reported.last(), Some(&WaveState::Done));
    let emptied = world.machines.begun.iter().all(|b| b.at >= Duration::from_secs(3) + VACATE_TIME);
    assert!(emptied, "{:?}", world.machines.begun);
}

// Only one machine may be down, and all three owners have one ready at the same time. One owner
// takes the slot, and the others wait.
#[test]
fn one_machine_at_a_time_over_three_owners() {
    let mut world = World::new(2, 0, 6, 1);
    world.run_for(Duration::from_secs(25));
    world.check_bound();
    assert_eq!(world.machines.begun.len(), 6);
    assert!(world.done_at.is_some());
}

// An owner orders an upkeep and is replaced before the machine is back. The next owner finds the
// machine in the record, repeats the order, which has no further effect, and marks the machine as
// done.
#[test]
fn the_next_owner_completes_an_upkeep_of_the_previous_one() {
    let mut world = World::new(3, 0, 3, 1);
    while world.machines.begun.is_empty() {
        world.run_for(TICK);
    }
    for index in 0..3 {
        world.replace(index);
    }
    world.run_for(Duration::from_secs(25));
    world.check_bound();
    assert_eq!(world.machines.begun.len(), 3, "{:?}", world.machines.begun);
    assert!(world.done_at.is_some());
}

// A machine of the wave is removed before its turn. The wave completes without it.
#[test]
fn a_removed_machine_does_not_block_the_wave() {
    let mut world = World::new(4, 0, 4, 1);
    world.run_for(ms(300));
    world.machines.remove(&MachineId::new("m-3"));
    world.run_for(Duration::from_secs(25));
    assert_eq!(world.machines.begun.len(), 3);
    assert!(world.done_at.is_some());
}

// Calls and writes are lost, unanswered, or carried out up to nine seconds late, and owners are
// replaced. The limit holds at the start of every upkeep, no machine is wrongly reported as done,
// and the wave completes once the faults stop.
#[test]
fn the_limit_holds_whatever_calls_are_lost() {
    for seed in 0..150 {
        println!("seed {seed}");
        let mut world = World::new(seed, 250, 8, 1 + seed as usize % 3);
        for _ in 0..8 {
            let time = ms(world.rng.random_range(500..5000));
            world.run_for(time);
            let index = world.rng.random_range(0..3);
            world.replace(index);
        }
        world.faults = 0;
        world.run_for(Duration::from_secs(60));
        world.check_bound();
        assert!(world.done_at.is_some(), "seed {seed}");
    }
}
