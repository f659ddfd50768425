//! State of a job in progress: which of its tasks wait, run or have ended.

use crate::ids::{Ticket, VmId};
use crate::job::progress::{
    Binding, BoundVm, CrashRow, Crashes, LentTo, OccurrenceProgress, Progress, TaskPhase,
    TaskProgress,
};
use crate::job::{Checkpoint, Job, JobId, JobState, Life, RunNumber, Step, TaskRef};
use crate::shard::event::Answer;
use crate::shard::interference::ImageIx;
use crate::shard::loan::Declines;
use crate::shard::own_load::OwnLoad;
use crate::shard::permits::StepPermits;
use std::sync::Arc;
use std::time::Duration;

/// A job of the shard.
#[derive(Debug)]
pub struct JobRun {
    pub job: Arc<Job>,
    /// Image index of each step.
    pub images: Vec<ImageIx>,
    /// Shard that lent this job's tasks to this one; `None` for a job accepted here.
    pub lender: Option<Arc<str>>,
    /// Current state, possibly not durable yet.
    pub state: JobState,
    /// Last durable state, which is the one reported to callers.
    pub durable: Option<JobState>,
    /// Number of occurrences started so far.
    pub started_occurrences: u32,
    /// Occurrences that haven't ended, in order.
    pub open_occurrences: Vec<Occurrence>,
    /// When the job was accepted, or became known here if it belongs to another shard.
    pub since: Duration,
    /// Effects to apply once the job's next commit is durable.
    pub effects: Vec<Effect>,
    pub record: RecordState,
    /// Whether any task of the job has ever started.
    pub started: Started,
}

/// Whether any task of a job has started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Started {
    No,
    Yes,
}

/// What the store holds for a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordState {
    /// No record yet.
    New,
    /// The job itself and its progress.
    Kept,
    /// Only the final state.
    Closed,
    /// Removed, because its borrowed tasks have been returned.
    Dropped,
}

/// An effect applied once a job's changes are durable.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Reply { ticket: Ticket, answer: Answer },
    Start { task: TaskRef, run: RunNumber, vm: VmId },
    Forget { vm: VmId, number: u64 },
}

/// One occurrence of a job's steps.
#[derive(Debug)]
pub struct Occurrence {
    pub number: u32,
    pub steps: Vec<StepRun>,
}

/// A step of one occurrence.
#[derive(Debug)]
pub struct StepRun {
    pub tasks: Vec<Task>,
    /// When all preceding steps had succeeded.
    pub ready: Option<Duration>,
    /// Load of its tasks, if they serve requests.
    pub load: Option<OwnLoad>,
    /// VMs on which the step may run, if its queue requires permits.
    pub permits: StepPermits,
    /// Whether a task suspected of crashing its VM has since run for a while without a crash.
    pub proven: bool,
    /// Run times of its tasks that succeeded in this shard.
    pub run_times: MeasuredTimes,
    /// Shards that returned its tasks.
    pub declines: Declines,
    /// When its tasks were last offered to other shards in vain.
    pub offered_in_vain: Option<Duration>,
    /// VMs that get none of its tasks, and until when.
    avoided: Vec<(VmId, Duration)>,
}

/// Mean of measured times.
#[derive(Clone, Copy, Debug, Default)]
pub struct MeasuredTimes {
    count: u32,
    sum: Duration,
}

impl MeasuredTimes {
    /// Adds a measurement.
    pub fn add(&mut self, time: Duration) {
        self.count += 1;
        self.sum += time;
    }

    /// Returns the mean; `None` without measurements.
    pub fn mean(&self) -> Option<Duration> {
        self.sum.checked_div(self.count)
    }
}

/// State of a task.
#[derive(Debug, Default)]
pub struct Task {
    pub phase: TaskPhase,
    pub last_run: RunNumber,
    pub failed: u32,
    pub checkpoint: Option<Checkpoint>,
    pub checkpoint_rank: CheckpointRank,
    /// Runs that may have started and are not known to have ended.
    pub runs: Vec<PlacedRun>,
    /// VM of the last failed run; the next run avoids it if possible.
    pub failed_on: Option<VmId>,
    /// When the task last ended or stopped running.
    pub not_running_since: Option<Duration>,
    /// The task isn't started again before.
    pub restart_at: Duration,
    /// When the task was last bound to a VM or lent.
    pub tried_at: Duration,
    /// Starts in a row that VMs have refused.
    pub refused_starts: u32,
    /// Set while another shard runs the task in place of this one.
    pub lent: Option<Lent>,
    /// Number of the loan by which this shard borrows the task.
    pub loan: u64,
    /// Number of VM crashes while the task ran there.
    pub crashes: Crashes,
}

