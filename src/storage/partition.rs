//! The loop that writes one partition of the task log.

use super::SharedStore;
use crate::control::Told;
use crate::core::Event;
use crate::core::event::CommitResult;
use crate::ids::{DaemonId, IdempotencyKey, PartitionId, TaskId, Ticket};
use crate::ring::Ring;
use crate::task::Record;
use crate::tasklog::{Error, Partition};
use rand::Rng;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Long enough that all writers together stay far below the service's rate limit after an outage.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// A job for the loop.
pub enum Job {
    Recover,
    Commit {
        ticket: Ticket,
        records: Vec<Record>,
    },
    /// Looks up the task of an idempotency key, including tasks that the core has dropped.
    FindKey {
        key: IdempotencyKey,
        tx: oneshot::Sender<Option<TaskId>>,
    },
}

/// The loop that writes one partition.
pub struct Writer {
    pub id: PartitionId,
    pub me: DaemonId,
    pub store: SharedStore,
    pub control: Rc<RefCell<Ring<Told>>>,
}

impl Writer {
    /// Processes jobs one at a time until all senders are dropped.
    pub async fn run(self, mut rx: mpsc::Receiver<Job>) {
        let mut partition = None;
        while let Some(job) = rx.recv().await {
            match job {
                Job::Recover => partition = Some(self.recover().await),
                Job::FindKey { key, tx } => {
                    let found = partition.as_ref().and_then(|p: &Partition| p.find_key(&key));
                    // The caller may have timed out and dropped the receiver.
                    let _ = tx.send(found);
                }
                Job::Commit { ticket, records } => {
                    partition = self.commit(partition, ticket, &records).await;
                }
            }
        }
    }

    async fn recover(&self) -> Partition {
        let mut backoff = Backoff::new();
        loop {
            match Partition::load(&self.store, self.id, &self.me).await {
                Ok(loaded) => {
                    let (partition, tasks) = (self.id, loaded.tasks);
                    let next_number = loaded.next_number;
                    log::info!(partition = partition.0, tasks = tasks.len(); "partition-loaded");
                    self.send_event(Event::Recovered { partition, tasks, next_number });
                    return loaded.partition;
                }
                Err(e) => {
                    log::warn!(partition = self.id.0, reason:% = e; "partition-unread")
                }
            }
            backoff.wait().await;
        }
    }

    async fn commit(
        &self,
        partition: Option<Partition>,
        ticket: Ticket,
        records: &[Record],
    ) -> Option<Partition> {
        let Some(mut partition) = partition else {
            let reason = "the partition is not loaded here".to_owned();
            self.report_commit(ticket, CommitResult::NotWritten { reason });
            return None;
        };
        let mut result = partition.commit(&self.store, records).await;
        let mut backoff = Backoff::new();
        // The response was lost and the write may have taken effect. Reporting `NotWritten` now
        // could make the caller submit the task twice, so the report waits for the outcome.
        while let Err(Error::Unsettled { .. }) = result {
            backoff.wait().await;
            result = partition.settle(&self.store).await;
        }
        match result {
            Ok(()) => self.report_commit(ticket, CommitResult::Durable),
            Err(e) => {
                let superseded = matches!(e, Error::Superseded { .. });
                log::warn!(partition = self.id.0, reason:% = e; "commit-failed");
                self.report_commit(ticket, CommitResult::NotWritten { reason: e.to_string() });
                if superseded {
                    self.send_event(Event::Superseded { partition: self.id });
                    return None;
                }
            }
        }
        self.compact_and_sweep(&mut partition).await;
        Some(partition)
    }

    async fn compact_and_sweep(&self, partition: &mut Partition) {
        if partition.compact_due()
            && let Err(e) = partition.compact(&self.store).await
        {
            log::warn!(partition = self.id.0, reason:% = e; "compaction-failed");
        }
        partition.sweep(&self.store).await;
    }

    fn report_commit(&self, ticket: Ticket, result: CommitResult) {
        self.send_event(Event::Committed { ticket, result });
    }

    fn send_event(&self, event: Event) {
        self.control.borrow_mut().tell(event);
    }
}

/// Exponential backoff with jitter, so that writers do not all retry at the same time.
struct Backoff {
    next: Duration,
}

impl Backoff {
    fn new() -> Self {
        Self { next: INITIAL_BACKOFF }
    }

    async fn wait(&mut self) {
        let share = rand::rng().random_range(0.5..1.0);
        tokio::time::sleep(self.next.mul_f64(share)).await;
        self.next = (self.next * 2).min(MAX_BACKOFF);
    }
}
