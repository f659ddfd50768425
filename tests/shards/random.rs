//! Random jobs, faults and takeovers.
//!
//! Set `SHARD_SEEDS=0..2000` to run other seeds than the default ones.

use crate::faults::RandomFaults;
use crate::invariants::check;
use crate::jobs::random;
use crate::world::Simulation;
use indexmap::IndexMap;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::ops::Range;
use std::time::Duration;
use waxwingstall::ids::Ticket;
use waxwingstall::job::{Copies, Job, JobId, JobState, Resume};
use waxwingstall::shard::Answer;
use waxwingstall::units::Resources;
use waxwingstall_standin::permits::PermitTable;

const SIZE: Resources = Resources::new(12_000, 12_000, 0);
const SHARDS: [&str; 2] = ["kacyiru", "remera"];
const VMS: usize = 3;

/// Time with faults.
const FAULT_PERIOD: Duration = Duration::from_secs(20);

/// When the faults end.
const UNTIL: Duration = FAULT_PERIOD.saturating_add(Duration::from_secs(5));

/// Time for the system to settle after the faults.
const SETTLE_TIME: Duration = Duration::from_secs(45);

/// Percentage of VMs that a step with permits may run on. With six VMs, this leaves some VM for
/// every step of the default seeds.
const PERMITTED: u64 = 85;
const PERMIT_VALID: Duration = Duration::from_secs(3);

/// Most VM crashes of a simulation; a task is given up once five VMs have crashed under it.
const MAX_CRASHES: usize = 4;

struct RandomRun {
    seed: u64,
    rng: SmallRng,
    sim: Simulation<RandomFaults>,
    jobs: IndexMap<JobId, Job>,
    home: IndexMap<JobId, &'static str>,
    tickets: IndexMap<Ticket, JobId>,
    cancelled: Vec<JobId>,
    /// Whether a VM of each shard leaves or has left.
    departed: [bool; 2],
}

impl RandomRun {
    fn new(seed: u64, most_permille: u32) -> Self {
        Self::with_simulation(seed, most_permille, |faults| {
            Simulation::new(faults, &SHARDS, VMS, SIZE)
        })
    }

    /// VMs tell when they have started.
    fn with_starts(seed: u64, most_permille: u32) -> Self {
        Self::with_simulation(seed, most_permille, |faults| {
            Simulation::with_starts(faults, &SHARDS, VMS, SIZE)
        })
    }

