//! The duty that calls the workers and reads the platform's list.

#[cfg(test)]
mod tests;

use crate::clock::Clock;
use crate::connections::Connections;
use crate::control::{Control, KnowEndpoints, Told};
use crate::core::event::ListedVm;
use crate::core::{Action, Event};
use crate::front::view::FrontView;
use crate::ids::{DaemonId, VmId};
use crate::listing::{self, Listing};
use crate::peers::{ListedDaemons, Peers};
use crate::ring::{RING_CAPACITY, Ring};
use crate::storage::Storage;
use crate::worker::http::HttpWorker;
use crate::worker::{AcquireReq, Error, Result, SyncReq, Worker};
use actix::prelude::*;
use indexmap::IndexMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// How the platform is reached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkersSettings {
    pub list_url: String,
    pub list_period: Duration,
    pub call_timeout: Duration,
}

/// The workers' duty.
pub struct Workers {
    me: DaemonId,
    settings: WorkersSettings,
    client: awc::Client,
    connections: Connections,
    workers: IndexMap<VmId, HttpWorker>,
    control: Ring<Told>,
    core: Addr<Control>,
    peers: Addr<Peers>,
    front: watch::Sender<FrontView>,
    clock: Arc<dyn Clock>,
}

impl Workers {
    /// A duty that knows no worker yet; made on its own thread.
    pub fn new(
        me: DaemonId,
        settings: WorkersSettings,
        core: Addr<Control>,
        peers: Addr<Peers>,
        front: watch::Sender<FrontView>,
        clock: Arc<dyn Clock>,
    ) -> Self {
        Self {
            me,
            settings,
            client: awc::Client::default(),
            connections: Connections::new(new_client),
            workers: IndexMap::new(),
            control: Storage::answers(core.clone()),
            core,
            peers,
            front,
            clock,
        }
    }

    fn read_list(&mut self, cx: &mut Context<Self>) {
        let client = self.client.clone();
        let settings = self.settings.clone();
        let fetch =
            async move { listing::fetch(&client, &settings.list_url, settings.call_timeout).await };
        cx.spawn(fetch.into_actor(self).map(|listing, this, _| match listing {
            Ok(listing) => this.listed(&listing),
            Err(e) => log::warn!(reason:% = e; "list-unread"),
        }));
    }

    fn listed(&mut self, listing: &Listing) {
        self.workers = listing
            .workers
            .iter()
            .map(|entry| {
                let timeout = self.settings.call_timeout;
                (entry.vm.clone(), HttpWorker::new(self.connections.clone(), &entry.url, timeout))
            })
            .collect();
        let vms = listing.workers.iter().map(ListedVm::from).collect();
        self.tell(Event::Listed(vms));
        let services = listing.endpoints.iter().map(|e| (e.vm.clone(), e.service.clone()));
        self.core.do_send(KnowEndpoints(services.collect()));
        self.peers.do_send(ListedDaemons(listing.daemons.clone()));
        self.front.send_if_modified(|view| view.listed(listing));
    }

    fn tell(&mut self, event: Event) {
        self.control.tell(event);
    }

    fn call(&mut self, action: Action, cx: &mut Context<Self>) {
        let Some(vm) = vm_of(&action) else { return };
        let Some(worker) = self.workers.get(vm).cloned() else {
            let reason = format!("{vm} is not on the platform's list");
            let refusal = Error::Refused { reason };
            if let Some(event) = refused(action, self.clock.now(), refusal) {
                self.tell(event);
            }
            return;
        };
        let me = self.me.clone();
        let clock = self.clock.clone();
        let call = async move { perform(&worker, me, action, clock.as_ref()).await };
        cx.spawn(call.into_actor(self).map(|event, this, _| {
            if let Some(event) = event {
                this.tell(event);
            }
        }));
    }
}

impl Actor for Workers {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Self::Context) {
        cx.set_mailbox_capacity(RING_CAPACITY);
        self.read_list(cx);
        cx.run_interval(self.settings.list_period, Self::read_list);
    }
}

