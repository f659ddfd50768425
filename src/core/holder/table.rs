//! A holder's copy of a VM's lease table, and the resources committed on the VM.
//!
//! Resources count as committed from the reservation until the VM proves that the attempt does not
//! run and will not run, including while the response to a start or a close is outstanding. Freeing
//! them earlier would place new work next to an attempt that still runs and overcommit the VM.

use crate::ids::{Attempt, BootId, ClassName, DaemonId, RackId, TaskId, VmId};
use crate::peer::{ClassCount, CloseReason, PeerMsg};
use crate::task::{Outcome, TaskSpec};
use crate::units::Resources;
use crate::worker::{Closed, EndedAttempt, TaskAttempt, Tenant, TenantKind, VmStatus};
use indexmap::IndexMap;
use std::time::Duration;

/// A VM's lease table, including attempts that were reserved or requested.
#[derive(Clone, Debug)]
pub struct LeaseTable {
    pub boot: BootId,
    pub rack: RackId,
    pub size: Resources,
    slots: IndexMap<TaskAttempt, Slot>,
}

/// One attempt on a VM.
#[derive(Clone, Debug)]
pub struct Slot {
    pub class: ClassName,
    pub resources: Resources,
    pub kind: TenantKind,
    /// Provided by the task's writer; the VM doesn't store it.
    pub spec: Option<TaskSpec>,
    /// Incarnation of the VM that the attempt is bound to.
    pub boot: BootId,
    /// Daemon that last sent a request about the attempt.
    pub writer: Option<DaemonId>,
    pub stage: Stage,
    /// Time of the last change of stage.
    pub since: Duration,
    pub started: Duration,
    pub checkpoint_at: Option<Duration>,
    pub progress: f64,
    /// Time at which to retry an unanswered request or report.
    pub retry_at: Duration,
}

/// Stage of an attempt on its VM.
#[derive(Clone, Debug, PartialEq)]
pub enum Stage {
    /// Resources are reserved; nothing was sent to the VM.
    Reserved {
        until: Duration,
    },
    /// The start was sent; its response is outstanding.
    Starting,
    /// The start's response was lost; the VM's next table shows whether it took effect.
    Unconfirmed,
    Running,
    /// A checkpoint is being taken before the close.
    Checkpointing {
        why: CloseReason,
    },
    /// The VM was asked to end the attempt and to prove that it does not run.
    Closing {
        why: CloseReason,
    },
    /// The VM has proved that the attempt doesn't run; the writer hasn't acknowledged it.
    Closed {
        proof: Closed,
        why: CloseReason,
    },
    /// The attempt ended by itself; the writer hasn't acknowledged it.
    Ended {
        outcome: Outcome,
    },
    /// The writer has acknowledged the end; the VM hasn't discarded its record of it.
    Acknowledged,
}

impl Stage {
    /// Whether the attempt may be running or may still start.
    pub fn occupies_resources(&self) -> bool {
        !matches!(self, Self::Closed { .. } | Self::Ended { .. } | Self::Acknowledged)
    }
}

/// Differences found when a VM's table was reconciled.
#[derive(Debug, Default)]
pub struct TableChanges {
    /// Starts that the VM confirmed.
    pub started: Vec<TaskAttempt>,
    /// Attempts that were running and disappeared without a reported end.
    pub lost: Vec<TaskAttempt>,
    /// Unconfirmed starts that are not in the VM's table.
    pub unstarted: Vec<TaskAttempt>,
    /// Ends reported for the first time.
    pub ended: Vec<TaskAttempt>,
}

impl LeaseTable {
    /// Creates an empty table for a VM.
    pub fn new(status: &VmStatus) -> Self {
        Self {
            boot: status.boot,
            rack: status.rack.clone(),
            size: status.size,
            slots: IndexMap::new(),
        }
    }

    /// Returns an attempt's slot, if known.
    pub fn get(&self, id: &TaskAttempt) -> Option<&Slot> {
        self.slots.get(id)
    }

    /// Returns an attempt's slot for modification, if known.
    pub fn get_mut(&mut self, id: &TaskAttempt) -> Option<&mut Slot> {
        self.slots.get_mut(id)
    }

