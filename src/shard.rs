//! The decisions of one shard: a slice of one failure domain's VMs, and the jobs that run there.
//!
//! A shard has one owner at a time. What the owner accepts and binds is durable in the platform's
//! store before it takes effect, under the condition that nobody else has become the owner; what
//! runs is known by the VMs, which refuse the orders of earlier owners. So an owner can be
//! replaced at any moment: the next one reads the store, asks the VMs, and goes on.
//!
//! [`Shard::step`] takes an event and gives actions, without I/O, without a clock of its own, and
//! without depending on the order of hashes.

mod compact;
mod crash;
mod drain;
pub mod event;
mod finish;
mod fleet;
mod health;
mod intake;
pub mod interference;
mod job_run;
pub mod loan;
mod log;
mod look;
mod moving;
mod order;
mod orders;
mod own_load;
mod permits;
mod place;
mod recover;
mod relief;
mod room;
pub mod settings;
mod silence;
mod summary;
mod vacate;
mod vm_run;
mod waiting;

pub use event::{
    Action, Announcements, Answer, CommitResult, Event, Landed, Neighbour, Now, Summary, Urge,
    VacateOrder,
};
pub use log::Keys;
pub use recover::{Lapse, Previous, Recovered};
pub use settings::Settings;
pub use silence::{Mark, SilentVm, ToldLapse};

use crate::ids::VmId;
use crate::job::{JobId, Life, Share, ShownState};
use crate::note::Note;
use crate::queues::{Queue, Queues};
use crate::vm::Fence;
use indexmap::{IndexMap, IndexSet};
use job_run::JobRun;
use log::Log;
use std::sync::Arc;
use std::time::Duration;
use vm_run::Vm;

/// The decisions of one shard.
pub struct Shard {
    name: String,
    fence: Fence,
    settings: Settings,
    queues: Arc<Queues>,
    jobs: IndexMap<JobId, JobRun>,
    closed: IndexMap<JobId, Closed>,
    vms: IndexMap<VmId, Vm>,
    /// Lives of VMs that are over, whatever is still announced of them.
    gone: IndexSet<VmId>,
    log: Log,
    effects: interference::Effects,
    loans: loan::Loans,
    questions: permits::Questions,
    vacating: vacate::Vacating,
    crash_log: crash::CrashLog,
    kept: compact::Kept,
    list: fleet::List,
    /// Until when VMs that this owner hasn't reached may keep running what earlier owners started.
    inherited_until: Duration,
    stage: Stage,
    now: Now,
    last_schedule: Duration,
    next_schedule: Duration,
    next_report: Duration,
    out: Vec<Action>,
}

/// A job whose final state is all that is left.
#[derive(Clone, Copy, Debug)]
struct Closed {
    state: ShownState,
    since: Duration,
}

/// Whether the shard begins anything.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Serving,
    /// It is being given away.
    HandingOver,
    HandedOver,
}

/// Time between two lines on the shard's state.
const REPORT_EVERY: Duration = Duration::from_secs(2);

impl Shard {
    /// Takes an event, and gives what is to be done.
    pub fn step(&mut self, now: Now, event: Event) -> Vec<Action> {
        self.now = now;
        self.handle(event);
        self.go_on();
        std::mem::take(&mut self.out)
    }

    /// The shard's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// What was learned of how images disturb each other.
    pub fn learned(&self) -> Vec<interference::Learned> {
        self.effects.learned()
    }

