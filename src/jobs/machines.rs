//! The actor that lists machines, orders their upkeep, and stores the records of upkeep waves.
//!
//! Control decides what to do, in [`upkeep::duty`](crate::upkeep::duty); the result of each call is
//! sent back to it.

use super::Platform;
use super::control::{Control, UpkeepResult};
use super::records::MonitoredStore;
use crate::clock::Clock;
use crate::job::progress::{decode, encode};
use crate::kv::{self, Condition, KvStore, Put, Rev, Txn};
use crate::ring::RING_CAPACITY;
use crate::upkeep::duty::{Action, Event};
use crate::upkeep::{MachineApi, WaveRecord};
use actix::prelude::*;
use bytes::Bytes;
use std::sync::Arc;

/// Actor for machine upkeep.
pub struct Machines<P: Platform> {
    platform: P,
    machines: P::Machines,
    store: MonitoredStore<P::Store>,
    control: Addr<Control>,
    clock: Arc<dyn Clock>,
}

impl<P: Platform> Machines<P> {
    /// Creates the actor. Must be called on the actor's thread.
    pub fn new(platform: P, control: Addr<Control>, clock: Arc<dyn Clock>) -> Self {
        let (machines, store) = (platform.machines(), platform.store());
        let store = MonitoredStore::new(store, clock.clone());
        Self { platform, machines, store, control, clock }
    }
}

impl<P: Platform> Actor for Machines<P> {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Self::Context) {
        cx.set_mailbox_capacity(RING_CAPACITY);
    }
}

/// Carries out an action for an upkeep wave.
#[derive(Message)]
#[rtype(result = "()")]
pub struct UpkeepAction(pub Action);

impl<P: Platform> Handler<UpkeepAction> for Machines<P> {
    type Result = ();

    fn handle(&mut self, msg: UpkeepAction, _: &mut Self::Context) {
        let (machines, store) = (self.machines.clone(), self.store.clone());
        let (platform, control) = (self.platform.clone(), self.control.clone());
        let clock = self.clock.clone();
        actix::spawn(async move {
            let event = match msg.0 {
                Action::List => {
                    let sent = clock.now();
                    Event::Listed { sent, machines: machines.list().await }
                }
                Action::StartUpkeep(req) => {
                    let result = machines.start_upkeep(&req).await;
                    Event::UpkeepAnswered { wave: req.wave, machine: req.machine, result }
                }
                Action::Read { wave } => read_record(&store, wave).await,
                Action::Write { wave, rev, record, state } => {
                    let status = platform.wave_status(wave, state);
                    write_record(&store, wave, rev, record, status).await
                }
                // Handled by control itself.
                Action::Vacate { .. } | Action::Note(_) => return,
            };
            control.do_send(UpkeepResult(event));
        });
    }
}

async fn read_record<S: KvStore>(store: &MonitoredStore<S>, wave: u64) -> Event {
    let key = WaveRecord::key(wave);
    match store.call(|store| store.get(&key)).await {
        Ok(None) => Event::Recorded { wave, rev: Rev::ABSENT, record: WaveRecord::default() },
        Ok(Some(item)) => match decode(&item.value) {
            Ok(record) => Event::Recorded { wave, rev: item.rev, record },
            Err(_) => Event::NotRecorded { wave },
        },
        Err(_) => Event::NotRecorded { wave },
    }
}

async fn write_record<S: KvStore>(
    store: &MonitoredStore<S>,
    wave: u64,
    rev: Rev,
    record: WaveRecord,
    status: Put,
) -> Event {
    let key = WaveRecord::key(wave);
    let value = Bytes::from(encode(&record));
    let txn = Txn {
        conditions: vec![Condition { key: key.clone(), rev }],
        puts: vec![Put { key, value, lease: None }, status],
        deletes: Vec::new(),
    };
    let written: kv::Result<Rev> = store.call(|store| store.commit(&txn)).await;
    match written {
        Ok(rev) => Event::Recorded { wave, rev, record },
        // The write may have taken effect; the record is read back before the next decision.
        Err(_) => Event::NotRecorded { wave },
    }
}
