//! Shards, VMs and the store together, in a time that the test moves.
//!
//! Owners are the product's own shards; VMs and the store are the stand-ins' tables. Messages
//! between them take time, and faults decide what becomes of each.

use crate::faults::{Fate, Faults};
use indexmap::IndexMap;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use waxwingstall::cluster::Head;
use waxwingstall::ids::{DaemonId, DomainId, RackId, ServiceName, Ticket, VmId};
use waxwingstall::job::progress::{Progress, decode, encode};
use waxwingstall::job::{Job, JobId, QueueName, StepRef};
use waxwingstall::kv::{Condition, Error, More, Put, Rev, Txn};
use waxwingstall::note::Note;
use waxwingstall::permit::{self, PermitReq};
use waxwingstall::queues::{PermitTimes, Queue, Queues};
use waxwingstall::shard::{
    Action, Announcements, Answer, CommitResult, Event, Keys, Landed, Lapse, Neighbour, Now,
    Previous, Recovered, Settings, Shard, ToldLapse, Urge, VacateOrder,
};
use waxwingstall::units::Resources;
use waxwingstall::vm::{Error as VmError, Fence, VmAddr, VmEntry, VmState};
use waxwingstall_standin::permits::PermitTable;
use waxwingstall_standin::runs::{RunSettings, RunTable};
use waxwingstall_standin::txns::TxnTable;

/// The only queue and service.
pub const QUEUE: &str = "builds";
pub const SERVICE: &str = "shop";

/// Time from one end to the other.
const HOP: Duration = Duration::from_millis(1);
const TICK: Duration = Duration::from_millis(20);
const FLEET_EVERY: Duration = Duration::from_millis(400);
/// Time after which a call counts as unanswered.
const CALL_TIMEOUT: Duration = Duration::from_millis(350);
/// Between two announcements of a VM.
pub const BEAT: Duration = Duration::from_millis(1500);
/// Time that a VM is down after something there crashed it.
const CRASH_DOWN: Duration = Duration::from_secs(3);
/// Times of the service that permits steps.
const PERMIT_TIMES: PermitTimes = PermitTimes {
    question: Duration::from_millis(20),
    each_vm: Duration::from_millis(2),
    valid: Duration::from_secs(3),
};
/// Time of day at the world's origin.
const EPOCH: Duration = Duration::from_secs(1_700_000_000);

/// A VM in one of its lives.
pub struct VmNode {
    pub table: RunTable,
    pub entry: VmEntry,
    pub shard: Arc<str>,
    /// Nobody reaches it until then; it runs on.
    pub cut_until: Duration,
    pub down_until: Option<Duration>,
    /// While it is down: its port refuses connections.
    refuses: bool,
    /// Its sizes, and since when it has had each; the last is announced a beat later.
    pub sizes: Vec<(Duration, Resources)>,
    lives: u32,
}

/// An owner of a shard, present or past.
struct Owner {
    number: u64,
    name: Arc<str>,
    shard: Shard,
    head: Head,
    rev: Rev,
    /// It stands still until then.
    paused_until: Duration,
    /// It owns the shard as far as it knows.
    unaware: bool,
}

enum Delivery {
    // To whom.
    Owner {
        number: u64,
        event: Event,
    },
    Shard {
        shard: Arc<str>,
        event: Event,
    },
    /// An order that comes late.
    Vm {
        number: u64,
        action: Action,
    },
}

/// Everything.
pub struct World<F> {
    pub now: Duration,
    pub faults: F,
    pub kv: TxnTable,
    /// Set where the queue's steps need permits.
    pub permits: Option<PermitTable>,
    pub vms: Vec<VmNode>,
    /// Lives of VMs that are over.
    pub past: Vec<RunTable>,
    /// Crashes of VMs so far.
    pub crashes: usize,
    /// Jobs whose tasks end together when one of them crashes its VM.
    pub groups: Vec<JobId>,
    pub answers: IndexMap<Ticket, Answer>,
    /// The store takes nothing until then.
    pub store_down_until: Duration,
    /// Announced beside the VMs that are there.
    pub announced_beside: Vec<VmEntry>,
    /// What each shard said of its state last.
    pub states: IndexMap<Arc<str>, Note>,
    owners: Vec<Owner>,
    next_owner: u64,
    deliveries: BTreeMap<(Duration, u64), Delivery>,
    next_delivery: u64,
    next_ticket: u64,
    next_fleet: Duration,
    store_back: Duration,
    /// Nobody can read the list of VMs until then, though the store takes commits.
    list_unread_until: Duration,
    /// What the next owner knows of the VMs, if that is old.
    old_list: Option<Vec<VmEntry>>,
    queues: Arc<Queues>,
    /// What owners told last of silent VMs, and when.
    told: IndexMap<Arc<str>, (Duration, Vec<ToldLapse>)>,
    /// Owners' news are lost from then on.
    news_lost_from: Duration,
    traced: bool,
}

