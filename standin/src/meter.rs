//! A relay that counts the bytes that pass it, in both directions.

use std::net::{SocketAddr, TcpListener as StdListener, TcpStream as StdStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, mpsc};
use std::thread::JoinHandle;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

const BUF_BYTES: usize = 16 << 10;

#[derive(Default)]
struct Counts {
    bytes: AtomicU64,
    stop: AtomicBool,
}

/// A relay on a thread of its own, stopped when dropped.
pub struct Meter {
    addr: SocketAddr,
    counts: Arc<Counts>,
    thread: Option<JoinHandle<()>>,
}

impl Meter {
    /// Relays to `target`.
    ///
    /// # Panics
    ///
    /// If no loopback port can be bound.
    pub fn start(target: SocketAddr) -> Self {
        let listener = StdListener::bind("127.0.0.1:0").expect("a free loopback port");
        listener.set_nonblocking(true).expect("a socket that doesn't block");
        let addr = listener.local_addr().expect("a bound address");
        let counts = Arc::new(Counts::default());
        let (tx, rx) = mpsc::channel();
        let shared = counts.clone();
        let thread = std::thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                let listener = TcpListener::from_std(listener).expect("a listening socket");
                tx.send(()).expect("the starter waits");
                accept(listener, target, shared).await;
            });
        });
        rx.recv().expect("the relay starts");
        Self { addr, counts, thread: Some(thread) }
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Bytes so far, in both directions together.
    pub fn bytes(&self) -> u64 {
        self.counts.bytes.load(Ordering::Relaxed)
    }
}

impl Drop for Meter {
    fn drop(&mut self) {
        self.counts.stop.store(true, Ordering::SeqCst);
        // Wakes the accepting thread.
        let _ = StdStream::connect(self.addr);
        if let Some(thread) = self.thread.take() {
            // A panic there was already printed by its own thread.
            let _ = thread.join();
        }
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, counts: Arc<Counts>) {
    while let Ok((near, _)) = listener.accept().await {
        if counts.stop.load(Ordering::SeqCst) {
            return;
        }
        if let Ok(far) = TcpStream::connect(target).await {
            let (near_rx, near_tx) = near.into_split();
            let (far_rx, far_tx) = far.into_split();
            actix_rt::spawn(relay(near_rx, far_tx, counts.clone()));
            actix_rt::spawn(relay(far_rx, near_tx, counts.clone()));
        }
    }
}

async fn relay(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, counts: Arc<Counts>) {
    let mut buf = vec![0; BUF_BYTES];
    while let Ok(len @ 1..) = from.read(&mut buf).await {
        counts.bytes.fetch_add(u64::try_from(len).unwrap_or(u64::MAX), Ordering::Relaxed);
        if to.write_all(&buf[..len]).await.is_err() {
            return;
        }
    }
}
