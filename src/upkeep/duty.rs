//! Which machine goes down next, as one daemon decides it for the shards that it owns.
//!
//! For each shard some machines of a wave are emptied ahead, as many as the wave's time demands, so
//! that one can go down as soon as another one is back. Nothing is decided on a list of machines, or a record, that wasn't read a moment ago.

use super::{Error, Machine, MachineId, MachineState, Record, UpkeepReq, Wave, WaveState};
use crate::cluster::Plan;
use crate::ids::VmId;
use crate::kv::Rev;
use crate::note::{Ms, Note};
use crate::shard::DrainOrder;
use crate::vm::Fence;
use indexmap::IndexMap;
use std::time::Duration;

/// Between two readings of the machines while a wave is open here. A reading of 500 machines takes
/// 10 ms of a daemon's processor and a sixtieth of what the platform takes in a second.
const LIST_EVERY: Duration = Duration::from_millis(350);

/// Between two readings of a wave's record.
const RECORD_EVERY: Duration = Duration::from_millis(500);

/// Age up to which a list or a record is gone by.
const FRESH: Duration = Duration::from_millis(2000);

/// Pause before an upkeep that wasn't confirmed is ordered again.
const CALL_RETRY: Duration = Duration::from_millis(400);

/// From the answer to an order on, a list that says a machine is up may still be older than the
/// order; the platform takes a few milliseconds for either.
const LIST_LAG: Duration = Duration::from_millis(300);

/// Time that a machine must be missing from the list to be gone.
const GONE_AFTER: Duration = Duration::from_secs(4);

/// A shard owned here.
#[derive(Clone, Debug)]
pub struct OwnShard {
    pub name: String,
    pub fence: Fence,
    /// VMs that were to be emptied and are empty.
    pub vacated: Vec<VmId>,
}

/// What the duty is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passes; the shards that are owned here now.
    Tick(Vec<OwnShard>),
    /// A wave as operators wrote it.
    Wave(Wave),
    Plan(Plan),
    /// Every machine, as listed at `sent` or later.
    Listed {
        sent: Duration,
        machines: super::Result<Vec<Machine>>,
    },
    /// A wave's record as the store has it.
    Recorded {
        wave: u64,
        rev: Rev,
        record: Record,
    },
    /// The record couldn't be read or written; someone else may have changed it.
    NotRecorded {
        wave: u64,
    },
    /// Answer to [`Action::Call`].
    Called {
        wave: u64,
        machine: MachineId,
        result: super::Result<()>,
    },
}

/// What the duty asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    List,
    Read {
        wave: u64,
    },
    /// Writes a record if it is still at `rev`, and tells operators how far the wave has come.
    Write {
        wave: u64,
        rev: Rev,
        record: Record,
        state: WaveState,
    },
    Call(UpkeepReq),
    /// Empties VMs of a shard.
    Vacate {
        shard: String,
        order: DrainOrder,
    },
    Note(Note),
}

/// An order of an upkeep.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Call {
    UnderWay,
    /// Confirmed then: the machine is down, or has had its upkeep.
    Confirmed(Duration),
    Failed {
        retry: Duration,
    },
}

/// Whether what is known of a wave was read a moment ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Known {
    Lately,
    Old,
}

/// A wave on its way.
struct Run {
    wave: Wave,
    since: Duration,
    record: Option<(Rev, Record)>,
    read_at: Duration,
    /// Whether a reading or a writing is under way.
    busy: bool,
    next_read: Duration,
    calls: IndexMap<MachineId, Call>,
    missing: IndexMap<MachineId, Duration>,
    closed: bool,
}

/// Decides about the waves.
pub struct Duty {
    holder: String,
    now: Duration,
    plan: Plan,
    waves: IndexMap<u64, Run>,
    machines: IndexMap<MachineId, Machine>,
    listed: Option<Duration>,
    listing: bool,
    next_list: Duration,
    /// What shards' present owners were last told to empty.
    told: IndexMap<(String, Fence), DrainOrder>,
    out: Vec<Action>,
}

