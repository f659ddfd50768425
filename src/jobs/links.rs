//! The duty that talks to other daemons, over `tarpc`.
//!
//! Hellos tell who is there and what it owns; both sides of a call learn from it. Callers' calls
//! are passed on to the owner of the shard that they concern. Nothing is repeated here: a hello is
//! followed by the next one, and a call that failed is the caller's to repeat.

#[cfg(test)]
mod tests;

use super::calls::{Call, Reply};
use super::control::{Control, Hear, Refused, TakeCall, TakeMessage, TakeOffer};
use super::orders::AskHere;
use crate::cluster::{Hello, Member};
use crate::ids::DaemonId;
use crate::permit::{self, PermitReq, PermitResp};
use crate::ring::RING_CAPACITY;
use crate::shard::Lapse;
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
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;

/// Largest message between daemons, in bytes; a job is bounded by the limits on bodies.
const MAX_FRAME_BYTES: usize = 4 << 20;

/// Within a site an answer takes 1 to 3 ms; a daemon that is slowed by five still makes this.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// For hellos; three fit into the silence after which an owner is replaced.
const HELLO_TIMEOUT: Duration = Duration::from_millis(400);

/// What daemons ask of each other.
#[tarpc::service]
pub trait JobsRpc {
    /// Exchanges news.
    async fn hello(hello: Hello) -> Option<Hello>;

    /// Makes a caller's call at the owner of a shard.
    async fn call(shard: String, call: Call) -> Reply;

    /// Says something about a loan to the owner of a shard.
    async fn tell(shard: String, from: String, fence: Fence, msg: LoanMsg);

    /// Asks the service that permits steps, which takes one question at a time from each daemon.
    async fn ask(req: PermitReq) -> permit::Result<PermitResp>;

    /// Offers a shard that its owner has given up.
    async fn take(shard: String, from: DaemonId, lapses: Vec<Lapse>);
}

/// A call that failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The process isn't there.
    #[error("{addr} refuses connections; its process has ended")]
    Refused { addr: String },
    /// Nothing was sent.
    #[error("{addr} can't be reached ({reason})")]
    NotSent { addr: String, reason: String },
    #[error("{addr} did not answer ({reason}); the call may have taken effect")]
    NoAnswer { addr: String, reason: String },
}

/// Result of a call.
pub type Result<T> = std::result::Result<T, Error>;

/// The duty.
pub struct Links {
    control: Addr<Control>,
    links: IndexMap<String, Link>,
    mine: Option<Mine>,
}

/// What this daemon tells of itself: to daemons that own shards, and to others.
struct Mine {
    full: Hello,
    brief: Hello,
}

impl Links {
    /// A duty that knows nobody yet.
    pub fn new(control: Addr<Control>) -> Self {
        Self { control, links: IndexMap::new(), mine: None }
    }

    fn link(&mut self, addr: &str) -> Link {
        self.links.entry(addr.to_owned()).or_insert_with(|| Link::new(addr)).clone()
    }

    fn say_hello(&mut self, to: &Member, hello: Hello) {
        let (link, control, to) = (self.link(&to.addr), self.control.clone(), to.id.clone());
        actix::spawn(async move {
            match link.hello(hello).await {
                Ok(Some(news)) => control.do_send(Hear(news)),
                Ok(None) | Err(Error::NotSent { .. } | Error::NoAnswer { .. }) => {}
                Err(Error::Refused { .. }) => control.do_send(Refused(to)),
            }
        });
    }
}

impl Actor for Links {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Self::Context) {
        cx.set_mailbox_capacity(RING_CAPACITY);
    }
}

