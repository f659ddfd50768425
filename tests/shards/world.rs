//! Simulation of shards, VMs and the store on a clock controlled by the test.
//!
//! Owners run the production shard code; VMs and the store are simulated by tables of the
//! `standin` crate. Messages between them take time, and a fault model decides the outcome of each.

use crate::announcements::Announcements;
use crate::faults::{Faults, Outcome};
use crate::tails::TailModel;
use crate::watchers::{Reading, Watchers};
use indexmap::{IndexMap, IndexSet};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use waxwingstall::cluster::{ExpectedOwner, Head};
use waxwingstall::evacuation::Evacuations;
use waxwingstall::ids::{DaemonId, DomainId, RackId, ServiceName, Ticket, VmId};
use waxwingstall::job::progress::{BoundVm, Crashes, Progress, decode};
use waxwingstall::job::{Job, JobId, Label, QueueName, RunNumber, StepRef, TaskRef};
use waxwingstall::kv::{Condition, Error, HasMore, Put, Rev, Txn};
use waxwingstall::note::Note;
use waxwingstall::permit::{self, PermitReq, PermitResp};
use waxwingstall::queues::{PermitTimes, Queue, Queues, Terms};
use waxwingstall::shard::learned::{Inherited, Learned, StoredRecord};
use waxwingstall::shard::settings::MAX_STALE_OWNER_EXTENSION;
use waxwingstall::shard::{
    Action, AdmissionMode, Answer, CommitResult, DrainOrder, Event, FleetListStatus, Keys, Now,
    OtherShard, PreviousOwner, PreviousOwnerEnd, Recovered, RemainingLeases, ReportedLapse,
    Settings, Shard, SilentVm, ToldLeases, VmLapse, WriteOutcome,
};
use waxwingstall::units::Resources;
use waxwingstall::vm::{
    AnnouncedAfter, Departure, Error as VmError, Fence, PollReq, StartReq, VmAddr, VmEntry, VmState,
};
use waxwingstall_standin::permits::PermitTable;
use waxwingstall_standin::runs::{RunSettings, RunTable};
use waxwingstall_standin::txns::TxnTable;

/// The usual queue, one of lower priority, and the only service.
pub const QUEUE: &str = "builds";
pub const LOW_QUEUE: &str = "plans";
pub const SERVICE: &str = "shop";

/// One-way network delay.
const NETWORK_DELAY: Duration = Duration::from_millis(1);
const TICK: Duration = Duration::from_millis(20);
const FLEET_INTERVAL: Duration = Duration::from_millis(400);
/// Time after which a call fails without a response.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(350);
/// Time between two announcements of a VM.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1500);
/// Store revision of the VMs' announcements, and an earlier one.
const ANNOUNCED: Rev = Rev(2);
const STALE: Rev = Rev(1);
/// Longest time for which a VM keeps its tasks running without another poll, unless a test sets
/// another.
const MAX_KEEP: Duration = Duration::from_secs(6);
/// Time that a VM is down after a task crashed it.
const CRASH_DOWNTIME: Duration = Duration::from_secs(3);
/// Longer than any test runs.
const FOREVER: Duration = Duration::from_secs(86_400);
/// Response times and permit lifetime of the permit service.
const PERMIT_TIMES: PermitTimes = PermitTimes {
    base_time: Duration::from_millis(20),
    time_per_vm: Duration::from_millis(2),
    validity: Duration::from_secs(3),
};
/// Wall-clock time at the start of the simulation.
const EPOCH: Duration = Duration::from_secs(1_700_000_000);

/// The current instance of a VM.
pub struct VmNode {
    pub table: RunTable,
    pub entry: VmEntry,
    pub shard: Arc<str>,
    /// Unreachable until then, but still running.
    pub unreachable_until: Duration,
    /// How its address answers meanwhile.
    cut_port: LostPort,
    pub down_until: Option<Duration>,
    /// When it leaves for good, with everything on it.
    departs_at: Option<Duration>,
    /// End of the notice that it announces, if daemons read the announcements themselves.
    notice_end: Option<Duration>,
    next_announcement: Duration,
    /// Whether its port refuses connections while it is down.
    refuses: bool,
    /// Its port refuses connections until then, but its tasks keep running.
    refuses_until: Duration,
    /// Each size and since when it applies; a new size is announced one interval later.
    pub sizes: Vec<(Duration, Resources)>,
    restarts: u32,
    /// Highest number of an end that an answer has listed.
    listed_ends: u64,
    /// Id under which it restarts when it is down.
    next_id: NextId,
}

/// Id of the next instance of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NextId {
    /// Another registered id.
    New,
    /// The same registered id, with another start time.
    Same,
}

/// How the address of a VM that is lost or cut off answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LostPort {
    /// It refuses connections.
    Refusing,
    /// Calls time out.
    Silent,
}

/// How the ownership of a shard ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerEnd {
    /// The owner is killed.
    Killed,
    /// All daemons are killed, with all that they had told each other.
    AllKilled(EarlierOwners),
    /// It hands the shard over.
    HandedOver,
    /// It is paused for a while.
    Paused(Duration),
}

/// What the next owner knows of the owners before the last one, which has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EarlierOwners {
    Ended,
    /// They may still extend leases; it learns later that they don't.
    Unknown,
}

/// What the ids of VMs tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Identity {
    /// Each instance has a registered id of its own.
    PerInstance,
    /// The registered id and the start time.
    WithStart,
}

/// A start command that a VM carried out.
#[derive(Clone, Debug)]
pub struct Start {
    /// Labels of the VM.
    pub labels: Vec<Label>,
    /// Number of tasks of the step on the VM, including this one.
    pub of_step: usize,
    pub req: StartReq,
}

/// A start command that the VM may have carried out, or may carry out later.
#[derive(Clone, Debug)]
pub struct UnansweredStart {
    pub sent: Duration,
    pub task: TaskRef,
    pub vm: VmId,
}

/// An order to evacuate a failure domain.
#[derive(Clone, Debug)]
pub struct EvacuationOrder {
    pub domain: DomainId,
    pub since: Duration,
    /// When it was withdrawn.
    pub until: Option<Duration>,
}

/// What a claimant knows of the owner that it replaces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PreviousEnd {
    /// It had ended by then.
    Proved(Duration),
    Unproved,
}

/// What the daemon of a former owner tells of its end.
#[derive(Clone, Debug)]
pub struct ProvedEnd {
    /// Number of the owner.
    pub number: u64,
    /// By when it had ended.
    pub at: Duration,
    /// How long the leases last from then on that it and the owners before it have extended; `None` if
    /// its process has ended with what it knew.
    pub leases: Option<RemainingLeases>,
}

/// The owner that a claim replaces, as the claimant knows it.
enum Replaced {
    /// It has handed the shard over, and tells how long VMs that don't answer may keep their runs.
    HandedOver(Vec<VmLapse>),
    Ended,
    /// It had ended by then.
    EndedBy(Duration),
    MaybeActive,
}

/// A current or former owner of a shard.
struct Owner {
    number: u64,
    name: Arc<str>,
    shard: Shard,
    head: Head,
    rev: Rev,
    /// Paused until then.
    paused_until: Duration,
    /// Cut off from the store and from other owners until then.
    cut_until: Duration,
    /// Whether it lost the shard without having learned of it.
    unaware: bool,
    /// The daemon that it runs on, if daemons read the announcements themselves.
    daemon: Option<usize>,
}

enum Delivery {
    /// An event for a particular owner.
    Owner { number: u64, event: Event },
    /// An event for whichever owner the shard has at delivery.
    Shard { shard: Arc<str>, event: Event },
    /// A takeover of a shard, with what its owner told at a time as it handed the shard over.
    Claim { shard: Arc<str>, end: OwnerEnd, lapses: Vec<VmLapse>, told: Duration },
    /// A commit that was sent while the store was cut off.
    Commit { number: u64, seq: u64, earlier_active: Duration, txn: Txn },
    /// A delayed command to a VM.
    Vm { number: u64, action: Action },
}

/// A poll that a VM has received and not answered yet.
struct HeldPoll {
    number: u64,
    action: Action,
    sent: Duration,
    until: Duration,
    /// Time that the response takes.
    delay: Duration,
}

