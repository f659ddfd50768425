//! Permits for steps that may run only on VMs approved by an external service.
//!
//! The service's verdict on a VM never changes, but a permit is valid for only a few seconds. The
//! service handles one request at a time from each daemon and takes longer the more VMs a request
//! names, so each request delays those queued behind it. Permits for the most urgent steps are
//! therefore requested first. A request names as many VMs as the waiting tasks are expected to
//! need, based on the grant rate so far, and never a VM that was denied before. A VM refuses a
//! start that has no valid permit.

use super::Shard;
use super::eligibility::Requirements;
use super::event::Action;
use super::job_run::JobRun;
use super::order::Candidate;
use super::room::VmCapacity;
use crate::ids::VmId;
use crate::job::{QueueName, StepRef, TaskRef};
use crate::note::{Millis, Note};
use crate::permit::{Error, MAX_VMS_PER_REQUEST, Permit, PermitReq, PermitResp, Result};
use crate::queues::PermitTimes;
use indexmap::IndexMap;
use std::time::Duration;

/// Minimum number of VMs in a request, if that many are eligible.
const MIN_VMS_PER_REQUEST: usize = 6;

/// Divisor of a request's base time that limits the time spent on more VMs than expected to be
/// needed. If too few VMs are permitted, a second request costs the full base time again.
const EXTRA_TIME_DIVISOR: u32 = 5;

/// A permit is not used in this last part of its validity: a binding takes up to 30 ms to become
/// durable, and an unanswered start is retried for 0.5 s.
const PERMIT_EXPIRY_MARGIN: Duration = Duration::from_millis(500);

/// Delay before an unanswered request is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Request timeout as a multiple of the service's own processing time, since other
/// requests may be ahead in its queue.
const TIMEOUT_FACTOR: u32 = 4;

/// Added to the timeout for the network round trip and a slowed service.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(400);

/// Assumed verdicts, half of them grants, that stand in until a queue has enough of its own.
const PRIOR_VERDICTS: f64 = 4.0;

/// Verdicts on VMs for a step, as far as they were requested.
#[derive(Debug, Default)]
pub struct StepPermits {
    verdicts: IndexMap<VmId, Verdict>,
    request: RequestState,
}

#[derive(Clone, Debug)]
enum Verdict {
    /// Never permitted.
    Denied,
    Permitted {
        permit: Permit,
        until: Duration,
    },
}

/// State of the permit requests for a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestState {
    InFlight,
    /// A request may be sent from this time on.
    Allowed(Duration),
}

impl Default for RequestState {
    fn default() -> Self {
        Self::Allowed(Duration::ZERO)
    }
}

/// What is required of a step's permit for a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitRequirement {
    /// The permit is at hand.
    Valid,
    /// The service has not denied it.
    NotDenied,
}

/// How many VMs a request has to cover.
struct VmSelection {
    tasks: usize,
    /// Expected fraction of VMs that are permitted.
    grant_rate: f64,
    /// Minimum number of VMs to name.
    min_vms: usize,
}

/// Permit requests of a shard and the grant rates seen so far.
#[derive(Debug, Default)]
pub struct PermitRequests {
    in_flight: u32,
    /// Maximum number of concurrent requests; zero counts as one.
    max_in_flight: u32,
    grant_rates: IndexMap<QueueName, GrantRate>,
}

/// Verdicts on the steps of a queue so far.
#[derive(Clone, Copy, Debug, Default)]
struct GrantRate {
    requested: f64,
    permitted: f64,
}

impl StepPermits {
    /// Returns the permit for a VM if it will still be valid when a start request arrives there.
    pub fn valid_permit(&self, vm: &VmId, now: Duration) -> Option<&Permit> {
        match self.verdicts.get(vm)? {
            Verdict::Permitted { permit, until } if now + PERMIT_EXPIRY_MARGIN < *until => {
                Some(permit)
            }
            _ => None,
        }
    }

    /// Marks a permit as expired after its VM refused it.
    pub fn mark_expired(&mut self, vm: &VmId) {
        if let Some(Verdict::Permitted { until, .. }) = self.verdicts.get_mut(vm) {
            *until = Duration::ZERO;
        }
    }

    /// Returns whether the step has a permit for a VM, or may still get one.
    pub fn meets(&self, requirement: PermitRequirement, vm: &VmId, now: Duration) -> bool {
        match requirement {
            PermitRequirement::Valid => self.valid_permit(vm, now).is_some(),
            PermitRequirement::NotDenied => !self.is_denied(vm),
        }
    }

    fn is_denied(&self, vm: &VmId) -> bool {
        matches!(self.verdicts.get(vm), Some(Verdict::Denied))
    }

    fn has_verdict(&self, vm: &VmId) -> bool {
        self.verdicts.contains_key(vm)
    }

