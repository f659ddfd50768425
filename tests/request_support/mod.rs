//! A dispatcher behind an HTTP server on loopback, and a client that checks answers strictly.
#![allow(dead_code)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, mpsc};
use std::time::Duration;
use waxwingstall::clock::SystemClock;
use waxwingstall::ids::{ClassName, DomainId, RequestId, Revision, ServiceName, VmId};
use waxwingstall::model::{Config, Idempotency, RequestClass, Service};
use waxwingstall::request::{
    Dispatcher, DispatcherSettings, EndpointInfo, EndpointState, Explained,
};
use waxwingstall::units::Resources;
use waxwingstall_standin::endpoint::Endpoint;

/// Timeout for answers and conditions; reaching it fails the test.
const TIMEOUT: Duration = Duration::from_secs(30);

type Call = Box<dyn FnOnce(&Dispatcher) + Send>;

/// A dispatcher behind an HTTP server, on its own threads.
pub struct Front {
    pub addr: SocketAddr,
    calls: tokio::sync::mpsc::UnboundedSender<Call>,
    server: actix_web::dev::ServerHandle,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Front {
    /// Starts a front end with the default limits.
    pub fn start(cfg: Config, endpoints: &[EndpointInfo]) -> Self {
        Self::start_with(DispatcherSettings::new("d1".into(), "home".into()), cfg, endpoints)
    }

    /// Starts a front end with these settings.
    pub fn start_with(
        settings: DispatcherSettings,
        cfg: Config,
        endpoints: &[EndpointInfo],
    ) -> Self {
        let (calls, rx) = tokio::sync::mpsc::unbounded_channel::<Call>();
        let (tell, told) = mpsc::channel();
        let rx = Arc::new(std::sync::Mutex::new(Some(rx)));
        let thread = std::thread::spawn(move || {
            actix_web::rt::System::new().block_on(async move {
                let server = actix_web::HttpServer::new(move || {
                    let dispatcher = Dispatcher::new(settings.clone(), Arc::new(SystemClock));
                    let mut rx = rx.lock().unwrap().take().expect("one worker");
                    let called = dispatcher.clone();
                    actix_web::rt::spawn(async move {
                        while let Some(call) = rx.recv().await {
                            call(&called);
                        }
                    });
                    actix_web::App::new().configure(|app| dispatcher.configure_app(app))
                })
                .workers(1)
                .h1_allow_half_closed(false)
                .disable_signals()
                .bind("127.0.0.1:0")
                .unwrap();
                let addr = server.addrs()[0];
                let server = server.run();
                tell.send((addr, server.handle())).unwrap();
                server.await.unwrap();
            });
        });
        let (addr, server) = told.recv().unwrap();
        let front = Self { addr, calls, server, thread: Some(thread) };
        let endpoints = endpoints.to_vec();
        front.with(move |dispatcher| {
            dispatcher.configure(Arc::new(cfg));
            dispatcher.set_endpoints(&endpoints);
        });
        front
    }

    /// Runs a function on the dispatcher's thread and returns its result.
    pub fn with<T: Send + 'static>(&self, f: impl FnOnce(&Dispatcher) -> T + Send + 'static) -> T {
        let (tx, rx) = mpsc::channel();
        let call = Box::new(move |dispatcher: &Dispatcher| {
            let _ = tx.send(f(dispatcher));
        });
        assert!(self.calls.send(call).is_ok(), "the front's worker is gone");
        rx.recv_timeout(TIMEOUT).expect("the front's worker answers")
    }