    /// Adds an attempt.
    pub fn insert(&mut self, id: TaskAttempt, slot: Slot) {
        self.slots.insert(id, slot);
    }

    /// Removes the attempts for which `keep` returns false.
    pub fn retain(&mut self, keep: impl FnMut(&TaskAttempt, &mut Slot) -> bool) {
        self.slots.retain(keep);
    }

    /// Iterates over all attempts.
    pub fn iter(&self) -> impl Iterator<Item = (&TaskAttempt, &Slot)> {
        self.slots.iter()
    }

    /// Iterates over all attempts for modification.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&TaskAttempt, &mut Slot)> {
        self.slots.iter_mut()
    }

    /// The task's attempt that occupies resources.
    pub fn live(&self, task: TaskId) -> Option<TaskAttempt> {
        self.slots
            .iter()
            .find(|(id, slot)| id.task == task && slot.stage.occupies_resources())
            .map(|(id, _)| *id)
    }

    /// Sum of the committed resources; `None` if it overflows.
    pub fn committed(&self) -> Option<Resources> {
        self.slots
            .values()
            .filter(|slot| slot.stage.occupies_resources())
            .try_fold(Resources::ZERO, |sum, slot| sum.checked_add(&slot.resources).ok())
    }

    /// Uncommitted resources; zero if the VM is overcommitted.
    pub fn free(&self) -> Resources {
        self.committed().map_or(Resources::ZERO, |taken| self.size.saturating_sub(&taken))
    }

    /// Whether the committed resources plus `more` fit in the VM's size.
    pub fn can_fit(&self, more: &Resources) -> bool {
        self.committed()
            .and_then(|taken| taken.checked_add(more).ok())
            .is_some_and(|taken| taken.fits_in(&self.size))
    }

    /// Number of committed tasks of each class.
    pub fn classes(&self) -> Vec<ClassCount> {
        let mut counts: IndexMap<&ClassName, u32> = IndexMap::new();
        for slot in self.slots.values().filter(|slot| slot.stage.occupies_resources()) {
            *counts.entry(&slot.class).or_insert(0) += 1;
        }
        counts
            .into_iter()
            .map(|(class, count)| ClassCount { class: class.clone(), count })
            .collect()
    }

    /// Merges a table that the VM returned to a call sent after `sent`.
    ///
    /// The table may predate changes that were confirmed after the call was sent, so it can't
    /// contradict them. Without this rule, a table read before a start took effect would report the
    /// running attempt as lost.
    pub fn reconcile(
        &mut self,
        boot: BootId,
        tenants: &[Tenant],
        ended: &[EndedAttempt],
        sent: Duration,
        now: Duration,
    ) -> TableChanges {
        let mut changes = TableChanges::default();
        if self.boot != boot {
            // The incarnation that had the reserved resources is gone.
            self.boot = boot;
            self.drop_reservations();
        }
        for tenant in tenants {
            self.reconcile_tenant(tenant, now, &mut changes);
        }
        for end in ended {
            self.reconcile_end(end, now, &mut changes);
        }
        self.reconcile_missing(tenants, ended, sent, &mut changes);
        changes
    }

    /// Drops reservations, for which nothing was sent to the VM.
    fn drop_reservations(&mut self) {
        self.slots.retain(|_, slot| !matches!(slot.stage, Stage::Reserved { .. }));
    }

    /// Drops reservations and marks outstanding starts as unconfirmed after the lease is lost.
    pub fn mark_lease_lost(&mut self, now: Duration) {
        self.drop_reservations();
        for slot in self.slots.values_mut() {
            match slot.stage {
                Stage::Starting => slot.set_stage(Stage::Unconfirmed, now),
                Stage::Checkpointing { .. } => slot.set_stage(Stage::Running, now),
                _ => {}
            }
        }
    }

    fn reconcile_tenant(&mut self, tenant: &Tenant, now: Duration, changes: &mut TableChanges) {
        let id = TaskAttempt { task: tenant.task, attempt: tenant.attempt };
        let boot = self.boot;
        let slot = self.slots.entry(id).or_insert_with(|| Slot::from_tenant(tenant, boot, now));
        slot.resources = tenant.resources;
        if matches!(slot.stage, Stage::Starting | Stage::Unconfirmed | Stage::Reserved { .. }) {
            slot.set_stage(Stage::Running, now);
            slot.started = now;
            changes.started.push(id);
        }
    }

    fn reconcile_end(&mut self, end: &EndedAttempt, now: Duration, changes: &mut TableChanges) {
        let id = TaskAttempt { task: end.task, attempt: end.attempt };
        let known = self.slots.get(&id).map(|slot| &slot.stage);
        if known.is_some_and(|stage| !stage.occupies_resources()) {
            return;
        }
        let boot = self.boot;
        let slot = self.slots.entry(id).or_insert_with(|| Slot::unknown(boot, now));
        slot.set_stage(Stage::Ended { outcome: end.outcome.clone() }, now);
        slot.retry_at = now;
        changes.ended.push(id);
    }

    fn reconcile_missing(
        &mut self,
        tenants: &[Tenant],
        ended: &[EndedAttempt],
        sent: Duration,
        changes: &mut TableChanges,
    ) {
        let here = |id: &TaskAttempt| {
            tenants.iter().any(|tenant| tenant.task == id.task && tenant.attempt == id.attempt)
        };
        let ended_here = |id: &TaskAttempt| {
            ended.iter().any(|end| end.task == id.task && end.attempt == id.attempt)
        };
        self.slots.retain(|id, slot| match slot.stage {
            Stage::Running if slot.kind == TenantKind::Service => here(id),
            Stage::Running if slot.since < sent && !here(id) => {
                changes.lost.push(*id);
                true
            }
            Stage::Unconfirmed if slot.since < sent && !here(id) => {
                changes.unstarted.push(*id);
                true
            }
            Stage::Acknowledged => slot.since >= sent || ended_here(id),
            _ => true,
        });
    }
}

