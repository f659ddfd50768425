//! What a stream lets through, and when.

use crate::clock::ManualClock;
use crate::inbound::framing::{Frames, Requests};
use crate::inbound::limits::PortLimits;
use crate::inbound::stream::Stream;
use crate::inbound::table::{Port, Table};
use crate::memory::MemoryBudget;
use futures::FutureExt;
use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};

const GET: &str = "GET / HTTP/1.1\r\n\r\n";

struct Client {
    stream: Stream<DuplexStream, Requests>,
    peer: DuplexStream,
    table: Table,
    clock: Arc<ManualClock>,
}

impl Client {
    /// A connection whose buffers hold `buffer` bytes for each direction.
    fn new(buffer: usize) -> Self {
        let clock = Arc::new(ManualClock::default());
        let limits = PortLimits { connections: 8, held_bytes: 1 << 20 };
        let table = Table::new(Port::new(limits, clock.clone()));
        let (io, peer) = duplex(buffer);
        let stream = Stream::new(
            io,
            Requests::new(1 << 14),
            table.add().expect("room"),
            &MemoryBudget::new(0),
        );
        Self { stream, peer, table, clock }
    }

    /// What can be read without waiting.
    fn read(&mut self) -> std::io::Result<String> {
        let mut text = Vec::new();
        let mut buf = [0; 1000];
        while let Some(read) = self.stream.read(&mut buf).now_or_never() {
            text.extend_from_slice(&buf[..read?]);
        }
        Ok(String::from_utf8(text).expect("text"))
    }
}

// Guards against any number of requests that are decoded ahead of their answers.
#[tokio::test]
async fn the_next_request_is_read_once_the_one_before_is_answered() {
    let mut client = Client::new(1 << 20);
    client.peer.write_all(GET.repeat(1000).as_bytes()).await.expect("room");
    for _ in 0..3 {
        assert_eq!(client.read().expect("open"), GET);
        assert_eq!(client.read().expect("open"), "");
        client.stream.conn().answer();
    }
}

// Guards against answers that add up because nobody reads them.
#[tokio::test]
async fn no_request_is_read_while_answers_are_not() {
    let mut client = Client::new(64);
    client.peer.write_all(GET.as_bytes()).await.expect("room");
    assert_eq!(client.read().expect("open"), GET);
    client.peer.write_all(GET.as_bytes()).await.expect("room");
    while client.stream.write(&[b'x'; 50]).now_or_never().is_some() {}
    client.stream.conn().answer();
    assert_eq!(client.read().expect("open"), "");
    client.peer.read_exact(&mut [0; 64]).await.expect("the answer");
    assert!(client.stream.write(b"y").now_or_never().is_some());
    assert_eq!(client.read().expect("open"), GET);
}

// Guards against a reader that buffers as much as it gets in one turn.
#[tokio::test]
async fn a_reader_has_a_turn_after_some_bytes() {
    let mut client = Client::new(1 << 20);
    let head = "POST / HTTP/1.1\r\nContent-Length: 100000\r\n\r\n";
    client.peer.write_all(head.as_bytes()).await.expect("room");
    client.peer.write_all(&[b' '; 100_000]).await.expect("room");
    let read = client.read().expect("open");
    assert!((4096..10_000).contains(&read.len()), "{} bytes", read.len());
}

// Guards against connections that are to be closed and stay.
#[tokio::test]
async fn a_closed_connection_ends_and_leaves_the_table() {
    let mut client = Client::new(1 << 20);
    client.peer.write_all(b"GET /").await.expect("room");
    assert_eq!(client.read().expect("open"), "GET /");
    client.clock.advance(Duration::from_secs(20));
    client.table.check();
    assert_eq!(client.read().expect_err("closed").kind(), ErrorKind::ConnectionAborted);
    let written = client.stream.write(b"x").await;
    assert_eq!(written.expect_err("closed").kind(), ErrorKind::ConnectionAborted);
    drop(client.stream);
    assert!(client.table.is_empty());
}

// Guards against a client that can't tell an invalid request from a broken connection.
#[tokio::test]
async fn an_invalid_request_is_answered_before_its_connection_is_closed() {
    let long = format!("GET / HTTP/1.1\r\nA: {}", "b".repeat(1 << 14));
    let chunked = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n".to_owned();
    for (request, status) in [(long, "HTTP/1.1 431 "), (chunked, "HTTP/1.1 400 ")] {
        let mut client = Client::new(1 << 20);
        client.peer.write_all(request.as_bytes()).await.expect("room");
        let error = loop {
            if let Err(e) = client.read() {
                break e.kind();
            }
        };
        assert_eq!(error, ErrorKind::InvalidData);
        let mut answer = [0; 13];
        client.peer.read_exact(&mut answer).await.expect("an answer");
        assert_eq!(String::from_utf8_lossy(&answer), status);
    }
}

// Guards against messages between daemons that add up while their last byte is awaited.
#[tokio::test]
async fn a_stalled_message_gives_way_to_one_that_needs_its_memory() {
    const MESSAGE_BYTES: usize = 60_000;
    let clock = Arc::new(ManualClock::default());
    let table =
        Table::new(Port::new(PortLimits { connections: 8, held_bytes: 1 << 16 }, clock.clone()));
    let budget = MemoryBudget::new(1 << 16);
    let connect = async |sent: usize| {
        let (io, mut peer) = duplex(1 << 20);
        peer.write_all(&(MESSAGE_BYTES as u32).to_be_bytes()).await.expect("room");
        peer.write_all(&vec![0; sent]).await.expect("room");
        (Stream::new(io, Frames::default(), table.add().expect("room"), &budget), peer)
    };
    let (mut stalled, _peer) = connect(MESSAGE_BYTES - 1).await;
    let mut received = vec![0; 4 + MESSAGE_BYTES];
    stalled.read_exact(&mut received[..3 + MESSAGE_BYTES]).await.expect("most of the message");
    clock.advance(Duration::from_secs(2));
    let (mut whole, _peer) = connect(MESSAGE_BYTES).await;
    let stalled = async move { stalled.read_exact(&mut [0]).await.expect_err("closed").kind() };
    let (stalled, whole) = tokio::join!(stalled, whole.read_exact(&mut received));
    assert_eq!(stalled, ErrorKind::ConnectionAborted);
    assert_eq!(whole.expect("the whole message"), 4 + MESSAGE_BYTES);
    let (mut refused, _peer) = connect(MESSAGE_BYTES).await;
    let (mut held, _peer) = connect(MESSAGE_BYTES - 1).await;
    held.read_exact(&mut received[..3 + MESSAGE_BYTES]).await.expect("most of the message");
    let refused = refused.read_exact(&mut received).await.expect_err("no memory").kind();
    assert_eq!(refused, ErrorKind::OutOfMemory);
}