/// The whole simulated system.
pub struct Simulation<F> {
    pub now: Duration,
    pub faults: F,
    pub kv: TxnTable,
    /// Set if the queue's steps require permits.
    pub permits: Option<PermitTable>,
    pub vms: Vec<VmNode>,
    /// Tables of ended VM instances.
    pub ended_tables: Vec<RunTable>,
    /// Number of VM crashes so far.
    pub crashes: usize,
    /// Jobs whose tasks all end when one of them crashes its VM.
    pub groups: Vec<JobId>,
    pub answers: IndexMap<Ticket, Answer>,
    /// The store accepts no commits until then.
    pub store_down_until: Duration,
    /// Whether commits that are sent until then wait for the store.
    commits_cut_off: bool,
    pub announcements: Announcements,
    /// VMs that have left, in order.
    departures: Vec<Departure>,
    /// How many of them owners were told of, if each is told once.
    departures_told: Option<usize>,
    /// Whether nobody learns which VMs have left.
    departures_unknown: bool,
    /// Set if each daemon reads the announcements itself.
    watchers: Option<Watchers>,
    /// Latest state reported by each shard.
    pub states: IndexMap<Arc<str>, Note>,
    /// Log lines about runs on VMs that leave or have left.
    pub left_runs: Vec<Note>,
    /// Start commands that VMs carried out.
    pub starts: Vec<Start>,
    /// Number of tasks lent.
    pub loans: usize,
    owners: Vec<Owner>,
    /// What each owner knew as it learned that it had lost its shard.
    ended_owners: IndexMap<u64, ProvedEnd>,
    /// When the last durable commit of each owner took effect, or its claim.
    proofs: IndexMap<u64, Duration>,
    /// The daemon that claimed each shard last.
    daemons_of_shards: IndexMap<Arc<str>, usize>,
    next_owner: u64,
    deliveries: BTreeMap<(Duration, u64), Delivery>,
    next_delivery: u64,
    next_ticket: u64,
    next_fleet: Duration,
    store_back: Duration,
    /// The list of VMs can't be read until then, although the store accepts commits.
    list_unread_until: Duration,
    /// Evacuation orders as in the store, and how long each has stood.
    evacuations: Evacuations,
    pub evacuation_history: Vec<EvacuationOrder>,
    /// Evacuation orders as the owners last read them, and when.
    read_evacuations: (Arc<Evacuations>, Duration),
    /// The evacuation orders can't be read until then.
    evacuations_unread_until: Duration,
    /// Instances that were made to forget ends that no answer had listed.
    pub unread_ends: Vec<VmId>,
    /// Start commands that a VM carried out late.
    pub late_starts: Vec<(TaskRef, RunNumber)>,
    /// When the results of the start and stop commands that are under way arrive.
    command_ends: Vec<Duration>,
    /// The largest number of start and stop commands that were under way at a time.
    pub most_commands: usize,
    /// Start commands that were sent and not answered.
    pub unanswered_starts: Vec<UnansweredStart>,
    queues: Arc<Queues>,
    /// Longest time for which a VM keeps its tasks running without another poll.
    max_keep: Duration,
    /// Set if VMs measure the tails of serving tasks. They delay responses to polls as requested
    /// then.
    pub tails: Option<TailModel>,
    held_polls: Vec<HeldPoll>,
    identity: Identity,
    /// Latest deadlines of silent VMs published by the owners, and when.
    published_lapses: IndexMap<Arc<str>, (Duration, Vec<ReportedLapse>)>,
    /// Published deadlines are lost from then on.
    published_lapses_lost_from: Duration,
    /// The VM that only this owner reaches, which reaches no other one.
    partition: Option<(u64, Arc<str>)>,
    /// Commit of the partitioned owner that the store hasn't received.
    partitioned_commit: Option<(u64, Duration, Txn)>,
    /// When the heads of the shards were last written.
    heads_written: IndexMap<String, Duration>,
    traced: bool,
}

impl<F: Faults> Simulation<F> {
    /// Creates a system of these shards with `vms` VMs each.
    pub fn new(faults: F, shards: &[&str], vms: usize, size: Resources) -> Self {
        Self::with_max_keep(faults, shards, vms, size, MAX_KEEP)
    }

    /// Creates a system whose VMs keep their tasks running for `max_keep` without another poll.
    pub fn with_max_keep(
        faults: F,
        shards: &[&str],
        vms: usize,
        size: Resources,
        max_keep: Duration,
    ) -> Self {
        Self::with_identity(faults, shards, vms, size, max_keep, Identity::PerInstance)
    }

    /// Creates a system whose VMs tell when they have started, so that they can restart under the
    /// same id.
    pub fn with_starts(faults: F, shards: &[&str], vms: usize, size: Resources) -> Self {
        Self::with_identity(faults, shards, vms, size, MAX_KEEP, Identity::WithStart)
    }

    fn with_identity(
        faults: F,
        shards: &[&str],
        vms: usize,
        size: Resources,
        max_keep: Duration,
        identity: Identity,
    ) -> Self {
        let mut sim = Self {
            now: Duration::from_secs(5),
            faults,
            kv: TxnTable::new(),
            permits: None,
            vms: Vec::new(),
            ended_tables: Vec::new(),
            crashes: 0,
            groups: Vec::new(),
            answers: IndexMap::new(),
            store_down_until: Duration::ZERO,
            commits_cut_off: false,
            announcements: Announcements::default(),
            departures: Vec::new(),
            departures_told: None,
            departures_unknown: false,
            watchers: None,
            states: IndexMap::new(),
            left_runs: Vec::new(),
            starts: Vec::new(),
            loans: 0,
            owners: Vec::new(),
            ended_owners: IndexMap::new(),
            proofs: IndexMap::new(),
            daemons_of_shards: IndexMap::new(),
            next_owner: 0,
            deliveries: BTreeMap::new(),
            next_delivery: 0,
            next_ticket: 0,
            next_fleet: Duration::ZERO,
            store_back: Duration::ZERO,
            list_unread_until: Duration::ZERO,
            evacuations: Evacuations::default(),
            evacuation_history: Vec::new(),
            read_evacuations: (Arc::default(), Duration::from_secs(5)),
            evacuations_unread_until: Duration::ZERO,
            unread_ends: Vec::new(),
            late_starts: Vec::new(),
            command_ends: Vec::new(),
            most_commands: 0,
            unanswered_starts: Vec::new(),
            published_lapses: IndexMap::new(),
            published_lapses_lost_from: Duration::MAX,
            partition: None,
            partitioned_commit: None,
            heads_written: IndexMap::new(),
            queues: Arc::new(queues()),
            max_keep,
            tails: None,
            held_polls: Vec::new(),
            identity,
            traced: std::env::var_os("SHARD_TRACE").is_some(),
        };
        for shard in shards {
            for number in 0..vms {
                sim.add_vm(shard, number, size);
            }
        }
        shards.iter().for_each(|shard| sim.claim(shard, Replaced::Ended));
        sim
    }

    /// Makes the queues' steps require permits.
    pub fn with_permits(mut self, table: PermitTable) -> Self {
        self.change_queues(|queues| {
            for queue in queues.queues.values_mut() {
                queue.terms.permits = Some(PERMIT_TIMES);
            }
        });
        self.permits = Some(table);
        self
    }

    /// Puts another configuration of the queues in force.
    pub fn change_queues(&mut self, change: impl FnOnce(&mut Queues)) {
        let mut queues = (*self.queues).clone();
        queues.version += 1;
        change(&mut queues);
        self.queues = Arc::new(queues);
        let numbers: Vec<u64> = self.owners.iter().map(|owner| owner.number).collect();
        for number in numbers {
            self.step(number, Event::Queues(self.queues.clone()));
        }
    }

    /// Makes each daemon learn from the announcements that it reads itself which VMs there are and
    /// which have left. All shards get new owners.
    pub fn with_watchers(mut self, seed: u64) -> Self {
        let gap = ANNOUNCE_INTERVAL / u32::try_from(self.vms.len()).expect("a few VMs");
        for (number, vm) in (0..).zip(&mut self.vms) {
            vm.next_announcement = self.now + gap * number;
        }
        let mut watchers = Watchers::new(seed, self.now, ANNOUNCE_INTERVAL);
        self.vms.iter().for_each(|vm| watchers.announce(self.now, &vm.entry));
        self.watchers = Some(watchers);
        let shards = self.shard_names();
        shards.iter().for_each(|shard| self.replace_owner(shard));
        self
    }

    /// Submits a job; the ticket identifies the reply.
    pub fn submit(&mut self, shard: &str, job: Job) -> Ticket {
        self.submit_with(shard, job, AdmissionMode::Always)
    }

    /// Submits a job under an admission mode.
    pub fn submit_with(&mut self, shard: &str, job: Job, mode: AdmissionMode) -> Ticket {
        let ticket = self.ticket();
        let terms = self.queues.queues.get(&job.queue).map(|queue| queue.terms);
        let job = Arc::new(Job { accepted: EPOCH + self.now, terms, ..job });
        let event = Event::Submit { ticket, job, mode };
        self.call(shard, event);
        ticket
    }

    /// Cancels a job.
    pub fn cancel(&mut self, shard: &str, job: JobId) -> Ticket {
        let ticket = self.ticket();
        self.call(shard, Event::Cancel { ticket, job });
        ticket
    }

    /// Queries a job's state, and advances time until the reply has arrived.
    pub fn show(&mut self, shard: &str, job: JobId) -> Option<Answer> {
        let ticket = self.ticket();
        self.call(shard, Event::Show { ticket, job });
        self.run_for(Duration::from_millis(100));
        self.answers.get(&ticket).cloned()
    }

