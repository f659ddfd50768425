//! A VM of the shard: what runs there, what is known of its clock, and when it was last heard.

use super::interference::Serving;
use super::settings::{
    BUSY_LOOK, CLOCK_DRIFT, IDLE_LOOK, LAPSE_MARGIN, LOOK_RETRY, SILENT_AFTER, UNFORGOTTEN_LOOK,
};
use crate::ids::VmId;
use crate::job::{RunNumber, Share, TaskRef};
use crate::units::Resources;
use crate::vm::{VmAddr, VmEntry, VmState, VmTime};
use indexmap::IndexMap;
use std::collections::VecDeque;
use std::time::Duration;

/// A run, by its task and number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RunKey {
    pub task: TaskRef,
    pub run: RunNumber,
}

/// One life of a VM.
#[derive(Debug)]
pub struct Vm {
    pub id: VmId,
    /// As last announced.
    pub entry: VmEntry,
    pub announced: Announced,
    pub known_since: Duration,
    /// When the platform first said that it leaves, and the time it left then.
    pub leaving: Option<Leaving>,
    pub clock: Option<ClockReading>,
    /// Runs that aren't known to have ended; each takes room.
    pub runs: IndexMap<RunKey, Run>,
    pub ends: Ends,
    pub contact: Contact,
    /// Time from which on everything there has surely ended, unless it is extended.
    pub lapsed_by: Duration,
    pub health: super::health::Health,
}

/// Whether the platform announces a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Announced {
    Yes,
    /// Not any more, since then.
    Missing {
        since: Duration,
    },
}

/// A VM's announcement that it leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leaving {
    pub since: Duration,
    pub left: Option<Duration>,
}

/// A VM's clock as read, and when its answer came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    pub clock: VmTime,
    pub at: Duration,
}

/// A run on a VM.
#[derive(Clone, Debug)]
pub struct Run {
    pub stage: Stage,
    /// What it takes from the VM's room.
    pub reserved: Resources,
    /// Processors it would use, in thousandths of a core.
    pub milli_cores: u32,
    pub share: Share,
    /// When the present stage began.
    pub since: Duration,
    /// When it was first seen at work.
    pub running_since: Option<Duration>,
    /// Starts sent.
    pub sends: u32,
    /// Whether a start may still be on its way.
    pub unanswered: Unanswered,
    /// Share of its work done, of 100.
    pub percent: u8,
    /// Figure of the last half second.
    pub gauge: u32,
    /// Speed it is paced to, of 100.
    pub pace: u8,
    /// Since when that is little.
    pub slowed: Option<Duration>,
    /// What its tail has told, for a task with a bound on it.
    pub serving: Serving,
}

/// Whether an order without an answer may still be carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unanswered {
    No,
    Yes,
}

/// Stage of a run's life on its VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The binding isn't durable yet; nothing was sent.
    Binding,
    /// To be sent, or sent and not answered.
    Starting { next_send: Option<Duration> },
    /// Confirmed by the VM.
    Running,
    /// To be stopped. `answered` is the time of the VM's answer to the order.
    Stopping { next_send: Option<Duration>, answered: Option<Duration> },
    /// Known from the store only; the VM hasn't been asked yet.
    Recovered,
}

/// Ends that the VM listed and hasn't been told to forget.
#[derive(Debug, Default)]
pub struct Ends {
    listed: VecDeque<ListedEnd>,
    forget: u64,
}

#[derive(Debug)]
struct ListedEnd {
    number: u64,
    durable: bool,
}

/// When a VM was heard, and when to look next.
#[derive(Clone, Debug)]
pub struct Contact {
    pub looking: Looking,
    pub next_look: Duration,
    /// When the last answered look was sent.
    pub heard: Option<Duration>,
    pub failures: u32,
    /// When the first of these failures was known.
    pub failing_since: Option<Duration>,
    pub silent: Silent,
}

/// Whether a look is under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Looking {
    No,
    Yes,
}

/// Whether a VM has stopped answering.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Silent {
    No,
    Since(Duration),
}

impl Vm {
    /// A VM not looked at yet. What an earlier owner started may run until `lapsed_by`.
    pub fn new(entry: VmEntry, now: Duration, lapsed_by: Duration) -> Self {
        Self {
            id: entry.id.clone(),
            leaving: leaving(&entry, now),
            entry,
            announced: Announced::Yes,
            known_since: now,
            clock: None,
            runs: IndexMap::new(),
            ends: Ends::default(),
            contact: Contact {
                looking: Looking::No,
                next_look: now,
                heard: None,
                failures: 0,
                failing_since: None,
                silent: Silent::No,
            },
            lapsed_by,
            health: super::health::Health::default(),
        }
    }

    /// Takes over what the platform announces now.
    pub fn announce(&mut self, entry: VmEntry, now: Duration) {
        if self.leaving.is_none() {
            self.leaving = leaving(&entry, now);
        }
        self.entry = entry;
        self.announced = Announced::Yes;
    }

