//! Group commit of changed jobs to the store.
//!
//! Only one commit is in flight at a time, since the next one depends on the revision that it
//! leaves. Changes made in the meantime are collected for the next commit.

use super::event::Action;
use super::job_run::{Effect, JobRun, RecordState};
use super::rejected::RejectedRecords;
use super::settings::COMMIT_GAP;
use super::silence;
use crate::job::{JobId, JobState};
use crate::kv::{Condition, MAX_TXN_ENTRIES, Put, Rev, Txn};
use bytes::Bytes;
use indexmap::{IndexMap, IndexSet};
use std::time::Duration;

/// Entries reserved for the shard's head, which is a condition and a write of each commit. The other
/// records are counted as they are added.
const RESERVED_ENTRIES: usize = 2;

/// Maximum number of entries for one job: the condition on its id, the id, the job and its
/// progress.
const MAX_JOB_ENTRIES: usize = 4;

/// Size of the values in a commit from which no further job is added, in bytes.
const MAX_COMMIT_BYTES: usize = 1 << 20;

/// Delay of the next commit after the store has rejected one.
const REJECTION_DELAY: Duration = Duration::from_millis(80);

/// Store keys of one shard.
#[derive(Clone, Debug)]
pub struct Keys {
    shard: String,
}

impl Keys {
    /// Prefix of all head keys; each head names the owner of a shard.
    pub const HEADS: &'static str = "shard/";

    /// Creates the keys of the shard `name`.
    pub fn new(name: &str) -> Self {
        Self { shard: name.to_owned() }
    }

    /// Key that names the owner; each commit is conditional on it.
    pub fn head(&self) -> String {
        format!("{}{}", Self::HEADS, self.shard)
    }

    /// Key prefix of the shard's jobs.
    pub fn jobs(&self) -> String {
        format!("job/{}/", self.shard)
    }

    /// Key prefix of the progress of the shard's jobs.
    pub fn all_progress(&self) -> String {
        format!("run/{}/", self.shard)
    }

    /// Key of the list of unresponsive VMs whose leases are not extended.
    pub fn silence(&self) -> String {
        format!("silent/{}", self.shard)
    }

    /// Key of what the shard has learned.
    pub fn learned(&self) -> String {
        format!("learned/{}", self.shard)
    }

    fn job(&self, id: JobId) -> String {
        format!("job/{}/{id}", self.shard)
    }

    fn progress(&self, id: JobId) -> String {
        format!("run/{}/{id}", self.shard)
    }

    /// Key that maps a job id to its shard and makes job ids unique.
    pub fn id(id: JobId) -> String {
        format!("id/{id}")
    }
}

/// Commit queue of a shard.
#[derive(Debug)]
pub struct Log {
    keys: Keys,
    changed: IndexSet<JobId>,
    expired: Vec<JobId>,
    in_flight: Option<InFlight>,
    /// Actions to take once the next commit is durable.
    after_next_commit: Vec<Action>,
    pub silence: silence::SilenceRecord,
    /// Whether a commit is due although nothing has changed, to prove the ownership of the shard.
    pub renews_ownership: bool,
    /// Learned state to write with the next commit.
    learned_record: Option<Bytes>,
    /// Jobs that change nothing in the store until it takes their records.
    pub rejected: RejectedRecords,
    /// Number of the next commits that write one record each, to find the one that is rejected.
    single_commits: usize,
    last_seq: u64,
    next_at: Duration,
}

/// A commit that is not answered yet.
#[derive(Debug)]
pub struct InFlight {
    pub seq: u64,
    pub since: Duration,
    pub parts: Vec<CommitPart>,
    /// Actions to take once the commit is durable.
    pub actions: Vec<Action>,
    /// Jobs whose final state it deletes.
    expired: Vec<JobId>,
    learned_record: Option<Bytes>,
    /// Whether it writes the record of one job, or none, and nothing else beside the head.
    is_single: bool,
}

/// The part of a commit that concerns one job.
#[derive(Debug)]
pub struct CommitPart {
    pub id: JobId,
    /// Job state that the commit makes durable.
    pub state: JobState,
    /// State of the job record in the store after the commit.
    pub record: RecordState,
    pub effects: Vec<Effect>,
    /// Size of the job's progress record.
    pub bytes: usize,
}

impl Log {
    /// Creates a log whose last commit was `seq`.
    pub fn new(keys: Keys, seq: u64, silence: silence::SilenceRecord) -> Self {
        Self {
            keys,
            changed: IndexSet::new(),
            expired: Vec::new(),
            in_flight: None,
            after_next_commit: Vec::new(),
            silence,
            renews_ownership: false,
            learned_record: None,
            rejected: RejectedRecords::default(),
            single_commits: 0,
            last_seq: seq,
            next_at: Duration::ZERO,
        }
    }

