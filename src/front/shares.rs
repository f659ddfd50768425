//! Asking the holders of the endpoints' VMs for slots.

use super::forward::ask_daemon;
use super::view::{ListRead, Stage};
use super::{Links, Slots};
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
/// Time after which a daemon is ready without slots; a failure domain may have no endpoint.
const LONGEST_WAIT: Duration = Duration::from_secs(20);

/// Asks for slots, twice a second, until the front ends.
pub fn follow(links: &Links, dispatcher: &Dispatcher, asked: &Rc<Cell<Slots>>) {
    let (links, dispatcher) = (links.clone(), dispatcher.clone());
    let slots = asked.clone();
    let begun = links.clock.now();
    let mut view = links.view.clone();
    actix::spawn(async move {
        loop {
            ask_all(&links, &dispatcher).await;
            if slots.get() == Slots::Awaited && is_served(&links, &dispatcher, begun) {
                slots.set(Slots::Asked);
            }
            tokio::select! {
                () = tokio::time::sleep(PERIOD) => {}
                changed = view.changed() => if changed.is_err() { return },
            }
        }
    });
}

/// Whether there are slots, or nothing that could have any, or the wait has been too long.
fn is_served(links: &Links, dispatcher: &Dispatcher, begun: Duration) -> bool {
    let waited = links.clock.now().saturating_sub(begun);
    let endpoints = dispatcher.status().endpoints;
    let known = {
        let view = links.view.borrow();
        view.stage != Stage::Starting && view.list == ListRead::Read
    };
    let unserved = links.view.borrow().config.services.is_empty() || endpoints.is_empty();
    (known && unserved)
        || waited >= LONGEST_WAIT
        || endpoints.iter().any(|endpoint| endpoint.share > 0)
}

async fn ask_all(links: &Links, dispatcher: &Dispatcher) {
    let asks = dispatcher.share_requests();
    let vms: Vec<VmId> = asks.iter().map(|ask| ask.vm.clone()).collect();
    let domain = links.domain.clone();
    let holders = links.control.send(Inspect(move |control: &Control| {
        let core = control.core();
        vms.iter().map(|vm| core.holder_of(vm, &domain)).collect::<Vec<_>>()
    }));
    let Ok(holders) = holders.await else { return };
    let mut batches: IndexMap<DaemonId, Vec<ShareRequest>> = IndexMap::new();
    for (ask, holder) in asks.into_iter().zip(holders) {
        if let Some(holder) = holder {
            batches.entry(holder).or_default().push(ask);
        }
    }
    let sent = links.clock.now();
    let batches =
        batches.into_iter().map(|(holder, asks)| ask_daemon(links, holder, Call::Slots { asks }));
    for reply in futures::future::join_all(batches).await {
        if let Reply::Slots(grants) = reply {
            grants.iter().for_each(|grant| dispatcher.share_granted(grant, sent));
        }
    }
}
