//! Requests slots from the holders of the endpoints' control leases.

use super::forward::call_daemon;
use super::view::{ListRead, Stage};
use super::{DaemonHandles, SlotWait};
use crate::clock::Clock;
use crate::control::{Control, Inspect};
use crate::ids::{DaemonId, VmId};
use crate::peers::{Call, Reply};
use crate::request::Dispatcher;
use crate::request::share::ShareRequest;
use indexmap::IndexMap;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

const PERIOD: Duration = Duration::from_millis(500);
/// Time after which a daemon is ready without slots, since a failure domain may have no endpoint.
const MAX_WAIT: Duration = Duration::from_secs(20);

/// Requests slots twice a second, and whenever the view changes, until the front end stops.
pub fn follow(handles: &DaemonHandles, dispatcher: &Dispatcher, slot_wait: &Rc<Cell<SlotWait>>) {
    let (handles, dispatcher) = (handles.clone(), dispatcher.clone());
    let slot_wait = slot_wait.clone();
    let start = handles.clock.now();
    let mut view = handles.view.clone();
    actix::spawn(async move {
        loop {
            request_slots(&handles, &dispatcher).await;
            if slot_wait.get() == SlotWait::Waiting && is_wait_over(&handles, &dispatcher, start) {
                slot_wait.set(SlotWait::Done);
            }
            tokio::select! {
                () = tokio::time::sleep(PERIOD) => {}
                changed = view.changed() => if changed.is_err() { return },
            }
        }
    });
}

/// Whether the daemon has slots, or no endpoint can have any, or the maximum wait has passed.
fn is_wait_over(handles: &DaemonHandles, dispatcher: &Dispatcher, start: Duration) -> bool {
    let waited = handles.clock.now().saturating_sub(start);
    let endpoints = dispatcher.status().endpoints;
    let known = {
        let view = handles.view.borrow();
        view.stage != Stage::Starting && view.list == ListRead::Read
    };
    let no_endpoints = handles.view.borrow().config.services.is_empty() || endpoints.is_empty();
    (known && no_endpoints)
        || waited >= MAX_WAIT
        || endpoints.iter().any(|endpoint| endpoint.share > 0)
}

async fn request_slots(handles: &DaemonHandles, dispatcher: &Dispatcher) {
    let asks = dispatcher.share_requests();
    let vms: Vec<VmId> = asks.iter().map(|ask| ask.vm.clone()).collect();
    let domain = handles.domain.clone();
    let holders = handles.control.send(Inspect(move |control: &Control| {
        let core = control.core();
        vms.iter().map(|vm| core.preferred_holder(vm, &domain)).collect::<Vec<_>>()
    }));
    let Ok(holders) = holders.await else { return };
    let mut batches: IndexMap<DaemonId, Vec<ShareRequest>> = IndexMap::new();
    for (ask, holder) in asks.into_iter().zip(holders) {
        if let Some(holder) = holder {
            batches.entry(holder).or_default().push(ask);
        }
    }
    let sent = handles.clock.now();
    let batches = batches
        .into_iter()
        .map(|(holder, asks)| call_daemon(handles, holder, Call::Slots { asks }));
    for reply in futures::future::join_all(batches).await {
        if let Reply::Slots(grants) = reply {
            grants.iter().for_each(|grant| dispatcher.share_granted(grant, sent));
        }
    }
}
