//! Takeover of a shard: rebuilds its state from the store, to be reconciled with what the VMs
//! report.

use super::copies::Role;
use super::ended::earliest_end;
use super::job_run::{JobRun, PlacedRun};
use super::learned::{Inherited, RecordClock};
use super::log::{Keys, Log};
use super::settings::Settings;
use super::silence::{ReportedLapse, SilenceRecord, SilentVm};
use super::vm_run::{Listing, Run, RunKey, Stage, Vm};
use super::{ClosedJob, Now, Shard};
use crate::ids::{DomainId, RackId, ServiceName, VmId};
use crate::job::progress::Progress;
use crate::job::{Job, JobId, TaskRef};
use crate::kv::Rev;
use crate::queues::Queues;
use crate::units::Resources;
use crate::vm::{Fence, VmEntry, VmState};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// State of a shard at takeover, mostly read from the store.
#[derive(Clone, Debug)]
pub struct Recovered {
    pub shard: String,
    /// Fencing token of this owner.
    pub fence: Fence,
    /// When the claim was sent, on the daemon's monotonic clock.
    pub claimed_at: Duration,
    /// Latest time at which earlier owners built what the store holds, by the same clock.
    pub written_by: Duration,
    /// Number of the last commit.
    pub seq: u64,
    pub previous: PreviousOwner,
    /// How long an earlier owner may still extend leases.
    pub earlier_active: Duration,
    /// How long owners before the previous one may still extend leases, as told by the head that the
    /// claim replaced.
    pub before_previous: Option<Duration>,
    /// Latest time at which an earlier owner may extend a lease, on the daemon's monotonic clock, if
    /// that is known better than by `previous` and `earlier_active`.
    pub extended_until: Option<Duration>,
    pub jobs: Vec<Arc<Job>>,
    pub progress: Vec<(JobId, Progress)>,
    /// Fencing token of the previous owner.
    pub predecessor: Option<Fence>,
    /// VMs that did not answer the previous owner when it handed the shard over.
    pub unresponsive_vms: Vec<VmLapse>,
    /// VMs that are recorded as silent in the store.
    pub silent: Vec<SilentVm>,
    /// Remaining times of these VMs that owners reported, as of now.
    pub reported_lapses: Vec<ReportedLapse>,
    /// What earlier owners had learned.
    pub learned: Inherited,
}

impl Recovered {
    /// Sets what the previous owner told of VMs that don't answer as it handed the shard over. If
    /// that isn't known, an owner before it counts for each VM.
    pub fn set_offer(&mut self, lapses: Option<Vec<VmLapse>>) {
        match lapses {
            Some(lapses) => self.unresponsive_vms = lapses,
            None if !self.earlier_active.is_zero() => self.previous = PreviousOwner::MaybeActive,
            None => {}
        }
    }
}

/// A VM that does not answer, and how long it may still keep its work running.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmLapse {
    pub vm: VmId,
    pub left: Duration,
}

impl VmLapse {
    /// Returns the lapse as seen after `passed`.
    pub fn aged(self, passed: Duration) -> Self {
        Self { left: self.left.saturating_sub(passed), ..self }
    }
}

/// State of the previous owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PreviousOwner {
    /// It and those before it extend no leases in full any more, or it has handed the shard over and
    /// told of the VMs that don't answer.
    Ended,
    /// It or one before it may not have noticed that it lost the shard, and may still extend its VMs'
    /// leases.
    MaybeActive,
}

impl PreviousOwner {
    /// The state once it is known how long an earlier owner may still extend leases.
    pub fn with_earlier_active(self, left: Duration) -> Self {
        if left.is_zero() { Self::Ended } else { self }
    }
}

