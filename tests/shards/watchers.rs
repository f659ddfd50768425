//! What daemons have read of the VMs' announcements, each at its own pace.
//!
//! VMs write announcements to a history of changes. A daemon that owns a shard reads the changes
//! several times a second, the others read the list from time to time. Reads take time, and watches
//! may end before the newest changes. A daemon that claims a shard reads the list, and looks up in
//! the history those VMs that the shard's records name and the list lacks. Which VMs have left is
//! concluded by the production code from what the daemon has read itself.

use indexmap::{IndexMap, IndexSet};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::ops::Range;
use std::time::Duration;
use waxwingstall::departures::{Finding, LeavingVms, Removal};
use waxwingstall::ids::VmId;
use waxwingstall::kv::Rev;
use waxwingstall::revisions::RevisionTimes;
use waxwingstall::vm::{AnnouncedAfter, Departure, VmEntry};

/// Number of daemons.
const DAEMONS: usize = 6;

/// Interval between reads of an owner, and of a daemon without shards.
const OWNER_INTERVAL: Duration = Duration::from_millis(400);
const IDLE_INTERVAL: Duration = Duration::from_secs(3);

/// Time that most reads take, and that the others take, in milliseconds.
const READ_TIME: Range<u64> = 2..40;
const SLOW_READ_TIME: Range<u64> = 2..1600;

/// Time for which the store holds changes back from a watch, in milliseconds.
const HOLD: Range<u64> = 0..1000;

/// Percentage of reads that are slow, and of watches from which the store holds changes back.
const SLOW_PERCENT: u32 = 10;

/// Interval at which a daemon learns the newest revision of the store by other calls, and the time
/// that such a call takes.
const CALL_INTERVAL: Duration = Duration::from_millis(1000);
const CALL_TIME: Duration = Duration::from_millis(5);

/// Time in milliseconds that a look-up in the history takes.
const LOOK_UP_TIME: Range<u64> = 5..400;

/// A change of an announcement.
#[derive(Clone, Debug)]
struct Change {
    at: Duration,
    rev: Rev,
    key: String,
    /// The announcement; `None` if it was removed.
    entry: Option<VmEntry>,
}

/// The announcements in the store, with their history, and the daemons that read them.
pub struct Watchers {
    rng: SmallRng,
    announce_interval: Duration,
    history: Vec<Change>,
    rev: Rev,
    daemons: Vec<Daemon>,
}

/// A daemon's view of the announcements.
struct Daemon {
    times: RevisionTimes,
    /// The newest revision of the store that is known.
    newest: Rev,
    next_call: Duration,
    shards: usize,
    /// Whether it has claimed a shard since it last began to read the list.
    claimed: bool,
    /// VMs with runs of the shards claimed since the last fresh list.
    recovered: Vec<VmId>,
    vms: IndexMap<String, VmEntry>,
    leaving: LeavingVms,
    /// Changes up to this revision have been read.
    after: Rev,
    requested_at: Option<Duration>,
    read: Option<Read>,
    next_read: Duration,
    look_ups: Vec<LookUp>,
}

/// A read in flight.
#[derive(Clone, Copy, Debug)]
struct Read {
    kind: ReadKind,
    asked: Duration,
    done: Duration,
    /// Its answer tells of the changes up to this time.
    until: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadKind {
    Changes,
    FullList,
    /// A list that may be out of date.
    StaleList,
}

/// VMs that are looked up in the history up to a revision.
struct LookUp {
    vms: Vec<VmId>,
    up_to: Rev,
    done: Duration,
}

/// What a daemon has read.
#[derive(Debug, Default)]
pub struct Reading {
    /// The list of VMs and when it was requested.
    pub list: Option<(Vec<VmEntry>, Option<Duration>)>,
    pub departures: Vec<Departure>,
}

impl Daemon {
    /// Records the revision that a read tells, unless the store is known to have been ahead of it.
    fn record_answer(&mut self, read: Read, now: Duration, rev: Rev) {
        if rev >= self.newest {
            self.newest = rev;
            self.times.record(read.asked, now, rev);
        }
    }
}

impl Watchers {
    /// Creates daemons that own nothing and have read nothing.
    pub fn new(seed: u64, now: Duration, announce_interval: Duration) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let daemon = |rng: &mut SmallRng| Daemon {
            times: RevisionTimes::default(),
            newest: Rev::ABSENT,
            next_call: now + CALL_INTERVAL.mul_f64(rng.random_range(0.0..1.0)),
            shards: 0,
            claimed: false,
            recovered: Vec::new(),
            vms: IndexMap::new(),
            leaving: LeavingVms::default(),
            after: Rev::ABSENT,
            requested_at: None,
            read: None,
            next_read: now + IDLE_INTERVAL.mul_f64(rng.random_range(0.0..1.0)),
            look_ups: Vec::new(),
        };
        let daemons = (0..DAEMONS).map(|_| daemon(&mut rng)).collect();
        Self { rng, announce_interval, history: Vec::new(), rev: Rev(10), daemons }
    }

