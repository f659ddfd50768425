//! API for the status of the daemon and its VMs.

use super::forward::call_daemon;
use super::view::Stage;
use super::{DaemonHandles, State, answer};
use crate::api::{
    ApiError, DaemonState, ErrorKind, MemberStatus, PartitionStatus, Result, Status, StoreStatus,
    VmDetail, VmSummary, millis,
};
use crate::control::{Control, Inspect};
use crate::ids::{ClassName, PartitionId, VmId};
use crate::peers::{Call, Reply};
use crate::request::RequestStatus;
use crate::storage::{Answers, GetStanding};
use actix_web::{HttpResponse, web};
use indexmap::IndexMap;
use std::time::Duration;

pub fn register(scope: &mut web::ServiceConfig) {
    scope
        .route("/status", web::get().to(status))
        .route("/vms", web::get().to(list))
        .route("/vms/{id}", web::get().to(show));
}

/// The part of the status that is read from the core.
struct Core {
    vms_held: u32,
    leases_near_lapse: u32,
    queued: IndexMap<ClassName, u32>,
    refusals: IndexMap<String, u64>,
    partitions: Vec<PartitionStatus>,
}

async fn status(state: web::Data<State>) -> HttpResponse {
    answer(read_status(&state.handles, state.dispatcher.status()).await)
}

async fn read_status(handles: &DaemonHandles, requests: RequestStatus) -> Result<Status> {
    let partitions = handles.partitions.clone();
    let near = handles.lease_ttl / 3;
    let read = move |control: &Control| read_core(control, &partitions, near);
    let core = handles.control.send(Inspect(read));
    let mut core = core.await.map_err(|e| stopping(&e))?;
    let reach = handles.storage.send(GetStanding).await.map_err(|e| stopping(&e))?.reach;
    let since = handles.clock.now().saturating_sub(reach.since);
    for (class, count) in requests.queued {
        core.queued.insert(class, u32::try_from(count).unwrap_or(u32::MAX));
    }
    for (reason, count) in requests.refusals {
        core.refusals.insert(reason.as_str().to_owned(), count);
    }
    let view = handles.view.borrow();
    Ok(Status {
        daemon: handles.me.clone(),
        domain: handles.domain.clone(),
        state: match view.stage {
            Stage::Starting => DaemonState::Starting,
            Stage::Serving => DaemonState::Serving,
            Stage::Unready | Stage::Draining => DaemonState::Draining,
        },
        revision: view.config.revision,
        store: StoreStatus {
            reachable: reach.answers == Answers::Reached,
            since_ms: millis(since),
        },
        vms_held: core.vms_held,
        leases_near_lapse: core.leases_near_lapse,
        queued: core.queued,
        refusals: core.refusals,
        partitions: core.partitions,
        shards: Vec::new(),
        configuration: None,
        members: view
            .members()
            .iter()
            .map(|member| MemberStatus {
                daemon: member.id.clone(),
                domain: member.domain.clone(),
                state: member.state,
                revision: member.revision,
            })
            .collect(),
    })
}

/// Leases with less than `near` left are counted as close to expiry.
fn read_core(control: &Control, partitions: &[PartitionId], near: Duration) -> Core {
    let core = control.core();
    let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
    let vms = core.vms();
    let own = core.partitions();
    let partitions = partitions.iter().map(|id| {
        let summary = own.iter().find(|summary| summary.id == *id);
        PartitionStatus {
            partition: *id,
            writer: core.preferred_writer(*id),
            tasks: summary.map(|summary| count(summary.tasks)),
            waiting_tasks: summary.map(|summary| count(summary.waiting)),
        }
    });
    Core {
        vms_held: count(vms.len()),
        leases_near_lapse: count(vms.iter().filter(|vm| vm.valid_for < near).count()),
        queued: core.queues().into_iter().map(|(class, n)| (class, count(n))).collect(),
        refusals: control.refusals().clone(),
        partitions: partitions.collect(),
    }
}

fn stopping(e: &actix::MailboxError) -> ApiError {
    ApiError::new(ErrorKind::Unreachable, format!("the daemon stops ({e})"), "ask another daemon")
}

async fn list(state: web::Data<State>) -> HttpResponse {
    let vms = all_vms(&state.handles).await;
    let summaries: Vec<VmSummary> = vms.into_iter().map(|vm| vm.summary).collect();
    answer(Ok(summaries))
}

async fn show(state: web::Data<State>, path: web::Path<String>) -> HttpResponse {
    let vm = VmId::new(&path);
    let found = all_vms(&state.handles).await.into_iter().find(|detail| detail.summary.vm == vm);
    answer(found.ok_or_else(|| {
        ApiError::new(
            ErrorKind::NotFound,
            format!("no daemon that answers holds `{vm}`"),
            "check the name; a VM that changes hands is held again within seconds",
        )
    }))
}

/// The VMs held by all daemons that answer, sorted by name.
async fn all_vms(handles: &DaemonHandles) -> Vec<VmDetail> {
    let members: Vec<_> = handles.view.borrow().serving().cloned().collect();
    let mut vms = Vec::new();
    for member in members {
        let reply = call_daemon(handles, member, Call::Vms).await;
        if let Reply::Vms(held) = reply {
            vms.extend(held);
        }
    }
    vms.sort_by(|a, b| a.summary.vm.cmp(&b.summary.vm));
    vms
}
