//! Starts the daemon's actors on their threads, and stops them.

use super::calls::JobClient;
use super::control::{
    ACTION_RING_POLICY, ActorHandles, Connect, Control, Drain, HasShards, ReleaseShards,
};
use super::links::{self, PeerLinks};
use super::machines::Machines;
use super::orders::{ExternalCalls, RequestPermits};
use super::records::{Records, Shutdown};
use super::settings::Settings;
use super::view::{JobDirectory, View};
use super::{Platform, status};
use crate::clock::Clock;
use crate::cluster::{Member, MemberStage};
use crate::ids::DaemonId;
use crate::inbound::Port;
use crate::journal::Journal;
use crate::note::Note;
use crate::panics;
use crate::ring::Ring;
use actix::prelude::*;
use actix_web::web;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};
use tokio::sync::{oneshot, watch};

pub type Result<T> = std::result::Result<T, Error>;

/// An error that prevents the daemon from starting.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("can't listen on {addr} for other daemons ({source}); free the port or widen `ports`")]
    Listen { addr: SocketAddr, source: io::Error },
    #[error("can't accept connections from other daemons ({source}); raise the open file limit")]
    Serve { source: io::Error },
    #[error("an actor stopped during startup; see the log")]
    Ended,
}

/// Shortest lease of a registration: three renewals may be lost.
const MIN_REGISTRATION_TTL: Duration = Duration::from_secs(4);

/// A running daemon.
pub struct Daemon<P: Platform> {
    id: DaemonId,
    control: Addr<Control>,
    links: Addr<PeerLinks>,
    records: Addr<Records<P>>,
    view: watch::Receiver<Arc<View>>,
    directory: Arc<Mutex<JobDirectory>>,
    clock: Arc<dyn Clock>,
    journal: Journal,
    arbiters: Vec<Arbiter>,
}

impl<P: Platform> Daemon<P> {
    /// Starts all actors. Must be called within an actix system.
    pub async fn start(
        platform: P,
        settings: &Settings,
        clock: Arc<dyn Clock>,
        journal: Journal,
    ) -> Result<Self> {
        let addr = settings.peer_addr();
        let listener = TcpListener::bind(addr).map_err(|source| Error::Listen { addr, source })?;
        let addr = listener.local_addr().map_err(|source| Error::Listen { addr, source })?;
        let me = member(settings, addr, &*clock);
        let id = me.id.clone();
        let (publish, view) = watch::channel(Arc::new(View::default()));
        let directory: Arc<Mutex<JobDirectory>> = Arc::default();
        let arbiters: Vec<Arbiter> = (0..4).map(|_| Arbiter::new()).collect();
        for arbiter in &arbiters {
            arbiter.spawn_fn(panics::mark_vital);
        }

        let control = {
            let (me, clock, journal) = (me.clone(), clock.clone(), journal.clone());
            let (shard_settings, directory) = (settings.shard_settings(), directory.clone());
            let config_in_force = Duration::from_millis(settings.bounds.config_in_force_ms);
            Control::start_in_arbiter(&arbiters[0].handle(), move |_| {
                Control::new(
                    me,
                    shard_settings,
                    config_in_force,
                    clock,
                    journal,
                    publish,
                    directory,
                )
            })
        };
        let records = {
            let lease_ttl =
                MIN_REGISTRATION_TTL.max(Duration::from_millis(settings.store.min_lease_ms));
            let announce_interval = Duration::from_millis(settings.store.announce_ms);
            let stale = settings.shard_settings().stale_owner_extension();
            let (me, platform) = (me.clone(), platform.clone());
            let (control, clock) = (control.clone().recipient(), clock.clone());
            Records::start_in_arbiter(&arbiters[1].handle(), move |_| {
                Records::new(me, platform, lease_ttl, announce_interval, stale, control, clock)
            })
        };
        let machines = {
            let (platform, control, clock) = (platform.clone(), control.clone(), clock.clone());
            Machines::start_in_arbiter(&arbiters[1].handle(), move |_| {
                Machines::new(platform, control, clock)
            })
        };
        let external_calls = {
            let (control, clock) = (control.clone(), clock.clone());
            ExternalCalls::start_in_arbiter(&arbiters[2].handle(), move |_| {
                ExternalCalls::new(&platform, control, clock)
            })
        };
        let permits = external_calls.clone().recipient();
        let port = Port::new(settings.machine.limits().peers(), clock.clone());
        let port = port.with_journal("peers", journal.clone());
        let links =
            start_links(&arbiters[3], listener, port, &control, permits, clock.clone()).await?;
        control.do_send(Connect(ActorHandles {
            upkeep: machines.recipient(),
            permits: external_calls.clone().recipient(),
            vm_calls: Ring::new(external_calls, ACTION_RING_POLICY),
            links: links.clone(),
            claims: records.clone().recipient(),
            commits: records.clone().recipient(),
            removals: records.clone().recipient(),
            heads: records.clone().recipient(),
            confirmations: records.clone().recipient(),
        }));
        journal.write(Note::DaemonStarted {
            daemon: id.clone(),
            domain: settings.domain.clone(),
            front: settings.listen.front.to_string(),
            peer: addr.to_string(),
            release: env!("CARGO_PKG_VERSION"),
        });
        Ok(Self { id, control, links, records, view, directory, clock, journal, arbiters })
    }

