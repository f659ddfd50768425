//! Actor that communicates with other daemons over `tarpc`.
//!
//! Hello messages announce a daemon and the shards it owns, to both sides of the exchange. Callers'
//! requests are forwarded to the owner of the shard concerned. Nothing is retried here, except an
//! offer whose connection breaks: hellos are sent periodically, and a failed call is retried by
//! whoever made it.

#[cfg(test)]
mod tests;

use super::calls::{Call, Reply};
use super::control::{
    ConnectionRefused, Control, HandleCall, HandleLoanMessage, HandleOffer, HelloReceived,
};
use super::orders::RequestPermits;
use crate::clock::Clock;
use crate::cluster::{DeclineReason, Hello, Member, OfferAnswer, OfferOutcome, ReleasedShard};
use crate::ids::DaemonId;
use crate::inbound::{Frames, Port, Stream, Table};
use crate::memory::MemoryBudget;
use crate::permit::{self, PermitReq, PermitResp};
use crate::ring::RING_CAPACITY;
use crate::shard::VmLapse;
use crate::shard::loan::LoanMsg;
use crate::vm::Fence;
use actix::prelude::*;
use futures::StreamExt;
use indexmap::IndexMap;
use std::cell::{OnceCell, RefCell};
use std::future::Future;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tarpc::client::RpcError;
use tarpc::context::Context as CallContext;
use tarpc::serde_transport;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::{Framed, LengthDelimitedCodec};
use tokio::time::Instant;

/// Maximum size of a message between daemons, in bytes. A job is bounded by the limits on request
/// bodies.
const MAX_FRAME_BYTES: usize = 4 << 20;

/// Delay after a connection could not be accepted, as when no file descriptor is left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Connect timeout. Answers within a site take 1 to 3 ms, and a daemon slowed down fivefold still
/// connects in this time.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Timeout of a hello. Three fit into the period of silence after which an owner is replaced.
const HELLO_TIMEOUT: Duration = Duration::from_millis(400);

/// RPC interface between daemons.
#[tarpc::service]
pub trait JobsRpc {
    /// Exchanges the state of both daemons.
    async fn hello(hello: Hello) -> Option<Hello>;

    /// Runs a caller's request at the owner of a shard. A job is accepted until `valid_until` on the
    /// owner's monotonic clock, if that is known.
    async fn call(shard: String, call: Call, valid_until: Option<Duration>) -> Reply;

    /// Sends a message about lent tasks to the owner of a shard.
    async fn tell(shard: String, from: String, fence: Fence, msg: LoanMsg);

    /// Asks the permit service for a step. The service handles one request at a time per daemon.
    async fn ask(req: PermitReq) -> permit::Result<PermitResp>;

    /// Offers a shard that its owner has released. An offer may be repeated.
    async fn take(from: DaemonId, released: ReleasedShard, lapses: Vec<VmLapse>) -> OfferAnswer;
}

/// Why a call to another daemon failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The process has ended, or a network cut refuses connections to it.
    #[error("{addr} refused the connection")]
    Refused { addr: String },
    /// The call was not sent.
    #[error("cannot reach {addr} ({reason})")]
    NotSent { addr: String, reason: String },
    #[error("{addr} did not answer ({reason}); the call may have taken effect")]
    NoAnswer { addr: String, reason: String },
}

/// Result of a call to another daemon.
pub type Result<T> = std::result::Result<T, Error>;

/// Actor that holds the connections to other daemons.
pub struct PeerLinks {
    control: Addr<Control>,
    peers: IndexMap<String, PeerClient>,
    own_hello: Option<OwnHello>,
    clock: Arc<dyn Clock>,
}

/// This daemon's hello: in full for daemons that own shards, shortened for others.
struct OwnHello {
    full: Hello,
    brief: Hello,
}

impl PeerLinks {
    /// Creates an actor without connections.
    pub fn new(control: Addr<Control>, clock: Arc<dyn Clock>) -> Self {
        Self { control, peers: IndexMap::new(), own_hello: None, clock }
    }

    fn peer(&mut self, addr: &str) -> PeerClient {
        self.peers.entry(addr.to_owned()).or_insert_with(|| PeerClient::new(addr)).clone()
    }