    /// Writes an announcement.
    pub fn announce(&mut self, now: Duration, entry: &VmEntry) {
        self.rev = Rev(self.rev.0 + 1);
        let entry = VmEntry { announced: self.rev, ..entry.clone() };
        let key = entry.id.registered().to_owned();
        self.history.push(Change { at: now, rev: self.rev, key, entry: Some(entry) });
    }

    /// Removes an announcement.
    pub fn remove(&mut self, now: Duration, entry: &VmEntry) {
        self.rev = Rev(self.rev.0 + 1);
        let key = entry.id.registered().to_owned();
        self.history.push(Change { at: now, rev: self.rev, key, entry: None });
    }

    /// Chooses the daemon that claims a shard, whose runs are bound to these VMs, after `previous`;
    /// returns it with the VMs that it knows.
    pub fn claim(
        &mut self,
        now: Duration,
        previous: Option<usize>,
        bound: &[VmId],
    ) -> (usize, Vec<VmEntry>) {
        let number = loop {
            let number = self.rng.random_range(0..DAEMONS);
            if Some(number) != previous {
                break number;
            }
        };
        if let Some(previous) = previous {
            self.daemons[previous].shards -= 1;
        }
        let daemon = &mut self.daemons[number];
        daemon.shards += 1;
        daemon.claimed = true;
        daemon.recovered.extend_from_slice(bound);
        daemon.next_read = now;
        (number, daemon.vms.values().cloned().collect())
    }

    /// Lets the daemons read what is due; returns what each has read.
    pub fn tick(&mut self, now: Duration) -> Vec<(usize, Reading)> {
        (0..DAEMONS).filter_map(|number| Some((number, self.tick_daemon(now, number)?))).collect()
    }

    fn tick_daemon(&mut self, now: Duration, number: usize) -> Option<Reading> {
        let newest = self.rev;
        let daemon = &mut self.daemons[number];
        if now >= daemon.next_call {
            daemon.next_call = now + CALL_INTERVAL;
            daemon.times.record(now.saturating_sub(CALL_TIME), now, newest);
            daemon.newest = newest;
        }
        self.begin_read(now, number);
        let reading = self.complete_read(now, number);
        let found = self.complete_look_ups(now, number);
        if found.is_empty() {
            return reading;
        }
        let mut reading = reading.unwrap_or_default();
        reading.departures.extend(found);
        Some(reading)
    }

    fn begin_read(&mut self, now: Duration, number: usize) {
        let daemon = &mut self.daemons[number];
        if daemon.read.is_some() || now < daemon.next_read {
            return;
        }
        let claimed = std::mem::take(&mut daemon.claimed);
        let kind = match daemon.shards {
            0 => ReadKind::StaleList,
            _ if claimed => ReadKind::FullList,
            _ => ReadKind::Changes,
        };
        let is_slow = self.rng.random_ratio(SLOW_PERCENT, 100);
        let time = self.millis(if is_slow { SLOW_READ_TIME } else { READ_TIME });
        let is_held = self.rng.random_ratio(SLOW_PERCENT, 100);
        let hold = self.millis(HOLD);
        let until = match kind {
            ReadKind::Changes if is_held => now.saturating_sub(hold),
            ReadKind::Changes | ReadKind::FullList => now + time / 2,
            ReadKind::StaleList => now.saturating_sub(hold),
        };
        let daemon = &mut self.daemons[number];
        daemon.read = Some(Read { kind, asked: now, done: now + time, until });
    }

    fn millis(&mut self, range: Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }

    fn complete_read(&mut self, now: Duration, number: usize) -> Option<Reading> {
        let read = self.daemons[number].read.filter(|read| read.done <= now)?;
        self.daemons[number].read = None;
        let Daemon { shards, claimed, .. } = self.daemons[number];
        self.daemons[number].next_read = match shards {
            _ if claimed => now,
            0 => now + IDLE_INTERVAL,
            _ => now + OWNER_INTERVAL,
        };
        let findings = match read.kind {
            ReadKind::Changes => self.apply_changes(now, number, read),
            ReadKind::FullList | ReadKind::StaleList => self.apply_list(now, number, read),
        };
        if read.kind == ReadKind::FullList {
            self.begin_look_up(now, number, &findings);
        }
        let daemon = &self.daemons[number];
        let list = (daemon.vms.values().cloned().collect(), daemon.requested_at);
        let departures = findings.iter().filter_map(Finding::departure).collect();
        Some(Reading { list: Some(list), departures })
    }