impl<F: Faults> World<F> {
    /// A world of these shards with so many VMs each.
    pub fn new(faults: F, shards: &[&str], vms: usize, size: Resources) -> Self {
        let mut world = Self {
            now: Duration::from_secs(5),
            faults,
            kv: TxnTable::new(),
            permits: None,
            vms: Vec::new(),
            past: Vec::new(),
            crashes: 0,
            groups: Vec::new(),
            answers: IndexMap::new(),
            store_down_until: Duration::ZERO,
            announced_beside: Vec::new(),
            states: IndexMap::new(),
            owners: Vec::new(),
            next_owner: 0,
            deliveries: BTreeMap::new(),
            next_delivery: 0,
            next_ticket: 0,
            next_fleet: Duration::ZERO,
            store_back: Duration::ZERO,
            list_unread_until: Duration::ZERO,
            old_list: None,
            told: IndexMap::new(),
            news_lost_from: Duration::MAX,
            queues: Arc::new(queues()),
            traced: std::env::var_os("SHARD_TRACE").is_some(),
        };
        for shard in shards {
            for number in 0..vms {
                world.add_vm(shard, number, size);
            }
        }
        shards.iter().for_each(|shard| world.claim(shard, Previous::Ended));
        world
    }

    /// The queue's steps need permits from now on.
    pub fn with_permits(mut self, table: PermitTable) -> Self {
        let mut queues = (*self.queues).clone();
        queues.version += 1;
        for queue in queues.queues.values_mut() {
            queue.permits = Some(PERMIT_TIMES);
        }
        self.queues = Arc::new(queues);
        self.permits = Some(table);
        let numbers: Vec<u64> = self.owners.iter().map(|owner| owner.number).collect();
        for number in numbers {
            self.step(number, Event::Queues(self.queues.clone()));
        }
        self
    }

    /// Hands a job in; the ticket names the answer.
    pub fn submit(&mut self, shard: &str, job: Job) -> Ticket {
        let ticket = self.ticket();
        let job = Arc::new(Job { accepted: EPOCH + self.now, ..job });
        let event = Event::Submit { ticket, job, urge: Urge::Always };
        self.call(shard, event);
        ticket
    }

    /// Gives a job up.
    pub fn cancel(&mut self, shard: &str, job: JobId) -> Ticket {
        let ticket = self.ticket();
        self.call(shard, Event::Cancel { ticket, job });
        ticket
    }

    /// Asks for a job's state, and lets time pass until the answer is there.
    pub fn show(&mut self, shard: &str, job: JobId) -> Option<Answer> {
        let ticket = self.ticket();
        self.call(shard, Event::Show { ticket, job });
        self.run_for(Duration::from_millis(100));
        self.answers.get(&ticket).cloned()
    }

    /// Lets time pass.
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

    /// The next owner of a shard will have read the list of its VMs at this moment.
    pub fn read_list_early(&mut self, shard: &str) {
        self.old_list = Some(self.fleet_of(shard));
    }

    /// Nobody can read the list of VMs for a while; everything else goes on.
    pub fn stop_list(&mut self, time: Duration) {
        self.list_unread_until = self.now + time;
    }

    /// The shard's owner is told of the VMs, by a list that was asked for then.
    pub fn hear_list(&mut self, shard: &str, asked: Duration) {
        let vms = self.fleet_of(shard);
        let event = Event::Fleet { vms, announcements: Announcements::Complete, at: Some(asked) };
        self.call(shard, event);
    }

    /// Nobody hears of what owners tell from now on.
    pub fn lose_news(&mut self) {
        self.news_lost_from = self.now;
    }

