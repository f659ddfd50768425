//! Long-running tasks on VMs that die for good and without a notice, beside daemons that stand
//! still, are killed, or are cut off from the store and from each other, within outages of the store.
//!
//! Daemons are modelled by what they tell each other: that an owner has ended, and by when. How long
//! a task may be without a run counts from the death of its VM, and from later only where no owner
//! can know better.

use crate::faults::RandomFaults;
use crate::invariants::check;
use crate::jobs::{job_with_steps, work};
use crate::random::seeds;
use crate::world::{CALL_TIMEOUT, LostPort, PreviousEnd, ProvedEnd, Simulation};
use indexmap::{IndexMap, IndexSet};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::ops::Range;
use std::time::Duration;
use waxwingstall::job::{Job, JobId, TaskRef};
use waxwingstall::shard::settings::{
    CLOCK_DRIFT, EXPIRY_MARGIN, MAX_LEASE_AFTER_PROOF, START_RETRY,
};
use waxwingstall::units::Resources;
use waxwingstall_standin::runs::Seen;

const SIZE: Resources = Resources::new(12_000, 12_000, 0);
const SHARDS: [&str; 3] = ["kacyiru", "remera", "gikondo"];
const VMS: usize = 6;

/// Most VMs of a shard that die; the others have room for all tasks.
const MOST_DEATHS: usize = 3;

/// Longest times for which VMs keep their tasks running without another poll.
const KEEP: Duration = Duration::from_secs(10);
const SHORT_KEEP: Duration = Duration::from_secs(6);

/// Longest time beyond `max_keep` that a long-running task may be without a run after the death of
/// its VM: the error of the VM's clock, the delivery of the last extension, and one pass.
const MAX_DOWNTIME_BEYOND_KEEP: Duration = Duration::from_millis(1500);

/// Time from the death of a VM by which its owner has recorded that, if connections are refused.
const RECORDED: Duration = Duration::from_millis(400);

/// Time in which daemons that reach each other have told each other what they know.
const TOLD: Duration = Duration::from_millis(500);

/// Age that the record of a silent VM may have reached.
const RECORD_AGE: Duration = Duration::from_secs(1);

/// Time for the system to settle after the last fault: a lease that an owner may extend that isn't
/// known to have ended, and more.
const SETTLE_TIME: Duration = Duration::from_secs(35);

/// Time between two looks at the daemons.
const STEP: Duration = Duration::from_millis(20);

/// Times in milliseconds between incidents, and of the faults and deaths in one.
const NEXT_INCIDENT: Range<u64> = 2000..16_000;
const DEATH: Range<u64> = 2000..5000;
const DAEMON_FAULT: Range<u64> = 0..7000;
const OUTAGE: Range<u64> = 0..6000;

/// Times in milliseconds for which daemons stand still, are down and are cut off, and for which the
/// store is away.
const PAUSED: Range<u64> = 2000..9000;
const DOWN: Range<u64> = 300..3000;
const CUT_OFF: Range<u64> = 3000..20_000;
const STORE_AWAY: Range<u64> = 1000..10_000;

/// Times in milliseconds after which a shard is claimed whose owner is silent or was restarted, and
/// after which one is claimed once the store is back.
const SILENT_CLAIM: Range<u64> = 1600..2000;
const RESTARTED_CLAIM: Range<u64> = 50..800;
const STORE_BACK_CLAIM: Range<u64> = 20..1500;

/// Time in milliseconds until an owner that goes on learns that it was replaced, and until a daemon
/// tells of the end of an owner.
const LEARNED: Range<u64> = 20..250;
const TELLING: Range<u64> = 20..250;

/// Share of calls that fail, in thousandths, with every third seed.
const FAILING_CALLS: u32 = 40;

/// Something that happens to the system.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// A VM dies for good.
    Death { vm: usize, port: LostPort },
    /// A daemon stands still.
    Pause { daemon: usize, time: Duration },
    /// A daemon is killed, and its next process starts later.
    Kill { daemon: usize, down: Duration },
    /// A daemon is cut off from the store and from the other daemons.
    CutOff { daemon: usize, time: Duration },
    /// The store accepts no commits.
    Outage { time: Duration },
}

/// Whether some calls fail that reach a VM that lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Calls {
    Reliable,
    Failing,
}