    /// Marks a job as changed.
    pub fn mark_changed(&mut self, id: JobId) {
        if !self.rejected.is_waiting(id) {
            self.changed.insert(id);
        }
    }

    /// Delays an action until the next commit has proved that the shard is still owned.
    pub fn after_next_commit(&mut self, action: Action) {
        self.after_next_commit.push(action);
    }

    /// Adds the record of the learned state to the next commit; it causes no commit.
    pub fn add_learned_record(&mut self, record: Vec<u8>) {
        self.learned_record = Some(Bytes::from(record));
    }

    /// Schedules the deletion of a job whose state has been shown for long enough.
    pub fn expire(&mut self, id: JobId) {
        self.expired.push(id);
    }

    /// Removes a job from the next commit.
    pub fn remove(&mut self, id: JobId) {
        self.changed.shift_remove(&id);
        self.rejected.remove(id);
    }

    /// Returns whether a job waits for the next commit, or for one that the store takes.
    pub fn is_pending(&self, id: JobId) -> bool {
        self.changed.contains(&id) || self.rejected.is_waiting(id)
    }

    /// Returns whether all changes of a job are durable.
    pub fn is_durable(&self, id: JobId) -> bool {
        let in_flight = self.in_flight.as_ref();
        !self.is_pending(id) && !in_flight.is_some_and(|c| c.parts.iter().any(|part| part.id == id))
    }

    /// Lowest sequence number under which a change made now can be committed.
    pub fn next_seq(&self) -> u64 {
        self.last_seq + 1
    }

    /// Returns whether all job changes are durable that the store takes.
    pub fn all_durable(&self) -> bool {
        self.changed.is_empty() && self.in_flight.is_none()
    }

    /// Time that the current commit has been waiting for its answer.
    pub fn age(&self, now: Duration) -> Duration {
        self.in_flight.as_ref().map_or(Duration::ZERO, |c| now.saturating_sub(c.since))
    }

    /// Earliest time of the next commit; `None` if there is nothing to commit or a commit is in
    /// flight.
    pub fn due(&self) -> Option<Duration> {
        let idle = self.in_flight.is_none();
        let empty = self.changed.is_empty()
            && self.expired.is_empty()
            && self.after_next_commit.is_empty()
            && !self.silence.needs_write()
            && !self.renews_ownership;
        (idle && !empty).then_some(self.next_at)
    }

    /// Builds the next commit if it is due.
    pub fn next(
        &mut self,
        jobs: &mut IndexMap<JobId, JobRun>,
        now: Duration,
    ) -> Option<(u64, Txn)> {
        if self.due().is_none_or(|due| now < due) {
            return None;
        }
        let mut txn = Txn::default();
        let mut commit = InFlight {
            seq: self.last_seq + 1,
            since: now,
            parts: Vec::new(),
            actions: std::mem::take(&mut self.after_next_commit),
            expired: Vec::new(),
            learned_record: None,
            is_single: self.single_commits > 0,
        };
        if commit.is_single {
            self.single_commits -= 1;
            self.add_single_record(jobs, &mut txn, &mut commit);
        } else {
            self.add_records(jobs, &mut txn, &mut commit);
        }
        self.last_seq = commit.seq;
        self.next_at = now + COMMIT_GAP;
        let seq = commit.seq;
        self.in_flight = Some(commit);
        Some((seq, txn))
    }

    fn add_records(
        &mut self,
        jobs: &mut IndexMap<JobId, JobRun>,
        txn: &mut Txn,
        commit: &mut InFlight,
    ) {
        let room = MAX_TXN_ENTRIES - RESERVED_ENTRIES - MAX_JOB_ENTRIES;
        if self.silence.needs_write() || self.silence.is_refreshed(commit.since) {
            self.add_silence(txn, commit);
        }
        commit.learned_record = self.learned_record.take();
        if let Some(value) = commit.learned_record.clone() {
            txn.puts.push(Put { key: self.keys.learned(), value, lease: None });
        }
        let mut bytes = 0;
        while txn.entries() <= room && bytes < MAX_COMMIT_BYTES {
            let Some(id) = self.changed.shift_remove_index(0) else { break };
            if let Some(job) = jobs.get_mut(&id) {
                bytes += self.add_job(job, txn, commit);
            }
        }
        while txn.entries() <= room {
            let Some(id) = self.expired.pop() else { break };
            txn.deletes.push(self.keys.progress(id));
            txn.deletes.push(Keys::id(id));
            commit.expired.push(id);
        }
    }