    /// The explanation of a request.
    pub fn explain(&self, id: &str) -> Explained {
        let id = RequestId::new(id);
        self.with(move |dispatcher| dispatcher.explain(&id))
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        let stopping = self.server.stop(false);
        actix_web::rt::System::new().block_on(stopping);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// The list entry of a live endpoint in domain `home`.
pub fn listed(vm: &str, endpoint: &Endpoint) -> EndpointInfo {
    listed_in("home", vm, endpoint)
}

/// The list entry of a live endpoint in a domain.
pub fn listed_in(domain: &str, vm: &str, endpoint: &Endpoint) -> EndpointInfo {
    EndpointInfo {
        vm: VmId::new(vm),
        service: ServiceName::new("shop"),
        domain: DomainId::new(domain),
        addr: endpoint.addr().to_string(),
        state: EndpointState::Live,
    }
}

/// The classes `preview` (idempotent), `build` (not idempotent) and `plan` (idempotent, with a long
/// wait limit) of the service `shop`.
pub fn config(slots: u32) -> Config {
    let mut cfg = Config { revision: Revision(1), ..Config::default() };
    let service = Service { slots, connections: 64, resources: Resources::ZERO };
    cfg.services.insert(ServiceName::new("shop"), service);
    cfg.requests.insert(ClassName::new("preview"), class(Idempotency::Idempotent, 4));
    cfg.requests.insert(ClassName::new("build"), class(Idempotency::NonIdempotent, 1));
    let plan =
        RequestClass { target_p99: Duration::from_secs(60), ..class(Idempotency::Idempotent, 1) };
    cfg.requests.insert(ClassName::new("plan"), plan);
    cfg
}

fn class(idempotency: Idempotency, weight: u32) -> RequestClass {
    RequestClass {
        service: ServiceName::new("shop"),
        deadline: Duration::from_secs(20),
        target_p99: Duration::from_millis(100),
        expected: Duration::from_millis(10),
        idempotency,
        weight,
    }
}

/// An answer as received by the client.
#[derive(Clone, Debug, Default)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body is complete according to the head.
    pub whole: bool,
}

impl Response {
    /// The value of a header, or an empty string.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }

    pub fn outcome(&self) -> &str {
        self.header("waxwing-outcome")
    }

    pub fn reason(&self) -> &str {
        self.header("waxwing-reason")
    }
}

/// Sends a request with an id and reads the whole answer.
pub fn call(addr: SocketAddr, class: &str, tail: &str, id: &str) -> Response {
    let head = format!("waxwing-request-id: {id}\r\n");
    send(addr, "POST", &format!("/v1/requests/{class}/{tail}"), &head, b"hello")
}

/// Sends a request and reads the whole answer.
pub fn send(addr: SocketAddr, method: &str, path: &str, headers: &str, body: &[u8]) -> Response {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{headers}content-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(body).unwrap();
    read_answer(&mut stream)
}

/// Waits until a condition holds; a timeout fails the test.
pub fn wait_until(what: &str, mut seen: impl FnMut() -> bool) {
    for _ in 0..TIMEOUT.as_millis() {
        if seen() {
            return;
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    panic!("never seen: {what}");
}

/// Reads an answer until the connection is closed.
pub fn read_answer(stream: &mut TcpStream) -> Response {
    let mut raw = Vec::new();
    let ended = stream.read_to_end(&mut raw);
    if let Err(e) = &ended {
        assert!(e.kind() != std::io::ErrorKind::WouldBlock, "no end of the answer in {TIMEOUT:?}");
    }
    parse(&raw)
}

fn parse(raw: &[u8]) -> Response {
    let Some(at) = raw.windows(4).position(|bytes| bytes == b"\r\n\r\n") else {
        return Response::default();
    };
    let head = String::from_utf8_lossy(&raw[..at]).into_owned();
    let rest = &raw[at + 4..];
    let status = head.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
    let headers: Vec<_> = head
        .lines()
        .skip(1)
        .filter_map(|line| line.split_once(": "))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.to_owned()))
        .collect();
    let mut got = Response { status, headers, body: Vec::new(), whole: false };
    if got.header("transfer-encoding").contains("chunked") {
        (got.body, got.whole) = dechunk(rest);
    } else {
        got.whole = got.header("content-length").parse() == Ok(rest.len());
        got.body = rest.to_vec();
    }
    got
}

fn dechunk(mut raw: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    loop {
        let Some(at) = raw.windows(2).position(|bytes| bytes == b"\r\n") else {
            return (body, false);
        };
        let length = std::str::from_utf8(&raw[..at]).ok();
        let Some(length) = length.and_then(|text| usize::from_str_radix(text, 16).ok()) else {
            return (body, false);
        };
        if length == 0 {
            return (body, true);
        }
        if raw.len() < at + 4 + length {
            return (body, false);
        }
        body.extend_from_slice(&raw[at + 2..at + 2 + length]);
        raw = &raw[at + 4 + length..];
    }
}
