//! Time by which the runs on a VM are certain to have ended.
//!
//! Each poll or start may extend the lease of all runs on its VM, and counts from when it is sent,
//! since its result comes later or never. Once a call has ended, its deadline either stays, as the
//! call may have arrived, or is dropped, as nothing was sent.

#[cfg(test)]
mod tests;

use super::vm_run::RunKey;
use crate::note::StaticText;
use crate::vm;
use indexmap::IndexMap;
use std::time::Duration;

/// Whether a call that has ended may have arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// Nothing was sent.
    NotSent,
    /// It may have arrived, or may still arrive.
    Unanswered,
    Answered,
}

impl Delivery {
    /// Returns what a call's result tells of its delivery.
    pub fn of<T>(result: &vm::Result<T>) -> Self {
        match result {
            Err(vm::Error::NotSent { .. }) => Self::NotSent,
            Err(vm::Error::NoAnswer { .. }) => Self::Unanswered,
            _ => Self::Answered,
        }
    }
}

/// A call that extends the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Extension {
    Poll,
    Start(RunKey),
}

/// How long a call lets its VM keep its runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTime {
    time: Duration,
    whole: Duration,
}

impl LeaseTime {
    /// A lease of `whole`, cut short to `longest`.
    pub fn new(whole: Duration, longest: Duration) -> Self {
        Self { time: whole.min(longest), whole }
    }

    /// The time from when the call is sent.
    pub fn time(self) -> Duration {
        self.time
    }

    /// The same without the cut.
    pub fn whole(self) -> Duration {
        self.whole
    }

    /// Whether nothing is left of it.
    pub fn is_zero(self) -> bool {
        self.time.is_zero()
    }

    /// Whether it was cut short.
    pub fn is_cut(self) -> bool {
        self.time < self.whole
    }
}

/// What set the end of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseSource {
    /// An earlier owner may have extended the lease until then.
    EarlierOwner,
    /// Orders for an earlier instance of the VM may have.
    EarlierInstance,
    AnsweredCall,
    UnansweredCall,
}

impl LeaseSource {
    /// Proof in log lines that a run has ended with its lease.
    pub fn proof(self) -> StaticText {
        match self {
            Self::EarlierOwner => {
                "the VM's deadline for keeping its runs has passed, set by an earlier owner"
            }
            Self::EarlierInstance => {
                "the VM's deadline for keeping its runs has passed, set for an earlier instance"
            }
            Self::AnsweredCall => {
                "the VM's deadline for keeping its runs has passed, set by an answered call"
            }
            Self::UnansweredCall => {
                "the VM's deadline for keeping its runs has passed, set by an unanswered call"
            }
        }
    }
}

/// Lease of the runs on a VM, as far as the owner knows.
#[derive(Clone, Debug)]
pub struct Lease {
    /// Latest end that earlier owners may have set.
    inherited_end: Duration,
    /// The end that the last owner told, which may allow for starts that are carried out late.
    told_end: Duration,
    /// Latest end that ended calls of this owner and orders for an earlier instance may have set.
    end: Duration,
    source: LeaseSource,
    open_calls: IndexMap<Extension, OpenCalls>,
}

impl Lease {
    /// Creates a lease that earlier owners may have extended until `end`.
    pub fn inherited(end: Duration) -> Self {
        Self {
            inherited_end: end,
            told_end: Duration::ZERO,
            end: Duration::ZERO,
            source: LeaseSource::EarlierOwner,
            open_calls: IndexMap::new(),
        }
    }

    /// Time by which every run is certain to have ended, unless the lease is extended.
    pub fn end(&self) -> Duration {
        self.open_calls.values().map(|open| open.end).fold(self.settled_end(), Duration::max)
    }

    /// What set the end.
    pub fn source(&self) -> LeaseSource {
        if self.end() > self.settled_end() {
            LeaseSource::UnansweredCall
        } else if self.end > self.inherited_end {
            self.source
        } else {
            LeaseSource::EarlierOwner
        }
    }

    /// The end without the calls in flight.
    fn settled_end(&self) -> Duration {
        self.inherited_end.max(self.end)
    }

    /// Records that a call is being sent that extends the lease to `end`.
    pub fn send(&mut self, call: Extension, end: Duration) {
        self.open_calls.entry(call).or_default().add(end);
    }

    /// Records that a call has ended; one that did not extend the lease is unknown.
    pub fn settle(&mut self, call: Extension, delivery: Delivery) {
        let Some(open) = self.open_calls.get_mut(&call) else { return };
        let end = open.remove();
        if open.is_empty() {
            self.open_calls.shift_remove(&call);
        }
        match delivery {
            Delivery::NotSent => {}
            Delivery::Unanswered => self.raise(end, LeaseSource::UnansweredCall),
            Delivery::Answered => self.raise(end, LeaseSource::AnsweredCall),
        }
    }

    /// Replaces the end that earlier owners may have set by the one that the last of them told.
    pub fn set_told(&mut self, end: Duration) {
        (self.inherited_end, self.told_end) = (end, end);
    }

    /// Returns whether the end is one that the last owner told.
    pub fn is_told(&self) -> bool {
        !self.told_end.is_zero()
    }

    /// Lowers the end that the last owner told, or replaces the inherited one if it told none.
    pub fn limit_told(&mut self, end: Duration) {
        let told = if self.is_told() { end.min(self.told_end) } else { end };
        self.set_told(told);
    }

    /// Lowers the end that earlier owners may have set to `end`, which the last of them has told as it
    /// lost the shard.
    pub fn limit(&mut self, end: Duration) {
        self.inherited_end = self.inherited_end.min(end);
        if self.is_told() {
            self.told_end = self.inherited_end;
        }
    }

    /// Lowers the end that earlier owners may have set to `end`, as far as what the last owner told
    /// allows. This owner's calls and orders for an earlier instance count on.
    pub fn shorten(&mut self, end: Duration) {
        self.inherited_end = self.inherited_end.min(end).max(self.told_end);
    }

    /// Lowers the end to `end` once the VM has answered its new owner: it carries out no order of an
    /// earlier one any more.
    pub fn exclude_earlier_owners(&mut self, end: Duration) {
        self.told_end = Duration::ZERO;
        self.shorten(end);
    }

    /// Records that orders for an earlier instance may keep runs until `end`.
    pub fn expect_late_orders(&mut self, end: Duration) {
        self.raise(end, LeaseSource::EarlierInstance);
    }

    fn raise(&mut self, end: Duration, source: LeaseSource) {
        if end > self.end {
            (self.end, self.source) = (end, source);
        }
    }
}

/// Calls in flight of one kind, and the latest time that they set.
///
/// There is rarely more than one: the result of an earlier call may never be reported.
#[derive(Clone, Copy, Debug, Default)]
pub struct OpenCalls {
    end: Duration,
    calls: u32,
}

impl OpenCalls {
    /// Adds a call.
    pub fn add(&mut self, end: Duration) {
        self.end = self.end.max(end);
        self.calls += 1;
    }

    /// Removes a call that has ended, and returns the time that it set at the latest.
    pub fn remove(&mut self) -> Duration {
        self.calls = self.calls.saturating_sub(1);
        self.end
    }

    /// Latest time that the calls set.
    pub fn end(&self) -> Duration {
        self.end
    }

    /// Whether no call is in flight.
    pub fn is_empty(&self) -> bool {
        self.calls == 0
    }
}