    fn with_simulation(
        seed: u64,
        most_permille: u32,
        simulation: impl FnOnce(RandomFaults) -> Simulation<RandomFaults>,
    ) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let permille = rng.random_range(0..most_permille);
        let faults = RandomFaults::new(seed, permille, UNTIL);
        Self {
            seed,
            rng,
            sim: simulation(faults),
            jobs: IndexMap::new(),
            home: IndexMap::new(),
            tickets: IndexMap::new(),
            cancelled: Vec::new(),
            departed: [false; 2],
        }
    }

    fn millis(&mut self, range: Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }

    fn shard(&mut self) -> &'static str {
        SHARDS[self.rng.random_range(0..2)]
    }

    fn vm(&mut self) -> usize {
        self.rng.random_range(0..2 * VMS)
    }

    fn submit(&mut self) {
        let job = random(self.jobs.len() as u64 + 1, &mut self.rng);
        let home = self.shard();
        self.submit_job(home, job);
    }

    fn submit_to(&mut self, home: &'static str) {
        let job = random(self.jobs.len() as u64 + 1, &mut self.rng);
        self.submit_job(home, job);
    }

    fn submit_job(&mut self, home: &'static str, job: Job) {
        self.tickets.insert(self.sim.submit(home, job.clone()), job.id);
        self.home.insert(job.id, home);
        self.jobs.insert(job.id, job);
    }

    /// Submits a job of finite tasks; every other one may have copies.
    fn submit_with_copies(&mut self) {
        let id = self.jobs.len() as u64 + 1;
        let mut job = random(id, &mut self.rng);
        if id.is_multiple_of(2) {
            job.steps.iter_mut().for_each(|step| step.copies = Copies::Parallel);
        }
        if id.is_multiple_of(3) {
            job.steps.iter_mut().for_each(|step| step.resume = Resume::FromStart);
        }
        let home = self.shard();
        self.tickets.insert(self.sim.submit(home, job.clone()), job.id);
        self.home.insert(job.id, home);
        self.jobs.insert(job.id, job);
    }

    /// Lets a VM of one of the shards leave for good after a notice, unless one of them does already.
    fn depart_vm(&mut self) {
        let shard = self.rng.random_range(0..2);
        let left = self.millis(300..6000);
        if !std::mem::replace(&mut self.departed[shard], true) {
            let vm = shard * VMS + self.rng.random_range(0..VMS);
            self.sim.depart_vm(vm, left);
        }
    }

    fn change_speed(&mut self) {
        let (vm, now) = (self.vm(), self.sim.now);
        let percent = [0, 14, 30, 100, 100][self.rng.random_range(0..5)];
        self.sim.vms[vm].table.set_speed(now, percent);
    }

    fn cancel(&mut self) {
        let id = *self.jobs.get_index(self.rng.random_range(0..self.jobs.len())).unwrap().0;
        self.sim.cancel(self.home[&id], id);
        self.cancelled.push(id);
    }

    fn pause_owner(&mut self) {
        let time = self.millis(500..5000);
        let shard = self.shard();
        self.sim.pause_owner(shard, time);
    }

    fn crash_vm(&mut self) {
        let time = self.millis(300..5000);
        let vm = self.vm();
        self.sim.crash_vm(vm, time);
    }

    fn restart_vm(&mut self) {
        let time = self.millis(50..4000);
        let vm = self.vm();
        self.sim.restart_vm(vm, time);
    }

    fn disconnect_vm(&mut self) {
        let time = self.millis(300..9000);
        let vm = self.vm();
        self.sim.disconnect_vm(vm, time);
    }

    fn stop_store(&mut self) {
        let time = self.millis(300..4000);
        self.sim.stop_store(time);
    }

    /// Hands a shard over while the store is down, which it is until the last commit is answered.
    fn hand_over_in_outage(&mut self) {
        let (outage, pause) = (self.millis(100..9000), self.millis(1..40));
        let shard = self.shard();
        self.sim.stop_store(outage);
        self.submit_to(shard);
        self.sim.run_for(pause);
        self.sim.begin_hand_over(shard);
        match self.rng.random_range(0..4) {
            0 => self.crash_vm(),
            1 => self.disconnect_vm(),
            2 => self.cancel(),
            _ => {}
        }
        self.sim.run_for(outage + Duration::from_millis(100));
        self.sim.hand_over(shard);
    }

    /// Lets the system settle, and checks what it has done.
    fn verify(mut self) {
        let seed = self.seed;
        self.sim.run_for(SETTLE_TIME);
        check(&mut self.sim, &self.jobs, SIZE);
        let accepted = |(ticket, _): &(&Ticket, &JobId)| {
            self.sim.answers.get(*ticket) == Some(&Answer::Accepted)
        };
        let accepted: Vec<JobId> =
            self.tickets.iter().filter(accepted).map(|(_, id)| *id).collect();
        for id in accepted {
            let shown = self.sim.show(self.home[&id], id);
            let Some(Answer::Shown(state)) = shown else {
                panic!("seed {seed}: job {id} was accepted and is answered with {shown:?}");
            };
            let long_running = self.jobs[&id].steps[0].life == waxwingstall::job::Life::Lasting;
            let expected = match (self.cancelled.contains(&id), long_running) {
                // A cancellation may arrive too late, or be lost with the shard's owner.
                (true, _) => continue,
                (false, true) => JobState::Running,
                (false, false) => JobState::Done,
            };
            assert_eq!(state, expected, "seed {seed}: job {id}");
            let is_borrowed = self.sim.is_borrowed(id);
            assert!(long_running || !is_borrowed, "seed {seed}: job {id} leaves a loan behind");
        }
    }
}

