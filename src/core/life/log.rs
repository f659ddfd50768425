//! Group commit of the records of one partition, with one batch in flight at a time.
//!
//! A commit is a compare-and-swap on the partition's head, so the next one can't be requested
//! before the previous one is settled. Records that arrive meanwhile are batched, which bounds the
//! number of store calls by the number of partitions and the commit interval instead of the number
//! of tasks.

use crate::core::context::Context;
use crate::core::event::Action;
use crate::ids::{Attempt, DaemonId, PartitionId, Ticket, VmId};
use crate::task::{Change, Record};
use std::collections::VecDeque;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Maximum size of a record in bytes, excluding its variable-length strings.
const RECORD_BYTES: usize = 160;

/// Average bytes per write of a head with its tail and the request; measured by the cost bench.
const HEAD_BYTES: usize = 1_400;

/// Records to be written to the partition's log.
#[derive(Debug, Default)]
pub struct Log {
    queue: VecDeque<Pending>,
    in_flight: Option<Batch>,
    next_commit: Duration,
    /// Time at which the head rewrites so far are within the configured rate.
    within_rate_at: Duration,
    store: StoreState,
}

/// A record that isn't durable yet.
#[derive(Debug)]
pub struct Pending {
    pub record: Record,
    /// Callers to reply to once the record is known to be durable or not written.
    pub tickets: Vec<Ticket>,
    /// Acknowledgement to send to a holder once the record is durable.
    pub ack: Option<Ack>,
}

/// Acknowledgement of an attempt's end.
#[derive(Clone, Debug)]
pub struct Ack {
    pub to: DaemonId,
    pub vm: VmId,
    pub attempt: Attempt,
}

#[derive(Debug)]
struct Batch {
    ticket: Ticket,
    sent: Duration,
    records: Vec<Pending>,
}

/// Whether the store wrote the last commit.
#[derive(Clone, Copy, Debug, Default)]
enum StoreState {
    #[default]
    Up,
    Down {
        until: Duration,
        failures: u32,
    },
}

impl Pending {
    /// Creates a record without a caller or an acknowledgement.
    pub fn new(record: Record) -> Self {
        Self { record, tickets: Vec::new(), ack: None }
    }

    /// Adds a caller to reply to.
    pub fn with_ticket(mut self, ticket: Ticket) -> Self {
        self.tickets.push(ticket);
        self
    }

    /// Sets the acknowledgement to send.
    pub fn with_ack(mut self, ack: Ack) -> Self {
        self.ack = Some(ack);
        self
    }

    fn bytes(&self) -> usize {
        match &self.record.change {
            Change::Accepted { key, spec } => {
                RECORD_BYTES + key.as_str().len() + spec.payload.len()
            }
            _ => RECORD_BYTES,
        }
    }
}

impl Log {
    /// Adds a record to the next commit.
    pub fn push(&mut self, pending: Pending) {
        self.queue.push_back(pending);
    }

    /// Requeues records that must still be written, ahead of the others and in their order.
    pub fn requeue(&mut self, records: Vec<Pending>) {
        for pending in records.into_iter().rev() {
            self.queue.push_front(pending);
        }
    }

