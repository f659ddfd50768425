//! Decides which machines go down next, for the shards that one daemon owns.
//!
//! In each shard, some machines of a wave are vacated ahead of time, as many as the wave's deadline
//! requires, so that one can go down as soon as another is back. Decisions are made only with a
//! machine list and a wave record that were read recently.

use super::{Error, Machine, MachineId, MachineState, UpkeepReq, Wave, WaveRecord, WaveState};
use crate::cluster::Plan;
use crate::ids::VmId;
use crate::kv::Rev;
use crate::note::{Millis, Note};
use crate::shard::DrainOrder;
use crate::vm::Fence;
use indexmap::IndexMap;
use std::time::Duration;

/// Interval between reads of the machine list while a wave is open. Reading 500 machines takes
/// 10 ms of a daemon's CPU and a sixtieth of the platform's capacity per second.
const LIST_INTERVAL: Duration = Duration::from_millis(350);

/// Interval between reads of a wave's record.
const RECORD_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum age of a machine list or a record that decisions are based on.
const MAX_DATA_AGE: Duration = Duration::from_millis(2000);

/// Delay before an unconfirmed upkeep order is retried.
const ORDER_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Time after the answer to an order in which a list may still show the machine as up because the
/// list predates the order; the platform takes a few milliseconds for each call.
const LIST_LAG: Duration = Duration::from_millis(300);

/// Time that a machine must be missing from the list before it counts as removed.
const REMOVED_AFTER: Duration = Duration::from_secs(4);

/// A shard owned by this daemon.
#[derive(Clone, Debug)]
pub struct OwnedShard {
    pub name: String,
    pub fence: Fence,
    /// Registered ids of the VMs that have been vacated on request.
    pub vacated: Vec<VmId>,
}

/// Input of [`WaveScheduler::step`].
#[derive(Clone, Debug)]
pub enum Event {
    /// Periodic tick with the shards that this daemon owns now.
    Tick(Vec<OwnedShard>),
    /// A wave as configured by operators.
    Wave(Wave),
    Plan(Plan),
    /// The machine list, read at `sent` or later.
    Listed {
        sent: Duration,
        machines: super::Result<Vec<Machine>>,
    },
    /// A wave's record read from or written to the store.
    Recorded {
        wave: u64,
        rev: Rev,
        record: WaveRecord,
    },
    /// The record couldn't be read or written; another daemon may have changed it.
    NotRecorded {
        wave: u64,
    },
    /// Answer to [`Action::StartUpkeep`].
    UpkeepAnswered {
        wave: u64,
        machine: MachineId,
        result: super::Result<()>,
    },
}

/// Output of [`WaveScheduler::step`].
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    List,
    Read {
        wave: u64,
    },
    /// Writes a record if it is still at `rev`, and reports the wave's state to operators.
    Write {
        wave: u64,
        rev: Rev,
        record: WaveRecord,
        state: WaveState,
    },
    StartUpkeep(UpkeepReq),
    /// Vacates VMs of a shard.
    Vacate {
        shard: String,
        order: DrainOrder,
    },
    Note(Note),
}

/// State of an upkeep order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OrderState {
    InFlight,
    /// Time of the confirmation that the machine is down or has had its upkeep.
    Confirmed(Duration),
    Failed {
        retry: Duration,
    },
}

/// Whether the data about a wave is recent enough to act on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DataAge {
    Fresh,
    Stale,
}

/// A wave in progress.
struct ActiveWave {
    wave: Wave,
    since: Duration,
    record: Option<(Rev, WaveRecord)>,
    read_at: Duration,
    /// Whether a read or write of the record is in flight.
    record_in_flight: bool,
    next_read: Duration,
    upkeep_orders: IndexMap<MachineId, OrderState>,
    missing: IndexMap<MachineId, Duration>,
    closed: bool,
}

/// State machine that runs the waves.
pub struct WaveScheduler {
    holder: String,
    now: Duration,
    plan: Plan,
    waves: IndexMap<u64, ActiveWave>,
    machines: IndexMap<MachineId, Machine>,
    listed: Option<Duration>,
    listing: bool,
    next_list: Duration,
    /// Last vacate order sent to the current owner of each shard.
    last_orders: IndexMap<(String, Fence), DrainOrder>,
    actions: Vec<Action>,
}

impl WaveScheduler {
    /// Creates the state machine without waves; `holder` identifies this daemon to the platform.
    pub fn new(holder: &str) -> Self {
        Self {
            holder: holder.to_owned(),
            now: Duration::ZERO,
            plan: Plan::default(),
            waves: IndexMap::new(),
            machines: IndexMap::new(),
            listed: None,
            listing: false,
            next_list: Duration::ZERO,
            last_orders: IndexMap::new(),
            actions: Vec::new(),
        }
    }