impl Shard {
    /// Creates a shard from its recovered state.
    pub fn new(
        recovered: Recovered,
        settings: Settings,
        queues: Arc<Queues>,
        fleet: Vec<VmEntry>,
        now: Now,
    ) -> Self {
        let stale_owner_extension = match recovered.previous {
            PreviousOwner::Ended => Duration::ZERO,
            PreviousOwner::MaybeActive => recovered.earlier_active,
        };
        let inherited_runs_until = now.steady + settings.inherited_lease(stale_owner_extension);
        let lease = settings.inherited_lease(Duration::ZERO);
        let proved = recovered.extended_until.map(|until| until + lease);
        let proved = proved.map(|until| until.max(earliest_end(now.steady)));
        let inherited_runs_until = inherited_runs_until.min(proved.unwrap_or(Duration::MAX));
        let keys = Keys::new(&recovered.shard);
        let silence = SilenceRecord::new(recovered.silent, recovered.written_by);
        let mut shard = Self {
            name: recovered.shard,
            fence: recovered.fence,
            settings,
            queues,
            jobs: IndexMap::new(),
            closed: IndexMap::new(),
            vms: IndexMap::new(),
            ended_vms: IndexMap::new(),
            log: Log::new(keys, recovered.seq, silence),
            loans: super::loan::Loans::default(),
            admission: super::admission::Admission::default(),
            permit_requests: super::permits::PermitRequests::default(),
            upkeep_drain: super::vacate::UpkeepDrain::default(),
            crash_log: super::crash::CrashLog::default(),
            copy_counts: super::copies::CopyCounts::default(),
            reservations: super::compact::Reservations::default(),
            open_starts: super::commands::OpenCommands::default(),
            open_stops: super::commands::OpenCommands::default(),
            next_commands: Duration::ZERO,
            holds: IndexMap::new(),
            interference: super::interference::InterferenceModel::default(),
            run_times: super::run_times::RunTimes::default(),
            record_clock: RecordClock::new(now.steady),
            vm_list: super::fleet::VmListSource::Inherited { since: now.steady },
            evacuation: super::evacuate::EvacuationOrders::default(),
            inherited_runs_until,
            earlier_active_until: now.steady + recovered.earlier_active,
            owned_at: recovered.claimed_at,
            unproved_since: None,
            stage: super::Stage::Serving,
            now,
            last_schedule: Duration::ZERO,
            has_backlog: false,
            next_schedule: now.steady,
            next_report: now.steady,
            next_drain_report: now.steady,
            actions: Vec::new(),
        };
        for entry in fleet {
            let vm = Vm::new(entry, now.steady, shard.inherited_runs_until);
            shard.vms.insert(vm.id.clone(), vm);
        }
        shard.restore_learned(recovered.learned);
        let progress: IndexMap<JobId, Progress> = recovered.progress.into_iter().collect();
        shard.recover_jobs(recovered.jobs, &progress);
        shard.update_successions();
        shard.apply_stored_lapses();
        shard.apply_offered_lapses(&recovered.unresponsive_vms);
        shard.apply_reported_lapses(&recovered.reported_lapses);
        shard
    }

    /// Returns the VMs that do not answer, for the owner that the shard is handed to.
    ///
    /// The new owner cannot know when the leases of these VMs were last extended, and would wait
    /// for the full time again before it starts their work elsewhere. Over three planned stops in a
    /// row, tasks of a dead VM were delayed by half a minute.
    pub fn unresponsive_vms(&self) -> Vec<VmLapse> {
        let now = self.now.steady;
        let silent = self.vms.values().filter(|vm| !vm.runs.is_empty() && !vm.is_answering(now));
        let lease = self.settings.inherited_lease(Duration::ZERO);
        let left = |vm: &Vm| vm.all_runs_ended_by(lease).saturating_sub(now);
        let lapse = |vm: &Vm| VmLapse { vm: vm.id.clone(), left: left(vm) };
        silent.map(lapse).collect()
    }

