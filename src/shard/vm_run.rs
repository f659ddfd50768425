//! State of a VM of the shard: its runs, its clock, and when it last responded.

use super::copies::{Restarts, Role};
use super::interference::TailState;
use super::late_starts::LateStarts;
use super::lease::{Delivery, Extension, Lease, LeaseTime};
use super::settings::{
    BUSY_POLL_WAIT, CLOCK_DRIFT, DEFAULT_NOTICE, EXPIRY_MARGIN, IDLE_POLL_WAIT, LEAVING_KEEP,
    POLL_RETRY_DELAY, SILENCE_TIMEOUT, UNCOMMITTED_POLL_DELAY,
};
use super::vm_speed::{Progress, START_TIMEOUT, VmSpeed};
use crate::ids::VmId;
use crate::job::{RunNumber, Share, TaskRef};
use crate::kv::Rev;
use crate::note::StaticText;
use crate::units::Resources;
use crate::vm::{AnnouncedAfter, VmAddr, VmEntry, VmState, VmTime};
use indexmap::IndexMap;
use std::collections::VecDeque;
use std::time::Duration;

/// Identifies a run by its task and run number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RunKey {
    pub task: TaskRef,
    pub run: RunNumber,
}

/// One instance of a VM; a restarted VM is a new instance.
#[derive(Debug)]
pub struct Vm {
    pub id: VmId,
    /// The platform's latest entry for the VM.
    pub entry: VmEntry,
    pub listing: Listing,
    pub known_since: Duration,
    /// When another VM was announced at its address, until it answers a later poll.
    pub challenged: Option<Duration>,
    pub succession: Succession,
    /// Set once the platform has reported that the VM is leaving.
    pub leaving: Option<Leaving>,
    pub clock: Option<ClockReading>,
    /// Runs that are not known to have ended; each reserves resources.
    pub runs: IndexMap<RunKey, Run>,
    pub ended_runs: EndedRuns,
    pub contact: Contact,
    /// Lease of all runs on the VM.
    pub lease: Lease,
    /// When the leases that were cut short would have ended otherwise.
    cut_leases_end: Duration,
    /// Starts that the next instance under the same registered id may still carry out.
    pub late_starts: LateStarts,
    pub health: super::health::Health,
    pub speed: VmSpeed,
    /// Since when no leftover work has run on it, by the last response.
    pub alone_since: Option<Duration>,
}

/// Whether the platform lists a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listing {
    Listed,
    /// Bound in the store and not listed so far.
    Unknown,
    /// Reported to have left; no list has confirmed that it is gone.
    Departed,
    /// No longer listed since the given time.
    Missing {
        since: Duration,
    },
}

/// Whether another instance under the same registered id may still pass its runs to this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Succession {
    Settled,
    /// Two instances are known at the address. Until it has told which of them has ended, neither
    /// gets work, and their lists of runs are not applied: the runs in them may be known as runs of
    /// the other one.
    Open,
}

/// Notice that a VM is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leaving {
    /// When this owner first read of it.
    pub since: Duration,
    end: NoticeEnd,
}

/// The earliest departure of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NoticeEnd {
    /// The time left counted from a time before it was announced: the VM does not leave sooner.
    NotBefore(Duration),
    /// The same counted from an estimated time, or from when the announcement was read: the VM may
    /// leave sooner.
    Assumed(Duration),
}

impl Leaving {
    /// Reads the notice in an announcement, if it has one.
    fn read(entry: &VmEntry, now: Duration) -> Option<Self> {
        let VmState::Leaving { left } = entry.state else { return None };
        let end = match (entry.announced_after, left) {
            (Some(AnnouncedAfter::Bound(after)), Some(left)) => {
                NoticeEnd::NotBefore(after.saturating_add(left))
            }
            (after, left) => {
                let after = match after {
                    Some(AnnouncedAfter::Bound(after) | AnnouncedAfter::Estimate(after)) => after,
                    None => now,
                };
                NoticeEnd::Assumed(after.saturating_add(left.unwrap_or(DEFAULT_NOTICE)))
            }
        };
        Some(Self { since: now, end })
    }

    /// Applies the notice in another announcement of the VM.
    fn refine(&mut self, other: Self) {
        use NoticeEnd::{Assumed, NotBefore};
        self.end = match (self.end, other.end) {
            (NotBefore(a), NotBefore(b)) => NotBefore(a.max(b)),
            (NotBefore(a), Assumed(_)) | (Assumed(_), NotBefore(a)) => NotBefore(a),
            (Assumed(a), Assumed(b)) => Assumed(a.min(b)),
        };
    }

