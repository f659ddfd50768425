//! Commands to VMs: starts and stops, retried until their outcome is known.

use super::Shard;
use super::event::Action;
use super::health::Evidence;
use super::lease::{Delivery, LeaseTime};
use super::settings::{COMMAND_RESULT_TIMEOUT, MAX_START_ATTEMPTS, START_RETRY, STOP_RETRY};
use super::vm_run::{PendingStart, Responsiveness, Run, RunKey, Stage, Vm};
use crate::ids::VmId;
use crate::job::{RunNumber, TaskRef};
use crate::note::{Millis, Note, StaticText};
use crate::vm::{self, RunReq, StartReq, VmTime};
use std::time::Duration;

/// Delay before a task is started again after the second refusal in a row; each further one doubles
/// it.
const MIN_REFUSAL_DELAY: Duration = Duration::from_millis(100);

/// Longest such delay, as a multiple of the first one.
const MAX_REFUSAL_FACTOR: u32 = 32;

/// Minimum time between two passes over all commands while more are due than may be sent: each answer
/// makes room for one only.
const COMMAND_GAP: Duration = Duration::from_millis(5);

impl Shard {
    /// Allows the start to be sent once the binding is durable.
    pub(super) fn mark_start_due(&mut self, task: TaskRef, run: RunNumber, vm: &VmId) {
        let now = self.now.steady;
        let key = RunKey { task, run };
        if let Some(run) = self.vms.get_mut(vm).and_then(|vm| vm.runs.get_mut(&key))
            && run.stage == Stage::Binding
        {
            run.stage = Stage::Starting { next_send: Some(now) };
        }
    }

    /// Sends the start and stop commands that are due, as many as may be unanswered at a time. Starts
    /// are held back while the list of leaving VMs or the evacuation orders are out of date: they may
    /// have been decided long before, for example when the store was unavailable while their bindings
    /// were being committed.
    pub(super) fn send_due_commands(&mut self) {
        let now = self.now.steady;
        if now < self.next_commands {
            return;
        }
        let may_start = self.may_start();
        let (mut starts, mut stops) = (Vec::new(), Vec::new());
        for vm in self.vms.values() {
            for (key, run) in &vm.runs {
                match run.stage {
                    Stage::Starting { next_send: Some(at) } if may_start && at <= now => {
                        starts.push((at, vm.id.clone(), *key));
                    }
                    Stage::Stopping { next_send: Some(at), .. } if at <= now => {
                        stops.push((at, vm.id.clone(), *key));
                    }
                    _ => {}
                }
            }
        }
        let max = self.settings.max_commands;
        self.open_starts.forget_overdue(now);
        self.open_stops.forget_overdue(now);
        let are_stops_crowded = self.open_stops.len() + stops.len() > max;
        let are_starts_crowded = self.open_starts.len() + starts.len() > max;
        if are_stops_crowded || are_starts_crowded {
            self.next_commands = now + COMMAND_GAP;
        }
        if are_stops_crowded {
            stops.sort_by_key(|(at, ..)| *at);
        }
        for (_, vm, key) in stops {
            if self.open_stops.len() >= max {
                break;
            }
            self.send_stop(&vm, key);
        }
        if are_starts_crowded {
            starts.sort_by_cached_key(|(at, _, key)| (self.start_order(*key), *at));
        }
        for (_, vm, key) in starts {
            if self.open_starts.len() >= max {
                break;
            }
            self.send_start(&vm, key);
        }
    }

    /// The order of starts that can't all be sent now: by priority, then jobs of few tasks, which a wide
    /// one would delay.
    fn start_order(&self, key: RunKey) -> (u32, u64) {
        let Some(job) = self.jobs.get(&key.task.job) else { return (u32::MAX, 0) };
        let tasks = job.job.steps.iter().map(|step| u64::from(step.tasks)).sum();
        (self.terms(&job.job).priority, tasks)
    }

    fn send_stop(&mut self, id: &VmId, key: RunKey) {
        let now = self.now.steady;
        let Some(vm) = self.vms.get_mut(id) else { return };
        let addr = vm.addr();
        let Some(run) = vm.runs.get_mut(&key) else { return };
        if let Stage::Stopping { next_send, .. } = &mut run.stage {
            *next_send = Some(now + COMMAND_RESULT_TIMEOUT);
            let RunKey { task, run } = key;
            let req = RunReq { fence: self.fence, task, run };
            self.open_stops.add(key, now);
            self.actions.push(Action::Stop { vm: addr, req });
        }
    }

