//! Several daemons that are stopped and started again in turn, with a store and a network between
//! them.

use super::{HOME, TICK, member, ms, plan};
use indexmap::IndexMap;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use waxwingstall::cluster::{
    Action, Event, ExpectedOwner, Head, Hello, Member, MemberStage, OfferAnswer, OfferOutcome,
    Ownership, ReleasedShard, ShardReport, StoreReachability,
};
use waxwingstall::ids::DaemonId;
use waxwingstall::shard::PreviousOwner;

const DAEMONS: usize = 9;

/// Number of daemons that are stopped almost at the same moment.
const STOPPED_TOGETHER: usize = 3;

const SHARDS: usize = 3;

/// Number of simulated days with other orders and delays.
const SEEDS: u64 = 16;

/// Longest time for which a shard may stand without an owner while daemons are stopped in turn.
const MAX_UNOWNED: Duration = Duration::from_secs(1);

/// Time that the store takes to write a claim, and then to read the shard.
const CLAIM_TIME: Duration = ms(50);

/// Time for the last decisions on a shard to become durable.
const COMMIT_TIME: Duration = ms(30);

const NETWORK_DELAY: Duration = ms(2);

/// Time from the request to stop to the release of all shards, and from there to the end.
const STOP_TIME: Duration = ms(3200);
const EXIT_TIME: Duration = ms(200);

/// Time from the end of a daemon's process to the start of the next one.
const RESTART_TIME: Duration = ms(800);

/// Something that happens at a later time to a process or in the store.
enum Later {
    Event(Event),
    /// A claim reaches the store.
    Claim {
        shard: String,
        replaces: ExpectedOwner,
        previous: PreviousOwner,
    },
    /// An offer reaches a daemon.
    Offer {
        released: ReleasedShard,
        to: Member,
    },
    /// A hello reaches a daemon.
    Hello {
        hello: Hello,
        to: Member,
    },
    ReadHeads,
}

struct Pending {
    at: Duration,
    /// Process that it comes from or goes to.
    process: DaemonId,
    what: Later,
}

/// One process of a daemon.
struct Process {
    me: Member,
    ownership: Ownership,
    hosted: IndexMap<String, u64>,
    hellos: u64,
}

struct Cluster {
    now: Duration,
    rng: SmallRng,
    /// Running processes, by the names of their daemons.
    running: IndexMap<String, Process>,
    pending: Vec<Pending>,
    heads: IndexMap<String, Head>,
    rev: u64,
    /// Since when a shard has no owner, and for how long it had none at most.
    unowned_since: IndexMap<String, Duration>,
    longest_unowned: Duration,
    /// Claims that took effect from an owner that was taken for ended and still served the shard.
    wrong: Vec<String>,
}

impl Cluster {
    fn start(seed: u64) -> Self {
        let mut cluster = Self {
            now: ms(10_000),
            rng: SmallRng::seed_from_u64(seed),
            running: IndexMap::new(),
            pending: Vec::new(),
            heads: IndexMap::new(),
            rev: 10,
            unowned_since: IndexMap::new(),
            longest_unowned: Duration::ZERO,
            wrong: Vec::new(),
        };
        (0..DAEMONS).for_each(|number| cluster.start_process(number, 1));
        cluster.run_for(ms(6000));
        assert_eq!(cluster.owned(), SHARDS, "every shard has an owner to begin with");
        cluster
    }

    fn owned(&self) -> usize {
        self.running.values().map(|process| process.hosted.len()).sum()
    }

    fn start_process(&mut self, number: usize, start: u64) {
        let daemon = member(&format!("d{number}"), 100);
        let me = super::process(&daemon, start);
        let ownership = Ownership::new(me.clone(), self.now);
        let (id, name) = (me.id.clone(), me.name.clone());
        let others: Vec<Member> = self.running.values().map(|p| p.me.clone()).collect();
        let process = Process { me, ownership, hosted: IndexMap::new(), hellos: 0 };
        self.running.insert(name, process);
        self.later(ms(100), &id, Later::Event(Event::Store(StoreReachability::Reached)));
        self.later(ms(100), &id, Later::Event(Event::Registered(others)));
        self.later(ms(300), &id, Later::Event(Event::Plan(plan(SHARDS))));
    }

    fn process(&mut self, id: &DaemonId) -> Option<&mut Process> {
        self.running.values_mut().find(|process| process.me.id == *id)
    }

    fn later(&mut self, after: Duration, process: &DaemonId, what: Later) {
        let jitter = Duration::from_micros(self.rng.random_range(0..2000));
        let at = self.now + after + jitter;
        self.pending.push(Pending { at, process: process.clone(), what });
    }