impl Slot {
    /// Creates a slot with reserved resources.
    pub fn reserved(spec: &TaskSpec, boot: BootId, until: Duration, now: Duration) -> Self {
        Self {
            class: spec.class.clone(),
            resources: spec.resources,
            kind: TenantKind::Batch,
            spec: Some(spec.clone()),
            boot,
            writer: None,
            stage: Stage::Reserved { until },
            since: now,
            started: now,
            checkpoint_at: None,
            progress: 0.0,
            retry_at: now,
        }
    }

    /// Creates a slot for an attempt of which only the ID is known.
    pub fn unknown(boot: BootId, now: Duration) -> Self {
        Self {
            class: ClassName::new(""),
            resources: Resources::ZERO,
            kind: TenantKind::Batch,
            spec: None,
            boot,
            writer: None,
            stage: Stage::Unconfirmed,
            since: now,
            started: now,
            checkpoint_at: None,
            progress: 0.0,
            retry_at: now,
        }
    }

    /// Sets the stage and the time of the change.
    pub fn set_stage(&mut self, stage: Stage, now: Duration) {
        self.stage = stage;
        self.since = now;
    }

    /// The report to the task's writer, if the stage calls for one.
    pub fn report(&self, vm: &VmId, id: &TaskAttempt) -> Option<PeerMsg> {
        if self.kind == TenantKind::Service {
            return None;
        }
        let TaskAttempt { task, attempt } = *id;
        let vm = vm.clone();
        match self.stage.clone() {
            Stage::Running => Some(PeerMsg::Started { vm, task, attempt }),
            Stage::Ended { outcome } => Some(PeerMsg::Ended { vm, task, attempt, outcome }),
            Stage::Closed { proof, why } => {
                let Closed { ended, checkpoint, started } = proof;
                Some(PeerMsg::Closed { vm, task, attempt, ended, checkpoint, started, why })
            }
            _ => None,
        }
    }

    fn from_tenant(tenant: &Tenant, boot: BootId, now: Duration) -> Self {
        Self {
            class: tenant.class.clone(),
            resources: tenant.resources,
            kind: tenant.kind,
            stage: Stage::Running,
            ..Self::unknown(boot, now)
        }
    }
}

/// Identifies an attempt of a task.
pub fn task_attempt(task: TaskId, attempt: Attempt) -> TaskAttempt {
    TaskAttempt { task, attempt }
}
