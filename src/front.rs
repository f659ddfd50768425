//! The HTTP front end for callers, operators and the platform's load balancer.
//!
//! Requests of callers go through the dispatcher. API calls of operators are answered from the
//! other parts of the daemon, or forwarded to the daemon that has the data.

mod config;
mod explain;
pub mod forward;
mod shares;
mod status;
mod tasks;
pub mod view;

use crate::api::{ApiError, ErrorKind};
use crate::clock::Clock;
use crate::control::Control;
use crate::ids::{DaemonId, DomainId, PartitionId};
use crate::peers::Peers;
use crate::request::{Dispatcher, DispatcherSettings, Shares};
use crate::storage::Storage;
use actix::Addr;
use actix_web::dev::ServerHandle;
use actix_web::error::{InternalError, JsonPayloadError};
use actix_web::http::StatusCode;
use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::sync::watch;
use view::{FrontView, Stage};

/// Result of starting the server.
pub type Result<T> = std::result::Result<T, io::Error>;

const KEEP_ALIVE: Duration = Duration::from_secs(75);
/// Maximum body size of an operator's API call, in bytes.
const MAX_CALL_BYTES: usize = 2 << 20;
/// Maximum number of connections waiting to be accepted.
const BACKLOG: u32 = 1024;
/// Maximum number of open connections.
const MAX_CONNECTIONS: usize = 12_000;

/// Handles to the other parts of the daemon.
#[derive(Clone)]
pub struct DaemonHandles {
    pub me: DaemonId,
    pub domain: DomainId,
    /// Duration of control leases.
    pub lease_ttl: Duration,
    pub partitions: Arc<[PartitionId]>,
    pub control: Addr<Control>,
    pub storage: Addr<Storage>,
    pub peers: Addr<Peers>,
    pub clock: Arc<dyn Clock>,
    pub view: watch::Receiver<FrontView>,
    /// Number of requests in flight, which a drain waits on.
    pub in_flight: Arc<AtomicUsize>,
}

/// A running front end.
pub struct Front {
    pub addr: SocketAddr,
    pub handle: ServerHandle,
}

/// State shared by the handlers of the front end's thread.
struct State {
    handles: DaemonHandles,
    dispatcher: Dispatcher,
    slot_wait: Rc<Cell<SlotWait>>,
}

/// Whether the daemon still waits for its first slots before it reports itself as ready.
///
/// A daemon that gets requests from the load balancer before it has slots would refuse them as not
/// run, although other daemons could serve them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SlotWait {
    Waiting,
    Done,
}

/// Listens on `addr` and serves until stopped, on the current actix system.
pub fn serve(
    addr: SocketAddr,
    handles: DaemonHandles,
    settings: DispatcherSettings,
) -> Result<Front> {
    let listener = TcpListener::bind(addr)?;
    let addr = listener.local_addr()?;
    let server = HttpServer::new(move || {
        let dispatcher = Dispatcher::new(settings.clone(), handles.clock.clone());
        let dispatcher = dispatcher.with_shares(Shares::Granted);
        follow_view(&handles, &dispatcher);
        let slot_wait = Rc::new(Cell::new(SlotWait::Waiting));
        shares::follow(&handles, &dispatcher, &slot_wait);
        let state = State { handles: handles.clone(), dispatcher: dispatcher.clone(), slot_wait };
        App::new()
            .app_data(web::Data::new(state))
            .app_data(web::JsonConfig::default().limit(MAX_CALL_BYTES).error_handler(reject_json))
            .configure(move |app| dispatcher.configure_app(app))
            .configure(register)
    })
    .workers(1)
    .backlog(BACKLOG)
    .max_connections(MAX_CONNECTIONS)
    .keep_alive(KEEP_ALIVE)
    // Otherwise the request of a caller that disconnected would hold its slot until it ends.
    .h1_allow_half_closed(false)
    .disable_signals()
    .listen(listener)?
    .run();
    let handle = server.handle();
    actix::spawn(async move {
        if let Err(e) = server.await {
            log::error!(reason:% = e; "front-ended");
        }
    });
    Ok(Front { addr, handle })
}

fn register(app: &mut web::ServiceConfig) {
    app.route("/health", web::get().to(health)).route("/ready", web::get().to(ready)).service(
        web::scope("/v1")
            .configure(tasks::register)
            .configure(config::register)
            .configure(explain::register)
            .configure(status::register),
    );
}

/// Updates the dispatcher whenever the view changes.
fn follow_view(handles: &DaemonHandles, dispatcher: &Dispatcher) {
    let mut view = handles.view.clone();
    let dispatcher = dispatcher.clone();
    let in_flight = handles.in_flight.clone();
    let me = handles.me.clone();
    actix::spawn(async move {
        loop {
            let seen = view.borrow_and_update().clone();
            dispatcher.configure(seen.config.clone());
            dispatcher.set_endpoints(&seen.endpoints);
            let peers: Vec<_> = seen.peers.iter().filter(|p| p.id != me).cloned().collect();
            dispatcher.set_peers(&peers);
            if seen.stage == Stage::Draining {
                dispatcher.drain();
                report_in_flight(&dispatcher, &in_flight).await;
            }
            if view.changed().await.is_err() {
                return;
            }
        }
    });
}

async fn report_in_flight(dispatcher: &Dispatcher, in_flight: &AtomicUsize) {
    const INTERVAL: Duration = Duration::from_millis(20);
    loop {
        in_flight.store(dispatcher.in_flight(), Ordering::SeqCst);
        tokio::time::sleep(INTERVAL).await;
    }
}

async fn health() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

async fn ready(state: web::Data<State>) -> HttpResponse {
    match state.handles.view.borrow().stage {
        Stage::Serving if state.slot_wait.get() == SlotWait::Waiting => {
            HttpResponse::ServiceUnavailable().body("waiting for slots\n")
        }
        Stage::Serving => HttpResponse::Ok().body("ready\n"),
        Stage::Starting => HttpResponse::ServiceUnavailable().body("starting\n"),
        Stage::Unready | Stage::Draining => HttpResponse::ServiceUnavailable().body("draining\n"),
    }
}

fn reject_json(e: JsonPayloadError, _: &HttpRequest) -> actix_web::Error {
    let error = ApiError::new(
        ErrorKind::Usage,
        format!("the body can't be read: {e}"),
        "send the JSON that docs/OPERATIONS.md describes",
    );
    InternalError::from_response(e, answer_error(&error)).into()
}

/// Converts the result of an operator's API call to an HTTP response.
fn answer<T: serde::Serialize>(result: crate::api::Result<T>) -> HttpResponse {
    match result {
        Ok(body) => HttpResponse::Ok().json(body),
        Err(e) => answer_error(&e),
    }
}

fn answer_error(e: &ApiError) -> HttpResponse {
    let status =
        StatusCode::from_u16(e.kind.http_status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut resp = HttpResponse::build(status);
    if status == StatusCode::SERVICE_UNAVAILABLE {
        resp.insert_header(("retry-after", "2"));
    }
    resp.json(e)
}
