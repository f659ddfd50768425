//! One daemon: its duties on their threads, from start to planned stop.

mod stop;

use crate::clock::Clock;
use crate::control::{Connect, Control, Rings, Told};
use crate::core::{Core, CoreSettings, PartitionHome};
use crate::front::view::{FrontView, Stage};
use crate::front::{self, Front, Links};
use crate::ids::{DaemonId, DomainId, PartitionId, Revision};
use crate::membership::MembershipSettings;
use crate::peer::{Member, MemberState};
use crate::peers::{self, Peers};
use crate::request::DispatcherSettings;
use crate::ring::{Ring, WhenFull};
use crate::settings::Settings;
use crate::storage::{Begin, Storage};
use crate::workers::{Workers, WorkersSettings};
use actix::prelude::*;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime};
use stop::{Stop, run_until_stopped};
use tokio::sync::{mpsc, oneshot, watch};

/// Result of starting a daemon.
pub type Result<T> = std::result::Result<T, Error>;

/// Messages to other duties that wait at control.
const WAITING_ACTIONS: usize = 200_000;

/// A daemon that can't start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("can't listen on {addr} ({source}); free the port or change `listen` in the settings")]
    Listen { addr: SocketAddr, source: std::io::Error },
    #[error("the state charts can't be loaded: {0}")]
    Chart(#[from] crate::chart::Error),
    #[error("`platform.store` is empty; name at least one URL")]
    NoStore,
    #[error("a duty ended while it started; see the log")]
    Ended,
}

/// A daemon that takes requests and work.
pub enum Serving {}

/// A daemon that finishes what it has.
pub enum Draining {}

/// A daemon in one stage of its life. Dropping it stops it at once, as a crash would.
pub struct Daemon<S> {
    id: DaemonId,
    domain: DomainId,
    front_addr: SocketAddr,
    peer_addr: SocketAddr,
    stop: mpsc::UnboundedSender<Stop>,
    thread: Option<JoinHandle<()>>,
    stage: PhantomData<S>,
}

/// What a started daemon tells its starter.
struct Started {
    front_addr: SocketAddr,
    peer_addr: SocketAddr,
}

/// The duties of a running daemon.
struct Duties {
    control: Addr<Control>,
    peers: Addr<Peers>,
    front: Front,
    view: watch::Sender<FrontView>,
    in_flight: Arc<AtomicUsize>,
    arbiters: Vec<Arbiter>,
    drain: Duration,
}

impl Daemon<Serving> {
    /// Starts a daemon on threads of its own, and returns once it listens.
    pub fn start(settings: Settings, clock: Arc<dyn Clock>) -> Result<Self> {
        let since = clock.wall().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let id = DaemonId::new(&format!("{}@{}", settings.name, since.as_millis()));
        let (stop, stops) = mpsc::unbounded_channel();
        let (tx, rx) = std::sync::mpsc::channel();
        let me = id.clone();
        let domain = settings.domain.clone();
        let thread = std::thread::spawn(move || {
            System::new().block_on(async move {
                match start_duties(&settings, me, clock).await {
                    Ok((duties, started)) => {
                        // The starter waits for this.
                        let _ = tx.send(Ok(started));
                        run_until_stopped(duties, stops).await;
                    }
                    Err(e) => {
                        let _ = tx.send(Err(e));
                    }
                }
            });
        });
        let Started { front_addr, peer_addr } = rx.recv().map_err(|_| Error::Ended)??;
        log::info!(daemon = id.as_str(), front:% = front_addr; "daemon-started");
        let thread = Some(thread);
        Ok(Self { id, domain, front_addr, peer_addr, stop, thread, stage: PhantomData })
    }

    /// Begins a planned stop: takes nothing new, finishes what is in flight, gives the VMs back.
    pub fn drain(mut self) -> Daemon<Draining> {
        // A daemon that has already ended has nothing left to drain.
        let _ = self.stop.send(Stop::Drain);
        Daemon {
            id: self.id.clone(),
            domain: self.domain.clone(),
            front_addr: self.front_addr,
            peer_addr: self.peer_addr,
            stop: self.stop.clone(),
            thread: self.thread.take(),
            stage: PhantomData,
        }
    }
}

impl Daemon<Draining> {
    /// Waits for the end, at most as long as the settings allow.
    pub fn wait(mut self) {
        if let Some(thread) = self.thread.take() {
            // A panic there was already printed by its own thread.
            let _ = thread.join();
        }
    }
}

impl<S> Daemon<S> {
    /// This run of the daemon.
    pub fn id(&self) -> &DaemonId {
        &self.id
    }

    /// Its failure domain.
    pub fn domain(&self) -> &DomainId {
        &self.domain
    }

    /// Where callers and operators connect.
    pub fn front_addr(&self) -> SocketAddr {
        self.front_addr
    }

    /// Where other daemons connect.
    pub fn peer_addr(&self) -> SocketAddr {
        self.peer_addr
    }
}

impl<S> Drop for Daemon<S> {
    fn drop(&mut self) {
        if let Some(thread) = self.thread.take() {
            // It may have ended by itself.
            let _ = self.stop.send(Stop::Now);
            let _ = thread.join();
        }
    }
}