/// Order of the checkpoints of a gang's members by their progress, as far as it is known.
///
/// A run resumes from the best checkpoint of the run before. Within a run all members progress
/// together, and a checkpoint made at a stop is the last one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CheckpointRank {
    pub run: RunNumber,
    pub at_stop: bool,
    /// Progress of the run when it first reported the checkpoint.
    pub percent: u8,
}

/// A task that another shard runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lent {
    pub to: Arc<str>,
    pub loan: u64,
    pub status: LoanStatus,
    /// Number of this owner's last message that lent the task; zero before the first.
    pub last_lend: u64,
}

/// Last known state of a loan at the borrowing shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoanStatus {
    /// This owner has not sent the loan to the borrower yet.
    Unsent,
    /// The loan was sent to the borrower, which has not replied.
    Sent {
        /// When to send it again.
        resend_at: Duration,
    },
    /// The borrower has accepted the loan.
    Taken {
        /// When to send it again, to learn whether a task has started.
        resend_at: Duration,
    },
    /// The borrower has started a task of the job.
    JobStarted,
}

/// A run and the VM it is bound to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacedRun {
    pub vm: VmId,
    /// `ip:port` address of the VM.
    pub addr: Arc<str>,
    pub run: RunNumber,
}

impl PlacedRun {
    fn bound_vm(&self) -> BoundVm {
        BoundVm { id: self.vm.clone(), addr: self.addr.clone() }
    }
}

impl JobRun {
    /// Creates the state of a newly submitted job.
    pub fn new(job: Arc<Job>, images: Vec<ImageIx>, now: Duration) -> Self {
        Self {
            job: job.bounded(),
            images,
            lender: None,
            state: JobState::Queued,
            durable: None,
            started_occurrences: 0,
            open_occurrences: Vec::new(),
            since: now,
            effects: Vec::new(),
            record: RecordState::New,
            started: Started::No,
        }
    }

    /// Restores a job from the store. `age` is the time since its acceptance.
    pub fn recovered(
        job: Arc<Job>,
        images: Vec<ImageIx>,
        progress: Option<&Progress>,
        now: Duration,
        age: Duration,
    ) -> Self {
        let mut run = Self::new(job, images, now.saturating_sub(age));
        run.record = RecordState::Kept;
        run.durable = Some(JobState::Queued);
        let Some(progress) = progress else { return run };
        run.state = progress.state;
        run.durable = Some(progress.state);
        run.started_occurrences = progress.started_occurrences;
        run.lender = progress.lender.as_deref().map(Arc::from);
        run.open_occurrences = progress
            .open_occurrences
            .iter()
            .map(|o| Occurrence::recovered(o, progress, now))
            .collect();
        for row in &progress.crashes {
            if let Some(task) = run.task_mut(row.task(run.id())) {
                task.crashes = row.crashes;
            }
        }
        let begun = |task: &Task| task.last_run > RunNumber(0);
        if run.tasks().any(begun) || progress.state != JobState::Queued {
            run.started = Started::Yes;
        }
        run
    }

    pub fn id(&self) -> JobId {
        self.job.id
    }

    /// Whether no further tasks of the job may start.
    pub fn is_final(&self) -> bool {
        self.state.is_final()
    }

    /// All tasks of the open occurrences.
    pub fn tasks(&self) -> impl Iterator<Item = &Task> {
        self.open_occurrences.iter().flat_map(|o| o.steps.iter()).flat_map(|s| s.tasks.iter())
    }

    /// All runs that are not known to have ended.
    pub fn placed_runs(&self) -> Vec<(TaskRef, PlacedRun)> {
        let mut placed_runs = Vec::new();
        for occurrence in &self.open_occurrences {
            for (step, run) in occurrence.steps.iter().enumerate() {
                for (index, task) in run.tasks.iter().enumerate() {
                    let task_ref = self.task_ref(occurrence.number, step, index);
                    placed_runs.extend(task.runs.iter().map(|placed| (task_ref, placed.clone())));
                }
            }
        }
        placed_runs
    }

    /// Whether the job belongs to another shard that lent its tasks to this one.
    pub fn is_borrowed(&self) -> bool {
        self.lender.is_some()
    }

