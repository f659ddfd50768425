//! Polling of VMs for running and ended tasks, and handling of VMs that don't respond.

#[cfg(test)]
mod tests;

use super::Shard;
use super::event::Action;
use super::finish::RunEnd;
use super::interference::{Company, LeftoverNeighbour, OverTime};
use super::job_run::CheckpointRank;
use super::lease::{Delivery, Extension, LeaseTime};
use super::own_load::OwnLoad;
use super::relief::MEASUREMENT_WINDOW;
use super::settings::{POLL_RETRY_DELAY, SILENCE_TIMEOUT, UNCOMMITTED_POLL_DELAY};
use super::vm_run::{PendingStart, PollState, Responsiveness, Run, RunKey, Stage, Succession, Vm};
use crate::ids::VmId;
use crate::job::progress::TaskPhase;
use crate::job::{Share, TaskRef};
use crate::note::{Millis, Note, StaticText};
use crate::vm::{self, EndKind, EndedRun, PollReq, PollResp, RunningTask, VmTime};
use indexmap::IndexSet;
use std::time::Duration;

/// Maximum number of ended runs that a VM lists in one response. A longer list is truncated, so a
/// run missing from it may have ended nevertheless.
const MAX_LISTED_ENDS: usize = 500;

/// Shortest time over its target, between the first and the last tail, that is logged of a task.
const MIN_REPORTED_OVER: Duration = Duration::from_millis(1500);

/// Longest time over a target that is logged; one that began before this owner took over is longer.
const MAX_REPORTED_OVER: Duration = Duration::from_secs(3600);

/// Time beyond the VM's limit for a stop after which a run that is still listed is stopped again.
const STOP_REPEAT_MARGIN: Duration = Duration::from_millis(300);

impl Shard {
    /// Polls the VMs that are due.
    pub(super) fn poll_due_vms(&mut self) {
        let (now, fence) = (self.now.steady, self.fence);
        let (max_keep, longest) = (self.settings.max_keep, self.longest_lease());
        for vm in self.vms.values_mut() {
            if vm.contact.poll == PollState::InFlight || now < vm.contact.next_poll {
                continue;
            }
            // A silence recorded in the store must be withdrawn before the VM's work is extended,
            // since the next owner relies on that record.
            let extends = vm.may_extend_runs(now) && self.log.silence.may_extend_lease(&vm.id);
            let lease = LeaseTime::new(vm.max_extension(max_keep, now), longest);
            let extends = extends && !lease.is_zero();
            let keep_until = extends.then(|| vm.clock_now(now)).flatten();
            if keep_until.is_some() {
                vm.record_extension(Extension::Poll, now, lease);
            }
            let keep_until = keep_until.map(|clock| VmTime(clock.0 + lease.time()));
            let (ack_up_to, wait) = (vm.send_ack(), vm.poll_wait());
            vm.contact.poll = PollState::InFlight;
            vm.contact.poll_extends = keep_until.is_some();
            let req = PollReq { fence, ack_up_to, keep_until, wait };
            self.actions.push(Action::Poll { vm: vm.addr(), req });
        }
    }

    pub(super) fn handle_poll_response(
        &mut self,
        id: &VmId,
        sent: Duration,
        result: vm::Result<PollResp>,
    ) {
        let now = self.now.steady;
        let inherited = now + self.settings.inherited_lease(Duration::ZERO);
        let Some(vm) = self.vms.get_mut(id) else { return };
        vm.end_poll(Delivery::of(&result));
        match result {
            Ok(resp) => {
                let before = vm.contact.last_successful_poll;
                let succession = vm.succession;
                let awaited = vm.awaits_answer();
                let is_recovery = vm.contact.failures > 0;
                vm.record_answer(sent, now);
                if before.is_none() {
                    // From now on the VM rejects earlier owners.
                    vm.lease.exclude_earlier_owners(inherited);
                }
                vm.read_clock(resp.clock, now);
                let was =
                    std::mem::replace(&mut vm.contact.responsiveness, Responsiveness::Responsive);
                let met = before.is_none()
                    || was != Responsiveness::Responsive
                    || (awaited && !vm.awaits_answer());
                if let Responsiveness::SilentSince(since) = was {
                    let (runs, silent_ms) = (vm.runs.len(), Millis(now.saturating_sub(since)));
                    self.note(Note::VmHeard { vm: id.clone(), silent_ms, runs });
                } else if before.is_none() {
                    let size = vm.entry.size;
                    let (cores, memory_mib) = (size.milli_cores.0 / 1000, size.memory_mib.0);
                    self.note(Note::VmKnown { vm: id.clone(), cores, memory_mib });
                }
                if met {
                    self.request_schedule();
                }
                if succession == Succession::Settled {
                    self.apply_poll_response(id, sent, resp);
                }
                let configured = self.has_queues();
                if let Some(vm) = self.vms.get_mut(id) {
                    vm.schedule_poll(now);
                    if !configured {
                        vm.contact.next_poll = now + UNCOMMITTED_POLL_DELAY;
                    }
                    // The answered poll may not have extended the lease.
                    if is_recovery {
                        vm.contact.next_poll = now;
                    }
                }
            }
            Err(vm::Error::InstanceChanged { successor: None }) => {
                self.remove_vm_instance(id, "another life at its address")
            }
            Err(vm::Error::InstanceChanged { successor: Some(successor) }) => {
                self.succeed_vm_instance(id, &successor, sent);
            }
            Err(vm::Error::Fenced) => {
                vm.contact.next_poll = now + POLL_RETRY_DELAY;
                self.handle_fenced(id);
            }
            Err(e) => self.handle_poll_failure(id, &e),
        }
    }

