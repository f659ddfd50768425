//! Scheduling decisions of one shard: a subset of a failure domain's VMs and the jobs that run on
//! them.
//!
//! A shard has one owner at a time. Whatever the owner accepts or binds is committed to the
//! platform's store before it takes effect, on the condition that no other owner has taken over.
//! The VMs know what is running and reject commands from earlier owners. An owner can therefore be
//! replaced at any time: its successor reads the store, queries the VMs and continues.
//!
//! [`Shard::step`] maps an event to actions. It does no I/O, reads no clock and doesn't depend on
//! hash iteration order.

mod admission;
mod commands;
mod compact;
mod copies;
mod crash;
mod drain;
mod eligibility;
mod ended;
mod evacuate;
pub mod event;
mod finish;
mod fleet;
mod hand_over;
mod health;
mod intake;
pub mod interference;
mod job_run;
mod late_starts;
pub mod learned;
mod lease;
pub mod loan;
mod log;
mod look;
mod moving;
mod occurrences;
mod order;
mod orders;
mod own_load;
mod permits;
mod place;
mod proof;
mod recover;
mod rejected;
mod rejection;
mod relief;
mod room;
mod run_times;
pub mod settings;
mod silence;
mod summary;
mod vacate;
mod vm_run;
mod vm_speed;
mod waiting;

pub use ended::{PreviousOwnerEnd, RemainingLeases, ToldLeases};
pub use event::{
    Action, AdmissionMode, Answer, CommitResult, DrainOrder, Event, FleetListStatus, Now,
    OtherShard, Summary, WriteOutcome,
};
pub use intake::{RETRY_AFTER_EVACUATION, RETRY_AFTER_OUTAGE};
pub use log::Keys;
pub use recover::{PreviousOwner, Recovered, VmLapse};
use settings::MIN_START_LEASE;
pub use settings::Settings;
pub use silence::{ReportedLapse, SilenceMark, SilentVm};

use crate::ids::VmId;
use crate::job::{Job, JobId, JobState, Life, Share};
use crate::note::Note;
use crate::queues::{Queues, Terms};
use crate::vm::Fence;
use indexmap::IndexMap;
use job_run::JobRun;
use log::Log;
use std::sync::Arc;
use std::time::Duration;
use vm_run::Vm;

/// State and decisions of one shard.
pub struct Shard {
    name: String,
    fence: Fence,
    settings: Settings,
    queues: Arc<Queues>,
    jobs: IndexMap<JobId, JobRun>,
    closed: IndexMap<JobId, ClosedJob>,
    vms: IndexMap<VmId, Vm>,
    /// VM instances that have ended, and when that was known; later announcements of them are
    /// ignored.
    ended_vms: IndexMap<VmId, Duration>,
    log: Log,
    interference: interference::InterferenceModel,
    run_times: run_times::RunTimes,
    record_clock: learned::RecordClock,
    loans: loan::Loans,
    admission: admission::Admission,
    permit_requests: permits::PermitRequests,
    upkeep_drain: vacate::UpkeepDrain,
    crash_log: crash::CrashLog,
    copy_counts: copies::CopyCounts,
    reservations: compact::Reservations,
    open_starts: commands::OpenCommands,
    open_stops: commands::OpenCommands,
    next_commands: Duration,
    /// VMs that are held for long-running tasks, and since when.
    holds: IndexMap<VmId, Duration>,
    vm_list: fleet::VmListSource,
    evacuation: evacuate::EvacuationOrders,
    /// Latest time until which VMs that this owner hasn't reached may keep running tasks started by
    /// earlier owners.
    inherited_runs_until: Duration,
    /// Until when an earlier owner may still extend leases.
    earlier_active_until: Duration,
    /// Latest time at which this owner is known to have owned the shard.
    owned_at: Duration,
    /// Since when there has been no recent proof of the ownership; `None` while there is one.
    unproved_since: Option<Duration>,
    stage: Stage,
    now: Now,
    last_schedule: Duration,
    /// Whether the last scheduling pass left work without room.
    has_backlog: bool,
    next_schedule: Duration,
    next_report: Duration,
    next_drain_report: Duration,
    actions: Vec<Action>,
}

