//! The duty of records on a store that takes time, with a listener in control's place; time is virtual.

use actix::prelude::*;
use bytes::Bytes;
use std::cell::{Cell, RefCell};
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
use waxwingstall::jobs::records::{Claim, Records};
use waxwingstall::jobs::{Platform, Unreadable, Written};
use waxwingstall::kv::{
    self, Change, Changes, Freshness, Item, Kv, LeaseId, Page, Put, Rev, Txn, Watch,
};
use waxwingstall::permit::{self, PermitPort, PermitReq, PermitResp};
use waxwingstall::queues::Queues;
use waxwingstall::shard::{Announcements, Previous};
use waxwingstall::units::Resources;
use waxwingstall::upkeep::{self, Machine, MachinePort, UpkeepReq, WaveState};
use waxwingstall::vm::{
    self, LookReq, LookResp, PaceReq, RunReq, StartReq, VmAddr, VmEntry, VmPort, VmState, VmTime,
};
use waxwingstall_standin::fakes::FakeStore;
use waxwingstall_standin::troubled::Troubled;
use waxwingstall_standin::txns::TxnTable;

/// Time that the store takes for a call.
pub const CALL: Duration = Duration::from_millis(4);

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
pub struct SlowStore {
    store: FakeStore,
    /// Time that it takes for a call.
    call: Duration,
    /// Bytes of its answers that come in in a second, if that is bounded.
    link: Option<u32>,
    /// Whether it turns away calls about the plan.
    no_plan: Arc<AtomicBool>,
}