    fn send_hello(&mut self, to: &Member, hello: Hello) {
        let (peer, control, to) = (self.peer(&to.addr), self.control.clone(), to.id.clone());
        let asked = self.clock.now();
        actix::spawn(async move {
            match peer.hello(hello).await {
                Ok(Some(hello)) => control.do_send(HelloReceived { hello, asked: Some(asked) }),
                Ok(None) | Err(Error::NotSent { .. } | Error::NoAnswer { .. }) => {}
                Err(Error::Refused { .. }) => control.do_send(ConnectionRefused { id: to, asked }),
            }
        });
    }
}

impl Actor for PeerLinks {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Self::Context) {
        cx.set_mailbox_capacity(RING_CAPACITY);
    }
}

/// Serves other daemons' calls on the current thread until it ends, within the limits of `port`.
pub async fn serve(
    listener: TcpListener,
    port: Port,
    links: Addr<PeerLinks>,
    control: Addr<Control>,
    permits: Recipient<RequestPermits>,
) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let budget = MemoryBudget::new(port.limits().held_bytes);
    let table = Table::new(port);
    actix::spawn(table.clone().check_regularly());
    actix::spawn(async move {
        loop {
            // The peer reconnects if its connection breaks here.
            let Ok((io, _)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let Some(conn) = table.add() else { continue };
            let io = Stream::new(io, Frames::default(), conn, &budget);
            let codec =
                LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
            let transport = serde_transport::new(Framed::new(io, codec), Bincode::default());
            let (links, control) = (links.clone(), control.clone());
            let server = Server { links, control, permits: permits.clone() };
            let requests = BaseChannel::with_defaults(transport).execute(server.serve());
            actix::spawn(requests.for_each(|answer| async {
                actix::spawn(answer);
            }));
        }
    });
    Ok(())
}

#[derive(Clone)]
struct Server {
    links: Addr<PeerLinks>,
    control: Addr<Control>,
    permits: Recipient<RequestPermits>,
}

impl JobsRpc for Server {
    async fn hello(self, _: CallContext, hello: Hello) -> Option<Hello> {
        let detail = if hello.shards.is_empty() { Detail::Brief } else { Detail::Full };
        self.control.do_send(HelloReceived { hello, asked: None });
        self.links.send(GetHello(detail)).await.ok().flatten()
    }

    async fn call(
        self,
        _: CallContext,
        shard: String,
        call: Call,
        valid_until: Option<Duration>,
    ) -> Reply {
        // A control actor that has ended owns no shards.
        let msg = HandleCall { shard, call, valid_until };
        self.control.send(msg).await.unwrap_or(Reply::NotOwner)
    }

    async fn tell(self, _: CallContext, shard: String, from: String, fence: Fence, msg: LoanMsg) {
        let (shard, from) = (Arc::from(shard.as_str()), Arc::from(from.as_str()));
        self.control.do_send(HandleLoanMessage { shard, from, fence, msg });
    }

    async fn ask(self, _: CallContext, req: PermitReq) -> permit::Result<PermitResp> {
        let ended = |e: MailboxError| permit::Error::NotSent { reason: e.to_string() };
        self.permits.send(RequestPermits(req)).await.map_err(ended)?
    }

    async fn take(
        self,
        _: CallContext,
        from: DaemonId,
        released: ReleasedShard,
        lapses: Vec<VmLapse>,
    ) -> OfferAnswer {
        let answer = self.control.send(HandleOffer { from, released, lapses }).await;
        // A control actor that has ended takes no shards.
        answer.unwrap_or(OfferAnswer::Declined(DeclineReason::Draining))
    }
}

/// Sends this daemon's hello to the given daemons, and keeps it as the answer to others' hellos.
#[derive(Message)]
#[rtype(result = "()")]
pub struct SendHello {
    pub hello: Hello,
    pub owners: Vec<Member>,
    pub others: Vec<Member>,
}

impl Handler<SendHello> for PeerLinks {
    type Result = ();

    fn handle(&mut self, msg: SendHello, _: &mut Self::Context) {
        let brief = msg.hello.without_free_room();
        msg.owners.iter().for_each(|owner| self.send_hello(owner, msg.hello.clone()));
        msg.others.iter().for_each(|other| self.send_hello(other, brief.clone()));
        self.own_hello = Some(OwnHello { full: msg.hello, brief });
        while self.peers.len() > MAX_CONNECTIONS {
            self.peers.shift_remove_index(0);
        }
    }
}

/// Maximum number of cached connections; an evicted one is opened again on demand.
const MAX_CONNECTIONS: usize = 512;

