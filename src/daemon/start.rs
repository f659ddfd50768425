//! Starting the duties, each on its thread.

use super::{Duties, Error, Result, Started};
use crate::clock::Clock;
use crate::control::{Connect, Control, Rings};
use crate::core::{Core, CoreSettings, PartitionHome};
use crate::front::view::FrontView;
use crate::front::{self, DaemonHandles};
use crate::ids::{DaemonId, PartitionId, Revision};
use crate::membership::MembershipSettings;
use crate::metrics::Metrics;
use crate::peer::{Member, MemberState};
use crate::peers::{self, Peers};
use crate::report::Report;
use crate::request::DispatcherSettings;
use crate::ring::{Ring, WhenFull};
use crate::settings::{PartitionSettings, Settings};
use crate::storage::{Begin, Storage};
use crate::usage::{Duty, Usage};
use crate::workers::{Workers, WorkersSettings};
use actix::prelude::*;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use tokio::sync::{oneshot, watch};

/// Messages to other duties that wait at control.
const WAITING_ACTIONS: usize = 200_000;

/// What every duty is made from.
pub struct Starter {
    pub settings: Settings,
    pub me: DaemonId,
    pub clock: Arc<dyn Clock>,
    pub usage: Arc<Usage>,
}

/// The threads of the duties.
struct Threads {
    arbiters: Vec<Arbiter>,
}

impl Threads {
    /// A thread for each duty, which publishes what it uses.
    fn start(usage: &Arc<Usage>) -> Self {
        let start = |duty: &Duty| {
            let arbiter = Arbiter::new();
            let (usage, duty) = (usage.clone(), *duty);
            arbiter.spawn_fn(move || usage.publish(duty));
            arbiter
        };
        Self { arbiters: Duty::ALL.iter().map(start).collect() }
    }

    fn of(&self, duty: Duty) -> &Arbiter {
        &self.arbiters[duty as usize]
    }
}

impl Starter {
    /// Starts every duty, and listens.
    pub async fn start(self) -> Result<(Duties, Started)> {
        let (view, seen) = watch::channel(FrontView::default());
        let threads = Threads::start(&self.usage);
        let control = self.control(threads.of(Duty::Control))?;
        let storage = self.storage(threads.of(Duty::Storage), &control, &view)?;
        let (member, peers) =
            self.peers(threads.of(Duty::Peers), &control, &storage, &view).await?;
        let workers = self.workers(threads.of(Duty::Workers), &control, &peers, &view);
        self.report(threads.of(Duty::Report), &control, &storage, &seen)?;
        storage.do_send(Begin { me: member.clone(), peers: peers.clone() });
        control.do_send(Connect(Rings {
            storage: Ring::new(storage.clone(), WhenFull::Wait { limit: WAITING_ACTIONS }),
            workers: Ring::new(workers, WhenFull::Wait { limit: WAITING_ACTIONS }),
            peers: Ring::new(peers.clone(), WhenFull::Wait { limit: WAITING_ACTIONS }),
        }));
        let in_flight = Arc::new(AtomicUsize::new(0));
        let handles = DaemonHandles {
            me: self.me.clone(),
            domain: self.settings.domain.clone(),
            lease_ttl: self.settings.leases.ttl,
            partitions: self
                .settings
                .partitions
                .iter()
                .map(|p| p.id)
                .collect::<Arc<[PartitionId]>>(),
            control: control.clone(),
            storage,
            peers: peers.clone(),
            clock: self.clock.clone(),
            view: seen,
            in_flight: in_flight.clone(),
        };
        let dispatch = DispatcherSettings::new(self.me.clone(), self.settings.domain.clone());
        let addr = self.settings.listen.front;
        let front = front::serve(addr, handles, dispatch)
            .map_err(|source| Error::Listen { addr, source })?;
        let peer_addr = member.peer_addr.parse().unwrap_or(self.settings.listen.peer);
        let started = Started { front_addr: front.addr, peer_addr };
        let drain = self.settings.timing.drain;
        let arbiters = threads.arbiters;
        Ok((Duties { control, peers, front, view, in_flight, arbiters, drain }, started))
    }

