//! Durable record of unresponsive VMs, which saves the next owner from waiting for them again.
//!
//! Work on a VM that does not answer is certain to have ended some time after its lease was last
//! extended. Only the owner knows that time; its successor would have to assume that the lease was
//! extended until the takeover or even later. An owner therefore records in the store that it does
//! not extend a VM, and how much time is left; it also tells the other daemons how much is left.
//! The record is durably removed before the VM's lease is extended again, so the times are valid for
//! as long as the record is in the store, however late they are read.
//!
//! The time in the record bounds the end of the VM's runs from any later claim on:
//!
//! - It is taken as the commit is built, after the last call that extends the lease. It covers that
//!   call and all earlier ones, also if they are executed late, since a call carries the end of the
//!   lease on the VM's clock. No other call is sent while the VM is in a commit or in the record.
//! - A claim is conditional on the revision of the shard's head that was read before it was sent, and
//!   each commit changes that revision. So all commits of earlier owners that ever take effect were
//!   built before the head was last written, and before the owner in it ended. Their times are counted
//!   from the earlier of these two, as far as they are known, or from the claim, which is only later.
//! - An owner that was replaced without knowing can't remove a VM from the record any more. It goes
//!   on not extending it.
//! - An owner that inherits the record counts with its times, and writes what is left of them. Where
//!   an owner before the last may still extend the lease, these times cover it.
//!
//! The record is written again while work may be left, since its times are as old as it is: with each
//! commit, and at intervals without any.

#[cfg(test)]
mod tests;

use super::Shard;
use super::ended::earliest_end;
use super::recover::VmLapse;
use super::settings::{COMMIT_STALL_TIMEOUT, SILENCE_TIMEOUT};
use super::vm_run::{Responsiveness, Vm};
use crate::duration;
use crate::ids::VmId;
use crate::job::progress::{Result, decode, decode_prefix, encode};
use crate::note::{Millis, Note, StaticText};
use crate::vm;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Time without an answer after which a VM is recorded. It is several seconds shorter than the time
/// that work is kept running, which the next owner saves, and longer than most pauses, since each
/// recorded pause costs two commits.
const RECORD_SILENCE_AFTER: Duration = Duration::from_secs(3);

/// Consecutive polls without a connection after which a VM is recorded: it is rarely pausing.
const MIN_REFUSED_POLLS: u32 = 2;

/// Minimum time between two records for VMs that don't count as silent yet, so that many VMs that
/// refuse connections at once are recorded by few commits.
const REFUSALS_RECORD_GAP: Duration = Duration::from_millis(200);

/// Age from which the record is written again.
const MAX_RECORD_AGE: Duration = Duration::from_secs(1);

/// Age from which commits that are due anyway include the record.
const REFRESH_AGE: Duration = Duration::from_millis(100);

/// Number of the commit that first recorded a silent period; distinguishes it from earlier periods
/// of the same VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SilenceMark(pub u64);

/// Stored entry of a VM whose lease is not extended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SilentVm {
    pub vm: VmId,
    pub mark: SilenceMark,
    /// How much longer runs could last there when the record was written; earlier releases don't
    /// store it.
    pub left: Option<Duration>,
}

/// The part of an entry that earlier releases store as well.
#[derive(Debug, Serialize, Deserialize)]
struct MarkedVm {
    vm: VmId,
    mark: SilenceMark,
}

impl SilentVm {
    /// Encodes the stored record. The times follow the entries, where earlier releases ignore them.
    pub fn encode_all(silent: &[Self]) -> Vec<u8> {
        let marked = |silent: &Self| MarkedVm { vm: silent.vm.clone(), mark: silent.mark };
        let mut bytes = encode(&silent.iter().map(marked).collect::<Vec<_>>());
        bytes.extend(encode(&silent.iter().map(|silent| silent.left).collect::<Vec<_>>()));
        bytes
    }