    /// Where to call it.
    pub fn addr(&self) -> VmAddr {
        VmAddr { id: self.id.clone(), addr: self.entry.addr.clone() }
    }

    /// Its clock as it is now, at the latest; `None` before the first answer.
    pub fn clock_now(&self, now: Duration) -> Option<VmTime> {
        let reading = self.clock?;
        Some(VmTime(reading.clock.0 + now.saturating_sub(reading.at)))
    }

    /// Notes the clock that an answer brought.
    pub fn read_clock(&mut self, clock: VmTime, now: Duration) {
        self.clock = Some(ClockReading { clock, at: now });
    }

    /// Notes that everything there may be kept running from now on.
    pub fn extended(&mut self, now: Duration, keep: Duration) {
        let drift = keep.mul_f64(CLOCK_DRIFT);
        self.lapsed_by = self.lapsed_by.max(now + keep + drift + LAPSE_MARGIN);
    }

    /// How long a run is known to have been at work: from the answer that first listed it to the last look
    /// that was answered.
    pub fn worked(&self, key: RunKey) -> Duration {
        let since = self.runs.get(&key).and_then(|run| run.running_since);
        let worked = since.zip(self.contact.heard).map(|(since, at)| at.saturating_sub(since));
        worked.unwrap_or_default()
    }

    /// Room that is taken.
    pub fn reserved(&self) -> Resources {
        self.runs.values().fold(Resources::ZERO, |sum, run| sum.saturating_add(&run.reserved))
    }

    /// Whether more is taken than it has.
    pub fn is_over(&self) -> bool {
        !self.reserved().fits_in(&self.entry.size)
    }

    /// Room that is left.
    pub fn free(&self) -> Resources {
        self.entry.size.saturating_sub(&self.reserved())
    }

    /// Whether it has answered this owner and still does.
    pub fn is_heard(&self, now: Duration) -> bool {
        self.contact.silent == Silent::No
            && self.contact.heard.is_some_and(|at| now.saturating_sub(at) < 2 * SILENT_AFTER)
    }

    /// Whether it takes new work.
    pub fn takes_work(&self, now: Duration) -> bool {
        self.announced == Announced::Yes && self.leaving.is_none() && self.is_heard(now)
    }

    /// Whether work there is to be kept running by the next look.
    pub fn extends(&self, now: Duration) -> bool {
        match self.contact.heard {
            Some(at) => now.saturating_sub(at) < SILENT_AFTER + BUSY_LOOK,
            None => self.contact.failures == 0,
        }
    }

    /// How long the next look may wait for an end.
    pub fn look_wait(&self) -> Duration {
        if self.contact.failures > 0 || self.contact.heard.is_none() || self.ends.has_listed() {
            return Duration::ZERO;
        }
        if self.runs.is_empty() { IDLE_LOOK } else { BUSY_LOOK }
    }

    /// Sets the time of the next look after an answer.
    pub fn plan_look(&mut self, now: Duration) {
        let pause = if self.contact.failures > 0 {
            LOOK_RETRY
        } else if self.ends.has_listed() {
            UNFORGOTTEN_LOOK
        } else {
            Duration::ZERO
        };
        self.contact.next_look = now + pause;
    }
}

fn leaving(entry: &VmEntry, now: Duration) -> Option<Leaving> {
    match entry.state {
        VmState::Ready => None,
        VmState::Leaving { left } => Some(Leaving { since: now, left }),
    }
}

impl Run {
    /// A run whose binding isn't durable yet.
    pub fn binding(reserved: Resources, milli_cores: u32, share: Share, now: Duration) -> Self {
        Self {
            stage: Stage::Binding,
            reserved,
            milli_cores,
            share,
            since: now,
            running_since: None,
            sends: 0,
            unanswered: Unanswered::No,
            percent: 0,
            gauge: 0,
            pace: 100,
            slowed: None,
            serving: Serving::default(),
        }
    }

    /// Whether it is to end.
    pub fn is_stopping(&self) -> bool {
        matches!(self.stage, Stage::Stopping { .. })
    }

    /// Whether it has been seen at work on the VM.
    pub fn is_running(&self) -> bool {
        self.stage == Stage::Running
    }
}

impl Ends {
    /// Notes an end that the VM lists; false if it was listed before.
    pub fn list(&mut self, number: u64) -> bool {
        let known = number <= self.forget || self.listed.iter().any(|end| end.number == number);
        if !known {
            self.listed.push_back(ListedEnd { number, durable: false });
        }
        !known
    }

    /// Notes that what an end means is durable.
    pub fn settle(&mut self, number: u64) {
        if let Some(end) = self.listed.iter_mut().find(|end| end.number == number) {
            end.durable = true;
        }
        while let Some(first) = self.listed.front() {
            if !first.durable {
                return;
            }
            self.forget = first.number;
            self.listed.pop_front();
        }
    }

    /// Ends up to this number may be forgotten.
    pub fn forget(&self) -> u64 {
        self.forget
    }

    /// Whether the VM would repeat ends.
    pub fn has_listed(&self) -> bool {
        !self.listed.is_empty()
    }
}
