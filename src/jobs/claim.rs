//! Claiming ownership of a shard, and committing to it as the owner.

use super::follow::read_all;
use super::records::{MonitoredStore, retry_delay};
use crate::cluster::{ExpectedOwner, Head};
use crate::ids::DaemonId;
use crate::job::progress::Progress;
use crate::job::{Job, JobId};
use crate::kv::{Condition, Error, Freshness, Item, KvStore, Put, Rev, Txn};
use crate::shard::learned::{Inherited, StoredRecord};
use crate::shard::{CommitResult, Keys, PreviousOwner, Recovered, SilentVm, WriteOutcome};
use crate::vm::Fence;
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;

pub type Result<T> = std::result::Result<T, ClaimError>;

/// A failed claim.
#[derive(Clone, Debug)]
pub struct ClaimError {
    /// The current head, if it was read.
    pub head: Option<Head>,
    pub reason: String,
}

impl From<Error> for ClaimError {
    fn from(e: Error) -> Self {
        Self { head: None, reason: e.to_string() }
    }
}

/// Commits to a shard on behalf of its owner; holds the head that the owner last wrote.
#[derive(Debug)]
pub struct ShardWriter {
    key: String,
    rev: Rev,
    head: Head,
    fence: Fence,
}

/// A commit to a shard.
#[derive(Debug)]
pub struct CommitRequest {
    pub seq: u64,
    /// How long an earlier owner may still extend leases.
    pub earlier_active: Duration,
    pub txn: Txn,
}

/// Maximum number of attempts to write a claim when the store fails or does not answer.
const MAX_CLAIM_ATTEMPTS: u32 = 4;

/// Claims a shard and reads its state from the store. The new owner will extend leases in full for
/// `stale_extension` after its last proof of ownership.
pub async fn claim<S: KvStore>(
    store: &MonitoredStore<S>,
    me: &DaemonId,
    shard: &str,
    previous: PreviousOwner,
    replaces: ExpectedOwner,
    stale_extension: Duration,
) -> Result<(ShardWriter, Recovered)> {
    let keys = Keys::new(shard);
    let present = read_head(store, shard).await?;
    let predecessor = present.as_ref().map(|(rev, head)| with_fence(head.clone(), *rev));
    if let Some(head) = &predecessor {
        check_expected_owner(me, head, replaces)?;
    }
    let before = present.as_ref().map(|(_, head)| head);
    let claimed_at = store.now();
    let age = present.as_ref().map_or(Duration::ZERO, |(rev, _)| age(store, *rev, claimed_at));
    let earlier_active = replaces.earlier_active(before, age);
    let head = Head::claim(me.clone(), before)
        .with_earlier_active(earlier_active)
        .with_stale_extension(stale_extension);
    let condition = present.as_ref().map_or(Rev::ABSENT, |(rev, _)| *rev);
    let rev = write_claim(store, &keys, &head, condition).await?;
    let writer = ShardWriter { key: keys.head(), rev, fence: Fence(rev.0), head };
    let state = async {
        let (jobs, _) = read_all(store, &keys.jobs(), Freshness::Latest).await?;
        let (progress, _) = read_all(store, &keys.all_progress(), Freshness::Latest).await?;
        let key = keys.silence();
        let silent = store.call(|store| store.get(&key)).await?;
        Ok::<_, Error>((jobs, progress, silent))
    };
    let learned = read_learned(store, &keys);
    tokio::pin!(state, learned);
    let mut record = None;
    let state = loop {
        tokio::select! {
            biased;
            read = &mut learned, if record.is_none() => record = Some(read),
            state = &mut state => break state,
        }
    };
    let (jobs, progress, silent) = state?;
    // A lost answer would delay the claim by the timeout of a call.
    let late = || StoredRecord::Unread { reason: "the store's answer was late".to_owned() };
    let record = record.unwrap_or_else(late);
    let recovered = Recovered {
        shard: shard.to_owned(),
        fence: writer.fence,
        claimed_at,
        written_by: claimed_at - age,
        seq: writer.head.seq,
        previous: previous.with_earlier_active(earlier_active),
        earlier_active,
        before_previous: predecessor.as_ref().and_then(|head| head.earlier_active),
        extended_until: before.map(|head| head.extended_until(claimed_at - age, claimed_at)),
        predecessor: predecessor.map(|head| Fence(head.fence)),
        unresponsive_vms: Vec::new(),
        silent: silent.as_ref().map(decode_silent_vms).transpose()?.unwrap_or_default(),
        reported_lapses: Vec::new(),
        learned: Inherited { record, report: None },
        jobs: jobs.iter().map(decode_job).collect::<Result<_>>()?,
        progress: progress.iter().map(decode_progress).collect::<Result<_>>()?,
    };
    Ok((writer, recovered))
}