    /// The shard's owner ends without a word, and another takes over.
    pub fn replace_owner(&mut self, shard: &str) {
        self.owners.retain(|owner| &*owner.name != shard);
        self.claim(shard, Previous::Ended);
    }

    /// The shard's owner ends without a word, and another takes over that hasn't read the queues yet.
    pub fn replace_owner_unconfigured(&mut self, shard: &str) {
        let known = std::mem::take(&mut self.queues);
        self.replace_owner(shard);
        self.queues = known;
    }

    /// The shard's owner reads the queues.
    pub fn configure(&mut self, shard: &str) {
        self.call(shard, Event::Queues(self.queues.clone()));
    }

    /// The shard's owner gives it away as planned.
    pub fn hand_over(&mut self, shard: &str) {
        let owner = self.owners.iter().rev().find(|owner| &*owner.name == shard);
        let lapses = owner.expect("the shard has an owner").shard.lapses();
        self.owners.retain(|owner| &*owner.name != shard);
        self.claim_with(shard, Previous::Ended, lapses);
    }

    /// The shard's owner stands still for a while, and another takes over meanwhile.
    pub fn pause_owner(&mut self, shard: &str, time: Duration) {
        let until = self.now + time;
        for owner in self.owners.iter_mut().filter(|owner| &*owner.name == shard) {
            owner.paused_until = until;
        }
        self.claim(shard, Previous::Unsure);
    }

    /// Tasks that run on a VM.
    pub fn runs_on(&mut self, index: usize) -> usize {
        let now = self.now;
        self.vms[index].table.runs(now).len()
    }

    /// A VM dies and comes back empty after a while.
    pub fn crash_vm(&mut self, index: usize, down: Duration) {
        let now = self.now;
        let vm = &mut self.vms[index];
        if vm.down_until.is_some() {
            return;
        }
        vm.table.crash(now);
        vm.down_until = Some(now + down);
        self.crashes += 1;
    }

    /// Ends the other members of a group.
    fn break_off(&mut self, step: StepRef) {
        if self.groups.contains(&step.job) {
            let now = self.now;
            self.vms.iter_mut().for_each(|vm| vm.table.break_off(now, step));
        }
    }

    /// VMs that are crashed by what runs there.
    fn crash_vms(&mut self) {
        for index in 0..self.vms.len() {
            if self.vms[index].table.is_crashing(self.now) {
                let there = self.vms[index].table.runs(self.now);
                self.crash_vm(index, CRASH_DOWN);
                self.vms[index].refuses = true;
                there.iter().for_each(|(task, ..)| self.break_off(task.of_step()));
            }
        }
    }

    /// A VM can't be reached for a while, and runs on.
    pub fn cut_vm(&mut self, index: usize, time: Duration) {
        self.vms[index].cut_until = self.now + time;
    }

    /// A VM announces that it leaves after this time.
    pub fn leave_vm(&mut self, index: usize, left: Duration) {
        self.vms[index].entry.state = VmState::Leaving { left: Some(left) };
    }

    /// A VM has another size from now on, and announces it a beat later.
    pub fn resize_vm(&mut self, index: usize, size: Resources) {
        self.vms[index].sizes.push((self.now, size));
    }

    /// A VM is to be empty from now on.
    pub fn vacate(&mut self, shard: &str, index: usize, patience: Duration) {
        let vms = vec![self.vms[index].entry.id.clone()];
        let order = VacateOrder { vms, later: Vec::new(), patience };
        self.call(shard, Event::Vacate(order));
    }

    /// The VMs that a shard says are empty.
    pub fn vacated(&self, shard: &str) -> Vec<VmId> {
        let owner = self.owners.iter().rev().find(|owner| &*owner.name == shard);
        owner.expect("the shard has an owner").shard.vacated()
    }

    /// The store takes nothing for a while.
    pub fn stop_store(&mut self, time: Duration) {
        self.store_down_until = self.now + time;
    }

