//! The key-value service as a process would meet it: HTTP on a port of its own.
//!
//! Data and faults are those of [`MemoryStore`], so that a table of cases means the same here. On
//! top, the service can be slow or silent. It runs on a thread of its own and keeps its data while
//! it is down.

use actix_web::body::{BodySize, MessageBody};
use actix_web::dev::{Server, ServerHandle};
use actix_web::http::StatusCode;
use actix_web::{App, HttpResponse, HttpResponseBuilder, HttpServer, web};
use bytes::Bytes;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError, mpsc};
use std::task::{Context, Poll};
use std::thread::JoinHandle;
use std::time::Duration;
use waxwingstall::store::http::{
    KV_PATH, KeyQuery, LIST_PATH, ListQuery, ListedEntry, VERSION_HEADER,
};
use waxwingstall::store::memory::{Fault, MemoryStore, Outage, Usage};
use waxwingstall::store::{Entry, Error, Expect, MAX_VALUE_BYTES, Result, Store};

/// A running stand-in; it stops when dropped.
#[derive(Debug)]
pub struct Kv {
    addr: SocketAddr,
    faults: KvFaults,
    server: ServerHandle,
    thread: Option<JoinHandle<()>>,
}

/// Switches for faults, to be used from any thread.
#[derive(Clone, Debug, Default)]
pub struct KvFaults {
    store: MemoryStore,
    pace: Arc<Mutex<Pace>>,
}

/// How fast the service answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Pace {
    #[default]
    Prompt,
    /// Each call waits that long before it is served.
    Slow(Duration),
    /// Calls are taken and never served.
    Silent,
}

impl KvFaults {
    /// Queues a fault for the next call that it can strike.
    pub fn inject(&self, fault: Fault) {
        self.store.inject(fault);
    }

    /// Takes effect on the next `count` calls, whose answers are lost.
    pub fn lose_answers(&self, count: usize) {
        for _ in 0..count {
            self.inject(Fault::ErrorAfterEffect);
        }
    }

    /// Refuses every call, or serves again with the data as it was.
    pub fn set_outage(&self, outage: Outage) {
        self.store.set_outage(outage);
    }

    /// Changes how fast calls are answered.
    pub fn set_pace(&self, pace: Pace) {
        *self.pace.lock().unwrap_or_else(PoisonError::into_inner) = pace;
    }

    /// What was asked so far.
    pub fn usage(&self) -> Usage {
        self.store.usage()
    }

    async fn delay(&self) {
        let pace = *self.pace.lock().unwrap_or_else(PoisonError::into_inner);
        match pace {
            Pace::Prompt => {}
            Pace::Slow(by) => actix_rt::time::sleep(by).await,
            Pace::Silent => std::future::pending().await,
        }
    }
}

impl Kv {
    /// Starts on a free port of the loopback address.
    ///
    /// # Panics
    ///
    /// If no port can be bound; a test can't go on without.
    pub fn start() -> Self {
        let faults = KvFaults::default();
        let (tx, rx) = mpsc::channel();
        let served = faults.clone();
        let thread = std::thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                let (addr, server) = serve(served);
                tx.send((addr, server.handle())).ok();
                server.await.ok();
            });
        });
        let (addr, server) = rx.recv().expect("the stand-in starts");
        Self { addr, faults, server, thread: Some(thread) }
    }

    /// Base URL for a client.
    pub fn url(&self) -> String {
        format!("http://{}", self.addr)
    }

    /// Switches for faults.
    pub fn faults(&self) -> &KvFaults {
        &self.faults
    }

    /// Calls and bytes so far.
    pub fn usage(&self) -> Usage {
        self.faults.usage()
    }

    /// Calls so far.
    pub fn calls(&self) -> u64 {
        self.usage().calls
    }

    /// Bytes of keys and values so far, both ways.
    pub fn bytes(&self) -> u64 {
        self.usage().bytes
    }
}

impl Drop for Kv {
    fn drop(&mut self) {
        let stopped = self.server.stop(false);
        futures::executor::block_on(stopped);
        if let Some(thread) = self.thread.take() {
            thread.join().ok();
        }
    }
}