/// Time at `now` for which a revision has been in the store, as far as this daemon's calls tell.
fn age<S: KvStore>(store: &MonitoredStore<S>, rev: Rev, now: Duration) -> Duration {
    store.times().written_before(rev).map_or(Duration::ZERO, |at| now.saturating_sub(at))
}

/// Reads the record of what the shard has learned. A failure doesn't fail the claim: the shard can
/// do without.
async fn read_learned<S: KvStore>(store: &MonitoredStore<S>, keys: &Keys) -> StoredRecord {
    let key = keys.learned();
    match store.call(|store| store.get(&key)).await {
        Ok(Some(item)) => StoredRecord::Found(item.value),
        Ok(None) => StoredRecord::Absent,
        Err(e) => StoredRecord::Unread { reason: e.to_string() },
    }
}

/// Fails if the shard has an owner that was not known when the claim was decided. A claim decided
/// before another one became known would otherwise take the shard from its new owner, and callers
/// would be refused twice.
fn check_expected_owner(me: &DaemonId, present: &Head, replaces: ExpectedOwner) -> Result<()> {
    if present.owner == *me || replaces.covers(present) {
        return Ok(());
    }
    let reason = format!("{} became the owner after the claim was decided", present.owner);
    Err(ClaimError { head: Some(present.clone()), reason })
}

async fn write_claim<S: KvStore>(
    store: &MonitoredStore<S>,
    keys: &Keys,
    head: &Head,
    condition: Rev,
) -> Result<Rev> {
    let key = keys.head();
    let txn = Txn {
        conditions: vec![Condition { key: key.clone(), rev: condition }],
        puts: vec![Put { key, value: Bytes::from(head.encode()), lease: None }],
        deletes: Vec::new(),
    };
    let mut attempts = 0;
    loop {
        attempts += 1;
        match store.commit(&txn).await {
            Ok(rev) => return Ok(rev),
            Err(Error::Conflict { items }) => return resolve_claim_conflict(&items, head),
            Err(e @ Error::Rejected { .. }) => return Err(e.into()),
            Err(e) if attempts < MAX_CLAIM_ATTEMPTS => tokio::time::sleep(retry_delay(&e)).await,
            Err(e) => return Err(e.into()),
        }
    }
}

/// Resolves a conflict on a claim: an earlier attempt whose answer was lost may have taken effect.
fn resolve_claim_conflict(items: &[Item], head: &Head) -> Result<Rev> {
    let Some(item) = items.first() else {
        return Err(ClaimError { head: None, reason: "the head key was deleted".to_owned() });
    };
    let present = decode_head(item)?;
    if present == *head {
        return Ok(item.rev);
    }
    let reason = format!("{} claimed the shard first", present.owner);
    Err(ClaimError { head: Some(with_fence(present, item.rev)), reason })
}

/// Reads a shard's head.
pub async fn read_head<S: KvStore>(
    store: &MonitoredStore<S>,
    shard: &str,
) -> Result<Option<(Rev, Head)>> {
    let key = Keys::new(shard).head();
    let Some(item) = store.call(|store| store.get(&key)).await? else { return Ok(None) };
    Ok(Some((item.rev, decode_head(&item)?)))
}

/// Reads the heads of all shards.
pub async fn read_heads<S: KvStore>(store: &MonitoredStore<S>) -> Result<Vec<(String, Head)>> {
    let (items, _) = read_all(store, Keys::HEADS, Freshness::Latest).await?;
    let head = |item: &Item| {
        let head = with_fence(decode_head(item)?, item.rev);
        let name = item.key.strip_prefix(Keys::HEADS).unwrap_or(&item.key);
        Ok((name.to_owned(), head))
    };
    items.iter().map(head).collect()
}

/// Fills in the owner's fencing token: a claim can't contain its own revision.
fn with_fence(head: Head, rev: Rev) -> Head {
    let fence = if head.fence == 0 { rev.0 } else { head.fence };
    Head { fence, ..head }
}

