//! Test harness: the records actor with a store that has latency, and a fake control; time is
//! virtual.

use actix::prelude::*;
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};
use tokio::time::Instant;
use waxwingstall::clock::Clock;
use waxwingstall::cluster::plan::PLAN_KEY;
use waxwingstall::cluster::{ExpectedOwner, Member, MemberStage};
use waxwingstall::evacuation::Evacuations;
use waxwingstall::ids::{DaemonId, DomainId, RackId, ServiceName, VmId};
use waxwingstall::job::progress::{BoundVm, Progress};
use waxwingstall::job::{JobId, JobState};
use waxwingstall::jobs::control::StoreEvent;
use waxwingstall::jobs::records::{ClaimShard, Records};
use waxwingstall::jobs::{OperatorEntry, Platform, UnreadableEntry};
use waxwingstall::kv::{
    self, Change, Changes, Freshness, HasMore, Item, KvStore, LeaseId, Page, Put, Rev, Txn, Watch,
};
use waxwingstall::note::Note;
use waxwingstall::permit::{self, PermitApi, PermitReq, PermitResp};
use waxwingstall::queues::Queues;
use waxwingstall::shard::{FleetListStatus, Keys, PreviousOwner};
use waxwingstall::units::Resources;
use waxwingstall::upkeep::{self, Machine, MachineApi, UpkeepReq, WaveState};
use waxwingstall::vm::{
    self, PaceReq, PollReq, PollResp, RunReq, StartReq, VmAddr, VmApi, VmEntry, VmState, VmTime,
};
use waxwingstall_standin::fakes::FakeStore;
use waxwingstall_standin::troubled::Troubled;
use waxwingstall_standin::txns::TxnTable;

/// Key prefix of the VMs.
const VM_PREFIX: &str = "vm/";

/// Time that a leaving VM stays, unless it announces another one.
pub const NOTICE: Duration = Duration::from_secs(3);

/// Time between two announcements of a VM.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1500);

/// How long owners extend leases in full after their last proof of ownership.
pub const STALE_EXTENSION: Duration = Duration::from_secs(2);

/// Latency of a store call.
pub const LATENCY: Duration = Duration::from_millis(4);

/// Clock that follows the runtime's paused time.
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

/// A store with latency and, optionally, limited bandwidth.
#[derive(Clone)]
pub struct SlowStore {
    store: FakeStore,
    /// Latency of a call.
    latency: Duration,
    /// Bandwidth of its answers, if limited.
    bytes_per_second: Option<u32>,
    /// Whether it refuses calls for the plan.
    refuse_plan: Arc<AtomicBool>,
    /// Whether it refuses calls for what shards have learned.
    refuse_learned: Arc<AtomicBool>,
    faults: Arc<StoreFaults>,
    clock: Arc<dyn Clock>,
}

/// Faults of the store that last until they are ended.
#[derive(Default)]
pub struct StoreFaults {
    /// Whether every call is refused.
    is_down: AtomicBool,
    /// Time by which watches are behind, in milliseconds.
    watch_delay_ms: AtomicU64,
    /// Whether watches end without waiting.
    cut_watches: AtomicBool,
    /// Maximum number of items of a page; zero for the table's own.
    page_items: AtomicUsize,
    /// Number of watches of single VMs.
    look_ups: AtomicUsize,
    /// Whether watches of single VMs are refused.
    refuse_look_ups: AtomicBool,
    /// Answer to stale reads of the VMs, in place of the current one.
    stale_vms: Mutex<Option<Page>>,
    /// Revisions of the store over time.
    revisions: Mutex<Vec<(Duration, Rev)>>,
}

impl SlowStore {
    /// Fails if the store is down.
    fn check_up(&self) -> kv::Result<()> {
        if self.faults.is_down.load(Ordering::Relaxed) {
            return Err(kv::Error::Refused { reason: "down".to_owned() });
        }
        Ok(())
    }

