//! Records of jobs that the store has rejected.
//!
//! A rejected record is sent again once it is smaller. It is compared with the present one at growing
//! intervals, as each comparison encodes the whole record. It is also sent as it is from time to time,
//! since the store may have rejected it for something else, or may take larger records by then.

use super::job_run::{JobRun, RecordState};
use super::log::CommitPart;
use crate::job::JobId;
use indexmap::IndexMap;
use std::time::Duration;

/// Time until a rejected record is compared with the present one; each further rejection doubles it.
const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// Longest such time.
const MAX_INTERVAL: Duration = Duration::from_secs(64);

/// Time from which a rejected record is sent again although it isn't smaller.
const RESEND_DELAY: Duration = MAX_INTERVAL;

/// Jobs whose records the store has rejected.
#[derive(Debug, Default)]
pub struct RejectedRecords {
    by_job: IndexMap<JobId, RejectedRecord>,
}

#[derive(Clone, Copy, Debug)]
struct RejectedRecord {
    bytes: usize,
    stage: Stage,
    /// From when on the record is sent again as it is.
    resend_at: Duration,
    /// Time until the record is next compared with the present one, after another rejection.
    interval: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Waiting {
        next_check: Duration,
    },
    /// The record is in the next commit or in flight.
    Retrying,
    /// The store has taken the record.
    Taken,
}

impl RejectedRecords {
    /// Notes that the store has rejected a job's record of this size.
    pub fn insert(&mut self, id: JobId, bytes: usize, now: Duration) {
        let interval = self.by_job.get(&id).map_or(MIN_INTERVAL, |rejected| rejected.interval);
        let stage = Stage::Waiting { next_check: now + interval };
        let interval = (interval * 2).min(MAX_INTERVAL);
        let resend_at = now + RESEND_DELAY;
        self.by_job.insert(id, RejectedRecord { bytes, stage, resend_at, interval });
    }

    /// Forgets a job.
    pub fn remove(&mut self, id: JobId) {
        self.by_job.shift_remove(&id);
    }

    /// Returns whether the store has taken no record of a job since it rejected one.
    pub fn contains(&self, id: JobId) -> bool {
        self.by_job.get(&id).is_some_and(|rejected| rejected.stage != Stage::Taken)
    }

    /// Returns whether a job's record is not to be sent.
    pub fn is_waiting(&self, id: JobId) -> bool {
        let stage = self.by_job.get(&id).map(|rejected| rejected.stage);
        matches!(stage, Some(Stage::Waiting { .. }))
    }

    /// Returns the jobs whose records are to be sent again.
    pub fn start_retries(&mut self, jobs: &IndexMap<JobId, JobRun>, now: Duration) -> Vec<JobId> {
        let mut retried = Vec::new();
        for (id, rejected) in &mut self.by_job {
            let Stage::Waiting { next_check } = rejected.stage else { continue };
            if now < next_check {
                continue;
            }
            let is_smaller = |job: &JobRun| job.progress().encode().len() < rejected.bytes;
            if now >= rejected.resend_at || jobs.get(id).is_none_or(is_smaller) {
                rejected.stage = Stage::Retrying;
                retried.push(*id);
            } else {
                rejected.stage = Stage::Waiting { next_check: now + rejected.interval };
            }
        }
        retried
    }

    /// Notes that the store has taken the records of jobs.
    pub fn note_taken(&mut self, parts: &[CommitPart]) {
        if self.by_job.is_empty() {
            return;
        }
        for part in parts {
            if let Some(rejected) = self.by_job.get_mut(&part.id) {
                rejected.stage = Stage::Taken;
            }
            if matches!(part.record, RecordState::Closed | RecordState::Dropped) {
                self.by_job.shift_remove(&part.id);
            }
        }
    }
}