/// A daemon that may own shards.
#[derive(Clone, Copy, Debug, Default)]
struct Daemon {
    /// Number of its current or next process.
    process: u32,
    started: Duration,
    paused_until: Duration,
    cut_until: Duration,
    /// When its next process starts, while it is down.
    restarts_at: Option<Duration>,
}

impl Daemon {
    /// Whether it runs and reaches the store and the other daemons.
    fn is_connected(&self, now: Duration) -> bool {
        self.restarts_at.is_none() && now >= self.paused_until && now >= self.cut_until
    }
}

/// How an ownership ended.
#[derive(Clone, Debug)]
enum OwnershipEnd {
    /// Its process was killed.
    Killed,
    /// It learned that it had been replaced.
    Learned(ProvedEnd),
}

/// A current or former owner of a shard.
#[derive(Clone, Debug)]
struct Ownership {
    number: u64,
    shard: usize,
    daemon: usize,
    process: u32,
    /// When the next owner claimed the shard.
    replaced_at: Option<Duration>,
    /// When it learns that it has been replaced.
    learns_at: Option<Duration>,
    end: Option<OwnershipEnd>,
    /// Time that its daemon takes to tell of its end.
    telling: Duration,
    /// Earlier owners that it isn't told to have ended.
    unproved: Vec<usize>,
    /// What it was told of the others.
    told: Vec<ProvedEnd>,
}

/// A shard whose owner doesn't answer.
#[derive(Clone, Copy, Debug)]
struct Missing {
    since: Duration,
    silent_claim: Duration,
    restarted_claim: Duration,
    store_back_claim: Duration,
}

/// State of the daemons at a time.
#[derive(Clone, Debug)]
struct Sample {
    is_store_up: bool,
    /// Process of each daemon, if it is connected.
    connected: Vec<Option<u32>>,
    /// The last owner of each shard, if it runs and its daemon is connected.
    owners: Vec<Option<usize>>,
}

/// The death of a VM under a long-running task.
#[derive(Clone, Copy, Debug)]
struct Loss {
    task: TaskRef,
    vm: usize,
    at: Duration,
}

/// How long a task had no run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Downtime {
    time: Duration,
    /// Whether it may be longer as no owner could know better.
    is_delayed: bool,
}

/// Shards with long-running tasks and room for them, and daemons that own the shards.
struct Scenario {
    sim: Simulation<RandomFaults>,
    jobs: IndexMap<JobId, Job>,
    rng: SmallRng,
    keep: Duration,
    calls: Calls,
    shards: usize,
    daemons: Vec<Daemon>,
    /// All owners, in the order of their claims.
    ownerships: Vec<Ownership>,
    missing: Vec<Option<Missing>>,
    store_back_at: Duration,
    /// Since when samples are taken, one for each step.
    sampled_since: Duration,
    samples: Vec<Sample>,
    /// Starts of the processes of each daemon.
    processes: Vec<Vec<Duration>>,
    deaths: IndexMap<usize, (Duration, LostPort)>,
}