    /// Counts watches of single VMs, and fails if they are refused.
    fn check_look_up(&self, watch: &Watch) -> kv::Result<()> {
        if !watch.prefix.starts_with(VM_PREFIX) || watch.prefix == VM_PREFIX {
            return Ok(());
        }
        self.faults.look_ups.fetch_add(1, Ordering::Relaxed);
        if self.faults.refuse_look_ups.load(Ordering::Relaxed) {
            return Err(kv::Error::Refused { reason: "too many calls".to_owned() });
        }
        Ok(())
    }

    /// Leaves what doesn't fit into a page to the next one.
    fn limit_page(&self, mut page: Page) -> Page {
        let limit = self.faults.page_items.load(Ordering::Relaxed);
        if limit > 0 && page.items.len() > limit {
            page.items.truncate(limit);
            page.more = HasMore::Yes;
        }
        page
    }

    /// Withholds from an answer what is too recent for a delayed watch.
    fn delay(&self, watch: &Watch, changes: Changes) -> Changes {
        let delay = Duration::from_millis(self.faults.watch_delay_ms.load(Ordering::Relaxed));
        let mut revisions = self.faults.revisions.lock().expect("no test has failed with it");
        let now = self.clock.now();
        revisions.push((now, self.store.table.table().revision()));
        if delay.is_zero() {
            return changes;
        }
        let visible = revisions.iter().rev().find(|(at, _)| *at + delay <= now);
        let newest = visible.map_or(Rev::ABSENT, |(_, rev)| *rev).max(watch.after);
        let is_visible = |change: &Change| match change {
            Change::Put(item) => item.rev <= newest,
            Change::Deleted { rev, .. } => *rev <= newest,
        };
        let at = changes.at.min(newest);
        Changes { changes: changes.changes.into_iter().filter(is_visible).collect(), at }
    }

    /// Waits for the transfer of values.
    async fn transfer(&self, bytes: usize) {
        if let Some(bytes_per_second) = self.bytes_per_second {
            tokio::time::sleep(Duration::from_secs_f64(
                base64_len(bytes) as f64 / f64::from(bytes_per_second),
            ))
            .await;
        }
    }

    fn check_allowed(&self, key: &str) -> kv::Result<()> {
        let refuses = |flag: &AtomicBool| flag.load(Ordering::Relaxed);
        if key == PLAN_KEY && refuses(&self.refuse_plan)
            || key.starts_with("learned/") && refuses(&self.refuse_learned)
        {
            return Err(kv::Error::Refused { reason: "too many calls".to_owned() });
        }
        Ok(())
    }
}

impl KvStore for SlowStore {
    async fn get(&self, key: &str) -> kv::Result<Option<Item>> {
        tokio::time::sleep(self.latency).await;
        self.check_up()?;
        self.check_allowed(key)?;
        self.store.get(key).await
    }

    async fn range(&self, prefix: &str, after: Option<&str>, of: Freshness) -> kv::Result<Page> {
        tokio::time::sleep(self.latency).await;
        self.check_up()?;
        let stale = self.faults.stale_vms.lock().expect("no test has failed with it").clone();
        if let Some(page) = stale.filter(|_| of == Freshness::Stale && prefix == VM_PREFIX) {
            return Ok(page);
        }
        let page = self.limit_page(self.store.range(prefix, after, of).await?);
        self.transfer(page.items.iter().map(|item| item.value.len()).sum()).await;
        Ok(page)
    }

    async fn watch(&self, watch: &Watch) -> kv::Result<Changes> {
        tokio::time::sleep(self.latency).await;
        self.check_look_up(watch)?;
        let until = Instant::now() + watch.wait;
        loop {
            self.check_up()?;
            let changes = self.delay(watch, self.store.watch(watch).await?);
            let is_cut = self.faults.cut_watches.load(Ordering::Relaxed);
            if !changes.changes.is_empty() || is_cut || Instant::now() >= until {
                let value_len = changes.changes.iter().map(value_len).sum();
                if base64_len(value_len) > watch.max_bytes {
                    return Err(kv::Error::TooLarge { reason: format!("{value_len} bytes") });
                }
                self.transfer(value_len).await;
                return Ok(changes);
            }
            tokio::time::sleep(self.latency).await;
        }
    }

