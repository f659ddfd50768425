use super::{Error, Link};
use crate::job::JobId;
use crate::jobs::calls::Call;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// Time of the calls that are given up first, and of those given up later.
const SHORT: Duration = Duration::from_millis(40);
const LONGER: Duration = Duration::from_millis(400);

/// Longer than the test takes.
const LIMIT: Duration = Duration::from_secs(20);

fn show() -> Call {
    Call::Show(JobId(0xa1))
}

/// Connections made to a listener since this was last asked; open while they are kept.
fn accepted(listener: &TcpListener) -> Vec<TcpStream> {
    listener.set_nonblocking(true).expect("a socket");
    std::iter::from_fn(|| listener.accept().ok()).map(|(stream, _)| stream).collect()
}

// A connection has gone silent under several calls. The first that is given up makes room for a new
// connection, which the next call uses; the others are given up after that. They must leave the new
// connection alone: taking it away for what the old one did would make one connection a call, each of
// which costs its daemon as much as some calls.
#[actix::test]
async fn a_call_given_up_leaves_the_newer_connection_alone() {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a free port");
    let link = Link::new(&listener.local_addr().expect("an address").to_string());
    let call = |timeout| {
        let link = link.clone();
        async move { link.call(SHARD.to_owned(), show(), timeout).await }
    };
    let late = actix::spawn(call(LONGER));
    while link.client.borrow().is_none() {
        tokio::task::yield_now().await;
    }
    let _silent = accepted(&listener);
    let first = call(SHORT).await;
    assert!(matches!(first, Err(Error::NoAnswer { .. })), "{first:?}");
    let newer = actix::spawn(call(LIMIT));
    let late = late.await.expect("a call that doesn't panic");
    assert!(matches!(late, Err(Error::NoAnswer { .. })), "{late:?}");
    let after = call(SHORT).await;
    assert!(matches!(after, Err(Error::NoAnswer { .. })), "{after:?}");
    assert_eq!(accepted(&listener).len(), 1, "connections after the silent one");
    newer.abort();
}

const SHARD: &str = "kacyiru/0";