impl Duty {
    /// A duty that knows of no wave; `holder` names this daemon to the platform.
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
            told: IndexMap::new(),
            out: Vec::new(),
        }
    }

    /// Whether any wave isn't done.
    pub fn has_open(&self) -> bool {
        self.waves.values().any(|run| !run.closed)
    }

    /// Takes an event, and gives what is to be done.
    pub fn step(&mut self, now: Duration, event: Event) -> Vec<Action> {
        self.now = now;
        match event {
            Event::Tick(shards) => self.tick(&shards),
            Event::Wave(wave) => self.opened(wave),
            Event::Plan(plan) => self.plan = plan,
            Event::Listed { sent, machines } => self.take_list(sent, machines),
            Event::Recorded { wave, rev, record } => self.recorded(wave, rev, record),
            Event::NotRecorded { wave } => {
                if let Some(run) = self.waves.get_mut(&wave) {
                    run.busy = false;
                    run.record = None;
                    run.next_read = now;
                }
            }
            Event::Called { wave, machine, result } => self.called(wave, machine, &result),
        }
        std::mem::take(&mut self.out)
    }

    fn opened(&mut self, wave: Wave) {
        let (number, now) = (wave.number, self.now);
        if let Some(known) = self.waves.get_mut(&number) {
            known.closed &= known.wave == wave;
            known.wave = wave;
            return;
        }
        let (machines, max_down, within_ms) = (wave.machines.len(), wave.max_down, Ms(wave.within));
        let run = Run {
            wave,
            since: now,
            record: None,
            read_at: now,
            busy: false,
            next_read: now,
            calls: IndexMap::new(),
            missing: IndexMap::new(),
            closed: false,
        };
        self.waves.insert(number, run);
        let note = Note::WaveOpened { wave: number, machines, max_down, within_ms };
        self.out.push(Action::Note(note));
    }

    fn take_list(&mut self, sent: Duration, machines: super::Result<Vec<Machine>>) {
        self.listing = false;
        match machines {
            Ok(machines) => {
                self.machines = machines.into_iter().map(|m| (m.id.clone(), m)).collect();
                self.listed = Some(sent);
            }
            Err(e) => {
                let reason = e.to_string();
                self.out.push(Action::Note(Note::MachinesUnknown { reason }));
            }
        }
    }

    fn recorded(&mut self, wave: u64, rev: Rev, record: Record) {
        let Some(run) = self.waves.get_mut(&wave) else { return };
        run.note_back(&record, self.now, &mut self.out);
        run.busy = false;
        run.read_at = self.now;
        run.next_read = self.now + RECORD_EVERY;
        if record.is_complete(&run.wave) && rev != Rev::ABSENT && !run.closed {
            run.closed = true;
            let took_ms = Ms(self.now.saturating_sub(run.since));
            let machines = run.wave.machines.len();
            self.out.push(Action::Note(Note::WaveDone { wave, machines, took_ms }));
        }
        run.record = Some((rev, record));
    }

    fn called(&mut self, wave: u64, machine: MachineId, result: &super::Result<()>) {
        let now = self.now;
        let Some(run) = self.waves.get_mut(&wave) else { return };
        let call = match result {
            Ok(()) => Call::Confirmed(now),
            Err(_) => Call::Failed { retry: now + CALL_RETRY },
        };
        run.calls.insert(machine.clone(), call);
        let note = match result {
            Ok(()) => Note::MachineDown { wave, machine },
            Err(e) => Note::UpkeepFailed { wave, machine, reason: e.to_string() },
        };
        self.out.push(Action::Note(note));
        if *result == Err(Error::NotInWave) {
            run.next_read = now;
        }
    }

    fn tick(&mut self, shards: &[OwnShard]) {
        let mut vacate: IndexMap<String, DrainOrder> = IndexMap::new();
        if self.has_open() && !shards.is_empty() {
            self.read();
            let numbers: Vec<u64> = self.waves.keys().copied().collect();
            for number in numbers {
                if self.go_on(number, shards, &mut vacate) == Known::Old {
                    // What is being emptied stays so until more is known.
                    return;
                }
            }
        }
        self.tell_vacate(shards, vacate);
    }

    fn read(&mut self) {
        let now = self.now;
        if !self.listing && now >= self.next_list {
            self.listing = true;
            self.next_list = now + LIST_EVERY;
            self.out.push(Action::List);
        }
        for run in self.waves.values_mut().filter(|run| !run.closed) {
            if !run.busy && now >= run.next_read {
                run.busy = true;
                run.next_read = now + RECORD_EVERY;
                self.out.push(Action::Read { wave: run.wave.number });
            }
        }
    }

    /// Takes a wave a step on, for the machines of the shards owned here.
    fn go_on(
        &mut self,
        number: u64,
        shards: &[OwnShard],
        vacate: &mut IndexMap<String, DrainOrder>,
    ) -> Known {
        let now = self.now;
        let is_fresh = |at: Duration| now.saturating_sub(at) < FRESH;
        let Some(run) = self.waves.get_mut(&number).filter(|run| !run.closed) else {
            return Known::Lately;
        };
        let Some(listed) = self.listed.filter(|at| is_fresh(*at)) else { return Known::Old };
        let Some((rev, record)) = run.record.clone().filter(|_| is_fresh(run.read_at)) else {
            return Known::Old;
        };
        let mine = Mine { plan: &self.plan, shards, machines: &self.machines };
        let mut next = record.clone();
        run.take_back(&mine, listed, &mut next);
        run.forget_gone(&mine, now, &mut next);
        run.take_slots(&mine, &mut next);
        if next != record && !run.busy {
            run.busy = true;
            let complete = next.is_complete(&run.wave);
            let state = if complete { WaveState::Done } else { WaveState::Running };
            self.out.push(Action::Write { wave: number, rev, record: next, state });
        }
        run.call_down(&mine, &record, &self.holder, now, &mut self.out);
        run.choose_vacate(&mine, &record, now, vacate);
        Known::Lately
    }

    /// Tells shards what to empty, as far as that has changed.
    fn tell_vacate(&mut self, shards: &[OwnShard], mut vacate: IndexMap<String, DrainOrder>) {
        self.told.retain(|(name, fence), _| {
            shards.iter().any(|shard| shard.name == *name && shard.fence == *fence)
        });
        for shard in shards {
            let key = (shard.name.clone(), shard.fence);
            let wanted = vacate.shift_remove(&shard.name).unwrap_or_default();
            let told = self.told.get(&key).cloned().unwrap_or_default();
            if told != wanted {
                self.told.insert(key, wanted.clone());
                self.out.push(Action::Vacate { shard: shard.name.clone(), order: wanted });
            }
        }
    }
}