/// Sends a hello to one daemon to find out whether it responds.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ProbeMember(pub Member);

impl Handler<ProbeMember> for PeerLinks {
    type Result = ();

    fn handle(&mut self, msg: ProbeMember, _: &mut Self::Context) {
        if let Some(hello) = self.own_hello.as_ref().map(|own| own.full.sent_at(self.clock.now())) {
            self.send_hello(&msg.0, hello);
        }
    }
}

#[derive(Message)]
#[rtype(result = "Option<Hello>")]
struct GetHello(Detail);

/// Level of detail of a hello.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Detail {
    Full,
    Brief,
}

impl Handler<GetHello> for PeerLinks {
    type Result = Option<Hello>;

    fn handle(&mut self, msg: GetHello, _: &mut Self::Context) -> Self::Result {
        let own_hello = self.own_hello.as_ref()?;
        let hello = match msg.0 {
            Detail::Full => &own_hello.full,
            Detail::Brief => &own_hello.brief,
        };
        Some(hello.sent_at(self.clock.now()))
    }
}

/// Offers a shard to a daemon.
#[derive(Clone, Message)]
#[rtype(result = "OfferOutcome")]
pub struct OfferShard {
    pub to: Member,
    pub from: DaemonId,
    pub released: ReleasedShard,
    pub lapses: Vec<VmLapse>,
}

impl Handler<OfferShard> for PeerLinks {
    type Result = ResponseFuture<OfferOutcome>;

    fn handle(&mut self, msg: OfferShard, _: &mut Self::Context) -> Self::Result {
        let peer = self.peer(&msg.to.addr);
        Box::pin(async move {
            match peer.offer_shard(msg).await {
                Ok(answer) => OfferOutcome::Answered(answer),
                Err(Error::Refused { .. }) => OfferOutcome::Refused,
                Err(Error::NotSent { .. } | Error::NoAnswer { .. }) => OfferOutcome::NoAnswer,
            }
        })
    }
}

/// Sends a message about lent tasks to a shard's owner, without a retry.
#[derive(Message)]
#[rtype(result = "()")]
pub struct SendLoanMessage {
    pub to: Member,
    pub shard: String,
    pub from: String,
    pub fence: Fence,
    pub msg: LoanMsg,
}

impl Handler<SendLoanMessage> for PeerLinks {
    type Result = ();

    fn handle(&mut self, msg: SendLoanMessage, _: &mut Self::Context) {
        let peer = self.peer(&msg.to.addr);
        actix::spawn(async move {
            // The sending shard repeats the message until it is acknowledged.
            let _ = peer.send_loan_message(msg).await;
        });
    }
}

/// Asks the permit service for a step through another daemon.
#[derive(Message)]
#[rtype(result = "permit::Result<PermitResp>")]
pub struct ForwardPermitRequest {
    pub to: Member,
    pub req: PermitReq,
}

impl Handler<ForwardPermitRequest> for PeerLinks {
    type Result = ResponseFuture<permit::Result<PermitResp>>;

    fn handle(&mut self, msg: ForwardPermitRequest, _: &mut Self::Context) -> Self::Result {
        let peer = self.peer(&msg.to.addr);
        Box::pin(async move {
            let no_answer = |e: Error| permit::Error::NoAnswer { reason: e.to_string() };
            peer.request_permits(msg.req).await.map_err(no_answer)?
        })
    }
}

/// Forwards a caller's request to another daemon.
#[derive(Message)]
#[rtype(result = "Result<Reply>")]
pub struct ForwardCall {
    pub to: Member,
    pub shard: String,
    pub call: Call,
    /// When the caller stops waiting, on the clock of the daemon called.
    pub valid_until: Option<Duration>,
    pub timeout: Duration,
}

impl Handler<ForwardCall> for PeerLinks {
    type Result = ResponseFuture<Result<Reply>>;

    fn handle(&mut self, msg: ForwardCall, _: &mut Self::Context) -> Self::Result {
        let peer = self.peer(&msg.to.addr);
        Box::pin(async move { peer.call(msg).await })
    }
}

/// Client of one daemon that reconnects on demand.
#[derive(Clone)]
struct PeerClient {
    addr: Rc<str>,
    client: Rc<RefCell<Option<Rc<JobsRpcClient>>>>,
}

impl PeerClient {
    fn new(addr: &str) -> Self {
        Self { addr: Rc::from(addr), client: Rc::default() }
    }