    async fn commit(&self, txn: &Txn) -> kv::Result<Rev> {
        tokio::time::sleep(self.latency).await;
        self.check_up()?;
        self.store.commit(txn).await
    }

    async fn grant_lease(&self, ttl: Duration) -> kv::Result<LeaseId> {
        tokio::time::sleep(self.latency).await;
        self.check_up()?;
        self.store.grant_lease(ttl).await
    }

    async fn renew_lease(&self, lease: LeaseId) -> kv::Result<()> {
        tokio::time::sleep(self.latency).await;
        self.check_up()?;
        self.store.renew_lease(lease).await
    }

    async fn end_lease(&self, lease: LeaseId) -> kv::Result<()> {
        tokio::time::sleep(self.latency).await;
        self.check_up()?;
        self.store.end_lease(lease).await
    }
}

/// Size of values in base64, as they are sent.
fn base64_len(bytes: usize) -> usize {
    bytes.div_ceil(3) * 4
}

fn value_len(change: &Change) -> usize {
    match change {
        Change::Put(item) => item.value.len(),
        Change::Deleted { .. } => 0,
    }
}

/// Client for VMs, permits and machines, whose calls all fail; these tests make none.
#[derive(Clone)]
pub struct UnreachableService;

impl VmApi for UnreachableService {
    async fn poll(&self, _: &VmAddr, _: PollReq) -> vm::Result<PollResp> {
        Err(vm::Error::NotSent { reason: "no service in this test".to_owned() })
    }

    async fn start(&self, _: &VmAddr, _: StartReq) -> vm::Result<VmTime> {
        Err(vm::Error::NotSent { reason: "no service in this test".to_owned() })
    }

    async fn stop(&self, _: &VmAddr, _: RunReq) -> vm::Result<VmTime> {
        Err(vm::Error::NotSent { reason: "no service in this test".to_owned() })
    }

    async fn set_pace(&self, _: &VmAddr, _: PaceReq) -> vm::Result<VmTime> {
        Err(vm::Error::NotSent { reason: "no service in this test".to_owned() })
    }
}

impl PermitApi for UnreachableService {
    async fn request_permits(&self, _: &PermitReq) -> permit::Result<PermitResp> {
        Err(permit::Error::NotSent { reason: "no service in this test".to_owned() })
    }
}

impl MachineApi for UnreachableService {
    async fn list(&self) -> upkeep::Result<Vec<Machine>> {
        Err(upkeep::Error::NotSent { reason: "no service in this test".to_owned() })
    }

    async fn start_upkeep(&self, _: &UpkeepReq) -> upkeep::Result<()> {
        Err(upkeep::Error::NotSent { reason: "no service in this test".to_owned() })
    }
}

/// A platform on which only the store can be reached.
#[derive(Clone)]
pub struct TestPlatform(SlowStore);

impl Platform for TestPlatform {
    type Store = SlowStore;
    type Vms = UnreachableService;
    type Permits = UnreachableService;
    type Machines = UnreachableService;

    fn store(&self) -> SlowStore {
        self.0.clone()
    }

    fn vms(&self) -> UnreachableService {
        UnreachableService
    }

    fn permits(&self) -> UnreachableService {
        UnreachableService
    }

    fn machines(&self) -> UnreachableService {
        UnreachableService
    }

    fn vm_prefix(&self) -> &str {
        VM_PREFIX
    }