async fn start_duties(
    settings: &Settings,
    me: DaemonId,
    clock: Arc<dyn Clock>,
) -> Result<(Duties, Started)> {
    let (view, seen) = watch::channel(FrontView::default());
    let arbiters: Vec<Arbiter> = (0..4).map(|_| Arbiter::new()).collect();
    let control = start_control(&arbiters[0], settings, &me, &clock)?;
    let storage = start_storage(&arbiters[1], settings, &me, &control, &view, &clock)?;
    let (member, peers) =
        start_peers(&arbiters[2], settings, &me, &control, &storage, &view, &clock).await?;
    let workers = start_workers(&arbiters[3], settings, &me, &control, &peers, &view, &clock);
    storage.do_send(Begin { me: member.clone(), peers: peers.clone() });
    control.do_send(Connect(Rings {
        storage: Ring::new(storage.clone(), WhenFull::Wait { limit: WAITING_ACTIONS }),
        workers: Ring::new(workers, WhenFull::Wait { limit: WAITING_ACTIONS }),
        peers: Ring::new(peers.clone(), WhenFull::Wait { limit: WAITING_ACTIONS }),
    }));
    let in_flight = Arc::new(AtomicUsize::new(0));
    let links = Links {
        me: me.clone(),
        domain: settings.domain.clone(),
        partitions: settings.partitions.iter().map(|p| p.id).collect::<Arc<[PartitionId]>>(),
        control: control.clone(),
        storage,
        peers: peers.clone(),
        clock,
        view: seen,
        in_flight: in_flight.clone(),
    };
    let dispatch = DispatcherSettings::new(me, settings.domain.clone());
    let addr = settings.listen.front;
    let front =
        front::serve(addr, links, dispatch).map_err(|source| Error::Listen { addr, source })?;
    let peer_addr = member.peer_addr.parse().unwrap_or(settings.listen.peer);
    let started = Started { front_addr: front.addr, peer_addr };
    let drain = settings.timing.drain;
    Ok((Duties { control, peers, front, view, in_flight, arbiters, drain }, started))
}

fn start_control(
    arbiter: &Arbiter,
    settings: &Settings,
    me: &DaemonId,
    clock: &Arc<dyn Clock>,
) -> Result<Addr<Control>> {
    let partitions = settings
        .partitions
        .iter()
        .map(|p| PartitionHome { id: p.id, domain: p.domain.clone() })
        .collect();
    let core = CoreSettings {
        lease_ttl: settings.leases.ttl,
        sync_period: settings.leases.renew,
        drift_margin: settings.leases.drift_margin,
        ..CoreSettings::new(me.clone(), settings.domain.clone()).with_partitions(partitions)
    };
    let core = Core::new(core)?;
    let (me, clock) = (me.clone(), clock.clone());
    Ok(Control::start_in_arbiter(&arbiter.handle(), move |_| Control::new(me, core, clock)))
}

fn start_storage(
    arbiter: &Arbiter,
    settings: &Settings,
    me: &DaemonId,
    control: &Addr<Control>,
    view: &watch::Sender<FrontView>,
    clock: &Arc<dyn Clock>,
) -> Result<Addr<Storage>> {
    let url = settings.platform.store.first().ok_or(Error::NoStore)?.clone();
    let (me, control) = (me.clone(), Storage::answers(control.clone()));
    let (view, clock) = (view.clone(), clock.clone());
    Ok(Storage::start_in_arbiter(&arbiter.handle(), move |_| {
        Storage::new(me, &url, control, view, clock)
    }))
}

async fn start_peers(
    arbiter: &Arbiter,
    settings: &Settings,
    me: &DaemonId,
    control: &Addr<Control>,
    storage: &Addr<Storage>,
    view: &watch::Sender<FrontView>,
    clock: &Arc<dyn Clock>,
) -> Result<(Member, Addr<Peers>)> {
    let addr = settings.listen.peer;
    let (id, domain) = (me.clone(), settings.domain.clone());
    let (control, storage) = (control.clone(), storage.clone());
    let (view, clock) = (view.clone(), clock.clone());
    let (tx, rx) = oneshot::channel();
    arbiter.spawn(async move {
        let member = |bound: SocketAddr| Member {
            id,
            domain,
            peer_addr: bound.to_string(),
            state: MemberState::Serving,
            revision: Revision(0),
        };
        let (told, kept) = (Ring::new(control.clone(), WhenFull::Drop), storage.clone());
        let start = |member: Member| {
            Peers::new(member, MembershipSettings::default(), told, kept, view, clock).start()
        };
        let served = peers::server::serve(addr, member, start, control, storage).await;
        // The starter waits for this.
        let _ = tx.send(served);
    });
    let served = rx.await.map_err(|_| Error::Ended)?;
    served.map_err(|source| Error::Listen { addr, source })
}

fn start_workers(
    arbiter: &Arbiter,
    settings: &Settings,
    me: &DaemonId,
    control: &Addr<Control>,
    peers: &Addr<Peers>,
    view: &watch::Sender<FrontView>,
    clock: &Arc<dyn Clock>,
) -> Addr<Workers> {
    let calls = WorkersSettings {
        list_url: settings.platform.list.clone(),
        list_period: settings.timing.list_interval,
        call_timeout: settings.timing.worker_timeout,
    };
    let (me, control) = (me.clone(), Storage::answers(control.clone()));
    let (peers, view, clock) = (peers.clone(), view.clone(), clock.clone());
    Workers::start_in_arbiter(&arbiter.handle(), move |_| {
        Workers::new(me, calls, control, peers, view, clock)
    })
}

impl Duties {
    fn set_stage(&self, stage: Stage) {
        self.view.send_modify(|view| view.stage = stage);
    }

    fn tell_core(&self, event: crate::core::Event) {
        self.control.do_send(Told(event));
    }
}