    /// Whether any wave is unfinished.
    pub fn has_open_wave(&self) -> bool {
        self.waves.values().any(|active| !active.closed)
    }

    /// Handles an event and returns the actions to perform.
    pub fn step(&mut self, now: Duration, event: Event) -> Vec<Action> {
        self.now = now;
        match event {
            Event::Tick(shards) => self.tick(&shards),
            Event::Wave(wave) => self.handle_wave(wave),
            Event::Plan(plan) => self.plan = plan,
            Event::Listed { sent, machines } => self.handle_list(sent, machines),
            Event::Recorded { wave, rev, record } => self.handle_record(wave, rev, record),
            Event::NotRecorded { wave } => {
                if let Some(active) = self.waves.get_mut(&wave) {
                    active.record_in_flight = false;
                    active.record = None;
                    active.next_read = now;
                }
            }
            Event::UpkeepAnswered { wave, machine, result } => {
                self.handle_upkeep_answer(wave, machine, &result)
            }
        }
        std::mem::take(&mut self.actions)
    }

    fn handle_wave(&mut self, wave: Wave) {
        let (number, now) = (wave.number, self.now);
        if let Some(known) = self.waves.get_mut(&number) {
            known.closed &= known.wave == wave;
            known.wave = wave;
            return;
        }
        let (machines, max_down, within_ms) =
            (wave.machines.len(), wave.max_down, Millis(wave.time_limit));
        let active = ActiveWave {
            wave,
            since: now,
            record: None,
            read_at: now,
            record_in_flight: false,
            next_read: now,
            upkeep_orders: IndexMap::new(),
            missing: IndexMap::new(),
            closed: false,
        };
        self.waves.insert(number, active);
        let note = Note::WaveOpened { wave: number, machines, max_down, within_ms };
        self.actions.push(Action::Note(note));
    }

    fn handle_list(&mut self, sent: Duration, machines: super::Result<Vec<Machine>>) {
        self.listing = false;
        match machines {
            Ok(machines) => {
                self.machines = machines.into_iter().map(|m| (m.id.clone(), m)).collect();
                self.listed = Some(sent);
            }
            Err(e) => {
                let reason = e.to_string();
                self.actions.push(Action::Note(Note::MachinesUnknown { reason }));
            }
        }
    }

    fn handle_record(&mut self, wave: u64, rev: Rev, record: WaveRecord) {
        let Some(active) = self.waves.get_mut(&wave) else { return };
        active.log_returned(&record, self.now, &mut self.actions);
        active.record_in_flight = false;
        active.read_at = self.now;
        active.next_read = self.now + RECORD_INTERVAL;
        if record.is_complete(&active.wave) && rev != Rev::ABSENT && !active.closed {
            active.closed = true;
            let took_ms = Millis(self.now.saturating_sub(active.since));
            let machines = active.wave.machines.len();
            self.actions.push(Action::Note(Note::WaveDone { wave, machines, took_ms }));
        }
        active.record = Some((rev, record));
    }

    fn handle_upkeep_answer(&mut self, wave: u64, machine: MachineId, result: &super::Result<()>) {
        let now = self.now;
        let Some(active) = self.waves.get_mut(&wave) else { return };
        let order = match result {
            Ok(()) => OrderState::Confirmed(now),
            Err(_) => OrderState::Failed { retry: now + ORDER_RETRY_DELAY },
        };
        active.upkeep_orders.insert(machine.clone(), order);
        let note = match result {
            Ok(()) => Note::MachineDown { wave, machine },
            Err(e) => Note::UpkeepFailed { wave, machine, reason: e.to_string() },
        };
        self.actions.push(Action::Note(note));
        if *result == Err(Error::NotInWave) {
            active.next_read = now;
        }
    }

    fn tick(&mut self, shards: &[OwnedShard]) {
        let mut vacate: IndexMap<String, DrainOrder> = IndexMap::new();
        if self.has_open_wave() && !shards.is_empty() {
            self.start_reads();
            let numbers: Vec<u64> = self.waves.keys().copied().collect();
            for number in numbers {
                if self.advance_wave(number, shards, &mut vacate) == DataAge::Stale {
                    // Keep the current vacate orders until fresh data arrives.
                    return;
                }
            }
        }
        self.send_vacate_orders(shards, vacate);
    }

    fn start_reads(&mut self) {
        let now = self.now;
        if !self.listing && now >= self.next_list {
            self.listing = true;
            self.next_list = now + LIST_INTERVAL;
            self.actions.push(Action::List);
        }
        for active in self.waves.values_mut().filter(|active| !active.closed) {
            if !active.record_in_flight && now >= active.next_read {
                active.record_in_flight = true;
                active.next_read = now + RECORD_INTERVAL;
                self.actions.push(Action::Read { wave: active.wave.number });
            }
        }
    }