    fn may_be_requested(&self, now: Duration) -> bool {
        matches!(self.request, RequestState::Allowed(from) if now >= from)
    }
}

impl Shard {
    /// Returns the permits of a task's step, or `None` if it needs none.
    pub(super) fn permits_of(&self, task: TaskRef) -> Option<&StepPermits> {
        let job = self.jobs.get(&task.job)?;
        self.terms(&job.job).permits?;
        Some(&job.step_run(task)?.permits)
    }

    /// Returns whether a task needs permits and has been denied all VMs of a kind that may run it.
    pub(super) fn is_denied_on_all_vms(&self, task: TaskRef) -> bool {
        let Some(permits) = self.permits_of(task) else { return false };
        let Some(task) = self.jobs.get(&task.job).and_then(|job| job.requirements(task)) else {
            return false;
        };
        let mut suitable = self.vms.values().filter(|vm| vm.leaving.is_none() && vm.suits(&task));
        suitable.clone().next().is_some() && suitable.all(|vm| permits.is_denied(&vm.id))
    }

    /// Requests permits for the most urgent steps with tasks that fit on no permitted VM.
    pub(super) fn request_missing_permits(
        &mut self,
        candidates: &[Candidate],
        rooms: &[VmCapacity],
    ) {
        for candidate in candidates {
            let Some(times) =
                self.jobs.get(&candidate.id).and_then(|job| self.terms(&job.job).permits)
            else {
                continue;
            };
            for group in candidate.tasks.chunk_by(|a, b| a.step_ref() == b.step_ref()) {
                if !self.permit_requests.may_send_request() {
                    return;
                }
                self.request_permits(group, times, rooms);
            }
        }
        self.request_upcoming_permits(rooms);
    }

    /// Requests permits for steps that become ready soon, if the request limit allows it.
    fn request_upcoming_permits(&mut self, rooms: &[VmCapacity]) {
        let next: Vec<(Vec<TaskRef>, PermitTimes)> = self
            .jobs
            .values()
            .filter(|job| !job.is_final())
            .filter_map(|job| Some((job, self.terms(&job.job).permits?)))
            .flat_map(|(job, times)| {
                upcoming_steps(job, times).into_iter().map(move |s| (s, times))
            })
            .collect();
        for (group, times) in next {
            if !self.permit_requests.may_send_request() {
                return;
            }
            self.request_permits(&group, times, rooms);
        }
    }

    /// Sets the maximum number of concurrent requests.
    pub(super) fn set_max_permit_requests(&mut self, max_requests: u32) {
        self.permit_requests.max_in_flight = max_requests.max(1);
    }

    fn request_permits(&mut self, group: &[TaskRef], times: PermitTimes, rooms: &[VmCapacity]) {
        let now = self.now.steady;
        let Some(job) = self.jobs.get(&group[0].job) else { return };
        let (Some(task), Some(run)) = (job.requirements(group[0]), job.step_run(group[0])) else {
            return;
        };
        let is_waiting = |task: &&TaskRef| job.task(**task).is_some_and(|task| task.is_waiting());
        let waiting = group.iter().filter(is_waiting).count();
        if waiting == 0 || !run.permits.may_be_requested(now) {
            return;
        }
        let grant_rate = self.permit_requests.grant_rate(&job.job.queue);
        let affordable = times.base_time.as_micros() / times.time_per_vm.as_micros().max(1);
        let extra = usize::try_from(affordable).unwrap_or(MAX_VMS_PER_REQUEST)
            / EXTRA_TIME_DIVISOR as usize;
        let min_vms = extra.clamp(MIN_VMS_PER_REQUEST, MAX_VMS_PER_REQUEST);
        let wanted = VmSelection { tasks: waiting, grant_rate, min_vms };
        let vms = self.select_vms(&task, &run.permits, &wanted, rooms);
        if vms.is_empty() {
            return;
        }
        let step = group[0].step_ref();
        let time =
            times.base_time + times.time_per_vm * u32::try_from(vms.len()).unwrap_or(u32::MAX);
        let timeout = time * TIMEOUT_FACTOR + TIMEOUT_MARGIN;
        if let Some(run) = self.step_run_mut(step) {
            run.permits.request = RequestState::InFlight;
        }
        self.permit_requests.in_flight += 1;
        self.actions.push(Action::RequestPermits(PermitReq { step, vms, timeout }));
    }

