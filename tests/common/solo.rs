//! One core, driven event by event.

use super::{DOMAIN, PARTITION, daemon, ms, worker};
use std::time::Duration;
use waxwingstall::core::event::{Answer, CommitResult, ListedState, ListedVm};
use waxwingstall::core::{Action, Core, CoreSettings, Event, PartitionHome};
use waxwingstall::ids::{
    Attempt, BootId, DaemonId, DomainId, IdempotencyKey, Revision, TaskId, Ticket, Token, VmId,
};
use waxwingstall::peer::{Member, MemberState, PeerMsg};
use waxwingstall::task::{Record, TaskSpec, TaskState};
use waxwingstall::worker::{
    self, Earlier, EndedAttempt, Granted, SyncResp, Tenant, TenantKind, VmStatus,
};

/// The daemon under test.
pub const ME: &str = "me";

/// One core and the actions that it has asked for.
pub struct Solo {
    pub now: Duration,
    pub core: Core,
    pub actions: Vec<Action>,
}

impl Solo {
    /// A core that is alone in its failure domain and knows the VMs.
    pub fn new(vms: &[&str]) -> Self {
        let home = PartitionHome { id: PARTITION, domain: DomainId::new(DOMAIN) };
        let settings = CoreSettings::new(daemon(ME), DomainId::new(DOMAIN));
        let core = Core::new(settings.with_partitions(vec![home])).expect("the charts load");
        let mut solo = Self { now: ms(10_000), core, actions: Vec::new() };
        solo.tell(Event::Members(vec![member(ME)]));
        solo.tell(Event::Listed(vms.iter().map(|vm| listed(vm)).collect()));
        solo
    }

    /// A core that writes the partition and holds the VMs, which are empty.
    pub fn at_work(vms: &[&str]) -> Self {
        let mut solo = Self::new(vms);
        solo.wait(ms(600));
        solo.recover(Vec::new());
        for vm in vms {
            solo.grant(vm, 1, Vec::new());
        }
        solo.settle();
        solo
    }

    /// Tells an event now.
    pub fn tell(&mut self, event: Event) {
        let actions = self.core.step(self.now, event);
        self.actions.extend(actions);
    }

    /// Lets time pass, then ticks.
    pub fn wait(&mut self, time: Duration) {
        self.now += time;
        self.tell(Event::Tick);
    }

    /// Tells messages that the core sent to itself, and commits, until there are none and nothing
    /// is left to write.
    pub fn settle(&mut self) {
        loop {
            self.wait(ms(100));
            let is_own = |action: &Action| {
                matches!(action, Action::Send { to, .. } if *to == daemon(ME))
                    || matches!(action, Action::Commit { .. })
            };
            let (own, kept): (Vec<_>, Vec<_>) = self.take().into_iter().partition(is_own);
            self.actions = kept;
            let is_view =
                |action: &Action| matches!(action, Action::Send { msg: PeerMsg::Views { .. }, .. });
            let written =
                self.core.partitions().iter().all(|partition| partition.queued_records == 0);
            let last = written && own.iter().all(is_view);
            own.into_iter().for_each(|action| self.carry_out(action));
            if last {
                return;
            }
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { to, msg } => self.tell(Event::Peer { from: to, msg }),
            Action::Commit { ticket, .. } => {
                self.tell(Event::Committed { ticket, result: CommitResult::Durable });
            }
            _ => {}
        }
    }

    /// Takes the actions asked for so far.
    pub fn take(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Answers the request to write the partition.
    pub fn recover(&mut self, tasks: Vec<TaskState>) {
        let next_number = tasks.len() as u64;
        self.tell(Event::Recovered { partition: PARTITION, tasks, next_number });
    }

    /// Grants a VM's control lease to a request sent now.
    pub fn grant(&mut self, vm: &str, token: u64, tasks: Vec<Tenant>) {
        let status = VmStatus { tasks, ..worker(vm) };
        let result = Ok(Granted { token: Token(token), earlier: Earlier::Some, status });
        self.tell(Event::Acquired { vm: VmId::new(vm), sent: self.now, result });
    }

    /// Answers a renewal that was sent at a time.
    pub fn synced(
        &mut self,
        vm: &str,
        sent: Duration,
        tasks: Vec<Tenant>,
        ended: Vec<EndedAttempt>,
    ) {
        let report = None;
        let resp = SyncResp { boot: BootId(1), tasks, ended, report, leaving: false };
        self.tell(Event::Synced { vm: VmId::new(vm), sent, result: Ok(resp) });
    }

    /// Confirms a start.
    pub fn started(&mut self, vm: &str, task: TaskId, attempt: u32) {
        let (vm, attempt) = (VmId::new(vm), Attempt(attempt));
        self.tell(Event::StartAnswered { vm, task, attempt, result: Ok(()) });
    }

    /// Proves the end of an attempt.
    pub fn closed(&mut self, vm: &str, task: TaskId, attempt: u32) {
        let result = Ok(worker::Closed { ended: None, checkpoint: None, started: true });
        let (vm, attempt) = (VmId::new(vm), Attempt(attempt));
        self.tell(Event::CloseAnswered { vm, task, attempt, result });
    }

    /// Submits a task.
    pub fn submit(&mut self, number: u64, spec: TaskSpec) -> Ticket {
        let ticket = Ticket(number);
        let key = IdempotencyKey::new(&format!("key-{number}"));
        self.tell(Event::Submit { ticket, partition: PARTITION, key, spec });
        ticket
    }

    /// Delivers a message from another daemon.
    pub fn receive(&mut self, from: &str, msg: PeerMsg) {
        self.tell(Event::Peer { from: DaemonId::new(from), msg });
    }

    /// Messages sent to a daemon.
    pub fn sent_to(&self, to: &str) -> Vec<&PeerMsg> {
        let sent = self.actions.iter().filter_map(|action| match action {
            Action::Send { to: id, msg } if id.as_str() == to => Some(msg),
            _ => None,
        });
        sent.collect()
    }

    /// The answer to a caller, if there is one.
    pub fn answer(&self, ticket: Ticket) -> Option<&Answer> {
        self.actions.iter().find_map(|action| match action {
            Action::Reply { ticket: to, answer } if *to == ticket => Some(answer),
            _ => None,
        })
    }

    /// Commits asked for.
    pub fn commits(&self) -> Vec<(Ticket, &[Record])> {
        let commits = self.actions.iter().filter_map(|action| match action {
            Action::Commit { ticket, records, .. } => Some((*ticket, records.as_slice())),
            _ => None,
        });
        commits.collect()
    }
}

/// A daemon that serves in the domain.
pub fn member(name: &str) -> Member {
    Member {
        id: daemon(name),
        domain: DomainId::new(DOMAIN),
        peer_addr: String::new(),
        state: MemberState::Serving,
        revision: Revision(0),
    }
}

/// A VM on the list.
pub fn listed(vm: &str) -> ListedVm {
    ListedVm { vm: VmId::new(vm), domain: DomainId::new(DOMAIN), state: ListedState::Live }
}

/// An attempt in a VM's table.
pub fn tenant(task: TaskId, attempt: u32, spec: &TaskSpec) -> Tenant {
    Tenant {
        task,
        attempt: Attempt(attempt),
        class: spec.class.clone(),
        resources: spec.resources,
        kind: TenantKind::Batch,
    }
}