    /// Advances a wave for the machines of the shards owned by this daemon.
    fn advance_wave(
        &mut self,
        number: u64,
        shards: &[OwnedShard],
        vacate: &mut IndexMap<String, DrainOrder>,
    ) -> DataAge {
        let now = self.now;
        let is_fresh = |at: Duration| now.saturating_sub(at) < MAX_DATA_AGE;
        let Some(active) = self.waves.get_mut(&number).filter(|active| !active.closed) else {
            return DataAge::Fresh;
        };
        let Some(listed) = self.listed.filter(|at| is_fresh(*at)) else { return DataAge::Stale };
        let Some((rev, record)) = active.record.clone().filter(|_| is_fresh(active.read_at)) else {
            return DataAge::Stale;
        };
        let owned = OwnedMachines { plan: &self.plan, shards, machines: &self.machines };
        let mut next = record.clone();
        active.mark_returned(&owned, listed, &mut next);
        active.mark_removed(&owned, now, &mut next);
        active.reserve_slots(&owned, &mut next);
        if next != record && !active.record_in_flight {
            active.record_in_flight = true;
            let complete = next.is_complete(&active.wave);
            let state = if complete { WaveState::Done } else { WaveState::Running };
            self.actions.push(Action::Write { wave: number, rev, record: next, state });
        }
        active.order_upkeep(&owned, &record, &self.holder, now, &mut self.actions);
        active.plan_vacate(&owned, &record, now, vacate);
        DataAge::Fresh
    }

    /// Sends the shards' vacate orders that have changed.
    fn send_vacate_orders(
        &mut self,
        shards: &[OwnedShard],
        mut vacate: IndexMap<String, DrainOrder>,
    ) {
        self.last_orders.retain(|(name, fence), _| {
            shards.iter().any(|shard| shard.name == *name && shard.fence == *fence)
        });
        for shard in shards {
            let key = (shard.name.clone(), shard.fence);
            let wanted = vacate.shift_remove(&shard.name).unwrap_or_default();
            let current = self.last_orders.get(&key).cloned().unwrap_or_default();
            if current != wanted {
                self.last_orders.insert(key, wanted.clone());
                self.actions.push(Action::Vacate { shard: shard.name.clone(), order: wanted });
            }
        }
    }
}

/// Machines of the shards owned by this daemon.
struct OwnedMachines<'a> {
    plan: &'a Plan,
    shards: &'a [OwnedShard],
    machines: &'a IndexMap<MachineId, Machine>,
}

impl OwnedMachines<'_> {
    /// Looks up a machine in an owned shard, together with that shard.
    fn get(&self, id: &MachineId) -> Option<(&Machine, &OwnedShard)> {
        let machine = self.machines.get(id)?;
        let name = self.plan.shard_of_rack(&machine.domain, &machine.rack)?;
        Some((machine, self.shards.iter().find(|shard| shard.name == name)?))
    }

    /// Whether this daemon owns the first shard, and so handles machines that are in no shard.
    fn has_first_shard(&self) -> bool {
        let first = self.plan.shards().into_iter().map(|(name, _)| name).min();
        self.shards.iter().any(|shard| Some(&shard.name) == first.as_ref())
    }
}

impl ActiveWave {
    /// Marks machines as done that are back after their upkeep.
    fn mark_returned(&self, owned: &OwnedMachines<'_>, listed: Duration, next: &mut WaveRecord) {
        let down: Vec<MachineId> = next.down.keys().cloned().collect();
        for id in down {
            let Some((machine, _)) = owned.get(&id) else { continue };
            let Some(OrderState::Confirmed(at)) = self.upkeep_orders.get(&id) else { continue };
            let is_up = machine.state == MachineState::Up && machine.vm.is_some();
            if is_up && listed >= *at + LIST_LAG {
                next.down.shift_remove(&id);
                next.done.insert(id);
            }
        }
    }

    /// Logs machines whose upkeep this daemon ordered and that are now done.
    fn log_returned(&self, record: &WaveRecord, now: Duration, actions: &mut Vec<Action>) {
        let Some((_, before)) = &self.record else { return };
        for machine in record.done.difference(&before.done) {
            let Some(OrderState::Confirmed(at)) = self.upkeep_orders.get(machine) else { continue };
            let (wave, machine) = (self.wave.number, machine.clone());
            let took_ms = Millis(now.saturating_sub(*at));
            actions.push(Action::Note(Note::MachineBack { wave, machine, took_ms }));
        }
    }

    /// Marks machines as done that the platform no longer lists.
    fn mark_removed(&mut self, owned: &OwnedMachines<'_>, now: Duration, next: &mut WaveRecord) {
        for id in &self.wave.machines {
            if owned.machines.contains_key(id) || next.done.contains(id) {
                self.missing.shift_remove(id);
                continue;
            }
            let since = *self.missing.entry(id.clone()).or_insert(now);
            if owned.has_first_shard() && now.saturating_sub(since) >= REMOVED_AFTER {
                next.down.shift_remove(id);
                next.done.insert(id.clone());
            }
        }
    }