/// Takes other daemons' calls on the present thread until it ends.
pub async fn serve(
    listener: TcpListener,
    links: Addr<Links>,
    control: Addr<Control>,
    asker: Recipient<AskHere>,
) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let mut listener = tarpc::serde_transport::tcp::listen_on(listener, Bincode::default).await?;
    listener.config_mut().max_frame_length(MAX_FRAME_BYTES);
    actix::spawn(async move {
        while let Some(incoming) = listener.next().await {
            // A connection that broke while it was taken is made again by its other end.
            let Ok(transport) = incoming else { continue };
            let (links, control) = (links.clone(), control.clone());
            let server = Server { links, control, asker: asker.clone() };
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
    links: Addr<Links>,
    control: Addr<Control>,
    asker: Recipient<AskHere>,
}

impl JobsRpc for Server {
    async fn hello(self, _: CallContext, hello: Hello) -> Option<Hello> {
        let detail = if hello.shards.is_empty() { Detail::Brief } else { Detail::Full };
        self.control.do_send(Hear(hello));
        self.links.send(GetHello(detail)).await.ok().flatten()
    }

    async fn call(self, _: CallContext, shard: String, call: Call) -> Reply {
        // A control that has ended owns nothing any more.
        self.control.send(TakeCall { shard, call }).await.unwrap_or(Reply::NotOwner)
    }

    async fn tell(self, _: CallContext, shard: String, from: String, fence: Fence, msg: LoanMsg) {
        let (shard, from) = (Arc::from(shard.as_str()), Arc::from(from.as_str()));
        self.control.do_send(TakeMessage { shard, from, fence, msg });
    }

    async fn ask(self, _: CallContext, req: PermitReq) -> permit::Result<PermitResp> {
        let ended = |e: MailboxError| permit::Error::NotSent { reason: e.to_string() };
        self.asker.send(AskHere(req)).await.map_err(ended)?
    }

    async fn take(self, _: CallContext, shard: String, from: DaemonId, lapses: Vec<Lapse>) {
        self.control.do_send(TakeOffer { shard, from, lapses });
    }
}

/// What this daemon tells of itself, to be told to these at once.
#[derive(Message)]
#[rtype(result = "()")]
pub struct SayHello {
    pub hello: Hello,
    pub owners: Vec<Member>,
    pub others: Vec<Member>,
}

impl Handler<SayHello> for Links {
    type Result = ();

    fn handle(&mut self, msg: SayHello, _: &mut Self::Context) {
        let brief = msg.hello.brief();
        msg.owners.iter().for_each(|owner| self.say_hello(owner, msg.hello.clone()));
        msg.others.iter().for_each(|other| self.say_hello(other, brief.clone()));
        self.mine = Some(Mine { full: msg.hello, brief });
        while self.links.len() > MAX_LINKS {
            self.links.shift_remove_index(0);
        }
    }
}

/// Connections to other daemons that are kept; a daemon that is forgotten is connected to again.
const MAX_LINKS: usize = 512;

/// Says hello to one daemon, to learn whether it answers.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Probe(pub Member);

impl Handler<Probe> for Links {
    type Result = ();

    fn handle(&mut self, msg: Probe, _: &mut Self::Context) {
        if let Some(hello) = self.mine.as_ref().map(|mine| mine.full.clone()) {
            self.say_hello(&msg.0, hello);
        }
    }
}

#[derive(Message)]
#[rtype(result = "Option<Hello>")]
struct GetHello(Detail);

/// How much of this daemon is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Detail {
    Full,
    Brief,
}

impl Handler<GetHello> for Links {
    type Result = Option<Hello>;

    fn handle(&mut self, msg: GetHello, _: &mut Self::Context) -> Self::Result {
        let mine = self.mine.as_ref()?;
        Some(match msg.0 {
            Detail::Full => mine.full.clone(),
            Detail::Brief => mine.brief.clone(),
        })
    }
}

/// Offers a shard to a daemon.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Offer {
    pub shard: String,
    pub to: Member,
    pub from: DaemonId,
    pub lapses: Vec<Lapse>,
}

impl Handler<Offer> for Links {
    type Result = ();

    fn handle(&mut self, msg: Offer, _: &mut Self::Context) {
        let link = self.link(&msg.to.addr);
        actix::spawn(async move {
            // A daemon that doesn't hear of the offer finds the shard without an owner.
            let _ = link.take(msg.shard, msg.from, msg.lapses).await;
        });
    }
}

/// Says something about a loan to a shard's owner; lost if it isn't heard.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Tell {
    pub to: Member,
    pub shard: String,
    pub from: String,
    pub fence: Fence,
    pub msg: LoanMsg,
}

impl Handler<Tell> for Links {
    type Result = ();

    fn handle(&mut self, msg: Tell, _: &mut Self::Context) {
        let link = self.link(&msg.to.addr);
        actix::spawn(async move {
            // It is said again until it is answered.
            let _ = link.tell(msg).await;
        });
    }
}

