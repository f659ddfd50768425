//! The ports to the platform's store and VMs, on the stand-ins' tables, without I/O.

use crate::runs::RunTable;
use crate::troubled::{Met, Troubled};
use crate::txns::TxnTable;
use std::sync::Arc;
use std::time::Duration;
use waxwingstall::clock::Clock;
use waxwingstall::kv::{self, Changes, Freshness, Item, KvStore, LeaseId, Page, Rev, Txn, Watch};
use waxwingstall::vm::{self, PaceReq, PollReq, PollResp, RunReq, StartReq, VmAddr, VmApi, VmTime};

/// The store.
#[derive(Clone)]
pub struct FakeStore {
    pub table: Arc<Troubled<TxnTable>>,
    pub clock: Arc<dyn Clock>,
}

impl FakeStore {
    fn call<R>(
        &self,
        call: impl FnOnce(&mut TxnTable, Duration) -> kv::Result<R> + Send + 'static,
    ) -> kv::Result<R> {
        let now = self.clock.now();
        let met = self.table.call(move |table| {
            table.pass(now);
            call(table, now)
        });
        match met {
            Met::Answered(result) => result,
            Met::Refused => Err(kv::Error::Refused { reason: "trouble".to_owned() }),
            Met::NoAnswer => Err(kv::Error::NoAnswer { reason: "trouble".to_owned() }),
        }
    }
}

impl KvStore for FakeStore {
    async fn get(&self, key: &str) -> kv::Result<Option<Item>> {
        let key = key.to_owned();
        self.call(move |table, _| Ok(table.get(&key)))
    }

    async fn range(&self, prefix: &str, after: Option<&str>, _: Freshness) -> kv::Result<Page> {
        let (prefix, after) = (prefix.to_owned(), after.map(str::to_owned));
        self.call(move |table, _| Ok(table.range(&prefix, after.as_deref())))
    }

    async fn watch(&self, watch: &Watch) -> kv::Result<Changes> {
        let watch = watch.clone();
        self.call(move |table, _| table.changes(&watch.prefix, watch.after))
    }

    async fn commit(&self, txn: &Txn) -> kv::Result<Rev> {
        let txn = txn.clone();
        self.call(move |table, _| table.commit(&txn))
    }

    async fn grant_lease(&self, ttl: Duration) -> kv::Result<LeaseId> {
        self.call(move |table, now| Ok(table.grant(ttl, now)))
    }

    async fn renew_lease(&self, lease: LeaseId) -> kv::Result<()> {
        self.call(move |table, now| table.keep(lease, now))
    }

    async fn end_lease(&self, lease: LeaseId) -> kv::Result<()> {
        self.call(move |table, _| table.end(lease))
    }
}

/// One VM.
#[derive(Clone)]
pub struct FakeVm {
    pub table: Arc<Troubled<RunTable>>,
    pub clock: Arc<dyn Clock>,
}

impl FakeVm {
    fn call<R>(
        &self,
        to: &VmAddr,
        call: impl FnOnce(&mut RunTable, Duration) -> vm::Result<R> + Send + 'static,
    ) -> vm::Result<R> {
        let (now, to) = (self.clock.now(), to.id.clone());
        let met = self.table.call(move |table| {
            if !table.id.is_same_vm(&to) {
                return Err(vm::Error::InstanceChanged { successor: None });
            }
            call(table, now)
        });
        match met {
            Met::Answered(result) => result,
            Met::Refused => Err(vm::Error::Unavailable { status: 503 }),
            Met::NoAnswer => Err(vm::Error::NoAnswer { reason: "trouble".to_owned() }),
        }
    }
}

impl VmApi for FakeVm {
    async fn poll(&self, vm: &VmAddr, req: PollReq) -> vm::Result<PollResp> {
        let polled = vm.id.clone();
        self.call(vm, move |table, now| {
            let answer = table.poll(now, &req)?;
            if table.id != polled {
                return Err(vm::Error::InstanceChanged { successor: Some(table.id.clone()) });
            }
            Ok(answer)
        })
    }

    async fn start(&self, vm: &VmAddr, req: StartReq) -> vm::Result<VmTime> {
        self.call(vm, move |table, now| table.start(now, &req))
    }

    async fn stop(&self, vm: &VmAddr, req: RunReq) -> vm::Result<VmTime> {
        self.call(vm, move |table, now| table.stop(now, &req))
    }

    async fn set_pace(&self, vm: &VmAddr, req: PaceReq) -> vm::Result<VmTime> {
        self.call(vm, move |table, now| table.set_pace(now, &req))
    }
}