    /// Time until the notice is over.
    pub fn time_left(self, now: Duration) -> Duration {
        let (NoticeEnd::NotBefore(end) | NoticeEnd::Assumed(end)) = self.end;
        end.saturating_sub(now)
    }
}

/// A reading of a VM's clock, and when the response with it arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    pub clock: VmTime,
    pub at: Duration,
}

/// A run on a VM.
#[derive(Clone, Debug)]
pub struct Run {
    pub stage: Stage,
    /// Resources reserved for the run on the VM.
    pub reserved: Resources,
    /// CPU the run would use, in millicores.
    pub milli_cores: u32,
    pub share: Share,
    /// When the current stage began.
    pub since: Duration,
    /// When the VM first reported the run as running.
    pub running_since: Option<Duration>,
    /// Number of start commands sent or attempted.
    pub sends: u32,
    /// How many of them were not sent after all.
    unsent: u32,
    /// When the first start command that may have arrived was sent.
    pub sent_at: Option<Duration>,
    /// Whether a start command may still take effect.
    pub pending_start: PendingStart,
    /// Progress in percent.
    pub percent: u8,
    pub progress: Progress,
    /// Gauge value of the last half second.
    pub measurement: u32,
    /// Speed limit in percent.
    pub pace: u8,
    /// When the speed limit was last changed.
    pub paced_at: Option<Duration>,
    /// Since when the speed limit has been low.
    pub slowed: Option<Duration>,
    /// Tail latency measurements, for a task with a tail latency target.
    pub serving: TailState,
    pub role: Role,
    pub restarts: Restarts,
    /// Whether the run has counted as a sign that its VM is sound.
    pub has_proved_vm: bool,
}

/// Whether an unacknowledged start command may still take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PendingStart {
    No,
    Yes,
}

/// Lifecycle stage of a run on its VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The binding is not durable yet; no start was sent.
    Binding,
    /// The start is to be sent, or was sent and not acknowledged.
    Starting { next_send: Option<Duration> },
    /// Confirmed by the VM.
    Running,
    /// To be stopped. `answered` is when the VM acknowledged the stop command.
    Stopping { next_send: Option<Duration>, answered: Option<Duration> },
    /// Known from the store only; the VM has not been polled yet.
    Recovered,
}

impl Stage {
    /// Name of the stage in log lines.
    pub fn name(self) -> StaticText {
        match self {
            Self::Binding => "binding",
            Self::Starting { .. } => "starting",
            Self::Running => "running",
            Self::Stopping { answered: None, .. } => "stopping",
            Self::Stopping { answered: Some(_), .. } => "stop-answered",
            Self::Recovered => "recovered",
        }
    }
}

/// Ended runs that the VM has reported and has not yet been told to discard.
#[derive(Debug, Default)]
pub struct EndedRuns {
    listed: VecDeque<ListedEnd>,
    ack_up_to: u64,
    /// Number that the last poll acknowledged.
    sent: u64,
    /// Highest number that an answered poll acknowledged.
    acked: u64,
}

#[derive(Debug)]
struct ListedEnd {
    number: u64,
    durable: bool,
}

/// When a VM last responded, and when to poll it next.
#[derive(Clone, Debug)]
pub struct Contact {
    pub poll: PollState,
    pub next_poll: Duration,
    /// When the last successful poll was sent.
    pub last_successful_poll: Option<Duration>,
    /// Whether the last poll extends the lease.
    pub poll_extends: bool,
    /// Whether the last answered poll extended the lease.
    answer_extends: bool,
    /// When the last poll was answered.
    answered_at: Option<Duration>,
    /// Recent longest time between two answers while tasks ran on the VM.
    pub poll_gap: Duration,
    /// Consecutive failed polls.
    pub failures: u32,
    /// When the first of these failures was detected.
    pub failing_since: Option<Duration>,
    /// Consecutive polls that ended without a connection to the VM.
    pub refused_polls: u32,
    /// Set after a call that was not sent: nothing is started on the VM until it has answered a poll
    /// that was sent at this time or later.
    pub refused: Option<Duration>,
    /// When a start was last not sent.
    start_refused_at: Option<Duration>,
    pub responsiveness: Responsiveness,
}

/// Share of the longest time between two answers that counts after the next, shorter one.
const GAP_DECAY: f64 = 0.8;