    /// Decodes `ready` or `leaving`, followed by the time left in `left=MS` and the start time in
    /// `start=N` where these are given.
    fn parse_vm_entry(&self, item: &Item) -> Result<VmEntry, UnreadableEntry> {
        let text = str::from_utf8(&item.value).unwrap_or_default();
        let number = |name: &str| {
            let mut words = text.split_whitespace();
            words.find_map(|word| word.strip_prefix(name)?.parse::<u64>().ok())
        };
        let left = number("left=").map_or(NOTICE, Duration::from_millis);
        let leaves = text.starts_with("leaving");
        let state = if leaves { VmState::Leaving { left: Some(left) } } else { VmState::Ready };
        let registered = item.key.strip_prefix(VM_PREFIX).unwrap_or(&item.key);
        let started = number("start=");
        Ok(VmEntry {
            id: started.map_or(VmId::new(registered), |at| VmId::with_start(registered, at)),
            service: ServiceName::new("shop"),
            domain: DomainId::new("kacyiru"),
            rack: RackId::new("r0"),
            labels: Vec::new(),
            size: Resources::new(32_000, 128_000, 0),
            state,
            addr: Arc::from("10.1.0.1:80"),
            announced: item.rev,
            announced_after: None,
        })
    }

    fn operator_prefix(&self) -> &str {
        "op/"
    }

    fn config_key(&self) -> &str {
        "op/config"
    }

    fn evacuated_domain(&self, key: &str) -> Option<DomainId> {
        key.strip_prefix("op/evacuate/").map(DomainId::new)
    }

    fn parse_operator_entry(&self, item: &Item) -> Result<OperatorEntry, UnreadableEntry> {
        if let Some(domain) = self.evacuated_domain(&item.key) {
            return Ok(OperatorEntry::Evacuation(domain));
        }
        let text = str::from_utf8(&item.value).unwrap_or_default();
        let version = text.trim().parse().map_err(|_| UnreadableEntry {
            key: item.key.clone(),
            reason: "no version".to_owned(),
        })?;
        Ok(OperatorEntry::Config(Queues { version, ..Queues::default() }))
    }

    fn wave_status(&self, wave: u64, _: WaveState) -> Put {
        Put { key: format!("status/{wave}"), value: Bytes::new(), lease: None }
    }
}

/// Fleet updates received by control.
type FleetUpdates = Rc<RefCell<Vec<FleetUpdate>>>;

/// Finished claims: the daemon's name, and whether it became the owner.
type Claims = Rc<RefCell<Vec<(&'static str, bool)>>>;

/// VMs that control was told to have left, and when it was told.
pub type Departures = Rc<RefCell<Vec<(String, Duration)>>>;

pub struct FleetUpdate {
    pub at: Duration,
    pub vms: Vec<VmEntry>,
    /// When the list was requested, as reported.
    pub asked: Option<Duration>,
    pub leaving: Vec<String>,
}

/// Last configuration received by control.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigUpdate {
    pub version: u64,
    /// Time up to which it is confirmed as the newest.
    pub confirmed: Duration,
}

/// Stands in for control, and records its messages.
struct FakeControl {
    name: &'static str,
    clock: Arc<dyn Clock>,
    updates: FleetUpdates,
    claims: Claims,
    config: Rc<Cell<ConfigUpdate>>,
    evacuations: Rc<RefCell<(Evacuations, Duration)>>,
    departures: Departures,
    notes: Rc<RefCell<Vec<Note>>>,
}

impl Actor for FakeControl {
    type Context = Context<Self>;
}

impl FakeControl {
    /// Starts a records actor that reports to this control.
    fn start_records(self, store: SlowStore) -> Addr<Records<TestPlatform>> {
        let (me, clock) = (member(self.name), self.clock.clone());
        let (platform, ttl) = (TestPlatform(store), Duration::from_secs(4));
        let (stale, control) = (STALE_EXTENSION, self.start().recipient());
        Records::new(me, platform, ttl, ANNOUNCE_INTERVAL, stale, control, clock).start()
    }
}

