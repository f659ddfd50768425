//! Read-only queries of the core's state.

use crate::core::Core;
use crate::core::context::Counters;
use crate::core::holder::VmSummary;
use crate::core::life::task::{Step, Task};
use crate::ids::{ClassName, DaemonId, DomainId, PartitionId, TaskId, VmId};
use crate::task::TaskState;
use indexmap::IndexMap;

/// A partition that this daemon writes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartitionSummary {
    pub id: PartitionId,
    /// Tasks in memory, including ended ones.
    pub tasks: usize,
    /// Tasks waiting for a VM.
    pub waiting: usize,
    /// Records waiting for a commit.
    pub queued_records: usize,
}

impl Core {
    /// Returns a task of a partition written by this daemon.
    pub fn task(&self, id: TaskId) -> Option<&TaskState> {
        Some(&self.find_task(id)?.state)
    }

    /// All tasks of the partitions written by this daemon.
    pub fn tasks(&self) -> impl Iterator<Item = &TaskState> {
        self.writer.partitions().flat_map(|partition| partition.states())
    }

    /// Describes what a task is waiting for; `None` if it is running, has ended or is unknown.
    pub fn waiting_reason(&self, id: TaskId) -> Option<String> {
        let task = self.find_task(id)?;
        let vm = task.vm.as_ref().map_or("a VM", |vm| vm.as_str());
        let held = task.vm.as_ref().and_then(|vm| self.writer.fleet().holder(vm)).is_some();
        let attempt = task.state.attempt;
        Some(match task.step {
            Step::Submitting | Step::Binding | Step::Releasing | Step::Ending => {
                "for the key-value service to record the last step".to_owned()
            }
            Step::Queued if task.deadline.is_some() => {
                "for a VM other than those that it failed on or that declined it".to_owned()
            }
            Step::Queued => {
                let reason = self.writer.partition(id.partition)?.waiting_reason(&task.state.spec);
                format!("for a VM: {}", reason.unwrap_or("its turn has not come yet"))
            }
            Step::Reserving => format!("for the daemon that controls {vm} to keep room"),
            Step::Starting | Step::Closing if !held => {
                format!("for a daemon to take control of {vm}, or for proof that {vm} is gone")
            }
            Step::Starting => format!("for {vm} to confirm that attempt {attempt} runs"),
            Step::Closing => format!("for proof that attempt {attempt} does not run on {vm}"),
            Step::Running | Step::Ended | Step::Refused => return None,
        })
    }

    /// Whether this daemon writes the partition.
    pub fn writes(&self, partition: PartitionId) -> bool {
        self.writer.partition(partition).is_some()
    }

    /// The daemon preferred as the writer of the partition.
    pub fn preferred_writer(&self, partition: PartitionId) -> Option<DaemonId> {
        self.cx.members.preferred_writer(partition).cloned()
    }

    /// The daemon preferred as the holder of a VM in a failure domain.
    pub fn preferred_holder(&self, vm: &VmId, domain: &DomainId) -> Option<DaemonId> {
        self.cx.members.preferred_holder(vm, domain).cloned()
    }

    /// The VMs whose control lease this daemon holds.
    pub fn vms(&self) -> Vec<VmSummary> {
        self.holder.summaries(self.cx.now)
    }

    /// The partitions that this daemon writes.
    pub fn partitions(&self) -> Vec<PartitionSummary> {
        self.writer.partitions().map(|partition| partition.summary()).collect()
    }

    /// Number of tasks waiting for a VM, by class.
    pub fn queues(&self) -> IndexMap<ClassName, usize> {
        let mut queues = IndexMap::new();
        for partition in self.writer.partitions() {
            for (class, count) in partition.queues() {
                *queues.entry(class.clone()).or_insert(0) += count;
            }
        }
        queues
    }

    /// Event counters since the core was created.
    pub fn counters(&self) -> Counters {
        self.cx.counters
    }

    fn find_task(&self, id: TaskId) -> Option<&Task> {
        self.writer.partition(id.partition)?.get(id.number)
    }
}