/// A finished job of which only the final state is kept.
#[derive(Clone, Copy, Debug)]
struct ClosedJob {
    state: JobState,
    since: Duration,
}

/// Whether the shard starts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Serving,
    /// Ownership is being given up; pending commits are completed first.
    HandingOver,
    HandedOver,
}

/// Interval between two shard state log lines.
const REPORT_EVERY: Duration = Duration::from_secs(2);

impl Shard {
    /// Processes an event and returns the resulting actions.
    pub fn step(&mut self, now: Now, event: Event) -> Vec<Action> {
        let is_answer = event.is_answer();
        self.apply(now, event);
        self.finish_step(is_answer)
    }

    /// Processes an event; [`Self::finish_step`] is to follow.
    pub fn apply(&mut self, now: Now, event: Event) {
        self.now = now;
        self.handle(event);
    }

    /// Does the work that may be due after an event, and returns the resulting actions.
    pub fn finish_step(&mut self, is_answer: bool) -> Vec<Action> {
        self.run_due_work(is_answer);
        std::mem::take(&mut self.actions)
    }

    /// Returns the shard's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns this owner's fencing token.
    pub fn fence(&self) -> Fence {
        self.fence
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick => {}
            Event::Queues(queues) => self.configure(queues),
            Event::Fleet { vms, list_status, at } => self.update_vm_list(vms, list_status, at),
            Event::Departed(departures) => self.remove_departed_vms(&departures),
            Event::Polled { vm, sent, result } => {
                self.note_connection(&vm, &result);
                let noted = self.is_hand_over_stalled()
                    && result.as_ref().is_ok_and(|resp| self.note_poll_response(&vm, sent, resp));
                if !noted {
                    self.handle_poll_response(&vm, sent, result);
                }
            }
            Event::Started { vm, task, run, result } => {
                self.handle_start_response(&vm, task, run, &result)
            }
            Event::Stopped { vm, task, run, result } => {
                self.handle_stop_response(&vm, task, run, &result)
            }
            Event::Paced { vm, task, run, percent, result } => {
                self.handle_pace_response(&vm, task, run, percent, &result);
            }
            Event::Permitted { step, vms, sent, result } => {
                self.handle_permit_response(step, &vms, sent, result);
            }
            Event::Committed { seq, result } => self.handle_commit_result(seq, result),
            Event::Submit { ticket, job, mode } => self.submit(ticket, job, mode),
            Event::Cancel { ticket, job } => self.cancel(ticket, job),
            Event::Show { ticket, job } => self.show(ticket, job),
            Event::Learned(reports) => self.merge_reports(&reports),
            Event::OtherShards(other_shards) => {
                self.admission.note_heard(&other_shards, self.now.steady);
                self.loans.set_other_shards(other_shards);
            }
            Event::Drain(order) => self.set_draining_vms(order),
            Event::Evacuations { evacuations, at } => self.set_evacuations(evacuations, at),
            Event::PermitConcurrency(max_requests) => self.set_max_permit_requests(max_requests),
            Event::Message { from, to, msg } => {
                if to == self.fence {
                    self.handle_loan_message(&from, msg);
                } else {
                    // That owner may have answered it and settled the matter since.
                    self.drop_loan_message(&from, &msg, "it is for another owner");
                }
            }
            Event::PreviousOwnerEnded(end) => self.end_previous_owner(&end),
            Event::HandOver => {
                self.stage = Stage::HandingOver;
                self.record_clock.write_soon();
            }
        }
    }

    /// Does the work that may be due after any event, because time has passed or the state has
    /// changed. After answers of VMs, of which there are hundreds a second, what is due because time
    /// has passed waits for the next tick.
    fn run_due_work(&mut self, is_answer: bool) {
        if self.stage == Stage::HandedOver {
            return;
        }
        if !is_answer {
            self.start_due_occurrences();
            self.remove_expired_runs();
            self.report_ownership_proof();
            self.report_runs_on_leaving_vms();
        }
        if self.maintains_runs() {
            if !is_answer {
                self.stop_runs_on_leaving_vms();
                self.stop_runs_on_draining_vms();
            }
            if self.stage == Stage::Serving {
                if self.may_start() && self.has_queues() {
                    self.schedule();
                }
                self.send_pending_loan_messages();
            }
            self.send_due_commands();
            self.poll_due_vms();
        }
        self.expire_closed();
        self.update_silence_record();
        self.commit();
        self.report();
        if self.stage == Stage::HandingOver && self.log.all_durable() {
            self.stage = Stage::HandedOver;
            self.actions.push(Action::HandedOver);
        }
    }

    fn configure(&mut self, queues: Arc<Queues>) {
        if queues.version >= self.queues.version {
            self.queues = queues;
        }
    }

    /// Returns whether the queue configuration has been read.
    ///
    /// An owner that starts during a store outage may get the shard before it has read the queues.
    /// The terms of jobs that an earlier release accepted aren't known then.
    fn has_queues(&self) -> bool {
        self.queues.version > 0
    }

    /// Returns whether the VM list, the evacuation orders and the proof of ownership are recent
    /// enough to start tasks by.
    fn may_start(&self) -> bool {
        self.has_recent_vm_list()
            && self.has_recent_evacuations()
            && self.longest_lease() >= MIN_START_LEASE
    }

    /// Returns the terms that a job was accepted under. Those of a job that an earlier release
    /// accepted are the current ones of its queue.
    fn terms(&self, job: &Job) -> Terms {
        let queue = || Some(self.queues.queues.get(&job.queue)?.terms);
        job.terms.or_else(queue).unwrap_or(Terms::UNKNOWN).bounded()
    }

    fn note(&mut self, note: Note) {
        self.actions.push(Action::Note(note));
    }

    fn commit(&mut self) {
        let now = self.now.steady;
        self.log.renews_ownership = self.needs_ownership_proof();
        self.log.retry_rejected(&self.jobs, now);
        if self.log.due().is_some_and(|due| now >= due)
            && let Some(record) = self.due_learned_record()
        {
            self.log.add_learned_record(record);
        }
        if let Some((seq, txn)) = self.log.next(&mut self.jobs, now) {
            let earlier_active = self.earlier_active_until.saturating_sub(now);
            self.actions.push(Action::Commit { seq, earlier_active, txn });
        }
    }

    /// Counts the waiting tasks of this lifetime that need reserved processors.
    fn count_reserved_waiting(&self, life: Life) -> usize {
        let open = self.jobs.values().filter(|job| !job.is_final());
        let steps = open.flat_map(|job| {
            let tasks = order::waiting(job, self.now.steady);
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
        self.actions.push(Action::Note(Note::ShardState {
            shard: self.name.clone(),
            fence: self.fence.0,
            vms: self.vms.len(),
            jobs: self.jobs.len(),
            running: self.vms.values().map(|vm| vm.runs.len()).sum(),
            waiting: tasks().filter(|task| task.is_waiting()).count(),
            free_cores: summary.free / 1000,
            lasting_cores: summary.lasting / 1000,
            lasting_waiting: self.count_reserved_waiting(Life::Lasting),
            short_waiting: self.count_reserved_waiting(Life::Finite),
            commit_age_ms: crate::note::Millis(self.log.age(self.now.steady)),
            vms_age_ms: crate::note::Millis(self.list_age()),
            slow_vms: self.vms.values().filter(|vm| vm.speed.is_slow(self.now.steady)).count(),
            copies: self.copy_counts.started,
            copies_won: self.copy_counts.won,
            wasted_core_s: self.copy_counts.wasted_core_ms / 1000,
            lends: self.loans.lends(),
            void_messages: self.loans.void_messages(),
        }));
        self.report_waiting();
        self.report_held_back();
        self.report_evacuation();
    }
}
