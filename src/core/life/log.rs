//! Group commit: the records of one partition, in batches, one at a time.
//!
//! A commit is a compare-and-swap on the partition's head, so the next one can't be asked for
//! before the last is settled. What comes meanwhile is gathered, which bounds the store calls by
//! the number of partitions and the interval, not by the number of tasks.

use crate::core::context::Context;
use crate::core::event::Action;
use crate::ids::{Attempt, DaemonId, PartitionId, Ticket, VmId};
use crate::task::{Change, Record};
use std::collections::VecDeque;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes that a record takes besides its texts, at most.
const RECORD_BYTES: usize = 160;

/// Bytes of a head with its tail and the call around it, on average; measured by the cost bench.
const HEAD_BYTES: usize = 1_400;

/// Bytes of a record as written, on average; measured by the task log's bench.
const WRITTEN_BYTES: usize = 40;

/// Records on their way to the partition's log.
#[derive(Debug, Default)]
pub struct Log {
    queue: VecDeque<Pending>,
    in_flight: Option<Batch>,
    next_commit: Duration,
    /// When the commits so far are paid for, at the rate in the limits.
    paid: Duration,
    store: StoreState,
}

/// A record that is not durable yet.
#[derive(Debug)]
pub struct Pending {
    pub record: Record,
    /// Callers to answer once the record is durable, or surely isn't.
    pub tickets: Vec<Ticket>,
    /// Holder to tell once the record is durable.
    pub ack: Option<Ack>,
}

/// An end to acknowledge.
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

/// Whether the store took the last commit.
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
    /// A record that nobody waits for.
    pub fn new(record: Record) -> Self {
        Self { record, tickets: Vec::new(), ack: None }
    }

    /// With a caller to answer.
    pub fn with_ticket(mut self, ticket: Ticket) -> Self {
        self.tickets.push(ticket);
        self
    }

    /// With a holder to tell.
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

    /// Puts records back that have to be written sooner or later, in their order.
    pub fn put_back(&mut self, records: Vec<Pending>) {
        for pending in records.into_iter().rev() {
            self.queue.push_front(pending);
        }
    }

    /// Whether nothing is under way or waiting.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.in_flight.is_none()
    }

    /// Records that wait for the next commit.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Why new records would wait long, if they would.
    pub fn trouble(&self, cx: &Context) -> Option<&'static str> {
        let patience = cx.cfg.limits.commit_patience;
        match (&self.store, &self.in_flight) {
            (StoreState::Down { until, .. }, _) if cx.now < *until => {
                Some("the key-value service takes no writes")
            }
            (_, Some(batch)) if cx.now >= batch.sent + patience => {
                Some("the key-value service doesn't answer")
            }
            _ => None,
        }
    }

    /// Takes out submissions that have waited too long for a commit to begin.
    pub fn take_overdue(&mut self, cx: &Context) -> Vec<Pending> {
        if self.queue.is_empty() || self.trouble(cx).is_none() {
            return Vec::new();
        }
        let queue = std::mem::take(&mut self.queue);
        let is_submission =
            |pending: &Pending| matches!(pending.record.change, Change::Accepted { .. });
        let (overdue, kept): (Vec<_>, Vec<_>) = queue.into_iter().partition(is_submission);
        self.queue = kept.into();
        overdue
    }

    /// Takes out the records of a task that was refused.
    pub fn take_of(&mut self, number: u64) -> Vec<Pending> {
        let queue = std::mem::take(&mut self.queue);
        let is_of = |pending: &Pending| pending.record.task.number == number;
        let (taken, kept): (Vec<_>, Vec<_>) = queue.into_iter().partition(is_of);
        self.queue = kept.into();
        taken
    }

    /// Begins the next commit if one is due.
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
        self.pay(cx);
    }

    /// Whether the least gap has passed and the burst is not used up.
    ///
    /// Each commit writes the head anew. Without a rate, a partition under steady load rewrites it
    /// ten times a second for a few records each, which is more than a daemon may send. With it,
    /// commits are rarer and larger as load rises, and a caller on an idle partition still waits
    /// for the least gap only.
    fn is_due(&self, cx: &Context) -> bool {
        let limits = &cx.cfg.limits;
        let burst = cost(limits.commit_burst, limits.commit_rate);
        cx.now >= self.next_commit && self.paid <= cx.now + burst
    }

    fn pay(&mut self, cx: &Context) {
        let records = self.in_flight.as_ref().map_or(0, |batch| batch.records.len());
        let bytes = HEAD_BYTES + records * WRITTEN_BYTES;
        self.paid = self.paid.max(cx.now) + cost(bytes, cx.cfg.limits.commit_rate);
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

    /// The batch that the ticket belongs to, now settled.
    pub fn settle(&mut self, ticket: Ticket) -> Option<Vec<Pending>> {
        let batch = self.in_flight.take_if(|batch| batch.ticket == ticket)?;
        Some(batch.records)
    }

    /// The store took a commit.
    pub fn store_is_up(&mut self) {
        self.store = StoreState::Up;
    }

    /// The store took no commit: wait before the next, longer each time.
    ///
    /// The wait differs from daemon to daemon, so that a store that comes back isn't met by all
    /// at once.
    pub fn store_is_down(&mut self, cx: &Context) {
        let failures = match self.store {
            StoreState::Up => 1,
            StoreState::Down { failures, .. } => failures.saturating_add(1),
        };
        let limits = &cx.cfg.limits;
        let longest = limits.store_backoff * 2_u32.saturating_pow(failures.min(16) - 1);
        let wait = longest.min(limits.store_backoff_max);
        let seed = u64::from(failures);
        let spread = xxh3_64_with_seed(cx.cfg.me.as_str().as_bytes(), seed) % 512;
        let jitter = wait / 1024 * u32::try_from(spread).unwrap_or(0);
        self.store = StoreState::Down { until: cx.now + wait / 2 + jitter, failures };
    }

    /// Everything that was never sent, and the batch in flight with its ticket.
    pub fn into_parts(self) -> (Vec<Pending>, Option<(Ticket, Vec<Pending>)>) {
        let in_flight = self.in_flight.map(|batch| (batch.ticket, batch.records));
        (self.queue.into(), in_flight)
    }
}

/// Time that bytes take at a rate.
fn cost(bytes: usize, rate: usize) -> Duration {
    let per_second = u64::try_from(rate.max(1)).unwrap_or(u64::MAX);
    let micros = u64::try_from(bytes).unwrap_or(u64::MAX).saturating_mul(1_000_000) / per_second;
    Duration::from_micros(micros)
}