    /// Adds vacated machines to the down list, up to the wave's limit.
    fn reserve_slots(&self, owned: &OwnedMachines<'_>, next: &mut WaveRecord) {
        for id in &self.wave.machines {
            if next.down.len() >= self.wave.max_down {
                return;
            }
            if next.down.contains_key(id) || next.done.contains(id) {
                continue;
            }
            let Some((machine, shard)) = owned.get(id) else { continue };
            let Some(vm) = machine.vm.as_ref().filter(|vm| shard.vacated.contains(vm)) else {
                continue;
            };
            if machine.state == MachineState::Up {
                next.down.insert(id.clone(), vm.clone());
            }
        }
    }

    /// Orders the upkeep of machines that the stored record lists as down.
    fn order_upkeep(
        &mut self,
        owned: &OwnedMachines<'_>,
        record: &WaveRecord,
        holder: &str,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        for id in record.down.keys() {
            let Some((machine, shard)) = owned.get(id) else { continue };
            let may_order = match self.upkeep_orders.get(id) {
                None => true,
                Some(OrderState::Failed { retry }) => now >= *retry,
                Some(OrderState::InFlight | OrderState::Confirmed(_)) => false,
            };
            // The order is repeated for a machine that is already down or may be down after an
            // unanswered call: this is harmless and confirms that the upkeep was done.
            let is_empty = machine.vm.as_ref().is_none_or(|vm| shard.vacated.contains(vm));
            if may_order && is_empty {
                self.upkeep_orders.insert(id.clone(), OrderState::InFlight);
                actions.push(Action::StartUpkeep(UpkeepReq {
                    machine: id.clone(),
                    wave: self.wave.number,
                    holder: holder.to_owned(),
                    fence: shard.fence,
                }));
            }
        }
    }

    /// Chooses the VMs that each shard vacates: those listed as down, and some ahead of time.
    fn plan_vacate(
        &self,
        owned: &OwnedMachines<'_>,
        record: &WaveRecord,
        now: Duration,
        vacate: &mut IndexMap<String, DrainOrder>,
    ) {
        let time_left = (self.since + self.wave.time_limit).saturating_sub(now);
        let mut open: IndexMap<&str, Vec<(&MachineId, &Machine)>> = IndexMap::new();
        for id in &self.wave.machines {
            let is_down = record.down.contains_key(id);
            let confirmed = matches!(self.upkeep_orders.get(id), Some(OrderState::Confirmed(_)));
            if record.done.contains(id) || (is_down && confirmed) {
                continue;
            }
            if let Some((machine, shard)) = owned.get(id) {
                open.entry(&shard.name).or_default().push((id, machine));
            }
        }
        for (shard, machines) in open {
            let order = vacate.entry(shard.to_owned()).or_default();
            let mut to_vacate = self.vacate_count(machines.len(), time_left);
            order.finish_timeout = finish_timeout(machines.len(), to_vacate, time_left);
            for (id, machine) in machines {
                let Some(vm) = machine.vm.clone() else { continue };
                let is_next = to_vacate > 0 && machine.state == MachineState::Up;
                if record.down.contains_key(id) {
                    order.vms.push(vm);
                } else if is_next {
                    to_vacate -= 1;
                    order.vms.push(vm);
                } else {
                    order.upcoming.push(vm);
                }
            }
        }
    }

    /// Number of machines that a shard vacates at once to meet the wave's deadline.
    fn vacate_count(&self, machines: usize, time_left: Duration) -> usize {
        let rounds = (time_left.as_secs_f64() / ROUND_TIME.as_secs_f64()).max(1.0);
        let needed = (machines as f64 / rounds).ceil() as usize;
        needed.clamp(1, self.wave.max_down)
    }
}

/// Time from the order to vacate a machine until it is back: 1 to 1.5 s to vacate it, 2 s of
/// upkeep, and the time until its return is noticed.
const ROUND_TIME: Duration = Duration::from_millis(4500);

/// Longest wait for tasks that can't be resumed; most of them take 1 to 3 s.
const MAX_FINISH_TIMEOUT: Duration = Duration::from_millis(2500);

/// How long to wait for tasks that can't be resumed, within the wave's deadline.
fn finish_timeout(machines: usize, at_once: usize, time_left: Duration) -> Duration {
    let rounds = machines.div_ceil(at_once.max(1));
    let rounds = u32::try_from(rounds).unwrap_or(u32::MAX).max(1);
    (time_left / rounds).saturating_sub(ROUND_TIME).min(MAX_FINISH_TIMEOUT)
}