    /// Selects the VMs for a request, those with room first, until the expected room is enough for
    /// all waiting tasks.
    fn select_vms(
        &self,
        task: &Requirements<'_>,
        permits: &StepPermits,
        wanted: &VmSelection,
        rooms: &[VmCapacity],
    ) -> Vec<VmId> {
        let now = self.now.steady;
        let lacks_permit = |room: &&VmCapacity| {
            room.suits(task)
                && !permits.is_denied(&room.vm)
                && permits.valid_permit(&room.vm, now).is_none()
        };
        let mut open: Vec<(usize, &VmCapacity)> =
            rooms.iter().filter(lacks_permit).map(|room| (room.fitting(task), room)).collect();
        // VMs with room that were permitted before come first: a request renews their permits.
        open.sort_by_key(|(fitting, room)| {
            (
                *fitting == 0,
                !permits.has_verdict(&room.vm),
                std::cmp::Reverse(room.free.milli_cores),
            )
        });
        let mut expected = 0.0;
        let mut vms = Vec::new();
        for (fitting, room) in open {
            let enough = expected >= wanted.tasks as f64 && vms.len() >= wanted.min_vms;
            if enough || vms.len() >= MAX_VMS_PER_REQUEST {
                break;
            }
            let probability = if permits.has_verdict(&room.vm) { 1.0 } else { wanted.grant_rate };
            expected += probability * fitting as f64;
            vms.push(room.vm.clone());
        }
        // If all VMs are full, the request is made once one has room.
        if expected > 0.0 { vms } else { Vec::new() }
    }

    pub(super) fn handle_permit_response(
        &mut self,
        step: StepRef,
        vms: &[VmId],
        sent: Duration,
        result: Result<PermitResp>,
    ) {
        let now = self.now.steady;
        self.permit_requests.in_flight = self.permit_requests.in_flight.saturating_sub(1);
        self.request_schedule();
        // A borrowed task that is denied here is returned.
        self.loans.send_soon(now);
        let queue = self.jobs.get(&step.job).map(|job| job.job.queue.clone());
        let Some(run) = self.step_run_mut(step) else { return };
        let resp = match result {
            Ok(resp) => resp,
            Err(e) => {
                run.permits.request = RequestState::Allowed(now + RETRY_DELAY);
                return self.log_unanswered(step, vms.len(), &e);
            }
        };
        run.permits.request = RequestState::Allowed(now);
        for vm in vms {
            run.permits.verdicts.insert(vm.clone(), Verdict::Denied);
        }
        let until = sent + resp.validity;
        let permitted = resp.permits.len();
        for (vm, permit) in resp.permits {
            run.permits.verdicts.insert(vm, Verdict::Permitted { permit, until });
        }
        if let Some(queue) = queue {
            self.permit_requests.record_verdicts(queue, vms.len(), permitted);
        }
        let took_ms = Millis(now.saturating_sub(sent));
        let (job, step, asked) = (step.job, step.step, vms.len());
        self.note(Note::StepPermitted { job, step, asked, permitted, took_ms });
    }

    fn log_unanswered(&mut self, step: StepRef, asked: usize, error: &Error) {
        let (job, step, reason) = (step.job, step.step, error.to_string());
        self.note(Note::PermitsUnanswered { job, step, asked, reason });
    }

    fn step_run_mut(&mut self, step: StepRef) -> Option<&mut super::job_run::StepRun> {
        let first =
            TaskRef { job: step.job, occurrence: step.occurrence, step: step.step, index: 0 };
        self.jobs.get_mut(&step.job)?.step_run_mut(first)
    }
}

/// Returns the tasks of steps whose predecessors are all running and expected to end soon.
fn upcoming_steps(job: &JobRun, times: PermitTimes) -> Vec<Vec<TaskRef>> {
    let mut next = Vec::new();
    for occurrence in &job.open_occurrences {
        for (number, (step, run)) in job.job.steps.iter().zip(&occurrence.steps).enumerate() {
            let ends_soon = |after: &u16| {
                let before = usize::from(*after);
                let estimate = job.job.steps[before].estimate;
                let runs = &occurrence.steps[before].tasks;
                estimate < times.validity / 2 && runs.iter().all(|task| !task.is_waiting())
            };
            if run.ready.is_none() && step.after.iter().all(ends_soon) {
                let tasks = 0..run.tasks.len();
                next.push(tasks.map(|i| job.task_ref(occurrence.number, number, i)).collect());
            }
        }
    }
    next
}

impl PermitRequests {
    fn may_send_request(&self) -> bool {
        self.in_flight < self.max_in_flight.max(1)
    }

    /// Fraction of a queue's verdicts that are grants.
    fn grant_rate(&self, queue: &QueueName) -> f64 {
        let rate = self.grant_rates.get(queue).copied().unwrap_or_default();
        (rate.permitted + PRIOR_VERDICTS / 2.0) / (rate.requested + PRIOR_VERDICTS)
    }

    fn record_verdicts(&mut self, queue: QueueName, requested: usize, permitted: usize) {
        let rate = self.grant_rates.entry(queue).or_default();
        rate.requested += requested as f64;
        rate.permitted += permitted as f64;
    }
}