    fn add_vm(&mut self, shard: &str, number: usize, size: Resources) {
        let addr = format!("{shard}:{number}");
        let id = VmId::new(&format!("{addr}/0"));
        let entry = VmEntry {
            id: id.clone(),
            service: ServiceName::new(SERVICE),
            domain: DomainId::new(shard),
            rack: RackId::new(shard),
            labels: Vec::new(),
            size,
            state: VmState::Ready,
            addr: Arc::from(addr.as_str()),
        };
        self.vms.push(VmNode {
            table: RunTable::new(id, run_settings()),
            entry,
            shard: Arc::from(shard),
            cut_until: Duration::ZERO,
            down_until: None,
            refuses: false,
            sizes: vec![(Duration::ZERO, size)],
            lives: 0,
        });
    }

    fn ticket(&mut self) -> Ticket {
        self.next_ticket += 1;
        Ticket(self.next_ticket)
    }

    fn call(&mut self, shard: &str, event: Event) {
        let shard = Arc::from(shard);
        self.later(HOP, Delivery::Shard { shard, event });
    }

    fn later(&mut self, after: Duration, delivery: Delivery) {
        self.next_delivery += 1;
        self.deliveries.insert((self.now + after, self.next_delivery), delivery);
    }

    /// A new owner takes a shard: what an owner's claim does, in one step.
    fn claim(&mut self, name: &str, previous: Previous) {
        self.claim_with(name, previous, Vec::new());
    }

    fn claim_with(&mut self, name: &str, previous: Previous, lapses: Vec<Lapse>) {
        let keys = Keys::new(name);
        let present = self.kv.get(&keys.head());
        let before: Option<Head> =
            present.as_ref().map(|item| decode(&item.value).expect("a head"));
        self.next_owner += 1;
        let id = DaemonId::new(&format!("daemon@{}", self.next_owner));
        let head = Head::claim(id, before.as_ref());
        let condition = present.map_or(Rev::ABSENT, |item| item.rev);
        let rev = self.kv.commit(&head_txn(&keys, &head, condition)).expect("nobody else claims");
        let jobs = self.read_all(&keys.jobs());
        let progress = self.read_all(&keys.all_progress());
        let recovered = Recovered {
            shard: name.to_owned(),
            fence: Fence(rev.0),
            seq: head.seq,
            previous,
            predecessor: head.before.as_ref().map(|before| before.owner.clone()),
            lapses,
            silent: self
                .kv
                .get(&keys.silence())
                .map_or(Vec::new(), |item| decode(&item.value).expect("silent VMs")),
            told: self.told_of(name),
            jobs: jobs.iter().map(|(_, v)| Arc::new(decode::<Job>(v).expect("a job"))).collect(),
            progress: progress
                .iter()
                .map(|(key, v)| {
                    let id = key.rsplit('/').next().expect("a key");
                    (id.parse().expect("a job id"), Progress::decode(v).expect("progress"))
                })
                .collect(),
        };
        let fleet = self.old_list.take().unwrap_or_else(|| self.fleet_of(name));
        let now = self.both_clocks();
        let shard = Shard::new(recovered, settings(), self.queues.clone(), fleet, now);
        self.owners.push(Owner {
            number: self.next_owner,
            name: Arc::from(name),
            shard,
            head,
            rev,
            paused_until: Duration::ZERO,
            unaware: false,
        });
    }

    fn told_of(&self, name: &str) -> Vec<ToldLapse> {
        let Some((at, told)) = self.told.get(name) else { return Vec::new() };
        let passed = self.now - *at;
        told.iter().map(|told| told.clone().aged(passed)).collect()
    }

    fn hear_lapses(&mut self) {
        if self.now >= self.news_lost_from {
            return;
        }
        for owner in &self.owners {
            if self.now >= owner.paused_until && !owner.unaware {
                let told = owner.shard.told_lapses(self.now);
                self.told.insert(owner.name.clone(), (self.now, told));
            }
        }
    }

    fn read_all(&mut self, prefix: &str) -> Vec<(String, bytes::Bytes)> {
        let page = self.kv.range(prefix, None);
        assert_eq!(page.more, More::No, "tests stay within one page");
        page.items.into_iter().map(|item| (item.key, item.value)).collect()
    }

    fn fleet_of(&self, shard: &str) -> Vec<VmEntry> {
        let ours = self.vms.iter().filter(|vm| &*vm.shard == shard && vm.down_until.is_none());
        let ours = ours.map(|vm| vm.entry.clone());
        let beside = self.announced_beside.iter().filter(|vm| vm.domain.as_str() == shard);
        ours.chain(beside.cloned()).collect()
    }

