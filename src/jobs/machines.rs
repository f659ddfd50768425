//! The actor that lists machines, orders their upkeep, and stores the records of upkeep waves.
//!
//! Control decides what to do, in [`upkeep::duty`](crate::upkeep::duty); the result of each call is
//! sent back to it.

use super::Platform;
use super::control::{Control, UpkeepResult};
use super::records::MonitoredStore;
use crate::clock::Clock;
use crate::kv::{self, Condition, KvStore, Put, Rev, Txn};
use crate::ring::RING_CAPACITY;
use crate::upkeep::duty::{Action, Event};
use crate::upkeep::{MachineApi, StoredWave, WaveRecord};
use actix::prelude::*;
use bytes::Bytes;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

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
                Action::Read { wave } => read_record(&store, wave, &*clock).await,
                Action::Write { wave, rev, record, open_for, state } => {
                    let status = platform.wave_status(wave, state);
                    let stored = StoredWave::new(record, open_for, wall(&*clock));
                    write_record(&store, wave, rev, stored, status, &*clock).await
                }
                // Handled by control itself.
                Action::Vacate { .. } | Action::Note(_) => return,
            };
            control.do_send(UpkeepResult(event));
        });
    }
}

fn wall(clock: &dyn Clock) -> Duration {
    clock.wall().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default()
}

fn recorded(wave: u64, rev: Rev, stored: StoredWave, clock: &dyn Clock) -> Event {
    let open_for = stored.open_for(wall(clock));
    Event::Recorded { wave, rev, record: stored.record, open_for }
}

async fn read_record<S: KvStore>(store: &MonitoredStore<S>, wave: u64, clock: &dyn Clock) -> Event {
    let key = WaveRecord::key(wave);
    match store.call(|store| store.get(&key)).await {
        Ok(None) => recorded(wave, Rev::ABSENT, StoredWave::default(), clock),
        Ok(Some(item)) => match StoredWave::decode(&item.value) {
            Ok(stored) => recorded(wave, item.rev, stored, clock),
            Err(_) => Event::NotRecorded { wave },
        },
        Err(_) => Event::NotRecorded { wave },
    }
}

async fn write_record<S: KvStore>(
    store: &MonitoredStore<S>,
    wave: u64,
    rev: Rev,
    stored: StoredWave,
    status: Put,
    clock: &dyn Clock,
) -> Event {
    let key = WaveRecord::key(wave);
    let value = Bytes::from(stored.encode());
    let txn = Txn {
        conditions: vec![Condition { key: key.clone(), rev }],
        puts: vec![Put { key, value, lease: None }, status],
        deletes: Vec::new(),
    };
    let written: kv::Result<Rev> = store.call(|store| store.commit(&txn)).await;
    match written {
        Ok(rev) => recorded(wave, rev, stored, clock),
        // The write may have taken effect; the record is read back before the next decision.
        Err(_) => Event::NotRecorded { wave },
    }
}