/// The machines of the shards owned here.
struct Mine<'a> {
    plan: &'a Plan,
    shards: &'a [OwnShard],
    machines: &'a IndexMap<MachineId, Machine>,
}

impl Mine<'_> {
    /// A machine of a shard owned here, with that shard.
    fn get(&self, id: &MachineId) -> Option<(&Machine, &OwnShard)> {
        let machine = self.machines.get(id)?;
        let name = self.plan.shard_of_rack(&machine.domain, &machine.rack)?;
        Some((machine, self.shards.iter().find(|shard| shard.name == name)?))
    }

    /// Whether this daemon looks after machines that are in no shard.
    fn has_first_shard(&self) -> bool {
        let first = self.plan.shards().into_iter().map(|(name, _)| name).min();
        self.shards.iter().any(|shard| Some(&shard.name) == first.as_ref())
    }
}

impl Run {
    /// Machines that are back after their upkeep.
    fn take_back(&self, mine: &Mine<'_>, listed: Duration, next: &mut Record) {
        let down: Vec<MachineId> = next.down.keys().cloned().collect();
        for id in down {
            let Some((machine, _)) = mine.get(&id) else { continue };
            let Some(Call::Confirmed(at)) = self.calls.get(&id) else { continue };
            let is_up = machine.state == MachineState::Up && machine.vm.is_some();
            if is_up && listed >= *at + LIST_LAG {
                next.down.shift_remove(&id);
                next.done.insert(id);
            }
        }
    }

    /// Notes machines that this daemon sent down and that now count as done.
    fn note_back(&self, record: &Record, now: Duration, out: &mut Vec<Action>) {
        let Some((_, before)) = &self.record else { return };
        for machine in record.done.difference(&before.done) {
            let Some(Call::Confirmed(at)) = self.calls.get(machine) else { continue };
            let (wave, machine) = (self.wave.number, machine.clone());
            let took_ms = Ms(now.saturating_sub(*at));
            out.push(Action::Note(Note::MachineBack { wave, machine, took_ms }));
        }
    }

    /// Machines that the platform doesn't list any more need nothing.
    fn forget_gone(&mut self, mine: &Mine<'_>, now: Duration, next: &mut Record) {
        for id in &self.wave.machines {
            if mine.machines.contains_key(id) || next.done.contains(id) {
                self.missing.shift_remove(id);
                continue;
            }
            let since = *self.missing.entry(id.clone()).or_insert(now);
            if mine.has_first_shard() && now.saturating_sub(since) >= GONE_AFTER {
                next.down.shift_remove(id);
                next.done.insert(id.clone());
            }
        }
    }

