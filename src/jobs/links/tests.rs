use super::{Error, PeerClient};
use crate::job::JobId;
use crate::jobs::calls::Call;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// Timeouts of the calls that time out first, and of those that time out later.
const SHORT_TIMEOUT: Duration = Duration::from_millis(40);
const LATE_TIMEOUT: Duration = Duration::from_millis(400);

/// Longer than the test takes.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

fn show() -> Call {
    Call::Show(JobId(0xa1))
}

/// Accepts the pending connections of a listener; they stay open until dropped.
fn accepted(listener: &TcpListener) -> Vec<TcpStream> {
    listener.set_nonblocking(true).expect("a socket");
    std::iter::from_fn(|| listener.accept().ok()).map(|(stream, _)| stream).collect()
}

// Several calls wait on an unresponsive connection. The first to time out discards it, and the next
// call opens a new one; the other calls time out later. Guards against these discarding the new
// connection too: each call would then open a connection, which costs the daemon as much as
// several calls.
#[actix::test]
async fn a_call_given_up_leaves_the_newer_connection_alone() {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a free port");
    let peer = PeerClient::new(&listener.local_addr().expect("an address").to_string());
    let call = |timeout| {
        let peer = peer.clone();
        async move { peer.call(SHARD.to_owned(), show(), timeout).await }
    };
    let late = actix::spawn(call(LATE_TIMEOUT));
    while peer.client.borrow().is_none() {
        tokio::task::yield_now().await;
    }
    let _silent = accepted(&listener);
    let first = call(SHORT_TIMEOUT).await;
    assert!(matches!(first, Err(Error::NoAnswer { .. })), "{first:?}");
    let newer = actix::spawn(call(TEST_TIMEOUT));
    let late = late.await.expect("a call that doesn't panic");
    assert!(matches!(late, Err(Error::NoAnswer { .. })), "{late:?}");
    let after = call(SHORT_TIMEOUT).await;
    assert!(matches!(after, Err(Error::NoAnswer { .. })), "{after:?}");
    assert_eq!(accepted(&listener).len(), 1, "connections after the silent one");
    newer.abort();
}

const SHARD: &str = "kacyiru/0";
