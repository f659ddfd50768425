//! Orders to VMs: starts and stops, sent again until it is known what became of them.

use super::Shard;
use super::event::Action;
use super::settings::{START_RETRY, START_TRIES, STOP_RETRY};
use super::vm_run::{RunKey, Stage, Unanswered};
use crate::ids::VmId;
use crate::job::{RunNumber, TaskRef};
use crate::note::Note;
use crate::vm::{self, RunReq, StartReq, VmTime};

impl Shard {
    /// The binding is durable: the start may be sent.
    pub(super) fn start_bound(&mut self, task: TaskRef, run: RunNumber, vm: &VmId) {
        let now = self.now.steady;
        let key = RunKey { task, run };
        if let Some(run) = self.vms.get_mut(vm).and_then(|vm| vm.runs.get_mut(&key))
            && run.stage == Stage::Binding
        {
            run.stage = Stage::Starting { next_send: Some(now) };
        }
    }

    /// Sends the orders whose time has come. Starts wait while it isn't known who leaves: they may have
    /// been decided long before, as when the store was away while they became durable.
    pub(super) fn send_orders(&mut self) {
        let now = self.now.steady;
        let may_start = self.knows_who_leaves();
        let mut starts = Vec::new();
        for vm in self.vms.values_mut() {
            let addr = vm.addr();
            for (key, run) in &mut vm.runs {
                match &mut run.stage {
                    Stage::Starting { next_send: Some(at) } if may_start && *at <= now => {
                        starts.push((vm.id.clone(), *key));
                    }
                    Stage::Stopping { next_send: send @ Some(_), .. } if *send <= Some(now) => {
                        *send = None;
                        let RunKey { task, run } = *key;
                        let req = RunReq { fence: self.fence, task, run };
                        self.out.push(Action::Stop { vm: addr.clone(), req });
                    }
                    _ => {}
                }
            }
        }
        for (vm, key) in starts {
            self.send_start(&vm, key);
        }
    }

    /// Sends a start, after a last look at what might have changed since it was decided.
    fn send_start(&mut self, id: &VmId, key: RunKey) {
        let (now, keep) = (self.now.steady, self.settings.max_keep);
        let wanted = self.jobs.get(&key.task.job).is_some_and(|job| !job.is_final());
        let Some(vm) = self.vms.get_mut(id) else { return };
        if !wanted || vm.leaving.is_some() {
            return self.give_up(id, key, "it is not wanted there any more");
        }
        // It may have become smaller since the binding, which can wait for the store.
        if vm.is_over() {
            return self.give_up(id, key, "the VM has no room for it any more");
        }
        let permit = match self.permits_of(key.task).map(|permits| permits.valid(id, now)) {
            None => None,
            Some(Some(permit)) => Some(permit.clone()),
            Some(None) => return self.give_up(id, key, "its permit has run out"),
        };
        // A start extends all work there; see `silence`.
        if !self.log.silence.may_extend(id) {
            return;
        }
        let Some(vm) = self.vms.get_mut(id) else { return };
        let (addr, Some(clock)) = (vm.addr(), vm.clock_now(now)) else { return };
        vm.extended(now, keep);
        let Some(run) = vm.runs.get_mut(&key) else { return };
        run.sends += 1;
        run.stage = Stage::Starting { next_send: None };
        let Some(job) = self.jobs.get(&key.task.job) else { return };
        let resume = job.task(key.task).and_then(|task| task.checkpoint.clone());
        let req = StartReq {
            fence: self.fence,
            task: key.task,
            run: key.run,
            payload: job.job.payload.clone(),
            keep_until: VmTime(clock.0 + keep),
            resume,
            permit,
        };
        self.out.push(Action::Start { vm: addr, req });
    }

