//! Commits that the store won't take, however often they are sent.
//!
//! A record in them is larger than the store's limit on a value. The jobs of such a commit are written
//! one by one, which shows the one to blame. It alone waits, until the store takes its record, or is
//! refused if it is new; the other jobs of the shard go on.

use super::Shard;
use super::event::Answer;
use super::job_run::{Effect, JobRun, RecordState};
use super::log::InFlight;
use super::vm_run::{RunKey, Stage};
use crate::job::JobId;
use crate::note::Note;

impl Shard {
    /// Handles a commit that the store won't take as it is.
    pub(super) fn handle_rejected_commit(&mut self, commit: InFlight, reason: &str) {
        let now = self.now.steady;
        let rejected = self.log.requeue_rejected(commit, &mut self.jobs, now);
        let Some((id, bytes)) = rejected else { return };
        let is_new = |job: &JobRun| job.record == RecordState::New && !job.is_borrowed();
        let is_new = self.jobs.get(&id).is_some_and(is_new);
        self.note(Note::RecordRejected {
            job: id,
            bytes,
            outcome: if is_new { "refused" } else { "set-aside" },
            reason: reason.to_owned(),
        });
        if is_new {
            let reason = "the job is too large to be stored; split it".to_owned();
            self.drop_unstored(id, &Answer::Impossible { reason });
        } else {
            self.unbind(id);
        }
    }

    /// Gives back the room of a job's runs whose binding is not durable.
    fn unbind(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.effects.retain(|effect| !matches!(effect, Effect::Start { .. }));
        for (task, placed) in job.placed_runs() {
            let key = RunKey { task, run: placed.run };
            let run = self.vms.get(&placed.vm).and_then(|vm| vm.runs.get(&key));
            if run.is_some_and(|run| run.stage == Stage::Binding) {
                self.drop_run(&placed.vm, key);
            }
        }
    }
}
