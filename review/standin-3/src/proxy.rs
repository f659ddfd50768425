//! A proxy whose open connections can go silent for good, while new ones work.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

#[derive(Clone, Default)]
pub struct Proxy {
    opened: Arc<AtomicU64>,
    closed: Arc<AtomicU64>,
    /// Connections with numbers up to this one are silent.
    silent_up_to: Arc<AtomicU64>,
}

impl Proxy {
    /// Starts a proxy to an address; also returns its own.
    pub fn start(to: SocketAddr) -> io::Result<(Self, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let proxy = Self::default();
        let served = proxy.clone();
        std::thread::spawn(move || {
            for from in listener.incoming().flatten() {
                let number = served.opened.fetch_add(1, Ordering::SeqCst) + 1;
                let Ok(stream) = TcpStream::connect(to) else { continue };
                let _ = (from.set_nodelay(true), stream.set_nodelay(true));
                let (Ok(from_2), Ok(stream_2)) = (from.try_clone(), stream.try_clone()) else {
                    continue;
                };
                let closed = served.closed.clone();
                served.copy(number, from, stream, move || {
                    closed.fetch_add(1, Ordering::SeqCst);
                });
                served.copy(number, stream_2, from_2, || ());
            }
        });
        Ok((proxy, addr))
    }

    /// Silences all connections that are open now.
    pub fn silence(&self) {
        self.silent_up_to.store(self.opened.load(Ordering::SeqCst), Ordering::SeqCst);
    }

    /// Number of connections that are open now.
    pub fn open(&self) -> u64 {
        self.opened.load(Ordering::SeqCst).saturating_sub(self.closed.load(Ordering::SeqCst))
    }

    fn copy(
        &self,
        number: u64,
        mut from: TcpStream,
        mut to: TcpStream,
        close: impl FnOnce() + Send + 'static,
    ) {
        let silent_up_to = self.silent_up_to.clone();
        std::thread::spawn(move || {
            let mut bytes = [0; 16 << 10];
            loop {
                let read = from.read(&mut bytes);
                while silent_up_to.load(Ordering::SeqCst) >= number {
                    // Neither bytes nor the end of a connection come through.
                    std::thread::sleep(Duration::from_millis(500));
                }
                match read {
                    Ok(0) | Err(_) => {
                        let _ = to.shutdown(std::net::Shutdown::Both);
                        return close();
                    }
                    Ok(length) => {
                        if to.write_all(&bytes[..length]).is_err() {
                            let _ = from.shutdown(std::net::Shutdown::Both);
                            return close();
                        }
                    }
                }
            }
        });
    }
}