    async fn hello(&self, hello: Hello) -> Result<Option<Hello>> {
        self.request(HELLO_TIMEOUT, |client, cx| async move { client.hello(cx, hello).await }).await
    }

    async fn offer_shard(&self, offer: OfferShard) -> Result<OfferAnswer> {
        let deadline = Instant::now() + HELLO_TIMEOUT;
        let first = self.send_offer(offer.clone(), HELLO_TIMEOUT).await;
        let left = deadline.saturating_duration_since(Instant::now());
        // A kept connection breaks if its process has ended; another one may run there by now.
        match first {
            Err(Error::NoAnswer { .. }) if !left.is_zero() => self.send_offer(offer, left).await,
            first => first,
        }
    }

    async fn send_offer(&self, offer: OfferShard, timeout: Duration) -> Result<OfferAnswer> {
        let OfferShard { from, released, lapses, .. } = offer;
        let offer = |client: JobsRpcClient, cx| async move {
            client.take(cx, from, released, lapses).await
        };
        self.request(timeout, offer).await
    }

    async fn send_loan_message(&self, message: SendLoanMessage) -> Result<()> {
        let SendLoanMessage { shard, from, fence, msg, .. } = message;
        let send = |client: JobsRpcClient, cx| async move {
            client.tell(cx, shard, from, fence, msg).await
        };
        self.request(HELLO_TIMEOUT, send).await
    }

    async fn call(&self, msg: ForwardCall) -> Result<Reply> {
        let ForwardCall { shard, call, valid_until, timeout, .. } = msg;
        let send = |client: JobsRpcClient, cx| async move {
            client.call(cx, shard, call, valid_until).await
        };
        self.request(timeout, send).await
    }

    async fn request_permits(&self, req: PermitReq) -> Result<permit::Result<PermitResp>> {
        let timeout = req.timeout + HELLO_TIMEOUT;
        self.request(timeout, |client, cx| async move { client.ask(cx, req).await }).await
    }

    async fn request<T, F>(
        &self,
        timeout: Duration,
        call: impl FnOnce(JobsRpcClient, CallContext) -> F,
    ) -> Result<T>
    where
        F: Future<Output = std::result::Result<T, RpcError>>,
    {
        let client_used = OnceCell::new();
        let request = async {
            let client = self.client().await?;
            let client = client_used.get_or_init(|| client);
            Ok(call((**client).clone(), tarpc::context::current()).await)
        };
        let reason = match tokio::time::timeout(timeout, request).await {
            Ok(Ok(Ok(answer))) => return Ok(answer),
            Ok(Ok(Err(e))) => e.to_string(),
            Ok(Err(not_sent)) => return Err(not_sent),
            Err(_) => "timeout".to_owned(),
        };
        let addr = self.addr.to_string();
        let Some(client) = client_used.get() else { return Err(Error::NotSent { addr, reason }) };
        self.discard_client(client);
        Err(Error::NoAnswer { addr, reason })
    }

    /// Drops an unresponsive connection, which would make its daemon look dead for as long as it is
    /// kept. A newer connection, opened after another call timed out, stays: otherwise each call
    /// that waits on the unresponsive one would cost another connection.
    fn discard_client(&self, unresponsive: &Rc<JobsRpcClient>) {
        let mut client = self.client.borrow_mut();
        if client.as_ref().is_some_and(|client| Rc::ptr_eq(client, unresponsive)) {
            client.take();
        }
    }

    async fn client(&self) -> Result<Rc<JobsRpcClient>> {
        if let Some(client) = self.client.borrow().clone() {
            return Ok(client);
        }
        let addr = self.addr.to_string();
        let mut connect = tarpc::serde_transport::tcp::connect(&*self.addr, Bincode::default);
        connect.config_mut().max_frame_length(MAX_FRAME_BYTES);
        let transport = match tokio::time::timeout(CONNECT_TIMEOUT, connect).await {
            Ok(Ok(transport)) => transport,
            Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused => {
                return Err(Error::Refused { addr });
            }
            Ok(Err(e)) => return Err(Error::NotSent { addr, reason: e.to_string() }),
            Err(_) => return Err(Error::NotSent { addr, reason: "timeout".to_owned() }),
        };
        let client = JobsRpcClient::new(tarpc::client::Config::default(), transport).spawn();
        let client = Rc::new(client);
        *self.client.borrow_mut() = Some(client.clone());
        Ok(client)
    }
}
