//! Records of made-up tasks in partition 3.

use futures::executor::block_on;
use std::collections::BTreeMap;
use std::time::Duration;
use waxwingstall::ids::{Attempt, BootId, DaemonId, IdempotencyKey, PartitionId, TaskId, VmId};
use waxwingstall::model::{Idempotency, Resumption, Urgency};
use waxwingstall::store::Store;
use waxwingstall::task::{Change, Outcome, Record, TaskSpec, TaskState};
use waxwingstall::tasklog::{Loaded, Partition};
use waxwingstall::units::Resources;

pub fn load<S: Store>(store: &S, writer: &str) -> Loaded {
    block_on(Partition::load(store, PartitionId(3), &DaemonId::new(writer))).expect("a load")
}

pub fn spec(n: u64) -> TaskSpec {
    let class = if n.is_multiple_of(3) { "print-build" } else { "narration" };
    TaskSpec {
        class: class.into(),
        team: "editions".into(),
        pool: "batch".into(),
        resources: Resources::new(2000, 4096, 0),
        expected: Duration::from_secs(600),
        idempotency: Idempotency::Idempotent,
        resumption: Resumption::Checkpoint,
        urgency: Urgency::Normal,
        max_failures: 3,
        payload: format!("title={n}"),
    }
}

pub fn key(n: u64) -> IdempotencyKey {
    IdempotencyKey::new(&format!("order-{n}"))
}

pub fn record(n: u64, change: Change) -> Record {
    Record { task: TaskId::new(PartitionId(3), n), change }
}

pub fn accepted(n: u64) -> Record {
    record(n, Change::Accepted { key: key(n), spec: spec(n) })
}

pub fn bound(n: u64, attempt: u32) -> Record {
    let vm = VmId::new(&format!("worker-{}", n % 7));
    record(n, Change::Bound { vm, boot: BootId(1), attempt: Attempt(attempt) })
}

pub fn ended(n: u64, attempt: u32) -> Record {
    record(n, Change::Ended { attempt: Attempt(attempt), outcome: Outcome::Succeeded })
}

/// What the records come to, by the rules of `task` alone.
pub fn state<'a>(records: impl Iterator<Item = &'a Record>) -> Vec<TaskState> {
    let mut tasks = BTreeMap::new();
    for record in records {
        if let Change::Accepted { key, spec } = &record.change {
            let fresh = TaskState::new(record.task, key.clone(), spec.clone());
            tasks.entry(record.task).or_insert(fresh);
        } else if let Some(task) = tasks.get_mut(&record.task) {
            task.apply(&record.change);
        }
    }
    tasks.into_values().collect()
}