impl Contact {
    /// Records an answer, of a VM that is polled as one with tasks if `is_busy`.
    fn record_gap(&mut self, now: Duration, is_busy: bool) {
        let before = self.answered_at.replace(now);
        if let Some(before) = before.filter(|_| is_busy) {
            let gap = now.saturating_sub(before).min(SILENCE_TIMEOUT);
            self.poll_gap = gap.max(self.poll_gap.mul_f64(GAP_DECAY)).max(BUSY_POLL_WAIT);
        }
    }
}

/// Whether a poll is in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollState {
    Idle,
    InFlight,
}

/// Whether a VM has stopped responding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Responsiveness {
    Responsive,
    /// No response since the given time.
    SilentSince(Duration),
}

impl Vm {
    /// Creates a VM that has not been polled yet. Runs started by an earlier owner may last until
    /// `runs_ended_by`.
    pub fn new(entry: VmEntry, now: Duration, runs_ended_by: Duration) -> Self {
        Self {
            id: entry.id.clone(),
            leaving: Leaving::read(&entry, now),
            entry,
            listing: Listing::Listed,
            known_since: now,
            challenged: None,
            succession: Succession::Settled,
            clock: None,
            runs: IndexMap::new(),
            ended_runs: EndedRuns::default(),
            contact: Contact {
                poll: PollState::Idle,
                next_poll: now,
                last_successful_poll: None,
                poll_extends: false,
                answer_extends: false,
                answered_at: None,
                poll_gap: BUSY_POLL_WAIT,
                failures: 0,
                failing_since: None,
                refused_polls: 0,
                refused: None,
                start_refused_at: None,
                responsiveness: Responsiveness::Responsive,
            },
            lease: Lease::inherited(runs_ended_by),
            cut_leases_end: Duration::ZERO,
            late_starts: LateStarts::default(),
            health: super::health::Health::default(),
            speed: VmSpeed::default(),
            alone_since: None,
        }
    }

    /// Updates the VM from an entry of the platform, unless a later one is known.
    pub fn update_entry(&mut self, entry: VmEntry, now: Duration) {
        self.listing = Listing::Listed;
        if entry.announced < self.entry.announced {
            return;
        }
        if let Some(read) = Leaving::read(&entry, now) {
            self.leaving.get_or_insert(read).refine(read);
        }
        self.entry = entry;
    }

    /// Creates the successor under the same registered id of an instance that has ended, before it
    /// is announced. It gets no work until then.
    pub fn unannounced_successor(id: VmId, ended: &VmEntry, now: Duration) -> Self {
        // The first announcement of the successor counts, however old its revision.
        let (state, announced) = (VmState::Ready, Rev::ABSENT);
        let entry = VmEntry { id, state, announced, ..ended.clone() };
        let mut vm = Self::new(entry, now, now);
        vm.listing = Listing::Missing { since: now };
        vm
    }

    /// Returns the number of the ended runs that the next poll acknowledges, and records it as sent.
    ///
    /// The poll may reach the next instance under the same registered id, which would discard ended
    /// runs that nobody has read. So the number is sent only if the instance answered the preceding
    /// poll, and no more once an answered poll has carried it.
    pub fn send_ack(&mut self) -> u64 {
        let answered = self.contact.failures == 0 && self.contact.last_successful_poll.is_some();
        let ends = &mut self.ended_runs;
        let is_needed = answered && ends.ack_up_to > ends.acked;
        ends.sent = if is_needed || self.id.started().is_none() { ends.ack_up_to } else { 0 };
        ends.sent
    }

    /// Polls the VM at once, and places nothing on it until it has answered.
    pub fn challenge(&mut self, now: Duration) {
        self.challenged = Some(now);
        self.contact.next_poll = self.contact.next_poll.min(now);
    }

    /// Records that a poll has ended.
    pub fn end_poll(&mut self, delivery: Delivery) {
        self.contact.poll = PollState::Idle;
        self.lease.settle(Extension::Poll, delivery);
    }

    /// Records that the VM answered a poll sent at `sent`.
    pub fn record_answer(&mut self, sent: Duration, now: Duration) {
        self.contact.record_gap(now, !self.runs.is_empty());
        self.contact.last_successful_poll = Some(sent);
        self.contact.answer_extends = self.contact.poll_extends;
        self.contact.failures = 0;
        self.ended_runs.acked = self.ended_runs.acked.max(self.ended_runs.sent);
        self.contact.failing_since = None;
        self.challenged = self.challenged.filter(|at| sent < *at);
        self.contact.refused = self.contact.refused.filter(|from| sent < *from);
    }

