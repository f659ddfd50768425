//! What the workers saw, over all of them: the count against which promises are checked.

use indexmap::IndexMap;
use std::sync::{Arc, Mutex, PoisonError};
use waxwingstall::ids::{Attempt, ClassName, TaskId, VmId};
use waxwingstall::units::Resources;

/// Shared by all workers of a test.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    inner: Arc<Mutex<Book>>,
}

/// The counts so far.
#[derive(Clone, Debug, Default)]
pub struct Book {
    running: IndexMap<TaskId, Place>,
    tasks: IndexMap<TaskId, TaskCount>,
    /// Broken promises, in words.
    pub violations: Vec<String>,
    /// Attempts stopped before their end.
    pub stopped: u64,
}

/// Where an attempt runs.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Place {
    vm: VmId,
    attempt: Attempt,
}

/// What happened to one task.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TaskCount {
    pub class: Option<ClassName>,
    /// Times an attempt began.
    pub starts: u32,
    /// Times an attempt began from a checkpoint.
    pub resumes: u32,
    /// Times an attempt ran to its end.
    pub finishes: u32,
    /// VMs it ran on, in order.
    pub vms: Vec<VmId>,
}

impl Ledger {
    /// An empty ledger.
    pub fn new() -> Self {
        Self::default()
    }

    /// A copy of the counts.
    pub fn book(&self) -> Book {
        self.with(|book| book.clone())
    }

    /// Counts a start; one that overlaps another is a violation.
    pub fn started(
        &self,
        vm: &VmId,
        task: TaskId,
        attempt: Attempt,
        class: &ClassName,
        resumed: bool,
    ) {
        self.with(|book| {
            let place = Place { vm: vm.clone(), attempt };
            if let Some(other) = book.running.insert(task, place) {
                book.violations.push(format!(
                    "{task} attempt {attempt} starts on {vm} while attempt {} runs on {}",
                    other.attempt, other.vm
                ));
            }
            let count = book.tasks.entry(task).or_default();
            count.class = Some(class.clone());
            count.starts += 1;
            count.resumes += u32::from(resumed);
            count.vms.push(vm.clone());
        });
    }

    /// Counts an end; a second successful one is a violation.
    pub fn finished(&self, vm: &VmId, task: TaskId, succeeded: bool) {
        self.with(|book| {
            book.leave(vm, task);
            let count = book.tasks.entry(task).or_default();
            count.finishes += u32::from(succeeded);
            if count.finishes > 1 {
                book.violations.push(format!("{task} finished {} times", count.finishes));
            }
        });
    }

    /// Counts an attempt that was stopped, or was lost with its VM.
    pub fn stopped(&self, vm: &VmId, task: TaskId) {
        self.with(|book| {
            book.leave(vm, task);
            book.stopped += 1;
        });
    }

    /// Checks a VM's committed work against its size.
    pub fn committed(&self, vm: &VmId, committed: &Resources, size: &Resources) {
        if !committed.fits_in(size) {
            self.with(|book| {
                book.violations.push(format!("{vm} carries {committed} of {size}"));
            });
        }
    }

    fn with<T>(&self, f: impl FnOnce(&mut Book) -> T) -> T {
        f(&mut self.inner.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Book {
    /// The counts of each task that ever started.
    pub fn tasks(&self) -> &IndexMap<TaskId, TaskCount> {
        &self.tasks
    }

    /// Tasks that run now.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Tasks that ran to their end exactly once.
    pub fn finished_once(&self) -> usize {
        self.tasks.values().filter(|count| count.finishes == 1).count()
    }

    fn leave(&mut self, vm: &VmId, task: TaskId) {
        if self.running.get(&task).is_some_and(|place| place.vm == *vm) {
            self.running.shift_remove(&task);
        }
    }
}