impl Scenario {
    fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let keep = if rng.random() { SHORT_KEEP } else { KEEP };
        let shards = rng.random_range(2..=SHARDS.len());
        let daemons = shards + rng.random_range(0..2);
        let calls = if seed.is_multiple_of(3) { Calls::Failing } else { Calls::Reliable };
        let permille = if calls == Calls::Failing { FAILING_CALLS } else { 0 };
        let faults = RandomFaults::new(seed, permille, Duration::MAX);
        let mut sim = Simulation::with_max_keep(faults, &SHARDS[..shards], VMS, SIZE, keep);
        sim.cut_off_commits();
        sim.announcements.randomize(seed);
        sim.run_for(Duration::from_secs(1));
        let mut jobs = IndexMap::new();
        for (id, shard) in (1..).zip(&SHARDS[..shards]) {
            let job = job_with_steps(id, 1, 8, work(0, 2));
            sim.submit(shard, job.clone());
            jobs.insert(job.id, job);
        }
        sim.run_for(Duration::from_secs(5));
        let now = sim.now;
        let ownership = |shard: usize, sim: &Simulation<RandomFaults>| Ownership {
            number: sim.owner_number(SHARDS[shard]).expect("each shard has an owner"),
            shard,
            daemon: shard,
            process: 0,
            replaced_at: None,
            learns_at: None,
            end: None,
            telling: Duration::ZERO,
            unproved: Vec::new(),
            told: Vec::new(),
        };
        Self {
            ownerships: (0..shards).map(|shard| ownership(shard, &sim)).collect(),
            sim,
            jobs,
            rng,
            keep,
            calls,
            shards,
            daemons: vec![Daemon::default(); daemons],
            missing: vec![None; shards],
            store_back_at: Duration::ZERO,
            sampled_since: now,
            samples: Vec::new(),
            processes: vec![vec![Duration::ZERO]; daemons],
            deaths: IndexMap::new(),
        }
    }

    fn millis(&mut self, range: Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }

    /// Draws what happens and when.
    fn faults(&mut self) -> Vec<(Duration, Fault)> {
        let mut faults = Vec::new();
        let mut at = self.sim.now;
        let mut alive: Vec<Vec<usize>> = (0..self.shards)
            .map(|shard| {
                let mut vms: Vec<usize> = (shard * VMS..(shard + 1) * VMS).collect();
                vms.sort_by_key(|vm| self.sim.runs_on(*vm));
                vms.split_off(VMS - MOST_DEATHS)
            })
            .collect();
        for _ in 0..self.rng.random_range(1..=MOST_DEATHS) {
            for vms in &mut alive {
                let deaths = self.rng.random_range(0..=2);
                for vm in (0..deaths).filter_map(|_| vms.pop()) {
                    let port =
                        if self.rng.random() { LostPort::Refusing } else { LostPort::Silent };
                    let died = Duration::from_millis(self.rng.random_range(DEATH));
                    faults.push((at + died, Fault::Death { vm, port }));
                }
            }
            if self.rng.random_ratio(1, 3) {
                let (from, time) = (self.millis(OUTAGE), self.millis(STORE_AWAY));
                faults.push((at + from, Fault::Outage { time }));
            }
            self.draw_daemon_faults(at, &mut faults);
            at += self.millis(NEXT_INCIDENT);
        }
        faults.sort_by_key(|(at, _)| *at);
        faults
    }

    fn draw_daemon_faults(&mut self, at: Duration, faults: &mut Vec<(Duration, Fault)>) {
        if self.rng.random_ratio(1, 4) {
            let at = at + self.millis(DAEMON_FAULT);
            for daemon in 0..self.daemons.len() {
                let down = self.millis(DOWN);
                faults.push((at, Fault::Kill { daemon, down }));
            }
        }
        for daemon in 0..self.daemons.len() {
            for _ in 0..self.rng.random_range(0..=2) {
                let at = at + self.millis(DAEMON_FAULT);
                let fault = match self.rng.random_range(0..3) {
                    0 => Fault::Pause { daemon, time: self.millis(PAUSED) },
                    1 => Fault::Kill { daemon, down: self.millis(DOWN) },
                    _ => Fault::CutOff { daemon, time: self.millis(CUT_OFF) },
                };
                faults.push((at, fault));
            }
        }
    }

    fn apply(&mut self, fault: Fault) {
        let now = self.sim.now;
        match fault {
            Fault::Death { vm, port } => {
                self.sim.lose_vm(vm, port);
                self.deaths.insert(vm, (now, port));
            }
            Fault::Pause { daemon, .. } if self.daemons[daemon].restarts_at.is_some() => {}
            Fault::Pause { daemon, time } => {
                let it = &mut self.daemons[daemon];
                it.paused_until = it.paused_until.max(now + time);
                for number in self.owners_on(daemon) {
                    self.sim.pause_owner_until(number, now + time);
                }
            }
            Fault::Kill { daemon, down } => self.kill(daemon, down),
            Fault::CutOff { daemon, time } => {
                let it = &mut self.daemons[daemon];
                it.cut_until = it.cut_until.max(now + time);
                for number in self.owners_on(daemon) {
                    self.sim.cut_off_owner_until(number, now + time);
                }
            }
            Fault::Outage { time } => {
                self.store_back_at = self.store_back_at.max(now + time);
                self.sim.stop_store(self.store_back_at - now);
            }
        }
    }

    fn kill(&mut self, daemon: usize, down: Duration) {
        let now = self.sim.now;
        let it = &mut self.daemons[daemon];
        if it.restarts_at.is_some() {
            return;
        }
        it.restarts_at = Some(now + down);
        it.paused_until = now;
        for number in self.owners_on(daemon) {
            self.sim.kill_owner(number);
        }
        let process = self.daemons[daemon].process;
        let on_process = |it: &&mut Ownership| it.daemon == daemon && it.process == process;
        for it in self.ownerships.iter_mut().filter(on_process) {
            it.end = Some(OwnershipEnd::Killed);
        }
        if self.daemons.iter().all(|daemon| daemon.restarts_at.is_some()) {
            self.sim.forget_published_lapses();
        }
    }

    /// Numbers of the owners that a daemon's process runs, also of those that were replaced.
    fn owners_on(&self, daemon: usize) -> Vec<u64> {
        let process = self.daemons[daemon].process;
        let runs =
            |it: &&Ownership| it.daemon == daemon && it.process == process && it.end.is_none();
        self.ownerships.iter().filter(runs).map(|it| it.number).collect()
    }

    fn is_connected(&self, daemon: usize) -> bool {
        self.daemons[daemon].is_connected(self.sim.now)
    }

    fn is_store_up(&self) -> bool {
        self.sim.now >= self.store_back_at
    }

    /// The last owner of a shard.
    fn last_owner(&self, shard: usize) -> usize {
        let last = self.ownerships.iter().rposition(|it| it.shard == shard);
        last.expect("each shard had an owner")
    }

    /// Whether an owner runs on a daemon that is connected.
    fn is_present(&self, owner: usize) -> bool {
        let it = &self.ownerships[owner];
        it.end.is_none() && self.is_connected(it.daemon)
    }

    fn run_until(&mut self, until: Duration) {
        while self.sim.now < until {
            self.sim.run_for(STEP);
            self.restart_daemons();
            self.learn_of_replacements();
            self.tell_ends();
            (0..self.shards).for_each(|shard| self.claim_if_missing(shard));
            self.sample();
        }
    }

    fn restart_daemons(&mut self) {
        let now = self.sim.now;
        for (daemon, processes) in self.daemons.iter_mut().zip(&mut self.processes) {
            if daemon.restarts_at.is_some_and(|at| now >= at) {
                daemon.restarts_at = None;
                daemon.process += 1;
                daemon.started = now;
                processes.push(now);
            }
        }
    }

    /// Lets owners that go on after they were replaced learn of that.
    fn learn_of_replacements(&mut self) {
        let now = self.sim.now;
        for owner in 0..self.ownerships.len() {
            let it = &self.ownerships[owner];
            if it.replaced_at.is_none() || !self.is_present(owner) {
                continue;
            }
            let learns_at = match it.learns_at {
                Some(at) => at,
                None => now + self.millis(LEARNED),
            };
            let it = &mut self.ownerships[owner];
            it.learns_at = Some(learns_at);
            if now >= learns_at {
                self.sim.give_up_ownership(it.number);
            }
            it.end = self.sim.ended_owner(it.number).cloned().map(OwnershipEnd::Learned);
        }
    }

    /// What a daemon that is connected can tell by now of the end of an owner.
    fn proof_of_end(&self, owner: usize) -> Option<ProvedEnd> {
        let it = &self.ownerships[owner];
        let daemon = &self.daemons[it.daemon];
        if !self.is_connected(it.daemon) {
            return None;
        }
        let proved = if daemon.process > it.process {
            ProvedEnd { number: it.number, at: daemon.started, leases: None }
        } else {
            match &it.end {
                Some(OwnershipEnd::Learned(end)) => end.clone(),
                Some(OwnershipEnd::Killed) | None => return None,
            }
        };
        (self.sim.now >= proved.at + it.telling).then_some(proved)
    }

    /// Tells the owners of shards which earlier owners have ended.
    fn tell_ends(&mut self) {
        for (shard, name) in SHARDS.iter().enumerate().take(self.shards) {
            let owner = self.last_owner(shard);
            if !self.is_present(owner) || self.ownerships[owner].unproved.is_empty() {
                continue;
            }
            self.collect_proofs(owner);
            let it = &self.ownerships[owner];
            if it.unproved.is_empty() {
                self.sim.tell_earlier_owners_ended(name, &it.told);
            }
        }
    }

    fn collect_proofs(&mut self, owner: usize) {
        let earlier = std::mem::take(&mut self.ownerships[owner].unproved);
        for earlier in earlier {
            match self.proof_of_end(earlier) {
                Some(end) => self.ownerships[owner].told.push(end),
                None => self.ownerships[owner].unproved.push(earlier),
            }
        }
    }

    fn claim_if_missing(&mut self, shard: usize) {
        let (now, owner) = (self.sim.now, self.last_owner(shard));
        if self.is_present(owner) {
            self.missing[shard] = None;
            return;
        }
        let missing = match self.missing[shard] {
            Some(missing) => missing,
            None => Missing {
                since: now,
                silent_claim: self.millis(SILENT_CLAIM),
                restarted_claim: self.millis(RESTARTED_CLAIM),
                store_back_claim: self.millis(STORE_BACK_CLAIM),
            },
        };
        self.missing[shard] = Some(missing);
        let it = &self.ownerships[owner];
        let daemon = &self.daemons[it.daemon];
        let is_restarted = daemon.process > it.process && self.is_connected(it.daemon);
        let is_due = now >= missing.since + missing.silent_claim
            || is_restarted && now >= daemon.started + missing.restarted_claim;
        let was_store_away = self.store_back_at > missing.since;
        let is_store_ready = self.is_store_up()
            && (!was_store_away || now >= self.store_back_at + missing.store_back_claim);
        let candidates: Vec<usize> =
            (0..self.daemons.len()).filter(|daemon| self.is_connected(*daemon)).collect();
        if is_due && is_store_ready && !candidates.is_empty() {
            let daemon = candidates[self.rng.random_range(0..candidates.len())];
            self.claim(shard, owner, daemon);
        }
    }

    /// Lets a daemon claim a shard from its last owner.
    fn claim(&mut self, shard: usize, replaced: usize, daemon: usize) {
        let now = self.sim.now;
        let owner = self.ownerships.len();
        let mut unproved = self.ownerships[replaced].unproved.clone();
        unproved.push(replaced);
        self.ownerships[replaced].replaced_at = Some(now);
        self.ownerships[replaced].telling = if self.ownerships[replaced].daemon == daemon {
            Duration::ZERO
        } else {
            self.millis(TELLING)
        };
        self.ownerships.push(Ownership {
            number: 0,
            shard,
            daemon,
            process: self.daemons[daemon].process,
            replaced_at: None,
            learns_at: None,
            end: None,
            telling: Duration::ZERO,
            unproved,
            told: Vec::new(),
        });
        self.collect_proofs(owner);
        let number = self.ownerships[replaced].number;
        let it = &mut self.ownerships[owner];
        let proved = it.told.iter().find(|end| end.number == number);
        let previous = proved.map_or(PreviousEnd::Unproved, |end| PreviousEnd::Proved(end.at));
        it.number = self.sim.claim_shard(SHARDS[shard], previous);
        if it.unproved.is_empty() {
            self.sim.tell_earlier_owners_ended(SHARDS[shard], &it.told);
        }
        self.missing[shard] = None;
    }

    fn sample(&mut self) {
        let connected = (0..self.daemons.len())
            .map(|daemon| self.is_connected(daemon).then_some(self.daemons[daemon].process))
            .collect();
        let owners = (0..self.shards)
            .map(|shard| Some(self.last_owner(shard)).filter(|owner| self.is_present(*owner)))
            .collect();
        self.samples.push(Sample { is_store_up: self.is_store_up(), connected, owners });
    }

    fn play(&mut self) -> Vec<(Duration, Fault)> {
        let faults = self.faults();
        for (at, fault) in &faults {
            self.run_until(*at);
            self.apply(*fault);
        }
        let until = self.sim.now + SETTLE_TIME;
        self.run_until(until);
        faults
    }

    /// The long-running tasks that ran on VMs as they died.
    fn losses(&self) -> Vec<Loss> {
        let mut losses = Vec::new();
        for (vm, (died, _)) in &self.deaths {
            let ended = self.sim.vms[*vm].table.seen.iter().filter_map(|seen| match seen {
                Seen::Ended { at, task, .. } if at == died => Some(*task),
                _ => None,
            });
            losses.extend(ended.map(|task| Loss { task, vm: *vm, at: *died }));
        }
        losses
    }

    /// When a task starts next.
    fn next_start(&self, loss: &Loss) -> Option<Duration> {
        let seen = self.sim.vms.iter().flat_map(|vm| &vm.table.seen);
        let starts = seen.filter_map(|seen| match seen {
            Seen::Started { at, task, .. } if *task == loss.task && *at >= loss.at => Some(*at),
            _ => None,
        });
        starts.min()
    }

    /// By when work that a call at `sent` has extended has ended, by any clock.
    fn lease_end(&self, sent: Duration) -> Duration {
        sent + self.keep.mul_f64(1.0 + CLOCK_DRIFT) + EXPIRY_MARGIN
    }

    /// Time for one pass of an owner.
    fn pass(&self) -> Duration {
        self.keep + MAX_DOWNTIME_BEYOND_KEEP - self.lease_end(Duration::ZERO)
    }

    /// The samples from a time on, with their times.
    fn samples_from(&self, from: Duration) -> impl Iterator<Item = (Duration, &Sample)> {
        let passed = from.saturating_sub(self.sampled_since).as_micros();
        let skipped = passed.div_ceil(STEP.as_micros()).saturating_sub(1);
        let skipped = usize::try_from(skipped).expect("a small number");
        let time = |index: usize| {
            self.sampled_since + STEP * u32::try_from(index + 1).expect("a small number")
        };
        self.samples.iter().enumerate().skip(skipped).map(move |(index, it)| (time(index), it))
    }

    /// When something first has held for `time` without a break, from a time on.
    fn first_held<T: PartialEq>(
        &self,
        from: Duration,
        time: Duration,
        state: impl Fn(&Sample) -> Option<T>,
    ) -> Option<(Duration, T)> {
        let mut since: Option<(Duration, T)> = None;
        for (at, sample) in self.samples_from(from) {
            let now = state(sample);
            match (&since, now) {
                (Some((start, held)), Some(now)) if *held == now => {
                    if at >= *start + time {
                        return Some((at, now));
                    }
                }
                (_, now) => since = now.map(|now| (at, now)),
            }
        }
        None
    }

    /// Time from the death of a VM by which its owner has recorded that.
    fn noticed(&self, port: LostPort) -> Duration {
        match port {
            LostPort::Refusing if self.calls == Calls::Reliable => RECORDED,
            // A call has to time out first.
            LostPort::Refusing | LostPort::Silent => RECORDED + CALL_TIMEOUT,
        }
    }

    /// The first owner that has put on record by itself that a VM doesn't answer, and when it had.
    fn recorder(&self, shard: usize, lost: Duration, port: LostPort) -> Option<(Duration, usize)> {
        let owner = |sample: &Sample| sample.owners[shard].filter(|_| sample.is_store_up);
        self.first_held(lost, self.noticed(port), owner)
    }

    /// By when the owner of a shard has been told by a process of a daemon what that has known since
    /// a time.
    fn told(
        &self,
        shard: usize,
        (daemon, process): (usize, u32),
        since: Duration,
    ) -> Option<Duration> {
        let reaches = |sample: &Sample| {
            sample.owners[shard].filter(|_| sample.connected[daemon] == Some(process))
        };
        let told = self.first_held(since, TOLD, reaches).map(|(at, _)| at);
        // The process needn't tell itself.
        let own = self.samples_from(since).find(|(_, sample)| {
            sample.owners[shard].is_some_and(|owner| {
                let it = &self.ownerships[owner];
                (it.daemon, it.process) == (daemon, process)
            })
        });
        own.map(|(at, _)| at).into_iter().chain(told).min()
    }

    /// By when an owner that was replaced is known to keep no work on a VM that has been lost since
    /// `lost`.
    fn excluded(&self, owner: usize, lost: Duration) -> Duration {
        let it = &self.ownerships[owner];
        let mut excluded = self.leases_over(owner);
        if let Some(OwnershipEnd::Learned(end)) = &it.end {
            // What it tells is the lease that it gave.
            let told = self.told(it.shard, (it.daemon, it.process), end.at);
            excluded = told.map_or(excluded, |told| excluded.min(told));
        }
        for (process, started) in self.processes_from(it.daemon, it.process + 1) {
            if let Some(told) = self.told(it.shard, (it.daemon, process), started) {
                excluded = excluded.min(self.lease_end(started).max(told));
            }
        }
        excluded.max(self.lease_end(lost))
    }

    /// The processes of a daemon from one on, and their starts.
    fn processes_from(&self, daemon: usize, first: u32) -> impl Iterator<Item = (u32, Duration)> {
        (0..).zip(self.processes[daemon].iter().copied()).skip_while(move |(it, _)| *it < first)
    }

    /// By when all leases are over that an owner that was replaced can have given, if nobody hears of
    /// its end.
    ///
    /// They end within a fixed time of its last proof. Daemons know of the proof by its hellos, or have
    /// found the head unchanged since; others only know that it was before the claim.
    fn leases_over(&self, owner: usize) -> Duration {
        let longest = MAX_LEASE_AFTER_PROOF.mul_f64(1.0 + CLOCK_DRIFT) + EXPIRY_MARGIN;
        let it = &self.ownerships[owner];
        let (proved, claimed) =
            (self.sim.last_proof(it.number), it.replaced_at.expect("it was replaced"));
        let mut over = claimed + longest;
        for daemon in 0..self.daemons.len() {
            for (process, _) in self.processes_from(daemon, 0) {
                let heard = self.first_held(proved, TOLD, |sample| {
                    let present = sample.owners[it.shard] == Some(owner);
                    (present && sample.connected[daemon] == Some(process)).then_some(())
                });
                let read = self.first_held(proved, TOLD, |sample| {
                    (sample.is_store_up && sample.connected[daemon] == Some(process)).then_some(())
                });
                let known = [heard.map(|(at, ())| (at, proved)), read.map(|(at, ())| (at, at))];
                for (at, proved) in known.into_iter().flatten().filter(|(at, _)| *at <= claimed) {
                    if let Some(told) = self.told(it.shard, (daemon, process), claimed.max(at)) {
                        over = over.min((proved + longest).max(told));
                    }
                }
            }
        }
        over
    }

    /// The end of a recorded lease as seen after an owner was replaced: later than `ready` by the age
    /// of the record, if no daemon is left that knows it.
    fn ready_after(&self, owner: usize, ready: Duration) -> Duration {
        let it = &self.ownerships[owner];
        let claimed = it.replaced_at.expect("it was replaced");
        let records =
            |sample: &Sample| sample.is_store_up && sample.owners[it.shard] == Some(owner);
        let recorded = self.samples_from(Duration::ZERO).filter(|(_, sample)| records(sample));
        let Some((recorded, _)) = recorded.last().filter(|(at, _)| *at < ready) else {
            return ready;
        };
        let at_claim = self.samples_from(claimed).next();
        let heard = recorded.saturating_sub(TOLD);
        let is_witness = |daemon: usize| {
            let process = |(_, sample): (Duration, &Sample)| sample.connected[daemon];
            let process_at_claim = at_claim.and_then(process);
            let mut since = self.samples_from(heard).take_while(|(at, _)| *at <= recorded);
            process_at_claim.is_some() && since.all(|sample| process(sample) == process_at_claim)
        };
        if (0..self.daemons.len()).any(is_witness) {
            return ready;
        }
        let left = ready - recorded + RECORD_AGE;
        let mut seen = claimed + left;
        if let Some(OwnershipEnd::Learned(end)) = &it.end {
            let told = self.told(it.shard, (it.daemon, it.process), end.at);
            seen = told.map_or(seen, |told| seen.min(told));
        }
        for (process, started) in self.processes_from(it.daemon, it.process + 1) {
            if let Some(told) = self.told(it.shard, (it.daemon, process), started) {
                seen = seen.min((started + left).max(told));
            }
        }
        seen.max(ready)
    }

    /// From when a task may run elsewhere without the risk that it runs twice, as far as any owner
    /// can know, if a VM was lost at a time.
    fn ready(&self, vm: usize, lost: Duration) -> Duration {
        let shard = vm / VMS;
        let port = self.deaths[&vm].1;
        let recorder = self.recorder(shard, lost, port).map(|(_, owner)| owner);
        let mut ready = self.lease_end(lost);
        let replaced = (0..self.ownerships.len()).filter(|owner| {
            let it = &self.ownerships[*owner];
            it.shard == shard && it.replaced_at.is_some()
        });
        for owner in replaced {
            if recorder.is_none_or(|recorder| owner < recorder) {
                ready = ready.max(self.excluded(owner, lost));
            } else {
                ready = self.ready_after(owner, ready);
            }
        }
        ready
    }

    /// By when a task has to run again, and the time from which it could.
    fn due(&self, loss: &Loss) -> (Duration, Duration) {
        let mut ready = self.ready(loss.vm, loss.at);
        let mut due = self.placed(loss.vm, ready);
        let starts = self
            .sim
            .unanswered_starts
            .iter()
            .filter(|start| start.task == loss.task && start.sent >= loss.at);
        for start in starts {
            if start.sent > due {
                break;
            }
            let vm = self.sim.vms.iter().position(|vm| vm.entry.id == start.vm);
            let vm = vm.expect("no VM starts again");
            match self.deaths.get(&vm) {
                // It may have arrived just before the VM died.
                Some((died, port)) if start.sent < *died + self.noticed(*port) => {
                    ready = ready.max(self.ready(vm, start.sent));
                    due = due.max(self.placed(loss.vm, ready));
                }
                Some(_) => {}
                None => due += CALL_TIMEOUT + START_RETRY,
            }
        }
        (ready, due)
    }

    /// By when an owner has placed a task that it may place from `ready` on.
    fn placed(&self, vm: usize, ready: Duration) -> Duration {
        let able = |sample: &Sample| sample.owners[vm / VMS].filter(|_| sample.is_store_up);
        self.first_held(ready, self.pass(), able).expect("all faults are over").0
    }

    /// Tasks that ran again too late, with the time by which they did, and how long all took.
    fn late_tasks(&self) -> (Vec<(Duration, String)>, Vec<Downtime>) {
        let (mut late, mut times) = (Vec::new(), Vec::new());
        for loss in self.losses() {
            let ((ready, due), next) = (self.due(&loss), self.next_start(&loss));
            let started = next.unwrap_or(self.sim.now);
            let allowed = due - loss.at;
            times.push(Downtime {
                time: started - loss.at,
                is_delayed: allowed > self.keep + MAX_DOWNTIME_BEYOND_KEEP + STEP,
            });
            if started > due {
                let line = format!(
                    "no run for {:?}, due at {due:?}, ready at {ready:?}, next at {next:?}: {loss:?}",
                    started - loss.at
                );
                late.push((started - due, line));
            }
        }
        (late, times)
    }

    /// Panics if a VM has carried out a start twice.
    fn check_starts(&self) {
        let mut started = IndexSet::new();
        for seen in self.sim.vms.iter().flat_map(|vm| &vm.table.seen) {
            if let Seen::Started { task, run, .. } = seen {
                assert!(started.insert((*task, *run)), "run {run:?} of {task} starts twice");
            }
        }
    }
}