    /// Advances the simulated time.
    pub fn run_for(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            let next_tick = self.now + TICK;
            while let Some(entry) = self.deliveries.first_entry() {
                if entry.key().0 > next_tick {
                    break;
                }
                let ((at, _), delivery) = entry.remove_entry();
                self.now = self.now.max(at);
                self.deliver(delivery);
            }
            self.now = next_tick;
            self.tick();
        }
    }

    /// Makes the next owner of a shard start with the list of VMs as it is now.
    pub fn keep_outdated_list(&mut self, shard: &str) {
        let vms = self.fleet_of(shard);
        self.announcements.outdated.insert(Arc::from(shard), vms);
    }

    /// Reports a VM as departed that is still there.
    pub fn report_departure(&mut self, index: usize) {
        let vm = self.vms[index].entry.id.clone();
        self.departures.push(Departure { vm, at: self.now });
    }

    /// Tells owners of each later departure once, as soon as it is known.
    pub fn tell_departures_once(&mut self) {
        self.departures_told = Some(self.departures.len());
    }

    /// Leaves owners with the list alone to tell which VMs have left.
    pub fn hide_departures(&mut self) {
        self.departures_unknown = true;
    }

    /// Makes the list of VMs unreadable for a while; everything else keeps working.
    pub fn block_vm_list(&mut self, time: Duration) {
        self.list_unread_until = self.now + time;
    }

    /// Delivers the response to a start command.
    pub fn answer_start(
        &mut self,
        shard: &str,
        index: usize,
        (task, run): (TaskRef, RunNumber),
        error: VmError,
    ) {
        let vm = self.vms[index].entry.id.clone();
        self.call(shard, Event::Started { vm, task, run, result: Err(error) });
    }

    /// Sends the shard's owner the list of VMs, as requested at `asked`.
    pub fn send_vm_list(&mut self, shard: &str, asked: Duration) {
        let vms = self.fleet_of(shard);
        let event = Event::Fleet { vms, list_status: FleetListStatus::Complete, at: Some(asked) };
        self.call(shard, event);
    }

    /// Sends the shard's owner the outdated list of VMs, or else the current one, as a list of
    /// unknown age.
    pub fn repeat_vm_list(&mut self, shard: &str) {
        let outdated = self.announcements.outdated.get(shard).cloned();
        let vms = outdated.unwrap_or_else(|| self.fleet_of(shard));
        let event = Event::Fleet { vms, list_status: FleetListStatus::Unread, at: None };
        self.call(shard, event);
    }

    /// Sends the shard's owner a list from before a VM was announced, of unknown age.
    pub fn send_stale_list_without(&mut self, shard: &str, index: usize) {
        let missing = self.vms[index].entry.id.clone();
        let mut vms = self.fleet_of(shard);
        vms.retain(|vm| vm.id != missing);
        let event = Event::Fleet { vms, list_status: FleetListStatus::Complete, at: None };
        self.call(shard, event);
    }

    /// Sends the shard's owner a list of unknown age in which a VM has its first size.
    pub fn send_stale_size(&mut self, shard: &str, index: usize) {
        let (id, size) = (self.vms[index].entry.id.clone(), self.vms[index].sizes[0].1);
        let mut vms = self.fleet_of(shard);
        for vm in vms.iter_mut().filter(|vm| vm.id == id) {
            (vm.size, vm.announced) = (size, STALE);
        }
        let event = Event::Fleet { vms, list_status: FleetListStatus::Complete, at: None };
        self.call(shard, event);
    }

    /// Orders the evacuation of a failure domain.
    pub fn evacuate(&mut self, domain: &str) {
        let domain = DomainId::new(domain);
        if !self.evacuations.contains(&domain) {
            let order = EvacuationOrder { domain: domain.clone(), since: self.now, until: None };
            self.evacuation_history.push(order);
        }
        self.evacuations.extend([domain]);
    }

    /// Withdraws the order to evacuate a failure domain.
    pub fn withdraw_evacuation(&mut self, domain: &str) {
        let domain = DomainId::new(domain);
        self.evacuations.remove(&domain);
        let now = self.now;
        let mut orders = self.evacuation_history.iter_mut();
        if let Some(order) = orders.find(|o| o.domain == domain && o.until.is_none()) {
            order.until = Some(now);
        }
    }

    /// Makes the evacuation orders unreadable for a while; everything else keeps working.
    pub fn block_evacuations(&mut self, time: Duration) {
        self.evacuations_unread_until = self.now + time;
    }

    /// Loses all deadlines of silent VMs that owners publish from now on.
    pub fn lose_published_lapses(&mut self) {
        self.published_lapses_lost_from = self.now;
    }

    /// What the shard's owner has learned itself.
    pub fn learned(&self, shard: &str) -> Learned {
        let owner = self.owners.iter().rev().find(|owner| &*owner.name == shard);
        owner.expect("the shard has an owner").shard.learned()
    }

    /// Tells the shard's owner that it is to hand the shard over.
    pub fn begin_hand_over(&mut self, shard: &str) {
        self.call(shard, Event::HandOver);
    }

    /// Kills the shard's owner, and lets another one take over after a while.
    pub fn restart_owner_after(&mut self, shard: &str, time: Duration) {
        self.end_owners(shard);
        self.run_for(time);
        self.claim(shard, Replaced::Ended);
    }

    /// Kills the shard's owner, and lets another one take over after a while, during which more may
    /// happen.
    pub fn replace_owner_after(&mut self, shard: &str, time: Duration) {
        self.end_ownership(shard, OwnerEnd::Killed, time);
    }

    /// Ends the ownership of a shard, and lets another owner take over after a while, during which
    /// more may happen.
    pub fn end_ownership(&mut self, shard: &str, end: OwnerEnd, time: Duration) {
        let mut lapses = Vec::new();
        match end {
            OwnerEnd::Killed | OwnerEnd::AllKilled(_) => self.end_owners(shard),
            OwnerEnd::HandedOver => {
                let owner = self.owners.iter().rev().find(|owner| &*owner.name == shard);
                lapses = owner.expect("the shard has an owner").shard.unresponsive_vms();
                self.end_owners(shard);
            }
            OwnerEnd::Paused(pause) => self.stall_owner(shard, pause),
        }
        if matches!(end, OwnerEnd::AllKilled(_)) {
            self.published_lapses.clear();
        }
        let (shard, told) = (Arc::from(shard), self.now);
        self.schedule(time, Delivery::Claim { shard, end, lapses, told });
    }

    /// Kills the shard's owner, and lets another one take over.
    pub fn replace_owner(&mut self, shard: &str) {
        self.end_owners(shard);
        self.claim(shard, Replaced::Ended);
    }

    /// Kills all daemons, and lets a new one take over that has been told nothing.
    pub fn restart_daemons(&mut self, shard: &str) {
        self.end_owners(shard);
        self.published_lapses.clear();
        self.claim(shard, Replaced::Ended);
    }

    /// Kills the shard's owner, and lets another one take over that has not read the queues yet.
    pub fn replace_owner_unconfigured(&mut self, shard: &str) {
        let known = std::mem::take(&mut self.queues);
        self.replace_owner(shard);
        self.queues = known;
    }

    /// Sends the queue configuration to the shard's owner.
    pub fn configure(&mut self, shard: &str) {
        self.call(shard, Event::Queues(self.queues.clone()));
    }

    /// Hands the shard over to a new owner, as at a planned shutdown.
    pub fn hand_over(&mut self, shard: &str) {
        let owner = self.owners.iter().rev().find(|owner| &*owner.name == shard);
        let lapses = owner.expect("the shard has an owner").shard.unresponsive_vms();
        self.end_owners(shard);
        self.claim(shard, Replaced::HandedOver(lapses));
    }

    /// Ends all owners of the shard but a partitioned one.
    fn end_owners(&mut self, shard: &str) {
        let partitioned = self.partition.as_ref().map(|(number, _)| *number);
        let ends = |owner: &Owner| &*owner.name == shard && Some(owner.number) != partitioned;
        self.owners.retain(|owner| !ends(owner));
    }

    /// Pauses the shard's owner for a while, and lets another one take over meanwhile.
    pub fn pause_owner(&mut self, shard: &str, time: Duration) {
        self.stall_owner(shard, time);
        self.claim(shard, Replaced::MaybeActive);
    }

    /// Tells the shard's owner that the previous one has ended.
    pub fn tell_previous_owner_ended(&mut self, shard: &str) {
        let end = PreviousOwnerEnd::new(self.now);
        self.call(shard, Event::PreviousOwnerEnded(end));
    }

    /// The owner before the last finds that it has lost the shard, drops it, and tells the last one
    /// when its leases end, which hears of it `delay` later. Returns false if it has ended before.
    pub fn drop_replaced_owner(&mut self, shard: &str, delay: Duration) -> bool {
        let last = self.owners.iter().rev().find(|owner| &*owner.name == shard);
        let before = last.and_then(|owner| owner.head.before.as_ref());
        let replaced = self.owners.iter().find(|owner| {
            &*owner.name == shard && before.is_some_and(|before| before.owner == owner.head.owner)
        });
        let Some(replaced) = replaced else { return false };
        let (at, number) = (self.now + delay, replaced.number);
        let leases = replaced.shard.remaining_leases(self.now);
        let active_until = at + replaced.shard.earlier_active(self.now);
        self.owners.retain(|owner| owner.number != number);
        let end = PreviousOwnerEnd::new(active_until).with_leases(ToldLeases { at, leases });
        let (shard, event) = (Arc::from(shard), Event::PreviousOwnerEnded(end));
        self.schedule(delay, Delivery::Shard { shard, event });
        true
    }

    /// Number of the shard's last owner.
    pub fn owner_number(&self, shard: &str) -> Option<u64> {
        let owner = self.owners.iter().rev().find(|owner| &*owner.name == shard);
        owner.map(|owner| owner.number)
    }

    /// Lets a new owner claim a shard, and returns its number. Earlier owners that have not ended
    /// stay.
    pub fn claim_shard(&mut self, shard: &str, previous: PreviousEnd) -> u64 {
        let replaced = match previous {
            PreviousEnd::Proved(at) => Replaced::EndedBy(at),
            PreviousEnd::Unproved => Replaced::MaybeActive,
        };
        self.claim(shard, replaced);
        self.next_owner
    }

    /// Tells the shard's owner that all owners before it have ended, and how.
    pub fn tell_earlier_owners_ended(&mut self, shard: &str, ends: &[ProvedEnd]) {
        if self.traced {
            ends.iter()
                .for_each(|end| println!("{:?} {shard} is told of an end: {end:?}", self.now));
        }
        let Some(previous) = ends.iter().max_by_key(|end| end.number) else { return };
        let extended_until = ends.iter().map(|end| end.at).fold(Duration::ZERO, Duration::max);
        let end = PreviousOwnerEnd::new(extended_until);
        let end = match &previous.leases {
            Some(leases) => end.with_leases(ToldLeases { at: previous.at, leases: leases.clone() }),
            None => end,
        };
        self.call(shard, Event::PreviousOwnerEnded(end));
    }

    /// Stops an owner until a time.
    pub fn pause_owner_until(&mut self, number: u64, until: Duration) {
        if let Some(owner) = self.owners.iter_mut().find(|owner| owner.number == number) {
            owner.paused_until = owner.paused_until.max(until);
        }
    }

    /// Cuts an owner off from the store and from the other owners until a time; it reaches all VMs.
    pub fn cut_off_owner_until(&mut self, number: u64, until: Duration) {
        if let Some(owner) = self.owners.iter_mut().find(|owner| owner.number == number) {
            owner.cut_until = owner.cut_until.max(until);
        }
    }

    /// Kills an owner.
    pub fn kill_owner(&mut self, number: u64) {
        self.remove_owner(number);
    }

    /// Makes an owner learn that it has lost its shard, if it hasn't yet.
    pub fn give_up_ownership(&mut self, number: u64) {
        if let Some(owner) = self.owners.iter().find(|owner| owner.number == number) {
            let leases = Some(owner.shard.remaining_leases(self.now));
            self.ended_owners.insert(number, ProvedEnd { number, at: self.now, leases });
        }
        self.remove_owner(number);
    }

    /// What an owner knew as it learned that it had lost its shard.
    pub fn ended_owner(&self, number: u64) -> Option<&ProvedEnd> {
        self.ended_owners.get(&number)
    }

    /// When the last durable commit of an owner took effect, or its claim.
    pub fn last_proof(&self, number: u64) -> Duration {
        self.proofs[&number]
    }

    /// Loses the deadlines of silent VMs that daemons have told each other, as all have ended.
    pub fn forget_published_lapses(&mut self) {
        self.published_lapses.clear();
    }

    fn is_owner_cut_off(&self, number: u64) -> bool {
        let owner = self.owners.iter().find(|owner| owner.number == number);
        owner.is_some_and(|owner| self.now < owner.cut_until)
    }

    /// Stops the shard's owner for a while, without another one taking over.
    pub fn stall_owner(&mut self, shard: &str, time: Duration) {
        let until = self.now + time;
        for owner in self.owners.iter_mut().filter(|owner| &*owner.name == shard) {
            owner.paused_until = until;
        }
    }

    /// Partitions the shard's owner with one VM from the store and the other owners and VMs, and lets
    /// another owner take over.
    pub fn partition_owner(&mut self, shard: &str, index: usize) {
        let owner = self.owners.iter().rev().find(|owner| &*owner.name == shard);
        let number = owner.expect("the shard has an owner").number;
        self.partition = Some((number, self.vms[index].entry.addr.clone()));
        self.claim(shard, Replaced::MaybeActive);
    }

    /// Whether an owner is partitioned.
    pub fn is_partitioned(&self) -> bool {
        self.partition.is_some()
    }

    /// Ends the partition.
    pub fn heal_partition(&mut self) {
        let commit = self.partitioned_commit.take();
        if let (Some((number, _)), Some((seq, earlier_active, txn))) =
            (self.partition.take(), commit)
        {
            self.commit(number, seq, earlier_active, txn);
        }
    }

    /// Indices of the VMs that a job's runs are bound to in the store.
    pub fn bound_vms(&mut self, job: JobId) -> Vec<usize> {
        let mut bound = Vec::new();
        for name in self.shard_names() {
            let progress = self.read_all(&Keys::new(&name).all_progress());
            let of_job = progress.iter().filter(|(key, _)| key.ends_with(&job.to_string()));
            for (_, value) in of_job {
                bound.extend(Progress::decode(value).expect("progress").vms);
            }
        }
        let index = |vm: BoundVm| self.vms.iter().position(|node| node.entry.id == vm.id);
        bound.into_iter().filter_map(index).collect()
    }

    /// Shards that a job's tasks are lent to, as recorded in the store.
    pub fn lent_to(&mut self, job: JobId) -> Vec<String> {
        let names = self.shard_names();
        let mut to = Vec::new();
        for name in names {
            to.extend(
                self.progress_of(&name, job).into_iter().flat_map(|progress| progress.shards),
            );
        }
        to
    }

    /// Crash counts of the tasks of a job that have any, as a shard has recorded them in the store.
    pub fn crash_counts(&mut self, shard: &str, job: JobId) -> Vec<Crashes> {
        let progress = self.progress_of(shard, job);
        let rows = progress.into_iter().flat_map(|progress| progress.crashes);
        rows.map(|row| row.crashes).collect()
    }

    /// Number of failed runs of a job's tasks, as a shard has recorded it in the store.
    pub fn failed_runs(&mut self, shard: &str, job: JobId) -> u32 {
        let progress = self.progress_of(shard, job);
        let occurrences = progress.into_iter().flat_map(|progress| progress.open_occurrences);
        let tasks = occurrences.flat_map(|occurrence| occurrence.steps).flatten();
        tasks.map(|task| task.failed).sum()
    }

    /// A shard's record of a job in the store.
    fn progress_of(&mut self, shard: &str, job: JobId) -> Option<Progress> {
        let records = self.read_all(&Keys::new(shard).all_progress());
        let record = records.iter().find(|(key, _)| key.ends_with(&job.to_string()));
        record.map(|(_, value)| Progress::decode(value).expect("progress"))
    }

    /// Whether the store holds a record of tasks of a job that a shard has borrowed.
    pub fn is_borrowed(&mut self, job: JobId) -> bool {
        let names = self.shard_names();
        names.iter().any(|name| {
            let records = self.read_all(&Keys::new(name).all_progress());
            let mut records = records.iter().filter(|(key, _)| key.ends_with(&job.to_string()));
            records.any(|(_, value)| Progress::decode(value).expect("progress").lender.is_some())
        })
    }

    fn shard_names(&self) -> IndexSet<Arc<str>> {
        self.owners.iter().map(|owner| owner.name.clone()).collect()
    }

    /// Number of tasks running on a VM.
    pub fn runs_on(&mut self, index: usize) -> usize {
        let now = self.now;
        self.vms[index].table.runs(now).len()
    }

    /// Number of a job's tasks that run.
    pub fn running_tasks(&mut self, job: JobId) -> usize {
        let now = self.now;
        let runs = self.vms.iter_mut().filter(|vm| vm.down_until.is_none());
        let runs = runs.flat_map(|vm| vm.table.runs(now));
        runs.filter(|(task, ..)| task.job == job).count()
    }

    /// Crashes a VM, which restarts without tasks after `down`.
    pub fn crash_vm(&mut self, index: usize, down: Duration) {
        let now = self.now;
        let vm = &mut self.vms[index];
        if vm.down_until.is_some() {
            return;
        }
        vm.table.crash(now);
        vm.down_until = Some(now + down);
        self.announcements.note_end(&vm.entry, now);
        self.crashes += 1;
    }

    /// Ends a VM for good, with its tasks and without a notice that anybody reads.
    pub fn lose_vm(&mut self, index: usize, port: LostPort) {
        self.crash_vm(index, FOREVER);
        self.vms[index].refuses = port == LostPort::Refusing;
    }

    /// Crashes a VM, which restarts without tasks under the same registered id after `down`.
    pub fn restart_vm(&mut self, index: usize, down: Duration) {
        if self.vms[index].down_until.is_none() {
            self.crash_vm(index, down);
            self.vms[index].next_id = NextId::Same;
        }
    }

    /// Ends the remaining members of a group.
    pub fn end_group(&mut self, step: StepRef) {
        if self.groups.contains(&step.job) {
            let now = self.now;
            self.vms.iter_mut().for_each(|vm| vm.table.end_group(now, step));
        }
    }

    /// Crashes the VMs on which a task is due to crash its VM.
    fn crash_vms(&mut self) {
        for index in 0..self.vms.len() {
            if self.vms[index].table.is_crashing(self.now) {
                let there = self.vms[index].table.runs(self.now);
                self.crash_vm(index, CRASH_DOWNTIME);
                self.vms[index].refuses = true;
                there.iter().for_each(|(task, ..)| self.end_group(task.step_ref()));
            }
        }
    }

    /// Makes a VM unreachable for a while; its tasks keep running.
    pub fn disconnect_vm(&mut self, index: usize, time: Duration) {
        self.cut_vm(index, time, LostPort::Silent);
    }

    /// Cuts a VM off for a while; its tasks keep running.
    pub fn cut_vm(&mut self, index: usize, time: Duration, port: LostPort) {
        self.vms[index].unreachable_until = self.now + time;
        self.vms[index].cut_port = port;
    }

    /// Makes a VM's port refuse connections for a while; its tasks keep running.
    pub fn refuse_calls(&mut self, index: usize, time: Duration) {
        self.vms[index].refuses_until = self.now + time;
    }

    /// Makes a VM announce that it leaves after `left`.
    pub fn leave_vm(&mut self, index: usize, left: Duration) {
        self.vms[index].entry.state = VmState::Leaving { left: Some(left) };
    }

    /// Makes a VM announce that it leaves after `left`, and leave then.
    pub fn depart_vm(&mut self, index: usize, left: Duration) {
        self.leave_vm(index, left);
        self.vms[index].departs_at = Some(self.now + left);
    }

    /// Makes a VM announce that it leaves in `left`, at a known time, and leave then.
    pub fn depart_vm_timed(&mut self, index: usize, left: Duration) {
        self.depart_vm(index, left);
        self.vms[index].entry.announced_after = Some(AnnouncedAfter::Bound(self.now));
    }

    /// Makes a VM announce that it leaves in `left`, at a time estimated too late by `error`, and
    /// leave then.
    pub fn depart_vm_estimated(&mut self, index: usize, left: Duration, error: Duration) {
        self.depart_vm(index, left);
        self.vms[index].entry.announced_after = Some(AnnouncedAfter::Estimate(self.now + error));
    }

    /// Repeats the announcement of a VM that leaves, at a known time.
    pub fn repeat_notice(&mut self, index: usize) {
        let vm = &mut self.vms[index];
        let left = vm.departs_at.map(|at| at.saturating_sub(self.now));
        vm.entry.state = VmState::Leaving { left };
        vm.entry.announced_after = Some(AnnouncedAfter::Bound(self.now));
        vm.entry.announced = Rev(vm.entry.announced.0 + 1);
    }

    /// Makes a VM announce that it leaves in `left` at the earliest, and leave `later` than that.
    pub fn depart_vm_later(&mut self, index: usize, left: Duration, later: Duration) {
        let vm = &mut self.vms[index];
        vm.notice_end = Some(self.now + left);
        vm.departs_at = Some(self.now + left + later);
        vm.next_announcement = self.now;
    }

    /// Changes a VM's size; the platform lists the new size one announcement interval later.
    pub fn resize_vm(&mut self, index: usize, size: Resources) {
        self.vms[index].sizes.push((self.now, size));
    }

    /// Orders a shard to drain a VM.
    pub fn drain_vm(&mut self, shard: &str, index: usize, finish_timeout: Duration) {
        let vms = vec![VmId::new(self.vms[index].entry.id.registered())];
        let order = DrainOrder { vms, upcoming: Vec::new(), finish_timeout };
        self.call(shard, Event::Drain(order));
    }

    /// The VMs that a shard reports as drained.
    pub fn drained_vms(&self, shard: &str) -> Vec<VmId> {
        let owner = self.owners.iter().rev().find(|owner| &*owner.name == shard);
        owner.expect("the shard has an owner").shard.drained_vms()
    }

    /// Makes the store unavailable for a while.
    pub fn stop_store(&mut self, time: Duration) {
        self.store_down_until = self.now + time;
    }

    /// Makes the store receive commits that are sent while it is unavailable only once it is back,
    /// and only if their sender is still there.
    pub fn cut_off_commits(&mut self) {
        self.commits_cut_off = true;
    }

    fn add_vm(&mut self, shard: &str, number: usize, size: Resources) {
        let addr = format!("{shard}:{number}");
        let id = self.vm_id(&format!("{addr}/0"));
        let entry = VmEntry {
            id: id.clone(),
            service: ServiceName::new(SERVICE),
            domain: DomainId::new(shard),
            rack: RackId::new(shard),
            labels: Vec::new(),
            size,
            state: VmState::Ready,
            addr: Arc::from(addr.as_str()),
            announced: ANNOUNCED,
            announced_after: None,
        };
        self.vms.push(VmNode {
            table: RunTable::new(id, run_settings(self.max_keep, 0)),
            entry,
            shard: Arc::from(shard),
            unreachable_until: Duration::ZERO,
            cut_port: LostPort::Silent,
            down_until: None,
            departs_at: None,
            notice_end: None,
            next_announcement: Duration::ZERO,
            refuses: false,
            refuses_until: Duration::ZERO,
            sizes: vec![(Duration::ZERO, size)],
            restarts: 0,
            listed_ends: 0,
            next_id: NextId::New,
        });
    }

    /// The id of a VM instance that starts now.
    fn vm_id(&self, registered: &str) -> VmId {
        match self.identity {
            Identity::PerInstance => VmId::new(registered),
            Identity::WithStart => {
                let started = (EPOCH + self.now).as_millis();
                VmId::with_start(registered, u64::try_from(started).expect("a small number"))
            }
        }
    }

    fn ticket(&mut self) -> Ticket {
        self.next_ticket += 1;
        Ticket(self.next_ticket)
    }

    fn call(&mut self, shard: &str, event: Event) {
        let shard = Arc::from(shard);
        self.schedule(NETWORK_DELAY, Delivery::Shard { shard, event });
    }

    fn schedule(&mut self, after: Duration, delivery: Delivery) {
        self.next_delivery += 1;
        self.deliveries.insert((self.now + after, self.next_delivery), delivery);
    }

    /// Lets a new owner claim a shard and recover its state, in one step.
    fn claim(&mut self, name: &str, replaced: Replaced) {
        let keys = Keys::new(name);
        let present = self.kv.get(&keys.head());
        let before: Option<Head> =
            present.as_ref().map(|item| Head::decode(&item.value).expect("a head"));
        self.next_owner += 1;
        let id = DaemonId::new(&format!("daemon@{}", self.next_owner));
        // Nobody tells the claimant of owners before the last one.
        let told = match &replaced {
            Replaced::HandedOver(_) | Replaced::Ended | Replaced::EndedBy(_) => {
                Some(MAX_STALE_OWNER_EXTENSION)
            }
            Replaced::MaybeActive => None,
        };
        let ended_by = match &replaced {
            Replaced::EndedBy(at) => Some(*at),
            Replaced::HandedOver(_) | Replaced::Ended | Replaced::MaybeActive => None,
        };
        let replaces = ExpectedOwner { earlier_active: told, ..ExpectedOwner::default() };
        let written = self.heads_written.insert(name.to_owned(), self.now);
        let age = written.map_or(Duration::ZERO, |at| self.now - at);
        let earlier_active = replaces.earlier_active(before.as_ref(), age);
        let (previous, lapses) = match replaced {
            Replaced::HandedOver(lapses) => (PreviousOwner::Ended, lapses),
            Replaced::Ended | Replaced::EndedBy(_) | Replaced::MaybeActive => {
                (PreviousOwner::MaybeActive, Vec::new())
            }
        };
        let by_head = before.as_ref().map(|head| head.extended_until(self.now - age, self.now));
        let head_told = before.as_ref().and_then(|head| head.earlier_active);
        let proved = ended_by.zip(head_told).map(|(at, left)| at + left);
        let head = Head::claim(id, before.as_ref())
            .with_earlier_active(earlier_active)
            .with_stale_extension(settings(self.max_keep).stale_owner_extension());
        let condition = present.map_or(Rev::ABSENT, |item| item.rev);
        let rev = self.kv.commit(&head_txn(&keys, &head, condition)).expect("nobody else claims");
        let jobs = self.read_all(&keys.jobs());
        let progress = self.read_all(&keys.all_progress());
        let recovered = Recovered {
            shard: name.to_owned(),
            fence: Fence(rev.0),
            seq: head.seq,
            previous: previous.with_earlier_active(earlier_active),
            earlier_active,
            before_previous: head_told,
            extended_until: by_head.into_iter().chain(proved).min(),
            predecessor: before.map(|before| Fence(before.fence)),
            claimed_at: self.now,
            written_by: self.now - age,
            unresponsive_vms: lapses,
            silent: self
                .kv
                .get(&keys.silence())
                .map_or(Vec::new(), |item| SilentVm::decode_all(&item.value).expect("silent VMs")),
            reported_lapses: self.published_lapses_of(name),
            learned: self.inherited_learned(name),
            jobs: jobs.iter().map(|(_, v)| Arc::new(decode::<Job>(v).expect("a job"))).collect(),
            progress: progress
                .iter()
                .map(|(key, v)| {
                    let id = key.rsplit('/').next().expect("a key");
                    (id.parse().expect("a job id"), Progress::decode(v).expect("progress"))
                })
                .collect(),
        };
        let outdated = self.announcements.outdated.shift_remove(name);
        let fleet = outdated.unwrap_or_else(|| self.fleet_of(name));
        let (daemon, fleet) = self.claiming_daemon(name, fleet);
        let now = self.clocks();
        let shard = Shard::new(recovered, settings(self.max_keep), self.queues.clone(), fleet, now);
        self.owners.push(Owner {
            number: self.next_owner,
            name: Arc::from(name),
            shard,
            head,
            rev,
            paused_until: Duration::ZERO,
            cut_until: Duration::ZERO,
            unaware: false,
            daemon,
        });
        self.proofs.insert(self.next_owner, self.now);
        let (evacuations, at) = self.read_evacuations.clone();
        self.step(self.next_owner, Event::Evacuations { evacuations, at });
        self.step(self.next_owner, Event::Departed(self.departures.clone()));
    }

    /// Returns the daemon that claims a shard and its list of the shard's VMs, if daemons read the
    /// announcements themselves.
    fn claiming_daemon(
        &mut self,
        name: &str,
        fleet: Vec<VmEntry>,
    ) -> (Option<usize>, Vec<VmEntry>) {
        let bound = self.bound_vm_ids(name);
        let Some(watchers) = &mut self.watchers else { return (None, fleet) };
        let previous = self.daemons_of_shards.get(name).copied();
        let (daemon, mut fleet) = watchers.claim(self.now, previous, &bound);
        self.daemons_of_shards.insert(Arc::from(name), daemon);
        fleet.retain(|vm| vm.domain.as_str() == name);
        (Some(daemon), fleet)
    }

    /// The VMs that a shard's runs are bound to in the store.
    fn bound_vm_ids(&mut self, shard: &str) -> Vec<VmId> {
        let progress = self.read_all(&Keys::new(shard).all_progress());
        let vms = progress.iter().flat_map(|(_, v)| Progress::decode(v).expect("progress").vms);
        vms.map(|vm| vm.id).collect()
    }

    fn inherited_learned(&mut self, name: &str) -> Inherited {
        let item = self.kv.get(&Keys::new(name).learned());
        let record = item.map_or(StoredRecord::Absent, |item| StoredRecord::Found(item.value));
        Inherited { record, report: None }
    }

    fn published_lapses_of(&self, name: &str) -> Vec<ReportedLapse> {
        let Some((at, reported)) = self.published_lapses.get(name) else { return Vec::new() };
        let passed = self.now - *at;
        reported.iter().map(|reported| reported.clone().aged(passed)).collect()
    }

    fn collect_published_lapses(&mut self) {
        if self.now >= self.published_lapses_lost_from {
            return;
        }
        for owner in &self.owners {
            if self.now >= owner.paused_until.max(owner.cut_until) && !owner.unaware {
                let reported = owner.shard.reported_lapses(self.now);
                self.published_lapses.insert(owner.name.clone(), (self.now, reported));
            }
        }
    }

    fn read_all(&mut self, prefix: &str) -> Vec<(String, bytes::Bytes)> {
        let page = self.kv.range(prefix, None);
        assert_eq!(page.more, HasMore::No, "tests stay within one page");
        page.items.into_iter().map(|item| (item.key, item.value)).collect()
    }

    fn fleet_of(&self, shard: &str) -> Vec<VmEntry> {
        let ours = self.vms.iter().filter(|vm| &*vm.shard == shard && vm.down_until.is_none());
        let running = ours.map(|vm| vm.entry.clone()).collect();
        self.announcements.list(self.now, shard, running)
    }

    fn clocks(&self) -> Now {
        Now { steady: self.now, wall: EPOCH + self.now }
    }

    fn tick(&mut self) {
        self.crash_vms();
        self.remove_departing_vms();
        self.restart_vms();
        self.announce_sizes();
        self.announce_vms();
        self.read_announcements();
        self.observe_tails();
        self.answer_held_polls();
        if self.now >= self.next_fleet {
            self.next_fleet = self.now + FLEET_INTERVAL;
            self.send_fleet();
            self.collect_published_lapses();
        }
        let numbers: Vec<u64> = self.owners.iter().map(|owner| owner.number).collect();
        for number in numbers {
            self.step(number, Event::Tick);
        }
    }

    fn observe_tails(&mut self) {
        let Some(tails) = &mut self.tails else { return };
        tails.advance(self.now);
        for vm in self.vms.iter_mut().filter(|vm| vm.down_until.is_none()) {
            tails.observe(self.now, &vm.entry, &mut vm.table);
        }
    }

    /// Answers the polls that have waited for long enough, or on whose VM a run has ended.
    fn answer_held_polls(&mut self) {
        for held in std::mem::take(&mut self.held_polls) {
            let addr = addr_of(&held.action);
            let Action::Poll { req, .. } = &held.action else { unreachable!("a poll is held") };
            let now = self.now;
            let vm = self.vms.iter_mut().find(|vm| vm.entry.addr == addr.addr);
            let has_news = vm.is_some_and(|vm| vm.table.has_news(now, req.ack_up_to));
            if now < held.until && !has_news {
                self.held_polls.push(held);
                continue;
            }
            let result = self.execute(held.number, &held.action);
            let event = response_event(held.action, held.sent, result);
            self.schedule(held.delay, Delivery::Owner { number: held.number, event });
        }
    }

    fn remove_departing_vms(&mut self) {
        let now = self.now;
        let departing =
            |vm: &&mut VmNode| vm.down_until.is_none() && vm.departs_at.is_some_and(|at| now >= at);
        for vm in self.vms.iter_mut().filter(departing) {
            vm.table.crash(now);
            vm.down_until = Some(Duration::MAX);
            if let Some(watchers) = &mut self.watchers {
                watchers.remove(now, &vm.entry);
            } else if !self.departures_unknown {
                self.departures.push(Departure { vm: vm.entry.id.clone(), at: now });
            }
        }
    }

    /// Writes the announcements that are due, if daemons read them themselves.
    fn announce_vms(&mut self) {
        let now = self.now;
        let Some(watchers) = &mut self.watchers else { return };
        let due = |vm: &&mut VmNode| vm.down_until.is_none() && now >= vm.next_announcement;
        for vm in self.vms.iter_mut().filter(due) {
            vm.next_announcement = now + ANNOUNCE_INTERVAL;
            if let Some(end) = vm.notice_end {
                vm.entry.state = VmState::Leaving { left: Some(end.saturating_sub(now)) };
            }
            watchers.announce(now, &vm.entry);
        }
    }

    /// Passes on to the owners what their daemons have read of the announcements.
    fn read_announcements(&mut self) {
        let Some(watchers) = &mut self.watchers else { return };
        let readings = watchers.tick(self.now);
        let owners: Vec<(u64, Arc<str>, Option<usize>)> =
            self.owners.iter().map(|o| (o.number, o.name.clone(), o.daemon)).collect();
        for (daemon, Reading { list, departures }) in readings {
            for (number, name, _) in owners.iter().filter(|(.., at)| *at == Some(daemon)) {
                if let Some((mut vms, at)) = list.clone() {
                    vms.retain(|vm| vm.domain.as_str() == &**name);
                    let list_status = FleetListStatus::Complete;
                    self.step(*number, Event::Fleet { vms, list_status, at });
                }
                self.step(*number, Event::Departed(departures.clone()));
            }
        }
    }

    fn announce_sizes(&mut self) {
        let now = self.now;
        for vm in &mut self.vms {
            let listed = vm.sizes.iter().rev().find(|(at, _)| *at + ANNOUNCE_INTERVAL <= now);
            vm.entry.size = listed.map_or(vm.entry.size, |(_, size)| *size);
        }
    }

    fn restart_vms(&mut self) {
        let (now, max_keep) = (self.now, self.max_keep);
        for index in 0..self.vms.len() {
            if self.vms[index].down_until.is_none_or(|until| now < until) {
                continue;
            }
            let vm = &self.vms[index];
            let registered = match vm.next_id {
                NextId::New => format!("{}/{}", vm.entry.addr, vm.restarts + 1),
                NextId::Same => vm.entry.id.registered().to_owned(),
            };
            let id = self.vm_id(&registered);
            let vm = &mut self.vms[index];
            vm.down_until = None;
            vm.refuses = false;
            vm.restarts += 1;
            vm.next_id = NextId::New;
            vm.listed_ends = 0;
            vm.entry.id = id.clone();
            self.announcements.note_start(&id, now);
            self.ended_tables.push(std::mem::replace(
                &mut vm.table,
                RunTable::new(id, run_settings(max_keep, vm.restarts)),
            ));
        }
    }

    fn send_fleet(&mut self) {
        if self.now < self.store_down_until {
            self.store_back = self.now;
            return;
        }
        if self.now < self.list_unread_until {
            return;
        }
        if self.now >= self.evacuations_unread_until {
            self.read_evacuations = (Arc::new(self.evacuations.clone()), self.now);
        }
        let back = self.now.saturating_sub(self.store_back) < Duration::from_secs(3);
        let list_status =
            if back { FleetListStatus::Recovering } else { FleetListStatus::Complete };
        let connected = self.owners.iter().filter(|owner| self.now >= owner.cut_until);
        let owners: Vec<(u64, Arc<str>)> =
            connected.map(|owner| (owner.number, owner.name.clone())).collect();
        let new = self.departures[self.departures_told.unwrap_or(0)..].to_vec();
        self.departures_told = self.departures_told.map(|_| self.departures.len());
        for (number, name) in owners {
            if self.watchers.is_none() {
                let vms = self.fleet_of(&name);
                self.step(number, Event::Fleet { vms, list_status, at: Some(self.now) });
                self.step(number, Event::Departed(new.clone()));
            }
            let (evacuations, at) = self.read_evacuations.clone();
            self.step(number, Event::Evacuations { evacuations, at });
            let other_shards = self.other_shards(&name);
            self.step(number, Event::OtherShards(other_shards));
        }
    }

    fn other_shards(&self, name: &str) -> Vec<OtherShard> {
        let others = self
            .owners
            .iter()
            .filter(|owner| &*owner.name != name && !owner.unaware && self.now >= owner.cut_until);
        others
            .map(|owner| OtherShard {
                name: owner.name.clone(),
                fence: owner.shard.fence(),
                summary: Arc::new(owner.shard.summary()),
            })
            .collect()
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Owner { number, event } => self.step(number, event),
            Delivery::Shard { shard, event } => {
                // The last owner is the one known to others.
                let owner = self.owners.iter().rev().find(|owner| owner.name == shard);
                let owner = owner.filter(|owner| self.now >= owner.cut_until);
                if let Some(number) = owner.map(|owner| owner.number) {
                    self.step(number, event);
                }
            }
            Delivery::Claim { shard, end, lapses, told } => {
                let passed = self.now - told;
                let lapses = lapses.into_iter().map(|lapse| lapse.aged(passed)).collect();
                let replaced = match end {
                    OwnerEnd::Killed | OwnerEnd::AllKilled(_) => Replaced::Ended,
                    OwnerEnd::HandedOver => Replaced::HandedOver(lapses),
                    OwnerEnd::Paused(_) => Replaced::MaybeActive,
                };
                self.claim(&shard, replaced);
            }
            Delivery::Commit { number, seq, earlier_active, txn } => {
                self.commit(number, seq, earlier_active, txn);
            }
            Delivery::Vm { number, mut action } => {
                if let Action::Poll { vm, req } = &mut action
                    && !self.vms.iter().any(|node| node.entry.id == vm.id)
                {
                    // Only orders are carried out late by the next instance. No owner could prevent
                    // an acknowledgement from being so.
                    req.ack_up_to = 0;
                }
                if let Action::Start { req, .. } = &action {
                    self.late_starts.push((req.task, req.run));
                }
                // The sender has timed out and no longer waits for the response.
                let _ = self.execute(number, &action);
            }
        }
    }

    fn step(&mut self, number: u64, event: Event) {
        let now = self.clocks();
        let Some(owner) = self.owners.iter_mut().find(|owner| owner.number == number) else {
            return;
        };
        if owner.paused_until > self.now {
            if !matches!(event, Event::Tick | Event::Fleet { .. } | Event::OtherShards(_)) {
                let after = owner.paused_until - self.now;
                self.schedule(after, Delivery::Owner { number, event });
            }
            return;
        }
        let name = owner.name.clone();
        for action in owner.shard.step(now, event) {
            self.perform(number, &name, action);
        }
    }

    fn perform(&mut self, number: u64, name: &Arc<str>, action: Action) {
        match action {
            Action::Poll { .. }
            | Action::Start { .. }
            | Action::Stop { .. }
            | Action::Pace { .. } => self.send_command(number, action),
            Action::RequestPermits(req) => self.request_permits(number, &req),
            Action::Commit { seq, earlier_active, txn } => {
                self.commit(number, seq, earlier_active, txn);
            }
            Action::Reply { ticket, answer } => {
                self.answers.insert(ticket, answer);
            }
            Action::SendLoanMessage { .. } if self.is_owner_cut_off(number) => {}
            Action::SendLoanMessage { to, fence, msg } => {
                if self.traced {
                    println!("{:?} {name}#{number} tells {to} {fence:?} {msg:?}", self.now);
                }
                let event = Event::Message { from: name.clone(), to: fence, msg };
                if let Some(delay) = self.faults.repeat_after(self.now) {
                    let (shard, event) = (to.clone(), event.clone());
                    self.schedule(delay, Delivery::Shard { shard, event });
                }
                match self.faults.message_outcome(self.now) {
                    Outcome::Lost
                    | Outcome::Refused
                    | Outcome::NoRoom
                    | Outcome::AnswerLost
                    | Outcome::Ignored
                    | Outcome::Unreported
                    | Outcome::Slow(_) => {}
                    Outcome::Late(delay) => {
                        self.schedule(delay, Delivery::Shard { shard: to, event })
                    }
                    Outcome::Delivered => {
                        self.schedule(NETWORK_DELAY, Delivery::Shard { shard: to, event })
                    }
                }
            }
            Action::Fenced => self.give_up_ownership(number),
            Action::Note(note) => {
                self.trace(number, name, &note);
                match note {
                    Note::ShardState { .. } => {
                        self.states.insert(name.clone(), note);
                    }
                    Note::TasksLent { tasks, .. } => self.loans += tasks,
                    Note::RunStays { .. } | Note::RunLeftBehind { .. } => self.left_runs.push(note),
                    _ => {}
                }
            }
            Action::HandedOver => {}
        }
    }

    /// Prints the owners' log lines if `SHARD_TRACE` is set.
    fn trace(&self, number: u64, name: &str, note: &Note) {
        if self.traced {
            let mut line = String::new();
            note.write_fields(&mut line);
            println!("{:?} {name}#{number} {}{line}", self.now, note.kind().event);
        }
    }

    fn request_permits(&mut self, number: u64, req: &PermitReq) {
        let (sent, step, vms) = (self.now, req.step, req.vms.clone());
        let named = u32::try_from(vms.len()).expect("a hundred at the most");
        let mut after =
            2 * NETWORK_DELAY + PERMIT_TIMES.base_time + PERMIT_TIMES.time_per_vm * named;
        let result = match self.faults.message_outcome(sent) {
            Outcome::Delivered => {
                let table = self.permits.as_mut().expect("permits are requested only if required");
                Ok(ask_permits(table, sent, req))
            }
            Outcome::Lost
            | Outcome::Refused
            | Outcome::NoRoom
            | Outcome::AnswerLost
            | Outcome::Ignored
            | Outcome::Unreported
            | Outcome::Late(_)
            | Outcome::Slow(_) => {
                after = req.timeout;
                Err(permit::Error::NoAnswer { reason: "lost".to_owned() })
            }
        };
        let event = Event::Permitted { step, vms, sent, result };
        self.schedule(after, Delivery::Owner { number, event });
    }

    fn remove_owner(&mut self, number: u64) {
        self.owners.retain(|owner| owner.number != number);
    }

    fn send_command(&mut self, number: u64, action: Action) {
        let outcome = self.faults.command_outcome(self.now, &action);
        let sent = self.now;
        let held_for = match (&action, &outcome) {
            (_, _) if self.tails.is_none() => None,
            (Action::Poll { .. }, Outcome::Delivered) => Some(2 * NETWORK_DELAY),
            (Action::Poll { .. }, Outcome::Slow(time)) if *time < CALL_TIMEOUT => Some(*time),
            _ => None,
        };
        if let (Action::Poll { req, .. }, Some(delay)) = (&action, held_for) {
            let until = sent + req.wait;
            self.held_polls.push(HeldPoll { number, action, sent, until, delay });
            return;
        }
        let unanswered = || VmError::NoAnswer { reason: "lost".to_owned() };
        let mut delay = 2 * NETWORK_DELAY;
        let result = match outcome {
            Outcome::Delivered => self.execute(number, &action),
            Outcome::Slow(time) => {
                delay = time;
                let result = self.execute(number, &action);
                if time < call_timeout(&action) { result } else { Err(unanswered()) }
            }
            Outcome::AnswerLost => {
                let _ = self.execute(number, &action);
                Err(unanswered())
            }
            Outcome::Lost => Err(unanswered()),
            Outcome::Refused => Err(VmError::NotSent { reason: "refused".to_owned() }),
            Outcome::NoRoom => Err(VmError::NoRoom),
            Outcome::Unreported => return,
            Outcome::Ignored => self.execute(number, &empty_poll(&action)).map(|answer| {
                let VmResponse::Polled(poll) = answer else { unreachable!("a poll was sent") };
                VmResponse::Clock(poll.clock)
            }),
            Outcome::Late(delay) => {
                self.schedule(delay, Delivery::Vm { number, action: action.clone() });
                Err(unanswered())
            }
        };
        if let (Action::Poll { vm, .. }, Ok(VmResponse::Polled(answer))) = (&action, &result) {
            let listed = answer.ended.iter().map(|end| end.number).max().unwrap_or(0);
            if let Some(node) = self.vms.iter_mut().find(|node| node.entry.id == vm.id) {
                node.listed_ends = node.listed_ends.max(listed);
            }
        }
        if let (Action::Start { vm, req }, Err(VmError::NoAnswer { .. })) = (&action, &result) {
            let (task, vm) = (req.task, vm.id.clone());
            self.unanswered_starts.push(UnansweredStart { sent, task, vm });
        }
        let after = match &result {
            Err(VmError::NoAnswer { .. }) => call_timeout(&action),
            Err(VmError::NotSent { .. }) => delay,
            _ => delay + poll_wait(&action),
        };
        self.count_command(&action, sent + after);
        let event = response_event(action, sent, result);
        self.schedule(after, Delivery::Owner { number, event });
    }

    /// Counts a command that takes a connection until its result arrives.
    fn count_command(&mut self, action: &Action, end: Duration) {
        if matches!(action, Action::Start { .. } | Action::Stop { .. }) {
            let now = self.now;
            self.command_ends.retain(|end| *end > now);
            self.command_ends.push(end);
            self.most_commands = self.most_commands.max(self.command_ends.len());
        }
    }

    fn execute(&mut self, number: u64, action: &Action) -> Result<VmResponse, VmError> {
        let now = self.now;
        let addr = addr_of(action);
        let is_cut = |(owner, vm): &(u64, Arc<str>)| (number == *owner) != (addr.addr == *vm);
        if self.partition.as_ref().is_some_and(is_cut) {
            return Err(VmError::NoAnswer { reason: "cut".to_owned() });
        }
        let Some(vm) = self.vms.iter_mut().find(|vm| vm.entry.addr == addr.addr) else {
            return Err(VmError::NotSent { reason: "no such address".to_owned() });
        };
        if vm.refuses || now < vm.refuses_until || vm.table.is_crashing(now) {
            return Err(VmError::NotSent { reason: "refused".to_owned() });
        }
        if vm.unreachable_until > now && vm.cut_port == LostPort::Refusing {
            return Err(VmError::NotSent { reason: "refused by the cut".to_owned() });
        }
        if vm.unreachable_until > now || vm.down_until.is_some() {
            return Err(VmError::NoAnswer { reason: "cut".to_owned() });
        }
        if !vm.entry.id.is_same_vm(&addr.id) {
            return Err(VmError::InstanceChanged { successor: None });
        }
        if let (Action::Start { req, .. }, Some(permits)) = (action, &mut self.permits)
            && !permits.check(
                now,
                req.task.step_ref(),
                &VmId::new(addr.id.registered()),
                req.permit.as_ref(),
            )
        {
            return Err(VmError::NoPermit);
        }
        match action {
            Action::Poll { req, .. } => {
                if vm.table.has_end(now, vm.listed_ends, req.ack_up_to) {
                    self.unread_ends.push(vm.entry.id.clone());
                }
                let mut answer = vm.table.poll(now, req)?;
                if let Some(tails) = &mut self.tails {
                    tails.measure(now, &mut answer.running);
                }
                if vm.entry.id != addr.id {
                    return Err(VmError::InstanceChanged { successor: Some(vm.entry.id.clone()) });
                }
                Ok(VmResponse::Polled(answer))
            }
            Action::Start { req, .. } => {
                let clock = vm.table.start(now, req)?;
                let step = req.task.step_ref();
                let beside = vm.table.runs(now);
                let of_step = beside.iter().filter(|(task, ..)| task.step_ref() == step).count();
                let (labels, req) = (vm.entry.labels.clone(), req.clone());
                self.starts.push(Start { labels, of_step, req });
                Ok(VmResponse::Clock(clock))
            }
            Action::Stop { req, .. } => vm.table.stop(now, req).map(VmResponse::Clock),
            Action::Pace { req, .. } => vm.table.set_pace(now, req).map(VmResponse::Clock),
            _ => Err(VmError::Malformed { status: 400 }),
        }
    }

    fn commit(&mut self, number: u64, seq: u64, earlier_active: Duration, txn: Txn) {
        if self.partition.as_ref().is_some_and(|(owner, _)| *owner == number) {
            // The sender repeats it until it is answered.
            self.partitioned_commit = Some((seq, earlier_active, txn));
            return;
        }
        let cut_until = self.owners.iter().find(|owner| owner.number == number);
        let cut_until = cut_until.map_or(Duration::ZERO, |owner| owner.cut_until);
        if self.now < cut_until {
            let wait = cut_until - self.now + NETWORK_DELAY;
            self.schedule(wait, Delivery::Commit { number, seq, earlier_active, txn });
            return;
        }
        if self.commits_cut_off && self.now < self.store_down_until {
            let wait = self.store_down_until - self.now + NETWORK_DELAY;
            self.schedule(wait, Delivery::Commit { number, seq, earlier_active, txn });
            return;
        }
        if self.now < self.store_down_until {
            let wait = self.store_down_until - self.now + NETWORK_DELAY;
            self.schedule(wait, Delivery::Owner { number, event: Event::Tick });
        }
        let Some(owner) = self.owners.iter_mut().find(|owner| owner.number == number) else {
            return;
        };
        let keys = Keys::new(&owner.name);
        let fence = owner.shard.fence();
        let head = owner.head.commit(fence.0, seq, earlier_active);
        let mut whole = head_txn(&keys, &head, owner.rev);
        whole.conditions.extend(txn.conditions);
        whole.puts.extend(txn.puts);
        whole.deletes = txn.deletes;
        let delay = self.store_down_until.saturating_sub(self.now);
        let result = match self.kv.commit(&whole) {
            Ok(rev) => {
                self.heads_written.insert(owner.name.to_string(), self.now);
                owner.head = head;
                owner.rev = rev;
                self.proofs.insert(number, self.now);
                CommitResult::Durable
            }
            Err(Error::Conflict { items }) => {
                if items[0].rev == owner.rev {
                    let known = items.iter().skip(1).filter(|item| item.rev != Rev::ABSENT);
                    let id = |key: &str| key.rsplit('/').next()?.parse().ok();
                    CommitResult::JobExists(known.filter_map(|item| id(&item.key)).collect())
                } else {
                    owner.unaware = true;
                    CommitResult::Superseded(WriteOutcome::No)
                }
            }
            Err(Error::Rejected { reason }) => CommitResult::Rejected { reason },
            Err(e) => panic!("the store refused a commit: {e}"),
        };
        let lost = matches!(result, CommitResult::Superseded(_));
        let event = Event::Committed { seq, result };
        self.schedule(delay + 5 * NETWORK_DELAY, Delivery::Owner { number, event });
        if lost {
            // The owner learns of the loss from the result; until then it continues.
            let unaware = self.owners.iter_mut().find(|owner| owner.number == number);
            if let Some(owner) = unaware {
                owner.unaware = true;
            }
        }
    }
}