    /// Decodes the stored record, also one written by an earlier release.
    pub fn decode_all(bytes: &[u8]) -> Result<Vec<Self>> {
        let (marked, rest): (Vec<MarkedVm>, &[u8]) = decode_prefix(bytes)?;
        let left: Vec<Option<Duration>> = if rest.is_empty() { Vec::new() } else { decode(rest)? };
        let left = left.into_iter().map(|left| left.map(duration::bounded));
        let left = left.chain(std::iter::repeat(None));
        let silent = |(MarkedVm { vm, mark }, left)| Self { vm, mark, left };
        Ok(marked.into_iter().zip(left).map(silent).collect())
    }
}

/// How long a VM that is recorded as silent may keep its work running.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedLapse {
    pub lapse: VmLapse,
    pub mark: SilenceMark,
}

impl ReportedLapse {
    /// Returns the lapse as seen after `passed`.
    pub fn aged(self, passed: Duration) -> Self {
        Self { lapse: self.lapse.aged(passed), ..self }
    }
}

/// A VM that is to be in the record, and the time by which its runs have ended.
#[derive(Clone, Debug)]
struct SilentUntil {
    vm: VmId,
    runs_end: Duration,
}

/// Entry of a VM in the record.
#[derive(Clone, Copy, Debug)]
struct Entry {
    mark: SilenceMark,
    /// Time by which the VM's runs have ended; `None` if the stored entry doesn't tell.
    runs_end: Option<Duration>,
}

impl Entry {
    /// Returns whether the stored entry `durable` still holds for this one.
    fn is_covered_by(self, durable: Self) -> bool {
        let covers = |end| self.runs_end.is_some_and(|needed| needed <= end);
        self.mark == durable.mark && durable.runs_end.is_some_and(covers)
    }
}

/// One version of the record.
#[derive(Clone, Debug, Default)]
struct Version {
    entries: IndexMap<VmId, Entry>,
    /// When its times were taken.
    at: Duration,
}

/// Whether the durable record has become too old.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Age {
    #[default]
    Recent,
    Outdated,
}

/// The record of silent VMs: wanted, in flight to the store, and durable.
#[derive(Debug, Default)]
pub struct SilenceRecord {
    wanted: IndexMap<VmId, Entry>,
    sent: Option<Version>,
    durable: Version,
    age: Age,
    /// When a commit last waited for the store.
    stalled_at: Option<Duration>,
}

impl SilenceRecord {
    /// Creates the record from its stored entries, whose times were taken by `written_by`.
    pub fn new(silent: Vec<SilentVm>, written_by: Duration) -> Self {
        let entry = |SilentVm { vm, mark, left }| {
            (vm, Entry { mark, runs_end: left.map(|left| written_by + left) })
        };
        let entries: IndexMap<VmId, Entry> = silent.into_iter().map(entry).collect();
        let wanted = entries.clone();
        Self { wanted, durable: Version { entries, at: written_by }, ..Self::default() }
    }

    /// Returns whether a commit that is due anyway includes the record.
    pub fn is_refreshed(&self, now: Duration) -> bool {
        let age = now.saturating_sub(self.durable.at);
        self.sent.is_none() && !self.wanted.is_empty() && age >= REFRESH_AGE
    }

    /// Returns whether the record needs to be written and no write is in flight.
    pub fn needs_write(&self) -> bool {
        let durable = &self.durable.entries;
        let is_durable = |(vm, entry): (&VmId, &Entry)| {
            durable.get(vm).is_some_and(|durable| entry.is_covered_by(*durable))
        };
        let changed = self.wanted.len() != durable.len() || !self.wanted.iter().all(is_durable);
        self.sent.is_none() && (changed || self.age == Age::Outdated)
    }

    /// Returns the entries to write at `now` and marks them as in flight.
    pub fn start_write(&mut self, now: Duration) -> Vec<SilentVm> {
        self.sent = Some(Version { entries: self.wanted.clone(), at: now });
        let silent = |(vm, entry): (&VmId, &Entry)| SilentVm {
            vm: vm.clone(),
            mark: entry.mark,
            left: entry.runs_end.map(|end| end.saturating_sub(now)),
        };
        self.wanted.iter().map(silent).collect()
    }