    fn add_single_record(
        &mut self,
        jobs: &mut IndexMap<JobId, JobRun>,
        txn: &mut Txn,
        commit: &mut InFlight,
    ) {
        if self.silence.needs_write() {
            return self.add_silence(txn, commit);
        }
        while let Some(id) = self.changed.shift_remove_index(0) {
            if let Some(job) = jobs.get_mut(&id) {
                self.add_job(job, txn, commit);
                return;
            }
        }
    }

    fn add_silence(&mut self, txn: &mut Txn, commit: &InFlight) {
        let silent = self.silence.start_write(commit.since);
        txn.puts.push(put(self.keys.silence(), silence::SilentVm::encode_all(&silent)));
    }

    /// Takes the commit in flight once its answer has arrived; `None` if `seq` is another commit.
    pub fn complete(&mut self, seq: u64) -> Option<InFlight> {
        let commit = self.in_flight.take()?;
        if commit.seq != seq {
            self.in_flight = Some(commit);
            return None;
        }
        Some(commit)
    }

    /// Takes the commit in flight without waiting for its answer.
    pub fn take_in_flight(&mut self) -> Option<InFlight> {
        self.in_flight.take()
    }

    /// Queues the jobs, actions and deletions of a commit that was not applied for the next commit.
    pub fn requeue(&mut self, commit: InFlight, jobs: &mut IndexMap<JobId, JobRun>) {
        self.silence.write_failed();
        self.after_next_commit.extend(commit.actions);
        self.expired.extend(commit.expired);
        self.learned_record = self.learned_record.take().or(commit.learned_record);
        for mut part in commit.parts {
            let Some(job) = jobs.get_mut(&part.id) else { continue };
            part.effects.append(&mut job.effects);
            job.effects = part.effects;
            self.changed.insert(part.id);
        }
    }

    /// Queues what is in a commit that the store has rejected. Returns the job whose record is to
    /// blame, once that is known.
    pub fn requeue_rejected(
        &mut self,
        mut commit: InFlight,
        jobs: &mut IndexMap<JobId, JobRun>,
        now: Duration,
    ) -> Option<(JobId, usize)> {
        // What the shard has learned is written again later; it may be what was rejected.
        commit.learned_record = None;
        let rejected = match &commit.parts[..] {
            [part] if commit.is_single => Some((part.id, part.bytes)),
            _ => None,
        };
        if !commit.is_single {
            self.single_commits = commit.parts.len() + 1;
        }
        self.requeue(commit, jobs);
        self.next_at = now + REJECTION_DELAY;
        if let Some((id, bytes)) = rejected {
            self.changed.shift_remove(&id);
            self.rejected.insert(id, bytes, now);
        }
        rejected
    }

    /// Queues the jobs whose rejected records are to be sent again.
    pub fn retry_rejected(&mut self, jobs: &IndexMap<JobId, JobRun>, now: Duration) {
        self.changed.extend(self.rejected.start_retries(jobs, now));
    }

    /// Adds a job to a commit; returns the size of its progress record.
    fn add_job(&self, job: &mut JobRun, txn: &mut Txn, commit: &mut InFlight) -> usize {
        let id = job.id();
        let mut record = job.record;
        if record == RecordState::Dropped {
            txn.deletes.push(self.keys.job(id));
            txn.deletes.push(self.keys.progress(id));
            let effects = std::mem::take(&mut job.effects);
            commit.parts.push(CommitPart { id, state: job.state, record, effects, bytes: 0 });
            return 0;
        }
        if record == RecordState::New {
            if !job.is_borrowed() {
                txn.conditions.push(Condition { key: Keys::id(id), rev: Rev::ABSENT });
                txn.puts.push(put(Keys::id(id), self.keys.shard.clone().into_bytes()));
            }
            if !job.is_final() {
                txn.puts.push(put(self.keys.job(id), job.job.encode()));
            }
            record = RecordState::Kept;
        }
        let ended = job.is_final() && !job.has_runs() && !job.has_lent_tasks();
        if ended && record == RecordState::Kept {
            if job.record == RecordState::Kept {
                txn.deletes.push(self.keys.job(id));
            }
            record = RecordState::Closed;
            job.open_occurrences.clear();
        }
        let progress = job.progress().encode();
        let bytes = progress.len();
        txn.puts.push(put(self.keys.progress(id), progress));
        let effects = std::mem::take(&mut job.effects);
        commit.parts.push(CommitPart { id, state: job.state, record, effects, bytes });
        bytes
    }
}

fn put(key: String, value: Vec<u8>) -> Put {
    Put { key, value: Bytes::from(value), lease: None }
}
