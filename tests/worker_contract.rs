//! What a worker promises, checked on the lease table itself and on a worker over HTTP.

use std::cell::RefCell;
use std::time::Duration;
use waxwingstall::connections::Connections;
use waxwingstall::ids::{
    Attempt, BootId, CheckpointId, ClassName, DaemonId, DomainId, PartitionId, RackId, TaskId,
    Token, VmId,
};
use waxwingstall::units::Resources;
use waxwingstall::worker::http::HttpWorker;
use waxwingstall::worker::{
    AcquireReq, AttemptReq, Closed, Error, Granted, Result, StartReq, SyncReq, SyncResp,
    ThrottleReq, VmStatus, Worker,
};
use waxwingstall_standin::ledger::Ledger;
use waxwingstall_standin::rack::Rack;
use waxwingstall_standin::worker::{LeaseTable, TableSettings};

const TTL: Duration = Duration::from_secs(600);
const NOW: Duration = Duration::from_secs(1);

/// The lease table without I/O, at one moment.
struct InMemory(RefCell<LeaseTable>);

impl Worker for InMemory {
    async fn acquire(&self, req: AcquireReq) -> Result<Granted> {
        self.0.borrow_mut().acquire(NOW, &req)
    }

    async fn sync(&self, req: SyncReq) -> Result<SyncResp> {
        self.0.borrow_mut().sync(NOW, &req)
    }

    async fn release(&self, token: Token) -> Result<()> {
        self.0.borrow_mut().release(NOW, token)
    }

    async fn start(&self, req: StartReq) -> Result<()> {
        self.0.borrow_mut().start(NOW, &req)
    }

    async fn throttle(&self, req: ThrottleReq) -> Result<()> {
        self.0.borrow_mut().throttle(NOW, &req)
    }

    async fn checkpoint(&self, req: AttemptReq) -> Result<CheckpointId> {
        self.0.borrow_mut().checkpoint(NOW, &req)
    }

    async fn close(&self, req: AttemptReq) -> Result<Closed> {
        self.0.borrow_mut().close(NOW, &req)
    }
}

fn status() -> VmStatus {
    VmStatus {
        vm: VmId::new("w1"),
        domain: DomainId::new("kacyiru"),
        rack: RackId::new("r1"),
        size: Resources::new(32_000, 125_000, 0),
        boot: BootId(1),
        tasks: Vec::new(),
    }
}

fn task() -> TaskId {
    TaskId::new(PartitionId(0), 1)
}

fn acquire(holder: &str) -> AcquireReq {
    AcquireReq { holder: DaemonId::new(holder), ttl: TTL }
}

fn start(token: Token, attempt: u32) -> StartReq {
    StartReq {
        token,
        task: task(),
        attempt: Attempt(attempt),
        class: ClassName::new("narration"),
        resources: Resources::new(1_000, 1_000, 0),
        payload: "{\"work_ms\": 600000}".to_owned(),
        resume: None,
    }
}

fn of(token: Token, attempt: u32) -> AttemptReq {
    AttemptReq { token, task: task(), attempt: Attempt(attempt) }
}

async fn keeps_its_promises(worker: &impl Worker) {
    let first = worker.acquire(acquire("a@1")).await.expect("a free lease").token;
    let refused = worker.acquire(acquire("b@1")).await;
    assert!(matches!(refused, Err(Error::Held { holder, .. }) if holder == DaemonId::new("a@1")));

    assert_eq!(worker.start(start(first, 1)).await, Ok(()));
    assert_eq!(worker.start(start(first, 1)).await, Ok(()), "a repeated start is no error");
    let synced = worker.sync(SyncReq { token: first, ttl: TTL, forget: Vec::new() }).await;
    assert_eq!(synced.expect("a renewal").tasks.len(), 1, "a repeated start starts nothing");
    assert!(worker.checkpoint(of(first, 1)).await.is_ok());

    let closed = worker.close(of(first, 1)).await.expect("proof");
    assert!(closed.started && closed.checkpoint.is_some() && closed.ended.is_none());
    let late = worker.start(start(first, 1)).await;
    assert!(matches!(late, Err(Error::Refused { .. })), "a closed attempt never starts: {late:?}");
    let never = worker.close(of(first, 2)).await.expect("proof");
    assert!(!never.started, "an attempt that never started is proved not to have run");

    assert_eq!(worker.release(first).await, Ok(()));
    let second = worker.acquire(acquire("b@1")).await.expect("a free lease").token;
    assert!(second > first, "tokens rise");
    let fenced = worker.start(start(first, 3)).await;
    assert!(matches!(fenced, Err(Error::Fenced { .. })), "an old token starts nothing: {fenced:?}");
    assert!(matches!(worker.close(of(first, 3)).await, Err(Error::Fenced { .. })));
    assert!(matches!(worker.release(first).await, Err(Error::Fenced { .. })));
}

#[actix_rt::test]
async fn a_lease_table_keeps_the_contract() {
    let table = LeaseTable::new(status(), TableSettings::default(), Ledger::new());
    keeps_its_promises(&InMemory(RefCell::new(table))).await;
}

#[actix_rt::test]
async fn a_worker_over_http_keeps_the_contract() {
    let rack = Rack::start(vec![status()], &TableSettings::default(), &Ledger::new());
    let url = rack.url(&VmId::new("w1"));
    let connections = Connections::new(awc::Client::default);
    let worker = HttpWorker::new(connections, &url, Duration::from_secs(30));
    keeps_its_promises(&worker).await;
}
