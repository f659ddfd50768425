//! Tests of the claims and hand-overs of shards.

mod ended;
mod offers;
mod released;
mod wave;

use indexmap::IndexMap;
use std::sync::Arc;
use std::time::Duration;
use waxwingstall::cluster::{
    Action, Event, ExpectedOwner, HandOver, Head, Hello, Member, MemberStage, OfferOutcome,
    Ownership, Plan, ReleasedShard, ShardReport, StoreReachability,
};
use waxwingstall::ids::{DaemonId, DomainId, RackId, ServiceName, VmId};
use waxwingstall::kv::Rev;
use waxwingstall::note::Note;
use waxwingstall::shard::PreviousOwner;
use waxwingstall::shard::learned::Learned;
use waxwingstall::shard::settings::MAX_STALE_OWNER_EXTENSION;
use waxwingstall::units::Resources;
use waxwingstall::vm::{VmEntry, VmState};

const HOME: &str = "kacyiru";
const STRONG: u32 = 500;
const WEAK: u32 = 69;
const TICK: Duration = Duration::from_millis(100);

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn member(name: &str, milli_cores: u32) -> Member {
    Member {
        id: DaemonId::new(&format!("{name}@1")),
        name: name.to_owned(),
        domain: DomainId::new(HOME),
        addr: format!("{name}:1"),
        stage: MemberStage::Serving,
        milli_cores,
    }
}

/// Another process of the daemon `member`, started at that time by its own wall clock.
fn process(member: &Member, start: u64) -> Member {
    Member { id: DaemonId::new(&format!("{}@{start}", member.name)), ..member.clone() }
}

/// Number of a hello that was composed at that time.
fn number(at: Duration) -> u64 {
    u64::try_from(at.as_millis()).expect("a short test")
}

fn hello(from: Member, shards: Vec<ShardReport>) -> Hello {
    let store = StoreReachability::Reached;
    let clock = Duration::ZERO;
    Hello {
        from,
        number: 0,
        clock,
        uptime: Duration::ZERO,
        store,
        config: 1,
        shards: shards.into(),
        released: Vec::new(),
        ended: Vec::new(),
    }
}

fn report(shard: &str, fence: u64) -> ShardReport {
    ShardReport {
        name: shard.to_owned(),
        fence,
        earlier_active: Duration::ZERO,
        summary: Arc::default(),
        accepted: Vec::new(),
        learned: Learned::default(),
        lapses: Vec::new(),
    }
}

fn released(shard: &str, fence: u64, earlier_active: Duration) -> ReleasedShard {
    ReleasedShard { name: shard.to_owned(), fence, earlier_active }
}

/// A claim succeeded, and the head that it replaced tells nothing of earlier owners.
fn claimed(shard: &str, fence: u64) -> Event {
    let (earlier_active, before_previous) = (MAX_STALE_OWNER_EXTENSION, None);
    Event::Claimed { shard: shard.to_owned(), fence, earlier_active, before_previous }
}

/// A plan with this number of shards, named `kacyiru.0` and so on.
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
        announced: Rev::ABSENT,
        announced_after: None,
    };
    let vms: Vec<VmEntry> = (0..shards * 32).map(vm).collect();
    Plan::default().extended(&vms).expect("racks are new")
}

/// An `Ownership` under test, the hellos that it receives, and the actions that it requested.
struct Harness {
    ownership: Ownership,
    now: Duration,
    others: IndexMap<String, Hello>,
    claims: Vec<(Duration, String)>,
    /// What each claim says of the previous owner.
    previous: Vec<PreviousOwner>,
    replaces: Vec<ExpectedOwner>,
    /// Processes that were probed.
    probed: Vec<DaemonId>,
    handed_over: Vec<(String, String)>,
    /// How shards should be handed over.
    how: HandOver,
    /// Daemons that a dropped shard was offered to.
    offered: Vec<(String, DaemonId)>,
    notes: Vec<Note>,
    /// Number of times that the heads were to be read.
    heads_read: usize,
    /// Shards whose previous owner was found to have ended after the claim.
    predecessors_ended: Vec<String>,
    /// Latest time at which these or earlier ones may have extended a lease.
    extended_until: Vec<Duration>,
}

