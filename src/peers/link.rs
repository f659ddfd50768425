//! The connection to one daemon, made again when it breaks.

use super::{Call, MAX_FRAME_BYTES, PeerRpcClient, Reply};
use crate::config::follow::Known;
use crate::ids::Revision;
use crate::peer::{Member, PeerMsg};
use crate::usage::{Counting, Usage};
use std::cell::RefCell;
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tarpc::client::RpcError;
use tarpc::context::Context;
use tarpc::tokio_serde::formats::Bincode;

/// Result of a call.
pub type Result<T> = std::result::Result<T, Error>;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Longer than a commit in the key-value service takes when it is slow.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(8);
/// Messages kept for a daemon that does not answer; the cores repeat what is dropped.
const MAX_QUEUED: usize = 20_000;
const MAX_BATCH: usize = 500;

/// A call that failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    #[error("{addr} can't be reached ({reason}); check that it runs and that no cut lies between")]
    NotSent { addr: String, reason: String },
    #[error("{addr} did not answer ({reason}); the call may have taken effect")]
    NoAnswer { addr: String, reason: String },
}

/// A connection to a daemon's peer port.
#[derive(Clone)]
pub struct Link {
    inner: Rc<Inner>,
}

struct Inner {
    addr: String,
    usage: Arc<Usage>,
    client: RefCell<Option<PeerRpcClient>>,
    queue: RefCell<Queue>,
}

#[derive(Default)]
struct Queue {
    msgs: std::collections::VecDeque<PeerMsg>,
    sending: bool,
}

impl Link {
    /// A link to `ip:port`, not connected yet.
    pub fn new(addr: &str, usage: Arc<Usage>) -> Self {
        let inner = Inner {
            addr: addr.to_owned(),
            usage,
            client: RefCell::new(None),
            queue: RefCell::new(Queue::default()),
        };
        Self { inner: Rc::new(inner) }
    }

    /// Queues a message; true if the caller has to start sending.
    pub fn queue(&self, msg: PeerMsg) -> bool {
        let mut queue = self.inner.queue.borrow_mut();
        if queue.msgs.len() >= MAX_QUEUED {
            queue.msgs.pop_front();
        }
        queue.msgs.push_back(msg);
        !std::mem::replace(&mut queue.sending, true)
    }

    /// Sends the first batch of the queue.
    pub async fn deliver(&self, me: Member) -> Result<Member> {
        let batch: Vec<PeerMsg> = {
            let mut queue = self.inner.queue.borrow_mut();
            let len = queue.msgs.len().min(MAX_BATCH);
            queue.msgs.drain(..len).collect()
        };
        self.call(CALL_TIMEOUT, |client, cx| async move { client.deliver(cx, me, batch).await })
            .await
    }

    /// Ends a batch; true if the caller has to send another.
    pub fn finish_batch(&self) -> bool {
        let mut queue = self.inner.queue.borrow_mut();
        queue.sending = !queue.msgs.is_empty();
        queue.sending
    }

    /// Exchanges signs of life.
    pub async fn exchange(&self, me: Member) -> Result<Member> {
        self.call(CALL_TIMEOUT, |client, cx| async move { client.exchange(cx, me).await }).await
    }

    /// Tells of a revision, and learns what is known there.
    pub async fn known(&self, revision: Revision) -> Result<Known> {
        self.call(CALL_TIMEOUT, |client, cx| async move { client.known(cx, revision).await }).await
    }

    /// The daemon's configuration if newer than `than`.
    pub async fn snapshot(&self, than: Revision) -> Result<Option<Vec<u8>>> {
        self.call(CALL_TIMEOUT, |client, cx| async move { client.snapshot(cx, than).await }).await
    }

    /// Passes a call on.
    pub async fn forward(&self, call: Call) -> Reply {
        let answer = self
            .call(FORWARD_TIMEOUT, |client, cx| async move { client.forward(cx, call).await })
            .await;
        match answer {
            Ok(reply) => reply,
            Err(e @ Error::NotSent { .. }) => Reply::NotSent { reason: e.to_string() },
            Err(e @ Error::NoAnswer { .. }) => Reply::NoAnswer { reason: e.to_string() },
        }
    }

    async fn call<T, F>(
        &self,
        timeout: Duration,
        call: impl FnOnce(PeerRpcClient, Context) -> F,
    ) -> Result<T>
    where
        F: Future<Output = std::result::Result<T, RpcError>>,
    {
        let client = self.client().await?;
        let answer = tokio::time::timeout(timeout, call(client, tarpc::context::current())).await;
        let reason = match answer {
            Ok(Ok(answer)) => return Ok(answer),
            Ok(Err(e)) => e.to_string(),
            Err(_) => "timeout".to_owned(),
        };
        // A connection that went silent looks like a dead daemon for as long as it is kept.
        self.inner.client.borrow_mut().take();
        Err(Error::NoAnswer { addr: self.inner.addr.clone(), reason })
    }

    async fn client(&self) -> Result<PeerRpcClient> {
        if let Some(client) = self.inner.client.borrow().clone() {
            return Ok(client);
        }
        let not_sent = |reason: String| Error::NotSent { addr: self.inner.addr.clone(), reason };
        let usage = self.inner.usage.clone();
        let codec = move || Counting::new(Bincode::default(), usage.clone());
        let mut connect = tarpc::serde_transport::tcp::connect(&self.inner.addr, codec);
        connect.config_mut().max_frame_length(MAX_FRAME_BYTES);
        let transport = tokio::time::timeout(CONNECT_TIMEOUT, connect)
            .await
            .map_err(|_| not_sent("timeout".to_owned()))?
            .map_err(|e| not_sent(e.to_string()))?;
        let client = PeerRpcClient::new(tarpc::client::Config::default(), transport).spawn();
        *self.inner.client.borrow_mut() = Some(client.clone());
        Ok(client)
    }
}
