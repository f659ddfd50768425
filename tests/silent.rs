//! Clients of servers whose open connections go silent, while new ones work.

use futures::future::join_all;
use std::time::Duration;
use waxwingstall::connections::Connections;
use waxwingstall::ids::Token;
use waxwingstall::store::Store;
use waxwingstall::store::http::HttpStore;
use waxwingstall::worker::Worker;
use waxwingstall::worker::http::HttpWorker;
use waxwingstall_standin::silent::SilentServer;

/// Connections that are open when they go silent.
const OPEN: usize = 6;

const TIMEOUT: Duration = Duration::from_millis(300);

/// Opens connections with calls side by side, silences them, and checks that one call fails before
/// the next is answered, on a connection that stays in use.
async fn check_silence<F: Future<Output = bool>>(server: &SilentServer, call: impl Fn() -> F) {
    server.await_connections(OPEN);
    assert_eq!(join_all((0..OPEN).map(|_| call())).await, [true; OPEN]);
    assert_eq!(server.accepted(), OPEN);
    server.silence();
    assert!(!call().await, "the connection is silent");
    for _ in 0..OPEN {
        assert!(call().await, "a new connection works");
    }
    assert_eq!(server.accepted(), OPEN + 1);
}

// Guards against an outage of the store that lasts longer the more connections are silent.
#[actix_rt::test]
async fn the_store_answers_again_after_one_unanswered_call() {
    let server = SilentServer::start("x-version: 1\r\n", "{}");
    let store = HttpStore::new(&format!("http://{}", server.addr())).with_timeout(TIMEOUT);
    check_silence(&server, async || store.get("k").await.is_ok()).await;
}

// Guards against leases of a worker that lapse while silent connections to it are tried in turn.
#[actix_rt::test]
async fn a_worker_answers_again_after_one_unanswered_call() {
    let server = SilentServer::start("", "null");
    let connections = Connections::new(awc::Client::default);
    let worker = HttpWorker::new(connections, &format!("http://{}", server.addr()), TIMEOUT);
    check_silence(&server, async || worker.release(Token(1)).await.is_ok()).await;
}