impl Harness {
    fn new(me: Member, shards: usize) -> Self {
        let now = ms(10_000);
        let mut harness = Self {
            ownership: Ownership::new(me, now),
            now,
            others: IndexMap::new(),
            claims: Vec::new(),
            previous: Vec::new(),
            replaces: Vec::new(),
            probed: Vec::new(),
            handed_over: Vec::new(),
            how: HandOver::AfterCommit,
            offered: Vec::new(),
            notes: Vec::new(),
            heads_read: 0,
            predecessors_ended: Vec::new(),
            extended_until: Vec::new(),
        };
        harness.step(Event::Store(StoreReachability::Reached));
        harness.step(Event::Plan(plan(shards)));
        harness
    }

    fn step(&mut self, event: Event) {
        for action in self.ownership.step(self.now, event) {
            match action {
                Action::Claim { shard, previous, replaces } => {
                    self.claims.push((self.now, shard));
                    self.previous.push(previous);
                    self.replaces.push(replaces);
                }
                Action::Probe(member) => self.probed.push(member.id),
                Action::HandOver { shard, to, how } => {
                    assert_eq!(how, self.how);
                    self.handed_over.push((shard, to.name));
                }
                Action::PredecessorEnded { shard, extended_until } => {
                    self.predecessors_ended.push(shard);
                    self.extended_until.push(extended_until);
                }
                Action::Offer { released, to } => self.offered.push((released.name, to.id)),
                Action::Note(note) => self.notes.push(note),
                Action::ReadHeads => self.heads_read += 1,
            }
        }
    }

    fn set_peer(&mut self, from: Member, shards: Vec<ShardReport>) {
        let hello = hello(from, shards);
        self.others.insert(hello.from.name.clone(), hello);
    }

    /// A daemon sends a hello of its own accord, at any time before it is heard.
    fn hear(&mut self, hello: Hello) {
        self.hear_late(hello, self.now);
    }

    /// The same, sent by the daemon at that time; it may come after hellos that were sent later.
    fn hear_late(&mut self, hello: Hello, sent: Duration) {
        let hello = Hello { number: number(sent), ..hello };
        self.step(Event::Hello { hello, asked: None });
    }

    /// A daemon answers the hello that was sent to it at `asked`.
    fn hear_answer(&mut self, hello: Hello, asked: Duration) {
        let hello = Hello { number: number(self.now), ..hello };
        self.step(Event::Hello { hello, asked: Some(asked) });
    }

    /// A daemon refuses a connection for a call made at `asked`.
    fn refuse(&mut self, to: &Member, asked: Duration) {
        self.step(Event::Refused { id: to.id.clone(), asked });
    }

    /// A daemon hands the shard over that it owned with this fencing token.
    fn offer(&mut self, shard: &str, from: &Member, fence: u64) {
        let released = released(shard, fence, Duration::ZERO);
        self.step(Event::Offered { from: from.id.clone(), released });
    }

    /// The shard that this daemon owned with this token is dropped, so that it can be handed over.
    fn release(&mut self, shard: &str, fence: u64) {
        self.step(Event::Released { shard: shard.to_owned(), fence });
    }

    /// A daemon that a shard was offered to answers, or it is found that it doesn't.
    fn end_offer(&mut self, shard: &str, fence: u64, candidate: &Member, outcome: OfferOutcome) {
        let (shard, candidate) = (shard.to_owned(), candidate.id.clone());
        self.step(Event::OfferEnded { shard, fence, candidate, outcome });
    }

    /// Reads from the store that a daemon claimed the shard.
    fn read_claim(&mut self, shard: &str, owner: &Member, fence: u64) {
        let head = Head { fence, ..Head::claim(owner.id.clone(), None) };
        self.step(Event::Heads(vec![(shard.to_owned(), head)]));
    }

    fn own_shard(&mut self, shard: &str, fence: u64) {
        self.offer(shard, &member("gone", STRONG), fence - 1);
        self.step(claimed(shard, fence));
        self.claims.clear();
        self.previous.clear();
    }

    /// Advances time; the other daemons send a hello every 400 ms.
    fn run_for(&mut self, time: Duration) {
        let until = self.now + time;
        let mut next_hello = self.now;
        while self.now < until {
            if self.now >= next_hello {
                next_hello = self.now + ms(400);
                for hello in self.others.values().cloned().collect::<Vec<_>>() {
                    self.hear(hello);
                }
            }
            self.step(Event::Tick);
            self.now += TICK;
        }
    }
}

