//! State of the other daemons and the schedule of hellos to them.

use super::orphans::{OWNER_TIMEOUT, PROBE_INTERVAL};
use super::{Action, Ownership};
use crate::cluster::member::{Hello, Member, StoreReachability};
use crate::ids::DaemonId;
use crate::note::{Millis, Note, StaticText};
use std::time::Duration;

/// Interval between hellos of a daemon that owns a shard.
const OWNER_HELLO_INTERVAL: Duration = Duration::from_millis(400);

/// Interval between hellos of a daemon that owns no shard.
const HELLO_INTERVAL: Duration = Duration::from_millis(1000);

/// Largest number of other daemons at which daemons without shards send each other a hello every
/// second.
const SMALL_CLUSTER: usize = 16;

/// Last known state of another daemon.
#[derive(Clone, Debug)]
pub(super) struct MemberState {
    pub(super) member: Member,
    pub(super) last_heard: Duration,
    /// When an earlier process of the daemon was last heard.
    pub(super) earlier_heard: Duration,
    /// When the newest hello that this process answered was sent to it.
    pub(super) answered: Option<Duration>,
    /// When this process of the daemon was first heard of.
    pub(super) joined: Duration,
    /// Latest time at which this process has started.
    pub(super) started_by: Duration,
    pub(super) store: StoreReachability,
    /// When `store` last changed.
    pub(super) store_since: Duration,
    pub(super) shards: Vec<String>,
    /// Number of the hello that told this, and when it was received.
    pub(super) told: Option<(u64, Duration)>,
    /// Version of the configuration in force at that daemon.
    pub(super) config: u64,
    /// When its port was found to refuse connections; cleared by the next answer.
    pub(super) refused_at: Option<Duration>,
    pub(super) last_probe: Duration,
    pub(super) next_hello: Duration,
    /// Until when no shard is handed over to it, because it didn't accept the last offer.
    pub(super) skipped_until: Duration,
}

impl MemberState {
    /// Whether another process of the daemon takes this one's place. It must have answered a hello
    /// sent after this one was heard, unless this one owns no shard and nothing depends on it.
    fn may_be_replaced(&self, asked: Option<Duration>) -> bool {
        self.shards.is_empty() || asked.is_some_and(|asked| asked >= self.last_heard)
    }

    fn replace_process(&mut self, member: Member, now: Duration) {
        self.member = member;
        self.earlier_heard = self.last_heard;
        self.last_heard = now;
        self.answered = None;
        self.joined = now;
        self.started_by = now;
        self.shards.clear();
        self.told = None;
        self.refused_at = None;
        self.skipped_until = Duration::ZERO;
    }

    /// Whether a probe is due; marks it as sent.
    pub(super) fn take_probe(&mut self, now: Duration) -> bool {
        let due = now.saturating_sub(self.last_probe) >= PROBE_INTERVAL;
        if due {
            self.last_probe = now;
        }
        due
    }
}

impl Ownership {
    /// Live daemons, excluding this one.
    pub fn members(&self) -> Vec<Member> {
        self.members
            .values()
            .filter(|known| self.is_alive(known))
            .map(|k| k.member.clone())
            .collect()
    }

    /// Returns the daemons that are due for a hello and schedules the next one for each. Owners send
    /// hellos to everyone frequently, since others rely on them. Daemons without shards send them to
    /// owners less often, and to each other at an interval that grows with the size of the cluster.
    pub fn take_due_hellos(&mut self, now: Duration) -> Vec<Member> {
        // Others rely on what a daemon says about shards that it has given up as well.
        let owns = !self.held.is_empty() || !self.released_shards(now).is_empty();
        let idle_interval = idle_hello_interval(self.members.len());
        let mut due = Vec::new();
        for known in self.members.values_mut().filter(|known| now >= known.next_hello) {
            let pause = match (owns, known.shards.is_empty()) {
                (true, _) => OWNER_HELLO_INTERVAL,
                (false, false) => HELLO_INTERVAL,
                (false, true) => idle_interval,
            };
            known.next_hello = now + pause;
            due.push(known.member.clone());
        }
        due
    }

    /// Makes a hello to every daemon due at once, because of an important change.
    pub fn schedule_hello_to_all(&mut self) {
        self.members.values_mut().for_each(|known| known.next_hello = self.now);
    }

    /// Whether a daemon owns shards, and so needs to know the free room in this daemon's shards.
    pub fn is_owner(&self, name: &str) -> bool {
        self.members.get(name).is_some_and(|known| !known.shards.is_empty())
    }

    pub(super) fn handle_registered(&mut self, members: Vec<Member>) {
        let now = self.now;
        for member in members {
            if member.name == self.me.name {
                continue;
            }
            let alive = self.members.get(&member.name).is_some_and(|known| self.is_alive(known));
            match self.members.get_mut(&member.name) {
                None => self.add_member(member),
                // A daemon's own hellos take precedence over its registration in the store.
                Some(known) if known.member.id != member.id && !alive => {
                    known.replace_process(member, now);
                }
                Some(_) => {}
            }
        }
    }