    /// Records whether a poll that has ended was sent.
    pub fn record_connection(&mut self, is_connected: bool, now: Duration) {
        if is_connected {
            self.contact.refused_polls = 0;
        } else {
            self.contact.refused_polls += 1;
            self.contact.refused = Some(now);
        }
    }

    /// Records that a start was not sent, and polls the VM. A VM that goes on answering polls is
    /// given pauses, so that tasks aren't bound to it in a loop.
    pub fn record_refused_start(&mut self, now: Duration) {
        let before = self.contact.start_refused_at.replace(now);
        if self.contact.refused.is_some() {
            return;
        }
        let is_repeated = before.is_some_and(|at| now.saturating_sub(at) < SILENCE_TIMEOUT);
        let from = if is_repeated { now + POLL_RETRY_DELAY } else { now };
        self.contact.refused = Some(from);
        if self.contact.failures == 0 {
            self.contact.next_poll = from;
        }
    }

    /// The id and address to call the VM with.
    pub fn addr(&self) -> VmAddr {
        VmAddr { id: self.id.clone(), addr: self.entry.addr.clone() }
    }

    /// Estimates the VM's clock from the last reading; `None` if there is no reading. A response
    /// takes time to arrive, so apart from drift the estimate is not ahead of the VM's clock.
    pub fn clock_now(&self, now: Duration) -> Option<VmTime> {
        let reading = self.clock?;
        Some(VmTime(reading.clock.0 + now.saturating_sub(reading.at)))
    }

    /// Records a clock reading from a response.
    pub fn read_clock(&mut self, clock: VmTime, now: Duration) {
        self.clock = Some(ClockReading { clock, at: now });
    }

    /// Records that a call is being sent by which the VM may keep all of its tasks running for
    /// `lease` from now on.
    pub fn record_extension(&mut self, call: Extension, now: Duration, lease: LeaseTime) {
        let end = |keep: Duration| now + keep + keep.mul_f64(CLOCK_DRIFT) + EXPIRY_MARGIN;
        self.lease.send(call, end(lease.time()));
        if lease.is_cut() {
            self.cut_leases_end = end(lease.whole());
        }
    }

    /// Time by which orders for this instance have arrived at the next one under the same registered
    /// id. Its deadlines don't apply there, so that a lease that was cut short counts in full.
    pub fn late_orders_arrived_by(&self) -> Duration {
        self.runs_ended_by().max(self.cut_leases_end)
    }

    /// Time by which every run on the VM is certain to have ended, unless its lease is extended.
    pub fn runs_ended_by(&self) -> Duration {
        self.lease.end()
    }

    /// Same, with the time for which the next instance may keep runs whose start it carries out late:
    /// up to `lease` from then on.
    pub fn all_runs_ended_by(&self, lease: Duration) -> Duration {
        let late = self.runs.keys().filter_map(|key| self.late_starts.end(*key));
        late.map(|end| end + lease).fold(self.runs_ended_by(), Duration::max)
    }

    /// Records that a start of a run is being sent, by which the VM may keep all of its tasks running
    /// for `lease` from now on, and which the next instance may carry out for a whole lease.
    pub fn record_start(&mut self, key: RunKey, now: Duration, lease: LeaseTime) {
        self.record_extension(Extension::Start(key), now, lease);
        if self.id.started().is_some() {
            let runs = &self.runs;
            self.late_starts.forget_past(now, |key| runs.contains_key(key));
            self.late_starts.send(key, now + lease.whole());
        }
    }

    /// Records that a start of a run has ended. If it got no answer, the next instance may carry it
    /// out for another `keep`.
    pub fn end_start(&mut self, key: RunKey, delivery: Delivery, now: Duration, keep: Duration) {
        self.lease.settle(Extension::Start(key), delivery);
        if self.id.started().is_some() {
            self.late_starts.settle(key, delivery, now + keep);
        }
        if delivery == Delivery::NotSent
            && let Some(run) = self.runs.get_mut(&key)
        {
            run.record_unsent_start();
        }
    }

    /// Whether the next instance may still carry out a start sent to this one.
    pub fn expects_late_starts(&self, now: Duration) -> bool {
        self.late_starts.ends().any(|(_, end)| now < end)
    }