// Both daemons of a failure domain see a shard without an owner. The shard would take all of the
// weak daemon's CPU, so it leaves the strong one time to claim the shard first.
#[test]
fn the_daemon_with_the_most_cpu_claims_first() {
    let first_claim = |me: Member, other: Member| {
        let mut harness = Harness::new(me, 1);
        harness.set_peer(other, Vec::new());
        harness.run_for(ms(2000));
        harness.claims[0].0
    };
    let weak = first_claim(member("weak", WEAK), member("strong", STRONG));
    let strong = first_claim(member("strong", STRONG), member("weak", WEAK));
    assert!(strong + ms(250) <= weak, "{strong:?}, {weak:?}");
}

// A strong daemon owns two shards when a third loses its owner. It still has far more CPU per shard
// than a weak daemon would have, and claims the third one too.
#[test]
fn a_strong_daemon_claims_several_shards_before_a_weak_one() {
    let mut strong = Harness::new(member("strong", STRONG), 3);
    strong.set_peer(member("weak", WEAK), Vec::new());
    strong.own_shard("kacyiru.0", 5);
    strong.own_shard("kacyiru.1", 6);
    strong.run_for(ms(1600));
    assert_eq!(strong.claims.len(), 1, "{:?}", strong.claims);
    assert_eq!(strong.handed_over, []);
}

// All daemons start at the same time, and a weak one claims a shard before it knows of the strong
// one. The shard is handed over once the strong daemon has been known for a while.
#[test]
fn a_shard_is_handed_over_to_a_daemon_with_far_more_cpu() {
    let mut weak = Harness::new(member("weak", WEAK), 1);
    weak.own_shard("kacyiru.0", 5);
    weak.set_peer(member("strong", STRONG), Vec::new());
    weak.run_for(ms(2500));
    assert_eq!(weak.handed_over, [], "the strong daemon may still be starting");
    weak.run_for(ms(1500));
    assert_eq!(weak.handed_over, [("kacyiru.0".to_owned(), "strong".to_owned())]);
}

// Of two equal daemons, one owns two shards and the other, after a restart, none. One shard moves
// and the other stays.
#[test]
fn equal_daemons_balance_shards_once() {
    let mut full = Harness::new(member("full", STRONG), 2);
    full.own_shard("kacyiru.0", 5);
    full.own_shard("kacyiru.1", 6);
    full.set_peer(member("empty", STRONG), Vec::new());
    full.run_for(ms(4000));
    assert_eq!(full.handed_over.len(), 1, "{:?}", full.handed_over);
    let (handed_over, _) = full.handed_over[0].clone();
    full.step(Event::NoLongerOwned { shard: handed_over.clone(), reason: "handed over" });
    full.set_peer(member("empty", STRONG), vec![report(&handed_over, 9)]);
    full.run_for(ms(8000));
    assert_eq!(full.handed_over.len(), 1, "{:?}", full.handed_over);
}

// With forty daemons, those without shards send each other a hello every three seconds and each
// owner one every second. An owner sends everyone a hello every 400 ms.
#[test]
fn daemons_without_shards_rarely_send_each_other_hellos() {
    let mut idle = Harness::new(member("idle", WEAK), 1);
    for number in 0..39 {
        idle.set_peer(member(&format!("d{number}"), WEAK), Vec::new());
    }
    idle.set_peer(member("owner", STRONG), vec![report("kacyiru.0", 5)]);
    idle.run_for(ms(100));
    let hellos = |harness: &mut Harness| {
        let mut count: IndexMap<String, u32> = IndexMap::new();
        for _ in 0..30 {
            harness.run_for(TICK);
            for member in harness.ownership.take_due_hellos(harness.now) {
                *count.entry(member.name).or_default() += 1;
            }
        }
        (count["owner"], count["d7"])
    };
    assert_eq!(hellos(&mut idle), (3, 1));

    idle.set_peer(member("owner", STRONG), Vec::new());
    idle.run_for(ms(100));
    idle.own_shard("kacyiru.0", 6);
    idle.ownership.schedule_hello_to_all();
    let (_, others) = hellos(&mut idle);
    assert!((7..=8).contains(&others), "{others}");
}