    pub(super) fn add_member(&mut self, member: Member) {
        let (id, name) = (member.id.clone(), member.name.clone());
        let known = MemberState {
            member,
            last_heard: self.now,
            earlier_heard: self.now,
            answered: None,
            joined: self.now,
            started_by: self.now,
            store: StoreReachability::Away,
            store_since: self.now,
            shards: Vec::new(),
            told: None,
            config: 0,
            refused_at: None,
            last_probe: self.now,
            next_hello: self.now,
            skipped_until: Duration::ZERO,
        };
        self.members.insert(name, known);
        self.log_member(id, "known", Duration::ZERO);
    }

    pub(super) fn handle_hello(&mut self, hello: Hello, asked: Option<Duration>) {
        let now = self.now;
        let name = hello.from.name.clone();
        if name == self.me.name {
            return;
        }
        self.newest_config = self.newest_config.max(hello.config);
        if !self.members.contains_key(&name) {
            self.add_member(hello.from.clone());
        }
        self.record_reports(&hello);
        asked.iter().for_each(|asked| self.check_predecessors(&hello, *asked));
        let Some(known) = self.members.get_mut(&name) else { return };
        if known.member.id != hello.from.id {
            if !known.may_be_replaced(asked) {
                self.probe_process(&name, hello.from);
                return;
            }
            known.replace_process(hello.from.clone(), now);
        }
        known.started_by = known.started_by.min(hello.sender_started_by(now));
        if known.refused_at.is_some_and(|refused| asked.is_none_or(|asked| asked < refused)) {
            self.probe_process(&name, hello.from);
            return;
        }
        let overtaken = known.told.is_some_and(|(number, _)| hello.number < number);
        if overtaken && asked.is_none() {
            return;
        }
        known.last_heard = now;
        known.answered = known.answered.max(asked);
        known.refused_at = None;
        if overtaken {
            return;
        }
        known.told = Some((hello.number, now));
        known.member = hello.from;
        if known.store != hello.store {
            known.store = hello.store;
            known.store_since = now;
        }
        known.config = hello.config;
        known.shards = hello.shards.iter().map(|report| report.name.clone()).collect();
    }

    fn record_reports(&mut self, hello: &Hello) {
        self.record_released_reports(hello);
        for report in hello.shards.iter() {
            self.record_owner(&report.name, hello.from.id.clone(), report.fence);
            let until = self.now.saturating_add(report.earlier_active);
            let view = self.shards.get_mut(&report.name);
            if let Some(view) = view.filter(|view| view.fence == report.fence) {
                view.listed = view.listed.max(Some(hello.number));
                let known = view.earlier_active_until.unwrap_or(Duration::MAX);
                view.earlier_active_until = Some(known.min(until));
            }
        }
    }

    /// Asks a process of a known daemon whether it is the one that is running.
    fn probe_process(&mut self, name: &str, process: Member) {
        let now = self.now;
        let Some(known) = self.members.get_mut(name) else { return };
        if known.take_probe(now) {
            self.actions.push(Action::Probe(process));
        }
    }

    pub(super) fn handle_refused(&mut self, id: &DaemonId, asked: Duration) {
        let now = self.now;
        let Some(known) = self.members.values_mut().find(|k| k.member.id == *id) else { return };
        if known.refused_at.is_none() && known.last_heard <= asked {
            known.refused_at = Some(now);
            let silent = now.saturating_sub(known.last_heard);
            self.log_member(id.clone(), "refused", silent);
        }
    }

    pub(super) fn is_alive(&self, known: &MemberState) -> bool {
        self.is_alive_at(known, self.now)
    }

    pub(super) fn is_alive_at(&self, known: &MemberState, now: Duration) -> bool {
        let timeout = if known.shards.is_empty() && self.held.is_empty() {
            OWNER_TIMEOUT.max(2 * idle_hello_interval(self.members.len()))
        } else {
            OWNER_TIMEOUT
        };
        known.refused_at.is_none() && now.saturating_sub(known.last_heard) < timeout
    }

    pub(super) fn log_member(&mut self, member: DaemonId, state: StaticText, silent: Duration) {
        let silent_ms = Millis(silent);
        self.actions.push(Action::Note(Note::MemberChanged { member, state, silent_ms }));
    }
}

/// Interval between hellos among daemons without shards, for this number of other daemons.
///
/// A hello takes 0.2 ms of CPU at each end. With 45 daemons, one hello a second to each used a
/// fifth of a small daemon's CPU.
pub(super) fn idle_hello_interval(others: usize) -> Duration {
    HELLO_INTERVAL * u32::try_from(others.div_ceil(SMALL_CLUSTER)).unwrap_or(u32::MAX).max(1)
}