    fn both_clocks(&self) -> Now {
        Now { steady: self.now, wall: EPOCH + self.now }
    }

    fn tick(&mut self) {
        self.crash_vms();
        self.revive_vms();
        self.announce_sizes();
        if self.now >= self.next_fleet {
            self.next_fleet = self.now + FLEET_EVERY;
            self.tell_fleet();
            self.hear_lapses();
        }
        let numbers: Vec<u64> = self.owners.iter().map(|owner| owner.number).collect();
        for number in numbers {
            self.step(number, Event::Tick);
        }
    }

    fn announce_sizes(&mut self) {
        let now = self.now;
        for vm in &mut self.vms {
            let told = vm.sizes.iter().rev().find(|(at, _)| *at + BEAT <= now);
            vm.entry.size = told.map_or(vm.entry.size, |(_, size)| *size);
        }
    }

    fn revive_vms(&mut self) {
        let now = self.now;
        for vm in &mut self.vms {
            if vm.down_until.is_none_or(|until| now < until) {
                continue;
            }
            vm.down_until = None;
            vm.refuses = false;
            vm.lives += 1;
            let id = VmId::new(&format!("{}/{}", vm.entry.addr, vm.lives));
            vm.entry.id = id.clone();
            self.past.push(std::mem::replace(&mut vm.table, RunTable::new(id, run_settings())));
        }
    }

    fn tell_fleet(&mut self) {
        if self.now < self.store_down_until {
            self.store_back = self.now;
            return;
        }
        if self.now < self.list_unread_until {
            return;
        }
        let back = self.now.saturating_sub(self.store_back) < Duration::from_secs(3);
        let announcements = if back { Announcements::Recovering } else { Announcements::Complete };
        let owners: Vec<(u64, Arc<str>)> =
            self.owners.iter().map(|owner| (owner.number, owner.name.clone())).collect();
        for (number, name) in owners {
            let vms = self.fleet_of(&name);
            self.step(number, Event::Fleet { vms, announcements, at: Some(self.now) });
            let neighbours = self.neighbours(&name);
            self.step(number, Event::Neighbours(neighbours));
        }
    }

    fn neighbours(&self, name: &str) -> Vec<Neighbour> {
        let others = self.owners.iter().filter(|owner| &*owner.name != name && !owner.unaware);
        others
            .map(|owner| Neighbour {
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
                // The last owner is the one that others know.
                let owner = self.owners.iter().rev().find(|owner| owner.name == shard);
                if let Some(number) = owner.map(|owner| owner.number) {
                    self.step(number, event);
                }
            }
            Delivery::Vm { number, action } => {
                // Nobody waits for the answer any more.
                let _ = self.carry_out(number, &action);
            }
        }
    }

    fn step(&mut self, number: u64, event: Event) {
        let now = self.both_clocks();
        let Some(owner) = self.owners.iter_mut().find(|owner| owner.number == number) else {
            return;
        };
        if owner.paused_until > self.now {
            if !matches!(event, Event::Tick | Event::Fleet { .. } | Event::Neighbours(_)) {
                let after = owner.paused_until - self.now;
                self.later(after, Delivery::Owner { number, event });
            }
            return;
        }
        let name = owner.name.clone();
        for action in owner.shard.step(now, event) {
            self.act(number, &name, action);
        }
    }

    fn act(&mut self, number: u64, name: &Arc<str>, action: Action) {
        match action {
            Action::Look { .. }
            | Action::Start { .. }
            | Action::Stop { .. }
            | Action::Pace { .. } => self.order(number, action),
            Action::Ask(req) => self.ask(number, &req),
            Action::Commit { seq, txn } => self.commit(number, seq, txn),
            Action::Reply { ticket, answer } => {
                self.answers.insert(ticket, answer);
            }
            Action::Tell { to, fence, msg } => {
                if self.traced {
                    println!("{:?} {name}#{number} tells {to} {fence:?} {msg:?}", self.now);
                }
                let event = Event::Message { from: name.clone(), to: fence, msg };
                match self.faults.meet_message(self.now) {
                    Fate::Lost | Fate::AnswerLost => {}
                    Fate::Late(by) => self.later(by, Delivery::Shard { shard: to, event }),
                    Fate::Done => self.later(HOP, Delivery::Shard { shard: to, event }),
                }
            }
            Action::Fenced => self.retire(number),
            Action::Note(note) => {
                self.trace(number, name, &note);
                if matches!(note, Note::ShardState { .. }) {
                    self.states.insert(name.clone(), note);
                }
            }
            Action::HandedOver => {}
        }
    }

