//! An endpoint: answers requests over real HTTP, and misbehaves when told to.
//!
//! The answer to a request is [`answer_body`] of its id. Its query may ask for `ms` (service
//! time), `bytes` (length of the answer), `chunked`, and `gap_ms` (pause between chunks).

mod exchange;
mod faults;
mod http;

pub use faults::{Fault, Faults, NotRun};

use faults::Shared;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::oneshot;

/// How an endpoint behaves when nothing is wrong.
#[derive(Clone, Copy, Debug)]
pub struct EndpointSettings {
    /// Requests at a time; more is counted as a violation.
    pub slots: usize,
    pub service_time: Duration,
    pub on_close: OnClose,
}

/// What becomes of a request whose connection is closed while it runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OnClose {
    #[default]
    Stops,
    RunsOn,
}

impl Default for EndpointSettings {
    fn default() -> Self {
        Self { slots: 8, service_time: Duration::ZERO, on_close: OnClose::default() }
    }
}

/// An endpoint on loopback, on a thread of its own; stops when dropped.
#[derive(Debug)]
pub struct Endpoint {
    addr: SocketAddr,
    shared: Arc<Shared>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Endpoint {
    /// Starts an endpoint on a free port.
    pub fn start(settings: EndpointSettings) -> Self {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind a loopback port");
        listener.set_nonblocking(true).expect("set the listener to non-blocking");
        let addr = listener.local_addr().expect("read the listener's address");
        let shared = Arc::new(Shared::new(settings));
        let (stop, stopped) = oneshot::channel();
        let thread = std::thread::spawn({
            let shared = Arc::clone(&shared);
            move || run(listener, addr, &shared, stopped)
        });
        Self { addr, shared, stop: Some(stop), thread: Some(thread) }
    }

    /// Address that requests are sent to.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// The switches for faults.
    pub fn faults(&self) -> Faults<'_> {
        Faults::new(&self.shared)
    }

    /// How often a request ran.
    pub fn runs_of(&self, id: &str) -> usize {
        self.shared.state().runs.get(id).copied().unwrap_or(0)
    }

    /// How often any request ran.
    pub fn runs(&self) -> usize {
        self.shared.state().runs.values().sum()
    }

    /// Requests whose id ran more than once.
    pub fn repeated(&self) -> Vec<String> {
        let state = self.shared.state();
        state.runs.iter().filter(|(_, runs)| **runs > 1).map(|(id, _)| id.clone()).collect()
    }

    /// Requests that arrived, run or not.
    pub fn requests(&self) -> usize {
        self.shared.state().requests
    }

    /// Bytes of answers' bodies handed to the network.
    pub fn body_bytes_sent(&self) -> usize {
        self.shared.state().body_bytes_sent
    }

    /// Requests that ran to their end.
    pub fn completed(&self) -> usize {
        self.shared.state().completed
    }

    /// Requests that run now.
    pub fn running(&self) -> usize {
        self.shared.state().running
    }

    /// Most requests that ever ran at once.
    pub fn max_concurrent(&self) -> usize {
        self.shared.state().max_concurrent
    }

    /// Times that a request arrived while every slot was taken.
    pub fn slot_violations(&self) -> usize {
        self.shared.state().violations
    }

    /// Connections accepted so far.
    pub fn accepted(&self) -> usize {
        self.shared.state().accepted
    }

    /// Connections open now.
    pub fn open_connections(&self) -> usize {
        self.shared.state().open
    }
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// The body that belongs to a request: its id, over and over, up to `length` bytes.
pub fn answer_body(id: &str, length: usize) -> Vec<u8> {
    let line = format!("{id}\n").into_bytes();
    let mut body = line.repeat(length.div_ceil(line.len()));
    body.truncate(length);
    body
}

fn run(
    listener: std::net::TcpListener,
    addr: SocketAddr,
    shared: &Arc<Shared>,
    stopped: oneshot::Receiver<()>,
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("start the endpoint's runtime");
    runtime.block_on(async {
        let listener = TcpListener::from_std(listener).expect("register the listener");
        tokio::select! {
            () = accept_loop(listener, addr, shared) => {}
            _ = stopped => {}
        }
    });
}

async fn accept_loop(listener: TcpListener, addr: SocketAddr, shared: &Arc<Shared>) {
    let mut listener = Some(listener);
    loop {
        if shared.state().refuse_connections {
            // Dropping the listener makes the kernel refuse new connections.
            listener = None;
            shared.changed.notified().await;
            continue;
        }
        let current = listener.get_or_insert_with(|| rebind(addr));
        tokio::select! {
            accepted = current.accept() => {
                if let Ok((stream, _)) = accepted {
                    tokio::spawn(exchange::serve(stream, Arc::clone(shared)));
                }
            }
            () = shared.changed.notified() => {}
        }
    }
}

fn rebind(addr: SocketAddr) -> TcpListener {
    let socket = TcpSocket::new_v4().expect("make a socket");
    socket.set_reuseaddr(true).expect("allow the port's reuse");
    socket.bind(addr).expect("bind the port again");
    socket.listen(1024).expect("listen again")
}
