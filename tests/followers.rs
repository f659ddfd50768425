//! What the duty of records tells control of the VMs, on a store that holds only so many changes in an
//! answer; time is virtual.

use actix::prelude::*;
use bytes::Bytes;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime};
use tokio::time::Instant;
use waxwingstall::clock::Clock;
use waxwingstall::cluster::plan::PLAN_KEY;
use waxwingstall::cluster::{Member, MemberStage, Replaced};
use waxwingstall::ids::{DaemonId, DomainId, RackId, ServiceName, VmId};
use waxwingstall::jobs::control::Stored;
use waxwingstall::jobs::records::{Claim, Forget, Records};
use waxwingstall::jobs::{Platform, Unreadable, Written};
use waxwingstall::kv::{self, Changes, Freshness, Item, Kv, LeaseId, Page, Put, Rev, Txn, Watch};
use waxwingstall::permit::{self, PermitPort, PermitReq, PermitResp};
use waxwingstall::shard::{Announcements, Previous};
use waxwingstall::units::Resources;
use waxwingstall::upkeep::{self, Machine, MachinePort, UpkeepReq, WaveState};
use waxwingstall::vm::{
    self, LookReq, LookResp, PaceReq, RunReq, StartReq, VmAddr, VmEntry, VmPort, VmState, VmTime,
};
use waxwingstall_standin::fakes::FakeStore;
use waxwingstall_standin::troubled::Troubled;
use waxwingstall_standin::txns::{ANSWER_CHANGES, TxnTable};

/// Time that the store takes for a call.
const CALL: Duration = Duration::from_millis(4);

/// Time from a VM's announcement until owners know of it. Nothing may be started on a VM 2 s after it
/// said that it leaves, and half of that is left to the start itself.
const HEARD_WITHIN: Duration = Duration::from_secs(1);

/// The runtime's time, which tests let pass.
struct VirtualClock {
    start: Instant,
}

impl Clock for VirtualClock {
    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.now()
    }
}

/// The store, which takes time.
#[derive(Clone)]
struct SlowStore {
    store: FakeStore,
    /// Time that it takes for a call.
    call: Duration,
    /// Whether it turns away calls about the plan.
    no_plan: Arc<AtomicBool>,
}

impl SlowStore {
    fn allows(&self, key: &str) -> kv::Result<()> {
        if key == PLAN_KEY && self.no_plan.load(Ordering::Relaxed) {
            return Err(kv::Error::Refused { reason: "too many calls".to_owned() });
        }
        Ok(())
    }
}

impl Kv for SlowStore {
    async fn get(&self, key: &str) -> kv::Result<Option<Item>> {
        tokio::time::sleep(self.call).await;
        self.allows(key)?;
        self.store.get(key).await
    }

    async fn range(&self, prefix: &str, after: Option<&str>, of: Freshness) -> kv::Result<Page> {
        tokio::time::sleep(self.call).await;
        self.store.range(prefix, after, of).await
    }

    async fn watch(&self, watch: &Watch) -> kv::Result<Changes> {
        tokio::time::sleep(self.call).await;
        let until = Instant::now() + watch.wait;
        loop {
            let changes = self.store.watch(watch).await?;
            if !changes.changes.is_empty() || Instant::now() >= until {
                return Ok(changes);
            }
            tokio::time::sleep(self.call).await;
        }
    }

    async fn commit(&self, txn: &Txn) -> kv::Result<Rev> {
        tokio::time::sleep(self.call).await;
        self.store.commit(txn).await
    }

    async fn grant(&self, ttl: Duration) -> kv::Result<LeaseId> {
        tokio::time::sleep(self.call).await;
        self.store.grant(ttl).await
    }

    async fn keep(&self, lease: LeaseId) -> kv::Result<()> {
        tokio::time::sleep(self.call).await;
        self.store.keep(lease).await
    }

    async fn end(&self, lease: LeaseId) -> kv::Result<()> {
        tokio::time::sleep(self.call).await;
        self.store.end(lease).await
    }
}

/// VMs, permits and machines: these tests call none.
#[derive(Clone)]
struct Nobody;

impl VmPort for Nobody {
    async fn look(&self, _: &VmAddr, _: LookReq) -> vm::Result<LookResp> {
        Err(vm::Error::NotSent { reason: "nobody is there".to_owned() })
    }

    async fn start(&self, _: &VmAddr, _: StartReq) -> vm::Result<VmTime> {
        Err(vm::Error::NotSent { reason: "nobody is there".to_owned() })
    }

    async fn stop(&self, _: &VmAddr, _: RunReq) -> vm::Result<VmTime> {
        Err(vm::Error::NotSent { reason: "nobody is there".to_owned() })
    }