/// Asks the permit service with registered ids.
fn ask_permits(table: &mut PermitTable, now: Duration, req: &PermitReq) -> PermitResp {
    let registered = |vm: &VmId| VmId::new(vm.registered());
    let asked = PermitReq { vms: req.vms.iter().map(registered).collect(), ..req.clone() };
    let mut answer = table.ask(now, &asked);
    for (vm, _) in &mut answer.permits {
        let instance = req.vms.iter().find(|instance| registered(instance) == *vm);
        *vm = instance.expect("the VM was asked about").clone();
    }
    answer
}

/// A poll of the VM that a stop command goes to, which changes nothing there.
fn empty_poll(action: &Action) -> Action {
    let Action::Stop { vm, req } = action else { unreachable!("only stop commands are ignored") };
    let req = PollReq { fence: req.fence, ack_up_to: 0, keep_until: None, wait: Duration::ZERO };
    Action::Poll { vm: vm.clone(), req }
}

enum VmResponse {
    Polled(waxwingstall::vm::PollResp),
    Clock(waxwingstall::vm::VmTime),
}

fn response_event(action: Action, sent: Duration, result: Result<VmResponse, VmError>) -> Event {
    let clock = |result: Result<VmResponse, VmError>| {
        result.map(|answer| match answer {
            VmResponse::Clock(clock) => clock,
            VmResponse::Polled(looked) => looked.clock,
        })
    };
    match action {
        Action::Poll { vm, .. } => {
            let result = result.map(|answer| match answer {
                VmResponse::Polled(looked) => looked,
                VmResponse::Clock(_) => unreachable!("a poll gets the response to a poll"),
            });
            Event::Polled { vm: vm.id, sent, result }
        }
        Action::Start { vm, req } => {
            Event::Started { vm: vm.id, task: req.task, run: req.run, result: clock(result) }
        }
        Action::Stop { vm, req } => {
            Event::Stopped { vm: vm.id, task: req.task, run: req.run, result: clock(result) }
        }
        Action::Pace { vm, req } => Event::Paced {
            vm: vm.id,
            task: req.task,
            run: req.run,
            percent: req.percent,
            result: clock(result),
        },
        _ => unreachable!("only commands get a response"),
    }
}