/// An action on a worker.
#[derive(Message)]
#[rtype(result = "()")]
pub struct WorkerCall(pub Action);

impl Handler<WorkerCall> for Workers {
    type Result = ();

    fn handle(&mut self, msg: WorkerCall, cx: &mut Self::Context) {
        self.call(msg.0, cx);
    }
}

/// Each call sets its own timeout.
fn new_client() -> awc::Client {
    awc::Client::builder().disable_timeout().finish()
}

/// The VM that an action is on, if it is on one.
fn vm_of(action: &Action) -> Option<&VmId> {
    match action {
        Action::Acquire { vm, .. }
        | Action::Sync { vm, .. }
        | Action::Release { vm, .. }
        | Action::Start { vm, .. }
        | Action::Throttle { vm, .. }
        | Action::Checkpoint { vm, .. }
        | Action::Close { vm, .. } => Some(vm),
        _ => None,
    }
}

/// Performs an action and gives the event that answers it.
async fn perform(
    worker: &impl Worker,
    me: DaemonId,
    action: Action,
    clock: &dyn Clock,
) -> Option<Event> {
    let sent = clock.now();
    if valid_until(&action).is_some_and(|until| sent >= until) {
        // A holder that was paused between deciding and sending may no longer be the holder. This
        // is the last look at the clock; what slips past it is refused by its fencing token.
        let reason = "the control lease lapsed before the call was sent".to_owned();
        return refused(action, sent, Error::Refused { reason });
    }
    match action {
        Action::Acquire { vm, ttl } => {
            let result = worker.acquire(AcquireReq { holder: me, ttl }).await;
            Some(Event::Acquired { vm, sent, result })
        }
        Action::Sync { vm, token, ttl, forget } => {
            let result = worker.sync(SyncReq { token, ttl, forget }).await;
            Some(Event::Synced { vm, sent, result })
        }
        Action::Release { token, .. } => {
            // If the answer is lost the lease lapses by itself.
            let _ = worker.release(token).await;
            None
        }
        Action::Start { vm, req, .. } => {
            let (task, attempt) = (req.task, req.attempt);
            let result = worker.start(req).await;
            Some(Event::StartAnswered { vm, task, attempt, result })
        }
        Action::Throttle { req, .. } => {
            // The next usage report shows whether it took, and the policy repeats it.
            let _ = worker.throttle(req).await;
            None
        }
        Action::Checkpoint { vm, req, .. } => {
            let (task, attempt) = (req.task, req.attempt);
            let result = worker.checkpoint(req).await;
            Some(Event::CheckpointAnswered { vm, task, attempt, result })
        }
        Action::Close { vm, req, .. } => {
            let (task, attempt) = (req.task, req.attempt);
            let result = worker.close(req).await;
            Some(Event::CloseAnswered { vm, task, attempt, result })
        }
        _ => None,
    }
}

fn valid_until(action: &Action) -> Option<Duration> {
    match action {
        Action::Start { valid_until, .. }
        | Action::Throttle { valid_until, .. }
        | Action::Checkpoint { valid_until, .. }
        | Action::Close { valid_until, .. } => Some(*valid_until),
        _ => None,
    }
}

/// The event of an action that was not sent.
fn refused(action: Action, sent: Duration, error: Error) -> Option<Event> {
    fn err<T>(error: Error) -> Result<T> {
        Err(error)
    }
    match action {
        Action::Acquire { vm, .. } => Some(Event::Acquired { vm, sent, result: err(error) }),
        Action::Sync { vm, .. } => Some(Event::Synced { vm, sent, result: err(error) }),
        Action::Start { vm, req, .. } => Some(Event::StartAnswered {
            vm,
            task: req.task,
            attempt: req.attempt,
            result: err(error),
        }),
        Action::Checkpoint { vm, req, .. } => Some(Event::CheckpointAnswered {
            vm,
            task: req.task,
            attempt: req.attempt,
            result: err(error),
        }),
        Action::Close { vm, req, .. } => Some(Event::CloseAnswered {
            vm,
            task: req.task,
            attempt: req.attempt,
            result: err(error),
        }),
        _ => None,
    }
}