    /// Applies the remaining times that the previous owner told as it handed the shard over.
    ///
    /// They replace the inherited one also where they are longer: that owner may itself have
    /// replaced one that still extends the VMs' leases.
    fn apply_offered_lapses(&mut self, lapses: &[VmLapse]) {
        let now = self.now.steady;
        for lapse in lapses {
            if let Some(vm) = self.vms.get_mut(&lapse.vm) {
                vm.lease.set_told(now + lapse.left);
            }
        }
    }

    /// How long leases of earlier owners may last on VMs that have not answered this one.
    pub fn inherited_leases_left(&self, now: Duration) -> Duration {
        self.inherited_runs_until.saturating_sub(now)
    }

    /// Numbers of jobs and runs that are not known to have ended.
    pub fn open_job_and_run_counts(&self) -> (usize, usize) {
        (self.jobs.len(), self.vms.values().map(|vm| vm.runs.len()).sum())
    }

    fn recover_jobs(&mut self, jobs: Vec<Arc<Job>>, progress: &IndexMap<JobId, Progress>) {
        let now = self.now;
        for job in jobs {
            let (id, age) = (job.id, now.wall.saturating_sub(job.accepted));
            let images = self.images_of(&job);
            let run = JobRun::recovered(job, images, progress.get(&id), now.steady, age);
            self.jobs.insert(id, run);
            self.recover_runs(id);
            self.recover_loans(id);
            self.advance(id);
            if self.jobs.get(&id).is_some_and(|job| job.is_final()) {
                // Stop the remaining runs and close the job record.
                self.stop_job(id, "its job has ended");
                self.log.mark_changed(id);
            }
        }
        // If there are two instances of a VM at one address, the address is asked which of them is
        // the current one. The list may have been read before the instance in the store came up,
        // and going by the list started work there a second time.
        for (id, progress) in progress {
            if !self.jobs.contains_key(id) && progress.lender.is_none() {
                self.closed.insert(*id, ClosedJob { state: progress.state, since: now.steady });
            }
        }
    }

    fn recover_runs(&mut self, id: JobId) {
        let now = self.now.steady;
        let Some(job) = self.jobs.get(&id) else { return };
        for (task, placed) in job.placed_runs() {
            let Some(step) = job.step(task) else { continue };
            let mut run =
                Run::binding(step.reserved_resources(), step.size.milli_cores.0, step.share, now);
            run.stage = Stage::Recovered;
            run.role = recovered_role(job, task, &placed);
            let service = &job.job.service;
            let vm = self
                .vms
                .entry(placed.vm.clone())
                .or_insert_with(|| unlisted_vm(&placed, service, now, self.inherited_runs_until));
            vm.runs.insert(RunKey { task, run: placed.run }, run);
        }
    }
}

/// Returns the role of a recovered run: of several runs of a task, the first is the original.
fn recovered_role(job: &JobRun, task: TaskRef, placed: &PlacedRun) -> Role {
    let Some(known) = job.task(task).filter(|known| known.runs.len() > 1) else {
        return Role::Only;
    };
    let first = known.runs.iter().map(|placed| placed.run).min();
    if first == Some(placed.run) { Role::Original } else { Role::Copy }
}

/// Creates an entry for a VM that has work bound to it but is not in the list: it may be
/// unreachable or gone.
fn unlisted_vm(
    placed: &PlacedRun,
    service: &ServiceName,
    now: Duration,
    runs_ended_by: Duration,
) -> Vm {
    let entry = VmEntry {
        id: placed.vm.clone(),
        service: service.clone(),
        domain: DomainId::new(""),
        rack: RackId::new(""),
        labels: Vec::new(),
        size: Resources::ZERO,
        state: VmState::Ready,
        addr: placed.addr.clone(),
        announced: Rev::ABSENT,
        announced_after: None,
    };
    let mut vm = Vm::new(entry, now, runs_ended_by);
    vm.listing = Listing::Unknown;
    vm
}

#[cfg(test)]
mod tests;
