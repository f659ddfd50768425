//! Tests of the client over HTTP for cases that the in-memory fake can't reproduce.

use bytes::Bytes;
use std::io::Read;
use std::net::TcpListener;
use std::time::Duration;
use waxwingstall::store::http::HttpStore;
use waxwingstall::store::memory::Outage;
use waxwingstall::store::{Error, Expect, Store};
use waxwingstall_standin::kv::{Kv, Pace};

const KEY: &str = "config/head";

/// The service accepts the write and never responds. After the timeout, the client must report that
/// the write may have taken effect.
#[actix_rt::test]
async fn a_silent_service_leaves_a_write_unknown_and_a_read_unavailable() {
    let kv = Kv::start();
    let store = HttpStore::new(&kv.url()).with_timeout(Duration::from_millis(50));
    kv.faults().set_pace(Pace::Silent);
    let written = store.put(KEY, Bytes::from_static(b"a"), Expect::Any).await;
    assert!(matches!(written, Err(Error::Unknown { .. })), "{written:?}");
    let read = store.get(KEY).await;
    assert!(matches!(read, Err(Error::Unavailable { .. })), "{read:?}");
}

/// Nothing listens on the port. No byte of the write was sent, so it can't have had an effect.
#[actix_rt::test]
async fn a_refused_connection_proves_that_nothing_was_written() {
    let url = Kv::start().url();
    let store = HttpStore::new(&url);
    let written = store.put(KEY, Bytes::from_static(b"a"), Expect::Any).await;
    assert!(matches!(written, Err(Error::Unavailable { .. })), "{written:?}");
}

/// The response is truncated after the write took effect. The client must not retry it by itself.
#[actix_rt::test]
async fn a_cut_answer_leaves_a_write_unknown_and_is_not_repeated() {
    let kv = Kv::start();
    let store = HttpStore::new(&kv.url());
    kv.faults().lose_answers(1);
    let written = store.put(KEY, Bytes::from_static(b"a"), Expect::Absent).await;
    assert!(matches!(written, Err(Error::Unknown { .. })), "{written:?}");
    assert_eq!(kv.calls(), 1);
    let entry = store.get(KEY).await.expect("an answer").expect("the write took effect");
    assert_eq!(entry.value, Bytes::from_static(b"a"));
}

#[actix_rt::test]
async fn data_survives_an_outage() {
    let kv = Kv::start();
    let store = HttpStore::new(&kv.url());
    let version = store.put(KEY, Bytes::from_static(b"a"), Expect::Absent).await.expect("written");
    kv.faults().set_outage(Outage::Down);
    assert!(matches!(store.get(KEY).await, Err(Error::Unavailable { .. })));
    kv.faults().set_outage(Outage::Up);
    let entry = store.get(KEY).await.expect("an answer").expect("an entry");
    assert_eq!(entry.version, version);
}

/// A key with any characters must reach the service unchanged, and must not be parsed as further
/// query parameters or another path.
#[actix_rt::test]
async fn keys_with_any_characters_are_kept_apart() {
    let kv = Kv::start();
    let store = HttpStore::new(&kv.url());
    for key in ["a?b=c", "a b", "a%2Fb", "a/b", "ș/ț", "a#b", "a&b"] {
        let value = Bytes::copy_from_slice(key.as_bytes());
        store.put(key, value, Expect::Absent).await.expect("written");
    }
    let listed = store.list("a").await.expect("a list");
    assert_eq!(listed.len(), 6);
    assert!(listed.iter().all(|entry| entry.key.as_bytes() == entry.value));
    assert_eq!(store.list("a&").await.expect("a list").len(), 1);
}

/// The service reads the write and closes the connection without a response. The HTTP library
/// reports this like a failed connection, but the write was sent and may have taken effect.
#[actix_rt::test]
async fn a_connection_closed_without_an_answer_leaves_a_write_unknown() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let url = format!("http://{}", listener.local_addr().expect("an address"));
    let closing = std::thread::spawn(move || {
        let (mut socket, _) = listener.accept().expect("a connection");
        let mut buf = [0; 1024];
        socket.read(&mut buf).expect("a request")
    });
    let written = HttpStore::new(&url).put(KEY, Bytes::from_static(b"a"), Expect::Any).await;
    assert!(matches!(written, Err(Error::Unknown { .. })), "{written:?}");
    assert!(closing.join().expect("the request was read") > 0);
}