    /// Marks the entries in flight as durable.
    pub fn write_done(&mut self) {
        if let Some(sent) = self.sent.take() {
            self.durable = sent;
            self.age = Age::Recent;
        }
    }

    /// Discards the entries in flight, which were not written.
    pub fn write_failed(&mut self) {
        self.sent = None;
    }

    /// Returns whether a VM's lease may be extended: the VM is neither in the durable record nor in
    /// one that is being written.
    pub fn may_extend_lease(&self, vm: &VmId) -> bool {
        let sent = self.sent.as_ref().is_some_and(|sent| sent.entries.contains_key(vm));
        !sent && !self.durable.entries.contains_key(vm)
    }

    /// Returns the mark of a VM that is durably recorded as silent.
    pub fn mark(&self, vm: &VmId) -> Option<SilenceMark> {
        self.durable.entries.get(vm).map(|entry| entry.mark)
    }

    /// Returns whether a VM's silence is to be recorded: it is long, the last owner has told of it, the
    /// VM accepts no connection or has never answered this owner, or the silence began before a commit
    /// had its answer from a store that was away.
    fn is_due(&self, vm: &Vm, now: Duration) -> bool {
        self.is_refusal_due(vm, now) || self.is_silence_due(vm, now)
    }

    fn is_refusal_due(&self, vm: &Vm, now: Duration) -> bool {
        let recorded_at = self.sent.as_ref().unwrap_or(&self.durable).at;
        vm.contact.refused_polls >= MIN_REFUSED_POLLS
            && now.saturating_sub(recorded_at) >= REFUSALS_RECORD_GAP
    }

    fn is_silence_due(&self, vm: &Vm, now: Duration) -> bool {
        let Some(since) = silent_since(vm) else { return false };
        let silence = now.saturating_sub(since);
        let from_outage = self.stalled_at.is_some_and(|at| since <= at);
        let is_likely_lasting = vm.contact.refused_polls > 0
            || vm.contact.last_successful_poll.is_none()
            || from_outage;
        silence >= RECORD_SILENCE_AFTER
            || vm.lease.is_told()
            || silence >= SILENCE_TIMEOUT && is_likely_lasting
    }

    fn update_wanted(&mut self, silent: Vec<SilentUntil>, mark: SilenceMark, now: Duration) {
        // A VM that is in the record keeps its mark. While a write is in flight, the record is what
        // is being written: once a VM is durably removed, its lease may be extended.
        let record = &self.sent.as_ref().unwrap_or(&self.durable).entries;
        let entry = |SilentUntil { vm, runs_end }| {
            let wanted = self.wanted.get(&vm).map(|entry| entry.mark);
            let recorded = record.get(&vm).map(|entry| entry.mark);
            let mark = wanted.or(recorded).unwrap_or(mark);
            (vm, Entry { mark, runs_end: Some(runs_end) })
        };
        self.wanted = silent.into_iter().map(entry).collect();
        let has_work = || self.wanted.values().any(|entry| entry.runs_end > Some(now));
        let is_old = now.saturating_sub(self.durable.at) >= MAX_RECORD_AGE;
        self.age = if is_old && has_work() { Age::Outdated } else { Age::Recent };
    }
}

impl Shard {
    /// Records whether a poll ended without a connection to its VM.
    pub(super) fn note_connection(&mut self, id: &VmId, result: &vm::Result<vm::PollResp>) {
        if let Some(vm) = self.vms.get_mut(id) {
            let is_connected = !matches!(result, Err(vm::Error::NotSent { .. }));
            vm.record_connection(is_connected, self.now.steady);
        }
    }