    fn apply_changes(&mut self, now: Duration, number: usize, read: Read) -> Vec<Finding> {
        let after = self.daemons[number].after;
        let is_new = |change: &&Change| change.rev > after && change.at <= read.until;
        let changes: Vec<Change> = self.history.iter().filter(is_new).cloned().collect();
        let mut findings = Vec::new();
        for change in changes {
            self.daemons[number].after = change.rev;
            match change.entry {
                Some(entry) => self.apply_entry(number, entry, read.asked),
                None => {
                    let removal = self.removal(now, change.rev);
                    let Daemon { leaving, vms, times, .. } = &mut self.daemons[number];
                    findings.extend(leaving.remove(&change.key, removal, times));
                    vms.shift_remove(&change.key);
                }
            }
        }
        let daemon = &mut self.daemons[number];
        daemon.requested_at = Some(read.asked);
        daemon.record_answer(read, now, daemon.after);
        findings
    }

    fn apply_list(&mut self, now: Duration, number: usize, read: Read) -> Vec<Finding> {
        let mut present: IndexMap<String, VmEntry> = IndexMap::new();
        let mut up_to = Rev::ABSENT;
        for change in self.history.iter().filter(|change| change.at <= read.until) {
            up_to = change.rev;
            match &change.entry {
                Some(entry) => present.insert(change.key.clone(), entry.clone()),
                None => present.shift_remove(&change.key),
            };
        }
        let daemon = &mut self.daemons[number];
        let is_latest = read.kind == ReadKind::FullList;
        daemon.requested_at = is_latest.then_some(read.asked);
        if is_latest {
            daemon.record_answer(read, now, up_to);
        } else if up_to < daemon.after {
            // The list is older than what was read before.
            return Vec::new();
        }
        daemon.after = up_to;
        present.values().for_each(|entry| self.apply_entry(number, entry.clone(), read.asked));
        let removal = self.removal(now, up_to);
        let Daemon { leaving, vms, times, .. } = &mut self.daemons[number];
        let keys: IndexSet<&str> = present.keys().map(String::as_str).collect();
        let missing = leaving.missing(&keys);
        vms.retain(|key, _| present.contains_key(key));
        missing.iter().filter_map(|key| leaving.remove(key, removal, times)).collect()
    }

    fn apply_entry(&mut self, number: usize, mut entry: VmEntry, asked: Duration) {
        let interval = self.announce_interval;
        let Daemon { leaving, vms, times, .. } = &mut self.daemons[number];
        let (key, rev) = (entry.id.registered().to_owned(), entry.announced);
        let known = vms.get(&key).filter(|known| known.announced == rev);
        let known = known.and_then(|known| known.announced_after);
        entry.announced_after = known
            .filter(|known| matches!(known, AnnouncedAfter::Bound(_)))
            .or_else(|| times.written_after(rev).map(AnnouncedAfter::Bound))
            .or(known)
            .or_else(|| Some(AnnouncedAfter::Estimate(asked.saturating_sub(interval))));
        leaving.record(&key, rev, &entry, times);
        vms.insert(key, entry);
    }

    fn removal(&self, now: Duration, rev: Rev) -> Removal {
        let announce_interval = self.announce_interval;
        let reachable_since = Some(Duration::ZERO);
        Removal { now, rev, removed_by: rev, reachable_since, announce_interval }
    }

    /// Looks up VMs that a list lacks, unless their departures are proved.
    fn begin_look_up(&mut self, now: Duration, number: usize, findings: &[Finding]) {
        let done = now + self.millis(LOOK_UP_TIME);
        let daemon = &mut self.daemons[number];
        let mut missing = std::mem::take(&mut daemon.recovered);
        missing.extend(findings.iter().map(|finding| finding.vm.clone()));
        let departed: Vec<Departure> = findings.iter().filter_map(Finding::departure).collect();
        missing.retain(|vm| {
            daemon.vms.values().all(|entry| entry.id != *vm)
                && departed.iter().all(|departure| departure.vm != *vm)
        });
        daemon.look_ups.push(LookUp { vms: missing, up_to: daemon.after, done });
    }

    fn complete_look_ups(&mut self, now: Duration, number: usize) -> Vec<Departure> {
        let daemon = &mut self.daemons[number];
        let done: Vec<LookUp> = daemon.look_ups.extract_if(.., |it| it.done <= now).collect();
        let times = &self.daemons[number].times;
        let departure = |vm: &VmId, up_to| self.departure(now, times, vm, up_to);
        done.iter().flat_map(|it| it.vms.iter().filter_map(|vm| departure(vm, it.up_to))).collect()
    }

    /// The departure of a VM whose announcement was removed, if the history proves it.
    fn departure(
        &self,
        now: Duration,
        times: &RevisionTimes,
        vm: &VmId,
        up_to: Rev,
    ) -> Option<Departure> {
        let mut leaving = LeavingVms::default();
        let mut last = None;
        let of_vm = self.history.iter().filter(|change| change.key == vm.registered());
        for change in of_vm.filter(|change| change.rev <= up_to) {
            match &change.entry {
                Some(entry) => leaving.record(&change.key, change.rev, entry, times),
                None => last = leaving.remove(&change.key, self.removal(now, change.rev), times),
            }
        }
        last?.departure()
    }
}