    fn step(&mut self, id: &DaemonId, event: Event) {
        let now = self.now;
        let Some(process) = self.process(id) else { return };
        if let Event::Claimed { shard, fence, .. } = &event {
            process.hosted.insert(shard.clone(), *fence);
        }
        if let Event::Released { shard, .. } = &event {
            process.hosted.shift_remove(shard);
        }
        for action in process.ownership.step(now, event) {
            self.execute(id, action);
        }
    }

    fn execute(&mut self, id: &DaemonId, action: Action) {
        match action {
            Action::Claim { shard, replaces, previous } => {
                let claim = Later::Claim { shard, replaces, previous };
                self.later(CLAIM_TIME, id, claim);
            }
            Action::ReadHeads => self.later(ms(20), id, Later::ReadHeads),
            Action::HandOver { shard, .. } => {
                let fence = self.process(id).and_then(|p| p.hosted.get(&shard).copied());
                let fence = fence.expect("only a shard that it owns is handed over");
                self.later(COMMIT_TIME, id, Later::Event(Event::Released { shard, fence }));
            }
            Action::Offer { released, to } => {
                self.later(NETWORK_DELAY, id, Later::Offer { released, to });
            }
            Action::Probe(to) => self.send_hello(id, to),
            Action::PredecessorEnded { .. } | Action::Note(_) => {}
        }
    }

    fn hello(&mut self, id: &DaemonId) -> Option<Hello> {
        let now = self.now;
        let process = self.process(id)?;
        process.hellos += 1;
        let ownership = &process.ownership;
        let shards = process.hosted.iter().map(|(shard, fence)| ShardReport {
            earlier_active: ownership.earlier_active(shard, now),
            ..super::report(shard, *fence)
        });
        let mut hello = super::hello(process.ownership.me().clone(), shards.collect());
        hello.number = process.hellos;
        hello.uptime = process.ownership.uptime(now);
        hello.released = process.ownership.released_shards(now);
        Some(hello)
    }

    fn send_hello(&mut self, id: &DaemonId, to: Member) {
        if let Some(hello) = self.hello(id) {
            self.later(NETWORK_DELAY, id, Later::Hello { hello, to });
        }
    }

    fn happen(&mut self, Pending { process: id, what, .. }: Pending) {
        match what {
            Later::Event(event) => self.step(&id, event),
            Later::Claim { shard, replaces, previous } => {
                self.write_claim(&id, shard, replaces, previous);
            }
            Later::Offer { released, to } => self.deliver_offer(&id, released, &to),
            Later::Hello { hello, to } => self.deliver_hello(&id, hello, &to),
            Later::ReadHeads => {
                let heads = self.heads.clone().into_iter().collect();
                self.later(ms(10), &id, Later::Event(Event::Heads(heads)));
            }
        }
    }

    /// A claim is in the store even if its daemon ends before it gets the answer.
    fn write_claim(
        &mut self,
        id: &DaemonId,
        shard: String,
        replaces: ExpectedOwner,
        previous: PreviousOwner,
    ) {
        let present = self.heads.get(&shard).cloned();
        let is_covered = |head: &Head| head.owner == *id || replaces.covers(head);
        let uncovered = present.clone().filter(|head| !is_covered(head));
        let answer = if uncovered.is_some() {
            let reason = "another daemon was quicker".to_owned();
            Event::ClaimFailed { shard, head: uncovered, reason }
        } else {
            let owner = self.running.values().find(|p| p.hosted.contains_key(&shard));
            let earlier_active = replaces.earlier_active(present.as_ref(), Duration::ZERO);
            let ended = previous == PreviousOwner::Ended || earlier_active.is_zero();
            if let Some(owner) = owner.filter(|_| ended) {
                self.wrong.push(format!("{id} took {} for ended", owner.me.id));
            }
            self.rev += 1;
            let fence = self.rev;
            let claim = Head::claim(id.clone(), present.as_ref());
            let head = Head { fence, ..claim.with_earlier_active(earlier_active) };
            self.heads.insert(shard.clone(), head);
            let before_previous = present.and_then(|head| head.earlier_active);
            Event::Claimed { shard, fence, earlier_active, before_previous }
        };
        self.later(CLAIM_TIME, id, Later::Event(answer));
    }

    fn deliver_offer(&mut self, id: &DaemonId, released: ReleasedShard, to: &Member) {
        let (shard, fence, candidate) = (released.name.clone(), released.fence, to.id.clone());
        // Whichever process listens at the address gets the offer.
        let outcome = match self.running.get(&to.name) {
            None => OfferOutcome::Refused,
            Some(process) => {
                let answer: OfferAnswer = process.ownership.answer_offer(&shard, fence);
                let at = process.me.id.clone();
                self.step(&at, Event::Offered { from: id.clone(), released });
                OfferOutcome::Answered(answer)
            }
        };
        let ended = Event::OfferEnded { shard, fence, candidate, outcome };
        self.later(NETWORK_DELAY, id, Later::Event(ended));
    }

