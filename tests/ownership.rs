//! Which daemon takes, keeps and gives away shards.

use indexmap::IndexMap;
use std::time::Duration;
use waxwingstall::cluster::{
    Action, Event, HandOver, Head, Hello, Member, MemberStage, Ownership, Plan, ShardNews,
    StoreReach,
};
use waxwingstall::ids::{DaemonId, DomainId, RackId, ServiceName, VmId};
use waxwingstall::shard::Summary;
use waxwingstall::units::Resources;
use waxwingstall::vm::{VmEntry, VmState};

const HOME: &str = "kacyiru";
const STRONG: u32 = 500;
const WEAK: u32 = 69;
const TICK: Duration = Duration::from_millis(100);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn member(name: &str, power: u32) -> Member {
    Member {
        id: DaemonId::new(&format!("{name}@1")),
        name: name.to_owned(),
        domain: DomainId::new(HOME),
        addr: format!("{name}:1"),
        stage: MemberStage::Serving,
        power,
    }
}

fn news(shard: &str, fence: u64) -> ShardNews {
    ShardNews {
        name: shard.to_owned(),
        fence,
        summary: Summary::default(),
        accepted: Vec::new(),
        learned: Vec::new(),
        lapses: Vec::new(),
    }
}

/// A plan of this many shards, named `kacyiru.0` and so on.
fn plan(shards: usize) -> Plan {
    let vm = |number: usize| VmEntry {
        id: VmId::new(&format!("vm-{number}")),
        service: ServiceName::new("shop"),
        domain: DomainId::new(HOME),
        rack: RackId::new(&format!("r{}", number / 8)),
        labels: Vec::new(),
        size: Resources::new(1000, 1000, 0),
        state: VmState::Ready,
        addr: "vm:1".into(),
    };
    let vms: Vec<VmEntry> = (0..shards * 32).map(vm).collect();
    Plan::default().extended(&vms).expect("racks are new")
}

/// A daemon's ownership, the daemons that greet it, and what it has asked for.
struct Seen {
    ownership: Ownership,
    now: Duration,
    others: IndexMap<String, Hello>,
    claims: Vec<(Duration, String)>,
    given: Vec<(String, String)>,
}

impl Seen {
    fn new(me: Member, shards: usize) -> Self {
        let now = ms(10_000);
        let mut seen = Self {
            ownership: Ownership::new(me, now),
            now,
            others: IndexMap::new(),
            claims: Vec::new(),
            given: Vec::new(),
        };
        seen.tell(Event::Store(StoreReach::Reached));
        seen.tell(Event::Plan(plan(shards)));
        seen
    }

    fn tell(&mut self, event: Event) {
        for action in self.ownership.step(self.now, event) {
            match action {
                Action::Claim { shard, .. } => self.claims.push((self.now, shard)),
                Action::HandOver { shard, to, how } => {
                    assert_eq!(how, HandOver::Settled);
                    self.given.push((shard, to.name));
                }
                Action::ReadHeads | Action::Probe(_) | Action::Note(_) => {}
            }
        }
    }

    fn greet(&mut self, from: Member, shards: Vec<ShardNews>) {
        let hello = Hello { from, store: StoreReach::Reached, config: 1, shards };
        self.others.insert(hello.from.name.clone(), hello);
    }

    fn own(&mut self, shard: &str, fence: u64) {
        self.tell(Event::Offered { shard: shard.to_owned(), from: DaemonId::new("gone@1") });
        self.tell(Event::Claimed { shard: shard.to_owned(), fence });
        self.claims.clear();
    }

    /// Lets time pass; the others greet every 400 ms.
    fn run_for(&mut self, time: Duration) {
        let until = self.now + time;
        let mut next_hello = self.now;
        while self.now < until {
            if self.now >= next_hello {
                next_hello = self.now + ms(400);
                for hello in self.others.values().cloned().collect::<Vec<_>>() {
                    self.tell(Event::Hello(hello));
                }
            }
            self.tell(Event::Tick);
            self.now += TICK;
        }
    }
}

// A shard has no owner. Both daemons of its failure domain see it; the weak one would use up its
// processor with it, and leaves the strong one the time to claim it first.
#[test]
fn a_shard_goes_to_the_daemon_with_the_most_processor() {
    let first_claim = |me: Member, other: Member| {
        let mut seen = Seen::new(me, 1);
        seen.greet(other, Vec::new());
        seen.run_for(ms(2000));
        seen.claims[0].0
    };
    let weak = first_claim(member("weak", WEAK), member("strong", STRONG));
    let strong = first_claim(member("strong", STRONG), member("weak", WEAK));
    assert!(strong + ms(250) <= weak, "{strong:?}, {weak:?}");
}