// Guards against a shard moving right after a claim at startup, which refuses callers' jobs for
// longer. Daemons without shards send each other a hello only every three seconds. One claims a
// shard, and the other reads the claim from the store before the new owner's first hello. It must
// not count the silence before the claim, or it would consider the new owner unresponsive and claim
// the shard again.
#[test]
fn a_daemon_that_has_just_become_an_owner_is_not_taken_for_silent() {
    let mut harness = Harness::new(member("strong", STRONG), 1);
    harness.set_peer(member("before", STRONG), vec![report("kacyiru.0", 5)]);
    harness.step(Event::Registered(vec![member("quiet", STRONG)]));
    harness.run_for(ms(3000));
    let before = Head::claim(DaemonId::new("before@1"), None);
    let mut head = Head::claim(DaemonId::new("quiet@1"), Some(&before));
    head.fence = 9;
    harness.step(Event::Heads(vec![("kacyiru.0".to_owned(), head)]));
    harness.run_for(ms(1200));
    assert_eq!(harness.claims, [], "its first hello is still on its way");
    harness.run_for(ms(800));
    assert_eq!(harness.claims.len(), 1, "it never sends a hello");
}

/// Time between a claim and the first hello that lists the shard, while a store call takes 0.4 s:
/// half a call for the claim's answer, one page of jobs, and three pages of their progress, which
/// is kept for as long as ended jobs are shown.
const SLOW_CLAIM: Duration = Duration::from_millis(1800);

// Guards against daemons taking a shard from each other for as long as the store is slow, while
// callers' jobs are refused. A new owner that is still loading the shard sends hellos that don't
// list it. Another daemon, which has read the claim from the store, must not conclude that the
// shard was released.
#[test]
fn an_owner_that_is_loading_its_shard_has_not_released_it() {
    let mut harness = Harness::new(member("worse", WEAK), 1);
    harness.set_peer(member("before", STRONG), vec![report("kacyiru.0", 5)]);
    harness.set_peer(member("reading", STRONG), Vec::new());
    harness.run_for(ms(3000));
    harness.others.shift_remove("before");
    let before = Head::claim(DaemonId::new("before@1"), None);
    let mut head = Head::claim(DaemonId::new("reading@1"), Some(&before));
    head.fence = 9;
    harness.step(Event::Heads(vec![("kacyiru.0".to_owned(), head)]));
    harness.run_for(SLOW_CLAIM);
    assert_eq!(harness.claims, [], "its owner is alive and still loading");
    harness.set_peer(member("reading", STRONG), vec![report("kacyiru.0", 9)]);
    harness.run_for(ms(2000));
    assert_eq!(harness.claims, []);
}

// Guards against a claim of a shard whose owner is alive. A daemon's claim fails because another
// was quicker, and by the time it learns this, a third daemon owns the shard and has sent a hello.
// The head returned with the failed claim is older and has no fencing token yet. It must not
// replace the known owner, whose hellos repeat a known token and so wouldn't correct it.
#[test]
fn a_failed_claim_does_not_replace_a_newer_owner() {
    let mut harness = Harness::new(member("strong", STRONG), 1);
    harness.run_for(ms(3000));
    assert_eq!(harness.claims.len(), 1, "the shard has no owner");
    harness.claims.clear();
    let quicker = Head::claim(DaemonId::new("quicker@1"), None);
    harness.set_peer(member("quicker", STRONG), Vec::new());
    harness.set_peer(member("present", STRONG), vec![report("kacyiru.0", 9)]);
    harness.run_for(ms(100));
    let (shard, reason) = ("kacyiru.0".to_owned(), "quicker@1 was quicker".to_owned());
    harness.step(Event::ClaimFailed { shard, head: Some(quicker), reason });
    harness.run_for(ms(3000));
    assert_eq!(
        harness.ownership.owner("kacyiru.0").map(|owner| owner.name),
        Some("present".to_owned())
    );
    assert_eq!(harness.claims, [], "its owner sends hellos");
}