impl SlowStore {
    /// Lets values come in.
    async fn carry(&self, bytes: usize) {
        if let Some(link) = self.link {
            tokio::time::sleep(Duration::from_secs_f64(wire(bytes) as f64 / f64::from(link))).await;
        }
    }

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
        let page = self.store.range(prefix, after, of).await?;
        self.carry(page.items.iter().map(|item| item.value.len()).sum()).await;
        Ok(page)
    }

    async fn watch(&self, watch: &Watch) -> kv::Result<Changes> {
        tokio::time::sleep(self.call).await;
        let until = Instant::now() + watch.wait;
        loop {
            let changes = self.store.watch(watch).await?;
            if !changes.changes.is_empty() || Instant::now() >= until {
                let size = changes.changes.iter().map(size).sum();
                if wire(size) > watch.most_bytes {
                    return Err(kv::Error::TooLarge { reason: format!("{size} bytes") });
                }
                self.carry(size).await;
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

/// Size of values as they are sent, in base64.
fn wire(bytes: usize) -> usize {
    bytes.div_ceil(3) * 4
}

fn size(change: &Change) -> usize {
    match change {
        Change::Put(item) => item.value.len(),
        Change::Deleted { .. } => 0,
    }
}

/// VMs, permits and machines: these tests call none.
#[derive(Clone)]
pub struct Nobody;

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
pub struct StorePlatform(SlowStore);

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

    fn read_operators(&self, item: &Item) -> Result<Written, Unreadable> {
        let text = str::from_utf8(&item.value).unwrap_or_default();
        let version = text
            .trim()
            .parse()
            .map_err(|_| Unreadable { key: item.key.clone(), reason: "no version".to_owned() })?;
        Ok(Written::Queues(Queues { version, ..Queues::default() }))
    }

    fn wave_state(&self, wave: u64, _: WaveState) -> Put {
        Put { key: format!("status/{wave}"), value: Bytes::new(), lease: None }
    }
}

/// Lists as they were told of.
type Told = Rc<RefCell<Vec<ToldList>>>;

/// Claims as they ended, by the daemon's name and whether it became the owner.
type Claims = Rc<RefCell<Vec<(&'static str, bool)>>>;

pub struct ToldList {
    pub at: Duration,
    /// When it was asked for, as was said.
    pub asked: Option<Duration>,
    pub leaving: Vec<String>,
}

/// The configuration as it was told of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ToldConfig {
    pub version: u64,
    /// Until when it is said to have been the newest.
    pub confirmed: Duration,
}

/// Takes control's place.
struct Listener {
    name: &'static str,
    clock: Arc<dyn Clock>,
    told: Told,
    claims: Claims,
    config: Rc<Cell<ToldConfig>>,
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
            Stored::Queues(read) => {
                let version = read.queues.version;
                self.config.set(ToldConfig { version, ..self.config.get() });
            }
            Stored::ConfigConfirmed { at } => {
                self.config.set(ToldConfig { confirmed: *at, ..self.config.get() });
            }
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
pub struct Seen {
    pub clock: Arc<dyn Clock>,
    pub table: Arc<Troubled<TxnTable>>,
    pub records: Addr<Records<StorePlatform>>,
    pub told: Told,
    pub claims: Claims,
    pub config: Rc<Cell<ToldConfig>>,
    pub store: SlowStore,
    pub no_plan: Arc<AtomicBool>,
    pub seq: u64,
}

impl Seen {
    /// Records of a daemon that owns nothing, and this many VMs.
    pub fn start(vms: usize) -> Self {
        Self::start_with(vms, CALL)
    }

    /// The same on a store that takes this time for a call.
    pub fn start_with(vms: usize, call: Duration) -> Self {
        Self::start_over(vms, call, None)
    }

    /// The same over a link that carries so many bytes a second.
    pub fn start_over(vms: usize, call: Duration, link: Option<u32>) -> Self {
        tokio::time::pause();
        let clock: Arc<dyn Clock> = Arc::new(VirtualClock { start: Instant::now() });
        let table = Arc::new(Troubled::new(TxnTable::new()));
        let no_plan: Arc<AtomicBool> = Arc::default();
        let store = FakeStore { table: table.clone(), clock: clock.clone() };
        let store = SlowStore { store, call, link, no_plan: no_plan.clone() };
        let (told, claims): (Told, Claims) = Default::default();
        let config: Rc<Cell<ToldConfig>> = Rc::default();
        let listener = Listener {
            name: "one",
            clock: clock.clone(),
            told: told.clone(),
            claims: claims.clone(),
            config: config.clone(),
        };
        let records = listener.with_records(store.clone());
        let mut seen = Self { clock, table, records, told, claims, config, store, no_plan, seq: 0 };
        (0..vms).for_each(|number| seen.announce(number, "ready"));
        seen
    }

    /// Writes a version of the configuration of so many bytes.
    pub fn configure(&self, version: u64, bytes: usize) {
        let mut text = version.to_string();
        text.extend(std::iter::repeat_n(' ', bytes.saturating_sub(text.len())));
        self.write_config(text);
    }

    /// Writes a configuration that no daemon can read.
    pub fn configure_unreadable(&self) {
        self.write_config("no version".to_owned());
    }

    fn write_config(&self, text: String) {
        let value = Bytes::from(text);
        let put = Put { key: "op/config".to_owned(), value, lease: None };
        let txn = Txn { puts: vec![put], ..Txn::default() };
        self.table.table().commit(&txn).expect("the table takes it");
    }

    pub fn announce(&mut self, number: usize, state: &str) {
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
    pub fn join(&self, name: &'static str) -> Addr<Records<StorePlatform>> {
        let (clock, claims) = (self.clock.clone(), self.claims.clone());
        let (told, config) = Default::default();
        let listener = Listener { name, clock, told, claims, config };
        listener.with_records(self.store.clone())
    }

    /// Lets time pass in which each of `vms` VMs announces itself every 1.5 s.
    pub async fn run(&mut self, vms: usize, time: Duration) {
        let gap = Duration::from_millis(1500) / u32::try_from(vms).expect("a few hundred VMs");
        let until = self.clock.now() + time;
        let mut next = 0;
        while self.clock.now() < until {
            self.announce(next % vms, "ready");
            next += 1;
            tokio::time::sleep(gap).await;
        }
    }

    pub async fn claim(&self, shard: &str) {
        let claim = claim_of(shard);
        self.records.send(claim).await.expect("the duty runs");
    }

    /// Whether the last list that was told of names the VM as leaving.
    pub fn knows_leaving(&self, number: usize) -> bool {
        let told = self.told.borrow();
        told.last().is_some_and(|list| list.leaving.contains(&vm_key(number)))
    }

    /// Longest time for which a list was the newest that was told of, from when it was asked for.
    pub fn oldest_list(&self) -> Duration {
        let told = self.told.borrow();
        let ages = told
            .windows(2)
            .map(|lists| lists[1].at.saturating_sub(lists[0].asked.unwrap_or_default()));
        ages.max().unwrap_or_default()
    }

    /// Time of the last list.
    pub fn last_told(&self) -> Duration {
        self.told.borrow().last().map_or(Duration::ZERO, |list| list.at)
    }
}

pub fn vm_key(number: usize) -> String {
    format!("vm/{number:04}")
}

/// A claim of a shard that is known to have had no owner.
pub fn claim_of(shard: &str) -> Claim {
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