    /// Whether no record is queued or in flight.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.in_flight.is_none()
    }

    /// Number of records waiting for the next commit.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Reason why new records can't be committed soon, if there is one.
    pub fn unavailable_reason(&self, cx: &Context) -> Option<&'static str> {
        let timeout = cx.cfg.limits.slow_commit_after;
        match (&self.store, &self.in_flight) {
            (StoreState::Down { until, .. }, _) if cx.now < *until => {
                Some("the key-value service takes no writes")
            }
            (_, Some(batch)) if cx.now >= batch.sent + timeout => {
                Some("the key-value service doesn't answer")
            }
            _ => None,
        }
    }

    /// Removes queued submissions while no commit can be made soon.
    pub fn take_overdue(&mut self, cx: &Context) -> Vec<Pending> {
        if self.queue.is_empty() || self.unavailable_reason(cx).is_none() {
            return Vec::new();
        }
        let queue = std::mem::take(&mut self.queue);
        let is_submission =
            |pending: &Pending| matches!(pending.record.change, Change::Accepted { .. });
        let (overdue, kept): (Vec<_>, Vec<_>) = queue.into_iter().partition(is_submission);
        self.queue = kept.into();
        overdue
    }

    /// Removes the queued records of a task whose submission was rejected.
    pub fn take_task_records(&mut self, number: u64) -> Vec<Pending> {
        let queue = std::mem::take(&mut self.queue);
        let belongs = |pending: &Pending| pending.record.task.number == number;
        let (taken, kept): (Vec<_>, Vec<_>) = queue.into_iter().partition(belongs);
        self.queue = kept.into();
        taken
    }

    /// Starts the next commit if it is due.
    pub fn flush(&mut self, cx: &mut Context, partition: PartitionId) {
        if self.queue.is_empty() || self.in_flight.is_some() || !self.is_due(cx) {
            return;
        }
        if matches!(self.store, StoreState::Down { until, .. } if cx.now < until) {
            return;
        }
        let records = self.take_batch(cx);
        let ticket = cx.ticket();
        cx.counters.commits += 1;
        cx.counters.records += records.len() as u64;
        let action = Action::Commit {
            ticket,
            partition,
            records: records.iter().map(|pending| pending.record.clone()).collect(),
        };
        cx.act(action);
        self.in_flight = Some(Batch { ticket, sent: cx.now, records });
        self.next_commit = cx.now + cx.cfg.limits.commit_interval;
        self.charge_commit(cx);
    }

    /// Whether the commit interval has passed and the burst isn't exhausted.
    ///
    /// Each commit rewrites the head. Without a rate limit, a partition under steady load would
    /// rewrite it ten times a second for a few records each, which exceeds what a daemon may send.
    /// With the limit, commits become rarer and larger as load rises, while a caller on an idle
    /// partition only waits for the commit interval. The records themselves don't count towards the
    /// rate: they must be written in any case, and a burst of ten thousand must not delay later
    /// records.
    fn is_due(&self, cx: &Context) -> bool {
        let limits = &cx.cfg.limits;
        let burst = transfer_time(limits.commit_burst, limits.commit_rate);
        cx.now >= self.next_commit && self.within_rate_at <= cx.now + burst
    }

    fn charge_commit(&mut self, cx: &Context) {
        self.within_rate_at =
            self.within_rate_at.max(cx.now) + transfer_time(HEAD_BYTES, cx.cfg.limits.commit_rate);
    }

    fn take_batch(&mut self, cx: &Context) -> Vec<Pending> {
        let mut bytes = 0;
        let mut count = 0;
        for pending in self.queue.iter().take(cx.cfg.limits.commit_records) {
            bytes += pending.bytes();
            if count > 0 && bytes > cx.cfg.limits.commit_bytes {
                break;
            }
            count += 1;
        }
        self.queue.drain(..count).collect()
    }

    /// Takes the in-flight batch if the ticket belongs to it.
    pub fn settle(&mut self, ticket: Ticket) -> Option<Vec<Pending>> {
        let batch = self.in_flight.take_if(|batch| batch.ticket == ticket)?;
        Some(batch.records)
    }

    /// Notes that the store wrote a commit.
    pub fn store_is_up(&mut self) {
        self.store = StoreState::Up;
    }

    /// Notes that the store didn't write a commit, and backs off exponentially.
    ///
    /// The delay includes a jitter that differs between daemons, so that they don't all retry at
    /// once when the store recovers.
    pub fn store_is_down(&mut self, cx: &Context) {
        let failures = match self.store {
            StoreState::Up => 1,
            StoreState::Down { failures, .. } => failures.saturating_add(1),
        };
        let limits = &cx.cfg.limits;
        let backoff = limits.store_backoff * 2_u32.saturating_pow(failures.min(16) - 1);
        let wait = backoff.min(limits.store_backoff_max);
        let seed = u64::from(failures);
        let hash = xxh3_64_with_seed(cx.cfg.daemon_id.as_str().as_bytes(), seed) % 512;
        let jitter = wait / 1024 * u32::try_from(hash).unwrap_or(0);
        self.store = StoreState::Down { until: cx.now + wait / 2 + jitter, failures };
    }

    /// Returns the records that were never sent, and the in-flight batch with its ticket.
    pub fn into_parts(self) -> (Vec<Pending>, Option<(Ticket, Vec<Pending>)>) {
        let in_flight = self.in_flight.map(|batch| (batch.ticket, batch.records));
        (self.queue.into(), in_flight)
    }
}

/// Time to transfer `bytes` at `rate` bytes per second.
fn transfer_time(bytes: usize, rate: usize) -> Duration {
    let per_second = u64::try_from(rate.max(1)).unwrap_or(u64::MAX);
    let micros = u64::try_from(bytes).unwrap_or(u64::MAX).saturating_mul(1_000_000) / per_second;
    Duration::from_micros(micros)
}