    pub(super) fn handle_fenced(&mut self, id: &VmId) {
        self.note(Note::VmFenced { vm: id.clone(), fence: self.fence.0 });
        self.stage = super::Stage::HandedOver;
        self.actions.push(Action::Fenced);
    }

    fn handle_poll_failure(&mut self, id: &VmId, error: &vm::Error) {
        let now = self.now.steady;
        let Some(vm) = self.vms.get_mut(id) else { return };
        vm.contact.failures += 1;
        vm.contact.failing_since.get_or_insert(now);
        vm.schedule_poll(now);
        let last = vm.contact.last_successful_poll.unwrap_or(now);
        let silent_ms = Millis(now.saturating_sub(last));
        if vm.contact.responsiveness == Responsiveness::Responsive && silent_ms.0 >= SILENCE_TIMEOUT
        {
            vm.contact.responsiveness = Responsiveness::SilentSince(last);
            let (runs, reason) = (vm.runs.len(), error.to_string());
            self.note(Note::VmSilent { vm: id.clone(), silent_ms, runs, reason });
        }
    }

    fn apply_poll_response(&mut self, id: &VmId, sent: Duration, resp: PollResp) {
        let complete = resp.ended.len() < MAX_LISTED_ENDS;
        let mut seen = IndexSet::new();
        for row in &resp.running {
            seen.insert(RunKey { task: row.task, run: row.run });
            self.update_running(id, row);
            self.repeat_ineffective_stop(id, RunKey { task: row.task, run: row.run }, sent);
        }
        if let Some(vm) = self.vms.get_mut(id) {
            vm.alone_since = alone_since(vm, &resp, self.now.steady);
        }
        self.learn_interference(id, &resp.running);
        for row in resp.ended {
            seen.insert(RunKey { task: row.task, run: row.run });
            self.update_ended(id, row);
        }
        if complete {
            self.resolve_absent(id, sent, &seen);
        }
        self.note_late_starts(id, sent);
        self.adjust_paces(id);
    }

    /// Updates the interference estimates with the tails of the serving tasks on a VM.
    fn learn_interference(&mut self, id: &VmId, running: &[RunningTask]) {
        let now = self.now.steady;
        let Some(vm) = self.vms.get(id) else { return };
        let size = f64::from(vm.entry.size.milli_cores.0).max(1.0);
        let beside: Vec<LeftoverNeighbour> = running
            .iter()
            .filter_map(|row| {
                let run = vm.runs.get(&RunKey { task: row.task, run: row.run })?;
                let share = f64::from(row.milli_cores()) / size;
                let beside = || LeftoverNeighbour { image: self.image(row.task), share };
                (run.share == Share::Leftover).then(beside)
            })
            .collect();
        let is_alone =
            vm.alone_since.is_some_and(|at| now.saturating_sub(at) >= MEASUREMENT_WINDOW);
        let company = if is_alone { Company::Alone } else { Company::BesideLeftover };
        let mut ended = Vec::new();
        for row in running.iter().filter(|row| row.percent == 100 && row.measurement > 0) {
            let image = self.image(row.task);
            let Some(job) = self.jobs.get_mut(&row.task.job) else { continue };
            let Some(target) = job.step(row.task).and_then(|step| step.tail_target) else {
                continue;
            };
            let key = RunKey { task: row.task, run: row.run };
            let Some(run) = self.vms.get_mut(id).and_then(|vm| vm.runs.get_mut(&key)) else {
                continue;
            };
            let reading = run.serving.note_tail(row.tail(), target, company, now);
            ended.extend(reading.ended.map(|over| (row.task, target, over)));
            if !reading.is_new {
                continue;
            }
            let Some(step) = job.step_run_mut(row.task) else { continue };
            let load = step.load.get_or_insert_with(|| OwnLoad::new(target, now));
            self.interference.learn(load, image, row.tail(), &beside, now);
        }
        for (task, target, over) in ended {
            self.report_time_over_target(id, task, target, over, company);
        }
    }

