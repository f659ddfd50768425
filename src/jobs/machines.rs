//! The duty that lists machines, orders their upkeep, and keeps the waves' records.
//!
//! What it does is decided in control, by [`upkeep::duty`](crate::upkeep::duty); each call's answer
//! goes back there.

use super::Platform;
use super::control::{Control, Upkept};
use super::records::Watched;
use crate::clock::Clock;
use crate::job::progress::{decode, encode};
use crate::kv::{self, Condition, Kv, Put, Rev, Txn};
use crate::ring::RING_CAPACITY;
use crate::upkeep::duty::{Action, Event};
use crate::upkeep::{MachinePort, Record};
use actix::prelude::*;
use bytes::Bytes;
use std::sync::Arc;

/// The duty.
pub struct Machines<P: Platform> {
    platform: P,
    machines: P::Machines,
    store: Watched<P::Store>,
    control: Addr<Control>,
    clock: Arc<dyn Clock>,
}

impl<P: Platform> Machines<P> {
    /// A duty; made on its own thread.
    pub fn new(platform: P, control: Addr<Control>, clock: Arc<dyn Clock>) -> Self {
        let (machines, store) = (platform.machines(), platform.store());
        let store = Watched::new(store, clock.clone());
        Self { platform, machines, store, control, clock }
    }
}

impl<P: Platform> Actor for Machines<P> {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Self::Context) {
        cx.set_mailbox_capacity(RING_CAPACITY);
    }
}

/// Something to do for a wave.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Upkeep(pub Action);

impl<P: Platform> Handler<Upkeep> for Machines<P> {
    type Result = ();

    fn handle(&mut self, msg: Upkeep, _: &mut Self::Context) {
        let (machines, store) = (self.machines.clone(), self.store.clone());
        let (platform, control) = (self.platform.clone(), self.control.clone());
        let clock = self.clock.clone();
        actix::spawn(async move {
            let event = match msg.0 {
                Action::List => {
                    let sent = clock.now();
                    Event::Listed { sent, machines: machines.list().await }
                }
                Action::Call(req) => {
                    let result = machines.upkeep(&req).await;
                    Event::Called { wave: req.wave, machine: req.machine, result }
                }
                Action::Read { wave } => read(&store, wave).await,
                Action::Write { wave, rev, record, state } => {
                    let status = platform.wave_state(wave, state);
                    write(&store, wave, rev, record, status).await
                }
                // Control's own.
                Action::Vacate { .. } | Action::Note(_) => return,
            };
            control.do_send(Upkept(event));
        });
    }
}

async fn read<S: Kv>(store: &Watched<S>, wave: u64) -> Event {
    let key = Record::key(wave);
    match store.call(|store| store.get(&key)).await {
        Ok(None) => Event::Recorded { wave, rev: Rev::ABSENT, record: Record::default() },
        Ok(Some(item)) => match decode(&item.value) {
            Ok(record) => Event::Recorded { wave, rev: item.rev, record },
            Err(_) => Event::NotRecorded { wave },
        },
        Err(_) => Event::NotRecorded { wave },
    }
}

async fn write<S: Kv>(
    store: &Watched<S>,
    wave: u64,
    rev: Rev,
    record: Record,
    status: Put,
) -> Event {
    let key = Record::key(wave);
    let value = Bytes::from(encode(&record));
    let txn = Txn {
        conditions: vec![Condition { key: key.clone(), rev }],
        puts: vec![Put { key, value, lease: None }, status],
        deletes: Vec::new(),
    };
    let written: kv::Result<Rev> = store.call(|store| store.commit(&txn)).await;
    match written {
        Ok(rev) => Event::Recorded { wave, rev, record },
        // Whether it took effect is read back before anything else is decided.
        Err(_) => Event::NotRecorded { wave },
    }
}
