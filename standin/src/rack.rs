//! Workers of one rack over HTTP, each under a path of its own.
//!
//! A call is `POST {base}/{acquire|sync|release|start|throttle|checkpoint|close}` with a JSON
//! body; the answer is 200 with JSON, or 409 with the worker's typed refusal. A worker that is
//! cut off answers 504, which tells a caller nothing about what took effect.

use crate::ledger::Ledger;
use crate::server::Server;
use crate::worker::{LeaseTable, TableSettings};
use actix_web::{HttpResponse, web};
use bytes::Bytes;
use indexmap::IndexMap;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use waxwingstall::clock::{Clock, SystemClock};
use waxwingstall::ids::VmId;
use waxwingstall::worker::{Result, VmStatus};

/// Whether a worker can be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    Reachable,
    /// Calls have no effect and no answer.
    CutOff,
    /// Calls take effect, and the answer is lost.
    AnswersLost,
}

struct Seat {
    table: LeaseTable,
    reach: Reach,
    calls: u64,
}

type Seats = Arc<Mutex<IndexMap<VmId, Seat>>>;

/// Workers that share a server.
pub struct Rack {
    server: Server,
    seats: Seats,
    ledger: Ledger,
}

impl Rack {
    /// Starts the workers described.
    pub fn start(vms: Vec<VmStatus>, settings: &TableSettings, ledger: &Ledger) -> Self {
        let seats: IndexMap<_, _> = vms
            .into_iter()
            .map(|status| {
                let vm = status.vm.clone();
                let table = LeaseTable::new(status, settings.clone(), ledger.clone());
                (vm, Seat { table, reach: Reach::Reachable, calls: 0 })
            })
            .collect();
        let seats = Arc::new(Mutex::new(seats));
        let shared = seats.clone();
        let server = Server::start(move |cfg| {
            cfg.app_data(web::Data::new(shared.clone()))
                .route("/vm/{vm}/{call}", web::post().to(serve));
        });
        Self { server, seats, ledger: ledger.clone() }
    }

    /// The base URL of a worker.
    pub fn url(&self, vm: &VmId) -> String {
        format!("{}/vm/{vm}", self.server.url())
    }

    /// Changes whether a worker can be reached.
    pub fn set_reach(&self, vm: &VmId, reach: Reach) {
        self.seat(vm, |seat| seat.reach = reach);
    }

    /// Does something to a worker's lease table.
    pub fn with_table<T>(&self, vm: &VmId, f: impl FnOnce(&mut LeaseTable) -> T) -> Option<T> {
        self.seat(vm, |seat| f(&mut seat.table))
    }

    /// Lets time pass for workers that nobody calls.
    pub fn advance(&self) {
        let now = SystemClock.now();
        for seat in lock(&self.seats).values_mut() {
            seat.table.advance(now);
        }
    }

    /// Calls answered or not, over all workers.
    pub fn calls(&self) -> u64 {
        lock(&self.seats).values().map(|seat| seat.calls).sum()
    }

    /// The ledger the workers write to.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    fn seat<T>(&self, vm: &VmId, f: impl FnOnce(&mut Seat) -> T) -> Option<T> {
        lock(&self.seats).get_mut(vm).map(f)
    }
}

fn lock(seats: &Seats) -> std::sync::MutexGuard<'_, IndexMap<VmId, Seat>> {
    seats.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn serve(
    path: web::Path<(String, String)>,
    body: Bytes,
    seats: web::Data<Seats>,
) -> HttpResponse {
    let (vm, call) = path.into_inner();
    let now = SystemClock.now();
    let mut seats = lock(&seats);
    let Some(seat) = seats.get_mut(&VmId::new(&vm)) else {
        return HttpResponse::NotFound().finish();
    };
    seat.calls += 1;
    if seat.reach == Reach::CutOff {
        return HttpResponse::GatewayTimeout().finish();
    }
    let resp = dispatch(&mut seat.table, now, &call, &body);
    if seat.reach == Reach::AnswersLost {
        return HttpResponse::GatewayTimeout().finish();
    }
    resp
}

fn dispatch(table: &mut LeaseTable, now: Duration, call: &str, body: &[u8]) -> HttpResponse {
    match call {
        "acquire" => answer(body, |req| table.acquire(now, &req)),
        "sync" => answer(body, |req| table.sync(now, &req)),
        "release" => answer(body, |token| table.release(now, token)),
        "start" => answer(body, |req| table.start(now, &req)),
        "throttle" => answer(body, |req| table.throttle(now, &req)),
        "checkpoint" => answer(body, |req| table.checkpoint(now, &req)),
        "close" => answer(body, |req| table.close(now, &req)),
        _ => HttpResponse::NotFound().finish(),
    }
}

fn answer<Q: DeserializeOwned, R: Serialize>(
    body: &[u8],
    call: impl FnOnce(Q) -> Result<R>,
) -> HttpResponse {
    match serde_json::from_slice(body).map(call) {
        Ok(Ok(resp)) => HttpResponse::Ok().json(resp),
        Ok(Err(refusal)) => HttpResponse::Conflict().json(refusal),
        Err(e) => HttpResponse::BadRequest().body(e.to_string()),
    }
}