// Guards against a shard moving twice when a daemon restarts. The restarted daemon claims the
// shard, and another reads the claim from the store before the new process's first hello. It knows
// only the earlier process under that name, and must not conclude that the new one has ended.
#[test]
fn an_owner_known_only_by_its_earlier_process_is_not_considered_ended() {
    let mut harness = Harness::new(member("strong", STRONG), 1);
    harness.set_peer(member("before", STRONG), vec![report("kacyiru.0", 5)]);
    harness.set_peer(member("anew", STRONG), Vec::new());
    harness.run_for(ms(3000));
    harness.others.shift_remove("anew");
    let before = Head::claim(DaemonId::new("before@1"), None);
    let mut head = Head::claim(DaemonId::new("anew@2"), Some(&before));
    head.fence = 9;
    harness.step(Event::Heads(vec![("kacyiru.0".to_owned(), head)]));
    harness.run_for(ms(400));
    assert_eq!(harness.claims, [], "its first hello is still on its way");
}

// Guards against lasting tasks standing still while daemons are restarted in turn. The last serving
// daemon is told to stop before the others are back. If it released its shards, they would have no
// owner for seconds; it keeps them until another daemon serves or until it exits.
#[test]
fn a_daemon_that_stops_keeps_its_shards_while_nobody_else_serves() {
    let stopping = Member { stage: MemberStage::Draining, ..member("before", STRONG) };
    let mut harness = Harness::new(member("last", STRONG), 2);
    harness.set_peer(stopping, Vec::new());
    harness.own_shard("kacyiru.0", 5);
    harness.own_shard("kacyiru.1", 6);
    harness.step(Event::Drain);
    harness.run_for(ms(2000));
    assert_eq!(harness.handed_over, [], "nobody serves");
    harness.set_peer(member("anew", STRONG), Vec::new());
    harness.run_for(ms(500));
    let to: Vec<&str> = harness.handed_over.iter().map(|(_, to)| to.as_str()).collect();
    assert_eq!(to, ["anew", "anew"]);
}

// A draining daemon exits before another one serves. It releases its shards, so that the next
// daemon doesn't have to wait until it is found to have ended.
#[test]
fn a_daemon_that_exits_releases_its_shards() {
    let mut harness = Harness::new(member("last", STRONG), 1);
    harness.own_shard("kacyiru.0", 5);
    harness.step(Event::Drain);
    harness.run_for(ms(2000));
    assert_eq!(harness.handed_over, []);
    harness.step(Event::ReleaseAll);
    assert_eq!(harness.handed_over, [("kacyiru.0".to_owned(), "last".to_owned())]);
}

fn remote(name: &str) -> Member {
    Member { domain: DomainId::new("gikondo"), ..member(name, STRONG) }
}

/// A daemon that knows two owners in another failure domain and one in its own.
fn daemon_beside_owners() -> Harness {
    let mut harness = Harness::new(member("idle", WEAK), 3);
    harness.set_peer(remote("far"), vec![report("kacyiru.0", 5)]);
    harness.set_peer(remote("farther"), vec![report("kacyiru.1", 5)]);
    harness.set_peer(member("near", STRONG), vec![report("kacyiru.2", 5)]);
    harness.run_for(ms(3000));
    harness
}

fn silence_remote_owners(harness: &mut Harness) {
    harness.others.shift_remove("far");
    harness.others.shift_remove("farther");
}

// Guards against callers who are kept at a domain that can't accept jobs: with many daemons, the
// silence of those without shards shows nothing for tens of seconds, so that a domain that was cut
// off called itself ready until the cut was over.
#[test]
fn a_domain_that_hears_no_other_owner_and_no_store_is_cut_off() {
    let mut harness = daemon_beside_owners();
    let is_cut_off = |harness: &Harness| harness.ownership.is_domain_cut_off(harness.now);
    silence_remote_owners(&mut harness);
    harness.step(Event::Store(StoreReachability::Away));
    harness.run_for(ms(500));
    assert!(!is_cut_off(&harness), "one missed hello shows nothing");
    harness.run_for(ms(900));
    assert!(is_cut_off(&harness));
    harness.step(Event::Store(StoreReachability::Reached));
    assert!(!is_cut_off(&harness));
}

// Guards against a whole cluster that turns callers away while the store is away for everyone: they
// would find no other daemon to go to.
#[test]
fn an_outage_of_the_store_cuts_no_domain_off() {
    let mut harness = daemon_beside_owners();
    harness.others.shift_remove("far");
    harness.step(Event::Store(StoreReachability::Away));
    harness.run_for(ms(5000));
    assert!(!harness.ownership.is_domain_cut_off(harness.now), "another domain is heard");
}