/// Asks the service that permits steps, through another daemon.
#[derive(Message)]
#[rtype(result = "permit::Result<PermitResp>")]
pub struct AskThrough {
    pub to: Member,
    pub req: PermitReq,
}

impl Handler<AskThrough> for Links {
    type Result = ResponseFuture<permit::Result<PermitResp>>;

    fn handle(&mut self, msg: AskThrough, _: &mut Self::Context) -> Self::Result {
        let link = self.link(&msg.to.addr);
        Box::pin(async move {
            let unheard = |e: Error| permit::Error::NoAnswer { reason: e.to_string() };
            link.ask_permits(msg.req).await.map_err(unheard)?
        })
    }
}

/// Makes a caller's call at another daemon.
#[derive(Message)]
#[rtype(result = "Result<Reply>")]
pub struct PassOn {
    pub to: Member,
    pub shard: String,
    pub call: Call,
    pub timeout: Duration,
}

impl Handler<PassOn> for Links {
    type Result = ResponseFuture<Result<Reply>>;

    fn handle(&mut self, msg: PassOn, _: &mut Self::Context) -> Self::Result {
        let link = self.link(&msg.to.addr);
        Box::pin(async move { link.call(msg.shard, msg.call, msg.timeout).await })
    }
}

/// The connection to one daemon, made again when it breaks.
#[derive(Clone)]
struct Link {
    addr: Rc<str>,
    client: Rc<RefCell<Option<Rc<JobsRpcClient>>>>,
}

impl Link {
    fn new(addr: &str) -> Self {
        Self { addr: Rc::from(addr), client: Rc::default() }
    }

    async fn hello(&self, hello: Hello) -> Result<Option<Hello>> {
        self.ask(HELLO_TIMEOUT, |client, cx| async move { client.hello(cx, hello).await }).await
    }

    async fn take(&self, shard: String, from: DaemonId, lapses: Vec<Lapse>) -> Result<()> {
        let take =
            |client: JobsRpcClient, cx| async move { client.take(cx, shard, from, lapses).await };
        self.ask(HELLO_TIMEOUT, take).await
    }

    async fn tell(&self, tell: Tell) -> Result<()> {
        let Tell { shard, from, fence, msg, .. } = tell;
        let told = |client: JobsRpcClient, cx| async move {
            client.tell(cx, shard, from, fence, msg).await
        };
        self.ask(HELLO_TIMEOUT, told).await
    }

    async fn call(&self, shard: String, call: Call, timeout: Duration) -> Result<Reply> {
        self.ask(timeout, |client, cx| async move { client.call(cx, shard, call).await }).await
    }

    async fn ask_permits(&self, req: PermitReq) -> Result<permit::Result<PermitResp>> {
        let timeout = req.timeout + HELLO_TIMEOUT;
        self.ask(timeout, |client, cx| async move { client.ask(cx, req).await }).await
    }

    async fn ask<T, F>(
        &self,
        timeout: Duration,
        call: impl FnOnce(JobsRpcClient, CallContext) -> F,
    ) -> Result<T>
    where
        F: Future<Output = std::result::Result<T, RpcError>>,
    {
        let used = OnceCell::new();
        let asked = async {
            let client = self.client().await?;
            let client = used.get_or_init(|| client);
            Ok(call((**client).clone(), tarpc::context::current()).await)
        };
        let reason = match tokio::time::timeout(timeout, asked).await {
            Ok(Ok(Ok(answer))) => return Ok(answer),
            Ok(Ok(Err(e))) => e.to_string(),
            Ok(Err(not_sent)) => return Err(not_sent),
            Err(_) => "timeout".to_owned(),
        };
        let addr = self.addr.to_string();
        let Some(client) = used.get() else { return Err(Error::NotSent { addr, reason }) };
        self.drop_client(client);
        Err(Error::NoAnswer { addr, reason })
    }

    /// A connection that went silent looks like a dead daemon for as long as it is kept. A newer one,
    /// made after another call was given up, stays: without this each of the calls that wait on the
    /// silent one costs a connection more.
    fn drop_client(&self, silent: &Rc<JobsRpcClient>) {
        let mut client = self.client.borrow_mut();
        if client.as_ref().is_some_and(|client| Rc::ptr_eq(client, silent)) {
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