    /// Prints the owners' log lines where `SHARD_TRACE` is set.
    fn trace(&self, number: u64, name: &str, note: &Note) {
        if self.traced {
            let mut line = String::new();
            note.push_pairs(&mut line);
            println!("{:?} {name}#{number} {}{line}", self.now, note.kind().event);
        }
    }

    fn ask(&mut self, number: u64, req: &PermitReq) {
        let (sent, step, vms) = (self.now, req.step, req.vms.clone());
        let named = u32::try_from(vms.len()).expect("a hundred at the most");
        let mut after = 2 * HOP + PERMIT_TIMES.question + PERMIT_TIMES.each_vm * named;
        let result = match self.faults.meet_message(sent) {
            Fate::Done => {
                let table = self.permits.as_mut().expect("nobody asks without need");
                Ok(table.ask(sent, req))
            }
            Fate::Lost | Fate::AnswerLost | Fate::Late(_) => {
                after = req.timeout;
                Err(permit::Error::NoAnswer { reason: "lost".to_owned() })
            }
        };
        let event = Event::Permitted { step, vms, sent, result };
        self.later(after, Delivery::Owner { number, event });
    }

    fn retire(&mut self, number: u64) {
        self.owners.retain(|owner| owner.number != number);
    }

    fn order(&mut self, number: u64, action: Action) {
        let fate = self.faults.meet_order(self.now, &action);
        let sent = self.now;
        let unanswered = || VmError::NoAnswer { reason: "lost".to_owned() };
        let result = match fate {
            Fate::Done => self.carry_out(number, &action),
            Fate::AnswerLost => {
                let _ = self.carry_out(number, &action);
                Err(unanswered())
            }
            Fate::Lost => Err(unanswered()),
            Fate::Late(by) => {
                self.later(by, Delivery::Vm { number, action: action.clone() });
                Err(unanswered())
            }
        };
        let after = match &result {
            Err(VmError::NoAnswer { .. }) => CALL_TIMEOUT,
            Err(VmError::NotSent { .. }) => 2 * HOP,
            _ => 2 * HOP + wait_of(&action),
        };
        let event = answer(action, sent, result);
        self.later(after, Delivery::Owner { number, event });
    }

    fn carry_out(&mut self, _: u64, action: &Action) -> Result<VmAnswer, VmError> {
        let now = self.now;
        let addr = addr_of(action);
        let Some(vm) = self.vms.iter_mut().find(|vm| vm.entry.addr == addr.addr) else {
            return Err(VmError::NotSent { reason: "no such address".to_owned() });
        };
        if vm.refuses || vm.table.is_crashing(now) {
            return Err(VmError::NotSent { reason: "refused".to_owned() });
        }
        if vm.cut_until > now || vm.down_until.is_some() {
            return Err(VmError::NoAnswer { reason: "cut".to_owned() });
        }
        if vm.entry.id != addr.id {
            return Err(VmError::OtherLife);
        }
        if let (Action::Start { req, .. }, Some(permits)) = (action, &mut self.permits)
            && !permits.check(now, req.task.of_step(), &addr.id, req.permit.as_ref())
        {
            return Err(VmError::NoPermit);
        }
        match action {
            Action::Look { req, .. } => vm.table.look(now, req).map(VmAnswer::Looked),
            Action::Start { req, .. } => vm.table.start(now, req).map(VmAnswer::Clock),
            Action::Stop { req, .. } => vm.table.stop(now, req).map(VmAnswer::Clock),
            Action::Pace { req, .. } => vm.table.pace(now, req).map(VmAnswer::Clock),
            _ => Err(VmError::Malformed { status: 400 }),
        }
    }

