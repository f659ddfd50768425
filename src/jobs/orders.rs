//! The actor that calls VMs and the permit service.
//!
//! Calls to the same VM run concurrently, so that a poll that waits for news does not delay a
//! start. The result of each call, or what is known if there is none, is sent back to control.

use super::Platform;
use super::control::{Control, ExternalCallResult};
use crate::clock::Clock;
use crate::permit::{self, PermitApi, PermitReq, PermitResp};
use crate::ring::RING_CAPACITY;
use crate::shard::{Action, Event};
use crate::vm::{Fence, VmApi};
use actix::prelude::*;
use std::sync::Arc;

/// Actor for calls to VMs and the permit service.
pub struct ExternalCalls<P: Platform> {
    vms: P::Vms,
    permits: P::Permits,
    control: Addr<Control>,
    clock: Arc<dyn Clock>,
}

impl<P: Platform> ExternalCalls<P> {
    /// Creates the actor. Must be called on the actor's thread.
    pub fn new(platform: &P, control: Addr<Control>, clock: Arc<dyn Clock>) -> Self {
        Self { vms: platform.vms(), permits: platform.permits(), control, clock }
    }
}

impl<P: Platform> Actor for ExternalCalls<P> {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Self::Context) {
        cx.set_mailbox_capacity(RING_CAPACITY);
    }
}

/// Calls a VM on behalf of a shard's owner.
#[derive(Message)]
#[rtype(result = "()")]
pub struct VmCall {
    pub shard: Arc<str>,
    pub fence: Fence,
    pub action: Action,
}

impl<P: Platform> Handler<VmCall> for ExternalCalls<P> {
    type Result = ();

    fn handle(&mut self, msg: VmCall, _: &mut Self::Context) {
        let (vms, control, clock) = (self.vms.clone(), self.control.clone(), self.clock.clone());
        actix::spawn(async move {
            if let Some(event) = call_vm(&vms, msg.action, &*clock).await {
                control.do_send(ExternalCallResult { shard: msg.shard, fence: msg.fence, event });
            }
        });
    }
}

/// Asks the permit service from this daemon.
#[derive(Message)]
#[rtype(result = "permit::Result<PermitResp>")]
pub struct RequestPermits(pub PermitReq);

impl<P: Platform> Handler<RequestPermits> for ExternalCalls<P> {
    type Result = ResponseFuture<permit::Result<PermitResp>>;

    fn handle(&mut self, msg: RequestPermits, _: &mut Self::Context) -> Self::Result {
        let permits = self.permits.clone();
        Box::pin(async move { permits.request_permits(&msg.0).await })
    }
}

async fn call_vm(vms: &impl VmApi, action: Action, clock: &dyn Clock) -> Option<Event> {
    match action {
        Action::Poll { vm, req } => {
            let sent = clock.now();
            let result = vms.poll(&vm, req).await;
            Some(Event::Polled { vm: vm.id, sent, result })
        }
        Action::Start { vm, req } => {
            let (task, run) = (req.task, req.run);
            let result = vms.start(&vm, req).await;
            Some(Event::Started { vm: vm.id, task, run, result })
        }
        Action::Stop { vm, req } => {
            let result = vms.stop(&vm, req).await;
            Some(Event::Stopped { vm: vm.id, task: req.task, run: req.run, result })
        }
        Action::Pace { vm, req } => {
            let result = vms.set_pace(&vm, req).await;
            let (task, run, percent) = (req.task, req.run, req.percent);
            Some(Event::Paced { vm: vm.id, task, run, percent, result })
        }
        _ => None,
    }
}
