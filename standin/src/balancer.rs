//! The platform's balancer: passes each new connection to the next daemon that says it is ready.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError, mpsc};
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, copy_bidirectional};
use tokio::net::{TcpListener, TcpStream};

const CHECK_PERIOD: Duration = Duration::from_millis(100);
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

struct Backend {
    addr: SocketAddr,
    ready: AtomicBool,
}

#[derive(Default)]
struct Shared {
    backends: Mutex<Vec<Arc<Backend>>>,
    next: AtomicUsize,
    stop: AtomicBool,
}

/// A balancer on a thread of its own, stopped when dropped.
pub struct Balancer {
    addr: SocketAddr,
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

impl Balancer {
    /// Starts with no daemon behind it.
    ///
    /// # Panics
    ///
    /// If no loopback port can be bound.
    pub fn start() -> Self {
        let shared = Arc::new(Shared::default());
        let (tx, rx) = mpsc::channel();
        let state = shared.clone();
        let thread = std::thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port");
                tx.send(listener.local_addr().expect("a bound address")).expect("a starter");
                actix_rt::spawn(check(state.clone()));
                accept(listener, state).await;
            });
        });
        let addr = rx.recv().expect("the balancer starts");
        Self { addr, shared, thread: Some(thread) }
    }

    /// Where callers connect.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Puts a daemon behind the balancer.
    pub fn add(&self, addr: SocketAddr) {
        let backend = Backend { addr, ready: AtomicBool::new(false) };
        lock(&self.shared).push(Arc::new(backend));
    }

    /// Daemons that said they were ready when last asked.
    pub fn ready(&self) -> usize {
        lock(&self.shared).iter().filter(|b| b.ready.load(Ordering::SeqCst)).count()
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::SeqCst);
        // Wakes the accepting thread.
        let _ = std::net::TcpStream::connect(self.addr);
        if let Some(thread) = self.thread.take() {
            // A panic there was already printed by its own thread.
            let _ = thread.join();
        }
    }
}

fn lock(shared: &Shared) -> std::sync::MutexGuard<'_, Vec<Arc<Backend>>> {
    shared.backends.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    while let Ok((stream, _)) = listener.accept().await {
        if shared.stop.load(Ordering::SeqCst) {
            return;
        }
        actix_rt::spawn(pass(stream, shared.clone()));
    }
}

async fn pass(mut caller: TcpStream, shared: Arc<Shared>) {
    let ready: Vec<_> =
        lock(&shared).iter().filter(|b| b.ready.load(Ordering::SeqCst)).cloned().collect();
    let turn = shared.next.fetch_add(1, Ordering::SeqCst);
    for i in 0..ready.len() {
        let backend = &ready[(turn + i) % ready.len()];
        if let Ok(mut daemon) = TcpStream::connect(backend.addr).await {
            // A connection broken by either end is seen by the other; there is no one to tell.
            let _ = copy_bidirectional(&mut caller, &mut daemon).await;
            return;
        }
        backend.ready.store(false, Ordering::SeqCst);
    }
}

async fn check(shared: Arc<Shared>) {
    loop {
        let backends = lock(&shared).clone();
        for backend in backends {
            let ready = tokio::time::timeout(CHECK_TIMEOUT, is_ready(backend.addr)).await;
            backend.ready.store(ready.unwrap_or(false), Ordering::SeqCst);
        }
        tokio::time::sleep(CHECK_PERIOD).await;
    }
}

async fn is_ready(addr: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(addr).await else { return false };
    let req = "GET /ready HTTP/1.1\r\nhost: daemon\r\nconnection: close\r\n\r\n";
    if stream.write_all(req.as_bytes()).await.is_err() {
        return false;
    }
    let mut head = [0; 12];
    stream.read_exact(&mut head).await.is_ok() && head.ends_with(b"200")
}
