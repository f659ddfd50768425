//! Calls of the daemons to the VMs and the log, and their answers.

use super::log::Appended;
use super::net::{AnswerFate, Call, Delivery};
use super::world::{Faults, LEASE_TTL, World};
use super::{PARTITION, ms};
use std::time::Duration;
use waxwingstall::core::event::CommitResult;
use waxwingstall::core::{Action, Event};
use waxwingstall::ids::{DaemonId, PartitionId, TaskId, Ticket, VmId};
use waxwingstall::peer::PeerMsg;
use waxwingstall::task::Change;
use waxwingstall::worker::{self, AcquireReq, SyncReq, ThrottleReq};
use waxwingstall_standin::worker::LeaseTable;

/// A task that there never is.
const NO_TASK: TaskId = TaskId { partition: PartitionId(u16::MAX), number: u64::MAX };

impl<F: Faults> World<F> {
    /// The call never arrives, and the caller is told so or guesses it.
    pub(super) fn lose(&mut self, from: &DaemonId, action: &Action) {
        let sent = self.now;
        let at = sent + ms(1_000);
        let no_answer = || worker::Error::NoAnswer { reason: "timeout".to_owned() };
        let event = match action {
            Action::Commit { ticket, .. } => not_written(*ticket),
            Action::Acquire { vm, .. } => {
                Event::Acquired { vm: vm.clone(), sent, result: Err(no_answer()) }
            }
            Action::Sync { vm, .. } => {
                Event::Synced { vm: vm.clone(), sent, result: Err(no_answer()) }
            }
            Action::Start { vm, req, .. } => Event::StartAnswered {
                vm: vm.clone(),
                task: req.task,
                attempt: req.attempt,
                result: Err(no_answer()),
            },
            Action::Close { vm, req, .. } => Event::CloseAnswered {
                vm: vm.clone(),
                task: req.task,
                attempt: req.attempt,
                result: Err(no_answer()),
            },
            Action::Checkpoint { vm, req, .. } => Event::CheckpointAnswered {
                vm: vm.clone(),
                task: req.task,
                attempt: req.attempt,
                result: Err(no_answer()),
            },
            _ => return,
        };
        self.net.deliver(at, Delivery::ToDaemon { to: from.clone(), event });
    }

    pub(super) fn call(&mut self, call: Call) {
        let mut event = match &call.action {
            Action::Commit { .. } => self.commit(call.recovery, &call.action),
            Action::Recover { .. } => return self.recover(call),
            _ => self.call_vm(&call.from, call.sent, &call.action),
        };
        let Call { from, action, answer, .. } = call;
        if answer == AnswerFate::Lost {
            match action {
                // The log is read back until it tells what became of the write.
                Action::Commit { .. } => {
                    let at = self.now + ms(4_000);
                    self.net.deliver(at, Delivery::ToDaemon { to: from, event: event.remove(0) });
                }
                action => self.lose(&from, &action),
            }
            return;
        }
        let at = self.now + self.faults.latency();
        for event in event {
            self.net.deliver(at, Delivery::ToDaemon { to: from.clone(), event });
        }
    }

    fn commit(&mut self, recovery: u64, action: &Action) -> Vec<Event> {
        let Action::Commit { ticket, partition, records } = action else { return Vec::new() };
        if self.now < self.store_down_until {
            return vec![not_written(*ticket)];
        }
        if self.log.append(recovery, records) == Appended::No {
            return vec![not_written(*ticket), Event::Superseded { partition: *partition }];
        }
        vec![Event::Committed { ticket: *ticket, result: CommitResult::Durable }]
    }

    /// Loads the log; tried until it succeeds.
    pub(super) fn recover(&mut self, call: Call) {
        if self.now < self.store_down_until {
            return self.net.deliver(self.now + ms(1_000), Delivery::Call(call));
        }
        let Some(node) = self.nodes.get_mut(&call.from) else { return };
        let (recovery, tasks, next_number) = self.log.recover();
        node.recovery = recovery;
        let event = Event::Recovered { partition: PARTITION, tasks, next_number };
        self.tell(&call.from, event);
    }