    /// This owner's fencing token.
    pub fn fence(&self) -> Fence {
        self.fence
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick => {}
            Event::Queues(queues) => self.configure(queues),
            Event::Fleet { vms, announcements, at } => self.announced(vms, announcements, at),
            Event::Looked { vm, sent, result } => self.looked(&vm, sent, result),
            Event::Started { vm, task, run, result } => {
                self.start_answered(&vm, task, run, &result)
            }
            Event::Stopped { vm, task, run, result } => self.stop_answered(&vm, task, run, &result),
            Event::Paced { vm, task, run, percent, result } => {
                self.pace_answered(&vm, task, run, percent, &result);
            }
            Event::Permitted { step, vms, sent, result } => {
                self.permitted(step, &vms, sent, result);
            }
            Event::Committed { seq, result } => self.committed(seq, result),
            Event::Submit { ticket, job, urge } => self.submit(ticket, job, urge),
            Event::Cancel { ticket, job } => self.cancel(ticket, job),
            Event::Show { ticket, job } => self.show(ticket, job),
            Event::Learned { from, learned } => self.effects.merge(&from, &learned),
            Event::Neighbours(neighbours) => self.loans.know(neighbours),
            Event::Vacate(order) => self.vacate(order),
            Event::Askers(askers) => self.set_askers(askers),
            Event::Message { from, to, msg } => {
                // What was said to another owner may have been answered by it, and settled since.
                if to == self.fence {
                    self.hear_message(&from, msg);
                }
            }
            Event::HandOver => self.stage = Stage::HandingOver,
        }
    }

    /// What follows any event: time has passed, or something has become possible.
    fn go_on(&mut self) {
        if self.stage == Stage::HandedOver {
            return;
        }
        self.begin_due();
        self.check_contacts();
        if self.stage == Stage::Serving {
            self.empty_leaving();
            self.empty_vacating();
            if self.knows_who_leaves() && self.is_configured() {
                self.schedule();
            }
            self.tell_loans();
            self.send_orders();
            self.look();
        }
        self.expire_closed();
        self.record_silence();
        self.commit();
        self.report();
        if self.stage == Stage::HandingOver && self.log.is_settled() {
            self.stage = Stage::HandedOver;
            self.out.push(Action::HandedOver);
        }
    }

    fn configure(&mut self, queues: Arc<Queues>) {
        if queues.version >= self.queues.version {
            self.queues = queues;
        }
    }

    /// Whether the queues are known. An owner that starts beside an outage of the store may have the shard
    /// before it has read them: a task that had used up its attempts was started again, since of a queue that
    /// isn't known neither are those.
    fn is_configured(&self) -> bool {
        self.queues.version > 0
    }

    /// The queue of a job, as configured now; jobs outlive their queue.
    fn queue(&self, job: &JobRun) -> Option<&Queue> {
        self.queues.queues.get(&job.job.queue)
    }

    fn note(&mut self, note: Note) {
        self.out.push(Action::Note(note));
    }

    fn commit(&mut self) {
        if let Some((seq, txn)) = self.log.next(&mut self.jobs, self.now.steady) {
            self.out.push(Action::Commit { seq, txn });
        }
    }

    /// Tasks on reserved processors that wait for room here.
    fn reserved_waiting(&self, life: Life) -> usize {
        let open = self.jobs.values().filter(|job| !job.is_final());
        let steps = open.flat_map(|job| {
            let tasks = order::waiting(job);
            tasks.into_iter().filter_map(|task| job.step(task))
        });
        steps.filter(|step| step.life == life && step.share == Share::Reserved).count()
    }

    fn report(&mut self) {
        if self.now.steady < self.next_report {
            return;
        }
        self.next_report = self.now.steady + REPORT_EVERY;
        let tasks = || self.jobs.values().flat_map(JobRun::tasks);
        let summary = self.summary();
        self.out.push(Action::Note(Note::ShardState {
            shard: self.name.clone(),
            fence: self.fence.0,
            vms: self.vms.len(),
            jobs: self.jobs.len(),
            running: self.vms.values().map(|vm| vm.runs.len()).sum(),
            waiting: tasks().filter(|task| task.is_waiting()).count(),
            free_cores: summary.free / 1000,
            lasting_cores: summary.lasting / 1000,
            lasting_waiting: self.reserved_waiting(Life::Lasting),
            short_waiting: self.reserved_waiting(Life::Finite),
            commit_age_ms: crate::note::Ms(self.log.age(self.now.steady)),
            vms_age_ms: crate::note::Ms(self.list_age()),
        }));
        self.report_waiting();
    }
}