    /// Whether any task is lent to another shard.
    pub fn has_lent_tasks(&self) -> bool {
        self.tasks().any(|task| task.lent.is_some())
    }

    /// All tasks of the open occurrences, with their references.
    pub fn tasks_with_refs(&self) -> impl Iterator<Item = (TaskRef, &Task)> {
        self.open_occurrences.iter().flat_map(move |occurrence| {
            occurrence.steps.iter().enumerate().flat_map(move |(step, run)| {
                run.tasks
                    .iter()
                    .enumerate()
                    .map(move |(index, task)| (self.task_ref(occurrence.number, step, index), task))
            })
        })
    }

    /// Whether any run is not known to have ended.
    pub fn has_runs(&self) -> bool {
        self.tasks().any(|task| !task.runs.is_empty())
    }

    /// Looks up a task; `None` if its occurrence has ended.
    pub fn task(&self, task: TaskRef) -> Option<&Task> {
        let occurrence = self.open_occurrences.iter().find(|o| o.number == task.occurrence)?;
        occurrence.steps.get(usize::from(task.step))?.tasks.get(task.index as usize)
    }

    /// Mutable variant of [`Self::task`].
    pub fn task_mut(&mut self, task: TaskRef) -> Option<&mut Task> {
        self.step_run_mut(task)?.tasks.get_mut(task.index as usize)
    }

    /// The step run that a task belongs to; `None` if its occurrence has ended.
    pub fn step_run(&self, task: TaskRef) -> Option<&StepRun> {
        let occurrence = self.open_occurrences.iter().find(|o| o.number == task.occurrence)?;
        occurrence.steps.get(usize::from(task.step))
    }

    /// Mutable variant of [`Self::step_run`].
    pub fn step_run_mut(&mut self, task: TaskRef) -> Option<&mut StepRun> {
        let occurrence = self.open_occurrences.iter_mut().find(|o| o.number == task.occurrence)?;
        occurrence.steps.get_mut(usize::from(task.step))
    }

    /// The definition of the step that a task belongs to.
    pub fn step(&self, task: TaskRef) -> Option<&Step> {
        self.job.steps.get(usize::from(task.step))
    }

    /// The index of a task's image.
    pub fn image(&self, task: TaskRef) -> ImageIx {
        self.images.get(usize::from(task.step)).copied().unwrap_or_default()
    }

    /// Builds the reference of a task.
    pub fn task_ref(&self, occurrence: u32, step: usize, index: usize) -> TaskRef {
        TaskRef {
            job: self.job.id,
            occurrence,
            step: u16::try_from(step).unwrap_or(u16::MAX),
            index: u32::try_from(index).unwrap_or(u32::MAX),
        }
    }

    /// Begins the next occurrence.
    pub fn begin_occurrence(&mut self) {
        let tasks = |step: &Step| (0..step.tasks).map(|_| Task::default()).collect();
        let steps = self.job.steps.iter().map(|step| StepRun::new(tasks(step), None));
        self.open_occurrences
            .push(Occurrence { number: self.started_occurrences, steps: steps.collect() });
        self.started_occurrences += 1;
    }

    /// Marks the steps that may start, and drops finished occurrences without remaining runs.
    pub fn advance(&mut self, now: Duration) {
        if self.is_borrowed() {
            // The lending shard has already checked that the preceding steps succeeded.
            let steps =
                self.open_occurrences.iter_mut().flat_map(|occurrence| &mut occurrence.steps);
            steps.for_each(|step| step.ready = step.ready.or(Some(now)));
            return;
        }
        let job = self.job.clone();
        for occurrence in &mut self.open_occurrences {
            occurrence.mark_ready(&job, now);
        }
        self.open_occurrences.retain(|o| !o.is_finished());
    }

    /// Whether every occurrence has started and succeeded.
    pub fn all_succeeded(&self) -> bool {
        self.started_occurrences == self.job.repeat.occurrences()
            && self.open_occurrences.iter().all(Occurrence::succeeded)
    }

    /// The progress record to store.
    pub fn progress(&self) -> Progress {
        let mut tables = Tables::default();
        let open_occurrences =
            self.open_occurrences.iter().map(|o| o.progress(&mut tables)).collect();
        let lender = self.lender.as_deref().map(str::to_owned);
        let Tables { vms, shards } = tables;
        let crashed = self.tasks_with_refs().filter(|(_, task)| task.crashes != Crashes::default());
        let crashes = crashed.map(|(name, task)| CrashRow::new(name, task.crashes)).collect();
        Progress {
            state: self.state,
            lender,
            vms,
            shards,
            started_occurrences: self.started_occurrences,
            open_occurrences,
            crashes,
        }
    }
}