    fn call_vm(&mut self, from: &DaemonId, sent: Duration, action: &Action) -> Vec<Event> {
        let now = self.now;
        self.count_act(from, action);
        let event = match action {
            Action::Acquire { vm, .. } => {
                let req = AcquireReq { holder: from.clone(), ttl: LEASE_TTL };
                let result = self.table(vm).and_then(|table| table.acquire(now, &req));
                Event::Acquired { vm: vm.clone(), sent, result }
            }
            Action::Sync { vm, token, forget, .. } => {
                let req = SyncReq { token: *token, ttl: LEASE_TTL, forget: forget.clone() };
                let result = self.table(vm).and_then(|table| table.sync(now, &req));
                Event::Synced { vm: vm.clone(), sent, result }
            }
            Action::Start { vm, req, .. } => {
                let result = self.table(vm).and_then(|table| table.start(now, req));
                let (task, attempt) = (req.task, req.attempt);
                Event::StartAnswered { vm: vm.clone(), task, attempt, result }
            }
            Action::Close { vm, req, .. } => {
                let result = self.table(vm).and_then(|table| table.close(now, req));
                let (task, attempt) = (req.task, req.attempt);
                Event::CloseAnswered { vm: vm.clone(), task, attempt, result }
            }
            Action::Checkpoint { vm, req, .. } => {
                let result = self.table(vm).and_then(|table| table.checkpoint(now, req));
                let (task, attempt) = (req.task, req.attempt);
                Event::CheckpointAnswered { vm: vm.clone(), task, attempt, result }
            }
            Action::Release { vm, token } => {
                let _released = self.table(vm).and_then(|table| table.release(now, *token));
                return Vec::new();
            }
            _ => return Vec::new(),
        };
        vec![event]
    }

    /// Counts a call that is about to have an effect, by who holds the VM.
    fn count_act(&mut self, from: &DaemonId, action: &Action) {
        let now = self.now;
        let token = match action {
            Action::Start { req, .. } => req.token,
            Action::Close { req, .. } | Action::Checkpoint { req, .. } => req.token,
            _ => return,
        };
        let Ok(table) = self.table(&vm_of(action)) else { return };
        let holder = table.holder(now).cloned();
        // A throttle of no task tells whether the VM takes the token, and changes nothing.
        let probe = ThrottleReq { token, task: NO_TASK, share: 1.0 };
        if table.throttle(now, &probe).is_err() {
            self.acts.fenced += 1;
            return;
        }
        self.acts.accepted += 1;
        self.acts.without_lease += u64::from(holder.as_ref() != Some(from));
        self.acts.against_holder += u64::from(holder.is_some_and(|holder| holder != *from));
    }

    fn table(&mut self, vm: &VmId) -> worker::Result<&mut LeaseTable> {
        let gone = self.unlisted.contains(vm);
        let table = self.vms.get_mut(vm).filter(|_| !gone);
        table.ok_or_else(|| worker::Error::NoAnswer { reason: "no route".to_owned() })
    }
}

fn not_written(ticket: Ticket) -> Event {
    let reason = "the store refused".to_owned();
    Event::Committed { ticket, result: CommitResult::NotWritten { reason } }
}

/// The VM that an action is about; the first one where it is about none.
pub(super) fn vm_of(action: &Action) -> VmId {
    let vm = match action {
        Action::Acquire { vm, .. }
        | Action::Sync { vm, .. }
        | Action::Release { vm, .. }
        | Action::Start { vm, .. }
        | Action::Close { vm, .. }
        | Action::Checkpoint { vm, .. } => Some(vm),
        Action::Send { msg, .. } => vm_of_msg(msg),
        Action::Commit { records, .. } => records.iter().find_map(|record| match &record.change {
            Change::Bound { vm, .. } => Some(vm),
            _ => None,
        }),
        _ => None,
    };
    vm.cloned().unwrap_or_else(|| VmId::new("w0"))
}

fn vm_of_msg(msg: &PeerMsg) -> Option<&VmId> {
    match msg {
        PeerMsg::Reserve { vm, .. }
        | PeerMsg::Start { vm, .. }
        | PeerMsg::Started { vm, .. }
        | PeerMsg::Close { vm, .. }
        | PeerMsg::Closed { vm, .. }
        | PeerMsg::Ended { vm, .. }
        | PeerMsg::EndedAck { vm, .. } => Some(vm),
        _ => None,
    }
}