    /// Creates a client for jobs. Each thread needs its own.
    pub fn job_client(&self) -> JobClient {
        JobClient::new(
            self.view.clone(),
            self.directory.clone(),
            self.control.clone(),
            self.links.clone(),
            self.records.clone().recipient(),
            self.clock.clone(),
        )
    }

    /// Returns the configuration of the HTTP endpoints for operators.
    pub fn operator_routes(&self) -> impl Fn(&mut web::ServiceConfig) + Clone + Send + use<P> {
        status::mount(self.control.clone())
    }

    /// Subscribes to the view that control publishes.
    pub fn view(&self) -> watch::Receiver<Arc<View>> {
        self.view.clone()
    }

    /// Starts a planned stop, and waits up to `limit` until every shard is handed over, also those
    /// whose claim is on its way, and every offer of one is accepted.
    pub async fn drain(&self, limit: Duration) {
        let shards = usize::from(self.control.send(HasShards).await.unwrap_or(false));
        self.journal.write(Note::DaemonStopping { daemon: self.id.clone(), shards });
        self.control.do_send(Drain);
        self.wait_until_no_shards(limit).await;
    }

    /// Releases the shards that no other daemon has taken, and waits up to `limit` until that is
    /// done.
    pub async fn release_shards(&self, limit: Duration) {
        self.control.do_send(ReleaseShards);
        self.wait_until_no_shards(limit).await;
    }

    async fn wait_until_no_shards(&self, limit: Duration) {
        let until = self.clock.now() + limit;
        while self.clock.now() < until {
            if !self.control.send(HasShards).await.unwrap_or(false) {
                return;
            }
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }

    /// Stops all actors.
    pub fn shut_down(self, open_calls: usize) {
        self.records.do_send(Shutdown);
        self.journal.write(Note::DaemonStopped { daemon: self.id.clone(), open_calls });
        self.journal.close(Duration::from_millis(200));
        for arbiter in &self.arbiters {
            arbiter.stop();
        }
    }
}

/// Interval between checks for remaining shards.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

async fn start_links(
    arbiter: &Arbiter,
    listener: TcpListener,
    port: Port,
    control: &Addr<Control>,
    permits: Recipient<RequestPermits>,
    clock: Arc<dyn Clock>,
) -> Result<Addr<PeerLinks>> {
    let links = {
        let control = control.clone();
        PeerLinks::start_in_arbiter(&arbiter.handle(), move |_| PeerLinks::new(control, clock))
    };
    let (tx, rx) = oneshot::channel();
    let (served, control) = (links.clone(), control.clone());
    arbiter.spawn(async move {
        let served = links::serve(listener, port, served, control, permits).await;
        // `start_links` is waiting for this result, so the receiver exists.
        let _ = tx.send(served);
    });
    let served = rx.await.map_err(|_| Error::Ended)?;
    served.map_err(|source| Error::Serve { source })?;
    Ok(links)
}

fn member(settings: &Settings, addr: SocketAddr, clock: &dyn Clock) -> Member {
    let start = clock.wall().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    Member {
        id: DaemonId::new(&format!("{}@{}", settings.name, start.as_millis())),
        name: settings.name.clone(),
        domain: settings.domain.clone(),
        addr: addr.to_string(),
        stage: MemberStage::Serving,
        milli_cores: settings.machine.milli_cores(),
    }
}