// Guards against tasks that run twice after an owner was taken for ended. It had restarted, claimed
// the shard and was then cut off; a hello of its earlier process, held up on the way, came last.
#[test]
fn a_late_hello_of_an_earlier_process_does_not_show_that_the_owner_ended() {
    let (earlier, owner) =
        (process(&member("anew", STRONG), 1), process(&member("anew", STRONG), 2));
    let mut harness = Harness::new(member("strong", STRONG), 1);
    harness.set_peer(owner, vec![report("kacyiru.0", 9)]);
    harness.run_for(ms(3000));
    harness.others.clear();
    harness.hear(hello(earlier.clone(), Vec::new()));
    harness.run_for(ms(1000));
    harness.hear(hello(earlier, vec![report("kacyiru.0", 5)]));
    assert_eq!(harness.claims, [], "its owner has not been silent for long");
    harness.run_for(ms(1000));
    assert_eq!(harness.previous, [PreviousOwner::MaybeActive]);
}

// The same, where the new process's claim was read from the store and it was not heard yet.
#[test]
fn a_late_hello_of_an_earlier_process_does_not_show_that_a_claimant_ended() {
    let (earlier, owner) =
        (process(&member("anew", STRONG), 1), process(&member("anew", STRONG), 2));
    let mut harness = Harness::new(member("strong", STRONG), 1);
    harness.set_peer(earlier.clone(), vec![report("kacyiru.0", 5)]);
    harness.run_for(ms(3000));
    let asked = harness.now;
    harness.others.clear();
    harness.read_claim("kacyiru.0", &owner, 9);
    harness.run_for(ms(400));
    harness.hear(hello(earlier.clone(), vec![report("kacyiru.0", 5)]));
    harness.hear_answer(hello(earlier, vec![report("kacyiru.0", 5)]), asked - ms(1));
    harness.run_for(ms(800));
    assert_eq!(harness.claims, [], "its first hello is still on its way");
    harness.run_for(ms(1000));
    assert_eq!(harness.previous, [PreviousOwner::MaybeActive]);
}

// Guards against an owner taken for ended because the wall clock of its machine stepped back before
// it started: its earlier process seems to be the later one.
#[test]
fn a_wall_clock_that_steps_back_does_not_show_that_the_owner_ended() {
    let (earlier, owner) =
        (process(&member("anew", STRONG), 9), process(&member("anew", STRONG), 2));
    let mut harness = Harness::new(member("strong", STRONG), 1);
    harness.set_peer(earlier, Vec::new());
    harness.run_for(ms(1000));
    harness.others.clear();
    harness.read_claim("kacyiru.0", &owner, 9);
    harness.run_for(ms(1000));
    assert_eq!(harness.claims, [], "its first hello is still on its way");
    harness.hear_answer(hello(owner, vec![report("kacyiru.0", 9)]), harness.now);
    harness.run_for(ms(1000));
    assert_eq!(harness.claims, [], "its owner answers");
}

// Guards against an owner taken for ended by an old list of daemons: it is frozen, and the list
// still holds its earlier process.
#[test]
fn a_registration_does_not_show_that_the_owner_ended() {
    let (earlier, owner) =
        (process(&member("anew", STRONG), 1), process(&member("anew", STRONG), 2));
    let mut harness = Harness::new(remote("far"), 1);
    harness.set_peer(owner, vec![report("kacyiru.0", 9)]);
    harness.run_for(ms(3000));
    harness.others.clear();
    harness.run_for(ms(3000));
    harness.step(Event::Registered(vec![earlier]));
    harness.run_for(ms(6000));
    assert_eq!(harness.previous, [PreviousOwner::MaybeActive]);
}

// A restarted owner's first hello may be of any age, so it is asked at once; its answer shows that
// the earlier process has ended, whatever its wall clock says.
#[test]
fn an_answer_of_a_later_process_shows_that_the_owner_ended() {
    let (owner, later) = (process(&member("anew", STRONG), 2), process(&member("anew", STRONG), 1));
    let mut harness = Harness::new(member("strong", STRONG), 1);
    harness.set_peer(owner, vec![report("kacyiru.0", 9)]);
    harness.run_for(ms(3000));
    harness.others.clear();
    harness.now += ms(50);
    harness.hear(hello(later.clone(), Vec::new()));
    assert_eq!(harness.probed, std::slice::from_ref(&later.id));
    assert_eq!(harness.claims, []);
    let asked = harness.now;
    harness.now += ms(5);
    harness.hear_answer(hello(later, Vec::new()), asked);
    harness.run_for(ms(500));
    assert_eq!(harness.previous, [PreviousOwner::Ended]);
}