/// Seeds to run: those in `SHARD_SEEDS`, or the default ones.
pub fn seeds(default: Range<u64>) -> Range<u64> {
    let given = std::env::var("SHARD_SEEDS").ok();
    let range = given.as_deref().and_then(|text| text.split_once(".."));
    let range = range.and_then(|(a, b)| Some(a.parse().ok()?..b.parse().ok()?));
    range.unwrap_or(default)
}

/// Commands and messages are lost, delayed or unanswered, VMs restart, become unreachable or leave,
/// owners are killed or paused, and the store fails.
fn simulate_any_failure(seed: u64) -> RandomRun {
    let mut run = RandomRun::new(seed, 120);
    if seed.is_multiple_of(3) {
        run.sim = run.sim.with_permits(PermitTable::new(PERMITTED, PERMIT_VALID));
    }
    while run.sim.now < UNTIL {
        let pause = run.millis(20..600);
        run.sim.run_for(pause);
        match run.rng.random_range(0..100) {
            0..60 if run.jobs.len() < 30 => run.submit(),
            60..66 if !run.jobs.is_empty() => run.cancel(),
            66..70 => {
                let shard = run.shard();
                run.sim.replace_owner(shard);
            }
            70..74 => run.pause_owner(),
            74..78 => run.crash_vm(),
            78..82 => run.disconnect_vm(),
            82..84 => run.stop_store(),
            84..88 => {
                let shard = run.shard();
                run.sim.evacuate(shard);
            }
            88..91 => {
                let shard = run.shard();
                run.sim.withdraw_evacuation(shard);
            }
            91..93 => {
                let time = run.millis(300..4000);
                run.sim.block_evacuations(time);
            }
            // Permits may leave no other VM to a step.
            93..96 if !seed.is_multiple_of(3) => run.depart_vm(),
            _ => {}
        }
    }
    SHARDS.iter().for_each(|shard| run.sim.withdraw_evacuation(shard));
    run
}

/// VMs crash and become unreachable often, entries of their instances outlive them, come back or
/// come late, owners change often, and lists of VMs are out of date.
fn simulate_instances(seed: u64) -> RandomRun {
    let mut run = RandomRun::new(seed, 40);
    run.sim.announcements.randomize(seed);
    while run.sim.now < UNTIL {
        let pause = run.millis(20..600);
        run.sim.run_for(pause);
        let shard = run.shard();
        match run.rng.random_range(0..100) {
            0..45 if run.jobs.len() < 30 => run.submit(),
            45..57 if run.sim.crashes < MAX_CRASHES => run.crash_vm(),
            57..67 => run.disconnect_vm(),
            67..74 => run.sim.replace_owner(shard),
            74..78 => run.sim.hand_over(shard),
            78..82 => run.pause_owner(),
            82..90 => run.sim.keep_outdated_list(shard),
            90..94 => run.sim.repeat_vm_list(shard),
            94..96 => {
                let time = run.millis(300..3000);
                run.sim.block_vm_list(time);
            }
            96..98 => run.stop_store(),
            98..100 => run.depart_vm(),
            _ => {}
        }
    }
    run
}

/// VMs become slow and sound again, half of the jobs may have copies, and anything may fail.
fn simulate_slow_vms(seed: u64) -> RandomRun {
    let mut run = RandomRun::new(seed, 80);
    while run.sim.now < UNTIL {
        let pause = run.millis(20..600);
        run.sim.run_for(pause);
        let shard = run.shard();
        match run.rng.random_range(0..100) {
            0..45 if run.jobs.len() < 40 => run.submit_with_copies(),
            45..65 => run.change_speed(),
            65..68 if !run.jobs.is_empty() => run.cancel(),
            68..72 => run.sim.replace_owner(shard),
            72..76 => run.pause_owner(),
            76..80 if run.sim.crashes < MAX_CRASHES => run.crash_vm(),
            80..86 => run.disconnect_vm(),
            86..89 => run.stop_store(),
            89..91 => run.sim.evacuate(shard),
            91..94 => run.sim.withdraw_evacuation(shard),
            94..97 => run.depart_vm(),
            _ => {}
        }
    }
    SHARDS.iter().for_each(|shard| run.sim.withdraw_evacuation(shard));
    let now = run.sim.now;
    run.sim.vms.iter_mut().for_each(|vm| vm.table.set_speed(now, 100));
    run
}

