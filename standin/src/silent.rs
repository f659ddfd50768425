//! A server whose open connections go silent.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};

/// Serves one response to every request, each connection on a thread of its own.
pub struct SilentServer {
    addr: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    response: Vec<u8>,
}

#[derive(Default)]
struct State {
    /// Connections accepted so far.
    accepted: usize,
    /// Connections up to this number no longer carry anything.
    silent: usize,
    /// Requests wait for a response until as many connections have been accepted.
    awaited: usize,
}

impl SilentServer {
    /// Starts a server that answers with `headers`, each with its line's end, and the JSON `body`.
    pub fn start(headers: &str, body: &str) -> Self {
        let head = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n";
        let length = format!("content-length: {}\r\n", body.len());
        let response = format!("{head}{headers}{length}\r\n{body}").into_bytes();
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let (state, changed) = (Mutex::default(), Condvar::new());
        let shared = Arc::new(Shared { state, changed, response });
        let accepting = shared.clone();
        std::thread::spawn(move || {
            for conn in listener.incoming().flatten() {
                let number = accepting.accept();
                let serving = accepting.clone();
                std::thread::spawn(move || serving.serve(conn, number));
            }
        });
        Self { addr, shared }
    }

    /// `ip:port` of the server.
    pub fn addr(&self) -> String {
        self.addr.to_string()
    }

    /// Connections accepted so far.
    pub fn accepted(&self) -> usize {
        self.shared.lock().accepted
    }

    /// Holds responses back until `count` connections have been accepted in all, so that as many
    /// calls side by side each open their own.
    pub fn await_connections(&self, count: usize) {
        self.shared.lock().awaited = count;
    }

    /// Makes all open connections silent; new ones work.
    pub fn silence(&self) {
        let mut state = self.shared.lock();
        state.silent = state.accepted;
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn accept(&self) -> usize {
        let mut state = self.lock();
        state.accepted += 1;
        self.changed.notify_all();
        state.accepted
    }

    /// Answers requests on a connection until the client closes it.
    fn serve(&self, mut conn: TcpStream, number: usize) {
        while read_request(&mut conn) {
            let state = self.lock();
            let awaited = |state: &mut State| state.accepted < state.awaited;
            let state = self.changed.wait_while(state, awaited);
            let is_silent = number <= state.unwrap_or_else(PoisonError::into_inner).silent;
            if !is_silent && conn.write_all(&self.response).is_err() {
                return;
            }
        }
    }
}

/// Reads a request with a body of known length; false if the connection is closed.
fn read_request(conn: &mut TcpStream) -> bool {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        match conn.read(&mut byte) {
            Ok(1) => head.push(byte[0].to_ascii_lowercase()),
            _ => return false,
        }
    }
    let head = String::from_utf8_lossy(&head);
    let length = head.lines().find_map(|line| line.strip_prefix("content-length:"));
    let length = length.and_then(|length| length.trim().parse().ok()).unwrap_or(0);
    conn.read_exact(&mut vec![0; length]).is_ok()
}