    pub(super) fn start_answered(
        &mut self,
        id: &VmId,
        task: TaskRef,
        run: RunNumber,
        result: &vm::Result<VmTime>,
    ) {
        let now = self.now.steady;
        let key = RunKey { task, run };
        let Some(vm) = self.vms.get_mut(id) else { return };
        let Some(known) = vm.runs.get_mut(&key) else { return };
        let sends = known.sends;
        let starting = matches!(known.stage, Stage::Starting { .. });
        if let Err(e) = result {
            let (vm, reason) = (id.clone(), e.to_string());
            self.out.push(Action::Note(Note::StartFailed { task, run, vm, sends, reason }));
        }
        match result {
            Ok(clock) => {
                known.unanswered = Unanswered::No;
                if starting {
                    known.stage = Stage::Running;
                    known.since = now;
                }
                vm.read_clock(*clock, now);
                self.note_began(task.job);
                self.note(Note::TaskStarted { task, run, vm: id.clone(), sends });
            }
            Err(vm::Error::Fenced) => self.fenced(id),
            Err(vm::Error::OtherLife) => self.vm_gone(id, "another life at its address"),
            Err(vm::Error::OldRun) => {
                // It ran there already, or was barred: the next look tells.
                let answered = Some(now);
                known.stage = Stage::Stopping { next_send: None, answered };
            }
            Err(vm::Error::TooLate) => {
                vm.clock = None;
                vm.contact.next_look = now;
                self.retry_start(id, key, "its clock is not as it was read");
            }
            Err(vm::Error::NotSent { .. }) => self.retry_start(id, key, "it can't be reached"),
            Err(vm::Error::NoAnswer { .. }) => {
                known.unanswered = Unanswered::Yes;
                self.retry_start(id, key, "it doesn't answer");
            }
            Err(vm::Error::Unwell { .. }) => {
                self.blame(id, None, task);
                self.give_up(id, key, "the VM refused it");
            }
            Err(vm::Error::NoPermit) => {
                let step = self.jobs.get_mut(&task.job).and_then(|job| job.step_run_mut(task));
                if let Some(step) = step {
                    step.permits.lapse(id);
                }
                self.give_up(id, key, "the VM didn't take its permit");
            }
            Err(vm::Error::NoRoom | vm::Error::Malformed { .. }) => {
                self.give_up(id, key, "the VM refused it");
            }
        }
    }

    fn retry_start(&mut self, id: &VmId, key: RunKey, reason: &'static str) {
        let now = self.now.steady;
        let Some(run) = self.vms.get_mut(id).and_then(|vm| vm.runs.get_mut(&key)) else { return };
        if !matches!(run.stage, Stage::Starting { .. }) {
            return;
        }
        if run.sends >= START_TRIES {
            return self.give_up(id, key, reason);
        }
        run.stage = Stage::Starting { next_send: Some(now + START_RETRY) };
    }

    pub(super) fn stop_answered(
        &mut self,
        id: &VmId,
        task: TaskRef,
        run: RunNumber,
        result: &vm::Result<VmTime>,
    ) {
        let now = self.now.steady;
        let key = RunKey { task, run };
        let Some(vm) = self.vms.get_mut(id) else { return };
        let Some(known) = vm.runs.get_mut(&key) else { return };
        match result {
            Ok(clock) => {
                known.stage = Stage::Stopping { next_send: None, answered: Some(now) };
                vm.read_clock(*clock, now);
                vm.contact.next_look = vm.contact.next_look.min(now);
            }
            Err(vm::Error::Fenced) => self.fenced(id),
            Err(vm::Error::OtherLife) => self.vm_gone(id, "another life at its address"),
            Err(_) => {
                let next_send = Some(now + STOP_RETRY);
                known.stage = Stage::Stopping { next_send, answered: None };
            }
        }
    }

    pub(super) fn pace_answered(
        &mut self,
        id: &VmId,
        task: TaskRef,
        run: RunNumber,
        percent: u8,
        result: &vm::Result<VmTime>,
    ) {
        match result {
            Ok(_) => {}
            Err(vm::Error::Fenced) => self.fenced(id),
            Err(vm::Error::OtherLife) => self.vm_gone(id, "another life at its address"),
            Err(_) => {
                // The order may be carried out late or never: it is decided anew by the next look.
                let key = RunKey { task, run };
                let run = self.vms.get_mut(id).and_then(|vm| vm.runs.get_mut(&key));
                if let Some(run) = run.filter(|run| run.pace == percent) {
                    run.pace = UNKNOWN_PACE;
                }
            }
        }
    }
}

/// Pace of a run whose last pace order wasn't answered; differs from any that is ordered.
pub(super) const UNKNOWN_PACE: u8 = u8::MAX;