/// VMs restart under the same id, while orders for their earlier instances are still to be carried
/// out and announcements come late, repeatedly and out of order.
fn simulate_restarts_under_one_id(seed: u64) -> RandomRun {
    let mut run = RandomRun::with_starts(seed, 150);
    run.sim.announcements.randomize(seed);
    if seed.is_multiple_of(4) {
        run.sim = run.sim.with_permits(PermitTable::new(PERMITTED, PERMIT_VALID));
    }
    while run.sim.now < UNTIL {
        let pause = run.millis(20..600);
        run.sim.run_for(pause);
        let shard = run.shard();
        match run.rng.random_range(0..100) {
            0..45 if run.jobs.len() < 30 => run.submit(),
            45..60 if run.sim.crashes < MAX_CRASHES => run.restart_vm(),
            60..62 if run.sim.crashes < MAX_CRASHES => run.crash_vm(),
            62..70 => run.disconnect_vm(),
            70..76 => run.sim.replace_owner(shard),
            76..79 => run.sim.hand_over(shard),
            79..83 => run.pause_owner(),
            83..89 => run.sim.keep_outdated_list(shard),
            89..93 => run.sim.repeat_vm_list(shard),
            93..95 => {
                let time = run.millis(300..3000);
                run.sim.block_vm_list(time);
            }
            95..97 => run.stop_store(),
            97..100 if !seed.is_multiple_of(4) => run.depart_vm(),
            _ => {}
        }
    }
    run
}

/// Shards are handed over again and again while the store is down, and VMs and calls fail.
fn simulate_hand_overs_in_outages(seed: u64) -> RandomRun {
    let mut run = RandomRun::new(seed, 80);
    while run.sim.now < UNTIL {
        let pause = run.millis(20..600);
        run.sim.run_for(pause);
        match run.rng.random_range(0..100) {
            0..70 if run.jobs.len() < 30 => run.submit(),
            70..74 if run.sim.crashes < MAX_CRASHES => run.crash_vm(),
            74..78 => run.disconnect_vm(),
            78..90 => run.hand_over_in_outage(),
            _ => {}
        }
    }
    run
}

// Jobs are submitted and cancelled while anything may fail. No task may run twice or before its
// predecessors, no VM may be overcommitted, and every finite job must complete.
#[test]
fn promises_hold_whatever_fails() {
    for seed in seeds(0..60) {
        println!("seed {seed}");
        simulate_any_failure(seed).verify();
    }
}

// The same while the platform lists instances of VMs that have ended, and lacks some that run.
#[test]
fn promises_hold_whatever_instances_are_listed() {
    for seed in seeds(0..40) {
        println!("seed {seed}");
        simulate_instances(seed).verify();
    }
}

// The same while VMs run at a fraction of their speed or stand still, and steps may have copies.
#[test]
fn promises_hold_with_copies_on_slow_vms() {
    for seed in seeds(0..40) {
        println!("seed {seed}");
        simulate_slow_vms(seed).verify();
    }
}

// The same while VMs restart under the same id: a start for an earlier instance that the next one
// carries out late must not make a task run twice, and no end that nobody has read may be lost.
#[test]
fn promises_hold_while_vms_restart_under_the_same_id() {
    for seed in seeds(0..40) {
        println!("seed {seed}");
        simulate_restarts_under_one_id(seed).verify();
    }
}

// The same while shards are handed over during outages of the store.
#[test]
fn promises_hold_while_hand_overs_wait_for_the_store() {
    for seed in seeds(0..40) {
        println!("seed {seed}");
        simulate_hand_overs_in_outages(seed).verify();
    }
}