// A strong daemon owns two shards when a third loses its owner. It has still far more processor for
// each than a weak one would have.
#[test]
fn a_strong_daemon_takes_several_shards_before_a_weak_one_takes_any() {
    let mut strong = Seen::new(member("strong", STRONG), 3);
    strong.greet(member("weak", WEAK), Vec::new());
    strong.own("kacyiru.0", 5);
    strong.own("kacyiru.1", 6);
    strong.run_for(ms(1600));
    assert_eq!(strong.claims.len(), 1, "{:?}", strong.claims);
    assert_eq!(strong.given, []);
}

// All daemons start at the same moment, and a weak one claims a shard before it has heard of the
// strong one. Once that one has been there for a while, the shard is given to it.
#[test]
fn a_shard_is_given_to_a_daemon_with_far_more_processor() {
    let mut weak = Seen::new(member("weak", WEAK), 1);
    weak.own("kacyiru.0", 5);
    weak.greet(member("strong", STRONG), Vec::new());
    weak.run_for(ms(2500));
    assert_eq!(weak.given, [], "the strong one may still be starting");
    weak.run_for(ms(1500));
    assert_eq!(weak.given, [("kacyiru.0".to_owned(), "strong".to_owned())]);
}

// Two like daemons own three shards between them, and after a restart one owns two and the other
// one none: one shard moves, the last one stays.
#[test]
fn like_daemons_share_shards_out_and_then_leave_them() {
    let mut full = Seen::new(member("full", STRONG), 2);
    full.own("kacyiru.0", 5);
    full.own("kacyiru.1", 6);
    full.greet(member("empty", STRONG), Vec::new());
    full.run_for(ms(4000));
    assert_eq!(full.given.len(), 1, "{:?}", full.given);
    let (given, _) = full.given[0].clone();
    full.tell(Event::Gone { shard: given.clone(), reason: "given away" });
    full.greet(member("empty", STRONG), vec![news(&given, 9)]);
    full.run_for(ms(8000));
    assert_eq!(full.given.len(), 1, "{:?}", full.given);
}

// Forty daemons without shards greet each other every third second, and each owner every second; an
// owner greets everyone every 400 ms.
#[test]
fn those_without_shards_greet_each_other_seldom() {
    let mut idle = Seen::new(member("idle", WEAK), 1);
    for number in 0..39 {
        idle.greet(member(&format!("d{number}"), WEAK), Vec::new());
    }
    idle.greet(member("owner", STRONG), vec![news("kacyiru.0", 5)]);
    idle.run_for(ms(100));
    let greetings = |seen: &mut Seen| {
        let mut count: IndexMap<String, u32> = IndexMap::new();
        for _ in 0..30 {
            seen.run_for(TICK);
            for member in seen.ownership.to_greet(seen.now) {
                *count.entry(member.name).or_default() += 1;
            }
        }
        (count["owner"], count["d7"])
    };
    assert_eq!(greetings(&mut idle), (3, 1));

    idle.greet(member("owner", STRONG), Vec::new());
    idle.run_for(ms(100));
    idle.own("kacyiru.0", 6);
    idle.ownership.greet_all();
    let (_, others) = greetings(&mut idle);
    assert!((7..=8).contains(&others), "{others}");
}

// As daemons start, callers' jobs are refused for longer than need be, since shards change hands at once:
// two daemons know of each other from the store and greet every third second, as long as neither owns
// anything. One claims a shard, the other reads so in the store before the first greeting of the new
// owner comes, and took it for an owner that had been silent for those three seconds.
#[test]
fn a_daemon_that_has_just_become_an_owner_is_not_taken_for_silent() {
    let mut seen = Seen::new(member("strong", STRONG), 1);
    seen.greet(member("before", STRONG), vec![news("kacyiru.0", 5)]);
    seen.tell(Event::Registered(vec![member("quiet", STRONG)]));
    seen.run_for(ms(3000));
    let before = Head::claim(DaemonId::new("before@1"), None);
    let mut head = Head::claim(DaemonId::new("quiet@1"), Some(&before));
    head.fence = 9;
    seen.tell(Event::Heads(vec![("kacyiru.0".to_owned(), head)]));
    seen.run_for(ms(1200));
    assert_eq!(seen.claims, [], "its first greeting is on its way");
    seen.run_for(ms(800));
    assert_eq!(seen.claims.len(), 1, "it says nothing at all");
}

/// Time between a claim's taking effect and the first greeting that names the shard, while the store takes
/// 0.4 s for a call: half a call for the claim's answer, a page of jobs, and three of their progress, which
/// is kept for as long as ended jobs are shown.
const SLOW_CLAIM: Duration = Duration::from_millis(1800);