fn serve(faults: KvFaults) -> (SocketAddr, Server) {
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new(faults.clone()))
            .app_data(web::PayloadConfig::new(MAX_VALUE_BYTES))
            .route(LIST_PATH, web::get().to(list))
            .route(KV_PATH, web::get().to(read))
            .route(KV_PATH, web::put().to(put))
            .route(KV_PATH, web::delete().to(delete))
    })
    .workers(1)
    .disable_signals()
    .bind(("127.0.0.1", 0))
    .expect("a free port");
    let addr = server.addrs()[0];
    (addr, server.run())
}

async fn read(faults: web::Data<KvFaults>, query: web::Query<KeyQuery>) -> HttpResponse {
    faults.delay().await;
    let result = match query.after {
        Some(after) => {
            let wait = Duration::from_millis(query.wait_ms.unwrap_or(0));
            faults.store.watch(&query.key, after, wait).await
        }
        None => faults.store.get(&query.key).await,
    };
    match result {
        Ok(Some(Entry { value, version, .. })) => versioned(StatusCode::OK, version).body(value),
        Ok(None) if query.after.is_some() => HttpResponse::NoContent().finish(),
        Ok(None) => HttpResponse::NotFound().finish(),
        Err(e) => refuse(&e),
    }
}

async fn list(faults: web::Data<KvFaults>, query: web::Query<ListQuery>) -> HttpResponse {
    faults.delay().await;
    let listed = match faults.store.list(&query.prefix).await {
        Ok(entries) => entries.into_iter().map(ListedEntry::from).collect::<Vec<_>>(),
        Err(e) => return refuse(&e),
    };
    match postcard::to_allocvec(&listed) {
        Ok(body) => HttpResponse::Ok().body(body),
        Err(_) => HttpResponse::InternalServerError().finish(),
    }
}

async fn put(
    faults: web::Data<KvFaults>,
    query: web::Query<KeyQuery>,
    body: Bytes,
) -> HttpResponse {
    faults.delay().await;
    let Some(expect) = expectation(&query) else {
        return HttpResponse::BadRequest().finish();
    };
    written(faults.store.put(&query.key, body, expect).await)
}

async fn delete(faults: web::Data<KvFaults>, query: web::Query<KeyQuery>) -> HttpResponse {
    faults.delay().await;
    let Some(expect) = expectation(&query) else {
        return HttpResponse::BadRequest().finish();
    };
    written(faults.store.delete(&query.key, expect).await.map(|()| 0))
}

fn expectation(query: &KeyQuery) -> Option<Expect> {
    match query.expect.as_deref()? {
        "any" => Some(Expect::Any),
        "absent" => Some(Expect::Absent),
        version => version.parse().ok().map(Expect::Version),
    }
}

fn written(result: Result<u64>) -> HttpResponse {
    match result {
        Ok(version) => versioned(StatusCode::OK, version).finish(),
        Err(e) => refuse(&e),
    }
}

fn refuse(error: &Error) -> HttpResponse {
    match error {
        Error::Conflict { current, .. } => versioned(StatusCode::CONFLICT, *current).finish(),
        Error::Unavailable { .. } => HttpResponse::ServiceUnavailable().finish(),
        Error::TooLarge { .. } => HttpResponse::PayloadTooLarge().finish(),
        Error::Unknown { .. } => HttpResponse::Ok().body(CutBody),
    }
}

fn versioned(status: StatusCode, version: u64) -> HttpResponseBuilder {
    let mut resp = HttpResponseBuilder::new(status);
    resp.insert_header((VERSION_HEADER, version.to_string()));
    resp
}

/// A body that breaks off, which closes the connection: the caller has an answer it can't use.
struct CutBody;

impl MessageBody for CutBody {
    type Error = std::io::Error;

    fn size(&self) -> BodySize {
        BodySize::Sized(1)
    }

    fn poll_next(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Bytes, Self::Error>>> {
        Poll::Ready(Some(Err(std::io::ErrorKind::ConnectionReset.into())))
    }
}