fn decode_head(item: &Item) -> Result<Head> {
    Head::decode(&item.value).map_err(|e| decode_error(item, &e.to_string()))
}

fn decode_job(item: &Item) -> Result<Arc<Job>> {
    Job::decode(&item.value).map(Arc::new).map_err(|e| decode_error(item, &e.to_string()))
}

fn decode_silent_vms(item: &Item) -> Result<Vec<SilentVm>> {
    SilentVm::decode_all(&item.value).map_err(|e| decode_error(item, &e.to_string()))
}

fn decode_progress(item: &Item) -> Result<(JobId, Progress)> {
    let id = item.key.rsplit('/').next().unwrap_or_default();
    let id = id.parse().map_err(|e| decode_error(item, &format!("{e}")))?;
    let progress = Progress::decode(&item.value).map_err(|e| decode_error(item, &e.to_string()))?;
    Ok((id, progress))
}

fn decode_error(item: &Item, reason: &str) -> ClaimError {
    ClaimError { head: None, reason: format!("`{}`: {reason}", item.key) }
}

/// How a conflict on a commit was resolved.
enum ConflictOutcome {
    Result(CommitResult),
    /// An earlier attempt took effect at this revision.
    Applied(Rev),
}

/// Whether every earlier attempt at a commit got an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EarlierAttempts {
    Answered,
    Unanswered,
}

impl ShardWriter {
    /// This owner's fencing token.
    pub fn fence(&self) -> Fence {
        self.fence
    }

    /// Retries a commit until it is durable, or it is certain that it is not and never will be.
    pub async fn commit<S: KvStore>(
        &mut self,
        store: &MonitoredStore<S>,
        req: CommitRequest,
    ) -> CommitResult {
        let CommitRequest { seq, earlier_active, mut txn } = req;
        let head = self.head.commit(self.fence.0, seq, earlier_active);
        txn.conditions.insert(0, Condition { key: self.key.clone(), rev: self.rev });
        let value = Bytes::from(head.encode());
        txn.puts.push(Put { key: self.key.clone(), value, lease: None });
        let mut earlier = EarlierAttempts::Answered;
        loop {
            match store.commit(&txn).await {
                Ok(rev) => return self.record_commit(rev, head),
                Err(Error::Conflict { items }) => {
                    return match self.resolve_conflict(&items, &head, earlier) {
                        ConflictOutcome::Applied(rev) => self.record_commit(rev, head),
                        ConflictOutcome::Result(result) => result,
                    };
                }
                // An earlier attempt, which was the same, had no effect either.
                Err(Error::Rejected { reason }) => return CommitResult::Rejected { reason },
                Err(e) => {
                    if matches!(e, Error::NoAnswer { .. }) {
                        earlier = EarlierAttempts::Unanswered;
                    }
                    tokio::time::sleep(retry_delay(&e)).await;
                }
            }
        }
    }

    fn record_commit(&mut self, rev: Rev, head: Head) -> CommitResult {
        self.rev = rev;
        self.head = head;
        CommitResult::Durable
    }

    fn resolve_conflict(
        &self,
        items: &[Item],
        head: &Head,
        earlier: EarlierAttempts,
    ) -> ConflictOutcome {
        let present = items.iter().find(|item| item.key == self.key);
        let Some((rev, present)) = present.and_then(|i| Some((i.rev, decode_head(i).ok()?))) else {
            return ConflictOutcome::Result(CommitResult::Superseded(WriteOutcome::Unknown));
        };
        if present == *head {
            return ConflictOutcome::Applied(rev);
        }
        if rev == self.rev {
            let known = items.iter().filter(|item| item.key != self.key && item.rev != Rev::ABSENT);
            let known = known.filter_map(|item| item.key.rsplit('/').next()?.parse().ok());
            return ConflictOutcome::Result(CommitResult::JobExists(known.collect()));
        }
        let outcome = match &present.before {
            _ if earlier == EarlierAttempts::Answered => WriteOutcome::No,
            Some(before) if before.owner == self.head.owner && before.seq >= head.seq => {
                WriteOutcome::Yes
            }
            Some(before) if before.owner == self.head.owner => WriteOutcome::No,
            _ => WriteOutcome::Unknown,
        };
        ConflictOutcome::Result(CommitResult::Superseded(outcome))
    }
}