// Callers' jobs are refused for as long as the store is slow, since daemons take a shard from each other. The
// one that claimed it still reads what the store has of it, and greets without naming it; another, which is
// placed worse, reads the claim in the store, takes these greetings for word that the shard was given up,
// and claims it in turn.
#[test]
fn a_claimant_that_still_reads_its_shard_has_not_given_it_up() {
    let mut seen = Seen::new(member("worse", WEAK), 1);
    seen.greet(member("before", STRONG), vec![news("kacyiru.0", 5)]);
    seen.greet(member("reading", STRONG), Vec::new());
    seen.run_for(ms(3000));
    seen.others.shift_remove("before");
    let before = Head::claim(DaemonId::new("before@1"), None);
    let mut head = Head::claim(DaemonId::new("reading@1"), Some(&before));
    head.fence = 9;
    seen.tell(Event::Heads(vec![("kacyiru.0".to_owned(), head)]));
    seen.run_for(SLOW_CLAIM);
    assert_eq!(seen.claims, [], "its owner is there, and reads");
    seen.greet(member("reading", STRONG), vec![news("kacyiru.0", 9)]);
    seen.run_for(ms(2000));
    assert_eq!(seen.claims, []);
}

// A shard is taken from a daemon that serves it well, and jobs are refused meanwhile. Another daemon's claim
// failed, since a third was quicker; by the time it is told so, the shard has gone on to a fourth, which has
// greeted. The head that the failed claim brought is older, but names no fence yet: it took the place of what
// was known, and the present owner's greetings, with the fence that was known already, changed nothing.
#[test]
fn a_failed_claim_brings_nothing_older_than_what_is_known() {
    let mut seen = Seen::new(member("strong", STRONG), 1);
    seen.run_for(ms(3000));
    assert_eq!(seen.claims.len(), 1, "the shard has no owner");
    seen.claims.clear();
    let quicker = Head::claim(DaemonId::new("quicker@1"), None);
    seen.greet(member("quicker", STRONG), Vec::new());
    seen.greet(member("present", STRONG), vec![news("kacyiru.0", 9)]);
    seen.run_for(ms(100));
    let (shard, reason) = ("kacyiru.0".to_owned(), "quicker@1 was quicker".to_owned());
    seen.tell(Event::ClaimFailed { shard, head: Some(quicker), reason });
    seen.run_for(ms(3000));
    assert_eq!(
        seen.ownership.owner("kacyiru.0").map(|owner| owner.name),
        Some("present".to_owned())
    );
    assert_eq!(seen.claims, [], "its owner greets");
}

// A shard changes hands twice as a daemon comes back after a restart. It claims the shard, and another daemon
// reads so in the store before it hears of the new process: the owner that it knows under that name is the
// earlier process, so that it took the new one for gone, and claimed at once.
#[test]
fn an_owner_that_is_known_only_from_its_earlier_process_is_not_taken_for_gone() {
    let mut seen = Seen::new(member("strong", STRONG), 1);
    seen.greet(member("before", STRONG), vec![news("kacyiru.0", 5)]);
    seen.greet(member("anew", STRONG), Vec::new());
    seen.run_for(ms(3000));
    seen.others.shift_remove("anew");
    let before = Head::claim(DaemonId::new("before@1"), None);
    let mut head = Head::claim(DaemonId::new("anew@2"), Some(&before));
    head.fence = 9;
    seen.tell(Event::Heads(vec![("kacyiru.0".to_owned(), head)]));
    seen.run_for(ms(400));
    assert_eq!(seen.claims, [], "its first greeting is on its way");
}

// Callers' lasting tasks stand still while daemons are stopped one after the other. The last one that serves
// is told to stop while those before it haven't come back: it gave its shards to nobody, and nobody owned
// them for seconds. It keeps them until another one serves, or until it ends itself.
#[test]
fn a_daemon_that_stops_keeps_its_shards_while_nobody_else_serves() {
    let stopping = Member { stage: MemberStage::Draining, ..member("before", STRONG) };
    let mut seen = Seen::new(member("last", STRONG), 2);
    seen.greet(stopping, Vec::new());
    seen.own("kacyiru.0", 5);
    seen.own("kacyiru.1", 6);
    seen.tell(Event::Drain);
    seen.run_for(ms(2000));
    assert_eq!(seen.given, [], "nobody serves");
    seen.greet(member("anew", STRONG), Vec::new());
    seen.run_for(ms(500));
    let to: Vec<&str> = seen.given.iter().map(|(_, to)| to.as_str()).collect();
    assert_eq!(to, ["anew", "anew"]);
}

// The same daemon ends before another one serves. It gives its shards up, so that whoever comes doesn't have
// to find out that it is gone.
#[test]
fn a_daemon_that_ends_gives_its_shards_up() {
    let mut seen = Seen::new(member("last", STRONG), 1);
    seen.own("kacyiru.0", 5);
    seen.tell(Event::Drain);
    seen.run_for(ms(2000));
    assert_eq!(seen.given, []);
    seen.tell(Event::GiveUp);
    assert_eq!(seen.given, [("kacyiru.0".to_owned(), "last".to_owned())]);
}