    fn commit(&mut self, number: u64, seq: u64, txn: Txn) {
        if self.now < self.store_down_until {
            let wait = self.store_down_until - self.now + HOP;
            self.later(wait, Delivery::Owner { number, event: Event::Tick });
        }
        let Some(owner) = self.owners.iter_mut().find(|owner| owner.number == number) else {
            return;
        };
        let keys = Keys::new(&owner.name);
        let fence = owner.shard.fence();
        let head = owner.head.commit(fence.0, seq);
        let mut whole = head_txn(&keys, &head, owner.rev);
        whole.conditions.extend(txn.conditions);
        whole.puts.extend(txn.puts);
        whole.deletes = txn.deletes;
        let delay = self.store_down_until.saturating_sub(self.now);
        let result = match self.kv.commit(&whole) {
            Ok(rev) => {
                owner.head = head;
                owner.rev = rev;
                CommitResult::Durable
            }
            Err(Error::Conflict { items }) => {
                if items[0].rev == owner.rev {
                    let known = items.iter().skip(1).filter(|item| item.rev != Rev::ABSENT);
                    let id = |key: &str| key.rsplit('/').next()?.parse().ok();
                    CommitResult::JobExists(known.filter_map(|item| id(&item.key)).collect())
                } else {
                    owner.unaware = true;
                    CommitResult::Superseded(Landed::No)
                }
            }
            Err(e) => panic!("the store refused a commit: {e}"),
        };
        let lost = matches!(result, CommitResult::Superseded(_));
        let event = Event::Committed { seq, result };
        self.later(delay + 5 * HOP, Delivery::Owner { number, event });
        if lost {
            // It hears of it with the answer; until then it goes on.
            let unaware = self.owners.iter_mut().find(|owner| owner.number == number);
            if let Some(owner) = unaware {
                owner.unaware = true;
            }
        }
    }
}

enum VmAnswer {
    Looked(waxwingstall::vm::LookResp),
    Clock(waxwingstall::vm::VmTime),
}

fn answer(action: Action, sent: Duration, result: Result<VmAnswer, VmError>) -> Event {
    let clock = |result: Result<VmAnswer, VmError>| {
        result.map(|answer| match answer {
            VmAnswer::Clock(clock) => clock,
            VmAnswer::Looked(looked) => looked.clock,
        })
    };
    match action {
        Action::Look { vm, .. } => {
            let result = result.map(|answer| match answer {
                VmAnswer::Looked(looked) => looked,
                VmAnswer::Clock(_) => unreachable!("a look is answered by a look"),
            });
            Event::Looked { vm: vm.id, sent, result }
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
        _ => unreachable!("only orders are answered"),
    }
}

fn wait_of(action: &Action) -> Duration {
    // A look is taken at once and answered late: what it tells is a little old.
    if let Action::Look { req, .. } = action {
        req.wait.min(Duration::from_millis(80))
    } else {
        Duration::ZERO
    }
}

fn addr_of(action: &Action) -> VmAddr {
    match action {
        Action::Look { vm, .. }
        | Action::Start { vm, .. }
        | Action::Stop { vm, .. }
        | Action::Pace { vm, .. } => vm.clone(),
        _ => unreachable!("only orders go to VMs"),
    }
}

fn head_txn(keys: &Keys, head: &Head, rev: Rev) -> Txn {
    Txn {
        conditions: vec![Condition { key: keys.head(), rev }],
        puts: vec![Put { key: keys.head(), value: encode(head).into(), lease: None }],
        deletes: Vec::new(),
    }
}

fn queues() -> Queues {
    let queue = Queue {
        name: QueueName::new(QUEUE),
        host: "builds.example".to_owned(),
        prefix: "/builds/".to_owned(),
        service: ServiceName::new(SERVICE),
        priority: 0,
        attempts: 3,
        stretch: 2.0,
        latency: Duration::from_secs(1),
        timeout: Duration::from_secs(3),
        permits: None,
    };
    let mut queues = Queues { version: 1, ..Queues::default() };
    queues.queues.insert(queue.name.clone(), queue);
    queues
}

/// Figures of the platform in tests.
pub fn settings() -> Settings {
    Settings { max_keep: Duration::from_secs(6), ..Settings::default() }
}

fn run_settings() -> RunSettings {
    RunSettings { max_keep: Duration::from_secs(6), ..RunSettings::default() }
}
