//! One daemon: its duties on their threads, from start to planned stop.

mod start;
mod stop;

use crate::clock::Clock;
use crate::control::{Control, Told};
use crate::core::Event;
use crate::front::Front;
use crate::front::view::{FrontView, Stage};
use crate::ids::{DaemonId, DomainId};
use crate::peers::Peers;
use crate::settings::Settings;
use crate::usage::Usage;
use actix::prelude::*;
use start::Starter;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime};
use stop::{Stop, run_until_stopped};
use tokio::sync::{mpsc, watch};

/// Result of starting a daemon.
pub type Result<T> = std::result::Result<T, Error>;

/// A daemon that can't start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("can't listen on {addr} ({source}); free the port or change `listen` in the settings")]
    Listen { addr: SocketAddr, source: std::io::Error },
    #[error("the state charts can't be loaded: {0}")]
    Chart(#[from] crate::chart::Error),
    #[error(transparent)]
    Metrics(#[from] crate::metrics::Error),
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
    usage: Arc<Usage>,
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
        let domain = settings.domain.clone();
        let usage = Arc::new(Usage::new());
        let starter = Starter { settings, me: id.clone(), clock, usage: usage.clone() };
        let thread = std::thread::spawn(move || {
            System::new().block_on(async move {
                match starter.start().await {
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
        Ok(Self { id, usage, domain, front_addr, peer_addr, stop, thread, stage: PhantomData })
    }

    /// Begins a planned stop: takes nothing new, finishes what is in flight, gives the VMs back.
    pub fn drain(mut self) -> Daemon<Draining> {
        // A daemon that has already ended has nothing left to drain.
        let _ = self.stop.send(Stop::Drain);
        Daemon {
            id: self.id.clone(),
            usage: self.usage.clone(),
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

    /// What it has used since its start.
    pub fn usage(&self) -> &Usage {
        &self.usage
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

impl Duties {
    fn set_stage(&self, stage: Stage) {
        self.view.send_modify(|view| view.stage = stage);
    }

    fn tell_core(&self, event: Event) {
        self.control.do_send(Told(event));
    }
}
