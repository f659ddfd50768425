//! What a holder knows of a VM's lease table, and the room that is taken there.
//!
//! Room is counted as taken from the reservation until the VM proves that the attempt does not
//! run and will not: also while the answer to a start is missing and while a close is under way.
//! Counting less would place new work beside an attempt that still runs, and overfill the VM.

use crate::ids::{Attempt, BootId, ClassName, DaemonId, RackId, TaskId, VmId};
use crate::peer::{ClassCount, CloseReason, PeerMsg};
use crate::task::{Outcome, TaskSpec};
use crate::units::Resources;
use crate::worker::{Closed, EndedAttempt, TaskAttempt, Tenant, TenantKind, VmStatus};
use indexmap::IndexMap;
use std::time::Duration;

/// A VM's lease table, with what is on its way there.
#[derive(Clone, Debug)]
pub struct Table {
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
    /// Known from the task's writer only; the VM doesn't keep it.
    pub spec: Option<TaskSpec>,
    /// Incarnation of the VM that the attempt belongs to.
    pub boot: BootId,
    /// Daemon that last spoke of the attempt.
    pub writer: Option<DaemonId>,
    pub stage: Stage,
    /// Time of the last change of stage.
    pub since: Duration,
    pub started: Duration,
    pub checkpoint_at: Option<Duration>,
    pub progress: f64,
    /// Time at which to repeat what is unanswered.
    pub repeat_at: Duration,
}

/// How far an attempt is on its VM.
#[derive(Clone, Debug, PartialEq)]
pub enum Stage {
    /// Room is kept, nothing was sent.
    Reserved {
        until: Duration,
    },
    /// The start was sent and is not answered.
    Starting,
    /// The start's answer was lost; the next table tells.
    Doubtful,
    Running,
    /// A checkpoint is being taken before the close.
    Checkpointing {
        why: CloseReason,
    },
    /// Proof of the end is being asked for.
    Closing {
        why: CloseReason,
    },
    /// Proof is here; the writer hasn't acknowledged it.
    Closed {
        proof: Closed,
        why: CloseReason,
    },
    /// Ended by itself; the writer hasn't acknowledged it.
    Ended {
        outcome: Outcome,
    },
    /// The writer has acknowledged the end; the VM hasn't forgotten it.
    Recorded,
}

impl Stage {
    /// Whether the attempt may run, now or later.
    pub fn takes_room(&self) -> bool {
        !matches!(self, Self::Closed { .. } | Self::Ended { .. } | Self::Recorded)
    }
}

/// What a newly read table changed.
#[derive(Debug, Default)]
pub struct Changes {
    /// Starts that the table confirms.
    pub started: Vec<TaskAttempt>,
    /// Attempts that ran and are gone without an end.
    pub lost: Vec<TaskAttempt>,
    /// Starts in doubt that the table doesn't have.
    pub unstarted: Vec<TaskAttempt>,
    /// Ends heard of for the first time.
    pub ended: Vec<TaskAttempt>,
}

impl Table {
    /// A table of a VM that is not known yet.
    pub fn new(status: &VmStatus) -> Self {
        Self {
            boot: status.boot,
            rack: status.rack.clone(),
            size: status.size,
            slots: IndexMap::new(),
        }
    }

    /// The attempt, if known.
    pub fn get(&self, id: &TaskAttempt) -> Option<&Slot> {
        self.slots.get(id)
    }

    /// The attempt, if known.
    pub fn get_mut(&mut self, id: &TaskAttempt) -> Option<&mut Slot> {
        self.slots.get_mut(id)
    }

    /// Adds an attempt.
    pub fn insert(&mut self, id: TaskAttempt, slot: Slot) {
        self.slots.insert(id, slot);
    }

    /// Forgets attempts.
    pub fn retain(&mut self, keep: impl FnMut(&TaskAttempt, &mut Slot) -> bool) {
        self.slots.retain(keep);
    }

    /// All attempts.
    pub fn iter(&self) -> impl Iterator<Item = (&TaskAttempt, &Slot)> {
        self.slots.iter()
    }