    async fn pace(&self, _: &VmAddr, _: PaceReq) -> vm::Result<VmTime> {
        Err(vm::Error::NotSent { reason: "nobody is there".to_owned() })
    }
}

impl PermitPort for Nobody {
    async fn ask(&self, _: &PermitReq) -> permit::Result<PermitResp> {
        Err(permit::Error::NotSent { reason: "nobody is there".to_owned() })
    }
}

impl MachinePort for Nobody {
    async fn list(&self) -> upkeep::Result<Vec<Machine>> {
        Err(upkeep::Error::NotSent { reason: "nobody is there".to_owned() })
    }

    async fn upkeep(&self, _: &UpkeepReq) -> upkeep::Result<()> {
        Err(upkeep::Error::NotSent { reason: "nobody is there".to_owned() })
    }
}

/// A platform of which only the store is there.
#[derive(Clone)]
struct StorePlatform(SlowStore);

impl Platform for StorePlatform {
    type Store = SlowStore;
    type Vms = Nobody;
    type Permits = Nobody;
    type Machines = Nobody;

    fn store(&self) -> SlowStore {
        self.0.clone()
    }

    fn vms(&self) -> Nobody {
        Nobody
    }

    fn permits(&self) -> Nobody {
        Nobody
    }

    fn machines(&self) -> Nobody {
        Nobody
    }

    fn fleet_prefix(&self) -> &str {
        "vm/"
    }

    fn read_vm(&self, item: &Item) -> Result<VmEntry, Unreadable> {
        let leaves = item.value.starts_with(b"leaving");
        let state = if leaves { VmState::Leaving { left: None } } else { VmState::Ready };
        Ok(VmEntry {
            id: VmId::new(&item.key),
            service: ServiceName::new("shop"),
            domain: DomainId::new("kacyiru"),
            rack: RackId::new("r0"),
            labels: Vec::new(),
            size: Resources::new(32_000, 128_000, 0),
            state,
            addr: Arc::from("10.1.0.1:80"),
        })
    }

    fn operator_prefix(&self) -> &str {
        "op/"
    }

    fn config_key(&self) -> &str {
        "op/config"
    }

    fn read_operators(&self, _: &Item) -> Result<Written, Unreadable> {
        Ok(Written::Other)
    }

    fn wave_state(&self, wave: u64, _: WaveState) -> Put {
        Put { key: format!("status/{wave}"), value: Bytes::new(), lease: None }
    }
}

/// Lists as they were told of.
type Told = Rc<RefCell<Vec<ToldList>>>;