    /// Whether a run may be kept by the next instance although the lease of this one has passed: the
    /// next instance keeps a run for up to `lease` from the time at which it carries out the start.
    pub fn may_be_kept_by_successor(&self, key: RunKey, lease: Duration, now: Duration) -> bool {
        self.late_starts.end(key).is_some_and(|end| now < end + lease)
    }

    /// How long a run is known to have been running: from the response that first reported it to
    /// the last successful poll.
    pub fn running_time(&self, key: RunKey) -> Duration {
        let since = self.runs.get(&key).and_then(|run| run.running_since);
        let worked = since
            .zip(self.contact.last_successful_poll)
            .map(|(since, at)| at.saturating_sub(since));
        worked.unwrap_or_default()
    }

    /// Whether a run has passed to this instance from an earlier one and has not run here.
    pub fn has_not_run(&self, run: &Run) -> bool {
        self.id.started().is_some() && run.running_since.is_none()
    }

    /// Whether a start was answered although polls had failed already and none has succeeded since.
    /// After a restart under the same id, the next instance answers it, so the run didn't crash
    /// this one.
    pub fn was_started_by_successor(&self, run: &Run) -> bool {
        self.has_not_run(run) && self.contact.failing_since.is_some_and(|at| at <= run.since)
    }

    /// Resources reserved by all runs.
    pub fn reserved(&self) -> Resources {
        self.runs.values().fold(Resources::ZERO, |sum, run| sum.saturating_add(&run.reserved))
    }

    /// Whether the reservations exceed the VM's size.
    pub fn is_overcommitted(&self) -> bool {
        !self.reserved().fits_in(&self.entry.size)
    }

    /// Unreserved resources.
    pub fn free(&self) -> Resources {
        self.entry.size.saturating_sub(&self.reserved())
    }

    /// When the last successful poll was sent, or the VM became known.
    pub fn last_heard(&self) -> Duration {
        self.contact.last_successful_poll.unwrap_or(self.known_since)
    }

    /// Whether the VM has responded to this owner recently.
    pub fn is_responsive(&self, now: Duration) -> bool {
        self.contact.responsiveness == Responsiveness::Responsive
            && self
                .contact
                .last_successful_poll
                .is_some_and(|at| now.saturating_sub(at) < 2 * SILENCE_TIMEOUT)
    }

    /// Whether the VM answered the last poll, and no call was refused since.
    pub fn is_answering(&self, now: Duration) -> bool {
        self.is_responsive(now) && self.contact.failures == 0 && self.contact.refused.is_none()
    }

    /// Whether nothing is started on the VM until it has answered a later poll.
    pub fn awaits_answer(&self) -> bool {
        self.challenged.is_some() || self.contact.refused.is_some()
    }

    /// Whether new tasks may be placed on the VM.
    pub fn takes_work(&self, now: Duration) -> bool {
        self.listing == Listing::Listed
            && self.leaving.is_none()
            && self.challenged.is_none()
            && self.succession == Succession::Settled
            && self.is_responsive(now)
    }

    /// Whether the next poll extends the deadline of the VM's tasks.
    ///
    /// After a failed poll, another extension is likely to be in vain, and the tasks of a VM that has
    /// died would wait for it. It is tried nevertheless if the last answer extended nothing.
    pub fn may_extend_runs(&self, now: Duration) -> bool {
        let is_likely_in_vain = self.contact.failures > 0 && self.contact.answer_extends;
        self.has_recent_answer(now) && !is_likely_in_vain
    }

    /// Whether the VM has answered so recently that its tasks are kept running, or hasn't been
    /// polled yet.
    pub fn has_recent_answer(&self, now: Duration) -> bool {
        match self.contact.last_successful_poll {
            Some(at) => now.saturating_sub(at) < SILENCE_TIMEOUT + BUSY_POLL_WAIT,
            None => self.contact.failures == 0,
        }
    }

    /// How long the next poll lets the VM keep its tasks running; `keep` is the longest time.
    pub fn max_extension(&self, keep: Duration, now: Duration) -> Duration {
        let until_gone = |leaving: Leaving| leaving.time_left(now).saturating_add(LEAVING_KEEP);
        self.leaving.map_or(keep, |leaving| keep.min(until_gone(leaving)))
    }