impl Handler<StoreEvent> for FakeControl {
    type Result = ();

    fn handle(&mut self, msg: StoreEvent, _: &mut Self::Context) {
        match &msg {
            StoreEvent::Claimed(_) => self.claims.borrow_mut().push((self.name, true)),
            StoreEvent::ClaimFailed { .. } => self.claims.borrow_mut().push((self.name, false)),
            StoreEvent::Config(loaded) => {
                let version = loaded.queues.version;
                self.config.set(ConfigUpdate { version, ..self.config.get() });
            }
            StoreEvent::ConfigConfirmed { at } => {
                self.config.set(ConfigUpdate { confirmed: *at, ..self.config.get() });
            }
            StoreEvent::Evacuations { evacuations, at } => {
                *self.evacuations.borrow_mut() = (evacuations.clone(), *at);
            }
            StoreEvent::Departed(departures) => {
                let now = self.clock.now();
                let vms = departures.iter().map(|departure| (departure.vm.to_string(), now));
                self.departures.borrow_mut().extend(vms);
            }
            StoreEvent::Note(note) => self.notes.borrow_mut().push(note.clone()),
            _ => {}
        }
        let StoreEvent::Fleet { vms, list_status, at: asked } = msg else { return };
        if list_status == FleetListStatus::Unread {
            return;
        }
        let leaves = |vm: &&VmEntry| matches!(vm.state, VmState::Leaving { .. });
        let leaving = vms.iter().filter(leaves).map(|vm| vm.id.to_string()).collect();
        let at = self.clock.now();
        self.updates.borrow_mut().push(FleetUpdate { at, vms, asked, leaving });
    }
}

/// A records actor with its store, and the messages that it sent.
pub struct Harness {
    pub clock: Arc<dyn Clock>,
    pub table: Arc<Troubled<TxnTable>>,
    pub records: Addr<Records<TestPlatform>>,
    pub updates: FleetUpdates,
    pub claims: Claims,
    pub config: Rc<Cell<ConfigUpdate>>,
    /// Evacuations last received by control, and when they were read.
    pub evacuations: Rc<RefCell<(Evacuations, Duration)>>,
    pub departures: Departures,
    pub notes: Rc<RefCell<Vec<Note>>>,
    pub store: SlowStore,
    pub refuse_plan: Arc<AtomicBool>,
    pub seq: u64,
}

impl Harness {
    /// Starts a daemon that owns nothing, with this many VMs.
    pub fn start(vms: usize) -> Self {
        Self::start_with_latency(vms, LATENCY)
    }

    /// Same, with this store latency.
    pub fn start_with_latency(vms: usize, latency: Duration) -> Self {
        Self::start_with_link(vms, latency, None)
    }

    /// Same, with limited bandwidth in bytes per second.
    pub fn start_with_link(vms: usize, latency: Duration, bytes_per_second: Option<u32>) -> Self {
        tokio::time::pause();
        let clock: Arc<dyn Clock> = Arc::new(VirtualClock { start: Instant::now() });
        let table = Arc::new(Troubled::new(TxnTable::new()));
        let refuse_plan: Arc<AtomicBool> = Arc::default();
        let store = FakeStore { table: table.clone(), clock: clock.clone() };
        let store = SlowStore {
            store,
            latency,
            bytes_per_second,
            refuse_plan: refuse_plan.clone(),
            refuse_learned: Arc::default(),
            faults: Arc::default(),
            clock: clock.clone(),
        };
        let (updates, claims): (FleetUpdates, Claims) = Default::default();
        let config: Rc<Cell<ConfigUpdate>> = Rc::default();
        let evacuations: Rc<RefCell<(Evacuations, Duration)>> = Rc::default();
        let (departures, notes): (Departures, Rc<RefCell<Vec<Note>>>) = Default::default();
        let control = FakeControl {
            name: "one",
            clock: clock.clone(),
            updates: updates.clone(),
            claims: claims.clone(),
            config: config.clone(),
            evacuations: evacuations.clone(),
            departures: departures.clone(),
            notes: notes.clone(),
        };
        let records = control.start_records(store.clone());
        let mut harness = Self {
            clock,
            table,
            records,
            updates,
            claims,
            config,
            evacuations,
            departures,
            notes,
            store,
            refuse_plan,
            seq: 0,
        };
        (0..vms).for_each(|number| harness.announce(number, "ready"));
        harness
    }