    fn control(&self, arbiter: &Arbiter) -> Result<Addr<Control>> {
        let home = |p: &PartitionSettings| PartitionHome { id: p.id, domain: p.domain.clone() };
        let leases = self.settings.leases;
        let core = CoreSettings {
            lease_ttl: leases.ttl,
            sync_period: leases.renew,
            drift_margin: leases.drift_margin,
            ..CoreSettings::new(self.me.clone(), self.settings.domain.clone())
                .with_partitions(self.settings.partitions.iter().map(home).collect())
        };
        let core = Core::new(core)?;
        let (me, clock) = (self.me.clone(), self.clock.clone());
        Ok(Control::start_in_arbiter(&arbiter.handle(), move |_| {
            Control::new(me, core, leases.ttl, clock)
        }))
    }

    fn storage(
        &self,
        arbiter: &Arbiter,
        control: &Addr<Control>,
        view: &watch::Sender<FrontView>,
    ) -> Result<Addr<Storage>> {
        let url = self.settings.platform.store.first().ok_or(Error::NoStore)?.clone();
        let (me, control) = (self.me.clone(), Storage::answers(control.clone()));
        let (view, clock) = (view.clone(), self.clock.clone());
        Ok(Storage::start_in_arbiter(&arbiter.handle(), move |_| {
            Storage::new(me, &url, control, view, clock)
        }))
    }

    async fn peers(
        &self,
        arbiter: &Arbiter,
        control: &Addr<Control>,
        storage: &Addr<Storage>,
        view: &watch::Sender<FrontView>,
    ) -> Result<(Member, Addr<Peers>)> {
        let addr = self.settings.listen.peer;
        let (id, domain) = (self.me.clone(), self.settings.domain.clone());
        let (control, storage) = (control.clone(), storage.clone());
        let (view, clock, usage) = (view.clone(), self.clock.clone(), self.usage.clone());
        let (tx, rx) = oneshot::channel();
        arbiter.spawn(async move {
            let member = |bound: SocketAddr| Member {
                id,
                domain,
                peer_addr: bound.to_string(),
                state: MemberState::Serving,
                revision: Revision(0),
            };
            let told = Ring::new(control.clone(), WhenFull::Drop);
            let (kept, counted) = (storage.clone(), usage.clone());
            let start = |member: Member| {
                let settings = MembershipSettings::default();
                Peers::new(member, settings, told, kept, view, clock, counted).start()
            };
            let served = peers::server::serve(addr, member, start, control, storage, usage).await;
            // The starter waits for this.
            let _ = tx.send(served);
        });
        let served = rx.await.map_err(|_| Error::Ended)?;
        served.map_err(|source| Error::Listen { addr, source })
    }

    fn workers(
        &self,
        arbiter: &Arbiter,
        control: &Addr<Control>,
        peers: &Addr<Peers>,
        view: &watch::Sender<FrontView>,
    ) -> Addr<Workers> {
        let calls = WorkersSettings {
            list_url: self.settings.platform.list.clone(),
            list_period: self.settings.timing.list_interval,
            call_timeout: self.settings.timing.worker_timeout,
        };
        let (me, control) = (self.me.clone(), control.clone());
        let (peers, view, clock) = (peers.clone(), view.clone(), self.clock.clone());
        Workers::start_in_arbiter(&arbiter.handle(), move |_| {
            Workers::new(me, calls, control, peers, view, clock)
        })
    }

    fn report(
        &self,
        arbiter: &Arbiter,
        control: &Addr<Control>,
        storage: &Addr<Storage>,
        view: &watch::Receiver<FrontView>,
    ) -> Result<()> {
        let metrics = Arc::new(Metrics::new(&self.settings.metrics)?);
        let (control, storage) = (control.clone(), storage.clone());
        let (view, usage) = (view.clone(), self.usage.clone());
        Report::start_in_arbiter(&arbiter.handle(), move |_| {
            Report::new(metrics, usage, control, storage, view)
        });
        Ok(())
    }
}