    /// Counts empty machines as down, as far as the wave's bound goes.
    fn take_slots(&self, mine: &Mine<'_>, next: &mut Record) {
        for id in &self.wave.machines {
            if next.down.len() >= self.wave.max_down {
                return;
            }
            if next.down.contains_key(id) || next.done.contains(id) {
                continue;
            }
            let Some((machine, shard)) = mine.get(id) else { continue };
            let Some(vm) = machine.vm.as_ref().filter(|vm| shard.vacated.contains(vm)) else {
                continue;
            };
            if machine.state == MachineState::Up {
                next.down.insert(id.clone(), vm.clone());
            }
        }
    }

    /// Orders the upkeep of machines that durably count as down.
    fn call_down(
        &mut self,
        mine: &Mine<'_>,
        record: &Record,
        holder: &str,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        for id in record.down.keys() {
            let Some((machine, shard)) = mine.get(id) else { continue };
            let may_call = match self.calls.get(id) {
                None => true,
                Some(Call::Failed { retry }) => now >= *retry,
                Some(Call::UnderWay | Call::Confirmed(_)) => false,
            };
            // A machine that is down already, or that a call without an answer may have sent down,
            // is asked for again: that is harmless, and tells that its upkeep was done.
            let is_empty = machine.vm.as_ref().is_none_or(|vm| shard.vacated.contains(vm));
            if may_call && is_empty {
                self.calls.insert(id.clone(), Call::UnderWay);
                out.push(Action::Call(UpkeepReq {
                    machine: id.clone(),
                    wave: self.wave.number,
                    holder: holder.to_owned(),
                    fence: shard.fence,
                }));
            }
        }
    }

    /// What each shard is to empty: what counts as down, and some machines ahead.
    fn choose_vacate(
        &self,
        mine: &Mine<'_>,
        record: &Record,
        now: Duration,
        vacate: &mut IndexMap<String, DrainOrder>,
    ) {
        let time_left = (self.since + self.wave.within).saturating_sub(now);
        let mut open: IndexMap<&str, Vec<(&MachineId, &Machine)>> = IndexMap::new();
        for id in &self.wave.machines {
            let is_down = record.down.contains_key(id);
            let confirmed = matches!(self.calls.get(id), Some(Call::Confirmed(_)));
            if record.done.contains(id) || (is_down && confirmed) {
                continue;
            }
            if let Some((machine, shard)) = mine.get(id) {
                open.entry(&shard.name).or_default().push((id, machine));
            }
        }
        for (shard, machines) in open {
            let order = vacate.entry(shard.to_owned()).or_default();
            let mut ahead = self.ahead(machines.len(), time_left);
            order.finish_timeout = patience(machines.len(), ahead, time_left);
            for (id, machine) in machines {
                let Some(vm) = machine.vm.clone() else { continue };
                let is_next = ahead > 0 && machine.state == MachineState::Up;
                if record.down.contains_key(id) {
                    order.vms.push(vm);
                } else if is_next {
                    ahead -= 1;
                    order.vms.push(vm);
                } else {
                    order.upcoming.push(vm);
                }
            }
        }
    }

    /// Machines that a shard empties at a time, so that all have their upkeep in time.
    fn ahead(&self, machines: usize, time_left: Duration) -> usize {
        let rounds = (time_left.as_secs_f64() / ROUND.as_secs_f64()).max(1.0);
        let needed = (machines as f64 / rounds).ceil() as usize;
        needed.clamp(1, self.wave.max_down)
    }
}

/// From the order to empty a machine until it is back: 1 to 1.5 s of emptying, 2 s of upkeep, and
/// the time until it is seen to be back.
const ROUND: Duration = Duration::from_millis(4500);

/// Longest time for work that can't be resumed; most of it takes 1 to 3 s.
const MOST_PATIENCE: Duration = Duration::from_millis(2500);

/// Time that such work is left, as far as the wave leaves it.
fn patience(machines: usize, at_once: usize, time_left: Duration) -> Duration {
    let rounds = machines.div_ceil(at_once.max(1));
    let rounds = u32::try_from(rounds).unwrap_or(u32::MAX).max(1);
    (time_left / rounds).saturating_sub(ROUND).min(MOST_PATIENCE)
}
