//! The platform's list of VMs, with a lag and outages.

use crate::server::Server;
use actix_web::{HttpResponse, web};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use waxwingstall::clock::{Clock, SystemClock};
use waxwingstall::listing::Listing;

#[derive(Default)]
struct Shown {
    changes: Vec<(Duration, Listing)>,
    lag: Duration,
    down: bool,
    calls: u64,
}

type Shared = Arc<Mutex<Shown>>;

/// The list over HTTP.
pub struct List {
    server: Server,
    shown: Shared,
}

impl List {
    /// Starts an empty list that shows changes after `lag`.
    pub fn start(lag: Duration) -> Self {
        let shown: Shared = Arc::new(Mutex::new(Shown { lag, ..Shown::default() }));
        let shared = shown.clone();
        let server = Server::start(move |cfg| {
            cfg.app_data(web::Data::new(shared.clone())).route("/v1/list", web::get().to(serve));
        });
        Self { server, shown }
    }

    /// Its base URL.
    pub fn url(&self) -> String {
        self.server.url()
    }

    /// Changes the list; the first change is shown at once.
    pub fn update(&self, change: impl FnOnce(&mut Listing)) {
        let mut shown = lock(&self.shown);
        let mut listing = shown.changes.last().map(|(_, l)| l.clone()).unwrap_or_default();
        change(&mut listing);
        shown.changes.push((SystemClock.now(), listing));
    }

    /// Stops or resumes answering.
    pub fn set_down(&self, down: bool) {
        lock(&self.shown).down = down;
    }

    /// Reads so far.
    pub fn calls(&self) -> u64 {
        lock(&self.shown).calls
    }
}

fn lock(shown: &Shared) -> std::sync::MutexGuard<'_, Shown> {
    shown.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn serve(shown: web::Data<Shared>) -> HttpResponse {
    let now = SystemClock.now();
    let mut shown = lock(&shown);
    shown.calls += 1;
    if shown.down {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let lag = shown.lag;
    let seen = shown.changes.iter().rev().find(|(at, _)| *at + lag <= now);
    let first = shown.changes.first();
    HttpResponse::Ok().json(seen.or(first).map(|(_, l)| l.clone()).unwrap_or_default())
}