    /// Updates the record of silent VMs for the next commit.
    pub(super) fn update_silence_record(&mut self) {
        let now = self.now.steady;
        if self.log.age(now) > COMMIT_STALL_TIMEOUT {
            self.log.silence.stalled_at = Some(now);
        }
        let record = &self.log.silence;
        let recorded = |vm: &Vm| record.wanted.contains_key(&vm.id);
        let silent = |vm: &&Vm| {
            !vm.runs.is_empty() && (record.is_due(vm, now) || recorded(vm) && has_not_answered(vm))
        };
        let lease = self.settings.inherited_lease(Duration::ZERO);
        let until =
            |vm: &Vm| SilentUntil { vm: vm.id.clone(), runs_end: vm.all_runs_ended_by(lease) };
        let silent: Vec<SilentUntil> = self.vms.values().filter(silent).map(until).collect();
        let mark = SilenceMark(self.log.next_seq());
        self.log.silence.update_wanted(silent, mark, now);
    }

    /// Returns the remaining time of each VM that is durably recorded as silent, as of `now`.
    pub fn reported_lapses(&self, now: Duration) -> Vec<ReportedLapse> {
        let lease = self.settings.inherited_lease(Duration::ZERO);
        let reported = |vm: &Vm| {
            let mark = self.log.silence.mark(&vm.id)?;
            let left = vm.all_runs_ended_by(lease).saturating_sub(now);
            Some(ReportedLapse { lapse: VmLapse { vm: vm.id.clone(), left }, mark })
        };
        self.vms.values().filter_map(reported).collect()
    }

    /// Applies the remaining times that the record of silent VMs holds. They replace the inherited
    /// one also where they are longer: an owner before the last may still extend the VMs' leases.
    pub(super) fn apply_stored_lapses(&mut self) {
        for (id, entry) in &self.log.silence.durable.entries {
            if let Some((vm, end)) = self.vms.get_mut(id).zip(entry.runs_end) {
                vm.lease.set_told(end.max(earliest_end(vm.known_since)));
            }
        }
    }

    /// Applies the reported remaining times of VMs that are still recorded as silent in the store,
    /// since nobody has extended their leases.
    pub(super) fn apply_reported_lapses(&mut self, reported: &[ReportedLapse]) {
        let now = self.now.steady;
        for (id, entry) in self.log.silence.durable.entries.clone() {
            let of_entry =
                |known: &&ReportedLapse| known.lapse.vm == id && known.mark == entry.mark;
            let reported = reported.iter().find(of_entry).map(|known| now + known.lapse.left);
            let Some(source) = lapse_source(reported, entry.runs_end) else { continue };
            let Some(vm) = self.vms.get_mut(&id) else { continue };
            if let Some(end) = reported {
                vm.lease.limit_told(end);
            }
            let left_ms = Millis(vm.runs_ended_by().saturating_sub(now));
            let runs = vm.runs.len();
            self.note(Note::VmLapseTold { vm: id, left_ms, source, runs });
        }
    }
}

/// Returns where the shorter of a reported and a stored time comes from; `None` if there is neither.
fn lapse_source(reported: Option<Duration>, stored: Option<Duration>) -> Option<StaticText> {
    match (reported, stored) {
        (None, None) => None,
        (Some(reported), Some(stored)) if stored < reported => Some("store"),
        (Some(_), _) => Some("hello"),
        (None, Some(_)) => Some("store"),
    }
}

/// Since when a VM has not answered, or since when it is known if it has never answered this owner.
fn silent_since(vm: &Vm) -> Option<Duration> {
    let never_answered = vm.contact.last_successful_poll.is_none() && vm.contact.failures > 0;
    match vm.contact.responsiveness {
        Responsiveness::SilentSince(since) => Some(since),
        Responsiveness::Responsive => never_answered.then_some(vm.known_since),
    }
}

/// Returns whether a VM is silent, left the last poll without an answer or has never answered this
/// owner.
fn has_not_answered(vm: &Vm) -> bool {
    vm.contact.responsiveness != Responsiveness::Responsive
        || vm.contact.failures > 0
        || vm.contact.last_successful_poll.is_none()
}