/// A daemon that hears the owner of a shard until now.
fn daemon_beside_owner() -> (Harness, Member) {
    let owner = member("owner", STRONG);
    let mut harness = Harness::new(member("strong", STRONG), 1);
    harness.set_peer(owner.clone(), vec![report("kacyiru.0", 9)]);
    harness.run_for(ms(3000));
    harness.others.clear();
    (harness, owner)
}

// Guards against tasks that run twice after a network cut that refuses connections: the owner was
// taken for ended though its process lives and extends the leases of VMs on its side.
#[test]
fn a_refused_connection_does_not_show_that_the_owner_ended() {
    let (mut harness, owner) = daemon_beside_owner();
    harness.refuse(&owner, harness.now);
    harness.run_for(ms(500));
    assert_eq!(harness.previous, [PreviousOwner::MaybeActive], "claimed early, without a proof");
}

// An owner is restarted. Its port refuses connections until its next process runs, whose answer
// comes before the claim, which then needn't wait for the owner.
#[test]
fn an_answer_after_a_refused_connection_shows_that_the_owner_ended() {
    let (mut harness, owner) = daemon_beside_owner();
    harness.set_peer(member("better", 2 * STRONG), Vec::new());
    harness.run_for(ms(100));
    harness.refuse(&owner, harness.now);
    harness.run_for(ms(100));
    let later = process(&owner, 2);
    harness.hear_answer(hello(later, Vec::new()), harness.now);
    harness.run_for(ms(600));
    assert_eq!(harness.previous, [PreviousOwner::Ended]);
}

// Guards against a needless move of a shard: a call was refused while a cut began or ended, and the
// report comes after a hello that the owner sent later.
#[test]
fn a_refused_connection_from_before_the_last_hello_shows_nothing() {
    let (mut harness, owner) = daemon_beside_owner();
    let asked = harness.now;
    harness.now += ms(20);
    harness.hear_answer(hello(owner.clone(), vec![report("kacyiru.0", 9)]), asked + ms(10));
    harness.now += ms(20);
    harness.refuse(&owner, asked);
    harness.run_for(ms(500));
    assert_eq!(harness.claims, [], "its owner answered later");
}

// Guards against an owner that is taken for alive again, and callers that are sent to it, after its
// process has ended: its last hello was held up on the way and came after the refused connection.
#[test]
fn a_late_hello_does_not_refute_a_refused_connection() {
    let (mut harness, owner) = daemon_beside_owner();
    harness.step(Event::Store(StoreReachability::Away));
    harness.refuse(&owner, harness.now);
    harness.now += ms(300);
    harness.probed.clear();
    let last = hello(owner.clone(), vec![report("kacyiru.0", 9)]);
    harness.hear(last.clone());
    assert_eq!(harness.ownership.owner("kacyiru.0"), None, "it may have ended since");
    assert_eq!(harness.probed, std::slice::from_ref(&owner.id));
    harness.hear_answer(last, harness.now);
    assert_eq!(harness.ownership.owner("kacyiru.0"), Some(owner));
}

// Guards against waiting 12 s more than needed for VMs that don't answer: the owner was restarted
// after its shard had been claimed as that of a daemon that may be active.
#[test]
fn an_answer_after_the_claim_shows_that_the_previous_owner_has_ended() {
    let (mut harness, owner) = daemon_beside_owner();
    let later = process(&owner, 2);
    let asked = harness.now;
    harness.refuse(&owner, asked);
    assert_eq!(harness.previous, [PreviousOwner::MaybeActive]);
    harness.hear_answer(hello(later.clone(), Vec::new()), asked);
    assert!(harness.predecessors_ended.is_empty(), "the shard isn't owned yet");
    harness.step(claimed("kacyiru.0", 10));
    harness.hear_answer(hello(later, Vec::new()), asked);
    assert_eq!(harness.predecessors_ended, ["kacyiru.0"], "once");
}

