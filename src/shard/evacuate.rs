//! Evacuation of the shard's failure domain.
//!
//! Pattern: cordon and redirect. While operators have the domain evacuated, the shard starts nothing
//! and refuses new jobs, so that they go to shards of other domains. What runs stays, long-running
//! tasks included: they keep serving, and stopping them would use up their disruption budget. Tasks
//! that wait, because their turn comes or their run has ended, are lent at once to the shard where
//! they are expected to start soonest, even if it has no free room at the moment: here they would
//! wait for as long as the order stands.

use super::Shard;
use super::event::Summary;
use super::vm_run::Vm;
use crate::evacuation::Evacuations;
use crate::ids::{DomainId, ServiceName};
use crate::job::{Life, Share, Step};
use crate::note::{Millis, Note};
use std::sync::Arc;
use std::time::Duration;

/// Time by which starts are held back earlier than the orders' bound requires, for the delivery of
/// a start.
const START_DELIVERY_MARGIN: Duration = Duration::from_millis(500);

/// Evacuation orders as last read.
#[derive(Clone, Debug, Default)]
pub(super) struct EvacuationOrders {
    evacuations: Arc<Evacuations>,
    /// When they were read; `None` until then.
    read_at: Option<Duration>,
}

impl EvacuationOrders {
    /// Returns whether nothing may be started on a VM.
    pub fn includes(&self, vm: &Vm) -> bool {
        self.evacuations.contains(&vm.entry.domain)
    }
}

impl Shard {
    /// Applies the evacuation orders as of some time after `at`.
    pub(super) fn set_evacuations(&mut self, evacuations: Arc<Evacuations>, at: Duration) {
        if evacuations != self.evacuation.evacuations {
            self.request_schedule();
        }
        self.evacuation = EvacuationOrders { evacuations, read_at: Some(at) };
    }

    /// Returns whether the orders are recent enough to start tasks by.
    pub(super) fn has_recent_evacuations(&self) -> bool {
        let limit = self.settings.evacuation_in_force.saturating_sub(START_DELIVERY_MARGIN);
        self.evacuation.read_at.is_some_and(|at| self.now.steady.saturating_sub(at) < limit)
    }

    /// Returns whether the shard's failure domain is evacuated.
    pub(super) fn is_evacuated(&self) -> bool {
        self.evacuated_domain().is_some()
    }

    /// The shard's failure domain, if it is evacuated.
    fn evacuated_domain(&self) -> Option<&DomainId> {
        let mut included = self.vms.values().filter(|vm| self.evacuation.includes(vm));
        included.next().map(|vm| &vm.entry.domain)
    }

    /// Logs the tasks that wait because of an evacuation.
    pub(super) fn report_evacuation(&mut self) {
        let Some(domain) = self.evacuated_domain().cloned() else { return };
        let now = self.now.steady;
        let open = self.jobs.values().filter(|job| !job.is_final());
        let (mut tasks, mut lent, mut oldest) = (0, 0, Duration::ZERO);
        for job in open {
            lent += job.tasks().filter(|task| task.lent.is_some()).count();
            for task in
                super::order::waiting(job, now).into_iter().filter_map(|task| job.task(task))
            {
                let since = task.not_running_since.unwrap_or(job.since);
                oldest = oldest.max(now.saturating_sub(since));
                tasks += 1;
            }
        }
        let running = self.vms.values().map(|vm| vm.runs.len()).sum();
        let (shard, oldest_ms) = (self.name.clone(), Millis(oldest));
        self.note(Note::EvacuatedWaits { shard, domain, tasks, oldest_ms, lent, running });
    }
}

/// Estimated wait for a task's start in another shard, comparable between shards only; `None` if no
/// VM there may run it.
pub(super) fn expected_wait(summary: &Summary, step: &Step, service: &ServiceName) -> Option<f64> {
    if !summary.rooms.iter().any(|room| room.suits(step, service)) {
        return None;
    }
    let ratio = |work: u64, capacity: u64| work as f64 / (capacity as f64).max(1.0);
    Some(match (step.share, step.life) {
        (Share::Leftover, _) => ratio(summary.leftover_work, summary.leftover),
        (Share::Reserved, Life::Lasting) => ratio(summary.lasting, summary.capacity),
        (Share::Reserved, Life::Finite) => ratio(summary.waiting_work, summary.capacity),
    })
}
