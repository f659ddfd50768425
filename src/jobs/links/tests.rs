use super::{Error, ForwardCall, JobsRpc, OfferShard, PeerClient};
use crate::cluster::{Hello, Member, MemberStage, OfferAnswer, ReleasedShard};
use crate::ids::{DaemonId, DomainId};
use crate::job::JobId;
use crate::jobs::calls::{Call, Reply};
use crate::permit::{self, PermitReq, PermitResp};
use crate::shard::VmLapse;
use crate::shard::loan::LoanMsg;
use crate::vm::Fence;
use futures::StreamExt;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;
use tarpc::context::Context as CallContext;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;

/// Timeouts of the calls that time out first, and of those that time out later.
const SHORT_TIMEOUT: Duration = Duration::from_millis(40);
const LATE_TIMEOUT: Duration = Duration::from_millis(400);

/// Longer than the test takes.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

fn member(addr: String) -> Member {
    Member {
        id: DaemonId::new("two@2"),
        name: "two".to_owned(),
        domain: DomainId::new("kacyiru"),
        addr,
        stage: MemberStage::Serving,
        milli_cores: 100,
    }
}

fn show_call(peer: &PeerClient, timeout: Duration) -> ForwardCall {
    let (to, shard) = (member(peer.addr.to_string()), SHARD.to_owned());
    ForwardCall { to, shard, call: Call::Show(JobId(0xa1)), valid_until: None, timeout }
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
        async move { peer.call(show_call(&peer, timeout)).await }
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

/// A daemon that accepts every offer.
#[derive(Clone)]
struct Candidate;

impl JobsRpc for Candidate {
    async fn hello(self, _: CallContext, _: Hello) -> Option<Hello> {
        None
    }

    async fn call(self, _: CallContext, _: String, _: Call, _: Option<Duration>) -> Reply {
        Reply::NotOwner
    }

    async fn tell(self, _: CallContext, _: String, _: String, _: Fence, _: LoanMsg) {}

    async fn ask(self, _: CallContext, _: PermitReq) -> permit::Result<PermitResp> {
        Err(permit::Error::NotSent { reason: "no service".to_owned() })
    }

    async fn take(
        self,
        _: CallContext,
        _: DaemonId,
        _: ReleasedShard,
        _: Vec<VmLapse>,
    ) -> OfferAnswer {
        OfferAnswer::Accepted
    }
}

/// Closes the connection that the listener has accepted, and serves the next one.
async fn serve_second_connection(listener: TcpListener) {
    drop(accepted(&listener));
    let listener = tokio::net::TcpListener::from_std(listener).expect("a socket");
    let (stream, _) = listener.accept().await.expect("a connection");
    let transport = tarpc::serde_transport::Transport::from((stream, Bincode::default()));
    let requests = BaseChannel::with_defaults(transport).execute(Candidate.serve());
    requests.for_each(|answer| answer).await;
}

// Guards against a shard that is not offered to a daemon which has just been restarted: the kept
// connection to its earlier process is broken, and a new one would be answered.
#[actix::test]
async fn an_offer_over_a_broken_connection_is_repeated_over_a_new_one() {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a free port");
    let addr = listener.local_addr().expect("an address").to_string();
    let peer = PeerClient::new(&addr);
    peer.client().await.expect("a connection");
    actix::spawn(serve_second_connection(listener));
    let to = member(addr);
    let (name, from) = (SHARD.to_owned(), DaemonId::new("one@1"));
    let released = ReleasedShard { name, fence: 7, earlier_active: Duration::ZERO };
    let offer = OfferShard { to, from, released, lapses: Vec::new() };
    assert_eq!(peer.offer_shard(offer).await, Ok(OfferAnswer::Accepted));
}