    /// Sends a start, after rechecking the conditions that may have changed since it was decided.
    fn send_start(&mut self, id: &VmId, key: RunKey) {
        let now = self.now.steady;
        let lease = LeaseTime::new(self.settings.max_keep, self.longest_lease());
        let wanted = self.jobs.get(&key.task.job).is_some_and(|job| !job.is_final());
        let Some(vm) = self.vms.get_mut(id) else { return };
        if !wanted || vm.leaving.is_some() {
            return self.abandon_start(id, key, "the job has ended or the VM is leaving");
        }
        if self.evacuation.includes(vm) {
            return self.abandon_start(id, key, "its failure domain is evacuated");
        }
        // The VM may have shrunk since the task was bound: the commit can be delayed by the store.
        if vm.is_overcommitted() {
            return self.abandon_start(id, key, "the VM no longer has room for the task");
        }
        if !vm.is_answering(now) {
            return self.hold_start(id, key);
        }
        let permit = match self.permits_of(key.task).map(|permits| permits.valid_permit(id, now)) {
            None => None,
            Some(Some(permit)) => Some(permit.clone()),
            Some(None) => return self.abandon_start(id, key, "the permit has expired"),
        };
        // A start extends the deadline of every task on the VM; see `silence`.
        if !self.log.silence.may_extend_lease(id) {
            return;
        }
        let Some(job) = self.jobs.get(&key.task.job) else { return };
        let Some(vm) = self.vms.get_mut(id) else { return };
        let (addr, Some(clock)) = (vm.addr(), vm.clock_now(now)) else { return };
        let Some(run) = vm.runs.get_mut(&key) else { return };
        run.record_start(now);
        vm.record_start(key, now, lease);
        let resume = job.task(key.task).and_then(|task| task.checkpoint.clone());
        let req = StartReq {
            fence: self.fence,
            task: key.task,
            run: key.run,
            payload: job.job.payload.clone(),
            keep_until: VmTime(clock.0 + lease.time()),
            resume,
            permit,
        };
        self.open_starts.add(key, now);
        self.actions.push(Action::Start { vm: addr, req });
    }

    /// Sends no start to a VM that didn't answer the last poll, as it would extend the lease of all
    /// runs there. If the VM is silent or refuses connections, and none was sent before, the task can
    /// be placed elsewhere at once.
    fn hold_start(&mut self, id: &VmId, key: RunKey) {
        let Some(vm) = self.vms.get(id) else { return };
        let may_have_been_sent = vm.runs.get(&key).is_some_and(Run::may_have_been_sent);
        let is_silent = vm.contact.responsiveness != Responsiveness::Responsive;
        if !may_have_been_sent && (is_silent || self.is_refused(vm, key)) {
            self.abandon_start(id, key, "the VM does not answer");
        }
    }

    /// Whether a VM refuses the start of a run, which is to be placed elsewhere.
    ///
    /// The others of a gang would run in vain until all of it can be placed again, so that its starts
    /// wait until the VM has refused a poll as well.
    fn is_refused(&self, vm: &Vm, key: RunKey) -> bool {
        vm.contact.refused.is_some() && (vm.contact.refused_polls > 0 || !self.is_gang(key.task))
    }

    pub(super) fn handle_start_response(
        &mut self,
        id: &VmId,
        task: TaskRef,
        run: RunNumber,
        result: &vm::Result<VmTime>,
    ) {
        let now = self.now.steady;
        let key = RunKey { task, run };
        self.open_starts.remove(key);
        let Some(vm) = self.vms.get_mut(id) else { return };
        vm.end_start(key, Delivery::of(result), now, self.settings.max_keep);
        let Some(known) = vm.runs.get_mut(&key) else { return };
        let sends = known.sends;
        let starting = matches!(known.stage, Stage::Starting { .. });
        let listed = known.running_since.is_some();
        if let Err(e) = result {
            let (vm, reason) = (id.clone(), e.to_string());
            self.actions.push(Action::Note(Note::StartFailed { task, run, vm, sends, reason }));
        }
        match result {
            Ok(clock) => {
                known.pending_start = PendingStart::No;
                if starting {
                    known.stage = Stage::Running;
                    known.since = now;
                }
                vm.read_clock(*clock, now);
                if starting {
                    self.note_timely_start(id, key, *clock);
                }
                self.mark_started(task.job);
                let known = self.jobs.get_mut(&task.job).and_then(|job| job.task_mut(task));
                if let Some(known) = known {
                    known.refused_starts = 0;
                }
                self.note(Note::TaskStarted { task, run, vm: id.clone(), sends });
            }
            Err(vm::Error::Fenced) => self.handle_fenced(id),
            Err(vm::Error::InstanceChanged { .. }) => {
                self.remove_vm_instance(id, "another life at its address")
            }
            Err(vm::Error::StaleRun) if listed => {}
            Err(vm::Error::StaleRun) => {
                // This run or a later one has already ended or been stopped there; the next
                // status poll tells which.
                let answered = Some(now);
                known.stage = Stage::Stopping { next_send: None, answered };
            }
            Err(vm::Error::LeaseExpired) => {
                vm.clock = None;
                vm.contact.next_poll = now;
                self.retry_start(id, key, "the VM's clock differs from the last reading");
            }
            Err(vm::Error::NotSent { .. }) => self.handle_unsent_start(id, key),
            Err(vm::Error::NoAnswer { .. }) => {
                known.pending_start = PendingStart::Yes;
                self.retry_start(id, key, "the VM did not answer");
            }
            Err(vm::Error::Unavailable { .. }) => {
                self.record_failure(id, task, Evidence::Strong);
                self.delay_refused(task, "the VM refused the start");
                self.abandon_start(id, key, "the VM refused the start");
            }
            Err(vm::Error::NoPermit) => {
                let step = self.jobs.get_mut(&task.job).and_then(|job| job.step_run_mut(task));
                if let Some(step) = step {
                    step.permits.mark_expired(id);
                }
                self.delay_refused(task, "the VM rejected the permit");
                self.abandon_start(id, key, "the VM rejected the permit");
            }
            Err(vm::Error::NoRoom | vm::Error::Malformed { .. }) => {
                self.delay_refused(task, "the VM refused the start");
                self.abandon_start(id, key, "the VM refused the start");
            }
        }
    }