    /// Writes a version of the configuration of this many bytes.
    pub fn configure(&self, version: u64, bytes: usize) {
        let mut text = version.to_string();
        text.extend(std::iter::repeat_n(' ', bytes.saturating_sub(text.len())));
        self.write_config(text);
    }

    /// Writes a configuration that can't be decoded.
    pub fn configure_unreadable(&self) {
        self.write_config("no version".to_owned());
    }

    fn write_config(&self, text: String) {
        let value = Bytes::from(text);
        let put = Put { key: "op/config".to_owned(), value, lease: None };
        let txn = Txn { puts: vec![put], ..Txn::default() };
        self.table.table().commit(&txn).expect("the commit succeeds");
    }

    /// Writes an order to evacuate a failure domain.
    pub fn evacuate(&self, domain: &str) {
        let put =
            Put { key: format!("op/evacuate/{domain}"), value: Bytes::from("{}"), lease: None };
        let txn = Txn { puts: vec![put], ..Txn::default() };
        self.table.table().commit(&txn).expect("the commit succeeds");
    }

    /// Deletes the order to evacuate a failure domain.
    pub fn withdraw_evacuation(&self, domain: &str) {
        let txn = Txn { deletes: vec![format!("op/evacuate/{domain}")], ..Txn::default() };
        self.table.table().commit(&txn).expect("the commit succeeds");
    }

    /// Whether control knows of an order to evacuate a failure domain.
    pub fn is_evacuated(&self, domain: &str) -> bool {
        self.evacuations.borrow().0.contains(&DomainId::new(domain))
    }

    pub fn announce(&mut self, number: usize, state: &str) {
        self.seq += 1;
        let put = Put {
            key: vm_key(number),
            value: Bytes::from(format!("{state} {}", self.seq)),
            lease: None,
        };
        let txn = Txn { puts: vec![put], ..Txn::default() };
        self.table.table().commit(&txn).expect("the commit succeeds");
    }

    /// Removes a VM's announcement.
    pub fn remove_announcement(&mut self, number: usize) {
        let txn = Txn { deletes: vec![vm_key(number)], ..Txn::default() };
        self.table.table().commit(&txn).expect("the commit succeeds");
    }

    /// Starts or ends an outage of the store.
    pub fn set_down(&self, is_down: bool) {
        self.store.faults.is_down.store(is_down, Ordering::Relaxed);
    }

    /// Lets watches tell of changes this much later.
    pub fn delay_watches(&self, delay: Duration) {
        let delay_ms = u64::try_from(delay.as_millis()).expect("a short delay");
        self.store.faults.watch_delay_ms.store(delay_ms, Ordering::Relaxed);
    }

    /// Ends watches without waiting for changes from now on.
    pub fn cut_watches(&self) {
        self.store.faults.cut_watches.store(true, Ordering::Relaxed);
    }

    /// Refuses watches of single VMs from now on.
    pub fn refuse_look_ups(&self) {
        self.store.faults.refuse_look_ups.store(true, Ordering::Relaxed);
    }

    /// Number of watches of single VMs.
    pub fn look_ups(&self) -> usize {
        self.store.faults.look_ups.load(Ordering::Relaxed)
    }

    /// Limits the pages of a range to this many items.
    pub fn limit_pages(&self, items: usize) {
        self.store.faults.page_items.store(items, Ordering::Relaxed);
    }