impl Occurrence {
    fn recovered(occurrence: &OccurrenceProgress, whole: &Progress, now: Duration) -> Self {
        let tasks = |tasks: &Vec<TaskProgress>| {
            tasks.iter().map(|task| Task::recovered(task, whole, now)).collect()
        };
        let steps = occurrence.steps.iter().map(|step| StepRun::new(tasks(step), None));
        Self { number: occurrence.number, steps: steps.collect() }
    }

    fn mark_ready(&mut self, job: &Job, now: Duration) {
        for number in 0..self.steps.len() {
            let Some(step) = job.steps.get(number) else { continue };
            let before =
                |after: &u16| self.steps.get(usize::from(*after)).is_some_and(StepRun::succeeded);
            if self.steps[number].ready.is_none() && step.after.iter().all(before) {
                self.steps[number].ready = Some(now);
            }
        }
    }

    fn succeeded(&self) -> bool {
        self.steps.iter().all(StepRun::succeeded)
    }

    /// Whether every task has succeeded and no duplicate run remains.
    fn is_finished(&self) -> bool {
        self.succeeded() && self.steps.iter().flat_map(|s| &s.tasks).all(|t| t.runs.is_empty())
    }

    fn progress(&self, tables: &mut Tables) -> OccurrenceProgress {
        let steps = self.steps.iter().map(|s| s.tasks.iter().map(|t| t.progress(tables)).collect());
        OccurrenceProgress { number: self.number, steps: steps.collect() }
    }
}

impl StepRun {
    /// Creates a step whose predecessors had succeeded at `ready`.
    pub fn new(tasks: Vec<Task>, ready: Option<Duration>) -> Self {
        Self {
            tasks,
            ready,
            load: None,
            permits: StepPermits::default(),
            proven: false,
            run_times: MeasuredTimes::default(),
            declines: Declines::default(),
            offered_in_vain: None,
            avoided: Vec::new(),
        }
    }

    /// Keeps the step's tasks off a VM for a while.
    pub fn avoid(&mut self, vm: &VmId, until: Duration, now: Duration) {
        self.avoided.retain(|(known, until)| known != vm && now < *until);
        self.avoided.push((vm.clone(), until));
    }

    /// Takes the VMs that were avoided, other than one where the step's tasks work.
    pub fn take_avoided(&mut self, working_on: &VmId) -> Vec<VmId> {
        let avoided = std::mem::take(&mut self.avoided).into_iter().map(|(vm, _)| vm);
        avoided.filter(|vm| vm != working_on).collect()
    }

    /// Whether the step's tasks are kept off a VM.
    pub fn avoids(&self, vm: &VmId, now: Duration) -> bool {
        self.avoided.iter().any(|(avoided, until)| avoided == vm && now < *until)
    }

    /// Whether every task has succeeded.
    pub fn succeeded(&self) -> bool {
        self.tasks.iter().all(|task| task.phase == TaskPhase::Succeeded)
    }

    /// Counts the failure of a gang's member and returns the number of failed runs of the gang.
    ///
    /// All members have the same count as a run starts. The first failure raises that of one member,
    /// which shows that the run is counted, also to the next owner.
    pub fn count_gang_failure(&mut self, index: u32) -> u32 {
        let failed = self.gang_failures();
        let is_counted = self.tasks.iter().any(|task| task.failed < failed);
        if is_counted {
            return failed;
        }
        if let Some(task) = self.tasks.get_mut(index as usize) {
            task.failed += 1;
        }
        self.gang_failures()
    }

    /// Number of failed runs of a gang.
    pub fn gang_failures(&self) -> u32 {
        self.tasks.iter().map(|task| task.failed).max().unwrap_or(0)
    }

    /// Brings the members of a gang to the same number of failed runs before they start together.
    pub fn align_gang_failures(&mut self) {
        let failed = self.gang_failures();
        self.tasks.iter_mut().for_each(|task| task.failed = failed);
    }