/// Time after which the sender of a command gives up on the response.
fn call_timeout(_: &Action) -> Duration {
    CALL_TIMEOUT
}

fn poll_wait(action: &Action) -> Duration {
    // A poll is evaluated at once and answered late, so its result is slightly out of date.
    if let Action::Poll { req, .. } = action {
        req.wait.min(Duration::from_millis(80))
    } else {
        Duration::ZERO
    }
}

fn addr_of(action: &Action) -> VmAddr {
    match action {
        Action::Poll { vm, .. }
        | Action::Start { vm, .. }
        | Action::Stop { vm, .. }
        | Action::Pace { vm, .. } => vm.clone(),
        _ => unreachable!("only commands go to VMs"),
    }
}

fn head_txn(keys: &Keys, head: &Head, rev: Rev) -> Txn {
    Txn {
        conditions: vec![Condition { key: keys.head(), rev }],
        puts: vec![Put { key: keys.head(), value: head.encode().into(), lease: None }],
        deletes: Vec::new(),
    }
}

fn queue(name: &str, priority: u32) -> Queue {
    Queue {
        name: QueueName::new(name),
        host: "builds.example".to_owned(),
        prefix: format!("/{name}/"),
        service: ServiceName::new(SERVICE),
        timeout: Duration::from_secs(3),
        terms: Terms {
            priority,
            attempts: 3,
            target_stretch: 2.0,
            target_latency: Duration::from_secs(1),
            permits: None,
        },
    }
}

fn queues() -> Queues {
    let queues = [queue(QUEUE, 0), queue(LOW_QUEUE, 2)];
    let queues = queues.map(|queue| (queue.name.clone(), queue)).into_iter().collect();
    Queues { version: 1, queues, ..Queues::default() }
}

/// How long ended jobs are shown; no simulation of random faults takes longer.
pub const SHOW_FOR: Duration = Duration::from_secs(300);

fn settings(max_keep: Duration) -> Settings {
    Settings { max_keep, show_for: SHOW_FOR, ..Settings::default() }
}

/// Offset of a VM's clock before its first restart.
const CLOCK_OFFSET: Duration = Duration::from_secs(1000);

/// Time by which the clock of each next instance of a VM is behind the one before.
const CLOCK_SETBACK: Duration = Duration::from_secs(40);

fn run_settings(max_keep: Duration, restarts: u32) -> RunSettings {
    let clock_offset = CLOCK_OFFSET.saturating_sub(restarts * CLOCK_SETBACK);
    RunSettings { max_keep, clock_offset, ..RunSettings::default() }
}