/// Owners are partitioned with one of their VMs for up to 45 s and replaced meanwhile, as are their
/// successors, VMs crash, and calls fail.
fn simulate_partitions(seed: u64) -> RandomRun {
    let mut run = RandomRun::new(seed, 60);
    let until = run.sim.now + Duration::from_secs(60);
    let mut heals_at = Duration::ZERO;
    while run.sim.now < until {
        let pause = run.millis(20..1500);
        run.sim.run_for(pause);
        let shard = run.rng.random_range(0..2);
        let vm = shard * VMS + run.rng.random_range(0..VMS);
        if run.sim.is_partitioned() && run.sim.now >= heals_at {
            run.sim.heal_partition();
        }
        match run.rng.random_range(0..100) {
            0..40 if run.jobs.len() < 40 => run.submit(),
            40..50 if !run.sim.is_partitioned() => {
                heals_at = run.sim.now + run.millis(500..45_000);
                run.sim.partition_owner(SHARDS[shard], vm);
            }
            50..53 if run.sim.crashes < MAX_CRASHES => run.crash_vm(),
            53..57 => run.disconnect_vm(),
            57..60 => run.stop_store(),
            60..64 => run.sim.hand_over(SHARDS[shard]),
            64..67 => run.sim.replace_owner(SHARDS[shard]),
            67..70 => run.sim.restart_daemons(SHARDS[shard]),
            _ => {}
        }
    }
    run.sim.heal_partition();
    run
}

// The same while owners are partitioned from the store and the other owners for up to 45 s,
// and go on reaching one of their VMs.
#[test]
fn promises_hold_behind_long_partitions() {
    for seed in seeds(0..30) {
        println!("seed {seed}");
        simulate_partitions(seed).verify();
    }
}

/// Time with partitions between the owners.
const CUT_PERIOD: Duration = Duration::from_secs(60);

/// Time by which every message has arrived: a connection that repeats it at doubling intervals
/// does so for the last time when it has tried for as long again as the partitions lasted.
const ALL_ARRIVED: Duration = Duration::from_secs(121);

/// Owners are partitioned from each other again and again, but not from the store and their VMs, and
/// are replaced, handed over and paused meanwhile, with every other seed. Messages arrive late and repeatedly. Work goes on until all messages have arrived.
fn simulate_held_up_messages(seed: u64) -> RandomRun {
    let mut run = RandomRun::with_simulation(seed, 60, |faults| {
        Simulation::new(faults.until(CUT_PERIOD).with_cuts(), &SHARDS, VMS, SIZE)
    });
    while run.sim.now < ALL_ARRIVED {
        let pause = run.millis(20..1500);
        run.sim.run_for(pause);
        let shard = run.shard();
        match run.rng.random_range(0..100) {
            0..70 if run.jobs.len() < 80 => run.submit(),
            70..76 if !run.jobs.is_empty() => run.cancel(),
            76..78 if run.sim.crashes < MAX_CRASHES => run.crash_vm(),
            78..81 => run.disconnect_vm(),
            81..83 => run.stop_store(),
            83..86 => run.sim.evacuate(shard),
            86..91 => run.sim.withdraw_evacuation(shard),
            // Messages for an owner that was replaced are ignored.
            91..94 if seed.is_multiple_of(2) => run.sim.replace_owner(shard),
            94..97 if seed.is_multiple_of(2) => run.sim.hand_over(shard),
            97..100 if seed.is_multiple_of(2) => run.pause_owner(),
            _ => {}
        }
    }
    SHARDS.iter().for_each(|shard| run.sim.withdraw_evacuation(shard));
    run
}

// The same while messages between owners arrive up to a minute late, after newer ones, and repeatedly.
#[test]
fn promises_hold_however_late_messages_arrive() {
    for seed in seeds(0..60) {
        println!("seed {seed}");
        simulate_held_up_messages(seed).verify();
    }
}