// Guards against tasks that run twice: a process from before the previous owner's claim, or a hello
// of any age, was taken for a proof that the previous owner has ended.
#[test]
fn hellos_from_before_the_claim_do_not_show_that_the_previous_owner_has_ended() {
    let (mut harness, owner) = daemon_beside_owner();
    let (other, refused) = (process(&owner, 2), harness.now);
    harness.refuse(&owner, refused);
    harness.step(claimed("kacyiru.0", 10));
    harness.hear(hello(other.clone(), Vec::new()));
    harness.hear_answer(hello(other, Vec::new()), ms(10_000) - TICK);
    harness.hear_answer(hello(owner, Vec::new()), refused);
    assert!(harness.predecessors_ended.is_empty());
}

// Guards against a shard that is taken from its owner, which is then taken for ended: an offer of
// its former owner was held up on the way, and another daemon has claimed it meanwhile.
#[test]
fn a_late_offer_takes_no_shard_from_its_next_owner() {
    let (mut harness, owner) = daemon_beside_owner();
    harness.offer("kacyiru.0", &member("former", STRONG), 5);
    assert_eq!(harness.claims, [], "it was offered before its owner claimed it");
    harness.offer("kacyiru.0", &owner, 9);
    assert_eq!(harness.previous, [PreviousOwner::Ended]);
}

// The same, where the offer's sender has claimed the shard again itself.
#[test]
fn a_late_offer_takes_no_shard_from_a_daemon_that_claimed_it_again() {
    let (mut harness, owner) = daemon_beside_owner();
    harness.read_claim("kacyiru.0", &owner, 12);
    harness.offer("kacyiru.0", &owner, 9);
    assert_eq!(harness.claims, [], "it was offered before its owner claimed it again");
}

// Guards against a shard that is taken from an owner that has claimed it again, by a claim that was
// decided when its earlier ownership had ended.
#[test]
fn a_claim_does_not_cover_a_later_ownership_of_the_same_daemon() {
    let (mut harness, owner) = daemon_beside_owner();
    harness.offer("kacyiru.0", &owner, 9);
    let again = |fence| Head { fence, ..Head::claim(owner.id.clone(), None) };
    assert!(harness.replaces[0].covers(&again(9)));
    assert!(!harness.replaces[0].covers(&again(12)), "it is the owner again");
}

// Guards against a shard whose owner is taken for having released it, and so for inactive, by a
// hello from before its claim that was held up on the way; the owner is cut off since.
#[test]
fn a_late_hello_does_not_show_that_the_owner_released_the_shard() {
    let (mut harness, owner) = daemon_beside_owner();
    harness.hear_late(hello(owner, Vec::new()), harness.now - ms(2900));
    harness.run_for(ms(1300));
    assert_eq!(harness.claims, [], "its owner has not been silent for long");
    harness.run_for(ms(800));
    assert_eq!(harness.previous, [PreviousOwner::MaybeActive]);
}

// Guards against an owner that is taken for inactive because the store is slow: after its claim it
// still loads the shard, and lists it in no hello until then.
#[test]
fn a_shard_that_was_never_listed_has_not_been_released() {
    let mut harness = Harness::new(member("strong", STRONG), 1);
    let owner = member("reading", STRONG);
    harness.set_peer(owner.clone(), Vec::new());
    harness.run_for(ms(600));
    harness.read_claim("kacyiru.0", &owner, 9);
    harness.run_for(ms(4000));
    assert_eq!(harness.previous, [PreviousOwner::MaybeActive]);
}

// An owner that lists the shard no longer has released it, and extends nothing any more.
#[test]
fn a_later_hello_without_the_shard_shows_that_the_owner_released_it() {
    let (mut harness, owner) = daemon_beside_owner();
    harness.set_peer(owner, Vec::new());
    harness.run_for(ms(1300));
    assert_eq!(harness.previous, [PreviousOwner::Ended]);
}

// Guards against an owner that is taken for having released its shard after a pause of this daemon:
// its last hello from before its claim was counted as later.
#[test]
fn a_hello_from_before_the_claim_counts_as_such_after_a_pause() {
    let mut harness = Harness::new(member("strong", STRONG), 1);
    let owner = member("quiet", STRONG);
    harness.set_peer(owner.clone(), Vec::new());
    harness.run_for(ms(500));
    harness.others.clear();
    harness.read_claim("kacyiru.0", &owner, 9);
    harness.now += ms(3000);
    harness.run_for(ms(1200));
    assert_eq!(harness.claims, [], "its first hello as an owner is still on its way");
}