    /// Logs that a serving task is below its target again, if it was over it for a while.
    fn report_time_over_target(
        &mut self,
        id: &VmId,
        task: TaskRef,
        target: Duration,
        over: OverTime,
        company: Company,
    ) {
        let read = self.now.steady.saturating_sub(over.read_since);
        if read < MIN_REPORTED_OVER {
            return;
        }
        let reason = match company {
            Company::Alone => "no leftover work ran beside it",
            Company::BesideLeftover => "it is below its target beside leftover work",
        };
        self.note(Note::TaskOverTarget {
            task,
            vm: id.clone(),
            over_ms: Millis(over.length(self.now.steady).min(MAX_REPORTED_OVER)),
            read_ms: Millis(read),
            peak_ms: Millis(over.peak),
            target_ms: Millis(target),
            ended: reason,
        });
    }

    fn update_running(&mut self, id: &VmId, row: &RunningTask) {
        let now = self.now.steady;
        let key = RunKey { task: row.task, run: row.run };
        let Some(vm) = self.vms.get_mut(id) else { return };
        let Some(run) = vm.runs.get_mut(&key) else {
            return self.stop_unbound_run(id, key, "run is not bound to this VM");
        };
        if matches!(run.stage, Stage::Starting { .. } | Stage::Recovered) {
            run.stage = Stage::Running;
            run.since = now;
        }
        run.pending_start = PendingStart::No;
        run.running_since.get_or_insert(now);
        let worked = run.running_since.map_or(Duration::ZERO, |at| now.saturating_sub(at));
        run.percent = row.percent;
        run.measurement = row.measurement;
        self.mark_started(row.task.job);
        self.read_progress(id, key);
        self.reset_crash_counts(key, worked);
        self.note_long_running_work(id, key, worked);
        let Some(job) = self.jobs.get_mut(&row.task.job) else { return };
        let over = job.is_final();
        let Some(task) = job.task_mut(row.task) else { return };
        let rank = CheckpointRank { run: row.run, at_stop: false, percent: row.percent };
        task.save_checkpoint(row.checkpoint.clone(), rank);
        if row.percent == 100 {
            task.not_running_since = None;
        }
        // An earlier owner may have been replaced before it could stop a run that is no longer
        // needed.
        if over || task.phase != TaskPhase::Open {
            self.stop_run(id, key, "its job or task has already ended");
        }
    }

    /// Stops a run again that a poll sent at `sent` lists as running, although the VM answered the
    /// stop long before.
    fn repeat_ineffective_stop(&mut self, id: &VmId, key: RunKey, sent: Duration) {
        let now = self.now.steady;
        let timeout = self.settings.stop_timeout + STOP_REPEAT_MARGIN;
        let Some(run) = self.vms.get_mut(id).and_then(|vm| vm.runs.get_mut(&key)) else { return };
        let Stage::Stopping { answered: Some(at), .. } = run.stage else { return };
        if sent < at + timeout {
            return;
        }
        run.stage = Stage::Stopping { next_send: Some(now), answered: None };
        let reason: StaticText = "it still runs although its stop was answered";
        let RunKey { task, run } = key;
        self.note(Note::TaskStopping { task, run, vm: id.clone(), reason });
    }

    /// Stops a run that isn't bound to the VM: its task may run elsewhere, or its job may have
    /// ended.
    pub(super) fn stop_unbound_run(&mut self, id: &VmId, key: RunKey, reason: StaticText) {
        let now = self.now.steady;
        let step = self.jobs.get(&key.task.job).and_then(|job| job.step(key.task));
        let Some(vm) = self.vms.get_mut(id) else { return };
        // The size of an unknown task is unknown too, so the whole VM counts as reserved until the
        // run has ended.
        let size = step.map_or(vm.entry.size, |step| step.reserved_resources());
        let share = step.map_or(Share::Reserved, |step| step.share);
        let mut run = Run::binding(size, 0, share, now);
        run.stage = Stage::Stopping { next_send: Some(now), answered: None };
        vm.runs.insert(key, run);
        let RunKey { task, run } = key;
        self.note(Note::TaskStopping { task, run, vm: id.clone(), reason });
    }