    /// Delays the next start of a task if VMs have refused several in a row: the reason may be the same
    /// everywhere.
    fn delay_refused(&mut self, task: TaskRef, reason: StaticText) {
        let now = self.now.steady;
        let job = self.jobs.get_mut(&task.job);
        let Some(known) = job.and_then(|job| job.task_mut(task)) else { return };
        known.refused_starts = known.refused_starts.saturating_add(1);
        let refused = known.refused_starts;
        if refused < 2 {
            return;
        }
        let factor = 2_u32.saturating_pow(refused - 2).min(MAX_REFUSAL_FACTOR);
        let delay = MIN_REFUSAL_DELAY * factor;
        known.restart_at = now + delay;
        self.note(Note::StartsRefused { task, refused, wait_ms: Millis(delay), reason });
    }

    /// Handles a start that was not sent. Unless an earlier one may have been, the task is placed
    /// elsewhere.
    fn handle_unsent_start(&mut self, id: &VmId, key: RunKey) {
        let now = self.now.steady;
        let Some(vm) = self.vms.get_mut(id) else { return };
        vm.record_refused_start(now);
        let Some(run) = vm.runs.get(&key) else { return };
        if run.is_stopped_unsent() {
            return self.drop_run(id, key);
        }
        let is_starting = matches!(run.stage, Stage::Starting { .. });
        if is_starting && !run.may_have_been_sent() && !self.is_gang(key.task) {
            return self.abandon_start(id, key, "the VM is unreachable");
        }
        self.retry_start(id, key, "the VM is unreachable");
    }

    fn retry_start(&mut self, id: &VmId, key: RunKey, reason: &'static str) {
        let now = self.now.steady;
        let Some(run) = self.vms.get_mut(id).and_then(|vm| vm.runs.get_mut(&key)) else { return };
        if !matches!(run.stage, Stage::Starting { .. }) {
            return;
        }
        if run.sends >= MAX_START_ATTEMPTS {
            return self.abandon_start(id, key, reason);
        }
        run.stage = Stage::Starting { next_send: Some(now + START_RETRY) };
    }

    pub(super) fn handle_stop_response(
        &mut self,
        id: &VmId,
        task: TaskRef,
        run: RunNumber,
        result: &vm::Result<VmTime>,
    ) {
        let now = self.now.steady;
        let key = RunKey { task, run };
        self.open_stops.remove(key);
        let Some(vm) = self.vms.get_mut(id) else { return };
        let Some(known) = vm.runs.get_mut(&key) else { return };
        match result {
            Ok(clock) => {
                known.stage = Stage::Stopping { next_send: None, answered: Some(now) };
                vm.read_clock(*clock, now);
                vm.contact.next_poll = vm.contact.next_poll.min(now);
            }
            Err(vm::Error::Fenced) => self.handle_fenced(id),
            Err(vm::Error::InstanceChanged { .. }) => {
                self.remove_vm_instance(id, "another life at its address")
            }
            Err(_) => {
                let next_send = Some(now + STOP_RETRY);
                known.stage = Stage::Stopping { next_send, answered: None };
            }
        }
    }

    pub(super) fn handle_pace_response(
        &mut self,
        id: &VmId,
        task: TaskRef,
        run: RunNumber,
        percent: u8,
        result: &vm::Result<VmTime>,
    ) {
        match result {
            Ok(_) => {}
            Err(vm::Error::Fenced) => self.handle_fenced(id),
            Err(vm::Error::InstanceChanged { .. }) => {
                self.remove_vm_instance(id, "another life at its address")
            }
            Err(_) => {
                // The command may take effect late or never, so the next poll decides the pace
                // again.
                let key = RunKey { task, run };
                let run = self.vms.get_mut(id).and_then(|vm| vm.runs.get_mut(&key));
                if let Some(run) = run.filter(|run| run.pace == percent) {
                    run.pace = UNKNOWN_PACE;
                }
            }
        }
    }
}

/// Pace of a run whose last pace command was not acknowledged; differs from every valid pace.
const UNKNOWN_PACE: u8 = u8::MAX;