    /// How long the VM may delay its response to the next poll to wait for a run to end.
    pub fn poll_wait(&self) -> Duration {
        if self.contact.failures > 0
            || self.awaits_answer()
            || self.contact.last_successful_poll.is_none()
            || self.ended_runs.has_unforgotten()
        {
            return Duration::ZERO;
        }
        if self.runs.is_empty() { IDLE_POLL_WAIT } else { BUSY_POLL_WAIT }
    }

    /// Schedules the next poll once the previous one has completed.
    pub fn schedule_poll(&mut self, now: Duration) {
        let pause = if self.contact.failures > 0 {
            POLL_RETRY_DELAY
        } else if self.ended_runs.has_unforgotten() {
            UNCOMMITTED_POLL_DELAY
        } else {
            Duration::ZERO
        };
        self.contact.next_poll = self.contact.refused.unwrap_or_default().max(now + pause);
    }
}

impl Run {
    /// Creates a run whose binding is not durable yet.
    pub fn binding(reserved: Resources, milli_cores: u32, share: Share, now: Duration) -> Self {
        Self {
            stage: Stage::Binding,
            reserved,
            milli_cores,
            share,
            since: now,
            running_since: None,
            sends: 0,
            unsent: 0,
            sent_at: None,
            pending_start: PendingStart::No,
            percent: 0,
            progress: Progress::default(),
            measurement: 0,
            pace: 100,
            paced_at: None,
            slowed: None,
            serving: TailState::default(),
            role: Role::default(),
            restarts: Restarts::default(),
            has_proved_vm: false,
        }
    }

    /// Returns the run as it passes to the next instance of its VM, which may still carry out its
    /// start: it is to be stopped there, and its resources are reserved.
    pub fn passed_on(self, now: Duration) -> Self {
        let Self { reserved, milli_cores, share, sends, .. } = self;
        Self {
            stage: Stage::Stopping { next_send: Some(now), answered: None },
            sends,
            pending_start: PendingStart::Yes,
            ..Self::binding(reserved, milli_cores, share, now)
        }
    }

    /// Whether a start may have been sent. A run found in the store or reported by the VM was
    /// started by an earlier owner.
    pub fn may_have_been_sent(&self) -> bool {
        match self.stage {
            Stage::Binding => false,
            Stage::Starting { .. } => self.sends > self.unsent,
            Stage::Running | Stage::Stopping { .. } | Stage::Recovered => true,
        }
    }

    /// Records that a start command is being sent.
    pub fn record_start(&mut self, now: Duration) {
        self.sends += 1;
        self.sent_at.get_or_insert(now);
        self.serving = TailState::started(now);
        self.stage = Stage::Starting { next_send: None };
    }

    /// Records that a start command was not sent after all.
    fn record_unsent_start(&mut self) {
        if self.unsent < self.sends {
            self.unsent += 1;
            self.sent_at = self.sent_at.filter(|_| self.unsent < self.sends);
        }
    }

    /// Whether the run is to be stopped although no start command for it was sent.
    pub fn is_stopped_unsent(&self) -> bool {
        self.is_stopping() && self.sends > 0 && self.sends == self.unsent
    }

    /// Whether the run is being stopped.
    pub fn is_stopping(&self) -> bool {
        matches!(self.stage, Stage::Stopping { .. })
    }

    /// Whether the start was sent long ago and has not been confirmed.
    pub fn is_start_late(&self, now: Duration) -> bool {
        matches!(self.stage, Stage::Starting { .. })
            && self.sent_at.is_some_and(|at| now.saturating_sub(at) >= START_TIMEOUT)
    }

    /// Whether the VM has confirmed the run.
    pub fn is_running(&self) -> bool {
        self.stage == Stage::Running
    }
}

impl EndedRuns {
    /// Records an ended run reported by the VM; returns false if it was reported before.
    pub fn record(&mut self, number: u64) -> bool {
        let known = number <= self.ack_up_to || self.listed.iter().any(|end| end.number == number);
        if !known {
            self.listed.push_back(ListedEnd { number, durable: false });
        }
        !known
    }

    /// Records that the consequences of an ended run are durable.
    pub fn mark_durable(&mut self, number: u64) {
        if let Some(end) = self.listed.iter_mut().find(|end| end.number == number) {
            end.durable = true;
        }
        while let Some(first) = self.listed.front() {
            if !first.durable {
                return;
            }
            self.ack_up_to = first.number;
            self.listed.pop_front();
        }
    }

    /// Whether the VM would report ended runs again.
    pub fn has_unforgotten(&self) -> bool {
        !self.listed.is_empty()
    }
}