/// Plays the default seeds, and panics if a task waits for too long with one of them.
fn play_seeds(default: Range<u64>) {
    let (mut times, mut failed) = (Vec::new(), Vec::new());
    for seed in seeds(default) {
        let mut scenario = Scenario::new(seed);
        let faults = scenario.play();
        let (late, took) = scenario.late_tasks();
        if let Some(most) = late.iter().map(|(by, _)| *by).max() {
            late.iter().for_each(|(by, task)| println!("seed {seed}: late by {by:?}: {task}"));
            faults.iter().for_each(|(at, fault)| println!("seed {seed}: {at:?} {fault:?}"));
            failed.push((seed, most));
        }
        times.extend(took);
        scenario.check_starts();
        check(&mut scenario.sim, &scenario.jobs, SIZE);
    }
    times.sort();
    let at = |percent: usize| times[(times.len() - 1) * percent / 100].time;
    let delayed = times.iter().filter(|downtime| downtime.is_delayed).count();
    println!(
        "{} tasks lost their VM, {delayed} of them with an allowance, and ran again after {:?} \
         (median), {:?} (99 %), {:?} (most)",
        times.len(),
        at(50),
        at(99),
        at(100)
    );
    assert!(failed.is_empty(), "{} seeds failed, late by: {failed:?}", failed.len());
}

// Guards against long-running tasks that stay without a run for longer than a lease after the death
// of their VM because of what becomes of its owners.
#[test]
#[ignore = "known to fail, see KNOWN-RED.txt"]
fn no_lasting_task_waits_for_longer_than_the_lease_of_a_vm_that_died() {
    play_seeds(0..24);
}