    /// Gives all members of a gang the checkpoint with the most progress, which is valid for each.
    pub fn align_gang_checkpoints(&mut self) {
        let saved = self.tasks.iter().filter(|task| task.checkpoint.is_some());
        let Some(best) = saved.max_by_key(|task| task.checkpoint_rank) else { return };
        let (checkpoint, rank) = (best.checkpoint.clone(), best.checkpoint_rank);
        for task in &mut self.tasks {
            task.save_checkpoint(checkpoint.clone(), rank);
        }
    }
}

impl Task {
    fn recovered(progress: &TaskProgress, whole: &Progress, now: Duration) -> Self {
        let placed = |b: &Binding| {
            let vm = whole.vms.get(usize::from(b.vm))?;
            Some(PlacedRun { vm: vm.id.clone(), addr: vm.addr.clone(), run: b.run })
        };
        let lent = |lent: LentTo| {
            let to = Arc::from(whole.shards.get(usize::from(lent.shard))?.as_str());
            Some(Lent { to, loan: lent.loan, status: LoanStatus::Unsent, last_lend: 0 })
        };
        let mut task = Self {
            phase: progress.state,
            last_run: progress.last_run,
            failed: progress.failed,
            checkpoint: progress.checkpoint.clone(),
            checkpoint_rank: CheckpointRank::default(),
            runs: progress.bound.iter().filter_map(placed).collect(),
            failed_on: None,
            not_running_since: None,
            restart_at: Duration::ZERO,
            tried_at: Duration::ZERO,
            refused_starts: 0,
            lent: progress.lent.and_then(lent),
            loan: progress.loan,
            crashes: Crashes::default(),
        };
        // Without a waiting time, a waiting borrowed task would never be returned to its lender.
        task.not_running_since = task.is_waiting().then_some(now);
        if !task.is_waiting() {
            task.tried_at = now;
        }
        task
    }

    fn progress(&self, tables: &mut Tables) -> TaskProgress {
        let lent = self.lent.as_ref().map(|lent| LentTo {
            shard: intern(&mut tables.shards, &lent.to.to_string()),
            loan: lent.loan,
        });
        let vms = &mut tables.vms;
        let bound = self
            .runs
            .iter()
            .map(|placed| Binding { vm: intern(vms, &placed.bound_vm()), run: placed.run });
        TaskProgress {
            state: self.phase,
            last_run: self.last_run,
            failed: self.failed,
            checkpoint: self.checkpoint.clone(),
            bound: bound.collect(),
            lent,
            loan: self.loan,
        }
    }

    /// Replaces the checkpoint, unless there is no new one.
    pub fn save_checkpoint(&mut self, checkpoint: Option<Checkpoint>, rank: CheckpointRank) {
        if checkpoint.is_some() && checkpoint != self.checkpoint {
            self.checkpoint = checkpoint;
            self.checkpoint_rank = rank;
        }
    }

    /// Whether the task is waiting to be placed on a VM.
    pub fn is_waiting(&self) -> bool {
        self.phase == TaskPhase::Open && self.runs.is_empty() && self.lent.is_none()
    }

    /// Since when the task could have run, if it has run before.
    pub fn waiting_since(&self) -> Option<Duration> {
        self.not_running_since.map(|at| at.max(self.restart_at))
    }

    /// Records that a run has passed from a VM instance to its successor.
    pub fn pass_run(&mut self, from: &VmId, run: RunNumber, to: (&VmId, &Arc<str>)) {
        let placed = self.runs.iter_mut().find(|placed| placed.run == run && placed.vm == *from);
        if let Some(placed) = placed {
            (placed.vm, placed.addr) = (to.0.clone(), to.1.clone());
        }
    }

    /// Removes a run; returns false if there is no such run.
    pub fn remove(&mut self, vm: &VmId, run: RunNumber) -> bool {
        let before = self.runs.len();
        self.runs.retain(|placed| placed.run != run || placed.vm != *vm);
        self.runs.len() < before
    }
}

/// Tables of VMs and shards that a progress record refers to by index.
#[derive(Default)]
struct Tables {
    vms: Vec<BoundVm>,
    shards: Vec<String>,
}

/// Returns the index of a value in a table, adding the value if it is missing.
fn intern<T: Clone + PartialEq>(table: &mut Vec<T>, name: &T) -> u16 {
    let index = table.iter().position(|known| known == name).unwrap_or_else(|| {
        table.push(name.clone());
        table.len() - 1
    });
    u16::try_from(index).unwrap_or(u16::MAX)
}

/// Whether a step's tasks are long-running: they are restarted however they end.
pub fn is_long_running(step: &Step) -> bool {
    step.life == Life::Lasting
}