    fn deliver_hello(&mut self, id: &DaemonId, hello: Hello, to: &Member) {
        let asked = self.now.saturating_sub(NETWORK_DELAY);
        let Some(at) = self.running.get(&to.name).map(|process| process.me.id.clone()) else {
            let refused = Event::Refused { id: to.id.clone(), asked };
            self.later(NETWORK_DELAY, id, Later::Event(refused));
            return;
        };
        self.step(&at, Event::Hello { hello, asked: None });
        if let Some(hello) = self.hello(&at) {
            let answer = Event::Hello { hello, asked: Some(asked) };
            self.later(NETWORK_DELAY, id, Later::Event(answer));
        }
    }

    /// Advances time by a millisecond, and each daemon's timer every tenth of a second.
    fn run_for(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            let now = self.now;
            while let Some(next) = self.pending.iter().position(|pending| pending.at <= now) {
                let pending = self.pending.remove(next);
                self.happen(pending);
            }
            let ids: Vec<DaemonId> = self.running.values().map(|p| p.me.id.clone()).collect();
            if now.as_millis().is_multiple_of(TICK.as_millis()) {
                ids.iter().for_each(|id| self.step(id, Event::Tick));
            }
            for id in ids {
                let due = self.process(&id).map(|p| p.ownership.take_due_hellos(now));
                due.into_iter().flatten().for_each(|to| self.send_hello(&id, to));
            }
            self.watch_owners();
            self.now += ms(1);
        }
    }

    fn watch_owners(&mut self) {
        for shard in (0..SHARDS).map(|number| format!("{HOME}.{number}")) {
            if self.running.values().any(|process| process.hosted.contains_key(&shard)) {
                self.unowned_since.shift_remove(&shard);
            } else if self.heads.contains_key(&shard) {
                let since = *self.unowned_since.entry(shard).or_insert(self.now);
                self.longest_unowned = self.longest_unowned.max(self.now - since);
            }
        }
    }

    fn stop(&mut self, number: usize) -> Option<DaemonId> {
        let process = self.running.get(&format!("d{number}"))?;
        let serves = process.ownership.me().stage == MemberStage::Serving;
        let id = process.me.id.clone();
        serves.then(|| self.step(&id, Event::Drain))?;
        Some(id)
    }

    /// Stops each daemon and starts it again, in a random order: some almost at the same moment, as
    /// long as others serve, and others a while later.
    fn replace_all(&mut self) {
        let mut steps: Vec<(Duration, usize, u8)> = Vec::new();
        let mut at = self.now;
        let mut order: Vec<usize> = (0..DAEMONS).collect();
        order.shuffle(&mut self.rng);
        for (place, number) in order.into_iter().enumerate() {
            let exit = at + STOP_TIME;
            let start = exit + EXIT_TIME + RESTART_TIME;
            steps.extend([(at, number, 0), (exit, number, 1), (exit + EXIT_TIME, number, 2)]);
            steps.push((start, number, 3));
            let together = place % STOPPED_TOGETHER + 1 < STOPPED_TOGETHER;
            let pause = if together { ms(0)..ms(150) } else { ms(1500)..ms(3000) };
            at += self.rng.random_range(pause);
        }
        steps.sort_unstable();
        for (at, number, step) in steps {
            self.run_for(at.saturating_sub(self.now));
            let name = format!("d{number}");
            let id = self.running.get(&name).map(|process| process.me.id.clone());
            match (step, id) {
                (0, _) => drop(self.stop(number)),
                (1, Some(id)) => self.step(&id, Event::ReleaseAll),
                (2, _) => drop(self.running.shift_remove(&name)),
                (_, _) => self.start_process(number, 2),
            }
        }
        self.run_for(ms(6000));
    }
}

// Guards against shards without an owner for seconds while daemons are stopped in turn, since those
// that they are handed to stop as well.
#[test]
fn no_shard_is_unowned_for_long_while_daemons_are_stopped_in_turn() {
    for seed in 0..SEEDS {
        let mut cluster = Cluster::start(seed);
        cluster.longest_unowned = Duration::ZERO;
        cluster.replace_all();
        assert_eq!(cluster.wrong, [""; 0], "seed {seed}");
        assert_eq!(cluster.owned(), SHARDS, "seed {seed}");
        let longest = cluster.longest_unowned;
        assert!(longest <= MAX_UNOWNED, "seed {seed}: {longest:?}");
    }
}