    /// All attempts.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&TaskAttempt, &mut Slot)> {
        self.slots.iter_mut()
    }

    /// Attempt of the task that takes room.
    pub fn live(&self, task: TaskId) -> Option<TaskAttempt> {
        self.slots
            .iter()
            .find(|(id, slot)| id.task == task && slot.stage.takes_room())
            .map(|(id, _)| *id)
    }

    /// Sum of what takes room; `None` if it overflows.
    pub fn committed(&self) -> Option<Resources> {
        self.slots
            .values()
            .filter(|slot| slot.stage.takes_room())
            .try_fold(Resources::ZERO, |sum, slot| sum.checked_add(&slot.resources).ok())
    }

    /// Room that is left; none where the VM is overfilled.
    pub fn free(&self) -> Resources {
        self.committed().map_or(Resources::ZERO, |taken| self.size.saturating_sub(&taken))
    }

    /// Whether what is committed, together with `more`, is within the size.
    pub fn has_room_for(&self, more: &Resources) -> bool {
        self.committed()
            .and_then(|taken| taken.checked_add(more).ok())
            .is_some_and(|taken| taken.fits_in(&self.size))
    }

    /// Committed tasks of each class.
    pub fn classes(&self) -> Vec<ClassCount> {
        let mut counts: IndexMap<&ClassName, u32> = IndexMap::new();
        for slot in self.slots.values().filter(|slot| slot.stage.takes_room()) {
            *counts.entry(&slot.class).or_insert(0) += 1;
        }
        counts
            .into_iter()
            .map(|(class, count)| ClassCount { class: class.clone(), count })
            .collect()
    }

    /// Takes over a table that the VM gave in answer to a call sent after `sent`.
    ///
    /// A table says nothing of changes that were confirmed after the call was sent: without that
    /// rule an answer that overtook a start would report a running attempt as lost.
    pub fn absorb(
        &mut self,
        boot: BootId,
        tenants: &[Tenant],
        ended: &[EndedAttempt],
        sent: Duration,
        now: Duration,
    ) -> Changes {
        let mut changes = Changes::default();
        if self.boot != boot {
            self.boot = boot;
            self.forget_unsent();
        }
        for tenant in tenants {
            self.absorb_tenant(tenant, now, &mut changes);
        }
        for end in ended {
            self.absorb_end(end, now, &mut changes);
        }
        self.find_missing(tenants, ended, sent, &mut changes);
        changes
    }

    /// Drops reservations: the incarnation that had the room is gone.
    fn forget_unsent(&mut self) {
        self.slots.retain(|_, slot| !matches!(slot.stage, Stage::Reserved { .. }));
    }

    /// The lease is lost: nothing more is sent, and what is under way is in doubt.
    pub fn suspend(&mut self, now: Duration) {
        self.forget_unsent();
        for slot in self.slots.values_mut() {
            match slot.stage {
                Stage::Starting => slot.enter(Stage::Doubtful, now),
                Stage::Checkpointing { .. } => slot.enter(Stage::Running, now),
                _ => {}
            }
        }
    }

    fn absorb_tenant(&mut self, tenant: &Tenant, now: Duration, changes: &mut Changes) {
        let id = TaskAttempt { task: tenant.task, attempt: tenant.attempt };
        let boot = self.boot;
        let slot = self.slots.entry(id).or_insert_with(|| Slot::found(tenant, boot, now));
        slot.resources = tenant.resources;
        if matches!(slot.stage, Stage::Starting | Stage::Doubtful | Stage::Reserved { .. }) {
            slot.enter(Stage::Running, now);
            slot.started = now;
            changes.started.push(id);
        }
    }

    fn absorb_end(&mut self, end: &EndedAttempt, now: Duration, changes: &mut Changes) {
        let id = TaskAttempt { task: end.task, attempt: end.attempt };
        let known = self.slots.get(&id).map(|slot| &slot.stage);
        if known.is_some_and(|stage| !stage.takes_room()) {
            return;
        }
        let boot = self.boot;
        let slot = self.slots.entry(id).or_insert_with(|| Slot::unknown(boot, now));
        slot.enter(Stage::Ended { outcome: end.outcome.clone() }, now);
        slot.repeat_at = now;
        changes.ended.push(id);
    }

    fn find_missing(
        &mut self,
        tenants: &[Tenant],
        ended: &[EndedAttempt],
        sent: Duration,
        changes: &mut Changes,
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
            Stage::Doubtful if slot.since < sent && !here(id) => {
                changes.unstarted.push(*id);
                true
            }
            Stage::Recorded => slot.since >= sent || ended_here(id),
            _ => true,
        });
    }
}

impl Slot {
    /// An attempt that room is kept for.
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
            repeat_at: now,
        }
    }

    /// An attempt that is asked about and isn't known here.
    pub fn unknown(boot: BootId, now: Duration) -> Self {
        Self {
            class: ClassName::new(""),
            resources: Resources::ZERO,
            kind: TenantKind::Batch,
            spec: None,
            boot,
            writer: None,
            stage: Stage::Doubtful,
            since: now,
            started: now,
            checkpoint_at: None,
            progress: 0.0,
            repeat_at: now,
        }
    }

    /// Moves to another stage.
    pub fn enter(&mut self, stage: Stage, now: Duration) {
        self.stage = stage;
        self.since = now;
    }

    /// What the task's writer is to be told.
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

    fn found(tenant: &Tenant, boot: BootId, now: Duration) -> Self {
        Self {
            class: tenant.class.clone(),
            resources: tenant.resources,
            kind: tenant.kind,
            stage: Stage::Running,
            ..Self::unknown(boot, now)
        }
    }
}

/// The attempt's id, as the VM names it.
pub fn id(task: TaskId, attempt: Attempt) -> TaskAttempt {
    TaskAttempt { task, attempt }
}