    /// Answers stale reads of the VMs with their present state from now on.
    pub fn freeze_stale_reads(&self) {
        let page = self.table.table().range(VM_PREFIX, None);
        *self.store.faults.stale_vms.lock().expect("no test has failed with it") = Some(page);
    }

    /// Records in the store that tasks of the shard run on VMs.
    pub fn record_runs(&self, shard: &str, vms: &[VmId]) {
        let addr: Arc<str> = Arc::from("10.1.0.1:80");
        let bound = |vm: &VmId| BoundVm { id: vm.clone(), addr: addr.clone() };
        let progress = Progress {
            state: JobState::Running,
            lender: None,
            vms: vms.iter().map(bound).collect(),
            shards: Vec::new(),
            started_occurrences: 1,
            open_occurrences: Vec::new(),
            crashes: Vec::new(),
        };
        let key = format!("{}{}", Keys::new(shard).all_progress(), JobId(7));
        let put = Put { key, value: Bytes::from(progress.encode()), lease: None };
        let txn = Txn { puts: vec![put], ..Txn::default() };
        self.table.table().commit(&txn).expect("the commit succeeds");
    }

    /// Starts the records actor of another daemon.
    pub fn start_other(&self, name: &'static str) -> Addr<Records<TestPlatform>> {
        let (clock, claims) = (self.clock.clone(), self.claims.clone());
        let (updates, config, evacuations, departures) = Default::default();
        let notes = Rc::default();
        let control =
            FakeControl { name, clock, updates, claims, config, evacuations, departures, notes };
        control.start_records(self.store.clone())
    }

    /// Advances time while each of `vms` VMs announces itself every 1.5 s.
    pub async fn advance(&mut self, vms: usize, time: Duration) {
        let gap = Duration::from_millis(1500) / u32::try_from(vms).expect("a few hundred VMs");
        let until = self.clock.now() + time;
        let mut next = 0;
        while self.clock.now() < until {
            self.announce(next % vms, "ready");
            next += 1;
            tokio::time::sleep(gap).await;
        }
    }

    /// Refuses calls for what shards have learned.
    pub fn refuse_learned(&self) {
        self.store.refuse_learned.store(true, Ordering::Relaxed);
    }

    pub async fn claim(&self, shard: &str) {
        let claim = unowned_claim(shard);
        self.records.send(claim).await.expect("the actor is running");
    }

    /// Whether the last update lists the VM as leaving.
    pub fn reports_leaving(&self, number: usize) -> bool {
        let updates = self.updates.borrow();
        updates.last().is_some_and(|list| list.leaving.contains(&vm_id(number)))
    }

    /// Maximum age of a list when it was superseded, counted from its request.
    pub fn max_list_age(&self) -> Duration {
        let updates = self.updates.borrow();
        let ages = updates
            .windows(2)
            .map(|lists| lists[1].at.saturating_sub(lists[0].asked.unwrap_or_default()));
        ages.max().unwrap_or_default()
    }

    /// Time of the last update.
    pub fn last_update_at(&self) -> Duration {
        self.updates.borrow().last().map_or(Duration::ZERO, |list| list.at)
    }
}

fn vm_key(number: usize) -> String {
    format!("{VM_PREFIX}{}", vm_id(number))
}

/// Id of a VM without a start time.
pub fn vm_id(number: usize) -> String {
    format!("{number:04}")
}

/// A claim of a shard that is known to have no owner.
pub fn unowned_claim(shard: &str) -> ClaimShard {
    let (previous, replaces) = (PreviousOwner::Ended, ExpectedOwner::default());
    ClaimShard { shard: shard.to_owned(), previous, replaces }
}

fn member(name: &str) -> Member {
    Member {
        id: DaemonId::new(&format!("{name}@1")),
        name: name.to_owned(),
        domain: DomainId::new("kacyiru"),
        addr: "127.0.0.1:1".to_owned(),
        stage: MemberStage::Serving,
        milli_cores: 500,
    }
}