    fn update_ended(&mut self, id: &VmId, row: EndedRun) {
        if !self.has_queues() {
            // Without the queues, the consequences aren't known. The VM repeats the result until it
            // is told to discard it.
            return;
        }
        let key = RunKey { task: row.task, run: row.run };
        let known = self.is_open_task(row.task);
        let Some(vm) = self.vms.get_mut(id) else { return };
        if !vm.ended_runs.record(row.number) {
            return;
        }
        let (bound, number) = (vm.runs.contains_key(&key), row.number);
        if bound || (row.outcome == EndKind::Succeeded && known) {
            let (vm, outcome, checkpoint) = (id.clone(), row.outcome, row.checkpoint);
            self.handle_run_end(RunEnd { vm, key, outcome, checkpoint, number });
        } else {
            vm.ended_runs.mark_durable(number);
        }
    }

    fn is_open_task(&self, task: TaskRef) -> bool {
        let known = self.jobs.get(&task.job).and_then(|job| job.task(task));
        known.is_some_and(|task| task.phase == TaskPhase::Open && task.lent.is_none())
    }

    /// Handles runs that the VM lists neither as running nor as ended, although the poll was sent
    /// after the commands about them were answered.
    fn resolve_absent(&mut self, id: &VmId, sent: Duration, seen: &IndexSet<RunKey>) {
        let Some(vm) = self.vms.get(id) else { return };
        let absent: Vec<(RunKey, Absence)> = vm
            .runs
            .iter()
            .filter(|(key, _)| !seen.contains(*key))
            .filter_map(|(key, run)| Some((*key, absence(run, sent)?)))
            .collect();
        for (key, absence) in absent {
            match absence {
                Absence::Proven(proof) => self.remove_vanished_run(id, key, proof),
                Absence::Unexpected => {
                    self.note_ineffective_start(id, key);
                    self.stop_run(id, key, "VM does not list the run");
                }
            }
        }
    }

    /// Removes the runs of VMs that stopped responding, once they must have ended.
    pub(super) fn remove_expired_runs(&mut self) {
        let now = self.now.steady;
        let lapsed = |vm: &Vm| {
            !vm.runs.is_empty()
                && now >= vm.runs_ended_by()
                && (!vm.is_responsive(now) || !vm.has_recent_answer(now))
        };
        let ids: Vec<VmId> =
            self.vms.values().filter(|vm| lapsed(vm)).map(|vm| vm.id.clone()).collect();
        let lease = self.settings.inherited_lease(Duration::ZERO);
        for id in ids {
            let Some(vm) = self.vms.get(&id) else { continue };
            let is_over = |key: &RunKey| !vm.may_be_kept_by_successor(*key, lease, now);
            let keys: Vec<RunKey> = vm.runs.keys().copied().filter(is_over).collect();
            let proof = vm.lease.source().proof();
            for key in keys {
                self.remove_vanished_run(&id, key, proof);
            }
        }
    }

    /// Removes all runs of a VM that is known to run nothing any more.
    pub(super) fn remove_all_runs(&mut self, id: &VmId, proof: StaticText) {
        let Some(vm) = self.vms.get(id) else { return };
        let keys: Vec<RunKey> = vm.runs.keys().copied().collect();
        for key in keys {
            self.remove_vanished_run(id, key, proof);
        }
    }
}

/// What a run's absence from a VM's list implies.
enum Absence {
    /// The run isn't running and never will be.
    Proven(StaticText),
    /// The run should be listed.
    Unexpected,
}

fn absence(run: &Run, sent: Duration) -> Option<Absence> {
    match run.stage {
        // The VM has seen this owner's fencing token and rejects any delayed start command from an
        // earlier owner.
        Stage::Recovered => Some(Absence::Proven("run was never started")),
        Stage::Stopping { answered: Some(at), .. } if at <= sent => {
            Some(Absence::Proven("run was stopped before its start command arrived"))
        }
        Stage::Running if run.since < sent => Some(Absence::Unexpected),
        _ => None,
    }
}

/// Returns since when no leftover work has run on a VM, if a response shows that none does.
///
/// A run that has just started is listed before its usage has been measured, and one that has just
/// ended isn't listed any more although the tails still cover it.
fn alone_since(vm: &Vm, resp: &PollResp, now: Duration) -> Option<Duration> {
    let is_leftover = |run: &Run| run.share == Share::Leftover;
    let may_work =
        vm.runs.values().any(|run| is_leftover(run) && run.may_have_been_sent() && run.pace > 0);
    let mut listed = resp.running.iter().filter(|row| {
        vm.runs.get(&RunKey { task: row.task, run: row.run }).is_some_and(is_leftover)
    });
    let used = listed.clone().any(|row| row.milli_cores() > 0);
    if may_work || used {
        return None;
    }
    // Usage covers the same time as the tails.
    let is_measured = listed.next().is_some() && resp.ended.is_empty();
    let since = if is_measured { now.saturating_sub(MEASUREMENT_WINDOW) } else { now };
    Some(vm.alone_since.map_or(since, |known| known.min(since)))
}