/// Claims as they ended, by the daemon's name and whether it became the owner.
type Claims = Rc<RefCell<Vec<(&'static str, bool)>>>;

struct ToldList {
    at: Duration,
    /// When it was asked for, as was said.
    asked: Option<Duration>,
    leaving: Vec<String>,
}

/// Takes control's place.
struct Listener {
    name: &'static str,
    clock: Arc<dyn Clock>,
    told: Told,
    claims: Claims,
}

impl Actor for Listener {
    type Context = Context<Self>;
}

impl Listener {
    /// Records that tell this listener.
    fn with_records(self, store: SlowStore) -> Addr<Records<StorePlatform>> {
        let (me, clock) = (member(self.name), self.clock.clone());
        let (platform, ttl) = (StorePlatform(store), Duration::from_secs(4));
        Records::new(me, platform, ttl, self.start().recipient(), clock).start()
    }
}

impl Handler<Stored> for Listener {
    type Result = ();

    fn handle(&mut self, msg: Stored, _: &mut Self::Context) {
        match &msg {
            Stored::Claimed(_) => self.claims.borrow_mut().push((self.name, true)),
            Stored::ClaimFailed { .. } => self.claims.borrow_mut().push((self.name, false)),
            _ => {}
        }
        let Stored::Fleet { vms, announcements, at: asked } = msg else { return };
        if announcements == Announcements::Unread {
            return;
        }
        let leaves = |vm: &&VmEntry| matches!(vm.state, VmState::Leaving { .. });
        let leaving = vms.iter().filter(leaves).map(|vm| vm.id.to_string()).collect();
        let at = self.clock.now();
        self.told.borrow_mut().push(ToldList { at, asked, leaving });
    }
}

/// A daemon's records, and what they tell.
struct Seen {
    clock: Arc<dyn Clock>,
    table: Arc<Troubled<TxnTable>>,
    records: Addr<Records<StorePlatform>>,
    told: Told,
    claims: Claims,
    store: SlowStore,
    no_plan: Arc<AtomicBool>,
    seq: u64,
}

impl Seen {
    /// Records of a daemon that owns nothing, and this many VMs.
    fn start(vms: usize) -> Self {
        Self::start_with(vms, CALL)
    }

    /// The same on a store that takes this time for a call.
    fn start_with(vms: usize, call: Duration) -> Self {
        tokio::time::pause();
        let clock: Arc<dyn Clock> = Arc::new(VirtualClock { start: Instant::now() });
        let table = Arc::new(Troubled::new(TxnTable::new()));
        let no_plan: Arc<AtomicBool> = Arc::default();
        let store = FakeStore { table: table.clone(), clock: clock.clone() };
        let store = SlowStore { store, call, no_plan: no_plan.clone() };
        let (told, claims): (Told, Claims) = Default::default();
        let listener = Listener {
            name: "one",
            clock: clock.clone(),
            told: told.clone(),
            claims: claims.clone(),
        };
        let records = listener.with_records(store.clone());
        let mut seen = Self { clock, table, records, told, claims, store, no_plan, seq: 0 };
        (0..vms).for_each(|number| seen.announce(number, "ready"));
        seen
    }

    fn announce(&mut self, number: usize, state: &str) {
        self.seq += 1;
        let put = Put {
            key: vm_key(number),
            value: Bytes::from(format!("{state} {}", self.seq)),
            lease: None,
        };
        let txn = Txn { puts: vec![put], ..Txn::default() };
        self.table.table().commit(&txn).expect("the table takes it");
    }

    /// Records of another daemon.
    fn join(&self, name: &'static str) -> Addr<Records<StorePlatform>> {
        let (clock, claims) = (self.clock.clone(), self.claims.clone());
        let listener = Listener { name, clock, told: Rc::default(), claims };
        listener.with_records(self.store.clone())
    }

    /// Lets time pass in which each of `vms` VMs announces itself every 1.5 s.
    async fn run(&mut self, vms: usize, time: Duration) {
        let gap = Duration::from_millis(1500) / u32::try_from(vms).expect("a few hundred VMs");
        let until = self.clock.now() + time;
        let mut next = 0;
        while self.clock.now() < until {
            self.announce(next % vms, "ready");
            next += 1;
            tokio::time::sleep(gap).await;
        }
    }

    async fn claim(&self, shard: &str) {
        let claim = claim_of(shard);
        self.records.send(claim).await.expect("the duty runs");
    }

    /// Whether the last list that was told of names the VM as leaving.
    fn knows_leaving(&self, number: usize) -> bool {
        let told = self.told.borrow();
        told.last().is_some_and(|list| list.leaving.contains(&vm_key(number)))
    }

    /// Longest time for which a list was the newest that was told of, from when it was asked for.
    fn oldest_list(&self) -> Duration {
        let told = self.told.borrow();
        let ages = told
            .windows(2)
            .map(|lists| lists[1].at.saturating_sub(lists[0].asked.unwrap_or_default()));
        ages.max().unwrap_or_default()
    }

    /// Time of the last list.
    fn last_told(&self) -> Duration {
        self.told.borrow().last().map_or(Duration::ZERO, |list| list.at)
    }
}

fn vm_key(number: usize) -> String {
    format!("vm/{number:04}")
}

/// A claim of a shard that is known to have had no owner.
fn claim_of(shard: &str) -> Claim {
    let (previous, replaces) = (Previous::Ended, Replaced::default());
    Claim { shard: shard.to_owned(), previous, replaces }
}

fn member(name: &str) -> Member {
    Member {
        id: DaemonId::new(&format!("{name}@1")),
        name: name.to_owned(),
        domain: DomainId::new("kacyiru"),
        addr: "127.0.0.1:1".to_owned(),
        stage: MemberStage::Serving,
        power: 500,
    }
}

// Tasks are started on VMs that said seconds before that they leave, and lasting tasks stand still for
// ten seconds after their VM went: their owner heard of neither. As daemons start, this one claims two
// shards, gives the first away and owns the second a moment later. Word that it owned no more, said
// before the second claim was known, left it reading the VMs every 3 s like a daemon that owns nothing.
// That it did so was told by the pauses that it logged between two readings.
#[actix_rt::test]
async fn an_owner_that_gave_another_shard_away_hears_of_vms_in_time() {
    let mut seen = Seen::start(30);
    seen.run(30, Duration::from_secs(1)).await;
    seen.claim("kacyiru.0").await;
    seen.run(30, Duration::from_millis(100)).await;
    seen.claim("kacyiru.1").await;
    let forget = Forget { shard: "kacyiru.0".to_owned() };
    seen.records.send(forget).await.expect("the duty runs");
    seen.run(30, Duration::from_secs(10)).await;
    for number in 0..5 {
        seen.announce(number, "leaving");
        tokio::time::sleep(HEARD_WITHIN).await;
        assert!(seen.knows_leaving(number), "VM {number} left, and its owner knows nothing");
    }
}

// The same symptom on deployments of hundreds of VMs. More changes come between two readings than an
// answer of the store holds: what was left over was read the next time, by then more was left over, and
// the list that decides what is started where grew older and older, though it was read a moment ago.
// That answers are cut was told by their changes, 500 each, and by the revision that they end at.
#[actix_rt::test]
async fn an_owner_reads_on_until_nothing_is_left_unread() {
    let mut seen = Seen::start(2 * ANSWER_CHANGES);
    seen.claim("kacyiru.0").await;
    seen.run(30, Duration::from_secs(2)).await;
    for _ in 0..5 {
        (0..2 * ANSWER_CHANGES).for_each(|number| seen.announce(number, "ready"));
    }
    seen.announce(7, "leaving");
    tokio::time::sleep(HEARD_WITHIN).await;
    assert!(seen.knows_leaving(7), "five answers' worth of changes came before it");
}

// A daemon that owned nothing is given a shard. It has read the VMs now and then, and never all that was
// new, so that its next answer was old as well, up to the 20 s that the store keeps; what it is told
// first as an owner must be as things are.
#[actix_rt::test]
async fn a_new_owner_is_told_of_the_vms_as_they_are() {
    let mut seen = Seen::start(400);
    seen.run(400, Duration::from_secs(15)).await;
    seen.announce(3, "leaving");
    tokio::time::sleep(CALL).await;
    let before = seen.last_told();
    seen.claim("kacyiru.0").await;
    while seen.last_told() == before {
        tokio::time::sleep(CALL).await;
    }
    assert!(seen.knows_leaving(3), "it said that it leaves before the shard was claimed");
}

/// Age of the list up to which a shard's owner places and starts work by it.
const MAX_LIST_AGE: Duration = Duration::from_millis(1300);

/// Time that the store takes for a call while it is slow: 90 times the usual.
const SLOW_CALL: Duration = Duration::from_millis(360);

// Nothing is placed for half of the time while the store is slow and VMs are replaced: as soon as a list
// names a new VM, the plan is read before anybody is told of the list, and so the one that owners have is
// older than they may go by.
#[actix_rt::test]
async fn an_owners_list_stays_recent_while_the_store_is_slow_and_vms_come() {
    let mut seen = Seen::start_with(30, SLOW_CALL);
    seen.claim("kacyiru.0").await;
    seen.run(30, Duration::from_secs(4)).await;
    seen.told.borrow_mut().clear();
    for number in 30..40 {
        seen.announce(number, "ready");
        seen.run(30, Duration::from_millis(1000)).await;
    }
    let oldest = seen.oldest_list();
    assert!(oldest <= MAX_LIST_AGE, "{oldest:?}");
}

// Nothing at all is placed, though the list of VMs is read several times a second: a VM has come, and the
// store turns away what concerns the plan. The list that was read is thrown away with the failed call.
#[actix_rt::test]
async fn a_list_that_was_read_is_told_of_though_the_plan_is_not_read() {
    let mut seen = Seen::start(30);
    seen.claim("kacyiru.0").await;
    seen.run(30, Duration::from_secs(2)).await;
    seen.no_plan.store(true, Ordering::Relaxed);
    seen.announce(30, "ready");
    seen.run(30, Duration::from_secs(1)).await;
    seen.announce(7, "leaving");
    tokio::time::sleep(HEARD_WITHIN).await;
    assert!(seen.knows_leaving(7), "its announcement was read and not passed on");
}

// Jobs are refused since a shard changes hands twice within a moment. Two daemons find it without an owner and
// decide to claim it; the second one's claim starts as the first one's has just taken effect, before there is
// any word of it. It read the new owner from the store and replaced it, though it had decided to replace
// nobody, rather than fail.
#[actix_rt::test]
async fn a_claim_replaces_nobody_but_the_owner_that_it_was_decided_against() {
    let seen = Seen::start(1);
    let other = seen.join("two");
    tokio::time::sleep(Duration::from_secs(1)).await;
    let claim = || claim_of("kacyiru.0");
    seen.records.send(claim()).await.expect("the duty runs");
    tokio::time::sleep(3 * CALL).await;
    other.send(claim()).await.expect("the duty runs");
    tokio::time::sleep(Duration::from_secs(1)).await;
    let mut claims = seen.claims.borrow().clone();
    claims.sort_unstable();
    assert_eq!(claims, [("one", true), ("two", false)]);
}
